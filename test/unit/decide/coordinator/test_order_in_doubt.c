// Unit tests of the choice after an ordered promotion that had no answer, and
// whose upstream then answers no more.

#include <check.h>

#include "test/rig/promotion_rig.h"
#include "test/suite.h"

#define S_US INT64_C(1000000)
// Heartbeats expire, and the return of the ordered upstream is not waited for.
#define LONG_US (60 * S_US)

// Loses the primary u0, whose log is the longest, and lets the leader order u1
// without an answer. The promotion takes effect after promotion_us. With
// is_alone u2 has fallen silent before.
static void
start(struct promotion_rig *rig, unsigned confirm, int64_t promotion_us,
      bool is_alone)
{
    promotion_rig_start(rig, confirm);
    rig->upstreams[2].is_silent = is_alone;
    rig->counts_terms = true;
    rig->promotion_us = promotion_us;
    rig->fails_orders = true;
    rig->upstreams[0].lsn = 260;
    rig->upstreams[1].lsn = 250;
    rig->upstreams[2].lsn = 200;
    promotion_rig_lose_primary(rig);
    promotion_rig_run_until_ordered(rig);
    ck_assert_str_eq(rig->ordered, "u1");
}

// Lets the platform take orders at once again, and u0 answer as a replica.
static void
return_old_primary(struct promotion_rig *rig)
{
    rig->upstreams[0].is_silent = false;
    rig->upstreams[0].is_primary = false;
    rig->fails_orders = false;
    rig->promotion_us = S_US / 4;
}

// Guards against the loss of commits to a log that is behind both the order
// and the old primary: it is worse than u0 whether u1 was promoted or not.
START_TEST(test_shortest_log_does_not_win_while_order_is_in_doubt)
{
    struct promotion_rig rig;

    start(&rig, 0, 600 * S_US, false);
    rig.upstreams[1].is_silent = true;
    return_old_primary(&rig);
    promotion_rig_run(&rig, LONG_US);
    ck_assert_str_eq(promotion_rig_get_database(&rig)->primary, "u0");
    promotion_rig_finish(&rig);
}
END_TEST

// Guards against a database that gets no primary for good: the ordered
// upstream's heartbeats arrive, so that it is never lost, but it can't be
// reached, and the log of the only one that answers goes on beyond the order.
START_TEST(test_unreachable_ordered_upstream_is_given_up)
{
    struct promotion_rig rig;

    start(&rig, (unsigned)_i, 600 * S_US, _i == 0);
    rig.upstreams[1].is_cut = true;
    rig.upstreams[2].is_silent = true;
    return_old_primary(&rig);
    promotion_rig_run(&rig, 5 * LONG_US);
    ck_assert_uint_eq(promotion_rig_get_database(&rig)->term, 2);
    promotion_rig_finish(&rig);
}
END_TEST

// Guards against the same, as the ordered upstream has started again under its
// id, with an empty log, before it was promoted.
START_TEST(test_ordered_upstream_that_restarts_empty_holds_up_none)
{
    struct promotion_rig rig;

    start(&rig, (unsigned)_i, 600 * S_US, _i == 0);
    rig.upstreams[1].lsn = 0;
    rig.upstreams[1].promoted_us = 0;
    rig.upstreams[2].is_silent = true;
    return_old_primary(&rig);
    promotion_rig_run(&rig, 5 * LONG_US);
    ck_assert_uint_eq(promotion_rig_get_database(&rig)->term, 2);
    ck_assert_str_eq(promotion_rig_get_database(&rig)->primary, "u0");
    promotion_rig_finish(&rig);
}
END_TEST

// Guards against the loss of commits for an order that was never sent: the
// leader is lost before the log holds it.
START_TEST(test_order_that_was_never_sent_gives_up_nothing)
{
    struct promotion_rig rig;

    promotion_rig_start(&rig, 0);
    rig.counts_terms = true;
    rig.upstreams[0].lsn = 260;
    rig.upstreams[1].lsn = 250;
    rig.upstreams[2].lsn = 200;
    rig.loses_promotions = true;
    promotion_rig_lose_primary(&rig);
    promotion_rig_run(&rig, 3 * S_US);
    ck_assert_uint_eq(rig.orders_count, 0);
    promotion_rig_change_leader(&rig);
    rig.loses_promotions = false;
    return_old_primary(&rig);
    promotion_rig_run(&rig, 10 * S_US);
    ck_assert_str_eq(promotion_rig_get_database(&rig)->primary, "u0");
    promotion_rig_finish(&rig);
}
END_TEST

// Guards against the loss of a primary's commits to a replica that lags: the
// primary was promoted after an unseen promotion was given up on, and has not
// written since. Its own log then goes on beyond the unseen promotion, which
// its promotion has put into the history.
START_TEST(test_primary_is_not_given_up_by_what_its_promotion_replaced)
{
    struct promotion_rig rig;

    start(&rig, 0, S_US / 2, true);
    rig.upstreams[1].is_silent = true;
    promotion_rig_run(&rig, S_US);
    ck_assert_uint_eq(rig.promoted, 1);
    return_old_primary(&rig);
    promotion_rig_run(&rig, LONG_US);
    ck_assert_str_eq(promotion_rig_get_database(&rig)->primary, "u0");
    ck_assert_uint_eq(rig.upstreams[0].timeline, 3);
    rig.upstreams[2].is_silent = false;
    rig.upstreams[2].lsn = 240; // has not caught up yet
    promotion_rig_run(&rig, S_US);
    promotion_rig_supersede(&rig);
    promotion_rig_run(&rig, 10 * S_US);
    ck_assert_uint_eq(promotion_rig_get_database(&rig)->term, 3);
    ck_assert_str_eq(promotion_rig_get_database(&rig)->primary, "u0");
    promotion_rig_finish(&rig);
}
END_TEST

// Guards against the loss of commits for an order that was refused, also by
// the next leader, which continues with it.
START_TEST(test_order_that_each_leader_saw_refused_gives_up_nothing)
{
    struct promotion_rig rig;

    promotion_rig_start(&rig, 0);
    rig.counts_terms = true;
    rig.upstreams[0].lsn = 260;
    rig.upstreams[1].lsn = 250;
    rig.upstreams[2].lsn = 200;
    rig.refuses_orders = true;
    promotion_rig_lose_primary(&rig);
    promotion_rig_run_until_ordered(&rig);
    promotion_rig_change_leader(&rig);
    promotion_rig_run(&rig, 3 * S_US);
    return_old_primary(&rig);
    promotion_rig_run(&rig, 3 * S_US);
    rig.refuses_orders = false;
    promotion_rig_run(&rig, 10 * S_US);
    ck_assert_uint_eq(promotion_rig_get_database(&rig)->term, 2);
    ck_assert_str_eq(promotion_rig_get_database(&rig)->primary, "u0");
    promotion_rig_finish(&rig);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests,
                   test_shortest_log_does_not_win_while_order_is_in_doubt);
    tcase_add_loop_test(tests, test_unreachable_ordered_upstream_is_given_up,
                        0, 2);
    tcase_add_loop_test(
        tests, test_ordered_upstream_that_restarts_empty_holds_up_none, 0, 2);
    tcase_add_test(tests,
                   test_order_that_each_leader_saw_refused_gives_up_nothing);
    tcase_add_test(tests, test_order_that_was_never_sent_gives_up_nothing);
    tcase_add_test(
        tests, test_primary_is_not_given_up_by_what_its_promotion_replaced);
}

TEST_MAIN("order_in_doubt", add_tests)
