#ifndef CATKINGRADE_DECIDE_COORDINATOR_H
#define CATKINGRADE_DECIDE_COORDINATOR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/decide/group/group.h"
#include "catkingrade/kernel/buffer.h"
#include "catkingrade/rpc/messages.h"

// Main header of decide/coordinator, which decides on leases, quotas, relays
// and primaries at the leader of a control group.
//
// Coordinator of a control group: grants leases and quotas, detects the loss
// of a primary, runs failovers and switchovers, publishes what upstreams
// announce and expires daemons that have stopped renewing.
//
// Every voter of the group has a coordinator. It is active only while its
// voter is the Raft leader, between the events ELECTED and DEPOSED. Its state
// is volatile: after an election it is rebuilt from the group state.
//
// The coordinator is a state machine without I/O and without a clock:
// coordinator_step takes an event and the current monotonic time, and appends
// actions for the caller to execute. All times are in microseconds.
struct coordinator;

struct coordinator_params {
    int64_t lease_us;
    unsigned drift_ppm; // bound on the rate error of each daemon's clock
    int64_t announce_expiry_us;
    int64_t suspect_us;
    // Wait for answers before the first primary of a database is chosen.
    int64_t initial_primary_wait_us;
    // A failover within this time after the last one needs more evidence.
    int64_t repeated_failover_us;
    int64_t switchover_us;    // time limit of a planned switchover
    int64_t daemon_expiry_us; // maximum time without a renewal
    int64_t probe_us; // minimum interval between probes of one upstream
    int64_t lost_retention_us; // minimum time a lost upstream stays a member
    int64_t publish_us; // minimum interval between changes of one upstream
    // If an entry's share of an upstream's connections would be smaller than
    // this, only some entries, the relays, hold connections to the database
    // and run the statements of the other entries. 0: every entry holds
    // connections.
    uint32_t relay_min_connections;
    bool relay_by_customer; // entries are told all relays, see relay_choice.h
    size_t delta_max_size_bytes; // before compression
    // A FENCE makes an upstream a replica, so that it can be promoted again.
    // Otherwise an upstream that claims to be the primary is taken for it.
    bool fence_demotes;
    uint64_t seed;
};

// Sets all parameters to the defaults of the settings. The caller overrides
// those that its settings name.
void coordinator_params_init(struct coordinator_params *params);

enum coordinator_event_kind {
    // This voter is the Raft leader and has applied the first entry of its
    // term.
    COORDINATOR_EVENT_ELECTED,
    COORDINATOR_EVENT_DEPOSED,
    // A lease renewal or an announcement was received. The reply action
    // carries the same token.
    COORDINATOR_EVENT_RENEW,
    COORDINATOR_EVENT_ANNOUNCE,
    // group_apply has executed a change of the log; result is its outcome.
    COORDINATOR_EVENT_APPLIED,
    // The change proposed with this token was not committed to the log.
    COORDINATOR_EVENT_PROPOSE_FAILED,
    COORDINATOR_EVENT_PROBED,
    COORDINATOR_EVENT_PROBE_FAILED,
    COORDINATOR_EVENT_PROMOTED, // position: start of the new timeline
    COORDINATOR_EVENT_PROMOTE_FAILED,
    COORDINATOR_EVENT_FOLLOWED, // outcome
    COORDINATOR_EVENT_FENCED,   // outcome
    COORDINATOR_EVENT_NOTIFIED,
    COORDINATOR_EVENT_NOTIFY_FAILED,
    COORDINATOR_EVENT_COMMAND,
    COORDINATOR_EVENT_TICK,
};

struct coordinator_probe {
    const char *upstream;
    bool is_primary;
    bool refused; // PROBE_FAILED: the host refused; else there was no answer
    bool is_busy; // PROBED: too busy to report its role and position
    struct ck_position position;
    uint64_t term; // that the upstream counts, or its timeline; 0: unknown
    struct ck_position last_write; // of its log: term and number
};

// Pointers are borrowed and valid during coordinator_step.
struct coordinator_event {
    enum coordinator_event_kind kind;
    // Result of raft_has_quorum at the time of the event. Without a quorum the
    // coordinator grants no lease and emits no NOTIFY, PROMOTE, FENCE or
    // FOLLOW.
    bool quorum;
    uint64_t token; // RENEW, ANNOUNCE, COMMAND, APPLIED, PROPOSE_FAILED
    union {
        uint64_t leader_term;               // ELECTED
        const struct ck_renew_args *renew;  // RENEW
        const struct ck_upstream *announce; // ANNOUNCE
        struct {
            uint64_t index;
            const struct ck_change *change;
            const struct group_result *result;
            bool is_late; // may have been committed long ago
        } applied;        // APPLIED; token 0: not proposed by this coordinator
        struct coordinator_probe probe; // PROBED, PROBE_FAILED, PROMOTED
        struct {
            const char *upstream;
            int outcome;
        } done; // PROMOTE_FAILED, FOLLOWED, FENCED
        struct {
            const char *vm;
            uint64_t incarnation;
            const struct ck_notify_result *result; // NULL: NOTIFY_FAILED
        } notified;
        const struct ck_command_args *command; // COMMAND
    };
};

enum coordinator_action_kind {
    COORDINATOR_ACTION_PROPOSE, // propose payload for the log
    COORDINATOR_ACTION_REPLY_RENEW,
    COORDINATOR_ACTION_REPLY_ANNOUNCE,
    COORDINATOR_ACTION_REPLY_COMMAND,
    COORDINATOR_ACTION_NOTIFY,
    // Read the upstream's position and whether the upstream is a primary.
    COORDINATOR_ACTION_PROBE,
    COORDINATOR_ACTION_PROMOTE,
    COORDINATOR_ACTION_FOLLOW, // make upstream replicate from primary
    COORDINATOR_ACTION_FENCE,  // make upstream read-only
    COORDINATOR_ACTION_RECORD, // add an event to the timeline
    COORDINATOR_ACTION_WAKE,   // send TICK at wake_at_us
};

struct coordinator_record {
    const char *kind;
    const char *customer;
    const char *upstream;
    const char *text;
};

// Pointers refer to memory of the action list or of the group state. They are
// valid until coordinator_actions_clear or the next change of the group state.
struct coordinator_action {
    enum coordinator_action_kind kind;
    uint64_t token; // PROPOSE and the replies
    union {
        struct {
            const uint8_t *data; // ck_log_payload in XDR
            size_t size_bytes;
        } payload;
        const struct ck_renew_result *renew;
        struct {
            int outcome;
            const char *text;
        } reply; // REPLY_ANNOUNCE, REPLY_COMMAND
        struct {
            const struct ck_daemon *daemon;
            const struct ck_notify_args *args;
        } notify;
        struct {
            const struct ck_upstream *upstream;
            const struct ck_upstream *primary; // FOLLOW
            uint64_t term;                     // PROMOTE: the new term
        } upstream;                            // PROBE, PROMOTE, FOLLOW, FENCE
        struct coordinator_record record;
        int64_t wake_at_us;
    };
};

struct coordinator_actions {
    struct coordinator_action *items;
    size_t count;
    size_t capacity;
    void **owned; // memory referenced by items
    size_t owned_count;
    size_t owned_capacity;
};

struct coordinator *coordinator_create(const struct coordinator_params *params,
                                       const struct group_state *group);
void coordinator_destroy(struct coordinator *coordinator);
// Sets the group state, which is a new object after a snapshot was installed.
// Called only while inactive.
void coordinator_set_group(struct coordinator *coordinator,
                           const struct group_state *group);
// Handles one event at the monotonic time now_us and appends the resulting
// actions to the list, proposals last. The caller executes the actions in
// order and clears the list before the next step. A PROPOSE is answered with
// the event APPLIED or PROPOSE_FAILED of the same token. While the coordinator
// is active, a WAKE is pending after each step.
void coordinator_step(struct coordinator *coordinator, int64_t now_us,
                      const struct coordinator_event *event,
                      struct coordinator_actions *actions);
void coordinator_actions_clear(
    struct coordinator_actions *actions); // keeps the capacity
void coordinator_actions_free(struct coordinator_actions *actions);

bool coordinator_is_active(const struct coordinator *coordinator);
// Appends a JSON array for the status report: each database with a failover, a
// switchover or a choice of its first primary in progress, with its phase, the
// time since the phase began in ms, and the number of leases that must end.
void coordinator_describe(const struct coordinator *coordinator,
                          int64_t now_us, struct buffer *json);

#endif
