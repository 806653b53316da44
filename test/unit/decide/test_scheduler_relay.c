#include "catkingrade/kernel/outcome.h"
#include "test/fake/traffic_rig.h"
#include "test/suite.h"

// The scheduler of an entry whose statements run over another one.

#define SESSION 1

static struct rig rig;
static char group[] = "fleet";

// Puts a view in force: of the relay alone, or of the upstreams themselves.
static void
post_view(bool relayed, uint64_t term)
{
    const struct scheduler_event event = {.kind = SCHEDULER_EVENT_VIEW,
                                          .view = {.customer = &rig.customer,
                                                   .database = &rig.database,
                                                   .failure_domain = "noord",
                                                   .relayed = relayed}};

    rig.database.term = term;
    rig_step(&rig, &event);
}

static void
setup(void)
{
    rig_init_guarded(&rig, 1);
    rig.database.group = group;
    post_view(true, 1);
    rig_open_session(&rig, SESSION, NULL);
    rig_open_all(&rig);
}

// Sends a request and returns the action that runs it.
static struct scheduler_action send_one(enum scheduler_class class)
{
    uint64_t request = rig_request(&rig, SESSION, class, 0);
    const struct scheduler_action *action =
        rig_find(&rig, SCHEDULER_ACTION_SEND, request);

    ck_assert_ptr_nonnull(action);
    return *action;
}

// Ends it with what the other entry says of the session. Returns the floor
// that the session is left with.
static struct scheduler_floor
end(const struct scheduler_action *sent, struct scheduler_floor floor)
{
    const struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_RESULT,
        .result = {.request = sent->request,
                   .conn = sent->conn,
                   .result = SCHEDULER_RESULT_DONE,
                   .answer_held = true,
                   .floor = floor}};

    rig_step(&rig, &event);
    const struct scheduler_action *action =
        rig_find(&rig, SCHEDULER_ACTION_ANSWER, sent->request);
    ck_assert_ptr_nonnull(action);
    return action->floor;
}

// The other entry sends and answers under its lease: this one needs none.
START_TEST(test_no_lease_is_needed)
{
    setup();
    struct scheduler_action read = send_one(SCHEDULER_CLASS_READ);
    (void)end(&read, (struct scheduler_floor){0});
    struct scheduler_action save = send_one(SCHEDULER_CLASS_WRITE);
    struct scheduler_floor floor = end(&save, (struct scheduler_floor){1, 70});
    ck_assert_uint_eq(floor.term, 1);
    ck_assert_uint_eq(floor.lsn, 70);
    rig_free(&rig);
}
END_TEST

// A save of a term that is not known here yet keeps that term: as one of the
// term before it would count only up to where that ended.
START_TEST(test_term_of_a_save_is_the_other_entrys)
{
    setup();
    struct scheduler_action save = send_one(SCHEDULER_CLASS_WRITE);
    struct scheduler_floor floor = end(&save, (struct scheduler_floor){2, 70});
    ck_assert_uint_eq(floor.term, 2);
    // The next read is not held until the view comes: it goes over the relay.
    (void)send_one(SCHEDULER_CLASS_READ);
    rig_free(&rig);
}
END_TEST

// A new term ends nothing that another entry runs.
START_TEST(test_new_term_cuts_nothing)
{
    setup();
    struct scheduler_action save = send_one(SCHEDULER_CLASS_WRITE);
    post_view(true, 2);
    ck_assert_ptr_null(rig_find(&rig, SCHEDULER_ACTION_UNKNOWN, 0));
    struct scheduler_floor floor = end(&save, (struct scheduler_floor){2, 71});
    ck_assert_uint_eq(floor.lsn, 71);
    rig_free(&rig);
}
END_TEST

// Once the entry goes its own way, it needs its own lease again.
START_TEST(test_own_way_needs_a_lease)
{
    setup();
    struct scheduler_action save = send_one(SCHEDULER_CLASS_WRITE);
    post_view(false, 1);
    // What was sent over the relay still ends by the other entry's word.
    (void)end(&save, (struct scheduler_floor){1, 72});
    uint64_t request = rig_request(&rig, SESSION, SCHEDULER_CLASS_WRITE, 0);
    const struct scheduler_action *action =
        rig_find(&rig, SCHEDULER_ACTION_REFUSE, request);
    ck_assert_ptr_nonnull(action);
    ck_assert_int_eq(action->outcome, OUTCOME_UNAVAILABLE);
    rig_free(&rig);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_no_lease_is_needed);
    tcase_add_test(tests, test_term_of_a_save_is_the_other_entrys);
    tcase_add_test(tests, test_new_term_cuts_nothing);
    tcase_add_test(tests, test_own_way_needs_a_lease);
}

TEST_MAIN("traffic_relay", add_tests)
