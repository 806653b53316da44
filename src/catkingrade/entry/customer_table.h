#ifndef CATKINGRADE_ENTRY_CUSTOMER_TABLE_H
#define CATKINGRADE_ENTRY_CUSTOMER_TABLE_H

#include <stddef.h>
#include <stdint.h>

#include "catkingrade/rpc/messages.h"

// The declared customers of a view, by name and by key digest. A table is
// immutable and reference counted with an atomic count: successive views share
// it until a customer changes, and tables share the customers that have not
// changed.
struct customer_table;

struct customer_table *customer_table_create(void);
struct customer_table *customer_table_retain(struct customer_table *table);
void customer_table_release(struct customer_table *table);
struct customer_table *
customer_table_apply_delta(struct customer_table *table,
                           const struct ck_view_delta *delta,
                           uint64_t generation, uint64_t min_generation);
const struct ck_declared_customer *
customer_table_find(const struct customer_table *table, const char *name);
const struct ck_declared_customer *
customer_table_find_key(const struct customer_table *table,
                        const ck_key_digest digest);
size_t customer_table_get_count(const struct customer_table *table);
const struct ck_declared_customer *
customer_table_get(const struct customer_table *table, size_t index);

#endif
