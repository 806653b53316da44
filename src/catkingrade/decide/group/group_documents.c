#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/group/group_private.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

// Validates and applies changes of template and customer documents and of the
// state of customers.

static const char *const group_customer_state_names[] = {"open", "draining",
                                                         "closed"};

static void
group_plan_add(struct group_plan *plan, struct group_object *customer,
               const struct document_customer *expanded)
{
    size_t count = plan->count + 1;

    plan->customers =
        xrealloc(plan->customers, count * sizeof(struct group_object *));
    plan->expanded =
        xrealloc(plan->expanded, count * sizeof(struct document_customer));
    plan->customers[plan->count] = customer;
    plan->expanded[plan->count] = *expanded;
    plan->count = count;
}

// Frees the memory of a plan and zeroes the struct.
void
group_plan_clear(struct group_plan *plan)
{
    for (size_t i = 0; i < plan->count; i++) {
        document_customer_clear(&plan->expanded[i]);
    }
    free(plan->customers);
    free(plan->expanded);
    memset(plan, 0, sizeof(*plan));
}

// Returns the control group that a customer sets for a database, or NULL if
// the customer doesn't list the database.
static const char *
group_find_listed_group(const struct document_customer *customer,
                        const char *database)
{
    for (u_int i = 0; i < customer->customer.databases.databases_len; i++) {
        if (strcmp(customer->customer.databases.databases_val[i], database) ==
            0) {
            return customer->groups[i];
        }
    }
    return NULL;
}

// Checks that no other customer lists the databases of a customer and that no
// database moves to another control group. before is NULL for a new customer.
static bool
group_check_listed_databases(const struct group_state *group,
                             const struct group_object *before,
                             const struct document_customer *after,
                             struct group_result *result)
{
    const struct ck_customer *customer = &after->customer;

    for (u_int i = 0; i < customer->databases.databases_len; i++) {
        const char *database = customer->databases.databases_val[i];
        const struct group_object *other =
            group_find(group, GROUP_LISTED_DATABASE, database);
        const char *before_group =
            before == NULL
                ? NULL
                : group_find_listed_group(&before->expanded, database);
        if (other != NULL && other != before) {
            group_result_set(result, OUTCOME_INVALID, other->revision,
                             "customer %s: databases: \"%s\" belongs to "
                             "customer %s",
                             customer->name, database, other->name);
            return false;
        }
        if (before_group != NULL &&
            strcmp(before_group, after->groups[i]) != 0) {
            group_result_set(result, OUTCOME_INVALID, before->revision,
                             "customer %s: databases: \"%s\" stays with "
                             "control group %s",
                             customer->name, database, before_group);
            return false;
        }
    }
    return true;
}

// Sets result to OUTCOME_INVALID with the first lines of errors as message, as
// far as they fit. Frees errors and returns OUTCOME_INVALID.
static int
group_reject_document(struct group_result *result, struct buffer *errors)
{
    buffer_append_u8(errors, 0);
    group_result_set(result, OUTCOME_INVALID, 0, "%s",
                     (const char *)buffer_get_data(errors));
    size_t length = strlen(result->message);
    if (length > 0 && result->message[length - 1] == '\n') {
        result->message[length - 1] = '\0';
    }
    buffer_free(errors);
    return OUTCOME_INVALID;
}

// Expands one customer with the given documents and adds it to the plan if it
// changes. before is NULL for a new customer. Returns OUTCOME_OK or
// OUTCOME_INVALID.
static int
group_plan_customer(const struct group_state *group,
                    struct group_object *before, const char *name,
                    const char *document, const char *template_document,
                    struct group_plan *plan, struct buffer *effect,
                    struct group_result *result)
{
    struct document_customer after;
    struct buffer errors = {0};
    struct buffer discarded = {0};

    if (document_expand(name, document, template_document, &after, &errors) !=
        OUTCOME_OK) {
        return group_reject_document(result, &errors);
    }
    buffer_free(&errors);
    if (!group_check_listed_databases(group, before, &after, result)) {
        document_customer_clear(&after);
        return OUTCOME_INVALID;
    }
    size_t changes = document_describe_changes(
        before == NULL ? NULL : &before->expanded, &after,
        effect == NULL ? &discarded : effect);
    buffer_free(&discarded);
    if (changes == 0) {
        document_customer_clear(&after);
        return OUTCOME_OK;
    }
    if (before != NULL) {
        after.customer.state = before->expanded.customer.state;
    }
    group_plan_add(plan, before, &after);
    return OUTCOME_OK;
}

// Validates a changed template and plans all customers that use it.
static int
group_plan_template(const struct group_state *group,
                    const struct ck_document_change *change,
                    struct group_plan *plan, struct buffer *effect,
                    struct group_result *result)
{
    struct buffer errors = {0};

    if (document_check_template(change->name, change->document, &errors) !=
        OUTCOME_OK) {
        return group_reject_document(result, &errors);
    }
    buffer_free(&errors);
    for (struct group_object *object = group->oldest; object != NULL;
         object = object->newer) {
        if (object->kind != GROUP_CUSTOMER ||
            strcmp(object->expanded.customer.template_name, change->name) !=
                0) {
            continue;
        }
        int outcome =
            group_plan_customer(group, object, object->name, object->document,
                                change->document, plan, effect, result);
        if (outcome != OUTCOME_OK) {
            return outcome;
        }
    }
    return OUTCOME_OK;
}

// Determines the customers that a change of a template or customer document
// changes and adds them to plan. If effect is not NULL, appends to it one line
// for each changed field of a customer. Returns OUTCOME_OK, or an error that
// is set in result. The caller frees plan with group_plan_clear.
int
group_plan_document(const struct group_state *group,
                    const struct ck_change *change, struct group_plan *plan,
                    struct buffer *effect, struct group_result *result)
{
    const struct ck_document_change *document = &change->ck_change_u.document;
    struct buffer errors = {0};
    char *template_name = NULL;

    if (change->kind == CK_CHANGE_TEMPLATE) {
        return group_plan_template(group, document, plan, effect, result);
    }
    if (document_read_template_name(document->document, &template_name,
                                    &errors) != OUTCOME_OK) {
        return group_reject_document(result, &errors);
    }
    buffer_free(&errors);
    const char *template_document =
        group_find_template_document(group, template_name);
    if (template_document == NULL) {
        group_result_set(result, OUTCOME_NOT_FOUND, 0,
                         "customer %s: template: there is no template \"%s\"",
                         document->name, template_name);
        free(template_name);
        return OUTCOME_NOT_FOUND;
    }
    free(template_name);
    return group_plan_customer(
        group, group_find(group, GROUP_CUSTOMER, document->name),
        document->name, document->document, template_document, plan, effect,
        result);
}

// Marks a database as removed if its customer no longer lists it, or restores
// it if its customer lists it again.
void
group_set_database_listed(struct group_state *group, const char *database,
                          bool listed)
{
    struct group_object *object = group_find(group, GROUP_DATABASE, database);

    if (object != NULL && object->removed == listed) {
        object->removed = !listed;
        if (listed) {
            group->databases_count++;
        }
        else {
            group->databases_count--;
        }
        (void)group_assign_revision(group, object);
    }
}

// Replaces the state of one customer by its planned state, whose memory moves
// from the plan to the object. Updates the index and the databases.
static void
group_commit_customer(struct group_state *group, struct group_object *object,
                      struct document_customer *after)
{
    struct document_customer before = object->expanded;

    object->expanded = *after;
    memset(after, 0, sizeof(*after));
    const struct ck_customer *customer = &object->expanded.customer;
    for (u_int i = 0; i < before.customer.databases.databases_len; i++) {
        const char *database = before.customer.databases.databases_val[i];
        if (group_find_listed_group(&object->expanded, database) == NULL) {
            group_index_remove(group->index, GROUP_LISTED_DATABASE, database);
            group_set_database_listed(group, database, false);
        }
    }
    group_index_customer(group, object);
    for (u_int i = 0; i < customer->databases.databases_len; i++) {
        group_set_database_listed(group, customer->databases.databases_val[i],
                                  true);
    }
    (void)group_assign_revision(group, object);
    document_customer_clear(&before);
}

// Applies a change of a template or customer document. Each changed object
// gets its own revision; result has the revision of the document's object.
void
group_apply_document(struct group_state *group, const struct ck_change *change,
                     struct group_result *result)
{
    const struct ck_document_change *document = &change->ck_change_u.document;
    enum group_kind kind =
        change->kind == CK_CHANGE_TEMPLATE ? GROUP_TEMPLATE : GROUP_CUSTOMER;
    struct group_plan plan = {0};

    if (group_plan_document(group, change, &plan, NULL, result) !=
        OUTCOME_OK) {
        group_plan_clear(&plan);
        return;
    }
    struct group_object *object = group_find(group, kind, document->name);
    if (object != NULL && strcmp(object->document, document->document) == 0) {
        group_result_set(result, OUTCOME_OK, object->revision, "no change");
        group_plan_clear(&plan);
        return;
    }
    if (object == NULL) {
        object = group_add(group, kind, document->name);
    }
    free(object->document);
    object->document = xstrdup(document->document);
    (void)group_assign_revision(group, object);
    for (size_t i = 0; i < plan.count; i++) {
        struct group_object *customer =
            plan.customers[i] == NULL ? object : plan.customers[i];
        group_commit_customer(group, customer, &plan.expanded[i]);
    }
    group_result_set(result, OUTCOME_OK, object->revision,
                     "%zu customers changed", plan.count);
    group_plan_clear(&plan);
}

// Checks that a template exists and that no customer uses it.
int
group_check_template_delete(const struct group_state *group, const char *name,
                            struct group_result *result)
{
    const struct group_object *object =
        group_find(group, GROUP_TEMPLATE, name);

    if (object == NULL) {
        group_result_set(result, OUTCOME_NOT_FOUND, 0,
                         "there is no template \"%s\"", name);
        return result->outcome;
    }
    for (const struct group_object *other = group->oldest; other != NULL;
         other = other->newer) {
        if (other->kind == GROUP_CUSTOMER &&
            strcmp(other->expanded.customer.template_name, name) == 0) {
            group_result_set(result, OUTCOME_INVALID, object->revision,
                             "template %s is used by customer %s", name,
                             other->name);
            return result->outcome;
        }
    }
    return OUTCOME_OK;
}

// Deletes a template if no customer uses it.
void
group_apply_template_delete(struct group_state *group, const char *name,
                            struct group_result *result)
{
    if (group_check_template_delete(group, name, result) != OUTCOME_OK) {
        return;
    }
    struct group_object *object = group_find(group, GROUP_TEMPLATE, name);
    uint64_t revision = group_assign_revision(group, object);
    group_delete(group, object);
    group_result_set(result, OUTCOME_OK, revision, "deleted");
}

// Checks a transition of a customer's state. The state only advances, from
// open to draining to closed.
int
group_check_customer_state(const struct group_state *group,
                           const struct ck_customer_state_change *change,
                           struct group_result *result)
{
    const struct group_object *object =
        group_find(group, GROUP_CUSTOMER, change->customer);

    if (object == NULL) {
        group_result_set(result, OUTCOME_NOT_FOUND, 0,
                         "there is no customer \"%s\"", change->customer);
        return result->outcome;
    }
    ck_customer_state state = object->expanded.customer.state;
    if (change->state < state) {
        group_result_set(result, OUTCOME_INVALID, object->revision,
                         "customer %s is %s and can't become %s again",
                         change->customer, group_customer_state_names[state],
                         group_customer_state_names[change->state]);
        return result->outcome;
    }
    return OUTCOME_OK;
}

// Applies a transition of a customer's state during its shutdown.
void
group_apply_customer_state(struct group_state *group,
                           const struct ck_customer_state_change *change,
                           struct group_result *result)
{
    if (group_check_customer_state(group, change, result) != OUTCOME_OK) {
        return;
    }
    struct group_object *object =
        group_find(group, GROUP_CUSTOMER, change->customer);
    if (object->expanded.customer.state == change->state) {
        group_result_set(result, OUTCOME_OK, object->revision, "no change");
        return;
    }
    object->expanded.customer.state = change->state;
    (void)group_assign_revision(group, object);
    group_result_set(result, OUTCOME_OK, object->revision, "%s",
                     change->report);
}
