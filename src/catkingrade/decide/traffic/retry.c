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

// Returns whether a request may have another attempt: it has attempts left,
// its session goes on, and it may run elsewhere. A request for the primary may
// not, since the primary has just failed. Relays stand for the primary in
// turn, so that the next one may run it.
static bool
retry_is_allowed(const struct scheduler *scheduler,
                 const struct request *request)
{
    bool needs_primary = request->request_class == SCHEDULER_CLASS_WRITE ||
                         request->request_class == SCHEDULER_CLASS_BEGIN;

    return request->tries < SCHEDULER_TRIES_MAX && !request->session->ended &&
           (!needs_primary || scheduler->view.relayed);
}

// Schedules another attempt of a request that failed at an upstream, to run at
// another one. Returns false if the request must end: no other attempt is
// allowed, its deadline is too near, or the retry budget is empty. A request
// that no relay has read needs no budget, as its attempt has loaded no
// upstream.
bool
retry_schedule(struct scheduler *scheduler, struct request *request,
               uint32_t failed_upstream, bool not_sent)
{
    double tokens = not_sent && scheduler->view.relayed ? 0 : 1;

    if (!retry_is_allowed(scheduler, request) ||
        scheduler->retry_tokens < tokens) {
        return false;
    }
    request->tried[request->tries++] = failed_upstream;
    int64_t at_us =
        scheduler->now_us + retry_get_backoff_us(scheduler, request);
    if (at_us >= request->deadline_us) {
        return false;
    }
    scheduler->retry_tokens -= tokens;
    request->state = REQUEST_BACKOFF;
    request->conn = SCHEDULER_NO_ID;
    request->wait_until_us = at_us;
    timers_add(&scheduler->timers, at_us, TIMER_REQUEST, request->id);
    return true;
}
