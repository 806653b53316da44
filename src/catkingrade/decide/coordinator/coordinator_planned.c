// Planned changes of primary: the primary leaves, an operator requests a
// switchover, or the replicas of an overloaded primary lag. The old primary
// serves until its term is superseded: the term ends only once every lease
// holder has answered or has no lease any more, and once a replica has reached
// a position that the primary reported since the change was planned. The
// revocation then waits for no frozen, cut-off or killed entry, and the
// promotion for no replica that does not follow the primary yet.
//
// All waits of a change end by times that are set when it begins, whatever
// happens to the holders meanwhile: leases that cover the term are over in
// time for a promotion within switchover_us, and the waits before the term is
// superseded end one lease before that.

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/coordinator/coordinator_private.h"
#include "catkingrade/decide/coordinator/promotion.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

// Time without a primary that a planned change is expected to take before one
// has been observed.
#define COORDINATOR_CHANGE_COST_INITIAL_US 1500000

// Returns the last time at which a change whose time limit counts from
// begin_us can begin and still end within it.
static int64_t
coordinator_get_last_begin_us(const struct coordinator *coordinator,
                              int64_t begin_us)
{
    int64_t limit_us = coordinator->params.switchover_us;

    return begin_us + limit_us - limit_us / COORDINATOR_PROMOTION_DIVISOR -
           limit_us / COORDINATOR_RETRY_DIVISOR;
}

// Returns when a planned change stops waiting for a replica before it
// supersedes the term: like the wait for silent holders, but as late as
// possible if an earlier change since begin_us has kept the primary because no
// replica caught up. If no further change fits into the time limit, the next
// one waits for a replica for switchover_us from the last.
static int64_t
coordinator_get_target_end_us(const struct coordinator *coordinator,
                              const struct coordinator_database *db,
                              int64_t begin_us)
{
    int64_t limit_us = coordinator->params.switchover_us;
    int64_t last_us = coordinator_get_last_begin_us(coordinator, begin_us);

    if (db->kept_us == 0 || db->kept_us < begin_us) {
        return db->lease_end_us - coordinator_get_lease_bound_us(coordinator);
    }
    return db->kept_us + limit_us / COORDINATOR_RETRY_DIVISOR <= last_us
               ? last_us
               : db->kept_us + limit_us;
}

// Requests a planned change of primary, whose time limit counts from begin_us.
// reason is constant text.
void
coordinator_plan_change(struct coordinator *coordinator,
                        struct coordinator_database *db, const char *reason,
                        int64_t begin_us)
{
    const struct ck_database *database =
        group_find_database(coordinator->group, db->name);
    int64_t limit_us = coordinator->params.switchover_us;

    db->planned_reason = reason;
    db->planned_us = coordinator->now_us;
    db->change_end_us = begin_us + limit_us;
    db->lease_end_us =
        db->change_end_us - limit_us / COORDINATOR_PROMOTION_DIVISOR;
    db->target_end_us =
        coordinator_get_target_end_us(coordinator, db, begin_us);
    db->is_planned_position_known = false;
    db->next_notify_us = coordinator->now_us;
    db->awaited = NULL;
    // Discards the answers to probes sent before this moment.
    coordinator_set_phase(coordinator, db, COORDINATOR_PHASE_IDLE);
    coordinator_record(coordinator, "change_planned", database,
                       database->primary, "database=%s reason=\"%s\"",
                       db->name, reason);
}

// Records the holder whose lease ends last among those that a change waits
// for, when it is another one than before.
void
coordinator_record_awaited(struct coordinator *coordinator,
                           struct coordinator_database *db,
                           const struct coordinator_holder *holder,
                           size_t count, int64_t until_us)
{
    const struct ck_database *database =
        group_find_database(coordinator->group, db->name);

    if (holder == NULL || holder == db->awaited) {
        return;
    }
    db->awaited = holder;
    coordinator_record(
        coordinator, "change_waits", database, database->primary,
        "database=%s holders=%zu holder=%s restarted=%d lease_left_ms=%" PRId64
        " waited_ms=%" PRId64,
        db->name, count, holder->daemon.vm,
        holder->previous_until_us > coordinator->now_us,
        (until_us - coordinator->now_us) / COORDINATOR_US_PER_MS,
        (coordinator->now_us - db->planned_us) / COORDINATOR_US_PER_MS);
}

// Returns whether a holder may have a lease but has not been heard of since
// the change was planned.
static bool
coordinator_is_holder_silent(const struct coordinator *coordinator,
                             const struct coordinator_holder *holder,
                             int64_t planned_us)
{
    if (!coordinator_is_entry(holder)) {
        return false;
    }
    return holder->previous_until_us > coordinator->now_us ||
           (coordinator_has_live_lease(coordinator, holder) &&
            holder->last_seen_us < planned_us);
}

// Returns the end of the lease because of which a holder counts as silent.
static int64_t
coordinator_get_last_lease_us(const struct coordinator *coordinator,
                              const struct coordinator_holder *holder)
{
    return holder->previous_until_us > coordinator->now_us
               ? holder->previous_until_us
               : holder->granted_until_us;
}

// Returns whether the change must wait for a silent lease holder, and notifies
// those that are silent. The wait ends one lease before lease_end_us.
static bool
coordinator_await_silent_holders(struct coordinator *coordinator,
                                 struct coordinator_database *db)
{
    int64_t end_us =
        db->lease_end_us - coordinator_get_lease_bound_us(coordinator);
    bool notify = coordinator->now_us >= db->next_notify_us;
    const struct coordinator_holder *last = NULL;
    int64_t last_until_us = 0;
    size_t silent = 0;

    if (coordinator->now_us >= end_us) {
        return false;
    }
    for (struct coordinator_holder *holder = coordinator->holders;
         holder != NULL; holder = holder->next) {
        if (!coordinator_is_holder_silent(coordinator, holder,
                                          db->planned_us)) {
            continue;
        }
        silent++;
        int64_t until_us = coordinator_get_last_lease_us(coordinator, holder);
        if (until_us > last_until_us) {
            last = holder;
            last_until_us = until_us;
        }
        if (notify) {
            coordinator_notify(coordinator, holder);
        }
    }
    coordinator_record_awaited(coordinator, db, last, silent, last_until_us);
    if (notify) {
        db->next_notify_us =
            coordinator->now_us + COORDINATOR_NOTIFY_INTERVAL_US;
    }
    if (silent > 0) {
        coordinator_wake_at(coordinator, db->next_notify_us);
    }
    return silent > 0;
}

// Stores the first position that the primary reports after the change was
// planned. Returns whether it is known.
static bool
coordinator_read_planned_position(struct coordinator *coordinator,
                                  struct coordinator_database *db,
                                  const struct ck_database *database,
                                  size_t primary)
{
    const struct coordinator_member *member = &db->members[primary];

    if (db->is_planned_position_known) {
        return true;
    }
    if (!member->answered || !member->is_primary) {
        coordinator_probe_member(coordinator, db, database, primary);
        return false;
    }
    db->is_planned_position_known = true;
    db->planned_position = member->position;
    return true;
}

// Returns whether a planned change may promote the upstream: a ready one other
// than the primary, and the target if there is one.
static bool
coordinator_is_target(const struct coordinator_database *db,
                      const struct ck_database *database,
                      const struct ck_upstream *upstream)
{
    return upstream->state == CK_UPSTREAM_READY &&
           strcmp(upstream->name, database->primary) != 0 &&
           (db->target == NULL || strcmp(upstream->name, db->target) == 0);
}

// Returns whether there is an upstream that a planned change may promote.
bool
coordinator_has_target(const struct coordinator_database *db,
                       const struct ck_database *database)
{
    for (u_int i = 0; i < database->upstreams.upstreams_len; i++) {
        if (coordinator_is_target(db, database,
                                  &database->upstreams.upstreams_val[i])) {
            return true;
        }
    }
    return false;
}

// Returns whether an upstream that a planned change may promote has reached
// planned_position. Probes those that may be promoted.
static bool
coordinator_has_target_followed(struct coordinator *coordinator,
                                struct coordinator_database *db,
                                const struct ck_database *database)
{
    bool followed = false;

    for (size_t i = 0; i < db->members_count; i++) {
        const struct coordinator_member *member = &db->members[i];
        const struct ck_upstream *upstream =
            &database->upstreams.upstreams_val[i];
        if (!coordinator_is_target(db, database, upstream)) {
            continue;
        }
        coordinator_probe_member(coordinator, db, database, i);
        followed = followed || (member->answered && !member->is_regressed &&
                                promotion_compare(&member->position,
                                                  &db->planned_position) >= 0);
    }
    return followed;
}

// Returns whether a planned change of a leaving primary goes on waiting
// because every upstream that it may promote has been silent since it was
// planned. To end the term then gains nothing.
// coordinator_stop_leaving_primary ends this wait.
static bool
coordinator_awaits_silent_target(const struct coordinator_database *db,
                                 const struct ck_database *database,
                                 const struct coordinator_member *primary)
{
    for (size_t i = 0; i < db->members_count; i++) {
        const struct coordinator_member *member = &db->members[i];
        const struct ck_upstream *upstream =
            &database->upstreams.upstreams_val[i];
        if (coordinator_is_target(db, database, upstream) &&
            (member->answered || member->is_busy)) {
            return false;
        }
    }
    return primary->leaving_us != 0;
}

// Returns whether the change must wait for a replica to reach a position that
// the primary has reported since the change was planned. The primary serves
// meanwhile. A primary that is too busy to report its position is not waited
// for.
static bool
coordinator_await_target(struct coordinator *coordinator,
                         struct coordinator_database *db,
                         const struct ck_database *database)
{
    int primary = coordinator_find_upstream_index(database, database->primary);

    if (primary < 0 || db->members[primary].is_busy) {
        return false;
    }
    bool is_over = coordinator->now_us >= db->target_end_us;
    if (is_over && !coordinator_awaits_silent_target(db, database,
                                                     &db->members[primary])) {
        return false;
    }
    if (!is_over) {
        coordinator_wake_at(coordinator, db->target_end_us);
    }
    bool is_known = coordinator_read_planned_position(
        coordinator, db, database, (size_t)primary);
    bool has_followed =
        coordinator_has_target_followed(coordinator, db, database);
    return !is_known || !has_followed;
}

// Supersedes the term for the planned change.
void
coordinator_supersede_planned(struct coordinator *coordinator,
                              struct coordinator_database *db,
                              const struct ck_database *database)
{
    coordinator_supersede(coordinator, db, database, db->planned_reason);
    db->is_planned = true;
    db->changed_us = coordinator->now_us;
}

// Continues a planned change: supersedes the term once neither a lease holder
// nor a replica is awaited. The change is dropped if no upstream is ready to
// take over any more. Returns whether the term was superseded.
bool
coordinator_run_planned_change(struct coordinator *coordinator,
                               struct coordinator_database *db,
                               const struct ck_database *database)
{
    if (db->planned_reason == NULL) {
        return false;
    }
    if (!coordinator_has_target(db, database)) {
        db->planned_reason = NULL;
        coordinator_finish_command(coordinator, db, OUTCOME_UNAVAILABLE,
                                   "the target is not ready any more");
        return false;
    }
    bool awaits_holder = coordinator_await_silent_holders(coordinator, db);
    bool awaits_target = coordinator_await_target(coordinator, db, database);
    if (awaits_holder || awaits_target) {
        return false;
    }
    coordinator_supersede_planned(coordinator, db, database);
    return true;
}

// Stores the report of an entry that refuses requests for want of a slot while
// a replica lags.
void
coordinator_handle_lagging(struct coordinator *coordinator,
                           const struct coordinator_holder *holder,
                           const struct ck_database *database,
                           const struct ck_suspicion *report)
{
    int index = coordinator_find_upstream_index(database, report->upstream);

    if (index < 0 || holder == NULL ||
        strcmp(database->primary, report->upstream) == 0) {
        return;
    }
    struct coordinator_database *db =
        coordinator_get_or_add_database(coordinator, database->name);
    (void)coordinator_sync_members(db, database);
    backlog_add_report(&db->members[index].backlog, coordinator->now_us,
                       holder->index,
                       (int64_t)report->since_ms * COORDINATOR_US_PER_MS);
    coordinator_run_database(coordinator, db);
}

// Discards the reports about the replicas of a database.
void
coordinator_clear_lagging(struct coordinator_database *db)
{
    for (size_t i = 0; i < db->members_count; i++) {
        backlog_clear(&db->members[i].backlog);
    }
}

// Returns whether an upstream can be relied on during a change.
static bool
coordinator_is_upstream_usable(const struct coordinator *coordinator,
                               const struct ck_upstream *upstream)
{
    int64_t announced_us =
        announce_get_last_us(coordinator->announce, upstream->name);

    return upstream->state == CK_UPSTREAM_READY &&
           announced_us > coordinator->now_us -
                              coordinator->params.announce_expiry_us / 2;
}

static bool
coordinator_has_lag_reports(const struct coordinator_database *db)
{
    for (size_t i = 0; i < db->members_count; i++) {
        if (db->members[i].backlog.reports_count > 0) {
            return true;
        }
    }
    return false;
}

// Lists the upstreams of a database other than the primary. Returns their
// number.
static size_t
coordinator_list_replicas(const struct coordinator *coordinator,
                          const struct coordinator_database *db,
                          const struct ck_database *database,
                          struct backlog_replica *replicas)
{
    size_t count = 0;

    for (size_t i = 0; i < db->members_count; i++) {
        const struct ck_upstream *upstream =
            &database->upstreams.upstreams_val[i];
        if (strcmp(upstream->name, database->primary) != 0) {
            replicas[count++] = (struct backlog_replica){
                &db->members[i].backlog,
                coordinator_is_upstream_usable(coordinator, upstream)};
        }
    }
    return count;
}

// Plans a change of primary if the primary is overloaded because no replica
// serves reads; see backlog.h.
void
coordinator_relieve_primary(struct coordinator *coordinator,
                            struct coordinator_database *db,
                            const struct ck_database *database)
{
    if (db->planned_reason != NULL || !coordinator_has_lag_reports(db)) {
        return;
    }
    struct backlog_replica *replicas =
        xcalloc(db->members_count, sizeof(*replicas));
    struct backlog_params params = {
        .replicas = replicas,
        .replicas_count =
            coordinator_list_replicas(coordinator, db, database, replicas),
        .entries_count =
            coordinator_count_connected_entries(coordinator, database),
        .is_primary_suspected = db->suspicion.reports_count > 0 ||
                                db->suspicion.probe_failures > 0,
        .changed_us = db->changed_us,
        .change_cost_us = coordinator->change_cost_us != 0
                              ? coordinator->change_cost_us
                              : COORDINATOR_CHANGE_COST_INITIAL_US,
    };
    if (backlog_should_change(&params, coordinator->now_us)) {
        coordinator_record(coordinator, "replicas_lag", database,
                           database->primary,
                           "database=%s entries=%zu change_cost_ms=%" PRId64,
                           db->name, params.entries_count,
                           params.change_cost_us / COORDINATOR_US_PER_MS);
        coordinator_plan_change(coordinator, db, "replicas lag",
                                coordinator->now_us);
        // The change itself ends the lag.
        db->target_end_us = coordinator->now_us;
    }
    free(replicas);
}
