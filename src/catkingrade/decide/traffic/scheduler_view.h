#ifndef CATKINGRADE_DECIDE_SCHEDULER_VIEW_H
#define CATKINGRADE_DECIDE_SCHEDULER_VIEW_H

#include "catkingrade/decide/traffic/scheduler_state.h"

// Applies a new view of the database, its customer and the entry's quotas to
// the upstreams, queues and sessions of the scheduler.

void view_handle(struct scheduler *scheduler,
                 const struct scheduler_view *view);
void view_set_limits(struct scheduler *scheduler);
bool view_is_primary_over(const struct scheduler *scheduler);
void view_stop_primary(struct scheduler *scheduler);

#endif
