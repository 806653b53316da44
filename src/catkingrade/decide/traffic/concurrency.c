#include "catkingrade/decide/traffic/concurrency.h"

#define CONCURRENCY_LIMIT_MIN       1.0
#define CONCURRENCY_DECREASE_FACTOR 0.7
// Statements added to the limit for each limit-sized round of answers.
#define CONCURRENCY_INCREASE 0.25
// Rejections within this time of a decrease come from the same overload and do
// not decrease the limit again.
#define CONCURRENCY_DECREASE_INTERVAL_US INT64_C(50000)

// Decreases the limit after the upstream has rejected a statement because its
// queue is full. running is the number of statements that still run there.
void
concurrency_record_rejection(struct concurrency *concurrency, int64_t now_us,
                             uint32_t running)
{
    double limit = concurrency->limit;

    if (limit > 0 && now_us - concurrency->decreased_us <
                         CONCURRENCY_DECREASE_INTERVAL_US) {
        return;
    }
    if (limit == 0 || limit > (double)running + 1) {
        limit = (double)running + 1;
    }
    limit *= CONCURRENCY_DECREASE_FACTOR;
    concurrency->limit =
        limit < CONCURRENCY_LIMIT_MIN ? CONCURRENCY_LIMIT_MIN : limit;
    concurrency->decreased_us = now_us;
}

// Increases the limit after the upstream has answered a statement. The limit
// is removed once it reaches max.
void
concurrency_record_success(struct concurrency *concurrency, uint32_t max)
{
    if (concurrency->limit == 0) {
        return;
    }
    concurrency->limit += CONCURRENCY_INCREASE / concurrency->limit;
    if (concurrency->limit >= (double)max) {
        concurrency->limit = 0;
    }
}

// Returns how many statements may run at the upstream concurrently, at most
// max.
uint32_t
concurrency_get_limit(const struct concurrency *concurrency, uint32_t max)
{
    if (concurrency->limit == 0 || concurrency->limit >= (double)max) {
        return max;
    }
    return (uint32_t)concurrency->limit;
}
