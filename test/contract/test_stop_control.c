#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "catkingrade/kernel/memory.h"
#include "test/fake/platform.h"
#include "test/fake/process.h"
#include "test/rig/platform_rig.h"
#include "test/suite.h"

// Guards against calls to a control VM that were read whole and whose
// connection ends without a response when the VM is stopped.

#define CONFIG(number)                                                        \
    "{\"version\":" number ",\"routes\":["                                    \
    "{\"host\":\"own\",\"routeKind\":\"read_own_writes\","                    \
    "\"timeoutMs\":5000,\"targetLatencyMs\":4000,\"priority\":2,"             \
    "\"service\":\"core\",\"maxStalenessMs\":2500}],"                         \
    "\"services\":[{\"name\":\"core\",\"maxConns\":30,\"syncReplicas\":0}],"  \
    "\"limits\":{\"txIdleMs\":60000}}"

#define CALLS 4

static int
send_call(int vm_index, const char *method, const char *path, const char *body)
{
    int fd = platform_connect(rig.http_ports[vm_index]);
    char *text = xasprintf("%s %s HTTP/1.1\r\nHost: a\r\n"
                           "Content-Type: application/json\r\n"
                           "Content-Length: %zu\r\n\r\n%s",
                           method, path, strlen(body), body);

    ck_assert_int_ge(fd, 0);
    ck_assert_int_eq(send(fd, text, strlen(text), MSG_NOSIGNAL),
                     (ssize_t)strlen(text));
    free(text);
    return fd;
}

// Checks that a call got the head and the whole body of a response.
static void
assert_answered(int fd, const char *name)
{
    char text[8192] = {0};
    size_t size = 0;
    ssize_t got = 0;
    size_t length = 0;

    while ((got = recv(fd, text + size, sizeof(text) - 1 - size, 0)) > 0) {
        size += (size_t)got;
    }
    close(fd);
    const char *head = strstr(text, "Content-Length: ");
    const char *body = strstr(text, "\r\n\r\n");
    ck_assert_msg(head != NULL && body != NULL, "%s: no response: \"%s\"",
                  name, text);
    ck_assert_int_eq(sscanf(head, "Content-Length: %zu", &length), 1);
    ck_assert_msg(strlen(body + 4) == length, "%s: cut: \"%s\"", name, text);
    ck_assert_msg(strncmp(text, "HTTP/1.1 200 ", 13) == 0 ||
                      strncmp(text, "HTTP/1.1 503 ", 13) == 0,
                  "%s: %s", name, text);
}

static void
signal_others(int vm_index, int signal_number)
{
    for (int i = 0; i < RIG_CONTROLS; i++) {
        if (i != vm_index) {
            (void)kill(process_get_pid(rig.controls[i]), signal_number);
        }
    }
}

// Waits until the VM has read what was sent to it before.
static void
wait_read(int vm_index)
{
    for (int i = 0; i < 2; i++) {
        long status = 0;
        free(platform_rig_call(vm_index, "GET", "/healthz", NULL, &status));
        ck_assert_int_eq(status, 200);
    }
}

// Stops each VM, leader or not, while the frozen others keep its calls in
// flight. thaws: whether the others go on once the stop has begun.
static void
check_stop(int vm_index, bool thaws)
{
    static const char *const methods[CALLS] = {"PUT", "GET", "PUT", "DELETE"};
    static const char *const paths[CALLS] = {
        "/v1/config", "/v1/config", "/v1/instances/x", "/v1/instances/y"};
    static const char *const bodies[CALLS] = {
        CONFIG("5"), "",
        "{\"service\":\"core\",\"addr\":\"127.0.0.1:9\",\"zone\":\"noord\","
        "\"version\":\"v1\",\"slots\":2,\"state\":\"ready\","
        "\"coldLeftMs\":0,\"dbRole\":\"replica\",\"seq\":4,\"born\":7}",
        ""};
    int fds[CALLS];

    platform_rig_start("stop_control", 0, "");
    platform_rig_wait_config(0, CONFIG("1"));
    signal_others(vm_index, SIGSTOP);
    for (int i = 0; i < CALLS; i++) {
        fds[i] = send_call(vm_index, methods[i], paths[i], bodies[i]);
    }
    wait_read(vm_index);
    (void)kill(process_get_pid(rig.controls[vm_index]), SIGTERM);
    if (thaws) {
        signal_others(vm_index, SIGCONT);
    }
    ck_assert_int_eq(process_wait(rig.controls[vm_index]), 0);
    rig.controls[vm_index] = NULL;
    for (int i = 0; i < CALLS; i++) {
        assert_answered(fds[i], paths[i]);
    }
    platform_rig_stop();
}

START_TEST(test_stopped_vm_answers_calls)
{
    check_stop(_i, true);
}
END_TEST

START_TEST(test_stopped_vm_without_peers_answers_calls)
{
    check_stop(_i, false);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_set_timeout(tests, 120);
    tcase_add_loop_test(tests, test_stopped_vm_answers_calls, 0, RIG_CONTROLS);
    tcase_add_loop_test(tests, test_stopped_vm_without_peers_answers_calls, 0,
                        RIG_CONTROLS);
}

TEST_MAIN("stop_control", add_tests)
