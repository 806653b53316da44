#include <check.h>
#include <stdint.h>
#include <stdlib.h>

#include "catkingrade/kernel/memory.h"
#include "test/fake/network.h"
#include "test/suite.h"

#define TRACE_SIZE 4096

// What was delivered and which timers fired, in order.
struct trace {
    struct network *network;
    size_t count;
    struct {
        int64_t now_us;
        int node;
        uint64_t value;
    } rows[TRACE_SIZE];
};

static void
trace_add(struct trace *trace, int64_t now_us, int node, uint64_t value)
{
    ck_assert_uint_lt(trace->count, TRACE_SIZE);
    trace->rows[trace->count].now_us = now_us;
    trace->rows[trace->count].node = node;
    trace->rows[trace->count].value = value;
    trace->count++;
}

static void
on_deliver(void *data, int64_t now_us, int from, int to, void *message)
{
    (void)from;
    trace_add(data, now_us, to, *(uint64_t *)message);
}

static void
on_timer(void *data, int64_t now_us, int node, uint64_t tag)
{
    trace_add(data, now_us, node, 1000000 + tag);
}

static void *
message_create(uint64_t value)
{
    uint64_t *message = xmalloc(sizeof(*message));

    *message = value;
    return message;
}

static void *
message_copy(const void *message)
{
    return message_create(*(const uint64_t *)message);
}

static struct trace *
trace_create(uint64_t seed)
{
    struct trace *trace = xcalloc(1, sizeof(*trace));

    trace->network = network_create(seed, 3, on_deliver, on_timer, trace,
                                    message_copy, free);
    return trace;
}

static void
trace_destroy(struct trace *trace)
{
    network_destroy(trace->network);
    free(trace);
}

static void
send_many(struct trace *trace, uint64_t count)
{
    for (uint64_t i = 0; i < count; i++) {
        network_send(trace->network, 0, 1, message_create(i));
    }
}

START_TEST(test_delay_and_path_down)
{
    struct trace *trace = trace_create(1);
    struct network *network = trace->network;

    network_set_delay(network, 0, 1, 1500);
    send_many(trace, 2);
    network_run_until(network, 1499);
    ck_assert_uint_eq(trace->count, 0);
    network_run_until(network, 1500);
    ck_assert_uint_eq(trace->count, 2);
    ck_assert_int_eq(trace->rows[0].now_us, 1500);
    ck_assert_uint_eq(trace->rows[1].value, 1);
    send_many(trace, 1);
    network_set_path_down(network, 0, 1, true); // in flight: lost
    network_run_until(network, 10000);
    network_send(network, 1, 0, message_create(7)); // the way back is open
    send_many(trace, 1);
    network_set_path_down(network, 0, 1, false);
    network_run_until(network, 20000);
    ck_assert_uint_eq(trace->count, 3);
    ck_assert_uint_eq(trace->rows[2].value, 7);
    trace_destroy(trace);
}
END_TEST

START_TEST(test_faults)
{
    struct trace *trace = trace_create(7);
    const struct network_faults faults = {
        .delay_min_us = 100,
        .delay_max_us = 900,
        .drop_ppm = 200000,
        .duplicate_ppm = 100000,
    };
    size_t reordered = 0;

    network_set_faults(trace->network, &faults);
    send_many(trace, 1000);
    network_run_until(trace->network, 901);
    // 800 are expected to arrive, 80 of them twice.
    ck_assert_uint_gt(trace->count, 800);
    ck_assert_uint_lt(trace->count, 960);
    for (size_t i = 0; i < trace->count; i++) {
        ck_assert_int_ge(trace->rows[i].now_us, 100);
        ck_assert_int_le(trace->rows[i].now_us, 900);
        reordered += i > 0 && trace->rows[i].value < trace->rows[i - 1].value;
    }
    ck_assert_uint_gt(reordered, 100);
    trace_destroy(trace);
}
END_TEST

START_TEST(test_same_seed_repeats_run)
{
    const struct network_faults faults = {0, 1000, 300000, 300000};
    struct trace *traces[3];
    size_t different = 0;

    for (size_t i = 0; i < 3; i++) {
        traces[i] = trace_create(i < 2 ? 11 : 12);
        network_set_faults(traces[i]->network, &faults);
        send_many(traces[i], 200);
        network_run_until(traces[i]->network, 1000);
    }
    ck_assert_uint_eq(traces[0]->count, traces[1]->count);
    for (size_t i = 0; i < traces[0]->count; i++) {
        ck_assert_int_eq(traces[0]->rows[i].now_us, traces[1]->rows[i].now_us);
        ck_assert_uint_eq(traces[0]->rows[i].value, traces[1]->rows[i].value);
        different += traces[0]->rows[i].value != traces[2]->rows[i].value;
    }
    ck_assert_uint_gt(different, 0);
    for (size_t i = 0; i < 3; i++) {
        trace_destroy(traces[i]);
    }
}
END_TEST

START_TEST(test_timers_and_clocks)
{
    struct trace *trace = trace_create(1);
    struct network *network = trace->network;

    network_set_clock_ppm(network, 1, 10000);
    network_set_clock_ppm(network, 2, -10000);
    network_set_timer(network, 0, 1, 500000);
    network_set_timer(network, 0, 1, 1000000); // replaces the first
    network_set_timer(network, 1, 1, 1000000);
    network_set_timer(network, 2, 1, 1000000);
    network_run_until(network, 995000);
    ck_assert_uint_eq(trace->count, 1);
    ck_assert_int_eq(trace->rows[0].node, 1);
    ck_assert_int_ge(trace->rows[0].now_us, 1000000);
    network_run_until(network, 1000000);
    ck_assert_uint_eq(trace->count, 2);
    ck_assert_int_eq(trace->rows[1].node, 0);
    // From 990,000 of its own time on, the third node's clock is fast.
    ck_assert_int_eq(network_get_node_now_us(network, 2), 990000);
    network_set_clock_ppm(network, 2, 1000000);
    network_run_until(network, 1005000);
    ck_assert_uint_eq(trace->count, 3);
    ck_assert_int_eq(trace->rows[2].node, 2);
    ck_assert_int_eq(network_get_node_now_us(network, 2), 1000000);
    trace_destroy(trace);
}
END_TEST

START_TEST(test_node_down)
{
    struct trace *trace = trace_create(1);
    struct network *network = trace->network;

    network_set_delay(network, 0, 1, 100);
    network_set_timer(network, 1, 1, 50);
    network_set_timer(network, 0, 2, 50);
    network_set_timer(network, 1, 3, 60);
    send_many(trace, 1);
    network_set_node_down(network, 1, true);
    network_run_until(network, 200);
    ck_assert_uint_eq(trace->count, 1);
    ck_assert_int_eq(trace->rows[0].node, 0);
    network_set_node_down(network, 1, false);
    network_run_until(network, 300);
    ck_assert_uint_eq(trace->count, 1); // its timers are gone
    send_many(trace, 1);
    network_set_node_down(network, 0, true); // what was sent still arrives
    network_run_until(network, 400);
    ck_assert_uint_eq(trace->count, 2);
    trace_destroy(trace);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_delay_and_path_down);
    tcase_add_test(tests, test_faults);
    tcase_add_test(tests, test_same_seed_repeats_run);
    tcase_add_test(tests, test_timers_and_clocks);
    tcase_add_test(tests, test_node_down);
}

TEST_MAIN("network", add_tests)
