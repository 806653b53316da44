#ifndef CATKINGRADE_DECIDE_KEY_INDEX_H
#define CATKINGRADE_DECIDE_KEY_INDEX_H

#include <stddef.h>

#include "catkingrade/rpc/messages.h"

// The declared customers by the digests of their keys: a sorted array of
// pointers, which needs no memory for the digests themselves. The customers
// must not change while their index is in use.
struct key_index;

// Two customers that have the same key.
struct key_index_conflict {
    const struct ck_declared_customer *first;
    const struct ck_declared_customer *second;
};

struct key_index *
key_index_create(const struct ck_declared_customer *const *customers,
                 size_t count);
void key_index_destroy(struct key_index *index);
const struct ck_declared_customer *
key_index_find(const struct key_index *index, const ck_key_digest digest);
size_t key_index_list_conflicts(const struct key_index *index,
                                struct key_index_conflict *conflicts,
                                size_t max_count);

#endif
