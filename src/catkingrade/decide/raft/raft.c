#include "catkingrade/decide/raft/raft.h"

#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/raft/raft_internal.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

// Gives voters that share a seed different random sequences.
#define RAFT_SEED_MULTIPLIER UINT64_C(0x9e3779b97f4a7c15)

// Creates a voter from the contents of its store. Copies params and saved. The
// voter grants no vote until the shortest election timeout has passed, because
// it may have answered a leader just before it was restarted, and the lease of
// that leader relies on the answer. The first TICK starts the voter.
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
    raft->leader_contact_us = INT64_MIN / 2;
    raft->contact_since_us = now_us;
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
    raft_unanimous_start(raft);
    return raft;
}

// Frees the voter and everything it owns. raft may be NULL.
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

// Appends a copy of an entry to the log and adds an APPEND action. If the
// entry contains a voter configuration, it takes effect at once.
struct raft_slot *
raft_append_entry(struct raft *raft, const struct ck_log_entry *entry)
{
    struct raft_action *action = raft_add_action(raft, RAFT_ACTION_APPEND);

    raft_entry_copy(entry, &action->entry);
    raft_add_config_of_entry(raft, entry);
    return raft_log_append(&raft->log, entry);
}

// Removes the entries from from_index on, in memory and, with a TRUNCATE
// action, in the store. None of them may be committed.
void
raft_truncate(struct raft *raft, uint64_t from_index)
{
    INVARIANT(from_index > raft->commit_index);
    raft_add_action(raft, RAFT_ACTION_TRUNCATE)->index = from_index;
    raft_log_truncate(&raft->log, from_index);
    raft_drop_configs_from(raft, from_index);
}

// Advances the commit index to index and adds an APPLY action for each newly
// committed entry, in order. A lower index leaves the commit index unchanged.
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
        raft_become_candidate(raft, true,
                              raft_unanimous_is_possible(raft)
                                  ? RAFT_ELECTION_UNANIMOUS
                                  : RAFT_ELECTION_TIMEOUT);
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
    case CK_RAFT_UNANIMOUS_VOTE:
        raft_handle_vote(raft, message);
        break;
    case CK_RAFT_VOTE_RESULT:
    case CK_RAFT_UNANIMOUS_VOTE_RESULT:
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
        break; // no longer passive, so already a member
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

// Adds a ROLE action if the role, term or leader has changed, and a WAKE
// action after each tick or if the wake time has changed.
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

// Handles LEARNER in the passive state: the leader confirms that this voter's
// id is new and has no vote yet. The voter becomes a member and writes an
// initial snapshot, which shows the membership after a restart. Messages that
// arrive within the shortest election timeout after the start are ignored,
// because they may have been sent before this process started.
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

// Handles an event in the passive state. A voter with an empty store may have
// lost its disk, and with it votes and acknowledged entries. It therefore
// refuses proposals, answers no message and writes nothing, so that it is
// still passive after a restart.
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

// Handles one event and appends the resulting actions to the list. A now_us
// before that of an earlier step is treated as equal to it.
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

enum raft_role
raft_get_role(const struct raft *raft)
{
    return raft->role;
}

// Returns the voter id of the leader of the current term, or RAFT_NO_VOTER
// when it is unknown.
uint64_t
raft_get_leader(const struct raft *raft)
{
    return raft->leader;
}

uint64_t
raft_get_term(const struct raft *raft)
{
    return raft->term;
}

// Returns the highest index known to be committed.
uint64_t
raft_get_commit_index(const struct raft *raft)
{
    return raft->commit_index;
}

// Returns the index of the last entry in the log, committed or not.
uint64_t
raft_get_last_index(const struct raft *raft)
{
    return raft_log_get_last_index(&raft->log);
}

// Returns the voter configuration in force, which need not be committed. The
// list is empty if this voter knows no configuration.
const struct ck_voters_change *
raft_get_voters(const struct raft *raft)
{
    static const struct ck_voters_change none;
    const struct raft_config *config = raft_get_config(raft);

    return config != NULL ? &config->voters : &none;
}

// Returns whether this voter started with an empty store and waits for a
// leader to admit it as a new member.
bool
raft_is_passive(const struct raft *raft)
{
    return raft->passive;
}

// Returns the newest snapshot, or NULL. The snapshot at index 0 holds only the
// initial voters; its adapter state is empty.
const struct raft_snapshot *
raft_get_snapshot(const struct raft *raft)
{
    return raft->has_snapshot ? &raft->snapshot : NULL;
}

// Returns the highest index up to which a voter's log is known to match the
// log of this leader; 0 for an unknown voter.
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

// Returns whether this voter is the leader and no other leader can have been
// elected by now_us: a majority has answered a round sent within the shortest
// election timeout, shortened by the drift of both clocks. Returns false once
// the leader has sent TIMEOUT_NOW in a leadership transfer.
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

// Returns whether this leader has committed an entry of its own term. Only
// then does its commit index cover all entries committed in earlier terms.
bool
raft_is_ready(const struct raft *raft)
{
    uint64_t term = 0;

    return raft->role == RAFT_LEADER &&
           raft_log_get_term(&raft->log, raft->commit_index, &term) &&
           term == raft->term;
}
