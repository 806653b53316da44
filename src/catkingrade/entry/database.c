#include "catkingrade/entry/database.h"

#include <apr_hash.h>
#include <apr_pools.h>
#include <inttypes.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/traffic.h"
#include "catkingrade/entry/database_private.h"
#include "catkingrade/entry/worker.h"
#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/log.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

#define DATABASE_MAX_DEMANDS 256
// Entries are near one another, and there are others to turn to: a link to one
// opens within this part of suspect_us or not at all.
#define DATABASE_RELAY_CONNECT_PART 2
// All databases look at their limits of time in the same wake-up.
#define DATABASE_TIMER_GRAIN_US 50000

static void
database_run_timer(void *data)
{
    struct traffic_event event = {.kind = TRAFFIC_EVENT_TICK};

    database_step(data, &event);
}

// Creates a database of a customer, without a view.
struct database *
database_create(struct worker *worker, const char *name,
                const char *customer_name)
{
    struct database *database = xcalloc(1, sizeof(*database));
    const struct settings *settings =
        entry_get_settings(worker_get_entry(worker));
    struct traffic_params params = {
        .probe_us = settings->probe_us,
        .suspect_us = settings->suspect_us,
        .idle_proof_us = settings->idle_proof_us,
        .connect_timeout_us = settings->connect_timeout_us,
        .guarded = !settings->sample_upstreams,
        .timer_grain_us =
            settings->sample_upstreams ? 0 : DATABASE_TIMER_GRAIN_US,
        .seed = (uint64_t)monotonic_get_us(),
    };

    database->worker = worker;
    strncpy(database->name, name, CK_NAME_SIZE);
    strncpy(database->customer_name, customer_name, CK_NAME_SIZE);
    INVARIANT(apr_pool_create(&database->pool, NULL) == APR_SUCCESS);
    database->sessions = apr_hash_make(database->pool);
    database->requests = apr_hash_make(database->pool);
    database->conns = apr_hash_make(database->pool);
    database->traffic = traffic_create(&params);
    database->timer = loop_timer_create(worker_get_loop(worker),
                                        database_run_timer, database);
    return database;
}

// Returns the database's name.
const char *
database_get_name(const struct database *database)
{
    return database->name;
}

// Returns the customer of the view in force.
const struct ck_customer *
database_get_customer(const struct database *database)
{
    return database->customer;
}

// Returns the name of the customer; any thread.
const char *
database_get_customer_name(const struct database *database)
{
    return database->customer_name;
}

// Returns how many requests have no outcome yet; any thread.
uint64_t
database_get_open_requests(const struct database *database)
{
    return atomic_load_explicit(&database->open_requests,
                                memory_order_relaxed);
}

// Returns whether no session and no request is left.
bool
database_is_idle(const struct database *database)
{
    return apr_hash_count(database->sessions) == 0 &&
           apr_hash_count(database->requests) == 0;
}

static void
database_free_request(struct database *database, struct entry_request *request)
{
    apr_hash_set(database->requests, &request->id, sizeof(request->id), NULL);
    job_free(&request->job);
    free(request);
}

// Frees a request that is decided and that no connection runs.
static void
database_release_request(struct database *database,
                         struct entry_request *request)
{
    if (request->decided && !request->running) {
        database_free_request(database, request);
    }
}

static struct entry_request *
database_find_request(struct database *database, uint64_t id)
{
    return apr_hash_get(database->requests, &id, sizeof(id));
}

static struct database_conn *
database_find_conn(struct database *database, uint32_t id)
{
    return apr_hash_get(database->conns, &id, sizeof(id));
}

// ---- events of connections ----

static void
database_raise_conn(struct database_conn *conn, enum traffic_event_kind kind,
                    enum upstream_fault fault)
{
    struct traffic_event event = {
        .kind = kind,
        .conn = {.upstream = conn->upstream,
                 .conn = conn->id,
                 .refused = fault == UPSTREAM_FAULT_REFUSED,
                 .silent = fault == UPSTREAM_FAULT_SILENT},
    };

    database_step(conn->database, &event);
}

// Closes a connection and forgets it. A request that ran on it stays, until
// its outcome is decided.
static void
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
        database_note_relay_open(conn->database);
        database_note_connected(conn->database, conn);
        database_raise_conn(conn, TRAFFIC_EVENT_CONN_OPENED, fault);
        return;
    }
    counter_add(COUNTER_UPSTREAM_FAILED, 1);
    struct database_conn copy = *conn;
    database_drop_conn(conn);
    database_raise_conn(&copy, TRAFFIC_EVENT_CONN_FAILED, fault);
}

static void
database_handle_checked(void *data, enum upstream_fault fault)
{
    struct database_conn *conn = data;

    if (fault == UPSTREAM_FAULT_NONE) {
        database_raise_conn(conn, TRAFFIC_EVENT_CONN_READY, fault);
        return;
    }
    if (fault == UPSTREAM_FAULT_SILENT) {
        counter_add(COUNTER_UPSTREAM_SILENT, 1);
    }
    struct database_conn copy = *conn;
    database_drop_conn(conn);
    database_raise_conn(&copy, TRAFFIC_EVENT_CONN_FAILED, fault);
}

static void
database_handle_lost(void *data)
{
    struct database_conn copy = *(struct database_conn *)data;

    database_drop_conn(data);
    database_raise_conn(&copy, TRAFFIC_EVENT_CONN_FAILED, UPSTREAM_FAULT_CUT);
}

// Returns the position that a job read, on the timeline that its upstream was
// last seen on.
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

// The machine hears of the end of a job with its result; a connection that
// was cut is gone by then.
static void
database_handle_finished(void *data, struct job *job,
                         enum traffic_result result)
{
    struct database_conn *conn = data;
    struct database *database = conn->database;
    struct entry_request *request = conn->request;
    bool whole =
        result == TRAFFIC_RESULT_DONE || result == TRAFFIC_RESULT_ERROR ||
        result == TRAFFIC_RESULT_FAILED || result == TRAFFIC_RESULT_REFUSED;
    struct traffic_event event = {
        .kind = TRAFFIC_EVENT_RESULT,
        .result = {.request = request->id,
                   .conn = conn->id,
                   .result = result,
                   .refusal = (enum traffic_refusal)job->refusal,
                   .in_transaction = whole && job->transaction_status != 'I',
                   .answer_held = true,
                   .floor = job->floor,
                   .position = database_get_position(conn, job)},
    };

    conn->request = NULL;
    request->running = false;
    database_note_phase(database, request, HISTOGRAM_RUN);
    request->phase_us = monotonic_get_us();
    if (!whole) {
        database_drop_conn(conn);
    }
    // Its caller may have its outcome already: free it after the step.
    bool decided = request->decided;
    database_step(database, &event);
    if (decided) {
        database_release_request(database, request);
    }
}

static const struct upstream_link_events database_conn_events = {
    .opened = database_handle_opened,
    .finished = database_handle_finished,
    .checked = database_handle_checked,
    .lost = database_handle_lost,
};

// ---- actions ----

// Opens a connection to an upstream of the view; events come with data.
struct upstream_link *
database_open_link(struct database *database, uint32_t upstream,
                   const struct upstream_link_events *events, void *data)
{
    struct entry *entry = worker_get_entry(database->worker);
    const struct settings *settings = entry_get_settings(entry);
    const struct ck_upstream *config =
        traffic_get_upstream(database->traffic, upstream);
    INVARIANT(config != NULL);
    struct upstream_target target = {
        .host = config->host,
        .port = config->port,
        .relayed = database_is_relayed(database),
        .database = database->name,
        .upstream = config->name,
        .user = settings->upstream_user,
        .password = entry_get_upstream_password(entry),
        .sslmode = settings->upstream_sslmode,
        .connect_timeout_us = settings->connect_timeout_us,
        .check_timeout_us = settings->suspect_us,
    };

    if (target.relayed) {
        target.host = database_get_relay_host(database);
        target.port = settings->platform.relay.port;
        target.connect_timeout_us =
            settings->suspect_us / DATABASE_RELAY_CONNECT_PART;
    }
    return entry_get_driver(entry)->open(worker_get_loop(database->worker),
                                         &target, events, data);
}

static void
database_run_open(struct database *database,
                  const struct traffic_action *action)
{
    struct database_conn *conn = xcalloc(1, sizeof(*conn));

    conn->database = database;
    conn->id = action->conn;
    conn->upstream = action->upstream;
    conn->began_us = monotonic_get_us();
    conn->link = database_open_link(database, action->upstream,
                                    &database_conn_events, conn);
    apr_hash_set(database->conns, &conn->id, sizeof(conn->id), conn);
}

static void
database_run_send(struct database *database,
                  const struct traffic_action *action)
{
    struct database_conn *conn = database_find_conn(database, action->conn);
    struct entry_request *request =
        database_find_request(database, action->request);
    const struct ck_upstream *upstream =
        traffic_get_upstream(database->traffic, action->upstream);

    INVARIANT(conn != NULL && request != NULL && conn->request == NULL);
    request->reason = database_get_reason(request, action);
    request->on_replica = action->on_replica;
    if (upstream != NULL) {
        strncpy(request->upstream, upstream->name, CK_NAME_SIZE);
    }
    request->running = true;
    request->attempts++;
    database_note_phase(database, request, HISTOGRAM_QUEUE);
    request->phase_us = monotonic_get_us();
    database_log_send(database, request, action);
    conn->request = request;
    job_clear_answer(&request->job);
    if (request->job.typed != NULL) {
        request->job.typed->after_lsn = action->after_lsn;
        database_fill_relay_floor(request->session, request->job.typed);
    }
    database_count_send(request, action);
    conn->link->ops->run(conn->link, &request->job);
}

// Marks a request's outcome as decided. Returns its session, or NULL when
// the caller went away.
static struct entry_session *
database_decide(struct database *database, struct entry_request *request,
                enum counter counter)
{
    INVARIANT(!request->decided);
    request->decided = true;
    database_note_phase(database, request, HISTOGRAM_TOTAL);
    atomic_fetch_sub_explicit(&database->open_requests, 1,
                              memory_order_relaxed);
    counter_add(counter, 1);
    return request->session;
}

static void
database_run_answer(struct database *database,
                    const struct traffic_action *action)
{
    struct entry_request *request =
        database_find_request(database, action->request);
    bool warning = action->kind == TRAFFIC_ACTION_WARN;

    if (request == NULL || request->decided) {
        return;
    }
    if (request->traffic.request_class == TRAFFIC_WRITE ||
        request->traffic.request_class == TRAFFIC_COMMIT) {
        database_note_phase(database, request, HISTOGRAM_CONFIRM);
    }
    struct entry_session *session =
        database_decide(database, request, COUNTER_DONE);
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
                     const struct traffic_action *action)
{
    struct entry_request *request =
        database_find_request(database, action->request);
    bool unknown = action->kind == TRAFFIC_ACTION_UNKNOWN;

    if (request == NULL || request->decided) {
        return;
    }
    request->reason = action->reason;
    database_log_end(database, request, action);
    struct entry_session *session = database_decide(
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

static void
database_run_suspect(struct database *database,
                     const struct traffic_action *action)
{
    const struct ck_upstream *upstream =
        traffic_get_upstream(database->traffic, action->upstream);
    struct ck_suspicion suspicion = {
        .database = database->name,
        .upstream = upstream == NULL ? database->name : upstream->name,
        .term = action->term,
        .kind = action->suspicion,
    };

    if (database_is_relayed(database)) {
        // What fails is another entry, not an upstream.
        database_leave_relay_host(database);
        return;
    }
    entry_post_suspicion(worker_get_entry(database->worker), &suspicion);
}

static void
database_run_end_session(struct database *database, uint64_t id)
{
    struct entry_session *session =
        apr_hash_get(database->sessions, &id, sizeof(id));

    if (session != NULL) {
        session->ops->end(session);
    }
}

// Carries out an action on a connection that may be gone by now.
static void
database_run_conn_action(struct database *database,
                         const struct traffic_action *action)
{
    struct database_conn *conn = database_find_conn(database, action->conn);

    if (conn == NULL) {
        return;
    }
    switch (action->kind) {
    case TRAFFIC_ACTION_CLOSE:
        database_drop_conn(conn);
        break;
    case TRAFFIC_ACTION_RESET:
        conn->link->ops->reset(conn->link);
        break;
    case TRAFFIC_ACTION_PROVE:
        conn->link->ops->prove(conn->link);
        break;
    case TRAFFIC_ACTION_CANCEL:
        conn->link->ops->cancel(conn->link);
        break;
    default:
        break;
    }
}

static void
database_run_action(struct database *database,
                    const struct traffic_action *action)
{
    switch (action->kind) {
    case TRAFFIC_ACTION_OPEN:
        database_run_open(database, action);
        break;
    case TRAFFIC_ACTION_CLOSE:
    case TRAFFIC_ACTION_RESET:
    case TRAFFIC_ACTION_PROVE:
    case TRAFFIC_ACTION_CANCEL:
        database_run_conn_action(database, action);
        break;
    case TRAFFIC_ACTION_SEND:
        database_run_send(database, action);
        break;
    case TRAFFIC_ACTION_ANSWER:
    case TRAFFIC_ACTION_WARN:
        database_run_answer(database, action);
        break;
    case TRAFFIC_ACTION_REFUSE:
    case TRAFFIC_ACTION_UNKNOWN:
        database_run_refusal(database, action);
        break;
    case TRAFFIC_ACTION_SAMPLE:
        database_run_sample(database, action->upstream);
        break;
    case TRAFFIC_ACTION_SUSPECT:
        database_run_suspect(database, action);
        break;
    case TRAFFIC_ACTION_CONFIRM_REVOKED:
        entry_post_revoked(worker_get_entry(database->worker), database->name,
                           action->term);
        break;
    case TRAFFIC_ACTION_WAKE:
        loop_timer_set(database->timer, action->wake_at_us);
        break;
    case TRAFFIC_ACTION_END_SESSION:
        database_run_end_session(database, action->session);
        break;
    }
}

static void
database_queue_event(struct database *database,
                     const struct traffic_event *event)
{
    if (database->events_count == database->events_capacity) {
        database->events_capacity = database->events_capacity * 2 + 8;
        database->events =
            xrealloc(database->events,
                     database->events_capacity * sizeof(*database->events));
    }
    database->events[database->events_count++] = *event;
}

static void
database_step_once(struct database *database,
                   const struct traffic_event *event)
{
    struct traffic_actions *actions = &database->actions;

    actions->count = 0;
    traffic_step(database->traffic, monotonic_get_us(), event, actions);
    for (size_t i = 0; i < actions->count; i++) {
        struct traffic_action action = actions->items[i];
        database_run_action(database, &action);
    }
}

// Feeds an event to the machine. One that is raised while actions are being
// carried out waits until they are done.
void
database_step(struct database *database, const struct traffic_event *event)
{
    if (database->stepping) {
        database_queue_event(database, event);
        return;
    }
    database->stepping = true;
    database_step_once(database, event);
    for (size_t i = 0; i < database->events_count; i++) {
        struct traffic_event queued = database->events[i];
        database_step_once(database, &queued);
    }
    database->events_count = 0;
    database->stepping = false;
}

// Puts a view in force, with the quotas of its upstreams; both are copied or
// held. The database must be in the view.
void
database_set_view(struct database *database, struct view *view,
                  const struct ck_quota *quotas, size_t quotas_count)
{
    struct view *old_view = database->view;
    struct ck_quota *old_quotas = database->quotas;

    database->leaving = false;
    database->view = view_hold(view);
    database->config = view_find_database(view, database->name);
    INVARIANT(database->config != NULL);
    database->customer = view_find_customer(view, database->config->customer);
    // Names in quotas are of the view's upstreams and live as long as it.
    database->quotas = xcalloc(quotas_count, sizeof(*quotas));
    if (quotas_count > 0) {
        memcpy(database->quotas, quotas, quotas_count * sizeof(*quotas));
    }
    struct traffic_event event = {
        .kind = TRAFFIC_EVENT_VIEW,
        .view = {.customer = database->customer,
                 .database = database->config,
                 .quotas = database->quotas,
                 .quotas_count = quotas_count,
                 .failure_domain =
                     entry_get_settings(worker_get_entry(database->worker))
                         ->failure_domain},
    };
    database_choose_way(database);
    if (database_is_relayed(database)) {
        database_fill_relay_view(database, &event.view);
    }
    database_step(database, &event);
    database_close_stale_monitors(database);
    free(old_quotas);
    view_release(old_view);
}

// Tells the machine until when writes of a term may be acknowledged, on the
// monotonic clock, or that the term is revoked.
void
database_set_lease(struct database *database, uint64_t term,
                   int64_t valid_until_us, bool revoked)
{
    if (!revoked) {
        database->lease_until_us = valid_until_us;
    }
    struct traffic_event event = {
        .kind = TRAFFIC_EVENT_LEASE,
        .lease = {.term = term,
                  .valid_until_us = valid_until_us,
                  .revoked = revoked},
    };

    database_step(database, &event);
}

// Ends the sessions of a database that the view no longer holds; the caller
// destroys it once it is idle.
void
database_leave(struct database *database)
{
    if (database->leaving) {
        return;
    }
    database->leaving = true;
    for (apr_hash_index_t *index =
             apr_hash_first(database->pool, database->sessions);
         index != NULL; index = apr_hash_next(index)) {
        struct entry_session *session = apr_hash_this_val(index);
        session->ops->end(session);
    }
}

// Begins a planned stop.
void
database_drain(struct database *database)
{
    struct traffic_event event = {.kind = TRAFFIC_EVENT_DRAIN};

    database_step(database, &event);
}

// Reports the demand since the last time.
void
database_report_demand(struct database *database)
{
    struct ck_demand demands[DATABASE_MAX_DEMANDS];
    if (database_is_relayed(database)) {
        return;
    }
    size_t count =
        traffic_fill_demands(database->traffic, demands, DATABASE_MAX_DEMANDS);

    entry_post_demand(worker_get_entry(database->worker), database->name,
                      demands, count);
}

// Opens a session; its floor counts when floor_known.
void
database_open_session(struct database *database, struct entry_session *session,
                      bool floor_known, bool declared_new)
{
    struct traffic_event event = {
        .kind = TRAFFIC_EVENT_SESSION_OPEN,
        .session_open = {.session = session->id,
                         .floor_known = floor_known,
                         .declared_new = declared_new,
                         .floor = session->floor},
    };

    session->database = database;
    apr_hash_set(database->sessions, &session->id, sizeof(session->id),
                 session);
    database_step(database, &event);
}

// Raises the floor of a session to one from a token that came later.
void
database_set_floor(struct database *database, struct entry_session *session)
{
    struct traffic_event event = {
        .kind = TRAFFIC_EVENT_SESSION_FLOOR,
        .session_open = {.session = session->id,
                         .floor_known = true,
                         .floor = session->floor},
    };

    database_step(database, &event);
}

// Gives a session the floor of another entry's session, whose statement comes
// next, and for how long that position has stood.
void
database_replace_floor(struct database *database,
                       struct entry_session *session,
                       const struct traffic_floor *floor, int64_t age_us)
{
    struct traffic_event event = {
        .kind = TRAFFIC_EVENT_SESSION_FLOOR,
        .session_open = {.session = session->id,
                         .floor_known = true,
                         .replaces = true,
                         .floor = *floor,
                         .floor_age_us = age_us},
    };

    session->floor = *floor;
    database_step(database, &event);
}

// Closes a session. Its requests must have been cancelled.
void
database_close_session(struct database *database,
                       struct entry_session *session)
{
    struct traffic_event event = {.kind = TRAFFIC_EVENT_SESSION_CLOSE,
                                  .session = session->id};

    apr_hash_set(database->sessions, &session->id, sizeof(session->id), NULL);
    session->database = NULL;
    database_step(database, &event);
}

// Takes a request over and asks the machine to run it. Its outcome may come
// before this returns. One without a session names it in traffic.session;
// nobody waits for its outcome.
void
database_submit(struct database *database, struct entry_request *request)
{
    struct traffic_event event = {.kind = TRAFFIC_EVENT_REQUEST};

    request->id = worker_make_id(database->worker);
    request->submitted_us = request->phase_us = monotonic_get_us();
    request->database = database;
    request->traffic.request = request->id;
    if (request->session != NULL) {
        request->traffic.session = request->session->id;
    }
    event.request = request->traffic;
    apr_hash_set(database->requests, &request->id, sizeof(request->id),
                 request);
    atomic_fetch_add_explicit(&database->open_requests, 1,
                              memory_order_relaxed);
    counter_add(COUNTER_REQUESTS, 1);
    database_step(database, &event);
}

// Tells the machine that the caller cancelled a request or went away.
void
database_cancel(struct database *database, struct entry_request *request)
{
    struct traffic_event event = {.kind = TRAFFIC_EVENT_REQUEST_CANCEL,
                                  .request_cancel = request->id};

    request->cancelled = true;
    database_step(database, &event);
}

static void
database_close_links(struct database *database)
{
    apr_hash_index_t *index = apr_hash_first(database->pool, database->conns);

    while (index != NULL) {
        struct database_conn *conn = apr_hash_this_val(index);
        index = apr_hash_next(index);
        conn->link->ops->close(conn->link);
        free(conn);
    }
    for (size_t i = 0; i < database->monitors_count; i++) {
        struct database_monitor *monitor = database->monitors[i];
        if (monitor != NULL && monitor->link != NULL) {
            monitor->link->ops->close(monitor->link);
        }
        free(monitor);
    }
    free(database->monitors);
}

// Closes all connections and frees the database. Its sessions must have been
// closed.
void
database_destroy(struct database *database)
{
    database_close_links(database);
    apr_hash_index_t *index =
        apr_hash_first(database->pool, database->requests);
    while (index != NULL) {
        struct entry_request *request = apr_hash_this_val(index);
        index = apr_hash_next(index);
        job_free(&request->job);
        free(request);
    }
    loop_timer_destroy(database->timer);
    traffic_destroy(database->traffic);
    traffic_actions_free(&database->actions);
    free(database->histograms);
    free(database->events);
    free(database->quotas);
    view_release(database->view);
    apr_pool_destroy(database->pool);
    free(database);
}
