#ifndef CATKINGRADE_DECIDE_SCHEDULER_SESSION_H
#define CATKINGRADE_DECIDE_SCHEDULER_SESSION_H

#include "catkingrade/decide/traffic/scheduler_state.h"

// Opens and closes sessions and maintains their read floors.

void session_open(struct scheduler *scheduler,
                  const struct scheduler_session_open *event);
void session_set_floor(struct scheduler *scheduler,
                       const struct scheduler_session_open *event);
void session_close(struct scheduler *scheduler, uint64_t id);
void session_move(struct scheduler *scheduler, struct session *session);
void session_end_if_due(struct scheduler *scheduler, struct session *session);
void session_end_idle(struct scheduler *scheduler);
void session_finish_all(struct scheduler *scheduler);
void session_free_all(struct scheduler *scheduler);

#endif
