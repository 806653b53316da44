#ifndef CATKINGRADE_DECIDE_DRAIN_H
#define CATKINGRADE_DECIDE_DRAIN_H

#include <stdbool.h>
#include <stdint.h>

#include "catkingrade/decide/group/group.h"

// Graceful shutdown of customers. A draining customer is closed when no entry
// has an open request of it, or when its time limit has passed. The
// coordinator of the control group runs this logic.
struct drain;

// State of one entry, from its last report to control.
struct drain_entry {
    const char *vm;
    uint64_t known_revision; // newest configuration that it has received
    unsigned open_requests;
};

// Called for each customer that is to be closed. report lists the entries that
// still had open requests or had not reported the revision of the shutdown.
typedef void (*drain_close_fn)(void *data, const char *customer,
                               const char *report);

struct drain *drain_create(void);
void drain_destroy(struct drain *drain);
void drain_tick(struct drain *drain, int64_t now_us,
                const struct group_state *group,
                const struct drain_entry *entries, size_t entries_count,
                drain_close_fn close, void *data);
void drain_retry_close(struct drain *drain, const char *customer);

#endif
