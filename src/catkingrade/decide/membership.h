#ifndef CATKINGRADE_DECIDE_MEMBERSHIP_H
#define CATKINGRADE_DECIDE_MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/rpc/messages.h"

// Which VMs vote in a control group that takes care of itself: new ones come
// in, and those that are gone make room, one step at a time.

#define MEMBERSHIP_NOBODY 0

struct membership_voter {
    const struct ck_voter *voter;
    int64_t silent_us; // since its last answer to this leader
    bool is_self;
};

struct membership_params {
    size_t target;     // voters that the group is to have
    int64_t silent_us; // after which one may make room
};

// Returns the voter to be removed now, or MEMBERSHIP_NOBODY.
uint64_t membership_find_removal(const struct membership_params *params,
                                 const struct membership_voter *voters,
                                 size_t count);
// Returns whether a VM that is no voter may become one now.
bool membership_may_add(const struct membership_params *params,
                        const struct membership_voter *voters, size_t count,
                        const struct ck_voter *added);

#endif
