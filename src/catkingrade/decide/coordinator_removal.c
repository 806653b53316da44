#include <string.h>

#include "catkingrade/decide/coordinator_private.h"
#include "catkingrade/decide/promotion.h"

// A lost upstream counts as a member: it may be one of the replicas that
// confirmed a save, so a replica is shown to be complete only by so many more
// answers. Left there for good, a replaced VM would keep the database from
// ever being promoted again. It ceases to be a member when all that it may
// have confirmed is known to be held without it:
//
// 1. It has been lost for remove_us, and every entry that holds a lease has
//    applied a revision that says so. No entry counts it any more.
// 2. After that the primary is asked for its position: every save that it may
//    have confirmed lies at or below.
// 3. As many of the other replicas as confirm a save hold that position. So
//    each acknowledged save is held by that many of the members left, which
//    is what promotion_choose builds upon.

// Returns whether every entry with a lease has applied the revision.
static bool
coordinator_is_revision_applied(const struct leader *leader, uint64_t revision)
{
    for (const struct coordinator_holder *holder = leader->holders;
         holder != NULL; holder = holder->next) {
        bool counts = coordinator_is_entry(holder) &&
                      (coordinator_is_live(leader, holder) ||
                       holder->previous_until_us > leader->now_us);
        if (counts && holder->known_revision < revision) {
            return false;
        }
    }
    return true;
}

// Marks the members that may be removed. Returns whether there are any.
static bool
coordinator_mark_removals(struct leader *leader,
                          struct coordinator_database *db,
                          const struct ck_database *database)
{
    bool found = false;

    for (size_t i = 0; i < db->members_count; i++) {
        struct coordinator_member *member = &db->members[i];
        const struct ck_upstream *upstream =
            &database->upstreams.upstreams_val[i];
        bool due =
            member->was_lost && upstream->state == CK_UPSTREAM_LOST &&
            leader->now_us - member->lost_us >= leader->params.remove_us;
        member->is_removing =
            due && strcmp(upstream->name, database->primary) != 0 &&
            coordinator_is_revision_applied(leader, member->lost_revision);
        found = found || member->is_removing;
    }
    return found;
}

// Counts the ready replicas that hold the position.
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
            promotion_compare(&member->position, &db->removal) >= 0) {
            count++;
        }
    }
    return count;
}

static void
coordinator_propose_removals(struct leader *leader,
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
        coordinator_record(leader, "upstream_removed", database,
                           upstream->name, "database=%s", database->name);
        coordinator_propose(leader, &change, upstream->name,
                            COORDINATOR_REPLY_NONE, 0);
    }
}

// Asks the ready members and takes the primary's first answer as the bound.
static void
coordinator_collect_removal_positions(struct leader *leader,
                                      struct coordinator_database *db,
                                      const struct ck_database *database)
{
    int primary = coordinator_find_upstream_index(database, database->primary);

    for (size_t i = 0; i < db->members_count; i++) {
        if (database->upstreams.upstreams_val[i].state == CK_UPSTREAM_READY) {
            coordinator_probe_member(leader, db, database, i);
        }
    }
    if (primary >= 0 && !db->is_removal_known &&
        db->members[primary].answered && db->members[primary].is_primary) {
        db->is_removal_known = true;
        db->removal = db->members[primary].position;
    }
}

// Has lost upstreams cease to be members when that is safe.
void
coordinator_run_removal(struct leader *leader, struct coordinator_database *db,
                        const struct ck_database *database)
{
    const struct ck_customer *customer =
        group_find_customer_of_database(leader->group, db->name);

    if (db->phase != COORDINATOR_PHASE_IDLE || customer == NULL ||
        db->is_removal_proposed) {
        return;
    }
    if (!db->is_removing) {
        if (!coordinator_mark_removals(leader, db, database)) {
            return;
        }
        // Answers to probes sent before this moment do not count.
        coordinator_set_phase(leader, db, COORDINATOR_PHASE_IDLE);
        db->is_removing = true;
        db->is_removal_known = false;
    }
    coordinator_collect_removal_positions(leader, db, database);
    if (db->is_removal_known &&
        coordinator_count_caught_up(db, database) >= customer->confirm) {
        coordinator_propose_removals(leader, db, database);
    }
}
