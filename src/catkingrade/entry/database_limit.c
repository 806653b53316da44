#include <stdlib.h>
#include <string.h>

#include "catkingrade/entry/database_private.h"
#include "catkingrade/entry/limiter.h"
#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

// Rate limits of customers: a request that begins an operation takes a token
// before it is passed to the scheduler.

// Time to wait for a token of a request without a queue timeout.
#define DATABASE_TOKEN_WAIT_US 200000

static bool
database_begins_operation(const struct entry_request *request)
{
    switch (request->params.request_class) {
    case SCHEDULER_CLASS_READ:
    case SCHEDULER_CLASS_WRITE:
    case SCHEDULER_CLASS_BEGIN:
    case SCHEDULER_CLASS_BEGIN_READ_ONLY:
        return request->session != NULL && !request->is_relayed;
    case SCHEDULER_CLASS_IN_TRANSACTION:
    case SCHEDULER_CLASS_COMMIT:
    case SCHEDULER_CLASS_ROLLBACK:
        return false;
    }
    return false;
}

static void
database_refuse_limited(struct database *database,
                        struct entry_request *request,
                        enum limit_verdict verdict, int64_t retry_after_us)
{
    bool over = verdict == LIMIT_REFUSE;
    uint64_t session = request->params.session;

    counter_add(over ? COUNTER_LIMIT_REFUSED : COUNTER_LIMIT_UNANSWERED, 1);
    database_refuse_request(database, request, OUTCOME_OVERLOADED,
                            over ? "the customer is over its rate limit"
                                 : "no token could be borrowed in time",
                            retry_after_us);
    // Another entry may reach the leader, and a client repeats an operation in
    // the session that it has.
    if (!over) {
        database_end_session(database, session);
    }
}

// Takes a token for a request that begins an operation of a customer with a
// rate limit. Returns whether the request may be passed to the scheduler now.
// Otherwise it is refused, or waits for database_decide_limit.
bool
database_take_token(struct database *database, struct entry_request *request)
{
    struct limiter *limiter =
        entry_get_limiter(worker_get_entry(database->worker));
    struct limiter_ticket ticket = {.worker = database->worker,
                                    .request = request->id,
                                    .priority = request->priority};
    int64_t wait_us = request->params.queue_timeout_us;
    int64_t retry_after_us = 0;

    if (request->params.customer[0] == '\0' || database->finishing ||
        !database_begins_operation(request)) {
        return true;
    }
    memcpy(ticket.database, database->name, sizeof(ticket.database));
    memcpy(ticket.customer, request->params.customer, sizeof(ticket.customer));
    enum limit_verdict verdict = limiter_admit(
        limiter, &ticket, wait_us > 0 ? wait_us : DATABASE_TOKEN_WAIT_US,
        &request->ticket, &retry_after_us);
    if (verdict == LIMIT_REFUSE || verdict == LIMIT_TIMEOUT) {
        database_refuse_limited(database, request, verdict, retry_after_us);
    }
    return verdict == LIMIT_ADMIT;
}

// Ends the wait of a request for a token: passes it to the scheduler, which it
// may wait in for the rest of its queue timeout, or refuses it.
void
database_decide_limit(struct database *database,
                      const struct limiter_ticket *ticket)
{
    struct entry_request *request =
        database_find_request(database, ticket->request);
    struct scheduler_event event = {.kind = SCHEDULER_EVENT_REQUEST};

    if (request == NULL || request->ticket != ticket) {
        return;
    }
    request->ticket = NULL;
    if (ticket->decision.verdict != LIMIT_ADMIT) {
        database_refuse_limited(database, request, ticket->decision.verdict,
                                ticket->decision.retry_after_us);
        return;
    }
    event.request = request->params;
    if (event.request.queue_timeout_us > 0) {
        event.request.queue_timeout_us -=
            monotonic_get_us() - request->submitted_us;
        if (event.request.queue_timeout_us < 1) {
            event.request.queue_timeout_us = 1;
        }
    }
    database_step(database, &event);
}

// Ends a request that waits for a token and whose client has cancelled it or
// has disconnected.
void
database_cancel_limit(struct database *database, struct entry_request *request)
{
    struct limiter_ticket *ticket = request->ticket;

    request->ticket = NULL;
    limiter_cancel(entry_get_limiter(worker_get_entry(database->worker)),
                   ticket);
    database_refuse_request(database, request, OUTCOME_NOT_RUN,
                            "cancelled by its caller", 0);
}

// Refuses the requests that wait for a token, at the end of a planned stop.
void
database_finish_limits(struct database *database)
{
    struct limiter *limiter =
        entry_get_limiter(worker_get_entry(database->worker));
    unsigned count = apr_hash_count(database->requests);
    uint64_t *ids = xcalloc(count + 1, sizeof(*ids));
    size_t waiting = 0;

    database->finishing = true;
    for (apr_hash_index_t *index =
             apr_hash_first(database->pool, database->requests);
         index != NULL; index = apr_hash_next(index)) {
        const struct entry_request *request = apr_hash_this_val(index);
        if (request->ticket != NULL) {
            ids[waiting++] = request->id;
        }
    }
    for (size_t i = 0; i < waiting; i++) {
        struct entry_request *request =
            database_find_request(database, ids[i]);
        if (request != NULL && request->ticket != NULL) {
            struct limiter_ticket *ticket = request->ticket;
            request->ticket = NULL;
            limiter_cancel(limiter, ticket);
            database_refuse_request(database, request, OUTCOME_CLOSED,
                                    "this entry stops", 0);
        }
    }
    free(ids);
}
