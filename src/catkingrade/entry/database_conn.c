#include <stdlib.h>

#include "catkingrade/decide/traffic/scheduler.h"
#include "catkingrade/decide/traffic/scheduler_result.h"
#include "catkingrade/entry/database_private.h"
#include "catkingrade/entry/worker.h"
#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/memory.h"

// Pooled connections: opens links to upstreams and relays, and passes the
// events of the links to the scheduler.

// The connect timeout of a link to a relay is suspect_us divided by this. It
// is short because entries are close to each other on the network and other
// relays are available.
#define DATABASE_RELAY_CONNECT_TIMEOUT_DIVISOR 2

static void
database_raise_conn_event(struct database_conn *conn,
                          enum scheduler_event_kind kind,
                          enum upstream_fault fault)
{
    struct scheduler_event event = {
        .kind = kind,
        .conn = {.upstream = conn->upstream,
                 .conn = conn->id,
                 .refused = fault == UPSTREAM_FAULT_REFUSED,
                 .silent = fault == UPSTREAM_FAULT_SILENT},
    };

    database_step(conn->database, &event);
}

// Closes and frees a connection. A request that was running on it is kept
// until its outcome is decided.
void
database_drop_conn(struct database_conn *conn)
{
    struct database *database = conn->database;

    apr_hash_set(database->conns, &conn->id, sizeof(conn->id), NULL);
    conn->link->ops->close(conn->link);
    if (conn->request != NULL) {
        conn->request->running = false;
        database_release_request(database, conn->request);
    }
    free(conn);
}

static void
database_handle_opened(void *data, enum upstream_fault fault)
{
    struct database_conn *conn = data;

    if (fault == UPSTREAM_FAULT_NONE) {
        counter_add(COUNTER_UPSTREAM_OPENED, 1);
        database_record_relay_open(conn->database, conn->relay_host);
        database_record_connect_time(conn->database, conn);
        database_raise_conn_event(conn, SCHEDULER_EVENT_CONN_OPENED, fault);
        return;
    }
    counter_add(COUNTER_UPSTREAM_FAILED, 1);
    struct database_conn copy = *conn;
    database_drop_conn(conn);
    database_raise_conn_event(&copy, SCHEDULER_EVENT_CONN_FAILED, fault);
}

static void
database_handle_checked(void *data, enum upstream_fault fault)
{
    struct database_conn *conn = data;

    if (fault == UPSTREAM_FAULT_NONE) {
        database_raise_conn_event(conn, SCHEDULER_EVENT_CONN_READY, fault);
        return;
    }
    if (fault == UPSTREAM_FAULT_SILENT) {
        counter_add(COUNTER_UPSTREAM_SILENT, 1);
    }
    struct database_conn copy = *conn;
    database_drop_conn(conn);
    database_raise_conn_event(&copy, SCHEDULER_EVENT_CONN_FAILED, fault);
}

static void
database_handle_lost(void *data)
{
    struct database_conn copy = *(struct database_conn *)data;

    database_drop_conn(data);
    database_leave_relay_host(copy.database, copy.relay_host);
    database_raise_conn_event(&copy, SCHEDULER_EVENT_CONN_FAILED,
                              UPSTREAM_FAULT_CONN_LOST);
}

// Returns the log position that a job has read, zero if it has read none. The
// timeline is that of the upstream's last sample, or the timeline in the
// database's configuration if there is no sample.
static struct ck_position
database_get_position(const struct database_conn *conn, const struct job *job)
{
    const struct database *database = conn->database;
    struct ck_position position = {0};

    if (!job->position_known) {
        return position;
    }
    position.lsn = job->position.lsn;
    position.timeline = database->config->base.timeline;
    if (conn->upstream < database->monitors_count &&
        database->monitors[conn->upstream] != NULL &&
        database->monitors[conn->upstream]->timeline != 0) {
        position.timeline = database->monitors[conn->upstream]->timeline;
    }
    return position;
}

// Passes the result of a job to the scheduler. If the upstream's answer is
// incomplete, the connection is closed first.
static void
database_handle_finished(void *data, struct job *job,
                         enum scheduler_result result)
{
    struct database_conn *conn = data;
    struct database *database = conn->database;
    struct entry_request *request = conn->request;
    bool is_complete = result_is_complete(result);
    struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_RESULT,
        .result = {.request = request->id,
                   .conn = conn->id,
                   .result = result,
                   .refusal = (enum scheduler_refusal)job->refusal,
                   .in_transaction =
                       is_complete && job->transaction_status != 'I',
                   .answer_held = true,
                   .floor = job->floor,
                   .position = database_get_position(conn, job)},
    };

    conn->request = NULL;
    request->running = false;
    database_record_phase(database, request, HISTOGRAM_RUN);
    if (result == SCHEDULER_RESULT_NOT_SENT) {
        database_leave_relay_host(database, conn->relay_host);
    }
    if (!is_complete) {
        database_drop_conn(conn);
    }
    // If the outcome was decided before the job ended, the step below does
    // not release the request.
    bool decided = request->decided;
    database_step(database, &event);
    if (decided) {
        database_release_request(database, request);
    }
}

const struct upstream_link_events database_conn_events = {
    .opened = database_handle_opened,
    .finished = database_handle_finished,
    .checked = database_handle_checked,
    .lost = database_handle_lost,
};

// Starts to open a connection to an upstream of the view, or to a relay if the
// database is relayed. customer is that of the requests that it will carry;
// NULL or empty: any. data is passed to the events. Never returns NULL.
struct upstream_link *
database_open_link(struct database *database, uint32_t upstream,
                   const char *customer,
                   const struct upstream_link_events *events, void *data)
{
    struct entry *entry = worker_get_entry(database->worker);
    const struct settings *settings = entry_get_settings(entry);
    const struct ck_upstream *config =
        scheduler_get_upstream(database->scheduler, upstream);
    INVARIANT(config != NULL);
    struct upstream_target target = {
        .host = config->host,
        .port = config->port,
        .relayed = database_is_relayed(database),
        .database = database->name,
        .upstream = config->name,
        .customer = customer == NULL ? "" : customer,
        .user = settings->upstream_user,
        .password = entry_get_upstream_password(entry),
        .sslmode = settings->upstream_sslmode,
        .connect_timeout_us = settings->connect_timeout_us,
        .check_timeout_us = settings->suspect_us,
    };

    if (target.relayed) {
        target.host = database_get_link_host(database, upstream);
        target.port = settings->platform.relay.port;
        target.connect_timeout_us =
            settings->suspect_us / DATABASE_RELAY_CONNECT_TIMEOUT_DIVISOR;
    }
    return entry_get_driver(entry)->open(worker_get_loop(database->worker),
                                         &target, events, data);
}
