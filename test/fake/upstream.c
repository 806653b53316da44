#include "test/fake/upstream.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/kernel/settings.h"
#include "test/fake/upstream_session.h"

#define UPSTREAM_BACKLOG  1024
#define UPSTREAM_LSN_STEP 0x20 // LSN increase of each commit

static void
upstream_free_closed_sessions(void *data)
{
    struct upstream *upstream = data;
    struct session *session = TAILQ_FIRST(&upstream->sessions);

    while (session != NULL) {
        struct session *next = TAILQ_NEXT(session, entry);
        if (session->phase == SESSION_CLOSED) {
            fake_session_destroy(session);
        }
        session = next;
    }
}

static void
upstream_accept(void *data, unsigned events)
{
    struct upstream *upstream = data;
    int one = 1;

    (void)events;
    for (;;) {
        int fd = accept4(upstream->listen_fd, NULL, NULL,
                         SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (fd < 0) {
            return;
        }
        (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        fake_session_create(upstream, fd);
    }
}

// Opens a non-blocking TCP socket that listens on an IPv4 address. Returns the
// descriptor, or -1.
int
fake_upstream_open_listener(const char *host, int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    int one = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

    address.sin_port = htons((uint16_t)port);
    if (fd < 0 || inet_pton(AF_INET, host, &address.sin_addr) != 1) {
        return -1;
    }
    (void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(fd, UPSTREAM_BACKLOG) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

// Opens the port for clients and replicas, unless it is open already. Returns
// OUTCOME_OK or OUTCOME_IO.
int
fake_upstream_listen(struct upstream *upstream)
{
    if (upstream->listen_fd >= 0) {
        return OUTCOME_OK;
    }
    upstream->listen_fd = fake_upstream_open_listener(upstream->options.host,
                                                      upstream->options.port);
    if (upstream->listen_fd < 0) {
        return OUTCOME_IO;
    }
    upstream->listen_watch =
        loop_watch_create(upstream->loop, upstream->listen_fd, LOOP_READ,
                          upstream_accept, upstream);
    return OUTCOME_OK;
}

// Closes the port, so that new connections are refused. Open connections stay.
void
fake_upstream_stop_listening(struct upstream *upstream)
{
    if (upstream->listen_fd < 0) {
        return;
    }
    loop_watch_destroy(upstream->listen_watch);
    close(upstream->listen_fd);
    upstream->listen_fd = -1;
}

// Creates an upstream with its own event loop. Announcements and, on a
// replica, replication start with the loop; fake_upstream_listen() opens the
// port.
struct upstream *
fake_upstream_create(const struct upstream_options *options)
{
    struct upstream *upstream = xcalloc(1, sizeof(*upstream));

    upstream->options = *options;
    upstream->loop = loop_create();
    INVARIANT(upstream->loop != NULL);
    upstream->listen_fd = -1;
    upstream->plans = fake_plan_cache_create();
    TAILQ_INIT(&upstream->sessions);
    fake_wal_init(&upstream->wal);
    loop_set_iteration_end_task(upstream->loop, upstream_free_closed_sessions,
                                upstream);
    if (options->pgbench_scale > 0) {
        fake_database_add_pgbench(&upstream->database, options->pgbench_scale);
    }
    upstream->replication = fake_replication_create(upstream);
    if (options->primary_address != NULL) {
        upstream->is_replica = true;
        fake_replication_connect(upstream->replication,
                                 options->primary_address);
    }
    upstream->announcer = fake_announcer_create(upstream);
    return upstream;
}

// Closes all connections and frees the upstream.
void
fake_upstream_destroy(struct upstream *upstream)
{
    fake_upstream_stop_listening(upstream);
    while (!TAILQ_EMPTY(&upstream->sessions)) {
        fake_session_destroy(TAILQ_FIRST(&upstream->sessions));
    }
    fake_announcer_destroy(upstream->announcer);
    fake_replication_destroy(upstream->replication);
    fake_database_clear(&upstream->database);
    fake_plan_cache_destroy(upstream->plans);
    fake_wal_free(&upstream->wal);
    loop_destroy(upstream->loop);
    free(upstream);
}

// Appends a commit to the log and sends it to the replicas, unless ops is
// empty. Then resumes the statements that wait for a row lock, because the end
// of a transaction has released its locks.
void
fake_upstream_write_log(struct upstream *upstream, struct buffer *ops)
{
    struct session *session = NULL;
    bool wrote = buffer_get_size(ops) > 0;

    if (wrote) {
        fake_wal_append(&upstream->wal, upstream->wal.lsn + UPSTREAM_LSN_STEP,
                        monotonic_get_us(), buffer_get_data(ops),
                        buffer_get_size(ops));
    }
    TAILQ_FOREACH(session, &upstream->sessions, entry)
    {
        if (session->phase == SESSION_REPLICATION && wrote) {
            fake_session_append_log(session);
            fake_session_flush(session);
        }
        else if (session->waits_for_lock) {
            session->waits_for_lock = false;
            session->resume_at_us = 0;
            loop_timer_set(session->timer, 0);
        }
    }
}

// Rolls back and terminates the sessions whose open transactions own rows.
static void
upstream_terminate_writers(struct upstream *upstream)
{
    struct session *session = NULL;

    TAILQ_FOREACH(session, &upstream->sessions, entry)
    {
        if (session->transaction.rows_count > 0) {
            fake_session_rollback(session);
            fake_session_terminate(
                session, "57P01",
                "terminating connection: this upstream was fenced");
        }
    }
}

static void
upstream_close_replicas(struct upstream *upstream)
{
    struct session *session = NULL;

    TAILQ_FOREACH(session, &upstream->sessions, entry)
    {
        if (session->phase == SESSION_REPLICATION) {
            fake_session_abort(session);
        }
    }
}

// Promotes a replica: it becomes the primary on a new timeline. Received
// entries that it has not replayed yet are lost. Its own replicas are
// disconnected and have to reconnect.
void
fake_upstream_promote(struct upstream *upstream)
{
    fake_replication_stop(upstream->replication);
    upstream->is_replica = false;
    upstream->fenced = false;
    fake_wal_begin_timeline(&upstream->wal);
    upstream_close_replicas(upstream);
}

// Terminates open write transactions and becomes a replica of the upstream at
// IP:PORT. Returns OUTCOME_OK, or OUTCOME_INVALID when the address cannot be
// parsed.
int
fake_upstream_follow(struct upstream *upstream, const char *address)
{
    struct settings_address parsed;

    if (!settings_parse_address(address, &parsed)) {
        return OUTCOME_INVALID;
    }
    upstream_terminate_writers(upstream);
    upstream->is_replica = true;
    upstream->fenced = false;
    fake_replication_connect(upstream->replication, address);
    return OUTCOME_OK;
}

// Fences the upstream: terminates open write transactions and refuses writes
// until the upstream follows another one or is promoted.
void
fake_upstream_fence(struct upstream *upstream)
{
    upstream->fenced = true;
    upstream_terminate_writers(upstream);
}

// Rewinds the tables to a position of the log: terminates open write
// transactions, truncates the log there and replays it from its start.
void
fake_upstream_rebuild(struct upstream *upstream, uint64_t lsn)
{
    upstream_terminate_writers(upstream);
    fake_wal_truncate(&upstream->wal, lsn);
    fake_database_clear(&upstream->database);
    if (upstream->options.pgbench_scale > 0) {
        fake_database_add_pgbench(&upstream->database,
                                  upstream->options.pgbench_scale);
    }
    for (size_t i = 0; i < upstream->wal.count; i++) {
        const struct wal_entry *entry = &upstream->wal.entries[i];
        fake_database_apply(&upstream->database, entry->ops,
                            entry->ops_size_bytes);
    }
}
