#ifndef CATKINGRADE_DECIDE_CONFIRM_H
#define CATKINGRADE_DECIDE_CONFIRM_H

#include "catkingrade/decide/traffic_state.h"

// Confirmation of writes by replicas. A write that the primary has completed
// is acknowledged to its session once the configured number of replicas are
// known to have reached its log position, and only while the primary's lease
// for the same term is valid. Writes whose confirmation does not arrive in
// time end according to the customer's policy.

void confirm_add(struct traffic *traffic, struct request *request,
                 uint64_t save_lsn);
void confirm_poll(struct traffic *traffic);
void confirm_expire(struct traffic *traffic, struct request *request);
void confirm_end_term(struct traffic *traffic, uint64_t term);

#endif
