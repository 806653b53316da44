#include <string.h>

#include "catkingrade/decide/raft/raft_internal.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

// The leader counts itself as having answered every round.
#define RAFT_ACKED_BY_SELF_US (INT64_MAX / 2)

// Appends an entry of the current term. The next TICK sends it. token 0: no
// proposal waits for it.
struct raft_slot *
raft_leader_append(struct raft *raft, uint64_t token, const void *payload,
                   size_t size_bytes)
{
    const struct ck_log_entry entry = {
        .term = raft->term,
        .index = raft_log_get_last_index(&raft->log) + 1,
        .payload = {.payload_len = (u_int)size_bytes,
                    .payload_val = (char *)(uintptr_t)payload},
    };
    struct raft_slot *slot = raft_append_entry(raft, &entry);

    slot->token = token;
    raft->send_pending = true;
    return slot;
}

static void
raft_append_noop(struct raft *raft)
{
    struct ck_log_payload none = {.change_id = (char *)(uintptr_t) ""};
    struct buffer payload = {0};

    none.change.kind = CK_CHANGE_NONE;
    int outcome = codec_encode((xdrproc_t)xdr_ck_log_payload, &none, &payload);
    INVARIANT(outcome == OUTCOME_OK);
    raft_leader_append(raft, 0, buffer_get_data(&payload),
                       buffer_get_size(&payload));
    buffer_free(&payload);
}

// Becomes the leader of the current term and appends a no-op entry, since
// entries of earlier terms are committed only with an entry of this term.
void
raft_become_leader(struct raft *raft)
{
    uint64_t next_index = raft_log_get_last_index(&raft->log) + 1;

    raft_note_contact(raft);
    raft->role = RAFT_LEADER;
    raft->leader = raft->params.self;
    raft->leader_since_us = raft->now_us;
    raft->heartbeat_at_us = raft->now_us + raft->params.heartbeat_us;
    for (size_t i = 0; i < raft->peers_count; i++) {
        struct raft_peer *peer = &raft->peers[i];
        *peer = (struct raft_peer){
            .id = peer->id,
            .voting = peer->voting,
            .next_index = next_index,
            .acked_round_us = INT64_MIN / 2,
        };
    }
    raft_append_noop(raft);
    raft_leader_send_all(raft, true);
    raft_leader_advance_commit(raft);
}

// Sends LEARNER to a peer that has no vote and has not acknowledged any entry.
// The message admits a passive voter, whose id is new.
static void
raft_send_learner(struct raft *raft, const struct raft_peer *peer)
{
    const struct ck_raft_body body = {.kind = CK_RAFT_LEARNER};

    if (!peer->voting && peer->match_index == 0) {
        raft_send(raft, peer->id, raft->term, &body);
    }
}

// Sends missing entries or snapshot chunks to each peer. With heartbeat, sends
// at least one message to each peer that is not receiving a snapshot.
void
raft_leader_send_all(struct raft *raft, bool heartbeat)
{
    raft->send_pending = false;
    for (size_t i = 0; i < raft->peers_count; i++) {
        if (heartbeat) {
            raft_send_learner(raft, &raft->peers[i]);
        }
        raft_peer_send(raft, &raft->peers[i], heartbeat);
    }
}

// Returns the send time of the newest round that a majority has answered.
int64_t
raft_get_quorum_round_us(const struct raft *raft)
{
    int64_t acked_round_us[RAFT_MAX_VOTERS + 1];
    size_t count = 0;

    if (raft_is_voting(raft, raft->params.self)) {
        acked_round_us[count++] = RAFT_ACKED_BY_SELF_US;
    }
    for (size_t i = 0; i < raft->peers_count; i++) {
        if (raft->peers[i].voting) {
            size_t pos = count++;
            for (; pos > 0 &&
                   acked_round_us[pos - 1] < raft->peers[i].acked_round_us;
                 pos--) {
                acked_round_us[pos] = acked_round_us[pos - 1];
            }
            acked_round_us[pos] = raft->peers[i].acked_round_us;
        }
    }
    return acked_round_us[raft_get_majority(raft) - 1];
}

static uint64_t
raft_get_majority_match(const struct raft *raft)
{
    uint64_t matches[RAFT_MAX_VOTERS + 1];
    size_t count = 0;

    if (raft_is_voting(raft, raft->params.self)) {
        matches[count++] = raft_log_get_last_index(&raft->log);
    }
    for (size_t i = 0; i < raft->peers_count; i++) {
        if (raft->peers[i].voting) {
            size_t pos = count++;
            for (; pos > 0 && matches[pos - 1] < raft->peers[i].match_index;
                 pos--) {
                matches[pos] = matches[pos - 1];
            }
            matches[pos] = raft->peers[i].match_index;
        }
    }
    return matches[raft_get_majority(raft) - 1];
}

// Commits the entries that a majority has stored. Entries of earlier terms are
// committed only together with an entry of this term, because a later leader
// could still replace them. A leader that is no longer a voter steps down once
// the configuration without it is committed.
void
raft_leader_advance_commit(struct raft *raft)
{
    uint64_t index = raft_get_majority_match(raft);
    uint64_t term = 0;

    if (index <= raft->commit_index ||
        !raft_log_get_term(&raft->log, index, &term) || term != raft->term) {
        return;
    }
    raft_commit(raft, index);
    if (!raft_is_voting(raft, raft->params.self) &&
        raft_get_config(raft)->index <= raft->commit_index) {
        raft_leader_send_all(raft, true);
        raft_become_follower(raft, raft->term, RAFT_NO_VOTER);
    }
}

static int
raft_check_proposal(const struct raft *raft,
                    const struct raft_propose *propose)
{
    uint64_t last_index = raft_log_get_last_index(&raft->log);

    if (raft->role != RAFT_LEADER) {
        return OUTCOME_NOT_LEADER;
    }
    if (raft->transfer_deadline_us != 0) {
        return OUTCOME_AGAIN;
    }
    if (propose->size_bytes > CK_ENTRY_SIZE) {
        return OUTCOME_TOO_LARGE;
    }
    if (raft_is_voters_payload(propose->payload, propose->size_bytes)) {
        return OUTCOME_INVALID;
    }
    if (last_index - raft->commit_index >= raft->params.max_pending_entries ||
        raft_log_get_bytes(&raft->log, raft->commit_index, last_index) +
                propose->size_bytes >
            raft->params.max_pending_bytes) {
        return OUTCOME_OVERLOADED;
    }
    return OUTCOME_OK;
}

// Appends a proposal to the log and adds a PROPOSED action, or adds a REFUSED
// action if the proposal is invalid or too many proposals are pending.
void
raft_propose(struct raft *raft, const struct raft_propose *propose)
{
    int outcome = raft_check_proposal(raft, propose);

    if (outcome != OUTCOME_OK) {
        raft_add_refused(raft, propose->token, outcome);
        return;
    }
    struct raft_slot *slot = raft_leader_append(
        raft, propose->token, propose->payload, propose->size_bytes);
    struct raft_action *action = raft_add_action(raft, RAFT_ACTION_PROPOSED);
    action->token = propose->token;
    action->index = slot->entry.index;
    action->term = slot->entry.term;
    raft_leader_advance_commit(raft);
}

// Handles a peer's answer to an append request of this term.
void
raft_handle_append_result(struct raft *raft,
                          const struct ck_raft_message *message)
{
    const struct ck_raft_append_result *result =
        &message->body.ck_raft_body_u.append_result;
    struct raft_peer *peer = raft_find_peer(raft, message->from);

    if (message->term > raft->term) {
        raft_become_follower(raft, message->term, RAFT_NO_VOTER);
        return;
    }
    if (raft->role != RAFT_LEADER || message->term != raft->term ||
        peer == NULL || result->round > raft->round) {
        return;
    }
    raft_peer_record_ack(peer, result->round);
    if (!result->success) {
        raft_peer_handle_reject(raft, peer, result);
        return;
    }
    raft_peer_update_match(raft, peer, result->match_index);
    raft_leader_advance_commit(raft);
    if (raft->role == RAFT_LEADER) {
        raft_peer_send(raft, peer, false);
        raft_continue_transfer(raft);
        raft_promote_learners(raft);
    }
}

static uint64_t
raft_choose_transfer_target(const struct raft *raft)
{
    const struct raft_peer *best = NULL;

    for (size_t i = 0; i < raft->peers_count; i++) {
        const struct raft_peer *peer = &raft->peers[i];
        if (peer->voting &&
            (best == NULL || peer->match_index > best->match_index ||
             (peer->match_index == best->match_index &&
              peer->acked_round_us > best->acked_round_us))) {
            best = peer;
        }
    }
    return best != NULL ? best->id : RAFT_NO_VOTER;
}

// Starts a leadership transfer to target. Proposals are refused until it ends.
// Does nothing when this voter is not the leader, a transfer is already in
// progress or the target is this voter or not a voter.
void
raft_start_transfer(struct raft *raft, uint64_t target)
{
    if (raft->role != RAFT_LEADER || raft->transfer_deadline_us != 0) {
        return;
    }
    if (target == RAFT_NO_VOTER) {
        target = raft_choose_transfer_target(raft);
    }
    if (target == raft->params.self || !raft_is_voting(raft, target)) {
        return;
    }
    raft->transfer_target = target;
    raft->transfer_deadline_us = raft->now_us + raft->params.election_us;
    raft_continue_transfer(raft);
}

static void
raft_send_timeout_now(struct raft *raft)
{
    const struct ck_raft_body body = {.kind = CK_RAFT_TIMEOUT_NOW};

    raft_send(raft, raft->transfer_target, raft->term, &body);
}

// Sends TIMEOUT_NOW to the target once its log is complete. From then on this
// leader reports no quorum and so grants no lease, because voters may elect
// the target within the election timeout.
void
raft_continue_transfer(struct raft *raft)
{
    const struct raft_peer *peer = raft_find_peer(raft, raft->transfer_target);

    if (raft->transfer_deadline_us == 0 || raft->timeout_now_sent ||
        peer == NULL ||
        peer->match_index != raft_log_get_last_index(&raft->log)) {
        return;
    }
    raft->timeout_now_sent = true;
    raft->transfer_deadline_us = raft->now_us + raft->params.election_us;
    raft_send_timeout_now(raft);
}

// Ends a transfer at its deadline. If TIMEOUT_NOW was sent, the leader steps
// down even if the target has not won, because the target may still start an
// election. Otherwise the leader accepts proposals again.
static void
raft_expire_transfer(struct raft *raft)
{
    if (raft->transfer_deadline_us == 0 ||
        raft->now_us < raft->transfer_deadline_us) {
        return;
    }
    raft->transfer_deadline_us = 0;
    if (raft->timeout_now_sent) {
        raft_become_follower(raft, raft->term, RAFT_NO_VOTER);
    }
}

static bool
raft_has_lost_quorum(const struct raft *raft)
{
    int64_t since_us = raft_get_quorum_round_us(raft);

    if (raft->leader_since_us > since_us) {
        since_us = raft->leader_since_us;
    }
    return raft->now_us - since_us >= raft->params.election_us;
}

// Handles a TICK at the leader: sends heartbeats and new entries. Steps down
// if no majority has answered within the shortest election timeout.
void
raft_leader_tick(struct raft *raft)
{
    if (raft_has_lost_quorum(raft)) {
        raft_become_follower(raft, raft->term, RAFT_NO_VOTER);
        return;
    }
    raft_expire_transfer(raft);
    if (raft->role != RAFT_LEADER) {
        return;
    }
    bool heartbeat = raft->now_us >= raft->heartbeat_at_us;
    if (heartbeat) {
        raft->heartbeat_at_us = raft->now_us + raft->params.heartbeat_us;
    }
    if (heartbeat || raft->send_pending) {
        raft_leader_send_all(raft, heartbeat);
    }
    if (heartbeat && raft->timeout_now_sent) {
        raft_send_timeout_now(raft);
    }
    raft_promote_learners(raft);
}
