// State of each database: its members, probes, suspicion of its primary and
// repairs of its replicas.

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/coordinator/coordinator_private.h"
#include "catkingrade/decide/coordinator/promotion.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

// After an election, the replicas of databases that changed within this number
// of revisions get FENCE and FOLLOW again: the previous leader may not have
// finished.
#define COORDINATOR_RECENT_REVISIONS 64

// Returns the state of a database, or NULL if there is none.
struct coordinator_database *
coordinator_find_database(const struct coordinator *coordinator,
                          const char *name)
{
    return group_index_get(coordinator->index, COORDINATOR_KEY_DATABASE, name);
}

// Returns the state of a database. Adds an idle state if there is none.
struct coordinator_database *
coordinator_get_or_add_database(struct coordinator *coordinator,
                                const char *name)
{
    struct coordinator_database *db =
        coordinator_find_database(coordinator, name);

    if (db != NULL) {
        return db;
    }
    db = xcalloc(1, sizeof(*db));
    db->name = xstrdup(name);
    db->phase_us = coordinator->now_us;
    db->next = coordinator->databases;
    coordinator->databases = db;
    group_index_put(coordinator->index, COORDINATOR_KEY_DATABASE, name, db);
    return db;
}

static void
coordinator_free_members(struct coordinator_database *db)
{
    for (size_t i = 0; i < db->members_count; i++) {
        free(db->members[i].name);
    }
    free(db->members);
}

// Frees the state of all databases. Replies OUTCOME_UNKNOWN to pending
// commands, since they may still take effect.
void
coordinator_free_databases(struct coordinator *coordinator)
{
    coordinator->revocations = NULL;
    while (coordinator->databases != NULL) {
        struct coordinator_database *db = coordinator->databases;
        coordinator->databases = db->next;
        if (coordinator->actions != NULL) {
            coordinator_finish_command(coordinator, db, OUTCOME_UNKNOWN,
                                       "this VM no longer leads");
        }
        suspicion_clear(&db->suspicion);
        coordinator_clear_lagging(db);
        coordinator_free_members(db);
        free(db->pending_leases);
        free(db->target);
        free(db->name);
        free(db);
    }
}

static struct coordinator_member *
coordinator_lookup_member(const struct coordinator_database *db,
                          const char *name)
{
    for (size_t i = 0; i < db->members_count; i++) {
        if (strcmp(db->members[i].name, name) == 0) {
            return &db->members[i];
        }
    }
    return NULL;
}

static bool
coordinator_are_members_in_order(const struct coordinator_database *db,
                                 const struct ck_database *database)
{
    bool same = db->members_count == database->upstreams.upstreams_len;

    for (size_t i = 0; same && i < db->members_count; i++) {
        same = strcmp(db->members[i].name,
                      database->upstreams.upstreams_val[i].name) == 0;
    }
    return same;
}

// Aligns the members with the database's upstreams, some of which may be new
// or removed. Returns whether anything changed.
bool
coordinator_sync_members(struct coordinator_database *db,
                         const struct ck_database *database)
{
    size_t count = database->upstreams.upstreams_len;

    if (coordinator_are_members_in_order(db, database)) {
        return false;
    }
    const char *candidate = db->candidate_index < (int)db->members_count
                                ? db->members[db->candidate_index].name
                                : "";
    int index = coordinator_find_upstream_index(database, candidate);
    struct coordinator_member *members = xcalloc(count, sizeof(*members));
    for (size_t i = 0; i < count; i++) {
        const char *name = database->upstreams.upstreams_val[i].name;
        struct coordinator_member *known = coordinator_lookup_member(db, name);
        if (known != NULL) {
            members[i] = *known;
            memset(&known->backlog, 0, sizeof(known->backlog)); // moved
        }
        members[i].name = xstrdup(name);
    }
    coordinator_clear_lagging(db);
    coordinator_free_members(db);
    db->members = members;
    db->members_count = count;
    db->candidate_index = index < 0 ? 0 : index;
    return true;
}

// Returns the index of an upstream in its database, or -1.
int
coordinator_find_upstream_index(const struct ck_database *database,
                                const char *name)
{
    for (u_int i = 0; i < database->upstreams.upstreams_len; i++) {
        if (strcmp(database->upstreams.upstreams_val[i].name, name) == 0) {
            return (int)i;
        }
    }
    return -1;
}

static bool
coordinator_load_database(void *data, const struct ck_database *database)
{
    struct coordinator *coordinator = data;
    bool recent = database->revision + COORDINATOR_RECENT_REVISIONS >
                  group_get_revision(coordinator->group);

    for (u_int i = 0; i < database->upstreams.upstreams_len; i++) {
        recent = recent || database->upstreams.upstreams_val[i].state !=
                               CK_UPSTREAM_READY;
    }
    if (!recent && !database->superseding && database->term > 0) {
        return true;
    }
    struct coordinator_database *db =
        coordinator_get_or_add_database(coordinator, database->name);
    coordinator_sync_members(db, database);
    for (u_int i = 0; i < database->upstreams.upstreams_len; i++) {
        const struct ck_upstream *upstream =
            &database->upstreams.upstreams_val[i];
        bool replica = database->term > 0 &&
                       strcmp(upstream->name, database->primary) != 0;
        coordinator_set_leaving(coordinator, &db->members[i], upstream);
        db->members[i].was_lost = upstream->state == CK_UPSTREAM_LOST;
        db->members[i].lost_us = coordinator->now_us;
        db->members[i].lost_revision = database->revision;
        db->members[i].needs_fence = replica;
        db->members[i].needs_follow = replica;
    }
    return true;
}

// Loads the databases on which the previous leader may have left work
// unfinished.
void
coordinator_load_databases(struct coordinator *coordinator)
{
    group_visit_databases(coordinator->group, coordinator_load_database,
                          coordinator);
}

// Begins a phase and discards the answers to probes of earlier phases.
void
coordinator_set_phase(struct coordinator *coordinator,
                      struct coordinator_database *db,
                      enum coordinator_phase phase)
{
    db->phase = phase;
    db->is_quiet = false;
    coordinator_check_relays_of(coordinator, db->name);
    db->is_removing = false;
    db->phase_us = coordinator->now_us;
    for (size_t i = 0; i < db->members_count; i++) {
        struct coordinator_member *member = &db->members[i];
        member->answered = false;
        member->is_busy = false;
        member->failed = false;
        member->failures = 0;
        member->next_probe_us = 0;
    }
}

// Probes a member, unless a probe is in flight or the last one was sent less
// than probe_us ago.
void
coordinator_probe_member(struct coordinator *coordinator,
                         struct coordinator_database *db,
                         const struct ck_database *database, size_t index)
{
    struct coordinator_member *member = &db->members[index];

    if (member->probing) {
        return;
    }
    if (coordinator->now_us < member->next_probe_us) {
        coordinator_wake_at(coordinator, member->next_probe_us);
        return;
    }
    member->probing = true;
    member->probe_sent_us = coordinator->now_us;
    member->next_probe_us = coordinator->now_us + coordinator->params.probe_us;
    coordinator_add_action(coordinator, COORDINATOR_ACTION_PROBE)
        ->upstream.upstream = &database->upstreams.upstreams_val[index];
}

static void
coordinator_record_probe_answer(struct coordinator_member *member,
                                const struct coordinator_probe *probe)
{
    member->answered = true;
    member->failed = false;
    member->is_primary = probe->is_primary;
    member->position = probe->position;
    member->term = probe->term;
    member->last_write = probe->last_write;
    member->is_regressed =
        promotion_compare(&probe->position, &member->max_position) < 0;
    if (!member->is_regressed) {
        member->max_position = probe->position;
    }
}

// The role that comes with the answer of a busy upstream is the one in the
// group state, which is worth less than what it has said of itself.
static void
coordinator_record_busy_answer(struct coordinator_member *member,
                               const struct coordinator_probe *probe)
{
    member->is_busy = true;
    if (!member->answered) {
        member->is_primary = probe->is_primary;
    }
}

// Handles the result of a probe and continues the work on the database. The
// result of a probe that was sent before the current phase began counts only
// as evidence about the primary.
void
coordinator_handle_probe_result(struct coordinator *coordinator,
                                const struct coordinator_probe *probe,
                                bool answered)
{
    const struct ck_upstream *upstream =
        group_find_upstream(coordinator->group, probe->upstream);
    struct coordinator_database *db =
        upstream == NULL
            ? NULL
            : coordinator_find_database(coordinator, upstream->database);

    if (db == NULL) {
        return;
    }
    const struct ck_database *database =
        group_find_database(coordinator->group, db->name);
    (void)coordinator_sync_members(db, database);
    struct coordinator_member *member =
        &db->members[coordinator_find_upstream_index(database,
                                                     probe->upstream)];
    member->probing = false;
    if (strcmp(database->primary, probe->upstream) == 0) {
        suspicion_add_probe(&db->suspicion, coordinator->now_us, answered,
                            probe->refused);
    }
    if (member->probe_sent_us >= db->phase_us &&
        member->probe_sent_us >= member->fenced_us) {
        if (answered && probe->is_busy) {
            coordinator_record_busy_answer(member, probe);
        }
        else if (answered) {
            coordinator_record_probe_answer(member, probe);
            db->is_demoted = !probe->is_primary &&
                             strcmp(database->primary, probe->upstream) == 0;
        }
        else {
            member->failed = true;
            member->failures++;
        }
    }
    coordinator_run_database(coordinator, db);
}

// Handles an entry's suspicions of primaries, and its reports of replicas that
// lag. A suspicion of another term, or of an upstream that is not the primary,
// is ignored.
void
coordinator_handle_suspicions(struct coordinator *coordinator, const char *vm,
                              const struct ck_renew_args *args)
{
    for (u_int i = 0; i < args->suspicions.suspicions_len; i++) {
        const struct ck_suspicion *report =
            &args->suspicions.suspicions_val[i];
        const struct ck_database *database =
            group_find_database(coordinator->group, report->database);
        if (database != NULL && database->term == report->term &&
            report->kind == CK_SUSPECT_LAGGING) {
            coordinator_handle_lagging(
                coordinator, coordinator_find_holder(coordinator, vm),
                database, report);
            continue;
        }
        if (database == NULL || database->term != report->term ||
            strcmp(database->primary, report->upstream) != 0) {
            continue;
        }
        struct coordinator_database *db =
            coordinator_get_or_add_database(coordinator, report->database);
        suspicion_add_report(&db->suspicion, coordinator->now_us, vm, report);
        if (report->kind != CK_SUSPECT_SLOW) {
            coordinator_record_unreachable(
                coordinator, report->database,
                coordinator_find_holder(coordinator, vm));
        }
        coordinator_run_database(coordinator, db);
    }
}

// Checks the primary of a database whose term is not being superseded. Probes
// the primary if there is evidence against it. Supersedes the term if the
// primary is marked as lost in the group state, has answered a probe as a
// replica, or is lost by the verdict of suspicion_evaluate.
static void
coordinator_check_primary(struct coordinator *coordinator,
                          struct coordinator_database *db,
                          const struct ck_database *database)
{
    int index = coordinator_find_upstream_index(database, database->primary);
    if (index < 0) {
        return;
    }
    if (database->upstreams.upstreams_val[index].state == CK_UPSTREAM_LOST) {
        coordinator_supersede(coordinator, db, database, "primary gone");
        return;
    }
    if (db->is_demoted) {
        db->is_demoted = false;
        coordinator_supersede(coordinator, db, database,
                              "primary was demoted");
        return;
    }
    struct suspicion_params params = {
        .suspect_us = coordinator->params.suspect_us,
        .silence_us = coordinator->params.announce_expiry_us / 2,
        .entries_count =
            coordinator_count_connected_entries(coordinator, database),
        .announced_us =
            announce_get_last_us(coordinator->announce, database->primary),
        .recent_failover = db->failover_us != 0 &&
                           coordinator->now_us - db->failover_us <
                               coordinator->params.repeated_failover_us,
    };

    switch (suspicion_evaluate(&db->suspicion, coordinator->now_us, &params)) {
    case SUSPICION_NONE:
        break;
    case SUSPICION_PROBE:
        coordinator_probe_member(coordinator, db, database, (size_t)index);
        break;
    case SUSPICION_LOST:
        coordinator_record(
            coordinator, "primary_lost", database, database->primary,
            "database=%s term=%" PRIu64 " reports=%zu probes=%u",
            database->name, (uint64_t)database->term,
            db->suspicion.reports_count, db->suspicion.probe_failures);
        coordinator_supersede(coordinator, db, database, "primary lost");
        break;
    }
}

static void
coordinator_run_idle(struct coordinator *coordinator,
                     struct coordinator_database *db,
                     const struct ck_database *database)
{
    if (database->superseding) {
        coordinator_begin_revocation(coordinator, db);
    }
    else if (database->term == 0) {
        coordinator_set_phase(coordinator, db, COORDINATOR_PHASE_INITIAL);
        coordinator_load_order(coordinator, db, database);
        coordinator_run_initial(coordinator, db, database);
    }
    else {
        coordinator_replace_leaving_primary(coordinator, db, database);
        coordinator_relieve_primary(coordinator, db, database);
        if (coordinator_run_planned_change(coordinator, db, database) ||
            coordinator_stop_leaving_primary(coordinator, db, database)) {
            return;
        }
        coordinator_check_primary(coordinator, db, database);
        coordinator_run_repairs(coordinator, db, database);
        coordinator_run_removal(coordinator, db, database);
    }
}

// Returns whether nothing about a member is in progress.
static bool
coordinator_is_member_quiet(const struct coordinator_member *member)
{
    return !member->probing && !member->needs_fence && !member->needs_follow &&
           !member->repairing && !member->was_lost && !member->is_removing &&
           member->leaving_us == 0 && member->backlog.reports_count == 0;
}

// Returns whether nothing of a database is in progress that goes on with the
// time: there is no evidence against an upstream, no change and no repair.
static bool
coordinator_is_database_quiet(const struct coordinator_database *db)
{
    for (size_t i = 0; i < db->members_count; i++) {
        if (!coordinator_is_member_quiet(&db->members[i])) {
            return false;
        }
    }
    return db->phase == COORDINATOR_PHASE_IDLE && !db->is_demoted &&
           db->planned_reason == NULL && db->suspicion.reports_count == 0 &&
           db->suspicion.probe_failures == 0;
}

// Ends what is in progress at a database that was removed: answers to it are
// dropped, and it begins anew if the database is declared again.
static void
coordinator_end_removed_database(struct coordinator *coordinator,
                                 struct coordinator_database *db)
{
    coordinator_finish_command(coordinator, db, OUTCOME_NOT_FOUND,
                               "the database was removed");
    coordinator_end_revocation(coordinator, db);
    suspicion_clear(&db->suspicion);
    coordinator_clear_lagging(db);
    coordinator_free_members(db);
    db->members = NULL;
    db->members_count = 0;
    db->planned_reason = NULL;
    db->is_demoted = false;
    db->ordered_us = 0;
    db->is_order_refused = false;
    db->phase = COORDINATOR_PHASE_IDLE;
}

static void
coordinator_continue_database(struct coordinator *coordinator,
                              struct coordinator_database *db)
{
    const struct ck_database *database =
        group_find_database(coordinator->group, db->name);

    if (database == NULL) {
        coordinator_end_removed_database(coordinator, db);
        return;
    }
    coordinator_sync_members(db, database);
    bool choosing = db->phase == COORDINATOR_PHASE_INITIAL ||
                    db->phase == COORDINATOR_PHASE_REVOKING ||
                    db->phase == COORDINATOR_PHASE_COLLECTING;
    if (choosing && database->term > 0 && !database->superseding) {
        coordinator_set_phase(coordinator, db, COORDINATOR_PHASE_IDLE);
    }
    if (db->phase == COORDINATOR_PHASE_IDLE) {
        coordinator_run_idle(coordinator, db, database);
        return;
    }
    coordinator_run_failover(coordinator, db, database);
}

// Continues the work on a database until it waits for another event.
void
coordinator_run_database(struct coordinator *coordinator,
                         struct coordinator_database *db)
{
    coordinator_continue_database(coordinator, db);
    db->is_quiet = coordinator_is_database_quiet(db);
}

static void
coordinator_order_repair(struct coordinator *coordinator,
                         struct coordinator_database *db,
                         const struct ck_database *database, size_t index,
                         enum coordinator_action_kind kind)
{
    struct coordinator_member *member = &db->members[index];
    int primary = coordinator_find_upstream_index(database, database->primary);

    member->repairing = true;
    struct coordinator_action *action =
        coordinator_add_action(coordinator, kind);
    action->upstream.upstream = &database->upstreams.upstreams_val[index];
    // A fence needs no primary, which a database may not have yet.
    action->upstream.primary =
        primary < 0 ? NULL : &database->upstreams.upstreams_val[primary];
    action->upstream.term = database->term;
}

// Orders a FENCE of a member, unless one is in flight or has just failed.
void
coordinator_order_fence(struct coordinator *coordinator,
                        struct coordinator_database *db,
                        const struct ck_database *database, size_t index)
{
    const struct coordinator_member *member = &db->members[index];

    if (member->repairing) {
        return;
    }
    if (coordinator->now_us < member->next_repair_us) {
        coordinator_wake_at(coordinator, member->next_repair_us);
        return;
    }
    coordinator_order_repair(coordinator, db, database, index,
                             COORDINATOR_ACTION_FENCE);
}

// Fences replicas that may still accept writes as a primary, then makes them
// follow the current primary.
void
coordinator_run_repairs(struct coordinator *coordinator,
                        struct coordinator_database *db,
                        const struct ck_database *database)
{
    int primary = coordinator_find_upstream_index(database, database->primary);

    for (size_t i = 0; i < db->members_count && coordinator->has_quorum; i++) {
        const struct coordinator_member *member = &db->members[i];
        const struct ck_upstream *upstream =
            &database->upstreams.upstreams_val[i];
        if ((int)i == primary || member->repairing || primary < 0 ||
            upstream->state == CK_UPSTREAM_LOST ||
            coordinator->now_us < member->next_repair_us ||
            (!member->needs_fence && !member->needs_follow)) {
            continue;
        }
        coordinator_order_repair(coordinator, db, database, i,
                                 member->needs_fence
                                     ? COORDINATOR_ACTION_FENCE
                                     : COORDINATOR_ACTION_FOLLOW);
    }
}

// Records that a member was fenced. Where that makes it a replica, its
// position stays known, and answers to probes that were sent before count no
// more.
static void
coordinator_record_fence(const struct coordinator *coordinator,
                         struct coordinator_member *member)
{
    member->needs_fence = false;
    member->fenced_us = coordinator->now_us;
    member->next_probe_us = 0;
    if (coordinator->params.fence_demotes) {
        member->is_primary = false;
    }
    else {
        member->answered = false;
    }
}

// Handles the outcome of a FENCE or FOLLOW. After a failure it is retried
// after COORDINATOR_REPAIR_RETRY_US.
void
coordinator_handle_repair_result(struct coordinator *coordinator,
                                 const char *upstream_name, bool is_fence,
                                 int outcome)
{
    const struct ck_upstream *upstream =
        group_find_upstream(coordinator->group, upstream_name);
    struct coordinator_database *db =
        upstream == NULL
            ? NULL
            : coordinator_find_database(coordinator, upstream->database);

    if (db == NULL) {
        return;
    }
    const struct ck_database *database =
        group_find_database(coordinator->group, db->name);
    (void)coordinator_sync_members(db, database);
    struct coordinator_member *member =
        &db->members[coordinator_find_upstream_index(database, upstream_name)];
    member->repairing = false;
    if (outcome != OUTCOME_OK) {
        member->next_repair_us =
            coordinator->now_us + COORDINATOR_REPAIR_RETRY_US;
        // A claimant that can't be fenced holds up no other one.
        member->answered = member->answered && !is_fence;
    }
    else if (is_fence) {
        coordinator_record_fence(coordinator, member);
    }
    else {
        member->needs_follow = false;
        coordinator_record(coordinator, "following", database, upstream_name,
                           "database=%s primary=%s", database->name,
                           database->primary);
    }
    coordinator_run_database(coordinator, db);
}
