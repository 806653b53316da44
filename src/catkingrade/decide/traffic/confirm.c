#include "catkingrade/decide/traffic/confirm.h"

#include "catkingrade/decide/traffic/scheduler_lease.h"
#include "catkingrade/decide/traffic/scheduler_request.h"
#include "catkingrade/decide/traffic/scheduler_sample.h"

#define CONFIRM_POLL_INTERVAL_US (2 * SCHEDULER_MS_US)

// Returns how many replicas have been sampled at or beyond a log position of
// the present term.
static uint32_t
confirm_count_replicas(const struct scheduler *scheduler, uint64_t lsn)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < scheduler->candidates_count; i++) {
        uint32_t index = scheduler->candidates[i];
        const struct upstream *up = &scheduler->upstreams[index];
        if (index != scheduler->primary && sample_is_of_term(scheduler, up) &&
            up->position.lsn >= lsn) {
            count++;
        }
    }
    return count;
}

// Requests the samples that a waiting write needs: one of the primary while
// the position of the write is unknown, otherwise one of each replica.
static void
confirm_request_samples(struct scheduler *scheduler,
                        const struct request *request)
{
    if (request->commit_lsn == 0) {
        if (scheduler->primary != SCHEDULER_NO_ID) {
            sample_request(scheduler, scheduler->primary,
                           request->committed_us);
        }
        return;
    }
    for (uint32_t i = 0; i < scheduler->candidates_count; i++) {
        uint32_t index = scheduler->candidates[i];
        if (index != scheduler->primary) {
            sample_request(scheduler, index, scheduler->now_us);
        }
    }
}

// Acknowledges a waiting write if enough replicas have confirmed it. Returns
// whether the write was acknowledged.
static bool
confirm_try_acknowledge(struct scheduler *scheduler, struct request *request)
{
    const struct upstream *primary = NULL;

    if (scheduler->primary != SCHEDULER_NO_ID) {
        primary = &scheduler->upstreams[scheduler->primary];
    }
    if (request->commit_lsn == 0 && primary != NULL && primary->sampled &&
        primary->position_requested_us >= request->committed_us) {
        request->commit_lsn = primary->position.lsn;
    }
    // Guarded upstreams, which check positions, also confirm writes
    // themselves.
    uint32_t required =
        scheduler->params.guarded ? 0 : scheduler->view.customer->confirm;
    if ((request->commit_lsn == 0 && !scheduler->params.guarded) ||
        !lease_may_acknowledge(scheduler, request->term)) {
        return false;
    }
    if (required > 0 &&
        confirm_count_replicas(scheduler, request->commit_lsn) < required) {
        return false;
    }
    request_list_remove(&scheduler->confirming, request);
    request_answer(scheduler, request, request->commit_lsn);
    return true;
}

// Adds a write that the primary has answered at log position commit_lsn; 0
// means that the position is unknown. The write is acknowledged at once if its
// replicas are already known to have reached that position, and otherwise when
// later samples show it.
void
confirm_add(struct scheduler *scheduler, struct request *request,
            uint64_t commit_lsn)
{
    request->state = REQUEST_CONFIRMING;
    request->commit_lsn = commit_lsn;
    request->committed_us = scheduler->now_us;
    request_list_append(&scheduler->confirming, request);
    if (!confirm_try_acknowledge(scheduler, request)) {
        confirm_request_samples(scheduler, request);
    }
    confirm_poll(scheduler);
}

// Acknowledges the waiting writes that samples have confirmed. While any write
// is left, requests new samples every CONFIRM_POLL_INTERVAL_US.
void
confirm_poll(struct scheduler *scheduler)
{
    struct request *request = scheduler->confirming.first;

    while (request != NULL) {
        struct request *next = request->next;
        (void)confirm_try_acknowledge(scheduler, request);
        request = next;
    }
    if (scheduler->confirming.first == NULL ||
        scheduler->confirm_at_us > scheduler->now_us) {
        return;
    }
    confirm_request_samples(scheduler, scheduler->confirming.first);
    scheduler->confirm_at_us = scheduler->now_us + CONFIRM_POLL_INTERVAL_US;
    timers_add(&scheduler->timers, scheduler->confirm_at_us, TIMER_CONFIRM, 0);
}

// Ends a write that was not confirmed before its deadline, according to the
// customer's policy for unconfirmed writes: with an unknown outcome, or as
// done with a warning if the lease is still valid.
void
confirm_expire(struct scheduler *scheduler, struct request *request)
{
    enum ck_unconfirmed_policy policy = scheduler->view.customer->unconfirmed;
    bool current = lease_may_acknowledge(scheduler, request->term);

    request_list_remove(&scheduler->confirming, request);
    if (policy == CK_UNCONFIRMED_WARN && current) {
        request_answer_with_warning(scheduler, request, request->commit_lsn);
    }
    else {
        request_unknown(scheduler, request,
                        "not confirmed before its deadline");
    }
}

// Ends all waiting writes of a term, and of older terms, with an unknown
// outcome.
void
confirm_end_term(struct scheduler *scheduler, uint64_t term)
{
    struct request *request = scheduler->confirming.first;

    while (request != NULL) {
        struct request *next = request->next;
        if (request->term <= term) {
            request_list_remove(&scheduler->confirming, request);
            request_unknown(scheduler, request,
                            "the primary's term has ended");
        }
        request = next;
    }
}
