#ifndef CATKINGRADE_DECIDE_LEADER_H
#define CATKINGRADE_DECIDE_LEADER_H

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

struct leader_params {
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
void leader_params_init(struct leader_params *params);

enum leader_event_kind {
    // This voter leads, and the first entry of its term has been applied.
    LEADER_EVENT_ELECTED,
    LEADER_EVENT_DEPOSED,
    // A lease renewal or an announcement arrived; reply with the token.
    LEADER_EVENT_RENEW,
    LEADER_EVENT_ANNOUNCE,
    // group_apply has taken a change of the log; result is what it came to.
    LEADER_EVENT_APPLIED,
    // The change proposed with this token did not get into the log.
    LEADER_EVENT_PROPOSE_FAILED,
    LEADER_EVENT_PROBED,
    LEADER_EVENT_PROBE_FAILED,
    LEADER_EVENT_PROMOTED, // position: where the new timeline begins
    LEADER_EVENT_PROMOTE_FAILED,
    LEADER_EVENT_FOLLOWED, // outcome
    LEADER_EVENT_FENCED,   // outcome
    LEADER_EVENT_NOTIFIED,
    LEADER_EVENT_NOTIFY_FAILED,
    LEADER_EVENT_COMMAND,
    LEADER_EVENT_TICK,
};

struct leader_probe {
    const char *upstream;
    bool is_primary;
    bool refused; // PROBE_FAILED: refused by its host, otherwise silent
    struct ck_position position;
};

// Everything pointed to is borrowed for the length of the step.
struct leader_event {
    enum leader_event_kind kind;
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
        struct leader_probe probe; // PROBED, PROBE_FAILED, PROMOTED
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

enum leader_action_kind {
    LEADER_ACTION_PROPOSE, // payload to the log; answer with token
    LEADER_ACTION_REPLY_RENEW,
    LEADER_ACTION_REPLY_ANNOUNCE,
    LEADER_ACTION_REPLY_COMMAND,
    LEADER_ACTION_NOTIFY,
    LEADER_ACTION_PROBE, // primary or not, and its position
    LEADER_ACTION_PROMOTE,
    LEADER_ACTION_FOLLOW, // upstream is to follow primary
    LEADER_ACTION_FENCE,  // upstream is to take no writes
    LEADER_ACTION_RECORD, // event for the time line
    LEADER_ACTION_WAKE,   // send TICK at wake_at_us
};

struct leader_record {
    const char *kind;
    const char *customer;
    const char *upstream;
    const char *text;
};

// What is pointed to belongs to the list or to the group state: it is valid
// until leader_actions_clear or the next change of the group.
struct leader_action {
    enum leader_action_kind kind;
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
        struct leader_record record;
        int64_t wake_at_us;
    };
};

struct leader_actions {
    struct leader_action *items;
    size_t count;
    size_t capacity;
    void **owned; // memory of the actions' contents
    size_t owned_count;
    size_t owned_capacity;
};

struct leader *leader_create(const struct leader_params *params,
                             const struct group_state *group);
void leader_destroy(struct leader *leader);
// After a snapshot was installed the group state is another one.
void leader_set_group(struct leader *leader, const struct group_state *group);
// Actions are appended, proposals last; the caller carries them out in their
// order and clears the list before the next step.
void leader_step(struct leader *leader, int64_t now_us,
                 const struct leader_event *event,
                 struct leader_actions *actions);
void leader_actions_clear(struct leader_actions *actions); // keeps the list
void leader_actions_free(struct leader_actions *actions);

bool leader_is_active(const struct leader *leader);
// JSON array for status: what the leader knows about an upstream's database.
void leader_describe(const struct leader *leader, int64_t now_us,
                     struct buffer *json);

#endif
