#ifndef CATKINGRADE_DECIDE_FLOOR_H
#define CATKINGRADE_DECIDE_FLOOR_H

#include "catkingrade/decide/traffic/scheduler_state.h"

// Session floors for read consistency. The floor of a session is the lowest
// log position, with its term, that an upstream must have reached to serve the
// session's reads. A session without a token gets the position of the primary
// at its arrival as its floor.

// What is needed before reads with a floor can be routed.
enum floor_need {
    FLOOR_NEED_LSN,  // an upstream at log position lsn or beyond
    FLOOR_NEED_VIEW, // a view of the floor's term, newer than the present one
};

enum floor_need floor_translate(const struct ck_database *database,
                                const struct scheduler_floor *floor,
                                uint64_t *lsn);
bool floor_raise(struct scheduler_floor *floor,
                 const struct scheduler_floor *other);
void floor_start_waiting(struct scheduler *scheduler, struct session *session);
void floor_stop_waiting(struct scheduler *scheduler, struct session *session);
void floor_assign_from_sample(struct scheduler *scheduler,
                              const struct scheduler_sample *sample);
void floor_handle_view(struct scheduler *scheduler);

#endif
