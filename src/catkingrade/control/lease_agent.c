#include "catkingrade/control/lease_agent.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/leaseholder/leaseholder.h"
#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/log.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/kernel/settings.h"
#include "catkingrade/kernel/timeline.h"
#include "catkingrade/rpc/codec.h"
#include "catkingrade/rpc/rpcnet.h"

#define LEASE_AGENT_RETRY_US  50000
#define LEASE_AGENT_US_PER_MS 1000
// Timeout of one renewal call. A voter that does not answer within it may be
// down; the leaseholder then calls the next one.
#define LEASE_AGENT_CALL_TIMEOUT_US           250000
#define LEASE_AGENT_NOTIFICATION_TIMEOUT_US   100000
#define LEASE_AGENT_MAX_PENDING_NOTIFICATIONS 8
// Time after which a stop no longer waits for the return of the leases.
#define LEASE_AGENT_RETURN_LIMIT_US 500000

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
    // Databases whose terms the traffic threads still have to give up before
    // the lease is returned.
    size_t in_use;
};

// Renewal call that has not returned yet.
struct lease_renewal_call {
    struct group_lease *lease;
    uint64_t sequence;
};

// The entry reports not ready once less than lease_us divided by this is left
// of its lease, so that clients are sent to other entries before it expires.
#define LEASE_AGENT_UNREADY_LEASE_DIVISOR 2

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

static void group_lease_step(struct group_lease *lease,
                             const struct leaseholder_event *event);

static struct group_lease *
lease_agent_find_lease(struct lease_agent *agent, const char *group)
{
    for (size_t i = 0; i < agent->leases_count; i++) {
        if (strcmp(agent->leases[i].group, group) == 0) {
            return &agent->leases[i];
        }
    }
    return NULL;
}

// Returns the lease from the control group of a database, or NULL if the view
// has no such database.
static struct group_lease *
lease_agent_find_database_lease(struct lease_agent *agent,
                                const char *database)
{
    const struct ck_database *found =
        view_find_database(agent->view, database);

    return found == NULL ? NULL : lease_agent_find_lease(agent, found->group);
}

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

// Replaces the view by one with the delta applied. Returns false if the delta
// starts after the view's revision. The next renewal then requests the changes
// since that revision.
static bool
group_lease_apply_delta(struct group_lease *lease,
                        const struct ck_view_delta *delta)
{
    struct lease_agent *agent = lease->agent;
    struct leaseholder_event event = {.kind = LEASEHOLDER_EVENT_APPLIED};
    struct view *view = view_apply_delta(agent->view, lease->group, delta);

    if (view != NULL) {
        view_release(agent->view);
        agent->view = view;
        entry_post_view(agent->daemon->entry, view);
        counter_add(COUNTER_CHANGES, 1);
    }
    event.revision = view_get_revision(agent->view, lease->group);
    group_lease_step(lease, &event);
    return view != NULL;
}

// Sets the readiness reported by /readyz, if ready_with_lease is set. An entry
// without a lease or a declaration cannot serve requests that need a primary,
// so the load balancer must send clients to other entries.
static void
group_lease_set_ready(const struct group_lease *lease, bool has_lease)
{
    struct daemon *daemon = lease->agent->daemon;
    uint64_t number = 0;
    bool has_declaration =
        view_get_declaration(lease->agent->view, &number) != NULL;

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
static void
group_lease_check_validity(struct group_lease *lease)
{
    struct lease_agent *agent = lease->agent;
    const struct settings *settings = agent->daemon->settings;
    int64_t now_us = monotonic_get_us();

    if (lease->valid_until_us == 0) {
        return;
    }
    if (lease->valid_until_us - now_us <
        settings->lease_us / LEASE_AGENT_UNREADY_LEASE_DIVISOR) {
        group_lease_set_ready(lease, false);
    }
    if (!lease->held && !agent->sessions_ended &&
        agent->unready_since_us != 0 &&
        now_us - agent->unready_since_us >= settings->drain_notice_us) {
        agent->sessions_ended = true;
        LOG_INFO("sessions_ended", "group=%s unready_ms=%" PRId64,
                 lease->group,
                 (now_us - agent->unready_since_us) / LEASE_AGENT_US_PER_MS);
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
group_lease_step(struct group_lease *lease,
                 const struct leaseholder_event *event)
{
    struct leaseholder_actions actions = {0};

    leaseholder_step(lease->leaseholder, monotonic_get_us(), event, &actions);
    bool proceed = true;
    for (size_t i = 0; proceed && i < actions.count; i++) {
        proceed = group_lease_run_action(lease, &actions.items[i]);
    }
    leaseholder_actions_free(&actions);
}

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

static void
group_lease_reply_notifications(struct group_lease *lease)
{
    for (size_t i = 0; i < LEASE_AGENT_MAX_PENDING_NOTIFICATIONS; i++) {
        lease_notification_reply(&lease->notifications[i], false);
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

static void
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
                   monotonic_get_us() + LEASE_AGENT_NOTIFICATION_TIMEOUT_US);
    lease_notification_reply(notification, false);
}

static void
lease_agent_handle_suspicion(void *data, const struct ck_suspicion *suspicion)
{
    struct leaseholder_event event = {.kind = LEASEHOLDER_EVENT_SUSPECT};
    struct group_lease *lease =
        lease_agent_find_database_lease(data, suspicion->database);

    if (lease != NULL) {
        event.suspicion = suspicion;
        group_lease_step(lease, &event);
    }
}

static void
group_lease_return(struct group_lease *lease)
{
    struct leaseholder_event event = {.kind = LEASEHOLDER_EVENT_RETURN};

    group_lease_step(lease, &event);
}

// Notes that no traffic thread uses the term of a database any more, and
// returns the group's lease when this was the last of its databases.
static void
lease_agent_give_up_term(struct lease_agent *agent, struct group_lease *lease,
                         const char *name, uint64_t term)
{
    const struct ck_database *database = view_find_database(agent->view, name);
    size_t index = 0;

    if (database == NULL || term < database->term) {
        return;
    }
    while (view_get_database(agent->view, index) != database) {
        index++;
    }
    if (agent->given_up[index]) {
        return;
    }
    agent->given_up[index] = true;
    lease->in_use--;
    if (lease->in_use == 0) {
        group_lease_return(lease);
    }
}

static void
lease_agent_handle_revocation_confirmed(void *data, const char *database,
                                        uint64_t term)
{
    struct lease_agent *agent = data;
    struct leaseholder_event event = {.kind =
                                          LEASEHOLDER_EVENT_CONFIRM_REVOKED};
    struct group_lease *lease =
        lease_agent_find_database_lease(agent, database);

    if (lease == NULL) {
        return;
    }
    if (agent->return_us != 0) {
        lease_agent_give_up_term(agent, lease, database, term);
        return;
    }
    event.revocation.database = (char *)(uintptr_t)database;
    event.revocation.term = term;
    group_lease_step(lease, &event);
    group_lease_reply_notifications(lease);
}

static void
lease_agent_handle_demand(void *data, const char *database,
                          const struct ck_demand *demands, size_t count)
{
    struct leaseholder_event event = {.kind = LEASEHOLDER_EVENT_DEMAND};
    struct group_lease *lease =
        lease_agent_find_database_lease(data, database);

    for (size_t i = 0; lease != NULL && i < count; i++) {
        event.demand = &demands[i];
        group_lease_step(lease, &event);
    }
}

// Counts the open requests of draining customers in this entry.
static unsigned
lease_agent_count_open_requests(const struct lease_agent *agent)
{
    uint64_t open = 0;

    for (size_t i = 0; i < view_get_databases_count(agent->view); i++) {
        const struct ck_database *database = view_get_database(agent->view, i);
        const struct ck_customer *customer =
            view_find_customer(agent->view, database->customer);
        if (customer != NULL && customer->state == CK_CUSTOMER_DRAINING) {
            open +=
                entry_get_open_requests(agent->daemon->entry, customer->name);
        }
    }
    return (unsigned)open;
}

// Runs twice per renewal interval: collects demand from the traffic threads,
// updates the count of open requests and checks the leases.
static void
lease_agent_handle_demand_timer(void *data)
{
    struct lease_agent *agent = data;
    struct leaseholder_event event = {.kind = LEASEHOLDER_EVENT_OPEN_REQUESTS};

    entry_collect_demand(agent->daemon->entry);
    event.open_requests = lease_agent_count_open_requests(agent);
    for (size_t i = 0; i < agent->leases_count; i++) {
        group_lease_step(&agent->leases[i], &event);
        group_lease_check_validity(&agent->leases[i]);
    }
    loop_timer_set(agent->demand_timer,
                   monotonic_get_us() + agent->daemon->settings->renew_us / 2);
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

static void
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
    params.call_timeout_us = settings->renew_us < LEASE_AGENT_CALL_TIMEOUT_US
                                 ? settings->renew_us
                                 : LEASE_AGENT_CALL_TIMEOUT_US;
    params.retry_us = LEASE_AGENT_RETRY_US;
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

// Starts to renew the leases of all groups in the settings. daemon->entry must
// exist; the agent receives its reports from now on.
struct lease_agent *
lease_agent_create(struct daemon *daemon)
{
    const struct settings *settings = daemon->settings;
    struct lease_agent *agent = xcalloc(1, sizeof(*agent));
    struct entry_report_handlers reports = {
        .suspect = lease_agent_handle_suspicion,
        .confirm_revoked = lease_agent_handle_revocation_confirmed,
        .demand = lease_agent_handle_demand,
        .data = agent,
    };

    agent->daemon = daemon;
    agent->loop = daemon->control_loop;
    agent->view = view_create();
    agent->leases = xcalloc(settings->groups_count, sizeof(*agent->leases));
    agent->leases_count = settings->groups_count;
    for (size_t i = 0; i < settings->groups_count; i++) {
        group_lease_init(&agent->leases[i], agent, &settings->groups[i]);
    }
    agent->demand_timer =
        loop_timer_create(agent->loop, lease_agent_handle_demand_timer, agent);
    loop_timer_set(agent->demand_timer, monotonic_get_us());
    entry_set_report_handlers(daemon->entry, &reports);
    rpcnet_set_handler(daemon->rpcnet, &rpcnet_notify,
                       lease_agent_handle_notify, agent);
    return agent;
}

// Stops the renewals and replies to pending notifications. Leases that are
// held expire at their normal time.
void
lease_agent_destroy(struct lease_agent *agent)
{
    struct entry_report_handlers no_reports = {0};

    rpcnet_set_handler(agent->daemon->rpcnet, &rpcnet_notify, NULL, NULL);
    entry_set_report_handlers(agent->daemon->entry, &no_reports);
    for (size_t i = 0; i < agent->leases_count; i++) {
        struct group_lease *lease = &agent->leases[i];
        for (size_t j = 0; j < LEASE_AGENT_MAX_PENDING_NOTIFICATIONS; j++) {
            lease_notification_reply(&lease->notifications[j], true);
        }
        loop_timer_destroy(lease->timer);
        leaseholder_destroy(lease->leaseholder);
        free(lease->group);
    }
    loop_timer_destroy(agent->demand_timer);
    view_release(agent->view);
    free(agent->given_up);
    free(agent->leases);
    free(agent);
}

// Gives all leases back, as the last step of a stop that needs them: no entry
// or control VM waits for them afterwards. First the traffic threads give up
// the term of every database, as for a revocation; so from then on this entry
// acknowledges no write and sends no read that needs the lease. Requests that
// wait for an answer must be answered before. Calls after the first have no
// effect.
void
lease_agent_return(struct lease_agent *agent)
{
    size_t count = view_get_databases_count(agent->view);

    if (agent->return_us != 0) {
        return;
    }
    agent->return_us = monotonic_get_us();
    agent->given_up = xcalloc(count, sizeof(*agent->given_up));
    for (size_t i = 0; i < count; i++) {
        const struct ck_database *database = view_get_database(agent->view, i);
        struct group_lease *lease =
            lease_agent_find_lease(agent, database->group);
        if (lease != NULL) {
            lease->in_use++;
            entry_post_revocation(agent->daemon->entry, database->name,
                                  database->term);
        }
    }
    for (size_t i = 0; i < agent->leases_count; i++) {
        if (agent->leases[i].in_use == 0) {
            group_lease_return(&agent->leases[i]);
        }
    }
}

// Returns whether all leases are returned, or LEASE_AGENT_RETURN_LIMIT_US have
// passed since lease_agent_return was called.
bool
lease_agent_is_returned(const struct lease_agent *agent)
{
    bool returned = agent->return_us != 0;

    if (returned &&
        monotonic_get_us() - agent->return_us >= LEASE_AGENT_RETURN_LIMIT_US) {
        return true;
    }
    for (size_t i = 0; i < agent->leases_count; i++) {
        returned =
            returned && leaseholder_is_returned(agent->leases[i].leaseholder);
    }
    return returned;
}

// Returns the current view, borrowed until the next loop iteration.
const struct view *
lease_agent_get_view(const struct lease_agent *agent)
{
    return agent->view;
}

// Appends a JSON array with the state of each group's lease.
void
lease_agent_describe(const struct lease_agent *agent, struct buffer *json)
{
    int64_t now_us = monotonic_get_us();

    buffer_append_text(json, "[");
    for (size_t i = 0; i < agent->leases_count; i++) {
        const struct group_lease *lease = &agent->leases[i];
        buffer_append_format(json,
                             "%s{\"group\":\"%s\",\"revision\":%" PRIu64
                             ",\"leader_term\":%" PRIu64
                             ",\"lease_left_ms\":%" PRId64 "}",
                             i == 0 ? "" : ",", lease->group,
                             view_get_revision(agent->view, lease->group),
                             leaseholder_get_leader_term(lease->leaseholder),
                             lease->valid_until_us > now_us
                                 ? (lease->valid_until_us - now_us) / 1000
                                 : (int64_t)0);
    }
    buffer_append_text(json, "]");
}
