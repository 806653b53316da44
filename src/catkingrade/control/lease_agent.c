#include "catkingrade/control/lease_agent.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/leaseholder.h"
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
// A voter that has not answered by then may be gone: the next is asked.
#define LEASE_AGENT_CALL_TIMEOUT_US           250000
#define LEASE_AGENT_NOTIFICATION_TIMEOUT_US   100000
#define LEASE_AGENT_MAX_PENDING_NOTIFICATIONS 8

struct group_lease;

// A notification that is answered once all it revokes is confirmed, or at
// its time limit with what is confirmed by then.
struct lease_notification {
    struct group_lease *holder;
    struct rpcnet_request *request;
    struct ck_notify_args args;
    struct loop_timer *timer;
};

// The lease of one control group.
struct group_lease {
    struct lease_agent *agent;
    char *group;
    struct leaseholder *machine;
    struct loop_timer *timer;
    struct lease_notification notifies[LEASE_AGENT_MAX_PENDING_NOTIFICATIONS];
    int64_t valid_until_us;
    bool held;
};

// One renewal that is out.
struct lease_renewal_call {
    struct group_lease *holder;
    uint64_t sequence;
};

// An entry calls itself not ready when this part of its lease is left, so that
// callers go elsewhere before it has run out.
#define LEASE_AGENT_UNREADY_LEASE_DIVISOR 2

struct lease_agent {
    struct daemon *daemon;
    struct loop *loop;
    struct group_lease *holders;
    size_t holders_count;
    struct loop_timer *demand_timer;
    struct view *view;
    int64_t unready_since_us; // 0: it is ready
    bool shed;                // its callers were sent elsewhere since then
};

static void group_lease_step(struct group_lease *holder,
                             const struct leaseholder_event *event);

static struct group_lease *
lease_agent_find_lease(struct lease_agent *agent, const char *group)
{
    for (size_t i = 0; i < agent->holders_count; i++) {
        if (strcmp(agent->holders[i].group, group) == 0) {
            return &agent->holders[i];
        }
    }
    return NULL;
}

// Returns the holder of the group that decides a database; NULL when the view
// does not have it.
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
    struct group_lease *holder = call->holder;
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
    group_lease_step(holder, &event);
}

static void
group_lease_send_renewal(struct group_lease *holder,
                         const struct leaseholder_action *action)
{
    struct lease_renewal_call *call = xcalloc(1, sizeof(*call));
    struct settings_address peer = {0};

    call->holder = holder;
    call->sequence = action->send.args->sequence;
    memcpy(peer.host, action->send.address.host, sizeof(peer.host));
    peer.port = (uint16_t)action->send.address.port;
    rpcnet_call(holder->agent->daemon->rpcnet, &peer, &rpcnet_renew,
                action->send.args, action->send.timeout_us,
                action->send.timeout_us, group_lease_handle_renew_result,
                call);
}

// Brings a delta into a new view. Returns false when it does not join on to
// the revision at hand, from which the next renewal then asks.
static bool
group_lease_apply_delta(struct group_lease *holder,
                        const struct ck_view_delta *delta)
{
    struct lease_agent *agent = holder->agent;
    struct leaseholder_event event = {.kind = LEASEHOLDER_EVENT_APPLIED};
    struct view *view = view_apply_delta(agent->view, holder->group, delta);

    if (view != NULL) {
        view_release(agent->view);
        agent->view = view;
        entry_post_view(agent->daemon->entry, view);
        counter_add(COUNTER_CHANGES, 1);
    }
    event.revision = view_get_revision(agent->view, holder->group);
    group_lease_step(holder, &event);
    return view != NULL;
}

// An entry without a view or a lease cannot serve what needs a primary: the
// balancer sends callers elsewhere.
static void
group_lease_set_ready(const struct group_lease *holder, bool leased)
{
    struct daemon *daemon = holder->agent->daemon;
    uint64_t number = 0;
    bool informed = view_get_declaration(holder->agent->view, &number) != NULL;

    if (!daemon->settings->ready_with_lease) {
        return;
    }
    bool ready = leased && informed;
    atomic_store(&daemon->ready, ready);
    if (ready) {
        holder->agent->unready_since_us = 0;
        holder->agent->shed = false;
    }
    else if (holder->agent->unready_since_us == 0) {
        holder->agent->unready_since_us = monotonic_get_us();
    }
}

// Calls this entry not ready while its lease is not renewed, and ends its
// callers' sessions at their next boundary once the lease has run out and the
// balancer has had time to notice: they come back to an entry that can serve
// them.
static void
group_lease_check_validity(struct group_lease *holder)
{
    struct lease_agent *agent = holder->agent;
    const struct settings *settings = agent->daemon->settings;
    int64_t now_us = monotonic_get_us();

    if (holder->valid_until_us == 0) {
        return;
    }
    if (holder->valid_until_us - now_us <
        settings->lease_us / LEASE_AGENT_UNREADY_LEASE_DIVISOR) {
        group_lease_set_ready(holder, false);
    }
    if (!holder->held && !agent->shed && agent->unready_since_us != 0 &&
        now_us - agent->unready_since_us >= settings->drain_notice_us) {
        agent->shed = true;
        LOG_INFO("sessions_ended", "group=%s unready_ms=%" PRId64,
                 holder->group,
                 (now_us - agent->unready_since_us) / LEASE_AGENT_US_PER_MS);
        entry_post_shed(agent->daemon->entry);
    }
}

static void
group_lease_extend(struct group_lease *holder, int64_t valid_until_us)
{
    holder->valid_until_us = valid_until_us;
    entry_post_lease(holder->agent->daemon->entry, holder->group,
                     valid_until_us);
    group_lease_set_ready(holder, true);
    if (!holder->held) {
        LOG_INFO("lease_held", "group=%s", holder->group);
        timeline_record("lease_held", NULL, NULL, 0, "group=%s",
                        holder->group);
        holder->held = true;
    }
}

static void
group_lease_handle_expired(struct group_lease *holder)
{
    counter_add(COUNTER_LEASE_EXPIRED, 1);
    LOG_WARNING("lease_expired", "group=%s", holder->group);
    group_lease_set_ready(holder, false);
    timeline_record("lease_expired", NULL, NULL, 0, "group=%s", holder->group);
    holder->held = false;
}

// Carries one action out. Returns false when those after it must not be: a
// lease that came with a delta is worth nothing without it.
static bool
group_lease_run_action(struct group_lease *holder,
                       const struct leaseholder_action *action)
{
    struct entry *entry = holder->agent->daemon->entry;

    switch (action->kind) {
    case LEASEHOLDER_ACTION_SEND_RENEW:
        group_lease_send_renewal(holder, action);
        break;
    case LEASEHOLDER_ACTION_APPLY_DELTA:
        return group_lease_apply_delta(holder, action->delta);
    case LEASEHOLDER_ACTION_SET_LEASE:
        group_lease_extend(holder, action->valid_until_us);
        break;
    case LEASEHOLDER_ACTION_LEASE_EXPIRED:
        group_lease_handle_expired(holder);
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
    case LEASEHOLDER_ACTION_WAKE:
        loop_timer_set(holder->timer, action->wake_at_us);
        break;
    }
    return true;
}

static void
group_lease_step(struct group_lease *holder,
                 const struct leaseholder_event *event)
{
    struct leaseholder_actions actions = {0};

    leaseholder_step(holder->machine, monotonic_get_us(), event, &actions);
    bool goes_on = true;
    for (size_t i = 0; goes_on && i < actions.count; i++) {
        goes_on = group_lease_run_action(holder, &actions.items[i]);
    }
    leaseholder_actions_free(&actions);
}

static bool
lease_notification_is_confirmed(const struct lease_notification *notify,
                                const struct ck_notify_result *result)
{
    for (u_int i = 0; i < notify->args.revoked.revoked_len; i++) {
        const struct ck_revocation *wanted =
            &notify->args.revoked.revoked_val[i];
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
lease_notification_clear(struct lease_notification *notify)
{
    loop_timer_destroy(notify->timer);
    codec_free((xdrproc_t)xdr_ck_notify_args, &notify->args);
    memset(notify, 0, sizeof(*notify));
}

// Answers a notification when all it revokes is confirmed, or in any case
// when force is set.
static void
lease_notification_reply(struct lease_notification *notify, bool force)
{
    struct ck_notify_result result = {0};

    if (notify->request == NULL) {
        return;
    }
    leaseholder_fill_notify_result(notify->holder->machine, &result);
    if (!force && !lease_notification_is_confirmed(notify, &result)) {
        return;
    }
    rpcnet_reply(notify->request, &result);
    lease_notification_clear(notify);
}

static void
lease_notification_handle_timer(void *data)
{
    lease_notification_reply(data, true);
}

static void
group_lease_reply_notifications(struct group_lease *holder)
{
    for (size_t i = 0; i < LEASE_AGENT_MAX_PENDING_NOTIFICATIONS; i++) {
        lease_notification_reply(&holder->notifies[i], false);
    }
}

static struct lease_notification *
group_lease_find_free_notification(struct group_lease *holder)
{
    for (size_t i = 0; i < LEASE_AGENT_MAX_PENDING_NOTIFICATIONS; i++) {
        if (holder->notifies[i].request == NULL) {
            return &holder->notifies[i];
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
    struct group_lease *holder =
        lease_agent_find_lease(agent, notify_args->group);

    if (holder == NULL) {
        lease_agent_reply_notify(request, OUTCOME_NOT_FOUND);
        return;
    }
    const struct settings_address *peer = rpcnet_request_get_peer(request);
    struct leaseholder_address from = {.port = peer->port};
    memcpy(from.host, peer->host, sizeof(from.host));
    event.from = &from;
    event.notified = notify_args;
    group_lease_step(holder, &event);
    struct lease_notification *notify =
        group_lease_find_free_notification(holder);
    if (notify == NULL) {
        lease_agent_reply_notify(request, OUTCOME_OVERLOADED);
        return;
    }
    notify->holder = holder;
    notify->request = request;
    codec_copy((xdrproc_t)xdr_ck_notify_args, notify_args, &notify->args,
               sizeof(notify->args));
    notify->timer = loop_timer_create(agent->loop,
                                      lease_notification_handle_timer, notify);
    loop_timer_set(notify->timer,
                   monotonic_get_us() + LEASE_AGENT_NOTIFICATION_TIMEOUT_US);
    lease_notification_reply(notify, false);
}

static void
lease_agent_handle_suspicion(void *data, const struct ck_suspicion *suspicion)
{
    struct leaseholder_event event = {.kind = LEASEHOLDER_EVENT_SUSPECT};
    struct group_lease *holder =
        lease_agent_find_database_lease(data, suspicion->database);

    if (holder != NULL) {
        event.suspicion = suspicion;
        group_lease_step(holder, &event);
    }
}

static void
lease_agent_handle_revocation_confirmed(void *data, const char *database,
                                        uint64_t term)
{
    struct leaseholder_event event = {.kind =
                                          LEASEHOLDER_EVENT_CONFIRM_REVOKED};
    struct group_lease *holder =
        lease_agent_find_database_lease(data, database);

    if (holder == NULL) {
        return;
    }
    event.revocation.database = (char *)(uintptr_t)database;
    event.revocation.term = term;
    group_lease_step(holder, &event);
    group_lease_reply_notifications(holder);
}

static void
lease_agent_handle_demand(void *data, const char *database,
                          const struct ck_demand *demands, size_t count)
{
    struct leaseholder_event event = {.kind = LEASEHOLDER_EVENT_DEMAND};
    struct group_lease *holder =
        lease_agent_find_database_lease(data, database);

    for (size_t i = 0; holder != NULL && i < count; i++) {
        event.demand = &demands[i];
        group_lease_step(holder, &event);
    }
}

// Counts what draining customers still have open in this entry.
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

// Gathers demand between two renewals.
static void
lease_agent_handle_demand_timer(void *data)
{
    struct lease_agent *agent = data;
    struct leaseholder_event event = {.kind = LEASEHOLDER_EVENT_OPEN_REQUESTS};

    entry_collect_demand(agent->daemon->entry);
    event.open_requests = lease_agent_count_open_requests(agent);
    for (size_t i = 0; i < agent->holders_count; i++) {
        group_lease_step(&agent->holders[i], &event);
        group_lease_check_validity(&agent->holders[i]);
    }
    loop_timer_set(agent->demand_timer,
                   monotonic_get_us() + agent->daemon->settings->renew_us / 2);
}

// Lists a group's voters, then the seeds, as places to ask for its leader.
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
group_lease_init(struct group_lease *holder, struct lease_agent *agent,
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
    holder->agent = agent;
    holder->group = xstrdup(group->name);
    holder->machine = leaseholder_create(&params);
    holder->timer =
        loop_timer_create(agent->loop, group_lease_handle_timer, holder);
    loop_timer_set(holder->timer, monotonic_get_us());
    free(addresses);
}

// Starts renewing the leases of all groups in the settings. The entry must be
// there; its reports come here from now on.
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
    agent->holders = xcalloc(settings->groups_count, sizeof(*agent->holders));
    agent->holders_count = settings->groups_count;
    for (size_t i = 0; i < settings->groups_count; i++) {
        group_lease_init(&agent->holders[i], agent, &settings->groups[i]);
    }
    agent->demand_timer =
        loop_timer_create(agent->loop, lease_agent_handle_demand_timer, agent);
    loop_timer_set(agent->demand_timer, monotonic_get_us());
    entry_set_report_handlers(daemon->entry, &reports);
    rpcnet_set_handler(daemon->rpcnet, &rpcnet_notify,
                       lease_agent_handle_notify, agent);
    return agent;
}

// Ends the renewals; leases held run out at their moment.
void
lease_agent_destroy(struct lease_agent *agent)
{
    struct entry_report_handlers no_reports = {0};

    rpcnet_set_handler(agent->daemon->rpcnet, &rpcnet_notify, NULL, NULL);
    entry_set_report_handlers(agent->daemon->entry, &no_reports);
    for (size_t i = 0; i < agent->holders_count; i++) {
        struct group_lease *holder = &agent->holders[i];
        for (size_t j = 0; j < LEASE_AGENT_MAX_PENDING_NOTIFICATIONS; j++) {
            lease_notification_reply(&holder->notifies[j], true);
        }
        loop_timer_destroy(holder->timer);
        leaseholder_destroy(holder->machine);
        free(holder->group);
    }
    loop_timer_destroy(agent->demand_timer);
    view_release(agent->view);
    free(agent->holders);
    free(agent);
}

// Returns the view in force, borrowed until the next turn of the loop.
const struct view *
lease_agent_get_view(const struct lease_agent *agent)
{
    return agent->view;
}

// Appends a JSON array with each group's lease, for the status.
void
lease_agent_describe(const struct lease_agent *agent, struct buffer *json)
{
    int64_t now_us = monotonic_get_us();

    buffer_append_text(json, "[");
    for (size_t i = 0; i < agent->holders_count; i++) {
        const struct group_lease *holder = &agent->holders[i];
        buffer_append_format(json,
                             "%s{\"group\":\"%s\",\"revision\":%" PRIu64
                             ",\"leader_term\":%" PRIu64
                             ",\"lease_left_ms\":%" PRId64 "}",
                             i == 0 ? "" : ",", holder->group,
                             view_get_revision(agent->view, holder->group),
                             leaseholder_get_leader_term(holder->machine),
                             holder->valid_until_us > now_us
                                 ? (holder->valid_until_us - now_us) / 1000
                                 : (int64_t)0);
    }
    buffer_append_text(json, "]");
}
