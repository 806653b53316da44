#ifndef CATKINGRADE_DECIDE_SCHEDULER_RESULT_H
#define CATKINGRADE_DECIDE_SCHEDULER_RESULT_H

#include "catkingrade/decide/traffic/scheduler_state.h"

// Handles the results of requests and the failures of connections: decides
// between retry, confirmation and a final outcome.

bool result_is_complete(enum scheduler_result result);
void result_handle(struct scheduler *scheduler,
                   const struct scheduler_result_event *event);
void result_handle_conn_failed(struct scheduler *scheduler,
                               const struct scheduler_conn_event *event);
void result_close_primary_conns(struct scheduler *scheduler,
                                uint32_t upstream);

#endif
