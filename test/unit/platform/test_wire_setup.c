#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"
#include "platform/wire_setup.h"
#include "test/suite.h"

// Runs on one connection; each check is what goes before the statement.
struct rig {
    struct wire_setup setup;
    struct buffer out;
};

static void
expect(struct rig *rig, const struct typed_statement *run, bool in_transaction,
       const char *text, unsigned answers)
{
    unsigned count =
        wire_setup_append(&rig->setup, run, in_transaction, &rig->out);

    buffer_append_u8(&rig->out, 0);
    ck_assert_str_eq((const char *)buffer_get_data(&rig->out), text);
    ck_assert_uint_eq(count, answers);
    buffer_clear(&rig->out);
}

static void
expect_statement(struct rig *rig, const struct typed_statement *run,
                 const char *text)
{
    wire_setup_append_statement(&rig->setup, run, false, &rig->out);
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

// A session without variables never runs under those of another.
START_TEST(test_variables_of_other_sessions_are_reset)
{
    struct rig rig = {0};
    struct typed_variables *one = typed_variables_set(NULL, "v1", "a");
    struct typed_variables *two = typed_variables_set(one, "v2", "b");
    struct typed_variables *three = typed_variables_set(two, "v1", "c");
    struct typed_statement run = {.id = (char *)"7", .text = (char *)"READ 1"};

    expect(&rig, &run, false, "", 0);
    run.values = one;
    expect(&rig, &run, false, "QUERY - SET v1 a\r\n", 1);
    expect(&rig, &run, false, "", 0);
    run.values = two;
    expect(&rig, &run, false, "QUERY - SET v2 b\r\n", 1);
    run.values = three;
    expect(&rig, &run, false, "QUERY - SET v1 c\r\n", 1);
    run.values = one;
    expect(&rig, &run, false, "QUERY - RESET\r\nQUERY - SET v1 a\r\n", 2);
    run.values = NULL;
    expect(&rig, &run, false, "QUERY - RESET\r\n", 1);
    expect(&rig, &run, false, "", 0);
    typed_variables_release(one);
    typed_variables_release(two);
    typed_variables_release(three);
    end(&rig);
}
END_TEST

// Statements of equal shape are one, also over sessions; a read and a save of
// the same shape are two, and so are shapes whose hashes would be equal.
START_TEST(test_prepared_statements_are_shared)
{
    struct rig rig = {0};
    struct typed_prepared *save = typed_prepared_create(true, "q2b");
    struct typed_prepared *read = typed_prepared_create(false, "q2e");
    struct typed_prepared *same = typed_prepared_create(true, "q2b");
    struct typed_prepared *other = typed_prepared_create(false, "q2b");
    struct typed_statement run = {.id = (char *)"7",
                                  .text = (char *)"EXECUTE s1 4 x",
                                  .arguments = (char *)"4 x",
                                  .prepared = save};

    expect(&rig, &run, false, "QUERY - PREPARE p0 WRITE q2b\r\n", 1);
    expect_statement(&rig, &run, "QUERY 7 EXECUTE p0 4 x\r\n");
    run.prepared = read;
    expect(&rig, &run, false, "QUERY - PREPARE p1 READ q2e\r\n", 1);
    run.prepared = same;
    expect(&rig, &run, false, "", 0);
    expect_statement(&rig, &run, "QUERY 7 EXECUTE p0 4 x\r\n");
    run.prepared = other;
    expect(&rig, &run, false, "QUERY - PREPARE p2 READ q2b\r\n", 1);
    wire_setup_clear_prepared(&rig.setup);
    expect(&rig, &run, false, "QUERY - PREPARE p0 READ q2b\r\n", 1);
    typed_prepared_release(save);
    typed_prepared_release(read);
    typed_prepared_release(same);
    typed_prepared_release(other);
    end(&rig);
}
END_TEST

// Within a transaction nothing is reset.
START_TEST(test_transaction_is_not_reset)
{
    struct rig rig = {0};
    struct typed_variables *one = typed_variables_set(NULL, "v1", "a");
    struct typed_variables *two = typed_variables_set(one, "v2", "b");
    struct typed_statement run = {
        .id = (char *)"7", .text = (char *)"READ 1", .values = one};

    expect(&rig, &run, false, "QUERY - SET v1 a\r\n", 1);
    run.values = two;
    expect(&rig, &run, true, "QUERY - SET v2 b\r\n", 1);
    typed_variables_release(one);
    typed_variables_release(two);
    end(&rig);
}
END_TEST

START_TEST(test_prepared_statement_limit)
{
    struct rig rig = {0};
    struct typed_statement run = {
        .id = (char *)"7", .text = (char *)"", .arguments = (char *)"1"};
    bool reset = false;

    for (int i = 0; i <= WIRE_SETUP_MAX_PREPARED; i++) {
        char statement_text[16];
        (void)snprintf(statement_text, sizeof(statement_text), "q%d", i);
        run.prepared = typed_prepared_create(false, statement_text);
        (void)wire_setup_append(&rig.setup, &run, false, &rig.out);
        buffer_append_u8(&rig.out, 0);
        reset = strncmp((const char *)buffer_get_data(&rig.out),
                        "QUERY - RESET\r\n", 15) == 0;
        buffer_clear(&rig.out);
        typed_prepared_release(run.prepared);
    }
    ck_assert(reset);
    ck_assert_uint_eq(rig.setup.prepared_count, 1);
    end(&rig);
}
END_TEST

// The position goes before a single read, and before the beginning of a
// transaction, not before its statements.
START_TEST(test_position_before_a_read)
{
    struct rig rig = {0};
    struct typed_statement run = {.id = (char *)"7",
                                  .text = (char *)"READ 1",
                                  .after_lsn = (UINT64_C(3) << 40) + 1207};

    expect_statement(&rig, &run, "QUERY 7 AFTER 3.1207 READ 1\r\n");
    run.begin = TYPED_BEGIN_READ_ONLY;
    expect_statement(&rig, &run, "QUERY 7 READ 1\r\n");
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
}

TEST_MAIN("wire_setup", add_tests)
