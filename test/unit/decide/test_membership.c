#include "catkingrade/decide/membership.h"
#include "catkingrade/kernel/outcome.h"
#include "test/suite.h"

#define MAX_VOTERS 8
#define SILENT_US  INT64_C(2000000)

// Voters on VMs "10.0.0.N", of which the first is the leader itself.
struct group {
    struct ck_voter voters[MAX_VOTERS];
    struct membership_voter members[MAX_VOTERS];
    char hosts[MAX_VOTERS][16];
    size_t count;
};

static const struct membership_params params = {.target = 3,
                                                .silent_us = SILENT_US};

static void
add(struct group *group, uint64_t id, unsigned vm, bool voting,
    int64_t silent_us)
{
    size_t place = group->count++;

    (void)snprintf(group->hosts[place], sizeof(group->hosts[place]),
                   "10.0.0.%u", vm);
    group->voters[place] = (struct ck_voter){.id = id,
                                             .vm = group->hosts[place],
                                             .host = group->hosts[place],
                                             .port = 7440,
                                             .voting = voting};
    group->members[place] =
        (struct membership_voter){.voter = &group->voters[place],
                                  .silent_us = silent_us,
                                  .known_us = SILENT_US,
                                  .is_self = place == 0};
}

static uint64_t
find(const struct group *group)
{
    return membership_find_removal(&params, group->members, group->count);
}

static uint64_t
standby(const struct group *group)
{
    return membership_find_standby(&params, group->members, group->count);
}

// Has a VM ask under an id while the highest one given is 9.
static int
judge(const struct group *group, uint64_t id, unsigned vm, uint64_t *number)
{
    struct group other = {0};

    add(&other, id, vm, false, 0);
    return membership_check_join(&params, group->members, group->count, 9,
                                 &other.voters[0], number);
}

static bool
may_add(const struct group *group, unsigned vm)
{
    uint64_t number = 0;

    ck_assert_int_eq(judge(group, 0, vm, &number), OUTCOME_AGAIN);
    return number != 0;
}

// With no more voters than the target a silent one stays: it may come back
// with its disk, and until then its place must not be lost.
START_TEST(test_silent_voter_stays_at_target_size)
{
    struct group group = {0};

    add(&group, 1, 1, true, 0);
    add(&group, 2, 2, true, 0);
    add(&group, 3, 3, true, 60 * SILENT_US);
    ck_assert_uint_eq(find(&group), MEMBERSHIP_NONE);
    ck_assert(may_add(&group, 4));
    add(&group, 4, 4, false, 0);
    ck_assert_uint_eq(find(&group), MEMBERSHIP_NONE);
    ck_assert(!may_add(&group, 5));
    group.voters[3].voting = true;
    ck_assert_uint_eq(find(&group), 3);
}
END_TEST

START_TEST(test_lost_disk_voter_is_replaced)
{
    struct group group = {0};

    add(&group, 1, 1, true, 0);
    add(&group, 2, 2, true, 0);
    add(&group, 3, 3, true, 100);
    ck_assert(may_add(&group, 3));
    add(&group, 4, 3, false, 0);
    ck_assert_uint_eq(find(&group), MEMBERSHIP_NONE);
    group.voters[3].voting = true;
    ck_assert_uint_eq(find(&group), 3);
}
END_TEST

// While a second voter is silent none is removed: the one that is left out
// may be needed for a majority.
START_TEST(test_two_silent_voters_both_stay)
{
    struct group group = {0};

    add(&group, 1, 1, true, 0);
    add(&group, 2, 2, true, 2 * SILENT_US);
    add(&group, 3, 3, true, 2 * SILENT_US);
    add(&group, 4, 4, true, 0);
    ck_assert_uint_eq(find(&group), MEMBERSHIP_NONE);
    group.members[2].silent_us = 0;
    ck_assert_uint_eq(find(&group), 2);
}
END_TEST

// One stands by without a vote, so that votes stay odd; it gets one when a
// voter is missing, and no other is added meanwhile.
START_TEST(test_single_standby)
{
    struct group group = {0};

    add(&group, 1, 1, true, 0);
    add(&group, 2, 2, true, 0);
    add(&group, 3, 3, true, 0);
    ck_assert(may_add(&group, 4));
    add(&group, 4, 4, false, 0);
    ck_assert_uint_eq(standby(&group), 4);
    ck_assert(!may_add(&group, 5));
    ck_assert(may_add(&group, 2));
    ck_assert_uint_eq(find(&group), MEMBERSHIP_NONE);
    group.members[1].silent_us = SILENT_US;
    ck_assert_uint_eq(standby(&group), MEMBERSHIP_NONE);
    ck_assert(!may_add(&group, 5));
    group.voters[3].voting = true;
    ck_assert_uint_eq(find(&group), 2);
}
END_TEST

// Who comes back to a place that was given away finds one vote too many: the
// last that came gives it up, never the leader.
START_TEST(test_newest_surplus_voter_is_removed)
{
    struct group group = {0};

    add(&group, 7, 1, true, 0);
    add(&group, 2, 2, true, 0);
    add(&group, 3, 3, true, SILENT_US - 1);
    ck_assert_uint_eq(find(&group), MEMBERSHIP_NONE);
    add(&group, 4, 4, true, 0);
    ck_assert_uint_eq(find(&group), 4);
    group.members[2].known_us = SILENT_US - 1;
    ck_assert_uint_eq(find(&group), MEMBERSHIP_NONE);
    group.members[1].silent_us = SILENT_US;
    group.members[2].silent_us = SILENT_US;
    ck_assert_uint_eq(find(&group), MEMBERSHIP_NONE);
}
END_TEST

// A newcomer votes as soon as it can where votes are missing, or on the VM of
// a voter that has lost its disk.
START_TEST(test_no_standby_while_votes_are_missing)
{
    struct group group = {0};

    add(&group, 1, 1, true, 0);
    add(&group, 2, 2, true, 0);
    add(&group, 5, 3, false, 0);
    ck_assert_uint_eq(standby(&group), MEMBERSHIP_NONE);
    add(&group, 3, 3, true, 0);
    ck_assert_uint_eq(standby(&group), MEMBERSHIP_NONE);
}
END_TEST

START_TEST(test_leader_never_removes_itself)
{
    struct group group = {0};

    add(&group, 1, 1, true, 9 * SILENT_US);
    add(&group, 2, 2, true, 0);
    add(&group, 3, 3, true, 0);
    add(&group, 4, 1, true, 0);
    ck_assert_uint_eq(find(&group), MEMBERSHIP_NONE);
}
END_TEST

START_TEST(test_silent_learner_is_removed)
{
    struct group group = {0};

    add(&group, 1, 1, true, 0);
    add(&group, 2, 2, true, 0);
    add(&group, 5, 3, false, SILENT_US);
    ck_assert_uint_eq(find(&group), 5);
}
END_TEST

// Of several VMs that were offered the same id one has it; the others are told
// to begin anew, or they would wait for ever or vote under one name.
START_TEST(test_id_belongs_to_one_vm)
{
    struct group group = {0};
    uint64_t number = 0;

    add(&group, 1, 1, true, 0);
    add(&group, 2, 2, true, 0);
    add(&group, 3, 3, true, 0);
    ck_assert_int_eq(judge(&group, 0, 4, &number), OUTCOME_AGAIN);
    ck_assert_uint_eq(number, 10);
    ck_assert_int_eq(judge(&group, 10, 4, &number), OUTCOME_OK);
    ck_assert_uint_eq(number, 0);
    add(&group, 10, 4, true, 0);
    ck_assert_int_eq(judge(&group, 10, 4, &number), OUTCOME_OK);
    ck_assert_uint_eq(number, 10);
    ck_assert_int_eq(judge(&group, 10, 5, &number), OUTCOME_INVALID);
    ck_assert_int_eq(judge(&group, 7, 5, &number), OUTCOME_INVALID);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_id_belongs_to_one_vm);
    tcase_add_test(tests, test_silent_voter_stays_at_target_size);
    tcase_add_test(tests, test_lost_disk_voter_is_replaced);
    tcase_add_test(tests, test_two_silent_voters_both_stay);
    tcase_add_test(tests, test_single_standby);
    tcase_add_test(tests, test_newest_surplus_voter_is_removed);
    tcase_add_test(tests, test_no_standby_while_votes_are_missing);
    tcase_add_test(tests, test_leader_never_removes_itself);
    tcase_add_test(tests, test_silent_learner_is_removed);
}

TEST_MAIN("membership", add_tests)
