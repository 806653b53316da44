#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/raft/raft_internal.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

#define RAFT_SNAPSHOT_CHUNK_BYTES  (8 * 1024)
#define RAFT_SNAPSHOT_WINDOW_BYTES (8 * RAFT_SNAPSHOT_CHUNK_BYTES)
#define RAFT_MAX_SNAPSHOT_BYTES    (256 * 1024 * 1024)
// Size of the encoded voters (4 bytes) and highest voter id (8 bytes).
#define RAFT_SNAPSHOT_HEADER_BYTES 12

static uint64_t
read_be(const uint8_t *data, size_t size_bytes)
{
    uint64_t value = 0;

    for (size_t i = 0; i < size_bytes; i++) {
        value = value << 8 | data[i];
    }
    return value;
}

// Builds a snapshot: a header with the size of the encoded voters and the
// highest voter id ever used, both big-endian, then the voters in XDR, then
// the adapter's state.
static void
raft_snapshot_build(const struct raft *raft, uint64_t index,
                    const struct raft_snapshot_taken *taken,
                    struct raft_snapshot *snapshot)
{
    const struct raft_config *config = raft_get_config_at(raft, index);
    struct ck_voters_change none = {{0}};
    struct buffer voters = {0};
    struct buffer data = {0};

    int outcome =
        codec_encode((xdrproc_t)xdr_ck_voters_change,
                     config != NULL ? &config->voters : &none, &voters);
    INVARIANT(outcome == OUTCOME_OK);
    buffer_append_be32(&data, (uint32_t)buffer_get_size(&voters));
    buffer_append_be32(&data, (uint32_t)(raft->highest_voter_id >> 32));
    buffer_append_be32(&data, (uint32_t)raft->highest_voter_id);
    buffer_append(&data, buffer_get_data(&voters), buffer_get_size(&voters));
    snapshot->app_offset = buffer_get_size(&data);
    buffer_append(&data, taken->data, taken->size_bytes);
    snapshot->index = index;
    snapshot->size_bytes = buffer_get_size(&data);
    snapshot->data = data.data; // ownership moves; data.start is 0
    buffer_free(&voters);
}

// Decodes the voters of a snapshot and the offset of the adapter's state.
// Returns false when the snapshot is malformed.
static bool
raft_snapshot_read_voters(const struct raft_snapshot *snapshot,
                          struct ck_voters_change *voters, size_t *app_offset)
{
    if (snapshot->size_bytes < RAFT_SNAPSHOT_HEADER_BYTES) {
        return false;
    }
    uint64_t voters_bytes = read_be(snapshot->data, 4);
    if (voters_bytes > snapshot->size_bytes - RAFT_SNAPSHOT_HEADER_BYTES) {
        return false;
    }
    memset(voters, 0, sizeof(*voters));
    *app_offset = RAFT_SNAPSHOT_HEADER_BYTES + voters_bytes;
    return codec_decode((xdrproc_t)xdr_ck_voters_change,
                        snapshot->data + RAFT_SNAPSHOT_HEADER_BYTES,
                        voters_bytes, voters) == OUTCOME_OK;
}

// Returns whether the header and the voters of a snapshot are well-formed.
bool
raft_snapshot_is_valid(const struct raft_snapshot *snapshot)
{
    struct ck_voters_change voters;
    size_t app_offset = 0;

    if (!raft_snapshot_read_voters(snapshot, &voters, &app_offset)) {
        return false;
    }
    codec_free((xdrproc_t)xdr_ck_voters_change, &voters);
    return true;
}

// Replaces all voter configurations with the one in the snapshot.
static void
raft_snapshot_restore_voters(struct raft *raft, struct raft_snapshot *snapshot)
{
    struct ck_voters_change voters;
    bool valid =
        raft_snapshot_read_voters(snapshot, &voters, &snapshot->app_offset);

    INVARIANT(valid);
    uint64_t highest_voter_id = read_be(snapshot->data + 4, 8);
    if (highest_voter_id > raft->highest_voter_id) {
        raft->highest_voter_id = highest_voter_id;
    }
    raft_free_configs(raft);
    if (voters.voters.voters_len > 0) {
        raft_add_config(raft, snapshot->index, &voters);
    }
    codec_free((xdrproc_t)xdr_ck_voters_change, &voters);
}

// Copies a snapshot and its data. The caller frees to->data.
void
raft_snapshot_copy(const struct raft_snapshot *from, struct raft_snapshot *to)
{
    *to = *from;
    to->data = (uint8_t *)xmemdupz((const char *)from->data, from->size_bytes);
}

// Replaces the state up to the snapshot's index with a copy of a valid
// snapshot. Later log entries are kept only if the log contains the snapshot's
// last entry with the same term.
void
raft_snapshot_load(struct raft *raft, const struct raft_snapshot *saved)
{
    struct raft_snapshot snapshot;

    raft_snapshot_copy(saved, &snapshot);
    raft_snapshot_restore_voters(raft, &snapshot);
    free(raft->snapshot.data);
    raft->snapshot = snapshot;
    raft->has_snapshot = true;
    raft->commit_index = snapshot.index;
    raft->applied_index = snapshot.index;
    raft->snapshot_requested_index = snapshot.index;
    uint64_t term = 0;
    if (raft_log_get_term(&raft->log, snapshot.index, &term) &&
        term == snapshot.term) {
        raft_log_compact(&raft->log, snapshot.index);
    }
    else {
        raft_log_reset(&raft->log, snapshot.index, snapshot.term);
    }
}

static void
raft_snapshot_replace(struct raft *raft, struct raft_snapshot *snapshot)
{
    struct raft_action *action =
        raft_add_action(raft, RAFT_ACTION_SAVE_SNAPSHOT);

    raft_snapshot_copy(snapshot, &action->snapshot);
    free(raft->snapshot.data);
    raft->snapshot = *snapshot;
    raft->has_snapshot = true;
}

// Saves the initial voters of a new group as the snapshot at index 0, unless
// there is a snapshot. Later changes of the settings then don't change the
// voters. For a voter that joins a group the list is empty.
void
raft_snapshot_save_initial(struct raft *raft)
{
    const struct raft_snapshot_taken taken = {0};
    struct raft_snapshot snapshot = {0};

    if (raft->has_snapshot) {
        return;
    }
    raft_snapshot_build(raft, 0, &taken, &snapshot);
    raft_snapshot_replace(raft, &snapshot);
}

// Requests a snapshot from the adapter when enough entries or bytes have been
// applied since the last request.
void
raft_request_snapshot_if_due(struct raft *raft)
{
    uint64_t requested_index = raft->snapshot_requested_index;

    if (raft->applied_index == requested_index ||
        (raft->applied_index - requested_index <
             raft->params.snapshot_entries &&
         raft_log_get_bytes(&raft->log, requested_index, raft->applied_index) <
             raft->params.snapshot_bytes)) {
        return;
    }
    raft->snapshot_requested_index = raft->applied_index;
    raft_add_action(raft, RAFT_ACTION_TAKE_SNAPSHOT)->index =
        raft->applied_index;
}

// Saves the snapshot that the adapter has taken and removes the entries that
// it covers from memory, except for the last retained_entries, which slow
// voters may still need. Ignores a snapshot that is not newer than the current
// one.
void
raft_handle_snapshot_taken(struct raft *raft,
                           const struct raft_snapshot_taken *taken)
{
    struct raft_snapshot snapshot = {0};

    if (taken->index <= raft->snapshot.index ||
        taken->index > raft->applied_index ||
        !raft_log_get_term(&raft->log, taken->index, &snapshot.term)) {
        return;
    }
    raft_snapshot_build(raft, taken->index, taken, &snapshot);
    raft_snapshot_replace(raft, &snapshot);
    raft_drop_configs_before(raft, taken->index);
    if (taken->index > raft->params.retained_entries) {
        raft_log_compact(&raft->log,
                         taken->index - raft->params.retained_entries);
    }
}

static void
raft_peer_send_chunk(struct raft *raft, struct raft_peer *peer)
{
    const struct raft_snapshot *snapshot = &raft->snapshot;
    uint64_t offset = peer->snapshot_sent_bytes;
    size_t chunk_bytes = snapshot->size_bytes - offset;

    if (chunk_bytes > RAFT_SNAPSHOT_CHUNK_BYTES) {
        chunk_bytes = RAFT_SNAPSHOT_CHUNK_BYTES;
    }
    struct ck_raft_body body = {
        .kind = CK_RAFT_SNAPSHOT,
        .ck_raft_body_u.snapshot = {
            .round = raft_next_round(raft),
            .last_index = snapshot->index,
            .last_term = snapshot->term,
            .offset = offset,
            .total_size = snapshot->size_bytes,
            .data = {
                .data_len = (u_int)chunk_bytes,
                .data_val = xmemdupz((const char *)snapshot->data + offset,
                                     chunk_bytes),
            }}};
    raft_send(raft, peer->id, raft->term, &body);
    peer->snapshot_sent_bytes += chunk_bytes;
}

// Sends the next chunks of the newest snapshot, up to
// RAFT_SNAPSHOT_WINDOW_BYTES past the acknowledged offset. With heartbeat, if
// the peer has acknowledged nothing more since the last heartbeat, sends again
// from the offset that it last requested.
void
raft_peer_send_snapshot(struct raft *raft, struct raft_peer *peer,
                        bool heartbeat)
{
    const struct raft_snapshot *snapshot = &raft->snapshot;

    INVARIANT(raft->has_snapshot);
    if (peer->snapshot_index != snapshot->index || peer->snapshot_index == 0) {
        peer->snapshot_index = snapshot->index;
        peer->snapshot_sent_bytes = 0;
        peer->snapshot_acked_bytes = 0;
        peer->snapshot_requested_bytes = 0;
    }
    if (heartbeat && !peer->snapshot_progressed) {
        peer->snapshot_acked_bytes = peer->snapshot_requested_bytes;
        peer->snapshot_sent_bytes = peer->snapshot_requested_bytes;
    }
    if (heartbeat) {
        peer->snapshot_progressed = false;
    }
    while (peer->snapshot_sent_bytes < snapshot->size_bytes &&
           peer->snapshot_sent_bytes <
               peer->snapshot_acked_bytes + RAFT_SNAPSHOT_WINDOW_BYTES) {
        raft_peer_send_chunk(raft, peer);
    }
}

static void
raft_answer_snapshot(struct raft *raft, const struct ck_raft_message *message,
                     uint64_t next_offset, bool installed)
{
    const struct ck_raft_snapshot *chunk =
        &message->body.ck_raft_body_u.snapshot;
    const struct ck_raft_body body = {.kind = CK_RAFT_SNAPSHOT_RESULT,
                                      .ck_raft_body_u.snapshot_result = {
                                          .round = chunk->round,
                                          .last_index = chunk->last_index,
                                          .next_offset = next_offset,
                                          .installed = installed,
                                      }};

    raft_send(raft, message->from, raft->term, &body);
}

// Appends a chunk to the partly received snapshot if its offset is the next
// one. A chunk of a different snapshot discards the bytes received so far.
static void
raft_append_chunk(struct raft *raft, const struct ck_raft_snapshot *chunk)
{
    struct raft_incoming_snapshot *incoming = &raft->incoming;

    if (incoming->last_index != chunk->last_index ||
        incoming->last_term != chunk->last_term ||
        incoming->total_bytes != chunk->total_size) {
        incoming->last_index = chunk->last_index;
        incoming->last_term = chunk->last_term;
        incoming->total_bytes = chunk->total_size;
        buffer_clear(&incoming->data);
    }
    uint64_t received = buffer_get_size(&incoming->data);
    if (chunk->offset == received &&
        chunk->data.data_len <= incoming->total_bytes - received) {
        buffer_append(&incoming->data, chunk->data.data_val,
                      chunk->data.data_len);
    }
}

// Replaces the log and the adapter's state with the received snapshot. Returns
// false when the snapshot is malformed. Before the snapshot is stored, only
// the entries after its index are truncated, and only if the entry at that
// index has a different term: entries after a conflicting entry cannot have
// been committed. All other entries may have been acknowledged and must stay
// until the snapshot is durable.
static bool
raft_install_snapshot(struct raft *raft)
{
    struct raft_incoming_snapshot *incoming = &raft->incoming;
    const struct raft_snapshot received = {
        .index = incoming->last_index,
        .term = incoming->last_term,
        .data = incoming->data.data + incoming->data.start,
        .size_bytes = buffer_get_size(&incoming->data),
    };
    uint64_t last_index = raft_log_get_last_index(&raft->log);
    uint64_t term = 0;
    bool keeps_log = raft_log_get_term(&raft->log, received.index, &term) &&
                     term == received.term;

    if (!raft_snapshot_is_valid(&received)) {
        return false;
    }
    if (!keeps_log && last_index > received.index) {
        raft_truncate(raft, received.index + 1);
    }
    raft_snapshot_load(raft, &received);
    for (uint64_t i = received.index + 1; keeps_log && i <= last_index; i++) {
        raft_add_config_of_entry(raft, &raft_log_get(&raft->log, i)->entry);
    }
    raft_snapshot_copy(
        &raft->snapshot,
        &raft_add_action(raft, RAFT_ACTION_INSTALL_SNAPSHOT)->snapshot);
    return true;
}

// Handles a snapshot chunk from the leader and installs the snapshot when it
// is complete. If the complete snapshot is malformed, the transfer starts
// again at offset 0. Ignores snapshots above RAFT_MAX_SNAPSHOT_BYTES.
void
raft_handle_snapshot(struct raft *raft, const struct ck_raft_message *message)
{
    const struct ck_raft_snapshot *chunk =
        &message->body.ck_raft_body_u.snapshot;

    if ((message->term == raft->term && raft->role == RAFT_LEADER) ||
        chunk->total_size > RAFT_MAX_SNAPSHOT_BYTES ||
        !raft_accept_leader(raft, message)) {
        return;
    }
    if (chunk->last_index <= raft->commit_index) {
        raft_answer_snapshot(raft, message, chunk->total_size, true);
        return;
    }
    raft_append_chunk(raft, chunk);
    uint64_t received = buffer_get_size(&raft->incoming.data);
    if (received < raft->incoming.total_bytes) {
        raft_answer_snapshot(raft, message, received, false);
        return;
    }
    bool installed = raft_install_snapshot(raft);
    buffer_free(&raft->incoming.data);
    memset(&raft->incoming, 0, sizeof(raft->incoming));
    raft_answer_snapshot(raft, message, installed ? received : 0, installed);
}

static void
raft_peer_ack_chunk(const struct raft *raft, struct raft_peer *peer,
                    const struct ck_raft_snapshot_result *result)
{
    if (peer->state != RAFT_PEER_SNAPSHOT ||
        result->last_index != peer->snapshot_index ||
        result->next_offset >= raft->snapshot.size_bytes) {
        return;
    }
    peer->snapshot_requested_bytes = result->next_offset;
    if (result->next_offset > peer->snapshot_acked_bytes) {
        peer->snapshot_acked_bytes = result->next_offset;
        peer->snapshot_progressed = true;
    }
    if (peer->snapshot_sent_bytes < result->next_offset) {
        peer->snapshot_sent_bytes = result->next_offset;
    }
}

// Handles a peer's answer to a snapshot chunk: sends the next chunks, or log
// entries once the snapshot is installed.
void
raft_handle_snapshot_result(struct raft *raft,
                            const struct ck_raft_message *message)
{
    const struct ck_raft_snapshot_result *result =
        &message->body.ck_raft_body_u.snapshot_result;
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
    if (result->installed) {
        raft_peer_update_match(raft, peer, result->last_index);
        raft_leader_advance_commit(raft);
    }
    else {
        raft_peer_ack_chunk(raft, peer, result);
    }
    if (raft->role == RAFT_LEADER) {
        raft_peer_send(raft, peer, false);
    }
}
