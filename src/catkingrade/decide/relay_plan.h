#ifndef CATKINGRADE_DECIDE_RELAY_PLAN_H
#define CATKINGRADE_DECIDE_RELAY_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

// One entry that may hold connections to the upstreams of a database.
struct relay_plan_entry {
    const char *vm;
    const char *failure_domain;
    bool lacks; // does not reach the primary; asked last
    bool holds; // set by relay_plan_select
    // Scratch of relay_plan_select.
    uint64_t rank;
    size_t domain;        // place of the first entry of its failure domain
    uint64_t domain_rank; // these two count at that place
    uint32_t domain_relays_count;
};

uint32_t relay_plan_count(uint32_t connections, uint32_t min_connections,
                          size_t entries_count);
void relay_plan_select(const char *database, uint32_t holders_count,
                       struct relay_plan_entry *entries, size_t entries_count);
size_t relay_plan_list_nearest(const char *vm, const char *failure_domain,
                               const struct relay_plan_entry *entries,
                               size_t entries_count, size_t *places,
                               size_t max_count);

#endif
