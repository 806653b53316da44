#ifndef CATKINGRADE_DECIDE_DISPATCH_H
#define CATKINGRADE_DECIDE_DISPATCH_H

#include "catkingrade/decide/traffic/scheduler_state.h"

// Starts queued requests: picks the next request of each queue, its upstream
// and a connection, and sends it. Runs at the end of every scheduler step.

void dispatch_run(struct scheduler *scheduler);

#endif
