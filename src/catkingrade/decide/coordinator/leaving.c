#include "catkingrade/decide/coordinator/leaving.h"

#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"

struct leaving_upstream {
    struct leaving_upstream *next;
    char *name;
    uint64_t incarnation;
    int64_t since_us;
};

struct leaving {
    struct leaving_upstream *upstreams;
};

// Returns the link to the upstream with this name, or the link behind the last
// one.
static struct leaving_upstream **
leaving_find_link(struct leaving *leaving, const char *name)
{
    struct leaving_upstream **link = &leaving->upstreams;

    while (*link != NULL && strcmp((*link)->name, name) != 0) {
        link = &(*link)->next;
    }
    return link;
}

static void
leaving_remove(struct leaving_upstream **link)
{
    struct leaving_upstream *removed = *link;

    if (removed == NULL) {
        return;
    }
    *link = removed->next;
    free(removed->name);
    free(removed);
}

static void
leaving_add(struct leaving *leaving, const struct ck_upstream *upstream,
            int64_t since_us)
{
    struct leaving_upstream *added = xcalloc(1, sizeof(*added));

    added->name = xstrdup(upstream->name);
    added->incarnation = upstream->incarnation;
    added->since_us = since_us;
    added->next = leaving->upstreams;
    leaving->upstreams = added;
}

static bool
leaving_load_database(void *data, const struct ck_database *database)
{
    for (u_int i = 0; i < database->upstreams.upstreams_len; i++) {
        leaving_handle_change(data, 0, &database->upstreams.upstreams_val[i],
                              true);
    }
    return true;
}

// Creates the list of the upstreams that leave in a group state, with an
// unknown age.
struct leaving *
leaving_create(const struct group_state *group)
{
    struct leaving *leaving = xcalloc(1, sizeof(*leaving));

    group_visit_databases(group, leaving_load_database, leaving);
    return leaving;
}

// Frees the list. NULL is allowed.
void
leaving_destroy(struct leaving *leaving)
{
    if (leaving == NULL) {
        return;
    }
    while (leaving->upstreams != NULL) {
        leaving_remove(&leaving->upstreams);
    }
    free(leaving);
}

// Handles an upstream as it is after a change. The first change with which an
// incarnation leaves begins its time; with is_late, the change may be older
// than now_us. An upstream that counts as lost meanwhile keeps its time.
void
leaving_handle_change(struct leaving *leaving, int64_t now_us,
                      const struct ck_upstream *upstream, bool is_late)
{
    struct leaving_upstream **link =
        leaving_find_link(leaving, upstream->name);

    if (upstream->state == CK_UPSTREAM_READY) {
        leaving_remove(link);
        return;
    }
    if (upstream->state == CK_UPSTREAM_LOST ||
        (*link != NULL && (*link)->incarnation == upstream->incarnation)) {
        return;
    }
    leaving_remove(link);
    leaving_add(leaving, upstream, is_late ? LEAVING_SINCE_UNKNOWN : now_us);
}

// Forgets an upstream that has been removed.
void
leaving_forget(struct leaving *leaving, const char *name)
{
    leaving_remove(leaving_find_link(leaving, name));
}

// Returns since when this incarnation of an upstream has been leaving;
// LEAVING_SINCE_UNKNOWN if that is not known.
int64_t
leaving_get_since_us(const struct leaving *leaving,
                     const struct ck_upstream *upstream)
{
    for (const struct leaving_upstream *known = leaving->upstreams;
         known != NULL; known = known->next) {
        if (strcmp(known->name, upstream->name) == 0 &&
            known->incarnation == upstream->incarnation) {
            return known->since_us;
        }
    }
    return LEAVING_SINCE_UNKNOWN;
}
