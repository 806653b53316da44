#include <check.h>

#include "catkingrade/decide/coordinator/promotion.h"
#include "catkingrade/kernel/memory.h"
#include "test/suite.h"

#define MEMBERS 4
#define OLD                                                                   \
    {                                                                         \
        .answered = true, .is_old_primary = true, .position = { 1, 90 }       \
    }
#define LOST                                                                  \
    {                                                                         \
        .answered = false                                                     \
    }
#define LOST_OLD                                                              \
    {                                                                         \
        .answered = false, .is_old_primary = true                             \
    }
#define AT(line, lsn_value)                                                   \
    {                                                                         \
        .answered = true, .position = { line, lsn_value }                     \
    }
#define REGRESSED                                                             \
    {                                                                         \
        .answered = true, .is_regressed = true, .position = { 1, 95 }         \
    }
#define LEAVING                                                               \
    {                                                                         \
        .answered = true, .is_leaving = true, .position = { 1, 80 }           \
    }

#define BARRED(lsn_value)                                                     \
    {                                                                         \
        .answered = true, .is_leaving = true, .is_barred = true,              \
        .position = {                                                         \
            1,                                                                \
            lsn_value                                                         \
        }                                                                     \
    }

// Answers of the members and the expected choice.
struct row {
    const char *name;
    struct promotion_answer answers[MEMBERS];
    size_t count;
    unsigned confirm;
    struct ck_position base;
    int expected_index;
    bool is_complete;
};

static const struct row rows[] = {
    {"nobody answers", {LOST_OLD, LOST, LOST}, 3, 1, {1, 0}, -1, false},
    {"both replicas", {LOST_OLD, AT(1, 70), AT(1, 80)}, 3, 1, {1, 0}, 2, true},
    {"one of two replicas",
     {LOST_OLD, AT(1, 80), LOST},
     3,
     1,
     {1, 0},
     1,
     false},
    {"one of two, both confirm",
     {LOST_OLD, AT(1, 80), LOST},
     3,
     2,
     {1, 0},
     1,
     true},
    {"no replica confirms",
     {LOST_OLD, AT(1, 80), AT(1, 80)},
     3,
     0,
     {1, 0},
     1,
     false},
    {"old primary alone", {OLD, LOST, LOST}, 3, 1, {1, 0}, 0, true},
    {"old primary, none confirms", {OLD, LOST, LOST}, 3, 0, {1, 0}, 0, true},
    {"a later timeline wins",
     {LOST_OLD, AT(2, 60), AT(1, 80)},
     3,
     1,
     {1, 0},
     1,
     true},
    {"both below the base",
     {LOST_OLD, AT(1, 20), AT(1, 30)},
     3,
     1,
     {2, 10},
     2,
     false},
    {"a new replica and one at the base",
     {LOST_OLD, AT(0, 0), AT(2, 10)},
     3,
     1,
     {2, 10},
     2,
     true},
    {"a replica that lost data",
     {LOST_OLD, REGRESSED, AT(1, 80)},
     3,
     1,
     {1, 0},
     2,
     false},
    {"equal, one leaves",
     {LOST_OLD, LEAVING, AT(1, 80)},
     3,
     1,
     {1, 0},
     2,
     true},
    {"the leaving replica is ahead",
     {LOST_OLD, LEAVING, AT(1, 70)},
     3,
     1,
     {1, 0},
     1,
     true},
    {"the replica that is ahead may not be promoted",
     {LOST_OLD, BARRED(80), AT(1, 70)},
     3,
     1,
     {1, 0},
     2,
     false},
    {"a replica that may not be promoted proves another one",
     {LOST_OLD, BARRED(70), AT(1, 70)},
     3,
     1,
     {1, 0},
     2,
     true},
    {"nobody may be promoted",
     {LOST_OLD, BARRED(70), LOST},
     3,
     2,
     {1, 0},
     -1,
     false},
    {"four members, two answer",
     {LOST_OLD, AT(1, 1), AT(1, 2), LOST},
     4,
     1,
     {1, 0},
     2,
     false},
    {"four members, two confirm",
     {LOST_OLD, AT(1, 1), AT(1, 2), LOST},
     4,
     2,
     {1, 0},
     2,
     true},
    {"no replicas at all", {LOST_OLD}, 1, 0, {1, 0}, -1, false},
};

START_TEST(test_choice)
{
    const struct row *row = &rows[_i];
    struct promotion_params params = {row->answers, row->count, row->confirm,
                                      row->base};
    struct promotion_choice choice = promotion_choose(&params);

    ck_assert_msg(choice.index == row->expected_index, "%s: index %d",
                  row->name, choice.index);
    ck_assert_msg(choice.is_complete == row->is_complete, "%s: complete %d",
                  row->name, choice.is_complete);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_loop_test(tests, test_choice, 0, ARRAY_SIZE(rows));
}

TEST_MAIN("promotion", add_tests)
