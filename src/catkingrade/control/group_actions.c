// Execution of Raft's actions for one control group: messages to other voters,
// durable writes, applied entries, snapshots and changes of role.

#include <inttypes.h>
#include <string.h>

#include "catkingrade/control/group_host_state.h"
#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/log.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/kernel/timeline.h"
#include "catkingrade/rpc/codec.h"

// A voter whose contact with the leader was broken may apply changes late for
// this time.
#define HOST_CATCH_UP_US 1000000

const char *const host_role_names[] = {
    [RAFT_FOLLOWER] = "follower",
    [RAFT_CANDIDATE] = "candidate",
    [RAFT_LEADER] = "leader",
};

// Finds the RPC address of a voter: in the voter list, else that of the last
// sender if it has this id, else in the settings. A voter without a voter list
// replies to a leader by way of the second. The ids of the settings come last:
// they are those of the first voters, and the settings of a VM that joins
// later may list others. Port 0 if not found.
static void
host_find_peer_address(const struct group_host *host, uint64_t id,
                       struct settings_address *address)
{
    const struct ck_voter *voter = host_find_voter(host, id);
    const struct settings_group *group = host->params.group;

    memset(address, 0, sizeof(*address));
    if (voter != NULL) {
        host_copy_address(voter, address);
        return;
    }
    if (host->last_sender_id == id) {
        *address = host->last_sender_address;
        return;
    }
    for (size_t i = 0; i < group->voters_count; i++) {
        if (group->voters[i].id == id) {
            *address = group->voters[i].rpc;
        }
    }
}

static void
host_send_raft(struct group_host *host, const struct ck_raft_message *message)
{
    struct settings_address peer;

    host_find_peer_address(host, message->to, &peer);
    if (peer.port != 0) {
        (void)rpcnet_send(host->params.daemon->rpcnet, &peer, &rpcnet_raft,
                          message);
    }
}

// Passes the result of an applied change to its waiter. If the coordinator
// proposed the change, sets *coordinator_token to the coordinator's token of
// the proposal, otherwise to 0.
static void
host_finish_proposal(struct group_host *host, uint64_t token,
                     const struct group_result *result,
                     uint64_t *coordinator_token)
{
    struct host_waiter waiter;

    *coordinator_token = 0;
    if (token == 0 || !host_remove_waiter(host, token, &waiter)) {
        return;
    }
    switch (waiter.kind) {
    case HOST_WAITER_COORDINATOR:
        *coordinator_token = waiter.coordinator_token;
        break;
    case HOST_WAITER_APPLY:
        host_reply_apply(host, waiter.request, result->outcome, result);
        break;
    case HOST_WAITER_VOTERS:
        host_reply_command(host, waiter.request, result->outcome,
                           result->message);
        break;
    case HOST_WAITER_CHANGE:
        waiter.change_done(waiter.change_data, result->outcome,
                           result->message);
        break;
    default:
        break;
    }
}

static void
host_apply_entry(struct group_host *host, uint64_t token,
                 const struct ck_log_entry *entry)
{
    struct ck_log_payload payload = {0};
    struct group_result result = {0};
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_APPLIED};

    int outcome =
        codec_decode((xdrproc_t)xdr_ck_log_payload, entry->payload.payload_val,
                     entry->payload.payload_len, &payload);
    INVARIANT(outcome == OUTCOME_OK);
    group_apply_payload(host->state, entry->index, &payload, &result);
    counter_add(COUNTER_CHANGES, result.outcome == OUTCOME_OK ? 1 : 0);
    host_finish_proposal(host, token, &result, &event.token);
    event.applied.index = entry->index;
    event.applied.change = &payload.change;
    event.applied.result = &result;
    event.applied.is_late =
        event.token == 0 &&
        monotonic_get_us() <
            raft_get_contact_since_us(host->raft) + HOST_CATCH_UP_US;
    host_step_coordinator(host, &event);
    codec_free((xdrproc_t)xdr_ck_log_payload, &payload);
}

// Reports to the waiter that its proposal was rejected, or that its result is
// unknown because leadership ended.
void
host_refuse_proposal(struct group_host *host, const struct raft_action *action)
{
    struct host_waiter waiter;
    struct coordinator_event event = {.kind =
                                          COORDINATOR_EVENT_PROPOSE_FAILED};

    if (!host_remove_waiter(host, action->token, &waiter)) {
        return;
    }
    switch (waiter.kind) {
    case HOST_WAITER_COORDINATOR:
        event.token = waiter.coordinator_token;
        host_step_coordinator(host, &event);
        break;
    case HOST_WAITER_APPLY:
        host_reply_apply(host, waiter.request, action->outcome, NULL);
        break;
    case HOST_WAITER_VOTERS:
        host_reply_command(host, waiter.request, action->outcome,
                           outcome_get_text(action->outcome));
        break;
    case HOST_WAITER_CHANGE:
        waiter.change_done(waiter.change_data, action->outcome,
                           outcome_get_text(action->outcome));
        break;
    default:
        break;
    }
}

static void
host_take_snapshot(struct group_host *host, uint64_t index)
{
    struct buffer data = {0};
    struct raft_event event = {.kind = RAFT_EVENT_SNAPSHOT_TAKEN};

    group_encode(host->state, &data);
    event.snapshot_taken.index = index;
    event.snapshot_taken.data = buffer_get_data(&data);
    event.snapshot_taken.size_bytes = buffer_get_size(&data);
    host_step_raft(host, &event);
    buffer_free(&data);
}

// Decodes the group state of a snapshot. Returns the state of a new group if
// there is none.
struct group_state *
host_decode_state(const struct group_host *host,
                  const struct raft_snapshot *snapshot)
{
    const char *name = host->params.group->name;
    size_t size = snapshot->size_bytes - snapshot->app_offset;

    if (snapshot->index == 0 || size == 0) {
        return group_create(name);
    }
    return group_decode(name, snapshot->data + snapshot->app_offset, size);
}

static void
host_install_snapshot(struct group_host *host,
                      const struct raft_snapshot *snapshot)
{
    struct group_state *state = host_decode_state(host, snapshot);

    INVARIANT(state != NULL);
    coordinator_set_group(host->coordinator, state);
    group_destroy(host->state);
    host->state = state;
    LOG_INFO("snapshot_installed", "group=%s index=%" PRIu64,
             host->params.group->name, snapshot->index);
}

static void
host_record_role_change(struct group_host *host,
                        const struct raft_action *action)
{
    char voters[HOST_VOTERS_TEXT_SIZE];

    host_format_voters(host, voters);
    LOG_INFO("group_role",
             "group=%s role=%s term=%" PRIu64 " leader=%" PRIu64
             " voters=%s last=%" PRIu64,
             host->params.group->name, host_role_names[action->role],
             action->term, action->leader, voters,
             raft_get_last_index(host->raft));
    timeline_record("group_role", NULL, NULL, 0,
                    "group=%s role=%s term=%" PRIu64, host->params.group->name,
                    host_role_names[action->role], action->term);
    if (action->role == RAFT_LEADER) {
        counter_add(COUNTER_ELECTIONS, 1);
        host->elections++;
        host_begin_voters(host);
    }
}

// Writes the state that one action must make durable.
int
host_write_action(struct group_host *host, const struct raft_action *action)
{
    switch (action->kind) {
    case RAFT_ACTION_SAVE_STATE:
        return store_save_state(host->stored, action->term, action->voted_for);
    case RAFT_ACTION_TRUNCATE:
        return store_truncate(host->stored, action->index);
    case RAFT_ACTION_APPEND:
        counter_add(COUNTER_LOG_APPENDS, 1);
        return store_append(host->stored, &action->entry);
    case RAFT_ACTION_SAVE_SNAPSHOT:
    case RAFT_ACTION_INSTALL_SNAPSHOT:
        return store_save_snapshot(host->stored, &action->snapshot);
    default:
        return OUTCOME_OK;
    }
}

// Executes one action, after what the list of actions must make durable has
// been synced.
void
host_run_action(struct group_host *host, const struct raft_action *action)
{
    switch (action->kind) {
    case RAFT_ACTION_INSTALL_SNAPSHOT:
        host_install_snapshot(host, &action->snapshot);
        break;
    case RAFT_ACTION_SEND:
        host_send_raft(host, &action->message);
        break;
    case RAFT_ACTION_APPLY:
        host_apply_entry(host, action->token, &action->entry);
        break;
    case RAFT_ACTION_REFUSED:
        host_refuse_proposal(host, action);
        break;
    case RAFT_ACTION_TAKE_SNAPSHOT:
        host_take_snapshot(host, action->index);
        break;
    case RAFT_ACTION_ROLE:
        host_record_role_change(host, action);
        host_update_leadership(host);
        break;
    case RAFT_ACTION_WAKE:
        host->raft_wake_us = action->wake_at_us;
        loop_timer_set(host->raft_timer, action->wake_at_us);
        break;
    default:
        break;
    }
}
