#ifndef TEST_FAKE_TRAFFIC_RIG_H
#define TEST_FAKE_TRAFFIC_RIG_H

#include "catkingrade/decide/scheduler.h"

#define RIG_UPSTREAMS_MAX 1024
#define RIG_TYPES_MAX     8
#define RIG_MS_US         INT64_C(1000)

// A scheduler with a view of its own, stepped by hand: the actions of
// the last step are kept for the test to look at.
struct rig {
    struct scheduler *scheduler;
    struct scheduler_actions actions;
    int64_t now_us;
    struct ck_customer customer;
    struct ck_database database;
    struct ck_upstream upstreams[RIG_UPSTREAMS_MAX];
    struct ck_request_type types[RIG_TYPES_MAX];
    struct ck_quota quotas[RIG_UPSTREAMS_MAX];
    char names[RIG_UPSTREAMS_MAX][16];
    uint64_t next_request;
};

// Upstreams "u0" (the primary), "u1", ... with 5 slots and 30 connections.
void rig_init(struct rig *rig, uint32_t upstreams_count);
// The same with upstreams that check positions and are not sampled.
void rig_init_guarded(struct rig *rig, uint32_t upstreams_count);
// As rig_init with a view, all upstreams at 100, and session 1, declared new,
// with its connections open.
void rig_start(struct rig *rig, uint32_t upstreams_count);
void rig_free(struct rig *rig);
void rig_step(struct rig *rig, const struct scheduler_event *event);
void rig_post_view(struct rig *rig);
void rig_post_lease(struct rig *rig, uint64_t term, int64_t valid_until_us);
void rig_revoke(struct rig *rig, uint64_t term);
void rig_tick(struct rig *rig, int64_t after_us);
void rig_open_session(struct rig *rig, uint64_t session,
                      const struct scheduler_floor *floor);
// Returns the new request's id; a max_age_us of -1 is the type's.
uint64_t rig_request(struct rig *rig, uint64_t session,
                     enum scheduler_class request_class, int64_t max_age_us);
uint64_t rig_request_typed(struct rig *rig, uint64_t session,
                           enum scheduler_class request_class,
                           const char *type, int64_t deadline_us);
// A request that waits for a slot no longer than queue_timeout_us.
uint64_t rig_request_patient(struct rig *rig, uint64_t session,
                             int64_t queue_timeout_us, int64_t deadline_us);
void rig_result(struct rig *rig, uint64_t request, uint32_t conn,
                enum scheduler_result result, bool in_transaction,
                uint64_t lsn);
void rig_sample(struct rig *rig, uint32_t upstream, uint64_t lsn);
void rig_conn(struct rig *rig, enum scheduler_event_kind kind, uint32_t conn);
// Answers each OPEN and PROVE of the last step, and of those that follow.
void rig_open_all(struct rig *rig);
// Returns an action of the last step, or NULL; request 0 matches any.
const struct scheduler_action *rig_find(const struct rig *rig,
                                        enum scheduler_action_kind kind,
                                        uint64_t request);
size_t rig_count(const struct rig *rig, enum scheduler_action_kind kind);

#endif
