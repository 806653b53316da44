#ifndef CATKINGRADE_DECIDE_ROUTE_LEARNED_H
#define CATKINGRADE_DECIDE_ROUTE_LEARNED_H

#include "catkingrade/decide/traffic/scheduler_state.h"

// The part of routing that uses the learned capacity of upstreams. Without
// the parameter learned_capacity no upstream is slow and no limit is learned.

int64_t route_learned_get_wait_end_us(const struct request *request);
bool route_learned_allows(const struct scheduler *scheduler, uint32_t index,
                          const struct request *request);
int64_t route_learned_get_completion_us(const struct scheduler *scheduler,
                                        uint32_t index);
bool route_learned_is_faster(struct scheduler *scheduler, uint32_t a,
                             uint32_t b);
bool route_learned_can_compare(struct scheduler *scheduler,
                               const struct request *request, uint32_t a,
                               uint32_t b);
bool route_learned_is_slow(const struct scheduler *scheduler, uint32_t index);
bool route_learned_may_try(const struct scheduler *scheduler, uint32_t index,
                           const struct request *request);

#endif
