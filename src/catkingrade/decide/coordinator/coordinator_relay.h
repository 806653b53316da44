#ifndef CATKINGRADE_DECIDE_COORDINATOR_RELAY_H
#define CATKINGRADE_DECIDE_COORDINATOR_RELAY_H

#include "catkingrade/decide/coordinator/coordinator_private.h"
#include "catkingrade/decide/coordinator/relay_plan.h"

// The relays of the databases, shared by and private to the files
// coordinator_relay*.c.

// An entry that has reported the primary of a database as unreachable.
struct coordinator_unreachable {
    const struct coordinator_holder *holder;
    int64_t until_us;
};

// The relays of a database.
struct coordinator_relay_plan {
    struct coordinator_relay_plan *next;
    char *database;
    int64_t planned_us; // last update; 0: none yet
    bool is_queued;     // to be updated at the next step
    struct coordinator_relay_plan *next_queued;
    uint64_t candidates_version; // that the choice is made from; 0: none
    bool all_are_relays;         // every entry is a relay
    size_t registered_count;     // registered entries, with or without a lease
    // Candidates: parameters of relay_plan_select, and their holders at the
    // same index.
    struct relay_plan_entry *entries;
    struct coordinator_holder **holders;
    struct relay_plan_choice *choices;
    size_t count;
    size_t *relays; // indexes of the relays in entries
    size_t relays_count;
    // Index in entries by index of struct coordinator_holder; RELAY_PLAN_NONE:
    // not in the plan.
    size_t *positions;
    size_t positions_count; // length of positions
    struct coordinator_unreachable *unreachable;
    size_t unreachable_count;
    int64_t reachable_us; // when the next of these reports ends
    uint64_t input_hash;  // of what the lists of relays follow from
    uint64_t output_hash; // of what is sent to entries about this plan
    uint64_t version;     // of the last change of output_hash; 0: none yet
    struct coordinator_relay_plan *older; // by version
    struct coordinator_relay_plan *newer;
};

// The table of plans; coordinator_relay_table.c.
void coordinator_advance_relay_plan(struct coordinator *coordinator,
                                    struct coordinator_relay_plan *plan);
void coordinator_queue_relay_plan(struct coordinator *coordinator,
                                  struct coordinator_relay_plan *plan);
struct coordinator_relay_plan *
coordinator_pop_relay_plan(struct coordinator *coordinator);
size_t
coordinator_get_relay_position(const struct coordinator_relay_plan *plan,
                               const struct coordinator_holder *holder);
struct coordinator_relay_plan *
coordinator_find_relay_plan(const struct coordinator *coordinator,
                            const char *database);
struct coordinator_relay_plan *
coordinator_get_or_add_relay_plan(struct coordinator *coordinator,
                                  const char *database);

// The choice of relays; coordinator_relay.c.
bool
coordinator_is_primary_unreachable(const struct coordinator *coordinator,
                                   const struct coordinator_relay_plan *plan,
                                   const struct coordinator_holder *holder);
void coordinator_count_relays(const struct coordinator_relay_plan *plan,
                              bool added);
bool coordinator_is_relay_idle(const struct coordinator *coordinator,
                               const struct ck_database *database,
                               const struct coordinator_holder *holder);

#endif
