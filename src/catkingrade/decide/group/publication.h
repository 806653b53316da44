#ifndef CATKINGRADE_DECIDE_PUBLICATION_H
#define CATKINGRADE_DECIDE_PUBLICATION_H

#include <stddef.h>
#include <stdint.h>

#include "catkingrade/decide/group/group.h"
#include "catkingrade/rpc/messages.h"

// What entry daemons are sent of the state of a control group: its customers,
// databases and declaration as of one revision, the published one.
//
// The publication answers the load of a start, when hundreds of upstreams
// announce themselves within a second and every entry follows every change. It
// is updated at intervals and keeps its objects encoded. So entries that
// follow it ask for the same deltas, each of which is built and compressed
// once.
struct publication;

// Limit of the size of a delta before its compression, which is to about a
// third. The objects of a single revision, as the routes of a declaration, may
// exceed it.
#define PUBLICATION_MAX_DELTA_BYTES 36000

struct publication *publication_create(void);
void publication_destroy(struct publication *publication);
size_t publication_update(struct publication *publication,
                          const struct group_state *group);
uint64_t publication_get_revision(const struct publication *publication);
void publication_fill_delta(struct publication *publication,
                            uint64_t from_revision, size_t max_size_bytes,
                            struct ck_packed_delta *out);

// Unpacks a delta. The caller frees it with publication_free_delta.
// OUTCOME_PROTOCOL if it is not valid.
int publication_unpack_delta(const struct ck_packed_delta *packed,
                             struct ck_view_delta *delta);
void publication_free_delta(struct ck_view_delta *delta);

#endif
