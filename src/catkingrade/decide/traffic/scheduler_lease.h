#ifndef CATKINGRADE_DECIDE_SCHEDULER_LEASE_H
#define CATKINGRADE_DECIDE_SCHEDULER_LEASE_H

#include "catkingrade/decide/traffic/scheduler_state.h"

// Lease that the control group grants to this entry for one term. While it is
// valid, the primary of that term is the only primary of the database, so
// comments also call it the lease of the primary. It decides whether new
// writes may run, whether commits may be acknowledged, and which quota
// applies.

uint64_t lease_get_term(const struct scheduler *scheduler);
bool lease_has_quota(const struct scheduler *scheduler);
bool lease_is_valid_at(const struct scheduler *scheduler, int64_t at_us);
bool lease_may_acknowledge(const struct scheduler *scheduler, uint64_t term);
void lease_end_superseded(struct scheduler *scheduler);
bool lease_is_valid(const struct scheduler *scheduler);
void lease_handle(struct scheduler *scheduler,
                  const struct scheduler_lease *lease);

#endif
