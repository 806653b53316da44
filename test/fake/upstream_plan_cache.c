#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "catkingrade/kernel/memory.h"
#include "test/fake/upstream_plan.h"

#define PLAN_CACHE_SLOTS 4096

struct plan_cache_slot {
    char *text;
    struct plan_list *list;
};

// Direct-mapped cache: a text evicts another text with the same slot.
struct plan_cache {
    struct plan_cache_slot slots[PLAN_CACHE_SLOTS];
};

// Creates an empty cache.
struct plan_cache *
fake_plan_cache_create(void)
{
    return xcalloc(1, sizeof(struct plan_cache));
}

static void
plan_cache_clear_slot(struct plan_cache_slot *slot)
{
    free(slot->text);
    fake_plan_list_destroy(slot->list);
    slot->text = NULL;
    slot->list = NULL;
}

// Frees the cache with all plans.
void
fake_plan_cache_destroy(struct plan_cache *cache)
{
    for (size_t i = 0; i < PLAN_CACHE_SLOTS; i++) {
        plan_cache_clear_slot(&cache->slots[i]);
    }
    free(cache);
}

// Returns the plans of an SQL text, from the cache or compiled now. The result
// is valid until the next call.
const struct plan_list *
fake_plan_cache_get(struct plan_cache *cache, const char *text)
{
    size_t slot_index = XXH3_64bits(text, strlen(text)) % PLAN_CACHE_SLOTS;
    struct plan_cache_slot *slot = &cache->slots[slot_index];

    if (slot->text == NULL || strcmp(slot->text, text) != 0) {
        plan_cache_clear_slot(slot);
        slot->text = xstrdup(text);
        slot->list = fake_plan_list_create(text);
    }
    return slot->list;
}
