#include "catkingrade/decide/traffic_result.h"

#include "catkingrade/decide/admission.h"
#include "catkingrade/decide/confirm.h"
#include "catkingrade/decide/pool.h"
#include "catkingrade/decide/random.h"
#include "catkingrade/decide/retry.h"
#include "catkingrade/decide/route.h"
#include "catkingrade/decide/traffic_lease.h"
#include "catkingrade/decide/traffic_request.h"
#include "catkingrade/decide/traffic_sample.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

#define RESULT_LATENCY_PART     8 // of a new measurement in the average
#define RESULT_OPEN_BACKOFF_US  (10 * TRAFFIC_MS_US)
#define RESULT_OPEN_BACKOFF_MAX (1 * TRAFFIC_SECOND_US)
#define RESULT_REFUSED_PAUSE_US (15 * TRAFFIC_MS_US)

static void
result_note_latency(struct upstream *upstream, int64_t took_us)
{
    if (upstream->latency_us == 0) {
        upstream->latency_us = took_us;
    }
    upstream->latency_us +=
        (took_us - upstream->latency_us) / RESULT_LATENCY_PART;
}

// Returns the position that a request's session has seen, in the present
// term's log, or 0 when that is not known.
static uint64_t
result_get_seen_lsn(const struct traffic *traffic,
                    const struct request *request,
                    const struct ck_position *position)
{
    uint64_t timeline = traffic->view.database->base.timeline;

    if (request->term != lease_get_term(traffic) ||
        (timeline != 0 && position->timeline != timeline)) {
        return 0;
    }
    return position->lsn;
}

// Ends a request whose whole answer is there. What may have committed waits
// for its confirmation; all else is passed on.
static void
result_end_whole(struct traffic *traffic, struct request *request,
                 const struct traffic_result_event *event, bool was_pinned,
                 bool read_only)
{
    uint64_t lsn = result_get_seen_lsn(traffic, request, &event->position);
    bool saves = request->request_class == TRAFFIC_WRITE ||
                 request->request_class == TRAFFIC_COMMIT ||
                 (was_pinned && request->request_class != TRAFFIC_ROLLBACK);

    if (event->result == TRAFFIC_RESULT_ERROR) {
        request_answer(traffic, request, 0);
    }
    else if (request->relayed) {
        // The other entry has confirmed it, and knows what was saved.
        request->term = event->floor.term;
        request_answer(traffic, request, event->floor.lsn);
    }
    else if (!saves || event->in_transaction || read_only) {
        request_answer(traffic, request, event->in_transaction ? 0 : lsn);
    }
    else if (request->term != lease_get_term(traffic) ||
             request->term < traffic->min_term) {
        request_unknown(traffic, request, "the primary's term has ended");
    }
    else {
        confirm_add(traffic, request, lsn);
    }
}

// Returns a connection to its transaction or to its pool after a whole
// answer. One that its session no longer holds is not at a known boundary.
static void
result_keep_conn(struct traffic *traffic, struct conn *conn,
                 const struct request *request,
                 const struct traffic_result_event *event)
{
    conn->proved_us = traffic->now_us;
    if (!event->in_transaction) {
        pool_release(traffic, conn);
    }
    else if (request == NULL) {
        pool_close(traffic, conn, TRAFFIC_CLOSE_ABNORMAL);
    }
    else {
        pool_pin(traffic, conn, request->session);
    }
}

// Takes what a replica's answer shows of its lag. An answer to an older
// statement of its transaction shows nothing new.
static void
result_note_lag(const struct traffic *traffic, struct upstream *up,
                const struct request *request, int64_t sent_us)
{
    if (request != NULL && request->guard_lsn != 0) {
        replica_lag_record_reached(&up->lag, traffic->now_us,
                                   request->guard_age_us);
    }
    if (up->current_us != FRESHNESS_UNKNOWN) {
        replica_lag_record(&up->lag, traffic->now_us,
                           sent_us - up->current_us);
    }
}

static void
result_handle_whole(struct traffic *traffic, struct conn *conn,
                    struct request *request,
                    const struct traffic_result_event *event)
{
    struct upstream *up = &traffic->upstreams[conn->upstream];
    uint32_t upstream = conn->upstream;
    int64_t sent_us = conn->since_us;
    bool read_only = conn->read_only;
    bool was_pinned = conn->session != NULL;

    sample_note_answer(traffic, upstream);
    sample_note_position(traffic, upstream, &event->position, sent_us);
    if (traffic->params.guarded && !up->relayed &&
        upstream != traffic->primary) {
        result_note_lag(traffic, up, request, sent_us);
    }
    circuit_breaker_record_result(&up->circuit_breaker, traffic->now_us,
                                  false);
    if (request != NULL) {
        concurrency_record_success(&up->concurrency, up->slots);
        result_note_latency(up, traffic->now_us - sent_us);
        admission_record_service_time(traffic, request);
        if (request_opens_transaction(request)) {
            conn->read_only =
                request->request_class == TRAFFIC_BEGIN_READ_ONLY;
        }
    }
    result_keep_conn(traffic, conn, request, event);
    if (request != NULL) {
        result_end_whole(traffic, request, event, was_pinned, read_only);
    }
}

// Ends a request whose connection was lost. A request that has not reached
// the upstream has not run; one that has is unknown, unless it may be
// repeated and nothing of its answer has been passed on.
static void
result_end_lost(struct traffic *traffic, struct request *request,
                uint32_t upstream, bool was_pinned, enum traffic_result result)
{
    bool not_sent = result == TRAFFIC_RESULT_NOT_SENT;
    bool repeatable =
        request->repeatable || request_opens_transaction(request);

    if (!was_pinned &&
        (not_sent || (result == TRAFFIC_RESULT_CUT && repeatable &&
                      request_is_read(request)))) {
        if (retry_schedule(traffic, request, upstream)) {
            return;
        }
    }
    if (not_sent) {
        request_refuse(traffic, request, OUTCOME_NOT_RUN, RETRY_AFTER_US,
                       "the connection was lost before it was sent");
    }
    else {
        request_unknown(traffic, request,
                        "the connection was lost after it was sent");
    }
}

// Forgets a lost connection and ends the request that ran on it.
static void
result_lose_conn(struct traffic *traffic, struct conn *conn,
                 enum traffic_result result, enum traffic_close_reason reason)
{
    struct request *request = id_map_get(&traffic->requests, conn->request);
    uint32_t upstream = conn->upstream;
    bool was_pinned = conn->session != NULL;

    pool_release_slot(traffic, conn->upstream, conn->read);
    if (conn->abandoned_us != 0) {
        request = NULL;
    }
    pool_close(traffic, conn, reason);
    if (request != NULL) {
        result_end_lost(traffic, request, upstream, was_pinned, result);
    }
}

// Sets a request up for another try that an upstream has refused without
// running it. What only the primary may run comes back to it after a pause.
static bool
result_try_again(struct traffic *traffic, struct request *request,
                 uint32_t upstream, enum traffic_refusal refusal)
{
    bool elsewhere = admission_get_queue(request) == QUEUE_READS;
    int64_t at_us = traffic->now_us + RESULT_REFUSED_PAUSE_US;

    if (request->tries == TRAFFIC_TRIES_MAX || request->session->ended ||
        refusal == TRAFFIC_REFUSAL_READ_ONLY ||
        at_us >= request->deadline_us) {
        return false;
    }
    request->tried[request->tries++] = elsewhere ? upstream : TRAFFIC_NO_ID;
    request->conn = TRAFFIC_NO_ID;
    if (elsewhere) {
        admission_enqueue(traffic, request);
        return true;
    }
    request->state = REQUEST_BACKOFF;
    request->wait_until_us = at_us;
    timers_add(&traffic->timers, at_us, TIMER_REQUEST, request->id);
    return true;
}

// Takes the word of an upstream that it has not run a request. Its connection
// is at a transaction boundary.
static void
result_handle_refused(struct traffic *traffic, struct conn *conn,
                      struct request *request,
                      const struct traffic_result_event *event)
{
    uint32_t upstream = conn->upstream;
    struct upstream *up = &traffic->upstreams[upstream];

    sample_note_answer(traffic, upstream);
    if (event->refusal == TRAFFIC_REFUSAL_BEHIND && request != NULL) {
        replica_lag_record_behind(&up->lag, traffic->now_us,
                                  request->guard_age_us);
        request->stale_wait = !route_primary_is_usable(traffic);
    }
    if (event->refusal == TRAFFIC_REFUSAL_READ_ONLY) {
        sample_note_failure(traffic, upstream, CK_SUSPECT_SILENT);
    }
    if (event->refusal == TRAFFIC_REFUSAL_BUSY) {
        concurrency_record_rejection(&up->concurrency, traffic->now_us,
                                     up->running);
    }
    conn->proved_us = traffic->now_us;
    pool_release(traffic, conn);
    if (request == NULL ||
        result_try_again(traffic, request, upstream, event->refusal)) {
        return;
    }
    request_refuse(traffic, request, OUTCOME_NOT_RUN, RETRY_AFTER_US,
                   event->refusal == TRAFFIC_REFUSAL_READ_ONLY
                       ? "its upstream is no primary"
                       : "its upstream refused it");
}

// Takes the word of an upstream that it has run a request and failed. A single
// read may run again elsewhere; else the answer is passed on.
static void
result_handle_failed(struct traffic *traffic, struct conn *conn,
                     struct request *request,
                     const struct traffic_result_event *event)
{
    uint32_t upstream = conn->upstream;
    bool was_pinned = conn->session != NULL;

    sample_note_answer(traffic, upstream);
    circuit_breaker_record_result(
        &traffic->upstreams[upstream].circuit_breaker, traffic->now_us, true);
    result_keep_conn(traffic, conn, request, event);
    if (request == NULL ||
        (request->request_class == TRAFFIC_READ && !was_pinned &&
         result_try_again(traffic, request, upstream, TRAFFIC_REFUSAL_NONE))) {
        return;
    }
    request_answer(traffic, request, 0);
}

// Returns whether an upstream has answered a request as a whole, so that its
// connection stands.
bool
result_is_whole(enum traffic_result result)
{
    return result == TRAFFIC_RESULT_DONE || result == TRAFFIC_RESULT_ERROR ||
           result == TRAFFIC_RESULT_FAILED || result == TRAFFIC_RESULT_REFUSED;
}

// Takes what the upstream's side says of a request. News of a request that
// the connection does not run any more are late and change nothing.
void
result_handle(struct traffic *traffic,
              const struct traffic_result_event *event)
{
    struct conn *conn = pool_find(traffic, event->conn);

    if (conn == NULL || conn->state != CONN_BUSY ||
        conn->request != event->request) {
        return;
    }
    if (!result_is_whole(event->result)) {
        uint32_t upstream = conn->upstream;
        int64_t opened_us = conn->opened_us;
        result_lose_conn(traffic, conn, event->result, TRAFFIC_CLOSE_ABNORMAL);
        pool_check_same_age(traffic, upstream, opened_us);
        return;
    }
    struct request *request =
        conn->abandoned_us != 0
            ? NULL
            : id_map_get(&traffic->requests, event->request);
    pool_release_slot(traffic, conn->upstream, conn->read);
    switch (event->result) {
    case TRAFFIC_RESULT_REFUSED:
        result_handle_refused(traffic, conn, request, event);
        break;
    case TRAFFIC_RESULT_FAILED:
        result_handle_failed(traffic, conn, request, event);
        break;
    default:
        result_handle_whole(traffic, conn, request, event);
        break;
    }
}

// Makes the next open of a connection to an upstream wait, longer after each
// failure.
static void
result_back_off_open(struct traffic *traffic, struct upstream *upstream)
{
    int64_t wait_us = upstream->open_backoff_us * 2;

    if (wait_us < RESULT_OPEN_BACKOFF_US) {
        wait_us = RESULT_OPEN_BACKOFF_US;
    }
    else if (wait_us > RESULT_OPEN_BACKOFF_MAX) {
        wait_us = RESULT_OPEN_BACKOFF_MAX;
    }
    upstream->open_backoff_us = wait_us;
    upstream->open_next_us =
        traffic->now_us + wait_us / 2 +
        random_below(&traffic->random, (uint32_t)wait_us / 2);
    timers_add(&traffic->timers, upstream->open_next_us, TIMER_WAKE, 0);
}

// Takes the news that a connection could not be opened, reset or proved, or
// that it has ended.
void
result_handle_conn_failed(struct traffic *traffic,
                          const struct traffic_conn_event *event)
{
    struct conn *conn = pool_find(traffic, event->conn);

    if (conn == NULL) {
        return;
    }
    uint32_t upstream = conn->upstream;
    int64_t opened_us = conn->opened_us;
    bool was_opening = conn->state == CONN_OPENING;
    if (conn->state == CONN_BUSY) {
        result_lose_conn(traffic, conn, TRAFFIC_RESULT_CUT,
                         TRAFFIC_CLOSE_ABNORMAL);
    }
    else {
        pool_refuse_pinned(traffic, conn);
        pool_remove(traffic, conn);
    }
    if (was_opening) {
        result_back_off_open(traffic, &traffic->upstreams[upstream]);
    }
    if (event->refused || event->silent) {
        sample_note_failure(traffic, upstream,
                            event->refused ? CK_SUSPECT_REFUSED
                                           : CK_SUSPECT_SILENT);
    }
    if (event->silent && !was_opening) {
        pool_check_same_age(traffic, upstream, opened_us);
    }
}

// Ends one connection to a primary whose term has ended. Reads on it finish
// first; saves and transactions end as unknown.
static void
result_end_primary_conn(struct traffic *traffic, struct conn *conn)
{
    conn->superseded = true;
    switch (conn->state) {
    case CONN_BUSY:
        if (!conn->read || conn->session != NULL) {
            result_lose_conn(traffic, conn, TRAFFIC_RESULT_CUT,
                             TRAFFIC_CLOSE_SUPERSEDED);
        }
        return;
    case CONN_PINNED:
        pool_refuse_pinned(traffic, conn);
        pool_close(traffic, conn, TRAFFIC_CLOSE_SUPERSEDED);
        return;
    default:
        pool_close(traffic, conn, TRAFFIC_CLOSE_SUPERSEDED);
    }
}

// Ends the connections to an upstream that was the primary of an ended term.
void
result_end_primary(struct traffic *traffic, uint32_t upstream)
{
    for (uint32_t i = 0; i < traffic->conns_count; i++) {
        struct conn *conn = &traffic->conns[i];
        if (conn->state != CONN_FREE && conn->upstream == upstream) {
            result_end_primary_conn(traffic, conn);
        }
    }
}
