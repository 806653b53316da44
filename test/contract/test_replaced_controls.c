#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "test/rig/control_group.h"
#include "test/suite.h"

// End-to-end tests of control VMs that are replaced by empty ones at other
// addresses: real daemons, no upstreams.

#define VMS              6
#define TOLERATED_LOSSES 2
#define VOTES            (2 * TOLERATED_LOSSES + 1)
#define WAIT_ROUNDS      150
#define WAIT_STEP_US     200000
#define STANDBY_CHECKS   20
#define CONFIG_FORMAT                                                         \
    "{\"version\":%d,\"routes\":[],\"services\":[],"                          \
    "\"limits\":{\"txIdleMs\":60000}}"

// Returns how many VMs that run are in contact with the leader.
static int
count_following(const struct control_group *group)
{
    struct control_group_status status;
    int following = 0;

    for (int vm = 0; vm < group->count; vm++) {
        following += group->processes[vm] != NULL &&
                     control_group_get_status(group, vm, &status) &&
                     status.leader != 0;
    }
    return following;
}

// Waits until all VMs are members and as many of them vote as should.
static void
wait_settled(const struct control_group *group)
{
    struct control_group_status status = {0};

    for (int i = 0; i < WAIT_ROUNDS; i++) {
        int leader = control_group_find_leader(group);
        if (leader >= 0 && control_group_get_status(group, leader, &status) &&
            status.voting == VOTES && status.members == VMS &&
            count_following(group) == VMS) {
            return;
        }
        usleep(WAIT_STEP_US);
    }
    ck_abort_msg("the group has %d votes of %d members", status.voting,
                 status.members);
}

// Sends a configuration to all VMs that run, in turn, until one accepts it.
static void
wait_config(const struct control_group *group, int number)
{
    char body[sizeof(CONFIG_FORMAT) + 16];

    (void)snprintf(body, sizeof(body), CONFIG_FORMAT, number);
    for (int i = 0; i < WAIT_ROUNDS; i++) {
        int vm = i % group->count;
        if (group->processes[vm] != NULL &&
            control_group_put_config(group, vm, body) == 200) {
            return;
        }
        usleep(WAIT_STEP_US);
    }
    ck_abort_msg("no VM accepts configuration %d", number);
}

// Replaces two VMs that vote at the same moment. with_leader: one of them
// leads.
static void
replace_two(struct control_group *group, bool with_leader)
{
    int leader = control_group_find_leader(group);
    int killed = 0;

    ck_assert_int_ge(leader, 0);
    if (with_leader) {
        control_group_kill(group, leader);
        killed++;
    }
    // The oldest VMs vote; the newest one may be the standby.
    for (int vm = 0; vm < group->count && killed < TOLERATED_LOSSES; vm++) {
        if (group->processes[vm] != NULL && vm != leader) {
            control_group_kill(group, vm);
            killed++;
        }
    }
    for (int i = 0; i < killed; i++) {
        (void)control_group_add(group);
    }
}

// Guards against a group that is lost for good: two VMs of six were replaced
// at the same moment, neither was removed from the voters, and no successor
// could join. The next loss took the majority, within what is tolerated.
START_TEST(test_two_control_vms_are_replaced_at_once)
{
    struct control_group group;

    control_group_start(&group, "replaced_controls", VMS, TOLERATED_LOSSES);
    wait_config(&group, 1);
    wait_settled(&group);
    replace_two(&group, false);
    wait_settled(&group);
    replace_two(&group, true);
    wait_config(&group, 2);
    wait_settled(&group);
    control_group_stop(&group);
}
END_TEST

// Guards against a standby that gets a vote as soon as it has joined, before
// it is known to be the standby: it was removed again, joined again, and so
// on, and the group had an even number of votes or no standby in between.
START_TEST(test_standby_gets_no_vote)
{
    struct control_group group;
    struct control_group_status status = {0};

    control_group_start(&group, "standby_control", VMS, TOLERATED_LOSSES);
    for (int i = 0; i < WAIT_ROUNDS && status.members < VMS; i++) {
        int leader = control_group_find_leader(&group);
        if (leader >= 0) {
            ck_assert(control_group_get_status(&group, leader, &status));
            ck_assert_int_le(status.voting, VOTES);
        }
    }
    for (int i = 0; i < STANDBY_CHECKS; i++) {
        int leader = control_group_find_leader(&group);
        ck_assert_int_ge(leader, 0);
        ck_assert(control_group_get_status(&group, leader, &status));
        ck_assert_int_eq(status.members, VMS);
        ck_assert_int_eq(status.voting, VOTES);
        usleep(WAIT_STEP_US);
    }
    control_group_stop(&group);
}
END_TEST

// Guards against a VM that can never join: its seeds are other VMs than the
// first voters, and it took their numbers in its own list for the voters' ids,
// so that its answers to the leader went to another VM.
START_TEST(test_vm_with_other_seeds_joins)
{
    struct control_group group;

    control_group_start(&group, "other_seeds", VMS, TOLERATED_LOSSES);
    wait_settled(&group);
    for (int vm = 0; vm < CONTROL_GROUP_SEEDS; vm++) {
        if (control_group_find_leader(&group) != vm) {
            control_group_kill(&group, vm);
            break;
        }
    }
    (void)control_group_add(&group);
    wait_settled(&group);
    control_group_stop(&group);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_standby_gets_no_vote);
    tcase_add_test(tests, test_vm_with_other_seeds_joins);
    tcase_add_test(tests, test_two_control_vms_are_replaced_at_once);
}

TEST_MAIN("replaced_controls", add_tests)
