#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/memory.h"
#include "test/fake/platform.h"
#include "test/rig/platform_rig.h"
#include "test/suite.h"

// End-to-end tests of announcements that another writer makes in the name of
// an upstream: three control VMs and an entry as real daemons.

#define NESTED_DEPTH 2000
// Longer than announce_expiry_ms of the rig.
#define EXPIRY_ROUNDS 250
#define CONFIG                                                                \
    "{\"version\":1,\"routes\":["                                             \
    "{\"host\":\"current\",\"routeKind\":\"primary\",\"timeoutMs\":5000,"     \
    "\"targetLatencyMs\":4000,\"priority\":1,\"service\":\"core\"}],"         \
    "\"services\":[{\"name\":\"core\",\"maxConns\":30,\"syncReplicas\":0}],"  \
    "\"limits\":{\"txIdleMs\":60000}}"
#define ODD(addr, seq, born)                                                  \
    "{\"service\":\"core\",\"addr\":\"" addr "\",\"zone\":\"noord\","         \
    "\"slots\":5,\"state\":\"ready\",\"dbRole\":\"replica\",\"seq\":" seq     \
    ",\"born\":" born "}"

static const char *const odd_bodies[] = {
    ODD("127.0.0.1:7", "99999999999999999999", "1000"),
    ODD("127.0.0.1:7", "5", "99999999999999999999"),
    ODD("127.0.0.1:70000", "999999", "2000"),
    ODD("127.0.0.1:0", "999999", "2000"),
    "\xff\xfe",
    "[]",
};

// An announcement with other texts, newer than any of the upstream itself.
#define WORDED(service, zone, state)                                          \
    "{\"service\":\"" service "\",\"addr\":\"127.0.0.1:7\",\"zone\":\"" zone  \
    "\",\"slots\":5,\"state\":\"" state "\",\"dbRole\":\"replica\","          \
    "\"seq\":999999999,\"born\":999999999}"
// Arrives at an upstream only out of a name.
#define STOLEN "QUERY x WRITE k9 stolen"
#define LONG_NAME                                                             \
    "0123456789012345678901234567890123456789012345678901234567890123"
#define BODY(text)   (text), sizeof(text) - 1
#define REQUEST_SIZE 1024

struct odd_body {
    const char *text;
    size_t size_bytes;
};

static const struct odd_body odd_texts[] = {
    {BODY(WORDED("core\\r\\n" STOLEN, "noord", "ready"))},
    {BODY(WORDED("core x", "noord", "ready"))},
    {BODY(WORDED("core\\u0000x", "noord", "ready"))},
    {BODY(WORDED("core\\u0001", "noord", "ready"))},
    {BODY(WORDED("core\\u007f", "noord", "ready"))},
    {BODY(WORDED("core\xff", "noord", "ready"))},
    {BODY(WORDED(LONG_NAME, "noord", "ready"))},
    {BODY(WORDED("core", "noord\\r\\n" STOLEN, "ready"))},
    {BODY(WORDED("core", "noord\\u0000x", "ready"))},
    {BODY(WORDED("core", "noord\\t", "ready"))},
    {BODY(WORDED("core", "noord", "ready\\u0000x"))},
    {BODY(WORDED("core", "noord", "draining\\u0000"))},
    {BODY(WORDED("core", "noord", "ready") "\0")},
    {BODY(WORDED("core", "noord", "ready") "\0{}")},
    {BODY(ODD("127.0.0.1:7\\u0000", "999999", "2000"))},
    {BODY(ODD("127.0.0.1\\u0000:7", "999999", "2000"))},
    {BODY(ODD("127.0.0.1: 7", "999999", "2000"))},
    {BODY(ODD("127.0.0.1:+7", "999999", "2000"))},
    {BODY(ODD("127.0.0.1\\r\\n:7", "999999", "2000"))},
    {BODY(ODD(" 127.0.0.1:7", "999999", "2000"))},
};

// Ids as in a request path.
static const char *const odd_ids[] = {
    "",
    "%00",
    "%20",
    "i-0%00",
    "i-0%00x",
    "i-0%0D%0A"
    "QUERY%20x%20WRITE%20k9%20stolen",
    "i-0%0AQUERY%20x%20WRITE%20k9%20stolen",
    "i-0%20stolen",
    "i-0%09",
    "i-0%7F",
    "i-0%01",
    "i-0%FF%FE",
    "i-0%zz",
    "i-0%0",
    LONG_NAME,
};

// Sends a body in the name of each upstream of the first database to each
// control VM, which must refuse it.
static void
announce_odd(const char *body)
{
    for (int vm = 0; vm < RIG_CONTROLS; vm++) {
        for (int i = 0; i < PLATFORM_UPSTREAMS; i++) {
            char path[64];
            long status = 0;
            (void)snprintf(path, sizeof(path), "/v1/instances/i-%d", i);
            free(platform_rig_call(vm, "PUT", path, body, &status));
            ck_assert_int_eq(status, 400);
        }
    }
}

// Sends bytes to a control VM as they are, on a connection of their own.
// Returns the status of the answer; 0: none.
static int
send_request(int vm, const char *bytes, size_t size_bytes)
{
    int fd = platform_connect(rig.http_ports[vm]);
    int status = 0;

    ck_assert_int_ge(fd, 0);
    (void)!send(fd, bytes, size_bytes, MSG_NOSIGNAL);
    char *text = platform_receive_rest(fd);
    (void)sscanf(text, "HTTP/1.1 %d", &status);
    free(text);
    close(fd);
    return status;
}

static int
call_path(int vm, const char *method, const char *path,
          const struct odd_body *body)
{
    struct buffer bytes = {0};

    buffer_append_format(&bytes,
                         "%s %s HTTP/1.1\r\nHost: x\r\n"
                         "Connection: close\r\nContent-Length: %zu\r\n\r\n",
                         method, path, body->size_bytes);
    buffer_append(&bytes, body->text, body->size_bytes);
    int status = send_request(vm, (const char *)buffer_get_data(&bytes),
                              buffer_get_size(&bytes));
    buffer_free(&bytes);
    return status;
}

// Notes a call that was not refused with status 400.
static void
expect_refusal(struct buffer *faults, int vm, const char *method,
               const char *path, const struct odd_body *body)
{
    int status = call_path(vm, method, path, body);

    if (status != 400) {
        buffer_append_format(faults, "%s of \"%s\" at VM %d: %d; ", method,
                             path, vm, status);
    }
}

// Announces the address of an upstream under odd ids at a control VM, and
// withdraws them.
static void
call_odd_ids(struct buffer *faults, int vm)
{
    const struct odd_body none = {"", 0};
    char text[REQUEST_SIZE];
    int size = snprintf(text, sizeof(text),
                        ODD("127.0.0.1:%d", "999999999", "999999999"),
                        platform_get_port(rig.platform, 0));
    const struct odd_body body = {text, (size_t)size};

    for (size_t i = 0; i < ARRAY_SIZE(odd_ids); i++) {
        char path[REQUEST_SIZE];
        (void)snprintf(path, sizeof(path), "/v1/instances/%s", odd_ids[i]);
        expect_refusal(faults, vm, "PUT", path, &body);
        expect_refusal(faults, vm, "DELETE", path, &none);
    }
}

// Announces odd texts in the name of an upstream at a control VM.
static void
announce_odd_texts(struct buffer *faults, int vm)
{
    char path[64];

    for (size_t i = 0; i < ARRAY_SIZE(odd_texts); i++) {
        size_t size = buffer_get_size(faults);
        (void)snprintf(path, sizeof(path), "/v1/instances/i-%zu",
                       i % PLATFORM_UPSTREAMS);
        expect_refusal(faults, vm, "PUT", path, &odd_texts[i]);
        if (buffer_get_size(faults) > size) {
            buffer_append_format(faults, "(body %zu) ", i);
        }
    }
}

static void
announce_nested(void)
{
    char *body = xcalloc(NESTED_DEPTH + 64, 1);
    char *at = body + sprintf(body, "{\"service\":\"core\",\"seq\":");

    memset(at, '[', NESTED_DEPTH);
    announce_odd(body);
    free(body);
}

// Guards against odd announcements that end a control VM, or replace what an
// upstream says of itself: an announcement with too large a number was taken
// for the newest one, and the upstream's own ones were ignored from then on.
START_TEST(test_odd_announcements_change_nothing)
{
    platform_rig_start("odd_entries", 1, "");
    platform_rig_wait_config(0, CONFIG);
    int fd = platform_rig_wait_answer(0, "current", "QUERY a0 WRITE k0 zero",
                                      "sig-a0");
    int primary = platform_get_primary(rig.platform);
    for (size_t i = 0; i < ARRAY_SIZE(odd_bodies); i++) {
        announce_odd(odd_bodies[i]);
    }
    announce_nested();
    for (int i = 0; i < EXPIRY_ROUNDS; i++) {
        platform_rig_expect(fd, "QUERY a1 WRITE k1 one",
                            "COMPLETE sig-a1\r\nREADY I -\r\n");
        usleep(RIG_WAIT_STEP_US);
    }
    ck_assert_int_eq(platform_get_primary(rig.platform), primary);
    for (int vm = 0; vm < RIG_CONTROLS; vm++) {
        ck_assert(!process_has_ended(rig.controls[vm]));
    }
    close(fd);
    platform_rig_stop();
}
END_TEST

// An announcement over the product's own interface.
#define OWN(name, database, domain)                                           \
    "{\"name\":\"" name "\",\"database\":\"" database                         \
    "\",\"failure_domain\":\"" domain                                         \
    "\",\"host\":\"127.0.0.1\",\"port\":%d,\"slots\":5,\"connections\":9}"

static const struct odd_body odd_own[] = {
    {BODY(OWN("i-0\\r\\n" STOLEN, "core", "noord"))},
    {BODY(OWN("i-0\\n" STOLEN, "core", "noord"))},
    {BODY(OWN("i-0\\u0000x", "core", "noord"))},
    {BODY(OWN("i-0\\u007f", "core", "noord"))},
    {BODY(OWN("i-9", "core\\r\\n" STOLEN, "noord"))},
    {BODY(OWN("i-9", "core\\u0000x", "noord"))},
    {BODY(OWN("i-9", "core", "noord\\u0001"))},
    {BODY(OWN("i-9", "core", "noord") "\0x")},
};

// Announces the address of an upstream that has no record, since its database
// is not declared.
static void
announce_odd_own(struct buffer *faults, int vm)
{
    for (size_t i = 0; i < ARRAY_SIZE(odd_own); i++) {
        char text[REQUEST_SIZE] = "";
        int size = snprintf(text, sizeof(text), odd_own[i].text,
                            platform_get_port(rig.platforms[1], 0));
        // snprintf ends at a zero byte: what follows it is added.
        size_t rest = odd_own[i].size_bytes - strlen(odd_own[i].text);
        memcpy(text + size, odd_own[i].text + strlen(odd_own[i].text), rest);
        const struct odd_body body = {text, (size_t)size + rest};
        expect_refusal(faults, vm, "POST", "/announce", &body);
    }
}

static void
check_controls(void)
{
    for (int vm = 0; vm < RIG_CONTROLS; vm++) {
        ck_assert(!process_has_ended(rig.controls[vm]));
    }
}

// Makes odd calls at each control VM. Checks that all are refused, that
// statements run once all the while, and that no upstream gets anything that
// no client sent.
static void
check_odd_calls(const char *name, void (*call)(struct buffer *faults, int vm))
{
    const struct platform_rig_options options = {
        .entries = 1,
        .databases = 2, // the second one is not declared
        .control_extra = "",
    };
    struct buffer faults = {0};

    platform_rig_start_with(name, &options);
    platform_rig_wait_config(0, CONFIG);
    int fd = platform_rig_wait_answer(0, "current", "QUERY a0 WRITE k0 zero",
                                      "sig-a0");
    platform_forbid_text(rig.platforms[0], "stolen");
    platform_forbid_text(rig.platforms[1], "stolen");
    for (int vm = 0; vm < RIG_CONTROLS; vm++) {
        call(&faults, vm);
    }
    for (int i = 0; i < EXPIRY_ROUNDS; i++) {
        platform_rig_expect(fd, "QUERY a1 WRITE k1 one",
                            "COMPLETE sig-a1\r\nREADY I -\r\n");
        usleep(RIG_WAIT_STEP_US);
    }
    int stolen = platform_count_forbidden(rig.platforms[0]) +
                 platform_count_forbidden(rig.platforms[1]);
    buffer_append_u8(&faults, 0);
    ck_assert_msg(stolen == 0 && buffer_get_size(&faults) == 1,
                  "%d lines that no client sent; not refused: %s", stolen,
                  (const char *)buffer_get_data(&faults));
    buffer_free(&faults);
    ck_assert_int_eq(platform_get_protocol_errors(rig.platform), 0);
    ck_assert_int_eq(platform_count_writes(rig.platform, "one"),
                     EXPIRY_ROUNDS);
    check_controls();
    close(fd);
    platform_rig_stop();
}

// Guards against the id of an upstream whose rest is sent to it as a
// statement, and against one that is taken for the part before a zero byte.
START_TEST(test_odd_ids_are_refused)
{
    check_odd_calls("odd_ids", call_odd_ids);
}
END_TEST

// Guards against texts of announcements that are not words or are taken for
// the part before a zero byte, and against bytes after the announcement.
START_TEST(test_odd_texts_are_refused)
{
    check_odd_calls("odd_texts", announce_odd_texts);
}
END_TEST

// Guards against the same over the product's own interface.
START_TEST(test_odd_own_announcements_are_refused)
{
    check_odd_calls("odd_own", announce_odd_own);
}
END_TEST

#define NAMED_ROUTE(host, prefix, service)                                    \
    "{\"host\":\"" host "\",\"pathPrefix\":\"" prefix                         \
    "\",\"routeKind\":\"primary\",\"timeoutMs\":5000,\"service\":\"" service  \
    "\"}"
// Of two members of one object, the last counts.
#define NAMED_CONFIG                                                                                                                                                       \
    "{\"version\":9,\"version\":2,\"routes\":[" NAMED_ROUTE("current", "/", "core") "," NAMED_ROUTE("a b", "/", "core") "," NAMED_ROUTE(                                   \
        "c\\r\\n" STOLEN, "/",                                                                                                                                             \
        "core") "," NAMED_ROUTE("d", "/e",                                                                                                                                 \
                                "core") "," NAMED_ROUTE("f", "/",                                                                                                          \
                                                        "core x i-0") "," NAMED_ROUTE("g",                                                                                 \
                                                                                      "/",                                                                                 \
                                                                                      "core\\r\\n" STOLEN) "],\"services\":["                                              \
                                                                                                           "{\"name\":\"core\",\"maxConns\":30,\"syncReplicas\":0},"       \
                                                                                                           "{\"name\":\"core x i-0\",\"maxConns\":30,\"syncReplicas\":0}," \
                                                                                                           "{\"name\":\"core\\r\\n" STOLEN                                 \
                                                                                                           "\",\"maxConns\":30,\"syncReplicas\":0}"                        \
                                                                                                           "],\"limits\":{\"txIdleMs\":60000}}"

static void
expect_no_database(const char *startup)
{
    int fd = platform_connect(rig.client_ports[0]);

    platform_send_line(fd, startup);
    char *text = platform_receive_rest(fd);
    ck_assert_msg(strncmp(text, "ERROR NODB ", 11) == 0, "%s: %s", startup,
                  text);
    free(text);
    close(fd);
}

// Guards against a valid configuration that is not served because of names
// that no message can carry, and against such names in messages.
START_TEST(test_odd_names_in_configuration)
{
    platform_rig_start("odd_names", 1, "");
    platform_forbid_text(rig.platform, "stolen");
    platform_rig_wait_config(0, NAMED_CONFIG);
    int fd = platform_rig_wait_answer(0, "current", "QUERY a0 WRITE k0 zero",
                                      "sig-a0");
    for (int vm = 0; vm < RIG_CONTROLS; vm++) {
        long status = 0;
        char *text = platform_rig_call(vm, "GET", "/v1/config", NULL, &status);
        ck_assert_int_eq(status, 200);
        ck_assert_str_eq(text, NAMED_CONFIG);
        free(text);
    }
    expect_no_database("STARTUP a b");
    expect_no_database("STARTUP d/e u1");
    expect_no_database("STARTUP d /e");
    for (int i = 0; i < EXPIRY_ROUNDS; i++) {
        platform_rig_expect(fd, "QUERY a1 WRITE k1 one",
                            "COMPLETE sig-a1\r\nREADY I -\r\n");
        usleep(RIG_WAIT_STEP_US);
    }
    ck_assert_int_eq(platform_count_forbidden(rig.platform), 0);
    ck_assert_int_ge(platform_rig_count_in_log(0, "name_unusable"), 5);
    check_controls();
    ck_assert(!process_has_ended(rig.entries[0]));
    close(fd);
    platform_rig_stop();
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_odd_announcements_change_nothing);
    tcase_add_test(tests, test_odd_ids_are_refused);
    tcase_add_test(tests, test_odd_texts_are_refused);
    tcase_add_test(tests, test_odd_own_announcements_are_refused);
    tcase_add_test(tests, test_odd_names_in_configuration);
}

TEST_MAIN("odd_entries", add_tests)
