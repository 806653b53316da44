#include "catkingrade/decide/raft/membership.h"
#include "catkingrade/kernel/outcome.h"
#include "test/suite.h"

#define MAX_VOTERS 8
#define SILENT_US  INT64_C(2000000)

// Members of a group on VMs "10.0.0.N". The first one is the Raft leader.
struct group {
    struct ck_voter voters[MAX_VOTERS];
    struct membership_voter members[MAX_VOTERS];
    char hosts[MAX_VOTERS][16];
    size_t count;
};

static const struct membership_params params = {
    .target = 3, .silence_timeout_us = SILENT_US};

static void
add_member(struct group *group, uint64_t id, unsigned vm, bool voting,
           int64_t silent_us)
{
    size_t index = group->count++;

    (void)snprintf(group->hosts[index], sizeof(group->hosts[index]),
                   "10.0.0.%u", vm);
    group->voters[index] = (struct ck_voter){.id = id,
                                             .vm = group->hosts[index],
                                             .host = group->hosts[index],
                                             .port = 7440,
                                             .voting = voting};
    group->members[index] =
        (struct membership_voter){.voter = &group->voters[index],
                                  .silent_us = silent_us,
                                  .known_us = SILENT_US,
                                  .is_self = index == 0};
}

// A group that bears the loss of two voters.
static const struct membership_params large_params = {
    .target = 5, .silence_timeout_us = SILENT_US};

static uint64_t
find_removal(const struct group *group)
{
    return membership_find_removal(&params, group->members, group->count);
}

static uint64_t
find_standby(const struct group *group)
{
    return membership_find_standby(&params, group->members, group->count);
}

// Checks the join request of a VM with this id while the highest id is 9.
static int
check_join(const struct group *group, uint64_t id, unsigned vm,
           uint64_t *assigned_id)
{
    struct group other = {0};

    add_member(&other, id, vm, false, 0);
    return membership_check_join(&params, group->members, group->count, 9,
                                 &other.voters[0], assigned_id);
}

static bool
may_add(const struct group *group, unsigned vm)
{
    uint64_t assigned_id = 0;

    ck_assert_int_eq(check_join(group, 0, vm, &assigned_id), OUTCOME_AGAIN);
    return assigned_id != 0;
}

// Guards against shrinking the group: a silent voter must not be removed while
// the group has no more voters than the target, since it may come back with
// its disk.
START_TEST(test_silent_voter_stays_at_target_size)
{
    struct group group = {0};

    add_member(&group, 1, 1, true, 0);
    add_member(&group, 2, 2, true, 0);
    add_member(&group, 3, 3, true, 60 * SILENT_US);
    ck_assert_uint_eq(find_removal(&group), MEMBERSHIP_NONE);
    ck_assert(may_add(&group, 4));
    add_member(&group, 4, 4, false, 0);
    ck_assert_uint_eq(find_removal(&group), MEMBERSHIP_NONE);
    ck_assert(!may_add(&group, 5));
    group.voters[3].voting = true;
    ck_assert_uint_eq(find_removal(&group), 3);
}
END_TEST

START_TEST(test_lost_disk_voter_is_replaced)
{
    struct group group = {0};

    add_member(&group, 1, 1, true, 0);
    add_member(&group, 2, 2, true, 0);
    add_member(&group, 3, 3, true, 100);
    ck_assert(may_add(&group, 3));
    add_member(&group, 4, 3, false, 0);
    ck_assert_uint_eq(find_removal(&group), MEMBERSHIP_NONE);
    group.voters[3].voting = true;
    ck_assert_uint_eq(find_removal(&group), 3);
}
END_TEST

// Guards against losing the majority: while two voters are silent, neither may
// be removed, since either may be needed for a majority.
START_TEST(test_two_silent_voters_both_stay)
{
    struct group group = {0};

    add_member(&group, 1, 1, true, 0);
    add_member(&group, 2, 2, true, 2 * SILENT_US);
    add_member(&group, 3, 3, true, 2 * SILENT_US);
    add_member(&group, 4, 4, true, 0);
    ck_assert_uint_eq(find_removal(&group), MEMBERSHIP_NONE);
    group.members[2].silent_us = 0;
    ck_assert_uint_eq(find_removal(&group), 2);
}
END_TEST

// Guards against a group that can replace none of two lost voters: the standby
// has got the vote of one, and as long as neither is removed no VM can join.
// The group must get back to the target size, one change at a time.
START_TEST(test_two_lost_voters_are_replaced)
{
    struct group group = {0};
    struct group joining = {0};
    uint64_t assigned_id = 0;

    for (unsigned i = 1; i <= 6; i++) {
        add_member(&group, i, i, true, 0);
    }
    group.members[2].silent_us = SILENT_US;
    group.members[4].silent_us = SILENT_US + 1;
    ck_assert_uint_eq(
        membership_find_removal(&large_params, group.members, group.count), 5);
    group.members[4] = group.members[--group.count];
    ck_assert_uint_eq(
        membership_find_removal(&large_params, group.members, group.count),
        MEMBERSHIP_NONE);
    add_member(&joining, 7, 7, false, 0);
    ck_assert_int_eq(membership_check_join(&large_params, group.members,
                                           group.count, 6, joining.voters,
                                           &assigned_id),
                     OUTCOME_OK);
    add_member(&group, 7, 7, true, 0);
    ck_assert_uint_eq(
        membership_find_removal(&large_params, group.members, group.count), 3);
}
END_TEST

// Without a majority no voter is removed.
START_TEST(test_three_silent_voters_of_six_stay)
{
    struct group group = {0};

    for (unsigned i = 1; i <= 6; i++) {
        add_member(&group, i, i, true, i > 3 ? SILENT_US : 0);
    }
    ck_assert_uint_eq(
        membership_find_removal(&large_params, group.members, group.count),
        MEMBERSHIP_NONE);
}
END_TEST

// Guards against an even number of votes: one learner is the standby and gets
// a vote only when a voter is missing. No other VM is added meanwhile.
START_TEST(test_single_standby)
{
    struct group group = {0};

    add_member(&group, 1, 1, true, 0);
    add_member(&group, 2, 2, true, 0);
    add_member(&group, 3, 3, true, 0);
    ck_assert(may_add(&group, 4));
    add_member(&group, 4, 4, false, 0);
    ck_assert_uint_eq(find_standby(&group), 4);
    ck_assert(!may_add(&group, 5));
    ck_assert(may_add(&group, 2));
    ck_assert_uint_eq(find_removal(&group), MEMBERSHIP_NONE);
    group.members[1].silent_us = SILENT_US;
    ck_assert_uint_eq(find_standby(&group), MEMBERSHIP_NONE);
    ck_assert(!may_add(&group, 5));
    group.voters[3].voting = true;
    ck_assert_uint_eq(find_removal(&group), 2);
}
END_TEST

// Guards against a permanent surplus of voters: a voter that comes back after
// its replacement was added makes one vote too many. The newest voter is
// removed, but never the Raft leader.
START_TEST(test_newest_surplus_voter_is_removed)
{
    struct group group = {0};

    add_member(&group, 7, 1, true, 0);
    add_member(&group, 2, 2, true, 0);
    add_member(&group, 3, 3, true, SILENT_US - 1);
    ck_assert_uint_eq(find_removal(&group), MEMBERSHIP_NONE);
    add_member(&group, 4, 4, true, 0);
    ck_assert_uint_eq(find_removal(&group), 4);
    group.members[2].known_us = SILENT_US - 1;
    ck_assert_uint_eq(find_removal(&group), MEMBERSHIP_NONE);
    group.members[1].silent_us = SILENT_US;
    group.members[2].silent_us = SILENT_US;
    ck_assert_uint_eq(find_removal(&group), MEMBERSHIP_NONE);
}
END_TEST

// Guards against a learner kept as standby while its vote is needed: votes are
// missing, or the learner replaces a voter that has lost its disk.
START_TEST(test_no_standby_while_votes_are_missing)
{
    struct group group = {0};

    add_member(&group, 1, 1, true, 0);
    add_member(&group, 2, 2, true, 0);
    add_member(&group, 5, 3, false, 0);
    ck_assert_uint_eq(find_standby(&group), MEMBERSHIP_NONE);
    add_member(&group, 3, 3, true, 0);
    ck_assert_uint_eq(find_standby(&group), MEMBERSHIP_NONE);
}
END_TEST

START_TEST(test_leader_never_removes_itself)
{
    struct group group = {0};

    add_member(&group, 1, 1, true, 9 * SILENT_US);
    add_member(&group, 2, 2, true, 0);
    add_member(&group, 3, 3, true, 0);
    add_member(&group, 4, 1, true, 0);
    ck_assert_uint_eq(find_removal(&group), MEMBERSHIP_NONE);
}
END_TEST

START_TEST(test_silent_learner_is_removed)
{
    struct group group = {0};

    add_member(&group, 1, 1, true, 0);
    add_member(&group, 2, 2, true, 0);
    add_member(&group, 5, 3, false, SILENT_US);
    ck_assert_uint_eq(find_removal(&group), 5);
}
END_TEST

// Guards against two VMs voting under one id, or waiting forever: several VMs
// are offered the same id. One VM gets it; the others receive OUTCOME_INVALID
// and ask for another id.
START_TEST(test_id_belongs_to_one_vm)
{
    struct group group = {0};
    uint64_t assigned_id = 0;

    add_member(&group, 1, 1, true, 0);
    add_member(&group, 2, 2, true, 0);
    add_member(&group, 3, 3, true, 0);
    ck_assert_int_eq(check_join(&group, 0, 4, &assigned_id), OUTCOME_AGAIN);
    ck_assert_uint_eq(assigned_id, 10);
    ck_assert_int_eq(check_join(&group, 10, 4, &assigned_id), OUTCOME_OK);
    ck_assert_uint_eq(assigned_id, 0);
    add_member(&group, 10, 4, true, 0);
    ck_assert_int_eq(check_join(&group, 10, 4, &assigned_id), OUTCOME_OK);
    ck_assert_uint_eq(assigned_id, 10);
    ck_assert_int_eq(check_join(&group, 10, 5, &assigned_id), OUTCOME_INVALID);
    ck_assert_int_eq(check_join(&group, 7, 5, &assigned_id), OUTCOME_INVALID);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_id_belongs_to_one_vm);
    tcase_add_test(tests, test_silent_voter_stays_at_target_size);
    tcase_add_test(tests, test_lost_disk_voter_is_replaced);
    tcase_add_test(tests, test_two_silent_voters_both_stay);
    tcase_add_test(tests, test_two_lost_voters_are_replaced);
    tcase_add_test(tests, test_three_silent_voters_of_six_stay);
    tcase_add_test(tests, test_single_standby);
    tcase_add_test(tests, test_newest_surplus_voter_is_removed);
    tcase_add_test(tests, test_no_standby_while_votes_are_missing);
    tcase_add_test(tests, test_leader_never_removes_itself);
    tcase_add_test(tests, test_silent_learner_is_removed);
}

TEST_MAIN("membership", add_tests)
