#ifndef CATKINGRADE_DECIDE_RAFT_DEFS_H
#define CATKINGRADE_DECIDE_RAFT_DEFS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/rpc/messages.h"

// Events and actions of one voter's replicated log of one control group.
//
// The list of actions is ordered, and the adapter is synchronous: it carries
// out what must be durable (SAVE_STATE, TRUNCATE, APPEND, SAVE_SNAPSHOT,
// INSTALL_SNAPSHOT), syncs the store, and only then SENDs, APPLYs and answers
// what stands after it in the list. It may run several steps, join their
// lists, write all, sync once and then do the rest in order. Should a write
// or the sync fail, it drops the whole list unsent, destroys the machine and
// creates it again from what the store holds. Only a SAVE_SNAPSHOT at an index
// above 0 may be passed over, since the log still holds what it covers.

#define RAFT_NO_VOTER 0 // no voter has this id

enum raft_role {
    RAFT_FOLLOWER,
    RAFT_CANDIDATE, // asks for pre-votes or votes
    RAFT_LEADER,
};

enum raft_event_kind {
    RAFT_EVENT_TICK, // a WAKE is due, or a turn's proposals are complete
    RAFT_EVENT_MESSAGE,
    RAFT_EVENT_PROPOSE,
    RAFT_EVENT_SNAPSHOT_TAKEN,
    RAFT_EVENT_TRANSFER,
    RAFT_EVENT_CHANGE_VOTERS,
};

// Each token ends in exactly one APPLY that carries it or one REFUSED.
// Proposals are sent to the other voters by the next TICK, so that those of
// one turn travel together.
struct raft_propose {
    uint64_t token;      // not 0
    const void *payload; // ck_log_payload in XDR; copied
    size_t size_bytes;
};

// The adapter's state as it was after the entry at index.
struct raft_snapshot_taken {
    uint64_t index;
    const void *data; // copied
    size_t size_bytes;
};

// Adds a voter, which first catches up without a vote, or removes one.
struct raft_change_voters {
    uint64_t token; // not 0
    const char *change_id;
    const struct ck_voter *added; // NULL: remove
    uint64_t removed;
};

struct raft_event {
    enum raft_event_kind kind;
    union {
        const struct ck_raft_message *message;
        struct raft_propose propose;
        struct raft_snapshot_taken snapshot_taken;
        uint64_t transfer; // voter id; RAFT_NO_VOTER: the most advanced
        struct raft_change_voters change_voters;
    };
};

enum raft_action_kind {
    RAFT_ACTION_SAVE_STATE,       // term, voted_for
    RAFT_ACTION_TRUNCATE,         // drop the log from index on
    RAFT_ACTION_APPEND,           // entry
    RAFT_ACTION_SAVE_SNAPSHOT,    // snapshot, of the adapter's own state
    RAFT_ACTION_INSTALL_SNAPSHOT, // snapshot; replaces the adapter's state
    RAFT_ACTION_SEND,             // message
    RAFT_ACTION_APPLY,            // entry, committed; token of its proposal
    RAFT_ACTION_PROPOSED,         // token got index; not committed yet
    RAFT_ACTION_REFUSED,          // token, outcome, leader, retry_after_us
    RAFT_ACTION_TAKE_SNAPSHOT,    // answer SNAPSHOT_TAKEN for index
    RAFT_ACTION_ROLE,             // role, term, leader
    RAFT_ACTION_WAKE,             // TICK at wake_at_us; the last one counts
};

// A snapshot as it is stored: voters and the adapter's own bytes together.
// The adapter's part begins at app_offset.
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
    // REFUSED. OUTCOME_UNKNOWN: leadership ended before the entry was known
    // to be committed. Any other: the entry is not in the log, because of
    // OUTCOME_NOT_LEADER, OUTCOME_OVERLOADED, OUTCOME_TOO_LARGE,
    // OUTCOME_INVALID, OUTCOME_NOT_FOUND, OUTCOME_CONFLICT (another change of
    // voters is under way) or OUTCOME_AGAIN (the leader has just been elected
    // or hands over).
    int outcome;
    int64_t retry_after_us;
    enum raft_role role;
    union { // owned by the list
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
    uint64_t self;
    int64_t heartbeat_us;
    int64_t election_us; // shortest election timeout
    unsigned clock_drift_ppm;
    uint64_t seed;
    size_t max_pending_entries; // proposed and not yet committed
    size_t max_pending_bytes;
    size_t max_in_flight_bytes; // sent to one voter and not yet answered
    uint64_t snapshot_entries;  // a snapshot is taken after so many
    size_t snapshot_bytes;      // or so many bytes of entries
    uint64_t retained_entries;  // kept behind a snapshot for slow voters
    // The operator has not said that this starts a new group. With an empty
    // store the voter may then have lost its disk, and stays passive until a
    // leader adds its id as a new one. Not used when saved has a snapshot.
    bool starts_passive;
    // The first voters of a new group; used only when saved is empty and
    // starts_passive is false.
    const struct ck_voter *voters;
    size_t voters_count;
};

// What the store holds; all zero for an empty one. Everything is copied.
struct raft_saved {
    uint64_t term;
    uint64_t voted_for;
    bool has_snapshot; // index 0 is the first configuration of the group
    struct raft_snapshot snapshot;
    const struct ck_log_entry *entries; // from snapshot.index + 1 on
    size_t entries_count;
};

#endif
