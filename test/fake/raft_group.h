#ifndef TEST_FAKE_RAFT_GROUP_H
#define TEST_FAKE_RAFT_GROUP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/decide/raft.h"
#include "test/fake/network.h"

// A control group of voters on the fake network, each with a disk that loses
// what was not synced. It checks all along: one leader a term, what is
// promised is durable, committed entries agree and stay, each is applied once
// and in order, a refusal is true, and only the newest leader has a quorum.
struct raft_group;

#define RAFT_GROUP_NODES 5

struct raft_group_params {
    uint64_t seed;
    int voters_count; // the rest of the nodes are spare
    uint64_t snapshot_entries;
    unsigned crash_ppm; // chance of a crash before each action
    unsigned fault_ppm; // chance of another fault each 10 ms
    struct network_faults faults;
};

struct raft_group_stats {
    uint64_t elections;
    uint64_t committed;
    uint64_t acknowledged;
    uint64_t crashes;
    uint64_t disks_lost;
    uint64_t installs;
    uint64_t voters_changed;
    uint64_t messages;
};

struct raft_group *raft_group_create(const struct raft_group_params *params);
void raft_group_destroy(struct raft_group *group);
struct network *raft_group_get_network(struct raft_group *group);
unsigned raft_group_get_fault_ppm(const struct raft_group *group);
// No more crashes, losses or long delays from now on.
void raft_group_end_faults(struct raft_group *group);
// NULL, or the text of the first rule that was broken.
const char *raft_group_get_error(const struct raft_group *group);
const struct raft_group_stats *
raft_group_get_stats(const struct raft_group *group);
struct raft *raft_group_get_raft(struct raft_group *group, int node);
uint64_t raft_group_get_id(const struct raft_group *group, int node);

void raft_group_run(struct raft_group *group, int64_t until_us);
// The node that leads the newest term and is ready; -1: none.
int raft_group_find_leader(struct raft_group *group);
// Runs until there is one, or a limit has passed; returns it or -1.
int raft_group_await_leader(struct raft_group *group, int64_t limit_us);
// Proposes an entry at a node; returns its token.
uint64_t raft_group_propose(struct raft_group *group, int node);
// The index at which a token was acknowledged; 0: it was not.
uint64_t raft_group_get_acknowledged_index(const struct raft_group *group,
                                           uint64_t token);
// The outcome with which a token was refused; 0: it was not.
int raft_group_get_refused_outcome(const struct raft_group *group,
                                   uint64_t token);
uint64_t raft_group_get_applied_index(const struct raft_group *group,
                                      int node);
void raft_group_step(struct raft_group *group, int node,
                     const struct raft_event *event);
void raft_group_crash(struct raft_group *group, int node);
void raft_group_restart(struct raft_group *group, int node);
// Crashes a node and empties its disk; it comes back passive.
void raft_group_lose_disk(struct raft_group *group, int node);
// Starts a node under a new id with an empty disk, to be added as a voter.
void raft_group_start_with_new_id(struct raft_group *group, int node);
// Asks the leader for a change; false when there is no leader.
bool raft_group_add_voter(struct raft_group *group, int node);
bool raft_group_remove_voter(struct raft_group *group, uint64_t id);
// Whether the committed voters hold an id, or a node with a vote.
bool raft_group_has_id(const struct raft_group *group, uint64_t id);
bool raft_group_is_voting(const struct raft_group *group, int node);
void raft_group_isolate(struct raft_group *group, int node, bool isolated);
// One of several mixes of faults, chosen by the seed.
struct raft_group_params raft_group_get_chaos_params(uint64_t seed);
// Runs random faults, proposals, repairs and changes of voters, then mends
// everything and goes on for a while.
void raft_group_run_chaos(struct raft_group *group, int64_t duration_us);

#endif
