#include "test/fake/upstream_table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "catkingrade/kernel/memory.h"

#define TABLE_FIRST_BUCKETS 64

static void
values_free(const struct table *table, char **values)
{
    for (size_t i = 0; values != NULL && i < table->columns_count; i++) {
        free(values[i]);
    }
    free(values);
}

static void
row_destroy(const struct table *table, struct row *row)
{
    values_free(table, row->values);
    values_free(table, row->pending);
    free(row);
}

static void
table_destroy(struct table *table)
{
    for (size_t i = 0; i < table->rows_count; i++) {
        if (table->rows[i] != NULL) {
            row_destroy(table, table->rows[i]);
        }
    }
    for (size_t i = 0; i < table->columns_count; i++) {
        free(table->columns[i].name);
        free(table->columns[i].default_value);
    }
    free(table->columns);
    free(table->key_columns);
    free(table->rows);
    free(table->buckets);
    free(table->name);
    free(table);
}

// Removes all tables. No transaction may own a row.
void
fake_database_clear(struct database *database)
{
    while (database->tables != NULL) {
        struct table *table = database->tables;
        database->tables = table->next;
        table_destroy(table);
    }
}

// Returns a table by name, or NULL.
struct table *
fake_database_find_table(const struct database *database, const char *name)
{
    struct table *table = database->tables;

    while (table != NULL && strcmp(table->name, name) != 0) {
        table = table->next;
    }
    return table;
}

// Adds an empty table. The caller fills in columns and key_columns.
struct table *
fake_database_add_table(struct database *database, const char *name,
                        size_t columns_count, size_t key_count)
{
    struct table *table = xcalloc(1, sizeof(*table));

    table->name = xstrdup(name);
    table->columns_count = columns_count;
    table->columns = xcalloc(columns_count + 1, sizeof(struct column));
    table->key_count = key_count;
    table->key_columns = xcalloc(key_count + 1, sizeof(size_t));
    table->buckets_count = TABLE_FIRST_BUCKETS;
    table->buckets = xcalloc(table->buckets_count, sizeof(struct row *));
    table->next = database->tables;
    database->tables = table;
    return table;
}

// Removes a table; does nothing when it does not exist.
void
fake_database_remove_table(struct database *database, const char *name)
{
    for (struct table **at = &database->tables; *at != NULL;
         at = &(*at)->next) {
        struct table *table = *at;
        if (strcmp(table->name, name) == 0) {
            *at = table->next;
            table_destroy(table);
            return;
        }
    }
}

// Returns the index of a column, or -1.
int
fake_table_find_column(const struct table *table, const char *name)
{
    for (size_t i = 0; i < table->columns_count; i++) {
        if (strcmp(table->columns[i].name, name) == 0) {
            return (int)i;
        }
    }
    return -1;
}

static uint64_t
table_hash_key(const struct table *table, char *const *values)
{
    uint64_t hash = 0;

    for (size_t i = 0; i < table->key_count; i++) {
        const char *value = values[table->key_columns[i]];
        value = value == NULL ? "" : value;
        hash = XXH3_64bits_withSeed(value, strlen(value), hash);
    }
    return hash;
}

static void
table_add_to_bucket(struct table *table, struct row *row)
{
    struct row **bucket = &table->buckets[row->hash % table->buckets_count];

    row->next_in_bucket = *bucket;
    *bucket = row;
}

static void
table_grow_buckets(struct table *table)
{
    free(table->buckets);
    table->buckets_count *= 4;
    table->buckets = xcalloc(table->buckets_count, sizeof(struct row *));
    for (size_t i = 0; i < table->rows_count; i++) {
        if (table->rows[i] != NULL) {
            table_add_to_bucket(table, table->rows[i]);
        }
    }
}

// Stores a new row under an id. Skipped ids stay unused.
static struct row *
table_store_row(struct table *table, uint64_t id, char *const *key_values)
{
    struct row *row = xcalloc(1, sizeof(*row));

    if (id >= table->rows_capacity) {
        size_t capacity = (size_t)id * 2 + 16;
        table->rows = xrealloc(table->rows, capacity * sizeof(struct row *));
        memset(table->rows + table->rows_capacity, 0,
               (capacity - table->rows_capacity) * sizeof(struct row *));
        table->rows_capacity = capacity;
    }
    row->id = id;
    row->hash = table_hash_key(table, key_values);
    if (id >= table->rows_count) {
        table->rows_count = (size_t)id + 1;
    }
    if (table->key_count > 0) {
        if (table->rows_count > table->buckets_count * 2) {
            table_grow_buckets(table);
        }
        table_add_to_bucket(table, row);
    }
    table->rows[id] = row;
    return row;
}

static void
table_remove_row(struct table *table, struct row *row)
{
    struct row **at = &table->buckets[row->hash % table->buckets_count];

    while (table->key_count > 0 && *at != row) {
        at = &(*at)->next_in_bucket;
    }
    if (table->key_count > 0) {
        *at = row->next_in_bucket;
    }
    table->rows[row->id] = NULL;
    row_destroy(table, row);
}

static void
transaction_add(struct transaction *transaction, struct table *table,
                struct row *row)
{
    if (transaction->rows_count == transaction->rows_capacity) {
        transaction->rows_capacity = transaction->rows_capacity * 2 + 8;
        transaction->rows =
            xrealloc(transaction->rows,
                     transaction->rows_capacity * sizeof(struct owned_row));
    }
    row->owner = transaction;
    transaction->rows[transaction->rows_count].table = table;
    transaction->rows[transaction->rows_count++].row = row;
}

// Inserts a row that is visible only to the transaction until its commit.
struct row *
fake_table_insert_row(struct table *table, struct transaction *transaction,
                      char **values)
{
    struct row *row = table_store_row(table, table->rows_count, values);

    row->pending = values;
    row->changed = true;
    transaction_add(transaction, table, row);
    return row;
}

// Locks a row for the transaction. No other transaction may own the row.
void
fake_table_lock_row(struct table *table, struct transaction *transaction,
                    struct row *row)
{
    INVARIANT(fake_row_is_lockable(row, transaction));
    if (row->owner == NULL) {
        transaction_add(transaction, table, row);
    }
}

// Locks a row and sets its pending values; NULL deletes the row. The change
// becomes visible to others at the commit.
void
fake_table_change_row(struct table *table, struct transaction *transaction,
                      struct row *row, char **values)
{
    fake_table_lock_row(table, transaction, row);
    values_free(table, row->pending);
    row->pending = values;
    row->changed = true;
}

// Returns whether the transaction may lock the row, or owns it already.
bool
fake_row_is_lockable(const struct row *row,
                     const struct transaction *transaction)
{
    return row->owner == NULL || row->owner == transaction;
}

// Returns the values of a row that are visible to the transaction, or NULL.
char **
fake_row_get_values(const struct row *row,
                    const struct transaction *transaction)
{
    if (row->owner == transaction && row->changed) {
        return row->pending;
    }
    return row->values;
}

static bool
table_is_same_key(const struct table *table, char *const *a, char *const *b)
{
    for (size_t i = 0; i < table->key_count; i++) {
        const char *left = a[table->key_columns[i]];
        const char *right = b[table->key_columns[i]];
        if (left == NULL || right == NULL || strcmp(left, right) != 0) {
            return false;
        }
    }
    return true;
}

// Returns the row with the key in values, or NULL. Always NULL for a table
// without a key.
struct row *
fake_table_find_key(const struct table *table, char *const *values)
{
    if (table->key_count == 0) {
        return NULL;
    }
    uint64_t hash = table_hash_key(table, values);
    struct row *row = table->buckets[hash % table->buckets_count];

    for (; row != NULL; row = row->next_in_bucket) {
        char *const *own = row->values != NULL ? row->values : row->pending;
        if (row->hash == hash && own != NULL &&
            table_is_same_key(table, own, values)) {
            return row;
        }
    }
    return NULL;
}

// Returns the first row in the hash bucket of a single-column key. The bucket
// may also contain rows with other keys.
struct row *
fake_table_get_bucket(const struct table *table, const char *value)
{
    uint64_t hash = XXH3_64bits_withSeed(value, strlen(value), 0);

    return table->buckets[hash % table->buckets_count];
}

// Kinds of encoded operations.
enum op_kind {
    OP_CREATE = 'c',
    OP_DROP = 'd',
    OP_ROW = 'r',
    OP_REMOVE = 'x',
};

static void
ops_append_text(struct buffer *ops, const char *text)
{
    if (text == NULL) {
        buffer_append_be32(ops, UINT32_MAX);
        return;
    }
    buffer_append_be32(ops, (uint32_t)strlen(text));
    buffer_append(ops, text, strlen(text));
}

static void
transaction_commit_row(struct table *table, struct row *row,
                       struct buffer *ops)
{
    row->owner = NULL;
    if (!row->changed) {
        return;
    }
    row->changed = false;
    bool was_committed = row->values != NULL;
    if (row->pending != NULL) {
        values_free(table, row->values);
        row->values = row->pending;
        row->pending = NULL;
        buffer_append_u8(ops, OP_ROW);
        ops_append_text(ops, table->name);
        buffer_append_be32(ops, (uint32_t)row->id);
        for (size_t i = 0; i < table->columns_count; i++) {
            ops_append_text(ops, row->values[i]);
        }
        return;
    }
    if (was_committed) {
        buffer_append_u8(ops, OP_REMOVE);
        ops_append_text(ops, table->name);
        buffer_append_be32(ops, (uint32_t)row->id);
    }
    table_remove_row(table, row);
}

// Makes a transaction's changes visible, appends them to ops and releases its
// row locks.
void
fake_transaction_commit(struct transaction *transaction, struct buffer *ops)
{
    for (size_t i = 0; i < transaction->rows_count; i++) {
        transaction_commit_row(transaction->rows[i].table,
                               transaction->rows[i].row, ops);
    }
    free(transaction->rows);
    memset(transaction, 0, sizeof(*transaction));
}

// Undoes a transaction's changes and releases its row locks.
void
fake_transaction_rollback(struct transaction *transaction)
{
    for (size_t i = 0; i < transaction->rows_count; i++) {
        struct table *table = transaction->rows[i].table;
        struct row *row = transaction->rows[i].row;
        values_free(table, row->pending);
        row->pending = NULL;
        row->owner = NULL;
        row->changed = false;
        if (row->values == NULL) {
            table_remove_row(table, row);
        }
    }
    free(transaction->rows);
    memset(transaction, 0, sizeof(*transaction));
}

// Appends the creation of a table to ops.
void
fake_database_encode_create(const struct table *table, struct buffer *ops)
{
    buffer_append_u8(ops, OP_CREATE);
    ops_append_text(ops, table->name);
    buffer_append_be32(ops, (uint32_t)table->columns_count);
    buffer_append_be32(ops, (uint32_t)table->key_count);
    for (size_t i = 0; i < table->columns_count; i++) {
        ops_append_text(ops, table->columns[i].name);
        buffer_append_be32(ops, table->columns[i].type);
        ops_append_text(ops, table->columns[i].default_value);
    }
    for (size_t i = 0; i < table->key_count; i++) {
        buffer_append_be32(ops, (uint32_t)table->key_columns[i]);
    }
}

// Appends the removal of a table to ops.
void
fake_database_encode_drop(const char *name, struct buffer *ops)
{
    buffer_append_u8(ops, OP_DROP);
    ops_append_text(ops, name);
}

struct ops_reader {
    const uint8_t *at;
    const uint8_t *end;
};

static uint32_t
ops_read_u32(struct ops_reader *reader)
{
    INVARIANT(reader->end - reader->at >= 4);
    const uint8_t *at = reader->at;
    reader->at += 4;
    return (uint32_t)at[0] << 24 | (uint32_t)at[1] << 16 |
           (uint32_t)at[2] << 8 | at[3];
}

static char *
ops_read_text(struct ops_reader *reader)
{
    uint32_t size = ops_read_u32(reader);

    if (size == UINT32_MAX) {
        return NULL;
    }
    INVARIANT((size_t)(reader->end - reader->at) >= size);
    char *text = xmemdupz((const char *)reader->at, size);
    reader->at += size;
    return text;
}

static void
database_apply_create(struct database *database, const char *name,
                      struct ops_reader *reader)
{
    uint32_t columns_count = ops_read_u32(reader);
    uint32_t key_count = ops_read_u32(reader);

    fake_database_remove_table(database, name);
    struct table *table =
        fake_database_add_table(database, name, columns_count, key_count);
    for (uint32_t i = 0; i < columns_count; i++) {
        table->columns[i].name = ops_read_text(reader);
        table->columns[i].type = (enum type_oid)ops_read_u32(reader);
        table->columns[i].default_value = ops_read_text(reader);
    }
    for (uint32_t i = 0; i < key_count; i++) {
        table->key_columns[i] = ops_read_u32(reader);
    }
}

static void
table_apply_row(struct table *table, struct ops_reader *reader)
{
    uint32_t id = ops_read_u32(reader);
    char **values = xcalloc(table->columns_count + 1, sizeof(char *));

    for (size_t i = 0; i < table->columns_count; i++) {
        values[i] = ops_read_text(reader);
    }
    struct row *row = id < table->rows_count ? table->rows[id] : NULL;
    if (row == NULL) {
        row = table_store_row(table, id, values);
    }
    values_free(table, row->values);
    row->values = values;
}

// Applies encoded operations. No transaction may own a row that the operations
// change or remove.
void
fake_database_apply(struct database *database, const uint8_t *ops,
                    size_t size_bytes)
{
    struct ops_reader reader = {.at = ops, .end = ops + size_bytes};

    while (reader.at < reader.end) {
        enum op_kind kind = (enum op_kind) * reader.at++;
        char *name = ops_read_text(&reader);
        struct table *table = fake_database_find_table(database, name);
        if (kind == OP_CREATE) {
            database_apply_create(database, name, &reader);
        }
        else if (kind == OP_DROP) {
            fake_database_remove_table(database, name);
        }
        else if (kind == OP_ROW) {
            INVARIANT(table != NULL);
            table_apply_row(table, &reader);
        }
        else {
            uint32_t id = ops_read_u32(&reader);
            INVARIANT(table != NULL && id < table->rows_count);
            table_remove_row(table, table->rows[id]);
        }
        free(name);
    }
}

static void
pgbench_add_table(struct database *database, const char *name,
                  const char *const *columns, size_t columns_count,
                  size_t key_count, unsigned rows)
{
    struct table *table =
        fake_database_add_table(database, name, columns_count, key_count);

    for (size_t i = 0; i < columns_count; i++) {
        bool is_text = strcmp(columns[i], "filler") == 0;
        bool is_time = strcmp(columns[i], "mtime") == 0;
        table->columns[i].name = xstrdup(columns[i]);
        table->columns[i].type = is_text   ? TYPE_TEXT
                                 : is_time ? TYPE_TIMESTAMPTZ
                                           : TYPE_INT4;
    }
    for (unsigned id = 0; id < rows; id++) {
        char **values = xcalloc(columns_count + 1, sizeof(char *));
        for (size_t i = 0; i < columns_count; i++) {
            values[i] =
                table->columns[i].type == TYPE_TEXT ? xstrdup("")
                : i == 0                            ? xasprintf("%u", id + 1)
                         : xstrdup(strcmp(columns[i], "bid") == 0 ? "1" : "0");
        }
        table_store_row(table, id, values)->values = values;
    }
}

// Adds the pgbench tables, with the row counts that pgbench -i creates.
void
fake_database_add_pgbench(struct database *database, unsigned scale)
{
    static const char *const branches[] = {"bid", "bbalance", "filler"};
    static const char *const tellers[] = {"tid", "bid", "tbalance", "filler"};
    static const char *const accounts[] = {"aid", "bid", "abalance", "filler"};
    static const char *const history[] = {"tid",   "bid",   "aid",
                                          "delta", "mtime", "filler"};

    pgbench_add_table(database, "pgbench_branches", branches, 3, 1, scale);
    pgbench_add_table(database, "pgbench_tellers", tellers, 4, 1, 10 * scale);
    pgbench_add_table(database, "pgbench_accounts", accounts, 4, 1,
                      100000 * scale);
    pgbench_add_table(database, "pgbench_history", history, 6, 0, 0);
}
