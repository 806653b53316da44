#include "catkingrade/decide/traffic_session.h"

#include <stdlib.h>

#include "catkingrade/decide/floor.h"
#include "catkingrade/decide/pool.h"
#include "catkingrade/decide/request_run.h"
#include "catkingrade/decide/traffic_actions.h"
#include "catkingrade/decide/traffic_request.h"
#include "catkingrade/kernel/memory.h"

// Opens a session. One that brings no floor and does not declare itself new
// waits for the primary's position before its first read.
void
session_open(struct traffic *traffic, const struct traffic_session_open *event)
{
    if (id_map_get(&traffic->sessions, event->session) != NULL) {
        return;
    }
    struct session *session = xcalloc(1, sizeof(*session));
    session->id = event->session;
    session->arrived_us = traffic->now_us;
    session->conn = TRAFFIC_NO_ID;
    session->floor_known = event->floor_known || event->declared_new;
    if (event->floor_known) {
        session->floor = event->floor;
    }
    id_map_put(&traffic->sessions, session->id, session);
    if (!session->floor_known) {
        floor_start_waiting(traffic, session);
    }
    if (traffic->sessions.count == 1 && traffic->view_known) {
        pool_maintain(traffic);
    }
    session_end_if_due(traffic, session);
}

// Raises the floor of a session to that of a token which came later, or sets
// it to that of another session whose statements follow.
void
session_set_floor(struct traffic *traffic,
                  const struct traffic_session_open *event)
{
    struct session *session = id_map_get(&traffic->sessions, event->session);

    if (session == NULL || !event->floor_known) {
        return;
    }
    if (event->replaces) {
        session->floor = event->floor;
        session->floor_us = traffic->now_us - event->floor_age_us;
    }
    else {
        (void)floor_raise(&session->floor, &event->floor);
    }
    session->floor_known = true;
    floor_stop_waiting(traffic, session);
    request_continue_session(traffic, session);
}

// Closes a session: its requests end, and a connection that its transaction
// owns is closed.
void
session_close(struct traffic *traffic, uint64_t id)
{
    struct session *session = id_map_get(&traffic->sessions, id);

    if (session == NULL) {
        return;
    }
    session->ended = true;
    session->continuing = true;
    while (session->first != NULL) {
        request_drop(traffic, session->first);
    }
    struct conn *conn = pool_find(traffic, session->conn);
    if (conn != NULL) {
        pool_close(traffic, conn, TRAFFIC_CLOSE_ABNORMAL);
    }
    floor_stop_waiting(traffic, session);
    (void)id_map_remove(&traffic->sessions, id);
    free(session);
}

// Tells the adapter to end a session that is at a transaction boundary with
// nothing to do, when the entry is stopping or the customer is closed.
void
session_end_if_due(struct traffic *traffic, struct session *session)
{
    bool closed = traffic->view_known &&
                  traffic->view.customer->state == CK_CUSTOMER_CLOSED;

    if ((!traffic->draining && !closed) || session->ended ||
        session->first != NULL || session->conn != TRAFFIC_NO_ID) {
        return;
    }
    session->ended = true;
    traffic_add_action(traffic, TRAFFIC_ACTION_END_SESSION)->session =
        session->id;
}

// Ends all sessions that are idle at a transaction boundary.
void
session_end_idle(struct traffic *traffic)
{
    for (size_t i = 0; i < traffic->sessions.capacity; i++) {
        struct session *session = traffic->sessions.items[i];
        if (session != NULL) {
            session_end_if_due(traffic, session);
        }
    }
}

// Frees all sessions and their requests, without any action.
void
session_free_all(struct traffic *traffic)
{
    for (size_t i = 0; i < traffic->requests.capacity; i++) {
        free(traffic->requests.items[i]);
    }
    for (size_t i = 0; i < traffic->sessions.capacity; i++) {
        free(traffic->sessions.items[i]);
    }
}
