// Random fault injection for the simulated Raft group: crashes, partitions,
// clock errors, leadership transfers, lost disks and changes of voters.

#include <stdlib.h>

#include "test/fake/raft_group.h"

#define PPM                 1000000
#define STEP_US             10000
#define RECOVERY_US         8000000
#define MAX_CLOCK_ERROR_PPM 5000 // so that two clocks differ by up to 1%

// Returns a random number below count.
static uint64_t
chaos_random_below(struct raft_group *group, uint64_t count)
{
    return network_get_random(raft_group_get_network(group)) % count;
}

// State of a run. At most one node is being replaced at a time.
struct chaos {
    struct raft_group *group;
    int replaced_node; // node that lost its disk or is a spare; -1: none
    uint64_t old_id;   // voter id to remove; 0: none
    bool has_new_id;   // the node has been restarted with a new id
};

// Does the next step of a node's replacement, as an operator does it: removes
// the lost voter's old id, restarts the node with a new id and an empty disk,
// then adds the new id. The replacement is complete when the new id may vote.
static void
chaos_continue_replacement(struct chaos *chaos)
{
    struct raft_group *group = chaos->group;

    if (chaos->replaced_node < 0 || raft_group_find_leader(group) < 0) {
        return;
    }
    if (chaos->old_id != 0 && raft_group_has_id(group, chaos->old_id)) {
        raft_group_remove_voter(group, chaos->old_id);
        return;
    }
    if (!chaos->has_new_id) {
        raft_group_start_with_new_id(group, chaos->replaced_node);
        chaos->has_new_id = true;
    }
    if (!raft_group_has_id(group,
                           raft_group_get_id(group, chaos->replaced_node))) {
        raft_group_add_voter(group, chaos->replaced_node);
    }
    else if (raft_group_is_voting(group, chaos->replaced_node)) {
        chaos->replaced_node = -1;
    }
}

// Starts the replacement of a random node unless one is in progress. With
// lose_disk, the node must be a voter, loses its disk and restarts under its
// old id. Otherwise the node must not be a voter, and becomes one.
static void
chaos_start_replacement(struct chaos *chaos, bool lose_disk)
{
    int node = (int)chaos_random_below(chaos->group, RAFT_GROUP_NODES);

    if (chaos->replaced_node >= 0 ||
        raft_group_find_leader(chaos->group) < 0) {
        return;
    }
    bool voting = raft_group_is_voting(chaos->group, node);
    if (lose_disk && voting) {
        raft_group_lose_disk(chaos->group, node);
        raft_group_restart(chaos->group, node);
    }
    else if (lose_disk || voting) {
        return;
    }
    chaos->replaced_node = node;
    chaos->old_id = voting ? raft_group_get_id(chaos->group, node) : 0;
    chaos->has_new_id = false;
}

// Isolates a random node, or takes down one path in one direction.
static void
chaos_block_paths(struct raft_group *group)
{
    struct network *network = raft_group_get_network(group);
    int from = (int)chaos_random_below(group, RAFT_GROUP_NODES);
    int to = (int)chaos_random_below(group, RAFT_GROUP_NODES);

    if (chaos_random_below(group, 2) == 0) {
        raft_group_isolate(group, from, true);
    }
    else if (from != to) {
        network_set_path_down(network, from, to, true);
    }
}

static void
chaos_restore_paths(struct raft_group *group)
{
    for (int i = 0; i < RAFT_GROUP_NODES; i++) {
        raft_group_isolate(group, i, false);
    }
}

static void
chaos_inject_fault(struct chaos *chaos)
{
    struct raft_group *group = chaos->group;
    int node = (int)chaos_random_below(group, RAFT_GROUP_NODES);
    int ppm = (int)chaos_random_below(group, 2 * MAX_CLOCK_ERROR_PPM + 1) -
              MAX_CLOCK_ERROR_PPM;
    const struct raft_event transfer = {.kind = RAFT_EVENT_TRANSFER};

    switch (chaos_random_below(group, 10)) {
    case 0:
        raft_group_crash(group, node);
        break;
    case 1:
    case 2:
        raft_group_restart(group, node);
        break;
    case 3:
        chaos_block_paths(group);
        break;
    case 4:
    case 5:
        chaos_restore_paths(group);
        break;
    case 6:
        network_set_clock_ppm(raft_group_get_network(group), node, ppm);
        break;
    case 7:
        raft_group_step(group, node, &transfer);
        break;
    case 8:
        chaos_start_replacement(chaos, true);
        break;
    default:
        chaos_start_replacement(chaos, false);
        break;
    }
}

// The profiles: few faults; many faults of short duration; message delays
// almost as long as the shortest election timeout.
struct raft_group_params
raft_group_get_chaos_params(uint64_t seed)
{
    static const struct raft_group_params profiles[] = {
        {.snapshot_entries = 40,
         .crash_ppm = 500,
         .fault_ppm = 50000,
         .faults = {500, 25000, 30000, 30000}},
        {.snapshot_entries = 15,
         .crash_ppm = 3000,
         .fault_ppm = 200000,
         .faults = {500, 60000, 100000, 50000}},
        {.snapshot_entries = 100,
         .crash_ppm = 300,
         .fault_ppm = 40000,
         .faults = {500, 200000, 20000, 100000}},
    };
    struct raft_group_params params = profiles[seed % 3];

    params.seed = seed;
    params.voters_count = 3;
    return params;
}

void
raft_group_run_chaos(struct raft_group *group, int64_t duration_us)
{
    unsigned fault_ppm = raft_group_get_fault_ppm(group);
    struct network *network = raft_group_get_network(group);
    struct chaos chaos = {.group = group, .replaced_node = -1};
    int64_t end_us = network_get_now_us(network) + duration_us;

    while (network_get_now_us(network) < end_us + RECOVERY_US &&
           raft_group_get_error(group) == NULL) {
        bool recovering = network_get_now_us(network) >= end_us;
        raft_group_run(group, network_get_now_us(network) + STEP_US);
        raft_group_propose(group,
                           (int)chaos_random_below(group, RAFT_GROUP_NODES));
        if (recovering) {
            raft_group_end_faults(group);
            chaos_restore_paths(group);
            for (int i = 0; i < RAFT_GROUP_NODES; i++) {
                raft_group_restart(group, i);
            }
        }
        else if (chaos_random_below(group, PPM) < fault_ppm) {
            chaos_inject_fault(&chaos);
        }
        if (chaos_random_below(group, 10) == 0) {
            chaos_continue_replacement(&chaos);
        }
    }
}
