#include <check.h>

#include "catkingrade/kernel/outcome.h"
#include "test/fake/scheduler_rig.h"
#include "test/suite.h"

// The end of a planned stop: each request ends with an action that is true.

static struct scheduler_rig rig;

static void
finish(void)
{
    const struct scheduler_event event = {.kind = SCHEDULER_EVENT_FINISH};

    scheduler_rig_step(&rig, &event);
}

static uint64_t
send_write(uint64_t session)
{
    scheduler_rig_open_session(&rig, session, NULL);
    return scheduler_rig_post_request(&rig, session, SCHEDULER_CLASS_WRITE,
                                      -1);
}

// Opens a transaction in session 1 and returns its connection.
static uint32_t
open_transaction(void)
{
    uint64_t begin =
        scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_BEGIN, -1);
    uint32_t conn =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, begin)->conn;

    scheduler_rig_post_result(&rig, begin, conn, SCHEDULER_RESULT_DONE, true,
                              0);
    return conn;
}

// Guards against requests without an outcome at the end of a stop: one in
// flight is unknown, a queued one has not run.
START_TEST(test_requests_in_flight_and_queued_end)
{
    scheduler_rig_init(&rig, 1);
    rig.upstreams[0].slots = 1;
    scheduler_rig_post_view(&rig);
    scheduler_rig_post_sample(&rig, 0, 100);
    scheduler_rig_open_session(&rig, 1, NULL);
    scheduler_rig_complete_opens(&rig);
    uint64_t running =
        scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_WRITE, -1);
    uint64_t queued = send_write(2);
    uint64_t behind =
        scheduler_rig_post_request(&rig, 2, SCHEDULER_CLASS_WRITE, -1);
    finish();
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_UNKNOWN, running));
    const struct scheduler_action *refusal =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE, queued);
    ck_assert_ptr_nonnull(refusal);
    ck_assert_int_eq(refusal->outcome, OUTCOME_CLOSED);
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE, behind));
    ck_assert_uint_eq(scheduler_rig_count_actions(&rig, SCHEDULER_ACTION_SEND),
                      0);
    ck_assert_uint_eq(
        scheduler_rig_count_actions(&rig, SCHEDULER_ACTION_END_SESSION), 2);
    scheduler_rig_free(&rig);
}
END_TEST

// Guards against a statement that runs after the end of a stop: also one of an
// open transaction is refused, and the transaction's connection is closed
// with its session.
START_TEST(test_open_transaction_ends)
{
    const struct scheduler_event close_session = {
        .kind = SCHEDULER_EVENT_SESSION_CLOSE, .session = 1};

    scheduler_rig_start(&rig, 1);
    uint32_t conn = open_transaction();
    finish();
    ck_assert_uint_eq(
        scheduler_rig_count_actions(&rig, SCHEDULER_ACTION_END_SESSION), 0);
    uint64_t commit =
        scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_COMMIT, -1);
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE, commit));
    ck_assert_uint_eq(scheduler_rig_count_actions(&rig, SCHEDULER_ACTION_SEND),
                      0);
    scheduler_rig_step(&rig, &close_session);
    ck_assert_uint_eq(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_CLOSE, 0)->conn,
        conn);
    scheduler_rig_free(&rig);
}
END_TEST

// Guards against a commit in flight that is reported as not run.
START_TEST(test_commit_in_flight_is_unknown)
{
    scheduler_rig_start(&rig, 1);
    (void)open_transaction();
    uint64_t commit =
        scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_COMMIT, -1);
    finish();
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_UNKNOWN, commit));
    scheduler_rig_free(&rig);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_requests_in_flight_and_queued_end);
    tcase_add_test(tests, test_open_transaction_ends);
    tcase_add_test(tests, test_commit_in_flight_is_unknown);
}

TEST_MAIN("finish", add_tests)
