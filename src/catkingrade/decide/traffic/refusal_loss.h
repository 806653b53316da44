#ifndef CATKINGRADE_DECIDE_REFUSAL_LOSS_H
#define CATKINGRADE_DECIDE_REFUSAL_LOSS_H

#include <stdbool.h>
#include <stdint.h>

// Time that callers of a database have lost because requests were refused for
// want of a slot: the share of refused requests, summed up over the seconds of
// an overload. Half of the requests refused for 4 s are 2 s.
struct refusal_loss {
    int64_t window_us; // begin of the window in progress
    uint32_t ended;    // requests that ended in it
    uint32_t refused;  // those that were refused for want of a slot
    int64_t lost_us;   // of the earlier windows; 0: there is no overload
};

void refusal_loss_add(struct refusal_loss *loss, int64_t now_us, bool refused);

#endif
