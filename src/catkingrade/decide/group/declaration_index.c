#include "catkingrade/decide/group/declaration_index.h"

#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"

struct declaration_index {
    const struct ck_declared_database **databases; // sorted by name
    size_t databases_count;
    const struct ck_route **routes;    // sorted by name
    const struct ck_route **by_target; // sorted by database
    size_t routes_count;
};

// Orders elements of one array with equal names by their positions.
static int
declaration_compare_positions(const void *a, const void *b)
{
    return a < b ? -1 : a > b;
}

static int
declaration_compare_databases(const void *a, const void *b)
{
    const struct ck_declared_database *left =
        *(const struct ck_declared_database *const *)a;
    const struct ck_declared_database *right =
        *(const struct ck_declared_database *const *)b;
    int order = strcmp(left->name, right->name);

    return order != 0 ? order : declaration_compare_positions(left, right);
}

static int
declaration_compare_routes(const void *a, const void *b)
{
    const struct ck_route *left = *(const struct ck_route *const *)a;
    const struct ck_route *right = *(const struct ck_route *const *)b;
    int order = strcmp(left->name, right->name);

    return order != 0 ? order : declaration_compare_positions(left, right);
}

static int
declaration_compare_targets(const void *a, const void *b)
{
    const struct ck_route *left = *(const struct ck_route *const *)a;
    const struct ck_route *right = *(const struct ck_route *const *)b;
    int order = strcmp(left->database, right->database);

    return order != 0 ? order : declaration_compare_positions(left, right);
}

// Returns the index of a declaration. The caller frees it with
// declaration_index_destroy.
struct declaration_index *
declaration_index_create(const struct ck_declaration *declaration)
{
    struct declaration_index *index = xcalloc(1, sizeof(*index));
    size_t databases_count = declaration->databases.databases_len;
    size_t routes_count = declaration->routes.routes_len;

    index->databases_count = databases_count;
    index->databases = xcalloc(databases_count + 1, sizeof(*index->databases));
    for (size_t i = 0; i < databases_count; i++) {
        index->databases[i] = &declaration->databases.databases_val[i];
    }
    qsort(index->databases, databases_count, sizeof(*index->databases),
          declaration_compare_databases);
    index->routes_count = routes_count;
    index->routes = xcalloc(routes_count + 1, sizeof(*index->routes));
    index->by_target = xcalloc(routes_count + 1, sizeof(*index->by_target));
    for (size_t i = 0; i < routes_count; i++) {
        index->routes[i] = &declaration->routes.routes_val[i];
        index->by_target[i] = index->routes[i];
    }
    qsort(index->routes, routes_count, sizeof(*index->routes),
          declaration_compare_routes);
    qsort(index->by_target, routes_count, sizeof(*index->by_target),
          declaration_compare_targets);
    return index;
}

// Frees an index.
void
declaration_index_destroy(struct declaration_index *index)
{
    free(index->databases);
    free(index->routes);
    free(index->by_target);
    free(index);
}

// Returns the database of this name, or NULL.
const struct ck_declared_database *
declaration_index_find_database(const struct declaration_index *index,
                                const char *name)
{
    size_t low = 0;
    size_t high = index->databases_count;

    while (low < high) {
        size_t middle = low + (high - low) / 2;
        if (strcmp(index->databases[middle]->name, name) < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low < index->databases_count &&
                   strcmp(index->databases[low]->name, name) == 0
               ? index->databases[low]
               : NULL;
}

// Returns the route of this name, or NULL.
const struct ck_route *
declaration_index_find_route(const struct declaration_index *index,
                             const char *name)
{
    size_t low = 0;
    size_t high = index->routes_count;

    while (low < high) {
        size_t middle = low + (high - low) / 2;
        if (strcmp(index->routes[middle]->name, name) < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low < index->routes_count &&
                   strcmp(index->routes[low]->name, name) == 0
               ? index->routes[low]
               : NULL;
}

// Returns the routes to a database as an array of *count elements.
const struct ck_route *const *
declaration_index_list_routes(const struct declaration_index *index,
                              const char *database, size_t *count)
{
    size_t low = 0;
    size_t high = index->routes_count;

    while (low < high) {
        size_t middle = low + (high - low) / 2;
        if (strcmp(index->by_target[middle]->database, database) < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    *count = 0;
    while (low + *count < index->routes_count &&
           strcmp(index->by_target[low + *count]->database, database) == 0) {
        (*count)++;
    }
    return &index->by_target[low];
}
