#include "catkingrade/decide/traffic/customer_table.h"

#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"

// Entries up to which the table grows although some are not in use. Their
// statistics help to choose which connections to keep.
#define CUSTOMER_TABLE_KEPT    128
#define CUSTOMER_TABLE_MIN     8
#define CUSTOMER_GAP_DIVISOR   8 // a new value has a weight of 1/8
#define CUSTOMER_HASH_OFFSET   UINT32_C(2166136261) // of FNV-1a
#define CUSTOMER_HASH_MULTIPLE UINT32_C(16777619)

static uint32_t
customer_table_get_hash(const char *name)
{
    uint32_t hash = CUSTOMER_HASH_OFFSET;

    for (; *name != '\0'; name++) {
        hash = (hash ^ (uint8_t)*name) * CUSTOMER_HASH_MULTIPLE;
    }
    return hash;
}

static uint32_t *
customer_table_get_bucket(const struct customer_table *table, const char *name)
{
    return &table->buckets[customer_table_get_hash(name) %
                           table->buckets_count];
}

// Initializes the table with the entry of index 0.
void
customer_table_init(struct customer_table *table)
{
    *table = (struct customer_table){.count = 1, .capacity = 1};
    table->items = xcalloc(1, sizeof(struct customer *));
    table->items[CUSTOMER_NONE] = xcalloc(1, sizeof(struct customer));
}

void
customer_table_free(struct customer_table *table)
{
    for (uint32_t i = 0; i < table->count; i++) {
        free(table->items[i]);
    }
    free(table->items);
    free(table->buckets);
}

// Doubles the table and assigns the entries to as many hash buckets.
static void
customer_table_grow(struct customer_table *table)
{
    table->capacity = table->capacity < CUSTOMER_TABLE_MIN
                          ? CUSTOMER_TABLE_MIN
                          : table->capacity * 2;
    table->items =
        xrealloc(table->items, table->capacity * sizeof(struct customer *));
    free(table->buckets);
    table->buckets_count = table->capacity;
    table->buckets = xcalloc(table->buckets_count, sizeof(uint32_t));
    for (uint32_t i = 1; i < table->count; i++) {
        struct customer *customer = table->items[i];
        uint32_t *bucket = customer_table_get_bucket(table, customer->name);
        customer->next = *bucket;
        *bucket = i;
    }
}

static uint32_t
customer_table_find(const struct customer_table *table, const char *name)
{
    uint32_t index = table->buckets_count == 0
                         ? CUSTOMER_NONE
                         : *customer_table_get_bucket(table, name);

    while (index != CUSTOMER_NONE &&
           strcmp(table->items[index]->name, name) != 0) {
        index = table->items[index]->next;
    }
    return index;
}

static void
customer_table_add_unused(struct customer_table *table, uint32_t index)
{
    struct customer *customer = table->items[index];

    customer->unused_next = CUSTOMER_NONE;
    customer->unused_previous = table->unused_last;
    if (table->unused_last != CUSTOMER_NONE) {
        table->items[table->unused_last]->unused_next = index;
    }
    else {
        table->unused_first = index;
    }
    table->unused_last = index;
}

static void
customer_table_remove_unused(struct customer_table *table, uint32_t index)
{
    struct customer *customer = table->items[index];

    if (customer->unused_previous != CUSTOMER_NONE) {
        table->items[customer->unused_previous]->unused_next =
            customer->unused_next;
    }
    else {
        table->unused_first = customer->unused_next;
    }
    if (customer->unused_next != CUSTOMER_NONE) {
        table->items[customer->unused_next]->unused_previous =
            customer->unused_previous;
    }
    else {
        table->unused_last = customer->unused_previous;
    }
}

// Takes the entry that has been without references for the longest time.
static uint32_t
customer_table_reuse(struct customer_table *table)
{
    uint32_t index = table->unused_first;
    struct customer *customer = table->items[index];
    uint32_t *link = customer_table_get_bucket(table, customer->name);

    while (*link != index) {
        link = &table->items[*link]->next;
    }
    *link = customer->next;
    customer_table_remove_unused(table, index);
    return index;
}

static uint32_t
customer_table_add(struct customer_table *table)
{
    if (table->count == table->capacity) {
        customer_table_grow(table);
    }
    table->items[table->count] = xmalloc(sizeof(struct customer));
    return table->count++;
}

// Returns the index of the customer with a name and takes a reference to it.
// The customer is added if it is new; the empty name gives CUSTOMER_NONE. Each
// call is matched by one of customer_table_release().
uint32_t
customer_table_acquire(struct customer_table *table, const char *name)
{
    if (name[0] == '\0') {
        return CUSTOMER_NONE;
    }
    uint32_t index = customer_table_find(table, name);
    if (index == CUSTOMER_NONE) {
        index = table->count < CUSTOMER_TABLE_KEPT ||
                        table->unused_first == CUSTOMER_NONE
                    ? customer_table_add(table)
                    : customer_table_reuse(table);
        struct customer *customer = table->items[index];
        *customer = (struct customer){0};
        (void)strncpy(customer->name, name, sizeof(customer->name) - 1);
        uint32_t *bucket = customer_table_get_bucket(table, customer->name);
        customer->next = *bucket;
        *bucket = index;
        customer_table_add_unused(table, index);
    }
    customer_table_reference(table, index);
    return index;
}

// Takes one more reference to a customer.
void
customer_table_reference(struct customer_table *table, uint32_t index)
{
    if (index == CUSTOMER_NONE) {
        return;
    }
    if (table->items[index]->references++ == 0) {
        customer_table_remove_unused(table, index);
        table->used++;
    }
}

// Returns a reference to a customer.
void
customer_table_release(struct customer_table *table, uint32_t index)
{
    if (index == CUSTOMER_NONE) {
        return;
    }
    INVARIANT(table->items[index]->references > 0);
    if (--table->items[index]->references == 0) {
        customer_table_add_unused(table, index);
        table->used--;
    }
}

// Updates the moving average of the time between the requests of a customer.
void
customer_table_record_request(struct customer_table *table, uint32_t index,
                              int64_t now_us)
{
    struct customer *customer = table->items[index];
    int64_t gap_us = now_us - customer->asked_us;

    if (customer->asked_us != 0) {
        customer->gap_us +=
            customer->gap_us == 0
                ? gap_us
                : (gap_us - customer->gap_us) / CUSTOMER_GAP_DIVISOR;
    }
    customer->asked_us = now_us;
}
