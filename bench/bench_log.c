#include "bench/bench.h"
#include "catkingrade/kernel/log.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

#define BENCH_LINES 200000

// Writes lines as long as those of a refused request, and returns the time of
// each in microseconds.
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

// Passes a line by that its place may not write any more this second.
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
    bench_report("line that is written", bench_log_written(), "us");
    bench_report("line that is left out", bench_log_suppressed(), "us");
    log_close();
    return OUTCOME_OK;
}

static const struct bench bench_log = {
    .name = "log",
    .help = "processor time of log lines, written and left out",
    .run = bench_log_run,
};

BENCH_REGISTER(bench_log)
