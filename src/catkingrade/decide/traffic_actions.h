#ifndef CATKINGRADE_DECIDE_TRAFFIC_ACTIONS_H
#define CATKINGRADE_DECIDE_TRAFFIC_ACTIONS_H

#include "catkingrade/decide/traffic_state.h"

// Adds a timer for a limit that may be told a little late.
void traffic_add_limit(struct traffic *traffic, int64_t at_us,
                       enum timer_kind kind, uint64_t id);
struct traffic_action *traffic_add_action(struct traffic *traffic,
                                          enum traffic_action_kind kind);

#endif
