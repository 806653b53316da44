#include "catkingrade/kernel/histogram.h"

#include <stdio.h>
#include <string.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/memory.h"
#include "test/suite.h"

// Guards against wrong latency metrics: a duration counted in the wrong
// bucket, bucket counts that are not cumulative, label combinations that share
// a histogram, and unlimited memory for label combinations.

// Control traffic of a daemon may be 4 KB/s; the page is fetched every 5 s.
#define METRICS_MAX_BYTES 20000

static void
assert_page_contains(struct buffer *text, const char *part)
{
    buffer_append_u8(text, 0);
    ck_assert_msg(strstr((const char *)buffer_get_data(text), part) != NULL,
                  "no \"%s\" in: %.1000s", part,
                  (const char *)buffer_get_data(text));
    buffer_free(text);
}

static void
assert_metrics_contain(const char *part)
{
    struct buffer text = {0};

    histogram_append_databases(&text);
    assert_page_contains(&text, part);
}

static void
assert_phases_contain(const char *part)
{
    struct buffer text = {0};

    histogram_append_prometheus(&text);
    assert_page_contains(&text, part);
}

struct duration_row {
    int64_t duration_us;
    const char *bucket_below; // stays empty; NULL for the first bucket
    const char *bucket;
};

static const struct duration_row duration_rows[] = {
    {1000, NULL, "le=\"0.001\"} 1\n"},
    {1001, "le=\"0.001\"} 0\n", "le=\"0.0015\"} 1\n"},
    {250000, "le=\"0.192\"} 0\n", "le=\"0.256\"} 1\n"},
    {60000000, "le=\"16.384\"} 0\n", "le=\"+Inf\"} 1\n"},
    {-5, NULL, "le=\"0.001\"} 1\n"},
};

START_TEST(test_bucket_bounds)
{
    const struct duration_row *row = &duration_rows[_i];

    histogram_record(histogram_get(HISTOGRAM_RUN, "walks", "read", "u1"),
                     row->duration_us);
    assert_metrics_contain(row->bucket);
    if (row->bucket_below != NULL) {
        assert_metrics_contain(row->bucket_below);
    }
    assert_metrics_contain(
        "_count{phase=\"run\",database=\"walks\",type=\"read\","
        "upstream=\"u1\"} 1\n");
}
END_TEST

START_TEST(test_labels_select_histogram)
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
    assert_metrics_contain(
        "_sum{phase=\"queue\",database=\"walks\",type=\"save\","
        "upstream=\"u1\"} 0.502000\n");
    assert_metrics_contain(
        "_count{phase=\"queue\",database=\"walks\",type=\"save\","
        "upstream=\"u2\"} 0\n");
}
END_TEST

#define LONG "012345678901234567890123456789012345678901234567890123456789"

// Guards against a page that cannot be read, or that counts one upstream as
// another, because of bytes in a name or its length.
START_TEST(test_names_in_labels)
{
    histogram_record(histogram_get(HISTOGRAM_CONFIRM, "a\"b", "c\\", "d\ne\r"),
                     1000);
    histogram_record(
        histogram_get(HISTOGRAM_CONFIRM, LONG "abc", LONG "abc", LONG "abc"),
        1000);
    ck_assert_ptr_ne(
        histogram_get(HISTOGRAM_CONFIRM, LONG "abc", LONG "abc", LONG "abc"),
        histogram_get(HISTOGRAM_CONFIRM, LONG "abc", LONG "abc", LONG "abd"));
    assert_metrics_contain(
        "_count{phase=\"confirm\",database=\"a\\\"b\",type=\"c\\\\\","
        "upstream=\"d\\ne\r\"} 1\n");
    assert_metrics_contain("_count{phase=\"confirm\",database=\"" LONG
                           "abc\",type=\"" LONG "abc\",upstream=\"" LONG
                           "abc\"} 1\n");
}
END_TEST

// Beyond the limit all labels of a phase share its histogram, which is on no
// page by database and counts each request once.
START_TEST(test_histogram_limit)
{
    char name[16];
    struct histogram *last = NULL;
    struct histogram *first = histogram_get(HISTOGRAM_RUN, "db0", "read", "");
    struct buffer text = {0};

    for (int i = 0; i < 2000; i++) {
        (void)snprintf(name, sizeof(name), "db%d", i);
        last = histogram_get(HISTOGRAM_RUN, name, "read", "");
    }
    ck_assert_ptr_ne(last, first);
    ck_assert_ptr_eq(last, histogram_get(HISTOGRAM_RUN, "db1998", "read", ""));
    histogram_record(last, 1000);
    histogram_record(first, 1000);
    ck_assert_ptr_eq(first, histogram_get(HISTOGRAM_RUN, "db0", "read", ""));
    histogram_append_databases(&text);
    buffer_append_u8(&text, 0);
    ck_assert_ptr_null(strstr((const char *)buffer_get_data(&text), "db1999"));
    buffer_free(&text);
    assert_phases_contain("_count{phase=\"run\"} 2\n");
}
END_TEST

// The counts by phase are those of all databases, types and upstreams.
START_TEST(test_phase_sums_labels)
{
    histogram_record(histogram_get(HISTOGRAM_RUN, "a", "read", "u1"), 1000);
    histogram_record(histogram_get(HISTOGRAM_RUN, "a", "save", "u1"), 3000);
    histogram_record(histogram_get(HISTOGRAM_RUN, "b", "read", "u2"), 3000);
    histogram_record(histogram_get(HISTOGRAM_QUEUE, "b", "read", ""), 1000);
    assert_phases_contain("_bucket{phase=\"run\",le=\"0.001\"} 1\n");
    assert_phases_contain("_bucket{phase=\"run\",le=\"0.003\"} 3\n");
    assert_phases_contain("_sum{phase=\"run\"} 0.007000\n");
    assert_phases_contain("_count{phase=\"run\"} 3\n");
    assert_phases_contain("_count{phase=\"queue\"} 1\n");
}
END_TEST

// Guards against a metrics page that grows with the databases, types and
// upstreams: its bytes delay callers' answers on the VM's link.
START_TEST(test_metrics_page_does_not_grow)
{
    static const char *const types[] = {"read", "save", "begin", "commit"};
    struct buffer text = {0};

    for (int i = 0; i < COUNTER_COUNT; i++) {
        counter_add((enum counter)i, 1000000000000);
    }
    for (int i = 0; i < HISTOGRAM_PHASE_COUNT * 400; i++) {
        char database[16];
        char upstream[16];
        (void)snprintf(database, sizeof(database), "db%d", i % 80);
        (void)snprintf(upstream, sizeof(upstream), "u%d", i % 24);
        struct histogram *histogram =
            histogram_get((enum histogram_phase)(i % HISTOGRAM_PHASE_COUNT),
                          database, types[i / 80 % 4], upstream);
        for (int j = 0; j < 1000; j++) {
            histogram_record(histogram, 1000);
        }
    }
    counter_append_prometheus(&text);
    histogram_append_prometheus(&text);
    size_t size = buffer_get_size(&text);
    buffer_free(&text);
    ck_assert_uint_le(size, METRICS_MAX_BYTES);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_loop_test(tests, test_bucket_bounds, 0,
                        ARRAY_SIZE(duration_rows));
    tcase_add_test(tests, test_labels_select_histogram);
    tcase_add_test(tests, test_names_in_labels);
    tcase_add_test(tests, test_histogram_limit);
    tcase_add_test(tests, test_phase_sums_labels);
    tcase_add_test(tests, test_metrics_page_does_not_grow);
}

TEST_MAIN("histogram", add_tests)
