#ifndef BENCH_BENCH_TRAFFIC_SIM_H
#define BENCH_BENCH_TRAFFIC_SIM_H

#include "catkingrade/decide/scheduler.h"

#define SIM_UPSTREAMS_MAX 3
#define SIM_ENTRIES_MAX   7
#define SIM_TYPES_MAX     3
#define SIM_MS_US         INT64_C(1000)
#define SIM_SECOND_US     INT64_C(1000000)

// How a read finds its upstream: the scheduler, or a baseline that looks
// at nothing but free slots.
enum sim_policy { SIM_SCHEDULER, SIM_ROUND_ROBIN, SIM_PRIMARY_ONLY };

struct sim_type {
    const char *name;
    uint32_t weight;
    int64_t deadline_us;
    uint32_t queue_limit;
    double rate; // requests a second over all entries
    bool write;
};

struct sim_params {
    enum sim_policy policy;
    uint32_t entries_count;
    uint32_t slots; // of each upstream
    int64_t duration_us;
    int64_t max_age_us;
    int64_t service_us; // mean of a statement
    int64_t lag_us;
    int64_t spike_us;       // a replica's replay stops for this long
    int64_t spike_every_us; // 0: never
    struct sim_type types[SIM_TYPES_MAX];
    size_t types_count;
    bool no_admission; // unbounded queues and deadlines
    uint64_t seed;
};

// What became of the requests of one type.
struct sim_type_result {
    uint64_t sent;
    uint64_t in_time; // answered before the deadline
    uint64_t late;
    uint64_t refused;
    uint64_t unknown;
    int64_t p99_us; // of those answered
};

struct sim_result {
    struct sim_type_result types[SIM_TYPES_MAX];
    uint64_t reads;
    uint64_t reads_replica;
    uint64_t eligible; // a replica could have served it when it came
    uint64_t eligible_replica;
    uint64_t broken; // answered older than accepted, or below the floor
};

void sim_run(const struct sim_params *params, struct sim_result *result);

#endif
