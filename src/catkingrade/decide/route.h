#ifndef CATKINGRADE_DECIDE_ROUTE_H
#define CATKINGRADE_DECIDE_ROUTE_H

#include "catkingrade/decide/scheduler_state.h"

enum route_verdict {
    ROUTE_FOUND, // an upstream with a free slot
    ROUTE_BUSY,  // those that may serve it have no free slot
    ROUTE_STALE, // none may serve it now
};

struct route {
    enum route_verdict verdict;
    uint32_t upstream;
};

bool route_primary_is_usable(const struct scheduler *scheduler);
struct route route_read(struct scheduler *scheduler, struct request *request);
struct route route_primary(const struct scheduler *scheduler);

#endif
