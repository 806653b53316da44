#ifndef CATKINGRADE_ENTRY_STATEMENT_H
#define CATKINGRADE_ENTRY_STATEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/decide/scheduler_defs.h"
#include "catkingrade/entry/classify.h"
#include "catkingrade/kernel/buffer.h"

#define STATEMENT_NAME_SIZE 24
#define STATEMENT_TAG_SIZE  64

// A prepared statement of a session. Upstream connections prepare it when
// they first need it, under a name made from text and parameter types, so
// that sessions with equal statements share it.
struct statement {
    unsigned holders;
    enum classify_kind kind;
    uint16_t types_count;
    char upstream_name[STATEMENT_NAME_SIZE];
    uint32_t *types; // OIDs; 0: the upstream infers it
    char *text;
};

// A bound statement. Rows that a limited Execute left over are kept in rest
// as wire messages.
struct portal {
    unsigned holders;
    struct statement *statement;
    uint16_t params_count;
    uint16_t result_format;
    char **values; // NULL: null
    int *lengths;
    int *formats;
    bool has_run;
    bool is_query; // its answer has rows
    struct buffer rest;
    char tag[STATEMENT_TAG_SIZE];
    uint32_t *rest_sizes; // of each row in rest
    size_t rest_first;
    size_t rest_count;
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
