#include <check.h>
#include <stdlib.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "test/fake/raft_group.h"
#include "test/suite.h"

#define SECOND_US 1000000

// Three voters, message delays of 1.5 to 10 ms, no other faults.
static const struct raft_group_params default_params = {
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

// Runs for up to 5 s until there is a leader; fails the test without one.
static int
await_leader(struct raft_group *group)
{
    int leader = raft_group_await_leader(group, 5 * SECOND_US);

    check_no_error(group);
    ck_assert_int_ge(leader, 0);
    return leader;
}

// Proposes entries, up to 50 times and 0.1 s apart, until one is acknowledged.
static void
check_commits(struct raft_group *group)
{
    for (int i = 0; i < 50; i++) {
        int leader = await_leader(group);
        uint64_t token = raft_group_propose(group, leader);
        run_for(group, SECOND_US / 10);
        if (raft_group_get_acknowledged_index(group, token) != 0) {
            return;
        }
    }
    ck_abort_msg("nothing is committed");
}

// Guards against lost or duplicated entries and needless elections without
// faults, and against a follower that accepts a proposal.
START_TEST(test_replicates)
{
    struct raft_group *group = raft_group_create(&default_params);
    int leader = await_leader(group);
    uint64_t tokens[200];

    for (size_t i = 0; i < ARRAY_SIZE(tokens); i++) {
        tokens[i] = raft_group_propose(group, leader);
        run_for(group, 2000);
    }
    run_for(group, SECOND_US);
    for (size_t i = 0; i < ARRAY_SIZE(tokens); i++) {
        ck_assert_uint_ne(raft_group_get_acknowledged_index(group, tokens[i]),
                          0);
    }
    for (int i = 0; i < 3; i++) {
        ck_assert_uint_eq(raft_group_get_applied_index(group, i), 201);
    }
    ck_assert_uint_eq(raft_group_get_stats(group)->elections, 1);
    int follower = (leader + 1) % 3;
    uint64_t token = raft_group_propose(group, follower);
    ck_assert_int_eq(raft_group_get_refused_outcome(group, token),
                     OUTCOME_NOT_LEADER);
    raft_group_destroy(group);
}
END_TEST

// Guards against a slow election after the leader crashes, and against an
// election when the crashed leader restarts.
START_TEST(test_leader_crash_elects_successor)
{
    struct raft_group *group = raft_group_create(&default_params);
    int leader = await_leader(group);

    raft_group_crash(group, leader);
    int64_t crashed_us = network_get_now_us(raft_group_get_network(group));
    int next = await_leader(group);
    ck_assert_int_ne(next, leader);
    // Longest election timeout, two round trips and one retry.
    ck_assert_int_lt(network_get_now_us(raft_group_get_network(group)),
                     crashed_us + SECOND_US);
    check_commits(group);
    raft_group_restart(group, leader);
    run_for(group, 2 * SECOND_US);
    ck_assert_int_eq(raft_group_find_leader(group), next);
    ck_assert_uint_eq(raft_group_get_applied_index(group, leader),
                      raft_group_get_applied_index(group, next));
    raft_group_destroy(group);
}
END_TEST

// Guards against a group that waits for the election timeout after a power
// loss of all its VMs, which no leader can have survived. The voters return
// one after the other.
START_TEST(test_restart_of_all_elects_at_once)
{
    struct raft_group_params params = default_params;

    params.seed = (uint64_t)_i + 1;
    struct raft_group *group = raft_group_create(&params);
    check_commits(group);
    run_for(group, SECOND_US);
    for (int i = 0; i < 3; i++) {
        raft_group_crash(group, i);
    }
    run_for(group, SECOND_US);
    for (int i = 0; i < 3; i++) {
        run_for(group, 30000);
        raft_group_restart(group, (i + _i) % 3);
    }
    int64_t from_us = network_get_now_us(raft_group_get_network(group));
    await_leader(group);
    // The start of a candidate, then three round trips of up to 20 ms:
    // pre-vote, vote, first entry. The shortest election timeout is longer.
    ck_assert_int_lt(network_get_now_us(raft_group_get_network(group)),
                     from_us + 100000);
    check_commits(group);
    raft_group_destroy(group);
}
END_TEST

// Guards against an isolated leader that stays leader, leaves its proposals
// pending, or raises its term and so forces an election when it reconnects.
START_TEST(test_isolated_leader_steps_down)
{
    struct raft_group *group = raft_group_create(&default_params);
    int leader = await_leader(group);

    raft_group_isolate(group, leader, true);
    uint64_t token = raft_group_propose(group, leader);
    run_for(group, 2 * SECOND_US);
    // The leader stepped down and refused the proposal while isolated.
    ck_assert_int_ne(raft_get_role(raft_group_get_raft(group, leader)),
                     RAFT_LEADER);
    ck_assert_int_eq(raft_group_get_refused_outcome(group, token),
                     OUTCOME_UNKNOWN);
    uint64_t term = raft_get_term(raft_group_get_raft(group, leader));
    int next = await_leader(group);
    ck_assert_int_ne(next, leader);
    check_commits(group);
    run_for(group, 5 * SECOND_US);
    // Without a majority of pre-votes the term stays the same.
    ck_assert_uint_eq(raft_get_term(raft_group_get_raft(group, leader)), term);
    raft_group_isolate(group, leader, false);
    run_for(group, 2 * SECOND_US);
    // The reconnected voter therefore causes no election.
    ck_assert_int_eq(raft_group_find_leader(group), next);
    ck_assert_uint_eq(raft_group_get_stats(group)->elections, 2);
    raft_group_destroy(group);
}
END_TEST

// Guards against an acknowledgement or a leader without a majority, and
// against a group that does not recover once a majority is back.
START_TEST(test_no_commit_without_majority)
{
    struct raft_group *group = raft_group_create(&default_params);
    int leader = await_leader(group);

    raft_group_crash(group, (leader + 1) % 3);
    raft_group_crash(group, (leader + 2) % 3);
    uint64_t token = raft_group_propose(group, leader);
    run_for(group, 3 * SECOND_US);
    ck_assert_uint_eq(raft_group_get_acknowledged_index(group, token), 0);
    ck_assert_int_eq(raft_group_find_leader(group), -1);
    raft_group_restart(group, (leader + 1) % 3);
    check_commits(group);
    raft_group_destroy(group);
}
END_TEST

// Guards against a voter that cannot catch up when the leader has compacted
// the entries that the voter is missing.
START_TEST(test_lagging_voter_installs_snapshot)
{
    struct raft_group *group = raft_group_create(&default_params);
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
    ck_assert_uint_eq(raft_group_get_applied_index(group, behind), 301);
    // The voter can become leader with the installed state.
    raft_group_crash(group, leader);
    check_commits(group);
    raft_group_destroy(group);
}
END_TEST

// Guards against a leadership transfer that waits for an election timeout or
// accepts proposals meanwhile.
START_TEST(test_transfer)
{
    struct raft_group *group = raft_group_create(&default_params);
    int leader = await_leader(group);
    int target = (leader + 2) % 3;
    const struct raft_event event = {.kind = RAFT_EVENT_TRANSFER,
                                     .transfer =
                                         raft_group_get_id(group, target)};

    check_commits(group);
    run_for(group, SECOND_US); // voters grant no vote just after their start
    int64_t from_us = network_get_now_us(raft_group_get_network(group));
    raft_group_step(group, leader, &event);
    uint64_t token = raft_group_propose(group, leader);
    ck_assert_int_eq(raft_group_get_refused_outcome(group, token),
                     OUTCOME_AGAIN);
    run_for(group, 20000);
    int next = await_leader(group);
    ck_assert_int_eq(next, target);
    // At most four messages of 10 ms each and no timeout.
    ck_assert_int_le(network_get_now_us(raft_group_get_network(group)),
                     from_us + 60000);
    check_commits(group);
    raft_group_destroy(group);
}
END_TEST

// Guards against lost entries when two voters lose their disks one after the
// other and each is replaced under a new id: a replaced voter must not vote
// before it has caught up.
START_TEST(test_voters_replaced_after_disk_loss)
{
    struct raft_group *group = raft_group_create(&default_params);
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
        ck_assert_uint_eq(raft_group_get_applied_index(group, lost[i]), 0);
        ck_assert(raft_group_remove_voter(group, old_id));
        run_for(group, SECOND_US / 2);
        raft_group_start_with_new_id(group, lost[i]);
        ck_assert(raft_group_add_voter(group, lost[i]));
        ck_assert(!raft_group_is_voting(group, lost[i])); // still a learner
        run_for(group, SECOND_US / 2);
        ck_assert(raft_group_is_voting(group, lost[i]));
    }
    raft_group_crash(group, leader);
    check_commits(group); // by the two replaced voters
    ck_assert_uint_ge(raft_group_get_stats(group)->committed, 100);
    raft_group_destroy(group);
}
END_TEST

// Guards against loss of an acknowledged entry: the leader and one voter store
// it, that voter loses its disk and the leader is down. The wiped voter must
// not help elect the third voter, which lacks the entry.
START_TEST(test_wiped_voter_cannot_elect)
{
    struct raft_group *group = raft_group_create(&default_params);
    int leader = await_leader(group);
    int lost = (leader + 1) % 3;
    int behind = (leader + 2) % 3;

    run_for(group, SECOND_US);
    raft_group_crash(group, behind);
    uint64_t token = raft_group_propose(group, leader);
    run_for(group, SECOND_US);
    ck_assert_uint_ne(raft_group_get_acknowledged_index(group, token), 0);
    raft_group_lose_disk(group, lost);
    raft_group_crash(group, leader);
    for (int i = 0; i < 3; i++) { // store empty at each start, so passive
        raft_group_crash(group, lost);
        raft_group_restart(group, lost);
        raft_group_restart(group, behind);
        run_for(group, 3 * SECOND_US);
        ck_assert(raft_is_passive(raft_group_get_raft(group, lost)));
        ck_assert_int_eq(raft_group_find_leader(group), -1);
    }
    raft_group_restart(group, leader);
    check_commits(group);
    raft_group_destroy(group);
}
END_TEST

// Guards against a removed voter id that is used again, when the removal is in
// the log and when only a snapshot records it.
START_TEST(test_reused_voter_ids_are_refused)
{
    struct raft_group *group = raft_group_create(&default_params);
    int leader = await_leader(group);
    int removed = (leader + 1) % 3;

    ck_assert(
        raft_group_remove_voter(group, raft_group_get_id(group, removed)));
    run_for(group, SECOND_US);
    ck_assert(!raft_group_is_voting(group, removed));
    uint64_t changed = raft_group_get_stats(group)->voters_changed;
    ck_assert(raft_group_add_voter(group, removed)); // with its previous id
    ck_assert_uint_eq(raft_group_get_stats(group)->voters_changed, changed);
    // The same with a new leader, after only a snapshot records the removal.
    for (int i = 0; i < 120; i++) {
        raft_group_propose(group, leader);
        run_for(group, 5000);
    }
    raft_group_crash(group, leader);
    raft_group_restart(group, leader);
    check_commits(group);
    ck_assert(raft_group_add_voter(group, removed));
    ck_assert_uint_eq(raft_group_get_stats(group)->voters_changed, changed);
    raft_group_destroy(group);
}
END_TEST

// Guards against a group without a leader after the leader was removed from
// it.
START_TEST(test_leader_removes_itself)
{
    struct raft_group *group = raft_group_create(&default_params);
    int leader = await_leader(group);

    ck_assert(
        raft_group_remove_voter(group, raft_group_get_id(group, leader)));
    run_for(group, 2 * SECOND_US);
    int next = await_leader(group);
    ck_assert_int_ne(next, leader);
    check_commits(group);
    ck_assert(!raft_group_is_voting(group, leader));
    raft_group_destroy(group);
}
END_TEST

// Guards against a single voter that waits for answers of others before it
// commits or reports a quorum, and that cannot add a second voter.
START_TEST(test_single_voter)
{
    struct raft_group_params params = default_params;

    params.voters_count = 1;
    struct raft_group *group = raft_group_create(&params);
    check_commits(group);
    ck_assert(raft_has_quorum(raft_group_get_raft(group, 0), SECOND_US * 9));
    raft_group_start_with_new_id(group, 1);
    ck_assert(raft_group_add_voter(group, 1));
    run_for(group, SECOND_US);
    ck_assert(raft_group_is_voting(group, 1));
    check_commits(group);
    raft_group_destroy(group);
}
END_TEST

// Guards against two leaders that report a quorum at once: the quorum must
// expire within the shortest election timeout (250 ms here) after the last
// answered round, before another leader can be elected.
START_TEST(test_quorum_expires_before_step_down)
{
    struct raft_group *group = raft_group_create(&default_params);
    struct network *network = raft_group_get_network(group);
    int leader = await_leader(group);
    const struct raft *raft = raft_group_get_raft(group, leader);

    run_for(group, SECOND_US);
    int64_t isolated_us = network_get_now_us(network);
    ck_assert(raft_has_quorum(raft, isolated_us));
    raft_group_isolate(group, leader, true);
    while (raft_has_quorum(raft, network_get_now_us(network))) {
        run_for(group, 1000);
    }
    // The quorum expires before the leader steps down, and the leader steps
    // down before another one can be elected.
    ck_assert_int_lt(network_get_now_us(network), isolated_us + 245000);
    ck_assert_int_eq(raft_get_role(raft), RAFT_LEADER);
    ck_assert_uint_eq(raft_group_get_stats(group)->elections, 1);
    run_for(group, 2 * SECOND_US);
    ck_assert_int_ne(raft_get_role(raft), RAFT_LEADER);
    ck_assert_uint_eq(raft_group_get_stats(group)->elections, 2);
    raft_group_destroy(group);
}
END_TEST

// Guards against violations of the Raft rules that struct raft_group checks,
// under random faults with fixed seeds: lost, delayed, reordered and
// duplicated messages, partitions, crashes before any action, clocks whose
// rates differ by up to 1%, and lost disks.
START_TEST(test_chaos)
{
    const struct raft_group_params params =
        raft_group_get_chaos_params((uint64_t)_i + 1);
    struct raft_group *group = raft_group_create(&params);

    raft_group_run_chaos(group, 20 * (int64_t)SECOND_US);
    check_no_error(group);
    check_commits(group);
    ck_assert_uint_gt(raft_group_get_stats(group)->acknowledged, 50);
    raft_group_destroy(group);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_replicates);
    tcase_add_test(tests, test_leader_crash_elects_successor);
    tcase_add_loop_test(tests, test_restart_of_all_elects_at_once, 0, 12);
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
