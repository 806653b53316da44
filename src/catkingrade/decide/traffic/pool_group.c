#include "catkingrade/decide/traffic/pool_group.h"

#include <stdlib.h>

#include "catkingrade/kernel/memory.h"

#define POOL_GROUP_CUSTOMER_BITS 32
// Idle connections of a customer that are checked for the state of a session.
#define POOL_GROUP_SCAN_MAX 16

// Frees the memory of all groups.
void
pool_group_free_all(struct scheduler *scheduler)
{
    for (size_t i = 0; i < scheduler->groups.capacity; i++) {
        free(scheduler->groups.items[i]);
    }
    id_map_free(&scheduler->groups);
}

static uint64_t
pool_group_get_key(uint32_t upstream, uint32_t customer)
{
    return (uint64_t)upstream << POOL_GROUP_CUSTOMER_BITS | customer;
}

// Returns the connections of a customer to an upstream, or NULL if it has
// none. For no customer the result is never NULL.
struct conn_group *
pool_group_find(const struct scheduler *scheduler, uint32_t upstream,
                uint32_t customer)
{
    if (customer == CUSTOMER_NONE) {
        return &scheduler->upstreams[upstream].unowned;
    }
    return id_map_get(&scheduler->groups,
                      pool_group_get_key(upstream, customer));
}

// Counts a new connection in the group of its customer, which is created if
// this is its first one. Takes a reference to the customer.
struct conn_group *
pool_group_add_conn(struct scheduler *scheduler, const struct conn *conn)
{
    struct conn_group *group =
        pool_group_find(scheduler, conn->upstream, conn->customer);

    if (group == NULL) {
        group = xcalloc(1, sizeof(*group));
        group->idle_first = SCHEDULER_NO_ID;
        id_map_put(&scheduler->groups,
                   pool_group_get_key(conn->upstream, conn->customer), group);
    }
    if (group->open++ == 0) {
        scheduler->upstreams[conn->upstream].groups++;
    }
    customer_table_reference(&scheduler->customers, conn->customer);
    return group;
}

// Removes a connection, which is not idle, from the count of its group. Frees
// the group of a customer after its last connection.
void
pool_group_remove_conn(struct scheduler *scheduler, const struct conn *conn)
{
    struct conn_group *group =
        pool_group_find(scheduler, conn->upstream, conn->customer);

    INVARIANT(group != NULL && group->open > 0);
    if (--group->open == 0) {
        scheduler->upstreams[conn->upstream].groups--;
        if (conn->customer != CUSTOMER_NONE) {
            free(id_map_remove(
                &scheduler->groups,
                pool_group_get_key(conn->upstream, conn->customer)));
        }
    }
    customer_table_release(&scheduler->customers, conn->customer);
}

static uint32_t
pool_group_get_index(const struct scheduler *scheduler,
                     const struct conn *conn)
{
    return (uint32_t)(conn - scheduler->conns);
}

// Adds a connection in front of the idle connections of its customer, and of
// all idle connections of its upstream.
void
pool_group_add_idle(struct scheduler *scheduler, struct conn *conn)
{
    struct upstream *upstream = &scheduler->upstreams[conn->upstream];
    struct conn_group *group =
        pool_group_find(scheduler, conn->upstream, conn->customer);
    uint32_t index = pool_group_get_index(scheduler, conn);

    conn->previous = conn->newer = SCHEDULER_NO_ID;
    conn->next = group->idle_first;
    if (conn->next != SCHEDULER_NO_ID) {
        scheduler->conns[conn->next].previous = index;
    }
    group->idle_first = index;
    group->idle++;
    conn->older = upstream->idle_first;
    if (conn->older != SCHEDULER_NO_ID) {
        scheduler->conns[conn->older].newer = index;
    }
    else {
        upstream->idle_last = index;
    }
    upstream->idle_first = index;
    upstream->idle++;
}

// Takes an idle connection off both lists.
void
pool_group_remove_idle(struct scheduler *scheduler, struct conn *conn)
{
    struct upstream *upstream = &scheduler->upstreams[conn->upstream];
    struct conn_group *group =
        pool_group_find(scheduler, conn->upstream, conn->customer);

    if (conn->previous != SCHEDULER_NO_ID) {
        scheduler->conns[conn->previous].next = conn->next;
    }
    else {
        group->idle_first = conn->next;
    }
    if (conn->next != SCHEDULER_NO_ID) {
        scheduler->conns[conn->next].previous = conn->previous;
    }
    if (conn->newer != SCHEDULER_NO_ID) {
        scheduler->conns[conn->newer].older = conn->older;
    }
    else {
        upstream->idle_first = conn->older;
    }
    if (conn->older != SCHEDULER_NO_ID) {
        scheduler->conns[conn->older].newer = conn->newer;
    }
    else {
        upstream->idle_last = conn->newer;
    }
    conn->next = conn->previous = SCHEDULER_NO_ID;
    conn->older = conn->newer = SCHEDULER_NO_ID;
    group->idle--;
    upstream->idle--;
}

// Returns the idle connection of a group that still holds the session state of
// a session, so that the state need not be set up again. Without one, returns
// the connection that was used last. The group must have an idle connection.
struct conn *
pool_group_find_idle(struct scheduler *scheduler,
                     const struct conn_group *group, uint64_t session)
{
    uint32_t index = group->idle_first;
    bool bounded = scheduler->customers.used > 0;

    for (int i = 0;
         index != SCHEDULER_NO_ID && !(bounded && i == POOL_GROUP_SCAN_MAX);
         i++) {
        if (scheduler->conns[index].last_session == session) {
            return &scheduler->conns[index];
        }
        index = scheduler->conns[index].next;
    }
    return &scheduler->conns[group->idle_first];
}

// Returns the customer whose connections to an upstream a request may use. A
// relay is told the customer with each statement, so that its links belong to
// no customer.
uint32_t
pool_group_get_customer(const struct scheduler *scheduler, uint32_t upstream,
                        const struct request *request)
{
    return scheduler->upstreams[upstream].relayed ? CUSTOMER_NONE
                                                  : request->customer;
}
