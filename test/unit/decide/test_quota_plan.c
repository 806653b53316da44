#include <check.h>
#include <string.h>

#include "catkingrade/decide/quota_plan.h"
#include "catkingrade/decide/random.h"
#include "test/suite.h"

#define ENTRIES 7

static uint32_t
max(uint32_t a, uint32_t b)
{
    return a > b ? a : b;
}

static void
init_entries(struct quota_plan_entry *entries)
{
    for (size_t i = 0; i < ENTRIES; i++) {
        entries[i] = (struct quota_plan_entry){.near = i < 2, .weight = 1};
    }
}

// Two slots over seven entries: one is guaranteed, near the upstream.
START_TEST(test_scarce_slots)
{
    struct quota_plan_entry entries[ENTRIES];
    struct quota_plan_share shares[ENTRIES];
    uint32_t slots = 0;
    uint32_t connections = 0;

    init_entries(entries);
    quota_plan_compute(2, 30, entries, ENTRIES, shares);
    for (size_t i = 0; i < ENTRIES; i++) {
        slots += shares[i].slots;
        connections += shares[i].connections;
        ck_assert_uint_eq(shares[i].guaranteed_slots, i == 0 ? 1 : 0);
        ck_assert_uint_ge(shares[i].guaranteed_connections, 2);
    }
    ck_assert_uint_eq(slots, 2);
    ck_assert_uint_eq(connections, 30);
}
END_TEST

START_TEST(test_unused_quota_goes_to_demand)
{
    struct quota_plan_entry entries[ENTRIES];
    struct quota_plan_share shares[ENTRIES];

    init_entries(entries);
    entries[6].slots.demand = 20;
    quota_plan_compute(14, 30, entries, ENTRIES, shares);
    ck_assert_uint_eq(shares[6].slots, 8);
    ck_assert_uint_eq(shares[0].slots, 1);
}
END_TEST

// An entry that asks for a slot while all others do too is served in turn.
START_TEST(test_scarce_slots_rotate)
{
    struct quota_plan_entry entries[ENTRIES];
    struct quota_plan_share shares[ENTRIES];
    unsigned served[ENTRIES] = {0};

    init_entries(entries);
    for (int round = 0; round < 40; round++) {
        for (size_t i = 0; i < ENTRIES; i++) {
            entries[i].slots.demand = 3;
        }
        quota_plan_compute(2, 30, entries, ENTRIES, shares);
        for (size_t i = 0; i < ENTRIES; i++) {
            served[i] += shares[i].slots > 0;
            entries[i].slots.held = shares[i].slots;
            entries[i].connections.held = shares[i].connections;
        }
    }
    for (size_t i = 0; i < ENTRIES; i++) {
        ck_assert_uint_ge(served[i], 2);
    }
}
END_TEST

// What one entry gives up is kept for the entry whose turn it is, also when
// another one renews first.
START_TEST(test_freed_slot_goes_to_longest_unserved)
{
    struct quota_plan_entry entries[ENTRIES];
    struct quota_plan_share shares[ENTRIES];

    init_entries(entries);
    for (size_t i = 0; i < ENTRIES; i++) {
        entries[i].slots.demand = 2;
        entries[i].slots.held = i <= 3 ? 1 : 0;
    }
    entries[6].unserved = 4;
    quota_plan_compute(5, 30, entries, ENTRIES, shares);
    ck_assert_uint_eq(shares[6].slots, 1);
    ck_assert_uint_eq(shares[4].slots, 0);
    ck_assert_uint_eq(shares[5].slots, 0);
    ck_assert_uint_eq(entries[5].unserved, 1);
    ck_assert_uint_eq(entries[6].unserved, 0);
}
END_TEST

// What each entry may use, by its last share and those not yet confirmed.
struct holder {
    uint32_t slots[2]; // confirmed, sent
    uint32_t guaranteed;
};

static void
check_sum(const struct holder *holders, uint32_t limit)
{
    uint32_t sum = 0;

    for (size_t i = 0; i < ENTRIES; i++) {
        sum += max(holders[i].slots[0], holders[i].slots[1]);
    }
    ck_assert_uint_le(sum, limit);
}

// Random demand, renewals that are lost and leases that run out: the sum of
// what all may use stays within the limit at each moment.
START_TEST(test_sum_never_exceeds_limit)
{
    uint64_t seed = (uint64_t)_i;
    struct quota_plan_entry entries[ENTRIES];
    struct quota_plan_share shares[ENTRIES];
    struct holder holders[ENTRIES] = {0};
    uint32_t limit = 1 + random_below(&seed, 12);

    init_entries(entries);
    for (int round = 0; round < 200; round++) {
        size_t place = random_below(&seed, ENTRIES);
        struct holder *holder = &holders[place];
        for (size_t i = 0; i < ENTRIES; i++) {
            entries[i].slots.demand = random_below(&seed, 6);
            entries[i].slots.held =
                max(holders[i].slots[0], holders[i].slots[1]);
        }
        quota_plan_compute(limit, 30, entries, ENTRIES, shares);
        holder->slots[0] = max(holder->slots[0], holder->slots[1]);
        holder->slots[1] = shares[place].slots;
        check_sum(holders, limit);
        ck_assert_uint_le(shares[place].guaranteed_slots, shares[place].slots);
        if (random_below(&seed, 3) > 0) {
            holder->slots[0] = holder->slots[1];
            holder->guaranteed = shares[place].guaranteed_slots;
        }
        else if (random_below(&seed, 4) == 0) {
            holder->slots[0] =
                max(holder->guaranteed, shares[place].guaranteed_slots);
            holder->slots[1] = holder->slots[0];
        }
        check_sum(holders, limit);
    }
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_scarce_slots);
    tcase_add_test(tests, test_unused_quota_goes_to_demand);
    tcase_add_test(tests, test_scarce_slots_rotate);
    tcase_add_test(tests, test_freed_slot_goes_to_longest_unserved);
    tcase_add_loop_test(tests, test_sum_never_exceeds_limit, 0, 50);
}

TEST_MAIN("lending", add_tests)
