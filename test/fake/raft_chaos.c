#include <stdlib.h>

#include "test/fake/raft_group.h"

#define PPM           1000000
#define STEP_US       10000
#define RECOVERY_US   8000000
#define MAX_CLOCK_PPM 5000 // so that two clocks differ by up to 1%

static uint64_t
pick(struct raft_group *group, uint64_t count)
{
    return network_get_random(raft_group_get_network(group)) % count;
}

// What the run does to its voters, one repair at a time.
struct chaos {
    struct raft_group *group;
    int broken; // node whose disk was lost or that left; -1: none
    uint64_t old_id;
    bool renewed;
};

// The operator's part: removes a lost voter's old id, then adds the node
// under a new one, and is done when that has its vote.
static void
chaos_continue_replacement(struct chaos *chaos)
{
    struct raft_group *group = chaos->group;

    if (chaos->broken < 0 || raft_group_find_leader(group) < 0) {
        return;
    }
    if (chaos->old_id != 0 && raft_group_has_id(group, chaos->old_id)) {
        raft_group_remove_voter(group, chaos->old_id);
        return;
    }
    if (!chaos->renewed) {
        raft_group_start_with_new_id(group, chaos->broken);
        chaos->renewed = true;
    }
    if (!raft_group_has_id(group, raft_group_get_id(group, chaos->broken))) {
        raft_group_add_voter(group, chaos->broken);
    }
    else if (raft_group_is_voting(group, chaos->broken)) {
        chaos->broken = -1;
    }
}

static void
chaos_start_replacement(struct chaos *chaos, bool lose_disk)
{
    int node = (int)pick(chaos->group, RAFT_GROUP_NODES);

    if (chaos->broken >= 0 || raft_group_find_leader(chaos->group) < 0) {
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
    chaos->broken = node;
    chaos->old_id = voting ? raft_group_get_id(chaos->group, node) : 0;
    chaos->renewed = false;
}

static void
chaos_block_paths(struct raft_group *group)
{
    struct network *network = raft_group_get_network(group);
    int from = (int)pick(group, RAFT_GROUP_NODES);
    int to = (int)pick(group, RAFT_GROUP_NODES);

    if (pick(group, 2) == 0) {
        raft_group_isolate(group, from, true);
    }
    else if (from != to) {
        network_set_path_down(network, from, to, true); // one way only
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
    int node = (int)pick(group, RAFT_GROUP_NODES);
    int ppm = (int)pick(group, 2 * MAX_CLOCK_PPM + 1) - MAX_CLOCK_PPM;
    const struct raft_event transfer = {.kind = RAFT_EVENT_TRANSFER};

    switch (pick(group, 10)) {
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

// Few faults; many short ones; messages almost as late as the shortest
// election timeout.
struct raft_group_params
raft_group_get_chaos_params(uint64_t seed)
{
    static const struct raft_group_params mixes[] = {
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
    struct raft_group_params params = mixes[seed % 3];

    params.seed = seed;
    params.voters_count = 3;
    return params;
}

void
raft_group_run_chaos(struct raft_group *group, int64_t duration_us)
{
    unsigned fault_ppm = raft_group_get_fault_ppm(group);
    struct network *network = raft_group_get_network(group);
    struct chaos chaos = {.group = group, .broken = -1};
    int64_t end_us = network_get_now_us(network) + duration_us;

    while (network_get_now_us(network) < end_us + RECOVERY_US &&
           raft_group_get_error(group) == NULL) {
        bool mending = network_get_now_us(network) >= end_us;
        raft_group_run(group, network_get_now_us(network) + STEP_US);
        raft_group_propose(group, (int)pick(group, RAFT_GROUP_NODES));
        if (mending) {
            raft_group_end_faults(group);
            chaos_restore_paths(group);
            for (int i = 0; i < RAFT_GROUP_NODES; i++) {
                raft_group_restart(group, i);
            }
        }
        else if (pick(group, PPM) < fault_ppm) {
            chaos_inject_fault(&chaos);
        }
        if (pick(group, 10) == 0) {
            chaos_continue_replacement(&chaos);
        }
    }
}
