#ifndef CATKINGRADE_DECIDE_SCHEDULER_ACTIONS_H
#define CATKINGRADE_DECIDE_SCHEDULER_ACTIONS_H

#include "catkingrade/decide/traffic/scheduler_state.h"

// Adds actions and coarse timers in a scheduler step.

void scheduler_add_coarse_timer(struct scheduler *scheduler, int64_t at_us,
                                enum timer_kind kind, uint64_t id);
struct scheduler_action *scheduler_add_action(struct scheduler *scheduler,
                                              enum scheduler_action_kind kind);

#endif
