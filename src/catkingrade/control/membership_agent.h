#ifndef CATKINGRADE_CONTROL_MEMBERSHIP_AGENT_H
#define CATKINGRADE_CONTROL_MEMBERSHIP_AGENT_H

#include "catkingrade/control/control.h"

// Brings this VM into a control group that takes care of itself: a VM whose
// disk is new gets an identity of its own from the group's leader, and asks to
// be added until it votes.
struct membership_agent;

struct membership_agent *membership_agent_create(struct control *control,
                                                 const char *group);
void membership_agent_destroy(struct membership_agent *membership_agent);

#endif
