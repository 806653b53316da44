#include <check.h>

#include "catkingrade/decide/retry.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "test/fake/traffic_rig.h"
#include "test/suite.h"

static struct rig rig;
static char booking[] = "booking";
static char browse[] = "browse";
static uint64_t next_session;

// One slot; bookings weigh three times as much as browsing.
static void
setup(uint32_t queue_limit)
{
    rig_init(&rig, 1);
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
    rig_post_view(&rig);
    rig_sample(&rig, 0, 100);
    next_session = 10;
    rig_open_session(&rig, 1, NULL);
    rig_open_all(&rig);
}

static uint64_t
send_save(const char *type, int64_t deadline_us)
{
    rig_open_session(&rig, next_session, NULL);
    return rig_request_typed(&rig, next_session++, SCHEDULER_CLASS_WRITE, type,
                             deadline_us);
}

// Ends what runs after took_us and returns what starts then, or NULL.
static const struct scheduler_action *
finish(uint64_t *request, uint32_t *conn, int64_t took_us)
{
    rig.now_us += took_us;
    rig_sample(&rig, 0, 100);
    rig_result(&rig, *request, *conn, SCHEDULER_RESULT_DONE, false, 1);
    const struct scheduler_action *action =
        rig_find(&rig, SCHEDULER_ACTION_SEND, 0);
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
    uint64_t running = send_save(booking, 0);
    uint32_t conn = rig_find(&rig, SCHEDULER_ACTION_SEND, running)->conn;
    uint64_t first_booking = 0;
    for (int i = 0; i < 60; i++) {
        (void)send_save(browse, 0);
    }
    for (int i = 0; i < 60; i++) {
        uint64_t request = send_save(booking, 0);
        first_booking = first_booking == 0 ? request : first_booking;
    }
    for (int i = 0; i < 40; i++) {
        ck_assert_ptr_nonnull(finish(&running, &conn, RIG_MS_US));
        bookings += running >= first_booking;
    }
    ck_assert_uint_ge(bookings, 29);
    ck_assert_uint_le(bookings, 31);
    rig_free(&rig);
}
END_TEST

START_TEST(test_full_queue_refuses)
{
    setup(2);
    (void)send_save(booking, 0);
    for (int i = 0; i < 2; i++) {
        uint64_t request = send_save(booking, 0);
        ck_assert_ptr_null(rig_find(&rig, SCHEDULER_ACTION_REFUSE, request));
    }
    uint64_t request = send_save(booking, 0);
    const struct scheduler_action *action =
        rig_find(&rig, SCHEDULER_ACTION_REFUSE, request);
    ck_assert_ptr_nonnull(action);
    ck_assert_int_eq(action->outcome, OUTCOME_OVERLOADED);
    ck_assert_int_gt(action->retry_after_us, 0);
    rig_free(&rig);
}
END_TEST

// However slow statements were, one that finds a free slot is tried: only that
// can tell that they are fast again. One that has waited for half of its time
// is not.
START_TEST(test_slow_statements_do_not_shut_a_type)
{
    setup(1000);
    for (int i = 0; i < 20; i++) {
        uint64_t request = send_save(booking, 0);
        const struct scheduler_action *action =
            rig_find(&rig, SCHEDULER_ACTION_SEND, request);
        ck_assert_msg(action != NULL, "request %d is not tried", i);
        uint32_t conn = action->conn;
        ck_assert_ptr_null(finish(&request, &conn, 900 * RIG_MS_US));
    }
    int64_t deadline_us = rig.now_us + 5000 * RIG_MS_US;
    uint64_t running = send_save(booking, deadline_us);
    uint32_t conn = rig_find(&rig, SCHEDULER_ACTION_SEND, running)->conn;
    uint64_t late = send_save(booking, deadline_us);
    ck_assert_ptr_null(rig_find(&rig, SCHEDULER_ACTION_REFUSE, late));
    ck_assert_ptr_null(finish(&running, &conn, 2600 * RIG_MS_US));
    ck_assert_ptr_nonnull(rig_find(&rig, SCHEDULER_ACTION_REFUSE, late));
    rig_free(&rig);
}
END_TEST

// What could not start in time is refused when it comes, not at its deadline.
START_TEST(test_early_refusal)
{
    setup(1000);
    uint64_t running = send_save(booking, 0);
    uint32_t conn = rig_find(&rig, SCHEDULER_ACTION_SEND, running)->conn;
    for (int i = 0; i < 20; i++) {
        (void)send_save(booking, 0);
        ck_assert_ptr_nonnull(finish(&running, &conn, 50 * RIG_MS_US));
    }
    unsigned admitted = 0;
    for (int i = 0; i < 100; i++) {
        uint64_t request = send_save(booking, 0);
        admitted += rig_find(&rig, SCHEDULER_ACTION_REFUSE, request) == NULL;
    }
    ck_assert_uint_ge(admitted, 15);
    ck_assert_uint_le(admitted, 25);
    rig_free(&rig);
}
END_TEST

// Queued work that can no longer end in time is refused as soon as that is
// known, and never sent.
START_TEST(test_late_work_is_dropped)
{
    setup(1000);
    uint64_t running = send_save(booking, 0);
    uint32_t conn = rig_find(&rig, SCHEDULER_ACTION_SEND, running)->conn;
    uint64_t late = send_save(booking, rig.now_us + 210 * RIG_MS_US);
    ck_assert_ptr_null(finish(&running, &conn, 200 * RIG_MS_US));
    ck_assert_ptr_nonnull(rig_find(&rig, SCHEDULER_ACTION_REFUSE, late));
    rig_free(&rig);
}
END_TEST

START_TEST(test_closing_customer_refuses_new_transactions)
{
    setup(1000);
    uint64_t begin = rig_request(&rig, 1, SCHEDULER_CLASS_BEGIN, -1);
    uint32_t conn = rig_find(&rig, SCHEDULER_ACTION_SEND, begin)->conn;
    rig_result(&rig, begin, conn, SCHEDULER_RESULT_DONE, true, 0);
    rig.customer.state = CK_CUSTOMER_DRAINING;
    rig_post_view(&rig);
    uint64_t request = send_save(booking, 0);
    ck_assert_ptr_nonnull(rig_find(&rig, SCHEDULER_ACTION_REFUSE, request));
    request = rig_request(&rig, 1, SCHEDULER_CLASS_IN_TRANSACTION, -1);
    ck_assert_ptr_nonnull(rig_find(&rig, SCHEDULER_ACTION_SEND, request));
    rig_result(&rig, request, conn, SCHEDULER_RESULT_DONE, true, 0);
    request = rig_request(&rig, 1, SCHEDULER_CLASS_COMMIT, -1);
    rig_result(&rig, request, conn, SCHEDULER_RESULT_DONE, false, 200);
    ck_assert_ptr_nonnull(rig_find(&rig, SCHEDULER_ACTION_ANSWER, request));
    rig_free(&rig);
}
END_TEST

// A planned stop ends sessions at their transaction boundary and no sooner.
START_TEST(test_drain_ends_sessions_at_their_boundary)
{
    const struct scheduler_event drain = {.kind = SCHEDULER_EVENT_DRAIN};

    setup(1000);
    uint64_t running = rig_request(&rig, 1, SCHEDULER_CLASS_WRITE, -1);
    uint32_t conn = rig_find(&rig, SCHEDULER_ACTION_SEND, running)->conn;
    rig_open_session(&rig, 2, NULL);
    rig_step(&rig, &drain);
    ck_assert_uint_eq(rig_count(&rig, SCHEDULER_ACTION_END_SESSION), 1);
    ck_assert_uint_eq(rig_find(&rig, SCHEDULER_ACTION_END_SESSION, 0)->session,
                      2);
    rig_result(&rig, running, conn, SCHEDULER_RESULT_DONE, false, 200);
    ck_assert_ptr_nonnull(rig_find(&rig, SCHEDULER_ACTION_ANSWER, running));
    ck_assert_uint_eq(rig_find(&rig, SCHEDULER_ACTION_END_SESSION, 0)->session,
                      1);
    rig_free(&rig);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_weighted_fair_queueing);
    tcase_add_test(tests, test_full_queue_refuses);
    tcase_add_test(tests, test_slow_statements_do_not_shut_a_type);
    tcase_add_test(tests, test_early_refusal);
    tcase_add_test(tests, test_late_work_is_dropped);
    tcase_add_test(tests, test_closing_customer_refuses_new_transactions);
    tcase_add_test(tests, test_drain_ends_sessions_at_their_boundary);
}

TEST_MAIN("admission", add_tests)
