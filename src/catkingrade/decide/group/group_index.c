#include "catkingrade/decide/group/group_index.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "catkingrade/kernel/memory.h"

#define GROUP_INDEX_MIN_SLOTS 64

struct group_index_node {
    struct group_index_node *next;
    uint64_t hash;
    void *value;
    char kind;
    char name[];
};

struct group_index {
    struct group_index_node **slots;
    size_t slots_count; // a power of two
    size_t count;
};

static uint64_t
group_index_hash(char kind, const char *name)
{
    return XXH3_64bits_withSeed(name, strlen(name), (unsigned char)kind);
}

// Returns an empty map. Free it with group_index_destroy.
struct group_index *
group_index_create(void)
{
    struct group_index *index = xcalloc(1, sizeof(*index));

    index->slots_count = GROUP_INDEX_MIN_SLOTS;
    index->slots =
        xcalloc(index->slots_count, sizeof(struct group_index_node *));
    return index;
}

// Frees the map, but not the values. index may be NULL.
void
group_index_destroy(struct group_index *index)
{
    if (index == NULL) {
        return;
    }
    for (size_t i = 0; i < index->slots_count; i++) {
        struct group_index_node *node = index->slots[i];
        while (node != NULL) {
            struct group_index_node *next = node->next;
            free(node);
            node = next;
        }
    }
    free(index->slots);
    free(index);
}

// Returns the link that points to the node of a name. If there is no such
// node, returns the NULL link at the end of the chain, where it is to be
// inserted.
static struct group_index_node **
group_index_find_link(const struct group_index *index, char kind,
                      const char *name, uint64_t hash)
{
    struct group_index_node **link =
        &index->slots[hash & (index->slots_count - 1)];

    while (*link != NULL) {
        if ((*link)->hash == hash && (*link)->kind == kind &&
            strcmp((*link)->name, name) == 0) {
            break;
        }
        link = &(*link)->next;
    }
    return link;
}

// Doubles the number of slots and rehashes all nodes.
static void
group_index_grow(struct group_index *index)
{
    size_t slots_count = index->slots_count * 2;
    struct group_index_node **slots =
        xcalloc(slots_count, sizeof(struct group_index_node *));

    for (size_t i = 0; i < index->slots_count; i++) {
        struct group_index_node *node = index->slots[i];
        while (node != NULL) {
            struct group_index_node *next = node->next;
            struct group_index_node **slot =
                &slots[node->hash & (slots_count - 1)];
            node->next = *slot;
            *slot = node;
            node = next;
        }
    }
    free(index->slots);
    index->slots = slots;
    index->slots_count = slots_count;
}

// Returns the value of a name, or NULL if the map doesn't contain the name.
void *
group_index_get(const struct group_index *index, char kind, const char *name)
{
    uint64_t hash = group_index_hash(kind, name);
    const struct group_index_node *node =
        *group_index_find_link(index, kind, name, hash);

    return node == NULL ? NULL : node->value;
}

// Adds a name or replaces its value. The name is copied.
void
group_index_put(struct group_index *index, char kind, const char *name,
                void *value)
{
    uint64_t hash = group_index_hash(kind, name);
    struct group_index_node **link =
        group_index_find_link(index, kind, name, hash);

    if (*link != NULL) {
        (*link)->value = value;
        return;
    }
    size_t size = strlen(name) + 1;
    struct group_index_node *node = xmalloc(sizeof(*node) + size);
    node->next = NULL;
    node->hash = hash;
    node->value = value;
    node->kind = kind;
    memcpy(node->name, name, size);
    *link = node;
    index->count++;
    if (index->count > index->slots_count) {
        group_index_grow(index);
    }
}

// Removes a name if the map contains it.
void
group_index_remove(struct group_index *index, char kind, const char *name)
{
    uint64_t hash = group_index_hash(kind, name);
    struct group_index_node **link =
        group_index_find_link(index, kind, name, hash);
    struct group_index_node *node = *link;

    if (node == NULL) {
        return;
    }
    *link = node->next;
    free(node);
    index->count--;
}
