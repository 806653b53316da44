#include "catkingrade/decide/traffic/circuit_breaker.h"

// A new statement has the weight 1 / divisor in the moving average of
// failures.
#define CIRCUIT_BREAKER_RATE_DIVISOR   8
#define CIRCUIT_BREAKER_OPEN_RATE      0.5
#define CIRCUIT_BREAKER_RECOVERED_RATE 0.1
// Failure rate set when the breaker opens. After the open period, a few more
// failures are enough to open it again.
#define CIRCUIT_BREAKER_HALF_OPEN_RATE 0.4
#define CIRCUIT_BREAKER_OPEN_MIN_US    1000000
#define CIRCUIT_BREAKER_OPEN_MAX_US    8000000

// Records the result of a statement that the upstream has run. Opens the
// breaker when the failure rate exceeds CIRCUIT_BREAKER_OPEN_RATE. The open
// period doubles each time, up to CIRCUIT_BREAKER_OPEN_MAX_US. It starts from
// the minimum again once a statement has succeeded and the failure rate is
// below CIRCUIT_BREAKER_RECOVERED_RATE.
void
circuit_breaker_record_result(struct circuit_breaker *circuit_breaker,
                              int64_t now_us, bool failed)
{
    circuit_breaker->failure_rate +=
        ((failed ? 1.0 : 0.0) - circuit_breaker->failure_rate) /
        CIRCUIT_BREAKER_RATE_DIVISOR;
    if (!failed &&
        circuit_breaker->failure_rate < CIRCUIT_BREAKER_RECOVERED_RATE) {
        circuit_breaker->open_duration_us = 0;
    }
    if (!failed ||
        circuit_breaker->failure_rate <= CIRCUIT_BREAKER_OPEN_RATE) {
        return;
    }
    circuit_breaker->failure_rate = CIRCUIT_BREAKER_HALF_OPEN_RATE;
    circuit_breaker->open_duration_us =
        circuit_breaker->open_duration_us == 0
            ? CIRCUIT_BREAKER_OPEN_MIN_US
            : 2 * circuit_breaker->open_duration_us;
    if (circuit_breaker->open_duration_us > CIRCUIT_BREAKER_OPEN_MAX_US) {
        circuit_breaker->open_duration_us = CIRCUIT_BREAKER_OPEN_MAX_US;
    }
    circuit_breaker->open_until_us =
        now_us + circuit_breaker->open_duration_us;
}

// Returns whether statements should go to another upstream if they can.
bool
circuit_breaker_is_open(const struct circuit_breaker *circuit_breaker,
                        int64_t now_us)
{
    return now_us < circuit_breaker->open_until_us;
}
