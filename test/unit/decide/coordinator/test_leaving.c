#include <check.h>

#include "catkingrade/decide/coordinator/leaving.h"
#include "test/fake/changes.h"
#include "test/suite.h"

#define MS INT64_C(1000)

static struct ck_upstream
make_leaving(uint64_t incarnation)
{
    struct ck_upstream upstream =
        changes_make_upstream("u1", "roster1", "noord", "10.0.0.1");

    upstream.state = CK_UPSTREAM_LEAVING;
    upstream.incarnation = incarnation;
    return upstream;
}

static struct group_state *
make_group(void)
{
    struct group_state *group = group_create(GROUP_FLEET_NAME);

    changes_set_customer(group, "[{\"name\": \"roster1\"}]", "wait");
    return group;
}

// Guards against an announcement that is changed or repeated and gives an
// upstream its time anew.
START_TEST(test_time_begins_once)
{
    struct group_state *group = make_group();
    struct leaving *leaving = leaving_create(group);
    struct ck_upstream one = make_leaving(100);

    leaving_handle_change(leaving, 1000 * MS, &one, false);
    one.slots++;
    leaving_handle_change(leaving, 4000 * MS, &one, false);
    ck_assert_int_eq(leaving_get_since_us(leaving, &one), 1000 * MS);
    leaving_destroy(leaving);
    group_destroy(group);
}
END_TEST

// Guards against a restarted upstream that has no time because an earlier
// incarnation has left.
START_TEST(test_next_incarnation_has_its_own_time)
{
    struct group_state *group = make_group();
    struct leaving *leaving = leaving_create(group);
    struct ck_upstream one = make_leaving(100);
    struct ck_upstream next = make_leaving(200);

    leaving_handle_change(leaving, 1000 * MS, &one, false);
    ck_assert_int_eq(leaving_get_since_us(leaving, &next),
                     LEAVING_SINCE_UNKNOWN);
    leaving_handle_change(leaving, 9000 * MS, &next, false);
    ck_assert_int_eq(leaving_get_since_us(leaving, &next), 9000 * MS);
    next.state = CK_UPSTREAM_READY;
    leaving_handle_change(leaving, 9500 * MS, &next, false);
    next.state = CK_UPSTREAM_LEAVING;
    leaving_handle_change(leaving, 9900 * MS, &next, false);
    ck_assert_int_eq(leaving_get_since_us(leaving, &next), 9900 * MS);
    leaving_destroy(leaving);
    group_destroy(group);
}
END_TEST

// Guards against an upstream that gets its time anew because it was silent for
// so long that it counted as lost.
START_TEST(test_silence_does_not_renew_time)
{
    struct group_state *group = make_group();
    struct leaving *leaving = leaving_create(group);
    struct ck_upstream one = make_leaving(100);

    leaving_handle_change(leaving, 1000 * MS, &one, false);
    one.state = CK_UPSTREAM_LOST;
    leaving_handle_change(leaving, 5000 * MS, &one, false);
    ck_assert_int_eq(leaving_get_since_us(leaving, &one), 1000 * MS);
    one.state = CK_UPSTREAM_LEAVING;
    leaving_handle_change(leaving, 6000 * MS, &one, false);
    ck_assert_int_eq(leaving_get_since_us(leaving, &one), 1000 * MS);
    leaving_destroy(leaving);
    group_destroy(group);
}
END_TEST

// Guards against a voter that counts the time of an upstream from when it
// caught up with the log, or from its own start.
START_TEST(test_late_change_has_unknown_age)
{
    struct group_state *group = make_group();
    struct leaving *leaving = leaving_create(group);
    struct ck_upstream one = make_leaving(100);

    leaving_handle_change(leaving, 5000 * MS, &one, true);
    leaving_handle_change(leaving, 6000 * MS, &one, false);
    ck_assert_int_eq(leaving_get_since_us(leaving, &one),
                     LEAVING_SINCE_UNKNOWN);
    leaving_destroy(leaving);
    changes_apply_upstream(group, &one);
    leaving = leaving_create(group);
    leaving_handle_change(leaving, 7000 * MS, &one, false);
    ck_assert_int_eq(leaving_get_since_us(leaving, &one),
                     LEAVING_SINCE_UNKNOWN);
    leaving_destroy(leaving);
    group_destroy(group);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_time_begins_once);
    tcase_add_test(tests, test_next_incarnation_has_its_own_time);
    tcase_add_test(tests, test_silence_does_not_renew_time);
    tcase_add_test(tests, test_late_change_has_unknown_age);
}

TEST_MAIN("leaving", add_tests)
