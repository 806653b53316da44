// Unit tests of the bound of a planned change of primary: entries stop,
// freeze, are cut off, or are killed one after another while it runs.

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/coordinator/coordinator.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"
#include "test/fake/changes.h"
#include "test/suite.h"

#define MS       INT64_C(1000)
#define START_US (1000 * MS)
#define STEP_US  (10 * MS)
#define LEASE_US (3000 * MS)
#define RENEW_US (1000 * MS)
// A leaving upstream serves for this time after its announcement.
#define SERVES_US         (7000 * MS)
#define PROMOTION_US      (500 * MS)
#define NOTIFY_TIMEOUT_US (300 * MS)
#define ANNOUNCE_US       (500 * MS)
#define SERIES_GAP_US     (250 * MS)
// Time from the begin of a term to its first write.
#define FIRST_WRITE_US (200 * MS)
#define SERIES_LEAD_US (2000 * MS)
#define ENTRIES        24
#define DATABASES      2
#define UPSTREAMS_EACH 3
#define UPSTREAMS      (DATABASES * UPSTREAMS_EACH)

enum series_kind {
    SERIES_STOP,
    SERIES_FREEZE,
    SERIES_CUT,
    SERIES_KILL,
};

// What the entries of a series do: how many take turns, how long one is
// silent, and whether it returns as a new incarnation.
struct series {
    enum series_kind kind;
    size_t entries;
    int64_t silent_us;
    bool is_restart;
};

static const struct series series[] = {
    {SERIES_STOP, ENTRIES, 300 * MS, true},
    {SERIES_FREEZE, ENTRIES, 2000 * MS, false},
    {SERIES_CUT, ENTRIES, 4000 * MS, false},
    {SERIES_KILL, 8, 100 * MS, true},
};

struct entry {
    char vm[8];
    uint64_t incarnation;
    uint64_t sequence;
    uint64_t revision;
    uint64_t confirmed[DATABASES]; // terms
    int64_t silent_until_us;
    int64_t next_renew_us;
    int64_t notified_us; // notification in flight since; 0: none
    int64_t covers_us;   // until then it may acknowledge writes of the term
    bool restarts;       // when its silence ends
    int64_t renew_us;
    bool is_stuck; // a write in the first database does not end
};

struct upstream {
    char name[8];
    size_t database;
    uint64_t lsn;
    char host[16];
    ck_upstream_state state;
    bool is_busy; // it answers probes without a position
    bool is_gone; // it neither announces itself nor answers
    bool is_probed;
    bool is_unfenced;    // claims to be a primary, although another one is
    bool is_fencing;     // a FENCE is in flight
    int64_t fence_us;    // no FENCE ends before
    int64_t promoted_us; // end of its promotion; 0: none
};

struct rig {
    struct group_state *group;
    struct coordinator *coordinator;
    int64_t now_us;
    struct entry entries[ENTRIES];
    struct upstream upstreams[UPSTREAMS];
    struct entry *renewing;
    uint64_t promoted_term; // term after which PROMOTE was ordered
    size_t next_victim;
    // A term of the first database begins at a position that its replicas
    // reach with its first write.
    bool is_replicated;
    int64_t serves_since_us; // the term of the first database; 0: not
    int64_t longest_gap_us;  // without a term of the first database
    int64_t gap_since_us;
    int command_outcome; // of the last reply to a command
};

static void step(struct rig *rig, struct coordinator_event *event);

static const char *const database_names[DATABASES] = {"roster1", "roster2"};

static const struct ck_database *
get_database(const struct rig *rig, size_t index)
{
    return group_find_database(rig->group, database_names[index]);
}

static struct ck_daemon
make_daemon(const struct entry *entry)
{
    return changes_make_daemon(entry->vm, "10.3.0.1", entry->incarnation);
}

static bool
is_silent(const struct rig *rig, const struct entry *entry)
{
    return entry->silent_until_us > rig->now_us;
}

static void
apply_proposal(struct rig *rig, const struct coordinator_action *action)
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
    step(rig, &event);
    codec_free((xdrproc_t)xdr_ck_log_payload, &payload);
}

static struct entry *
find_entry(struct rig *rig, const char *vm)
{
    for (size_t i = 0; i < ENTRIES; i++) {
        if (strcmp(rig->entries[i].vm, vm) == 0) {
            return &rig->entries[i];
        }
    }
    ck_abort_msg("no entry %s", vm);
    return NULL;
}

static struct upstream *
find_upstream(struct rig *rig, const char *name)
{
    for (size_t i = 0; i < UPSTREAMS; i++) {
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
handle_renewed(struct rig *rig, const struct ck_renew_result *result)
{
    struct entry *entry = rig->renewing;

    entry->revision = result->delta.to_revision;
    for (size_t i = 0; i < DATABASES; i++) {
        const struct ck_database *database = get_database(rig, i);
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

static void
check_no_lease_covers_term(const struct rig *rig)
{
    for (size_t i = 0; i < ENTRIES; i++) {
        ck_assert_int_le(rig->entries[i].covers_us, rig->now_us);
    }
}

static void
handle_promote(struct rig *rig, const char *name)
{
    struct upstream *upstream = find_upstream(rig, name);

    if (upstream->database == 0) {
        check_no_lease_covers_term(rig);
        rig->promoted_term = get_database(rig, 0)->term;
    }
    upstream->promoted_us = rig->now_us + PROMOTION_US;
}

static void
run_action(struct rig *rig, const struct coordinator_action *action)
{
    switch (action->kind) {
    case COORDINATOR_ACTION_PROPOSE:
        apply_proposal(rig, action);
        break;
    case COORDINATOR_ACTION_REPLY_RENEW:
        handle_renewed(rig, action->renew);
        break;
    case COORDINATOR_ACTION_NOTIFY:
        find_entry(rig, action->notify.daemon->vm)->notified_us = rig->now_us;
        break;
    case COORDINATOR_ACTION_PROBE:
        find_upstream(rig, action->upstream.upstream->name)->is_probed = true;
        break;
    case COORDINATOR_ACTION_PROMOTE:
        handle_promote(rig, action->upstream.upstream->name);
        break;
    case COORDINATOR_ACTION_FENCE:
        find_upstream(rig, action->upstream.upstream->name)->is_fencing = true;
        break;
    case COORDINATOR_ACTION_REPLY_COMMAND:
        rig->command_outcome = action->reply.outcome;
        break;
    default:
        break;
    }
}

static void
step(struct rig *rig, struct coordinator_event *event)
{
    struct coordinator_actions actions = {0};

    event->quorum = true;
    coordinator_step(rig->coordinator, rig->now_us, event, &actions);
    for (size_t i = 0; i < actions.count; i++) {
        run_action(rig, &actions.items[i]);
    }
    coordinator_actions_free(&actions);
}

static void
send_call(struct rig *rig, struct entry *entry, bool returned)
{
    struct ck_revocation confirmed[DATABASES];
    struct ck_renew_args args = {.sequence = ++entry->sequence,
                                 .known_revision = entry->revision,
                                 .returned = returned};
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_RENEW};

    args.group = (char *)(uintptr_t)GROUP_FLEET_NAME;
    args.daemon = make_daemon(entry);
    for (size_t i = 0; i < DATABASES; i++) {
        confirmed[i].database = (char *)(uintptr_t)database_names[i];
        confirmed[i].term = entry->confirmed[i];
    }
    args.confirmed.confirmed_val = confirmed;
    args.confirmed.confirmed_len = DATABASES;
    if (returned || entry->confirmed[0] == get_database(rig, 0)->term) {
        entry->covers_us = 0;
    }
    event.renew = &args;
    rig->renewing = entry;
    step(rig, &event);
    entry->next_renew_us = rig->now_us + entry->renew_us;
}

static void
send_renewal(struct rig *rig, struct entry *entry)
{
    send_call(rig, entry, false);
}

static void
answer_notification(struct rig *rig, struct entry *entry)
{
    struct ck_notify_result result = {.outcome = OUTCOME_OK};
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_NOTIFIED};

    event.notified.vm = entry->vm;
    event.notified.incarnation = entry->incarnation;
    if (is_silent(rig, entry)) {
        if (rig->now_us - entry->notified_us < NOTIFY_TIMEOUT_US) {
            return;
        }
        event.kind = COORDINATOR_EVENT_NOTIFY_FAILED;
        entry->notified_us = 0;
        step(rig, &event);
        return;
    }
    entry->notified_us = 0;
    send_renewal(rig, entry);
    result.daemon = make_daemon(entry);
    event.notified.result = &result;
    step(rig, &event);
}

static void
run_entry(struct rig *rig, struct entry *entry)
{
    if (entry->restarts && !is_silent(rig, entry)) {
        entry->restarts = false;
        entry->incarnation++;
        entry->sequence = 0;
        entry->revision = 0;
        memset(entry->confirmed, 0, sizeof(entry->confirmed));
        entry->next_renew_us = rig->now_us;
    }
    if (entry->notified_us != 0 && entry->notified_us < rig->now_us) {
        answer_notification(rig, entry);
    }
    if (!is_silent(rig, entry) && entry->next_renew_us <= rig->now_us) {
        send_renewal(rig, entry);
    }
}

static void
announce(struct rig *rig, const struct upstream *upstream)
{
    struct ck_upstream announced = changes_make_upstream(
        upstream->name, database_names[upstream->database], "noord",
        upstream->host);
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_ANNOUNCE};

    announced.state = upstream->state;
    event.announce = &announced;
    step(rig, &event);
}

static void
finish_fence(struct rig *rig, struct upstream *upstream)
{
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_FENCED};

    upstream->is_fencing = false;
    upstream->is_unfenced = false;
    event.done.upstream = upstream->name;
    event.done.outcome = OUTCOME_OK;
    step(rig, &event);
}

static void
run_upstream(struct rig *rig, struct upstream *upstream)
{
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_PROBED};
    bool is_promoted =
        upstream->promoted_us != 0 && upstream->promoted_us <= rig->now_us;

    event.probe.upstream = upstream->name;
    event.probe.is_primary =
        is_promoted || upstream->is_unfenced ||
        strcmp(get_database(rig, upstream->database)->primary,
               upstream->name) == 0;
    event.probe.is_busy = upstream->is_busy;
    event.probe.position.timeline = upstream->is_busy ? 0 : 1;
    event.probe.position.lsn = upstream->is_busy ? 0 : upstream->lsn;
    if (upstream->is_gone) {
        return;
    }
    if (upstream->is_probed) {
        upstream->is_probed = false;
        step(rig, &event);
    }
    if (upstream->is_fencing && upstream->fence_us <= rig->now_us) {
        finish_fence(rig, upstream);
    }
    if (is_promoted) {
        upstream->promoted_us = 0;
        upstream->lsn += rig->is_replicated ? 1 : 0;
        event.probe.position.lsn = upstream->lsn;
        event.kind = COORDINATOR_EVENT_PROMOTED;
        step(rig, &event);
    }
    if (rig->now_us % ANNOUNCE_US == 0) {
        announce(rig, upstream);
    }
}

// Silences the next entry of the series. One that stops returns its lease. A
// process that has ended acknowledges nothing any more.
static void
run_series(struct rig *rig, const struct series *plan)
{
    struct entry *victim = &rig->entries[rig->next_victim % plan->entries];

    if (plan->kind == SERIES_STOP) {
        send_call(rig, victim, true);
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
run_term(struct rig *rig)
{
    const struct ck_database *database = get_database(rig, 0);

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
    for (size_t i = 0; i < UPSTREAMS_EACH; i++) {
        rig->upstreams[i].lsn = find_upstream(rig, database->primary)->lsn;
    }
}

static void
advance(struct rig *rig, const struct series *plan)
{
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_TICK};

    rig->now_us += STEP_US;
    step(rig, &event);
    if (plan != NULL && rig->now_us % SERIES_GAP_US == 0) {
        run_series(rig, plan);
    }
    for (size_t i = 0; i < ENTRIES; i++) {
        run_entry(rig, &rig->entries[i]);
    }
    for (size_t i = 0; i < UPSTREAMS; i++) {
        run_upstream(rig, &rig->upstreams[i]);
    }
    run_term(rig);
}

static void
add_entry(struct rig *rig, size_t index)
{
    struct ck_change change = {.kind = CK_CHANGE_DAEMON};
    struct entry *entry = &rig->entries[index];

    (void)snprintf(entry->vm, sizeof(entry->vm), "e%zu", index);
    entry->incarnation = 1;
    entry->renew_us = RENEW_US;
    entry->next_renew_us = START_US + (int64_t)index * RENEW_US / ENTRIES;
    change.ck_change_u.daemon = make_daemon(entry);
    ck_assert_int_eq(changes_apply(rig->group, 0, &change, "", -1, NULL),
                     OUTCOME_OK);
}

static void
add_upstream(struct rig *rig, size_t index)
{
    struct upstream *upstream = &rig->upstreams[index];

    (void)snprintf(upstream->name, sizeof(upstream->name), "u%zu", index);
    (void)snprintf(upstream->host, sizeof(upstream->host), "10.0.0.%zu",
                   index + 1);
    upstream->database = index / UPSTREAMS_EACH;
    upstream->lsn = 50;
    upstream->state = CK_UPSTREAM_READY;
    struct ck_upstream announced = changes_make_upstream(
        upstream->name, database_names[upstream->database], "noord",
        upstream->host);
    changes_apply_upstream(rig->group, &announced);
}

static void
set_first_primary(struct rig *rig, size_t database)
{
    struct ck_change change = {.kind = CK_CHANGE_PRIMARY};

    change.ck_change_u.primary.database =
        (char *)(uintptr_t)database_names[database];
    change.ck_change_u.primary.term = 1;
    change.ck_change_u.primary.primary =
        rig->upstreams[database * UPSTREAMS_EACH].name;
    ck_assert_int_eq(changes_apply(rig->group, 0, &change, "", -1, NULL),
                     OUTCOME_OK);
}

static void
start(struct rig *rig)
{
    struct coordinator_params params;
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_ELECTED,
                                      .leader_term = 4};

    memset(rig, 0, sizeof(*rig));
    coordinator_params_init(&params);
    params.lease_us = LEASE_US;
    params.drift_ppm = 10000;
    params.switchover_us = SERVES_US;
    params.lost_retention_us = LEASE_US;
    rig->now_us = START_US;
    rig->group = group_create(GROUP_FLEET_NAME);
    changes_set_customer(rig->group,
                         "[{\"name\": \"roster1\"}, {\"name\": \"roster2\"}]",
                         "wait");
    rig->coordinator = coordinator_create(&params, rig->group);
    for (size_t i = 0; i < ENTRIES; i++) {
        add_entry(rig, i);
    }
    for (size_t i = 0; i < UPSTREAMS; i++) {
        add_upstream(rig, i);
    }
    for (size_t i = 0; i < DATABASES; i++) {
        set_first_primary(rig, i);
    }
    step(rig, &event);
}

static void
finish(struct rig *rig)
{
    coordinator_destroy(rig->coordinator);
    group_destroy(rig->group);
}

static void
withdraw(struct rig *rig, const char *name)
{
    struct upstream *upstream = find_upstream(rig, name);

    ck_assert_str_eq(get_database(rig, upstream->database)->primary, name);
    upstream->state = CK_UPSTREAM_LEAVING;
    announce(rig, upstream);
}

// Runs until the upstream is no longer the primary. Returns the time.
static int64_t
replace_primary(struct rig *rig, const char *leaving,
                const struct series *plan)
{
    int64_t begin_us = rig->now_us;

    withdraw(rig, leaving);
    while (strcmp(get_database(rig, 0)->primary, leaving) == 0 &&
           rig->now_us - begin_us < 4 * SERVES_US) {
        advance(rig, plan);
    }
    return rig->now_us - begin_us;
}

// Guards against a wait for silent entries that leaves no time for the leases
// of entries that fail later.
START_TEST(test_term_ends_while_entries_fail_in_turn)
{
    struct rig rig;

    start(&rig);
    while (rig.now_us < START_US + SERIES_LEAD_US) {
        advance(&rig, &series[_i]);
    }
    int64_t begin_us = rig.now_us;
    withdraw(&rig, "u0");
    while (!get_database(&rig, 0)->superseding &&
           rig.now_us - begin_us < SERVES_US) {
        advance(&rig, &series[_i]);
    }
    ck_assert_int_le(rig.now_us - begin_us, SERVES_US - LEASE_US);
    finish(&rig);
}
END_TEST

// Guards against a planned change that waits for each silent entry in turn.
START_TEST(test_change_ends_while_entries_fail_in_turn)
{
    struct rig rig;

    start(&rig);
    while (rig.now_us < START_US + SERIES_LEAD_US) {
        advance(&rig, &series[_i]);
    }
    ck_assert_int_le(replace_primary(&rig, "u0", &series[_i]), SERVES_US);
    finish(&rig);
}
END_TEST

// Guards against an entry whose open write delays the change by two leases
// after the time for open writes.
START_TEST(test_change_ends_despite_open_write)
{
    struct rig rig;

    start(&rig);
    rig.entries[3].is_stuck = true;
    ck_assert_int_le(replace_primary(&rig, "u0", NULL), SERVES_US);
    finish(&rig);
}
END_TEST

static void
switch_second_database(struct rig *rig)
{
    const struct ck_database *database = get_database(rig, 1);
    bool is_first = strcmp(database->primary, "u3") == 0;
    struct ck_command_args args = {.kind = CK_COMMAND_SWITCHOVER};
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_COMMAND,
                                      .token = 7};

    args.database = database->name;
    args.target = (char *)(uintptr_t)(is_first ? "u4" : "u3");
    event.command = &args;
    step(rig, &event);
}

// Guards against changes of other databases that end the denial of leases to
// an entry that does not confirm.
START_TEST(test_change_ends_while_other_database_changes)
{
    struct rig rig;

    start(&rig);
    rig.entries[3].is_stuck = true;
    rig.entries[3].renew_us = STEP_US;
    advance(&rig, NULL);
    int64_t begin_us = rig.now_us;
    withdraw(&rig, "u0");
    while (strcmp(get_database(&rig, 0)->primary, "u0") == 0 &&
           rig.now_us - begin_us < 4 * SERVES_US) {
        advance(&rig, NULL);
        if (rig.now_us % SERIES_GAP_US == 0) {
            switch_second_database(&rig);
        }
    }
    ck_assert_uint_gt(get_database(&rig, 1)->term, 4);
    ck_assert_int_le(rig.now_us - begin_us, SERVES_US);
    finish(&rig);
}
END_TEST

// Guards against a write of the old term that is acknowledged under a lease
// granted after the promotion.
START_TEST(test_lapsed_holder_gets_no_lease_before_next_term)
{
    struct rig rig;

    start(&rig);
    advance(&rig, NULL);
    rig.entries[3].is_stuck = true;
    rig.entries[3].silent_until_us = rig.now_us + LEASE_US + PROMOTION_US / 2;
    ck_assert_int_le(replace_primary(&rig, "u0", NULL), SERVES_US);
    finish(&rig);
}
END_TEST

// Guards against a new primary that leaves as well, and is kept because the
// last change is recent.
START_TEST(test_new_primary_that_leaves_is_replaced)
{
    struct rig rig;
    char second[8];

    start(&rig);
    (void)replace_primary(&rig, "u0", NULL);
    (void)snprintf(second, sizeof(second), "%s",
                   get_database(&rig, 0)->primary);
    ck_assert_int_le(replace_primary(&rig, second, NULL), SERVES_US);
    finish(&rig);
}
END_TEST

static struct upstream *
run_until_promoting(struct rig *rig, const struct series *plan)
{
    for (;;) {
        advance(rig, plan);
        for (size_t i = 0; i < UPSTREAMS_EACH; i++) {
            if (rig->upstreams[i].promoted_us != 0) {
                return &rig->upstreams[i];
            }
        }
    }
}

// Guards against a bound that begins only when an upstream which leaves during
// its promotion has become the primary.
START_TEST(test_upstream_that_leaves_while_promoted_is_replaced)
{
    struct rig rig;

    start(&rig);
    while (rig.now_us < START_US + SERIES_LEAD_US) {
        advance(&rig, &series[_i]);
    }
    withdraw(&rig, "u0");
    struct upstream *second = run_until_promoting(&rig, &series[_i]);
    int64_t begin_us = rig.now_us;
    second->state = CK_UPSTREAM_LEAVING;
    announce(&rig, second);
    while (get_database(&rig, 0)->term < 3 &&
           rig.now_us - begin_us < 4 * SERVES_US) {
        advance(&rig, &series[_i]);
    }
    ck_assert_int_le(rig.now_us - begin_us, SERVES_US);
    finish(&rig);
}
END_TEST

// Guards against a bound that begins only when a replica is ready.
START_TEST(test_late_replica_does_not_extend_change)
{
    struct rig rig;

    start(&rig);
    for (size_t i = 1; i < UPSTREAMS_EACH; i++) {
        rig.upstreams[i].state = CK_UPSTREAM_LEAVING;
    }
    while (rig.now_us < START_US + SERIES_LEAD_US) {
        advance(&rig, &series[_i]);
    }
    int64_t begin_us = rig.now_us;
    withdraw(&rig, "u0");
    while (rig.now_us - begin_us < PROMOTION_US * 5) {
        advance(&rig, &series[_i]);
    }
    rig.upstreams[2].state = CK_UPSTREAM_READY;
    while (get_database(&rig, 0)->term < 2 &&
           rig.now_us - begin_us < 4 * SERVES_US) {
        advance(&rig, &series[_i]);
    }
    ck_assert_int_le(rig.now_us - begin_us, SERVES_US);
    finish(&rig);
}
END_TEST

// Guards against a leader that forgets a leaving primary when many changes
// were made since it left.
START_TEST(test_next_leader_replaces_leaving_primary)
{
    struct rig rig;
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_DEPOSED};

    start(&rig);
    event.leader_term = 5;
    step(&rig, &event);
    struct ck_upstream leaving =
        changes_make_upstream("u0", "roster1", "noord", "10.0.0.1");
    leaving.state = CK_UPSTREAM_LEAVING;
    changes_apply_upstream(rig.group, &leaving);
    rig.upstreams[0].state = CK_UPSTREAM_LEAVING;
    struct ck_upstream other =
        changes_make_upstream("u5", "roster2", "noord", "10.0.0.6");
    for (int i = 0; i < 100; i++) {
        other.state = i % 2 == 0 ? CK_UPSTREAM_LEAVING : CK_UPSTREAM_READY;
        changes_apply_upstream(rig.group, &other);
    }
    event.kind = COORDINATOR_EVENT_ELECTED;
    step(&rig, &event);
    int64_t begin_us = rig.now_us;
    while (get_database(&rig, 0)->term < 2 &&
           rig.now_us - begin_us < 4 * SERVES_US) {
        advance(&rig, NULL);
    }
    ck_assert_int_le(rig.now_us - begin_us, SERVES_US);
    finish(&rig);
}
END_TEST

// Plays a change whose replicas lag and lease holders end late. Returns the
// time until the next term.
static int64_t
play_lagging_replicas(struct rig *rig)
{
    rig->entries[3].is_stuck = true;
    rig->upstreams[1].lsn = 40;
    rig->upstreams[2].lsn = 40;
    int64_t begin_us = rig->now_us;
    withdraw(rig, "u0");
    while (get_database(rig, 0)->term < 2 &&
           rig->now_us - begin_us < 4 * SERVES_US) {
        advance(rig, NULL);
    }
    return rig->now_us - begin_us;
}

// Guards against a promotion that may lack writes, and a wait that begins
// late.
START_TEST(test_unproven_replica_does_not_extend_change)
{
    struct rig rig;

    start(&rig);
    rig.upstreams[2].is_gone = true;
    ck_assert_int_le(play_lagging_replicas(&rig), SERVES_US);
    ck_assert_str_eq(get_database(&rig, 0)->primary, "u0");
    finish(&rig);
}
END_TEST

// Guards against a leaving primary that stays although replicas hold all.
START_TEST(test_lagging_replicas_do_not_extend_change)
{
    struct rig rig;

    start(&rig);
    ck_assert_int_le(play_lagging_replicas(&rig), SERVES_US);
    ck_assert_str_ne(get_database(&rig, 0)->primary, "u0");
    finish(&rig);
}
END_TEST

// Guards against an overdue change that keeps the leaving primary before the
// replicas have answered.
START_TEST(test_overdue_change_waits_for_answers)
{
    struct rig rig;

    start(&rig);
    rig.upstreams[1].state = CK_UPSTREAM_LEAVING;
    rig.upstreams[2].state = CK_UPSTREAM_LEAVING;
    while (rig.now_us < START_US + 2 * ANNOUNCE_US) {
        advance(&rig, NULL);
    }
    withdraw(&rig, "u0");
    int64_t ready_us = rig.now_us + 2 * SERVES_US;
    while (rig.now_us < ready_us) {
        advance(&rig, NULL);
    }
    rig.upstreams[2].state = CK_UPSTREAM_READY;
    while (get_database(&rig, 0)->term < 2) {
        advance(&rig, NULL);
    }
    ck_assert_str_eq(get_database(&rig, 0)->primary, "u2");
    finish(&rig);
}
END_TEST

// Guards against a change that waits for the leases of entries that have
// stopped.
START_TEST(test_stopped_entries_are_not_awaited)
{
    struct rig rig;

    start(&rig);
    while (rig.now_us < START_US + SERIES_LEAD_US) {
        advance(&rig, &series[SERIES_STOP]);
    }
    int64_t changed_us = replace_primary(&rig, "u0", &series[SERIES_STOP]);
    ck_assert_int_le(changed_us, PROMOTION_US + 2 * NOTIFY_TIMEOUT_US);
    finish(&rig);
}
END_TEST

// Guards against a lost upstream that stays a member as long as entries
// restart in turn.
START_TEST(test_lost_upstream_is_removed_while_entries_fail_in_turn)
{
    struct rig rig;

    start(&rig);
    rig.upstreams[2].is_gone = true;
    while (get_database(&rig, 0)->upstreams.upstreams_len == UPSTREAMS_EACH &&
           rig.now_us - START_US < 4 * SERVES_US) {
        advance(&rig, &series[_i]);
    }
    // The announcements expire, then the lost upstream is retained.
    ck_assert_int_le(rig.now_us - START_US, 2 * SERVES_US);
    finish(&rig);
}
END_TEST

static void
elect_next_leader(struct rig *rig)
{
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_DEPOSED};

    step(rig, &event);
    for (size_t i = 0; i < ENTRIES; i++) {
        rig->entries[i].notified_us = 0;
    }
    event.kind = COORDINATOR_EVENT_ELECTED;
    event.leader_term = 5;
    step(rig, &event);
}

// Elects a leader that has just started, and knows the group state only.
static void
elect_restarted_leader(struct rig *rig)
{
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_DEPOSED};

    step(rig, &event);
    coordinator_set_group(rig->coordinator, rig->group);
    elect_next_leader(rig);
}

// Guards against an election that begins the time limit of a change anew: the
// next leader, which does not know how much of it has passed, waits for leases
// and not for silent holders.
START_TEST(test_election_adds_one_lease_to_change)
{
    struct rig rig;

    start(&rig);
    while (rig.now_us < START_US + SERIES_LEAD_US) {
        advance(&rig, &series[_i]);
    }
    withdraw(&rig, "u0");
    elect_restarted_leader(&rig);
    int64_t begin_us = rig.now_us;
    while (get_database(&rig, 0)->term < 2 &&
           rig.now_us - begin_us < 4 * SERVES_US) {
        advance(&rig, &series[_i]);
    }
    ck_assert_int_le(rig.now_us - begin_us, LEASE_US + 2 * PROMOTION_US);
    finish(&rig);
}
END_TEST

// Guards against an election that adds to the time limit of a change.
START_TEST(test_election_does_not_extend_change)
{
    struct rig rig;

    start(&rig);
    while (rig.now_us < START_US + SERIES_LEAD_US) {
        advance(&rig, &series[_i]);
    }
    int64_t begin_us = rig.now_us;
    withdraw(&rig, "u0");
    while (rig.now_us - begin_us < PROMOTION_US / 2) {
        advance(&rig, &series[_i]);
    }
    elect_next_leader(&rig);
    while (get_database(&rig, 0)->term < 2 &&
           rig.now_us - begin_us < 4 * SERVES_US) {
        advance(&rig, &series[_i]);
    }
    ck_assert_int_le(rig.now_us - begin_us, SERVES_US);
    finish(&rig);
}
END_TEST

// Guards against a replica that is promoted without what the old primary has
// acknowledged, because the old primary is too busy to report its position.
START_TEST(test_busy_primary_does_not_count_as_reached)
{
    struct rig rig;

    start(&rig);
    rig.upstreams[0].is_busy = true;
    rig.upstreams[1].lsn = 40;
    advance(&rig, NULL);
    (void)replace_primary(&rig, "u0", NULL);
    ck_assert_str_ne(get_database(&rig, 0)->primary, "u1");
    finish(&rig);
}
END_TEST

// Runs until the upstream is the primary of the first database. Returns the
// time since begin_us.
static int64_t
run_until_primary(struct rig *rig, const char *name, int64_t begin_us)
{
    while (strcmp(get_database(rig, 0)->primary, name) != 0 &&
           rig->now_us - begin_us < 4 * SERVES_US) {
        advance(rig, NULL);
    }
    return rig->now_us - begin_us;
}

static void
run_until_superseding(struct rig *rig)
{
    while (!get_database(rig, 0)->superseding) {
        advance(rig, NULL);
    }
}

static void
run_until(struct rig *rig, int64_t until_us)
{
    while (rig->now_us < until_us) {
        advance(rig, NULL);
    }
}

// Runs until a leaving upstream has used up its time. From then on no entry
// may write to it, and it is the primary of no term that entries serve.
static void
check_serves_no_longer(struct rig *rig, const char *name, int64_t leaving_us)
{
    run_until(rig, leaving_us + SERVES_US);
    while (rig->now_us < leaving_us + 3 * SERVES_US) {
        const struct ck_database *database = get_database(rig, 0);
        if (strcmp(database->primary, name) == 0) {
            ck_assert(database->superseding);
            check_no_lease_covers_term(rig);
        }
        advance(rig, NULL);
    }
}

// Guards against a term that ends before its replicas follow its primary.
START_TEST(test_primary_that_leaves_at_once_is_replaced)
{
    struct rig rig;

    start(&rig);
    rig.is_replicated = true;
    run_until(&rig, START_US + 2 * ANNOUNCE_US);
    withdraw(&rig, "u0");
    struct upstream *second = run_until_promoting(&rig, NULL);
    second->state = CK_UPSTREAM_LEAVING;
    announce(&rig, second);
    const char *third = second == &rig.upstreams[1] ? "u2" : "u1";
    ck_assert_int_le(run_until_primary(&rig, third, rig.now_us), SERVES_US);
    ck_assert_int_le(rig.longest_gap_us, 2 * PROMOTION_US);
    finish(&rig);
}
END_TEST

// Guards against a pause after a kept primary that outlasts its leaving.
START_TEST(test_second_try_ends_in_time)
{
    struct rig rig;

    start(&rig);
    run_until(&rig, START_US + 2 * ANNOUNCE_US);
    rig.upstreams[2].is_gone = true;
    int64_t begin_us = rig.now_us;
    withdraw(&rig, "u0");
    run_until_superseding(&rig);
    rig.upstreams[0].lsn = 60;
    run_until(&rig, begin_us + 4000 * MS);
    rig.upstreams[1].lsn = 60;
    ck_assert_int_le(run_until_primary(&rig, "u1", begin_us), SERVES_US);
    finish(&rig);
}
END_TEST

// Guards against a pause that began before the primary leaves.
START_TEST(test_change_kept_before_does_not_delay_leaving_primary)
{
    struct rig rig;
    struct ck_command_args args = {.kind = CK_COMMAND_SWITCHOVER};
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_COMMAND,
                                      .token = 7};

    start(&rig);
    run_until(&rig, START_US + 2 * ANNOUNCE_US);
    args.database = (char *)(uintptr_t)database_names[0];
    args.target = rig.upstreams[1].name;
    event.command = &args;
    step(&rig, &event);
    run_until_superseding(&rig);
    rig.upstreams[0].lsn = 60;
    while (get_database(&rig, 0)->term < 2) {
        advance(&rig, NULL);
    }
    ck_assert_str_eq(get_database(&rig, 0)->primary, "u0");
    rig.upstreams[1].lsn = 60;
    ck_assert_int_le(replace_primary(&rig, "u0", NULL), SERVES_US / 2);
    finish(&rig);
}
END_TEST

// Guards against a lost target that leaves no time for a late one.
START_TEST(test_change_ends_when_target_is_lost)
{
    struct rig rig;
    struct coordinator_event event = {.kind =
                                          COORDINATOR_EVENT_PROMOTE_FAILED};

    start(&rig);
    run_until(&rig, START_US + 2 * ANNOUNCE_US);
    rig.upstreams[2].lsn = 40;
    int64_t begin_us = rig.now_us;
    withdraw(&rig, "u0");
    struct upstream *first = run_until_promoting(&rig, NULL);
    ck_assert_str_eq(first->name, "u1");
    first->is_gone = true;
    first->promoted_us = 0;
    event.done.upstream = first->name;
    event.done.outcome = OUTCOME_UNAVAILABLE;
    step(&rig, &event);
    run_until(&rig, begin_us + 4000 * MS);
    rig.upstreams[2].lsn = 50;
    ck_assert_int_le(run_until_primary(&rig, "u2", begin_us), SERVES_US);
    finish(&rig);
}
END_TEST

// Guards against a term that ends without an upstream that can take over.
START_TEST(test_all_upstreams_leave_at_once)
{
    struct rig rig;

    start(&rig);
    run_until(&rig, START_US + 2 * ANNOUNCE_US + STEP_US);
    int64_t begin_us = rig.now_us;
    for (size_t i = 0; i < UPSTREAMS_EACH; i++) {
        rig.upstreams[i].state = CK_UPSTREAM_LEAVING;
        announce(&rig, &rig.upstreams[i]);
    }
    run_until(&rig, begin_us + SERVES_US / 2);
    rig.upstreams[2].state = CK_UPSTREAM_READY;
    ck_assert_int_le(run_until_primary(&rig, "u2", begin_us), SERVES_US);
    ck_assert_int_le(rig.longest_gap_us, 2 * PROMOTION_US);
    finish(&rig);
}
END_TEST

static void
order_switchover(struct rig *rig, const char *target)
{
    struct ck_command_args args = {.kind = CK_COMMAND_SWITCHOVER};
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_COMMAND,
                                      .token = 7};

    args.database = (char *)(uintptr_t)database_names[0];
    args.target = (char *)(uintptr_t)target;
    event.command = &args;
    step(rig, &event);
}

// Guards against a term that ends for a target that leaves itself.
START_TEST(test_switchover_to_leaving_target_is_dropped)
{
    struct rig rig;

    start(&rig);
    run_until(&rig, START_US + 2 * ANNOUNCE_US);
    rig.entries[3].silent_until_us = rig.now_us + PROMOTION_US;
    order_switchover(&rig, "u1");
    rig.upstreams[1].state = CK_UPSTREAM_LEAVING;
    announce(&rig, &rig.upstreams[1]);
    run_until(&rig, rig.now_us + SERVES_US);
    ck_assert_uint_eq(get_database(&rig, 0)->term, 1);
    ck_assert_int_eq(rig.command_outcome, OUTCOME_UNAVAILABLE);
    finish(&rig);
}
END_TEST

// Guards against a next leader that keeps a leaving primary for switchover_ms.
START_TEST(test_next_leader_tries_again_once_replica_follows)
{
    struct rig rig;

    start(&rig);
    run_until(&rig, START_US + 2 * ANNOUNCE_US);
    rig.upstreams[2].is_gone = true;
    withdraw(&rig, "u0");
    run_until_superseding(&rig);
    rig.upstreams[0].lsn = 60;
    elect_next_leader(&rig);
    int64_t elected_us = rig.now_us;
    while (get_database(&rig, 0)->superseding) {
        advance(&rig, NULL);
    }
    ck_assert_str_eq(get_database(&rig, 0)->primary, "u0");
    rig.upstreams[1].lsn = 60;
    ck_assert_int_le(run_until_primary(&rig, "u1", elected_us), SERVES_US / 2);
    finish(&rig);
}
END_TEST

// Sets the policy for unconfirmed writes of the customer to a warning.
static void
set_warned_writes(struct rig *rig)
{
    static const char text[] = CHANGES_TEMPLATE_ROSTER;
    const char *at = strstr(text, "\"confirm\": 1");
    char document[2048];

    (void)snprintf(document, sizeof(document),
                   "%.*s\"unconfirmed\": \"warn\", %s", (int)(at - text), text,
                   at);
    ck_assert_int_eq(changes_apply_document(rig->group, CK_CHANGE_TEMPLATE,
                                            "roster", document, "", -1, NULL),
                     OUTCOME_OK);
    ck_assert_int_eq(
        group_find_customer_of_database(rig->group, database_names[0])
            ->unconfirmed,
        CK_UNCONFIRMED_WARN);
}

// Guards against a promotion that loses a write answered with a warning.
START_TEST(test_warned_writes_are_not_lost)
{
    struct rig rig;

    start(&rig);
    set_warned_writes(&rig);
    ck_assert_int_le(play_lagging_replicas(&rig), SERVES_US);
    ck_assert_str_eq(get_database(&rig, 0)->primary, "u0");
    finish(&rig);
}
END_TEST

// Guards against a leaving primary that serves until it is gone, because no
// other upstream can take over.
START_TEST(test_leaving_primary_without_successor_stops_in_time)
{
    struct rig rig;

    start(&rig);
    rig.upstreams[1].is_gone = true;
    rig.upstreams[2].is_gone = true;
    run_until(&rig, START_US + SERVES_US);
    int64_t begin_us = rig.now_us;
    withdraw(&rig, "u0");
    run_until(&rig, begin_us + SERVES_US / 2);
    ck_assert(!get_database(&rig, 0)->superseding);
    check_serves_no_longer(&rig, "u0", begin_us);
    finish(&rig);
}
END_TEST

// Guards against a leaving upstream that is promoted when its successor fails,
// and then serves as if it had just announced that it leaves.
START_TEST(test_leaving_upstream_promoted_again_stops_in_time)
{
    struct rig rig;

    start(&rig);
    run_until(&rig, START_US + 2 * ANNOUNCE_US);
    rig.upstreams[2].lsn = 40;
    int64_t begin_us = rig.now_us;
    withdraw(&rig, "u0");
    (void)run_until_primary(&rig, "u1", begin_us);
    rig.upstreams[1].state = CK_UPSTREAM_LOST;
    announce(&rig, &rig.upstreams[1]);
    rig.upstreams[1].is_gone = true;
    (void)run_until_primary(&rig, "u0", begin_us);
    ck_assert_int_le(rig.now_us - begin_us, SERVES_US);
    check_serves_no_longer(&rig, "u0", begin_us);
    finish(&rig);
}
END_TEST

// Guards against a leaving primary that is kept in term after term while no
// replica catches up.
START_TEST(test_kept_leaving_primary_stops_in_time)
{
    struct rig rig;

    start(&rig);
    rig.upstreams[2].is_gone = true;
    int64_t begin_us = rig.now_us;
    (void)play_lagging_replicas(&rig);
    rig.entries[3].is_stuck = false;
    ck_assert_str_eq(get_database(&rig, 0)->primary, "u0");
    check_serves_no_longer(&rig, "u0", begin_us);
    finish(&rig);
}
END_TEST

// Guards against a next leader that gives a leaving primary its time anew, or
// none.
START_TEST(test_next_leader_keeps_time_of_leaving_primary)
{
    struct rig rig;

    start(&rig);
    rig.upstreams[1].is_gone = true;
    rig.upstreams[2].is_gone = true;
    run_until(&rig, START_US + SERVES_US);
    int64_t begin_us = rig.now_us;
    withdraw(&rig, "u0");
    run_until(&rig, begin_us + SERVES_US / 3);
    elect_next_leader(&rig);
    run_until(&rig, begin_us + SERVES_US / 2);
    ck_assert(!get_database(&rig, 0)->superseding);
    check_serves_no_longer(&rig, "u0", begin_us);
    finish(&rig);
}
END_TEST

// Guards against a leader that does not know since when the primary leaves and
// lets it serve on.
START_TEST(test_restarted_leader_stops_leaving_primary)
{
    struct rig rig;

    start(&rig);
    rig.upstreams[1].is_gone = true;
    rig.upstreams[2].is_gone = true;
    run_until(&rig, START_US + SERVES_US);
    withdraw(&rig, "u0");
    run_until(&rig, rig.now_us + SERVES_US / 3);
    elect_restarted_leader(&rig);
    check_serves_no_longer(&rig, "u0", rig.now_us + LEASE_US - SERVES_US);
    finish(&rig);
}
END_TEST

// Guards against an upstream that has left and is published again, because it
// had answered before it left.
START_TEST(test_upstream_that_has_left_is_not_kept)
{
    struct rig rig;

    start(&rig);
    rig.upstreams[1].is_gone = true;
    rig.upstreams[2].is_gone = true;
    run_until(&rig, START_US + SERVES_US);
    int64_t begin_us = rig.now_us;
    withdraw(&rig, "u0");
    run_until(&rig, begin_us + SERVES_US);
    ck_assert(get_database(&rig, 0)->superseding);
    rig.upstreams[0].state = CK_UPSTREAM_LOST;
    announce(&rig, &rig.upstreams[0]);
    rig.upstreams[0].is_gone = true;
    run_until(&rig, begin_us + 3 * SERVES_US);
    ck_assert(get_database(&rig, 0)->superseding);
    ck_assert_uint_eq(get_database(&rig, 0)->term, 1);
    finish(&rig);
}
END_TEST

// Guards against a term that ends for a successor that is silent, while the
// leaving primary has time left.
START_TEST(test_silent_successor_does_not_end_service)
{
    struct rig rig;

    start(&rig);
    run_until(&rig, START_US + 2 * ANNOUNCE_US);
    rig.upstreams[2].lsn = 40;
    int64_t begin_us = rig.now_us;
    withdraw(&rig, "u0");
    (void)run_until_primary(&rig, "u1", begin_us);
    run_until(&rig, begin_us + SERVES_US / 4);
    rig.upstreams[1].state = CK_UPSTREAM_LOST;
    announce(&rig, &rig.upstreams[1]);
    rig.upstreams[1].is_gone = true;
    ck_assert_str_eq(run_until_promoting(&rig, NULL)->name, "u0");
    rig.upstreams[2].is_gone = true;
    (void)run_until_primary(&rig, "u0", begin_us);
    uint64_t term = get_database(&rig, 0)->term;
    run_until(&rig, begin_us + SERVES_US * 4 / 5);
    ck_assert_uint_eq(get_database(&rig, 0)->term, term);
    ck_assert(!get_database(&rig, 0)->superseding);
    check_serves_no_longer(&rig, "u0", begin_us);
    finish(&rig);
}
END_TEST

// Guards against a second primary: an earlier one that has not been fenced yet
// still claims to be one, and is published without a promotion.
START_TEST(test_unfenced_upstream_is_fenced_and_promoted)
{
    struct rig rig;
    bool is_promoted = false;

    start(&rig);
    run_until(&rig, START_US + 2 * ANNOUNCE_US);
    rig.upstreams[2].lsn = 40;
    int64_t begin_us = rig.now_us;
    withdraw(&rig, "u0");
    struct upstream *old = &rig.upstreams[0];
    old->is_unfenced = true;
    old->fence_us = rig.now_us + SERVES_US / 3;
    (void)run_until_primary(&rig, "u1", begin_us);
    rig.upstreams[1].state = CK_UPSTREAM_LOST;
    announce(&rig, &rig.upstreams[1]);
    rig.upstreams[1].is_gone = true;
    while (strcmp(get_database(&rig, 0)->primary, "u0") != 0 &&
           rig.now_us - begin_us < SERVES_US) {
        advance(&rig, NULL);
        ck_assert(old->promoted_us == 0 || !old->is_unfenced);
        is_promoted = is_promoted || old->promoted_us != 0;
    }
    ck_assert(is_promoted);
    ck_assert_str_eq(get_database(&rig, 0)->primary, "u0");
    finish(&rig);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_loop_test(tests, test_term_ends_while_entries_fail_in_turn, 0,
                        sizeof(series) / sizeof(series[0]));
    tcase_add_loop_test(tests, test_change_ends_while_entries_fail_in_turn, 0,
                        sizeof(series) / sizeof(series[0]));
    tcase_add_test(tests, test_change_ends_despite_open_write);
    tcase_add_test(tests, test_change_ends_while_other_database_changes);
    tcase_add_test(tests, test_lapsed_holder_gets_no_lease_before_next_term);
    tcase_add_test(tests, test_new_primary_that_leaves_is_replaced);
    tcase_add_loop_test(tests,
                        test_upstream_that_leaves_while_promoted_is_replaced,
                        0, sizeof(series) / sizeof(series[0]));
    tcase_add_test(tests, test_next_leader_replaces_leaving_primary);
    tcase_add_test(tests, test_lagging_replicas_do_not_extend_change);
    tcase_add_test(tests, test_unproven_replica_does_not_extend_change);
    tcase_add_test(tests, test_overdue_change_waits_for_answers);
    tcase_add_test(tests, test_busy_primary_does_not_count_as_reached);
    tcase_add_test(tests, test_stopped_entries_are_not_awaited);
    tcase_add_test(tests, test_primary_that_leaves_at_once_is_replaced);
    tcase_add_test(tests, test_second_try_ends_in_time);
    tcase_add_test(tests,
                   test_change_kept_before_does_not_delay_leaving_primary);
    tcase_add_test(tests, test_change_ends_when_target_is_lost);
    tcase_add_test(tests, test_all_upstreams_leave_at_once);
    tcase_add_test(tests, test_switchover_to_leaving_target_is_dropped);
    tcase_add_test(tests, test_next_leader_tries_again_once_replica_follows);
    tcase_add_test(tests, test_warned_writes_are_not_lost);
    tcase_add_test(tests,
                   test_leaving_primary_without_successor_stops_in_time);
    tcase_add_test(tests, test_leaving_upstream_promoted_again_stops_in_time);
    tcase_add_test(tests, test_kept_leaving_primary_stops_in_time);
    tcase_add_test(tests, test_next_leader_keeps_time_of_leaving_primary);
    tcase_add_test(tests, test_restarted_leader_stops_leaving_primary);
    tcase_add_test(tests, test_upstream_that_has_left_is_not_kept);
    tcase_add_test(tests, test_silent_successor_does_not_end_service);
    tcase_add_test(tests, test_unfenced_upstream_is_fenced_and_promoted);
    tcase_add_loop_test(
        tests, test_lost_upstream_is_removed_while_entries_fail_in_turn, 0,
        sizeof(series) / sizeof(series[0]));
    tcase_add_loop_test(tests, test_election_adds_one_lease_to_change, 0,
                        sizeof(series) / sizeof(series[0]));
    tcase_add_loop_test(tests, test_election_does_not_extend_change, 0,
                        sizeof(series) / sizeof(series[0]));
    tcase_add_loop_test(tests, test_late_replica_does_not_extend_change, 0,
                        sizeof(series) / sizeof(series[0]));
}

TEST_MAIN("planned_bound", add_tests)
