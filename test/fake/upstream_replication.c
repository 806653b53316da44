#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/settings.h"
#include "test/fake/upstream_session.h"

// Replication on the upstream's own port: the replica's first message has a
// code of its own and the history of its log. The primary answers with the
// fork and its history, then with entries as they are committed.

#define REPLICATION_RETRY_US       100000
#define REPLICATION_READ_BYTES     65536
#define REPLICATION_CODE           80877999
#define REPLICATION_MAX_SIZE_BYTES (64 * 1024 * 1024)

// An entry that was received and is not due yet.
struct pending_entry {
    uint64_t lsn;
    int64_t committed_us;
    uint8_t *ops;
    size_t ops_size_bytes;
    struct pending_entry *next;
};

// The replica's side.
struct replication {
    struct upstream *upstream;
    struct settings_address address;
    bool active;
    int fd;
    struct loop_watch *watch;
    struct loop_timer *retry_timer;
    struct loop_timer *apply_timer;
    struct buffer in;
    struct pending_entry *pending;
    struct pending_entry **pending_tail;
};

static void
replication_clear_pending(struct replication *replication)
{
    while (replication->pending != NULL) {
        struct pending_entry *entry = replication->pending;
        replication->pending = entry->next;
        free(entry->ops);
        free(entry);
    }
    replication->pending_tail = &replication->pending;
    loop_timer_clear(replication->apply_timer);
}

static void
replication_close(struct replication *replication)
{
    if (replication->fd < 0) {
        return;
    }
    loop_watch_destroy(replication->watch);
    replication->watch = NULL;
    close(replication->fd);
    replication->fd = -1;
    buffer_clear(&replication->in);
}

static void
replication_retry_later(struct replication *replication)
{
    replication_close(replication);
    loop_timer_set(replication->retry_timer,
                   loop_get_now_us(replication->upstream->loop) +
                       REPLICATION_RETRY_US);
}

// Applies the entries whose lag has passed.
static void
replication_apply_due(void *data)
{
    struct replication *replication = data;
    struct upstream *upstream = replication->upstream;
    int64_t now_us = loop_get_now_us(upstream->loop);

    while (replication->pending != NULL) {
        struct pending_entry *entry = replication->pending;
        int64_t due_us = entry->committed_us + upstream->options.lag_us;
        if (due_us > now_us) {
            loop_timer_set(replication->apply_timer, due_us);
            return;
        }
        replication->pending = entry->next;
        if (replication->pending == NULL) {
            replication->pending_tail = &replication->pending;
        }
        if (entry->lsn > upstream->wal.lsn) {
            fake_wal_append(&upstream->wal, entry->lsn, entry->committed_us,
                            entry->ops, entry->ops_size_bytes);
            fake_database_apply(&upstream->database, entry->ops,
                                entry->ops_size_bytes);
        }
        free(entry->ops);
        free(entry);
    }
}

// Applies a changed lag to the entries that wait.
void
fake_replication_apply_lag(struct replication *replication)
{
    replication_apply_due(replication);
}

static void
replication_enqueue_entry(struct replication *replication, const uint8_t *data,
                          size_t size_bytes)
{
    struct pending_entry *entry = xcalloc(1, sizeof(*entry));

    entry->lsn = fake_be64_read(data);
    entry->committed_us = (int64_t)fake_be64_read(data + 8);
    entry->ops_size_bytes = size_bytes - 16;
    entry->ops = xmalloc(entry->ops_size_bytes + 1);
    memcpy(entry->ops, data + 16, entry->ops_size_bytes);
    *replication->pending_tail = entry;
    replication->pending_tail = &entry->next;
}

// Joins the primary's log: what this one has after the fork is dropped.
static bool
replication_adopt_history(struct replication *replication, const uint8_t *data,
                          size_t size_bytes)
{
    struct upstream *upstream = replication->upstream;
    struct wal_timeline *timelines = NULL;
    uint64_t lsn = 0;

    if (size_bytes < 8) {
        return false;
    }
    uint64_t fork = fake_be64_read(data);
    size_t count =
        fake_wal_decode_history(data + 8, size_bytes - 8, &timelines, &lsn);
    if (count == 0) {
        return false;
    }
    replication_clear_pending(replication);
    if (fork < upstream->wal.lsn) {
        fake_upstream_rebuild(upstream, fork);
    }
    fake_wal_set_history(&upstream->wal, timelines, count);
    return true;
}

static bool
replication_handle_message(struct replication *replication, char kind,
                           const uint8_t *data, size_t size_bytes)
{
    if (kind == 'H') {
        return replication_adopt_history(replication, data, size_bytes);
    }
    if (kind != 'L' || size_bytes < 16) {
        return false;
    }
    replication_enqueue_entry(replication, data, size_bytes);
    return true;
}

static bool
replication_handle_messages(struct replication *replication)
{
    struct buffer *in = &replication->in;

    while (buffer_get_size(in) >= 5) {
        const uint8_t *data = buffer_get_data(in);
        size_t size = fake_be32_read(data + 1);
        if (size < 4 || size > REPLICATION_MAX_SIZE_BYTES) {
            return false;
        }
        if (buffer_get_size(in) < size + 1) {
            break;
        }
        if (!replication_handle_message(replication, (char)data[0], data + 5,
                                        size - 4)) {
            return false;
        }
        buffer_consume(in, size + 1);
    }
    replication_apply_due(replication);
    return true;
}

static void
replication_handle_events(void *data, unsigned events)
{
    struct replication *replication = data;
    uint8_t *at = buffer_reserve(&replication->in, REPLICATION_READ_BYTES);
    ssize_t size =
        recv(replication->fd, at, REPLICATION_READ_BYTES, MSG_DONTWAIT);

    (void)events;
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (size <= 0) {
        replication_retry_later(replication);
        return;
    }
    replication->in.end += (size_t)size;
    if (!replication_handle_messages(replication)) {
        replication_retry_later(replication);
    }
}

static void
replication_send_history(struct replication *replication)
{
    struct buffer body = {0};
    struct buffer message = {0};

    fake_wal_encode_history(&replication->upstream->wal, &body);
    buffer_append_be32(&message, (uint32_t)(8 + buffer_get_size(&body)));
    buffer_append_be32(&message, REPLICATION_CODE);
    buffer_append(&message, buffer_get_data(&body), buffer_get_size(&body));
    ssize_t sent = send(replication->fd, buffer_get_data(&message),
                        buffer_get_size(&message), MSG_NOSIGNAL);
    if (sent != (ssize_t)buffer_get_size(&message)) {
        (void)shutdown(replication->fd, SHUT_RDWR);
    }
    buffer_free(&body);
    buffer_free(&message);
}

static void
replication_open(void *data)
{
    struct replication *replication = data;
    struct sockaddr_in address = {.sin_family = AF_INET};

    if (!replication->active) {
        return;
    }
    address.sin_port = htons((uint16_t)replication->address.port);
    if (inet_pton(AF_INET, replication->address.host, &address.sin_addr) !=
        1) {
        return;
    }
    // Addresses are of this machine, where connecting takes no time.
    replication->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (replication->fd < 0 ||
        connect(replication->fd, (struct sockaddr *)&address,
                sizeof(address)) != 0) {
        if (replication->fd >= 0) {
            close(replication->fd);
        }
        replication->fd = -1;
        replication_retry_later(replication);
        return;
    }
    replication->watch =
        loop_watch_create(replication->upstream->loop, replication->fd,
                          LOOP_READ, replication_handle_events, replication);
    INVARIANT(replication->watch != NULL);
    replication_send_history(replication);
}

// Creates the replica's side; it follows nobody yet.
struct replication *
fake_replication_create(struct upstream *upstream)
{
    struct replication *replication = xcalloc(1, sizeof(*replication));

    replication->upstream = upstream;
    replication->fd = -1;
    replication->pending_tail = &replication->pending;
    replication->retry_timer =
        loop_timer_create(upstream->loop, replication_open, replication);
    replication->apply_timer =
        loop_timer_create(upstream->loop, replication_apply_due, replication);
    return replication;
}

// Stops following; entries that are not due yet are lost.
void
fake_replication_stop(struct replication *replication)
{
    replication->active = false;
    replication_close(replication);
    replication_clear_pending(replication);
    loop_timer_clear(replication->retry_timer);
}

// Follows the upstream at an address, and keeps trying.
void
fake_replication_connect(struct replication *replication, const char *address)
{
    fake_replication_stop(replication);
    if (!settings_parse_address(address, &replication->address)) {
        return;
    }
    replication->active = true;
    loop_timer_set(replication->retry_timer, 0);
}

// Stops and frees the replica's side.
void
fake_replication_destroy(struct replication *replication)
{
    fake_replication_stop(replication);
    loop_timer_destroy(replication->retry_timer);
    loop_timer_destroy(replication->apply_timer);
    buffer_free(&replication->in);
    free(replication);
}

// Answers a replica; entries after the fork follow.
bool
fake_session_start_replication(struct session *session, const uint8_t *data,
                               size_t size_bytes)
{
    const struct wal *wal = &session->upstream->wal;
    struct wal_timeline *timelines = NULL;
    uint64_t lsn = 0;
    size_t count = fake_wal_decode_history(data, size_bytes, &timelines, &lsn);

    if (count == 0) {
        return false;
    }
    uint64_t fork = fake_wal_find_fork(wal, timelines, count, lsn);
    free(timelines);
    session->phase = SESSION_REPLICATION;
    size_t start = fake_session_frame_begin(session, 'H');
    fake_buffer_append_be64(&session->out, fork);
    fake_wal_encode_history(wal, &session->out);
    fake_session_frame_end(session, start);
    session->wal_next = fake_wal_find_after(wal, fork);
    fake_session_append_log(session);
    return true;
}

// Appends the entries that the replica has not had to the output.
void
fake_session_append_log(struct session *session)
{
    const struct wal *wal = &session->upstream->wal;

    for (; session->wal_next < wal->count; session->wal_next++) {
        const struct wal_entry *entry = &wal->entries[session->wal_next];
        size_t start = fake_session_frame_begin(session, 'L');
        fake_buffer_append_be64(&session->out, entry->lsn);
        fake_buffer_append_be64(&session->out, (uint64_t)entry->committed_us);
        buffer_append(&session->out, entry->ops, entry->ops_size_bytes);
        fake_session_frame_end(session, start);
    }
}
