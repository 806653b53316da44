#ifndef CATKINGRADE_DECIDE_TRAFFIC_RESULT_H
#define CATKINGRADE_DECIDE_TRAFFIC_RESULT_H

#include "catkingrade/decide/traffic_state.h"

bool result_is_whole(enum traffic_result result);
void result_handle(struct traffic *traffic,
                   const struct traffic_result_event *event);
void result_handle_conn_failed(struct traffic *traffic,
                               const struct traffic_conn_event *event);
void result_end_primary(struct traffic *traffic, uint32_t upstream);

#endif
