#include <stdio.h>
#include <stdlib.h>

#include "bench/bench.h"
#include "catkingrade/kernel/outcome.h"
#include "test/fake/raft_group.h"

#define SEEDS_DEFAULT 1000
#define RUN_US        20000000
#define LEADER_US     5000000

static void
soak_add_stats(struct raft_group_stats *total,
               const struct raft_group_stats *stats)
{
    total->elections += stats->elections;
    total->committed += stats->committed;
    total->acknowledged += stats->acknowledged;
    total->crashes += stats->crashes;
    total->disks_lost += stats->disks_lost;
    total->installs += stats->installs;
    total->voters_changed += stats->voters_changed;
    total->messages += stats->messages;
}

// Runs one seed. Returns false, with a line on standard error, when a rule
// was broken or the group doesn't serve after its faults have ended.
static bool
soak_run_seed(uint64_t seed, struct raft_group_stats *total)
{
    const struct raft_group_params params = raft_group_get_chaos_params(seed);
    struct raft_group *group = raft_group_create(&params);

    raft_group_run_chaos(group, RUN_US);
    bool serves = raft_group_await_leader(group, LEADER_US) >= 0;
    const char *error = raft_group_get_error(group);
    if (error != NULL) {
        (void)fprintf(stderr, "%s\n", error);
    }
    else if (!serves) {
        (void)fprintf(stderr, "seed %lu: no leader\n", seed);
    }
    soak_add_stats(total, raft_group_get_stats(group));
    raft_group_destroy(group);
    return error == NULL && serves;
}

static int
soak_run(int argc, char **argv)
{
    uint64_t seeds = argc > 0 ? strtoull(argv[0], NULL, 10) : SEEDS_DEFAULT;
    uint64_t first = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
    struct raft_group_stats total = {0};
    uint64_t failed = 0;

    for (uint64_t seed = first; seed < first + seeds; seed++) {
        failed += soak_run_seed(seed, &total) ? 0 : 1;
    }
    bench_report("schedules", (double)seeds, "");
    bench_report_target("schedules that failed", (double)failed, "", 0, false);
    bench_report("elections", (double)total.elections, "");
    bench_report("entries committed", (double)total.committed, "");
    bench_report("proposals acknowledged", (double)total.acknowledged, "");
    bench_report("crashes", (double)total.crashes, "");
    bench_report("disks lost", (double)total.disks_lost, "");
    bench_report("snapshots installed", (double)total.installs, "");
    bench_report("changes of voters", (double)total.voters_changed, "");
    bench_report("messages", (double)total.messages, "");
    return failed == 0 ? OUTCOME_OK : OUTCOME_CORRUPT;
}

static const struct bench bench_raft_soak = {
    .name = "raft-soak",
    .help = "[SEEDS [FIRST]]: random schedules of faults against the "
            "replicated log, 20 s of virtual time each",
    .run = soak_run,
};

BENCH_REGISTER(bench_raft_soak)
