#include "catkingrade/decide/timers.h"

#include <stdlib.h>

#include "catkingrade/kernel/memory.h"

#define TIMERS_MIN_CAPACITY 32

void
timers_free(struct timers *timers)
{
    free(timers->items);
    *timers = (struct timers){0};
}

// Adds a timer that expires at at_us. id names the object that waits.
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
    size_t index = timers->count++;
    while (index > 0) {
        size_t parent = (index - 1) / 2;
        if (timers->items[parent].at_us <= at_us) {
            break;
        }
        timers->items[index] = timers->items[parent];
        index = parent;
    }
    timers->items[index] =
        (struct timer){.at_us = at_us, .id = id, .kind = kind};
}

// Removes the root of the heap: moves the last timer to the root and sifts it
// down.
static void
timers_remove_root(struct timers *timers)
{
    struct timer last = timers->items[--timers->count];
    size_t index = 0;

    while (index * 2 + 1 < timers->count) {
        size_t child = index * 2 + 1;
        if (child + 1 < timers->count &&
            timers->items[child + 1].at_us < timers->items[child].at_us) {
            child++;
        }
        if (last.at_us <= timers->items[child].at_us) {
            break;
        }
        timers->items[index] = timers->items[child];
        index = child;
    }
    timers->items[index] = last;
}

// Removes the earliest timer and stores it in *timer if it has expired.
// Returns false when no timer has expired.
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

// Returns the expiry time of the earliest timer, or INT64_MAX when there is
// none.
int64_t
timers_get_next_due_us(const struct timers *timers)
{
    return timers->count == 0 ? INT64_MAX : timers->items[0].at_us;
}
