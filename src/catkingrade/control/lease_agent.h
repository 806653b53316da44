#ifndef CATKINGRADE_CONTROL_LEASE_AGENT_H
#define CATKINGRADE_CONTROL_LEASE_AGENT_H

#include <stdbool.h>
#include <stdint.h>

#include "catkingrade/entry/entry.h"
#include "catkingrade/entry/view.h"
#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/daemon.h"

// Connects an entry with the control groups, on the control loop. It runs one
// leaseholder (decide/leaseholder/leaseholder.h) per group, which renews the
// entry's lease, passes views, leases, quotas and revocations on to the
// traffic threads, and sends their reports (suspicions, confirmed revocations,
// demand) to the groups.
struct lease_agent;

struct lease_agent *lease_agent_create(struct daemon *daemon);
void lease_agent_destroy(struct lease_agent *agent);
void lease_agent_return(struct lease_agent *agent);
bool lease_agent_is_returned(const struct lease_agent *agent);
const struct view *lease_agent_get_view(const struct lease_agent *agent);
void lease_agent_describe(const struct lease_agent *agent,
                          struct buffer *json);

#endif
