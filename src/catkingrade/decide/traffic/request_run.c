#include "catkingrade/decide/traffic/request_run.h"

#include "catkingrade/decide/traffic/admission.h"
#include "catkingrade/decide/traffic/confirm.h"
#include "catkingrade/decide/traffic/fair_queue.h"
#include "catkingrade/decide/traffic/pool.h"
#include "catkingrade/decide/traffic/retry.h"
#include "catkingrade/decide/traffic/scheduler_actions.h"
#include "catkingrade/decide/traffic/scheduler_lease.h"
#include "catkingrade/decide/traffic/scheduler_request.h"
#include "catkingrade/decide/traffic/upstream_capacity.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

// Removes a request that has not been sent or is being confirmed from its
// queue. Does nothing in other states.
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

// Ends an in-flight request with outcome unknown before its answer has come,
// and asks the upstream to cancel it. Outside a transaction the connection is
// reused only after the late answer and a reset; within one it is closed.
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
        pool_release_slot(scheduler, conn, conn->read);
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

// Handles the caller's cancellation of a request. A request that was not sent
// is refused. For an in-flight request the upstream is asked to cancel it, and
// the upstream's answer ends it. A commit that waits for its confirmation is
// not cancelled.
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

// Ends a request whose session or entry ends: as not run if it was not sent,
// otherwise with outcome unknown.
void
request_drop(struct scheduler *scheduler, struct request *request,
             const char *reason)
{
    switch (request->state) {
    case REQUEST_RUNNING:
        request_abandon(scheduler, request, reason);
        return;
    case REQUEST_CONFIRMING:
        request_leave_queue(scheduler, request);
        request_unknown(scheduler, request, reason);
        return;
    default:
        request_leave_queue(scheduler, request);
        request_refuse(scheduler, request, OUTCOME_CLOSED, 0, reason);
    }
}

// Returns a text for operators that explains the choice of the upstream.
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

// Adds to the SEND action of a request to a guarded upstream the log position
// that a replica must have applied; the replica refuses the read otherwise.
// Sets a timer that detects an upstream which does not answer.
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

// Sends a request on a connection and occupies a slot of its upstream. The
// request must be in no queue; the connection must be idle and off the idle
// list, or pinned to the request's transaction.
void
request_send(struct scheduler *scheduler, struct request *request,
             struct conn *conn)
{
    struct upstream *up = &scheduler->upstreams[conn->upstream];

    if (conn->state == CONN_PINNED) {
        pool_release_slot(scheduler, conn, false);
    }
    fair_queue_charge(scheduler, conn, request, admission_get_queue(request));
    request->state = REQUEST_RUNNING;
    request->conn = conn->id;
    request->started_us = scheduler->now_us;
    request->relayed = up->relayed;
    conn->state = CONN_BUSY;
    conn->since_us = scheduler->now_us;
    conn->used_us = scheduler->now_us;
    conn->request = request->id;
    conn->last_session = request->session->id;
    conn->abandoned_us = 0;
    conn->overdue = 0;
    conn->read = request_is_read(request);
    if (conn->session == NULL) {
        conn->term = lease_get_term(scheduler);
        conn->on_replica =
            conn->upstream != scheduler->primary && !up->relayed;
    }
    request->term = conn->read_only ? lease_get_term(scheduler) : conn->term;
    upstream_capacity_record_send(scheduler, up, request);
    up->running++;
    up->reads += conn->read;
    scheduler->running++;
    struct scheduler_action *action =
        scheduler_add_action(scheduler, SCHEDULER_ACTION_SEND);
    action->request = request->id;
    action->session = request->session->id;
    action->conn = conn->id;
    action->upstream = conn->upstream;
    action->on_replica = conn->on_replica;
    action->term = request->term;
    action->lease_left_us =
        scheduler->lease.valid_until_us - scheduler->now_us;
    if (scheduler->params.guarded) {
        request_require_position(scheduler, request, conn, action);
    }
    action->reason = request_get_route_reason(request, action->on_replica);
}

// Refuses a request that was not sent before its deadline.
static void
request_expire_unsent(struct scheduler *scheduler, struct request *request)
{
    request_leave_queue(scheduler, request);
    request_refuse(scheduler, request, OUTCOME_TIMEOUT, RETRY_AFTER_US,
                   "not started before its deadline");
}

// Returns whether the queue timeout applies to a request: it waits for a slot
// or for its next attempt. Statements of a transaction are excluded, as their
// pinned connection holds a slot.
static bool
request_may_time_out_in_queue(const struct request *request)
{
    return request->state == REQUEST_BACKOFF ||
           (request->state == REQUEST_QUEUED &&
            request->conn == SCHEDULER_NO_ID);
}

// Extends the queue timeout of a request when no request of its queue got a
// slot during the timeout: after a refusal the caller would retry and find the
// same stalled queue. Returns whether the timeout was extended.
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

// Handles the queue timeout of a request: refuses it unless the timeout is
// extended. A read without a fresh enough upstream gets no extension.
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

// Handles a timer of a request: its deadline, its queue timeout, the end of a
// retry backoff or the end of the wait for a newer view. Ignores timers of
// requests that have ended.
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
