#ifndef CATKINGRADE_DECIDE_RETRY_H
#define CATKINGRADE_DECIDE_RETRY_H

#include "catkingrade/decide/traffic/scheduler_state.h"

// Retries of failed requests at another upstream, with exponential backoff and
// a retry budget: each new request adds a fraction of a retry to the budget,
// which bounds the extra load when an upstream fails.

// Default time after which a refused client may retry, for refusals without a
// better estimate.
#define RETRY_AFTER_US (300 * SCHEDULER_MS_US)

void retry_add_credit(struct scheduler *scheduler);
bool retry_was_tried(const struct request *request, uint32_t upstream);
bool retry_schedule(struct scheduler *scheduler, struct request *request,
                    uint32_t failed_upstream, bool not_sent);

#endif
