#include "catkingrade/entry/worker.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/log.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

#define WORKER_ID_SHIFT              48
#define WORKER_QUOTA_LOG_LINES_PER_S 10 // a second

// Until when writes decided by a group may be acknowledged.
struct worker_lease {
    char group[CK_NAME_SIZE + 1];
    int64_t valid_until_us;
};

struct worker {
    struct entry *entry;
    unsigned place;
    pthread_t thread;
    bool started;
    struct loop *loop;
    struct classifier *classifier;
    struct database **databases;
    size_t databases_count;
    pthread_mutex_t databases_mutex; // held to change or to read elsewhere
    struct view *view;
    struct worker_lease *leases;
    size_t leases_count;
    struct ck_quota *quotas; // names are copies
    size_t quotas_count;
    struct ck_relay *relays; // names and hosts are copies
    size_t relays_count;
    void *listener_state;
    uint64_t last_id;
    bool draining;
};

// Creates the worker; its thread does not run yet.
struct worker *
worker_create(struct entry *entry, unsigned place)
{
    struct worker *worker = xcalloc(1, sizeof(*worker));

    worker->entry = entry;
    worker->place = place;
    worker->loop = loop_create();
    INVARIANT(worker->loop != NULL);
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

// Opens the worker's listener and starts its thread. Returns OUTCOME_OK,
// OUTCOME_UNAVAILABLE when it cannot listen, or OUTCOME_IO.
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

// Ends the thread and closes the listener with its sessions.
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
worker_free_quotas(struct ck_quota *quotas, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        free(quotas[i].upstream);
    }
    free(quotas);
}

// Frees a stopped worker.
void
worker_destroy(struct worker *worker)
{
    for (size_t i = 0; i < worker->databases_count; i++) {
        database_destroy(worker->databases[i]);
    }
    free(worker->databases);
    worker_free_quotas(worker->quotas, worker->quotas_count);
    entry_free_relays(worker->relays, worker->relays_count);
    view_release(worker->view);
    classifier_destroy(worker->classifier);
    pthread_mutex_destroy(&worker->databases_mutex);
    loop_destroy(worker->loop);
    free(worker->leases);
    free(worker);
}

// Returns the worker's loop.
struct loop *
worker_get_loop(const struct worker *worker)
{
    return worker->loop;
}

// Returns the entry that the worker belongs to.
struct entry *
worker_get_entry(const struct worker *worker)
{
    return worker->entry;
}

// Returns the worker's place among those of the entry.
unsigned
worker_get_index(const struct worker *worker)
{
    return worker->place;
}

// Returns the thread's cache of classifications.
struct classifier *
worker_get_classifier(const struct worker *worker)
{
    return worker->classifier;
}

// Returns the view in force; valid until the thread's next turn.
const struct view *
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

// Returns what the listener's start gave.
void *
worker_get_listener_state(const struct worker *worker)
{
    return worker->listener_state;
}

// Returns a number that is unique in this process.
uint64_t
worker_make_id(struct worker *worker)
{
    return ((uint64_t)worker->place << WORKER_ID_SHIFT) | ++worker->last_id;
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

// Gives a database its lease for the term of the view in force.
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

static const struct ck_quota *
worker_find_quota(const struct worker *worker, const char *upstream)
{
    for (size_t i = 0; i < worker->quotas_count; i++) {
        if (strcmp(worker->quotas[i].upstream, upstream) == 0) {
            return &worker->quotas[i];
        }
    }
    return NULL;
}

// Fills the quota of one upstream. An entry with a static view has no one to
// share with and may use all that the upstream accepts.
static bool
worker_fill_quota(const struct worker *worker,
                  const struct ck_upstream *upstream, struct ck_quota *quota)
{
    const struct ck_quota *lent = worker_find_quota(worker, upstream->name);
    const struct settings *settings = entry_get_settings(worker->entry);

    quota->upstream = upstream->name;
    quota->slots = quota->guaranteed_slots = upstream->slots;
    quota->connections = quota->guaranteed_connections = upstream->connections;
    if (lent != NULL) {
        *quota = *lent;
    }
    return lent != NULL || settings->view_file[0] != '\0';
}

static const struct ck_relay *
worker_find_relay(const struct worker *worker, const char *database)
{
    for (size_t i = 0; i < worker->relays_count; i++) {
        if (strcmp(worker->relays[i].database, database) == 0) {
            return &worker->relays[i];
        }
    }
    return NULL;
}

static void
worker_apply_view(struct worker *worker, struct database *database)
{
    const struct ck_database *config =
        view_find_database(worker->view, database_get_name(database));
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
    database_set_relay(database, worker_find_relay(worker, config->name));
    database_set_view(database, worker->view, quotas, count);
    free(quotas);
}

static void
worker_remove_database(struct worker *worker, size_t place)
{
    struct database *database = worker->databases[place];

    pthread_mutex_lock(&worker->databases_mutex);
    worker->databases[place] = worker->databases[--worker->databases_count];
    pthread_mutex_unlock(&worker->databases_mutex);
    database_destroy(database);
}

// Finds a database of the view, or makes it when it is used first. Returns
// NULL when the view does not hold it.
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
    return database;
}

// Confirms the end of terms that are being superseded in databases that this
// entry does not use: nothing of them waits here, and the view keeps new saves
// from beginning.
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

// Lets the listener go on with what waits for a view or a lease.
static void
worker_notify_listener(struct worker *worker)
{
    const struct entry_listener *listener = entry_get_listener(worker->entry);

    if (worker->listener_state != NULL && listener->handle_view != NULL) {
        listener->handle_view(worker->listener_state);
    }
}

// Returns whether this entry has had a view and a lease since its start.
bool
worker_has_view_and_lease(const struct worker *worker)
{
    uint64_t number = 0;

    return worker->leases_count > 0 &&
           view_get_declaration(worker->view, &number) != NULL;
}

// Puts a view in force; takes over the caller's hold. Databases that are not
// in it end their sessions and go once they are idle.
void
worker_set_view(struct worker *worker, struct view *view)
{
    struct view *old = worker->view;

    worker->view = view;
    for (size_t i = worker->databases_count; i > 0; i--) {
        struct database *database = worker->databases[i - 1];
        worker_apply_view(worker, database);
        worker_apply_lease(worker, database);
        if (view_find_database(view, database_get_name(database)) == NULL &&
            database_is_idle(database)) {
            worker_remove_database(worker, i - 1);
        }
    }
    worker_confirm_unused_databases(worker);
    view_release(old);
    worker_notify_listener(worker);
}

// Brings a database to the way that its lease and its relay call for.
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

// Extends the lease of a group for the terms of the view in force.
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

// Revokes a term. The database is made if it was not in use, so that a later
// session finds the revocation. One that the view does not know has
// acknowledged nothing: that is confirmed at once.
void
worker_revoke(struct worker *worker, const char *name, uint64_t term)
{
    struct database *database = worker_open_database(worker, name);

    if (database == NULL) {
        entry_report_revoked(worker->entry, name, term);
        return;
    }
    database_set_lease(database, term, 0, true);
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
    for (size_t i = 0; i < worker->quotas_count; i++) {
        if (strcmp(worker->quotas[i].upstream, quota->upstream) == 0) {
            char *name = worker->quotas[i].upstream;
            if (worker->quotas[i].connections != quota->connections) {
                worker_log_quota(quota);
            }
            worker->quotas[i] = *quota;
            worker->quotas[i].upstream = name;
            return;
        }
    }
    worker->quotas = xrealloc(worker->quotas, (worker->quotas_count + 1) *
                                                  sizeof(*worker->quotas));
    struct ck_quota *place = &worker->quotas[worker->quotas_count++];
    *place = *quota;
    place->upstream = xstrdup(quota->upstream);
    worker_log_quota(quota);
}

// Takes over new quotas; upstreams that are not named keep theirs.
void
worker_set_quotas(struct worker *worker, const struct ck_quota *quotas,
                  size_t count)
{
    for (size_t i = 0; i < count; i++) {
        worker_store_quota(worker, &quotas[i]);
    }
    for (size_t i = 0; i < worker->databases_count; i++) {
        worker_apply_view(worker, worker->databases[i]);
    }
}

// Takes over which entries run this one's statements, in place of what was
// said before; takes effect with the quotas that follow.
void
worker_set_relays(struct worker *worker, const struct ck_relay *relays,
                  size_t count)
{
    entry_free_relays(worker->relays, worker->relays_count);
    worker->relays = entry_copy_relays(relays, count);
    worker->relays_count = count;
}

// Has the listener end the sessions of its callers.
void
worker_shed(struct worker *worker)
{
    const struct entry_listener *listener = entry_get_listener(worker->entry);

    if (worker->listener_state != NULL && listener->shed != NULL) {
        listener->shed(worker->listener_state);
    }
}

// Begins a planned stop: listeners close, sessions end at a transaction
// boundary.
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

// Reports the demand of each database in use, at bounded intervals.
void
worker_report_demand(struct worker *worker)
{
    for (size_t i = 0; i < worker->databases_count; i++) {
        database_report_demand(worker->databases[i]);
        worker_apply_relay_change(worker, worker->databases[i]);
    }
}

// Counts the requests of a customer that have no outcome yet; any thread.
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
