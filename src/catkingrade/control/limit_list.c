#include "catkingrade/control/limit_list.h"

#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"

// Appends a customer, if it has a limit: a rate above 0.
void
limit_list_add(struct limit_list *list, const char *customer,
               double rate_per_s, double burst)
{
    size_t count = list->count;

    if (!(rate_per_s > 0)) {
        return;
    }
    // Grows when the count is a power of two.
    if ((count & (count - 1)) == 0) {
        list->items = xrealloc(list->items, (count == 0 ? 1 : 2 * count) *
                                                sizeof(*list->items));
    }
    memset(&list->items[count], 0, sizeof(list->items[count]));
    strncpy(list->items[count].customer, customer, CK_NAME_SIZE);
    list->items[count].rate_per_s = rate_per_s;
    list->items[count].burst = burst;
    list->count++;
}

// Appends the customers of a declaration that have a limit.
void
limit_list_fill(struct limit_list *list,
                const struct ck_declaration *declaration)
{
    for (u_int i = 0; i < declaration->customers.customers_len; i++) {
        const struct ck_declared_customer *customer =
            &declaration->customers.customers_val[i];
        limit_list_add(list, customer->name, customer->rate_per_s,
                       customer->burst);
    }
}

void
limit_list_free(struct limit_list *list)
{
    free(list->items);
    list->items = NULL;
    list->count = 0;
}
