// Failover of a database. The phases follow each other in this order: the end
// of the term is committed to the log (SUPERSEDING), all leases that may cover
// the term end (REVOKING), the upstreams are probed (COLLECTING), the choice
// of one of them is committed to the log (ORDERING), it is promoted
// (PROMOTING), and the new term is committed to the log (PUBLISHING).

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/coordinator/coordinator_private.h"
#include "catkingrade/decide/promotion/claim.h"
#include "catkingrade/decide/promotion/ordered.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

// A planned switchover lets in-flight requests finish during its time limit
// divided by this. Then holders must abort them.
#define COORDINATOR_GRACE_DIVISOR 5
// A holder that has not confirmed a revocation for this time is recorded.
#define COORDINATOR_AWAITED_RECORD_US 200000
// Longest time from the order of a promotion to its effect: a call and the
// promotion itself.
#define COORDINATOR_ORDER_SETTLE_US 2000000

// Proposes the end of the current term. The failover continues when the change
// is applied.
void
coordinator_supersede(struct coordinator *coordinator,
                      struct coordinator_database *db,
                      const struct ck_database *database, const char *reason)
{
    struct ck_change change = {.kind = CK_CHANGE_SUPERSEDE};

    db->planned_reason = NULL;
    db->is_planned = false;
    change.ck_change_u.supersede.database = database->name;
    change.ck_change_u.supersede.term = database->term;
    change.ck_change_u.supersede.reason = (char *)(uintptr_t)reason;
    coordinator_set_phase(coordinator, db, COORDINATOR_PHASE_SUPERSEDING);
    coordinator_propose(coordinator, &change, database->name,
                        COORDINATOR_REPLY_NONE, 0);
}

// Lists the entries that may acknowledge writes of the current term: under a
// lease, or under the next one, if they had a lease before. Leases that are
// granted to other daemons later need not be listed: they come with the
// revision that ends the term. Returns the number of leases that may cover the
// term.
static size_t
coordinator_list_pending_leases(struct coordinator *coordinator,
                                struct coordinator_database *db)
{
    size_t leases = 0;

    free(db->pending_leases);
    db->pending_leases_count = 0;
    db->pending_leases =
        xcalloc(coordinator->holders_count, sizeof(*db->pending_leases));
    for (struct coordinator_holder *holder = coordinator->holders;
         holder != NULL; holder = holder->next) {
        if (!coordinator_is_entry(holder)) {
            continue;
        }
        struct coordinator_pending_lease *pending =
            &db->pending_leases[db->pending_leases_count++];
        pending->holder = holder;
        pending->incarnation = holder->daemon.incarnation;
        pending->previous_until_us = holder->previous_until_us;
        leases += coordinator_has_any_lease(coordinator, holder) ? 1 : 0;
    }
    return leases;
}

// Stores the end of the holder's lease in the revocations that wait for it.
// Called before the holder gets a new incarnation.
void
coordinator_keep_pending_leases(struct coordinator *coordinator,
                                const struct coordinator_holder *holder)
{
    for (struct coordinator_database *db = coordinator->revocations;
         db != NULL; db = db->next_revoked) {
        for (size_t i = 0; i < db->pending_leases_count; i++) {
            struct coordinator_pending_lease *pending = &db->pending_leases[i];
            if (pending->holder == holder &&
                pending->incarnation == holder->daemon.incarnation) {
                pending->until_us = coordinator_get_term_until_us(holder);
            }
        }
    }
}

static void
coordinator_add_revocation(struct coordinator *coordinator,
                           struct coordinator_database *db)
{
    if (db->is_revoked) {
        return;
    }
    db->is_revoked = true;
    db->next_revoked = coordinator->revocations;
    coordinator->revocations = db;
}

static void
coordinator_remove_revocation(struct coordinator *coordinator,
                              struct coordinator_database *db)
{
    struct coordinator_database **link = &coordinator->revocations;

    while (*link != NULL && *link != db) {
        link = &(*link)->next_revoked;
    }
    if (*link != NULL) {
        *link = db->next_revoked;
    }
    db->is_revoked = false;
}

// Returns the promotion for the next term of a database that is in the log, or
// NULL.
static const struct ck_primary_change *
coordinator_find_order(const struct coordinator *coordinator,
                       const struct ck_database *database)
{
    const struct ck_primary_change *order =
        group_find_promotion(coordinator->group, database->name);

    return order != NULL && order->term == database->term + 1 ? order : NULL;
}

// Notes, as a change of primary begins, whether a promotion for the next term
// is in the log: an earlier leader has ordered it, and it may have taken
// effect.
void
coordinator_load_order(const struct coordinator *coordinator,
                       struct coordinator_database *db,
                       const struct ck_database *database)
{
    db->may_be_superseded =
        coordinator_find_order(coordinator, database) != NULL;
}

// Begins the revocation of the current term at all lease holders. Called when
// the end of the term has been applied, or when a new leader finds an ended
// term in the group state.
void
coordinator_begin_revocation(struct coordinator *coordinator,
                             struct coordinator_database *db)
{
    if (db->phase != COORDINATOR_PHASE_IDLE &&
        db->phase != COORDINATOR_PHASE_SUPERSEDING) {
        return;
    }
    coordinator_set_phase(coordinator, db, COORDINATOR_PHASE_REVOKING);
    size_t leases = coordinator_list_pending_leases(coordinator, db);
    coordinator_add_revocation(coordinator, db);
    if (!db->is_planned) {
        db->planned_us = coordinator->now_us;
        db->lease_end_us = coordinator->now_us + coordinator->params.lease_us +
                           coordinator_get_lease_bound_us(coordinator);
    }
    db->is_grace_over = !db->is_planned;
    db->next_notify_us = coordinator->now_us;
    db->is_incomplete_recorded = false;
    db->awaited = NULL;
    const struct ck_database *database =
        group_find_database(coordinator->group, db->name);
    coordinator_load_order(coordinator, db, database);
    coordinator_record(coordinator, "superseded", database, database->primary,
                       "database=%s term=%" PRIu64 " holders=%zu", db->name,
                       (uint64_t)database->term, leases);
    coordinator_run_database(coordinator, db);
}

static void
coordinator_mark_confirmed(struct coordinator_database *db,
                           const struct coordinator_holder *holder,
                           uint64_t incarnation)
{
    for (size_t i = 0; i < db->pending_leases_count; i++) {
        struct coordinator_pending_lease *pending = &db->pending_leases[i];
        if (pending->holder == holder && pending->incarnation == incarnation) {
            pending->confirmed = true;
        }
    }
}

// Continues the revocations that wait for a lease which was given back.
void
coordinator_end_pending_leases(struct coordinator *coordinator,
                               const struct coordinator_holder *holder)
{
    struct coordinator_database *next = NULL;

    for (struct coordinator_database *db = coordinator->revocations;
         db != NULL; db = next) {
        next = db->next_revoked; // db may leave the list
        coordinator_mark_confirmed(db, holder, holder->daemon.incarnation);
        coordinator_run_database(coordinator, db);
    }
}

// Handles a holder's confirmations: the holder acknowledges no more writes of
// the listed terms.
void
coordinator_handle_confirmations(struct coordinator *coordinator,
                                 const struct coordinator_holder *holder,
                                 uint64_t incarnation,
                                 const struct ck_revocation *items,
                                 size_t count)
{
    for (size_t i = 0; i < count; i++) {
        struct coordinator_database *db =
            coordinator_find_database(coordinator, items[i].database);
        const struct ck_database *database =
            db == NULL ? NULL
                       : group_find_database(coordinator->group, db->name);
        if (database == NULL || !database->superseding ||
            items[i].term < database->term) {
            continue;
        }
        coordinator_mark_confirmed(db, holder, incarnation);
        if (db->phase == COORDINATOR_PHASE_REVOKING) {
            coordinator_run_database(coordinator, db);
        }
    }
}

// Returns the time at which the lease no longer covers the term: its holder
// has confirmed the revocation or the lease has expired, and the leases of the
// holder's earlier incarnations have expired.
static int64_t
coordinator_get_lease_end_us(const struct coordinator_pending_lease *pending)
{
    const struct coordinator_holder *holder = pending->holder;
    bool same = holder->daemon.incarnation == pending->incarnation;
    int64_t until_us =
        same ? coordinator_get_term_until_us(holder) : pending->until_us;

    if (pending->confirmed || until_us < pending->previous_until_us) {
        return pending->previous_until_us;
    }
    return until_us;
}

// Counts the leases that must end before the next term of a database.
size_t
coordinator_count_pending_leases(const struct coordinator_database *db,
                                 int64_t now_us)
{
    size_t count = 0;

    for (size_t i = 0; i < db->pending_leases_count; i++) {
        const struct coordinator_pending_lease *pending =
            &db->pending_leases[i];
        count += coordinator_get_lease_end_us(pending) > now_us ? 1 : 0;
    }
    return count;
}

static bool
coordinator_is_lease_over(const struct coordinator *coordinator,
                          const struct coordinator_pending_lease *pending)
{
    return coordinator_get_lease_end_us(pending) <= coordinator->now_us;
}

// Returns whether a change of primary denies a lease to holders that have not
// confirmed the end of the term: from one lease before the time by which no
// lease may cover the term, and from the end of the revocation until the next
// term is published. A promotion that an earlier leader has ordered comes
// after the end of all leases, so that there must be none of the term any
// more.
static bool
coordinator_denies_leases(const struct coordinator *coordinator,
                          const struct coordinator_database *db)
{
    switch (db->phase) {
    case COORDINATOR_PHASE_REVOKING:
        return db->may_be_superseded ||
               coordinator->now_us >=
                   db->lease_end_us -
                       coordinator_get_lease_bound_us(coordinator);
    case COORDINATOR_PHASE_COLLECTING:
    case COORDINATOR_PHASE_ORDERING:
    case COORDINATOR_PHASE_PROMOTING:
    case COORDINATOR_PHASE_PUBLISHING:
        return true;
    default:
        return false;
    }
}

// Returns whether a revocation lists the holder, which has not confirmed it.
static bool
coordinator_is_unconfirmed(const struct coordinator_database *db,
                           const struct coordinator_holder *holder)
{
    for (size_t i = 0; i < db->pending_leases_count; i++) {
        const struct coordinator_pending_lease *pending =
            &db->pending_leases[i];
        if (pending->holder == holder &&
            pending->incarnation == holder->daemon.incarnation) {
            return !pending->confirmed;
        }
    }
    return false;
}

// Returns whether the holder gets no lease even if it renews, as it may still
// acknowledge writes of a term that ends.
bool
coordinator_is_lease_denied(const struct coordinator *coordinator,
                            const struct coordinator_holder *holder)
{
    for (const struct coordinator_database *db = coordinator->revocations;
         db != NULL; db = db->next_revoked) {
        if (coordinator_denies_leases(coordinator, db) &&
            coordinator_is_unconfirmed(db, holder)) {
            return true;
        }
    }
    return false;
}

// Notifies the holders that have not confirmed the revocation, every
// COORDINATOR_NOTIFY_INTERVAL_US.
static void
coordinator_send_revocation(struct coordinator *coordinator,
                            struct coordinator_database *db)
{
    if (coordinator->now_us < db->next_notify_us) {
        coordinator_wake_at(coordinator, db->next_notify_us);
        return;
    }
    db->next_notify_us = coordinator->now_us + COORDINATOR_NOTIFY_INTERVAL_US;
    coordinator_wake_at(coordinator, db->next_notify_us);
    for (size_t i = 0; i < db->pending_leases_count; i++) {
        struct coordinator_pending_lease *pending = &db->pending_leases[i];
        if (pending->confirmed ||
            coordinator_is_lease_over(coordinator, pending)) {
            continue;
        }
        coordinator_notify(coordinator, pending->holder);
    }
}

void
coordinator_end_revocation(struct coordinator *coordinator,
                           struct coordinator_database *db)
{
    coordinator_remove_revocation(coordinator, db);
    free(db->pending_leases);
    db->pending_leases = NULL;
    db->pending_leases_count = 0;
}

// Waits until no lease covers the term, then begins to collect positions.
static void
coordinator_run_revoking(struct coordinator *coordinator,
                         struct coordinator_database *db,
                         const struct ck_database *database)
{
    const struct coordinator_holder *last = NULL;
    int64_t last_until_us = 0;
    size_t open = 0;
    int64_t grace_us =
        coordinator->params.switchover_us / COORDINATOR_GRACE_DIVISOR;

    for (size_t i = 0; i < db->pending_leases_count; i++) {
        const struct coordinator_pending_lease *pending =
            &db->pending_leases[i];
        if (coordinator_is_lease_over(coordinator, pending)) {
            continue;
        }
        open++;
        int64_t until_us = coordinator_get_lease_end_us(pending);
        if (until_us > last_until_us) {
            last = pending->holder;
            last_until_us = until_us;
        }
        coordinator_wake_at(coordinator, until_us);
    }
    // Most holders confirm at the first notification.
    if (coordinator->now_us - db->phase_us >= COORDINATOR_AWAITED_RECORD_US) {
        coordinator_record_awaited(coordinator, db, last, open, last_until_us);
    }
    if (open > 0) {
        if (!db->is_grace_over &&
            coordinator->now_us - db->phase_us >= grace_us) {
            db->is_grace_over = true;
            db->next_notify_us = coordinator->now_us;
        }
        coordinator_send_revocation(coordinator, db);
        return;
    }
    db->is_grace_over = true;
    coordinator_record(coordinator, "revoked", database, database->primary,
                       "database=%s term=%" PRIu64, db->name,
                       (uint64_t)database->term);
    coordinator_set_phase(coordinator, db, COORDINATOR_PHASE_COLLECTING);
    coordinator_run_collecting(coordinator, db, database);
}

// Continues a failover or the choice of the first primary.
void
coordinator_run_failover(struct coordinator *coordinator,
                         struct coordinator_database *db,
                         const struct ck_database *database)
{
    switch (db->phase) {
    case COORDINATOR_PHASE_INITIAL:
        coordinator_run_initial(coordinator, db, database);
        break;
    case COORDINATOR_PHASE_REVOKING:
        coordinator_run_revoking(coordinator, db, database);
        break;
    case COORDINATOR_PHASE_COLLECTING:
        coordinator_run_collecting(coordinator, db, database);
        break;
    default:
        break; // continues with an event
    }
}

// Proposes that the candidate be promoted for the next term (PROMOTION), or
// that the term begins with it (PRIMARY).
static void
coordinator_propose_candidate(struct coordinator *coordinator,
                              struct coordinator_database *db,
                              const struct ck_database *database,
                              enum ck_change_kind kind)
{
    struct ck_change change = {.kind = kind};
    struct ck_primary_change *primary = &change.ck_change_u.primary;

    primary->database = database->name;
    primary->term = database->term + 1;
    primary->primary =
        database->upstreams.upstreams_val[db->candidate_index].name;
    primary->base = db->base;
    coordinator_set_phase(coordinator, db,
                          kind == CK_CHANGE_PRIMARY
                              ? COORDINATOR_PHASE_PUBLISHING
                              : COORDINATOR_PHASE_ORDERING);
    coordinator_propose(coordinator, &change, database->name,
                        COORDINATOR_REPLY_NONE, 0);
}

// Proposes to record that a promotion has taken effect, with the term that the
// upstream counts since, and the last write of its log before. Precedes the
// proposal of the term.
static void
coordinator_propose_promoted(struct coordinator *coordinator,
                             const struct ck_database *database, uint64_t term,
                             uint64_t last_number)
{
    struct ck_change change = {.kind = CK_CHANGE_PROMOTED};
    struct ck_promoted_change *promoted = &change.ck_change_u.promoted;

    if (term == 0) {
        return;
    }
    promoted->database = database->name;
    promoted->begin.timeline = term;
    promoted->begin.lsn = last_number;
    coordinator_propose(coordinator, &change, database->name,
                        COORDINATOR_REPLY_NONE, 0);
}

// Orders the promotion of the candidate, which is in the log.
static void
coordinator_send_order(struct coordinator *coordinator,
                       struct coordinator_database *db,
                       const struct ck_database *database)
{
    const struct coordinator_member *member =
        &db->members[db->candidate_index];
    const struct ck_upstream *upstream =
        &database->upstreams.upstreams_val[db->candidate_index];

    coordinator_record(
        coordinator, "promoting", database, upstream->name,
        "database=%s term=%" PRIu64 " timeline=%" PRIu64 " lsn=%" PRIu64,
        db->name, (uint64_t)database->term + 1,
        (uint64_t)member->position.timeline, (uint64_t)member->position.lsn);
    db->ordered_us = coordinator->now_us;
    db->is_order_refused = false;
    coordinator_set_phase(coordinator, db, COORDINATOR_PHASE_PROMOTING);
    struct coordinator_action *action =
        coordinator_add_action(coordinator, COORDINATOR_ACTION_PROMOTE);
    action->upstream.upstream = upstream;
    action->upstream.term = database->term + 1;
}

// Returns whether the promotion of the upstream with this index is in the log.
static bool
coordinator_is_ordered(const struct coordinator *coordinator,
                       const struct ck_database *database, int index)
{
    const struct ck_primary_change *order =
        coordinator_find_order(coordinator, database);

    return order != NULL &&
           strcmp(order->primary,
                  database->upstreams.upstreams_val[index].name) == 0;
}

// Handles the order of a promotion that has got into the log. It is not sent
// without a quorum, as this leader may have been replaced, nor if the upstream
// was removed meanwhile.
void
coordinator_handle_ordered(struct coordinator *coordinator,
                           struct coordinator_database *db)
{
    const struct ck_database *database =
        group_find_database(coordinator->group, db->name);

    if (db->phase != COORDINATOR_PHASE_ORDERING) {
        return;
    }
    (void)coordinator_sync_members(db, database);
    if (!coordinator->has_quorum ||
        !coordinator_is_ordered(coordinator, database, db->candidate_index)) {
        coordinator_restart_collection(coordinator, db);
        coordinator_run_database(coordinator, db);
        return;
    }
    coordinator_send_order(coordinator, db, database);
}

// Continues with the upstream whose promotion is in the log, from an earlier
// leader or from an order of this one that seems to have failed. Returns false
// if another upstream may be chosen.
bool
coordinator_continue_order(struct coordinator *coordinator,
                           struct coordinator_database *db,
                           const struct ck_database *database)
{
    const struct ck_primary_change *order =
        coordinator_find_order(coordinator, database);

    if (order == NULL) {
        return false;
    }
    int index = coordinator_find_upstream_index(database, order->primary);
    int64_t since_us =
        db->ordered_us == 0 ? coordinator->elected_us : db->ordered_us;
    struct ordered_params params = {
        .is_member = index >= 0,
        .answers = index >= 0 && db->members[index].answered,
        .is_regressed = index >= 0 && db->members[index].is_regressed,
        .is_refused = db->is_order_refused,
        .waited_us = coordinator->now_us - since_us,
        .settle_us = COORDINATOR_ORDER_SETTLE_US,
    };

    switch (ordered_decide(&params)) {
    case ORDERED_CHOOSE:
        return false;
    case ORDERED_CONTINUE:
        coordinator_promote(coordinator, db, database, index);
        return true;
    case ORDERED_WAIT:
        coordinator_wake_at(coordinator,
                            since_us + COORDINATOR_ORDER_SETTLE_US);
        return true;
    }
    return false;
}

// Publishes the upstream with this index, which claims to be the primary, or
// fences it if nothing in the log supports the claim.
static void
coordinator_handle_claim(struct coordinator *coordinator,
                         struct coordinator_database *db,
                         const struct ck_database *database, int index)
{
    const struct coordinator_member *member = &db->members[index];
    const struct claim_params params = {
        .is_first = database->term == 0 && coordinator_have_all_answered(db),
        .is_last_primary = strcmp(member->name, database->primary) == 0,
        .is_ordered = coordinator_is_ordered(coordinator, database, index),
        .may_be_superseded = db->may_be_superseded,
        .can_be_demoted = coordinator->params.fence_demotes,
    };
    enum claim_verdict verdict = claim_judge(&params);

    if (verdict == CLAIM_UNKNOWN) {
        coordinator_order_fence(coordinator, db, database, (size_t)index);
        return;
    }
    db->candidate_index = index;
    db->candidate_by = claim_get_name(verdict);
    db->is_kept = params.is_last_primary;
    // If the old primary stays, its timeline and thus the base of the term
    // stay too.
    bool stays = verdict == CLAIM_KEPT &&
                 (!member->answered ||
                  member->position.timeline == database->base.timeline);
    db->base = stays ? database->base : member->position;
    if (verdict == CLAIM_ORDERED || verdict == CLAIM_TRUSTED) {
        coordinator_propose_promoted(coordinator, database, member->term,
                                     member->last_write.lsn);
    }
    coordinator_propose_candidate(coordinator, db, database,
                                  CK_CHANGE_PRIMARY);
}

// Makes the upstream with this index the primary of the next term. One that
// claims to be the primary is published or fenced; any other is promoted. The
// promotion gets into the log before it is ordered, so that the next leader
// continues with it. Does nothing without a quorum.
void
coordinator_promote(struct coordinator *coordinator,
                    struct coordinator_database *db,
                    const struct ck_database *database, int index)
{
    const struct coordinator_member *member = &db->members[index];

    if (!coordinator->has_quorum) {
        return;
    }
    if (member->is_primary) {
        coordinator_handle_claim(coordinator, db, database, index);
        return;
    }
    db->candidate_index = index;
    db->is_kept = strcmp(member->name, database->primary) == 0;
    if (coordinator_is_ordered(coordinator, database, index)) {
        coordinator_send_order(coordinator, db, database);
        return;
    }
    db->base = member->position;
    coordinator_propose_candidate(coordinator, db, database,
                                  CK_CHANGE_PROMOTION);
}

// Returns the database that is promoting this upstream, or NULL.
static struct coordinator_database *
coordinator_find_promoting(const struct coordinator *coordinator,
                           const char *upstream_name)
{
    const struct ck_upstream *upstream =
        group_find_upstream(coordinator->group, upstream_name);
    struct coordinator_database *db =
        upstream == NULL
            ? NULL
            : coordinator_find_database(coordinator, upstream->database);

    if (db == NULL || db->phase != COORDINATOR_PHASE_PROMOTING) {
        return NULL;
    }
    const struct ck_database *database =
        group_find_database(coordinator->group, db->name);
    return coordinator_find_upstream_index(database, upstream_name) ==
                   db->candidate_index
               ? db
               : NULL;
}

// Returns to the collection of positions after a promotion or its publication
// has failed.
void
coordinator_restart_collection(struct coordinator *coordinator,
                               struct coordinator_database *db)
{
    const struct ck_database *database =
        group_find_database(coordinator->group, db->name);
    bool first = database == NULL || database->term == 0;

    coordinator_set_phase(coordinator, db,
                          first ? COORDINATOR_PHASE_INITIAL
                                : COORDINATOR_PHASE_COLLECTING);
}

// Handles a completed promotion: proposes the new term. The position is the
// start of the new timeline.
void
coordinator_handle_promoted(struct coordinator *coordinator,
                            const struct coordinator_probe *probe)
{
    struct coordinator_database *db =
        coordinator_find_promoting(coordinator, probe->upstream);

    if (db == NULL) {
        return;
    }
    const struct ck_database *database =
        group_find_database(coordinator->group, db->name);
    db->base = probe->position;
    db->candidate_by = "promotion";
    coordinator_record(
        coordinator, "promoted", database, probe->upstream,
        "database=%s term=%" PRIu64 " timeline=%" PRIu64 " lsn=%" PRIu64,
        db->name, (uint64_t)database->term + 1,
        (uint64_t)probe->position.timeline, (uint64_t)probe->position.lsn);
    coordinator_propose_promoted(coordinator, database, probe->term,
                                 probe->last_write.lsn);
    coordinator_propose_candidate(coordinator, db, database,
                                  CK_CHANGE_PRIMARY);
}

// Handles a failed promotion: positions are collected again.
void
coordinator_handle_promote_failed(struct coordinator *coordinator,
                                  const char *upstream, int outcome)
{
    struct coordinator_database *db =
        coordinator_find_promoting(coordinator, upstream);

    if (db == NULL) {
        return;
    }
    const struct ck_database *database =
        group_find_database(coordinator->group, db->name);
    coordinator_record(coordinator, "promotion_failed", database, upstream,
                       "database=%s outcome=%s", db->name,
                       outcome_get_name(outcome));
    db->is_order_refused = outcome == OUTCOME_NOT_RUN;
    db->may_be_superseded = db->may_be_superseded || !db->is_order_refused;
    // Its last call may have been sent just now.
    db->ordered_us = coordinator->now_us;
    coordinator_restart_collection(coordinator, db);
    coordinator_run_database(coordinator, db);
}

// Replies to the pending operator command of a database, if any, and clears
// it.
void
coordinator_finish_command(struct coordinator *coordinator,
                           struct coordinator_database *db, int outcome,
                           const char *text)
{
    if (db->command_token != 0) {
        coordinator_reply_text(coordinator, COORDINATOR_ACTION_REPLY_COMMAND,
                               db->command_token, outcome, text);
    }
    db->command_token = 0;
    free(db->target);
    db->target = NULL;
    db->is_planned = false;
    db->is_operator_approved = false;
}

// Handles the published primary of a new term: fences the other upstreams and
// makes them follow it.
void
coordinator_handle_new_primary(struct coordinator *coordinator,
                               struct coordinator_database *db,
                               const struct ck_database *database)
{
    bool planned = db->is_planned;
    bool reached =
        db->target == NULL || strcmp(db->target, database->primary) == 0;

    coordinator_record(coordinator, "published", database, database->primary,
                       "database=%s term=%" PRIu64 " by=%s", db->name,
                       (uint64_t)database->term,
                       db->candidate_by == NULL ? "" : db->candidate_by);
    db->candidate_by = NULL;
    coordinator_finish_command(
        coordinator, db, reached ? OUTCOME_OK : OUTCOME_TIMEOUT,
        reached ? "the new term stands" : "another upstream is the primary");
    coordinator_end_revocation(coordinator, db);
    db->ordered_us = 0;
    db->is_order_refused = false;
    db->is_demoted = false;
    suspicion_clear(&db->suspicion);
    coordinator_sync_members(db, database);
    for (size_t i = 0; i < db->members_count; i++) {
        const char *name = database->upstreams.upstreams_val[i].name;
        bool replica = strcmp(name, database->primary) != 0;
        db->members[i].needs_fence = replica;
        db->members[i].needs_follow = replica;
        db->members[i].next_repair_us = 0;
    }
    coordinator_clear_lagging(db);
    if (planned) {
        coordinator->change_cost_us = coordinator->now_us - db->changed_us;
    }
    else {
        db->failover_us = database->term > 1 ? coordinator->now_us : 0;
    }
    db->changed_us = database->term > 1 ? coordinator->now_us : 0;
    db->kept_us = db->is_kept ? coordinator->now_us : 0;
    coordinator_set_phase(coordinator, db, COORDINATOR_PHASE_IDLE);
    coordinator_run_database(coordinator, db);
}
