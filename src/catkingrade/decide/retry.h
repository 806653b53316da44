#ifndef CATKINGRADE_DECIDE_RETRY_H
#define CATKINGRADE_DECIDE_RETRY_H

#include "catkingrade/decide/traffic_state.h"

// When a refused caller may come back, for want of a better estimate.
#define RETRY_AFTER_US (300 * TRAFFIC_MS_US)

void retry_add_credit(struct traffic *traffic);
bool retry_was_tried(const struct request *request, uint32_t upstream);
bool retry_schedule(struct traffic *traffic, struct request *request,
                    uint32_t failed_upstream);

#endif
