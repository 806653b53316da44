#ifndef CATKINGRADE_DECIDE_CONFIRM_H
#define CATKINGRADE_DECIDE_CONFIRM_H

#include "catkingrade/decide/scheduler_state.h"

void confirm_add(struct scheduler *scheduler, struct request *request,
                 uint64_t commit_lsn);
void confirm_poll(struct scheduler *scheduler);
void confirm_expire(struct scheduler *scheduler, struct request *request);
void confirm_end_term(struct scheduler *scheduler, uint64_t term);

#endif
