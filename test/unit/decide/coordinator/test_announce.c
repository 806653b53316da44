#include <check.h>
#include <string.h>

#include "catkingrade/decide/coordinator/announce.h"
#include "catkingrade/kernel/outcome.h"
#include "test/fake/changes.h"
#include "test/suite.h"

#define MS INT64_C(1000)

static const struct announce_params params = {
    .expiry_us = 2000 * MS, .publish_interval_us = 1000 * MS};

struct fixture {
    struct group_state *group;
    struct announce *announce;
    int changes;
    int expiries;
};

// Applies a proposed change to the group at once.
static void
apply_change(void *data, ck_change_kind kind,
             const struct ck_upstream *upstream)
{
    struct fixture *fixture = data;
    struct ck_change change = {.kind = kind};

    change.ck_change_u.upstream = *upstream;
    fixture->changes += kind == CK_CHANGE_UPSTREAM ? 1 : 0;
    fixture->expiries += kind == CK_CHANGE_UPSTREAM_EXPIRE ? 1 : 0;
    ck_assert_int_eq(changes_apply(fixture->group, 0, &change, "", -1, NULL),
                     OUTCOME_OK);
    announce_end_proposal(fixture->announce, upstream->name);
}

static struct fixture
make_fixture(void)
{
    struct fixture fixture = {.group = group_create(GROUP_FLEET_NAME),
                              .announce = announce_create(&params)};

    changes_set_customer(fixture.group, "[{\"name\": \"roster1\"}]", "wait");
    return fixture;
}

static void
free_fixture(struct fixture *fixture)
{
    announce_destroy(fixture->announce);
    group_destroy(fixture->group);
}

static enum announce_verdict
announce_once(struct fixture *fixture, int64_t now_us,
              struct ck_upstream *upstream)
{
    struct group_result reason;
    enum announce_verdict verdict = announce_handle_upstream(
        fixture->announce, now_us, fixture->group, upstream, &reason);

    if (verdict == ANNOUNCE_PUBLISH) {
        apply_change(fixture, CK_CHANGE_UPSTREAM, upstream);
    }
    return verdict;
}

// Guards against a flood of log entries: an upstream that changes its state
// with each announcement is published at most once per publish interval.
START_TEST(test_flapping_is_rate_limited)
{
    struct fixture fixture = make_fixture();
    struct ck_upstream upstream =
        changes_make_upstream("u1", "roster1", "noord", "10.0.0.1");

    for (int64_t at_ms = 0; at_ms < 10000; at_ms += 50) {
        upstream.state =
            at_ms / 50 % 2 == 0 ? CK_UPSTREAM_READY : CK_UPSTREAM_LEAVING;
        (void)announce_once(&fixture, at_ms * MS, &upstream);
        announce_tick(fixture.announce, at_ms * MS, fixture.group,
                      apply_change, &fixture);
    }
    ck_assert_int_gt(fixture.changes, 5);
    ck_assert_int_le(fixture.changes, 10);
    ck_assert_int_eq(fixture.expiries, 0);
    free_fixture(&fixture);
}
END_TEST

START_TEST(test_deferred_change_is_published)
{
    struct fixture fixture = make_fixture();
    struct ck_upstream upstream =
        changes_make_upstream("u1", "roster1", "noord", "10.0.0.1");

    ck_assert_int_eq(announce_once(&fixture, 0, &upstream), ANNOUNCE_PUBLISH);
    upstream.state = CK_UPSTREAM_LEAVING;
    ck_assert_int_eq(announce_once(&fixture, 100 * MS, &upstream),
                     ANNOUNCE_DEFERRED);
    announce_tick(fixture.announce, 900 * MS, fixture.group, apply_change,
                  &fixture);
    ck_assert_int_eq(group_find_upstream(fixture.group, "u1")->state,
                     CK_UPSTREAM_READY);
    announce_tick(fixture.announce, 1000 * MS, fixture.group, apply_change,
                  &fixture);
    ck_assert_int_eq(group_find_upstream(fixture.group, "u1")->state,
                     CK_UPSTREAM_LEAVING);
    ck_assert_int_eq(announce_once(&fixture, 1100 * MS, &upstream),
                     ANNOUNCE_UNCHANGED);
    free_fixture(&fixture);
}
END_TEST

START_TEST(test_silent_replica_expires)
{
    struct fixture fixture = make_fixture();
    struct ck_upstream one =
        changes_make_upstream("u1", "roster1", "noord", "10.0.0.1");
    struct ck_upstream two =
        changes_make_upstream("u2", "roster1", "noord", "10.0.0.2");
    struct ck_change change = {.kind = CK_CHANGE_PRIMARY};

    (void)announce_once(&fixture, 0, &one);
    (void)announce_once(&fixture, 0, &two);
    change.ck_change_u.primary.database = (char *)"roster1";
    change.ck_change_u.primary.term = 1;
    change.ck_change_u.primary.primary = (char *)"u1";
    changes_apply(fixture.group, 0, &change, "", -1, NULL);
    announce_tick(fixture.announce, 1999 * MS, fixture.group, apply_change,
                  &fixture);
    ck_assert_int_eq(fixture.expiries, 0);
    announce_tick(fixture.announce, 2000 * MS, fixture.group, apply_change,
                  &fixture);
    ck_assert_int_eq(fixture.expiries, 1);
    ck_assert_int_eq(group_find_upstream(fixture.group, "u2")->state,
                     CK_UPSTREAM_LOST);
    // Failover handles the loss of the primary.
    ck_assert_int_eq(group_find_upstream(fixture.group, "u1")->state,
                     CK_UPSTREAM_READY);
    announce_tick(fixture.announce, 2100 * MS, fixture.group, apply_change,
                  &fixture);
    ck_assert_int_eq(fixture.expiries, 1);
    ck_assert_int_eq(announce_once(&fixture, 5000 * MS, &two),
                     ANNOUNCE_PUBLISH);
    free_fixture(&fixture);
}
END_TEST

// Guards against mass expiry after a change of Raft leader: the new leader has
// not received any announcement yet when the first tick comes.
START_TEST(test_load_restarts_expiry)
{
    struct fixture fixture = make_fixture();
    struct ck_upstream one =
        changes_make_upstream("u1", "roster1", "noord", "10.0.0.1");

    (void)announce_once(&fixture, 0, &one);
    announce_destroy(fixture.announce);
    fixture.announce = announce_create(&params);
    announce_load(fixture.announce, 60000 * MS, fixture.group);
    announce_tick(fixture.announce, 61999 * MS, fixture.group, apply_change,
                  &fixture);
    ck_assert_int_eq(fixture.expiries, 0);
    announce_tick(fixture.announce, 62000 * MS, fixture.group, apply_change,
                  &fixture);
    ck_assert_int_eq(fixture.expiries, 1);
    free_fixture(&fixture);
}
END_TEST

START_TEST(test_refusal_has_a_reason)
{
    struct fixture fixture = make_fixture();
    struct group_result reason;
    struct ck_upstream one =
        changes_make_upstream("u1", "roster1", "noord", "10.0.0.1");
    struct ck_upstream two =
        changes_make_upstream("u2", "roster1", "noord", "10.0.0.1");

    (void)announce_once(&fixture, 0, &one);
    ck_assert_int_eq(announce_handle_upstream(fixture.announce, 0,
                                              fixture.group, &two, &reason),
                     ANNOUNCE_REFUSED);
    ck_assert_int_eq(reason.outcome, OUTCOME_CONFLICT);
    ck_assert_str_eq(reason.message,
                     "address 10.0.0.1:5432 is that of upstream u1");
    free_fixture(&fixture);
}
END_TEST

// Guards against an upstream that comes back after its withdrawal: an earlier
// announcement of the same incarnation arrives late. Only an announcement of
// the next incarnation is accepted.
START_TEST(test_withdrawal_ends_incarnation)
{
    struct fixture fixture = make_fixture();
    struct group_result reason;
    struct ck_upstream one =
        changes_make_upstream("u1", "roster1", "noord", "10.0.0.1");

    one.incarnation = 100;
    one.sequence = 1;
    one.state = CK_UPSTREAM_LOST;
    ck_assert_int_eq(announce_handle_upstream(fixture.announce, 0,
                                              fixture.group, &one, &reason),
                     ANNOUNCE_UNCHANGED);
    one.state = CK_UPSTREAM_READY;
    ck_assert_int_eq(announce_once(&fixture, 0, &one), ANNOUNCE_PUBLISH);
    one.state = CK_UPSTREAM_LOST;
    ck_assert_int_eq(announce_handle_upstream(fixture.announce, 1,
                                              fixture.group, &one, &reason),
                     ANNOUNCE_WITHDRAW);
    announce_end_proposal(fixture.announce, "u1");
    one.state = CK_UPSTREAM_READY;
    one.sequence = 2;
    ck_assert_int_eq(announce_handle_upstream(fixture.announce, 2,
                                              fixture.group, &one, &reason),
                     ANNOUNCE_UNCHANGED);
    one.incarnation = 200;
    one.sequence = 1;
    ck_assert_int_eq(announce_handle_upstream(fixture.announce, 2000000,
                                              fixture.group, &one, &reason),
                     ANNOUNCE_PUBLISH);
    free_fixture(&fixture);
}
END_TEST

// Applies the withdrawal of an upstream as the coordinator proposes it.
static void
apply_withdrawal(struct fixture *fixture, const char *name)
{
    struct ck_change change = {.kind = CK_CHANGE_UPSTREAM_EXPIRE};

    change.ck_change_u.upstream = *group_find_upstream(fixture->group, name);
    change.ck_change_u.upstream.state = CK_UPSTREAM_LEAVING;
    change.ck_change_u.upstream.sequence = GROUP_SEQUENCE_WITHDRAWN;
    ck_assert_int_eq(changes_apply(fixture->group, 0, &change, "", -1, NULL),
                     OUTCOME_OK);
    announce_end_proposal(fixture->announce, name);
}

// Continues with an empty table, as a new leader does.
static void
change_leader(struct fixture *fixture, int64_t now_us)
{
    announce_destroy(fixture->announce);
    fixture->announce = announce_create(&params);
    announce_load(fixture->announce, now_us, fixture->group);
}

// Guards against an upstream that has left and is used again: the leader
// changes after its withdrawal, and one of its announcements arrives late.
START_TEST(test_withdrawal_holds_after_leader_change)
{
    struct fixture fixture = make_fixture();
    struct group_result reason;
    struct ck_upstream one =
        changes_make_upstream("u1", "roster1", "noord", "10.0.0.1");

    one.incarnation = 100;
    one.sequence = 3;
    ck_assert_int_eq(announce_once(&fixture, 0, &one), ANNOUNCE_PUBLISH);
    apply_withdrawal(&fixture, "u1");
    change_leader(&fixture, 1000 * MS);
    one.sequence = 4;
    ck_assert_int_eq(announce_handle_upstream(fixture.announce, 1001 * MS,
                                              fixture.group, &one, &reason),
                     ANNOUNCE_UNCHANGED);
    one.incarnation = 200;
    one.sequence = 1;
    ck_assert_int_eq(announce_handle_upstream(fixture.announce, 1002 * MS,
                                              fixture.group, &one, &reason),
                     ANNOUNCE_PUBLISH);
    free_fixture(&fixture);
}
END_TEST

// The same while the withdrawal is being proposed by a new leader, to which
// the upstream has not announced itself before.
START_TEST(test_proposed_withdrawal_holds_for_new_leader)
{
    struct fixture fixture = make_fixture();
    struct group_result reason;
    struct ck_upstream one =
        changes_make_upstream("u1", "roster1", "noord", "10.0.0.1");
    struct ck_upstream gone = {.name = one.name, .state = CK_UPSTREAM_LOST};

    one.incarnation = 100;
    one.sequence = 3;
    one.state = CK_UPSTREAM_LEAVING;
    ck_assert_int_eq(announce_once(&fixture, 0, &one), ANNOUNCE_PUBLISH);
    change_leader(&fixture, 1000 * MS);
    ck_assert_int_eq(announce_handle_upstream(fixture.announce, 1001 * MS,
                                              fixture.group, &gone, &reason),
                     ANNOUNCE_WITHDRAW);
    one.sequence = 4;
    one.state = CK_UPSTREAM_READY;
    ck_assert_int_eq(announce_handle_upstream(fixture.announce, 1002 * MS,
                                              fixture.group, &one, &reason),
                     ANNOUNCE_UNCHANGED);
    free_fixture(&fixture);
}
END_TEST

// Guards against an upstream that is never accepted again: one that does not
// say when it was started begins its sequence numbers anew.
START_TEST(test_unknown_incarnation_keeps_no_sequence)
{
    struct fixture fixture = make_fixture();
    struct group_result reason;
    struct ck_upstream one =
        changes_make_upstream("u1", "roster1", "noord", "10.0.0.1");

    one.sequence = 50;
    ck_assert_int_eq(announce_once(&fixture, 0, &one), ANNOUNCE_PUBLISH);
    change_leader(&fixture, 1000 * MS);
    one.sequence = 1;
    one.port = 5433;
    ck_assert_int_eq(announce_handle_upstream(fixture.announce, 1001 * MS,
                                              fixture.group, &one, &reason),
                     ANNOUNCE_PUBLISH);
    free_fixture(&fixture);
}
END_TEST

// The same for an upstream that had been silent before it left.
START_TEST(test_lost_upstream_can_be_withdrawn)
{
    struct fixture fixture = make_fixture();
    struct group_result reason;
    struct ck_upstream one =
        changes_make_upstream("u1", "roster1", "noord", "10.0.0.1");

    one.incarnation = 100;
    one.sequence = 3;
    ck_assert_int_eq(announce_once(&fixture, 0, &one), ANNOUNCE_PUBLISH);
    announce_tick(fixture.announce, 3000 * MS, fixture.group, apply_change,
                  &fixture);
    ck_assert_int_eq(fixture.expiries, 1);
    one.state = CK_UPSTREAM_LOST;
    ck_assert_int_eq(announce_handle_upstream(fixture.announce, 3100 * MS,
                                              fixture.group, &one, &reason),
                     ANNOUNCE_WITHDRAW);
    apply_withdrawal(&fixture, "u1");
    ck_assert_int_eq(group_find_upstream(fixture.group, "u1")->state,
                     CK_UPSTREAM_LOST);
    one.state = CK_UPSTREAM_READY;
    one.sequence = 4;
    ck_assert_int_eq(announce_handle_upstream(fixture.announce, 6000 * MS,
                                              fixture.group, &one, &reason),
                     ANNOUNCE_UNCHANGED);
    free_fixture(&fixture);
}
END_TEST

// Guards against an upstream that leaves and gets statements again: the leader
// changes after it has announced that it leaves, and an earlier announcement
// arrives late.
START_TEST(test_late_announcement_is_stale_for_new_leader)
{
    struct fixture fixture = make_fixture();
    struct group_result reason;
    struct ck_upstream one =
        changes_make_upstream("u1", "roster1", "noord", "10.0.0.1");

    one.incarnation = 100;
    one.sequence = 5;
    one.state = CK_UPSTREAM_LEAVING;
    ck_assert_int_eq(announce_once(&fixture, 0, &one), ANNOUNCE_PUBLISH);
    change_leader(&fixture, 1000 * MS);
    one.sequence = 4;
    one.state = CK_UPSTREAM_READY;
    ck_assert_int_eq(announce_handle_upstream(fixture.announce, 3000 * MS,
                                              fixture.group, &one, &reason),
                     ANNOUNCE_UNCHANGED);
    free_fixture(&fixture);
}
END_TEST

// Guards against outdated state: an announcement arrives after one with a
// higher sequence number, or after one of a later incarnation.
START_TEST(test_stale_announcement_is_ignored)
{
    struct fixture fixture = make_fixture();
    struct group_result reason;
    struct ck_upstream one =
        changes_make_upstream("u1", "roster1", "noord", "10.0.0.1");

    one.incarnation = 100;
    one.sequence = 5;
    one.state = CK_UPSTREAM_LEAVING;
    ck_assert_int_eq(announce_once(&fixture, 0, &one), ANNOUNCE_PUBLISH);
    one.sequence = 4;
    one.state = CK_UPSTREAM_READY;
    ck_assert_int_eq(announce_handle_upstream(fixture.announce, 2000000,
                                              fixture.group, &one, &reason),
                     ANNOUNCE_UNCHANGED);
    one.incarnation = 99;
    one.sequence = 9;
    ck_assert_int_eq(announce_handle_upstream(fixture.announce, 2000000,
                                              fixture.group, &one, &reason),
                     ANNOUNCE_REFUSED);
    ck_assert_int_eq(reason.outcome, OUTCOME_CONFLICT);
    free_fixture(&fixture);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_flapping_is_rate_limited);
    tcase_add_test(tests, test_deferred_change_is_published);
    tcase_add_test(tests, test_silent_replica_expires);
    tcase_add_test(tests, test_load_restarts_expiry);
    tcase_add_test(tests, test_refusal_has_a_reason);
    tcase_add_test(tests, test_withdrawal_ends_incarnation);
    tcase_add_test(tests, test_withdrawal_holds_after_leader_change);
    tcase_add_test(tests, test_proposed_withdrawal_holds_for_new_leader);
    tcase_add_test(tests, test_unknown_incarnation_keeps_no_sequence);
    tcase_add_test(tests, test_lost_upstream_can_be_withdrawn);
    tcase_add_test(tests, test_late_announcement_is_stale_for_new_leader);
    tcase_add_test(tests, test_stale_announcement_is_ignored);
}

TEST_MAIN("announce", add_tests)
