#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"
#include "platform/wire_setup.h"
#include "test/suite.h"

// State of one upstream connection. Each check compares the requests that are
// sent before a statement.
struct rig {
    struct wire_setup setup;
    struct buffer out;
};

static void
expect(struct rig *rig, const struct typed_statement *statement,
       bool in_transaction, const char *text, unsigned answers)
{
    unsigned count =
        wire_setup_append(&rig->setup, statement, in_transaction, &rig->out);

    buffer_append_u8(&rig->out, 0);
    ck_assert_str_eq((const char *)buffer_get_data(&rig->out), text);
    ck_assert_uint_eq(count, answers);
    buffer_clear(&rig->out);
}

static void
expect_statement(struct rig *rig, const struct typed_statement *statement,
                 const char *text)
{
    ck_assert_ptr_null(
        wire_setup_append_statement(&rig->setup, statement, false, &rig->out));
    buffer_append_u8(&rig->out, 0);
    ck_assert_str_eq((const char *)buffer_get_data(&rig->out), text);
    buffer_clear(&rig->out);
}

static void
end(struct rig *rig)
{
    wire_setup_clear(&rig->setup);
    buffer_free(&rig->out);
}

// Guards against a statement that runs with variables of another session: a
// variable that its session has not set must be reset.
START_TEST(test_variables_of_other_sessions_are_reset)
{
    struct rig rig = {0};
    struct typed_variables *one = typed_variables_set(NULL, "v1", "a", 1);
    struct typed_variables *two = typed_variables_set(one, "v2", "b", 1);
    struct typed_variables *three = typed_variables_set(two, "v1", "c", 1);
    struct typed_statement statement = {.id = (char *)"7",
                                        .text = (char *)"READ 1"};

    expect(&rig, &statement, false, "", 0);
    statement.values = one;
    expect(&rig, &statement, false, "QUERY - SET v1 a\r\n", 1);
    expect(&rig, &statement, false, "", 0);
    statement.values = two;
    expect(&rig, &statement, false, "QUERY - SET v2 b\r\n", 1);
    statement.values = three;
    expect(&rig, &statement, false, "QUERY - SET v1 c\r\n", 1);
    statement.values = one;
    expect(&rig, &statement, false, "QUERY - RESET\r\nQUERY - SET v1 a\r\n",
           2);
    statement.values = NULL;
    expect(&rig, &statement, false, "QUERY - RESET\r\n", 1);
    expect(&rig, &statement, false, "", 0);
    typed_variables_release(one);
    typed_variables_release(two);
    typed_variables_release(three);
    end(&rig);
}
END_TEST

// Guards against prepared statements that are confused or prepared twice.
// Equal statements of several sessions share one; a read and a write of the
// same text, and texts whose hashes might be equal, need one each.
START_TEST(test_prepared_statements_are_shared)
{
    struct rig rig = {0};
    struct typed_prepared *write_statement =
        typed_prepared_create(true, "q2b", 3);
    struct typed_prepared *read = typed_prepared_create(false, "q2e", 3);
    struct typed_prepared *same = typed_prepared_create(true, "q2b", 3);
    struct typed_prepared *other = typed_prepared_create(false, "q2b", 3);
    struct typed_statement statement = {.id = (char *)"7",
                                        .text = (char *)"EXECUTE s1 4 x",
                                        .text_size_bytes = 14,
                                        .arguments_size_bytes = 4,
                                        .prepared = write_statement};

    expect(&rig, &statement, false, "QUERY - PREPARE p0 WRITE q2b\r\n", 1);
    expect_statement(&rig, &statement, "QUERY 7 EXECUTE p0 4 x\r\n");
    statement.prepared = read;
    expect(&rig, &statement, false, "QUERY - PREPARE p1 READ q2e\r\n", 1);
    statement.prepared = same;
    expect(&rig, &statement, false, "", 0);
    expect_statement(&rig, &statement, "QUERY 7 EXECUTE p0 4 x\r\n");
    statement.prepared = other;
    expect(&rig, &statement, false, "QUERY - PREPARE p2 READ q2b\r\n", 1);
    wire_setup_clear_prepared(&rig.setup);
    expect(&rig, &statement, false, "QUERY - PREPARE p0 READ q2b\r\n", 1);
    typed_prepared_release(write_statement);
    typed_prepared_release(read);
    typed_prepared_release(same);
    typed_prepared_release(other);
    end(&rig);
}
END_TEST

// Guards against a RESET within a transaction, which would lose its state.
START_TEST(test_transaction_is_not_reset)
{
    struct rig rig = {0};
    struct typed_variables *one = typed_variables_set(NULL, "v1", "a", 1);
    struct typed_variables *two = typed_variables_set(one, "v2", "b", 1);
    struct typed_statement statement = {
        .id = (char *)"7", .text = (char *)"READ 1", .values = one};

    expect(&rig, &statement, false, "QUERY - SET v1 a\r\n", 1);
    statement.values = two;
    expect(&rig, &statement, true, "QUERY - SET v2 b\r\n", 1);
    typed_variables_release(one);
    typed_variables_release(two);
    end(&rig);
}
END_TEST

// Guards against a connection whose prepared statements grow without limit: at
// WIRE_SETUP_MAX_PREPARED it must be reset.
START_TEST(test_prepared_statement_limit)
{
    struct rig rig = {0};
    struct typed_statement statement = {.id = (char *)"7", .text = (char *)""};
    bool reset = false;

    for (int i = 0; i <= WIRE_SETUP_MAX_PREPARED; i++) {
        char statement_text[16];
        (void)snprintf(statement_text, sizeof(statement_text), "q%d", i);
        statement.prepared = typed_prepared_create(false, statement_text,
                                                   strlen(statement_text));
        (void)wire_setup_append(&rig.setup, &statement, false, &rig.out);
        buffer_append_u8(&rig.out, 0);
        reset = strncmp((const char *)buffer_get_data(&rig.out),
                        "QUERY - RESET\r\n", 15) == 0;
        buffer_clear(&rig.out);
        typed_prepared_release(statement.prepared);
    }
    ck_assert(reset);
    ck_assert_uint_eq(rig.setup.prepared_count, 1);
    end(&rig);
}
END_TEST

// Guards against AFTER before a statement within a transaction: the position
// is sent before a single read, and otherwise before BEGIN.
START_TEST(test_position_before_a_read)
{
    struct rig rig = {0};
    struct typed_statement statement = {.id = (char *)"7",
                                        .text = (char *)"READ 1",
                                        .text_size_bytes = 6,
                                        .after_lsn =
                                            (UINT64_C(3) << 40) + 1207};

    expect_statement(&rig, &statement, "QUERY 7 AFTER 3.1207 READ 1\r\n");
    statement.begin = TYPED_BEGIN_READ_ONLY;
    expect_statement(&rig, &statement, "QUERY 7 READ 1\r\n");
    end(&rig);
}
END_TEST

// Guards against an EXECUTE whose arguments are changed.
START_TEST(test_arguments_are_unchanged)
{
    static const struct {
        const char *text;
        size_t size;
        const char *expected;
        size_t expected_size;
    } rows[] = {
        {"EXECUTE s1", 10, "QUERY 7 EXECUTE p0\r\n", 20},
        {"EXECUTE s1 ", 11, "QUERY 7 EXECUTE p0 \r\n", 21},
        {"EXECUTE s1  a ", 14, "QUERY 7 EXECUTE p0  a \r\n", 24},
        {"EXECUTE s1 a\0b\n", 15, "QUERY 7 EXECUTE p0 a\0b\n\r\n", 25},
    };
    struct rig rig = {0};
    struct typed_statement statement = {.id = (char *)"7"};

    statement.prepared = typed_prepared_create(true, "q2b", 3);
    expect(&rig, &statement, false, "QUERY - PREPARE p0 WRITE q2b\r\n", 1);
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        statement.text = (char *)rows[i].text;
        statement.text_size_bytes = rows[i].size;
        statement.arguments_size_bytes = rows[i].size - strlen("EXECUTE s1");
        ck_assert_ptr_null(wire_setup_append_statement(&rig.setup, &statement,
                                                       false, &rig.out));
        ck_assert_uint_eq(buffer_get_size(&rig.out), rows[i].expected_size);
        ck_assert_mem_eq(buffer_get_data(&rig.out), rows[i].expected,
                         rows[i].expected_size);
        buffer_clear(&rig.out);
    }
    typed_prepared_release(statement.prepared);
    end(&rig);
}
END_TEST

// Guards against a name in a relay context that ends the message.
START_TEST(test_context_ends_no_message)
{
    static const char expected[] =
        "QUERY 7 VIA own%0D%0AQUERY%208%20READ%202 - 0 0 READ 1\r\n";
    struct rig rig = {0};
    struct typed_statement statement = {.id = (char *)"7",
                                        .text = (char *)"READ 1",
                                        .text_size_bytes = 6,
                                        .route = "own\r\nQUERY 8 READ 2"};

    ck_assert_ptr_null(
        wire_setup_append_statement(&rig.setup, &statement, true, &rig.out));
    ck_assert_uint_eq(buffer_get_size(&rig.out), strlen(expected));
    ck_assert_mem_eq(buffer_get_data(&rig.out), expected, strlen(expected));
    end(&rig);
}
END_TEST

// Guards against a statement whose id ends its message.
START_TEST(test_id_that_ends_the_message_is_not_sent)
{
    struct rig rig = {0};
    struct typed_statement statement = {.id = (char *)"7\r\nQUERY",
                                        .text = (char *)"READ 1",
                                        .text_size_bytes = 6};

    ck_assert_str_eq(
        wire_setup_append_statement(&rig.setup, &statement, false, &rig.out),
        "id");
    ck_assert_uint_eq(buffer_get_size(&rig.out), 0);
    end(&rig);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_variables_of_other_sessions_are_reset);
    tcase_add_test(tests, test_prepared_statements_are_shared);
    tcase_add_test(tests, test_transaction_is_not_reset);
    tcase_add_test(tests, test_prepared_statement_limit);
    tcase_add_test(tests, test_position_before_a_read);
    tcase_add_test(tests, test_arguments_are_unchanged);
    tcase_add_test(tests, test_context_ends_no_message);
    tcase_add_test(tests, test_id_that_ends_the_message_is_not_sent);
}

TEST_MAIN("wire_setup", add_tests)
