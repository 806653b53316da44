#include <check.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"
#include "test/fake/installation.h"
#include "test/suite.h"

// Failover, switchover and restarts with real daemons and fake upstreams.
// While processes stop or move, the tests insert rows ("bookings") through the
// daemons. They guard against acknowledged writes being lost or applied twice,
// and against writes being applied after the client got outcome=not_run.

#define MAX_BOOKINGS            4000
#define BOOKINGS_BEFORE         20
#define BOOKINGS_AFTER          20
#define MAX_INSERT_ATTEMPTS     3000
#define SWITCHOVER_TIMEOUT_US   10000000
#define MAX_SWITCHOVER_ATTEMPTS 500
#define PAUSE_US                10000

// Outcome that the client received for each booking, by booking id.
struct bookings {
    struct installation *installation;
    PGconn *conns[INSTALLATION_MAX_DAEMONS];
    bool acknowledged[MAX_BOOKINGS];
    bool refused[MAX_BOOKINGS]; // with outcome=not_run
    int count;
};

static const struct installation_params three_daemons = {
    .name = "failover",
    .daemons_count = 3,
    .voters_count = 3,
    .upstreams_count = 3,
    .settings = "",
};

static void
setup_bookings(struct bookings *bookings, struct installation *installation)
{
    memset(bookings, 0, sizeof(*bookings));
    bookings->installation = installation;
    installation_create_customer(installation);
    (void)installation_wait_primary(installation, "");
    for (int i = 0; i < installation->params.daemons_count; i++) {
        installation_wait_writable(installation, i);
    }
    PGconn *conn = installation_connect(installation, 0, NULL);
    char *text = process_query(
        conn, "CREATE TABLE bookings (id int PRIMARY KEY, walker text)");
    ck_assert_str_eq(text, "");
    free(text);
    PQfinish(conn);
}

// Returns the connection to a daemon. Opens a new one if there is none or if
// it has failed.
static PGconn *
get_connection(struct bookings *bookings, int daemon)
{
    char info[256];

    if (bookings->conns[daemon] != NULL &&
        PQstatus(bookings->conns[daemon]) == CONNECTION_OK) {
        return bookings->conns[daemon];
    }
    PQfinish(bookings->conns[daemon]);
    (void)snprintf(info, sizeof(info),
                   "host=127.0.0.1 port=%d dbname=roster1 user=walker "
                   "connect_timeout=5",
                   bookings->installation->daemons[daemon].postgres_port);
    bookings->conns[daemon] = PQconnectdb(info);
    return bookings->conns[daemon];
}

// Inserts one booking through a daemon and records the outcome. Returns
// whether the daemon acknowledged the booking.
static bool
insert_booking(struct bookings *bookings, int daemon)
{
    char sql[96];
    int id = bookings->count++;

    ck_assert_int_lt(id, MAX_BOOKINGS);
    (void)snprintf(sql, sizeof(sql),
                   "INSERT INTO bookings (id, walker) VALUES (%d, 'w')", id);
    PGresult *result = PQexec(get_connection(bookings, daemon), sql);
    const char *state = PQresultErrorField(result, PG_DIAG_SQLSTATE);
    const char *detail = PQresultErrorField(result, PG_DIAG_MESSAGE_DETAIL);
    if (PQresultStatus(result) == PGRES_COMMAND_OK) {
        bookings->acknowledged[id] = true;
    }
    else if (state != NULL && detail != NULL &&
             strstr(detail, "outcome=not_run") != NULL) {
        bookings->refused[id] = true;
    }
    PQclear(result);
    return bookings->acknowledged[id];
}

// Inserts bookings through the running daemons in turn until the wanted number
// is acknowledged.
static void
insert_bookings(struct bookings *bookings, int wanted)
{
    int done = 0;
    int daemons_count = bookings->installation->params.daemons_count;

    for (int i = 0; done < wanted && i < MAX_INSERT_ATTEMPTS; i++) {
        int daemon = i % daemons_count;
        if (bookings->installation->daemons[daemon].process == NULL) {
            continue;
        }
        done += insert_booking(bookings, daemon) ? 1 : 0;
        usleep(PAUSE_US);
    }
    ck_assert_int_eq(done, wanted);
}

// Checks directly at the primary that it contains each acknowledged booking
// exactly once and no booking refused with outcome=not_run. Closes the
// connections.
static void
check_bookings(struct bookings *bookings, int primary)
{
    PGconn *conn = process_connect(
        bookings->installation->upstreams[primary].port, "dbname=roster1");

    for (int id = 0; id < bookings->count; id++) {
        char sql[96];
        (void)snprintf(sql, sizeof(sql),
                       "SELECT count(*) FROM bookings WHERE id = %d", id);
        char *count = process_query(conn, sql);
        if (bookings->acknowledged[id]) {
            ck_assert_msg(strcmp(count, "1") == 0,
                          "acknowledged booking %d: count %s", id, count);
        }
        if (bookings->refused[id]) {
            ck_assert_msg(strcmp(count, "0") == 0,
                          "refused booking %d: count %s", id, count);
        }
        free(count);
    }
    PQfinish(conn);
    for (int i = 0; i < INSTALLATION_MAX_DAEMONS; i++) {
        PQfinish(bookings->conns[i]);
    }
}

// Guards against a failover that loses acknowledged writes or applies refused
// ones: the primary is killed between two writes.
START_TEST(test_primary_lost)
{
    struct installation installation;
    struct bookings *bookings = xcalloc(1, sizeof(*bookings));

    installation_start(&installation, &three_daemons);
    setup_bookings(bookings, &installation);
    int primary = installation_wait_primary(&installation, "");
    insert_bookings(bookings, BOOKINGS_BEFORE);
    installation_kill_upstream(&installation, primary);
    insert_bookings(bookings, BOOKINGS_AFTER);
    int new_primary = installation_wait_primary(
        &installation, installation.upstreams[primary].name);
    ck_assert_int_ne(new_primary, primary);
    check_bookings(bookings, new_primary);
    free(bookings);
    installation_stop(&installation);
}
END_TEST

// Guards against a failover that depends on the Raft leader: the primary and
// the daemon that leads the control group are killed together.
START_TEST(test_primary_and_leader_lost)
{
    struct installation installation;
    struct bookings *bookings = xcalloc(1, sizeof(*bookings));

    installation_start(&installation, &three_daemons);
    setup_bookings(bookings, &installation);
    int primary = installation_wait_primary(&installation, "");
    insert_bookings(bookings, BOOKINGS_BEFORE);
    installation_kill_upstream(&installation, primary);
    installation_kill_daemon(&installation,
                             installation_find_leader(&installation));
    insert_bookings(bookings, BOOKINGS_AFTER);
    int new_primary = installation_wait_primary(
        &installation, installation.upstreams[primary].name);
    check_bookings(bookings, new_primary);
    free(bookings);
    installation_stop(&installation);
}
END_TEST

// Guards against stale reads at another entry: both replicas lag by 2 s when a
// booking made at one entry is read at a second one, with the token of the
// first session and without a token.
START_TEST(test_read_your_writes_at_other_entry)
{
    struct installation_params params = three_daemons;
    struct installation installation;
    char options[400];

    params.lag_ms = 2000;
    params.settings = "";
    installation_start(&installation, &params);
    struct bookings *bookings = xcalloc(1, sizeof(*bookings));
    bookings->installation = &installation;
    installation_create_customer(&installation);
    for (int i = 0; i < 2; i++) {
        installation_wait_writable(&installation, i);
    }
    PGconn *first = installation_connect(&installation, 0, NULL);
    free(process_query(first, "CREATE TABLE bookings (id int, walker text)"));
    char *text = process_query(first, "INSERT INTO bookings VALUES (1, 'w')");
    ck_assert_str_eq(text, "");
    free(text);
    char *token = process_query(first, "SHOW catkingrade.token");
    ck_assert_uint_gt(strlen(token), 20);
    const char *const tokens[] = {token, ""};
    for (int i = 0; i < 2; i++) {
        (void)snprintf(options, sizeof(options),
                       i == 0 ? "options='-c catkingrade.token=%s'" : "%s",
                       tokens[i]);
        PGconn *second = installation_connect(&installation, 1, options);
        text = process_query(second, "SELECT walker FROM bookings");
        ck_assert_str_eq(text, "w");
        free(text);
        PQfinish(second);
    }
    free(token);
    PQfinish(first);
    free(bookings);
    installation_stop(&installation);
}
END_TEST

// Applies change number i, which replaces the template "roster".
static int
apply_template(struct installation *installation, int i)
{
    char document[256];
    char change_id[32];

    (void)snprintf(document, sizeof(document),
                   "{\"template\": \"roster\", \"parameters\": {},"
                   "\"customer\": {\"databases\": [], \"max_age_ms\": %d,"
                   "\"request_types\": [{\"name\": \"other\"}]}}",
                   i);
    (void)snprintf(change_id, sizeof(change_id), "change-%d", i);
    return installation_apply_change(installation, CK_CHANGE_TEMPLATE,
                                     "roster", document, change_id);
}

// Guards against accepted changes being lost when a voter that missed 300 of
// them restarts and the leader is killed. The last change, when it is sent
// again, gets its first outcome. A different change under the same id is
// refused.
START_TEST(test_voter_restart_after_missed_changes)
{
    struct installation installation;
    struct installation_params params = three_daemons;

    params.upstreams_count = 0;
    installation_start(&installation, &params);
    int leader = installation_find_leader(&installation);
    int lost_voter = (leader + 1) % 3;
    installation_kill_daemon(&installation, lost_voter);
    for (int i = 0; i < 300; i++) {
        ck_assert_int_eq(apply_template(&installation, i), OUTCOME_OK);
    }
    installation_start_daemon(&installation, lost_voter, false);
    installation_kill_daemon(&installation, leader);
    ck_assert_int_eq(apply_template(&installation, 299), OUTCOME_OK);
    ck_assert_int_ne(installation_apply_change(&installation,
                                               CK_CHANGE_TEMPLATE, "roster",
                                               "{}", "change-299"),
                     OUTCOME_OK);
    installation_start_daemon(&installation, leader, false);
    ck_assert_int_eq(apply_template(&installation, 0), OUTCOME_OK);
    installation_stop(&installation);
}
END_TEST

// Guards against a planned stop that loses acknowledged writes, moves the
// primary, or does not end by itself: the daemon that leads the control group
// gets SIGTERM between writes.
START_TEST(test_planned_stop_under_load)
{
    struct installation installation;
    struct bookings *bookings = xcalloc(1, sizeof(*bookings));

    installation_start(&installation, &three_daemons);
    setup_bookings(bookings, &installation);
    int primary = installation_wait_primary(&installation, "");
    insert_bookings(bookings, BOOKINGS_BEFORE);
    int leader = installation_find_leader(&installation);
    struct process *stopping = installation.daemons[leader].process;
    installation.daemons[leader].process = NULL;
    ck_assert_int_eq(process_stop(stopping, SIGTERM), 0);
    insert_bookings(bookings, BOOKINGS_AFTER);
    ck_assert_int_eq(installation_wait_primary(&installation, ""), primary);
    check_bookings(bookings, primary);
    free(bookings);
    installation_stop(&installation);
}
END_TEST

// Thread that inserts bookings through all daemons in turn until stop is set.
struct booking_thread {
    struct bookings *bookings;
    atomic_bool stop;
    pthread_t thread;
};

static void *
run_booking_thread(void *data)
{
    struct booking_thread *run = data;

    for (int i = 0; !atomic_load(&run->stop) && i < MAX_INSERT_ATTEMPTS; i++) {
        (void)insert_booking(run->bookings, i % 3);
        usleep(PAUSE_US / 10);
    }
    return NULL;
}

static int
switch_over(struct installation *installation, int target)
{
    struct ck_command_args args = {
        .kind = CK_COMMAND_SWITCHOVER,
        .change_id = "",
        .group = "fleet",
        .database = "roster1",
        .target = installation->upstreams[target].name,
    };
    struct ck_command_result result = {0};
    struct datagram_key key = {0};
    int leader = installation_find_leader(installation);

    args.voter.vm = "";
    args.voter.host = "";
    int outcome = rpcnet_call_blocking(&installation->daemons[leader].rpc,
                                       &key, &rpcnet_command, &args, &result,
                                       SWITCHOVER_TIMEOUT_US);
    if (outcome == OUTCOME_OK) {
        outcome = result.outcome;
        codec_free((xdrproc_t)xdr_ck_command_result, &result);
    }
    return outcome;
}

// Guards against planned switchovers that leave writes with an unknown
// outcome: during three switchovers under load each booking must be
// acknowledged or refused with outcome=not_run.
START_TEST(test_switchover_under_load)
{
    struct installation installation;
    struct bookings *bookings = xcalloc(1, sizeof(*bookings));
    struct booking_thread run = {.bookings = bookings};

    installation_start(&installation, &three_daemons);
    setup_bookings(bookings, &installation);
    insert_bookings(bookings, BOOKINGS_BEFORE);
    ck_assert_int_eq(
        pthread_create(&run.thread, NULL, run_booking_thread, &run), 0);
    int primary = installation_wait_primary(&installation, "");
    for (int i = 0; i < 3; i++) {
        primary = (primary + 1) % 3;
        int outcome = OUTCOME_AGAIN;
        // OUTCOME_AGAIN: a replica does not follow the previous primary yet.
        // OUTCOME_NOT_LEADER: the leader has changed, the command has not run.
        for (int j = 0;
             j < MAX_SWITCHOVER_ATTEMPTS &&
             (outcome == OUTCOME_AGAIN || outcome == OUTCOME_NOT_LEADER);
             j++) {
            usleep(PAUSE_US);
            outcome = switch_over(&installation, primary);
        }
        ck_assert_int_eq(outcome, OUTCOME_OK);
    }
    atomic_store(&run.stop, true);
    pthread_join(run.thread, NULL);
    insert_bookings(bookings, BOOKINGS_AFTER);
    for (int id = 0; id < bookings->count; id++) {
        ck_assert_msg(bookings->acknowledged[id] || bookings->refused[id],
                      "booking %d ended unknown", id);
    }
    check_bookings(bookings, primary);
    free(bookings);
    installation_stop(&installation);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_primary_lost);
    tcase_add_test(tests, test_primary_and_leader_lost);
    tcase_add_test(tests, test_read_your_writes_at_other_entry);
    tcase_add_test(tests, test_voter_restart_after_missed_changes);
    tcase_add_test(tests, test_planned_stop_under_load);
    tcase_add_test(tests, test_switchover_under_load);
}

TEST_MAIN("failover", add_tests)
