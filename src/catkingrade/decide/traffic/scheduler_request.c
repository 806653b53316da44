#include "catkingrade/decide/traffic/scheduler_request.h"

#include <stdlib.h>

#include "catkingrade/decide/traffic/admission.h"
#include "catkingrade/decide/traffic/floor.h"
#include "catkingrade/decide/traffic/pool.h"
#include "catkingrade/decide/traffic/retry.h"
#include "catkingrade/decide/traffic/scheduler_actions.h"
#include "catkingrade/decide/traffic/scheduler_lease.h"
#include "catkingrade/decide/traffic/scheduler_session.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

// Removes and frees a request after its final action. If it was the first of
// its session, begins the next one.
static void
request_finish(struct scheduler *scheduler, struct request *request)
{
    struct session *session = request->session;
    struct request **link = &session->first;
    struct request *before = NULL;

    while (*link != request) {
        before = *link;
        link = &before->session_next;
    }
    bool was_first = before == NULL;
    *link = request->session_next;
    if (session->last == request) {
        session->last = before;
    }
    (void)id_map_remove(&scheduler->requests, request->id);
    customer_table_release(&scheduler->customers, request->customer);
    free(request);
    if (was_first) {
        request_continue_session(scheduler, session);
    }
}

// Adds the final action of a request, with the fields that all kinds share.
static struct scheduler_action *
request_add_final(struct scheduler *scheduler, const struct request *request,
                  enum scheduler_action_kind kind)
{
    struct scheduler_action *action = scheduler_add_action(scheduler, kind);

    action->request = request->id;
    action->session = request->session->id;
    action->conn = request->conn;
    action->term = lease_get_term(scheduler);
    action->waited_us = scheduler->now_us - request->arrived_us;
    action->lease_left_us =
        scheduler->lease.valid_until_us - scheduler->now_us;
    return action;
}

// Raises the session's floor to lsn in the present term, or in the term that a
// relay entry reported. lsn 0 means unknown and does not raise the floor.
static void
request_raise_floor(struct scheduler *scheduler, struct request *request,
                    uint64_t lsn)
{
    struct session *session = request->session;
    struct scheduler_floor floor = {
        request->relayed ? request->term : lease_get_term(scheduler), lsn};

    if (lsn == 0 || (request->reads_keep_floor && request_is_read(request))) {
        return;
    }
    if (floor_raise(&session->floor, &floor)) {
        session->floor_us = scheduler->now_us;
    }
    if (!session->floor_known && !request_is_read(request)) {
        session->floor_known = true;
        floor_stop_waiting(scheduler, session);
    }
}

// Ends a request as done. The answer is passed on with the session's floor,
// which is first raised to lsn unless lsn is 0.
void
request_answer(struct scheduler *scheduler, struct request *request,
               uint64_t lsn)
{
    refusal_loss_add(&scheduler->refusal_loss, scheduler->now_us, false);
    request_raise_floor(scheduler, request, lsn);
    request_add_final(scheduler, request, SCHEDULER_ACTION_ANSWER)->floor =
        request->session->floor;
    request_finish(scheduler, request);
}

// Ends a commit as done with a warning that it was not confirmed before its
// deadline.
void
request_answer_with_warning(struct scheduler *scheduler,
                            struct request *request, uint64_t lsn)
{
    request_raise_floor(scheduler, request, lsn);
    struct scheduler_action *action =
        request_add_final(scheduler, request, SCHEDULER_ACTION_WARN);
    action->floor = request->session->floor;
    action->reason = "not confirmed before its deadline";
    request_finish(scheduler, request);
}

// Ends a request as not_run with an outcome. retry_after_us is the delay after
// which the caller should retry; 0 if it should not.
void
request_refuse(struct scheduler *scheduler, struct request *request,
               int outcome, int64_t retry_after_us, const char *reason)
{
    struct scheduler_action *action =
        request_add_final(scheduler, request, SCHEDULER_ACTION_REFUSE);

    action->outcome = outcome;
    action->retry_after_us = retry_after_us;
    action->reason = reason;
    request_finish(scheduler, request);
}

// Ends a request with outcome unknown: it may or may not have been committed.
void
request_unknown(struct scheduler *scheduler, struct request *request,
                const char *reason)
{
    struct scheduler_action *action =
        request_add_final(scheduler, request, SCHEDULER_ACTION_UNKNOWN);

    action->outcome = OUTCOME_UNKNOWN;
    action->reason = reason;
    request_finish(scheduler, request);
}

// Queues a statement of an open transaction for the transaction's pinned
// connection.
static void
request_begin_pinned(struct scheduler *scheduler, struct request *request)
{
    struct conn *conn = pool_find(scheduler, request->session->conn);

    if (conn == NULL) {
        request_refuse(scheduler, request, OUTCOME_NOT_RUN, 0,
                       "the transaction's connection is lost");
        return;
    }
    request->state = REQUEST_QUEUED;
    request->conn = conn->id;
    request_list_append(&scheduler->upstreams[conn->upstream].pinned, request);
    scheduler->pinned_waiting++;
}

// Queues or refuses the first request of a session. The request stays in state
// REQUEST_WAITING while the session's floor is unknown, or is in a term that
// the view does not contain yet.
static void
request_begin(struct scheduler *scheduler, struct request *request)
{
    struct session *session = request->session;
    uint64_t lsn = 0;

    if (session->conn != SCHEDULER_NO_ID ||
        request_is_within_transaction(request)) {
        request_begin_pinned(scheduler, request);
        return;
    }
    if (!scheduler->view_known) {
        request_refuse(scheduler, request, OUTCOME_UNAVAILABLE, RETRY_AFTER_US,
                       "the database is not known");
        return;
    }
    if (!session->floor_known &&
        request->request_class != SCHEDULER_CLASS_WRITE &&
        request->request_class != SCHEDULER_CLASS_BEGIN) {
        return;
    }
    if (!scheduler->view.relayed &&
        floor_translate(scheduler->view.database, &session->floor, &lsn) ==
            FLOOR_NEED_VIEW) {
        if (!session->floor_waiting) {
            floor_start_waiting(scheduler, session);
        }
        timers_add(&scheduler->timers,
                   request->arrived_us + REQUEST_VIEW_WAIT_US, TIMER_REQUEST,
                   request->id);
        return;
    }
    admission_enqueue(scheduler, request);
}

// Begins the first request of a session if it waits, and the next ones as long
// as each ends at once. Ends a session without requests if it is due to end.
// A request that ends meanwhile calls this function again; the nested call
// returns at once, so that a long pipeline does not overflow the stack.
void
request_continue_session(struct scheduler *scheduler, struct session *session)
{
    if (session->continuing) {
        return;
    }
    session->continuing = true;
    while (session->first != NULL &&
           session->first->state == REQUEST_WAITING) {
        struct request *request = session->first;
        request_begin(scheduler, request);
        if (session->first == request) {
            break;
        }
    }
    session->continuing = false;
    if (session->first == NULL) {
        session_end_if_due(scheduler, session);
    }
}

// Returns the reason to refuse a new transaction or single statement, or NULL
// to accept it.
static const char *
request_find_refusal(const struct scheduler *scheduler,
                     const struct session *session)
{
    if (scheduler->draining) {
        return "the entry is stopping";
    }
    if (session->ended) {
        return "its session is ending";
    }
    if (scheduler->view_known &&
        scheduler->view.customer->state != CK_CUSTOMER_OPEN) {
        return "the customer is closing";
    }
    return NULL;
}

static void
request_fill(struct scheduler *scheduler, struct request *request,
             const struct scheduler_request *event)
{
    uint8_t type_index = admission_find_type(scheduler, event->type);
    const struct request_type *type = &scheduler->types[type_index];

    *request = (struct request){
        .id = event->request,
        .arrived_us = scheduler->now_us,
        .deadline_us = event->deadline_us,
        .max_age_us = event->max_age_us,
        .start_by_us = event->queue_timeout_us > 0
                           ? scheduler->now_us + event->queue_timeout_us
                           : INT64_MAX,
        .queue_timeout_us = event->queue_timeout_us,
        .type = type_index,
        .request_class = (uint8_t)event->request_class,
        .state = REQUEST_WAITING,
        .repeatable = event->repeatable || type->repeatable,
        .has_key = event->has_key,
        .primary_only = event->primary_only,
        .reads_keep_floor = event->reads_keep_floor,
        .conn = SCHEDULER_NO_ID,
        .customer =
            customer_table_acquire(&scheduler->customers, event->customer),
    };
    customer_table_record_request(&scheduler->customers, request->customer,
                                  scheduler->now_us);
    if (request->deadline_us == 0) {
        request->deadline_us = scheduler->now_us + type->deadline_us;
    }
    if (request->max_age_us < 0) {
        request->max_age_us = type->max_age_us;
    }
}

// Refuses a request whose session does not exist or whose id is in use.
static void
request_refuse_unknown_session(struct scheduler *scheduler,
                               const struct scheduler_request *event)
{
    struct scheduler_action *action =
        scheduler_add_action(scheduler, SCHEDULER_ACTION_REFUSE);

    action->request = event->request;
    action->session = event->session;
    action->outcome = OUTCOME_NOT_FOUND;
    action->reason = "the session is not known";
}

// Handles a new request. It begins once the earlier requests of its session
// have ended. While the entry is stopping or the customer is closing, it is
// refused unless the session has an open transaction or earlier requests. At
// the end of a stop it is refused in any case.
void
request_arrive(struct scheduler *scheduler,
               const struct scheduler_request *event)
{
    struct session *session = id_map_get(&scheduler->sessions, event->session);

    if (session == NULL ||
        id_map_get(&scheduler->requests, event->request) != NULL) {
        request_refuse_unknown_session(scheduler, event);
        return;
    }
    struct request *request = xmalloc(sizeof(*request));
    request_fill(scheduler, request, event);
    request->session = session;
    id_map_put(&scheduler->requests, request->id, request);
    if (session->last != NULL) {
        session->last->session_next = request;
    }
    else {
        session->first = request;
    }
    session->last = request;
    retry_add_credit(scheduler);
    const char *refusal = request_find_refusal(scheduler, session);
    bool is_new =
        session->conn == SCHEDULER_NO_ID && session->first == request;
    if (refusal != NULL && (is_new || scheduler->finishing)) {
        request_refuse(scheduler, request, OUTCOME_CLOSED, 0, refusal);
        return;
    }
    scheduler_add_coarse_timer(scheduler, request->deadline_us, TIMER_REQUEST,
                               request->id);
    if (request->start_by_us < request->deadline_us) {
        scheduler_add_coarse_timer(scheduler, request->start_by_us,
                                   TIMER_REQUEST, request->id);
    }
    if (session->first == request) {
        request_begin(scheduler, request);
    }
}
