#include "catkingrade/decide/id_map.h"

#include <stdlib.h>

#include "catkingrade/kernel/memory.h"

#define ID_MAP_MIN_CAPACITY 16

// Returns the place where a search for id begins.
static size_t
id_map_get_home(const struct id_map *map, uint64_t id)
{
    uint64_t hash = id * UINT64_C(0x9e3779b97f4a7c15);

    return (size_t)(hash >> 32) & (map->capacity - 1);
}

// Returns the place of id, or the free place that ends the search for it.
static size_t
id_map_find_place(const struct id_map *map, uint64_t id)
{
    size_t place = id_map_get_home(map, id);

    while (map->items[place] != NULL && map->ids[place] != id) {
        place = (place + 1) & (map->capacity - 1);
    }
    return place;
}

// Frees the map's memory, but no item.
void
id_map_free(struct id_map *map)
{
    free(map->ids);
    free(map->items);
    *map = (struct id_map){0};
}

// Returns the item of id, or NULL when there is none.
void *
id_map_get(const struct id_map *map, uint64_t id)
{
    if (map->count == 0) {
        return NULL;
    }
    return map->items[id_map_find_place(map, id)];
}

static void
id_map_grow(struct id_map *map)
{
    struct id_map old = *map;

    map->capacity = old.capacity == 0 ? ID_MAP_MIN_CAPACITY : old.capacity * 2;
    map->ids = xcalloc(map->capacity, sizeof(*map->ids));
    map->items = xcalloc(map->capacity, sizeof(*map->items));
    for (size_t i = 0; i < old.capacity; i++) {
        if (old.items[i] != NULL) {
            size_t place = id_map_find_place(map, old.ids[i]);
            map->ids[place] = old.ids[i];
            map->items[place] = old.items[i];
        }
    }
    id_map_free(&old);
}

// Adds an item, which must not be NULL, under an id that is not in the map.
void
id_map_put(struct id_map *map, uint64_t id, void *item)
{
    if ((map->count + 1) * 4 > map->capacity * 3) {
        id_map_grow(map);
    }
    size_t place = id_map_find_place(map, id);
    INVARIANT(item != NULL && map->items[place] == NULL);
    map->ids[place] = id;
    map->items[place] = item;
    map->count++;
}

// Removes id and returns its item, or NULL when there is none.
void *
id_map_remove(struct id_map *map, uint64_t id)
{
    if (map->count == 0) {
        return NULL;
    }
    size_t hole = id_map_find_place(map, id);
    void *item = map->items[hole];
    if (item == NULL) {
        return NULL;
    }
    size_t mask = map->capacity - 1;
    size_t next = (hole + 1) & mask;
    while (map->items[next] != NULL) {
        size_t home = id_map_get_home(map, map->ids[next]);
        if (((next - home) & mask) >= ((next - hole) & mask)) {
            map->ids[hole] = map->ids[next];
            map->items[hole] = map->items[next];
            hole = next;
        }
        next = (next + 1) & mask;
    }
    map->items[hole] = NULL;
    map->count--;
    return item;
}
