#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/group/declaration.h"
#include "catkingrade/decide/group/declaration_index.h"
#include "catkingrade/decide/group/group_private.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

// Applies an operator's declaration to the state of a control group. Each
// database in the declaration becomes a customer of its own, so that upstream
// announcements, leases and failover work as for customers with documents.

// Number of distinct priorities; higher priority numbers count as the last.
#define GROUP_PRIORITY_COUNT 6
// Queue limit of one entry daemon for each priority. Further requests are
// rejected without being queued.
#define GROUP_QUEUE_LIMIT_REQUESTS 500
// Deadline of requests that carry no time limit.
#define GROUP_DEFAULT_DEADLINE_MS 5000

// Returns the declaration in force, borrowed until the next change, or NULL.
const struct ck_packed_declaration *
group_get_declaration(const struct group_state *group)
{
    const struct group_object *object =
        group_find(group, GROUP_DECLARATION, GROUP_DECLARATION_NAME);

    return object == NULL ? NULL : &object->declaration;
}

// Validates a declaration without applying it. An invalid declaration is
// OUTCOME_INVALID, whatever its number. A valid one is OUTCOME_OK, also if its
// number is not above the number in force, in which case it changes nothing.
int
group_check_declaration(const struct group_state *group,
                        const struct ck_packed_declaration *packed,
                        struct group_result *result)
{
    const struct ck_packed_declaration *current = group_get_declaration(group);
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
        bool is_newer = current == NULL || packed->number > current->number;
        group_result_set(result, OUTCOME_OK, group->revision, "%s",
                         is_newer ? "would change" : "no change");
    }
    buffer_free(&errors);
    declaration_free(&declaration);
    return result->outcome;
}

// Returns the promotion policy of a declared database. An acknowledged write
// must not be lost where replicas confirm writes, so only an operator may have
// a replica promoted that is not known to hold them all.
static ck_promotion_policy
group_get_declared_promotion(u_int confirm)
{
    return confirm > 0 ? CK_PROMOTION_OPERATOR : CK_PROMOTION_AVAILABLE;
}

// Sets this group as the control group of a declared customer's databases and
// adds the databases to the index, unless the customer is removed. Derives the
// promotion policy, which snapshots of earlier versions hold differently.
void
group_restore_declared_customer(struct group_state *group,
                                struct group_object *object)
{
    struct ck_customer *customer = &object->expanded.customer;
    u_int count = customer->databases.databases_len;

    customer->promotion = group_get_declared_promotion(customer->confirm);
    object->expanded.groups = xcalloc(count + 1, sizeof(char *));
    for (u_int i = 0; i < count; i++) {
        object->expanded.groups[i] = xstrdup(group->name);
    }
    if (!object->removed) {
        group_index_customer(group, object);
    }
}

// Adds the customer of a declared database, with the database's name.
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
    customer->databases.databases_val = xcalloc(1, sizeof(ck_name));
    customer->databases.databases_val[0] = xstrdup(database->name);
    customer->databases.databases_len = 1;
    group_restore_declared_customer(group, object);
    return object;
}

// Replaces the limits of a database's upstreams by those of its customer and
// assigns the database a new revision.
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

// Returns whether the customer's request types are exactly those of the used
// priorities. count is the number of used priorities.
static bool
group_has_request_types(const struct ck_customer *customer,
                        const bool used[GROUP_PRIORITY_COUNT], u_int count)
{
    bool equal = customer->types.types_len == count;

    for (u_int i = 0; equal && i < count; i++) {
        unsigned long priority =
            strtoul(customer->types.types_val[i].name, NULL, 10);
        equal = priority < GROUP_PRIORITY_COUNT && used[priority];
    }
    return equal;
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

// Creates a request type for each priority used by the routes of the
// customer's database. Each priority has twice the weight of the next less
// urgent one. Returns false if the customer already has these request types.
static bool
group_set_request_types(struct ck_customer *customer,
                        const struct declaration_index *index)
{
    bool used[GROUP_PRIORITY_COUNT] = {false};
    size_t routes_count = 0;
    const struct ck_route *const *routes =
        declaration_index_list_routes(index, customer->name, &routes_count);
    u_int count = 0;

    for (size_t i = 0; i < routes_count; i++) {
        u_int priority = routes[i]->priority < GROUP_PRIORITY_COUNT
                             ? routes[i]->priority
                             : GROUP_PRIORITY_COUNT - 1;
        if (!used[priority]) {
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

// Creates or updates the customer of a declared database. The customer gets a
// new revision only if it changes.
static void
group_declare_database(struct group_state *group,
                       const struct declaration_index *index,
                       const struct ck_declared_database *database)
{
    struct group_object *object =
        group_find(group, GROUP_CUSTOMER, database->name);

    if (object == NULL) {
        object = group_add_declared_customer(group, database);
    }
    else if (!object->declared) {
        return; // the limits in a customer's document take precedence
    }
    struct ck_customer *customer = &object->expanded.customer;
    bool was_removed = object->removed;
    bool unchanged = !group_set_request_types(customer, index) &&
                     !was_removed && customer->revision != 0 &&
                     customer->connections == database->connections &&
                     customer->confirm == database->confirm;
    if (unchanged) {
        return;
    }
    object->removed = false;
    customer->connections = database->connections;
    customer->confirm = database->confirm;
    customer->promotion = group_get_declared_promotion(database->confirm);
    if (was_removed) {
        group_index_customer(group, object);
        group_set_database_listed(group, database->name, true);
    }
    (void)group_assign_revision(group, object);
    group_override_database_limits(group, database->name);
}

// Marks the declared customers that a new declaration leaves out, and their
// databases, as removed. The loop ends at the first object with a revision
// assigned by this function, because assigning one moves the object to the end
// of the list.
static void
group_remove_undeclared(struct group_state *group,
                        const struct declaration_index *index)
{
    struct group_object *object = group->oldest;
    uint64_t before = group->revision;

    while (object != NULL && object->revision <= before) {
        struct group_object *next = object->newer;
        if (object->kind == GROUP_CUSTOMER && object->declared &&
            !object->removed &&
            declaration_index_find_database(index, object->name) == NULL) {
            object->removed = true;
            group_index_remove(group->index, GROUP_LISTED_DATABASE,
                               object->name);
            group_set_database_listed(group, object->name, false);
            (void)group_assign_revision(group, object);
        }
        object = next;
    }
}

// Returns the declaration object, which is added if there is none.
static struct group_object *
group_ensure_declaration(struct group_state *group)
{
    struct group_object *object =
        group_find(group, GROUP_DECLARATION, GROUP_DECLARATION_NAME);

    return object != NULL
               ? object
               : group_add(group, GROUP_DECLARATION, GROUP_DECLARATION_NAME);
}

// Decides whether keys are refused under a new declaration. Customers who had
// keys lose them with their list, whether it is empty or left out: only where
// there never was a list no key is checked.
static void
group_set_key_use(struct group_object *object,
                  const struct ck_declaration *declaration)
{
    bool has_customers = declaration->customers.customers_len > 0;

    object->refuses_keys =
        !has_customers && (declaration->refuses_keys ||
                           object->has_customers || object->refuses_keys);
    object->has_customers = has_customers;
}

// Restores what is derived from the declaration in force. Returns false if it
// cannot be read.
bool
group_restore_declaration(struct group_object *object)
{
    struct ck_declaration declaration;

    if (declaration_unpack(&object->declaration, &declaration) != OUTCOME_OK) {
        return false;
    }
    object->has_customers = declaration.customers.customers_len > 0;
    declaration_free(&declaration);
    return true;
}

// Puts a declaration in force if its number is above the number in force. A
// valid declaration with another number is OUTCOME_OK and changes nothing.
void
group_apply_declaration(struct group_state *group,
                        const struct ck_packed_declaration *packed,
                        struct group_result *result)
{
    const struct ck_packed_declaration *current = group_get_declaration(group);
    struct ck_declaration declaration;

    if (group_check_declaration(group, packed, result) != OUTCOME_OK) {
        return;
    }
    if (current != NULL && packed->number <= current->number) {
        group_result_set(result, OUTCOME_OK, group->revision,
                         "no change: number %" PRIu64 " is in force",
                         (uint64_t)current->number);
        return;
    }
    int outcome = declaration_unpack(packed, &declaration);
    INVARIANT(outcome == OUTCOME_OK);
    struct declaration_index *index = declaration_index_create(&declaration);
    group_remove_undeclared(group, index);
    for (u_int i = 0; i < declaration.databases.databases_len; i++) {
        group_declare_database(group, index,
                               &declaration.databases.databases_val[i]);
    }
    declaration_index_destroy(index);
    struct group_object *object = group_ensure_declaration(group);
    group_set_key_use(object, &declaration);
    declaration_free(&declaration);
    codec_free((xdrproc_t)xdr_ck_packed_declaration, &object->declaration);
    codec_copy((xdrproc_t)xdr_ck_packed_declaration, packed,
               &object->declaration, sizeof(object->declaration));
    group_result_set(result, OUTCOME_OK, group_assign_revision(group, object),
                     "number %" PRIu64 " is in force",
                     (uint64_t)packed->number);
}
