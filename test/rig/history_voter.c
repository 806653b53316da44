// Control VMs of a played day: each has a coordinator, and one of them leads.
// They share one group state, as a log that all of them have applied.

#include <check.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/group/declaration.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"
#include "test/fake/changes.h"
#include "test/rig/history_private.h"

#define HISTORY_COMMIT_MIN_US   5000
#define HISTORY_COMMIT_MAX_US   60000
#define HISTORY_RESIGN_MAX_US   300000
#define HISTORY_ELECTION_FACTOR 3

const struct ck_database *
history_get_database(const struct history_rig *rig)
{
    return group_find_database(rig->group, HISTORY_DATABASE);
}

// Returns the upstream that is published as the primary.
int
history_get_published(const struct history_rig *rig)
{
    return atoi(history_get_database(rig)->primary + 1);
}

static struct history_message *
history_send_from(struct history_rig *rig, int voter,
                  enum history_message_kind kind, int64_t after_us)
{
    struct history_message *message = history_send(rig, kind, after_us);

    message->voter = voter;
    message->process = rig->voters[voter].process;
    return message;
}

// Sends an operation at an upstream, whose caller waits for timeout_us.
static void
history_send_operation(struct history_rig *rig, int voter,
                       const struct coordinator_action *action,
                       enum history_message_kind kind, int64_t timeout_us)
{
    struct history_message *message =
        history_send_from(rig, voter, kind, history_draw_latency_us(rig));

    message->upstream = atoi(action->upstream.upstream->name + 1);
    message->token = rig->leader_term;
    message->deadline_us = rig->now_us + timeout_us;
}

static void
history_send_order(struct history_rig *rig, int voter,
                   const struct coordinator_action *action)
{
    struct history_message *message = history_send_from(
        rig, voter, HISTORY_MESSAGE_ORDER,
        history_draw_us(rig, HISTORY_STEP_US, HISTORY_CALL_LATENCY_US));

    message->upstream = atoi(action->upstream.upstream->name + 1);
    message->token = rig->leader_term;
    message->deadline_us = rig->now_us + HISTORY_PROMOTE_US;
    message->fate = rig->platform.next_fate;
    rig->platform.next_fate = HISTORY_ORDER_NORMAL;
    history_trace(rig,
                  "c%d orders u%d promoted for term %" PRIu64
                  " (fence %" PRIu64 ")",
                  voter, message->upstream, (uint64_t)action->upstream.term,
                  rig->leader_term);
    history_trigger(rig, HISTORY_TRIGGER_ORDERED);
}

// A proposal is committed in the order of the log. One that is made without
// the other voters is not.
static void
history_send_proposal(struct history_rig *rig, int voter,
                      const struct coordinator_action *action)
{
    if (rig->is_log_cut) {
        return;
    }
    int64_t due_us = rig->now_us + history_draw_us(rig, HISTORY_COMMIT_MIN_US,
                                                   HISTORY_COMMIT_MAX_US);
    rig->committed_us =
        due_us > rig->committed_us ? due_us : rig->committed_us;
    struct history_message *message = history_send_from(
        rig, voter, HISTORY_MESSAGE_PROPOSAL, rig->committed_us - rig->now_us);
    message->token = action->token;
    buffer_append(&message->bytes, action->payload.data,
                  action->payload.size_bytes);
}

static void
history_send_renewed(struct history_rig *rig, int voter,
                     const struct coordinator_action *action)
{
    struct history_message *message =
        history_send_from(rig, voter, HISTORY_MESSAGE_RENEW_ANSWER,
                          history_draw_latency_us(rig));

    message->entry = (int)(action->token % HISTORY_MAX_ENTRIES);
    message->incarnation = action->token / HISTORY_MAX_ENTRIES;
    message->sequence = action->renew->sequence;
    (void)codec_encode((xdrproc_t)xdr_ck_renew_result, action->renew,
                       &message->bytes);
}

static void
history_send_notification(struct history_rig *rig, int voter,
                          const struct coordinator_action *action)
{
    struct history_message *message = history_send_from(
        rig, voter, HISTORY_MESSAGE_NOTIFY, history_draw_latency_us(rig));

    message->entry = atoi(action->notify.daemon->vm + 1);
    message->incarnation = action->notify.daemon->incarnation;
    message->deadline_us = rig->now_us + HISTORY_NOTIFY_US;
    (void)codec_encode((xdrproc_t)xdr_ck_notify_args, action->notify.args,
                       &message->bytes);
}

static void
history_record(struct history_rig *rig, int voter,
               const struct coordinator_record *record)
{
    history_trace(rig, "c%d %s %s %s", voter, record->kind, record->upstream,
                  record->text);
    if (strcmp(record->kind, "superseded") == 0) {
        history_trigger(rig, HISTORY_TRIGGER_SUPERSEDED);
    }
}

static void
history_run_action(struct history_rig *rig, int voter,
                   const struct coordinator_action *action)
{
    switch (action->kind) {
    case COORDINATOR_ACTION_PROPOSE:
        history_send_proposal(rig, voter, action);
        break;
    case COORDINATOR_ACTION_REPLY_RENEW:
        history_send_renewed(rig, voter, action);
        break;
    case COORDINATOR_ACTION_NOTIFY:
        history_send_notification(rig, voter, action);
        break;
    case COORDINATOR_ACTION_PROBE:
        history_send_operation(rig, voter, action, HISTORY_MESSAGE_PROBE,
                               HISTORY_SUSPECT_US);
        break;
    case COORDINATOR_ACTION_PROMOTE:
        history_send_order(rig, voter, action);
        break;
    case COORDINATOR_ACTION_FENCE:
        history_send_operation(rig, voter, action, HISTORY_MESSAGE_FENCE,
                               HISTORY_CONNECT_US);
        break;
    case COORDINATOR_ACTION_FOLLOW:
        history_send_operation(rig, voter, action,
                               HISTORY_MESSAGE_FOLLOW_ANSWER,
                               HISTORY_CONNECT_US);
        break;
    case COORDINATOR_ACTION_RECORD:
        history_record(rig, voter, &action->record);
        break;
    default:
        break;
    }
}

void
history_voter_step(struct history_rig *rig, int voter,
                   struct coordinator_event *event)
{
    struct coordinator_actions actions = {0};

    event->quorum = rig->voters[voter].has_quorum;
    coordinator_step(rig->voters[voter].coordinator, rig->now_us, event,
                     &actions);
    for (size_t i = 0; i < actions.count; i++) {
        history_run_action(rig, voter, &actions.items[i]);
    }
    coordinator_actions_free(&actions);
}

// Passes the answer to a message on to the voter, if its process still runs.
void
history_voter_answer(struct history_rig *rig,
                     const struct history_message *message,
                     struct coordinator_event *event)
{
    if (message->process == rig->voters[message->voter].process) {
        history_voter_step(rig, message->voter, event);
    }
}

// Applies a committed change and tells all voters.
static void
history_apply(struct history_rig *rig, const struct history_message *message)
{
    struct ck_log_payload payload;
    struct group_result result;
    const struct buffer *bytes = &message->bytes;

    memset(&payload, 0, sizeof(payload));
    ck_assert_int_eq(codec_decode((xdrproc_t)xdr_ck_log_payload,
                                  buffer_get_data(bytes),
                                  buffer_get_size(bytes), &payload),
                     OUTCOME_OK);
    group_apply_payload(rig->group, group_get_applied_index(rig->group) + 1,
                        &payload, &result);
    for (int i = 0; i < HISTORY_VOTERS; i++) {
        struct coordinator_event event = {.kind = COORDINATOR_EVENT_APPLIED};
        bool is_own = i == message->voter && i == rig->leader &&
                      message->process == rig->voters[i].process;
        event.token = is_own ? message->token : 0;
        event.applied.change = &payload.change;
        event.applied.result = &result;
        history_voter_step(rig, i, &event);
    }
    codec_free((xdrproc_t)xdr_ck_log_payload, &payload);
}

// A proposal of a leader that is lost waits for the next one, which has it or
// not.
static void
history_receive_proposal(struct history_rig *rig,
                         const struct history_message *message)
{
    if (!rig->is_log_cut && message->voter == rig->leader) {
        history_apply(rig, message);
    }
}

static void
history_receive_renewal(struct history_rig *rig,
                        const struct history_message *message)
{
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_RENEW};
    struct ck_renew_args args;

    if (rig->now_us < rig->entries[message->entry].cut_until_us) {
        return;
    }
    memset(&args, 0, sizeof(args));
    (void)codec_decode((xdrproc_t)xdr_ck_renew_args,
                       buffer_get_data(&message->bytes),
                       buffer_get_size(&message->bytes), &args);
    event.renew = &args;
    event.token =
        message->incarnation * HISTORY_MAX_ENTRIES + (uint64_t)message->entry;
    history_voter_step(rig, message->voter, &event);
    codec_free((xdrproc_t)xdr_ck_renew_args, &args);
}

static void
history_receive_notified(struct history_rig *rig,
                         const struct history_message *message)
{
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_NOTIFIED};
    struct ck_notify_result result;

    memset(&result, 0, sizeof(result));
    event.notified.vm = rig->entries[message->entry].vm;
    event.notified.incarnation = message->incarnation;
    if (message->kind == HISTORY_MESSAGE_NOTIFY_ANSWER) {
        (void)codec_decode((xdrproc_t)xdr_ck_notify_result,
                           buffer_get_data(&message->bytes),
                           buffer_get_size(&message->bytes), &result);
        event.notified.result = &result;
    }
    else {
        event.kind = COORDINATOR_EVENT_NOTIFY_FAILED;
    }
    history_voter_answer(rig, message, &event);
    codec_free((xdrproc_t)xdr_ck_notify_result, &result);
}

static void
history_receive_announcement(struct history_rig *rig,
                             const struct history_message *message)
{
    const struct history_upstream *upstream =
        &rig->upstreams[message->upstream];
    struct ck_upstream announced = changes_make_upstream(
        upstream->name, HISTORY_DATABASE, "noord", upstream->host);
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_ANNOUNCE};

    announced.state = message->state;
    announced.incarnation = message->incarnation;
    event.announce = &announced;
    if (rig->leader != HISTORY_NONE) {
        history_voter_step(rig, rig->leader, &event);
    }
}

void
history_voter_receive(struct history_rig *rig,
                      const struct history_message *message)
{
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_FOLLOWED};

    switch (message->kind) {
    case HISTORY_MESSAGE_PROPOSAL:
        history_receive_proposal(rig, message);
        break;
    case HISTORY_MESSAGE_RENEW:
        history_receive_renewal(rig, message);
        break;
    case HISTORY_MESSAGE_NOTIFY_ANSWER:
    case HISTORY_MESSAGE_NOTIFY_FAILURE:
        history_receive_notified(rig, message);
        break;
    case HISTORY_MESSAGE_ANNOUNCE:
        history_receive_announcement(rig, message);
        break;
    case HISTORY_MESSAGE_ORDER_FAILED:
        event.kind = COORDINATOR_EVENT_PROMOTE_FAILED;
        event.done.upstream = rig->upstreams[message->upstream].name;
        event.done.outcome = message->outcome;
        history_voter_answer(rig, message, &event);
        break;
    case HISTORY_MESSAGE_FOLLOW_ANSWER:
        event.done.upstream = rig->upstreams[message->upstream].name;
        event.done.outcome = OUTCOME_OK;
        history_voter_answer(rig, message, &event);
        break;
    default:
        break;
    }
}

// Moves the proposals that are not committed to a list of their own.
static void
history_strand_proposals(struct history_rig *rig)
{
    struct history_message **link = &rig->messages;
    struct history_message **last = &rig->stranded;

    while (*last != NULL) {
        last = &(*last)->next;
    }
    while (*link != NULL) {
        struct history_message *message = *link;
        if (message->kind != HISTORY_MESSAGE_PROPOSAL) {
            link = &message->next;
            continue;
        }
        *link = message->next;
        message->next = NULL;
        *last = message;
        last = &message->next;
    }
}

// The next leader has the first ones of the proposals that its predecessor
// could not commit any more.
static void
history_adopt_proposals(struct history_rig *rig)
{
    bool is_kept = true;

    while (rig->stranded != NULL) {
        struct history_message *message = rig->stranded;
        rig->stranded = message->next;
        is_kept = is_kept && history_draw(rig, 50);
        if (is_kept) {
            message->voter = HISTORY_NONE;
            history_apply(rig, message);
        }
        buffer_free(&message->bytes);
        free(message);
    }
}

static void
history_restart_voter(struct history_rig *rig, int voter)
{
    struct history_voter *self = &rig->voters[voter];

    coordinator_destroy(self->coordinator);
    self->coordinator = coordinator_create(&rig->params, rig->group);
    self->process++;
}

static void
history_depose(struct history_rig *rig)
{
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_DEPOSED};
    int old = rig->leader;

    if (old == HISTORY_NONE) {
        return;
    }
    rig->leader = HISTORY_NONE;
    history_trace(rig, "c%d leads no more", old);
    history_voter_step(rig, old, &event);
}

static void
history_elect(struct history_rig *rig)
{
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_ELECTED};
    int next = (int)random_below(&rig->random, HISTORY_VOTERS);

    if (next == rig->leader) {
        next = (next + 1) % HISTORY_VOTERS;
    }
    history_depose(rig);
    history_adopt_proposals(rig);
    rig->leader = next;
    rig->is_log_cut = false;
    rig->election_us = HISTORY_NEVER_US;
    rig->quorum_until_us = HISTORY_NEVER_US;
    rig->voters[next].has_quorum = true;
    rig->leader_term++;
    rig->day->leaders_count++;
    event.leader_term = rig->leader_term;
    history_trace(rig, "c%d leads, fence %" PRIu64, next, rig->leader_term);
    history_voter_step(rig, next, &event);
    history_trigger(rig, HISTORY_TRIGGER_ELECTED);
}

// The leader is killed, is cut off from the other voters, or steps down. What
// it has sent is on its way.
void
history_leader_lose(struct history_rig *rig, enum history_event_kind kind)
{
    int old = rig->leader;

    if (old == HISTORY_NONE || rig->election_us != HISTORY_NEVER_US) {
        return;
    }
    history_strand_proposals(rig);
    rig->is_log_cut = true;
    rig->election_us = rig->now_us + history_draw_us(rig, HISTORY_ELECTION_US,
                                                     HISTORY_ELECTION_FACTOR *
                                                         HISTORY_ELECTION_US);
    if (kind == HISTORY_EVENT_LEADER_KILL) {
        rig->leader = HISTORY_NONE;
        history_restart_voter(rig, old);
    }
    else if (kind == HISTORY_EVENT_LEADER_CUT) {
        rig->quorum_until_us =
            rig->now_us + history_draw_us(rig, 0, HISTORY_ELECTION_US);
    }
    else {
        rig->election_us =
            rig->now_us + history_draw_us(rig, 0, HISTORY_RESIGN_MAX_US);
        history_depose(rig);
    }
}

void
history_voters_run(struct history_rig *rig)
{
    struct coordinator_event tick = {.kind = COORDINATOR_EVENT_TICK};

    if (rig->leader != HISTORY_NONE) {
        rig->voters[rig->leader].has_quorum =
            rig->now_us < rig->quorum_until_us;
    }
    if (rig->now_us >= rig->election_us) {
        history_elect(rig);
    }
    if (rig->leader != HISTORY_NONE) {
        history_voter_step(rig, rig->leader, &tick);
    }
}

static void
history_declare(struct history_rig *rig)
{
    struct ck_change change = {.kind = CK_CHANGE_DECLARATION};
    struct ck_route route = {.name = (char *)"booking",
                             .database = (char *)HISTORY_DATABASE,
                             .deadline_ms = 1000};
    struct ck_declared_database database = {.name = (char *)HISTORY_DATABASE,
                                            .connections = 33,
                                            .confirm = rig->confirm};
    struct ck_declaration declaration = {
        .routes = {.routes_len = 1, .routes_val = &route},
        .databases = {.databases_len = 1, .databases_val = &database},
        .original = {.original_len = 4, .original_val = (char *)"text"}};

    ck_assert_int_eq(
        declaration_pack(&declaration, 1, &change.ck_change_u.declaration),
        OUTCOME_OK);
    ck_assert_int_eq(changes_apply(rig->group, 0, &change, "", -1, NULL),
                     OUTCOME_OK);
    declaration_free_packed(&change.ck_change_u.declaration);
}

// Adds the upstreams, of which the first one is the primary of the first term.
static void
history_add_upstreams(struct history_rig *rig)
{
    struct ck_change change = {.kind = CK_CHANGE_PRIMARY};
    struct ck_primary_change *primary = &change.ck_change_u.primary;

    for (int i = 0; i < rig->upstreams_count; i++) {
        const struct history_upstream *upstream = &rig->upstreams[i];
        struct ck_upstream announced = changes_make_upstream(
            upstream->name, HISTORY_DATABASE, "noord", upstream->host);
        announced.incarnation = upstream->incarnation;
        ck_assert_int_eq(changes_apply_upstream(rig->group, &announced),
                         OUTCOME_OK);
    }
    primary->database = (char *)HISTORY_DATABASE;
    primary->term = 1;
    primary->primary = rig->upstreams[0].name;
    primary->base.timeline = 1;
    ck_assert_int_eq(changes_apply(rig->group, 0, &change, "", -1, NULL),
                     OUTCOME_OK);
}

void
history_voters_start(struct history_rig *rig)
{
    coordinator_params_init(&rig->params);
    rig->params.lease_us = HISTORY_LEASE_US;
    rig->params.drift_ppm = HISTORY_DRIFT_PPM;
    rig->params.suspect_us = HISTORY_SUSPECT_US;
    rig->params.announce_expiry_us = HISTORY_ANNOUNCE_EXPIRY_US;
    rig->params.switchover_us = HISTORY_SWITCHOVER_US;
    rig->group = group_create(GROUP_FLEET_NAME);
    history_declare(rig);
    history_add_upstreams(rig);
    for (int i = 0; i < HISTORY_VOTERS; i++) {
        rig->voters[i].coordinator =
            coordinator_create(&rig->params, rig->group);
    }
    rig->leader = HISTORY_NONE;
    history_elect(rig);
}

void
history_voters_stop(struct history_rig *rig)
{
    for (int i = 0; i < HISTORY_VOTERS; i++) {
        coordinator_destroy(rig->voters[i].coordinator);
    }
    group_destroy(rig->group);
}
