#ifndef CATKINGRADE_DECIDE_COORDINATOR_H
#define CATKINGRADE_DECIDE_COORDINATOR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/decide/group.h"
#include "catkingrade/kernel/buffer.h"
#include "catkingrade/rpc/messages.h"

// The volatile decisions of a control group's present leader: leases, terms,
// suspicion, failover, announcements and the membership of daemons. Every
// voter has one; it acts only between ELECTED and DEPOSED.
struct leader;

struct coordinator_params {
    int64_t lease_us;
    unsigned drift_ppm; // bound on the difference of two clocks' rates
    int64_t announce_expiry_us;
    int64_t suspect_us;
    int64_t settle_us;        // before a first primary is chosen
    int64_t flap_us;          // a second failover within it needs more
    int64_t switchover_us;    // limit of a planned switchover
    int64_t daemon_expiry_us; // silence after which a daemon is forgotten
    int64_t probe_us;         // between two probes of a suspected upstream
    int64_t remove_us;  // a lost upstream stays a member for so long at least
    int64_t publish_us; // least time between two changes of routing
    // An entry's share of an upstream's connections below which some entries
    // hold them for all; 0: all hold them.
    uint32_t relay_min_connections;
    size_t delta_max_size_bytes;
    uint64_t seed;
};

// Sets the parameters that settings don't name to their usual values.
void coordinator_params_init(struct coordinator_params *params);

enum coordinator_event_kind {
    // This voter leads, and the first entry of its term has been applied.
    COORDINATOR_EVENT_ELECTED,
    COORDINATOR_EVENT_DEPOSED,
    // A lease renewal or an announcement arrived; reply with the token.
    COORDINATOR_EVENT_RENEW,
    COORDINATOR_EVENT_ANNOUNCE,
    // group_apply has taken a change of the log; result is what it came to.
    COORDINATOR_EVENT_APPLIED,
    // The change proposed with this token did not get into the log.
    COORDINATOR_EVENT_PROPOSE_FAILED,
    COORDINATOR_EVENT_PROBED,
    COORDINATOR_EVENT_PROBE_FAILED,
    COORDINATOR_EVENT_PROMOTED, // position: where the new timeline begins
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
    bool refused; // PROBE_FAILED: refused by its host, otherwise silent
    struct ck_position position;
};

// Everything pointed to is borrowed for the length of the step.
struct coordinator_event {
    enum coordinator_event_kind kind;
    // raft_has_quorum at this moment; a lease is granted only with it.
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
        } applied; // APPLIED; token 0 when it was not proposed here
        struct coordinator_probe probe; // PROBED, PROBE_FAILED, PROMOTED
        struct {
            const char *upstream;
            int outcome;
        } done; // PROMOTE_FAILED, FOLLOWED, FENCED
        struct {
            const char *vm;
            uint64_t incarnation;
            const struct ck_notify_result *result; // NULL: failed
        } notified;
        const struct ck_command_args *command; // COMMAND
    };
};

enum coordinator_action_kind {
    COORDINATOR_ACTION_PROPOSE, // payload to the log; answer with token
    COORDINATOR_ACTION_REPLY_RENEW,
    COORDINATOR_ACTION_REPLY_ANNOUNCE,
    COORDINATOR_ACTION_REPLY_COMMAND,
    COORDINATOR_ACTION_NOTIFY,
    COORDINATOR_ACTION_PROBE, // primary or not, and its position
    COORDINATOR_ACTION_PROMOTE,
    COORDINATOR_ACTION_FOLLOW, // upstream is to follow primary
    COORDINATOR_ACTION_FENCE,  // upstream is to take no writes
    COORDINATOR_ACTION_RECORD, // event for the time line
    COORDINATOR_ACTION_WAKE,   // send TICK at wake_at_us
};

struct coordinator_record {
    const char *kind;
    const char *customer;
    const char *upstream;
    const char *text;
};

// What is pointed to belongs to the list or to the group state: it is valid
// until coordinator_actions_clear or the next change of the group.
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
    void **owned; // memory of the actions' contents
    size_t owned_count;
    size_t owned_capacity;
};

struct leader *coordinator_create(const struct coordinator_params *params,
                                  const struct group_state *group);
void coordinator_destroy(struct leader *leader);
// After a snapshot was installed the group state is another one.
void coordinator_set_group(struct leader *leader,
                           const struct group_state *group);
// Actions are appended, proposals last; the caller carries them out in their
// order and clears the list before the next step.
void coordinator_step(struct leader *leader, int64_t now_us,
                      const struct coordinator_event *event,
                      struct coordinator_actions *actions);
void coordinator_actions_clear(
    struct coordinator_actions *actions); // keeps the list
void coordinator_actions_free(struct coordinator_actions *actions);

bool coordinator_is_active(const struct leader *leader);
// JSON array for status: what the leader knows about an upstream's database.
void coordinator_describe(const struct leader *leader, int64_t now_us,
                          struct buffer *json);

#endif
