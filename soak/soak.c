#include <argp.h>
#include <check.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "catkingrade/decide/random.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/memory.h"
#include "soak/caller.h"
#include "soak/proxy.h"
#include "test/rig/platform_rig.h"

// Fault injection test of the real daemons against a fake platform. A seed
// determines which faults are injected and when: killed, stopped and frozen
// daemons, lost disks, failed upstreams and impaired connections. Meanwhile
// callers save and read, and the test checks that no acknowledged save or
// configuration is lost and that all daemons serve again after the faults.
//
// Guards against failures that need a combination of faults: a second fault
// occurs before the system has recovered from the first.

#define SOAK_CALLERS             6
#define SOAK_MAX_FAULTS          3 // active at the same time
#define SOAK_STEP_US             20000
#define SOAK_MAX_PAUSE_US        400000  // between starts of faults
#define SOAK_MAX_FAULT_US        4000000 // longest duration of a fault
#define SOAK_MAX_DELAY_US        200000  // longest delay in a proxy
#define SOAK_RECOVERY_TIMEOUT_US 30000000
#define SOAK_US_PER_MS           1000
#define SOAK_US_PER_MIN          60000000.0
// Half of maxConns, four connections, is allocated as quotas. Four are too few
// for two connections at each of the three entries, so that relays are used.
#define SOAK_SETTINGS ",\"relay_min_connections\": 2"

enum soak_fault_kind {
    SOAK_KILL_ENTRY,
    SOAK_STOP_ENTRY,   // SIGTERM
    SOAK_FREEZE_ENTRY, // SIGSTOP
    SOAK_KILL_CONTROL,
    SOAK_STOP_CONTROL,
    SOAK_FREEZE_CONTROL,
    SOAK_LOSE_DISK,        // kill a control VM and erase its data folder
    SOAK_KILL_ALL_CONTROL, // kill all control VMs, then restart them
    SOAK_KILL_UPSTREAM,
    SOAK_IMPAIR_PROXY,
    SOAK_RESET_PROXY,
    SOAK_CONFIGURE, // send a new configuration; not a fault
    SOAK_FAULT_KINDS,
};

static const char *const soak_fault_names[] = {
    [SOAK_KILL_ENTRY] = "kill entry",
    [SOAK_STOP_ENTRY] = "stop entry",
    [SOAK_FREEZE_ENTRY] = "freeze entry",
    [SOAK_KILL_CONTROL] = "kill control",
    [SOAK_STOP_CONTROL] = "stop control",
    [SOAK_FREEZE_CONTROL] = "freeze control",
    [SOAK_LOSE_DISK] = "lose disk",
    [SOAK_KILL_ALL_CONTROL] = "kill all control",
    [SOAK_KILL_UPSTREAM] = "kill upstream",
    [SOAK_IMPAIR_PROXY] = "impair proxy",
    [SOAK_RESET_PROXY] = "reset proxy",
    [SOAK_CONFIGURE] = "configure",
};

struct soak_fault {
    enum soak_fault_kind kind;
    int target;
    int64_t until_us;
    bool is_active; // the fault has started and not ended yet
};

struct soak {
    uint64_t seed;
    double minutes;
    bool verbose;
    uint64_t random; // state of the pseudo-random generator
    int64_t start_us;
    struct proxy *proxies[PLATFORM_UPSTREAMS];
    struct soak_fault faults[SOAK_MAX_FAULTS];
    unsigned counts[SOAK_FAULT_KINDS];
    int sent_version;         // version of the newest configuration sent
    int acknowledged_version; // version of the newest one acknowledged
    struct buffer failures;   // violated checks, a line each
};

static struct soak soak = {.seed = 1, .minutes = 1};

static uint32_t
soak_random_below(uint32_t limit)
{
    return random_below(&soak.random, limit);
}

static void
soak_log(const char *what, int target)
{
    if (soak.verbose) {
        (void)printf("%7.2f s %s %d\n",
                     (double)(monotonic_get_us() - soak.start_us) / 1e6, what,
                     target);
        (void)fflush(stdout);
    }
}

// ---- configuration ----

// Returns the configuration of a version. Consecutive versions also differ in
// the timeout of a route.
static char *
soak_make_config(int version)
{
    return xasprintf(
        "{\"version\":%d,\"routes\":["
        "{\"host\":\"own\",\"routeKind\":\"read_own_writes\","
        "\"timeoutMs\":%d,\"targetLatencyMs\":900,\"priority\":2,"
        "\"service\":\"core\",\"maxStalenessMs\":2500},"
        "{\"host\":\"current\",\"routeKind\":\"primary\",\"timeoutMs\":1500,"
        "\"targetLatencyMs\":900,\"priority\":1,\"service\":\"core\"}],"
        "\"services\":[{\"name\":\"core\",\"maxConns\":8,"
        "\"syncReplicas\":0}],\"limits\":{\"txIdleMs\":3000}}",
        version, 1500 + version % 7);
}

// Uploads a new configuration through one control VM.
static void
soak_upload_config(int daemon)
{
    char *body = soak_make_config(++soak.sent_version);

    if (platform_rig_put_config(daemon, body) == 200) {
        soak.acknowledged_version = soak.sent_version;
    }
    free(body);
}

// Reads the configuration from one control VM. Returns whether it answered
// with a configuration. A version older than the last acknowledged one is
// recorded as a failure.
static bool
soak_check_config(int daemon)
{
    long status = 0;
    int version = 0;
    char *text = platform_rig_call(daemon, "GET", "/v1/config", NULL, &status);

    bool is_valid = status == 200 && text != NULL &&
                    sscanf(text, "{\"version\":%d", &version) == 1;
    free(text);
    if (is_valid && version < soak.acknowledged_version) {
        buffer_append_format(&soak.failures,
                             "control %d returned configuration %d, but "
                             "%d was acknowledged\n",
                             daemon, version, soak.acknowledged_version);
    }
    return is_valid;
}

// ---- faults ----

// Returns the process that a fault is aimed at: an entry or a control VM.
static struct process **
soak_get_process(const struct soak_fault *fault)
{
    return fault->kind <= SOAK_FREEZE_ENTRY ? &rig.entries[fault->target]
                                            : &rig.controls[fault->target];
}

// Returns the index of the fault's daemon in the rig, where the entries come
// after the control VMs.
static int
soak_get_daemon_index(const struct soak_fault *fault)
{
    return fault->kind <= SOAK_FREEZE_ENTRY ? RIG_CONTROLS + fault->target
                                            : fault->target;
}

static void
soak_stop_process(const struct soak_fault *fault, int signal_number)
{
    struct process **process = soak_get_process(fault);

    (void)process_stop(*process, signal_number);
    *process = NULL;
}

// Kills all control VMs, so that none runs any more, and then restarts them.
static void
soak_kill_all_control(void)
{
    for (int i = 0; i < RIG_CONTROLS; i++) {
        (void)process_stop(rig.controls[i], SIGKILL);
    }
    for (int i = 0; i < RIG_CONTROLS; i++) {
        rig.controls[i] = platform_rig_start_daemon(i, false);
    }
}

// Starts a fault. Faults without a duration are over at once.
static void
soak_start_fault(struct soak_fault *fault)
{
    soak_log(soak_fault_names[fault->kind], fault->target);
    soak.counts[fault->kind]++;
    fault->is_active = true;
    switch (fault->kind) {
    case SOAK_KILL_ENTRY:
    case SOAK_KILL_CONTROL:
    case SOAK_LOSE_DISK:
        soak_stop_process(fault, SIGKILL);
        break;
    case SOAK_STOP_ENTRY:
    case SOAK_STOP_CONTROL:
        soak_stop_process(fault, SIGTERM);
        break;
    case SOAK_FREEZE_ENTRY:
    case SOAK_FREEZE_CONTROL:
        (void)kill(process_get_pid(*soak_get_process(fault)), SIGSTOP);
        break;
    case SOAK_KILL_ALL_CONTROL:
        soak_kill_all_control();
        fault->is_active = false;
        break;
    case SOAK_KILL_UPSTREAM:
        platform_stop_upstream(rig.platform, fault->target);
        break;
    case SOAK_IMPAIR_PROXY:
        proxy_set_fault(
            soak.proxies[fault->target],
            (enum proxy_fault)(1 + soak_random_below(PROXY_FAULTS_COUNT - 1)),
            soak_random_below(SOAK_MAX_DELAY_US));
        break;
    case SOAK_RESET_PROXY:
        proxy_reset(soak.proxies[fault->target]);
        fault->is_active = false;
        break;
    case SOAK_CONFIGURE:
        soak_upload_config(fault->target);
        fault->is_active = false;
        break;
    case SOAK_FAULT_KINDS:
        break;
    }
}

// Ends a fault: restarts or resumes the process, or repairs the upstream.
static void
soak_end_fault(struct soak_fault *fault)
{
    soak_log("end of fault kind", fault->kind);
    fault->is_active = false;
    switch (fault->kind) {
    case SOAK_LOSE_DISK:
        platform_rig_remove_disk(fault->target);
        *soak_get_process(fault) =
            platform_rig_start_daemon(soak_get_daemon_index(fault), false);
        break;
    case SOAK_KILL_ENTRY:
    case SOAK_STOP_ENTRY:
    case SOAK_KILL_CONTROL:
    case SOAK_STOP_CONTROL:
        *soak_get_process(fault) =
            platform_rig_start_daemon(soak_get_daemon_index(fault), false);
        break;
    case SOAK_FREEZE_ENTRY:
    case SOAK_FREEZE_CONTROL:
        (void)kill(process_get_pid(*soak_get_process(fault)), SIGCONT);
        break;
    case SOAK_KILL_UPSTREAM:
        platform_restart_upstream(rig.platform, fault->target);
        break;
    case SOAK_IMPAIR_PROXY:
        proxy_set_fault(soak.proxies[fault->target], PROXY_NO_FAULT, 0);
        break;
    default:
        break;
    }
}

static bool
soak_affects_control(enum soak_fault_kind kind)
{
    return kind >= SOAK_KILL_CONTROL && kind <= SOAK_KILL_ALL_CONTROL;
}

static bool
soak_affects_upstream(enum soak_fault_kind kind)
{
    return kind == SOAK_KILL_UPSTREAM || kind == SOAK_IMPAIR_PROXY;
}

// Returns whether a fault may start. At most one fault of control VMs, one of
// upstreams and one of entries is active at a time, because the platform
// tolerates the loss of one control VM and one upstream, and callers need an
// entry.
static bool
soak_can_start_fault(const struct soak_fault *fault)
{
    for (size_t i = 0; i < SOAK_MAX_FAULTS; i++) {
        const struct soak_fault *other = &soak.faults[i];
        if (!other->is_active) {
            continue;
        }
        if ((soak_affects_control(fault->kind) &&
             soak_affects_control(other->kind)) ||
            (soak_affects_upstream(fault->kind) &&
             soak_affects_upstream(other->kind)) ||
            (fault->kind <= SOAK_FREEZE_ENTRY &&
             other->kind <= SOAK_FREEZE_ENTRY)) {
            return false;
        }
    }
    // The disk that was lost before must be restored from the other voters
    // first.
    return fault->kind != SOAK_LOSE_DISK ||
           (platform_rig_is_settled(0) && platform_rig_is_settled(1) &&
            platform_rig_is_settled(2));
}

// Picks a random fault and starts it if it may start now. RIG_CONTROLS is also
// the number of upstreams and proxies, so that it limits every target that is
// not an entry.
static void
soak_try_fault(struct soak_fault *fault)
{
    fault->kind = (enum soak_fault_kind)soak_random_below(SOAK_FAULT_KINDS);
    fault->target = (int)soak_random_below(fault->kind <= SOAK_FREEZE_ENTRY
                                               ? (uint32_t)rig.entries_count
                                               : (uint32_t)RIG_CONTROLS);
    fault->until_us =
        monotonic_get_us() + soak_random_below(SOAK_MAX_FAULT_US);
    if (soak_can_start_fault(fault)) {
        soak_start_fault(fault);
    }
}

// Starts and ends faults until end_us, then ends those still active. Reads the
// configuration from a random control VM in each step.
static void
soak_run_faults(int64_t end_us)
{
    int64_t next_us = 0;

    while (monotonic_get_us() < end_us) {
        int64_t now_us = monotonic_get_us();
        for (size_t i = 0; i < SOAK_MAX_FAULTS; i++) {
            struct soak_fault *fault = &soak.faults[i];
            if (fault->is_active && now_us >= fault->until_us) {
                soak_end_fault(fault);
            }
            else if (!fault->is_active && now_us >= next_us) {
                soak_try_fault(fault);
                next_us =
                    monotonic_get_us() + soak_random_below(SOAK_MAX_PAUSE_US);
            }
        }
        (void)soak_check_config((int)soak_random_below(RIG_CONTROLS));
        usleep(SOAK_STEP_US);
    }
    for (size_t i = 0; i < SOAK_MAX_FAULTS; i++) {
        if (soak.faults[i].is_active) {
            soak_end_fault(&soak.faults[i]);
        }
    }
}

// ---- test run ----

// Checks that all daemons serve again without faults: each entry acknowledges
// a save on the route of the primary, and each control VM returns a
// configuration.
static void
soak_check_recovery(void)
{
    int64_t limit_us = monotonic_get_us() + SOAK_RECOVERY_TIMEOUT_US;

    for (int i = 0; i < rig.entries_count; i++) {
        close(platform_rig_wait_answer(i, "current", "QUERY z WRITE z z",
                                       "COMPLETE"));
    }
    for (int i = 0; i < RIG_CONTROLS; i++) {
        while (!soak_check_config(i)) {
            if (monotonic_get_us() > limit_us) {
                buffer_append_format(&soak.failures,
                                     "control %d returned no configuration\n",
                                     i);
                break;
            }
            usleep(SOAK_STEP_US);
        }
    }
}

static void
soak_report(const struct callers *callers)
{
    (void)printf("seed %" PRIu64 ", %.2f minutes, %" PRIu64 " saves;",
                 soak.seed, soak.minutes, callers_count_saves(callers));
    for (int kind = 0; kind < SOAK_FAULT_KINDS; kind++) {
        (void)printf(" %s %u%s", soak_fault_names[kind], soak.counts[kind],
                     kind + 1 < SOAK_FAULT_KINDS ? "," : "\n");
    }
    (void)fflush(stdout);
}

START_TEST(soak_run)
{
    char name[64];

    soak.random = soak.seed;
    (void)snprintf(name, sizeof(name), "soak_%" PRIu64, soak.seed);
    platform_rig_start(name, RIG_ENTRIES, SOAK_SETTINGS);
    for (int i = 0; i < PLATFORM_UPSTREAMS; i++) {
        soak.proxies[i] = proxy_start(platform_get_port(rig.platform, i));
        platform_set_announced_port(rig.platform, i,
                                    proxy_get_port(soak.proxies[i]));
    }
    char *body =
        soak_make_config(soak.acknowledged_version = soak.sent_version = 1);
    platform_rig_wait_config(0, body);
    free(body);
    soak_check_recovery();
    soak.start_us = monotonic_get_us();
    struct callers *callers = callers_start(SOAK_CALLERS, soak.seed);
    soak_run_faults(soak.start_us + (int64_t)(soak.minutes * SOAK_US_PER_MIN));
    soak_check_recovery();
    callers_stop(callers);
    callers_check(callers, &soak.failures);
    if (platform_get_protocol_errors(rig.platform) != 0) {
        buffer_append_format(&soak.failures,
                             "%d statements ran outside their transaction "
                             "or with state of another session\n",
                             platform_get_protocol_errors(rig.platform));
    }
    soak_report(callers);
    callers_destroy(callers);
    buffer_append_u8(&soak.failures, 0);
    const char *failures = (const char *)buffer_get_data(&soak.failures);
    ck_assert_msg(failures[0] == '\0', "seed %" PRIu64 ", logs in %s:\n%s",
                  soak.seed, rig.folder, failures);
    platform_rig_stop();
    for (int i = 0; i < PLATFORM_UPSTREAMS; i++) {
        proxy_stop(soak.proxies[i]);
    }
}
END_TEST

static error_t
soak_parse(int key, char *arg, struct argp_state *state)
{
    char *end = NULL;

    switch (key) {
    case 's':
        soak.seed = strtoull(arg, &end, 10);
        break;
    case 'm':
        soak.minutes = strtod(arg, &end);
        break;
    case 'v':
        soak.verbose = true;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    if (*end != '\0' || end == arg || soak.minutes <= 0) {
        argp_error(state, "not a valid number: %s", arg);
    }
    return 0;
}

static const struct argp_option soak_options[] = {
    {.name = "seed",
     .key = 's',
     .arg = "N",
     .doc = "Seed of the fault schedule [1]"},
    {.name = "minutes",
     .key = 'm',
     .arg = "M",
     .doc = "Duration of the faults [1]"},
    {.name = "verbose", .key = 'v', .doc = "Print each fault"},
    {0},
};

int
main(int argc, char **argv)
{
    const struct argp argp = {.options = soak_options,
                              .parser = soak_parse,
                              .doc = "Injects faults into real daemons and "
                                     "checks the answers to their callers."};
    Suite *suite = suite_create("soak");
    TCase *tests = tcase_create("soak");

    if (argp_parse(&argp, argc, argv, 0, NULL, NULL) != 0) {
        return EXIT_FAILURE;
    }
    tcase_set_timeout(tests, 0);
    tcase_add_test(tests, soak_run);
    suite_add_tcase(suite, tests);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
