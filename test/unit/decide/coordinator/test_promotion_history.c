// Changes of primary under random disturbances, judged by what the platform
// has carried out and what entries have acknowledged.

#include <check.h>
#include <inttypes.h>
#include <stdlib.h>

#include "test/rig/history_rig.h"
#include "test/suite.h"

// HISTORY_SEEDS in the environment overrides it, HISTORY_FIRST_SEED the first
// one.
#define SEEDS          600
#define LONG_TIMEOUT_S 3600
// A day on which nothing is acknowledged or promoted shows nothing.
#define LEAST_COMMITS_A_DAY    1000
#define LEAST_PROMOTED_PERCENT 50

struct found {
    size_t count;
    uint64_t seed; // first one
};

static uint64_t
get_number(const char *name, uint64_t standard)
{
    const char *text = getenv(name);

    return text == NULL ? standard : strtoull(text, NULL, 10);
}

// Prints the time line of a seed that fails, with as few events as show the
// same fault.
static void
print_day(uint64_t seed)
{
    struct history_day day = {.seed = seed};

    history_play(&day);
    size_t left = history_shrink(&day);
    day.trace = stderr;
    (void)fprintf(stderr, "seed %" PRIu64 ", %s, %zu of %zu events:\n", seed,
                  history_get_fault_name(day.fault), left, day.events_count);
    history_play(&day);
}

static void
print_found(const struct found *found, uint64_t seeds)
{
    for (int i = HISTORY_FAULT_NONE + 1; i < HISTORY_FAULTS_COUNT; i++) {
        if (found[i].count > 0) {
            (void)fprintf(stderr, "%s: %zu of %" PRIu64 " seeds\n",
                          history_get_fault_name((enum history_fault)i),
                          found[i].count, seeds);
            print_day(found[i].seed);
        }
    }
}

// Guards against two upstreams that acknowledge commits at a time, and against
// a database that stays without a primary.
START_TEST(test_one_primary_under_disturbances)
{
    uint64_t seeds = get_number("HISTORY_SEEDS", SEEDS);
    uint64_t first = get_number("HISTORY_FIRST_SEED", 1);
    struct found found[HISTORY_FAULTS_COUNT] = {0};
    size_t commits = 0;
    size_t promoted = 0;

    for (uint64_t seed = first; seed < first + seeds; seed++) {
        struct history_day day = {.seed = seed};
        history_play(&day);
        commits += day.commits_count;
        promoted += day.promotions_count > 0 ? 1 : 0;
        if (found[day.fault].count == 0) {
            found[day.fault].seed = seed;
        }
        if (day.fault != HISTORY_FAULT_NONE) {
            (void)fprintf(stderr, "seed %" PRIu64 ", %s at %.3f: %s\n", seed,
                          history_get_fault_name(day.fault),
                          (double)day.fault_us / 1e6, day.text);
        }
        found[day.fault].count++;
    }
    print_found(found, seeds);
    ck_assert_uint_eq(found[HISTORY_FAULT_NONE].count, seeds);
    ck_assert_uint_ge(commits, seeds * LEAST_COMMITS_A_DAY);
    ck_assert_uint_ge(100 * promoted, seeds * LEAST_PROMOTED_PERCENT);
}
END_TEST

static void
add_tests(TCase *tests)
{
    if (getenv("HISTORY_SEEDS") != NULL) {
        tcase_set_timeout(tests, LONG_TIMEOUT_S);
    }
    tcase_add_test(tests, test_one_primary_under_disturbances);
}

TEST_MAIN("promotion_history", add_tests)
