// Upstreams that leave: how long they may still serve, and the change to
// another primary. A leaving upstream serves for switchover_us after its
// announcement at the most. Its term ends some time before, whether or not
// another upstream can take over, and it is neither promoted nor published
// again after that.

#include <inttypes.h>

#include "catkingrade/decide/coordinator/coordinator_private.h"

// The term of a leaving primary ends this part of switchover_us before its
// time is over, so that every entry learns of the end in time.
#define COORDINATOR_STOP_DIVISOR 10

// Returns whether a leaving upstream may serve for needed_us from now on. One
// that does not leave always may.
bool
coordinator_may_serve(const struct coordinator *coordinator,
                      const struct coordinator_member *member,
                      int64_t needed_us)
{
    int64_t limit_us = coordinator->params.switchover_us;
    int64_t end_us =
        member->leaving_us + limit_us - limit_us / COORDINATOR_STOP_DIVISOR;

    return member->leaving_us == 0 || coordinator->now_us + needed_us < end_us;
}

// Sets since when an upstream has been leaving, also before it was lost. If
// that is not known of one that leaves, no time is left.
void
coordinator_set_leaving(const struct coordinator *coordinator,
                        struct coordinator_member *member,
                        const struct ck_upstream *upstream)
{
    int64_t since_us = leaving_get_since_us(coordinator->leaving, upstream);

    if (upstream->state == CK_UPSTREAM_READY ||
        (upstream->state == CK_UPSTREAM_LOST &&
         since_us == LEAVING_SINCE_UNKNOWN)) {
        member->leaving_us = 0;
        return;
    }
    member->leaving_us =
        since_us == LEAVING_SINCE_UNKNOWN
            ? coordinator->now_us - coordinator->params.switchover_us
            : since_us;
}

// Takes note of upstreams that begin to leave, or no longer do. Called for
// each change that this voter applies, leader or not.
void
coordinator_note_leaving(struct coordinator *coordinator,
                         const struct coordinator_event *event)
{
    const struct ck_change *change = event->applied.change;

    if (change->kind != CK_CHANGE_UPSTREAM &&
        change->kind != CK_CHANGE_UPSTREAM_EXPIRE) {
        return;
    }
    const char *name = change->ck_change_u.upstream.name;
    const struct ck_upstream *upstream =
        group_find_upstream(coordinator->group, name);
    if (upstream == NULL) {
        leaving_forget(coordinator->leaving, name);
        return;
    }
    leaving_handle_change(coordinator->leaving, coordinator->now_us, upstream,
                          event->applied.is_late);
}

// Returns the primary as a member if it is leaving, or NULL.
static const struct coordinator_member *
coordinator_find_leaving_primary(struct coordinator_database *db,
                                 const struct ck_database *database)
{
    (void)coordinator_sync_members(db, database);
    int index = coordinator_find_upstream_index(database, database->primary);

    return index >= 0 && db->members[index].leaving_us != 0
               ? &db->members[index]
               : NULL;
}

// Plans a change to the most advanced replica if the primary is leaving and
// another upstream is ready, unless a change has just kept this primary.
void
coordinator_replace_leaving_primary(struct coordinator *coordinator,
                                    struct coordinator_database *db,
                                    const struct ck_database *database)
{
    const struct coordinator_member *primary =
        coordinator_find_leaving_primary(db, database);

    if (db->planned_reason != NULL || primary == NULL ||
        !coordinator_has_target(db, database)) {
        return;
    }
    int64_t pause_us =
        coordinator->params.switchover_us / COORDINATOR_RETRY_DIVISOR;
    if (db->kept_us == 0 || coordinator->now_us - db->kept_us >= pause_us) {
        coordinator_plan_change(coordinator, db, "primary leaves",
                                primary->leaving_us);
    }
}

// Supersedes the term of a leaving primary whose time is over. Returns whether
// it did.
bool
coordinator_stop_leaving_primary(struct coordinator *coordinator,
                                 struct coordinator_database *db,
                                 const struct ck_database *database)
{
    const struct coordinator_member *primary =
        coordinator_find_leaving_primary(db, database);

    if (primary == NULL || coordinator_may_serve(coordinator, primary, 0)) {
        return false;
    }
    coordinator_record(coordinator, "primary_stopped", database,
                       database->primary, "database=%s term=%" PRIu64,
                       database->name, (uint64_t)database->term);
    coordinator_plan_change(coordinator, db, "primary leaves",
                            primary->leaving_us);
    coordinator_supersede_planned(coordinator, db, database);
    return true;
}
