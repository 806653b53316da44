#ifndef CATKINGRADE_DECIDE_REPLICA_LAG_H
#define CATKINGRADE_DECIDE_REPLICA_LAG_H

#include <stdbool.h>
#include <stdint.h>

// Estimate of a replica's lag behind its primary, updated from its answers.
// The replica itself rejects reads that need a position it has not reached, so
// the estimate only decides whether sending a read to it is worthwhile.
struct replica_lag {
    int64_t lag_us;
    int64_t updated_us;      // last measurement or attempt; 0: none
    int64_t behind_since_us; // has served no read since; 0: it serves reads
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
