#include "catkingrade/entry/declared_customers.h"

#include <stdatomic.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/customer/key_index.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/rpc/codec.h"

// A customer, shared by all tables that contain it. generation is that of the
// view's group when the customer was received; see view.c.
struct declared_item {
    struct ck_declared_customer
        customer; // first, see declared_customers_get_item
    atomic_uint ref_count;
    uint64_t generation;
};

struct declared_customers {
    atomic_uint ref_count;
    size_t count;
    const struct ck_declared_customer **customers; // sorted by name
    struct key_index *keys;
};

// Returns the item of a customer in a table.
static struct declared_item *
declared_customers_get_item(const struct ck_declared_customer *customer)
{
    return (struct declared_item *)(uintptr_t)customer;
}

static const struct ck_declared_customer *
declared_item_create(const struct ck_declared_customer *customer,
                     uint64_t generation)
{
    struct declared_item *item = xcalloc(1, sizeof(*item));

    atomic_init(&item->ref_count, 1);
    item->generation = generation;
    codec_copy((xdrproc_t)xdr_ck_declared_customer, customer, &item->customer,
               sizeof(item->customer));
    return &item->customer;
}

static void
declared_item_release(const struct ck_declared_customer *customer)
{
    struct declared_item *item = declared_customers_get_item(customer);

    if (atomic_fetch_sub(&item->ref_count, 1) == 1) {
        codec_free((xdrproc_t)xdr_ck_declared_customer, &item->customer);
        free(item);
    }
}

static struct declared_customers *
declared_customers_allocate(size_t max_count)
{
    struct declared_customers *table = xcalloc(1, sizeof(*table));

    atomic_init(&table->ref_count, 1);
    table->customers = xcalloc(max_count + 1, sizeof(*table->customers));
    return table;
}

// Returns an empty table with one reference.
struct declared_customers *
declared_customers_create(void)
{
    struct declared_customers *table = declared_customers_allocate(0);

    table->keys = key_index_create(table->customers, 0);
    return table;
}

// Adds a reference and returns the table.
struct declared_customers *
declared_customers_retain(struct declared_customers *table)
{
    atomic_fetch_add(&table->ref_count, 1);
    return table;
}

// Drops a reference; frees the table with the last one.
void
declared_customers_release(struct declared_customers *table)
{
    if (atomic_fetch_sub(&table->ref_count, 1) != 1) {
        return;
    }
    for (size_t i = 0; i < table->count; i++) {
        declared_item_release(table->customers[i]);
    }
    key_index_destroy(table->keys);
    free(table->customers);
    free(table);
}

static int
declared_customers_compare(const void *a, const void *b)
{
    const struct ck_declared_customer *left =
        *(const struct ck_declared_customer *const *)a;
    const struct ck_declared_customer *right =
        *(const struct ck_declared_customer *const *)b;

    return strcmp(left->name, right->name);
}

static int
declared_customers_compare_names(const void *a, const void *b)
{
    const char *const *left = a;
    const char *const *right = b;

    return strcmp(*left, *right);
}

// Returns the names of the removed customers, sorted; to be freed.
static const char **
declared_customers_sort_removed(const struct ck_view_delta *delta)
{
    size_t count =
        delta->declared_customers_removed.declared_customers_removed_len;
    const char **names = xcalloc(count + 1, sizeof(*names));

    for (size_t i = 0; i < count; i++) {
        names[i] = delta->declared_customers_removed
                       .declared_customers_removed_val[i];
    }
    qsort(names, count, sizeof(*names), declared_customers_compare_names);
    return names;
}

// Returns a table of the customers in a delta only, without an index of keys.
static struct declared_customers *
declared_customers_create_changed(const struct ck_view_delta *delta,
                                  uint64_t generation)
{
    size_t count = delta->declared_customers.declared_customers_len;
    struct declared_customers *table = declared_customers_allocate(count);

    for (size_t i = 0; i < count; i++) {
        table->customers[table->count++] = declared_item_create(
            &delta->declared_customers.declared_customers_val[i], generation);
    }
    qsort(table->customers, count, sizeof(*table->customers),
          declared_customers_compare);
    return table;
}

// Adds the customers of a table up to one with this name, or all if the name
// is NULL, that are not removed and of min_generation or later. Returns the
// index of the next customer.
static size_t
declared_customers_add_kept(struct declared_customers *merged,
                            const struct declared_customers *table,
                            size_t index, const char *name,
                            const char **removed, size_t removed_count,
                            uint64_t min_generation)
{
    for (; index < table->count; index++) {
        const struct ck_declared_customer *customer = table->customers[index];
        int order = name == NULL ? -1 : strcmp(customer->name, name);
        if (order > 0) {
            return index;
        }
        const char *key = customer->name;
        bool is_kept = order != 0 &&
                       declared_customers_get_item(customer)->generation >=
                           min_generation &&
                       bsearch(&key, removed, removed_count, sizeof(*removed),
                               declared_customers_compare_names) == NULL;
        if (is_kept) {
            atomic_fetch_add(&declared_customers_get_item(customer)->ref_count,
                             1);
            merged->customers[merged->count++] = customer;
        }
    }
    return index;
}

static bool
declared_customers_has_stale(const struct declared_customers *table,
                             uint64_t min_generation)
{
    for (size_t i = 0; i < table->count; i++) {
        if (declared_customers_get_item(table->customers[i])->generation <
            min_generation) {
            return true;
        }
    }
    return false;
}

// Applies the customers of a delta, which belong to a generation, and drops
// those of generations before min_generation. Returns the resulting table with
// a reference for the caller; the same table if nothing changes.
struct declared_customers *
declared_customers_apply_delta(struct declared_customers *table,
                               const struct ck_view_delta *delta,
                               uint64_t generation, uint64_t min_generation)
{
    size_t removed_count =
        delta->declared_customers_removed.declared_customers_removed_len;
    size_t index = 0;

    if (delta->declared_customers.declared_customers_len == 0 &&
        removed_count == 0 &&
        !declared_customers_has_stale(table, min_generation)) {
        return declared_customers_retain(table);
    }
    const char **removed = declared_customers_sort_removed(delta);
    struct declared_customers *changed =
        declared_customers_create_changed(delta, generation);
    struct declared_customers *merged =
        declared_customers_allocate(table->count + changed->count);
    for (size_t i = 0; i < changed->count; i++) {
        const struct ck_declared_customer *customer = changed->customers[i];
        index = declared_customers_add_kept(merged, table, index,
                                            customer->name, removed,
                                            removed_count, min_generation);
        merged->customers[merged->count++] = customer;
    }
    (void)declared_customers_add_kept(merged, table, index, NULL, removed,
                                      removed_count, min_generation);
    merged->keys = key_index_create(merged->customers, merged->count);
    changed->count = 0; // its references have moved
    declared_customers_release(changed);
    free(removed);
    return merged;
}

// Returns a customer by name, or NULL.
const struct ck_declared_customer *
declared_customers_find(const struct declared_customers *table,
                        const char *name)
{
    struct ck_declared_customer key = {.name = (char *)(uintptr_t)name};
    const struct ck_declared_customer *pointer = &key;
    const struct ck_declared_customer *const *found =
        bsearch(&pointer, table->customers, table->count,
                sizeof(*table->customers), declared_customers_compare);

    return found == NULL ? NULL : *found;
}

// Returns the customer that has a key with this digest, or NULL.
const struct ck_declared_customer *
declared_customers_find_key(const struct declared_customers *table,
                            const ck_key_digest digest)
{
    return key_index_find(table->keys, digest);
}

size_t
declared_customers_get_count(const struct declared_customers *table)
{
    return table->count;
}

// Returns the customer at an index below the count.
const struct ck_declared_customer *
declared_customers_get(const struct declared_customers *table, size_t index)
{
    return table->customers[index];
}
