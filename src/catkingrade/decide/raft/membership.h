#ifndef CATKINGRADE_DECIDE_MEMBERSHIP_H
#define CATKINGRADE_DECIDE_MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/rpc/messages.h"

// Membership rules of a control group that manages its own voters: which VMs
// may join, and which voter is removed. The Raft leader applies the rules, one
// membership change at a time. A listed VM either votes or is a learner, which
// follows the log without a vote.

#define MEMBERSHIP_NONE 0

struct membership_voter {
    const struct ck_voter *voter;
    int64_t silent_us; // since its last answer to this Raft leader
    int64_t known_us;  // since this Raft leader has listed the voter
    bool is_self;      // is this Raft leader
};

struct membership_params {
    size_t target; // desired number of voters
    // A voter that has been silent this long may be removed.
    int64_t silence_timeout_us;
};

// Returns the id of the voter to remove now, or MEMBERSHIP_NONE.
uint64_t membership_find_removal(const struct membership_params *params,
                                 const struct membership_voter *voters,
                                 size_t count);
// Returns the id of the standby, or MEMBERSHIP_NONE if there is none. The
// standby is a learner that becomes a voter only when a voter is missing. This
// keeps the number of votes odd, so that one side of a network partition into
// two halves has a majority.
uint64_t membership_find_standby(const struct membership_params *params,
                                 const struct membership_voter *voters,
                                 size_t count);
// Checks the request of a VM to join as a voter. voter->id is the VM's id, or
// 0 if it has none yet; highest_id is the highest id ever assigned. Returns
// - OUTCOME_OK: the VM may be added under its id; *assigned_id is the id if
//   the VM is listed already, else 0;
// - OUTCOME_AGAIN: the VM must ask again, under the id *assigned_id if that is
//   not 0; if it is 0, the group has no room for the VM at present;
// - OUTCOME_INVALID: the id belongs to another VM or was used before.
int membership_check_join(const struct membership_params *params,
                          const struct membership_voter *voters, size_t count,
                          uint64_t highest_id, const struct ck_voter *voter,
                          uint64_t *assigned_id);

#endif
