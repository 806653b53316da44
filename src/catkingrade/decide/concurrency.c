#include "catkingrade/decide/concurrency.h"

#define CONCURRENCY_LIMIT_MIN       1.0
#define CONCURRENCY_DECREASE_FACTOR 0.7
#define CONCURRENCY_INCREASE        0.25 // statements more for each round of answers
// Refusals of one moment are one piece of news.
#define CONCURRENCY_DECREASE_INTERVAL_US INT64_C(50000)

// Takes the refusal of an upstream whose queue is full.
void
concurrency_record_rejection(struct concurrency *concurrency, int64_t now_us,
                             uint32_t running)
{
    double limit = concurrency->limit;

    if (limit > 0 &&
        now_us - concurrency->cut_us < CONCURRENCY_DECREASE_INTERVAL_US) {
        return;
    }
    if (limit == 0 || limit > (double)running + 1) {
        limit = (double)running + 1;
    }
    limit *= CONCURRENCY_DECREASE_FACTOR;
    concurrency->limit =
        limit < CONCURRENCY_LIMIT_MIN ? CONCURRENCY_LIMIT_MIN : limit;
    concurrency->cut_us = now_us;
}

// Takes an answer: the limit grows slowly until it limits nothing.
void
concurrency_record_success(struct concurrency *concurrency, uint32_t most)
{
    if (concurrency->limit == 0) {
        return;
    }
    concurrency->limit += CONCURRENCY_INCREASE / concurrency->limit;
    if (concurrency->limit >= (double)most) {
        concurrency->limit = 0;
    }
}

// Returns how many statements may run at once, at most most.
uint32_t
concurrency_get_limit(const struct concurrency *concurrency, uint32_t most)
{
    if (concurrency->limit == 0 || concurrency->limit >= (double)most) {
        return most;
    }
    return (uint32_t)concurrency->limit;
}
