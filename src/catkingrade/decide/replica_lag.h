#ifndef CATKINGRADE_DECIDE_REPLICA_LAG_H
#define CATKINGRADE_DECIDE_REPLICA_LAG_H

#include <stdbool.h>
#include <stdint.h>

// How far a replica is believed to be behind its primary, learnt from its
// answers. The replica itself refuses what it lacks, so the estimate decides
// only whether it is worth asking.
struct replica_lag {
    int64_t lag_us;
    int64_t updated_us; // last news or trial; 0: none
};

void replica_lag_record(struct replica_lag *lag, int64_t now_us,
                        int64_t measured_us);
void replica_lag_record_reached(struct replica_lag *lag, int64_t now_us,
                                int64_t age_us);
void replica_lag_record_behind(struct replica_lag *lag, int64_t now_us,
                               int64_t age_us);
bool replica_lag_allows(const struct replica_lag *lag, int64_t now_us,
                        int64_t age_us);
void replica_lag_record_attempt(struct replica_lag *lag, int64_t now_us,
                                int64_t age_us);

#endif
