#include <check.h>
#include <stdio.h>

#include "catkingrade/decide/coordinator/suspicion.h"
#include "catkingrade/kernel/memory.h"
#include "test/suite.h"

#define MS     INT64_C(1000)
#define NOW_US (INT64_C(100000) * MS)

// Evidence against a primary and the expected verdict.
struct row {
    const char *name;
    int reports; // one per entry
    ck_suspicion_kind kind;
    int64_t lasting_ms;
    int probe_failures;
    bool refused;
    int64_t silence_ms;
    size_t entries;
    bool recent_failover;
    enum suspicion_verdict verdict;
};

static const struct row rows[] = {
    {"nothing", 0, 0, 0, 0, false, 100, 7, false, SUSPICION_NONE},
    {"one entry", 1, CK_SUSPECT_SILENT, 900, 0, false, 100, 7, false,
     SUSPICION_PROBE},
    {"one entry, however long", 1, CK_SUSPECT_SILENT, 60000, 0, false, 100, 7,
     false, SUSPICION_PROBE},
    {"one entry and silent probes", 1, CK_SUSPECT_SILENT, 900, 3, false, 100,
     7, false, SUSPICION_PROBE},
    {"the only entry and silent probes", 1, CK_SUSPECT_SILENT, 900, 2, false,
     100, 1, false, SUSPICION_LOST},
    {"one entry and a refused probe", 1, CK_SUSPECT_REFUSED, 0, 1, true, 100,
     7, false, SUSPICION_LOST},
    {"a refused probe alone", 0, 0, 0, 3, true, 100, 7, false,
     SUSPICION_PROBE},
    {"several entries and one silent probe", 3, CK_SUSPECT_SILENT, 500, 1,
     false, 100, 7, false, SUSPICION_PROBE},
    {"several entries and silent probes", 3, CK_SUSPECT_SILENT, 500, 2, false,
     100, 7, false, SUSPICION_LOST},
    {"several entries, but the probe is answered", 3, CK_SUSPECT_SILENT, 5000,
     0, false, 100, 7, false, SUSPICION_PROBE},
    {"all entries, for long", 7, CK_SUSPECT_SILENT, 1000, 0, false, 100, 7,
     false, SUSPICION_LOST},
    {"all entries, not for long", 7, CK_SUSPECT_SILENT, 900, 0, false, 100, 7,
     false, SUSPICION_PROBE},
    {"slow for all entries", 7, CK_SUSPECT_SLOW, 60000, 0, false, 100, 7,
     false, SUSPICION_NONE},
    {"slow, and silent probes", 7, CK_SUSPECT_SLOW, 60000, 2, false, 100, 7,
     false, SUSPICION_PROBE},
    {"no announcement of late", 0, 0, 0, 0, false, 600, 7, false,
     SUSPICION_PROBE},
    {"no announcement and silent probes", 0, 0, 0, 2, false, 1000, 7, false,
     SUSPICION_LOST},
    {"no announcement, but the probe is answered", 0, 0, 0, 0, false, 9000, 7,
     false, SUSPICION_PROBE},
    {"after a recent failover, refused", 3, CK_SUSPECT_REFUSED, 0, 1, true,
     100, 7, true, SUSPICION_PROBE},
    {"after a recent failover, lasting", 3, CK_SUSPECT_REFUSED, 0, 12, true,
     100, 7, true, SUSPICION_LOST},
    {"after a recent failover, one entry", 1, CK_SUSPECT_REFUSED, 0, 12, true,
     100, 7, true, SUSPICION_PROBE},
};

START_TEST(test_verdict)
{
    const struct row *row = &rows[_i];
    struct suspicion suspicion = {0};
    struct suspicion_params params = {
        .suspect_us = 500 * MS,
        .silence_us = 1000 * MS,
        .entries_count = row->entries,
        .announced_us = NOW_US - row->silence_ms * MS,
        .recent_failover = row->recent_failover,
    };
    char vm[16];

    for (int i = 0; i < row->probe_failures; i++) {
        int64_t at_us = NOW_US - (row->probe_failures - i) * 100 * MS;
        suspicion_add_probe(&suspicion, at_us, false, row->refused);
    }
    for (int i = 0; i < row->reports; i++) {
        struct ck_suspicion report = {.kind = row->kind,
                                      .since_ms = (u_quad_t)row->lasting_ms};
        (void)snprintf(vm, sizeof(vm), "e%d", i);
        suspicion_add_report(&suspicion, NOW_US, vm, &report);
    }
    enum suspicion_verdict verdict =
        suspicion_evaluate(&suspicion, NOW_US, &params);
    ck_assert_msg(verdict == row->verdict, "%s: verdict %d", row->name,
                  (int)verdict);
    suspicion_clear(&suspicion);
}
END_TEST

// Guards against needless probes: a primary that announces itself on time must
// not be probed between two announcements.
START_TEST(test_no_probes_between_announcements)
{
    struct suspicion suspicion = {0};
    struct suspicion_params params = {.suspect_us = 600 * MS,
                                      .silence_us = 2250 * MS,
                                      .entries_count = 7,
                                      .announced_us = NOW_US};

    ck_assert_int_eq(
        suspicion_evaluate(&suspicion, NOW_US + 1100 * MS, &params),
        SUSPICION_NONE);
    ck_assert_int_eq(
        suspicion_evaluate(&suspicion, NOW_US + 1200 * MS, &params),
        SUSPICION_PROBE);
    suspicion_clear(&suspicion);
}
END_TEST

START_TEST(test_reports_expire)
{
    struct suspicion suspicion = {0};
    struct suspicion_params params = {
        .suspect_us = 500 * MS, .silence_us = 1000 * MS, .entries_count = 2};
    struct ck_suspicion report = {.kind = CK_SUSPECT_SILENT};

    suspicion_add_report(&suspicion, NOW_US, "e0", &report);
    suspicion_add_report(&suspicion, NOW_US, "e1", &report);
    suspicion_add_probe(&suspicion, NOW_US, false, false);
    suspicion_add_probe(&suspicion, NOW_US, false, false);
    params.announced_us = NOW_US;
    ck_assert_int_eq(suspicion_evaluate(&suspicion, NOW_US, &params),
                     SUSPICION_LOST);
    params.announced_us = NOW_US + 1000 * MS;
    ck_assert_int_eq(
        suspicion_evaluate(&suspicion, NOW_US + 1000 * MS, &params),
        SUSPICION_PROBE);
    suspicion_clear(&suspicion);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_loop_test(tests, test_verdict, 0, ARRAY_SIZE(rows));
    tcase_add_test(tests, test_no_probes_between_announcements);
    tcase_add_test(tests, test_reports_expire);
}

TEST_MAIN("suspicion", add_tests)
