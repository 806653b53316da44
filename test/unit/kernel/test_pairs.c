// Unit tests of texts of key=value pairs; test_log has those of whole lines.

#include "catkingrade/kernel/pairs.h"

#include <check.h>
#include <string.h>

#include "test/suite.h"

#define TEXT_SIZE 32

__attribute__((format(printf, 2, 3))) static size_t
format_pairs(char *out, const char *format, ...)
{
    va_list args;

    va_start(args, format);
    size_t size = pairs_format(out, TEXT_SIZE, format, args);
    va_end(args);
    ck_assert_uint_eq(size, strlen(out));
    return size;
}

START_TEST(test_no_key_or_number_is_cut)
{
    char text[TEXT_SIZE];

    (void)format_pairs(text, "first=%s second=%d", "0123456789abcdefg", 12);
    ck_assert_str_eq(text, "first=0123456789abcdefg second=");
    (void)format_pairs(text, "first=%s second=%d", "0123456789abcdefgh", 12);
    ck_assert_str_eq(text, "first=0123456789abcdefgh");
    (void)format_pairs(text, "first=%s second=%d", "0123456789abcde", 12);
    ck_assert_str_eq(text, "first=0123456789abcde second=12");
    (void)format_pairs(text, "first=%s second=%d", "0123456789abcde", 123);
    ck_assert_str_eq(text, "first=0123456789abcde second=");
}
END_TEST

START_TEST(test_no_character_is_cut)
{
    char text[TEXT_SIZE];

    (void)format_pairs(text, "first=%s second=%d",
                       "0123456789abcdefghijklmnüx", 1);
    ck_assert_str_eq(text, "first=0123456789abcdefghijklmn");
}
END_TEST

START_TEST(test_texts_in_place_of_pairs_keep_their_pairs)
{
    char text[TEXT_SIZE];

    (void)format_pairs(text, "a=%s %s", "b c=1", "d=2\ne=3");
    ck_assert_str_eq(text, "a=b c\\x3d1 d=2 e=3");
    (void)format_pairs(text, "a=\"%s\"", "b c=1");
    ck_assert_str_eq(text, "a=\"b c\\x3d1\"");
    (void)format_pairs(text, "%.*s", 3, "a=1234");
    ck_assert_str_eq(text, "a=1");
}
END_TEST

START_TEST(test_bytes_that_are_not_utf8_are_escaped)
{
    char text[TEXT_SIZE];

    (void)format_pairs(text, "a=%s", "\xc0\xaf\xed\xa0\x80z\xe2\x82");
    ck_assert_str_eq(text, "a=\\xc0\\xaf\\xed\\xa0\\x80z\\xe2\\x82");
    (void)format_pairs(text, "a=%s", "\xf0\x9f\x98\x80\xe2\x82\xac");
    ck_assert_str_eq(text, "a=\xf0\x9f\x98\x80\xe2\x82\xac");
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_no_key_or_number_is_cut);
    tcase_add_test(tests, test_no_character_is_cut);
    tcase_add_test(tests, test_texts_in_place_of_pairs_keep_their_pairs);
    tcase_add_test(tests, test_bytes_that_are_not_utf8_are_escaped);
}

TEST_MAIN("pairs", add_tests)
