// Unit tests of logs that hold what a promotion has given up.

#include <check.h>

#include "catkingrade/decide/promotion/history.h"
#include "test/suite.h"

// Term 2 began after write 66, term 3 after 150, term 5 after 60: it gave up
// what terms 1 to 3 had written beyond that.
static struct ck_position begins[] = {{2, 66}, {3, 150}, {5, 60}};

static bool
is_contained(u_int begins_count, uint64_t term, uint64_t number)
{
    const struct ck_history history = {
        .begins = {.begins_len = begins_count, .begins_val = begins}};
    const struct ck_position last_write = {term, number};

    return history_contains(&history, &last_write);
}

START_TEST(test_log_of_newest_term_is_contained)
{
    ck_assert(is_contained(2, 3, 151));
    ck_assert(is_contained(2, 3, 1000));
    ck_assert(is_contained(2, 4, 1000));
}
END_TEST

START_TEST(test_log_that_ends_before_the_promotion_is_contained)
{
    ck_assert(is_contained(1, 1, 66));
    ck_assert(is_contained(2, 1, 66));
    ck_assert(is_contained(2, 2, 150));
    ck_assert(is_contained(3, 1, 60));
    ck_assert(is_contained(3, 3, 60));
}
END_TEST

// Guards against the return of commits that a promotion gave up.
START_TEST(test_log_that_goes_on_beyond_a_promotion_is_not_contained)
{
    ck_assert(!is_contained(1, 1, 67));
    ck_assert(!is_contained(2, 1, 67));
    ck_assert(!is_contained(2, 1, 149));
    ck_assert(!is_contained(2, 2, 151));
    ck_assert(!is_contained(3, 1, 63));
    ck_assert(!is_contained(3, 3, 151));
}
END_TEST

START_TEST(test_all_logs_are_contained_without_a_promotion)
{
    const struct ck_position last_write = {1, 1000};

    ck_assert(history_contains(NULL, &last_write));
    ck_assert(is_contained(0, 1, 1000));
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_log_of_newest_term_is_contained);
    tcase_add_test(tests,
                   test_log_that_ends_before_the_promotion_is_contained);
    tcase_add_test(tests,
                   test_log_that_goes_on_beyond_a_promotion_is_not_contained);
    tcase_add_test(tests, test_all_logs_are_contained_without_a_promotion);
}

TEST_MAIN("history", add_tests)
