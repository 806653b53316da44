#include "catkingrade/kernel/work_time.h"

#include <string.h>

#include "catkingrade/kernel/buffer.h"
#include "test/suite.h"

// Guards against times of the control thread that mislead whoever looks for
// the work that holds up heartbeats: a longest time that stays for ever, one
// that is gone before it can be read, or a sum that lacks a measurement.

#define S_US 1000000

START_TEST(test_sum_contains_all_durations)
{
    work_time_record(WORK_TIME_RAFT, S_US, 300);
    work_time_record(WORK_TIME_RAFT, 20 * S_US, 200);
    work_time_record(WORK_TIME_RAFT, 20 * S_US, -50);
    ck_assert_int_eq(work_time_get_sum_us(WORK_TIME_RAFT), 500);
    ck_assert_int_eq(work_time_get_sum_us(WORK_TIME_TICK), 0);
}
END_TEST

START_TEST(test_longest_time_is_kept_for_ten_seconds)
{
    work_time_record(WORK_TIME_TURN, 9 * S_US, 700);
    work_time_record(WORK_TIME_TURN, 11 * S_US, 30);
    ck_assert_int_eq(work_time_get_longest_us(WORK_TIME_TURN, 19 * S_US), 700);
    ck_assert_int_eq(work_time_get_longest_us(WORK_TIME_TURN, 21 * S_US), 30);
    ck_assert_int_eq(work_time_get_longest_us(WORK_TIME_TURN, 31 * S_US), 0);
    work_time_record(WORK_TIME_TURN, 41 * S_US, 20);
    ck_assert_int_eq(work_time_get_longest_us(WORK_TIME_TURN, 41 * S_US), 20);
}
END_TEST

START_TEST(test_page_leaves_out_kinds_without_measurement)
{
    struct buffer text = {0};

    work_time_record(WORK_TIME_RENEWAL, S_US, 1500);
    work_time_append_prometheus(&text, S_US);
    buffer_append_u8(&text, 0);
    const char *page = (const char *)buffer_get_data(&text);
    ck_assert_ptr_nonnull(strstr(
        page, "catkingrade_control_seconds_sum{work=\"renewal\"} 0.001500\n"
              "catkingrade_control_seconds_count{work=\"renewal\"} 1\n"
              "catkingrade_control_longest_seconds{work=\"renewal\"} "
              "0.001500\n"));
    ck_assert_ptr_null(strstr(page, "work=\"raft\""));
    buffer_free(&text);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_sum_contains_all_durations);
    tcase_add_test(tests, test_longest_time_is_kept_for_ten_seconds);
    tcase_add_test(tests, test_page_leaves_out_kinds_without_measurement);
}

TEST_MAIN("work_time", add_tests)
