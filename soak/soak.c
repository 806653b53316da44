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

// Runs the real programs against the stand-in of the platform, does harm to
// them from outside by a seed, and checks what callers are told.

#define SOAK_CALLERS             6
#define SOAK_MAX_FAULTS          3 // that last at the same time
#define SOAK_STEP_US             20000
#define SOAK_MAX_PAUSE_US        400000  // at most, between two harms
#define SOAK_MAX_FAULT_US        4000000 // a harm lasts at most
#define SOAK_MAX_DELAY_US        200000
#define SOAK_RECOVERY_TIMEOUT_US 30000000
#define SOAK_US_PER_MS           1000
#define SOAK_US_PER_MIN          60000000.0
// With three entries each would have two of the four lent connections.
#define SOAK_SETTINGS ",\"relay_min_connections\": 2"

enum soak_fault_kind {
    SOAK_KILL_ENTRY,
    SOAK_STOP_ENTRY, // SIGTERM
    SOAK_FREEZE_ENTRY,
    SOAK_KILL_CONTROL,
    SOAK_STOP_CONTROL,
    SOAK_FREEZE_CONTROL,
    SOAK_LOSE_DISK,
    SOAK_KILL_ALL_CONTROL,
    SOAK_KILL_UPSTREAM,
    SOAK_IMPAIR_PROXY,
    SOAK_RESET_PROXY,
    SOAK_CONFIGURE,
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
    [SOAK_IMPAIR_PROXY] = "harm proxy",
    [SOAK_RESET_PROXY] = "reset proxy",
    [SOAK_CONFIGURE] = "configure",
};

struct soak_fault {
    enum soak_fault_kind kind;
    int target;
    int64_t until_us;
    bool lasts;
};

struct soak {
    uint64_t seed;
    double minutes;
    bool verbose;
    uint64_t random;
    int64_t began_us;
    struct proxy *proxies[PLATFORM_UPSTREAMS];
    struct soak_fault harms[SOAK_MAX_FAULTS];
    unsigned counts[SOAK_FAULT_KINDS];
    int tried;    // number of the newest configuration sent
    int accepted; // and acknowledged
    struct buffer faults;
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
                     (double)(monotonic_get_us() - soak.began_us) / 1e6, what,
                     target);
        (void)fflush(stdout);
    }
}

// ---- configuration ----

static char *
soak_make_config(int number)
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
        number, 1500 + number % 7);
}

static void
soak_upload_config(int place)
{
    char *body = soak_make_config(++soak.tried);

    if (platform_rig_put_config(place, body) == 200) {
        soak.accepted = soak.tried;
    }
    free(body);
}

// Every control VM must come to give the newest configuration, and none may
// give one that is older than the last that was acknowledged.
static bool
soak_check_config(int place)
{
    long status = 0;
    int version = 0;
    char *text = platform_rig_call(place, "GET", "/v1/config", NULL, &status);

    bool read = status == 200 && text != NULL &&
                sscanf(text, "{\"version\":%d", &version) == 1;
    free(text);
    if (read && version < soak.accepted) {
        buffer_append_format(&soak.faults,
                             "control %d gives configuration %d, %d was "
                             "acknowledged\n",
                             place, version, soak.accepted);
    }
    return read;
}

// ---- harms ----

static struct process **
soak_get_process(const struct soak_fault *harm)
{
    return harm->kind <= SOAK_FREEZE_ENTRY ? &rig.entries[harm->target]
                                           : &rig.controls[harm->target];
}

static int
soak_get_daemon_index(const struct soak_fault *harm)
{
    return harm->kind <= SOAK_FREEZE_ENTRY ? RIG_CONTROLS + harm->target
                                           : harm->target;
}

static void
soak_stop_process(const struct soak_fault *harm, int signal_number)
{
    struct process **process = soak_get_process(harm);

    (void)process_stop(*process, signal_number);
    *process = NULL;
}

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

static void
soak_start_fault(struct soak_fault *harm)
{
    soak_log(soak_fault_names[harm->kind], harm->target);
    soak.counts[harm->kind]++;
    harm->lasts = true;
    switch (harm->kind) {
    case SOAK_KILL_ENTRY:
    case SOAK_KILL_CONTROL:
    case SOAK_LOSE_DISK:
        soak_stop_process(harm, SIGKILL);
        break;
    case SOAK_STOP_ENTRY:
    case SOAK_STOP_CONTROL:
        soak_stop_process(harm, SIGTERM);
        break;
    case SOAK_FREEZE_ENTRY:
    case SOAK_FREEZE_CONTROL:
        (void)kill(process_get_pid(*soak_get_process(harm)), SIGSTOP);
        break;
    case SOAK_KILL_ALL_CONTROL:
        soak_kill_all_control();
        harm->lasts = false;
        break;
    case SOAK_KILL_UPSTREAM:
        platform_stop_upstream(rig.platform, harm->target);
        break;
    case SOAK_IMPAIR_PROXY:
        proxy_set_fault(
            soak.proxies[harm->target],
            (enum proxy_fault)(1 + soak_random_below(PROXY_FAULTS_COUNT - 1)),
            soak_random_below(SOAK_MAX_DELAY_US));
        break;
    case SOAK_RESET_PROXY:
        proxy_reset(soak.proxies[harm->target]);
        harm->lasts = false;
        break;
    case SOAK_CONFIGURE:
        soak_upload_config(harm->target);
        harm->lasts = false;
        break;
    case SOAK_FAULT_KINDS:
        break;
    }
}

static void
soak_end_fault(struct soak_fault *harm)
{
    soak_log("end of", harm->kind);
    harm->lasts = false;
    switch (harm->kind) {
    case SOAK_LOSE_DISK:
        platform_rig_remove_disk(harm->target);
        *soak_get_process(harm) =
            platform_rig_start_daemon(soak_get_daemon_index(harm), false);
        break;
    case SOAK_KILL_ENTRY:
    case SOAK_STOP_ENTRY:
    case SOAK_KILL_CONTROL:
    case SOAK_STOP_CONTROL:
        *soak_get_process(harm) =
            platform_rig_start_daemon(soak_get_daemon_index(harm), false);
        break;
    case SOAK_FREEZE_ENTRY:
    case SOAK_FREEZE_CONTROL:
        (void)kill(process_get_pid(*soak_get_process(harm)), SIGCONT);
        break;
    case SOAK_KILL_UPSTREAM:
        platform_restart_upstream(rig.platform, harm->target);
        break;
    case SOAK_IMPAIR_PROXY:
        proxy_set_fault(soak.proxies[harm->target], PROXY_NO_FAULT, 0);
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

// Returns whether a harm may begin: at most one control VM and one upstream
// are away at once, as the platform tolerates, and one entry stays.
static bool
soak_can_start_fault(const struct soak_fault *harm)
{
    for (size_t i = 0; i < SOAK_MAX_FAULTS; i++) {
        const struct soak_fault *other = &soak.harms[i];
        if (!other->lasts) {
            continue;
        }
        if ((soak_affects_control(harm->kind) &&
             soak_affects_control(other->kind)) ||
            (soak_affects_upstream(harm->kind) &&
             soak_affects_upstream(other->kind)) ||
            (harm->kind <= SOAK_FREEZE_ENTRY &&
             other->kind <= SOAK_FREEZE_ENTRY)) {
            return false;
        }
    }
    // A disk is lost only when the one before is filled again.
    return harm->kind != SOAK_LOSE_DISK ||
           (platform_rig_is_settled(0) && platform_rig_is_settled(1) &&
            platform_rig_is_settled(2));
}

static void
soak_try_fault(struct soak_fault *harm)
{
    harm->kind = (enum soak_fault_kind)soak_random_below(SOAK_FAULT_KINDS);
    harm->target = (int)soak_random_below(harm->kind <= SOAK_FREEZE_ENTRY
                                              ? (uint32_t)rig.entries_count
                                              : (uint32_t)RIG_CONTROLS);
    harm->until_us = monotonic_get_us() + soak_random_below(SOAK_MAX_FAULT_US);
    if (soak_can_start_fault(harm)) {
        soak_start_fault(harm);
    }
}

static void
soak_run_faults(int64_t end_us)
{
    int64_t next_us = 0;

    while (monotonic_get_us() < end_us) {
        int64_t now_us = monotonic_get_us();
        for (size_t i = 0; i < SOAK_MAX_FAULTS; i++) {
            struct soak_fault *harm = &soak.harms[i];
            if (harm->lasts && now_us >= harm->until_us) {
                soak_end_fault(harm);
            }
            else if (!harm->lasts && now_us >= next_us) {
                soak_try_fault(harm);
                next_us =
                    monotonic_get_us() + soak_random_below(SOAK_MAX_PAUSE_US);
            }
        }
        (void)soak_check_config((int)soak_random_below(RIG_CONTROLS));
        usleep(SOAK_STEP_US);
    }
    for (size_t i = 0; i < SOAK_MAX_FAULTS; i++) {
        if (soak.harms[i].lasts) {
            soak_end_fault(&soak.harms[i]);
        }
    }
}

// ---- the run ----

// After the harms all must serve again: each entry saves, and each control VM
// gives the configuration.
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
                buffer_append_format(&soak.faults,
                                     "control %d gives no configuration\n", i);
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
    char *body = soak_make_config(soak.accepted = soak.tried = 1);
    platform_rig_wait_config(0, body);
    free(body);
    soak_check_recovery();
    soak.began_us = monotonic_get_us();
    struct callers *callers = callers_start(SOAK_CALLERS, soak.seed);
    soak_run_faults(soak.began_us + (int64_t)(soak.minutes * SOAK_US_PER_MIN));
    soak_check_recovery();
    callers_stop(callers);
    callers_check(callers, &soak.faults);
    if (platform_get_protocol_errors(rig.platform) != 0) {
        buffer_append_format(&soak.faults,
                             "%d statements ran with foreign state\n",
                             platform_get_protocol_errors(rig.platform));
    }
    soak_report(callers);
    callers_destroy(callers);
    buffer_append_u8(&soak.faults, 0);
    const char *faults = (const char *)buffer_get_data(&soak.faults);
    ck_assert_msg(faults[0] == '\0', "seed %" PRIu64 ", logs in %s:\n%s",
                  soak.seed, rig.folder, faults);
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
    {.name = "seed", .key = 's', .arg = "N", .doc = "which harms, and when"},
    {.name = "minutes", .key = 'm', .arg = "M", .doc = "for how long"},
    {.name = "verbose", .key = 'v', .doc = "tell each harm"},
    {0},
};

int
main(int argc, char **argv)
{
    const struct argp argp = {.options = soak_options,
                              .parser = soak_parse,
                              .doc = "Does harm to real daemons and checks "
                                     "what their callers are told."};
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
