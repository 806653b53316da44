#include "catkingrade/decide/traffic/concurrency.h"

#include <check.h>

#include "catkingrade/kernel/memory.h"
#include "test/suite.h"

#define LIMIT_MAX 30
#define MS_US     INT64_C(1000)
#define START_US  INT64_C(1000000)

START_TEST(test_unlimited_until_a_rejection)
{
    struct concurrency concurrency = {0};

    ck_assert_uint_eq(concurrency_get_limit(&concurrency, LIMIT_MAX),
                      LIMIT_MAX);
    concurrency_record_success(&concurrency, LIMIT_MAX);
    ck_assert_uint_eq(concurrency_get_limit(&concurrency, LIMIT_MAX),
                      LIMIT_MAX);
    concurrency_record_rejection(&concurrency, START_US, 19);
    ck_assert_uint_eq(concurrency_get_limit(&concurrency, LIMIT_MAX),
                      14); // 0.7 of 20
    ck_assert_uint_eq(concurrency_get_limit(&concurrency, 10), 10);
}
END_TEST

START_TEST(test_burst_of_rejections_decreases_once)
{
    struct concurrency concurrency = {0};

    for (int i = 0; i < 20; i++) {
        concurrency_record_rejection(&concurrency, START_US + i * MS_US, 19);
    }
    ck_assert_uint_eq(concurrency_get_limit(&concurrency, LIMIT_MAX), 14);
    concurrency_record_rejection(&concurrency, START_US + 50 * MS_US, 13);
    ck_assert_uint_eq(concurrency_get_limit(&concurrency, LIMIT_MAX),
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
    ck_assert_uint_eq(concurrency_get_limit(&concurrency, LIMIT_MAX), 1);
}
END_TEST

START_TEST(test_answers_raise_the_limit)
{
    struct concurrency concurrency = {0};
    uint32_t before = 0;
    unsigned answers = 0;

    concurrency_record_rejection(&concurrency, START_US, 0);
    while (concurrency_get_limit(&concurrency, LIMIT_MAX) < LIMIT_MAX) {
        uint32_t now = concurrency_get_limit(&concurrency, LIMIT_MAX);
        ck_assert_uint_ge(now, before);
        ck_assert_uint_le(now, before + 1);
        before = now;
        concurrency_record_success(&concurrency, LIMIT_MAX);
        answers++;
        ck_assert_uint_lt(answers, 10000);
    }
    // The limit grows by a quarter of a statement per round of answers.
    ck_assert_uint_gt(answers, LIMIT_MAX * LIMIT_MAX);
}
END_TEST

#define ENTRIES     7
#define SLOTS       5  // of the simulated upstream
#define QUEUE_LIMIT 16 // of the upstream, behind its slots
#define SERVICE_MS  30
#define SIM_STEP_MS 1
#define SIM_RUN_MS  20000

// Simulation of several entries that share one upstream.
struct sim {
    struct concurrency limits[ENTRIES];
    uint32_t running[ENTRIES]; // statements of each entry at the upstream
    uint32_t entry_of[SLOTS + QUEUE_LIMIT];
    uint32_t waiting; // statements at the upstream; the first SLOTS run
    unsigned refused;
    unsigned accepted;
};

// Each entry sends one statement if its limit allows; it always has more to
// send.
static void
sim_send(struct sim *sim, int64_t now_us)
{
    for (uint32_t i = 0; i < ENTRIES; i++) {
        struct concurrency *limit = &sim->limits[i];
        if (sim->running[i] >= concurrency_get_limit(limit, LIMIT_MAX)) {
            continue;
        }
        if (sim->waiting == SLOTS + QUEUE_LIMIT) {
            sim->refused++;
            concurrency_record_rejection(limit, now_us, sim->running[i]);
            continue;
        }
        sim->entry_of[sim->waiting++] = i;
        sim->running[i]++;
        sim->accepted++;
    }
}

// All statements in the slots of the upstream end at once.
static void
sim_answer(struct sim *sim)
{
    uint32_t served = sim->waiting < SLOTS ? sim->waiting : SLOTS;

    for (uint32_t i = 0; i < served; i++) {
        uint32_t entry = sim->entry_of[i];
        sim->running[entry]--;
        concurrency_record_success(&sim->limits[entry], LIMIT_MAX);
    }
    for (uint32_t i = served; i < sim->waiting; i++) {
        sim->entry_of[i - served] = sim->entry_of[i];
    }
    sim->waiting -= served;
}

// Entries with more load than an upstream can serve keep it busy, and the
// upstream rejects few of their statements.
START_TEST(test_simulated_overload)
{
    struct sim sim = {0};

    for (int ms = SIM_STEP_MS; ms <= SIM_RUN_MS; ms += SIM_STEP_MS) {
        sim_send(&sim, START_US + ms * MS_US);
        if (ms % SERVICE_MS == 0) {
            sim_answer(&sim);
        }
    }
    unsigned served = sim.accepted - sim.waiting;
    ck_assert_uint_ge(served, SIM_RUN_MS / SERVICE_MS * SLOTS * 95 / 100);
    ck_assert_uint_le(sim.refused, sim.accepted / 5);
    for (uint32_t i = 0; i < ENTRIES; i++) {
        ck_assert_uint_ge(concurrency_get_limit(&sim.limits[i], LIMIT_MAX), 1);
    }
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_unlimited_until_a_rejection);
    tcase_add_test(tests, test_burst_of_rejections_decreases_once);
    tcase_add_test(tests, test_one_statement_is_always_allowed);
    tcase_add_test(tests, test_answers_raise_the_limit);
    tcase_add_test(tests, test_simulated_overload);
}

TEST_MAIN("concurrency", add_tests)
