#include "test/rig/promotion_rig.h"

#include <check.h>
#include <stdio.h>
#include <string.h>

#include "catkingrade/decide/group/declaration.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"
#include "test/fake/changes.h"

#define DATABASE    "roster1"
#define START_US    INT64_C(1000000)
#define ANNOUNCE_US INT64_C(500000)
#define ORDER_STEPS 1500

static void promotion_rig_step(struct promotion_rig *rig,
                               struct coordinator_event *event);

const struct ck_database *
promotion_rig_get_database(const struct promotion_rig *rig)
{
    return group_find_database(rig->group, DATABASE);
}

static struct promotion_rig_upstream *
promotion_rig_find(struct promotion_rig *rig, const char *name)
{
    for (size_t i = 0; i < PROMOTION_RIG_UPSTREAMS; i++) {
        if (strcmp(rig->upstreams[i].name, name) == 0) {
            return &rig->upstreams[i];
        }
    }
    ck_abort_msg("no upstream %s", name);
    return NULL;
}

static void
promotion_rig_apply(struct promotion_rig *rig,
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
    if (rig->loses_promotions && payload.change.kind == CK_CHANGE_PROMOTION) {
        codec_free((xdrproc_t)xdr_ck_log_payload, &payload);
        return;
    }
    group_apply_payload(rig->group, group_get_applied_index(rig->group) + 1,
                        &payload, &result);
    event.token = action->token;
    event.applied.change = &payload.change;
    event.applied.result = &result;
    promotion_rig_step(rig, &event);
    codec_free((xdrproc_t)xdr_ck_log_payload, &payload);
}

// Fills in the term that an upstream counts and its last write.
static void
promotion_rig_say_term(const struct promotion_rig *rig,
                       const struct promotion_rig_upstream *upstream,
                       struct coordinator_probe *probe)
{
    if (rig->counts_terms) {
        probe->term = upstream->timeline;
        probe->last_write.timeline = upstream->written;
        probe->last_write.lsn = upstream->lsn;
    }
}

// Answers FENCE and FOLLOW orders. A fence ends the upstream's claim
// to be the primary.
static void
promotion_rig_finish_repair(struct promotion_rig *rig, const char *name,
                            enum coordinator_event_kind kind)
{
    struct promotion_rig_upstream *upstream = promotion_rig_find(rig, name);
    struct coordinator_event event = {.kind = kind};

    event.done.upstream = name;
    event.done.outcome =
        upstream->is_silent || upstream->is_cut ? OUTCOME_TIMEOUT : OUTCOME_OK;
    if (kind == COORDINATOR_EVENT_FENCED && !upstream->is_silent &&
        !upstream->is_cut) {
        rig->fences_count += upstream->is_primary ? 1 : 0;
        upstream->is_primary = upstream->is_primary && rig->fences_only;
    }
    promotion_rig_step(rig, &event);
}

static void
promotion_rig_report_promoted(struct promotion_rig *rig,
                              const struct promotion_rig_upstream *upstream)
{
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_PROMOTED};

    event.probe.upstream = upstream->name;
    event.probe.is_primary = true;
    event.probe.position.timeline = upstream->timeline;
    event.probe.position.lsn = upstream->lsn;
    promotion_rig_say_term(rig, upstream, &event.probe);
    promotion_rig_step(rig, &event);
}

// Returns whether an order changes nothing: the upstream was promoted last,
// and still is the primary.
static bool
promotion_rig_is_leading(const struct promotion_rig *rig,
                         const struct promotion_rig_upstream *upstream)
{
    return upstream == &rig->upstreams[rig->promoted] && upstream->is_primary;
}

// A fence that is under way at an upstream ends as the driver promotes it.
static void
promotion_rig_overtake_fence(struct promotion_rig *rig,
                             struct promotion_rig_upstream *upstream)
{
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_FENCED};

    if (upstream->fenced_us == 0) {
        return;
    }
    upstream->fenced_us = 0;
    event.done.upstream = upstream->name;
    event.done.outcome = OUTCOME_CONFLICT;
    promotion_rig_step(rig, &event);
}

// An upstream that is being promoted, or was promoted last, takes no second
// order. One that claims to be the primary is seen as promoted at once.
static void
promotion_rig_order(struct promotion_rig *rig, const char *name)
{
    struct coordinator_event event = {.kind =
                                          COORDINATOR_EVENT_PROMOTE_FAILED};
    struct promotion_rig_upstream *upstream = promotion_rig_find(rig, name);

    promotion_rig_overtake_fence(rig, upstream);
    rig->orders_count++;
    (void)snprintf(rig->ordered, sizeof(rig->ordered), "%s", name);
    if (!rig->refuses_orders && upstream->promoted_us == 0 &&
        !promotion_rig_is_leading(rig, upstream)) {
        upstream->promoted_us = rig->now_us + rig->promotion_us;
    }
    if (rig->fails_orders || rig->refuses_orders) {
        event.done.upstream = name;
        event.done.outcome =
            rig->refuses_orders ? OUTCOME_NOT_RUN : OUTCOME_TIMEOUT;
        promotion_rig_step(rig, &event);
    }
    else if (upstream->is_primary) {
        promotion_rig_report_promoted(rig, upstream);
    }
}

static void
promotion_rig_fence(struct promotion_rig *rig, const char *name)
{
    if (rig->fence_us > 0) {
        promotion_rig_find(rig, name)->fenced_us = rig->now_us + rig->fence_us;
        return;
    }
    promotion_rig_finish_repair(rig, name, COORDINATOR_EVENT_FENCED);
}

static void
promotion_rig_probe(struct promotion_rig *rig, const char *name)
{
    struct promotion_rig_upstream *upstream = promotion_rig_find(rig, name);

    upstream->is_probed = true;
    upstream->probed_us = rig->now_us;
    upstream->probed_primary = upstream->is_primary;
}

static void
promotion_rig_run_action(struct promotion_rig *rig,
                         const struct coordinator_action *action)
{
    switch (action->kind) {
    case COORDINATOR_ACTION_PROPOSE:
        if (!rig->loses_proposals) {
            promotion_rig_apply(rig, action);
        }
        break;
    case COORDINATOR_ACTION_PROBE:
        promotion_rig_probe(rig, action->upstream.upstream->name);
        break;
    case COORDINATOR_ACTION_PROMOTE:
        promotion_rig_order(rig, action->upstream.upstream->name);
        break;
    case COORDINATOR_ACTION_FENCE:
        promotion_rig_fence(rig, action->upstream.upstream->name);
        break;
    case COORDINATOR_ACTION_FOLLOW:
        promotion_rig_finish_repair(rig, action->upstream.upstream->name,
                                    COORDINATOR_EVENT_FOLLOWED);
        break;
    default:
        break;
    }
}

static void
promotion_rig_step(struct promotion_rig *rig, struct coordinator_event *event)
{
    struct coordinator_actions actions = {0};

    event->quorum = true;
    coordinator_step(rig->coordinator, rig->now_us, event, &actions);
    for (size_t i = 0; i < actions.count; i++) {
        promotion_rig_run_action(rig, &actions.items[i]);
    }
    coordinator_actions_free(&actions);
}

static void
promotion_rig_answer_probe(struct promotion_rig *rig,
                           struct promotion_rig_upstream *upstream)
{
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_PROBED};

    upstream->is_probed = false;
    event.probe.upstream = upstream->name;
    if (upstream->is_silent || upstream->is_cut) {
        event.kind = COORDINATOR_EVENT_PROBE_FAILED;
    }
    else if (upstream->is_busy) {
        event.probe.is_busy = true;
        event.probe.is_primary =
            strcmp(promotion_rig_get_database(rig)->primary, upstream->name) ==
            0;
    }
    else {
        event.probe.is_primary = rig->answer_us > 0 ? upstream->probed_primary
                                                    : upstream->is_primary;
        event.probe.position.timeline = upstream->timeline;
        event.probe.position.lsn = upstream->lsn;
        promotion_rig_say_term(rig, upstream, &event.probe);
    }
    promotion_rig_step(rig, &event);
}

static void
promotion_rig_announce(struct promotion_rig *rig,
                       const struct promotion_rig_upstream *upstream)
{
    struct ck_upstream announced = changes_make_upstream(
        upstream->name, DATABASE, "noord", upstream->name);
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_ANNOUNCE};

    event.announce = &announced;
    promotion_rig_step(rig, &event);
}

// The promotion of one upstream takes effect: it begins a new timeline, and
// the others stop being primaries once they hear of it.
static void
promotion_rig_promote(struct promotion_rig *rig,
                      struct promotion_rig_upstream *upstream)
{
    uint64_t timeline = 0;

    for (size_t i = 0; i < PROMOTION_RIG_UPSTREAMS; i++) {
        struct promotion_rig_upstream *other = &rig->upstreams[i];
        other->is_primary = other->is_primary && other->is_silent;
        if (other->timeline > timeline) {
            timeline = other->timeline;
        }
    }
    rig->promoted = (size_t)(upstream - rig->upstreams);
    upstream->promoted_us = 0;
    upstream->is_primary = true;
    upstream->timeline = timeline + 1;
    if (!upstream->is_silent) {
        promotion_rig_report_promoted(rig, upstream);
    }
}

// Counts a step in which the primary of a term that is in force is not the one
// that was promoted last, so that its writes would be acknowledged and lost,
// or is a replica.
static void
promotion_rig_check_split(struct promotion_rig *rig)
{
    const struct ck_database *database = promotion_rig_get_database(rig);

    if (database == NULL || database->term == 0 || database->superseding) {
        return;
    }
    const struct promotion_rig_upstream *primary =
        promotion_rig_find(rig, database->primary);
    if (primary != &rig->upstreams[rig->promoted] || !primary->is_primary) {
        rig->split_count++;
    }
}

static void
promotion_rig_advance(struct promotion_rig *rig)
{
    struct coordinator_event tick = {.kind = COORDINATOR_EVENT_TICK};

    rig->now_us += PROMOTION_RIG_STEP_US;
    promotion_rig_step(rig, &tick);
    for (size_t i = 0; i < PROMOTION_RIG_UPSTREAMS; i++) {
        struct promotion_rig_upstream *upstream = &rig->upstreams[i];
        if (upstream->is_probed &&
            rig->now_us >= upstream->probed_us + rig->answer_us) {
            promotion_rig_answer_probe(rig, upstream);
        }
        if (upstream->fenced_us != 0 && upstream->fenced_us <= rig->now_us) {
            upstream->fenced_us = 0;
            promotion_rig_finish_repair(rig, upstream->name,
                                        COORDINATOR_EVENT_FENCED);
        }
        if (upstream->promoted_us != 0 &&
            upstream->promoted_us <= rig->now_us) {
            promotion_rig_promote(rig, upstream);
        }
        if (!upstream->is_silent && rig->now_us % ANNOUNCE_US == 0) {
            promotion_rig_announce(rig, upstream);
        }
    }
    promotion_rig_check_split(rig);
}

void
promotion_rig_run(struct promotion_rig *rig, int64_t duration_us)
{
    int64_t end_us = rig->now_us + duration_us;

    while (rig->now_us < end_us) {
        promotion_rig_advance(rig);
    }
}

static void
promotion_rig_declare(struct promotion_rig *rig, const char *name,
                      uint64_t version, unsigned confirm)
{
    struct ck_change change = {.kind = CK_CHANGE_DECLARATION};
    struct group_result result = {0};
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_APPLIED};
    struct ck_route route = {.name = (char *)"booking",
                             .database = (char *)(uintptr_t)name,
                             .deadline_ms = 1000};
    struct ck_declared_database database = {.name = (char *)(uintptr_t)name,
                                            .connections = 33,
                                            .confirm = confirm};
    struct ck_declaration declaration = {
        .routes = {.routes_len = 1, .routes_val = &route},
        .databases = {.databases_len = 1, .databases_val = &database},
        .original = {.original_len = 4, .original_val = (char *)"text"}};

    ck_assert_int_eq(declaration_pack(&declaration, version,
                                      &change.ck_change_u.declaration),
                     OUTCOME_OK);
    ck_assert_int_eq(changes_apply(rig->group, 0, &change, "", -1, &result),
                     OUTCOME_OK);
    if (rig->coordinator != NULL) {
        event.applied.change = &change;
        event.applied.result = &result;
        promotion_rig_step(rig, &event);
    }
    declaration_free_packed(&change.ck_change_u.declaration);
}

static void
promotion_rig_add_upstreams(struct promotion_rig *rig)
{
    for (size_t i = 0; i < PROMOTION_RIG_UPSTREAMS; i++) {
        struct promotion_rig_upstream *upstream = &rig->upstreams[i];
        (void)snprintf(upstream->name, sizeof(upstream->name), "u%zu", i);
        upstream->timeline = 1;
        upstream->written = 1;
        upstream->lsn = 50;
        struct ck_upstream announced = changes_make_upstream(
            upstream->name, DATABASE, "noord", upstream->name);
        ck_assert_int_eq(changes_apply_upstream(rig->group, &announced),
                         OUTCOME_OK);
    }
    rig->upstreams[0].is_primary = true;
}

static void
promotion_rig_begin_first_term(struct promotion_rig *rig)
{
    struct ck_change change = {.kind = CK_CHANGE_PRIMARY};

    change.ck_change_u.primary.database = (char *)DATABASE;
    change.ck_change_u.primary.term = 1;
    change.ck_change_u.primary.primary = rig->upstreams[0].name;
    change.ck_change_u.primary.base.timeline = 1;
    ck_assert_int_eq(changes_apply(rig->group, 0, &change, "", -1, NULL),
                     OUTCOME_OK);
}

static void
promotion_rig_elect(struct promotion_rig *rig)
{
    struct coordinator_params params;
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_ELECTED,
                                      .leader_term = ++rig->leader_term};

    coordinator_params_init(&params);
    params.fence_demotes = !rig->fences_only;
    rig->coordinator = coordinator_create(&params, rig->group);
    promotion_rig_step(rig, &event);
}

static void
promotion_rig_init(struct promotion_rig *rig, unsigned confirm)
{
    memset(rig, 0, sizeof(*rig));
    rig->now_us = START_US;
    rig->promotion_us = 50 * PROMOTION_RIG_STEP_US;
    rig->group = group_create(GROUP_FLEET_NAME);
    promotion_rig_declare(rig, DATABASE, ++rig->declared_version, confirm);
    promotion_rig_add_upstreams(rig);
}

void
promotion_rig_start(struct promotion_rig *rig, unsigned confirm)
{
    promotion_rig_init(rig, confirm);
    promotion_rig_begin_first_term(rig);
    promotion_rig_elect(rig);
    promotion_rig_run(rig, ANNOUNCE_US);
}

void
promotion_rig_start_without_primary(struct promotion_rig *rig)
{
    promotion_rig_init(rig, 0);
    rig->upstreams[0].is_silent = true;
    promotion_rig_elect(rig);
}

void
promotion_rig_finish(struct promotion_rig *rig)
{
    coordinator_destroy(rig->coordinator);
    group_destroy(rig->group);
}

void
promotion_rig_run_until_ordered(struct promotion_rig *rig)
{
    for (int i = 0; i < ORDER_STEPS && rig->orders_count == 0; i++) {
        promotion_rig_run(rig, PROMOTION_RIG_STEP_US);
    }
    ck_assert_uint_ge(rig->orders_count, 1);
}

void
promotion_rig_fail_order(struct promotion_rig *rig)
{
    struct coordinator_event event = {.kind =
                                          COORDINATOR_EVENT_PROMOTE_FAILED};

    event.done.upstream = rig->ordered;
    event.done.outcome = OUTCOME_TIMEOUT;
    promotion_rig_step(rig, &event);
}

void
promotion_rig_add_changes(struct promotion_rig *rig, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        struct ck_change change = {.kind = CK_CHANGE_DAEMON};
        change.ck_change_u.daemon =
            changes_make_daemon("front-0", "10.3.0.1", i + 1);
        ck_assert_int_eq(changes_apply(rig->group, 0, &change, "", -1, NULL),
                         OUTCOME_OK);
    }
}

void
promotion_rig_lose_primary(struct promotion_rig *rig)
{
    const struct ck_database *database = promotion_rig_get_database(rig);
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_ANNOUNCE};
    struct ck_upstream lost = changes_make_upstream(
        database->primary, DATABASE, "noord", database->primary);

    promotion_rig_find(rig, database->primary)->is_silent = true;
    lost.state = CK_UPSTREAM_LOST;
    event.announce = &lost;
    promotion_rig_step(rig, &event);
}

void
promotion_rig_set_declared(struct promotion_rig *rig, bool is_declared)
{
    promotion_rig_declare(rig, is_declared ? DATABASE : "roster2",
                          ++rig->declared_version, 0);
}

void
promotion_rig_supersede(struct promotion_rig *rig)
{
    const struct ck_database *database = promotion_rig_get_database(rig);
    struct ck_change change = {.kind = CK_CHANGE_SUPERSEDE};
    struct group_result result = {0};
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_APPLIED};

    change.ck_change_u.supersede.database = database->name;
    change.ck_change_u.supersede.term = database->term;
    change.ck_change_u.supersede.reason = (char *)"test";
    ck_assert_int_eq(changes_apply(rig->group, 0, &change, "", -1, &result),
                     OUTCOME_OK);
    event.applied.change = &change;
    event.applied.result = &result;
    promotion_rig_step(rig, &event);
}

void
promotion_rig_change_leader(struct promotion_rig *rig)
{
    coordinator_destroy(rig->coordinator);
    for (size_t i = 0; i < PROMOTION_RIG_UPSTREAMS; i++) {
        rig->upstreams[i].is_probed = false;
    }
    rig->loses_proposals = false;
    promotion_rig_elect(rig);
}
