#include "catkingrade/decide/traffic/circuit_breaker.h"
#include "test/fake/scheduler_rig.h"
#include "test/suite.h"

#define SECOND_US INT64_C(1000000)

// An upstream that keeps failing is tested after open periods that grow. After
// recovery it is used as before.
START_TEST(test_open_period_grows)
{
    struct circuit_breaker circuit_breaker = {0};
    int64_t now_us = SECOND_US;
    unsigned attempts = 0;

    for (int i = 0; i < 20 * 1000; i++) {
        now_us += 1000;
        if (!circuit_breaker_is_open(&circuit_breaker, now_us)) {
            circuit_breaker_record_result(&circuit_breaker, now_us, true);
            attempts++;
        }
    }
    ck_assert_uint_le(attempts, 20);
    ck_assert_uint_ge(attempts, 8);
    now_us += 10 * SECOND_US;
    for (int i = 0; i < 40; i++) {
        ck_assert(!circuit_breaker_is_open(&circuit_breaker, now_us));
        circuit_breaker_record_result(&circuit_breaker, now_us, false);
    }
    ck_assert_int_eq(circuit_breaker.open_duration_us, 0);
}
END_TEST

// A failure rate of one in ten does not open the breaker.
START_TEST(test_stays_closed_at_low_failure_rate)
{
    struct circuit_breaker circuit_breaker = {0};

    for (int i = 0; i < 1000; i++) {
        circuit_breaker_record_result(&circuit_breaker, SECOND_US + i,
                                      i % 10 == 0);
        ck_assert(!circuit_breaker_is_open(&circuit_breaker, SECOND_US + i));
    }
}
END_TEST

// Guards against failed reads when one of two replicas fails every statement
// but accepts connections: clients get their answers from another upstream.
START_TEST(test_reads_avoid_failing_replica)
{
    struct scheduler_rig rig;
    unsigned failed = 0;

    scheduler_rig_start(&rig, 3);
    for (uint64_t session = 10; session < 210; session++) {
        rig.now_us += SCHEDULER_RIG_MS_US;
        scheduler_rig_open_session(&rig, session, NULL);
        uint64_t request = scheduler_rig_post_request(
            &rig, session, SCHEDULER_CLASS_READ, -1);
        const struct scheduler_action *action =
            scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, request);
        ck_assert_ptr_nonnull(action);
        while (action != NULL) {
            bool fails = action->upstream == 1;
            failed += fails;
            scheduler_rig_post_result(&rig, request, action->conn,
                                      fails ? SCHEDULER_RESULT_FAILED
                                            : SCHEDULER_RESULT_DONE,
                                      false, fails ? 0 : 100);
            action = scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND,
                                               request);
            ck_assert_msg(action != NULL || !fails, "read %d ends as failed",
                          (int)session);
        }
        ck_assert_ptr_nonnull(
            scheduler_rig_find_action(&rig, SCHEDULER_ACTION_ANSWER, request));
    }
    ck_assert_uint_ge(failed, 1);
    ck_assert_uint_le(failed, 8);
    scheduler_rig_free(&rig);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_open_period_grows);
    tcase_add_test(tests, test_stays_closed_at_low_failure_rate);
    tcase_add_test(tests, test_reads_avoid_failing_replica);
}

TEST_MAIN("circuit_breaker", add_tests)
