#include "catkingrade/kernel/histogram.h"

#include <stdio.h>
#include <string.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/memory.h"
#include "test/suite.h"

// The page of metrics keeps every time in a bucket whose bound covers it, adds
// the buckets up, and keeps each set of labels by itself.

static void
check_page(const char *part)
{
    struct buffer text = {0};

    histogram_append_prometheus(&text);
    buffer_append_u8(&text, 0);
    ck_assert_msg(strstr((const char *)buffer_get_data(&text), part) != NULL,
                  "no \"%s\" in: %s", part,
                  (const char *)buffer_get_data(&text));
    buffer_free(&text);
}

struct time_row {
    int64_t time_us;
    const char *below; // the bucket before, still empty
    const char *within;
};

static const struct time_row time_rows[] = {
    {1000, NULL, "le=\"0.001\"} 1\n"},
    {1001, "le=\"0.001\"} 0\n", "le=\"0.0015\"} 1\n"},
    {250000, "le=\"0.192\"} 0\n", "le=\"0.256\"} 1\n"},
    {60000000, "le=\"16.384\"} 0\n", "le=\"+Inf\"} 1\n"},
    {-5, NULL, "le=\"0.001\"} 1\n"},
};

START_TEST(test_bucket)
{
    const struct time_row *row = &time_rows[_i];

    histogram_record(histogram_get(HISTOGRAM_RUN, "walks", "read", "u1"),
                     row->time_us);
    check_page(row->within);
    if (row->below != NULL) {
        check_page(row->below);
    }
    check_page("_count{phase=\"run\",database=\"walks\",type=\"read\","
               "upstream=\"u1\"} 1\n");
}
END_TEST

START_TEST(test_labels)
{
    struct histogram *saves =
        histogram_get(HISTOGRAM_QUEUE, "walks", "save", "u1");

    ck_assert_ptr_eq(saves,
                     histogram_get(HISTOGRAM_QUEUE, "walks", "save", "u1"));
    ck_assert_ptr_ne(saves,
                     histogram_get(HISTOGRAM_QUEUE, "walks", "save", "u2"));
    ck_assert_ptr_ne(saves,
                     histogram_get(HISTOGRAM_TOTAL, "walks", "save", "u1"));
    histogram_record(saves, 2000);
    histogram_record(saves, 500000);
    check_page("_sum{phase=\"queue\",database=\"walks\",type=\"save\","
               "upstream=\"u1\"} 0.502000\n");
    check_page("_count{phase=\"queue\",database=\"walks\",type=\"save\","
               "upstream=\"u2\"} 0\n");
}
END_TEST

START_TEST(test_too_many)
{
    char name[16];
    struct histogram *last = NULL;

    for (int i = 0; i < 2000; i++) {
        (void)snprintf(name, sizeof(name), "db%d", i);
        last = histogram_get(HISTOGRAM_RUN, name, "read", "");
    }
    ck_assert_ptr_null(last);
    histogram_record(last, 1000);
    ck_assert_ptr_nonnull(histogram_get(HISTOGRAM_RUN, "db0", "read", ""));
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_loop_test(tests, test_bucket, 0, ARRAY_SIZE(time_rows));
    tcase_add_test(tests, test_labels);
    tcase_add_test(tests, test_too_many);
}

TEST_MAIN("histogram", add_tests)
