#include "catkingrade/rpc/call_queue.h"

#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/counters.h"
#include "test/suite.h"

// Guards against a leader that spends its time on calls whose callers have
// given up, and so answers none in time; and against a flood that fills the
// memory.

#define MAX_WAIT_US 1000
#define MAX_BYTES   100

static void
push(struct call_queue *queue, int64_t now_us, uint32_t xid, const char *body)
{
    const struct settings_address peer = {"10.0.0.1", 7000};
    struct datagram datagram = {.xid = xid,
                                .is_call = true,
                                .body = (const uint8_t *)body,
                                .body_size_bytes = strlen(body)};

    call_queue_push(queue, now_us, &peer, &datagram);
}

static void
assert_pop(struct call_queue *queue, int64_t now_us, uint32_t xid)
{
    struct queued_call *call = call_queue_pop(queue, now_us);

    ck_assert_ptr_nonnull(call);
    ck_assert_uint_eq(call->datagram.xid, xid);
    ck_assert_str_eq(call->peer.host, "10.0.0.1");
    free(call);
}

START_TEST(test_calls_keep_their_order_and_body)
{
    struct call_queue *queue = call_queue_create(MAX_WAIT_US, MAX_BYTES);
    char body[] = "abc";

    push(queue, 0, 1, body);
    push(queue, 0, 2, "");
    body[0] = 'x'; // the buffer of the socket is used again
    struct queued_call *call = call_queue_pop(queue, 10);
    ck_assert_uint_eq(call->datagram.body_size_bytes, 3);
    ck_assert_mem_eq(call->datagram.body, "abc", 3);
    free(call);
    assert_pop(queue, 10, 2);
    ck_assert_ptr_null(call_queue_pop(queue, 10));
    push(queue, 20, 3, "z");
    assert_pop(queue, 20, 3);
    call_queue_destroy(queue);
}
END_TEST

START_TEST(test_overdue_calls_are_dropped)
{
    struct call_queue *queue = call_queue_create(MAX_WAIT_US, MAX_BYTES);
    uint64_t before = counter_get(COUNTER_RPC_OVERDUE);

    push(queue, 0, 1, "a");
    push(queue, 500, 2, "b");
    push(queue, 900, 3, "c");
    assert_pop(queue, 1500, 2);
    ck_assert_uint_eq(counter_get(COUNTER_RPC_OVERDUE) - before, 1);
    ck_assert_ptr_null(call_queue_pop(queue, 2000));
    ck_assert_uint_eq(counter_get(COUNTER_RPC_OVERDUE) - before, 2);
    call_queue_destroy(queue);
}
END_TEST

START_TEST(test_flood_of_large_calls_is_bounded)
{
    struct call_queue *queue = call_queue_create(MAX_WAIT_US, MAX_BYTES);
    const char *body = "0123456789012345678901234567890123456789"; // 40

    for (uint32_t xid = 1; xid <= 5; xid++) {
        push(queue, 0, xid, body);
    }
    assert_pop(queue, 0, 4);
    assert_pop(queue, 0, 5);
    push(queue, 0, 6, body);
    call_queue_destroy(queue);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_calls_keep_their_order_and_body);
    tcase_add_test(tests, test_overdue_calls_are_dropped);
    tcase_add_test(tests, test_flood_of_large_calls_is_bounded);
}

TEST_MAIN("call_queue", add_tests)
