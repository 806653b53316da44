#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "catkingrade/kernel/memory.h"
#include "test/fake/platform.h"
#include "test/rig/platform_rig.h"
#include "test/suite.h"

// Entries that pass statements on: real daemons against the stand-in of the
// platform. Of 8 connections 4 are lent, too few for two entries to hold 3
// each, so that one holds them for both.

#define ENTRIES        2
#define RELAY_SETTINGS ",\"relay_min_connections\": 3"

#define CONFIG                                                                \
    "{\"version\":1,\"routes\":["                                             \
    "{\"host\":\"own\",\"routeKind\":\"read_own_writes\","                    \
    "\"timeoutMs\":5000,\"targetLatencyMs\":4000,\"priority\":2,"             \
    "\"service\":\"core\",\"maxStalenessMs\":2500},"                          \
    "{\"host\":\"current\",\"routeKind\":\"primary\",\"timeoutMs\":5000,"     \
    "\"targetLatencyMs\":4000,\"priority\":1,\"service\":\"core\"}],"         \
    "\"services\":[{\"name\":\"core\",\"maxConns\":8,\"syncReplicas\":0}],"   \
    "\"limits\":{\"txIdleMs\":60000}}"

static bool
log_contains(int entry, const char *event)
{
    char path[512];

    (void)snprintf(path, sizeof(path), "%s/vm%d.log", rig.folder,
                   RIG_CONTROLS + entry);
    char *text = process_read_file(path);
    bool found = strstr(text, event) != NULL;
    free(text);
    return found;
}

// Starts two entries, has both serve, and returns the one that passes its
// statements on.
static int
start_with_relay(const char *name)
{
    int relaying = -1;

    platform_rig_start(name, ENTRIES, RELAY_SETTINGS);
    platform_rig_wait_config(0, CONFIG);
    for (int i = 0; i < RIG_WAIT_ROUNDS && relaying < 0; i++) {
        for (int entry = 0; entry < ENTRIES; entry++) {
            close(platform_rig_wait_answer(entry, "own",
                                           "QUERY a0 WRITE k0 zero", "sig-"));
            relaying = log_contains(entry, "relay_begun") ? entry : relaying;
        }
        usleep(RIG_WAIT_STEP_US);
    }
    ck_assert_msg(relaying >= 0, "no entry passes statements on");
    return relaying;
}

// Whatever a session may do goes through another entry, with its variables,
// prepared statements and transactions.
START_TEST(test_statements_through_relay)
{
    int entry = start_with_relay("relay_statements");
    int fd = platform_rig_wait_answer(entry, "own", "QUERY a0 WRITE k0 zero",
                                      "sig-a0");

    platform_rig_check_statements(fd);
    // Without the variable of the session before.
    int other = platform_rig_wait_answer(entry, "current", "QUERY f1 READ k1",
                                         "DATAROW one");
    close(other);
    close(fd);
    ck_assert_int_eq(platform_get_protocol_errors(rig.platform), 0);
    platform_rig_stop();
}
END_TEST

// The session's own saves are read also through another entry, where replicas
// lack them; sessions that share its links are not held to them.
START_TEST(test_own_writes_through_relay)
{
    int entry = start_with_relay("relay_own");
    int fd = platform_rig_wait_answer(entry, "own", "QUERY a0 WRITE k0 zero",
                                      "sig-a0");

    platform_rig_check_read_own_writes(fd);
    close(fd);
    platform_rig_stop();
}
END_TEST

// Saves numbered values through one entry until the other one is gone and
// saves go on without it. Each that was acknowledged is there once, and each
// of which was said that it has not run is not there.
static void
write_while_relay_entry_ends(int entry, int signal_number)
{
    int fd = -1;
    int saved_since = 0;
    struct process *holder = rig.entries[1 - entry];

    for (int i = 0; i < RIG_WAIT_ROUNDS && saved_since < 20; i++) {
        char line[64];
        char value[32];
        if (fd < 0) {
            fd = platform_rig_wait_answer(entry, "current",
                                          "QUERY s0 SET v1 x", "COMPLETE");
        }
        if (i == 20) {
            ck_assert_int_eq(kill(process_get_pid(holder), signal_number), 0);
        }
        (void)snprintf(value, sizeof(value), "value%d", i);
        (void)snprintf(line, sizeof(line), "QUERY w%d WRITE k5 %s", i, value);
        char *text = platform_send_request(fd, line);
        bool saved = text != NULL && strncmp(text, "COMPLETE", 8) == 0;
        bool promised = text != NULL && strncmp(text, "ERROR BUSY", 10) == 0;
        int count = platform_count_writes(rig.platform, value);
        ck_assert_msg(count == (saved ? 1 : 0) || (!promised && !saved),
                      "%s is there %d times after %s", value, count,
                      text == NULL ? "the end" : text);
        ck_assert_int_le(count, 1);
        saved_since += saved && i > 20 ? 1 : 0;
        if (text == NULL) {
            close(fd);
            fd = -1;
        }
        free(text);
        usleep(RIG_WAIT_STEP_US);
    }
    ck_assert_int_eq(saved_since, 20);
    close(fd);
}

START_TEST(test_relay_entry_is_killed)
{
    int entry = start_with_relay("relay_killed");

    write_while_relay_entry_ends(entry, SIGKILL);
    platform_rig_stop();
}
END_TEST

START_TEST(test_relay_entry_is_stopped)
{
    int entry = start_with_relay("relay_stopped");

    write_while_relay_entry_ends(entry, SIGTERM);
    platform_rig_stop();
}
END_TEST

// A primary that is lost behind the other entry is followed there.
START_TEST(test_failover_behind_relay)
{
    int entry = start_with_relay("relay_failover");
    int old = platform_get_primary(rig.platform);

    platform_stop_upstream(rig.platform, old);
    int fd = platform_rig_wait_answer(entry, "current",
                                      "QUERY a1 WRITE k1 one", "sig-a1");
    ck_assert_int_ne(platform_get_primary(rig.platform), old);
    platform_rig_expect(fd, "QUERY a2 READ k0",
                        "DATAROW zero\r\nCOMPLETE sig-a2\r\nREADY I -\r\n");
    ck_assert_int_eq(platform_count_writes(rig.platform, "one"), 1);
    close(fd);
    platform_rig_stop();
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_statements_through_relay);
    tcase_add_test(tests, test_own_writes_through_relay);
    tcase_add_test(tests, test_relay_entry_is_killed);
    tcase_add_test(tests, test_relay_entry_is_stopped);
    tcase_add_test(tests, test_failover_behind_relay);
}

TEST_MAIN("relay", add_tests)
