#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "catkingrade/kernel/memory.h"
#include "test/fake/installation.h"
#include "test/suite.h"

#define MAX_ARGS     8
#define WAIT_ROUNDS  600
#define WAIT_STEP_US 20000

// The command line tool against an installation of real daemons.

static const struct installation_params three_daemons = {
    .name = "operations",
    .daemons_count = 3,
    .voters_count = 3,
    .upstreams_count = 3,
    .settings = "",
};

// Runs the tool against one daemon with up to MAX_ARGS arguments, separated by
// blanks. Returns the output, which the caller frees.
static char *
run_command_at_daemon(const struct installation *installation, int daemon,
                      const char *command_line, int *code)
{
    char address[80];
    char copy[128];
    const char *args[MAX_ARGS + 4] = {"--connect", address};
    size_t count = 2;
    char *rest = NULL;

    (void)snprintf(address, sizeof(address), "127.0.0.1:%u",
                   installation->daemons[daemon].rpc.port);
    (void)snprintf(copy, sizeof(copy), "%s", command_line);
    for (char *word = strtok_r(copy, " ", &rest); word != NULL;
         word = strtok_r(NULL, " ", &rest)) {
        ck_assert_uint_lt(count, MAX_ARGS + 3);
        args[count++] = word;
    }
    return process_run(installation->folder, "catkingrade", args, code);
}

static void
check_command(const struct installation *installation, int daemon,
              const char *command_line, int expected_code, const char *part)
{
    int code = 0;
    char *text =
        run_command_at_daemon(installation, daemon, command_line, &code);

    ck_assert_msg(code == expected_code, "%s: code %d: %s", command_line, code,
                  text);
    ck_assert_msg(strstr(text, part) != NULL, "%s: no \"%s\" in: %s",
                  command_line, part, text);
    free(text);
}

// Repeats a command until its output contains the part, or fails the test.
static void
wait_command_output(const struct installation *installation, int daemon,
                    const char *command_line, const char *part)
{
    bool found = false;

    for (int i = 0; i < WAIT_ROUNDS && !found; i++) {
        int code = 0;
        char *text =
            run_command_at_daemon(installation, daemon, command_line, &code);
        found = strstr(text, part) != NULL;
        free(text);
    }
    ck_assert_msg(found, "%s never shows %s", command_line, part);
}

static void
start_daemons(struct installation *installation,
              const struct installation_params *params)
{
    installation_start(installation, params);
    installation_create_customer(installation);
    (void)installation_wait_primary(installation, "");
    for (int i = 0; i < params->daemons_count; i++) {
        installation_wait_writable(installation, i);
    }
}

static void
start_three_daemons(struct installation *installation, const char *name)
{
    struct installation_params params = three_daemons;

    params.name = name;
    start_daemons(installation, &params);
}

static int
count_occurrences(const char *text, const char *part)
{
    int count = 0;

    for (const char *at = strstr(text, part); at != NULL;
         at = strstr(at + 1, part)) {
        count++;
    }
    return count;
}

// Guards against a status or timeline that leaves out a daemon when it can't
// be reached.
START_TEST(test_status)
{
    struct installation installation;
    int code = 0;

    start_three_daemons(&installation, "operations_status");
    char *text = run_command_at_daemon(&installation, 0, "status", &code);
    ck_assert_int_eq(code, 0);
    ck_assert_int_eq(count_occurrences(text, "  ready "), 3);
    ck_assert_int_eq(count_occurrences(text, "leader"), 1);
    ck_assert_int_eq(count_occurrences(text, "pootafdruk"), 1);
    free(text);
    text = run_command_at_daemon(&installation, 1, "upstream list", &code);
    ck_assert_int_eq(code, 0);
    ck_assert_int_eq(count_occurrences(text, " primary "), 1);
    ck_assert_int_eq(count_occurrences(text, " replica "), 2);
    free(text);

    // A killed daemon is still listed.
    int lost = (installation_find_leader(&installation) + 1) % 3;
    int other = (lost + 1) % 3;
    installation_kill_daemon(&installation, lost);
    check_command(&installation, other, "--timeout 1000 status", 0,
                  "unreachable");
    check_command(&installation, other, "--timeout 1000 timeline", 0,
                  "# not reachable:");
    installation_stop(&installation);
}
END_TEST

// Guards against a switchover that is accepted but not carried out, and
// against one to an upstream that does not exist.
START_TEST(test_switchover)
{
    struct installation installation;
    char command_line[96];

    start_three_daemons(&installation, "operations_switchover");
    int primary = installation_wait_primary(&installation, "");
    int target = (primary + 1) % 3;
    check_command(&installation, 0, "switchover roster1 nobody", 3, "refused");
    (void)snprintf(command_line, sizeof(command_line), "switchover roster1 %s",
                   installation.upstreams[target].name);
    check_command(&installation, 1, command_line, 0, "accepted");
    ck_assert_int_eq(installation_wait_primary(
                         &installation, installation.upstreams[primary].name),
                     target);
    for (int i = 0; i < 3; i++) {
        installation_wait_writable(&installation, i);
    }
    check_command(&installation, 2, "timeline", 0, "promoted");
    installation_stop(&installation);
}
END_TEST

// Guards against a customer's shutdown that hangs while an idle session is
// open, and against a planned stop that leaves a daemon running: the customer
// is shut down, then the daemons are stopped one after the other.
START_TEST(test_shutdown_and_stop)
{
    struct installation installation;

    start_three_daemons(&installation, "operations_shutdown");
    PGconn *idle = installation_connect(&installation, 0, NULL);
    char *text = process_query(idle, "SELECT 1");
    ck_assert_str_eq(text, "1");
    free(text);
    check_command(&installation, 0, "customer list", 0, "open");
    check_command(&installation, 1, "customer shutdown pootafdruk --wait", 0,
                  "customer pootafdruk: closed");
    check_command(&installation, 1, "customer shutdown pootafdruk", 0,
                  "has already begun");
    text = process_query(idle, "SELECT 1");
    ck_assert_str_ne(text, "1");
    free(text);
    PQfinish(idle);

    for (int i = 0; i < 3; i++) {
        struct process *process = installation.daemons[i].process;
        check_command(&installation, i, "stop", 0, "accepted");
        installation.daemons[i].process = NULL;
        ck_assert_int_eq(process_wait(process), 0);
    }
    check_command(&installation, 0, "--timeout 500 customer list", 1,
                  "no daemon answered");
    installation_stop(&installation);
}
END_TEST

// Returns whether a daemon's log contains a text after another one.
static bool
log_contains_after(const struct installation *installation, int daemon,
                   const char *text, const char *after)
{
    char *path = xasprintf("%s/%s.log", installation->folder,
                           installation->daemons[daemon].vm);
    char *log = process_read_file(path);
    const char *begin = strstr(log, after);
    bool found = begin != NULL && strstr(begin, text) != NULL;

    free(log);
    free(path);
    return found;
}

static void
wait_for_role(const struct installation *installation, int daemon,
              const char *role)
{
    for (int i = 0; i < WAIT_ROUNDS; i++) {
        if (log_contains_after(installation, daemon, role, "event=stopping")) {
            return;
        }
        usleep(WAIT_STEP_US);
    }
    ck_abort_msg("no %s", role);
}

// Guards against a daemon that stops, hands its leadership over to one that
// does not answer, is elected again and then does not end.
START_TEST(test_stopped_leader_hands_over_again)
{
    struct installation_params params = three_daemons;
    struct installation installation;

    params.name = "operations_handover";
    params.settings = ", \"drain_limit_ms\": 30000";
    start_daemons(&installation, &params);
    int leader = installation_find_leader(&installation);
    struct process *process = installation.daemons[leader].process;
    int behind = (leader + 1) % 3;
    pid_t next =
        process_get_pid(installation.daemons[(leader + 2) % 3].process);
    PGconn *open = installation_connect(&installation, leader, NULL);

    free(process_query(open, "BEGIN"));
    free(process_query(open, "SELECT 1"));
    installation_kill_daemon(&installation, behind);
    check_command(&installation, leader, "customer shutdown pootafdruk", 0,
                  "accepted");
    (void)kill(next, SIGSTOP);
    (void)kill(process_get_pid(process), SIGTERM);
    wait_for_role(&installation, leader, "role=follower");
    installation_start_daemon(&installation, behind, false);
    wait_for_role(&installation, leader, "role=leader");
    PQfinish(open);
    installation.daemons[leader].process = NULL;
    ck_assert_int_eq(process_wait(process), 0);
    ck_assert(log_contains_after(&installation, leader,
                                 "event=stopped drained=1", "event=stopping"));
    installation_stop(&installation);
}
END_TEST

// Guards against a database that belongs to two customers, and against the
// deletion of a template in use. An unused template is created, applied
// without a change and deleted.
START_TEST(test_manifests)
{
    struct installation installation;
    char command_line[400];

    start_three_daemons(&installation, "operations_declarations");
    char *dir = xasprintf("%s/declared", installation.folder);
    char *command = xasprintf("mkdir '%s'", dir);
    char *path = xasprintf("%s/second.json", dir);
    ck_assert_int_eq(system(command), 0);
    process_write_file(path, "{\"customer\": \"second\", // a comment\n"
                             " \"template\": \"roster\"}\n");
    (void)snprintf(command_line, sizeof(command_line), "plan -f %s", dir);
    check_command(&installation, 0, command_line, 3, "second");
    process_write_file(path,
                       "{\"template\": \"other\", \"parameters\": {},"
                       "\"customer\": {\"databases\": [{\"name\": \"d2\","
                       "\"group\": \"fleet\"}], \"max_age_ms\": 10}}");
    check_command(&installation, 0, command_line, 2, "would be created");
    (void)snprintf(command_line, sizeof(command_line), "apply -f %s", dir);
    check_command(&installation, 0, command_line, 0,
                  "template other: accepted");
    check_command(&installation, 1, command_line, 0,
                  "template other: unchanged");
    check_command(&installation, 2, "template list", 0, "other");
    check_command(&installation, 2, "template delete roster", 3, "refused");
    check_command(&installation, 2, "template delete other", 0, "deleted");
    free(path);
    free(command);
    free(dir);
    installation_stop(&installation);
}
END_TEST

// Guards against a customer that is applied to the fleet group only, although
// the control group of a failure domain coordinates its database. Failover in
// that group must then restore writes.
START_TEST(test_customer_in_failure_domain_group)
{
    struct installation_params params = three_daemons;
    struct installation installation;
    char command_line[400];

    params.name = "operations_domain";
    params.group = "noord";
    installation_start(&installation, &params);
    (void)installation_find_leader(&installation);
    char *dir = xasprintf("%s/declared", installation.folder);
    char *command = xasprintf("mkdir '%s'", dir);
    char *template_path = xasprintf("%s/roster.json", dir);
    char *customer_path = xasprintf("%s/pootafdruk.json", dir);
    ck_assert_int_eq(system(command), 0);
    process_write_file(template_path,
                       "{\"template\": \"roster\", \"parameters\":"
                       "{\"databases\": {\"type\": \"list\"}},"
                       "\"customer\": {\"databases\": \"${databases}\","
                       "\"request_types\": [{\"name\": \"other\"}]}}");
    process_write_file(customer_path,
                       "{\"customer\": \"pootafdruk\","
                       "\"template\": \"roster\", \"parameters\":"
                       "{\"databases\": [{\"name\": \"roster1\","
                       "\"group\": \"noord\"}]}}");
    (void)snprintf(command_line, sizeof(command_line), "apply -f %s", dir);
    check_command(&installation, 0, command_line, 0,
                  "customer pootafdruk: accepted in control group noord");
    check_command(&installation, 0, command_line, 0,
                  "template roster: unchanged in control group noord");
    int primary = installation_wait_primary(&installation, "");
    installation_wait_writable(&installation, 1);
    installation_kill_upstream(&installation, primary);
    (void)installation_wait_primary(&installation,
                                    installation.upstreams[primary].name);
    installation_wait_writable(&installation, 2);
    free(customer_path);
    free(template_path);
    free(command);
    free(dir);
    installation_stop(&installation);
}
END_TEST

// Guards against a loss of changes or of the quorum: a voter loses its disk
// and is replaced under a new id, and a second voter is lost right after the
// replacement. The change made before must be kept and a new one must succeed.
// An id that was already used must be refused.
START_TEST(test_voter_loss_after_replacement)
{
    struct installation_params params = three_daemons;
    struct installation installation;
    char command_line[200];

    params.name = "operations_repair";
    params.upstreams_count = 0;
    installation_start(&installation, &params);
    installation_create_customer(&installation);
    int leader = installation_find_leader(&installation);
    int replaced = (leader + 1) % 3;
    int second_lost = (leader + 2) % 3;
    const char *vm = installation.daemons[replaced].vm;
    installation_kill_daemon(&installation, replaced);
    installation_erase_data(&installation, replaced, 4);
    (void)snprintf(command_line, sizeof(command_line), "voter remove fleet %s",
                   vm);
    check_command(&installation, leader, command_line, 0, "accepted");
    installation_start_daemon(&installation, replaced, false);
    (void)snprintf(command_line, sizeof(command_line),
                   "voter add fleet %s 2 127.0.0.1:%u", vm,
                   installation.daemons[replaced].rpc.port);
    check_command(&installation, leader, command_line, 3, "");
    (void)snprintf(command_line, sizeof(command_line),
                   "voter add fleet %s 4 127.0.0.1:%u", vm,
                   installation.daemons[replaced].rpc.port);
    check_command(&installation, leader, command_line, 0, "accepted");
    wait_command_output(&installation, leader, "-j status", "\"voting\":3");
    installation_kill_daemon(&installation, second_lost);
    check_command(&installation, leader, "customer list", 0, "pootafdruk");
    ck_assert_int_eq(installation_apply_change(
                         &installation, CK_CHANGE_TEMPLATE, "other",
                         "{\"template\": \"other\", \"parameters\": {},"
                         "\"customer\": {\"databases\": [],"
                         "\"request_types\": [{\"name\": \"a\"}]}}",
                         "after-repair"),
                     0);
    installation_stop(&installation);
}
END_TEST

// Waits until a daemon's log contains a text, or fails the test.
static void
wait_log(const struct installation *installation, int daemon, const char *part)
{
    char path[600];
    bool found = false;

    (void)snprintf(path, sizeof(path), "%s/%s.log", installation->folder,
                   installation->daemons[daemon].vm);
    for (int i = 0; i < WAIT_ROUNDS && !found; i++) {
        char *text = process_read_file(path);
        found = strstr(text, part) != NULL;
        free(text);
        usleep(WAIT_STEP_US);
    }
    ck_assert_msg(found, "%s never holds %s", path, part);
}

// Guards against a SIGHUP that puts invalid settings into force: the daemon
// must log the error and keep its settings. With a valid file it must log that
// the log settings were reloaded.
START_TEST(test_settings_reload)
{
    struct installation_params params = three_daemons;
    struct installation installation;

    params.name = "operations_reload";
    params.daemons_count = params.voters_count = 1;
    params.upstreams_count = 0;
    installation_start(&installation, &params);
    struct installation_daemon *daemon = &installation.daemons[0];
    char *valid_settings = process_read_file(daemon->settings_path);
    process_write_file(daemon->settings_path, "{\n\"vm\": 7}");
    kill(process_get_pid(daemon->process), SIGHUP);
    wait_log(&installation, 0, "event=settings_refused");
    wait_log(&installation, 0, ":2: vm: must be a text");
    check_command(&installation, 0, "status", 0, "vm1");
    process_write_file(daemon->settings_path, valid_settings);
    kill(process_get_pid(daemon->process), SIGHUP);
    wait_log(&installation, 0, "event=settings_reloaded log=ok");
    check_command(&installation, 0, "status", 0, "vm1");
    free(valid_settings);
    installation_stop(&installation);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_status);
    tcase_add_test(tests, test_switchover);
    tcase_add_test(tests, test_shutdown_and_stop);
    tcase_add_test(tests, test_stopped_leader_hands_over_again);
    tcase_add_test(tests, test_manifests);
    tcase_add_test(tests, test_customer_in_failure_domain_group);
    tcase_add_test(tests, test_voter_loss_after_replacement);
    tcase_add_test(tests, test_settings_reload);
}

TEST_MAIN("operations", add_tests)
