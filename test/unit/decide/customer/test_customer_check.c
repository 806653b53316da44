#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/customer/customer_check.h"
#include "catkingrade/kernel/memory.h"
#include "test/suite.h"

#define MANY 1000

static char *
text(const char *constant)
{
    return (char *)(uintptr_t)constant;
}

// Returns the number of faults of a declaration with these customers.
static int
count_faults(struct ck_declared_customer *customers, u_int count)
{
    struct ck_declaration declaration = {
        .customers = {.customers_len = count, .customers_val = customers}};
    struct buffer errors = {0};
    int faults = 0;

    customer_check(&declaration, &errors);
    const char *bytes = (const char *)buffer_get_data(&errors);
    for (size_t i = 0; i < buffer_get_size(&errors); i++) {
        faults += bytes[i] == '\n' ? 1 : 0;
    }
    buffer_free(&errors);
    return faults;
}

// Guards against a name that changes the meaning of a message to an upstream
// or a relay, in which it is one word.
START_TEST(test_names_are_words)
{
    static const char *const bad[] = {"",     " ",    "a b",  "a ",
                                      "a\tb", "a\nb", "a\rb", "\x7f"};
    static const char *const good[] = {"a", "t-1", "o'brien", "kl\xc3\xa4ra"};

    for (size_t i = 0; i < ARRAY_SIZE(bad); i++) {
        struct ck_declared_customer customer = {.name = text(bad[i])};
        ck_assert_msg(count_faults(&customer, 1) == 1, "%s", bad[i]);
    }
    for (size_t i = 0; i < ARRAY_SIZE(good); i++) {
        struct ck_declared_customer customer = {.name = text(good[i])};
        ck_assert_msg(count_faults(&customer, 1) == 0, "%s", good[i]);
    }
}
END_TEST

// Guards against two customers of one name, wherever they are in the list.
START_TEST(test_duplicate_names)
{
    struct ck_declared_customer customers[] = {
        {.name = text("b")}, {.name = text("a")}, {.name = text("b")}};

    ck_assert_int_eq(count_faults(customers, 3), 1);
    ck_assert_int_eq(count_faults(customers, 2), 0);
    ck_assert_int_eq(count_faults(NULL, 0), 0);
}
END_TEST

// Guards against an error text that grows with the number of shared keys, as
// when an operator gives all customers one key.
START_TEST(test_many_shared_keys)
{
    struct ck_declared_customer *customers = xcalloc(MANY, sizeof(*customers));
    ck_key_digest digest = {1};

    for (u_int i = 0; i < MANY; i++) {
        customers[i].name = xasprintf("c%u", i);
        customers[i].keys.keys_len = 1;
        customers[i].keys.keys_val = xmalloc(sizeof(digest));
        memcpy(customers[i].keys.keys_val[0], digest, sizeof(digest));
    }
    int faults = count_faults(customers, MANY);
    ck_assert_int_gt(faults, 0);
    ck_assert_int_le(faults, 16);
    for (u_int i = 0; i < MANY; i++) {
        free(customers[i].name);
        free(customers[i].keys.keys_val);
    }
    free(customers);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_names_are_words);
    tcase_add_test(tests, test_duplicate_names);
    tcase_add_test(tests, test_many_shared_keys);
}

TEST_MAIN("customer_check", add_tests)
