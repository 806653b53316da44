#include "soak/entries.h"

#include <inttypes.h>
#include <signal.h>
#include <stdint.h>
#include <unistd.h>

#include "catkingrade/kernel/loop.h"
#include "soak/events.h"
#include "test/rig/platform_rig.h"

#define ENTRIES_STEP_US 10000

enum entry_state {
    ENTRY_UP,
    ENTRY_STARTING, // no listener yet; a signal may end the process
    ENTRY_STOPPING, // SIGTERM was sent
    ENTRY_DOWN,
    ENTRY_FROZEN,
};

struct entry {
    enum entry_state state;
    int event;       // of the stop, kill or freeze
    int down_us;     // time between the end of a stop and the restart
    int64_t due_us;  // end of ENTRY_DOWN and ENTRY_FROZEN
    int64_t stop_us; // time of SIGTERM
};

static struct entry entries[RIG_ENTRIES];

static pid_t
entry_get_pid(int entry)
{
    return process_get_pid(rig.entries[entry]);
}

bool
entries_is_up(int entry)
{
    return entries[entry].state == ENTRY_UP;
}

int
entries_count_up(void)
{
    int count = 0;

    for (int i = 0; i < rig.entries_count; i++) {
        count += entries_is_up(i) ? 1 : 0;
    }
    return count;
}

static void
entry_set_state(int entry, enum entry_state state, int64_t duration_us)
{
    entries[entry].state = state;
    entries[entry].due_us = monotonic_get_us() + duration_us;
}

void
entries_stop(int entry, int down_us)
{
    events_log("entry %d: SIGTERM", entry);
    entries[entry].event = events_begin(EVENT_STOP, EVENT_ENTRY, entry);
    entries[entry].down_us = down_us;
    entries[entry].stop_us = monotonic_get_us();
    entry_set_state(entry, ENTRY_STOPPING, 0);
    (void)kill(entry_get_pid(entry), SIGTERM);
}

void
entries_reload(int entry)
{
    if (entries[entry].state != ENTRY_UP &&
        entries[entry].state != ENTRY_STOPPING) {
        return;
    }
    events_log("entry %d: SIGHUP", entry);
    events_end(events_begin(EVENT_RELOAD, EVENT_ENTRY, entry));
    (void)kill(entry_get_pid(entry), SIGHUP);
}

void
entries_kill(int entry, int down_us)
{
    events_log("entry %d: SIGKILL", entry);
    entries[entry].event = events_begin(EVENT_FAULT, EVENT_ENTRY, entry);
    entry_set_state(entry, ENTRY_DOWN, down_us);
    (void)process_stop(rig.entries[entry], SIGKILL);
    rig.entries[entry] = NULL;
}

void
entries_freeze(int entry, int frozen_us)
{
    events_log("entry %d: SIGSTOP", entry);
    entries[entry].event = events_begin(EVENT_FAULT, EVENT_ENTRY, entry);
    entry_set_state(entry, ENTRY_FROZEN, frozen_us);
    (void)kill(entry_get_pid(entry), SIGSTOP);
}

static void
entry_resume(int entry)
{
    events_log("entry %d: SIGCONT", entry);
    (void)kill(entry_get_pid(entry), SIGCONT);
    events_end(entries[entry].event);
    entry_set_state(entry, ENTRY_UP, 0);
}

static void
entry_restart(int entry)
{
    events_log("entry %d: start", entry);
    rig.entries[entry] =
        platform_rig_start_daemon(RIG_CONTROLS + entry, false);
    entry_set_state(entry, ENTRY_STARTING, 0);
}

// Ends the start of an entry once it listens. Until then it is part of the
// stop or fault.
static void
entry_check_start(int entry)
{
    int fd = platform_connect(rig.http_ports[RIG_CONTROLS + entry]);

    if (fd < 0) {
        return;
    }
    (void)close(fd);
    events_log("entry %d: listens", entry);
    events_end(entries[entry].event);
    entry_set_state(entry, ENTRY_UP, 0);
}

// Fails for an entry that has ended by itself, and starts it again.
static bool
entry_check_running(int entry)
{
    int code = 0;

    if (!process_try_wait(rig.entries[entry], &code)) {
        return true;
    }
    events_fail("entry %d ended by itself by %d", entry, code);
    if (entries[entry].state == ENTRY_STARTING) {
        events_end(entries[entry].event);
    }
    rig.entries[entry] = NULL;
    entries[entry].event = events_begin(EVENT_FAULT, EVENT_ENTRY, entry);
    entry_set_state(entry, ENTRY_DOWN, 0);
    return false;
}

// Ends a stop once the process has ended, and kills a process that is late.
static void
entry_check_stop(int entry)
{
    int64_t taken_us = monotonic_get_us() - entries[entry].stop_us;
    int code = 0;

    if (process_try_wait(rig.entries[entry], &code)) {
        events_log("entry %d: ended by %d after %" PRId64 " ms", entry, code,
                   taken_us / 1000);
        if (code != 0) {
            events_fail("entry %d ended by %d at a planned stop", entry, code);
        }
    }
    else if (taken_us > ENTRIES_GRACE_US) {
        events_fail("entry %d has not ended %d ms after SIGTERM", entry,
                    ENTRIES_GRACE_US / 1000);
        (void)process_stop(rig.entries[entry], SIGKILL);
    }
    else {
        return;
    }
    rig.entries[entry] = NULL;
    entry_set_state(entry, ENTRY_DOWN, entries[entry].down_us);
}

static void
entry_step(int entry)
{
    bool is_due = monotonic_get_us() >= entries[entry].due_us;

    switch (entries[entry].state) {
    case ENTRY_UP:
        (void)entry_check_running(entry);
        break;
    case ENTRY_STARTING:
        if (entry_check_running(entry)) {
            entry_check_start(entry);
        }
        break;
    case ENTRY_STOPPING:
        entry_check_stop(entry);
        break;
    case ENTRY_DOWN:
        if (is_due) {
            entry_restart(entry);
        }
        break;
    case ENTRY_FROZEN:
        if (is_due) {
            entry_resume(entry);
        }
        break;
    }
}

void
entries_step(void)
{
    for (int i = 0; i < rig.entries_count; i++) {
        entry_step(i);
    }
}

void
entries_finish(void)
{
    while (entries_count_up() < rig.entries_count) {
        entries_step();
        usleep(ENTRIES_STEP_US);
    }
}
