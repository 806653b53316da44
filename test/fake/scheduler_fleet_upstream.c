#include <string.h>

#include "test/fake/scheduler_fleet.h"

#define SCHEDULER_FLEET_EMPTY_LSN 100

static struct ck_position
scheduler_fleet_upstream_get_position(
    const struct scheduler_fleet_upstream *up)
{
    return (struct ck_position){up->timeline,
                                SCHEDULER_FLEET_EMPTY_LSN + up->rows_count};
}

bool
scheduler_fleet_upstream_has_row(const struct scheduler_fleet_upstream *up,
                                 uint64_t request)
{
    for (uint32_t i = 0; i < up->rows_count; i++) {
        if (up->rows[i].request == request) {
            return true;
        }
    }
    return false;
}

static struct scheduler_fleet_conn *
scheduler_fleet_upstream_find_conn(struct scheduler_fleet_upstream *up,
                                   uint32_t entry, uint32_t conn)
{
    for (size_t i = 0; i < SCHEDULER_FLEET_MAX_CONNS; i++) {
        struct scheduler_fleet_conn *item = &up->conns[i];
        if (item->used && item->entry == entry && item->conn == conn) {
            return item;
        }
    }
    return NULL;
}

static void
scheduler_fleet_upstream_reply(struct scheduler_fleet *fleet,
                               uint32_t upstream,
                               struct scheduler_fleet_message reply,
                               enum scheduler_fleet_message_kind kind)
{
    reply.kind = kind;
    scheduler_fleet_send_message(
        fleet, scheduler_fleet_upstream_node(fleet, upstream),
        (int)reply.entry, &reply);
}

static void
scheduler_fleet_upstream_open(struct scheduler_fleet_upstream *up,
                              const struct scheduler_fleet_message *message)
{
    for (size_t i = 0; i < SCHEDULER_FLEET_MAX_CONNS; i++) {
        if (!up->conns[i].used) {
            up->conns[i] = (struct scheduler_fleet_conn){
                .used = true, .entry = message->entry, .conn = message->conn};
            return;
        }
    }
}

static void
scheduler_fleet_upstream_run(struct scheduler_fleet *fleet, uint32_t upstream,
                             const struct scheduler_fleet_message *message)
{
    struct scheduler_fleet_upstream *up = &fleet->upstreams[upstream];
    struct scheduler_fleet_request *request =
        &fleet->requests[message->request];
    struct scheduler_fleet_conn *conn =
        scheduler_fleet_upstream_find_conn(up, message->entry, message->conn);

    if (conn == NULL) {
        scheduler_fleet_upstream_reply(fleet, upstream, *message,
                                       SCHEDULER_FLEET_MESSAGE_RESET);
        return;
    }
    if (conn->running != 0) {
        scheduler_fleet_record_violation(
            fleet, message->request, "two statements at once on a connection");
    }
    if (conn->owner != 0 && conn->owner != request->session) {
        scheduler_fleet_record_violation(
            fleet, message->request,
            "a statement in another one's transaction");
    }
    conn->running = message->request;
    int64_t took_us =
        up->service_us / 2 + (int64_t)(network_get_random(fleet->network) %
                                       (uint64_t)up->service_us);
    network_set_timer(fleet->network,
                      scheduler_fleet_upstream_node(fleet, upstream),
                      (uint64_t)(conn - up->conns),
                      network_get_now_us(fleet->network) + took_us);
}

static void
scheduler_fleet_upstream_insert(struct scheduler_fleet *fleet,
                                struct scheduler_fleet_upstream *up,
                                uint64_t request)
{
    if (scheduler_fleet_upstream_has_row(up, request)) {
        scheduler_fleet_record_violation(fleet, request,
                                         "a save has run twice");
    }
    if (up->rows_count < SCHEDULER_FLEET_MAX_ROWS) {
        up->rows[up->rows_count++] = (struct scheduler_fleet_row){
            request, network_get_now_us(fleet->network)};
    }
}

// Runs a statement on a connection. Returns whether it succeeds.
static bool
scheduler_fleet_upstream_execute(struct scheduler_fleet *fleet,
                                 struct scheduler_fleet_upstream *up,
                                 struct scheduler_fleet_conn *conn,
                                 struct scheduler_fleet_request *request)
{
    switch (request->request_class) {
    case SCHEDULER_CLASS_READ:
        request->saw_it =
            request->must_see == 0 ||
            scheduler_fleet_upstream_has_row(up, request->must_see);
        return true;
    case SCHEDULER_CLASS_WRITE:
        if (up->is_primary) {
            scheduler_fleet_upstream_insert(fleet, up, conn->running);
        }
        return up->is_primary;
    case SCHEDULER_CLASS_BEGIN:
    case SCHEDULER_CLASS_BEGIN_READ_ONLY:
        conn->owner = request->session;
        conn->pending = 0;
        return true;
    case SCHEDULER_CLASS_IN_TRANSACTION:
        conn->pending = conn->running;
        return conn->owner != 0;
    case SCHEDULER_CLASS_COMMIT:
        if (conn->owner != 0 && conn->pending != 0 && up->is_primary) {
            scheduler_fleet_upstream_insert(fleet, up, conn->pending);
        }
        conn->owner = conn->pending = 0;
        return up->is_primary;
    case SCHEDULER_CLASS_ROLLBACK:
        conn->owner = conn->pending = 0;
        return true;
    }
    return false;
}

void
scheduler_fleet_upstream_complete(struct scheduler_fleet *fleet,
                                  uint32_t upstream, uint32_t place)
{
    struct scheduler_fleet_upstream *up = &fleet->upstreams[upstream];
    struct scheduler_fleet_conn *conn = &up->conns[place];

    if (up->down || !conn->used || conn->running == 0) {
        return;
    }
    struct scheduler_fleet_message reply = {.entry = conn->entry,
                                            .upstream = upstream,
                                            .conn = conn->conn,
                                            .request = conn->running};
    bool done = scheduler_fleet_upstream_execute(
        fleet, up, conn, &fleet->requests[conn->running]);
    conn->running = 0;
    reply.result = done ? SCHEDULER_RESULT_DONE : SCHEDULER_RESULT_ERROR;
    reply.in_transaction = conn->owner != 0;
    reply.position = scheduler_fleet_upstream_get_position(up);
    scheduler_fleet_upstream_reply(fleet, upstream, reply,
                                   SCHEDULER_FLEET_MESSAGE_RESULT);
}

void
scheduler_fleet_upstream_handle(struct scheduler_fleet *fleet,
                                uint32_t upstream,
                                const struct scheduler_fleet_message *message)
{
    struct scheduler_fleet_upstream *up = &fleet->upstreams[upstream];
    struct scheduler_fleet_message reply = *message;
    struct scheduler_fleet_conn *conn =
        scheduler_fleet_upstream_find_conn(up, message->entry, message->conn);

    reply.position = scheduler_fleet_upstream_get_position(up);
    reply.is_primary = up->is_primary;
    reply.failed = up->down;
    switch (message->kind) {
    case SCHEDULER_FLEET_MESSAGE_OPEN:
        if (!up->down) {
            scheduler_fleet_upstream_open(up, message);
        }
        scheduler_fleet_upstream_reply(fleet, upstream, reply,
                                       up->down
                                           ? SCHEDULER_FLEET_MESSAGE_REFUSED
                                           : SCHEDULER_FLEET_MESSAGE_OPENED);
        break;
    case SCHEDULER_FLEET_MESSAGE_CLOSE:
        if (conn != NULL) {
            conn->used = false;
        }
        break;
    case SCHEDULER_FLEET_MESSAGE_PROBE:
        if (conn != NULL) {
            conn->owner = conn->pending = 0;
        }
        scheduler_fleet_upstream_reply(fleet, upstream, reply,
                                       conn == NULL
                                           ? SCHEDULER_FLEET_MESSAGE_RESET
                                           : SCHEDULER_FLEET_MESSAGE_READY);
        break;
    case SCHEDULER_FLEET_MESSAGE_RUN:
        scheduler_fleet_upstream_run(fleet, upstream, message);
        break;
    case SCHEDULER_FLEET_MESSAGE_SAMPLE:
        scheduler_fleet_upstream_reply(fleet, upstream, reply,
                                       SCHEDULER_FLEET_MESSAGE_SAMPLED);
        break;
    default:
        break;
    }
}

// Drops what an upstream wrote that the new primary does not have.
static void
scheduler_fleet_upstream_rewind(struct scheduler_fleet_upstream *up,
                                const struct scheduler_fleet_upstream *primary)
{
    uint32_t same = 0;

    while (same < up->rows_count && same < primary->rows_count &&
           up->rows[same].request == primary->rows[same].request) {
        same++;
    }
    up->rows_count = same;
}

// Copies what the primary committed longer ago than the lag.
void
scheduler_fleet_upstream_replicate(struct scheduler_fleet *fleet,
                                   uint32_t upstream)
{
    struct scheduler_fleet_upstream *up = &fleet->upstreams[upstream];
    const struct scheduler_fleet_upstream *primary =
        &fleet->upstreams[fleet->primary];
    int64_t until_us = network_get_now_us(fleet->network) - up->lag_us;

    if (up->down || up == primary || !up->follows || primary->down ||
        !primary->is_primary) {
        return;
    }
    if (up->timeline != primary->timeline) {
        scheduler_fleet_upstream_rewind(up, primary);
        up->timeline = primary->timeline;
        up->is_primary = false;
    }
    while (up->rows_count < primary->rows_count &&
           primary->rows[up->rows_count].at_us <= until_us) {
        up->rows[up->rows_count] = primary->rows[up->rows_count];
        up->rows_count++;
    }
}

// Ends an upstream's process; its host resets the connections.
void
scheduler_fleet_crash_upstream(struct scheduler_fleet *fleet,
                               uint32_t upstream)
{
    struct scheduler_fleet_upstream *up = &fleet->upstreams[upstream];

    up->down = true;
    for (size_t i = 0; i < SCHEDULER_FLEET_MAX_CONNS; i++) {
        struct scheduler_fleet_conn *conn = &up->conns[i];
        if (conn->used) {
            const struct scheduler_fleet_message message = {
                .entry = conn->entry,
                .upstream = upstream,
                .conn = conn->conn};
            scheduler_fleet_upstream_reply(fleet, upstream, message,
                                           SCHEDULER_FLEET_MESSAGE_RESET);
        }
        conn->used = false;
    }
}
