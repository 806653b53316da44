#include <stdio.h>
#include <string.h>

#include "catkingrade/decide/coordinator/relay_plan.h"
#include "test/suite.h"

#define ENTRIES   66
#define DOMAINS   6
#define DATABASES 8
#define RELAYS    6

static char names[ENTRIES][16];
static char domains[DOMAINS][16];

static void
init_entries(struct relay_plan_entry *entries)
{
    for (size_t i = 0; i < DOMAINS; i++) {
        (void)snprintf(domains[i], sizeof(domains[i]), "domain%zu", i);
    }
    for (size_t i = 0; i < ENTRIES; i++) {
        (void)snprintf(names[i], sizeof(names[i]), "entry%zu", i);
        entries[i] = (struct relay_plan_entry){
            .vm = names[i], .failure_domain = domains[i % DOMAINS]};
    }
}

static void
name_database(char *name, size_t size, unsigned i)
{
    (void)snprintf(name, size, "database%u", i);
}

// All entries connect as long as each can have min_connections connections.
START_TEST(test_relays_count)
{
    static const struct {
        uint32_t connections;
        uint32_t min_connections;
        size_t entries;
        uint32_t relays; // 0: all
    } rows[] = {
        {15, 2, 7, 0},  // a small site
        {24, 2, 66, 6}, // a large site
        {83, 2, 78, 20}, {2, 2, 7, 1},   {0, 2, 7, 1}, {24, 0, 66, 0},
        {24, 2, 12, 0},  {24, 2, 13, 6}, {3, 2, 1, 0}, {24, 30, 6, 0},
    };

    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        ck_assert_msg(relay_plan_count(rows[i].connections,
                                       rows[i].min_connections,
                                       rows[i].entries) == rows[i].relays,
                      "row %zu", i);
    }
}
END_TEST

// Guards against uneven load: each failure domain must have a relay of each
// database, and no entry may be a relay of many more databases than average.
START_TEST(test_relays_spread_over_domains)
{
    struct relay_plan_entry entries[ENTRIES];
    unsigned load[ENTRIES] = {0};

    init_entries(entries);
    for (unsigned d = 0; d < DATABASES; d++) {
        unsigned in_domain[DOMAINS] = {0};
        char name[16];
        name_database(name, sizeof(name), d);
        relay_plan_select(name, RELAYS, entries, ENTRIES);
        for (size_t i = 0; i < ENTRIES; i++) {
            in_domain[i % DOMAINS] += entries[i].is_relay;
            load[i] += entries[i].is_relay;
        }
        for (size_t i = 0; i < DOMAINS; i++) {
            ck_assert_uint_eq(in_domain[i], 1);
        }
    }
    for (size_t i = 0; i < ENTRIES; i++) {
        ck_assert_uint_le(load[i], 4);
    }
}
END_TEST

// Guards against needless moves of relays: removing an entry must only replace
// that entry as a relay, whatever the order in which the entries are listed.
START_TEST(test_removed_entry_moves_only_its_databases)
{
    struct relay_plan_entry before[ENTRIES];
    struct relay_plan_entry after[ENTRIES];

    init_entries(before);
    for (unsigned d = 0; d < DATABASES; d++) {
        char name[16];
        name_database(name, sizeof(name), d);
        relay_plan_select(name, RELAYS, before, ENTRIES);
        for (size_t lost = 0; lost < ENTRIES; lost++) {
            size_t count = 0;
            unsigned kept = 0;
            for (size_t i = ENTRIES; i > 0; i--) {
                if (i - 1 != lost) {
                    after[count++] = before[i - 1];
                }
            }
            relay_plan_select(name, RELAYS, after, count);
            for (size_t i = 0; i < count; i++) {
                for (size_t j = 0; j < ENTRIES; j++) {
                    kept += before[j].is_relay && after[i].is_relay &&
                            before[j].vm == after[i].vm;
                }
            }
            ck_assert_uint_eq(kept,
                              before[lost].is_relay ? RELAYS - 1 : RELAYS);
        }
    }
}
END_TEST

// An entry prefers the relay in its own failure domain and never lists itself.
// Entries in a failure domain without a relay spread over all relays.
START_TEST(test_nearest_relay_first)
{
    struct relay_plan_entry entries[ENTRIES];
    unsigned asked[ENTRIES] = {0};
    size_t indexes[3];
    size_t relays[ENTRIES];

    init_entries(entries);
    relay_plan_select("database1", RELAYS, entries, ENTRIES);
    size_t relays_count = relay_plan_list_relays(entries, ENTRIES, relays);
    ck_assert_uint_eq(relays_count, RELAYS);
    for (size_t i = 0; i < ENTRIES; i++) {
        size_t count =
            relay_plan_list_nearest(names[i], domains[i % DOMAINS], NULL,
                                    entries, relays, relays_count, indexes, 3);
        ck_assert_uint_eq(count, 3);
        for (size_t j = 0; j < count; j++) {
            ck_assert(entries[indexes[j]].is_relay);
            ck_assert_uint_ne(indexes[j], i);
        }
        if (!entries[i].is_relay) {
            ck_assert_uint_eq(indexes[0] % DOMAINS, i % DOMAINS);
            ck_assert_uint_ne(indexes[1] % DOMAINS, i % DOMAINS);
        }
        count = relay_plan_list_nearest(names[i], "elsewhere", NULL, entries,
                                        relays, relays_count, indexes, 3);
        asked[indexes[0]]++;
    }
    for (size_t i = 0; i < ENTRIES; i++) {
        ck_assert(!entries[i].is_relay || asked[i] > 0);
    }
    ck_assert_uint_eq(relay_plan_list_nearest("entry0", "domain0", NULL,
                                              entries, relays, relays_count,
                                              indexes, 0),
                      0);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_relays_count);
    tcase_add_test(tests, test_relays_spread_over_domains);
    tcase_add_test(tests, test_removed_entry_moves_only_its_databases);
    tcase_add_test(tests, test_nearest_relay_first);
}

TEST_MAIN("relay_plan", add_tests)
