#include <check.h>
#include <ctype.h>
#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/file.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/kernel/settings.h"
#include "catkingrade/kernel/work_time.h"
#include "test/suite.h"

// Guards against undocumented settings and counters: a setting or counter is
// added, removed or reworded in the code, and the table in docs/SETTINGS.md or
// docs/COUNTERS.md is not updated. The same for the events of docs/LOGS.md.

#define DOC_MAX_SIZE_BYTES 1000000

static char *
read_doc(const char *name)
{
    char path[512];
    char *text = NULL;

    (void)snprintf(path, sizeof(path), "%s/docs/%s", TEST_SOURCE_DIR, name);
    ck_assert_int_eq(file_read_text(path, DOC_MAX_SIZE_BYTES, &text),
                     OUTCOME_OK);
    return text;
}

static unsigned
count_table_rows(const char *text)
{
    unsigned count = 0;

    for (const char *c = strstr(text, "\n| `"); c != NULL;
         c = strstr(c + 1, "\n| `")) {
        count++;
    }
    return count;
}

START_TEST(test_settings_keys_documented)
{
    char *text = read_doc("SETTINGS.md");
    const char *const *keys = settings_list_keys();
    unsigned count = 0;

    for (; keys[count] != NULL; count++) {
        char row[128];
        (void)snprintf(row, sizeof(row), "\n| `%s` |", keys[count]);
        ck_assert_msg(strstr(text, row) != NULL, "SETTINGS.md lacks %s",
                      keys[count]);
    }
    ck_assert_uint_eq(count_table_rows(text), count);
    free(text);
}
END_TEST

START_TEST(test_counters_documented)
{
    char *text = read_doc("COUNTERS.md");

    for (int i = 0; i < COUNTER_COUNT; i++) {
        char row[256];
        (void)snprintf(row, sizeof(row), "\n| `%s` | %s |",
                       counter_get_name((enum counter)i),
                       counter_get_help((enum counter)i));
        ck_assert_msg(strstr(text, row) != NULL, "COUNTERS.md lacks %s", row);
    }
    ck_assert_uint_eq(count_table_rows(text), COUNTER_COUNT);
    free(text);
}
END_TEST

START_TEST(test_work_times_documented)
{
    char *text = read_doc("COUNTERS.md");

    for (int i = 0; i < WORK_TIME_COUNT; i++) {
        char row[256];
        (void)snprintf(row, sizeof(row), "\n- `%s`: %s\n",
                       work_time_get_label((enum work_time)i),
                       work_time_get_help((enum work_time)i));
        ck_assert_msg(strstr(text, row) != NULL, "COUNTERS.md lacks %s", row);
    }
    free(text);
}
END_TEST

// Returns whether the text of a string literal is the name of an event, and
// not a format or an empty text.
static bool
is_event_name(const char *text, size_t size)
{
    for (size_t i = 0; i < size; i++) {
        if (!islower((unsigned char)text[i]) && text[i] != '_') {
            return false;
        }
    }
    return size > 0;
}

// Checks the events of one call that records one: the literals before the
// first that is no name.
static void
check_events_of_call(const char *path, const char *call, const char *doc)
{
    const char *end = strchr(call, ';');

    for (const char *quote = strchr(call, '"'); quote != NULL && quote < end;
         quote = strchr(quote, '"')) {
        char cell[128];
        size_t size = strcspn(++quote, "\"");
        if (!is_event_name(quote, size)) {
            return;
        }
        (void)snprintf(cell, sizeof(cell), "`%.*s`", (int)size, quote);
        ck_assert_msg(strstr(doc, cell) != NULL, "LOGS.md lacks %s of %s",
                      cell, path);
        quote += size + 1;
    }
}

static unsigned
check_events_of_file(const char *path, const char *doc)
{
    static const char *const calls[] = {"LOG_INFO(", "LOG_WARNING(",
                                        "LOG_ERROR(", "LOG_LIMITED(",
                                        "coordinator_record(coordinator, "};
    char *text = NULL;
    unsigned count = 0;

    ck_assert_int_eq(file_read_text(path, DOC_MAX_SIZE_BYTES, &text),
                     OUTCOME_OK);
    for (size_t i = 0; i < ARRAY_SIZE(calls); i++) {
        for (const char *call = strstr(text, calls[i]); call != NULL;
             call = strstr(call + 1, calls[i])) {
            check_events_of_call(path, call, doc);
            count++;
        }
    }
    free(text);
    return count;
}

static unsigned
check_events_of_folder(const char *folder, const char *doc)
{
    DIR *dir = opendir(folder);
    unsigned count = 0;

    ck_assert_ptr_nonnull(dir);
    for (struct dirent *entry = readdir(dir); entry != NULL;
         entry = readdir(dir)) {
        char path[1024];
        const char *end = strrchr(entry->d_name, '.');
        (void)snprintf(path, sizeof(path), "%s/%s", folder, entry->d_name);
        if (end == NULL && entry->d_type == DT_DIR) {
            count += check_events_of_folder(path, doc);
        }
        else if (end != NULL && strcmp(end, ".c") == 0) {
            count += check_events_of_file(path, doc);
        }
    }
    (void)closedir(dir);
    return count;
}

START_TEST(test_events_documented)
{
    char *doc = read_doc("LOGS.md");

    ck_assert_uint_gt(
        check_events_of_folder(TEST_SOURCE_DIR "/src/catkingrade", doc), 40);
    ck_assert_uint_gt(check_events_of_folder(TEST_SOURCE_DIR "/platform", doc),
                      2);
    free(doc);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_settings_keys_documented);
    tcase_add_test(tests, test_counters_documented);
    tcase_add_test(tests, test_events_documented);
    tcase_add_test(tests, test_work_times_documented);
}

TEST_MAIN("docs", add_tests)
