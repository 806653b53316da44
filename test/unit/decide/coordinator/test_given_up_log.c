// Logs that a promotion gave up, under random disturbances.

#include <check.h>
#include <inttypes.h>
#include <stdlib.h>

#include "test/rig/history_rig.h"
#include "test/suite.h"

// HISTORY_SEEDS in the environment overrides it, HISTORY_FIRST_SEED the first
// one.
#define SEEDS          600
#define LONG_TIMEOUT_S 3600

static uint64_t
get_number(const char *name, uint64_t standard)
{
    const char *text = getenv(name);

    return text == NULL ? standard : strtoull(text, NULL, 10);
}

static void
print_day(const struct history_day *failed)
{
    struct history_day day = *failed;
    size_t left = history_shrink(&day);

    day.trace = stderr;
    (void)fprintf(stderr, "seed %" PRIu64 ", %zu of %zu events:\n", day.seed,
                  left, day.events_count);
    history_play(&day);
}

// Guards against the return of commits that a promotion gave up.
START_TEST(test_given_up_log_is_not_promoted)
{
    uint64_t seeds = get_number("HISTORY_SEEDS", SEEDS);
    uint64_t first = get_number("HISTORY_FIRST_SEED", 1);
    size_t failed = 0;

    for (uint64_t seed = first; seed < first + seeds; seed++) {
        struct history_day day = {.seed = seed, .judges_logs = true};
        history_play(&day);
        if (day.fault != HISTORY_FAULT_NONE) {
            (void)fprintf(stderr, "seed %" PRIu64 " at %.3f: %s\n", seed,
                          (double)day.fault_us / 1e6, day.text);
            failed++;
            if (failed == 1) {
                print_day(&day);
            }
        }
    }
    ck_assert_uint_eq(failed, 0);
}
END_TEST

static void
add_tests(TCase *tests)
{
    if (getenv("HISTORY_SEEDS") != NULL) {
        tcase_set_timeout(tests, LONG_TIMEOUT_S);
    }
    tcase_add_test(tests, test_given_up_log_is_not_promoted);
}

TEST_MAIN("given_up_log", add_tests)
