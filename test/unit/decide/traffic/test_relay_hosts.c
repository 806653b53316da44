#include "catkingrade/decide/traffic/relay_hosts.h"
#include "test/suite.h"

// Guards against an entry that moves to another relay when its list changes,
// and against one that stays away from its first relay when that returns.
START_TEST(test_list_changes_without_needless_moves)
{
    static const struct {
        const char *first;
        const char *used;
        const char *hosts[3];
        size_t count;
        size_t index;
    } rows[] = {
        {"a", "a", {"a", "b", "c"}, 3, 0}, // no change
        {"a", "b", {"a", "b", "c"}, 3, 1}, // the same after leaving a
        {"a", "b", {"a", "c", "b"}, 3, 2}, // another order
        {"a", "b", {"a", "b"}, 2, 1},      // c has left the list
        {"a", "b", {"b", "c", "d"}, 3, 0}, // a has left the list
        {"b", "b", {"a", "b", "c"}, 3, 0}, // a has returned
        {"b", "c", {"a", "b", "c"}, 3, 0}, // the same after leaving b
        {"a", "b", {"a", "c", "d"}, 3, 0}, // b has left the list
        {"a", "b", {NULL}, 0, 0},
    };

    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        size_t index =
            relay_hosts_follow(rows[i].first, rows[i].used,
                               (char *const *)rows[i].hosts, rows[i].count);
        ck_assert_msg(index == rows[i].index, "row %zu: %zu", i, index);
    }
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_list_changes_without_needless_moves);
}

TEST_MAIN("relay_hosts", add_tests)
