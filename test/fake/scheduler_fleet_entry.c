#include <string.h>

#include "test/fake/scheduler_fleet.h"

#define SCHEDULER_FLEET_WAKE_TAG 1

// Checks that all entries together stay within the limits of an upstream.
static void
scheduler_fleet_entry_check_limits(struct scheduler_fleet *fleet,
                                   uint32_t upstream)
{
    uint32_t running = 0;
    uint32_t open = 0;

    for (uint32_t i = 0; i < fleet->entries_count; i++) {
        running += fleet->entries[i].running[upstream];
        open += fleet->entries[i].open[upstream];
    }
    if (running > fleet->slots || open > fleet->connections) {
        scheduler_fleet_record_violation(fleet, 0,
                                         "an upstream's limit is exceeded");
    }
}

static size_t
scheduler_fleet_entry_find_conn(const struct scheduler_fleet_entry *entry,
                                uint32_t conn)
{
    size_t index = 0;

    while (index < SCHEDULER_FLEET_MAX_CONNS - 1 &&
           entry->conns[index].conn != conn) {
        index++;
    }
    return index;
}

static void
scheduler_fleet_entry_set_running(struct scheduler_fleet_entry *entry,
                                  uint32_t conn, uint64_t request)
{
    size_t index = scheduler_fleet_entry_find_conn(entry, conn);
    uint32_t upstream = entry->conns[index].upstream;

    entry->running[upstream] -= entry->conns[index].request != 0;
    entry->conns[index].request = request;
    entry->running[upstream] += request != 0;
}

static void
scheduler_fleet_entry_remove_conn(struct scheduler_fleet_entry *entry,
                                  uint32_t conn)
{
    size_t index = scheduler_fleet_entry_find_conn(entry, conn);

    if (entry->conns[index].conn == conn) {
        scheduler_fleet_entry_set_running(entry, conn, 0);
        entry->open[entry->conns[index].upstream]--;
        entry->conns[index].conn = 0;
    }
}

// Records the outcome of a request. Checks that the request has only one
// outcome and that a completed read saw the session's last acknowledged write.
static void
scheduler_fleet_entry_end_request(struct scheduler_fleet *fleet,
                                  const struct scheduler_action *action,
                                  enum scheduler_fleet_outcome outcome)
{
    struct scheduler_fleet_request *request =
        &fleet->requests[action->request];
    struct scheduler_fleet_session *session =
        &fleet->sessions[request->session];

    if (request->outcome != SCHEDULER_FLEET_OUTCOME_PENDING) {
        scheduler_fleet_record_violation(fleet, action->request,
                                         "the request has two outcomes");
        return;
    }
    if (outcome == SCHEDULER_FLEET_OUTCOME_DONE && request->failed) {
        outcome = SCHEDULER_FLEET_OUTCOME_NOT_RUN;
    }
    request->outcome = outcome;
    request->ended_us = network_get_now_us(fleet->network);
    if (outcome != SCHEDULER_FLEET_OUTCOME_DONE) {
        return;
    }
    if (request->request_class == SCHEDULER_CLASS_READ &&
        !request->saw_required_write) {
        scheduler_fleet_record_violation(
            fleet, action->request, "a read misses the session's own write");
    }
    session->floor = action->floor;
    if (request->request_class == SCHEDULER_CLASS_WRITE) {
        session->last_acknowledged = action->request;
    }
    else if (request->request_class == SCHEDULER_CLASS_COMMIT) {
        session->last_acknowledged = request->committed_insert;
    }
}

static void
scheduler_fleet_entry_record_send(struct scheduler_fleet *fleet,
                                  struct scheduler_fleet_entry *entry,
                                  const struct scheduler_action *action)
{
    struct scheduler_fleet_request *request =
        &fleet->requests[action->request];

    request->sends_count++;
    request->on_replica = action->on_replica;
    if (request->sends_count > 1 &&
        request->request_class != SCHEDULER_CLASS_READ) {
        scheduler_fleet_record_violation(
            fleet, action->request,
            "a request that is not a read was sent twice");
    }
    scheduler_fleet_entry_set_running(entry, action->conn, action->request);
    scheduler_fleet_entry_check_limits(fleet, action->upstream);
}

static void
scheduler_fleet_entry_record_open(struct scheduler_fleet *fleet,
                                  struct scheduler_fleet_entry *entry,
                                  const struct scheduler_action *action)
{
    size_t index = scheduler_fleet_entry_find_conn(entry, 0);

    entry->conns[index].conn = action->conn;
    entry->conns[index].upstream = action->upstream;
    entry->conns[index].request = 0;
    entry->open[action->upstream]++;
    scheduler_fleet_entry_check_limits(fleet, action->upstream);
}

static void
scheduler_fleet_entry_run_action(struct scheduler_fleet *fleet, uint32_t index,
                                 const struct scheduler_action *action)
{
    struct scheduler_fleet_entry *entry = &fleet->entries[index];
    struct scheduler_fleet_message message = {.entry = index,
                                              .upstream = action->upstream,
                                              .conn = action->conn,
                                              .request = action->request};

    message.asked_at_us = network_get_now_us(fleet->network);
    switch (action->kind) {
    case SCHEDULER_ACTION_OPEN:
        scheduler_fleet_entry_record_open(fleet, entry, action);
        message.kind = SCHEDULER_FLEET_MESSAGE_OPEN;
        break;
    case SCHEDULER_ACTION_CLOSE:
        scheduler_fleet_entry_remove_conn(entry, action->conn);
        message.kind = SCHEDULER_FLEET_MESSAGE_CLOSE;
        break;
    case SCHEDULER_ACTION_RESET:
    case SCHEDULER_ACTION_VALIDATE:
        message.kind = SCHEDULER_FLEET_MESSAGE_PROBE;
        break;
    case SCHEDULER_ACTION_SEND:
        scheduler_fleet_entry_record_send(fleet, entry, action);
        message.kind = SCHEDULER_FLEET_MESSAGE_RUN;
        break;
    case SCHEDULER_ACTION_SAMPLE:
        message.kind = SCHEDULER_FLEET_MESSAGE_SAMPLE;
        break;
    case SCHEDULER_ACTION_ANSWER:
    case SCHEDULER_ACTION_WARN:
        scheduler_fleet_entry_end_request(fleet, action,
                                          SCHEDULER_FLEET_OUTCOME_DONE);
        return;
    case SCHEDULER_ACTION_REFUSE:
        scheduler_fleet_entry_end_request(fleet, action,
                                          SCHEDULER_FLEET_OUTCOME_NOT_RUN);
        return;
    case SCHEDULER_ACTION_UNKNOWN:
        scheduler_fleet_entry_end_request(fleet, action,
                                          SCHEDULER_FLEET_OUTCOME_UNKNOWN);
        return;
    case SCHEDULER_ACTION_CONFIRM_REVOKED:
        entry->revocation_confirmed = !entry->control_path_down;
        return;
    case SCHEDULER_ACTION_WAKE:
        network_set_timer(fleet->network, (int)index, SCHEDULER_FLEET_WAKE_TAG,
                          action->wake_at_us);
        return;
    case SCHEDULER_ACTION_END_SESSION:
        fleet->sessions[action->session].open = false;
        return;
    case SCHEDULER_ACTION_CANCEL:
    case SCHEDULER_ACTION_SUSPECT:
    case SCHEDULER_ACTION_REPORT_SLOW:
    case SCHEDULER_ACTION_REPORT_RECOVERED:
        return;
    }
    scheduler_fleet_send_message(
        fleet, (int)index,
        scheduler_fleet_upstream_node(fleet, action->upstream), &message);
}

void
scheduler_fleet_entry_step(struct scheduler_fleet *fleet, uint32_t index,
                           const struct scheduler_event *event)
{
    struct scheduler_fleet_entry *entry = &fleet->entries[index];

    entry->actions.count = 0;
    scheduler_step(entry->scheduler, network_get_now_us(fleet->network), event,
                   &entry->actions);
    for (size_t i = 0; i < entry->actions.count; i++) {
        const struct scheduler_action action = entry->actions.items[i];
        scheduler_fleet_entry_run_action(fleet, index, &action);
    }
}

// Reports a lost or refused connection to the scheduler: first the request
// that ran on the connection, then the connection itself.
static void
scheduler_fleet_entry_handle_lost_conn(
    struct scheduler_fleet *fleet, uint32_t index,
    const struct scheduler_fleet_message *message)
{
    struct scheduler_fleet_entry *entry = &fleet->entries[index];
    size_t conn = scheduler_fleet_entry_find_conn(entry, message->conn);
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
        scheduler_fleet_entry_step(fleet, index, &result);
    }
    event.conn.refused = message->kind == SCHEDULER_FLEET_MESSAGE_REFUSED;
    scheduler_fleet_entry_remove_conn(entry, message->conn);
    scheduler_fleet_entry_step(fleet, index, &event);
}

static void
scheduler_fleet_entry_handle_sampled(
    struct scheduler_fleet *fleet, uint32_t index,
    const struct scheduler_fleet_message *message)
{
    struct scheduler_event event = {
        .kind = message->failed ? SCHEDULER_EVENT_SAMPLE_FAILED
                                : SCHEDULER_EVENT_SAMPLE,
        .sample = {.upstream = message->upstream,
                   .is_primary = message->is_primary,
                   .refused = message->failed,
                   .position = message->position,
                   .asked_at_us = message->asked_at_us}};

    scheduler_fleet_entry_step(fleet, index, &event);
}

void
scheduler_fleet_entry_handle(struct scheduler_fleet *fleet, uint32_t index,
                             const struct scheduler_fleet_message *message)
{
    struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_CONN_OPENED,
        .conn = {.upstream = message->upstream, .conn = message->conn}};

    switch (message->kind) {
    case SCHEDULER_FLEET_MESSAGE_READY:
        event.kind = SCHEDULER_EVENT_CONN_READY;
        scheduler_fleet_entry_step(fleet, index, &event);
        break;
    case SCHEDULER_FLEET_MESSAGE_OPENED:
        scheduler_fleet_entry_step(fleet, index, &event);
        break;
    case SCHEDULER_FLEET_MESSAGE_REFUSED:
    case SCHEDULER_FLEET_MESSAGE_RESET:
        scheduler_fleet_entry_handle_lost_conn(fleet, index, message);
        break;
    case SCHEDULER_FLEET_MESSAGE_RESULT:
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
        if (fleet->entries[index]
                .conns[scheduler_fleet_entry_find_conn(&fleet->entries[index],
                                                       message->conn)]
                .request == message->request) {
            scheduler_fleet_entry_set_running(&fleet->entries[index],
                                              message->conn, 0);
        }
        scheduler_fleet_entry_step(fleet, index, &event);
        break;
    case SCHEDULER_FLEET_MESSAGE_SAMPLED:
        scheduler_fleet_entry_handle_sampled(fleet, index, message);
        break;
    default:
        break;
    }
}
