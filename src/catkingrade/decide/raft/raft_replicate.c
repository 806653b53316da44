#include <string.h>

#include "catkingrade/decide/raft/raft_internal.h"
#include "catkingrade/kernel/memory.h"

// Limits of one append message, which must fit into a datagram. A larger entry
// is sent alone.
#define RAFT_BATCH_BYTES   (30 * 1024)
#define RAFT_BATCH_ENTRIES 512
// Upper bound of the XDR size of an entry without its payload.
#define RAFT_ENTRY_HEADER_BYTES 24
#define RAFT_ROUND_COUNTER_BITS 10

// Returns a new round number, which identifies a request in the answer to it.
// The upper bits are the send time in microseconds on this leader's clock, so
// that the leader can tell the age of an answered request. The lower
// RAFT_ROUND_COUNTER_BITS are a counter that orders rounds of the same
// microsecond.
uint64_t
raft_next_round(struct raft *raft)
{
    uint64_t first = (uint64_t)raft->now_us << RAFT_ROUND_COUNTER_BITS;
    uint64_t last = first + (1U << RAFT_ROUND_COUNTER_BITS) - 1;

    if (raft->round < first) {
        raft->round = first;
    }
    else if (raft->round < last) {
        raft->round++;
    }
    return raft->round;
}

// Returns the send time of a round on the clock of the leader that sent it, in
// microseconds.
int64_t
raft_get_round_sent_us(uint64_t round)
{
    return (int64_t)(round >> RAFT_ROUND_COUNTER_BITS);
}

// Records that a peer has answered a round of this term.
void
raft_peer_record_ack(struct raft_peer *peer, uint64_t round)
{
    int64_t sent_us = raft_get_round_sent_us(round);

    if (sent_us > peer->acked_round_us) {
        peer->acked_round_us = sent_us;
    }
}

// Records that a peer's log matches this leader's log up to index, and resumes
// pipelined replication once the entry after it can be sent. Ignores an index
// that this leader doesn't have.
void
raft_peer_update_match(struct raft *raft, struct raft_peer *peer,
                       uint64_t index)
{
    uint64_t term = 0;

    if (index > raft_log_get_last_index(&raft->log)) {
        return;
    }
    if (index > peer->match_index) {
        peer->match_index = index;
    }
    if (index >= peer->next_index) {
        peer->next_index = index + 1;
    }
    if (peer->state == RAFT_PEER_PROBE ||
        raft_log_get_term(&raft->log, peer->next_index - 1, &term)) {
        peer->state = RAFT_PEER_REPLICATE;
    }
    peer->probe_sent = false;
}

// Handles a rejected append request: moves next_index back to the peer's hint
// and probes from there. If several requests in flight were rejected, only the
// first answer is used.
void
raft_peer_handle_reject(struct raft *raft, struct raft_peer *peer,
                        const struct ck_raft_append_result *result)
{
    uint64_t next_index = result->match_index + 1;

    if (result->round <= peer->stale_round ||
        peer->state == RAFT_PEER_SNAPSHOT) {
        return;
    }
    if (next_index <= peer->match_index) {
        next_index = peer->match_index + 1;
    }
    if (next_index < peer->next_index) {
        peer->next_index = next_index;
    }
    peer->stale_round = raft->round;
    peer->state = RAFT_PEER_PROBE;
    peer->probe_sent = false;
    raft_peer_send(raft, peer, false);
}

static size_t
raft_get_wire_bytes(const struct ck_log_entry *entry)
{
    return RAFT_ENTRY_HEADER_BYTES + entry->payload.payload_len;
}

// Returns how many entries from from_index on fit into one message.
static size_t
raft_count_batch(const struct raft *raft, uint64_t from_index)
{
    size_t bytes = 0;
    size_t count = 0;

    while (count < RAFT_BATCH_ENTRIES) {
        const struct raft_slot *slot =
            raft_log_get(&raft->log, from_index + count);
        if (slot == NULL) {
            break;
        }
        bytes += raft_get_wire_bytes(&slot->entry);
        if (count > 0 && bytes > RAFT_BATCH_BYTES) {
            break;
        }
        count++;
    }
    return count;
}

// Sends count entries from next_index on in one append message. count may be
// 0.
static void
raft_peer_send_batch(struct raft *raft, struct raft_peer *peer, size_t count)
{
    uint64_t previous_term = 0;
    uint64_t previous_index = peer->next_index - 1;
    bool known = raft_log_get_term(&raft->log, previous_index, &previous_term);

    INVARIANT(known);
    struct ck_raft_body body = {.kind = CK_RAFT_APPEND,
                                .ck_raft_body_u.append = {
                                    .round = raft_next_round(raft),
                                    .previous_index = previous_index,
                                    .previous_term = previous_term,
                                    .commit_index = raft->commit_index,
                                }};
    struct ck_raft_append *append = &body.ck_raft_body_u.append;
    append->entries.entries_len = (u_int)count;
    append->entries.entries_val =
        xcalloc(count, sizeof(*append->entries.entries_val));
    for (size_t i = 0; i < count; i++) {
        raft_entry_copy(&raft_log_get(&raft->log, peer->next_index + i)->entry,
                        &append->entries.entries_val[i]);
    }
    raft_send(raft, peer->id, raft->term, &body);
}

static void
raft_peer_send_probe(struct raft *raft, struct raft_peer *peer)
{
    if (!peer->probe_sent) {
        peer->probe_sent = true;
        raft_peer_send_batch(raft, peer,
                             raft_count_batch(raft, peer->next_index));
    }
}

static void
raft_peer_send_pipelined(struct raft *raft, struct raft_peer *peer,
                         bool heartbeat)
{
    uint64_t last_index = raft_log_get_last_index(&raft->log);
    bool sent = false;

    while (peer->next_index <= last_index &&
           raft_log_get_bytes(&raft->log, peer->match_index,
                              peer->next_index - 1) <
               raft->params.max_in_flight_bytes) {
        size_t count = raft_count_batch(raft, peer->next_index);
        raft_peer_send_batch(raft, peer, count);
        peer->next_index += count;
        sent = true;
    }
    if (heartbeat && !sent) {
        raft_peer_send_batch(raft, peer, 0);
    }
}

// Sends a peer the entries or snapshot chunks that it is missing, within the
// limit of bytes in flight. With heartbeat, also repeats a probe or snapshot
// chunks that may have been lost, and sends an empty append message if a
// pipelined peer has nothing to receive.
void
raft_peer_send(struct raft *raft, struct raft_peer *peer, bool heartbeat)
{
    uint64_t term = 0;

    if (heartbeat) {
        peer->probe_sent = false;
    }
    if (peer->state != RAFT_PEER_SNAPSHOT &&
        !raft_log_get_term(&raft->log, peer->next_index - 1, &term)) {
        peer->state = RAFT_PEER_SNAPSHOT;
        peer->snapshot_index = 0;
    }
    switch (peer->state) {
    case RAFT_PEER_PROBE:
        raft_peer_send_probe(raft, peer);
        break;
    case RAFT_PEER_REPLICATE:
        raft_peer_send_pipelined(raft, peer, heartbeat);
        break;
    case RAFT_PEER_SNAPSHOT:
        raft_peer_send_snapshot(raft, peer, heartbeat);
        break;
    }
}
