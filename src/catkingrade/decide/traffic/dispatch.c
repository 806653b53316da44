#include "catkingrade/decide/traffic/dispatch.h"

#include "catkingrade/decide/traffic/admission.h"
#include "catkingrade/decide/traffic/fair_queue.h"
#include "catkingrade/decide/traffic/pool.h"
#include "catkingrade/decide/traffic/request_run.h"
#include "catkingrade/decide/traffic/retry.h"
#include "catkingrade/decide/traffic/route.h"
#include "catkingrade/decide/traffic/scheduler_lease.h"
#include "catkingrade/decide/traffic/scheduler_request.h"
#include "catkingrade/decide/traffic/upstream_capacity.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

// Number of requests at the head of a queue that one dispatch considers.
#define DISPATCH_SCAN_MAX 4
// Maximum wait of a read for which no upstream is fresh enough. In that time a
// replica may catch up or a new term may begin.
#define DISPATCH_STALE_WAIT_US (2500 * SCHEDULER_MS_US)

enum dispatch_verdict {
    DISPATCH_STARTED,
    DISPATCH_ENDED,   // refused and freed
    DISPATCH_WAITING, // stays queued; requests behind it may start
    DISPATCH_BLOCKED, // stays queued; no slot is free for its queue
};

// Handles a read for which no upstream is fresh enough: the read stays queued
// for DISPATCH_STALE_WAIT_US and is then refused.
static enum dispatch_verdict
dispatch_handle_stale(struct scheduler *scheduler, struct request *request)
{
    int64_t until_us = request->queued_us + DISPATCH_STALE_WAIT_US;

    if (scheduler->now_us >= until_us) {
        admission_remove(scheduler, request);
        request_refuse(scheduler, request, OUTCOME_UNAVAILABLE, RETRY_AFTER_US,
                       "no upstream has what the read needs");
        return DISPATCH_ENDED;
    }
    if (!request->stale_wait) {
        request->stale_wait = true;
        timers_add(&scheduler->timers, until_us, TIMER_REQUEST, request->id);
    }
    return DISPATCH_WAITING;
}

// Routes a queued request and sends it if a slot and a connection are free.
static enum dispatch_verdict
dispatch_try(struct scheduler *scheduler, struct request *request,
             enum queue_kind kind)
{
    if (admission_refuse_late(scheduler, request)) {
        return DISPATCH_ENDED;
    }
    struct route route = kind == QUEUE_READS
                             ? route_read(scheduler, request)
                             : route_primary(scheduler, request);
    if (route.verdict == ROUTE_STALE) {
        return kind == QUEUE_READS ? dispatch_handle_stale(scheduler, request)
                                   : DISPATCH_BLOCKED;
    }
    request->stale_wait = false;
    if (route.verdict == ROUTE_BUSY) {
        return DISPATCH_BLOCKED;
    }
    struct conn *conn = pool_acquire_idle(scheduler, route.upstream, request);
    if (conn == NULL) {
        pool_open_for(scheduler, route.upstream, request);
        return DISPATCH_WAITING;
    }
    admission_remove(scheduler, request);
    admission_record_start(scheduler, kind);
    if (scheduler->customers.used == 0) {
        admission_charge(scheduler, &scheduler->types[request->type], kind);
    }
    request_send(scheduler, request, conn);
    return DISPATCH_STARTED;
}

// Starts at most one request of a type. If none can start, marks the queue as
// blocked for the rest of this dispatch round.
static void
dispatch_type(struct scheduler *scheduler, struct request_type *type,
              enum queue_kind kind)
{
    struct type_queue *queue = &type->queues[kind];
    struct request *request = queue->list.first;

    for (int i = 0; request != NULL && i < DISPATCH_SCAN_MAX; i++) {
        struct request *next = request->next;
        enum dispatch_verdict verdict = dispatch_try(scheduler, request, kind);
        if (verdict == DISPATCH_STARTED) {
            return;
        }
        if (verdict == DISPATCH_ENDED) {
            i--;
            next = queue->list.first;
        }
        request = next;
    }
    queue->blocked_round = scheduler->round;
}

// Starts at most one request of a customer and type. If none can start, marks
// their queue as blocked for the rest of this dispatch round.
static void
dispatch_fair_queue(struct scheduler *scheduler, struct fair_queue *queue)
{
    struct request *request = queue->first;

    for (int i = 0; request != NULL && i < DISPATCH_SCAN_MAX; i++) {
        struct request *next = request->fair_next;
        enum dispatch_verdict verdict =
            dispatch_try(scheduler, request, queue->kind);
        // The queue is freed after its last request.
        if (verdict == DISPATCH_STARTED || verdict == DISPATCH_ENDED) {
            return;
        }
        request = next;
    }
    queue->blocked_round = scheduler->round;
}

// Refuses the first requests of a queue that can no longer end before their
// deadlines.
static void
dispatch_refuse_late(struct scheduler *scheduler, struct fair_queue *queue)
{
    struct request *request = queue->first;

    for (uint32_t left = queue->count; left > 0; left--) {
        struct request *next = request->fair_next;
        if (!admission_refuse_late(scheduler, request)) {
            return;
        }
        request = next;
    }
}

// Starts the requests of a kind that can start, in the order of fair_queue.h.
static void
dispatch_fairly(struct scheduler *scheduler, enum queue_kind kind)
{
    struct fair_queue *queue = scheduler->fair_first[kind];

    while (queue != NULL) {
        struct fair_queue *next = queue->next;
        dispatch_refuse_late(scheduler, queue);
        queue = next;
    }
    while (admission_has_free_slot(scheduler, kind) &&
           (queue = fair_queue_pick(scheduler, kind)) != NULL) {
        dispatch_fair_queue(scheduler, queue);
    }
}

// Returns whether a statement of the open transaction on a connection may be
// sent. A COMMIT that this entry may not acknowledge is not sent: its outcome
// would be unknown. A read-only transaction commits nothing, and a relay entry
// decides by its own lease.
static bool
dispatch_may_send_pinned(const struct scheduler *scheduler,
                         const struct request *request,
                         const struct conn *conn)
{
    return request->request_class != SCHEDULER_CLASS_COMMIT ||
           conn->read_only || scheduler->upstreams[conn->upstream].relayed ||
           lease_may_acknowledge(scheduler, conn->term);
}

// Refuses the queued COMMIT of a transaction and rolls that back by closing
// its connection, so that the client can begin anew. Relays take it at once.
static void
dispatch_end_transaction(struct scheduler *scheduler, struct conn *conn)
{
    pool_refuse_pinned(scheduler, conn,
                       scheduler->view.relayed ? 0 : RETRY_AFTER_US,
                       "the entry has no lease of the transaction's term");
    pool_close(scheduler, conn, SCHEDULER_CLOSE_ABNORMAL);
}

// Sends the queued statements of open transactions to an upstream. Their
// connections are pinned and hold a slot already.
static void
dispatch_pinned(struct scheduler *scheduler, struct upstream *up)
{
    while (up->pinned.first != NULL) {
        struct request *request = up->pinned.first;
        struct conn *conn = pool_find(scheduler, request->conn);
        INVARIANT(conn != NULL && conn->state == CONN_PINNED);
        if (!dispatch_may_send_pinned(scheduler, request, conn)) {
            dispatch_end_transaction(scheduler, conn);
            continue;
        }
        request_list_remove(&up->pinned, request);
        scheduler->pinned_waiting--;
        request_send(scheduler, request, conn);
    }
}

// Starts all requests that can start: first statements of open transactions,
// then requests for the primary, then reads. Within the last two, weighted
// fair queueing picks the request type, or the customers share the slots.
void
dispatch_run(struct scheduler *scheduler)
{
    scheduler->round++;
    upstream_capacity_check_overdue(scheduler);
    for (uint32_t i = 0;
         scheduler->pinned_waiting > 0 && i < scheduler->upstreams_count;
         i++) {
        dispatch_pinned(scheduler, &scheduler->upstreams[i]);
    }
    for (int kind = 0; kind < QUEUE_COUNT; kind++) {
        struct request_type *type = NULL;
        if (scheduler->customers.used > 0) {
            dispatch_fairly(scheduler, kind);
            continue;
        }
        while (scheduler->queued[kind] > 0 &&
               (type = admission_pick_type(scheduler, kind)) != NULL) {
            dispatch_type(scheduler, type, kind);
        }
    }
}
