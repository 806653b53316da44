// Failovers, switchovers and partitions of a simulated fleet. The simulation
// checks its invariants all along; check_fleet adds that the voters' states
// are equal and that the primary holds every acknowledged save.

#include <check.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "test/fake/fleet.h"
#include "test/suite.h"

#define MS              INT64_C(1000)
#define S               INT64_C(1000000)
#define START_US        (6 * S)
#define OLD_PRIMARY     0 // index of the first primary
#define ISOLATED_ENTRY  0
#define CONNECTED_ENTRY 1

static const struct fleet_params default_params = {
    .seed = 1,
    .voters = 3,
    .entries = 4,
    .upstreams = 3,
    .domain_delay_us = 1500,
    .promotion = "wait",
    .drift_ppm = 10000,
};

static void
check_fleet(struct fleet *fleet)
{
    fleet_check_final_state(fleet);
    ck_assert_str_eq(fleet->violation, "");
}

// Starts a fleet and runs it until every entry has saved to the first primary.
static struct fleet *
start_fleet(const struct fleet_params *params)
{
    struct fleet *fleet = fleet_create(params);

    fleet_run(fleet, START_US);
    ck_assert_int_eq(fleet_get_primary(fleet), OLD_PRIMARY);
    ck_assert_uint_eq(fleet_get_database(fleet)->term, 1);
    for (int i = 0; i < params->entries; i++) {
        ck_assert_uint_gt(fleet->entries[i].acknowledged, 0);
    }
    return fleet;
}

START_TEST(test_one_voter_serves)
{
    struct fleet_params params = default_params;

    params.voters = 1;
    struct fleet *fleet = start_fleet(&params);
    ck_assert_uint_eq(group_get_daemons_count(fleet->voters[0].group),
                      (size_t)params.entries);
    check_fleet(fleet);
    fleet_destroy(fleet);
}
END_TEST

// Faults to inject, and the time limit until saves succeed again.
struct scenario {
    const char *name;
    bool kill;             // kill the primary's process
    bool silence;          // silence the primary's host
    bool cut_from_control; // cut the primary; entries still reach it
    bool cut_entry;        // cut an entry from all voters
    bool lose_leader;      // silence the control group's leader
    bool slow_answers;     // delay messages of voters to that entry by 200 ms
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
    {.name = "cut off together with an entry, which control answers late",
     .cut_from_control = true,
     .cut_entry = true,
     .slow_answers = true,
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
inject_faults(struct fleet *fleet, const struct scenario *scenario)
{
    int entry = fleet_entry_node(fleet, ISOLATED_ENTRY);

    if (scenario->kill) {
        fleet_kill_upstream(fleet, OLD_PRIMARY);
    }
    if (scenario->silence) {
        fleet_stop_node(fleet, fleet_upstream_node(fleet, OLD_PRIMARY));
    }
    if (scenario->cut_from_control) {
        fleet_set_control_paths_down(fleet, OLD_PRIMARY, true);
    }
    for (int i = 0; scenario->cut_entry && i < fleet->params.voters; i++) {
        fleet_set_paths_down(fleet, entry, fleet_voter_node(i), true);
    }
    if (scenario->lose_leader) {
        fleet_stop_node(fleet, fleet_voter_node(fleet_get_leader(fleet)));
    }
}

START_TEST(test_failover)
{
    const struct scenario *scenario = &scenarios[_i];
    struct fleet *fleet = start_fleet(&default_params);
    if (scenario->slow_answers) {
        for (int i = 0; i < fleet->params.voters; i++) {
            network_set_delay(fleet->network, fleet_voter_node(i),
                              fleet_entry_node(fleet, ISOLATED_ENTRY),
                              200 * MS);
        }
        fleet_run(fleet, 2 * S);
    }
    int64_t fault_us = network_get_now_us(fleet->network);
    inject_faults(fleet, scenario);
    int64_t saved_us =
        fleet_run_until_saved(fleet, CONNECTED_ENTRY, 2, 20 * S);
    ck_assert_msg(saved_us > 0, "%s: no save in the new term", scenario->name);
    ck_assert_msg(saved_us - fault_us <= scenario->limit_us,
                  "%s: gap of %ld us", scenario->name,
                  (long)(saved_us - fault_us));
    fleet_run(fleet, 3 * S);
    ck_assert_int_ne(fleet_get_primary(fleet), OLD_PRIMARY);
    ck_assert_uint_eq(fleet_get_database(fleet)->term, 2);
    check_fleet(fleet);
    fleet_destroy(fleet);
}
END_TEST

START_TEST(test_every_entry_gets_quotas)
{
    struct fleet *fleet = start_fleet(&default_params);
    unsigned slots = 0;

    for (int i = 0; i < default_params.entries; i++) {
        const struct ck_quota *quota = &fleet->entries[i].quotas[OLD_PRIMARY];
        ck_assert_uint_ge(quota->slots, quota->guaranteed_slots);
        ck_assert_uint_gt(quota->guaranteed_connections, 0);
        slots += quota->slots;
    }
    ck_assert_uint_gt(slots, 0);
    check_fleet(fleet);
    fleet_destroy(fleet);
}
END_TEST

START_TEST(test_returning_primary_is_fenced_and_follows)
{
    struct fleet *fleet = start_fleet(&default_params);
    struct fleet_upstream *old = &fleet->upstreams[OLD_PRIMARY];

    fleet_kill_upstream(fleet, OLD_PRIMARY);
    ck_assert(fleet_run_until_saved(fleet, CONNECTED_ENTRY, 2, 5 * S) > 0);
    fleet_run(fleet, 3 * S);
    ck_assert_int_eq(
        group_find_upstream(fleet->voters[fleet_get_leader(fleet)].group, "u0")
            ->state,
        CK_UPSTREAM_LOST);
    fleet_restart_upstream(fleet, OLD_PRIMARY);
    fleet_run(fleet, 3 * S);
    ck_assert(old->was_fenced);
    ck_assert(!old->is_primary);
    ck_assert_int_eq(old->follows, fleet_get_primary(fleet));
    ck_assert_uint_eq(old->timeline, 2);
    ck_assert_uint_eq(fleet_get_database(fleet)->term, 2);
    check_fleet(fleet);
    fleet_destroy(fleet);
}
END_TEST

START_TEST(test_second_failover_needs_more_evidence)
{
    struct fleet *fleet = start_fleet(&default_params);

    fleet_kill_upstream(fleet, OLD_PRIMARY);
    ck_assert(fleet_run_until_saved(fleet, CONNECTED_ENTRY, 2, 5 * S) > 0);
    fleet_restart_upstream(fleet, OLD_PRIMARY);
    fleet_run(fleet, 5 * S);
    int second = fleet_get_primary(fleet);
    int64_t fault_us = network_get_now_us(fleet->network);
    fleet_kill_upstream(fleet, second);
    int64_t saved_us =
        fleet_run_until_saved(fleet, CONNECTED_ENTRY, 3, 20 * S);
    ck_assert(saved_us > 0);
    // At least twice the suspicion time; the first failover took 0.1 s.
    ck_assert_int_ge(saved_us - fault_us, 1000 * MS);
    check_fleet(fleet);
    fleet_destroy(fleet);
}
END_TEST

START_TEST(test_switchover_has_no_unknown_outcome)
{
    struct fleet *fleet = start_fleet(&default_params);

    fleet_submit_command(fleet, CK_COMMAND_SWITCHOVER, 2);
    ck_assert(fleet_run_until_saved(fleet, CONNECTED_ENTRY, 2, 5 * S) > 0);
    fleet_run(fleet, 1 * S);
    ck_assert(fleet->command_answered);
    ck_assert_int_eq(fleet->command_outcome, OUTCOME_OK);
    ck_assert_int_eq(fleet_get_primary(fleet), 2);
    ck_assert_int_eq(fleet->upstreams[OLD_PRIMARY].follows, 2);
    ck_assert_uint_eq(fleet_count_unknown_saves(fleet), 0);
    // The command is idempotent.
    fleet_submit_command(fleet, CK_COMMAND_SWITCHOVER, 2);
    ck_assert(fleet->command_answered);
    ck_assert_int_eq(fleet->command_outcome, OUTCOME_OK);
    ck_assert_uint_eq(fleet_get_database(fleet)->term, 2);
    check_fleet(fleet);
    fleet_destroy(fleet);
}
END_TEST

START_TEST(test_switchover_to_lagging_target_times_out)
{
    struct fleet *fleet = start_fleet(&default_params);

    fleet_set_paths_down(fleet, fleet_upstream_node(fleet, OLD_PRIMARY),
                         fleet_upstream_node(fleet, 2), true);
    fleet_run(fleet, 100 * MS);
    fleet_submit_command(fleet, CK_COMMAND_SWITCHOVER, 2);
    ck_assert(fleet_run_until_saved(fleet, CONNECTED_ENTRY, 2, 10 * S) > 0);
    ck_assert(fleet->command_answered);
    ck_assert_int_eq(fleet->command_outcome, OUTCOME_TIMEOUT);
    ck_assert_int_eq(fleet_get_primary(fleet), OLD_PRIMARY);
    ck_assert_uint_eq(fleet_count_unknown_saves(fleet), 0);
    check_fleet(fleet);
    fleet_destroy(fleet);
}
END_TEST

START_TEST(test_leaving_primary_is_switched_over)
{
    struct fleet *fleet = start_fleet(&default_params);

    fleet->upstreams[OLD_PRIMARY].is_leaving = true;
    ck_assert(fleet_run_until_saved(fleet, CONNECTED_ENTRY, 2, 2 * S) > 0);
    ck_assert_int_ne(fleet_get_primary(fleet), OLD_PRIMARY);
    ck_assert_uint_eq(fleet_count_unknown_saves(fleet), 0);
    check_fleet(fleet);
    fleet_destroy(fleet);
}
END_TEST

// Starts a fleet and loses two of three upstreams, so that the remaining
// replica is not known to be complete.
static struct fleet *
start_without_complete_replica(const char *promotion)
{
    struct fleet_params params = default_params;

    params.promotion = promotion;
    struct fleet *fleet = start_fleet(&params);
    fleet_kill_upstream(fleet, OLD_PRIMARY);
    fleet_kill_upstream(fleet, 1);
    fleet_run(fleet, 5 * S);
    ck_assert(fleet_get_database(fleet)->superseding);
    ck_assert_uint_eq(fleet->promotion_waits_count, 1);
    return fleet;
}

START_TEST(test_incomplete_replica_is_not_promoted)
{
    struct fleet *fleet = start_without_complete_replica("wait");

    fleet_submit_command(fleet, CK_COMMAND_PROMOTE, 2);
    ck_assert(fleet->command_answered);
    ck_assert_int_eq(fleet->command_outcome, OUTCOME_DENIED);
    fleet_run(fleet, 3 * S);
    ck_assert(fleet_get_database(fleet)->superseding);
    // The other replica returns; with both replicas the choice is complete.
    fleet_restart_upstream(fleet, 1);
    ck_assert(fleet_run_until_saved(fleet, CONNECTED_ENTRY, 2, 5 * S) > 0);
    ck_assert_int_ne(fleet_get_primary(fleet), OLD_PRIMARY);
    check_fleet(fleet);
    fleet_destroy(fleet);
}
END_TEST

START_TEST(test_returning_primary_gets_next_term)
{
    struct fleet *fleet = start_without_complete_replica("wait");

    fleet_restart_upstream(fleet, OLD_PRIMARY);
    ck_assert(fleet_run_until_saved(fleet, CONNECTED_ENTRY, 2, 5 * S) > 0);
    ck_assert_int_eq(fleet_get_primary(fleet), OLD_PRIMARY);
    check_fleet(fleet);
    fleet_destroy(fleet);
}
END_TEST

START_TEST(test_operator_promotes_incomplete_replica)
{
    struct fleet *fleet = start_without_complete_replica("operator");

    fleet_submit_command(fleet, CK_COMMAND_PROMOTE, 2);
    fleet_run(fleet, 1 * S);
    ck_assert(fleet->command_answered);
    ck_assert_int_eq(fleet->command_outcome, OUTCOME_OK);
    ck_assert_int_eq(fleet_get_primary(fleet), 2);
    fleet_destroy(fleet);
}
END_TEST

START_TEST(test_slow_primary_is_not_lost)
{
    struct fleet *fleet = start_fleet(&default_params);
    int primary = fleet_upstream_node(fleet, OLD_PRIMARY);
    int nodes = default_params.voters + default_params.entries +
                default_params.upstreams;

    for (int i = 0; i < nodes; i++) {
        network_set_delay(fleet->network, i, primary, 60 * MS);
        network_set_delay(fleet->network, primary, i, 60 * MS);
    }
    fleet_run(fleet, 20 * S);
    ck_assert_uint_eq(fleet->superseded_count, 0);
    ck_assert_uint_eq(fleet_get_database(fleet)->term, 1);
    check_fleet(fleet);
    fleet_destroy(fleet);
}
END_TEST

START_TEST(test_report_of_one_entry_causes_no_failover)
{
    struct fleet *fleet = start_fleet(&default_params);

    fleet_set_paths_down(fleet, fleet_entry_node(fleet, ISOLATED_ENTRY),
                         fleet_upstream_node(fleet, OLD_PRIMARY), true);
    fleet_run(fleet, 20 * S);
    ck_assert_uint_eq(fleet->superseded_count, 0);
    check_fleet(fleet);
    fleet_destroy(fleet);
}
END_TEST

START_TEST(test_primary_unreachable_from_all_entries)
{
    struct fleet *fleet = start_fleet(&default_params);

    for (int i = 0; i < default_params.entries; i++) {
        fleet_set_paths_down(fleet, fleet_entry_node(fleet, i),
                             fleet_upstream_node(fleet, OLD_PRIMARY), true);
    }
    ck_assert(fleet_run_until_saved(fleet, CONNECTED_ENTRY, 2, 5 * S) > 0);
    check_fleet(fleet);
    fleet_destroy(fleet);
}
END_TEST

START_TEST(test_minority_partition_with_leader_and_primary)
{
    struct fleet *fleet = start_fleet(&default_params);
    int leader = fleet_get_leader(fleet);
    int minority[] = {fleet_voter_node(leader),
                      fleet_entry_node(fleet, ISOLATED_ENTRY),
                      fleet_upstream_node(fleet, OLD_PRIMARY)};
    struct fleet_entry *cut = &fleet->entries[ISOLATED_ENTRY];

    fleet_isolate(fleet, minority, ARRAY_SIZE(minority));
    ck_assert(fleet_run_until_saved(fleet, CONNECTED_ENTRY, 2, 8 * S) > 0);
    size_t acknowledged = cut->acknowledged;
    ck_assert_int_ne(fleet_get_leader(fleet), leader);
    fleet_run(fleet, 5 * S);
    ck_assert_uint_eq(cut->acknowledged, acknowledged);
    // The old leader and the old primary rejoin.
    fleet_restore_paths(fleet);
    ck_assert(fleet_run_until_saved(fleet, ISOLATED_ENTRY, 2, 8 * S) > 0);
    fleet_run(fleet, 3 * S);
    ck_assert(!fleet->upstreams[OLD_PRIMARY].is_primary);
    check_fleet(fleet);
    fleet_destroy(fleet);
}
END_TEST

START_TEST(test_entry_restarts)
{
    struct fleet *fleet = start_fleet(&default_params);

    fleet_restart_entry(fleet, ISOLATED_ENTRY);
    ck_assert(fleet_run_until_saved(fleet, ISOLATED_ENTRY, 1, 2 * S) > 0);
    // The lease of the entry's previous incarnation still counts in a
    // failover.
    fleet_restart_entry(fleet, ISOLATED_ENTRY);
    fleet_kill_upstream(fleet, OLD_PRIMARY);
    ck_assert(fleet_run_until_saved(fleet, ISOLATED_ENTRY, 2, 5 * S) > 0);
    check_fleet(fleet);
    fleet_destroy(fleet);
}
END_TEST

// Guards against a database that stays without a primary after a second loss:
// a lost replica is removed once the other replica has reached the same
// position, so that the later loss of the primary still leaves a complete
// replica.
START_TEST(test_lost_replica_is_removed)
{
    struct fleet_params params = default_params;

    params.lost_retention_us = 5 * S;
    struct fleet *fleet = start_fleet(&params);
    fleet_kill_upstream(fleet, 2);
    fleet_run(fleet, 4 * S);
    ck_assert_uint_eq(fleet_get_database(fleet)->upstreams.upstreams_len, 3);
    fleet_run(fleet, 5 * S);
    ck_assert_uint_eq(fleet_get_database(fleet)->upstreams.upstreams_len, 2);
    fleet_kill_upstream(fleet, OLD_PRIMARY);
    // u1 is promoted, but no replica confirms its saves.
    fleet_run(fleet, 3 * S);
    ck_assert_uint_eq(fleet_get_database(fleet)->term, 2);
    ck_assert_int_eq(fleet_get_primary(fleet), 1);
    // u2 returns and confirms saves again.
    fleet_restart_upstream(fleet, 2);
    ck_assert(fleet_run_until_saved(fleet, CONNECTED_ENTRY, 2, 5 * S) > 0);
    ck_assert_uint_eq(fleet_get_database(fleet)->upstreams.upstreams_len, 3);
    ck_assert_int_eq(fleet->upstreams[2].follows, 1);
    check_fleet(fleet);
    fleet_destroy(fleet);
}
END_TEST

START_TEST(test_lost_replica_stays_while_other_lags)
{
    struct fleet_params params = default_params;

    params.lost_retention_us = 5 * S;
    struct fleet *fleet = start_fleet(&params);
    // u2 alone confirms saves, and is lost before u1 has caught up.
    fleet_set_paths_down(fleet, fleet_upstream_node(fleet, OLD_PRIMARY),
                         fleet_upstream_node(fleet, 1), true);
    fleet_run(fleet, 500 * MS);
    fleet_kill_upstream(fleet, 2);
    fleet_run(fleet, 12 * S);
    ck_assert_uint_eq(fleet_get_database(fleet)->upstreams.upstreams_len, 3);
    fleet_kill_upstream(fleet, OLD_PRIMARY);
    fleet_run(fleet, 5 * S);
    ck_assert(fleet_get_database(fleet)->superseding);
    fleet_restart_upstream(fleet, 2);
    ck_assert(fleet_run_until_saved(fleet, CONNECTED_ENTRY, 2, 5 * S) > 0);
    ck_assert_int_eq(fleet_get_primary(fleet), 2);
    check_fleet(fleet);
    fleet_destroy(fleet);
}
END_TEST

#define RANDOM_SEEDS  40 // FLEET_SEEDS in the environment overrides it
#define RANDOM_FAULTS 12

// Injects one random fault, or repairs faults.
static void
inject_random_fault(struct fleet *fleet)
{
    int nodes = default_params.voters + default_params.entries +
                default_params.upstreams;
    int one = (int)(network_get_random(fleet->network) % (uint64_t)nodes);
    int other = (int)(network_get_random(fleet->network) % (uint64_t)nodes);
    int upstream = one % default_params.upstreams;

    switch (network_get_random(fleet->network) % 6) {
    case 0:
    case 1:
        if (one != other) {
            fleet_set_paths_down(fleet, one, other, true);
        }
        break;
    case 2:
        fleet_isolate(fleet, &one, 1);
        break;
    case 3:
        fleet_kill_upstream(fleet, upstream);
        break;
    case 4:
        fleet_restart_entry(fleet, one % default_params.entries);
        break;
    default:
        fleet_restore_paths(fleet);
        fleet_restart_upstream(fleet, upstream);
        break;
    }
}

START_TEST(test_random_faults)
{
    struct fleet_params params = default_params;
    struct network_faults faults = {
        .delay_max_us = 3 * MS, .drop_ppm = 20000, .duplicate_ppm = 20000};

    params.seed = (uint64_t)_i + 100;
    params.lost_retention_us = _i % 2 == 0 ? 3 * S : 0;
    struct fleet *fleet = fleet_create(&params);
    fleet_run(fleet, START_US);
    network_set_faults(fleet->network, &faults);
    for (int i = 0; i < RANDOM_FAULTS; i++) {
        inject_random_fault(fleet);
        fleet_run(fleet, (int64_t)(network_get_random(fleet->network) %
                                   (uint64_t)(2 * S)));
        ck_assert_msg(fleet->violation[0] == '\0', "seed %d: %s", _i,
                      fleet->violation);
    }
    fleet_restore_paths(fleet);
    for (int i = 0; i < default_params.upstreams; i++) {
        fleet_restart_upstream(fleet, i);
    }
    ck_assert_msg(fleet_run_until_saved(fleet, CONNECTED_ENTRY, 1, 30 * S) > 0,
                  "seed %d: no save after all was mended", _i);
    fleet_run(fleet, 2 * S);
    fleet_check_final_state(fleet);
    ck_assert_msg(fleet->violation[0] == '\0', "seed %d: %s", _i,
                  fleet->violation);
    fleet_destroy(fleet);
}
END_TEST

#define FREEZES 10

// Freezes a voter, most often the leader, or an entry, and lets a primary be
// lost or an entry restart meanwhile.
static void
inject_random_freeze(struct fleet *fleet)
{
    uint64_t random = network_get_random(fleet->network);
    int voter = (int)(random / 8 % (uint64_t)default_params.voters);
    int entry = (int)(random / 64 % (uint64_t)default_params.entries);
    int leader = fleet_get_leader(fleet);
    int primary = fleet_get_primary(fleet);
    int64_t until_us = network_get_now_us(fleet->network) +
                       (int64_t)(random / 1024 % (uint64_t)(3 * S));

    switch (random % 8) {
    case 0:
    case 1:
    case 2:
        voter = leader >= 0 ? leader : voter;
        network_freeze_node(fleet->network, voter, until_us);
        break;
    case 3:
        network_freeze_node(fleet->network, voter, until_us);
        break;
    case 4:
        network_freeze_node(fleet->network, default_params.voters + entry,
                            until_us);
        break;
    case 5:
        fleet_kill_upstream(fleet, primary >= 0 ? primary : 0);
        break;
    case 6:
        fleet_restart_entry(fleet, entry);
        break;
    default:
        for (int i = 0; i < default_params.upstreams; i++) {
            fleet_restart_upstream(fleet, i);
        }
        break;
    }
}

// Guards against a save acknowledged at the old primary because a leader or an
// entry that stood still acts when it wakes.
START_TEST(test_random_freezes)
{
    struct fleet_params params = default_params;
    struct network_faults faults = {.delay_max_us =
                                        _i % 2 == 0 ? 3 * MS : 150 * MS};

    params.seed = (uint64_t)_i + 7000;
    struct fleet *fleet = fleet_create(&params);
    fleet_run(fleet, START_US);
    network_set_faults(fleet->network, &faults);
    for (int i = 0; i < FREEZES; i++) {
        inject_random_freeze(fleet);
        fleet_run(fleet, (int64_t)(network_get_random(fleet->network) %
                                   (uint64_t)(2 * S)));
        ck_assert_msg(fleet->violation[0] == '\0', "seed %d: %s", _i,
                      fleet->violation);
    }
    fleet_run(fleet, 4 * S);
    ck_assert_msg(fleet->violation[0] == '\0', "seed %d: %s", _i,
                  fleet->violation);
    fleet_destroy(fleet);
}
END_TEST

static void
add_tests(TCase *tests)
{
    const char *wanted = getenv("FLEET_SEEDS");
    int seeds = wanted == NULL ? RANDOM_SEEDS : atoi(wanted);
    tcase_add_test(tests, test_one_voter_serves);
    tcase_add_loop_test(tests, test_failover, 0, ARRAY_SIZE(scenarios));
    tcase_add_test(tests, test_every_entry_gets_quotas);
    tcase_add_test(tests, test_returning_primary_is_fenced_and_follows);
    tcase_add_test(tests, test_second_failover_needs_more_evidence);
    tcase_add_test(tests, test_switchover_has_no_unknown_outcome);
    tcase_add_test(tests, test_switchover_to_lagging_target_times_out);
    tcase_add_test(tests, test_leaving_primary_is_switched_over);
    tcase_add_test(tests, test_incomplete_replica_is_not_promoted);
    tcase_add_test(tests, test_returning_primary_gets_next_term);
    tcase_add_test(tests, test_operator_promotes_incomplete_replica);
    tcase_add_test(tests, test_slow_primary_is_not_lost);
    tcase_add_test(tests, test_report_of_one_entry_causes_no_failover);
    tcase_add_test(tests, test_primary_unreachable_from_all_entries);
    tcase_add_test(tests, test_minority_partition_with_leader_and_primary);
    tcase_add_test(tests, test_entry_restarts);
    tcase_add_test(tests, test_lost_replica_is_removed);
    tcase_add_test(tests, test_lost_replica_stays_while_other_lags);
    tcase_add_loop_test(tests, test_random_faults, 0, seeds);
    tcase_add_loop_test(tests, test_random_freezes, 0, seeds);
}

TEST_MAIN("replay_failover", add_tests)
