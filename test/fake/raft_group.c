#include "test/fake/raft_group.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

#define RAFT_GROUP_FAULT_NODE                                                 \
    RAFT_GROUP_NODES // the network node of the faults
#define WAKE_TIMER_TAG     1
#define MAX_IDS            256
#define MAX_TERMS          65536
#define HEARTBEAT_US       50000
#define ELECTION_US        250000
#define DRIFT_PPM          10000
#define SNAPSHOT_BYTES     20000 // of the adapter's own state
#define MAX_DATAGRAM_BYTES 60000
#define PPM                1000000

// What a voter's disk holds, or would hold after a sync.
struct disk {
    uint64_t term;
    uint64_t voted_for;
    bool has_snapshot;
    struct raft_snapshot snapshot;
    struct ck_log_entry *entries;
    size_t entries_count;
};

struct node {
    struct raft_group *group;
    int number;
    uint64_t id;
    bool up;
    bool is_initial_voter; // one of the first voters, until it has state
    struct raft *raft;
    struct disk disk;
    const struct raft_action *pending[4096]; // written and not synced
    size_t pending_count;
    uint64_t applied_index;
    uint64_t applied_hash;
    // A snapshot taken while actions run; reported after them.
    uint64_t taken_index;
    uint64_t snapshot_hash;
};

enum proposal_state {
    PROPOSAL_PENDING,
    PROPOSAL_ACKNOWLEDGED,
    PROPOSAL_REFUSED,
};

struct token {
    enum proposal_state state;
    int outcome;
    uint64_t index;
    uint64_t seen_index; // where any voter has applied it
};

struct raft_group {
    struct raft_group_params params;
    struct network *network;
    struct node nodes[RAFT_GROUP_NODES];
    int node_of_id[MAX_IDS];
    uint64_t next_id;
    struct ck_voter voters[RAFT_GROUP_NODES];
    struct ck_voters_change committed_voters;
    uint64_t committed_voters_index;
    uint64_t leader_of_term[MAX_TERMS];
    uint64_t newest_term; // with a leader
    uint64_t *chain;      // hash of all committed entries up to an index
    size_t chain_count;
    struct token *tokens; // token 1 is tokens[1]
    size_t tokens_count;
    struct raft_group_stats stats;
    char error[256];
};

static void
fail(struct node *node, const char *what, uint64_t value)
{
    struct raft_group *group = node->group;

    if (group->error[0] == '\0') {
        (void)snprintf(group->error, sizeof(group->error),
                       "seed %lu, %ld us, node %d, id %lu: %s (%lu)",
                       group->params.seed, network_get_now_us(group->network),
                       node->number, node->id, what, value);
    }
}

// ---- disks ----

static void
disk_truncate(struct disk *disk, uint64_t from_index)
{
    while (disk->entries_count > 0 &&
           disk->entries[disk->entries_count - 1].index >= from_index) {
        free(disk->entries[--disk->entries_count].payload.payload_val);
    }
}

static void
disk_free(struct disk *disk)
{
    disk_truncate(disk, 0);
    free(disk->entries);
    free(disk->snapshot.data);
    memset(disk, 0, sizeof(*disk));
}

static void
disk_append(struct disk *disk, const struct ck_log_entry *entry)
{
    disk->entries = xrealloc(disk->entries, (disk->entries_count + 1) *
                                                sizeof(*disk->entries));
    codec_copy((xdrproc_t)xdr_ck_log_entry, entry,
               &disk->entries[disk->entries_count++], sizeof(*entry));
}

static void
disk_save_snapshot(struct disk *disk, const struct raft_snapshot *snapshot)
{
    size_t count = 0;

    free(disk->snapshot.data);
    disk->snapshot = *snapshot;
    disk->snapshot.data = (uint8_t *)xmemdupz((const char *)snapshot->data,
                                              snapshot->size_bytes);
    disk->has_snapshot = true;
    while (count < disk->entries_count &&
           disk->entries[count].index <= snapshot->index) {
        free(disk->entries[count++].payload.payload_val);
    }
    if (count == 0) {
        return;
    }
    disk->entries_count -= count;
    memmove(disk->entries, disk->entries + count,
            disk->entries_count * sizeof(*disk->entries));
}

static void
disk_write(struct disk *disk, const struct raft_action *action)
{
    switch (action->kind) {
    case RAFT_ACTION_SAVE_STATE:
        disk->term = action->term;
        disk->voted_for = action->voted_for;
        break;
    case RAFT_ACTION_TRUNCATE:
        disk_truncate(disk, action->index);
        break;
    case RAFT_ACTION_APPEND:
        disk_append(disk, &action->entry);
        break;
    default:
        disk_save_snapshot(disk, &action->snapshot);
        break;
    }
}

static uint64_t
disk_get_last_index(const struct disk *disk)
{
    return disk->entries_count > 0
               ? disk->entries[disk->entries_count - 1].index
               : disk->snapshot.index;
}

static void
node_sync(struct node *node, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        disk_write(&node->disk, node->pending[i]);
    }
    node->pending_count = 0;
}

// ---- checks ----

static void
check_send(struct node *node, const struct ck_raft_message *message)
{
    const struct ck_raft_body *body = &message->body;
    const struct disk *disk = &node->disk;

    if (body->kind == CK_RAFT_VOTE_RESULT &&
        body->ck_raft_body_u.vote_result.granted &&
        !body->ck_raft_body_u.vote_result.pre_vote &&
        (disk->term != message->term || disk->voted_for != message->to)) {
        fail(node, "a vote was sent before it was durable", message->to);
    }
    if (body->kind == CK_RAFT_VOTE && !body->ck_raft_body_u.vote.pre_vote &&
        (disk->term != message->term || disk->voted_for != node->id)) {
        fail(node, "a candidate's own vote is not durable", message->term);
    }
    if (body->kind == CK_RAFT_APPEND_RESULT &&
        body->ck_raft_body_u.append_result.success &&
        disk_get_last_index(disk) <
            body->ck_raft_body_u.append_result.match_index) {
        fail(node, "entries were acknowledged before they were durable",
             body->ck_raft_body_u.append_result.match_index);
    }
}

static void
check_role(struct node *node, const struct raft_action *action)
{
    struct raft_group *group = node->group;

    if (action->role != RAFT_LEADER) {
        return;
    }
    group->stats.elections++;
    INVARIANT(action->term < MAX_TERMS);
    if (group->leader_of_term[action->term] != 0) {
        fail(node, "a second leader in one term", action->term);
    }
    group->leader_of_term[action->term] = node->id;
    if (action->term > group->newest_term) {
        group->newest_term = action->term;
    }
    if (raft_get_last_index(node->raft) + 1 < group->chain_count) {
        fail(node, "a leader lacks committed entries", action->term);
    }
}

// Only the leader of the newest term that has one may have a quorum.
static void
check_quorums(struct raft_group *group)
{
    for (int i = 0; i < RAFT_GROUP_NODES; i++) {
        struct node *node = &group->nodes[i];
        if (node->up &&
            raft_has_quorum(node->raft,
                            network_get_node_now_us(group->network, i)) &&
            raft_get_term(node->raft) < group->newest_term) {
            fail(node, "a superseded leader still has a quorum",
                 raft_get_term(node->raft));
        }
    }
}

static uint64_t
hash_entry(uint64_t hash, const struct ck_log_entry *entry)
{
    hash = XXH64(&entry->term, sizeof(entry->term), hash);
    return XXH64(entry->payload.payload_val, entry->payload.payload_len, hash);
}

static void
check_applied_proposal(struct node *node, const struct ck_log_entry *entry)
{
    struct raft_group *group = node->group;
    struct ck_log_payload payload = {0};

    if (codec_decode((xdrproc_t)xdr_ck_log_payload, entry->payload.payload_val,
                     entry->payload.payload_len, &payload) != OUTCOME_OK) {
        fail(node, "a payload has changed", entry->index);
        return;
    }
    uint64_t token = strtoull(payload.change_id, NULL, 10);
    if (payload.change.kind == CK_CHANGE_VOTERS &&
        entry->index > group->committed_voters_index) {
        group->committed_voters_index = entry->index;
        codec_free((xdrproc_t)xdr_ck_voters_change, &group->committed_voters);
        codec_copy((xdrproc_t)xdr_ck_voters_change,
                   &payload.change.ck_change_u.voters,
                   &group->committed_voters, sizeof(group->committed_voters));
    }
    codec_free((xdrproc_t)xdr_ck_log_payload, &payload);
    if (token == 0 || token >= group->tokens_count) {
        return;
    }
    struct token *seen = &group->tokens[token];
    if (seen->seen_index != 0 && seen->seen_index != entry->index) {
        fail(node, "a proposal was committed twice", token);
    }
    seen->seen_index = entry->index;
    if (seen->state == PROPOSAL_REFUSED && seen->outcome != OUTCOME_UNKNOWN) {
        fail(node, "a refused proposal was committed", token);
    }
}

static void
node_apply(struct node *node, const struct raft_action *action)
{
    struct raft_group *group = node->group;
    uint64_t index = action->entry.index;

    if (index != node->applied_index + 1) {
        fail(node, "entries were applied out of order", index);
        return;
    }
    node->applied_index = index;
    node->applied_hash = hash_entry(node->applied_hash, &action->entry);
    check_applied_proposal(node, &action->entry);
    if (index == group->chain_count) {
        group->chain = xrealloc(group->chain, (group->chain_count + 1) *
                                                  sizeof(*group->chain));
        group->chain[group->chain_count++] = node->applied_hash;
        group->stats.committed++;
    }
    if (group->chain[index] != node->applied_hash) {
        fail(node, "committed entries differ", index);
    }
    if (action->token != 0) {
        struct token *token = &group->tokens[action->token];
        if (token->state != PROPOSAL_PENDING) {
            fail(node, "a second answer to a proposal", action->token);
        }
        token->state = PROPOSAL_ACKNOWLEDGED;
        token->index = index;
        group->stats.acknowledged++;
    }
}

// ---- nodes ----

static void
node_encode_snapshot(uint64_t index, uint64_t hash,
                     uint8_t data[SNAPSHOT_BYTES])
{
    memset(data, (int)(index % 251), SNAPSHOT_BYTES);
    memcpy(data, &index, 8);
    memcpy(data + 8, &hash, 8);
}

static void
node_restore(struct node *node, const struct raft_snapshot *snapshot)
{
    const uint8_t *data = snapshot->data + snapshot->app_offset;

    node->applied_index = 0;
    node->applied_hash = 0;
    if (snapshot->size_bytes - snapshot->app_offset == SNAPSHOT_BYTES) {
        memcpy(&node->applied_index, data, 8);
        memcpy(&node->applied_hash, data + 8, 8);
    }
    if (node->applied_index != snapshot->index ||
        node->applied_index >= node->group->chain_count ||
        node->group->chain[node->applied_index] != node->applied_hash) {
        fail(node, "a snapshot differs from what was committed",
             snapshot->index);
    }
}

static void
node_send(struct node *node, const struct ck_raft_message *message)
{
    struct raft_group *group = node->group;
    struct ck_raft_message *copy = xmalloc(sizeof(*copy));

    check_send(node, message);
    if (xdr_sizeof((xdrproc_t)xdr_ck_raft_message,
                   (void *)(uintptr_t)message) > MAX_DATAGRAM_BYTES) {
        fail(node, "a message is too long", message->body.kind);
    }
    codec_copy((xdrproc_t)xdr_ck_raft_message, message, copy, sizeof(*copy));
    group->stats.messages++;
    network_send(group->network, node->number, group->node_of_id[message->to],
                 copy);
}

static void
node_refuse_proposal(struct node *node, const struct raft_action *action)
{
    struct token *token = &node->group->tokens[action->token];

    if (token->state != PROPOSAL_PENDING) {
        fail(node, "a second answer to a proposal", action->token);
    }
    if (token->seen_index != 0 && action->outcome != OUTCOME_UNKNOWN) {
        fail(node, "a committed proposal was refused", action->token);
    }
    token->state = PROPOSAL_REFUSED;
    token->outcome = action->outcome;
}

static void
node_run_action(struct node *node, const struct raft_action *action)
{
    switch (action->kind) {
    case RAFT_ACTION_SAVE_STATE:
    case RAFT_ACTION_TRUNCATE:
    case RAFT_ACTION_APPEND:
    case RAFT_ACTION_SAVE_SNAPSHOT:
        INVARIANT(node->pending_count < ARRAY_SIZE(node->pending));
        node->pending[node->pending_count++] = action;
        return;
    case RAFT_ACTION_INSTALL_SNAPSHOT:
        node->pending[node->pending_count++] = action;
        node_sync(node, node->pending_count);
        node_restore(node, &action->snapshot);
        node->group->stats.installs++;
        return;
    case RAFT_ACTION_WAKE:
        network_set_timer(node->group->network, node->number, WAKE_TIMER_TAG,
                          action->wake_at_us);
        return;
    default:
        break;
    }
    node_sync(node, node->pending_count);
    if (action->kind == RAFT_ACTION_SEND) {
        node_send(node, &action->message);
    }
    else if (action->kind == RAFT_ACTION_APPLY) {
        node_apply(node, action);
    }
    else if (action->kind == RAFT_ACTION_REFUSED) {
        node_refuse_proposal(node, action);
    }
    else if (action->kind == RAFT_ACTION_TAKE_SNAPSHOT) {
        node->taken_index = node->applied_index;
        node->snapshot_hash = node->applied_hash;
    }
    else if (action->kind == RAFT_ACTION_ROLE) {
        check_role(node, action);
    }
}

static bool
node_run_actions(struct node *node, const struct raft_actions *actions)
{
    struct raft_group *group = node->group;

    for (size_t i = 0; i < actions->count; i++) {
        if (group->params.crash_ppm > 0 &&
            network_get_random(group->network) % PPM <
                group->params.crash_ppm) {
            size_t some =
                network_get_random(group->network) % (node->pending_count + 1);
            node_sync(node, some); // the start of a write that was torn
            return false;
        }
        node_run_action(node, &actions->items[i]);
    }
    node_sync(node, node->pending_count);
    return true;
}

// Gives an event to a node that is up, and carries out its actions.
void
raft_group_step(struct raft_group *group, int number,
                const struct raft_event *event)
{
    struct node *node = &group->nodes[number];
    struct raft_actions actions = {0};

    if (!node->up) {
        return;
    }
    raft_step(node->raft, network_get_node_now_us(group->network, number),
              event, &actions);
    bool survived = node_run_actions(node, &actions);
    raft_actions_free(&actions);
    if (!survived) {
        raft_group_crash(group, number);
        return;
    }
    check_quorums(group);
    if (node->taken_index != 0) {
        uint8_t data[SNAPSHOT_BYTES];
        const struct raft_event taken = {
            .kind = RAFT_EVENT_SNAPSHOT_TAKEN,
            .snapshot_taken = {node->taken_index, data, sizeof(data)}};
        node_encode_snapshot(node->taken_index, node->snapshot_hash, data);
        node->taken_index = 0;
        raft_group_step(group, number, &taken);
    }
}

static void
node_start(struct node *node)
{
    struct raft_group *group = node->group;
    const struct raft_params params = {
        .group = "fleet",
        .self = node->id,
        .heartbeat_us = HEARTBEAT_US,
        .election_us = ELECTION_US,
        .clock_drift_ppm = DRIFT_PPM,
        .seed = network_get_random(group->network),
        .max_pending_entries = 1024,
        .max_pending_bytes = 1024 * 1024,
        .max_in_flight_bytes = 64 * 1024,
        .snapshot_entries = group->params.snapshot_entries,
        .snapshot_bytes = 1024 * 1024,
        .retained_entries = group->params.snapshot_entries / 2,
        .starts_passive = !node->is_initial_voter,
        .voters = group->voters,
        .voters_count = (size_t)group->params.voters_count,
    };
    const struct raft_saved saved = {
        .term = node->disk.term,
        .voted_for = node->disk.voted_for,
        .has_snapshot = node->disk.has_snapshot,
        .snapshot = node->disk.snapshot,
        .entries = node->disk.entries,
        .entries_count = node->disk.entries_count,
    };
    const struct raft_event tick = {.kind = RAFT_EVENT_TICK};

    node->up = true;
    network_set_node_down(group->network, node->number, false);
    node->raft =
        raft_create(&params, &saved,
                    network_get_node_now_us(group->network, node->number));
    node->applied_index = 0;
    node->applied_hash = 0;
    if (raft_get_snapshot(node->raft) != NULL &&
        raft_get_snapshot(node->raft)->index > 0) {
        node_restore(node, raft_get_snapshot(node->raft));
    }
    raft_group_step(group, node->number, &tick);
}

static void
on_deliver(void *data, int64_t now_us, int from, int to, void *message)
{
    const struct raft_event event = {.kind = RAFT_EVENT_MESSAGE,
                                     .message = message};

    (void)now_us;
    (void)from;
    raft_group_step(data, to, &event);
}

static void
on_timer(void *data, int64_t now_us, int node, uint64_t tag)
{
    const struct raft_event tick = {.kind = RAFT_EVENT_TICK};

    (void)now_us;
    (void)tag;
    raft_group_step(data, node, &tick);
}

static void *
copy_message(const void *message)
{
    struct ck_raft_message *copy = xmalloc(sizeof(*copy));

    codec_copy((xdrproc_t)xdr_ck_raft_message, message, copy, sizeof(*copy));
    return copy;
}

static void
free_message(void *message)
{
    codec_free((xdrproc_t)xdr_ck_raft_message, message);
    free(message);
}

static struct ck_voter
make_voter(uint64_t id)
{
    return (struct ck_voter){
        .id = id,
        .vm = (char *)(uintptr_t) "vm",
        .host = (char *)(uintptr_t) "127.0.0.1",
        .port = 1,
        .voting = TRUE,
    };
}

// Creates a group whose first voters have the ids 1, 2, ...
struct raft_group *
raft_group_create(const struct raft_group_params *params)
{
    struct raft_group *group = xcalloc(1, sizeof(*group));

    group->params = *params;
    group->network =
        network_create(params->seed, RAFT_GROUP_NODES + 1, on_deliver,
                       on_timer, group, copy_message, free_message);
    network_set_faults(group->network, &params->faults);
    group->next_id = 1;
    group->chain = xcalloc(1, sizeof(*group->chain));
    group->chain_count = 1;
    group->tokens = xcalloc(1, sizeof(*group->tokens));
    group->tokens_count = 1;
    for (int i = 0; i < RAFT_GROUP_NODES; i++) {
        group->nodes[i].group = group;
        group->nodes[i].number = i;
        network_set_node_down(group->network, i, true);
    }
    for (int i = 0; i < params->voters_count; i++) {
        group->nodes[i].id = group->next_id++;
        group->nodes[i].is_initial_voter = true;
        group->node_of_id[group->nodes[i].id] = i;
        group->voters[i] = make_voter(group->nodes[i].id);
    }
    const struct ck_voters_change first = {
        {(u_int)params->voters_count, group->voters}};
    codec_copy((xdrproc_t)xdr_ck_voters_change, &first,
               &group->committed_voters, sizeof(first));
    for (int i = 0; i < params->voters_count; i++) {
        node_start(&group->nodes[i]);
    }
    return group;
}

// Frees the group.
void
raft_group_destroy(struct raft_group *group)
{
    for (int i = 0; i < RAFT_GROUP_NODES; i++) {
        raft_destroy(group->nodes[i].raft);
        disk_free(&group->nodes[i].disk);
    }
    network_destroy(group->network);
    codec_free((xdrproc_t)xdr_ck_voters_change, &group->committed_voters);
    free(group->chain);
    free(group->tokens);
    free(group);
}

struct network *
raft_group_get_network(struct raft_group *group)
{
    return group->network;
}

unsigned
raft_group_get_fault_ppm(const struct raft_group *group)
{
    return group->params.fault_ppm;
}

void
raft_group_end_faults(struct raft_group *group)
{
    const struct network_faults none = {.delay_min_us = 1500,
                                        .delay_max_us = 10000};

    group->params.crash_ppm = 0;
    network_set_faults(group->network, &none);
}

const char *
raft_group_get_error(const struct raft_group *group)
{
    return group->error[0] != '\0' ? group->error : NULL;
}

const struct raft_group_stats *
raft_group_get_stats(const struct raft_group *group)
{
    return &group->stats;
}

struct raft *
raft_group_get_raft(struct raft_group *group, int node)
{
    return group->nodes[node].raft;
}

uint64_t
raft_group_get_id(const struct raft_group *group, int node)
{
    return group->nodes[node].id;
}

uint64_t
raft_group_get_applied_index(const struct raft_group *group, int node)
{
    return group->nodes[node].applied_index;
}

void
raft_group_run(struct raft_group *group, int64_t until_us)
{
    network_run_until(group->network, until_us);
}

int
raft_group_find_leader(struct raft_group *group)
{
    for (int i = 0; i < RAFT_GROUP_NODES; i++) {
        const struct node *node = &group->nodes[i];
        if (node->up && raft_is_ready(node->raft) &&
            raft_get_term(node->raft) == group->newest_term) {
            return i;
        }
    }
    return -1;
}

int
raft_group_await_leader(struct raft_group *group, int64_t limit_us)
{
    int64_t until_us = network_get_now_us(group->network) + limit_us;

    while (network_get_now_us(group->network) < until_us) {
        int leader = raft_group_find_leader(group);
        if (leader >= 0) {
            return leader;
        }
        raft_group_run(group, network_get_now_us(group->network) + 1000);
    }
    return raft_group_find_leader(group);
}

static uint64_t
add_proposal(struct raft_group *group)
{
    group->tokens = xrealloc(group->tokens, (group->tokens_count + 1) *
                                                sizeof(*group->tokens));
    group->tokens[group->tokens_count] = (struct token){0};
    return group->tokens_count++;
}

uint64_t
raft_group_propose(struct raft_group *group, int node)
{
    uint64_t token = add_proposal(group);
    char id[24];
    char document[2048];
    size_t size = network_get_random(group->network) % sizeof(document);
    struct ck_log_payload payload = {.change_id = id};
    struct buffer data = {0};

    (void)snprintf(id, sizeof(id), "%lu", token);
    memset(document, 'a' + (int)(token % 26), size);
    document[size] = '\0';
    payload.change.kind = CK_CHANGE_TEMPLATE;
    payload.change.ck_change_u.document.name = id;
    payload.change.ck_change_u.document.document = document;
    INVARIANT(codec_encode((xdrproc_t)xdr_ck_log_payload, &payload, &data) ==
              OUTCOME_OK);
    const struct raft_event event = {
        .kind = RAFT_EVENT_PROPOSE,
        .propose = {token, buffer_get_data(&data), buffer_get_size(&data)}};
    raft_group_step(group, node, &event);
    buffer_free(&data);
    return token;
}

uint64_t
raft_group_get_acknowledged_index(const struct raft_group *group,
                                  uint64_t token)
{
    return group->tokens[token].state == PROPOSAL_ACKNOWLEDGED
               ? group->tokens[token].index
               : 0;
}

int
raft_group_get_refused_outcome(const struct raft_group *group, uint64_t token)
{
    return group->tokens[token].outcome;
}

void
raft_group_crash(struct raft_group *group, int number)
{
    struct node *node = &group->nodes[number];

    if (!node->up) {
        return;
    }
    group->stats.crashes++;
    raft_destroy(node->raft);
    node->raft = NULL;
    node->up = false;
    node->taken_index = 0;
    network_set_node_down(group->network, number, true);
}

void
raft_group_restart(struct raft_group *group, int node)
{
    if (!group->nodes[node].up && group->nodes[node].id != 0) {
        node_start(&group->nodes[node]);
    }
}

void
raft_group_lose_disk(struct raft_group *group, int number)
{
    struct node *node = &group->nodes[number];

    raft_group_crash(group, number);
    disk_free(&node->disk);
    node->is_initial_voter = false;
    group->stats.disks_lost++;
}

void
raft_group_start_with_new_id(struct raft_group *group, int number)
{
    struct node *node = &group->nodes[number];

    raft_group_crash(group, number);
    disk_free(&node->disk);
    INVARIANT(group->next_id < MAX_IDS);
    node->id = group->next_id++;
    group->node_of_id[node->id] = number;
    node->is_initial_voter = false;
    node_start(node);
}

static bool
raft_group_change_voters(struct raft_group *group,
                         struct raft_change_voters change)
{
    int leader = raft_group_find_leader(group);

    if (leader < 0) {
        return false;
    }
    change.token = add_proposal(group);
    change.change_id = "";
    const struct raft_event event = {.kind = RAFT_EVENT_CHANGE_VOTERS,
                                     .change_voters = change};
    raft_group_step(group, leader, &event);
    if (group->tokens[change.token].state != PROPOSAL_REFUSED) {
        group->stats.voters_changed++;
    }
    return true;
}

bool
raft_group_add_voter(struct raft_group *group, int node)
{
    struct ck_voter voter = make_voter(group->nodes[node].id);

    return raft_group_change_voters(
        group, (struct raft_change_voters){.added = &voter});
}

bool
raft_group_remove_voter(struct raft_group *group, uint64_t id)
{
    return raft_group_change_voters(
        group, (struct raft_change_voters){.removed = id});
}

static const struct ck_voter *
find_voter(const struct raft_group *group, uint64_t id)
{
    const struct ck_voters_change *voters = &group->committed_voters;

    for (u_int i = 0; i < voters->voters.voters_len; i++) {
        if (voters->voters.voters_val[i].id == id) {
            return &voters->voters.voters_val[i];
        }
    }
    return NULL;
}

bool
raft_group_has_id(const struct raft_group *group, uint64_t id)
{
    return find_voter(group, id) != NULL;
}

bool
raft_group_is_voting(const struct raft_group *group, int node)
{
    const struct ck_voter *voter = find_voter(group, group->nodes[node].id);

    return voter != NULL && voter->voting;
}

void
raft_group_isolate(struct raft_group *group, int node, bool isolated)
{
    for (int i = 0; i < RAFT_GROUP_NODES; i++) {
        network_set_path_down(group->network, i, node, isolated && i != node);
        network_set_path_down(group->network, node, i, isolated && i != node);
    }
}
