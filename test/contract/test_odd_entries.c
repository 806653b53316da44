#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "catkingrade/kernel/memory.h"
#include "test/fake/platform.h"
#include "test/rig/platform_rig.h"
#include "test/suite.h"

// End-to-end tests of announcements that another writer makes in the name of
// an upstream: three control VMs and an entry as real daemons.

#define NESTED_DEPTH 2000
// Longer than announce_expiry_ms of the rig.
#define EXPIRY_ROUNDS 250
#define CONFIG                                                                \
    "{\"version\":1,\"routes\":["                                             \
    "{\"host\":\"current\",\"routeKind\":\"primary\",\"timeoutMs\":5000,"     \
    "\"targetLatencyMs\":4000,\"priority\":1,\"service\":\"core\"}],"         \
    "\"services\":[{\"name\":\"core\",\"maxConns\":30,\"syncReplicas\":0}],"  \
    "\"limits\":{\"txIdleMs\":60000}}"
#define ODD(addr, seq, born)                                                  \
    "{\"service\":\"core\",\"addr\":\"" addr "\",\"zone\":\"noord\","         \
    "\"slots\":5,\"state\":\"ready\",\"dbRole\":\"replica\",\"seq\":" seq     \
    ",\"born\":" born "}"

static const char *const odd_bodies[] = {
    ODD("127.0.0.1:7", "99999999999999999999", "1000"),
    ODD("127.0.0.1:7", "5", "99999999999999999999"),
    ODD("127.0.0.1:70000", "999999", "2000"),
    ODD("127.0.0.1:0", "999999", "2000"),
    "\xff\xfe",
    "[]",
};

// Sends a body in the name of each upstream of the first database to each
// control VM, which must refuse it.
static void
announce_odd(const char *body)
{
    for (int vm = 0; vm < RIG_CONTROLS; vm++) {
        for (int i = 0; i < PLATFORM_UPSTREAMS; i++) {
            char path[64];
            long status = 0;
            (void)snprintf(path, sizeof(path), "/v1/instances/i-%d", i);
            free(platform_rig_call(vm, "PUT", path, body, &status));
            ck_assert_int_eq(status, 400);
        }
    }
}

static void
announce_nested(void)
{
    char *body = xcalloc(NESTED_DEPTH + 64, 1);
    char *at = body + sprintf(body, "{\"service\":\"core\",\"seq\":");

    memset(at, '[', NESTED_DEPTH);
    announce_odd(body);
    free(body);
}

// Guards against odd announcements that end a control VM, or replace what an
// upstream says of itself: an announcement with too large a number was taken
// for the newest one, and the upstream's own ones were ignored from then on.
START_TEST(test_odd_announcements_change_nothing)
{
    platform_rig_start("odd_entries", 1, "");
    platform_rig_wait_config(0, CONFIG);
    int fd = platform_rig_wait_answer(0, "current", "QUERY a0 WRITE k0 zero",
                                      "sig-a0");
    int primary = platform_get_primary(rig.platform);
    for (size_t i = 0; i < ARRAY_SIZE(odd_bodies); i++) {
        announce_odd(odd_bodies[i]);
    }
    announce_nested();
    for (int i = 0; i < EXPIRY_ROUNDS; i++) {
        platform_rig_expect(fd, "QUERY a1 WRITE k1 one",
                            "COMPLETE sig-a1\r\nREADY I -\r\n");
        usleep(RIG_WAIT_STEP_US);
    }
    ck_assert_int_eq(platform_get_primary(rig.platform), primary);
    for (int vm = 0; vm < RIG_CONTROLS; vm++) {
        ck_assert(!process_has_ended(rig.controls[vm]));
    }
    close(fd);
    platform_rig_stop();
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_odd_announcements_change_nothing);
}

TEST_MAIN("odd_entries", add_tests)
