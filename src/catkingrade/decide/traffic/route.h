#ifndef CATKINGRADE_DECIDE_ROUTE_H
#define CATKINGRADE_DECIDE_ROUTE_H

#include "catkingrade/decide/traffic/scheduler_state.h"

// Routing of statements to upstreams. Statements that need the primary run
// there under a valid lease. A read goes to a replica that covers the floor of
// its session and is fresh enough, and otherwise to the primary.

enum route_verdict {
    ROUTE_FOUND, // an upstream with a free slot
    ROUTE_BUSY,  // the upstreams that may serve it have no free slot
    ROUTE_STALE, // no upstream may serve it now
};

struct route {
    enum route_verdict verdict;
    uint32_t upstream; // index, or SCHEDULER_NO_ID
};

bool route_primary_is_usable(const struct scheduler *scheduler);
struct route route_read(struct scheduler *scheduler, struct request *request);
struct route route_primary(const struct scheduler *scheduler);

#endif
