// Unit tests of promotions whose order is under way while the leader changes,
// or whose order is reported as failed and takes effect all the same.

#include <check.h>
#include <string.h>

#include "test/rig/promotion_rig.h"
#include "test/suite.h"

#define S_US INT64_C(1000000)
// Time for which the driver repeats the call of an order.
#define DRIVER_US (8 * S_US)

// Begins a change of primary and lets the leader order u1, which takes effect
// after promotion_us. is_lost: the primary is lost; else it is replaced.
static void
start_change(struct promotion_rig *rig, int64_t promotion_us, bool is_lost)
{
    promotion_rig_start(rig, 0);
    rig->promotion_us = promotion_us;
    rig->upstreams[0].lsn = 250;
    rig->upstreams[1].lsn = 250;
    rig->upstreams[2].lsn = 200;
    if (is_lost) {
        promotion_rig_lose_primary(rig);
    }
    else {
        promotion_rig_supersede(rig);
    }
    promotion_rig_run_until_ordered(rig);
    ck_assert_str_eq(rig->ordered, "u1");
}

// Guards against writes that are acknowledged at a primary which has been
// superseded: the next leader does not know which upstream its predecessor has
// ordered, and publishes another one, or the old primary, before the order
// takes effect. The positions have changed meanwhile.
START_TEST(test_next_leader_continues_with_ordered_upstream)
{
    bool is_lost = _i % 2 == 1;
    int64_t promotion_us = (_i / 2 + 1) * S_US / 4;
    struct promotion_rig rig;

    start_change(&rig, promotion_us, is_lost);
    promotion_rig_run(&rig, (_i / 2) * 10 * PROMOTION_RIG_STEP_US);
    promotion_rig_change_leader(&rig);
    rig.upstreams[2].lsn = 250;
    rig.upstreams[0].lsn = is_lost ? 250 : 260;
    promotion_rig_run(&rig, 8 * S_US);
    ck_assert_uint_eq(rig.split_count, 0);
    ck_assert_str_eq(promotion_rig_get_database(&rig)->primary, "u1");
    ck_assert_uint_eq(promotion_rig_get_database(&rig)->term, 2);
    promotion_rig_finish(&rig);
}
END_TEST

// Guards against the same within one leader: the call's answer was lost, and
// another upstream answers with a higher position.
START_TEST(test_order_without_answer_is_continued)
{
    struct promotion_rig rig;

    promotion_rig_start(&rig, 0);
    rig.promotion_us = S_US;
    rig.fails_orders = true;
    rig.upstreams[1].lsn = 250;
    promotion_rig_lose_primary(&rig);
    promotion_rig_run_until_ordered(&rig);
    rig.upstreams[2].lsn = 260;
    promotion_rig_run(&rig, 8 * S_US);
    ck_assert_uint_eq(rig.split_count, 0);
    ck_assert_str_eq(promotion_rig_get_database(&rig)->primary, "u1");
    promotion_rig_finish(&rig);
}
END_TEST

// An upstream that falls silent after its order is given up once the order can
// no longer take effect.
START_TEST(test_silent_ordered_upstream_is_given_up)
{
    struct promotion_rig rig;

    start_change(&rig, 60 * S_US, true);
    rig.upstreams[1].is_silent = true;
    promotion_rig_change_leader(&rig);
    promotion_rig_run(&rig, S_US);
    ck_assert_uint_eq(rig.orders_count, 1);
    rig.promotion_us = S_US;
    promotion_rig_run(&rig, 9 * S_US);
    ck_assert_str_eq(promotion_rig_get_database(&rig)->primary, "u2");
    promotion_rig_finish(&rig);
}
END_TEST

// A promotion is ordered only after the log has taken it: otherwise the next
// leader could not know of it.
START_TEST(test_promotion_is_not_ordered_before_it_is_in_the_log)
{
    struct promotion_rig rig;

    promotion_rig_start(&rig, 0);
    promotion_rig_lose_primary(&rig);
    ck_assert(promotion_rig_get_database(&rig)->superseding);
    rig.loses_proposals = true;
    promotion_rig_run(&rig, 5 * S_US);
    ck_assert_uint_eq(rig.orders_count, 0);
    promotion_rig_finish(&rig);
}
END_TEST

// Guards against a second upstream that is ordered while a call of the first
// order, the last of many, may still take effect.
START_TEST(test_late_call_of_failed_order_is_waited_for)
{
    struct promotion_rig rig;

    start_change(&rig, DRIVER_US + S_US / 2, true);
    rig.upstreams[1].is_silent = true;
    promotion_rig_run(&rig, DRIVER_US);
    rig.promotion_us = S_US / 4;
    promotion_rig_fail_order(&rig);
    promotion_rig_run(&rig, S_US);
    ck_assert_uint_eq(rig.promoted, 1);
    rig.upstreams[1].is_silent = false;
    promotion_rig_run(&rig, 8 * S_US);
    ck_assert_uint_eq(rig.split_count, 0);
    promotion_rig_finish(&rig);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_loop_test(
        tests, test_next_leader_continues_with_ordered_upstream, 0, 12);
    tcase_add_test(tests, test_order_without_answer_is_continued);
    tcase_add_test(tests, test_silent_ordered_upstream_is_given_up);
    tcase_add_test(tests, test_late_call_of_failed_order_is_waited_for);
    tcase_add_test(tests,
                   test_promotion_is_not_ordered_before_it_is_in_the_log);
}

TEST_MAIN("ordered_promotion", add_tests)
