// Unit tests of the choice of the next primary of a declared database whose
// writes are acknowledged once replicas hold them.

#include <check.h>
#include <string.h>

#include "test/rig/promotion_rig.h"
#include "test/suite.h"

#define S_US INT64_C(1000000)

// u1 holds every write of the primary, u2 lacks the newest ones.
static void
lose_primary_while_replica_lags(struct promotion_rig *rig, unsigned confirm)
{
    promotion_rig_start(rig, confirm);
    rig->upstreams[0].lsn = 250;
    rig->upstreams[1].lsn = 250;
    rig->upstreams[1].is_silent = true;
    promotion_rig_lose_primary(rig);
    promotion_rig_run(rig, 5 * S_US);
}

// Guards against the loss of acknowledged writes: the replica that holds them
// is silent while the primary is lost, and the other one must not take over.
START_TEST(test_replica_that_lacks_confirmed_writes_is_not_promoted)
{
    struct promotion_rig rig;

    lose_primary_while_replica_lags(&rig, 1);
    ck_assert_uint_eq(rig.orders_count, 0);
    rig.upstreams[1].is_silent = false;
    promotion_rig_run(&rig, 2 * S_US);
    ck_assert_str_eq(promotion_rig_get_database(&rig)->primary, "u1");
    ck_assert_uint_eq(rig.orders_count, 1);
    promotion_rig_finish(&rig);
}
END_TEST

// The log of the old primary proves as much as that of the silent replica.
START_TEST(test_returned_primary_ends_wait_for_confirmed_writes)
{
    struct promotion_rig rig;

    lose_primary_while_replica_lags(&rig, 1);
    ck_assert_uint_eq(rig.orders_count, 0);
    rig.upstreams[0].is_silent = false;
    rig.upstreams[0].is_primary = false;
    promotion_rig_run(&rig, 2 * S_US);
    ck_assert_str_eq(promotion_rig_get_database(&rig)->primary, "u0");
    ck_assert_uint_eq(promotion_rig_get_database(&rig)->term, 2);
    promotion_rig_finish(&rig);
}
END_TEST

// Confirmed writes cost no wait while all replicas answer.
START_TEST(test_answers_of_all_replicas_end_failover_at_once)
{
    struct promotion_rig rig;

    promotion_rig_start(&rig, 1);
    rig.upstreams[0].lsn = 250;
    rig.upstreams[1].lsn = 250;
    promotion_rig_lose_primary(&rig);
    promotion_rig_run(&rig, S_US);
    ck_assert_str_eq(promotion_rig_get_database(&rig)->primary, "u1");
    promotion_rig_finish(&rig);
}
END_TEST

// Without confirmed writes, the most advanced replica that answers takes over.
START_TEST(test_unconfirmed_writes_are_not_awaited)
{
    struct promotion_rig rig;

    lose_primary_while_replica_lags(&rig, 0);
    ck_assert_str_eq(promotion_rig_get_database(&rig)->primary, "u2");
    promotion_rig_finish(&rig);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests,
                   test_replica_that_lacks_confirmed_writes_is_not_promoted);
    tcase_add_test(tests,
                   test_returned_primary_ends_wait_for_confirmed_writes);
    tcase_add_test(tests, test_answers_of_all_replicas_end_failover_at_once);
    tcase_add_test(tests, test_unconfirmed_writes_are_not_awaited);
}

TEST_MAIN("confirmed_promotion", add_tests)
