#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/memory.h"
#include "test/fake/platform.h"
#include "test/rig/platform_rig.h"
#include "test/suite.h"

// End-to-end tests of configurations with many databases.

// Appends the route to and the service of the database with an upstream.
static void
append_first(struct buffer *routes, struct buffer *services)
{
    buffer_append_text(routes, "{\"host\":\"own\",\"routeKind\":\"primary\","
                               "\"timeoutMs\":5000,\"targetLatencyMs\":4000,"
                               "\"priority\":2,\"service\":\"core\"}");
    buffer_append_text(services, "{\"name\":\"core\",\"maxConns\":30}");
}

// Returns a configuration of the given number of databases. The names and
// limits vary, so that they do not compress to almost nothing.
static char *
make_config(unsigned version, unsigned databases_count)
{
    struct buffer routes = {0};
    struct buffer services = {0};

    append_first(&routes, &services);
    for (unsigned i = 1; i < databases_count; i++) {
        unsigned name = i * 2654435761U;
        buffer_append_format(&routes,
                             ",{\"host\":\"h%u\",\"routeKind\":\"primary\","
                             "\"timeoutMs\":%u,\"targetLatencyMs\":%u,"
                             "\"priority\":%u,\"service\":\"s%u\"}",
                             i, 2000 + i, 900 + name % 997, i % 4, name);
        buffer_append_format(&services, ",{\"name\":\"s%u\",\"maxConns\":%u}",
                             name, 10 + name % 100);
    }
    char *text = xasprintf("{\"version\":%u,\"routes\":[%.*s],"
                           "\"services\":[%.*s],"
                           "\"limits\":{\"txIdleMs\":60000}}",
                           version, (int)buffer_get_size(&routes),
                           (const char *)buffer_get_data(&routes),
                           (int)buffer_get_size(&services),
                           (const char *)buffer_get_data(&services));
    buffer_free(&routes);
    buffer_free(&services);
    return text;
}

// Expects the configuration byte for byte from each control VM.
static void
expect_config(const char *expected)
{
    for (int i = 0; i < RIG_CONTROLS; i++) {
        long status = 0;
        char *text = platform_rig_call(i, "GET", "/v1/config", NULL, &status);
        ck_assert_int_eq(status, 200);
        ck_assert(strcmp(text, expected) == 0);
        free(text);
    }
}

// Waits until the entry answers a startup for a database without upstreams
// with anything but NODB.
static void
wait_known(const char *host)
{
    char *line = xasprintf("STARTUP %s u1", host);
    bool is_known = false;

    for (int i = 0; !is_known && i < RIG_WAIT_ROUNDS; i++) {
        int fd = platform_connect(rig.client_ports[0]);
        char *text = platform_send_request(fd, line);
        is_known = text != NULL && strstr(text, "NODB") == NULL;
        free(text);
        close(fd);
        usleep(RIG_WAIT_STEP_US);
    }
    ck_assert_msg(is_known, "%s is unknown", host);
    free(line);
}

// A configuration that did not fit into one datagram was refused, so that no
// request was served at all. Control VMs that do not lead forward it and read
// it back.
START_TEST(test_config_of_many_databases)
{
    platform_rig_start("many_databases", 1, "");
    char *config = make_config(1, 3000);
    platform_rig_wait_config(0, config);
    expect_config(config);
    free(config);
    close(platform_rig_wait_answer(0, "own", "QUERY a0 WRITE k0 zero",
                                   "sig-a0"));
    wait_known("h2999");
    config = make_config(2, 3100);
    platform_rig_wait_config(1, config);
    expect_config(config);
    free(config);
    wait_known("h3099");
    config = make_config(3, 2);
    platform_rig_wait_config(2, config);
    expect_config(config);
    free(config);
    close(
        platform_rig_wait_answer(0, "own", "QUERY a1 WRITE k1 one", "sig-a1"));
    platform_rig_stop();
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_config_of_many_databases);
}

TEST_MAIN("many_databases", add_tests)
