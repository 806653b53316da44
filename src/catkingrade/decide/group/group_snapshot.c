#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/group/group_private.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

// Encodes the state of a control group as a snapshot and restores it. A
// snapshot consists of big-endian numbers and of byte blocks, each preceded by
// its length. Texts are stored as such blocks; daemons, databases,
// declarations, ordered promotions, histories and declared customers are
// stored in XDR in such blocks.

#define GROUP_SNAPSHOT_MAGIC 0x434b4731 // "CKG1"

static void
group_append_u64(struct buffer *out, uint64_t value)
{
    buffer_append_be32(out, (uint32_t)(value >> 32));
    buffer_append_be32(out, (uint32_t)value);
}

static void
group_append_text(struct buffer *out, const char *text)
{
    size_t size = strlen(text);

    buffer_append_be32(out, (uint32_t)size);
    buffer_append(out, text, size);
}

static void
group_append_xdr(struct buffer *out, xdrproc_t xdr, const void *value)
{
    struct buffer bytes = {0};
    int outcome = codec_encode(xdr, value, &bytes);

    INVARIANT(outcome == OUTCOME_OK);
    buffer_append_be32(out, (uint32_t)buffer_get_size(&bytes));
    buffer_append(out, buffer_get_data(&bytes), buffer_get_size(&bytes));
    buffer_free(&bytes);
}

static void
group_append_declaration(struct buffer *out, const struct group_object *object)
{
    const struct ck_declaration_in_force in_force = {
        .declaration = object->declaration,
        .refuses_keys = object->refuses_keys};
    struct buffer bytes = {0};
    int outcome = codec_encode_grown((xdrproc_t)xdr_ck_declaration_in_force,
                                     &in_force, &bytes);

    INVARIANT(outcome == OUTCOME_OK);
    buffer_append_be32(out, (uint32_t)buffer_get_size(&bytes));
    buffer_append(out, buffer_get_data(&bytes), buffer_get_size(&bytes));
    buffer_free(&bytes);
}

static void
group_encode_object(const struct group_object *object, struct buffer *out)
{
    buffer_append_be32(out, (uint32_t)object->kind);
    group_append_u64(out, object->revision);
    buffer_append_be32(out, object->removed ? 1 : 0);
    group_append_text(out, object->name);
    switch (object->kind) {
    case GROUP_TEMPLATE:
        group_append_text(out, object->document);
        break;
    case GROUP_CUSTOMER:
        group_append_text(out, object->document);
        buffer_append_be32(out, (uint32_t)object->expanded.customer.state);
        if (object->declared) {
            group_append_xdr(out, (xdrproc_t)xdr_ck_customer,
                             &object->expanded.customer);
        }
        break;
    case GROUP_DECLARATION:
        group_append_declaration(out, object);
        break;
    case GROUP_DAEMON:
        group_append_xdr(out, (xdrproc_t)xdr_ck_daemon, &object->daemon);
        break;
    case GROUP_PROMOTION:
        group_append_xdr(out, (xdrproc_t)xdr_ck_primary_change,
                         &object->promotion);
        break;
    case GROUP_HISTORY:
        group_append_xdr(out, (xdrproc_t)xdr_ck_history, &object->history);
        break;
    default:
        group_append_xdr(out, (xdrproc_t)xdr_ck_database, &object->database);
        break;
    }
}

static void
group_encode_recorded_results(const struct group_state *group,
                              struct buffer *out)
{
    buffer_append_be32(out, (uint32_t)group->results_count);
    for (size_t i = 0; i < group->results_count; i++) {
        const struct group_recorded_result *recorded =
            &group->results[(group->results_start + i) %
                            GROUP_MAX_RECORDED_RESULTS];
        group_append_text(out, recorded->change_id);
        group_append_u64(out, recorded->fingerprint);
        group_append_u64(out, recorded->revision);
        buffer_append_be32(out, (uint32_t)recorded->outcome);
        group_append_text(out, recorded->message);
    }
}

// Appends a snapshot of the state to out. Equal states have equal snapshots.
void
group_encode(const struct group_state *group, struct buffer *out)
{
    uint32_t count = 0;

    for (const struct group_object *object = group->oldest; object != NULL;
         object = object->newer) {
        count++;
    }
    buffer_append_be32(out, GROUP_SNAPSHOT_MAGIC);
    group_append_text(out, group->name);
    group_append_u64(out, group->revision);
    group_append_u64(out, group->applied_index);
    group_encode_recorded_results(group, out);
    buffer_append_be32(out, count);
    for (const struct group_object *object = group->oldest; object != NULL;
         object = object->newer) {
        group_encode_object(object, out);
    }
}

// The unread rest of a snapshot. After a failure all reads return 0 or NULL.
struct group_snapshot_reader {
    const uint8_t *data;
    size_t size_bytes;
    bool failed;
};

static const uint8_t *
group_read_bytes(struct group_snapshot_reader *reader, size_t size_bytes)
{
    if (reader->failed || reader->size_bytes < size_bytes) {
        reader->failed = true;
        return NULL;
    }
    const uint8_t *data = reader->data;
    reader->data += size_bytes;
    reader->size_bytes -= size_bytes;
    return data;
}

static uint32_t
group_read_u32(struct group_snapshot_reader *reader)
{
    uint32_t value = 0;
    const uint8_t *data = group_read_bytes(reader, sizeof(value));

    if (data != NULL) {
        memcpy(&value, data, sizeof(value));
    }
    return ntohl(value);
}

static uint64_t
group_read_u64(struct group_snapshot_reader *reader)
{
    uint64_t high = group_read_u32(reader);

    return high << 32 | group_read_u32(reader);
}

// Returns a new string, which is empty after a failure.
static char *
group_read_text(struct group_snapshot_reader *reader)
{
    uint32_t size = group_read_u32(reader);
    const uint8_t *data = group_read_bytes(reader, size);

    return data == NULL ? xstrdup("") : xmemdupz((const char *)data, size);
}

static void
group_read_xdr(struct group_snapshot_reader *reader, xdrproc_t xdr,
               void *value)
{
    uint32_t size = group_read_u32(reader);
    const uint8_t *data = group_read_bytes(reader, size);

    if (data == NULL || codec_decode(xdr, data, size, value) != OUTCOME_OK) {
        reader->failed = true;
    }
}

static void
group_read_declaration(struct group_snapshot_reader *reader,
                       struct group_object *object)
{
    struct ck_declaration_in_force in_force = {0};
    uint32_t size = group_read_u32(reader);
    const uint8_t *data = group_read_bytes(reader, size);

    if (data == NULL ||
        codec_decode_grown((xdrproc_t)xdr_ck_declaration_in_force, data, size,
                           &in_force) != OUTCOME_OK) {
        reader->failed = true;
        return;
    }
    object->declaration = in_force.declaration;
    object->refuses_keys = in_force.refuses_keys;
    reader->failed = !group_restore_declaration(object);
}

static void
group_decode_object(struct group_state *group,
                    struct group_snapshot_reader *reader)
{
    enum group_kind kind = (enum group_kind)group_read_u32(reader);
    uint64_t revision = group_read_u64(reader);
    bool removed = group_read_u32(reader) != 0;
    char *name = group_read_text(reader);
    bool known = kind == GROUP_TEMPLATE || kind == GROUP_CUSTOMER ||
                 kind == GROUP_DAEMON || kind == GROUP_DATABASE ||
                 kind == GROUP_DECLARATION || kind == GROUP_PROMOTION ||
                 kind == GROUP_HISTORY;

    if (reader->failed || !known || group_find(group, kind, name) != NULL) {
        reader->failed = true;
        free(name);
        return;
    }
    struct group_object *object = group_add(group, kind, name);
    free(name);
    object->revision = revision;
    object->removed = removed;
    if (kind == GROUP_TEMPLATE) {
        object->document = group_read_text(reader);
    }
    else if (kind == GROUP_CUSTOMER) {
        object->document = group_read_text(reader);
        object->expanded.customer.state =
            (ck_customer_state)group_read_u32(reader);
        object->declared = object->document[0] == '\0';
        if (object->declared) {
            group_read_xdr(reader, (xdrproc_t)xdr_ck_customer,
                           &object->expanded.customer);
        }
    }
    else if (kind == GROUP_DECLARATION) {
        group_read_declaration(reader, object);
    }
    else if (kind == GROUP_DAEMON) {
        group_read_xdr(reader, (xdrproc_t)xdr_ck_daemon, &object->daemon);
        group->daemons_count++;
    }
    else if (kind == GROUP_PROMOTION) {
        group_read_xdr(reader, (xdrproc_t)xdr_ck_primary_change,
                       &object->promotion);
    }
    else if (kind == GROUP_HISTORY) {
        group_read_xdr(reader, (xdrproc_t)xdr_ck_history, &object->history);
    }
    else {
        group_read_xdr(reader, (xdrproc_t)xdr_ck_database, &object->database);
        group->databases_count += removed ? 0 : 1;
    }
}

static void
group_decode_recorded_results(struct group_state *group,
                              struct group_snapshot_reader *reader)
{
    uint32_t count = group_read_u32(reader);

    if (count > GROUP_MAX_RECORDED_RESULTS) {
        reader->failed = true;
    }
    for (uint32_t i = 0; i < count && !reader->failed; i++) {
        struct group_result result = {0};
        char *change_id = group_read_text(reader);
        uint64_t fingerprint = group_read_u64(reader);
        result.revision = group_read_u64(reader);
        result.outcome = (int)group_read_u32(reader);
        char *message = group_read_text(reader);
        group_result_set(&result, result.outcome, result.revision, "%s",
                         message);
        if (!reader->failed) {
            group_record_result(group, change_id, fingerprint, &result);
        }
        free(change_id);
        free(message);
    }
}

// Expands a customer from its document and template, which the snapshot has,
// and adds its databases to the index.
static void
group_restore_customer(struct group_state *group, struct group_object *object,
                       struct group_snapshot_reader *reader)
{
    struct buffer errors = {0};
    char *template_name = NULL;
    ck_customer_state state = object->expanded.customer.state;
    int outcome =
        document_read_template_name(object->document, &template_name, &errors);
    const char *template_document =
        outcome == OUTCOME_OK
            ? group_find_template_document(group, template_name)
            : NULL;

    if (template_document == NULL ||
        document_expand(object->name, object->document, template_document,
                        &object->expanded, &errors) != OUTCOME_OK) {
        reader->failed = true;
    }
    object->expanded.customer.state = state;
    object->expanded.customer.revision = object->revision;
    group_index_customer(group, object);
    free(template_name);
    buffer_free(&errors);
}

// Restores the parts of the state that are derived from the decoded objects.
static void
group_restore_objects(struct group_state *group,
                      struct group_snapshot_reader *reader)
{
    for (struct group_object *object = group->oldest;
         object != NULL && !reader->failed; object = object->newer) {
        if (object->kind == GROUP_CUSTOMER && object->declared) {
            group_restore_declared_customer(group, object);
        }
        else if (object->kind == GROUP_CUSTOMER) {
            group_restore_customer(group, object, reader);
        }
        else if (object->kind == GROUP_DATABASE) {
            group_index_database(group, object);
        }
    }
}

// Restores a state from a snapshot. Returns NULL if data is not a valid
// snapshot of the group with this name. Free the state with group_destroy.
struct group_state *
group_decode(const char *name, const void *data, size_t size_bytes)
{
    struct group_snapshot_reader reader = {data, size_bytes, false};
    struct group_state *group = group_create(name);

    if (group_read_u32(&reader) != GROUP_SNAPSHOT_MAGIC) {
        reader.failed = true;
    }
    char *own_name = group_read_text(&reader);
    reader.failed = reader.failed || strcmp(own_name, name) != 0;
    free(own_name);
    group->revision = group_read_u64(&reader);
    group->applied_index = group_read_u64(&reader);
    group_decode_recorded_results(group, &reader);
    uint32_t count = group_read_u32(&reader);
    for (uint32_t i = 0; i < count && !reader.failed; i++) {
        group_decode_object(group, &reader);
    }
    group_restore_objects(group, &reader);
    if (reader.failed || reader.size_bytes != 0) {
        group_destroy(group);
        return NULL;
    }
    return group;
}
