#include "catkingrade/decide/group/declaration.h"

#include <stdlib.h>
#include <string.h>
#include <zstd.h>

#include "catkingrade/decide/customer/customer_check.h"
#include "catkingrade/decide/group/declaration_index.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

#define DECLARATION_COMPRESSION_LEVEL 6
// Limits the memory allocated for a packed declaration with a corrupt length.
#define DECLARATION_MAX_SIZE_BYTES ((size_t)8 * 1024 * 1024)

static void
declaration_check_route(const struct declaration_index *index,
                        const struct ck_route *route, struct buffer *errors)
{
    if (route->name[0] == '\0') {
        buffer_append_text(errors, "a route has no name\n");
    }
    if (declaration_index_find_route(index, route->name) != route) {
        buffer_append_format(errors, "two routes have the name %s\n",
                             route->name);
    }
    if (declaration_index_find_database(index, route->database) == NULL) {
        buffer_append_format(errors, "route %s: no database %s\n", route->name,
                             route->database);
    }
    if (route->deadline_ms == 0) {
        buffer_append_format(errors, "route %s: its deadline is 0\n",
                             route->name);
    }
}

// Validates a declaration: names must be present and unique, routes must refer
// to declared databases and have a deadline, and customers must not share a
// key. Returns OUTCOME_OK, or OUTCOME_INVALID after appending one line to
// errors for each fault.
int
declaration_check(const struct ck_declaration *declaration,
                  struct buffer *errors)
{
    size_t size_before = buffer_get_size(errors);
    struct declaration_index *index = declaration_index_create(declaration);

    for (u_int i = 0; i < declaration->databases.databases_len; i++) {
        const struct ck_declared_database *database =
            &declaration->databases.databases_val[i];
        if (database->name[0] == '\0') {
            buffer_append_text(errors, "a database has no name\n");
        }
        if (declaration_index_find_database(index, database->name) !=
            database) {
            buffer_append_format(errors, "two databases have the name %s\n",
                                 database->name);
        }
    }
    for (u_int i = 0; i < declaration->routes.routes_len; i++) {
        declaration_check_route(index, &declaration->routes.routes_val[i],
                                errors);
    }
    declaration_index_destroy(index);
    customer_check(declaration, errors);
    return buffer_get_size(errors) == size_before ? OUTCOME_OK
                                                  : OUTCOME_INVALID;
}

// Encodes and compresses a declaration. The caller frees packed with
// declaration_free_packed. Returns OUTCOME_OK, the error of codec_encode, or
// OUTCOME_TOO_LARGE if the result does not fit into one Raft log entry. On an
// error packed is empty.
int
declaration_pack(const struct ck_declaration *declaration, uint64_t number,
                 struct ck_packed_declaration *packed)
{
    struct buffer bytes = {0};

    memset(packed, 0, sizeof(*packed));
    int outcome =
        codec_encode_grown((xdrproc_t)xdr_ck_declaration, declaration, &bytes);
    if (outcome != OUTCOME_OK) {
        buffer_free(&bytes);
        return outcome;
    }
    size_t limit = ZSTD_compressBound(buffer_get_size(&bytes));
    char *data = xmalloc(limit);
    size_t size =
        ZSTD_compress(data, limit, buffer_get_data(&bytes),
                      buffer_get_size(&bytes), DECLARATION_COMPRESSION_LEVEL);
    buffer_free(&bytes);
    if (ZSTD_isError(size) || size > CK_DECLARATION_SIZE) {
        free(data);
        return OUTCOME_TOO_LARGE;
    }
    packed->number = number;
    packed->data.data_val = data;
    packed->data.data_len = (u_int)size;
    return OUTCOME_OK;
}

// Frees the memory that declaration_pack allocated.
void
declaration_free_packed(struct ck_packed_declaration *packed)
{
    free(packed->data.data_val);
    memset(packed, 0, sizeof(*packed));
}

// Decompresses and decodes a packed declaration. The caller frees declaration
// with declaration_free. Returns OUTCOME_OK, or OUTCOME_CORRUPT if packed is
// not a valid packed declaration; then there is nothing to free.
int
declaration_unpack(const struct ck_packed_declaration *packed,
                   struct ck_declaration *declaration)
{
    memset(declaration, 0, sizeof(*declaration));
    unsigned long long size =
        ZSTD_getFrameContentSize(packed->data.data_val, packed->data.data_len);
    if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR ||
        size > DECLARATION_MAX_SIZE_BYTES) {
        return OUTCOME_CORRUPT;
    }
    char *bytes = xmalloc(size + 1);
    size_t got = ZSTD_decompress(bytes, size, packed->data.data_val,
                                 packed->data.data_len);
    int outcome = OUTCOME_CORRUPT;
    if (!ZSTD_isError(got) && got == size &&
        codec_decode_grown((xdrproc_t)xdr_ck_declaration, bytes, size,
                           declaration) == OUTCOME_OK) {
        outcome = OUTCOME_OK;
    }
    free(bytes);
    return outcome;
}

// Frees the contents of a declaration and zeroes the declaration.
void
declaration_free(struct ck_declaration *declaration)
{
    codec_free((xdrproc_t)xdr_ck_declaration, declaration);
    memset(declaration, 0, sizeof(*declaration));
}
