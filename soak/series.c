#include "soak/series.h"

#include <unistd.h>

#include "catkingrade/decide/random.h"
#include "catkingrade/kernel/loop.h"
#include "soak/entries.h"
#include "soak/events.h"
#include "soak/faults.h"
#include "test/rig/platform_rig.h"

#define SERIES_MAX_TARGETS   RIG_ENTRIES
#define SERIES_STEP_US       20000
#define SERIES_MAX_PAUSE_US  3000000 // between two series of a kind
#define SERIES_MAX_DOWN_US   1000000
#define SERIES_MAX_FREEZE_US 2500000
// How much longer than drainMs a leaving upstream serves.
#define SERIES_MIN_EXTRA_US  500000
#define SERIES_MAX_EXTRA_US  3000000
#define SERIES_MAX_ABSENT_US 1500000

// Times between two steps of a series, by kind.
static const uint32_t series_min_gaps_us[SERIES_KINDS] = {
    [SERIES_STOPS] = 250000,
    [SERIES_RELOADS] = 20000,
    [SERIES_CHANGES] = 0,
    [SERIES_FREEZES] = 200000,
};
static const uint32_t series_max_gaps_us[SERIES_KINDS] = {
    [SERIES_STOPS] = 1500000,
    [SERIES_RELOADS] = 600000,
    [SERIES_CHANGES] = 700000,
    [SERIES_FREEZES] = 1200000,
};

struct series {
    int targets[SERIES_MAX_TARGETS]; // entries or databases, in turn
    int count;
    int next; // next target
    unsigned steps;
    int64_t due_us; // time of the next step, or of the next series
    int64_t gap_us;
};

static struct series series[SERIES_KINDS];
static uint64_t series_random;

static uint32_t
series_pick(uint32_t limit)
{
    return random_below(&series_random, limit);
}

void
series_start(uint64_t seed)
{
    series_random = seed;
    for (int kind = 0; kind < SERIES_KINDS; kind++) {
        series[kind].due_us =
            monotonic_get_us() + series_pick(SERIES_MAX_PAUSE_US);
    }
}

// Fills in all targets of a kind in random order.
static void
series_shuffle(struct series *item, int count)
{
    item->count = count;
    for (int i = 0; i < count; i++) {
        int other = (int)series_pick((uint32_t)i + 1);
        item->targets[i] = item->targets[other];
        item->targets[other] = i;
    }
}

// Begins a series. Stops and freezes leave out one or two entries.
static void
series_begin(enum series_kind kind)
{
    struct series *item = &series[kind];

    series_shuffle(item, kind == SERIES_CHANGES ? rig.databases_count
                                                : rig.entries_count);
    if (kind == SERIES_STOPS || kind == SERIES_FREEZES) {
        item->count -= 1 + (int)series_pick(2);
    }
    item->next = 0;
    item->gap_us =
        series_min_gaps_us[kind] +
        series_pick(series_max_gaps_us[kind] - series_min_gaps_us[kind]);
}

static void
series_replace(int id)
{
    uint32_t extra_us = SERIES_MIN_EXTRA_US +
                        series_pick(SERIES_MAX_EXTRA_US - SERIES_MIN_EXTRA_US);
    uint32_t absent_us = series_pick(SERIES_MAX_ABSENT_US);

    if (!faults_has_upstream(id) &&
        announcer_replace(rig.announcers[id], extra_us, absent_us)) {
        events_log("upstream i-%d: leaves", id);
        series[SERIES_CHANGES].steps++;
    }
}

// Lets a series of stops begin now, so that it overlaps with a change of
// primary, unless one is under way.
static void
series_begin_stops(void)
{
    struct series *item = &series[SERIES_STOPS];

    if (item->next == item->count) {
        item->due_us = monotonic_get_us();
    }
}

// Replaces the primary of a database and, in one of three cases, another
// upstream as well, unless a replacement is under way there.
static void
series_change(int database)
{
    int first = database * PLATFORM_UPSTREAMS;
    int primary = platform_get_primary(rig.platforms[database]);
    bool both = series_pick(3) == 0;

    for (int i = 0; i < PLATFORM_UPSTREAMS; i++) {
        if (announcer_is_replacing(rig.announcers[first + i])) {
            return;
        }
    }
    series_begin_stops();
    series_replace(first + primary);
    if (both) {
        series_replace(first + (primary + 1) % PLATFORM_UPSTREAMS);
    }
}

static void
series_act(enum series_kind kind, int target)
{
    if (kind == SERIES_CHANGES) {
        series_change(target);
        return;
    }
    if (kind == SERIES_RELOADS) {
        entries_reload(target);
    }
    else if (!entries_is_up(target)) {
        return;
    }
    else if (kind == SERIES_STOPS) {
        entries_stop(target, (int)series_pick(SERIES_MAX_DOWN_US));
    }
    else {
        entries_freeze(target, (int)series_pick(SERIES_MAX_FREEZE_US));
    }
    series[kind].steps++;
}

static void
series_step_kind(enum series_kind kind, bool faults)
{
    struct series *item = &series[kind];
    int64_t now_us = monotonic_get_us();

    if (now_us < item->due_us || (kind == SERIES_FREEZES && !faults)) {
        return;
    }
    if (item->next == item->count) {
        series_begin(kind);
    }
    series_act(kind, item->targets[item->next++]);
    item->due_us =
        now_us + (item->next < item->count ? item->gap_us
                                           : series_pick(SERIES_MAX_PAUSE_US));
}

void
series_step(bool faults)
{
    for (int kind = 0; kind < SERIES_KINDS; kind++) {
        series_step_kind((enum series_kind)kind, faults);
    }
}

void
series_finish(void)
{
    for (int i = 0; i < rig.databases_count * PLATFORM_UPSTREAMS; i++) {
        while (announcer_is_replacing(rig.announcers[i])) {
            usleep(SERIES_STEP_US);
        }
    }
}

unsigned
series_get_count(enum series_kind kind)
{
    return series[kind].steps;
}
