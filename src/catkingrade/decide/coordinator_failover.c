#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/coordinator_private.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

// A planned switchover lets requests in flight finish for this part of its
// time limit before holders are told to drop them.
#define COORDINATOR_GRACE_DIVISOR 5

// Ends a term: proposes it, and goes on when the log has it.
void
coordinator_supersede(struct leader *leader, struct coordinator_database *db,
                      const struct ck_database *database, const char *reason)
{
    struct ck_change change = {.kind = CK_CHANGE_SUPERSEDE};

    change.ck_change_u.supersede.database = database->name;
    change.ck_change_u.supersede.term = database->term;
    change.ck_change_u.supersede.reason = (char *)(uintptr_t)reason;
    coordinator_set_phase(leader, db, COORDINATOR_PHASE_SUPERSEDING);
    coordinator_propose(leader, &change, database->name,
                        COORDINATOR_REPLY_NONE, 0);
}

// Lists the holders whose leases may cover the term. A lease granted from now
// on comes with the revision that ends it.
static void
coordinator_list_pending_leases(struct leader *leader,
                                struct coordinator_database *db)
{
    free(db->waits);
    db->waits_count = 0;
    size_t count = 0;
    for (struct coordinator_holder *holder = leader->holders; holder != NULL;
         holder = holder->next) {
        count++;
    }
    db->waits = xcalloc(count, sizeof(struct coordinator_pending_lease));
    for (struct coordinator_holder *holder = leader->holders; holder != NULL;
         holder = holder->next) {
        bool holds = coordinator_is_live(leader, holder) ||
                     holder->previous_until_us > leader->now_us;
        if (holds && coordinator_is_entry(holder)) {
            struct coordinator_pending_lease *wait =
                &db->waits[db->waits_count++];
            wait->holder = holder;
            wait->incarnation = holder->daemon.incarnation;
        }
    }
}

// Begins the revocation of the present term at all lease holders. Called when
// the log has the end of the term, or a new leader finds it there.
void
coordinator_begin_revocation(struct leader *leader,
                             struct coordinator_database *db)
{
    if (db->phase != COORDINATOR_PHASE_IDLE &&
        db->phase != COORDINATOR_PHASE_SUPERSEDING) {
        return;
    }
    coordinator_set_phase(leader, db, COORDINATOR_PHASE_REVOKING);
    coordinator_list_pending_leases(leader, db);
    db->is_grace_over = !db->is_planned;
    db->grace_end_us = leader->now_us;
    db->next_notify_us = leader->now_us;
    db->is_incomplete_recorded = false;
    const struct ck_database *database =
        group_find_database(leader->group, db->name);
    coordinator_record(leader, "superseded", database, database->primary,
                       "database=%s term=%" PRIu64 " holders=%zu", db->name,
                       (uint64_t)database->term, db->waits_count);
    coordinator_run_database(leader, db);
}

static void
coordinator_mark_confirmed(struct coordinator_database *db,
                           const struct coordinator_holder *holder,
                           uint64_t incarnation)
{
    for (size_t i = 0; i < db->waits_count; i++) {
        struct coordinator_pending_lease *wait = &db->waits[i];
        if (wait->holder == holder && wait->incarnation == incarnation) {
            wait->confirmed = true;
        }
    }
}

// Takes a holder's confirmations that nothing of the named terms is
// acknowledged any more.
void
coordinator_handle_confirmations(struct leader *leader,
                                 const struct coordinator_holder *holder,
                                 uint64_t incarnation,
                                 const struct ck_revocation *items,
                                 size_t count)
{
    for (size_t i = 0; i < count; i++) {
        struct coordinator_database *db =
            coordinator_find_database(leader, items[i].database);
        const struct ck_database *database =
            db == NULL ? NULL : group_find_database(leader->group, db->name);
        if (database == NULL || db->phase != COORDINATOR_PHASE_REVOKING ||
            items[i].term < database->term) {
            continue;
        }
        coordinator_mark_confirmed(db, holder, incarnation);
        coordinator_run_database(leader, db);
    }
}

// Returns whether a holder's lease no longer covers the term.
static bool
coordinator_is_lease_over(const struct leader *leader,
                          const struct coordinator_pending_lease *wait)
{
    const struct coordinator_holder *holder = wait->holder;
    bool same = holder->daemon.incarnation == wait->incarnation;
    int64_t until_us =
        same ? holder->granted_until_us : holder->previous_until_us;

    if (same && wait->confirmed) {
        return holder->previous_until_us <= leader->now_us;
    }
    return until_us <= leader->now_us &&
           holder->previous_until_us <= leader->now_us;
}

// Pushes the revocation again to those that have not confirmed. One that goes
// on renewing without confirming gets no further lease.
static void
coordinator_send_revocation(struct leader *leader,
                            struct coordinator_database *db)
{
    bool overdue = db->is_grace_over && leader->now_us - db->grace_end_us >=
                                            leader->params.lease_us;

    if (leader->now_us < db->next_notify_us) {
        coordinator_wake_at(leader, db->next_notify_us);
        return;
    }
    db->next_notify_us = leader->now_us + COORDINATOR_NOTIFY_INTERVAL_US;
    coordinator_wake_at(leader, db->next_notify_us);
    for (size_t i = 0; i < db->waits_count; i++) {
        struct coordinator_pending_lease *wait = &db->waits[i];
        if (wait->confirmed || coordinator_is_lease_over(leader, wait)) {
            continue;
        }
        wait->holder->denied = wait->holder->denied || overdue;
        coordinator_notify(leader, wait->holder);
    }
}

static void
coordinator_clear_pending_leases(struct coordinator_database *db)
{
    for (size_t i = 0; i < db->waits_count; i++) {
        db->waits[i].holder->denied = false;
    }
    free(db->waits);
    db->waits = NULL;
    db->waits_count = 0;
}

// Waits until no lease covers the term any more, then collects positions.
static void
coordinator_run_revoking(struct leader *leader,
                         struct coordinator_database *db,
                         const struct ck_database *database)
{
    size_t open = 0;
    int64_t grace_us =
        leader->params.switchover_us / COORDINATOR_GRACE_DIVISOR;

    for (size_t i = 0; i < db->waits_count; i++) {
        const struct coordinator_pending_lease *wait = &db->waits[i];
        if (coordinator_is_lease_over(leader, wait)) {
            continue;
        }
        open++;
        if (wait->holder->granted_until_us > leader->now_us) {
            coordinator_wake_at(leader, wait->holder->granted_until_us);
        }
        if (wait->holder->previous_until_us > leader->now_us) {
            coordinator_wake_at(leader, wait->holder->previous_until_us);
        }
    }
    if (open > 0) {
        if (!db->is_grace_over && leader->now_us - db->phase_us >= grace_us) {
            db->is_grace_over = true;
            db->grace_end_us = leader->now_us;
            db->next_notify_us = leader->now_us;
        }
        coordinator_send_revocation(leader, db);
        return;
    }
    coordinator_clear_pending_leases(db);
    coordinator_record(leader, "revoked", database, database->primary,
                       "database=%s term=%" PRIu64, db->name,
                       (uint64_t)database->term);
    coordinator_set_phase(leader, db, COORDINATOR_PHASE_COLLECTING);
    coordinator_run_collecting(leader, db, database);
}

// Moves a database on that is in a failover or looks for its first primary.
void
coordinator_run_failover(struct leader *leader,
                         struct coordinator_database *db,
                         const struct ck_database *database)
{
    switch (db->phase) {
    case COORDINATOR_PHASE_INITIAL:
        coordinator_run_initial(leader, db, database);
        break;
    case COORDINATOR_PHASE_REVOKING:
        coordinator_run_revoking(leader, db, database);
        break;
    case COORDINATOR_PHASE_COLLECTING:
        coordinator_run_collecting(leader, db, database);
        break;
    default:
        break; // waits for an event
    }
}

static void
coordinator_propose_primary(struct leader *leader,
                            struct coordinator_database *db,
                            const struct ck_database *database)
{
    struct ck_change change = {.kind = CK_CHANGE_PRIMARY};
    struct ck_primary_change *primary = &change.ck_change_u.primary;

    primary->database = database->name;
    primary->term = database->term + 1;
    primary->primary = database->upstreams.upstreams_val[db->candidate].name;
    primary->base = db->base;
    coordinator_set_phase(leader, db, COORDINATOR_PHASE_PUBLISHING);
    coordinator_propose(leader, &change, database->name,
                        COORDINATOR_REPLY_NONE, 0);
}

// Promotes an upstream, or takes it as it is when it is a primary already.
void
coordinator_promote(struct leader *leader, struct coordinator_database *db,
                    const struct ck_database *database, int place)
{
    const struct coordinator_member *member = &db->members[place];
    const struct ck_upstream *upstream =
        &database->upstreams.upstreams_val[place];

    if (!leader->has_quorum) {
        return;
    }
    db->candidate = place;
    if (member->is_primary) {
        // A primary that stays in place goes on with its timeline.
        bool stays = strcmp(upstream->name, database->primary) == 0 &&
                     member->position.timeline == database->base.timeline;
        db->base = stays ? database->base : member->position;
        coordinator_propose_primary(leader, db, database);
        return;
    }
    coordinator_record(
        leader, "promoting", database, upstream->name,
        "database=%s term=%" PRIu64 " timeline=%" PRIu64 " lsn=%" PRIu64,
        db->name, (uint64_t)database->term + 1,
        (uint64_t)member->position.timeline, (uint64_t)member->position.lsn);
    coordinator_set_phase(leader, db, COORDINATOR_PHASE_PROMOTING);
    struct coordinator_action *action =
        coordinator_add_action(leader, COORDINATOR_ACTION_PROMOTE);
    action->upstream.upstream = upstream;
    action->upstream.term = database->term + 1;
}

// Returns the database whose candidate the upstream is, or NULL.
static struct coordinator_database *
coordinator_find_promoting(const struct leader *leader,
                           const char *upstream_name)
{
    const struct ck_upstream *upstream =
        group_find_upstream(leader->group, upstream_name);
    struct coordinator_database *db =
        upstream == NULL
            ? NULL
            : coordinator_find_database(leader, upstream->database);

    if (db == NULL || db->phase != COORDINATOR_PHASE_PROMOTING) {
        return NULL;
    }
    const struct ck_database *database =
        group_find_database(leader->group, db->name);
    return coordinator_find_upstream_index(database, upstream_name) ==
                   db->candidate
               ? db
               : NULL;
}

// Collects positions again after a promotion or its publication has failed.
void
coordinator_restart_collection(struct leader *leader,
                               struct coordinator_database *db)
{
    const struct ck_database *database =
        group_find_database(leader->group, db->name);
    bool first = database == NULL || database->term == 0;

    coordinator_set_phase(leader, db,
                          first ? COORDINATOR_PHASE_INITIAL
                                : COORDINATOR_PHASE_COLLECTING);
}

// Takes the end of a promotion with the position at which its timeline
// begins, and publishes it.
void
coordinator_handle_promoted(struct leader *leader,
                            const struct coordinator_probe *probe)
{
    struct coordinator_database *db =
        coordinator_find_promoting(leader, probe->upstream);

    if (db == NULL) {
        return;
    }
    const struct ck_database *database =
        group_find_database(leader->group, db->name);
    db->base = probe->position;
    coordinator_record(
        leader, "promoted", database, probe->upstream,
        "database=%s term=%" PRIu64 " timeline=%" PRIu64 " lsn=%" PRIu64,
        db->name, (uint64_t)database->term + 1,
        (uint64_t)probe->position.timeline, (uint64_t)probe->position.lsn);
    coordinator_propose_primary(leader, db, database);
}

// Takes the failure of a promotion: positions are collected again.
void
coordinator_handle_promote_failed(struct leader *leader, const char *upstream,
                                  int outcome)
{
    struct coordinator_database *db =
        coordinator_find_promoting(leader, upstream);

    if (db == NULL) {
        return;
    }
    const struct ck_database *database =
        group_find_database(leader->group, db->name);
    coordinator_record(leader, "promotion_failed", database, upstream,
                       "database=%s outcome=%s", db->name,
                       outcome_get_name(outcome));
    coordinator_restart_collection(leader, db);
    coordinator_run_database(leader, db);
}

// Answers the operator's command that a database works on, if any.
void
coordinator_finish_command(struct leader *leader,
                           struct coordinator_database *db, int outcome,
                           const char *text)
{
    if (db->command_token != 0) {
        coordinator_reply_text(leader, COORDINATOR_ACTION_REPLY_COMMAND,
                               db->command_token, outcome, text);
    }
    db->command_token = 0;
    free(db->target);
    db->target = NULL;
    db->is_planned = false;
    db->is_operator_approved = false;
}

// A new term stands: the others are to follow its primary.
void
coordinator_handle_new_primary(struct leader *leader,
                               struct coordinator_database *db,
                               const struct ck_database *database)
{
    bool reached =
        db->target == NULL || strcmp(db->target, database->primary) == 0;

    coordinator_record(leader, "published", database, database->primary,
                       "database=%s term=%" PRIu64, db->name,
                       (uint64_t)database->term);
    coordinator_finish_command(
        leader, db, reached ? OUTCOME_OK : OUTCOME_TIMEOUT,
        reached ? "the new term stands" : "another upstream is the primary");
    coordinator_clear_pending_leases(db);
    suspicion_clear(&db->suspicion);
    coordinator_sync_members(db, database);
    for (size_t i = 0; i < db->members_count; i++) {
        const char *name = database->upstreams.upstreams_val[i].name;
        bool replica = strcmp(name, database->primary) != 0;
        db->members[i].needs_fence = replica;
        db->members[i].needs_follow = replica;
        db->members[i].next_repair_us = 0;
    }
    db->failover_us = database->term > 1 ? leader->now_us : 0;
    coordinator_set_phase(leader, db, COORDINATOR_PHASE_IDLE);
    coordinator_run_database(leader, db);
}
