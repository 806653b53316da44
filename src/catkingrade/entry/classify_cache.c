#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "catkingrade/entry/classify.h"
#include "catkingrade/entry/classify_hint.h"
#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/memory.h"

#define CACHE_MAX_TEXT_BYTES 8192
#define CACHE_NO_ENTRY       UINT32_MAX

struct cache_entry {
    uint64_t hash;
    char *text;
    size_t size_bytes;
    uint32_t next; // index of the next entry in the same bucket
    bool recently_used;
    struct classification classification;
};

// Hash table with CLOCK eviction. Unused entries are filled in order first.
// When all are in use, the clock hand evicts the next entry that has not been
// used since the hand last passed it.
struct classifier {
    struct cache_entry *entries;
    uint32_t *buckets;
    uint32_t max_entries;
    uint32_t count;
    uint32_t clock_hand;
    uint64_t buckets_mask;
    struct classification result; // of a text with a hint or too long to cache
};

// Creates a cache for at most max_entries texts, for use by one thread.
struct classifier *
classifier_create(size_t max_entries)
{
    struct classifier *classifier = xcalloc(1, sizeof(*classifier));
    size_t buckets = 1;

    INVARIANT(max_entries > 0 && max_entries < CACHE_NO_ENTRY / 4);
    while (buckets < max_entries * 2) {
        buckets *= 2;
    }
    classifier->max_entries = (uint32_t)max_entries;
    classifier->buckets_mask = buckets - 1;
    classifier->entries = xcalloc(max_entries, sizeof(struct cache_entry));
    classifier->buckets = xmalloc(buckets * sizeof(uint32_t));
    for (size_t i = 0; i < buckets; i++) {
        classifier->buckets[i] = CACHE_NO_ENTRY;
    }
    return classifier;
}

// Frees the cache; NULL is ignored.
void
classifier_destroy(struct classifier *classifier)
{
    if (classifier == NULL) {
        return;
    }
    for (uint32_t i = 0; i < classifier->count; i++) {
        free(classifier->entries[i].text);
    }
    free(classifier->entries);
    free(classifier->buckets);
    free(classifier);
}

static struct cache_entry *
cache_find(struct classifier *classifier, uint64_t hash, const char *text,
           size_t size_bytes)
{
    uint32_t index = classifier->buckets[hash & classifier->buckets_mask];

    while (index != CACHE_NO_ENTRY) {
        struct cache_entry *entry = &classifier->entries[index];
        if (entry->hash == hash && entry->size_bytes == size_bytes &&
            memcmp(entry->text, text, size_bytes) == 0) {
            return entry;
        }
        index = entry->next;
    }
    return NULL;
}

static void
cache_unlink(struct classifier *classifier, uint32_t index)
{
    struct cache_entry *entry = &classifier->entries[index];
    uint32_t *link =
        &classifier->buckets[entry->hash & classifier->buckets_mask];

    while (*link != index) {
        link = &classifier->entries[*link].next;
    }
    *link = entry->next;
}

// Returns the index of a free entry. If the cache is full, evicts an entry
// that has not been used recently.
static uint32_t
cache_allocate_entry(struct classifier *classifier)
{
    if (classifier->count < classifier->max_entries) {
        return classifier->count++;
    }
    while (classifier->entries[classifier->clock_hand].recently_used) {
        classifier->entries[classifier->clock_hand].recently_used = false;
        classifier->clock_hand =
            (classifier->clock_hand + 1) % classifier->max_entries;
    }
    uint32_t index = classifier->clock_hand;
    classifier->clock_hand =
        (classifier->clock_hand + 1) % classifier->max_entries;
    cache_unlink(classifier, index);
    free(classifier->entries[index].text);
    return index;
}

static struct cache_entry *
cache_add(struct classifier *classifier, uint64_t hash, const char *text,
          size_t size_bytes)
{
    uint32_t index = cache_allocate_entry(classifier);
    struct cache_entry *entry = &classifier->entries[index];
    uint32_t *bucket = &classifier->buckets[hash & classifier->buckets_mask];

    entry->hash = hash;
    entry->text = xmemdupz(text, size_bytes);
    entry->size_bytes = size_bytes;
    entry->recently_used = false;
    entry->next = *bucket;
    *bucket = index;
    classify_text_without_hint(text, size_bytes, &entry->classification);
    return entry;
}

// Returns the cached classification of a text without hint, or classifies the
// text and adds it. Texts longer than CACHE_MAX_TEXT_BYTES are not cached.
static const struct classification *
cache_find_or_add(struct classifier *classifier, const char *text,
                  size_t size_bytes)
{
    uint64_t hash = XXH3_64bits(text, size_bytes);
    struct cache_entry *entry = cache_find(classifier, hash, text, size_bytes);

    if (entry != NULL) {
        counter_add(COUNTER_CLASSIFY_HITS, 1);
        entry->recently_used = true;
        return &entry->classification;
    }
    counter_add(COUNTER_CLASSIFY_MISSES, 1);
    if (size_bytes > CACHE_MAX_TEXT_BYTES) {
        classify_text_without_hint(text, size_bytes, &classifier->result);
        return &classifier->result;
    }
    return &cache_add(classifier, hash, text, size_bytes)->classification;
}

const struct classification *
classifier_get_unparsed(struct classifier *classifier, const char *text,
                        size_t size_bytes)
{
    struct classification *result = &classifier->result;

    classify_unparsed(result);
    classify_hint_parse(text, classify_hint_get_size(text, size_bytes),
                        result);
    return result;
}

// Returns the classification of a text, from the cache if possible. The cache
// is keyed by the text without its hint, because a hint may contain an
// idempotency key, which differs for each request.
const struct classification *
classifier_get(struct classifier *classifier, const char *text,
               size_t size_bytes)
{
    size_t hint_size_bytes = classify_hint_get_size(text, size_bytes);
    const struct classification *found = cache_find_or_add(
        classifier, text + hint_size_bytes, size_bytes - hint_size_bytes);

    if (hint_size_bytes == 0) {
        return found;
    }
    if (found != &classifier->result) {
        classifier->result = *found;
    }
    classify_hint_parse(text, hint_size_bytes, &classifier->result);
    return &classifier->result;
}
