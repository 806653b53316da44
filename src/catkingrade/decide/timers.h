#ifndef CATKINGRADE_DECIDE_TIMERS_H
#define CATKINGRADE_DECIDE_TIMERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum timer_kind {
    TIMER_REQUEST, // deadline or end of a wait of a request
    TIMER_CONN,    // limit of what a connection is waiting for
    TIMER_SAMPLE,  // positions are sampled again
    TIMER_WAKE,    // nothing but a step
    TIMER_CONFIRM, // replicas are asked again for waiting saves
};

struct timer {
    int64_t at_us;
    uint64_t id;
    enum timer_kind kind;
};

// Min-heap of moments. A timer is never removed: its taker checks whether
// what it names still waits. Zero-initialised is empty and valid.
struct timers {
    struct timer *items;
    size_t count;
    size_t capacity;
};

void timers_free(struct timers *timers);
void timers_add(struct timers *timers, int64_t at_us, enum timer_kind kind,
                uint64_t id);
bool timers_pop_due(struct timers *timers, int64_t now_us,
                    struct timer *timer);
int64_t timers_get_next_due_us(const struct timers *timers);

#endif
