#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/coordinator_private.h"
#include "catkingrade/decide/promotion.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

// Databases that changed within so many revisions before an election have
// their replicas told again whom to follow.
#define COORDINATOR_RECENT_REVISIONS 64

// Returns what is known of a database, or NULL when nothing is.
struct coordinator_database *
coordinator_find_database(const struct leader *leader, const char *name)
{
    return group_index_get(leader->index, COORDINATOR_KEY_DATABASE, name);
}

// Returns what is known of a database, which may be nothing yet.
struct coordinator_database *
coordinator_get_or_add_database(struct leader *leader, const char *name)
{
    struct coordinator_database *db = coordinator_find_database(leader, name);

    if (db != NULL) {
        return db;
    }
    db = xcalloc(1, sizeof(*db));
    db->name = xstrdup(name);
    db->phase_us = leader->now_us;
    db->next = leader->databases;
    leader->databases = db;
    group_index_put(leader->index, COORDINATOR_KEY_DATABASE, name, db);
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

// Frees all databases; commands that wait are told at once that they may
// still take effect.
void
coordinator_free_databases(struct leader *leader)
{
    while (leader->databases != NULL) {
        struct coordinator_database *db = leader->databases;
        leader->databases = db->next;
        if (leader->actions != NULL) {
            coordinator_finish_command(leader, db, OUTCOME_UNKNOWN,
                                       "this VM no longer leads");
        }
        suspicion_clear(&db->suspicion);
        coordinator_free_members(db);
        free(db->waits);
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

// Brings the members in the order of the database's upstreams, of which some
// may be new or gone. Returns whether there are others than before.
bool
coordinator_sync_members(struct coordinator_database *db,
                         const struct ck_database *database)
{
    size_t count = database->upstreams.upstreams_len;

    if (coordinator_are_members_in_order(db, database)) {
        return false;
    }
    const char *candidate = db->candidate < (int)db->members_count
                                ? db->members[db->candidate].name
                                : "";
    int place = coordinator_find_upstream_index(database, candidate);
    struct coordinator_member *members = xcalloc(count, sizeof(*members));
    for (size_t i = 0; i < count; i++) {
        const char *name = database->upstreams.upstreams_val[i].name;
        struct coordinator_member *known = coordinator_lookup_member(db, name);
        if (known != NULL) {
            members[i] = *known;
        }
        members[i].name = xstrdup(name);
    }
    coordinator_free_members(db);
    db->members = members;
    db->members_count = count;
    db->candidate = place < 0 ? 0 : place;
    return true;
}

// Returns the place of an upstream in its database, or -1.
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
    struct leader *leader = data;
    bool recent = database->revision + COORDINATOR_RECENT_REVISIONS >
                  group_get_revision(leader->group);

    for (u_int i = 0; i < database->upstreams.upstreams_len; i++) {
        recent = recent || database->upstreams.upstreams_val[i].state ==
                               CK_UPSTREAM_LOST;
    }
    if (!recent && !database->superseding && database->term > 0) {
        return true;
    }
    struct coordinator_database *db =
        coordinator_get_or_add_database(leader, database->name);
    coordinator_sync_members(db, database);
    for (u_int i = 0; i < database->upstreams.upstreams_len; i++) {
        const struct ck_upstream *upstream =
            &database->upstreams.upstreams_val[i];
        bool replica = database->term > 0 &&
                       strcmp(upstream->name, database->primary) != 0;
        db->members[i].was_lost = upstream->state == CK_UPSTREAM_LOST;
        db->members[i].lost_us = leader->now_us;
        db->members[i].lost_revision = database->revision;
        db->members[i].needs_fence = replica;
        db->members[i].needs_follow = replica;
    }
    return true;
}

// Takes up what the leader before may have left undone.
void
coordinator_load_databases(struct leader *leader)
{
    group_visit_databases(leader->group, coordinator_load_database, leader);
}

// Begins a phase; answers to what was asked before no longer count.
void
coordinator_set_phase(struct leader *leader, struct coordinator_database *db,
                      enum coordinator_phase phase)
{
    db->phase = phase;
    db->is_removing = false;
    db->phase_us = leader->now_us;
    for (size_t i = 0; i < db->members_count; i++) {
        struct coordinator_member *member = &db->members[i];
        member->answered = false;
        member->failed = false;
        member->failures = 0;
        member->next_probe_us = 0;
    }
}

// Probes an upstream, unless a probe is out or the last was just now.
void
coordinator_probe_member(struct leader *leader,
                         struct coordinator_database *db,
                         const struct ck_database *database, size_t place)
{
    struct coordinator_member *member = &db->members[place];

    if (member->probing) {
        return;
    }
    if (leader->now_us < member->next_probe_us) {
        coordinator_wake_at(leader, member->next_probe_us);
        return;
    }
    member->probing = true;
    member->probe_sent_us = leader->now_us;
    member->next_probe_us = leader->now_us + leader->params.probe_us;
    coordinator_add_action(leader, COORDINATOR_ACTION_PROBE)
        ->upstream.upstream = &database->upstreams.upstreams_val[place];
}

static void
coordinator_record_probe_answer(struct coordinator_member *member,
                                const struct coordinator_probe *probe)
{
    member->answered = true;
    member->failed = false;
    member->is_primary = probe->is_primary;
    member->position = probe->position;
    member->is_regressed =
        promotion_compare(&probe->position, &member->seen) < 0;
    if (!member->is_regressed) {
        member->seen = probe->position;
    }
}

// Takes the result of a probe and moves the database on. A result of a probe
// that went out before the present phase began is only evidence.
void
coordinator_handle_probe_result(struct leader *leader,
                                const struct coordinator_probe *probe,
                                bool answered)
{
    const struct ck_upstream *upstream =
        group_find_upstream(leader->group, probe->upstream);
    struct coordinator_database *db =
        upstream == NULL
            ? NULL
            : coordinator_find_database(leader, upstream->database);

    if (db == NULL) {
        return;
    }
    const struct ck_database *database =
        group_find_database(leader->group, db->name);
    (void)coordinator_sync_members(db, database);
    struct coordinator_member *member =
        &db->members[coordinator_find_upstream_index(database,
                                                     probe->upstream)];
    member->probing = false;
    if (strcmp(database->primary, probe->upstream) == 0) {
        suspicion_add_probe(&db->suspicion, leader->now_us, answered,
                            probe->refused);
    }
    if (member->probe_sent_us >= db->phase_us) {
        if (answered) {
            coordinator_record_probe_answer(member, probe);
            db->is_demoted = !probe->is_primary &&
                             strcmp(database->primary, probe->upstream) == 0;
        }
        else {
            member->failed = true;
            member->failures++;
        }
    }
    coordinator_run_database(leader, db);
}

// Takes an entry's suspicions of primaries in their present terms.
void
coordinator_handle_suspicions(struct leader *leader, const char *vm,
                              const struct ck_renew_args *args)
{
    for (u_int i = 0; i < args->suspicions.suspicions_len; i++) {
        const struct ck_suspicion *report =
            &args->suspicions.suspicions_val[i];
        const struct ck_database *database =
            group_find_database(leader->group, report->database);
        if (database == NULL || database->term != report->term ||
            strcmp(database->primary, report->upstream) != 0) {
            continue;
        }
        struct coordinator_database *db =
            coordinator_get_or_add_database(leader, report->database);
        suspicion_add_report(&db->suspicion, leader->now_us, vm, report);
        if (report->kind != CK_SUSPECT_SLOW) {
            coordinator_record_unreachable(
                leader, report->database, coordinator_find_holder(leader, vm));
        }
        coordinator_run_database(leader, db);
    }
}

// Judges the primary of a term that stands.
static void
coordinator_check_primary(struct leader *leader,
                          struct coordinator_database *db,
                          const struct ck_database *database)
{
    int place = coordinator_find_upstream_index(database, database->primary);
    if (place < 0) {
        return;
    }
    if (database->upstreams.upstreams_val[place].state == CK_UPSTREAM_LOST) {
        coordinator_supersede(leader, db, database, "primary gone");
        return;
    }
    if (db->is_demoted) {
        db->is_demoted = false;
        coordinator_supersede(leader, db, database, "primary was demoted");
        return;
    }
    struct suspicion_params params = {
        .suspect_us = leader->params.suspect_us,
        .silence_us = leader->params.announce_expiry_us / 2,
        .entries_count = coordinator_count_connected_entries(leader, database),
        .announced_us =
            announce_get_last_us(leader->announce, database->primary),
        .recent_failover =
            db->failover_us != 0 &&
            leader->now_us - db->failover_us < leader->params.flap_us,
    };

    switch (suspicion_evaluate(&db->suspicion, leader->now_us, &params)) {
    case SUSPICION_NONE:
        break;
    case SUSPICION_PROBE:
        coordinator_probe_member(leader, db, database, (size_t)place);
        break;
    case SUSPICION_LOST:
        coordinator_record(
            leader, "primary_lost", database, database->primary,
            "database=%s term=%" PRIu64 " reports=%zu probes=%u",
            database->name, (uint64_t)database->term,
            db->suspicion.reports_count, db->suspicion.probe_failures);
        coordinator_supersede(leader, db, database, "primary lost");
        break;
    }
}

// Returns whether another upstream than the primary is ready.
static bool
coordinator_has_ready_replica(const struct ck_database *database)
{
    for (u_int i = 0; i < database->upstreams.upstreams_len; i++) {
        const struct ck_upstream *upstream =
            &database->upstreams.upstreams_val[i];
        if (upstream->state == CK_UPSTREAM_READY &&
            strcmp(upstream->name, database->primary) != 0) {
            return true;
        }
    }
    return false;
}

// A primary that leaves hands over to the most advanced replica.
static bool
coordinator_replace_leaving_primary(struct leader *leader,
                                    struct coordinator_database *db,
                                    const struct ck_database *database)
{
    const struct ck_upstream *primary =
        group_find_upstream(leader->group, database->primary);
    bool recent = db->failover_us != 0 && leader->now_us - db->failover_us <
                                              leader->params.switchover_us;

    if (primary == NULL || primary->state != CK_UPSTREAM_LEAVING || recent ||
        !coordinator_has_ready_replica(database)) {
        return false;
    }
    db->is_planned = true;
    db->failover_us = leader->now_us;
    coordinator_supersede(leader, db, database, "primary leaves");
    return true;
}

static void
coordinator_run_idle(struct leader *leader, struct coordinator_database *db,
                     const struct ck_database *database)
{
    if (database->superseding) {
        coordinator_begin_revocation(leader, db);
    }
    else if (database->term == 0) {
        coordinator_set_phase(leader, db, COORDINATOR_PHASE_INITIAL);
        coordinator_run_initial(leader, db, database);
    }
    else if (!coordinator_replace_leaving_primary(leader, db, database)) {
        coordinator_check_primary(leader, db, database);
        coordinator_run_repairs(leader, db, database);
        coordinator_run_removal(leader, db, database);
    }
}

// Moves one database on as far as it goes without further events.
void
coordinator_run_database(struct leader *leader,
                         struct coordinator_database *db)
{
    const struct ck_database *database =
        group_find_database(leader->group, db->name);

    if (database == NULL) {
        return;
    }
    coordinator_sync_members(db, database);
    bool choosing = db->phase == COORDINATOR_PHASE_INITIAL ||
                    db->phase == COORDINATOR_PHASE_REVOKING ||
                    db->phase == COORDINATOR_PHASE_COLLECTING;
    if (choosing && database->term > 0 && !database->superseding) {
        coordinator_set_phase(leader, db, COORDINATOR_PHASE_IDLE);
    }
    if (db->phase == COORDINATOR_PHASE_IDLE) {
        coordinator_run_idle(leader, db, database);
        return;
    }
    coordinator_run_failover(leader, db, database);
}

// Fences replicas that may take themselves for the primary and has them
// follow the present one.
void
coordinator_run_repairs(struct leader *leader, struct coordinator_database *db,
                        const struct ck_database *database)
{
    int primary = coordinator_find_upstream_index(database, database->primary);

    for (size_t i = 0; i < db->members_count && leader->has_quorum; i++) {
        struct coordinator_member *member = &db->members[i];
        const struct ck_upstream *upstream =
            &database->upstreams.upstreams_val[i];
        if ((int)i == primary || member->repairing || primary < 0 ||
            upstream->state == CK_UPSTREAM_LOST ||
            leader->now_us < member->next_repair_us ||
            (!member->needs_fence && !member->needs_follow)) {
            continue;
        }
        member->repairing = true;
        struct coordinator_action *action = coordinator_add_action(
            leader, member->needs_fence ? COORDINATOR_ACTION_FENCE
                                        : COORDINATOR_ACTION_FOLLOW);
        action->upstream.upstream = upstream;
        action->upstream.primary = &database->upstreams.upstreams_val[primary];
        action->upstream.term = database->term;
    }
}

// Takes the end of a FENCE or FOLLOW.
void
coordinator_handle_repair_result(struct leader *leader,
                                 const char *upstream_name, bool is_fence,
                                 int outcome)
{
    const struct ck_upstream *upstream =
        group_find_upstream(leader->group, upstream_name);
    struct coordinator_database *db =
        upstream == NULL
            ? NULL
            : coordinator_find_database(leader, upstream->database);

    if (db == NULL) {
        return;
    }
    const struct ck_database *database =
        group_find_database(leader->group, db->name);
    (void)coordinator_sync_members(db, database);
    struct coordinator_member *member =
        &db->members[coordinator_find_upstream_index(database, upstream_name)];
    member->repairing = false;
    if (outcome != OUTCOME_OK) {
        member->next_repair_us = leader->now_us + COORDINATOR_REPAIR_RETRY_US;
    }
    else if (is_fence) {
        member->needs_fence = false;
    }
    else {
        member->needs_follow = false;
        coordinator_record(leader, "following", database, upstream_name,
                           "database=%s primary=%s", database->name,
                           database->primary);
    }
    coordinator_run_database(leader, db);
}
