#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/declaration.h"
#include "catkingrade/decide/group_private.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

// Priorities that are told apart; those beyond count as the last.
#define GROUP_PRIORITY_COUNT 6
// Of one entry; beyond it a request is refused at once.
#define GROUP_QUEUE_LIMIT_REQUESTS 500
// Of requests that bring no time limit of their own.
#define GROUP_DEFAULT_DEADLINE_MS 5000

// The effects of a declaration on a group's state. Each database that it
// names becomes a customer of its own, so that announcements, leases and
// failover work as for customers with documents.

// Returns the declaration in force, borrowed until the next change, or NULL.
const struct ck_packed_declaration *
group_get_declaration(const struct group_state *group)
{
    const struct group_object *object =
        group_find(group, GROUP_DECLARATION, GROUP_DECLARATION_NAME);

    return object == NULL ? NULL : &object->declaration;
}

// Judges a declaration. One whose number is not above the one in force is
// accepted and changes nothing; a faulty one is OUTCOME_INVALID in any case.
int
group_check_declaration(const struct group_state *group,
                        const struct ck_packed_declaration *packed,
                        struct group_result *result)
{
    const struct ck_packed_declaration *own = group_get_declaration(group);
    struct ck_declaration declaration;
    struct buffer errors = {0};

    if (declaration_unpack(packed, &declaration) != OUTCOME_OK) {
        group_result_set(result, OUTCOME_INVALID, 0,
                         "the declaration cannot be read");
        return result->outcome;
    }
    if (declaration_check(&declaration, &errors) != OUTCOME_OK) {
        group_result_set(result, OUTCOME_INVALID, 0, "%.*s",
                         (int)buffer_get_size(&errors),
                         (const char *)buffer_get_data(&errors));
    }
    else {
        bool is_newer = own == NULL || packed->number > own->number;
        group_result_set(result, OUTCOME_OK, group->revision, "%s",
                         is_newer ? "would change" : "no change");
    }
    buffer_free(&errors);
    declaration_free(&declaration);
    return result->outcome;
}

// Points the databases of a declared customer at this group, and indexes it.
void
group_restore_declared_customer(struct group_state *group,
                                struct group_object *object)
{
    const struct ck_customer *customer = &object->expanded.customer;
    u_int count = customer->databases.databases_len;

    object->expanded.groups = xcalloc(count + 1, sizeof(char *));
    for (u_int i = 0; i < count; i++) {
        object->expanded.groups[i] = xstrdup(group->name);
    }
    if (!object->removed) {
        group_index_customer(group, object);
    }
}

static struct group_object *
group_add_declared_customer(struct group_state *group,
                            const struct ck_declared_database *database)
{
    struct group_object *object =
        group_add(group, GROUP_CUSTOMER, database->name);
    struct ck_customer *customer = &object->expanded.customer;

    object->document = xstrdup("");
    object->declared = true;
    customer->name = xstrdup(database->name);
    customer->template_name = xstrdup("");
    customer->promotion = CK_PROMOTION_AVAILABLE;
    customer->databases.databases_val = xcalloc(1, sizeof(ck_name));
    customer->databases.databases_val[0] = xstrdup(database->name);
    customer->databases.databases_len = 1;
    group_restore_declared_customer(group, object);
    return object;
}

// Brings the limits of a database's upstreams in line with its customer's.
static void
group_override_database_limits(struct group_state *group, const char *name)
{
    struct group_object *object = group_find(group, GROUP_DATABASE, name);

    if (object == NULL) {
        return;
    }
    for (u_int i = 0; i < object->database.upstreams.upstreams_len; i++) {
        group_override_upstream_limits(
            group, &object->database.upstreams.upstreams_val[i]);
    }
    (void)group_assign_revision(group, object);
}

static bool
group_has_request_types(const struct ck_customer *customer,
                        const bool used[GROUP_PRIORITY_COUNT], u_int count)
{
    bool same = customer->types.types_len == count;

    for (u_int i = 0; same && i < count; i++) {
        unsigned long priority =
            strtoul(customer->types.types_val[i].name, NULL, 10);
        same = priority < GROUP_PRIORITY_COUNT && used[priority];
    }
    return same;
}

static void
group_free_request_types(struct ck_customer *customer)
{
    for (u_int i = 0; i < customer->types.types_len; i++) {
        free(customer->types.types_val[i].name);
    }
    free(customer->types.types_val);
    customer->types.types_val = NULL;
    customer->types.types_len = 0;
}

// Makes a request type for each priority of a database's routes: the more
// urgent one weighs twice as much as the next.
static bool
group_set_request_types(struct ck_customer *customer,
                        const struct ck_declaration *declaration)
{
    bool used[GROUP_PRIORITY_COUNT] = {false};
    u_int count = 0;

    for (u_int i = 0; i < declaration->routes.routes_len; i++) {
        const struct ck_route *route = &declaration->routes.routes_val[i];
        u_int priority = route->priority < GROUP_PRIORITY_COUNT
                             ? route->priority
                             : GROUP_PRIORITY_COUNT - 1;
        if (strcmp(route->database, customer->name) == 0 && !used[priority]) {
            used[priority] = true;
            count++;
        }
    }
    if (group_has_request_types(customer, used, count)) {
        return false;
    }
    group_free_request_types(customer);
    customer->types.types_val = xcalloc(count, sizeof(struct ck_request_type));
    customer->types.types_len = 0;
    for (u_int i = 0; i < GROUP_PRIORITY_COUNT; i++) {
        if (!used[i]) {
            continue;
        }
        struct ck_request_type *type =
            &customer->types.types_val[customer->types.types_len++];
        type->name = xasprintf("%u", i);
        type->weight = 1U << (GROUP_PRIORITY_COUNT - 1 - i);
        type->queue_limit = GROUP_QUEUE_LIMIT_REQUESTS;
        type->deadline_ms = GROUP_DEFAULT_DEADLINE_MS;
    }
    return true;
}

static void
group_declare_database(struct group_state *group,
                       const struct ck_declaration *declaration,
                       const struct ck_declared_database *database)
{
    struct group_object *object =
        group_find(group, GROUP_CUSTOMER, database->name);

    if (object == NULL) {
        object = group_add_declared_customer(group, database);
    }
    else if (!object->declared) {
        return; // a customer with a document keeps its own limits
    }
    struct ck_customer *customer = &object->expanded.customer;
    bool was_removed = object->removed;
    bool same = !group_set_request_types(customer, declaration) &&
                !was_removed && customer->revision != 0 &&
                customer->connections == database->connections &&
                customer->confirm == database->confirm;
    if (same) {
        return;
    }
    object->removed = false;
    customer->connections = database->connections;
    customer->confirm = database->confirm;
    if (was_removed) {
        group_index_customer(group, object);
        group_set_database_listed(group, database->name, true);
    }
    (void)group_assign_revision(group, object);
    group_override_database_limits(group, database->name);
}

static bool
group_is_declared(const struct ck_declaration *declaration, const char *name)
{
    for (u_int i = 0; i < declaration->databases.databases_len; i++) {
        if (strcmp(declaration->databases.databases_val[i].name, name) == 0) {
            return true;
        }
    }
    return false;
}

// Hides the declared customers that a new declaration no longer names.
static void
group_remove_undeclared(struct group_state *group,
                        const struct ck_declaration *declaration)
{
    struct group_object *object = group->oldest;
    uint64_t before = group->revision;

    while (object != NULL && object->revision <= before) {
        struct group_object *next = object->newer;
        if (object->kind == GROUP_CUSTOMER && object->declared &&
            !object->removed &&
            !group_is_declared(declaration, object->name)) {
            object->removed = true;
            group_index_remove(group->index, GROUP_LISTED_DATABASE,
                               object->name);
            group_set_database_listed(group, object->name, false);
            (void)group_assign_revision(group, object);
        }
        object = next;
    }
}

static struct group_object *
group_ensure_declaration(struct group_state *group)
{
    struct group_object *object =
        group_find(group, GROUP_DECLARATION, GROUP_DECLARATION_NAME);

    return object != NULL
               ? object
               : group_add(group, GROUP_DECLARATION, GROUP_DECLARATION_NAME);
}

// Puts a declaration in force when its number is above the one before. One
// that is not changes nothing and is accepted all the same.
void
group_apply_declaration(struct group_state *group,
                        const struct ck_packed_declaration *packed,
                        struct group_result *result)
{
    const struct ck_packed_declaration *own = group_get_declaration(group);
    struct ck_declaration declaration;

    if (group_check_declaration(group, packed, result) != OUTCOME_OK) {
        return;
    }
    if (own != NULL && packed->number <= own->number) {
        group_result_set(result, OUTCOME_OK, group->revision,
                         "no change: number %" PRIu64 " is in force",
                         (uint64_t)own->number);
        return;
    }
    int outcome = declaration_unpack(packed, &declaration);
    INVARIANT(outcome == OUTCOME_OK);
    group_remove_undeclared(group, &declaration);
    for (u_int i = 0; i < declaration.databases.databases_len; i++) {
        group_declare_database(group, &declaration,
                               &declaration.databases.databases_val[i]);
    }
    declaration_free(&declaration);
    struct group_object *object = group_ensure_declaration(group);
    codec_free((xdrproc_t)xdr_ck_packed_declaration, &object->declaration);
    codec_copy((xdrproc_t)xdr_ck_packed_declaration, packed,
               &object->declaration, sizeof(object->declaration));
    group_result_set(result, OUTCOME_OK, group_assign_revision(group, object),
                     "number %" PRIu64 " is in force",
                     (uint64_t)packed->number);
}
