#ifndef CATKINGRADE_DECIDE_TIMERS_H
#define CATKINGRADE_DECIDE_TIMERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum timer_kind {
    TIMER_REQUEST, // deadline or wait timeout of a request
    TIMER_CONN,    // timeout of a connection's pending operation
    TIMER_SAMPLE,  // next sampling of upstream positions
    TIMER_WAKE,    // only triggers a step
    TIMER_CONFIRM, // next poll of replicas for unconfirmed commits
};

struct timer {
    int64_t at_us;
    uint64_t id;
    enum timer_kind kind;
};

// Binary min-heap of timers, ordered by expiry time. A timer cannot be
// cancelled: whoever pops it checks whether the object with its id still
// waits. Zero-initialised is empty and valid.
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
