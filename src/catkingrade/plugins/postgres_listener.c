#include "catkingrade/plugins/postgres_listener.h"

#include <stdlib.h>
#include <string.h>

#include "catkingrade/entry/entry.h"
#include "catkingrade/entry/entry_plugin.h"
#include "catkingrade/kernel/acceptor.h"
#include "catkingrade/kernel/daemon.h"
#include "catkingrade/kernel/log.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/kernel/plugin.h"
#include "catkingrade/kernel/tcp.h"
#include "catkingrade/plugins/libpq_upstream.h"
#include "catkingrade/plugins/postgres_session.h"

// The id of a cancel key has the worker's index in the upper bits and the low
// bits of the session id below.
#define LISTENER_KEY_WORKER_SHIFT 24
#define LISTENER_KEY_SESSION_MASK 0xffffff

// TCP keepalive of client connections: idle time before the first probe,
// interval of further probes, and the time after which unacknowledged data
// ends a connection.
#define LISTENER_KEEPALIVE_IDLE_S     30
#define LISTENER_KEEPALIVE_INTERVAL_S 10
#define LISTENER_UNACKED_TIMEOUT_MS   60000

static void
listener_accept(void *data, int fd)
{
    tcp_set_keepalive(fd, LISTENER_KEEPALIVE_IDLE_S,
                      LISTENER_KEEPALIVE_INTERVAL_S,
                      LISTENER_UNACKED_TIMEOUT_MS);
    (void)postgres_session_create(data, fd);
}

// ---- listener of a traffic thread ----

static void *
listener_start(struct worker *worker)
{
    const struct settings *settings =
        entry_get_settings(worker_get_entry(worker));
    struct postgres_listener *listener = xcalloc(1, sizeof(*listener));

    listener->worker = worker;
    if (settings->tls_cert_file[0] != '\0') {
        listener->tls = postgres_transport_create_context(settings);
        if (listener->tls == NULL) {
            free(listener);
            return NULL;
        }
    }
    listener->acceptor =
        acceptor_create(worker_get_loop(worker), &settings->postgres,
                        listener_accept, listener);
    if (listener->acceptor == NULL) {
        SSL_CTX_free(listener->tls);
        free(listener);
        return NULL;
    }
    return listener;
}

static void
listener_close_socket(struct postgres_listener *listener)
{
    acceptor_destroy(listener->acceptor);
    listener->acceptor = NULL;
}

static void
listener_drain(void *state)
{
    struct postgres_listener *listener = state;
    struct postgres_session *session = listener->sessions;

    listener->draining = true;
    listener_close_socket(listener);
    while (session != NULL) {
        struct postgres_session *next = session->next;
        postgres_session_end(session);
        session = next;
    }
}

static void
listener_finish(void *state)
{
    struct postgres_listener *listener = state;
    struct postgres_session *session = listener->sessions;

    while (session != NULL) {
        struct postgres_session *next = session->next;
        postgres_session_finish(session);
        session = next;
    }
}

static void
listener_stop(void *state)
{
    struct postgres_listener *listener = state;

    listener_close_socket(listener);
    while (listener->sessions != NULL) {
        postgres_session_destroy(listener->sessions);
    }
    SSL_CTX_free(listener->tls);
    free(listener);
}

// ---- cancel requests ----

// Returns the id of a session's cancel key. It identifies the traffic thread
// and the session on that thread.
uint32_t
postgres_listener_get_cancel_key_id(const struct postgres_session *session)
{
    unsigned worker_index = worker_get_index(session->listener->worker);

    return (uint32_t)worker_index << LISTENER_KEY_WORKER_SHIFT |
           (uint32_t)(session->base.id & LISTENER_KEY_SESSION_MASK);
}

// Cancels the request in flight of the session with this key, if there is one.
// Must run on the listener's thread.
static void
listener_cancel(void *state, uint32_t key_id, uint32_t key_secret)
{
    struct postgres_listener *listener = state;

    for (struct postgres_session *session = listener->sessions;
         session != NULL; session = session->next) {
        if (session->key_secret == key_secret &&
            session->base.database != NULL &&
            postgres_listener_get_cancel_key_id(session) == key_id) {
            if (session->request != NULL) {
                database_cancel(session->base.database, session->request);
            }
            return;
        }
    }
}

// A cancel request on its way to the thread of the session.
struct listener_cancel_request {
    struct worker *worker;
    uint32_t key_id;
    uint32_t key_secret;
};

static void
listener_handle_cancel_request(void *data)
{
    struct listener_cancel_request *message = data;
    void *state = worker_get_listener_state(message->worker);

    if (state != NULL) {
        listener_cancel(state, message->key_id, message->key_secret);
    }
    free(message);
}

// Cancels the request in flight of the session with this key, whichever
// traffic thread serves the session. May be called from any thread. A key that
// no session has is ignored.
void
postgres_listener_cancel(struct entry *entry, uint32_t key_id,
                         uint32_t key_secret)
{
    unsigned worker_index = key_id >> LISTENER_KEY_WORKER_SHIFT;

    if (worker_index >= entry_get_workers_count(entry)) {
        return;
    }
    struct listener_cancel_request *message = xcalloc(1, sizeof(*message));
    message->worker = entry_get_worker(entry, worker_index);
    message->key_id = key_id;
    message->key_secret = key_secret;
    loop_post(worker_get_loop(message->worker), listener_handle_cancel_request,
              free, message);
}

static const struct entry_listener postgres_entry_listener = {
    .start = listener_start,
    .drain = listener_drain,
    .finish = listener_finish,
    .stop = listener_stop,
};

// ---- plug-in ----

static bool
postgres_is_enabled(const struct settings *settings)
{
    return (settings->roles & SETTINGS_ROLE_ENTRY) != 0 &&
           settings->platform.listen.port == 0;
}

// Applies a static view from a file, with leases that never expire: without a
// control plane no failover coordinator could supersede a primary. Returns
// OUTCOME_OK or, with the errors logged, OUTCOME_INVALID.
static int
postgres_load_view(struct daemon *daemon)
{
    struct buffer errors = {0};
    struct view *view = view_load(daemon->settings->view_file, &errors);

    if (view == NULL) {
        LOG_ERROR("view_invalid", "%.*s", (int)buffer_get_size(&errors),
                  (const char *)buffer_get_data(&errors));
        buffer_free(&errors);
        return OUTCOME_INVALID;
    }
    entry_post_view(daemon->entry, view);
    for (size_t i = 0; i < view_get_databases_count(view); i++) {
        entry_post_lease(daemon->entry, view_get_database(view, i)->group,
                         INT64_MAX);
    }
    view_release(view);
    return OUTCOME_OK;
}

static int
postgres_start(struct daemon *daemon)
{
    if (daemon->entry == NULL) {
        daemon->entry =
            entry_create(daemon->settings, daemon->control_loop, NULL);
    }
    if (daemon->entry == NULL) {
        return OUTCOME_INVALID;
    }
    entry_set_driver(daemon->entry, &libpq_upstream_driver);
    entry_set_listener(daemon->entry, &postgres_entry_listener);
    if (daemon->settings->view_file[0] != '\0') {
        int outcome = postgres_load_view(daemon);
        if (outcome != OUTCOME_OK) {
            entry_plugin_stop(daemon);
            return outcome;
        }
    }
    return entry_plugin_start(daemon);
}

static const struct plugin postgres_plugin = {
    .name = "postgres",
    .order = 30,
    .is_enabled = postgres_is_enabled,
    .start = postgres_start,
    .drain = entry_plugin_drain,
    .finish = entry_plugin_finish,
    .is_drained = entry_plugin_is_drained,
    .stop = entry_plugin_stop,
};

PLUGIN_REGISTER(postgres_plugin)
