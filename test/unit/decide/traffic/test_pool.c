#include <check.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "test/fake/scheduler_rig.h"
#include "test/suite.h"

static struct scheduler_rig rig;

static void
set_quotas(uint32_t slots, uint32_t connections, uint32_t guaranteed)
{
    for (uint32_t i = 0; i < rig.database.upstreams.upstreams_len; i++) {
        rig.quotas[i] =
            (struct ck_quota){.upstream = rig.names[i],
                              .slots = slots,
                              .connections = connections,
                              .guaranteed_slots = guaranteed,
                              .guaranteed_connections = guaranteed};
    }
}

// Sends a write in a session of its own. Returns its connection, or
// SCHEDULER_NO_ID if the write was not sent.
static uint32_t
send_write(uint64_t session, uint64_t *request)
{
    scheduler_rig_open_session(&rig, session, NULL);
    scheduler_rig_complete_opens(&rig);
    *request =
        scheduler_rig_post_request(&rig, session, SCHEDULER_CLASS_WRITE, -1);
    scheduler_rig_complete_opens(&rig);
    const struct scheduler_action *action =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, *request);
    return action == NULL ? SCHEDULER_NO_ID : action->conn;
}

// However many requests wait, no more statements run and no more connections
// are open than the quota allows.
START_TEST(test_quota_limits_use)
{
    uint64_t request = 0;
    unsigned sent = 0;
    uint32_t last = SCHEDULER_NO_ID;
    struct ck_demand demand;

    scheduler_rig_init(&rig, 1);
    // One connection of the quota is reserved for samples.
    set_quotas(3, _i == 0 ? 5 : 3, 1);
    scheduler_rig_post_view(&rig);
    scheduler_rig_post_sample(&rig, 0, 100);
    for (uint64_t session = 10; session < 30; session++) {
        uint32_t conn = send_write(session, &request);
        sent += conn != SCHEDULER_NO_ID;
        last = conn != SCHEDULER_NO_ID ? conn : last;
    }
    ck_assert_uint_eq(sent, _i == 0 ? 3 : 2);
    (void)scheduler_fill_demands(rig.scheduler, &demand, 1);
    scheduler_rig_tick(&rig, 10 * SCHEDULER_RIG_MS_US);
    ck_assert_uint_eq(scheduler_fill_demands(rig.scheduler, &demand, 1), 1);
    ck_assert_uint_eq(demand.running, sent);
    ck_assert_uint_eq(demand.waiting, 20 - sent);
    ck_assert_uint_le(demand.connections, _i == 0 ? 5 : 3);
    scheduler_rig_post_result(&rig, request, last, SCHEDULER_RESULT_DONE,
                              false, 1);
    scheduler_rig_free(&rig);
}
END_TEST

START_TEST(test_smaller_quota_closes_idle_connections)
{
    struct ck_demand demand;

    scheduler_rig_start(&rig, 1);
    set_quotas(1, 2, 0);
    scheduler_rig_post_view(&rig);
    ck_assert_uint_eq(
        scheduler_rig_count_actions(&rig, SCHEDULER_ACTION_CLOSE), 1);
    ck_assert_int_eq(scheduler_rig_find_action(&rig, SCHEDULER_ACTION_CLOSE, 0)
                         ->close_reason,
                     SCHEDULER_CLOSE_QUOTA);
    (void)scheduler_fill_demands(rig.scheduler, &demand, 1);
    ck_assert_uint_eq(demand.connections, 2);
    scheduler_rig_free(&rig);
}
END_TEST

// An entry that has lost contact with control keeps to its guaranteed quota.
START_TEST(test_guaranteed_quota_without_lease)
{
    struct ck_demand demand;

    scheduler_rig_start(&rig, 1);
    rig.database.group = rig.names[0];
    rig.database.term = 1;
    set_quotas(5, 5, 1);
    scheduler_rig_post_view(&rig);
    scheduler_rig_post_lease(&rig, 1, rig.now_us + 1000);
    scheduler_rig_complete_opens(&rig);
    scheduler_rig_tick(&rig, 2000);
    (void)scheduler_fill_demands(rig.scheduler, &demand, 1);
    ck_assert_uint_le(demand.connections, 1);
    scheduler_rig_free(&rig);
}
END_TEST

START_TEST(test_leaving_upstream_gets_no_requests)
{
    scheduler_rig_start(&rig, 2);
    rig.upstreams[1].state = CK_UPSTREAM_LEAVING;
    scheduler_rig_post_view(&rig);
    const struct scheduler_action *action =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_CLOSE, 0);
    ck_assert_ptr_nonnull(action);
    ck_assert_int_eq(action->close_reason, SCHEDULER_CLOSE_LEAVING);
    ck_assert_uint_eq(action->upstream, 1);
    scheduler_rig_complete_opens(&rig);
    for (int i = 0; i < 10; i++) {
        uint64_t request =
            scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_READ, -1);
        scheduler_rig_complete_opens(&rig);
        action =
            scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, request);
        ck_assert_uint_eq(action->upstream, 0);
        scheduler_rig_post_result(&rig, request, action->conn,
                                  SCHEDULER_RESULT_DONE, false, 1);
    }
    scheduler_rig_free(&rig);
}
END_TEST

// An in-flight request on an upstream that is leaving finishes before its
// connection is closed.
START_TEST(test_leaving_upstream_finishes_in_flight_request)
{
    scheduler_rig_start(&rig, 2);
    uint64_t request =
        scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_READ, -1);
    const struct scheduler_action *sent =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, request);
    uint32_t conn = sent->conn;
    ck_assert_uint_eq(sent->upstream, 1);
    rig.upstreams[1].state = CK_UPSTREAM_LEAVING;
    scheduler_rig_post_view(&rig);
    for (size_t i = 0; i < rig.actions.count; i++) {
        ck_assert(rig.actions.items[i].kind != SCHEDULER_ACTION_CLOSE ||
                  rig.actions.items[i].conn != conn);
    }
    scheduler_rig_post_result(&rig, request, conn, SCHEDULER_RESULT_DONE,
                              false, 200);
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_ANSWER, request));
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_CLOSE, 0));
    scheduler_rig_free(&rig);
}
END_TEST

// A leaving primary takes writes until the next primary takes over, and none
// afterwards.
START_TEST(test_leaving_primary_serves_until_switchover)
{
    scheduler_rig_start(&rig, 2);
    rig.upstreams[0].state = CK_UPSTREAM_LEAVING;
    scheduler_rig_post_view(&rig);
    uint64_t request =
        scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_WRITE, -1);
    const struct scheduler_action *action =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, request);
    ck_assert_ptr_nonnull(action);
    ck_assert_uint_eq(action->upstream, 0);
    scheduler_rig_post_result(&rig, request, action->conn,
                              SCHEDULER_RESULT_DONE, false, 200);
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_ANSWER, request));
    rig.database.term++;
    rig.database.primary = "u1";
    scheduler_rig_post_view(&rig);
    scheduler_rig_post_lease(&rig, rig.database.term,
                             rig.now_us + 1000 * SCHEDULER_RIG_MS_US);
    unsigned sent = 0;
    for (int i = 0; i < 10; i++) {
        request =
            scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_WRITE, -1);
        scheduler_rig_complete_opens(&rig);
        action =
            scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, request);
        if (action != NULL) {
            ck_assert_uint_eq(action->upstream, 1);
            sent++;
            scheduler_rig_post_result(&rig, request, action->conn,
                                      SCHEDULER_RESULT_DONE, false, 300);
        }
    }
    ck_assert_uint_eq(sent, 10);
    scheduler_rig_free(&rig);
}
END_TEST

// Guards against a leaving primary that gets statements until it is gone,
// because control names no other: new ones are refused, an open transaction
// goes on.
START_TEST(test_leaving_primary_gets_nothing_new_after_its_time)
{
    scheduler_rig_start(&rig, 2);
    scheduler_rig_post_lease(&rig, rig.database.term,
                             60000 * SCHEDULER_RIG_MS_US);
    scheduler_rig_open_session(&rig, 2, NULL);
    uint64_t begin =
        scheduler_rig_post_request(&rig, 2, SCHEDULER_CLASS_BEGIN, -1);
    const struct scheduler_action *action =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, begin);
    ck_assert_ptr_nonnull(action);
    uint32_t conn = action->conn;
    scheduler_rig_post_result(&rig, begin, conn, SCHEDULER_RESULT_DONE, true,
                              100);
    rig.upstreams[0].state = CK_UPSTREAM_LEAVING;
    scheduler_rig_post_view(&rig);
    scheduler_rig_tick(&rig, 10000 * SCHEDULER_RIG_MS_US);
    uint64_t request =
        scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_WRITE, -1);
    action = scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE, request);
    ck_assert_ptr_nonnull(action);
    ck_assert_int_eq(action->outcome, OUTCOME_UNAVAILABLE);
    request = scheduler_rig_post_request(&rig, 2,
                                         SCHEDULER_CLASS_IN_TRANSACTION, -1);
    action = scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, request);
    ck_assert_ptr_nonnull(action);
    ck_assert_uint_eq(action->conn, conn);
    scheduler_rig_free(&rig);
}
END_TEST

// Guards against a leaving primary that gets its time anew: it counts as lost
// for a while, or its announcement is repeated. A restarted one has its own.
START_TEST(test_silence_does_not_renew_time_of_leaving_primary)
{
    scheduler_rig_start(&rig, 2);
    scheduler_rig_post_lease(&rig, rig.database.term,
                             60000 * SCHEDULER_RIG_MS_US);
    static const ck_upstream_state states[] = {
        CK_UPSTREAM_LEAVING, CK_UPSTREAM_LOST, CK_UPSTREAM_LEAVING};
    for (size_t i = 0; i < sizeof(states) / sizeof(states[0]); i++) {
        rig.upstreams[0].state = states[i];
        scheduler_rig_post_view(&rig);
        scheduler_rig_tick(&rig, 4000 * SCHEDULER_RIG_MS_US);
    }
    uint64_t request =
        scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_WRITE, -1);
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE, request));
    rig.upstreams[0].incarnation++;
    scheduler_rig_post_view(&rig);
    scheduler_rig_complete_opens(&rig);
    request = scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_WRITE, -1);
    ck_assert_ptr_null(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE, request));
    scheduler_rig_free(&rig);
}
END_TEST

// Guards against callers that wait for a leaving primary whose time is over:
// requests in its queue are refused at that moment.
START_TEST(test_queue_of_leaving_primary_ends_with_its_time)
{
    uint64_t request = 0;

    scheduler_rig_start(&rig, 1);
    scheduler_rig_post_lease(&rig, rig.database.term,
                             60000 * SCHEDULER_RIG_MS_US);
    rig.upstreams[0].state = CK_UPSTREAM_LEAVING;
    scheduler_rig_post_view(&rig);
    scheduler_rig_tick(&rig, 6900 * SCHEDULER_RIG_MS_US);
    for (uint64_t session = 10; session < 30; session++) {
        scheduler_rig_open_session(&rig, session, NULL);
        request = scheduler_rig_post_typed_request(
            &rig, session, SCHEDULER_CLASS_WRITE, "",
            rig.now_us + 5000 * SCHEDULER_RIG_MS_US);
        if (scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, request) ==
            NULL) {
            break;
        }
    }
    ck_assert_ptr_null(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE, request));
    scheduler_rig_tick(&rig, 200 * SCHEDULER_RIG_MS_US);
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE, request));
    scheduler_rig_free(&rig);
}
END_TEST

// A connection that was idle for long is validated before it carries a write.
START_TEST(test_idle_connection_is_validated)
{
    scheduler_rig_start(&rig, 1);
    rig.now_us += 3000 * SCHEDULER_RIG_MS_US;
    scheduler_rig_post_sample(&rig, 0, 100);
    uint64_t request =
        scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_WRITE, -1);
    ck_assert_ptr_null(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, request));
    scheduler_rig_free(&rig);

    scheduler_rig_start(&rig, 1);
    scheduler_rig_tick(&rig, 1600 * SCHEDULER_RIG_MS_US);
    ck_assert_uint_eq(
        scheduler_rig_count_actions(&rig, SCHEDULER_ACTION_VALIDATE), 2);
    scheduler_rig_free(&rig);
}
END_TEST

// When a connection goes silent, the connections opened at about the same time
// are validated.
START_TEST(test_connections_of_same_age_are_validated)
{
    struct scheduler_event event = {.kind = SCHEDULER_EVENT_CONN_FAILED};

    scheduler_rig_start(&rig, 1);
    uint64_t request =
        scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_WRITE, -1);
    event.conn.conn =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, request)->conn;
    event.conn.silent = true;
    scheduler_rig_step(&rig, &event);
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_UNKNOWN, request));
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_VALIDATE, 0));
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SUSPECT, 0));
    scheduler_rig_free(&rig);
}
END_TEST

// Guards against a slot that is never freed: a connection goes silent while a
// request runs on it. The request ends at its deadline, the connection is
// closed and the slot is free again.
START_TEST(test_silent_connection_frees_its_slot)
{
    struct ck_demand demand;

    scheduler_rig_start(&rig, 1);
    (void)scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_WRITE, -1);
    scheduler_rig_tick(&rig, 5000 * SCHEDULER_RIG_MS_US);
    ck_assert_uint_eq(
        scheduler_rig_count_actions(&rig, SCHEDULER_ACTION_UNKNOWN), 1);
    scheduler_rig_tick(&rig, 500 * SCHEDULER_RIG_MS_US);
    const struct scheduler_action *action =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_CLOSE, 0);
    ck_assert_ptr_nonnull(action);
    ck_assert_int_eq(action->close_reason, SCHEDULER_CLOSE_SILENT);
    (void)scheduler_fill_demands(rig.scheduler, &demand, 1);
    (void)scheduler_fill_demands(rig.scheduler, &demand, 1);
    ck_assert_uint_eq(demand.running, 0);
    scheduler_rig_free(&rig);
}
END_TEST

// Events of a closed connection do not affect the connection that reuses its
// index.
START_TEST(test_late_events_of_closed_connection)
{
    const struct scheduler_event close = {
        .kind = SCHEDULER_EVENT_SESSION_CLOSE, .session = 1};
    uint64_t old = 0;
    uint64_t request = 0;

    scheduler_rig_start(&rig, 1);
    old = scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_BEGIN, -1);
    uint32_t conn =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, old)->conn;
    scheduler_rig_post_result(&rig, old, conn, SCHEDULER_RESULT_DONE, true, 0);
    old = scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_IN_TRANSACTION,
                                     -1);
    scheduler_rig_step(&rig, &close);
    scheduler_rig_complete_opens(&rig);
    uint32_t first = send_write(2, &request);
    uint32_t second = send_write(3, &request);
    ck_assert_uint_ne(first, conn);
    ck_assert_uint_ne(second, conn);
    scheduler_rig_post_result(&rig, old, conn, SCHEDULER_RESULT_DONE, false,
                              300);
    ck_assert_ptr_null(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_ANSWER, 0));
    scheduler_rig_post_conn_event(&rig, SCHEDULER_EVENT_CONN_FAILED, conn);
    ck_assert_ptr_null(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_UNKNOWN, 0));
    scheduler_rig_free(&rig);
}
END_TEST

// After a failover, connections to the new primary are opened at a bounded
// rate, and connections to the old primary are closed.
START_TEST(test_failover_opens_at_bounded_rate)
{
    scheduler_rig_start(&rig, 3);
    rig.upstreams[1].slots = 20;
    rig.database.term = 1;
    rig.database.base.lsn = 100;
    rig.database.primary = rig.names[1];
    scheduler_rig_post_view(&rig);
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_CLOSE, 0));
    for (uint64_t session = 10; session < 60; session++) {
        scheduler_rig_open_session(&rig, session, NULL);
        (void)scheduler_rig_post_request(&rig, session, SCHEDULER_CLASS_WRITE,
                                         -1);
    }
    struct ck_demand demands[3];
    (void)scheduler_fill_demands(rig.scheduler, demands, 3);
    ck_assert_str_eq(demands[1].upstream, "u1");
    // Spare connections, opening connections and the one for samples.
    ck_assert_uint_le(demands[1].connections, 2 + 4 + 1);
    scheduler_rig_free(&rig);
}
END_TEST

// An upstream that refuses connections is retried with a growing backoff.
START_TEST(test_refused_opens_back_off)
{
    struct scheduler_event refusal = {.kind = SCHEDULER_EVENT_CONN_FAILED};
    unsigned opens = 0;

    scheduler_rig_init(&rig, 1);
    scheduler_rig_post_view(&rig);
    scheduler_rig_open_session(&rig, 1, NULL);
    (void)scheduler_rig_post_request(&rig, 1, SCHEDULER_CLASS_WRITE, -1);
    for (int i = 0; i < 1000; i++) {
        for (size_t j = 0; j < rig.actions.count; j++) {
            if (rig.actions.items[j].kind == SCHEDULER_ACTION_OPEN) {
                opens++;
                refusal.conn.conn = rig.actions.items[j].conn;
                refusal.conn.refused = true;
                scheduler_step(rig.scheduler, rig.now_us, &refusal,
                               &rig.actions);
            }
        }
        scheduler_rig_tick(&rig, SCHEDULER_RIG_MS_US);
    }
    ck_assert_uint_gt(opens, 2);
    ck_assert_uint_lt(opens, 15);
    scheduler_rig_free(&rig);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_loop_test(tests, test_quota_limits_use, 0, 2);
    tcase_add_test(tests, test_smaller_quota_closes_idle_connections);
    tcase_add_test(tests, test_guaranteed_quota_without_lease);
    tcase_add_test(tests, test_leaving_upstream_gets_no_requests);
    tcase_add_test(tests, test_leaving_upstream_finishes_in_flight_request);
    tcase_add_test(tests, test_leaving_primary_serves_until_switchover);
    tcase_add_test(tests,
                   test_leaving_primary_gets_nothing_new_after_its_time);
    tcase_add_test(tests, test_silence_does_not_renew_time_of_leaving_primary);
    tcase_add_test(tests, test_queue_of_leaving_primary_ends_with_its_time);
    tcase_add_test(tests, test_idle_connection_is_validated);
    tcase_add_test(tests, test_connections_of_same_age_are_validated);
    tcase_add_test(tests, test_silent_connection_frees_its_slot);
    tcase_add_test(tests, test_late_events_of_closed_connection);
    tcase_add_test(tests, test_failover_opens_at_bounded_rate);
    tcase_add_test(tests, test_refused_opens_back_off);
}

TEST_MAIN("pool", add_tests)
