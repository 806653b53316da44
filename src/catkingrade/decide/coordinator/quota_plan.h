#ifndef CATKINGRADE_DECIDE_QUOTA_PLAN_H
#define CATKINGRADE_DECIDE_QUOTA_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

// Allocation of one upstream's statement slots and connections to the entries.
// Each entry gets a share that it may use while it holds a lease, and a
// guaranteed part of the share that it may use without one.

// One entry's use of one upstream as known to the coordinator. The numbers
// count either slots or connections.
struct quota_plan_usage {
    uint32_t demand; // running plus waiting; peak since the last renewal
    uint32_t held;   // maximum the entry may still use; see quota_plan_compute
};

struct quota_plan_entry {
    bool near;       // in the same failure domain as the upstream
    uint32_t weight; // of the guaranteed share; 0: gets no share
    struct quota_plan_usage slots;
    struct quota_plan_usage connections;
    // Consecutive plans that gave the entry no slot despite demand. The caller
    // stores the count between plans; quota_plan_compute updates it.
    uint32_t unserved;
};

struct quota_plan_share {
    uint32_t slots;
    uint32_t connections;
    uint32_t guaranteed_slots; // may be used after the lease has expired
    uint32_t guaranteed_connections;
};

void quota_plan_compute(uint32_t slots, uint32_t connections,
                        struct quota_plan_entry *entries, size_t entries_count,
                        struct quota_plan_share *shares);

#endif
