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

// Windows judged of which control was held up in all before.
#define ATTEMPTS 10
#define MAX_TERM 50 // of control's leaders in a test

// Writes of a window.
struct sent {
    unsigned done;
    unsigned refused; // with a delay after which to repeat them
    unsigned ended;   // sessions
    unsigned others;
    char other[128]; // first answer that is none of these
};

// What is expected of a window that is not disturbed.
struct expected {
    bool limited;
    unsigned least; // of a limited customer
};

static int fds[2];
static const char *startup;

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

// Opens a session, as a client does that repeats what was refused.
static void
open_session(int entry)
{
    bool ready = false;

    for (int i = 0; !ready && i < RIG_WAIT_ROUNDS; i++) {
        fds[entry] = platform_connect(rig.client_ports[entry]);
        char *text =
            fds[entry] < 0 ? NULL : platform_send_request(fds[entry], startup);
        ready = text != NULL && strcmp(text, "READY I -\r\n") == 0;
        free(text);
        if (!ready) {
            close(fds[entry]);
            usleep(RIG_WAIT_STEP_US);
        }
    }
    ck_assert_msg(ready, "entry %d takes no session", entry);
}

static void
connect_all(const char *line)
{
    startup = line;
    open_session(0);
    open_session(1);
}

static void
close_all(void)
{
    close(fds[0]);
    close(fds[1]);
}

// Opens another session for each one that its entry has ended while it was
// idle; the others must answer.
static void
renew_ended_sessions(void)
{
    for (int i = 0; i < 2; i++) {
        char *text = platform_send_request(fds[i], "QUERY s SET v1 x");
        ck_assert_ptr_nonnull(text);
        if (platform_rig_is_ended(i, text)) {
            close(fds[i]);
            open_session(i);
        }
        else {
            ck_assert_str_eq(text, "COMPLETE -\r\nREADY I -\r\n");
        }
        free(text);
    }
}

static void
count_answer(int entry, const char *text, struct sent *sent)
{
    bool ended = platform_rig_is_ended(entry, text);
    bool ran = strncmp(text, "COMPLETE", 8) == 0;
    bool refused =
        strstr(text, "ERROR BUSY overloaded retry_after_ms=") != NULL;

    sent->done += ran ? 1 : 0;
    sent->refused += refused ? 1 : 0;
    if (ended) {
        sent->ended++;
        close(fds[entry]);
        open_session(entry);
    }
    if (!ran && !refused && !ended && sent->others++ == 0) {
        (void)snprintf(sent->other, sizeof(sent->other), "%s", text);
    }
}

// Sends writes of a value, alternately at both entries, for a window. Those
// that the databases have must be those that ran, and never too many.
static void
send_writes(const char *value, struct sent *sent)
{
    int64_t until_us = monotonic_get_us() + WINDOW_US;

    memset(sent, 0, sizeof(*sent));
    for (int i = 0; monotonic_get_us() < until_us; i++) {
        char line[64];
        (void)snprintf(line, sizeof(line), "QUERY w%d WRITE k %s", i, value);
        char *text = platform_send_request(fds[i % 2], line);
        ck_assert_ptr_nonnull(text);
        count_answer(i % 2, text, sent);
        free(text);
        usleep(2000);
    }
    unsigned stored = (unsigned)platform_count_writes(rig.platform, value);
    printf(
        "%s: %u done, %u refused, %u sessions ended, %u other answers%s%s\n",
        value, sent->done, sent->refused, sent->ended, sent->others,
        sent->others > 0 ? ", first: " : "", sent->other);
    ck_assert_uint_ge(stored, sent->done);
    ck_assert_uint_le(stored, sent->done + sent->others);
}

static bool
is_as_expected(const struct sent *sent, const struct expected *expected)
{
    if (sent->ended > 0 || sent->others > 0) {
        return false;
    }
    return expected->limited
               ? sent->refused > 0 && sent->done >= expected->least
               : sent->refused == 0 && sent->done > MOST;
}

// Sends writes for a window, on new sessions, and judges them. What is missing
// counts if control was not held up; else the next window is judged, after one
// in which the limit allows the least number again. More than the limit allows
// always counts.
static void
expect_window(const char *name, const struct expected *expected)
{
    for (int i = 0; i < ATTEMPTS; i++) {
        char value[32];
        struct sent sent;
        (void)snprintf(value, sizeof(value), "%s%d", name, i);
        send_writes(value, &sent);
        ck_assert_uint_le(expected->limited ? (unsigned)platform_count_writes(
                                                  rig.platform, value)
                                            : 0,
                          MOST);
        if (is_as_expected(&sent, expected)) {
            return;
        }
        ck_assert_msg(platform_rig_is_disturbed(),
                      "%s: %u done, %u refused, %u sessions ended, %u other "
                      "answers, first: %s",
                      value, sent.done, sent.refused, sent.ended, sent.others,
                      sent.other);
        platform_rig_begin_judged();
        usleep(WINDOW_US);
        close_all();
        connect_all(startup);
    }
    ck_abort_msg("control was held up in %d windows of %s", ATTEMPTS, name);
}

// Guards against a limit that holds at each entry and not over both, against
// one that refuses what it allows, and against one that holds for other
// customers too.
START_TEST(test_limit_holds_over_entries)
{
    start("rate_limit", CONFIG("1", LIMITED_RATE));
    connect_all("STARTUP own key-a");
    expect_window("ada", &(struct expected){.limited = true, .least = LEAST});
    close_all();
    connect_all("STARTUP own key-b");
    platform_rig_begin_judged();
    expect_window("bob", &(struct expected){0});
    close_all();
    platform_rig_stop();
}
END_TEST

// Runs a transaction with more statements than the limit allows operations.
// Returns false at a statement that is refused or whose session has ended, of
// which *refusal is a copy.
static bool
run_transaction(int entry, char refusal[128])
{
    static const char *const statements[] = {
        "BEGIN",      "WRITE k tx", "WRITE k tx", "WRITE k tx",
        "WRITE k tx", "WRITE k tx", "WRITE k tx", "COMMIT"};
    bool done = true;

    for (size_t i = 0; i < ARRAY_SIZE(statements) && done; i++) {
        char line[64];
        (void)snprintf(line, sizeof(line), "QUERY t%zu %s", i, statements[i]);
        char *text = platform_send_request(fds[entry], line);
        ck_assert_ptr_nonnull(text);
        done = strncmp(text, "COMPLETE", 8) == 0 &&
               (!platform_rig_is_ended(entry, text) ||
                i == ARRAY_SIZE(statements) - 1);
        (void)snprintf(refusal, 128, "%s: %s", line, text);
        free(text);
    }
    return done;
}

// Guards against a transaction that costs more than one operation, or that is
// refused once it has begun. A new leader has no tokens at first: after one,
// and after other delays of control, all eight are run again, once there are
// tokens for them.
START_TEST(test_transaction_is_one_operation)
{
    char refusal[128] = "";
    bool done = false;

    start("rate_limit_transaction", CONFIG("1", LIMITED_RATE));
    for (int attempt = 0; attempt < ATTEMPTS && !done; attempt++) {
        connect_all("STARTUP own key-a");
        done = true;
        for (int i = 0; i < 8 && done; i++) {
            done = run_transaction(i % 2, refusal);
        }
        close_all();
        ck_assert_msg(done || platform_rig_is_disturbed(), "%s", refusal);
        if (!done) {
            printf("repeated after %s", refusal);
            platform_rig_begin_judged();
            usleep(WINDOW_US);
        }
    }
    ck_assert_msg(done, "control was held up in %d attempts, last: %s",
                  ATTEMPTS, refusal);
    platform_rig_stop();
}
END_TEST

// Returns the control VM that lent last: the one that did so in the highest
// term.
static int
find_lender(void)
{
    long highest = -1;
    int lender = -1;

    for (int i = 0; i < RIG_CONTROLS; i++) {
        for (long term = 1; term <= MAX_TERM; term++) {
            char text[96];
            (void)snprintf(text, sizeof(text),
                           "\"limits_lent\",\"group\":\"fleet\",\"term\":"
                           "\"%ld\"",
                           term);
            if (term > highest && platform_rig_log_contains(i, text)) {
                highest = term;
                lender = i;
            }
        }
    }
    ck_assert_int_ge(lender, 0);
    return lender;
}

// Guards against a limit that does not change with the configuration, and one
// that refuses everything after a change of the leader. Sessions may end
// meanwhile, as the entries have no lease for longer than drain_notice_ms; a
// client then opens another one.
START_TEST(test_limit_changes_and_outlives_its_leader)
{
    const struct expected limited = {.limited = true};
    const struct expected unlimited = {.limited = false};

    start("rate_limit_change", CONFIG("1", LIMITED_RATE));
    connect_all("STARTUP own key-a");
    expect_window("low", &limited);
    platform_rig_begin_judged();
    platform_rig_wait_config(0, CONFIG("2", HIGHER_RATE));
    usleep(1000000);
    expect_window("high", &unlimited);
    platform_rig_begin_judged();
    int lender = find_lender();
    (void)process_stop(rig.controls[lender], SIGKILL);
    rig.controls[lender] = NULL;
    usleep(4000000);
    renew_ended_sessions();
    expect_window("next", &unlimited);
    platform_rig_begin_judged();
    platform_rig_wait_config(lender == 0 ? 1 : 0, CONFIG("3", LIMITED_RATE));
    usleep(4000000);
    struct sent sent;
    send_writes("lowered", &sent);
    expect_window("after", &limited);
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
