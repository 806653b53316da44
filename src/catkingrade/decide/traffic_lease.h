#ifndef CATKINGRADE_DECIDE_TRAFFIC_LEASE_H
#define CATKINGRADE_DECIDE_TRAFFIC_LEASE_H

#include "catkingrade/decide/traffic_state.h"

uint64_t lease_get_term(const struct traffic *traffic);
bool lease_has_quota(const struct traffic *traffic);
bool lease_is_valid_at(const struct traffic *traffic, int64_t at_us);
bool lease_may_acknowledge(const struct traffic *traffic);
void lease_end_superseded(struct traffic *traffic);
bool lease_is_valid(const struct traffic *traffic);
void lease_handle(struct traffic *traffic, const struct traffic_lease *lease);

#endif
