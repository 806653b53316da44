#ifndef CATKINGRADE_DECIDE_POOL_GROUP_H
#define CATKINGRADE_DECIDE_POOL_GROUP_H

#include "catkingrade/decide/traffic/scheduler_state.h"

// Connections of one customer to one upstream. A request takes an idle
// connection from the group of its customer only, without a look at the
// connections of others. The group of no customer is part of its upstream; the
// others exist while they have a connection.

void pool_group_free_all(struct scheduler *scheduler);
struct conn_group *pool_group_find(const struct scheduler *scheduler,
                                   uint32_t upstream, uint32_t customer);
struct conn_group *pool_group_add_conn(struct scheduler *scheduler,
                                       const struct conn *conn);
void pool_group_remove_conn(struct scheduler *scheduler,
                            const struct conn *conn);
void pool_group_add_idle(struct scheduler *scheduler, struct conn *conn);
void pool_group_remove_idle(struct scheduler *scheduler, struct conn *conn);
struct conn *pool_group_find_idle(struct scheduler *scheduler,
                                  const struct conn_group *group,
                                  uint64_t session);
uint32_t pool_group_get_customer(const struct scheduler *scheduler,
                                 uint32_t upstream,
                                 const struct request *request);

#endif
