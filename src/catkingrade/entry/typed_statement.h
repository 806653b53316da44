#ifndef CATKINGRADE_ENTRY_TYPED_STATEMENT_H
#define CATKINGRADE_ENTRY_TYPED_STATEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/decide/scheduler_defs.h"

// One statement of a protocol whose statements say what they are, so that no
// SQL is parsed, and what the connection must hold before it runs there.

struct typed_variable {
    char *name;
    char *value;
};

// The variables of a session: an immutable list that requests share.
struct typed_variables {
    unsigned holders;
    size_t count;
    struct typed_variable items[];
};

// A prepared statement. Upstream connections prepare it when they first need
// it, so that sessions with equal ones share it.
struct typed_prepared {
    unsigned holders;
    bool is_write;
    char *statement_text;
};

enum typed_begin {
    TYPED_BEGIN_NONE,
    TYPED_BEGIN_READ_WRITE, // a transaction that may write
    TYPED_BEGIN_READ_ONLY,  // a read-only transaction
};

struct typed_statement {
    enum typed_begin begin;          // opened before the statement
    char *id;                        // the caller's id of the request
    char *text;                      // the statement, as the caller sent it
    struct typed_prepared *prepared; // that it executes, or NULL
    char *arguments;                 // of the prepared statement
    struct typed_variables *values;  // of the session, or NULL
    uint64_t after_lsn; // runs only where the log has it; 0: anywhere
    // For an entry that runs it for this one: the caller's route, and what its
    // session has saved.
    const char *route; // the session's own text
    struct scheduler_floor floor;
    int64_t floor_age_us; // since when that position exists
};

// The upstream's promise that a statement has not run, and why.
enum typed_refusal {
    TYPED_REFUSAL_NONE,
    TYPED_REFUSAL_BUSY,
    TYPED_REFUSAL_BEHIND,    // its log lacks the position asked for
    TYPED_REFUSAL_READ_ONLY, // it is no primary
};

struct typed_variables *
typed_variables_set(const struct typed_variables *values, const char *name,
                    const char *value);
struct typed_variables *typed_variables_retain(struct typed_variables *values);
void typed_variables_release(struct typed_variables *values);
const char *typed_variables_find(const struct typed_variables *values,
                                 const char *name);
struct typed_prepared *typed_prepared_create(bool is_write,
                                             const char *statement_text);
struct typed_prepared *typed_prepared_retain(struct typed_prepared *prepared);
void typed_prepared_release(struct typed_prepared *prepared);
void typed_statement_destroy(struct typed_statement *run);

#endif
