#ifndef CATKINGRADE_DECIDE_RAFT_H
#define CATKINGRADE_DECIDE_RAFT_H

#include "catkingrade/decide/raft/raft_defs.h"

// Main header of decide/raft, which replicates the log of a control group.
//
// One voter of one control group. It takes part in a replicated log by the
// Raft algorithm, with pre-votes, leadership transfer, voter changes one at a
// time and a quorum check for leases. It does no input or output: raft_step
// consumes one event and returns the actions that the adapter must carry out
// (see raft_defs.h). Times are microseconds on one monotonic clock.
struct raft;

struct raft *raft_create(const struct raft_params *params,
                         const struct raft_saved *saved, int64_t now_us);
void raft_destroy(struct raft *raft);
void raft_step(struct raft *raft, int64_t now_us,
               const struct raft_event *event, struct raft_actions *actions);
void raft_actions_clear(struct raft_actions *actions);
void raft_actions_free(struct raft_actions *actions);

enum raft_role raft_get_role(const struct raft *raft);
uint64_t raft_get_leader(const struct raft *raft);
uint64_t raft_get_term(const struct raft *raft);
uint64_t raft_get_commit_index(const struct raft *raft);
uint64_t raft_get_last_index(const struct raft *raft);
bool raft_is_passive(const struct raft *raft);
const struct ck_voters_change *raft_get_voters(const struct raft *raft);
const struct raft_snapshot *raft_get_snapshot(const struct raft *raft);
uint64_t raft_get_match_index(const struct raft *raft, uint64_t voter);
uint64_t raft_get_highest_voter_id(const struct raft *raft);
void raft_set_standby(struct raft *raft, uint64_t voter);
int64_t raft_get_acked_round_us(const struct raft *raft, uint64_t voter);
int64_t raft_get_leader_contact_us(const struct raft *raft);
int64_t raft_get_contact_since_us(const struct raft *raft);
int64_t raft_get_round_sent_us(uint64_t round);
bool raft_has_quorum(const struct raft *raft, int64_t now_us);
bool raft_is_ready(const struct raft *raft);

#endif
