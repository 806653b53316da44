#ifndef CATKINGRADE_DECIDE_ID_MAP_H
#define CATKINGRADE_DECIDE_ID_MAP_H

#include <stddef.h>
#include <stdint.h>

// Hash map from a 64-bit id to an item that it does not own. Open addressing
// with linear probing; zero-initialised is empty and valid.
struct id_map {
    uint64_t *ids;
    void **items; // NULL: free place
    size_t capacity;
    size_t count;
};

void id_map_free(struct id_map *map);
void *id_map_get(const struct id_map *map, uint64_t id);
void id_map_put(struct id_map *map, uint64_t id, void *item);
void *id_map_remove(struct id_map *map, uint64_t id);

#endif
