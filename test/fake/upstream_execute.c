#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"
#include "test/fake/upstream_eval.h"
#include "test/fake/upstream_session.h"

// Executes compiled statements of a session and appends the results to its
// output.

#define EXECUTE_LOCK_TIMEOUT_US 5000000
#define EXECUTE_US_PER_SECOND   1000000.0

// The rows that match the WHERE clause of a statement.
struct matches {
    struct row **rows;
    size_t count;
    size_t capacity;
    bool blocked; // another transaction has locked one of the rows
};

// Returns the result type of a target; max() and min() have their argument's.
static enum type_oid
target_get_type(const struct table *table, const struct expr *target)
{
    const struct expr *expr = target;

    if (expr->kind == EXPR_FUNC && expr->args_count == 1 &&
        (strcmp(expr->text, "max") == 0 || strcmp(expr->text, "min") == 0)) {
        expr = expr->args[0];
    }
    int column_index = expr->kind == EXPR_COLUMN && table != NULL
                           ? fake_table_find_column(table, expr->text)
                           : -1;
    return column_index < 0 ? expr->type : table->columns[column_index].type;
}

static void
session_append_field(struct session *session, const char *name,
                     enum type_oid type)
{
    int16_t size = type == TYPE_INT4   ? 4
                   : type == TYPE_INT8 ? 8
                   : type == TYPE_BOOL ? 1
                                       : -1;

    buffer_append(&session->out, name, strlen(name) + 1);
    buffer_append_be32(&session->out, 0);
    buffer_append_be16(&session->out, 0);
    buffer_append_be32(&session->out, type);
    buffer_append_be16(&session->out, (uint16_t)size);
    buffer_append_be32(&session->out, UINT32_MAX);
    buffer_append_be16(&session->out, 0);
}

static size_t
plan_count_fields(const struct plan *plan, const struct table *table)
{
    size_t count = 0;

    for (size_t i = 0; i < plan->targets_count; i++) {
        bool is_star = plan->targets[i]->kind == EXPR_STAR;
        count += is_star && table != NULL ? table->columns_count : 1;
    }
    return count;
}

// Appends a RowDescription message. Returns false when the plan returns no
// rows.
bool
fake_session_append_description(struct session *session,
                                const struct plan *plan)
{
    const struct table *table =
        plan->table == NULL ? NULL
                            : fake_database_find_table(
                                  &session->upstream->database, plan->table);

    if (plan->targets_count == 0) {
        return false;
    }
    size_t start = fake_session_frame_begin(session, 'T');
    buffer_append_be16(&session->out,
                       (uint16_t)plan_count_fields(plan, table));
    for (size_t i = 0; i < plan->targets_count; i++) {
        const struct expr *target = plan->targets[i];
        if (target->kind != EXPR_STAR || table == NULL) {
            session_append_field(session,
                                 target->label == NULL ? "" : target->label,
                                 target_get_type(table, target));
            continue;
        }
        for (size_t j = 0; j < table->columns_count; j++) {
            session_append_field(session, table->columns[j].name,
                                 table->columns[j].type);
        }
    }
    fake_session_frame_end(session, start);
    return true;
}

static void
session_append_value(struct session *session, const char *value)
{
    if (value == NULL) {
        buffer_append_be32(&session->out, UINT32_MAX);
        return;
    }
    buffer_append_be32(&session->out, (uint32_t)strlen(value));
    buffer_append(&session->out, value, strlen(value));
}

static void
execute_append_row(const struct eval *eval, const struct plan *plan)
{
    struct session *session = eval->session;
    const struct table *table = eval->table;
    size_t start = fake_session_frame_begin(session, 'D');

    buffer_append_be16(&session->out,
                       (uint16_t)plan_count_fields(plan, table));
    for (size_t i = 0; i < plan->targets_count; i++) {
        if (plan->targets[i]->kind != EXPR_STAR || table == NULL) {
            char *value = fake_eval_expr(eval, plan->targets[i]);
            session_append_value(session, value);
            free(value);
            continue;
        }
        for (size_t j = 0; j < table->columns_count; j++) {
            session_append_value(session, eval->values[j]);
        }
    }
    fake_session_frame_end(session, start);
}

static void
session_append_complete(struct session *session, const char *tag)
{
    size_t start = fake_session_frame_begin(session, 'C');

    buffer_append(&session->out, tag, strlen(tag) + 1);
    fake_session_frame_end(session, start);
}

// Appends CommandComplete with a row count, such as "INSERT 0 1".
static void
execute_append_complete_with_count(struct session *session, const char *tag,
                                   size_t count)
{
    char text[64];
    const char *oid = strcmp(tag, "INSERT") == 0 ? "0 " : "";

    (void)snprintf(text, sizeof(text), "%s %s%zu", tag, oid, count);
    session_append_complete(session, text);
}

// Returns the value that the WHERE clause requires of a single-column key, or
// NULL when it has no such condition. The caller frees the value.
static char *
execute_find_key_value(const struct eval *eval, const struct expr *where)
{
    const struct table *table = eval->table;

    if (where == NULL || table->key_count != 1) {
        return NULL;
    }
    for (size_t i = 0; where->kind == EXPR_AND && i < where->args_count; i++) {
        char *value = execute_find_key_value(eval, where->args[i]);
        if (value != NULL) {
            return value;
        }
    }
    const struct column *column = &table->columns[table->key_columns[0]];
    if (where->kind != EXPR_BINARY || strcmp(where->text, "=") != 0 ||
        where->args[0]->kind != EXPR_COLUMN ||
        strcmp(where->args[0]->text, column->name) != 0 ||
        (where->args[1]->kind != EXPR_CONST &&
         where->args[1]->kind != EXPR_PARAM)) {
        return NULL;
    }
    char *value = fake_eval_expr(eval, where->args[1]);
    return fake_eval_convert(eval, column->type, value);
}

static void
matches_add(struct matches *matches, struct row *row)
{
    if (matches->count == matches->capacity) {
        matches->capacity = matches->capacity * 2 + 16;
        matches->rows =
            xrealloc(matches->rows, matches->capacity * sizeof(struct row *));
    }
    matches->rows[matches->count++] = row;
}

static void
execute_match_row(struct eval *eval, const struct plan *plan, struct row *row,
                  bool for_change, struct matches *matches)
{
    struct transaction *transaction = &eval->session->transaction;

    eval->values = fake_row_get_values(row, transaction);
    if (eval->values == NULL ||
        (plan->where != NULL && !fake_eval_is_true(eval, plan->where))) {
        return;
    }
    if (for_change && !fake_row_is_lockable(row, transaction)) {
        matches->blocked = true;
    }
    matches_add(matches, row);
}

// Finds the rows that match the WHERE clause: by a key lookup when the clause
// fixes the key, else by a full scan.
static void
execute_match(struct eval *eval, const struct plan *plan, bool for_change,
              struct matches *matches)
{
    struct session *session = eval->session;
    const struct table *table = eval->table;
    char *key = execute_find_key_value(eval, plan->where);

    if (key != NULL) {
        struct row *row = fake_table_get_bucket(table, key);
        for (; row != NULL && session->error == NULL;
             row = row->next_in_bucket) {
            execute_match_row(eval, plan, row, for_change, matches);
        }
        free(key);
        return;
    }
    for (size_t i = 0; i < table->rows_count && session->error == NULL; i++) {
        if (table->rows[i] != NULL) {
            execute_match_row(eval, plan, table->rows[i], for_change, matches);
        }
    }
}

// Suspends the statement until another transaction releases its row locks.
// Deadlocks are not detected: instead, a statement that has waited for
// EXECUTE_LOCK_TIMEOUT_US fails with SQLSTATE 40P01 (deadlock detected).
static enum execute_result
execute_wait_for_lock(struct session *session)
{
    int64_t now_us = loop_get_now_us(session->upstream->loop);

    if (session->lock_deadline_us == 0) {
        session->lock_deadline_us = now_us + EXECUTE_LOCK_TIMEOUT_US;
    }
    if (now_us >= session->lock_deadline_us) {
        fake_session_set_error(session, "40P01", "deadlock detected");
        return EXECUTE_ERROR;
    }
    session->waits_for_lock = true;
    session->resume_at_us = session->lock_deadline_us;
    return EXECUTE_WAIT;
}

static enum execute_result
execute_get_result(const struct session *session)
{
    return session->error == NULL ? EXECUTE_DONE : EXECUTE_ERROR;
}

static bool
expr_is_aggregate(const struct expr *expr)
{
    static const char *const names[] = {"count", "sum", "max", "min"};

    for (size_t i = 0; expr->kind == EXPR_FUNC && i < ARRAY_SIZE(names); i++) {
        if (strcmp(expr->text, names[i]) == 0) {
            return true;
        }
    }
    return false;
}

static char *
execute_aggregate(struct eval *eval, const struct expr *expr,
                  const struct matches *matches)
{
    bool is_count = strcmp(expr->text, "count") == 0;
    bool is_sum = strcmp(expr->text, "sum") == 0;
    long long total = 0;
    char *best = NULL;

    if (is_count && expr->args_count == 0) {
        return xasprintf("%zu", matches->count);
    }
    for (size_t i = 0; i < matches->count; i++) {
        eval->values =
            fake_row_get_values(matches->rows[i], &eval->session->transaction);
        char *value = fake_eval_expr(eval, expr->args[0]);
        if (value == NULL) {
            continue;
        }
        total += is_count ? 1 : strtoll(value, NULL, 10);
        int order = best == NULL ? 0 : fake_eval_compare(value, best);
        bool better = best == NULL ||
                      (strcmp(expr->text, "max") == 0 ? order > 0 : order < 0);
        if (better) {
            free(best);
            best = value;
        }
        else {
            free(value);
        }
    }
    if (is_count || (is_sum && best != NULL)) {
        free(best);
        return xasprintf("%lld", total);
    }
    return best;
}

static void
execute_append_aggregates(struct eval *eval, const struct plan *plan,
                          const struct matches *matches)
{
    struct session *session = eval->session;
    size_t start = fake_session_frame_begin(session, 'D');

    buffer_append_be16(&session->out, (uint16_t)plan->targets_count);
    for (size_t i = 0; i < plan->targets_count; i++) {
        char *value = NULL;
        if (expr_is_aggregate(plan->targets[i])) {
            value = execute_aggregate(eval, plan->targets[i], matches);
        }
        else {
            fake_session_set_error(session, "0A000",
                                   "the stand-in upstream has no GROUP BY");
        }
        session_append_value(session, value);
        free(value);
    }
    fake_session_frame_end(session, start);
}

// Ends a statement. After an error, discards the statement's output, so that
// the client receives only the error. out_size is the size of the output
// before the statement.
static enum execute_result
execute_finish(struct session *session, size_t out_size)
{
    if (session->error != NULL) {
        size_t extra = buffer_get_size(&session->out) - out_size;
        session->out.end -= extra;
    }
    return execute_get_result(session);
}

static enum execute_result
execute_select_rows(struct eval *eval, struct table *table,
                    const struct plan *plan, bool describe)
{
    struct session *session = eval->session;
    struct matches matches = {0};
    size_t out_size = buffer_get_size(&session->out);

    execute_match(eval, plan, plan->locks_rows, &matches);
    if (matches.blocked && session->error == NULL) {
        free(matches.rows);
        return execute_wait_for_lock(session);
    }
    if (describe) {
        fake_session_append_description(session, plan);
    }
    bool aggregate =
        plan->targets_count > 0 && expr_is_aggregate(plan->targets[0]);
    size_t count = matches.count;
    if (plan->limit >= 0 && count > (size_t)plan->limit) {
        count = (size_t)plan->limit;
    }
    for (size_t i = 0; !aggregate && i < count; i++) {
        struct row *row = matches.rows[i];
        if (plan->locks_rows) {
            fake_table_lock_row(table, &session->transaction, row);
        }
        eval->values = fake_row_get_values(row, &session->transaction);
        execute_append_row(eval, plan);
    }
    if (aggregate) {
        execute_append_aggregates(eval, plan, &matches);
        count = 1;
    }
    free(matches.rows);
    execute_append_complete_with_count(session, "SELECT", count);
    return execute_finish(session, out_size);
}

// Returns the total of the pg_sleep() calls among the targets, in seconds.
static double
plan_get_sleep_s(const struct eval *eval, const struct plan *plan)
{
    double seconds = 0;

    for (size_t i = 0; i < plan->targets_count; i++) {
        const struct expr *target = plan->targets[i];
        if (target->kind == EXPR_FUNC && target->args_count == 1 &&
            strcmp(target->text, "pg_sleep") == 0) {
            char *value = fake_eval_expr(eval, target->args[0]);
            seconds += value == NULL ? 0 : strtod(value, NULL);
            free(value);
        }
    }
    return seconds;
}

static enum execute_result
execute_select(struct eval *eval, struct table *table, const struct plan *plan,
               bool describe)
{
    struct session *session = eval->session;
    double sleep_s = plan_get_sleep_s(eval, plan);

    if (sleep_s > 0 && session->resume_at_us == 0) {
        session->resume_at_us = loop_get_now_us(session->upstream->loop) +
                                (int64_t)(sleep_s * EXECUTE_US_PER_SECOND);
        return EXECUTE_WAIT;
    }
    if (table != NULL) {
        return execute_select_rows(eval, table, plan, describe);
    }
    size_t out_size = buffer_get_size(&session->out);
    if (describe) {
        fake_session_append_description(session, plan);
    }
    bool holds = plan->where == NULL || fake_eval_is_true(eval, plan->where);
    if (holds) {
        execute_append_row(eval, plan);
    }
    execute_append_complete_with_count(session, "SELECT", holds ? 1 : 0);
    return execute_finish(session, out_size);
}

static void
values_free_row(const struct table *table, char **values)
{
    for (size_t i = 0; i < table->columns_count; i++) {
        free(values[i]);
    }
    free(values);
}

// Builds the values of one row of an INSERT. Returns NULL on error.
static char **
execute_build_insert(const struct eval *eval, const struct plan *plan,
                     size_t row_index)
{
    const struct table *table = eval->table;
    size_t width = plan->values_count / plan->rows_count;
    char **values = xcalloc(table->columns_count + 1, sizeof(char *));

    for (size_t i = 0; i < table->columns_count; i++) {
        const char *default_value = table->columns[i].default_value;
        values[i] = default_value == NULL ? NULL : xstrdup(default_value);
    }
    for (size_t i = 0; i < width && eval->session->error == NULL; i++) {
        int column_index =
            plan->columns_count == 0
                ? (int)i
                : fake_table_find_column(table, plan->columns[i].name);
        if (column_index < 0 || (size_t)column_index >= table->columns_count) {
            fake_session_set_error(eval->session, "42703",
                                   "no such column in %s", table->name);
            break;
        }
        free(values[column_index]);
        values[column_index] = fake_eval_convert(
            eval, table->columns[column_index].type,
            fake_eval_expr(eval, plan->values[row_index * width + i]));
    }
    if (eval->session->error != NULL) {
        values_free_row(table, values);
        return NULL;
    }
    return values;
}

// Inserts one row. Returns NULL on error or when a row with the same key
// exists, to which conflict is set. A row that the same transaction has
// deleted is reused.
static struct row *
execute_insert_row(struct eval *eval, struct table *table,
                   const struct plan *plan, size_t row_index,
                   struct row **conflict)
{
    struct session *session = eval->session;
    char **values = execute_build_insert(eval, plan, row_index);

    if (values == NULL) {
        return NULL;
    }
    *conflict = fake_table_find_key(table, values);
    if (*conflict != NULL) {
        bool deleted = (*conflict)->owner == &session->transaction &&
                       (*conflict)->changed && (*conflict)->pending == NULL;
        if (deleted) {
            fake_table_change_row(table, &session->transaction, *conflict,
                                  values);
            struct row *row = *conflict;
            *conflict = NULL;
            return row;
        }
        values_free_row(table, values);
        return NULL;
    }
    return fake_table_insert_row(table, &session->transaction, values);
}

// Rolls back the rows of an INSERT that has to wait for a lock and will run
// again. These are the last rows of the transaction, from index first on.
static void
execute_rollback_inserts(struct session *session, size_t first)
{
    struct transaction *transaction = &session->transaction;
    struct transaction undone = {0};

    undone.rows_count = transaction->rows_count - first;
    undone.rows = xcalloc(undone.rows_count + 1, sizeof(struct owned_row));
    memcpy(undone.rows, transaction->rows + first,
           undone.rows_count * sizeof(struct owned_row));
    transaction->rows_count = first;
    fake_transaction_rollback(&undone);
}

static enum execute_result
execute_insert(struct eval *eval, struct table *table, const struct plan *plan,
               bool describe)
{
    struct session *session = eval->session;
    size_t first = session->transaction.rows_count;
    size_t out_size = buffer_get_size(&session->out);
    size_t count = 0;

    if (describe) {
        fake_session_append_description(session, plan);
    }
    for (size_t i = 0; i < plan->rows_count && session->error == NULL; i++) {
        struct row *conflict = NULL;
        struct row *row = execute_insert_row(eval, table, plan, i, &conflict);
        if (conflict != NULL &&
            !fake_row_is_lockable(conflict, &session->transaction)) {
            session->out.end -= buffer_get_size(&session->out) - out_size;
            execute_rollback_inserts(session, first);
            return execute_wait_for_lock(session);
        }
        if (conflict != NULL && !plan->ignore_conflict) {
            fake_session_set_error(session, "23505",
                                   "duplicate key value violates the unique "
                                   "constraint of \"%s\"",
                                   table->name);
        }
        if (row != NULL) {
            count++;
            eval->values = row->pending;
            if (plan->targets_count > 0) {
                execute_append_row(eval, plan);
            }
        }
    }
    execute_append_complete_with_count(session, "INSERT", count);
    return execute_finish(session, out_size);
}

// Builds the new values of a row for UPDATE. Returns NULL on error.
static char **
execute_build_update(struct eval *eval, const struct plan *plan)
{
    const struct table *table = eval->table;
    char **values = xcalloc(table->columns_count + 1, sizeof(char *));

    for (size_t i = 0; i < table->columns_count; i++) {
        values[i] = eval->values[i] == NULL ? NULL : xstrdup(eval->values[i]);
    }
    for (size_t i = 0; i < plan->columns_count; i++) {
        int column_index =
            fake_table_find_column(table, plan->columns[i].name);
        if (column_index < 0) {
            fake_session_set_error(eval->session, "42703",
                                   "column \"%s\" does not exist",
                                   plan->columns[i].name);
            break;
        }
        free(values[column_index]);
        values[column_index] =
            fake_eval_convert(eval, table->columns[column_index].type,
                              fake_eval_expr(eval, plan->values[i]));
    }
    if (eval->session->error != NULL) {
        values_free_row(table, values);
        return NULL;
    }
    return values;
}

static bool
plan_changes_key(const struct plan *plan, const struct table *table)
{
    for (size_t i = 0; i < plan->columns_count; i++) {
        for (size_t j = 0; j < table->key_count; j++) {
            if (strcmp(plan->columns[i].name,
                       table->columns[table->key_columns[j]].name) == 0) {
                return true;
            }
        }
    }
    return false;
}

static void
execute_change_row(struct eval *eval, struct table *table,
                   const struct plan *plan, struct row *row)
{
    struct session *session = eval->session;
    char **values = NULL;

    eval->values = fake_row_get_values(row, &session->transaction);
    if (plan->kind == PLAN_UPDATE) {
        values = execute_build_update(eval, plan);
        if (values == NULL) {
            return;
        }
    }
    else if (plan->targets_count > 0) {
        execute_append_row(eval, plan);
    }
    fake_table_change_row(table, &session->transaction, row, values);
    eval->values = values;
    if (values != NULL && plan->targets_count > 0) {
        execute_append_row(eval, plan);
    }
}

// Runs UPDATE, DELETE and TRUNCATE. All matching rows must be lockable before
// the first one changes, so that a statement never waits when it is half done.
static enum execute_result
execute_change(struct eval *eval, struct table *table, const struct plan *plan,
               bool describe)
{
    struct session *session = eval->session;
    struct matches matches = {0};
    size_t out_size = buffer_get_size(&session->out);

    if (plan->kind == PLAN_UPDATE && plan_changes_key(plan, table)) {
        fake_session_set_error(session, "0A000",
                               "the stand-in upstream does not change keys");
        return EXECUTE_ERROR;
    }
    execute_match(eval, plan, true, &matches);
    if (matches.blocked && session->error == NULL) {
        free(matches.rows);
        return execute_wait_for_lock(session);
    }
    if (describe) {
        fake_session_append_description(session, plan);
    }
    for (size_t i = 0; i < matches.count && session->error == NULL; i++) {
        execute_change_row(eval, table, plan, matches.rows[i]);
    }
    free(matches.rows);
    if (plan->kind == PLAN_TRUNCATE) {
        session_append_complete(session, plan->tag);
    }
    else {
        execute_append_complete_with_count(session, plan->tag, matches.count);
    }
    return execute_finish(session, out_size);
}

static bool
table_has_locked_rows(const struct table *table)
{
    for (size_t i = 0; i < table->rows_count; i++) {
        if (table->rows[i] != NULL && table->rows[i]->owner != NULL) {
            return true;
        }
    }
    return false;
}

static void
execute_create_table(struct eval *eval, const struct plan *plan)
{
    struct upstream *upstream = eval->session->upstream;
    struct table *table =
        fake_database_add_table(&upstream->database, plan->table,
                                plan->columns_count, plan->key_count);
    struct buffer ops = {0};

    for (size_t i = 0; i < plan->columns_count; i++) {
        const struct plan_column *column = &plan->columns[i];
        table->columns[i].name = xstrdup(column->name);
        table->columns[i].type = column->type;
        table->columns[i].default_value =
            column->default_expr == NULL
                ? NULL
                : fake_eval_expr(eval, column->default_expr);
    }
    for (size_t i = 0; i < plan->key_count; i++) {
        int column_index = fake_table_find_column(table, plan->key_columns[i]);
        table->key_columns[i] = column_index < 0 ? 0 : (size_t)column_index;
    }
    fake_database_encode_create(table, &ops);
    fake_upstream_write_log(upstream, &ops);
    buffer_free(&ops);
}

// Runs CREATE TABLE and DROP TABLE. They take effect and are logged at once,
// independently of the session's transaction.
static enum execute_result
execute_ddl(struct eval *eval, struct table *table, const struct plan *plan)
{
    struct session *session = eval->session;
    struct buffer ops = {0};
    bool create = plan->kind == PLAN_CREATE;

    if (create && table != NULL && !plan->if_exists) {
        fake_session_set_error(session, "42P07",
                               "relation \"%s\" already exists", plan->table);
    }
    else if (!create && table == NULL && !plan->if_exists) {
        fake_session_set_error(session, "42P01", "table \"%s\" does not exist",
                               plan->table);
    }
    else if (create && table == NULL) {
        execute_create_table(eval, plan);
    }
    else if (!create && table != NULL) {
        if (table_has_locked_rows(table)) {
            return execute_wait_for_lock(session);
        }
        fake_database_remove_table(&session->upstream->database, plan->table);
        fake_database_encode_drop(plan->table, &ops);
        fake_upstream_write_log(session->upstream, &ops);
        buffer_free(&ops);
    }
    if (session->error != NULL) {
        return EXECUTE_ERROR;
    }
    session_append_complete(session, plan->tag);
    return EXECUTE_DONE;
}

static void
session_commit(struct session *session)
{
    struct buffer ops = {0};

    fake_transaction_commit(&session->transaction, &ops);
    fake_upstream_write_log(session->upstream, &ops);
    buffer_free(&ops);
}

// Rolls back the session's transaction and resumes statements that wait for a
// row lock.
void
fake_session_rollback(struct session *session)
{
    struct buffer none = {0};

    fake_transaction_rollback(&session->transaction);
    fake_upstream_write_log(session->upstream, &none);
}

// Commits the implicit transaction of statements outside a transaction block.
// After an error, session_fail_statement() has already rolled it back.
void
fake_session_commit_implicit(struct session *session)
{
    if (session->state == TRANSACTION_IDLE &&
        session->transaction.rows_count > 0) {
        session_commit(session);
    }
}

static enum execute_result
execute_transaction(struct session *session, const struct plan *plan)
{
    const char *tag = plan->tag;

    if (plan->kind == PLAN_COMMIT) {
        if (session->state == TRANSACTION_FAILED) {
            fake_session_rollback(session);
            tag = "ROLLBACK";
        }
        else {
            session_commit(session);
        }
        session->state = TRANSACTION_IDLE;
        session->read_only = false;
    }
    else if (plan->kind == PLAN_ROLLBACK) {
        fake_session_rollback(session);
        session->state = TRANSACTION_IDLE;
        session->read_only = false;
    }
    else if (session->state == TRANSACTION_IDLE) {
        session->state = TRANSACTION_OPEN;
        session->read_only = plan->kind == PLAN_BEGIN_READ_ONLY;
    }
    session_append_complete(session, tag);
    return EXECUTE_DONE;
}

static bool
plan_is_write(const struct plan *plan)
{
    switch (plan->kind) {
    case PLAN_INSERT:
    case PLAN_UPDATE:
    case PLAN_DELETE:
    case PLAN_TRUNCATE:
    case PLAN_CREATE:
    case PLAN_DROP:
        return true;
    default:
        return plan->locks_rows;
    }
}

// Sets an error on the session when the statement must not run.
static void
execute_check(struct session *session, const struct plan *plan,
              const struct table *table)
{
    const struct upstream *upstream = session->upstream;
    bool is_ddl = plan->kind == PLAN_CREATE || plan->kind == PLAN_DROP;

    if (session->state == TRANSACTION_FAILED && plan->kind != PLAN_COMMIT &&
        plan->kind != PLAN_ROLLBACK) {
        fake_session_set_error(
            session, "25P02",
            "current transaction is aborted, commands ignored "
            "until end of transaction block");
    }
    else if (plan->kind == PLAN_INVALID) {
        fake_session_set_error(session, "42601", "%s", plan->message);
    }
    else if (plan->kind == PLAN_UNSUPPORTED) {
        fake_session_set_error(session, "0A000", "%s", plan->message);
    }
    else if (plan_is_write(plan) && (upstream->is_replica ||
                                     upstream->fenced || session->read_only)) {
        fake_session_set_error(session, "25006",
                               "cannot execute %s in a read-only transaction",
                               plan->tag);
    }
    else if (plan->table != NULL && table == NULL && !is_ddl) {
        fake_session_set_error(session, "42P01",
                               "relation \"%s\" does not exist", plan->table);
    }
}

static enum execute_result
execute_no_effect(struct session *session, const struct plan *plan)
{
    if (strcmp(plan->tag, "DISCARD ALL") == 0 &&
        session->state != TRANSACTION_IDLE) {
        fake_session_set_error(session, "25001",
                               "DISCARD ALL cannot run inside a transaction "
                               "block");
        return EXECUTE_ERROR;
    }
    session_append_complete(session, plan->tag);
    return EXECUTE_DONE;
}

// Runs one statement. describe: precede the rows with a RowDescription. With
// EXECUTE_WAIT, nothing has been appended to the output.
enum execute_result
fake_session_execute(struct session *session, const struct plan *plan,
                     char *const *params, size_t params_count, bool describe)
{
    struct table *table = plan->table == NULL
                              ? NULL
                              : fake_database_find_table(
                                    &session->upstream->database, plan->table);
    struct eval eval = {.session = session,
                        .params = params,
                        .params_count = params_count,
                        .table = table};

    execute_check(session, plan, table);
    if (session->error != NULL) {
        return EXECUTE_ERROR;
    }
    switch (plan->kind) {
    case PLAN_SELECT:
        return execute_select(&eval, table, plan, describe);
    case PLAN_INSERT:
        return execute_insert(&eval, table, plan, describe);
    case PLAN_UPDATE:
    case PLAN_DELETE:
    case PLAN_TRUNCATE:
        return execute_change(&eval, table, plan, describe);
    case PLAN_CREATE:
    case PLAN_DROP:
        return execute_ddl(&eval, table, plan);
    case PLAN_BEGIN:
    case PLAN_BEGIN_READ_ONLY:
    case PLAN_COMMIT:
    case PLAN_ROLLBACK:
        return execute_transaction(session, plan);
    default:
        return execute_no_effect(session, plan);
    }
}
