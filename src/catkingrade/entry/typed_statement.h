#ifndef CATKINGRADE_ENTRY_TYPED_STATEMENT_H
#define CATKINGRADE_ENTRY_TYPED_STATEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/decide/traffic/scheduler_defs.h"

// Typed statements: statements of a protocol in which the caller declares
// whether a statement reads or writes, so that the entry does not parse SQL. A
// typed statement includes the session state that the upstream connection must
// have before the statement runs. The reference counts are not atomic.
//
// Texts of the caller may contain any byte, also NUL: they have a size, and a
// NUL byte that is not counted follows.

struct typed_variable {
    char *name;
    char *value;
    size_t value_size_bytes;
};

// Variables of a session: an immutable list, shared by the session's requests.
struct typed_variables {
    unsigned ref_count;
    size_t count;
    struct typed_variable items[];
};

// Prepared statement. An upstream connection prepares it on first use;
// sessions with equal statements share one prepared statement on a connection.
struct typed_prepared {
    unsigned ref_count;
    bool is_write;
    char *statement_text; // without arguments
    size_t statement_size_bytes;
};

// Transaction to open before a statement.
enum typed_begin {
    TYPED_BEGIN_NONE,
    TYPED_BEGIN_READ_WRITE,
    TYPED_BEGIN_READ_ONLY,
};

struct typed_statement {
    enum typed_begin begin;
    char *id;   // request id assigned by the caller
    char *text; // statement as sent by the caller
    size_t text_size_bytes;
    struct typed_prepared *prepared; // statement to execute, or NULL
    // Of text, all that follows the name of the prepared statement.
    size_t arguments_size_bytes;
    struct typed_variables *values; // of the session, or NULL
    uint64_t after_lsn; // log position the upstream must have; 0: any
    // Passed on if another entry runs the statement: the caller's route and
    // the session's read floor.
    const char *route;    // owned by the session
    const char *customer; // owned by the session; empty: none
    struct scheduler_floor floor;
    int64_t floor_age_us; // time since the floor was last raised
};

// Reason for which an upstream refused a statement without running it.
enum typed_refusal {
    TYPED_REFUSAL_NONE,
    TYPED_REFUSAL_BUSY,
    TYPED_REFUSAL_BEHIND,    // it has not applied after_lsn
    TYPED_REFUSAL_READ_ONLY, // it is not a primary
};

struct typed_variables *
typed_variables_set(const struct typed_variables *values, const char *name,
                    const char *value, size_t value_size_bytes);
struct typed_variables *typed_variables_retain(struct typed_variables *values);
void typed_variables_release(struct typed_variables *values);
const struct typed_variable *
typed_variables_find(const struct typed_variables *values, const char *name);
bool typed_variable_has_value(const struct typed_variable *variable,
                              const char *value, size_t value_size_bytes);
struct typed_prepared *typed_prepared_create(bool is_write,
                                             const char *statement_text,
                                             size_t statement_size_bytes);
bool typed_prepared_is_equal(const struct typed_prepared *prepared,
                             const struct typed_prepared *other);
struct typed_prepared *typed_prepared_retain(struct typed_prepared *prepared);
void typed_prepared_release(struct typed_prepared *prepared);
struct typed_statement *typed_statement_create(const char *id,
                                               const char *text,
                                               size_t text_size_bytes);
void typed_statement_destroy(struct typed_statement *statement);

#endif
