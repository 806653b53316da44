#include <check.h>

#include "catkingrade/kernel/memory.h"
#include "test/fake/scheduler_rig.h"
#include "test/suite.h"

static struct scheduler_rig rig;

// The primary u0 was sampled at position 100, 200, ... every 100 ms and is now
// at 1000. An upstream at 100 * n is as old as the time of that sample.
static void
setup(uint32_t upstreams_count)
{
    scheduler_rig_init(&rig, upstreams_count);
    scheduler_rig_post_view(&rig);
    for (uint64_t lsn = 100; lsn <= 1000; lsn += 100) {
        rig.now_us += 100 * SCHEDULER_RIG_MS_US;
        scheduler_rig_post_sample(&rig, 0, lsn);
    }
    scheduler_rig_open_session(&rig, 1, NULL);
    scheduler_rig_complete_opens(&rig);
}

// Sends a read of session 1. Returns the upstream that it is sent to, or
// SCHEDULER_NO_ID if the read waits.
static uint32_t
send_read(int64_t max_age_us, uint64_t *request, uint32_t *conn)
{
    rig.now_us += max_age_us == 0; // later than the last sample
    *request =
        scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_READ, max_age_us);
    scheduler_rig_complete_opens(&rig);
    const struct scheduler_action *action =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, *request);
    *conn = action == NULL ? SCHEDULER_NO_ID : action->conn;
    return action == NULL ? SCHEDULER_NO_ID : action->upstream;
}

struct age_case {
    uint64_t lsn; // of the only replica
    int64_t max_age_us;
    uint32_t upstream;
};

static const struct age_case age_cases[] = {
    {1000, 0, 0},                        // sampled before the arrival
    {1000, 1, 1},                        // as old as the primary's last sample
    {900, 99 * SCHEDULER_RIG_MS_US, 0},  //
    {900, 100 * SCHEDULER_RIG_MS_US, 1}, //
    {950, 100 * SCHEDULER_RIG_MS_US, 1}, // age of the sample at 900
    {899, 199 * SCHEDULER_RIG_MS_US, 0}, //
    {899, 200 * SCHEDULER_RIG_MS_US, 1}, //
    {100, 900 * SCHEDULER_RIG_MS_US, 1}, //
    {99, 9999999 * SCHEDULER_RIG_MS_US,
     0}, // older than the history: unknown age
};

START_TEST(test_age)
{
    const struct age_case *row = &age_cases[_i];
    uint64_t request = 0;
    uint32_t conn = 0;

    setup(2);
    scheduler_rig_post_sample(&rig, 1, row->lsn);
    ck_assert_uint_eq(send_read(row->max_age_us, &request, &conn),
                      row->upstream);
    scheduler_rig_free(&rig);
}
END_TEST

// With an accepted age of 0, a replica serves a read only if it covers a
// sample of the primary that was requested after the arrival of the read.
START_TEST(test_age_zero_on_replica)
{
    uint64_t request = 0;
    uint32_t conn = 0;

    setup(2);
    rig.upstreams[0].slots = 0;
    scheduler_rig_post_view(&rig);
    scheduler_rig_complete_opens(&rig);
    scheduler_rig_post_sample(&rig, 1, 1000);
    ck_assert_uint_eq(send_read(0, &request, &conn), SCHEDULER_NO_ID);
    rig.now_us += 10;
    scheduler_rig_post_sample(&rig, 0, 1000);
    const struct scheduler_action *action =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, request);
    ck_assert_ptr_nonnull(action);
    ck_assert_uint_eq(action->upstream, 1);
    scheduler_rig_free(&rig);
}
END_TEST

// Samples of the primary bound the age of a replica only if the primary had a
// valid lease.
START_TEST(test_primary_without_lease_proves_no_age)
{
    uint64_t request = 0;
    uint32_t conn = 0;

    setup(2);
    rig.database.group = rig.names[0];
    rig.database.term = 1;
    rig.database.base.lsn = 1000;
    scheduler_rig_post_view(&rig);
    scheduler_rig_post_lease(&rig, 1, rig.now_us + 10);
    scheduler_rig_complete_opens(&rig);
    rig.now_us += 5000 * SCHEDULER_RIG_MS_US;
    scheduler_rig_post_sample(&rig, 0, 1000);
    scheduler_rig_complete_opens(&rig);
    scheduler_rig_post_sample(&rig, 1, 1000);
    scheduler_rig_complete_opens(&rig);
    ck_assert_uint_eq(send_read(2000 * SCHEDULER_RIG_MS_US, &request, &conn),
                      SCHEDULER_NO_ID);
    ck_assert_uint_ne(send_read(6000 * SCHEDULER_RIG_MS_US, &request, &conn),
                      0);
    scheduler_rig_free(&rig);
}
END_TEST

// A primary without a lease serves reads according to its age, like a replica.
START_TEST(test_primary_without_lease_is_judged_by_age)
{
    uint64_t request = 0;
    uint32_t conn = 0;

    setup(1);
    rig.database.group = rig.names[0];
    scheduler_rig_post_view(&rig);
    scheduler_rig_post_lease(&rig, 0, rig.now_us + 10);
    scheduler_rig_post_sample(&rig, 0, 1000);
    rig.now_us += 1000 * SCHEDULER_RIG_MS_US;
    scheduler_rig_post_sample(&rig, 0, 1000);
    scheduler_rig_complete_opens(&rig);
    ck_assert_uint_eq(send_read(2000 * SCHEDULER_RIG_MS_US, &request, &conn),
                      0);
    scheduler_rig_post_result(&rig, request, conn, SCHEDULER_RESULT_DONE,
                              false, 1000);
    ck_assert_uint_eq(send_read(500 * SCHEDULER_RIG_MS_US, &request, &conn),
                      SCHEDULER_NO_ID);
    scheduler_rig_free(&rig);
}
END_TEST

START_TEST(test_reads_spread_over_replicas)
{
    uint32_t counts[7] = {0};
    uint64_t request = 0;

    setup(7);
    for (uint32_t i = 1; i < 7; i++) {
        scheduler_rig_post_sample(&rig, i, 1000);
    }
    for (uint64_t session = 10; session < 10 + 24; session++) {
        scheduler_rig_open_session(&rig, session, NULL);
        request = scheduler_rig_post_request(&rig, session,
                                             SCHEDULER_CLASS_READ, -1);
        scheduler_rig_complete_opens(&rig);
        const struct scheduler_action *action =
            scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, request);
        ck_assert_ptr_nonnull(action);
        counts[action->upstream]++;
    }
    ck_assert_uint_eq(counts[0], 0);
    for (uint32_t i = 1; i < 7; i++) {
        ck_assert_uint_ge(counts[i], 2);
        ck_assert_uint_le(counts[i], 5);
    }
    scheduler_rig_free(&rig);
}
END_TEST

// Reads that only the primary may serve leave a slot free for writes.
START_TEST(test_reads_leave_a_slot_for_writes)
{
    unsigned reads = 0;

    setup(1);
    for (uint64_t session = 10; session < 30; session++) {
        scheduler_rig_open_session(&rig, session, NULL);
        uint64_t request = scheduler_rig_post_request(
            &rig, session, SCHEDULER_CLASS_READ, -1);
        scheduler_rig_complete_opens(&rig);
        reads += scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND,
                                           request) != NULL;
    }
    ck_assert_uint_eq(reads, 4);
    uint64_t write_request =
        scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_WRITE, -1);
    scheduler_rig_complete_opens(&rig);
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, write_request));
    scheduler_rig_free(&rig);
}
END_TEST

START_TEST(test_failing_replica_gets_no_read)
{
    struct scheduler_event event = {.kind = SCHEDULER_EVENT_SAMPLE_FAILED};
    uint64_t request = 0;
    uint32_t conn = 0;

    setup(2);
    scheduler_rig_post_sample(&rig, 1, 1000);
    event.sample.upstream = 1;
    scheduler_rig_step(&rig, &event);
    ck_assert_uint_eq(send_read(-1, &request, &conn), 0);
    scheduler_rig_free(&rig);
}
END_TEST

// While the primary has no slot for reads, a read waits for a bounded time for
// a replica that is about to reach its floor.
START_TEST(test_bounded_wait_for_replica)
{
    const struct scheduler_floor floor = {0, 1010};
    uint64_t writes[5];

    setup(2);
    scheduler_rig_post_sample(&rig, 1, 900);
    rig.now_us += 100 * SCHEDULER_RIG_MS_US;
    scheduler_rig_post_sample(&rig, 1, 1000);
    scheduler_rig_post_sample(&rig, 0, 1020);
    for (uint64_t i = 0; i < 5; i++) {
        scheduler_rig_open_session(&rig, 10 + i, NULL);
        writes[i] = scheduler_rig_post_request(&rig, 10 + i,
                                               SCHEDULER_CLASS_WRITE, -1);
        scheduler_rig_complete_opens(&rig);
        ck_assert_ptr_nonnull(
            scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, writes[i]));
    }
    scheduler_rig_open_session(&rig, 20, &floor);
    uint64_t request =
        scheduler_rig_post_request(&rig, 20, SCHEDULER_CLASS_READ, -1);
    ck_assert_ptr_null(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, request));
    bool sampled = false;
    for (size_t i = 0; i < rig.actions.count; i++) {
        sampled |= rig.actions.items[i].kind == SCHEDULER_ACTION_SAMPLE &&
                   rig.actions.items[i].upstream == 1;
    }
    ck_assert(sampled);
    rig.now_us += 10 * SCHEDULER_RIG_MS_US;
    scheduler_rig_post_sample(&rig, 1, 1010);
    const struct scheduler_action *action =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, request);
    ck_assert_ptr_nonnull(action);
    ck_assert_uint_eq(action->upstream, 1);
    scheduler_rig_free(&rig);
}
END_TEST

// Guards against reads that cross failure domains while the replica of the
// entry's own is little busier, and against a near replica that takes all
// reads: with 5 slots each, the near replica gets at least 4 of 6 reads and
// the far one at least 1.
START_TEST(test_reads_prefer_near_replica)
{
    uint32_t counts[4] = {0};

    setup(4);
    // u3 is in the entry's failure domain, u1 is not. u2 is not sampled.
    scheduler_rig_post_sample(&rig, 1, 1000);
    scheduler_rig_post_sample(&rig, 3, 1000);
    for (uint64_t session = 10; session < 10 + 6; session++) {
        scheduler_rig_open_session(&rig, session, NULL);
        uint64_t request = scheduler_rig_post_request(
            &rig, session, SCHEDULER_CLASS_READ, -1);
        scheduler_rig_complete_opens(&rig);
        const struct scheduler_action *action =
            scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, request);
        ck_assert_ptr_nonnull(action);
        counts[action->upstream]++;
    }
    ck_assert_uint_ge(counts[3], 4);
    ck_assert_uint_ge(counts[1], 1);
    scheduler_rig_free(&rig);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_loop_test(tests, test_age, 0, ARRAY_SIZE(age_cases));
    tcase_add_test(tests, test_age_zero_on_replica);
    tcase_add_test(tests, test_primary_without_lease_proves_no_age);
    tcase_add_test(tests, test_primary_without_lease_is_judged_by_age);
    tcase_add_test(tests, test_reads_spread_over_replicas);
    tcase_add_test(tests, test_reads_leave_a_slot_for_writes);
    tcase_add_test(tests, test_failing_replica_gets_no_read);
    tcase_add_test(tests, test_bounded_wait_for_replica);
    tcase_add_test(tests, test_reads_prefer_near_replica);
}

TEST_MAIN("route", add_tests)
