#ifndef CATKINGRADE_CONTROL_LEASE_AGENT_PRIVATE_H
#define CATKINGRADE_CONTROL_LEASE_AGENT_PRIVATE_H

#include <stdbool.h>
#include <stdint.h>

#include "catkingrade/control/lease_agent.h"
#include "catkingrade/decide/leaseholder/leaseholder.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/rpc/rpcnet.h"

// Data that the files of the lease agent share.

#define LEASE_AGENT_MAX_PENDING_NOTIFICATIONS 8

struct group_lease;

// A notification from a coordinator. The reply is sent once all of its
// revocations are confirmed, or at the timeout with those confirmed by then.
struct lease_notification {
    struct group_lease *lease;
    struct rpcnet_request *request; // NULL: the slot is free
    struct ck_notify_args args;
    struct loop_timer *timer;
};

// This entry's lease from one control group.
struct group_lease {
    struct lease_agent *agent;
    char *group;
    struct leaseholder *leaseholder;
    struct loop_timer *timer;
    struct lease_notification
        notifications[LEASE_AGENT_MAX_PENDING_NOTIFICATIONS];
    int64_t valid_until_us; // 0: never granted
    bool held;
    bool is_stepping;    // actions of a step are being executed
    bool is_applied_due; // the event APPLIED follows that step
    // Databases whose terms the traffic threads still have to give up before
    // the lease is returned.
    size_t in_use;
};

struct lease_agent {
    struct daemon *daemon;
    struct loop *loop;
    struct group_lease *leases;
    size_t leases_count;
    struct loop_timer *demand_timer;
    struct view *view;
    int64_t unready_since_us; // 0: the entry is ready
    bool sessions_ended;      // sessions were ended since then
    // Return of the leases at a stop: its begin (0: none), and by index of the
    // view which databases' terms are given up.
    int64_t return_us;
    bool *given_up;
};

// Returns the lease from a group, or NULL if the settings have no such group.
struct group_lease *lease_agent_find_lease(struct lease_agent *agent,
                                           const char *group);

// One lease; group_lease.c. Starts to renew the lease from a group.
void group_lease_init(struct group_lease *lease, struct lease_agent *agent,
                      const struct settings_group *group);
// Ends the renewals and replies to pending notifications.
void group_lease_free(struct group_lease *lease);
// Passes an event to the leaseholder and executes its actions.
void group_lease_step(struct group_lease *lease,
                      const struct leaseholder_event *event);
void group_lease_check_validity(struct group_lease *lease);

// Notifications; lease_notification.c. Handles one from a coordinator: data is
// the agent, args a ck_notify_args.
void lease_agent_handle_notify(void *data, struct rpcnet_request *request,
                               const void *args);
// Replies to the notifications of a lease whose revocations are confirmed, or
// to all of them.
void group_lease_reply_notifications(struct group_lease *lease, bool all);

// Return of the leases; lease_return.c.
void lease_agent_give_up_term(struct lease_agent *agent,
                              struct group_lease *lease, const char *name,
                              uint64_t term);

#endif
