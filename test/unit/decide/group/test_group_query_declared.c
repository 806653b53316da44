#include <check.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/group/declaration.h"
#include "catkingrade/decide/group/group.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "test/fake/changes.h"
#include "test/suite.h"

#define CUSTOMERS 300

// Returns a group with a declaration of CUSTOMERS customers, whose names have
// the maximum length; those with an odd number have a limit.
static struct group_state *
make_group(void)
{
    struct group_state *group = group_create(GROUP_FLEET_NAME);
    struct ck_change change = {.kind = CK_CHANGE_DECLARATION};
    struct ck_declaration declaration = {0};
    struct group_result result;

    declaration.customers.customers_len = CUSTOMERS;
    declaration.customers.customers_val =
        xcalloc(CUSTOMERS, sizeof(struct ck_declared_customer));
    for (u_int i = 0; i < CUSTOMERS; i++) {
        struct ck_declared_customer *customer =
            &declaration.customers.customers_val[i];
        customer->name = xasprintf("%0*u", CK_NAME_SIZE, i);
        customer->keys.keys_len = 1;
        customer->keys.keys_val = xcalloc(1, sizeof(ck_key_digest));
        memcpy(customer->keys.keys_val[0], &i, sizeof(i));
        customer->is_limited = i % 2 == 1;
        customer->rate_per_1000_s = i % 2 == 1 ? 1000 * i + 250 : 0;
        customer->burst = i % 2 == 1 ? 7 : 0;
    }
    ck_assert_int_eq(
        declaration_pack(&declaration, 1, &change.ck_change_u.declaration),
        OUTCOME_OK);
    ck_assert_int_eq(changes_apply(group, 1, &change, "", -1, &result),
                     OUTCOME_OK);
    declaration_free_packed(&change.ck_change_u.declaration);
    declaration_free(&declaration);
    return group;
}

// Returns a page of the customers with a name, or of all.
static struct json_object *
query(const struct group_state *group, const char *name, uint64_t cursor,
      uint64_t *next)
{
    struct buffer json = {0};

    ck_assert_int_eq(group_query(group, CK_QUERY_DECLARED_CUSTOMERS, name,
                                 cursor, &json, next),
                     OUTCOME_OK);
    buffer_append_u8(&json, 0);
    ck_assert_uint_lt(buffer_get_size(&json), CK_BLOB_SIZE);
    struct json_object *rows =
        json_tokener_parse((const char *)buffer_get_data(&json));
    ck_assert(json_object_is_type(rows, json_type_array));
    buffer_free(&json);
    return rows;
}

// Guards against customers that are missing or listed twice because they are
// on several pages, and against pages that do not fit into a reply.
START_TEST(test_pages)
{
    struct group_state *group = make_group();
    uint64_t cursor = 0;
    u_int count = 0;

    do {
        struct json_object *rows = query(group, "", cursor, &cursor);
        for (size_t i = 0; i < json_object_array_length(rows); i++) {
            struct json_object *row = json_object_array_get_idx(rows, i);
            struct json_object *name = NULL;
            ck_assert(json_object_object_get_ex(row, "customer", &name));
            ck_assert_int_eq(atoi(json_object_get_string(name)), (int)count);
            count++;
        }
        json_object_put(rows);
    } while (cursor != 0);
    ck_assert_uint_eq(count, CUSTOMERS);
    group_destroy(group);
}
END_TEST

// Guards against wrong limits, and against digests of keys in the output.
START_TEST(test_row)
{
    struct group_state *group = make_group();
    char *name = xasprintf("%0*u", CK_NAME_SIZE, 3);
    uint64_t next = 0;
    struct json_object *rows = query(group, name, 0, &next);
    char *expected =
        xasprintf("[{\"customer\":\"%s\",\"keys\":1,\"priority\":0"
                  ",\"rate_per_s\":3.25,\"burst\":7}]",
                  name);

    while (next != 0 && json_object_array_length(rows) == 0) {
        json_object_put(rows);
        rows = query(group, name, next, &next);
    }
    ck_assert_str_eq(
        json_object_to_json_string_ext(rows, JSON_C_TO_STRING_PLAIN),
        expected);
    json_object_put(rows);
    free(expected);
    free(name);
    group_destroy(group);
}
END_TEST

// Guards against a failure where nothing was declared.
START_TEST(test_without_declaration)
{
    struct group_state *group = group_create(GROUP_FLEET_NAME);
    uint64_t next = 0;
    struct json_object *rows = query(group, "", 0, &next);

    ck_assert_uint_eq(json_object_array_length(rows), 0);
    ck_assert_uint_eq(next, 0);
    json_object_put(rows);
    group_destroy(group);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_pages);
    tcase_add_test(tests, test_row);
    tcase_add_test(tests, test_without_declaration);
}

TEST_MAIN("group_query_declared", add_tests)
