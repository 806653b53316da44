#include "catkingrade/decide/scheduler_lease.h"

#include "catkingrade/decide/confirm.h"
#include "catkingrade/decide/scheduler_actions.h"

// Returns the term that the view names, 0 before the first view.
uint64_t
lease_get_term(const struct scheduler *scheduler)
{
    return scheduler->term;
}

// Returns whether the primary of the view's term was the only one at at_us,
// which must not be in the future. A database without control is always
// leased.
static bool
lease_covers(const struct scheduler *scheduler, int64_t at_us)
{
    if (!scheduler->view_known) {
        return false;
    }
    // Another entry answers under its own lease.
    if (scheduler->view.relayed) {
        return true;
    }
    const struct ck_database *database = scheduler->view.database;
    if (!scheduler->lease_known && database->group[0] == '\0') {
        return true;
    }
    return scheduler->lease_known && scheduler->lease.term == database->term &&
           database->term >= scheduler->min_term &&
           scheduler->lease.valid_until_us > at_us;
}

// Returns whether at_us lay in a lease of the view's term that may be used
// for new work; a term that is about to end takes none.
bool
lease_is_valid_at(const struct scheduler *scheduler, int64_t at_us)
{
    return lease_covers(scheduler, at_us) &&
           (scheduler->view.relayed || !scheduler->view.database->superseding);
}

// Returns whether a save of the view's term may be acknowledged now. While
// the term is being superseded that is so until its lease ends or is revoked:
// control promotes nobody before.
bool
lease_may_acknowledge(const struct scheduler *scheduler)
{
    return lease_covers(scheduler, scheduler->now_us);
}

// Returns whether new writes of the view's term may run now.
bool
lease_is_valid(const struct scheduler *scheduler)
{
    return lease_is_valid_at(scheduler, scheduler->now_us);
}

// Ends a term for good: its waiting saves end as unknown, and control is told
// that nothing of it is acknowledged any more.
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

// Returns whether all that was lent with the lease may be used, and not only
// its guaranteed part: until the lease runs out, of whatever term it is.
bool
lease_has_quota(const struct scheduler *scheduler)
{
    if (!scheduler->lease_known) {
        return scheduler->view.database->group[0] == '\0';
    }
    return scheduler->lease.valid_until_us > scheduler->now_us;
}

// Ends a term that is being superseded as soon as none of its saves runs or
// waits for its confirmation, so that a planned switchover need not cut any.
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

// Takes a renewal or a revocation. A renewal of a term that was revoked came
// late and changes nothing; the end of a lease never moves back.
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
