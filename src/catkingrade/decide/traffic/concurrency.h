#ifndef CATKINGRADE_DECIDE_CONCURRENCY_H
#define CATKINGRADE_DECIDE_CONCURRENCY_H

#include <stdint.h>

// Adaptive limit on the number of statements that one entry runs at an
// upstream concurrently. It serves upstreams that have a queue of their own
// and reject statements when that queue is full. The limit is decreased by a
// factor on a rejection and increased slowly on success. Without it, several
// entries together fill the queue of the upstream, which then rejects
// statements. With it, the excess statements wait in the entry, which keeps
// them ordered by urgency.
struct concurrency {
    double limit;         // 0: not limited yet
    int64_t decreased_us; // time of the last decrease
};

void concurrency_record_rejection(struct concurrency *concurrency,
                                  int64_t now_us, uint32_t running);
void concurrency_record_success(struct concurrency *concurrency, uint32_t max);
uint32_t concurrency_get_limit(const struct concurrency *concurrency,
                               uint32_t max);

#endif
