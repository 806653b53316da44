#include <check.h>
#include <dirent.h>
#include <stdio.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/settings.h"
#include "test/suite.h"

// Guards against invalid example settings: an example would not start when a
// settings file is rejected, is missing, or differs in its control groups.

#define DAEMONS_PER_EXAMPLE 7

static const char *const examples[] = {"pootafdruk", "bagbaqsha"};

// Each settings file of an example is valid and names the VM of its file name.
// All have the same number of control groups, the first of which is "fleet".
START_TEST(test_settings_files)
{
    char dir_path[512];
    unsigned count = 0;
    size_t groups_count = 0;

    (void)snprintf(dir_path, sizeof(dir_path), "%s/examples/%s/daemons",
                   TEST_SOURCE_DIR, examples[_i]);
    DIR *dir = opendir(dir_path);
    ck_assert_ptr_nonnull(dir);
    for (struct dirent *item = readdir(dir); item != NULL;
         item = readdir(dir)) {
        char path[1024];
        struct buffer errors = {0};
        if (strstr(item->d_name, ".json") == NULL) {
            continue;
        }
        (void)snprintf(path, sizeof(path), "%s/%s", dir_path, item->d_name);
        struct settings *settings = settings_load(path, &errors);
        ck_assert_msg(settings != NULL, "%.*s", (int)buffer_get_size(&errors),
                      (const char *)buffer_get_data(&errors));
        ck_assert_uint_eq(
            strncmp(settings->vm, item->d_name, strlen(settings->vm)), 0);
        groups_count = count == 0 ? settings->groups_count : groups_count;
        ck_assert_uint_eq(settings->groups_count, groups_count);
        ck_assert_str_eq(settings->groups[0].name, "fleet");
        settings_destroy(settings);
        count++;
    }
    closedir(dir);
    ck_assert_uint_eq(count, DAEMONS_PER_EXAMPLE);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_loop_test(tests, test_settings_files, 0, ARRAY_SIZE(examples));
}

TEST_MAIN("examples", add_tests)
