#ifndef CATKINGRADE_CONTROL_CONTROL_H
#define CATKINGRADE_CONTROL_CONTROL_H

#include <stdbool.h>

#include "catkingrade/kernel/daemon.h"

// Control plane of a daemon, on the control loop. Every daemon that listens
// for RPC has one. It answers queries about the daemon itself and rejects
// requests for control groups in which this VM has no voter. With the role
// control it also opens the data folder and runs this VM's voter of each
// control group.
struct control;

int control_create(struct daemon *daemon, struct control **control_out);
void control_destroy(struct control *control);
void control_start_announcements(struct control *control);
void control_stop_announcements(struct control *control);
void control_drain(struct control *control);
bool control_is_drained(const struct control *control);

#endif
