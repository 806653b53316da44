#include "catkingrade/decide/traffic/scheduler_lease.h"

#include "catkingrade/decide/traffic/confirm.h"
#include "catkingrade/decide/traffic/scheduler_actions.h"

// Returns the term of the view's database; 0 before the first view.
uint64_t
lease_get_term(const struct scheduler *scheduler)
{
    return scheduler->term;
}

// Returns whether this entry's own lease guarantees that the primary of the
// view's term was the only primary at at_us, which must not be in the future.
// A database without a control group counts as always leased.
static bool
lease_covers(const struct scheduler *scheduler, int64_t at_us)
{
    if (!scheduler->view_known) {
        return false;
    }
    const struct ck_database *database = scheduler->view.database;
    if (!scheduler->lease_known && database->group[0] == '\0') {
        return true;
    }
    return scheduler->lease_known && scheduler->lease.term == database->term &&
           database->term >= scheduler->min_term &&
           scheduler->lease.valid_until_us > at_us;
}

// Returns whether a lease of the view's term that admits new writes was valid
// at at_us. A term that is being superseded admits none. In a relayed view,
// new requests run at a relay entry, which needs the lease.
bool
lease_is_valid_at(const struct scheduler *scheduler, int64_t at_us)
{
    return scheduler->view_known && (scheduler->view.relayed ||
                                     (lease_covers(scheduler, at_us) &&
                                      !scheduler->view.database->superseding));
}

// Returns whether a commit at an upstream of this entry's own may be
// acknowledged now, if its write or transaction began in a term. A term that
// is being superseded may acknowledge until its lease runs out or is revoked,
// as the control group promotes no new primary before. What runs at a relay
// entry is acknowledged by that one.
bool
lease_may_acknowledge(const struct scheduler *scheduler, uint64_t term)
{
    return term == lease_get_term(scheduler) &&
           lease_covers(scheduler, scheduler->now_us);
}

// Returns whether new writes of the view's term may run now. A primary that
// leaves admits none once its time is over.
bool
lease_is_valid(const struct scheduler *scheduler)
{
    return !scheduler->primary_stopped &&
           lease_is_valid_at(scheduler, scheduler->now_us);
}

// Revokes a term: its unconfirmed commits end with outcome unknown, and the
// control group is notified that the entry acknowledges no more commits in it.
static void
lease_revoke(struct scheduler *scheduler, uint64_t term)
{
    if (term >= scheduler->min_term) {
        scheduler->min_term = term + 1;
    }
    confirm_end_term(scheduler, term);
    scheduler_add_action(scheduler, SCHEDULER_ACTION_CONFIRM_REVOKED)->term =
        term;
}

// Returns whether the entry may use its full quotas instead of only their
// guaranteed part: as long as the lease is valid, whatever its term.
bool
lease_has_quota(const struct scheduler *scheduler)
{
    if (!scheduler->lease_known) {
        return scheduler->view.database->group[0] == '\0';
    }
    return scheduler->lease.valid_until_us > scheduler->now_us;
}

// Revokes a term that is being superseded once no request is in flight at the
// primary and no commit waits for its confirmation. A planned switchover then
// interrupts no write.
void
lease_end_superseded(struct scheduler *scheduler)
{
    uint64_t term = lease_get_term(scheduler);
    bool running = scheduler->primary != SCHEDULER_NO_ID &&
                   !scheduler->view.relayed &&
                   scheduler->upstreams[scheduler->primary].running > 0;

    if (!scheduler->view.database->superseding || term < scheduler->min_term ||
        running || scheduler->confirming.first != NULL) {
        return;
    }
    lease_revoke(scheduler, term);
}

// Handles a renewal or a revocation of the lease. A renewal for an older term
// is ignored, and so is one that would shorten the lease. A renewal of a
// revoked term has no effect on writes.
void
lease_handle(struct scheduler *scheduler, const struct scheduler_lease *lease)
{
    if (lease->revoked) {
        lease_revoke(scheduler, lease->term);
        return;
    }
    if (scheduler->lease_known && lease->term < scheduler->lease.term) {
        return;
    }
    if (scheduler->lease_known && lease->term == scheduler->lease.term &&
        lease->valid_until_us < scheduler->lease.valid_until_us) {
        return;
    }
    scheduler->lease = *lease;
    scheduler->lease_known = true;
}
