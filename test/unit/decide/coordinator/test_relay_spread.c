#include <stdio.h>
#include <string.h>

#include "catkingrade/decide/coordinator/relay_spread.h"
#include "test/suite.h"

// Entries that leave relays which stop in turn: the share of them that each
// remaining relay gets, and which of them move.

#define RELAYS    8
#define USERS     24
#define ENTRIES   (RELAYS + USERS)
#define DATABASES 20
#define NEAREST   3

struct rig {
    struct relay_plan_entry entries[ENTRIES];
    struct relay_plan_choice choices[ENTRIES];
    char names[ENTRIES][16];
    size_t users_of[ENTRIES]; // by index of the relay
};

// Fills the entries of one case. Relays and users are spread evenly over the
// failure domains.
static void
start(struct rig *rig, unsigned number)
{
    static const char *const domains[] = {"noord", "oost", "zuid", "west"};

    memset(rig, 0, sizeof(*rig));
    for (size_t i = 0; i < ENTRIES; i++) {
        (void)snprintf(rig->names[i], sizeof(rig->names[i]), "e%u-%zu", number,
                       i);
        rig->entries[i] =
            (struct relay_plan_entry){.vm = rig->names[i],
                                      .failure_domain = domains[i % 4],
                                      .rank = (i * 7919 + number) % 1009,
                                      .databases_count = 1,
                                      .is_relay = i < RELAYS};
    }
    relay_spread_assign(rig->entries, ENTRIES, rig->choices);
}

// Counts the users of each relay by the first relay in their lists.
static void
count_users(struct rig *rig, size_t *used)
{
    size_t indexes[NEAREST];
    size_t relays[ENTRIES];
    size_t relays_count =
        relay_plan_list_relays(rig->entries, ENTRIES, relays);

    memset(rig->users_of, 0, sizeof(rig->users_of));
    for (size_t i = RELAYS; i < ENTRIES; i++) {
        size_t count = relay_plan_list_nearest(
            rig->entries[i].vm, rig->entries[i].failure_domain,
            &rig->choices[i], rig->entries, relays, relays_count, indexes,
            NEAREST);
        ck_assert_uint_eq(count, NEAREST);
        ck_assert(!rig->entries[indexes[0]].is_idle);
        rig->users_of[indexes[0]]++;
        used[i] = indexes[0];
    }
}

// Guards against entries that leave a relay and all go to the same next one:
// each remaining relay gets its share of them, rounded up or down.
START_TEST(test_users_of_missing_relay_are_spread)
{
    for (unsigned number = 0; number < DATABASES; number++) {
        for (size_t missing = 0; missing < RELAYS; missing++) {
            struct rig rig;
            size_t used[ENTRIES];
            size_t before[ENTRIES];
            start(&rig, number);
            count_users(&rig, used);
            memcpy(before, rig.users_of, sizeof(before));
            rig.entries[missing].is_idle = true;
            count_users(&rig, used);
            for (size_t i = 0; i < RELAYS; i++) {
                size_t share = before[missing] / (RELAYS - 1);
                if (i != missing) {
                    ck_assert_uint_ge(rig.users_of[i], before[i] + share);
                    ck_assert_uint_le(rig.users_of[i], before[i] + share + 1);
                }
            }
        }
    }
}
END_TEST

// Guards against needless moves: entries whose relay stays keep it while
// others leave in turn, and all are back when these return.
START_TEST(test_users_of_other_relays_stay)
{
    for (unsigned number = 0; number < DATABASES; number++) {
        struct rig rig;
        size_t home[ENTRIES];
        size_t used[ENTRIES];
        start(&rig, number);
        count_users(&rig, home);
        for (size_t missing = 0; missing < RELAYS - NEAREST; missing++) {
            rig.entries[missing].is_idle = true;
            count_users(&rig, used);
            for (size_t i = RELAYS; i < ENTRIES; i++) {
                ck_assert(rig.entries[home[i]].is_idle || used[i] == home[i]);
            }
        }
        for (size_t i = 0; i < RELAYS; i++) {
            rig.entries[i].is_idle = false;
        }
        count_users(&rig, used);
        ck_assert_mem_eq(used + RELAYS, home + RELAYS,
                         USERS * sizeof(home[0]));
    }
}
END_TEST

// Guards against a relay that takes over all when several leave in turn: each
// one that remains gets its share of the users of each that has left. Of the
// entries that have moved, few move again for a balance.
START_TEST(test_relays_leave_in_turn)
{
    unsigned stayed = 0;
    unsigned moved = 0;

    for (unsigned number = 0; number < DATABASES; number++) {
        struct rig rig;
        size_t before[ENTRIES];
        size_t used[ENTRIES];
        size_t last[ENTRIES];
        start(&rig, number);
        count_users(&rig, last);
        memcpy(before, rig.users_of, sizeof(before));
        for (size_t missing = 1; missing <= RELAYS - NEAREST; missing++) {
            size_t share = 0;
            rig.entries[missing - 1].is_idle = true;
            relay_spread_assign(rig.entries, ENTRIES, rig.choices);
            count_users(&rig, used);
            for (size_t i = 0; i < missing; i++) {
                share += before[i] / (RELAYS - missing);
            }
            for (size_t i = missing; i < RELAYS; i++) {
                ck_assert_uint_ge(rig.users_of[i], before[i] + share);
                ck_assert_uint_le(rig.users_of[i],
                                  before[i] + share + missing);
            }
            for (size_t i = RELAYS; i < ENTRIES; i++) {
                bool is_left = rig.entries[last[i]].is_idle;
                stayed += !is_left && used[i] == last[i];
                moved += !is_left && used[i] != last[i];
            }
            memcpy(last, used, sizeof(last));
        }
    }
    ck_assert_uint_lt(moved, stayed / 10);
}
END_TEST

// Guards against a relay of several databases that takes over as much of each
// as a relay of one.
START_TEST(test_share_follows_capacity)
{
    for (unsigned number = 0; number < DATABASES; number++) {
        struct rig rig;
        size_t used[ENTRIES];
        start(&rig, number);
        for (size_t i = 0; i < ENTRIES; i++) {
            rig.entries[i].failure_domain = i == 0 || i >= RELAYS ? "a" : "b";
        }
        for (size_t i = 1; i < 4; i++) {
            rig.entries[i].databases_count = 4;
        }
        relay_spread_assign(rig.entries, ENTRIES, rig.choices);
        count_users(&rig, used);
        ck_assert_uint_eq(rig.users_of[0], USERS);
        rig.entries[0].is_idle = true;
        count_users(&rig, used);
        for (size_t i = 1; i < RELAYS; i++) {
            // 24 users by 3 * 1/4 + 4 * 1: 1.26 and 5.05.
            size_t share = i < 4 ? 1 : 5;
            ck_assert_uint_ge(rig.users_of[i], share);
            ck_assert_uint_le(rig.users_of[i], share + 1);
        }
    }
}
END_TEST

// Guards against choices that depend on the order of the list, which differs
// between leaders.
START_TEST(test_order_of_entries_does_not_matter)
{
    struct rig rig;
    struct relay_plan_entry turned[ENTRIES];
    struct relay_plan_choice choices[ENTRIES];

    start(&rig, 0);
    for (size_t i = 0; i < ENTRIES; i++) {
        turned[i] = rig.entries[ENTRIES - 1 - i];
    }
    relay_spread_assign(turned, ENTRIES, choices);
    for (size_t i = RELAYS; i < ENTRIES; i++) {
        const struct relay_plan_choice *choice = &choices[ENTRIES - 1 - i];
        ck_assert_uint_eq(ENTRIES - 1 - choice->first, rig.choices[i].first);
        ck_assert_uint_eq(ENTRIES - 1 - choice->alternate,
                          rig.choices[i].alternate);
    }
}
END_TEST

// A single relay has no alternate, and entries without relays have no choice.
START_TEST(test_too_few_relays)
{
    struct rig rig;

    start(&rig, 0);
    for (size_t i = 1; i < ENTRIES; i++) {
        rig.entries[i].is_relay = false;
    }
    relay_spread_assign(rig.entries, ENTRIES, rig.choices);
    ck_assert_uint_eq(rig.choices[1].first, 0);
    ck_assert_uint_eq(rig.choices[1].alternate, RELAY_PLAN_NONE);
    rig.entries[0].is_relay = false;
    relay_spread_assign(rig.entries, ENTRIES, rig.choices);
    ck_assert_uint_eq(rig.choices[1].first, RELAY_PLAN_NONE);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_users_of_missing_relay_are_spread);
    tcase_add_test(tests, test_users_of_other_relays_stay);
    tcase_add_test(tests, test_relays_leave_in_turn);
    tcase_add_test(tests, test_share_follows_capacity);
    tcase_add_test(tests, test_order_of_entries_does_not_matter);
    tcase_add_test(tests, test_too_few_relays);
}

TEST_MAIN("relay_spread", add_tests)
