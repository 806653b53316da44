#include "stand.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

// Ports on each loopback address, from the free base on.
enum { PORT_RPC, PORT_RELAY, PORT_HTTP, PORT_FRONT, PORT_METRICS, PORT_COUNT };

#define LINE_SIZE        4096
#define HEARTBEAT_MS     1200
#define WORK_MS          4   // time of one statement at a backend
#define PROMOTE_MS       300 // "some hundred ms" after POST /failover
#define REPLICATION_MS   10
#define FIRST_LOG_TERM   1
#define CLIENT_TIMEOUT_S 3

struct stand stand;

static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t received; // a replica has received writes
static FILE *record;
static int64_t begun_us;

void
stand_lock(void)
{
    pthread_mutex_lock(&mutex);
}

void
stand_unlock(void)
{
    pthread_mutex_unlock(&mutex);
}

int64_t
stand_now_us(void)
{
    struct timespec now;

    (void)clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

void
stand_sleep_ms(int ms)
{
    struct timespec left = {ms / 1000, (long)(ms % 1000) * 1000000};

    while (nanosleep(&left, &left) != 0) {
    }
}

void
stand_record(const char *format, ...)
{
    char text[LINE_SIZE];
    va_list args;

    va_start(args, format);
    (void)vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    (void)fprintf(record, "%8.3f %s\n",
                  (double)(stand_now_us() - begun_us) / 1e6, text);
}

// ---- daemons ----

static void
signal_daemons(int signal_number)
{
    for (int i = 0; i < STAND_CONTROLS; i++) {
        if (stand.controls[i] > 0) {
            (void)kill(stand.controls[i], signal_number);
        }
    }
    for (int i = 0; i < STAND_ENTRIES; i++) {
        if (stand.entries[i] > 0) {
            (void)kill(stand.entries[i], signal_number);
        }
    }
}

void
stand_stop(void)
{
    signal_daemons(SIGKILL);
    for (int i = 0; i < STAND_CONTROLS; i++) {
        if (stand.controls[i] > 0) {
            (void)waitpid(stand.controls[i], NULL, 0);
        }
    }
    for (int i = 0; i < STAND_ENTRIES; i++) {
        if (stand.entries[i] > 0) {
            (void)waitpid(stand.entries[i], NULL, 0);
        }
    }
    if (record != NULL) {
        (void)fflush(record);
    }
}

void
stand_give_up(const char *reason)
{
    if (record != NULL) {
        stand_record("the case could not run: %s", reason);
    }
    (void)fprintf(stderr, "the case could not run: %s\n", reason);
    stand_stop();
    _exit(2);
}

// Replaces every occurrence of a text in a buffer of LINE_SIZE * 2.
static void
replace(char *text, size_t size, const char *from, const char *to)
{
    char copy[LINE_SIZE * 2];
    char *at = NULL;

    while ((at = strstr(text, from)) != NULL) {
        (void)snprintf(copy, sizeof(copy), "%.*s%s%s", (int)(at - text), text,
                       to, at + strlen(from));
        (void)snprintf(text, size, "%s", copy);
    }
}

// Removes a section of a template, from its opening to its closing tag.
static void
remove_section(char *text, const char *open, const char *close)
{
    char *begin = strstr(text, open);
    char *end = begin == NULL ? NULL : strstr(begin, close);

    if (end != NULL) {
        end += strlen(close);
        memmove(begin, end, strlen(end) + 1);
    }
}

static void
format_ip(char ip[32], int group, int index)
{
    (void)snprintf(ip, 32, "127.%d.%d.%d", stand.subnet, group, index + 1);
}

static const char *
zone_of(int index)
{
    static const char *const zones[] = {"zone-a", "zone-b", "zone-c"};

    return zones[index % 3];
}

// Fills in a template of deploy/ as DEPLOY.md says, for the placeholders that
// the two templates have.
static void
render(bool is_entry, int index, bool bootstrap, const char *path)
{
    char text[LINE_SIZE * 2] = "";
    char value[256];
    char ip[32];
    FILE *file =
        fopen(is_entry ? "deploy/entry.json" : "deploy/control.json", "r");

    if (file == NULL) {
        stand_give_up("no template in deploy/");
    }
    size_t size = fread(text, 1, sizeof(text) - 1, file);
    text[size] = '\0';
    (void)fclose(file);
    format_ip(ip, is_entry ? 2 : 1, index);
    (void)snprintf(value, sizeof(value), "%s-%d",
                   is_entry ? "front" : "core", index);
    replace(text, sizeof(text), "{{node}}", value);
    replace(text, sizeof(text), "{{zone}}", zone_of(index));
    replace(text, sizeof(text), "{{region}}", zone_of(index));
    replace(text, sizeof(text), "{{ip}}", ip);
    (void)snprintf(value, sizeof(value), "%d", stand.port_base + PORT_RPC);
    replace(text, sizeof(text), "{{portRange.0}}", value);
    (void)snprintf(value, sizeof(value), "%d", stand.port_base + PORT_RELAY);
    replace(text, sizeof(text), "{{portRange.1}}", value);
    (void)snprintf(value, sizeof(value), "%s:%d", ip,
                   stand.port_base + PORT_HTTP);
    replace(text, sizeof(text), "{{listen.ready}}", value);
    replace(text, sizeof(text), "{{listen.control}}", value);
    (void)snprintf(value, sizeof(value), "%s:%d", ip,
                   stand.port_base + PORT_FRONT);
    replace(text, sizeof(text), "{{listen.front}}", value);
    (void)snprintf(value, sizeof(value), "%s:%d", ip,
                   stand.port_base + PORT_METRICS);
    // A free port in place of the fixed one.
    char fixed[64];
    (void)snprintf(fixed, sizeof(fixed), "%s:9464", ip);
    replace(text, sizeof(text), fixed, value);
    (void)snprintf(value, sizeof(value), "%.200s/data%d", stand.folder, index);
    (void)mkdir(value, 0700);
    replace(text, sizeof(text), "{{dataDir}}", value);
    replace(text, sizeof(text), "{{bootstrap}}", bootstrap ? "true" : "false");
    replace(text, sizeof(text), "{{faultTolerance.machines}}", "1");
    (void)snprintf(value, sizeof(value), "127.%d.9.1:%d", stand.subnet,
                   stand.port_base + PORT_HTTP);
    replace(text, sizeof(text), "{{cloudApi.addr}}", value);
    replace(text, sizeof(text), "{{#bounds.drainMs}}", "");
    replace(text, sizeof(text), "{{/bounds.drainMs}}", "");
    replace(text, sizeof(text), "{{bounds.drainMs}}", "7000");
    remove_section(text, "{{#bounds.quotaWindowS}}",
                   "{{/bounds.quotaWindowS}}");
    value[0] = '\0';
    for (int i = 0; i < STAND_CONTROLS; i++) {
        char seed[64];
        format_ip(ip, 1, i);
        (void)snprintf(seed, sizeof(seed), "%s\"%s:%d\"", i == 0 ? "" : ",",
                       ip, stand.port_base + PORT_HTTP);
        strncat(value, seed, sizeof(value) - strlen(value) - 1);
    }
    replace(text, sizeof(text), "{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", value);
    if (strstr(text, "{{") != NULL) {
        stand_give_up("a placeholder of the template is not known");
    }
    file = fopen(path, "w");
    if (file == NULL || fputs(text, file) < 0 || fclose(file) != 0) {
        stand_give_up("a settings file can't be written");
    }
}

static pid_t
start_daemon(bool is_entry, int index, bool bootstrap)
{
    char path[320];
    char log[320];

    (void)snprintf(path, sizeof(path), "%.200s/%s%d.json", stand.folder,
                   is_entry ? "entry" : "control", index);
    (void)snprintf(log, sizeof(log), "%.200s/%s%d.log", stand.folder,
                   is_entry ? "entry" : "control", index);
    render(is_entry, index, bootstrap, path);
    pid_t pid = fork();
    if (pid < 0) {
        stand_give_up("fork failed");
    }
    if (pid == 0) {
        int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
        (void)prctl(PR_SET_PDEATHSIG, SIGKILL);
        (void)dup2(fd, 1);
        (void)dup2(fd, 2);
        (void)execl("target/catkingraded", "target/catkingraded", "--settings",
                    path, (char *)NULL);
        _exit(127);
    }
    return pid;
}

void
stand_kill_controls(void)
{
    for (int i = 0; i < STAND_CONTROLS; i++) {
        (void)kill(stand.controls[i], SIGKILL);
    }
    for (int i = 0; i < STAND_CONTROLS; i++) {
        (void)waitpid(stand.controls[i], NULL, 0);
        stand.controls[i] = 0;
    }
    stand_record("all processes of the core are killed");
}

// Empties the disk of a core machine whose process does not run.
static void
wipe_disk(int index)
{
    char command[320];

    (void)snprintf(command, sizeof(command), "rm -rf '%.200s/data%d'",
                   stand.folder, index);
    if (system(command) != 0) {
        stand_give_up("a data folder can't be removed");
    }
}

void
stand_restart_controls(int wiped)
{
    for (int i = 0; i < STAND_CONTROLS; i++) {
        if (i < wiped) {
            wipe_disk(i);
        }
        stand.controls[i] = start_daemon(false, i, false);
    }
    stand_record("the processes of the core start again, %d without its disk",
                 wiped);
}

// ---- sockets ----

static struct sockaddr_in
make_address(const char *ip, int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};

    (void)inet_pton(AF_INET, ip, &address.sin_addr);
    return address;
}

// Returns a listening socket, -1 if the port is in use.
static int
open_listener(const char *ip, int port)
{
    struct sockaddr_in address = make_address(ip, port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;

    (void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(fd, 64) != 0) {
        (void)close(fd);
        return -1;
    }
    return fd;
}

static int
open_connection(const char *ip, int port, int timeout_s)
{
    struct sockaddr_in address = make_address(ip, port);
    struct timeval timeout = {timeout_s, 0};
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    (void)setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    (void)setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        (void)close(fd);
        return -1;
    }
    return fd;
}

static bool
send_text(int fd, const char *text)
{
    size_t size = strlen(text);

    while (size > 0) {
        ssize_t sent = send(fd, text, size, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        text += sent;
        size -= (size_t)sent;
    }
    return true;
}

// Lines that end with CR LF, from a socket.
struct reader {
    int fd;
    size_t size;
    char data[LINE_SIZE];
};

// Reads a line without its end. Returns false at the end of the stream.
static bool
read_line(struct reader *reader, char line[LINE_SIZE])
{
    while (true) {
        char *end = memmem(reader->data, reader->size, "\r\n", 2);
        if (end != NULL) {
            size_t length = (size_t)(end - reader->data);
            memcpy(line, reader->data, length);
            line[length] = '\0';
            reader->size -= length + 2;
            memmove(reader->data, end + 2, reader->size);
            return true;
        }
        if (reader->size == sizeof(reader->data)) {
            return false;
        }
        ssize_t got = recv(reader->fd, reader->data + reader->size,
                           sizeof(reader->data) - reader->size, 0);
        if (got <= 0) {
            return false;
        }
        reader->size += (size_t)got;
    }
}

// Sends one HTTP request. Returns the status, 0 without an answer.
static int
call_http(const char *ip, int port, const char *method, const char *path,
          const char *body)
{
    char text[LINE_SIZE * 2];
    char line[LINE_SIZE];
    int status = 0;
    int fd = open_connection(ip, port, 1);

    if (fd < 0) {
        return 0;
    }
    (void)snprintf(text, sizeof(text),
                   "%s %s HTTP/1.1\r\nHost: x\r\nContent-Type: "
                   "application/json\r\nContent-Length: %zu\r\nConnection: "
                   "close\r\n\r\n%s",
                   method, path, strlen(body), body);
    struct reader *reader = calloc(1, sizeof(*reader));
    reader->fd = fd;
    if (send_text(fd, text) && read_line(reader, line)) {
        (void)sscanf(line, "HTTP/1.1 %d", &status);
    }
    free(reader);
    (void)close(fd);
    return status;
}

static void
start_thread(void *(*run)(void *), void *data)
{
    pthread_t thread;

    if (pthread_create(&thread, NULL, run, data) != 0) {
        stand_give_up("no thread");
    }
    (void)pthread_detach(thread);
}

// ---- backends ----

// Position of a backend's log: its last write.
static void
get_position(const struct stand_backend *backend, uint64_t *term,
             uint64_t *number)
{
    const struct stand_write *last =
        backend->log_count == 0 ? NULL : &backend->log[backend->log_count - 1];

    *term = last == NULL ? FIRST_LOG_TERM : last->term;
    *number = last == NULL ? 0 : last->number;
}

static void
append_write(struct stand_backend *backend, const struct stand_write *write)
{
    if (backend->log_count == backend->log_capacity) {
        backend->log_capacity = 2 * backend->log_capacity + 1024;
        backend->log = realloc(backend->log,
                               backend->log_capacity * sizeof(*backend->log));
    }
    backend->log[backend->log_count++] = *write;
}

static bool
is_same_write(const struct stand_write *left, const struct stand_write *right)
{
    return left->term == right->term && left->number == right->number &&
           strcmp(left->id, right->id) == 0;
}

// The primary of the newest term, whether it is up or not.
struct stand_backend *
stand_find_primary(void)
{
    struct stand_backend *primary = NULL;

    for (int i = 0; i < STAND_BACKENDS; i++) {
        struct stand_backend *backend = &stand.backends[i];
        if (backend->is_primary &&
            (primary == NULL || backend->term > primary->term)) {
            primary = backend;
        }
    }
    return primary;
}

// Passes on writes from the primary to the replicas that can receive, in the
// order of the log. A replica that was ahead is rolled back.
static void *
replicate(void *data)
{
    (void)data;
    while (!stand.is_stopping) {
        stand_lock();
        struct stand_backend *primary = stand_find_primary();
        for (int i = 0; i < STAND_BACKENDS; i++) {
            struct stand_backend *replica = &stand.backends[i];
            if (primary == NULL || primary->is_down || replica == primary ||
                replica->is_primary || replica->is_down || replica->is_deaf) {
                continue;
            }
            replica->term = primary->term;
            size_t common = 0;
            if (replica->log_count <= primary->log_count &&
                (replica->log_count == 0 ||
                 is_same_write(&replica->log[replica->log_count - 1],
                               &primary->log[replica->log_count - 1]))) {
                common = replica->log_count;
            }
            else {
                while (common < replica->log_count &&
                       common < primary->log_count &&
                       is_same_write(&replica->log[common],
                                     &primary->log[common])) {
                    common++;
                }
            }
            replica->log_count = common;
            for (size_t n = 0; n < replica->receive_batch &&
                               replica->log_count < primary->log_count;
                 n++) {
                append_write(replica, &primary->log[replica->log_count]);
            }
        }
        pthread_cond_broadcast(&received);
        stand_unlock();
        stand_sleep_ms(REPLICATION_MS);
    }
    return NULL;
}

// Commits a write: with syncReplicas, once that many replicas have received
// it. The lock is held. Returns false if the backend ended or lost the lead
// meanwhile: then there is no answer.
static bool
commit_write(struct stand_backend *backend, const char *id)
{
    uint64_t generation = backend->generation;
    struct stand_write write = {.term = backend->term};
    uint64_t term = 0;

    get_position(backend, &term, &write.number);
    write.number++;
    (void)snprintf(write.id, sizeof(write.id), "%s", id);
    append_write(backend, &write);
    size_t count = backend->log_count;
    while (true) {
        int holders = 0;
        if (backend->generation != generation || !backend->is_primary ||
            backend->term != write.term) {
            return false;
        }
        for (int i = 0; i < STAND_BACKENDS; i++) {
            const struct stand_backend *other = &stand.backends[i];
            holders += other != backend && !other->is_down &&
                       other->log_count >= count &&
                       is_same_write(&other->log[count - 1], &write);
        }
        if (holders >= stand.sync_replicas) {
            return true;
        }
        pthread_cond_wait(&received, &mutex);
    }
}

struct conn {
    struct stand_backend *backend;
    uint64_t generation;
    int fd;
    struct reader reader;
};

// Runs one QUERY. Returns false if there is no answer.
static bool
run_query(struct conn *conn, char *state, const char *who, char *text)
{
    struct stand_backend *backend = conn->backend;
    char answer[LINE_SIZE] = "COMPLETE -\r\n";
    char out[LINE_SIZE + 128];
    uint64_t term = 0;
    uint64_t number = 0;
    char *id = text;
    char *statement = strchr(text, ' ');

    if (statement == NULL) {
        return false;
    }
    *statement++ = '\0';
    if (strncmp(statement, "STATUS", 6) != 0) {
        stand_sleep_ms(WORK_MS);
    }
    stand_lock();
    bool answers = backend->generation == conn->generation;
    if (strncmp(statement, "AFTER ", 6) == 0) {
        uint64_t after_term = 0;
        uint64_t after_number = 0;
        int used = 0;
        (void)sscanf(statement, "AFTER %" SCNu64 ".%" SCNu64 " %n",
                     &after_term, &after_number, &used);
        statement += used;
        get_position(backend, &term, &number);
        if (term < after_term ||
            (term == after_term && number < after_number)) {
            (void)snprintf(answer, sizeof(answer), "ERROR LAGGING %s\r\n",
                           backend->id);
            statement = "";
        }
    }
    if (strncmp(statement, "STATUS", 6) == 0 ||
        strncmp(statement, "STEPDOWN ", 9) == 0) {
        if (statement[2] == 'E' && backend->is_primary &&
            strtoull(statement + 9, NULL, 10) > backend->term) {
            backend->is_primary = false;
            backend->term = strtoull(statement + 9, NULL, 10);
            stand_record("backend %s steps down", backend->id);
        }
        get_position(backend, &term, &number);
        (void)snprintf(answer, sizeof(answer),
                       "DATAROW %s %" PRIu64 " %" PRIu64 ".%" PRIu64
                       " %" PRIu64 " 0 0 1\r\nCOMPLETE -\r\n",
                       backend->is_primary ? "primary" : "replica",
                       backend->term, term, number, backend->term);
    }
    else if (strncmp(statement, "WRITE ", 6) == 0) {
        if (!backend->is_primary) {
            (void)snprintf(answer, sizeof(answer), "ERROR READONLY %s\r\n",
                           backend->id);
        }
        else {
            answers = answers && commit_write(backend, id);
            backend->runs++;
            stand_record("run backend=%s who=%s id=%s %s answered=%d",
                         backend->id, who, id, statement, answers);
            (void)snprintf(answer, sizeof(answer), "COMPLETE sig.%s\r\n", id);
        }
    }
    else if (strncmp(statement, "READ ", 5) == 0) {
        backend->runs++;
        (void)snprintf(answer, sizeof(answer),
                       "DATAROW row\r\nCOMPLETE sig.%s\r\n", id);
    }
    else if (strcmp(statement, "RESET") != 0 && statement[0] != '\0') {
        (void)snprintf(answer, sizeof(answer), "ERROR MALFORMED x\r\n");
    }
    get_position(backend, &term, &number);
    answers = answers && backend->generation == conn->generation;
    stand_unlock();
    (void)snprintf(out, sizeof(out),
                   "%sREADY %c %" PRIu64 ".%" PRIu64 "\r\n", answer, *state,
                   term, number);
    return answers && send_text(conn->fd, out);
}

static void *
serve_conn(void *data)
{
    struct conn *conn = data;
    struct stand_backend *backend = conn->backend;
    char line[LINE_SIZE];
    char service[64] = "";
    char who[64] = "";
    char id[64] = "";
    char ready[64];
    char state = 'I';
    uint64_t term = 0;
    uint64_t number = 0;

    if (read_line(&conn->reader, line) &&
        sscanf(line, "STARTUP %63s %63s %63s", service, who, id) >= 2) {
        stand_lock();
        get_position(backend, &term, &number);
        bool known = strcmp(service, stand.service) == 0 &&
                     (id[0] == '\0' || strcmp(id, backend->id) == 0);
        stand_unlock();
        (void)snprintf(ready, sizeof(ready),
                       "READY I %" PRIu64 ".%" PRIu64 "\r\n", term, number);
        bool goes_on =
            known ? send_text(conn->fd, ready)
                  : send_text(conn->fd, "ERROR MISROUTED x\r\n") && false;
        while (goes_on && read_line(&conn->reader, line) &&
               strncmp(line, "QUERY ", 6) == 0) {
            goes_on = run_query(conn, &state, who, line + 6);
        }
    }
    stand_lock();
    for (size_t i = 0; i < sizeof(backend->conns) / sizeof(int); i++) {
        backend->conns[i] =
            backend->conns[i] == conn->fd ? -1 : backend->conns[i];
    }
    (void)close(conn->fd);
    stand_unlock();
    free(conn);
    return NULL;
}

struct listen_data {
    struct stand_backend *backend;
    int fd;
    uint64_t generation;
};

static void *
accept_conns(void *data)
{
    struct listen_data *listener = data;
    struct stand_backend *backend = listener->backend;

    while (true) {
        int fd = accept4(listener->fd, NULL, NULL, SOCK_CLOEXEC);
        int on = 1;
        stand_lock();
        bool is_over = backend->generation != listener->generation;
        size_t slot = 0;
        while (slot < 64 && backend->conns[slot] >= 0) {
            slot++;
        }
        if (fd < 0 || is_over || slot == 64) {
            stand_unlock();
            if (fd >= 0) {
                (void)close(fd);
            }
            if (is_over) {
                break;
            }
            continue;
        }
        backend->conns[slot] = fd;
        stand_unlock();
        (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        struct conn *conn = calloc(1, sizeof(*conn));
        conn->backend = backend;
        conn->generation = listener->generation;
        conn->fd = fd;
        conn->reader.fd = fd;
        start_thread(serve_conn, conn);
    }
    (void)close(listener->fd);
    free(listener);
    return NULL;
}

static void
listen_backend(struct stand_backend *backend)
{
    struct listen_data *listener = calloc(1, sizeof(*listener));

    listener->backend = backend;
    listener->fd = open_listener(backend->ip, stand.port_base + PORT_FRONT);
    listener->generation = backend->generation;
    if (listener->fd < 0) {
        stand_give_up("a backend's port is in use");
    }
    backend->listener = listener->fd;
    for (size_t i = 0; i < 64; i++) {
        backend->conns[i] = -1;
    }
    start_thread(accept_conns, listener);
}

static int64_t
get_wall_ms(void)
{
    struct timespec now;

    (void)clock_gettime(CLOCK_REALTIME, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

// Sends a heartbeat to the daemons that serve control, in turn until one
// accepts it.
static void
send_heartbeat(struct stand_backend *backend)
{
    char path[128];
    char body[512];

    for (int i = 0; i < STAND_CONTROLS; i++) {
        char ip[32];
        stand_lock();
        bool is_down = backend->is_down;
        (void)snprintf(
            body, sizeof(body),
            "{\"service\":\"%s\",\"addr\":\"%s:%d\",\"zone\":\"%s\","
            "\"version\":\"v1\",\"slots\":5,\"state\":\"%s\","
            "\"coldLeftMs\":0,\"dbRole\":\"%s\",\"seq\":%" PRIu64
            ",\"born\":%" PRId64 "}",
            stand.service, backend->ip, stand.port_base + PORT_FRONT,
            backend->zone, backend->is_draining ? "draining" : "ready",
            backend->is_primary ? "primary" : "replica",
            ++backend->sequence, backend->born_ms);
        stand_unlock();
        (void)snprintf(path, sizeof(path), "/v1/instances/%s", backend->id);
        format_ip(ip, 1, (backend->index + i) % STAND_CONTROLS);
        if (is_down || call_http(ip, stand.port_base + PORT_HTTP, "PUT", path,
                                 body) == 200) {
            return;
        }
    }
}

static void *
beat(void *data)
{
    struct stand_backend *backend = data;
    uint64_t generation = 0;

    while (!stand.is_stopping) {
        send_heartbeat(backend);
        // A process that has started again reports itself at once.
        for (int waited = 0; waited < HEARTBEAT_MS; waited += 20) {
            stand_sleep_ms(20);
            stand_lock();
            bool restarted =
                !backend->is_down && backend->generation != generation;
            generation = backend->is_down ? generation : backend->generation;
            stand_unlock();
            if (restarted) {
                break;
            }
        }
    }
    return NULL;
}

void
stand_crash_backend(struct stand_backend *backend)
{
    stand_lock();
    backend->is_down = true;
    backend->generation++;
    (void)shutdown(backend->listener, SHUT_RDWR);
    for (size_t i = 0; i < 64; i++) {
        if (backend->conns[i] >= 0) {
            (void)shutdown(backend->conns[i], SHUT_RDWR);
        }
    }
    pthread_cond_broadcast(&received);
    stand_unlock();
    stand_record("backend %s ends", backend->id);
}

void
stand_add_backend(struct stand_backend *backend)
{
    stand_lock();
    backend->born_ms = get_wall_ms();
    listen_backend(backend);
    backend->is_down = false;
    stand_unlock();
    start_thread(beat, backend);
    stand_record("backend %s starts for the first time", backend->id);
}

void
stand_restart_backend(struct stand_backend *backend, bool keeps_log)
{
    stand_lock();
    if (!keeps_log) {
        backend->log_count = 0;
    }
    const struct stand_backend *primary = stand_find_primary();
    if (primary != backend && primary != NULL &&
        primary->term > backend->term) {
        backend->is_primary = false;
    }
    backend->sequence = 0;
    backend->is_draining = false;
    backend->born_ms = get_wall_ms();
    listen_backend(backend);
    backend->is_down = false;
    stand_unlock();
    stand_record("backend %s starts again under its id, %s its log",
                 backend->id, keeps_log ? "with" : "without");
}

void
stand_drain_backend(struct stand_backend *backend)
{
    stand_lock();
    backend->is_draining = true;
    stand_unlock();
    send_heartbeat(backend);
    stand_record("backend %s reports that it drains", backend->id);
}

void
stand_withdraw_backend(struct stand_backend *backend, int daemon)
{
    char path[128];
    char ip[32];

    (void)snprintf(path, sizeof(path), "/v1/instances/%s", backend->id);
    for (int i = 0; i < STAND_CONTROLS; i++) {
        int index = (daemon + i) % STAND_CONTROLS;
        format_ip(ip, 1, index);
        int status =
            call_http(ip, stand.port_base + PORT_HTTP, "DELETE", path, "");
        stand_record("DELETE %s to core-%d: status %d", path, index, status);
        if (status == 200) {
            return;
        }
    }
}

void
stand_freeze_control(int index)
{
    (void)kill(stand.controls[index], SIGSTOP);
    stand_record("core-%d freezes", index);
}

void
stand_thaw_control(int index)
{
    (void)kill(stand.controls[index], SIGCONT);
    stand_record("core-%d wakes again", index);
}

bool
stand_control_logged(const char *text)
{
    bool found = false;

    for (int i = 0; i < STAND_CONTROLS; i++) {
        char path[320];
        char *line = NULL;
        size_t size = 0;
        (void)snprintf(path, sizeof(path), "%.200s/control%d.log",
                       stand.folder, i);
        FILE *file = fopen(path, "r");
        while (file != NULL && getline(&line, &size, file) > 0) {
            found = found || strstr(line, text) != NULL;
        }
        free(line);
        if (file != NULL) {
            (void)fclose(file);
        }
    }
    return found;
}

void
stand_record_backends(const char *when)
{
    stand_lock();
    for (int i = 0; i < STAND_BACKENDS; i++) {
        const struct stand_backend *backend = &stand.backends[i];
        uint64_t term = 0;
        uint64_t number = 0;
        get_position(backend, &term, &number);
        stand_record("%s: backend %s %s term=%" PRIu64 " position=%" PRIu64
                     ".%" PRIu64 "%s",
                     when, backend->id,
                     backend->is_primary ? "primary" : "replica",
                     backend->term, term, number,
                     backend->is_down ? " down" : "");
    }
    stand_unlock();
}

// ---- platform ----

static bool
has_write(const struct stand_backend *backend, const char *id)
{
    for (size_t i = backend->log_count; i > 0; i--) {
        if (strcmp(backend->log[i - 1].id, id) == 0) {
            return true;
        }
    }
    return false;
}

// LOST: counts the writes that were acknowledged to clients before the order
// and are not in the log of the promoted backend.
static void
check_promoted(const struct stand_backend *backend, int64_t ordered_us)
{
    size_t missing = 0;

    for (size_t i = 0; i < stand.acks_count; i++) {
        const struct stand_ack *ack = &stand.acks[i];
        if (ack->at_us < ordered_us && !has_write(backend, ack->id)) {
            if (missing++ < 5) {
                stand_record("missing in the promoted log: %s, acknowledged "
                             "at %.3f",
                             ack->id, (double)(ack->at_us - begun_us) / 1e6);
            }
        }
    }
    stand.missing += missing;
    stand_record("promoted %s, term %" PRIu64 ": %zu of %zu acknowledged "
                 "writes are missing",
                 backend->id, backend->term, missing, stand.acks_count);
}

struct promotion {
    struct stand_backend *backend;
    int64_t ordered_us;
};

static void *
promote(void *data)
{
    struct promotion *promotion = data;
    struct stand_backend *backend = promotion->backend;

    stand_sleep_ms(PROMOTE_MS);
    stand_lock();
    const struct stand_backend *primary = stand_find_primary();
    if (!backend->is_down && backend != primary) {
        uint64_t term = 0;
        for (int i = 0; i < STAND_BACKENDS; i++) {
            term = stand.backends[i].term > term ? stand.backends[i].term
                                                 : term;
        }
        backend->term = term + 1;
        backend->is_primary = true;
        stand.promotions++;
        check_promoted(backend, promotion->ordered_us);
    }
    stand_unlock();
    free(promotion);
    return NULL;
}

// POST /failover of the platform.
static void *
serve_platform(void *data)
{
    int listener = *(int *)data;

    while (true) {
        char line[LINE_SIZE];
        char text[LINE_SIZE];
        char holder[64] = "";
        char token[32] = "";
        int status = 404;
        int fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);
        struct reader *reader = calloc(1, sizeof(*reader));
        reader->fd = fd;
        while (fd >= 0 && read_line(reader, line) && line[0] != '\0') {
            (void)sscanf(line, "Duty-Holder: %63s", holder);
            (void)sscanf(line, "Fencing-Token: %31s", token);
        }
        // The body is short, and mostly there with the header.
        if (reader->size == 0) {
            ssize_t got = recv(fd, reader->data, sizeof(reader->data), 0);
            reader->size = got > 0 ? (size_t)got : 0;
        }
        stand_lock();
        for (int i = 0; i < STAND_BACKENDS; i++) {
            struct stand_backend *backend = &stand.backends[i];
            char wanted[80];
            (void)snprintf(wanted, sizeof(wanted), "\"id\":\"%s\"",
                           backend->id);
            if (memmem(reader->data, reader->size, wanted, strlen(wanted)) ==
                NULL) {
                continue;
            }
            status = backend->is_down ? 409 : 200;
            stand_record("failover to %s holder=%s token=%s status=%d",
                         backend->id, holder, token, status);
            if (status == 200) {
                struct promotion *promotion = calloc(1, sizeof(*promotion));
                promotion->backend = backend;
                promotion->ordered_us = stand_now_us();
                start_thread(promote, promotion);
            }
        }
        stand_unlock();
        (void)snprintf(text, sizeof(text),
                       "HTTP/1.1 %d X\r\nContent-Length: 2\r\nConnection: "
                       "close\r\n\r\n{}",
                       status);
        (void)send_text(fd, text);
        (void)close(fd);
        free(reader);
    }
    return NULL;
}

// ---- clients ----

static void
add_ack(const char *id)
{
    stand_lock();
    if (stand.acks_count == stand.acks_capacity) {
        stand.acks_capacity = 2 * stand.acks_capacity + 1024;
        stand.acks =
            realloc(stand.acks, stand.acks_capacity * sizeof(*stand.acks));
    }
    struct stand_ack *ack = &stand.acks[stand.acks_count++];
    (void)snprintf(ack->id, sizeof(ack->id), "%s", id);
    ack->at_us = stand_now_us();
    stand_unlock();
}

// Notes a request as sent. Returns its index.
static size_t
add_request(void)
{
    stand_lock();
    if (stand.requests_count == stand.requests_capacity) {
        stand.requests_capacity = 2 * stand.requests_capacity + 1024;
        stand.requests =
            realloc(stand.requests,
                    stand.requests_capacity * sizeof(*stand.requests));
    }
    size_t index = stand.requests_count++;
    stand.requests[index] =
        (struct stand_request){.sent_us = stand_now_us()};
    stand_unlock();
    return index;
}

void
stand_count_requests(int64_t from_us, int64_t until_us, size_t *sent,
                     size_t *served)
{
    *sent = *served = 0;
    stand_lock();
    for (size_t i = 0; i < stand.requests_count; i++) {
        const struct stand_request *request = &stand.requests[i];
        if (request->sent_us >= from_us && request->sent_us < until_us) {
            *sent += 1;
            *served += request->is_served ? 1 : 0;
        }
    }
    stand_unlock();
}

size_t
stand_count_acks(void)
{
    stand_lock();
    size_t count = stand.acks_count;
    stand_unlock();
    return count;
}

// One session: single writes until an error or its end.
static void
write_session(struct reader *reader, const char *client, unsigned *number)
{
    char text[256];
    char line[LINE_SIZE];
    char id[STAND_ID_SIZE];

    (void)snprintf(text, sizeof(text), "STARTUP %s %s\r\n", stand.database,
                   client);
    if (!send_text(reader->fd, text) || !read_line(reader, line) ||
        strncmp(line, "READY", 5) != 0) {
        return;
    }
    while (!stand.is_stopping) {
        bool is_done = false;
        bool is_signed = false;
        (void)snprintf(id, sizeof(id), "%s-%u", client, ++*number);
        (void)snprintf(text, sizeof(text), "QUERY %s WRITE %u x\r\n", id,
                       *number);
        stand_record("sent %s", id);
        size_t request = add_request();
        if (!send_text(reader->fd, text)) {
            return;
        }
        while (read_line(reader, line)) {
            char signature[LINE_SIZE];
            (void)snprintf(signature, sizeof(signature), "COMPLETE sig.%s",
                           id);
            is_signed = is_signed || strcmp(line, signature) == 0;
            if (strncmp(line, "READY", 5) == 0) {
                is_done = true;
                break;
            }
            stand_record("answered %s: %.80s", id, line);
        }
        if (!is_done) {
            stand_record("no answer to %s", id);
            return;
        }
        if (is_signed) {
            add_ack(id);
            stand_lock();
            stand.requests[request].is_served = true;
            stand_unlock();
        }
        stand_sleep_ms(is_signed ? stand.pause_ms : 50);
    }
}

static void *
run_writer(void *data)
{
    int index = *(int *)data;
    unsigned number = 0;
    char client[24];
    char ip[32];

    free(data);
    (void)snprintf(client, sizeof(client), "client%d", index);
    format_ip(ip, 2, index % STAND_ENTRIES);
    while (!stand.is_stopping) {
        int fd = open_connection(ip, stand.port_base + PORT_FRONT,
                                 CLIENT_TIMEOUT_S);
        if (fd >= 0) {
            struct reader *reader = calloc(1, sizeof(*reader));
            reader->fd = fd;
            write_session(reader, client, &number);
            free(reader);
            (void)close(fd);
        }
        stand_sleep_ms(100);
    }
    return NULL;
}

void
stand_start_writers(int count)
{
    for (int i = 0; i < count; i++) {
        int *index = malloc(sizeof(*index));
        *index = i;
        start_thread(run_writer, index);
    }
}

// ---- start ----

// Finds a loopback subnet and a range of ports that are free on all addresses.
static void
find_ports(void)
{
    unsigned seed = (unsigned)(getpid() ^ stand_now_us());

    for (int attempt = 0; attempt < 50; attempt++) {
        bool is_free = true;
        stand.subnet = 20 + rand_r(&seed) % 200;
        stand.port_base = 20000 + 10 * (rand_r(&seed) % 1000);
        for (int group = 1; group < 10 && is_free; group++) {
            for (int i = 0; i < 4 && is_free; i++) {
                char ip[32];
                format_ip(ip, group, i);
                for (int port = 0; port < PORT_COUNT && is_free; port++) {
                    int fd = open_listener(ip, stand.port_base + port);
                    is_free = fd >= 0;
                    (void)close(fd);
                }
            }
        }
        if (is_free) {
            return;
        }
    }
    stand_give_up("no free ports");
}

static void
start_backends(void)
{
    for (int i = 0; i < STAND_BACKENDS; i++) {
        struct stand_backend *backend = &stand.backends[i];
        backend->index = i;
        (void)snprintf(backend->id, sizeof(backend->id), "i-back%d", i);
        format_ip(backend->ip, 3, i);
        (void)snprintf(backend->zone, sizeof(backend->zone), "%s",
                       zone_of(i));
        backend->is_primary = i == 0;
        backend->term = FIRST_LOG_TERM;
        backend->receive_batch = SIZE_MAX;
        backend->is_down = i >= STAND_FIRST;
        if (i < STAND_FIRST) {
            backend->born_ms = get_wall_ms();
            listen_backend(backend);
            start_thread(beat, backend);
        }
    }
    start_thread(replicate, NULL);
}

void
stand_put_config(int version)
{
    char body[LINE_SIZE];
    char ip[32];

    (void)snprintf(
        body, sizeof(body),
        "{\"version\":%d,\"routes\":[{\"name\":\"r-1\",\"host\":\"%s\","
        "\"pathPrefix\":\"/\",\"routeKind\":\"primary\",\"timeoutMs\":1000,"
        "\"targetLatencyMs\":500,\"priority\":1,\"service\":\"%s\","
        "\"maxAttempts\":2}],\"services\":[{\"name\":\"%s\",\"healthPath\":"
        "\"/health\",\"maxConns\":33,\"protocol\":\"h1\",\"tls\":false,"
        "\"syncReplicas\":%d}],\"limits\":{\"maxHeaderBytes\":16384,"
        "\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
        "\"idleTimeoutMs\":15000,\"txIdleMs\":3000}}",
        version, stand.database, stand.service, stand.service,
        stand.sync_replicas);
    for (int i = 0; i < 100; i++) {
        format_ip(ip, 1, i % STAND_CONTROLS);
        if (call_http(ip, stand.port_base + PORT_HTTP, "PUT", "/v1/config",
                      body) == 200) {
            stand_record("configuration acknowledged: %s", body);
            return;
        }
        stand_sleep_ms(100);
    }
    stand_give_up("the configuration was not accepted");
}

static void
wait_ready(void)
{
    for (int entry = 0; entry < STAND_ENTRIES; entry++) {
        char ip[32];
        int status = 0;
        format_ip(ip, 2, entry);
        for (int i = 0; i < 100 && status != 200; i++) {
            status = call_http(ip, stand.port_base + PORT_HTTP, "GET",
                               "/readyz", "");
            stand_sleep_ms(status == 200 ? 0 : 100);
        }
        if (status != 200) {
            stand_give_up("an entry is not ready");
        }
    }
}

void
stand_start(const char *case_folder, int sync_replicas)
{
    static int platform = -1;
    char path[320];
    char ip[32];

    (void)signal(SIGPIPE, SIG_IGN);
    pthread_cond_init(&received, NULL);
    begun_us = stand_now_us();
    (void)snprintf(path, sizeof(path), "%.200s/record.txt", case_folder);
    record = fopen(path, "w");
    (void)snprintf(stand.folder, sizeof(stand.folder), "/tmp/review-XXXXXX");
    if (record == NULL || mkdtemp(stand.folder) == NULL) {
        stand_give_up("no folder");
    }
    (void)setvbuf(record, NULL, _IOFBF, 1 << 16);
    (void)snprintf(stand.service, sizeof(stand.service), "huvo11a");
    (void)snprintf(stand.database, sizeof(stand.database), "lepu270");
    stand.sync_replicas = sync_replicas;
    stand.pause_ms = 10;
    find_ports();
    format_ip(ip, 9, 0);
    platform = open_listener(ip, stand.port_base + PORT_HTTP);
    if (platform < 0) {
        stand_give_up("the platform's port is in use");
    }
    start_thread(serve_platform, &platform);
    start_backends();
    for (int i = 0; i < STAND_CONTROLS; i++) {
        stand.controls[i] = start_daemon(false, i, true);
    }
    for (int i = 0; i < STAND_ENTRIES; i++) {
        stand.entries[i] = start_daemon(true, i, true);
    }
    stand_put_config(1);
    wait_ready();
    stand_record("the entries are ready");
}
