#ifndef CATKINGRADE_DECIDE_SCHEDULER_VIEW_H
#define CATKINGRADE_DECIDE_SCHEDULER_VIEW_H

#include "catkingrade/decide/scheduler_state.h"

void view_handle(struct scheduler *scheduler,
                 const struct scheduler_view *view);
void view_set_limits(struct scheduler *scheduler);

#endif
