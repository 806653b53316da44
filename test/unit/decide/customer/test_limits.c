#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/random.h"
#include "test/fake/limit_fleet.h"
#include "test/suite.h"

// The rate limits of customers as a whole: lender, borrowers, network, clients
// and faults in a simulation (test/fake/limit_fleet.h).

#define MS_US INT64_C(1000)
#define S_US  INT64_C(1000000)
// LIMIT_SEEDS in the environment overrides it, LIMIT_FIRST_SEED the first one.
#define RANDOM_SEEDS   300
#define RANDOM_STEPS   60
#define RANDOM_STEP_MS 500

static const struct limit_bound bound = {
    .window_us = 5 * S_US, .excess = 0.1, .slack = 20};

// The second and third one leave little tolerance, so that tokens beyond it
// are noticed.
static const struct limit_bound random_bounds[] = {
    {.window_us = 5 * S_US, .excess = 0.1, .slack = 20},
    {.window_us = 5 * S_US, .excess = 0.02, .slack = 4},
    {.window_us = S_US, .excess = 0.1, .slack = 4},
};

static double
draw_load(uint64_t *random, double rate_per_s)
{
    static const double factors[] = {0, 0.3, 0.9, 1.5, 4, 8};

    return rate_per_s * factors[random_below(random, 6)];
}

static void
draw_limit(uint64_t *random, struct limit_fleet_customer *customer,
           int64_t now_us)
{
    static const double rates[] = {0.5, 1.6, 5, 20, 60, 150};

    if (customer->limit.rate_per_s > 0 && customer->old_count < 64) {
        customer->old_limits[customer->old_count] = customer->limit;
        customer->old_until_us[customer->old_count++] = now_us;
    }
    customer->limit.rate_per_s = rates[random_below(random, 6)];
    customer->limit.burst =
        customer->limit.rate_per_s * random_below(random, 4);
}

static void
change_leader(struct limit_fleet *fleet, uint64_t *random)
{
    limit_fleet_end_leader(fleet);
    limit_fleet_run(fleet, random_below(random, 1500) * MS_US);
    limit_fleet_begin_leader(fleet, random_below(random, LIMIT_FLEET_VOTERS));
}

static void
inject_fault(struct limit_fleet *fleet, uint64_t *random,
             const struct limit_fleet_params *params)
{
    uint32_t entry = random_below(random, (uint32_t)params->entries_count);

    switch (random_below(random, 12)) {
    case 0:
        change_leader(fleet, random);
        break;
    case 1:
        limit_fleet_cut_entry(fleet, entry, true);
        break;
    case 2:
    case 3:
        for (size_t i = 0; i < params->entries_count; i++) {
            limit_fleet_cut_entry(fleet, i, random_below(random, 6) == 0);
        }
        break;
    case 4:
        limit_fleet_restart_entry(fleet, entry);
        break;
    case 5:
        for (size_t i = 0; i < params->entries_count; i++) {
            limit_fleet_restart_entry(fleet, i);
        }
        break;
    case 6:
        limit_fleet_set_network(fleet, random_below(random, 40),
                                random_below(random, 40),
                                random_below(random, 40), 4 * S_US);
        break;
    case 7:
        limit_fleet_set_network(fleet, 0, 0, 0, 0);
        break;
    case 8:
        for (size_t i = 0; i < params->customers_count; i++) {
            draw_limit(random, limit_fleet_get_customer(fleet, i),
                       limit_fleet_get_now_us(fleet));
        }
        limit_fleet_declare(fleet);
        break;
    default:
        break;
    }
}

static void
run_random_fleet(uint64_t seed)
{
    uint64_t random = seed;
    struct limit_fleet_params params = {
        .seed = random_next(&random),
        .entries_count = 1 + random_below(&random, 10),
        .customers_count = 1 + random_below(&random, 2),
        .bound = random_bounds[random_below(&random, 3)],
        .latency_us = 1 + random_below(&random, 30000),
        .wait_us = 133 * MS_US,
        .has_drift = true,
    };
    struct limit_fleet *fleet = limit_fleet_create(&params);

    for (size_t i = 0; i < params.customers_count; i++) {
        draw_limit(&random, limit_fleet_get_customer(fleet, i), 0);
    }
    limit_fleet_begin_leader(fleet, 0);
    limit_fleet_declare(fleet);
    for (int step = 0; step < RANDOM_STEPS; step++) {
        for (size_t i = 0; i < params.customers_count; i++) {
            struct limit_fleet_customer *customer =
                limit_fleet_get_customer(fleet, i);
            if (random_below(&random, 4) == 0) {
                customer->load_per_s =
                    draw_load(&random, customer->limit.rate_per_s);
            }
        }
        inject_fault(fleet, &random, &params);
        limit_fleet_run(fleet, RANDOM_STEP_MS * MS_US);
    }
    ck_assert_msg(limit_fleet_holds_bound(fleet), "test seed %llu: %s",
                  (unsigned long long)seed, limit_fleet_get_violation(fleet));
    limit_fleet_destroy(fleet);
}

// Guards against more operations of a customer in a window than its limit
// allows, whatever is lost, late, doubled, cut off, restarted or re-elected.
START_TEST(test_bound_holds_under_faults)
{
    const char *wanted = getenv("LIMIT_SEEDS");
    const char *first = getenv("LIMIT_FIRST_SEED");
    int seeds = wanted == NULL ? RANDOM_SEEDS : atoi(wanted);
    uint64_t begin = first == NULL ? 1 : strtoull(first, NULL, 10);

    for (int i = 0; i < seeds; i++) {
        run_random_fleet(begin + (uint64_t)i);
    }
}
END_TEST

// A fleet of the size of a heavily loaded deployment, with a leader.
static struct limit_fleet *
create_large_fleet(uint64_t seed, size_t customers_count)
{
    struct limit_fleet_params params = {
        .seed = seed,
        .entries_count = 81,
        .customers_count = customers_count,
        .bound = bound,
        .latency_us = 12 * MS_US,
        .wait_us = 133 * MS_US,
    };

    return limit_fleet_create(&params);
}

static void
start_large_fleet(struct limit_fleet *fleet)
{
    limit_fleet_begin_leader(fleet, 0);
    limit_fleet_declare(fleet);
    // The buckets of a leader that has just begun are filled.
    limit_fleet_run(fleet, 10 * S_US);
}

static void
set_customer(struct limit_fleet *fleet, size_t index, double load_per_s,
             double factor)
{
    struct limit_fleet_customer *customer =
        limit_fleet_get_customer(fleet, index);

    customer->load_per_s = load_per_s;
    customer->limit.rate_per_s = load_per_s * factor;
    customer->limit.burst = customer->limit.rate_per_s;
}

// Sets loads of 83 customers, about 700 operations per second together, and
// limits of 1.6 times the load.
static void
set_usual_loads(struct limit_fleet *fleet)
{
    double load = 220;

    for (size_t i = 0; i < 83; i++) {
        load *= i == 0 ? 1 : 1 - 1.2 / ((double)i + 1);
        set_customer(fleet, i, load < 1 ? 1 : load, 1.6);
    }
}

struct totals {
    uint64_t arrived;
    uint64_t refused;
    uint64_t unanswered;
};

static struct totals
sum_up(struct limit_fleet *fleet, size_t customers_count)
{
    struct totals sum = {0};

    for (size_t i = 0; i < customers_count; i++) {
        const struct limit_fleet_customer *customer =
            limit_fleet_get_customer(fleet, i);
        sum.arrived += customer->arrived;
        sum.refused += customer->refused;
        sum.unanswered += customer->unanswered;
    }
    return sum;
}

// Guards against refusals of customers that stay below their limits, where
// most pairs of a customer and an entry are rare, and against more than about
// one call for each operation of a rare pair.
START_TEST(test_no_refusal_below_the_limit)
{
    struct limit_fleet *fleet = create_large_fleet(7, 83);

    set_usual_loads(fleet);
    start_large_fleet(fleet);
    uint64_t calls = limit_fleet_get_calls(fleet);
    struct totals before = sum_up(fleet, 83);
    limit_fleet_run(fleet, 30 * S_US);
    calls = limit_fleet_get_calls(fleet) - calls;
    struct totals after = sum_up(fleet, 83);
    printf("below the limits: %llu operations, %llu refused, %llu unanswered, "
           "%llu calls\n",
           (unsigned long long)(after.arrived - before.arrived),
           (unsigned long long)(after.refused - before.refused),
           (unsigned long long)(after.unanswered - before.unanswered),
           (unsigned long long)calls);
    ck_assert_uint_eq(after.refused, before.refused);
    ck_assert_uint_eq(after.unanswered, before.unanswered);
    ck_assert_uint_le(calls, after.arrived - before.arrived);
    ck_assert_msg(limit_fleet_holds_bound(fleet), "%s",
                  limit_fleet_get_violation(fleet));
    limit_fleet_destroy(fleet);
}
END_TEST

// Guards against a new leader that refuses for long: operations are refused
// while there is no leader, and few once there is one.
START_TEST(test_new_leader_soon_serves)
{
    struct limit_fleet *fleet = create_large_fleet(8, 83);

    set_usual_loads(fleet);
    start_large_fleet(fleet);
    limit_fleet_run(fleet, 5 * S_US);
    struct totals before = sum_up(fleet, 83);
    limit_fleet_end_leader(fleet);
    limit_fleet_run(fleet, 600 * MS_US);
    limit_fleet_begin_leader(fleet, 1);
    struct totals gap = sum_up(fleet, 83);
    limit_fleet_run(fleet, 2 * S_US);
    struct totals soon = sum_up(fleet, 83);
    limit_fleet_run(fleet, 10 * S_US);
    struct totals after = sum_up(fleet, 83);
    printf("without a leader: %llu of %llu not admitted; 2 s after: %llu of "
           "%llu; 10 s after that: %llu of %llu\n",
           (unsigned long long)(gap.refused + gap.unanswered - before.refused -
                                before.unanswered),
           (unsigned long long)(gap.arrived - before.arrived),
           (unsigned long long)(soon.refused + soon.unanswered - gap.refused -
                                gap.unanswered),
           (unsigned long long)(soon.arrived - gap.arrived),
           (unsigned long long)(after.refused + after.unanswered -
                                soon.refused - soon.unanswered),
           (unsigned long long)(after.arrived - soon.arrived));
    ck_assert_uint_le(soon.refused + soon.unanswered - gap.refused -
                          gap.unanswered,
                      (soon.arrived - gap.arrived) / 10);
    ck_assert_uint_eq(after.refused + after.unanswered,
                      soon.refused + soon.unanswered);
    ck_assert_msg(limit_fleet_holds_bound(fleet), "%s",
                  limit_fleet_get_violation(fleet));
    limit_fleet_destroy(fleet);
}
END_TEST

// Guards against more operations than the bound while no leader answers, of a
// customer that is over its limit at all entries when the leader is lost.
START_TEST(test_outage_keeps_the_bound)
{
    static const double rates[] = {1.6, 8, 40, 350};

    for (size_t i = 0; i < 4; i++) {
        struct limit_fleet *fleet = create_large_fleet(31 + i, 1);
        struct limit_fleet_customer *customer =
            limit_fleet_get_customer(fleet, 0);
        set_customer(fleet, 0, rates[i], 1);
        customer->load_per_s = rates[i] / 1.6;
        start_large_fleet(fleet);
        limit_fleet_run(fleet, 60 * S_US);
        customer->load_per_s = 7.5 * rates[i] / 1.6;
        limit_fleet_run(fleet, 3 * S_US);
        limit_fleet_end_leader(fleet);
        limit_fleet_run(fleet, 4 * S_US);
        limit_fleet_begin_leader(fleet, 1);
        limit_fleet_run(fleet, 6 * S_US);
        printf("outage at rate %.1f: peak %zu of %.1f\n", rates[i],
               customer->peak, (rates[i] * 5 + rates[i]) * 1.1 + 20);
        ck_assert_msg(limit_fleet_holds_bound(fleet), "%s",
                      limit_fleet_get_violation(fleet));
        limit_fleet_destroy(fleet);
    }
}
END_TEST

// Guards against a limiter that wastes tokens: a customer that sends four
// times its limit gets at least nine tenths of it.
START_TEST(test_overload_gets_the_limit)
{
    static const double rates[] = {1.6, 8, 40, 350};

    for (size_t i = 0; i < 4; i++) {
        for (int burst = 0; burst < 2; burst++) {
            struct limit_fleet *fleet = create_large_fleet(11 + i, 1);
            struct limit_fleet_customer *customer =
                limit_fleet_get_customer(fleet, 0);
            customer->limit.rate_per_s = rates[i];
            customer->limit.burst = burst * rates[i];
            customer->load_per_s = 4 * rates[i];
            start_large_fleet(fleet);
            uint64_t before = customer->admitted;
            uint64_t calls = limit_fleet_get_calls(fleet);
            limit_fleet_run(fleet, 30 * S_US);
            double admitted = (double)(customer->admitted - before) / 30;
            printf("rate %.1f burst %.0f: admitted %.2f/s, peak %zu of %.1f, "
                   "%llu calls/s\n",
                   rates[i], customer->limit.burst, admitted, customer->peak,
                   (rates[i] * 5 + customer->limit.burst) * 1.1 + 20,
                   (unsigned long long)(limit_fleet_get_calls(fleet) - calls) /
                       30);
            ck_assert_double_ge(admitted, 0.9 * rates[i]);
            ck_assert_msg(limit_fleet_holds_bound(fleet), "%s",
                          limit_fleet_get_violation(fleet));
            limit_fleet_destroy(fleet);
        }
    }
}
END_TEST

static void
add_tests(TCase *tests)
{
    const char *wanted = getenv("LIMIT_SEEDS");

    // Many seeds by hand take longer than a test of the suite.
    if (wanted != NULL) {
        tcase_set_timeout(tests, 3600);
    }
    tcase_add_test(tests, test_bound_holds_under_faults);
    tcase_add_test(tests, test_no_refusal_below_the_limit);
    tcase_add_test(tests, test_new_leader_soon_serves);
    tcase_add_test(tests, test_outage_keeps_the_bound);
    tcase_add_test(tests, test_overload_gets_the_limit);
}

TEST_MAIN("limits", add_tests)
