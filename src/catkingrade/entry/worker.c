#include "catkingrade/entry/worker.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/group/group.h"
#include "catkingrade/entry/limiter.h"
#include "catkingrade/kernel/log.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

// An id has the worker's index in the bits from this one up, and a counter of
// the worker in the lower bits.
#define WORKER_ID_SHIFT              48
#define WORKER_QUOTA_LOG_LINES_PER_S 10

// Lease of a control group: writes in the group's databases may be
// acknowledged until valid_until_us.
struct worker_lease {
    char group[CK_NAME_SIZE + 1];
    int64_t valid_until_us;
};

// The granted quota of an upstream.
struct worker_quota {
    struct ck_quota quota; // its name is a copy
    bool is_changed;       // not in force yet
};

// The relays of a database.
struct worker_relay {
    struct ck_relay relay; // a deep copy
    bool is_changed;       // not in force yet
};

struct worker {
    struct entry *entry;
    unsigned index; // among the workers of the entry
    pthread_t thread;
    bool started;
    struct loop *loop;
    struct loop_timer *removal_timer;
    struct loop_timer *listener_timer;
    struct classifier *classifier;
    struct database **databases;
    size_t databases_count;
    // Guards changes of databases, and reads of it by other threads.
    pthread_mutex_t databases_mutex;
    struct view *view;
    struct worker_lease *leases;
    size_t leases_count;
    struct worker_quota *quotas; // sorted by upstream
    size_t quotas_count;
    struct worker_relay *relays; // sorted by database
    size_t relays_count;
    size_t changes_count; // quotas and relays that are not in force yet
    struct relay_silence relay_silence;
    void *listener_state;
    uint64_t last_id;
    bool draining;
    bool finishing;
};

static void worker_remove_databases(void *data);
static void worker_notify_listener(void *data);

// Returns the relays that have not answered the databases of this worker.
struct relay_silence *
worker_get_relay_silence(struct worker *worker)
{
    return &worker->relay_silence;
}

// Creates a worker whose thread does not run yet.
struct worker *
worker_create(struct entry *entry, unsigned index)
{
    struct worker *worker = xcalloc(1, sizeof(*worker));

    worker->entry = entry;
    worker->index = index;
    worker->loop = loop_create();
    INVARIANT(worker->loop != NULL);
    worker->removal_timer =
        loop_timer_create(worker->loop, worker_remove_databases, worker);
    worker->listener_timer =
        loop_timer_create(worker->loop, worker_notify_listener, worker);
    worker->classifier =
        classifier_create(entry_get_settings(entry)->classify_cache_entries);
    pthread_mutex_init(&worker->databases_mutex, NULL);
    worker->view = view_create();
    return worker;
}

static void *
worker_run(void *data)
{
    struct worker *worker = data;

    loop_run(worker->loop);
    return NULL;
}

// Starts the worker's listener and its thread. Returns OUTCOME_OK,
// OUTCOME_UNAVAILABLE if the listener fails to start, or OUTCOME_IO if the
// thread does.
int
worker_start(struct worker *worker)
{
    const struct entry_listener *listener = entry_get_listener(worker->entry);

    if (listener != NULL) {
        worker->listener_state = listener->start(worker);
        if (worker->listener_state == NULL) {
            return OUTCOME_UNAVAILABLE;
        }
    }
    if (pthread_create(&worker->thread, NULL, worker_run, worker) != 0) {
        return OUTCOME_IO;
    }
    worker->started = true;
    return OUTCOME_OK;
}

// Stops the thread, then closes the listener with its sessions.
void
worker_stop(struct worker *worker)
{
    const struct entry_listener *listener = entry_get_listener(worker->entry);

    if (worker->started) {
        loop_stop(worker->loop);
        pthread_join(worker->thread, NULL);
        worker->started = false;
    }
    if (worker->listener_state != NULL) {
        listener->stop(worker->listener_state);
        worker->listener_state = NULL;
    }
}

static void
worker_free_grants(struct worker *worker)
{
    for (size_t i = 0; i < worker->quotas_count; i++) {
        free(worker->quotas[i].quota.upstream);
    }
    for (size_t i = 0; i < worker->relays_count; i++) {
        codec_free((xdrproc_t)xdr_ck_relay, &worker->relays[i].relay);
    }
    free(worker->quotas);
    free(worker->relays);
}

// Frees a stopped worker and its databases.
void
worker_destroy(struct worker *worker)
{
    for (size_t i = 0; i < worker->databases_count; i++) {
        database_destroy(worker->databases[i]);
    }
    free(worker->databases);
    worker_free_grants(worker);
    view_release(worker->view);
    classifier_destroy(worker->classifier);
    loop_timer_destroy(worker->removal_timer);
    loop_timer_destroy(worker->listener_timer);
    pthread_mutex_destroy(&worker->databases_mutex);
    loop_destroy(worker->loop);
    free(worker->leases);
    free(worker);
}

struct loop *
worker_get_loop(const struct worker *worker)
{
    return worker->loop;
}

struct entry *
worker_get_entry(const struct worker *worker)
{
    return worker->entry;
}

// Returns the worker's index, for entry_get_worker.
unsigned
worker_get_index(const struct worker *worker)
{
    return worker->index;
}

// Returns the worker's cache of statement classifications.
struct classifier *
worker_get_classifier(const struct worker *worker)
{
    return worker->classifier;
}

// Returns the view in force. It is valid until the current callback returns to
// the worker's loop.
struct view *
worker_get_view(const struct worker *worker)
{
    return worker->view;
}

// Returns whether a planned stop has begun.
bool
worker_is_draining(const struct worker *worker)
{
    return worker->draining;
}

// Returns the state that the listener's start function returned.
void *
worker_get_listener_state(const struct worker *worker)
{
    return worker->listener_state;
}

// Returns an id that is unique in this process.
uint64_t
worker_make_id(struct worker *worker)
{
    return ((uint64_t)worker->index << WORKER_ID_SHIFT) | ++worker->last_id;
}

static struct database *
worker_find_database(struct worker *worker, const char *name)
{
    for (size_t i = 0; i < worker->databases_count; i++) {
        if (strcmp(database_get_name(worker->databases[i]), name) == 0) {
            return worker->databases[i];
        }
    }
    return NULL;
}

// Sets the lease of a database for its term in the view in force.
static void
worker_apply_lease(struct worker *worker, struct database *database)
{
    const struct ck_database *config =
        view_find_database(worker->view, database_get_name(database));

    for (size_t i = 0; config != NULL && i < worker->leases_count; i++) {
        if (strcmp(worker->leases[i].group, config->group) == 0) {
            database_set_lease(database, config->term,
                               worker->leases[i].valid_until_us, false);
        }
    }
}

// Returns the index of an upstream's quota, or the index at which to add it,
// and sets *found.
static size_t
worker_find_quota_index(const struct worker *worker, const char *upstream,
                        bool *found)
{
    size_t index = 0;
    size_t end = worker->quotas_count;

    while (index < end) {
        size_t middle = index + (end - index) / 2;
        if (strcmp(worker->quotas[middle].quota.upstream, upstream) < 0) {
            index = middle + 1;
        }
        else {
            end = middle;
        }
    }
    *found = index < worker->quotas_count &&
             strcmp(worker->quotas[index].quota.upstream, upstream) == 0;
    return index;
}

static const struct worker_quota *
worker_find_quota(const struct worker *worker, const char *upstream)
{
    bool found = false;
    size_t index = worker_find_quota_index(worker, upstream, &found);

    return found ? &worker->quotas[index] : NULL;
}

// Sets quota to the granted quota of an upstream, or to the upstream's full
// capacity if there is none. Returns whether the quota may be used: without a
// granted quota only under a static view, where this entry shares the upstream
// with no other entry.
static bool
worker_fill_quota(const struct worker *worker,
                  const struct ck_upstream *upstream, struct ck_quota *quota)
{
    const struct worker_quota *granted =
        worker_find_quota(worker, upstream->name);
    const struct settings *settings = entry_get_settings(worker->entry);

    quota->upstream = upstream->name;
    quota->slots = quota->guaranteed_slots = upstream->slots;
    quota->connections = quota->guaranteed_connections = upstream->connections;
    if (granted != NULL) {
        *quota = granted->quota;
    }
    return granted != NULL || settings->view_file[0] != '\0';
}

// Returns the index of a database's relays, or the index at which to add
// them, and sets *found.
static size_t
worker_find_relay_index(const struct worker *worker, const char *database,
                        bool *found)
{
    size_t index = 0;
    size_t end = worker->relays_count;

    while (index < end) {
        size_t middle = index + (end - index) / 2;
        if (strcmp(worker->relays[middle].relay.database, database) < 0) {
            index = middle + 1;
        }
        else {
            end = middle;
        }
    }
    *found = index < worker->relays_count &&
             strcmp(worker->relays[index].relay.database, database) == 0;
    return index;
}

static const struct worker_relay *
worker_find_relay(const struct worker *worker, const char *database)
{
    bool found = false;
    size_t index = worker_find_relay_index(worker, database, &found);

    return found ? &worker->relays[index] : NULL;
}

// Puts the worker's view, quotas and relays in force for a database. Ends the
// sessions of a database that the view does not contain. Once this entry uses
// relays itself, the listener ends the sessions of other entries.
static void
worker_apply_view(struct worker *worker, struct database *database)
{
    const struct ck_database *config =
        view_find_database(worker->view, database_get_name(database));
    bool was_relayed = database_is_relayed(database);
    size_t count = 0;

    if (config == NULL) {
        database_end_sessions(database);
        return;
    }
    struct ck_quota *quotas =
        xcalloc(config->upstreams.upstreams_len, sizeof(*quotas));
    for (unsigned i = 0; i < config->upstreams.upstreams_len; i++) {
        if (worker_fill_quota(worker, &config->upstreams.upstreams_val[i],
                              &quotas[count])) {
            count++;
        }
    }
    const struct worker_relay *relay = worker_find_relay(worker, config->name);
    database_set_relay(database, relay == NULL ? NULL : &relay->relay);
    database_set_view(database, worker->view, quotas, count);
    free(quotas);
    if (!was_relayed && database_is_relayed(database)) {
        loop_timer_set(worker->listener_timer, loop_get_now_us(worker->loop));
    }
}

static void
worker_remove_database(struct worker *worker, size_t index)
{
    struct database *database = worker->databases[index];

    pthread_mutex_lock(&worker->databases_mutex);
    worker->databases[index] = worker->databases[--worker->databases_count];
    pthread_mutex_unlock(&worker->databases_mutex);
    database_destroy(database);
}

// Removes the databases that the view does not contain and that are idle.
static void
worker_remove_databases(void *data)
{
    struct worker *worker = data;

    for (size_t i = worker->databases_count; i > 0; i--) {
        const struct database *database = worker->databases[i - 1];
        const char *name = database_get_name(database);
        if (view_find_database(worker->view, name) == NULL &&
            database_is_idle(database)) {
            worker_remove_database(worker, i - 1);
        }
    }
}

// Removes such databases from the event loop, after the current callback.
void
worker_schedule_removal(struct worker *worker)
{
    loop_timer_set(worker->removal_timer, loop_get_now_us(worker->loop));
}

// Returns a database of the view, which is created at its first use, or NULL
// if the view does not contain it.
struct database *
worker_open_database(struct worker *worker, const char *name)
{
    const struct ck_database *config = view_find_database(worker->view, name);
    struct database *database = worker_find_database(worker, name);

    if (config == NULL || database != NULL) {
        return config == NULL ? NULL : database;
    }
    database = database_create(worker, name, config->customer);
    pthread_mutex_lock(&worker->databases_mutex);
    worker->databases =
        xrealloc(worker->databases,
                 (worker->databases_count + 1) * sizeof(struct database *));
    worker->databases[worker->databases_count++] = database;
    pthread_mutex_unlock(&worker->databases_mutex);
    worker_apply_view(worker, database);
    worker_apply_lease(worker, database);
    if (worker->draining) {
        database_drain(database);
    }
    if (worker->finishing) {
        database_finish(database);
    }
    return database;
}

// Confirms the end of terms that are being superseded, for databases that hash
// to this worker but are not in use: no write waits for an acknowledgement,
// and the view in force lets no new write begin.
static void
worker_confirm_unused_databases(struct worker *worker)
{
    for (size_t i = 0; i < view_get_databases_count(worker->view); i++) {
        const struct ck_database *config = view_get_database(worker->view, i);
        if (config->superseding &&
            entry_find_worker(worker->entry, config->name) == worker &&
            worker_find_database(worker, config->name) == NULL) {
            entry_report_revoked(worker->entry, config->name, config->term);
        }
    }
}

// Notifies the listener of a new view or the first lease, for which sessions
// may be waiting, or of the use of relays.
static void
worker_notify_listener(void *data)
{
    struct worker *worker = data;
    const struct entry_listener *listener = entry_get_listener(worker->entry);

    if (worker->listener_state != NULL && listener->handle_view != NULL) {
        listener->handle_view(worker->listener_state);
    }
}

// Returns whether this entry has received both a view with a declaration and a
// lease since its start.
bool
worker_has_view_and_lease(const struct worker *worker)
{
    return worker->leases_count > 0 &&
           view_get_declared(worker->view)->number != 0;
}

// Returns whether the view is recent enough to say that a route does not
// exist, which it is while the lease that it comes with is valid.
bool
worker_may_deny_routes(const struct worker *worker)
{
    for (size_t i = 0; i < worker->leases_count; i++) {
        if (strcmp(worker->leases[i].group, GROUP_FLEET_NAME) == 0) {
            return worker->leases[i].valid_until_us > monotonic_get_us();
        }
    }
    return false;
}

// Returns whether relays or a quota of a database have changed and are not in
// force yet.
static bool
worker_has_changes(const struct worker *worker,
                   const struct database *database)
{
    const char *name = database_get_name(database);
    const struct ck_database *config = view_find_database(worker->view, name);
    const struct worker_relay *relay = worker_find_relay(worker, name);

    if (relay != NULL && relay->is_changed) {
        return true;
    }
    for (u_int i = 0; config != NULL && i < config->upstreams.upstreams_len;
         i++) {
        const struct worker_quota *quota =
            worker_find_quota(worker, config->upstreams.upstreams_val[i].name);
        if (quota != NULL && quota->is_changed) {
            return true;
        }
    }
    return false;
}

// Puts a view in force and takes ownership of the caller's reference. The
// sessions of databases that the view does not contain are ended; such a
// database is removed once it is idle.
void
worker_set_view(struct worker *worker, struct view *view)
{
    struct view *old = worker->view;

    worker->view = view;
    for (size_t i = worker->databases_count; i > 0; i--) {
        struct database *database = worker->databases[i - 1];
        if (worker_has_changes(worker, database) ||
            !database_follow_view(database, view)) {
            worker_apply_view(worker, database);
            worker_apply_lease(worker, database);
        }
    }
    worker_remove_databases(worker);
    worker_confirm_unused_databases(worker);
    view_release(old);
    worker_notify_listener(worker);
}

// Starts or stops the use of relays if the lease and the relays of a database
// require it.
static void
worker_apply_relay_change(struct worker *worker, struct database *database)
{
    if (database_is_relay_change_due(database)) {
        worker_apply_view(worker, database);
    }
}

static struct worker_lease *
worker_get_or_add_lease(struct worker *worker, const char *group)
{
    for (size_t i = 0; i < worker->leases_count; i++) {
        if (strcmp(worker->leases[i].group, group) == 0) {
            return &worker->leases[i];
        }
    }
    worker->leases = xrealloc(worker->leases, (worker->leases_count + 1) *
                                                  sizeof(*worker->leases));
    struct worker_lease *lease = &worker->leases[worker->leases_count++];
    memset(lease, 0, sizeof(*lease));
    strncpy(lease->group, group, CK_NAME_SIZE);
    return lease;
}

// Extends the lease of a control group for the terms in the view in force.
void
worker_set_lease(struct worker *worker, const char *group,
                 int64_t valid_until_us)
{
    bool is_first = worker->leases_count == 0;

    worker_get_or_add_lease(worker, group)->valid_until_us = valid_until_us;
    for (size_t i = 0; i < worker->databases_count; i++) {
        struct database *database = worker->databases[i];
        const struct ck_database *config =
            view_find_database(worker->view, database_get_name(database));
        if (config != NULL && strcmp(config->group, group) == 0) {
            database_set_lease(database, config->term, valid_until_us, false);
            worker_apply_relay_change(worker, database);
        }
    }
    if (is_first) {
        worker_notify_listener(worker);
    }
}

// Revokes a term of a database. An unused database is created, so that later
// sessions are subject to the revocation. That of a database which is not in
// the view is not confirmed: a view from before the end of the term may still
// arrive.
void
worker_revoke(struct worker *worker, const char *name, uint64_t term)
{
    struct database *database = worker_open_database(worker, name);

    if (database != NULL) {
        database_set_lease(database, term, 0, true);
    }
}

static void
worker_log_quota(const struct ck_quota *quota)
{
    LOG_LIMITED(WORKER_QUOTA_LOG_LINES_PER_S, LOG_LEVEL_INFO, "quota",
                "upstream=%s slots=%u connections=%u guaranteed=%u",
                quota->upstream, quota->slots, quota->connections,
                quota->guaranteed_connections);
}

static void
worker_store_quota(struct worker *worker, const struct ck_quota *quota)
{
    bool found = false;
    size_t index = worker_find_quota_index(worker, quota->upstream, &found);
    size_t count = worker->quotas_count;

    if (!found) {
        worker->quotas =
            xrealloc(worker->quotas, (count + 1) * sizeof(*worker->quotas));
        memmove(&worker->quotas[index + 1], &worker->quotas[index],
                (count - index) * sizeof(*worker->quotas));
        memset(&worker->quotas[index], 0, sizeof(*worker->quotas));
        worker->quotas[index].quota.upstream = xstrdup(quota->upstream);
        worker->quotas_count = count + 1;
    }
    struct worker_quota *stored = &worker->quotas[index];
    char *name = stored->quota.upstream;
    if (!found || stored->quota.connections != quota->connections) {
        worker_log_quota(quota);
    }
    worker->changes_count += stored->is_changed ? 0 : 1;
    stored->is_changed = true;
    stored->quota = *quota;
    stored->quota.upstream = name;
}

static void
worker_clear_changes(struct worker *worker)
{
    for (size_t i = 0; i < worker->quotas_count; i++) {
        worker->quotas[i].is_changed = false;
    }
    for (size_t i = 0; i < worker->relays_count; i++) {
        worker->relays[i].is_changed = false;
    }
    worker->changes_count = 0;
}

// Sets the quotas of upstreams, and puts them and the relays that have changed
// in force. Upstreams that are not listed keep their quotas.
void
worker_set_quotas(struct worker *worker, const struct ck_quota *quotas,
                  size_t count)
{
    for (size_t i = 0; i < count; i++) {
        worker_store_quota(worker, &quotas[i]);
    }
    if (worker->changes_count == 0) {
        return;
    }
    for (size_t i = 0; i < worker->databases_count; i++) {
        if (worker_has_changes(worker, worker->databases[i])) {
            worker_apply_view(worker, worker->databases[i]);
        }
    }
    worker_clear_changes(worker);
}

static void
worker_store_relay(struct worker *worker, const struct ck_relay *relay)
{
    bool found = false;
    size_t index = worker_find_relay_index(worker, relay->database, &found);
    size_t count = worker->relays_count;

    if (!found) {
        worker->relays =
            xrealloc(worker->relays, (count + 1) * sizeof(*worker->relays));
        memmove(&worker->relays[index + 1], &worker->relays[index],
                (count - index) * sizeof(*worker->relays));
        memset(&worker->relays[index], 0, sizeof(*worker->relays));
        worker->relays_count = count + 1;
    }
    struct worker_relay *stored = &worker->relays[index];
    codec_free((xdrproc_t)xdr_ck_relay, &stored->relay);
    codec_copy((xdrproc_t)xdr_ck_relay, relay, &stored->relay,
               sizeof(stored->relay));
    worker->changes_count += stored->is_changed ? 0 : 1;
    stored->is_changed = true;
}

// Sets the relays of databases. Databases that are not listed keep theirs.
// Takes effect with the next worker_set_quotas.
void
worker_set_relays(struct worker *worker, const struct ck_relay *relays,
                  size_t count)
{
    for (size_t i = 0; i < count; i++) {
        worker_store_relay(worker, &relays[i]);
    }
}

// Ends the client sessions at their next transaction boundary.
void
worker_shed(struct worker *worker)
{
    const struct entry_listener *listener = entry_get_listener(worker->entry);

    if (worker->listener_state != NULL && listener->shed != NULL) {
        listener->shed(worker->listener_state);
    }
}

// Begins a planned stop: the listener closes, and sessions end at their next
// transaction boundary.
void
worker_drain(struct worker *worker)
{
    const struct entry_listener *listener = entry_get_listener(worker->entry);

    worker->draining = true;
    for (size_t i = 0; i < worker->databases_count; i++) {
        database_drain(worker->databases[i]);
    }
    if (worker->listener_state != NULL) {
        listener->drain(worker->listener_state);
    }
}

// Ends all requests, so that each has an answer, and then all sessions.
void
worker_finish(struct worker *worker)
{
    const struct entry_listener *listener = entry_get_listener(worker->entry);

    worker->finishing = true;
    for (size_t i = 0; i < worker->databases_count; i++) {
        database_finish(worker->databases[i]);
    }
    if (worker->listener_state != NULL) {
        listener->finish(worker->listener_state);
    }
}

// Reports the demand of each database in use, and starts or stops the use of
// relays where that is due. Called at regular intervals, through
// entry_collect_demand.
void
worker_report_demand(struct worker *worker)
{
    for (size_t i = 0; i < worker->databases_count; i++) {
        database_report_demand(worker->databases[i]);
        worker_apply_relay_change(worker, worker->databases[i]);
    }
}

// Returns the number of a customer's requests without an outcome; any thread.
uint64_t
worker_get_open_requests(struct worker *worker, const char *customer)
{
    uint64_t count = 0;

    pthread_mutex_lock(&worker->databases_mutex);
    for (size_t i = 0; i < worker->databases_count; i++) {
        const struct database *database = worker->databases[i];
        if (strcmp(database_get_customer_name(database), customer) == 0) {
            count += database_get_open_requests(database);
        }
    }
    pthread_mutex_unlock(&worker->databases_mutex);
    return count;
}

// Ends the wait of a request for a token of its customer's rate limit, if the
// request still exists.
void
worker_decide_limit(struct worker *worker, const struct limiter_ticket *ticket)
{
    struct database *database = worker_find_database(worker, ticket->database);

    if (database != NULL) {
        database_decide_limit(database, ticket);
    }
}
