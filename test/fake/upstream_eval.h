#ifndef TEST_FAKE_UPSTREAM_EVAL_H
#define TEST_FAKE_UPSTREAM_EVAL_H

#include <stdbool.h>
#include <stddef.h>

#include "test/fake/upstream_session.h"

// What an expression may refer to. Values are texts; NULL is a null. Errors
// are left in the session.
struct eval {
    struct session *session;
    char *const *params;
    size_t params_count;
    const struct table *table;
    char *const *values; // of the row at hand
};

// Returns a text to be freed, or NULL for a null or an error.
char *fake_eval_expr(const struct eval *eval, const struct expr *expr);
bool fake_eval_is_true(const struct eval *eval, const struct expr *expr);
// Returns a value as a column of that type holds it; takes value over.
char *fake_eval_convert(const struct eval *eval, enum type_oid type,
                        char *value);
int fake_eval_compare(const char *left, const char *right);

#endif
