#include "catkingrade/decide/traffic/scheduler_result.h"

#include "catkingrade/decide/random.h"
#include "catkingrade/decide/traffic/admission.h"
#include "catkingrade/decide/traffic/confirm.h"
#include "catkingrade/decide/traffic/pool.h"
#include "catkingrade/decide/traffic/retry.h"
#include "catkingrade/decide/traffic/route.h"
#include "catkingrade/decide/traffic/scheduler_lease.h"
#include "catkingrade/decide/traffic/scheduler_request.h"
#include "catkingrade/decide/traffic/scheduler_sample.h"
#include "catkingrade/decide/traffic/upstream_capacity.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

#define RESULT_LATENCY_DIVISOR     8 // a new value has a weight of 1/8
#define RESULT_OPEN_BACKOFF_MIN_US (10 * SCHEDULER_MS_US)
#define RESULT_OPEN_BACKOFF_MAX_US (1 * SCHEDULER_SECOND_US)
// For links to relays, which are tried in turn: the next one may answer.
#define RESULT_RELAY_BACKOFF_MAX_US (100 * SCHEDULER_MS_US)
// Delay before a request that the primary refused is sent to it again.
#define RESULT_REFUSED_RETRY_US (15 * SCHEDULER_MS_US)

// Updates the moving average of the answer time of an upstream.
static void
result_update_latency(struct upstream *upstream, int64_t took_us)
{
    if (upstream->latency_us == 0) {
        upstream->latency_us = took_us;
    }
    upstream->latency_us +=
        (took_us - upstream->latency_us) / RESULT_LATENCY_DIVISOR;
}

// Returns the log position up to which a request's session has read or written
// in the present term, or 0 when it is unknown.
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

// Returns whether a transaction that is open after a request is the one in
// which the request ran, so that nothing was committed. COMMIT AND CHAIN, and
// a batch that ends with a BEGIN, commit and open the next one.
static bool
result_is_uncommitted(const struct request *request,
                      const struct scheduler_result_event *event)
{
    return event->in_transaction &&
           request->request_class != SCHEDULER_CLASS_COMMIT &&
           request->request_class != SCHEDULER_CLASS_WRITE;
}

// Handles a request with a complete answer. A request that may have committed
// waits for its confirmation; other answers are passed on.
static void
result_finish_complete(struct scheduler *scheduler, struct request *request,
                       const struct scheduler_result_event *event,
                       bool was_pinned, bool read_only)
{
    uint64_t lsn = result_get_seen_lsn(scheduler, request, &event->position);
    bool may_commit =
        request->request_class == SCHEDULER_CLASS_WRITE ||
        request->request_class == SCHEDULER_CLASS_COMMIT ||
        (was_pinned && request->request_class != SCHEDULER_CLASS_ROLLBACK);

    if (event->result == SCHEDULER_RESULT_ERROR) {
        request_answer(scheduler, request, 0);
    }
    else if (request->relayed) {
        // The relay entry has confirmed it and reports the floor.
        request->term = event->floor.term;
        request_answer(scheduler, request, event->floor.lsn);
    }
    else if (!may_commit || read_only ||
             result_is_uncommitted(request, event)) {
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

// Returns a connection to its transaction or to the pool after a complete
// answer. If its request was abandoned and a transaction is open, the
// connection is closed, as no session can end that transaction.
static void
result_return_conn(struct scheduler *scheduler, struct conn *conn,
                   const struct request *request,
                   const struct scheduler_result_event *event)
{
    conn->validated_us = scheduler->now_us;
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

// Updates the lag estimate of a replica from an answer. A request with a
// required position proves that the replica has reached that position. Later
// statements of a transaction have none, and show nothing new about the lag.
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

// Handles a complete answer: updates the statistics of the upstream, returns
// the connection and ends the request. request is NULL if it was abandoned.
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
        if (event->result == SCHEDULER_RESULT_DONE) {
            upstream_capacity_record_answer(scheduler, up, request,
                                            scheduler->now_us - sent_us,
                                            conn->overdue);
        }
        admission_record_service_time(scheduler, request);
        if (request_opens_transaction(request)) {
            conn->read_only =
                request->request_class == SCHEDULER_CLASS_BEGIN_READ_ONLY;
        }
        else if (request->request_class == SCHEDULER_CLASS_COMMIT) {
            conn->read_only = false; // of the next transaction, if any
        }
    }
    result_return_conn(scheduler, conn, request, event);
    if (request != NULL) {
        result_finish_complete(scheduler, request, event, was_pinned,
                               read_only);
    }
}

// Handles a request whose connection was lost. Outside a transaction the
// request is retried, if the retry budget allows, when it did not reach the
// upstream, or when it is a repeatable read and no part of its answer was
// passed on. Otherwise the request is refused if it did not reach the
// upstream, and ends with outcome unknown if it did.
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
        if (retry_schedule(scheduler, request, upstream, not_sent)) {
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

// Closes a lost connection and handles the request in flight on it.
static void
result_lose_conn(struct scheduler *scheduler, struct conn *conn,
                 enum scheduler_result result,
                 enum scheduler_close_reason reason)
{
    struct request *request = id_map_get(&scheduler->requests, conn->request);
    uint32_t upstream = conn->upstream;
    bool was_pinned = conn->session != NULL;

    pool_release_slot(scheduler, conn, conn->read);
    if (conn->abandoned_us != 0) {
        request = NULL;
    }
    pool_close(scheduler, conn, reason);
    if (request != NULL) {
        result_finish_lost(scheduler, request, upstream, was_pinned, result);
    }
}

// Retries a request after an upstream refused it or failed to run it. A read
// is queued for another upstream at once; a request for the primary is sent to
// the primary again after RESULT_REFUSED_RETRY_US. Returns whether the request
// is retried.
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

// Handles an upstream's refusal to run a request. No transaction is open on
// the connection.
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
    conn->validated_us = scheduler->now_us;
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

// Handles an answer that reports that the upstream ran the request and failed.
// A read outside a transaction is retried at another upstream if possible;
// otherwise the answer is passed on.
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

// Returns whether a result is a complete answer of the upstream, after which
// the connection remains usable.
bool
result_is_complete(enum scheduler_result result)
{
    return result == SCHEDULER_RESULT_DONE ||
           result == SCHEDULER_RESULT_ERROR ||
           result == SCHEDULER_RESULT_FAILED ||
           result == SCHEDULER_RESULT_REFUSED;
}

// Handles the result of a request. A late result, for a request that is no
// longer in flight on the connection, is ignored.
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
        if (scheduler->view.relayed) {
            relay_contact_record_failure(&scheduler->relay_contact,
                                         scheduler->now_us,
                                         scheduler->relay_contact.silent);
        }
        result_lose_conn(scheduler, conn, event->result,
                         SCHEDULER_CLOSE_ABNORMAL);
        pool_check_same_age(scheduler, upstream, opened_us);
        return;
    }
    struct request *request =
        conn->abandoned_us != 0
            ? NULL
            : id_map_get(&scheduler->requests, event->request);
    pool_release_slot(scheduler, conn, conn->read);
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

// Delays the next connection to an upstream by an exponential backoff with
// jitter.
static void
result_back_off_open(struct scheduler *scheduler, struct upstream *upstream)
{
    int64_t wait_us = upstream->open_backoff_us * 2;
    int64_t max_us = upstream->relayed ? RESULT_RELAY_BACKOFF_MAX_US
                                       : RESULT_OPEN_BACKOFF_MAX_US;

    if (wait_us < RESULT_OPEN_BACKOFF_MIN_US) {
        wait_us = RESULT_OPEN_BACKOFF_MIN_US;
    }
    else if (wait_us > max_us) {
        wait_us = max_us;
    }
    upstream->open_backoff_us = wait_us;
    upstream->open_next_us =
        scheduler->now_us + wait_us / 2 +
        random_below(&scheduler->random, (uint32_t)wait_us / 2);
    timers_add(&scheduler->timers, upstream->open_next_us, TIMER_WAKE, 0);
}

// Handles a connection that could not be opened, reset or validated, or that
// was lost.
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
        pool_refuse_pinned(scheduler, conn, 0,
                           "the transaction's connection is lost");
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

// Closes one connection to a primary whose term has ended. A read outside a
// transaction finishes first; in-flight writes and transactions end with
// outcome unknown.
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
        pool_refuse_pinned(scheduler, conn, 0, "the primary's term has ended");
        pool_close(scheduler, conn, SCHEDULER_CLOSE_SUPERSEDED);
        return;
    default:
        pool_close(scheduler, conn, SCHEDULER_CLOSE_SUPERSEDED);
    }
}

// Closes the connections to an upstream that was the primary of an ended term.
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
