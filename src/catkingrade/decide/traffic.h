#ifndef CATKINGRADE_DECIDE_TRAFFIC_H
#define CATKINGRADE_DECIDE_TRAFFIC_H

#include "catkingrade/decide/traffic_defs.h"

struct traffic;

// Times in microseconds and other fixed parameters of the machine.
struct traffic_params {
    int64_t probe_us;
    int64_t suspect_us;
    int64_t idle_proof_us;
    int64_t connect_timeout_us;
    // Upstreams check the positions that they are asked for, and tell theirs
    // with each answer, so that nothing is sampled.
    bool guarded;
    // Limits of time are looked at no finer than this, so that many end with
    // one wake-up; 0: exactly.
    int64_t timer_grain_us;
    uint64_t seed; // of the pseudo-random choices
};

struct traffic *traffic_create(const struct traffic_params *params);
void traffic_destroy(struct traffic *traffic);
void traffic_step(struct traffic *traffic, int64_t now_us,
                  const struct traffic_event *event,
                  struct traffic_actions *actions);
uint32_t traffic_get_upstream_id(const struct traffic *traffic,
                                 const char *name);
const struct ck_upstream *traffic_get_upstream(const struct traffic *traffic,
                                               uint32_t upstream);
size_t traffic_fill_demands(struct traffic *traffic, struct ck_demand *demands,
                            size_t max_count);
void traffic_actions_free(struct traffic_actions *actions);

#endif
