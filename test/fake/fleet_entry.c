// Entries of the simulated fleet: each runs the real leaseholder and sends one
// save at a time to the primary while its lease permits.

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"
#include "test/fake/changes.h"
#include "test/fake/fleet_private.h"

#define FLEET_SAVE_INTERVAL_US     10000 // between two saves of an entry
#define FLEET_SUSPECT_AFTER_US     500000
#define FLEET_SUSPECT_INTERVAL_US  200000
#define FLEET_SAVE_TIMEOUT_US      1000000
#define FLEET_RENEW_INTERVAL_US    300000
#define FLEET_RENEW_TIMEOUT_US     250000
#define FLEET_RENEW_RETRY_DELAY_US 20000
#define FLEET_SLOTS                5 // of changes_make_upstream
#define FLEET_CONNECTIONS          30
#define FLEET_ENTRY_DRIFT_PPM      20000

static int64_t
fleet_get_entry_now_us(const struct fleet *fleet, int entry)
{
    return network_get_node_now_us(fleet->network,
                                   fleet_entry_node(fleet, entry));
}

static void fleet_step_leaseholder(struct fleet *fleet, int entry,
                                   const struct leaseholder_event *event);

// Confirms to the coordinator, through the leaseholder, that this entry has
// stopped using a term, and revokes the term locally.
static void
fleet_confirm_revoked(struct fleet *fleet, int entry, uint64_t term)
{
    struct fleet_entry *self = &fleet->entries[entry];
    struct leaseholder_event event = {.kind =
                                          LEASEHOLDER_EVENT_CONFIRM_REVOKED};

    if (term >= self->min_term) {
        self->min_term = term + 1;
    }
    event.revocation.database = (char *)(uintptr_t)FLEET_DATABASE;
    event.revocation.term = term;
    fleet_step_leaseholder(fleet, entry, &event);
}

// Applies a view delta to the entry's view of the database. Checks that the
// delta starts at the entry's revision or before, and that neither the
// revision nor the term decreases.
static void
fleet_apply_delta(struct fleet *fleet, int entry,
                  const struct ck_view_delta *delta)
{
    struct fleet_entry *self = &fleet->entries[entry];

    if (delta->to_revision < self->revision ||
        delta->from_revision > self->revision) {
        fleet_record_violation(
            fleet, "revision of entry %d went from %lu to %lu", entry,
            (unsigned long)self->revision, (unsigned long)delta->to_revision);
    }
    self->revision = delta->to_revision;
    for (u_int i = 0; i < delta->databases.databases_len; i++) {
        const struct ck_database *database =
            &delta->databases.databases_val[i];
        if (database->term < self->term) {
            fleet_record_violation(fleet, "term of entry %d decreased", entry);
        }
        self->term = database->term;
        self->primary =
            database->primary[0] == '\0' ? -1 : atoi(database->primary + 1);
        self->superseding = database->superseding;
    }
}

static void
fleet_send_renew(struct fleet *fleet, int entry,
                 const struct leaseholder_action *action)
{
    struct fleet_message *message = fleet_create_message(FLEET_RENEW);
    int voter = atoi(strrchr(action->send.address.host, '.') + 1) - 1;

    (void)codec_encode((xdrproc_t)xdr_ck_renew_args, action->send.args,
                       &message->bytes);
    (void)fleet_start_call(
        fleet, fleet_entry_node(fleet, entry), fleet_voter_node(voter),
        message, action->send.timeout_us, "",
        fleet->entries[entry].incarnation, action->send.args->sequence);
}

// Returns whether an entry has only the guaranteed part of its quotas although
// it has not handled the end of its lease, because it is frozen.
static bool
fleet_is_frozen_without_lease(const struct fleet *fleet, int entry)
{
    return network_is_node_frozen(fleet->network,
                                  fleet_entry_node(fleet, entry)) &&
           fleet->entries[entry].lease_until_us <=
               fleet_get_entry_now_us(fleet, entry);
}

// Sets the quotas of an entry that have changed and checks that the quotas of
// all entries together stay within the limits of each upstream.
static void
fleet_set_quotas(struct fleet *fleet, int entry, const struct ck_quota *quotas,
                 size_t count)
{
    struct fleet_entry *self = &fleet->entries[entry];

    for (size_t i = 0; i < count; i++) {
        self->quotas[atoi(quotas[i].upstream + 1)] = quotas[i];
    }
    for (int upstream = 0; upstream < fleet->params.upstreams; upstream++) {
        unsigned slots = 0;
        unsigned connections = 0;
        for (int i = 0; i < fleet->params.entries; i++) {
            const struct ck_quota *quota = &fleet->entries[i].quotas[upstream];
            bool reduced = fleet_is_frozen_without_lease(fleet, i);
            slots += reduced ? quota->guaranteed_slots : quota->slots;
            connections +=
                reduced ? quota->guaranteed_connections : quota->connections;
        }
        if (slots > FLEET_SLOTS || connections > FLEET_CONNECTIONS) {
            fleet_record_violation(
                fleet, "u%d: %u slots and %u connections are allocated",
                upstream, slots, connections);
        }
    }
}

static void
fleet_run_leaseholder_action(struct fleet *fleet, int entry,
                             const struct leaseholder_action *action)
{
    struct fleet_entry *self = &fleet->entries[entry];

    switch (action->kind) {
    case LEASEHOLDER_ACTION_SEND_RENEW:
        fleet_send_renew(fleet, entry, action);
        break;
    case LEASEHOLDER_ACTION_APPLY_DELTA:
        fleet_apply_delta(fleet, entry, action->delta);
        break;
    case LEASEHOLDER_ACTION_SET_LEASE:
        self->lease_until_us = action->valid_until_us;
        break;
    case LEASEHOLDER_ACTION_SET_QUOTAS:
        fleet_set_quotas(fleet, entry, action->quotas.items,
                         action->quotas.count);
        break;
    case LEASEHOLDER_ACTION_SET_RELAYS:
    case LEASEHOLDER_ACTION_RETURNED:
        break; // every entry here has connections, uses no relay, stays
    case LEASEHOLDER_ACTION_REVOKE:
        if (action->revoke.term >= self->min_term) {
            self->min_term = action->revoke.term + 1;
        }
        break;
    case LEASEHOLDER_ACTION_WAKE:
        network_set_timer(fleet->network, fleet_entry_node(fleet, entry),
                          FLEET_TIMER_LEASE, action->wake_at_us);
        break;
    default:
        break;
    }
}

// Passes an event to the leaseholder and runs the resulting actions. Then
// confirms a revocation that the actions contained. While the coordinator
// supersedes the current term, an entry without a save in flight also confirms
// that term's revocation, as it has nothing left to finish.
static void
fleet_step_leaseholder(struct fleet *fleet, int entry,
                       const struct leaseholder_event *event)
{
    struct fleet_entry *self = &fleet->entries[entry];
    struct leaseholder_actions actions = {0};
    uint64_t min_term = self->min_term;

    leaseholder_step(self->leaseholder, fleet_get_entry_now_us(fleet, entry),
                     event, &actions);
    for (size_t i = 0; i < actions.count; i++) {
        fleet_run_leaseholder_action(fleet, entry, &actions.items[i]);
    }
    leaseholder_actions_free(&actions);
    bool drained = self->superseding && !self->saving &&
                   self->term >= self->min_term && self->term > 0;
    if (self->min_term > min_term) {
        fleet_confirm_revoked(fleet, entry, self->min_term - 1);
    }
    else if (drained) {
        fleet_confirm_revoked(fleet, entry, self->term);
    }
}

// Starts an entry without state and with a new incarnation.
void
fleet_entry_start(struct fleet *fleet, int entry)
{
    struct fleet_entry *self = &fleet->entries[entry];
    struct leaseholder_address voters[FLEET_MAX_VOTERS];
    struct leaseholder_event tick = {.kind = LEASEHOLDER_EVENT_TICK};
    char vm[16];
    char host[32];

    for (int i = 0; i < fleet->params.voters; i++) {
        (void)snprintf(voters[i].host, sizeof(voters[i].host), "10.1.0.%d",
                       i + 1);
        voters[i].port = 7432;
    }
    (void)snprintf(vm, sizeof(vm), "e%d", entry);
    (void)snprintf(host, sizeof(host), "10.3.0.%d", entry + 1);
    memset(self, 0, sizeof(*self));
    self->primary = -1;
    self->incarnation = network_get_random(fleet->network);
    struct leaseholder_params params = {
        .group = GROUP_FLEET_NAME,
        .daemon = changes_make_daemon(vm, host, self->incarnation),
        .voters = voters,
        .voters_count = (size_t)fleet->params.voters,
        .renew_us = FLEET_RENEW_INTERVAL_US,
        .call_timeout_us = FLEET_RENEW_TIMEOUT_US,
        .retry_us = FLEET_RENEW_RETRY_DELAY_US,
        .drift_ppm = FLEET_ENTRY_DRIFT_PPM,
        .seed = fleet->params.seed + (uint64_t)entry,
    };
    self->leaseholder = leaseholder_create(&params);
    fleet_step_leaseholder(fleet, entry, &tick);
    network_set_timer(
        fleet->network, fleet_entry_node(fleet, entry), FLEET_TIMER_SAVE,
        fleet_get_entry_now_us(fleet, entry) + FLEET_SAVE_INTERVAL_US);
}

// Reports to the coordinator that the primary seems to be lost.
static void
fleet_report_suspicion(struct fleet *fleet, int entry, ck_suspicion_kind kind)
{
    struct fleet_entry *self = &fleet->entries[entry];
    int64_t now_us = fleet_get_entry_now_us(fleet, entry);
    char upstream[16];
    struct ck_suspicion suspicion = {.kind = kind, .term = self->term};
    struct leaseholder_event event = {.kind = LEASEHOLDER_EVENT_SUSPECT};

    if (self->suspect_since_us == 0) {
        self->suspect_since_us = now_us;
    }
    (void)snprintf(upstream, sizeof(upstream), "u%d", self->primary);
    suspicion.database = (char *)(uintptr_t)FLEET_DATABASE;
    suspicion.upstream = upstream;
    suspicion.since_ms = (u_quad_t)(now_us - self->suspect_since_us) / 1000;
    event.suspicion = &suspicion;
    fleet_step_leaseholder(fleet, entry, &event);
}

static void
fleet_send_save(struct fleet *fleet, int entry)
{
    struct fleet_entry *self = &fleet->entries[entry];
    struct fleet_message *message = fleet_create_message(FLEET_SAVE);
    int64_t now_us = fleet_get_entry_now_us(fleet, entry);

    self->saving = true;
    self->save_id = ++fleet->next_save;
    self->save_term = self->term;
    self->save_sent_us = now_us;
    message->number = self->save_id;
    self->save_call = fleet_start_call(
        fleet, fleet_entry_node(fleet, entry),
        fleet_upstream_node(fleet, self->primary), message,
        FLEET_SAVE_TIMEOUT_US, "", self->incarnation, self->save_id);
}

// Sends a save if none is in flight and the entry may use the primary. Reports
// the primary as silent every FLEET_SUSPECT_INTERVAL_US once a save has waited
// for FLEET_SUSPECT_AFTER_US.
static void
fleet_try_save(struct fleet *fleet, int entry)
{
    struct fleet_entry *self = &fleet->entries[entry];
    int64_t now_us = fleet_get_entry_now_us(fleet, entry);
    bool may_save = self->primary >= 0 && !self->superseding &&
                    self->term >= self->min_term &&
                    self->lease_until_us > now_us;

    if (self->saving) {
        int64_t waited_us = now_us - self->save_sent_us;
        if (waited_us >= FLEET_SUSPECT_AFTER_US &&
            self->save_term == self->term &&
            waited_us % FLEET_SUSPECT_INTERVAL_US < FLEET_SAVE_INTERVAL_US) {
            fleet_report_suspicion(fleet, entry, CK_SUSPECT_SILENT);
        }
        // A save in flight of an old term does not delay the next save.
        self->saving = self->save_term == self->term;
    }
    if (!self->saving && may_save &&
        fleet->acknowledged_count < FLEET_MAX_SAVES) {
        fleet_send_save(fleet, entry);
    }
}

// Reports a random demand for each upstream, so that the coordinator moves
// quotas between entries.
static void
fleet_report_demand(struct fleet *fleet, int entry)
{
    char name[16];
    struct ck_demand demand = {.upstream = name};
    struct leaseholder_event event = {.kind = LEASEHOLDER_EVENT_DEMAND};

    for (int i = 0; i < fleet->params.upstreams; i++) {
        uint64_t random = network_get_random(fleet->network);
        (void)snprintf(name, sizeof(name), "u%d", i);
        demand.waiting = (u_int)(random % 4);
        demand.running = (u_int)(random / 4 % 4);
        demand.connections = (u_int)(random / 16 % 20);
        event.demand = &demand;
        fleet_step_leaseholder(fleet, entry, &event);
    }
}

// Handles an expired timer of an entry.
void
fleet_entry_timer(struct fleet *fleet, int entry, uint64_t tag)
{
    struct leaseholder_event tick = {.kind = LEASEHOLDER_EVENT_TICK};

    if (tag == FLEET_TIMER_LEASE) {
        fleet_step_leaseholder(fleet, entry, &tick);
        return;
    }
    if (network_get_random(fleet->network) % 16 == 0) {
        fleet_report_demand(fleet, entry);
    }
    fleet_try_save(fleet, entry);
    network_set_timer(
        fleet->network, fleet_entry_node(fleet, entry), FLEET_TIMER_SAVE,
        fleet_get_entry_now_us(fleet, entry) + FLEET_SAVE_INTERVAL_US);
}

// Handles a notification from the coordinator and replies after the resulting
// actions have run. Ignores other requests.
void
fleet_entry_receive(struct fleet *fleet, int entry, int from,
                    const struct fleet_message *message)
{
    struct ck_notify_args args;
    struct ck_notify_result result;
    struct leaseholder_event event = {.kind = LEASEHOLDER_EVENT_NOTIFIED};

    if (message->kind != FLEET_NOTIFY) {
        return;
    }
    memset(&args, 0, sizeof(args));
    (void)codec_decode((xdrproc_t)xdr_ck_notify_args, message->bytes.data,
                       buffer_get_size(&message->bytes), &args);
    struct leaseholder_address leader = {.port = 7432};
    (void)snprintf(leader.host, sizeof(leader.host), "10.1.0.%d", from + 1);
    event.from = &leader;
    event.notified = &args;
    fleet_step_leaseholder(fleet, entry, &event);
    struct fleet_message *reply = fleet_create_reply(message);
    leaseholder_fill_notify_result(fleet->entries[entry].leaseholder, &result);
    (void)codec_encode((xdrproc_t)xdr_ck_notify_result, &result,
                       &reply->bytes);
    fleet_send_message(fleet, fleet_entry_node(fleet, entry), from, reply);
    codec_free((xdrproc_t)xdr_ck_notify_args, &args);
}

static void
fleet_handle_renew_result(struct fleet *fleet, int entry,
                          const struct fleet_call *call,
                          const struct fleet_message *reply)
{
    struct ck_renew_result result;
    struct leaseholder_event event = {.kind = LEASEHOLDER_EVENT_RENEW_FAILED};

    memset(&result, 0, sizeof(result));
    event.sequence = call->sequence;
    if (reply != NULL) {
        (void)codec_decode((xdrproc_t)xdr_ck_renew_result, reply->bytes.data,
                           buffer_get_size(&reply->bytes), &result);
        event.kind = LEASEHOLDER_EVENT_RENEWED;
        event.renewed = &result;
    }
    fleet_step_leaseholder(fleet, entry, &event);
    codec_free((xdrproc_t)xdr_ck_renew_result, &result);
}

// Handles the primary's success reply to a save. If the lease still covers the
// save's term, the save is acknowledged to the client, and it is checked that
// no upstream has been promoted for a later term. Otherwise the save's outcome
// is unknown.
static void
fleet_handle_save_result(struct fleet *fleet, int entry, uint64_t save,
                         uint64_t term)
{
    struct fleet_entry *self = &fleet->entries[entry];
    bool covered =
        self->lease_until_us > fleet_get_entry_now_us(fleet, entry) &&
        term >= self->min_term && term == self->term;

    if (!covered) {
        self->unknown++;
        return;
    }
    if (fleet->promoted_term > term) {
        fleet_record_violation(
            fleet,
            "entry %d acknowledged save %lu of term %lu after the "
            "promotion for term %lu",
            entry, (unsigned long)save, (unsigned long)term,
            (unsigned long)fleet->promoted_term);
    }
    struct fleet_acknowledged_save *row =
        &fleet->acknowledged[fleet->acknowledged_count++];
    row->save = save;
    row->term = term;
    row->entry = entry;
    row->at_us = network_get_now_us(fleet->network);
    self->acknowledged++;
    self->suspect_since_us = 0;
}

// Handles the completion of an entry's call; reply is NULL after a timeout.
void
fleet_entry_complete_call(struct fleet *fleet, int entry,
                          const struct fleet_call *call,
                          const struct fleet_message *reply)
{
    struct fleet_entry *self = &fleet->entries[entry];
    struct leaseholder_event tick = {.kind = LEASEHOLDER_EVENT_TICK};

    if (call->incarnation != self->incarnation) {
        return; // the entry has restarted since the call
    }
    if (call->kind == FLEET_RENEW) {
        fleet_handle_renew_result(fleet, entry, call, reply);
        return;
    }
    bool is_current = self->saving && self->save_call == call->id;
    bool done = reply != NULL && !reply->refused && reply->position.lsn > 0;
    if (is_current) {
        self->saving = false;
    }
    if (done && is_current) {
        fleet_handle_save_result(fleet, entry, call->sequence,
                                 self->save_term);
    }
    else if (reply == NULL || !is_current) {
        self->unknown++;
    }
    if (reply != NULL && reply->refused && is_current) {
        fleet_report_suspicion(fleet, entry, CK_SUSPECT_REFUSED);
    }
    fleet_step_leaseholder(fleet, entry, &tick);
}
