#include <apr_general.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/daemon.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/kernel/plugin.h"
#include "catkingrade/kernel/settings.h"
#include "catkingrade/plugins/http.h"
#include "test/fake/platform.h"
#include "test/fake/process.h"
#include "test/suite.h"

// Where a request ends for the HTTP server: which calls the routes get for the
// bytes of one connection.

#define MAX_BODY_BYTES 16
#define SILENCE_MS     300

static struct {
    struct settings settings;
    struct daemon daemon;
    pthread_t thread;
    pthread_mutex_t mutex;
    struct buffer calls; // "suffix:body;" for each call
} rig;

static void
record_call(void *data, struct http_call *call)
{
    size_t size = 0;
    const char *body = http_call_get_body(call, &size);

    (void)data;
    pthread_mutex_lock(&rig.mutex);
    buffer_append_format(&rig.calls, "%s:", http_call_get_path_suffix(call));
    buffer_append(&rig.calls, body, size);
    buffer_append_u8(&rig.calls, ';');
    pthread_mutex_unlock(&rig.mutex);
    http_call_reply(call, 200, "text/plain", "done", 4);
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
    const struct http_route names = {"PUT", "/names/", MAX_BODY_BYTES,
                                     record_call, &rig};
    const struct http_route read = {"GET", "/read", 0, record_call, &rig};

    apr_initialize();
    memset(&rig, 0, sizeof(rig));
    pthread_mutex_init(&rig.mutex, NULL);
    rig.settings.http.port = (uint16_t)process_get_free_port();
    (void)strcpy(rig.settings.http.host, "127.0.0.1");
    rig.daemon.settings = &rig.settings;
    rig.daemon.control_loop = loop_create();
    ck_assert_int_eq(plugin_start_all(&rig.daemon, &rig.settings), OUTCOME_OK);
    http_add_route(rig.daemon.http, &names);
    http_add_route(rig.daemon.http, &read);
    ck_assert_int_eq(
        pthread_create(&rig.thread, NULL, run_loop, rig.daemon.control_loop),
        0);
}

static void
stop_rig(void)
{
    loop_stop(rig.daemon.control_loop);
    pthread_join(rig.thread, NULL);
    plugin_stop_all(&rig.daemon);
    loop_destroy(rig.daemon.control_loop);
    buffer_free(&rig.calls);
    pthread_mutex_destroy(&rig.mutex);
}

// Sends bytes on a connection of their own and reads until it ends or is
// silent. Returns the statuses, each followed by a space; the caller frees
// them.
static char *
send_bytes(const char *bytes, size_t size_bytes)
{
    struct timeval limit = {.tv_usec = SILENCE_MS * 1000};
    struct buffer statuses = {0};
    int fd = platform_connect(rig.settings.http.port);

    ck_assert_int_ge(fd, 0);
    (void)setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    (void)!send(fd, bytes, size_bytes, MSG_NOSIGNAL);
    char *text = platform_receive_rest(fd);
    const char *at = text;
    while (strncmp(at, "HTTP/1.1 ", 9) == 0) {
        const char *length = strcasestr(at, "\r\nContent-Length: ");
        const char *body = strstr(at, "\r\n\r\n");
        buffer_append_format(&statuses, "%.3s ", at + 9);
        ck_assert(length != NULL && body != NULL);
        at = body + 4 + strtoul(length + 18, NULL, 10);
    }
    free(text);
    close(fd);
    buffer_append_u8(&statuses, 0);
    return (char *)statuses.data;
}

struct row {
    const char *bytes;
    size_t size_bytes;
    const char *statuses;
    const char *calls;
};

#define ROW(bytes, statuses, calls)                                           \
    {                                                                         \
        (bytes), sizeof(bytes) - 1, statuses, calls                           \
    }
#define PUT(path) "PUT " path " HTTP/1.1\r\nHost: a\r\n"
#define LAST      "PUT /names/last HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"

static const struct row rows[] = {
    // Paths.
    ROW(PUT("/names/a%2Fb") "Content-Length: 2\r\n\r\n{}", "200 ", "a/b:{};"),
    ROW(PUT("/names/a%252F") "Content-Length: 0\r\n\r\n", "200 ", "a%2F:;"),
    ROW(PUT("/names/../read") "Content-Length: 0\r\n\r\n", "200 ",
        "../read:;"),
    ROW(PUT("/names/%2e%2e?x=%00") "Content-Length: 0\r\n\r\n", "200 ",
        "..:;"),
    ROW(PUT("/names/a%00b") "Content-Length: 0\r\n\r\n", "400 ", ""),
    ROW(PUT("/names/a%") "Content-Length: 0\r\n\r\n", "400 ", ""),
    ROW(PUT("/names/a%4") "Content-Length: 0\r\n\r\n", "400 ", ""),
    ROW(PUT("/names/a%4g") "Content-Length: 0\r\n\r\n", "400 ", ""),
    // A refused request and what follows it.
    ROW(PUT("/names/a") "Content-Length: 17\r\n\r\n12345678901234567" LAST,
        "413 200 ", "last:;"),
    ROW(PUT("/names/a") "Content-Length: 56\r\n\r\n" LAST, "413 ", ""),
    ROW(PUT("/names/%00") "Content-Length: 56\r\n\r\n" LAST, "400 ", ""),
    ROW(PUT("/other") "Content-Length: 56\r\n\r\n" LAST, "405 ", ""),
    ROW("GET /healthz HTTP/1.1\r\nHost: a\r\nContent-Length: 56\r\n\r\n" LAST,
        "200 ", ""),
    ROW("GET /read HTTP/1.1\r\nHost: a\r\nContent-Length: 56\r\n\r\n" LAST,
        "413 ", ""),
    // Where the body ends.
    ROW(PUT("/names/a") "Transfer-Encoding: "
                        "chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n" LAST,
        "200 200 ", "a:{};last:;"),
    ROW(PUT("/names/a") "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n"
                        "\r\n0\r\n\r\n" LAST,
        "400 ", ""),
    ROW(PUT("/names/a") "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n"
                        "\r\n0\r\n\r\n" LAST,
        "400 ", ""),
    ROW(PUT("/names/a") "Transfer-Encoding: x\r\nContent-Length: "
                        "2\r\n\r\n{}" LAST,
        "400 ", ""),
    ROW(PUT("/names/a") "Transfer-Encoding: gzip, "
                        "chunked\r\n\r\n0\r\n\r\n" LAST,
        "400 ", ""),
    ROW(PUT("/names/a") "Content-Length: 2\r\nContent-Length: "
                        "3\r\n\r\n{}" LAST,
        "400 ", ""),
    ROW(PUT("/names/a") "Content-Length: 3\r\nContent-Length: "
                        "2\r\n\r\n{}" LAST,
        "400 ", ""),
    ROW(PUT("/names/a") "Content-Length: 2, 2\r\n\r\n{}" LAST, "400 ", ""),
    ROW(PUT("/names/a") "Content-Length: +2\r\n\r\n{}" LAST, "400 ", ""),
    ROW(PUT("/names/a") "Content-Length: -2\r\n\r\n{}" LAST, "400 ", ""),
    ROW(PUT("/names/a") "Content-Length: 0x2\r\n\r\n{}" LAST, "400 ", ""),
    ROW(PUT("/names/a") "Content-Length: 2x\r\n\r\n{}" LAST, "400 ", ""),
    ROW(PUT("/names/a") "Content-Length: 18446744073709551618\r\n\r\n{}" LAST,
        "413 ", ""),
    ROW(PUT("/names/a") "Content-Length : 2\r\n\r\n{}" LAST, "400 ", ""),
    ROW(PUT("/names/a") "Content-Length: 2\r\nContent-Length: "
                        "2\r\n\r\n{}" LAST,
        "200 200 ", "a:{};last:;"),
    ROW(PUT("/names/a") "X: y\r\n Content-Length: 9\r\nContent-Length: 2\r\n"
                        "\r\n{}" LAST,
        "400 ", ""),
};

// Guards against a request that ends at another byte than its sender means,
// so that a part of it is run as a request or as a part of another one.
START_TEST(test_requests)
{
    const struct row *row = &rows[_i];

    start_rig();
    char *statuses = send_bytes(row->bytes, row->size_bytes);
    buffer_append_u8(&rig.calls, 0);
    const char *calls = (const char *)buffer_get_data(&rig.calls);
    ck_assert_msg(strcmp(statuses, row->statuses) == 0 &&
                      strcmp(calls, row->calls) == 0,
                  "%s: %s and calls \"%s\"", row->bytes, statuses, calls);
    free(statuses);
    stop_rig();
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_loop_test(tests, test_requests, 0, ARRAY_SIZE(rows));
}

TEST_MAIN("http_requests", add_tests)
