#ifndef CATKINGRADE_DECIDE_MEMBERSHIP_H
#define CATKINGRADE_DECIDE_MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/rpc/messages.h"

// Which VMs vote in a control group that takes care of itself: new ones come
// in, and those that are gone make room, one step at a time.

#define MEMBERSHIP_NONE 0

struct membership_voter {
    const struct ck_voter *voter;
    int64_t silent_us; // since its last answer to this leader
    int64_t known_us;  // since this leader has it in its list
    bool is_self;
};

struct membership_params {
    size_t target;     // voters that the group is to have
    int64_t silent_us; // after which one may make room
};

// Returns the voter to be removed now, or MEMBERSHIP_NONE.
uint64_t membership_find_removal(const struct membership_params *params,
                                 const struct membership_voter *voters,
                                 size_t count);
// Returns the one that stands by: it follows the log without a vote, until a
// voter is missing whose place it takes. So the number of votes stays odd, and
// a group that is cut into halves has a majority in one. MEMBERSHIP_NONE
// when there is none.
uint64_t membership_find_standby(const struct membership_params *params,
                                 const struct membership_voter *voters,
                                 size_t count);
// Judges a VM that wants to vote, under the id that it has or 0. highest is
// the highest id ever given. Returns OUTCOME_OK when it may be added under its
// id, with *number set when it is in the list already; OUTCOME_AGAIN with
// *number when it is to come back under that id, 0 when there is no place for
// it now; OUTCOME_INVALID when its id is another VM's or was used before.
int membership_check_join(const struct membership_params *params,
                          const struct membership_voter *voters, size_t count,
                          uint64_t highest, const struct ck_voter *voter,
                          uint64_t *number);

#endif
