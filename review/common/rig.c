#define _GNU_SOURCE
#include "rig.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define RUNS_MAX          400000
#define HEARTBEAT_MS      1200
#define PROMOTE_MS        600
#define FOLLOW_MS         1000
#define MAX_CONNS         30
#define DAEMONS           (RIG_CONTROLS + RIG_ENTRIES)
#define HTTP_TIMEOUT_MS   1000
#define CLIENT_TIMEOUT_MS 20000

struct rig rig;

static pthread_mutex_t mutex;
static FILE *record;
static int64_t started_ms;
static char folder[128];
static char net[24]; // first three bytes of the addresses of this run
static pid_t daemons[DAEMONS];
static int control_http_port;
static int rpc_port;
static int relay_port;
static int front_port;
static int ready_port;
static int promote_port;
static int promote_fd;
static pid_t owner;

void
rig_lock(void)
{
    pthread_mutex_lock(&mutex);
}

void
rig_unlock(void)
{
    pthread_mutex_unlock(&mutex);
}

static int64_t
clock_ms(clockid_t clock)
{
    struct timespec now;

    clock_gettime(clock, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t
rig_now_ms(void)
{
    return clock_ms(CLOCK_MONOTONIC) - started_ms;
}

void
rig_sleep_ms(int64_t ms)
{
    struct timespec span = {ms / 1000, (ms % 1000) * 1000000};

    while (nanosleep(&span, &span) != 0 && errno == EINTR) {
    }
}

void
rig_note(const char *format, ...)
{
    char text[2048];
    va_list args;

    va_start(args, format);
    (void)vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    for (char *byte = text; *byte != '\0'; byte++) {
        if (*byte == '\r' || *byte == '\n') {
            *byte = *byte == '\r' ? ' ' : '|';
        }
    }
    flockfile(record);
    fprintf(record, "%9.3f s  %s\n", (double)rig_now_ms() / 1000, text);
    fflush(record);
    funlockfile(record);
}

static void
end_daemons(void)
{
    for (int i = 0; i < DAEMONS; i++) {
        if (daemons[i] > 0) {
            kill(daemons[i], SIGCONT);
            kill(daemons[i], SIGKILL);
            waitpid(daemons[i], NULL, 0);
        }
    }
}

// Removes the temporary folder, whose contents this process has created.
static void
remove_folder(void)
{
    char path[300];

    if (folder[0] == '\0') {
        return;
    }
    pid_t pid = fork();
    if (pid == 0) {
        execlp("rm", "rm", "-rf", "--", folder, (char *)NULL);
        _exit(1);
    }
    waitpid(pid, NULL, 0);
    (void)path;
}

void
rig_end(int status, const char *reason)
{
    rig_note("end: %s (%s)",
             status == 0   ? "the rule held"
             : status == 1 ? "THE RULE WAS BROKEN"
                           : "the case could not run",
             reason);
    printf("%s: %s\n",
           status == 0   ? "held"
           : status == 1 ? "broken"
                         : "could not run",
           reason);
    end_daemons();
    if (getenv("KEEP") == NULL) {
        remove_folder();
    }
    else {
        printf("logs: %s\n", folder);
    }
    fflush(NULL);
    _exit(status);
}

static void
fail(const char *what)
{
    rig_end(2, what);
}

// ---- sockets ----

static void
set_address(struct sockaddr_in *address, const char *ip, int port)
{
    memset(address, 0, sizeof(*address));
    address->sin_family = AF_INET;
    address->sin_port = htons((uint16_t)port);
    inet_pton(AF_INET, ip, &address->sin_addr);
}

static const char *
host_ip(int last, char *out)
{
    (void)sprintf(out, "%s.%d", net, last);
    return out;
}

// Hosts: 1..3 control, 11.. entries, 21.. backends, 31 platform.
static int
daemon_host(int daemon)
{
    return daemon < RIG_CONTROLS ? 1 + daemon : 11 + daemon - RIG_CONTROLS;
}

static int
listen_at(const char *ip, int port)
{
    struct sockaddr_in address;
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    set_address(&address, ip, port);
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(fd, 128) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

static int
get_port(int fd)
{
    struct sockaddr_in address;
    socklen_t size = sizeof(address);

    getsockname(fd, (struct sockaddr *)&address, &size);
    return ntohs(address.sin_port);
}

static int
find_free_port(const char *ip, int type)
{
    struct sockaddr_in address;
    int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);

    set_address(&address, ip, 0);
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        fail("no free port");
    }
    int port = get_port(fd);
    close(fd);
    return port;
}

static int
connect_to(const char *ip, int port, int timeout_ms)
{
    struct sockaddr_in address;
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

    set_address(&address, ip, port);
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    struct pollfd wait = {fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof(error);
    if (poll(&wait, 1, timeout_ms) != 1 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
        close(fd);
        return -1;
    }
    fcntl(fd, F_SETFL, 0);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

bool
rig_send(int fd, const char *bytes, size_t size)
{
    while (size > 0) {
        ssize_t sent = send(fd, bytes, size, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes += sent;
        size -= (size_t)sent;
    }
    return true;
}

// ---- backends ----

// Returns the present primary of a service as the platform knows it: the
// running one of the highest term.
static struct rig_backend *
find_leader(const char *service)
{
    struct rig_backend *leader = NULL;

    for (int i = 0; i < rig.backends_count; i++) {
        struct rig_backend *backend = &rig.backends[i];
        if (strcmp(backend->service, service) == 0 && backend->is_primary &&
            (leader == NULL || backend->term > leader->term)) {
            leader = backend;
        }
    }
    return leader;
}

// Truncates a replica's log to what it shares with the primary's.
static void
roll_back(struct rig_backend *backend, const struct rig_backend *primary)
{
    size_t same = 0;

    while (same < backend->received && same < primary->received &&
           backend->log[same].term == primary->log[same].term &&
           strcmp(backend->log[same].id, primary->log[same].id) == 0) {
        same++;
    }
    backend->received = same;
    if (backend->applied > same) {
        backend->applied = same;
    }
}

// Moves commits from the primary to a replica, and applies what is due.
static void
replicate(struct rig_backend *backend, int64_t now)
{
    struct rig_backend *primary = find_leader(backend->service);

    if (backend->is_down) {
        return;
    }
    if (backend->is_primary) {
        // An old primary follows a second after it can reach the new one.
        return;
    }
    if (primary != NULL && !primary->is_down && !backend->is_deaf) {
        if (backend->term < primary->term) {
            roll_back(backend, primary);
            backend->term = primary->term;
        }
        while (backend->received < primary->received &&
               primary->log[backend->received].received_ms + backend->net_ms <=
                   now) {
            backend->log[backend->received] = primary->log[backend->received];
            backend->log[backend->received].received_ms = now;
            backend->received++;
        }
    }
    while (backend->applied < backend->received &&
           backend->log[backend->applied].received_ms + backend->lag_ms <=
               now) {
        backend->applied++;
    }
}

static void
finish_promotion(struct rig_promotion *promotion, int64_t now)
{
    struct rig_backend *backend = &rig.backends[promotion->backend];
    struct rig_backend *old = find_leader(backend->service);
    uint64_t term = 0;

    promotion->done_ms = now;
    if (backend->is_down) {
        rig_note("the promotion of %s has no effect: it is down",
                 backend->id);
        return;
    }
    for (int i = 0; i < rig.backends_count; i++) {
        if (strcmp(rig.backends[i].service, backend->service) == 0 &&
            rig.backends[i].term > term) {
            term = rig.backends[i].term;
        }
    }
    backend->term = term + 1;
    backend->is_primary = true;
    backend->applied = backend->received;
    rig_note("%s leads term %" PRIu64 " with %zu commits (before: %s)",
             backend->id, backend->term, backend->received,
             old == NULL ? "-" : old->id);
    if (rig.on_promoted != NULL) {
        rig.on_promoted(promotion);
    }
}

static void *
run_ticks(void *data)
{
    int64_t reachable_ms[RIG_BACKENDS_MAX] = {0};

    (void)data;
    for (;;) {
        rig_lock();
        int64_t now = rig_now_ms();
        for (int i = 0; i < rig.promotions_count; i++) {
            struct rig_promotion *promotion = &rig.promotions[i];
            if (promotion->done_ms == 0 &&
                now - promotion->ordered_ms >= PROMOTE_MS) {
                finish_promotion(promotion, now);
            }
        }
        for (int i = 0; i < rig.backends_count; i++) {
            struct rig_backend *backend = &rig.backends[i];
            struct rig_backend *leader = find_leader(backend->service);
            bool is_old = backend->is_primary && leader != backend &&
                          !backend->is_down && !leader->is_down;
            if (!is_old) {
                reachable_ms[i] = now;
            }
            else if (now - reachable_ms[i] >= FOLLOW_MS) {
                backend->is_primary = false;
            }
            replicate(backend, now);
        }
        rig_unlock();
        rig_sleep_ms(1);
    }
    return NULL;
}

// ---- the wire, at a backend ----

struct statement {
    char item[64];
    char value[128];
    char id[64];
};

struct prepared {
    char name[64];
    bool writes;
};

struct backend_conn {
    int fd;
    struct rig_backend *backend;
    uint64_t generation;
    char who[64];
    bool is_control;
    char state;
    bool is_read_only;
    struct statement writes[16];
    size_t writes_count;
    struct prepared prepared[64];
    size_t prepared_count;
};

static bool
reply(struct backend_conn *conn, const char *format, ...)
{
    char text[1024];
    va_list args;

    va_start(args, format);
    int size = vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    return rig_send(conn->fd, text, (size_t)size);
}

// Returns whether the connection's process still runs, and can be reached.
static bool
is_served(const struct backend_conn *conn)
{
    return !conn->backend->is_down &&
           conn->generation == conn->backend->generation;
}

static bool
send_ready(struct backend_conn *conn)
{
    return reply(conn, "READY %c %" PRIu64 ".%zu\r\n", conn->state,
                 conn->backend->term, conn->backend->applied);
}

static bool
send_error(struct backend_conn *conn, const char *code)
{
    if (conn->state == 'T') {
        conn->state = 'E';
    }
    return reply(conn, "ERROR %s %s\r\n", code, conn->backend->id) &&
           send_ready(conn);
}

static void
note_run(struct backend_conn *conn, const char *id, const char *text)
{
    if (strcmp(id, "-") == 0 || rig.runs_count == RUNS_MAX) {
        return;
    }
    struct rig_run *run = &rig.runs[rig.runs_count++];
    run->at_ms = rig_now_ms();
    run->backend = conn->backend->index;
    run->applied = conn->backend->applied;
    (void)snprintf(run->id, sizeof(run->id), "%s", id);
    (void)snprintf(run->who, sizeof(run->who), "%s", conn->who);
    (void)snprintf(run->text, sizeof(run->text), "%s", text);
}

// Waits, without the lock, until a replica has received a commit. Returns
// false if the process ends before.
static bool
await_replica(struct backend_conn *conn, size_t number)
{
    struct rig_backend *backend = conn->backend;

    for (;;) {
        if (!is_served(conn) || !backend->is_primary) {
            return false;
        }
        for (int i = 0; i < rig.backends_count; i++) {
            const struct rig_backend *other = &rig.backends[i];
            if (other != backend &&
                strcmp(other->service, backend->service) == 0 &&
                !other->is_down && other->term == backend->term &&
                other->received >= number) {
                return true;
            }
        }
        rig_unlock();
        rig_sleep_ms(1);
        rig_lock();
    }
}

// Commits the writes of a connection. Returns false if the answer is lost with
// the process.
static bool
commit(struct backend_conn *conn)
{
    struct rig_backend *backend = conn->backend;

    for (size_t i = 0; i < conn->writes_count; i++) {
        struct rig_commit *entry = &backend->log[backend->received++];
        (void)snprintf(entry->id, sizeof(entry->id), "%s",
                       conn->writes[i].id);
        (void)snprintf(entry->item, sizeof(entry->item), "%s",
                       conn->writes[i].item);
        (void)snprintf(entry->value, sizeof(entry->value), "%s",
                       conn->writes[i].value);
        entry->term = backend->term;
        entry->received_ms = rig_now_ms();
    }
    size_t number = backend->received;
    bool has_written = conn->writes_count > 0;
    backend->applied = backend->received;
    conn->writes_count = 0;
    return !has_written || rig.sync_replicas == 0 ||
           await_replica(conn, number);
}

static const char *
find_value(const struct rig_backend *backend, const char *item)
{
    for (size_t i = backend->applied; i > 0; i--) {
        if (strcmp(backend->log[i - 1].item, item) == 0) {
            return backend->log[i - 1].value;
        }
    }
    return "-";
}

static bool
run_statement(struct backend_conn *conn, const char *id, bool writes,
              const char *arguments, const char *text)
{
    struct rig_backend *backend = conn->backend;
    struct statement statement = {0};

    (void)sscanf(arguments, "%63s %127s", statement.item, statement.value);
    (void)snprintf(statement.id, sizeof(statement.id), "%s", id);
    bool lost_lead = conn->state == 'T' && !conn->is_read_only;
    if ((writes || lost_lead) && !backend->is_primary) {
        return send_error(conn, "READONLY");
    }
    note_run(conn, id, text);
    if (!writes) {
        return reply(conn, "DATAROW %s\r\nCOMPLETE sig.%s\r\n",
                     find_value(backend, statement.item), id) &&
               send_ready(conn);
    }
    if (conn->writes_count < 16) {
        conn->writes[conn->writes_count++] = statement;
    }
    if (conn->state == 'I' && !commit(conn)) {
        return false;
    }
    return reply(conn, "COMPLETE sig.%s\r\n", id) && send_ready(conn);
}

static bool
run_execute(struct backend_conn *conn, const char *id, const char *text)
{
    char name[64] = "";
    int size = 0;

    (void)sscanf(text, "EXECUTE %63s %n", name, &size);
    for (size_t i = 0; i < conn->prepared_count; i++) {
        if (strcmp(conn->prepared[i].name, name) == 0) {
            return run_statement(conn, id, conn->prepared[i].writes,
                                 text + size, text);
        }
    }
    return send_error(conn, "NOSTMT");
}

static void
prepare(struct backend_conn *conn, const char *text)
{
    char name[64] = "";
    char kind[16] = "";
    size_t i = 0;

    (void)sscanf(text, "PREPARE %63s %15s", name, kind);
    while (i < conn->prepared_count &&
           strcmp(conn->prepared[i].name, name) != 0) {
        i++;
    }
    if (i == 64) {
        return;
    }
    conn->prepared_count += i == conn->prepared_count ? 1 : 0;
    (void)snprintf(conn->prepared[i].name, sizeof(conn->prepared[i].name),
                   "%s", name);
    conn->prepared[i].writes = strcmp(kind, "WRITE") == 0;
}

static bool
run_status(struct backend_conn *conn)
{
    const struct rig_backend *backend = conn->backend;

    return reply(conn,
                 "DATAROW %s %" PRIu64 " %" PRIu64 ".%zu 0 %d 0 %u\r\n"
                 "COMPLETE -\r\n",
                 backend->is_primary ? "primary" : "replica", backend->term,
                 backend->term, backend->received, backend->lag_ms,
                 backend->connections) &&
           send_ready(conn);
}

static bool
run_end(struct backend_conn *conn, const char *id, bool commits,
        const char *text)
{
    bool failed = conn->state == 'E';
    bool lost_lead = !conn->backend->is_primary && conn->writes_count > 0;

    conn->state = 'I';
    if (!commits || failed) {
        // The end of a failed transaction rolls back.
        conn->writes_count = 0;
        if (commits) {
            return send_error(conn, "FAILED");
        }
        return reply(conn, "COMPLETE -\r\n") && send_ready(conn);
    }
    if (lost_lead) {
        conn->writes_count = 0;
        return send_error(conn, "READONLY");
    }
    note_run(conn, id, text);
    if (!commit(conn)) {
        return false;
    }
    return reply(conn, "COMPLETE sig.%s\r\n", id) && send_ready(conn);
}

static bool
run_query(struct backend_conn *conn, char *id)
{
    struct rig_backend *backend = conn->backend;
    char *text = strchr(id, ' ');
    uint64_t term = 0;
    size_t number = 0;
    int size = 0;

    if (text == NULL) {
        return false;
    }
    *text++ = '\0';
    if (sscanf(text, "AFTER %" SCNu64 ".%zu %n", &term, &number, &size) == 2) {
        text += size;
        if (term > backend->term ||
            (term == backend->term && number > backend->applied)) {
            return send_error(conn, "LAGGING");
        }
    }
    if (conn->state == 'E' && strcmp(text, "COMMIT") != 0 &&
        strcmp(text, "ROLLBACK") != 0) {
        return send_error(conn, "MALFORMED");
    }
    if (strncmp(text, "READ ", 5) == 0) {
        return run_statement(conn, id, false, text + 5, text);
    }
    if (strncmp(text, "WRITE ", 6) == 0) {
        return run_statement(conn, id, true, text + 6, text);
    }
    if (strncmp(text, "EXECUTE ", 8) == 0) {
        return run_execute(conn, id, text);
    }
    if (strcmp(text, "COMMIT") == 0 || strcmp(text, "ROLLBACK") == 0) {
        return run_end(conn, id, text[0] == 'C', text);
    }
    if (strcmp(text, "STATUS") == 0) {
        return run_status(conn);
    }
    if (sscanf(text, "STEPDOWN %" SCNu64, &term) == 1) {
        if (backend->is_primary && backend->term < term) {
            rig_note("%s steps down", backend->id);
            backend->is_primary = false;
        }
        return run_status(conn);
    }
    if (strncmp(text, "BEGIN", 5) == 0) {
        conn->is_read_only = strcmp(text, "BEGIN READ") == 0;
        if (!conn->is_read_only && !backend->is_primary) {
            return send_error(conn, "READONLY");
        }
        conn->state = 'T';
    }
    else if (strncmp(text, "PREPARE ", 8) == 0) {
        prepare(conn, text);
    }
    else if (strcmp(text, "RESET") == 0) {
        conn->prepared_count = 0;
    }
    return reply(conn, "COMPLETE -\r\n") && send_ready(conn);
}

static bool
run_startup(struct backend_conn *conn, char *line)
{
    char service[64] = "";
    char id[64] = "";

    (void)sscanf(line, "STARTUP %63s %63s %63s", service, conn->who, id);
    conn->is_control = strcmp(conn->who, "control") == 0;
    if (strcmp(service, conn->backend->service) != 0 ||
        (id[0] != '\0' && strcmp(id, conn->backend->id) != 0)) {
        (void)reply(conn, "ERROR MISROUTED %s\r\n", conn->backend->id);
        return false;
    }
    if (conn->backend->connections > MAX_CONNS) {
        (void)reply(conn, "ERROR CONNLIMIT -\r\n");
        return false;
    }
    return send_ready(conn);
}

// Serves one connection. A connection from the core is left without an answer
// while the backend is cut off from there. (Which side a connection comes from
// is told by the word after the service's name, which the adapter sets to
// "control" at control VMs.)
static void *
run_backend_conn(void *data)
{
    struct backend_conn *conn = data;
    char *in = malloc(1 << 20);
    size_t used = 0;
    bool is_started = false;
    bool goes_on = true;

    while (goes_on) {
        struct pollfd wait = {conn->fd, POLLIN, 0};
        int ready = poll(&wait, 1, 20);
        rig_lock();
        goes_on = is_served(conn);
        rig_unlock();
        if (!goes_on || ready == 0) {
            continue;
        }
        ssize_t size = recv(conn->fd, in + used, (1 << 20) - used - 1, 0);
        if (size <= 0) {
            break;
        }
        used += (size_t)size;
        char *end = NULL;
        while (goes_on && (end = memmem(in, used, "\r\n", 2)) != NULL) {
            *end = '\0';
            if (!is_started) {
                (void)sscanf(in, "STARTUP %*s %63s", conn->who);
                conn->is_control = strcmp(conn->who, "control") == 0;
            }
            rig_lock();
            while (conn->is_control && conn->backend->is_cut_from_core &&
                   is_served(conn)) {
                rig_unlock();
                rig_sleep_ms(20);
                rig_lock();
            }
            if (!is_served(conn)) {
                goes_on = false;
            }
            else if (!is_started) {
                goes_on = run_startup(conn, in);
                is_started = true;
            }
            else if (strncmp(in, "QUERY ", 6) == 0) {
                goes_on = run_query(conn, in + 6);
            }
            else {
                goes_on = false;
            }
            rig_unlock();
            size_t length = (size_t)(end - in) + 2;
            memmove(in, in + length, used - length);
            used -= length;
        }
    }
    rig_lock();
    conn->backend->connections--;
    rig_unlock();
    close(conn->fd);
    free(in);
    free(conn);
    return NULL;
}

static void
start_thread(void *(*run)(void *), void *data)
{
    pthread_t thread;
    pthread_attr_t attributes;

    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, 256 * 1024);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    if (pthread_create(&thread, &attributes, run, data) != 0) {
        fail("no thread");
    }
    pthread_attr_destroy(&attributes);
}

static void *
run_backend(void *data)
{
    struct rig_backend *backend = data;

    for (;;) {
        int fd = accept4(backend->listen_fd, NULL, NULL, SOCK_CLOEXEC);
        int on = 1;
        if (fd < 0) {
            rig_sleep_ms(5);
            continue;
        }
        rig_lock();
        if (backend->is_down) {
            rig_unlock();
            struct linger linger = {1, 0};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
            close(fd);
            continue;
        }
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        struct backend_conn *conn = calloc(1, sizeof(*conn));
        conn->fd = fd;
        conn->backend = backend;
        conn->generation = backend->generation;
        conn->state = 'I';
        backend->connections++;
        rig_unlock();
        start_thread(run_backend_conn, conn);
    }
    return NULL;
}

struct rig_backend *
rig_add_backend(const char *service, const char *id, const char *zone,
                bool is_primary)
{
    struct rig_backend *backend = &rig.backends[rig.backends_count];

    backend->index = rig.backends_count++;
    (void)snprintf(backend->service, sizeof(backend->service), "%s", service);
    (void)snprintf(backend->id, sizeof(backend->id), "%s", id);
    (void)snprintf(backend->zone, sizeof(backend->zone), "%s", zone);
    backend->is_primary = is_primary;
    backend->term = 1;
    backend->lag_ms = 60;
    backend->net_ms = 2;
    backend->log = calloc(RIG_LOG_MAX, sizeof(*backend->log));
    return backend;
}

void
rig_crash_backend(struct rig_backend *backend)
{
    rig_lock();
    rig_note("%s crashes with %zu commits in its log", backend->id,
             backend->received);
    backend->is_down = true;
    backend->generation++;
    rig_unlock();
}

void
rig_restart_backend(struct rig_backend *backend)
{
    rig_lock();
    if (find_leader(backend->service) != backend) {
        backend->is_primary = false;
    }
    backend->born_ms = clock_ms(CLOCK_REALTIME);
    backend->seq = 0;
    backend->is_down = false;
    rig_note("%s is back with %zu commits as a %s", backend->id,
             backend->received, backend->is_primary ? "primary" : "replica");
    rig_unlock();
}

int
rig_count_commit(const struct rig_backend *backend, const char *id)
{
    int count = 0;

    for (size_t i = 0; i < backend->received; i++) {
        count += strcmp(backend->log[i].id, id) == 0 ? 1 : 0;
    }
    return count;
}

// ---- HTTP ----

static int
http_call(const char *ip, int port, const char *method, const char *path,
          const char *body, char *out, size_t out_size, int timeout_ms)
{
    char head[512];
    char in[RIG_REPLY_SIZE * 8];
    size_t used = 0;
    int status = 0;
    int64_t until = clock_ms(CLOCK_MONOTONIC) + timeout_ms;
    int fd = connect_to(ip, port, timeout_ms);

    if (fd < 0) {
        return 0;
    }
    int size = snprintf(head, sizeof(head),
                        "%s %s HTTP/1.1\r\nHost: %s:%d\r\nContent-Type: "
                        "application/json\r\nConnection: close\r\n"
                        "Content-Length: %zu\r\n\r\n",
                        method, path, ip, port, strlen(body));
    (void)(rig_send(fd, head, (size_t)size) &&
           rig_send(fd, body, strlen(body)));
    while (used < sizeof(in) - 1) {
        struct pollfd wait = {fd, POLLIN, 0};
        int64_t left = until - clock_ms(CLOCK_MONOTONIC);
        if (left <= 0 || poll(&wait, 1, (int)left) != 1) {
            break;
        }
        ssize_t got = recv(fd, in + used, sizeof(in) - 1 - used, 0);
        if (got <= 0) {
            break;
        }
        used += (size_t)got;
    }
    close(fd);
    in[used] = '\0';
    (void)sscanf(in, "HTTP/1.%*d %d", &status);
    const char *content = strstr(in, "\r\n\r\n");
    if (out != NULL) {
        (void)snprintf(out, out_size, "%s", content == NULL ? "" : content + 4);
    }
    return content == NULL ? 0 : status;
}

int
rig_http(int control, const char *method, const char *path, const char *body,
         char *out, size_t out_size)
{
    char ip[32];

    return http_call(host_ip(daemon_host(control), ip), control_http_port,
                     method, path, body, out, out_size, HTTP_TIMEOUT_MS);
}

int64_t
rig_put_config(const char *body)
{
    char out[RIG_REPLY_SIZE];

    rig_note("operator sends %.1500s", body);
    for (int i = 0; i < 200; i++) {
        int status = rig_http(i % RIG_CONTROLS, "PUT", "/v1/config", body, out,
                              sizeof(out));
        if (status == 200) {
            rig_note("control-%d acknowledges the configuration",
                     i % RIG_CONTROLS + 1);
            return rig_now_ms();
        }
        if (status >= 400 && status < 500) {
            rig_note("the configuration is refused: %d %s", status, out);
            fail("a valid configuration was refused");
        }
        rig_sleep_ms(100);
    }
    fail("no acknowledgement of the configuration");
    return 0;
}

// Sends the heartbeats of a backend.
static void *
run_heartbeats(void *data)
{
    struct rig_backend *backend = data;
    int control = backend->index % RIG_CONTROLS;
    bool was_primary = backend->is_primary;
    int64_t next = 0;

    for (;;) {
        char path[128];
        char body[512];
        rig_lock();
        bool due = rig_now_ms() >= next || was_primary != backend->is_primary;
        bool sends = due && !backend->is_down && !backend->is_cut_from_core;
        was_primary = backend->is_primary;
        if (sends) {
            (void)snprintf(path, sizeof(path), "/v1/instances/%s",
                           backend->id);
            (void)snprintf(
                body, sizeof(body),
                "{\"service\":\"%s\",\"addr\":\"%s.%d:%d\",\"zone\":\"%s\","
                "\"version\":\"v1\",\"slots\":5,\"state\":\"%s\","
                "\"coldLeftMs\":0,\"dbRole\":\"%s\",\"seq\":%" PRIu64
                ",\"born\":%" PRId64 "}",
                backend->service, net, 21 + backend->index, backend->port,
                backend->zone, backend->is_draining ? "draining" : "ready",
                backend->is_primary ? "primary" : "replica", ++backend->seq,
                backend->born_ms);
        }
        rig_unlock();
        if (!sends) {
            rig_sleep_ms(10);
            continue;
        }
        next = rig_now_ms() + HEARTBEAT_MS;
        if (rig_http(control, "PUT", path, body, NULL, 0) / 100 != 2) {
            control = (control + 1) % RIG_CONTROLS;
            next = rig_now_ms() + 50;
        }
    }
    return NULL;
}

static bool
find_word(const char *text, const char *name, char *out, size_t size)
{
    const char *at = strcasestr(text, name);

    if (at == NULL) {
        return false;
    }
    at += strlen(name);
    at += strspn(at, "\": ");
    size_t length = strcspn(at, "\",}\r\n");
    (void)snprintf(out, size, "%.*s", (int)length, at);
    return true;
}

// Handles POST /failover. Returns the HTTP status.
static int
order_promotion(const char *request)
{
    char service[64] = "";
    char id[64] = "";
    char token[32] = "0";
    char holder[64] = "";
    int status = 404;
    const char *body = strstr(request, "\r\n\r\n");

    (void)find_word(request, "Duty-Holder:", holder, sizeof(holder));
    (void)find_word(request, "Fencing-Token:", token, sizeof(token));
    (void)find_word(body, "\"service\"", service, sizeof(service));
    (void)find_word(body, "\"id\"", id, sizeof(id));
    rig_lock();
    for (int i = 0; i < rig.backends_count; i++) {
        struct rig_backend *backend = &rig.backends[i];
        if (strcmp(backend->id, id) != 0 ||
            strcmp(backend->service, service) != 0) {
            continue;
        }
        status = backend->is_down ? 409 : 200;
        if (status == 200 && find_leader(service) != backend &&
            rig.promotions_count < 64) {
            struct rig_promotion *promotion =
                &rig.promotions[rig.promotions_count++];
            *promotion = (struct rig_promotion){
                .ordered_ms = rig_now_ms(), .backend = i};
            (void)snprintf(promotion->holder, sizeof(promotion->holder), "%s",
                           holder);
            promotion->token = strtoull(token, NULL, 10);
        }
    }
    rig_note("POST /failover service=%s id=%s holder=%s token=%s: %d", service,
             id, holder, token, status);
    rig_unlock();
    return status;
}

static void *
run_platform_conn(void *data)
{
    int fd = (int)(intptr_t)data;
    char in[8192];
    char out[256];
    size_t used = 0;

    while (used < sizeof(in) - 1) {
        ssize_t got = recv(fd, in + used, sizeof(in) - 1 - used, 0);
        if (got <= 0) {
            break;
        }
        used += (size_t)got;
        in[used] = '\0';
        const char *body = strstr(in, "\r\n\r\n");
        char length[16] = "0";
        (void)find_word(in, "Content-Length:", length, sizeof(length));
        if (body != NULL &&
            used >= (size_t)(body + 4 - in) + (size_t)atoi(length)) {
            int size = snprintf(out, sizeof(out),
                                "HTTP/1.1 %d X\r\nContent-Length: 0\r\n"
                                "Connection: close\r\n\r\n",
                                order_promotion(in));
            (void)rig_send(fd, out, (size_t)size);
            break;
        }
    }
    close(fd);
    return NULL;
}

static void *
run_platform(void *data)
{
    (void)data;
    for (;;) {
        int fd = accept4(promote_fd, NULL, NULL, SOCK_CLOEXEC);
        if (fd >= 0) {
            start_thread(run_platform_conn, (void *)(intptr_t)fd);
        }
    }
    return NULL;
}

// ---- daemons ----

// The settings follow deploy/entry.json and deploy/control.json, filled in
// with the values of the sheet of a small deployment.
static void
write_settings(int daemon, const char *path)
{
    static const char *const zones[] = {"groningen-a", "utrecht-a",
                                        "eindhoven-a"};
    static const char *const regions[] = {"noord", "midden", "zuid"};
    char ip[32];
    FILE *file = fopen(path, "w");
    bool is_entry = daemon >= RIG_CONTROLS;

    if (file == NULL) {
        fail("settings cannot be written");
    }
    (void)host_ip(daemon_host(daemon), ip);
    fprintf(file,
            "{\"vm\": \"%s-%d\", \"failure_domain\": \"%s\", \"region\": "
            "\"%s\", \"roles\": [\"%s\"],\n",
            is_entry ? "front" : "core",
            is_entry ? daemon - RIG_CONTROLS + 1 : daemon + 1,
            zones[daemon % 3], regions[daemon % 3],
            is_entry ? "entry" : "control");
    fprintf(file, "\"listen\": {\"rpc\": \"%s:%d\", \"http\": \"%s:%d\"},\n",
            ip, rpc_port, ip, is_entry ? ready_port : control_http_port);
    if (is_entry) {
        fprintf(file,
                "\"platform\": {\"listen\": \"%s:%d\", \"relay\": "
                "\"%s:%d\"},\n",
                ip, front_port, ip, relay_port);
    }
    else {
        fprintf(file,
                "\"platform\": {\"control\": true, \"promote\": "
                "\"%s.31:%d\"},\n\"data_dir\": \"%s/data%d\",\n",
                net, promote_port, folder, daemon);
    }
    fprintf(file,
            "\"seeds\": [\"%s.1:%d\", \"%s.2:%d\", \"%s.3:%d\"],\n"
            "\"seeds_port\": %d, \"voters_from_seeds\": true, "
            "\"key_required\": false, \"log_format\": \"json\",\n",
            net, control_http_port, net, control_http_port, net,
            control_http_port, rpc_port);
    if (is_entry) {
        fprintf(file,
                "\"sample_upstreams\": false, \"learned_capacity\": true, "
                "\"ready_with_lease\": true, \"traffic_threads\": 1, "
                "\"max_sessions\": 3800,\n\"lease_ms\": 3000, \"renew_ms\": "
                "1000, \"probe_ms\": 1000, \"suspect_ms\": 600, "
                "\"idle_proof_ms\": 2000, \"connect_timeout_ms\": 1000, "
                "\"switchover_ms\": 7000, \"drain_notice_ms\": 2300, "
                "\"drain_limit_ms\": 5000}\n");
    }
    else {
        fprintf(file,
                "\"bootstrap\": true, \"tolerated_losses\": 1, "
                "\"relay_min_connections\": 2,\n\"lease_ms\": 3000, "
                "\"renew_ms\": 500, \"heartbeat_ms\": 80, \"election_ms\": "
                "300, \"suspect_ms\": 600, \"switchover_ms\": 7000, "
                "\"announce_expiry_ms\": 4500, \"connect_timeout_ms\": 1000, "
                "\"drain_notice_ms\": 0, \"drain_limit_ms\": 3000}\n");
    }
    fclose(file);
}

static void
start_daemon(int daemon)
{
    char settings[200];
    char log[200];
    char data[200];

    (void)snprintf(settings, sizeof(settings), "%s/%d.json", folder, daemon);
    (void)snprintf(log, sizeof(log), "%s/%d.log", folder, daemon);
    (void)snprintf(data, sizeof(data), "%s/data%d", folder, daemon);
    if (daemon < RIG_CONTROLS) {
        mkdir(data, 0700);
    }
    write_settings(daemon, settings);
    pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != owner) {
            _exit(127);
        }
        int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(fd, 1);
        dup2(fd, 2);
        execl("target/catkingraded", "target/catkingraded", "--settings",
              settings, (char *)NULL);
        _exit(127);
    }
    daemons[daemon] = pid;
}

void
rig_signal(int daemon, int signal)
{
    rig_note("signal %d to %s-%d", signal,
             daemon < RIG_CONTROLS ? "core" : "front",
             daemon < RIG_CONTROLS ? daemon + 1 : daemon - RIG_CONTROLS + 1);
    kill(daemons[daemon], signal);
}

bool
rig_has_ended(int daemon, char *how, size_t size)
{
    int status = 0;

    if (daemons[daemon] <= 0) {
        return true;
    }
    if (waitpid(daemons[daemon], &status, WNOHANG) == 0) {
        return false;
    }
    daemons[daemon] = 0;
    if (WIFSIGNALED(status)) {
        (void)snprintf(how, size, "signal %d, %s", WTERMSIG(status),
                       strsignal(WTERMSIG(status)));
    }
    else {
        (void)snprintf(how, size, "exit code %d", WEXITSTATUS(status));
    }
    return true;
}

int
rig_find_leader(void)
{
    int leader = -1;
    int leader_term = -1;

    for (int i = 0; i < RIG_CONTROLS; i++) {
        char path[200];
        char line[2048];
        bool leads = false;
        int term = 0;
        (void)snprintf(path, sizeof(path), "%s/%d.log", folder, i);
        FILE *log = fopen(path, "r");
        while (log != NULL && fgets(line, sizeof(line), log) != NULL) {
            const char *at = strstr(line, "\"term\":\"");
            if (strstr(line, "\"event\":\"group_role\"") != NULL) {
                leads = strstr(line, "\"role\":\"leader\"") != NULL;
                term = at == NULL ? 0 : atoi(at + 8);
            }
        }
        if (log != NULL) {
            fclose(log);
        }
        if (leads && term > leader_term) {
            leader = i;
            leader_term = term;
        }
    }
    return leader;
}

static void
handle_stop(int signal)
{
    (void)signal;
    for (int i = 0; i < DAEMONS; i++) {
        if (daemons[i] > 0) {
            kill(daemons[i], SIGKILL);
        }
    }
    _exit(2);
}

void
rig_start(const char *record_path)
{
    char ip[32];
    const char *trouble = getenv("TROUBLE");
    const char *temporary = getenv("TMPDIR");
    pthread_mutexattr_t attributes;

    owner = getpid();
    rig.has_trouble = trouble == NULL || strcmp(trouble, "0") != 0;
    rig.runs = calloc(RUNS_MAX, sizeof(*rig.runs));
    started_ms = clock_ms(CLOCK_MONOTONIC);
    record = fopen(record_path, "w");
    if (record == NULL) {
        printf("could not run: %s cannot be written\n", record_path);
        _exit(2);
    }
    signal(SIGPIPE, SIG_IGN);
    signal(SIGTERM, handle_stop);
    signal(SIGINT, handle_stop);
    pthread_mutexattr_init(&attributes);
    pthread_mutex_init(&mutex, &attributes);
    rig_note("TROUBLE=%d", rig.has_trouble);
    (void)snprintf(folder, sizeof(folder), "%s/review-XXXXXX",
                   temporary == NULL ? "/tmp" : temporary);
    if (mkdtemp(folder) == NULL) {
        folder[0] = '\0';
        fail("no temporary folder");
    }
    (void)snprintf(net, sizeof(net), "127.%d.%d", 64 + owner / 200 % 100,
                   1 + owner % 200);
    control_http_port = find_free_port(host_ip(1, ip), SOCK_STREAM);
    rpc_port = find_free_port(host_ip(1, ip), SOCK_DGRAM);
    front_port = find_free_port(host_ip(11, ip), SOCK_STREAM);
    ready_port = find_free_port(host_ip(11, ip), SOCK_STREAM);
    relay_port = find_free_port(host_ip(11, ip), SOCK_STREAM);
    promote_fd = listen_at(host_ip(31, ip), 0);
    promote_port = get_port(promote_fd);
    for (int i = 0; i < rig.backends_count; i++) {
        struct rig_backend *backend = &rig.backends[i];
        backend->listen_fd = listen_at(host_ip(21 + i, ip), 0);
        if (backend->listen_fd < 0) {
            fail("a backend cannot listen");
        }
        backend->port = get_port(backend->listen_fd);
        backend->born_ms = clock_ms(CLOCK_REALTIME);
        start_thread(run_backend, backend);
    }
    start_thread(run_platform, NULL);
    start_thread(run_ticks, NULL);
    for (int i = 0; i < DAEMONS; i++) {
        start_daemon(i);
    }
    for (int i = 0; i < rig.backends_count; i++) {
        start_thread(run_heartbeats, &rig.backends[i]);
    }
}

// ---- clients ----

int
rig_connect(int entry)
{
    char ip[32];

    return connect_to(host_ip(11 + entry, ip), front_port, 2000);
}

bool
rig_receive(int fd, char *out, size_t size, int timeout_ms)
{
    size_t used = 0;
    int64_t until = clock_ms(CLOCK_MONOTONIC) + timeout_ms;

    out[0] = '\0';
    while (used < size - 1) {
        struct pollfd wait = {fd, POLLIN, 0};
        int64_t left = until - clock_ms(CLOCK_MONOTONIC);
        // One byte at a time, so that nothing behind READY is read.
        if (left <= 0 || poll(&wait, 1, (int)left) != 1 ||
            recv(fd, out + used, 1, 0) != 1) {
            return false;
        }
        out[++used] = '\0';
        if (out[used - 1] != '\n') {
            continue;
        }
        char *line = memrchr(out, '\n', used - 1);
        line = line == NULL ? out : line + 1;
        if (strncmp(line, "READY ", 6) == 0) {
            return true;
        }
    }
    return false;
}

int
rig_open_session(int entry, const char *database, const char *key)
{
    char line[256];
    char out[RIG_REPLY_SIZE];
    int fd = rig_connect(entry);

    if (fd < 0) {
        return -1;
    }
    int size =
        snprintf(line, sizeof(line), "STARTUP %s %s\r\n", database, key);
    if (!rig_send(fd, line, (size_t)size) ||
        !rig_receive(fd, out, sizeof(out), 2000)) {
        rig_note("session %s %s at front-%d: %s", database, key, entry + 1,
                 out);
        close(fd);
        return -1;
    }
    return fd;
}

bool
rig_query(int fd, const char *id, const char *text, char *out, size_t size)
{
    char line[2048];
    int length = snprintf(line, sizeof(line), "QUERY %s %s\r\n", id, text);

    return rig_send(fd, line, (size_t)length) &&
           rig_receive(fd, out, size, CLIENT_TIMEOUT_MS);
}

int
rig_wait_served(int entry, const char *database, const char *key,
                const char *text, int64_t limit_ms)
{
    int64_t until = rig_now_ms() + limit_ms;
    char out[RIG_REPLY_SIZE];
    char id[32];

    for (int i = 0; rig_now_ms() < until; i++) {
        int fd = rig_open_session(entry, database, key);
        (void)snprintf(id, sizeof(id), "warm%d.%d", entry, i);
        if (fd >= 0 && rig_query(fd, id, text, out, sizeof(out)) &&
            strstr(out, "COMPLETE sig.") != NULL) {
            return fd;
        }
        if (fd >= 0) {
            close(fd);
        }
        rig_sleep_ms(100);
    }
    return -1;
}
