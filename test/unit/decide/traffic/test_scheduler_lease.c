#include "test/fake/scheduler_rig.h"
#include "test/suite.h"

// The lease of the term in which a transaction or a write runs, with views
// that change meanwhile from the upstreams themselves to relays and back.

#define SESSION  1
#define LEASE_US (1000 * SCHEDULER_RIG_MS_US)

static struct scheduler_rig rig;
static char group[] = "fleet";
static char relay_name[] = "relay";
static char relay_host[] = "";
static char former_primary[] = "u0";

// Posts a view of the two upstreams in a term whose primary has this name.
static void
post_direct_view(uint64_t term, char *primary)
{
    rig.database.term = term;
    rig.database.primary = primary;
    scheduler_rig_post_view(&rig);
}

// Posts a view whose only upstream stands for the relays.
static void
post_relayed_view(uint64_t term)
{
    static struct ck_upstream upstream;
    static struct ck_database database;
    const struct scheduler_event event = {.kind = SCHEDULER_EVENT_VIEW,
                                          .view = {.customer = &rig.customer,
                                                   .database = &database,
                                                   .failure_domain = "noord",
                                                   .relayed = true}};

    upstream = rig.upstreams[0];
    upstream.name = relay_name;
    upstream.host = relay_host;
    database = rig.database;
    database.term = rig.database.term = term;
    database.primary = relay_name;
    database.upstreams.upstreams_len = 1;
    database.upstreams.upstreams_val = &upstream;
    scheduler_rig_step(&rig, &event);
}

// Starts with two upstreams, u0 the primary of term 1, and a lease.
static void
setup(void)
{
    scheduler_rig_init_guarded(&rig, 2);
    rig.database.group = group;
    post_direct_view(1, former_primary);
    scheduler_rig_post_lease(&rig, 1, rig.now_us + LEASE_US);
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

// Sends a statement that ends within a transaction, as its answer says.
static struct scheduler_action run_in_transaction(enum scheduler_class class)
{
    struct scheduler_action sent = send_request(class);

    scheduler_rig_post_result(&rig, sent.request, sent.conn,
                              SCHEDULER_RESULT_DONE, true, 100);
    ck_assert_ptr_nonnull(scheduler_rig_find_action(
        &rig, SCHEDULER_ACTION_ANSWER, sent.request));
    return sent;
}

// Guards against log lines that name no upstream, or the wrong role: a
// statement of a transaction runs where that began, whatever the view.
START_TEST(test_send_tells_where_transaction_runs)
{
    setup();
    struct scheduler_action first = run_in_transaction(SCHEDULER_CLASS_BEGIN);
    post_relayed_view(1);
    struct scheduler_action second =
        send_request(SCHEDULER_CLASS_IN_TRANSACTION);
    ck_assert_uint_eq(second.upstream, first.upstream);
    ck_assert_str_eq(
        scheduler_get_upstream_name(rig.scheduler, second.upstream), "u0");
    ck_assert(!second.on_replica);
    ck_assert_uint_eq(second.term, 1);
    ck_assert_int_eq(second.lease_left_us, LEASE_US);
    scheduler_rig_free(&rig);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_send_tells_where_transaction_runs);
}

TEST_MAIN("scheduler_lease", add_tests)
