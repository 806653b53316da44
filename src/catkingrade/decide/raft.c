#include "catkingrade/decide/raft.h"

#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/raft_internal.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

// Sets the sequences of voters that share a seed apart.
#define RAFT_SEED_MULTIPLIER UINT64_C(0x9e3779b97f4a7c15)

// Creates a voter from what its store holds. params and saved are copied.
// It votes only after the shortest election timeout, since it may have
// answered a leader just before it stopped. The first TICK starts it.
struct raft *
raft_create(const struct raft_params *params, const struct raft_saved *saved,
            int64_t now_us)
{
    struct raft *raft = xcalloc(1, sizeof(*raft));

    raft->params = *params;
    raft->group = xstrdup(params->group);
    raft->random_state = params->seed ^ (params->self * RAFT_SEED_MULTIPLIER);
    raft->term = saved->term;
    raft->voted_for = saved->voted_for;
    raft->reported_wake_us = -1;
    raft->heard_us = INT64_MIN / 2;
    raft->now_us = now_us;
    raft->no_vote_until_us = now_us + params->election_us;
    raft_set_election_timer(raft);
    if (saved->has_snapshot) {
        raft_snapshot_load(raft, &saved->snapshot);
    }
    else if (params->voters_count > 0 && !params->starts_passive) {
        struct ck_voters_change first;
        first.voters.voters_len = (u_int)params->voters_count;
        first.voters.voters_val = (ck_voter *)(uintptr_t)params->voters;
        raft_add_config(raft, 0, &first);
    }
    for (size_t i = 0; i < saved->entries_count; i++) {
        raft_log_append(&raft->log, &saved->entries[i]);
        raft_add_config_of_entry(raft, &saved->entries[i]);
    }
    raft->passive = !saved->has_snapshot &&
                    (params->starts_passive || raft->configs_count == 0);
    raft->params.voters = NULL;
    raft->params.group = raft->group;
    return raft;
}

// Frees the machine.
void
raft_destroy(struct raft *raft)
{
    if (raft == NULL) {
        return;
    }
    raft_log_free(&raft->log);
    raft_free_configs(raft);
    buffer_free(&raft->incoming.data);
    free(raft->snapshot.data);
    free(raft->group);
    free(raft);
}

// Appends an entry to the log and has it written.
struct raft_slot *
raft_append_entry(struct raft *raft, const struct ck_log_entry *entry)
{
    struct raft_action *action = raft_add_action(raft, RAFT_ACTION_APPEND);

    raft_entry_copy(entry, &action->entry);
    raft_add_config_of_entry(raft, entry);
    return raft_log_append(&raft->log, entry);
}

// Drops entries that are not committed, in memory and in the store.
void
raft_truncate(struct raft *raft, uint64_t from_index)
{
    INVARIANT(from_index > raft->commit_index);
    raft_add_action(raft, RAFT_ACTION_TRUNCATE)->index = from_index;
    raft_log_truncate(&raft->log, from_index);
    raft_drop_configs_from(raft, from_index);
}

// Moves the commit index forward and has the entries applied in order.
void
raft_commit(struct raft *raft, uint64_t index)
{
    if (index > raft->commit_index) {
        raft->commit_index = index;
    }
    while (raft->applied_index < raft->commit_index) {
        struct raft_slot *slot =
            raft_log_get(&raft->log, ++raft->applied_index);
        INVARIANT(slot != NULL);
        struct raft_action *action = raft_add_action(raft, RAFT_ACTION_APPLY);
        raft_entry_copy(&slot->entry, &action->entry);
        action->token = slot->token;
        slot->token = 0;
    }
    raft_request_snapshot_if_due(raft);
}

static void
raft_tick(struct raft *raft)
{
    if (raft->role == RAFT_LEADER) {
        raft_leader_tick(raft);
        return;
    }
    if (raft->now_us < raft->election_at_us) {
        return;
    }
    raft_become_follower(raft, raft->term, RAFT_NO_VOTER);
    if (raft_is_voting(raft, raft->params.self)) {
        raft_become_candidate(raft, true, false);
    }
}

static bool
raft_is_recipient(const struct raft *raft,
                  const struct ck_raft_message *message)
{
    return message->to == raft->params.self &&
           message->from != raft->params.self &&
           strcmp(message->group, raft->group) == 0;
}

static void
raft_handle_message(struct raft *raft, const struct ck_raft_message *message)
{
    if (!raft_is_recipient(raft, message)) {
        return;
    }
    switch (message->body.kind) {
    case CK_RAFT_VOTE:
        raft_handle_vote(raft, message);
        break;
    case CK_RAFT_VOTE_RESULT:
        raft_handle_vote_result(raft, message);
        break;
    case CK_RAFT_APPEND:
        raft_handle_append(raft, message);
        break;
    case CK_RAFT_APPEND_RESULT:
        raft_handle_append_result(raft, message);
        break;
    case CK_RAFT_SNAPSHOT:
        raft_handle_snapshot(raft, message);
        break;
    case CK_RAFT_SNAPSHOT_RESULT:
        raft_handle_snapshot_result(raft, message);
        break;
    case CK_RAFT_TIMEOUT_NOW:
        raft_handle_timeout_now(raft, message);
        break;
    case CK_RAFT_LEARNER:
        break; // admitted before
    }
}

static void
raft_handle_event(struct raft *raft, const struct raft_event *event)
{
    switch (event->kind) {
    case RAFT_EVENT_TICK:
        raft_tick(raft);
        break;
    case RAFT_EVENT_MESSAGE:
        raft_handle_message(raft, event->message);
        break;
    case RAFT_EVENT_PROPOSE:
        raft_propose(raft, &event->propose);
        break;
    case RAFT_EVENT_SNAPSHOT_TAKEN:
        raft_handle_snapshot_taken(raft, &event->snapshot_taken);
        break;
    case RAFT_EVENT_TRANSFER:
        raft_start_transfer(raft, event->transfer);
        break;
    case RAFT_EVENT_CHANGE_VOTERS:
        raft_change_voters(raft, &event->change_voters);
        break;
    }
}

static int64_t
raft_get_wake_us(const struct raft *raft)
{
    if (raft->role != RAFT_LEADER) {
        return raft->election_at_us;
    }
    return raft->send_pending ? raft->now_us : raft->heartbeat_at_us;
}

// Reports the role and the next moment to wake, when they are new.
static void
raft_report_changes(struct raft *raft, bool ticked)
{
    if (raft->role != raft->reported_role ||
        raft->term != raft->reported_term ||
        raft->leader != raft->reported_leader) {
        struct raft_action *action = raft_add_action(raft, RAFT_ACTION_ROLE);
        action->role = raft->reported_role = raft->role;
        action->term = raft->reported_term = raft->term;
        action->leader = raft->reported_leader = raft->leader;
    }
    int64_t wake_us = raft_get_wake_us(raft);
    if (ticked || wake_us != raft->reported_wake_us) {
        raft->reported_wake_us = wake_us;
        raft_add_action(raft, RAFT_ACTION_WAKE)->wake_at_us = wake_us;
    }
}

// A leader that gives this id no vote yet vouches that the id is new. From
// here on it is a member, and its store shows that. A message that is older
// than this process doesn't count.
static void
raft_accept_membership(struct raft *raft,
                       const struct ck_raft_message *message)
{
    if (raft->now_us < raft->no_vote_until_us ||
        !raft_is_recipient(raft, message)) {
        return;
    }
    raft->passive = false;
    raft_snapshot_save_initial(raft);
    raft_accept_leader(raft, message);
    raft->voted_for = message->from;
    raft_save_state(raft);
}

// A voter with an empty store may have lost its disk. It refuses proposals,
// answers nothing and writes nothing, so that it is passive again after a
// restart.
static void
raft_step_passive(struct raft *raft, const struct raft_event *event)
{
    switch (event->kind) {
    case RAFT_EVENT_MESSAGE:
        if (event->message->body.kind == CK_RAFT_LEARNER) {
            raft_accept_membership(raft, event->message);
        }
        break;
    case RAFT_EVENT_PROPOSE:
        raft_add_refused(raft, event->propose.token, OUTCOME_NOT_LEADER);
        break;
    case RAFT_EVENT_CHANGE_VOTERS:
        raft_add_refused(raft, event->change_voters.token, OUTCOME_NOT_LEADER);
        break;
    default:
        break;
    }
}

// Handles one event and appends what is to be done to actions.
void
raft_step(struct raft *raft, int64_t now_us, const struct raft_event *event,
          struct raft_actions *actions)
{
    raft->now_us = now_us > raft->now_us ? now_us : raft->now_us;
    raft->actions = actions;
    if (raft->passive) {
        raft_step_passive(raft, event);
    }
    else {
        raft_snapshot_save_initial(raft);
        raft_handle_event(raft, event);
    }
    if (raft->passive) {
        return;
    }
    raft_report_changes(raft, event->kind == RAFT_EVENT_TICK);
}

// Returns this voter's role.
enum raft_role
raft_get_role(const struct raft *raft)
{
    return raft->role;
}

// Returns the id of the leader, or RAFT_NO_VOTER when it is not known.
uint64_t
raft_get_leader(const struct raft *raft)
{
    return raft->leader;
}

// Returns the current term.
uint64_t
raft_get_term(const struct raft *raft)
{
    return raft->term;
}

// Returns the index up to which entries are known to be committed.
uint64_t
raft_get_commit_index(const struct raft *raft)
{
    return raft->commit_index;
}

// Returns the index of the last entry.
uint64_t
raft_get_last_index(const struct raft *raft)
{
    return raft_log_get_last_index(&raft->log);
}

// Returns the voters in force, which need not be committed yet. The list is
// empty as long as this voter has not learned of any.
const struct ck_voters_change *
raft_get_voters(const struct raft *raft)
{
    static const struct ck_voters_change none;
    const struct raft_config *config = raft_get_config(raft);

    return config != NULL ? &config->voters : &none;
}

// True for a voter with an empty store that is no member: it waits until a
// leader adds its id.
bool
raft_is_passive(const struct raft *raft)
{
    return raft->passive;
}

// Returns the newest snapshot, or NULL. The adapter's part is empty as long
// as no entry was ever snapshotted (index 0).
const struct raft_snapshot *
raft_get_snapshot(const struct raft *raft)
{
    return raft->has_snapshot ? &raft->snapshot : NULL;
}

// Returns how far a voter's log is known to agree with this leader's.
uint64_t
raft_get_match_index(const struct raft *raft, uint64_t voter)
{
    if (voter == raft->params.self) {
        return raft_log_get_last_index(&raft->log);
    }
    for (size_t i = 0; i < raft->peers_count; i++) {
        if (raft->peers[i].id == voter) {
            return raft->peers[i].match_index;
        }
    }
    return 0;
}

// True while no other leader can have been elected: a majority answered a
// round that was sent less than the shortest election timeout ago, less the
// drift of both clocks.
bool
raft_has_quorum(const struct raft *raft, int64_t now_us)
{
    int64_t margin_us = raft->params.election_us *
                        (int64_t)raft->params.clock_drift_ppm * 2 / 1000000;

    if (raft->role != RAFT_LEADER || raft->timeout_now_sent) {
        return false;
    }
    return now_us - raft_get_quorum_round_us(raft) <
           raft->params.election_us - margin_us;
}

// True when this leader has committed an entry of its own term, and so knows
// everything that was ever committed.
bool
raft_is_ready(const struct raft *raft)
{
    uint64_t term = 0;

    return raft->role == RAFT_LEADER &&
           raft_log_get_term(&raft->log, raft->commit_index, &term) &&
           term == raft->term;
}
