#ifndef CATKINGRADE_DECIDE_SCHEDULER_H
#define CATKINGRADE_DECIDE_SCHEDULER_H

#include "catkingrade/decide/traffic/scheduler_defs.h"

// Main header of decide/traffic, which decides on the requests of callers.
//
// Request scheduler of one database in an entry: a deterministic state machine
// without I/O. It holds the database's sessions, queues their requests, routes
// each request to the primary or a replica, manages the connection pools,
// retries, and acknowledges commits once they are confirmed.
//
// The adapter passes each event (a request, an answer, a timer tick, a new
// view) to scheduler_step() with the time of a monotonic clock, and then
// executes the actions that the step returns. The same events, times and seed
// give the same actions.

struct scheduler;

// Fixed parameters. Times are in microseconds.
struct scheduler_params {
    int64_t probe_us;   // interval of position samples
    int64_t suspect_us; // time without an answer that raises a suspicion
    int64_t
        idle_proof_us; // idle time after which a validation is due; see pool.h
    int64_t connect_timeout_us; // also the limit of resets and validations
    // A leaving primary takes requests for this time after this entry has
    // learnt that it leaves.
    int64_t leaving_limit_us;
    int64_t lease_us; // duration of the entry's lease when it is renewed
    // Upstreams refuse reads for which they lack the required position, and
    // report their position with each answer. Positions are not sampled.
    bool guarded;
    // The latency of statements decides on the choice of replicas and on the
    // number of concurrent statements at each upstream.
    bool learned_capacity;
    // Deadlines and timeouts are rounded up to a multiple of this, so that one
    // wake-up serves many of them; 0: not rounded.
    int64_t timer_granularity_us;
    uint64_t seed; // of the pseudo-random generator
};

struct scheduler *scheduler_create(const struct scheduler_params *params);
void scheduler_destroy(struct scheduler *scheduler);
void scheduler_step(struct scheduler *scheduler, int64_t now_us,
                    const struct scheduler_event *event,
                    struct scheduler_actions *actions);
uint32_t scheduler_get_upstream_id(const struct scheduler *scheduler,
                                   const char *name);
const char *scheduler_get_upstream_name(const struct scheduler *scheduler,
                                        uint32_t upstream);
const struct ck_upstream *
scheduler_get_upstream(const struct scheduler *scheduler, uint32_t upstream);
size_t scheduler_fill_demands(struct scheduler *scheduler,
                              struct ck_demand *demands, size_t max_count);
void scheduler_actions_free(struct scheduler_actions *actions);

#endif
