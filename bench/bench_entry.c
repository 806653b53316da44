#include <libpq-fe.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/bench.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

// Throughput and latency through an entry against direct connections to one
// upstream, and memory of idle sessions. All run from outside, as callers.

#define BENCH_CLIENTS       16
#define BENCH_RUN_US        4000000
#define BENCH_MAX_SAMPLES   200000
#define BENCH_IDLE_SESSIONS 5000
#define BENCH_STATEMENT     "SELECT 1"

struct bench_client {
    const char *info;
    pthread_t thread;
    int64_t until_us;
    int64_t *samples; // latencies in microseconds
    size_t samples_count;
    bool failed;
};

struct bench_load {
    double rate;
    double p50_us;
    double p99_us;
};

static void *
bench_client_run(void *data)
{
    struct bench_client *client = data;
    PGconn *conn = PQconnectdb(client->info);

    client->failed = PQstatus(conn) != CONNECTION_OK;
    while (!client->failed && client->samples_count < BENCH_MAX_SAMPLES) {
        int64_t start_us = monotonic_get_us();
        if (start_us >= client->until_us) {
            break;
        }
        PGresult *result = PQexec(conn, BENCH_STATEMENT);
        client->failed = PQresultStatus(result) != PGRES_TUPLES_OK;
        PQclear(result);
        client->samples[client->samples_count++] =
            monotonic_get_us() - start_us;
    }
    PQfinish(conn);
    return NULL;
}

static int
bench_compare(const void *a, const void *b)
{
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;

    return (left > right) - (left < right);
}

static int
bench_join_clients(struct bench_client *clients, struct bench_load *load)
{
    int64_t *all = xcalloc(BENCH_CLIENTS * BENCH_MAX_SAMPLES, sizeof(*all));
    size_t count = 0;
    int outcome = OUTCOME_OK;

    for (int i = 0; i < BENCH_CLIENTS; i++) {
        pthread_join(clients[i].thread, NULL);
        memcpy(&all[count], clients[i].samples,
               clients[i].samples_count * sizeof(*all));
        count += clients[i].samples_count;
        free(clients[i].samples);
        if (clients[i].failed) {
            outcome = OUTCOME_UNAVAILABLE;
        }
    }
    if (count > 0) {
        qsort(all, count, sizeof(*all), bench_compare);
        load->rate = (double)count * 1e6 / BENCH_RUN_US;
        size_t middle = count / 2;
        size_t tail = count * 99 / 100;
        load->p50_us = (double)all[middle];
        load->p99_us = (double)all[tail];
    }
    free(all);
    return outcome;
}

// Runs the clients against one address for a fixed time.
static int
bench_run_load(const char *info, struct bench_load *load)
{
    struct bench_client clients[BENCH_CLIENTS] = {0};
    int64_t until_us = monotonic_get_us() + BENCH_RUN_US;

    for (int i = 0; i < BENCH_CLIENTS; i++) {
        clients[i].info = info;
        clients[i].until_us = until_us;
        clients[i].samples =
            xcalloc(BENCH_MAX_SAMPLES, sizeof(*clients[i].samples));
        INVARIANT(pthread_create(&clients[i].thread, NULL, bench_client_run,
                                 &clients[i]) == 0);
    }
    return bench_join_clients(clients, load);
}

static long
bench_get_rss_kb(const char *pid)
{
    char path[64];
    char line[128];
    long size_kb = 0;

    (void)snprintf(path, sizeof(path), "/proc/%s/status", pid);
    FILE *file = fopen(path, "r");
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        if (strncmp(line, "VmRSS:", strlen("VmRSS:")) == 0) {
            size_kb = strtol(line + strlen("VmRSS:"), NULL, 10);
        }
    }
    if (file != NULL) {
        (void)fclose(file);
    }
    return size_kb;
}

// Opens idle sessions, each of which has run one statement, and reports what
// the entry's resident memory grew by.
static int
bench_run_idle(const char *info, const char *pid)
{
    PGconn **conns = xcalloc(BENCH_IDLE_SESSIONS, sizeof(PGconn *));
    long before_kb = bench_get_rss_kb(pid);
    int outcome = OUTCOME_OK;

    for (int i = 0; i < BENCH_IDLE_SESSIONS; i++) {
        conns[i] = PQconnectdb(info);
        PGresult *result = PQexec(conns[i], BENCH_STATEMENT);
        if (PQresultStatus(result) != PGRES_TUPLES_OK) {
            outcome = OUTCOME_UNAVAILABLE;
        }
        PQclear(result);
    }
    long after_kb = bench_get_rss_kb(pid);
    bench_report("idle_sessions", BENCH_IDLE_SESSIONS, "sessions");
    bench_report_target("idle_session_memory",
                        (double)(after_kb - before_kb) / BENCH_IDLE_SESSIONS,
                        "KB", 8, false);
    for (int i = 0; i < BENCH_IDLE_SESSIONS; i++) {
        PQfinish(conns[i]);
    }
    free(conns);
    return outcome;
}

// argv: libpq connection texts of an upstream and of the entry, and the
// entry's process id for the measurement of memory.
static int
bench_entry_run(int argc, char **argv)
{
    struct bench_load direct = {0};
    struct bench_load entry = {0};

    if (argc < 2) {
        (void)fputs("usage: catkingrade bench entry UPSTREAM-CONNINFO "
                    "ENTRY-CONNINFO [ENTRY-PID]\n",
                    stderr);
        return OUTCOME_INVALID;
    }
    int outcome = bench_run_load(argv[0], &direct);
    if (outcome == OUTCOME_OK) {
        outcome = bench_run_load(argv[1], &entry);
    }
    if (outcome != OUTCOME_OK) {
        return outcome;
    }
    bench_report("direct_rate", direct.rate, "statements/s");
    bench_report("entry_rate", entry.rate, "statements/s");
    bench_report_target("rate_ratio", entry.rate / direct.rate, "", 0.5, true);
    bench_report("added_p50", entry.p50_us - direct.p50_us, "us");
    bench_report("added_p99", entry.p99_us - direct.p99_us, "us");
    return argc < 3 ? OUTCOME_OK : bench_run_idle(argv[1], argv[2]);
}

static const struct bench entry_bench = {
    .name = "entry",
    .help = "throughput, latency and memory of an entry against direct",
    .run = bench_entry_run,
};

BENCH_REGISTER(entry_bench)
