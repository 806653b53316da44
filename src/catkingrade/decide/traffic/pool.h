#ifndef CATKINGRADE_DECIDE_POOL_H
#define CATKINGRADE_DECIDE_POOL_H

#include "catkingrade/decide/traffic/scheduler_state.h"

// Pool of connections to the upstreams of one database. The pool opens and
// closes connections within the quotas of the entry, keeps some idle
// connections ready, validates idle connections and binds connections to
// transactions. A validation checks a connection by a round trip to the
// upstream; a reset clears its session state. The pool performs no I/O: it
// adds actions that the adapter carries out.

void pool_init(struct scheduler *scheduler);
void pool_free(struct scheduler *scheduler);
struct conn *pool_find(struct scheduler *scheduler, uint32_t id);
bool pool_can_open(const struct scheduler *scheduler, uint32_t upstream);
void pool_open(struct scheduler *scheduler, uint32_t upstream);
struct conn *pool_acquire_idle(struct scheduler *scheduler, uint32_t upstream,
                               uint64_t session, bool needs_validation);
void pool_pin(struct scheduler *scheduler, struct conn *conn,
              struct session *session);
void pool_release(struct scheduler *scheduler, struct conn *conn);
void pool_close(struct scheduler *scheduler, struct conn *conn,
                enum scheduler_close_reason reason);
void pool_release_slot(struct scheduler *scheduler, uint32_t upstream,
                       bool read);
void pool_remove(struct scheduler *scheduler, struct conn *conn);
void pool_refuse_pinned(struct scheduler *scheduler, struct conn *conn);
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
