#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#include "catkingrade/decide/group/declaration.h"
#include "catkingrade/decide/group/group_private.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

// Lists the customers of the declaration in force for operators.

// A row takes at most 256 bytes, a page CK_BLOB_SIZE.
#define GROUP_DECLARED_PAGE_ROWS 128
#define GROUP_DECLARED_RATE_UNIT 1000.0

// A customer without a limit has no rate. The keys are only counted, because
// their digests are of no use to an operator.
static struct json_object *
group_json_declared_customer(const struct ck_declared_customer *customer)
{
    struct json_object *row = json_object_new_object();
    char rate[32];

    json_object_object_add(row, "customer",
                           json_object_new_string(customer->name));
    json_object_object_add(row, "keys",
                           json_object_new_uint64(customer->keys.keys_len));
    json_object_object_add(row, "priority",
                           json_object_new_uint64(customer->priority));
    if (customer->is_limited) {
        double rate_per_s =
            customer->rate_per_1000_s / GROUP_DECLARED_RATE_UNIT;
        (void)snprintf(rate, sizeof(rate), "%.10g", rate_per_s);
        json_object_object_add(row, "rate_per_s",
                               json_object_new_double_s(rate_per_s, rate));
        json_object_object_add(row, "burst",
                               json_object_new_uint64(customer->burst));
    }
    return row;
}

// Appends the customers from cursor on, in the order of the declaration, until
// the page is full. Returns the cursor of the next page, or 0 after the last
// one.
static uint64_t
group_write_declared_page(const struct ck_declaration *declaration,
                          const char *name, uint64_t cursor,
                          struct buffer *json)
{
    struct json_object *rows = json_object_new_array();
    u_int count = declaration->customers.customers_len;
    uint64_t i = cursor;

    for (; i < count &&
           json_object_array_length(rows) < GROUP_DECLARED_PAGE_ROWS;
         i++) {
        const struct ck_declared_customer *customer =
            &declaration->customers.customers_val[i];
        if (name[0] == '\0' || strcmp(name, customer->name) == 0) {
            json_object_array_add(rows,
                                  group_json_declared_customer(customer));
        }
    }
    buffer_append_text(
        json, json_object_to_json_string_ext(rows, JSON_C_TO_STRING_PLAIN));
    json_object_put(rows);
    return i < count ? i : 0;
}

// Appends one page of the declared customers to json as a JSON array.
int
group_query_declared_customers(const struct group_state *group,
                               const char *name, uint64_t cursor,
                               struct buffer *json, uint64_t *next_cursor)
{
    const struct ck_packed_declaration *packed = group_get_declaration(group);
    struct ck_declaration declaration;

    *next_cursor = 0;
    if (packed == NULL) {
        buffer_append_text(json, "[]");
        return OUTCOME_OK;
    }
    int outcome = declaration_unpack(packed, &declaration);
    INVARIANT(outcome == OUTCOME_OK);
    *next_cursor = group_write_declared_page(&declaration, name, cursor, json);
    declaration_free(&declaration);
    return OUTCOME_OK;
}
