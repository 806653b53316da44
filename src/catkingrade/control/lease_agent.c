#include "catkingrade/control/lease_agent.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/control/lease_agent_private.h"
#include "catkingrade/decide/group/group.h"
#include "catkingrade/kernel/json_text.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/settings.h"

#define LEASE_AGENT_US_PER_MS 1000

struct group_lease *
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
    group_lease_reply_notifications(lease, false);
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

// Renews the lease from the fleet's control group early, since its view may be
// out of date.
static void
lease_agent_handle_want_renewal(void *data)
{
    struct lease_agent *agent = data;
    struct leaseholder_event event = {.kind = LEASEHOLDER_EVENT_WANT_RENEWAL};
    struct group_lease *lease =
        lease_agent_find_lease(agent, GROUP_FLEET_NAME);

    if (lease != NULL && agent->return_us == 0) {
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
        .want_renewal = lease_agent_handle_want_renewal,
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
        group_lease_free(&agent->leases[i]);
    }
    loop_timer_destroy(agent->demand_timer);
    view_release(agent->view);
    free(agent->given_up);
    free(agent->leases);
    free(agent);
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
        buffer_append_text(json, i == 0 ? "{\"group\":" : ",{\"group\":");
        json_text_append(json, lease->group);
        buffer_append_format(
            json,
            ",\"revision\":%" PRIu64 ",\"leader_term\":%" PRIu64
            ",\"lease_left_ms\":%" PRId64 "}",
            view_get_revision(agent->view, lease->group),
            leaseholder_get_leader_term(lease->leaseholder),
            lease->valid_until_us > now_us
                ? (lease->valid_until_us - now_us) / LEASE_AGENT_US_PER_MS
                : (int64_t)0);
    }
    buffer_append_text(json, "]");
}
