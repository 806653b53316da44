// Unit tests of the bound of a planned change of primary: entries stop,
// freeze, are cut off, or are killed one after another while it runs.

#include <check.h>
#include <string.h>

#include "test/rig/change_rig.h"
#include "test/suite.h"

static struct change_rig rig;

static void
set_up(void)
{
    change_rig_start(&rig);
}

static void
tear_down(void)
{
    change_rig_finish(&rig);
}

// Guards against a wait for silent entries that leaves no time for the leases
// of entries that fail later.
START_TEST(test_term_ends_while_entries_fail_in_turn)
{
    change_rig_run_until(&rig, CHANGE_RIG_START_US + CHANGE_RIG_SERIES_LEAD_US,
                         &change_rig_series[_i]);
    int64_t begin_us = rig.now_us;
    change_rig_withdraw(&rig, "u0");
    while (!change_rig_get_database(&rig, 0)->superseding &&
           rig.now_us - begin_us < CHANGE_RIG_SERVES_US) {
        change_rig_advance(&rig, &change_rig_series[_i]);
    }
    ck_assert_int_le(rig.now_us - begin_us,
                     CHANGE_RIG_SERVES_US - CHANGE_RIG_LEASE_US);
}
END_TEST

// Guards against a planned change that waits for each silent entry in turn.
START_TEST(test_change_ends_while_entries_fail_in_turn)
{
    change_rig_run_until(&rig, CHANGE_RIG_START_US + CHANGE_RIG_SERIES_LEAD_US,
                         &change_rig_series[_i]);
    ck_assert_int_le(
        change_rig_replace_primary(&rig, "u0", &change_rig_series[_i]),
        CHANGE_RIG_SERVES_US);
}
END_TEST

// Guards against an entry whose open write delays the change by two leases
// after the time for open writes.
START_TEST(test_change_ends_despite_open_write)
{
    rig.entries[3].is_stuck = true;
    ck_assert_int_le(change_rig_replace_primary(&rig, "u0", NULL),
                     CHANGE_RIG_SERVES_US);
}
END_TEST

static void
switch_second_database(void)
{
    const struct ck_database *database = change_rig_get_database(&rig, 1);
    bool is_first = strcmp(database->primary, "u3") == 0;
    struct ck_command_args args = {.kind = CK_COMMAND_SWITCHOVER};
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_COMMAND,
                                      .token = 7};

    args.database = database->name;
    args.target = (char *)(uintptr_t)(is_first ? "u4" : "u3");
    event.command = &args;
    change_rig_step(&rig, &event);
}

// Guards against changes of other databases that end the denial of leases to
// an entry that does not confirm.
START_TEST(test_change_ends_while_other_database_changes)
{
    rig.entries[3].is_stuck = true;
    rig.entries[3].renew_us = CHANGE_RIG_STEP_US;
    change_rig_advance(&rig, NULL);
    int64_t begin_us = rig.now_us;
    change_rig_withdraw(&rig, "u0");
    while (strcmp(change_rig_get_database(&rig, 0)->primary, "u0") == 0 &&
           rig.now_us - begin_us < 4 * CHANGE_RIG_SERVES_US) {
        change_rig_advance(&rig, NULL);
        if (rig.now_us % CHANGE_RIG_SERIES_GAP_US == 0) {
            switch_second_database();
        }
    }
    ck_assert_uint_gt(change_rig_get_database(&rig, 1)->term, 4);
    ck_assert_int_le(rig.now_us - begin_us, CHANGE_RIG_SERVES_US);
}
END_TEST

// Guards against a write of the old term that is acknowledged under a lease
// granted after the promotion.
START_TEST(test_lapsed_holder_gets_no_lease_before_next_term)
{
    change_rig_advance(&rig, NULL);
    rig.entries[3].is_stuck = true;
    rig.entries[3].silent_until_us =
        rig.now_us + CHANGE_RIG_LEASE_US + CHANGE_RIG_PROMOTION_US / 2;
    ck_assert_int_le(change_rig_replace_primary(&rig, "u0", NULL),
                     CHANGE_RIG_SERVES_US);
}
END_TEST

// Guards against a bound that begins only when an upstream which leaves during
// its promotion has become the primary.
START_TEST(test_upstream_that_leaves_while_promoted_is_replaced)
{
    change_rig_run_until(&rig, CHANGE_RIG_START_US + CHANGE_RIG_SERIES_LEAD_US,
                         &change_rig_series[_i]);
    change_rig_withdraw(&rig, "u0");
    struct change_rig_upstream *second =
        change_rig_run_until_promoting(&rig, &change_rig_series[_i]);
    int64_t begin_us = rig.now_us;
    second->state = CK_UPSTREAM_LEAVING;
    change_rig_announce(&rig, second);
    ck_assert_int_le(
        change_rig_run_until_term(&rig, 3, begin_us, &change_rig_series[_i]),
        CHANGE_RIG_SERVES_US);
}
END_TEST

// Guards against a bound that begins only when a replica is ready.
START_TEST(test_late_replica_does_not_extend_change)
{
    for (size_t i = 1; i < CHANGE_RIG_UPSTREAMS_EACH; i++) {
        rig.upstreams[i].state = CK_UPSTREAM_LEAVING;
    }
    change_rig_run_until(&rig, CHANGE_RIG_START_US + CHANGE_RIG_SERIES_LEAD_US,
                         &change_rig_series[_i]);
    int64_t begin_us = rig.now_us;
    change_rig_withdraw(&rig, "u0");
    change_rig_run_until(&rig, begin_us + CHANGE_RIG_PROMOTION_US * 5,
                         &change_rig_series[_i]);
    rig.upstreams[2].state = CK_UPSTREAM_READY;
    ck_assert_int_le(
        change_rig_run_until_term(&rig, 2, begin_us, &change_rig_series[_i]),
        CHANGE_RIG_SERVES_US);
}
END_TEST

// Guards against a change that waits for the leases of entries that have
// stopped.
START_TEST(test_stopped_entries_are_not_awaited)
{
    change_rig_run_until(&rig, CHANGE_RIG_START_US + CHANGE_RIG_SERIES_LEAD_US,
                         &change_rig_series[CHANGE_RIG_SERIES_STOP]);
    int64_t changed_us = change_rig_replace_primary(
        &rig, "u0", &change_rig_series[CHANGE_RIG_SERIES_STOP]);
    ck_assert_int_le(changed_us, CHANGE_RIG_PROMOTION_US +
                                     2 * CHANGE_RIG_NOTIFY_TIMEOUT_US);
}
END_TEST

// Guards against a lost upstream that stays a member as long as entries
// restart in turn.
START_TEST(test_lost_upstream_is_removed_while_entries_fail_in_turn)
{
    rig.upstreams[2].is_gone = true;
    while (change_rig_get_database(&rig, 0)->upstreams.upstreams_len ==
               CHANGE_RIG_UPSTREAMS_EACH &&
           rig.now_us - CHANGE_RIG_START_US < 4 * CHANGE_RIG_SERVES_US) {
        change_rig_advance(&rig, &change_rig_series[_i]);
    }
    // The announcements expire, then the lost upstream is retained.
    ck_assert_int_le(rig.now_us - CHANGE_RIG_START_US,
                     2 * CHANGE_RIG_SERVES_US);
}
END_TEST

// Guards against an election that begins the time limit of a change anew: the
// next leader, which does not know how much of it has passed, waits for leases
// and not for silent holders.
START_TEST(test_election_adds_one_lease_to_change)
{
    change_rig_run_until(&rig, CHANGE_RIG_START_US + CHANGE_RIG_SERIES_LEAD_US,
                         &change_rig_series[_i]);
    change_rig_withdraw(&rig, "u0");
    change_rig_elect_restarted_leader(&rig);
    int64_t begin_us = rig.now_us;
    ck_assert_int_le(
        change_rig_run_until_term(&rig, 2, begin_us, &change_rig_series[_i]),
        CHANGE_RIG_LEASE_US + 2 * CHANGE_RIG_PROMOTION_US);
}
END_TEST

// Guards against an election that adds to the time limit of a change.
START_TEST(test_election_does_not_extend_change)
{
    change_rig_run_until(&rig, CHANGE_RIG_START_US + CHANGE_RIG_SERIES_LEAD_US,
                         &change_rig_series[_i]);
    int64_t begin_us = rig.now_us;
    change_rig_withdraw(&rig, "u0");
    change_rig_run_until(&rig, begin_us + CHANGE_RIG_PROMOTION_US / 2,
                         &change_rig_series[_i]);
    change_rig_elect_next_leader(&rig);
    ck_assert_int_le(
        change_rig_run_until_term(&rig, 2, begin_us, &change_rig_series[_i]),
        CHANGE_RIG_SERVES_US);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_checked_fixture(tests, set_up, tear_down);
    tcase_add_loop_test(tests, test_term_ends_while_entries_fail_in_turn, 0,
                        CHANGE_RIG_SERIES_COUNT);
    tcase_add_loop_test(tests, test_change_ends_while_entries_fail_in_turn, 0,
                        CHANGE_RIG_SERIES_COUNT);
    tcase_add_test(tests, test_change_ends_despite_open_write);
    tcase_add_test(tests, test_change_ends_while_other_database_changes);
    tcase_add_test(tests, test_lapsed_holder_gets_no_lease_before_next_term);
    tcase_add_loop_test(tests,
                        test_upstream_that_leaves_while_promoted_is_replaced,
                        0, CHANGE_RIG_SERIES_COUNT);
    tcase_add_loop_test(tests, test_late_replica_does_not_extend_change, 0,
                        CHANGE_RIG_SERIES_COUNT);
    tcase_add_test(tests, test_stopped_entries_are_not_awaited);
    tcase_add_loop_test(
        tests, test_lost_upstream_is_removed_while_entries_fail_in_turn, 0,
        CHANGE_RIG_SERIES_COUNT);
    tcase_add_loop_test(tests, test_election_adds_one_lease_to_change, 0,
                        CHANGE_RIG_SERIES_COUNT);
    tcase_add_loop_test(tests, test_election_does_not_extend_change, 0,
                        CHANGE_RIG_SERIES_COUNT);
}

TEST_MAIN("planned_bound", add_tests)
