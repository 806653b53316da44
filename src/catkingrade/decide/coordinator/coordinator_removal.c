#include <string.h>

#include "catkingrade/decide/coordinator/coordinator_private.h"
#include "catkingrade/decide/coordinator/promotion.h"

// Removal of lost upstreams. A lost upstream remains a member of its database:
// it may be one of the replicas that confirmed a save, so each lost member
// requires one more answer before a replica is known to be complete. If lost
// members were never removed, a replaced VM would prevent every later
// promotion. A lost upstream is removed once all saves that it may have
// confirmed are known to be held by other members:
//
// 1. It has been lost for lost_retention_us, and every entry that holds a
//    lease has applied a revision that marks it as lost. No entry counts its
//    confirmations any more.
// 2. After that, the primary is probed for its position. Every save that the
//    lost upstream may have confirmed is at or below this position.
// 3. As many of the other replicas as must confirm a save have reached that
//    position. So each acknowledged save is held by that many of the remaining
//    members, which promotion_choose relies on.

// Returns whether every entry that may hold a lease has applied the revision
// of the loss. Leases from before the loss end within one lease of it, and
// later ones come with its revision, whatever restarts meanwhile.
static bool
coordinator_is_loss_applied(const struct coordinator *coordinator,
                            const struct coordinator_member *member)
{
    if (coordinator->now_us - member->lost_us >=
        coordinator_get_lease_bound_us(coordinator)) {
        return true;
    }
    for (const struct coordinator_holder *holder = coordinator->holders;
         holder != NULL; holder = holder->next) {
        bool counts = coordinator_is_entry(holder) &&
                      (coordinator_has_live_lease(coordinator, holder) ||
                       holder->previous_until_us > coordinator->now_us);
        if (counts && holder->known_revision < member->lost_revision) {
            return false;
        }
    }
    return true;
}

// Marks the members that may be removed. Returns whether there are any.
static bool
coordinator_mark_removals(struct coordinator *coordinator,
                          struct coordinator_database *db,
                          const struct ck_database *database)
{
    bool found = false;

    for (size_t i = 0; i < db->members_count; i++) {
        struct coordinator_member *member = &db->members[i];
        const struct ck_upstream *upstream =
            &database->upstreams.upstreams_val[i];
        bool due = member->was_lost && upstream->state == CK_UPSTREAM_LOST &&
                   coordinator->now_us - member->lost_us >=
                       coordinator->params.lost_retention_us;
        member->is_removing = due &&
                              strcmp(upstream->name, database->primary) != 0 &&
                              coordinator_is_loss_applied(coordinator, member);
        found = found || member->is_removing;
    }
    return found;
}

// Returns the number of ready replicas that have reached the removal position.
static size_t
coordinator_count_caught_up(const struct coordinator_database *db,
                            const struct ck_database *database)
{
    size_t count = 0;

    for (size_t i = 0; i < db->members_count; i++) {
        const struct coordinator_member *member = &db->members[i];
        const struct ck_upstream *upstream =
            &database->upstreams.upstreams_val[i];
        bool counts = member->answered && !member->is_regressed &&
                      upstream->state == CK_UPSTREAM_READY &&
                      strcmp(upstream->name, database->primary) != 0;
        if (counts &&
            promotion_compare(&member->position, &db->removal_position) >= 0) {
            count++;
        }
    }
    return count;
}

static void
coordinator_propose_removals(struct coordinator *coordinator,
                             struct coordinator_database *db,
                             const struct ck_database *database)
{
    struct ck_change change = {.kind = CK_CHANGE_UPSTREAM_EXPIRE};

    db->is_removal_proposed = true;
    for (size_t i = 0; i < db->members_count; i++) {
        const struct ck_upstream *upstream =
            &database->upstreams.upstreams_val[i];
        if (!db->members[i].is_removing ||
            upstream->state != CK_UPSTREAM_LOST) {
            continue;
        }
        change.ck_change_u.upstream = *upstream;
        coordinator_record(coordinator, "upstream_removed", database,
                           upstream->name, "database=%s", database->name);
        coordinator_propose(coordinator, &change, upstream->name,
                            COORDINATOR_REPLY_NONE, 0);
    }
}

// Probes the ready members. The first position that the primary answers
// becomes the removal position.
static void
coordinator_collect_removal_positions(struct coordinator *coordinator,
                                      struct coordinator_database *db,
                                      const struct ck_database *database)
{
    int primary = coordinator_find_upstream_index(database, database->primary);

    for (size_t i = 0; i < db->members_count; i++) {
        if (database->upstreams.upstreams_val[i].state == CK_UPSTREAM_READY) {
            coordinator_probe_member(coordinator, db, database, i);
        }
    }
    if (primary >= 0 && !db->is_removal_known &&
        db->members[primary].answered && db->members[primary].is_primary) {
        db->is_removal_known = true;
        db->removal_position = db->members[primary].position;
    }
}

// Removes lost upstreams of a database from its members once that is safe.
void
coordinator_run_removal(struct coordinator *coordinator,
                        struct coordinator_database *db,
                        const struct ck_database *database)
{
    const struct ck_customer *customer =
        group_find_customer_of_database(coordinator->group, db->name);

    if (db->phase != COORDINATOR_PHASE_IDLE || customer == NULL ||
        db->is_removal_proposed) {
        return;
    }
    if (!db->is_removing) {
        if (!coordinator_mark_removals(coordinator, db, database)) {
            return;
        }
        // Discards the answers to probes sent before this moment.
        coordinator_set_phase(coordinator, db, COORDINATOR_PHASE_IDLE);
        db->is_removing = true;
        db->is_removal_known = false;
    }
    coordinator_collect_removal_positions(coordinator, db, database);
    if (db->is_removal_known &&
        coordinator_count_caught_up(db, database) >= customer->confirm) {
        coordinator_propose_removals(coordinator, db, database);
    }
}
