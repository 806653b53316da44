#include "catkingrade/entry/statement.h"

#include <openssl/sha.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"

#define STATEMENT_PREFIX       "ck" // without parameter types
#define STATEMENT_TYPED_PREFIX "ct"
#define STATEMENT_DIGEST_BYTES 24 // of the digest, that the name contains

_Static_assert(sizeof(STATEMENT_PREFIX) + 2 * STATEMENT_DIGEST_BYTES <=
                   STATEMENT_NAME_SIZE,
               "the name of a statement fits");

// Replaces the digest of a statement's text by that of this digest and the
// parameter types.
static void
statement_add_types(const struct statement *statement,
                    unsigned char digest[SHA256_DIGEST_LENGTH])
{
    size_t size = statement->types_count * sizeof(*statement->types);
    unsigned char *bytes = xmalloc(SHA256_DIGEST_LENGTH + size);

    memcpy(bytes, digest, SHA256_DIGEST_LENGTH);
    memcpy(bytes + SHA256_DIGEST_LENGTH, statement->types, size);
    SHA256(bytes, SHA256_DIGEST_LENGTH + size, digest);
    free(bytes);
}

static void
statement_write_name(struct statement *statement)
{
    static const char digits[] = "0123456789abcdef";
    bool typed = statement->types_count > 0;
    unsigned char digest[SHA256_DIGEST_LENGTH];
    char *name = statement->upstream_name;

    SHA256((const unsigned char *)statement->text, strlen(statement->text),
           digest);
    if (typed) {
        statement_add_types(statement, digest);
    }
    name = stpcpy(name, typed ? STATEMENT_TYPED_PREFIX : STATEMENT_PREFIX);
    for (size_t i = 0; i < STATEMENT_DIGEST_BYTES; i++) {
        *name++ = digits[digest[i] >> 4];
        *name++ = digits[digest[i] & 15];
    }
    *name = '\0';
}

// Creates a statement with one reference. Copies text and types.
struct statement *
statement_create(const char *text, const uint32_t *types, uint16_t types_count)
{
    struct statement *statement = xcalloc(1, sizeof(*statement));
    size_t types_size = types_count * sizeof(*types);

    statement->ref_count = 1;
    statement->text = xstrdup(text);
    statement->types_count = types_count;
    if (types_count > 0) {
        statement->types = xmalloc(types_size);
        memcpy(statement->types, types, types_size);
    }
    statement_write_name(statement);
    return statement;
}

// Adds a reference and returns the statement.
struct statement *
statement_retain(struct statement *statement)
{
    statement->ref_count++;
    return statement;
}

// Drops a reference; frees the statement with the last one. NULL is ignored.
void
statement_release(struct statement *statement)
{
    if (statement == NULL || --statement->ref_count > 0) {
        return;
    }
    free(statement->types);
    free(statement->text);
    free(statement);
}

// Creates a portal with one reference, and with arrays for params_count
// parameters, which the caller fills. Adds a reference to the statement.
struct portal *
portal_create(struct statement *statement, uint16_t params_count)
{
    struct portal *portal = xcalloc(1, sizeof(*portal));

    portal->ref_count = 1;
    portal->statement = statement_retain(statement);
    portal->params_count = params_count;
    if (params_count > 0) {
        portal->values = xcalloc(params_count, sizeof(*portal->values));
        portal->lengths = xcalloc(params_count, sizeof(*portal->lengths));
        portal->formats = xcalloc(params_count, sizeof(*portal->formats));
    }
    return portal;
}

// Adds a reference and returns the portal.
struct portal *
portal_retain(struct portal *portal)
{
    portal->ref_count++;
    return portal;
}

// Drops a reference; frees the portal with the last one. NULL is ignored.
void
portal_release(struct portal *portal)
{
    if (portal == NULL || --portal->ref_count > 0) {
        return;
    }
    for (uint16_t i = 0; i < portal->params_count; i++) {
        free(portal->values[i]);
    }
    free(portal->values);
    free(portal->lengths);
    free(portal->formats);
    free(portal->stored_row_sizes);
    buffer_free(&portal->stored_rows);
    statement_release(portal->statement);
    free(portal);
}

// Stores a row, encoded as a wire message, for a later Execute.
void
portal_append_row(struct portal *portal, const struct buffer *row)
{
    size_t count = portal->stored_rows_count;

    if ((count & (count - 1)) == 0) {
        portal->stored_row_sizes =
            xrealloc(portal->stored_row_sizes,
                     (count == 0 ? 1 : 2 * count) * sizeof(uint32_t));
    }
    portal->stored_row_sizes[portal->stored_rows_count++] =
        (uint32_t)buffer_get_size(row);
    buffer_append(&portal->stored_rows, buffer_get_data(row),
                  buffer_get_size(row));
}

// Moves up to max_rows stored rows to out; 0 means all. Returns whether stored
// rows remain.
bool
portal_move_rows(struct portal *portal, uint32_t max_rows, struct buffer *out)
{
    size_t remaining = portal->stored_rows_count - portal->next_stored_row;
    size_t count =
        max_rows == 0 || max_rows > remaining ? remaining : max_rows;
    size_t size = 0;

    for (size_t i = 0; i < count; i++) {
        size += portal->stored_row_sizes[portal->next_stored_row++];
    }
    if (size > 0) {
        buffer_append(out, buffer_get_data(&portal->stored_rows), size);
        buffer_consume(&portal->stored_rows, size);
    }
    return count < remaining;
}
