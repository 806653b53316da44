#ifndef CATKINGRADE_DECIDE_SCHEDULER_H
#define CATKINGRADE_DECIDE_SCHEDULER_H

#include "catkingrade/decide/scheduler_defs.h"

struct scheduler;

// Times in microseconds and other fixed parameters of the machine.
struct scheduler_params {
    int64_t probe_us;
    int64_t suspect_us;
    int64_t idle_proof_us;
    int64_t connect_timeout_us;
    // Upstreams check the positions that they are asked for, and tell theirs
    // with each answer, so that nothing is sampled.
    bool guarded;
    // Limits of time are looked at no finer than this, so that many end with
    // one wake-up; 0: exactly.
    int64_t timer_granularity_us;
    uint64_t seed; // of the pseudo-random choices
};

struct scheduler *scheduler_create(const struct scheduler_params *params);
void scheduler_destroy(struct scheduler *scheduler);
void scheduler_step(struct scheduler *scheduler, int64_t now_us,
                    const struct scheduler_event *event,
                    struct scheduler_actions *actions);
uint32_t scheduler_get_upstream_id(const struct scheduler *scheduler,
                                   const char *name);
const struct ck_upstream *
scheduler_get_upstream(const struct scheduler *scheduler, uint32_t upstream);
size_t scheduler_fill_demands(struct scheduler *scheduler,
                              struct ck_demand *demands, size_t max_count);
void scheduler_actions_free(struct scheduler_actions *actions);

#endif
