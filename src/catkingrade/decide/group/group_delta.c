#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/group/group_private.h"
#include "catkingrade/kernel/memory.h"

// Computes the deltas by which entry daemons follow the state of a control
// group.

// Appends item to an XDR list that has the members length and values.
#define GROUP_DELTA_PUSH(length, values, item)                                \
    do {                                                                      \
        (values) = xrealloc((values), ((length) + 1) * sizeof(*(values)));    \
        (values)[(length)++] = (item);                                        \
    } while (0)

static bool
group_delta_serves(const struct group_delta_filter *filter,
                   const struct ck_database *database)
{
    return filter == NULL || filter->serves == NULL ||
           filter->serves(filter->data, database);
}

static void
group_delta_add_customer(const struct group_state *group,
                         const struct group_object *object,
                         struct ck_view_delta *out)
{
    // Only the fleet's control group publishes customers. The control group
    // of a failure domain has its own documents and doesn't publish them.
    if (strcmp(group->name, GROUP_FLEET_NAME) != 0) {
        return;
    }
    if (object->removed) {
        GROUP_DELTA_PUSH(out->customers_removed.customers_removed_len,
                         out->customers_removed.customers_removed_val,
                         object->name);
        return;
    }
    GROUP_DELTA_PUSH(out->customers.customers_len,
                     out->customers.customers_val, object->expanded.customer);
}

static void
group_delta_add_database(const struct group_object *object,
                         const struct group_delta_filter *filter,
                         struct ck_view_delta *out)
{
    if (object->removed) {
        GROUP_DELTA_PUSH(out->databases_removed.databases_removed_len,
                         out->databases_removed.databases_removed_val,
                         object->name);
        return;
    }
    if (group_delta_serves(filter, &object->database)) {
        GROUP_DELTA_PUSH(out->databases.databases_len,
                         out->databases.databases_val, object->database);
    }
}

static void
group_delta_add(const struct group_state *group,
                const struct group_object *object,
                const struct group_delta_filter *filter,
                struct ck_view_delta *out)
{
    if (object->kind == GROUP_CUSTOMER) {
        group_delta_add_customer(group, object, out);
    }
    else if (object->kind == GROUP_DATABASE) {
        group_delta_add_database(object, filter, out);
    }
    else if (object->kind == GROUP_DECLARATION) {
        GROUP_DELTA_PUSH(out->declaration.declaration_len,
                         out->declaration.declaration_val,
                         object->declaration);
    }
}

// Returns the size in bytes that an object takes in a delta.
static size_t
group_delta_get_object_size(const struct group_object *object)
{
    if (object->kind == GROUP_CUSTOMER) {
        return xdr_sizeof((xdrproc_t)xdr_ck_customer,
                          (void *)(uintptr_t)&object->expanded.customer);
    }
    if (object->kind == GROUP_DATABASE) {
        return xdr_sizeof((xdrproc_t)xdr_ck_database,
                          (void *)(uintptr_t)&object->database);
    }
    if (object->kind == GROUP_DECLARATION) {
        return object->declaration.data.data_len;
    }
    return 0;
}

// Returns the oldest object with a revision above the given one, or NULL.
static const struct group_object *
group_find_first_after(const struct group_state *group, uint64_t revision)
{
    const struct group_object *object = group->newest;
    const struct group_object *found = NULL;

    while (object != NULL && object->revision > revision) {
        found = object;
        object = object->older;
    }
    return found;
}

// Fills a delta with the objects that changed after from_revision, in the
// order of their revisions, up to the size limit. If objects are left, more is
// set and the next delta starts at to_revision. A from_revision of 0 yields a
// full delta. A from_revision at or above the group's revision yields an empty
// one.
void
group_fill_delta(const struct group_state *group, uint64_t from_revision,
                 const struct group_delta_filter *filter,
                 struct ck_view_delta *out)
{
    size_t limit = filter == NULL || filter->max_size_bytes == 0
                       ? GROUP_DELTA_MAX_SIZE_BYTES
                       : filter->max_size_bytes;
    size_t size = 0;

    memset(out, 0, sizeof(*out));
    out->from_revision = from_revision;
    out->to_revision = from_revision;
    out->full = from_revision == 0;
    if (from_revision >= group->revision) {
        return;
    }
    const struct group_object *object =
        group_find_first_after(group, from_revision);
    while (object != NULL) {
        size_t object_size = group_delta_get_object_size(object);
        if (size > 0 && size + object_size > limit) {
            out->more = true;
            return;
        }
        size += object_size;
        group_delta_add(group, object, filter, out);
        out->to_revision = object->revision;
        object = object->newer;
    }
    out->to_revision = group->revision;
}

// Frees the lists of a delta, but not the texts, which the state owns.
void
group_delta_clear(struct ck_view_delta *delta)
{
    free(delta->customers.customers_val);
    free(delta->customers_removed.customers_removed_val);
    free(delta->databases.databases_val);
    free(delta->databases_removed.databases_removed_val);
    free(delta->declaration.declaration_val);
    memset(delta, 0, sizeof(*delta));
}
