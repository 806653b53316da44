#include "catkingrade/decide/traffic/scheduler_session.h"

#include <stdlib.h>

#include "catkingrade/decide/traffic/floor.h"
#include "catkingrade/decide/traffic/pool.h"
#include "catkingrade/decide/traffic/request_run.h"
#include "catkingrade/decide/traffic/scheduler_actions.h"
#include "catkingrade/decide/traffic/scheduler_request.h"
#include "catkingrade/kernel/memory.h"

// Opens a session. Without a floor, and unless it is declared new, the session
// waits for the primary's position before its first read.
void
session_open(struct scheduler *scheduler,
             const struct scheduler_session_open *event)
{
    if (id_map_get(&scheduler->sessions, event->session) != NULL) {
        return;
    }
    struct session *session = xcalloc(1, sizeof(*session));
    session->id = event->session;
    session->arrived_us = scheduler->now_us;
    session->conn = SCHEDULER_NO_ID;
    session->floor_known = event->floor_known || event->declared_new;
    if (event->floor_known) {
        session->floor = event->floor;
        session->floor_us = scheduler->now_us - event->floor_age_us;
    }
    id_map_put(&scheduler->sessions, session->id, session);
    if (!session->floor_known) {
        floor_start_waiting(scheduler, session);
    }
    if (scheduler->sessions.count == 1 && scheduler->view_known) {
        pool_maintain(scheduler);
    }
    session_end_if_due(scheduler, session);
}

// Raises the floor of a session to that of a token that the client sent later.
// With event->replaces, sets the floor even if it is lower, as the requests
// that follow belong to another session.
void
session_set_floor(struct scheduler *scheduler,
                  const struct scheduler_session_open *event)
{
    struct session *session = id_map_get(&scheduler->sessions, event->session);

    if (session == NULL || !event->floor_known) {
        return;
    }
    if (event->replaces) {
        session->floor = event->floor;
        session->floor_us = scheduler->now_us - event->floor_age_us;
    }
    else {
        (void)floor_raise(&session->floor, &event->floor);
    }
    session->floor_known = true;
    floor_stop_waiting(scheduler, session);
    request_continue_session(scheduler, session);
}

// Ends all requests of a session. None of those behind the first one begins.
static void
session_drop_requests(struct scheduler *scheduler, struct session *session,
                      const char *reason)
{
    session->continuing = true;
    while (session->first != NULL) {
        request_drop(scheduler, session->first, reason);
    }
    session->continuing = false;
}

// Closes a session: ends its requests, closes the connection that is pinned to
// its transaction, and frees it.
void
session_close(struct scheduler *scheduler, uint64_t id)
{
    struct session *session = id_map_get(&scheduler->sessions, id);

    if (session == NULL) {
        return;
    }
    session->ended = true;
    session_drop_requests(scheduler, session, "its session has ended");
    struct conn *conn = pool_find(scheduler, session->conn);
    if (conn != NULL) {
        pool_close(scheduler, conn, SCHEDULER_CLOSE_ABNORMAL);
    }
    floor_stop_waiting(scheduler, session);
    (void)id_map_remove(&scheduler->sessions, id);
    free(session);
}

// Asks the adapter to end a session that has no request and no open
// transaction, so that its client connects to another entry.
void
session_move(struct scheduler *scheduler, struct session *session)
{
    if (session->ended || session->first != NULL ||
        session->conn != SCHEDULER_NO_ID) {
        return;
    }
    session->ended = true;
    scheduler_add_action(scheduler, SCHEDULER_ACTION_END_SESSION)->session =
        session->id;
}

// Ends a session that has no request and no open transaction, if the entry is
// stopping or the customer is closed.
void
session_end_if_due(struct scheduler *scheduler, struct session *session)
{
    bool closed = scheduler->view_known &&
                  scheduler->view.customer->state == CK_CUSTOMER_CLOSED;

    if (scheduler->draining || closed) {
        session_move(scheduler, session);
    }
}

// Ends all sessions without a request and an open transaction, if the entry is
// stopping or the customer is closed.
void
session_end_idle(struct scheduler *scheduler)
{
    for (size_t i = 0; i < scheduler->sessions.capacity; i++) {
        struct session *session = scheduler->sessions.items[i];
        if (session != NULL) {
            session_end_if_due(scheduler, session);
        }
    }
}

// Ends the requests of all sessions, and the sessions outside a transaction,
// as the time of a planned stop has run out.
void
session_finish_all(struct scheduler *scheduler)
{
    for (size_t i = 0; i < scheduler->sessions.capacity; i++) {
        struct session *session = scheduler->sessions.items[i];
        if (session != NULL) {
            session_drop_requests(scheduler, session,
                                  "the entry stops before its answer");
            session_end_if_due(scheduler, session);
        }
    }
}

// Frees all sessions and requests without adding actions.
void
session_free_all(struct scheduler *scheduler)
{
    for (size_t i = 0; i < scheduler->requests.capacity; i++) {
        free(scheduler->requests.items[i]);
    }
    for (size_t i = 0; i < scheduler->sessions.capacity; i++) {
        free(scheduler->sessions.items[i]);
    }
}
