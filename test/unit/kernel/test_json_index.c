// Unit tests of the line numbers of JSON keys.

#include <check.h>
#include <stdio.h>
#include <string.h>

#include "catkingrade/kernel/json_index.h"
#include "test/suite.h"

START_TEST(test_lines_of_nested_keys)
{
    struct json_index *index =
        json_index_create("{\n \"a\": [\n  {\"b\": 1},\n  {\"b\": 2}]}");

    ck_assert_uint_eq(json_index_find_line(index, "a"), 2);
    ck_assert_uint_eq(json_index_find_line(index, "a[0].b"), 3);
    ck_assert_uint_eq(json_index_find_line(index, "a[1].b"), 4);
    json_index_destroy(index);
}
END_TEST

// Guards against wrong lines behind a value that is nested deeper than the
// index reaches: the end of such a container must not end one of its parents.
START_TEST(test_key_after_deep_nesting)
{
    char text[256] = "{\"deep\": ";
    const int depth = 40;

    for (int i = 0; i < depth; i++) {
        (void)strcat(text, "[");
    }
    for (int i = 0; i < depth; i++) {
        (void)strcat(text, "]");
    }
    (void)strcat(text, ",\n \"after\": {\"key\": 1}}");
    struct json_index *index = json_index_create(text);
    ck_assert_uint_eq(json_index_find_line(index, "after"), 2);
    ck_assert_uint_eq(json_index_find_line(index, "after.key"), 2);
    json_index_destroy(index);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_lines_of_nested_keys);
    tcase_add_test(tests, test_key_after_deep_nesting);
}

TEST_MAIN("json_index", add_tests)
