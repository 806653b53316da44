#ifndef CATKINGRADE_CONTROL_JOINER_H
#define CATKINGRADE_CONTROL_JOINER_H

#include "catkingrade/control/control.h"

// Brings this VM into a control group that takes care of itself: a VM whose
// disk is new gets an identity of its own from the group's leader, and asks to
// be added until it votes.
struct joiner;

struct joiner *joiner_create(struct control *control, const char *group);
void joiner_destroy(struct joiner *joiner);

#endif
