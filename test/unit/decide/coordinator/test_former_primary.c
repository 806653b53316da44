// Unit tests of upstreams that were a primary before, or were ordered to be
// one, and claim to be the primary when a new leader looks for one.

#include <check.h>
#include <string.h>

#include "test/rig/promotion_rig.h"
#include "test/suite.h"

#define S_US INT64_C(1000000)
// More changes of the group state than a new leader looks back.
#define MANY_CHANGES 100

static void
run_until_term(struct promotion_rig *rig, uint64_t term)
{
    for (int i = 0; i < 1500; i++) {
        const struct ck_database *database = promotion_rig_get_database(rig);
        if (database->term >= term && !database->superseding) {
            return;
        }
        promotion_rig_run(rig, PROMOTION_RIG_STEP_US);
    }
    ck_abort_msg("no term %d", (int)term);
}

static const char *
get_primary(const struct promotion_rig *rig)
{
    return promotion_rig_get_database(rig)->primary;
}

// u0 is cut off as the primary of term 1 and goes on claiming to be one; u1 is
// the primary of term 2.
static void
start_second_term(struct promotion_rig *rig)
{
    promotion_rig_start(rig, 0);
    rig->upstreams[1].lsn = 250;
    rig->upstreams[2].lsn = 200;
    promotion_rig_lose_primary(rig);
    run_until_term(rig, 2);
    ck_assert_str_eq(get_primary(rig), "u1");
    ck_assert(rig->upstreams[0].is_primary);
}

// Lets all but u0 fall silent, and u0 return as it was.
static void
return_to_first_primary(struct promotion_rig *rig)
{
    rig->upstreams[2].is_silent = true;
    promotion_rig_lose_primary(rig);
    rig->upstreams[0].is_silent = false;
}

// Guards against commits at a primary of an earlier term, which a leader that
// has not seen the promotions since publishes on its own word.
START_TEST(test_former_primary_is_promoted_anew_after_change_of_leader)
{
    struct promotion_rig rig;

    start_second_term(&rig);
    size_t orders = rig.orders_count;
    if (_i == 1) {
        promotion_rig_add_changes(&rig, MANY_CHANGES);
    }
    promotion_rig_change_leader(&rig);
    promotion_rig_run(&rig, S_US);
    return_to_first_primary(&rig);
    run_until_term(&rig, 3);
    promotion_rig_run(&rig, S_US);
    ck_assert_uint_eq(rig.split_count, 0);
    ck_assert_str_eq(get_primary(&rig), "u0");
    ck_assert_uint_eq(rig.orders_count, orders + 1);
    promotion_rig_finish(&rig);
}
END_TEST

// Guards against the same with the change of leader in the middle of the
// change of primary, at each step.
START_TEST(test_former_primary_is_promoted_anew_by_next_leader)
{
    struct promotion_rig rig;

    start_second_term(&rig);
    return_to_first_primary(&rig);
    promotion_rig_run(&rig, _i * 4 * PROMOTION_RIG_STEP_US);
    promotion_rig_change_leader(&rig);
    run_until_term(&rig, 3);
    promotion_rig_run(&rig, S_US);
    ck_assert_uint_eq(rig.split_count, 0);
    ck_assert_str_eq(get_primary(&rig), "u0");
    promotion_rig_finish(&rig);
}
END_TEST

// Guards against commits at the primary of the ended term, which still claims
// to be one after the promotion of another upstream has taken effect.
START_TEST(test_kept_primary_is_promoted_anew_after_order_of_another)
{
    bool is_leader_lost = _i % 2 == 1;
    struct promotion_rig rig;

    promotion_rig_start(&rig, 0);
    rig.upstreams[1].lsn = 250;
    rig.upstreams[2].is_silent = true;
    rig.promotion_us = S_US / 2;
    promotion_rig_lose_primary(&rig);
    promotion_rig_run_until_ordered(&rig);
    ck_assert_str_eq(rig.ordered, "u1");
    if (is_leader_lost) {
        promotion_rig_run(&rig, S_US / 10);
        promotion_rig_change_leader(&rig);
    }
    else {
        promotion_rig_fail_order(&rig);
    }
    rig.upstreams[1].is_silent = true;
    promotion_rig_run(&rig, S_US);
    ck_assert_uint_eq(rig.promoted, 1);
    rig.upstreams[0].is_silent = false;
    run_until_term(&rig, 2);
    promotion_rig_run(&rig, S_US);
    ck_assert_uint_eq(rig.split_count, 0);
    ck_assert_str_eq(get_primary(&rig), "u0");
    ck_assert_str_eq(rig.ordered, "u0");
    promotion_rig_finish(&rig);
}
END_TEST

// Guards against a database without a primary: while the platform refuses
// promotions, the primary of the ended term is kept without one.
START_TEST(test_primary_is_kept_after_refused_order)
{
    struct promotion_rig rig;

    promotion_rig_start(&rig, 0);
    rig.refuses_orders = true;
    rig.upstreams[0].lsn = 250;
    rig.upstreams[1].lsn = 250;
    promotion_rig_supersede(&rig);
    promotion_rig_run(&rig, S_US);
    ck_assert_uint_ge(rig.orders_count, 1);
    rig.upstreams[1].is_silent = true;
    rig.upstreams[2].is_silent = true;
    run_until_term(&rig, 2);
    ck_assert_str_eq(get_primary(&rig), "u0");
    ck_assert_uint_eq(rig.split_count, 0);
    ck_assert_uint_eq(rig.fences_count, 0);
    promotion_rig_finish(&rig);
}
END_TEST

// Guards against commits at an upstream that claims to be the first primary
// after another one was ordered to be it.
START_TEST(test_first_primary_is_promoted_anew_after_order_of_another)
{
    struct promotion_rig rig;

    promotion_rig_start_without_primary(&rig);
    promotion_rig_run_until_ordered(&rig);
    promotion_rig_run(&rig, S_US / 10);
    promotion_rig_change_leader(&rig);
    rig.upstreams[1].is_silent = true;
    rig.upstreams[2].is_silent = true;
    promotion_rig_run(&rig, S_US);
    ck_assert_uint_ne(rig.promoted, 0);
    rig.upstreams[0].is_silent = false;
    run_until_term(&rig, 1);
    promotion_rig_run(&rig, S_US);
    ck_assert_uint_eq(rig.split_count, 0);
    ck_assert_str_eq(get_primary(&rig), "u0");
    promotion_rig_finish(&rig);
}
END_TEST

// Guards against a second promotion of an upstream whose order an earlier
// leader has sent and which has taken effect.
START_TEST(test_ordered_upstream_is_published_by_next_leader)
{
    struct promotion_rig rig;

    promotion_rig_start(&rig, 0);
    rig.upstreams[1].lsn = 250;
    promotion_rig_lose_primary(&rig);
    promotion_rig_run_until_ordered(&rig);
    promotion_rig_change_leader(&rig);
    rig.upstreams[1].promoted_us = rig.now_us;
    run_until_term(&rig, 2);
    ck_assert_str_eq(get_primary(&rig), "u1");
    ck_assert_uint_eq(rig.fences_count, 0);
    ck_assert_uint_eq(rig.split_count, 0);
    promotion_rig_finish(&rig);
}
END_TEST

// Guards against a primary that takes no writes where a fence makes upstreams
// read-only and no replicas: there it is published without a fence.
START_TEST(test_primary_is_not_fenced_where_that_does_not_demote)
{
    struct promotion_rig rig;

    start_second_term(&rig);
    rig.fences_only = true;
    promotion_rig_change_leader(&rig);
    return_to_first_primary(&rig);
    size_t fences = rig.fences_count;
    run_until_term(&rig, 3);
    ck_assert_str_eq(get_primary(&rig), "u0");
    ck_assert_uint_eq(rig.fences_count, fences);
    promotion_rig_finish(&rig);
}
END_TEST

// Guards against commits at a former primary that control, with an empty log,
// takes for the first primary while the last promoted upstream is silent.
START_TEST(test_former_primary_is_not_published_by_empty_log)
{
    struct promotion_rig rig;

    promotion_rig_start_without_primary(&rig);
    rig.promoted = 1;
    rig.upstreams[1].is_primary = true;
    rig.upstreams[1].timeline = 2;
    rig.upstreams[1].is_silent = true;
    rig.upstreams[0].is_silent = false;
    promotion_rig_run(&rig, 8 * S_US);
    ck_assert_uint_eq(rig.split_count, 0);
    promotion_rig_finish(&rig);
}
END_TEST

// Guards against an order to a former primary that still claims to be one: its
// claim is forgotten once it rejects a probe as overloaded.
START_TEST(test_overloaded_former_primary_is_fenced)
{
    struct promotion_rig rig;

    start_second_term(&rig);
    promotion_rig_change_leader(&rig);
    promotion_rig_run(&rig, S_US);
    promotion_rig_lose_primary(&rig);
    rig.upstreams[2].is_busy = true;
    rig.upstreams[0].is_silent = false;
    promotion_rig_run(&rig, 5 * PROMOTION_RIG_STEP_US);
    rig.upstreams[0].is_busy = true;
    run_until_term(&rig, 3);
    promotion_rig_run(&rig, S_US);
    ck_assert_str_eq(get_primary(&rig), "u0");
    ck_assert_uint_eq(rig.split_count, 0);
    ck_assert_uint_ge(rig.fences_count, 1);
    promotion_rig_finish(&rig);
}
END_TEST

// Guards against a fenced upstream that is published on an answer from before
// the fence.
START_TEST(test_answer_from_before_the_fence_does_not_count)
{
    struct promotion_rig rig;

    start_second_term(&rig);
    promotion_rig_change_leader(&rig);
    promotion_rig_run(&rig, S_US + _i * PROMOTION_RIG_STEP_US);
    rig.answer_us = 5 * PROMOTION_RIG_STEP_US;
    return_to_first_primary(&rig);
    run_until_term(&rig, 3);
    ck_assert_str_eq(rig.ordered, "u0");
    ck_assert(rig.upstreams[0].is_primary);
    ck_assert_uint_eq(rig.split_count, 0);
    promotion_rig_finish(&rig);
}
END_TEST

// Guards against a database without a primary: it was not declared when the
// answer to an order (0) or to a probe (1) came, and is declared again.
START_TEST(test_change_of_primary_goes_on_after_removal_of_database)
{
    struct promotion_rig rig;

    promotion_rig_start(&rig, 0);
    rig.upstreams[1].lsn = 250;
    promotion_rig_lose_primary(&rig);
    for (int i = 0; _i == 0 && i < 500 && rig.orders_count == 0; i++) {
        promotion_rig_run(&rig, PROMOTION_RIG_STEP_US);
    }
    promotion_rig_set_declared(&rig, false);
    promotion_rig_run(&rig, S_US);
    promotion_rig_set_declared(&rig, true);
    run_until_term(&rig, 2);
    ck_assert_str_eq(get_primary(&rig), "u1");
    promotion_rig_finish(&rig);
}
END_TEST

// Guards against a term that ends as it begins: the answer of the former
// primary, a replica once it was fenced, is taken for one of the new primary.
START_TEST(test_term_of_fenced_primary_goes_on)
{
    struct promotion_rig rig;

    promotion_rig_start(&rig, 0);
    rig.upstreams[1].lsn = 250;
    rig.upstreams[2].is_silent = true;
    promotion_rig_lose_primary(&rig);
    promotion_rig_run_until_ordered(&rig);
    promotion_rig_fail_order(&rig);
    rig.upstreams[1].is_silent = true;
    promotion_rig_run(&rig, S_US);
    rig.upstreams[0].is_silent = false;
    run_until_term(&rig, 2);
    promotion_rig_run(&rig, 8 * S_US);
    ck_assert_str_eq(get_primary(&rig), "u0");
    ck_assert_uint_eq(promotion_rig_get_database(&rig)->term, 2);
    promotion_rig_finish(&rig);
}
END_TEST

// Guards against a replica that is published as the primary: it was demoted,
// as it has answered, and rejects the next probe as overloaded.
START_TEST(test_overloaded_demoted_primary_is_not_kept)
{
    struct promotion_rig rig;

    promotion_rig_start(&rig, 0);
    rig.upstreams[0].lsn = 250;
    rig.upstreams[0].is_primary = false;
    rig.upstreams[1].is_silent = true;
    rig.upstreams[2].is_busy = true;
    promotion_rig_supersede(&rig);
    promotion_rig_run(&rig, 5 * PROMOTION_RIG_STEP_US);
    rig.upstreams[0].is_busy = true;
    promotion_rig_run(&rig, 2 * S_US);
    rig.upstreams[0].is_busy = false;
    run_until_term(&rig, 2);
    ck_assert_str_eq(rig.ordered, "u0");
    ck_assert_uint_eq(rig.split_count, 0);
    promotion_rig_finish(&rig);
}
END_TEST

// Guards against a fence from before the order that ends the new term: the
// upstream is promoted while the fence is under way.
START_TEST(test_fence_under_way_does_not_demote_the_next_primary)
{
    struct promotion_rig rig;

    promotion_rig_start(&rig, 0);
    rig.upstreams[1].lsn = 250;
    rig.fence_us = S_US;
    promotion_rig_lose_primary(&rig);
    run_until_term(&rig, 2);
    rig.upstreams[0].is_primary = false;
    rig.upstreams[0].is_silent = false;
    for (int i = 0; i < 100 && rig.upstreams[0].fenced_us == 0; i++) {
        promotion_rig_run(&rig, PROMOTION_RIG_STEP_US);
    }
    return_to_first_primary(&rig);
    run_until_term(&rig, 3);
    promotion_rig_run(&rig, 4 * S_US);
    ck_assert_str_eq(get_primary(&rig), "u0");
    ck_assert_uint_eq(promotion_rig_get_database(&rig)->term, 3);
    ck_assert_uint_eq(rig.split_count, 0);
    promotion_rig_finish(&rig);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_loop_test(
        tests, test_former_primary_is_promoted_anew_after_change_of_leader, 0,
        2);
    tcase_add_loop_test(
        tests, test_former_primary_is_promoted_anew_by_next_leader, 0, 30);
    tcase_add_loop_test(
        tests, test_kept_primary_is_promoted_anew_after_order_of_another, 0,
        2);
    tcase_add_test(tests, test_primary_is_kept_after_refused_order);
    tcase_add_test(tests,
                   test_first_primary_is_promoted_anew_after_order_of_another);
    tcase_add_test(tests, test_ordered_upstream_is_published_by_next_leader);
    tcase_add_test(tests,
                   test_primary_is_not_fenced_where_that_does_not_demote);
    tcase_add_test(tests, test_former_primary_is_not_published_by_empty_log);
    tcase_add_test(tests, test_overloaded_former_primary_is_fenced);
    tcase_add_test(tests, test_overloaded_demoted_primary_is_not_kept);
    tcase_add_loop_test(
        tests, test_change_of_primary_goes_on_after_removal_of_database, 0, 2);
    tcase_add_test(tests, test_term_of_fenced_primary_goes_on);
    tcase_add_test(tests,
                   test_fence_under_way_does_not_demote_the_next_primary);
    tcase_add_loop_test(
        tests, test_answer_from_before_the_fence_does_not_count, 0, 10);
}

TEST_MAIN("former_primary", add_tests)
