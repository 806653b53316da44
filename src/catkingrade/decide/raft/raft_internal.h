#ifndef CATKINGRADE_DECIDE_RAFT_INTERNAL_H
#define CATKINGRADE_DECIDE_RAFT_INTERNAL_H

#include "catkingrade/decide/raft/raft.h"
#include "catkingrade/decide/raft/raft_log.h"
#include "catkingrade/kernel/buffer.h"

// Declarations shared by the source files of the module raft.

#define RAFT_MAX_VOTERS 15 // learners included

// How the leader replicates to a peer.
enum raft_peer_state {
    RAFT_PEER_PROBE,     // one message at a time until match_index is known
    RAFT_PEER_REPLICATE, // pipelined: next_index advances before answers
    RAFT_PEER_SNAPSHOT,  // entries it needs are compacted; send a snapshot
};

// What a candidate's election is based on.
enum raft_election {
    RAFT_ELECTION_TIMEOUT,   // no leader was heard of for the election timeout
    RAFT_ELECTION_TRANSFER,  // the leader requested it
    RAFT_ELECTION_UNANIMOUS, // see raft_unanimous.c
};

// Another member of the group: a voter, or a learner that has no vote yet.
struct raft_peer {
    uint64_t id;
    uint64_t match_index;
    uint64_t next_index;
    uint64_t stale_round;    // rejections of rounds up to this one are ignored
    int64_t acked_round_us;  // send time of the newest answered round
    uint64_t snapshot_index; // snapshot in transfer; 0: none
    uint64_t snapshot_sent_bytes;
    uint64_t snapshot_acked_bytes;
    uint64_t snapshot_requested_bytes; // offset in its last answer
    enum raft_peer_state state;
    bool voting;
    bool granted;             // granted its vote or pre-vote in this election
    bool probe_sent;          // no more until an answer or the next heartbeat
    bool snapshot_progressed; // acknowledged more since the last heartbeat
};

// A voter configuration and the index of the log entry that contains it.
struct raft_config {
    uint64_t index;
    struct ck_voters_change voters;
};

// A partly received snapshot.
struct raft_incoming_snapshot {
    uint64_t last_index;
    uint64_t last_term;
    uint64_t total_bytes;
    struct buffer data;
};

struct raft {
    struct raft_params params;
    char *group;
    uint64_t random_state;
    struct raft_log log;
    struct raft_snapshot snapshot;
    bool has_snapshot;
    struct raft_config *configs; // ordered by index
    size_t configs_count;
    uint64_t highest_voter_id; // highest id ever used in the group
    uint64_t standby;          // learner that must not be promoted; 0: none

    uint64_t term;
    uint64_t voted_for;
    enum raft_role role;
    // The store is empty and this voter is not known to be a member.
    bool passive;
    bool pre_vote;               // candidate in the pre-vote phase
    enum raft_election election; // of this candidate
    uint64_t leader;
    uint64_t commit_index;
    uint64_t applied_index;
    uint64_t snapshot_requested_index;
    int64_t leader_contact_us; // last message from a leader
    int64_t contact_since_us;  // begin of the contact without a break
    int64_t no_vote_until_us;  // grants no vote before, after a restart
    int64_t election_at_us;
    struct raft_incoming_snapshot incoming;

    struct raft_peer peers[RAFT_MAX_VOTERS];
    size_t peers_count;
    uint64_t round;
    int64_t leader_since_us;
    int64_t heartbeat_at_us;
    bool send_pending; // the next TICK sends new entries
    uint64_t transfer_target;
    int64_t transfer_deadline_us; // 0: no transfer in progress
    bool timeout_now_sent;

    // Valid during raft_step.
    int64_t now_us;
    struct raft_actions *actions;
    // Values in the last ROLE and WAKE actions.
    enum raft_role reported_role;
    uint64_t reported_term;
    uint64_t reported_leader;
    int64_t reported_wake_us;
};

// raft_actions.c
struct raft_action *raft_add_action(struct raft *raft,
                                    enum raft_action_kind kind);
void raft_add_refused(struct raft *raft, uint64_t token, int outcome);
void raft_send(struct raft *raft, uint64_t to, uint64_t term,
               const struct ck_raft_body *body);
void raft_save_state(struct raft *raft);

// raft.c
struct raft_slot *raft_append_entry(struct raft *raft,
                                    const struct ck_log_entry *entry);
void raft_truncate(struct raft *raft, uint64_t from_index);
void raft_commit(struct raft *raft, uint64_t index);

// raft_election.c
void raft_set_election_timer(struct raft *raft);
void raft_become_follower(struct raft *raft, uint64_t term, uint64_t leader);
void raft_set_retry_timer(struct raft *raft);
int64_t raft_get_random_us(struct raft *raft, int64_t limit_us);
void raft_become_candidate(struct raft *raft, bool pre_vote,
                           enum raft_election election);
void raft_handle_vote(struct raft *raft,
                      const struct ck_raft_message *message);
void raft_handle_vote_result(struct raft *raft,
                             const struct ck_raft_message *message);
void raft_handle_timeout_now(struct raft *raft,
                             const struct ck_raft_message *message);

// raft_unanimous.c
void raft_unanimous_start(struct raft *raft);
bool raft_unanimous_is_possible(const struct raft *raft);
bool raft_unanimous_may_vote(const struct raft *raft);
void raft_unanimous_handle_pre_vote(struct raft *raft, bool granted);

// raft_leader.c
void raft_become_leader(struct raft *raft);
void raft_leader_tick(struct raft *raft);
void raft_leader_send_all(struct raft *raft, bool heartbeat);
void raft_leader_advance_commit(struct raft *raft);
void raft_propose(struct raft *raft, const struct raft_propose *propose);
struct raft_slot *raft_leader_append(struct raft *raft, uint64_t token,
                                     const void *payload, size_t size_bytes);
void raft_handle_append_result(struct raft *raft,
                               const struct ck_raft_message *message);
void raft_start_transfer(struct raft *raft, uint64_t target);
void raft_continue_transfer(struct raft *raft);
int64_t raft_get_quorum_round_us(const struct raft *raft);

// raft_replicate.c
void raft_peer_send(struct raft *raft, struct raft_peer *peer, bool heartbeat);
void raft_peer_handle_reject(struct raft *raft, struct raft_peer *peer,
                             const struct ck_raft_append_result *result);
uint64_t raft_next_round(struct raft *raft);
void raft_peer_record_ack(struct raft_peer *peer, uint64_t round);
void raft_peer_update_match(struct raft *raft, struct raft_peer *peer,
                            uint64_t index);

// raft_follower.c
bool raft_accept_leader(struct raft *raft,
                        const struct ck_raft_message *message);
void raft_handle_append(struct raft *raft,
                        const struct ck_raft_message *message);

// raft_snapshot.c
bool raft_snapshot_is_valid(const struct raft_snapshot *snapshot);
void raft_snapshot_load(struct raft *raft, const struct raft_snapshot *saved);
void raft_snapshot_copy(const struct raft_snapshot *from,
                        struct raft_snapshot *to);
void raft_snapshot_save_initial(struct raft *raft);
void raft_request_snapshot_if_due(struct raft *raft);
void raft_handle_snapshot_taken(struct raft *raft,
                                const struct raft_snapshot_taken *taken);
void raft_peer_send_snapshot(struct raft *raft, struct raft_peer *peer,
                             bool heartbeat);
void raft_handle_snapshot(struct raft *raft,
                          const struct ck_raft_message *message);
void raft_handle_snapshot_result(struct raft *raft,
                                 const struct ck_raft_message *message);

// raft_voters.c
const struct raft_config *raft_get_config(const struct raft *raft);
const struct raft_config *raft_get_config_at(const struct raft *raft,
                                             uint64_t index);
void raft_add_config(struct raft *raft, uint64_t index,
                     const struct ck_voters_change *voters);
void raft_add_config_of_entry(struct raft *raft,
                              const struct ck_log_entry *entry);
void raft_drop_configs_from(struct raft *raft, uint64_t from_index);
void raft_drop_configs_before(struct raft *raft, uint64_t index);
void raft_free_configs(struct raft *raft);
bool raft_is_voting(const struct raft *raft, uint64_t id);
void raft_note_contact(struct raft *raft);
struct raft_peer *raft_find_peer(struct raft *raft, uint64_t id);
size_t raft_get_majority(const struct raft *raft);
bool raft_is_voters_payload(const void *payload, size_t size_bytes);
void raft_change_voters(struct raft *raft,
                        const struct raft_change_voters *change);
void raft_promote_learners(struct raft *raft);

#endif
