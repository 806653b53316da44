#include "catkingrade/decide/traffic/scheduler_actions.h"

#include <stdlib.h>

#include "catkingrade/kernel/memory.h"

#define ACTIONS_MIN_CAPACITY 16

// Appends an action to the list of the present step and returns it for the
// caller to fill. The pointer is valid until the next action is added.
struct scheduler_action *
scheduler_add_action(struct scheduler *scheduler,
                     enum scheduler_action_kind kind)
{
    struct scheduler_actions *actions = scheduler->actions;

    if (actions->count == actions->capacity) {
        actions->capacity = actions->capacity == 0 ? ACTIONS_MIN_CAPACITY
                                                   : actions->capacity * 2;
        actions->items = xrealloc(actions->items,
                                  actions->capacity * sizeof(*actions->items));
    }
    struct scheduler_action *action = &actions->items[actions->count++];
    *action = (struct scheduler_action){
        .kind = kind,
        .upstream = SCHEDULER_NO_ID,
        .conn = SCHEDULER_NO_ID,
        .reason = "",
        .customer = "",
    };
    return action;
}

// Frees the list's memory and empties the list.
void
scheduler_actions_free(struct scheduler_actions *actions)
{
    free(actions->items);
    *actions = (struct scheduler_actions){0};
}

// Adds a timer for a deadline or timeout of a request or a connection. at_us
// is rounded up to a multiple of timer_granularity_us, so that timers of about
// the same time fire together and wake the entry once.
void
scheduler_add_coarse_timer(struct scheduler *scheduler, int64_t at_us,
                           enum timer_kind kind, uint64_t id)
{
    int64_t granularity_us = scheduler->params.timer_granularity_us;

    if (granularity_us > 0) {
        at_us = (at_us + granularity_us - 1) / granularity_us * granularity_us;
    }
    timers_add(&scheduler->timers, at_us, kind, id);
}
