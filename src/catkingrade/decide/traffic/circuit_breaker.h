#ifndef CATKINGRADE_DECIDE_CIRCUIT_BREAKER_H
#define CATKINGRADE_DECIDE_CIRCUIT_BREAKER_H

#include <stdbool.h>
#include <stdint.h>

// Circuit breaker for an upstream that still answers but fails most of the
// statements it runs. It guards against a replica that fails all reads while
// it reports itself healthy: while the breaker is open, reads go to another
// upstream. After an open period the upstream gets reads again; a few failures
// reopen the breaker.
struct circuit_breaker {
    double failure_rate;   // moving average of the share of failed statements
    int64_t open_until_us; // 0: never opened
    int64_t open_duration_us; // last open period; 0: none since recovery
};

void circuit_breaker_record_result(struct circuit_breaker *circuit_breaker,
                                   int64_t now_us, bool failed);
bool circuit_breaker_is_open(const struct circuit_breaker *circuit_breaker,
                             int64_t now_us);

#endif
