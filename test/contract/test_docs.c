#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/file.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/kernel/settings.h"
#include "test/suite.h"

// Guards against undocumented settings and counters: a setting or counter is
// added, removed or reworded in the code, and the table in docs/SETTINGS.md or
// docs/COUNTERS.md is not updated.

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

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_settings_keys_documented);
    tcase_add_test(tests, test_counters_documented);
}

TEST_MAIN("docs", add_tests)
