#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/memory.h"
#include "test/fake/platform.h"
#include "test/rig/platform_rig.h"
#include "test/suite.h"

// End-to-end tests of the bounds of messages and of the bytes inside of them,
// with one entry, and with two of which one is the relay of the other.

#define MESSAGE_MAX_BYTES (1024 * 1024)
// Time after which one part of a message has been read on its own.
#define PART_US 2000

#define RELAY_SETTINGS ",\"relay_min_connections\": 3"
#define CONFIG(connections)                                                   \
    "{\"version\":1,\"routes\":["                                             \
    "{\"host\":\"own\",\"routeKind\":\"read_own_writes\","                    \
    "\"timeoutMs\":5000,\"targetLatencyMs\":4000,\"priority\":2,"             \
    "\"service\":\"core\",\"maxStalenessMs\":2500},"                          \
    "{\"host\":\"current\",\"routeKind\":\"primary\",\"timeoutMs\":5000,"     \
    "\"targetLatencyMs\":4000,\"priority\":1,\"service\":\"core\"}],"         \
    "\"services\":[{\"name\":\"core\",\"maxConns\":" connections              \
    ",\"syncReplicas\":0}],\"limits\":{\"txIdleMs\":60000}}"

// Starts entries; with two, waits until one uses the other as its relay.
// Returns a session at an entry without relay, or at the one with the relay.
static int
start(const char *name, int entries)
{
    int fd = -1;

    platform_rig_start(name, entries, entries == 1 ? "" : RELAY_SETTINGS);
    platform_rig_wait_config(0, entries == 1 ? CONFIG("30") : CONFIG("8"));
    for (int i = 0; i < RIG_WAIT_ROUNDS && fd < 0; i++) {
        for (int entry = 0; entry < entries && fd < 0; entry++) {
            fd = platform_rig_wait_answer(entry, "own",
                                          "QUERY a0 WRITE k0 zero", "sig-");
            if (entries > 1 && !platform_rig_log_contains(RIG_CONTROLS + entry,
                                                          "relay_begun")) {
                close(fd);
                fd = -1;
            }
        }
        usleep(RIG_WAIT_STEP_US);
    }
    ck_assert_msg(fd >= 0, "no entry uses a relay");
    return fd;
}

static void
expect_text(const char *id, const char *expected)
{
    char *text = platform_get_arrival_text(rig.platform, id);

    ck_assert_msg(text != NULL, "%s has not run", id);
    const char *at =
        strncmp(text, "AFTER ", 6) == 0 ? strchrnul(text + 6, ' ') + 1 : text;
    ck_assert_str_eq(at, expected);
    free(text);
}

// Checks that a statement has reached its upstream by an entry without relay.
static void
expect_sent_by_relay(const char *id)
{
    char sender[PLATFORM_ID_SIZE] = "";
    int vm = 0;

    ck_assert(platform_get_arrival_sender(rig.platform, id, sender));
    ck_assert_int_eq(sscanf(sender, "vm%d", &vm), 1);
    ck_assert(!platform_rig_log_contains(vm, "relay_begun"));
}

static void
check_texts(int fd)
{
    platform_rig_expect(fd, "QUERY b1 WRITE k1 one\ntwo\rthree\n\r",
                        "COMPLETE sig-b1\r\nREADY I -\r\n");
    expect_text("b1", "WRITE k1 one\ntwo\rthree\n\r");
    platform_rig_expect(fd, "QUERY b2 READ k1",
                        "DATAROW one\ntwo\rthree\n\r\r\n"
                        "COMPLETE sig-b2\r\nREADY I -\r\n");
    platform_rig_expect(fd, "QUERY c1 SET v1 four\nfive\r",
                        "COMPLETE -\r\nREADY I -\r\n");
    platform_rig_expect(fd, "QUERY c2 PREPARE s\n4 WRITE q\n1",
                        "COMPLETE -\r\nREADY I -\r\n");
    platform_rig_expect(fd, "QUERY c3 EXECUTE s\n4 #cb six\nseven",
                        "COMPLETE sig-c3\r\nREADY I -\r\n");
    expect_text("c3", "EXECUTE p0 #cb six\nseven");
    platform_rig_expect(fd, "QUERY d1 BEGIN", "COMPLETE -\r\nREADY T -\r\n");
    platform_rig_expect(fd, "QUERY d2 WRITE k2 \neight",
                        "COMPLETE sig-d2\r\nREADY T -\r\n");
    platform_rig_expect(fd, "QUERY d3 WRITE k3 nine\n",
                        "COMPLETE sig-d3\r\nREADY T -\r\n");
    platform_rig_expect(fd, "QUERY d4 COMMIT",
                        "COMPLETE sig-d4\r\nREADY I -\r\n");
    expect_text("d2", "WRITE k2 \neight");
    expect_text("d3", "WRITE k3 nine\n");
    ck_assert_int_eq(platform_get_protocol_errors(rig.platform), 0);
}

// Guards against statements that are cut at a line feed (issue 47).
START_TEST(test_statements_are_not_cut_at_line_feeds)
{
    int fd = start("line_ends", 1);

    platform_forbid_text(rig.platform, "SET v1 four\nfive\r");
    check_texts(fd);
    ck_assert_int_ge(platform_count_forbidden(rig.platform), 1);
    int before = platform_count_forbidden(rig.platform);
    platform_forbid_text(rig.platform, "WRITE q\nsix");
    platform_rig_expect(fd, "QUERY e1 PREPARE s5 WRITE q\nsix",
                        "COMPLETE -\r\nREADY I -\r\n");
    platform_rig_expect(fd, "QUERY e2 EXECUTE s5 k5 x",
                        "COMPLETE sig-e2\r\nREADY I -\r\n");
    ck_assert_int_eq(platform_count_forbidden(rig.platform), before + 1);
    close(fd);
    platform_rig_stop();
}
END_TEST

// Guards against the same between an entry and its relay.
START_TEST(test_relayed_statements_are_not_cut_at_line_feeds)
{
    int fd = start("line_ends_relay", 2);

    check_texts(fd);
    expect_sent_by_relay("b1");
    expect_sent_by_relay("c3");
    expect_sent_by_relay("d2");
    close(fd);
    platform_rig_stop();
}
END_TEST

// Guards against data that is run as a statement or ends the session.
START_TEST(test_messages_inside_data_are_not_handled)
{
    int fd = start("line_ends_inside", 1);

    platform_rig_expect(fd,
                        "QUERY b1 WRITE k1 a\nQUERY x1 WRITE k9 stolen\n"
                        "TERMINATE\nQUERY x2 WRITE k9 stolen",
                        "COMPLETE sig-b1\r\nREADY I -\r\n");
    platform_rig_expect(fd, "QUERY b2 READ k9",
                        "DATAROW -\r\nCOMPLETE sig-b2\r\nREADY I -\r\n");
    ck_assert_ptr_null(platform_get_arrival_text(rig.platform, "x1"));
    ck_assert_ptr_null(platform_get_arrival_text(rig.platform, "x2"));
    ck_assert_int_eq(platform_count_writes(rig.platform, "stolen"), 0);
    close(fd);
    platform_rig_stop();
}
END_TEST

// Guards against refused input that no log line names.
START_TEST(test_refused_input_is_logged)
{
    int fd = start("line_ends_logged", 1);

    platform_rig_expect(fd, "QUERY b1 READ k0",
                        "DATAROW zero\r\nCOMPLETE sig-b1\r\nREADY I -\r\n");
    platform_send_line(fd, "ncmqjuakvgd");
    char *text = platform_receive_rest(fd);
    ck_assert_str_eq(text, "ERROR MALFORMED not a request\r\n");
    free(text);
    ck_assert(platform_rig_log_contains(RIG_CONTROLS, "message_refused"));
    ck_assert(platform_rig_log_contains(RIG_CONTROLS, "after_id=b1") ||
              platform_rig_log_contains(RIG_CONTROLS, "\"after_id\":\"b1\""));
    close(fd);
    platform_rig_stop();
}
END_TEST

// Bytes of a string literal, which may contain NUL.
#define BYTES(literal) literal, sizeof(literal) - 1

static void
send_all(int fd, const char *data, size_t size)
{
    while (size > 0) {
        ssize_t sent = send(fd, data, size, MSG_NOSIGNAL);
        ck_assert_int_gt(sent, 0);
        data += sent;
        size -= (size_t)sent;
    }
}

// Sends one message.
static void
send_message(int fd, const char *data, size_t size)
{
    send_all(fd, data, size);
    send_all(fd, "\r\n", 2);
}

// Expects that the next bytes received are these.
static void
expect_bytes(int fd, const char *expected, size_t size)
{
    char *data = xmalloc(size + 1);
    size_t received = 0;
    ssize_t part = 1;

    while (received < size && part > 0) {
        part = recv(fd, data + received, size - received, 0);
        received += part > 0 ? (size_t)part : 0;
    }
    data[received] = '\0';
    ck_assert_msg(received == size && memcmp(data, expected, size) == 0,
                  "expected: %s\nreceived %zu of %zu bytes: %s", expected,
                  received, size, data);
    free(data);
}

static void
expect_answer(int fd, const char *expected)
{
    expect_bytes(fd, expected, strlen(expected));
}

static void
expect_arrival(const char *id, const char *expected, size_t expected_size)
{
    size_t size = 0;
    char *text = platform_get_arrival_bytes(rig.platform, id, &size);

    ck_assert_msg(text != NULL, "%s has not run", id);
    const char *at = text;
    if (strncmp(text, "AFTER ", 6) == 0) {
        at = strchrnul(text + 6, ' ') + 1;
    }
    size -= (size_t)(at - text);
    ck_assert_msg(size == expected_size &&
                      memcmp(at, expected, expected_size) == 0,
                  "%s: %zu bytes arrived: %s\n%zu expected: %s", id, size, at,
                  expected_size, expected);
    free(text);
}

// Runs a statement and expects that it arrives as expected.
static void
check_statement(int fd, const char *id, const char *text, size_t size,
                const char *expected, size_t expected_size)
{
    struct buffer message = {0};
    char answer[64];

    buffer_append_format(&message, "QUERY %s ", id);
    buffer_append(&message, text, size);
    send_message(fd, (const char *)buffer_get_data(&message),
                 buffer_get_size(&message));
    (void)snprintf(answer, sizeof(answer), "COMPLETE sig-%s\r\nREADY I -\r\n",
                   id);
    expect_answer(fd, answer);
    expect_arrival(id, expected, expected_size);
    buffer_free(&message);
}

// Writes data and expects that it arrives and is read back unchanged.
static void
check_data(int fd, int number, const char *data, size_t size)
{
    struct buffer text = {0};
    struct buffer answer = {0};
    char id[16];
    char line[32];

    (void)snprintf(id, sizeof(id), "w%d", number);
    buffer_append_format(&text, "WRITE k%d ", number);
    buffer_append(&text, data, size);
    check_statement(
        fd, id, (const char *)buffer_get_data(&text), buffer_get_size(&text),
        (const char *)buffer_get_data(&text), buffer_get_size(&text));
    (void)snprintf(line, sizeof(line), "QUERY r%d READ k%d\r\n", number,
                   number);
    send_all(fd, line, strlen(line));
    buffer_append_text(&answer, "DATAROW ");
    buffer_append(&answer, data, size);
    buffer_append_format(&answer, "\r\nCOMPLETE sig-r%d\r\nREADY I -\r\n",
                         number);
    expect_bytes(fd, (const char *)buffer_get_data(&answer),
                 buffer_get_size(&answer));
    buffer_free(&text);
    buffer_free(&answer);
}

static void
check_bytes(int fd)
{
    static const struct {
        const char *data;
        size_t size;
    } rows[] = {
        {BYTES("a\0b")},
        {BYTES("\0")},
        {BYTES("\0\r\0\n\0")},
        {BYTES("\r")},
        {BYTES("a\r\r")},
        {BYTES("\n")},
        {BYTES("\n\r")},
        {BYTES("\n\n\r\r\ra")},
        {BYTES("a\tb\t")},
        {BYTES(" a  b  ")},
        {BYTES(" ")},
        {BYTES("%s%n%p%%")},
        {BYTES("\xc3\xa9 \xff\xfe\x80 \xe2\x82")},
        {BYTES("QUERY x1 COMMIT")},
        {BYTES("a\nQUERY x1 COMMIT\nREADY I -\nCOMPLETE sig-x1")},
        {BYTES("a\0QUERY x1 COMMIT\0READY I -")},
        {BYTES("AFTER 1.1 READ k0")},
        {BYTES("VIA own - 0 0 READ k0")},
    };
    char all[256];

    for (size_t i = 0; i < ARRAY_SIZE(rows); i++) {
        check_data(fd, (int)i, rows[i].data, rows[i].size);
    }
    for (int i = 0; i < 256; i++) {
        all[i] = (char)i;
    }
    check_data(fd, 100, all, 128);
    check_data(fd, 101, all + 128, 128);
}

static void
check_prepared_bytes(int fd)
{
    static const struct {
        const char *sent;
        size_t sent_size;
        const char *expected;
        size_t expected_size;
    } rows[] = {
        {BYTES("EXECUTE s4"), BYTES("EXECUTE p0")},
        {BYTES("EXECUTE s4 "), BYTES("EXECUTE p0 ")},
        {BYTES("EXECUTE s4  "), BYTES("EXECUTE p0  ")},
        {BYTES("EXECUTE s4  k1  x "), BYTES("EXECUTE p0  k1  x ")},
        {BYTES("EXECUTE s4 #cb a\nb"), BYTES("EXECUTE p0 #cb a\nb")},
        {BYTES("EXECUTE s4 k1 a\0b"), BYTES("EXECUTE p0 k1 a\0b")},
        {BYTES("EXECUTE s4 k\0 1\r"), BYTES("EXECUTE p0 k\0 1\r")},
    };
    char id[16];

    send_message(fd, BYTES("QUERY p1 PREPARE s4 WRITE q1"));
    expect_answer(fd, "COMPLETE -\r\nREADY I -\r\n");
    for (size_t i = 0; i < ARRAY_SIZE(rows); i++) {
        (void)snprintf(id, sizeof(id), "e%zu", i);
        check_statement(fd, id, rows[i].sent, rows[i].sent_size,
                        rows[i].expected, rows[i].expected_size);
    }
}

// Guards against bytes that are changed, end a statement or end the session.
START_TEST(test_any_byte_is_sent_on)
{
    int fd = start("line_ends_bytes", 1);

    check_bytes(fd);
    close(fd);
    platform_rig_stop();
}
END_TEST

// Guards against arguments of an EXECUTE that are changed.
START_TEST(test_execute_is_sent_on_unchanged)
{
    int fd = start("line_ends_execute", 1);

    check_prepared_bytes(fd);
    ck_assert_int_eq(platform_get_protocol_errors(rig.platform), 0);
    close(fd);
    platform_rig_stop();
}
END_TEST

// Guards against the same between an entry and its relay.
START_TEST(test_any_byte_is_relayed)
{
    int fd = start("line_ends_relay_bytes", 2);

    check_bytes(fd);
    check_prepared_bytes(fd);
    ck_assert_int_eq(platform_get_protocol_errors(rig.platform), 0);
    close(fd);
    platform_rig_stop();
}
END_TEST

// Guards against variables and prepared statements that are taken for equal,
// since they differ only after a NUL byte. The transaction keeps to one
// connection.
START_TEST(test_session_state_differs_after_nul)
{
    int fd = start("line_ends_state", 1);

    platform_forbid_text(rig.platform, "two");
    send_all(fd, BYTES("QUERY s1 BEGIN\r\n"
                       "QUERY s2 SET v1 a\0one\r\n"
                       "QUERY s3 PREPARE one WRITE q\0one\r\n"
                       "QUERY s4 EXECUTE one k1 x\r\n"));
    expect_answer(fd, "COMPLETE -\r\nREADY T -\r\n"
                      "COMPLETE -\r\nREADY T -\r\n"
                      "COMPLETE -\r\nREADY T -\r\n"
                      "COMPLETE sig-s4\r\nREADY T -\r\n");
    expect_arrival("s4", BYTES("EXECUTE p0 k1 x"));
    ck_assert_int_eq(platform_count_forbidden(rig.platform), 0);
    send_all(fd, BYTES("QUERY s5 SET v1 a\0two\r\n"
                       "QUERY s6 PREPARE two WRITE q\0two\r\n"
                       "QUERY s7 EXECUTE two k1 x\r\n"
                       "QUERY s8 COMMIT\r\n"));
    expect_answer(fd, "COMPLETE -\r\nREADY T -\r\n"
                      "COMPLETE -\r\nREADY T -\r\n"
                      "COMPLETE sig-s7\r\nREADY T -\r\n"
                      "COMPLETE sig-s8\r\nREADY I -\r\n");
    expect_arrival("s7", BYTES("EXECUTE p1 k1 x"));
    ck_assert_int_eq(platform_count_forbidden(rig.platform), 2);
    close(fd);
    platform_rig_stop();
}
END_TEST

// Guards against refused statements that end the session or its transaction,
// or whose answer is not in the order of the statements.
START_TEST(test_statements_behind_refused_ones)
{
    static const char input[] =
        "QUERY a1 BEGIN\r\nQUERY a2 WRITE k1 x\r\n"
        "QUERY a3 NONSENSE\r\nQUERY a\0 4 READ k1\r\nQUERY a5 READ k1\r\n"
        "QUERY a6 SET v\0 1\r\nQUERY a7 PREPARE s\0 READ q\r\n"
        "QUERY a8 EXECUTE s\0 k1\r\nQUERY a9 READ\0 k1\r\n"
        "QUERY  READ k1\r\nQUERY b1 BEGIN\r\n"
        "QUERY b2 WRITE k2 a\nQUERY x1 COMMIT\nQUERY x2 ROLLBACK\r\n"
        "QUERY b3 COMMIT\r\nQUERY b4 READ k1\r\n";
    static const char *const answers[] = {
        "COMPLETE -\r\nREADY T -\r\n",
        "COMPLETE sig-a2\r\nREADY T -\r\n",
        "ERROR MALFORMED no such statement\r\nREADY T -\r\n",
        "ERROR MALFORMED an id is a word without a NUL byte\r\n"
        "READY T -\r\n",
        "DATAROW -\r\nCOMPLETE sig-a5\r\nREADY T -\r\n",
        "ERROR MALFORMED SET needs a name\r\nREADY T -\r\n",
        "ERROR MALFORMED PREPARE is not valid\r\nREADY T -\r\n",
        "ERROR NOSTMT no statement has that name\r\nREADY T -\r\n",
        "ERROR MALFORMED no such statement\r\nREADY T -\r\n",
        "ERROR MALFORMED an id is a word without a NUL byte\r\n"
        "READY T -\r\n",
        "ERROR MALFORMED a transaction is open\r\nREADY T -\r\n",
        "COMPLETE sig-b2\r\nREADY T -\r\n",
        "COMPLETE sig-b3\r\nREADY I -\r\n",
        "DATAROW x\r\nCOMPLETE sig-b4\r\nREADY I -\r\n",
    };
    int fd = start("line_ends_behind", 1);

    send_all(fd, BYTES(input));
    for (size_t i = 0; i < ARRAY_SIZE(answers); i++) {
        expect_answer(fd, answers[i]);
    }
    expect_arrival("b2",
                   BYTES("WRITE k2 a\nQUERY x1 COMMIT\nQUERY x2 ROLLBACK"));
    ck_assert_ptr_null(platform_get_arrival_text(rig.platform, "x1"));
    ck_assert_ptr_null(platform_get_arrival_text(rig.platform, "x2"));
    close(fd);
    platform_rig_stop();
}
END_TEST

// Guards against an id that leaves no room in the log for the reason.
START_TEST(test_refusal_with_long_id_is_logged)
{
    struct buffer message = {0};
    int fd = start("line_ends_long_id", 1);

    buffer_append_text(&message, "QUERY ");
    for (int i = 0; i < 2000; i++) {
        buffer_append_u8(&message, 'i');
    }
    buffer_append_text(&message, " NONSENSE");
    send_message(fd, (const char *)buffer_get_data(&message),
                 buffer_get_size(&message));
    expect_answer(fd, "ERROR MALFORMED no such statement\r\nREADY I -\r\n");
    ck_assert(platform_rig_log_contains(RIG_CONTROLS, "no such statement"));
    close(fd);
    buffer_free(&message);
    platform_rig_stop();
}
END_TEST

// Guards against a COMMIT inside of data that commits a transaction which its
// client then rolls back.
START_TEST(test_commit_inside_data_commits_nothing)
{
    int fd = start("line_ends_commit", 1);

    send_all(fd, BYTES("QUERY a1 BEGIN\r\n"
                       "QUERY a2 WRITE k1 lost\nQUERY x1 COMMIT\n\r\n"
                       "QUERY a3 WRITE k2 lost\0QUERY x2 COMMIT\r\r\n"
                       "QUERY a4 ROLLBACK\r\n"));
    expect_answer(fd, "COMPLETE -\r\nREADY T -\r\n"
                      "COMPLETE sig-a2\r\nREADY T -\r\n"
                      "COMPLETE sig-a3\r\nREADY T -\r\n"
                      "COMPLETE -\r\nREADY I -\r\n");
    send_all(fd, BYTES("QUERY b1 READ k1\r\nQUERY b2 READ k2\r\n"));
    expect_answer(fd, "DATAROW -\r\nCOMPLETE sig-b1\r\nREADY I -\r\n"
                      "DATAROW -\r\nCOMPLETE sig-b2\r\nREADY I -\r\n");
    close(fd);
    platform_rig_stop();
}
END_TEST

// Guards against messages that are read otherwise if they come in parts, also
// with CR and LF apart.
START_TEST(test_messages_in_parts)
{
    static const char text[] = "WRITE k1 \rone\n\0two\r\r";
    int fd = start("line_ends_parts", 1);
    int on = 1;

    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    for (size_t i = 0;; i++) {
        struct buffer message = {0};
        char id[16];
        char answer[64];
        (void)snprintf(id, sizeof(id), "s%zu", i);
        buffer_append_format(&message, "QUERY %s ", id);
        buffer_append(&message, BYTES(text));
        buffer_append_text(&message, "\r\n");
        const char *data = (const char *)buffer_get_data(&message);
        size_t size = buffer_get_size(&message);
        if (i >= size) {
            buffer_free(&message);
            break;
        }
        // The first one goes byte by byte, the others in two parts.
        for (size_t k = 0; i == 0 && k + 1 < size; k++) {
            send_all(fd, data + k, 1);
            usleep(PART_US);
        }
        size_t first = i == 0 ? size - 1 : i;
        if (i > 0) {
            send_all(fd, data, first);
            usleep(PART_US);
        }
        send_all(fd, data + first, size - first);
        (void)snprintf(answer, sizeof(answer),
                       "COMPLETE sig-%s\r\nREADY I -\r\n", id);
        expect_answer(fd, answer);
        expect_arrival(id, BYTES(text));
        buffer_free(&message);
    }
    close(fd);
    platform_rig_stop();
}
END_TEST

// Fills a message up to a size, without its line terminator.
static void
fill_message(struct buffer *message, const char *begin, size_t size)
{
    buffer_clear(message);
    buffer_append_text(message, begin);
    while (buffer_get_size(message) < size) {
        buffer_append_u8(message, 'x');
    }
}

// Guards against a largest message that is refused or sent on longer than
// allowed, and against a longer one that is run.
START_TEST(test_largest_message)
{
    static const char *const longer[] = {
        "QUERY a2 READ ", "QUERY a3 EXECUTE s ", "QUERY a4 PREPARE s READ "};
    struct buffer message = {0};
    int fd = start("line_ends_largest", 1);

    fill_message(&message, "QUERY a1 WRITE k1 ", MESSAGE_MAX_BYTES);
    const char *data = (const char *)buffer_get_data(&message);
    send_message(fd, data, MESSAGE_MAX_BYTES);
    expect_answer(fd, "COMPLETE sig-a1\r\nREADY I -\r\n");
    expect_arrival("a1", data + strlen("QUERY a1 "),
                   MESSAGE_MAX_BYTES - strlen("QUERY a1 "));
    send_message(fd, BYTES("QUERY s1 PREPARE s WRITE q"));
    expect_answer(fd, "COMPLETE -\r\nREADY I -\r\n");
    for (size_t i = 0; i < ARRAY_SIZE(longer); i++) {
        fill_message(&message, longer[i], MESSAGE_MAX_BYTES);
        send_message(fd, (const char *)buffer_get_data(&message),
                     MESSAGE_MAX_BYTES);
        expect_answer(fd, "ERROR MALFORMED the statement is too long to be "
                          "sent on\r\nREADY I -\r\n");
    }
    send_message(fd, BYTES("QUERY s2 PREPARE longername READ q"));
    expect_answer(fd, "COMPLETE -\r\nREADY I -\r\n");
    send_message(fd, BYTES("QUERY t1 BEGIN"));
    expect_answer(fd, "COMPLETE -\r\nREADY T -\r\n");
    fill_message(&message, "QUERY t2 READ ", MESSAGE_MAX_BYTES);
    send_message(fd, (const char *)buffer_get_data(&message),
                 MESSAGE_MAX_BYTES);
    expect_answer(fd, "DATAROW -\r\nCOMPLETE sig-t2\r\nREADY T -\r\n");
    fill_message(&message, "QUERY t3 EXECUTE longername ", MESSAGE_MAX_BYTES);
    send_message(fd, (const char *)buffer_get_data(&message),
                 MESSAGE_MAX_BYTES);
    expect_answer(fd, "DATAROW -\r\nCOMPLETE sig-t3\r\nREADY T -\r\n");
    send_message(fd, BYTES("QUERY t4 COMMIT"));
    expect_answer(fd, "COMPLETE sig-t4\r\nREADY I -\r\n");
    fill_message(&message, "QUERY b1 WRITE k1 ", MESSAGE_MAX_BYTES + 1);
    send_message(fd, (const char *)buffer_get_data(&message),
                 MESSAGE_MAX_BYTES + 1);
    char *rest = platform_receive_rest(fd);
    ck_assert_str_eq(rest, "ERROR MALFORMED a message is too long\r\n");
    free(rest);
    ck_assert_ptr_null(platform_get_arrival_text(rig.platform, "a2"));
    ck_assert_ptr_null(platform_get_arrival_text(rig.platform, "a3"));
    ck_assert_ptr_null(platform_get_arrival_text(rig.platform, "b1"));
    ck_assert(platform_rig_log_contains(RIG_CONTROLS, "too_long"));
    ck_assert_int_eq(platform_get_protocol_errors(rig.platform), 0);
    close(fd);
    buffer_free(&message);
    platform_rig_stop();
}
END_TEST

// Guards against the largest message being refused between an entry and its
// relay, which adds a context.
START_TEST(test_largest_message_is_relayed)
{
    struct buffer message = {0};
    int fd = start("line_ends_relay_largest", 2);

    fill_message(&message, "QUERY a1 WRITE k1 ", MESSAGE_MAX_BYTES);
    const char *data = (const char *)buffer_get_data(&message);
    send_message(fd, data, MESSAGE_MAX_BYTES);
    expect_answer(fd, "COMPLETE sig-a1\r\nREADY I -\r\n");
    expect_arrival("a1", data + strlen("QUERY a1 "),
                   MESSAGE_MAX_BYTES - strlen("QUERY a1 "));
    ck_assert_int_eq(platform_get_protocol_errors(rig.platform), 0);
    close(fd);
    buffer_free(&message);
    platform_rig_stop();
}
END_TEST

// Guards against a client that ends its messages otherwise than by CR LF and
// is never told.
START_TEST(test_startup_without_line_end_is_answered)
{
    int fd = start("line_ends_startup", 1);
    int other = platform_connect(rig.client_ports[0]);

    send_all(other, BYTES("STARTUP own u1\n"));
    char *rest = platform_receive_rest(other);
    ck_assert_str_eq(rest, "ERROR MALFORMED no message that ends with CR LF "
                           "came in time\r\n");
    free(rest);
    close(other);
    close(fd);
    platform_rig_stop();
}
END_TEST

// Guards against a BEGIN with other words that begins a transaction of another
// kind than its client may have meant.
START_TEST(test_begin_with_other_words_is_refused)
{
    int fd = start("line_ends_begin", 1);

    send_all(fd, BYTES("QUERY a1 BEGIN x\r\nQUERY a2 BEGIN READX\r\n"
                       "QUERY a3 BEGIN READ x\r\nQUERY a4 BEGIN\0\r\n"));
    for (int i = 0; i < 4; i++) {
        expect_answer(fd,
                      "ERROR MALFORMED no such statement\r\nREADY I -\r\n");
    }
    send_all(fd, BYTES("QUERY b1 BEGIN READ \r\nQUERY b2 READ k0\r\n"
                       "QUERY b3 COMMIT\r\nQUERY b4 BEGIN \r\n"
                       "QUERY b5 WRITE k1 x\r\nQUERY b6 COMMIT\r\n"));
    expect_answer(fd, "COMPLETE -\r\nREADY T -\r\n"
                      "DATAROW zero\r\nCOMPLETE sig-b2\r\nREADY T -\r\n"
                      "COMPLETE sig-b3\r\nREADY I -\r\n"
                      "COMPLETE -\r\nREADY T -\r\n"
                      "COMPLETE sig-b5\r\nREADY T -\r\n"
                      "COMPLETE sig-b6\r\nREADY I -\r\n");
    close(fd);
    platform_rig_stop();
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_statements_are_not_cut_at_line_feeds);
    tcase_add_test(tests, test_relayed_statements_are_not_cut_at_line_feeds);
    tcase_add_test(tests, test_messages_inside_data_are_not_handled);
    tcase_add_test(tests, test_refused_input_is_logged);
    tcase_add_test(tests, test_any_byte_is_sent_on);
    tcase_add_test(tests, test_execute_is_sent_on_unchanged);
    tcase_add_test(tests, test_any_byte_is_relayed);
    tcase_add_test(tests, test_session_state_differs_after_nul);
    tcase_add_test(tests, test_statements_behind_refused_ones);
    tcase_add_test(tests, test_refusal_with_long_id_is_logged);
    tcase_add_test(tests, test_commit_inside_data_commits_nothing);
    tcase_add_test(tests, test_messages_in_parts);
    tcase_add_test(tests, test_largest_message);
    tcase_add_test(tests, test_largest_message_is_relayed);
    tcase_add_test(tests, test_startup_without_line_end_is_answered);
    tcase_add_test(tests, test_begin_with_other_words_is_refused);
}

TEST_MAIN("line_ends", add_tests)
