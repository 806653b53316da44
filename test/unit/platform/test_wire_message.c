#include <string.h>

#include "platform/wire_message.h"
#include "test/suite.h"

static enum wire_read_result
read_text(struct buffer *in, struct buffer *scratch, const char *text,
          struct wire_message *message)
{
    buffer_append_text(in, text);
    return wire_message_read(in, scratch, message);
}

// Guards against messages that are split into wrong words or get a wrong verb.
START_TEST(test_lines)
{
    static const struct {
        const char *line;
        enum wire_verb verb;
        const char *first;
        const char *rest;
    } rows[] = {
        {"STARTUP lepu270 u3f1\r\n", WIRE_STARTUP, "lepu270", "u3f1"},
        {"QUERY 5c0e READ 1a4\r\n", WIRE_QUERY, "5c0e", "READ 1a4"},
        {"QUERY 5c0e\r\n", WIRE_QUERY, "5c0e", ""},
        {"TERMINATE\r\n", WIRE_TERMINATE, "", ""},
        {"READY I 3.1209\r\n", WIRE_READY, "I", "3.1209"},
        {"DATAROW a b  c\r\n", WIRE_ROW, "", "a b  c"},
        {"COMPLETE -\r\n", WIRE_COMPLETE, "", "-"},
        {"QUERY 1 WRITE d a\nb\r\n", WIRE_QUERY, "1", "WRITE d a\nb"},
        {"QUERY 1 WRITE d \nQUERY 2 WRITE d c\r\n", WIRE_QUERY, "1",
         "WRITE d \nQUERY 2 WRITE d c"},
        {"QUERY 1 WRITE d a\rb\r\r\n", WIRE_QUERY, "1", "WRITE d a\rb\r"},
        {"DATAROW a\n\nREADY I -\n\r\n", WIRE_ROW, "", "a\n\nREADY I -\n"},
        {"STARTUP d\ne u\nv\r\n", WIRE_STARTUP, "d\ne", "u\nv"},
        {"ERROR BUSY come back\r\n", WIRE_ERROR, "BUSY", "come back"},
        {"GET / HTTP/1.1\r\n", WIRE_UNKNOWN, "", "/ HTTP/1.1"},
        {"\r\n", WIRE_UNKNOWN, "", ""},
        {"query 1 READ 2\r\n", WIRE_UNKNOWN, "", "1 READ 2"},
    };

    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        struct buffer in = {0};
        struct buffer scratch = {0};
        struct wire_message message;
        ck_assert_int_eq(read_text(&in, &scratch, rows[i].line, &message),
                         WIRE_READ_MESSAGE);
        ck_assert_int_eq(message.verb, rows[i].verb);
        ck_assert_str_eq(message.first, rows[i].first);
        ck_assert_str_eq(message.rest, rows[i].rest);
        ck_assert_uint_eq(message.first_size_bytes, strlen(rows[i].first));
        ck_assert_uint_eq(message.rest_size_bytes, strlen(rows[i].rest));
        ck_assert_uint_eq(message.line_size_bytes, strlen(rows[i].line));
        ck_assert_uint_eq(buffer_get_size(&in), 0);
        buffer_free(&in);
        buffer_free(&scratch);
    }
}
END_TEST

// Guards against a line feed or a carriage return alone that ends a message.
START_TEST(test_lone_line_ends_end_no_message)
{
    static const char *const parts[] = {"COMPLETE -\n", "\n", "\r", "a\r",
                                        "\r"};
    struct buffer in = {0};
    struct buffer scratch = {0};
    struct wire_message message;

    for (size_t i = 0; i < sizeof(parts) / sizeof(parts[0]); i++) {
        ck_assert_int_eq(read_text(&in, &scratch, parts[i], &message),
                         WIRE_READ_INCOMPLETE);
    }
    ck_assert_int_eq(read_text(&in, &scratch, "\n", &message),
                     WIRE_READ_MESSAGE);
    ck_assert_str_eq(message.rest, "-\n\n\ra\r");
    ck_assert_uint_eq(buffer_get_size(&in), 0);
    buffer_free(&in);
    buffer_free(&scratch);
}
END_TEST

// Guards against texts that end at a NUL byte, and against words that are
// taken for others that end there.
START_TEST(test_nul_bytes_end_nothing)
{
    static const struct {
        const char *line;
        size_t line_size;
        enum wire_verb verb;
        size_t first_size;
        const char *rest;
        size_t rest_size;
    } rows[] = {
        {"QUERY 1 WRITE a b\0 c\0\r\n", 23, WIRE_QUERY, 1, "WRITE a b\0 c\0",
         13},
        {"QUERY 1\0002 READ a\r\n", 18, WIRE_QUERY, 3, "READ a", 6},
        {"DATAROW \0a\0\r\n", 13, WIRE_ROW, 0, "\0a\0", 3},
        {"COMPLETE a\0b\r\n", 14, WIRE_COMPLETE, 0, "a\0b", 3},
        {"ERROR BUSY a\0b\r\n", 16, WIRE_ERROR, 4, "a\0b", 3},
        {"ERROR BUSY\0 a\r\n", 15, WIRE_UNKNOWN, 5, "a", 1},
        {"READY I\0 -\r\n", 12, WIRE_UNKNOWN, 2, "-", 1},
        {"READY I 3.12\0009\r\n", 16, WIRE_UNKNOWN, 1, "3.12\0009", 6},
        {"QUERY\0 1 READ a\r\n", 17, WIRE_UNKNOWN, 0, "1 READ a", 8},
        {"\0\r\n", 3, WIRE_UNKNOWN, 0, "", 0},
    };
    struct buffer in = {0};
    struct buffer scratch = {0};

    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        struct wire_message message;
        buffer_append(&in, rows[i].line, rows[i].line_size);
        ck_assert_int_eq(wire_message_read(&in, &scratch, &message),
                         WIRE_READ_MESSAGE);
        ck_assert_int_eq(message.verb, rows[i].verb);
        ck_assert_uint_eq(message.first_size_bytes, rows[i].first_size);
        ck_assert_uint_eq(message.rest_size_bytes, rows[i].rest_size);
        ck_assert_mem_eq(message.rest, rows[i].rest, rows[i].rest_size);
        ck_assert_uint_eq(message.line_size_bytes, rows[i].line_size);
        ck_assert_uint_eq(buffer_get_size(&in), 0);
    }
    buffer_free(&in);
    buffer_free(&scratch);
}
END_TEST

// Guards against errors at the ends of the input: a line that arrives in
// parts, two lines at once, and a line that is too long.
START_TEST(test_parts_and_limits)
{
    struct buffer in = {0};
    struct buffer scratch = {0};
    struct wire_message message;

    ck_assert_int_eq(wire_message_read(&in, &scratch, &message),
                     WIRE_READ_INCOMPLETE);
    ck_assert_int_eq(read_text(&in, &scratch, "READY ", &message),
                     WIRE_READ_INCOMPLETE);
    ck_assert_int_eq(read_text(&in, &scratch, "T -\r", &message),
                     WIRE_READ_INCOMPLETE);
    ck_assert_int_eq(read_text(&in, &scratch, "\nREADY I -\r\n", &message),
                     WIRE_READ_MESSAGE);
    ck_assert_str_eq(message.first, "T");
    ck_assert_int_eq(wire_message_read(&in, &scratch, &message),
                     WIRE_READ_MESSAGE);
    ck_assert_str_eq(message.first, "I");
    for (size_t i = 0; i <= WIRE_MESSAGE_MAX_BYTES; i++) {
        buffer_append_u8(&in, 'x');
    }
    ck_assert_int_eq(wire_message_read(&in, &scratch, &message),
                     WIRE_READ_INVALID);
    buffer_append_text(&in, "\r\n");
    ck_assert_int_eq(wire_message_read(&in, &scratch, &message),
                     WIRE_READ_INVALID);
    buffer_free(&in);
    buffer_free(&scratch);
}
END_TEST

// Guards against a largest message that is refused, whole or without the last
// byte of its line terminator.
START_TEST(test_largest_message)
{
    struct buffer in = {0};
    struct buffer scratch = {0};
    struct wire_message message;

    buffer_append_text(&in, "DATAROW ");
    while (buffer_get_size(&in) < WIRE_MESSAGE_MAX_BYTES) {
        buffer_append_u8(&in, 'x');
    }
    buffer_append_u8(&in, '\r');
    ck_assert_int_eq(wire_message_read(&in, &scratch, &message),
                     WIRE_READ_INCOMPLETE);
    ck_assert_int_eq(read_text(&in, &scratch, "\n", &message),
                     WIRE_READ_MESSAGE);
    ck_assert_uint_eq(message.rest_size_bytes,
                      WIRE_MESSAGE_MAX_BYTES - strlen("DATAROW "));
    buffer_free(&in);
    buffer_free(&scratch);
}
END_TEST

// Guards against a long message whose bytes are searched again with each part
// of it, and against a line terminator that is missed at the end of a part.
START_TEST(test_search_goes_on_where_it_ended)
{
    struct wire_reader reader = {.extra_bytes = 8};
    struct buffer in = {0};
    struct buffer scratch = {0};
    struct wire_message message;

    buffer_append_text(&in, "DATAROW ");
    for (size_t i = strlen("DATAROW "); i < WIRE_MESSAGE_MAX_BYTES + 8; i++) {
        bool is_end = i % 64 == 0;
        ck_assert_int_eq(wire_reader_read(&reader, &in, &scratch, &message),
                         WIRE_READ_INCOMPLETE);
        ck_assert_uint_ge(reader.searched_bytes + 1, i);
        buffer_append_u8(&in, is_end ? '\r' : 'x');
    }
    buffer_append_text(&in, "\r");
    ck_assert_int_eq(wire_reader_read(&reader, &in, &scratch, &message),
                     WIRE_READ_INCOMPLETE);
    buffer_append_text(&in, "\nREADY I -\r\n");
    ck_assert_int_eq(wire_reader_read(&reader, &in, &scratch, &message),
                     WIRE_READ_MESSAGE);
    ck_assert_uint_eq(message.line_size_bytes, WIRE_MESSAGE_MAX_BYTES + 10);
    ck_assert_int_eq(wire_reader_read(&reader, &in, &scratch, &message),
                     WIRE_READ_MESSAGE);
    ck_assert_int_eq(message.verb, WIRE_READY);
    buffer_free(&in);
    buffer_free(&scratch);
}
END_TEST

// Guards against statements of a wrong kind, and against statements of the
// protocol between entry and upstream that are accepted from a client.
START_TEST(test_statements)
{
    static const struct {
        const char *text;
        enum wire_statement_kind statement;
        const char *arguments;
    } rows[] = {
        {"BEGIN", WIRE_STATEMENT_BEGIN, ""},
        {"BEGIN ", WIRE_STATEMENT_BEGIN, ""},
        {"BEGIN READ", WIRE_STATEMENT_BEGIN_READ, "READ"},
        {"BEGIN  READ ", WIRE_STATEMENT_BEGIN_READ, " READ "},
        {"BEGIN x", WIRE_STATEMENT_UNKNOWN, "x"},
        {"BEGIN READX", WIRE_STATEMENT_UNKNOWN, "READX"},
        {"COMMIT", WIRE_STATEMENT_COMMIT, ""},
        {"ROLLBACK", WIRE_STATEMENT_ROLLBACK, ""},
        {"READ 1a4", WIRE_STATEMENT_READ, "1a4"},
        {"WRITE 1a4 some data", WIRE_STATEMENT_WRITE, "1a4 some data"},
        {"SET v1 a b", WIRE_STATEMENT_SET, "v1 a b"},
        {"PREPARE s1 WRITE q2c", WIRE_STATEMENT_PREPARE, "s1 WRITE q2c"},
        {"EXECUTE s1 1a4 x", WIRE_STATEMENT_EXECUTE, "s1 1a4 x"},
        {"CLOSE s1", WIRE_STATEMENT_CLOSE, "s1"},
        {"AFTER 3.1 READ 1", WIRE_STATEMENT_UNKNOWN, "3.1 READ 1"},
        {"STATUS", WIRE_STATEMENT_UNKNOWN, ""},
        {"", WIRE_STATEMENT_UNKNOWN, ""},
        {"A_WORD_THAT_IS_LONGER_THAN_ANY 1", WIRE_STATEMENT_UNKNOWN,
         "A_WORD_THAT_IS_LONGER_THAN_ANY 1"},
    };

    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        struct wire_text text = {rows[i].text, strlen(rows[i].text)};
        struct wire_text arguments;
        ck_assert_int_eq(wire_statement_parse(text, &arguments),
                         rows[i].statement);
        ck_assert(wire_text_equals(arguments, rows[i].arguments));
    }
}
END_TEST

// Guards against words that are taken for others, since they contain a NUL
// byte, and against arguments that lose bytes.
START_TEST(test_words_by_size)
{
    static const char text[] = "SET v\0 x  \0y ";
    struct wire_text arguments = {text, sizeof(text) - 1};
    char word[8];

    ck_assert_uint_eq(wire_text_take_word(&arguments, word, 3), 0);
    ck_assert_uint_eq(arguments.size_bytes, sizeof(text) - 1);
    ck_assert_uint_eq(wire_text_take_word(&arguments, word, sizeof(word)), 3);
    ck_assert_str_eq(word, "SET");
    ck_assert_uint_eq(wire_text_take_word(&arguments, word, sizeof(word)), 0);
    wire_text_skip_space(&arguments);
    ck_assert_uint_eq(wire_text_take_word(&arguments, word, sizeof(word)), 0);
    ck_assert_uint_eq(arguments.size_bytes, sizeof(text) - 1 - 4);
    ck_assert(!wire_text_equals(arguments, "v"));
    ck_assert_int_eq(
        wire_statement_parse((struct wire_text){"READ\0 a", 7}, &arguments),
        WIRE_STATEMENT_UNKNOWN);
}
END_TEST

// Guards against malformed positions that are accepted, and against positions
// that compare in another order than by term and number.
START_TEST(test_positions)
{
    static const char *const bad[] = {
        "-",    "",     "3",   "3.",   ".4",           "3.x",
        "-1.2", "3.4x", "a.b", "3 .4", "99999999999.1"};
    uint64_t low = 0;
    uint64_t high = 0;
    struct buffer text = {0};

    for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
        ck_assert_msg(!wire_position_parse(bad[i], &low), "%s", bad[i]);
        ck_assert_uint_eq(low, 0);
    }
    ck_assert(wire_position_parse("3.1209", &low));
    ck_assert(wire_position_parse("3.1210 more", &high));
    ck_assert_uint_lt(low, high);
    ck_assert(wire_position_parse("4.1", &high));
    ck_assert_uint_lt(low, high);
    wire_position_append(&text, low);
    buffer_append_u8(&text, 0);
    ck_assert_str_eq((const char *)buffer_get_data(&text), "3.1209");
    buffer_free(&text);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_lines);
    tcase_add_test(tests, test_lone_line_ends_end_no_message);
    tcase_add_test(tests, test_nul_bytes_end_nothing);
    tcase_add_test(tests, test_parts_and_limits);
    tcase_add_test(tests, test_largest_message);
    tcase_add_test(tests, test_search_goes_on_where_it_ended);
    tcase_add_test(tests, test_statements);
    tcase_add_test(tests, test_words_by_size);
    tcase_add_test(tests, test_positions);
}

TEST_MAIN("wire_message", add_tests)
