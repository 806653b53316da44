#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "catkingrade/kernel/memory.h"
#include "test/fake/platform.h"
#include "test/rig/platform_rig.h"
#include "test/suite.h"

// End-to-end tests of line feeds and carriage returns inside of messages, with
// one entry, and with two of which one is the relay of the other.

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
    close(fd);
    platform_rig_stop();
}
END_TEST

// Guards against the same between an entry and its relay.
START_TEST(test_relayed_statements_are_not_cut_at_line_feeds)
{
    int fd = start("line_ends_relay", 2);

    check_texts(fd);
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

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_statements_are_not_cut_at_line_feeds);
    tcase_add_test(tests, test_relayed_statements_are_not_cut_at_line_feeds);
    tcase_add_test(tests, test_messages_inside_data_are_not_handled);
    tcase_add_test(tests, test_refused_input_is_logged);
}

TEST_MAIN("line_ends", add_tests)
