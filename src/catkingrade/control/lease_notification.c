#include <string.h>

#include "catkingrade/control/lease_agent_private.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

// Notifications from coordinators. The reply to a notification with
// revocations waits until the traffic threads have confirmed them.

#define LEASE_NOTIFICATION_TIMEOUT_US 100000

static bool
lease_notification_is_confirmed(const struct lease_notification *notification,
                                const struct ck_notify_result *result)
{
    for (u_int i = 0; i < notification->args.revoked.revoked_len; i++) {
        const struct ck_revocation *wanted =
            &notification->args.revoked.revoked_val[i];
        bool found = false;
        for (u_int j = 0; j < result->confirmed.confirmed_len; j++) {
            const struct ck_revocation *row =
                &result->confirmed.confirmed_val[j];
            found = found || (strcmp(row->database, wanted->database) == 0 &&
                              row->term >= wanted->term);
        }
        if (!found) {
            return false;
        }
    }
    return true;
}

static void
lease_notification_clear(struct lease_notification *notification)
{
    loop_timer_destroy(notification->timer);
    codec_free((xdrproc_t)xdr_ck_notify_args, &notification->args);
    memset(notification, 0, sizeof(*notification));
}

// Replies to a notification if all of its revocations are confirmed or if
// force is set, and frees its slot.
static void
lease_notification_reply(struct lease_notification *notification, bool force)
{
    struct ck_notify_result result = {0};

    if (notification->request == NULL) {
        return;
    }
    leaseholder_fill_notify_result(notification->lease->leaseholder, &result);
    if (!force && !lease_notification_is_confirmed(notification, &result)) {
        return;
    }
    rpcnet_reply(notification->request, &result);
    lease_notification_clear(notification);
}

static void
lease_notification_handle_timer(void *data)
{
    lease_notification_reply(data, true);
}

void
group_lease_reply_notifications(struct group_lease *lease, bool all)
{
    for (size_t i = 0; i < LEASE_AGENT_MAX_PENDING_NOTIFICATIONS; i++) {
        lease_notification_reply(&lease->notifications[i], all);
    }
}

static struct lease_notification *
group_lease_find_free_notification(struct group_lease *lease)
{
    for (size_t i = 0; i < LEASE_AGENT_MAX_PENDING_NOTIFICATIONS; i++) {
        if (lease->notifications[i].request == NULL) {
            return &lease->notifications[i];
        }
    }
    return NULL;
}

static void
lease_agent_reply_notify(struct rpcnet_request *request, int outcome)
{
    struct ck_notify_result result = {.outcome = outcome};

    result.daemon.vm = "";
    result.daemon.failure_domain = "";
    result.daemon.host = "";
    rpcnet_reply(request, &result);
}

void
lease_agent_handle_notify(void *data, struct rpcnet_request *request,
                          const void *args)
{
    struct lease_agent *agent = data;
    const struct ck_notify_args *notify_args = args;
    struct leaseholder_event event = {.kind = LEASEHOLDER_EVENT_NOTIFIED};
    struct group_lease *lease =
        lease_agent_find_lease(agent, notify_args->group);

    if (lease == NULL) {
        lease_agent_reply_notify(request, OUTCOME_NOT_FOUND);
        return;
    }
    const struct settings_address *peer = rpcnet_request_get_peer(request);
    struct leaseholder_address from = {.port = peer->port};
    memcpy(from.host, peer->host, sizeof(from.host));
    event.from = &from;
    event.notified = notify_args;
    group_lease_step(lease, &event);
    struct lease_notification *notification =
        group_lease_find_free_notification(lease);
    if (notification == NULL) {
        lease_agent_reply_notify(request, OUTCOME_OVERLOADED);
        return;
    }
    notification->lease = lease;
    notification->request = request;
    codec_copy((xdrproc_t)xdr_ck_notify_args, notify_args, &notification->args,
               sizeof(notification->args));
    notification->timer = loop_timer_create(
        agent->loop, lease_notification_handle_timer, notification);
    loop_timer_set(notification->timer,
                   monotonic_get_us() + LEASE_NOTIFICATION_TIMEOUT_US);
    lease_notification_reply(notification, false);
}
