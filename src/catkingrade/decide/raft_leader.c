#include <string.h>

#include "catkingrade/decide/raft_internal.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

#define RAFT_ACKED_BY_SELF_US (INT64_MAX / 2)

// Appends an entry of the current term. token 0: nobody waits for it.
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

// Starts to lead the current term, with an entry of its own.
void
raft_become_leader(struct raft *raft)
{
    uint64_t next_index = raft_log_get_last_index(&raft->log) + 1;

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
            .answered_us = INT64_MIN / 2,
        };
    }
    raft_append_noop(raft);
    raft_leader_send_all(raft, true);
    raft_leader_advance_commit(raft);
}

// Tells one that has no vote yet, and has not answered so far, that its id is
// a new one.
static void
raft_send_learner(struct raft *raft, const struct raft_peer *peer)
{
    const struct ck_raft_body body = {.kind = CK_RAFT_LEARNER};

    if (!peer->voting && peer->match_index == 0) {
        raft_send(raft, peer->id, raft->term, &body);
    }
}

// Sends what each voter lacks; heartbeat: something to each one.
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

// Returns when the newest round was sent that a majority has answered.
int64_t
raft_get_quorum_round_us(const struct raft *raft)
{
    int64_t answered_us[RAFT_MAX_VOTERS + 1];
    size_t count = 0;

    if (raft_is_voting(raft, raft->params.self)) {
        answered_us[count++] = RAFT_ACKED_BY_SELF_US;
    }
    for (size_t i = 0; i < raft->peers_count; i++) {
        if (raft->peers[i].voting) {
            size_t at = count++;
            for (; at > 0 && answered_us[at - 1] < raft->peers[i].answered_us;
                 at--) {
                answered_us[at] = answered_us[at - 1];
            }
            answered_us[at] = raft->peers[i].answered_us;
        }
    }
    return answered_us[raft_get_majority(raft) - 1];
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
            size_t at = count++;
            for (; at > 0 && matches[at - 1] < raft->peers[i].match_index;
                 at--) {
                matches[at] = matches[at - 1];
            }
            matches[at] = raft->peers[i].match_index;
        }
    }
    return matches[raft_get_majority(raft) - 1];
}

// Commits what a majority holds. Entries of earlier terms are committed only
// together with one of this term.
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
    if (propose->size_bytes > CK_BLOB_SIZE) {
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

// Appends a proposal, or refuses it.
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

// Takes the answer of a voter to a round of this term.
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
              peer->answered_us > best->answered_us))) {
            best = peer;
        }
    }
    return best != NULL ? best->id : RAFT_NO_VOTER;
}

// Begins to hand leadership over; no proposal is taken meanwhile. Nothing
// happens when this voter doesn't lead or the target has no vote.
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

// Tells the target to campaign once it holds the whole log. From then on this
// leader grants no lease, since the voters are released from their promise.
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

// A transfer that was sent can't be called back: the leader steps down even
// when the target has not won.
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

// Sends heartbeats and pending proposals; steps down without a quorum.
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
