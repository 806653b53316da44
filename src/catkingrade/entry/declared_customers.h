#ifndef CATKINGRADE_ENTRY_DECLARED_CUSTOMERS_H
#define CATKINGRADE_ENTRY_DECLARED_CUSTOMERS_H

#include <stddef.h>
#include <stdint.h>

#include "catkingrade/rpc/messages.h"

// The declared customers of a view, by name and by key digest. A table is
// immutable and reference counted with an atomic count: successive views share
// it until a customer changes, and tables share the customers that have not
// changed.
struct declared_customers;

struct declared_customers *declared_customers_create(void);
struct declared_customers *
declared_customers_retain(struct declared_customers *table);
void declared_customers_release(struct declared_customers *table);
struct declared_customers *
declared_customers_apply_delta(struct declared_customers *table,
                               const struct ck_view_delta *delta,
                               uint64_t generation, uint64_t min_generation);
const struct ck_declared_customer *
declared_customers_find(const struct declared_customers *table,
                        const char *name);
const struct ck_declared_customer *
declared_customers_find_key(const struct declared_customers *table,
                            const ck_key_digest digest);
size_t declared_customers_get_count(const struct declared_customers *table);
const struct ck_declared_customer *
declared_customers_get(const struct declared_customers *table, size_t index);

#endif
