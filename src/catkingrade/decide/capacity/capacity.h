#ifndef CATKINGRADE_DECIDE_CAPACITY_H
#define CATKINGRADE_DECIDE_CAPACITY_H

#include <stdbool.h>
#include <stdint.h>

// Estimator of the capacity of one upstream as one entry sees it: the latency
// of each kind of statement without load, how far the present latency is above
// it, the number of concurrent statements above which latency grows, and
// whether the upstream is slow. Each entry learns from its own statements
// only. docs/design/upstream-capacity.md describes the choice.

// Kind of a statement. The latencies of different kinds are not compared.
enum capacity_kind {
    CAPACITY_KIND_READ,
    CAPACITY_KIND_WRITE,
    CAPACITY_KIND_COMMIT,
    CAPACITY_KIND_COUNT,
};

// Latencies are natural logarithms of microseconds: service times are skewed,
// and a single long one weighs little in the mean of the logarithms.
// Zero-initialised is valid: nothing is known yet.
struct capacity {
    double base[CAPACITY_KIND_COUNT]; // mean with little load
    uint32_t samples[CAPACITY_KIND_COUNT];
    double share[CAPACITY_KIND_COUNT]; // of the answers at low concurrency
    double excess;     // moving average of the latency above base
    double recent;     // the same over fewer answers, for routing
    double low_excess; // the same for answers at low concurrency
    double variance;   // of the latency around base
    double limit;      // concurrent statements; 0: nothing is known yet
    double knee;       // recent maximum of limit
    bool grown;        // the limit has met a growing latency
    uint32_t answers_since_dip;
    uint32_t dip_answers; // answers left with a reduced limit; 0: no dip
    double evidence;      // for a change of state: towards slow, or from it
    bool slow;
    int64_t slow_since_us;
    int64_t trial_at_us; // slow: earliest time of the next trial read
    int64_t answered_us; // time of the last answer
};

void capacity_record_answer(struct capacity *capacity, int64_t now_us,
                            enum capacity_kind kind, int64_t took_us,
                            uint32_t running, uint32_t max_limit,
                            uint8_t overdue);
uint8_t capacity_get_overdue(const struct capacity *capacity,
                             enum capacity_kind kind, int64_t age_us);
void capacity_record_overdue(struct capacity *capacity, int64_t now_us,
                             uint8_t before, uint8_t after);
void capacity_record_trial(struct capacity *capacity, int64_t now_us,
                           uint64_t *random);
bool capacity_is_known(const struct capacity *capacity,
                       enum capacity_kind kind);
bool capacity_is_slow(const struct capacity *capacity);
bool capacity_is_loaded(const struct capacity *capacity, int64_t now_us);
bool capacity_may_try(const struct capacity *capacity, int64_t now_us,
                      uint32_t running);
uint32_t capacity_get_limit(const struct capacity *capacity, uint32_t max);
int64_t capacity_get_latency_us(const struct capacity *capacity,
                                int64_t now_us, enum capacity_kind kind);
int64_t capacity_get_usual_latency_us(const struct capacity *capacity,
                                      enum capacity_kind kind);
int64_t capacity_get_completion_us(const struct capacity *capacity,
                                   int64_t now_us, enum capacity_kind kind,
                                   uint32_t running, uint32_t max_limit);

#endif
