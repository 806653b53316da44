#include <argp.h>
#include <check.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "catkingrade/decide/random.h"
#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/memory.h"
#include "soak/caller.h"
#include "soak/checks.h"
#include "soak/config.h"
#include "soak/entries.h"
#include "soak/events.h"
#include "soak/faults.h"
#include "soak/series.h"
#include "test/rig/platform_rig.h"

// Fault injection test of the real daemons against a fake platform. A seed
// determines which faults are injected and which planned work is done, and
// when. Meanwhile callers save and read, and the test checks that no
// acknowledged save or configuration is lost, that planned work costs no
// answer, that no request reaches an upstream after its time, and that all
// daemons serve again after the faults.
//
// Guards against failures that need a combination: a second fault occurs
// before the system has recovered from the first, or planned work overlaps.
//
// A seed that divides by 3 has planned work only. One with remainder 1 has
// unplanned faults all the time, one with remainder 2 has them at times.

#define SOAK_CALL_TIMEOUT_MS     3000
#define SOAK_CALLERS             12
#define SOAK_STEP_US             10000
#define SOAK_RECOVERY_TIMEOUT_US 30000000
#define SOAK_US_PER_MIN          60000000.0
#define SOAK_MODES               3
// Times with and without unplanned faults, in turn.
#define SOAK_MIN_FAULTY_US 2000000
#define SOAK_MAX_FAULTY_US 8000000
#define SOAK_MIN_CALM_US   10000000
#define SOAK_MAX_CALM_US   18000000
// switchover_ms is the time for which a leaving upstream serves, as in
// test/rig/announcer.h.
#define SOAK_SETTINGS ",\"relay_min_connections\": 2,\"switchover_ms\": 7000"

enum soak_mode {
    SOAK_PLANNED,
    SOAK_FAULTY,
    SOAK_MIXED,
};

struct soak {
    uint64_t seed;
    double minutes;
    bool verbose;
    uint64_t random; // of the times with and without faults
    bool is_faulty;  // unplanned faults may begin
    int64_t turn_us; // end of the time with or without faults
};

static struct soak soak = {.seed = 1, .minutes = 1};

// Returns the settings in milliseconds of a file in the folder deploy, which
// has each on a line of its own, except those that the platform fills in. The
// caller frees the text.
static char *
soak_read_timings(const char *name)
{
    struct buffer timings = {0};
    char *path = xasprintf("%s/deploy/%s", SOAK_SOURCE_DIR, name);
    char *text = process_read_file(path);
    char *rest = NULL;

    for (char *line = strtok_r(text, "\n", &rest); line != NULL;
         line = strtok_r(NULL, "\n", &rest)) {
        size_t size = strcspn(line, ",");
        if (strstr(line, "_ms\": ") != NULL && strstr(line, "{{") == NULL) {
            buffer_append_format(&timings, "%s%.*s",
                                 buffer_get_size(&timings) == 0 ? "" : ",",
                                 (int)size, line);
        }
    }
    buffer_append_u8(&timings, 0);
    free(text);
    free(path);
    return (char *)timings.data;
}

// Changes between times with and without unplanned faults.
static void
soak_take_turn(int64_t now_us)
{
    uint32_t min_us = SOAK_MIN_CALM_US;
    uint32_t max_us = SOAK_MAX_CALM_US;

    if (soak.seed % SOAK_MODES != SOAK_MIXED) {
        soak.is_faulty = soak.seed % SOAK_MODES == SOAK_FAULTY;
        return;
    }
    if (now_us < soak.turn_us) {
        return;
    }
    soak.is_faulty = !soak.is_faulty;
    if (soak.is_faulty) {
        min_us = SOAK_MIN_FAULTY_US;
        max_us = SOAK_MAX_FAULTY_US;
    }
    soak.turn_us =
        now_us + min_us + random_below(&soak.random, max_us - min_us);
}

// Injects faults and does planned work until end_us, then ends both.
static void
soak_run_faults(int64_t end_us)
{
    while (monotonic_get_us() < end_us) {
        soak_take_turn(monotonic_get_us());
        series_step(soak.is_faulty);
        faults_step(soak.is_faulty);
        entries_step();
        usleep(SOAK_STEP_US);
    }
    faults_finish();
    entries_finish();
    series_finish();
}

// Waits until each entry acknowledges a save on the route of the primary of
// each database.
static void
soak_check_entries(void)
{
    for (int i = 0; i < rig.entries_count * rig.databases_count; i++) {
        char route[32] = "current";
        int database = i % rig.databases_count;
        if (database > 0) {
            (void)snprintf(route, sizeof(route), "current%d", database);
        }
        close(platform_rig_wait_answer(i / rig.databases_count, route,
                                       "QUERY z WRITE z z", "COMPLETE"));
    }
}

// Waits until each control VM returns a configuration.
static void
soak_check_controls(void)
{
    int64_t limit_us = monotonic_get_us() + SOAK_RECOVERY_TIMEOUT_US;

    for (int i = 0; i < RIG_CONTROLS; i++) {
        while (!config_check(i)) {
            if (monotonic_get_us() > limit_us) {
                events_fail("control %d returned no configuration", i);
                break;
            }
            usleep(SOAK_STEP_US);
        }
    }
}

static void
soak_check_databases(void)
{
    for (int i = 0; i < rig.databases_count; i++) {
        int errors = platform_get_protocol_errors(rig.platforms[i]);
        if (errors != 0) {
            events_fail("database %d: %d statements ran outside their "
                        "transaction or with state of another session",
                        i, errors);
        }
    }
}

static void
soak_report(const struct callers *callers)
{
    (void)printf("seed %" PRIu64 ", %.2f minutes, %" PRIu64
                 " saves, %d connections cut;",
                 soak.seed, soak.minutes, callers_count_saves(callers),
                 checks_count_cuts());
    checks_print();
    faults_print();
    (void)printf(
        " stops in turn %u, reloads %u, upstreams replaced %u, "
        "freezes in turn %u\n",
        series_get_count(SERIES_STOPS), series_get_count(SERIES_RELOADS),
        series_get_count(SERIES_CHANGES), series_get_count(SERIES_FREEZES));
    (void)fflush(stdout);
}

static void
soak_start_rig(void)
{
    char name[64];
    struct platform_rig_options options = {
        .entries = RIG_ENTRIES,
        .databases = RIG_DATABASES,
        .control_extra = SOAK_SETTINGS,
        .entry_timings = soak_read_timings("entry.json"),
        .control_timings = soak_read_timings("control.json"),
        .call_timeout_ms = SOAK_CALL_TIMEOUT_MS,
    };

    (void)snprintf(name, sizeof(name), "soak_%" PRIu64, soak.seed);
    platform_rig_start_with(name, &options);
    events_start(rig.folder, soak.verbose);
    faults_start(soak.seed);
}

START_TEST(soak_run)
{
    soak.random = soak.seed;
    soak_start_rig();
    config_start(soak.seed);
    soak_check_entries();
    series_start(soak.seed);
    struct callers *callers = callers_start(SOAK_CALLERS, soak.seed);
    soak_run_faults(monotonic_get_us() +
                    (int64_t)(soak.minutes * SOAK_US_PER_MIN));
    config_stop();
    soak_check_entries();
    soak_check_controls();
    callers_stop(callers);
    callers_check(callers);
    checks_run();
    soak_check_databases();
    soak_report(callers);
    callers_destroy(callers);
    const char *failures = events_get_failures();
    (void)fputs(failures, stdout);
    (void)fflush(stdout);
    ck_assert_msg(failures[0] == '\0', "seed %" PRIu64 ", logs in %s",
                  soak.seed, rig.folder);
    platform_rig_stop();
    faults_stop();
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
