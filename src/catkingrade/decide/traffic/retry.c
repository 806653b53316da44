#include "catkingrade/decide/traffic/retry.h"

#include "catkingrade/decide/random.h"

// Retries that each new request adds to the retry budget.
#define RETRY_CREDIT_PER_REQUEST 0.1
// Limit of the retry budget.
#define RETRY_TOKENS_MAX 20.0
// Upper limit of the first backoff; it doubles with each attempt.
#define RETRY_BACKOFF_US (4 * SCHEDULER_MS_US)

// Adds the credit of a new request to the retry budget.
void
retry_add_credit(struct scheduler *scheduler)
{
    scheduler->retry_tokens += RETRY_CREDIT_PER_REQUEST;
    if (scheduler->retry_tokens > RETRY_TOKENS_MAX) {
        scheduler->retry_tokens = RETRY_TOKENS_MAX;
    }
}

// Returns whether a request has already failed at an upstream.
bool
retry_was_tried(const struct request *request, uint32_t upstream)
{
    for (uint8_t i = 0; i < request->tries; i++) {
        if (request->tried[i] == upstream) {
            return true;
        }
    }
    return false;
}

// Returns the jittered delay before the next attempt, in microseconds; it
// doubles with each attempt.
static int64_t
retry_get_backoff_us(struct scheduler *scheduler,
                     const struct request *request)
{
    uint32_t limit_us = RETRY_BACKOFF_US << (request->tries - 1);

    return limit_us / 2 + random_below(&scheduler->random, limit_us / 2);
}

// Schedules another attempt of a request that failed at an upstream, to run at
// another one. Returns false if the request must end: it has used all its
// attempts, the retry budget is empty, its deadline is too near, its session
// has ended, or it may only run on the primary, which has just failed. Relays
// stand for the primary in turn, so that the next one may run it.
bool
retry_schedule(struct scheduler *scheduler, struct request *request,
               uint32_t failed_upstream)
{
    bool needs_primary = request->request_class == SCHEDULER_CLASS_WRITE ||
                         request->request_class == SCHEDULER_CLASS_BEGIN;

    if (request->tries == SCHEDULER_TRIES_MAX || scheduler->retry_tokens < 1 ||
        (needs_primary && !scheduler->view.relayed) ||
        request->session->ended) {
        return false;
    }
    request->tried[request->tries++] = failed_upstream;
    int64_t at_us =
        scheduler->now_us + retry_get_backoff_us(scheduler, request);
    if (at_us >= request->deadline_us) {
        return false;
    }
    scheduler->retry_tokens -= 1;
    request->state = REQUEST_BACKOFF;
    request->conn = SCHEDULER_NO_ID;
    request->wait_until_us = at_us;
    timers_add(&scheduler->timers, at_us, TIMER_REQUEST, request->id);
    return true;
}
