#ifndef CATKINGRADE_DECIDE_ID_MAP_H
#define CATKINGRADE_DECIDE_ID_MAP_H

#include <stddef.h>
#include <stdint.h>

// Hash map from 64-bit ids to item pointers. The map does not own the items.
// It uses open addressing with linear probing and no tombstones. A
// zero-initialised map is valid and empty.
struct id_map {
    uint64_t *ids;
    void **items;    // NULL: free slot
    size_t capacity; // number of slots, a power of two or 0
    size_t count;
};

void id_map_free(struct id_map *map);
void *id_map_get(const struct id_map *map, uint64_t id);
void id_map_put(struct id_map *map, uint64_t id, void *item);
void *id_map_remove(struct id_map *map, uint64_t id);

#endif
