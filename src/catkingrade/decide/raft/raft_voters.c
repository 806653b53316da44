#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/raft/raft_internal.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

// Returns the configuration in force: that of the last log entry with one,
// committed or not. Returns NULL when no configuration is known.
const struct raft_config *
raft_get_config(const struct raft *raft)
{
    return raft->configs_count > 0 ? &raft->configs[raft->configs_count - 1]
                                   : NULL;
}

// Returns the configuration that was in force at an index, or NULL.
const struct raft_config *
raft_get_config_at(const struct raft *raft, uint64_t index)
{
    for (size_t i = raft->configs_count; i > 0; i--) {
        if (raft->configs[i - 1].index <= index) {
            return &raft->configs[i - 1];
        }
    }
    return NULL;
}

static const struct ck_voter *
raft_find_voter(const struct raft *raft, uint64_t id)
{
    const struct raft_config *config = raft_get_config(raft);

    for (u_int i = 0; config != NULL && i < config->voters.voters.voters_len;
         i++) {
        if (config->voters.voters.voters_val[i].id == id) {
            return &config->voters.voters.voters_val[i];
        }
    }
    return NULL;
}

// Returns whether the id has a vote in the configuration in force.
bool
raft_is_voting(const struct raft *raft, uint64_t id)
{
    const struct ck_voter *voter = raft_find_voter(raft, id);

    return voter != NULL && voter->voting;
}

// Returns the replication state of another member, or NULL when the id is not
// that of another member.
struct raft_peer *
raft_find_peer(struct raft *raft, uint64_t id)
{
    for (size_t i = 0; i < raft->peers_count; i++) {
        if (raft->peers[i].id == id) {
            return &raft->peers[i];
        }
    }
    return NULL;
}

// Returns the number of votes that form a majority of the configuration in
// force. Learners don't count.
size_t
raft_get_majority(const struct raft *raft)
{
    const struct raft_config *config = raft_get_config(raft);
    size_t count = 0;

    for (u_int i = 0; config != NULL && i < config->voters.voters.voters_len;
         i++) {
        count += config->voters.voters.voters_val[i].voting ? 1 : 0;
    }
    return count / 2 + 1;
}

// Updates the list of peers to the configuration in force. Peers that remain
// keep their replication state.
static void
raft_update_peers(struct raft *raft)
{
    const struct raft_config *config = raft_get_config(raft);
    struct raft_peer peers[RAFT_MAX_VOTERS];
    size_t count = 0;

    for (u_int i = 0; config != NULL && i < config->voters.voters.voters_len;
         i++) {
        const struct ck_voter *voter = &config->voters.voters.voters_val[i];
        if (voter->id == raft->params.self) {
            continue;
        }
        const struct raft_peer *known = raft_find_peer(raft, voter->id);
        peers[count] =
            known != NULL
                ? *known
                : (struct raft_peer){
                      .id = voter->id,
                      .next_index = raft_log_get_last_index(&raft->log) + 1,
                      .acked_round_us = INT64_MIN / 2,
                  };
        peers[count].voting = voter->voting;
        count++;
    }
    memcpy(raft->peers, peers, count * sizeof(*peers));
    raft->peers_count = count;
}

// Puts a configuration into force. By the Raft rule it applies as soon as its
// entry is in the log, before the entry is committed.
void
raft_add_config(struct raft *raft, uint64_t index,
                const struct ck_voters_change *voters)
{
    raft->configs = xrealloc(raft->configs, (raft->configs_count + 1) *
                                                sizeof(*raft->configs));
    struct raft_config *config = &raft->configs[raft->configs_count++];
    config->index = index;
    codec_copy((xdrproc_t)xdr_ck_voters_change, voters, &config->voters,
               sizeof(*voters));
    for (u_int i = 0; i < voters->voters.voters_len; i++) {
        if (voters->voters.voters_val[i].id > raft->highest_voter_id) {
            raft->highest_voter_id = voters->voters.voters_val[i].id;
        }
    }
    raft_update_peers(raft);
}

static void
raft_free_config(struct raft_config *config)
{
    codec_free((xdrproc_t)xdr_ck_voters_change, &config->voters);
}

// Removes the configurations at from_index and later, after their entries were
// truncated. The one before them is in force again.
void
raft_drop_configs_from(struct raft *raft, uint64_t from_index)
{
    while (raft->configs_count > 0 &&
           raft->configs[raft->configs_count - 1].index >= from_index) {
        raft_free_config(&raft->configs[--raft->configs_count]);
    }
    raft_update_peers(raft);
}

// Frees the configurations older than the one in force at index.
void
raft_drop_configs_before(struct raft *raft, uint64_t index)
{
    size_t count = 0;

    while (count + 1 < raft->configs_count &&
           raft->configs[count + 1].index <= index) {
        raft_free_config(&raft->configs[count++]);
    }
    raft->configs_count -= count;
    memmove(raft->configs, raft->configs + count,
            raft->configs_count * sizeof(*raft->configs));
}

void
raft_free_configs(struct raft *raft)
{
    for (size_t i = 0; i < raft->configs_count; i++) {
        raft_free_config(&raft->configs[i]);
    }
    free(raft->configs);
    raft->configs = NULL;
    raft->configs_count = 0;
}

// Returns whether a payload is a voter change. Decodes only its first fields.
bool
raft_is_voters_payload(const void *payload, size_t size_bytes)
{
    XDR stream;
    ck_name change_id = NULL;
    u_quad_t revision = 0;
    bool_t check_revision = FALSE;
    enum_t kind = 0;

    xdrmem_create(&stream, (char *)(uintptr_t)payload, (u_int)size_bytes,
                  XDR_DECODE);
    bool known =
        xdr_ck_name(&stream, &change_id) && xdr_u_quad_t(&stream, &revision) &&
        xdr_bool(&stream, &check_revision) && xdr_enum(&stream, &kind);
    xdr_free((xdrproc_t)xdr_ck_name, &change_id);
    return known && kind == CK_CHANGE_VOTERS;
}

// Puts the configuration of a log entry into force, if the entry contains one.
void
raft_add_config_of_entry(struct raft *raft, const struct ck_log_entry *entry)
{
    struct ck_log_payload payload = {0};
    const char *data = entry->payload.payload_val;
    size_t size = entry->payload.payload_len;

    if (!raft_is_voters_payload(data, size) ||
        codec_decode((xdrproc_t)xdr_ck_log_payload, data, size, &payload) !=
            OUTCOME_OK) {
        return;
    }
    raft_add_config(raft, entry->index, &payload.change.ck_change_u.voters);
    codec_free((xdrproc_t)xdr_ck_log_payload, &payload);
}

static void
raft_append_voters(struct raft *raft, uint64_t token, const char *change_id,
                   const struct ck_voter *voters, size_t count)
{
    struct ck_log_payload payload = {
        .change_id = (char *)(uintptr_t)(change_id != NULL ? change_id : ""),
    };
    struct buffer data = {0};

    payload.change.kind = CK_CHANGE_VOTERS;
    payload.change.ck_change_u.voters.voters.voters_len = (u_int)count;
    payload.change.ck_change_u.voters.voters.voters_val =
        (ck_voter *)(uintptr_t)voters;
    int outcome = codec_encode((xdrproc_t)xdr_ck_log_payload, &payload, &data);
    if (outcome != OUTCOME_OK) {
        raft_add_refused(raft, token, OUTCOME_INVALID);
        return;
    }
    struct raft_slot *slot = raft_leader_append(
        raft, token, buffer_get_data(&data), buffer_get_size(&data));
    if (token != 0) {
        struct raft_action *action =
            raft_add_action(raft, RAFT_ACTION_PROPOSED);
        action->token = token;
        action->index = slot->entry.index;
        action->term = slot->entry.term;
    }
    buffer_free(&data);
    raft_leader_advance_commit(raft);
}

// Returns whether a voter change may start. By the single-server rule of Raft,
// the previous change and an entry of this leader's term must be committed.
static bool
raft_may_change_voters(const struct raft *raft)
{
    return raft_is_ready(raft) && raft->transfer_deadline_us == 0 &&
           raft_get_config(raft)->index <= raft->commit_index;
}

static int
raft_check_voters_change(const struct raft *raft,
                         const struct raft_change_voters *change)
{
    const struct raft_config *config = raft_get_config(raft);

    if (raft->role != RAFT_LEADER) {
        return OUTCOME_NOT_LEADER;
    }
    if (!raft_may_change_voters(raft)) {
        return raft_is_ready(raft) && raft->transfer_deadline_us == 0
                   ? OUTCOME_CONFLICT
                   : OUTCOME_AGAIN;
    }
    if (change->added != NULL) {
        return change->added->id > raft->highest_voter_id &&
                       config->voters.voters.voters_len < RAFT_MAX_VOTERS
                   ? OUTCOME_OK
                   : OUTCOME_INVALID;
    }
    if (raft_find_voter(raft, change->removed) == NULL) {
        return OUTCOME_NOT_FOUND;
    }
    return raft_is_voting(raft, change->removed) &&
                   raft_get_majority(raft) == 1
               ? OUTCOME_INVALID // the last vote
               : OUTCOME_OK;
}

// Adds a member as a learner, or removes one. Refuses to add an id that was
// used before, and to remove the last voter.
void
raft_change_voters(struct raft *raft, const struct raft_change_voters *change)
{
    struct ck_voter voters[RAFT_MAX_VOTERS];
    int outcome = raft_check_voters_change(raft, change);
    size_t count = 0;

    if (outcome != OUTCOME_OK) {
        raft_add_refused(raft, change->token, outcome);
        return;
    }
    const struct ck_voters_change *old = &raft_get_config(raft)->voters;
    for (u_int i = 0; i < old->voters.voters_len; i++) {
        if (change->added != NULL ||
            old->voters.voters_val[i].id != change->removed) {
            voters[count++] = old->voters.voters_val[i];
        }
    }
    if (change->added != NULL) {
        voters[count] = *change->added;
        voters[count++].voting = FALSE;
    }
    raft_append_voters(raft, change->token, change->change_id, voters, count);
}

static const struct raft_peer *
raft_find_promotable_learner(const struct raft *raft)
{
    for (size_t i = 0; i < raft->peers_count; i++) {
        const struct raft_peer *peer = &raft->peers[i];
        if (!peer->voting && peer->id != raft->standby &&
            peer->match_index >= raft->commit_index && peer->match_index > 0 &&
            raft->now_us - peer->acked_round_us < raft->params.election_us) {
            return peer;
        }
    }
    return NULL;
}

// Gives a vote to a learner that has stored all committed entries and answered
// within the shortest election timeout. At most one learner at a time.
void
raft_promote_learners(struct raft *raft)
{
    struct ck_voter voters[RAFT_MAX_VOTERS];

    if (raft->role != RAFT_LEADER || !raft_may_change_voters(raft)) {
        return;
    }
    const struct raft_peer *peer = raft_find_promotable_learner(raft);
    if (peer == NULL) {
        return;
    }
    const struct ck_voters_change *old = &raft_get_config(raft)->voters;
    size_t count = old->voters.voters_len;
    for (size_t i = 0; i < count; i++) {
        voters[i] = old->voters.voters_val[i];
        if (voters[i].id == peer->id) {
            voters[i].voting = TRUE;
        }
    }
    raft_append_voters(raft, 0, NULL, voters, count);
}

// Sets the learner that must not be promoted to a voter, even when its log has
// caught up. 0: none.
void
raft_set_standby(struct raft *raft, uint64_t voter)
{
    raft->standby = voter;
}

// Returns the highest voter id ever used in the group.
uint64_t
raft_get_highest_voter_id(const struct raft *raft)
{
    return raft->highest_voter_id;
}

// Returns the send time of the newest round that a voter has answered. The
// result is far in the past when the voter has answered none of this leader.
int64_t
raft_get_acked_round_us(const struct raft *raft, uint64_t voter)
{
    for (size_t i = 0; i < raft->peers_count; i++) {
        if (raft->peers[i].id == voter) {
            return raft->peers[i].acked_round_us;
        }
    }
    return INT64_MIN / 2;
}

// Begins the contact with a leader anew if it was broken for the election
// timeout: changes made meanwhile are received late.
void
raft_note_contact(struct raft *raft)
{
    if (raft->now_us - raft->leader_contact_us >= raft->params.election_us) {
        raft->contact_since_us = raft->now_us;
    }
}

// Returns since when this voter has been in contact with a leader, or has led,
// without a break.
int64_t
raft_get_contact_since_us(const struct raft *raft)
{
    return raft->contact_since_us;
}

// Returns when this voter last received a message from a leader.
int64_t
raft_get_leader_contact_us(const struct raft *raft)
{
    return raft->leader_contact_us;
}
