#include "catkingrade/kernel/name.h"

#include "catkingrade/kernel/memory.h"
#include "test/suite.h"

struct row {
    const char *text;
    size_t size_bytes;
    bool is_printable;
    bool is_word;
    bool is_utf8;
};

#define ROW(text, printable, word, utf8)                                      \
    {                                                                         \
        (text), sizeof(text) - 1, printable, word, utf8                       \
    }

static const struct row rows[] = {
    ROW("", false, false, true),
    ROW("i-0", true, true, true),
    ROW("a\"b\\c/d..%", true, true, true),
    ROW(" ", true, false, true),
    ROW("a b", true, false, true),
    ROW("a\0b", false, false, true),
    ROW("a\0", false, false, true),
    ROW("a\r\nb", false, false, true),
    ROW("a\n", false, false, true),
    ROW("\ta", false, false, true),
    ROW("a\x1f", false, false, true),
    ROW("a\x7f", false, false, true),
    ROW("\xc3\xa9", true, true, true),
    ROW("\xe2\x82\xac", true, true, true),
    ROW("\xf0\x9f\x90\x88", true, true, true),
    ROW("\xf4\x8f\xbf\xbf", true, true, true),
    ROW("\xff", true, true, false),
    ROW("\x80", true, true, false),
    ROW("\xc3", true, true, false),
    ROW("\xc3(", true, true, false),
    ROW("\xc0\xaf", true, true, false),
    ROW("\xe0\x80\xaf", true, true, false),
    ROW("\xe2\x82", true, true, false),
    ROW("\xed\xa0\x80", true, true, false),
    ROW("\xf0\x80\x80\xaf", true, true, false),
    ROW("\xf4\x90\x80\x80", true, true, false),
};

// Guards against names with line ends or zero bytes that pass as words, and
// against refused names in other alphabets.
START_TEST(test_names)
{
    const struct row *row = &rows[_i];

    ck_assert_int_eq(name_is_printable(row->text, row->size_bytes),
                     row->is_printable);
    ck_assert_int_eq(name_is_word(row->text, row->size_bytes), row->is_word);
    ck_assert_int_eq(name_is_utf8(row->text, row->size_bytes), row->is_utf8);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_loop_test(tests, test_names, 0, ARRAY_SIZE(rows));
}

TEST_MAIN("name", add_tests)
