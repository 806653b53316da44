#include <signal.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/memory.h"
#include "test/fake/platform.h"
#include "test/fake/process.h"
#include "test/rig/platform_rig.h"
#include "test/suite.h"

// Customers with keys, with real daemons and the fake platform. Every key
// contains KEY, which no log line and no line to an upstream may contain. The
// route "own" needs a key, "open" is public.

#define KEY "SECRET"
// A removed key is in use for at most this time after the configuration is
// acknowledged.
#define APPLY_US INT64_C(4000000)
// Time after which the entry has no lease any more: twice lease_ms.
#define LEASE_END_US 2000000

#define TIMINGS                                                               \
    "\"announce_expiry_ms\": 3000, \"drain_notice_ms\": 100, "                \
    "\"drain_limit_ms\": 2000"
// The lease outlasts an election or a pause of the entry, which otherwise ends
// its sessions.
#define LONG_LEASE TIMINGS ", \"lease_ms\": 4000"

#define CUSTOMER(name, key) "{\"name\":\"" name "\",\"apiKeys\":[\"" key "\"]}"
#define ROUTE(name, is_public)                                                \
    "{\"host\":\"" name "\",\"routeKind\":\"primary\",\"timeoutMs\":5000,"    \
    "\"targetLatencyMs\":4000,\"priority\":1,\"service\":\"core\","           \
    "\"public\":" is_public "}"
#define ROUTES  ROUTE("own", "false") "," ROUTE("open", "true")
#define SERVICE "{\"name\":\"core\",\"maxConns\":30,\"syncReplicas\":0}"
#define CONFIG_START(number)                                                  \
    "{\"version\":" number ",\"routes\":[" ROUTES "],\"services\":[" SERVICE  \
    "],\"limits\":{\"txIdleMs\":60000}"
#define CONFIG(number, customers)                                             \
    CONFIG_START(number) ",\"tenants\":[" customers "]}"
// A configuration that has no list of customers, not even an empty one.
#define CONFIG_WITHOUT_LIST(number) CONFIG_START(number) "}"
#define CUSTOMER_A                  CUSTOMER("cust-a", KEY "-a")
#define CUSTOMER_B                  CUSTOMER("cust-b", KEY "-b")

#define UNKNOWN_KEY "ERROR AUTHFAIL the key is not known\r\n"

// Starts the daemons with a configuration and waits until the entry serves the
// public route.
static void
start_with(const char *name, const char *timings, const char *config)
{
    struct platform_rig_options options = {
        .entries = 1,
        .databases = 1,
        .control_extra = "",
        .entry_timings = timings,
        .control_timings = timings,
    };

    platform_rig_start_with(name, &options);
    platform_forbid_text(rig.platform, KEY);
    platform_rig_wait_config(0, config);
    close(platform_rig_wait_answer(0, "open", "QUERY a0 WRITE k0 zero",
                                   "sig-a0"));
}

static void
start(const char *name, const char *config)
{
    start_with(name, TIMINGS, config);
}

// Stops the daemons after the check that no key got out.
static void
stop(void)
{
    for (int i = 0; i < RIG_CONTROLS + rig.entries_count; i++) {
        ck_assert_msg(!platform_rig_log_contains(i, KEY), "vm%d logs a key",
                      i);
    }
    ck_assert_int_eq(platform_count_forbidden(rig.platform), 0);
    platform_rig_stop();
}

// Puts a configuration in force. Returns the time of the acknowledgement.
static int64_t
put(const char *config)
{
    platform_rig_wait_config(0, config);
    return monotonic_get_us();
}

// Starts a session, which the entry must accept.
static int
connect_with(const char *startup)
{
    int fd = platform_connect(rig.client_ports[0]);

    ck_assert_int_ge(fd, 0);
    platform_rig_expect(fd, startup, "READY I -\r\n");
    return fd;
}

// Starts a session, which the entry must refuse with this answer and close.
static void
expect_refusal(const char *startup, const char *answer)
{
    int fd = platform_connect(rig.client_ports[0]);
    char byte = 0;

    ck_assert_int_ge(fd, 0);
    platform_rig_expect(fd, startup, answer);
    ck_assert_int_eq(recv(fd, &byte, 1, 0), 0);
    close(fd);
}

// Expects the announced end for a removed key, within APPLY_US of the
// acknowledgement.
static void
expect_key_notice(int fd, int64_t acknowledged_us)
{
    char text[sizeof(UNKNOWN_KEY)] = "";

    ck_assert_int_eq(recv(fd, text, sizeof(UNKNOWN_KEY) - 1, MSG_WAITALL),
                     sizeof(UNKNOWN_KEY) - 1);
    ck_assert_str_eq(text, UNKNOWN_KEY);
    ck_assert_int_lt(monotonic_get_us() - acknowledged_us, APPLY_US);
}

// Expects the same, and that the entry closes the connection.
static void
expect_key_end(int fd, int64_t acknowledged_us)
{
    char byte = 0;

    expect_key_notice(fd, acknowledged_us);
    ck_assert_int_eq(recv(fd, &byte, 1, 0), 0);
    close(fd);
}

static uint64_t
get_counter(const char *name)
{
    long status = 0;
    char *text =
        platform_rig_call(RIG_CONTROLS, "GET", "/metrics", NULL, &status);
    char *line = xasprintf("\ncatkingrade_%s ", name);
    const char *found = strstr(text, line);

    ck_assert_ptr_nonnull(found);
    uint64_t value = strtoull(found + strlen(line), NULL, 10);
    free(line);
    free(text);
    return value;
}

// Checks that the command line shows a customer and no key.
static void
check_status(const char *customer)
{
    char address[32];
    const char *args[] = {"--connect", address, "status", NULL};
    int code = 0;

    (void)snprintf(address, sizeof(address), "127.0.0.1:%d", rig.rpc_ports[0]);
    char *text = process_run(rig.folder, "catkingrade", args, &code);
    ck_assert_int_eq(code, 0);
    ck_assert_msg(strstr(text, customer) != NULL, "%s", text);
    ck_assert_ptr_null(strstr(text, KEY));
    free(text);
}

// Guards against a session without a valid key on a route that is not public,
// against a refused session on a public one, and against answers that tell
// those who have no key which routes there are.
START_TEST(test_unknown_key_is_refused)
{
    start("keys_unknown", CONFIG("1", CUSTOMER_A "," CUSTOMER_B));
    int fd = connect_with("STARTUP own " KEY "-a");
    platform_rig_expect(fd, "QUERY a1 WRITE k1 one",
                        "COMPLETE sig-a1\r\nREADY I -\r\n");
    close(fd);
    expect_refusal("STARTUP own " KEY "-x", UNKNOWN_KEY);
    expect_refusal("STARTUP own", UNKNOWN_KEY);
    expect_refusal("STARTUP own cust-a", UNKNOWN_KEY);
    expect_refusal("STARTUP nowhere " KEY "-x", UNKNOWN_KEY);
    expect_refusal("STARTUP " KEY "-a own", UNKNOWN_KEY);
    expect_refusal("STARTUP nowhere " KEY "-a",
                   "ERROR NODB there is no such database\r\n");
    close(connect_with("STARTUP open " KEY "-x"));
    close(connect_with("STARTUP open"));
    ck_assert_uint_eq(get_counter("keys_refused_total"), 5);
    ck_assert(platform_rig_log_contains(RIG_CONTROLS, "key_refused"));
    check_status("cust-b");
    stop();
}
END_TEST

// Guards against a new key that is refused by an entry that has not yet got
// the configuration: the entry asks for it.
START_TEST(test_added_key_is_accepted)
{
    start("keys_added", CONFIG("1", CUSTOMER_A));
    expect_refusal("STARTUP own " KEY "-b", UNKNOWN_KEY);
    (void)put(CONFIG("2", CUSTOMER_A "," CUSTOMER_B));
    int fd = connect_with("STARTUP own " KEY "-b");
    platform_rig_expect(fd, "QUERY a1 WRITE k1 one",
                        "COMPLETE sig-a1\r\nREADY I -\r\n");
    close(fd);
    stop();
}
END_TEST

// Guards against the same while the entry cannot have the configuration yet:
// it is stopped when the configuration is acknowledged.
START_TEST(test_added_key_at_entry_that_is_behind)
{
    start_with("keys_behind", LONG_LEASE, CONFIG("1", CUSTOMER_A));
    ck_assert_int_eq(kill(process_get_pid(rig.entries[0]), SIGSTOP), 0);
    (void)put(CONFIG("2", CUSTOMER_A "," CUSTOMER_B));
    int fd = platform_connect(rig.client_ports[0]);
    ck_assert_int_ge(fd, 0);
    platform_send_line(fd, "STARTUP own " KEY "-b");
    ck_assert_int_eq(kill(process_get_pid(rig.entries[0]), SIGCONT), 0);
    char *text = platform_receive_reply(fd);
    ck_assert_str_eq(text, "READY I -\r\n");
    free(text);
    close(fd);
    stop();
}
END_TEST

// Guards against a removed key that stays in use by idle or new sessions, and
// against the end of sessions that have another key or need none.
START_TEST(test_removed_key_ends_idle_sessions)
{
    start("keys_idle", CONFIG("1", CUSTOMER_A "," CUSTOMER_B));
    int idle = connect_with("STARTUP own " KEY "-a");
    int used = connect_with("STARTUP own " KEY "-a");
    int other = connect_with("STARTUP own " KEY "-b");
    int public = connect_with("STARTUP open " KEY "-a");
    platform_rig_expect(used, "QUERY a1 WRITE k1 one",
                        "COMPLETE sig-a1\r\nREADY I -\r\n");
    int64_t acknowledged_us = put(CONFIG("2", CUSTOMER_B));
    expect_key_end(idle, acknowledged_us);
    expect_key_end(used, acknowledged_us);
    expect_refusal("STARTUP own " KEY "-a", UNKNOWN_KEY);
    platform_rig_expect(other, "QUERY b1 WRITE k1 two",
                        "COMPLETE sig-b1\r\nREADY I -\r\n");
    platform_rig_expect(public, "QUERY c1 WRITE k1 three",
                        "COMPLETE sig-c1\r\nREADY I -\r\n");
    close(other);
    close(public);
    ck_assert_uint_eq(get_counter("keys_removed_total"), 2);
    stop();
}
END_TEST

// Guards against a transaction that is cut off as soon as its key is removed,
// and against one that goes on beyond the limit.
START_TEST(test_removed_key_ends_transactions)
{
    start("keys_transaction", CONFIG("1", CUSTOMER_A "," CUSTOMER_B));
    int quick = connect_with("STARTUP own " KEY "-a");
    int slow = connect_with("STARTUP own " KEY "-a");
    int empty = connect_with("STARTUP own " KEY "-a");
    platform_rig_expect(quick, "QUERY a1 BEGIN",
                        "COMPLETE -\r\nREADY T -\r\n");
    platform_rig_expect(quick, "QUERY a2 WRITE k1 one",
                        "COMPLETE sig-a2\r\nREADY T -\r\n");
    platform_rig_expect(slow, "QUERY b1 BEGIN", "COMPLETE -\r\nREADY T -\r\n");
    platform_rig_expect(slow, "QUERY b2 WRITE k2 two",
                        "COMPLETE sig-b2\r\nREADY T -\r\n");
    platform_rig_expect(empty, "QUERY c1 BEGIN",
                        "COMPLETE -\r\nREADY T -\r\n");
    int idle = connect_with("STARTUP own " KEY "-a");
    int64_t acknowledged_us = put(CONFIG("2", CUSTOMER_B));
    // The entry has the configuration once it ends the idle session.
    char text[sizeof(UNKNOWN_KEY)] = "";
    ck_assert_int_eq(recv(idle, text, sizeof(UNKNOWN_KEY) - 1, MSG_WAITALL),
                     sizeof(UNKNOWN_KEY) - 1);
    close(idle);
    platform_rig_expect(empty, "QUERY c2 WRITE k3 three",
                        "ERROR ABORTED the key of the transaction was "
                        "removed\r\nREADY I -\r\n" UNKNOWN_KEY);
    close(empty);
    platform_rig_expect(quick, "QUERY a3 COMMIT",
                        "COMPLETE sig-a3\r\nREADY I -\r\n" UNKNOWN_KEY);
    close(quick);
    platform_rig_expect(slow, "QUERY b3 WRITE k2 four",
                        "COMPLETE sig-b3\r\nREADY T -\r\n");
    usleep((useconds_t)(acknowledged_us + APPLY_US - monotonic_get_us()));
    platform_rig_expect(slow, "QUERY b4 WRITE k2 five",
                        "ERROR ABORTED the key of the transaction was "
                        "removed\r\nREADY I -\r\n" UNKNOWN_KEY);
    close(slow);
    ck_assert_int_eq(platform_get_arrival_us(rig.platform, "b4"), 0);
    ck_assert_int_eq(platform_count_writes(rig.platform, "one"), 1);
    ck_assert_int_eq(platform_count_writes(rig.platform, "two"), 0);
    ck_assert_int_eq(platform_count_writes(rig.platform, "three"), 0);
    stop();
}
END_TEST

// Guards against a COMMIT that stores a transaction after the limit, and
// against a session that can't end such a transaction.
START_TEST(test_late_commit_stores_nothing)
{
    start("keys_commit", CONFIG("1", CUSTOMER_A "," CUSTOMER_B));
    int commit = connect_with("STARTUP own " KEY "-a");
    int rollback = connect_with("STARTUP own " KEY "-a");
    platform_rig_expect(commit, "QUERY a1 BEGIN",
                        "COMPLETE -\r\nREADY T -\r\n");
    platform_rig_expect(commit, "QUERY a2 WRITE k1 one",
                        "COMPLETE sig-a2\r\nREADY T -\r\n");
    platform_rig_expect(rollback, "QUERY b1 BEGIN",
                        "COMPLETE -\r\nREADY T -\r\n");
    platform_rig_expect(rollback, "QUERY b2 WRITE k2 two",
                        "COMPLETE sig-b2\r\nREADY T -\r\n");
    (void)put(CONFIG("2", CUSTOMER_B));
    usleep(APPLY_US);
    platform_rig_expect(commit, "QUERY a3 COMMIT",
                        "ERROR ABORTED the transaction had failed\r\n"
                        "READY I -\r\n" UNKNOWN_KEY);
    platform_rig_expect(rollback, "QUERY b3 ROLLBACK",
                        "COMPLETE -\r\nREADY I -\r\n" UNKNOWN_KEY);
    close(commit);
    close(rollback);
    ck_assert_int_eq(platform_count_writes(rig.platform, "one"), 0);
    ck_assert_int_eq(platform_count_writes(rig.platform, "two"), 0);
    stop();
}
END_TEST

// Guards against a session that ends although its key is still declared, and
// against a transaction that goes on for a customer who no longer has the key.
START_TEST(test_key_moves_to_another_customer)
{
    start("keys_move", CONFIG("1", CUSTOMER_A));
    int idle = connect_with("STARTUP own " KEY "-a");
    int open = connect_with("STARTUP own " KEY "-a");
    platform_rig_expect(open, "QUERY a1 BEGIN", "COMPLETE -\r\nREADY T -\r\n");
    platform_rig_expect(open, "QUERY a2 WRITE k1 one",
                        "COMPLETE sig-a2\r\nREADY T -\r\n");
    (void)put(CONFIG("2", CUSTOMER("cust-b", KEY "-a")));
    usleep(APPLY_US);
    platform_rig_expect(idle, "QUERY b1 WRITE k2 two",
                        "COMPLETE sig-b1\r\nREADY I -\r\n");
    platform_rig_expect(open, "QUERY a3 WRITE k1 three",
                        "ERROR ABORTED the key of the transaction was "
                        "removed\r\nREADY E -\r\n");
    platform_rig_expect(open, "QUERY a4 ROLLBACK",
                        "COMPLETE -\r\nREADY I -\r\n");
    platform_rig_expect(open, "QUERY a5 WRITE k1 four",
                        "COMPLETE sig-a5\r\nREADY I -\r\n");
    platform_rig_expect(open, "QUERY a6 BEGIN", "COMPLETE -\r\nREADY T -\r\n");
    platform_rig_expect(open, "QUERY a7 WRITE k1 five",
                        "COMPLETE sig-a7\r\nREADY T -\r\n");
    platform_rig_expect(open, "QUERY a8 COMMIT",
                        "COMPLETE sig-a8\r\nREADY I -\r\n");
    close(idle);
    close(open);
    ck_assert_int_eq(platform_count_writes(rig.platform, "one"), 0);
    ck_assert_int_eq(platform_count_writes(rig.platform, "five"), 1);
    ck_assert_uint_eq(get_counter("keys_removed_total"), 0);
    stop();
}
END_TEST

// Guards against a check of keys in a deployment whose configurations never
// had a list of customers, and against sessions that escape the check once
// there are customers.
START_TEST(test_without_customers_no_key_is_checked)
{
    start("keys_none", CONFIG_WITHOUT_LIST("1"));
    int stranger = connect_with("STARTUP own " KEY "-x");
    int known = connect_with("STARTUP own " KEY "-a");
    platform_rig_expect(stranger, "QUERY a1 WRITE k1 one",
                        "COMPLETE sig-a1\r\nREADY I -\r\n");
    int64_t acknowledged_us = put(CONFIG("2", CUSTOMER_A));
    expect_key_end(stranger, acknowledged_us);
    platform_rig_expect(known, "QUERY b1 WRITE k1 two",
                        "COMPLETE sig-b1\r\nREADY I -\r\n");
    close(known);
    stop();
}
END_TEST

// Guards against an entry that forgets the keys when it loses control, and
// against AUTHFAIL from one that may not know the newest keys.
START_TEST(test_keys_without_control)
{
    start("keys_control", CONFIG("1", CUSTOMER_A));
    for (int i = 0; i < RIG_CONTROLS; i++) {
        ck_assert_int_eq(kill(process_get_pid(rig.controls[i]), SIGSTOP), 0);
    }
    usleep(LEASE_END_US);
    expect_refusal("STARTUP own " KEY "-x",
                   "ERROR BUSY this entry may not know the newest keys\r\n");
    close(connect_with("STARTUP own " KEY "-a"));
    for (int i = 0; i < RIG_CONTROLS; i++) {
        ck_assert_int_eq(kill(process_get_pid(rig.controls[i]), SIGCONT), 0);
    }
    stop();
}
END_TEST

// Returns the control VM that was elected last.
static int
find_leader(void)
{
    int leader = -1;

    for (int i = 0; i < RIG_CONTROLS; i++) {
        leader = platform_rig_log_contains(i, "\"elected\"") ? i : leader;
    }
    ck_assert_int_ge(leader, 0);
    return leader;
}

// Guards against a removed key that stays in use when the leader changes
// before the entry learns of the removal, of which the new leader knows
// nothing.
START_TEST(test_removed_key_after_change_of_leader)
{
    start_with("keys_leader", LONG_LEASE,
               CONFIG("1", CUSTOMER_A "," CUSTOMER_B));
    int idle = connect_with("STARTUP own " KEY "-a");
    ck_assert_int_eq(kill(process_get_pid(rig.entries[0]), SIGSTOP), 0);
    int64_t acknowledged_us = put(CONFIG("2", CUSTOMER_B));
    int leader = find_leader();
    (void)process_stop(rig.controls[leader], SIGKILL);
    rig.controls[leader] = NULL;
    ck_assert_int_eq(kill(process_get_pid(rig.entries[0]), SIGCONT), 0);
    expect_key_end(idle, acknowledged_us);
    expect_refusal("STARTUP own " KEY "-a", UNKNOWN_KEY);
    close(connect_with("STARTUP own " KEY "-b"));
    stop();
}
END_TEST

// Sends startups until one is refused with AUTHFAIL. Until then an entry may
// be unreachable or answer BUSY, but must not accept the key.
static void
wait_refusal(const char *startup)
{
    bool is_refused = false;

    for (int i = 0; i < RIG_WAIT_ROUNDS && !is_refused; i++) {
        int fd = platform_connect(rig.client_ports[0]);
        char *text = fd < 0 ? NULL : platform_send_request(fd, startup);
        ck_assert_msg(text == NULL || strncmp(text, "READY", 5) != 0,
                      "accepted: %s", startup);
        is_refused = text != NULL && strcmp(text, UNKNOWN_KEY) == 0;
        free(text);
        if (fd >= 0) {
            close(fd);
        }
        usleep(RIG_WAIT_STEP_US);
    }
    ck_assert_msg(is_refused, "not refused: %s", startup);
}

// Checks that the key of a removed customer and one that never was in a
// configuration are refused, and that the public route is served.
static void
check_no_customer(const char *id)
{
    char *line = xasprintf("QUERY %s WRITE k9 nine", id);
    char *expected = xasprintf("sig-%s", id);

    wait_refusal("STARTUP own " KEY "-a");
    wait_refusal("STARTUP own " KEY "-x");
    close(platform_rig_wait_answer(0, "open", line, expected));
    free(line);
    free(expected);
}

static void
restart(struct process **process, int vm_index)
{
    (void)process_stop(*process, SIGKILL);
    *process = platform_rig_start_daemon(vm_index, false);
    ck_assert(process_wait_port(rig.http_ports[vm_index]));
}

// Guards against keys that all run statements once the last customer is gone,
// in open and in new sessions, and against the end of sessions that need none.
START_TEST(test_last_customer_is_removed)
{
    start("keys_last", CONFIG("1", CUSTOMER_A "," CUSTOMER_B));
    int idle = connect_with("STARTUP own " KEY "-a");
    int open = connect_with("STARTUP own " KEY "-b");
    int public = connect_with("STARTUP open " KEY "-a");
    platform_rig_expect(open, "QUERY a1 BEGIN", "COMPLETE -\r\nREADY T -\r\n");
    platform_rig_expect(open, "QUERY a2 WRITE k1 one",
                        "COMPLETE sig-a2\r\nREADY T -\r\n");
    int64_t acknowledged_us = put(CONFIG("2", ""));
    expect_key_notice(idle, acknowledged_us);
    platform_rig_expect(open, "QUERY a3 COMMIT",
                        "COMPLETE sig-a3\r\nREADY I -\r\n" UNKNOWN_KEY);
    close(idle);
    close(open);
    expect_refusal("STARTUP own " KEY "-a", UNKNOWN_KEY);
    expect_refusal("STARTUP own " KEY "-x", UNKNOWN_KEY);
    platform_rig_expect(public, "QUERY c1 WRITE k1 three",
                        "COMPLETE sig-c1\r\nREADY I -\r\n");
    close(public);
    ck_assert_uint_eq(get_counter("keys_removed_total"), 2);
    stop();
}
END_TEST

// Guards against daemons that forget, when they restart or the leader changes,
// that the last customer is gone, and against a later configuration that
// brings all keys into use by leaving out the list.
START_TEST(test_last_customer_stays_removed)
{
    start("keys_stay", CONFIG("1", CUSTOMER_A));
    (void)put(CONFIG("2", ""));
    usleep(APPLY_US);
    restart(&rig.entries[0], RIG_CONTROLS);
    check_no_customer("a1");
    int leader = find_leader();
    restart(&rig.controls[leader], leader);
    check_no_customer("a2");
    for (int i = 0; i < RIG_CONTROLS; i++) {
        restart(&rig.controls[i], i);
    }
    restart(&rig.entries[0], RIG_CONTROLS);
    check_no_customer("a3");
    (void)put(CONFIG_WITHOUT_LIST("3"));
    usleep(APPLY_US);
    check_no_customer("a4");
    restart(&rig.entries[0], RIG_CONTROLS);
    check_no_customer("a5");
    (void)put(CONFIG("4", CUSTOMER_B));
    usleep(APPLY_US);
    check_no_customer("a6");
    close(connect_with("STARTUP own " KEY "-b"));
    stop();
}
END_TEST

// Guards against a removed key that stays in use when the leader changes
// before the entry learns that the last customer is gone.
START_TEST(test_last_customer_after_change_of_leader)
{
    start_with("keys_last_leader", LONG_LEASE, CONFIG("1", CUSTOMER_A));
    int idle = connect_with("STARTUP own " KEY "-a");
    ck_assert_int_eq(kill(process_get_pid(rig.entries[0]), SIGSTOP), 0);
    int64_t acknowledged_us = put(CONFIG("2", ""));
    int leader = find_leader();
    (void)process_stop(rig.controls[leader], SIGKILL);
    rig.controls[leader] = NULL;
    ck_assert_int_eq(kill(process_get_pid(rig.entries[0]), SIGCONT), 0);
    expect_key_end(idle, acknowledged_us);
    check_no_customer("a1");
    stop();
}
END_TEST

// Guards against a configuration whose list of customers is empty from the
// start and that is taken for one that has no list.
START_TEST(test_empty_list_has_no_key)
{
    start("keys_empty", CONFIG("1", ""));
    check_no_customer("a1");
    stop();
}
END_TEST

// Guards against sessions that go on when the first list of customers that a
// deployment gets is empty: no customer changes with it.
START_TEST(test_empty_list_ends_sessions)
{
    start("keys_first_list", CONFIG_WITHOUT_LIST("1"));
    int idle = connect_with("STARTUP own " KEY "-a");
    int64_t acknowledged_us = put(CONFIG("2", ""));
    expect_key_end(idle, acknowledged_us);
    check_no_customer("a1");
    stop();
}
END_TEST

// Guards against a configuration with a shared key that comes into force.
START_TEST(test_shared_key_is_refused)
{
    start("keys_shared", CONFIG("1", CUSTOMER_A));
    ck_assert_int_eq(
        platform_rig_put_config(
            0, CONFIG("2", CUSTOMER_A "," CUSTOMER("cust-b", KEY "-a"))),
        400);
    ck_assert_int_eq(
        platform_rig_put_config(
            0, CONFIG("3", CUSTOMER_A "," CUSTOMER("cust-a", KEY "-b"))),
        400);
    close(connect_with("STARTUP own " KEY "-a"));
    expect_refusal("STARTUP own " KEY "-b", UNKNOWN_KEY);
    stop();
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_unknown_key_is_refused);
    tcase_add_test(tests, test_added_key_is_accepted);
    tcase_add_test(tests, test_added_key_at_entry_that_is_behind);
    tcase_add_test(tests, test_removed_key_ends_idle_sessions);
    tcase_add_test(tests, test_removed_key_ends_transactions);
    tcase_add_test(tests, test_late_commit_stores_nothing);
    tcase_add_test(tests, test_key_moves_to_another_customer);
    tcase_add_test(tests, test_without_customers_no_key_is_checked);
    tcase_add_test(tests, test_keys_without_control);
    tcase_add_test(tests, test_removed_key_after_change_of_leader);
    tcase_add_test(tests, test_last_customer_is_removed);
    tcase_add_test(tests, test_last_customer_stays_removed);
    tcase_add_test(tests, test_last_customer_after_change_of_leader);
    tcase_add_test(tests, test_empty_list_has_no_key);
    tcase_add_test(tests, test_empty_list_ends_sessions);
    tcase_add_test(tests, test_shared_key_is_refused);
}

TEST_MAIN("keys", add_tests)
