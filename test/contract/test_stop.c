#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <unistd.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/tcp.h"
#include "test/fake/platform.h"
#include "test/fake/process.h"
#include "test/rig/platform_rig.h"
#include "test/suite.h"

// Planned stops (SIGTERM) of entries that have statements in flight, with real
// daemons and the fake platform.

#define CONFIG                                                                \
    "{\"version\":1,\"routes\":["                                             \
    "{\"host\":\"current\",\"routeKind\":\"primary\",\"timeoutMs\":9000,"     \
    "\"targetLatencyMs\":9000,\"priority\":1,\"service\":\"core\"}],"         \
    "\"services\":[{\"name\":\"core\",\"maxConns\":8,\"syncReplicas\":0}],"   \
    "\"limits\":{\"txIdleMs\":60000}}"
// Half of the connections go to entries: too few for two entries, so that one
// relays the statements of the other.
#define RELAY_SETTINGS ",\"relay_min_connections\": 3"
#define WRITERS        20

// Starts one entry and returns a session on it that has written.
static int
start_session(const char *name)
{
    platform_rig_start(name, 1, "");
    platform_rig_wait_config(0, CONFIG);
    return platform_rig_wait_answer(0, "current", "QUERY a0 WRITE k0 zero",
                                    "sig-a0");
}

static void
wait_for_held_reply(void)
{
    for (int i = 0;
         i < RIG_WAIT_ROUNDS && platform_count_held_replies(rig.platform) == 0;
         i++) {
        usleep(RIG_WAIT_STEP_US);
    }
    ck_assert_uint_gt(platform_count_held_replies(rig.platform), 0);
}

// Makes the primary hold its replies, and returns it.
static int
hold_replies_of_primary(void)
{
    int primary = platform_get_primary(rig.platform);

    platform_hold_replies(rig.platform, primary, true);
    return primary;
}

static void
stop_entry(int entry)
{
    ck_assert_int_eq(kill(process_get_pid(rig.entries[entry]), SIGTERM), 0);
}

// Waits for the end of an entry, which must be regular and logged.
static void
wait_for_entry(int entry)
{
    ck_assert_int_eq(process_wait(rig.entries[entry]), 0);
    rig.entries[entry] = NULL;
    ck_assert(platform_rig_log_contains(RIG_CONTROLS + entry,
                                        "\"event\":\"ended\""));
}

#define ANSWERED "\r\nREADY I -\r\n"
#define ENDED    "ERROR BUSY this entry ends its sessions\r\n"

// Returns what an entry that stops still sends on a session, which it must
// close: the answer to the session's statement, without the announcement that
// the session ends.
static char *
receive_last_answer(int fd)
{
    char *text = platform_receive_rest(fd);
    size_t size = strlen(text);
    size_t end_size = strlen(ENDED);

    ck_assert_msg(size >= end_size &&
                      strcmp(text + size - end_size, ENDED) == 0,
                  "%s", text);
    text[size - end_size] = '\0';
    close(fd);
    return text;
}

// Guards against a read that is cut off by a stop without an answer.
START_TEST(test_read_in_flight_is_answered_at_stop)
{
    int fd = start_session("stop_read");
    (void)hold_replies_of_primary();
    platform_send_line(fd, "QUERY a1 READ k0");
    wait_for_held_reply();
    stop_entry(0);
    char *text = receive_last_answer(fd);
    ck_assert_str_eq(text, "ERROR FAILED the answer was lost" ANSWERED);
    free(text);
    wait_for_entry(0);
    platform_rig_stop();
}
END_TEST

// Checks the answer to the write of a writer: not run, or in doubt if it ran.
// Returns whether it was not run.
static bool
check_write_answer(int writer, const char *text)
{
    char value[32];

    (void)snprintf(value, sizeof(value), "value%d", writer);
    int count = platform_count_writes(rig.platform, value);
    ck_assert_msg(strstr(text, ANSWERED) != NULL, "%s: %s", value, text);
    bool not_run = strncmp(text, "ERROR BUSY ", 11) == 0;
    bool in_doubt = strncmp(text, "ERROR INDOUBT ", 14) == 0;
    ck_assert_msg(not_run || in_doubt, "%s: %s", value, text);
    ck_assert_msg(!not_run || count == 0, "%s ran: %s", value, text);
    return not_run;
}

// Guards against writes, queued or in flight, that are cut off by a stop
// without an answer or with a false one.
START_TEST(test_writes_are_answered_at_stop)
{
    int fds[WRITERS];
    int not_run = 0;

    platform_rig_start("stop_writes", 1, "");
    platform_rig_wait_config(0, CONFIG);
    for (int i = 0; i < WRITERS; i++) {
        fds[i] = platform_rig_wait_answer(0, "current",
                                          "QUERY a0 WRITE k0 zero", "sig-a0");
    }
    (void)hold_replies_of_primary();
    for (int i = 0; i < WRITERS; i++) {
        char line[64];
        (void)snprintf(line, sizeof(line), "QUERY w%d WRITE k1 value%d", i, i);
        platform_send_line(fds[i], line);
    }
    wait_for_held_reply();
    stop_entry(0);
    for (int i = 0; i < WRITERS; i++) {
        char *text = receive_last_answer(fds[i]);
        not_run += check_write_answer(i, text) ? 1 : 0;
        free(text);
    }
    ck_assert_int_gt(not_run, 0);
    ck_assert_int_lt(not_run, WRITERS);
    wait_for_entry(0);
    platform_rig_stop();
}
END_TEST

// Guards against an answer that arrives during a stop and is not delivered.
START_TEST(test_answer_during_stop_is_delivered)
{
    int fd = start_session("stop_answer");
    int primary = hold_replies_of_primary();
    platform_send_line(fd, "QUERY a1 WRITE k0 one");
    wait_for_held_reply();
    stop_entry(0);
    usleep(RIG_DRAIN_NOTICE_MS * 2 * 1000);
    platform_hold_replies(rig.platform, primary, false);
    char *text = receive_last_answer(fd);
    ck_assert_str_eq(text, "COMPLETE sig-a1" ANSWERED);
    free(text);
    wait_for_entry(0);
    platform_rig_stop();
}
END_TEST

// Guards against a second release of a session whose client disconnects while
// the entry stops and its statement is queued.
START_TEST(test_client_that_leaves_during_stop)
{
    int fds[WRITERS];

    platform_rig_start("stop_leaving", 1, "");
    platform_rig_wait_config(0, CONFIG);
    for (int i = 0; i < WRITERS; i++) {
        fds[i] = platform_rig_wait_answer(0, "current",
                                          "QUERY a0 WRITE k0 zero", "sig-a0");
    }
    int primary = hold_replies_of_primary();
    for (int i = 0; i < WRITERS; i++) {
        platform_send_line(fds[i], "QUERY a1 WRITE k1 one");
    }
    wait_for_held_reply();
    int idle = platform_rig_wait_answer(0, "current", "QUERY b0 SET v1 x",
                                        "COMPLETE");
    stop_entry(0);
    platform_rig_expect_end(idle);
    for (int i = 0; i < WRITERS; i++) {
        tcp_reset(fds[i]);
    }
    close(idle);
    platform_hold_replies(rig.platform, primary, false);
    wait_for_entry(0);
    platform_rig_stop();
}
END_TEST

// Guards against a write in doubt because it crosses the end of its session.
START_TEST(test_statement_that_crosses_end_is_refused)
{
    int fd = start_session("stop_crossing");
    stop_entry(0);
    platform_rig_expect_end(fd);
    platform_send_line(fd, "QUERY a1 WRITE k0 one");
    platform_send_line(fd, "QUERY a2 WRITE k0 two");
    char *text = platform_receive_rest(fd);
    ck_assert_str_eq(text, "READY I -\r\n" ENDED "READY I -\r\n" ENDED);
    free(text);
    ck_assert_int_eq(platform_count_writes(rig.platform, "one"), 0);
    ck_assert_int_eq(platform_count_writes(rig.platform, "two"), 0);
    ck_assert(platform_rig_log_contains(RIG_CONTROLS, "\"id\":\"a1\""));
    ck_assert(platform_rig_log_contains(RIG_CONTROLS, "\"id\":\"a2\""));
    close(fd);
    wait_for_entry(0);
    platform_rig_stop();
}
END_TEST

// Guards against a daemon that a reload ends because it is still starting.
START_TEST(test_reload_while_starting)
{
    static const char settings[] =
        "{\"vm\": \"vm0\", \"failure_domain\": \"noord\", "
        "\"roles\": [\"entry\"], \"view_file\": \"view.json\", "
        "\"listen\": {\"postgres\": \"127.0.0.1:5432\"}}";
    char *folder = process_make_folder("stop_start");
    char *path = xasprintf("%s/settings.json", folder);
    char *log = xasprintf("%s/daemon.log", folder);
    const char *args[] = {"--settings", path, "--check", NULL};

    (void)signal(SIGPIPE, SIG_IGN);
    ck_assert_int_eq(mkfifo(path, 0600), 0);
    struct process *process = process_start(log, "catkingraded", args);
    // Returns once the daemon reads its settings.
    int fd = open(path, O_WRONLY | O_CLOEXEC);
    ck_assert_int_ge(fd, 0);
    ck_assert_int_eq(kill(process_get_pid(process), SIGHUP), 0);
    (void)!write(fd, settings, strlen(settings));
    close(fd);
    ck_assert_int_eq(process_wait(process), 0);
    free(log);
    free(path);
    free(folder);
}
END_TEST

// Returns the entry that uses the other one as its relay.
static int
wait_for_relay(void)
{
    for (int i = 0; i < RIG_WAIT_ROUNDS; i++) {
        for (int entry = 0; entry < 2; entry++) {
            close(platform_rig_wait_answer(entry, "current",
                                           "QUERY a0 WRITE k0 zero", "sig-"));
            if (platform_rig_log_contains(RIG_CONTROLS + entry,
                                          "relay_begun")) {
                return entry;
            }
        }
        usleep(RIG_WAIT_STEP_US);
    }
    ck_abort_msg("no entry uses a relay");
    return -1;
}

// Guards against a relay that stops while it runs the write of another entry,
// which then does not know whether the write took effect.
START_TEST(test_relay_stop_awaits_relayed_write)
{
    platform_rig_start("stop_relay", 2, RELAY_SETTINGS);
    platform_rig_wait_config(0, CONFIG);
    int entry = wait_for_relay();
    int fd = platform_rig_wait_answer(entry, "current",
                                      "QUERY a0 WRITE k0 zero", "sig-a0");
    int primary = hold_replies_of_primary();
    platform_send_line(fd, "QUERY a1 WRITE k0 one");
    wait_for_held_reply();
    stop_entry(1 - entry);
    usleep(RIG_DRAIN_NOTICE_MS * 4 * 1000);
    platform_hold_replies(rig.platform, primary, false);
    char *text = platform_receive_reply(fd);
    ck_assert_ptr_nonnull(text);
    ck_assert_str_eq(text, "COMPLETE sig-a1\r\nREADY I -\r\n");
    free(text);
    close(fd);
    wait_for_entry(1 - entry);
    platform_rig_stop();
}
END_TEST

// Sends the writes of a round, one on each session, and checks their answers:
// each is done, or has not run. Returns how many are done.
static int
write_round(const int *fds, int round)
{
    int done = 0;

    for (int i = 0; i < WRITERS; i++) {
        char line[64];
        (void)snprintf(line, sizeof(line), "QUERY r%dw%d WRITE k1 r%dw%d",
                       round, i, round, i);
        platform_send_line(fds[i], line);
    }
    for (int i = 0; i < WRITERS; i++) {
        char value[32];
        (void)snprintf(value, sizeof(value), "r%dw%d", round, i);
        char *text = platform_receive_reply(fds[i]);
        ck_assert_msg(text != NULL, "%s has no answer", value);
        bool is_done = strncmp(text, "COMPLETE ", 9) == 0;
        ck_assert_msg(is_done || strncmp(text, "ERROR BUSY ", 11) == 0,
                      "%s: %s", value, text);
        ck_assert_int_eq(platform_count_writes(rig.platform, value),
                         is_done ? 1 : 0);
        done += is_done ? 1 : 0;
        free(text);
    }
    return done;
}

// Guards against writes in doubt because they cross the end of the relay.
START_TEST(test_relay_stop_leaves_no_write_in_doubt)
{
    int fds[WRITERS];
    int done = 0;

    platform_rig_start("stop_handover", 2, RELAY_SETTINGS);
    platform_rig_wait_config(0, CONFIG);
    int entry = wait_for_relay();
    for (int i = 0; i < WRITERS; i++) {
        fds[i] = platform_rig_wait_answer(entry, "current",
                                          "QUERY a0 WRITE k0 zero", "sig-a0");
    }
    for (int round = 0; round < RIG_WAIT_ROUNDS && done == 0; round++) {
        (void)write_round(fds, round);
        if (round == 5) {
            stop_entry(1 - entry);
        }
        else if (round > 5 && process_has_ended(rig.entries[1 - entry])) {
            done = write_round(fds, RIG_WAIT_ROUNDS + round);
        }
        usleep(RIG_WAIT_STEP_US);
    }
    ck_assert_int_gt(done, 0);
    for (int i = 0; i < WRITERS; i++) {
        close(fds[i]);
    }
    wait_for_entry(1 - entry);
    platform_rig_stop();
}
END_TEST

// Runs the statements after which an entry may send some again.
static void
fill_retry_budget(int fd)
{
    for (int i = 0; i < 4 * WRITERS; i++) {
        platform_rig_expect(fd, "QUERY b0 READ k0",
                            "DATAROW zero\r\nCOMPLETE sig-b0" ANSWERED);
    }
}

// Guards against a read of another entry that fails for good as its relay
// stops.
START_TEST(test_read_at_stopping_relay_goes_on)
{
    platform_rig_start("stop_relayed_read", 2, RELAY_SETTINGS);
    platform_rig_wait_config(0, CONFIG);
    int entry = wait_for_relay();
    int fd = platform_rig_wait_answer(entry, "current",
                                      "QUERY a0 WRITE k0 zero", "sig-a0");
    fill_retry_budget(fd);
    int primary = hold_replies_of_primary();
    platform_send_line(fd, "QUERY a1 READ k0");
    wait_for_held_reply();
    stop_entry(1 - entry);
    wait_for_entry(1 - entry);
    platform_hold_replies(rig.platform, primary, false);
    char *text = platform_receive_reply(fd);
    ck_assert_ptr_nonnull(text);
    ck_assert_msg(strstr(text, "COMPLETE sig-a1") != NULL, "%s", text);
    free(text);
    close(fd);
    platform_rig_stop();
}
END_TEST

#define IDLE_CONFIG                                                           \
    "{\"version\":1,\"routes\":["                                             \
    "{\"host\":\"current\",\"routeKind\":\"primary\",\"timeoutMs\":1000,"     \
    "\"targetLatencyMs\":1000,\"priority\":1,\"service\":\"core\"}],"         \
    "\"services\":[{\"name\":\"core\",\"maxConns\":8,\"syncReplicas\":0}],"   \
    "\"limits\":{\"txIdleMs\":1000}}"

// Guards against a session outside a transaction that is closed for an idle
// one.
START_TEST(test_session_stays_after_lost_transaction)
{
    platform_rig_start("stop_idle_timer", 1, "");
    platform_rig_wait_config(0, IDLE_CONFIG);
    int fd = platform_rig_wait_answer(0, "current", "QUERY a0 WRITE k0 zero",
                                      "sig-a0");
    platform_rig_expect(fd, "QUERY a1 BEGIN", "COMPLETE -\r\nREADY T -\r\n");
    int primary = hold_replies_of_primary();
    char *text = platform_send_request(fd, "QUERY a2 READ k0");
    ck_assert_msg(strstr(text, "ABORTED") != NULL, "%s", text);
    free(text);
    platform_hold_replies(rig.platform, primary, false);
    platform_rig_expect(fd, "QUERY a3 ROLLBACK",
                        "COMPLETE -\r\nREADY I -\r\n");
    usleep(2000000);
    text = platform_send_request(fd, "QUERY a4 READ k0");
    ck_assert_msg(text != NULL, "the session was closed");
    free(text);
    close(fd);
    platform_rig_stop();
}
END_TEST

// Statements whose answers are more than the buffers of a connection hold, and
// less than that.
#define UNREAD_STATEMENTS 200000
#define SENT_STATEMENTS   60000
#define TOO_LONG_BYTES    (1024 * 1024)

// Sends and frees the bytes of a buffer.
static void
send_buffer(int fd, struct buffer *text)
{
    while (buffer_get_size(text) > 0) {
        ssize_t size = send(fd, buffer_get_data(text), buffer_get_size(text),
                            MSG_NOSIGNAL);
        ck_assert_int_gt(size, 0);
        buffer_consume(text, (size_t)size);
    }
    buffer_free(text);
}

// Sends statements that the entry itself answers, and reads no answer.
static void
send_unread_statements(int fd, int count)
{
    struct buffer text = {0};

    for (int i = 0; i < count; i++) {
        buffer_append_text(&text, "QUERY x UNKNOWN\r\n");
    }
    send_buffer(fd, &text);
}

// Checks that a session, which the entry closes, gets all answers to these
// statements and ends with a text.
static void
check_unread_answers(int fd, int expected_count, const char *end)
{
    char *text = platform_receive_rest(fd);
    size_t size = strlen(text);
    int count = 0;

    for (const char *line = text; line != NULL && *line != '\0';) {
        const char *end_of_line = strchr(line, '\n');
        count += strncmp(line, "READY ", 6) == 0 ? 1 : 0;
        line = end_of_line == NULL ? NULL : end_of_line + 1;
    }
    ck_assert_int_eq(count, expected_count);
    ck_assert_uint_ge(size, strlen(end));
    ck_assert_str_eq(text + size - strlen(end), end);
    free(text);
    close(fd);
}

// Guards against answers that are cut off because the client needs longer to
// receive them than a transaction may be idle.
START_TEST(test_idle_transaction_gets_its_answers)
{
    platform_rig_start("stop_unread", 1, "");
    platform_rig_wait_config(0, IDLE_CONFIG);
    int fd = platform_rig_wait_answer(0, "current", "QUERY a0 WRITE k0 zero",
                                      "sig-a0");
    platform_rig_expect(fd, "QUERY a1 BEGIN", "COMPLETE -\r\nREADY T -\r\n");
    platform_rig_expect(fd, "QUERY a2 READ k0",
                        "DATAROW zero\r\nCOMPLETE sig-a2\r\nREADY T -\r\n");
    send_unread_statements(fd, UNREAD_STATEMENTS);
    usleep(1500000);
    check_unread_answers(fd, UNREAD_STATEMENTS, "READY T -\r\n");
    platform_rig_stop();
}
END_TEST

// Guards against answers that are cut off because of a later invalid message.
START_TEST(test_answers_before_invalid_message_arrive)
{
    struct buffer invalid = {0};

    while (buffer_get_size(&invalid) <= TOO_LONG_BYTES) {
        buffer_append_text(&invalid, "QUERY x ");
    }
    int fd = start_session("stop_invalid");
    send_unread_statements(fd, UNREAD_STATEMENTS);
    send_buffer(fd, &invalid);
    check_unread_answers(fd, UNREAD_STATEMENTS,
                         "ERROR MALFORMED a message is too long\r\n");
    platform_rig_stop();
}
END_TEST

static const struct platform_rig_options slow_stop_options = {
    .entries = 1,
    .databases = 1,
    .control_extra = "",
    .entry_timings = "\"announce_expiry_ms\": 3000, "
                     "\"drain_notice_ms\": 100, "
                     "\"drain_limit_ms\": 9000",
    .control_timings = "\"announce_expiry_ms\": 3000",
};

// Guards against answers that a stop cuts off because the client needs longer
// to receive them than to close its connection.
START_TEST(test_ended_session_gets_its_answers)
{
    platform_rig_start_with("stop_unread_end", &slow_stop_options);
    platform_rig_wait_config(0, CONFIG);
    int fd = platform_rig_wait_answer(0, "current", "QUERY a0 WRITE k0 zero",
                                      "sig-a0");
    send_unread_statements(fd, UNREAD_STATEMENTS);
    stop_entry(0);
    usleep(3000000);
    check_unread_answers(fd, UNREAD_STATEMENTS, ENDED);
    wait_for_entry(0);
    platform_rig_stop();
}
END_TEST

// Guards against answers that are destroyed on their way because the client
// sends a statement after the time in which it is to close its connection.
START_TEST(test_late_statement_destroys_no_answer)
{
    platform_rig_start_with("stop_unread_late", &slow_stop_options);
    platform_rig_wait_config(0, CONFIG);
    int fd = platform_rig_wait_answer(0, "current", "QUERY a0 WRITE k0 zero",
                                      "sig-a0");
    send_unread_statements(fd, SENT_STATEMENTS);
    stop_entry(0);
    usleep(3000000);
    send_unread_statements(fd, 1);
    usleep(200000);
    check_unread_answers(fd, SENT_STATEMENTS + 1, ENDED);
    wait_for_entry(0);
    platform_rig_stop();
}
END_TEST

// More than the buffers of a connection and an entry's read-ahead hold.
#define PIPELINED_MAX_BYTES (16 * 1024 * 1024)
// More than the statements whose answers an entry buffers as well.
#define UNREAD_MAX_BYTES (32 * 1024 * 1024)
// Size of one statement of send_until_blocked.
#define BLOCK_STATEMENT_SIZE 16

// Sends a statement again and again until the entry has taken no more for a
// second, or more than max_bytes. Returns the number of bytes that were sent.
static size_t
send_until_blocked(int fd, const char *statement, size_t max_bytes)
{
    static char block[65536];
    size_t sent = 0;
    int blocked = 0;

    ck_assert_uint_eq(strlen(statement), BLOCK_STATEMENT_SIZE);
    for (size_t i = 0; i < sizeof(block); i += BLOCK_STATEMENT_SIZE) {
        memcpy(block + i, statement, BLOCK_STATEMENT_SIZE);
    }
    while (blocked < 50 && sent <= max_bytes) {
        ssize_t size = send(fd, block + sent % BLOCK_STATEMENT_SIZE,
                            sizeof(block) - sent % BLOCK_STATEMENT_SIZE,
                            MSG_NOSIGNAL | MSG_DONTWAIT);
        sent += size > 0 ? (size_t)size : 0;
        blocked = size > 0 ? 0 : blocked + 1;
        usleep(size > 0 ? 0 : RIG_WAIT_STEP_US);
    }
    return sent;
}

// Guards against one client that fills the memory of an entry, and so ends the
// requests of all.
START_TEST(test_pipelining_client_does_not_fill_memory)
{
    int fd = start_session("stop_pipelined");
    int primary = hold_replies_of_primary();
    platform_send_line(fd, "QUERY a1 READ k0");
    wait_for_held_reply();
    ck_assert_uint_le(
        send_until_blocked(fd, "QUERY x READ k\r\n", PIPELINED_MAX_BYTES),
        PIPELINED_MAX_BYTES);
    platform_hold_replies(rig.platform, primary, false);
    char *text = platform_receive_reply(fd);
    ck_assert_ptr_nonnull(text);
    ck_assert_msg(strstr(text, "COMPLETE sig-a1") != NULL, "%s", text);
    free(text);
    close(fd);
    platform_rig_stop();
}
END_TEST

// Receives the answers of this number of statements.
static void
receive_answers(int fd, size_t statements)
{
    static char block[65536];
    const struct timeval timeout = {.tv_sec = 20};
    size_t lines = 0;

    ck_assert_int_eq(
        setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout)), 0);
    // Each answer is an ERROR line and a READY line.
    while (lines < 2 * statements) {
        ssize_t size = recv(fd, block, sizeof(block), 0);
        ck_assert_msg(size > 0, "no more after %zu lines of %zu", lines,
                      2 * statements);
        for (ssize_t i = 0; i < size; i++) {
            lines += block[i] == '\n' ? 1 : 0;
        }
    }
    ck_assert_uint_eq(lines, 2 * statements);
}

// Guards against a client that fills the memory of an entry with answers that
// it does not read, and against answers that do not come when it reads on.
START_TEST(test_client_that_reads_no_answers_does_not_fill_memory)
{
    int fd = start_session("stop_unread_memory");
    size_t sent =
        send_until_blocked(fd, "QUERY x UNKNOW\r\n", UNREAD_MAX_BYTES);

    ck_assert_uint_le(sent, UNREAD_MAX_BYTES);
    receive_answers(fd, sent / BLOCK_STATEMENT_SIZE);
    close(fd);
    platform_rig_stop();
}
END_TEST

static int
count_entry_sockets(void)
{
    char command[128];
    int count = -1;

    (void)snprintf(command, sizeof(command),
                   "ls -l /proc/%d/fd | grep -c socket",
                   (int)process_get_pid(rig.entries[0]));
    FILE *output = popen(command, "r");
    ck_assert_ptr_nonnull(output);
    ck_assert_int_eq(fscanf(output, "%d", &count), 1);
    (void)pclose(output);
    return count;
}

// Guards against a removed database that keeps its upstream connections.
START_TEST(test_removed_database_closes_its_connections)
{
    platform_rig_start("stop_removed", 1, "");
    platform_rig_wait_config(0, CONFIG);
    int before = count_entry_sockets();
    int fd = platform_rig_wait_answer(0, "current", "QUERY a0 WRITE k0 zero",
                                      "sig-a0");
    platform_rig_wait_config(0, "{\"version\":2,\"routes\":[],"
                                "\"services\":[],"
                                "\"limits\":{\"txIdleMs\":60000}}");
    free(platform_receive_rest(fd));
    close(fd);
    for (int i = 0; i < RIG_WAIT_ROUNDS && count_entry_sockets() > before;
         i++) {
        usleep(RIG_WAIT_STEP_US);
    }
    ck_assert_int_le(count_entry_sockets(), before);
    platform_rig_stop();
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_read_in_flight_is_answered_at_stop);
    tcase_add_test(tests, test_writes_are_answered_at_stop);
    tcase_add_test(tests, test_answer_during_stop_is_delivered);
    tcase_add_test(tests, test_client_that_leaves_during_stop);
    tcase_add_test(tests, test_statement_that_crosses_end_is_refused);
    tcase_add_test(tests, test_reload_while_starting);
    tcase_add_test(tests, test_relay_stop_awaits_relayed_write);
    tcase_add_test(tests, test_read_at_stopping_relay_goes_on);
    tcase_add_test(tests, test_session_stays_after_lost_transaction);
    tcase_add_test(tests, test_idle_transaction_gets_its_answers);
    tcase_add_test(tests, test_ended_session_gets_its_answers);
    tcase_add_test(tests, test_late_statement_destroys_no_answer);
    tcase_add_test(tests, test_answers_before_invalid_message_arrive);
    tcase_add_test(tests, test_pipelining_client_does_not_fill_memory);
    tcase_add_test(tests,
                   test_client_that_reads_no_answers_does_not_fill_memory);
    tcase_add_test(tests, test_removed_database_closes_its_connections);
    tcase_add_test(tests, test_relay_stop_leaves_no_write_in_doubt);
}

TEST_MAIN("stop", add_tests)
