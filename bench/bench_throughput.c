#include <argp.h>
#include <errno.h>
#include <libpq-fe.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bench/bench.h"
#include "catkingrade/kernel/address.h"
#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/kernel/settings.h"
#include "catkingrade/rpc/datagram.h"

#define BENCH_STATEMENT       "bench"
#define BENCH_MAX_DATABASES   8
#define BENCH_ROWS            100
#define BENCH_MAX_SAMPLES     2000000
#define BENCH_POLL_MS         1000
#define BENCH_READ_BYTES      4096
#define BENCH_US_PER_S        1000000
#define BENCH_MIN_RATIO       0.5
#define BENCH_MAX_SESSION_KB  8.0
#define BENCH_SETTLE_US       500000
#define BENCH_PROTOCOL_3      196608
#define BENCH_DEFAULT_CONNS   32
#define BENCH_DEFAULT_SECONDS 5

// What the command line names.
struct throughput_options {
    const char *directs[BENCH_MAX_DATABASES]; // IP:PORT of each upstream
    size_t directs_count;
    const char *databases[BENCH_MAX_DATABASES]; // one for each upstream
    size_t databases_count;
    const char *entry; // IP:PORT of an entry that serves them
    int connections;
    int seconds;
    int idle;      // sessions held open; 0: not measured
    int entry_pid; // whose memory is read; 0: not measured
};

struct load_conn {
    PGconn *conn;
    int64_t sent_us;
    unsigned next;
};

// One run against one address.
struct load {
    struct load_conn *conns;
    int count;
    uint32_t *samples_us;
    size_t samples_count;
    uint64_t statements;
    uint64_t errors;
};

static PGconn *
throughput_connect(const char *address, const char *database)
{
    struct settings_address parsed;

    if (!settings_parse_address(address, &parsed)) {
        (void)fprintf(stderr, "\"%s\" is not IP:PORT\n", address);
        return NULL;
    }
    char *info = xasprintf("host=%s port=%u user=bench dbname=%s "
                           "connect_timeout=10 sslmode=disable",
                           parsed.host, parsed.port, database);
    PGconn *conn = PQconnectdb(info);
    free(info);
    if (PQstatus(conn) != CONNECTION_OK) {
        (void)fprintf(stderr, "%s: %s", address, PQerrorMessage(conn));
        PQfinish(conn);
        return NULL;
    }
    return conn;
}

static bool
throughput_run_sql(PGconn *conn, const char *sql)
{
    PGresult *result = PQexec(conn, sql);
    ExecStatusType status = PQresultStatus(result);

    PQclear(result);
    return status == PGRES_COMMAND_OK || status == PGRES_TUPLES_OK;
}

// Fills the table that is read, directly at the upstream.
static int
throughput_prepare_table(const char *address, const char *database)
{
    PGconn *conn = throughput_connect(address, database);
    bool done = conn != NULL;

    done = done && throughput_run_sql(
                       conn, "CREATE TABLE IF NOT EXISTS bench_throughput "
                             "(id int PRIMARY KEY, v text)");
    for (int i = 0; done && i < BENCH_ROWS; i++) {
        char *sql = xasprintf("INSERT INTO bench_throughput VALUES "
                              "(%d, 'a row of some length for the bench') "
                              "ON CONFLICT DO NOTHING",
                              i);
        done = throughput_run_sql(conn, sql);
        free(sql);
    }
    PQfinish(conn);
    return done ? OUTCOME_OK : OUTCOME_UNAVAILABLE;
}

static int
load_open(struct load *load, const char *address, const char *database,
          int count)
{
    memset(load, 0, sizeof(*load));
    load->conns = xcalloc((size_t)count, sizeof(struct load_conn));
    load->samples_us = xcalloc(BENCH_MAX_SAMPLES, sizeof(uint32_t));
    for (int i = 0; i < count; i++) {
        PGconn *conn = throughput_connect(address, database);
        if (conn == NULL) {
            return OUTCOME_UNAVAILABLE;
        }
        load->conns[load->count].next = (unsigned)i;
        load->conns[load->count++].conn = conn;
        PGresult *result =
            PQprepare(conn, BENCH_STATEMENT,
                      "SELECT v FROM bench_throughput WHERE id = $1", 1, NULL);
        bool prepared = PQresultStatus(result) == PGRES_COMMAND_OK;
        PQclear(result);
        if (!prepared) {
            (void)fprintf(stderr, "%s", PQerrorMessage(conn));
            return OUTCOME_UNAVAILABLE;
        }
    }
    return OUTCOME_OK;
}

static void
load_close(struct load *load)
{
    for (int i = 0; i < load->count; i++) {
        PQfinish(load->conns[i].conn);
    }
    free(load->conns);
    free(load->samples_us);
}

static bool
load_send(struct load_conn *conn)
{
    char number[16];
    const char *params[] = {number};

    (void)snprintf(number, sizeof(number), "%u", conn->next++ % BENCH_ROWS);
    conn->sent_us = monotonic_get_us();
    return PQsendQueryPrepared(conn->conn, BENCH_STATEMENT, 1, params, NULL,
                               NULL, 0) == 1;
}

// Takes the answer of a connection that has one, and sends the next
// statement. Returns false when the connection failed.
static bool
load_receive_result(struct load *load, struct load_conn *conn)
{
    PGresult *result = NULL;

    if (PQconsumeInput(conn->conn) == 0) {
        return false;
    }
    if (PQisBusy(conn->conn) == 1) {
        return true;
    }
    while ((result = PQgetResult(conn->conn)) != NULL) {
        bool whole = PQresultStatus(result) == PGRES_TUPLES_OK &&
                     PQntuples(result) == 1;
        load->errors += whole ? 0 : 1;
        PQclear(result);
    }
    load->statements++;
    if (load->samples_count < BENCH_MAX_SAMPLES) {
        load->samples_us[load->samples_count++] =
            (uint32_t)(monotonic_get_us() - conn->sent_us);
    }
    return load_send(conn);
}

// Keeps one statement in flight on each connection for some seconds.
static int
load_run(struct load *load, int seconds)
{
    struct pollfd *fds = xcalloc((size_t)load->count, sizeof(struct pollfd));
    int64_t end_us = monotonic_get_us() + (int64_t)seconds * BENCH_US_PER_S;
    bool works = true;

    for (int i = 0; i < load->count; i++) {
        fds[i].fd = PQsocket(load->conns[i].conn);
        fds[i].events = POLLIN;
        works = works && load_send(&load->conns[i]);
    }
    while (works && monotonic_get_us() < end_us) {
        works = poll(fds, (nfds_t)load->count, BENCH_POLL_MS) > 0;
        for (int i = 0; works && i < load->count; i++) {
            if (fds[i].revents != 0) {
                works = load_receive_result(load, &load->conns[i]);
            }
        }
    }
    free(fds);
    return works && load->errors == 0 ? OUTCOME_OK : OUTCOME_UNAVAILABLE;
}

static int
load_compare(const void *left, const void *right)
{
    uint32_t a = *(const uint32_t *)left;
    uint32_t b = *(const uint32_t *)right;

    return (a > b) - (a < b);
}

static double
load_get_percentile(struct load *load, unsigned percent)
{
    if (load->samples_count == 0) {
        return 0;
    }
    qsort(load->samples_us, load->samples_count, sizeof(uint32_t),
          load_compare);
    size_t place = (load->samples_count - 1) * percent / 100;
    return load->samples_us[place];
}

// The figures of one run.
struct load_figures {
    double per_second;
    double p50_us;
    double p99_us;
};

// The load of one database, on a thread of its own.
struct load_thread {
    pthread_t thread;
    struct load load;
    int seconds;
    int outcome;
};

static void *
load_run_thread(void *data)
{
    struct load_thread *thread = data;

    thread->outcome = load_run(&thread->load, thread->seconds);
    return NULL;
}

static void
load_add_figures(struct load_thread *thread, struct load_figures *figures)
{
    struct load *load = &thread->load;
    double p50_us = load_get_percentile(load, 50);
    double p99_us = load_get_percentile(load, 99);

    figures->per_second += (double)load->statements / thread->seconds;
    figures->p50_us = p50_us > figures->p50_us ? p50_us : figures->p50_us;
    figures->p99_us = p99_us > figures->p99_us ? p99_us : figures->p99_us;
}

// Loads all databases at once, at the upstreams or through the entry. The
// latencies are those of the slowest database.
static int
throughput_measure(const struct throughput_options *options, bool direct,
                   int connections, struct load_figures *figures)
{
    struct load_thread *threads =
        xcalloc(options->directs_count, sizeof(*threads));
    int outcome = OUTCOME_OK;

    memset(figures, 0, sizeof(*figures));
    for (size_t i = 0; i < options->directs_count && outcome == OUTCOME_OK;
         i++) {
        threads[i].seconds = options->seconds;
        outcome = load_open(&threads[i].load,
                            direct ? options->directs[i] : options->entry,
                            options->databases[i], connections);
    }
    for (size_t i = 0; i < options->directs_count && outcome == OUTCOME_OK;
         i++) {
        INVARIANT(pthread_create(&threads[i].thread, NULL, load_run_thread,
                                 &threads[i]) == 0);
    }
    for (size_t i = 0; i < options->directs_count; i++) {
        if (outcome == OUTCOME_OK) {
            pthread_join(threads[i].thread, NULL);
            load_add_figures(&threads[i], figures);
        }
    }
    for (size_t i = 0; i < options->directs_count; i++) {
        outcome = outcome == OUTCOME_OK ? threads[i].outcome : outcome;
        load_close(&threads[i].load);
    }
    free(threads);
    return outcome;
}

static int
throughput_compare_load(const struct throughput_options *options)
{
    struct load_figures direct;
    struct load_figures entry;
    int outcome =
        throughput_measure(options, true, options->connections, &direct);

    if (outcome == OUTCOME_OK) {
        outcome =
            throughput_measure(options, false, options->connections, &entry);
    }
    if (outcome != OUTCOME_OK) {
        return outcome;
    }
    bench_report("statements direct", direct.per_second, "1/s");
    bench_report("statements through the entry", entry.per_second, "1/s");
    bench_report_target("ratio", entry.per_second / direct.per_second, "",
                        BENCH_MIN_RATIO, true);
    return OUTCOME_OK;
}

static int
throughput_compare_latency(const struct throughput_options *options)
{
    struct load_figures direct;
    struct load_figures entry;
    int outcome = throughput_measure(options, true, 1, &direct);

    if (outcome == OUTCOME_OK) {
        outcome = throughput_measure(options, false, 1, &entry);
    }
    if (outcome != OUTCOME_OK) {
        return outcome;
    }
    bench_report("latency direct, p50", direct.p50_us, "us");
    bench_report("latency direct, p99", direct.p99_us, "us");
    bench_report("latency added, p50", entry.p50_us - direct.p50_us, "us");
    bench_report("latency added, p99", entry.p99_us - direct.p99_us, "us");
    return OUTCOME_OK;
}

// Returns the resident memory of a process in KB, or -1.
static long
throughput_read_memory_kb(int pid)
{
    char line[256];
    char *path = xasprintf("/proc/%d/status", pid);
    FILE *file = fopen(path, "re");
    long size_kb = -1;

    free(path);
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        if (strncmp(line, "VmRSS:", 6) == 0) {
            size_kb = strtol(line + 6, NULL, 10);
        }
    }
    if (file != NULL) {
        (void)fclose(file);
    }
    return size_kb;
}

// Opens a session with a startup message of its own, as libpq would hold
// more memory than the entry. Returns the descriptor, or -1.
static int
idle_open_session(const struct throughput_options *options,
                  const struct settings_address *entry)
{
    struct sockaddr_storage address;
    socklen_t length = address_to_sockaddr(entry, &address);
    struct buffer body = {0};
    struct buffer message = {0};
    int fd = socket(address.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);

    buffer_append_be32(&body, BENCH_PROTOCOL_3);
    buffer_append_format(&body, "user%cbench%cdatabase%c%s%c%c", 0, 0, 0,
                         options->databases[0], 0, 0);
    buffer_append_be32(&message, (uint32_t)buffer_get_size(&body) + 4);
    buffer_append(&message, buffer_get_data(&body), buffer_get_size(&body));
    ssize_t size = (ssize_t)buffer_get_size(&message);
    if (fd >= 0 && (connect(fd, (struct sockaddr *)&address, length) != 0 ||
                    send(fd, buffer_get_data(&message), (size_t)size,
                         MSG_NOSIGNAL) != size)) {
        close(fd);
        fd = -1;
    }
    buffer_free(&body);
    buffer_free(&message);
    return fd;
}

// Returns whether the last frame that came is ReadyForQuery.
static bool
idle_wait_until_ready(int fd)
{
    static const uint8_t ready[] = {'Z', 0, 0, 0, 5, 'I'};
    uint8_t data[BENCH_READ_BYTES];
    size_t size = 0;

    while (size < sizeof(data)) {
        ssize_t got = recv(fd, data + size, sizeof(data) - size, 0);
        if (got <= 0) {
            return false;
        }
        size += (size_t)got;
        if (size >= sizeof(ready) &&
            memcmp(data + size - sizeof(ready), ready, sizeof(ready)) == 0) {
            return true;
        }
    }
    return false;
}

// Holds idle sessions open and compares the entry's memory before and with
// them.
static int
throughput_measure_idle(const struct throughput_options *options)
{
    struct settings_address entry;
    int *fds = xcalloc((size_t)options->idle, sizeof(int));
    int held = 0;

    if (!settings_parse_address(options->entry, &entry)) {
        free(fds);
        return OUTCOME_INVALID;
    }
    long before_kb = throughput_read_memory_kb(options->entry_pid);
    int64_t start_us = monotonic_get_us();
    for (; held < options->idle; held++) {
        fds[held] = idle_open_session(options, &entry);
        if (fds[held] < 0 || !idle_wait_until_ready(fds[held])) {
            break;
        }
    }
    int64_t spent_us = monotonic_get_us() - start_us;
    usleep(BENCH_SETTLE_US);
    long after_kb = throughput_read_memory_kb(options->entry_pid);
    bench_report_target("idle sessions held", held, "", options->idle, true);
    bench_report("time of opening one", (double)spent_us / options->idle,
                 "us");
    if (options->entry_pid > 0 && before_kb > 0 && held > 0) {
        bench_report_target("memory of an idle session",
                            (double)(after_kb - before_kb) / held, "KB",
                            BENCH_MAX_SESSION_KB, false);
    }
    for (int i = 0; i < held; i++) {
        close(fds[i]);
    }
    free(fds);
    return held == options->idle ? OUTCOME_OK : OUTCOME_UNAVAILABLE;
}

static error_t
throughput_parse_option(int key, char *arg, struct argp_state *state)
{
    struct throughput_options *options = state->input;

    switch (key) {
    case 'd':
        if (options->directs_count == BENCH_MAX_DATABASES) {
            return E2BIG;
        }
        options->directs[options->directs_count++] = arg;
        return 0;
    case 'e':
        options->entry = arg;
        return 0;
    case 'n':
        if (options->databases_count == BENCH_MAX_DATABASES) {
            return E2BIG;
        }
        options->databases[options->databases_count++] = arg;
        return 0;
    case 'c':
        options->connections = (int)strtol(arg, NULL, 10);
        return 0;
    case 's':
        options->seconds = (int)strtol(arg, NULL, 10);
        return 0;
    case 'i':
        options->idle = (int)strtol(arg, NULL, 10);
        return 0;
    case 'p':
        options->entry_pid = (int)strtol(arg, NULL, 10);
        return 0;
    case ARGP_KEY_END:
        if (options->directs_count == 0 || options->entry == NULL ||
            options->directs_count != options->databases_count ||
            options->connections < 1 || options->seconds < 1) {
            argp_error(state, "--entry and as many --direct as "
                              "--database are needed; "
                              "bench/throughput.sh starts both");
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option throughput_argp_options[] = {
    {"direct", 'd', "IP:PORT", 0, "An upstream; repeatable", 0},
    {"database", 'n', "NAME", 0, "Its database; repeatable", 0},
    {"entry", 'e', "IP:PORT", 0, "An entry that serves them", 0},
    {"connections", 'c', "N", 0, "Connections to each database [32]", 0},
    {"seconds", 's', "S", 0, "Length of each run [5]", 0},
    {"idle", 'i', "N", 0, "Idle sessions to hold [0]", 0},
    {"entry-pid", 'p', "PID", 0, "The entry's process, for its memory", 0},
    {0},
};

static const struct argp throughput_argp = {
    .options = throughput_argp_options,
    .parser = throughput_parse_option,
};

// Measures an entry against its upstream without it.
static int
bench_throughput_run(int argc, char **argv)
{
    struct throughput_options options = {
        .connections = BENCH_DEFAULT_CONNS,
        .seconds = BENCH_DEFAULT_SECONDS,
    };
    char *args[32] = {"throughput"};

    for (int i = 0; i < argc && i + 1 < (int)ARRAY_SIZE(args); i++) {
        args[i + 1] = argv[i];
    }
    argp_parse(&throughput_argp, argc + 1, args, 0, NULL, &options);
    int outcome = OUTCOME_OK;
    for (size_t i = 0; i < options.directs_count && outcome == OUTCOME_OK;
         i++) {
        outcome =
            throughput_prepare_table(options.directs[i], options.databases[i]);
    }
    if (outcome == OUTCOME_OK) {
        outcome = throughput_compare_load(&options);
    }
    if (outcome == OUTCOME_OK) {
        outcome = throughput_compare_latency(&options);
    }
    if (outcome == OUTCOME_OK && options.idle > 0) {
        outcome = throughput_measure_idle(&options);
    }
    return outcome;
}

static const struct bench bench_throughput = {
    .name = "throughput",
    .help = "an entry against its upstream; bench/throughput.sh runs it",
    .run = bench_throughput_run,
};

BENCH_REGISTER(bench_throughput)
