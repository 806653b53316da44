#include "catkingrade/decide/customer/key_index.h"

#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"

struct key_index_entry {
    const char *digest; // CK_KEY_DIGEST_SIZE bytes of the customer
    const struct ck_declared_customer *customer;
};

struct key_index {
    struct key_index_entry *entries; // sorted by digest
    size_t count;
};

// Orders entries with the same digest by the addresses of the digests, so that
// the order is the same whatever the order of the input.
static int
key_index_compare(const void *a, const void *b)
{
    const struct key_index_entry *left = a;
    const struct key_index_entry *right = b;
    int order = memcmp(left->digest, right->digest, CK_KEY_DIGEST_SIZE);

    if (order != 0) {
        return order;
    }
    return left->digest < right->digest ? -1 : left->digest > right->digest;
}

// Returns the index of customers. The caller frees it with key_index_destroy.
struct key_index *
key_index_create(const struct ck_declared_customer *const *customers,
                 size_t count)
{
    struct key_index *index = xcalloc(1, sizeof(*index));
    size_t keys_count = 0;

    for (size_t i = 0; i < count; i++) {
        keys_count += customers[i]->keys.keys_len;
    }
    index->entries = xcalloc(keys_count + 1, sizeof(*index->entries));
    for (size_t i = 0; i < count; i++) {
        for (u_int j = 0; j < customers[i]->keys.keys_len; j++) {
            struct key_index_entry *entry = &index->entries[index->count++];
            entry->digest = customers[i]->keys.keys_val[j];
            entry->customer = customers[i];
        }
    }
    qsort(index->entries, index->count, sizeof(*index->entries),
          key_index_compare);
    return index;
}

// Frees the index. NULL is ignored.
void
key_index_destroy(struct key_index *index)
{
    if (index == NULL) {
        return;
    }
    free(index->entries);
    free(index);
}

// Returns the customer that has a key with this digest, or NULL.
const struct ck_declared_customer *
key_index_find(const struct key_index *index, const ck_key_digest digest)
{
    size_t low = 0;
    size_t high = index->count;

    while (low < high) {
        size_t middle = low + (high - low) / 2;
        const struct key_index_entry *entry = &index->entries[middle];
        int order = memcmp(entry->digest, digest, CK_KEY_DIGEST_SIZE);
        if (order == 0) {
            return entry->customer;
        }
        if (order < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return NULL;
}

// Stores up to max_count pairs of customers that have the same key. Returns
// the number stored. A key that one customer has twice is no conflict.
size_t
key_index_list_conflicts(const struct key_index *index,
                         struct key_index_conflict *conflicts,
                         size_t max_count)
{
    size_t count = 0;

    for (size_t i = 1; i < index->count && count < max_count; i++) {
        const struct key_index_entry *before = &index->entries[i - 1];
        const struct key_index_entry *entry = &index->entries[i];
        if (entry->customer != before->customer &&
            memcmp(entry->digest, before->digest, CK_KEY_DIGEST_SIZE) == 0) {
            conflicts[count].first = before->customer;
            conflicts[count].second = entry->customer;
            count++;
        }
    }
    return count;
}
