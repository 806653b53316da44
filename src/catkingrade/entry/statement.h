#ifndef CATKINGRADE_ENTRY_STATEMENT_H
#define CATKINGRADE_ENTRY_STATEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/decide/traffic/scheduler_defs.h"
#include "catkingrade/entry/classify.h"
#include "catkingrade/kernel/buffer.h"

// Prepared statements and portals of PostgreSQL sessions. Both are reference
// counted and belong to one thread: the counts are not atomic.

#define STATEMENT_NAME_SIZE 52 // PostgreSQL allows 64, with the final NUL
#define STATEMENT_TAG_SIZE  64

// Prepared statement of a session. An upstream connection prepares it on first
// use. The upstream name is a cryptographic digest of the text and the
// parameter types, so that sessions with equal statements share one prepared
// statement on a connection, and no other statement can have its name.
struct statement {
    unsigned ref_count;
    enum classify_kind kind;
    bool unparsed; // the kind is not known, see changes_lexing
    uint16_t types_count;
    char upstream_name[STATEMENT_NAME_SIZE];
    uint32_t *types; // OIDs of the parameters; 0: inferred by the upstream
    char *text;
};

// Portal: a statement with bound parameters. The statement runs once, with the
// first Execute. If that Execute has a row limit, the remaining rows are
// stored as wire messages and served by later ones.
struct portal {
    unsigned ref_count;
    struct statement *statement;
    uint16_t params_count;
    uint16_t result_format;
    char **values; // of the parameters; a NULL pointer is SQL NULL
    int *lengths;  // in bytes
    int *formats;
    bool has_run;
    bool is_query;                // the statement returns rows
    struct buffer stored_rows;    // not sent to the client yet
    char tag[STATEMENT_TAG_SIZE]; // command tag
    uint32_t *stored_row_sizes;   // in bytes; of all rows ever stored
    size_t next_stored_row;       // index of the first row not sent yet
    size_t stored_rows_count;     // including rows already sent
};

struct statement *statement_create(const char *text, const uint32_t *types,
                                   uint16_t types_count);
struct statement *statement_retain(struct statement *statement);
void statement_release(struct statement *statement);
struct portal *portal_create(struct statement *statement,
                             uint16_t params_count);
struct portal *portal_retain(struct portal *portal);
void portal_release(struct portal *portal);
void portal_append_row(struct portal *portal, const struct buffer *row);
bool portal_move_rows(struct portal *portal, uint32_t max_rows,
                      struct buffer *out);

#endif
