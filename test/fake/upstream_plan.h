#ifndef TEST_FAKE_UPSTREAM_PLAN_H
#define TEST_FAKE_UPSTREAM_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

// Type numbers of the protocol.
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
    EXPR_CONST, // text, or NULL for a null
    EXPR_PARAM, // number from 1
    EXPR_COLUMN,
    EXPR_STAR,
    EXPR_FUNC,
    EXPR_BINARY, // text is the operator; two args
    EXPR_IN,     // args[0] IN args[1..]
    EXPR_AND,
    EXPR_IS_NULL,
    EXPR_CASE, // condition, result, ... , default
    EXPR_UNSUPPORTED,
};

struct expr {
    enum expr_kind kind;
    enum type_oid type;
    char *text;
    char *label; // output name
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
    PLAN_NO_EFFECT, // tag says what was ignored
    PLAN_UNSUPPORTED,
    PLAN_INVALID, // message holds the parser's words
};

struct plan_column {
    char *name;
    enum type_oid type;
    struct expr *default_expr; // DEFAULT, or NULL
};

// One statement, compiled from the parse tree of libpg-query.
struct plan {
    enum plan_kind kind;
    char *table; // NULL for a SELECT without FROM
    const char *tag;
    char *message;
    struct expr **targets; // SELECT and RETURNING
    size_t targets_count;
    struct expr *where;
    bool locks_rows;
    long limit; // -1: none
    struct plan_column *columns;
    size_t columns_count;
    char **
        key_columns; // CREATE: the primary key, or the first unique constraint
    size_t key_count;
    struct expr **values; // INSERT: rows one after the other; UPDATE: new ones
    size_t values_count;
    size_t rows_count;
    bool ignore_conflict; // ON CONFLICT DO NOTHING
    bool if_exists;       // or IF NOT EXISTS
    int params_count;
};

// The statements of one text.
struct plan_list {
    struct plan *plans;
    size_t count;
};

struct plan_list *fake_plan_list_create(const char *text);
void fake_plan_list_destroy(struct plan_list *list);

// A bounded cache by text.
struct plan_cache;

struct plan_cache *fake_plan_cache_create(void);
void fake_plan_cache_destroy(struct plan_cache *cache);
// Valid until the next call; hold it by copying the text, not the pointer.
const struct plan_list *fake_plan_cache_get(struct plan_cache *cache,
                                            const char *text);

#endif
