#ifndef CATKINGRADE_DECIDE_CONCURRENCY_H
#define CATKINGRADE_DECIDE_CONCURRENCY_H

#include <stdint.h>

// How many statements one entry runs at an upstream at once, where the
// upstream queues by itself and says when its queue is full. It answers the
// load at which several entries together fill that queue: what then waits in
// the entry keeps its order by urgency, and is not refused by the upstream.
struct concurrency {
    double limit; // 0: not limited yet
    int64_t cut_us;
};

void concurrency_record_rejection(struct concurrency *concurrency,
                                  int64_t now_us, uint32_t running);
void concurrency_record_success(struct concurrency *concurrency,
                                uint32_t most);
uint32_t concurrency_get_limit(const struct concurrency *concurrency,
                               uint32_t most);

#endif
