#ifndef CATKINGRADE_DECIDE_LEASEHOLDER_H
#define CATKINGRADE_DECIDE_LEASEHOLDER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/rpc/messages.h"

// The entry's side of one control group: finds the leader, renews the lease,
// and brings deltas, quotas and revocations in force in the right order.
struct leaseholder;

struct leaseholder_address {
    char host[64];
    unsigned port;
};

struct leaseholder_params {
    const char *group;
    struct ck_daemon daemon; // copied
    const struct leaseholder_address *voters;
    size_t voters_count;
    int64_t renew_us;
    int64_t call_timeout_us; // of one renewal call; at most renew_us
    int64_t retry_us;        // least time between two failed calls
    unsigned drift_ppm;
    uint64_t seed;
};

enum leaseholder_event_kind {
    LEASEHOLDER_EVENT_TICK,
    LEASEHOLDER_EVENT_RENEWED,
    LEASEHOLDER_EVENT_RENEW_FAILED, // timed out or could not be sent
    LEASEHOLDER_EVENT_NOTIFIED,
    LEASEHOLDER_EVENT_SUSPECT,
    LEASEHOLDER_EVENT_CONFIRM_REVOKED,
    LEASEHOLDER_EVENT_DEMAND, // replaces the demand of the same upstream
    LEASEHOLDER_EVENT_OPEN_REQUESTS,
    // The view has taken the last delta, or begins at this revision.
    LEASEHOLDER_EVENT_APPLIED,
};

// Everything pointed to is borrowed for the length of the step.
struct leaseholder_event {
    enum leaseholder_event_kind kind;
    // NOTIFIED: where the leader answers calls; NULL when it is not known.
    const struct leaseholder_address *from;
    union {
        const struct ck_renew_result *renewed;
        uint64_t sequence; // RENEW_FAILED: of the call
        const struct ck_notify_args *notified;
        const struct ck_suspicion *suspicion;
        struct ck_revocation revocation; // CONFIRM_REVOKED
        const struct ck_demand *demand;
        unsigned open_requests;
        uint64_t revision; // APPLIED
    };
};

enum leaseholder_action_kind {
    LEASEHOLDER_ACTION_SEND_RENEW,
    LEASEHOLDER_ACTION_APPLY_DELTA, // then step APPLIED; before SET_LEASE
    LEASEHOLDER_ACTION_SET_LEASE,
    LEASEHOLDER_ACTION_LEASE_EXPIRED,
    LEASEHOLDER_ACTION_REVOKE,
    LEASEHOLDER_ACTION_SET_QUOTAS,
    LEASEHOLDER_ACTION_SET_RELAYS,
    LEASEHOLDER_ACTION_WAKE,
};

// What is pointed to is valid until the next step of this leaseholder, or
// belongs to the event.
struct leaseholder_action {
    enum leaseholder_action_kind kind;
    union {
        struct {
            struct leaseholder_address address;
            const struct ck_renew_args *args;
            int64_t timeout_us;
        } send;
        const struct ck_view_delta *delta;
        int64_t valid_until_us;
        struct ck_revocation revoke;
        struct {
            const struct ck_quota *items;
            size_t count;
        } quotas;
        const struct ck_renew_result *relays; // its list of relays counts
        int64_t wake_at_us;
    };
};

struct leaseholder_actions {
    struct leaseholder_action *items;
    size_t count;
    size_t capacity;
};

struct leaseholder *
leaseholder_create(const struct leaseholder_params *params);
void leaseholder_destroy(struct leaseholder *holder);
void leaseholder_step(struct leaseholder *holder, int64_t now_us,
                      const struct leaseholder_event *event,
                      struct leaseholder_actions *actions);
void leaseholder_actions_free(struct leaseholder_actions *actions);

uint64_t leaseholder_get_revision(const struct leaseholder *holder);
uint64_t leaseholder_get_leader_term(const struct leaseholder *holder);
int64_t leaseholder_get_valid_until_us(const struct leaseholder *holder);
// What a notification is answered with: the revocations confirmed so far,
// borrowed until the next step.
void leaseholder_fill_notify_result(const struct leaseholder *holder,
                                    struct ck_notify_result *result);

#endif
