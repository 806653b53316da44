#ifndef CATKINGRADE_DECIDE_FLOOR_H
#define CATKINGRADE_DECIDE_FLOOR_H

#include "catkingrade/decide/scheduler_state.h"

// What a floor asks of the present term's log.
enum floor_need {
    FLOOR_NEED_LSN,  // an upstream at lsn or beyond
    FLOOR_NEED_VIEW, // the floor is of a term that this entry has not heard of
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
