#ifndef CATKINGRADE_DECIDE_TRAFFIC_ACTIONS_H
#define CATKINGRADE_DECIDE_TRAFFIC_ACTIONS_H

#include "catkingrade/decide/traffic_state.h"

struct traffic_action *traffic_add_action(struct traffic *traffic,
                                          enum traffic_action_kind kind);

#endif
