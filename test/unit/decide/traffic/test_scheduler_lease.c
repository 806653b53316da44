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
static char next_primary[] = "u1";

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

// Lets the lease run out.
static void
pass_lease(void)
{
    scheduler_rig_tick(&rig, LEASE_US + SCHEDULER_RIG_MS_US);
}

// Changes to relays, and back to a new term whose lease this entry holds.
static void
pass_term_on_relays(void)
{
    pass_lease();
    post_relayed_view(1);
    scheduler_rig_post_lease(&rig, 2, rig.now_us + LEASE_US);
    post_direct_view(2, next_primary);
    scheduler_rig_complete_opens(&rig);
}

// Asserts that a COMMIT is refused at once, without being sent, and that the
// connection of its transaction has been closed by then: nothing is stored.
static void
check_commit_is_refused(void)
{
    uint64_t request =
        scheduler_rig_post_request(&rig, SESSION, SCHEDULER_CLASS_COMMIT, 0);

    ck_assert_ptr_null(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, request));
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE, request));
}

static void
check_is_not_acknowledged(uint64_t request)
{
    ck_assert_ptr_null(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_ANSWER, request));
    ck_assert_ptr_null(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_WARN, request));
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

// Guards against a commit on a superseded primary that is acknowledged and
// lost: relays acknowledge under their own lease, this entry does not.
START_TEST(test_relays_give_no_lease_to_open_transaction)
{
    setup();
    struct scheduler_action begin = run_in_transaction(SCHEDULER_CLASS_BEGIN);
    pass_lease();
    post_relayed_view(1);
    scheduler_rig_complete_opens(&rig);
    check_commit_is_refused();
    const struct scheduler_action *action =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_CLOSE, 0);
    ck_assert_ptr_nonnull(action);
    ck_assert_uint_eq(action->conn, begin.conn);
    // The client begins anew, at a relay.
    (void)run_in_transaction(SCHEDULER_CLASS_BEGIN);
    scheduler_rig_free(&rig);
}
END_TEST

// Guards against the same without relays: what can't be acknowledged is
// refused and not sent.
START_TEST(test_commit_without_lease_is_not_sent)
{
    setup();
    (void)run_in_transaction(SCHEDULER_CLASS_BEGIN);
    pass_lease();
    check_commit_is_refused();
    scheduler_rig_free(&rig);
}
END_TEST

// Guards against commits that are refused though the entry holds the lease:
// relays that control has assigned take new transactions only.
START_TEST(test_open_transaction_commits_under_own_lease)
{
    setup();
    (void)run_in_transaction(SCHEDULER_CLASS_BEGIN);
    post_relayed_view(1);
    struct scheduler_action commit = send_request(SCHEDULER_CLASS_COMMIT);
    scheduler_rig_post_result(&rig, commit.request, commit.conn,
                              SCHEDULER_RESULT_DONE, false, 101);
    ck_assert_ptr_nonnull(scheduler_rig_find_action(
        &rig, SCHEDULER_ACTION_ANSWER, commit.request));
    scheduler_rig_free(&rig);
}
END_TEST

// Guards against refusals of what needs no lease: a read-only transaction.
START_TEST(test_read_only_transaction_ends_without_lease)
{
    setup();
    (void)run_in_transaction(SCHEDULER_CLASS_BEGIN_READ_ONLY);
    pass_lease();
    post_relayed_view(1);
    struct scheduler_action commit = send_request(SCHEDULER_CLASS_COMMIT);
    scheduler_rig_post_result(&rig, commit.request, commit.conn,
                              SCHEDULER_RESULT_DONE, false, 100);
    ck_assert_ptr_nonnull(scheduler_rig_find_action(
        &rig, SCHEDULER_ACTION_ANSWER, commit.request));
    scheduler_rig_free(&rig);
}
END_TEST

// Guards against an acknowledgement of what was in flight at the primary when
// the lease ran out and the entry changed to relays. After a renewal of the
// lease, no other primary has been promoted, and it is acknowledged.
START_TEST(test_write_in_flight_waits_for_own_lease)
{
    static const enum scheduler_class classes[] = {SCHEDULER_CLASS_WRITE,
                                                   SCHEDULER_CLASS_COMMIT};

    setup();
    if (classes[_i] == SCHEDULER_CLASS_COMMIT) {
        (void)run_in_transaction(SCHEDULER_CLASS_BEGIN);
    }
    struct scheduler_action write = send_request(classes[_i]);
    pass_lease();
    post_relayed_view(1);
    scheduler_rig_post_result(&rig, write.request, write.conn,
                              SCHEDULER_RESULT_DONE, false, 101);
    check_is_not_acknowledged(write.request);
    scheduler_rig_post_lease(&rig, 1, rig.now_us + LEASE_US);
    post_direct_view(1, former_primary);
    scheduler_rig_tick(&rig, 10 * SCHEDULER_RIG_MS_US);
    ck_assert_ptr_nonnull(scheduler_rig_find_action(
        &rig, SCHEDULER_ACTION_ANSWER, write.request));
    scheduler_rig_free(&rig);
}
END_TEST

// Guards against a transaction on the former primary that outlives the term
// because relays stood for the primary when it ended: its COMMIT would be
// acknowledged under the lease of the new term.
START_TEST(test_transaction_ends_with_its_term)
{
    bool relays_begin_term = _i == 1;

    setup();
    (void)run_in_transaction(SCHEDULER_CLASS_BEGIN);
    pass_lease();
    post_relayed_view(1);
    if (relays_begin_term) {
        post_relayed_view(2);
    }
    scheduler_rig_post_lease(&rig, 2, rig.now_us + LEASE_US);
    post_direct_view(2, next_primary);
    check_commit_is_refused();
    scheduler_rig_free(&rig);
}
END_TEST

// Guards against the same where the former primary was marked as lost before
// its term ended.
START_TEST(test_transaction_ends_with_term_of_lost_primary)
{
    setup();
    (void)run_in_transaction(SCHEDULER_CLASS_BEGIN);
    rig.upstreams[0].state = CK_UPSTREAM_LOST;
    post_direct_view(1, former_primary);
    scheduler_rig_post_lease(&rig, 2, rig.now_us + LEASE_US);
    post_direct_view(2, next_primary);
    check_commit_is_refused();
    scheduler_rig_free(&rig);
}
END_TEST

// Guards against a write that was in flight at the former primary when the
// term ended on relays: it ends as unknown, and its position, of a log that
// may have been given up, is not the session's floor in the new term.
START_TEST(test_write_in_flight_ends_with_its_term)
{
    setup();
    struct scheduler_action write = send_request(SCHEDULER_CLASS_WRITE);
    pass_term_on_relays();
    scheduler_rig_post_result(&rig, write.request, write.conn,
                              SCHEDULER_RESULT_DONE, false, 101);
    check_is_not_acknowledged(write.request);
    struct scheduler_action read = send_request(SCHEDULER_CLASS_READ);
    scheduler_rig_post_result(&rig, read.request, read.conn,
                              SCHEDULER_RESULT_DONE, false, 0);
    const struct scheduler_action *answer =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_ANSWER, read.request);
    ck_assert_ptr_nonnull(answer);
    ck_assert_uint_eq(answer->floor.lsn, 0);
    scheduler_rig_free(&rig);
}
END_TEST

// Guards against statements that run in vain: a transaction whose term has
// ended is refused at its next statement, not only at its COMMIT.
START_TEST(test_ended_transaction_is_refused_at_next_statement)
{
    setup();
    (void)run_in_transaction(SCHEDULER_CLASS_BEGIN);
    pass_term_on_relays();
    uint64_t request = scheduler_rig_post_request(
        &rig, SESSION, SCHEDULER_CLASS_IN_TRANSACTION, 0);
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE, request));
    scheduler_rig_free(&rig);
}
END_TEST

// Guards against a COMMIT AND CHAIN, or a batch that commits and begins anew,
// that is acknowledged after its term's lease has run out.
START_TEST(test_commit_that_opens_transaction_needs_lease)
{
    static const enum scheduler_class classes[] = {SCHEDULER_CLASS_COMMIT,
                                                   SCHEDULER_CLASS_WRITE};

    setup();
    if (classes[_i] == SCHEDULER_CLASS_COMMIT) {
        (void)run_in_transaction(SCHEDULER_CLASS_BEGIN);
    }
    struct scheduler_action sent = send_request(classes[_i]);
    pass_lease();
    scheduler_rig_post_result(&rig, sent.request, sent.conn,
                              SCHEDULER_RESULT_DONE, true, 200);
    check_is_not_acknowledged(sent.request);
    scheduler_rig_post_lease(&rig, 1, rig.now_us + LEASE_US);
    scheduler_rig_tick(&rig, 10 * SCHEDULER_RIG_MS_US);
    ck_assert_ptr_nonnull(scheduler_rig_find_action(
        &rig, SCHEDULER_ACTION_ANSWER, sent.request));
    // The transaction that it has opened goes on.
    (void)run_in_transaction(SCHEDULER_CLASS_IN_TRANSACTION);
    scheduler_rig_free(&rig);
}
END_TEST

// Guards against the same by a transaction that follows a read-only one on its
// connection without a BEGIN of its own.
START_TEST(test_transaction_after_read_only_one_needs_lease)
{
    setup();
    (void)run_in_transaction(SCHEDULER_CLASS_BEGIN_READ_ONLY);
    (void)run_in_transaction(SCHEDULER_CLASS_COMMIT);
    (void)run_in_transaction(SCHEDULER_CLASS_IN_TRANSACTION);
    pass_lease();
    check_commit_is_refused();
    scheduler_rig_free(&rig);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_send_tells_where_transaction_runs);
    tcase_add_test(tests, test_relays_give_no_lease_to_open_transaction);
    tcase_add_test(tests, test_commit_without_lease_is_not_sent);
    tcase_add_test(tests, test_open_transaction_commits_under_own_lease);
    tcase_add_test(tests, test_read_only_transaction_ends_without_lease);
    tcase_add_loop_test(tests, test_write_in_flight_waits_for_own_lease, 0, 2);
    tcase_add_loop_test(tests, test_transaction_ends_with_its_term, 0, 2);
    tcase_add_test(tests, test_transaction_ends_with_term_of_lost_primary);
    tcase_add_test(tests, test_write_in_flight_ends_with_its_term);
    tcase_add_test(tests, test_ended_transaction_is_refused_at_next_statement);
    tcase_add_loop_test(tests, test_commit_that_opens_transaction_needs_lease,
                        0, 2);
    tcase_add_test(tests, test_transaction_after_read_only_one_needs_lease);
}

TEST_MAIN("scheduler_lease", add_tests)
