#include "catkingrade/entry/entry.h"

#include <openssl/rand.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "catkingrade/entry/limiter.h"
#include "catkingrade/entry/worker.h"
#include "catkingrade/kernel/file.h"
#include "catkingrade/kernel/log.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

#define ENTRY_MAX_SECRET_BYTES 65536

// Number of open sessions of one customer at this entry.
struct entry_customer {
    char name[CK_NAME_SIZE + 1];
    unsigned sessions;
};

struct entry {
    const struct settings *settings;
    struct loop *control_loop;
    struct entry_report_handlers handlers;
    struct token_ring ring;
    char *upstream_password;
    const struct upstream_driver *driver;
    const struct entry_listener *listener;
    struct limiter *limiter;
    struct worker **workers;
    unsigned workers_count;
    pthread_mutex_t customers_mutex;
    struct entry_customer *customers;
    size_t customers_count;
    uint64_t sessions_count;       // guarded by customers_mutex
    uint64_t relay_sessions_count; // guarded by customers_mutex
    bool draining;                 // guarded by customers_mutex
};

// ---- life cycle ----

static int
entry_load_token_keys(struct entry *entry)
{
    const char *path = entry->settings->token_keys_file;
    char *text = NULL;

    if (path[0] == '\0') {
        // Without a key file, a random key is used: tokens are valid in this
        // process only, and other entries read a session's floor from the
        // primary instead.
        entry->ring.keys = xcalloc(1, sizeof(*entry->ring.keys));
        entry->ring.keys_count = 1;
        return RAND_bytes((unsigned char *)entry->ring.keys,
                          sizeof(*entry->ring.keys)) == 1
                   ? OUTCOME_OK
                   : OUTCOME_IO;
    }
    int outcome = file_read_text(path, ENTRY_MAX_SECRET_BYTES, &text);
    if (outcome != OUTCOME_OK) {
        return outcome;
    }
    outcome = token_ring_parse(text, &entry->ring);
    OPENSSL_cleanse(text, strlen(text));
    free(text);
    return outcome;
}

// Creates an entry whose workers do not run yet. settings must outlive the
// entry; handlers are copied and may be NULL. Returns NULL and logs an error
// if the file of token keys or the password file cannot be read.
struct entry *
entry_create(const struct settings *settings, struct loop *control_loop,
             const struct entry_report_handlers *handlers)
{
    struct entry *entry = xcalloc(1, sizeof(*entry));

    entry->settings = settings;
    entry->control_loop = control_loop;
    if (handlers != NULL) {
        entry->handlers = *handlers;
    }
    pthread_mutex_init(&entry->customers_mutex, NULL);
    entry->limiter =
        limiter_create(control_loop, (uint64_t)monotonic_get_us());
    if (entry_load_token_keys(entry) != OUTCOME_OK) {
        LOG_ERROR("token_keys_unreadable", "file=%s",
                  settings->token_keys_file);
        entry_destroy(entry);
        return NULL;
    }
    if (file_read_secret(settings->upstream_password_file,
                         &entry->upstream_password) != OUTCOME_OK) {
        LOG_ERROR("password_unreadable", "file=%s",
                  settings->upstream_password_file);
        entry_destroy(entry);
        return NULL;
    }
    entry->workers_count = settings->traffic_threads;
    entry->workers = xcalloc(entry->workers_count, sizeof(*entry->workers));
    for (unsigned i = 0; i < entry->workers_count; i++) {
        entry->workers[i] = worker_create(entry, i);
    }
    return entry;
}

// Sets the handlers of the workers' reports. Call it before entry_start or on
// the control loop.
void
entry_set_report_handlers(struct entry *entry,
                          const struct entry_report_handlers *handlers)
{
    entry->handlers = *handlers;
}

// Sets the driver that connects to upstreams; before entry_start.
void
entry_set_driver(struct entry *entry, const struct upstream_driver *driver)
{
    entry->driver = driver;
}

// Sets the listener of the client protocol; before entry_start.
void
entry_set_listener(struct entry *entry, const struct entry_listener *listener)
{
    entry->listener = listener;
}

// Starts the workers. Returns OUTCOME_OK or the error of the first worker that
// fails, see worker_start.
int
entry_start(struct entry *entry)
{
    for (unsigned i = 0; i < entry->workers_count; i++) {
        int outcome = worker_start(entry->workers[i]);
        if (outcome != OUTCOME_OK) {
            return outcome;
        }
    }
    return OUTCOME_OK;
}

// Stops the workers and frees the entry. NULL is ignored.
void
entry_destroy(struct entry *entry)
{
    if (entry == NULL) {
        return;
    }
    for (unsigned i = 0; i < entry->workers_count; i++) {
        worker_stop(entry->workers[i]);
    }
    for (unsigned i = 0; i < entry->workers_count; i++) {
        worker_destroy(entry->workers[i]);
    }
    limiter_destroy(entry->limiter);
    free(entry->workers);
    free(entry->customers);
    token_ring_free(&entry->ring);
    if (entry->upstream_password != NULL) {
        OPENSSL_cleanse(entry->upstream_password,
                        strlen(entry->upstream_password));
    }
    free(entry->upstream_password);
    pthread_mutex_destroy(&entry->customers_mutex);
    free(entry);
}

// ---- state shared by the workers ----

const struct settings *
entry_get_settings(const struct entry *entry)
{
    return entry->settings;
}

// Returns the keys that sign and verify session tokens.
const struct token_ring *
entry_get_token_ring(const struct entry *entry)
{
    return &entry->ring;
}

// Returns the driver that connects to upstreams.
const struct upstream_driver *
entry_get_driver(const struct entry *entry)
{
    return entry->driver;
}

// Returns the listener of the client protocol, or NULL.
const struct entry_listener *
entry_get_listener(const struct entry *entry)
{
    return entry->listener;
}

// Returns the password for upstreams, an empty string if there is none.
const char *
entry_get_upstream_password(const struct entry *entry)
{
    return entry->upstream_password;
}

// Returns the rate limits of the customers.
struct limiter *
entry_get_limiter(const struct entry *entry)
{
    return entry->limiter;
}

// Replaces the list of customers with a rate limit.
void
entry_set_limits(struct entry *entry, const struct limit *limits, size_t count)
{
    limiter_set_limits(entry->limiter, limits, count);
}

// Returns the worker at an index below entry_get_workers_count.
struct worker *
entry_get_worker(struct entry *entry, unsigned index)
{
    INVARIANT(index < entry->workers_count);
    return entry->workers[index];
}

unsigned
entry_get_workers_count(const struct entry *entry)
{
    return entry->workers_count;
}

// Returns the worker that owns a database.
struct worker *
entry_find_worker(struct entry *entry, const char *database)
{
    uint64_t hash = XXH3_64bits(database, strlen(database));

    return entry->workers[hash % entry->workers_count];
}

// ---- messages to the workers ----

enum entry_message_kind {
    ENTRY_MESSAGE_VIEW,
    ENTRY_MESSAGE_LEASE,
    ENTRY_MESSAGE_REVOCATION,
    ENTRY_MESSAGE_QUOTAS,
    ENTRY_MESSAGE_RELAYS,
    ENTRY_MESSAGE_COLLECT_DEMAND,
    ENTRY_MESSAGE_SHED,
    ENTRY_MESSAGE_DRAIN,
    ENTRY_MESSAGE_FINISH,
};

struct entry_message {
    struct worker *worker;
    enum entry_message_kind kind;
    struct view *view;
    char name[CK_NAME_SIZE + 1]; // group or database
    int64_t valid_until_us;
    uint64_t term;
    struct ck_quota *quotas;
    size_t quotas_count;
    struct ck_relay *relays;
    size_t relays_count;
};

static void
entry_free_quotas(struct ck_quota *quotas, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        free(quotas[i].upstream);
    }
    free(quotas);
}

// Returns a deep copy of relays, to be freed with entry_free_relays.
struct ck_relay *
entry_copy_relays(const struct ck_relay *relays, size_t count)
{
    struct ck_relay *copy = xcalloc(count, sizeof(*copy));

    for (size_t i = 0; i < count; i++) {
        codec_copy((xdrproc_t)xdr_ck_relay, &relays[i], &copy[i],
                   sizeof(copy[i]));
    }
    return copy;
}

// Frees relays that entry_copy_relays has copied.
void
entry_free_relays(struct ck_relay *relays, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        codec_free((xdrproc_t)xdr_ck_relay, &relays[i]);
    }
    free(relays);
}

// Frees a message. The view of a message that has been handled belongs to the
// worker.
static void
entry_free_message(struct entry_message *message)
{
    entry_free_quotas(message->quotas, message->quotas_count);
    entry_free_relays(message->relays, message->relays_count);
    free(message);
}

static void
entry_discard_message(void *data)
{
    struct entry_message *message = data;

    view_release(message->view);
    entry_free_message(message);
}

static void
entry_handle_message(void *data)
{
    struct entry_message *message = data;
    struct worker *worker = message->worker;

    switch (message->kind) {
    case ENTRY_MESSAGE_VIEW:
        worker_set_view(worker, message->view);
        break;
    case ENTRY_MESSAGE_LEASE:
        worker_set_lease(worker, message->name, message->valid_until_us);
        break;
    case ENTRY_MESSAGE_REVOCATION:
        worker_revoke(worker, message->name, message->term);
        break;
    case ENTRY_MESSAGE_QUOTAS:
        worker_set_quotas(worker, message->quotas, message->quotas_count);
        break;
    case ENTRY_MESSAGE_RELAYS:
        worker_set_relays(worker, message->relays, message->relays_count);
        break;
    case ENTRY_MESSAGE_COLLECT_DEMAND:
        worker_report_demand(worker);
        break;
    case ENTRY_MESSAGE_SHED:
        worker_shed(worker);
        break;
    case ENTRY_MESSAGE_DRAIN:
        worker_drain(worker);
        break;
    case ENTRY_MESSAGE_FINISH:
        worker_finish(worker);
        break;
    }
    entry_free_message(message);
}

static void
entry_post(struct worker *worker, const struct entry_message *message)
{
    struct entry_message *copy = xmalloc(sizeof(*copy));

    *copy = *message;
    copy->worker = worker;
    loop_post(worker_get_loop(worker), entry_handle_message,
              entry_discard_message, copy);
}

static void
entry_post_all(struct entry *entry, const struct entry_message *message)
{
    for (unsigned i = 0; i < entry->workers_count; i++) {
        entry_post(entry->workers[i], message);
    }
}

// Puts a view in force on every worker, which takes a reference of its own.
void
entry_post_view(struct entry *entry, struct view *view)
{
    for (unsigned i = 0; i < entry->workers_count; i++) {
        struct entry_message message = {.kind = ENTRY_MESSAGE_VIEW,
                                        .view = view_retain(view)};
        entry_post(entry->workers[i], &message);
    }
}

// Extends the lease of a control group until valid_until_us, for the terms in
// the view that was posted before.
void
entry_post_lease(struct entry *entry, const char *group,
                 int64_t valid_until_us)
{
    struct entry_message message = {.kind = ENTRY_MESSAGE_LEASE,
                                    .valid_until_us = valid_until_us};

    strncpy(message.name, group, CK_NAME_SIZE);
    entry_post_all(entry, &message);
}

// Revokes a term of a database. The handler confirm_revoked is called when
// this entry can no longer acknowledge a write of that term.
void
entry_post_revocation(struct entry *entry, const char *database, uint64_t term)
{
    struct entry_message message = {.kind = ENTRY_MESSAGE_REVOCATION,
                                    .term = term};

    strncpy(message.name, database, CK_NAME_SIZE);
    entry_post(entry_find_worker(entry, database), &message);
}

// Sets the quotas of upstreams on every worker. Upstreams that are not listed
// keep their quotas.
void
entry_post_quotas(struct entry *entry, const struct ck_quota *quotas,
                  size_t count)
{
    for (unsigned i = 0; i < entry->workers_count; i++) {
        struct entry_message message = {.kind = ENTRY_MESSAGE_QUOTAS,
                                        .quotas_count = count};
        message.quotas = xcalloc(count, sizeof(*quotas));
        for (size_t j = 0; j < count; j++) {
            message.quotas[j] = quotas[j];
            message.quotas[j].upstream = xstrdup(quotas[j].upstream);
        }
        entry_post(entry->workers[i], &message);
    }
}

// Sets the relays of databases on every worker. Databases that are not listed
// keep theirs. In force with the next entry_post_quotas.
void
entry_post_relays(struct entry *entry, const struct ck_relay *relays,
                  size_t count)
{
    for (unsigned i = 0; i < entry->workers_count; i++) {
        struct entry_message message = {.kind = ENTRY_MESSAGE_RELAYS,
                                        .relays_count = count};
        message.relays = entry_copy_relays(relays, count);
        entry_post(entry->workers[i], &message);
    }
}

// Requests a report of the demand of each database in use since its previous
// report. The reports arrive at the handler demand.
void
entry_collect_demand(struct entry *entry)
{
    struct entry_message message = {.kind = ENTRY_MESSAGE_COLLECT_DEMAND};

    entry_post_all(entry, &message);
}

// Ends the client sessions at their next transaction boundary, so that clients
// reconnect to an entry that can serve them. New sessions are still accepted.
void
entry_post_shed(struct entry *entry)
{
    struct entry_message message = {.kind = ENTRY_MESSAGE_SHED};

    entry_post_all(entry, &message);
}

// Begins a planned stop: no new sessions are accepted, and open sessions end
// at their next transaction boundary.
void
entry_drain(struct entry *entry)
{
    struct entry_message message = {.kind = ENTRY_MESSAGE_DRAIN};

    pthread_mutex_lock(&entry->customers_mutex);
    entry->draining = true;
    pthread_mutex_unlock(&entry->customers_mutex);
    entry_post_all(entry, &message);
}

// Ends a planned stop: requests that have not been sent are answered as not
// run, those in flight as unknown, and the sessions close when their clients
// have received the answers. After entry_drain.
void
entry_finish(struct entry *entry)
{
    struct entry_message message = {.kind = ENTRY_MESSAGE_FINISH};

    entry_post_all(entry, &message);
}

// ---- sessions ----

static struct entry_customer *
entry_get_or_add_customer(struct entry *entry, const char *name)
{
    for (size_t i = 0; i < entry->customers_count; i++) {
        if (strcmp(entry->customers[i].name, name) == 0) {
            return &entry->customers[i];
        }
    }
    entry->customers =
        xrealloc(entry->customers,
                 (entry->customers_count + 1) * sizeof(*entry->customers));
    struct entry_customer *customer =
        &entry->customers[entry->customers_count++];
    memset(customer, 0, sizeof(*customer));
    strncpy(customer->name, name, CK_NAME_SIZE);
    return customer;
}

// Counts a new session of a customer. Returns false and counts nothing if the
// customer has limit sessions, the entry has max_sessions sessions, or a
// planned stop has begun. Any thread.
bool
entry_admit_session(struct entry *entry, const char *name, unsigned limit)
{
    bool admitted = false;

    pthread_mutex_lock(&entry->customers_mutex);
    struct entry_customer *customer = entry_get_or_add_customer(entry, name);
    if (!entry->draining && customer->sessions < limit &&
        entry->sessions_count < entry->settings->max_sessions) {
        customer->sessions++;
        entry->sessions_count++;
        admitted = true;
    }
    pthread_mutex_unlock(&entry->customers_mutex);
    return admitted;
}

// Removes an ended session from the counts of entry_admit_session; any thread.
void
entry_release_session(struct entry *entry, const char *name)
{
    pthread_mutex_lock(&entry->customers_mutex);
    entry_get_or_add_customer(entry, name)->sessions--;
    entry->sessions_count--;
    pthread_mutex_unlock(&entry->customers_mutex);
}

// Counts a session of another entry that uses this one as its relay.
void
entry_add_relay_session(struct entry *entry)
{
    pthread_mutex_lock(&entry->customers_mutex);
    entry->relay_sessions_count++;
    pthread_mutex_unlock(&entry->customers_mutex);
}

// Removes an ended session from the count of entry_add_relay_session.
void
entry_release_relay_session(struct entry *entry)
{
    pthread_mutex_lock(&entry->customers_mutex);
    entry->relay_sessions_count--;
    pthread_mutex_unlock(&entry->customers_mutex);
}

// Returns the number of open sessions; any thread.
uint64_t
entry_get_sessions_count(struct entry *entry)
{
    pthread_mutex_lock(&entry->customers_mutex);
    uint64_t count = entry->sessions_count;
    pthread_mutex_unlock(&entry->customers_mutex);
    return count;
}

// Returns whether a planned stop has begun and all sessions have ended, those
// of other entries included; any thread.
bool
entry_is_drained(struct entry *entry)
{
    pthread_mutex_lock(&entry->customers_mutex);
    bool drained = entry->draining && entry->sessions_count == 0 &&
                   entry->relay_sessions_count == 0;
    pthread_mutex_unlock(&entry->customers_mutex);
    return drained;
}

// Returns the number of a customer's requests without an outcome; any thread.
uint64_t
entry_get_open_requests(struct entry *entry, const char *customer)
{
    uint64_t count = 0;

    for (unsigned i = 0; i < entry->workers_count; i++) {
        count += worker_get_open_requests(entry->workers[i], customer);
    }
    return count;
}

// ---- reports of the workers ----

enum entry_report_kind {
    ENTRY_REPORT_SUSPICION,
    ENTRY_REPORT_REVOKED,
    ENTRY_REPORT_DEMAND,
    ENTRY_REPORT_WANT_RENEWAL,
};

struct entry_report {
    struct entry *entry;
    enum entry_report_kind kind;
    char database[CK_NAME_SIZE + 1];
    uint64_t term;
    struct ck_suspicion suspicion;
    struct ck_demand *demands;
    size_t demands_count;
};

// Frees a report, delivered or not. Its entry may have been freed before.
static void
entry_free_report(void *data)
{
    struct entry_report *report = data;

    for (size_t i = 0; i < report->demands_count; i++) {
        free(report->demands[i].upstream);
    }
    free(report->demands);
    codec_free((xdrproc_t)xdr_ck_suspicion, &report->suspicion);
    free(report);
}

static void
entry_deliver_report(void *data)
{
    struct entry_report *report = data;
    const struct entry_report_handlers *handlers = &report->entry->handlers;

    if (report->kind == ENTRY_REPORT_SUSPICION && handlers->suspect != NULL) {
        handlers->suspect(handlers->data, &report->suspicion);
    }
    if (report->kind == ENTRY_REPORT_REVOKED &&
        handlers->confirm_revoked != NULL) {
        handlers->confirm_revoked(handlers->data, report->database,
                                  report->term);
    }
    if (report->kind == ENTRY_REPORT_WANT_RENEWAL &&
        handlers->want_renewal != NULL) {
        handlers->want_renewal(handlers->data);
    }
    if (report->kind == ENTRY_REPORT_DEMAND && handlers->demand != NULL) {
        handlers->demand(handlers->data, report->database, report->demands,
                         report->demands_count);
    }
    entry_free_report(report);
}

static struct entry_report *
entry_create_report(struct entry *entry, enum entry_report_kind kind,
                    const char *database)
{
    struct entry_report *report = xcalloc(1, sizeof(*report));

    report->entry = entry;
    report->kind = kind;
    strncpy(report->database, database, CK_NAME_SIZE);
    return report;
}

// Reports a suspicion to the control loop; any thread.
void
entry_report_suspicion(struct entry *entry,
                       const struct ck_suspicion *suspicion)
{
    struct entry_report *report = entry_create_report(
        entry, ENTRY_REPORT_SUSPICION, suspicion->database);

    codec_copy((xdrproc_t)xdr_ck_suspicion, suspicion, &report->suspicion,
               sizeof(report->suspicion));
    loop_post(entry->control_loop, entry_deliver_report, entry_free_report,
              report);
}

// Reports to the control loop that this entry acknowledges no more writes of a
// term; any thread.
void
entry_report_revoked(struct entry *entry, const char *database, uint64_t term)
{
    struct entry_report *report =
        entry_create_report(entry, ENTRY_REPORT_REVOKED, database);

    report->term = term;
    loop_post(entry->control_loop, entry_deliver_report, entry_free_report,
              report);
}

// Reports to the control loop that the view may be out of date; any thread.
void
entry_report_want_renewal(struct entry *entry)
{
    loop_post(entry->control_loop, entry_deliver_report, entry_free_report,
              entry_create_report(entry, ENTRY_REPORT_WANT_RENEWAL, ""));
}

// Reports the demand of a database to the control loop; any thread.
void
entry_report_demand(struct entry *entry, const char *database,
                    const struct ck_demand *demands, size_t count)
{
    struct entry_report *report =
        entry_create_report(entry, ENTRY_REPORT_DEMAND, database);

    report->demands = xcalloc(count, sizeof(*demands));
    report->demands_count = count;
    for (size_t i = 0; i < count; i++) {
        report->demands[i] = demands[i];
        report->demands[i].upstream = xstrdup(demands[i].upstream);
    }
    loop_post(entry->control_loop, entry_deliver_report, entry_free_report,
              report);
}
