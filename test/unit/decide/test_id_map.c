#include <check.h>

#include "catkingrade/decide/id_map.h"
#include "catkingrade/decide/random.h"
#include "catkingrade/decide/timers.h"
#include "test/suite.h"

#define IDS 200

// The map agrees with a plain array over random additions and removals.
START_TEST(test_map_against_array)
{
    uint64_t seed = (uint64_t)_i;
    struct id_map map = {0};
    int items[IDS] = {0};
    void *expected[IDS] = {0};

    for (int step = 0; step < 5000; step++) {
        uint64_t id = random_below(&seed, IDS);
        if (expected[id] == NULL) {
            expected[id] = &items[id];
            id_map_put(&map, id * 4096, expected[id]);
        }
        else {
            ck_assert_ptr_eq(id_map_remove(&map, id * 4096), expected[id]);
            expected[id] = NULL;
        }
        id = random_below(&seed, IDS);
        ck_assert_ptr_eq(id_map_get(&map, id * 4096), expected[id]);
    }
    id_map_free(&map);
}
END_TEST

START_TEST(test_timers_fire_in_order)
{
    uint64_t seed = (uint64_t)_i;
    struct timers timers = {0};
    struct timer timer;
    int64_t last_us = 0;

    for (int i = 0; i < 500; i++) {
        timers_add(&timers, random_below(&seed, 1000), TIMER_WAKE, 0);
    }
    ck_assert(!timers_pop_due(&timers, -1, &timer));
    for (int i = 0; i < 500; i++) {
        ck_assert(timers_pop_due(&timers, 1000, &timer));
        ck_assert_int_ge(timer.at_us, last_us);
        last_us = timer.at_us;
    }
    ck_assert_int_eq(timers_get_next_due_us(&timers), INT64_MAX);
    timers_free(&timers);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_loop_test(tests, test_map_against_array, 0, 10);
    tcase_add_loop_test(tests, test_timers_fire_in_order, 0, 10);
}

TEST_MAIN("id_map", add_tests)
