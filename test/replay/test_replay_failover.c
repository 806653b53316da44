#include <check.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "test/fake/fleet.h"
#include "test/suite.h"

#define MS         INT64_C(1000)
#define S          INT64_C(1000000)
#define START_US   (6 * S)
#define OLD        0 // place of the first primary
#define CUT_ENTRY  0
#define FREE_ENTRY 1

static const struct fleet_params house = {
    .seed = 1,
    .voters = 3,
    .entries = 4,
    .upstreams = 3,
    .domain_delay_us = 1500,
    .promotion = "wait",
    .drift_ppm = 10000,
};

static void
check_promises(struct fleet *fleet)
{
    fleet_check_end(fleet);
    ck_assert_str_eq(fleet->violation, "");
}

// A fleet whose entries save to the first primary.
static struct fleet *
start_fleet(const struct fleet_params *params)
{
    struct fleet *fleet = fleet_create(params);

    fleet_run(fleet, START_US);
    ck_assert_int_eq(fleet_get_primary(fleet), OLD);
    ck_assert_uint_eq(fleet_get_database(fleet)->term, 1);
    for (int i = 0; i < params->entries; i++) {
        ck_assert_uint_gt(fleet->entries[i].acknowledged, 0);
    }
    return fleet;
}

START_TEST(test_one_voter_serves)
{
    struct fleet_params params = house;

    params.voters = 1;
    struct fleet *fleet = start_fleet(&params);
    ck_assert_uint_eq(group_get_daemons_count(fleet->voters[0].group),
                      (size_t)params.entries);
    check_promises(fleet);
    fleet_destroy(fleet);
}
END_TEST

// A fault, what becomes of the database, and within which time saves succeed
// again.
struct scenario {
    const char *name;
    bool kill;             // the primary's process
    bool silence;          // the primary's host
    bool cut_from_control; // the primary, which entries still reach
    bool cut_entry;        // an entry, from all but the primary
    bool lose_leader;      // of the control group
    int64_t limit_us;
};

static const struct scenario scenarios[] = {
    {.name = "process death", .kill = true, .limit_us = 1000 * MS},
    {.name = "silent host", .silence = true, .limit_us = 2500 * MS},
    {.name = "cut off, reachable by entries",
     .cut_from_control = true,
     .limit_us = 2500 * MS},
    {.name = "cut off together with an entry",
     .cut_from_control = true,
     .cut_entry = true,
     .limit_us = 2500 * MS},
    {.name = "process death, control leader lost",
     .kill = true,
     .lose_leader = true,
     .limit_us = 4000 * MS},
    {.name = "silent host, control leader lost",
     .silence = true,
     .lose_leader = true,
     .limit_us = 4000 * MS},
};

static void
break_fleet(struct fleet *fleet, const struct scenario *scenario)
{
    int entry = fleet_entry_node(fleet, CUT_ENTRY);

    if (scenario->kill) {
        fleet_kill_upstream(fleet, OLD);
    }
    if (scenario->silence) {
        fleet_silence(fleet, fleet_upstream_node(fleet, OLD));
    }
    if (scenario->cut_from_control) {
        fleet_cut_from_control(fleet, OLD, true);
    }
    for (int i = 0; scenario->cut_entry && i < fleet->params.voters; i++) {
        fleet_set_cut(fleet, entry, fleet_voter_node(i), true);
    }
    if (scenario->lose_leader) {
        fleet_silence(fleet, fleet_voter_node(fleet_get_leader(fleet)));
    }
}

START_TEST(test_failover)
{
    const struct scenario *scenario = &scenarios[_i];
    struct fleet *fleet = start_fleet(&house);
    int64_t fault_us = network_get_now_us(fleet->network);

    break_fleet(fleet, scenario);
    int64_t saved_us = fleet_run_until_saved(fleet, FREE_ENTRY, 2, 20 * S);
    ck_assert_msg(saved_us > 0, "%s: no save in the new term", scenario->name);
    ck_assert_msg(saved_us - fault_us <= scenario->limit_us,
                  "%s: gap of %ld us", scenario->name,
                  (long)(saved_us - fault_us));
    fleet_run(fleet, 3 * S);
    ck_assert_int_ne(fleet_get_primary(fleet), OLD);
    ck_assert_uint_eq(fleet_get_database(fleet)->term, 2);
    check_promises(fleet);
    fleet_destroy(fleet);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_one_voter_serves);
    tcase_add_loop_test(tests, test_failover, 0, ARRAY_SIZE(scenarios));
}

TEST_MAIN("replay_failover", add_tests)
