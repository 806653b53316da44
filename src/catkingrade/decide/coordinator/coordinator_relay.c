// Relays. If an upstream has too few connections for all entries, only some
// entries, the relays, hold connections to a database. The other entries send
// their statements of the database through a relay. So does an entry that
// cannot reach the primary of a database while other entries can.

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "catkingrade/decide/coordinator/coordinator_relay.h"
#include "catkingrade/decide/coordinator/relay_spread.h"
#include "catkingrade/kernel/memory.h"

// Minimum interval between two selections of the relays of a database.
#define COORDINATOR_RELAY_PLAN_INTERVAL_US 200000
// A plan without a known reason for a change is checked after this time.
#define COORDINATOR_RELAY_CHECK_INTERVAL_US 2000000
// Plans that one step looks at.
#define COORDINATOR_RELAY_MAX_CHECKS 64
// Candidates of the plans that are updated in a second, and at once after a
// pause. The other plans wait, so that a change of many, as when all entries
// start, leaves time for renewals.
#define COORDINATOR_RELAY_CANDIDATES_PER_S 120000
#define COORDINATOR_RELAY_MAX_CANDIDATES   6000
#define COORDINATOR_US_PER_S               1000000
// An entry that has joined renews early for this time, to learn the choice of
// relays and its quotas.
#define COORDINATOR_JOINING_US 1000000
// An entry that reports the primary as unreachable uses relays for this time.
#define COORDINATOR_UNREACHABLE_LIFETIME_US 3000000

// Returns whether an entry has recently reported the primary as unreachable.
bool
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

// Sets when the next report of an unreachable primary ends.
static void
coordinator_set_reachable_time(const struct coordinator *coordinator,
                               struct coordinator_relay_plan *plan)
{
    plan->reachable_us = INT64_MAX;
    for (size_t i = 0; i < plan->unreachable_count; i++) {
        int64_t until_us = plan->unreachable[i].until_us;
        if (until_us > coordinator->now_us && until_us < plan->reachable_us) {
            plan->reachable_us = until_us;
        }
    }
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
    coordinator_queue_relay_plan(coordinator, plan);
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

// Makes room for all holders as candidates of a plan.
static void
coordinator_reserve_relay_entries(const struct coordinator *coordinator,
                                  struct coordinator_relay_plan *plan)
{
    size_t capacity = coordinator->holders_count + 1;

    plan->entries = xrealloc(plan->entries, capacity * sizeof(*plan->entries));
    plan->holders = xrealloc(plan->holders, capacity * sizeof(*plan->holders));
    plan->choices = xrealloc(plan->choices, capacity * sizeof(*plan->choices));
}

// Lists the entries that can be relays: registered, and heard of not long ago.
// One that has no lease for a while stays a candidate, so that it has its role
// when it is back; meanwhile the others run its statements.
static void
coordinator_list_relay_entries(const struct coordinator *coordinator,
                               struct coordinator_relay_plan *plan)
{
    coordinator_reserve_relay_entries(coordinator, plan);
    plan->count = 0;
    plan->registered_count = 0;
    for (struct coordinator_holder *holder = coordinator->holders;
         holder != NULL; holder = holder->next) {
        bool counts = coordinator_is_entry(holder) && holder->is_registered;
        plan->registered_count += counts ? 1 : 0;
        if (!holder->is_candidate) {
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

// Adds the relays of a plan to the numbers of databases of their holders, or
// takes them away.
void
coordinator_count_relays(const struct coordinator_relay_plan *plan, bool added)
{
    for (size_t i = 0; i < plan->relays_count; i++) {
        plan->holders[plan->relays[i]]->relayed_count += added ? 1 : -1;
    }
}

// Returns whether a relay runs no statements of others at present: it has no
// lease, has given it back, gets none, or waits for its first connection to
// the primary after a restart. It stays selected, because it may be back soon,
// and its quotas are not free for another relay yet.
bool
coordinator_is_relay_idle(const struct coordinator *coordinator,
                          const struct ck_database *database,
                          const struct coordinator_holder *holder)
{
    return !coordinator_has_any_lease(coordinator, holder) ||
           holder->is_returned ||
           coordinator_is_lease_denied(coordinator, holder) ||
           coordinator_awaits_connections(coordinator, database->primary,
                                          holder);
}

// Has the relays of a database checked at the next step.
void
coordinator_check_relays_of(struct coordinator *coordinator,
                            const char *database)
{
    struct coordinator_relay_plan *plan =
        coordinator_find_relay_plan(coordinator, database);

    if (plan != NULL) {
        coordinator_queue_relay_plan(coordinator, plan);
    }
}

// Has the plans checked of which an entry is a relay, at the next step:
// whether it runs the statements of others has changed.
void
coordinator_check_relay(struct coordinator *coordinator,
                        const struct coordinator_holder *holder)
{
    for (struct coordinator_relay_plan *plan = coordinator->relay_plans;
         plan != NULL; plan = plan->next) {
        size_t position = coordinator_get_relay_position(plan, holder);
        if (position != RELAY_PLAN_NONE && plan->entries[position].is_relay) {
            coordinator_queue_relay_plan(coordinator, plan);
        }
    }
}

// Sets the flags of the entries of a plan. Returns a hash of what the lists of
// relays follow from, besides the choice of relays.
static uint64_t
coordinator_update_relay_flags(struct coordinator *coordinator,
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
        if (!entry->is_relay) {
            hash += entry->primary_unreachable ? i + 1 : 0;
            continue;
        }
        entry->is_idle =
            coordinator_is_relay_idle(coordinator, database, plan->holders[i]);
        entry->databases_count = (uint32_t)plan->holders[i]->relayed_count;
        const uint64_t row[] = {
            i, entry->primary_unreachable, entry->is_idle,
            relay_spread_share_capacity(entry->databases_count)};
        hash = XXH3_64bits_withSeed(row, sizeof(row), hash);
    }
    return XXH3_64bits_withSeed(&plan->candidates_version,
                                sizeof(plan->candidates_version), hash);
}

// Returns a hash of what entries are sent about a plan.
static uint64_t
coordinator_hash_relays(const struct coordinator_relay_plan *plan,
                        bool is_failover)
{
    uint64_t hash = is_failover ? 1 : 0;

    for (size_t i = 0; i < plan->count; i++) {
        const struct relay_plan_entry *entry = &plan->entries[i];
        const struct relay_plan_choice *choice = &plan->choices[i];
        const char *host = plan->holders[i]->daemon.host;
        const uint64_t row[] = {
            (uint64_t)(uintptr_t)plan->holders[i],
            entry->is_relay ? XXH3_64bits(host, strlen(host)) : 0,
            entry->is_relay,
            entry->primary_unreachable,
            entry->is_relay && entry->is_idle,
            choice->first == RELAY_PLAN_NONE
                ? 0
                : (uint64_t)(uintptr_t)plan->holders[choice->first],
            choice->alternate == RELAY_PLAN_NONE
                ? 0
                : (uint64_t)(uintptr_t)plan->holders[choice->alternate]};
        hash = XXH3_64bits_withSeed(row, sizeof(row), hash);
    }
    return hash;
}

// Chooses the relays of a database from the present candidates.
static void
coordinator_select_relays(struct coordinator *coordinator,
                          const struct ck_database *database,
                          struct coordinator_relay_plan *plan)
{
    coordinator_count_relays(plan, false);
    coordinator_list_relay_entries(coordinator, plan);
    uint32_t count = relay_plan_count(
        coordinator_get_min_connections(database),
        coordinator->params.relay_min_connections, plan->registered_count);
    plan->all_are_relays = count == 0;
    relay_plan_select(database->name, count, plan->entries, plan->count);
    plan->relays =
        xrealloc(plan->relays, (plan->count + 1) * sizeof(*plan->relays));
    plan->relays_count =
        relay_plan_list_relays(plan->entries, plan->count, plan->relays);
    coordinator_count_relays(plan, true);
    coordinator_index_relays(coordinator, plan);
    plan->candidates_version = coordinator->candidates_version;
}

// Lets exactly the relays of a plan get quotas of its database.
static void
coordinator_set_relays_as_members(struct coordinator *coordinator,
                                  struct coordinator_relay_plan *plan)
{
    struct coordinator_holder **relays =
        xcalloc(plan->relays_count + 1, sizeof(*relays));

    for (size_t i = 0; i < plan->relays_count; i++) {
        relays[i] = plan->holders[plan->relays[i]];
    }
    coordinator_set_members(coordinator, plan->database, relays,
                            plan->relays_count);
    free(relays);
}

// Chooses the relays of a database, if the candidates have changed, and
// updates what entries are sent about them.
static void
coordinator_update_relay_plan(struct coordinator *coordinator,
                              struct coordinator_relay_plan *plan)
{
    const struct ck_database *database =
        group_find_database(coordinator->group, plan->database);

    if (database == NULL) {
        return;
    }
    plan->planned_us = coordinator->now_us;
    coordinator_set_reachable_time(coordinator, plan);
    if (plan->candidates_version != coordinator->candidates_version) {
        coordinator_select_relays(coordinator, database, plan);
        coordinator_set_relays_as_members(coordinator, plan);
    }
    uint64_t input_hash =
        coordinator_update_relay_flags(coordinator, database, plan);
    if (plan->version != 0 && input_hash == plan->input_hash) {
        return;
    }
    plan->input_hash = input_hash;
    relay_spread_assign(plan->entries, plan->count, plan->choices);
    const struct coordinator_database *db =
        coordinator_find_database(coordinator, plan->database);
    uint64_t output_hash = coordinator_hash_relays(
        plan, db != NULL && db->phase != COORDINATOR_PHASE_IDLE);
    if (plan->version == 0 || output_hash != plan->output_hash) {
        plan->output_hash = output_hash;
        coordinator_advance_relay_plan(coordinator, plan);
    }
}

// Returns whether a plan is to be updated.
static bool
coordinator_is_relay_plan_due(const struct coordinator *coordinator,
                              const struct coordinator_relay_plan *plan)
{
    int64_t age_us = coordinator->now_us - plan->planned_us;

    if (coordinator->now_us >= plan->reachable_us ||
        age_us >= COORDINATOR_RELAY_CHECK_INTERVAL_US) {
        return true;
    }
    return plan->candidates_version != coordinator->candidates_version &&
           age_us >= COORDINATOR_RELAY_PLAN_INTERVAL_US;
}

// Adds the candidates that may be worked on since the last call.
static void
coordinator_refill_relay_budget(struct coordinator *coordinator)
{
    int64_t elapsed_us = coordinator->now_us - coordinator->relay_budget_us;
    int64_t full_us = (int64_t)COORDINATOR_RELAY_MAX_CANDIDATES *
                      COORDINATOR_US_PER_S /
                      COORDINATOR_RELAY_CANDIDATES_PER_S;

    if (elapsed_us > full_us) {
        elapsed_us = full_us;
    }
    coordinator->relay_budget_us = coordinator->now_us;
    coordinator->relay_budget +=
        elapsed_us * COORDINATOR_RELAY_CANDIDATES_PER_S / COORDINATOR_US_PER_S;
    if (coordinator->relay_budget > COORDINATOR_RELAY_MAX_CANDIDATES) {
        coordinator->relay_budget = COORDINATOR_RELAY_MAX_CANDIDATES;
    }
}

// Returns the next plan to update: the first queued one, else one that is due
// although nothing has queued it. NULL if there is none among the next
// *checks.
static struct coordinator_relay_plan *
coordinator_find_due_relay_plan(struct coordinator *coordinator,
                                size_t *checks)
{
    struct coordinator_relay_plan *plan =
        coordinator_pop_relay_plan(coordinator);

    while (plan == NULL && *checks > 0) {
        struct coordinator_relay_plan *next = coordinator->relay_cursor == NULL
                                                  ? coordinator->relay_plans
                                                  : coordinator->relay_cursor;
        coordinator->relay_cursor = next->next;
        if (coordinator_is_relay_plan_due(coordinator, next)) {
            plan = next;
        }
        (*checks)--;
    }
    return plan;
}

// Updates some of the plans that are due, within the budget.
void
coordinator_run_relay_plans(struct coordinator *coordinator)
{
    size_t checks = coordinator->relay_plans_count;

    if (!coordinator_allocates_all(coordinator)) {
        return;
    }
    if (checks > COORDINATOR_RELAY_MAX_CHECKS) {
        checks = COORDINATOR_RELAY_MAX_CHECKS;
    }
    coordinator_refill_relay_budget(coordinator);
    while (coordinator->relay_budget > 0) {
        struct coordinator_relay_plan *plan =
            coordinator_find_due_relay_plan(coordinator, &checks);
        if (plan == NULL) {
            return;
        }
        coordinator_update_relay_plan(coordinator, plan);
        coordinator->relay_budget -= (int64_t)coordinator->holders_count + 1;
    }
}

// Returns whether the choice of relays may not take account of an entry yet,
// which has just joined.
bool
coordinator_is_relay_choice_pending(const struct coordinator *coordinator,
                                    const struct coordinator_holder *holder)
{
    return coordinator->params.relay_min_connections > 0 &&
           holder->is_candidate &&
           coordinator->now_us - holder->candidate_us < COORDINATOR_JOINING_US;
}
