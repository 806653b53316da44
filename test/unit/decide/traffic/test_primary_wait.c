// Unit tests of the wait for a change of primary: the estimate, and what
// callers of one entry get during changes.

#include <check.h>

#include "catkingrade/decide/traffic/primary_wait.h"
#include "catkingrade/kernel/outcome.h"
#include "test/fake/scheduler_rig.h"
#include "test/suite.h"

#define MS SCHEDULER_RIG_MS_US

static struct scheduler_rig rig;

// Guards against an estimate that does not follow the changes seen, or that
// promises an end at once when a change takes longer than expected.
START_TEST(test_estimate)
{
    struct primary_wait wait = {0};

    primary_wait_begin(&wait, 1000 * MS);
    ck_assert_int_eq(primary_wait_get_remaining_us(&wait, 1300 * MS),
                     500 * MS);
    primary_wait_begin(&wait, 1300 * MS); // in progress already
    primary_wait_end(&wait, 1600 * MS);
    primary_wait_begin(&wait, 5000 * MS);
    ck_assert_int_eq(primary_wait_get_remaining_us(&wait, 5000 * MS),
                     600 * MS);
    ck_assert_int_eq(primary_wait_get_remaining_us(&wait, 6000 * MS),
                     500 * MS);
    primary_wait_end(&wait, 6600 * MS);
    primary_wait_begin(&wait, 9000 * MS);
    ck_assert_int_eq(primary_wait_get_remaining_us(&wait, 9000 * MS),
                     1100 * MS);
    primary_wait_cancel(&wait);
    ck_assert_int_eq(wait.since_us, 0);
}
END_TEST

static void
start(void)
{
    scheduler_rig_init_guarded(&rig, 2);
    scheduler_rig_post_view(&rig);
    scheduler_rig_open_session(&rig, 1, NULL);
    scheduler_rig_complete_opens(&rig);
    scheduler_rig_post_lease(&rig, rig.database.term, 60000 * MS);
}

static void
begin_change(void)
{
    rig.database.superseding = true;
    scheduler_rig_post_view(&rig);
}

// Ends a change: the view of the next term arrives before the lease for it.
static void
end_change(void)
{
    rig.database.superseding = false;
    rig.database.term++;
    scheduler_rig_post_view(&rig);
    scheduler_rig_complete_opens(&rig);
    scheduler_rig_post_lease(&rig, rig.database.term, 90000 * MS);
    scheduler_rig_complete_opens(&rig);
}

static uint64_t
post_write(uint64_t session, int64_t time_left_us)
{
    scheduler_rig_open_session(&rig, session, NULL);
    return scheduler_rig_post_typed_request(
        &rig, session, SCHEDULER_CLASS_WRITE, "", rig.now_us + time_left_us);
}

// Guards against callers that are refused although the primary returns in
// time, and against callers that wait for one that does not: during a change
// of 600 ms, as the one before it, a write with 1 s left waits and runs, and
// one with 300 ms left is refused at once.
START_TEST(test_callers_during_change)
{
    start();
    begin_change();
    scheduler_rig_tick(&rig, 600 * MS);
    end_change();
    scheduler_rig_tick(&rig, 5000 * MS);
    begin_change();
    uint64_t patient = post_write(10, 1000 * MS);
    ck_assert_ptr_null(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE, patient));
    uint64_t hopeless = post_write(11, 300 * MS);
    const struct scheduler_action *refusal =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE, hopeless);
    ck_assert_ptr_nonnull(refusal);
    ck_assert_int_eq(refusal->outcome, OUTCOME_UNAVAILABLE);
    for (int i = 0; i < 6; i++) {
        scheduler_rig_tick(&rig, 100 * MS);
        ck_assert_uint_eq(
            scheduler_rig_count_actions(&rig, SCHEDULER_ACTION_REFUSE), 0);
    }
    end_change();
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, patient));
    scheduler_rig_free(&rig);
}
END_TEST

// Guards against a caller that is held to its deadline by a change that does
// not end: it is refused as soon as the change is expected to take longer.
START_TEST(test_overdue_change_refuses_before_deadline)
{
    start();
    begin_change();
    uint64_t request = post_write(10, 1200 * MS);
    const struct scheduler_action *refusal = NULL;
    int64_t from_us = rig.now_us;
    while (refusal == NULL && rig.now_us < from_us + 1200 * MS) {
        scheduler_rig_tick(&rig, 20 * MS);
        refusal =
            scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE, request);
    }
    ck_assert_ptr_nonnull(refusal);
    ck_assert_int_lt(rig.now_us, from_us + 1000 * MS);
    scheduler_rig_free(&rig);
}
END_TEST

// Guards against callers that wait although this entry cannot learn the end of
// the change: it has no lease.
START_TEST(test_no_wait_without_lease)
{
    start();
    begin_change();
    uint64_t request = post_write(10, 100000 * MS);
    scheduler_rig_tick(&rig, 60000 * MS);
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE, request));
    scheduler_rig_free(&rig);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_estimate);
    tcase_add_test(tests, test_callers_during_change);
    tcase_add_test(tests, test_overdue_change_refuses_before_deadline);
    tcase_add_test(tests, test_no_wait_without_lease);
}

TEST_MAIN("primary_wait", add_tests)
