// Upstreams of a played day, and the platform that promotes them.

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "test/rig/history_private.h"

#define HISTORY_NUMBER_BITS     40
#define HISTORY_REFUSED_PERCENT 50 // a crashed upstream's host still answers

// A replica receives one part in this many of what it lacks in each step.
#define HISTORY_RECEIVE_DIVISOR 3

bool
history_upstream_is_up(const struct history_rig *rig, int upstream)
{
    return rig->now_us >= rig->upstreams[upstream].down_until_us;
}

bool
history_upstream_hears_control(const struct history_rig *rig, int upstream)
{
    return history_upstream_is_up(rig, upstream) &&
           rig->now_us >= rig->upstreams[upstream].control_cut_until_us;
}

static bool
history_hears_peer(const struct history_rig *rig, int one, int other)
{
    return history_upstream_is_up(rig, one) &&
           history_upstream_is_up(rig, other) &&
           rig->now_us >= rig->upstreams[one].peers_cut_until_us &&
           rig->now_us >= rig->upstreams[other].peers_cut_until_us;
}

static struct ck_position
history_get_position(const struct history_upstream *upstream)
{
    struct ck_position position = {
        .timeline = 1,
        .lsn = upstream->term << HISTORY_NUMBER_BITS | upstream->number};

    return position;
}

// Fills what an upstream says of its log.
static void
history_set_position(struct coordinator_probe *probe,
                     const struct ck_position *position)
{
    probe->position = *position;
    probe->term = position->lsn >> HISTORY_NUMBER_BITS;
    probe->last_write.timeline = probe->term;
    probe->last_write.lsn =
        position->lsn & ((UINT64_C(1) << HISTORY_NUMBER_BITS) - 1);
}

// The process ends; it keeps its log. It comes back as a replica if another
// upstream was promoted meanwhile.
void
history_upstream_crash(struct history_rig *rig, int upstream, int64_t until_us)
{
    if (rig->upstreams[upstream].down_until_us < until_us) {
        rig->upstreams[upstream].down_until_us = until_us;
    }
}

// ---- operations of control ----

static void
history_fail_probe(struct history_rig *rig,
                   const struct history_message *message, bool is_refused)
{
    int64_t due_us = is_refused ? rig->now_us + history_draw_latency_us(rig)
                                : message->deadline_us;
    struct history_message *failure =
        history_send_on(rig, message, HISTORY_MESSAGE_PROBE_FAILURE, due_us);

    failure->is_refused = is_refused;
}

static void
history_receive_probe(struct history_rig *rig,
                      const struct history_message *message)
{
    const struct history_upstream *upstream =
        &rig->upstreams[message->upstream];

    if (!history_upstream_hears_control(rig, message->upstream)) {
        bool is_refused = !history_upstream_is_up(rig, message->upstream) &&
                          rig->now_us >= upstream->control_cut_until_us &&
                          history_draw(rig, HISTORY_REFUSED_PERCENT);
        history_fail_probe(rig, message, is_refused);
        return;
    }
    struct history_message *answer =
        history_send_on(rig, message, HISTORY_MESSAGE_PROBE_ANSWER,
                        rig->now_us + history_draw_latency_us(rig));
    answer->is_primary = upstream->is_primary;
    answer->position = history_get_position(upstream);
}

static void
history_finish_probe(struct history_rig *rig,
                     const struct history_message *message)
{
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_PROBED};

    if (message->kind == HISTORY_MESSAGE_PROBE_FAILURE) {
        event.kind = COORDINATOR_EVENT_PROBE_FAILED;
    }
    else if (message->due_us > message->deadline_us ||
             !history_upstream_hears_control(rig, message->upstream)) {
        history_fail_probe(rig, message, false);
        return;
    }
    event.probe.upstream = rig->upstreams[message->upstream].name;
    event.probe.is_primary = message->is_primary;
    event.probe.refused = message->is_refused;
    history_set_position(&event.probe, &message->position);
    history_voter_answer(rig, message, &event);
}

static void
history_receive_fence(struct history_rig *rig,
                      const struct history_message *message)
{
    struct history_upstream *upstream = &rig->upstreams[message->upstream];

    if (!history_upstream_hears_control(rig, message->upstream)) {
        history_send_on(rig, message, HISTORY_MESSAGE_FENCE_FAILURE,
                        message->deadline_us);
        return;
    }
    if (upstream->is_primary) {
        upstream->is_primary = false;
        history_trace(rig, "u%d steps down", message->upstream);
    }
    history_send_on(rig, message, HISTORY_MESSAGE_FENCE_ANSWER,
                    rig->now_us + history_draw_latency_us(rig));
}

static void
history_finish_fence(struct history_rig *rig,
                     const struct history_message *message)
{
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_FENCED};
    bool is_heard = message->kind == HISTORY_MESSAGE_FENCE_ANSWER &&
                    history_upstream_hears_control(rig, message->upstream);

    event.done.upstream = rig->upstreams[message->upstream].name;
    event.done.outcome = is_heard ? OUTCOME_OK : OUTCOME_TIMEOUT;
    history_voter_answer(rig, message, &event);
}

// ---- the platform ----

static void
history_answer_order(struct history_rig *rig,
                     const struct history_message *message, int outcome,
                     int64_t due_us)
{
    history_send_on(rig, message, HISTORY_MESSAGE_ORDER_FAILED, due_us)
        ->outcome = outcome;
}

// Returns whether the platform refuses a call: its fence is old, or the
// upstream does not run.
static bool
history_is_order_refused(struct history_rig *rig,
                         const struct history_message *message)
{
    const struct history_platform *platform = &rig->platform;

    return message->fate == HISTORY_ORDER_REFUSED ||
           rig->now_us < platform->down_until_us ||
           (platform->is_fencing && message->token < platform->fence) ||
           !history_upstream_is_up(rig, message->upstream);
}

// Returns whether a call changes nothing: its upstream is the present primary,
// or is being promoted already.
static bool
history_is_order_done(const struct history_rig *rig, int upstream)
{
    bool is_done = rig->platform.primary == upstream &&
                   rig->upstreams[upstream].is_primary;

    for (const struct history_message *message = rig->messages;
         message != NULL; message = message->next) {
        is_done = is_done || (message->kind == HISTORY_MESSAGE_EFFECT &&
                              message->upstream == upstream);
    }
    return is_done;
}

static void
history_accept_order(struct history_rig *rig,
                     const struct history_message *message)
{
    int64_t after_us = message->fate == HISTORY_ORDER_LATE
                           ? history_draw_us(rig, HISTORY_EFFECT_MAX_US,
                                             HISTORY_LATE_EFFECT_US)
                           : history_draw_us(rig, HISTORY_EFFECT_MIN_US,
                                             HISTORY_EFFECT_MAX_US);

    if (!history_is_order_done(rig, message->upstream)) {
        history_send_on(rig, message, HISTORY_MESSAGE_EFFECT,
                        rig->now_us + after_us);
    }
    if (message->token > rig->platform.fence) {
        rig->platform.fence = message->token;
    }
}

// The caller of an order that has no answer gives up at its deadline at the
// latest.
static void
history_lose_answer(struct history_rig *rig,
                    const struct history_message *message)
{
    int64_t most_us = message->deadline_us - rig->now_us;

    history_trace(rig, "the answer to the order of u%d is lost",
                  message->upstream);
    history_answer_order(rig, message, OUTCOME_TIMEOUT,
                         rig->now_us + history_draw_us(rig, 0, most_us));
}

static void
history_receive_order(struct history_rig *rig,
                      const struct history_message *message)
{
    if (message->fate == HISTORY_ORDER_LOST) {
        history_lose_answer(rig, message);
        return;
    }
    if (history_is_order_refused(rig, message)) {
        history_trace(rig, "the order of u%d is refused", message->upstream);
        history_answer_order(rig, message, OUTCOME_NOT_RUN,
                             rig->now_us + history_draw_latency_us(rig));
        return;
    }
    history_accept_order(rig, message);
    if (message->fate == HISTORY_ORDER_ANSWER_LOST) {
        history_lose_answer(rig, message);
        return;
    }
    history_send_on(rig, message, HISTORY_MESSAGE_POLL,
                    rig->now_us + HISTORY_POLL_US);
}

// Returns whether a log, up to a number of a term, holds acknowledged commits
// that the log of the newest term lacks.
static bool
history_holds_given_up(const struct history_platform *platform, uint64_t term,
                       uint64_t number)
{
    uint64_t newest = platform->term;
    uint64_t end = UINT64_MAX; // of the part of term that newest has

    while (newest > term) {
        end = platform->bases[newest];
        newest = platform->parents[newest];
    }
    if (newest < term) {
        bool holds = platform->acknowledged[term] > platform->bases[term] &&
                     number > platform->bases[term];
        return holds ||
               history_holds_given_up(platform, platform->parents[term],
                                      platform->bases[term]);
    }
    return number > end && platform->acknowledged[term] > end;
}

static void
history_judge_log(struct history_rig *rig, int index)
{
    const struct history_upstream *upstream = &rig->upstreams[index];

    if (history_holds_given_up(&rig->platform, upstream->term,
                               upstream->number)) {
        history_fail(rig, HISTORY_FAULT_GIVEN_UP_LOG,
                     "u%d is promoted with its log of term %" PRIu64
                     " up to %" PRIu64 "; the newest term is %" PRIu64,
                     index, upstream->term, upstream->number,
                     rig->platform.term);
    }
}

// Begins the log of the next term with what an upstream has.
static void
history_begin_log(struct history_rig *rig, struct history_upstream *upstream)
{
    struct history_platform *platform = &rig->platform;

    platform->term++;
    INVARIANT(platform->term < HISTORY_MAX_TERMS);
    platform->parents[platform->term] = upstream->term;
    platform->bases[platform->term] = upstream->number;
    platform->acknowledged[platform->term] = upstream->number;
    upstream->term = platform->term;
}

// The named upstream leads the next term with what it has.
static void
history_take_effect(struct history_rig *rig,
                    const struct history_message *message)
{
    struct history_platform *platform = &rig->platform;
    struct history_upstream *upstream = &rig->upstreams[message->upstream];
    bool is_present =
        platform->primary == message->upstream && upstream->is_primary;

    if (is_present || !history_upstream_is_up(rig, message->upstream)) {
        return;
    }
    history_judge_log(rig, message->upstream);
    platform->primary = message->upstream;
    platform->promoted_us = rig->now_us;
    history_begin_log(rig, upstream);
    upstream->is_primary = true;
    upstream->follows_us = 0;
    rig->day->promotions_count++;
    history_trace(rig,
                  "the promotion of u%d takes effect, its log at %" PRIu64,
                  message->upstream, upstream->number);
    history_trigger(rig, HISTORY_TRIGGER_EFFECT);
}

// The caller of an order that was taken asks the upstream for its role until
// it is a primary.
static void
history_poll_order(struct history_rig *rig,
                   const struct history_message *message)
{
    const struct history_upstream *upstream =
        &rig->upstreams[message->upstream];
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_PROMOTED};

    if (rig->now_us >= message->deadline_us) {
        history_answer_order(rig, message, OUTCOME_TIMEOUT, rig->now_us);
        return;
    }
    if (!upstream->is_primary ||
        !history_upstream_hears_control(rig, message->upstream)) {
        history_send_on(rig, message, HISTORY_MESSAGE_POLL,
                        rig->now_us + HISTORY_POLL_US);
        return;
    }
    event.probe.upstream = upstream->name;
    event.probe.is_primary = true;
    struct ck_position position = history_get_position(upstream);
    history_set_position(&event.probe, &position);
    history_voter_answer(rig, message, &event);
}

void
history_upstream_receive(struct history_rig *rig,
                         const struct history_message *message)
{
    switch (message->kind) {
    case HISTORY_MESSAGE_PROBE:
        history_receive_probe(rig, message);
        break;
    case HISTORY_MESSAGE_PROBE_ANSWER:
    case HISTORY_MESSAGE_PROBE_FAILURE:
        history_finish_probe(rig, message);
        break;
    case HISTORY_MESSAGE_FENCE:
        history_receive_fence(rig, message);
        break;
    case HISTORY_MESSAGE_FENCE_ANSWER:
    case HISTORY_MESSAGE_FENCE_FAILURE:
        history_finish_fence(rig, message);
        break;
    case HISTORY_MESSAGE_ORDER:
        history_receive_order(rig, message);
        break;
    case HISTORY_MESSAGE_EFFECT:
        history_take_effect(rig, message);
        break;
    default:
        history_poll_order(rig, message);
        break;
    }
}

// ---- time ----

// A superseded primary that can reach its successor becomes a replica within a
// second.
static void
history_run_claim(struct history_rig *rig, int index)
{
    struct history_upstream *upstream = &rig->upstreams[index];

    if (!upstream->is_primary || index == rig->platform.primary ||
        !history_hears_peer(rig, index, rig->platform.primary)) {
        upstream->follows_us = 0;
        return;
    }
    if (upstream->follows_us == 0) {
        upstream->follows_us =
            rig->now_us + history_draw_us(rig, 0, HISTORY_FOLLOW_US);
    }
    if (rig->now_us >= upstream->follows_us) {
        upstream->is_primary = false;
        history_trace(rig, "u%d follows u%d", index, rig->platform.primary);
    }
}

static void
history_run_replication(struct history_rig *rig, int index)
{
    struct history_upstream *upstream = &rig->upstreams[index];
    const struct history_upstream *primary =
        &rig->upstreams[rig->platform.primary];

    if (upstream->is_primary || !primary->is_primary ||
        rig->now_us < upstream->lag_until_us ||
        !history_hears_peer(rig, index, rig->platform.primary)) {
        return;
    }
    if (upstream->term != primary->term ||
        upstream->number > primary->number) {
        upstream->term = primary->term;
        upstream->number = primary->number;
        return;
    }
    uint64_t lacks = primary->number - upstream->number;
    upstream->number +=
        (lacks + HISTORY_RECEIVE_DIVISOR - 1) / HISTORY_RECEIVE_DIVISOR;
}

// An upstream that leaves ends some time after it has said so, and another
// process with its log takes its place.
static void
history_run_leaving(struct history_rig *rig, int index)
{
    struct history_upstream *upstream = &rig->upstreams[index];

    if (!upstream->is_leaving || rig->now_us < upstream->leaves_us) {
        return;
    }
    upstream->is_leaving = false;
    upstream->is_primary = false;
    upstream->incarnation++;
    history_upstream_crash(rig, index,
                           rig->now_us +
                               history_draw_us(rig, HISTORY_S, 4 * HISTORY_S));
    history_trace(rig, "u%d has left", index);
}

static void
history_announce(struct history_rig *rig, int index)
{
    struct history_upstream *upstream = &rig->upstreams[index];

    if (rig->now_us < upstream->next_announce_us) {
        return;
    }
    upstream->next_announce_us = rig->now_us + HISTORY_HEARTBEAT_US;
    if (!history_upstream_hears_control(rig, index)) {
        return;
    }
    struct history_message *message = history_send(
        rig, HISTORY_MESSAGE_ANNOUNCE, history_draw_latency_us(rig));
    message->upstream = index;
    message->incarnation = upstream->incarnation;
    message->state =
        upstream->is_leaving ? CK_UPSTREAM_LEAVING : CK_UPSTREAM_READY;
}

static void
history_run_upstream(struct history_rig *rig, int index)
{
    struct history_upstream *upstream = &rig->upstreams[index];

    if (!history_upstream_is_up(rig, index)) {
        if (rig->platform.primary != index) {
            upstream->is_primary = false;
        }
        return;
    }
    history_run_claim(rig, index);
    history_run_replication(rig, index);
    history_run_leaving(rig, index);
    history_announce(rig, index);
}

void
history_upstreams_run(struct history_rig *rig)
{
    for (int i = 0; i < rig->upstreams_count; i++) {
        history_run_upstream(rig, i);
    }
}

void
history_upstreams_start(struct history_rig *rig)
{
    rig->platform.term = 1;
    for (int i = 0; i < rig->upstreams_count; i++) {
        struct history_upstream *upstream = &rig->upstreams[i];
        (void)snprintf(upstream->name, sizeof(upstream->name), "u%d", i);
        (void)snprintf(upstream->host, sizeof(upstream->host), "10.0.0.%d",
                       i + 1);
        upstream->is_primary = i == 0;
        upstream->incarnation = 1;
        upstream->term = 1;
        upstream->number = 1;
        upstream->next_announce_us =
            rig->now_us + history_draw_us(rig, 0, HISTORY_HEARTBEAT_US);
    }
}

// ---- commits ----

// Returns whether as many replicas as must have it have received the newest
// commit.
static bool
history_confirm_commit(struct history_rig *rig, int primary)
{
    unsigned confirmed = 0;

    for (int i = 0; i < rig->upstreams_count; i++) {
        struct history_upstream *upstream = &rig->upstreams[i];
        if (confirmed < rig->confirm && i != primary &&
            !upstream->is_primary && rig->now_us >= upstream->lag_until_us &&
            primary == rig->platform.primary &&
            history_hears_peer(rig, i, primary)) {
            upstream->term = rig->upstreams[primary].term;
            upstream->number = rig->upstreams[primary].number;
            confirmed++;
        }
    }
    return confirmed >= rig->confirm;
}

// The newest commit of an upstream is acknowledged. At one that is not the
// primary that counts as the other fault only.
void
history_note_acknowledged(struct history_rig *rig, int upstream)
{
    const struct history_upstream *self = &rig->upstreams[upstream];

    if (upstream == rig->platform.primary) {
        rig->platform.acknowledged[self->term] = self->number;
    }
}

int
history_upstream_commit(struct history_rig *rig, int upstream, int entry)
{
    struct history_upstream *self = &rig->upstreams[upstream];

    if (!history_upstream_is_up(rig, upstream) ||
        rig->now_us < self->entry_cut_until_us[entry]) {
        return OUTCOME_TIMEOUT;
    }
    if (!self->is_primary) {
        return OUTCOME_NOT_RUN;
    }
    self->number++;
    return history_confirm_commit(rig, upstream) ? OUTCOME_OK
                                                 : OUTCOME_TIMEOUT;
}
