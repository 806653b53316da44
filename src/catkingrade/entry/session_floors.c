#include "catkingrade/entry/session_floors.h"

#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"

// The floor at one database. A session leaves few databases, so that a list
// serves.
struct session_floors_item {
    struct session_floors_item *next;
    char *database;
    struct session_floor floor;
};

struct session_floors {
    struct session_floors_item *first;
};

struct session_floors *
session_floors_create(void)
{
    return xcalloc(1, sizeof(struct session_floors));
}

static void
session_floors_free_item(struct session_floors_item *item)
{
    free(item->database);
    free(item);
}

// Frees the floors; NULL: does nothing.
void
session_floors_destroy(struct session_floors *floors)
{
    while (floors != NULL && floors->first != NULL) {
        struct session_floors_item *item = floors->first;
        floors->first = item->next;
        session_floors_free_item(item);
    }
    free(floors);
}

// Keeps the floor at a database, in place of an earlier one.
void
session_floors_put(struct session_floors *floors, const char *database,
                   const struct session_floor *floor)
{
    struct session_floor ignored;

    (void)session_floors_take(floors, database, &ignored);
    struct session_floors_item *item = xcalloc(1, sizeof(*item));
    item->database = xstrdup(database);
    item->floor = *floor;
    item->next = floors->first;
    floors->first = item;
}

// Removes the floor at a database and copies it to *floor. Returns false, with
// *floor unchanged, if there is none.
bool
session_floors_take(struct session_floors *floors, const char *database,
                    struct session_floor *floor)
{
    struct session_floors_item **link = &floors->first;

    while (*link != NULL && strcmp((*link)->database, database) != 0) {
        link = &(*link)->next;
    }
    struct session_floors_item *item = *link;
    if (item == NULL) {
        return false;
    }
    *link = item->next;
    *floor = item->floor;
    session_floors_free_item(item);
    return true;
}
