#ifndef CATKINGRADE_DECIDE_DRAIN_H
#define CATKINGRADE_DECIDE_DRAIN_H

#include <stdbool.h>
#include <stdint.h>

#include "catkingrade/decide/group.h"

// Customers in graceful shutdown: each is closed when no entry has an open
// request of it any more, or when its time limit has passed.
struct drain;

// What one entry last said.
struct drain_entry {
    const char *vm;
    uint64_t known_revision;
    unsigned open_requests;
};

// Called for each customer that is to be closed, with the report.
typedef void (*drain_close_fn)(void *data, const char *customer,
                               const char *report);

struct drain *drain_create(void);
void drain_destroy(struct drain *drain);
void drain_tick(struct drain *drain, int64_t now_us,
                const struct group_state *group,
                const struct drain_entry *entries, size_t entries_count,
                drain_close_fn close, void *data);
// The proposal to close a customer has failed; it is made again.
void drain_retry_close(struct drain *drain, const char *customer);

#endif
