#ifndef TEST_FAKE_UPSTREAM_TABLE_H
#define TEST_FAKE_UPSTREAM_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/kernel/buffer.h"
#include "test/fake/upstream_plan.h"

// Tables in memory. A row has its committed values and, while a transaction
// owns it, the values that this one gave it. Others wait for the owner.
struct row {
    uint64_t id;
    char **values;  // committed; NULL: not yet there
    char **pending; // of the owner; NULL: deleted, or not changed
    const void *owner;
    bool changed; // the owner wrote it; otherwise it is only locked
    uint64_t hash;
    struct row *next_in_bucket;
};

struct column {
    char *name;
    enum type_oid type;
    char *fallback;
};

struct table {
    char *name;
    struct column *columns;
    size_t columns_count;
    size_t *key; // places of the key's columns
    size_t key_count;
    struct row **rows; // by id; NULL: deleted
    size_t rows_count;
    size_t rows_capacity;
    struct row **buckets;
    size_t buckets_count;
    struct table *next;
};

struct database {
    struct table *tables;
};

// The rows that a transaction owns.
struct transaction {
    struct owned_row *rows;
    size_t rows_count;
    size_t rows_capacity;
};

struct owned_row {
    struct table *table;
    struct row *row;
};

void fake_database_clear(struct database *database);
struct table *fake_database_find_table(const struct database *database,
                                       const char *name);
struct table *fake_database_add_table(struct database *database,
                                      const char *name, size_t columns_count,
                                      size_t key_count);
void fake_database_remove_table(struct database *database, const char *name);
int fake_table_find_column(const struct table *table, const char *name);
// Takes ownership of values. Returns the new row, owned by the transaction.
struct row *fake_table_insert_row(struct table *table,
                                  struct transaction *transaction,
                                  char **values);
// Takes ownership of values; NULL deletes the row.
void fake_table_change_row(struct table *table,
                           struct transaction *transaction, struct row *row,
                           char **values);
void fake_table_lock_row(struct table *table, struct transaction *transaction,
                         struct row *row);
bool fake_row_is_lockable(const struct row *row,
                          const struct transaction *transaction);
char **fake_row_get_values(const struct row *row,
                           const struct transaction *transaction);
// Finds a row by its whole key, also one that is not yet committed.
struct row *fake_table_find_key(const struct table *table,
                                char *const *values);
// The first row of the bucket that a key of one column has.
struct row *fake_table_get_bucket(const struct table *table,
                                  const char *value);

// Ends a transaction; commit appends its operations to ops.
void fake_transaction_commit(struct transaction *transaction,
                             struct buffer *ops);
void fake_transaction_rollback(struct transaction *transaction);

void fake_database_encode_create(const struct table *table,
                                 struct buffer *ops);
void fake_database_encode_drop(const char *name, struct buffer *ops);
// Applies operations that were encoded by another upstream, or by this one.
void fake_database_apply(struct database *database, const uint8_t *ops,
                         size_t size_bytes);
void fake_database_add_pgbench(struct database *database, unsigned scale);

#endif
