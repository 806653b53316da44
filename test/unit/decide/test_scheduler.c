#include <check.h>
#include <stdlib.h>

#include "catkingrade/kernel/outcome.h"
#include "test/fake/traffic_rig.h"
#include "test/suite.h"

static struct rig rig;

// Sends a request and opens the connection that it needs.
static const struct scheduler_action *
run(enum scheduler_class request_class, uint64_t *request)
{
    *request = rig_request(&rig, 1, request_class, -1);
    rig_open_all(&rig);
    return rig_find(&rig, SCHEDULER_ACTION_SEND, *request);
}

START_TEST(test_read_goes_to_replica)
{
    uint64_t request = 0;

    rig_start(&rig, 3);
    const struct scheduler_action *action =
        run(SCHEDULER_CLASS_READ, &request);
    ck_assert_ptr_nonnull(action);
    ck_assert(action->on_replica);
    ck_assert_uint_ne(action->upstream, 0);
    rig_result(&rig, request, action->conn, SCHEDULER_RESULT_DONE, false, 120);
    action = rig_find(&rig, SCHEDULER_ACTION_ANSWER, request);
    ck_assert_ptr_nonnull(action);
    ck_assert_uint_eq(action->floor.lsn, 120);
    rig_free(&rig);
}
END_TEST

START_TEST(test_write_goes_to_primary)
{
    uint64_t request = 0;

    rig_start(&rig, 3);
    const struct scheduler_action *action =
        run(SCHEDULER_CLASS_WRITE, &request);
    ck_assert_ptr_nonnull(action);
    ck_assert(!action->on_replica);
    ck_assert_uint_eq(action->upstream, 0);
    rig_result(&rig, request, action->conn, SCHEDULER_RESULT_DONE, false, 130);
    action = rig_find(&rig, SCHEDULER_ACTION_ANSWER, request);
    ck_assert_ptr_nonnull(action);
    ck_assert_uint_eq(action->floor.lsn, 130);
    rig_free(&rig);
}
END_TEST

START_TEST(test_transaction_owns_its_connection)
{
    uint64_t begin = 0;
    uint64_t insert = 0;
    uint64_t other = 0;

    rig_start(&rig, 1);
    rig_open_session(&rig, 2, NULL);
    uint32_t conn = run(SCHEDULER_CLASS_BEGIN, &begin)->conn;
    rig_result(&rig, begin, conn, SCHEDULER_RESULT_DONE, true, 0);
    other = rig_request(&rig, 2, SCHEDULER_CLASS_WRITE, -1);
    rig_open_all(&rig);
    const struct scheduler_action *action =
        rig_find(&rig, SCHEDULER_ACTION_SEND, other);
    ck_assert_ptr_nonnull(action);
    ck_assert_uint_ne(action->conn, conn);
    action = run(SCHEDULER_CLASS_IN_TRANSACTION, &insert);
    ck_assert_uint_eq(action->conn, conn);
    rig_free(&rig);
}
END_TEST

START_TEST(test_session_end_closes_its_transaction)
{
    uint64_t begin = 0;
    const struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_SESSION_CLOSE, .session = 1};

    rig_start(&rig, 1);
    uint32_t conn = run(SCHEDULER_CLASS_BEGIN, &begin)->conn;
    rig_result(&rig, begin, conn, SCHEDULER_RESULT_DONE, true, 0);
    rig_step(&rig, &event);
    const struct scheduler_action *action =
        rig_find(&rig, SCHEDULER_ACTION_CLOSE, 0);
    ck_assert_ptr_nonnull(action);
    ck_assert_uint_eq(action->conn, conn);
    ck_assert_int_eq(action->close_reason, SCHEDULER_CLOSE_ABNORMAL);
    rig_free(&rig);
}
END_TEST

START_TEST(test_deadline_refuses_what_was_not_sent)
{
    rig_init(&rig, 1);
    rig.upstreams[0].slots = 0;
    rig_post_view(&rig);
    rig_sample(&rig, 0, 100);
    rig_open_session(&rig, 1, NULL);
    uint64_t request = rig_request(&rig, 1, SCHEDULER_CLASS_WRITE, -1);
    ck_assert_ptr_null(rig_find(&rig, SCHEDULER_ACTION_REFUSE, request));
    rig_tick(&rig, 5000 * RIG_MS_US);
    const struct scheduler_action *action =
        rig_find(&rig, SCHEDULER_ACTION_REFUSE, request);
    ck_assert_ptr_nonnull(action);
    ck_assert_int_gt(action->retry_after_us, 0);
    rig_free(&rig);
}
END_TEST

START_TEST(test_late_answer_is_not_the_next_ones)
{
    uint64_t late = 0;

    rig_start(&rig, 1);
    uint32_t conn = run(SCHEDULER_CLASS_WRITE, &late)->conn;
    rig_tick(&rig, 5000 * RIG_MS_US);
    ck_assert_ptr_nonnull(rig_find(&rig, SCHEDULER_ACTION_UNKNOWN, late));
    ck_assert_ptr_nonnull(rig_find(&rig, SCHEDULER_ACTION_CANCEL, late));
    rig_open_all(&rig);
    rig_sample(&rig, 0, 100);
    uint64_t next = rig_request(&rig, 1, SCHEDULER_CLASS_WRITE, -1);
    rig_open_all(&rig);
    ck_assert_uint_ne(rig_find(&rig, SCHEDULER_ACTION_SEND, next)->conn, conn);
    rig_result(&rig, late, conn, SCHEDULER_RESULT_DONE, false, 140);
    ck_assert_ptr_null(rig_find(&rig, SCHEDULER_ACTION_ANSWER, 0));
    ck_assert_ptr_nonnull(rig_find(&rig, SCHEDULER_ACTION_RESET, 0));
    rig_free(&rig);
}
END_TEST

// A pipeline of which each request is refused at once needs no deep stack, and
// each is answered once, in order.
START_TEST(test_long_pipeline_is_refused_in_order)
{
    const unsigned count = 200000;
    uint64_t first = 0;
    uint64_t expected = 0;

    rig_start(&rig, 1);
    uint32_t conn = run(SCHEDULER_CLASS_WRITE, &first)->conn;
    for (unsigned i = 0; i < count; i++) {
        (void)rig_request(&rig, 1, SCHEDULER_CLASS_IN_TRANSACTION, -1);
    }
    rig_result(&rig, first, conn, SCHEDULER_RESULT_DONE, false, 130);
    ck_assert_uint_eq(rig_count(&rig, SCHEDULER_ACTION_REFUSE), count);
    expected = first;
    for (size_t i = 0; i < rig.actions.count; i++) {
        if (rig.actions.items[i].kind == SCHEDULER_ACTION_REFUSE) {
            ck_assert_uint_eq(rig.actions.items[i].request, ++expected);
        }
    }
    rig_free(&rig);
}
END_TEST

// Reads ask for slots where the entry has some, and of no replica that is half
// as old as the customer accepts.
START_TEST(test_demand_of_reads)
{
    struct ck_demand demands[3];

    rig_start(&rig, 3);
    for (int i = 0; i < 30; i++) {
        rig.now_us += 50 * RIG_MS_US;
        rig_sample(&rig, 0, 200 + (uint64_t)i);
        rig_sample(&rig, 1, 200 + (uint64_t)i);
        rig_sample(&rig, 2, 100);
    }
    rig_open_all(&rig);
    for (uint64_t session = 10; session < 20; session++) {
        rig_open_session(&rig, session, NULL);
        rig_open_all(&rig);
        (void)rig_request(&rig, session, SCHEDULER_CLASS_READ,
                          2000 * RIG_MS_US);
        rig_open_all(&rig);
    }
    (void)scheduler_fill_demands(rig.scheduler, demands, 3);
    rig_tick(&rig, RIG_MS_US);
    ck_assert_uint_eq(scheduler_fill_demands(rig.scheduler, demands, 3), 3);
    ck_assert_uint_eq(demands[0].running + demands[0].waiting, 0);
    ck_assert_uint_eq(demands[1].running, 5);
    ck_assert_uint_ge(demands[1].waiting, 5);
    ck_assert_uint_eq(demands[2].running + demands[2].waiting, 0);
    rig_free(&rig);
}
END_TEST

// A database may come before its customer; it then takes no transaction.
START_TEST(test_view_without_customer)
{
    struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_VIEW,
        .view = {.database = &rig.database, .failure_domain = "noord"}};

    rig_start(&rig, 1);
    rig_step(&rig, &event);
    uint64_t request = rig_request(&rig, 1, SCHEDULER_CLASS_WRITE, -1);
    ck_assert_ptr_nonnull(rig_find(&rig, SCHEDULER_ACTION_REFUSE, request));
    rig_post_view(&rig);
    request = rig_request(&rig, 1, SCHEDULER_CLASS_WRITE, -1);
    rig_open_all(&rig);
    ck_assert_ptr_nonnull(rig_find(&rig, SCHEDULER_ACTION_SEND, request));
    rig_free(&rig);
}
END_TEST

struct cut {
    enum scheduler_class request_class;
    enum scheduler_result result;
    enum scheduler_action_kind final;
};

static const struct cut cuts[] = {
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

START_TEST(test_outcome_of_each_cut)
{
    const struct cut *cut = &cuts[_i];
    uint64_t request = 0;

    rig_start(&rig, 3);
    uint32_t conn = run(cut->request_class, &request)->conn;
    rig_result(&rig, request, conn, cut->result, false, 0);
    ck_assert_ptr_nonnull(rig_find(&rig, cut->final, request));
    ck_assert_ptr_null(rig_find(&rig, SCHEDULER_ACTION_SEND, request));
    rig_free(&rig);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_read_goes_to_replica);
    tcase_add_test(tests, test_write_goes_to_primary);
    tcase_add_test(tests, test_transaction_owns_its_connection);
    tcase_add_test(tests, test_session_end_closes_its_transaction);
    tcase_add_test(tests, test_deadline_refuses_what_was_not_sent);
    tcase_add_test(tests, test_late_answer_is_not_the_next_ones);
    tcase_add_test(tests, test_long_pipeline_is_refused_in_order);
    tcase_add_test(tests, test_demand_of_reads);
    tcase_add_test(tests, test_view_without_customer);
    tcase_add_loop_test(tests, test_outcome_of_each_cut, 0,
                        sizeof(cuts) / sizeof(cuts[0]));
}

TEST_MAIN("traffic", add_tests)
