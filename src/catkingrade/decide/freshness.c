#include "catkingrade/decide/freshness.h"

#include <string.h>

// Drops every second sample of the older half, which halves its resolution
// and keeps its reach.
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

// Adds a sample of the primary: at some moment after asked_at_us it stood at
// lsn. Samples that are older than the last one are dropped.
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

// Forgets samples above base_lsn: a new term begins there, and what an older
// primary wrote beyond it is not part of the database any more.
void
freshness_truncate(struct freshness *freshness, uint64_t base_lsn)
{
    while (freshness->samples_count > 0 &&
           freshness->samples[freshness->samples_count - 1].lsn > base_lsn) {
        freshness->samples_count--;
    }
}

// Returns the last moment at which the primary was seen at or below lsn: an
// upstream at lsn has all that was committed before it. Returns
// FRESHNESS_UNKNOWN when lsn is older than the history.
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

// Returns the oldest sample that was asked for at since_us or later: what was
// committed before since_us lies at or below it. NULL when there is none.
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
