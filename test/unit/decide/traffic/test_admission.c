#include <check.h>

#include "catkingrade/decide/traffic/retry.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "test/fake/scheduler_rig.h"
#include "test/suite.h"

static struct scheduler_rig rig;
static char booking[] = "booking";
static char browse[] = "browse";
static uint64_t next_session;

// One slot. Bookings have three times the weight of browsing.
static void
setup(uint32_t queue_limit)
{
    scheduler_rig_init(&rig, 1);
    rig.upstreams[0].slots = 1;
    rig.customer.types.types_len = 2;
    rig.types[0] = (struct ck_request_type){.name = booking,
                                            .weight = 3,
                                            .deadline_ms = 1000,
                                            .queue_limit = queue_limit};
    rig.types[1] = (struct ck_request_type){.name = browse,
                                            .weight = 1,
                                            .deadline_ms = 1000,
                                            .queue_limit = queue_limit};
    scheduler_rig_post_view(&rig);
    scheduler_rig_post_sample(&rig, 0, 100);
    next_session = 10;
    scheduler_rig_open_session(&rig, 1, NULL);
    scheduler_rig_complete_opens(&rig);
}

static uint64_t
send_write(const char *type, int64_t deadline_us)
{
    scheduler_rig_open_session(&rig, next_session, NULL);
    return scheduler_rig_post_typed_request(
        &rig, next_session++, SCHEDULER_CLASS_WRITE, type, deadline_us);
}

// Ends the running request after took_us. Returns the send action of the
// request that starts then and updates *request and *conn, or returns NULL.
static const struct scheduler_action *
finish_and_find_next(uint64_t *request, uint32_t *conn, int64_t took_us)
{
    rig.now_us += took_us;
    scheduler_rig_post_sample(&rig, 0, 100);
    scheduler_rig_post_result(&rig, *request, *conn, SCHEDULER_RESULT_DONE,
                              false, 1);
    const struct scheduler_action *action =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, 0);
    if (action != NULL) {
        *request = action->request;
        *conn = action->conn;
    }
    return action;
}

START_TEST(test_weighted_fair_queueing)
{
    unsigned bookings = 0;

    setup(1000);
    uint64_t running = send_write(booking, 0);
    uint32_t conn =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, running)->conn;
    uint64_t first_booking = 0;
    for (int i = 0; i < 60; i++) {
        (void)send_write(browse, 0);
    }
    for (int i = 0; i < 60; i++) {
        uint64_t request = send_write(booking, 0);
        first_booking = first_booking == 0 ? request : first_booking;
    }
    for (int i = 0; i < 40; i++) {
        ck_assert_ptr_nonnull(
            finish_and_find_next(&running, &conn, SCHEDULER_RIG_MS_US));
        bookings += running >= first_booking;
    }
    ck_assert_uint_ge(bookings, 29);
    ck_assert_uint_le(bookings, 31);
    scheduler_rig_free(&rig);
}
END_TEST

START_TEST(test_full_queue_refuses)
{
    setup(2);
    (void)send_write(booking, 0);
    for (int i = 0; i < 2; i++) {
        uint64_t request = send_write(booking, 0);
        ck_assert_ptr_null(
            scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE, request));
    }
    uint64_t request = send_write(booking, 0);
    const struct scheduler_action *action =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE, request);
    ck_assert_ptr_nonnull(action);
    ck_assert_int_eq(action->outcome, OUTCOME_OVERLOADED);
    ck_assert_int_gt(action->retry_after_us, 0);
    scheduler_rig_free(&rig);
}
END_TEST

// Guards against a request type that is refused for ever: it happens when all
// its statements were slow and none is tried that could lower the average. A
// request that finds a free slot is tried; one that has already waited for
// half of its time is refused.
START_TEST(test_slow_type_is_tried_when_a_slot_is_free)
{
    setup(1000);
    for (int i = 0; i < 20; i++) {
        uint64_t request = send_write(booking, 0);
        const struct scheduler_action *action =
            scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, request);
        ck_assert_msg(action != NULL, "request %d is not tried", i);
        uint32_t conn = action->conn;
        ck_assert_ptr_null(
            finish_and_find_next(&request, &conn, 900 * SCHEDULER_RIG_MS_US));
    }
    int64_t deadline_us = rig.now_us + 5000 * SCHEDULER_RIG_MS_US;
    uint64_t running = send_write(booking, deadline_us);
    uint32_t conn =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, running)->conn;
    uint64_t late = send_write(booking, deadline_us);
    ck_assert_ptr_null(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE, late));
    ck_assert_ptr_null(
        finish_and_find_next(&running, &conn, 2600 * SCHEDULER_RIG_MS_US));
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE, late));
    scheduler_rig_free(&rig);
}
END_TEST

// A request that could not start before its deadline is refused on arrival
// instead of at its deadline.
START_TEST(test_refused_on_arrival_when_the_wait_is_too_long)
{
    setup(1000);
    uint64_t running = send_write(booking, 0);
    uint32_t conn =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, running)->conn;
    for (int i = 0; i < 20; i++) {
        (void)send_write(booking, 0);
        ck_assert_ptr_nonnull(
            finish_and_find_next(&running, &conn, 50 * SCHEDULER_RIG_MS_US));
    }
    unsigned admitted = 0;
    for (int i = 0; i < 100; i++) {
        uint64_t request = send_write(booking, 0);
        admitted += scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE,
                                              request) == NULL;
    }
    ck_assert_uint_ge(admitted, 15);
    ck_assert_uint_le(admitted, 25);
    scheduler_rig_free(&rig);
}
END_TEST

// A queued request that can no longer finish before its deadline is refused as
// soon as this is known, and is never sent.
START_TEST(test_queued_request_is_refused_when_too_late)
{
    setup(1000);
    uint64_t running = send_write(booking, 0);
    uint32_t conn =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, running)->conn;
    uint64_t late =
        send_write(booking, rig.now_us + 210 * SCHEDULER_RIG_MS_US);
    ck_assert_ptr_null(
        finish_and_find_next(&running, &conn, 200 * SCHEDULER_RIG_MS_US));
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE, late));
    scheduler_rig_free(&rig);
}
END_TEST

START_TEST(test_draining_customer_refuses_new_transactions)
{
    setup(1000);
    uint64_t begin =
        scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_BEGIN, -1);
    uint32_t conn =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, begin)->conn;
    scheduler_rig_post_result(&rig, begin, conn, SCHEDULER_RESULT_DONE, true,
                              0);
    rig.customer.state = CK_CUSTOMER_DRAINING;
    scheduler_rig_post_view(&rig);
    uint64_t request = send_write(booking, 0);
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE, request));
    request = scheduler_rig_post_request(&rig, 1,
                                         SCHEDULER_CLASS_IN_TRANSACTION, -1);
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, request));
    scheduler_rig_post_result(&rig, request, conn, SCHEDULER_RESULT_DONE, true,
                              0);
    request = scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_COMMIT, -1);
    scheduler_rig_post_result(&rig, request, conn, SCHEDULER_RESULT_DONE,
                              false, 200);
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_ANSWER, request));
    scheduler_rig_free(&rig);
}
END_TEST

// A planned shutdown of an entry ends each session at its transaction
// boundary, not earlier.
START_TEST(test_drain_ends_sessions_at_transaction_boundary)
{
    const struct scheduler_event drain = {.kind = SCHEDULER_EVENT_DRAIN};

    setup(1000);
    uint64_t running =
        scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_WRITE, -1);
    uint32_t conn =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, running)->conn;
    scheduler_rig_open_session(&rig, 2, NULL);
    scheduler_rig_step(&rig, &drain);
    ck_assert_uint_eq(
        scheduler_rig_count_actions(&rig, SCHEDULER_ACTION_END_SESSION), 1);
    ck_assert_uint_eq(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_END_SESSION, 0)
            ->session,
        2);
    scheduler_rig_post_result(&rig, running, conn, SCHEDULER_RESULT_DONE,
                              false, 200);
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_ANSWER, running));
    ck_assert_uint_eq(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_END_SESSION, 0)
            ->session,
        1);
    scheduler_rig_free(&rig);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_weighted_fair_queueing);
    tcase_add_test(tests, test_full_queue_refuses);
    tcase_add_test(tests, test_slow_type_is_tried_when_a_slot_is_free);
    tcase_add_test(tests, test_refused_on_arrival_when_the_wait_is_too_long);
    tcase_add_test(tests, test_queued_request_is_refused_when_too_late);
    tcase_add_test(tests, test_draining_customer_refuses_new_transactions);
    tcase_add_test(tests, test_drain_ends_sessions_at_transaction_boundary);
}

TEST_MAIN("admission", add_tests)
