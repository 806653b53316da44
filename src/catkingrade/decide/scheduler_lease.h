#ifndef CATKINGRADE_DECIDE_SCHEDULER_LEASE_H
#define CATKINGRADE_DECIDE_SCHEDULER_LEASE_H

#include "catkingrade/decide/scheduler_state.h"

uint64_t lease_get_term(const struct scheduler *scheduler);
bool lease_has_quota(const struct scheduler *scheduler);
bool lease_is_valid_at(const struct scheduler *scheduler, int64_t at_us);
bool lease_may_acknowledge(const struct scheduler *scheduler);
void lease_end_superseded(struct scheduler *scheduler);
bool lease_is_valid(const struct scheduler *scheduler);
void lease_handle(struct scheduler *scheduler,
                  const struct scheduler_lease *lease);

#endif
