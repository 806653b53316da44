#ifndef TEST_FAKE_SCHEDULER_RIG_H
#define TEST_FAKE_SCHEDULER_RIG_H

#include "catkingrade/decide/scheduler.h"

#define SCHEDULER_RIG_MAX_UPSTREAMS 1024
#define SCHEDULER_RIG_MAX_TYPES     8
#define SCHEDULER_RIG_MS_US         INT64_C(1000)

// A scheduler with a view of its own, stepped by hand: the actions of
// the last step are kept for the test to look at.
struct scheduler_rig {
    struct scheduler *scheduler;
    struct scheduler_actions actions;
    int64_t now_us;
    struct ck_customer customer;
    struct ck_database database;
    struct ck_upstream upstreams[SCHEDULER_RIG_MAX_UPSTREAMS];
    struct ck_request_type types[SCHEDULER_RIG_MAX_TYPES];
    struct ck_quota quotas[SCHEDULER_RIG_MAX_UPSTREAMS];
    char names[SCHEDULER_RIG_MAX_UPSTREAMS][16];
    uint64_t next_request;
};

// Upstreams "u0" (the primary), "u1", ... with 5 slots and 30 connections.
void scheduler_rig_init(struct scheduler_rig *rig, uint32_t upstreams_count);
// The same with upstreams that check positions and are not sampled.
void scheduler_rig_init_guarded(struct scheduler_rig *rig,
                                uint32_t upstreams_count);
// As scheduler_rig_init with a view, all upstreams at 100, and session 1,
// declared new, with its connections open.
void scheduler_rig_start(struct scheduler_rig *rig, uint32_t upstreams_count);
void scheduler_rig_free(struct scheduler_rig *rig);
void scheduler_rig_step(struct scheduler_rig *rig,
                        const struct scheduler_event *event);
void scheduler_rig_post_view(struct scheduler_rig *rig);
void scheduler_rig_post_lease(struct scheduler_rig *rig, uint64_t term,
                              int64_t valid_until_us);
void scheduler_rig_revoke_lease(struct scheduler_rig *rig, uint64_t term);
void scheduler_rig_tick(struct scheduler_rig *rig, int64_t after_us);
void scheduler_rig_open_session(struct scheduler_rig *rig, uint64_t session,
                                const struct scheduler_floor *floor);
// Returns the new request's id; a max_age_us of -1 is the type's.
uint64_t scheduler_rig_post_request(struct scheduler_rig *rig,
                                    uint64_t session,
                                    enum scheduler_class request_class,
                                    int64_t max_age_us);
uint64_t scheduler_rig_post_typed_request(struct scheduler_rig *rig,
                                          uint64_t session,
                                          enum scheduler_class request_class,
                                          const char *type,
                                          int64_t deadline_us);
// A request that waits for a slot no longer than queue_timeout_us.
uint64_t scheduler_rig_post_timed_read(struct scheduler_rig *rig,
                                       uint64_t session,
                                       int64_t queue_timeout_us,
                                       int64_t deadline_us);
void scheduler_rig_post_result(struct scheduler_rig *rig, uint64_t request,
                               uint32_t conn, enum scheduler_result result,
                               bool in_transaction, uint64_t lsn);
void scheduler_rig_post_sample(struct scheduler_rig *rig, uint32_t upstream,
                               uint64_t lsn);
void scheduler_rig_post_conn_event(struct scheduler_rig *rig,
                                   enum scheduler_event_kind kind,
                                   uint32_t conn);
// Answers each OPEN and PROVE of the last step, and of those that follow.
void scheduler_rig_complete_opens(struct scheduler_rig *rig);
// Returns an action of the last step, or NULL; request 0 matches any.
const struct scheduler_action *
scheduler_rig_find_action(const struct scheduler_rig *rig,
                          enum scheduler_action_kind kind, uint64_t request);
size_t scheduler_rig_count_actions(const struct scheduler_rig *rig,
                                   enum scheduler_action_kind kind);

#endif
