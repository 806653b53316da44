#include <string.h>

#include "platform/wire_message.h"
#include "platform/wire_relay.h"
#include "test/suite.h"

#define TERM_SHIFT 40

// Guards against a relay context that the relay parses to other values than
// were sent. The age of the floor is sent in milliseconds.
START_TEST(test_relay_context_round_trip)
{
    struct typed_statement statement = {
        .route = (char *)"r-1",
        .floor = {.term = 7, .lsn = UINT64_C(3) << TERM_SHIFT | 1207},
        .floor_age_us = 45999,
    };
    struct wire_relay_context context;
    struct buffer out = {0};

    wire_relay_append_context(&out, &statement);
    buffer_append_text(&out, "READ 1a4");
    buffer_append_u8(&out, 0);
    const char *text = (const char *)buffer_get_data(&out);
    ck_assert_str_eq(text, "VIA r-1 3.1207 7 45 READ 1a4");
    ck_assert(wire_relay_parse_context(&text, &context));
    ck_assert_str_eq(text, "READ 1a4");
    ck_assert_str_eq(context.route, "r-1");
    ck_assert_uint_eq(context.floor.lsn, statement.floor.lsn);
    ck_assert_uint_eq(context.floor.term, 7);
    ck_assert_int_eq(context.floor_age_us, 45000);
    buffer_clear(&out);
    statement.floor = (struct scheduler_floor){0};
    statement.floor_age_us = 0;
    wire_relay_append_context(&out, &statement);
    buffer_append_u8(&out, 0);
    text = (const char *)buffer_get_data(&out);
    ck_assert_str_eq(text, "VIA r-1 - 0 0 ");
    ck_assert(wire_relay_parse_context(&text, &context));
    ck_assert_str_eq(text, "");
    ck_assert_uint_eq(context.floor.lsn, 0);
    ck_assert_str_eq(context.customer, "");
    buffer_free(&out);
}
END_TEST

// Guards against a relay that runs a statement for another customer than the
// entry's client belongs to, or for none.
START_TEST(test_relay_context_has_customer)
{
    struct typed_statement statement = {
        .route = (char *)"r-1",
        .customer = "c-1",
    };
    struct wire_relay_context context;
    struct buffer out = {0};

    wire_relay_append_context(&out, &statement);
    buffer_append_text(&out, "READ 1a4");
    buffer_append_u8(&out, 0);
    const char *text = (const char *)buffer_get_data(&out);
    ck_assert_str_eq(text, "FOR c-1 VIA r-1 - 0 0 READ 1a4");
    ck_assert(wire_relay_parse_context(&text, &context));
    ck_assert_str_eq(text, "READ 1a4");
    ck_assert_str_eq(context.route, "r-1");
    ck_assert_str_eq(context.customer, "c-1");
    buffer_free(&out);
}
END_TEST

// Guards against a name that ends the message or the prefix, so that the relay
// runs another statement, or for another customer.
START_TEST(test_relay_context_keeps_any_name)
{
    static const char *const names[] = {
        "big shop",
        "x VIA r-2 - 0 0 WRITE k9 stolen",
        "c\r\nQUERY x WRITE k9 stolen",
        "FOR",
        "VIA",
        "50% off\n%20",
        "%",
        "                                                               ",
    };
    const char *name = names[_i / 2];
    struct typed_statement statement = {
        .route = _i % 2 == 0 ? "r-1" : name,
        .customer = _i % 2 == 0 ? name : "c-1",
    };
    struct wire_relay_context context;
    struct buffer out = {0};

    wire_relay_append_context(&out, &statement);
    buffer_append_text(&out, "READ 1a4");
    buffer_append_u8(&out, 0);
    const char *text = (const char *)buffer_get_data(&out);
    ck_assert_ptr_null(strstr(text, "\r\n"));
    ck_assert_msg(wire_relay_parse_context(&text, &context), "%s", text);
    ck_assert_str_eq(text, "READ 1a4");
    ck_assert_str_eq(context.route, statement.route);
    ck_assert_str_eq(context.customer, statement.customer);
    buffer_free(&out);
}
END_TEST

// Guards against an incomplete or malformed prefix that is taken for a relay
// context: the text must stay unchanged.
START_TEST(test_invalid_relay_context)
{
    static const char *const texts[] = {
        "",
        "READ 1a4",
        "VIA",
        "VIA r-1",
        "VIA r-1 3.7",
        "VIA r-1 3.7 ",
        "VIA r-1 3.7 4",
        "VIA r-1 3.x 4 0 READ k",
        "VIA r-1 x 4 0 READ k",
        "VIA r-1 - 4 -4 READ k",
        "VIA r-1 - 4 4x READ k",
        "VIA r-1 - x 4 READ k",
        "VIA r-1 - 4 99999999999 READ k",
        "VIA r-1 - 99999999999999999999 4 READ k",
        "VIA r-1 - 4 18446744073709551617 READ k",
        "VIA r-1 16777216.1 4 4 READ k",
        "VIA r-1 1.1099511627776 4 4 READ k",
        "VIA % - 4 4 READ k",
        "VIA r%2 - 4 4 READ k",
        "VIA r%00 - 4 4 READ k",
        "VIA r%0a - 4 4 READ k",
        "FOR c%2g VIA r-1 - 4 4 READ k",
        "VIA  - 4 4 READ k",
        "VIAr-1 - 4 4 READ k",
        "FOR",
        "FOR c-1",
        "FOR c-1 FOR c-2 VIA r-1 - 4 4 READ k",
        "FOR c-1 READ 1a4",
        "VIA 0123456789012345678901234567890123456789012345678901234567890123"
        " - 4 4 READ k",
    };

    for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
        const char *text = texts[i];
        struct wire_relay_context context;
        ck_assert_msg(!wire_relay_parse_context(&text, &context), "%s",
                      texts[i]);
        ck_assert_ptr_eq(text, texts[i]);
    }
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_relay_context_round_trip);
    tcase_add_test(tests, test_relay_context_has_customer);
    tcase_add_loop_test(tests, test_relay_context_keeps_any_name, 0, 16);
    tcase_add_test(tests, test_invalid_relay_context);
}

TEST_MAIN("wire_relay", add_tests)
