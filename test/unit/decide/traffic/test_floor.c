#include <check.h>

#include "catkingrade/decide/traffic/floor.h"
#include "catkingrade/kernel/memory.h"
#include "test/fake/scheduler_rig.h"
#include "test/suite.h"

static struct scheduler_rig rig;

struct translation {
    struct scheduler_floor floor;
    uint64_t term;
    uint64_t base_lsn;
    enum floor_need need;
    uint64_t lsn;
};

static const struct translation translations[] = {
    {{0, 0}, 0, 0, FLOOR_NEED_LSN, 0},
    {{3, 500}, 3, 100, FLOOR_NEED_LSN, 500},
    {{2, 500}, 3, 100, FLOOR_NEED_LSN, 100},
    {{2, 50}, 3, 100, FLOOR_NEED_LSN, 50},
    {{2, 500}, 3, 0, FLOOR_NEED_LSN, 500},
    {{4, 1}, 3, 100, FLOOR_NEED_VIEW, 1},
};

START_TEST(test_translate)
{
    const struct translation *row = &translations[_i];
    struct ck_database database = {.term = row->term};
    uint64_t lsn = 0;

    database.base.lsn = row->base_lsn;
    ck_assert_int_eq(floor_translate(&database, &row->floor, &lsn), row->need);
    ck_assert_uint_eq(lsn, row->lsn);
}
END_TEST

// Three upstreams: the primary u0 and u1 are at 100, u2 is behind at 50.
static void
setup(void)
{
    scheduler_rig_init(&rig, 3);
    scheduler_rig_post_view(&rig);
    scheduler_rig_post_sample(&rig, 0, 40);
    rig.now_us += 10;
    scheduler_rig_post_sample(&rig, 0, 100);
    scheduler_rig_post_sample(&rig, 1, 100);
    scheduler_rig_post_sample(&rig, 2, 50);
}

static void
open_without_token(uint64_t session)
{
    const struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_SESSION_OPEN,
        .session_open = {.session = session}};

    scheduler_rig_step(&rig, &event);
    scheduler_rig_complete_opens(&rig);
}

static size_t
count_primary_samples(void)
{
    size_t count = 0;

    for (size_t i = 0; i < rig.actions.count; i++) {
        const struct scheduler_action *action = &rig.actions.items[i];
        count +=
            action->kind == SCHEDULER_ACTION_SAMPLE && action->upstream == 0;
    }
    return count;
}

// Sessions without a token get a position of the primary that is requested
// after their arrival. They share one sample.
START_TEST(test_sessions_share_one_sample)
{
    uint64_t requests[3];
    size_t samples = 0;

    setup();
    for (uint64_t i = 0; i < 3; i++) {
        open_without_token(10 + i);
        samples += count_primary_samples();
        requests[i] =
            scheduler_rig_post_request(&rig, 10 + i, SCHEDULER_CLASS_READ, -1);
        ck_assert_ptr_null(
            scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, 0));
    }
    ck_assert_uint_eq(samples, 1);
    rig.now_us += 10;
    scheduler_rig_post_sample(&rig, 0, 100);
    scheduler_rig_complete_opens(&rig);
    for (int i = 0; i < 3; i++) {
        const struct scheduler_action *action = scheduler_rig_find_action(
            &rig, SCHEDULER_ACTION_SEND, requests[i]);
        ck_assert_ptr_nonnull(action);
        ck_assert_uint_ne(action->upstream, 2);
    }
    scheduler_rig_free(&rig);
}
END_TEST

// A sample that was requested before a session arrived may not cover what the
// client wrote through another entry.
START_TEST(test_sample_requested_before_arrival_gives_no_floor)
{
    struct scheduler_event event = {.kind = SCHEDULER_EVENT_SAMPLE};

    setup();
    event.sample = (struct scheduler_sample){.upstream = 0,
                                             .is_primary = true,
                                             .position = {1, 100},
                                             .asked_at_us = rig.now_us + 5};
    rig.now_us += 10;
    open_without_token(10);
    uint64_t request =
        scheduler_rig_post_request(&rig, 10, SCHEDULER_CLASS_READ, -1);
    scheduler_rig_step(&rig, &event);
    scheduler_rig_complete_opens(&rig);
    ck_assert_ptr_null(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, request));
    scheduler_rig_free(&rig);
}
END_TEST

START_TEST(test_read_avoids_replica_below_floor)
{
    const struct scheduler_floor floor = {0, 80};

    setup();
    scheduler_rig_open_session(&rig, 10, &floor);
    scheduler_rig_complete_opens(&rig);
    for (int i = 0; i < 20; i++) {
        uint64_t request =
            scheduler_rig_post_request(&rig, 10, SCHEDULER_CLASS_READ, -1);
        scheduler_rig_complete_opens(&rig);
        const struct scheduler_action *action =
            scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, request);
        ck_assert_ptr_nonnull(action);
        ck_assert_uint_ne(action->upstream, 2);
        scheduler_rig_post_result(&rig, request, action->conn,
                                  SCHEDULER_RESULT_DONE, false, 0);
    }
    scheduler_rig_free(&rig);
}
END_TEST

START_TEST(test_floor_of_later_term_waits_for_view)
{
    const struct scheduler_floor floor = {2, 80};

    setup();
    scheduler_rig_open_session(&rig, 10, &floor);
    scheduler_rig_complete_opens(&rig);
    uint64_t first =
        scheduler_rig_post_request(&rig, 10, SCHEDULER_CLASS_READ, -1);
    ck_assert_ptr_null(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, first));
    scheduler_rig_tick(&rig, 1001 * SCHEDULER_RIG_MS_US);
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE, first));
    scheduler_rig_post_sample(&rig, 0, 100);
    uint64_t second =
        scheduler_rig_post_request(&rig, 10, SCHEDULER_CLASS_READ, -1);
    rig.database.term = 2;
    scheduler_rig_post_view(&rig);
    scheduler_rig_post_sample(&rig, 0, 100);
    scheduler_rig_complete_opens(&rig);
    ck_assert_ptr_null(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_REFUSE, second));
    ck_assert(scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, second) !=
                  NULL ||
              scheduler_rig_count_actions(&rig, SCHEDULER_ACTION_OPEN) == 0);
    scheduler_rig_free(&rig);
}
END_TEST

// A primary whose lease has expired may have been superseded, so its position
// gives no floor.
START_TEST(test_no_floor_without_a_lease)
{
    setup();
    rig.database.group = rig.names[0];
    rig.database.term = 1;
    scheduler_rig_post_view(&rig);
    scheduler_rig_post_lease(&rig, 1, rig.now_us + 100);
    rig.now_us += 200;
    open_without_token(10);
    uint64_t request =
        scheduler_rig_post_request(&rig, 10, SCHEDULER_CLASS_READ, -1);
    scheduler_rig_post_sample(&rig, 0, 100);
    scheduler_rig_complete_opens(&rig);
    ck_assert_ptr_null(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, request));
    scheduler_rig_post_lease(&rig, 1, rig.now_us + 1000);
    rig.now_us += 10;
    scheduler_rig_post_sample(&rig, 0, 100);
    scheduler_rig_complete_opens(&rig);
    ck_assert_ptr_nonnull(
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, request));
    scheduler_rig_free(&rig);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_loop_test(tests, test_translate, 0, ARRAY_SIZE(translations));
    tcase_add_test(tests, test_sessions_share_one_sample);
    tcase_add_test(tests, test_sample_requested_before_arrival_gives_no_floor);
    tcase_add_test(tests, test_read_avoids_replica_below_floor);
    tcase_add_test(tests, test_floor_of_later_term_waits_for_view);
    tcase_add_test(tests, test_no_floor_without_a_lease);
}

TEST_MAIN("floor", add_tests)
