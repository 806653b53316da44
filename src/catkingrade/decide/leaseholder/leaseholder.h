#ifndef CATKINGRADE_DECIDE_LEASEHOLDER_H
#define CATKINGRADE_DECIDE_LEASEHOLDER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/rpc/messages.h"

// Main header of decide/leaseholder, the entry's side of a lease.
//
// Lease state machine of an entry for one control group. It locates the
// group's Raft leader, renews the entry's lease there and orders the effects
// of each renewal: a view delta is applied before the lease that depends on it
// is extended. It also delivers quotas, relays and revocations to the entry,
// and suspicions, demands and confirmed revocations of the entry to the
// coordinator. It does no I/O: the caller feeds events to leaseholder_step and
// carries out the actions. Times are in microseconds on the entry's monotonic
// clock.
struct leaseholder;

struct leaseholder_address {
    char host[64];
    unsigned port;
};

struct leaseholder_params {
    const char *group;
    struct ck_daemon daemon; // this entry; copied by leaseholder_create
    const struct leaseholder_address *voters;
    size_t voters_count;
    int64_t renew_us;        // interval between two renewals
    int64_t call_timeout_us; // of one renewal call; not above renew_us
    int64_t retry_us;        // base of the backoff; delay after OUTCOME_AGAIN
    unsigned drift_ppm;      // assumed clock drift, deducted from each lease
    uint64_t seed;           // of the random numbers for jitter
};

enum leaseholder_event_kind {
    LEASEHOLDER_EVENT_TICK,
    LEASEHOLDER_EVENT_RENEWED,
    LEASEHOLDER_EVENT_RENEW_FAILED, // call timed out or was not sent
    LEASEHOLDER_EVENT_NOTIFIED,
    LEASEHOLDER_EVENT_SUSPECT,
    LEASEHOLDER_EVENT_CONFIRM_REVOKED,
    LEASEHOLDER_EVENT_DEMAND, // a measurement of the demand of an upstream
    LEASEHOLDER_EVENT_OPEN_REQUESTS,
    // The view may be out of date: renew soon.
    LEASEHOLDER_EVENT_WANT_RENEWAL,
    // The view has applied the last delta, or starts at this revision.
    LEASEHOLDER_EVENT_APPLIED,
    // The entry uses its lease no more: it acknowledges no write, and sends no
    // read to a primary, from now on.
    LEASEHOLDER_EVENT_RETURN,
};

// Pointers are borrowed and used only during the step.
struct leaseholder_event {
    enum leaseholder_event_kind kind;
    // NOTIFIED: address of the sending Raft leader, or NULL if unknown.
    const struct leaseholder_address *from;
    union {
        const struct ck_renew_result *renewed;
        uint64_t sequence; // RENEW_FAILED: sequence number of the call
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
    // Apply the delta before any SET_LEASE that follows. Send the event
    // APPLIED after the actions of this step.
    LEASEHOLDER_ACTION_APPLY_DELTA,
    LEASEHOLDER_ACTION_SET_LEASE,
    LEASEHOLDER_ACTION_LEASE_EXPIRED,
    LEASEHOLDER_ACTION_REVOKE,
    LEASEHOLDER_ACTION_SET_QUOTAS,
    LEASEHOLDER_ACTION_SET_RELAYS,
    LEASEHOLDER_ACTION_RETURNED, // the Raft leader has the lease back
    LEASEHOLDER_ACTION_WAKE,     // send TICK at wake_at_us
};

// Pointers stay valid until the next step of this leaseholder; those into the
// event are valid as long as the event.
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
        // SET_QUOTAS: those that have changed.
        struct {
            const struct ck_quota *items;
            size_t count;
        } quotas;
        // SET_RELAYS: only the relays in this result are used, those of the
        // databases for which they have changed. In force with the SET_QUOTAS
        // that follows.
        const struct ck_renew_result *relays;
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

bool leaseholder_is_returned(const struct leaseholder *holder);
uint64_t leaseholder_get_revision(const struct leaseholder *holder);
uint64_t leaseholder_get_leader_term(const struct leaseholder *holder);
int64_t leaseholder_get_valid_until_us(const struct leaseholder *holder);
void leaseholder_fill_notify_result(const struct leaseholder *holder,
                                    struct ck_notify_result *result);

#endif
