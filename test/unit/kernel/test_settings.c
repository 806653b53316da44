#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/settings.h"
#include "test/suite.h"

// Guards against settings that are silently misread: a misspelled, duplicate,
// mistyped, out-of-range or contradictory setting is accepted, or the error
// message does not name the file, the line and the key.

#define VALID_HEAD                                                            \
    "{\n  // the VM\n  \"vm\": \"noord-1\", \"failure_domain\": \"noord\",\n" \
    "  \"roles\": [\"entry\"],\n"                                             \
    "  \"listen\": {\"postgres\": \"127.0.0.1:6432\",\n"                      \
    "             \"rpc\": \"127.0.0.1:7432\"}"

START_TEST(test_valid_settings)
{
    struct buffer errors = {0};
    struct settings *settings =
        settings_parse("a.json", VALID_HEAD ", \"lease_ms\": 800}", &errors);

    ck_assert_ptr_nonnull(settings);
    ck_assert_str_eq(settings->vm, "noord-1");
    ck_assert_int_eq(settings->postgres.port, 6432);
    ck_assert_int_eq(settings->lease_us, 800000);
    ck_assert_int_eq(settings->renew_us, 300000);
    settings_destroy(settings);
}
END_TEST

struct invalid_row {
    const char *text;
    const char *error;
};

static const struct invalid_row invalid_rows[] = {
    {VALID_HEAD ", \"lease_msec\": 1}", "a.json:6: lease_msec: unknown key\n"},
    {VALID_HEAD ",\n\"lease_ms\": \"1\"}",
     "a.json:7: lease_ms: must be a whole number\n"},
    {VALID_HEAD ",\n\"lease_ms\": 5}",
     "a.json:7: lease_ms: 5 is out of range"},
    {VALID_HEAD ",\n\"vm\": \"x\"}", "a.json:7: vm: given twice, first on "
                                     "line 3\n"},
    {VALID_HEAD ",\n\"log_level\": \"loud\"}",
     "a.json:7: log_level: \"loud\" is not one of debug, info, warning, "
     "error"},
    {VALID_HEAD ",\n \"seeds\": [\"db.example:1\"]}",
     "a.json:7: seeds[0]: \"db.example:1\" is not an IP number"},
    {VALID_HEAD ",\n\"renew_ms\": 900}",
     "a.json:7: renew_ms: must be at most half"},
    {VALID_HEAD ",\n\"tls_required\": true}",
     "a.json:7: tls_required: needs tls_cert_file"},
    {VALID_HEAD ",\n\"groups\": [{\"name\": \"fleet\", \"voters\": []}]}",
     "a.json:7: groups[0]: voters: must be 1, 3, 5 or 7"},
    {"[]", "a.json:1: must be an object"},
    {VALID_HEAD ",\n\"upstream_user\": \"a\\r\\nX: y\"}",
     "a.json:7: upstream_user: must not have a control character"},
    {VALID_HEAD ",\n\"region\": \"a\\u007f\"}",
     "a.json:7: region: must not have a control character"},
    {"{\"upstream_user\": \"a b\",\n"
     "\"platform\": {\"listen\": \"127.0.0.1:1\"}}",
     "a.json:1: upstream_user: must be one word, since platform.listen"},
    {"{\"vm\": \"a\\r\\nDuty-Holder: b\"}",
     "a.json:1: vm: must not have a control character"},
    {"{\"failure_domain\": \"a\\n\"}",
     "a.json:1: failure_domain: must not have a control character"},
    {"{\"vm\": \"a\\u0000b\"}", "a.json:1: vm: must not have a zero byte"},
    {VALID_HEAD ",\n\"log_path\": \"a\\u0000b\"}",
     "a.json:7: log_path: must not have a zero byte"},
    {VALID_HEAD ",\n\"seeds\": [\"127.0.0.1:1\\u0000\"]}",
     "a.json:7: seeds[0]: must not have a zero byte"},
    {VALID_HEAD ",\n\"seeds\": [\"127.0.0.1: 1\"]}",
     "a.json:7: seeds[0]: \"127.0.0.1: 1\" is not an IP number"},
    {VALID_HEAD ",\n\"seeds\": [\"127.0.0.1:+1\"]}",
     "a.json:7: seeds[0]: \"127.0.0.1:+1\" is not an IP number"},
    {VALID_HEAD ",\n\"seeds\": [\"127.0.0.1:65537\"]}",
     "a.json:7: seeds[0]: \"127.0.0.1:65537\" is not an IP number"},
    {VALID_HEAD ",\n\"seeds\": [\"127.0.0.1\\r\\n:1\"]}",
     "a.json:7: seeds[0]: "},
    {VALID_HEAD "}\n, \"lease_ms\": 800}",
     "a.json:7: text follows the object"},
    {VALID_HEAD "} // end\n{}", "a.json:7: text follows the object"},
    {"{\"groups\": [{\"name\": \"a\\n\"}]}",
     "a.json:1: groups[0].name: must not have a control character"},
    {"{\"groups\": [{\"voters\": [{\"vm\": \"a\\n\"}]}]}",
     "a.json:1: groups[0].voters[0].vm: must not have a control character"},
    {"{\n\"vm\": }", "a.json:2: "},
    {"", "a.json:1: "},
};

START_TEST(test_invalid_settings)
{
    const struct invalid_row *row = &invalid_rows[_i];
    struct buffer errors = {0};
    struct settings *settings = settings_parse("a.json", row->text, &errors);

    buffer_append_u8(&errors, 0);
    ck_assert_ptr_null(settings);
    ck_assert_msg(strstr((const char *)buffer_get_data(&errors), row->error) !=
                      NULL,
                  "wanted %s, got %s", row->error,
                  (const char *)buffer_get_data(&errors));
    buffer_free(&errors);
}
END_TEST

// Guards against numbers with a fraction that are truncated, refused or not
// checked.
START_TEST(test_fractions)
{
    struct buffer errors = {0};
    struct settings *settings = settings_parse(
        "a.json",
        VALID_HEAD ", \"limit_window_s\": 2.5, \"limit_excess\": 0.25,"
                   "\"limit_slack\": 7}",
        &errors);

    ck_assert_ptr_nonnull(settings);
    ck_assert_int_eq(settings->limit_window_us, 2500000);
    ck_assert_double_eq(settings->limit_excess, 0.25);
    ck_assert_double_eq(settings->limit_slack, 7);
    settings_destroy(settings);
    settings = settings_parse("a.json", VALID_HEAD "}", &errors);
    ck_assert_int_eq(settings->limit_window_us, 5000000);
    ck_assert_double_eq(settings->limit_excess, 0.1);
    ck_assert_double_eq(settings->limit_slack, 20);
    settings_destroy(settings);
    ck_assert_ptr_null(settings_parse(
        "a.json", VALID_HEAD ",\n\"limit_excess\": -1}", &errors));
    ck_assert_ptr_null(settings_parse(
        "a.json", VALID_HEAD ",\n\"limit_slack\": \"20\"}", &errors));
    buffer_append_u8(&errors, 0);
    ck_assert_ptr_nonnull(
        strstr((const char *)buffer_get_data(&errors),
               "a.json:7: limit_excess: must be a number from 0 to 10\n"));
    ck_assert_ptr_nonnull(
        strstr((const char *)buffer_get_data(&errors),
               "a.json:7: limit_slack: must be a number from 0 to 1e+06\n"));
    buffer_free(&errors);
}
END_TEST

// Guards against refused comments and blanks after the settings.
START_TEST(test_comments_after_the_object)
{
    struct buffer errors = {0};
    struct settings *settings = settings_parse(
        "a.json", VALID_HEAD "}\r\n\t // end\n /* of\n the file */ \n// x",
        &errors);

    ck_assert_ptr_nonnull(settings);
    settings_destroy(settings);
    buffer_free(&errors);
}
END_TEST

// Guards against settings that are read up to a zero byte only.
START_TEST(test_file_with_zero_byte)
{
    static const char text[] = VALID_HEAD "}\0, \"lease_ms\": 800}";
    char path[] = "/tmp/test_settings.XXXXXX";
    struct buffer errors = {0};
    int fd = mkstemp(path);

    ck_assert_int_eq(write(fd, text, sizeof(text) - 1), sizeof(text) - 1);
    ck_assert_ptr_null(settings_load(path, &errors));
    buffer_append_u8(&errors, 0);
    ck_assert_ptr_nonnull(
        strstr((const char *)buffer_get_data(&errors), "has a zero byte"));
    buffer_free(&errors);
    close(fd);
    (void)unlink(path);
}
END_TEST

START_TEST(test_missing_file)
{
    struct buffer errors = {0};

    ck_assert_ptr_null(settings_load("no/such/file.json", &errors));
    ck_assert_uint_gt(buffer_get_size(&errors), 0);
    buffer_free(&errors);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_valid_settings);
    tcase_add_test(tests, test_comments_after_the_object);
    tcase_add_test(tests, test_file_with_zero_byte);
    tcase_add_loop_test(tests, test_invalid_settings, 0,
                        ARRAY_SIZE(invalid_rows));
    tcase_add_test(tests, test_fractions);
    tcase_add_test(tests, test_missing_file);
}

TEST_MAIN("settings", add_tests)
