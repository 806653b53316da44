#include <string.h>

#include "test/fake/traffic_fleet.h"

#define TF_WAKE_TAG 1

// Checks that all entries together keep to the limits of an upstream.
static void
tf_entry_check_limits(struct traffic_fleet *fleet, uint32_t upstream)
{
    uint32_t running = 0;
    uint32_t open = 0;

    for (uint32_t i = 0; i < fleet->entries_count; i++) {
        running += fleet->entries[i].running[upstream];
        open += fleet->entries[i].open[upstream];
    }
    if (running > fleet->slots || open > fleet->connections) {
        traffic_fleet_violate(fleet, 0, "more than an upstream's limit");
    }
}

static size_t
tf_entry_find_conn(const struct tf_entry *entry, uint32_t conn)
{
    size_t place = 0;

    while (place < TF_CONNS_MAX - 1 && entry->conns[place].conn != conn) {
        place++;
    }
    return place;
}

static void
tf_entry_set_running(struct tf_entry *entry, uint32_t conn, uint64_t request)
{
    size_t place = tf_entry_find_conn(entry, conn);
    uint32_t upstream = entry->conns[place].upstream;

    entry->running[upstream] -= entry->conns[place].request != 0;
    entry->conns[place].request = request;
    entry->running[upstream] += request != 0;
}

static void
tf_entry_drop_conn(struct tf_entry *entry, uint32_t conn)
{
    size_t place = tf_entry_find_conn(entry, conn);

    if (entry->conns[place].conn == conn) {
        tf_entry_set_running(entry, conn, 0);
        entry->open[entry->conns[place].upstream]--;
        entry->conns[place].conn = 0;
    }
}

// Ends a request at its caller, and checks what the answer promises.
static void
tf_entry_end(struct traffic_fleet *fleet,
             const struct scheduler_action *action, enum tf_outcome outcome)
{
    struct tf_request *request = &fleet->requests[action->request];
    struct tf_session *session = &fleet->sessions[request->session];

    if (request->outcome != TF_OPEN) {
        traffic_fleet_violate(fleet, action->request, "ended twice");
        return;
    }
    if (outcome == TF_DONE && request->failed) {
        outcome = TF_NOT_RUN;
    }
    request->outcome = outcome;
    request->ended_us = network_get_now_us(fleet->network);
    if (outcome != TF_DONE) {
        return;
    }
    if (request->request_class == SCHEDULER_CLASS_READ && !request->saw_it) {
        traffic_fleet_violate(fleet, action->request,
                              "a read misses the session's own save");
    }
    session->floor = action->floor;
    if (request->request_class == SCHEDULER_CLASS_WRITE) {
        session->last_done = action->request;
    }
    else if (request->request_class == SCHEDULER_CLASS_COMMIT) {
        session->last_done = request->commits;
    }
}

static void
tf_entry_carry_out_send(struct traffic_fleet *fleet, struct tf_entry *entry,
                        const struct scheduler_action *action)
{
    struct tf_request *request = &fleet->requests[action->request];

    request->sends++;
    request->on_replica = action->on_replica;
    if (request->sends > 1 && request->request_class != SCHEDULER_CLASS_READ) {
        traffic_fleet_violate(fleet, action->request, "sent twice");
    }
    tf_entry_set_running(entry, action->conn, action->request);
    tf_entry_check_limits(fleet, action->upstream);
}

static void
tf_entry_carry_out_open(struct traffic_fleet *fleet, struct tf_entry *entry,
                        const struct scheduler_action *action)
{
    size_t place = tf_entry_find_conn(entry, 0);

    entry->conns[place].conn = action->conn;
    entry->conns[place].upstream = action->upstream;
    entry->conns[place].request = 0;
    entry->open[action->upstream]++;
    tf_entry_check_limits(fleet, action->upstream);
}

static void
tf_entry_carry_out(struct traffic_fleet *fleet, uint32_t place,
                   const struct scheduler_action *action)
{
    struct tf_entry *entry = &fleet->entries[place];
    struct tf_message message = {.entry = place,
                                 .upstream = action->upstream,
                                 .conn = action->conn,
                                 .request = action->request};

    message.asked_at_us = network_get_now_us(fleet->network);
    switch (action->kind) {
    case SCHEDULER_ACTION_OPEN:
        tf_entry_carry_out_open(fleet, entry, action);
        message.kind = TF_MESSAGE_OPEN;
        break;
    case SCHEDULER_ACTION_CLOSE:
        tf_entry_drop_conn(entry, action->conn);
        message.kind = TF_MESSAGE_CLOSE;
        break;
    case SCHEDULER_ACTION_RESET:
    case SCHEDULER_ACTION_PROVE:
        message.kind = TF_MESSAGE_PROBE;
        break;
    case SCHEDULER_ACTION_SEND:
        tf_entry_carry_out_send(fleet, entry, action);
        message.kind = TF_MESSAGE_RUN;
        break;
    case SCHEDULER_ACTION_SAMPLE:
        message.kind = TF_MESSAGE_SAMPLE;
        break;
    case SCHEDULER_ACTION_ANSWER:
    case SCHEDULER_ACTION_WARN:
        tf_entry_end(fleet, action, TF_DONE);
        return;
    case SCHEDULER_ACTION_REFUSE:
        tf_entry_end(fleet, action, TF_NOT_RUN);
        return;
    case SCHEDULER_ACTION_UNKNOWN:
        tf_entry_end(fleet, action, TF_UNKNOWN);
        return;
    case SCHEDULER_ACTION_CONFIRM_REVOKED:
        entry->confirmed = !entry->control_cut;
        return;
    case SCHEDULER_ACTION_WAKE:
        network_set_timer(fleet->network, (int)place, TF_WAKE_TAG,
                          action->wake_at_us);
        return;
    case SCHEDULER_ACTION_END_SESSION:
        fleet->sessions[action->session].open = false;
        return;
    case SCHEDULER_ACTION_CANCEL:
    case SCHEDULER_ACTION_SUSPECT:
        return;
    }
    tf_send(fleet, (int)place, tf_upstream_node(fleet, action->upstream),
            &message);
}

// Steps an entry's machine and carries its actions out.
void
tf_entry_step(struct traffic_fleet *fleet, uint32_t place,
              const struct scheduler_event *event)
{
    struct tf_entry *entry = &fleet->entries[place];

    entry->actions.count = 0;
    scheduler_step(entry->scheduler, network_get_now_us(fleet->network), event,
                   &entry->actions);
    for (size_t i = 0; i < entry->actions.count; i++) {
        const struct scheduler_action action = entry->actions.items[i];
        tf_entry_carry_out(fleet, place, &action);
    }
}

// Reports a lost connection: first what ran on it, then the connection.
static void
tf_entry_lose_conn(struct traffic_fleet *fleet, uint32_t place,
                   const struct tf_message *message)
{
    struct tf_entry *entry = &fleet->entries[place];
    size_t conn = tf_entry_find_conn(entry, message->conn);
    struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_CONN_FAILED,
        .conn = {.upstream = message->upstream, .conn = message->conn}};

    if (entry->conns[conn].conn != message->conn) {
        return;
    }
    if (entry->conns[conn].request != 0) {
        const struct scheduler_event result = {
            .kind = SCHEDULER_EVENT_RESULT,
            .result = {.request = entry->conns[conn].request,
                       .conn = message->conn,
                       .result = SCHEDULER_RESULT_CONN_LOST}};
        tf_entry_step(fleet, place, &result);
    }
    event.conn.refused = message->kind == TF_MESSAGE_REFUSED;
    tf_entry_drop_conn(entry, message->conn);
    tf_entry_step(fleet, place, &event);
}

static void
tf_entry_handle_sampled(struct traffic_fleet *fleet, uint32_t place,
                        const struct tf_message *message)
{
    struct scheduler_event event = {
        .kind = message->failed ? SCHEDULER_EVENT_SAMPLE_FAILED
                                : SCHEDULER_EVENT_SAMPLE,
        .sample = {.upstream = message->upstream,
                   .is_primary = message->is_primary,
                   .refused = message->failed,
                   .position = message->position,
                   .asked_at_us = message->asked_at_us}};

    tf_entry_step(fleet, place, &event);
}

void
tf_entry_handle(struct traffic_fleet *fleet, uint32_t place,
                const struct tf_message *message)
{
    struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_CONN_OPENED,
        .conn = {.upstream = message->upstream, .conn = message->conn}};

    switch (message->kind) {
    case TF_MESSAGE_READY:
        event.kind = SCHEDULER_EVENT_CONN_READY;
        tf_entry_step(fleet, place, &event);
        break;
    case TF_MESSAGE_OPENED:
        tf_entry_step(fleet, place, &event);
        break;
    case TF_MESSAGE_REFUSED:
    case TF_MESSAGE_RESET:
        tf_entry_lose_conn(fleet, place, message);
        break;
    case TF_MESSAGE_RESULT:
        fleet->requests[message->request].failed =
            message->result == SCHEDULER_RESULT_ERROR;
        event = (struct scheduler_event){
            .kind = SCHEDULER_EVENT_RESULT,
            .result = {.request = message->request,
                       .conn = message->conn,
                       .result = message->result,
                       .in_transaction = message->in_transaction,
                       .answer_held = true,
                       .position = message->position}};
        if (fleet->entries[place]
                .conns[tf_entry_find_conn(&fleet->entries[place],
                                          message->conn)]
                .request == message->request) {
            tf_entry_set_running(&fleet->entries[place], message->conn, 0);
        }
        tf_entry_step(fleet, place, &event);
        break;
    case TF_MESSAGE_SAMPLED:
        tf_entry_handle_sampled(fleet, place, message);
        break;
    default:
        break;
    }
}
