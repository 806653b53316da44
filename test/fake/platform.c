#include "test/fake/platform.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <errno.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/memory.h"
#include "test/fake/process.h"

#define MAX_CONNS         256
#define MAX_WRITES        32768
#define MAX_PREPARED      32
#define MAX_MESSAGE_BYTES (1024 * 1024)
#define TEXT_SIZE         256
#define POLL_MS           20
#define NO_UPSTREAM       (-1)
#define LISTEN_BACKLOG    64
// Ports tried of which another process takes one that was free.
#define LISTEN_ATTEMPTS 10

struct write {
    char item[64];
    char value[TEXT_SIZE]; // cut at this size
    size_t value_size;
};

// Prepared statement of a connection.
struct prepared {
    char text[64];
    bool writes;
};

struct conn {
    int fd;
    int upstream; // NO_UPSTREAM: connection for HTTP calls
    struct buffer in;
    bool started;
    char sender[PLATFORM_ID_SIZE]; // user name in STARTUP
    bool is_first;                 // no statement of the transaction yet
    bool replies_suppressed;
    bool replies_held;
    struct buffer held; // replies to send once they are no longer held
    char state; // I: idle, T: in a transaction, E: in a failed transaction
    bool is_read_only;
    struct prepared prepared[MAX_PREPARED];
    size_t prepared_count;
    struct write writes[8]; // writes of the open transaction
    size_t writes_count;
};

struct upstream {
    int listen_fd;
    int port;
    int announced_port;
    bool is_down;
    bool replication_paused;
    bool replies_suppressed;
    bool replies_held;
    uint64_t term;
    size_t received; // number of log entries received
    size_t applied;  // number of log entries applied
    unsigned incarnation;
    int64_t deadline_us; // end of the time for requests; 0: none
};

// Last arrival of a statement with an id.
struct arrival {
    char id[PLATFORM_ID_SIZE];
    char sender[PLATFORM_ID_SIZE];
    char *text;
    size_t text_size;
    int64_t at_us;
};

struct platform {
    const char *service;
    int first_id;          // number in the id of upstream 0
    struct platform *next; // another database, for POST /failover
    pthread_t thread;
    pthread_mutex_t mutex;
    bool stopping;
    int promote_fd;
    int promote_port;
    struct upstream upstreams[PLATFORM_UPSTREAMS];
    struct conn *conns[MAX_CONNS];
    size_t conns_count;
    struct write log[MAX_WRITES]; // shared by all upstreams
    int primary;
    uint64_t term;
    uint64_t last_fencing_token;
    int protocol_errors;
    struct platform_late late[PLATFORM_MAX_LATE];
    int late_count;
    struct arrival arrivals[PLATFORM_MAX_ARRIVALS];
    int arrivals_count;
    char misnamed[PLATFORM_MISNAMED_SIZE]; // first one
    int misnamed_count;
    const char *forbidden_text; // or NULL
    int forbidden_count;
};

// Opens a listener on a port. Returns -1 if another process has taken it.
static int
try_listener(int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    INVARIANT(fd >= 0);
    (void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0 &&
        listen(fd, LISTEN_BACKLOG) == 0) {
        return fd;
    }
    INVARIANT(errno == EADDRINUSE);
    close(fd);
    return -1;
}

// Opens a listener on a free port, outside of the range from which outgoing
// connections get theirs.
static int
open_listener(int *port)
{
    int fd = -1;

    for (int i = 0; fd < 0 && i < LISTEN_ATTEMPTS; i++) {
        *port = process_get_free_port();
        fd = try_listener(*port);
    }
    INVARIANT(fd >= 0);
    return fd;
}

// Stops listening and keeps the port, which no other process gets meanwhile:
// without SO_REUSEADDR here, a port is not shared.
static void
close_listener(int fd)
{
    int off = 0;

    (void)shutdown(fd, SHUT_RDWR); // of one that does not listen fails
    (void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &off, sizeof(off));
}

// Listens again, beside what is left of earlier connections.
static void
reopen_listener(int fd)
{
    int on = 1;

    (void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    INVARIANT(listen(fd, LISTEN_BACKLOG) == 0);
}

static void
send_bytes(struct conn *conn, const char *data, size_t size)
{
    if (conn->replies_suppressed) {
        return;
    }
    if (conn->replies_held) {
        buffer_append(&conn->held, data, size);
        return;
    }
    (void)!send(conn->fd, data, size, MSG_NOSIGNAL);
}

static void send_reply(struct conn *conn, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

static void
send_reply(struct conn *conn, const char *format, ...)
{
    char text[1024];
    va_list args;

    va_start(args, format);
    int size = vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    INVARIANT(size >= 0 && (size_t)size < sizeof(text));
    send_bytes(conn, text, (size_t)size);
}

static void
send_ready(const struct platform *platform, struct conn *conn)
{
    const struct upstream *up = &platform->upstreams[conn->upstream];

    send_reply(conn, "READY %c %" PRIu64 ".%zu\r\n", conn->state, up->term,
               up->applied);
}

static void
send_error(const struct platform *platform, struct conn *conn,
           const char *code)
{
    send_reply(conn, "ERROR %s no\r\n", code);
    send_ready(platform, conn);
}

// Brings each running replica to the primary's position, except those whose
// replication is paused.
static void
replicate(struct platform *platform)
{
    const struct upstream *primary = &platform->upstreams[platform->primary];

    for (int i = 0; i < PLATFORM_UPSTREAMS; i++) {
        struct upstream *up = &platform->upstreams[i];
        if (i != platform->primary && !up->replication_paused &&
            !up->is_down) {
            up->received = up->applied = primary->applied;
            up->term = primary->term;
        }
    }
}

static void
commit(struct platform *platform, struct conn *conn)
{
    struct upstream *up = &platform->upstreams[conn->upstream];

    for (size_t i = 0; i < conn->writes_count; i++) {
        INVARIANT(up->applied < MAX_WRITES);
        platform->log[up->applied++] = conn->writes[i];
        up->received = up->applied;
    }
    conn->writes_count = 0;
    replicate(platform);
}

static const struct write *
find_write(const struct platform *platform, const struct upstream *up,
           const char *item)
{
    static const struct write none = {.value = "-", .value_size = 1};

    for (size_t i = up->applied; i > 0; i--) {
        if (strcmp(platform->log[i - 1].item, item) == 0) {
            return &platform->log[i - 1];
        }
    }
    return &none;
}

// Runs a read or a write; text is its item and its data.
static void
run_statement(struct platform *platform, struct conn *conn, const char *id,
              bool writes, const char *text, size_t size)
{
    struct upstream *up = &platform->upstreams[conn->upstream];
    struct write write = {0};

    const char *blank = memchr(text, ' ', size);
    size_t item_size = blank == NULL ? size : (size_t)(blank - text);
    const char *data = blank == NULL ? text + size : blank + 1;
    (void)snprintf(write.item, sizeof(write.item), "%.*s", (int)item_size,
                   text);
    write.value_size = (size_t)(text + size - data);
    if (write.value_size >= sizeof(write.value)) {
        write.value_size = sizeof(write.value) - 1;
    }
    memcpy(write.value, data, write.value_size);
    if (writes && conn->upstream != platform->primary) {
        conn->state = conn->state == 'T' ? 'E' : conn->state;
        send_error(platform, conn, "READONLY");
        return;
    }
    if (writes) {
        INVARIANT(conn->writes_count < 8);
        conn->writes[conn->writes_count++] = write;
        if (conn->state == 'I') {
            commit(platform, conn);
        }
        send_reply(conn, "COMPLETE sig-%s\r\n", id);
    }
    else {
        const struct write *found = find_write(platform, up, write.item);
        struct buffer row = {0};
        buffer_append_text(&row, "DATAROW ");
        buffer_append(&row, found->value, found->value_size);
        buffer_append_format(&row, "\r\nCOMPLETE sig-%s\r\n", id);
        send_bytes(conn, (const char *)buffer_get_data(&row),
                   buffer_get_size(&row));
        buffer_free(&row);
    }
    send_ready(platform, conn);
}

static void
run_execute(struct platform *platform, struct conn *conn, const char *id,
            const char *text, size_t size)
{
    char name[64] = "";

    (void)sscanf(text, "%63s", name);
    for (size_t i = 0; i < conn->prepared_count; i++) {
        if (strcmp(conn->prepared[i].text, name) == 0) {
            const char *rest = memchr(text, ' ', size);
            rest = rest == NULL ? text + size : rest + 1;
            run_statement(platform, conn, id, conn->prepared[i].writes, rest,
                          (size_t)(text + size - rest));
            return;
        }
    }
    platform->protocol_errors++;
    send_error(platform, conn, "NOSTMT");
}

// Returns whether the upstream has applied the position in a statement's
// optional prefix "AFTER <term>.<position>". Moves *text past the prefix.
static bool
is_position_applied(const struct upstream *up, const char **text)
{
    uint64_t term = 0;
    size_t number = 0;
    int size = 0;

    if (sscanf(*text, "AFTER %" SCNu64 ".%zu %n", &term, &number, &size) !=
        2) {
        return true;
    }
    *text += size;
    return term <= up->term && number <= up->applied;
}

static void
run_status(struct platform *platform, struct conn *conn)
{
    const struct upstream *up = &platform->upstreams[conn->upstream];

    send_reply(conn, "DATAROW %s %" PRIu64 " %" PRIu64 ".%zu 0 1 0 1\r\n",
               conn->upstream == platform->primary ? "primary" : "replica",
               up->term, up->term, up->received);
    send_reply(conn, "COMPLETE -\r\n");
    send_ready(platform, conn);
}

static void
run_session_command(struct platform *platform, struct conn *conn,
                    const char *text)
{
    if (strncmp(text, "RESET", 5) == 0) {
        conn->prepared_count = 0;
    }
    else if (strncmp(text, "PREPARE ", 8) == 0) {
        char kind[16] = "";
        struct prepared *prepared = &conn->prepared[conn->prepared_count++];
        INVARIANT(conn->prepared_count < MAX_PREPARED);
        (void)sscanf(text, "PREPARE %63s %15s", prepared->text, kind);
        prepared->writes = strcmp(kind, "WRITE") == 0;
    }
    else if (strncmp(text, "BEGIN", 5) == 0) {
        conn->is_read_only = strcmp(text, "BEGIN READ") == 0;
        if (!conn->is_read_only && conn->upstream != platform->primary) {
            send_error(platform, conn, "READONLY");
            return;
        }
        conn->state = 'T';
        conn->is_first = true;
    }
    else if (strncmp(text, "ROLLBACK", 8) == 0) {
        conn->writes_count = 0;
        conn->state = 'I';
    }
    send_reply(conn, "COMPLETE -\r\n");
    send_ready(platform, conn);
}

static struct arrival *
find_arrival(struct platform *platform, const char *id)
{
    for (int i = 0; i < platform->arrivals_count; i++) {
        if (strcmp(platform->arrivals[i].id, id) == 0) {
            return &platform->arrivals[i];
        }
    }
    return NULL;
}

static void
record_arrival(struct platform *platform, const struct conn *conn,
               const char *id, const char *text, size_t size, int64_t now_us)
{
    struct arrival *arrival = find_arrival(platform, id);

    if (arrival == NULL && platform->arrivals_count < PLATFORM_MAX_ARRIVALS) {
        arrival = &platform->arrivals[platform->arrivals_count++];
        (void)snprintf(arrival->id, sizeof(arrival->id), "%s", id);
    }
    if (arrival != NULL) {
        arrival->at_us = now_us;
        free(arrival->text);
        arrival->text = xmemdupz(text, size);
        arrival->text_size = size;
        memcpy(arrival->sender, conn->sender, sizeof(arrival->sender));
    }
}

// Counts a statement whose id calls for another user name.
static void
check_name(struct platform *platform, const struct conn *conn, const char *id)
{
    const char *dot = strchr(id, '.');

    if (dot == NULL || strncmp(conn->sender, dot + 1, strlen(dot + 1)) == 0) {
        return;
    }
    if (platform->misnamed_count++ == 0) {
        (void)snprintf(platform->misnamed, sizeof(platform->misnamed),
                       "%.63s by %s", id, conn->sender);
    }
}

// Records a client's statement that arrives after the upstream's deadline.
// Only a single statement and the first one of a transaction count. Statements
// that the system issues itself carry the id "-".
static void
check_deadline(struct platform *platform, struct conn *conn, const char *id,
               const char *text, size_t size)
{
    int64_t deadline_us = platform->upstreams[conn->upstream].deadline_us;
    int64_t now_us = monotonic_get_us();
    bool counts = conn->state == 'I' || conn->is_first;

    if (strcmp(id, "-") == 0) {
        return;
    }
    record_arrival(platform, conn, id, text, size, now_us);
    check_name(platform, conn, id);
    conn->is_first = false;
    if (!counts || deadline_us == 0 || now_us <= deadline_us ||
        platform->late_count == PLATFORM_MAX_LATE) {
        return;
    }
    struct platform_late *late = &platform->late[platform->late_count++];
    late->upstream = conn->upstream;
    late->arrived_us = now_us;
    late->deadline_us = deadline_us;
    (void)snprintf(late->id, sizeof(late->id), "%s", id);
    (void)snprintf(late->sender, sizeof(late->sender), "%s", conn->sender);
}

static void
run_query(struct platform *platform, struct conn *conn, char *line,
          const char *end)
{
    char *text = strchr(line, ' ');
    const char *statement = NULL;

    INVARIANT(text != NULL);
    *text++ = '\0';
    statement = text;
    check_deadline(platform, conn, line, text, (size_t)(end - text));
    if (!is_position_applied(&platform->upstreams[conn->upstream],
                             &statement)) {
        send_error(platform, conn, "LAGGING");
    }
    else if (strcmp(statement, "STATUS") == 0) {
        run_status(platform, conn);
    }
    else if (strncmp(statement, "READ ", 5) == 0) {
        run_statement(platform, conn, line, false, statement + 5,
                      (size_t)(end - statement - 5));
    }
    else if (strncmp(statement, "WRITE ", 6) == 0) {
        run_statement(platform, conn, line, true, statement + 6,
                      (size_t)(end - statement - 6));
    }
    else if (strncmp(statement, "EXECUTE ", 8) == 0) {
        run_execute(platform, conn, line, statement + 8,
                    (size_t)(end - statement - 8));
    }
    else if (strcmp(statement, "COMMIT") == 0) {
        platform->protocol_errors += conn->state == 'I' ? 1 : 0;
        conn->state = 'I';
        commit(platform, conn);
        send_reply(conn, "COMPLETE sig-%s\r\n", line);
        send_ready(platform, conn);
    }
    else {
        run_session_command(platform, conn, statement);
    }
}

static void
run_line(struct platform *platform, struct conn *conn, char *line, size_t size)
{
    char service[32];
    char id[32];

    if (platform->forbidden_text != NULL &&
        memmem(line, size, platform->forbidden_text,
               strlen(platform->forbidden_text)) != NULL) {
        platform->forbidden_count++;
    }
    conn->replies_suppressed =
        platform->upstreams[conn->upstream].replies_suppressed;
    conn->replies_held = platform->upstreams[conn->upstream].replies_held &&
                         strncmp(line, "QUERY ", 6) == 0 &&
                         strncmp(line, "QUERY - ", 8) != 0;
    (void)snprintf(service, sizeof(service), "STARTUP %s ", platform->service);
    (void)snprintf(id, sizeof(id), " i-%d",
                   platform->first_id + conn->upstream);
    if (strncmp(line, "QUERY ", 6) == 0 && conn->started) {
        run_query(platform, conn, line + 6, line + size);
    }
    else if (strncmp(line, service, strlen(service)) == 0 &&
             strstr(line, id) != NULL) {
        (void)sscanf(line + strlen(service), "%63s", conn->sender);
        conn->started = true;
        conn->state = 'I';
        send_ready(platform, conn);
    }
    else {
        send_reply(conn, "ERROR MISROUTED no\r\n");
    }
}

// Promotes an upstream in the next term with the log entries that it has
// received. Promoting the primary changes nothing. Returns whether the
// upstream runs.
static bool
promote(struct platform *platform, int upstream, uint64_t fencing_token)
{
    struct upstream *up = &platform->upstreams[upstream];

    platform->last_fencing_token = fencing_token;
    if (up->is_down) {
        return false;
    }
    if (upstream != platform->primary) {
        platform->primary = upstream;
        up->term = ++platform->term;
        up->applied = up->received;
    }
    return true;
}

// Promotes the upstream with an id, in the database that has it. The caller
// holds the mutex of the first database only.
static bool
promote_id(struct platform *first, int id, uint64_t fencing_token)
{
    struct platform *platform = first;

    while (platform != NULL &&
           (id < platform->first_id ||
            id >= platform->first_id + PLATFORM_UPSTREAMS)) {
        platform = platform->next;
    }
    if (platform == NULL) {
        return false;
    }
    if (platform == first) {
        return promote(platform, id - platform->first_id, fencing_token);
    }
    pthread_mutex_lock(&platform->mutex);
    bool promoted = promote(platform, id - platform->first_id, fencing_token);
    pthread_mutex_unlock(&platform->mutex);
    return promoted;
}

// Handles POST /failover: promotes the named upstream. An upstream that is
// down gets status 409. Returns false while the request is incomplete.
static bool
handle_failover_call(struct platform *platform, struct conn *conn)
{
    buffer_append_u8(&conn->in, 0);
    conn->in.end--;
    char *text = (char *)conn->in.data + conn->in.start;
    const char *fencing_token = strstr(text, "Fencing-Token: ");
    const char *id = strstr(text, "\"id\":\"i-");

    if (id == NULL || fencing_token == NULL) {
        return false;
    }
    if (promote_id(platform, atoi(id + 8),
                   strtoull(fencing_token + 15, NULL, 10))) {
        send_reply(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    }
    else {
        send_reply(conn, "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n");
    }
    return true;
}

// Reads from a connection and runs the complete lines. Returns false if the
// connection is to be closed.
static bool
handle_input(struct platform *platform, struct conn *conn)
{
    uint8_t *tail = buffer_reserve(&conn->in, 4096);
    ssize_t size = recv(conn->fd, tail, 4095, 0);

    if (size <= 0) {
        return false;
    }
    conn->in.end += (size_t)size;
    if (conn->upstream == NO_UPSTREAM) {
        return !handle_failover_call(platform, conn);
    }
    for (;;) {
        size_t left = buffer_get_size(&conn->in);
        char *data = (char *)conn->in.data + conn->in.start;
        char *end = left == 0 ? NULL : memmem(data, left, "\r\n", 2);
        if (end == NULL) {
            return true;
        }
        *end = '\0';
        platform->protocol_errors += end - data > MAX_MESSAGE_BYTES ? 1 : 0;
        run_line(platform, conn, data, (size_t)(end - data));
        buffer_consume(&conn->in, (size_t)(end - data) + 2);
    }
}

static void
close_conn(struct platform *platform, size_t index)
{
    struct conn *conn = platform->conns[index];

    close(conn->fd);
    buffer_free(&conn->in);
    buffer_free(&conn->held);
    free(conn);
    platform->conns[index] = platform->conns[--platform->conns_count];
}

static void
accept_conn(struct platform *platform, int listen_fd, int upstream)
{
    int fd = accept(listen_fd, NULL, NULL);

    if (fd < 0 || platform->conns_count == MAX_CONNS) {
        return;
    }
    struct conn *conn = xcalloc(1, sizeof(*conn));
    conn->fd = fd;
    conn->upstream = upstream;
    platform->conns[platform->conns_count++] = conn;
}

static size_t
fill_poll(const struct platform *platform, struct pollfd *fds)
{
    size_t count = 0;

    fds[count++] = (struct pollfd){platform->promote_fd, POLLIN, 0};
    for (int i = 0; i < PLATFORM_UPSTREAMS; i++) {
        const struct upstream *up = &platform->upstreams[i];
        fds[count++] =
            (struct pollfd){up->is_down ? -1 : up->listen_fd, POLLIN, 0};
    }
    for (size_t i = 0; i < platform->conns_count; i++) {
        fds[count++] = (struct pollfd){platform->conns[i]->fd, POLLIN, 0};
    }
    return count;
}

static void
handle_poll(struct platform *platform, const struct pollfd *fds, size_t count)
{
    for (size_t i = count; i > PLATFORM_UPSTREAMS + 1; i--) {
        size_t index = i - 1 - PLATFORM_UPSTREAMS - 1;
        if (index < platform->conns_count &&
            platform->conns[index]->fd == fds[i - 1].fd &&
            fds[i - 1].revents != 0 &&
            !handle_input(platform, platform->conns[index])) {
            close_conn(platform, index);
        }
    }
    if (fds[0].revents != 0) {
        accept_conn(platform, platform->promote_fd, NO_UPSTREAM);
    }
    for (int i = 0; i < PLATFORM_UPSTREAMS; i++) {
        if (fds[i + 1].revents != 0 && !platform->upstreams[i].is_down) {
            accept_conn(platform, platform->upstreams[i].listen_fd, i);
        }
    }
}

static void *
run(void *data)
{
    struct platform *platform = data;
    struct pollfd fds[MAX_CONNS + PLATFORM_UPSTREAMS + 1];

    pthread_mutex_lock(&platform->mutex);
    while (!platform->stopping) {
        size_t count = fill_poll(platform, fds);
        pthread_mutex_unlock(&platform->mutex);
        (void)poll(fds, count, POLL_MS);
        pthread_mutex_lock(&platform->mutex);
        handle_poll(platform, fds, count);
    }
    pthread_mutex_unlock(&platform->mutex);
    return NULL;
}

struct platform *
platform_start(const char *service, int first_id)
{
    struct platform *platform = xcalloc(1, sizeof(*platform));

    platform->service = service;
    platform->first_id = first_id;
    pthread_mutex_init(&platform->mutex, NULL);
    platform->term = 1;
    platform->promote_fd = open_listener(&platform->promote_port);
    for (int i = 0; i < PLATFORM_UPSTREAMS; i++) {
        platform->upstreams[i].term = 1;
        platform->upstreams[i].listen_fd =
            open_listener(&platform->upstreams[i].port);
        platform->upstreams[i].announced_port = platform->upstreams[i].port;
    }
    INVARIANT(pthread_create(&platform->thread, NULL, run, platform) == 0);
    return platform;
}

void
platform_stop(struct platform *platform)
{
    pthread_mutex_lock(&platform->mutex);
    platform->stopping = true;
    pthread_mutex_unlock(&platform->mutex);
    pthread_join(platform->thread, NULL);
    while (platform->conns_count > 0) {
        close_conn(platform, 0);
    }
    close(platform->promote_fd);
    for (int i = 0; i < PLATFORM_UPSTREAMS; i++) {
        close(platform->upstreams[i].listen_fd);
    }
    for (int i = 0; i < platform->arrivals_count; i++) {
        free(platform->arrivals[i].text);
    }
    pthread_mutex_destroy(&platform->mutex);
    free(platform);
}

void
platform_add_database(struct platform *first, struct platform *platform)
{
    pthread_mutex_lock(&first->mutex);
    platform->next = first->next;
    first->next = platform;
    pthread_mutex_unlock(&first->mutex);
}

int
platform_get_promote_port(const struct platform *platform)
{
    return platform->promote_port;
}

void
platform_stop_upstream(struct platform *platform, int upstream)
{
    struct upstream *up = &platform->upstreams[upstream];

    pthread_mutex_lock(&platform->mutex);
    up->is_down = true;
    close_listener(up->listen_fd);
    for (size_t i = platform->conns_count; i > 0; i--) {
        if (platform->conns[i - 1]->upstream == upstream) {
            close_conn(platform, i - 1);
        }
    }
    pthread_mutex_unlock(&platform->mutex);
}

void
platform_restart_upstream(struct platform *platform, int upstream)
{
    struct upstream *up = &platform->upstreams[upstream];

    // A poll() that has begun may tell of a connection that ended with the
    // listener.
    usleep(2 * POLL_MS * 1000);
    pthread_mutex_lock(&platform->mutex);
    up->is_down = false;
    reopen_listener(up->listen_fd);
    replicate(platform);
    pthread_mutex_unlock(&platform->mutex);
}

void
platform_begin_incarnation(struct platform *platform, int upstream)
{
    pthread_mutex_lock(&platform->mutex);
    platform->upstreams[upstream].incarnation++;
    pthread_mutex_unlock(&platform->mutex);
}

void
platform_set_deadline(struct platform *platform, int upstream,
                      int64_t deadline_us)
{
    pthread_mutex_lock(&platform->mutex);
    platform->upstreams[upstream].deadline_us = deadline_us;
    pthread_mutex_unlock(&platform->mutex);
}

int64_t
platform_get_arrival_us(struct platform *platform, const char *id)
{
    pthread_mutex_lock(&platform->mutex);
    const struct arrival *arrival = find_arrival(platform, id);
    int64_t at_us = arrival == NULL ? 0 : arrival->at_us;
    pthread_mutex_unlock(&platform->mutex);
    return at_us;
}

char *
platform_get_arrival_bytes(struct platform *platform, const char *id,
                           size_t *size_bytes)
{
    pthread_mutex_lock(&platform->mutex);
    const struct arrival *arrival = find_arrival(platform, id);
    char *text =
        arrival == NULL ? NULL : xmemdupz(arrival->text, arrival->text_size);
    *size_bytes = arrival == NULL ? 0 : arrival->text_size;
    pthread_mutex_unlock(&platform->mutex);
    return text;
}

char *
platform_get_arrival_text(struct platform *platform, const char *id)
{
    size_t size_bytes = 0;

    return platform_get_arrival_bytes(platform, id, &size_bytes);
}

bool
platform_get_arrival_sender(struct platform *platform, const char *id,
                            char sender[PLATFORM_ID_SIZE])
{
    pthread_mutex_lock(&platform->mutex);
    const struct arrival *arrival = find_arrival(platform, id);
    if (arrival != NULL) {
        memcpy(sender, arrival->sender, PLATFORM_ID_SIZE);
    }
    pthread_mutex_unlock(&platform->mutex);
    return arrival != NULL;
}

int
platform_get_misnamed(struct platform *platform,
                      char text[PLATFORM_MISNAMED_SIZE])
{
    pthread_mutex_lock(&platform->mutex);
    memcpy(text, platform->misnamed, PLATFORM_MISNAMED_SIZE);
    int count = platform->misnamed_count;
    pthread_mutex_unlock(&platform->mutex);
    return count;
}

void
platform_forbid_text(struct platform *platform, const char *text)
{
    pthread_mutex_lock(&platform->mutex);
    platform->forbidden_text = text;
    pthread_mutex_unlock(&platform->mutex);
}

int
platform_count_forbidden(struct platform *platform)
{
    pthread_mutex_lock(&platform->mutex);
    int count = platform->forbidden_count;
    pthread_mutex_unlock(&platform->mutex);
    return count;
}

int
platform_get_late(struct platform *platform, struct platform_late *late)
{
    pthread_mutex_lock(&platform->mutex);
    int count = platform->late_count;
    memcpy(late, platform->late, sizeof(platform->late));
    pthread_mutex_unlock(&platform->mutex);
    return count;
}

void
platform_pause_replication(struct platform *platform, int upstream,
                           bool paused)
{
    pthread_mutex_lock(&platform->mutex);
    platform->upstreams[upstream].replication_paused = paused;
    replicate(platform);
    pthread_mutex_unlock(&platform->mutex);
}

void
platform_suppress_replies(struct platform *platform, int upstream)
{
    pthread_mutex_lock(&platform->mutex);
    platform->upstreams[upstream].replies_suppressed = true;
    pthread_mutex_unlock(&platform->mutex);
}

// Sends the held replies of a connection.
static void
send_held_replies(struct conn *conn)
{
    (void)!send(conn->fd, buffer_get_data(&conn->held),
                buffer_get_size(&conn->held), MSG_NOSIGNAL);
    buffer_free(&conn->held);
}

void
platform_hold_replies(struct platform *platform, int upstream, bool held)
{
    pthread_mutex_lock(&platform->mutex);
    platform->upstreams[upstream].replies_held = held;
    for (size_t i = 0; !held && i < platform->conns_count; i++) {
        if (platform->conns[i]->upstream == upstream) {
            send_held_replies(platform->conns[i]);
        }
    }
    pthread_mutex_unlock(&platform->mutex);
}

size_t
platform_count_held_replies(struct platform *platform)
{
    size_t count = 0;

    pthread_mutex_lock(&platform->mutex);
    for (size_t i = 0; i < platform->conns_count; i++) {
        count += buffer_get_size(&platform->conns[i]->held) > 0 ? 1 : 0;
    }
    pthread_mutex_unlock(&platform->mutex);
    return count;
}

int
platform_get_primary(struct platform *platform)
{
    pthread_mutex_lock(&platform->mutex);
    int primary = platform->primary;
    pthread_mutex_unlock(&platform->mutex);
    return primary;
}

uint64_t
platform_get_last_fencing_token(struct platform *platform)
{
    pthread_mutex_lock(&platform->mutex);
    uint64_t fencing_token = platform->last_fencing_token;
    pthread_mutex_unlock(&platform->mutex);
    return fencing_token;
}

int
platform_get_protocol_errors(struct platform *platform)
{
    pthread_mutex_lock(&platform->mutex);
    int protocol_errors = platform->protocol_errors;
    pthread_mutex_unlock(&platform->mutex);
    return protocol_errors;
}

int
platform_count_writes(struct platform *platform, const char *value)
{
    int count = 0;

    pthread_mutex_lock(&platform->mutex);
    const struct upstream *up = &platform->upstreams[platform->primary];
    for (size_t i = 0; i < up->applied; i++) {
        count += strcmp(platform->log[i].value, value) == 0 ? 1 : 0;
    }
    pthread_mutex_unlock(&platform->mutex);
    return count;
}

int
platform_get_port(const struct platform *platform, int upstream)
{
    return platform->upstreams[upstream].port;
}

void
platform_set_announced_port(struct platform *platform, int upstream, int port)
{
    platform->upstreams[upstream].announced_port = port;
}

void
platform_format_announcement(struct platform *platform, int upstream,
                             bool leaving, char *body, size_t size)
{
    static atomic_uint_fast64_t sequence;
    const struct upstream *up = &platform->upstreams[upstream];

    (void)snprintf(
        body, size,
        "{\"service\":\"%s\",\"addr\":\"127.0.0.1:%d\","
        "\"zone\":\"noord\",\"version\":\"v1\",\"slots\":5,"
        "\"state\":\"%s\",\"dbRole\":\"replica\",\"seq\":%" PRIu64
        ",\"born\":%u}",
        platform->service, up->announced_port, leaving ? "draining" : "ready",
        (uint64_t)atomic_fetch_add(&sequence, 1) + 1, 1000 + up->incarnation);
}

static size_t
append_body(char *data, size_t size, size_t count, void *user)
{
    buffer_append(user, data, size * count);
    return size * count;
}

char *
platform_call_http(const char *method, const char *url, const char *body,
                   long timeout_ms, long *status)
{
    struct buffer reply = {0};
    CURL *curl = curl_easy_init();
    struct curl_slist *headers =
        curl_slist_append(NULL, "Content-Type: application/json");

    *status = 0;
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, timeout_ms);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &reply);
    if (body != NULL) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
    }
    if (curl_easy_perform(curl) == CURLE_OK) {
        curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, status);
    }
    curl_slist_free_all(headers);
    curl_easy_cleanup(curl);
    buffer_append_u8(&reply, 0);
    return (char *)reply.data;
}

int
platform_connect(int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    struct timeval limit = {.tv_sec = 20};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

void
platform_send_line(int fd, const char *line)
{
    (void)!send(fd, line, strlen(line), MSG_NOSIGNAL);
    (void)!send(fd, "\r\n", 2, MSG_NOSIGNAL);
}

char *
platform_receive_reply(int fd)
{
    struct buffer reply = {0};

    for (;;) {
        uint8_t *tail = buffer_reserve(&reply, 1024);
        ssize_t size = recv(fd, tail, 1023, 0);
        if (size <= 0) {
            bool empty = buffer_get_size(&reply) == 0;
            buffer_append_u8(&reply, 0);
            if (empty) {
                buffer_free(&reply);
                return NULL;
            }
            return (char *)reply.data;
        }
        reply.end += (size_t)size;
        reply.data[reply.end] = 0;
        const char *ready = strstr((const char *)reply.data, "READY ");
        if (ready != NULL && strchr(ready, '\n') != NULL) {
            return (char *)reply.data;
        }
    }
}

char *
platform_send_request(int fd, const char *line)
{
    platform_send_line(fd, line);
    return platform_receive_reply(fd);
}

char *
platform_receive_rest(int fd)
{
    struct buffer text = {0};
    ssize_t size = 0;

    do {
        uint8_t *tail = buffer_reserve(&text, 1024);
        size = recv(fd, tail, 1023, 0);
        text.end += size > 0 ? (size_t)size : 0;
    } while (size > 0);
    buffer_append_u8(&text, 0);
    return (char *)text.data;
}
