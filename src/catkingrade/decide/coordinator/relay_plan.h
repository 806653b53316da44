#ifndef CATKINGRADE_DECIDE_RELAY_PLAN_H
#define CATKINGRADE_DECIDE_RELAY_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

// Choice of the entries that connect to the upstreams of a database. If a
// database has too few connections for all entries, some entries are chosen as
// relays: they hold the connections and run the statements of the other
// entries as well.

#define RELAY_PLAN_NONE       SIZE_MAX
#define RELAY_PLAN_MAX_LISTED 4

// The relays that an entry uses, as indexes into the list of entries;
// RELAY_PLAN_NONE: none. See relay_spread.h.
struct relay_plan_choice {
    size_t first;
    size_t alternate; // while the first is missing
};

// One entry that may become a relay of a database.
struct relay_plan_entry {
    const char *vm;
    const char *failure_domain;
    // The entry has recently reported that it does not reach the primary. Such
    // a relay is listed last.
    bool primary_unreachable;
    // The entry runs no statements of others at present. Such a relay is
    // listed only if there is no other.
    bool is_idle;
    // Number of databases for which the entry is a relay.
    uint32_t databases_count;
    // Set by relay_plan_select; true for each entry if all entries connect.
    bool is_relay;
    // Working state of relay_plan_select.
    uint64_t rank;
    size_t domain;        // index of the first entry of its failure domain
    uint64_t domain_rank; // valid for the entry at index domain
    uint32_t domain_relays_count; // valid for the entry at index domain
};

// What the nearness of two entries follows from.
struct relay_plan_place {
    uint64_t vm_hash;
    uint64_t domain_hash; // of the failure domain
};

uint32_t relay_plan_count(uint32_t connections, uint32_t min_connections,
                          size_t entries_count);
void relay_plan_select(const char *database, uint32_t relays_count,
                       struct relay_plan_entry *entries, size_t entries_count);
struct relay_plan_place relay_plan_get_place(const char *vm,
                                             const char *failure_domain);
bool relay_plan_is_nearer(const struct relay_plan_place *user,
                          const struct relay_plan_place *a,
                          const struct relay_plan_place *b);
size_t relay_plan_list_relays(const struct relay_plan_entry *entries,
                              size_t entries_count, size_t *relays);
size_t relay_plan_list_nearest(const char *vm, const char *failure_domain,
                               const struct relay_plan_choice *choice,
                               const struct relay_plan_entry *entries,
                               const size_t *relays, size_t relays_count,
                               size_t *indexes, size_t max_count);

#endif
