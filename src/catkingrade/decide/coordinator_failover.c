#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/coordinator_private.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

// A planned switchover lets requests in flight finish for this part of its
// time limit before holders are told to drop them.
#define COORDINATOR_SOFT_PART 5

// Ends a term: proposes it, and goes on when the log has it.
void
coordinator_supersede(struct coordinator *coordinator,
                      struct coordinator_database *db,
                      const struct ck_database *database, const char *reason)
{
    struct ck_change change = {.kind = CK_CHANGE_SUPERSEDE};

    change.ck_change_u.supersede.database = database->name;
    change.ck_change_u.supersede.term = database->term;
    change.ck_change_u.supersede.reason = (char *)(uintptr_t)reason;
    coordinator_set_phase(coordinator, db, COORDINATOR_SUPERSEDING);
    coordinator_propose(coordinator, &change, database->name,
                        COORDINATOR_REPLY_NONE, 0);
}

// Lists the holders whose leases may cover the term. A lease granted from now
// on comes with the revision that ends it.
static void
coordinator_list_waits(struct coordinator *coordinator,
                       struct coordinator_database *db)
{
    free(db->waits);
    db->waits_count = 0;
    size_t count = 0;
    for (struct coordinator_holder *holder = coordinator->holders;
         holder != NULL; holder = holder->next) {
        count++;
    }
    db->waits = xcalloc(count, sizeof(struct coordinator_wait));
    for (struct coordinator_holder *holder = coordinator->holders;
         holder != NULL; holder = holder->next) {
        bool holds = coordinator_is_live(coordinator, holder) ||
                     holder->old_until_us > coordinator->now_us;
        if (holds && coordinator_is_entry(holder)) {
            struct coordinator_wait *wait = &db->waits[db->waits_count++];
            wait->holder = holder;
            wait->incarnation = holder->daemon.incarnation;
        }
    }
}

// Begins the revocation of the present term at all lease holders. Called when
// the log has the end of the term, or a new leader finds it there.
void
coordinator_begin_revocation(struct coordinator *coordinator,
                             struct coordinator_database *db)
{
    if (db->phase != COORDINATOR_IDLE &&
        db->phase != COORDINATOR_SUPERSEDING) {
        return;
    }
    coordinator_set_phase(coordinator, db, COORDINATOR_REVOKING);
    coordinator_list_waits(coordinator, db);
    db->is_hard = !db->is_planned;
    db->hard_us = coordinator->now_us;
    db->next_notify_us = coordinator->now_us;
    db->waits_recorded = false;
    const struct ck_database *database =
        group_find_database(coordinator->group, db->name);
    coordinator_record(coordinator, "superseded", database, database->primary,
                       "database=%s term=%" PRIu64 " holders=%zu", db->name,
                       (uint64_t)database->term, db->waits_count);
    coordinator_run_database(coordinator, db);
}

static void
coordinator_confirm_database(struct coordinator_database *db,
                             const struct coordinator_holder *holder,
                             uint64_t incarnation)
{
    for (size_t i = 0; i < db->waits_count; i++) {
        struct coordinator_wait *wait = &db->waits[i];
        if (wait->holder == holder && wait->incarnation == incarnation) {
            wait->confirmed = true;
        }
    }
}

// Takes a holder's confirmations that nothing of the named terms is
// acknowledged any more.
void
coordinator_confirm(struct coordinator *coordinator,
                    const struct coordinator_holder *holder,
                    uint64_t incarnation, const struct ck_revocation *items,
                    size_t count)
{
    for (size_t i = 0; i < count; i++) {
        struct coordinator_database *db =
            coordinator_find_database(coordinator, items[i].database);
        const struct ck_database *database =
            db == NULL ? NULL
                       : group_find_database(coordinator->group, db->name);
        if (database == NULL || db->phase != COORDINATOR_REVOKING ||
            items[i].term < database->term) {
            continue;
        }
        coordinator_confirm_database(db, holder, incarnation);
        coordinator_run_database(coordinator, db);
    }
}

// Returns whether a holder's lease no longer covers the term.
static bool
coordinator_is_wait_over(const struct coordinator *coordinator,
                         const struct coordinator_wait *wait)
{
    const struct coordinator_holder *holder = wait->holder;
    bool same = holder->daemon.incarnation == wait->incarnation;
    int64_t until_us = same ? holder->granted_until_us : holder->old_until_us;

    if (same && wait->confirmed) {
        return holder->old_until_us <= coordinator->now_us;
    }
    return until_us <= coordinator->now_us &&
           holder->old_until_us <= coordinator->now_us;
}

// Pushes the revocation again to those that have not confirmed. One that goes
// on renewing without confirming gets no further lease.
static void
coordinator_push_revocation(struct coordinator *coordinator,
                            struct coordinator_database *db)
{
    bool overdue = db->is_hard && coordinator->now_us - db->hard_us >=
                                      coordinator->params.lease_us;

    if (coordinator->now_us < db->next_notify_us) {
        coordinator_wake_at(coordinator, db->next_notify_us);
        return;
    }
    db->next_notify_us = coordinator->now_us + COORDINATOR_NOTIFY_US;
    coordinator_wake_at(coordinator, db->next_notify_us);
    for (size_t i = 0; i < db->waits_count; i++) {
        struct coordinator_wait *wait = &db->waits[i];
        if (wait->confirmed || coordinator_is_wait_over(coordinator, wait)) {
            continue;
        }
        wait->holder->denied = wait->holder->denied || overdue;
        coordinator_notify(coordinator, wait->holder);
    }
}

static void
coordinator_end_waits(struct coordinator_database *db)
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
coordinator_run_revoking(struct coordinator *coordinator,
                         struct coordinator_database *db,
                         const struct ck_database *database)
{
    size_t open = 0;
    int64_t soft_us =
        coordinator->params.switchover_us / COORDINATOR_SOFT_PART;

    for (size_t i = 0; i < db->waits_count; i++) {
        const struct coordinator_wait *wait = &db->waits[i];
        if (coordinator_is_wait_over(coordinator, wait)) {
            continue;
        }
        open++;
        if (wait->holder->granted_until_us > coordinator->now_us) {
            coordinator_wake_at(coordinator, wait->holder->granted_until_us);
        }
        if (wait->holder->old_until_us > coordinator->now_us) {
            coordinator_wake_at(coordinator, wait->holder->old_until_us);
        }
    }
    if (open > 0) {
        if (!db->is_hard && coordinator->now_us - db->phase_us >= soft_us) {
            db->is_hard = true;
            db->hard_us = coordinator->now_us;
            db->next_notify_us = coordinator->now_us;
        }
        coordinator_push_revocation(coordinator, db);
        return;
    }
    coordinator_end_waits(db);
    coordinator_record(coordinator, "revoked", database, database->primary,
                       "database=%s term=%" PRIu64, db->name,
                       (uint64_t)database->term);
    coordinator_set_phase(coordinator, db, COORDINATOR_COLLECTING);
    coordinator_run_collecting(coordinator, db, database);
}

// Moves a database on that is in a failover or looks for its first primary.
void
coordinator_run_failover(struct coordinator *coordinator,
                         struct coordinator_database *db,
                         const struct ck_database *database)
{
    switch (db->phase) {
    case COORDINATOR_FIRST:
        coordinator_run_first(coordinator, db, database);
        break;
    case COORDINATOR_REVOKING:
        coordinator_run_revoking(coordinator, db, database);
        break;
    case COORDINATOR_COLLECTING:
        coordinator_run_collecting(coordinator, db, database);
        break;
    default:
        break; // waits for an event
    }
}

static void
coordinator_propose_primary(struct coordinator *coordinator,
                            struct coordinator_database *db,
                            const struct ck_database *database)
{
    struct ck_change change = {.kind = CK_CHANGE_PRIMARY};
    struct ck_primary_change *primary = &change.ck_change_u.primary;

    primary->database = database->name;
    primary->term = database->term + 1;
    primary->primary = database->upstreams.upstreams_val[db->candidate].name;
    primary->base = db->base;
    coordinator_set_phase(coordinator, db, COORDINATOR_PUBLISHING);
    coordinator_propose(coordinator, &change, database->name,
                        COORDINATOR_REPLY_NONE, 0);
}

// Promotes an upstream, or takes it as it is when it is a primary already.
void
coordinator_promote(struct coordinator *coordinator,
                    struct coordinator_database *db,
                    const struct ck_database *database, int place)
{
    const struct coordinator_member *member = &db->members[place];
    const struct ck_upstream *upstream =
        &database->upstreams.upstreams_val[place];

    if (!coordinator->has_quorum) {
        return;
    }
    db->candidate = place;
    if (member->is_primary) {
        // A primary that stays in place goes on with its timeline.
        bool stays = strcmp(upstream->name, database->primary) == 0 &&
                     member->position.timeline == database->base.timeline;
        db->base = stays ? database->base : member->position;
        coordinator_propose_primary(coordinator, db, database);
        return;
    }
    coordinator_record(
        coordinator, "promoting", database, upstream->name,
        "database=%s term=%" PRIu64 " timeline=%" PRIu64 " lsn=%" PRIu64,
        db->name, (uint64_t)database->term + 1,
        (uint64_t)member->position.timeline, (uint64_t)member->position.lsn);
    coordinator_set_phase(coordinator, db, COORDINATOR_PROMOTING);
    struct coordinator_action *action =
        coordinator_add_action(coordinator, COORDINATOR_ACTION_PROMOTE);
    action->upstream.upstream = upstream;
    action->upstream.term = database->term + 1;
}

// Returns the database whose candidate the upstream is, or NULL.
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

    if (db == NULL || db->phase != COORDINATOR_PROMOTING) {
        return NULL;
    }
    const struct ck_database *database =
        group_find_database(coordinator->group, db->name);
    return coordinator_find_member(database, upstream_name) == db->candidate
               ? db
               : NULL;
}

// Collects positions again after a promotion or its publication has failed.
void
coordinator_choose_again(struct coordinator *coordinator,
                         struct coordinator_database *db)
{
    const struct ck_database *database =
        group_find_database(coordinator->group, db->name);
    bool first = database == NULL || database->term == 0;

    coordinator_set_phase(coordinator, db,
                          first ? COORDINATOR_FIRST : COORDINATOR_COLLECTING);
}

// Takes the end of a promotion with the position at which its timeline
// begins, and publishes it.
void
coordinator_take_promoted(struct coordinator *coordinator,
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
    coordinator_record(
        coordinator, "promoted", database, probe->upstream,
        "database=%s term=%" PRIu64 " timeline=%" PRIu64 " lsn=%" PRIu64,
        db->name, (uint64_t)database->term + 1,
        (uint64_t)probe->position.timeline, (uint64_t)probe->position.lsn);
    coordinator_propose_primary(coordinator, db, database);
}

// Takes the failure of a promotion: positions are collected again.
void
coordinator_take_promote_failed(struct coordinator *coordinator,
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
    coordinator_choose_again(coordinator, db);
    coordinator_run_database(coordinator, db);
}

// Answers the operator's command that a database works on, if any.
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
    db->is_operator_word = false;
}

// A new term stands: the others are to follow its primary.
void
coordinator_take_primary(struct coordinator *coordinator,
                         struct coordinator_database *db,
                         const struct ck_database *database)
{
    bool reached =
        db->target == NULL || strcmp(db->target, database->primary) == 0;

    coordinator_record(coordinator, "published", database, database->primary,
                       "database=%s term=%" PRIu64, db->name,
                       (uint64_t)database->term);
    coordinator_finish_command(
        coordinator, db, reached ? OUTCOME_OK : OUTCOME_TIMEOUT,
        reached ? "the new term stands" : "another upstream is the primary");
    coordinator_end_waits(db);
    suspicion_clear(&db->suspicion);
    coordinator_sync_members(db, database);
    for (size_t i = 0; i < db->members_count; i++) {
        const char *name = database->upstreams.upstreams_val[i].name;
        bool replica = strcmp(name, database->primary) != 0;
        db->members[i].needs_fence = replica;
        db->members[i].needs_follow = replica;
        db->members[i].next_repair_us = 0;
    }
    db->failover_us = database->term > 1 ? coordinator->now_us : 0;
    coordinator_set_phase(coordinator, db, COORDINATOR_IDLE);
    coordinator_run_database(coordinator, db);
}
