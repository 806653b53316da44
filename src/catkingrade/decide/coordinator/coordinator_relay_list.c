// What entries are sent about relays: the lists of those databases whose lists
// have changed since the entry learnt of them.

#include "catkingrade/decide/coordinator/coordinator_relay.h"
#include "catkingrade/kernel/memory.h"

// The relays of more databases are sent with a renewal after this time, so
// that a change of many does not occupy the links of the entries.
#define COORDINATOR_MAX_RELAYS_PER_REPLY 64
#define COORDINATOR_MORE_RELAYS_US       200000
// Lower bits of the relays version that count changes; the upper bits contain
// the leader term.
#define COORDINATOR_RELAYS_VERSION_BITS 32
#define COORDINATOR_RELAYS_VERSION_MASK                                       \
    ((UINT64_C(1) << COORDINATOR_RELAYS_VERSION_BITS) - 1)

// Returns whether an entry holds connections to the upstreams of a database.
static bool
coordinator_is_relay(const struct coordinator_relay_plan *plan,
                     const struct coordinator_holder *holder)
{
    size_t position = coordinator_get_relay_position(plan, holder);

    return plan->all_are_relays ||
           (position != RELAY_PLAN_NONE && plan->entries[position].is_relay);
}

// Returns the number of entries with connections to a database, which detect
// the loss of its primary.
size_t
coordinator_count_connected_entries(const struct coordinator *coordinator,
                                    const struct ck_database *database)
{
    const struct coordinator_relay_plan *plan =
        coordinator_find_relay_plan(coordinator, database->name);

    return plan == NULL ? coordinator_count_leased_entries(coordinator)
                        : plan->relays_count;
}

// Returns whether an entry sends its statements of a database through relays:
// it is not a relay itself, or it cannot reach the primary. An unreachable
// primary does not count during a failover, so that no relay is used to reach
// the old primary.
static bool
coordinator_uses_relays(const struct coordinator *coordinator,
                        const struct coordinator_relay_plan *plan,
                        const struct coordinator_holder *holder)
{
    const struct coordinator_database *db =
        coordinator_find_database(coordinator, plan->database);

    return !coordinator_is_relay(plan, holder) ||
           (db != NULL && db->phase == COORDINATOR_PHASE_IDLE &&
            coordinator_is_primary_unreachable(coordinator, plan, holder));
}

// Fills the relays among which entries divide the customers of a database.
// Those that run no statements or do not reach the primary are left out, which
// is the same for all entries, and so is the entry itself.
static void
coordinator_fill_spread(struct coordinator *coordinator,
                        const struct coordinator_relay_plan *plan,
                        const struct coordinator_holder *holder,
                        struct ck_relay *out)
{
    char **hosts = coordinator_actions_own(
        coordinator->actions, xcalloc(CK_RELAY_SPREAD, sizeof(char *)));
    u_int count = 0;

    for (size_t i = 0; i < plan->relays_count && count < CK_RELAY_SPREAD;
         i++) {
        size_t index = plan->relays[i];
        if (plan->holders[index] != holder && !plan->entries[index].is_idle &&
            !plan->entries[index].primary_unreachable) {
            hosts[count++] = plan->holders[index]->daemon.host;
        }
    }
    out->spread.spread_val = hosts;
    out->spread.spread_len = count;
}

// Fills the relays of an entry for one database.
static void
coordinator_fill_relay(struct coordinator *coordinator,
                       const struct coordinator_relay_plan *plan,
                       const struct coordinator_holder *holder,
                       struct ck_relay *out)
{
    const struct ck_daemon *daemon = &holder->daemon;
    size_t indexes[CK_RELAY_HOSTS];
    size_t position = coordinator_get_relay_position(plan, holder);
    size_t count = relay_plan_list_nearest(
        daemon->vm, daemon->failure_domain,
        position == RELAY_PLAN_NONE ? NULL : &plan->choices[position],
        plan->entries, plan->relays, plan->relays_count, indexes,
        CK_RELAY_HOSTS);

    out->database = plan->database;
    if (count == 0) {
        return;
    }
    // If no other entry reaches the primary either, the entry runs its
    // statements itself.
    out->standby = !coordinator_uses_relays(coordinator, plan, holder) ||
                   (coordinator_is_relay(plan, holder) &&
                    plan->entries[indexes[0]].primary_unreachable);
    out->hosts.hosts_len = (u_int)count;
    out->hosts.hosts_val = coordinator_actions_own(
        coordinator->actions, xcalloc(count, sizeof(char *)));
    for (size_t i = 0; i < count; i++) {
        out->hosts.hosts_val[i] = plan->holders[indexes[i]]->daemon.host;
    }
    if (coordinator->params.relay_by_customer && !out->standby) {
        coordinator_fill_spread(coordinator, plan, holder, out);
    }
}

// Returns a version of the relays as an entry reports it. It contains the
// leader term, so that versions of different leaders differ.
static uint64_t
coordinator_make_relays_version(const struct coordinator *coordinator,
                                uint64_t version)
{
    return coordinator->leader_term << COORDINATOR_RELAYS_VERSION_BITS |
           (version & COORDINATOR_RELAYS_VERSION_MASK);
}

// Returns the version up to which an entry has the relays; 0 if it has those
// of another leader or none.
static uint64_t
coordinator_get_known_relays(const struct coordinator *coordinator,
                             uint64_t reported)
{
    uint64_t version = reported & COORDINATOR_RELAYS_VERSION_MASK;

    return reported == coordinator_make_relays_version(coordinator, version)
               ? version
               : 0;
}

// Returns the oldest plan with a change after a version, or NULL.
static const struct coordinator_relay_plan *
coordinator_find_relays_after(const struct coordinator *coordinator,
                              uint64_t version, size_t *count)
{
    const struct coordinator_relay_plan *plan = coordinator->relays_newest;
    const struct coordinator_relay_plan *found = NULL;

    *count = 0;
    while (plan != NULL && plan->version > version) {
        found = plan;
        plan = plan->older;
        (*count)++;
    }
    return found;
}

// Fills the relays of a renewal reply that have changed since the version
// which the entry has: for each database, the entries that run the statements
// of this entry now, or only while it has no lease (standby).
void
coordinator_fill_relays(struct coordinator *coordinator,
                        const struct coordinator_holder *holder,
                        const struct ck_renew_args *args,
                        struct ck_renew_result *result)
{
    size_t count = 0;

    if (coordinator->params.relay_min_connections == 0 ||
        !coordinator_is_entry(holder) ||
        !coordinator_allocates_all(coordinator)) {
        return;
    }
    uint64_t version =
        coordinator_get_known_relays(coordinator, args->relays_version);
    const struct coordinator_relay_plan *plan =
        coordinator_find_relays_after(coordinator, version, &count);
    if (count > COORDINATOR_MAX_RELAYS_PER_REPLY) {
        count = COORDINATOR_MAX_RELAYS_PER_REPLY;
        coordinator_hasten(result, COORDINATOR_MORE_RELAYS_US);
    }
    result->relays.relays_val = coordinator_actions_own(
        coordinator->actions, xcalloc(count, sizeof(struct ck_relay)));
    result->relays.relays_len = (u_int)count;
    for (size_t i = 0; i < count; i++) {
        coordinator_fill_relay(coordinator, plan, holder,
                               &result->relays.relays_val[i]);
        version = plan->version;
        plan = plan->newer;
    }
    result->relays_version =
        coordinator_make_relays_version(coordinator, version);
}
