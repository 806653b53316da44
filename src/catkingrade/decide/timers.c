#include "catkingrade/decide/timers.h"

#include <stdlib.h>

#include "catkingrade/kernel/memory.h"

#define TIMERS_MIN_CAPACITY 32

// Frees the heap's memory.
void
timers_free(struct timers *timers)
{
    free(timers->items);
    *timers = (struct timers){0};
}

// Adds a timer that fires at at_us.
void
timers_add(struct timers *timers, int64_t at_us, enum timer_kind kind,
           uint64_t id)
{
    if (timers->count == timers->capacity) {
        timers->capacity =
            timers->capacity == 0 ? TIMERS_MIN_CAPACITY : timers->capacity * 2;
        timers->items =
            xrealloc(timers->items, timers->capacity * sizeof(*timers->items));
    }
    size_t place = timers->count++;
    while (place > 0) {
        size_t parent = (place - 1) / 2;
        if (timers->items[parent].at_us <= at_us) {
            break;
        }
        timers->items[place] = timers->items[parent];
        place = parent;
    }
    timers->items[place] =
        (struct timer){.at_us = at_us, .id = id, .kind = kind};
}

// Moves the last timer to the root and down to its place.
static void
timers_remove_root(struct timers *timers)
{
    struct timer last = timers->items[--timers->count];
    size_t place = 0;

    while (place * 2 + 1 < timers->count) {
        size_t child = place * 2 + 1;
        if (child + 1 < timers->count &&
            timers->items[child + 1].at_us < timers->items[child].at_us) {
            child++;
        }
        if (last.at_us <= timers->items[child].at_us) {
            break;
        }
        timers->items[place] = timers->items[child];
        place = child;
    }
    timers->items[place] = last;
}

// Takes the first timer that is due into *timer. Returns false when none is.
bool
timers_pop_due(struct timers *timers, int64_t now_us, struct timer *timer)
{
    if (timers->count == 0 || timers->items[0].at_us > now_us) {
        return false;
    }
    *timer = timers->items[0];
    timers_remove_root(timers);
    return true;
}

// Returns the moment of the first timer, or INT64_MAX when there is none.
int64_t
timers_get_next_due_us(const struct timers *timers)
{
    return timers->count == 0 ? INT64_MAX : timers->items[0].at_us;
}
