// The table of the relay plans of all databases, with the queue of those that
// are to be updated and the list in the order of their changes.

#include <stdlib.h>

#include "catkingrade/decide/coordinator/coordinator_relay.h"
#include "catkingrade/kernel/memory.h"

// Removes a plan from the list of changed plans.
static void
coordinator_unlink_relay_plan(struct coordinator *coordinator,
                              struct coordinator_relay_plan *plan)
{
    if (plan->version == 0) {
        return;
    }
    if (plan->older != NULL) {
        plan->older->newer = plan->newer;
    }
    else {
        coordinator->relays_oldest = plan->newer;
    }
    if (plan->newer != NULL) {
        plan->newer->older = plan->older;
    }
    else {
        coordinator->relays_newest = plan->older;
    }
    plan->older = NULL;
    plan->newer = NULL;
}

// Gives a plan the next version, as what entries are sent about it has
// changed.
void
coordinator_advance_relay_plan(struct coordinator *coordinator,
                               struct coordinator_relay_plan *plan)
{
    coordinator_unlink_relay_plan(coordinator, plan);
    plan->version = ++coordinator->relays_version;
    plan->older = coordinator->relays_newest;
    if (plan->older != NULL) {
        plan->older->newer = plan;
    }
    else {
        coordinator->relays_oldest = plan;
    }
    coordinator->relays_newest = plan;
}

static void
coordinator_free_relay_plan(struct coordinator_relay_plan *plan)
{
    free(plan->entries);
    free(plan->holders);
    free(plan->choices);
    free(plan->relays);
    free(plan->positions);
    free(plan->unreachable);
    free(plan->database);
    free(plan);
}

void
coordinator_free_relays(struct coordinator *coordinator)
{
    while (coordinator->relay_plans != NULL) {
        struct coordinator_relay_plan *plan = coordinator->relay_plans;
        coordinator->relay_plans = plan->next;
        coordinator_free_relay_plan(plan);
    }
    coordinator->relay_plans_count = 0;
    coordinator->relay_cursor = NULL;
    coordinator->relays_queued = NULL;
    coordinator->relays_queued_last = NULL;
    coordinator->relays_oldest = NULL;
    coordinator->relays_newest = NULL;
}

// Has a plan updated at the next step.
void
coordinator_queue_relay_plan(struct coordinator *coordinator,
                             struct coordinator_relay_plan *plan)
{
    if (plan->is_queued) {
        return;
    }
    plan->is_queued = true;
    plan->next_queued = NULL;
    if (coordinator->relays_queued_last != NULL) {
        coordinator->relays_queued_last->next_queued = plan;
    }
    else {
        coordinator->relays_queued = plan;
    }
    coordinator->relays_queued_last = plan;
}

// Takes the first plan of the queue, or returns NULL.
struct coordinator_relay_plan *
coordinator_pop_relay_plan(struct coordinator *coordinator)
{
    struct coordinator_relay_plan *plan = coordinator->relays_queued;

    if (plan == NULL) {
        return NULL;
    }
    coordinator->relays_queued = plan->next_queued;
    if (coordinator->relays_queued == NULL) {
        coordinator->relays_queued_last = NULL;
    }
    plan->is_queued = false;
    return plan;
}

static void
coordinator_unqueue_relay_plan(struct coordinator *coordinator,
                               struct coordinator_relay_plan *plan)
{
    struct coordinator_relay_plan *previous = NULL;
    struct coordinator_relay_plan *queued = coordinator->relays_queued;

    while (queued != NULL && queued != plan) {
        previous = queued;
        queued = queued->next_queued;
    }
    if (queued == NULL) {
        return;
    }
    if (previous == NULL) {
        coordinator->relays_queued = plan->next_queued;
    }
    else {
        previous->next_queued = plan->next_queued;
    }
    if (coordinator->relays_queued_last == plan) {
        coordinator->relays_queued_last = previous;
    }
}

// Returns the index of an entry in a plan, or RELAY_PLAN_NONE.
size_t
coordinator_get_relay_position(const struct coordinator_relay_plan *plan,
                               const struct coordinator_holder *holder)
{
    return holder->index < plan->positions_count
               ? plan->positions[holder->index]
               : RELAY_PLAN_NONE;
}

// Updates the plans that contain a holder whose daemon record has changed:
// they point to strings of that record.
void
coordinator_update_relay_entries(struct coordinator *coordinator,
                                 const struct coordinator_holder *holder)
{
    for (struct coordinator_relay_plan *plan = coordinator->relay_plans;
         plan != NULL; plan = plan->next) {
        size_t position = coordinator_get_relay_position(plan, holder);
        if (position != RELAY_PLAN_NONE) {
            plan->entries[position].vm = holder->daemon.vm;
            plan->entries[position].failure_domain =
                holder->daemon.failure_domain;
        }
    }
    coordinator->candidates_version++;
}

struct coordinator_relay_plan *
coordinator_find_relay_plan(const struct coordinator *coordinator,
                            const char *database)
{
    return group_index_get(coordinator->index, COORDINATOR_KEY_RELAY,
                           database);
}

struct coordinator_relay_plan *
coordinator_get_or_add_relay_plan(struct coordinator *coordinator,
                                  const char *database)
{
    struct coordinator_relay_plan *plan =
        coordinator_find_relay_plan(coordinator, database);

    if (plan == NULL) {
        plan = xcalloc(1, sizeof(*plan));
        plan->database = xstrdup(database);
        plan->next = coordinator->relay_plans;
        coordinator->relay_plans = plan;
        coordinator->relay_plans_count++;
        group_index_put(coordinator->index, COORDINATOR_KEY_RELAY, database,
                        plan);
    }
    return plan;
}

static void
coordinator_remove_relay_plan(struct coordinator *coordinator,
                              struct coordinator_relay_plan *plan)
{
    struct coordinator_relay_plan **link = &coordinator->relay_plans;

    while (*link != plan) {
        link = &(*link)->next;
    }
    *link = plan->next;
    if (coordinator->relay_cursor == plan) {
        coordinator->relay_cursor = plan->next;
    }
    coordinator->relay_plans_count--;
    coordinator_unqueue_relay_plan(coordinator, plan);
    coordinator_unlink_relay_plan(coordinator, plan);
    coordinator_count_relays(plan, false);
    group_index_remove(coordinator->index, COORDINATOR_KEY_RELAY,
                       plan->database);
    coordinator_free_relay_plan(plan);
}

// Has the relays of a database chosen anew after a change of its upstreams, or
// forgets them after its removal.
void
coordinator_sync_relays(struct coordinator *coordinator, const char *database)
{
    struct coordinator_relay_plan *plan = NULL;

    if (coordinator->params.relay_min_connections == 0) {
        return;
    }
    if (group_find_database(coordinator->group, database) == NULL) {
        plan = coordinator_find_relay_plan(coordinator, database);
        if (plan != NULL) {
            coordinator_remove_relay_plan(coordinator, plan);
        }
        return;
    }
    plan = coordinator_get_or_add_relay_plan(coordinator, database);
    plan->candidates_version = 0;
    coordinator_queue_relay_plan(coordinator, plan);
}
