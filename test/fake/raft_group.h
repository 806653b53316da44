#ifndef TEST_FAKE_RAFT_GROUP_H
#define TEST_FAKE_RAFT_GROUP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/decide/raft/raft.h"
#include "test/fake/network.h"

// Simulates a Raft group on the simulated network (test/fake/network.h). Each
// node has a simulated disk, which loses unsynced writes in a crash. Entries
// are applied to a running hash instead of a control group's state.
//
// While the simulation runs, it checks these guarantees and records the first
// violation:
// - there is at most one leader in each term;
// - votes and acknowledged entries are durable before they are sent;
// - committed entries agree on all nodes and are never lost;
// - each entry is applied once and in order;
// - a refused proposal is never committed, unless its outcome is unknown;
// - only the leader of the newest term has a quorum.
struct raft_group;

#define RAFT_GROUP_NODES 5

struct raft_group_params {
    uint64_t seed;
    int voters_count; // initial voters; the remaining nodes are spares
    uint64_t snapshot_entries;
    unsigned crash_ppm; // probability of a crash before each Raft action
    unsigned fault_ppm; // probability of another fault in each 10 ms
    struct network_faults faults;
};

struct raft_group_stats {
    uint64_t elections;
    uint64_t committed;
    uint64_t acknowledged;
    uint64_t crashes;
    uint64_t disks_lost;
    uint64_t installs; // snapshots installed from the leader
    uint64_t voters_changed;
    uint64_t messages;
};

// Creates a group. The initial voters have the ids 1, 2, ...
struct raft_group *raft_group_create(const struct raft_group_params *params);
void raft_group_destroy(struct raft_group *group);
struct network *raft_group_get_network(struct raft_group *group);
unsigned raft_group_get_fault_ppm(const struct raft_group *group);
// Ends random crashes, message loss and long delays.
void raft_group_end_faults(struct raft_group *group);
// Returns the description of the first violated guarantee, or NULL.
const char *raft_group_get_error(const struct raft_group *group);
const struct raft_group_stats *
raft_group_get_stats(const struct raft_group *group);
// Returns the Raft instance of a node, or NULL while the node is down.
struct raft *raft_group_get_raft(struct raft_group *group, int node);
uint64_t raft_group_get_id(const struct raft_group *group, int node);

// Runs the simulation until a virtual time.
void raft_group_run(struct raft_group *group, int64_t until_us);
// Returns the node that is ready as leader of the newest term, or -1.
int raft_group_find_leader(struct raft_group *group);
// Runs until there is a leader, for at most limit_us of virtual time. Returns
// its node, or -1.
int raft_group_await_leader(struct raft_group *group, int64_t limit_us);
// Proposes an entry of random size at a node. Returns the token of the
// proposal.
uint64_t raft_group_propose(struct raft_group *group, int node);
// Returns the log index at which a proposal was acknowledged, or 0 if it was
// not acknowledged.
uint64_t raft_group_get_acknowledged_index(const struct raft_group *group,
                                           uint64_t token);
// Returns the outcome with which a proposal was refused, or 0 if it was not
// refused.
int raft_group_get_refused_outcome(const struct raft_group *group,
                                   uint64_t token);
uint64_t raft_group_get_applied_index(const struct raft_group *group,
                                      int node);
// Passes an event to a node's Raft instance and runs the resulting actions.
// Does nothing if the node is down.
void raft_group_step(struct raft_group *group, int node,
                     const struct raft_event *event);
// Stops a node; only its synced writes survive. Does nothing if it is down.
void raft_group_crash(struct raft_group *group, int node);
// Starts a node from its disk. Does nothing if it is up or has no id.
void raft_group_restart(struct raft_group *group, int node);
// Crashes a node and empties its disk. When restarted, the node is passive: it
// does not vote, as it may have voted before.
void raft_group_lose_disk(struct raft_group *group, int node);
// Restarts a node with a new id and an empty disk. It is not a voter until
// raft_group_add_voter().
void raft_group_start_with_new_id(struct raft_group *group, int node);
// Requests a change of the voters from the leader. Returns false if there is
// no leader.
bool raft_group_add_voter(struct raft_group *group, int node);
bool raft_group_remove_voter(struct raft_group *group, uint64_t id);
// Returns whether the committed voters include an id.
bool raft_group_has_id(const struct raft_group *group, uint64_t id);
// Returns whether the committed voters include a node and it may vote.
bool raft_group_is_voting(const struct raft_group *group, int node);
// Takes down or brings up all paths from and to a node.
void raft_group_isolate(struct raft_group *group, int node, bool isolated);
// Returns one of several fault profiles, selected by the seed.
struct raft_group_params raft_group_get_chaos_params(uint64_t seed);
// Runs random faults, proposals and changes of voters for duration_us. Then
// ends all faults, restarts all nodes and runs for a recovery period.
void raft_group_run_chaos(struct raft_group *group, int64_t duration_us);

#endif
