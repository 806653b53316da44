#include "test/fake/upstream_eval.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "catkingrade/kernel/memory.h"

static char *
eval_bool(bool value)
{
    return xstrdup(value ? "t" : "f");
}

static char *
eval_lsn(const struct upstream *upstream)
{
    return xasprintf("%X/%X", (unsigned)(upstream->wal.lsn >> 32),
                     (unsigned)upstream->wal.lsn);
}

static char *
eval_now(void)
{
    struct timespec now;
    struct tm parts;
    char text[64];

    clock_gettime(CLOCK_REALTIME, &now);
    gmtime_r(&now.tv_sec, &parts);
    size_t size = strftime(text, sizeof(text), "%Y-%m-%d %H:%M:%S", &parts);
    (void)snprintf(text + size, sizeof(text) - size, ".%06ld+00",
                   now.tv_nsec / 1000);
    return xstrdup(text);
}

// Compares as numbers when both are, as texts otherwise.
int
fake_eval_compare(const char *left, const char *right)
{
    char *left_end = NULL;
    char *right_end = NULL;
    double a = strtod(left, &left_end);
    double b = strtod(right, &right_end);

    if (*left != '\0' && *right != '\0' && *left_end == '\0' &&
        *right_end == '\0') {
        return (a > b) - (a < b);
    }
    return strcmp(left, right);
}

// Checks and normalises a value for a column.
char *
fake_eval_convert(const struct eval *eval, enum type_oid type, char *value)
{
    char *end = NULL;

    if (value == NULL || (type != TYPE_INT4 && type != TYPE_INT8)) {
        return value;
    }
    errno = 0;
    long long number = strtoll(value, &end, 10);
    if (*value == '\0' || *end != '\0' || errno != 0) {
        fake_session_set_error(eval->session, "22P02",
                               "invalid input syntax for type integer: \"%s\"",
                               value);
        free(value);
        return NULL;
    }
    if (type == TYPE_INT4 && (number > INT32_MAX || number < INT32_MIN)) {
        fake_session_set_error(eval->session, "22003", "integer out of range");
        free(value);
        return NULL;
    }
    free(value);
    return xasprintf("%lld", number);
}

static char *
eval_current_lsn(const struct eval *eval)
{
    struct upstream *upstream = eval->session->upstream;

    if (upstream->is_replica) {
        fake_session_set_error(eval->session, "55000",
                               "recovery is in progress");
        return NULL;
    }
    return eval_lsn(upstream);
}

static char *
eval_promote(const struct eval *eval)
{
    struct upstream *upstream = eval->session->upstream;

    if (!upstream->is_replica) {
        fake_session_set_error(eval->session, "55000",
                               "recovery is not in "
                               "progress");
        return NULL;
    }
    fake_upstream_promote(upstream);
    return eval_bool(true);
}

static char *
eval_follow(const struct eval *eval, const char *address)
{
    if (fake_upstream_follow(eval->session->upstream, address) != 0) {
        fake_session_set_error(eval->session, "22023",
                               "not an address: \"%s\"", address);
        return NULL;
    }
    return eval_bool(true);
}

static char *
eval_fault(const struct eval *eval, const char *line)
{
    if (!fake_upstream_run_command(eval->session->upstream, line)) {
        fake_session_set_error(eval->session, "22023", "not a fault: \"%s\"",
                               line);
        return NULL;
    }
    return eval_bool(true);
}

static char *
eval_peaks(const struct eval *eval)
{
    const struct upstream *upstream = eval->session->upstream;

    return xasprintf("connections=%u running=%u", upstream->sessions_peak,
                     upstream->statements_running_peak);
}

// Functions of the stand-in's own state; found says whether it was one.
static char *
eval_state_function(const struct eval *eval, const char *name, const char *arg,
                    bool *found)
{
    struct upstream *upstream = eval->session->upstream;

    *found = true;
    if (strcmp(name, "pg_is_in_recovery") == 0) {
        return eval_bool(upstream->is_replica);
    }
    if (strcmp(name, "timeline_id") == 0) {
        return xasprintf("%u", fake_wal_get_timeline(&upstream->wal));
    }
    if (strcmp(name, "pg_last_wal_replay_lsn") == 0) {
        return upstream->is_replica ? eval_lsn(upstream) : NULL;
    }
    if (strcmp(name, "pg_current_wal_lsn") == 0) {
        return eval_current_lsn(eval);
    }
    if (strcmp(name, "pg_promote") == 0) {
        return eval_promote(eval);
    }
    if (strcmp(name, "catkingrade_standin_follow") == 0) {
        return eval_follow(eval, arg);
    }
    if (strcmp(name, "catkingrade_standin_fence") == 0) {
        fake_upstream_fence(upstream);
        return eval_bool(true);
    }
    if (strcmp(name, "catkingrade_standin_fault") == 0) {
        return eval_fault(eval, arg);
    }
    if (strcmp(name, "catkingrade_standin_peaks") == 0) {
        return eval_peaks(eval);
    }
    *found = false;
    return NULL;
}

static char *
eval_function(const struct eval *eval, const struct expr *expr)
{
    const char *name = expr->text;
    bool found = false;
    char *arg = expr->args_count > 0 ? fake_eval_expr(eval, expr->args[0])
                                     : xstrdup("");

    if (eval->session->error != NULL) {
        free(arg);
        return NULL;
    }
    char *value =
        eval_state_function(eval, name, arg == NULL ? "" : arg, &found);
    free(arg);
    if (found) {
        return value;
    }
    if (strcmp(name, "pg_sleep") == 0) {
        return xstrdup("");
    }
    if (strcmp(name, "now") == 0 || strcmp(name, "clock_timestamp") == 0) {
        return eval_now();
    }
    if (strcmp(name, "version") == 0) {
        return xstrdup("PostgreSQL 15 (stand-in upstream)");
    }
    if (strcmp(name, "pg_backend_pid") == 0) {
        return xasprintf("%u", eval->session->pid);
    }
    if (strcmp(name, "current_database") == 0) {
        return xstrdup(eval->session->upstream->options.database);
    }
    fake_session_set_error(eval->session, "0A000",
                           "the stand-in upstream has no function %s", name);
    return NULL;
}

static char *
eval_arithmetic(const struct eval *eval, char op, const char *left,
                const char *right)
{
    long long a = strtoll(left, NULL, 10);
    long long b = strtoll(right, NULL, 10);

    switch (op) {
    case '+':
        return xasprintf("%lld", a + b);
    case '-':
        return xasprintf("%lld", a - b);
    case '*':
        return xasprintf("%lld", a * b);
    default:
        break;
    }
    if (b == 0) {
        fake_session_set_error(eval->session, "22012", "division by zero");
        return NULL;
    }
    return xasprintf("%lld", a / b);
}

static char *
eval_operator(const struct eval *eval, const char *op, const char *left,
              const char *right)
{
    if (strcmp(op, "||") == 0) {
        return xasprintf("%s%s", left, right);
    }
    if (strlen(op) == 1 && strchr("+-*/", op[0]) != NULL) {
        return eval_arithmetic(eval, op[0], left, right);
    }
    int order = fake_eval_compare(left, right);
    if (strcmp(op, "=") == 0) {
        return eval_bool(order == 0);
    }
    if (strcmp(op, "<>") == 0) {
        return eval_bool(order != 0);
    }
    if (strcmp(op, "<") == 0) {
        return eval_bool(order < 0);
    }
    if (strcmp(op, ">") == 0) {
        return eval_bool(order > 0);
    }
    if (strcmp(op, "<=") == 0) {
        return eval_bool(order <= 0);
    }
    if (strcmp(op, ">=") == 0) {
        return eval_bool(order >= 0);
    }
    fake_session_set_error(eval->session, "0A000",
                           "the stand-in upstream has no operator %s", op);
    return NULL;
}

static char *
eval_binary(const struct eval *eval, const struct expr *expr)
{
    char *left = fake_eval_expr(eval, expr->args[0]);
    char *right = fake_eval_expr(eval, expr->args[1]);
    char *value = NULL;

    if (left != NULL && right != NULL) {
        value = eval_operator(eval, expr->text, left, right);
    }
    free(left);
    free(right);
    return value;
}

static char *
eval_in(const struct eval *eval, const struct expr *expr)
{
    char *left = fake_eval_expr(eval, expr->args[0]);
    bool found = false;

    for (size_t i = 1; left != NULL && !found && i < expr->args_count; i++) {
        char *item = fake_eval_expr(eval, expr->args[i]);
        found = item != NULL && fake_eval_compare(left, item) == 0;
        free(item);
    }
    free(left);
    return eval_bool(found);
}

static char *
eval_and(const struct eval *eval, const struct expr *expr)
{
    for (size_t i = 0; i < expr->args_count; i++) {
        if (!fake_eval_is_true(eval, expr->args[i])) {
            return eval_bool(false);
        }
    }
    return eval_bool(true);
}

static char *
eval_case(const struct eval *eval, const struct expr *expr)
{
    size_t at = 0;

    while (at + 2 < expr->args_count) {
        if (fake_eval_is_true(eval, expr->args[at])) {
            return fake_eval_expr(eval, expr->args[at + 1]);
        }
        at += 2;
    }
    return fake_eval_expr(eval, expr->args[at]);
}

static char *
eval_column(const struct eval *eval, const struct expr *expr)
{
    int place = eval->table == NULL || eval->values == NULL
                    ? -1
                    : fake_table_find_column(eval->table, expr->text);

    if (place < 0) {
        fake_session_set_error(eval->session, "42703",
                               "column \"%s\" does not exist", expr->text);
        return NULL;
    }
    const char *value = eval->values[place];
    return value == NULL ? NULL : xstrdup(value);
}

static char *
eval_param(const struct eval *eval, const struct expr *expr)
{
    size_t place = (size_t)expr->number - 1;

    if (place >= eval->params_count) {
        fake_session_set_error(eval->session, "42P02",
                               "there is no parameter $%d", expr->number);
        return NULL;
    }
    return eval->params[place] == NULL ? NULL : xstrdup(eval->params[place]);
}

static char *
eval_null_test(const struct eval *eval, const struct expr *expr)
{
    char *value = fake_eval_expr(eval, expr->args[0]);
    bool is_null = value == NULL;

    free(value);
    return eval_bool(expr->number != 0 ? !is_null : is_null);
}

// Evaluates an expression for one row.
char *
fake_eval_expr(const struct eval *eval, const struct expr *expr)
{
    switch (expr->kind) {
    case EXPR_CONST:
        return expr->text == NULL ? NULL : xstrdup(expr->text);
    case EXPR_PARAM:
        return eval_param(eval, expr);
    case EXPR_COLUMN:
        return eval_column(eval, expr);
    case EXPR_FUNC:
        return eval_function(eval, expr);
    case EXPR_BINARY:
        return eval_binary(eval, expr);
    case EXPR_IN:
        return eval_in(eval, expr);
    case EXPR_AND:
        return eval_and(eval, expr);
    case EXPR_IS_NULL:
        return eval_null_test(eval, expr);
    case EXPR_CASE:
        return eval_case(eval, expr);
    default:
        fake_session_set_error(eval->session, "0A000",
                               "the stand-in upstream does not support this "
                               "expression");
        return NULL;
    }
}

// Returns whether a condition holds; a null or an error does not.
bool
fake_eval_is_true(const struct eval *eval, const struct expr *expr)
{
    char *value = fake_eval_expr(eval, expr);
    bool is_true = value != NULL &&
                   (strcmp(value, "t") == 0 || strcmp(value, "true") == 0);

    free(value);
    return is_true;
}
