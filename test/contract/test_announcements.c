#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#include "catkingrade/kernel/loop.h"
#include "test/fake/platform.h"
#include "test/fake/process.h"
#include "test/rig/platform_rig.h"
#include "test/suite.h"

// Who acknowledges the announcements of upstreams: any control VM that hears
// the leader, if nothing changes.

#define CONFIG                                                                \
    "{\"version\":1,\"routes\":["                                             \
    "{\"host\":\"own\",\"routeKind\":\"read_own_writes\","                    \
    "\"timeoutMs\":5000,\"targetLatencyMs\":4000,\"priority\":2,"             \
    "\"service\":\"core\",\"maxStalenessMs\":2500}],"                         \
    "\"services\":[{\"name\":\"core\",\"maxConns\":30,\"syncReplicas\":0}],"  \
    "\"limits\":{\"txIdleMs\":60000}}"
#define ANNOUNCE_TIMEOUT_MS 1000
#define SILENCE_US          2000000 // no leader is heard after this time

// Announces the first upstream again, without a change. Returns whether the
// control VM acknowledges it in time.
static bool
announce(int vm_index)
{
    char body[512];
    long status = 0;

    platform_format_announcement(rig.platform, 0, false, body, sizeof(body));
    free(platform_rig_call_within(vm_index, "PUT", "/v1/instances/i-0", body,
                                  ANNOUNCE_TIMEOUT_MS, &status));
    return status == 200;
}

static void
signal_others(int vm_index, int signal_number)
{
    for (int i = 0; i < RIG_CONTROLS; i++) {
        if (i != vm_index) {
            (void)kill(process_get_pid(rig.controls[i]), signal_number);
        }
    }
}

// Guards against an acknowledgement by a control VM that is cut off: control
// would take the upstream for lost while it is told that it was heard.
START_TEST(test_cut_off_vm_acknowledges_nothing)
{
    platform_rig_start("announcements_cut", 1, "");
    platform_rig_wait_config(0, CONFIG);
    close(platform_rig_wait_answer(0, "own", "QUERY a0 WRITE k0 zero",
                                   "sig-a0"));
    for (int i = 0; i < RIG_CONTROLS; i++) {
        ck_assert(announce(i));
    }
    signal_others(_i, SIGSTOP);
    usleep(SILENCE_US);
    ck_assert(!announce(_i));
    signal_others(_i, SIGCONT);
    platform_rig_stop();
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_set_timeout(tests, 120);
    tcase_add_loop_test(tests, test_cut_off_vm_acknowledges_nothing, 0,
                        RIG_CONTROLS);
}

TEST_MAIN("announcements", add_tests)
