#include <signal.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/memory.h"
#include "test/fake/platform.h"
#include "test/fake/process.h"
#include "test/rig/platform_rig.h"
#include "test/suite.h"

// Rate limits of customers, with real daemons and the fake platform: two
// entries and three control VMs.

#define ROUTE                                                                 \
    "{\"host\":\"own\",\"routeKind\":\"primary\",\"timeoutMs\":5000,"         \
    "\"targetLatencyMs\":4000,\"priority\":1,\"service\":\"core\","           \
    "\"public\":false}"
#define SERVICE "{\"name\":\"core\",\"maxConns\":30,\"syncReplicas\":0}"
#define CONFIG(number, rate)                                                  \
    "{\"version\":" number ",\"routes\":[" ROUTE "],\"services\":[" SERVICE   \
    "],\"limits\":{\"txIdleMs\":60000},\"tenants\":["                         \
    "{\"name\":\"ada\",\"apiKeys\":[\"key-a\"]," rate "},"                    \
    "{\"name\":\"bob\",\"apiKeys\":[\"key-b\"]}]}"
#define LIMITED_RATE "\"ratePerS\":2,\"burst\":3"
#define HIGHER_RATE  "\"ratePerS\":50,\"burst\":50"

#define WINDOW_US INT64_C(5000000)
// (rate x 5 + burst) x 1.1 + 20 and rate x 5 + burst.
#define MOST  34
#define LEAST 13

static int fds[2];

static void
start(const char *name, const char *config)
{
    platform_rig_start(name, 2, "");
    platform_rig_wait_config(0, config);
    for (int i = 0; i < 2; i++) {
        bool ready = false;
        for (int round = 0; !ready && round < RIG_WAIT_ROUNDS; round++) {
            fds[i] = platform_connect(rig.client_ports[i]);
            char *text =
                fds[i] < 0
                    ? NULL
                    : platform_send_request(fds[i], "STARTUP own key-b");
            ready = text != NULL && strncmp(text, "READY", 5) == 0;
            free(text);
            text = ready ? platform_send_request(fds[i], "QUERY a WRITE k v")
                         : NULL;
            ready = text != NULL && strstr(text, "sig-a") != NULL;
            free(text);
            close(fds[i]);
            usleep(RIG_WAIT_STEP_US);
        }
        ck_assert(ready);
    }
}

static void
connect_all(const char *startup)
{
    for (int i = 0; i < 2; i++) {
        fds[i] = platform_connect(rig.client_ports[i]);
        ck_assert_int_ge(fds[i], 0);
        platform_rig_expect(fds[i], startup, "READY I -\r\n");
    }
}

static void
close_all(void)
{
    close(fds[0]);
    close(fds[1]);
}

// Sends writes, alternately at both entries, for a time. Returns how many
// ran; the others must be refused with a delay, and are counted.
static unsigned
send_writes(int64_t duration_us, const char *value, unsigned *refused)
{
    int64_t until_us = monotonic_get_us() + duration_us;
    unsigned done = 0;

    *refused = 0;
    for (int i = 0; monotonic_get_us() < until_us; i++) {
        char line[64];
        (void)snprintf(line, sizeof(line), "QUERY w%d WRITE k %s", i, value);
        char *text = platform_send_request(fds[i % 2], line);
        ck_assert_ptr_nonnull(text);
        bool ran = strncmp(text, "ERROR", 5) != 0;
        ck_assert_msg(
            ran ||
                strstr(text, "ERROR BUSY overloaded retry_after_ms=") != NULL,
            "%s", text);
        done += ran ? 1 : 0;
        *refused += ran ? 0 : 1;
        free(text);
        usleep(2000);
    }
    return done;
}

static void
expect_done(int fd, const char *line)
{
    char *text = platform_send_request(fd, line);

    ck_assert_msg(text != NULL && strncmp(text, "ERROR", 5) != 0, "%s: %s",
                  line, text);
    free(text);
}

// Guards against a limit that holds at each entry and not over both, against
// one that refuses what it allows, and against one that holds for other
// customers too.
START_TEST(test_limit_holds_over_entries)
{
    start("rate_limit", CONFIG("1", LIMITED_RATE));
    connect_all("STARTUP own key-a");
    unsigned refused = 0;
    unsigned done = send_writes(WINDOW_US, "ada", &refused);
    printf("limited: %u of %d to %d, %u refused\n", done, LEAST, MOST,
           refused);
    ck_assert_uint_le(done, MOST);
    ck_assert_uint_ge(done, LEAST);
    ck_assert_uint_gt(refused, 0);
    ck_assert_int_eq(platform_count_writes(rig.platform, "ada"), (int)done);
    close_all();
    connect_all("STARTUP own key-b");
    done = send_writes(WINDOW_US, "bob", &refused);
    printf("without a limit: %u, %u refused\n", done, refused);
    ck_assert_uint_gt(done, MOST);
    ck_assert_uint_eq(refused, 0);
    close_all();
    platform_rig_stop();
}
END_TEST

// Guards against a transaction that costs more than one operation, or that is
// refused once it has begun.
START_TEST(test_transaction_is_one_operation)
{
    start("rate_limit_transaction", CONFIG("1", LIMITED_RATE));
    connect_all("STARTUP own key-a");
    // Eight operations, with more statements than the limit allows operations.
    for (int i = 0; i < 8; i++) {
        platform_rig_expect(fds[i % 2], "QUERY b BEGIN",
                            "COMPLETE -\r\nREADY T -\r\n");
        for (int j = 0; j < 6; j++) {
            expect_done(fds[i % 2], "QUERY t WRITE k tx");
        }
        expect_done(fds[i % 2], "QUERY c COMMIT");
    }
    close_all();
    platform_rig_stop();
}
END_TEST

// Guards against a limit that does not change with the configuration, and one
// that refuses everything after a change of the leader.
START_TEST(test_limit_changes_and_outlives_its_leader)
{
    start("rate_limit_change", CONFIG("1", LIMITED_RATE));
    connect_all("STARTUP own key-a");
    unsigned refused = 0;
    (void)send_writes(WINDOW_US, "low", &refused);
    ck_assert_uint_gt(refused, 0);
    platform_rig_wait_config(0, CONFIG("2", HIGHER_RATE));
    usleep(1000000);
    unsigned done = send_writes(WINDOW_US, "high", &refused);
    printf("raised: %u, %u refused\n", done, refused);
    ck_assert_uint_gt(done, MOST);
    ck_assert_uint_eq(refused, 0);
    for (int i = 0; i < RIG_CONTROLS; i++) {
        if (platform_rig_log_contains(i, "limits_lent")) {
            (void)process_stop(rig.controls[i], SIGKILL);
            rig.controls[i] = NULL;
            break;
        }
    }
    usleep(4000000);
    done = send_writes(WINDOW_US, "next", &refused);
    printf("new leader: %u, %u refused\n", done, refused);
    ck_assert_uint_gt(done, MOST);
    ck_assert_uint_eq(refused, 0);
    int control = rig.controls[0] == NULL ? 1 : 0;
    platform_rig_wait_config(control, CONFIG("3", LIMITED_RATE));
    usleep(4000000);
    (void)send_writes(WINDOW_US, "lowered", &refused);
    done = send_writes(WINDOW_US, "after", &refused);
    printf("lowered: %u, %u refused\n", done, refused);
    ck_assert_uint_le(done, MOST);
    ck_assert_uint_gt(refused, 0);
    close_all();
    platform_rig_stop();
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_limit_holds_over_entries);
    tcase_add_test(tests, test_transaction_is_one_operation);
    tcase_add_test(tests, test_limit_changes_and_outlives_its_leader);
}

TEST_MAIN("rate_limit", add_tests)
