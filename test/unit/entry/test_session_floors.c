// Unit tests of the read floors at databases that a session has left.

#include <check.h>
#include <stdio.h>

#include "catkingrade/entry/session_floors.h"
#include "test/suite.h"

#define DATABASES 40

static struct session_floor
make_floor(uint64_t term, uint64_t lsn, int64_t raised_us)
{
    return (struct session_floor){{term, lsn}, raised_us};
}

START_TEST(test_floor_is_taken_once)
{
    struct session_floors *floors = session_floors_create();
    struct session_floor floor = make_floor(3, 70, 900);

    ck_assert(!session_floors_take(floors, "roster1", &floor));
    session_floors_put(floors, "roster1", &floor);
    floor = make_floor(0, 0, 0);
    ck_assert(!session_floors_take(floors, "roster", &floor));
    ck_assert_uint_eq(floor.floor.lsn, 0);
    ck_assert(session_floors_take(floors, "roster1", &floor));
    ck_assert_uint_eq(floor.floor.term, 3);
    ck_assert_uint_eq(floor.floor.lsn, 70);
    ck_assert_int_eq(floor.raised_us, 900);
    ck_assert(!session_floors_take(floors, "roster1", &floor));
    session_floors_destroy(floors);
}
END_TEST

// A later floor replaces an earlier one, also if it is lower: a promotion may
// have rolled back what the earlier one covered.
START_TEST(test_later_floor_replaces)
{
    struct session_floors *floors = session_floors_create();
    struct session_floor floor = make_floor(3, 70, 900);

    session_floors_put(floors, "roster1", &floor);
    floor = make_floor(4, 60, 950);
    session_floors_put(floors, "roster1", &floor);
    ck_assert(session_floors_take(floors, "roster1", &floor));
    ck_assert_uint_eq(floor.floor.lsn, 60);
    ck_assert(!session_floors_take(floors, "roster1", &floor));
    session_floors_destroy(floors);
}
END_TEST

// Guards against floors that are lost among those of other databases.
START_TEST(test_many_databases_keep_their_floors)
{
    struct session_floors *floors = session_floors_create();
    struct session_floor floor;
    char name[16];

    for (uint64_t i = 0; i < DATABASES; i++) {
        (void)snprintf(name, sizeof(name), "roster%d", (int)i);
        floor = make_floor(1, i + 1, 0);
        session_floors_put(floors, name, &floor);
    }
    for (uint64_t i = 0; i < DATABASES; i += 2) {
        (void)snprintf(name, sizeof(name), "roster%d", (int)i);
        ck_assert(session_floors_take(floors, name, &floor));
        ck_assert_uint_eq(floor.floor.lsn, i + 1);
    }
    session_floors_destroy(floors); // with those that were not taken
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_floor_is_taken_once);
    tcase_add_test(tests, test_later_floor_replaces);
    tcase_add_test(tests, test_many_databases_keep_their_floors);
}

TEST_MAIN("session_floors", add_tests)
