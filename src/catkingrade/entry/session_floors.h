#ifndef CATKINGRADE_ENTRY_SESSION_FLOORS_H
#define CATKINGRADE_ENTRY_SESSION_FLOORS_H

#include <stdbool.h>
#include <stdint.h>

#include "catkingrade/decide/traffic/scheduler_defs.h"

// Read floors of a session at the databases that it has left because its route
// moved. If the route moves back, the session continues with the floor that it
// had, so that it still reads its own writes.
struct session_floors;

// A floor and the monotonic time at which it was last raised.
struct session_floor {
    struct scheduler_floor floor;
    int64_t raised_us;
};

struct session_floors *session_floors_create(void);
void session_floors_destroy(struct session_floors *floors);
void session_floors_put(struct session_floors *floors, const char *database,
                        const struct session_floor *floor);
bool session_floors_take(struct session_floors *floors, const char *database,
                         struct session_floor *floor);

#endif
