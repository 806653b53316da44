#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"
#include "test/fake/process.h"
#include "test/suite.h"

// Tests of the stand-in upstream itself, through libpq and its control port.

// The position sample of the proxy: a copy of UPSTREAM_SQL_SAMPLE.
#define SAMPLE_SQL                                                            \
    "SELECT pg_is_in_recovery(), (pg_control_checkpoint()).timeline_id, "     \
    "CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() "            \
    "ELSE pg_current_wal_lsn() END"

// A primary [0] and its replica [1], each with a control port.
struct pair {
    char *folder;
    int ports[2];
    int control_ports[2];
    struct process *processes[2];
    PGconn *conns[2];
};

static void
pair_start(struct pair *pair, const char *name, const char *connections)
{
    char address[32];
    char control[16];

    pair->folder = process_make_folder(name);
    for (int i = 0; i < 2; i++) {
        pair->ports[i] = process_get_free_port();
        pair->control_ports[i] = process_get_free_port();
        (void)snprintf(control, sizeof(control), "%d", pair->control_ports[i]);
        (void)snprintf(address, sizeof(address), "127.0.0.1:%d",
                       pair->ports[0]);
        const char *extra[] = {"--control",
                               control,
                               "--connections",
                               connections,
                               i == 0 ? NULL : "--primary-address",
                               address,
                               NULL};
        pair->processes[i] = process_start_upstream(
            pair->folder, i == 0 ? "first" : "second", pair->ports[i], extra);
        ck_assert(process_wait_port(pair->control_ports[i]));
        pair->conns[i] = process_connect(pair->ports[i], NULL);
    }
}

static void
pair_stop(struct pair *pair)
{
    for (int i = 0; i < 2; i++) {
        PQfinish(pair->conns[i]);
        (void)process_stop(pair->processes[i], SIGKILL);
    }
    free(pair->folder);
}

static void
check_query(PGconn *conn, const char *sql, const char *expected)
{
    char *text = process_query(conn, sql);

    ck_assert_msg(strcmp(text, expected) == 0, "%s: \"%s\" and not \"%s\"",
                  sql, text, expected);
    free(text);
}

// Guards against lost or diverged rows: after a promotion the old primary
// still accepts writes until it is fenced. When it follows the new primary, it
// must discard its own writes since the promotion and receive the new
// primary's.
START_TEST(test_replication_and_failover)
{
    struct pair pair;
    char follow[96];

    pair_start(&pair, "fake_upstream_failover", "10");
    PGconn *first = pair.conns[0];
    PGconn *second = pair.conns[1];
    check_query(first, "CREATE TABLE t (id int PRIMARY KEY, v text)", "");
    check_query(first, "INSERT INTO t (id, v) VALUES (1, 'a')", "");
    ck_assert(process_wait_value(second, "SELECT v FROM t", "a"));
    check_query(second, "INSERT INTO t (id, v) VALUES (2, 'b')",
                "25006 cannot execute INSERT in a read-only transaction");

    check_query(second, "SELECT pg_promote(true, 1)", "t");
    check_query(second, "SELECT (pg_control_checkpoint()).timeline_id", "2");
    check_query(first, "INSERT INTO t (id, v) VALUES (3, 'diverged')", "");
    check_query(second, "INSERT INTO t (id, v) VALUES (4, 'kept')", "");
    check_query(first, "SELECT catkingrade_standin_fence()", "t");
    check_query(first, "INSERT INTO t (id, v) VALUES (5, 'fenced')",
                "25006 cannot execute INSERT in a read-only transaction");
    (void)snprintf(follow, sizeof(follow),
                   "SELECT catkingrade_standin_follow('127.0.0.1:%d')",
                   pair.ports[1]);
    check_query(first, follow, "t");
    ck_assert(
        process_wait_value(first, "SELECT v FROM t WHERE id = 4", "kept"));
    check_query(first, "SELECT count(*) FROM t", "2");
    check_query(first, SAMPLE_SQL, "t");
    pair_stop(&pair);
}
END_TEST

// Guards against lost updates and wrong visibility: uncommitted values stay
// invisible to others, a second writer waits for the row lock and sees the
// committed value, and a failed transaction leaves no changes.
START_TEST(test_transactions)
{
    struct pair pair;

    pair_start(&pair, "fake_upstream_transactions", "3");
    PGconn *one = pair.conns[0];
    PGconn *two = process_connect(pair.ports[0], NULL);
    check_query(one, "CREATE TABLE t (id int PRIMARY KEY, v int)", "");
    check_query(one, "INSERT INTO t VALUES (1, 10)", "");
    check_query(one, "BEGIN", "");
    check_query(one, "UPDATE t SET v = v + -3 WHERE id = 1 RETURNING v", "7");
    ck_assert_int_eq(PQtransactionStatus(one), PQTRANS_INTRANS);
    check_query(two, "SELECT v FROM t WHERE id = 1", "10");

    // The second UPDATE waits until the first transaction commits.
    ck_assert_int_eq(PQsendQuery(two, "UPDATE t SET v = v * 2 RETURNING v"),
                     1);
    check_query(one, "COMMIT", "");
    PGresult *result = PQgetResult(two);
    ck_assert_str_eq(PQgetvalue(result, 0, 0), "14");
    PQclear(result);
    ck_assert_ptr_null(PQgetResult(two));

    check_query(one, "BEGIN", "");
    check_query(one, "DELETE FROM t", "");
    check_query(one, "SELECT no_such()",
                "0A000 the stand-in upstream has no function no_such");
    ck_assert_int_eq(PQtransactionStatus(one), PQTRANS_INERROR);
    check_query(one, "ROLLBACK", "");
    check_query(two, "SELECT count(*) FROM t", "1");
    PQfinish(two);
    pair_stop(&pair);
}
END_TEST

// Guards against a connection limit that is not enforced: with a limit of two,
// the third client must be refused, and the peak count includes it.
START_TEST(test_connection_limit)
{
    struct pair pair;

    pair_start(&pair, "fake_upstream_limits", "2");
    PGconn *two = process_connect(pair.ports[0], NULL);
    char *info = xasprintf("host=127.0.0.1 port=%d user=u dbname=roster",
                           pair.ports[0]);
    PGconn *three = PQconnectdb(info);
    ck_assert_int_eq(PQstatus(three), CONNECTION_BAD);
    ck_assert_ptr_nonnull(
        strstr(PQerrorMessage(three), "too many clients already"));
    check_query(two, "SELECT catkingrade_standin_peaks()",
                "connections=3 running=1");
    PQfinish(three);
    PQfinish(two);
    free(info);
    pair_stop(&pair);
}
END_TEST

// Guards against faults that do not take effect, or that take effect on the
// wrong side of a commit.
START_TEST(test_fault_injection)
{
    struct pair pair;

    pair_start(&pair, "fake_upstream_faults", "10");
    check_query(pair.conns[0], "CREATE TABLE t (id int PRIMARY KEY)", "");

    // A connection closed during the response leaves the row inserted; one
    // closed before the statement does not.
    ck_assert(
        process_send_fault_command(pair.control_ports[0], "cut 3 INSERT"));
    char *text = process_query(pair.conns[0], "INSERT INTO t VALUES (1)");
    ck_assert_int_eq(strncmp(text, "cut", 3), 0);
    free(text);
    PQreset(pair.conns[0]);
    check_query(pair.conns[0], "SELECT count(*) FROM t", "1");
    ck_assert(
        process_send_fault_command(pair.control_ports[0], "drop INSERT"));
    text = process_query(pair.conns[0], "INSERT INTO t VALUES (2)");
    ck_assert_int_eq(strncmp(text, "cut", 3), 0);
    free(text);
    PQreset(pair.conns[0]);
    check_query(pair.conns[0], "SELECT count(*) FROM t", "1");

    // The port refuses connections until "clear" opens it again.
    ck_assert(process_send_fault_command(pair.control_ports[0], "refuse"));
    PQreset(pair.conns[0]);
    ck_assert_int_eq(PQstatus(pair.conns[0]), CONNECTION_BAD);
    ck_assert(process_send_fault_command(pair.control_ports[0], "clear"));
    PQreset(pair.conns[0]);
    check_query(pair.conns[0], "SELECT count(*) FROM t", "1");

    // Open connections get no response while a new connection works.
    ck_assert(
        process_send_fault_command(pair.control_ports[0], "silent existing"));
    ck_assert_int_eq(PQsendQuery(pair.conns[0], "SELECT 1"), 1);
    PGconn *fresh = process_connect(pair.ports[0], NULL);
    check_query(fresh, "SELECT 1", "1");
    ck_assert_int_eq(PQconsumeInput(pair.conns[0]), 1);
    ck_assert_int_eq(PQisBusy(pair.conns[0]), 1);
    PQfinish(fresh);
    ck_assert(
        !process_send_fault_command(pair.control_ports[0], "no such fault"));
    pair_stop(&pair);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_replication_and_failover);
    tcase_add_test(tests, test_transactions);
    tcase_add_test(tests, test_connection_limit);
    tcase_add_test(tests, test_fault_injection);
}

TEST_MAIN("fake_upstream", add_tests)
