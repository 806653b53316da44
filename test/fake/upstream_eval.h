#ifndef TEST_FAKE_UPSTREAM_EVAL_H
#define TEST_FAKE_UPSTREAM_EVAL_H

#include <stdbool.h>
#include <stddef.h>

#include "test/fake/upstream_session.h"

// Evaluates SQL expressions for the stand-in upstream. Values are strings in
// PostgreSQL's text format; NULL stands for SQL NULL. Errors are recorded with
// fake_session_set_error().

// The parameters and the row that an expression may refer to.
struct eval {
    struct session *session;
    char *const *params;
    size_t params_count;
    const struct table *table; // NULL: the statement has no table
    char *const *values;       // of the current row; NULL: no row
};

// Returns the value, which the caller frees, or NULL for SQL NULL or an error.
char *fake_eval_expr(const struct eval *eval, const struct expr *expr);
bool fake_eval_is_true(const struct eval *eval, const struct expr *expr);
// Converts a value to the stored form of a column type. Takes ownership of
// value. Returns NULL for SQL NULL or an error.
char *fake_eval_convert(const struct eval *eval, enum type_oid type,
                        char *value);
// Returns a negative number, 0 or a positive number.
int fake_eval_compare(const char *left, const char *right);

#endif
