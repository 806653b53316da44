#include "catkingrade/decide/group/publication.h"

#include <stdlib.h>
#include <string.h>
#include <zstd.h>

#include "catkingrade/decide/group/declaration.h"
#include "catkingrade/decide/group/group_private.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

#define PUBLICATION_COMPRESSION_LEVEL 1
#define PUBLICATION_MAX_PARTS         64
// A slow link carries this within a fraction of the timeout of a renewal.
#define PUBLICATION_MAX_PACKED_BYTES 16000
// Limits the memory allocated for a delta with a corrupt length.
#define PUBLICATION_MAX_UNPACKED_BYTES ((size_t)4 * 1024 * 1024)

enum published_kind {
    PUBLISHED_CUSTOMER = 'C',
    PUBLISHED_DATABASE = 'B',
    PUBLISHED_ROUTE = 'R',
    PUBLISHED_DECLARED_CUSTOMER = 'K',
    PUBLISHED_DECLARED = 'S'
};

// A published object. A list holds all in ascending order of revision. A delta
// holds all objects of a revision or none, so that a declaration takes effect
// as a whole.
struct published {
    enum published_kind kind;
    char *name;
    uint64_t revision;
    bool is_removed;
    bool is_declared;    // by the declaration that is being published
    struct buffer bytes; // in XDR; empty if removed
    struct published *older;
    struct published *newer;
};

// A packed delta, kept until the publication changes.
struct publication_part {
    struct ck_packed_delta delta;
    size_t max_size_bytes;
    const struct published *next; // first object of the delta that follows
};

struct publication {
    uint64_t revision;
    // Revision at which routes and declared customers were first published.
    uint64_t routes_since;
    struct group_index *index;
    struct published *oldest;
    struct published *newest;
    struct publication_part parts[PUBLICATION_MAX_PARTS];
    size_t parts_count;
    size_t next_part; // replaced next once there are PUBLICATION_MAX_PARTS
    ZSTD_CCtx *compressor;
};

// Returns an empty publication of revision 0.
struct publication *
publication_create(void)
{
    struct publication *publication = xcalloc(1, sizeof(*publication));

    publication->index = group_index_create();
    publication->compressor = ZSTD_createCCtx();
    INVARIANT(publication->compressor != NULL);
    return publication;
}

static void
publication_drop_parts(struct publication *publication)
{
    for (size_t i = 0; i < publication->parts_count; i++) {
        free(publication->parts[i].delta.data.data_val);
    }
    publication->parts_count = 0;
    publication->next_part = 0;
}

// Frees the publication. NULL is ignored.
void
publication_destroy(struct publication *publication)
{
    if (publication == NULL) {
        return;
    }
    publication_drop_parts(publication);
    while (publication->oldest != NULL) {
        struct published *object = publication->oldest;
        publication->oldest = object->newer;
        buffer_free(&object->bytes);
        free(object->name);
        free(object);
    }
    group_index_destroy(publication->index);
    (void)ZSTD_freeCCtx(publication->compressor);
    free(publication);
}

// Returns the revision of the group state that is published.
uint64_t
publication_get_revision(const struct publication *publication)
{
    return publication->revision;
}

static void
publication_unlink(struct publication *publication, struct published *object)
{
    if (object->older != NULL) {
        object->older->newer = object->newer;
    }
    else {
        publication->oldest = object->newer;
    }
    if (object->newer != NULL) {
        object->newer->older = object->older;
    }
    else {
        publication->newest = object->older;
    }
}

static void
publication_append(struct publication *publication, struct published *object)
{
    object->older = publication->newest;
    object->newer = NULL;
    if (object->older != NULL) {
        object->older->newer = object;
    }
    else {
        publication->oldest = object;
    }
    publication->newest = object;
}

// Returns the published object of a kind and name, or NULL.
static struct published *
publication_find(const struct publication *publication,
                 enum published_kind kind, const char *name)
{
    return group_index_get(publication->index, (char)kind, name);
}

// Returns the published object of a kind and name at the end of the list,
// adding it if there is none.
static struct published *
publication_move_to_end(struct publication *publication,
                        enum published_kind kind, const char *name)
{
    struct published *object = publication_find(publication, kind, name);

    if (object != NULL) {
        publication_unlink(publication, object);
    }
    else {
        object = xcalloc(1, sizeof(*object));
        object->kind = kind;
        object->name = xstrdup(name);
        group_index_put(publication->index, (char)kind, name, object);
    }
    publication_append(publication, object);
    return object;
}

// Publishes an object with its encoding, which is moved out of bytes.
static struct published *
publication_publish(struct publication *publication, enum published_kind kind,
                    const char *name, uint64_t revision, bool is_removed,
                    struct buffer *bytes)
{
    struct published *object =
        publication_move_to_end(publication, kind, name);

    object->revision = revision;
    object->is_removed = is_removed;
    buffer_free(&object->bytes);
    object->bytes = *bytes;
    *bytes = (struct buffer){0};
    return object;
}

static void
publication_encode(xdrproc_t xdr, const void *object, struct buffer *bytes)
{
    int outcome = codec_encode(xdr, object, bytes);

    INVARIANT(outcome == OUTCOME_OK);
}

// Publishes that an object is removed.
static void
publication_remove(struct publication *publication, enum published_kind kind,
                   const char *name, uint64_t revision)
{
    struct buffer bytes = {0};

    publication_encode((xdrproc_t)xdr_ck_name, &name, &bytes);
    (void)publication_publish(publication, kind, name, revision, true, &bytes);
}

// Publishes an object of a declaration if it has changed.
static void
publication_update_declared(struct publication *publication,
                            enum published_kind kind, const char *name,
                            xdrproc_t xdr, const void *declared,
                            uint64_t revision)
{
    struct published *object = publication_find(publication, kind, name);
    struct buffer bytes = {0};

    publication_encode(xdr, declared, &bytes);
    bool is_changed =
        object == NULL || object->is_removed ||
        buffer_get_size(&bytes) != buffer_get_size(&object->bytes) ||
        memcmp(buffer_get_data(&bytes), buffer_get_data(&object->bytes),
               buffer_get_size(&bytes)) != 0;
    if (is_changed) {
        object = publication_publish(publication, kind, name, revision, false,
                                     &bytes);
    }
    object->is_declared = true;
    buffer_free(&bytes);
}

// Publishes that the routes and customers that the declaration lacks are
// removed. The loop ends at the first object of this revision: publishing
// moves objects there.
static void
publication_remove_undeclared(struct publication *publication,
                              uint64_t revision)
{
    struct published *object = publication->oldest;

    while (object != NULL && object->revision < revision) {
        struct published *next = object->newer;
        if ((object->kind == PUBLISHED_ROUTE ||
             object->kind == PUBLISHED_DECLARED_CUSTOMER) &&
            !object->is_declared && !object->is_removed) {
            publication_remove(publication, object->kind, object->name,
                               revision);
        }
        object = next;
    }
}

// Publishes a declaration and those of its routes and customers that have
// changed.
static void
publication_update_declaration(struct publication *publication,
                               const struct group_object *source)
{
    struct ck_declaration declaration;
    struct ck_declared declared = {.number = source->declaration.number,
                                   .refuses_keys = source->refuses_keys};
    struct buffer bytes = {0};
    int outcome = declaration_unpack(&source->declaration, &declaration);

    INVARIANT(outcome == OUTCOME_OK);
    for (struct published *object = publication->oldest; object != NULL;
         object = object->newer) {
        object->is_declared = false;
    }
    if (publication->routes_since == 0) {
        publication->routes_since = source->revision;
    }
    for (u_int i = 0; i < declaration.routes.routes_len; i++) {
        const struct ck_route *route = &declaration.routes.routes_val[i];
        publication_update_declared(publication, PUBLISHED_ROUTE, route->name,
                                    (xdrproc_t)xdr_ck_route, route,
                                    source->revision);
    }
    for (u_int i = 0; i < declaration.customers.customers_len; i++) {
        const struct ck_declared_customer *customer =
            &declaration.customers.customers_val[i];
        publication_update_declared(
            publication, PUBLISHED_DECLARED_CUSTOMER, customer->name,
            (xdrproc_t)xdr_ck_declared_customer, customer, source->revision);
    }
    publication_remove_undeclared(publication, source->revision);
    declared.idle_transaction_ms = declaration.idle_transaction_ms;
    outcome =
        codec_encode_grown((xdrproc_t)xdr_ck_declared, &declared, &bytes);
    INVARIANT(outcome == OUTCOME_OK);
    (void)publication_publish(publication, PUBLISHED_DECLARED, source->name,
                              source->revision, false, &bytes);
    declaration_free(&declaration);
}

// Publishes a customer or a database.
static void
publication_update_object(struct publication *publication,
                          const struct group_object *source)
{
    bool is_customer = source->kind == GROUP_CUSTOMER;
    enum published_kind kind =
        is_customer ? PUBLISHED_CUSTOMER : PUBLISHED_DATABASE;
    struct buffer bytes = {0};

    if (source->removed) {
        publication_remove(publication, kind, source->name, source->revision);
        return;
    }
    if (is_customer) {
        publication_encode((xdrproc_t)xdr_ck_customer,
                           &source->expanded.customer, &bytes);
    }
    else {
        publication_encode((xdrproc_t)xdr_ck_database, &source->database,
                           &bytes);
    }
    (void)publication_publish(publication, kind, source->name,
                              source->revision, false, &bytes);
}

// Returns whether entries are sent an object of the group. Only the fleet's
// control group publishes customers and a declaration: that of a failure
// domain has its own documents.
static bool
publication_has_object(const struct group_state *group,
                       const struct group_object *object)
{
    if (object->kind == GROUP_CUSTOMER || object->kind == GROUP_DECLARATION) {
        return strcmp(group->name, GROUP_FLEET_NAME) == 0;
    }
    return object->kind == GROUP_DATABASE;
}

// Returns the oldest object of the group with a revision above the given one,
// or NULL.
static const struct group_object *
publication_find_change(const struct group_state *group, uint64_t revision)
{
    const struct group_object *object = group->newest;
    const struct group_object *found = NULL;

    while (object != NULL && object->revision > revision) {
        found = object;
        object = object->older;
    }
    return found;
}

// Publishes the group state as it is now. Returns the number of objects that
// have changed.
size_t
publication_update(struct publication *publication,
                   const struct group_state *group)
{
    const struct group_object *source =
        publication_find_change(group, publication->revision);
    size_t count = 0;

    if (group->revision == publication->revision) {
        return 0;
    }
    for (; source != NULL; source = source->newer) {
        if (!publication_has_object(group, source)) {
            continue;
        }
        if (source->kind == GROUP_DECLARATION) {
            publication_update_declaration(publication, source);
        }
        else {
            publication_update_object(publication, source);
        }
        count++;
    }
    publication->revision = group->revision;
    publication_drop_parts(publication);
    return count;
}

// Returns the oldest object with a revision above the given one, or NULL.
static const struct published *
publication_find_first_after(const struct publication *publication,
                             uint64_t revision)
{
    const struct published *object = publication->newest;
    const struct published *found = NULL;

    for (size_t i = 0; i < publication->parts_count; i++) {
        if (publication->parts[i].delta.to_revision == revision &&
            publication->parts[i].delta.more) {
            return publication->parts[i].next;
        }
    }
    while (object != NULL && object->revision > revision) {
        found = object;
        object = object->older;
    }
    return found;
}

// Returns the first object that does not fit into a delta of max_size_bytes,
// or NULL. The delta has at least the objects of one revision.
static const struct published *
publication_find_end(const struct published *first, size_t max_size_bytes)
{
    const struct published *object = first;
    size_t size = 0;

    while (object != NULL) {
        size += buffer_get_size(&object->bytes);
        if (object != first && object->revision != object->older->revision &&
            size > max_size_bytes) {
            return object;
        }
        object = object->newer;
    }
    return NULL;
}

// Appends the objects of a kind as a list in XDR.
static void
publication_append_list(const struct published *first,
                        const struct published *end, enum published_kind kind,
                        bool is_removed, struct buffer *out)
{
    u_int count = 0;

    for (const struct published *object = first; object != end;
         object = object->newer) {
        count +=
            object->kind == kind && object->is_removed == is_removed ? 1 : 0;
    }
    (void)codec_encode((xdrproc_t)xdr_u_int, &count, out);
    for (const struct published *object = first; object != end;
         object = object->newer) {
        if (object->kind == kind && object->is_removed == is_removed) {
            buffer_append(out, buffer_get_data(&object->bytes),
                          buffer_get_size(&object->bytes));
        }
    }
}

// Encodes the objects from first up to, but not including, end as a
// ck_view_delta.
static void
publication_encode_delta(const struct publication *publication,
                         const struct ck_packed_delta *delta,
                         const struct published *first,
                         const struct published *end, struct buffer *out)
{
    (void)codec_encode((xdrproc_t)xdr_u_quad_t, &delta->from_revision, out);
    (void)codec_encode((xdrproc_t)xdr_u_quad_t, &delta->to_revision, out);
    (void)codec_encode((xdrproc_t)xdr_bool, &delta->full, out);
    (void)codec_encode((xdrproc_t)xdr_bool, &delta->more, out);
    (void)codec_encode((xdrproc_t)xdr_u_quad_t, &publication->routes_since,
                       out);
    publication_append_list(first, end, PUBLISHED_CUSTOMER, false, out);
    publication_append_list(first, end, PUBLISHED_CUSTOMER, true, out);
    publication_append_list(first, end, PUBLISHED_DATABASE, false, out);
    publication_append_list(first, end, PUBLISHED_DATABASE, true, out);
    publication_append_list(first, end, PUBLISHED_ROUTE, false, out);
    publication_append_list(first, end, PUBLISHED_ROUTE, true, out);
    publication_append_list(first, end, PUBLISHED_DECLARED_CUSTOMER, false,
                            out);
    publication_append_list(first, end, PUBLISHED_DECLARED_CUSTOMER, true,
                            out);
    publication_append_list(first, end, PUBLISHED_DECLARED, false, out);
}

// Compresses bytes into a delta.
static void
publication_compress(struct publication *publication,
                     const struct buffer *bytes, struct ck_packed_delta *delta)
{
    size_t limit = ZSTD_compressBound(buffer_get_size(bytes));
    char *data = xmalloc(limit);
    size_t size = ZSTD_compressCCtx(
        publication->compressor, data, limit, buffer_get_data(bytes),
        buffer_get_size(bytes), PUBLICATION_COMPRESSION_LEVEL);

    INVARIANT(!ZSTD_isError(size));
    delta->data.data_val = data;
    delta->data.data_len = (u_int)size;
}

// Packs the objects after from_revision that fit into the size.
static void
publication_build_part(struct publication *publication, uint64_t from_revision,
                       const struct published *first,
                       struct publication_part *part)
{
    size_t max_size_bytes = part->max_size_bytes;
    struct buffer bytes = {0};

    for (;;) {
        const struct published *end =
            publication_find_end(first, max_size_bytes);
        part->next = end;
        part->delta = (struct ck_packed_delta){
            .from_revision = from_revision,
            .to_revision =
                end == NULL ? publication->revision : end->older->revision,
            .full = from_revision == 0,
            .more = end != NULL};
        publication_encode_delta(publication, &part->delta, first, end,
                                 &bytes);
        publication_compress(publication, &bytes, &part->delta);
        buffer_free(&bytes);
        if (part->delta.data.data_len <= PUBLICATION_MAX_PACKED_BYTES ||
            end == publication_find_end(first, 0)) {
            return;
        }
        free(part->delta.data.data_val);
        max_size_bytes /= 2;
    }
}

static const struct publication_part *
publication_find_part(const struct publication *publication,
                      uint64_t from_revision, size_t max_size_bytes)
{
    for (size_t i = 0; i < publication->parts_count; i++) {
        const struct publication_part *part = &publication->parts[i];
        if (part->delta.from_revision == from_revision &&
            part->max_size_bytes == max_size_bytes) {
            return part;
        }
    }
    return NULL;
}

static struct publication_part *
publication_add_part(struct publication *publication)
{
    struct publication_part *part = NULL;

    if (publication->parts_count < PUBLICATION_MAX_PARTS) {
        return &publication->parts[publication->parts_count++];
    }
    part = &publication->parts[publication->next_part];
    publication->next_part =
        (publication->next_part + 1) % PUBLICATION_MAX_PARTS;
    free(part->delta.data.data_val);
    return part;
}

// Fills a delta with the objects that have changed after from_revision, in the
// order of their revisions, up to the size limit. If objects are left, more is
// set and the next delta starts at to_revision. A from_revision of 0 yields a
// full delta. The data is valid until the next call or update.
void
publication_fill_delta(struct publication *publication, uint64_t from_revision,
                       size_t max_size_bytes, struct ck_packed_delta *out)
{
    const struct publication_part *found =
        publication_find_part(publication, from_revision, max_size_bytes);

    if (found != NULL) {
        *out = found->delta;
        return;
    }
    const struct published *first =
        publication_find_first_after(publication, from_revision);
    if (first == NULL) {
        *out = (struct ck_packed_delta){
            .from_revision = from_revision,
            .to_revision = from_revision > publication->revision
                               ? from_revision
                               : publication->revision,
            .full = from_revision == 0};
        return;
    }
    struct publication_part part = {.max_size_bytes = max_size_bytes};
    publication_build_part(publication, from_revision, first, &part);
    *publication_add_part(publication) = part;
    *out = part.delta;
}

// Decompresses the data of a delta. The caller frees *bytes.
static int
publication_decompress(const struct ck_packed_delta *packed, void **bytes,
                       size_t *size_bytes)
{
    unsigned long long size =
        ZSTD_getFrameContentSize(packed->data.data_val, packed->data.data_len);

    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN ||
        size > PUBLICATION_MAX_UNPACKED_BYTES) {
        return OUTCOME_PROTOCOL;
    }
    *bytes = xmalloc((size_t)size);
    *size_bytes = ZSTD_decompress(*bytes, (size_t)size, packed->data.data_val,
                                  packed->data.data_len);
    if (ZSTD_isError(*size_bytes)) {
        free(*bytes);
        return OUTCOME_PROTOCOL;
    }
    return OUTCOME_OK;
}

int
publication_unpack_delta(const struct ck_packed_delta *packed,
                         struct ck_view_delta *delta)
{
    void *bytes = NULL;
    size_t size_bytes = 0;

    memset(delta, 0, sizeof(*delta));
    if (packed->data.data_len == 0) {
        delta->from_revision = packed->from_revision;
        delta->to_revision = packed->to_revision;
        delta->full = packed->full;
        delta->more = packed->more;
        return OUTCOME_OK;
    }
    if (publication_decompress(packed, &bytes, &size_bytes) != OUTCOME_OK) {
        return OUTCOME_PROTOCOL;
    }
    int outcome = codec_decode_grown((xdrproc_t)xdr_ck_view_delta, bytes,
                                     size_bytes, delta);
    free(bytes);
    return outcome;
}

// Frees the lists of an unpacked delta.
void
publication_free_delta(struct ck_view_delta *delta)
{
    codec_free((xdrproc_t)xdr_ck_view_delta, delta);
    memset(delta, 0, sizeof(*delta));
}
