#include <check.h>
#include <stdlib.h>

#include "catkingrade/kernel/outcome.h"
#include "test/fake/scheduler_rig.h"
#include "test/suite.h"

static struct scheduler_rig rig;

// Posts a request in session 1 and opens the connections that it needs.
// Returns its SEND action, or NULL.
static const struct scheduler_action *
send_request(enum scheduler_class request_class, uint64_t *request)
{
    *request = scheduler_rig_post_request(&rig, 1, request_class, -1);
    scheduler_rig_complete_opens(&rig);
    return scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, *request);
}

START_TEST(test_read_goes_to_replica)
{
    uint64_t request = 0;

    scheduler_rig_start(&rig, 3);
    const struct scheduler_action *action =
        send_request(SCHEDULER_CLASS_READ, &request);
    ck_assert_ptr_nonnull(action);
    ck_assert(action->on_replica);
    ck_assert_uint_ne(action->upstream, 0);
    scheduler_rig_post_result(&rig, request, action->conn,
                              SCHEDULER_RESULT_DONE, false, 120);
    action = scheduler_rig_find_action(&rig, SCHEDULER_ACTION_ANSWER, request);
    ck_assert_ptr_nonnull(action);
    ck_assert_uint_eq(action->floor.lsn, 120);
    scheduler_rig_free(&rig);
}
END_TEST

START_TEST(test_write_goes_to_primary)
{
    uint64_t request = 0;

    scheduler_rig_start(&rig, 3);
    const struct scheduler_action *action =
        send_request(SCHEDULER_CLASS_WRITE, &request);
    ck_assert_ptr_nonnull(action);
    ck_assert(!action->on_replica);
    ck_assert_uint_eq(action->upstream, 0);
    scheduler_rig_post_result(&rig, request, action->conn,
                              SCHEDULER_RESULT_DONE, false, 130);
    action = scheduler_rig_find_action(&rig, SCHEDULER_ACTION_ANSWER, request);
    ck_assert_ptr_nonnull(action);
    ck_assert_uint_eq(action->floor.lsn, 130);
    scheduler_rig_free(&rig);
}
END_TEST

START_TEST(test_transaction_owns_its_connection)
{
    uint64_t begin = 0;
    uint64_t insert = 0;
    uint64_t other = 0;

    scheduler_rig_start(&rig, 1);
    scheduler_rig_open_session(&rig, 2, NULL);
    uint32_t conn = send_request(SCHEDULER_CLASS_BEGIN, &begin)->conn;
    scheduler_rig_post_result(&rig, begin, conn, SCHEDULER_RESULT_DONE, true,
                              0);
    other = scheduler_rig_post_request(&rig, 2, SCHEDULER_CLASS_WRITE, -1);
    scheduler_rig_complete_opens(&rig);
    const struct scheduler_action *action =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, other);
    ck_assert_ptr_nonnull(action);
    ck_assert_uint_ne(action->conn, conn);
    action = send_request(SCHEDULER_CLASS_IN_TRANSACTION, &insert);
    ck_assert_uint_eq(action->conn, conn);
    scheduler_rig_free(&rig);
}
END_TEST

START_TEST(test_closing_session_closes_pinned_connection)
{
    uint64_t begin = 0;
    const struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_SESSION_CLOSE, .session = 1};

    scheduler_rig_start(&rig, 1);
    uint32_t conn = send_request(SCHEDULER_CLASS_BEGIN, &begin)->conn;
    scheduler_rig_post_result(&rig, begin, conn, SCHEDULER_RESULT_DONE, true,
                              0);
    scheduler_rig_step(&rig, &event);
    const struct scheduler_action *action =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_CLOSE, 0);
    ck_assert_ptr_nonnull(action);
    ck_assert_uint_eq(action->conn, conn);
    ck_assert_int_eq(action->close_reason, SCHEDULER_CLOSE_ABNORMAL);
    scheduler_rig_free(&rig);
}
END_TEST

// Guards against requests that wait for ever when the primary has no slots.
START_TEST(test_unsent_request_is_refused_at_deadline)
{
    scheduler_rig_init(&rig, 1);
    rig.upstreams[0].slots = 0;
    scheduler_rig_post_view(&rig);
    scheduler_rig_post_sample(&rig, 0, 100);
    scheduler_rig_open_session(&rig, 1, NULL);
    uint64_t request =
        scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_WRITE, -1);
    ck_assert_ptr_null(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE, request));
    scheduler_rig_tick(&rig, 5000 * SCHEDULER_RIG_MS_US);
    const struct scheduler_action *action =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE, request);
    ck_assert_ptr_nonnull(action);
    ck_assert_int_gt(action->retry_after_us, 0);
    scheduler_rig_free(&rig);
}
END_TEST

// Guards against mixed-up answers: a request ends as unknown at its deadline,
// its answer comes late, and a later request must not receive that answer or
// use the connection before a reset.
START_TEST(test_late_answer_is_not_given_to_next_request)
{
    uint64_t late = 0;

    scheduler_rig_start(&rig, 1);
    uint32_t conn = send_request(SCHEDULER_CLASS_WRITE, &late)->conn;
    scheduler_rig_tick(&rig, 5000 * SCHEDULER_RIG_MS_US);
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_UNKNOWN, late));
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_CANCEL, late));
    scheduler_rig_complete_opens(&rig);
    scheduler_rig_post_sample(&rig, 0, 100);
    uint64_t next =
        scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_WRITE, -1);
    scheduler_rig_complete_opens(&rig);
    ck_assert_uint_ne(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, next)->conn,
        conn);
    scheduler_rig_post_result(&rig, late, conn, SCHEDULER_RESULT_DONE, false,
                              140);
    ck_assert_ptr_null(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_ANSWER, 0));
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_RESET, 0));
    scheduler_rig_free(&rig);
}
END_TEST

// Guards against a stack overflow by recursion when each request of a long
// pipeline is refused at once. Each request must be refused once, in order.
START_TEST(test_long_pipeline_is_refused_in_order)
{
    const unsigned count = 200000;
    uint64_t first = 0;
    uint64_t expected = 0;

    scheduler_rig_start(&rig, 1);
    uint32_t conn = send_request(SCHEDULER_CLASS_WRITE, &first)->conn;
    for (unsigned i = 0; i < count; i++) {
        (void)scheduler_rig_post_request(&rig, 1,
                                         SCHEDULER_CLASS_IN_TRANSACTION, -1);
    }
    scheduler_rig_post_result(&rig, first, conn, SCHEDULER_RESULT_DONE, false,
                              130);
    ck_assert_uint_eq(
        scheduler_rig_count_actions(&rig, SCHEDULER_ACTION_REFUSE), count);
    expected = first;
    for (size_t i = 0; i < rig.actions.count; i++) {
        if (rig.actions.items[i].kind == SCHEDULER_ACTION_REFUSE) {
            ck_assert_uint_eq(rig.actions.items[i].request, ++expected);
        }
    }
    scheduler_rig_free(&rig);
}
END_TEST

// Guards against demand at replicas that won't serve the reads: reads request
// slots where the entry has slots already, and none at a replica older than
// half of the accepted age.
START_TEST(test_read_demand_at_replicas)
{
    struct ck_demand demands[3];

    scheduler_rig_start(&rig, 3);
    for (int i = 0; i < 30; i++) {
        rig.now_us += 50 * SCHEDULER_RIG_MS_US;
        scheduler_rig_post_sample(&rig, 0, 200 + (uint64_t)i);
        scheduler_rig_post_sample(&rig, 1, 200 + (uint64_t)i);
        scheduler_rig_post_sample(&rig, 2, 100);
    }
    scheduler_rig_complete_opens(&rig);
    for (uint64_t session = 10; session < 20; session++) {
        scheduler_rig_open_session(&rig, session, NULL);
        scheduler_rig_complete_opens(&rig);
        (void)scheduler_rig_post_request(&rig, session, SCHEDULER_CLASS_READ,
                                         2000 * SCHEDULER_RIG_MS_US);
        scheduler_rig_complete_opens(&rig);
    }
    (void)scheduler_fill_demands(rig.scheduler, demands, 3);
    scheduler_rig_tick(&rig, SCHEDULER_RIG_MS_US);
    ck_assert_uint_eq(scheduler_fill_demands(rig.scheduler, demands, 3), 3);
    ck_assert_uint_eq(demands[0].running + demands[0].waiting, 0);
    ck_assert_uint_eq(demands[1].running, 5);
    ck_assert_uint_ge(demands[1].waiting, 5);
    ck_assert_uint_eq(demands[2].running + demands[2].waiting, 0);
    scheduler_rig_free(&rig);
}
END_TEST

// Guards against a crash when a view holds the database before its customer.
// Until the customer is known, new requests are refused.
START_TEST(test_view_without_customer)
{
    struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_VIEW,
        .view = {.database = &rig.database, .failure_domain = "noord"}};

    scheduler_rig_start(&rig, 1);
    scheduler_rig_step(&rig, &event);
    uint64_t request =
        scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_WRITE, -1);
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE, request));
    scheduler_rig_post_view(&rig);
    request = scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_WRITE, -1);
    scheduler_rig_complete_opens(&rig);
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, request));
    scheduler_rig_free(&rig);
}
END_TEST

// Result of a request in flight and the final action that it must lead to.
struct result_case {
    enum scheduler_class request_class;
    enum scheduler_result result;
    enum scheduler_action_kind expected;
};

static const struct result_case result_cases[] = {
    {SCHEDULER_CLASS_WRITE, SCHEDULER_RESULT_NOT_SENT,
     SCHEDULER_ACTION_REFUSE},
    {SCHEDULER_CLASS_WRITE, SCHEDULER_RESULT_CONN_LOST,
     SCHEDULER_ACTION_UNKNOWN},
    {SCHEDULER_CLASS_WRITE, SCHEDULER_RESULT_PARTIAL,
     SCHEDULER_ACTION_UNKNOWN},
    {SCHEDULER_CLASS_WRITE, SCHEDULER_RESULT_ERROR, SCHEDULER_ACTION_ANSWER},
    {SCHEDULER_CLASS_READ, SCHEDULER_RESULT_CONN_LOST,
     SCHEDULER_ACTION_UNKNOWN},
    {SCHEDULER_CLASS_READ, SCHEDULER_RESULT_PARTIAL, SCHEDULER_ACTION_UNKNOWN},
    {SCHEDULER_CLASS_READ, SCHEDULER_RESULT_ERROR, SCHEDULER_ACTION_ANSWER},
};

START_TEST(test_final_action_of_each_result)
{
    const struct result_case *result_case = &result_cases[_i];
    uint64_t request = 0;

    scheduler_rig_start(&rig, 3);
    uint32_t conn = send_request(result_case->request_class, &request)->conn;
    scheduler_rig_post_result(&rig, request, conn, result_case->result, false,
                              0);
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, result_case->expected, request));
    ck_assert_ptr_null(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, request));
    scheduler_rig_free(&rig);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_read_goes_to_replica);
    tcase_add_test(tests, test_write_goes_to_primary);
    tcase_add_test(tests, test_transaction_owns_its_connection);
    tcase_add_test(tests, test_closing_session_closes_pinned_connection);
    tcase_add_test(tests, test_unsent_request_is_refused_at_deadline);
    tcase_add_test(tests, test_late_answer_is_not_given_to_next_request);
    tcase_add_test(tests, test_long_pipeline_is_refused_in_order);
    tcase_add_test(tests, test_read_demand_at_replicas);
    tcase_add_test(tests, test_view_without_customer);
    tcase_add_loop_test(tests, test_final_action_of_each_result, 0,
                        sizeof(result_cases) / sizeof(result_cases[0]));
}

TEST_MAIN("scheduler", add_tests)
