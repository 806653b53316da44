#include <check.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "test/fake/scheduler_rig.h"
#include "test/suite.h"

static struct scheduler_rig rig;

// A database of term 1 with a lease of one second. One replica must confirm
// each write.
static void
setup(void)
{
    scheduler_rig_init(&rig, 3);
    rig.database.group = rig.names[0];
    rig.database.term = 1;
    rig.customer.confirm = 1;
    scheduler_rig_post_view(&rig);
    scheduler_rig_post_lease(&rig, 1, rig.now_us + 1000 * SCHEDULER_RIG_MS_US);
    for (uint32_t i = 0; i < 3; i++) {
        scheduler_rig_post_sample(&rig, i, 100);
    }
    scheduler_rig_open_session(&rig, 1, NULL);
    scheduler_rig_complete_opens(&rig);
}

// Runs a write on the primary, which answers that its log position is lsn.
static uint64_t
send_write(uint64_t lsn)
{
    uint64_t request = scheduler_rig_post_typed_request(
        &rig, 1, SCHEDULER_CLASS_WRITE, "",
        rig.now_us + 500 * SCHEDULER_RIG_MS_US);

    scheduler_rig_complete_opens(&rig);
    const struct scheduler_action *action =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, request);
    ck_assert_ptr_nonnull(action);
    uint32_t conn = action->conn;
    rig.now_us += 10;
    scheduler_rig_post_result(&rig, request, conn, SCHEDULER_RESULT_DONE,
                              false, lsn);
    return request;
}

START_TEST(test_answer_waits_for_a_replica)
{
    setup();
    uint64_t request = send_write(200);
    ck_assert_ptr_null(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_ANSWER, request));
    ck_assert_uint_ge(
        scheduler_rig_count_actions(&rig, SCHEDULER_ACTION_SAMPLE), 2);
    rig.now_us += 10;
    scheduler_rig_post_sample(&rig, 1, 199);
    ck_assert_ptr_null(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_ANSWER, request));
    rig.now_us += 10;
    scheduler_rig_post_sample(&rig, 2, 200);
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_ANSWER, request));
    scheduler_rig_free(&rig);
}
END_TEST

// If the answer to a write does not contain its position, the primary is
// sampled first.
START_TEST(test_unknown_position_is_sampled)
{
    setup();
    uint64_t request = send_write(0);
    rig.now_us += 10;
    scheduler_rig_post_sample(&rig, 1, 100);
    ck_assert_ptr_null(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_ANSWER, request));
    scheduler_rig_post_sample(&rig, 0, 300);
    ck_assert_ptr_null(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_ANSWER, request));
    rig.now_us += 10;
    scheduler_rig_post_sample(&rig, 1, 300);
    const struct scheduler_action *action =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_ANSWER, request);
    ck_assert_ptr_nonnull(action);
    ck_assert_uint_eq(action->floor.lsn, 300);
    scheduler_rig_free(&rig);
}
END_TEST

START_TEST(test_deadline_applies_unconfirmed_policy)
{
    setup();
    rig.customer.unconfirmed =
        _i == 0 ? CK_UNCONFIRMED_UNKNOWN : CK_UNCONFIRMED_WARN;
    scheduler_rig_post_view(&rig);
    uint64_t request = send_write(200);
    scheduler_rig_tick(&rig, 500 * SCHEDULER_RIG_MS_US);
    ck_assert_ptr_nonnull(scheduler_rig_find_action(
        &rig, _i == 0 ? SCHEDULER_ACTION_UNKNOWN : SCHEDULER_ACTION_WARN,
        request));
    scheduler_rig_free(&rig);
}
END_TEST

// A position of a replica on another timeline confirms nothing.
START_TEST(test_other_timeline_confirms_nothing)
{
    struct scheduler_event event = {.kind = SCHEDULER_EVENT_SAMPLE};

    setup();
    uint64_t request = send_write(200);
    event.sample = (struct scheduler_sample){
        .upstream = 1, .position = {2, 900}, .asked_at_us = rig.now_us};
    scheduler_rig_step(&rig, &event);
    ck_assert_ptr_null(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_ANSWER, request));
    scheduler_rig_free(&rig);
}
END_TEST

// Event that ends the term before the confirmation.
enum term_end {
    TERM_END_LEASE_EXPIRED,
    TERM_END_REVOKED,
    TERM_END_SUPERSEDING,
    TERM_END_NEW_TERM
};

static void
end_term(enum term_end term_end)
{
    switch (term_end) {
    case TERM_END_LEASE_EXPIRED:
        rig.now_us += 1000 * SCHEDULER_RIG_MS_US;
        break;
    case TERM_END_REVOKED:
        scheduler_rig_revoke_lease(&rig, 1);
        break;
    case TERM_END_SUPERSEDING:
        // Running writes may finish until the lease expires.
        rig.database.superseding = true;
        scheduler_rig_post_view(&rig);
        rig.now_us += 1000 * SCHEDULER_RIG_MS_US;
        break;
    case TERM_END_NEW_TERM:
        rig.database.term = 2;
        rig.database.base.lsn = 100;
        rig.database.primary = rig.names[1];
        scheduler_rig_post_view(&rig);
        break;
    }
}

// Guards against a lost write that was reported as done: the confirmation by
// the replicas arrives after the term of the old primary has ended.
START_TEST(test_no_acknowledgement_after_end_of_term)
{
    setup();
    uint64_t confirmed = send_write(200);
    uint64_t running = scheduler_rig_post_typed_request(
        &rig, 1, SCHEDULER_CLASS_WRITE, "",
        rig.now_us + 3000 * SCHEDULER_RIG_MS_US);
    ck_assert_ptr_null(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, running));
    end_term((enum term_end)_i);
    ck_assert_ptr_null(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_ANSWER, confirmed));
    rig.now_us += 10;
    scheduler_rig_post_sample(&rig, 1, 300);
    ck_assert_ptr_null(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_ANSWER, confirmed));
    scheduler_rig_post_sample(&rig, 2, 300);
    ck_assert_ptr_null(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_ANSWER, confirmed));
    scheduler_rig_free(&rig);
}
END_TEST

// Guards against a lost write that was reported as done: the answer of the old
// primary arrives after its term has ended. The outcome is unknown.
START_TEST(test_answer_after_end_of_term_is_unknown)
{
    setup();
    rig.customer.confirm = 0;
    scheduler_rig_post_view(&rig);
    uint64_t request = scheduler_rig_post_typed_request(
        &rig, 1, SCHEDULER_CLASS_WRITE, "",
        rig.now_us + 3000 * SCHEDULER_RIG_MS_US);
    scheduler_rig_complete_opens(&rig);
    uint32_t conn =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, request)->conn;
    end_term((enum term_end)_i);
    if (scheduler_rig_find_action(&rig, SCHEDULER_ACTION_UNKNOWN, request) ==
        NULL) {
        scheduler_rig_post_result(&rig, request, conn, SCHEDULER_RESULT_DONE,
                                  false, 200);
    }
    ck_assert_ptr_null(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_ANSWER, request));
    scheduler_rig_free(&rig);
}
END_TEST

// In a planned switchover, running writes are acknowledged under the lease
// that is still valid. New writes do not run: they wait for the next term, or
// are refused at once if it is not expected before their deadline. The end of
// the term is confirmed to control after the last write has finished.
START_TEST(test_superseding_lets_writes_finish)
{
    setup();
    uint64_t running = scheduler_rig_post_typed_request(
        &rig, 1, SCHEDULER_CLASS_WRITE, "",
        rig.now_us + 500 * SCHEDULER_RIG_MS_US);
    scheduler_rig_complete_opens(&rig);
    uint32_t conn =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, running)->conn;
    rig.database.superseding = TRUE;
    scheduler_rig_post_view(&rig);
    ck_assert_ptr_null(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_CONFIRM_REVOKED, 0));
    scheduler_rig_open_session(&rig, 2, NULL);
    uint64_t late =
        scheduler_rig_post_request(&rig, 2, SCHEDULER_CLASS_WRITE, -1);
    ck_assert_ptr_null(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE, late));
    ck_assert_ptr_null(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, late));
    scheduler_rig_open_session(&rig, 3, NULL);
    uint64_t hopeless = scheduler_rig_post_typed_request(
        &rig, 3, SCHEDULER_CLASS_WRITE, "",
        rig.now_us + 100 * SCHEDULER_RIG_MS_US);
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE, hopeless));
    rig.now_us += 10;
    scheduler_rig_post_result(&rig, running, conn, SCHEDULER_RESULT_DONE,
                              false, 200);
    ck_assert_ptr_null(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_CONFIRM_REVOKED, 0));
    rig.now_us += 10;
    scheduler_rig_post_sample(&rig, 1, 200);
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_ANSWER, running));
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_CONFIRM_REVOKED, 0));
    ck_assert_ptr_null(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, late));
    scheduler_rig_free(&rig);
}
END_TEST

START_TEST(test_revocation_is_confirmed)
{
    setup();
    uint64_t request = send_write(200);
    scheduler_rig_revoke_lease(&rig, 1);
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_UNKNOWN, request));
    const struct scheduler_action *action =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_CONFIRM_REVOKED, 0);
    ck_assert_ptr_nonnull(action);
    ck_assert_uint_eq(action->term, 1);
    // A renewal that arrives after the revocation does not revive the term.
    scheduler_rig_post_lease(&rig, 1, rig.now_us + 9000 * SCHEDULER_RIG_MS_US);
    request = scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_WRITE, -1);
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE, request));
    scheduler_rig_free(&rig);
}
END_TEST

// Without a lease a write is refused at once, with a time to retry after.
START_TEST(test_no_lease_refuses_writes_at_once)
{
    setup();
    end_term((enum term_end)_i);
    if (_i == TERM_END_NEW_TERM) {
        scheduler_rig_post_lease(&rig, 1,
                                 rig.now_us + 9000 * SCHEDULER_RIG_MS_US);
    }
    uint64_t request =
        scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_WRITE, -1);
    const struct scheduler_action *action =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE, request);
    ck_assert_ptr_nonnull(action);
    ck_assert_int_eq(action->outcome, OUTCOME_UNAVAILABLE);
    ck_assert_int_gt(action->retry_after_us, 0);
    scheduler_rig_free(&rig);
}
END_TEST

// Waiting writes are acknowledged under a lease that was renewed in time for
// the same term.
START_TEST(test_renewed_lease_acknowledges)
{
    setup();
    uint64_t request = send_write(200);
    scheduler_rig_post_lease(&rig, 1, rig.now_us + 2000 * SCHEDULER_RIG_MS_US);
    rig.now_us += 400 * SCHEDULER_RIG_MS_US;
    scheduler_rig_post_sample(&rig, 1, 300);
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_ANSWER, request));
    scheduler_rig_free(&rig);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_answer_waits_for_a_replica);
    tcase_add_test(tests, test_unknown_position_is_sampled);
    tcase_add_loop_test(tests, test_deadline_applies_unconfirmed_policy, 0, 2);
    tcase_add_test(tests, test_other_timeline_confirms_nothing);
    tcase_add_loop_test(tests, test_no_acknowledgement_after_end_of_term, 0,
                        4);
    tcase_add_loop_test(tests, test_answer_after_end_of_term_is_unknown, 0, 4);
    tcase_add_test(tests, test_superseding_lets_writes_finish);
    tcase_add_test(tests, test_revocation_is_confirmed);
    tcase_add_loop_test(tests, test_no_lease_refuses_writes_at_once, 0, 4);
    tcase_add_test(tests, test_renewed_lease_acknowledges);
}

TEST_MAIN("confirm", add_tests)
