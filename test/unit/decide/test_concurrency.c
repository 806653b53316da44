#include "catkingrade/decide/concurrency.h"

#include <check.h>

#include "catkingrade/kernel/memory.h"
#include "test/suite.h"

#define MOST     30
#define MS_US    INT64_C(1000)
#define START_US INT64_C(1000000)

START_TEST(test_limits_only_after_a_refusal)
{
    struct concurrency concurrency = {0};

    ck_assert_uint_eq(concurrency_get_limit(&concurrency, MOST), MOST);
    concurrency_record_success(&concurrency, MOST);
    ck_assert_uint_eq(concurrency_get_limit(&concurrency, MOST), MOST);
    concurrency_record_rejection(&concurrency, START_US, 19);
    ck_assert_uint_eq(concurrency_get_limit(&concurrency, MOST),
                      14); // 0.7 of 20
    ck_assert_uint_eq(concurrency_get_limit(&concurrency, 10), 10);
}
END_TEST

START_TEST(test_refusals_of_one_moment_count_once)
{
    struct concurrency concurrency = {0};

    for (int i = 0; i < 20; i++) {
        concurrency_record_rejection(&concurrency, START_US + i * MS_US, 19);
    }
    ck_assert_uint_eq(concurrency_get_limit(&concurrency, MOST), 14);
    concurrency_record_rejection(&concurrency, START_US + 50 * MS_US, 13);
    ck_assert_uint_eq(concurrency_get_limit(&concurrency, MOST),
                      9); // 0.7 of 14
}
END_TEST

START_TEST(test_one_statement_is_always_allowed)
{
    struct concurrency concurrency = {0};

    for (int i = 0; i < 100; i++) {
        concurrency_record_rejection(&concurrency, START_US + i * 60 * MS_US,
                                     0);
    }
    ck_assert_uint_eq(concurrency_get_limit(&concurrency, MOST), 1);
}
END_TEST

START_TEST(test_answers_lift_the_limit)
{
    struct concurrency concurrency = {0};
    uint32_t before = 0;
    unsigned answers = 0;

    concurrency_record_rejection(&concurrency, START_US, 0);
    while (concurrency_get_limit(&concurrency, MOST) < MOST) {
        uint32_t now = concurrency_get_limit(&concurrency, MOST);
        ck_assert_uint_ge(now, before);
        ck_assert_uint_le(now, before + 1);
        before = now;
        concurrency_record_success(&concurrency, MOST);
        answers++;
        ck_assert_uint_lt(answers, 10000);
    }
    // Slowly: a quarter of a statement for each round of answers.
    ck_assert_uint_gt(answers, MOST * MOST);
}
END_TEST

#define ENTRIES    7
#define SLOTS      5  // of the played upstream
#define QUEUE      16 // its own, behind the slots
#define SERVICE_MS 30
#define STEP_MS    1
#define PLAY_MS    20000

struct played {
    struct concurrency limits[ENTRIES];
    uint32_t running[ENTRIES]; // at the upstream, as its entry sees it
    uint32_t entry_of[SLOTS + QUEUE];
    uint32_t waiting; // all at the upstream, the first SLOTS of them served
    unsigned refused;
    unsigned accepted;
};

// Each entry sends all that its limit allows; there is always more to send.
static void
play_arrivals(struct played *played, int64_t now_us)
{
    for (uint32_t i = 0; i < ENTRIES; i++) {
        struct concurrency *limit = &played->limits[i];
        if (played->running[i] >= concurrency_get_limit(limit, MOST)) {
            continue;
        }
        if (played->waiting == SLOTS + QUEUE) {
            played->refused++;
            concurrency_record_rejection(limit, now_us, played->running[i]);
            continue;
        }
        played->entry_of[played->waiting++] = i;
        played->running[i]++;
        played->accepted++;
    }
}

// All slots end together.
static void
play_answers(struct played *played)
{
    uint32_t served = played->waiting < SLOTS ? played->waiting : SLOTS;

    for (uint32_t i = 0; i < served; i++) {
        uint32_t entry = played->entry_of[i];
        played->running[entry]--;
        concurrency_record_success(&played->limits[entry], MOST);
    }
    for (uint32_t i = served; i < played->waiting; i++) {
        played->entry_of[i - served] = played->entry_of[i];
    }
    played->waiting -= served;
}

// Entries with more work than an upstream can do keep it busy, and few of
// their statements are refused by it.
START_TEST(test_played_overload)
{
    struct played played = {0};

    for (int ms = STEP_MS; ms <= PLAY_MS; ms += STEP_MS) {
        play_arrivals(&played, START_US + ms * MS_US);
        if (ms % SERVICE_MS == 0) {
            play_answers(&played);
        }
    }
    unsigned served = played.accepted - played.waiting;
    ck_assert_uint_ge(served, PLAY_MS / SERVICE_MS * SLOTS * 95 / 100);
    ck_assert_uint_le(played.refused, played.accepted / 5);
    for (uint32_t i = 0; i < ENTRIES; i++) {
        ck_assert_uint_ge(concurrency_get_limit(&played.limits[i], MOST), 1);
    }
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_limits_only_after_a_refusal);
    tcase_add_test(tests, test_refusals_of_one_moment_count_once);
    tcase_add_test(tests, test_one_statement_is_always_allowed);
    tcase_add_test(tests, test_answers_lift_the_limit);
    tcase_add_test(tests, test_played_overload);
}

TEST_MAIN("concurrency", add_tests)
