#include "catkingrade/decide/circuit_breaker.h"
#include "test/fake/traffic_rig.h"
#include "test/suite.h"

#define SECOND_US INT64_C(1000000)

// An upstream that fails is left alone, tried again, and left for longer; one
// that has recovered is used as before.
START_TEST(test_pauses_grow)
{
    struct circuit_breaker circuit_breaker = {0};
    int64_t now_us = SECOND_US;
    unsigned tried = 0;

    for (int i = 0; i < 20 * 1000; i++) {
        now_us += 1000;
        if (!circuit_breaker_is_open(&circuit_breaker, now_us)) {
            circuit_breaker_record_result(&circuit_breaker, now_us, true);
            tried++;
        }
    }
    ck_assert_uint_le(tried, 20);
    ck_assert_uint_ge(tried, 8);
    now_us += 10 * SECOND_US;
    for (int i = 0; i < 40; i++) {
        ck_assert(!circuit_breaker_is_open(&circuit_breaker, now_us));
        circuit_breaker_record_result(&circuit_breaker, now_us, false);
    }
    ck_assert_int_eq(circuit_breaker.open_duration_us, 0);
}
END_TEST

// One failure in ten is no reason.
START_TEST(test_few_failures_change_nothing)
{
    struct circuit_breaker circuit_breaker = {0};

    for (int i = 0; i < 1000; i++) {
        circuit_breaker_record_result(&circuit_breaker, SECOND_US + i,
                                      i % 10 == 0);
        ck_assert(!circuit_breaker_is_open(&circuit_breaker, SECOND_US + i));
    }
}
END_TEST

// Of a primary and two replicas one replica fails all that it runs: its
// callers get their answers from elsewhere.
START_TEST(test_reads_of_a_failing_replica)
{
    struct rig rig;
    unsigned failed = 0;

    rig_start(&rig, 3);
    for (uint64_t session = 10; session < 210; session++) {
        rig.now_us += RIG_MS_US;
        rig_open_session(&rig, session, NULL);
        uint64_t request =
            rig_request(&rig, session, SCHEDULER_CLASS_READ, -1);
        const struct scheduler_action *action =
            rig_find(&rig, SCHEDULER_ACTION_SEND, request);
        ck_assert_ptr_nonnull(action);
        while (action != NULL) {
            bool fails = action->upstream == 1;
            failed += fails;
            rig_result(&rig, request, action->conn,
                       fails ? SCHEDULER_RESULT_FAILED : SCHEDULER_RESULT_DONE,
                       false, fails ? 0 : 100);
            action = rig_find(&rig, SCHEDULER_ACTION_SEND, request);
            ck_assert_msg(action != NULL || !fails, "read %d ends as failed",
                          (int)session);
        }
        ck_assert_ptr_nonnull(
            rig_find(&rig, SCHEDULER_ACTION_ANSWER, request));
    }
    ck_assert_uint_ge(failed, 1);
    ck_assert_uint_le(failed, 8);
    rig_free(&rig);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_pauses_grow);
    tcase_add_test(tests, test_few_failures_change_nothing);
    tcase_add_test(tests, test_reads_of_a_failing_replica);
}

TEST_MAIN("failing", add_tests)
