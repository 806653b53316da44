#include "catkingrade/decide/traffic/freshness.h"
#include "catkingrade/decide/traffic/replica_lag.h"
#include "catkingrade/kernel/outcome.h"
#include "test/fake/scheduler_rig.h"
#include "test/suite.h"

// Reads in guarded mode: the upstreams reject a read that needs a log position
// which they have not reached. "u0" is the primary, "u1" a replica.

#define AGE_US (1500 * SCHEDULER_RIG_MS_US)

static struct scheduler_rig rig;

static const struct scheduler_action *
find_send(uint64_t request)
{
    scheduler_rig_complete_opens(&rig);
    return scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, request);
}

static void
finish_at_lsn(uint64_t request, uint64_t lsn)
{
    const struct scheduler_action *action = find_send(request);

    ck_assert_ptr_nonnull(action);
    scheduler_rig_post_result(&rig, request, action->conn,
                              SCHEDULER_RESULT_DONE, false, lsn);
}

static void
refuse(uint64_t request, enum scheduler_refusal refusal)
{
    const struct scheduler_action *action = find_send(request);
    const struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_RESULT,
        .result = {.request = request,
                   .conn = action->conn,
                   .result = SCHEDULER_RESULT_REFUSED,
                   .refusal = refusal}};

    scheduler_rig_step(&rig, &event);
}

static void
start(uint32_t upstreams)
{
    scheduler_rig_init_guarded(&rig, upstreams);
    scheduler_rig_post_view(&rig);
    scheduler_rig_open_session(&rig, 1, NULL);
    scheduler_rig_complete_opens(&rig);
}

// Before the first answer of the primary, the position that a replica must
// have reached is unknown.
START_TEST(test_first_read_goes_to_the_primary)
{
    start(2);
    uint64_t request =
        scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_READ, AGE_US);
    ck_assert_uint_eq(find_send(request)->upstream, 0);
    ck_assert_uint_eq(find_send(request)->after_lsn, 0);
    scheduler_rig_free(&rig);
}
END_TEST

START_TEST(test_replica_needs_position_of_accepted_age)
{
    start(2);
    finish_at_lsn(
        scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_WRITE, -1), 100);
    scheduler_rig_tick(&rig, AGE_US / 2);
    uint64_t request =
        scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_WRITE, -1);
    finish_at_lsn(request, 200);
    scheduler_rig_tick(&rig, AGE_US / 4);
    scheduler_rig_open_session(&rig, 2, NULL);
    request =
        scheduler_rig_post_request(&rig, 2, SCHEDULER_CLASS_READ, AGE_US);
    const struct scheduler_action *action = find_send(request);
    ck_assert_uint_eq(action->upstream, 1);
    ck_assert_uint_eq(action->after_lsn, 100);
    scheduler_rig_post_result(&rig, request, action->conn,
                              SCHEDULER_RESULT_DONE, false, 200);
    scheduler_rig_tick(&rig, AGE_US / 2);
    request =
        scheduler_rig_post_request(&rig, 2, SCHEDULER_CLASS_READ, AGE_US);
    ck_assert_uint_eq(find_send(request)->after_lsn, 200);
    scheduler_rig_free(&rig);
}
END_TEST

START_TEST(test_session_reads_its_own_write)
{
    start(2);
    finish_at_lsn(
        scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_WRITE, -1), 100);
    scheduler_rig_tick(&rig, 50 * SCHEDULER_RIG_MS_US);
    finish_at_lsn(
        scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_WRITE, -1), 200);
    scheduler_rig_tick(&rig, 400 * SCHEDULER_RIG_MS_US);
    uint64_t request =
        scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_READ, AGE_US);
    const struct scheduler_action *action = find_send(request);
    ck_assert_uint_eq(action->upstream, 1);
    ck_assert_uint_eq(action->after_lsn, 200);
    scheduler_rig_free(&rig);
}
END_TEST

// A session reads its write at the primary while the write is more recent than
// the estimated lag of the replica.
START_TEST(test_recent_write_is_read_at_primary)
{
    start(2);
    finish_at_lsn(
        scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_WRITE, -1), 100);
    scheduler_rig_tick(&rig, 30 * SCHEDULER_RIG_MS_US);
    uint64_t request =
        scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_READ, AGE_US);
    refuse(request, SCHEDULER_REFUSAL_BEHIND);
    finish_at_lsn(request, 100);
    finish_at_lsn(
        scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_WRITE, -1), 200);
    scheduler_rig_tick(&rig, 1 * SCHEDULER_RIG_MS_US);
    request =
        scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_READ, AGE_US);
    ck_assert_uint_eq(find_send(request)->upstream, 0);
    scheduler_rig_free(&rig);
}
END_TEST

START_TEST(test_read_moves_to_primary_when_replica_is_behind)
{
    start(2);
    finish_at_lsn(
        scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_WRITE, -1), 100);
    scheduler_rig_tick(&rig, 300 * SCHEDULER_RIG_MS_US);
    uint64_t request =
        scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_READ, AGE_US);
    ck_assert_uint_eq(find_send(request)->upstream, 1);
    refuse(request, SCHEDULER_REFUSAL_BEHIND);
    ck_assert_uint_eq(find_send(request)->upstream, 0);
    scheduler_rig_free(&rig);
}
END_TEST

START_TEST(test_current_reads_need_a_lease)
{
    start(2);
    struct scheduler_event event = {.kind = SCHEDULER_EVENT_REQUEST};
    event.request =
        (struct scheduler_request){.session = 1,
                                   .request = 900,
                                   .request_class = SCHEDULER_CLASS_READ,
                                   .max_age_us = 0,
                                   .primary_only = true};
    scheduler_rig_step(&rig, &event);
    ck_assert_uint_eq(find_send(900)->upstream, 0);
    scheduler_rig_free(&rig);
    start(2);
    scheduler_rig_post_lease(&rig, 0, rig.now_us - 1);
    scheduler_rig_step(&rig, &event);
    const struct scheduler_action *refusal =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE, 900);
    ck_assert_ptr_nonnull(refusal);
    ck_assert_int_eq(refusal->outcome, OUTCOME_UNAVAILABLE);
    scheduler_rig_free(&rig);
}
END_TEST

// A write that the upstream rejects as busy is sent to the same upstream
// again. This is safe because the rejection states that the write has not run.
START_TEST(test_write_rejected_as_busy_is_retried)
{
    start(2);
    uint64_t request =
        scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_WRITE, -1);
    refuse(request, SCHEDULER_REFUSAL_BUSY);
    ck_assert_ptr_null(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE, request));
    scheduler_rig_tick(&rig, 50 * SCHEDULER_RIG_MS_US);
    ck_assert_uint_eq(find_send(request)->upstream, 0);
    scheduler_rig_free(&rig);
}
END_TEST

START_TEST(test_write_sent_to_replica_is_refused)
{
    start(2);
    uint64_t request =
        scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_WRITE, -1);
    refuse(request, SCHEDULER_REFUSAL_READ_ONLY);
    const struct scheduler_action *refusal =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE, request);
    ck_assert_ptr_nonnull(refusal);
    ck_assert_int_eq(refusal->outcome, OUTCOME_NOT_RUN);
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SUSPECT, 0));
    scheduler_rig_free(&rig);
}
END_TEST

// A primary that answers nothing is suspected before the deadline of any
// request.
START_TEST(test_silent_primary_is_suspected)
{
    start(2);
    uint64_t request =
        scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_WRITE, -1);
    ck_assert_ptr_nonnull(find_send(request));
    scheduler_rig_tick(&rig, 250 * SCHEDULER_RIG_MS_US);
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SUSPECT, 0));
    ck_assert_ptr_null(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_UNKNOWN, request));
    scheduler_rig_free(&rig);
}
END_TEST

#define QUEUE_TIMEOUT_US (250 * SCHEDULER_RIG_MS_US)
#define DEADLINE_US      (3000 * SCHEDULER_RIG_MS_US)
#define REQUEST_COUNT    40

// Sends a read with a queue timeout in a session of its own.
static uint64_t
request_with_queue_timeout(uint64_t session)
{
    scheduler_rig_open_session(&rig, session, NULL);
    return scheduler_rig_post_timed_read(&rig, session, QUEUE_TIMEOUT_US,
                                         rig.now_us + DEADLINE_US);
}

// Advances the time in small steps and counts the refusals.
static size_t
count_refused_for(int64_t time_us)
{
    size_t refused = 0;

    for (int64_t passed_us = 0; passed_us < time_us;
         passed_us += 10 * SCHEDULER_RIG_MS_US) {
        scheduler_rig_tick(&rig, 10 * SCHEDULER_RIG_MS_US);
        refused += scheduler_rig_count_actions(&rig, SCHEDULER_ACTION_REFUSE);
    }
    return refused;
}

// While other requests are served, however long each takes, a request is
// refused when its queue timeout expires.
START_TEST(test_queue_timeout_expires_while_others_are_served)
{
    static const int64_t service_us[] = {100 * SCHEDULER_RIG_MS_US,
                                         700 * SCHEDULER_RIG_MS_US};
    uint64_t running[REQUEST_COUNT] = {0};
    uint32_t conns[REQUEST_COUNT] = {0};
    size_t refused = 0;

    start(1);
    for (uint64_t i = 0; i < REQUEST_COUNT; i++) {
        uint64_t request = request_with_queue_timeout(i + 10);
        const struct scheduler_action *action = find_send(request);
        running[i] = action == NULL ? 0 : request;
        conns[i] = action == NULL ? 0 : action->conn;
    }
    ck_assert_uint_ne(running[0], 0);
    ck_assert_uint_eq(running[REQUEST_COUNT - 1], 0);
    refused += count_refused_for(service_us[_i]);
    scheduler_rig_post_result(&rig, running[0], conns[0],
                              SCHEDULER_RESULT_DONE, false, 1);
    refused += count_refused_for(2 * QUEUE_TIMEOUT_US);
    ck_assert_uint_gt(refused, REQUEST_COUNT / 2);
    scheduler_rig_free(&rig);
}
END_TEST

// While no request is served, as after a restart, a refusal would only make
// the client retry. The request waits until its deadline and runs once a
// connection is open.
START_TEST(test_queue_timeout_is_extended_during_stall)
{
    scheduler_rig_init_guarded(&rig, 1);
    scheduler_rig_post_view(&rig);
    scheduler_rig_open_session(&rig, 1, NULL);
    struct scheduler_action opening =
        *scheduler_rig_find_action(&rig, SCHEDULER_ACTION_OPEN, 0);
    uint64_t request = request_with_queue_timeout(10);
    ck_assert_uint_eq(
        count_refused_for(QUEUE_TIMEOUT_US + 200 * SCHEDULER_RIG_MS_US), 0);
    scheduler_rig_post_conn_event(&rig, SCHEDULER_EVENT_CONN_OPENED,
                                  opening.conn);
    ck_assert_ptr_nonnull(find_send(request));
    scheduler_rig_free(&rig);
}
END_TEST

// A read that no upstream may serve is refused at its queue timeout, with a
// reason that says so.
START_TEST(test_stale_read_is_refused_as_unavailable)
{
    start(2);
    scheduler_rig_post_lease(&rig, 0, rig.now_us - 1);
    uint64_t request = request_with_queue_timeout(10);
    const struct scheduler_action *refusal = NULL;
    for (int i = 0; i < 35 && refusal == NULL; i++) {
        scheduler_rig_tick(&rig, 10 * SCHEDULER_RIG_MS_US);
        refusal =
            scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE, request);
    }
    ck_assert_ptr_nonnull(refusal);
    ck_assert_int_eq(refusal->outcome, OUTCOME_UNAVAILABLE);
    ck_assert_str_eq(refusal->reason, "no upstream has what the read needs");
    scheduler_rig_free(&rig);
}
END_TEST

// A read that a replica rejects as behind, after the queue timeout has
// expired, gets the same outcome and reason.
START_TEST(test_late_rejection_of_stale_read_is_unavailable)
{
    start(2);
    finish_at_lsn(
        scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_WRITE, -1), 100);
    scheduler_rig_open_session(&rig, 10, NULL);
    uint64_t request = scheduler_rig_post_timed_read(
        &rig, 10, QUEUE_TIMEOUT_US, rig.now_us + DEADLINE_US);
    const struct scheduler_action *action = find_send(request);
    ck_assert_ptr_nonnull(action);
    uint32_t conn = action->conn;
    scheduler_rig_post_lease(&rig, 0, rig.now_us - 1);
    rig.now_us += QUEUE_TIMEOUT_US + SCHEDULER_RIG_MS_US;
    const struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_RESULT,
        .result = {.request = request,
                   .conn = conn,
                   .result = SCHEDULER_RESULT_REFUSED,
                   .refusal = SCHEDULER_REFUSAL_BEHIND}};
    scheduler_rig_step(&rig, &event);
    const struct scheduler_action *refusal =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE, request);
    ck_assert_ptr_nonnull(refusal);
    ck_assert_int_eq(refusal->outcome, OUTCOME_UNAVAILABLE);
    ck_assert_str_eq(refusal->reason, "no upstream has what the read needs");
    scheduler_rig_free(&rig);
}
END_TEST

// Requests that waited during a stall are not all refused when the stall ends.
START_TEST(test_queue_timeout_restarts_after_stall)
{
    scheduler_rig_init_guarded(&rig, 1);
    scheduler_rig_post_view(&rig);
    scheduler_rig_open_session(&rig, 1, NULL);
    struct scheduler_action opening =
        *scheduler_rig_find_action(&rig, SCHEDULER_ACTION_OPEN, 0);
    for (uint64_t i = 0; i < REQUEST_COUNT; i++) {
        (void)request_with_queue_timeout(i + 10);
    }
    ck_assert_uint_eq(
        count_refused_for(QUEUE_TIMEOUT_US + 200 * SCHEDULER_RIG_MS_US), 0);
    scheduler_rig_post_conn_event(&rig, SCHEDULER_EVENT_CONN_OPENED,
                                  opening.conn);
    ck_assert_uint_ge(scheduler_rig_count_actions(&rig, SCHEDULER_ACTION_SEND),
                      1);
    ck_assert_uint_eq(count_refused_for(QUEUE_TIMEOUT_US / 4), 0);
    scheduler_rig_free(&rig);
}
END_TEST

START_TEST(test_lag_estimate)
{
    struct replica_lag lag = {0};

    ck_assert(!replica_lag_allows(&lag, 1000, 50000));
    replica_lag_record(&lag, 1000, 100000);
    ck_assert(!replica_lag_allows(&lag, 2000, 50000));
    ck_assert(replica_lag_allows(&lag, 2000, 150000));
    replica_lag_record_behind(&lag, 3000, 400000);
    ck_assert(!replica_lag_allows(&lag, 4000, 500000));
    ck_assert(replica_lag_allows(&lag, 4000, 700000));
    // After REPLICA_LAG_RETRY_US one read may try the replica again.
    ck_assert(replica_lag_allows(&lag, 3000 + 400000, 500000));
    replica_lag_record_attempt(&lag, 3000 + 400000, 500000);
    ck_assert(!replica_lag_allows(&lag, 3000 + 400001, 500000));
    // A replica that has caught up is used again after a few answers.
    replica_lag_record_reached(&lag, 500000, 500000);
    ck_assert(replica_lag_allows(&lag, 500001, 500000));
    for (int i = 0; i < 6; i++) {
        replica_lag_record(&lag, 500000 + i, 20000);
    }
    ck_assert(replica_lag_allows(&lag, 600000, 30000));
}
END_TEST

START_TEST(test_oldest_sample_since)
{
    struct freshness freshness = {0};

    ck_assert_ptr_null(freshness_find_since(&freshness, 0));
    freshness_add(&freshness, 10, 100);
    freshness_add(&freshness, 20, 200);
    ck_assert_uint_eq(freshness_find_since(&freshness, 0)->lsn, 100);
    ck_assert_uint_eq(freshness_find_since(&freshness, 11)->lsn, 200);
    ck_assert_uint_eq(freshness_find_since(&freshness, 20)->lsn, 200);
    ck_assert_ptr_null(freshness_find_since(&freshness, 21));
}
END_TEST

static const struct scheduler_action *
find_lag_report(void)
{
    for (size_t i = 0; i < rig.actions.count; i++) {
        const struct scheduler_action *action = &rig.actions.items[i];
        if (action->kind == SCHEDULER_ACTION_SUSPECT &&
            action->suspicion == CK_SUSPECT_LAGGING) {
            return action;
        }
    }
    return NULL;
}

// Guards against a coordinator that does not learn of an overload: when a read
// is refused for want of a slot, the replicas that serve no reads because they
// lag are reported with the time that callers have lost, here by refusals
// alone for a second or more. A refusal without a second before it is no
// report.
START_TEST(test_lagging_replica_is_reported_at_refusal)
{
    start(2);
    finish_at_lsn(
        scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_WRITE, -1), 100);
    scheduler_rig_tick(&rig, 300 * SCHEDULER_RIG_MS_US);
    uint64_t read =
        scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_READ, AGE_US);
    int64_t behind_us = rig.now_us;
    refuse(read, SCHEDULER_REFUSAL_BEHIND);
    ck_assert_ptr_null(find_lag_report());
    const struct scheduler_action *report = NULL;
    uint64_t session = 10;
    for (int i = 0; i < 100 && report == NULL; i++) {
        for (int k = 0; k < 4; k++) {
            (void)request_with_queue_timeout(session++);
        }
        scheduler_rig_tick(&rig, 50 * SCHEDULER_RIG_MS_US);
        report = find_lag_report();
    }
    ck_assert_ptr_nonnull(report);
    ck_assert_uint_eq(report->upstream, 1);
    ck_assert_int_ge(report->since_us, behind_us);
    ck_assert_int_le(rig.now_us - report->since_us, rig.now_us - behind_us);
    ck_assert_int_gt(rig.now_us - report->since_us, 500 * SCHEDULER_RIG_MS_US);
    scheduler_rig_free(&rig);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_first_read_goes_to_the_primary);
    tcase_add_test(tests, test_replica_needs_position_of_accepted_age);
    tcase_add_test(tests, test_session_reads_its_own_write);
    tcase_add_test(tests, test_recent_write_is_read_at_primary);
    tcase_add_test(tests, test_read_moves_to_primary_when_replica_is_behind);
    tcase_add_test(tests, test_current_reads_need_a_lease);
    tcase_add_test(tests, test_write_rejected_as_busy_is_retried);
    tcase_add_test(tests, test_write_sent_to_replica_is_refused);
    tcase_add_test(tests, test_silent_primary_is_suspected);
    tcase_add_loop_test(
        tests, test_queue_timeout_expires_while_others_are_served, 0, 2);
    tcase_add_test(tests, test_queue_timeout_is_extended_during_stall);
    tcase_add_test(tests, test_stale_read_is_refused_as_unavailable);
    tcase_add_test(tests, test_late_rejection_of_stale_read_is_unavailable);
    tcase_add_test(tests, test_queue_timeout_restarts_after_stall);
    tcase_add_test(tests, test_lag_estimate);
    tcase_add_test(tests, test_oldest_sample_since);
    tcase_add_test(tests, test_lagging_replica_is_reported_at_refusal);
}

TEST_MAIN("guarded", add_tests)
