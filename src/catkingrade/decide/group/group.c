#include "catkingrade/decide/group/group.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "catkingrade/decide/group/group_private.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

// Returns an empty state for the control group with this name. Free it with
// group_destroy.
struct group_state *
group_create(const char *name)
{
    struct group_state *group = xcalloc(1, sizeof(*group));

    group->name = xstrdup(name);
    group->index = group_index_create();
    group->results = xcalloc(GROUP_MAX_RECORDED_RESULTS,
                             sizeof(struct group_recorded_result));
    return group;
}

// Frees an object that is in neither the list nor the index.
void
group_free_object(struct group_object *object)
{
    free(object->name);
    free(object->document);
    document_customer_clear(&object->expanded);
    codec_free((xdrproc_t)xdr_ck_daemon, &object->daemon);
    codec_free((xdrproc_t)xdr_ck_database, &object->database);
    codec_free((xdrproc_t)xdr_ck_packed_declaration, &object->declaration);
    codec_free((xdrproc_t)xdr_ck_primary_change, &object->promotion);
    codec_free((xdrproc_t)xdr_ck_history, &object->history);
    free(object);
}

static void
group_clear_recorded_result(struct group_recorded_result *recorded)
{
    free(recorded->change_id);
    free(recorded->message);
    memset(recorded, 0, sizeof(*recorded));
}

// Frees the state. group may be NULL.
void
group_destroy(struct group_state *group)
{
    if (group == NULL) {
        return;
    }
    while (group->oldest != NULL) {
        struct group_object *object = group->oldest;
        group->oldest = object->newer;
        group_free_object(object);
    }
    for (size_t i = 0; i < GROUP_MAX_RECORDED_RESULTS; i++) {
        group_clear_recorded_result(&group->results[i]);
    }
    free(group->results);
    group_index_destroy(group->index);
    free(group->name);
    free(group);
}

// Sets the fields of a result. The formatted message is truncated to the size
// of result->message.
void
group_result_set(struct group_result *result, int outcome, uint64_t revision,
                 const char *format, ...)
{
    va_list args;

    result->outcome = outcome;
    result->revision = revision;
    va_start(args, format);
    (void)vsnprintf(result->message, sizeof(result->message), format, args);
    va_end(args);
}

// Returns the object with this name, also if it is marked as removed, or NULL.
struct group_object *
group_find(const struct group_state *group, enum group_kind kind,
           const char *name)
{
    return group_index_get(group->index, (char)kind, name);
}

// Appends an object to the list, which is in ascending order of revision.
void
group_link(struct group_state *group, struct group_object *object)
{
    object->older = group->newest;
    object->newer = NULL;
    if (group->newest != NULL) {
        group->newest->newer = object;
    }
    else {
        group->oldest = object;
    }
    group->newest = object;
}

static void
group_unlink(struct group_state *group, struct group_object *object)
{
    if (object->older != NULL) {
        object->older->newer = object->newer;
    }
    else {
        group->oldest = object->newer;
    }
    if (object->newer != NULL) {
        object->newer->older = object->older;
    }
    else {
        group->newest = object->older;
    }
}

// Adds an empty object with the group's current revision to the list and the
// index.
struct group_object *
group_add(struct group_state *group, enum group_kind kind, const char *name)
{
    struct group_object *object = xcalloc(1, sizeof(*object));

    object->kind = kind;
    object->name = xstrdup(name);
    object->revision = group->revision;
    group_link(group, object);
    group_index_put(group->index, (char)kind, name, object);
    return object;
}

// Removes an object from the list and from the index and frees it.
void
group_delete(struct group_state *group, struct group_object *object)
{
    group_unlink(group, object);
    group_index_remove(group->index, (char)object->kind, object->name);
    group_free_object(object);
}

// Increments the group's revision, assigns it to the object and moves the
// object to the end of the list. Returns the new revision.
uint64_t
group_assign_revision(struct group_state *group, struct group_object *object)
{
    group->revision++;
    object->revision = group->revision;
    object->expanded.customer.revision = group->revision;
    object->database.revision = group->revision;
    group_unlink(group, object);
    group_link(group, object);
    return group->revision;
}

// Formats an address as "host:port", the name used for GROUP_ADDRESS.
void
group_format_address(char text[96], const char *host, unsigned port)
{
    (void)snprintf(text, 96, "%s:%u", host, port);
}

// Returns the upstream with this name among the members of a database, or
// NULL.
struct ck_upstream *
group_find_member_upstream(const struct ck_database *database,
                           const char *name)
{
    for (u_int i = 0; i < database->upstreams.upstreams_len; i++) {
        struct ck_upstream *upstream = &database->upstreams.upstreams_val[i];
        if (strcmp(upstream->name, name) == 0) {
            return upstream;
        }
    }
    return NULL;
}

// Adds the names and addresses of a database's upstreams to the index. The
// address of a lost upstream is left out, so that another upstream can use it.
void
group_index_database(struct group_state *group, struct group_object *object)
{
    char address[96];
    struct ck_database *database = &object->database;

    for (u_int i = 0; i < database->upstreams.upstreams_len; i++) {
        const struct ck_upstream *upstream =
            &database->upstreams.upstreams_val[i];
        group_index_put(group->index, GROUP_UPSTREAM, upstream->name, object);
        if (upstream->state != CK_UPSTREAM_LOST) {
            group_format_address(address, upstream->host, upstream->port);
            group_index_put(group->index, GROUP_ADDRESS, address, object);
        }
    }
}

// Adds the databases that a customer lists to the index.
void
group_index_customer(struct group_state *group, struct group_object *object)
{
    const struct ck_customer *customer = &object->expanded.customer;

    for (u_int i = 0; i < customer->databases.databases_len; i++) {
        group_index_put(group->index, GROUP_LISTED_DATABASE,
                        customer->databases.databases_val[i], object);
    }
}

// Records the result of a change under its change id. When the ring buffer is
// full, the oldest result is discarded.
void
group_record_result(struct group_state *group, const char *change_id,
                    uint64_t fingerprint, const struct group_result *result)
{
    size_t slot = (group->results_start + group->results_count) %
                  GROUP_MAX_RECORDED_RESULTS;
    struct group_recorded_result *recorded = &group->results[slot];

    if (group->results_count == GROUP_MAX_RECORDED_RESULTS) {
        group_index_remove(group->index, GROUP_CHANGE_ID, recorded->change_id);
        group_clear_recorded_result(recorded);
        group->results_start =
            (group->results_start + 1) % GROUP_MAX_RECORDED_RESULTS;
    }
    else {
        group->results_count++;
    }
    recorded->change_id = xstrdup(change_id);
    recorded->fingerprint = fingerprint;
    recorded->outcome = result->outcome;
    recorded->revision = result->revision;
    recorded->message = xstrdup(result->message);
    group_index_put(group->index, GROUP_CHANGE_ID, change_id, recorded);
}

// Returns a hash of the encoded change. It detects a change id that is used
// again for a different change.
static uint64_t
group_compute_fingerprint(const struct ck_change *change)
{
    struct buffer bytes = {0};

    (void)codec_encode((xdrproc_t)xdr_ck_change, change, &bytes);
    uint64_t fingerprint = XXH3_64bits(bytes.data, buffer_get_size(&bytes));
    buffer_free(&bytes);
    return fingerprint;
}

// Returns whether a result is recorded for change_id and fills result with it.
// If it was recorded for a different change, result is set to OUTCOME_INVALID.
static bool
group_replay_result(const struct group_state *group, const char *change_id,
                    const struct ck_change *change,
                    struct group_result *result)
{
    const struct group_recorded_result *recorded =
        change_id[0] == '\0'
            ? NULL
            : group_index_get(group->index, GROUP_CHANGE_ID, change_id);

    if (recorded == NULL) {
        return false;
    }
    if (recorded->fingerprint != group_compute_fingerprint(change)) {
        group_result_set(result, OUTCOME_INVALID, recorded->revision,
                         "change id %s was used for another change",
                         change_id);
        return true;
    }
    group_result_set(result, recorded->outcome, recorded->revision, "%s",
                     recorded->message);
    result->replayed = true;
    return true;
}

// Returns the object whose revision is compared with the expected revision of
// the change, or NULL.
static const struct group_object *
group_find_target(const struct group_state *group,
                  const struct ck_change *change)
{
    switch (change->kind) {
    case CK_CHANGE_TEMPLATE:
        return group_find(group, GROUP_TEMPLATE,
                          change->ck_change_u.document.name);
    case CK_CHANGE_TEMPLATE_DELETE:
        return group_find(group, GROUP_TEMPLATE,
                          change->ck_change_u.template_name);
    case CK_CHANGE_CUSTOMER:
        return group_find(group, GROUP_CUSTOMER,
                          change->ck_change_u.document.name);
    case CK_CHANGE_CUSTOMER_STATE:
        return group_find(group, GROUP_CUSTOMER,
                          change->ck_change_u.customer_state.customer);
    default:
        return NULL;
    }
}

// Returns whether the template or customer that is to be changed has the
// expected revision; 0 means that it must not exist yet. Otherwise result is
// set to OUTCOME_CONFLICT.
static bool
group_check_revision(const struct group_state *group,
                     const struct ck_change *change, uint64_t expected,
                     struct group_result *result)
{
    const struct group_object *target = group_find_target(group, change);
    uint64_t revision = target == NULL ? 0 : target->revision;

    if (revision == expected) {
        return true;
    }
    group_result_set(result, OUTCOME_CONFLICT, revision,
                     "another change came first: revision is %" PRIu64
                     ", expected was %" PRIu64,
                     revision, expected);
    return false;
}

static void
group_apply_change(struct group_state *group, const struct ck_change *change,
                   struct group_result *result)
{
    switch (change->kind) {
    case CK_CHANGE_NONE:
    case CK_CHANGE_VOTERS:
        group_result_set(result, OUTCOME_OK, group->revision, "no change");
        break;
    case CK_CHANGE_TEMPLATE:
    case CK_CHANGE_CUSTOMER:
        group_apply_document(group, change, result);
        break;
    case CK_CHANGE_TEMPLATE_DELETE:
        group_apply_template_delete(group, change->ck_change_u.template_name,
                                    result);
        break;
    case CK_CHANGE_CUSTOMER_STATE:
        group_apply_customer_state(group, &change->ck_change_u.customer_state,
                                   result);
        break;
    case CK_CHANGE_DAEMON:
        group_apply_daemon(group, &change->ck_change_u.daemon, result);
        break;
    case CK_CHANGE_DAEMON_EXPIRE:
        group_apply_daemon_expire(group, &change->ck_change_u.daemon, result);
        break;
    case CK_CHANGE_UPSTREAM:
        group_apply_upstream(group, &change->ck_change_u.upstream, result);
        break;
    case CK_CHANGE_UPSTREAM_EXPIRE:
        group_apply_upstream_expire(group, &change->ck_change_u.upstream,
                                    result);
        break;
    case CK_CHANGE_SUPERSEDE:
        group_apply_supersede(group, &change->ck_change_u.supersede, result);
        break;
    case CK_CHANGE_PRIMARY:
        group_apply_primary(group, &change->ck_change_u.primary, result);
        break;
    case CK_CHANGE_PROMOTION:
        group_apply_promotion(group, &change->ck_change_u.primary, result);
        break;
    case CK_CHANGE_PROMOTED:
        group_apply_promoted(group, &change->ck_change_u.promoted, result);
        break;
    case CK_CHANGE_DECLARATION:
        group_apply_declaration(group, &change->ck_change_u.declaration,
                                result);
        break;
    }
}

// Applies a decoded payload of the log entry at index. The group's revision is
// incremented only if an object changes. If a result is recorded for the
// change id, the change is not applied again and the recorded result is
// returned.
void
group_apply_payload(struct group_state *group, uint64_t index,
                    const struct ck_log_payload *payload,
                    struct group_result *result)
{
    memset(result, 0, sizeof(*result));
    group->applied_index = index;
    if (group_replay_result(group, payload->change_id, &payload->change,
                            result)) {
        return;
    }
    if (!payload->check_revision ||
        group_check_revision(group, &payload->change,
                             payload->expected_revision, result)) {
        group_apply_change(group, &payload->change, result);
    }
    if (payload->change_id[0] != '\0') {
        group_record_result(group, payload->change_id,
                            group_compute_fingerprint(&payload->change),
                            result);
    }
}

// Applies the payload of the committed log entry at index, a ck_log_payload in
// XDR. A payload that cannot be decoded is OUTCOME_PROTOCOL and changes
// nothing but the applied index, with the same result on every voter.
void
group_apply(struct group_state *group, uint64_t index,
            const void *payload_bytes, size_t size_bytes,
            struct group_result *result)
{
    struct ck_log_payload payload;

    memset(&payload, 0, sizeof(payload));
    int outcome = codec_decode((xdrproc_t)xdr_ck_log_payload, payload_bytes,
                               size_bytes, &payload);
    if (outcome != OUTCOME_OK) {
        memset(result, 0, sizeof(*result));
        group->applied_index = index;
        group_result_set(result, outcome, group->revision,
                         "the log entry cannot be decoded");
        return;
    }
    group_apply_payload(group, index, &payload, result);
    codec_free((xdrproc_t)xdr_ck_log_payload, &payload);
}

// Validates a change of a template or customer document.
static void
group_check_documents(const struct group_state *group,
                      const struct ck_change *change,
                      struct group_result *result, struct buffer *effect)
{
    struct group_plan plan = {0};

    if (group_plan_document(group, change, &plan, effect, result) ==
        OUTCOME_OK) {
        group_result_set(result, OUTCOME_OK, group->revision,
                         plan.count == 0 ? "no change" : "would change");
    }
    group_plan_clear(&plan);
}

// Validates an operator's change without applying it. Appends to effect one
// line for each customer and field that would change. A kind of change that
// operators may not make is OUTCOME_DENIED.
void
group_check(const struct group_state *group, const struct ck_apply_args *args,
            struct group_result *result, struct buffer *effect)
{
    const struct ck_change *change = &args->change;

    memset(result, 0, sizeof(*result));
    if (group_replay_result(group, args->change_id, change, result)) {
        return;
    }
    if (args->check_revision &&
        !group_check_revision(group, change, args->expected_revision,
                              result)) {
        return;
    }
    group_result_set(result, OUTCOME_OK, group->revision, "would change");
    switch (change->kind) {
    case CK_CHANGE_TEMPLATE:
    case CK_CHANGE_CUSTOMER:
        group_check_documents(group, change, result, effect);
        break;
    case CK_CHANGE_TEMPLATE_DELETE:
        (void)group_check_template_delete(
            group, change->ck_change_u.template_name, result);
        break;
    case CK_CHANGE_CUSTOMER_STATE:
        (void)group_check_customer_state(
            group, &change->ck_change_u.customer_state, result);
        break;
    case CK_CHANGE_DECLARATION:
        (void)group_check_declaration(group, &change->ck_change_u.declaration,
                                      result);
        break;
    default:
        group_result_set(result, OUTCOME_DENIED, group->revision,
                         "only the group's leader makes such a change");
        break;
    }
}

// Returns the name of the control group, borrowed until group_destroy.
const char *
group_get_name(const struct group_state *group)
{
    return group->name;
}

// Returns the revision, which is the number of object changes so far.
uint64_t
group_get_revision(const struct group_state *group)
{
    return group->revision;
}

// Returns the index of the last applied log entry.
uint64_t
group_get_applied_index(const struct group_state *group)
{
    return group->applied_index;
}

// Returns the number of databases for which an upstream was announced and
// which are not removed.
size_t
group_get_databases_count(const struct group_state *group)
{
    return group->databases_count;
}

// Returns the number of registered daemons.
size_t
group_get_daemons_count(const struct group_state *group)
{
    return group->daemons_count;
}

// Returns the object unless it is marked as removed.
static const struct group_object *
group_find_present(const struct group_state *group, enum group_kind kind,
                   const char *name)
{
    const struct group_object *object = group_find(group, kind, name);

    return object == NULL || object->removed ? NULL : object;
}

// Finds a database by its name. A database exists from the first announcement
// of one of its upstreams on.
const struct ck_database *
group_find_database(const struct group_state *group, const char *name)
{
    const struct group_object *object =
        group_find_present(group, GROUP_DATABASE, name);

    return object == NULL ? NULL : &object->database;
}

// Finds a customer by its name.
const struct ck_customer *
group_find_customer(const struct group_state *group, const char *name)
{
    const struct group_object *object =
        group_find_present(group, GROUP_CUSTOMER, name);

    return object == NULL ? NULL : &object->expanded.customer;
}

// Finds the customer that lists a database.
const struct ck_customer *
group_find_customer_of_database(const struct group_state *group,
                                const char *database)
{
    const struct group_object *object =
        group_find_present(group, GROUP_LISTED_DATABASE, database);

    return object == NULL ? NULL : &object->expanded.customer;
}

// Finds a registered daemon by the name of its VM.
const struct ck_daemon *
group_find_daemon(const struct group_state *group, const char *vm)
{
    const struct group_object *object =
        group_find_present(group, GROUP_DAEMON, vm);

    return object == NULL ? NULL : &object->daemon;
}

// Finds an upstream by its name. Names are unique within the group.
const struct ck_upstream *
group_find_upstream(const struct group_state *group, const char *name)
{
    const struct group_object *object =
        group_find_present(group, GROUP_UPSTREAM, name);

    return object == NULL
               ? NULL
               : group_find_member_upstream(&object->database, name);
}

// Finds the upstream at an address. Lost upstreams are skipped.
const struct ck_upstream *
group_find_upstream_at(const struct group_state *group, const char *host,
                       unsigned port)
{
    char address[96];

    group_format_address(address, host, port);
    const struct group_object *object =
        group_find_present(group, GROUP_ADDRESS, address);
    for (u_int i = 0;
         object != NULL && i < object->database.upstreams.upstreams_len; i++) {
        const struct ck_upstream *upstream =
            &object->database.upstreams.upstreams_val[i];
        if (upstream->state != CK_UPSTREAM_LOST && upstream->port == port &&
            strcmp(upstream->host, host) == 0) {
            return upstream;
        }
    }
    return NULL;
}

// Finds the JSON document of a template.
const char *
group_find_template_document(const struct group_state *group, const char *name)
{
    const struct group_object *object =
        group_find_present(group, GROUP_TEMPLATE, name);

    return object == NULL ? NULL : object->document;
}

// Finds the control group that decides a database, or NULL if no customer
// lists the database.
const char *
group_find_deciding_group(const struct group_state *group,
                          const char *database)
{
    const struct group_object *object =
        group_find_present(group, GROUP_LISTED_DATABASE, database);

    if (object == NULL) {
        return NULL;
    }
    const struct ck_customer *customer = &object->expanded.customer;
    for (u_int i = 0; i < customer->databases.databases_len; i++) {
        if (strcmp(customer->databases.databases_val[i], database) == 0) {
            return object->expanded.groups[i];
        }
    }
    return NULL;
}

// Calls visit for each database that is not removed, in the order of their
// last changes.
void
group_visit_databases(const struct group_state *group,
                      group_visit_database_fn visit, void *data)
{
    for (const struct group_object *object = group->oldest; object != NULL;
         object = object->newer) {
        if (object->kind == GROUP_DATABASE && !object->removed &&
            !visit(data, &object->database)) {
            return;
        }
    }
}

// Calls visit for each customer that is not removed, in the order of their
// last changes.
void
group_visit_customers(const struct group_state *group,
                      group_visit_customer_fn visit, void *data)
{
    for (const struct group_object *object = group->oldest; object != NULL;
         object = object->newer) {
        if (object->kind == GROUP_CUSTOMER && !object->removed &&
            !visit(data, &object->expanded.customer)) {
            return;
        }
    }
}

// Calls visit for each registered daemon, in the order of their last changes.
void
group_visit_daemons(const struct group_state *group,
                    group_visit_daemon_fn visit, void *data)
{
    for (const struct group_object *object = group->oldest; object != NULL;
         object = object->newer) {
        if (object->kind == GROUP_DAEMON && !visit(data, &object->daemon)) {
            return;
        }
    }
}

// Calls visit for each database and daemon that changed after a revision,
// newest first.
void
group_visit_changes(const struct group_state *group, uint64_t revision,
                    group_visit_change_fn visit, void *data)
{
    const struct group_object *object = group->newest;

    while (object != NULL && object->revision > revision) {
        const struct group_object *older = object->older;
        if (object->kind == GROUP_DATABASE || object->kind == GROUP_DAEMON) {
            visit(data, object->kind == GROUP_DAEMON, object->name);
        }
        object = older;
    }
}
