#ifndef TEST_FAKE_SCHEDULER_RIG_H
#define TEST_FAKE_SCHEDULER_RIG_H

#include "catkingrade/decide/traffic/scheduler.h"

#define SCHEDULER_RIG_MAX_UPSTREAMS 1024
#define SCHEDULER_RIG_MAX_TYPES     8
#define SCHEDULER_RIG_MS_US         INT64_C(1000)

// Test rig for the scheduler: one scheduler with a view and a clock that the
// test controls. Each function that posts an event runs one step of the
// scheduler at now_us. The actions of the last step stay in `actions` for
// inspection.

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

// Creates the scheduler and fills the view without posting it. The upstreams
// are "u0" (the primary), "u1", ... with 5 slots and 30 connections each.
void scheduler_rig_init(struct scheduler_rig *rig, uint32_t upstreams_count);
// The same, with upstreams that check the required position of reads
// themselves and are not sampled (`guarded` of struct scheduler_params).
void scheduler_rig_init_guarded(struct scheduler_rig *rig,
                                uint32_t upstreams_count);
// As scheduler_rig_init_guarded(), with `learned_capacity` of struct
// scheduler_params and a seed.
void scheduler_rig_init_learned(struct scheduler_rig *rig,
                                uint32_t upstreams_count,
                                bool learned_capacity, uint64_t seed);
// As scheduler_rig_init(), then posts the view and a sample at LSN 100 for
// each upstream, opens session 1, declared new, and completes the opening of
// its connections.
void scheduler_rig_start(struct scheduler_rig *rig, uint32_t upstreams_count);
void scheduler_rig_free(struct scheduler_rig *rig);
// Runs one step. Its actions replace those of the previous step.
void scheduler_rig_step(struct scheduler_rig *rig,
                        const struct scheduler_event *event);
// Posts the rig's view, with quotas if the first one has an upstream's name.
void scheduler_rig_post_view(struct scheduler_rig *rig);
void scheduler_rig_post_lease(struct scheduler_rig *rig, uint64_t term,
                              int64_t valid_until_us);
void scheduler_rig_revoke_lease(struct scheduler_rig *rig, uint64_t term);
// Advances the clock by after_us and posts a timer tick.
void scheduler_rig_tick(struct scheduler_rig *rig, int64_t after_us);
// Opens a session with a floor. NULL: the session is declared new.
void scheduler_rig_open_session(struct scheduler_rig *rig, uint64_t session,
                                const struct scheduler_floor *floor);
// Posts a request and returns its id. max_age_us is the accepted age of the
// data that is read; -1: the default of the request type.
uint64_t scheduler_rig_post_request(struct scheduler_rig *rig,
                                    uint64_t session,
                                    enum scheduler_class request_class,
                                    int64_t max_age_us);
// The same for a request of a named request type with a deadline.
uint64_t scheduler_rig_post_typed_request(struct scheduler_rig *rig,
                                          uint64_t session,
                                          enum scheduler_class request_class,
                                          const char *type,
                                          int64_t deadline_us);
// Posts a read that waits for a slot no longer than queue_timeout_us.
uint64_t scheduler_rig_post_timed_read(struct scheduler_rig *rig,
                                       uint64_t session,
                                       int64_t queue_timeout_us,
                                       int64_t deadline_us);
// Posts the result of a request at position lsn of the current timeline.
void scheduler_rig_post_result(struct scheduler_rig *rig, uint64_t request,
                               uint32_t conn, enum scheduler_result result,
                               bool in_transaction, uint64_t lsn);
// Posts an upstream's position sample, taken now.
void scheduler_rig_post_sample(struct scheduler_rig *rig, uint32_t upstream,
                               uint64_t lsn);
void scheduler_rig_post_conn_event(struct scheduler_rig *rig,
                                   enum scheduler_event_kind kind,
                                   uint32_t conn);
// Reports success for each OPEN, RESET and VALIDATE action of the last step
// and of the steps that these reports cause. Their actions are appended.
void scheduler_rig_complete_opens(struct scheduler_rig *rig);
// Returns the first action of a kind in the last step, or NULL. request 0
// matches any request.
const struct scheduler_action *
scheduler_rig_find_action(const struct scheduler_rig *rig,
                          enum scheduler_action_kind kind, uint64_t request);
size_t scheduler_rig_count_actions(const struct scheduler_rig *rig,
                                   enum scheduler_action_kind kind);

#endif
