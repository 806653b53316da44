#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/select.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "catkingrade/kernel/memory.h"
#include "test/fake/deployment.h"
#include "test/fake/platform.h"
#include "test/suite.h"

// Runs pgbench, psql and libpq clients against an entry with upstreams of the
// test suite behind it.

#define PGBENCH        "/usr/bin/pgbench"
#define PSQL           "/usr/bin/psql"
#define PIPELINE_DEPTH 50
#define ASYNC_CONNS    8
#define ASYNC_ROUNDS   20

static const char *const pgbench_tables[] = {"--pgbench", "1", NULL};

static const struct deployment_params default_params = {
    .upstreams_count = 2,
    .entries_count = 1,
    .confirm = 1,
    .slots = 5,
    .connections = 30,
    .extra = pgbench_tables,
};

// Runs a client program against the first entry. Returns its output.
static char *
run_client(struct deployment *deployment, const char *program,
           const char *const *args, int *code)
{
    char port[16];
    const char *client_args[32] = {"-h", "127.0.0.1", "-p",
                                   port, "-U",        "walker"};

    (void)snprintf(port, sizeof(port), "%d", deployment->entry_ports[0]);
    for (size_t i = 0; args[i] != NULL; i++) {
        client_args[6 + i] = args[i];
    }
    return process_run(deployment->folder, program, client_args, code);
}

static void
check_contains(const char *text, const char *part)
{
    ck_assert_msg(strstr(text, part) != NULL, "no \"%s\" in: %s", part, text);
}

static const char *const pgbench_modes[] = {"simple", "extended", "prepared"};

// Guards against lost, repeated or mixed transactions: pgbench runs its
// transactions over 8 connections in each protocol mode. Afterwards the sums
// of all tables must agree.
START_TEST(test_pgbench)
{
    struct deployment deployment;
    const char *args[] = {"-n", "-M", pgbench_modes[_i], "-c", "8",
                          "-t", "40", "roster",          NULL};
    const char *sums[] = {"-X", "-At",
                          "-d", "roster",
                          "-c", "SELECT sum(abalance) FROM pgbench_accounts",
                          "-c", "SELECT sum(tbalance) FROM pgbench_tellers",
                          "-c", "SELECT sum(bbalance) FROM pgbench_branches",
                          "-c", "SELECT sum(delta) FROM pgbench_history",
                          "-c", "SELECT count(*) FROM pgbench_history",
                          NULL};
    char name[32];
    long long numbers[5];
    int code = 0;

    (void)snprintf(name, sizeof(name), "pgbench_%s", pgbench_modes[_i]);
    deployment_start(&deployment, name, &default_params);
    char *text = run_client(&deployment, PGBENCH, args, &code);
    ck_assert_msg(code == 0, "pgbench: %d: %s", code, text);
    check_contains(text, "transactions actually processed: 320/320");
    check_contains(text, "number of failed transactions: 0 ");
    free(text);

    // The consistency condition of TPC-B, and one history row per transaction.
    text = run_client(&deployment, PSQL, sums, &code);
    ck_assert_msg(code == 0, "%s", text);
    ck_assert_int_eq(sscanf(text, "%lld %lld %lld %lld %lld", &numbers[0],
                            &numbers[1], &numbers[2], &numbers[3],
                            &numbers[4]),
                     5);
    free(text);
    for (int i = 1; i < 4; i++) {
        ck_assert_int_eq(numbers[i], numbers[0]);
    }
    ck_assert_int_eq(numbers[4], 320);
    ck_assert(deployment_stop(&deployment));
}
END_TEST

// Guards against failures of read-only traffic with prepared statements.
START_TEST(test_pgbench_reads)
{
    struct deployment deployment;
    const char *args[] = {"-n", "-S", "-M",  "prepared", "-c",
                          "8",  "-t", "200", "roster",   NULL};
    int code = 0;

    deployment_start(&deployment, "pgbench_reads", &default_params);
    char *text = run_client(&deployment, PGBENCH, args, &code);
    ck_assert_msg(code == 0, "pgbench: %d: %s", code, text);
    check_contains(text, "transactions actually processed: 1600/1600");
    check_contains(text, "number of failed transactions: 0 ");
    free(text);
    ck_assert(deployment_stop(&deployment));
}
END_TEST

// Guards against psql sessions that break after an error: statements with
// several commands, with errors and with unsupported features share a session
// with statements that must succeed.
START_TEST(test_psql)
{
    struct deployment deployment;
    const char *args[] = {
        "-X",
        "-At",
        "-d",
        "roster",
        "-v",
        "VERBOSITY=verbose",
        "-c",
        "CREATE TABLE t (id int PRIMARY KEY, v text)",
        "-c",
        "INSERT INTO t VALUES (1, 'one'), (2, NULL)",
        "-c",
        "BEGIN; UPDATE t SET v = 'two' WHERE id = 2; SELECT * FROM t; COMMIT",
        "-c",
        "SELECT no_such_column FROM t",
        "-c",
        "SELEC 1",
        "-c",
        "\\d",
        "-c",
        "SELECT count(*) FROM t",
        "-c",
        "SHOW catkingrade.last_route",
        NULL};
    int code = 0;

    deployment_start(&deployment, "pg_psql", &default_params);
    char *text = run_client(&deployment, PSQL, args, &code);
    check_contains(text, "1|one\n2|two\nCOMMIT\n");
    check_contains(text, "42703");
    check_contains(text, "42601");
    check_contains(text, "0A000");
    check_contains(text, "\n2\nu");
    free(text);
    ck_assert(deployment_stop(&deployment));
}
END_TEST

// Guards against wrong error handling in a pipeline: many statements are sent
// before the first reply is read, and one of them fails. The statements
// between the failed one and its Sync must be skipped, and those after that
// Sync must run.
START_TEST(test_pipeline_resumes_after_error)
{
    struct deployment deployment;
    const char *failing_sql = "SELECT no_such_column FROM t";

    deployment_start(&deployment, "pg_pipeline", &default_params);
    PGconn *conn = process_connect(deployment.entry_ports[0], NULL);
    free(process_query(conn, "CREATE TABLE t (id int PRIMARY KEY)"));
    ck_assert_int_eq(PQenterPipelineMode(conn), 1);
    for (int i = 0; i < PIPELINE_DEPTH; i++) {
        char number[16];
        const char *params[] = {number};
        (void)snprintf(number, sizeof(number), "%d", i);
        ck_assert_int_eq(PQsendQueryParams(conn, "INSERT INTO t VALUES ($1)",
                                           1, NULL, params, NULL, NULL, 0),
                         1);
        ck_assert_int_eq(PQpipelineSync(conn), 1);
    }
    ck_assert_int_eq(
        PQsendQueryParams(conn, failing_sql, 0, NULL, NULL, NULL, NULL, 0), 1);
    ck_assert_int_eq(PQsendQueryParams(conn, "INSERT INTO t VALUES (999)", 0,
                                       NULL, NULL, NULL, NULL, 0),
                     1);
    ck_assert_int_eq(PQpipelineSync(conn), 1);
    ck_assert_int_eq(PQsendQueryParams(conn, "SELECT count(*) FROM t", 0, NULL,
                                       NULL, NULL, NULL, 0),
                     1);
    ck_assert_int_eq(PQpipelineSync(conn), 1);

    int done = 0;
    int aborted = 0;
    int failed = 0;
    int syncs = 0;
    char count[16] = "";
    while (syncs < PIPELINE_DEPTH + 2) {
        PGresult *result = PQgetResult(conn);
        ExecStatusType status = PQresultStatus(result);
        done += result != NULL && status == PGRES_COMMAND_OK ? 1 : 0;
        aborted += status == PGRES_PIPELINE_ABORTED ? 1 : 0;
        failed += result != NULL && status == PGRES_FATAL_ERROR ? 1 : 0;
        syncs += status == PGRES_PIPELINE_SYNC ? 1 : 0;
        if (status == PGRES_TUPLES_OK) {
            (void)snprintf(count, sizeof(count), "%s",
                           PQgetvalue(result, 0, 0));
        }
        ck_assert_int_eq(PQstatus(conn), CONNECTION_OK);
        PQclear(result);
    }
    ck_assert_int_eq(done, PIPELINE_DEPTH);
    ck_assert_int_eq(failed, 1);
    ck_assert_int_eq(aborted, 1);
    ck_assert_str_eq(count, "50");
    PQfinish(conn);
    ck_assert(deployment_stop(&deployment));
}
END_TEST

// Waits until the connection has a complete result, without blocking in libpq.
static PGresult *
wait_result(PGconn *conn)
{
    while (PQisBusy(conn) == 1) {
        fd_set readable;
        struct timeval limit = {.tv_sec = 60};
        FD_ZERO(&readable);
        FD_SET(PQsocket(conn), &readable);
        ck_assert_int_eq(
            select(PQsocket(conn) + 1, &readable, NULL, NULL, &limit), 1);
        ck_assert_int_eq(PQconsumeInput(conn), 1);
    }
    return PQgetResult(conn);
}

// Guards against results on the wrong connection: several asynchronous
// connections have one statement in flight each, and each must get the result
// of its own statement.
START_TEST(test_async_replies_match_connections)
{
    struct deployment deployment;
    PGconn *conns[ASYNC_CONNS];

    deployment_start(&deployment, "pg_async", &default_params);
    for (int c = 0; c < ASYNC_CONNS; c++) {
        conns[c] = process_connect(deployment.entry_ports[0], NULL);
        ck_assert_int_eq(PQsetnonblocking(conns[c], 1), 0);
    }
    for (int round = 0; round < ASYNC_ROUNDS; round++) {
        for (int c = 0; c < ASYNC_CONNS; c++) {
            char sql[64];
            (void)snprintf(sql, sizeof(sql), "SELECT %d, 'caller %d'",
                           round * ASYNC_CONNS + c, c);
            ck_assert_int_eq(PQsendQuery(conns[c], sql), 1);
            ck_assert_int_eq(PQflush(conns[c]), 0);
        }
        for (int c = ASYNC_CONNS - 1; c >= 0; c--) {
            char expected[32];
            PGresult *result = wait_result(conns[c]);
            (void)snprintf(expected, sizeof(expected), "caller %d", c);
            ck_assert_int_eq(PQresultStatus(result), PGRES_TUPLES_OK);
            ck_assert_int_eq(atoi(PQgetvalue(result, 0, 0)),
                             round * ASYNC_CONNS + c);
            ck_assert_str_eq(PQgetvalue(result, 0, 1), expected);
            PQclear(result);
            ck_assert_ptr_null(wait_result(conns[c]));
        }
    }
    for (int c = 0; c < ASYNC_CONNS; c++) {
        PQfinish(conns[c]);
    }
    ck_assert(deployment_stop(&deployment));
}
END_TEST

// Guards against more upstream connections than configured: 20 clients use
// upstreams that are limited to 4 connections each.
START_TEST(test_upstream_connection_limit)
{
    struct deployment deployment;
    struct deployment_params params = default_params;
    const char *args[] = {"-n", "-M", "extended", "-c", "20",
                          "-t", "20", "roster",   NULL};
    int code = 0;

    params.slots = 2;
    params.connections = 4;
    deployment_start(&deployment, "pg_limits", &params);
    char *text = run_client(&deployment, PGBENCH, args, &code);
    ck_assert_msg(code == 0, "pgbench: %d: %s", code, text);
    free(text);
    PGconn *conn = process_connect(deployment.entry_ports[0], NULL);
    text = process_query(conn, "SELECT catkingrade_standin_peaks()");
    unsigned connections = 0;
    unsigned running = 0;
    ck_assert_msg(
        sscanf(text, "connections=%u running=%u", &connections, &running) == 2,
        "%s", text);
    ck_assert_uint_le(connections, 4);
    free(text);
    PQfinish(conn);
    ck_assert(deployment_stop(&deployment));
}
END_TEST

// One caller, with the verifier of the example in RFC 7677 (password
// "pencil").
#define CALLERS                                                               \
    "[{\"user\": \"walker\", \"verifier\": \"SCRAM-SHA-256$4096:"             \
    "W22ZaJ0SNY7soEsUEjb6gQ==$WG5d8oPm3OtcPnkdi4Uo7BkeZkBFzpcXkuLmtb"         \
    "sT4qY=:wfPLwcE6nTWhTAmQ7tl2KeoiWGPlZqQxSrmfPwDl2dU=\"}]"

// Guards against a client that keeps a session without ever logging in.
START_TEST(test_client_without_password_is_closed)
{
    static const char startup[] =
        "\0\0\0\x25\0\3\0\0user\0walker\0database\0roster\0";
    // The limit is 10 s.
    const struct timeval timeout = {.tv_sec = 15};
    struct deployment deployment;
    struct deployment_params params = default_params;
    char answer[512];
    ssize_t size = 0;

    params.callers = CALLERS;
    deployment_start(&deployment, "pg_no_password", &params);
    int fd = platform_connect(deployment.entry_ports[0]);
    ck_assert_int_eq(
        setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout)), 0);
    ck_assert_int_eq(send(fd, startup, sizeof(startup), MSG_NOSIGNAL),
                     sizeof(startup));
    ck_assert_int_gt(recv(fd, answer, sizeof(answer), 0), 0);
    ck_assert_int_eq(answer[0], 'R');
    while ((size = recv(fd, answer, sizeof(answer), 0)) > 0) {
    }
    ck_assert_int_eq(size, 0);
    (void)close(fd);
    ck_assert(deployment_stop(&deployment));
}
END_TEST

// Guards against logins with a wrong password or an unknown user.
START_TEST(test_password)
{
    struct deployment deployment;
    struct deployment_params params = default_params;

    params.callers = CALLERS;
    deployment_start(&deployment, "pg_password", &params);
    PGconn *conn =
        process_connect(deployment.entry_ports[0], "password=pencil");
    char *text = process_query(conn, "SELECT 1");
    ck_assert_str_eq(text, "1");
    free(text);
    PQfinish(conn);

    static const char *const wrong[] = {"password=pencils", "password=''",
                                        "password=pencil user=nobody"};
    for (size_t i = 0; i < ARRAY_SIZE(wrong); i++) {
        char *info = xasprintf("host=127.0.0.1 port=%d dbname=roster "
                               "user=walker %s",
                               deployment.entry_ports[0], wrong[i]);
        conn = PQconnectdb(info);
        ck_assert_int_eq(PQstatus(conn), CONNECTION_BAD);
        PQfinish(conn);
        free(info);
    }
    ck_assert(deployment_stop(&deployment));
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_loop_test(tests, test_pgbench, 0, ARRAY_SIZE(pgbench_modes));
    tcase_add_test(tests, test_pgbench_reads);
    tcase_add_test(tests, test_psql);
    tcase_add_test(tests, test_pipeline_resumes_after_error);
    tcase_add_test(tests, test_async_replies_match_connections);
    tcase_add_test(tests, test_upstream_connection_limit);
    tcase_add_test(tests, test_password);
    tcase_add_test(tests, test_client_without_password_is_closed);
}

TEST_MAIN("pg_clients", add_tests)
