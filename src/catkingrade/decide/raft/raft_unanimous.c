// Unanimous elections: the return of a group whose voters have all restarted,
// as after a power loss.
//
// A voter that has restarted votes in an ordinary election only after the
// shortest election timeout, because it may have answered a leader just before
// (raft_may_vote). That leader, if it still runs, is a member of the group. So
// a candidate for which every member votes, learners included, needs no such
// wait: the former leader has voted too and thereby stepped down.

#include "catkingrade/decide/raft/raft_internal.h"

// The first unanimous election begins within a heartbeat interval divided by
// this, so that the last voter to return begins it at once.
#define RAFT_UNANIMOUS_START_DIVISOR 4

static bool
raft_has_member(const struct ck_voters_change *voters, uint64_t id)
{
    for (u_int i = 0; i < voters->voters.voters_len; i++) {
        if (voters->voters.voters_val[i].id == id) {
            return true;
        }
    }
    return false;
}

// Returns whether the configuration in force is known to contain all members
// of the one before it.
static bool
raft_has_kept_members(const struct raft *raft)
{
    if (raft->configs_count < 2) {
        return false;
    }
    const struct ck_voters_change *voters =
        &raft->configs[raft->configs_count - 1].voters;
    const struct ck_voters_change *previous =
        &raft->configs[raft->configs_count - 2].voters;
    for (u_int i = 0; i < previous->voters.voters_len; i++) {
        if (!raft_has_member(voters, previous->voters.voters_val[i].id)) {
            return false;
        }
    }
    return true;
}

// Returns whether no leader outside of the configuration in force can still
// run. Such a leader has appended the configuration in its last term, and
// removed itself by it.
static bool
raft_is_config_settled(const struct raft *raft)
{
    const struct raft_config *config = raft_get_config(raft);
    uint64_t config_term = 0;

    if (config == NULL) {
        return false;
    }
    if (config->index == 0 || raft_has_kept_members(raft)) {
        return true;
    }
    return raft_log_get_term(&raft->log, config->index, &config_term) &&
           config_term < raft_log_get_last_term(&raft->log);
}

// Returns whether this voter may vote in a unanimous election: it neither
// leads nor has heard of a leader within the shortest election timeout. It
// need not wait after a restart.
bool
raft_unanimous_may_vote(const struct raft *raft)
{
    return raft->role != RAFT_LEADER &&
           raft->now_us >= raft->leader_contact_us + raft->params.election_us;
}

// Returns whether this voter should become a candidate of a unanimous
// election: it has restarted and may not vote in an ordinary one yet.
bool
raft_unanimous_is_possible(const struct raft *raft)
{
    return raft->now_us < raft->no_vote_until_us &&
           raft_unanimous_may_vote(raft) &&
           raft_is_voting(raft, raft->params.self) &&
           raft_is_config_settled(raft);
}

// Sets the election timer of a voter that has just started, if a unanimous
// election is possible.
void
raft_unanimous_start(struct raft *raft)
{
    if (!raft->passive && raft_unanimous_is_possible(raft)) {
        raft->election_at_us =
            raft->now_us +
            raft_get_random_us(raft, raft->params.heartbeat_us /
                                         RAFT_UNANIMOUS_START_DIVISOR);
    }
}

// Handles a pre-vote request of a unanimous election, which shows that its
// sender runs. A voter that has granted it leaves the election to the sender.
// A voter that has refused it, because its own log is more advanced, becomes a
// candidate at once.
void
raft_unanimous_handle_pre_vote(struct raft *raft, bool granted)
{
    if (!raft_unanimous_is_possible(raft)) {
        return;
    }
    if (granted) {
        raft_set_retry_timer(raft);
    }
    else {
        raft->election_at_us = raft->now_us;
    }
}
