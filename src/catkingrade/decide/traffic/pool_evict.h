#ifndef CATKINGRADE_DECIDE_POOL_EVICT_H
#define CATKINGRADE_DECIDE_POOL_EVICT_H

#include "catkingrade/decide/traffic/scheduler_state.h"

// Choice of the idle connection that is closed to make place for one of
// another customer. It serves deployments in which more customers use an
// upstream than this entry may have connections there: a few large customers
// send most of the requests, and each of many small ones sends one in several
// seconds.
//
// The connection that is expected to stay unused for the longest time goes
// first. That time is estimated from how long the connection has been idle
// and from how often its customer sends requests. The second part keeps a
// request of a rare customer from closing a connection that is in frequent
// use: it takes that of the previous rare customer.

struct conn *pool_evict_choose(struct scheduler *scheduler, uint32_t upstream,
                               uint32_t customer, int64_t waited_us);
int64_t pool_evict_get_open_us(const struct upstream *upstream);

#endif
