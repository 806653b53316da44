// Unit tests of the decision to relieve an overloaded primary: one database
// with two replicas, four entries and a change that takes 1.5 s.

#include <check.h>

#include "catkingrade/decide/coordinator/backlog.h"
#include "catkingrade/kernel/memory.h"
#include "test/suite.h"

#define MS      INT64_C(1000)
#define S       (1000 * MS)
#define COST_US (1500 * MS)

// One case: an overload in which a share of the requests is refused, with the
// reports of the entries every 200 ms until 20 s.
struct backlog_case {
    const char *text;
    int64_t overload_us;      // how long requests have been refused
    unsigned refused_percent; // of the requests
    int64_t lag_us[2];        // how long each replica has served no read
    size_t reporters[2];      // entries that report each replica
    bool unusable;            // one of the replicas
    bool suspected;           // the primary
    int64_t since_changed_us; // last change of primary; 0: none
    bool expected;
};

static const struct backlog_case cases[] = {
    {"a quiet day", 0, 0, {0, 0}, {0, 0}, false, false, 0, false},
    {"overloaded, both lag",
     5 * S,
     50,
     {9 * S, 9 * S},
     {4, 4},
     false,
     false,
     0,
     true},
    {"half of the entries refuse",
     5 * S,
     50,
     {9 * S, 9 * S},
     {2, 2},
     false,
     false,
     0,
     true},
    {"a single entry refuses",
     5 * S,
     50,
     {9 * S, 9 * S},
     {1, 1},
     false,
     false,
     0,
     false},
    {"few requests are refused",
     10 * S,
     5,
     {12 * S, 12 * S},
     {4, 4},
     false,
     false,
     0,
     false},
    {"some are refused for long",
     16 * S,
     15,
     {17 * S, 17 * S},
     {4, 4},
     false,
     false,
     0,
     true},
    {"one replica behind",
     5 * S,
     50,
     {9 * S, 0},
     {4, 0},
     false,
     false,
     0,
     false},
    {"a lag that passes",
     5 * S,
     50,
     {9 * S, 300 * MS},
     {4, 4},
     false,
     false,
     0,
     false},
    {"the lag has just begun",
     5 * S,
     50,
     {1 * S, 1 * S},
     {4, 4},
     false,
     false,
     0,
     false},
    {"a short burst",
     2 * S,
     50,
     {9 * S, 9 * S},
     {4, 4},
     false,
     false,
     0,
     false},
    {"a replica leaves or is silent",
     5 * S,
     50,
     {9 * S, 9 * S},
     {4, 4},
     true,
     false,
     0,
     false},
    {"the primary is suspected",
     5 * S,
     50,
     {9 * S, 9 * S},
     {4, 4},
     false,
     true,
     0,
     false},
    {"changed just before",
     5 * S,
     50,
     {9 * S, 9 * S},
     {4, 4},
     false,
     false,
     8 * S,
     false},
    {"changed long before",
     5 * S,
     50,
     {9 * S, 9 * S},
     {4, 4},
     false,
     false,
     10 * S,
     true},
};

static bool
play(const struct backlog_case *row)
{
    struct backlog backlogs[2] = {{0}, {0}};
    struct backlog_replica replicas[2];
    int64_t now_us = 20 * S;
    struct backlog_params params = {
        .replicas = replicas,
        .replicas_count = 2,
        .entries_count = 4,
        .is_primary_suspected = row->suspected,
        .changed_us =
            row->since_changed_us == 0 ? 0 : now_us - row->since_changed_us,
        .change_cost_us = COST_US,
    };

    for (int i = 0; i < 2; i++) {
        for (int64_t at_us = now_us - row->overload_us; at_us <= now_us;
             at_us += 200 * MS) {
            int64_t lost_us = (at_us - (now_us - row->overload_us)) *
                              row->refused_percent / 100;
            int64_t lagging_us = row->lag_us[i] - (now_us - at_us);
            lost_us = lost_us < lagging_us ? lost_us : lagging_us;
            for (size_t entry = 0; entry < row->reporters[i]; entry++) {
                backlog_add_report(&backlogs[i], at_us, entry,
                                   lost_us < 0 ? 0 : lost_us);
            }
        }
        replicas[i] =
            (struct backlog_replica){&backlogs[i], i == 0 || !row->unusable};
    }
    bool result = backlog_should_change(&params, now_us);
    backlog_clear(&backlogs[0]);
    backlog_clear(&backlogs[1]);
    return result;
}

// Guards against a primary that does the work of its lagging replicas for as
// long as they lag, and against changes that cost more than they save or that
// endanger the database.
START_TEST(test_decision)
{
    const struct backlog_case *row = &cases[_i];

    ck_assert_msg(play(row) == row->expected, "%s", row->text);
}
END_TEST

// Guards against a change on account of an overload that has ended: reports
// expire, and a report after a pause begins a new overload.
START_TEST(test_reports_expire)
{
    struct backlog backlog = {0};
    struct backlog_replica replica = {&backlog, true};
    struct backlog_params params = {.replicas = &replica,
                                    .replicas_count = 1,
                                    .entries_count = 1,
                                    .change_cost_us = COST_US};

    backlog_add_report(&backlog, 10 * S, 0, 1 * S);
    backlog_add_report(&backlog, 12 * S, 0, 2 * S);
    backlog_add_report(&backlog, 14 * S, 0, 3 * S);
    ck_assert(backlog_should_change(&params, 14 * S));
    ck_assert(!backlog_should_change(&params, 17 * S));
    backlog_add_report(&backlog, 18 * S, 0, 5 * S);
    ck_assert(!backlog_should_change(&params, 18 * S));
    backlog_clear(&backlog);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_loop_test(tests, test_decision, 0, ARRAY_SIZE(cases));
    tcase_add_test(tests, test_reports_expire);
}

TEST_MAIN("backlog", add_tests)
