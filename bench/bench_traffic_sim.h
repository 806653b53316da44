#ifndef BENCH_BENCH_TRAFFIC_SIM_H
#define BENCH_BENCH_TRAFFIC_SIM_H

#include "catkingrade/decide/traffic/scheduler.h"

// Discrete-event simulation of entries that send requests to one primary and
// two replicas, on a virtual clock with network delay, service times and
// replication lag. Each entry runs a real request scheduler.

#define SIM_UPSTREAMS_MAX 3
#define SIM_ENTRIES_MAX   7
#define SIM_TYPES_MAX     3
#define SIM_MS_US         INT64_C(1000)
#define SIM_SECOND_US     INT64_C(1000000)

// Policy that routes reads to upstreams: the scheduler, or a baseline that
// only waits for a free slot and ignores the age of the data and session
// floors.
enum sim_policy { SIM_SCHEDULER, SIM_ROUND_ROBIN, SIM_PRIMARY_ONLY };

struct sim_type {
    const char *name;
    uint32_t weight;
    int64_t deadline_us;
    uint32_t queue_limit;
    double rate; // requests per second, over all entries
    bool write;
};

struct sim_params {
    enum sim_policy policy;
    uint32_t entries_count;
    uint32_t slots; // concurrent statements of each upstream
    int64_t duration_us;
    int64_t max_age_us;
    int64_t service_us;     // mean service time of a statement
    int64_t lag_us;         // replication lag
    int64_t spike_us;       // duration of a pause of a replica's replay
    int64_t spike_every_us; // interval of these pauses; 0: no pauses
    struct sim_type types[SIM_TYPES_MAX];
    size_t types_count;
    bool no_admission; // queue length and deadlines are not limited
    uint64_t seed;
};

// Outcomes of the requests of one type.
struct sim_type_result {
    uint64_t sent;
    uint64_t in_time; // answered before the deadline
    uint64_t late;    // answered after the deadline
    uint64_t refused;
    uint64_t unknown;
    int64_t p99_us; // latency of the answered requests
};

struct sim_result {
    struct sim_type_result types[SIM_TYPES_MAX];
    uint64_t reads;
    uint64_t reads_replica;
    uint64_t eligible; // reads that a replica could serve on arrival
    uint64_t eligible_replica;
    // Reads whose data was below the session floor or older than max_age_us.
    uint64_t violations;
};

void sim_run(const struct sim_params *params, struct sim_result *result);

#endif
