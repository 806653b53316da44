#ifndef CATKINGRADE_SOAK_SERIES_H
#define CATKINGRADE_SOAK_SERIES_H

#include <stdbool.h>
#include <stdint.h>

// Series of planned work that overlap with each other: stops of entries in
// turn, the next before the former is back; reloads in turn; and planned
// changes of primary in several databases at once. A series of freezes in turn
// is an unplanned fault.

enum series_kind {
    SERIES_STOPS,
    SERIES_RELOADS,
    SERIES_CHANGES,
    SERIES_FREEZES,
    SERIES_KINDS,
};

// Sets the seed, which determines the series.
void series_start(uint64_t seed);
// Does what is due. faults: whether freezes may begin.
void series_step(bool faults);
// Waits until all replacements of upstreams have ended.
void series_finish(void);
// Returns how often a step of a series was taken.
unsigned series_get_count(enum series_kind kind);

#endif
