#include "catkingrade/decide/scheduler_result.h"

#include "catkingrade/decide/admission.h"
#include "catkingrade/decide/confirm.h"
#include "catkingrade/decide/pool.h"
#include "catkingrade/decide/random.h"
#include "catkingrade/decide/retry.h"
#include "catkingrade/decide/route.h"
#include "catkingrade/decide/scheduler_lease.h"
#include "catkingrade/decide/scheduler_request.h"
#include "catkingrade/decide/scheduler_sample.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

#define RESULT_LATENCY_DIVISOR     8 // of a new measurement in the average
#define RESULT_OPEN_BACKOFF_MIN_US (10 * SCHEDULER_MS_US)
#define RESULT_OPEN_BACKOFF_MAX_US (1 * SCHEDULER_SECOND_US)
#define RESULT_REFUSED_RETRY_US    (15 * SCHEDULER_MS_US)

static void
result_update_latency(struct upstream *upstream, int64_t took_us)
{
    if (upstream->latency_us == 0) {
        upstream->latency_us = took_us;
    }
    upstream->latency_us +=
        (took_us - upstream->latency_us) / RESULT_LATENCY_DIVISOR;
}

// Returns the position that a request's session has seen, in the present
// term's log, or 0 when that is not known.
static uint64_t
result_get_seen_lsn(const struct scheduler *scheduler,
                    const struct request *request,
                    const struct ck_position *position)
{
    uint64_t timeline = scheduler->view.database->base.timeline;

    if (request->term != lease_get_term(scheduler) ||
        (timeline != 0 && position->timeline != timeline)) {
        return 0;
    }
    return position->lsn;
}

// Ends a request whose whole answer is there. What may have committed waits
// for its confirmation; all else is passed on.
static void
result_finish_complete(struct scheduler *scheduler, struct request *request,
                       const struct scheduler_result_event *event,
                       bool was_pinned, bool read_only)
{
    uint64_t lsn = result_get_seen_lsn(scheduler, request, &event->position);
    bool saves =
        request->request_class == SCHEDULER_CLASS_WRITE ||
        request->request_class == SCHEDULER_CLASS_COMMIT ||
        (was_pinned && request->request_class != SCHEDULER_CLASS_ROLLBACK);

    if (event->result == SCHEDULER_RESULT_ERROR) {
        request_answer(scheduler, request, 0);
    }
    else if (request->relayed) {
        // The other entry has confirmed it, and knows what was saved.
        request->term = event->floor.term;
        request_answer(scheduler, request, event->floor.lsn);
    }
    else if (!saves || event->in_transaction || read_only) {
        request_answer(scheduler, request, event->in_transaction ? 0 : lsn);
    }
    else if (request->term != lease_get_term(scheduler) ||
             request->term < scheduler->min_term) {
        request_unknown(scheduler, request, "the primary's term has ended");
    }
    else {
        confirm_add(scheduler, request, lsn);
    }
}

// Returns a connection to its transaction or to its pool after a whole
// answer. One that its session no longer holds is not at a known boundary.
static void
result_return_conn(struct scheduler *scheduler, struct conn *conn,
                   const struct request *request,
                   const struct scheduler_result_event *event)
{
    conn->proved_us = scheduler->now_us;
    if (!event->in_transaction) {
        pool_release(scheduler, conn);
    }
    else if (request == NULL) {
        pool_close(scheduler, conn, SCHEDULER_CLOSE_ABNORMAL);
    }
    else {
        pool_pin(scheduler, conn, request->session);
    }
}

// Takes what a replica's answer shows of its lag. An answer to an older
// statement of its transaction shows nothing new.
static void
result_update_lag(const struct scheduler *scheduler, struct upstream *up,
                  const struct request *request, int64_t sent_us)
{
    if (request != NULL && request->required_lsn != 0) {
        replica_lag_record_reached(&up->lag, scheduler->now_us,
                                   request->required_lsn_age_us);
    }
    if (up->caught_up_us != FRESHNESS_UNKNOWN) {
        replica_lag_record(&up->lag, scheduler->now_us,
                           sent_us - up->caught_up_us);
    }
}

static void
result_handle_complete(struct scheduler *scheduler, struct conn *conn,
                       struct request *request,
                       const struct scheduler_result_event *event)
{
    struct upstream *up = &scheduler->upstreams[conn->upstream];
    uint32_t upstream = conn->upstream;
    int64_t sent_us = conn->since_us;
    bool read_only = conn->read_only;
    bool was_pinned = conn->session != NULL;

    sample_record_answer(scheduler, upstream);
    sample_record_position(scheduler, upstream, &event->position, sent_us);
    if (scheduler->params.guarded && !up->relayed &&
        upstream != scheduler->primary) {
        result_update_lag(scheduler, up, request, sent_us);
    }
    circuit_breaker_record_result(&up->circuit_breaker, scheduler->now_us,
                                  false);
    if (request != NULL) {
        concurrency_record_success(&up->concurrency, up->slots);
        result_update_latency(up, scheduler->now_us - sent_us);
        admission_record_service_time(scheduler, request);
        if (request_opens_transaction(request)) {
            conn->read_only =
                request->request_class == SCHEDULER_CLASS_BEGIN_READ_ONLY;
        }
    }
    result_return_conn(scheduler, conn, request, event);
    if (request != NULL) {
        result_finish_complete(scheduler, request, event, was_pinned,
                               read_only);
    }
}

// Ends a request whose connection was lost. A request that has not reached
// the upstream has not run; one that has is unknown, unless it may be
// repeated and nothing of its answer has been passed on.
static void
result_finish_lost(struct scheduler *scheduler, struct request *request,
                   uint32_t upstream, bool was_pinned,
                   enum scheduler_result result)
{
    bool not_sent = result == SCHEDULER_RESULT_NOT_SENT;
    bool repeatable =
        request->repeatable || request_opens_transaction(request);

    if (!was_pinned &&
        (not_sent || (result == SCHEDULER_RESULT_CONN_LOST && repeatable &&
                      request_is_read(request)))) {
        if (retry_schedule(scheduler, request, upstream)) {
            return;
        }
    }
    if (not_sent) {
        request_refuse(scheduler, request, OUTCOME_NOT_RUN, RETRY_AFTER_US,
                       "the connection was lost before it was sent");
    }
    else {
        request_unknown(scheduler, request,
                        "the connection was lost after it was sent");
    }
}

// Forgets a lost connection and ends the request that ran on it.
static void
result_lose_conn(struct scheduler *scheduler, struct conn *conn,
                 enum scheduler_result result,
                 enum scheduler_close_reason reason)
{
    struct request *request = id_map_get(&scheduler->requests, conn->request);
    uint32_t upstream = conn->upstream;
    bool was_pinned = conn->session != NULL;

    pool_release_slot(scheduler, conn->upstream, conn->read);
    if (conn->abandoned_us != 0) {
        request = NULL;
    }
    pool_close(scheduler, conn, reason);
    if (request != NULL) {
        result_finish_lost(scheduler, request, upstream, was_pinned, result);
    }
}

// Sets a request up for another try that an upstream has refused without
// running it. What only the primary may run comes back to it after a pause.
static bool
result_retry(struct scheduler *scheduler, struct request *request,
             uint32_t upstream, enum scheduler_refusal refusal)
{
    bool elsewhere = admission_get_queue(request) == QUEUE_READS;
    int64_t at_us = scheduler->now_us + RESULT_REFUSED_RETRY_US;

    if (request->tries == SCHEDULER_TRIES_MAX || request->session->ended ||
        refusal == SCHEDULER_REFUSAL_READ_ONLY ||
        at_us >= request->deadline_us) {
        return false;
    }
    request->tried[request->tries++] = elsewhere ? upstream : SCHEDULER_NO_ID;
    request->conn = SCHEDULER_NO_ID;
    if (elsewhere) {
        admission_enqueue(scheduler, request);
        return true;
    }
    request->state = REQUEST_BACKOFF;
    request->wait_until_us = at_us;
    timers_add(&scheduler->timers, at_us, TIMER_REQUEST, request->id);
    return true;
}

// Takes the word of an upstream that it has not run a request. Its connection
// is at a transaction boundary.
static void
result_handle_refused(struct scheduler *scheduler, struct conn *conn,
                      struct request *request,
                      const struct scheduler_result_event *event)
{
    uint32_t upstream = conn->upstream;
    struct upstream *up = &scheduler->upstreams[upstream];

    sample_record_answer(scheduler, upstream);
    if (event->refusal == SCHEDULER_REFUSAL_BEHIND && request != NULL) {
        replica_lag_record_behind(&up->lag, scheduler->now_us,
                                  request->required_lsn_age_us);
        request->stale_wait = !route_primary_is_usable(scheduler);
    }
    if (event->refusal == SCHEDULER_REFUSAL_READ_ONLY) {
        sample_record_failure(scheduler, upstream, CK_SUSPECT_SILENT);
    }
    if (event->refusal == SCHEDULER_REFUSAL_BUSY) {
        concurrency_record_rejection(&up->concurrency, scheduler->now_us,
                                     up->running);
    }
    conn->proved_us = scheduler->now_us;
    pool_release(scheduler, conn);
    if (request == NULL ||
        result_retry(scheduler, request, upstream, event->refusal)) {
        return;
    }
    request_refuse(scheduler, request, OUTCOME_NOT_RUN, RETRY_AFTER_US,
                   event->refusal == SCHEDULER_REFUSAL_READ_ONLY
                       ? "its upstream is no primary"
                       : "its upstream refused it");
}

// Takes the word of an upstream that it has run a request and failed. A single
// read may run again elsewhere; else the answer is passed on.
static void
result_handle_failed(struct scheduler *scheduler, struct conn *conn,
                     struct request *request,
                     const struct scheduler_result_event *event)
{
    uint32_t upstream = conn->upstream;
    bool was_pinned = conn->session != NULL;

    sample_record_answer(scheduler, upstream);
    circuit_breaker_record_result(
        &scheduler->upstreams[upstream].circuit_breaker, scheduler->now_us,
        true);
    result_return_conn(scheduler, conn, request, event);
    if (request == NULL ||
        (request->request_class == SCHEDULER_CLASS_READ && !was_pinned &&
         result_retry(scheduler, request, upstream, SCHEDULER_REFUSAL_NONE))) {
        return;
    }
    request_answer(scheduler, request, 0);
}

// Returns whether an upstream has answered a request as a whole, so that its
// connection stands.
bool
result_is_complete(enum scheduler_result result)
{
    return result == SCHEDULER_RESULT_DONE ||
           result == SCHEDULER_RESULT_ERROR ||
           result == SCHEDULER_RESULT_FAILED ||
           result == SCHEDULER_RESULT_REFUSED;
}

// Takes what the upstream's side says of a request. News of a request that
// the connection does not run any more are late and change nothing.
void
result_handle(struct scheduler *scheduler,
              const struct scheduler_result_event *event)
{
    struct conn *conn = pool_find(scheduler, event->conn);

    if (conn == NULL || conn->state != CONN_BUSY ||
        conn->request != event->request) {
        return;
    }
    if (!result_is_complete(event->result)) {
        uint32_t upstream = conn->upstream;
        int64_t opened_us = conn->opened_us;
        result_lose_conn(scheduler, conn, event->result,
                         SCHEDULER_CLOSE_ABNORMAL);
        pool_check_same_age(scheduler, upstream, opened_us);
        return;
    }
    struct request *request =
        conn->abandoned_us != 0
            ? NULL
            : id_map_get(&scheduler->requests, event->request);
    pool_release_slot(scheduler, conn->upstream, conn->read);
    switch (event->result) {
    case SCHEDULER_RESULT_REFUSED:
        result_handle_refused(scheduler, conn, request, event);
        break;
    case SCHEDULER_RESULT_FAILED:
        result_handle_failed(scheduler, conn, request, event);
        break;
    default:
        result_handle_complete(scheduler, conn, request, event);
        break;
    }
}

// Makes the next open of a connection to an upstream wait, longer after each
// failure.
static void
result_back_off_open(struct scheduler *scheduler, struct upstream *upstream)
{
    int64_t wait_us = upstream->open_backoff_us * 2;

    if (wait_us < RESULT_OPEN_BACKOFF_MIN_US) {
        wait_us = RESULT_OPEN_BACKOFF_MIN_US;
    }
    else if (wait_us > RESULT_OPEN_BACKOFF_MAX_US) {
        wait_us = RESULT_OPEN_BACKOFF_MAX_US;
    }
    upstream->open_backoff_us = wait_us;
    upstream->open_next_us =
        scheduler->now_us + wait_us / 2 +
        random_below(&scheduler->random, (uint32_t)wait_us / 2);
    timers_add(&scheduler->timers, upstream->open_next_us, TIMER_WAKE, 0);
}

// Takes the news that a connection could not be opened, reset or proved, or
// that it has ended.
void
result_handle_conn_failed(struct scheduler *scheduler,
                          const struct scheduler_conn_event *event)
{
    struct conn *conn = pool_find(scheduler, event->conn);

    if (conn == NULL) {
        return;
    }
    uint32_t upstream = conn->upstream;
    int64_t opened_us = conn->opened_us;
    bool was_opening = conn->state == CONN_OPENING;
    if (conn->state == CONN_BUSY) {
        result_lose_conn(scheduler, conn, SCHEDULER_RESULT_CONN_LOST,
                         SCHEDULER_CLOSE_ABNORMAL);
    }
    else {
        pool_refuse_pinned(scheduler, conn);
        pool_remove(scheduler, conn);
    }
    if (was_opening) {
        result_back_off_open(scheduler, &scheduler->upstreams[upstream]);
    }
    if (event->refused || event->silent) {
        sample_record_failure(scheduler, upstream,
                              event->refused ? CK_SUSPECT_REFUSED
                                             : CK_SUSPECT_SILENT);
    }
    if (event->silent && !was_opening) {
        pool_check_same_age(scheduler, upstream, opened_us);
    }
}

// Ends one connection to a primary whose term has ended. Reads on it finish
// first; saves and transactions end as unknown.
static void
result_close_primary_conn(struct scheduler *scheduler, struct conn *conn)
{
    conn->superseded = true;
    switch (conn->state) {
    case CONN_BUSY:
        if (!conn->read || conn->session != NULL) {
            result_lose_conn(scheduler, conn, SCHEDULER_RESULT_CONN_LOST,
                             SCHEDULER_CLOSE_SUPERSEDED);
        }
        return;
    case CONN_PINNED:
        pool_refuse_pinned(scheduler, conn);
        pool_close(scheduler, conn, SCHEDULER_CLOSE_SUPERSEDED);
        return;
    default:
        pool_close(scheduler, conn, SCHEDULER_CLOSE_SUPERSEDED);
    }
}

// Ends the connections to an upstream that was the primary of an ended term.
void
result_close_primary_conns(struct scheduler *scheduler, uint32_t upstream)
{
    for (uint32_t i = 0; i < scheduler->conns_count; i++) {
        struct conn *conn = &scheduler->conns[i];
        if (conn->state != CONN_FREE && conn->upstream == upstream) {
            result_close_primary_conn(scheduler, conn);
        }
    }
}
