#include <check.h>

#include "catkingrade/decide/traffic/freshness.h"
#include "test/suite.h"

START_TEST(test_last_time_at_or_below_position)
{
    struct freshness freshness = {0};

    ck_assert_int_eq(freshness_find_us(&freshness, 5), FRESHNESS_UNKNOWN);
    freshness_add(&freshness, 10, 100);
    freshness_add(&freshness, 20, 200);
    freshness_add(&freshness, 30, 200);
    freshness_add(&freshness, 40, 300);
    ck_assert_int_eq(freshness_find_us(&freshness, 99), FRESHNESS_UNKNOWN);
    ck_assert_int_eq(freshness_find_us(&freshness, 100), 10);
    ck_assert_int_eq(freshness_find_us(&freshness, 199), 10);
    ck_assert_int_eq(freshness_find_us(&freshness, 200), 30);
    ck_assert_int_eq(freshness_find_us(&freshness, 299), 30);
    ck_assert_int_eq(freshness_find_us(&freshness, 1000), 40);
}
END_TEST

START_TEST(test_out_of_order_samples_are_dropped)
{
    struct freshness freshness = {0};

    freshness_add(&freshness, 20, 200);
    freshness_add(&freshness, 10, 100);
    freshness_add(&freshness, 30, 150);
    ck_assert_uint_eq(freshness.samples_count, 1);
    ck_assert_int_eq(freshness_find_us(&freshness, 199), FRESHNESS_UNKNOWN);
}
END_TEST

START_TEST(test_truncate_drops_samples_beyond_base)
{
    struct freshness freshness = {0};

    freshness_add(&freshness, 10, 100);
    freshness_add(&freshness, 20, 200);
    freshness_truncate(&freshness, 150);
    ck_assert_int_eq(freshness_find_us(&freshness, 1000), 10);
}
END_TEST

// An hour of samples fits into the history. The ages of recent positions are
// exact, and the age of an old position is never underestimated.
START_TEST(test_long_history_is_thinned)
{
    static struct freshness freshness;
    const int64_t step_us = 50000;
    const int64_t last = 72000;

    for (int64_t i = 1; i <= last; i++) {
        freshness_add(&freshness, i * step_us, (uint64_t)i);
    }
    ck_assert_uint_le(freshness.samples_count, FRESHNESS_SAMPLES_MAX);
    for (int64_t i = last; i > last - 40; i--) {
        ck_assert_int_eq(freshness_find_us(&freshness, (uint64_t)i),
                         i * step_us);
    }
    for (int64_t i = last / 2; i < last; i++) {
        int64_t found_us = freshness_find_us(&freshness, (uint64_t)i);
        ck_assert_int_le(found_us, i * step_us);
        ck_assert_int_ge(found_us, step_us);
    }
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_last_time_at_or_below_position);
    tcase_add_test(tests, test_out_of_order_samples_are_dropped);
    tcase_add_test(tests, test_truncate_drops_samples_beyond_base);
    tcase_add_test(tests, test_long_history_is_thinned);
}

TEST_MAIN("freshness", add_tests)
