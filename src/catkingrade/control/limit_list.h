#ifndef CATKINGRADE_CONTROL_LIMIT_LIST_H
#define CATKINGRADE_CONTROL_LIMIT_LIST_H

#include <stddef.h>

#include "catkingrade/decide/customer/limit.h"
#include "catkingrade/rpc/messages.h"

// List of the customers with a rate limit.
struct limit_list {
    struct limit *items;
    size_t count;
};

void limit_list_add(struct limit_list *list,
                    const struct ck_declared_customer *customer);
void limit_list_fill(struct limit_list *list,
                     const struct ck_declaration *declaration);
void limit_list_free(struct limit_list *list);

#endif
