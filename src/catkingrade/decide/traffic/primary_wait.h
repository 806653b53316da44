#ifndef CATKINGRADE_DECIDE_PRIMARY_WAIT_H
#define CATKINGRADE_DECIDE_PRIMARY_WAIT_H

#include <stdint.h>

// Estimate of how much longer a change of primary takes, from the changes that
// this entry has seen. The load that it answers: requests that need the
// primary arrive during a change. One that can still end before its deadline
// waits in its queue; the others are refused at once.
struct primary_wait {
    int64_t since_us;    // begin of the change in progress; 0: none
    int64_t expected_us; // duration, from earlier changes; 0: none seen
};

void primary_wait_begin(struct primary_wait *wait, int64_t now_us);
void primary_wait_end(struct primary_wait *wait, int64_t now_us);
void primary_wait_cancel(struct primary_wait *wait);
int64_t primary_wait_get_remaining_us(const struct primary_wait *wait,
                                      int64_t now_us);

#endif
