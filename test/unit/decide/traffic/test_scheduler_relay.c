#include "catkingrade/kernel/outcome.h"
#include "test/fake/scheduler_rig.h"
#include "test/suite.h"

// The scheduler of an entry that relays requests to another entry.

#define SESSION 1

static struct scheduler_rig rig;
static char group[] = "fleet";

// Posts a view whose only upstream is the relay entry (relayed), or a view of
// the upstreams themselves.
static void
post_view(bool relayed, uint64_t term)
{
    const struct scheduler_event event = {.kind = SCHEDULER_EVENT_VIEW,
                                          .view = {.customer = &rig.customer,
                                                   .database = &rig.database,
                                                   .failure_domain = "noord",
                                                   .relayed = relayed}};

    rig.database.term = term;
    scheduler_rig_step(&rig, &event);
}

static void
setup(void)
{
    scheduler_rig_init_guarded(&rig, 1);
    rig.database.group = group;
    post_view(true, 1);
    scheduler_rig_open_session(&rig, SESSION, NULL);
    scheduler_rig_complete_opens(&rig);
}

// Posts a request and returns its SEND action.
static struct scheduler_action send_request(enum scheduler_class class)
{
    uint64_t request = scheduler_rig_post_request(&rig, SESSION, class, 0);
    const struct scheduler_action *action =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, request);

    ck_assert_ptr_nonnull(action);
    return *action;
}

// Posts the result of a request with the session floor that the relay entry
// reports. Returns the new floor of the session.
static struct scheduler_floor
finish_request(const struct scheduler_action *sent,
               struct scheduler_floor floor)
{
    const struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_RESULT,
        .result = {.request = sent->request,
                   .conn = sent->conn,
                   .result = SCHEDULER_RESULT_DONE,
                   .answer_held = true,
                   .floor = floor}};

    scheduler_rig_step(&rig, &event);
    const struct scheduler_action *action = scheduler_rig_find_action(
        &rig, SCHEDULER_ACTION_ANSWER, sent->request);
    ck_assert_ptr_nonnull(action);
    return action->floor;
}

// Guards against refusals for want of a lease: the relay entry acknowledges
// under its own lease, so this entry needs none.
START_TEST(test_relayed_requests_need_no_lease)
{
    setup();
    struct scheduler_action read = send_request(SCHEDULER_CLASS_READ);
    (void)finish_request(&read, (struct scheduler_floor){0});
    struct scheduler_action write = send_request(SCHEDULER_CLASS_WRITE);
    struct scheduler_floor floor =
        finish_request(&write, (struct scheduler_floor){1, 70});
    ck_assert_uint_eq(floor.term, 1);
    ck_assert_uint_eq(floor.lsn, 70);
    scheduler_rig_free(&rig);
}
END_TEST

// Guards against a read that misses its session's own write: a write in a term
// that this entry does not know yet must keep that term in the floor. A floor
// in the previous term would count only up to the position at which it ended.
START_TEST(test_floor_takes_term_of_relay_entry)
{
    setup();
    struct scheduler_action write = send_request(SCHEDULER_CLASS_WRITE);
    struct scheduler_floor floor =
        finish_request(&write, (struct scheduler_floor){2, 70});
    ck_assert_uint_eq(floor.term, 2);
    // The next read does not wait for a view with the term: it is relayed.
    (void)send_request(SCHEDULER_CLASS_READ);
    scheduler_rig_free(&rig);
}
END_TEST

// Guards against requests that end as unknown when a view with a new term
// comes while the relay entry still runs them.
START_TEST(test_new_term_keeps_relayed_requests)
{
    setup();
    struct scheduler_action write = send_request(SCHEDULER_CLASS_WRITE);
    post_view(true, 2);
    ck_assert_ptr_null(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_UNKNOWN, 0));
    struct scheduler_floor floor =
        finish_request(&write, (struct scheduler_floor){2, 71});
    ck_assert_uint_eq(floor.lsn, 71);
    scheduler_rig_free(&rig);
}
END_TEST

// Guards against writes without a lease: once requests are no longer relayed,
// the entry needs its own lease again.
START_TEST(test_lease_needed_after_relaying_ends)
{
    setup();
    struct scheduler_action write = send_request(SCHEDULER_CLASS_WRITE);
    post_view(false, 1);
    // The relayed request still ends with the result of the relay entry.
    (void)finish_request(&write, (struct scheduler_floor){1, 72});
    uint64_t request =
        scheduler_rig_post_request(&rig, SESSION, SCHEDULER_CLASS_WRITE, 0);
    const struct scheduler_action *action =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE, request);
    ck_assert_ptr_nonnull(action);
    ck_assert_int_eq(action->outcome, OUTCOME_UNAVAILABLE);
    scheduler_rig_free(&rig);
}
END_TEST

// Reports that the connection of a request was lost, then advances the clock
// past the backoff of a retry. Returns whether the request was sent again.
static bool
lose_and_check_retry(const struct scheduler_action *sent,
                     enum scheduler_result result)
{
    scheduler_rig_post_result(&rig, sent->request, sent->conn, result, false,
                              0);
    bool ended = scheduler_rig_find_action(&rig, SCHEDULER_ACTION_UNKNOWN,
                                           sent->request) != NULL ||
                 scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE,
                                           sent->request) != NULL;
    scheduler_rig_tick(&rig, 10 * SCHEDULER_RIG_MS_US);
    scheduler_rig_complete_opens(&rig);
    bool sent_again = scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND,
                                                sent->request) != NULL;
    ck_assert(ended != sent_again);
    return sent_again;
}

// Sends reads until the retry budget allows a retry.
static void
fill_retry_budget(void)
{
    for (int i = 0; i < 20; i++) {
        struct scheduler_action sent = send_request(SCHEDULER_CLASS_READ);
        (void)finish_request(&sent, (struct scheduler_floor){0});
    }
}

// Guards against a save that is refused although only a stopping relay has
// seen it, and against one that runs twice because a relay may have run it.
START_TEST(test_save_goes_to_next_relay_unless_it_may_have_run)
{
    setup();
    fill_retry_budget();
    struct scheduler_action sent = send_request(SCHEDULER_CLASS_WRITE);
    ck_assert(lose_and_check_retry(&sent, SCHEDULER_RESULT_NOT_SENT));
    scheduler_rig_free(&rig);
    setup();
    fill_retry_budget();
    sent = send_request(SCHEDULER_CLASS_WRITE);
    ck_assert(!lose_and_check_retry(&sent, SCHEDULER_RESULT_CONN_LOST));
    scheduler_rig_free(&rig);
}
END_TEST

// Guards against refusals by an entry that has just started, whose retry
// budget is empty, when its relay ends the session.
START_TEST(test_first_requests_go_to_next_relay)
{
    static const enum scheduler_class classes[] = {
        SCHEDULER_CLASS_READ, SCHEDULER_CLASS_WRITE, SCHEDULER_CLASS_BEGIN};

    setup();
    struct scheduler_action sent = send_request(classes[_i]);
    ck_assert(lose_and_check_retry(&sent, SCHEDULER_RESULT_NOT_SENT));
    scheduler_rig_free(&rig);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_relayed_requests_need_no_lease);
    tcase_add_test(tests, test_floor_takes_term_of_relay_entry);
    tcase_add_test(tests, test_new_term_keeps_relayed_requests);
    tcase_add_test(tests, test_save_goes_to_next_relay_unless_it_may_have_run);
    tcase_add_test(tests, test_lease_needed_after_relaying_ends);
    tcase_add_loop_test(tests, test_first_requests_go_to_next_relay, 0, 3);
}

TEST_MAIN("scheduler_relay", add_tests)
