#include "test/fake/changes.h"

#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <zstd.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

// Casts away const: the XDR structs have non-const members, but the code under
// test does not modify them.
static char *
changes_drop_const(const char *text)
{
    return (char *)(uintptr_t)text;
}

// Encodes a change as a log payload and applies it at a log index; index 0
// means the index after the last applied one. The group checks
// expected_revision against the object's revision unless it is negative.
// result may be NULL. Returns the outcome of the change.
int
changes_apply(struct group_state *group, uint64_t index,
              const struct ck_change *change, const char *change_id,
              int64_t expected_revision, struct group_result *result)
{
    struct buffer bytes = {0};
    struct group_result ignored;
    struct ck_log_payload payload = {
        .change_id = changes_drop_const(change_id),
        .expected_revision = (uint64_t)expected_revision,
        .check_revision = expected_revision >= 0,
        .change = *change,
    };

    result = result == NULL ? &ignored : result;
    int outcome =
        codec_encode((xdrproc_t)xdr_ck_log_payload, &payload, &bytes);
    INVARIANT(outcome == OUTCOME_OK);
    index = index == 0 ? group_get_applied_index(group) + 1 : index;
    group_apply(group, index, bytes.data, buffer_get_size(&bytes), result);
    buffer_free(&bytes);
    return result->outcome;
}

// Applies a template or customer document at the next log index; kind selects
// which. The other arguments are those of changes_apply().
int
changes_apply_document(struct group_state *group, ck_change_kind kind,
                       const char *name, const char *document,
                       const char *change_id, int64_t expected_revision,
                       struct group_result *result)
{
    struct ck_change change = {.kind = kind};

    change.ck_change_u.document.name = changes_drop_const(name);
    change.ck_change_u.document.document = changes_drop_const(document);
    return changes_apply(group, 0, &change, change_id, expected_revision,
                         result);
}

// Returns an upstream in state ready with 5 slots and 30 connections at port
// 5432. The result refers to the caller's strings.
struct ck_upstream
changes_make_upstream(const char *name, const char *database,
                      const char *failure_domain, const char *host)
{
    struct ck_upstream upstream = {
        .name = changes_drop_const(name),
        .database = changes_drop_const(database),
        .failure_domain = changes_drop_const(failure_domain),
        .host = changes_drop_const(host),
        .port = 5432,
        .slots = 5,
        .connections = 30,
        .state = CK_UPSTREAM_READY,
    };

    return upstream;
}

// Returns a daemon with the role entry in failure domain "noord" at port 7432.
// The result refers to the caller's strings.
struct ck_daemon
changes_make_daemon(const char *vm, const char *host, uint64_t incarnation)
{
    struct ck_daemon daemon = {
        .vm = changes_drop_const(vm),
        .incarnation = incarnation,
        .failure_domain = changes_drop_const("noord"),
        .host = changes_drop_const(host),
        .port = 7432,
        .roles = 1,
    };

    return daemon;
}

// Applies an upstream's announcement at the next log index.
int
changes_apply_upstream(struct group_state *group,
                       const struct ck_upstream *upstream)
{
    struct ck_change change = {.kind = CK_CHANGE_UPSTREAM};

    change.ck_change_u.upstream = *upstream;
    return changes_apply(group, 0, &change, "", -1, NULL);
}

// Applies template "roster" and customer "pootafdruk", which most tests use.
// Aborts if either is refused.
void
changes_set_customer(struct group_state *group, const char *databases,
                     const char *promotion)
{
    struct buffer document = {0};

    int outcome =
        changes_apply_document(group, CK_CHANGE_TEMPLATE, "roster",
                               CHANGES_TEMPLATE_ROSTER, "", -1, NULL);
    INVARIANT(outcome == OUTCOME_OK);
    buffer_append_format(
        &document,
        "{\"customer\": \"pootafdruk\", \"template\": \"roster\","
        " \"parameters\": {\"databases\": %s,"
        " \"promotion\": \"%s\"}}",
        databases, promotion);
    buffer_append_u8(&document, 0);
    outcome = changes_apply_document(group, CK_CHANGE_CUSTOMER, "pootafdruk",
                                     (const char *)buffer_get_data(&document),
                                     "", -1, NULL);
    buffer_free(&document);
    INVARIANT(outcome == OUTCOME_OK);
}

void
changes_pack_delta(const struct ck_view_delta *delta,
                   struct ck_packed_delta *packed)
{
    struct buffer bytes = {0};

    (void)codec_encode((xdrproc_t)xdr_ck_view_delta, delta, &bytes);
    size_t limit = ZSTD_compressBound(buffer_get_size(&bytes));
    char *data = xmalloc(limit);
    size_t size = ZSTD_compress(data, limit, buffer_get_data(&bytes),
                                buffer_get_size(&bytes), 1);
    INVARIANT(!ZSTD_isError(size));
    buffer_free(&bytes);
    *packed = (struct ck_packed_delta){.from_revision = delta->from_revision,
                                       .to_revision = delta->to_revision,
                                       .full = delta->full,
                                       .more = delta->more};
    packed->data.data_val = data;
    packed->data.data_len = (u_int)size;
}
