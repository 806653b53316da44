#include <string.h>

#include "platform/wire_line.h"
#include "test/suite.h"

static const char *
write_line(struct buffer *out, const char *word, const char *text,
           size_t text_bytes)
{
    struct wire_line line;

    wire_line_begin(&line, out, "QUERY");
    wire_line_add_word(&line, "id", word, strlen(word));
    wire_line_add_text(&line, "text", text, text_bytes);
    return wire_line_end(&line);
}

// Guards against bytes of a field that are changed on their way.
START_TEST(test_fields_are_written_whole)
{
    static const char text[] = " a  b\nc\r\0d\r";
    static const char expected[] = "before\r\nQUERY i\n1  a  b\nc\r\0d\r\r\n";
    struct buffer out = {0};

    buffer_append_text(&out, "before\r\n");
    ck_assert_ptr_null(write_line(&out, "i\n1", text, sizeof(text) - 1));
    ck_assert_uint_eq(buffer_get_size(&out), sizeof(expected) - 1);
    ck_assert_mem_eq(buffer_get_data(&out), expected, sizeof(expected) - 1);
    buffer_free(&out);
}
END_TEST

// Guards against a field that ends the message, or adds a field to it.
START_TEST(test_field_with_line_end_leaves_no_message)
{
    static const struct {
        const char *word;
        const char *text;
        const char *bad_field;
    } rows[] = {
        {"1", "READ a\r\nQUERY 2 READ b", "text"},
        {"1", "\r\n", "text"},
        {"1 2", "READ a", "id"},
        {"1\r\n", "READ a", "id"},
        {"", "READ a", "id"},
        {" ", "\r\n", "id"},
    };
    struct buffer out = {0};

    buffer_append_text(&out, "before\r\nconsumed");
    buffer_consume(&out, strlen("before\r\n"));
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        ck_assert_str_eq(
            write_line(&out, rows[i].word, rows[i].text, strlen(rows[i].text)),
            rows[i].bad_field);
        ck_assert_uint_eq(buffer_get_size(&out), strlen("consumed"));
    }
    buffer_free(&out);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_fields_are_written_whole);
    tcase_add_test(tests, test_field_with_line_end_leaves_no_message);
}

TEST_MAIN("wire_line", add_tests)
