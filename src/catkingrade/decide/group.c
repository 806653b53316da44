#include "catkingrade/decide/group.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "catkingrade/decide/group_private.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

// Makes the empty state of a group.
struct group_state *
group_create(const char *name)
{
    struct group_state *group = xcalloc(1, sizeof(*group));

    group->name = xstrdup(name);
    group->index = group_index_create();
    group->remembered = xcalloc(GROUP_MAX_RECORDED_RESULTS,
                                sizeof(struct group_recorded_result));
    return group;
}

// Frees one object that is no longer linked.
void
group_free_object(struct group_object *object)
{
    free(object->name);
    free(object->document);
    document_customer_clear(&object->expanded);
    codec_free((xdrproc_t)xdr_ck_daemon, &object->daemon);
    codec_free((xdrproc_t)xdr_ck_database, &object->database);
    codec_free((xdrproc_t)xdr_ck_packed_declaration, &object->declaration);
    free(object);
}

static void
group_clear_recorded_result(struct group_recorded_result *remembered)
{
    free(remembered->change_id);
    free(remembered->message);
    memset(remembered, 0, sizeof(*remembered));
}

// Frees the state.
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
        group_clear_recorded_result(&group->remembered[i]);
    }
    free(group->remembered);
    group_index_destroy(group->index);
    free(group->name);
    free(group);
}

// Fills a result; the text is cut at its size.
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

// Returns the object, also when it was removed, or NULL.
struct group_object *
group_find(const struct group_state *group, enum group_kind kind,
           const char *name)
{
    return group_index_get(group->index, (char)kind, name);
}

// Puts an object at the end of the list, which is in the order of revisions.
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

// Adds an empty object with the group's present revision.
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

// Removes an object from the list and the index and frees it.
void
group_delete(struct group_state *group, struct group_object *object)
{
    group_unlink(group, object);
    group_index_remove(group->index, (char)object->kind, object->name);
    group_free_object(object);
}

// Gives the object the next revision of the group.
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

// Writes "host:port".
void
group_format_address(char text[96], const char *host, unsigned port)
{
    (void)snprintf(text, 96, "%s:%u", host, port);
}

// Returns the member of a database with that name, or NULL.
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

// Enters the names and addresses of a database's upstreams. A lost upstream
// gives way to another one at its address.
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

// Enters the databases that a customer lists.
void
group_index_customer(struct group_state *group, struct group_object *object)
{
    const struct ck_customer *customer = &object->expanded.customer;

    for (u_int i = 0; i < customer->databases.databases_len; i++) {
        group_index_put(group->index, GROUP_LISTED_DATABASE,
                        customer->databases.databases_val[i], object);
    }
}

// Keeps the outcome of a change id, in place of the oldest when full.
void
group_record_result(struct group_state *group, const char *change_id,
                    uint64_t fingerprint, const struct group_result *result)
{
    size_t place = (group->results_start + group->results_count) %
                   GROUP_MAX_RECORDED_RESULTS;
    struct group_recorded_result *remembered = &group->remembered[place];

    if (group->results_count == GROUP_MAX_RECORDED_RESULTS) {
        group_index_remove(group->index, GROUP_CHANGE_ID,
                           remembered->change_id);
        group_clear_recorded_result(remembered);
        group->results_start =
            (group->results_start + 1) % GROUP_MAX_RECORDED_RESULTS;
    }
    else {
        group->results_count++;
    }
    remembered->change_id = xstrdup(change_id);
    remembered->fingerprint = fingerprint;
    remembered->outcome = result->outcome;
    remembered->revision = result->revision;
    remembered->message = xstrdup(result->message);
    group_index_put(group->index, GROUP_CHANGE_ID, change_id, remembered);
}

static uint64_t
group_compute_fingerprint(const struct ck_change *change)
{
    struct buffer bytes = {0};

    (void)codec_encode((xdrproc_t)xdr_ck_change, change, &bytes);
    uint64_t fingerprint = XXH3_64bits(bytes.data, buffer_get_size(&bytes));
    buffer_free(&bytes);
    return fingerprint;
}

// Answers a change id that is remembered. Returns whether it is.
static bool
group_replay_result(const struct group_state *group, const char *change_id,
                    const struct ck_change *change,
                    struct group_result *result)
{
    const struct group_recorded_result *remembered =
        change_id[0] == '\0'
            ? NULL
            : group_index_get(group->index, GROUP_CHANGE_ID, change_id);

    if (remembered == NULL) {
        return false;
    }
    if (remembered->fingerprint != group_compute_fingerprint(change)) {
        group_result_set(result, OUTCOME_INVALID, remembered->revision,
                         "change id %s was used for another change",
                         change_id);
        return true;
    }
    group_result_set(result, remembered->outcome, remembered->revision, "%s",
                     remembered->message);
    result->replayed = true;
    return true;
}

// Returns the object whose revision an expected one is compared with, or NULL.
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

// Compares the expected revision with that of the template or customer that
// changes; 0 expects that there is none yet. Returns whether they agree.
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
    case CK_CHANGE_DECLARATION:
        group_apply_declaration(group, &change->ck_change_u.declaration,
                                result);
        break;
    }
}

// Applies a decoded payload. The revision grows only when an object changes;
// a change id that is remembered gets its first outcome again.
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

// Applies the payload of a committed log entry, a ck_log_payload in XDR. A
// payload that cannot be decoded changes nothing and is OUTCOME_PROTOCOL, on
// every voter alike.
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

// Judges an operator's change without making it. effect gets one line for
// each customer and field that would change.
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

// Returns the group's name.
const char *
group_get_name(const struct group_state *group)
{
    return group->name;
}

// Returns how many changes of objects were accepted so far.
uint64_t
group_get_revision(const struct group_state *group)
{
    return group->revision;
}

// Returns the index of the last log entry that was applied.
uint64_t
group_get_applied_index(const struct group_state *group)
{
    return group->applied_index;
}

// Returns the number of databases that have at least one upstream.
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

static const struct group_object *
group_find_present(const struct group_state *group, enum group_kind kind,
                   const char *name)
{
    const struct group_object *object = group_find(group, kind, name);

    return object == NULL || object->removed ? NULL : object;
}

// Finds a database that has come into being.
const struct ck_database *
group_find_database(const struct group_state *group, const char *name)
{
    const struct group_object *object =
        group_find_present(group, GROUP_DATABASE, name);

    return object == NULL ? NULL : &object->database;
}

// Finds a customer.
const struct ck_customer *
group_find_customer(const struct group_state *group, const char *name)
{
    const struct group_object *object =
        group_find_present(group, GROUP_CUSTOMER, name);

    return object == NULL ? NULL : &object->expanded.customer;
}

// Finds the customer whose document lists a database.
const struct ck_customer *
group_find_customer_of_database(const struct group_state *group,
                                const char *database)
{
    const struct group_object *object =
        group_find_present(group, GROUP_LISTED_DATABASE, database);

    return object == NULL ? NULL : &object->expanded.customer;
}

// Finds a registered daemon by its VM.
const struct ck_daemon *
group_find_daemon(const struct group_state *group, const char *vm)
{
    const struct group_object *object =
        group_find_present(group, GROUP_DAEMON, vm);

    return object == NULL ? NULL : &object->daemon;
}

// Finds an upstream by its name, which is unique in the group.
const struct ck_upstream *
group_find_upstream(const struct group_state *group, const char *name)
{
    const struct group_object *object =
        group_find_present(group, GROUP_UPSTREAM, name);

    return object == NULL
               ? NULL
               : group_find_member_upstream(&object->database, name);
}

// Finds the upstream at an address that is not lost.
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

// Finds the JSON text of a template.
const char *
group_find_template_document(const struct group_state *group, const char *name)
{
    const struct group_object *object =
        group_find_present(group, GROUP_TEMPLATE, name);

    return object == NULL ? NULL : object->document;
}

// Finds the control group that decides a database.
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

// Calls visit for each database, in the order of their last changes.
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

// Calls visit for each customer, in the order of their last changes.
void
group_visit_customers(const struct group_state *group,
                      group_visit_customer_fn visit, void *data)
{
    for (const struct group_object *object = group->oldest; object != NULL;
         object = object->newer) {
        if (object->kind == GROUP_CUSTOMER &&
            !visit(data, &object->expanded.customer)) {
            return;
        }
    }
}

// Calls visit for each daemon, in the order of their last changes.
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
