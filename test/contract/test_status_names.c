#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "test/fake/platform.h"
#include "test/fake/process.h"
#include "test/rig/platform_rig.h"
#include "test/suite.h"

// End-to-end test of the status of databases whose names JSON must escape.

#define STATUS_ROUNDS 60
#define QUOTED_NAME   "co\\\"re"
#define CONFIG                                                                \
    "{\"version\":1,\"routes\":["                                             \
    "{\"host\":\"own\",\"routeKind\":\"read_own_writes\","                    \
    "\"timeoutMs\":5000,\"targetLatencyMs\":4000,\"priority\":2,"             \
    "\"service\":\"core\",\"maxStalenessMs\":2500}],"                         \
    "\"services\":[{\"name\":\"core\",\"maxConns\":30,\"syncReplicas\":0},"   \
    "{\"name\":\"" QUOTED_NAME "\",\"maxConns\":30,\"syncReplicas\":0}],"     \
    "\"limits\":{\"txIdleMs\":60000}}"
// An upstream at a port where nothing listens: its database gets no primary.
#define ANNOUNCEMENT                                                          \
    "{\"service\":\"" QUOTED_NAME "\",\"addr\":\"127.0.0.1:9\","              \
    "\"zone\":\"noord\",\"slots\":2,\"state\":\"ready\","                     \
    "\"dbRole\":\"replica\",\"seq\":4}"

static char *
run_status(void)
{
    char address[64];
    const char *args[] = {"--connect", address,  "--timeout", "3000",
                          "--json",    "status", NULL};
    int code = 0;

    (void)snprintf(address, sizeof(address), "127.0.0.1:%d", rig.rpc_ports[0]);
    char *text = process_run(rig.folder, "catkingrade", args, &code);
    ck_assert_msg(code == 0, "status ended with %d: %s", code, text);
    return text;
}

// Guards against a name with a quote that ends the status command.
START_TEST(test_name_with_quote_is_shown)
{
    bool shown = false;

    platform_rig_start("status_names", 1, "");
    platform_rig_wait_config(0, CONFIG);
    for (int i = 0; i < STATUS_ROUNDS; i++) {
        long status = 0;
        free(platform_rig_call(i % RIG_CONTROLS, "PUT", "/v1/instances/i-9",
                               ANNOUNCEMENT, &status));
        ck_assert_int_eq(status, 200);
        char *text = run_status();
        shown = shown || strstr(text, QUOTED_NAME) != NULL;
        free(text);
        usleep(RIG_WAIT_STEP_US);
    }
    ck_assert(shown);
    platform_rig_stop();
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_name_with_quote_is_shown);
}

TEST_MAIN("status_names", add_tests)
