#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "test/fake/platform.h"
#include "test/rig/platform_rig.h"
#include "test/suite.h"

// End-to-end tests of routes that change their database under open sessions:
// three control VMs and entries as real daemons, with the fake platform as
// upstreams.

#define CONFIG_SIZE 1024
// With this and 8 connections to an upstream, one of two entries is the relay
// of the other.
#define RELAY_SETTINGS ",\"relay_min_connections\": 3"
#define READS          20

// Declares two databases, and the route "own" to one of them.
static void
put_route(int number, const char *database)
{
    char body[CONFIG_SIZE];

    (void)snprintf(
        body, sizeof(body),
        "{\"version\":%d,\"routes\":["
        "{\"host\":\"own\",\"routeKind\":\"read_own_writes\","
        "\"timeoutMs\":5000,\"targetLatencyMs\":4000,\"priority\":2,"
        "\"service\":\"%s\",\"maxStalenessMs\":60000}],"
        "\"services\":[{\"name\":\"core\",\"maxConns\":8,\"syncReplicas\":0},"
        "{\"name\":\"core1\",\"maxConns\":8,\"syncReplicas\":0}],"
        "\"limits\":{\"txIdleMs\":60000}}",
        number, database);
    platform_rig_wait_config(0, body);
}

// Reads on an open session until the answer has the expected row.
static void
wait_row(int fd, const char *line, const char *row)
{
    for (int i = 0; i < RIG_WAIT_ROUNDS; i++) {
        char *answer = platform_send_request(fd, line);
        bool found = answer != NULL && strstr(answer, row) != NULL;
        free(answer);
        if (found) {
            return;
        }
        usleep(RIG_WAIT_STEP_US);
    }
    ck_abort_msg("no answer to %s has %s", line, row);
}

static void
start(const char *name, int entries)
{
    const struct platform_rig_options options = {
        .entries = entries, .databases = 2, .control_extra = RELAY_SETTINGS};

    platform_rig_start_with(name, &options);
    put_route(1, "core1");
    close(platform_rig_wait_answer(0, "own", "QUERY a0 WRITE where other",
                                   "sig-a0"));
}

static void
pause_replicas(bool paused)
{
    int primary = platform_get_primary(rig.platform);

    for (int i = 0; i < PLATFORM_UPSTREAMS; i++) {
        platform_pause_replication(rig.platform, i, paused && i != primary);
    }
}

// Opens a session at an entry, which writes while no replica receives
// anything, moves its route to the other database and back, and reads.
static void
move_route_and_back(int entry, int number)
{
    put_route(number, "core");
    int fd = platform_rig_wait_answer(entry, "own", "QUERY a1 READ where",
                                      "COMPLETE sig-a1");
    wait_row(fd, "QUERY a2 WRITE where core", "COMPLETE sig-a2");
    wait_row(fd, "QUERY a3 READ where", "DATAROW core");
    platform_rig_expect(fd, "QUERY b0 WRITE mine zero",
                        "COMPLETE sig-b0\r\nREADY I -\r\n");
    wait_row(fd, "QUERY b1 READ mine", "DATAROW zero");
    pause_replicas(true);
    platform_rig_expect(fd, "QUERY b2 WRITE mine one",
                        "COMPLETE sig-b2\r\nREADY I -\r\n");
    put_route(number + 1, "core1");
    wait_row(fd, "QUERY c0 READ where", "DATAROW other");
    put_route(number + 2, "core");
    wait_row(fd, "QUERY d0 READ where", "DATAROW core");
    for (int i = 0; i < READS; i++) {
        platform_rig_expect(fd, "QUERY d1 READ mine",
                            "DATAROW one\r\nCOMPLETE sig-d1\r\nREADY I -\r\n");
    }
    pause_replicas(false);
    close(fd);
}

// Guards against stale reads: a session whose route moved to another database
// and back must still read what it wrote before.
START_TEST(test_session_reads_its_write_after_route_moved_back)
{
    start("moved_route", 1);
    move_route_and_back(0, 2);
    platform_rig_stop();
}
END_TEST

// The same with two entries, one of which is the relay of the other.
START_TEST(test_relayed_session_reads_its_write_after_route_moved_back)
{
    start("moved_route_relay", 2);
    move_route_and_back(0, 2);
    move_route_and_back(1, 5);
    ck_assert(platform_rig_log_contains(RIG_CONTROLS, "relay_begun") ||
              platform_rig_log_contains(RIG_CONTROLS + 1, "relay_begun"));
    platform_rig_stop();
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_session_reads_its_write_after_route_moved_back);
    tcase_add_test(
        tests, test_relayed_session_reads_its_write_after_route_moved_back);
}

TEST_MAIN("moved_route", add_tests)
