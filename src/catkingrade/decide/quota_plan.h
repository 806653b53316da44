#ifndef CATKINGRADE_DECIDE_QUOTA_PLAN_H
#define CATKINGRADE_DECIDE_QUOTA_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

// What control knows of one entry's use of one upstream. Each number may
// stand for slots or for connections.
struct quota_plan_usage {
    uint32_t demand; // running and waiting, peak since the last renewal
    uint32_t held;   // the most it may still use; see quota_plan_compute
};

struct quota_plan_entry {
    bool near;       // in the upstream's own failure domain
    uint32_t weight; // of its guaranteed share; 0: is to have nothing
    struct quota_plan_usage slots;
    struct quota_plan_usage connections;
    uint32_t unserved; // plans in a row that left a demand without any slot;
                       // kept by the caller, updated by the plan
};

struct quota_plan_share {
    uint32_t slots;
    uint32_t connections;
    uint32_t guaranteed_slots; // what is left to it when its lease runs out
    uint32_t guaranteed_connections;
};

void quota_plan_compute(uint32_t slots, uint32_t connections,
                        struct quota_plan_entry *entries, size_t entries_count,
                        struct quota_plan_share *shares);

#endif
