#include "catkingrade/decide/traffic/floor.h"

#include "catkingrade/decide/traffic/scheduler_lease.h"
#include "catkingrade/decide/traffic/scheduler_request.h"
#include "catkingrade/decide/traffic/scheduler_sample.h"

// Translates a floor to a log position of the present term and stores it in
// *lsn; it is meaningful only for FLOOR_NEED_LSN. A floor of an older term is
// capped at the base, the position where the present term began: what the
// older term wrote beyond the base was never acknowledged. A base of 0 is
// unknown and caps nothing.
enum floor_need
floor_translate(const struct ck_database *database,
                const struct scheduler_floor *floor, uint64_t *lsn)
{
    *lsn = floor->lsn;
    if (floor->term > database->term) {
        return FLOOR_NEED_VIEW;
    }
    if (floor->term < database->term && database->base.lsn != 0 &&
        floor->lsn > database->base.lsn) {
        *lsn = database->base.lsn;
    }
    return FLOOR_NEED_LSN;
}

// Raises a floor to another one if the other one is higher. Returns whether
// the floor was raised.
bool
floor_raise(struct scheduler_floor *floor, const struct scheduler_floor *other)
{
    if (other->term < floor->term ||
        (other->term == floor->term && other->lsn <= floor->lsn)) {
        return false;
    }
    *floor = *other;
    return true;
}

// Adds a session to the list of sessions that wait for a floor. A session
// without a floor waits for a sample of the primary that is requested after
// its arrival; all sessions that arrive until that request share the sample. A
// session whose floor is of a later term waits for the view of that term.
void
floor_start_waiting(struct scheduler *scheduler, struct session *session)
{
    session->floor_waiting = true;
    session->floor_previous = NULL;
    session->floor_next = scheduler->floor_first;
    if (session->floor_next != NULL) {
        session->floor_next->floor_previous = session;
    }
    scheduler->floor_first = session;
    if (!session->floor_known && scheduler->primary != SCHEDULER_NO_ID) {
        sample_request(scheduler, scheduler->primary, session->arrived_us);
    }
}

// Removes a session from the list of waiting sessions if it is in the list.
void
floor_stop_waiting(struct scheduler *scheduler, struct session *session)
{
    if (!session->floor_waiting) {
        return;
    }
    session->floor_waiting = false;
    if (session->floor_previous != NULL) {
        session->floor_previous->floor_next = session->floor_next;
    }
    else {
        scheduler->floor_first = session->floor_next;
    }
    if (session->floor_next != NULL) {
        session->floor_next->floor_previous = session->floor_previous;
    }
    session->floor_next = session->floor_previous = NULL;
}

// Assigns the sampled position of the primary as floor to the waiting sessions
// that arrived before the sample was requested. Ignores the sample if the
// primary had no valid lease then: the primary may have been superseded, and
// its position says nothing about writes that another primary has
// acknowledged.
void
floor_assign_from_sample(struct scheduler *scheduler,
                         const struct scheduler_sample *sample)
{
    struct session *session = scheduler->floor_first;

    if (!lease_is_valid_at(scheduler, sample->asked_at_us)) {
        return;
    }
    while (session != NULL) {
        struct session *next = session->floor_next;
        if (!session->floor_known &&
            session->arrived_us <= sample->asked_at_us) {
            floor_stop_waiting(scheduler, session);
            session->floor = (struct scheduler_floor){
                lease_get_term(scheduler), sample->position.lsn};
            session->floor_known = true;
            request_continue_session(scheduler, session);
        }
        session = next;
    }
}

// Resumes the waiting sessions whose floor the new view can translate, and
// requests a sample of the new primary for sessions that have no floor.
void
floor_handle_view(struct scheduler *scheduler)
{
    const struct ck_database *database = scheduler->view.database;
    struct session *session = scheduler->floor_first;

    while (session != NULL) {
        struct session *next = session->floor_next;
        uint64_t lsn = 0;
        if (!session->floor_known) {
            if (scheduler->primary != SCHEDULER_NO_ID) {
                sample_request(scheduler, scheduler->primary,
                               session->arrived_us);
            }
        }
        else if (floor_translate(database, &session->floor, &lsn) ==
                 FLOOR_NEED_LSN) {
            floor_stop_waiting(scheduler, session);
            request_continue_session(scheduler, session);
        }
        session = next;
    }
}
