#include "test/rig/announcer.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/memory.h"
#include "test/rig/platform_rig.h"

#define ANNOUNCER_INTERVAL_US 100000
#define ANNOUNCER_TIMEOUT_MS  1000
// An upstream that gets no acknowledgement of `draining` ends after this time.
#define ANNOUNCER_GIVE_UP_US 20000000

struct announcer {
    pthread_t thread;
    struct platform *platform;
    int upstream;
    int id;
    const volatile bool *leaving;
    unsigned control; // control VM that acknowledged last
    atomic_bool stopping;
    atomic_bool replacing;
    int64_t extra_us;
    int64_t absent_us;
    int64_t begun_us;                // begin of the replacement
    _Atomic int64_t acknowledged_us; // of `draining`
    bool acknowledged_this_time;
};

// Calls the control VM that acknowledged last, and the others in turn after a
// failure. Returns whether one has acknowledged.
static bool
announcer_call(struct announcer *announcer, const char *method,
               const char *body)
{
    char path[64];

    (void)snprintf(path, sizeof(path), "/v1/instances/i-%d", announcer->id);
    for (int i = 0; i < RIG_CONTROLS; i++) {
        long status = 0;
        free(platform_rig_call_within((int)(announcer->control % RIG_CONTROLS),
                                      method, path, body, ANNOUNCER_TIMEOUT_MS,
                                      &status));
        if (status >= 200 && status < 300) {
            return true;
        }
        announcer->control++;
    }
    return false;
}

// Announces the upstream. The first acknowledgement of `draining` sets the
// time until which requests may reach it.
static void
announcer_announce(struct announcer *announcer)
{
    char body[512];
    bool replacing = atomic_load(&announcer->replacing);

    platform_format_announcement(announcer->platform, announcer->upstream,
                                 replacing || *announcer->leaving, body,
                                 sizeof(body));
    bool acknowledged = announcer_call(announcer, "PUT", body);
    if (!replacing || !acknowledged || announcer->acknowledged_this_time) {
        return;
    }
    int64_t now_us = monotonic_get_us();
    announcer->acknowledged_this_time = true;
    atomic_store(&announcer->acknowledged_us, now_us);
    platform_set_deadline(announcer->platform, announcer->upstream,
                          now_us + ANNOUNCER_DRAIN_US);
}

static bool
announcer_is_due(const struct announcer *announcer)
{
    int64_t now_us = monotonic_get_us();

    if (!announcer->acknowledged_this_time) {
        return now_us - announcer->begun_us > ANNOUNCER_GIVE_UP_US;
    }
    return now_us - atomic_load(&announcer->acknowledged_us) >
           ANNOUNCER_DRAIN_US + announcer->extra_us;
}

// Withdraws the upstream and ends it, and starts a new process later.
static void
announcer_exchange(struct announcer *announcer)
{
    struct platform *platform = announcer->platform;

    (void)announcer_call(announcer, "DELETE", NULL);
    platform_stop_upstream(platform, announcer->upstream);
    usleep((useconds_t)announcer->absent_us);
    platform_set_deadline(platform, announcer->upstream, 0);
    platform_begin_incarnation(platform, announcer->upstream);
    platform_restart_upstream(platform, announcer->upstream);
    atomic_store(&announcer->replacing, false);
}

static void *
announcer_run(void *data)
{
    struct announcer *announcer = data;

    while (!atomic_load(&announcer->stopping)) {
        announcer_announce(announcer);
        if (atomic_load(&announcer->replacing) &&
            announcer_is_due(announcer)) {
            announcer_exchange(announcer);
        }
        usleep(ANNOUNCER_INTERVAL_US);
    }
    return NULL;
}

struct announcer *
announcer_start(struct platform *platform, int upstream, int id,
                const volatile bool *leaving)
{
    struct announcer *announcer = xcalloc(1, sizeof(*announcer));

    announcer->platform = platform;
    announcer->upstream = upstream;
    announcer->id = id;
    announcer->control = (unsigned)id;
    announcer->leaving = leaving;
    INVARIANT(pthread_create(&announcer->thread, NULL, announcer_run,
                             announcer) == 0);
    return announcer;
}

void
announcer_stop(struct announcer *announcer)
{
    atomic_store(&announcer->stopping, true);
    pthread_join(announcer->thread, NULL);
    free(announcer);
}

bool
announcer_replace(struct announcer *announcer, int64_t extra_us,
                  int64_t absent_us)
{
    if (atomic_load(&announcer->replacing)) {
        return false;
    }
    announcer->extra_us = extra_us;
    announcer->absent_us = absent_us;
    announcer->begun_us = monotonic_get_us();
    announcer->acknowledged_this_time = false;
    atomic_store(&announcer->replacing, true);
    return true;
}

bool
announcer_is_replacing(const struct announcer *announcer)
{
    return atomic_load(&announcer->replacing);
}

int64_t
announcer_get_acknowledged_us(const struct announcer *announcer)
{
    return atomic_load(&announcer->acknowledged_us);
}
