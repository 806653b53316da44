#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/traffic/scheduler.h"
#include "catkingrade/entry/database_private.h"
#include "catkingrade/entry/worker.h"
#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/memory.h"

// Executes the actions of the scheduler.

static void
database_run_open(struct database *database,
                  const struct scheduler_action *action)
{
    struct database_conn *conn = xcalloc(1, sizeof(*conn));

    conn->database = database;
    conn->id = action->conn;
    conn->upstream = action->upstream;
    conn->connect_started_us = monotonic_get_us();
    if (database_is_relayed(database)) {
        strncpy(conn->relay_host,
                database_get_link_host(database, action->upstream),
                CK_HOST_SIZE);
    }
    counter_add(COUNTER_CUSTOMER_CONNS_OPENED, action->customer[0] != '\0');
    conn->link =
        database_open_link(database, action->upstream, action->customer,
                           &database_conn_events, conn);
    apr_hash_set(database->conns, &conn->id, sizeof(conn->id), conn);
}

static void
database_run_send(struct database *database,
                  const struct scheduler_action *action)
{
    struct database_conn *conn = database_find_conn(database, action->conn);
    struct entry_request *request =
        database_find_request(database, action->request);

    INVARIANT(conn != NULL && request != NULL && conn->request == NULL);
    request->reason = database_get_reason(request, action);
    request->on_replica = action->on_replica;
    strncpy(request->upstream,
            scheduler_get_upstream_name(database->scheduler, action->upstream),
            CK_NAME_SIZE);
    memcpy(request->relay_host, conn->relay_host, sizeof(conn->relay_host));
    request->running = true;
    request->attempts++;
    database_record_phase(database, request, HISTOGRAM_QUEUE);
    database_log_send(database, request, action);
    conn->request = request;
    job_clear_answer(&request->job);
    if (request->job.typed != NULL) {
        request->job.typed->after_lsn = action->after_lsn;
        database_fill_relay_context(request->session, request->job.typed);
    }
    database_count_send(request, action);
    conn->link->ops->run(conn->link, &request->job);
}

// Marks the outcome of a request as decided and counts it. Returns the session
// to deliver the outcome to, or NULL if the client has disconnected.
static struct entry_session *
database_record_outcome(struct database *database,
                        struct entry_request *request, enum counter counter)
{
    INVARIANT(!request->decided);
    request->decided = true;
    database_record_phase(database, request, HISTOGRAM_TOTAL);
    atomic_fetch_sub_explicit(&database->open_requests, 1,
                              memory_order_relaxed);
    counter_add(counter, 1);
    return request->session;
}

static void
database_run_answer(struct database *database,
                    const struct scheduler_action *action)
{
    struct entry_request *request =
        database_find_request(database, action->request);
    bool warning = action->kind == SCHEDULER_ACTION_WARN;

    if (request == NULL || request->decided) {
        return;
    }
    if (request->params.request_class == SCHEDULER_CLASS_WRITE ||
        request->params.request_class == SCHEDULER_CLASS_COMMIT) {
        database_record_phase(database, request, HISTOGRAM_CONFIRM);
    }
    struct entry_session *session =
        database_record_outcome(database, request, COUNTER_DONE);
    if (session != NULL) {
        if (action->floor.lsn != session->floor.lsn) {
            session->floor_us = monotonic_get_us();
        }
        session->floor = action->floor;
        session->ops->answer(session, request, warning);
    }
    database_release_request(database, request);
}

static void
database_run_refusal(struct database *database,
                     const struct scheduler_action *action)
{
    struct entry_request *request =
        database_find_request(database, action->request);
    bool unknown = action->kind == SCHEDULER_ACTION_UNKNOWN;

    if (request == NULL || request->decided) {
        return;
    }
    request->reason = action->reason;
    database_log_failure(database, request, action);
    struct entry_session *session = database_record_outcome(
        database, request, unknown ? COUNTER_UNKNOWN : COUNTER_NOT_RUN);
    if (session != NULL && unknown) {
        session->ops->unknown(session, request);
    }
    else if (session != NULL) {
        session->ops->refuse(session, request, action->outcome,
                             action->retry_after_us);
    }
    database_release_request(database, request);
}

// Refuses a request that was not passed to the scheduler.
void
database_refuse_request(struct database *database,
                        struct entry_request *request, int outcome,
                        const char *reason, int64_t retry_after_us)
{
    struct scheduler_action action = {
        .kind = SCHEDULER_ACTION_REFUSE,
        .request = request->id,
        .outcome = outcome,
        .reason = reason,
        .retry_after_us = retry_after_us,
        .waited_us = monotonic_get_us() - request->submitted_us,
    };

    database_run_refusal(database, &action);
}

static void
database_run_suspect(struct database *database,
                     const struct scheduler_action *action)
{
    const struct ck_upstream *upstream =
        scheduler_get_upstream(database->scheduler, action->upstream);
    struct ck_suspicion suspicion = {
        .database = database->name,
        .upstream = upstream == NULL ? database->name : upstream->name,
        .term = action->term,
        .kind = action->suspicion,
    };

    if (action->since_us != 0) {
        suspicion.since_ms =
            (uint64_t)(monotonic_get_us() - action->since_us) /
            DATABASE_US_PER_MS;
    }
    if (database_is_relayed(database)) {
        // The failed upstream is a relay: try the next relay instead of
        // reporting a suspicion. The scheduler itself avoids one of those
        // among which customers are divided.
        if (action->suspicion == CK_SUSPECT_SILENT) {
            database_record_relay_silent(database, action->upstream);
        }
        if (upstream == NULL || upstream->host[0] == '\0') {
            database_switch_relay_host(database);
        }
        return;
    }
    entry_report_suspicion(worker_get_entry(database->worker), &suspicion);
}

// Ends a session outside a transaction, if it still exists.
void
database_end_session(struct database *database, uint64_t id)
{
    struct entry_session *session =
        apr_hash_get(database->sessions, &id, sizeof(id));

    if (session != NULL) {
        session->ops->end(session);
    }
}

// Executes an action on a pooled connection. Does nothing if the connection
// has been closed in the meantime.
static void
database_run_conn_action(struct database *database,
                         const struct scheduler_action *action)
{
    struct database_conn *conn = database_find_conn(database, action->conn);

    if (conn == NULL) {
        return;
    }
    switch (action->kind) {
    case SCHEDULER_ACTION_CLOSE:
        counter_add(COUNTER_CUSTOMER_CONNS_EVICTED,
                    action->close_reason == SCHEDULER_CLOSE_EVICTED);
        database_drop_conn(conn);
        break;
    case SCHEDULER_ACTION_RESET:
        conn->link->ops->reset(conn->link);
        break;
    case SCHEDULER_ACTION_VALIDATE:
        conn->link->ops->validate(conn->link);
        break;
    case SCHEDULER_ACTION_CANCEL:
        conn->link->ops->cancel(conn->link);
        break;
    default:
        break;
    }
}

// Executes an action of the scheduler.
void
database_run_action(struct database *database,
                    const struct scheduler_action *action)
{
    switch (action->kind) {
    case SCHEDULER_ACTION_OPEN:
        database_run_open(database, action);
        break;
    case SCHEDULER_ACTION_CLOSE:
    case SCHEDULER_ACTION_RESET:
    case SCHEDULER_ACTION_VALIDATE:
    case SCHEDULER_ACTION_CANCEL:
        database_run_conn_action(database, action);
        break;
    case SCHEDULER_ACTION_SEND:
        database_run_send(database, action);
        break;
    case SCHEDULER_ACTION_ANSWER:
    case SCHEDULER_ACTION_WARN:
        database_run_answer(database, action);
        break;
    case SCHEDULER_ACTION_REFUSE:
    case SCHEDULER_ACTION_UNKNOWN:
        database_run_refusal(database, action);
        break;
    case SCHEDULER_ACTION_SAMPLE:
        database_run_sample(database, action->upstream);
        break;
    case SCHEDULER_ACTION_SUSPECT:
        database_run_suspect(database, action);
        break;
    case SCHEDULER_ACTION_CONFIRM_REVOKED:
        entry_report_revoked(worker_get_entry(database->worker),
                             database->name, action->term);
        break;
    case SCHEDULER_ACTION_WAKE:
        loop_timer_set(database->timer, action->wake_at_us);
        break;
    case SCHEDULER_ACTION_END_SESSION:
        database_end_session(database, action->session);
        break;
    case SCHEDULER_ACTION_REPORT_SLOW:
    case SCHEDULER_ACTION_REPORT_RECOVERED:
        database_report_capacity(database, action);
        break;
    }
}
