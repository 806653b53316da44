#include "soak/faults.h"

#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#include "catkingrade/decide/random.h"
#include "catkingrade/kernel/loop.h"
#include "soak/config.h"
#include "soak/entries.h"
#include "soak/events.h"
#include "soak/proxy.h"
#include "test/rig/platform_rig.h"

#define FAULTS_MAX          3       // active at the same time
#define FAULTS_MAX_PAUSE_US 400000  // between starts of faults
#define FAULTS_MAX_US       4000000 // longest duration of a fault
#define FAULTS_MAX_DELAY_US 200000  // longest delay in a proxy
// Time to wait for each daemon's status, so that frozen ones delay nothing.
#define FAULTS_STATUS_TIMEOUT_MS 100
#define FAULTS_STEP_US           10000
#define FAULTS_UPSTREAMS         (RIG_DATABASES * PLATFORM_UPSTREAMS)

enum fault_kind {
    FAULT_KILL_ENTRY,
    FAULT_STOP_ENTRY,   // SIGTERM, planned
    FAULT_FREEZE_ENTRY, // SIGSTOP
    FAULT_KILL_CONTROL,
    FAULT_STOP_CONTROL,
    FAULT_FREEZE_CONTROL,
    FAULT_LOSE_DISK,        // kill a control VM and erase its data folder
    FAULT_KILL_ALL_CONTROL, // kill all control VMs, then restart them
    FAULT_KILL_UPSTREAM,
    FAULT_IMPAIR_PROXY,
    FAULT_RESET_PROXY,
    FAULT_CONFIGURE, // send a new configuration; not a fault
    FAULT_KINDS,
};

static const char *const fault_names[] = {
    [FAULT_KILL_ENTRY] = "kill entry",
    [FAULT_STOP_ENTRY] = "stop entry",
    [FAULT_FREEZE_ENTRY] = "freeze entry",
    [FAULT_KILL_CONTROL] = "kill control",
    [FAULT_STOP_CONTROL] = "stop control",
    [FAULT_FREEZE_CONTROL] = "freeze control",
    [FAULT_LOSE_DISK] = "lose disk",
    [FAULT_KILL_ALL_CONTROL] = "kill all control",
    [FAULT_KILL_UPSTREAM] = "kill upstream",
    [FAULT_IMPAIR_PROXY] = "impair proxy",
    [FAULT_RESET_PROXY] = "reset proxy",
    [FAULT_CONFIGURE] = "configure",
};

struct fault {
    enum fault_kind kind;
    int target; // entry, control VM, or number in the id of an upstream
    int64_t until_us;
    int64_t begun_us;
    bool is_active;     // the fault has started and not ended yet
    bool was_listening; // of a control VM that is stopped, before SIGTERM
    int event;
};

struct faults {
    uint64_t random;
    int64_t next_us; // earliest time of the next fault
    struct fault items[FAULTS_MAX];
    unsigned counts[FAULT_KINDS];
    struct proxy *proxies[FAULTS_UPSTREAMS];
};

static struct faults faults;

static uint32_t
faults_pick(uint32_t limit)
{
    return random_below(&faults.random, limit);
}

void
faults_start(uint64_t seed)
{
    faults.random = seed;
    for (int i = 0; i < rig.databases_count * PLATFORM_UPSTREAMS; i++) {
        struct platform *platform = rig.platforms[i / PLATFORM_UPSTREAMS];
        int upstream = i % PLATFORM_UPSTREAMS;
        faults.proxies[i] = proxy_start(platform_get_port(platform, upstream));
        platform_set_announced_port(platform, upstream,
                                    proxy_get_port(faults.proxies[i]));
    }
}

void
faults_stop(void)
{
    for (int i = 0; i < rig.databases_count * PLATFORM_UPSTREAMS; i++) {
        proxy_stop(faults.proxies[i]);
    }
}

static bool
fault_affects_entry(enum fault_kind kind)
{
    return kind <= FAULT_FREEZE_ENTRY;
}

static bool
fault_affects_control(enum fault_kind kind)
{
    return kind >= FAULT_KILL_CONTROL && kind <= FAULT_KILL_ALL_CONTROL;
}

static bool
fault_affects_upstream(enum fault_kind kind)
{
    return kind == FAULT_KILL_UPSTREAM || kind == FAULT_IMPAIR_PROXY;
}

// Kills all control VMs, so that none runs any more, and then restarts them.
static void
fault_kill_all_control(void)
{
    for (int i = 0; i < RIG_CONTROLS; i++) {
        (void)process_stop(rig.controls[i], SIGKILL);
    }
    for (int i = 0; i < RIG_CONTROLS; i++) {
        rig.controls[i] = platform_rig_start_daemon(i, false);
    }
}

static void
fault_impair_proxy(int id)
{
    enum proxy_fault kind =
        (enum proxy_fault)(1 + faults_pick(PROXY_FAULTS_COUNT - 1));

    proxy_set_fault(faults.proxies[id], kind,
                    faults_pick(FAULTS_MAX_DELAY_US));
}

// Records the begin of a fault of a control VM or an upstream. The entries'
// faults are recorded in entries.c.
static void
fault_record(struct fault *fault)
{
    if (fault_affects_control(fault->kind)) {
        fault->event = events_begin(EVENT_FAULT, EVENT_CONTROL, fault->target);
    }
    else if (fault_affects_upstream(fault->kind) ||
             fault->kind == FAULT_RESET_PROXY) {
        fault->event = events_begin(EVENT_FAULT, EVENT_DATABASE,
                                    fault->target / PLATFORM_UPSTREAMS);
    }
}

// Does what a fault of an entry does, which ends in entries.c.
static void
fault_start_entry(const struct fault *fault)
{
    int duration_us = (int)(fault->until_us - monotonic_get_us());

    if (fault->kind == FAULT_KILL_ENTRY) {
        entries_kill(fault->target, duration_us);
    }
    else if (fault->kind == FAULT_STOP_ENTRY) {
        entries_stop(fault->target, duration_us);
    }
    else {
        entries_freeze(fault->target, duration_us);
    }
}

static bool
fault_is_control_listening(int control)
{
    int fd = platform_connect(rig.http_ports[control]);

    if (fd >= 0) {
        (void)close(fd);
    }
    return fd >= 0;
}

// Starts a fault. Faults without a duration are over at once.
static void
fault_start(struct fault *fault)
{
    struct platform *platform =
        rig.platforms[fault->target / PLATFORM_UPSTREAMS];

    events_log("%s %d", fault_names[fault->kind], fault->target);
    faults.counts[fault->kind]++;
    fault->is_active = true;
    fault->begun_us = monotonic_get_us();
    fault_record(fault);
    switch (fault->kind) {
    case FAULT_KILL_ENTRY:
    case FAULT_STOP_ENTRY:
    case FAULT_FREEZE_ENTRY:
        fault_start_entry(fault);
        break;
    case FAULT_KILL_CONTROL:
    case FAULT_LOSE_DISK:
        (void)process_stop(rig.controls[fault->target], SIGKILL);
        rig.controls[fault->target] = NULL;
        break;
    case FAULT_STOP_CONTROL:
        fault->was_listening = fault_is_control_listening(fault->target);
        (void)kill(process_get_pid(rig.controls[fault->target]), SIGTERM);
        break;
    case FAULT_FREEZE_CONTROL:
        (void)kill(process_get_pid(rig.controls[fault->target]), SIGSTOP);
        break;
    case FAULT_KILL_ALL_CONTROL:
        fault_kill_all_control();
        break;
    case FAULT_KILL_UPSTREAM:
        platform_stop_upstream(platform, fault->target % PLATFORM_UPSTREAMS);
        break;
    case FAULT_IMPAIR_PROXY:
        fault_impair_proxy(fault->target);
        break;
    case FAULT_RESET_PROXY:
        proxy_reset(faults.proxies[fault->target]);
        break;
    case FAULT_CONFIGURE:
        config_request_upload(fault->target);
        break;
    case FAULT_KINDS:
        break;
    }
    if (fault->kind == FAULT_KILL_ALL_CONTROL ||
        fault->kind == FAULT_RESET_PROXY || fault->kind == FAULT_CONFIGURE) {
        fault->until_us = 0;
    }
}

// Returns whether a control VM has ended after SIGTERM. Kills one that takes
// longer than the grace period, which is a failure. A process that does not
// listen yet may not have begun to handle signals, and is ended by it.
static bool
fault_has_stopped(const struct fault *fault)
{
    int code = 0;

    if (process_try_wait(rig.controls[fault->target], &code)) {
        bool is_early = !fault->was_listening && code == -SIGTERM;
        if (code != 0 && !is_early) {
            events_fail("control %d ended by %d at a planned stop",
                        fault->target, code);
        }
        return true;
    }
    if (monotonic_get_us() - fault->begun_us <= ENTRIES_GRACE_US) {
        return false;
    }
    events_fail("control %d has not ended %d ms after SIGTERM", fault->target,
                ENTRIES_GRACE_US / 1000);
    (void)process_stop(rig.controls[fault->target], SIGKILL);
    return true;
}

// Ends a fault: restarts or resumes the process, or repairs the upstream. A
// control VM that is still stopping stays so.
static void
fault_end(struct fault *fault)
{
    int target = fault->target;

    if (fault->kind == FAULT_STOP_CONTROL && !fault_has_stopped(fault)) {
        return;
    }
    events_log("end of %s %d", fault_names[fault->kind], target);
    fault->is_active = false;
    switch (fault->kind) {
    case FAULT_LOSE_DISK:
        platform_rig_remove_disk(target);
        rig.controls[target] = platform_rig_start_daemon(target, false);
        break;
    case FAULT_STOP_CONTROL:
    case FAULT_KILL_CONTROL:
        rig.controls[target] = platform_rig_start_daemon(target, false);
        break;
    case FAULT_FREEZE_CONTROL:
        (void)kill(process_get_pid(rig.controls[target]), SIGCONT);
        break;
    case FAULT_KILL_UPSTREAM:
        platform_restart_upstream(rig.platforms[target / PLATFORM_UPSTREAMS],
                                  target % PLATFORM_UPSTREAMS);
        break;
    case FAULT_IMPAIR_PROXY:
        proxy_set_fault(faults.proxies[target], PROXY_NO_FAULT, 0);
        break;
    default:
        break;
    }
    if (fault_affects_control(fault->kind) ||
        fault_affects_upstream(fault->kind) ||
        fault->kind == FAULT_RESET_PROXY) {
        events_end(fault->event);
    }
}

bool
faults_has_upstream(int id)
{
    for (size_t i = 0; i < FAULTS_MAX; i++) {
        const struct fault *fault = &faults.items[i];
        if (fault->is_active && fault->kind == FAULT_KILL_UPSTREAM &&
            fault->target == id) {
            return true;
        }
    }
    return false;
}

// Returns whether an upstream may be stopped: it isn't being replaced itself,
// and at most one other upstream of its database is.
static bool
fault_can_kill_upstream(int id)
{
    int first = id - id % PLATFORM_UPSTREAMS;
    int replaced = 0;

    for (int i = first; i < first + PLATFORM_UPSTREAMS; i++) {
        replaced += announcer_is_replacing(rig.announcers[i]) ? 1 : 0;
    }
    return replaced < 2 && !announcer_is_replacing(rig.announcers[id]);
}

static bool
fault_excludes(enum fault_kind one, enum fault_kind other)
{
    return (fault_affects_control(one) && fault_affects_control(other)) ||
           (fault_affects_upstream(one) && fault_affects_upstream(other)) ||
           (fault_affects_entry(one) && fault_affects_entry(other));
}

// Returns whether a fault may start. At most one fault of control VMs, one of
// upstreams and one of entries is active at a time, because the platform
// tolerates the loss of one control VM and one upstream, and callers need an
// entry. The disk that was lost before must be restored from the other voters
// before the next one is lost.
static bool
fault_can_start(const struct fault *fault)
{
    for (size_t i = 0; i < FAULTS_MAX; i++) {
        const struct fault *other = &faults.items[i];
        if (other->is_active && fault_excludes(fault->kind, other->kind)) {
            return false;
        }
    }
    if (fault_affects_entry(fault->kind)) {
        return entries_is_up(fault->target) && entries_count_up() > 1;
    }
    if (fault->kind == FAULT_KILL_UPSTREAM) {
        return fault_can_kill_upstream(fault->target);
    }
    return fault->kind != FAULT_LOSE_DISK ||
           (platform_rig_is_settled(0, FAULTS_STATUS_TIMEOUT_MS) &&
            platform_rig_is_settled(1, FAULTS_STATUS_TIMEOUT_MS) &&
            platform_rig_is_settled(2, FAULTS_STATUS_TIMEOUT_MS));
}

// Picks a random fault and starts it if it may start now.
static void
fault_try(struct fault *fault)
{
    uint32_t targets = RIG_CONTROLS;

    fault->kind = (enum fault_kind)faults_pick(FAULT_KINDS);
    if (fault_affects_entry(fault->kind)) {
        targets = (uint32_t)rig.entries_count;
    }
    else if (fault_affects_upstream(fault->kind) ||
             fault->kind == FAULT_RESET_PROXY) {
        targets = (uint32_t)rig.databases_count * PLATFORM_UPSTREAMS;
    }
    fault->target = (int)faults_pick(targets);
    fault->until_us = monotonic_get_us() + faults_pick(FAULTS_MAX_US);
    if (fault_can_start(fault)) {
        fault_start(fault);
    }
}

void
faults_step(bool begin)
{
    int64_t now_us = monotonic_get_us();

    for (size_t i = 0; i < FAULTS_MAX; i++) {
        struct fault *fault = &faults.items[i];
        if (fault->is_active && now_us >= fault->until_us) {
            fault_end(fault);
        }
        else if (!fault->is_active && begin && now_us >= faults.next_us) {
            fault_try(fault);
            faults.next_us =
                monotonic_get_us() + faults_pick(FAULTS_MAX_PAUSE_US);
        }
    }
}

void
faults_finish(void)
{
    for (size_t i = 0; i < FAULTS_MAX; i++) {
        while (faults.items[i].is_active) {
            fault_end(&faults.items[i]);
            usleep(FAULTS_STEP_US);
        }
    }
}

void
faults_print(void)
{
    for (int kind = 0; kind < FAULT_KINDS; kind++) {
        (void)printf(" %s %u,", fault_names[kind], faults.counts[kind]);
    }
}
