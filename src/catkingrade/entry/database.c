#include "catkingrade/entry/database.h"

#include <apr_hash.h>
#include <apr_pools.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/traffic/scheduler.h"
#include "catkingrade/entry/database_private.h"
#include "catkingrade/entry/worker.h"
#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/memory.h"

#define DATABASE_MAX_DEMANDS 256
// Timers of all databases are rounded up to a multiple of this, so that one
// wake-up of the thread handles the timeouts of many databases.
#define DATABASE_TIMER_GRANULARITY_US 50000
// An entry learns that an upstream leaves up to this part of switchover_ms
// later than control.
#define DATABASE_STOP_DIVISOR 10

static void
database_run_timer(void *data)
{
    struct scheduler_event event = {.kind = SCHEDULER_EVENT_TICK};

    database_step(data, &event);
}

// Creates the database of a customer. It has no view and no lease; a view must
// be set before other events.
struct database *
database_create(struct worker *worker, const char *name,
                const char *customer_name)
{
    struct database *database = xcalloc(1, sizeof(*database));
    const struct settings *settings =
        entry_get_settings(worker_get_entry(worker));
    struct scheduler_params params = {
        .probe_us = settings->probe_us,
        .suspect_us = settings->suspect_us,
        .idle_proof_us = settings->idle_proof_us,
        .connect_timeout_us = settings->connect_timeout_us,
        .leaving_limit_us = settings->switchover_us -
                            settings->switchover_us / DATABASE_STOP_DIVISOR,
        .lease_us = settings->lease_us,
        .guarded = !settings->sample_upstreams,
        .learned_capacity = settings->learned_capacity,
        .timer_granularity_us =
            settings->sample_upstreams ? 0 : DATABASE_TIMER_GRANULARITY_US,
        .seed = (uint64_t)monotonic_get_us(),
    };

    database->worker = worker;
    strncpy(database->name, name, CK_NAME_SIZE);
    strncpy(database->customer_name, customer_name, CK_NAME_SIZE);
    INVARIANT(apr_pool_create(&database->pool, NULL) == APR_SUCCESS);
    database->sessions = apr_hash_make(database->pool);
    database->requests = apr_hash_make(database->pool);
    database->conns = apr_hash_make(database->pool);
    database->scheduler = scheduler_create(&params);
    database->timer = loop_timer_create(worker_get_loop(worker),
                                        database_run_timer, database);
    return database;
}

const char *
database_get_name(const struct database *database)
{
    return database->name;
}

// Returns the customer's configuration in the view in force.
const struct ck_customer *
database_get_customer(const struct database *database)
{
    return database->customer;
}

// Returns the customer's name; any thread.
const char *
database_get_customer_name(const struct database *database)
{
    return database->customer_name;
}

// Returns the number of requests without an outcome; any thread.
uint64_t
database_get_open_requests(const struct database *database)
{
    return atomic_load_explicit(&database->open_requests,
                                memory_order_relaxed);
}

// Has the worker remove a database that the view no longer contains, if it has
// become idle.
static void
database_check_removal(struct database *database)
{
    if (database->removed && database_is_idle(database)) {
        worker_schedule_removal(database->worker);
    }
}

// Returns whether the database has no sessions and no requests.
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
    database_check_removal(database);
}

// Frees a request if its outcome is decided and no connection runs it.
void
database_release_request(struct database *database,
                         struct entry_request *request)
{
    if (request->decided && !request->running) {
        database_free_request(database, request);
    }
}

// Returns the request with an id, or NULL.
struct entry_request *
database_find_request(struct database *database, uint64_t id)
{
    return apr_hash_get(database->requests, &id, sizeof(id));
}

// Returns the pooled connection with an id, or NULL.
struct database_conn *
database_find_conn(struct database *database, uint32_t id)
{
    return apr_hash_get(database->conns, &id, sizeof(id));
}

static void
database_queue_event(struct database *database,
                     const struct scheduler_event *event)
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
                   const struct scheduler_event *event)
{
    struct scheduler_actions *actions = &database->actions;

    actions->count = 0;
    scheduler_step(database->scheduler, monotonic_get_us(), event, actions);
    for (size_t i = 0; i < actions->count; i++) {
        struct scheduler_action action = actions->items[i];
        database_run_action(database, &action);
    }
}

// Passes an event to the scheduler and executes the resulting actions. An
// event that is raised during the execution of actions is queued and handled
// after them.
void
database_step(struct database *database, const struct scheduler_event *event)
{
    if (database->stepping) {
        database_queue_event(database, event);
        return;
    }
    database->stepping = true;
    database_step_once(database, event);
    for (size_t i = 0; i < database->events_count; i++) {
        struct scheduler_event queued = database->events[i];
        database_step_once(database, &queued);
    }
    database->events_count = 0;
    database->stepping = false;
}

// Puts a view in force, with the quotas of its upstreams. Takes a reference to
// the view and copies the quotas. The view must contain the database.
void
database_set_view(struct database *database, struct view *view,
                  const struct ck_quota *quotas, size_t quotas_count)
{
    struct view *old_view = database->view;
    struct ck_quota *old_quotas = database->quotas;

    database->removed = false;
    database->view = view_retain(view);
    database->config = view_find_database(view, database->name);
    INVARIANT(database->config != NULL);
    database->customer = view_find_customer(view, database->config->customer);
    // The upstream names in the quotas belong to the view and stay valid as
    // long as the view is referenced.
    database->quotas = xcalloc(quotas_count, sizeof(*quotas));
    if (quotas_count > 0) {
        memcpy(database->quotas, quotas, quotas_count * sizeof(*quotas));
    }
    struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_VIEW,
        .view = {.customer = database->customer,
                 .database = database->config,
                 .quotas = database->quotas,
                 .quotas_count = quotas_count,
                 .failure_domain =
                     entry_get_settings(worker_get_entry(database->worker))
                         ->failure_domain},
    };
    database_update_relay_active(database);
    if (database_is_relayed(database)) {
        database_fill_relay_view(database, &event.view);
    }
    database_step(database, &event);
    database_close_stale_monitors(database);
    free(old_quotas);
    view_release(old_view);
}

// Refers to a newer view in which the database and its customer are the same
// objects as in the view in force. Returns false, and changes nothing, if they
// are not: the view must then be put in force.
bool
database_follow_view(struct database *database, struct view *view)
{
    if (database->view == NULL || database->removed ||
        view_find_database(view, database->name) != database->config ||
        view_find_customer(view, database->config->customer) !=
            database->customer) {
        return false;
    }
    struct view *old_view = database->view;
    database->view = view_retain(view);
    view_release(old_view);
    return true;
}

// Extends the lease of a term: writes of the term may be acknowledged until
// valid_until_us. If revoked is set, the term is revoked instead and
// valid_until_us is ignored.
void
database_set_lease(struct database *database, uint64_t term,
                   int64_t valid_until_us, bool revoked)
{
    if (!revoked) {
        database->lease_until_us = valid_until_us;
    }
    struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_LEASE,
        .lease = {.term = term,
                  .valid_until_us = valid_until_us,
                  .revoked = revoked},
    };

    database_step(database, &event);
}

// Ends the sessions of a database that the view no longer contains, at their
// next transaction boundary. The worker destroys the database when it is idle.
void
database_end_sessions(struct database *database)
{
    if (database->removed) {
        return;
    }
    database->removed = true;
    for (apr_hash_index_t *index =
             apr_hash_first(database->pool, database->sessions);
         index != NULL; index = apr_hash_next(index)) {
        struct entry_session *session = apr_hash_this_val(index);
        session->ops->end(session);
    }
}

// Begins a planned stop: the scheduler ends the sessions outside transactions.
void
database_drain(struct database *database)
{
    struct scheduler_event event = {.kind = SCHEDULER_EVENT_DRAIN};

    database_step(database, &event);
}

// Ends all requests and refuses later ones, at the end of a planned stop.
void
database_finish(struct database *database)
{
    struct scheduler_event event = {.kind = SCHEDULER_EVENT_FINISH};

    database_log_open_requests(database);
    database_finish_limits(database);
    database_step(database, &event);
}

// Reports the demand for each upstream since the previous report to the
// control loop. A relayed database has no demand of its own.
void
database_report_demand(struct database *database)
{
    struct ck_demand demands[DATABASE_MAX_DEMANDS];
    if (database_is_relayed(database)) {
        return;
    }
    size_t count = scheduler_fill_demands(database->scheduler, demands,
                                          DATABASE_MAX_DEMANDS);

    entry_report_demand(worker_get_entry(database->worker), database->name,
                        demands, count);
}

// Opens a session. floor_known: session->floor is set, from a session token.
// declared_new: the client has declared that it needs no earlier writes.
void
database_open_session(struct database *database, struct entry_session *session,
                      bool floor_known, bool declared_new)
{
    struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_SESSION_OPEN,
        .session_open = {.session = session->id,
                         .floor_known = floor_known,
                         .declared_new = declared_new,
                         .floor = session->floor,
                         .floor_age_us =
                             monotonic_get_us() - session->floor_us},
    };

    session->database = database;
    apr_hash_set(database->sessions, &session->id, sizeof(session->id),
                 session);
    database_step(database, &event);
}

// Raises the floor of an open session to session->floor, which a token from
// the client has set.
void
database_set_floor(struct database *database, struct entry_session *session)
{
    struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_SESSION_FLOOR,
        .session_open = {.session = session->id,
                         .floor_known = true,
                         .floor = session->floor},
    };

    database_step(database, &event);
}

// Replaces the floor of a session that runs statements for another entry. The
// new floor is that of the client's session at the other entry and may be
// lower; age_us is the time since that floor was last raised.
void
database_replace_floor(struct database *database,
                       struct entry_session *session,
                       const struct scheduler_floor *floor, int64_t age_us)
{
    struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_SESSION_FLOOR,
        .session_open = {.session = session->id,
                         .floor_known = true,
                         .replaces = true,
                         .floor = *floor,
                         .floor_age_us = age_us},
    };

    session->floor = *floor;
    database_step(database, &event);
}

// Closes a session and cancels its request in flight; NULL: none. No callback
// of the session is called from then on.
void
database_close_session(struct database *database,
                       struct entry_session *session,
                       struct entry_request *request)
{
    struct scheduler_event event = {.kind = SCHEDULER_EVENT_SESSION_CLOSE,
                                    .session = session->id};

    apr_hash_set(database->sessions, &session->id, sizeof(session->id), NULL);
    session->database = NULL;
    if (request != NULL) {
        request->session = NULL;
        database_cancel(database, request);
    }
    database_step(database, &event);
    database_check_removal(database);
}

// Keeps the read floor of a session that leaves its database.
static void
database_keep_floor(struct entry_session *session)
{
    const struct session_floor left = {session->floor, session->floor_us};

    if (session->floor.lsn == 0) {
        return;
    }
    if (session->left_floors == NULL) {
        session->left_floors = session_floors_create();
    }
    session_floors_put(session->left_floors, session->database->name, &left);
}

// Moves a session from its database, if any, to another one; NULL: to none.
// Its request in flight is cancelled; NULL: none. The session continues with
// the read floor that it had when it left the new database, or with none.
void
database_move_session(struct database *database, struct entry_session *session,
                      struct entry_request *request)
{
    struct session_floor floor = {0};

    if (session->database != NULL) {
        database_keep_floor(session);
        database_close_session(session->database, session, request);
    }
    bool is_known =
        database != NULL && session->left_floors != NULL &&
        session_floors_take(session->left_floors, database->name, &floor);
    session->floor = floor.floor;
    session->floor_us = floor.raised_us;
    if (database != NULL) {
        database_open_session(database, session, is_known, true);
    }
}

// Submits a request to the scheduler. The database takes ownership of the
// request. The outcome may be delivered before this function returns. If
// request->session is NULL, params.session contains the session's id and the
// outcome is not delivered.
void
database_submit(struct database *database, struct entry_request *request)
{
    struct scheduler_event event = {.kind = SCHEDULER_EVENT_REQUEST};

    request->id = worker_make_id(database->worker);
    request->submitted_us = request->phase_us = monotonic_get_us();
    request->database = database;
    request->params.request = request->id;
    if (request->session != NULL) {
        request->params.session = request->session->id;
    }
    event.request = request->params;
    apr_hash_set(database->requests, &request->id, sizeof(request->id),
                 request);
    atomic_fetch_add_explicit(&database->open_requests, 1,
                              memory_order_relaxed);
    counter_add(COUNTER_REQUESTS, 1);
    if (database_take_token(database, request)) {
        database_step(database, &event);
    }
}

// Cancels a request whose client has cancelled it or has disconnected.
void
database_cancel(struct database *database, struct entry_request *request)
{
    struct scheduler_event event = {.kind = SCHEDULER_EVENT_REQUEST_CANCEL,
                                    .request_cancel = request->id};

    request->cancelled = true;
    if (request->ticket != NULL) {
        database_cancel_limit(database, request);
        return;
    }
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

// Closes all upstream connections and frees the database with its requests.
// Its sessions must have been closed before.
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
    scheduler_destroy(database->scheduler);
    scheduler_actions_free(&database->actions);
    free(database->histograms);
    free(database->events);
    free(database->quotas);
    view_release(database->view);
    apr_pool_destroy(database->pool);
    free(database);
}
