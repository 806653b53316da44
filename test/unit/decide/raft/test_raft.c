#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/raft/raft.h"
#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"
#include "test/suite.h"

#define HEARTBEAT_US    100000
#define ELECTION_US     500000
#define MAX_ELECTION_US (ELECTION_US * 3 / 2)

// Voter 1 of a group of the voters 1, 2 and 3. The test supplies all events.
struct fixture {
    struct raft *raft;
    struct raft_actions actions; // result of the last step
    int64_t now_us;
    struct ck_voter voters[3];
};

static void
fixture_start_voter(struct fixture *fixture, const struct raft_saved *saved,
                    bool starts_passive)
{
    const struct raft_params params = {
        .group = "fleet",
        .self = 1,
        .heartbeat_us = HEARTBEAT_US,
        .election_us = ELECTION_US,
        .clock_drift_ppm = 10000,
        .seed = 1,
        .max_pending_entries = 4,
        .max_pending_bytes = 2 * CK_ENTRY_SIZE + 2000,
        .max_in_flight_bytes = 100000,
        .snapshot_entries = 1000,
        .snapshot_bytes = 1000000,
        .starts_passive = starts_passive,
        .voters = fixture->voters,
        .voters_count = 3,
    };

    memset(fixture, 0, sizeof(*fixture));
    for (size_t i = 0; i < 3; i++) {
        fixture->voters[i] = (struct ck_voter){
            i + 1, (char *)(uintptr_t) "vm", (char *)(uintptr_t) "::1", 1, 1};
    }
    fixture->raft = raft_create(&params, saved, 0);
}

static void
fixture_start(struct fixture *fixture, const struct raft_saved *saved)
{
    fixture_start_voter(fixture, saved, false);
}

static void
fixture_destroy(struct fixture *fixture)
{
    raft_destroy(fixture->raft);
    raft_actions_free(&fixture->actions);
}

static void
step(struct fixture *fixture, const struct raft_event *event)
{
    raft_actions_clear(&fixture->actions);
    raft_step(fixture->raft, fixture->now_us, event, &fixture->actions);
}

static void
tick(struct fixture *fixture, int64_t now_us)
{
    const struct raft_event event = {.kind = RAFT_EVENT_TICK};

    fixture->now_us = now_us;
    step(fixture, &event);
}

static void
receive(struct fixture *fixture, uint64_t from, uint64_t term,
        struct ck_raft_body body)
{
    struct ck_raft_message message = {
        .group = (char *)(uintptr_t) "fleet",
        .from = from,
        .to = 1,
        .term = term,
        .body = body,
    };
    const struct raft_event event = {.kind = RAFT_EVENT_MESSAGE,
                                     .message = &message};

    step(fixture, &event);
}

// Returns the first action of a kind in the last step, or NULL.
static const struct raft_action *
find_action(const struct fixture *fixture, enum raft_action_kind kind)
{
    for (size_t i = 0; i < fixture->actions.count; i++) {
        if (fixture->actions.items[i].kind == kind) {
            return &fixture->actions.items[i];
        }
    }
    return NULL;
}

static const struct ck_raft_message *
find_sent(const struct fixture *fixture, enum ck_raft_kind kind)
{
    for (size_t i = 0; i < fixture->actions.count; i++) {
        const struct raft_action *action = &fixture->actions.items[i];
        if (action->kind == RAFT_ACTION_SEND &&
            action->message.body.kind == kind) {
            return &action->message;
        }
    }
    return NULL;
}

static void
receive_vote(struct fixture *fixture, uint64_t term, uint64_t last_index,
             bool pre_vote, bool transfer)
{
    receive(fixture, 2, term,
            (struct ck_raft_body){
                .kind = CK_RAFT_VOTE,
                .ck_raft_body_u.vote = {pre_vote, transfer, last_index,
                                        last_index == 0 ? 0 : term - 1}});
}

// Returns the answer to a vote request in the last step: 1 granted, 0 refused,
// -1 no answer.
static int
get_vote(const struct fixture *fixture)
{
    const struct ck_raft_message *message =
        find_sent(fixture, CK_RAFT_VOTE_RESULT);

    return message == NULL ? -1
                           : message->body.ck_raft_body_u.vote_result.granted;
}

static void
receive_vote_granted(struct fixture *fixture, uint64_t term, bool pre_vote)
{
    receive(
        fixture, 2, term,
        (struct ck_raft_body){.kind = CK_RAFT_VOTE_RESULT,
                              .ck_raft_body_u.vote_result = {pre_vote, true}});
}

static void
receive_append_success(struct fixture *fixture, uint64_t from, uint64_t round,
                       uint64_t index)
{
    receive(fixture, from, raft_get_term(fixture->raft),
            (struct ck_raft_body){
                .kind = CK_RAFT_APPEND_RESULT,
                .ck_raft_body_u.append_result = {round, true, index}});
}

static void
receive_append(struct fixture *fixture, uint64_t term, uint64_t previous_index,
               uint64_t previous_term, uint64_t commit_index,
               struct ck_log_entry *entries, u_int count)
{
    receive(
        fixture, 2, term,
        (struct ck_raft_body){.kind = CK_RAFT_APPEND,
                              .ck_raft_body_u.append = {1,
                                                        previous_index,
                                                        previous_term,
                                                        commit_index,
                                                        {count, entries}}});
}

// Makes voter 1 the leader. Returns the round of its first append request.
static uint64_t
become_leader(struct fixture *fixture)
{
    tick(fixture, MAX_ELECTION_US);
    ck_assert_ptr_nonnull(find_sent(fixture, CK_RAFT_VOTE));
    uint64_t term = raft_get_term(fixture->raft) + 1;
    receive_vote_granted(fixture, term, true);
    receive_vote_granted(fixture, term, false);
    ck_assert_int_eq(raft_get_role(fixture->raft), RAFT_LEADER);
    const struct ck_raft_message *sent = find_sent(fixture, CK_RAFT_APPEND);
    ck_assert_ptr_nonnull(sent);
    return sent->body.ck_raft_body_u.append.round;
}

static struct ck_log_entry
make_entry(uint64_t index, uint64_t term)
{
    return (struct ck_log_entry){
        .term = term, .index = index, .payload = {4, (char *)"data"}};
}

static const struct raft_saved empty = {0};

// Guards against a commit of an entry of an earlier term as soon as a majority
// has stored it: a later leader may still replace the entry.
START_TEST(test_earlier_term_needs_current_term_entry)
{
    struct ck_log_entry entry = make_entry(1, 2);
    struct fixture fixture;

    fixture_start(&fixture, &empty);
    tick(&fixture, 0);
    receive_append(&fixture, 2, 0, 0, 0, &entry, 1);
    uint64_t round = become_leader(&fixture);
    ck_assert_uint_eq(raft_get_term(fixture.raft), 3);
    ck_assert_uint_eq(raft_get_last_index(fixture.raft), 2);
    receive_append_success(&fixture, 2, round, 1);
    ck_assert_uint_eq(raft_get_commit_index(fixture.raft), 0);
    ck_assert(!raft_is_ready(fixture.raft));
    receive_append_success(&fixture, 2, round, 2);
    ck_assert_uint_eq(raft_get_commit_index(fixture.raft), 2);
    ck_assert(raft_is_ready(fixture.raft));
    fixture_destroy(&fixture);
}
END_TEST

// Guards against two leaders with valid leases: a voter that answered a leader
// just before a restart must not vote for another one right after it.
START_TEST(test_restart_waits_before_vote)
{
    struct fixture fixture;

    fixture_start(&fixture, &empty);
    fixture.now_us = ELECTION_US - 1;
    receive_vote(&fixture, 1, 0, false, false);
    ck_assert_int_eq(get_vote(&fixture), -1);
    receive_vote(&fixture, 1, 0, false, true);
    ck_assert_int_eq(get_vote(&fixture), -1);
    fixture.now_us = ELECTION_US;
    receive_vote(&fixture, 1, 0, false, false);
    ck_assert_int_eq(get_vote(&fixture), 1);
    fixture_destroy(&fixture);
}
END_TEST

// Guards against two leaders with valid leases: a voter in contact with a
// leader must not vote within the shortest election timeout, except in a
// transfer.
START_TEST(test_no_vote_after_leader_contact)
{
    struct fixture fixture;

    fixture_start(&fixture, &empty);
    fixture.now_us = ELECTION_US;
    receive_append(&fixture, 1, 0, 0, 0, NULL, 0);
    fixture.now_us = 2 * ELECTION_US - 1;
    receive_vote(&fixture, 2, 0, true, false);
    ck_assert_int_eq(get_vote(&fixture), -1);
    receive_vote(&fixture, 2, 0, false, false);
    ck_assert_int_eq(get_vote(&fixture), -1);
    ck_assert_uint_eq(raft_get_term(fixture.raft), 1);
    // The leader itself requested this vote by a transfer.
    receive_vote(&fixture, 2, 0, false, true);
    ck_assert_int_eq(get_vote(&fixture), 1);
    receive_append(&fixture, 3, 0, 0, 0, NULL, 0);
    fixture.now_us += ELECTION_US;
    receive_vote(&fixture, 4, 0, false, false);
    ck_assert_int_eq(get_vote(&fixture), 1);
    fixture_destroy(&fixture);
}
END_TEST

// Guards against a voter that takes what it receives after a break of contact
// for recent.
START_TEST(test_break_of_contact_is_noted)
{
    struct fixture fixture;

    fixture_start(&fixture, &empty);
    fixture.now_us = ELECTION_US;
    receive_append(&fixture, 1, 0, 0, 0, NULL, 0);
    ck_assert_int_eq(raft_get_contact_since_us(fixture.raft), ELECTION_US);
    fixture.now_us = 2 * ELECTION_US - 1;
    receive_append(&fixture, 1, 0, 0, 0, NULL, 0);
    ck_assert_int_eq(raft_get_contact_since_us(fixture.raft), ELECTION_US);
    fixture.now_us = 4 * ELECTION_US;
    receive_append(&fixture, 1, 0, 0, 0, NULL, 0);
    ck_assert_int_eq(raft_get_contact_since_us(fixture.raft), 4 * ELECTION_US);
    fixture_destroy(&fixture);
}
END_TEST

// Guards against a second vote in the same term after a crash: term and vote
// must be saved before any answer is sent.
START_TEST(test_term_and_vote_are_saved_first)
{
    struct fixture fixture;

    fixture_start(&fixture, &empty);
    tick(&fixture, 0);
    ck_assert_ptr_nonnull(find_action(&fixture, RAFT_ACTION_SAVE_SNAPSHOT));
    fixture.now_us = ELECTION_US;
    receive_vote(&fixture, 5, 0, true, false); // a pre-vote saves nothing
    ck_assert_int_eq(get_vote(&fixture), 1);
    ck_assert_ptr_null(find_action(&fixture, RAFT_ACTION_SAVE_STATE));
    receive_vote(&fixture, 5, 0, false, false);
    ck_assert_int_eq(get_vote(&fixture), 1);
    const struct raft_action *save =
        find_action(&fixture, RAFT_ACTION_SAVE_STATE);
    ck_assert_ptr_nonnull(save);
    ck_assert(save < find_action(&fixture, RAFT_ACTION_SEND));
    receive_append(&fixture, 9, 0, 0, 0, NULL, 0);
    save = find_action(&fixture, RAFT_ACTION_SAVE_STATE);
    ck_assert_ptr_nonnull(save); // a new term alone is saved too
    ck_assert_uint_eq(save->term, 9);
    ck_assert_uint_eq(save->voted_for, RAFT_NO_VOTER);
    ck_assert(save < find_action(&fixture, RAFT_ACTION_SEND));
    fixture_destroy(&fixture);
}
END_TEST

// Guards against a commit of conflicting entries: the log may contain entries
// of an older leader after the last entry that the append request matched. The
// commit index must not include them.
START_TEST(test_commit_stops_at_last_matched_entry)
{
    struct ck_log_entry entries[] = {make_entry(1, 1), make_entry(2, 1),
                                     make_entry(3, 1)};
    struct fixture fixture;

    fixture_start(&fixture, &empty);
    receive_append(&fixture, 1, 0, 0, 0, entries, 3);
    ck_assert_uint_eq(raft_get_last_index(fixture.raft), 3);
    receive_append(&fixture, 2, 1, 1, 3, NULL, 0);
    ck_assert_uint_eq(raft_get_commit_index(fixture.raft), 1);
    // The conflicting entry and all later entries are replaced.
    entries[1] = make_entry(2, 2);
    receive_append(&fixture, 2, 1, 1, 3, &entries[1], 1);
    const struct raft_action *truncate =
        find_action(&fixture, RAFT_ACTION_TRUNCATE);
    ck_assert_ptr_nonnull(truncate);
    ck_assert_uint_eq(truncate->index, 2);
    ck_assert_uint_eq(raft_get_last_index(fixture.raft), 2);
    ck_assert_uint_eq(raft_get_commit_index(fixture.raft), 2);
    fixture_destroy(&fixture);
}
END_TEST

static int
change_voters(struct fixture *fixture, const struct ck_voter *added,
              uint64_t removed)
{
    const struct raft_event event = {
        .kind = RAFT_EVENT_CHANGE_VOTERS,
        .change_voters = {99, "", added, removed}};

    step(fixture, &event);
    const struct raft_action *refused =
        find_action(fixture, RAFT_ACTION_REFUSED);
    return refused != NULL ? refused->outcome : OUTCOME_OK;
}

// Guards against voter changes that overlap, start before the leader's term is
// committed or use an invalid id: two majorities could then be disjoint.
START_TEST(test_one_voters_change_at_a_time)
{
    struct fixture fixture;
    struct ck_voter voter = {4, (char *)"vm", (char *)"::1", 1, TRUE};

    fixture_start(&fixture, &empty);
    ck_assert_int_eq(change_voters(&fixture, &voter, 0), OUTCOME_NOT_LEADER);
    uint64_t round = become_leader(&fixture);
    ck_assert_int_eq(change_voters(&fixture, &voter, 0), OUTCOME_AGAIN);
    receive_append_success(&fixture, 2, round, 1);
    voter.id = 3;
    ck_assert_int_eq(change_voters(&fixture, &voter, 0), OUTCOME_INVALID);
    ck_assert_int_eq(change_voters(&fixture, NULL, 7), OUTCOME_NOT_FOUND);
    voter.id = 4;
    ck_assert_int_eq(change_voters(&fixture, &voter, 0), OUTCOME_OK);
    ck_assert_uint_eq(raft_get_voters(fixture.raft)->voters.voters_len, 4);
    ck_assert_int_eq(change_voters(&fixture, NULL, 2), OUTCOME_CONFLICT);
    receive_append_success(&fixture, 2, round, 2);
    ck_assert_int_eq(change_voters(&fixture, NULL, 3), OUTCOME_OK);
    fixture_destroy(&fixture);
}
END_TEST

// Guards against a voter configuration that stays in force after a new leader
// has replaced its uncommitted entry.
START_TEST(test_uncommitted_voters_are_rolled_back)
{
    struct fixture fixture;
    struct ck_log_entry entry = make_entry(2, 2);

    fixture_start(&fixture, &empty);
    uint64_t round = become_leader(&fixture);
    receive_append_success(&fixture, 2, round, 1);
    ck_assert_int_eq(change_voters(&fixture, NULL, 3), OUTCOME_OK);
    ck_assert_uint_eq(raft_get_voters(fixture.raft)->voters.voters_len, 2);
    receive_append(&fixture, 2, 1, 1, 1, &entry, 1);
    const struct raft_action *refused =
        find_action(&fixture, RAFT_ACTION_REFUSED);
    ck_assert_ptr_nonnull(refused);
    ck_assert_int_eq(refused->outcome, OUTCOME_UNKNOWN);
    ck_assert_uint_eq(raft_get_voters(fixture.raft)->voters.voters_len, 3);
    fixture_destroy(&fixture);
}
END_TEST

// Guards against loss of acknowledged entries when a snapshot is installed:
// they must stay in the store until the snapshot is durable.
START_TEST(test_snapshot_install_keeps_acknowledged_entries)
{
    struct ck_log_entry entries[] = {make_entry(1, 1), make_entry(2, 1),
                                     make_entry(3, 1)};
    struct fixture fixture;
    // The voters take 4 bytes of XDR: an empty list.
    uint8_t snapshot[64] = {0, 0, 0, 4};

    fixture_start(&fixture, &empty);
    receive_append(&fixture, 1, 0, 0, 1, entries, 3);
    for (uint64_t offset = 0; offset < 64; offset += 32) {
        receive(&fixture, 2, 2,
                (struct ck_raft_body){
                    .kind = CK_RAFT_SNAPSHOT,
                    .ck_raft_body_u.snapshot = {
                        1, 20, 2, offset, 64, {32, (char *)snapshot}}});
        snapshot[3] = 0;
    }
    const struct raft_action *install =
        find_action(&fixture, RAFT_ACTION_INSTALL_SNAPSHOT);
    ck_assert_ptr_nonnull(install);
    ck_assert_uint_eq(install->snapshot.app_offset, 16);
    ck_assert_ptr_null(find_action(&fixture, RAFT_ACTION_TRUNCATE));
    ck_assert(install < find_action(&fixture, RAFT_ACTION_SEND));
    ck_assert_uint_eq(raft_get_last_index(fixture.raft), 20);
    ck_assert_uint_eq(raft_get_commit_index(fixture.raft), 20);
    fixture_destroy(&fixture);
}
END_TEST

static int
propose(struct fixture *fixture, size_t size_bytes)
{
    static const char data[CK_ENTRY_SIZE + 1];
    const struct raft_event event = {.kind = RAFT_EVENT_PROPOSE,
                                     .propose = {1, data, size_bytes}};

    step(fixture, &event);
    const struct raft_action *refused =
        find_action(fixture, RAFT_ACTION_REFUSED);
    ck_assert(refused == NULL || refused->token == 1);
    ck_assert((refused == NULL) ==
              (find_action(fixture, RAFT_ACTION_PROPOSED) != NULL));
    if (refused != NULL && refused->outcome == OUTCOME_OVERLOADED) {
        ck_assert_int_eq(refused->retry_after_us, HEARTBEAT_US);
    }
    return refused != NULL ? refused->outcome : OUTCOME_OK;
}

// Guards against unbounded memory: the leader must refuse proposals that are
// too large or above the limits of pending entries and bytes.
START_TEST(test_proposals_are_bounded)
{
    struct fixture fixture;

    fixture_start(&fixture, &empty);
    ck_assert_int_eq(propose(&fixture, 10), OUTCOME_NOT_LEADER);
    // The leader's no-op entry is pending too.
    uint64_t round = become_leader(&fixture);
    ck_assert_int_eq(propose(&fixture, CK_ENTRY_SIZE + 1), OUTCOME_TOO_LARGE);
    ck_assert_int_eq(propose(&fixture, CK_ENTRY_SIZE), OUTCOME_OK);
    ck_assert_int_eq(propose(&fixture, CK_ENTRY_SIZE), OUTCOME_OK);
    ck_assert_int_eq(propose(&fixture, CK_ENTRY_SIZE), OUTCOME_OVERLOADED);
    ck_assert_int_eq(propose(&fixture, 10), OUTCOME_OK);
    ck_assert_int_eq(propose(&fixture, 10), OUTCOME_OVERLOADED); // 4 entries
    receive_append_success(&fixture, 2, round, 2);
    ck_assert_int_eq(propose(&fixture, 10), OUTCOME_OK);
    fixture_destroy(&fixture);
}
END_TEST

// Guards against one message per proposal and against messages larger than a
// datagram: the next tick sends all pending proposals in as few messages as
// fit.
START_TEST(test_proposals_are_batched)
{
    struct fixture fixture;

    fixture_start(&fixture, &empty);
    uint64_t round = become_leader(&fixture);
    receive_append_success(&fixture, 2, round, 1);
    for (int i = 0; i < 3; i++) {
        ck_assert_int_eq(propose(&fixture, 12000), OUTCOME_OK);
        ck_assert_ptr_null(find_action(&fixture, RAFT_ACTION_SEND));
    }
    ck_assert_ptr_null(find_action(&fixture, RAFT_ACTION_WAKE)); // already set
    tick(&fixture, fixture.now_us);
    size_t messages = 0;
    for (size_t i = 0; i < fixture.actions.count; i++) {
        const struct raft_action *action = &fixture.actions.items[i];
        if (action->kind == RAFT_ACTION_SEND && action->message.to == 2) {
            const struct ck_raft_append *append =
                &action->message.body.ck_raft_body_u.append;
            ck_assert_uint_eq(append->entries.entries_len,
                              messages == 0 ? 2 : 1);
            messages++;
        }
    }
    ck_assert_uint_eq(messages, 2);
    fixture_destroy(&fixture);
}
END_TEST

// Guards against a quorum based on old, duplicated or invalid answers: only
// answers to rounds sent within the shortest election timeout count.
START_TEST(test_quorum_needs_recent_rounds)
{
    struct fixture fixture;

    fixture_start(&fixture, &empty);
    uint64_t round = become_leader(&fixture);
    int64_t sent_us = fixture.now_us;
    ck_assert(!raft_has_quorum(fixture.raft, sent_us));
    receive_append_success(&fixture, 2, round, 1);
    ck_assert(raft_has_quorum(fixture.raft, sent_us));
    // 500 ms minus the drift of both clocks, 1% each.
    ck_assert(raft_has_quorum(fixture.raft, sent_us + 489999));
    ck_assert(!raft_has_quorum(fixture.raft, sent_us + 490000));
    fixture.now_us = sent_us + 400000;
    // A duplicate of an old answer.
    receive_append_success(&fixture, 2, round, 1);
    ck_assert(!raft_has_quorum(fixture.raft, sent_us + 490000));
    // An answer to a round that was never sent.
    receive_append_success(&fixture, 2, round + 1000000000, 1);
    ck_assert(!raft_has_quorum(fixture.raft, sent_us + 490000));
    tick(&fixture, sent_us + 400000);
    const struct ck_raft_message *sent = find_sent(&fixture, CK_RAFT_APPEND);
    receive_append_success(&fixture, 3, sent->body.ck_raft_body_u.append.round,
                           1);
    ck_assert(raft_has_quorum(fixture.raft, sent_us + 490000));
    fixture_destroy(&fixture);
}
END_TEST

// Guards against two leaders with valid leases during a transfer: once the
// leader has sent TIMEOUT_NOW, it must report no quorum, and it must step down
// even if the target is not elected.
START_TEST(test_transfer_ends_leases)
{
    const struct raft_event transfer = {.kind = RAFT_EVENT_TRANSFER,
                                        .transfer = 2};
    struct fixture fixture;

    fixture_start(&fixture, &empty);
    uint64_t round = become_leader(&fixture);
    receive_append_success(&fixture, 3, round, 1);
    step(&fixture, &transfer); // voter 2 is missing the last entry
    ck_assert_ptr_null(find_sent(&fixture, CK_RAFT_TIMEOUT_NOW));
    ck_assert_int_eq(propose(&fixture, 10), OUTCOME_AGAIN);
    ck_assert(raft_has_quorum(fixture.raft, fixture.now_us));
    int64_t until_us = fixture.now_us + ELECTION_US;
    for (int i = 0; i < 5; i++) { // voter 2 never catches up
        tick(&fixture, fixture.now_us + HEARTBEAT_US);
        round = find_sent(&fixture, CK_RAFT_APPEND)
                    ->body.ck_raft_body_u.append.round;
        receive_append_success(&fixture, 3, round, 1);
    }
    ck_assert_int_ge(fixture.now_us, until_us);
    ck_assert_int_eq(propose(&fixture, 10), OUTCOME_OK); // transfer expired
    receive_append_success(&fixture, 2, round, 2);
    step(&fixture, &transfer);
    ck_assert_ptr_nonnull(find_sent(&fixture, CK_RAFT_TIMEOUT_NOW));
    ck_assert(!raft_has_quorum(fixture.raft, fixture.now_us));
    tick(&fixture, fixture.now_us + ELECTION_US - 1);
    ck_assert_ptr_nonnull(find_sent(&fixture, CK_RAFT_TIMEOUT_NOW));
    receive_append_success(
        &fixture, 3,
        find_sent(&fixture, CK_RAFT_APPEND)->body.ck_raft_body_u.append.round,
        2);
    ck_assert(!raft_has_quorum(fixture.raft, fixture.now_us));
    tick(&fixture, fixture.now_us + 1);
    ck_assert_int_eq(raft_get_role(fixture.raft), RAFT_FOLLOWER);
    fixture_destroy(&fixture);
}
END_TEST

// Guards against votes and acknowledgements of a voter that has lost its disk:
// with an empty store and without bootstrap it must answer and write nothing
// until a leader sends LEARNER.
START_TEST(test_voter_with_empty_store_is_passive)
{
    const struct ck_raft_body learner = {.kind = CK_RAFT_LEARNER};
    struct ck_log_entry entry = make_entry(1, 1);
    struct fixture fixture;

    fixture_start_voter(&fixture, &empty, true);
    receive(&fixture, 2, 4, learner); // may be from before the disk was lost
    ck_assert(raft_is_passive(fixture.raft));
    tick(&fixture, MAX_ELECTION_US);
    ck_assert_uint_eq(fixture.actions.count, 0);
    ck_assert_uint_eq(raft_get_voters(fixture.raft)->voters.voters_len, 0);
    receive_vote(&fixture, 5, 1, false, false);
    ck_assert_uint_eq(fixture.actions.count, 0);
    receive_vote(&fixture, 5, 1, true, false);
    ck_assert_uint_eq(fixture.actions.count, 0);
    receive_append(&fixture, 5, 0, 0, 0, &entry, 1);
    ck_assert_uint_eq(fixture.actions.count, 0);
    ck_assert_int_eq(propose(&fixture, 10), OUTCOME_NOT_LEADER);
    receive(&fixture, 2, 6, learner);
    ck_assert(!raft_is_passive(fixture.raft));
    const struct raft_action *first =
        find_action(&fixture, RAFT_ACTION_SAVE_SNAPSHOT);
    ck_assert_ptr_nonnull(first);
    ck_assert_uint_eq(first->snapshot.index, 0);
    ck_assert_uint_eq(find_action(&fixture, RAFT_ACTION_SAVE_STATE)->term, 6);
    receive_append(&fixture, 6, 0, 0, 0, &entry, 1);
    ck_assert_ptr_nonnull(find_sent(&fixture, CK_RAFT_APPEND_RESULT));
    fixture_destroy(&fixture);
}
END_TEST

// Guards against an admitted voter that is passive again after a restart: its
// store must show that it is a member.
START_TEST(test_admitted_voter_is_member_after_restart)
{
    const struct ck_raft_body learner = {.kind = CK_RAFT_LEARNER};
    struct fixture fixture;
    struct fixture restarted;

    fixture_start_voter(&fixture, &empty, true);
    fixture.now_us = ELECTION_US;
    receive(&fixture, 2, 6, learner);
    const struct raft_saved saved = {
        .term = 6,
        .has_snapshot = true,
        .snapshot =
            find_action(&fixture, RAFT_ACTION_SAVE_SNAPSHOT)->snapshot};
    fixture_start_voter(&restarted, &saved, true);
    ck_assert(!raft_is_passive(restarted.raft));
    restarted.now_us = ELECTION_US;
    receive_append(&restarted, 6, 0, 0, 0, NULL, 0);
    ck_assert_ptr_nonnull(find_sent(&restarted, CK_RAFT_APPEND_RESULT));
    fixture_destroy(&fixture);
    fixture_destroy(&restarted);
}
END_TEST

// Guards against a LEARNER message to a voter, which would admit a voter that
// has lost its disk under its old id.
START_TEST(test_learner_message_only_to_learners)
{
    struct fixture fixture;
    struct ck_voter voter = {4, (char *)"vm", (char *)"::1", 1, TRUE};

    fixture_start(&fixture, &empty);
    uint64_t round = become_leader(&fixture);
    ck_assert_ptr_null(find_sent(&fixture, CK_RAFT_LEARNER));
    receive_append_success(&fixture, 2, round, 1);
    ck_assert_int_eq(change_voters(&fixture, &voter, 0), OUTCOME_OK);
    tick(&fixture, fixture.now_us + HEARTBEAT_US);
    const struct ck_raft_message *sent = find_sent(&fixture, CK_RAFT_LEARNER);
    ck_assert_ptr_nonnull(sent);
    ck_assert_uint_eq(sent->to, 4);
    fixture_destroy(&fixture);
}
END_TEST

// Guards against messages of another group or for another voter, and against
// malformed append requests.
START_TEST(test_foreign_messages_are_ignored)
{
    struct fixture fixture;
    struct ck_raft_message message = {.group = (char *)(uintptr_t) "noord",
                                      .from = 2,
                                      .to = 1,
                                      .term = 7,
                                      .body = {.kind = CK_RAFT_APPEND}};
    const struct raft_event event = {.kind = RAFT_EVENT_MESSAGE,
                                     .message = &message};

    fixture_start(&fixture, &empty);
    step(&fixture, &event);
    message.group = (char *)(uintptr_t) "fleet";
    message.to = 2;
    step(&fixture, &event);
    ck_assert_uint_eq(raft_get_term(fixture.raft), 0);
    // Indexes that are not consecutive, then a term above the leader's.
    struct ck_log_entry entries[] = {make_entry(1, 1), make_entry(3, 1)};
    receive_append(&fixture, 1, 0, 0, 0, entries, 2);
    entries[1] = make_entry(2, 9);
    receive_append(&fixture, 1, 0, 0, 0, entries, 2);
    ck_assert_uint_eq(raft_get_last_index(fixture.raft), 0);
    fixture_destroy(&fixture);
}
END_TEST

static void
receive_unanimous_granted(struct fixture *fixture, uint64_t from,
                          uint64_t term, bool pre_vote)
{
    receive(
        fixture, from, term,
        (struct ck_raft_body){.kind = CK_RAFT_UNANIMOUS_VOTE_RESULT,
                              .ck_raft_body_u.vote_result = {pre_vote, true}});
}

// Guards against a group that waits for the election timeout although all of
// its voters have restarted, and against two leaders with valid leases: right
// after a restart the votes of a majority must not suffice.
START_TEST(test_unanimous_election_needs_every_voter)
{
    struct fixture fixture;

    fixture_start(&fixture, &empty);
    tick(&fixture, HEARTBEAT_US);
    ck_assert_ptr_nonnull(find_sent(&fixture, CK_RAFT_UNANIMOUS_VOTE));
    receive_vote_granted(&fixture, 1, true);
    receive_unanimous_granted(&fixture, 2, 1, true);
    ck_assert_uint_eq(raft_get_term(fixture.raft), 0);
    receive_unanimous_granted(&fixture, 3, 1, true);
    ck_assert_uint_eq(raft_get_term(fixture.raft), 1);
    receive_unanimous_granted(&fixture, 2, 1, false);
    ck_assert_int_eq(raft_get_role(fixture.raft), RAFT_CANDIDATE);
    receive_unanimous_granted(&fixture, 3, 1, false);
    ck_assert_int_eq(raft_get_role(fixture.raft), RAFT_LEADER);
    ck_assert_int_lt(fixture.now_us, ELECTION_US);
    fixture_destroy(&fixture);
}
END_TEST

static void
receive_unanimous_pre_vote(struct fixture *fixture, uint64_t from,
                           uint64_t term)
{
    receive(fixture, from, term,
            (struct ck_raft_body){.kind = CK_RAFT_UNANIMOUS_VOTE,
                                  .ck_raft_body_u.vote = {true, false, 0, 0}});
}

static bool
has_unanimous_answer(const struct fixture *fixture)
{
    return find_sent(fixture, CK_RAFT_UNANIMOUS_VOTE_RESULT) != NULL;
}

// Guards against a unanimous election while a leader runs: a voter that leads,
// or has heard of a leader since its restart, takes no part.
START_TEST(test_no_unanimous_vote_beside_leader)
{
    struct fixture fixture;

    fixture_start(&fixture, &empty);
    fixture.now_us = HEARTBEAT_US;
    receive_append(&fixture, 1, 0, 0, 0, NULL, 0);
    fixture.now_us += ELECTION_US - 1;
    receive_unanimous_pre_vote(&fixture, 3, 2);
    ck_assert(!has_unanimous_answer(&fixture));
    fixture.now_us++;
    receive_unanimous_pre_vote(&fixture, 3, 2);
    ck_assert(has_unanimous_answer(&fixture));
    become_leader(&fixture);
    receive_unanimous_pre_vote(&fixture, 3, 9);
    ck_assert(!has_unanimous_answer(&fixture));
    fixture_destroy(&fixture);
}
END_TEST

// Guards against a unanimous election under a voter list by which the last
// leader may have removed itself, since that leader may still run. A list that
// only adds members, or was followed by a later leader, is no obstacle.
START_TEST(test_no_unanimous_election_after_removal)
{
    static const struct {
        u_int voters;
        uint64_t last_term;
        bool expected;
    } cases[] = {{3, 1, true}, {2, 1, false}, {2, 2, true}};

    for (size_t i = 0; i < ARRAY_SIZE(cases); i++) {
        struct fixture fixture;
        struct ck_log_entry entries[2] = {make_entry(1, 1),
                                          make_entry(2, cases[i].last_term)};
        struct ck_log_payload payload = {.change_id = (char *)(uintptr_t) "",
                                         .change = {.kind = CK_CHANGE_VOTERS}};
        struct raft_saved saved = {.term = cases[i].last_term,
                                   .entries = entries,
                                   .entries_count = 2};
        struct buffer bytes = {0};
        fixture_start(&fixture, &empty); // fills fixture.voters
        fixture_destroy(&fixture);
        payload.change.ck_change_u.voters.voters.voters_len = cases[i].voters;
        payload.change.ck_change_u.voters.voters.voters_val = fixture.voters;
        ck_assert_int_eq(
            codec_encode((xdrproc_t)xdr_ck_log_payload, &payload, &bytes),
            OUTCOME_OK);
        entries[0].payload.payload_val = (char *)bytes.data;
        entries[0].payload.payload_len = (u_int)buffer_get_size(&bytes);
        fixture_start(&fixture, &saved);
        tick(&fixture, HEARTBEAT_US);
        bool begun = find_sent(&fixture, CK_RAFT_UNANIMOUS_VOTE) != NULL;
        ck_assert(begun == cases[i].expected);
        fixture_destroy(&fixture);
        buffer_free(&bytes);
    }
}
END_TEST

// Guards against split votes: of two candidates with equal logs in the
// pre-vote phase, the one with the lower id continues.
START_TEST(test_candidate_yields_to_lower_id)
{
    struct fixture fixture;

    fixture_start(&fixture, &empty);
    tick(&fixture, HEARTBEAT_US);
    ck_assert_int_eq(raft_get_role(fixture.raft), RAFT_CANDIDATE);
    receive_unanimous_pre_vote(&fixture, 3, 1);
    ck_assert(!has_unanimous_answer(&fixture));
    ck_assert_int_eq(raft_get_role(fixture.raft), RAFT_CANDIDATE);
    receive_unanimous_pre_vote(&fixture, 0, 1);
    ck_assert(has_unanimous_answer(&fixture));
    ck_assert_int_eq(raft_get_role(fixture.raft), RAFT_FOLLOWER);
    fixture_destroy(&fixture);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_earlier_term_needs_current_term_entry);
    tcase_add_test(tests, test_restart_waits_before_vote);
    tcase_add_test(tests, test_no_vote_after_leader_contact);
    tcase_add_test(tests, test_break_of_contact_is_noted);
    tcase_add_test(tests, test_term_and_vote_are_saved_first);
    tcase_add_test(tests, test_commit_stops_at_last_matched_entry);
    tcase_add_test(tests, test_one_voters_change_at_a_time);
    tcase_add_test(tests, test_uncommitted_voters_are_rolled_back);
    tcase_add_test(tests, test_snapshot_install_keeps_acknowledged_entries);
    tcase_add_test(tests, test_proposals_are_bounded);
    tcase_add_test(tests, test_proposals_are_batched);
    tcase_add_test(tests, test_quorum_needs_recent_rounds);
    tcase_add_test(tests, test_transfer_ends_leases);
    tcase_add_test(tests, test_voter_with_empty_store_is_passive);
    tcase_add_test(tests, test_admitted_voter_is_member_after_restart);
    tcase_add_test(tests, test_learner_message_only_to_learners);
    tcase_add_test(tests, test_foreign_messages_are_ignored);
    tcase_add_test(tests, test_unanimous_election_needs_every_voter);
    tcase_add_test(tests, test_no_unanimous_vote_beside_leader);
    tcase_add_test(tests, test_no_unanimous_election_after_removal);
    tcase_add_test(tests, test_candidate_yields_to_lower_id);
}

TEST_MAIN("raft", add_tests)
