#include <check.h>
#include <stdlib.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "test/fake/raft_group.h"
#include "test/suite.h"

#define SECOND_US 1000000

static const struct raft_group_params calm = {
    .seed = 1,
    .voters_count = 3,
    .snapshot_entries = 50,
    .faults = {.delay_min_us = 1500, .delay_max_us = 10000},
};

static void
check_no_error(const struct raft_group *group)
{
    const char *error = raft_group_get_error(group);

    ck_assert_msg(error == NULL, "%s", error);
}

static void
run_for(struct raft_group *group, int64_t duration_us)
{
    struct network *network = raft_group_get_network(group);

    raft_group_run(group, network_get_now_us(network) + duration_us);
    check_no_error(group);
}

static int
await_leader(struct raft_group *group)
{
    int leader = raft_group_await_leader(group, 5 * SECOND_US);

    check_no_error(group);
    ck_assert_int_ge(leader, 0);
    return leader;
}

// Proposes entries until one is acknowledged.
static void
check_serves(struct raft_group *group)
{
    for (int i = 0; i < 50; i++) {
        int leader = await_leader(group);
        uint64_t token = raft_group_propose(group, leader);
        run_for(group, SECOND_US / 10);
        if (raft_group_get_acknowledged(group, token) != 0) {
            return;
        }
    }
    ck_abort_msg("nothing is committed");
}

START_TEST(test_replicates)
{
    struct raft_group *group = raft_group_create(&calm);
    int leader = await_leader(group);
    uint64_t tokens[200];

    for (size_t i = 0; i < ARRAY_SIZE(tokens); i++) {
        tokens[i] = raft_group_propose(group, leader);
        run_for(group, 2000);
    }
    run_for(group, SECOND_US);
    for (size_t i = 0; i < ARRAY_SIZE(tokens); i++) {
        ck_assert_uint_ne(raft_group_get_acknowledged(group, tokens[i]), 0);
    }
    for (int i = 0; i < 3; i++) {
        ck_assert_uint_eq(raft_group_get_applied(group, i), 201);
    }
    ck_assert_uint_eq(raft_group_get_stats(group)->elections, 1);
    int follower = (leader + 1) % 3;
    uint64_t token = raft_group_propose(group, follower);
    ck_assert_int_eq(raft_group_get_refused(group, token), OUTCOME_NOT_LEADER);
    raft_group_destroy(group);
}
END_TEST

START_TEST(test_leader_crash_elects_successor)
{
    struct raft_group *group = raft_group_create(&calm);
    int leader = await_leader(group);

    raft_group_crash(group, leader);
    int64_t lost_us = network_get_now_us(raft_group_get_network(group));
    int next = await_leader(group);
    ck_assert_int_ne(next, leader);
    // The longest election timeout, two round trips and a retry.
    ck_assert_int_lt(network_get_now_us(raft_group_get_network(group)),
                     lost_us + SECOND_US);
    check_serves(group);
    raft_group_restart(group, leader);
    run_for(group, 2 * SECOND_US);
    ck_assert_int_eq(raft_group_find_leader(group), next);
    ck_assert_uint_eq(raft_group_get_applied(group, leader),
                      raft_group_get_applied(group, next));
    raft_group_destroy(group);
}
END_TEST

START_TEST(test_isolated_leader_steps_down)
{
    struct raft_group *group = raft_group_create(&calm);
    int leader = await_leader(group);

    raft_group_isolate(group, leader, true);
    uint64_t token = raft_group_propose(group, leader);
    run_for(group, 2 * SECOND_US);
    // It gave up by itself and said so, before anyone told it.
    ck_assert_int_ne(raft_get_role(raft_group_get_raft(group, leader)),
                     RAFT_LEADER);
    ck_assert_int_eq(raft_group_get_refused(group, token), OUTCOME_UNKNOWN);
    uint64_t term = raft_get_term(raft_group_get_raft(group, leader));
    int next = await_leader(group);
    ck_assert_int_ne(next, leader);
    check_serves(group);
    run_for(group, 5 * SECOND_US);
    // Without a majority of pre-votes its term does not rise ...
    ck_assert_uint_eq(raft_get_term(raft_group_get_raft(group, leader)), term);
    raft_group_isolate(group, leader, false);
    run_for(group, 2 * SECOND_US);
    // ... so its return disturbs nobody.
    ck_assert_int_eq(raft_group_find_leader(group), next);
    ck_assert_uint_eq(raft_group_get_stats(group)->elections, 2);
    raft_group_destroy(group);
}
END_TEST

START_TEST(test_no_commit_without_majority)
{
    struct raft_group *group = raft_group_create(&calm);
    int leader = await_leader(group);

    raft_group_crash(group, (leader + 1) % 3);
    raft_group_crash(group, (leader + 2) % 3);
    uint64_t token = raft_group_propose(group, leader);
    run_for(group, 3 * SECOND_US);
    ck_assert_uint_eq(raft_group_get_acknowledged(group, token), 0);
    ck_assert_int_eq(raft_group_find_leader(group), -1);
    raft_group_restart(group, (leader + 1) % 3);
    check_serves(group);
    raft_group_destroy(group);
}
END_TEST

START_TEST(test_lagging_voter_installs_snapshot)
{
    struct raft_group *group = raft_group_create(&calm);
    int leader = await_leader(group);
    int behind = (leader + 1) % 3;

    raft_group_crash(group, behind);
    for (int i = 0; i < 300; i++) {
        raft_group_propose(group, leader);
        run_for(group, 5000);
    }
    raft_group_restart(group, behind);
    run_for(group, 2 * SECOND_US);
    ck_assert_uint_ge(raft_group_get_stats(group)->installs, 1);
    ck_assert_uint_eq(raft_group_get_applied(group, behind), 301);
    // It can lead with what it was given.
    raft_group_crash(group, leader);
    check_serves(group);
    raft_group_destroy(group);
}
END_TEST

START_TEST(test_transfer)
{
    struct raft_group *group = raft_group_create(&calm);
    int leader = await_leader(group);
    int target = (leader + 2) % 3;
    const struct raft_event event = {.kind = RAFT_EVENT_TRANSFER,
                                     .transfer =
                                         raft_group_get_id(group, target)};

    check_serves(group);
    run_for(group, SECOND_US); // voters have waited after their start
    int64_t from_us = network_get_now_us(raft_group_get_network(group));
    raft_group_step(group, leader, &event);
    uint64_t token = raft_group_propose(group, leader);
    ck_assert_int_eq(raft_group_get_refused(group, token), OUTCOME_AGAIN);
    run_for(group, 20000);
    int next = await_leader(group);
    ck_assert_int_eq(next, target);
    // Four messages of at most 10 ms and no timeout.
    ck_assert_int_le(network_get_now_us(raft_group_get_network(group)),
                     from_us + 60000);
    check_serves(group);
    raft_group_destroy(group);
}
END_TEST

// A node joins and leaves; then a voter loses its disk, comes back under a
// new id, and right after that repair another one loses its disk.
START_TEST(test_voters_replaced_after_disk_loss)
{
    struct raft_group *group = raft_group_create(&calm);
    int leader = await_leader(group);
    int first = (leader + 1) % 3;
    int second = (leader + 2) % 3;

    for (int i = 0; i < 100; i++) {
        raft_group_propose(group, leader);
        run_for(group, 3000);
    }
    const int lost[] = {first, second};
    for (size_t i = 0; i < ARRAY_SIZE(lost); i++) {
        uint64_t old_id = raft_group_get_id(group, lost[i]);
        raft_group_lose_disk(group, lost[i]);
        raft_group_restart(group, lost[i]);
        run_for(group, SECOND_US);
        ck_assert_uint_eq(raft_group_get_applied(group, lost[i]), 0);
        ck_assert(raft_group_remove_voter(group, old_id));
        run_for(group, SECOND_US / 2);
        raft_group_renew(group, lost[i]);
        ck_assert(raft_group_add_voter(group, lost[i]));
        ck_assert(!raft_group_is_voting(group, lost[i])); // not at once
        run_for(group, SECOND_US / 2);
        ck_assert(raft_group_is_voting(group, lost[i]));
    }
    raft_group_crash(group, leader);
    check_serves(group); // by the two that were repaired
    ck_assert_uint_ge(raft_group_get_stats(group)->committed, 100);
    raft_group_destroy(group);
}
END_TEST

// What only the leader and a voter that has lost its disk held is not lost to
// a third one that is behind, even while the leader is away.
START_TEST(test_wiped_voter_cannot_elect)
{
    struct raft_group *group = raft_group_create(&calm);
    int leader = await_leader(group);
    int lost = (leader + 1) % 3;
    int behind = (leader + 2) % 3;

    run_for(group, SECOND_US);
    raft_group_crash(group, behind);
    uint64_t token = raft_group_propose(group, leader);
    run_for(group, SECOND_US);
    ck_assert_uint_ne(raft_group_get_acknowledged(group, token), 0);
    raft_group_lose_disk(group, lost);
    raft_group_crash(group, leader);
    for (int i = 0; i < 3; i++) { // empty at each start, so passive
        raft_group_crash(group, lost);
        raft_group_restart(group, lost);
        raft_group_restart(group, behind);
        run_for(group, 3 * SECOND_US);
        ck_assert(raft_is_passive(raft_group_get_raft(group, lost)));
        ck_assert_int_eq(raft_group_find_leader(group), -1);
    }
    raft_group_restart(group, leader);
    check_serves(group);
    raft_group_destroy(group);
}
END_TEST

START_TEST(test_reused_voter_ids_are_refused)
{
    struct raft_group *group = raft_group_create(&calm);
    int leader = await_leader(group);
    int removed = (leader + 1) % 3;

    ck_assert(
        raft_group_remove_voter(group, raft_group_get_id(group, removed)));
    run_for(group, SECOND_US);
    ck_assert(!raft_group_is_voting(group, removed));
    uint64_t changed = raft_group_get_stats(group)->voters_changed;
    ck_assert(raft_group_add_voter(group, removed)); // with its old id
    ck_assert_uint_eq(raft_group_get_stats(group)->voters_changed, changed);
    // The same after the change is only in a snapshot and a new leader.
    for (int i = 0; i < 120; i++) {
        raft_group_propose(group, leader);
        run_for(group, 5000);
    }
    raft_group_crash(group, leader);
    raft_group_restart(group, leader);
    check_serves(group);
    ck_assert(raft_group_add_voter(group, removed));
    ck_assert_uint_eq(raft_group_get_stats(group)->voters_changed, changed);
    raft_group_destroy(group);
}
END_TEST

START_TEST(test_leader_removes_itself)
{
    struct raft_group *group = raft_group_create(&calm);
    int leader = await_leader(group);

    ck_assert(
        raft_group_remove_voter(group, raft_group_get_id(group, leader)));
    run_for(group, 2 * SECOND_US);
    int next = await_leader(group);
    ck_assert_int_ne(next, leader);
    check_serves(group);
    ck_assert(!raft_group_is_voting(group, leader));
    raft_group_destroy(group);
}
END_TEST

START_TEST(test_single_voter)
{
    struct raft_group_params params = calm;

    params.voters_count = 1;
    struct raft_group *group = raft_group_create(&params);
    check_serves(group);
    ck_assert(raft_has_quorum(raft_group_get_raft(group, 0), SECOND_US * 9));
    raft_group_renew(group, 1);
    ck_assert(raft_group_add_voter(group, 1));
    run_for(group, SECOND_US);
    ck_assert(raft_group_is_voting(group, 1));
    check_serves(group);
    raft_group_destroy(group);
}
END_TEST

// A quorum lasts only as long as answers come in, less than the shortest
// election timeout, which is 250 ms here.
START_TEST(test_quorum_expires_before_step_down)
{
    struct raft_group *group = raft_group_create(&calm);
    struct network *network = raft_group_get_network(group);
    int leader = await_leader(group);
    const struct raft *raft = raft_group_get_raft(group, leader);

    run_for(group, SECOND_US);
    int64_t cut_us = network_get_now_us(network);
    ck_assert(raft_has_quorum(raft, cut_us));
    raft_group_isolate(group, leader, true);
    while (raft_has_quorum(raft, network_get_now_us(network))) {
        run_for(group, 1000);
    }
    // It lapses before the leader steps down, and that before another one
    // can be elected.
    ck_assert_int_lt(network_get_now_us(network), cut_us + 245000);
    ck_assert_int_eq(raft_get_role(raft), RAFT_LEADER);
    ck_assert_uint_eq(raft_group_get_stats(group)->elections, 1);
    run_for(group, 2 * SECOND_US);
    ck_assert_int_ne(raft_get_role(raft), RAFT_LEADER);
    ck_assert_uint_eq(raft_group_get_stats(group)->elections, 2);
    raft_group_destroy(group);
}
END_TEST

// Random schedules with fixed seeds: loss, delay, reordering, doubled
// messages, cuts, crashes at every action, clocks 1% apart, lost disks.
START_TEST(test_chaos)
{
    const struct raft_group_params params =
        raft_group_get_chaos_params((uint64_t)_i + 1);
    struct raft_group *group = raft_group_create(&params);

    raft_group_run_chaos(group, 20 * (int64_t)SECOND_US);
    check_no_error(group);
    check_serves(group);
    ck_assert_uint_gt(raft_group_get_stats(group)->acknowledged, 50);
    raft_group_destroy(group);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_replicates);
    tcase_add_test(tests, test_leader_crash_elects_successor);
    tcase_add_test(tests, test_isolated_leader_steps_down);
    tcase_add_test(tests, test_no_commit_without_majority);
    tcase_add_test(tests, test_lagging_voter_installs_snapshot);
    tcase_add_test(tests, test_transfer);
    tcase_add_test(tests, test_voters_replaced_after_disk_loss);
    tcase_add_test(tests, test_wiped_voter_cannot_elect);
    tcase_add_test(tests, test_reused_voter_ids_are_refused);
    tcase_add_test(tests, test_leader_removes_itself);
    tcase_add_test(tests, test_single_voter);
    tcase_add_test(tests, test_quorum_expires_before_step_down);
    tcase_add_loop_test(tests, test_chaos, 0, 24);
}

TEST_MAIN("replay_raft", add_tests)
