#include <json-c/json.h>

#include "catkingrade/kernel/json_text.h"
#include "test/suite.h"

// Guards against a text that ends its string, or comes back changed.
START_TEST(test_text_comes_back_as_it_was)
{
    static const char *const texts[] = {
        "", "core", "co\"re", "\\", "a\",\"role\":\"x", "a\nb\r\t\x01", "/"};

    for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
        struct buffer json = {0};
        json_text_append(&json, texts[i]);
        buffer_append_u8(&json, 0);
        struct json_object *string =
            json_tokener_parse((const char *)buffer_get_data(&json));
        ck_assert_msg(json_object_is_type(string, json_type_string), "%s",
                      texts[i]);
        ck_assert_str_eq(json_object_get_string(string), texts[i]);
        json_object_put(string);
        buffer_free(&json);
    }
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_text_comes_back_as_it_was);
}

TEST_MAIN("json_text", add_tests)
