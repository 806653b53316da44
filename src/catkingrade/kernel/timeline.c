#include "catkingrade/kernel/timeline.h"

#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>

#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/pairs.h"

#define TIMELINE_RING_EVENTS      4096
#define TIMELINE_HLC_COUNTER_BITS 16 // low bits of a hybrid logical clock
#define TIMELINE_US_PER_MS        1000

static struct {
    pthread_mutex_t mutex;
    struct timeline_event *ring;
    uint64_t last_sequence;
    uint64_t hlc;
} timeline_state = {.mutex = PTHREAD_MUTEX_INITIALIZER};

// Advances the HLC to the wall clock, or by one if the wall clock is not ahead
// of it. The caller holds the mutex.
static uint64_t
timeline_advance_locked(void)
{
    uint64_t wall_ms = (uint64_t)(walltime_get_us() / TIMELINE_US_PER_MS);
    uint64_t wall = wall_ms << TIMELINE_HLC_COUNTER_BITS;

    if (wall > timeline_state.hlc) {
        timeline_state.hlc = wall;
    }
    else {
        timeline_state.hlc++;
    }
    return timeline_state.hlc;
}

// Returns an HLC timestamp for a message to another process.
uint64_t
timeline_get_hlc(void)
{
    pthread_mutex_lock(&timeline_state.mutex);
    uint64_t hlc = timeline_advance_locked();
    pthread_mutex_unlock(&timeline_state.mutex);
    return hlc;
}

// Advances the HLC to the timestamp of a message from another process, so that
// later events of this process are ordered after the sender's earlier events.
void
timeline_observe_hlc(uint64_t hlc)
{
    pthread_mutex_lock(&timeline_state.mutex);
    if (hlc > timeline_state.hlc) {
        timeline_state.hlc = hlc;
    }
    pthread_mutex_unlock(&timeline_state.mutex);
}

// Records one event. customer and upstream may be NULL, session may be 0. The
// event must not contain secrets or the text of statements.
void
timeline_record(const char *kind, const char *customer, const char *upstream,
                uint64_t session, const char *format, ...)
{
    struct timeline_event event = {.session = session};
    va_list args;

    (void)snprintf(event.kind, sizeof(event.kind), "%s", kind);
    (void)pairs_append_text(event.customer, 0, sizeof(event.customer),
                            customer == NULL ? "" : customer);
    (void)pairs_append_text(event.upstream, 0, sizeof(event.upstream),
                            upstream == NULL ? "" : upstream);
    va_start(args, format);
    (void)pairs_format(event.text, sizeof(event.text), format, args);
    va_end(args);
    pthread_mutex_lock(&timeline_state.mutex);
    if (timeline_state.ring == NULL) {
        timeline_state.ring = xcalloc(TIMELINE_RING_EVENTS, sizeof(event));
    }
    event.sequence = ++timeline_state.last_sequence;
    event.hlc = timeline_advance_locked();
    timeline_state.ring[event.sequence % TIMELINE_RING_EVENTS] = event;
    pthread_mutex_unlock(&timeline_state.mutex);
}

// Copies up to max_count events with a sequence above after_sequence, oldest
// first, and returns their number. If the first sequence is above
// after_sequence + 1, the ring has overwritten the events in between.
size_t
timeline_read(uint64_t after_sequence, struct timeline_event *events,
              size_t max_count)
{
    size_t count = 0;

    pthread_mutex_lock(&timeline_state.mutex);
    uint64_t last = timeline_state.last_sequence;
    uint64_t first = after_sequence + 1;
    if (last >= TIMELINE_RING_EVENTS &&
        first < last - TIMELINE_RING_EVENTS + 1) {
        first = last - TIMELINE_RING_EVENTS + 1;
    }
    for (uint64_t s = first; s <= last && count < max_count; s++) {
        events[count++] = timeline_state.ring[s % TIMELINE_RING_EVENTS];
    }
    pthread_mutex_unlock(&timeline_state.mutex);
    return count;
}
