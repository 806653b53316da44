#include "catkingrade/entry/view.h"

#include <stdatomic.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/group/group.h"
#include "catkingrade/entry/declared_customers.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

// A customer, database or route, shared by all views that contain it.
struct view_item {
    atomic_uint ref_count;
    xdrproc_t xdr;
    union {
        const char *name; // first member of all structures
        struct ck_customer customer;
        struct ck_database database;
        struct ck_route route;
    };
};

// Element of a list. generation is that of the group when the item was added;
// it distinguishes the items of a full delta from the older ones it replaces.
struct view_slot {
    struct view_item *item;
    uint64_t generation;
};

struct view_list {
    struct view_slot *slots; // sorted by name
    size_t count;
};

struct view_group {
    char name[CK_NAME_SIZE + 1];
    uint64_t revision;
    uint64_t generation;  // number of full deltas started
    bool replacing;       // a full delta has started; more parts follow
    bool replaces_routes; // so have all routes; see ck_view_delta
};

struct view {
    atomic_uint ref_count;
    struct ck_declared declared; // number 0: none
    struct view_list customers;
    struct view_list databases;
    struct view_list routes;
    struct declared_customers *declared_customers;
    uint64_t access_version; // see view_get_access_version
    struct view_group *groups;
    size_t groups_count;
};

// Creates an empty view with one reference.
struct view *
view_create(void)
{
    struct view *view = xcalloc(1, sizeof(*view));

    atomic_init(&view->ref_count, 1);
    view->declared_customers = declared_customers_create();
    return view;
}

// Adds a reference and returns the view.
struct view *
view_retain(struct view *view)
{
    atomic_fetch_add(&view->ref_count, 1);
    return view;
}

static struct view_item *
view_item_create(xdrproc_t xdr, const void *object, size_t size_bytes)
{
    struct view_item *item = xcalloc(1, sizeof(*item));

    atomic_init(&item->ref_count, 1);
    item->xdr = xdr;
    codec_copy(xdr, object, &item->name, size_bytes);
    return item;
}

static void
view_item_release(struct view_item *item)
{
    if (atomic_fetch_sub(&item->ref_count, 1) == 1) {
        codec_free(item->xdr, &item->name);
        free(item);
    }
}

static void
view_list_free(struct view_list *list)
{
    for (size_t i = 0; i < list->count; i++) {
        view_item_release(list->slots[i].item);
    }
    free(list->slots);
}

// Drops a reference; frees the view with the last one. NULL is ignored.
void
view_release(struct view *view)
{
    if (view == NULL || atomic_fetch_sub(&view->ref_count, 1) != 1) {
        return;
    }
    view_list_free(&view->customers);
    view_list_free(&view->databases);
    view_list_free(&view->routes);
    declared_customers_release(view->declared_customers);
    free(view->groups);
    free(view);
}

// Binary search. Returns the index of name and sets *found, or returns the
// index at which to insert name and clears *found.
static size_t
view_list_find(const struct view_list *list, const char *name, bool *found)
{
    size_t low = 0;
    size_t high = list->count;

    *found = false;
    while (low < high) {
        size_t middle = low + (high - low) / 2;
        int order = strcmp(list->slots[middle].item->name, name);
        if (order == 0) {
            *found = true;
            return middle;
        }
        if (order < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

// Adds an item to the list, or replaces the item of the same name. Takes
// ownership of the caller's reference to the item.
static void
view_list_upsert(struct view_list *list, struct view_item *item,
                 uint64_t generation)
{
    bool found;
    size_t index = view_list_find(list, item->name, &found);

    if (found) {
        view_item_release(list->slots[index].item);
    }
    else {
        list->slots =
            xrealloc(list->slots, (list->count + 1) * sizeof(*list->slots));
        memmove(&list->slots[index + 1], &list->slots[index],
                (list->count - index) * sizeof(*list->slots));
        list->count++;
    }
    list->slots[index].item = item;
    list->slots[index].generation = generation;
}

static void
view_list_remove_at(struct view_list *list, size_t index)
{
    view_item_release(list->slots[index].item);
    list->count--;
    memmove(&list->slots[index], &list->slots[index + 1],
            (list->count - index) * sizeof(*list->slots));
}

static void
view_list_remove(struct view_list *list, const char *name)
{
    bool found;
    size_t index = view_list_find(list, name, &found);

    if (found) {
        view_list_remove_at(list, index);
    }
}

static void
view_list_copy(const struct view_list *from, struct view_list *to)
{
    to->count = from->count;
    to->slots = xcalloc(from->count, sizeof(*to->slots));
    for (size_t i = 0; i < from->count; i++) {
        to->slots[i] = from->slots[i];
        atomic_fetch_add(&to->slots[i].item->ref_count, 1);
    }
}

static struct view *
view_copy(const struct view *view)
{
    struct view *copy = xcalloc(1, sizeof(*copy));

    atomic_init(&copy->ref_count, 1);
    copy->declared_customers =
        declared_customers_retain(view->declared_customers);
    copy->access_version = view->access_version;
    view_list_copy(&view->customers, &copy->customers);
    view_list_copy(&view->databases, &copy->databases);
    view_list_copy(&view->routes, &copy->routes);
    copy->declared = view->declared;
    copy->groups_count = view->groups_count;
    copy->groups = xcalloc(view->groups_count + 1, sizeof(*copy->groups));
    if (view->groups_count > 0) {
        memcpy(copy->groups, view->groups,
               view->groups_count * sizeof(*copy->groups));
    }
    return copy;
}

static struct view_group *
view_find_group(const struct view *view, const char *name)
{
    for (size_t i = 0; i < view->groups_count; i++) {
        if (strcmp(view->groups[i].name, name) == 0) {
            return &view->groups[i];
        }
    }
    return NULL;
}

// Returns a group of a view made by view_copy(), adding it if it is missing.
// view_copy() allocates space for one additional group.
static struct view_group *
view_find_or_add_group(struct view *copy, const char *name)
{
    struct view_group *group = view_find_group(copy, name);

    if (group == NULL) {
        group = &copy->groups[copy->groups_count++];
        strncpy(group->name, name, CK_NAME_SIZE);
    }
    return group;
}

static void
view_apply_removals(struct view *view, const struct ck_view_delta *delta)
{
    for (unsigned i = 0; i < delta->customers_removed.customers_removed_len;
         i++) {
        view_list_remove(&view->customers,
                         delta->customers_removed.customers_removed_val[i]);
    }
    for (unsigned i = 0; i < delta->databases_removed.databases_removed_len;
         i++) {
        view_list_remove(&view->databases,
                         delta->databases_removed.databases_removed_val[i]);
    }
    for (unsigned i = 0; i < delta->routes_removed.routes_removed_len; i++) {
        view_list_remove(&view->routes,
                         delta->routes_removed.routes_removed_val[i]);
    }
}

// Changes the access version if a route becomes public or private.
static void
view_note_route(struct view *view, const struct ck_route *route)
{
    const struct ck_route *before = view_find_route(view, route->name);

    if (before != NULL && before->is_public != route->is_public) {
        view->access_version++;
    }
}

static void
view_apply_objects(struct view *view, const struct ck_view_delta *delta,
                   uint64_t generation)
{
    for (unsigned i = 0; i < delta->customers.customers_len; i++) {
        view_list_upsert(&view->customers,
                         view_item_create((xdrproc_t)xdr_ck_customer,
                                          &delta->customers.customers_val[i],
                                          sizeof(struct ck_customer)),
                         generation);
    }
    for (unsigned i = 0; i < delta->databases.databases_len; i++) {
        view_list_upsert(&view->databases,
                         view_item_create((xdrproc_t)xdr_ck_database,
                                          &delta->databases.databases_val[i],
                                          sizeof(struct ck_database)),
                         generation);
    }
    for (unsigned i = 0; i < delta->routes.routes_len; i++) {
        view_note_route(view, &delta->routes.routes_val[i]);
        view_list_upsert(&view->routes,
                         view_item_create((xdrproc_t)xdr_ck_route,
                                          &delta->routes.routes_val[i],
                                          sizeof(struct ck_route)),
                         generation);
    }
    if (delta->declared.declared_len > 0) {
        const struct ck_declared *declared = &delta->declared.declared_val[0];
        view->access_version +=
            declared->refuses_keys != view->declared.refuses_keys ? 1 : 0;
        view->declared = *declared;
    }
}

// Removes the items of a list that were not part of the last full delta.
static void
view_list_remove_stale(struct view_list *list, const struct view_group *group)
{
    for (size_t i = list->count; i > 0; i--) {
        if (list->slots[i - 1].generation < group->generation) {
            view_list_remove_at(list, i - 1);
        }
    }
}

// Removes the objects of a group that were not part of its last full delta.
// Customers and routes belong to the fleet group.
static void
view_remove_stale_objects(struct view *view, const struct view_group *group)
{
    if (strcmp(group->name, GROUP_FLEET_NAME) == 0) {
        view_list_remove_stale(&view->customers, group);
        view_list_remove_stale(&view->routes, group);
    }
    for (size_t i = view->databases.count; i > 0; i--) {
        const struct view_slot *slot = &view->databases.slots[i - 1];
        if (slot->generation < group->generation &&
            strcmp(slot->item->database.group, group->name) == 0) {
            view_list_remove_at(&view->databases, i - 1);
        }
    }
}

// Applies the declared customers of a delta. min_generation: those of earlier
// generations are removed.
static void
view_apply_declared_customers(struct view *view,
                              const struct ck_view_delta *delta,
                              uint64_t generation, uint64_t min_generation)
{
    struct declared_customers *table = declared_customers_apply_delta(
        view->declared_customers, delta, generation, min_generation);

    view->access_version += table != view->declared_customers ? 1 : 0;
    declared_customers_release(view->declared_customers);
    view->declared_customers = table;
}

// Applies a control group's delta and returns the resulting view, with a
// reference for the caller. A delta older than the group's revision is
// ignored: the same view is returned, with one more reference. A full delta
// may consist of several parts; the group's other objects are removed with the
// last part. Returns NULL if deltas are missing in between, that is, if
// from_revision is higher than the group's revision in view.
struct view *
view_apply_delta(const struct view *view, const char *group_name,
                 const struct ck_view_delta *delta)
{
    uint64_t revision = view_get_revision(view, group_name);
    bool drops_customers = false;

    if (!delta->full && delta->from_revision > revision) {
        return NULL;
    }
    if (delta->to_revision < revision) {
        return view_retain((struct view *)(uintptr_t)view);
    }
    struct view *copy = view_copy(view);
    struct view_group *group = view_find_or_add_group(copy, group_name);
    if (delta->full) {
        group->generation++;
        group->replacing = true;
        group->replaces_routes = false;
    }
    else if (!group->replacing && delta->from_revision < delta->routes_since &&
             delta->to_revision >= delta->routes_since) {
        group->generation++;
        group->replaces_routes = true;
    }
    view_apply_removals(copy, delta);
    view_apply_objects(copy, delta, group->generation);
    if (group->replacing && !delta->more) {
        view_remove_stale_objects(copy, group);
        group->replacing = false;
        drops_customers = strcmp(group_name, GROUP_FLEET_NAME) == 0;
    }
    // The declaration comes with the last of its routes.
    if (group->replaces_routes &&
        (delta->declared.declared_len > 0 || !delta->more)) {
        view_list_remove_stale(&copy->routes, group);
        group->replaces_routes = false;
        drops_customers = true;
    }
    view_apply_declared_customers(copy, delta, group->generation,
                                  drops_customers ? group->generation : 0);
    group->revision = delta->to_revision;
    return copy;
}

// Returns the revision of a group in the view; 0 if the view has no such
// group.
uint64_t
view_get_revision(const struct view *view, const char *group_name)
{
    const struct view_group *group = view_find_group(view, group_name);

    return group == NULL ? 0 : group->revision;
}

// Returns a database by name, or NULL. Valid while the caller holds a
// reference to the view.
const struct ck_database *
view_find_database(const struct view *view, const char *name)
{
    bool found;
    size_t index = view_list_find(&view->databases, name, &found);

    return found ? &view->databases.slots[index].item->database : NULL;
}

// Returns a customer by name, or NULL. Valid while the caller holds a
// reference to the view.
const struct ck_customer *
view_find_customer(const struct view *view, const char *name)
{
    bool found;
    size_t index = view_list_find(&view->customers, name, &found);

    return found ? &view->customers.slots[index].item->customer : NULL;
}

// Returns a route by name, or NULL. Valid while the caller holds a reference
// to the view.
const struct ck_route *
view_find_route(const struct view *view, const char *name)
{
    bool found;
    size_t index = view_list_find(&view->routes, name, &found);

    return found ? &view->routes.slots[index].item->route : NULL;
}

// Returns what the view has of the declaration in force besides its routes;
// number 0 if there is none. Valid while the caller holds a reference to the
// view.
const struct ck_declared *
view_get_declared(const struct view *view)
{
    return &view->declared;
}

// Returns the declared customers, valid while the caller holds a reference to
// the view.
const struct declared_customers *
view_get_declared_customers(const struct view *view)
{
    return view->declared_customers;
}

// Returns a number that changes from one view to the next when a declared
// customer is added, changed or removed, when keys begin or cease to be
// refused because there is none, or a route becomes public or private.
uint64_t
view_get_access_version(const struct view *view)
{
    return view->access_version;
}

size_t
view_get_databases_count(const struct view *view)
{
    return view->databases.count;
}

// Returns the database at index, which must be below the number of databases.
const struct ck_database *
view_get_database(const struct view *view, size_t index)
{
    return &view->databases.slots[index].item->database;
}
