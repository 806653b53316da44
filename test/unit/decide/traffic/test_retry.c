#include <check.h>

#include "catkingrade/kernel/memory.h"
#include "test/fake/scheduler_rig.h"
#include "test/suite.h"

static struct scheduler_rig rig;
static char browse[] = "browse";

// Two replicas. previous_requests requests add to the retry budget first.
static void
setup(bool repeatable, unsigned previous_requests)
{
    scheduler_rig_init(&rig, 3);
    rig.customer.types.types_len = 1;
    rig.types[0] = (struct ck_request_type){.name = browse,
                                            .weight = 1,
                                            .deadline_ms = 1000,
                                            .queue_limit = 100,
                                            .max_age_ms = 2000,
                                            .repeatable = repeatable};
    scheduler_rig_post_view(&rig);
    for (uint32_t i = 0; i < 3; i++) {
        scheduler_rig_post_sample(&rig, i, 100);
    }
    scheduler_rig_open_session(&rig, 1, NULL);
    scheduler_rig_complete_opens(&rig);
    for (unsigned i = 0; i < previous_requests; i++) {
        uint64_t request =
            scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_READ, -1);
        scheduler_rig_complete_opens(&rig);
        uint32_t conn =
            scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, request)
                ->conn;
        scheduler_rig_post_result(&rig, request, conn, SCHEDULER_RESULT_DONE,
                                  false, 100);
    }
}

struct retry_case {
    enum scheduler_class request_class;
    bool repeatable;
    enum scheduler_result result;
    bool retried;
};

static const struct retry_case retry_cases[] = {
    {SCHEDULER_CLASS_READ, false, SCHEDULER_RESULT_NOT_SENT, true},
    {SCHEDULER_CLASS_READ, false, SCHEDULER_RESULT_CONN_LOST, false},
    {SCHEDULER_CLASS_READ, true, SCHEDULER_RESULT_CONN_LOST, true},
    {SCHEDULER_CLASS_READ, true, SCHEDULER_RESULT_PARTIAL, false},
    {SCHEDULER_CLASS_READ, true, SCHEDULER_RESULT_ERROR, false},
    {SCHEDULER_CLASS_WRITE, true, SCHEDULER_RESULT_CONN_LOST, false},
    {SCHEDULER_CLASS_WRITE, true, SCHEDULER_RESULT_NOT_SENT, false},
    {SCHEDULER_CLASS_BEGIN_READ_ONLY, false, SCHEDULER_RESULT_CONN_LOST, true},
    {SCHEDULER_CLASS_BEGIN, false, SCHEDULER_RESULT_CONN_LOST, false},
};

START_TEST(test_retry_conditions)
{
    const struct retry_case *row = &retry_cases[_i];

    setup(row->repeatable, 20);
    uint64_t request =
        scheduler_rig_post_request(&rig, 1, row->request_class, -1);
    scheduler_rig_complete_opens(&rig);
    const struct scheduler_action *action =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, request);
    uint32_t failed = action->upstream;
    scheduler_rig_post_result(&rig, request, action->conn, row->result, false,
                              0);
    // A retry runs after a backoff and at another upstream.
    ck_assert_ptr_null(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, request));
    bool ended = scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE,
                                           request) != NULL ||
                 scheduler_rig_find_action(&rig, SCHEDULER_ACTION_UNKNOWN,
                                           request) != NULL ||
                 scheduler_rig_find_action(&rig, SCHEDULER_ACTION_ANSWER,
                                           request) != NULL;
    ck_assert(ended != row->retried);
    scheduler_rig_complete_opens(&rig);
    scheduler_rig_tick(&rig, 5 * SCHEDULER_RIG_MS_US);
    scheduler_rig_complete_opens(&rig);
    action = scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, request);
    ck_assert((action != NULL) == row->retried);
    ck_assert(action == NULL || action->upstream != failed);
    scheduler_rig_free(&rig);
}
END_TEST

// Each attempt goes to an upstream at which the request has not failed: first
// two replicas, then the primary.
START_TEST(test_retry_uses_another_upstream)
{
    bool tried[3] = {false};

    setup(true, 30);
    uint64_t request =
        scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_READ, -1);
    for (int i = 0; i < 3; i++) {
        scheduler_rig_complete_opens(&rig);
        const struct scheduler_action *action =
            scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, request);
        ck_assert_ptr_nonnull(action);
        ck_assert(!tried[action->upstream]);
        ck_assert((action->upstream == 0) == (i == 2));
        tried[action->upstream] = true;
        scheduler_rig_post_result(&rig, request, action->conn,
                                  SCHEDULER_RESULT_CONN_LOST, false, 0);
        scheduler_rig_complete_opens(&rig);
        scheduler_rig_tick(&rig, 20 * SCHEDULER_RIG_MS_US);
    }
    scheduler_rig_free(&rig);
}
END_TEST

// At most a tenth of the requests are retried when all of them fail.
START_TEST(test_retry_budget)
{
    unsigned retried = 0;

    setup(true, 0);
    for (int i = 0; i < 200; i++) {
        scheduler_rig_open_session(&rig, 10 + (uint64_t)i, NULL);
        scheduler_rig_complete_opens(&rig);
        uint64_t request = scheduler_rig_post_request(
            &rig, 10 + (uint64_t)i, SCHEDULER_CLASS_READ, -1);
        scheduler_rig_complete_opens(&rig);
        const struct scheduler_action *action =
            scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, request);
        ck_assert_ptr_nonnull(action);
        scheduler_rig_post_result(&rig, request, action->conn,
                                  SCHEDULER_RESULT_CONN_LOST, false, 0);
        retried += scheduler_rig_find_action(&rig, SCHEDULER_ACTION_UNKNOWN,
                                             request) == NULL;
        scheduler_rig_complete_opens(&rig);
    }
    ck_assert_uint_ge(retried, 10);
    ck_assert_uint_le(retried, 20);
    scheduler_rig_free(&rig);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_loop_test(tests, test_retry_conditions, 0,
                        ARRAY_SIZE(retry_cases));
    tcase_add_test(tests, test_retry_uses_another_upstream);
    tcase_add_test(tests, test_retry_budget);
}

TEST_MAIN("retry", add_tests)
