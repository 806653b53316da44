#ifndef CATKINGRADE_DECIDE_DISPATCH_H
#define CATKINGRADE_DECIDE_DISPATCH_H

#include "catkingrade/decide/scheduler_state.h"

void dispatch_run(struct scheduler *scheduler);

#endif
