#include "catkingrade/decide/replica_lag.h"

#define REPLICA_LAG_INITIAL_US INT64_C(100000) // before the first answer
#define REPLICA_LAG_STEP_US    INT64_C(20000)  // added when it was too short
// Parts of a new measurement in the average: a replica that has caught up is
// used again soon, one slow answer does not keep reads away from it.
#define REPLICA_LAG_FALL_DIVISOR 2
#define REPLICA_LAG_RISE_DIVISOR 8
// A replica that is believed to be too far behind is tried again after so
// long without news of it.
#define REPLICA_LAG_RETRY_US INT64_C(400000)

static int64_t
replica_lag_get(const struct replica_lag *lag)
{
    return lag->updated_us == 0 ? REPLICA_LAG_INITIAL_US : lag->lag_us;
}

// Takes a lag that an answer has shown.
void
replica_lag_record(struct replica_lag *lag, int64_t now_us,
                   int64_t measured_us)
{
    int64_t old_us = replica_lag_get(lag);

    if (measured_us < 0) {
        measured_us = 0;
    }
    lag->lag_us =
        old_us + (measured_us - old_us) / (measured_us < old_us
                                               ? REPLICA_LAG_FALL_DIVISOR
                                               : REPLICA_LAG_RISE_DIVISOR);
    lag->updated_us = now_us;
}

// Takes the news that a replica had a position which had come to be age_us
// before: it is not further behind than that.
void
replica_lag_record_reached(struct replica_lag *lag, int64_t now_us,
                           int64_t age_us)
{
    if (replica_lag_get(lag) > age_us) {
        lag->lag_us = age_us;
    }
    lag->updated_us = now_us;
}

// Takes the news that a replica lacked a position which had come to be age_us
// before.
void
replica_lag_record_behind(struct replica_lag *lag, int64_t now_us,
                          int64_t age_us)
{
    int64_t least_us = age_us + age_us / 2 + REPLICA_LAG_STEP_US;

    if (replica_lag_get(lag) < least_us) {
        lag->lag_us = least_us;
    }
    lag->updated_us = now_us;
}

// Returns whether the replica is worth asking for a position that came to be
// age_us ago.
bool
replica_lag_allows(const struct replica_lag *lag, int64_t now_us,
                   int64_t age_us)
{
    return replica_lag_get(lag) <= age_us ||
           now_us - lag->updated_us >= REPLICA_LAG_RETRY_US;
}

// Notes that the replica is asked, so that one which is believed to be too far
// behind is tried once and not by all.
void
replica_lag_record_attempt(struct replica_lag *lag, int64_t now_us,
                           int64_t age_us)
{
    if (replica_lag_get(lag) > age_us) {
        lag->lag_us = replica_lag_get(lag);
        lag->updated_us = now_us;
    }
}
