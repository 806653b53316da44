#ifndef CATKINGRADE_CONTROL_CONTROL_H
#define CATKINGRADE_CONTROL_CONTROL_H

#include <stdbool.h>

#include "catkingrade/kernel/daemon.h"

// The control side of a daemon: the groups that this VM votes in, and the
// answers to operators that every daemon gives.
struct control;

int control_create(struct daemon *daemon, struct control **control_out);
void control_destroy(struct control *control);
void control_start_announcements(struct control *control);
void control_stop_announcements(struct control *control);
void control_drain(struct control *control);
bool control_is_drained(const struct control *control);

#endif
