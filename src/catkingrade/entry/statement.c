#include "catkingrade/entry/statement.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "catkingrade/kernel/memory.h"

// Creates a statement with one holder; copies text and types.
struct statement *
statement_create(const char *text, const uint32_t *types, uint16_t types_count)
{
    struct statement *statement = xcalloc(1, sizeof(*statement));
    size_t types_size = types_count * sizeof(*types);
    uint64_t hash = XXH3_64bits(text, strlen(text));

    statement->holders = 1;
    statement->text = xstrdup(text);
    statement->types_count = types_count;
    if (types_count > 0) {
        statement->types = xmalloc(types_size);
        memcpy(statement->types, types, types_size);
        hash = XXH3_64bits_withSeed(types, types_size, hash);
    }
    (void)snprintf(statement->upstream_name, sizeof(statement->upstream_name),
                   "ck%016" PRIx64, hash);
    return statement;
}

// Adds a holder and returns the statement.
struct statement *
statement_retain(struct statement *statement)
{
    statement->holders++;
    return statement;
}

// Drops one holder; the last one frees the statement. NULL is ignored.
void
statement_release(struct statement *statement)
{
    if (statement == NULL || --statement->holders > 0) {
        return;
    }
    free(statement->types);
    free(statement->text);
    free(statement);
}

// Creates a portal of a statement with room for its parameters.
struct portal *
portal_create(struct statement *statement, uint16_t params_count)
{
    struct portal *portal = xcalloc(1, sizeof(*portal));

    portal->holders = 1;
    portal->statement = statement_retain(statement);
    portal->params_count = params_count;
    if (params_count > 0) {
        portal->values = xcalloc(params_count, sizeof(*portal->values));
        portal->lengths = xcalloc(params_count, sizeof(*portal->lengths));
        portal->formats = xcalloc(params_count, sizeof(*portal->formats));
    }
    return portal;
}

// Adds a holder and returns the portal.
struct portal *
portal_retain(struct portal *portal)
{
    portal->holders++;
    return portal;
}

// Drops one holder; the last one frees the portal. NULL is ignored.
void
portal_release(struct portal *portal)
{
    if (portal == NULL || --portal->holders > 0) {
        return;
    }
    for (uint16_t i = 0; i < portal->params_count; i++) {
        free(portal->values[i]);
    }
    free(portal->values);
    free(portal->lengths);
    free(portal->formats);
    free(portal->rest_sizes);
    buffer_free(&portal->rest);
    statement_release(portal->statement);
    free(portal);
}

// Keeps a row, as a wire message, for a later Execute.
void
portal_append_row(struct portal *portal, const struct buffer *row)
{
    size_t count = portal->rest_count;

    if ((count & (count - 1)) == 0) {
        portal->rest_sizes =
            xrealloc(portal->rest_sizes,
                     (count == 0 ? 1 : 2 * count) * sizeof(uint32_t));
    }
    portal->rest_sizes[portal->rest_count++] = (uint32_t)buffer_get_size(row);
    buffer_append(&portal->rest, buffer_get_data(row), buffer_get_size(row));
}

// Moves up to max_rows kept rows to out; 0 means all. Returns whether rows
// are left.
bool
portal_move_rows(struct portal *portal, uint32_t max_rows, struct buffer *out)
{
    size_t left = portal->rest_count - portal->rest_first;
    size_t count = max_rows == 0 || max_rows > left ? left : max_rows;
    size_t size = 0;

    for (size_t i = 0; i < count; i++) {
        size += portal->rest_sizes[portal->rest_first++];
    }
    if (size > 0) {
        buffer_append(out, buffer_get_data(&portal->rest), size);
        buffer_consume(&portal->rest, size);
    }
    return count < left;
}
