#include "catkingrade/decide/capacity/capacity.h"

#include <check.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/random.h"
#include "catkingrade/kernel/memory.h"
#include "test/suite.h"

// Closed-loop upstreams on a virtual clock. An upstream runs `slots`
// statements at once and queues the others in the order of arrival. Each entry
// always has another statement to send and sends as many as its limit allows.

#define MS_US          INT64_C(1000)
#define SECOND_US      INT64_C(1000000)
#define LIMIT_MAX      32 // slots of an entry's quota, wide
#define ENTRIES_MAX    8
#define STATEMENTS_MAX (LIMIT_MAX * ENTRIES_MAX)
#define SAMPLES_MAX    1000000

enum service {
    SERVICE_LOGNORMAL, // a read of 20 ms with the spread of the real ones
    SERVICE_BIMODAL,   // half of the statements take 5 ms, half 50 ms
    SERVICE_MIXED,     // reads of 20 ms, writes and commits of 5 ms
};

struct statement {
    int64_t sent_us;
    int64_t done_us; // INT64_MAX: queued
    uint32_t entry;
    enum capacity_kind kind;
    bool used;
};

struct sim {
    uint64_t random;
    enum service service;
    uint32_t slots;
    uint32_t entries;
    uint32_t fixed_limit; // of each entry; 0: the estimator's
    double speed;         // factor of the service times
    int64_t now_us;
    struct capacity capacity[ENTRIES_MAX];
    uint32_t running[ENTRIES_MAX];
    struct statement statements[STATEMENTS_MAX];
    uint32_t serving;
    uint64_t answered;
    uint64_t slow_changes;
    int64_t *latencies_us;
    size_t latencies_count;
};

static struct sim sim;

static double
draw_uniform(void)
{
    return ((double)(random_next(&sim.random) >> 11) + 0.5) / 9007199254740992;
}

static double
draw_normal(void)
{
    return sqrt(-2 * log(draw_uniform())) *
           cos(2 * 3.14159265358979 * draw_uniform());
}

static int64_t
draw_service_us(enum capacity_kind kind)
{
    double us = kind == CAPACITY_KIND_READ ? 20000 : 5000;

    if (sim.service == SERVICE_BIMODAL) {
        us = draw_uniform() < 0.5 ? 5000 : 50000;
        us *= exp(0.1 * draw_normal());
    }
    else {
        us *= exp(0.7 * draw_normal());
        us *= draw_uniform() < 0.01 ? 5 : 1;
    }
    return (int64_t)(us * sim.speed) + 1;
}

static enum capacity_kind
draw_kind(void)
{
    if (sim.service != SERVICE_MIXED) {
        return CAPACITY_KIND_READ;
    }
    return (enum capacity_kind)random_below(&sim.random, CAPACITY_KIND_COUNT);
}

static void
sim_init(enum service service, uint32_t slots, uint32_t entries, uint64_t seed)
{
    free(sim.latencies_us);
    memset(&sim, 0, sizeof(sim));
    sim.random = seed;
    sim.service = service;
    sim.slots = slots;
    sim.entries = entries;
    sim.speed = 1;
    sim.now_us = SECOND_US;
    sim.latencies_us = xcalloc(SAMPLES_MAX, sizeof(*sim.latencies_us));
}

// Moves statements from the queue of the upstream, oldest first, to its slots.
static void
sim_serve(void)
{
    while (sim.serving < sim.slots) {
        struct statement *oldest = NULL;
        for (size_t i = 0; i < STATEMENTS_MAX; i++) {
            struct statement *statement = &sim.statements[i];
            if (statement->used && statement->done_us == INT64_MAX &&
                (oldest == NULL || statement->sent_us < oldest->sent_us)) {
                oldest = statement;
            }
        }
        if (oldest == NULL) {
            return;
        }
        oldest->done_us = sim.now_us + draw_service_us(oldest->kind);
        sim.serving++;
    }
}

static void
sim_send(uint32_t entry)
{
    for (size_t i = 0; i < STATEMENTS_MAX; i++) {
        struct statement *statement = &sim.statements[i];
        if (!statement->used) {
            *statement = (struct statement){.used = true,
                                            .entry = entry,
                                            .sent_us = sim.now_us,
                                            .done_us = INT64_MAX,
                                            .kind = draw_kind()};
            sim.running[entry]++;
            return;
        }
    }
    ck_abort();
}

static void
sim_answer(struct statement *statement)
{
    struct capacity *capacity = &sim.capacity[statement->entry];
    int64_t took_us = sim.now_us - statement->sent_us;
    bool was_slow = capacity_is_slow(capacity);

    capacity_record_answer(capacity, sim.now_us, statement->kind, took_us,
                           sim.running[statement->entry], LIMIT_MAX, 0);
    sim.slow_changes += capacity_is_slow(capacity) != was_slow;
    sim.running[statement->entry]--;
    sim.serving--;
    statement->used = false;
    sim.answered++;
    if (sim.latencies_count < SAMPLES_MAX) {
        sim.latencies_us[sim.latencies_count++] = took_us;
    }
}

static uint32_t
sim_get_limit(uint32_t entry)
{
    return sim.fixed_limit != 0
               ? sim.fixed_limit
               : capacity_get_limit(&sim.capacity[entry], LIMIT_MAX);
}

// Runs the loop for a time. Statements start in steps of 1 ms and end at their
// own times.
static void
sim_run(int64_t duration_us)
{
    int64_t until_us = sim.now_us + duration_us;

    while (sim.now_us < until_us) {
        for (uint32_t entry = 0; entry < sim.entries; entry++) {
            while (sim.running[entry] < sim_get_limit(entry)) {
                sim_send(entry);
            }
        }
        sim_serve();
        struct statement *next = NULL;
        for (size_t i = 0; i < STATEMENTS_MAX; i++) {
            struct statement *statement = &sim.statements[i];
            if (statement->used &&
                (next == NULL || statement->done_us < next->done_us)) {
                next = statement;
            }
        }
        sim.now_us = next->done_us;
        sim_answer(next);
    }
}

static void
sim_clear_results(void)
{
    sim.answered = 0;
    sim.latencies_count = 0;
}

static int
compare_latencies(const void *a, const void *b)
{
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;

    return left < right ? -1 : left > right;
}

static int64_t
sim_get_p99_us(void)
{
    qsort(sim.latencies_us, sim.latencies_count, sizeof(*sim.latencies_us),
          compare_latencies);
    return sim.latencies_us[sim.latencies_count * 99 / 100];
}

struct loop_case {
    enum service service;
    uint32_t slots;
    uint32_t entries;
};

static const struct loop_case loop_cases[] = {
    {SERVICE_LOGNORMAL, 2, 1},  {SERVICE_LOGNORMAL, 4, 1},
    {SERVICE_LOGNORMAL, 12, 1}, {SERVICE_MIXED, 4, 1},
    {SERVICE_MIXED, 12, 1},     {SERVICE_BIMODAL, 4, 1},
    {SERVICE_BIMODAL, 12, 1},   {SERVICE_LOGNORMAL, 8, 4},
    {SERVICE_MIXED, 16, 4},     {SERVICE_LOGNORMAL, 16, 7},
};

#define LOOP_CASES ((int)(sizeof(loop_cases) / sizeof(loop_cases[0])))

// Guards against a limit that is far below or above what the upstream can run:
// the throughput is at least 0.9 and the 99th percentile of the latency at
// most 1.5 times that of a single entry which knows the number of slots.
START_TEST(test_finds_the_knee)
{
    const struct loop_case *row = &loop_cases[_i];

    sim_init(row->service, row->slots, 1, 11);
    sim.fixed_limit = row->slots;
    sim_run(60 * SECOND_US);
    double best = (double)sim.answered;
    int64_t best_p99_us = sim_get_p99_us();
    sim_init(row->service, row->slots, row->entries, 12);
    sim_run(20 * SECOND_US);
    sim_clear_results();
    sim_run(60 * SECOND_US);
    double answered = (double)sim.answered;
    int64_t p99_us = sim_get_p99_us();
    ck_assert_msg(answered >= 0.9 * best, "case %d: throughput %.3f of best",
                  _i, answered / best);
    ck_assert_msg((double)p99_us <= 1.5 * (double)best_p99_us,
                  "case %d: p99 %.3f times the best", _i,
                  (double)p99_us / (double)best_p99_us);
}
END_TEST

static const double speeds[] = {1.5, 2, 3, 6, 0.5};

#define SPEEDS ((int)(sizeof(speeds) / sizeof(speeds[0])))

// Guards against a base latency that never follows: after a lasting change of
// the speed the limit is right again.
START_TEST(test_follows_a_change_of_speed)
{
    sim_init(SERVICE_LOGNORMAL, 4, 1, 11);
    sim.fixed_limit = 4;
    sim.speed = speeds[_i];
    sim_run(30 * SECOND_US);
    double best = (double)sim.answered;
    int64_t best_p99_us = sim_get_p99_us();
    sim_init(SERVICE_LOGNORMAL, 4, 1, 12);
    sim_run(20 * SECOND_US);
    sim.speed = speeds[_i];
    sim_run(40 * SECOND_US);
    sim_clear_results();
    sim_run(30 * SECOND_US);
    double answered = (double)sim.answered;
    int64_t p99_us = sim_get_p99_us();
    ck_assert_msg(answered >= 0.9 * best, "throughput %.3f of best",
                  answered / best);
    ck_assert_msg((double)p99_us <= 1.5 * (double)best_p99_us,
                  "p99 %.3f times the best",
                  (double)p99_us / (double)best_p99_us);
}
END_TEST

// Guards against a limit that stays low after a spike: all statements in
// flight are delayed by 200 ms once, and the throughput of the next 5 s is at
// least 0.9 of the best possible.
START_TEST(test_spike)
{
    double answered = 0;
    double best = 0;

    for (uint64_t seed = 1; seed <= 10; seed++) {
        for (int fixed = 0; fixed < 2; fixed++) {
            sim_init(SERVICE_LOGNORMAL, 4, 1, seed);
            sim.fixed_limit = fixed == 1 ? 4 : 0;
            sim_run(20 * SECOND_US);
            for (size_t i = 0; i < STATEMENTS_MAX; i++) {
                if (sim.statements[i].used &&
                    sim.statements[i].done_us != INT64_MAX) {
                    sim.statements[i].done_us += 200 * MS_US;
                }
            }
            sim_clear_results();
            sim_run(5 * SECOND_US);
            *(fixed == 1 ? &best : &answered) += (double)sim.answered;
        }
    }
    ck_assert_msg(answered >= 0.9 * best, "throughput %.3f of best",
                  answered / best);
}
END_TEST

static const int64_t kind_us[CAPACITY_KIND_COUNT] = {20 * MS_US, 5 * MS_US,
                                                     4 * MS_US};

// Records `count` answers of the kinds of SERVICE_MIXED in turn, one each
// 20 ms. The spread of the latencies is that of the real ones.
static void
record(struct capacity *capacity, int64_t *now_us, int count, double speed)
{
    for (int i = 0; i < count; i++) {
        enum capacity_kind kind = (enum capacity_kind)(i % 3);
        double us = (double)kind_us[kind] * exp(0.7 * draw_normal()) * speed;
        *now_us += 20 * MS_US;
        capacity_record_answer(capacity, *now_us, kind, (int64_t)us, 1,
                               LIMIT_MAX, 0);
    }
}

// Guards against a mix of kinds or a single long statement that is taken for a
// slow upstream.
START_TEST(test_single_slow_answer)
{
    for (uint64_t seed = 1; seed <= 100; seed++) {
        struct capacity capacity = {0};
        int64_t now_us = SECOND_US;
        sim.random = seed;
        record(&capacity, &now_us, 600, 1);
        // Writes only after many reads.
        for (int i = 0; i < 50; i++) {
            capacity_record_answer(&capacity, now_us, CAPACITY_KIND_READ,
                                   kind_us[CAPACITY_KIND_READ], 1, LIMIT_MAX,
                                   0);
        }
        ck_assert(!capacity_is_slow(&capacity));
        capacity_record_overdue(&capacity, now_us, 0, 2);
        capacity_record_answer(&capacity, now_us, CAPACITY_KIND_READ,
                               100 * kind_us[CAPACITY_KIND_READ], 1, LIMIT_MAX,
                               2);
        ck_assert(!capacity_is_slow(&capacity));
        ck_assert(!capacity_is_loaded(&capacity, now_us));
    }
}
END_TEST

// Guards against an upstream that is found slow only after many answers, or
// recovers only after many: at 5 times the latency, ten answers are enough in
// 95 of 100 cases, and six good ones.
START_TEST(test_slow_and_recovered)
{
    int found = 0;
    int recovered = 0;

    for (uint64_t seed = 1; seed <= 100; seed++) {
        struct capacity capacity = {0};
        int64_t now_us = SECOND_US;
        sim.random = seed;
        record(&capacity, &now_us, 600, 1);
        for (int i = 0; i < 10 && !capacity_is_slow(&capacity); i++) {
            record(&capacity, &now_us, 1, 5);
        }
        found += capacity_is_slow(&capacity);
        record(&capacity, &now_us, 20, 5);
        for (int i = 0; i < 6 && capacity_is_slow(&capacity); i++) {
            record(&capacity, &now_us, 1, 1);
        }
        recovered += !capacity_is_slow(&capacity);
    }
    ck_assert_msg(found >= 95, "found %d", found);
    ck_assert_msg(recovered >= 95, "recovered %d", recovered);
}
END_TEST

// Guards against hanging statements that are noticed only when they end.
START_TEST(test_overdue_statements_make_slow)
{
    struct capacity capacity = {0};
    int64_t now_us = SECOND_US;
    int64_t base_us = kind_us[CAPACITY_KIND_READ];

    sim.random = 5;
    record(&capacity, &now_us, 600, 1);
    ck_assert_uint_eq(
        capacity_get_overdue(&capacity, CAPACITY_KIND_READ, base_us), 0);
    ck_assert_uint_eq(
        capacity_get_overdue(&capacity, CAPACITY_KIND_READ, 10 * base_us), 2);
    for (int i = 0; i < 6 && !capacity_is_slow(&capacity); i++) {
        capacity_record_overdue(&capacity, now_us, 0, 2);
    }
    ck_assert(capacity_is_slow(&capacity));
}
END_TEST

// Guards against trials that come together or keep the upstream busy.
START_TEST(test_trials_are_spread)
{
    struct capacity capacity = {.slow = true};
    uint64_t random = 1;
    int64_t first_us = INT64_MAX;
    int64_t last_us = 0;

    for (int i = 0; i < 20; i++) {
        capacity_record_trial(&capacity, SECOND_US, &random);
        ck_assert(!capacity_may_try(&capacity, capacity.trial_at_us - 1, 0));
        ck_assert(!capacity_may_try(&capacity, capacity.trial_at_us, 1));
        ck_assert(capacity_may_try(&capacity, capacity.trial_at_us, 0));
        int64_t after_us = capacity.trial_at_us - SECOND_US;
        first_us = after_us < first_us ? after_us : first_us;
        last_us = after_us > last_us ? after_us : last_us;
    }
    ck_assert_int_le(last_us, 1500 * MS_US);
    ck_assert_int_ge(last_us - first_us, 200 * MS_US);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_loop_test(tests, test_finds_the_knee, 0, LOOP_CASES);
    tcase_add_loop_test(tests, test_follows_a_change_of_speed, 0, SPEEDS);
    tcase_add_test(tests, test_spike);
    tcase_add_test(tests, test_single_slow_answer);
    tcase_add_test(tests, test_slow_and_recovered);
    tcase_add_test(tests, test_overdue_statements_make_slow);
    tcase_add_test(tests, test_trials_are_spread);
}

TEST_MAIN("capacity", add_tests)
