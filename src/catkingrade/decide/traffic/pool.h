#ifndef CATKINGRADE_DECIDE_POOL_H
#define CATKINGRADE_DECIDE_POOL_H

#include "catkingrade/decide/traffic/scheduler_state.h"

// Pool of connections to the upstreams of one database. The pool opens and
// closes connections within the quotas of the entry, keeps some idle
// connections ready, validates idle connections and binds connections to
// transactions. A validation checks a connection by a round trip to the
// upstream; a reset clears its session state. The pool performs no I/O: it
// adds actions that the adapter carries out.
//
// A connection belongs to the customer that it was opened for, or to no
// customer, and carries requests of that customer only. When the quota leaves
// no place, the pool closes an idle connection of another customer to open
// one; see pool_evict.h.

// How an upstream can provide a connection for a request, the best last.
enum pool_room {
    POOL_ROOM_NONE,
    POOL_ROOM_OPENING_CLAIMED, // one that opens for an earlier request
    POOL_ROOM_EVICT,           // a new one in place of another customer's
    POOL_ROOM_OPEN,            // a new one
    POOL_ROOM_IN_USE,  // one in use, which is free sooner than a new one
    POOL_ROOM_OPENING, // one that opens and is not claimed yet
    POOL_ROOM_IDLE,
};

void pool_init(struct scheduler *scheduler);
void pool_free(struct scheduler *scheduler);
struct conn *pool_find(struct scheduler *scheduler, uint32_t id);
bool pool_can_open(const struct scheduler *scheduler, uint32_t upstream,
                   uint32_t customer);
enum pool_room pool_get_room(struct scheduler *scheduler, uint32_t upstream,
                             const struct request *request);
void pool_open(struct scheduler *scheduler, uint32_t upstream,
               uint32_t customer);
void pool_open_for(struct scheduler *scheduler, uint32_t upstream,
                   struct request *request);
struct conn *pool_acquire_idle(struct scheduler *scheduler, uint32_t upstream,
                               const struct request *request);
void pool_pin(struct scheduler *scheduler, struct conn *conn,
              struct session *session);
void pool_release(struct scheduler *scheduler, struct conn *conn);
void pool_close(struct scheduler *scheduler, struct conn *conn,
                enum scheduler_close_reason reason);
void pool_release_slot(struct scheduler *scheduler, struct conn *conn,
                       bool read);
void pool_remove(struct scheduler *scheduler, struct conn *conn);
void pool_refuse_pinned(struct scheduler *scheduler, struct conn *conn,
                        int64_t retry_after_us, const char *reason);
void pool_check_same_age(struct scheduler *scheduler, uint32_t upstream,
                         int64_t opened_us);
void pool_handle_opened(struct scheduler *scheduler,
                        const struct scheduler_conn_event *event);
void pool_handle_ready(struct scheduler *scheduler,
                       const struct scheduler_conn_event *event);
void pool_handle_timer(struct scheduler *scheduler, uint32_t id);
void pool_enforce_limits(struct scheduler *scheduler);
void pool_maintain(struct scheduler *scheduler);

#endif
