#ifndef CATKINGRADE_DECIDE_DISPATCH_H
#define CATKINGRADE_DECIDE_DISPATCH_H

#include "catkingrade/decide/traffic_state.h"

void dispatch_run(struct traffic *traffic);

#endif
