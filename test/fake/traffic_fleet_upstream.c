#include <string.h>

#include "test/fake/traffic_fleet.h"

#define TF_EMPTY_LSN 100

static struct ck_position
tf_upstream_get_position(const struct tf_upstream *up)
{
    return (struct ck_position){up->timeline, TF_EMPTY_LSN + up->rows_count};
}

bool
tf_upstream_has_row(const struct tf_upstream *up, uint64_t request)
{
    for (uint32_t i = 0; i < up->rows_count; i++) {
        if (up->rows[i].request == request) {
            return true;
        }
    }
    return false;
}

static struct tf_conn *
tf_upstream_find_conn(struct tf_upstream *up, uint32_t entry, uint32_t conn)
{
    for (size_t i = 0; i < TF_CONNS_MAX; i++) {
        struct tf_conn *item = &up->conns[i];
        if (item->used && item->entry == entry && item->conn == conn) {
            return item;
        }
    }
    return NULL;
}

static void
tf_upstream_reply(struct traffic_fleet *fleet, uint32_t upstream,
                  struct tf_message reply, enum tf_message_kind kind)
{
    reply.kind = kind;
    tf_send(fleet, tf_upstream_node(fleet, upstream), (int)reply.entry,
            &reply);
}

static void
tf_upstream_open(struct tf_upstream *up, const struct tf_message *message)
{
    for (size_t i = 0; i < TF_CONNS_MAX; i++) {
        if (!up->conns[i].used) {
            up->conns[i] = (struct tf_conn){
                .used = true, .entry = message->entry, .conn = message->conn};
            return;
        }
    }
}

static void
tf_upstream_run(struct traffic_fleet *fleet, uint32_t upstream,
                const struct tf_message *message)
{
    struct tf_upstream *up = &fleet->upstreams[upstream];
    struct tf_request *request = &fleet->requests[message->request];
    struct tf_conn *conn =
        tf_upstream_find_conn(up, message->entry, message->conn);

    if (conn == NULL) {
        tf_upstream_reply(fleet, upstream, *message, TF_MESSAGE_RESET);
        return;
    }
    if (conn->running != 0) {
        traffic_fleet_violate(fleet, message->request,
                              "two statements at once on a connection");
    }
    if (conn->owner != 0 && conn->owner != request->session) {
        traffic_fleet_violate(fleet, message->request,
                              "a statement in another one's transaction");
    }
    conn->running = message->request;
    int64_t took_us =
        up->service_us / 2 + (int64_t)(network_get_random(fleet->network) %
                                       (uint64_t)up->service_us);
    network_set_timer(fleet->network, tf_upstream_node(fleet, upstream),
                      (uint64_t)(conn - up->conns),
                      network_get_now_us(fleet->network) + took_us);
}

static void
tf_upstream_insert(struct traffic_fleet *fleet, struct tf_upstream *up,
                   uint64_t request)
{
    if (tf_upstream_has_row(up, request)) {
        traffic_fleet_violate(fleet, request, "a save has run twice");
    }
    if (up->rows_count < TF_ROWS_MAX) {
        up->rows[up->rows_count++] =
            (struct tf_row){request, network_get_now_us(fleet->network)};
    }
}

// Runs a statement on a connection. Returns whether it succeeds.
static bool
tf_upstream_execute(struct traffic_fleet *fleet, struct tf_upstream *up,
                    struct tf_conn *conn, struct tf_request *request)
{
    switch (request->request_class) {
    case SCHEDULER_CLASS_READ:
        request->saw_it = request->must_see == 0 ||
                          tf_upstream_has_row(up, request->must_see);
        return true;
    case SCHEDULER_CLASS_WRITE:
        if (up->is_primary) {
            tf_upstream_insert(fleet, up, conn->running);
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
            tf_upstream_insert(fleet, up, conn->pending);
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
tf_upstream_finish(struct traffic_fleet *fleet, uint32_t upstream,
                   uint32_t place)
{
    struct tf_upstream *up = &fleet->upstreams[upstream];
    struct tf_conn *conn = &up->conns[place];

    if (up->down || !conn->used || conn->running == 0) {
        return;
    }
    struct tf_message reply = {.entry = conn->entry,
                               .upstream = upstream,
                               .conn = conn->conn,
                               .request = conn->running};
    bool done =
        tf_upstream_execute(fleet, up, conn, &fleet->requests[conn->running]);
    conn->running = 0;
    reply.result = done ? SCHEDULER_RESULT_DONE : SCHEDULER_RESULT_ERROR;
    reply.in_transaction = conn->owner != 0;
    reply.position = tf_upstream_get_position(up);
    tf_upstream_reply(fleet, upstream, reply, TF_MESSAGE_RESULT);
}

void
tf_upstream_handle(struct traffic_fleet *fleet, uint32_t upstream,
                   const struct tf_message *message)
{
    struct tf_upstream *up = &fleet->upstreams[upstream];
    struct tf_message reply = *message;
    struct tf_conn *conn =
        tf_upstream_find_conn(up, message->entry, message->conn);

    reply.position = tf_upstream_get_position(up);
    reply.is_primary = up->is_primary;
    reply.failed = up->down;
    switch (message->kind) {
    case TF_MESSAGE_OPEN:
        if (!up->down) {
            tf_upstream_open(up, message);
        }
        tf_upstream_reply(fleet, upstream, reply,
                          up->down ? TF_MESSAGE_REFUSED : TF_MESSAGE_OPENED);
        break;
    case TF_MESSAGE_CLOSE:
        if (conn != NULL) {
            conn->used = false;
        }
        break;
    case TF_MESSAGE_PROBE:
        if (conn != NULL) {
            conn->owner = conn->pending = 0;
        }
        tf_upstream_reply(fleet, upstream, reply,
                          conn == NULL ? TF_MESSAGE_RESET : TF_MESSAGE_READY);
        break;
    case TF_MESSAGE_RUN:
        tf_upstream_run(fleet, upstream, message);
        break;
    case TF_MESSAGE_SAMPLE:
        tf_upstream_reply(fleet, upstream, reply, TF_MESSAGE_SAMPLED);
        break;
    default:
        break;
    }
}

// Drops what an upstream wrote that the new primary does not have.
static void
tf_upstream_rewind(struct tf_upstream *up, const struct tf_upstream *primary)
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
tf_upstream_replicate(struct traffic_fleet *fleet, uint32_t upstream)
{
    struct tf_upstream *up = &fleet->upstreams[upstream];
    const struct tf_upstream *primary = &fleet->upstreams[fleet->primary];
    int64_t until_us = network_get_now_us(fleet->network) - up->lag_us;

    if (up->down || up == primary || !up->follows || primary->down ||
        !primary->is_primary) {
        return;
    }
    if (up->timeline != primary->timeline) {
        tf_upstream_rewind(up, primary);
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
traffic_fleet_crash(struct traffic_fleet *fleet, uint32_t upstream)
{
    struct tf_upstream *up = &fleet->upstreams[upstream];

    up->down = true;
    for (size_t i = 0; i < TF_CONNS_MAX; i++) {
        struct tf_conn *conn = &up->conns[i];
        if (conn->used) {
            const struct tf_message message = {.entry = conn->entry,
                                               .upstream = upstream,
                                               .conn = conn->conn};
            tf_upstream_reply(fleet, upstream, message, TF_MESSAGE_RESET);
        }
        conn->used = false;
    }
}
