#ifndef CATKINGRADE_DECIDE_TRAFFIC_VIEW_H
#define CATKINGRADE_DECIDE_TRAFFIC_VIEW_H

#include "catkingrade/decide/traffic_state.h"

void view_handle(struct traffic *traffic, const struct traffic_view *view);
void view_set_limits(struct traffic *traffic);

#endif
