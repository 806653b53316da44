#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"
#include "test/fake/changes.h"
#include "test/fake/fleet_private.h"

#define FLEET_TOKEN_RENEW            1 // high bits of a token: who waits for it
#define FLEET_TOKEN_COMMAND          2
#define FLEET_NOTIFY_TIMEOUT_US      200000
#define FLEET_RECONFIGURE_TIMEOUT_US 500000
#define FLEET_PROMOTE_TIMEOUT_US     1000000

static void fleet_step_coordinator(struct fleet *fleet, int voter,
                                   struct coordinator_event *event);

static int64_t
fleet_get_voter_now_us(const struct fleet *fleet, int voter)
{
    return network_get_node_now_us(fleet->network, fleet_voter_node(voter));
}

// Applies an entry and tells the leader's machine.
static void
fleet_apply_log_entry(struct fleet *fleet, int voter,
                      const struct raft_action *action)
{
    struct fleet_voter *own = &fleet->voters[voter];
    struct ck_log_payload payload;
    struct group_result result;
    const struct ck_log_entry *entry = &action->entry;

    memset(&payload, 0, sizeof(payload));
    int outcome =
        codec_decode((xdrproc_t)xdr_ck_log_payload, entry->payload.payload_val,
                     entry->payload.payload_len, &payload);
    INVARIANT(outcome == OUTCOME_OK);
    uint64_t revision = group_get_revision(own->group);
    group_apply_payload(own->group, entry->index, &payload, &result);
    if (group_get_revision(own->group) < revision) {
        fleet_record_violation(fleet, "revision of voter %d went back", voter);
    }
    if (raft_get_role(own->raft) == RAFT_LEADER && !own->was_elected &&
        entry->term == raft_get_term(own->raft)) {
        struct coordinator_event elected = {.kind = COORDINATOR_EVENT_ELECTED};
        elected.leader_term = entry->term;
        own->was_elected = true;
        fleet_step_coordinator(fleet, voter, &elected);
    }
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_APPLIED};
    event.token = action->token;
    event.applied.index = entry->index;
    event.applied.change = &payload.change;
    event.applied.result = &result;
    fleet_step_coordinator(fleet, voter, &event);
    codec_free((xdrproc_t)xdr_ck_log_payload, &payload);
}

static void
fleet_run_raft_action(struct fleet *fleet, int voter,
                      const struct raft_action *action)
{
    struct fleet_voter *own = &fleet->voters[voter];
    struct coordinator_event event = {.token = action->token};
    struct fleet_message *message = NULL;

    switch (action->kind) {
    case RAFT_ACTION_SEND:
        message = fleet_create_message(FLEET_RAFT);
        (void)codec_encode((xdrproc_t)xdr_ck_raft_message, &action->message,
                           &message->bytes);
        fleet_send_message(fleet, fleet_voter_node(voter),
                           fleet_voter_node((int)action->message.to - 1),
                           message);
        break;
    case RAFT_ACTION_APPLY:
        fleet_apply_log_entry(fleet, voter, action);
        break;
    case RAFT_ACTION_REFUSED:
        event.kind = COORDINATOR_EVENT_PROPOSE_FAILED;
        fleet_step_coordinator(fleet, voter, &event);
        break;
    case RAFT_ACTION_ROLE:
        if (action->role != RAFT_LEADER) {
            event.kind = COORDINATOR_EVENT_DEPOSED;
            fleet_step_coordinator(fleet, voter, &event);
        }
        own->was_elected = false;
        break;
    case RAFT_ACTION_WAKE:
        network_set_timer(fleet->network, fleet_voter_node(voter),
                          FLEET_TIMER_RAFT, action->wake_at_us);
        break;
    default:
        break; // this fake never restarts a voter
    }
}

static void
fleet_step_raft(struct fleet *fleet, int voter, const struct raft_event *event)
{
    struct raft_actions actions = {0};

    raft_step(fleet->voters[voter].raft, fleet_get_voter_now_us(fleet, voter),
              event, &actions);
    for (size_t i = 0; i < actions.count; i++) {
        fleet_run_raft_action(fleet, voter, &actions.items[i]);
    }
    raft_actions_free(&actions);
}

static void
fleet_propose_change(struct fleet *fleet, int voter,
                     const struct coordinator_action *action)
{
    struct raft_event propose = {.kind = RAFT_EVENT_PROPOSE};
    struct raft_event tick = {.kind = RAFT_EVENT_TICK};

    propose.propose.token = action->token;
    propose.propose.payload = action->payload.data;
    propose.propose.size_bytes = action->payload.size_bytes;
    fleet_step_raft(fleet, voter, &propose);
    fleet_step_raft(fleet, voter, &tick);
}

// Sends an order to an upstream.
static void
fleet_call_upstream(struct fleet *fleet, int voter,
                    enum fleet_message_kind kind,
                    const struct coordinator_action *action, int64_t limit_us)
{
    struct fleet_message *message = fleet_create_message(kind);
    const struct ck_upstream *upstream = action->upstream.upstream;
    int place = atoi(upstream->name + 1);

    message->number = action->upstream.term;
    if (kind == FLEET_FOLLOW) {
        message->number =
            strtoull(action->upstream.primary->name + 1, NULL, 10);
    }
    (void)fleet_call(fleet, fleet_voter_node(voter),
                     fleet_upstream_node(fleet, place), message, limit_us,
                     upstream->name, 0, 0);
}

static void
fleet_handle_record(struct fleet *fleet,
                    const struct coordinator_record *record)
{
    int64_t now_us = network_get_now_us(fleet->network);

    if (getenv("FLEET_TRACE") != NULL) {
        (void)fprintf(stderr, "%9.3f ms %s %s %s\n", (double)now_us / 1000,
                      record->kind, record->upstream, record->text);
    }
    if (strcmp(record->kind, "primary_lost") == 0) {
        fleet->lost_us = now_us;
    }
    else if (strcmp(record->kind, "superseded") == 0) {
        fleet->superseded_us = now_us;
        fleet->superseded_count++;
    }
    else if (strcmp(record->kind, "revoked") == 0) {
        fleet->revoked_us = now_us;
    }
    else if (strcmp(record->kind, "promoted") == 0) {
        fleet->promoted_us = now_us;
    }
    else if (strcmp(record->kind, "published") == 0) {
        fleet->published_us = now_us;
    }
    else if (strcmp(record->kind, "promotion_waits") == 0) {
        fleet->promotion_waits_count++;
    }
}

static void
fleet_reply_renew(struct fleet *fleet, int voter,
                  const struct coordinator_action *action)
{
    struct fleet_message *reply = fleet_create_message(FLEET_RENEW);
    struct ck_renew_result result = *action->renew;
    uint64_t leader = raft_get_leader(fleet->voters[voter].raft);
    char host[32];

    if (result.outcome == OUTCOME_NOT_LEADER && leader != RAFT_NO_VOTER) {
        (void)snprintf(host, sizeof(host), "10.1.0.%lu",
                       (unsigned long)leader);
        result.leader_host = host;
        result.leader_port = 7432;
    }
    reply->is_reply = true;
    reply->call = action->token >> 4;
    (void)codec_encode((xdrproc_t)xdr_ck_renew_result, &result, &reply->bytes);
    int entry = (int)(reply->call >> 32);
    reply->call &= UINT32_MAX;
    fleet_send_message(fleet, fleet_voter_node(voter),
                       fleet_entry_node(fleet, entry), reply);
}

static void
fleet_send_notify(struct fleet *fleet, int voter,
                  const struct coordinator_action *action)
{
    struct fleet_message *message = fleet_create_message(FLEET_NOTIFY);
    int entry = atoi(action->notify.daemon->vm + 1);

    (void)codec_encode((xdrproc_t)xdr_ck_notify_args, action->notify.args,
                       &message->bytes);
    (void)fleet_call(fleet, fleet_voter_node(voter),
                     fleet_entry_node(fleet, entry), message,
                     FLEET_NOTIFY_TIMEOUT_US, action->notify.daemon->vm,
                     action->notify.daemon->incarnation, 0);
}

static void
fleet_run_coordinator_action(struct fleet *fleet, int voter,
                             const struct coordinator_action *action)
{
    switch (action->kind) {
    case COORDINATOR_ACTION_PROPOSE:
        fleet_propose_change(fleet, voter, action);
        break;
    case COORDINATOR_ACTION_REPLY_RENEW:
        fleet_reply_renew(fleet, voter, action);
        break;
    case COORDINATOR_ACTION_REPLY_COMMAND:
        fleet->command_answered = true;
        fleet->command_outcome = action->reply.outcome;
        break;
    case COORDINATOR_ACTION_NOTIFY:
        fleet_send_notify(fleet, voter, action);
        break;
    case COORDINATOR_ACTION_PROBE:
        fleet_call_upstream(fleet, voter, FLEET_PROBE, action,
                            FLEET_PROBE_TIMEOUT_US);
        break;
    case COORDINATOR_ACTION_PROMOTE:
        fleet_call_upstream(fleet, voter, FLEET_PROMOTE, action,
                            FLEET_PROMOTE_TIMEOUT_US);
        break;
    case COORDINATOR_ACTION_FOLLOW:
        fleet_call_upstream(fleet, voter, FLEET_FOLLOW, action,
                            FLEET_RECONFIGURE_TIMEOUT_US);
        break;
    case COORDINATOR_ACTION_FENCE:
        fleet_call_upstream(fleet, voter, FLEET_FENCE, action,
                            FLEET_RECONFIGURE_TIMEOUT_US);
        break;
    case COORDINATOR_ACTION_RECORD:
        fleet_handle_record(fleet, &action->record);
        break;
    case COORDINATOR_ACTION_WAKE:
        network_set_timer(fleet->network, fleet_voter_node(voter),
                          FLEET_TIMER_COORDINATOR, action->wake_at_us);
        break;
    case COORDINATOR_ACTION_REPLY_ANNOUNCE:
        break;
    }
}

// Steps the leader's machine and carries out its actions.
static void
fleet_step_coordinator(struct fleet *fleet, int voter,
                       struct coordinator_event *event)
{
    struct fleet_voter *own = &fleet->voters[voter];
    struct coordinator_actions actions = {0};
    int64_t now_us = fleet_get_voter_now_us(fleet, voter);

    event->quorum = raft_has_quorum(own->raft, now_us);
    coordinator_step(own->coordinator, now_us, event, &actions);
    for (size_t i = 0; i < actions.count; i++) {
        fleet_run_coordinator_action(fleet, voter, &actions.items[i]);
    }
    coordinator_actions_free(&actions);
}

// Starts a voter whose state already has the customer.
void
fleet_voter_start(struct fleet *fleet, int voter)
{
    struct fleet_voter *own = &fleet->voters[voter];
    struct ck_voter voters[FLEET_MAX_VOTERS];
    char hosts[FLEET_MAX_VOTERS][32];
    struct coordinator_params coordinator_params;
    struct raft_saved saved = {0};
    struct raft_params params = {
        .group = GROUP_FLEET_NAME,
        .self = (uint64_t)voter + 1,
        .heartbeat_us = 100000,
        .election_us = 500000,
        .clock_drift_ppm = 1000,
        .seed = fleet->params.seed * 7 + (uint64_t)voter,
        .max_pending_entries = 10000,
        .max_pending_bytes = 10000000,
        .max_in_flight_bytes = 1000000,
        .snapshot_entries = 1000000,
        .snapshot_bytes = 100000000,
        .voters = voters,
        .voters_count = (size_t)fleet->params.voters,
    };

    for (int i = 0; i < fleet->params.voters; i++) {
        (void)snprintf(hosts[i], sizeof(hosts[i]), "10.1.0.%d", i + 1);
        voters[i].id = (uint64_t)i + 1;
        voters[i].vm = hosts[i];
        voters[i].host = hosts[i];
        voters[i].port = 7432;
        voters[i].voting = true;
    }
    own->group = group_create(GROUP_FLEET_NAME);
    changes_set_customer(own->group, "[{\"name\": \"" FLEET_DATABASE "\"}]",
                         fleet->params.promotion);
    coordinator_params_init(&coordinator_params);
    coordinator_params.drift_ppm = 20000;
    if (fleet->params.lost_retention_us != 0) {
        coordinator_params.lost_retention_us = fleet->params.lost_retention_us;
    }
    own->coordinator = coordinator_create(&coordinator_params, own->group);
    own->raft =
        raft_create(&params, &saved, fleet_get_voter_now_us(fleet, voter));
    network_set_timer(fleet->network, fleet_voter_node(voter),
                      FLEET_TIMER_RAFT, fleet_get_voter_now_us(fleet, voter));
}

// Runs a voter's timers.
void
fleet_voter_timer(struct fleet *fleet, int voter, uint64_t tag)
{
    struct raft_event tick = {.kind = RAFT_EVENT_TICK};
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_TICK};

    if (tag == FLEET_TIMER_RAFT) {
        fleet_step_raft(fleet, voter, &tick);
    }
    else {
        fleet_step_coordinator(fleet, voter, &event);
    }
}

static void
fleet_handle_raft_message(struct fleet *fleet, int voter,
                          const struct fleet_message *message)
{
    struct ck_raft_message decoded;
    struct raft_event event = {.kind = RAFT_EVENT_MESSAGE};

    memset(&decoded, 0, sizeof(decoded));
    (void)codec_decode((xdrproc_t)xdr_ck_raft_message, message->bytes.data,
                       buffer_get_size(&message->bytes), &decoded);
    event.message = &decoded;
    fleet_step_raft(fleet, voter, &event);
    codec_free((xdrproc_t)xdr_ck_raft_message, &decoded);
}

static void
fleet_handle_renew(struct fleet *fleet, int voter, int from,
                   const struct fleet_message *message)
{
    struct ck_renew_args args;
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_RENEW};
    uint64_t entry = (uint64_t)(from - fleet->params.voters);

    memset(&args, 0, sizeof(args));
    (void)codec_decode((xdrproc_t)xdr_ck_renew_args, message->bytes.data,
                       buffer_get_size(&message->bytes), &args);
    event.token = (entry << 32 | message->call) << 4 | FLEET_TOKEN_RENEW;
    event.renew = &args;
    fleet_step_coordinator(fleet, voter, &event);
    codec_free((xdrproc_t)xdr_ck_renew_args, &args);
}

static void
fleet_handle_announcement(struct fleet *fleet, int voter,
                          const struct fleet_message *message)
{
    struct ck_upstream upstream;
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_ANNOUNCE,
                                      .token = 1};

    memset(&upstream, 0, sizeof(upstream));
    (void)codec_decode((xdrproc_t)xdr_ck_upstream, message->bytes.data,
                       buffer_get_size(&message->bytes), &upstream);
    event.announce = &upstream;
    fleet_step_coordinator(fleet, voter, &event);
    codec_free((xdrproc_t)xdr_ck_upstream, &upstream);
}

// Takes a message to a voter.
void
fleet_voter_receive(struct fleet *fleet, int voter, int from,
                    const struct fleet_message *message)
{
    if (message->kind == FLEET_RAFT) {
        fleet_handle_raft_message(fleet, voter, message);
    }
    else if (message->kind == FLEET_RENEW) {
        fleet_handle_renew(fleet, voter, from, message);
    }
    else if (message->kind == FLEET_ANNOUNCE) {
        fleet_handle_announcement(fleet, voter, message);
    }
}

static void
fleet_handle_notify_result(struct fleet *fleet, int voter,
                           const struct fleet_call *call,
                           const struct fleet_message *reply)
{
    struct ck_notify_result result;
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_NOTIFIED};

    memset(&result, 0, sizeof(result));
    event.notified.vm = call->name;
    event.notified.incarnation = call->incarnation;
    if (reply != NULL) {
        (void)codec_decode((xdrproc_t)xdr_ck_notify_result, reply->bytes.data,
                           buffer_get_size(&reply->bytes), &result);
        event.notified.result = &result;
    }
    fleet_step_coordinator(fleet, voter, &event);
    codec_free((xdrproc_t)xdr_ck_notify_result, &result);
}

// Takes the end of a voter's call; reply is NULL after the time limit.
void
fleet_voter_complete_call(struct fleet *fleet, int voter,
                          const struct fleet_call *call,
                          const struct fleet_message *reply)
{
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_PROBED};
    bool done = reply != NULL && !reply->refused;

    if (call->kind == FLEET_NOTIFY) {
        fleet_handle_notify_result(fleet, voter, call, reply);
        return;
    }
    if (call->kind == FLEET_PROBE || (call->kind == FLEET_PROMOTE && done)) {
        event.kind = call->kind == FLEET_PROMOTE ? COORDINATOR_EVENT_PROMOTED
                     : done                      ? COORDINATOR_EVENT_PROBED
                            : COORDINATOR_EVENT_PROBE_FAILED;
        event.probe.upstream = call->name;
        event.probe.refused = reply != NULL && reply->refused;
        event.probe.is_primary = done && reply->is_primary;
        if (done) {
            event.probe.position = reply->position;
        }
    }
    else {
        event.kind = call->kind == FLEET_PROMOTE
                         ? COORDINATOR_EVENT_PROMOTE_FAILED
                     : call->kind == FLEET_FENCE ? COORDINATOR_EVENT_FENCED
                                                 : COORDINATOR_EVENT_FOLLOWED;
        event.done.upstream = call->name;
        event.done.outcome = done ? OUTCOME_OK : OUTCOME_UNAVAILABLE;
    }
    fleet_step_coordinator(fleet, voter, &event);
}

// Has the leader take a command.
void
fleet_voter_handle_command(struct fleet *fleet, int voter,
                           const struct ck_command_args *args)
{
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_COMMAND,
                                      .token = FLEET_TOKEN_COMMAND};

    event.command = args;
    fleet_step_coordinator(fleet, voter, &event);
}
