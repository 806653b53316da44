// Relays. If an upstream has too few connections for all entries, only some
// entries, the relays, hold connections to a database. The other entries send
// their statements of the database through a relay. So does an entry that
// cannot reach the primary of a database while other entries can.

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "catkingrade/decide/coordinator/coordinator_private.h"
#include "catkingrade/decide/coordinator/relay_plan.h"
#include "catkingrade/decide/coordinator/relay_spread.h"
#include "catkingrade/kernel/memory.h"

// Minimum interval between two selections of the relays of a database.
#define COORDINATOR_RELAY_PLAN_INTERVAL_US 200000
// Lower bits of the relays version that count changes; the upper bits contain
// the leader term.
#define COORDINATOR_RELAYS_VERSION_BITS 32
#define COORDINATOR_RELAYS_VERSION_MASK                                       \
    ((UINT64_C(1) << COORDINATOR_RELAYS_VERSION_BITS) - 1)

// An entry that reports the primary as unreachable uses relays for this time.
#define COORDINATOR_UNREACHABLE_LIFETIME_US 3000000

// An entry that has reported the primary of a database as unreachable.
struct coordinator_unreachable {
    const struct coordinator_holder *holder;
    int64_t until_us;
};

// The relays of a database.
struct coordinator_relay_plan {
    struct coordinator_relay_plan *next;
    char *database;
    int64_t planned_us;      // last selection; 0: select at the next use
    bool all_are_relays;     // every entry is a relay
    size_t registered_count; // registered entries, with or without a lease
    // Registered entries with a lease: parameters of relay_plan_select, and
    // their holders at the same index.
    struct relay_plan_entry *entries;
    struct coordinator_holder **holders;
    struct relay_plan_choice *choices;
    size_t count;
    // Index in entries by index of struct coordinator_holder; RELAY_PLAN_NONE:
    // not in the plan.
    size_t *positions;
    size_t positions_count; // length of positions
    struct coordinator_unreachable *unreachable;
    size_t unreachable_count;
    uint64_t hash; // of what is sent to entries about this plan
};

void
coordinator_free_relays(struct coordinator *coordinator)
{
    while (coordinator->relay_plans != NULL) {
        struct coordinator_relay_plan *plan = coordinator->relay_plans;
        coordinator->relay_plans = plan->next;
        free(plan->entries);
        free(plan->holders);
        free(plan->choices);
        free(plan->positions);
        free(plan->unreachable);
        free(plan->database);
        free(plan);
    }
}

// Updates the plans that contain a holder whose daemon record has changed:
// they point to strings of that record. The relays are not selected anew,
// because after a restart of all entries each of them would cause a new
// selection.
void
coordinator_update_relay_entries(struct coordinator *coordinator,
                                 const struct coordinator_holder *holder)
{
    for (struct coordinator_relay_plan *plan = coordinator->relay_plans;
         plan != NULL; plan = plan->next) {
        for (size_t i = 0; i < plan->count; i++) {
            if (plan->holders[i] == holder) {
                plan->entries[i].vm = holder->daemon.vm;
                plan->entries[i].failure_domain =
                    holder->daemon.failure_domain;
            }
        }
    }
}

static struct coordinator_relay_plan *
coordinator_get_or_add_relay_plan(struct coordinator *coordinator,
                                  const char *database)
{
    struct coordinator_relay_plan *plan =
        group_index_get(coordinator->index, COORDINATOR_KEY_RELAY, database);

    if (plan == NULL) {
        plan = xcalloc(1, sizeof(*plan));
        plan->database = xstrdup(database);
        plan->next = coordinator->relay_plans;
        coordinator->relay_plans = plan;
        group_index_put(coordinator->index, COORDINATOR_KEY_RELAY, database,
                        plan);
    }
    return plan;
}

// Returns whether an entry has recently reported the primary as unreachable.
static bool
coordinator_is_primary_unreachable(const struct coordinator *coordinator,
                                   const struct coordinator_relay_plan *plan,
                                   const struct coordinator_holder *holder)
{
    for (size_t i = 0; i < plan->unreachable_count; i++) {
        if (plan->unreachable[i].holder == holder) {
            return plan->unreachable[i].until_us > coordinator->now_us;
        }
    }
    return false;
}

// Records that an entry has reported the primary of a database as unreachable.
void
coordinator_record_unreachable(struct coordinator *coordinator,
                               const char *database,
                               const struct coordinator_holder *holder)
{
    if (coordinator->params.relay_min_connections == 0) {
        return;
    }
    struct coordinator_relay_plan *plan =
        coordinator_get_or_add_relay_plan(coordinator, database);
    size_t index = 0;

    while (index < plan->unreachable_count &&
           plan->unreachable[index].holder != holder) {
        index++;
    }
    if (index == plan->unreachable_count) {
        plan->unreachable_count++;
        plan->unreachable =
            xrealloc(plan->unreachable,
                     plan->unreachable_count * sizeof(*plan->unreachable));
        plan->unreachable[index].holder = holder;
    }
    plan->unreachable[index].until_us =
        coordinator->now_us + COORDINATOR_UNREACHABLE_LIFETIME_US;
    plan->planned_us = 0; // update the plan in this renewal's reply
}

// Returns the smallest number of connections available for quotas among the
// upstreams of a database that are not lost.
static uint32_t
coordinator_get_min_connections(const struct ck_database *database)
{
    uint32_t min_connections = UINT32_MAX;

    for (u_int i = 0; i < database->upstreams.upstreams_len; i++) {
        const struct ck_upstream *upstream =
            &database->upstreams.upstreams_val[i];
        uint32_t connections = coordinator_get_quota_connections(upstream);
        if (upstream->state != CK_UPSTREAM_LOST &&
            connections < min_connections) {
            min_connections = connections;
        }
    }
    return min_connections;
}

// Lists the entries that can be relays: registered, and with a lease that may
// be valid. An entry that has just restarted counts by its earlier lease, so
// that the relays stay the same.
static void
coordinator_list_relay_entries(const struct coordinator *coordinator,
                               struct coordinator_relay_plan *plan)
{
    size_t capacity = 0;

    for (const struct coordinator_holder *holder = coordinator->holders;
         holder != NULL; holder = holder->next) {
        capacity++;
    }
    plan->entries =
        xrealloc(plan->entries, (capacity + 1) * sizeof(*plan->entries));
    plan->holders =
        xrealloc(plan->holders, (capacity + 1) * sizeof(*plan->holders));
    plan->choices =
        xrealloc(plan->choices, (capacity + 1) * sizeof(*plan->choices));
    plan->count = 0;
    plan->registered_count = 0;
    for (struct coordinator_holder *holder = coordinator->holders;
         holder != NULL; holder = holder->next) {
        if (!coordinator_is_entry(holder) ||
            group_find_daemon(coordinator->group, holder->daemon.vm) == NULL) {
            continue;
        }
        plan->registered_count++;
        if (!coordinator_has_quota(coordinator, holder) &&
            !coordinator_has_previous_quota(coordinator, holder)) {
            continue;
        }
        plan->entries[plan->count] = (struct relay_plan_entry){
            .vm = holder->daemon.vm,
            .failure_domain = holder->daemon.failure_domain};
        plan->holders[plan->count++] = holder;
    }
}

// Builds the lookup table of entries by holder index.
static void
coordinator_index_relays(const struct coordinator *coordinator,
                         struct coordinator_relay_plan *plan)
{
    plan->positions_count = coordinator->holders_count;
    plan->positions = xrealloc(plan->positions, (plan->positions_count + 1) *
                                                    sizeof(*plan->positions));
    for (size_t i = 0; i < plan->positions_count; i++) {
        plan->positions[i] = RELAY_PLAN_NONE;
    }
    for (size_t i = 0; i < plan->count; i++) {
        plan->positions[plan->holders[i]->index] = i;
    }
}

// Returns the index of an entry in a plan, or RELAY_PLAN_NONE.
static size_t
coordinator_get_relay_position(const struct coordinator_relay_plan *plan,
                               const struct coordinator_holder *holder)
{
    return holder->index < plan->positions_count
               ? plan->positions[holder->index]
               : RELAY_PLAN_NONE;
}

// Adds the relays of a plan to the numbers of databases of their holders, or
// takes them away.
static void
coordinator_count_relays(const struct coordinator_relay_plan *plan, bool added)
{
    for (size_t i = 0; i < plan->count; i++) {
        if (plan->entries[i].is_relay) {
            plan->holders[i]->relayed_count += added ? 1 : -1;
        }
    }
}

// Returns whether a relay runs no statements of others at present: it has
// given its lease back, gets none, or waits for its first connection to the
// primary after a restart. It stays selected, because its quotas are not free
// for another relay yet.
static bool
coordinator_is_relay_idle(const struct coordinator *coordinator,
                          const struct ck_database *database,
                          const struct coordinator_holder *holder)
{
    return holder->is_returned ||
           coordinator_is_lease_denied(coordinator, holder) ||
           coordinator_awaits_connections(coordinator, database->primary,
                                          holder);
}

// Selects the relays of each database anew at its next use.
void
coordinator_expire_relay_plans(struct coordinator *coordinator)
{
    for (struct coordinator_relay_plan *plan = coordinator->relay_plans;
         plan != NULL; plan = plan->next) {
        plan->planned_us = 0;
    }
}

// Increases relays_version if what entries are sent about a database has
// changed.
static void
coordinator_update_relays_version(struct coordinator *coordinator,
                                  const struct ck_database *database,
                                  struct coordinator_relay_plan *plan)
{
    const struct coordinator_database *db =
        coordinator_find_database(coordinator, plan->database);
    uint64_t hash = db != NULL && db->phase == COORDINATOR_PHASE_IDLE ? 1 : 0;

    for (size_t i = 0; i < plan->count; i++) {
        struct relay_plan_entry *entry = &plan->entries[i];
        entry->primary_unreachable = coordinator_is_primary_unreachable(
            coordinator, plan, plan->holders[i]);
        entry->is_idle =
            entry->is_relay &&
            coordinator_is_relay_idle(coordinator, database, plan->holders[i]);
        entry->databases_count = (uint32_t)plan->holders[i]->relayed_count;
        const char *host = plan->holders[i]->daemon.host;
        const uint64_t row[] = {(uint64_t)(uintptr_t)plan->holders[i],
                                XXH3_64bits(host, strlen(host)),
                                entry->is_relay,
                                entry->primary_unreachable,
                                entry->is_idle,
                                entry->is_relay ? entry->databases_count : 0};
        hash = XXH3_64bits_withSeed(row, sizeof(row), hash);
    }
    if (hash != plan->hash) {
        plan->hash = hash;
        relay_spread_assign(plan->entries, plan->count, plan->choices);
        coordinator->relays_version++;
    }
}

// Selects the relays of a database, unless the last selection is recent.
static struct coordinator_relay_plan *
coordinator_update_relay_plan(struct coordinator *coordinator,
                              const struct ck_database *database)
{
    struct coordinator_relay_plan *plan =
        coordinator_get_or_add_relay_plan(coordinator, database->name);

    if (plan->planned_us != 0 && coordinator->now_us - plan->planned_us <
                                     COORDINATOR_RELAY_PLAN_INTERVAL_US) {
        return plan;
    }
    plan->planned_us = coordinator->now_us;
    coordinator_count_relays(plan, false);
    coordinator_list_relay_entries(coordinator, plan);
    uint32_t count = relay_plan_count(
        coordinator_get_min_connections(database),
        coordinator->params.relay_min_connections, plan->registered_count);
    plan->all_are_relays = count == 0;
    relay_plan_select(database->name, count, plan->entries, plan->count);
    coordinator_count_relays(plan, true);
    coordinator_index_relays(coordinator, plan);
    coordinator_update_relays_version(coordinator, database, plan);
    return plan;
}

// Returns whether an entry holds connections to the upstreams of a database.
bool
coordinator_is_relay(struct coordinator *coordinator,
                     const struct ck_database *database,
                     const struct coordinator_holder *holder)
{
    if (coordinator->params.relay_min_connections == 0) {
        return true;
    }
    const struct coordinator_relay_plan *plan =
        coordinator_update_relay_plan(coordinator, database);
    if (plan->all_are_relays) {
        return true;
    }
    size_t position = coordinator_get_relay_position(plan, holder);
    return position != RELAY_PLAN_NONE && plan->entries[position].is_relay;
}

// Returns the number of entries with connections to a database, which detect
// the loss of its primary.
size_t
coordinator_count_connected_entries(struct coordinator *coordinator,
                                    const struct ck_database *database)
{
    if (coordinator->params.relay_min_connections == 0) {
        return coordinator_count_leased_entries(coordinator);
    }
    const struct coordinator_relay_plan *plan =
        coordinator_update_relay_plan(coordinator, database);
    size_t count = 0;
    for (size_t i = 0; i < plan->count; i++) {
        count += plan->entries[i].is_relay ? 1 : 0;
    }
    return count;
}

// Returns whether an entry sends its statements of a database through relays:
// it is not a relay itself, or it cannot reach the primary. An unreachable
// primary does not count during a failover, so that no relay is used to reach
// the old primary.
static bool
coordinator_uses_relays(struct coordinator *coordinator,
                        const struct ck_database *database,
                        const struct coordinator_holder *holder)
{
    const struct coordinator_database *db =
        coordinator_find_database(coordinator, database->name);

    return !coordinator_is_relay(coordinator, database, holder) ||
           (db != NULL && db->phase == COORDINATOR_PHASE_IDLE &&
            coordinator_is_primary_unreachable(
                coordinator,
                coordinator_get_or_add_relay_plan(coordinator, database->name),
                holder));
}

// The relays of one renewal reply under construction.
struct coordinator_relay_list {
    struct coordinator *coordinator;
    const struct coordinator_holder *holder;
    struct ck_relay *relays;
    size_t count;
};

static bool
coordinator_append_relay(void *data, const struct ck_database *database)
{
    struct coordinator_relay_list *list = data;
    struct coordinator *coordinator = list->coordinator;
    const struct ck_daemon *daemon = &list->holder->daemon;
    size_t indexes[CK_RELAY_HOSTS];

    const struct coordinator_relay_plan *plan =
        coordinator_update_relay_plan(coordinator, database);
    struct ck_relay *out = &list->relays[list->count++];
    out->database = plan->database;
    size_t position = coordinator_get_relay_position(plan, list->holder);
    size_t count = relay_plan_list_nearest(
        daemon->vm, daemon->failure_domain,
        position == RELAY_PLAN_NONE ? NULL : &plan->choices[position],
        plan->entries, plan->count, indexes, CK_RELAY_HOSTS);
    if (count == 0) {
        list->count--;
        return true;
    }
    // If no other entry reaches the primary either, the entry runs its
    // statements itself.
    out->standby =
        !coordinator_uses_relays(coordinator, database, list->holder) ||
        (coordinator_is_relay(coordinator, database, list->holder) &&
         plan->entries[indexes[0]].primary_unreachable);
    out->hosts.hosts_len = (u_int)count;
    out->hosts.hosts_val = coordinator_actions_own(
        coordinator->actions, xcalloc(count, sizeof(char *)));
    for (size_t i = 0; i < count; i++) {
        out->hosts.hosts_val[i] = plan->holders[indexes[i]]->daemon.host;
    }
    return true;
}

static bool
coordinator_visit_relay_plan(void *data, const struct ck_database *database)
{
    (void)coordinator_update_relay_plan(data, database);
    return true;
}

// Returns the version of all relay plans. It contains the leader term, so that
// versions of different leaders differ.
static uint64_t
coordinator_get_relays_version(const struct coordinator *coordinator)
{
    return coordinator->leader_term << COORDINATOR_RELAYS_VERSION_BITS |
           (coordinator->relays_version & COORDINATOR_RELAYS_VERSION_MASK);
}

// Fills the relays of a renewal reply: for each database, the entries that run
// the statements of this entry now, or only while it has no lease (standby).
// The list is empty if the entry already has the current version.
void
coordinator_fill_relays(struct coordinator *coordinator,
                        const struct coordinator_holder *holder,
                        const struct ck_renew_args *args,
                        struct ck_renew_result *result)
{
    size_t databases = group_get_databases_count(coordinator->group);
    struct coordinator_relay_list list = {.coordinator = coordinator,
                                          .holder = holder};

    if (coordinator->params.relay_min_connections == 0 ||
        !coordinator_is_entry(holder) ||
        !coordinator_allocates_all(coordinator)) {
        return;
    }
    group_visit_databases(coordinator->group, coordinator_visit_relay_plan,
                          coordinator);
    result->relays_version = coordinator_get_relays_version(coordinator);
    if (args->relays_version == result->relays_version) {
        return;
    }
    list.relays = coordinator_actions_own(
        coordinator->actions, xcalloc(databases, sizeof(*list.relays)));
    group_visit_databases(coordinator->group, coordinator_append_relay, &list);
    result->relays.relays_val = list.relays;
    result->relays.relays_len = (u_int)list.count;
}
