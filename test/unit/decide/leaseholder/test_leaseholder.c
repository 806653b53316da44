#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/leaseholder/leaseholder.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "test/fake/changes.h"
#include "test/suite.h"

#define MS INT64_C(1000)

static const struct leaseholder_address voters[] = {
    {"10.1.0.1", 7432},
    {"10.1.0.2", 7432},
    {"10.1.0.3", 7432},
};

static struct leaseholder *
make_holder(void)
{
    struct leaseholder_params params = {
        .group = "fleet",
        .daemon = changes_make_daemon("e1", "10.3.0.1", 7),
        .voters = voters,
        .voters_count = ARRAY_SIZE(voters),
        .renew_us = 300 * MS,
        .call_timeout_us = 200 * MS,
        .retry_us = 20 * MS,
        .drift_ppm = 10000,
        .seed = 3,
    };

    return leaseholder_create(&params);
}

// Runs one step. The returned actions are valid until the next call.
static const struct leaseholder_actions *
step(struct leaseholder *holder, int64_t now_us,
     const struct leaseholder_event *event)
{
    static struct leaseholder_actions actions;

    actions.count = 0;
    leaseholder_step(holder, now_us, event, &actions);
    return &actions;
}

static const struct leaseholder_action *
find_action(const struct leaseholder_actions *actions,
            enum leaseholder_action_kind kind)
{
    for (size_t i = 0; i < actions->count; i++) {
        if (actions->items[i].kind == kind) {
            return &actions->items[i];
        }
    }
    return NULL;
}

static const struct leaseholder_actions *
tick(struct leaseholder *holder, int64_t now_us)
{
    struct leaseholder_event event = {.kind = LEASEHOLDER_EVENT_TICK};

    return step(holder, now_us, &event);
}

static struct ck_renew_result
make_result(uint64_t sequence, uint64_t leader_term, uint64_t from_revision,
            uint64_t to_revision)
{
    struct ck_renew_result result = {.outcome = OUTCOME_OK,
                                     .sequence = sequence,
                                     .leader_term = leader_term,
                                     .lease_us = 1000 * MS};

    result.leader_host = (char *)(uintptr_t) "";
    result.delta.from_revision = from_revision;
    result.delta.to_revision = to_revision;
    return result;
}

static const struct leaseholder_actions *
answer(struct leaseholder *holder, int64_t now_us,
       const struct ck_renew_result *result)
{
    struct leaseholder_event event = {.kind = LEASEHOLDER_EVENT_RENEWED};

    event.renewed = result;
    return step(holder, now_us, &event);
}

// Guards against a lease that ends later at the entry than at the coordinator:
// the lease must count from sending the call, less the clock drift.
START_TEST(test_lease_counts_from_sending)
{
    struct leaseholder *holder = make_holder();
    struct ck_renew_result result = make_result(1, 4, 0, 9);

    ck_assert_ptr_nonnull(
        find_action(tick(holder, 5000 * MS), LEASEHOLDER_ACTION_SEND_RENEW));
    const struct leaseholder_actions *actions =
        answer(holder, 5150 * MS, &result);
    // Sent at 5.000 s, one second less 1% of drift; received at 5.150 s.
    const struct leaseholder_action *lease =
        find_action(actions, LEASEHOLDER_ACTION_SET_LEASE);
    ck_assert_ptr_nonnull(lease);
    ck_assert_int_eq(lease->valid_until_us, 5990 * MS);
    // The delta and the quotas must be applied before the lease is extended.
    ck_assert_ptr_nonnull(
        find_action(actions, LEASEHOLDER_ACTION_APPLY_DELTA));
    ck_assert(find_action(actions, LEASEHOLDER_ACTION_APPLY_DELTA) < lease);
    ck_assert(find_action(actions, LEASEHOLDER_ACTION_SET_QUOTAS) < lease);
    leaseholder_destroy(holder);
}
END_TEST

// Guards against outdated relays: a new relays version must be applied even if
// the delta of the same result cannot be. The next call reports the version in
// force, and an unchanged version is not applied again.
START_TEST(test_relays_are_set_on_new_version)
{
    struct leaseholder *holder = make_holder();
    struct ck_renew_result result = make_result(1, 4, 5, 9);

    result.relays_version = 7;
    ck_assert_uint_eq(
        find_action(tick(holder, 5000 * MS), LEASEHOLDER_ACTION_SEND_RENEW)
            ->send.args->relays_version,
        0);
    const struct leaseholder_actions *actions =
        answer(holder, 5010 * MS, &result);
    ck_assert_ptr_nonnull(find_action(actions, LEASEHOLDER_ACTION_SET_RELAYS));
    const struct leaseholder_action *again =
        find_action(tick(holder, 9000 * MS), LEASEHOLDER_ACTION_SEND_RENEW);
    ck_assert_ptr_nonnull(again);
    ck_assert_uint_eq(again->send.args->relays_version, 7);
    result = make_result(2, 4, 0, 9);
    result.relays_version = 7;
    actions = answer(holder, 9010 * MS, &result);
    ck_assert_ptr_nonnull(find_action(actions, LEASEHOLDER_ACTION_SET_LEASE));
    ck_assert_ptr_null(find_action(actions, LEASEHOLDER_ACTION_SET_RELAYS));
    leaseholder_destroy(holder);
}
END_TEST

// A renewal result that must have no effect; name says why.
struct ignored {
    const char *name;
    uint64_t sequence;
    uint64_t leader_term;
    uint64_t from_revision;
    uint64_t to_revision;
    int outcome;
};

static const struct ignored ignored[] = {
    {"of an earlier call", 1, 4, 9, 10, OUTCOME_OK},
    {"of an older leader", 2, 3, 9, 10, OUTCOME_OK},
    {"of a lower revision", 2, 4, 9, 8, OUTCOME_OK},
    {"that starts above the known revision", 2, 4, 12, 14, OUTCOME_OK},
    {"of a voter that is not the leader", 2, 4, 9, 10, OUTCOME_NOT_LEADER},
    {"of a leader without a quorum", 2, 4, 9, 10, OUTCOME_UNAVAILABLE},
};

START_TEST(test_ignored_answer)
{
    const struct ignored *row = &ignored[_i];
    struct leaseholder *holder = make_holder();
    struct ck_renew_result result = make_result(1, 4, 0, 9);

    (void)tick(holder, 5000 * MS);
    (void)answer(holder, 5010 * MS, &result);
    int64_t until_us = leaseholder_get_valid_until_us(holder);
    ck_assert_ptr_nonnull(
        find_action(tick(holder, 5300 * MS), LEASEHOLDER_ACTION_SEND_RENEW));
    result = make_result(row->sequence, row->leader_term, row->from_revision,
                         row->to_revision);
    result.outcome = row->outcome;
    const struct leaseholder_actions *actions =
        answer(holder, 5310 * MS, &result);
    ck_assert_msg(find_action(actions, LEASEHOLDER_ACTION_SET_LEASE) == NULL,
                  "%s: lease", row->name);
    ck_assert_msg(find_action(actions, LEASEHOLDER_ACTION_APPLY_DELTA) == NULL,
                  "%s: delta", row->name);
    ck_assert_int_eq(leaseholder_get_valid_until_us(holder), until_us);
    ck_assert_uint_eq(leaseholder_get_revision(holder), 9);
    leaseholder_destroy(holder);
}
END_TEST

START_TEST(test_redirect_to_leader)
{
    struct leaseholder *holder = make_holder();
    struct ck_renew_result result = make_result(1, 4, 0, 9);

    (void)tick(holder, 5000 * MS);
    result.outcome = OUTCOME_NOT_LEADER;
    result.leader_host = (char *)(uintptr_t) "10.1.0.9";
    result.leader_port = 7000;
    const struct leaseholder_action *send = find_action(
        answer(holder, 5010 * MS, &result), LEASEHOLDER_ACTION_SEND_RENEW);
    ck_assert_ptr_nonnull(send);
    ck_assert_str_eq(send->send.address.host, "10.1.0.9");
    ck_assert_uint_eq(send->send.address.port, 7000);
    leaseholder_destroy(holder);
}
END_TEST

START_TEST(test_failures_back_off_over_all_voters)
{
    struct leaseholder *holder = make_holder();
    struct leaseholder_event failed = {.kind = LEASEHOLDER_EVENT_RENEW_FAILED};
    bool asked[ARRAY_SIZE(voters)] = {false};
    uint64_t sent = 0;
    bool in_flight = false;

    for (int64_t at_ms = 0; at_ms < 10000; at_ms += 5) {
        const struct leaseholder_action *send = find_action(
            tick(holder, at_ms * MS), LEASEHOLDER_ACTION_SEND_RENEW);
        if (send != NULL) {
            ck_assert(!in_flight);
            in_flight = true;
            asked[atoi(strrchr(send->send.address.host, '.') + 1) - 1] = true;
            sent = send->send.args->sequence;
        }
        else if (in_flight) {
            failed.sequence = sent;
            in_flight = find_action(step(holder, at_ms * MS, &failed),
                                    LEASEHOLDER_ACTION_SEND_RENEW) != NULL;
        }
    }
    ck_assert(asked[0] && asked[1] && asked[2]);
    // The interval is 150 to 300 ms at the full backoff.
    ck_assert_uint_ge(sent, 30);
    ck_assert_uint_le(sent, 75);
    leaseholder_destroy(holder);
}
END_TEST

// Guards against a long outage after an election: an entry without a lease
// cannot serve requests, so it must call voters that answer but know no Raft
// leader yet at short intervals. Such an answer is cheap for the voters.
START_TEST(test_unleased_backoff_is_short)
{
    struct leaseholder *holder = make_holder();
    struct ck_renew_result result = {.outcome = OUTCOME_NOT_LEADER};
    struct leaseholder_event event = {.kind = LEASEHOLDER_EVENT_RENEWED,
                                      .renewed = &result};
    int64_t last_ms = 0;
    uint64_t sent = 0;

    result.leader_host = (char *)(uintptr_t) "";
    for (int64_t at_ms = 0; at_ms < 3000; at_ms++) {
        const struct leaseholder_action *send = find_action(
            tick(holder, at_ms * MS), LEASEHOLDER_ACTION_SEND_RENEW);
        if (send == NULL) {
            ck_assert_int_le(at_ms - last_ms, 300 / 8 + 1);
            continue;
        }
        last_ms = at_ms;
        sent++;
        result.sequence = send->send.args->sequence;
        (void)step(holder, at_ms * MS, &event);
    }
    ck_assert_uint_le(sent, 3000 / (300 / 16));
    leaseholder_destroy(holder);
}
END_TEST

START_TEST(test_expiry_resets_quotas_to_guaranteed)
{
    struct leaseholder *holder = make_holder();
    struct ck_renew_result result = make_result(1, 4, 0, 9);
    struct ck_quota quota = {(char *)(uintptr_t) "u1", 5, 20, 2, 8};

    result.quotas.quotas_val = &quota;
    result.quotas.quotas_len = 1;
    (void)tick(holder, 5000 * MS);
    (void)answer(holder, 5010 * MS, &result);
    ck_assert_ptr_null(find_action(tick(holder, 5989 * MS),
                                   LEASEHOLDER_ACTION_LEASE_EXPIRED));
    const struct leaseholder_actions *actions = tick(holder, 5990 * MS);
    ck_assert_ptr_nonnull(
        find_action(actions, LEASEHOLDER_ACTION_LEASE_EXPIRED));
    const struct leaseholder_action *set =
        find_action(actions, LEASEHOLDER_ACTION_SET_QUOTAS);
    ck_assert_ptr_nonnull(set);
    ck_assert_uint_eq(set->quotas.items[0].slots, 2);
    ck_assert_uint_eq(set->quotas.items[0].connections, 8);
    leaseholder_destroy(holder);
}
END_TEST

// Guards against a crash of an entry that stood still: a grant whose lease is
// over sets quotas and resets them in one step.
START_TEST(test_grant_after_its_lease_sets_quotas_once)
{
    struct leaseholder *holder = make_holder();
    struct ck_renew_result result = make_result(1, 4, 0, 9);
    struct ck_quota quotas[] = {{(char *)(uintptr_t) "u1", 5, 20, 2, 8},
                                {(char *)(uintptr_t) "u2", 3, 6, 3, 6}};
    size_t count = 0;

    result.quotas.quotas_val = quotas;
    result.quotas.quotas_len = ARRAY_SIZE(quotas);
    (void)tick(holder, 5000 * MS);
    const struct leaseholder_actions *actions =
        answer(holder, 9000 * MS, &result);
    ck_assert_ptr_nonnull(
        find_action(actions, LEASEHOLDER_ACTION_LEASE_EXPIRED));
    for (size_t i = 0; i < actions->count; i++) {
        count += actions->items[i].kind == LEASEHOLDER_ACTION_SET_QUOTAS;
    }
    ck_assert_uint_eq(count, 1);
    const struct leaseholder_action *set =
        find_action(actions, LEASEHOLDER_ACTION_SET_QUOTAS);
    ck_assert_uint_eq(set->quotas.count, 3);
    ck_assert_str_eq(set->quotas.items[1].upstream, "u2");
    ck_assert_uint_eq(set->quotas.items[1].slots, 3);
    ck_assert_str_eq(set->quotas.items[2].upstream, "u1");
    ck_assert_uint_eq(set->quotas.items[2].slots, 2);
    leaseholder_destroy(holder);
}
END_TEST

START_TEST(test_revocation_is_confirmed_until_the_next_term)
{
    struct leaseholder *holder = make_holder();
    struct ck_renew_result result = make_result(1, 4, 0, 9);
    struct ck_revocation revocation = {(char *)(uintptr_t) "roster1", 3};
    struct ck_notify_args notice = {.leader_term = 4, .revision = 10};
    struct leaseholder_event notified = {.kind = LEASEHOLDER_EVENT_NOTIFIED};
    struct leaseholder_event confirm = {.kind =
                                            LEASEHOLDER_EVENT_CONFIRM_REVOKED};
    struct ck_notify_result reply;
    struct ck_database database = {.name = (char *)(uintptr_t) "roster1",
                                   .customer = (char *)(uintptr_t) "",
                                   .group = (char *)(uintptr_t) "",
                                   .primary = (char *)(uintptr_t) ""};

    (void)tick(holder, 5000 * MS);
    (void)answer(holder, 5010 * MS, &result);
    notice.revoked.revoked_val = &revocation;
    notice.revoked.revoked_len = 1;
    notified.notified = &notice;
    // A notification with an outdated leader term is ignored.
    notice.leader_term = 3;
    ck_assert_ptr_null(find_action(step(holder, 5020 * MS, &notified),
                                   LEASEHOLDER_ACTION_REVOKE));
    notice.leader_term = 4;
    const struct leaseholder_actions *actions =
        step(holder, 5030 * MS, &notified);
    ck_assert_ptr_nonnull(find_action(actions, LEASEHOLDER_ACTION_REVOKE));
    const struct leaseholder_action *send =
        find_action(actions, LEASEHOLDER_ACTION_SEND_RENEW);
    ck_assert_ptr_nonnull(send);
    ck_assert_uint_eq(send->send.args->confirmed.confirmed_len, 0);
    confirm.revocation = revocation;
    (void)step(holder, 5031 * MS, &confirm);
    leaseholder_fill_notify_result(holder, &reply);
    ck_assert_uint_eq(reply.confirmed.confirmed_len, 1);
    // The confirmation is sent right after the result of the in-flight call.
    result = make_result(2, 4, 9, 10);
    send = find_action(answer(holder, 5040 * MS, &result),
                       LEASEHOLDER_ACTION_SEND_RENEW);
    ck_assert_ptr_nonnull(send);
    ck_assert_uint_eq(send->send.args->confirmed.confirmed_len, 1);
    database.term = 4;
    result = make_result(3, 4, 10, 11);
    struct ck_view_delta delta = {.from_revision = 10, .to_revision = 11};
    delta.databases.databases_val = &database;
    delta.databases.databases_len = 1;
    changes_pack_delta(&delta, &result.delta);
    (void)answer(holder, 5050 * MS, &result);
    free(result.delta.data.data_val);
    leaseholder_fill_notify_result(holder, &reply);
    ck_assert_uint_eq(reply.confirmed.confirmed_len, 0);
    leaseholder_destroy(holder);
}
END_TEST

START_TEST(test_notification_switches_to_sender)
{
    struct leaseholder *holder = make_holder();
    struct ck_renew_result result = make_result(1, 4, 0, 9);
    struct leaseholder_address from = {"10.1.0.9", 7000};
    struct ck_notify_args notice = {.leader_term = 5, .revision = 10};
    struct leaseholder_event notified = {.kind = LEASEHOLDER_EVENT_NOTIFIED,
                                         .from = &from};

    // A call to a voter that never answers is in flight.
    (void)tick(holder, 5000 * MS);
    notified.notified = &notice;
    const struct leaseholder_action *send = find_action(
        step(holder, 5010 * MS, &notified), LEASEHOLDER_ACTION_SEND_RENEW);
    ck_assert_ptr_nonnull(send);
    ck_assert_str_eq(send->send.address.host, "10.1.0.9");
    ck_assert_uint_eq(send->send.args->sequence, 2);
    // The late result of the abandoned call is ignored.
    ck_assert_ptr_null(find_action(answer(holder, 5020 * MS, &result),
                                   LEASEHOLDER_ACTION_SET_LEASE));
    ck_assert_uint_eq(leaseholder_get_revision(holder), 0);
    leaseholder_destroy(holder);
}
END_TEST

START_TEST(test_suspicion_is_sent_and_expires)
{
    struct leaseholder *holder = make_holder();
    struct ck_renew_result result = make_result(1, 4, 0, 9);
    struct ck_suspicion suspicion = {(char *)(uintptr_t) "roster1",
                                     (char *)(uintptr_t) "u1", 3,
                                     CK_SUSPECT_REFUSED, 0};
    struct leaseholder_event event = {.kind = LEASEHOLDER_EVENT_SUSPECT};

    (void)tick(holder, 5000 * MS);
    (void)answer(holder, 5010 * MS, &result);
    event.suspicion = &suspicion;
    const struct leaseholder_action *send = find_action(
        step(holder, 5050 * MS, &event), LEASEHOLDER_ACTION_SEND_RENEW);
    ck_assert_ptr_nonnull(send);
    ck_assert_uint_eq(send->send.args->suspicions.suspicions_len, 1);
    result = make_result(2, 4, 9, 9);
    (void)answer(holder, 5060 * MS, &result);
    send = find_action(tick(holder, 6500 * MS), LEASEHOLDER_ACTION_SEND_RENEW);
    ck_assert_ptr_nonnull(send);
    ck_assert_uint_eq(send->send.args->suspicions.suspicions_len, 0);
    leaseholder_destroy(holder);
}
END_TEST

// Guards against an entry without connections that ignores a notification with
// a known revision: the leader has asked for an early renewal, and notifies
// once it can allocate connections.
START_TEST(test_hastened_holder_renews_when_notified)
{
    struct leaseholder *holder = make_holder();
    struct ck_renew_result result = make_result(1, 4, 0, 9);
    struct ck_notify_args notice = {.leader_term = 4, .revision = 9};
    struct leaseholder_event notified = {.kind = LEASEHOLDER_EVENT_NOTIFIED};

    (void)tick(holder, 5000 * MS);
    result.hasten_us = 60 * MS;
    (void)answer(holder, 5010 * MS, &result);
    notified.notified = &notice;
    ck_assert_ptr_nonnull(find_action(step(holder, 5020 * MS, &notified),
                                      LEASEHOLDER_ACTION_SEND_RENEW));
    result = make_result(2, 4, 9, 9);
    (void)answer(holder, 5030 * MS, &result);
    ck_assert_ptr_null(find_action(step(holder, 5040 * MS, &notified),
                                   LEASEHOLDER_ACTION_SEND_RENEW));
    leaseholder_destroy(holder);
}
END_TEST

// Guards against an entry that uses a lease which it has returned, or whose
// return is lost with one call.
START_TEST(test_returned_lease_is_not_held_again)
{
    struct leaseholder *holder = make_holder();
    struct ck_renew_result result = make_result(1, 4, 0, 9);
    struct leaseholder_event event = {.kind = LEASEHOLDER_EVENT_RETURN};
    struct leaseholder_event failed = {.kind = LEASEHOLDER_EVENT_RENEW_FAILED,
                                       .sequence = 3};

    (void)tick(holder, 5000 * MS);
    (void)answer(holder, 5010 * MS, &result);
    (void)tick(holder, 5300 * MS); // the call that is in flight
    const struct leaseholder_action *call = find_action(
        step(holder, 5310 * MS, &event), LEASEHOLDER_ACTION_SEND_RENEW);
    ck_assert_ptr_nonnull(call);
    ck_assert(call->send.args->returned);
    ck_assert_int_eq(leaseholder_get_valid_until_us(holder), 0);
    result = make_result(2, 4, 9, 9);
    ck_assert_ptr_null(find_action(answer(holder, 5320 * MS, &result),
                                   LEASEHOLDER_ACTION_SET_LEASE));
    (void)step(holder, 5510 * MS, &failed);
    call = find_action(tick(holder, 5810 * MS), LEASEHOLDER_ACTION_SEND_RENEW);
    ck_assert_ptr_nonnull(call);
    ck_assert(call->send.args->returned);
    ck_assert(!leaseholder_is_returned(holder));
    result = make_result(4, 4, 9, 9);
    const struct leaseholder_actions *actions =
        answer(holder, 5820 * MS, &result);
    ck_assert_ptr_nonnull(find_action(actions, LEASEHOLDER_ACTION_RETURNED));
    ck_assert_ptr_null(find_action(actions, LEASEHOLDER_ACTION_SET_LEASE));
    ck_assert(leaseholder_is_returned(holder));
    ck_assert_ptr_null(
        find_action(tick(holder, 9000 * MS), LEASEHOLDER_ACTION_SEND_RENEW));
    leaseholder_destroy(holder);
}
END_TEST

// Guards against a client with an unknown key that is refused although a
// renewal would have brought it, and against such clients loading the control
// VMs: renewals that are wanted come at once, at most every 100 ms.
START_TEST(test_wanted_renewals_are_limited)
{
    struct leaseholder *holder = make_holder();
    struct leaseholder_event want = {.kind = LEASEHOLDER_EVENT_WANT_RENEWAL};
    struct ck_renew_result result = make_result(1, 4, 0, 9);

    (void)tick(holder, 5000 * MS);
    // While a call is in flight, the wanted one follows its result.
    ck_assert_ptr_null(find_action(step(holder, 5010 * MS, &want),
                                   LEASEHOLDER_ACTION_SEND_RENEW));
    ck_assert_ptr_nonnull(find_action(answer(holder, 5020 * MS, &result),
                                      LEASEHOLDER_ACTION_SEND_RENEW));
    result = make_result(2, 4, 9, 9);
    (void)answer(holder, 5030 * MS, &result);
    const struct leaseholder_actions *actions = step(holder, 5040 * MS, &want);
    ck_assert_ptr_null(find_action(actions, LEASEHOLDER_ACTION_SEND_RENEW));
    ck_assert_int_eq(find_action(actions, LEASEHOLDER_ACTION_WAKE)->wake_at_us,
                     5120 * MS);
    ck_assert_ptr_nonnull(
        find_action(tick(holder, 5120 * MS), LEASEHOLDER_ACTION_SEND_RENEW));
    result = make_result(3, 4, 9, 9);
    (void)answer(holder, 5130 * MS, &result);
    ck_assert_ptr_nonnull(find_action(step(holder, 5230 * MS, &want),
                                      LEASEHOLDER_ACTION_SEND_RENEW));
    leaseholder_destroy(holder);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_wanted_renewals_are_limited);
    tcase_add_test(tests, test_lease_counts_from_sending);
    tcase_add_test(tests, test_relays_are_set_on_new_version);
    tcase_add_loop_test(tests, test_ignored_answer, 0, ARRAY_SIZE(ignored));
    tcase_add_test(tests, test_redirect_to_leader);
    tcase_add_test(tests, test_failures_back_off_over_all_voters);
    tcase_add_test(tests, test_unleased_backoff_is_short);
    tcase_add_test(tests, test_expiry_resets_quotas_to_guaranteed);
    tcase_add_test(tests, test_grant_after_its_lease_sets_quotas_once);
    tcase_add_test(tests, test_revocation_is_confirmed_until_the_next_term);
    tcase_add_test(tests, test_notification_switches_to_sender);
    tcase_add_test(tests, test_suspicion_is_sent_and_expires);
    tcase_add_test(tests, test_hastened_holder_renews_when_notified);
    tcase_add_test(tests, test_returned_lease_is_not_held_again);
}

TEST_MAIN("leaseholder", add_tests)
