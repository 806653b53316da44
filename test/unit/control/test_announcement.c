#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/control/announcement.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "test/suite.h"

// Start of a body. The required key connections and the closing brace follow.
#define BODY_START                                                            \
    "{\"database\":\"roster1\",\"name\":\"r1a\",\"failure_domain\":"          \
    "\"noord\","                                                              \
    "\"host\":\"127.0.0.1\",\"port\":5432,\"slots\":5,"

START_TEST(test_parses_valid_body)
{
    struct announcement announcement;
    struct buffer errors = {0};

    ck_assert_int_eq(
        announcement_parse(BODY_START
                           "\"connections\":30,\"state\":\"leaving\"}",
                           &announcement, &errors),
        OUTCOME_OK);
    ck_assert_str_eq(announcement.group, "fleet");
    ck_assert_str_eq(announcement.upstream.name, "r1a");
    ck_assert_uint_eq(announcement.upstream.connections, 30);
    ck_assert_int_eq(announcement.upstream.state, CK_UPSTREAM_LEAVING);
    announcement_free(&announcement);
}
END_TEST

struct invalid_body {
    const char *body;
    const char *error;
};

static const struct invalid_body invalid_bodies[] = {
    {"", "announcement:1: "},
    {"{}", "database: missing"},
    {BODY_START "\"connections\":30,\"extra\":1}", "extra: unknown key"},
    {BODY_START "\"connections\":0}", "connections: 0 is out of range"},
    {BODY_START "\"connections\":30,\"state\":\"gone\"}", "not one of ready"},
    {BODY_START "\"connections\":30,\"port\":1}", "port: given twice"},
    {"{\"host\":\"db.example\"}", "\"db.example\" is not an IP number"},
    {BODY_START "}", "must be given"},
    {BODY_START "\"connections\":30,\"group\":\"fleet\\u0000x\"}",
     "group: must not have a zero byte"},
};

START_TEST(test_rejects_invalid_body)
{
    struct announcement announcement;
    struct buffer errors = {0};

    ck_assert_int_eq(
        announcement_parse(invalid_bodies[_i].body, &announcement, &errors),
        OUTCOME_INVALID);
    buffer_append_u8(&errors, 0);
    const char *text = (const char *)buffer_get_data(&errors);
    ck_assert_msg(strstr(text, invalid_bodies[_i].error) != NULL, "got %s",
                  text);
    buffer_free(&errors);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_parses_valid_body);
    tcase_add_loop_test(tests, test_rejects_invalid_body, 0,
                        ARRAY_SIZE(invalid_bodies));
}

TEST_MAIN("announcement", add_tests)
