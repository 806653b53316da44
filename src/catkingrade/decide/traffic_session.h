#ifndef CATKINGRADE_DECIDE_TRAFFIC_SESSION_H
#define CATKINGRADE_DECIDE_TRAFFIC_SESSION_H

#include "catkingrade/decide/traffic_state.h"

void session_open(struct traffic *traffic,
                  const struct traffic_session_open *event);
void session_set_floor(struct traffic *traffic,
                       const struct traffic_session_open *event);
void session_close(struct traffic *traffic, uint64_t id);
void session_end_if_due(struct traffic *traffic, struct session *session);
void session_end_idle(struct traffic *traffic);
void session_free_all(struct traffic *traffic);

#endif
