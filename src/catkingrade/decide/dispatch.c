#include "catkingrade/decide/dispatch.h"

#include "catkingrade/decide/admission.h"
#include "catkingrade/decide/pool.h"
#include "catkingrade/decide/request_run.h"
#include "catkingrade/decide/retry.h"
#include "catkingrade/decide/route.h"
#include "catkingrade/decide/scheduler_lease.h"
#include "catkingrade/decide/scheduler_request.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

// Requests at the head of a queue that are looked at in one step.
#define DISPATCH_SCAN_MAX 4
// A read that no upstream may serve waits this long for the next term or for
// a replica to catch up.
#define DISPATCH_STALE_WAIT_US (2500 * SCHEDULER_MS_US)

enum dispatch_verdict {
    DISPATCH_STARTED,
    DISPATCH_ENDED,   // refused
    DISPATCH_WAITING, // stays queued; others may go on
    DISPATCH_BLOCKED, // stays queued; its queue has no slot
};

// Counts a request that lacks a connection to an upstream, and opens one for
// it unless enough are on their way.
static void
dispatch_request_conn(struct scheduler *scheduler, uint32_t place)
{
    struct upstream *up = &scheduler->upstreams[place];

    if (up->waiting_round != scheduler->round) {
        up->waiting_round = scheduler->round;
        up->waiting = 0;
    }
    up->waiting++;
    if (up->opening < up->waiting && pool_can_open(scheduler, place)) {
        pool_open(scheduler, place);
    }
}

// Handles a read that no upstream may serve: it waits for a bounded time,
// then is refused.
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

// Tries to start a queued request.
static enum dispatch_verdict
dispatch_try(struct scheduler *scheduler, struct request *request,
             enum queue_kind kind)
{
    if (admission_refuse_late(scheduler, request)) {
        return DISPATCH_ENDED;
    }
    struct route route = kind == QUEUE_READS ? route_read(scheduler, request)
                                             : route_primary(scheduler);
    if (route.verdict == ROUTE_STALE) {
        return kind == QUEUE_READS ? dispatch_handle_stale(scheduler, request)
                                   : DISPATCH_BLOCKED;
    }
    request->stale_wait = false;
    if (route.verdict == ROUTE_BUSY) {
        return DISPATCH_BLOCKED;
    }
    struct conn *conn =
        pool_acquire_idle(scheduler, route.upstream, request->session->id,
                          !request_is_read(request));
    if (conn == NULL) {
        dispatch_request_conn(scheduler, route.upstream);
        return DISPATCH_WAITING;
    }
    admission_remove(scheduler, request);
    admission_charge(scheduler, &scheduler->types[request->type], kind);
    request_send(scheduler, request, conn);
    return DISPATCH_STARTED;
}

// Starts one request of a type, or finds that its queue cannot go on.
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

// Starts statements of open transactions, which hold their slots.
static void
dispatch_pinned(struct scheduler *scheduler, struct upstream *up)
{
    while (up->pinned.first != NULL) {
        struct request *request = up->pinned.first;
        struct conn *conn = pool_find(scheduler, request->conn);
        INVARIANT(conn != NULL && conn->state == CONN_PINNED);
        request_list_remove(&up->pinned, request);
        scheduler->pinned_waiting--;
        request_send(scheduler, request, conn);
    }
}

// Starts what can start: statements of open transactions, then work for the
// primary, then reads, each by weighted fair queueing over the types.
void
dispatch_run(struct scheduler *scheduler)
{
    scheduler->round++;
    for (uint32_t i = 0;
         scheduler->pinned_waiting > 0 && i < scheduler->upstreams_count;
         i++) {
        dispatch_pinned(scheduler, &scheduler->upstreams[i]);
    }
    for (int kind = 0; kind < QUEUE_COUNT; kind++) {
        struct request_type *type = NULL;
        while (scheduler->queued[kind] > 0 &&
               (type = admission_pick_type(scheduler, kind)) != NULL) {
            dispatch_type(scheduler, type, kind);
        }
    }
}
