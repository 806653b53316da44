#ifndef CATKINGRADE_DECIDE_UPSTREAM_CAPACITY_H
#define CATKINGRADE_DECIDE_UPSTREAM_CAPACITY_H

#include "catkingrade/decide/traffic/scheduler_state.h"

// Passes the statements of a scheduler to the capacity estimators of its
// upstreams. Without the parameter learned_capacity nothing is recorded.

bool upstream_capacity_is_used(const struct scheduler *scheduler,
                               const struct upstream *up);
void upstream_capacity_record_send(struct scheduler *scheduler,
                                   struct upstream *up,
                                   const struct request *request);
void upstream_capacity_record_answer(struct scheduler *scheduler,
                                     struct upstream *up,
                                     const struct request *request,
                                     int64_t took_us, uint8_t overdue);
void upstream_capacity_check_overdue(struct scheduler *scheduler);

#endif
