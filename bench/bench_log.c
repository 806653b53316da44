#include "bench/bench.h"
#include "catkingrade/kernel/log.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

// Time of a log call whose line is written, and of one whose line is
// suppressed by the rate limit.

#define BENCH_LINES 200000

// Writes log lines of the length that a refused request has. Returns the mean
// time of a line in microseconds.
static double
bench_log_written(void)
{
    int64_t start_us = monotonic_get_us();

    for (int i = 0; i < BENCH_LINES; i++) {
        LOG_INFO("request_refused",
                 "id=%s request=%d session=%d database=%s class=%s "
                 "outcome=%s reason=%s waited_ms=%d term=%d "
                 "lease_left_ms=%d upstream=%s retry_after_ms=%d",
                 "9b85016a87db423e", i, i, "roster1", "read", "overloaded",
                 "no slot was free in time", 174, 1, 2523, "i-6b9ca573e1",
                 300);
    }
    return (double)(monotonic_get_us() - start_us) / BENCH_LINES;
}

// Calls a log statement that may write one line a second. Returns the mean
// time of a call in microseconds; nearly all lines are suppressed.
static double
bench_log_suppressed(void)
{
    int64_t start_us = monotonic_get_us();

    for (int i = 0; i < BENCH_LINES; i++) {
        LOG_LIMITED(1, LOG_LEVEL_INFO, "request_sent", "request=%d", i);
    }
    return (double)(monotonic_get_us() - start_us) / BENCH_LINES;
}

static int
bench_log_run(int argc, char **argv)
{
    (void)argc;
    (void)argv;
    if (log_open("/dev/null", LOG_LEVEL_INFO, LOG_FORMAT_JSON, "vm1") !=
        OUTCOME_OK) {
        return OUTCOME_IO;
    }
    bench_report("log line written", bench_log_written(), "us");
    bench_report("log line suppressed by its rate limit",
                 bench_log_suppressed(), "us");
    log_close();
    return OUTCOME_OK;
}

static const struct bench bench_log = {
    .name = "log",
    .help = "time of log lines, written and suppressed by their rate limit",
    .run = bench_log_run,
};

BENCH_REGISTER(bench_log)
