#include "catkingrade/control/limit_list.h"

#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"

#define LIMIT_LIST_RATE_UNIT_S 1000.0 // of rate_per_1000_s
// Operations per second in place of a rate of 0, which would mean no limit.
#define LIMIT_LIST_MIN_RATE 0.001

// Appends a customer, if it has a limit.
void
limit_list_add(struct limit_list *list,
               const struct ck_declared_customer *customer)
{
    size_t count = list->count;

    if (!customer->is_limited) {
        return;
    }
    // Grows when the count is a power of two.
    if ((count & (count - 1)) == 0) {
        list->items = xrealloc(list->items, (count == 0 ? 1 : 2 * count) *
                                                sizeof(*list->items));
    }
    struct limit *limit = &list->items[list->count++];
    memset(limit, 0, sizeof(*limit));
    strncpy(limit->customer, customer->name, CK_NAME_SIZE);
    limit->rate_per_s =
        customer->rate_per_1000_s == 0
            ? LIMIT_LIST_MIN_RATE
            : customer->rate_per_1000_s / LIMIT_LIST_RATE_UNIT_S;
    limit->burst = customer->burst;
}

// Appends the customers of a declaration that have a limit.
void
limit_list_fill(struct limit_list *list,
                const struct ck_declaration *declaration)
{
    for (u_int i = 0; i < declaration->customers.customers_len; i++) {
        limit_list_add(list, &declaration->customers.customers_val[i]);
    }
}

void
limit_list_free(struct limit_list *list)
{
    free(list->items);
    list->items = NULL;
    list->count = 0;
}
