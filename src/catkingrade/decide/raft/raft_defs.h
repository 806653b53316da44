#ifndef CATKINGRADE_DECIDE_RAFT_DEFS_H
#define CATKINGRADE_DECIDE_RAFT_DEFS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/rpc/messages.h"

// Events, actions and parameters of struct raft, one voter of one control
// group.
//
// The adapter (the caller of raft_step) carries out the list of actions
// synchronously and in order. It first writes everything that must be durable
// (SAVE_STATE, TRUNCATE, APPEND, SAVE_SNAPSHOT, INSTALL_SNAPSHOT) and syncs
// the store. Only then does it carry out SEND and APPLY and answer the
// proposals that follow in the list. It may run several steps, concatenate
// their lists, write everything, sync once and then carry out the rest in
// order. If a write or the sync fails, the adapter discards the whole list
// without sending anything, destroys the struct raft and creates it again from
// the contents of the store. The only action that it may skip is a
// SAVE_SNAPSHOT at an index above 0, because the log still holds the entries
// that the snapshot covers.

#define RAFT_NO_VOTER 0 // no voter has this id

enum raft_role {
    RAFT_FOLLOWER,
    RAFT_CANDIDATE, // requests pre-votes or votes
    RAFT_LEADER,
};

enum raft_event_kind {
    RAFT_EVENT_TICK, // WAKE time reached, or batch of proposals complete
    RAFT_EVENT_MESSAGE,
    RAFT_EVENT_PROPOSE,
    RAFT_EVENT_SNAPSHOT_TAKEN,
    RAFT_EVENT_TRANSFER,
    RAFT_EVENT_CHANGE_VOTERS,
};

// A proposal of a log entry. Exactly one action ends each token: the APPLY of
// its entry or a REFUSED. The next TICK sends proposals to the other voters,
// so that all proposals between two ticks are sent as one batch.
struct raft_propose {
    uint64_t token;      // not 0
    const void *payload; // XDR-encoded ck_log_payload; copied
    size_t size_bytes;
};

// The adapter's serialized state after it applied the entry at index.
struct raft_snapshot_taken {
    uint64_t index;
    const void *data; // copied
    size_t size_bytes;
};

// Adds or removes a voter. An added voter is a learner (without a vote) until
// its log has caught up.
struct raft_change_voters {
    uint64_t token; // not 0
    const char *change_id;
    const struct ck_voter *added; // NULL to remove a voter
    uint64_t removed;             // voter id; used when added is NULL
};

struct raft_event {
    enum raft_event_kind kind;
    union {
        const struct ck_raft_message *message;
        struct raft_propose propose;
        struct raft_snapshot_taken snapshot_taken;
        // Id of the new leader; RAFT_NO_VOTER: the most up-to-date voter.
        uint64_t transfer;
        struct raft_change_voters change_voters;
    };
};

enum raft_action_kind {
    RAFT_ACTION_SAVE_STATE,       // term, voted_for
    RAFT_ACTION_TRUNCATE,         // remove log entries from index on
    RAFT_ACTION_APPEND,           // entry
    RAFT_ACTION_SAVE_SNAPSHOT,    // snapshot of the adapter's own state
    RAFT_ACTION_INSTALL_SNAPSHOT, // snapshot replaces the adapter's state
    RAFT_ACTION_SEND,             // message
    RAFT_ACTION_APPLY,            // committed entry, token of its proposal
    RAFT_ACTION_PROPOSED,         // token is in the log at index, uncommitted
    RAFT_ACTION_REFUSED,          // token, outcome, leader, retry_after_us
    RAFT_ACTION_TAKE_SNAPSHOT,    // reply with SNAPSHOT_TAKEN for index
    RAFT_ACTION_ROLE,             // role, term, leader
    RAFT_ACTION_WAKE,             // TICK at wake_at_us; replaces earlier WAKEs
};

// A snapshot in stored form: a header, the voters and the adapter's state,
// which begins at app_offset.
struct raft_snapshot {
    uint64_t index;
    uint64_t term;
    uint8_t *data;
    size_t size_bytes;
    size_t app_offset;
};

struct raft_action {
    enum raft_action_kind kind;
    uint64_t token; // APPLY (0: not proposed here), PROPOSED, REFUSED
    uint64_t term;
    uint64_t index;
    uint64_t voted_for;
    uint64_t leader; // ROLE, REFUSED: voter id, or RAFT_NO_VOTER
    int64_t wake_at_us;
    // Used by REFUSED. OUTCOME_UNKNOWN: leadership ended before the entry was
    // known to be committed. With every other outcome the entry is not in the
    // log: OUTCOME_NOT_LEADER, OUTCOME_OVERLOADED, OUTCOME_TOO_LARGE,
    // OUTCOME_INVALID, OUTCOME_NOT_FOUND, OUTCOME_CONFLICT (another voter
    // change is uncommitted) or OUTCOME_AGAIN (the leader has not committed an
    // entry of its term yet, or a leadership transfer is in progress).
    int outcome;
    int64_t retry_after_us;
    enum raft_role role;
    union { // owned by struct raft_actions
        struct ck_raft_message message;
        struct ck_log_entry entry;
        struct raft_snapshot snapshot;
    };
};

struct raft_actions {
    struct raft_action *items;
    size_t count;
    size_t capacity;
};

struct raft_params {
    const char *group;
    uint64_t self; // id of this voter
    int64_t heartbeat_us;
    int64_t election_us;      // shortest election timeout
    unsigned clock_drift_ppm; // upper bound of each voter's clock drift
    uint64_t seed;
    size_t max_pending_entries; // proposed but not committed
    size_t max_pending_bytes;
    size_t max_in_flight_bytes; // sent to one voter but not acknowledged
    // A snapshot is requested after this many applied entries or this many
    // payload bytes of applied entries, whichever comes first.
    uint64_t snapshot_entries;
    size_t snapshot_bytes;
    // Number of entries covered by a snapshot that stay in memory for slow
    // voters.
    uint64_t retained_entries;
    // True when the store has no data of the group and the operator did not
    // ask to bootstrap a new group. The voter may have lost its disk, so it
    // stays passive until a leader admits its id as that of a new voter.
    // Ignored when saved has a snapshot.
    bool starts_passive;
    // Initial voters of a new group; used only when saved has no snapshot and
    // starts_passive is false.
    const struct ck_voter *voters;
    size_t voters_count;
};

// Contents of the store; all zero for an empty store. raft_create copies them.
struct raft_saved {
    uint64_t term;
    uint64_t voted_for;
    bool has_snapshot; // the snapshot at index 0 holds the initial voters
    struct raft_snapshot snapshot;
    const struct ck_log_entry *entries; // begin at snapshot.index + 1
    size_t entries_count;
};

#endif
