#include "catkingrade/decide/traffic/freshness.h"

#include <string.h>

// Drops every second sample of the older half. This halves the resolution of
// that half and keeps the span of the history.
static void
freshness_thin(struct freshness *freshness)
{
    size_t half = freshness->samples_count / 2;
    size_t kept = 0;

    for (size_t i = 0; i < freshness->samples_count; i++) {
        if (i >= half || i % 2 == 0) {
            freshness->samples[kept++] = freshness->samples[i];
        }
    }
    freshness->samples_count = kept;
}

// Adds a sample of the primary: at some time after asked_at_us its log
// position was lsn. A sample that is older than the last one, or has a lower
// position, is dropped.
void
freshness_add(struct freshness *freshness, int64_t asked_at_us, uint64_t lsn)
{
    struct freshness_sample *last = NULL;

    if (freshness->samples_count > 0) {
        last = &freshness->samples[freshness->samples_count - 1];
        if (asked_at_us <= last->asked_at_us || lsn < last->lsn) {
            return;
        }
        if (lsn == last->lsn) {
            last->asked_at_us = asked_at_us;
            return;
        }
    }
    if (freshness->samples_count == FRESHNESS_SAMPLES_MAX) {
        freshness_thin(freshness);
    }
    freshness->samples[freshness->samples_count++] =
        (struct freshness_sample){asked_at_us, lsn};
}

// Drops samples above base_lsn, where a new term begins: what the primary of
// an older term wrote beyond it is no longer part of the database.
void
freshness_truncate(struct freshness *freshness, uint64_t base_lsn)
{
    while (freshness->samples_count > 0 &&
           freshness->samples[freshness->samples_count - 1].lsn > base_lsn) {
        freshness->samples_count--;
    }
}

// Returns the last time at which the primary was known to be at or below lsn.
// An upstream at lsn has everything that was committed before that time.
// Returns FRESHNESS_UNKNOWN if lsn is older than the history.
int64_t
freshness_find_us(const struct freshness *freshness, uint64_t lsn)
{
    size_t low = 0;
    size_t high = freshness->samples_count;

    while (low < high) {
        size_t middle = low + (high - low) / 2;
        if (freshness->samples[middle].lsn <= lsn) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low == 0 ? FRESHNESS_UNKNOWN
                    : freshness->samples[low - 1].asked_at_us;
}

// Returns the oldest sample that was requested at since_us or later, or NULL
// if there is none. Everything that was committed before since_us is at or
// below the position of this sample.
const struct freshness_sample *
freshness_find_since(const struct freshness *freshness, int64_t since_us)
{
    for (size_t i = 0; i < freshness->samples_count; i++) {
        if (freshness->samples[i].asked_at_us >= since_us) {
            return &freshness->samples[i];
        }
    }
    return NULL;
}
