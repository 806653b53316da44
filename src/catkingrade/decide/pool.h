#ifndef CATKINGRADE_DECIDE_POOL_H
#define CATKINGRADE_DECIDE_POOL_H

#include "catkingrade/decide/traffic_state.h"

void pool_init(struct traffic *traffic);
void pool_free(struct traffic *traffic);
struct conn *pool_find(struct traffic *traffic, uint32_t id);
bool pool_can_open(const struct traffic *traffic, uint32_t upstream);
void pool_open(struct traffic *traffic, uint32_t upstream);
struct conn *pool_acquire_idle(struct traffic *traffic, uint32_t upstream,
                               uint64_t session, bool needs_proof);
void pool_pin(struct traffic *traffic, struct conn *conn,
              struct session *session);
void pool_release(struct traffic *traffic, struct conn *conn);
void pool_close(struct traffic *traffic, struct conn *conn,
                enum traffic_close_reason reason);
void pool_release_slot(struct traffic *traffic, uint32_t upstream, bool read);
void pool_remove(struct traffic *traffic, struct conn *conn);
void pool_refuse_pinned(struct traffic *traffic, struct conn *conn);
void pool_check_same_age(struct traffic *traffic, uint32_t upstream,
                         int64_t opened_us);
void pool_handle_opened(struct traffic *traffic,
                        const struct traffic_conn_event *event);
void pool_handle_ready(struct traffic *traffic,
                       const struct traffic_conn_event *event);
void pool_handle_timer(struct traffic *traffic, uint32_t id);
void pool_enforce_limits(struct traffic *traffic);
void pool_maintain(struct traffic *traffic);

#endif
