#ifndef CATKINGRADE_DECIDE_REQUEST_RUN_H
#define CATKINGRADE_DECIDE_REQUEST_RUN_H

#include "catkingrade/decide/traffic/scheduler_state.h"

// Sends requests to upstreams and ends them early: on cancellation, at their
// deadline, at their queue timeout or when their session closes.

void request_send(struct scheduler *scheduler, struct request *request,
                  struct conn *conn);
void request_cancel(struct scheduler *scheduler, uint64_t id);
void request_drop(struct scheduler *scheduler, struct request *request,
                  const char *reason);
void request_handle_timer(struct scheduler *scheduler, uint64_t id);

#endif
