#ifndef CATKINGRADE_DECIDE_REQUEST_RUN_H
#define CATKINGRADE_DECIDE_REQUEST_RUN_H

#include "catkingrade/decide/traffic_state.h"

void request_send(struct traffic *traffic, struct request *request,
                  struct conn *conn);
void request_cancel(struct traffic *traffic, uint64_t id);
void request_drop(struct traffic *traffic, struct request *request);
void request_handle_timer(struct traffic *traffic, uint64_t id);

#endif
