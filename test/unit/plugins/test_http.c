#include "catkingrade/plugins/http.h"

#include <apr_general.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "catkingrade/kernel/daemon.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/kernel/plugin.h"
#include "catkingrade/kernel/settings.h"
#include "test/fake/platform.h"
#include "test/fake/process.h"
#include "test/suite.h"

// Guards against HTTP requests that were read whole and whose connection ends
// without a complete response when the daemon stops.

#define STOPPING "unavailable: this daemon is stopping\n"

#define HTTP_TEST_STEP_US    2000
#define HTTP_TEST_ROUNDS     5000
#define HTTP_TEST_BODY_BYTES (64 * 1024 * 1024)

// A daemon with nothing but the HTTP server and two routes: /held, whose calls
// the test replies to, and /large, which replies at once.
static struct {
    struct settings settings;
    struct daemon daemon;
    pthread_t thread;
    struct http_call *_Atomic held;
    char *large;
} rig;

static void
hold_call(void *data, struct http_call *call)
{
    (void)data;
    atomic_store(&rig.held, call);
}

static void
reply_large(void *data, struct http_call *call)
{
    (void)data;
    http_call_reply(call, 200, "text/plain", rig.large, HTTP_TEST_BODY_BYTES);
}

static void *
run_loop(void *data)
{
    loop_run(data);
    return NULL;
}

static void
start_rig(void)
{
    const struct http_route held = {"PUT", "/held", 100, hold_call, &rig};
    const struct http_route large = {"GET", "/large", 0, reply_large, &rig};

    apr_initialize();
    memset(&rig, 0, sizeof(rig));
    rig.settings.http.port = (uint16_t)process_get_free_port();
    (void)strcpy(rig.settings.http.host, "127.0.0.1");
    rig.daemon.settings = &rig.settings;
    rig.daemon.control_loop = loop_create();
    rig.large = xmalloc(HTTP_TEST_BODY_BYTES);
    memset(rig.large, 'a', HTTP_TEST_BODY_BYTES);
    ck_assert_int_eq(plugin_start_all(&rig.daemon, &rig.settings), OUTCOME_OK);
    http_add_route(rig.daemon.http, &held);
    http_add_route(rig.daemon.http, &large);
    ck_assert_int_eq(
        pthread_create(&rig.thread, NULL, run_loop, rig.daemon.control_loop),
        0);
}

static void
stop_control_loop(void)
{
    loop_stop(rig.daemon.control_loop);
    pthread_join(rig.thread, NULL);
}

static void
free_rig(void)
{
    plugin_stop_all(&rig.daemon);
    loop_destroy(rig.daemon.control_loop);
    free(rig.large);
}

// Ends the control loop and then the HTTP server, as daemon_run does.
static void
stop_rig(void)
{
    stop_control_loop();
    free_rig();
}

static void
drain_rig(void)
{
    atomic_store(&rig.daemon.draining, true);
    plugin_drain_all(&rig.daemon);
}

static void
wait_drained(void)
{
    for (int i = 0; i < HTTP_TEST_ROUNDS; i++) {
        if (plugin_all_drained(&rig.daemon)) {
            return;
        }
        usleep(HTTP_TEST_STEP_US);
    }
    ck_abort_msg("not drained");
}

static void
send_text(int fd, const char *text)
{
    ck_assert_int_eq(send(fd, text, strlen(text), MSG_NOSIGNAL),
                     (ssize_t)strlen(text));
}

// Reads until the connection ends. Returns the count of bytes, and the first
// ones as text.
static size_t
read_to_end(int fd, char *text, size_t text_size)
{
    static char bytes[65536];
    size_t total = 0;
    ssize_t got = 0;

    memset(text, 0, text_size);
    while ((got = recv(fd, bytes, sizeof(bytes), 0)) > 0) {
        for (ssize_t i = 0; i < got && total + (size_t)i < text_size - 1;
             i++) {
            text[total + (size_t)i] = bytes[i];
        }
        total += (size_t)got;
    }
    close(fd);
    return total;
}

// Checks that a response is whole and ends its connection.
static void
assert_response(int fd, const char *status_line, const char *body)
{
    char text[1024];

    (void)read_to_end(fd, text, sizeof(text));
    const char *end = strstr(text, "\r\n\r\n");
    ck_assert_msg(strncmp(text, status_line, strlen(status_line)) == 0,
                  "\"%s\", expected %s", text, status_line);
    ck_assert_ptr_nonnull(end);
    ck_assert_str_eq(end + 4, body);
    ck_assert_ptr_nonnull(strstr(text, "\r\nConnection: close\r\n"));
}

// Sends a call to /held and waits until its handler has it.
static int
send_held_call(void)
{
    int fd = platform_connect(rig.settings.http.port);

    ck_assert_int_ge(fd, 0);
    send_text(fd, "PUT /held HTTP/1.1\r\nHost: a\r\n"
                  "Content-Length: 2\r\n\r\n{}");
    for (int i = 0; atomic_load(&rig.held) == NULL; i++) {
        ck_assert_int_lt(i, HTTP_TEST_ROUNDS);
        usleep(HTTP_TEST_STEP_US);
    }
    return fd;
}

static void
reply_held(void *data)
{
    (void)data;
    http_call_reply(atomic_load(&rig.held), 200, "text/plain", "done", 4);
}

// A stop waits for the result of a call that is in flight. The connection ends
// with the response, so that the next request goes to another daemon.
START_TEST(test_stop_waits_for_call)
{
    start_rig();
    int fd = send_held_call();
    drain_rig();
    ck_assert(!plugin_all_drained(&rig.daemon));
    loop_post(rig.daemon.control_loop, reply_held, NULL, NULL);
    wait_drained();
    stop_rig();
    assert_response(fd, "HTTP/1.1 200 ", "done");
}
END_TEST

// A call that has no result at the end of the drain gets status 503.
START_TEST(test_stop_answers_call_without_result)
{
    start_rig();
    int fd = send_held_call();
    drain_rig();
    stop_rig();
    assert_response(fd, "HTTP/1.1 503 ", STOPPING);
}
END_TEST

START_TEST(test_call_after_last_turn_is_not_leaked)
{
    start_rig();
    stop_control_loop();
    int fd = platform_connect(rig.settings.http.port);
    send_text(fd, "PUT /held HTTP/1.1\r\nHost: a\r\n"
                  "Content-Length: 2\r\n\r\n{}");
    for (int i = 0; plugin_all_drained(&rig.daemon); i++) {
        ck_assert_int_lt(i, HTTP_TEST_ROUNDS);
        usleep(HTTP_TEST_STEP_US);
    }
    atomic_store(&rig.daemon.draining, true);
    free_rig();
    assert_response(fd, "HTTP/1.1 503 ", STOPPING);
    ck_assert_ptr_null(atomic_load(&rig.held));
}
END_TEST

// A call that arrives during the drain is refused at once and starts nothing.
START_TEST(test_stop_refuses_new_call)
{
    start_rig();
    drain_rig();
    int fd = platform_connect(rig.settings.http.port);
    send_text(fd, "PUT /held HTTP/1.1\r\nHost: a\r\n"
                  "Content-Length: 2\r\n\r\n{}");
    assert_response(fd, "HTTP/1.1 503 ", STOPPING);
    ck_assert_ptr_null(atomic_load(&rig.held));
    wait_drained();
    stop_rig();
}
END_TEST

// A stop waits for a response that the caller has not taken whole.
START_TEST(test_stop_completes_response)
{
    char text[1024];

    start_rig();
    int fd = platform_connect(rig.settings.http.port);
    send_text(fd, "GET /large HTTP/1.1\r\nHost: a\r\n\r\n");
    ck_assert_int_eq(recv(fd, text, 1, 0), 1);
    drain_rig();
    ck_assert(!plugin_all_drained(&rig.daemon));
    ck_assert_int_eq(recv(fd, rig.large, HTTP_TEST_BODY_BYTES, MSG_WAITALL),
                     HTTP_TEST_BODY_BYTES);
    wait_drained();
    stop_rig();
    ck_assert_uint_gt(read_to_end(fd, text, sizeof(text)), 0);
    ck_assert_str_eq(text + strlen(text) - 3, "aaa");
}
END_TEST

// A caller that does not read its response does not prevent the stop.
START_TEST(test_stop_leaves_caller_that_does_not_read)
{
    char first = 0;

    start_rig();
    int fd = platform_connect(rig.settings.http.port);
    send_text(fd, "GET /large HTTP/1.1\r\nHost: a\r\n\r\n");
    ck_assert_int_eq(recv(fd, &first, 1, 0), 1);
    drain_rig();
    stop_rig();
    close(fd);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_set_timeout(tests, 60);
    tcase_add_test(tests, test_stop_waits_for_call);
    tcase_add_test(tests, test_stop_answers_call_without_result);
    tcase_add_test(tests, test_call_after_last_turn_is_not_leaked);
    tcase_add_test(tests, test_stop_refuses_new_call);
    tcase_add_test(tests, test_stop_completes_response);
    tcase_add_test(tests, test_stop_leaves_caller_that_does_not_read);
}

TEST_MAIN("http", add_tests)
