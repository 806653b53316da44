#ifndef CATKINGRADE_DECIDE_FAILING_H
#define CATKINGRADE_DECIDE_FAILING_H

#include <stdbool.h>
#include <stdint.h>

// Whether an upstream that answers fails most of what it runs. It answers the
// load at which one replica of several fails all reads and calls itself
// healthy: reads then leave it alone, but for a few from time to time.
struct failing {
    double rate;            // part of the last statements that failed
    int64_t avoid_until_us; // 0: never avoided
    int64_t avoid_us;       // the last time that it was avoided for
};

void failing_note(struct failing *failing, int64_t now_us, bool failed);
bool failing_is_avoided(const struct failing *failing, int64_t now_us);

#endif
