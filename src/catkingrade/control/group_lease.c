#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/control/lease_agent_private.h"
#include "catkingrade/control/limit_list.h"
#include "catkingrade/entry/declared_customers.h"
#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/log.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/kernel/settings.h"
#include "catkingrade/kernel/timeline.h"

// The lease from one control group: renewals, and the actions of its
// leaseholder.

#define GROUP_LEASE_RETRY_US  50000
#define GROUP_LEASE_US_PER_MS 1000
// Timeout of one renewal call. A voter that does not answer within it may be
// down; the leaseholder then calls the next one.
#define GROUP_LEASE_CALL_TIMEOUT_US 250000
// The entry reports not ready once less than lease_us divided by this is left
// of its lease, so that clients are sent to other entries before it expires.
#define GROUP_LEASE_UNREADY_LEASE_DIVISOR 2

// Renewal call that has not returned yet.
struct lease_renewal_call {
    struct group_lease *lease;
    uint64_t sequence;
};

static void
group_lease_handle_timer(void *data)
{
    struct leaseholder_event event = {.kind = LEASEHOLDER_EVENT_TICK};

    group_lease_step(data, &event);
}

static void
group_lease_handle_renew_result(void *data, int outcome, const void *result)
{
    struct lease_renewal_call *call = data;
    struct group_lease *lease = call->lease;
    struct leaseholder_event event = {.kind = LEASEHOLDER_EVENT_RENEWED};

    if (outcome == OUTCOME_CLOSED) {
        free(call);
        return;
    }
    if (outcome == OUTCOME_OK) {
        counter_add(COUNTER_LEASE_RENEWALS, 1);
        event.renewed = result;
    }
    else {
        event.kind = LEASEHOLDER_EVENT_RENEW_FAILED;
        event.sequence = call->sequence;
    }
    free(call);
    group_lease_step(lease, &event);
}

static void
group_lease_send_renewal(struct group_lease *lease,
                         const struct leaseholder_action *action)
{
    struct lease_renewal_call *call = xcalloc(1, sizeof(*call));
    struct settings_address peer = {0};

    call->lease = lease;
    call->sequence = action->send.args->sequence;
    memcpy(peer.host, action->send.address.host, sizeof(peer.host));
    peer.port = (uint16_t)action->send.address.port;
    rpcnet_call(lease->agent->daemon->rpcnet, &peer, &rpcnet_renew,
                action->send.args, action->send.timeout_us,
                action->send.timeout_us, group_lease_handle_renew_result,
                call);
}

// Gives the entry the rate limits of the customers in a view, if they differ
// from those in the view before; NULL: there was none.
static void
group_lease_update_limits(const struct group_lease *lease,
                          const struct view *before, const struct view *view)
{
    const struct declared_customers *customers =
        view_get_declared_customers(view);
    struct limit_list limits = {0};

    if (before != NULL && view_get_declared_customers(before) == customers) {
        return;
    }
    for (size_t i = 0; i < declared_customers_get_count(customers); i++) {
        limit_list_add(&limits, declared_customers_get(customers, i));
    }
    entry_set_limits(lease->agent->daemon->entry, limits.items, limits.count);
    limit_list_free(&limits);
}

// Replaces the view by one with the delta applied. Returns false if the delta
// starts after the view's revision. The next renewal then requests the changes
// since that revision.
static bool
group_lease_apply_delta(struct group_lease *lease,
                        const struct ck_view_delta *delta)
{
    struct lease_agent *agent = lease->agent;
    struct view *view = view_apply_delta(agent->view, lease->group, delta);

    if (view != NULL) {
        group_lease_update_limits(lease, agent->view, view);
        view_release(agent->view);
        agent->view = view;
        entry_post_view(agent->daemon->entry, view);
        counter_add(COUNTER_CHANGES, 1);
    }
    lease->is_applied_due = true;
    return view != NULL;
}

// Sets the readiness reported by /readyz, if ready_with_lease is set. An entry
// without a lease or a declaration cannot serve requests that need a primary,
// so the load balancer must send clients to other entries.
static void
group_lease_set_ready(const struct group_lease *lease, bool has_lease)
{
    struct daemon *daemon = lease->agent->daemon;
    bool has_declaration = view_get_declared(lease->agent->view)->number != 0;

    if (!daemon->settings->ready_with_lease) {
        return;
    }
    bool ready = has_lease && has_declaration;
    atomic_store(&daemon->ready, ready);
    if (ready) {
        lease->agent->unready_since_us = 0;
        lease->agent->sessions_ended = false;
    }
    else if (lease->agent->unready_since_us == 0) {
        lease->agent->unready_since_us = monotonic_get_us();
    }
}

// Reports this entry not ready while its lease is not renewed. Once the lease
// has expired and the load balancer has had drain_notice_us to react, ends the
// client sessions at their next transaction boundary, so that clients
// reconnect to an entry that can serve them.
void
group_lease_check_validity(struct group_lease *lease)
{
    struct lease_agent *agent = lease->agent;
    const struct settings *settings = agent->daemon->settings;
    int64_t now_us = monotonic_get_us();

    if (lease->valid_until_us == 0) {
        return;
    }
    if (lease->valid_until_us - now_us <
        settings->lease_us / GROUP_LEASE_UNREADY_LEASE_DIVISOR) {
        group_lease_set_ready(lease, false);
    }
    if (!lease->held && !agent->sessions_ended &&
        agent->unready_since_us != 0 &&
        now_us - agent->unready_since_us >= settings->drain_notice_us) {
        agent->sessions_ended = true;
        LOG_INFO("sessions_ended", "group=%s unready_ms=%" PRId64,
                 lease->group,
                 (now_us - agent->unready_since_us) / GROUP_LEASE_US_PER_MS);
        entry_post_shed(agent->daemon->entry);
    }
}

static void
group_lease_extend(struct group_lease *lease, int64_t valid_until_us)
{
    lease->valid_until_us = valid_until_us;
    entry_post_lease(lease->agent->daemon->entry, lease->group,
                     valid_until_us);
    group_lease_set_ready(lease, true);
    if (!lease->held) {
        LOG_INFO("lease_held", "group=%s", lease->group);
        timeline_record("lease_held", NULL, NULL, 0, "group=%s", lease->group);
        lease->held = true;
    }
}

static void
group_lease_handle_expired(struct group_lease *lease)
{
    counter_add(COUNTER_LEASE_EXPIRED, 1);
    LOG_WARNING("lease_expired", "group=%s", lease->group);
    group_lease_set_ready(lease, false);
    timeline_record("lease_expired", NULL, NULL, 0, "group=%s", lease->group);
    lease->held = false;
}

// Executes one action. Returns false if the following actions must be skipped:
// a lease received with a delta must not be used if the delta was not applied.
static bool
group_lease_run_action(struct group_lease *lease,
                       const struct leaseholder_action *action)
{
    struct entry *entry = lease->agent->daemon->entry;

    // From the begin of the return on, no view or lease reaches the traffic
    // threads, which would use a new term under it.
    if (lease->agent->return_us != 0 &&
        (action->kind == LEASEHOLDER_ACTION_APPLY_DELTA ||
         action->kind == LEASEHOLDER_ACTION_SET_LEASE)) {
        return false;
    }
    switch (action->kind) {
    case LEASEHOLDER_ACTION_SEND_RENEW:
        group_lease_send_renewal(lease, action);
        break;
    case LEASEHOLDER_ACTION_APPLY_DELTA:
        return group_lease_apply_delta(lease, action->delta);
    case LEASEHOLDER_ACTION_SET_LEASE:
        group_lease_extend(lease, action->valid_until_us);
        break;
    case LEASEHOLDER_ACTION_LEASE_EXPIRED:
        group_lease_handle_expired(lease);
        break;
    case LEASEHOLDER_ACTION_REVOKE:
        entry_post_revocation(entry, action->revoke.database,
                              action->revoke.term);
        break;
    case LEASEHOLDER_ACTION_SET_QUOTAS:
        entry_post_quotas(entry, action->quotas.items, action->quotas.count);
        break;
    case LEASEHOLDER_ACTION_SET_RELAYS:
        entry_post_relays(entry, action->relays->relays.relays_val,
                          action->relays->relays.relays_len);
        break;
    case LEASEHOLDER_ACTION_RETURNED:
        LOG_INFO("lease_returned", "group=%s", lease->group);
        timeline_record("lease_returned", NULL, NULL, 0, "group=%s",
                        lease->group);
        lease->held = false;
        break;
    case LEASEHOLDER_ACTION_WAKE:
        loop_timer_set(lease->timer, action->wake_at_us);
        break;
    }
    return true;
}

static void
group_lease_run_step(struct group_lease *lease,
                     const struct leaseholder_event *event)
{
    struct leaseholder_actions actions = {0};
    bool proceed = true;

    // A step within another one would free what the actions refer to.
    INVARIANT(!lease->is_stepping);
    lease->is_stepping = true;
    leaseholder_step(lease->leaseholder, monotonic_get_us(), event, &actions);
    for (size_t i = 0; proceed && i < actions.count; i++) {
        proceed = group_lease_run_action(lease, &actions.items[i]);
    }
    leaseholder_actions_free(&actions);
    lease->is_stepping = false;
}

// Passes an event to the leaseholder and executes its actions. If a delta was
// among them, the revision of the view follows as an event of its own.
void
group_lease_step(struct group_lease *lease,
                 const struct leaseholder_event *event)
{
    struct leaseholder_event applied = {.kind = LEASEHOLDER_EVENT_APPLIED};

    group_lease_run_step(lease, event);
    if (!lease->is_applied_due) {
        return;
    }
    lease->is_applied_due = false;
    applied.revision = view_get_revision(lease->agent->view, lease->group);
    group_lease_run_step(lease, &applied);
}

// Lists the addresses to which renewals may be sent until the group's leader
// is known: the voters in the settings, then the seeds. The caller frees them.
static struct leaseholder_address *
lease_agent_list_addresses(const struct settings *settings,
                           const struct settings_group *group, size_t *count)
{
    struct leaseholder_address *addresses = xcalloc(
        group->voters_count + settings->seeds_count, sizeof(*addresses));

    *count = 0;
    for (size_t i = 0; i < group->voters_count; i++) {
        memcpy(addresses[*count].host, group->voters[i].rpc.host,
               sizeof(addresses[*count].host));
        addresses[*count].port = group->voters[i].rpc.port;
        (*count)++;
    }
    for (size_t i = 0; i < settings->seeds_count; i++) {
        memcpy(addresses[*count].host, settings->seeds[i].host,
               sizeof(addresses[*count].host));
        addresses[*count].port = settings->seeds[i].port;
        (*count)++;
    }
    return addresses;
}

void
group_lease_init(struct group_lease *lease, struct lease_agent *agent,
                 const struct settings_group *group)
{
    const struct settings *settings = agent->daemon->settings;
    struct leaseholder_params params = {0};
    struct leaseholder_address *addresses =
        lease_agent_list_addresses(settings, group, &params.voters_count);

    params.group = group->name;
    params.voters = addresses;
    params.daemon.vm = settings->vm;
    params.daemon.incarnation = agent->daemon->incarnation;
    params.daemon.failure_domain = settings->failure_domain;
    params.daemon.host = agent->daemon->settings->rpc.host;
    params.daemon.port = settings->rpc.port;
    params.daemon.roles = settings->roles;
    params.renew_us = settings->renew_us;
    params.call_timeout_us = settings->renew_us < GROUP_LEASE_CALL_TIMEOUT_US
                                 ? settings->renew_us
                                 : GROUP_LEASE_CALL_TIMEOUT_US;
    params.retry_us = GROUP_LEASE_RETRY_US;
    params.drift_ppm = settings->clock_drift_ppm;
    params.seed = agent->daemon->incarnation;
    lease->agent = agent;
    lease->group = xstrdup(group->name);
    lease->leaseholder = leaseholder_create(&params);
    lease->timer =
        loop_timer_create(agent->loop, group_lease_handle_timer, lease);
    loop_timer_set(lease->timer, monotonic_get_us());
    free(addresses);
}

void
group_lease_free(struct group_lease *lease)
{
    group_lease_reply_notifications(lease, true);
    loop_timer_destroy(lease->timer);
    leaseholder_destroy(lease->leaseholder);
    free(lease->group);
}
