#include <libpq-fe.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/bench.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/kernel/settings.h"

#define GAP_MAX_ENTRIES       16
#define GAP_MAX_SAVES         4000000
#define GAP_US_PER_S          1000000
#define GAP_US_PER_MS         1000.0
#define GAP_TARGET_MS         1000
#define GAP_CONNECT_TIMEOUT_S 2

// All saves of one run; the threads share the list of acknowledged ones.
struct gap_run {
    pthread_mutex_t mutex;
    int64_t until_us;
    double target_ms;
    const char *database;
    int64_t *acknowledged_us;
    size_t acknowledged_count;
    size_t not_run_count;
    size_t unknown_count;
    int next_id;
};

struct gap_caller {
    struct gap_run *run;
    struct settings_address entry;
    pthread_t thread;
};

static PGconn *
gap_connect(const struct gap_caller *caller)
{
    char info[256];

    (void)snprintf(info, sizeof(info),
                   "hostaddr=%s port=%u dbname=%s user=bench "
                   "connect_timeout=%d",
                   caller->entry.host, caller->entry.port,
                   caller->run->database, GAP_CONNECT_TIMEOUT_S);
    return PQconnectdb(info);
}

static int
gap_allocate_id(struct gap_run *run)
{
    pthread_mutex_lock(&run->mutex);
    int id = run->next_id++;
    pthread_mutex_unlock(&run->mutex);
    return id;
}

static void
gap_record_result(struct gap_run *run, const PGresult *result)
{
    const char *detail = PQresultErrorField(result, PG_DIAG_MESSAGE_DETAIL);

    pthread_mutex_lock(&run->mutex);
    if (PQresultStatus(result) == PGRES_COMMAND_OK) {
        if (run->acknowledged_count < GAP_MAX_SAVES) {
            run->acknowledged_us[run->acknowledged_count++] =
                monotonic_get_us();
        }
    }
    else if (detail != NULL && strstr(detail, "outcome=not_run") != NULL) {
        run->not_run_count++;
    }
    else {
        run->unknown_count++;
    }
    pthread_mutex_unlock(&run->mutex);
}

// Saves one row after the other at one entry until the run ends.
static void *
gap_run_caller(void *data)
{
    struct gap_caller *caller = data;
    struct gap_run *run = caller->run;
    PGconn *conn = gap_connect(caller);

    while (monotonic_get_us() < run->until_us) {
        char sql[96];
        if (PQstatus(conn) != CONNECTION_OK) {
            PQfinish(conn);
            conn = gap_connect(caller);
            continue;
        }
        (void)snprintf(sql, sizeof(sql), "INSERT INTO gap (id) VALUES (%d)",
                       gap_allocate_id(run));
        PGresult *result = PQexec(conn, sql);
        gap_record_result(run, result);
        PQclear(result);
    }
    PQfinish(conn);
    return NULL;
}

// Returns the longest time without an acknowledged save, in microseconds; the
// end of the run counts like one.
static int64_t
gap_get_longest_us(const struct gap_run *run)
{
    int64_t longest_us = 0;

    for (size_t i = 1; i < run->acknowledged_count; i++) {
        int64_t gap_us = run->acknowledged_us[i] - run->acknowledged_us[i - 1];
        longest_us = gap_us > longest_us ? gap_us : longest_us;
    }
    if (run->acknowledged_count > 0) {
        int64_t last_us = run->acknowledged_us[run->acknowledged_count - 1];
        int64_t gap_us = run->until_us - last_us;
        longest_us = gap_us > longest_us ? gap_us : longest_us;
    }
    return longest_us;
}

static int
gap_create_table(const struct gap_caller *caller)
{
    PGconn *conn = gap_connect(caller);
    PGresult *result = PQexec(conn, "CREATE TABLE gap (id int)");
    const char *state = PQresultErrorField(result, PG_DIAG_SQLSTATE);
    bool made = PQresultStatus(result) == PGRES_COMMAND_OK ||
                (state != NULL && strcmp(state, "42P07") == 0);

    if (!made) {
        (void)fputs(PQerrorMessage(conn), stderr);
    }
    PQclear(result);
    PQfinish(conn);
    return made ? OUTCOME_OK : OUTCOME_UNAVAILABLE;
}

static int
gap_parse_arguments(int argc, char **argv, struct gap_caller *callers,
                    struct gap_run *run, size_t *count)
{
    if (argc < 4 || argc - 3 > GAP_MAX_ENTRIES) {
        (void)fputs("usage: bench gap SECONDS TARGET_MS DATABASE IP:PORT...\n",
                    stderr);
        return OUTCOME_INVALID;
    }
    run->until_us = strtoll(argv[0], NULL, 10) * GAP_US_PER_S;
    run->target_ms = strtod(argv[1], NULL);
    run->database = argv[2];
    *count = (size_t)argc - 3;
    for (size_t i = 0; i < *count; i++) {
        callers[i].run = run;
        if (!settings_parse_address(argv[3 + i], &callers[i].entry)) {
            (void)fprintf(stderr, "%s: not an IP number and port\n",
                          argv[3 + i]);
            return OUTCOME_INVALID;
        }
    }
    return OUTCOME_OK;
}

// Saves through running entries and reports the longest time in which none
// succeeded; a script takes the primary away meanwhile.
static int
gap_run_bench(int argc, char **argv)
{
    struct gap_caller callers[GAP_MAX_ENTRIES] = {0};
    struct gap_run run = {.mutex = PTHREAD_MUTEX_INITIALIZER};
    size_t count = 0;
    int outcome = gap_parse_arguments(argc, argv, callers, &run, &count);

    if (outcome == OUTCOME_OK) {
        outcome = gap_create_table(&callers[0]);
    }
    if (outcome != OUTCOME_OK) {
        return outcome;
    }
    run.acknowledged_us = xcalloc(GAP_MAX_SAVES, sizeof(int64_t));
    run.until_us += monotonic_get_us();
    for (size_t i = 0; i < count; i++) {
        pthread_create(&callers[i].thread, NULL, gap_run_caller, &callers[i]);
    }
    for (size_t i = 0; i < count; i++) {
        pthread_join(callers[i].thread, NULL);
    }
    bench_report_target("longest gap without a save",
                        (double)gap_get_longest_us(&run) / GAP_US_PER_MS, "ms",
                        run.target_ms, false);
    bench_report("saves acknowledged", (double)run.acknowledged_count, "");
    bench_report("saves refused as not_run", (double)run.not_run_count, "");
    bench_report("saves that ended unknown", (double)run.unknown_count, "");
    free(run.acknowledged_us);
    return OUTCOME_OK;
}

static const struct bench gap_bench = {
    .name = "gap",
    .help =
        "SECONDS TARGET_MS DATABASE IP:PORT...: longest time without a save",
    .run = gap_run_bench,
};

BENCH_REGISTER(gap_bench)
