#include "test/rig/change_rig.h"

#include <check.h>
#include <stdio.h>
#include <string.h>

#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"
#include "test/fake/changes.h"

#define RENEW_US INT64_C(1000000)
// Time from the begin of a term to its first write.
#define FIRST_WRITE_US INT64_C(200000)

const char *const change_rig_databases[CHANGE_RIG_DATABASES] = {"roster1",
                                                                "roster2"};

const struct change_rig_series change_rig_series[CHANGE_RIG_SERIES_COUNT] = {
    {CHANGE_RIG_SERIES_STOP, CHANGE_RIG_ENTRIES, INT64_C(300000), true},
    {CHANGE_RIG_SERIES_FREEZE, CHANGE_RIG_ENTRIES, INT64_C(2000000), false},
    {CHANGE_RIG_SERIES_CUT, CHANGE_RIG_ENTRIES, INT64_C(4000000), false},
    {CHANGE_RIG_SERIES_KILL, 8, INT64_C(100000), true},
};

const struct ck_database *
change_rig_get_database(const struct change_rig *rig, size_t index)
{
    return group_find_database(rig->group, change_rig_databases[index]);
}

static struct ck_daemon
change_rig_make_daemon(const struct change_rig_entry *entry)
{
    return changes_make_daemon(entry->vm, "10.3.0.1", entry->incarnation);
}

static bool
change_rig_is_silent(const struct change_rig *rig,
                     const struct change_rig_entry *entry)
{
    return entry->silent_until_us > rig->now_us;
}

static void
change_rig_apply_proposal(struct change_rig *rig,
                          const struct coordinator_action *action)
{
    struct ck_log_payload payload;
    struct group_result result;
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_APPLIED};

    memset(&payload, 0, sizeof(payload));
    ck_assert_int_eq(codec_decode((xdrproc_t)xdr_ck_log_payload,
                                  action->payload.data,
                                  action->payload.size_bytes, &payload),
                     OUTCOME_OK);
    group_apply_payload(rig->group, group_get_applied_index(rig->group) + 1,
                        &payload, &result);
    event.token = action->token;
    event.applied.change = &payload.change;
    event.applied.result = &result;
    change_rig_step(rig, &event);
    codec_free((xdrproc_t)xdr_ck_log_payload, &payload);
}

static struct change_rig_entry *
change_rig_find_entry(struct change_rig *rig, const char *vm)
{
    for (size_t i = 0; i < CHANGE_RIG_ENTRIES; i++) {
        if (strcmp(rig->entries[i].vm, vm) == 0) {
            return &rig->entries[i];
        }
    }
    ck_abort_msg("no entry %s", vm);
    return NULL;
}

static struct change_rig_upstream *
change_rig_find_upstream(struct change_rig *rig, const char *name)
{
    for (size_t i = 0; i < CHANGE_RIG_UPSTREAMS; i++) {
        if (strcmp(rig->upstreams[i].name, name) == 0) {
            return &rig->upstreams[i];
        }
    }
    ck_abort_msg("no upstream %s", name);
    return NULL;
}

// The entry runs writes in the first database until it knows that the term
// ends.
static void
change_rig_handle_renewed(struct change_rig *rig,
                          const struct ck_renew_result *result)
{
    struct change_rig_entry *entry = rig->renewing;

    entry->revision = result->delta.to_revision;
    for (size_t i = 0; i < CHANGE_RIG_DATABASES; i++) {
        const struct ck_database *database = change_rig_get_database(rig, i);
        bool runs = i == 0 && (entry->is_stuck || !database->superseding);
        if (runs && result->lease_us > 0) {
            ck_assert_uint_lt(rig->promoted_term, database->term);
            entry->covers_us = rig->now_us + (int64_t)result->lease_us;
        }
        else if (!runs && database->superseding) {
            entry->confirmed[i] = database->term;
        }
    }
}

void
change_rig_check_no_lease_covers_term(const struct change_rig *rig)
{
    for (size_t i = 0; i < CHANGE_RIG_ENTRIES; i++) {
        ck_assert_int_le(rig->entries[i].covers_us, rig->now_us);
    }
}

static void
change_rig_handle_promote(struct change_rig *rig, const char *name)
{
    struct change_rig_upstream *upstream = change_rig_find_upstream(rig, name);

    if (upstream->database == 0) {
        change_rig_check_no_lease_covers_term(rig);
        rig->promoted_term = change_rig_get_database(rig, 0)->term;
    }
    upstream->promoted_us = rig->now_us + CHANGE_RIG_PROMOTION_US;
}

static void
change_rig_run_action(struct change_rig *rig,
                      const struct coordinator_action *action)
{
    switch (action->kind) {
    case COORDINATOR_ACTION_PROPOSE:
        change_rig_apply_proposal(rig, action);
        break;
    case COORDINATOR_ACTION_REPLY_RENEW:
        change_rig_handle_renewed(rig, action->renew);
        break;
    case COORDINATOR_ACTION_NOTIFY:
        change_rig_find_entry(rig, action->notify.daemon->vm)->notified_us =
            rig->now_us;
        break;
    case COORDINATOR_ACTION_PROBE:
        change_rig_find_upstream(rig, action->upstream.upstream->name)
            ->is_probed = true;
        break;
    case COORDINATOR_ACTION_PROMOTE:
        change_rig_handle_promote(rig, action->upstream.upstream->name);
        break;
    case COORDINATOR_ACTION_FENCE:
        change_rig_find_upstream(rig, action->upstream.upstream->name)
            ->is_fencing = true;
        break;
    case COORDINATOR_ACTION_REPLY_COMMAND:
        rig->command_outcome = action->reply.outcome;
        break;
    default:
        break;
    }
}

void
change_rig_step(struct change_rig *rig, struct coordinator_event *event)
{
    struct coordinator_actions actions = {0};

    event->quorum = true;
    coordinator_step(rig->coordinator, rig->now_us, event, &actions);
    for (size_t i = 0; i < actions.count; i++) {
        change_rig_run_action(rig, &actions.items[i]);
    }
    coordinator_actions_free(&actions);
}

static void
change_rig_send_call(struct change_rig *rig, struct change_rig_entry *entry,
                     bool returned)
{
    struct ck_revocation confirmed[CHANGE_RIG_DATABASES];
    struct ck_renew_args args = {.sequence = ++entry->sequence,
                                 .known_revision = entry->revision,
                                 .returned = returned};
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_RENEW};

    args.group = (char *)(uintptr_t)GROUP_FLEET_NAME;
    args.daemon = change_rig_make_daemon(entry);
    for (size_t i = 0; i < CHANGE_RIG_DATABASES; i++) {
        confirmed[i].database = (char *)(uintptr_t)change_rig_databases[i];
        confirmed[i].term = entry->confirmed[i];
    }
    args.confirmed.confirmed_val = confirmed;
    args.confirmed.confirmed_len = CHANGE_RIG_DATABASES;
    if (returned ||
        entry->confirmed[0] == change_rig_get_database(rig, 0)->term) {
        entry->covers_us = 0;
    }
    event.renew = &args;
    rig->renewing = entry;
    change_rig_step(rig, &event);
    entry->next_renew_us = rig->now_us + entry->renew_us;
}

static void
change_rig_send_renewal(struct change_rig *rig, struct change_rig_entry *entry)
{
    change_rig_send_call(rig, entry, false);
}

static void
change_rig_answer_notification(struct change_rig *rig,
                               struct change_rig_entry *entry)
{
    struct ck_notify_result result = {.outcome = OUTCOME_OK};
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_NOTIFIED};

    event.notified.vm = entry->vm;
    event.notified.incarnation = entry->incarnation;
    if (change_rig_is_silent(rig, entry)) {
        if (rig->now_us - entry->notified_us < CHANGE_RIG_NOTIFY_TIMEOUT_US) {
            return;
        }
        event.kind = COORDINATOR_EVENT_NOTIFY_FAILED;
        entry->notified_us = 0;
        change_rig_step(rig, &event);
        return;
    }
    entry->notified_us = 0;
    change_rig_send_renewal(rig, entry);
    result.daemon = change_rig_make_daemon(entry);
    event.notified.result = &result;
    change_rig_step(rig, &event);
}

static void
change_rig_run_entry(struct change_rig *rig, struct change_rig_entry *entry)
{
    if (entry->restarts && !change_rig_is_silent(rig, entry)) {
        entry->restarts = false;
        entry->incarnation++;
        entry->sequence = 0;
        entry->revision = 0;
        memset(entry->confirmed, 0, sizeof(entry->confirmed));
        entry->next_renew_us = rig->now_us;
    }
    if (entry->notified_us != 0 && entry->notified_us < rig->now_us) {
        change_rig_answer_notification(rig, entry);
    }
    if (!change_rig_is_silent(rig, entry) &&
        entry->next_renew_us <= rig->now_us) {
        change_rig_send_renewal(rig, entry);
    }
}

void
change_rig_announce(struct change_rig *rig,
                    const struct change_rig_upstream *upstream)
{
    struct ck_upstream announced = changes_make_upstream(
        upstream->name, change_rig_databases[upstream->database], "noord",
        upstream->host);
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_ANNOUNCE};

    announced.state = upstream->state;
    event.announce = &announced;
    change_rig_step(rig, &event);
}

static void
change_rig_finish_fence(struct change_rig *rig,
                        struct change_rig_upstream *upstream)
{
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_FENCED};

    upstream->is_fencing = false;
    upstream->is_unfenced = false;
    event.done.upstream = upstream->name;
    event.done.outcome = OUTCOME_OK;
    change_rig_step(rig, &event);
}

static void
change_rig_run_upstream(struct change_rig *rig,
                        struct change_rig_upstream *upstream)
{
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_PROBED};
    bool is_promoted =
        upstream->promoted_us != 0 && upstream->promoted_us <= rig->now_us;

    event.probe.upstream = upstream->name;
    event.probe.is_primary =
        is_promoted || upstream->is_unfenced ||
        strcmp(change_rig_get_database(rig, upstream->database)->primary,
               upstream->name) == 0;
    event.probe.is_busy = upstream->is_busy;
    event.probe.position.timeline = upstream->is_busy ? 0 : 1;
    event.probe.position.lsn = upstream->is_busy ? 0 : upstream->lsn;
    if (upstream->is_gone) {
        return;
    }
    if (upstream->is_probed) {
        upstream->is_probed = false;
        change_rig_step(rig, &event);
    }
    if (upstream->is_fencing && upstream->fence_us <= rig->now_us) {
        change_rig_finish_fence(rig, upstream);
    }
    if (is_promoted) {
        upstream->promoted_us = 0;
        upstream->lsn += rig->is_replicated ? 1 : 0;
        event.probe.position.lsn = upstream->lsn;
        event.kind = COORDINATOR_EVENT_PROMOTED;
        change_rig_step(rig, &event);
    }
    if (rig->now_us % CHANGE_RIG_ANNOUNCE_US == 0) {
        change_rig_announce(rig, upstream);
    }
}

// Silences the next entry of the series. One that stops returns its lease. A
// process that has ended acknowledges nothing any more.
static void
change_rig_run_series(struct change_rig *rig,
                      const struct change_rig_series *plan)
{
    struct change_rig_entry *victim =
        &rig->entries[rig->next_victim % plan->entries];

    if (plan->kind == CHANGE_RIG_SERIES_STOP) {
        change_rig_send_call(rig, victim, true);
    }
    victim->silent_until_us = rig->now_us + plan->silent_us;
    if (plan->is_restart) {
        victim->restarts = true;
        victim->covers_us = 0;
    }
    rig->next_victim++;
}

// Measures the time without a term of the first database, and brings its
// upstreams to the position of the primary with the first write of a term.
static void
change_rig_run_term(struct change_rig *rig)
{
    const struct ck_database *database = change_rig_get_database(rig, 0);

    if (database->superseding) {
        rig->serves_since_us = 0;
        rig->gap_since_us =
            rig->gap_since_us == 0 ? rig->now_us : rig->gap_since_us;
        return;
    }
    if (rig->serves_since_us == 0) {
        int64_t gap_us =
            rig->gap_since_us == 0 ? 0 : rig->now_us - rig->gap_since_us;
        rig->longest_gap_us =
            gap_us > rig->longest_gap_us ? gap_us : rig->longest_gap_us;
        rig->gap_since_us = 0;
        rig->serves_since_us = rig->now_us;
    }
    if (!rig->is_replicated ||
        rig->now_us - rig->serves_since_us < FIRST_WRITE_US) {
        return;
    }
    for (size_t i = 0; i < CHANGE_RIG_UPSTREAMS_EACH; i++) {
        rig->upstreams[i].lsn =
            change_rig_find_upstream(rig, database->primary)->lsn;
    }
}

void
change_rig_advance(struct change_rig *rig,
                   const struct change_rig_series *plan)
{
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_TICK};

    rig->now_us += CHANGE_RIG_STEP_US;
    change_rig_step(rig, &event);
    if (plan != NULL && rig->now_us % CHANGE_RIG_SERIES_GAP_US == 0) {
        change_rig_run_series(rig, plan);
    }
    for (size_t i = 0; i < CHANGE_RIG_ENTRIES; i++) {
        change_rig_run_entry(rig, &rig->entries[i]);
    }
    for (size_t i = 0; i < CHANGE_RIG_UPSTREAMS; i++) {
        change_rig_run_upstream(rig, &rig->upstreams[i]);
    }
    change_rig_run_term(rig);
}

static void
change_rig_add_entry(struct change_rig *rig, size_t index)
{
    struct ck_change change = {.kind = CK_CHANGE_DAEMON};
    struct change_rig_entry *entry = &rig->entries[index];

    (void)snprintf(entry->vm, sizeof(entry->vm), "e%zu", index);
    entry->incarnation = 1;
    entry->renew_us = RENEW_US;
    entry->next_renew_us =
        CHANGE_RIG_START_US + (int64_t)index * RENEW_US / CHANGE_RIG_ENTRIES;
    change.ck_change_u.daemon = change_rig_make_daemon(entry);
    ck_assert_int_eq(changes_apply(rig->group, 0, &change, "", -1, NULL),
                     OUTCOME_OK);
}

static void
change_rig_add_upstream(struct change_rig *rig, size_t index)
{
    struct change_rig_upstream *upstream = &rig->upstreams[index];

    (void)snprintf(upstream->name, sizeof(upstream->name), "u%zu", index);
    (void)snprintf(upstream->host, sizeof(upstream->host), "10.0.0.%zu",
                   index + 1);
    upstream->database = index / CHANGE_RIG_UPSTREAMS_EACH;
    upstream->lsn = 50;
    upstream->state = CK_UPSTREAM_READY;
    struct ck_upstream announced = changes_make_upstream(
        upstream->name, change_rig_databases[upstream->database], "noord",
        upstream->host);
    changes_apply_upstream(rig->group, &announced);
}

static void
change_rig_set_first_primary(struct change_rig *rig, size_t database)
{
    struct ck_change change = {.kind = CK_CHANGE_PRIMARY};

    change.ck_change_u.primary.database =
        (char *)(uintptr_t)change_rig_databases[database];
    change.ck_change_u.primary.term = 1;
    change.ck_change_u.primary.primary =
        rig->upstreams[database * CHANGE_RIG_UPSTREAMS_EACH].name;
    ck_assert_int_eq(changes_apply(rig->group, 0, &change, "", -1, NULL),
                     OUTCOME_OK);
}

void
change_rig_start(struct change_rig *rig)
{
    struct coordinator_params params;
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_ELECTED,
                                      .leader_term = 4};

    memset(rig, 0, sizeof(*rig));
    coordinator_params_init(&params);
    params.lease_us = CHANGE_RIG_LEASE_US;
    params.drift_ppm = 10000;
    params.switchover_us = CHANGE_RIG_SERVES_US;
    params.lost_retention_us = CHANGE_RIG_LEASE_US;
    rig->now_us = CHANGE_RIG_START_US;
    rig->group = group_create(GROUP_FLEET_NAME);
    changes_set_customer(rig->group,
                         "[{\"name\": \"roster1\"}, {\"name\": \"roster2\"}]",
                         "wait");
    rig->coordinator = coordinator_create(&params, rig->group);
    for (size_t i = 0; i < CHANGE_RIG_ENTRIES; i++) {
        change_rig_add_entry(rig, i);
    }
    for (size_t i = 0; i < CHANGE_RIG_UPSTREAMS; i++) {
        change_rig_add_upstream(rig, i);
    }
    for (size_t i = 0; i < CHANGE_RIG_DATABASES; i++) {
        change_rig_set_first_primary(rig, i);
    }
    change_rig_step(rig, &event);
}

void
change_rig_finish(struct change_rig *rig)
{
    coordinator_destroy(rig->coordinator);
    group_destroy(rig->group);
}

void
change_rig_withdraw(struct change_rig *rig, const char *name)
{
    struct change_rig_upstream *upstream = change_rig_find_upstream(rig, name);

    ck_assert_str_eq(change_rig_get_database(rig, upstream->database)->primary,
                     name);
    upstream->state = CK_UPSTREAM_LEAVING;
    change_rig_announce(rig, upstream);
}

int64_t
change_rig_replace_primary(struct change_rig *rig, const char *leaving,
                           const struct change_rig_series *plan)
{
    int64_t begin_us = rig->now_us;

    change_rig_withdraw(rig, leaving);
    while (strcmp(change_rig_get_database(rig, 0)->primary, leaving) == 0 &&
           rig->now_us - begin_us < 4 * CHANGE_RIG_SERVES_US) {
        change_rig_advance(rig, plan);
    }
    return rig->now_us - begin_us;
}

void
change_rig_run_until(struct change_rig *rig, int64_t until_us,
                     const struct change_rig_series *plan)
{
    while (rig->now_us < until_us) {
        change_rig_advance(rig, plan);
    }
}

int64_t
change_rig_run_until_term(struct change_rig *rig, uint64_t term,
                          int64_t begin_us,
                          const struct change_rig_series *plan)
{
    while (change_rig_get_database(rig, 0)->term < term &&
           rig->now_us - begin_us < 4 * CHANGE_RIG_SERVES_US) {
        change_rig_advance(rig, plan);
    }
    return rig->now_us - begin_us;
}

struct change_rig_upstream *
change_rig_run_until_promoting(struct change_rig *rig,
                               const struct change_rig_series *plan)
{
    for (;;) {
        change_rig_advance(rig, plan);
        for (size_t i = 0; i < CHANGE_RIG_UPSTREAMS_EACH; i++) {
            if (rig->upstreams[i].promoted_us != 0) {
                return &rig->upstreams[i];
            }
        }
    }
}

void
change_rig_elect_next_leader(struct change_rig *rig)
{
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_DEPOSED};

    change_rig_step(rig, &event);
    for (size_t i = 0; i < CHANGE_RIG_ENTRIES; i++) {
        rig->entries[i].notified_us = 0;
    }
    event.kind = COORDINATOR_EVENT_ELECTED;
    event.leader_term = 5;
    change_rig_step(rig, &event);
}

void
change_rig_elect_restarted_leader(struct change_rig *rig)
{
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_DEPOSED};

    change_rig_step(rig, &event);
    coordinator_set_group(rig->coordinator, rig->group);
    change_rig_elect_next_leader(rig);
}

int64_t
change_rig_run_until_primary(struct change_rig *rig, const char *name,
                             int64_t begin_us)
{
    while (strcmp(change_rig_get_database(rig, 0)->primary, name) != 0 &&
           rig->now_us - begin_us < 4 * CHANGE_RIG_SERVES_US) {
        change_rig_advance(rig, NULL);
    }
    return rig->now_us - begin_us;
}

void
change_rig_run_until_superseding(struct change_rig *rig)
{
    while (!change_rig_get_database(rig, 0)->superseding) {
        change_rig_advance(rig, NULL);
    }
}

void
change_rig_order_switchover(struct change_rig *rig, const char *target)
{
    struct ck_command_args args = {.kind = CK_COMMAND_SWITCHOVER};
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_COMMAND,
                                      .token = 7};

    args.database = (char *)(uintptr_t)change_rig_databases[0];
    args.target = (char *)(uintptr_t)target;
    event.command = &args;
    change_rig_step(rig, &event);
}

int64_t
change_rig_play_lagging_replicas(struct change_rig *rig)
{
    rig->entries[3].is_stuck = true;
    rig->upstreams[1].lsn = 40;
    rig->upstreams[2].lsn = 40;
    int64_t begin_us = rig->now_us;
    change_rig_withdraw(rig, "u0");
    return change_rig_run_until_term(rig, 2, begin_us, NULL);
}

void
change_rig_check_serves_no_longer(struct change_rig *rig, const char *name,
                                  int64_t leaving_us)
{
    change_rig_run_until(rig, leaving_us + CHANGE_RIG_SERVES_US, NULL);
    while (rig->now_us < leaving_us + 3 * CHANGE_RIG_SERVES_US) {
        const struct ck_database *database = change_rig_get_database(rig, 0);
        if (strcmp(database->primary, name) == 0) {
            ck_assert(database->superseding);
            change_rig_check_no_lease_covers_term(rig);
        }
        change_rig_advance(rig, NULL);
    }
}
