#include "catkingrade/decide/circuit_breaker.h"

#define CIRCUIT_BREAKER_RATE_DIVISOR   8 // of a new statement in the rate
#define CIRCUIT_BREAKER_OPEN_RATE      0.5
#define CIRCUIT_BREAKER_RECOVERED_RATE 0.1
// After a pause a few failures are enough for the next.
#define CIRCUIT_BREAKER_HALF_OPEN_RATE 0.4
#define CIRCUIT_BREAKER_OPEN_MIN_US    1000000
#define CIRCUIT_BREAKER_OPEN_MAX_US    8000000

// Takes the end of a statement that the upstream has run.
void
circuit_breaker_record_result(struct circuit_breaker *circuit_breaker,
                              int64_t now_us, bool failed)
{
    circuit_breaker->rate += ((failed ? 1.0 : 0.0) - circuit_breaker->rate) /
                             CIRCUIT_BREAKER_RATE_DIVISOR;
    if (!failed && circuit_breaker->rate < CIRCUIT_BREAKER_RECOVERED_RATE) {
        circuit_breaker->open_duration_us = 0;
    }
    if (!failed || circuit_breaker->rate <= CIRCUIT_BREAKER_OPEN_RATE) {
        return;
    }
    circuit_breaker->rate = CIRCUIT_BREAKER_HALF_OPEN_RATE;
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

// Returns whether statements that may run elsewhere should.
bool
circuit_breaker_is_open(const struct circuit_breaker *circuit_breaker,
                        int64_t now_us)
{
    return now_us < circuit_breaker->open_until_us;
}
