#ifndef CATKINGRADE_SOAK_CHECKS_H
#define CATKINGRADE_SOAK_CHECKS_H

#include <stdint.h>

// Checks of requests around planned work: none ends without an answer, and
// none reaches an upstream too late after it announced that it leaves. The
// bounds are those of the users' rules LOST and DRAIN.

// A request whose connection ended before its answer was complete.
struct checks_cut {
    int entry;
    int database;
    int64_t sent_us;
    int64_t closed_us;
    int64_t arrived_us; // last arrival of its id at an upstream; 0: none
    char line[96];
};

// Records such a request. Thread-safe.
void checks_record_cut(const struct checks_cut *cut);
// Records the violated checks. After the callers have been stopped.
void checks_run(void);
// Returns how many requests were cut, with and without a reason.
int checks_count_cuts(void);

#endif
