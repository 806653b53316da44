// Unit tests of the time that callers lose by refusals.

#include <check.h>

#include "catkingrade/decide/traffic/refusal_loss.h"
#include "test/suite.h"

#define MS INT64_C(1000)

// Plays seconds in which of every ten requests some are refused. Returns the
// time lost.
static int64_t
play(struct refusal_loss *loss, int64_t from_us, int seconds, int refused)
{
    for (int i = 0; i < 100 * seconds; i++) {
        refusal_loss_add(loss, from_us + i * 10 * MS, i % 10 < refused);
    }
    return loss->lost_us;
}

// Guards against a loss that does not grow with the share of the refused, and
// against one that outlives its overload.
START_TEST(test_share_is_summed_up)
{
    struct refusal_loss loss = {0};

    ck_assert_int_eq(play(&loss, 1000 * MS, 5, 0), 0);
    // The last second is still in progress.
    ck_assert_int_eq(play(&loss, 6000 * MS, 5, 5), 4 * 500 * MS);
    (void)play(&loss, 11000 * MS, 4, 1);
    ck_assert_int_eq(loss.lost_us, 5 * 500 * MS + 3 * 100 * MS);
    ck_assert_int_eq(play(&loss, 15000 * MS, 2, 0), 0);
    ck_assert_int_eq(play(&loss, 17000 * MS, 2, 10), 1000 * MS);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_share_is_summed_up);
}

TEST_MAIN("refusal_loss", add_tests)
