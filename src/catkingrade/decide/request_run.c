#include "catkingrade/decide/request_run.h"

#include "catkingrade/decide/admission.h"
#include "catkingrade/decide/confirm.h"
#include "catkingrade/decide/pool.h"
#include "catkingrade/decide/retry.h"
#include "catkingrade/decide/scheduler_actions.h"
#include "catkingrade/decide/scheduler_lease.h"
#include "catkingrade/decide/scheduler_request.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

// Takes a request out of the queue that it waits in.
static void
request_leave_queue(struct scheduler *scheduler, struct request *request)
{
    struct conn *conn = NULL;

    if (request->state == REQUEST_CONFIRMING) {
        request_list_remove(&scheduler->confirming, request);
        return;
    }
    if (request->state != REQUEST_QUEUED) {
        return;
    }
    if (request->conn == SCHEDULER_NO_ID) {
        admission_remove(scheduler, request);
        return;
    }
    conn = pool_find(scheduler, request->conn);
    INVARIANT(conn != NULL);
    request_list_remove(&scheduler->upstreams[conn->upstream].pinned, request);
    scheduler->pinned_waiting--;
}

// Ends a running request as unknown before its answer is there. The upstream
// is asked to stop it. Its connection serves others only after the late
// answer and a reset; within a transaction it is closed.
static void
request_abandon(struct scheduler *scheduler, struct request *request,
                const char *reason)
{
    struct conn *conn = pool_find(scheduler, request->conn);

    INVARIANT(conn != NULL);
    struct scheduler_action *action =
        scheduler_add_action(scheduler, SCHEDULER_ACTION_CANCEL);
    action->conn = conn->id;
    action->upstream = conn->upstream;
    action->request = request->id;
    conn->reset_wanted = true;
    if (conn->session != NULL || request_opens_transaction(request)) {
        pool_release_slot(scheduler, conn->upstream, conn->read);
        pool_close(scheduler, conn, SCHEDULER_CLOSE_ABNORMAL);
    }
    else {
        timers_add(&scheduler->timers,
                   scheduler->now_us + scheduler->params.connect_timeout_us,
                   TIMER_CONN, conn->id);
        conn->abandoned_us = scheduler->now_us;
    }
    request_unknown(scheduler, request, reason);
}

// Ends a request because its caller cancelled it. One that runs is stopped by
// the upstream, whose answer then ends it.
void
request_cancel(struct scheduler *scheduler, uint64_t id)
{
    struct request *request = id_map_get(&scheduler->requests, id);

    if (request == NULL || request->state == REQUEST_CONFIRMING) {
        return;
    }
    if (request->state != REQUEST_RUNNING) {
        request_leave_queue(scheduler, request);
        request_refuse(scheduler, request, OUTCOME_NOT_RUN, 0,
                       "cancelled by its caller");
        return;
    }
    struct conn *conn = pool_find(scheduler, request->conn);
    INVARIANT(conn != NULL);
    struct scheduler_action *action =
        scheduler_add_action(scheduler, SCHEDULER_ACTION_CANCEL);
    action->conn = conn->id;
    action->upstream = conn->upstream;
    action->request = id;
}

// Ends a request whose caller is gone for good.
void
request_drop(struct scheduler *scheduler, struct request *request)
{
    switch (request->state) {
    case REQUEST_RUNNING:
        request_abandon(scheduler, request, "its session has ended");
        return;
    case REQUEST_CONFIRMING:
        request_leave_queue(scheduler, request);
        request_unknown(scheduler, request, "its session has ended");
        return;
    default:
        request_leave_queue(scheduler, request);
        request_refuse(scheduler, request, OUTCOME_NOT_RUN, 0,
                       "its session has ended");
    }
}

// Returns why a request runs where it does, for people.
static const char *
request_get_route_reason(const struct request *request, bool on_replica)
{
    if (on_replica) {
        return "covers the session's floor within the accepted age";
    }
    switch (request->request_class) {
    case SCHEDULER_CLASS_READ:
        return "no replica that may serve the read was better";
    case SCHEDULER_CLASS_WRITE:
    case SCHEDULER_CLASS_BEGIN:
        return "may write";
    default:
        return "runs in a transaction";
    }
}

// Lets a replica run a read only when it has the position that the route has
// found, and sees to it that a silent upstream is noticed.
static void
request_require_position(struct scheduler *scheduler,
                         const struct request *request,
                         const struct conn *conn,
                         struct scheduler_action *action)
{
    struct upstream *up = &scheduler->upstreams[conn->upstream];

    if (action->on_replica && conn->session == NULL) {
        action->after_lsn = request->required_lsn;
        replica_lag_record_attempt(&up->lag, scheduler->now_us,
                                   request->required_lsn_age_us);
    }
    scheduler_add_coarse_timer(
        scheduler, scheduler->now_us + scheduler->params.suspect_us,
        TIMER_CONN, conn->id);
}

// Sends a request that is in no queue on a connection that is free for it.
void
request_send(struct scheduler *scheduler, struct request *request,
             struct conn *conn)
{
    struct upstream *up = &scheduler->upstreams[conn->upstream];

    if (conn->state == CONN_PINNED) {
        pool_release_slot(scheduler, conn->upstream, false);
    }
    request->state = REQUEST_RUNNING;
    request->conn = conn->id;
    request->started_us = scheduler->now_us;
    request->term = lease_get_term(scheduler);
    request->relayed = up->relayed;
    conn->state = CONN_BUSY;
    conn->since_us = scheduler->now_us;
    conn->used_us = scheduler->now_us;
    conn->request = request->id;
    conn->last_session = request->session->id;
    conn->abandoned_us = 0;
    conn->read = request_is_read(request);
    up->running++;
    up->reads += conn->read;
    scheduler->running++;
    struct scheduler_action *action =
        scheduler_add_action(scheduler, SCHEDULER_ACTION_SEND);
    action->request = request->id;
    action->session = request->session->id;
    action->conn = conn->id;
    action->upstream = conn->upstream;
    action->on_replica = conn->upstream != scheduler->primary;
    if (scheduler->params.guarded) {
        request_require_position(scheduler, request, conn, action);
    }
    action->reason = request_get_route_reason(request, action->on_replica);
}

// Ends a request that has not been sent because its time is over.
static void
request_expire_unsent(struct scheduler *scheduler, struct request *request)
{
    request_leave_queue(scheduler, request);
    request_refuse(scheduler, request, OUTCOME_TIMEOUT, RETRY_AFTER_US,
                   "not started before its deadline");
}

// Returns whether a request waits for a slot that any other might take. A
// statement of a transaction has its own connection.
static bool
request_may_time_out_in_queue(const struct request *request)
{
    return request->state == REQUEST_BACKOFF ||
           (request->state == REQUEST_QUEUED &&
            request->conn == SCHEDULER_NO_ID);
}

// Gives a request a new wait when nobody was served during the one that has
// ended: to be refused would only bring it back to the same standstill.
// Returns whether it did.
static bool
request_extend_queue_timeout(struct scheduler *scheduler,
                             struct request *request)
{
    if (request->state != REQUEST_QUEUED) {
        return false;
    }
    int64_t until_us = admission_get_queue_deadline_us(scheduler, request);
    if (until_us <= scheduler->now_us) {
        return false;
    }
    request->start_by_us = until_us;
    if (until_us < request->deadline_us) {
        scheduler_add_coarse_timer(scheduler, until_us, TIMER_REQUEST,
                                   request->id);
    }
    return true;
}

// Ends a wait that is of no more use to the caller, unless it goes on.
static void
request_handle_queue_timeout(struct scheduler *scheduler,
                             struct request *request)
{
    if (!request->stale_wait &&
        request_extend_queue_timeout(scheduler, request)) {
        return;
    }
    request_leave_queue(scheduler, request);
    admission_refuse_queue_timeout(scheduler, request);
}

// Handles a timer of a request: its deadline, or the end of a shorter wait.
void
request_handle_timer(struct scheduler *scheduler, uint64_t id)
{
    struct request *request = id_map_get(&scheduler->requests, id);

    if (request == NULL) {
        return;
    }
    if (scheduler->now_us >= request->deadline_us) {
        if (request->state == REQUEST_RUNNING) {
            request_abandon(scheduler, request,
                            "no answer before its deadline");
        }
        else if (request->state == REQUEST_CONFIRMING) {
            confirm_expire(scheduler, request);
        }
        else {
            request_expire_unsent(scheduler, request);
        }
        return;
    }
    if (scheduler->now_us >= request->start_by_us &&
        request_may_time_out_in_queue(request)) {
        request_handle_queue_timeout(scheduler, request);
        return;
    }
    if (request->state == REQUEST_BACKOFF &&
        scheduler->now_us >= request->wait_until_us) {
        admission_enqueue(scheduler, request);
    }
    else if (request->state == REQUEST_WAITING &&
             request->session->floor_known &&
             request->session->first == request &&
             scheduler->now_us >= request->arrived_us + REQUEST_VIEW_WAIT_US) {
        request_refuse(scheduler, request, OUTCOME_UNAVAILABLE, RETRY_AFTER_US,
                       "the session's term is not known here");
    }
}
