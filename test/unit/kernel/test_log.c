// Unit tests of the log: lines that its reader does not take in time, and
// lines whose values come from other parties.

#include <check.h>
#include <fcntl.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <locale.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <wchar.h>

#include "catkingrade/kernel/log.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "test/fake/process.h"
#include "test/suite.h"

static void
fill_pipe(int fd)
{
    static const char bytes[4096];

    while (write(fd, bytes, sizeof(bytes)) > 0) {
    }
    while (write(fd, bytes, 1) > 0) {
    }
}

static void
drain_pipe(int fd)
{
    char bytes[4096];

    while (read(fd, bytes, sizeof(bytes)) > 0) {
    }
}

// Guards against a wrong number of dropped lines: the count must not be reset
// by a report that is dropped itself.
START_TEST(test_dropped_lines_are_counted)
{
    char text[1024] = "";
    int fds[2] = {-1, -1};
    int old_stdout = dup(STDOUT_FILENO);

    ck_assert_int_eq(pipe(fds), 0);
    ck_assert_int_eq(fcntl(fds[0], F_SETFL, O_NONBLOCK), 0);
    ck_assert_int_eq(fcntl(fds[1], F_SETFL, O_NONBLOCK), 0);
    ck_assert_int_ge(dup2(fds[1], STDOUT_FILENO), 0);
    ck_assert_int_eq(log_open(NULL, LOG_LEVEL_INFO, LOG_FORMAT_TEXT, "vm"),
                     OUTCOME_OK);
    fill_pipe(fds[1]);
    for (int i = 0; i < 5; i++) {
        log_write(LOG_LEVEL_INFO, "dropped", "number=%d", i);
    }
    drain_pipe(fds[0]);
    log_write(LOG_LEVEL_INFO, "written", "number=5");
    ck_assert_int_gt(read(fds[0], text, sizeof(text) - 1), 0);
    (void)dup2(old_stdout, STDOUT_FILENO);
    log_close();
    ck_assert_ptr_nonnull(strstr(text, "event=log_stalled lines=5"));
    ck_assert_ptr_nonnull(strstr(text, "event=written"));
}
END_TEST

// A file that the log writes to.
struct log_file {
    char *folder;
    char *path;
};

static void
open_log(struct log_file *file, const char *name, enum log_format format)
{
    file->folder = process_make_folder(name);
    file->path = xasprintf("%s/log", file->folder);
    ck_assert_int_eq(log_open(file->path, LOG_LEVEL_INFO, format, "vm"),
                     OUTCOME_OK);
}

// Closes the log. Returns its text, which the caller frees.
static char *
close_log(struct log_file *file)
{
    log_close();
    char *text = process_read_file(file->path);
    free(file->path);
    free(file->folder);
    return text;
}

static bool
is_utf8(const char *text)
{
    mbstate_t state = {0};

    ck_assert_ptr_nonnull(setlocale(LC_CTYPE, "C.UTF-8"));
    return mbsrtowcs(NULL, &text, 0, &state) != (size_t)-1;
}

// Parses the only line of a log in JSON.
static struct json_object *
parse_line(const char *text)
{
    struct json_object *row = json_tokener_parse(text);

    ck_assert_ptr_eq(strchr(text, '\n') + 1, strchr(text, '\0'));
    ck_assert_msg(is_utf8(text), "%s", text);
    ck_assert_msg(row != NULL, "%s", text);
    return row;
}

static const char *
get_member(struct json_object *row, const char *key)
{
    return json_object_get_string(json_object_object_get(row, key));
}

START_TEST(test_normal_values_are_written_as_they_are)
{
    struct log_file file;

    open_log(&file, "log_normal", LOG_FORMAT_TEXT);
    LOG_INFO("request_sent",
             "id=%s request=%" PRIu64
             " host=%s:%u reason=%s waited_ms=%" PRId64
             " share=%5.2f rest=%.*s size=%zu n=%d%%",
             "a-1/ü", UINT64_C(7), "10.0.0.1", 5U, "no lease, yet",
             INT64_C(-3), 1.5, 2, "xyz", (size_t)9, -1);
    char *text = close_log(&file);
    ck_assert_ptr_nonnull(
        strstr(text, " vm=vm level=info event=request_sent id=a-1/ü request=7 "
                     "host=10.0.0.1:5 reason=no lease, yet waited_ms=-3 "
                     "share= 1.50 rest=xy size=9 n=-1%\n"));
    free(text);
}
END_TEST

START_TEST(test_value_forges_no_member)
{
    struct log_file file;

    open_log(&file, "log_members", LOG_FORMAT_JSON);
    LOG_INFO("request_sent", "id=%s request=%d",
             "a status=200 event=elected\nlevel=error", 7);
    char *text = close_log(&file);
    struct json_object *row = parse_line(text);
    ck_assert_int_eq(json_object_object_length(row), 6);
    ck_assert_str_eq(get_member(row, "id"),
                     "a status\\x3d200 event\\x3delected\\x0alevel=error");
    ck_assert_str_eq(get_member(row, "event"), "request_sent");
    ck_assert_str_eq(get_member(row, "request"), "7");
    json_object_put(row);
    free(text);
}
END_TEST

START_TEST(test_value_forges_no_text)
{
    struct log_file file;

    open_log(&file, "log_text", LOG_FORMAT_TEXT);
    LOG_INFO("request_sent", "id=%s request=%d",
             "a status=200\r\nb event=elected\033[2J\xc2\x9b"
             "2J\x7f",
             7);
    char *text = close_log(&file);
    ck_assert_ptr_nonnull(
        strstr(text, "event=request_sent id=a status\\x3d200\\x0d\\x0ab "
                     "event\\x3delected\\x1b[2J\\x9b2J\\x7f request=7\n"));
    free(text);
}
END_TEST

START_TEST(test_json_is_valid_for_any_bytes)
{
    struct log_file file;
    char bytes[256] = "";

    for (int i = 0; i < 255; i++) {
        bytes[i] = (char)(i + 1);
    }
    open_log(&file, "log_bytes", LOG_FORMAT_JSON);
    LOG_INFO("request_sent", "id=%s request=%d", bytes, 7);
    char *text = close_log(&file);
    struct json_object *row = parse_line(text);
    ck_assert_str_eq(get_member(row, "request"), "7");
    json_object_put(row);
    free(text);
}
END_TEST

START_TEST(test_long_value_leaves_room_for_others)
{
    struct log_file file;
    size_t size = 1 << 20;
    char *id = xmalloc(size + 1);

    for (size_t i = 0; i < size; i += 2) {
        memcpy(id + i, "ü", 2);
    }
    id[size] = '\0';
    open_log(&file, "log_long", LOG_FORMAT_JSON);
    LOG_INFO("request_sent", "id=%s request=%d", id, 7);
    char *text = close_log(&file);
    struct json_object *row = parse_line(text);
    ck_assert_str_eq(get_member(row, "request"), "7");
    ck_assert_uint_lt(strlen(get_member(row, "id")), 1024);
    ck_assert_ptr_nonnull(strstr(get_member(row, "id"), "..."));
    json_object_put(row);
    free(text);
    free(id);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_normal_values_are_written_as_they_are);
    tcase_add_test(tests, test_value_forges_no_member);
    tcase_add_test(tests, test_value_forges_no_text);
    tcase_add_test(tests, test_json_is_valid_for_any_bytes);
    tcase_add_test(tests, test_long_value_leaves_room_for_others);
    tcase_add_test(tests, test_dropped_lines_are_counted);
}

TEST_MAIN("log", add_tests)
