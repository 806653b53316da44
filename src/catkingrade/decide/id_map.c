#include "catkingrade/decide/id_map.h"

#include <stdlib.h>

#include "catkingrade/kernel/memory.h"

#define ID_MAP_MIN_CAPACITY 16

// Returns the slot where the probe sequence for id begins.
static size_t
id_map_get_home_slot(const struct id_map *map, uint64_t id)
{
    uint64_t hash = id * UINT64_C(0x9e3779b97f4a7c15);

    return (size_t)(hash >> 32) & (map->capacity - 1);
}

// Returns the slot of id, or the free slot that ends its probe sequence.
static size_t
id_map_find_slot(const struct id_map *map, uint64_t id)
{
    size_t slot = id_map_get_home_slot(map, id);

    while (map->items[slot] != NULL && map->ids[slot] != id) {
        slot = (slot + 1) & (map->capacity - 1);
    }
    return slot;
}

// Frees the memory of the map but not the items. The map is empty afterwards.
void
id_map_free(struct id_map *map)
{
    free(map->ids);
    free(map->items);
    *map = (struct id_map){0};
}

// Returns the item of id, or NULL if id is not in the map.
void *
id_map_get(const struct id_map *map, uint64_t id)
{
    if (map->count == 0) {
        return NULL;
    }
    return map->items[id_map_find_slot(map, id)];
}

static void
id_map_grow(struct id_map *map)
{
    struct id_map previous = *map;

    map->capacity =
        previous.capacity == 0 ? ID_MAP_MIN_CAPACITY : previous.capacity * 2;
    map->ids = xcalloc(map->capacity, sizeof(*map->ids));
    map->items = xcalloc(map->capacity, sizeof(*map->items));
    for (size_t i = 0; i < previous.capacity; i++) {
        if (previous.items[i] != NULL) {
            size_t slot = id_map_find_slot(map, previous.ids[i]);
            map->ids[slot] = previous.ids[i];
            map->items[slot] = previous.items[i];
        }
    }
    id_map_free(&previous);
}

// Adds an item under an id that must not be in the map. item must not be NULL.
// The map grows at a load of more than three quarters.
void
id_map_put(struct id_map *map, uint64_t id, void *item)
{
    if ((map->count + 1) * 4 > map->capacity * 3) {
        id_map_grow(map);
    }
    size_t slot = id_map_find_slot(map, id);
    INVARIANT(item != NULL && map->items[slot] == NULL);
    map->ids[slot] = id;
    map->items[slot] = item;
    map->count++;
}

// Removes id and returns its item, or NULL if id is not in the map. Later
// items of the same probe run are shifted back so that no tombstone is needed.
void *
id_map_remove(struct id_map *map, uint64_t id)
{
    if (map->count == 0) {
        return NULL;
    }
    size_t hole = id_map_find_slot(map, id);
    void *item = map->items[hole];
    if (item == NULL) {
        return NULL;
    }
    size_t mask = map->capacity - 1;
    size_t next = (hole + 1) & mask;
    while (map->items[next] != NULL) {
        size_t home = id_map_get_home_slot(map, map->ids[next]);
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
