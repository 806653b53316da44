#ifndef TEST_FAKE_UPSTREAM_TABLE_H
#define TEST_FAKE_UPSTREAM_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/kernel/buffer.h"
#include "test/fake/upstream_plan.h"

// In-memory tables with row locks and read-committed visibility. A row has its
// committed values and, while a transaction owns (has locked) it, that
// transaction's pending values. Only the owner may lock or change the row.
// Committed changes are encoded as operations (ops) for the log.
struct row {
    uint64_t id;
    char **values;     // committed; NULL: inserted but not committed
    char **pending;    // of the owner; NULL: deleted or not changed
    const void *owner; // transaction; NULL: not locked
    bool changed;      // inserted, updated or deleted; false: only locked
    uint64_t hash;
    struct row *next_in_bucket;
};

struct column {
    char *name;
    enum type_oid type;
    char *default_value; // NULL: SQL NULL
};

struct table {
    char *name;
    struct column *columns;
    size_t columns_count;
    size_t *key_columns; // indexes into columns
    size_t key_count;
    struct row **rows; // by id; NULL: deleted or never used
    size_t rows_count;
    size_t rows_capacity;
    struct row **buckets; // hash table by key
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
// Inserts a row, owned by the transaction. Takes ownership of values.
struct row *fake_table_insert_row(struct table *table,
                                  struct transaction *transaction,
                                  char **values);
// Updates a row, or deletes it when values is NULL. Takes ownership of values.
void fake_table_change_row(struct table *table,
                           struct transaction *transaction, struct row *row,
                           char **values);
void fake_table_lock_row(struct table *table, struct transaction *transaction,
                         struct row *row);
bool fake_row_is_lockable(const struct row *row,
                          const struct transaction *transaction);
char **fake_row_get_values(const struct row *row,
                           const struct transaction *transaction);
// Returns the row with the key in values, committed or not, or NULL.
struct row *fake_table_find_key(const struct table *table,
                                char *const *values);
// Returns the first row in the hash bucket of a single-column key.
struct row *fake_table_get_bucket(const struct table *table,
                                  const char *value);

// Ends a transaction. Commit appends the encoded changes to ops.
void fake_transaction_commit(struct transaction *transaction,
                             struct buffer *ops);
void fake_transaction_rollback(struct transaction *transaction);

void fake_database_encode_create(const struct table *table,
                                 struct buffer *ops);
void fake_database_encode_drop(const char *name, struct buffer *ops);
// Applies encoded operations, from a primary or from the upstream's own log.
void fake_database_apply(struct database *database, const uint8_t *ops,
                         size_t size_bytes);
void fake_database_add_pgbench(struct database *database, unsigned scale);

#endif
