#include <apr_general.h>
#include <arpa/inet.h>
#include <json-c/json.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "catkingrade/control/upstream_admin.h"
#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/kernel/settings.h"
#include "catkingrade/rpc/messages.h"
#include "platform/platform_plugin.h"
#include "test/suite.h"

// Promotions that a control VM asks the platform for: what the platform gets.

#define LONGEST                                                               \
    "a234567890123456789012345678901234567890123456789012345678901\"\\"

// How late the platform answers a call, so that one is under way when the time
// of the promotion is over.
#define LATE_ANSWER_US 500000

// The platform: accepts one call, keeps it and refuses it, or tells each call
// to come again.
static struct {
    int listen_fd;
    struct sockaddr_storage address;
    struct buffer call;
    struct loop *loop;
    int outcome;
    bool is_deposed; // another control VM leads
    bool stepped_down;
} rig;

static bool
is_whole(const char *text)
{
    const char *body = strstr(text, "\r\n\r\n");
    const char *length = strcasestr(text, "content-length: ");

    return body != NULL && length != NULL &&
           strlen(body + 4) >= strtoul(length + 16, NULL, 10);
}

static void
answer_call(int fd, const char *answer)
{
    ssize_t size = 1;

    buffer_clear(&rig.call);
    buffer_append_u8(&rig.call, 0);
    rig.call.end--;
    while (size > 0 && !is_whole((const char *)buffer_get_data(&rig.call))) {
        uint8_t *tail = buffer_reserve(&rig.call, 4096);
        size = recv(fd, tail, 4095, 0);
        rig.call.end += size > 0 ? (size_t)size : 0;
        rig.call.data[rig.call.end] = 0;
    }
    (void)!send(fd, answer, strlen(answer), MSG_NOSIGNAL);
    close(fd);
}

static void *
accept_call(void *data)
{
    (void)data;
    answer_call(accept(rig.listen_fd, NULL, NULL),
                "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
    return NULL;
}

static void
defer_calls_after(useconds_t wait_us)
{
    int fd = -1;

    while ((fd = accept(rig.listen_fd, NULL, NULL)) >= 0) {
        usleep(wait_us);
        answer_call(fd, "HTTP/1.1 429 Too Many Requests\r\n"
                        "Connection: close\r\nContent-Length: 0\r\n\r\n");
    }
}

static void *
defer_calls(void *data)
{
    (void)data;
    defer_calls_after(0);
    return NULL;
}

static void *
defer_calls_late(void *data)
{
    (void)data;
    defer_calls_after(LATE_ANSWER_US);
    return NULL;
}

static void
start_listener(const char *host, struct settings_address *address)
{
    struct sockaddr_in6 six = {.sin6_family = AF_INET6};
    struct sockaddr_in four = {.sin_family = AF_INET};
    bool is_six = inet_pton(AF_INET6, host, &six.sin6_addr) == 1;
    socklen_t size = is_six ? sizeof(six) : sizeof(four);
    struct sockaddr *given =
        is_six ? (struct sockaddr *)&six : (struct sockaddr *)&four;

    (void)inet_pton(AF_INET, host, &four.sin_addr);
    rig.listen_fd = socket(given->sa_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ck_assert_int_eq(bind(rig.listen_fd, given, size), 0);
    ck_assert_int_eq(listen(rig.listen_fd, 1), 0);
    ck_assert_int_eq(getsockname(rig.listen_fd, given, &size), 0);
    (void)strcpy(address->host, host);
    address->port = ntohs(is_six ? six.sin6_port : four.sin_port);
}

static bool
may_change(void *data, uint64_t fencing_token)
{
    (void)data;
    return !rig.is_deposed && fencing_token == UINT64_MAX;
}

static void
finish(void *data, const struct upstream_admin_result *result)
{
    (void)data;
    ck_assert_uint_eq(result->fencing_token, UINT64_MAX);
    rig.outcome = result->outcome;
    loop_stop(rig.loop);
}

// Asks for the promotion of an upstream. Returns the last call that the
// platform got, which the caller frees.
static char *
promote(const char *host, const char *database, const char *name,
        void *(*platform)(void *data))
{
    struct settings settings = {.vm = (char *)"vm 1",
                                .connect_timeout_us = 1000000,
                                .suspect_us = 1000000};
    struct ck_upstream upstream = {.name = (char *)name,
                                   .database = (char *)database,
                                   .failure_domain = (char *)"noord",
                                   .host = (char *)"127.0.0.1",
                                   .port = 7};
    struct upstream_admin_request request = {
        .kind = UPSTREAM_ADMIN_PROMOTE,
        .upstream = &upstream,
        .fencing_token = UINT64_MAX,
        .may_change = may_change,
        .done = finish,
    };
    pthread_t thread;

    apr_initialize();
    memset(&rig, 0, sizeof(rig));
    start_listener(host, &settings.platform.promote);
    ck_assert_int_eq(pthread_create(&thread, NULL, platform, NULL), 0);
    rig.loop = loop_create();
    struct upstream_admin *admin =
        wire_admin_driver.create(rig.loop, &settings);
    admin->ops->run(admin, &request);
    loop_run(rig.loop);
    admin->ops->destroy(admin);
    loop_destroy(rig.loop);
    (void)shutdown(rig.listen_fd, SHUT_RDWR);
    pthread_join(thread, NULL);
    close(rig.listen_fd);
    return (char *)rig.call.data;
}

struct row {
    const char *database;
    const char *name;
};

static const struct row rows[] = {
    {"core", "i-0"},    {"core", "i-9\",\"id\":\"i-2"},
    {"core\\", "i-\\"}, {"co/re", "\xc3\xa9{}"},
    {LONGEST, LONGEST},
};

// Guards against a promotion of another upstream than the one that was chosen,
// because of its name.
START_TEST(test_names_arrive_whole)
{
    const struct row *row = &rows[_i];
    char *call = promote("127.0.0.1", row->database, row->name, accept_call);
    struct json_object *body =
        json_tokener_parse(strstr(call, "\r\n\r\n") + 4);
    struct json_object *service = NULL;
    struct json_object *id = NULL;

    ck_assert_int_eq(rig.outcome, OUTCOME_NOT_RUN);
    ck_assert_msg(json_object_is_type(body, json_type_object), "%s", call);
    ck_assert_int_eq(json_object_object_length(body), 2);
    ck_assert(json_object_object_get_ex(body, "service", &service));
    ck_assert(json_object_object_get_ex(body, "id", &id));
    ck_assert_str_eq(json_object_get_string(service), row->database);
    ck_assert_str_eq(json_object_get_string(id), row->name);
    ck_assert_ptr_nonnull(strstr(call, "\r\nDuty-Holder: vm 1\r\n"));
    ck_assert_ptr_nonnull(
        strstr(call, "\r\nFencing-Token: 18446744073709551615\r\n"));
    json_object_put(body);
    free(call);
}
END_TEST

// Guards against a URL in which the colons of an address are taken for the
// one before the port.
START_TEST(test_platform_at_ipv6_address)
{
    char *call = promote("::1", "core", "i-0", accept_call);

    ck_assert_int_eq(rig.outcome, OUTCOME_NOT_RUN);
    ck_assert_int_eq(strncmp(call, "POST /failover HTTP/1.1\r\n", 25), 0);
    ck_assert_ptr_nonnull(
        strstr(call, "{\"service\":\"core\",\"id\":\"i-0\"}"));
    free(call);
}
END_TEST

// Guards against a primary that is given up for a promotion which the platform
// has never taken: until its time is over, each call was told to come again,
// at once or so late that one is under way at the end.
START_TEST(test_deferred_promotion_has_not_run)
{
    char *call = promote("127.0.0.1", "core", "i-0",
                         _i == 0 ? defer_calls : defer_calls_late);

    ck_assert_int_eq(rig.outcome, OUTCOME_NOT_RUN);
    free(call);
}
END_TEST

// A primary that leads term 4 until STEPDOWN.
static void *
serve_primary(void *data)
{
    int fd = accept(rig.listen_fd, NULL, NULL);
    char line[512];
    ssize_t size = 0;

    (void)data;
    while ((size = recv(fd, line, sizeof(line) - 1, 0)) > 0) {
        static const char ready[] = "READY I 4.7\r\n";
        static const char *const answers[] = {
            "DATAROW primary 4 4.7 0 0 0 1\r\nCOMPLETE -\r\nREADY I 4.7\r\n",
            "DATAROW replica 5 4.7 0 0 0 1\r\nCOMPLETE -\r\nREADY I 4.7\r\n"};
        line[size] = '\0';
        rig.stepped_down =
            rig.stepped_down || strstr(line, "STEPDOWN 5\r\n") != NULL;
        const char *answer = strstr(line, "STARTUP") != NULL
                                 ? ready
                                 : answers[rig.stepped_down ? 1 : 0];
        (void)!send(fd, answer, strlen(answer), MSG_NOSIGNAL);
    }
    close(fd);
    return NULL;
}

static void
finish_fence(void *data, const struct upstream_admin_result *result)
{
    if (result->kind == UPSTREAM_ADMIN_FENCE) {
        finish(data, result);
    }
}

// Fences the primary, perhaps with its promotion under way.
static void
fence(bool is_deposed, bool is_promoted)
{
    struct settings settings = {.vm = (char *)"vm 1",
                                .connect_timeout_us = 5000000,
                                .suspect_us = 5000000};
    struct settings_address address = {.port = 0};
    struct upstream_admin_request request = {
        .kind = UPSTREAM_ADMIN_FENCE,
        .fencing_token = UINT64_MAX,
        .may_change = may_change,
        .done = finish_fence,
    };
    pthread_t thread;

    apr_initialize();
    memset(&rig, 0, sizeof(rig));
    rig.is_deposed = is_deposed;
    start_listener("127.0.0.1", &address);
    struct ck_upstream upstream = {.name = (char *)"i-0",
                                   .database = (char *)"core",
                                   .failure_domain = (char *)"noord",
                                   .host = (char *)"127.0.0.1",
                                   .port = address.port};
    request.upstream = &upstream;
    (void)strcpy(settings.platform.promote.host, "127.0.0.1");
    settings.platform.promote.port = 1; // refuses
    ck_assert_int_eq(pthread_create(&thread, NULL, serve_primary, NULL), 0);
    rig.loop = loop_create();
    struct upstream_admin *admin =
        wire_admin_driver.create(rig.loop, &settings);
    admin->ops->run(admin, &request);
    if (is_promoted) {
        request.kind = UPSTREAM_ADMIN_PROMOTE;
        admin->ops->run(admin, &request);
    }
    loop_run(rig.loop);
    admin->ops->destroy(admin);
    loop_destroy(rig.loop);
    pthread_join(thread, NULL);
    close(rig.listen_fd);
}

START_TEST(test_fence_makes_primary_step_down)
{
    fence(false, false);
    ck_assert_int_eq(rig.outcome, OUTCOME_OK);
    ck_assert(rig.stepped_down);
}
END_TEST

// Guards against a leader that wakes late and demotes the primary which its
// successor has promoted.
START_TEST(test_superseded_leader_does_not_fence)
{
    fence(true, false);
    ck_assert_int_eq(rig.outcome, OUTCOME_NOT_LEADER);
    ck_assert(!rig.stepped_down);
}
END_TEST

// Guards against a fence from before a change of primary that demotes the new
// one.
START_TEST(test_promoted_upstream_is_not_fenced)
{
    fence(false, true);
    ck_assert_int_eq(rig.outcome, OUTCOME_CONFLICT);
    ck_assert(!rig.stepped_down);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_fence_makes_primary_step_down);
    tcase_add_test(tests, test_superseded_leader_does_not_fence);
    tcase_add_test(tests, test_promoted_upstream_is_not_fenced);
    tcase_add_loop_test(tests, test_names_arrive_whole, 0, ARRAY_SIZE(rows));
    tcase_add_test(tests, test_platform_at_ipv6_address);
    tcase_add_loop_test(tests, test_deferred_promotion_has_not_run, 0, 2);
}

TEST_MAIN("wire_admin", add_tests)
