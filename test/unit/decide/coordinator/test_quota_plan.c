#include <check.h>
#include <string.h>

#include "catkingrade/decide/coordinator/quota_plan.h"
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

// With two slots for seven entries, one slot is guaranteed, to an entry in the
// upstream's failure domain.
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

// Guards against starvation: with fewer slots than entries that demand one,
// each entry must get a slot within a limited number of plans.
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

// Guards against starvation: a released slot must stay reserved for the entry
// that has been without a slot for the most plans, even if another entry
// renews first.
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

// What one entry may use: its confirmed share and the share sent since.
struct usage {
    uint32_t slots[2]; // 0: confirmed share, 1: share sent last
    uint32_t guaranteed;
};

static void
check_sum(const struct usage *usages, uint32_t limit)
{
    uint32_t sum = 0;

    for (size_t i = 0; i < ENTRIES; i++) {
        sum += max(usages[i].slots[0], usages[i].slots[1]);
    }
    ck_assert_uint_le(sum, limit);
}

// Guards against overcommitment of an upstream: under random demand, lost
// renewals and expired leases, the sum of what all entries may use must never
// exceed the limit.
START_TEST(test_sum_never_exceeds_limit)
{
    uint64_t seed = (uint64_t)_i;
    struct quota_plan_entry entries[ENTRIES];
    struct quota_plan_share shares[ENTRIES];
    struct usage usages[ENTRIES] = {0};
    uint32_t limit = 1 + random_below(&seed, 12);

    init_entries(entries);
    for (int round = 0; round < 200; round++) {
        size_t index = random_below(&seed, ENTRIES);
        struct usage *usage = &usages[index];
        for (size_t i = 0; i < ENTRIES; i++) {
            entries[i].slots.demand = random_below(&seed, 6);
            entries[i].slots.held =
                max(usages[i].slots[0], usages[i].slots[1]);
        }
        quota_plan_compute(limit, 30, entries, ENTRIES, shares);
        usage->slots[0] = max(usage->slots[0], usage->slots[1]);
        usage->slots[1] = shares[index].slots;
        check_sum(usages, limit);
        ck_assert_uint_le(shares[index].guaranteed_slots, shares[index].slots);
        if (random_below(&seed, 3) > 0) {
            usage->slots[0] = usage->slots[1];
            usage->guaranteed = shares[index].guaranteed_slots;
        }
        else if (random_below(&seed, 4) == 0) {
            usage->slots[0] =
                max(usage->guaranteed, shares[index].guaranteed_slots);
            usage->slots[1] = usage->slots[0];
        }
        check_sum(usages, limit);
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
