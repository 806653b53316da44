#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include "test/rig/control_group.h"
#include "test/suite.h"

// End-to-end tests of control VMs whose disks are full for some seconds, one
// after another: real daemons, no upstreams. A limit on the size of files
// stands for a full disk.

#define FULL_ROUNDS  15 // of one disk
#define WAIT_ROUNDS  150
#define WAIT_STEP_US 200000
#define CONFIG_FORMAT                                                         \
    "{\"version\":%d,\"routes\":[],\"services\":[],"                          \
    "\"limits\":{\"txIdleMs\":60000}}"

struct size {
    int vms;
    unsigned tolerated_losses;
};

// Without a standby, and with one that takes the vote of a silent voter.
static const struct size sizes[] = {{3, 1}, {6, 2}};

static void
set_disk_full(const struct control_group *group, int vm, bool is_full)
{
    const struct rlimit limit = {is_full ? 0 : RLIM_INFINITY, RLIM_INFINITY};

    ck_assert_int_eq(prlimit(process_get_pid(group->processes[vm]),
                             RLIMIT_FSIZE, &limit, NULL),
                     0);
}

// Sends a configuration to a VM. Returns whether it was acknowledged.
static bool
put(const struct control_group *group, int vm, int number)
{
    char body[sizeof(CONFIG_FORMAT) + 16];

    (void)snprintf(body, sizeof(body), CONFIG_FORMAT, number);
    return control_group_put_config(group, vm, body) == 200;
}

static void
wait_put(const struct control_group *group, int vm, int number)
{
    for (int i = 0; i < WAIT_ROUNDS; i++) {
        if (put(group, vm, number)) {
            return;
        }
        usleep(WAIT_STEP_US);
    }
    ck_abort_msg("VM %d does not accept configuration %d", vm, number);
}

// Guards against a group that refuses changes, or leaves them unanswered, long
// after the last of its disks has had room again.
START_TEST(test_changes_are_taken_after_full_disks)
{
    const struct size *size = &sizes[_i];
    struct control_group group;
    char expected[sizeof(CONFIG_FORMAT) + 16];
    long status = 0;
    int number = 1;

    (void)signal(SIGXFSZ, SIG_IGN); // inherited by the daemons
    control_group_start(&group, "full_disks", size->vms,
                        size->tolerated_losses);
    wait_put(&group, 0, number++);
    for (int vm = 0; vm < size->vms; vm++) {
        set_disk_full(&group, vm, true);
        for (int i = 0; i < FULL_ROUNDS; i++) {
            (void)put(&group, i % size->vms, number++);
            usleep(WAIT_STEP_US);
        }
        set_disk_full(&group, vm, false);
        wait_put(&group, vm, number++);
    }
    for (int vm = 0; vm < size->vms; vm++) {
        wait_put(&group, vm, number++);
        ck_assert(!process_has_ended(group.processes[vm]));
    }
    (void)snprintf(expected, sizeof(expected), CONFIG_FORMAT, number - 1);
    char *body = control_group_get_config(&group, 0, &status);
    ck_assert_int_eq(status, 200);
    ck_assert_str_eq(body, expected);
    free(body);
    control_group_stop(&group);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_loop_test(tests, test_changes_are_taken_after_full_disks, 0,
                        sizeof(sizes) / sizeof(sizes[0]));
}

TEST_MAIN("full_disks", add_tests)
