#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/leader_private.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

// A planned switchover lets requests in flight finish for this part of its
// time limit before holders are told to drop them.
#define LEADER_SOFT_PART 5

// Ends a term: proposes it, and goes on when the log has it.
void
leader_supersede(struct leader *leader, struct leader_database *db,
                 const struct ck_database *database, const char *reason)
{
    struct ck_change change = {.kind = CK_CHANGE_SUPERSEDE};

    change.ck_change_u.supersede.database = database->name;
    change.ck_change_u.supersede.term = database->term;
    change.ck_change_u.supersede.reason = (char *)(uintptr_t)reason;
    leader_set_phase(leader, db, LEADER_SUPERSEDING);
    leader_propose(leader, &change, database->name, LEADER_REPLY_NONE, 0);
}

// Lists the holders whose leases may cover the term. A lease granted from now
// on comes with the revision that ends it.
static void
leader_list_waits(struct leader *leader, struct leader_database *db)
{
    free(db->waits);
    db->waits_count = 0;
    size_t count = 0;
    for (struct leader_holder *holder = leader->holders; holder != NULL;
         holder = holder->next) {
        count++;
    }
    db->waits = xcalloc(count, sizeof(struct leader_wait));
    for (struct leader_holder *holder = leader->holders; holder != NULL;
         holder = holder->next) {
        bool holds = leader_is_live(leader, holder) ||
                     holder->old_until_us > leader->now_us;
        if (holds && leader_is_entry(holder)) {
            struct leader_wait *wait = &db->waits[db->waits_count++];
            wait->holder = holder;
            wait->incarnation = holder->daemon.incarnation;
        }
    }
}

// Begins the revocation of the present term at all lease holders. Called when
// the log has the end of the term, or a new leader finds it there.
void
leader_begin_revocation(struct leader *leader, struct leader_database *db)
{
    if (db->phase != LEADER_IDLE && db->phase != LEADER_SUPERSEDING) {
        return;
    }
    leader_set_phase(leader, db, LEADER_REVOKING);
    leader_list_waits(leader, db);
    db->is_hard = !db->is_planned;
    db->hard_us = leader->now_us;
    db->next_notify_us = leader->now_us;
    db->waits_recorded = false;
    const struct ck_database *database =
        group_find_database(leader->group, db->name);
    leader_record(leader, "superseded", database, database->primary,
                  "database=%s term=%" PRIu64 " holders=%zu", db->name,
                  (uint64_t)database->term, db->waits_count);
    leader_run_database(leader, db);
}

static void
leader_confirm_database(struct leader_database *db,
                        const struct leader_holder *holder,
                        uint64_t incarnation)
{
    for (size_t i = 0; i < db->waits_count; i++) {
        struct leader_wait *wait = &db->waits[i];
        if (wait->holder == holder && wait->incarnation == incarnation) {
            wait->confirmed = true;
        }
    }
}

// Takes a holder's confirmations that nothing of the named terms is
// acknowledged any more.
void
leader_confirm(struct leader *leader, const struct leader_holder *holder,
               uint64_t incarnation, const struct ck_revocation *items,
               size_t count)
{
    for (size_t i = 0; i < count; i++) {
        struct leader_database *db =
            leader_find_database(leader, items[i].database);
        const struct ck_database *database =
            db == NULL ? NULL : group_find_database(leader->group, db->name);
        if (database == NULL || db->phase != LEADER_REVOKING ||
            items[i].term < database->term) {
            continue;
        }
        leader_confirm_database(db, holder, incarnation);
        leader_run_database(leader, db);
    }
}

// Returns whether a holder's lease no longer covers the term.
static bool
leader_is_wait_over(const struct leader *leader,
                    const struct leader_wait *wait)
{
    const struct leader_holder *holder = wait->holder;
    bool same = holder->daemon.incarnation == wait->incarnation;
    int64_t until_us = same ? holder->granted_until_us : holder->old_until_us;

    if (same && wait->confirmed) {
        return holder->old_until_us <= leader->now_us;
    }
    return until_us <= leader->now_us &&
           holder->old_until_us <= leader->now_us;
}

// Pushes the revocation again to those that have not confirmed. One that goes
// on renewing without confirming gets no further lease.
static void
leader_push_revocation(struct leader *leader, struct leader_database *db)
{
    bool overdue =
        db->is_hard && leader->now_us - db->hard_us >= leader->params.lease_us;

    if (leader->now_us < db->next_notify_us) {
        leader_wake_at(leader, db->next_notify_us);
        return;
    }
    db->next_notify_us = leader->now_us + LEADER_NOTIFY_US;
    leader_wake_at(leader, db->next_notify_us);
    for (size_t i = 0; i < db->waits_count; i++) {
        struct leader_wait *wait = &db->waits[i];
        if (wait->confirmed || leader_is_wait_over(leader, wait)) {
            continue;
        }
        wait->holder->denied = wait->holder->denied || overdue;
        leader_notify(leader, wait->holder);
    }
}

static void
leader_end_waits(struct leader_database *db)
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
leader_run_revoking(struct leader *leader, struct leader_database *db,
                    const struct ck_database *database)
{
    size_t open = 0;
    int64_t soft_us = leader->params.switchover_us / LEADER_SOFT_PART;

    for (size_t i = 0; i < db->waits_count; i++) {
        const struct leader_wait *wait = &db->waits[i];
        if (leader_is_wait_over(leader, wait)) {
            continue;
        }
        open++;
        if (wait->holder->granted_until_us > leader->now_us) {
            leader_wake_at(leader, wait->holder->granted_until_us);
        }
        if (wait->holder->old_until_us > leader->now_us) {
            leader_wake_at(leader, wait->holder->old_until_us);
        }
    }
    if (open > 0) {
        if (!db->is_hard && leader->now_us - db->phase_us >= soft_us) {
            db->is_hard = true;
            db->hard_us = leader->now_us;
            db->next_notify_us = leader->now_us;
        }
        leader_push_revocation(leader, db);
        return;
    }
    leader_end_waits(db);
    leader_record(leader, "revoked", database, database->primary,
                  "database=%s term=%" PRIu64, db->name,
                  (uint64_t)database->term);
    leader_set_phase(leader, db, LEADER_COLLECTING);
    leader_run_collecting(leader, db, database);
}

// Moves a database on that is in a failover or looks for its first primary.
void
leader_run_failover(struct leader *leader, struct leader_database *db,
                    const struct ck_database *database)
{
    switch (db->phase) {
    case LEADER_FIRST:
        leader_run_first(leader, db, database);
        break;
    case LEADER_REVOKING:
        leader_run_revoking(leader, db, database);
        break;
    case LEADER_COLLECTING:
        leader_run_collecting(leader, db, database);
        break;
    default:
        break; // waits for an event
    }
}

static void
leader_propose_primary(struct leader *leader, struct leader_database *db,
                       const struct ck_database *database)
{
    struct ck_change change = {.kind = CK_CHANGE_PRIMARY};
    struct ck_primary_change *primary = &change.ck_change_u.primary;

    primary->database = database->name;
    primary->term = database->term + 1;
    primary->primary = database->upstreams.upstreams_val[db->candidate].name;
    primary->base = db->base;
    leader_set_phase(leader, db, LEADER_PUBLISHING);
    leader_propose(leader, &change, database->name, LEADER_REPLY_NONE, 0);
}

// Promotes an upstream, or takes it as it is when it is a primary already.
void
leader_promote(struct leader *leader, struct leader_database *db,
               const struct ck_database *database, int place)
{
    const struct leader_member *member = &db->members[place];
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
        leader_propose_primary(leader, db, database);
        return;
    }
    leader_record(
        leader, "promoting", database, upstream->name,
        "database=%s term=%" PRIu64 " timeline=%" PRIu64 " lsn=%" PRIu64,
        db->name, (uint64_t)database->term + 1,
        (uint64_t)member->position.timeline, (uint64_t)member->position.lsn);
    leader_set_phase(leader, db, LEADER_PROMOTING);
    struct leader_action *action =
        leader_add_action(leader, LEADER_ACTION_PROMOTE);
    action->upstream.upstream = upstream;
    action->upstream.term = database->term + 1;
}

// Returns the database whose candidate the upstream is, or NULL.
static struct leader_database *
leader_find_promoting(const struct leader *leader, const char *upstream_name)
{
    const struct ck_upstream *upstream =
        group_find_upstream(leader->group, upstream_name);
    struct leader_database *db =
        upstream == NULL ? NULL
                         : leader_find_database(leader, upstream->database);

    if (db == NULL || db->phase != LEADER_PROMOTING) {
        return NULL;
    }
    const struct ck_database *database =
        group_find_database(leader->group, db->name);
    return leader_find_member(database, upstream_name) == db->candidate ? db
                                                                        : NULL;
}

// Collects positions again after a promotion or its publication has failed.
void
leader_choose_again(struct leader *leader, struct leader_database *db)
{
    const struct ck_database *database =
        group_find_database(leader->group, db->name);
    bool first = database == NULL || database->term == 0;

    leader_set_phase(leader, db, first ? LEADER_FIRST : LEADER_COLLECTING);
}

// Takes the end of a promotion with the position at which its timeline
// begins, and publishes it.
void
leader_take_promoted(struct leader *leader, const struct leader_probe *probe)
{
    struct leader_database *db =
        leader_find_promoting(leader, probe->upstream);

    if (db == NULL) {
        return;
    }
    const struct ck_database *database =
        group_find_database(leader->group, db->name);
    db->base = probe->position;
    leader_record(
        leader, "promoted", database, probe->upstream,
        "database=%s term=%" PRIu64 " timeline=%" PRIu64 " lsn=%" PRIu64,
        db->name, (uint64_t)database->term + 1,
        (uint64_t)probe->position.timeline, (uint64_t)probe->position.lsn);
    leader_propose_primary(leader, db, database);
}

// Takes the failure of a promotion: positions are collected again.
void
leader_take_promote_failed(struct leader *leader, const char *upstream,
                           int outcome)
{
    struct leader_database *db = leader_find_promoting(leader, upstream);

    if (db == NULL) {
        return;
    }
    const struct ck_database *database =
        group_find_database(leader->group, db->name);
    leader_record(leader, "promotion_failed", database, upstream,
                  "database=%s outcome=%s", db->name,
                  outcome_get_name(outcome));
    leader_choose_again(leader, db);
    leader_run_database(leader, db);
}

// Answers the operator's command that a database works on, if any.
void
leader_finish_command(struct leader *leader, struct leader_database *db,
                      int outcome, const char *text)
{
    if (db->command_token != 0) {
        leader_reply_text(leader, LEADER_ACTION_REPLY_COMMAND,
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
leader_take_primary(struct leader *leader, struct leader_database *db,
                    const struct ck_database *database)
{
    bool reached =
        db->target == NULL || strcmp(db->target, database->primary) == 0;

    leader_record(leader, "published", database, database->primary,
                  "database=%s term=%" PRIu64, db->name,
                  (uint64_t)database->term);
    leader_finish_command(leader, db, reached ? OUTCOME_OK : OUTCOME_TIMEOUT,
                          reached ? "the new term stands"
                                  : "another upstream is the primary");
    leader_end_waits(db);
    suspicion_clear(&db->suspicion);
    leader_sync_members(db, database);
    for (size_t i = 0; i < db->members_count; i++) {
        const char *name = database->upstreams.upstreams_val[i].name;
        bool replica = strcmp(name, database->primary) != 0;
        db->members[i].needs_fence = replica;
        db->members[i].needs_follow = replica;
        db->members[i].next_repair_us = 0;
    }
    db->failover_us = database->term > 1 ? leader->now_us : 0;
    leader_set_phase(leader, db, LEADER_IDLE);
    leader_run_database(leader, db);
}
