#ifndef TEST_RIG_ANNOUNCER_H
#define TEST_RIG_ANNOUNCER_H

#include <stdbool.h>
#include <stdint.h>

#include "test/fake/platform.h"

// Announces one upstream of the fake platform to the control VMs of the rig,
// on a thread of its own, and plays its planned replacement: the upstream
// announces `draining`, serves for ANNOUNCER_DRAIN_US after the
// acknowledgement and a little longer, withdraws and ends. Later a new process
// starts at its address with its log.

#define ANNOUNCER_DRAIN_US 7000000

struct announcer;

// Starts the announcements. leaving: announce as `draining` while it is true.
struct announcer *announcer_start(struct platform *platform, int upstream,
                                  int id, const volatile bool *leaving);
void announcer_stop(struct announcer *announcer);
// Begins a planned replacement. The upstream serves for extra_us longer than
// ANNOUNCER_DRAIN_US and is gone for absent_us. Returns false if one is under
// way.
bool announcer_replace(struct announcer *announcer, int64_t extra_us,
                       int64_t absent_us);
// Returns whether a planned replacement is under way.
bool announcer_is_replacing(const struct announcer *announcer);
// Returns the time of the newest acknowledgement of `draining`; 0: none.
int64_t announcer_get_acknowledged_us(const struct announcer *announcer);

#endif
