#include "catkingrade/entry/classify.h"

#include <json-c/json.h>
#include <pg_query.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/entry/classify_functions.h"
#include "catkingrade/entry/classify_hint.h"
#include "catkingrade/kernel/memory.h"

#define CLASSIFY_MAX_DEPTH       1000
#define CLASSIFY_MAX_PARSE_BYTES (256 * 1024)
#define CLASSIFY_NAME_PREFIX     "catkingrade."
#define CLASSIFY_NAME_PREFIX_LEN (sizeof(CLASSIFY_NAME_PREFIX) - 1)

typedef struct json_object json;

static json *
classify_get_member(json *object, const char *key)
{
    json *member = NULL;

    if (json_object_get_type(object) == json_type_object) {
        json_object_object_get_ex(object, key, &member);
    }
    return member;
}

static const char *
classify_get_member_text(json *object, const char *key)
{
    json *member = classify_get_member(object, key);

    return member == NULL ? "" : json_object_get_string(member);
}

static size_t
classify_get_array_length(json *array)
{
    return json_object_get_type(array) == json_type_array
               ? json_object_array_length(array)
               : 0;
}

// Returns whether a call is of a built-in function that is known to be a
// read. One of another schema is not known.
static bool
classify_is_read_call(json *call)
{
    json *names = classify_get_member(call, "funcname");
    size_t count = classify_get_array_length(names);

    if (count == 0 || count > 2) {
        return false;
    }
    json *last = json_object_array_get_idx(names, count - 1);
    json *first = json_object_array_get_idx(names, 0);
    if (count == 2 && strcmp(classify_get_member_text(
                                 classify_get_member(first, "String"), "sval"),
                             "pg_catalog") != 0) {
        return false;
    }
    return classify_is_read_function(
        classify_get_member_text(classify_get_member(last, "String"), "sval"));
}

// Returns whether a member of the tree is, by its name alone, a write.
static bool
classify_is_write_key(const char *key)
{
    static const char *const keys[] = {"lockingClause", "intoClause",
                                       "InsertStmt",    "UpdateStmt",
                                       "DeleteStmt",    "MergeStmt"};

    for (size_t i = 0; i < ARRAY_SIZE(keys); i++) {
        if (strcmp(key, keys[i]) == 0) {
            return true;
        }
    }
    return false;
}

// Returns whether nothing in a tree writes, locks, or calls a function that
// is not known. A tree that is too deep is not known either.
static bool
classify_is_read_tree(json *node, unsigned depth)
{
    if (depth > CLASSIFY_MAX_DEPTH) {
        return false;
    }
    if (json_object_get_type(node) == json_type_array) {
        for (size_t i = 0; i < json_object_array_length(node); i++) {
            if (!classify_is_read_tree(json_object_array_get_idx(node, i),
                                       depth + 1)) {
                return false;
            }
        }
        return true;
    }
    if (json_object_get_type(node) != json_type_object) {
        return true;
    }
    json_object_object_foreach(node, key, member)
    {
        if (classify_is_write_key(key) ||
            (strcmp(key, "FuncCall") == 0 && !classify_is_read_call(member)) ||
            !classify_is_read_tree(member, depth + 1)) {
            return false;
        }
    }
    return true;
}

// EXPLAIN runs its statement only with ANALYZE, in whatever form.
static enum classify_kind
classify_explain(json *node)
{
    json *options = classify_get_member(node, "options");

    for (size_t i = 0; i < classify_get_array_length(options); i++) {
        json *option = classify_get_member(
            json_object_array_get_idx(options, i), "DefElem");
        if (strcmp(classify_get_member_text(option, "defname"), "analyze") ==
            0) {
            json *query = classify_get_member(node, "query");
            bool is_read = classify_get_member(query, "SelectStmt") != NULL &&
                           classify_is_read_tree(query, 0);
            return is_read ? CLASSIFY_READ : CLASSIFY_WRITE;
        }
    }
    return CLASSIFY_READ;
}

static enum classify_kind
classify_begin(json *node)
{
    json *options = classify_get_member(node, "options");
    enum classify_kind kind = CLASSIFY_BEGIN;

    for (size_t i = 0; i < classify_get_array_length(options); i++) {
        json *option = classify_get_member(
            json_object_array_get_idx(options, i), "DefElem");
        json *constant =
            classify_get_member(classify_get_member(option, "arg"), "A_Const");
        if (strcmp(classify_get_member_text(option, "defname"),
                   "transaction_read_only") == 0) {
            kind = classify_get_member(classify_get_member(constant, "ival"),
                                       "ival") != NULL
                       ? CLASSIFY_BEGIN_READ_ONLY
                       : CLASSIFY_BEGIN;
        }
    }
    return kind;
}

static enum classify_kind
classify_transaction(json *node)
{
    static const struct {
        const char *name;
        enum classify_kind kind;
    } rows[] = {{"TRANS_STMT_COMMIT", CLASSIFY_COMMIT},
                {"TRANS_STMT_ROLLBACK", CLASSIFY_ROLLBACK},
                {"TRANS_STMT_SAVEPOINT", CLASSIFY_SAVEPOINT},
                {"TRANS_STMT_RELEASE", CLASSIFY_SAVEPOINT},
                {"TRANS_STMT_ROLLBACK_TO", CLASSIFY_SAVEPOINT}};
    const char *name = classify_get_member_text(node, "kind");

    if (strcmp(name, "TRANS_STMT_BEGIN") == 0 ||
        strcmp(name, "TRANS_STMT_START") == 0) {
        return classify_begin(node);
    }
    for (size_t i = 0; i < ARRAY_SIZE(rows); i++) {
        if (strcmp(name, rows[i].name) == 0) {
            return rows[i].kind;
        }
    }
    return CLASSIFY_WRITE;
}

// Copies an integer of SET. Zero and negative ones have no value in the tree
// and are read from the text.
static void
classify_copy_integer(json *constant, json *value, const char *text,
                      struct classification *result)
{
    if (value != NULL) {
        (void)snprintf(result->value, sizeof(result->value), "%s",
                       json_object_get_string(value));
        return;
    }
    int place = json_object_get_int(classify_get_member(constant, "location"));
    size_t length = strlen(text);
    const char *at = text + ((size_t)place < length ? (size_t)place : length);
    bool negative = *at == '-';
    long long number = strtoll(at + (negative ? 1 : 0), NULL, 10);
    (void)snprintf(result->value, sizeof(result->value), "%s%lld",
                   negative ? "-" : "", number);
}

static void
classify_copy_value(json *node, const char *text,
                    struct classification *result)
{
    json *args = classify_get_member(node, "args");
    json *first = classify_get_array_length(args) == 0
                      ? NULL
                      : json_object_array_get_idx(args, 0);
    json *constant = classify_get_member(first, "A_Const");
    json *part = NULL;

    if ((part = classify_get_member(constant, "ival")) != NULL) {
        classify_copy_integer(constant, classify_get_member(part, "ival"),
                              text, result);
    }
    else if ((part = classify_get_member(constant, "fval")) != NULL) {
        (void)snprintf(result->value, sizeof(result->value), "%s",
                       classify_get_member_text(part, "fval"));
    }
    else if ((part = classify_get_member(constant, "boolval")) != NULL) {
        (void)snprintf(result->value, sizeof(result->value), "%s",
                       classify_get_member(part, "boolval") != NULL ? "on"
                                                                    : "off");
    }
    else {
        part = classify_get_member(constant, "sval");
        (void)snprintf(result->value, sizeof(result->value), "%s",
                       classify_get_member_text(part, "sval"));
    }
}

// SET and SHOW of catkingrade's own names are answered by the entry; their
// name and value are copied.
static enum classify_kind
classify_variable(json *node, const char *text, bool is_set,
                  struct classification *result)
{
    const char *name = classify_get_member_text(node, "name");

    if (strncmp(name, CLASSIFY_NAME_PREFIX, CLASSIFY_NAME_PREFIX_LEN) != 0) {
        return is_set ? CLASSIFY_SET : CLASSIFY_WRITE;
    }
    (void)snprintf(result->name, sizeof(result->name), "%s",
                   name + CLASSIFY_NAME_PREFIX_LEN);
    if (!is_set) {
        return CLASSIFY_SHOW_CATKINGRADE;
    }
    classify_copy_value(node, text, result);
    return CLASSIFY_SET_CATKINGRADE;
}

static bool
classify_is_session_state(const char *name)
{
    static const char *const names[] = {"DiscardStmt", "ListenStmt",
                                        "UnlistenStmt", "PrepareStmt",
                                        "DeallocateStmt"};

    for (size_t i = 0; i < ARRAY_SIZE(names); i++) {
        if (strcmp(name, names[i]) == 0) {
            return true;
        }
    }
    return false;
}

// Classifies one statement of the tree.
static enum classify_kind
classify_statement(json *statement, const char *text,
                   struct classification *result)
{
    struct json_object_iterator item = json_object_iter_begin(statement);
    const char *name = json_object_iter_peek_name(&item);
    json *node = json_object_iter_peek_value(&item);

    if (strcmp(name, "SelectStmt") == 0) {
        return classify_is_read_tree(node, 0) ? CLASSIFY_READ : CLASSIFY_WRITE;
    }
    if (strcmp(name, "TransactionStmt") == 0) {
        return classify_transaction(node);
    }
    if (strcmp(name, "VariableSetStmt") == 0) {
        return classify_variable(node, text, true, result);
    }
    if (strcmp(name, "VariableShowStmt") == 0) {
        return classify_variable(node, text, false, result);
    }
    if (strcmp(name, "ExplainStmt") == 0) {
        return classify_explain(node);
    }
    if (strcmp(name, "CopyStmt") == 0) {
        return CLASSIFY_COPY;
    }
    return classify_is_session_state(name) ? CLASSIFY_SET : CLASSIFY_WRITE;
}

static void
classify_statements(json *statements, const char *text,
                    struct classification *result)
{
    size_t count = classify_get_array_length(statements);

    result->statements = (unsigned)count;
    result->only_reads = true;
    result->kind = CLASSIFY_EMPTY;
    for (size_t i = 0; i < count; i++) {
        json *statement = classify_get_member(
            json_object_array_get_idx(statements, i), "stmt");
        enum classify_kind kind = classify_statement(statement, text, result);
        result->only_reads = result->only_reads && kind == CLASSIFY_READ;
        result->kind = kind;
    }
    if (count > 1) {
        result->kind = result->only_reads ? CLASSIFY_READ : CLASSIFY_WRITE;
        result->name[0] = '\0';
        result->value[0] = '\0';
    }
}

// Walks the parse tree of a text that ends with a zero byte. What can't be
// walked stays a write.
static void
classify_parse(const char *text, struct classification *result)
{
    PgQueryParseResult parsed = pg_query_parse(text);
    struct json_tokener *tokener = json_tokener_new_ex(CLASSIFY_MAX_DEPTH);

    if (parsed.error != NULL) {
        result->kind = CLASSIFY_INVALID;
    }
    else if (tokener != NULL) {
        json *root = json_tokener_parse_ex(tokener, parsed.parse_tree,
                                           (int)strlen(parsed.parse_tree));
        if (root != NULL) {
            classify_statements(classify_get_member(root, "stmts"), text,
                                result);
        }
        json_object_put(root);
    }
    json_tokener_free(tokener);
    pg_query_free_parse_result(parsed);
}

// Classifies a text without its leading hint, and without a cache. A text
// that is too long to parse counts as several statements that write.
void
classify_text_without_hint(const char *text, size_t size_bytes,
                           struct classification *result)
{
    memset(result, 0, sizeof(*result));
    result->kind = CLASSIFY_WRITE;
    result->hint_max_age_ms = -1;
    result->hint_deadline_ms = -1;
    result->hint_repeatable = -1;
    if (size_bytes > CLASSIFY_MAX_PARSE_BYTES) {
        result->statements = 2;
        return;
    }
    if (memchr(text, 0, size_bytes) != NULL) {
        result->kind = CLASSIFY_INVALID;
        return;
    }
    char *copy = xmemdupz(text, size_bytes);
    classify_parse(copy, result);
    free(copy);
}

// Classifies a text with its leading hint, without a cache.
void
classify_text(const char *text, size_t size_bytes,
              struct classification *result)
{
    size_t hint_size_bytes = classify_hint_get_size(text, size_bytes);

    classify_text_without_hint(text + hint_size_bytes,
                               size_bytes - hint_size_bytes, result);
    classify_hint_parse(text, hint_size_bytes, result);
}
