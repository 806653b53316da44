#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "catkingrade/kernel/memory.h"
#include "test/fake/platform.h"
#include "test/fake/process.h"
#include "test/suite.h"

// The whole path on the users' platform with real daemons: three control VMs
// and an entry, against the stand-in of the platform.

#define CONTROLS     3
#define WAIT_ROUNDS  500
#define WAIT_STEP_US 20000

#define CONFIG(number, deadline)                                              \
    "{\"version\":" number ",\"routes\":["                                    \
    "{\"host\":\"own\",\"routeKind\":\"read_own_writes\","                    \
    "\"timeoutMs\":" deadline ",\"targetLatencyMs\":4000,\"priority\":2,"     \
    "\"service\":\"core\",\"maxStalenessMs\":2500},"                          \
    "{\"host\":\"current\",\"routeKind\":\"primary\",\"timeoutMs\":5000,"     \
    "\"targetLatencyMs\":4000,\"priority\":1,\"service\":\"core\"}],"         \
    "\"services\":[{\"name\":\"core\",\"maxConns\":30,\"syncReplicas\":0}],"  \
    "\"limits\":{\"txIdleMs\":60000}}"

struct rig {
    char *folder;
    struct platform *platform;
    struct process *controls[CONTROLS];
    struct process *entry;
    int rpc_ports[CONTROLS + 1];
    int http_ports[CONTROLS + 1];
    int caller_port;
    pthread_t beats;
    bool beating;
    volatile bool stopping;
    volatile bool leaving[PLATFORM_UPSTREAMS];
};

static struct rig rig;

static char *
format_url(int place, const char *path)
{
    return xasprintf("http://127.0.0.1:%d%s", rig.http_ports[place], path);
}

static char *
call(int place, const char *method, const char *path, const char *body,
     long *status)
{
    char *url = format_url(place, path);
    char *answer = platform_call(method, url, body, status);

    free(url);
    return answer;
}

static long
put_config(int place, const char *body)
{
    long status = 0;

    free(call(place, "PUT", "/v1/config", body, &status));
    return status;
}

// Announces the upstreams that live, again and again, to one control VM after
// the other.
static void *
beat(void *data)
{
    unsigned turn = 0;

    (void)data;
    while (!rig.stopping) {
        for (int i = 0; i < PLATFORM_UPSTREAMS; i++) {
            char body[512];
            char path[64];
            long status = 0;
            platform_describe(rig.platform, i, rig.leaving[i], body,
                              sizeof(body));
            (void)snprintf(path, sizeof(path), "/v1/instances/i-%d", i);
            free(call((int)(turn++ % CONTROLS), "PUT", path, body, &status));
        }
        usleep(100000);
    }
    return NULL;
}

static void
write_settings(const char *path, int place, bool bootstrap)
{
    bool entry = place == CONTROLS;
    char *extra =
        entry ? xasprintf("\"listen\": {\"rpc\": \"127.0.0.1:%d\", \"http\": "
                          "\"127.0.0.1:%d\"}, \"roles\": [\"entry\"], "
                          "\"platform\": {\"listen\": \"127.0.0.1:%d\"}, "
                          "\"traffic_threads\": 1",
                          rig.rpc_ports[place], rig.http_ports[place],
                          rig.caller_port)
              : xasprintf("\"listen\": {\"rpc\": \"127.0.0.1:%d\", \"http\": "
                          "\"127.0.0.1:%d\"}, \"roles\": [\"control\"], "
                          "\"data_dir\": \"%s/data%d\", \"bootstrap\": %s, "
                          "\"platform\": {\"control\": true, \"promote\": "
                          "\"127.0.0.1:%d\"}",
                          rig.rpc_ports[place], rig.http_ports[place],
                          rig.folder, place, bootstrap ? "true" : "false",
                          platform_get_promote_port(rig.platform));
    char *text = xasprintf(
        "{\"vm\": \"vm%d\", \"failure_domain\": \"noord\", \"seeds\": "
        "[\"127.0.0.1:%d\", \"127.0.0.1:%d\", \"127.0.0.1:%d\"], "
        "\"voters_from_seeds\": true, \"sample_upstreams\": false, "
        "\"ready_with_lease\": true, \"announce_expiry_ms\": 3000, "
        "\"log_format\": \"json\", \"drain_notice_ms\": 100, "
        "\"drain_limit_ms\": 1000, %s}",
        place, rig.rpc_ports[0], rig.rpc_ports[1], rig.rpc_ports[2], extra);

    process_write_file(path, text);
    free(text);
    free(extra);
}

static struct process *
start_daemon(int place, bool bootstrap)
{
    char path[512];
    char log[512];
    const char *args[] = {"--settings", path, NULL};

    (void)snprintf(path, sizeof(path), "%s/vm%d.json", rig.folder, place);
    (void)snprintf(log, sizeof(log), "%s/vm%d.log", rig.folder, place);
    write_settings(path, place, bootstrap);
    return process_start(log, "catkingraded", args);
}

static void
start(const char *name)
{
    memset(&rig, 0, sizeof(rig));
    rig.folder = process_make_folder(name);
    rig.platform = platform_start();
    for (int i = 0; i <= CONTROLS; i++) {
        rig.rpc_ports[i] = process_get_free_port();
        rig.http_ports[i] = process_get_free_port();
    }
    rig.caller_port = process_get_free_port();
    for (int i = 0; i < CONTROLS; i++) {
        rig.controls[i] = start_daemon(i, true);
    }
    rig.entry = start_daemon(CONTROLS, false);
    for (int i = 0; i <= CONTROLS; i++) {
        ck_assert(process_wait_port(rig.http_ports[i]));
    }
    ck_assert_int_eq(pthread_create(&rig.beats, NULL, beat, NULL), 0);
    rig.beating = true;
}

static void
stop(void)
{
    rig.stopping = true;
    pthread_join(rig.beats, NULL);
    for (int i = 0; i < CONTROLS; i++) {
        if (rig.controls[i] != NULL) {
            (void)process_stop(rig.controls[i], SIGKILL);
        }
    }
    (void)process_stop(rig.entry, SIGKILL);
    platform_stop(rig.platform);
    free(rig.folder);
}

// Repeats a change until it is accepted.
static void
wait_config(int place, const char *body)
{
    long status = 0;

    for (int i = 0; i < WAIT_ROUNDS && status != 200; i++) {
        status = put_config(place, body);
        usleep(WAIT_STEP_US);
    }
    ck_assert_int_eq(status, 200);
}

// Repeats a request on new sessions until its answer holds the part.
static int
wait_answer(const char *name, const char *line, const char *part)
{
    char startup[64];

    (void)snprintf(startup, sizeof(startup), "STARTUP %s u1", name);
    for (int i = 0; i < WAIT_ROUNDS; i++) {
        int fd = platform_connect(rig.caller_port);
        char *text = fd < 0 ? NULL : platform_ask(fd, startup);
        bool ready = text != NULL && strncmp(text, "READY", 5) == 0;
        free(text);
        text = ready ? platform_ask(fd, line) : NULL;
        bool found = text != NULL && strstr(text, part) != NULL;
        free(text);
        if (found) {
            return fd;
        }
        if (fd >= 0) {
            close(fd);
        }
        usleep(WAIT_STEP_US);
    }
    ck_abort_msg("%s never gives %s", line, part);
    return -1;
}

static void
expect(int fd, const char *line, const char *answer)
{
    char *text = platform_ask(fd, line);

    ck_assert_msg(text != NULL && strcmp(text, answer) == 0,
                  "%s: %s, expected %s", line, text == NULL ? "end" : text,
                  answer);
    free(text);
}

START_TEST(test_statements_of_a_session)
{
    start("platform_statements");
    wait_config(1, CONFIG("3", "5000"));
    int fd = wait_answer("own", "QUERY a0 WRITE k0 zero", "sig-a0");
    expect(fd, "QUERY a1 SET v1 x", "COMPLETE -\r\nREADY I -\r\n");
    expect(fd, "QUERY a2 PREPARE s1 WRITE q1", "COMPLETE -\r\nREADY I -\r\n");
    expect(fd, "QUERY a3 PREPARE s2 READ q1", "COMPLETE -\r\nREADY I -\r\n");
    expect(fd, "QUERY a4 EXECUTE s1 k1 one",
           "COMPLETE sig-a4\r\nREADY I -\r\n");
    expect(fd, "QUERY a5 EXECUTE s2 k1",
           "DATAROW one\r\nCOMPLETE sig-a5\r\nREADY I -\r\n");
    expect(fd, "QUERY a6 EXECUTE s9 k1",
           "ERROR NOSTMT no statement has that name\r\nREADY I -\r\n");
    expect(fd, "QUERY b1 BEGIN", "COMPLETE -\r\nREADY T -\r\n");
    expect(fd, "QUERY b2 WRITE k2 two", "COMPLETE sig-b2\r\nREADY T -\r\n");
    expect(fd, "QUERY b3 READ k1",
           "DATAROW one\r\nCOMPLETE sig-b3\r\nREADY T -\r\n");
    expect(fd, "QUERY b4 COMMIT", "COMPLETE sig-b4\r\nREADY I -\r\n");
    expect(fd, "QUERY b5 READ k2",
           "DATAROW two\r\nCOMPLETE sig-b5\r\nREADY I -\r\n");
    expect(fd, "QUERY c1 BEGIN", "COMPLETE -\r\nREADY T -\r\n");
    expect(fd, "QUERY c2 WRITE k3 three", "COMPLETE sig-c2\r\nREADY T -\r\n");
    expect(fd, "QUERY c3 ROLLBACK", "COMPLETE -\r\nREADY I -\r\n");
    expect(fd, "QUERY d1 BEGIN READ", "COMPLETE -\r\nREADY T -\r\n");
    expect(fd, "QUERY d2 READ k3",
           "DATAROW -\r\nCOMPLETE sig-d2\r\nREADY T -\r\n");
    expect(fd, "QUERY d3 COMMIT", "COMPLETE sig-d3\r\nREADY I -\r\n");
    expect(fd, "QUERY e1 BEGIN", "COMPLETE -\r\nREADY T -\r\n");
    expect(fd, "QUERY e2 COMMIT", "COMPLETE sig-e2\r\nREADY I -\r\n");
    expect(fd, "QUERY f1 COMMIT",
           "ERROR MALFORMED no transaction is open\r\nREADY I -\r\n");
    expect(fd, "QUERY f2 SOMETHING else",
           "ERROR MALFORMED no such statement\r\nREADY I -\r\n");
    close(fd);
    fd = platform_connect(rig.caller_port);
    char *text = platform_ask(fd, "STARTUP nowhere u1");
    ck_assert_str_eq(text, "ERROR NODB there is no such database\r\n");
    free(text);
    close(fd);
    ck_assert_int_eq(platform_count(rig.platform, "one"), 1);
    ck_assert_int_eq(platform_count(rig.platform, "three"), 0);
    ck_assert_int_eq(platform_get_faults(rig.platform), 0);
    stop();
}
END_TEST

// A caller that leaves within its transaction takes nothing along, and the
// next session never sees its connection's state.
START_TEST(test_left_transaction_is_rolled_back)
{
    start("platform_left");
    wait_config(0, CONFIG("1", "5000"));
    int fd = wait_answer("current", "QUERY a0 WRITE k0 zero", "sig-a0");
    for (int i = 0; i < 8; i++) {
        int other = wait_answer("current", "QUERY a1 SET v1 x", "COMPLETE");
        expect(other, "QUERY a2 BEGIN", "COMPLETE -\r\nREADY T -\r\n");
        expect(other, "QUERY a3 WRITE k9 lost",
               "COMPLETE sig-a3\r\nREADY T -\r\n");
        close(other);
        expect(fd, "QUERY b1 WRITE k1 kept",
               "COMPLETE sig-b1\r\nREADY I -\r\n");
    }
    ck_assert_int_eq(platform_count(rig.platform, "lost"), 0);
    ck_assert_int_eq(platform_count(rig.platform, "kept"), 8);
    close(fd);
    stop();
}
END_TEST

// The highest number is in force, also through another daemon, and is read
// back byte for byte; faulty ones change nothing.
START_TEST(test_configuration)
{
    long status = 0;

    start("platform_config");
    char *text = call(0, "GET", "/v1/config", NULL, &status);
    ck_assert_int_eq(status, 503);
    free(text);
    wait_config(0, CONFIG("7", "5000"));
    ck_assert_int_eq(put_config(1, CONFIG("7", "1")), 200);
    ck_assert_int_eq(put_config(2, CONFIG("6", "1")), 200);
    ck_assert_int_eq(put_config(1, CONFIG("9", "0")), 400);
    ck_assert_int_eq(put_config(1, "{\"version\":9,"), 400);
    for (int i = 0; i < CONTROLS; i++) {
        text = call(i, "GET", "/v1/config", NULL, &status);
        ck_assert_int_eq(status, 200);
        ck_assert_str_eq(text, CONFIG("7", "5000"));
        free(text);
    }
    text = call(0, "PUT", "/v1/instances/x", "{\"service\":7}", &status);
    ck_assert_int_eq(status, 400);
    free(text);
    stop();
}
END_TEST

// A lost primary is followed by a replica; nothing that was acknowledged is
// lost or doubled, and the platform is told a fence.
START_TEST(test_failover)
{
    start("platform_failover");
    wait_config(2, CONFIG("1", "5000"));
    int fd = wait_answer("current", "QUERY a0 WRITE k0 zero", "sig-a0");
    int old = platform_get_primary(rig.platform);
    platform_kill(rig.platform, old);
    close(fd);
    fd = wait_answer("current", "QUERY a1 WRITE k1 one", "sig-a1");
    ck_assert_int_ne(platform_get_primary(rig.platform), old);
    ck_assert_uint_gt(platform_get_last_fence(rig.platform), 0);
    expect(fd, "QUERY a2 READ k0",
           "DATAROW zero\r\nCOMPLETE sig-a2\r\nREADY I -\r\n");
    ck_assert_int_eq(platform_count(rig.platform, "one"), 1);
    platform_revive(rig.platform, old);
    expect(fd, "QUERY a3 WRITE k1 two", "COMPLETE sig-a3\r\nREADY I -\r\n");
    close(fd);
    stop();
}
END_TEST

// A primary that leaves hands over while it still serves.
START_TEST(test_leaving_primary)
{
    start("platform_leaving");
    wait_config(0, CONFIG("1", "5000"));
    int fd = wait_answer("current", "QUERY a0 WRITE k0 zero", "sig-a0");
    int old = platform_get_primary(rig.platform);
    rig.leaving[old] = true;
    for (int i = 0; i < WAIT_ROUNDS; i++) {
        if (platform_get_primary(rig.platform) != old) {
            break;
        }
        usleep(WAIT_STEP_US);
    }
    ck_assert_int_ne(platform_get_primary(rig.platform), old);
    close(fd);
    fd = wait_answer("current", "QUERY a1 READ k0", "DATAROW zero");
    close(fd);
    stop();
}
END_TEST

// A read of the session's own save never comes from a replica without it.
START_TEST(test_own_saves_on_held_replicas)
{
    start("platform_own");
    wait_config(0, CONFIG("1", "5000"));
    int fd = wait_answer("own", "QUERY a0 WRITE k0 zero", "sig-a0");
    int primary = platform_get_primary(rig.platform);
    for (int i = 0; i < PLATFORM_UPSTREAMS; i++) {
        platform_hold(rig.platform, i, i != primary);
    }
    expect(fd, "QUERY a1 WRITE k0 one", "COMPLETE sig-a1\r\nREADY I -\r\n");
    for (int i = 0; i < 20; i++) {
        expect(fd, "QUERY a2 READ k0",
               "DATAROW one\r\nCOMPLETE sig-a2\r\nREADY I -\r\n");
        usleep(WAIT_STEP_US);
    }
    close(fd);
    stop();
}
END_TEST

static void
lose_disk(int place)
{
    char command[600];
    const char *args[] = {"-rf", command, NULL};
    int code = 0;

    (void)process_stop(rig.controls[place], SIGKILL);
    (void)snprintf(command, sizeof(command), "%s/data%d", rig.folder, place);
    free(process_run(rig.folder, "/bin/rm", args, &code));
    ck_assert_int_eq(code, 0);
    rig.controls[place] = start_daemon(place, false);
}

// Returns whether a control VM sees three voters that all vote, itself under a
// new identity.
static bool
is_settled(int place)
{
    char address[64];
    const char *args[] = {"--connect", address, "--json", "status", NULL};
    int code = 0;

    (void)snprintf(address, sizeof(address), "127.0.0.1:%d",
                   rig.rpc_ports[place]);
    char *text = process_run(rig.folder, "catkingrade", args, &code);
    char *end = text;
    for (const char *c = text; *c != '\0'; c++) {
        if (*c != ' ' && *c != '\n') {
            *end++ = *c;
        }
    }
    *end = '\0';
    bool settled = strstr(text, "\"voters\":3,\"voting\":3") != NULL;
    free(text);
    return settled;
}

// Each control VM loses its disk in turn, the first of the founders too: what
// was acknowledged stays, and new changes are accepted.
START_TEST(test_lost_disks_in_turn)
{
    long status = 0;

    start("platform_disks");
    wait_config(0, CONFIG("5", "5000"));
    for (int i = 0; i < CONTROLS; i++) {
        lose_disk(i);
        for (int j = 0; j < WAIT_ROUNDS && !is_settled(i); j++) {
            usleep(WAIT_STEP_US);
        }
        ck_assert_msg(is_settled(i), "vm%d does not come back", i);
    }
    char *text = NULL;
    for (int i = 0; i < WAIT_ROUNDS && status != 200; i++) {
        free(text);
        text = call(1, "GET", "/v1/config", NULL, &status);
        usleep(WAIT_STEP_US);
    }
    ck_assert_str_eq(text, CONFIG("5", "5000"));
    free(text);
    wait_config(0, CONFIG("6", "5000"));
    stop();
}
END_TEST

// Before its first view an entry holds callers; it never tells them that
// there is no such database.
START_TEST(test_starting_entry_denies_nothing)
{
    start("platform_starting");
    for (int i = 0; i < 3; i++) {
        int fd = platform_connect(rig.caller_port);
        char *text = platform_ask(fd, "STARTUP own u1");
        ck_assert_msg(text == NULL || strstr(text, "NODB") == NULL, "%s",
                      text);
        free(text);
        close(fd);
    }
    long status = 0;
    free(call(CONTROLS, "GET", "/readyz", NULL, &status));
    ck_assert_int_eq(status, 503);
    wait_config(0, CONFIG("1", "5000"));
    close(wait_answer("own", "QUERY a0 WRITE k0 zero", "sig-a0"));
    free(call(CONTROLS, "GET", "/readyz", NULL, &status));
    ck_assert_int_eq(status, 200);
    stop();
}
END_TEST

// Runs the command on the logs of all VMs until its output has all parts.
static void
check_explained(const char *id, const char *const *parts, size_t parts_count)
{
    char *output = xasprintf("%s/explain.log", rig.folder);
    char *logs[CONTROLS + 1];
    const char *missing = parts[0];
    char *text = NULL;

    for (int i = 0; i <= CONTROLS; i++) {
        logs[i] = xasprintf("%s/vm%d.log", rig.folder, i);
    }
    const char *args[] = {"explain", id,      logs[0], logs[1],
                          logs[2],   logs[3], NULL};
    for (int i = 0; i < WAIT_ROUNDS && missing != NULL; i++) {
        free(text);
        (void)process_wait(process_start(output, "catkingrade", args));
        text = process_read_file(output);
        missing = NULL;
        for (size_t j = 0; j < parts_count && missing == NULL; j++) {
            missing = strstr(text, parts[j]) == NULL ? parts[j] : NULL;
        }
        usleep(missing == NULL ? 0 : WAIT_STEP_US);
    }
    ck_assert_msg(missing == NULL, "no \"%s\" in: %.800s", missing, text);
    free(text);
    free(output);
    for (int i = 0; i <= CONTROLS; i++) {
        free(logs[i]);
    }
}

// Few connections, and waits of 0.3 s.
#define SMALL_CONFIG                                                          \
    "{\"version\":1,\"routes\":["                                             \
    "{\"host\":\"own\",\"routeKind\":\"read_own_writes\","                    \
    "\"timeoutMs\":2000,\"targetLatencyMs\":900,\"priority\":2,"              \
    "\"service\":\"core\",\"maxStalenessMs\":2500},"                          \
    "{\"host\":\"current\",\"routeKind\":\"primary\",\"timeoutMs\":2000,"     \
    "\"targetLatencyMs\":900,\"priority\":1,\"service\":\"core\"}],"          \
    "\"services\":[{\"name\":\"core\",\"maxConns\":6,\"syncReplicas\":0}],"   \
    "\"limits\":{\"txIdleMs\":60000}}"

// Opens transactions until one is refused, whose id it fills in.
static void
fill_slots(char *id, size_t size)
{
    int fds[20];
    size_t count = 0;
    bool refused = false;

    while (!refused) {
        char line[64];
        ck_assert_uint_lt(count, ARRAY_SIZE(fds));
        int fd = wait_answer("current", "QUERY - SET v1 x", "COMPLETE");
        fds[count++] = fd;
        expect(fd, "QUERY - BEGIN", "COMPLETE -\r\nREADY T -\r\n");
        (void)snprintf(id, size, "full%zu", count);
        (void)snprintf(line, sizeof(line), "QUERY %s WRITE k9 x", id);
        char *text = platform_ask(fd, line);
        ck_assert_ptr_nonnull(text);
        refused = strncmp(text, "ERROR", 5) == 0;
        free(text);
    }
    for (size_t i = 0; i < count; i++) {
        close(fds[i]);
    }
}

// Asks until the answer is an error; fills the id of that statement.
static void
ask_until_refused(int fd, char *id, size_t size)
{
    bool refused = false;

    for (int i = 0; i < WAIT_ROUNDS && !refused; i++) {
        char line[64];
        (void)snprintf(id, size, "stale%d", i);
        (void)snprintf(line, sizeof(line), "QUERY %s READ k2", id);
        char *text = platform_ask(fd, line);
        ck_assert_ptr_nonnull(text);
        refused = strncmp(text, "ERROR", 5) == 0;
        free(text);
        usleep(WAIT_STEP_US);
    }
    ck_assert(refused);
}

// The causes of three kinds of failed request are found by the logs alone.
START_TEST(test_failures_are_explained)
{
    static const char *const full[] = {
        "refused, not run: no slot was free in time"};
    static const char *const unknown[] = {"unknown outcome at upstream",
                                          "primary_lost", "promoted"};
    static const char *const stale[] = {
        "refused, not run: no upstream has what the read needs",
        "lease_expired"};
    char id[32];

    start("platform_explained");
    wait_config(0, SMALL_CONFIG);
    close(wait_answer("own", "QUERY a0 WRITE k0 zero", "sig-a0"));
    fill_slots(id, sizeof(id));
    check_explained(id, full, ARRAY_SIZE(full));

    int fd = wait_answer("current", "QUERY a1 READ k0", "DATAROW");
    platform_mute(rig.platform, platform_get_primary(rig.platform));
    char *text = platform_ask(fd, "QUERY lost1 WRITE k1 one");
    ck_assert_ptr_nonnull(text);
    ck_assert_ptr_nonnull(strstr(text, "ERROR INDOUBT"));
    free(text);
    close(fd);
    check_explained("lost1", unknown, ARRAY_SIZE(unknown));

    close(wait_answer("own", "QUERY b0 WRITE k0 one", "sig-b0"));
    for (int i = 0; i < PLATFORM_UPSTREAMS; i++) {
        platform_hold(rig.platform, i, true);
    }
    fd = wait_answer("own", "QUERY b1 WRITE k2 two", "sig-b1");
    for (int i = 0; i < CONTROLS; i++) {
        (void)process_stop(rig.controls[i], SIGKILL);
        rig.controls[i] = NULL;
    }
    ask_until_refused(fd, id, sizeof(id));
    check_explained(id, stale, ARRAY_SIZE(stale));
    close(fd);
    stop();
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_statements_of_a_session);
    tcase_add_test(tests, test_left_transaction_is_rolled_back);
    tcase_add_test(tests, test_configuration);
    tcase_add_test(tests, test_failover);
    tcase_add_test(tests, test_leaving_primary);
    tcase_add_test(tests, test_own_saves_on_held_replicas);
    tcase_add_test(tests, test_lost_disks_in_turn);
    tcase_add_test(tests, test_failures_are_explained);
    tcase_add_test(tests, test_starting_entry_denies_nothing);
}

TEST_MAIN("platform", add_tests)
