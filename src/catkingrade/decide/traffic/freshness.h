#ifndef CATKINGRADE_DECIDE_FRESHNESS_H
#define CATKINGRADE_DECIDE_FRESHNESS_H

#include <stddef.h>
#include <stdint.h>

#define FRESHNESS_SAMPLES_MAX 128
#define FRESHNESS_UNKNOWN     (-1)

// A log position of the primary and the time at which it was requested.
struct freshness_sample {
    int64_t asked_at_us;
    uint64_t lsn;
};

// History of the primary's log position, oldest first; both fields increase.
// It bounds the age of a replica's data in time. When the history is full,
// older samples are thinned out, so that it still reaches far back.
struct freshness {
    struct freshness_sample samples[FRESHNESS_SAMPLES_MAX];
    size_t samples_count;
};

void freshness_add(struct freshness *freshness, int64_t asked_at_us,
                   uint64_t lsn);
void freshness_truncate(struct freshness *freshness, uint64_t base_lsn);
int64_t freshness_find_us(const struct freshness *freshness, uint64_t lsn);
const struct freshness_sample *
freshness_find_since(const struct freshness *freshness, int64_t since_us);

#endif
