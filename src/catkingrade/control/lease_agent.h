#ifndef CATKINGRADE_CONTROL_LEASE_AGENT_H
#define CATKINGRADE_CONTROL_LEASE_AGENT_H

#include <stdint.h>

#include "catkingrade/entry/entry.h"
#include "catkingrade/entry/view.h"
#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/daemon.h"

// The entry's side of control: one leaseholder for each control group, on the
// control loop. It brings views, leases, quotas and revocations to the
// traffic threads and takes their reports to the groups.
struct lease_agent;

struct lease_agent *lease_agent_create(struct daemon *daemon);
void lease_agent_destroy(struct lease_agent *agent);
const struct view *lease_agent_get_view(const struct lease_agent *agent);
void lease_agent_describe(const struct lease_agent *agent,
                          struct buffer *json);

#endif
