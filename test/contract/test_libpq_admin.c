// Contract tests of the driver of control's operations at PostgreSQL servers,
// against the stand-in upstream.

#include <apr_general.h>
#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/control/upstream_admin.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/kernel/settings.h"
#include "test/fake/process.h"
#include "test/suite.h"

#define SETTINGS                                                              \
    "{\"vm\": \"c1\", \"failure_domain\": \"z1\", \"roles\": [\"entry\"], "   \
    "\"listen\": {\"rpc\": \"127.0.0.1:1\", \"http\": \"127.0.0.1:2\", "      \
    "\"postgres\": \"127.0.0.1:3\"}}"

#define FENCING_TOKEN 7

// One promotion of a replica, and its result.
struct promotion {
    struct loop *loop;
    bool leads; // this VM still leads when the promotion would be sent
    int outcome;
};

static bool
promotion_may_send(void *data, uint64_t fencing_token)
{
    const struct promotion *promotion = data;

    return promotion->leads && fencing_token == FENCING_TOKEN;
}

static void
promotion_handle_done(void *data, const struct upstream_admin_result *result)
{
    struct promotion *promotion = data;

    ck_assert_uint_eq(result->fencing_token, FENCING_TOKEN);
    promotion->outcome = result->outcome;
    loop_stop(promotion->loop);
}

static void
promotion_run(struct promotion *promotion, int port)
{
    struct buffer errors = {0};
    struct settings *settings = settings_parse("a.json", SETTINGS, &errors);
    struct ck_upstream upstream = {.name = (char *)"second",
                                   .database = (char *)"roster1",
                                   .failure_domain = (char *)"z1",
                                   .host = (char *)"127.0.0.1",
                                   .port = (u_int)port};
    struct upstream_admin_request request = {
        .kind = UPSTREAM_ADMIN_PROMOTE,
        .upstream = &upstream,
        .fencing_token = FENCING_TOKEN,
        .may_change = promotion_may_send,
        .done = promotion_handle_done,
        .data = promotion,
    };

    ck_assert_msg(settings != NULL, "%.*s", (int)buffer_get_size(&errors),
                  (const char *)buffer_get_data(&errors));
    ck_assert_int_eq(apr_initialize(), APR_SUCCESS);
    promotion->loop = loop_create();
    struct upstream_admin *admin =
        libpq_admin_driver.create(promotion->loop, settings);
    admin->ops->run(admin, &request);
    loop_run(promotion->loop);
    admin->ops->destroy(admin);
    loop_destroy(promotion->loop);
    settings_destroy(settings);
    buffer_free(&errors);
}

// Guards against two primaries: a VM that has lost the leadership while the
// connection was being opened must not promote the upstream.
START_TEST(test_superseded_leader_does_not_promote)
{
    char address[32];
    char *folder = process_make_folder("libpq_admin");
    int ports[2] = {process_get_free_port(), process_get_free_port()};
    struct process *processes[2] = {NULL, NULL};

    (void)snprintf(address, sizeof(address), "127.0.0.1:%d", ports[0]);
    const char *primary[] = {NULL};
    const char *replica[] = {"--primary-address", address, NULL};
    processes[0] = process_start_upstream(folder, "first", ports[0], primary);
    ck_assert(process_wait_port(ports[0]));
    processes[1] = process_start_upstream(folder, "second", ports[1], replica);
    ck_assert(process_wait_port(ports[1]));
    PGconn *conn = process_connect(ports[1], NULL);
    ck_assert(process_wait_value(conn, "SELECT pg_is_in_recovery()", "t"));
    struct promotion promotion = {.leads = false};
    promotion_run(&promotion, ports[1]);
    ck_assert_int_eq(promotion.outcome, OUTCOME_NOT_LEADER);
    ck_assert(process_wait_value(conn, "SELECT pg_is_in_recovery()", "t"));
    promotion.leads = true;
    promotion_run(&promotion, ports[1]);
    ck_assert_int_eq(promotion.outcome, OUTCOME_OK);
    ck_assert(process_wait_value(conn, "SELECT pg_is_in_recovery()", "f"));
    PQfinish(conn);
    for (int i = 0; i < 2; i++) {
        (void)process_stop(processes[i], SIGKILL);
    }
    free(folder);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_superseded_leader_does_not_promote);
}

TEST_MAIN("libpq_admin", add_tests)
