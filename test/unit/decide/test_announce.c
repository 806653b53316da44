#include <check.h>
#include <string.h>

#include "catkingrade/decide/announce.h"
#include "catkingrade/kernel/outcome.h"
#include "test/fake/changes.h"
#include "test/suite.h"

#define MS INT64_C(1000)

static const struct announce_params params = {.expiry_us = 2000 * MS,
                                              .publish_us = 1000 * MS};

struct due {
    struct group_state *group;
    struct announce *announce;
    int changes;
    int expiries;
};

// Has a due change applied at once.
static void
apply_due(void *data, ck_change_kind kind, const struct ck_upstream *upstream)
{
    struct due *due = data;
    struct ck_change change = {.kind = kind};

    change.ck_change_u.upstream = *upstream;
    due->changes += kind == CK_CHANGE_UPSTREAM ? 1 : 0;
    due->expiries += kind == CK_CHANGE_UPSTREAM_EXPIRE ? 1 : 0;
    ck_assert_int_eq(changes_apply(due->group, 0, &change, "", -1, NULL),
                     OUTCOME_OK);
    announce_end_proposal(due->announce, upstream->name);
}

static struct due
make_due(void)
{
    struct due due = {.group = group_create(GROUP_FLEET_NAME),
                      .announce = announce_create(&params)};

    changes_set_customer(due.group, "[{\"name\": \"roster1\"}]", "wait");
    return due;
}

static void
free_due(struct due *due)
{
    announce_destroy(due->announce);
    group_destroy(due->group);
}

static enum announce_verdict
announce_once(struct due *due, int64_t now_us, struct ck_upstream *upstream)
{
    struct group_result reason;
    enum announce_verdict verdict = announce_handle_upstream(
        due->announce, now_us, due->group, upstream, &reason);

    if (verdict == ANNOUNCE_PUBLISH) {
        apply_due(due, CK_CHANGE_UPSTREAM, upstream);
    }
    return verdict;
}

START_TEST(test_flapping_is_rate_limited)
{
    struct due due = make_due();
    struct ck_upstream upstream =
        changes_make_upstream("u1", "roster1", "noord", "10.0.0.1");

    for (int64_t at_ms = 0; at_ms < 10000; at_ms += 50) {
        upstream.state =
            at_ms / 50 % 2 == 0 ? CK_UPSTREAM_READY : CK_UPSTREAM_LEAVING;
        (void)announce_once(&due, at_ms * MS, &upstream);
        announce_tick(due.announce, at_ms * MS, due.group, apply_due, &due);
    }
    ck_assert_int_gt(due.changes, 5);
    ck_assert_int_le(due.changes, 10);
    ck_assert_int_eq(due.expiries, 0);
    free_due(&due);
}
END_TEST

START_TEST(test_deferred_change_is_published)
{
    struct due due = make_due();
    struct ck_upstream upstream =
        changes_make_upstream("u1", "roster1", "noord", "10.0.0.1");

    ck_assert_int_eq(announce_once(&due, 0, &upstream), ANNOUNCE_PUBLISH);
    upstream.state = CK_UPSTREAM_LEAVING;
    ck_assert_int_eq(announce_once(&due, 100 * MS, &upstream),
                     ANNOUNCE_DEFERRED);
    announce_tick(due.announce, 900 * MS, due.group, apply_due, &due);
    ck_assert_int_eq(group_find_upstream(due.group, "u1")->state,
                     CK_UPSTREAM_READY);
    announce_tick(due.announce, 1000 * MS, due.group, apply_due, &due);
    ck_assert_int_eq(group_find_upstream(due.group, "u1")->state,
                     CK_UPSTREAM_LEAVING);
    ck_assert_int_eq(announce_once(&due, 1100 * MS, &upstream),
                     ANNOUNCE_UNCHANGED);
    free_due(&due);
}
END_TEST

START_TEST(test_silent_replica_expires)
{
    struct due due = make_due();
    struct ck_upstream one =
        changes_make_upstream("u1", "roster1", "noord", "10.0.0.1");
    struct ck_upstream two =
        changes_make_upstream("u2", "roster1", "noord", "10.0.0.2");
    struct ck_change change = {.kind = CK_CHANGE_PRIMARY};

    (void)announce_once(&due, 0, &one);
    (void)announce_once(&due, 0, &two);
    change.ck_change_u.primary.database = (char *)"roster1";
    change.ck_change_u.primary.term = 1;
    change.ck_change_u.primary.primary = (char *)"u1";
    changes_apply(due.group, 0, &change, "", -1, NULL);
    announce_tick(due.announce, 1999 * MS, due.group, apply_due, &due);
    ck_assert_int_eq(due.expiries, 0);
    announce_tick(due.announce, 2000 * MS, due.group, apply_due, &due);
    ck_assert_int_eq(due.expiries, 1);
    ck_assert_int_eq(group_find_upstream(due.group, "u2")->state,
                     CK_UPSTREAM_LOST);
    // The primary of a term that stands is a matter of failover.
    ck_assert_int_eq(group_find_upstream(due.group, "u1")->state,
                     CK_UPSTREAM_READY);
    announce_tick(due.announce, 2100 * MS, due.group, apply_due, &due);
    ck_assert_int_eq(due.expiries, 1);
    ck_assert_int_eq(announce_once(&due, 5000 * MS, &two), ANNOUNCE_PUBLISH);
    free_due(&due);
}
END_TEST

START_TEST(test_load_restarts_expiry)
{
    struct due due = make_due();
    struct ck_upstream one =
        changes_make_upstream("u1", "roster1", "noord", "10.0.0.1");

    (void)announce_once(&due, 0, &one);
    announce_destroy(due.announce);
    due.announce = announce_create(&params);
    announce_load(due.announce, 60000 * MS, due.group);
    announce_tick(due.announce, 61999 * MS, due.group, apply_due, &due);
    ck_assert_int_eq(due.expiries, 0);
    announce_tick(due.announce, 62000 * MS, due.group, apply_due, &due);
    ck_assert_int_eq(due.expiries, 1);
    free_due(&due);
}
END_TEST

START_TEST(test_refusal_has_a_reason)
{
    struct due due = make_due();
    struct group_result reason;
    struct ck_upstream one =
        changes_make_upstream("u1", "roster1", "noord", "10.0.0.1");
    struct ck_upstream two =
        changes_make_upstream("u2", "roster1", "noord", "10.0.0.1");

    (void)announce_once(&due, 0, &one);
    ck_assert_int_eq(
        announce_handle_upstream(due.announce, 0, due.group, &two, &reason),
        ANNOUNCE_REFUSED);
    ck_assert_int_eq(reason.outcome, OUTCOME_CONFLICT);
    ck_assert_str_eq(reason.message,
                     "address 10.0.0.1:5432 is that of upstream u1");
    free_due(&due);
}
END_TEST

// An upstream that says it is gone is expired at once, and what it sent before
// does not bring it back; its next start does.
START_TEST(test_withdrawal_ends_incarnation)
{
    struct due due = make_due();
    struct group_result reason;
    struct ck_upstream one =
        changes_make_upstream("u1", "roster1", "noord", "10.0.0.1");

    one.incarnation = 100;
    one.sequence = 1;
    one.state = CK_UPSTREAM_LOST;
    ck_assert_int_eq(
        announce_handle_upstream(due.announce, 0, due.group, &one, &reason),
        ANNOUNCE_UNCHANGED);
    one.state = CK_UPSTREAM_READY;
    ck_assert_int_eq(announce_once(&due, 0, &one), ANNOUNCE_PUBLISH);
    one.state = CK_UPSTREAM_LOST;
    ck_assert_int_eq(
        announce_handle_upstream(due.announce, 1, due.group, &one, &reason),
        ANNOUNCE_WITHDRAW);
    announce_end_proposal(due.announce, "u1");
    one.state = CK_UPSTREAM_READY;
    one.sequence = 2;
    ck_assert_int_eq(
        announce_handle_upstream(due.announce, 2, due.group, &one, &reason),
        ANNOUNCE_UNCHANGED);
    one.incarnation = 200;
    one.sequence = 1;
    ck_assert_int_eq(announce_handle_upstream(due.announce, 2000000, due.group,
                                              &one, &reason),
                     ANNOUNCE_PUBLISH);
    free_due(&due);
}
END_TEST

// Announcements that were overtaken on their way change nothing.
START_TEST(test_stale_announcement_is_ignored)
{
    struct due due = make_due();
    struct group_result reason;
    struct ck_upstream one =
        changes_make_upstream("u1", "roster1", "noord", "10.0.0.1");

    one.incarnation = 100;
    one.sequence = 5;
    one.state = CK_UPSTREAM_LEAVING;
    ck_assert_int_eq(announce_once(&due, 0, &one), ANNOUNCE_PUBLISH);
    one.sequence = 4;
    one.state = CK_UPSTREAM_READY;
    ck_assert_int_eq(announce_handle_upstream(due.announce, 2000000, due.group,
                                              &one, &reason),
                     ANNOUNCE_UNCHANGED);
    one.incarnation = 99;
    one.sequence = 9;
    ck_assert_int_eq(announce_handle_upstream(due.announce, 2000000, due.group,
                                              &one, &reason),
                     ANNOUNCE_REFUSED);
    ck_assert_int_eq(reason.outcome, OUTCOME_CONFLICT);
    free_due(&due);
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
    tcase_add_test(tests, test_stale_announcement_is_ignored);
}

TEST_MAIN("announce", add_tests)
