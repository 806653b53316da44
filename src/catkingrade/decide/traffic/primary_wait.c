#include "catkingrade/decide/traffic/primary_wait.h"

// Expected duration of a change before one has been seen.
#define PRIMARY_WAIT_INITIAL_US INT64_C(800000)
// A change that takes longer than expected is expected to take this fraction
// (1/2) of the time passed longer.
#define PRIMARY_WAIT_OVERDUE_DIVISOR 2
// Weight (1/2) of the last change in the expectation.
#define PRIMARY_WAIT_AVERAGE_DIVISOR 2

// Begins a change of primary. Does nothing while one is in progress.
void
primary_wait_begin(struct primary_wait *wait, int64_t now_us)
{
    if (wait->since_us == 0) {
        wait->since_us = now_us;
    }
}

// Ends a change of primary: there is a primary again.
void
primary_wait_end(struct primary_wait *wait, int64_t now_us)
{
    int64_t took_us = now_us - wait->since_us;

    if (wait->since_us == 0) {
        return;
    }
    wait->since_us = 0;
    wait->expected_us =
        wait->expected_us == 0
            ? took_us
            : wait->expected_us +
                  (took_us - wait->expected_us) / PRIMARY_WAIT_AVERAGE_DIVISOR;
}

// Ends the wait without a result, as when this entry has lost its lease.
void
primary_wait_cancel(struct primary_wait *wait)
{
    wait->since_us = 0;
}

// Returns how much longer the change in progress is expected to take.
int64_t
primary_wait_get_remaining_us(const struct primary_wait *wait, int64_t now_us)
{
    int64_t expected_us =
        wait->expected_us == 0 ? PRIMARY_WAIT_INITIAL_US : wait->expected_us;
    int64_t passed_us = now_us - wait->since_us;

    return passed_us < expected_us ? expected_us - passed_us
                                   : passed_us / PRIMARY_WAIT_OVERDUE_DIVISOR;
}
