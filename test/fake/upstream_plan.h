#ifndef TEST_FAKE_UPSTREAM_PLAN_H
#define TEST_FAKE_UPSTREAM_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

// Compiles SQL texts into plans that the stand-in upstream executes.

// Type OIDs of PostgreSQL.
enum type_oid {
    TYPE_BOOL = 16,
    TYPE_INT8 = 20,
    TYPE_INT4 = 23,
    TYPE_TEXT = 25,
    TYPE_TIMESTAMPTZ = 1184,
    TYPE_NUMERIC = 1700,
    TYPE_VOID = 2278,
    TYPE_LSN = 3220,
};

enum expr_kind {
    EXPR_CONST, // text is the value; NULL: SQL NULL
    EXPR_PARAM, // number counts from 1
    EXPR_COLUMN,
    EXPR_STAR,
    EXPR_FUNC,
    EXPR_BINARY, // text is the operator; two args
    EXPR_IN,     // args[0] IN args[1..]
    EXPR_AND,
    EXPR_IS_NULL, // number is 1 for IS NOT NULL
    EXPR_CASE,    // args: condition, result, ..., default
    EXPR_UNSUPPORTED,
};

struct expr {
    enum expr_kind kind;
    enum type_oid type;
    char *text;
    char *label; // column name in the result
    int number;
    struct expr **args;
    size_t args_count;
};

enum plan_kind {
    PLAN_EMPTY,
    PLAN_SELECT,
    PLAN_INSERT,
    PLAN_UPDATE,
    PLAN_DELETE,
    PLAN_TRUNCATE,
    PLAN_CREATE,
    PLAN_DROP,
    PLAN_BEGIN,
    PLAN_BEGIN_READ_ONLY,
    PLAN_COMMIT,
    PLAN_ROLLBACK,
    PLAN_NO_EFFECT,   // accepted and ignored, such as SET
    PLAN_UNSUPPORTED, // message is the error text
    PLAN_INVALID,     // syntax error; message is the parser's
};

struct plan_column {
    char *name;
    enum type_oid type;
    struct expr *default_expr; // DEFAULT; NULL: none
};

// One statement, compiled from the parse tree of libpg-query.
struct plan {
    enum plan_kind kind;
    char *table;     // NULL for a SELECT without FROM
    const char *tag; // command tag, without a row count
    char *message;
    struct expr **targets; // of SELECT or RETURNING
    size_t targets_count;
    struct expr *where;
    bool locks_rows; // SELECT ... FOR UPDATE and the like
    long limit;      // -1: none
    struct plan_column *columns;
    size_t columns_count;
    // CREATE: column names of the first PRIMARY KEY or UNIQUE constraint.
    char **key_columns;
    size_t key_count;
    // INSERT: the values of all rows, row by row; UPDATE: one per column.
    struct expr **values;
    size_t values_count;
    size_t rows_count;    // INSERT
    bool ignore_conflict; // ON CONFLICT DO NOTHING
    bool if_exists;       // IF EXISTS or IF NOT EXISTS
    int params_count;     // highest parameter number
};

// The plans of all statements in one SQL text.
struct plan_list {
    struct plan *plans;
    size_t count;
};

struct plan_list *fake_plan_list_create(const char *text);
void fake_plan_list_destroy(struct plan_list *list);

// Bounded cache of plans by SQL text.
struct plan_cache;

struct plan_cache *fake_plan_cache_create(void);
void fake_plan_cache_destroy(struct plan_cache *cache);
// The result is valid until the next call, which may evict it. To keep a
// statement, copy the text and look it up again.
const struct plan_list *fake_plan_cache_get(struct plan_cache *cache,
                                            const char *text);

#endif
