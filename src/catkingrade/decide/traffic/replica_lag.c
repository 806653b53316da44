#include "catkingrade/decide/traffic/replica_lag.h"

#define REPLICA_LAG_INITIAL_US INT64_C(100000) // before the first answer
#define REPLICA_LAG_STEP_US    INT64_C(20000)  // added to a too low estimate
// A new measurement has the weight 1 / divisor in the moving average. The
// average falls fast, so that a replica that has caught up is used again soon.
// It rises slowly, so that one slow answer does not keep reads away.
#define REPLICA_LAG_FALL_DIVISOR 2
#define REPLICA_LAG_RISE_DIVISOR 8
// A replica whose estimated lag is too high is tried again when there has been
// no measurement or attempt for this long.
#define REPLICA_LAG_RETRY_US INT64_C(400000)

static int64_t
replica_lag_get(const struct replica_lag *lag)
{
    return lag->updated_us == 0 ? REPLICA_LAG_INITIAL_US : lag->lag_us;
}

// Records a lag that was measured from an answer.
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

// Records that a replica had reached a position which was age_us old: its lag
// is at most age_us.
void
replica_lag_record_reached(struct replica_lag *lag, int64_t now_us,
                           int64_t age_us)
{
    if (replica_lag_get(lag) > age_us) {
        lag->lag_us = age_us;
    }
    lag->updated_us = now_us;
    lag->behind_since_us = 0;
}

// Records that a replica had not reached a position which was age_us old: its
// lag is higher than age_us.
void
replica_lag_record_behind(struct replica_lag *lag, int64_t now_us,
                          int64_t age_us)
{
    int64_t min_us = age_us + age_us / 2 + REPLICA_LAG_STEP_US;

    if (replica_lag_get(lag) < min_us) {
        lag->lag_us = min_us;
    }
    lag->updated_us = now_us;
    if (lag->behind_since_us == 0) {
        lag->behind_since_us = now_us;
    }
}

// Returns whether to send the replica a read that needs a position which is
// age_us old.
bool
replica_lag_allows(const struct replica_lag *lag, int64_t now_us,
                   int64_t age_us)
{
    return replica_lag_get(lag) <= age_us ||
           now_us - lag->updated_us >= REPLICA_LAG_RETRY_US;
}

// Records that a read is sent to the replica. When the estimated lag is too
// high for the read, this lets one read try the replica instead of all reads
// at once.
void
replica_lag_record_attempt(struct replica_lag *lag, int64_t now_us,
                           int64_t age_us)
{
    if (replica_lag_get(lag) > age_us) {
        lag->lag_us = replica_lag_get(lag);
        lag->updated_us = now_us;
    }
}
