// Unit tests of primaries that leave: who takes over, and for how long one
// that has no successor serves on.

#include <check.h>
#include <stdio.h>
#include <string.h>

#include "catkingrade/kernel/outcome.h"
#include "test/fake/changes.h"
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

// Guards against a new primary that leaves as well, and is kept because the
// last change is recent.
START_TEST(test_new_primary_that_leaves_is_replaced)
{
    char second[8];

    (void)change_rig_replace_primary(&rig, "u0", NULL);
    (void)snprintf(second, sizeof(second), "%s",
                   change_rig_get_database(&rig, 0)->primary);
    ck_assert_int_le(change_rig_replace_primary(&rig, second, NULL),
                     CHANGE_RIG_SERVES_US);
}
END_TEST

// Guards against a leader that forgets a leaving primary when many changes
// were made since it left.
START_TEST(test_next_leader_replaces_leaving_primary)
{
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_DEPOSED};

    event.leader_term = 5;
    change_rig_step(&rig, &event);
    struct ck_upstream leaving =
        changes_make_upstream("u0", "roster1", "noord", "10.0.0.1");
    leaving.state = CK_UPSTREAM_LEAVING;
    changes_apply_upstream(rig.group, &leaving);
    rig.upstreams[0].state = CK_UPSTREAM_LEAVING;
    struct ck_upstream other =
        changes_make_upstream("u5", "roster2", "noord", "10.0.0.6");
    for (int i = 0; i < 100; i++) {
        other.state = i % 2 == 0 ? CK_UPSTREAM_LEAVING : CK_UPSTREAM_READY;
        changes_apply_upstream(rig.group, &other);
    }
    event.kind = COORDINATOR_EVENT_ELECTED;
    change_rig_step(&rig, &event);
    int64_t begin_us = rig.now_us;
    ck_assert_int_le(change_rig_run_until_term(&rig, 2, begin_us, NULL),
                     CHANGE_RIG_SERVES_US);
}
END_TEST

// Guards against a promotion that may lack writes, and a wait that begins
// late.
START_TEST(test_unproven_replica_does_not_extend_change)
{
    rig.upstreams[2].is_gone = true;
    ck_assert_int_le(change_rig_play_lagging_replicas(&rig),
                     CHANGE_RIG_SERVES_US);
    ck_assert_str_eq(change_rig_get_database(&rig, 0)->primary, "u0");
}
END_TEST

// Guards against a leaving primary that stays although replicas hold all.
START_TEST(test_lagging_replicas_do_not_extend_change)
{
    ck_assert_int_le(change_rig_play_lagging_replicas(&rig),
                     CHANGE_RIG_SERVES_US);
    ck_assert_str_ne(change_rig_get_database(&rig, 0)->primary, "u0");
}
END_TEST

// Guards against an overdue change that keeps the leaving primary before the
// replicas have answered.
START_TEST(test_overdue_change_waits_for_answers)
{
    rig.upstreams[1].state = CK_UPSTREAM_LEAVING;
    rig.upstreams[2].state = CK_UPSTREAM_LEAVING;
    change_rig_run_until(
        &rig, CHANGE_RIG_START_US + 2 * CHANGE_RIG_ANNOUNCE_US, NULL);
    change_rig_withdraw(&rig, "u0");
    int64_t ready_us = rig.now_us + 2 * CHANGE_RIG_SERVES_US;
    change_rig_run_until(&rig, ready_us, NULL);
    rig.upstreams[2].state = CK_UPSTREAM_READY;
    while (change_rig_get_database(&rig, 0)->term < 2) {
        change_rig_advance(&rig, NULL);
    }
    ck_assert_str_eq(change_rig_get_database(&rig, 0)->primary, "u2");
}
END_TEST

// Guards against a replica that is promoted without what the old primary has
// acknowledged, because the old primary is too busy to report its position.
START_TEST(test_busy_primary_does_not_count_as_reached)
{
    rig.upstreams[0].is_busy = true;
    rig.upstreams[1].lsn = 40;
    change_rig_advance(&rig, NULL);
    (void)change_rig_replace_primary(&rig, "u0", NULL);
    ck_assert_str_ne(change_rig_get_database(&rig, 0)->primary, "u1");
}
END_TEST

// Guards against a term that ends before its replicas follow its primary.
START_TEST(test_primary_that_leaves_at_once_is_replaced)
{
    rig.is_replicated = true;
    change_rig_run_until(
        &rig, CHANGE_RIG_START_US + 2 * CHANGE_RIG_ANNOUNCE_US, NULL);
    change_rig_withdraw(&rig, "u0");
    struct change_rig_upstream *second =
        change_rig_run_until_promoting(&rig, NULL);
    second->state = CK_UPSTREAM_LEAVING;
    change_rig_announce(&rig, second);
    const char *third = second == &rig.upstreams[1] ? "u2" : "u1";
    ck_assert_int_le(change_rig_run_until_primary(&rig, third, rig.now_us),
                     CHANGE_RIG_SERVES_US);
    ck_assert_int_le(rig.longest_gap_us, 2 * CHANGE_RIG_PROMOTION_US);
}
END_TEST

// Guards against a pause after a kept primary that outlasts its leaving.
START_TEST(test_second_try_ends_in_time)
{
    change_rig_run_until(
        &rig, CHANGE_RIG_START_US + 2 * CHANGE_RIG_ANNOUNCE_US, NULL);
    rig.upstreams[2].is_gone = true;
    int64_t begin_us = rig.now_us;
    change_rig_withdraw(&rig, "u0");
    change_rig_run_until_superseding(&rig);
    rig.upstreams[0].lsn = 60;
    change_rig_run_until(&rig, begin_us + INT64_C(4000000), NULL);
    rig.upstreams[1].lsn = 60;
    ck_assert_int_le(change_rig_run_until_primary(&rig, "u1", begin_us),
                     CHANGE_RIG_SERVES_US);
}
END_TEST

// Guards against a pause that began before the primary leaves.
START_TEST(test_change_kept_before_does_not_delay_leaving_primary)
{
    change_rig_run_until(
        &rig, CHANGE_RIG_START_US + 2 * CHANGE_RIG_ANNOUNCE_US, NULL);
    change_rig_order_switchover(&rig, "u1");
    change_rig_run_until_superseding(&rig);
    rig.upstreams[0].lsn = 60;
    while (change_rig_get_database(&rig, 0)->term < 2) {
        change_rig_advance(&rig, NULL);
    }
    ck_assert_str_eq(change_rig_get_database(&rig, 0)->primary, "u0");
    rig.upstreams[1].lsn = 60;
    ck_assert_int_le(change_rig_replace_primary(&rig, "u0", NULL),
                     CHANGE_RIG_SERVES_US / 2);
}
END_TEST

// Guards against a lost target that leaves no time for a late one.
START_TEST(test_change_ends_when_target_is_lost)
{
    struct coordinator_event event = {.kind =
                                          COORDINATOR_EVENT_PROMOTE_FAILED};

    change_rig_run_until(
        &rig, CHANGE_RIG_START_US + 2 * CHANGE_RIG_ANNOUNCE_US, NULL);
    rig.upstreams[2].lsn = 40;
    int64_t begin_us = rig.now_us;
    change_rig_withdraw(&rig, "u0");
    struct change_rig_upstream *first =
        change_rig_run_until_promoting(&rig, NULL);
    ck_assert_str_eq(first->name, "u1");
    first->is_gone = true;
    first->promoted_us = 0;
    event.done.upstream = first->name;
    event.done.outcome = OUTCOME_UNAVAILABLE;
    change_rig_step(&rig, &event);
    change_rig_run_until(&rig, begin_us + INT64_C(4000000), NULL);
    rig.upstreams[2].lsn = 50;
    ck_assert_int_le(change_rig_run_until_primary(&rig, "u2", begin_us),
                     CHANGE_RIG_SERVES_US);
}
END_TEST

// Guards against a term that ends without an upstream that can take over.
START_TEST(test_all_upstreams_leave_at_once)
{
    change_rig_run_until(&rig,
                         CHANGE_RIG_START_US + 2 * CHANGE_RIG_ANNOUNCE_US +
                             CHANGE_RIG_STEP_US,
                         NULL);
    int64_t begin_us = rig.now_us;
    for (size_t i = 0; i < CHANGE_RIG_UPSTREAMS_EACH; i++) {
        rig.upstreams[i].state = CK_UPSTREAM_LEAVING;
        change_rig_announce(&rig, &rig.upstreams[i]);
    }
    change_rig_run_until(&rig, begin_us + CHANGE_RIG_SERVES_US / 2, NULL);
    rig.upstreams[2].state = CK_UPSTREAM_READY;
    ck_assert_int_le(change_rig_run_until_primary(&rig, "u2", begin_us),
                     CHANGE_RIG_SERVES_US);
    ck_assert_int_le(rig.longest_gap_us, 2 * CHANGE_RIG_PROMOTION_US);
}
END_TEST

// Guards against a term that ends for a target that leaves itself.
START_TEST(test_switchover_to_leaving_target_is_dropped)
{
    change_rig_run_until(
        &rig, CHANGE_RIG_START_US + 2 * CHANGE_RIG_ANNOUNCE_US, NULL);
    rig.entries[3].silent_until_us = rig.now_us + CHANGE_RIG_PROMOTION_US;
    change_rig_order_switchover(&rig, "u1");
    rig.upstreams[1].state = CK_UPSTREAM_LEAVING;
    change_rig_announce(&rig, &rig.upstreams[1]);
    change_rig_run_until(&rig, rig.now_us + CHANGE_RIG_SERVES_US, NULL);
    ck_assert_uint_eq(change_rig_get_database(&rig, 0)->term, 1);
    ck_assert_int_eq(rig.command_outcome, OUTCOME_UNAVAILABLE);
}
END_TEST

// Guards against a next leader that keeps a leaving primary for switchover_ms.
START_TEST(test_next_leader_tries_again_once_replica_follows)
{
    change_rig_run_until(
        &rig, CHANGE_RIG_START_US + 2 * CHANGE_RIG_ANNOUNCE_US, NULL);
    rig.upstreams[2].is_gone = true;
    change_rig_withdraw(&rig, "u0");
    change_rig_run_until_superseding(&rig);
    rig.upstreams[0].lsn = 60;
    change_rig_elect_next_leader(&rig);
    int64_t elected_us = rig.now_us;
    while (change_rig_get_database(&rig, 0)->superseding) {
        change_rig_advance(&rig, NULL);
    }
    ck_assert_str_eq(change_rig_get_database(&rig, 0)->primary, "u0");
    rig.upstreams[1].lsn = 60;
    ck_assert_int_le(change_rig_run_until_primary(&rig, "u1", elected_us),
                     CHANGE_RIG_SERVES_US / 2);
}
END_TEST

// Sets the policy for unconfirmed writes of the customer to a warning.
static void
set_warned_writes(void)
{
    static const char text[] = CHANGES_TEMPLATE_ROSTER;
    const char *at = strstr(text, "\"confirm\": 1");
    char document[2048];

    (void)snprintf(document, sizeof(document),
                   "%.*s\"unconfirmed\": \"warn\", %s", (int)(at - text), text,
                   at);
    ck_assert_int_eq(changes_apply_document(rig.group, CK_CHANGE_TEMPLATE,
                                            "roster", document, "", -1, NULL),
                     OUTCOME_OK);
    ck_assert_int_eq(
        group_find_customer_of_database(rig.group, change_rig_databases[0])
            ->unconfirmed,
        CK_UNCONFIRMED_WARN);
}

// Guards against a promotion that loses a write answered with a warning.
START_TEST(test_warned_writes_are_not_lost)
{
    set_warned_writes();
    ck_assert_int_le(change_rig_play_lagging_replicas(&rig),
                     CHANGE_RIG_SERVES_US);
    ck_assert_str_eq(change_rig_get_database(&rig, 0)->primary, "u0");
}
END_TEST

// Guards against a leaving primary that serves until it is gone, because no
// other upstream can take over.
START_TEST(test_leaving_primary_without_successor_stops_in_time)
{
    rig.upstreams[1].is_gone = true;
    rig.upstreams[2].is_gone = true;
    change_rig_run_until(&rig, CHANGE_RIG_START_US + CHANGE_RIG_SERVES_US,
                         NULL);
    int64_t begin_us = rig.now_us;
    change_rig_withdraw(&rig, "u0");
    change_rig_run_until(&rig, begin_us + CHANGE_RIG_SERVES_US / 2, NULL);
    ck_assert(!change_rig_get_database(&rig, 0)->superseding);
    change_rig_check_serves_no_longer(&rig, "u0", begin_us);
}
END_TEST

// Guards against a leaving upstream that is promoted when its successor fails,
// and then serves as if it had just announced that it leaves.
START_TEST(test_leaving_upstream_promoted_again_stops_in_time)
{
    change_rig_run_until(
        &rig, CHANGE_RIG_START_US + 2 * CHANGE_RIG_ANNOUNCE_US, NULL);
    rig.upstreams[2].lsn = 40;
    int64_t begin_us = rig.now_us;
    change_rig_withdraw(&rig, "u0");
    (void)change_rig_run_until_primary(&rig, "u1", begin_us);
    rig.upstreams[1].state = CK_UPSTREAM_LOST;
    change_rig_announce(&rig, &rig.upstreams[1]);
    rig.upstreams[1].is_gone = true;
    (void)change_rig_run_until_primary(&rig, "u0", begin_us);
    ck_assert_int_le(rig.now_us - begin_us, CHANGE_RIG_SERVES_US);
    change_rig_check_serves_no_longer(&rig, "u0", begin_us);
}
END_TEST

// Guards against a leaving primary that is kept in term after term while no
// replica catches up.
START_TEST(test_kept_leaving_primary_stops_in_time)
{
    rig.upstreams[2].is_gone = true;
    int64_t begin_us = rig.now_us;
    (void)change_rig_play_lagging_replicas(&rig);
    rig.entries[3].is_stuck = false;
    ck_assert_str_eq(change_rig_get_database(&rig, 0)->primary, "u0");
    change_rig_check_serves_no_longer(&rig, "u0", begin_us);
}
END_TEST

// Guards against a next leader that gives a leaving primary its time anew, or
// none.
START_TEST(test_next_leader_keeps_time_of_leaving_primary)
{
    rig.upstreams[1].is_gone = true;
    rig.upstreams[2].is_gone = true;
    change_rig_run_until(&rig, CHANGE_RIG_START_US + CHANGE_RIG_SERVES_US,
                         NULL);
    int64_t begin_us = rig.now_us;
    change_rig_withdraw(&rig, "u0");
    change_rig_run_until(&rig, begin_us + CHANGE_RIG_SERVES_US / 3, NULL);
    change_rig_elect_next_leader(&rig);
    change_rig_run_until(&rig, begin_us + CHANGE_RIG_SERVES_US / 2, NULL);
    ck_assert(!change_rig_get_database(&rig, 0)->superseding);
    change_rig_check_serves_no_longer(&rig, "u0", begin_us);
}
END_TEST

// Guards against a leader that does not know since when the primary leaves and
// lets it serve on.
START_TEST(test_restarted_leader_stops_leaving_primary)
{
    rig.upstreams[1].is_gone = true;
    rig.upstreams[2].is_gone = true;
    change_rig_run_until(&rig, CHANGE_RIG_START_US + CHANGE_RIG_SERVES_US,
                         NULL);
    change_rig_withdraw(&rig, "u0");
    change_rig_run_until(&rig, rig.now_us + CHANGE_RIG_SERVES_US / 3, NULL);
    change_rig_elect_restarted_leader(&rig);
    change_rig_check_serves_no_longer(
        &rig, "u0", rig.now_us + CHANGE_RIG_LEASE_US - CHANGE_RIG_SERVES_US);
}
END_TEST

// Guards against an upstream that has left and is published again, because it
// had answered before it left.
START_TEST(test_upstream_that_has_left_is_not_kept)
{
    rig.upstreams[1].is_gone = true;
    rig.upstreams[2].is_gone = true;
    change_rig_run_until(&rig, CHANGE_RIG_START_US + CHANGE_RIG_SERVES_US,
                         NULL);
    int64_t begin_us = rig.now_us;
    change_rig_withdraw(&rig, "u0");
    change_rig_run_until(&rig, begin_us + CHANGE_RIG_SERVES_US, NULL);
    ck_assert(change_rig_get_database(&rig, 0)->superseding);
    rig.upstreams[0].state = CK_UPSTREAM_LOST;
    change_rig_announce(&rig, &rig.upstreams[0]);
    rig.upstreams[0].is_gone = true;
    change_rig_run_until(&rig, begin_us + 3 * CHANGE_RIG_SERVES_US, NULL);
    ck_assert(change_rig_get_database(&rig, 0)->superseding);
    ck_assert_uint_eq(change_rig_get_database(&rig, 0)->term, 1);
}
END_TEST

// Guards against a term that ends for a successor that is silent, while the
// leaving primary has time left.
START_TEST(test_silent_successor_does_not_end_service)
{
    change_rig_run_until(
        &rig, CHANGE_RIG_START_US + 2 * CHANGE_RIG_ANNOUNCE_US, NULL);
    rig.upstreams[2].lsn = 40;
    int64_t begin_us = rig.now_us;
    change_rig_withdraw(&rig, "u0");
    (void)change_rig_run_until_primary(&rig, "u1", begin_us);
    change_rig_run_until(&rig, begin_us + CHANGE_RIG_SERVES_US / 4, NULL);
    rig.upstreams[1].state = CK_UPSTREAM_LOST;
    change_rig_announce(&rig, &rig.upstreams[1]);
    rig.upstreams[1].is_gone = true;
    ck_assert_str_eq(change_rig_run_until_promoting(&rig, NULL)->name, "u0");
    rig.upstreams[2].is_gone = true;
    (void)change_rig_run_until_primary(&rig, "u0", begin_us);
    uint64_t term = change_rig_get_database(&rig, 0)->term;
    change_rig_run_until(&rig, begin_us + CHANGE_RIG_SERVES_US * 4 / 5, NULL);
    ck_assert_uint_eq(change_rig_get_database(&rig, 0)->term, term);
    ck_assert(!change_rig_get_database(&rig, 0)->superseding);
    change_rig_check_serves_no_longer(&rig, "u0", begin_us);
}
END_TEST

// Guards against a second primary: an earlier one that has not been fenced yet
// still claims to be one, and is published without a promotion.
START_TEST(test_unfenced_upstream_is_fenced_and_promoted)
{
    bool is_promoted = false;

    change_rig_run_until(
        &rig, CHANGE_RIG_START_US + 2 * CHANGE_RIG_ANNOUNCE_US, NULL);
    rig.upstreams[2].lsn = 40;
    int64_t begin_us = rig.now_us;
    change_rig_withdraw(&rig, "u0");
    struct change_rig_upstream *old = &rig.upstreams[0];
    old->is_unfenced = true;
    old->fence_us = rig.now_us + CHANGE_RIG_SERVES_US / 3;
    (void)change_rig_run_until_primary(&rig, "u1", begin_us);
    rig.upstreams[1].state = CK_UPSTREAM_LOST;
    change_rig_announce(&rig, &rig.upstreams[1]);
    rig.upstreams[1].is_gone = true;
    while (strcmp(change_rig_get_database(&rig, 0)->primary, "u0") != 0 &&
           rig.now_us - begin_us < CHANGE_RIG_SERVES_US) {
        change_rig_advance(&rig, NULL);
        ck_assert(old->promoted_us == 0 || !old->is_unfenced);
        is_promoted = is_promoted || old->promoted_us != 0;
    }
    ck_assert(is_promoted);
    ck_assert_str_eq(change_rig_get_database(&rig, 0)->primary, "u0");
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_checked_fixture(tests, set_up, tear_down);
    tcase_add_test(tests, test_new_primary_that_leaves_is_replaced);
    tcase_add_test(tests, test_next_leader_replaces_leaving_primary);
    tcase_add_test(tests, test_unproven_replica_does_not_extend_change);
    tcase_add_test(tests, test_lagging_replicas_do_not_extend_change);
    tcase_add_test(tests, test_overdue_change_waits_for_answers);
    tcase_add_test(tests, test_busy_primary_does_not_count_as_reached);
    tcase_add_test(tests, test_primary_that_leaves_at_once_is_replaced);
    tcase_add_test(tests, test_second_try_ends_in_time);
    tcase_add_test(tests,
                   test_change_kept_before_does_not_delay_leaving_primary);
    tcase_add_test(tests, test_change_ends_when_target_is_lost);
    tcase_add_test(tests, test_all_upstreams_leave_at_once);
    tcase_add_test(tests, test_switchover_to_leaving_target_is_dropped);
    tcase_add_test(tests, test_next_leader_tries_again_once_replica_follows);
    tcase_add_test(tests, test_warned_writes_are_not_lost);
    tcase_add_test(tests,
                   test_leaving_primary_without_successor_stops_in_time);
    tcase_add_test(tests, test_leaving_upstream_promoted_again_stops_in_time);
    tcase_add_test(tests, test_kept_leaving_primary_stops_in_time);
    tcase_add_test(tests, test_next_leader_keeps_time_of_leaving_primary);
    tcase_add_test(tests, test_restarted_leader_stops_leaving_primary);
    tcase_add_test(tests, test_upstream_that_has_left_is_not_kept);
    tcase_add_test(tests, test_silent_successor_does_not_end_service);
    tcase_add_test(tests, test_unfenced_upstream_is_fenced_and_promoted);
}

TEST_MAIN("leaving_primary", add_tests)
