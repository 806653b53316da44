#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "catkingrade/kernel/memory.h"
#include "test/fake/platform.h"
#include "test/rig/platform_rig.h"
#include "test/suite.h"

// The names under which upstreams run the statements of customers, with real
// daemons and the fake platform. Of two entries one is the relay of the other,
// so that both ways to an upstream occur.

#define KEY            "SECRET"
#define UNKNOWN_KEY    "ERROR AUTHFAIL the key is not known\r\n"
#define ENTRIES        2
#define APPLY_US       4000000 // a configuration is in force after this time
#define RELAY_SETTINGS ",\"relay_min_connections\": 3"
#define ROUTE(name, is_public)                                                \
    "{\"host\":\"" name "\",\"routeKind\":\"primary\",\"timeoutMs\":5000,"    \
    "\"targetLatencyMs\":4000,\"priority\":1,\"service\":\"core\","           \
    "\"public\":" is_public "}"
#define ROUTES ROUTE("own", "false") "," ROUTE("open", "true")
#define SERVICE                                                               \
    "{\"name\":\"core\",\"maxConns\":8,"                                      \
    "\"syncReplicas\":0}"
#define CUSTOMER(name, key) "{\"name\":\"" name "\",\"apiKeys\":[\"" key "\"]}"
#define CONFIG(number, customers)                                             \
    "{\"version\":" number ",\"routes\":[" ROUTES "],\"services\":[" SERVICE  \
    "],\"limits\":{\"txIdleMs\":60000},\"tenants\":[" customers "]}"
#define CUSTOMERS CUSTOMER("cust-a", KEY "-a") "," CUSTOMER("cust-b", KEY "-b")
#define CUSTOMERS_EXCHANGED                                                   \
    CUSTOMER("cust-a", KEY "-b") "," CUSTOMER("cust-b", KEY "-a")

// Runs a write and a transaction on a new session, and checks the name under
// which each statement reached the upstream. NULL: the name of no customer.
static void
check_names(int entry, const char *startup, const char *id,
            const char *customer)
{
    static const char *const statements[] = {"WRITE k1 one", "BEGIN",
                                             "WRITE k2 two", "COMMIT"};
    int fd = platform_connect(rig.client_ports[entry]);
    char sender[PLATFORM_ID_SIZE];

    ck_assert_int_ge(fd, 0);
    platform_rig_expect(fd, startup, "READY I -\r\n");
    for (size_t i = 0; i < ARRAY_SIZE(statements); i++) {
        char *line =
            xasprintf("QUERY %s-%d-%zu %s", id, entry, i, statements[i]);
        char *text = platform_send_request(fd, line);
        ck_assert_msg(text != NULL && strncmp(text, "COMPLETE", 8) == 0,
                      "%s: %s", line, text == NULL ? "end" : text);
        free(text);
        free(line);
    }
    close(fd);
    for (size_t i = 0; i < ARRAY_SIZE(statements); i++) {
        char *statement_id = xasprintf("%s-%d-%zu", id, entry, i);
        bool arrived =
            platform_get_arrival_sender(rig.platform, statement_id, sender);
        bool is_own_name = arrived && strncmp(sender, "vm", 2) == 0;
        ck_assert_msg(!arrived ||
                          (customer == NULL ? is_own_name
                                            : strcmp(sender, customer) == 0),
                      "%s arrived as %s", statement_id, sender);
        ck_assert_msg(arrived || strcmp(statements[i], "BEGIN") == 0,
                      "%s has not arrived", statement_id);
        free(statement_id);
    }
}

// Starts the daemons and waits until one entry uses the other as its relay.
static void
start_with_relay(const char *name)
{
    bool has_relay = false;

    platform_rig_start(name, ENTRIES, RELAY_SETTINGS);
    platform_forbid_text(rig.platform, KEY);
    platform_rig_wait_config(0, CONFIG("1", CUSTOMERS));
    for (int i = 0; i < RIG_WAIT_ROUNDS && !has_relay; i++) {
        for (int entry = 0; entry < ENTRIES; entry++) {
            close(platform_rig_wait_answer(entry, "open",
                                           "QUERY a0 WRITE k0 zero", "sig-"));
            has_relay = has_relay || platform_rig_log_contains(
                                         RIG_CONTROLS + entry, "relay_begun");
        }
        usleep(RIG_WAIT_STEP_US);
    }
    ck_assert_msg(has_relay, "no entry uses a relay");
}

// Guards against a statement that an upstream runs under the name of another
// customer, of none, or under the key, on the direct way and through a relay.
START_TEST(test_upstreams_see_the_customer)
{
    start_with_relay("key_names");
    for (int entry = 0; entry < ENTRIES; entry++) {
        check_names(entry, "STARTUP own " KEY "-a", "a", "cust-a");
        check_names(entry, "STARTUP own " KEY "-b", "b", "cust-b");
        check_names(entry, "STARTUP open " KEY "-a", "p", "cust-a");
        check_names(entry, "STARTUP open " KEY "-x", "x", NULL);
    }
    // The customers exchange their keys.
    platform_rig_wait_config(0, CONFIG("2", CUSTOMERS_EXCHANGED));
    usleep(APPLY_US);
    for (int entry = 0; entry < ENTRIES; entry++) {
        check_names(entry, "STARTUP own " KEY "-a", "ab", "cust-b");
        check_names(entry, "STARTUP own " KEY "-b", "ba", "cust-a");
    }
    ck_assert_int_eq(platform_count_forbidden(rig.platform), 0);
    platform_rig_stop();
}
END_TEST

// Expects that a startup with this key is refused.
static void
check_refused(int entry, const char *startup)
{
    int fd = platform_connect(rig.client_ports[entry]);

    ck_assert_int_ge(fd, 0);
    platform_rig_expect(fd, startup, UNKNOWN_KEY);
    close(fd);
}

// Guards against statements that upstreams run, on the direct way and through
// a relay, for keys of customers of whom the last is gone, or for any key.
START_TEST(test_no_upstream_runs_for_customers_that_are_gone)
{
    int fds[ENTRIES];

    start_with_relay("keys_gone");
    for (int entry = 0; entry < ENTRIES; entry++) {
        fds[entry] = platform_connect(rig.client_ports[entry]);
        ck_assert_int_ge(fds[entry], 0);
        platform_rig_expect(fds[entry], "STARTUP own " KEY "-a",
                            "READY I -\r\n");
        platform_rig_expect_start(fds[entry], "QUERY b0 WRITE k1 one",
                                  "COMPLETE sig-b0");
    }
    platform_rig_wait_config(0, CONFIG("2", ""));
    usleep(APPLY_US);
    for (int entry = 0; entry < ENTRIES; entry++) {
        char text[sizeof(UNKNOWN_KEY)] = "";
        ck_assert_int_eq(
            recv(fds[entry], text, sizeof(UNKNOWN_KEY) - 1, MSG_WAITALL),
            sizeof(UNKNOWN_KEY) - 1);
        ck_assert_str_eq(text, UNKNOWN_KEY);
        close(fds[entry]);
        check_refused(entry, "STARTUP own " KEY "-a");
        check_refused(entry, "STARTUP own " KEY "-x");
        check_names(entry, "STARTUP open " KEY "-a", "o", NULL);
    }
    platform_rig_stop();
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_upstreams_see_the_customer);
    tcase_add_test(tests, test_no_upstream_runs_for_customers_that_are_gone);
}

TEST_MAIN("key_names", add_tests)
