#include "catkingrade/decide/customer/customer_check.h"

#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/customer/key_index.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/name.h"

// Limits the size of the error text.
#define CUSTOMER_CHECK_MAX_CONFLICTS 16

static int
customer_check_compare_names(const void *a, const void *b)
{
    const struct ck_declared_customer *left =
        *(const struct ck_declared_customer *const *)a;
    const struct ck_declared_customer *right =
        *(const struct ck_declared_customer *const *)b;

    return strcmp(left->name, right->name);
}

// A customer's name is a word in messages to upstreams and relays.
static void
customer_check_names(const struct ck_declared_customer **customers,
                     size_t count, struct buffer *errors)
{
    qsort(customers, count, sizeof(const struct ck_declared_customer *),
          customer_check_compare_names);
    for (size_t i = 0; i < count; i++) {
        const char *name = customers[i]->name;
        if (!name_is_word(name, strlen(name))) {
            buffer_append_text(errors,
                               "the name of a customer is not one word\n");
        }
        else if (i > 0 && strcmp(name, customers[i - 1]->name) == 0) {
            buffer_append_format(errors, "two customers have the name %s\n",
                                 name);
        }
    }
}

// Appends one line to errors for each fault: names must be words and unique,
// and no two customers may have the same key. The lines contain no key.
void
customer_check(const struct ck_declaration *declaration, struct buffer *errors)
{
    struct key_index_conflict conflicts[CUSTOMER_CHECK_MAX_CONFLICTS];
    size_t count = declaration->customers.customers_len;
    const struct ck_declared_customer **customers =
        xcalloc(count + 1, sizeof(*customers));

    for (size_t i = 0; i < count; i++) {
        customers[i] = &declaration->customers.customers_val[i];
    }
    struct key_index *index = key_index_create(customers, count);
    size_t conflicts_count = key_index_list_conflicts(
        index, conflicts, CUSTOMER_CHECK_MAX_CONFLICTS);
    for (size_t i = 0; i < conflicts_count; i++) {
        buffer_append_format(errors, "customers %s and %s have the same key\n",
                             conflicts[i].first->name,
                             conflicts[i].second->name);
    }
    key_index_destroy(index);
    customer_check_names(customers, count, errors);
    free(customers);
}
