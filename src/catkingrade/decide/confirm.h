#ifndef CATKINGRADE_DECIDE_CONFIRM_H
#define CATKINGRADE_DECIDE_CONFIRM_H

#include "catkingrade/decide/traffic_state.h"

void confirm_add(struct traffic *traffic, struct request *request,
                 uint64_t save_lsn);
void confirm_poll(struct traffic *traffic);
void confirm_expire(struct traffic *traffic, struct request *request);
void confirm_end_term(struct traffic *traffic, uint64_t term);

#endif
