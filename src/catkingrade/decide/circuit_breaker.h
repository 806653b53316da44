#ifndef CATKINGRADE_DECIDE_CIRCUIT_BREAKER_H
#define CATKINGRADE_DECIDE_CIRCUIT_BREAKER_H

#include <stdbool.h>
#include <stdint.h>

// Whether an upstream that answers fails most of what it runs. It answers the
// load at which one replica of several fails all reads and calls itself
// healthy: reads then leave it alone, but for a few from time to time.
struct circuit_breaker {
    double rate;              // part of the last statements that failed
    int64_t open_until_us;    // 0: never avoided
    int64_t open_duration_us; // the last time that it was avoided for
};

void circuit_breaker_record_result(struct circuit_breaker *circuit_breaker,
                                   int64_t now_us, bool failed);
bool circuit_breaker_is_open(const struct circuit_breaker *circuit_breaker,
                             int64_t now_us);

#endif
