#include "test/fake/changes.h"

#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

static char *
changes_drop_const(const char *text)
{
    return (char *)(uintptr_t)text;
}

// Applies a change in its XDR form; an expected revision below 0 is not
// checked, an index of 0 is the next one.
int
changes_apply(struct group_state *group, uint64_t index,
              const struct ck_change *change, const char *change_id,
              int64_t expected_revision, struct group_result *result)
{
    struct buffer bytes = {0};
    struct group_result unseen;
    struct ck_log_payload payload = {
        .change_id = changes_drop_const(change_id),
        .expected_revision = (uint64_t)expected_revision,
        .check_revision = expected_revision >= 0,
        .change = *change,
    };

    result = result == NULL ? &unseen : result;
    int outcome =
        codec_encode((xdrproc_t)xdr_ck_log_payload, &payload, &bytes);
    INVARIANT(outcome == OUTCOME_OK);
    index = index == 0 ? group_get_applied_index(group) + 1 : index;
    group_apply(group, index, bytes.data, buffer_get_size(&bytes), result);
    buffer_free(&bytes);
    return result->outcome;
}

// Applies a template or a customer.
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

// Makes a ready upstream with 5 slots and 30 connections at port 5432.
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

// Makes an entry at port 7432.
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

// Applies an announcement.
int
changes_apply_upstream(struct group_state *group,
                       const struct ck_upstream *upstream)
{
    struct ck_change change = {.kind = CK_CHANGE_UPSTREAM};

    change.ck_change_u.upstream = *upstream;
    return changes_apply(group, 0, &change, "", -1, NULL);
}

// Makes the template and the customer of most tests.
void
changes_set_customer(struct group_state *group, const char *databases,
                     const char *promotion)
{
    char document[4096];

    int outcome =
        changes_apply_document(group, CK_CHANGE_TEMPLATE, "roster",
                               CHANGES_TEMPLATE_ROSTER, "", -1, NULL);
    INVARIANT(outcome == OUTCOME_OK);
    (void)snprintf(document, sizeof(document),
                   "{\"customer\": \"pootafdruk\", \"template\": \"roster\","
                   " \"parameters\": {\"databases\": %s,"
                   " \"promotion\": \"%s\"}}",
                   databases, promotion);
    outcome = changes_apply_document(group, CK_CHANGE_CUSTOMER, "pootafdruk",
                                     document, "", -1, NULL);
    INVARIANT(outcome == OUTCOME_OK);
}
