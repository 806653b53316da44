#ifndef CATKINGRADE_CONTROL_LIMIT_AGENT_H
#define CATKINGRADE_CONTROL_LIMIT_AGENT_H

#include "catkingrade/kernel/daemon.h"

// Borrows tokens for the rate limits of customers, on the control loop of an
// entry: sends the calls of the entry's limiter (entry/limiter.h) to the
// leader of the fleet's group.
struct limit_agent;

struct limit_agent *limit_agent_create(struct daemon *daemon);
void limit_agent_destroy(struct limit_agent *agent);

#endif
