// Entries of a played day: each runs the real leaseholder, and acknowledges
// commits at the primary of its view while its lease covers the view's term.

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"
#include "test/fake/changes.h"
#include "test/rig/history_private.h"

#define HISTORY_SUSPECT_INTERVAL_US (200 * HISTORY_MS)
#define HISTORY_DEMAND_INTERVAL_US  (250 * HISTORY_MS)
// Share of superseded terms in which an entry that served before has an open
// transaction. One that is idle for longer is ended.
#define HISTORY_OPEN_PERCENT 30
#define HISTORY_IDLE_US      (3000 * HISTORY_MS)

static void history_step_leaseholder(struct history_rig *rig, int entry,
                                     const struct leaseholder_event *event);

// The entry acknowledges nothing in this term any more, and tells control.
static void
history_end_term(struct history_rig *rig, int entry, uint64_t term)
{
    struct leaseholder_event event = {.kind =
                                          LEASEHOLDER_EVENT_CONFIRM_REVOKED};

    rig->entries[entry].min_term = term + 1;
    event.revocation.database = (char *)HISTORY_DATABASE;
    event.revocation.term = term;
    history_step_leaseholder(rig, entry, &event);
}

// Draws until when an entry that learns of the end of a term has a transaction
// open that began in it. Without one that is now.
static int64_t
history_draw_end_us(struct history_rig *rig, const struct history_entry *self,
                    uint64_t term)
{
    int64_t last_us = self->served_us + HISTORY_IDLE_US;

    if (self->served_term != term || last_us <= rig->now_us ||
        !history_draw(rig, HISTORY_OPEN_PERCENT)) {
        return rig->now_us;
    }
    return rig->now_us + history_draw_us(rig, 0, last_us - rig->now_us);
}

static void
history_apply_database(struct history_rig *rig, int entry,
                       const struct ck_database *database)
{
    struct history_entry *self = &rig->entries[entry];
    bool was_superseded = self->is_superseded && self->term == database->term;

    if (database->superseding && !was_superseded) {
        self->drained_us = history_draw_end_us(rig, self, database->term);
    }
    self->term = database->term;
    self->primary = database->primary[0] == '\0' ? HISTORY_NONE
                                                 : atoi(database->primary + 1);
    self->is_superseded = database->superseding;
}

static void
history_send_renewal(struct history_rig *rig, int entry,
                     const struct leaseholder_action *action)
{
    const struct history_entry *self = &rig->entries[entry];
    int voter = atoi(strrchr(action->send.address.host, '.') + 1);
    struct history_message *failure = history_send(
        rig, HISTORY_MESSAGE_RENEW_FAILURE, action->send.timeout_us);
    struct history_message *message =
        history_send(rig, HISTORY_MESSAGE_RENEW, history_draw_latency_us(rig));

    failure->entry = entry;
    failure->incarnation = self->incarnation;
    failure->sequence = action->send.args->sequence;
    message->entry = entry;
    message->incarnation = self->incarnation;
    message->voter = voter;
    (void)codec_encode((xdrproc_t)xdr_ck_renew_args, action->send.args,
                       &message->bytes);
}

static void
history_run_leaseholder_action(struct history_rig *rig, int entry,
                               const struct leaseholder_action *action,
                               uint64_t *revoked)
{
    struct history_entry *self = &rig->entries[entry];

    switch (action->kind) {
    case LEASEHOLDER_ACTION_SEND_RENEW:
        history_send_renewal(rig, entry, action);
        break;
    case LEASEHOLDER_ACTION_APPLY_DELTA:
        for (u_int i = 0; i < action->delta->databases.databases_len; i++) {
            history_apply_database(rig, entry,
                                   &action->delta->databases.databases_val[i]);
        }
        break;
    case LEASEHOLDER_ACTION_SET_LEASE:
        self->lease_until_us = action->valid_until_us;
        break;
    case LEASEHOLDER_ACTION_REVOKE:
        if (action->revoke.term >= self->min_term) {
            *revoked = action->revoke.term;
        }
        break;
    default:
        break;
    }
}

static void
history_step_leaseholder(struct history_rig *rig, int entry,
                         const struct leaseholder_event *event)
{
    struct leaseholder_actions actions = {0};
    uint64_t revoked = 0;

    leaseholder_step(rig->entries[entry].leaseholder, rig->now_us, event,
                     &actions);
    for (size_t i = 0; i < actions.count; i++) {
        history_run_leaseholder_action(rig, entry, &actions.items[i],
                                       &revoked);
    }
    leaseholder_actions_free(&actions);
    if (revoked != 0) {
        history_end_term(rig, entry, revoked);
    }
}

static void
history_receive_renewed(struct history_rig *rig,
                        const struct history_message *message)
{
    struct leaseholder_event event = {.kind = LEASEHOLDER_EVENT_RENEWED};
    struct ck_renew_result result;

    if (rig->now_us < rig->entries[message->entry].cut_until_us ||
        message->incarnation != rig->entries[message->entry].incarnation) {
        return;
    }
    memset(&result, 0, sizeof(result));
    (void)codec_decode((xdrproc_t)xdr_ck_renew_result,
                       buffer_get_data(&message->bytes),
                       buffer_get_size(&message->bytes), &result);
    event.renewed = &result;
    history_step_leaseholder(rig, message->entry, &event);
    codec_free((xdrproc_t)xdr_ck_renew_result, &result);
}

static void
history_receive_notification(struct history_rig *rig,
                             const struct history_message *message)
{
    const struct history_entry *self = &rig->entries[message->entry];
    struct leaseholder_event event = {.kind = LEASEHOLDER_EVENT_NOTIFIED};
    struct leaseholder_address leader = {.port = 7432};
    struct ck_notify_args args;
    struct ck_notify_result result;

    if (rig->now_us < self->cut_until_us ||
        rig->now_us < rig->notify_loss_until_us) {
        history_send_on(rig, message, HISTORY_MESSAGE_NOTIFY_FAILURE,
                        message->deadline_us);
        return;
    }
    memset(&args, 0, sizeof(args));
    (void)codec_decode((xdrproc_t)xdr_ck_notify_args,
                       buffer_get_data(&message->bytes),
                       buffer_get_size(&message->bytes), &args);
    (void)snprintf(leader.host, sizeof(leader.host), "10.1.0.%d",
                   message->voter);
    event.from = &leader;
    event.notified = &args;
    history_step_leaseholder(rig, message->entry, &event);
    leaseholder_fill_notify_result(self->leaseholder, &result);
    struct history_message *answer =
        history_send_on(rig, message, HISTORY_MESSAGE_NOTIFY_ANSWER,
                        rig->now_us + history_draw_latency_us(rig));
    (void)codec_encode((xdrproc_t)xdr_ck_notify_result, &result,
                       &answer->bytes);
    codec_free((xdrproc_t)xdr_ck_notify_args, &args);
}

void
history_entry_receive(struct history_rig *rig,
                      const struct history_message *message)
{
    struct leaseholder_event event = {.kind = LEASEHOLDER_EVENT_RENEW_FAILED};

    switch (message->kind) {
    case HISTORY_MESSAGE_RENEW_ANSWER:
        history_receive_renewed(rig, message);
        break;
    case HISTORY_MESSAGE_RENEW_FAILURE:
        if (message->incarnation == rig->entries[message->entry].incarnation) {
            event.sequence = message->sequence;
            history_step_leaseholder(rig, message->entry, &event);
        }
        break;
    default:
        history_receive_notification(rig, message);
        break;
    }
}

static void
history_start_entry(struct history_rig *rig, int entry)
{
    struct history_entry *self = &rig->entries[entry];
    struct leaseholder_address voters[HISTORY_VOTERS];
    char host[16];

    for (int i = 0; i < HISTORY_VOTERS; i++) {
        (void)snprintf(voters[i].host, sizeof(voters[i].host), "10.1.0.%d", i);
        voters[i].port = 7432;
    }
    (void)snprintf(self->vm, sizeof(self->vm), "e%d", entry);
    (void)snprintf(host, sizeof(host), "10.3.0.%d", entry + 1);
    self->primary = HISTORY_NONE;
    struct leaseholder_params params = {
        .group = GROUP_FLEET_NAME,
        .daemon = changes_make_daemon(self->vm, host, self->incarnation),
        .voters = voters,
        .voters_count = HISTORY_VOTERS,
        .renew_us = HISTORY_RENEW_US,
        .call_timeout_us = HISTORY_CALL_US,
        .retry_us = HISTORY_RETRY_US,
        .drift_ppm = HISTORY_DRIFT_PPM,
        .seed = rig->day->seed + (uint64_t)entry,
    };
    self->leaseholder = leaseholder_create(&params);
}

// Replaces the process of an entry by one that knows nothing.
void
history_entry_restart(struct history_rig *rig, int entry)
{
    struct history_entry *self = &rig->entries[entry];
    struct history_entry fresh = {.incarnation = self->incarnation + 1,
                                  .cut_until_us = self->cut_until_us};

    leaseholder_destroy(self->leaseholder);
    *self = fresh;
    history_start_entry(rig, entry);
}

void
history_entries_start(struct history_rig *rig)
{
    for (int i = 0; i < rig->entries_count; i++) {
        rig->entries[i].incarnation = 1;
        history_start_entry(rig, i);
    }
}

void
history_entries_stop(struct history_rig *rig)
{
    for (int i = 0; i < rig->entries_count; i++) {
        leaseholder_destroy(rig->entries[i].leaseholder);
    }
}

static void
history_report_demand(struct history_rig *rig, int entry)
{
    struct history_entry *self = &rig->entries[entry];
    struct ck_demand demand = {.running = 1, .connections = 4};
    struct leaseholder_event event = {.kind = LEASEHOLDER_EVENT_DEMAND,
                                      .demand = &demand};

    if (rig->now_us < self->next_demand_us) {
        return;
    }
    self->next_demand_us = rig->now_us + HISTORY_DEMAND_INTERVAL_US;
    for (int i = 0; i < rig->upstreams_count; i++) {
        demand.upstream = rig->upstreams[i].name;
        history_step_leaseholder(rig, entry, &event);
    }
}

// Reports that the primary of the view does not answer, or refuses writes.
static void
history_suspect(struct history_rig *rig, int entry, ck_suspicion_kind kind)
{
    struct history_entry *self = &rig->entries[entry];
    struct ck_suspicion suspicion = {.database = (char *)HISTORY_DATABASE,
                                     .upstream =
                                         rig->upstreams[self->primary].name,
                                     .term = self->term,
                                     .kind = kind};
    struct leaseholder_event event = {.kind = LEASEHOLDER_EVENT_SUSPECT,
                                      .suspicion = &suspicion};

    if (self->suspect_since_us == 0) {
        self->suspect_since_us = rig->now_us;
        self->next_suspect_us = kind == CK_SUSPECT_SILENT
                                    ? rig->now_us + HISTORY_SUSPECT_US
                                    : rig->now_us;
    }
    if (rig->now_us < self->next_suspect_us) {
        return;
    }
    self->next_suspect_us = rig->now_us + HISTORY_SUSPECT_INTERVAL_US;
    suspicion.since_ms =
        (u_quad_t)((rig->now_us - self->suspect_since_us) / HISTORY_MS);
    history_step_leaseholder(rig, entry, &event);
}

// Judges an acknowledged commit by what the platform has carried out.
static void
history_judge_commit(struct history_rig *rig, int entry)
{
    struct history_entry *self = &rig->entries[entry];
    const struct history_platform *platform = &rig->platform;

    rig->day->commits_count++;
    self->served_term = self->term;
    if (!self->is_superseded) {
        self->served_us = rig->now_us;
    }
    rig->acknowledged_us = rig->now_us;
    history_note_acknowledged(rig, self->primary);
    if (platform->primary != self->primary) {
        history_fail(rig, HISTORY_FAULT_FORMER_PRIMARY,
                     "%s acknowledges at u%d, term %" PRIu64
                     "; the promotion of u%d took effect at %.3f",
                     self->vm, self->primary, self->term, platform->primary,
                     (double)(platform->promoted_us - HISTORY_START_US) / 1e6);
    }
    int *primary = &rig->primaries[self->term % HISTORY_MAX_TERMS];
    if (*primary != 0 && *primary != self->primary + 1) {
        history_fail(rig, HISTORY_FAULT_SHARED_TERM,
                     "%s acknowledges at u%d, term %" PRIu64
                     ", in which u%d did",
                     self->vm, self->primary, self->term, *primary - 1);
    }
    *primary = self->primary + 1;
}

static void
history_try_commit(struct history_rig *rig, int entry)
{
    struct history_entry *self = &rig->entries[entry];

    switch (history_upstream_commit(rig, self->primary, entry)) {
    case OUTCOME_OK:
        self->suspect_since_us = 0;
        history_judge_commit(rig, entry);
        break;
    case OUTCOME_NOT_RUN:
        history_suspect(rig, entry, CK_SUSPECT_REFUSED);
        break;
    default:
        history_suspect(rig, entry, CK_SUSPECT_SILENT);
        break;
    }
}

static void
history_run_entry(struct history_rig *rig, int entry)
{
    struct history_entry *self = &rig->entries[entry];
    struct leaseholder_event tick = {.kind = LEASEHOLDER_EVENT_TICK};

    history_step_leaseholder(rig, entry, &tick);
    history_report_demand(rig, entry);
    if (self->is_superseded && self->term >= self->min_term &&
        rig->now_us >= self->drained_us) {
        history_end_term(rig, entry, self->term);
    }
    if (self->primary != HISTORY_NONE && self->term >= self->min_term &&
        rig->now_us < self->lease_until_us) {
        history_try_commit(rig, entry);
    }
}

void
history_entries_run(struct history_rig *rig)
{
    for (int i = 0; i < rig->entries_count && !rig->is_over; i++) {
        history_run_entry(rig, i);
    }
}
