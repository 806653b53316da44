#ifndef CATKINGRADE_DECIDE_CONFIRM_H
#define CATKINGRADE_DECIDE_CONFIRM_H

#include "catkingrade/decide/traffic/scheduler_state.h"

// Confirmation of writes by replicas. A write here is a single statement or
// the end of a transaction that may have committed data; other modules call it
// an unconfirmed commit while it waits. A write that the primary has completed
// is acknowledged to its session once the configured number of replicas are
// known to have reached its log position, and only while the primary's lease
// for the same term is valid. Writes whose confirmation does not arrive in
// time end according to the customer's policy.

void confirm_add(struct scheduler *scheduler, struct request *request,
                 uint64_t commit_lsn);
void confirm_poll(struct scheduler *scheduler);
void confirm_expire(struct scheduler *scheduler, struct request *request);
void confirm_end_term(struct scheduler *scheduler, uint64_t term);

#endif
