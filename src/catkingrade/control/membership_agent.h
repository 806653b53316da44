#ifndef CATKINGRADE_CONTROL_MEMBERSHIP_AGENT_H
#define CATKINGRADE_CONTROL_MEMBERSHIP_AGENT_H

#include "catkingrade/control/control.h"

// Joins this VM to a control group whose voters are managed automatically
// (setting voters_from_seeds). A VM without a stored voter id, for example
// after the loss of its disk, gets a new id from the group's leader. The agent
// asks the leader to add the voter until it is in the voter list and in
// contact with a leader.
struct membership_agent;

struct membership_agent *membership_agent_create(struct control *control,
                                                 const char *group);
void membership_agent_destroy(struct membership_agent *agent);

#endif
