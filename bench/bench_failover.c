#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/bench.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "test/fake/fleet.h"

#define FAILOVER_SEEDS    50 // schedules for each fault and delay
#define FAILOVER_START_US 3000000
#define FAILOVER_START_JITTER_US                                              \
    1000000 // the fault's moment varies by so much
#define FAILOVER_SAVE_TIMEOUT_US       20000000
#define FAILOVER_PRIMARY               0
#define FAILOVER_PARTITIONED_ENTRY     0
#define FAILOVER_FIRST_CONNECTED_ENTRY 1
#define FAILOVER_US_PER_MS             1000.0

// A fault of the primary, with the target of its gap.
struct failover_fault {
    const char *name;
    bool kill;
    bool silence;
    bool cut;
    bool lose_leader;
    double target_ms;
};

static const struct failover_fault failover_faults[] = {
    {.name = "process death", .kill = true, .target_ms = 1000},
    {.name = "silent partition", .silence = true, .target_ms = 2500},
    {.name = "cut off, reachable", .cut = true, .target_ms = 2500},
    {.name = "death and leader lost",
     .kill = true,
     .lose_leader = true,
     .target_ms = 4000},
    {.name = "silent and leader lost",
     .silence = true,
     .lose_leader = true,
     .target_ms = 4000},
};

enum failover_phase {
    FAILOVER_GAP,
    FAILOVER_DETECTION,
    FAILOVER_REVOCATION,
    FAILOVER_PROMOTION,
    FAILOVER_PUBLICATION,
    FAILOVER_PHASES,
};

static const char *const failover_phase_names[] = {
    "gap", "detection", "revocation", "promotion", "publication"};

struct failover_samples {
    double values[FAILOVER_PHASES][2 * FAILOVER_SEEDS];
    size_t count;
    size_t failed; // no save within the limit, or a broken promise
};

static int
failover_compare(const void *left, const void *right)
{
    double a = *(const double *)left;
    double b = *(const double *)right;

    return (a > b) - (a < b);
}

// Returns a percentile of sorted values.
static double
failover_get_percentile(const double *values, size_t count, unsigned percent)
{
    size_t place = (count * percent + 99) / 100;

    return count == 0 ? 0 : values[place == 0 ? 0 : place - 1];
}

// Every other schedule of a cut has an entry on the primary's side.
static void
failover_inject_fault(struct fleet *fleet, const struct failover_fault *fault,
                      bool with_entry)
{
    int leader = fleet_get_leader(fleet);
    int side[] = {fleet_upstream_node(fleet, FAILOVER_PRIMARY),
                  fleet_entry_node(fleet, FAILOVER_PARTITIONED_ENTRY)};

    if (fault->kill) {
        fleet_kill_upstream(fleet, FAILOVER_PRIMARY);
    }
    if (fault->silence) {
        fleet_stop_node(fleet, side[0]);
    }
    if (fault->cut && with_entry) {
        fleet_isolate(fleet, side, ARRAY_SIZE(side));
    }
    else if (fault->cut) {
        fleet_set_control_paths_down(fleet, FAILOVER_PRIMARY, true);
    }
    if (fault->lose_leader) {
        fleet_stop_node(fleet, fleet_voter_node(leader));
    }
}

// Returns when every entry that is not cut off has saved in the new term, or
// -1.
static int64_t
failover_wait_until_saved(struct fleet *fleet, int first_entry)
{
    int64_t last_us = -1;

    for (int i = first_entry; i < fleet->params.entries; i++) {
        size_t row = 0;
        int64_t saved_us = -1;
        for (row = 0; row < fleet->acknowledged_count && saved_us < 0; row++) {
            const struct fleet_acknowledged_save *save =
                &fleet->acknowledged[row];
            if (save->entry == i && save->term >= 2) {
                saved_us = save->at_us;
            }
        }
        if (saved_us < 0) {
            saved_us =
                fleet_run_until_saved(fleet, i, 2, FAILOVER_SAVE_TIMEOUT_US);
        }
        if (saved_us < 0) {
            return -1;
        }
        last_us = saved_us > last_us ? saved_us : last_us;
    }
    return last_us;
}

static void
failover_run_schedule(const struct failover_fault *fault, int64_t delay_us,
                      uint64_t seed, struct failover_samples *samples)
{
    struct fleet_params params = {.seed = seed,
                                  .voters = 3,
                                  .entries = 7,
                                  .upstreams = 3,
                                  .domain_delay_us = delay_us,
                                  .promotion = "wait",
                                  .drift_ppm = 1000};
    struct fleet *fleet = fleet_create(&params);
    bool with_entry = fault->cut && seed % 2 == 0;

    fleet_run(fleet, FAILOVER_START_US +
                         (int64_t)(network_get_random(fleet->network) %
                                   FAILOVER_START_JITTER_US));
    int64_t fault_us = network_get_now_us(fleet->network);
    failover_inject_fault(fleet, fault, with_entry);
    int64_t saved_us = failover_wait_until_saved(
        fleet, with_entry ? FAILOVER_FIRST_CONNECTED_ENTRY : 0);
    fleet_check_final_state(fleet);
    if (saved_us < 0 || fleet->violation[0] != '\0') {
        samples->failed++;
        (void)fprintf(stderr, "%s, seed %lu: %s\n", fault->name,
                      (unsigned long)seed,
                      saved_us < 0 ? "no save" : fleet->violation);
    }
    else {
        double times_us[FAILOVER_PHASES] = {
            (double)(saved_us - fault_us),
            (double)(fleet->lost_us - fault_us),
            (double)(fleet->revoked_us - fleet->lost_us),
            (double)(fleet->promoted_us - fleet->revoked_us),
            (double)(saved_us - fleet->promoted_us),
        };
        for (int i = 0; i < FAILOVER_PHASES; i++) {
            samples->values[i][samples->count] =
                times_us[i] / FAILOVER_US_PER_MS;
        }
        samples->count++;
    }
    fleet_destroy(fleet);
}

static void
failover_report(const struct failover_fault *fault,
                struct failover_samples *samples)
{
    char figure[96];

    for (int i = 0; i < FAILOVER_PHASES; i++) {
        double *values = samples->values[i];
        qsort(values, samples->count, sizeof(double), failover_compare);
        (void)snprintf(figure, sizeof(figure), "%s: %s p50", fault->name,
                       failover_phase_names[i]);
        bench_report(
            figure, failover_get_percentile(values, samples->count, 50), "ms");
        (void)snprintf(figure, sizeof(figure), "%s: %s p99", fault->name,
                       failover_phase_names[i]);
        bench_report(
            figure, failover_get_percentile(values, samples->count, 99), "ms");
        (void)snprintf(figure, sizeof(figure), "%s: %s max", fault->name,
                       failover_phase_names[i]);
        double max = failover_get_percentile(values, samples->count, 100);
        if (i == FAILOVER_GAP) {
            bench_report_target(figure, max, "ms", fault->target_ms, false);
        }
        else {
            bench_report(figure, max, "ms");
        }
    }
    (void)snprintf(figure, sizeof(figure), "%s: schedules", fault->name);
    bench_report(figure, (double)samples->count, "");
    (void)snprintf(figure, sizeof(figure), "%s: failed schedules",
                   fault->name);
    bench_report(figure, (double)samples->failed, "");
}

// Runs fixed schedules of each fault at the delays between failure domains of
// one region and between regions, on the virtual clock. The gap is from the
// fault until every entry that is not cut off has saved in the new term.
static int
failover_run(int argc, char **argv)
{
    static const int64_t delays_us[] = {1500, 10000};
    int seeds = argc > 0 ? atoi(argv[0]) : FAILOVER_SEEDS;
    size_t failed = 0;

    if (seeds < 1 || seeds > FAILOVER_SEEDS) {
        (void)fprintf(stderr, "SEEDS must be 1 to %d\n", FAILOVER_SEEDS);
        return OUTCOME_INVALID;
    }
    for (size_t i = 0; i < ARRAY_SIZE(failover_faults); i++) {
        struct failover_samples samples = {0};
        for (size_t d = 0; d < ARRAY_SIZE(delays_us); d++) {
            for (int seed = 1; seed <= seeds; seed++) {
                failover_run_schedule(&failover_faults[i], delays_us[d],
                                      (uint64_t)seed, &samples);
            }
        }
        failover_report(&failover_faults[i], &samples);
        failed += samples.failed;
    }
    return failed == 0 ? OUTCOME_OK : OUTCOME_UNKNOWN;
}

static const struct bench failover_bench = {
    .name = "failover",
    .help = "[SEEDS]: failover gap in fixed schedules on a virtual clock",
    .run = failover_run,
};

BENCH_REGISTER(failover_bench)
