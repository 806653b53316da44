// Unit tests of what is done about a promotion that may still take effect.

#include "catkingrade/decide/promotion/ordered.h"
#include "test/suite.h"

#define SETTLE_US 2000

static struct ordered_params
make_params(void)
{
    return (struct ordered_params){
        .is_member = true, .answers = true, .settle_us = SETTLE_US};
}

START_TEST(test_upstream_that_answers_is_continued)
{
    struct ordered_params params = make_params();

    ck_assert_int_eq(ordered_decide(&params), ORDERED_CONTINUE);
    params.waited_us = 10 * SETTLE_US;
    ck_assert_int_eq(ordered_decide(&params), ORDERED_CONTINUE);
}
END_TEST

// Guards against a second promotion while the first one can take effect.
START_TEST(test_silent_upstream_is_waited_for)
{
    struct ordered_params params = make_params();

    params.answers = false;
    params.waited_us = SETTLE_US - 1;
    ck_assert_int_eq(ordered_decide(&params), ORDERED_WAIT);
    params.waited_us = SETTLE_US;
    ck_assert_int_eq(ordered_decide(&params), ORDERED_CHOOSE);
}
END_TEST

// One that has lost part of its log is not ordered again, but may have been
// promoted.
START_TEST(test_regressed_upstream_is_not_continued)
{
    struct ordered_params params = make_params();

    params.is_regressed = true;
    ck_assert_int_eq(ordered_decide(&params), ORDERED_WAIT);
    params.waited_us = SETTLE_US;
    ck_assert_int_eq(ordered_decide(&params), ORDERED_CHOOSE);
}
END_TEST

START_TEST(test_order_without_effect_is_not_waited_for)
{
    struct ordered_params params = make_params();

    params.is_refused = true;
    ck_assert_int_eq(ordered_decide(&params), ORDERED_CHOOSE);
    params = make_params();
    params.is_member = false;
    ck_assert_int_eq(ordered_decide(&params), ORDERED_CHOOSE);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_upstream_that_answers_is_continued);
    tcase_add_test(tests, test_silent_upstream_is_waited_for);
    tcase_add_test(tests, test_regressed_upstream_is_not_continued);
    tcase_add_test(tests, test_order_without_effect_is_not_waited_for);
}

TEST_MAIN("ordered", add_tests)
