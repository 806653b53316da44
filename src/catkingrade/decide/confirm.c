#include "catkingrade/decide/confirm.h"

#include "catkingrade/decide/traffic_lease.h"
#include "catkingrade/decide/traffic_request.h"
#include "catkingrade/decide/traffic_sample.h"

#define CONFIRM_POLL_INTERVAL_US (2 * TRAFFIC_MS_US)

// Returns how many replicas are known to hold a position of the present term.
static uint32_t
confirm_count_replicas(const struct traffic *traffic, uint64_t lsn)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < traffic->candidates_count; i++) {
        uint32_t place = traffic->candidates[i];
        const struct upstream *up = &traffic->upstreams[place];
        if (place != traffic->primary && sample_is_of_term(traffic, up) &&
            up->position.lsn >= lsn) {
            count++;
        }
    }
    return count;
}

// Asks for the samples that a waiting save needs: the primary's when the
// save's own position is not known, otherwise the replicas'.
static void
confirm_request_samples(struct traffic *traffic, const struct request *request)
{
    if (request->save_lsn == 0) {
        if (traffic->primary != TRAFFIC_NO_ID) {
            sample_ask(traffic, traffic->primary, request->saved_us);
        }
        return;
    }
    for (uint32_t i = 0; i < traffic->candidates_count; i++) {
        uint32_t place = traffic->candidates[i];
        if (place != traffic->primary) {
            sample_ask(traffic, place, traffic->now_us);
        }
    }
}

// Tries to finish a waiting save. Returns whether it is finished.
static bool
confirm_try_acknowledge(struct traffic *traffic, struct request *request)
{
    const struct upstream *primary = NULL;

    if (traffic->primary != TRAFFIC_NO_ID) {
        primary = &traffic->upstreams[traffic->primary];
    }
    if (request->save_lsn == 0 && primary != NULL && primary->sampled &&
        primary->position_asked_us >= request->saved_us) {
        request->save_lsn = primary->position.lsn;
    }
    // Upstreams that check positions confirm saves themselves.
    uint32_t wanted =
        traffic->params.guarded ? 0 : traffic->view.customer->confirm;
    if ((request->save_lsn == 0 && !traffic->params.guarded) ||
        !lease_may_acknowledge(traffic) ||
        lease_get_term(traffic) != request->term) {
        return false;
    }
    if (wanted > 0 &&
        confirm_count_replicas(traffic, request->save_lsn) < wanted) {
        return false;
    }
    request_list_remove(&traffic->confirming, request);
    request_answer(traffic, request, request->save_lsn);
    return true;
}

// Takes a save that the primary has answered at save_lsn, 0 when the position
// is not known. It is acknowledged at once when its replicas hold it already,
// and otherwise when samples show that they do.
void
confirm_add(struct traffic *traffic, struct request *request,
            uint64_t save_lsn)
{
    request->state = REQUEST_CONFIRMING;
    request->save_lsn = save_lsn;
    request->saved_us = traffic->now_us;
    request_list_append(&traffic->confirming, request);
    if (!confirm_try_acknowledge(traffic, request)) {
        confirm_request_samples(traffic, request);
    }
    confirm_poll(traffic);
}

// Acknowledges the waiting saves that samples have confirmed, and sees to it
// that replicas are sampled again while any is left.
void
confirm_poll(struct traffic *traffic)
{
    struct request *request = traffic->confirming.first;

    while (request != NULL) {
        struct request *next = request->next;
        (void)confirm_try_acknowledge(traffic, request);
        request = next;
    }
    if (traffic->confirming.first == NULL ||
        traffic->confirm_at_us > traffic->now_us) {
        return;
    }
    confirm_request_samples(traffic, traffic->confirming.first);
    traffic->confirm_at_us = traffic->now_us + CONFIRM_POLL_INTERVAL_US;
    timers_add(&traffic->timers, traffic->confirm_at_us, TIMER_CONFIRM, 0);
}

// Ends a save whose confirmation did not come before its deadline, as the
// customer's template says: as unknown, or as done with a warning when the
// lease still stands.
void
confirm_expire(struct traffic *traffic, struct request *request)
{
    enum ck_unconfirmed_policy policy = traffic->view.customer->unconfirmed;
    bool current = lease_may_acknowledge(traffic) &&
                   lease_get_term(traffic) == request->term;

    request_list_remove(&traffic->confirming, request);
    if (policy == CK_UNCONFIRMED_WARN && current) {
        request_warn(traffic, request, request->save_lsn);
    }
    else {
        request_unknown(traffic, request, "not confirmed before its deadline");
    }
}

// Ends all waiting saves of a term and of older ones as unknown.
void
confirm_end_term(struct traffic *traffic, uint64_t term)
{
    struct request *request = traffic->confirming.first;

    while (request != NULL) {
        struct request *next = request->next;
        if (request->term <= term) {
            request_list_remove(&traffic->confirming, request);
            request_unknown(traffic, request, "the primary's term has ended");
        }
        request = next;
    }
}
