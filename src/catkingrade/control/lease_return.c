#include "catkingrade/control/lease_agent_private.h"
#include "catkingrade/kernel/memory.h"

// Return of the leases at a planned stop.

// Time after which a stop no longer waits for the return of the leases.
#define LEASE_RETURN_LIMIT_US 500000

static void
group_lease_return(struct group_lease *lease)
{
    struct leaseholder_event event = {.kind = LEASEHOLDER_EVENT_RETURN};

    group_lease_step(lease, &event);
}

// Notes that no traffic thread uses the term of a database any more, and
// returns the group's lease when this was the last of its databases.
void
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

// Returns whether all leases are returned, or LEASE_RETURN_LIMIT_US have
// passed since lease_agent_return was called.
bool
lease_agent_is_returned(const struct lease_agent *agent)
{
    bool returned = agent->return_us != 0;

    if (returned &&
        monotonic_get_us() - agent->return_us >= LEASE_RETURN_LIMIT_US) {
        return true;
    }
    for (size_t i = 0; i < agent->leases_count; i++) {
        returned =
            returned && leaseholder_is_returned(agent->leases[i].leaseholder);
    }
    return returned;
}
