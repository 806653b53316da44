#include "test/fake/upstream_plan.h"

#include <json-c/json.h>
#include <pg_query.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"

typedef struct json_object json;

// State of a compilation. text is needed for zero and negative integers, which
// the JSON form of libpg-query's parse tree omits.
struct compiler {
    const char *text;
    struct plan *plan;
};

static struct expr *expr_compile(struct compiler *compiler, json *node);

static json *
json_get(json *object, const char *key)
{
    json *member = NULL;

    if (json_object_get_type(object) != json_type_object) {
        return NULL;
    }
    json_object_object_get_ex(object, key, &member);
    return member;
}

static const char *
json_get_text(json *object, const char *key)
{
    json *member = json_get(object, key);

    return member == NULL ? NULL : json_object_get_string(member);
}

static size_t
json_count(json *array)
{
    return json_object_get_type(array) == json_type_array
               ? json_object_array_length(array)
               : 0;
}

// Returns the text of the last String node in a list of names.
static const char *
json_get_last_name(json *names)
{
    size_t count = json_count(names);

    if (count == 0) {
        return "";
    }
    json *node = json_object_array_get_idx(names, count - 1);
    const char *text = json_get_text(json_get(node, "String"), "sval");
    return text == NULL ? "" : text;
}

static struct expr *
expr_create(enum expr_kind kind, enum type_oid type, const char *text)
{
    struct expr *expr = xcalloc(1, sizeof(*expr));

    expr->kind = kind;
    expr->type = type;
    expr->text = text == NULL ? NULL : xstrdup(text);
    return expr;
}

static void
expr_destroy(struct expr *expr)
{
    if (expr == NULL) {
        return;
    }
    for (size_t i = 0; i < expr->args_count; i++) {
        expr_destroy(expr->args[i]);
    }
    free(expr->args);
    free(expr->text);
    free(expr->label);
    free(expr);
}

static void
expr_add_arg(struct expr *expr, struct expr *arg)
{
    expr->args =
        xrealloc(expr->args, (expr->args_count + 1) * sizeof(struct expr *));
    expr->args[expr->args_count++] = arg;
}

static void
expr_add_args(struct compiler *compiler, struct expr *expr, json *array)
{
    for (size_t i = 0; i < json_count(array); i++) {
        expr_add_arg(
            expr, expr_compile(compiler, json_object_array_get_idx(array, i)));
    }
}

// Compiles an integer constant. Zero and negative integers have no value in
// the parse tree and are parsed from the SQL text.
static struct expr *
expr_compile_integer(struct compiler *compiler, json *node, json *ival)
{
    json *value = json_get(ival, "ival");
    char text[32];

    if (value != NULL) {
        return expr_create(EXPR_CONST, TYPE_INT4,
                           json_object_get_string(value));
    }
    const char *at =
        compiler->text + json_object_get_int(json_get(node, "location"));
    bool negative = *at == '-';
    at += negative ? 1 : 0;
    (void)snprintf(text, sizeof(text), "%s%lld", negative ? "-" : "",
                   strtoll(at, NULL, 10));
    return expr_create(EXPR_CONST, TYPE_INT4, text);
}

static struct expr *
expr_compile_const(struct compiler *compiler, json *node)
{
    json *part = NULL;

    if (json_get(node, "isnull") != NULL) {
        return expr_create(EXPR_CONST, TYPE_TEXT, NULL);
    }
    if ((part = json_get(node, "sval")) != NULL) {
        const char *text = json_get_text(part, "sval");
        return expr_create(EXPR_CONST, TYPE_TEXT, text == NULL ? "" : text);
    }
    if ((part = json_get(node, "ival")) != NULL) {
        return expr_compile_integer(compiler, node, part);
    }
    if ((part = json_get(node, "fval")) != NULL) {
        return expr_create(EXPR_CONST, TYPE_NUMERIC,
                           json_get_text(part, "fval"));
    }
    part = json_get(node, "boolval");
    return expr_create(EXPR_CONST, TYPE_BOOL,
                       json_get(part, "boolval") != NULL ? "t" : "f");
}

static enum type_oid
type_from_name(const char *name)
{
    static const struct {
        const char *name;
        enum type_oid type;
    } rows[] = {{"int4", TYPE_INT4},
                {"int2", TYPE_INT4},
                {"serial", TYPE_INT4},
                {"int8", TYPE_INT8},
                {"bool", TYPE_BOOL},
                {"numeric", TYPE_NUMERIC},
                {"timestamptz", TYPE_TIMESTAMPTZ},
                {"timestamp", TYPE_TIMESTAMPTZ}};

    for (size_t i = 0; i < ARRAY_SIZE(rows); i++) {
        if (strcmp(rows[i].name, name) == 0) {
            return rows[i].type;
        }
    }
    return TYPE_TEXT;
}

static enum type_oid
type_from_function(const char *name)
{
    static const struct {
        const char *name;
        enum type_oid type;
    } rows[] = {{"pg_is_in_recovery", TYPE_BOOL},
                {"pg_current_wal_lsn", TYPE_LSN},
                {"pg_last_wal_replay_lsn", TYPE_LSN},
                {"pg_promote", TYPE_BOOL},
                {"timeline_id", TYPE_INT4},
                {"pg_sleep", TYPE_VOID},
                {"count", TYPE_INT8},
                {"sum", TYPE_INT8},
                {"pg_backend_pid", TYPE_INT4},
                {"now", TYPE_TIMESTAMPTZ}};

    for (size_t i = 0; i < ARRAY_SIZE(rows); i++) {
        if (strcmp(rows[i].name, name) == 0) {
            return rows[i].type;
        }
    }
    return TYPE_TEXT;
}

static struct expr *
expr_compile_function(struct compiler *compiler, json *node)
{
    const char *name = json_get_last_name(json_get(node, "funcname"));
    struct expr *expr = expr_create(EXPR_FUNC, type_from_function(name), name);

    expr_add_args(compiler, expr, json_get(node, "args"));
    return expr;
}

static struct expr *
expr_compile_column(json *node)
{
    json *fields = json_get(node, "fields");
    json *last = json_object_array_get_idx(fields, json_count(fields) - 1);

    if (json_get(last, "A_Star") != NULL) {
        return expr_create(EXPR_STAR, TYPE_TEXT, NULL);
    }
    return expr_create(EXPR_COLUMN, TYPE_TEXT, json_get_last_name(fields));
}

static struct expr *
expr_compile_operator(struct compiler *compiler, json *node)
{
    const char *kind = json_get_text(node, "kind");
    const char *name = json_get_last_name(json_get(node, "name"));
    json *right = json_get(node, "rexpr");
    struct expr *expr = expr_create(EXPR_BINARY, TYPE_BOOL, name);

    expr_add_arg(expr, expr_compile(compiler, json_get(node, "lexpr")));
    if (strcmp(kind, "AEXPR_IN") == 0) {
        expr->kind = EXPR_IN;
        expr_add_args(compiler, expr,
                      json_get(json_get(right, "List"), "items"));
        return expr;
    }
    expr_add_arg(expr, expr_compile(compiler, right));
    if (strcmp(kind, "AEXPR_OP") != 0) {
        expr->kind = EXPR_UNSUPPORTED;
    }
    if (strcmp(name, "||") == 0) {
        expr->type = TYPE_TEXT;
    }
    else if (strchr("+-*/", name[0]) != NULL) {
        expr->type = TYPE_INT4;
    }
    return expr;
}

static struct expr *
expr_compile_case(struct compiler *compiler, json *node)
{
    json *whens = json_get(node, "args");
    struct expr *expr = expr_create(EXPR_CASE, TYPE_TEXT, "case");

    for (size_t i = 0; i < json_count(whens); i++) {
        json *when = json_get(json_object_array_get_idx(whens, i), "CaseWhen");
        expr_add_arg(expr, expr_compile(compiler, json_get(when, "expr")));
        expr_add_arg(expr, expr_compile(compiler, json_get(when, "result")));
        expr->type = expr->args[expr->args_count - 1]->type;
    }
    expr_add_arg(expr, expr_compile(compiler, json_get(node, "defresult")));
    return expr;
}

static struct expr *
expr_compile_bool(struct compiler *compiler, json *node)
{
    const char *op = json_get_text(node, "boolop");
    struct expr *expr = expr_create(EXPR_AND, TYPE_BOOL, NULL);

    expr_add_args(compiler, expr, json_get(node, "args"));
    if (strcmp(op, "AND_EXPR") != 0) {
        expr->kind = EXPR_UNSUPPORTED;
    }
    return expr;
}

static struct expr *
expr_compile_cast(struct compiler *compiler, json *node)
{
    struct expr *expr = expr_compile(compiler, json_get(node, "arg"));
    json *names = json_get(json_get(node, "typeName"), "names");

    expr->type = type_from_name(json_get_last_name(names));
    return expr;
}

static struct expr *
expr_compile_param(struct compiler *compiler, json *node)
{
    struct expr *expr = expr_create(EXPR_PARAM, TYPE_TEXT, NULL);

    expr->number = json_object_get_int(json_get(node, "number"));
    if (expr->number > compiler->plan->params_count) {
        compiler->plan->params_count = expr->number;
    }
    return expr;
}

// Compiles (function()).field, such as (pg_control_checkpoint()).timeline_id,
// as a call of a function with the field's name.
static struct expr *
expr_compile_field(json *node)
{
    const char *name = json_get_last_name(json_get(node, "indirection"));

    return expr_create(EXPR_FUNC, type_from_function(name), name);
}

static struct expr *
expr_compile_null_test(struct compiler *compiler, json *node)
{
    const char *kind = json_get_text(node, "nulltesttype");
    struct expr *expr = expr_create(EXPR_IS_NULL, TYPE_BOOL, NULL);

    expr->number = kind != NULL && strcmp(kind, "IS_NOT_NULL") == 0;
    expr_add_arg(expr, expr_compile(compiler, json_get(node, "arg")));
    return expr;
}

// Compiles an expression node. Unknown kinds of nodes give EXPR_UNSUPPORTED.
static struct expr *
expr_compile(struct compiler *compiler, json *node)
{
    json *part = NULL;

    if (node == NULL) {
        return expr_create(EXPR_CONST, TYPE_TEXT, NULL);
    }
    if ((part = json_get(node, "A_Const")) != NULL) {
        return expr_compile_const(compiler, part);
    }
    if ((part = json_get(node, "ParamRef")) != NULL) {
        return expr_compile_param(compiler, part);
    }
    if ((part = json_get(node, "ColumnRef")) != NULL) {
        return expr_compile_column(part);
    }
    if ((part = json_get(node, "FuncCall")) != NULL) {
        return expr_compile_function(compiler, part);
    }
    if ((part = json_get(node, "A_Expr")) != NULL) {
        return expr_compile_operator(compiler, part);
    }
    if ((part = json_get(node, "BoolExpr")) != NULL) {
        return expr_compile_bool(compiler, part);
    }
    if ((part = json_get(node, "TypeCast")) != NULL) {
        return expr_compile_cast(compiler, part);
    }
    if ((part = json_get(node, "CaseExpr")) != NULL) {
        return expr_compile_case(compiler, part);
    }
    if ((part = json_get(node, "A_Indirection")) != NULL) {
        return expr_compile_field(part);
    }
    if ((part = json_get(node, "NullTest")) != NULL) {
        return expr_compile_null_test(compiler, part);
    }
    if (json_get(node, "SQLValueFunction") != NULL) {
        return expr_create(EXPR_FUNC, TYPE_TIMESTAMPTZ, "now");
    }
    return expr_create(EXPR_UNSUPPORTED, TYPE_TEXT, NULL);
}

// Returns whether any part of the expression is not supported.
static bool
expr_is_unsupported(const struct expr *expr)
{
    if (expr == NULL) {
        return false;
    }
    if (expr->kind == EXPR_UNSUPPORTED) {
        return true;
    }
    for (size_t i = 0; i < expr->args_count; i++) {
        if (expr_is_unsupported(expr->args[i])) {
            return true;
        }
    }
    return false;
}

static void
plan_set_table(struct plan *plan, json *relation)
{
    json *range = json_get(relation, "RangeVar");
    const char *name =
        json_get_text(range == NULL ? relation : range, "relname");

    if (name != NULL) {
        plan->table = xstrdup(name);
    }
}

static void
plan_set_targets(struct compiler *compiler, json *targets)
{
    struct plan *plan = compiler->plan;
    size_t count = json_count(targets);

    plan->targets = xcalloc(count + 1, sizeof(struct expr *));
    for (size_t i = 0; i < count; i++) {
        json *target =
            json_get(json_object_array_get_idx(targets, i), "ResTarget");
        struct expr *expr = expr_compile(compiler, json_get(target, "val"));
        const char *name = json_get_text(target, "name");
        if (name == NULL) {
            name = expr->kind == EXPR_COLUMN || expr->kind == EXPR_FUNC ||
                           expr->kind == EXPR_CASE
                       ? expr->text
                       : "?column?";
        }
        expr->label = xstrdup(name);
        plan->targets[plan->targets_count++] = expr;
    }
}

static void
plan_set_unsupported(struct plan *plan, const char *what)
{
    plan->kind = PLAN_UNSUPPORTED;
    free(plan->message);
    plan->message =
        xasprintf("the stand-in upstream does not support %s", what);
}

static void
plan_compile_select(struct compiler *compiler, json *node)
{
    static const char *const unsupported[] = {
        "withClause",  "groupClause",  "havingClause", "distinctClause",
        "valuesLists", "windowClause", "intoClause",   "larg"};
    struct plan *plan = compiler->plan;
    json *from = json_get(node, "fromClause");
    json *limit =
        json_get(json_get(json_get(node, "limitCount"), "A_Const"), "ival");

    plan->kind = PLAN_SELECT;
    plan->tag = "SELECT";
    plan_set_targets(compiler, json_get(node, "targetList"));
    plan->where = json_get(node, "whereClause") == NULL
                      ? NULL
                      : expr_compile(compiler, json_get(node, "whereClause"));
    plan->locks_rows = json_get(node, "lockingClause") != NULL;
    plan->limit =
        limit == NULL ? -1 : json_object_get_int64(json_get(limit, "ival"));
    for (size_t i = 0; i < ARRAY_SIZE(unsupported); i++) {
        if (json_get(node, unsupported[i]) != NULL) {
            plan_set_unsupported(plan, unsupported[i]);
            return;
        }
    }
    if (json_count(from) > 1) {
        plan_set_unsupported(plan, "joins");
        return;
    }
    if (json_count(from) == 1) {
        json *item = json_object_array_get_idx(from, 0);
        if (json_get(item, "RangeVar") == NULL) {
            plan_set_unsupported(plan, "joins and functions in FROM");
            return;
        }
        const char *schema =
            json_get_text(json_get(item, "RangeVar"), "schemaname");
        if (schema != NULL && strcmp(schema, "public") != 0) {
            plan_set_unsupported(plan, "catalogue queries");
            return;
        }
        plan_set_table(plan, item);
    }
}

static void
plan_compile_insert(struct compiler *compiler, json *node)
{
    struct plan *plan = compiler->plan;
    json *columns = json_get(node, "cols");
    json *rows = json_get(json_get(json_get(node, "selectStmt"), "SelectStmt"),
                          "valuesLists");
    json *conflict = json_get(node, "onConflictClause");

    plan->kind = PLAN_INSERT;
    plan->tag = "INSERT";
    plan_set_table(plan, json_get(node, "relation"));
    plan->columns_count = json_count(columns);
    plan->columns =
        xcalloc(plan->columns_count + 1, sizeof(struct plan_column));
    for (size_t i = 0; i < plan->columns_count; i++) {
        json *target =
            json_get(json_object_array_get_idx(columns, i), "ResTarget");
        plan->columns[i].name = xstrdup(json_get_text(target, "name"));
    }
    plan->rows_count = json_count(rows);
    for (size_t i = 0; i < plan->rows_count; i++) {
        json *row = json_get(json_object_array_get_idx(rows, i), "List");
        json *items = json_get(row, "items");
        size_t count = json_count(items);
        plan->values = xrealloc(plan->values, (plan->values_count + count) *
                                                  sizeof(struct expr *));
        for (size_t j = 0; j < count; j++) {
            plan->values[plan->values_count++] =
                expr_compile(compiler, json_object_array_get_idx(items, j));
        }
    }
    plan_set_targets(compiler, json_get(node, "returningList"));
    if (plan->rows_count == 0) {
        plan_set_unsupported(plan, "INSERT without VALUES");
    }
    if (conflict != NULL) {
        plan->ignore_conflict = true;
        if (strcmp(json_get_text(conflict, "action"), "ONCONFLICT_NOTHING") !=
            0) {
            plan_set_unsupported(plan, "ON CONFLICT DO UPDATE");
        }
    }
}

static void
plan_compile_update(struct compiler *compiler, json *node)
{
    struct plan *plan = compiler->plan;
    json *targets = json_get(node, "targetList");
    json *where = json_get(node, "whereClause");

    plan->kind = PLAN_UPDATE;
    plan->tag = "UPDATE";
    plan_set_table(plan, json_get(node, "relation"));
    plan->columns_count = plan->values_count = json_count(targets);
    plan->columns =
        xcalloc(plan->columns_count + 1, sizeof(struct plan_column));
    plan->values = xcalloc(plan->values_count + 1, sizeof(struct expr *));
    for (size_t i = 0; i < plan->columns_count; i++) {
        json *target =
            json_get(json_object_array_get_idx(targets, i), "ResTarget");
        plan->columns[i].name = xstrdup(json_get_text(target, "name"));
        plan->values[i] = expr_compile(compiler, json_get(target, "val"));
    }
    plan->where = where == NULL ? NULL : expr_compile(compiler, where);
    plan_set_targets(compiler, json_get(node, "returningList"));
}

static void
plan_compile_delete(struct compiler *compiler, json *node)
{
    struct plan *plan = compiler->plan;
    json *where = json_get(node, "whereClause");

    plan->kind = PLAN_DELETE;
    plan->tag = "DELETE";
    plan_set_table(plan, json_get(node, "relation"));
    plan->where = where == NULL ? NULL : expr_compile(compiler, where);
    plan_set_targets(compiler, json_get(node, "returningList"));
}

static void
plan_add_key(struct plan *plan, const char *name)
{
    plan->key_columns =
        xrealloc(plan->key_columns, (plan->key_count + 1) * sizeof(char *));
    plan->key_columns[plan->key_count++] = xstrdup(name);
}

// Compiles a constraint of a column, or of the table when column is NULL. Only
// defaults and the first primary key or unique constraint are implemented;
// other constraints are ignored.
static void
plan_compile_constraint(struct compiler *compiler, json *node,
                        struct plan_column *column)
{
    struct plan *plan = compiler->plan;
    const char *kind = json_get_text(node, "contype");
    json *keys = json_get(node, "keys");
    bool unique = strcmp(kind, "CONSTR_PRIMARY") == 0 ||
                  strcmp(kind, "CONSTR_UNIQUE") == 0;

    if (column != NULL && strcmp(kind, "CONSTR_DEFAULT") == 0) {
        column->default_expr =
            expr_compile(compiler, json_get(node, "raw_expr"));
    }
    if (!unique || plan->key_count > 0) {
        return;
    }
    if (column != NULL) {
        plan_add_key(plan, column->name);
    }
    for (size_t i = 0; i < json_count(keys); i++) {
        json *key = json_object_array_get_idx(keys, i);
        plan_add_key(plan, json_get_text(json_get(key, "String"), "sval"));
    }
}

static void
plan_compile_column(struct compiler *compiler, json *node)
{
    struct plan *plan = compiler->plan;
    struct plan_column *column = &plan->columns[plan->columns_count++];
    json *constraints = json_get(node, "constraints");
    json *names = json_get(json_get(node, "typeName"), "names");

    column->name = xstrdup(json_get_text(node, "colname"));
    column->type = type_from_name(json_get_last_name(names));
    for (size_t i = 0; i < json_count(constraints); i++) {
        json *item = json_object_array_get_idx(constraints, i);
        plan_compile_constraint(compiler, json_get(item, "Constraint"),
                                column);
    }
}

static void
plan_compile_create(struct compiler *compiler, json *node)
{
    struct plan *plan = compiler->plan;
    json *elements = json_get(node, "tableElts");

    plan->kind = PLAN_CREATE;
    plan->tag = "CREATE TABLE";
    plan->if_exists = json_get(node, "if_not_exists") != NULL;
    plan_set_table(plan, json_get(node, "relation"));
    plan->columns =
        xcalloc(json_count(elements) + 1, sizeof(struct plan_column));
    for (size_t i = 0; i < json_count(elements); i++) {
        json *element = json_object_array_get_idx(elements, i);
        json *column = json_get(element, "ColumnDef");
        json *constraint = json_get(element, "Constraint");
        if (column != NULL) {
            plan_compile_column(compiler, column);
        }
        else if (constraint != NULL) {
            plan_compile_constraint(compiler, constraint, NULL);
        }
    }
}

static void
plan_compile_drop(struct compiler *compiler, json *node)
{
    struct plan *plan = compiler->plan;
    json *objects = json_get(node, "objects");
    json *list = json_get(json_object_array_get_idx(objects, 0), "List");

    plan->kind = PLAN_DROP;
    plan->tag = "DROP TABLE";
    plan->if_exists = json_get(node, "missing_ok") != NULL;
    plan->table = xstrdup(json_get_last_name(json_get(list, "items")));
    if (json_count(objects) != 1) {
        plan_set_unsupported(plan, "DROP of several tables");
    }
}

static void
plan_compile_transaction(struct plan *plan, json *node)
{
    const char *kind = json_get_text(node, "kind");
    json *options = json_get(node, "options");

    if (strcmp(kind, "TRANS_STMT_BEGIN") == 0 ||
        strcmp(kind, "TRANS_STMT_START") == 0) {
        plan->kind = PLAN_BEGIN;
        plan->tag = "BEGIN";
    }
    else if (strcmp(kind, "TRANS_STMT_COMMIT") == 0) {
        plan->kind = PLAN_COMMIT;
        plan->tag = "COMMIT";
    }
    else if (strcmp(kind, "TRANS_STMT_ROLLBACK") == 0) {
        plan->kind = PLAN_ROLLBACK;
        plan->tag = "ROLLBACK";
    }
    else {
        plan_set_unsupported(plan, "savepoints");
    }
    for (size_t i = 0; i < json_count(options); i++) {
        json *option =
            json_get(json_object_array_get_idx(options, i), "DefElem");
        json *value =
            json_get(json_get(json_get(option, "arg"), "A_Const"), "ival");
        if (strcmp(json_get_text(option, "defname"),
                   "transaction_read_only") == 0 &&
            json_get(value, "ival") != NULL) {
            plan->kind = PLAN_BEGIN_READ_ONLY;
        }
    }
}

static void
plan_compile_other(struct plan *plan, const char *name, json *node)
{
    static const struct {
        const char *node;
        const char *tag;
    } ignored[] = {{"VariableSetStmt", "SET"},
                   {"DiscardStmt", "DISCARD ALL"},
                   {"VacuumStmt", "VACUUM"},
                   {"DeallocateStmt", "DEALLOCATE"},
                   {"CheckPointStmt", "CHECKPOINT"}};

    if (strcmp(name, "TruncateStmt") == 0) {
        json *relations = json_get(node, "relations");
        plan->kind = PLAN_TRUNCATE;
        plan->tag = "TRUNCATE TABLE";
        plan_set_table(plan, json_object_array_get_idx(relations, 0));
        if (json_count(relations) != 1) {
            plan_set_unsupported(plan, "TRUNCATE of several tables");
        }
        return;
    }
    for (size_t i = 0; i < ARRAY_SIZE(ignored); i++) {
        if (strcmp(name, ignored[i].node) == 0) {
            plan->kind = PLAN_NO_EFFECT;
            plan->tag = ignored[i].tag;
            return;
        }
    }
    plan_set_unsupported(plan, name);
}

// Marks a plan as unsupported when it contains an unsupported expression.
static void
plan_check(struct plan *plan)
{
    bool unsupported = expr_is_unsupported(plan->where);

    for (size_t i = 0; i < plan->targets_count; i++) {
        unsupported = unsupported || expr_is_unsupported(plan->targets[i]);
    }
    for (size_t i = 0; i < plan->values_count; i++) {
        unsupported = unsupported || expr_is_unsupported(plan->values[i]);
    }
    if (unsupported && plan->kind != PLAN_UNSUPPORTED) {
        plan_set_unsupported(plan, "an expression of this statement");
    }
}

static void
plan_compile(struct plan *plan, const char *text, json *statement)
{
    struct compiler compiler = {.text = text, .plan = plan};
    struct json_object_iterator item = json_object_iter_begin(statement);
    const char *name = json_object_iter_peek_name(&item);
    json *node = json_object_iter_peek_value(&item);

    plan->limit = -1;
    plan->tag = "";
    if (strcmp(name, "SelectStmt") == 0) {
        plan_compile_select(&compiler, node);
    }
    else if (strcmp(name, "InsertStmt") == 0) {
        plan_compile_insert(&compiler, node);
    }
    else if (strcmp(name, "UpdateStmt") == 0) {
        plan_compile_update(&compiler, node);
    }
    else if (strcmp(name, "DeleteStmt") == 0) {
        plan_compile_delete(&compiler, node);
    }
    else if (strcmp(name, "CreateStmt") == 0) {
        plan_compile_create(&compiler, node);
    }
    else if (strcmp(name, "DropStmt") == 0) {
        plan_compile_drop(&compiler, node);
    }
    else if (strcmp(name, "TransactionStmt") == 0) {
        plan_compile_transaction(plan, node);
    }
    else {
        plan_compile_other(plan, name, node);
    }
    plan_check(plan);
}

static void
plan_free(struct plan *plan)
{
    for (size_t i = 0; i < plan->targets_count; i++) {
        expr_destroy(plan->targets[i]);
    }
    for (size_t i = 0; i < plan->values_count; i++) {
        expr_destroy(plan->values[i]);
    }
    for (size_t i = 0; i < plan->columns_count; i++) {
        free(plan->columns[i].name);
        expr_destroy(plan->columns[i].default_expr);
    }
    for (size_t i = 0; i < plan->key_count; i++) {
        free(plan->key_columns[i]);
    }
    expr_destroy(plan->where);
    free(plan->targets);
    free(plan->values);
    free(plan->columns);
    free(plan->key_columns);
    free(plan->table);
    free(plan->message);
}

// Parses and compiles an SQL text with any number of statements. A syntax
// error gives a single plan of the kind PLAN_INVALID.
struct plan_list *
fake_plan_list_create(const char *text)
{
    struct plan_list *list = xcalloc(1, sizeof(*list));
    PgQueryParseResult result = pg_query_parse(text);

    if (result.error != NULL) {
        list->count = 1;
        list->plans = xcalloc(1, sizeof(struct plan));
        list->plans[0].kind = PLAN_INVALID;
        list->plans[0].tag = "";
        list->plans[0].message = xstrdup(result.error->message);
        pg_query_free_parse_result(result);
        return list;
    }
    json *root = json_tokener_parse(result.parse_tree);
    json *statements = json_get(root, "stmts");
    list->count = json_count(statements);
    list->plans = xcalloc(list->count + 1, sizeof(struct plan));
    for (size_t i = 0; i < list->count; i++) {
        json *statement =
            json_get(json_object_array_get_idx(statements, i), "stmt");
        plan_compile(&list->plans[i], text, statement);
    }
    json_object_put(root);
    pg_query_free_parse_result(result);
    return list;
}

// Frees a list with its plans; NULL is ignored.
void
fake_plan_list_destroy(struct plan_list *list)
{
    if (list == NULL) {
        return;
    }
    for (size_t i = 0; i < list->count; i++) {
        plan_free(&list->plans[i]);
    }
    free(list->plans);
    free(list);
}
