// Logs that a promotion gave up, under random disturbances.

#include <check.h>
#include <inttypes.h>
#include <stdlib.h>

#include "test/rig/history_rig.h"
#include "test/rig/promotion_rig.h"
#include "test/suite.h"

// HISTORY_SEEDS in the environment overrides it, HISTORY_FIRST_SEED the first
// one.
#define SEEDS          600
#define LONG_TIMEOUT_S 3600
#define S_US           INT64_C(1000000)
// Far more than the time for which an upstream that is lost is waited for.
#define AWAITED_US (300 * S_US)

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

// Guards against a database that gets no primary for good: the upstream with
// the newest log announces itself, but control can't reach it, and the log of
// the only one that answers was given up in part.
START_TEST(test_unreachable_newest_log_is_not_awaited_for_good)
{
    struct promotion_rig rig;

    promotion_rig_start(&rig, 0);
    rig.counts_terms = true;
    rig.promotion_us = S_US / 4;
    rig.upstreams[0].lsn = 260;
    rig.upstreams[1].lsn = 250;
    rig.upstreams[2].lsn = 200;
    promotion_rig_lose_primary(&rig);
    promotion_rig_run(&rig, 10 * S_US);
    ck_assert_str_eq(promotion_rig_get_database(&rig)->primary, "u1");
    rig.upstreams[0].is_silent = false;
    rig.upstreams[0].is_primary = false;
    rig.upstreams[1].is_cut = true;
    rig.upstreams[2].is_silent = true;
    promotion_rig_supersede(&rig);
    promotion_rig_run(&rig, AWAITED_US);
    ck_assert(!promotion_rig_get_database(&rig)->superseding);
    promotion_rig_finish(&rig);
}
END_TEST

static void
add_tests(TCase *tests)
{
    if (getenv("HISTORY_SEEDS") != NULL) {
        tcase_set_timeout(tests, LONG_TIMEOUT_S);
    }
    tcase_add_test(tests, test_given_up_log_is_not_promoted);
    tcase_add_test(tests, test_unreachable_newest_log_is_not_awaited_for_good);
}

TEST_MAIN("given_up_log", add_tests)
