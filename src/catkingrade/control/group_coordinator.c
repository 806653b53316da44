#include <stdlib.h>
#include <string.h>

#include "catkingrade/control/group_host_state.h"
#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/log.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/kernel/timeline.h"
#include "catkingrade/kernel/work_time.h"

// Connects a group's coordinator with Raft, RPC and the upstreams: passes
// events to it and executes its actions.

#define HOST_NOTIFY_TIMEOUT_US        300000
#define HOST_NOTIFY_RETRY_INTERVAL_US 50000

// Notification call to an entry that has not returned yet.
struct host_notify_call {
    struct group_host *host;
    char *vm;
    uint64_t incarnation;
};

// Passes a TICK to the coordinator at the time it requested, and checks the
// group's voters.
void
host_handle_coordinator_timer(void *data)
{
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_TICK};
    int64_t begun_us = monotonic_get_us();

    host_step_coordinator(data, &event);
    host_maintain_voters(data);
    int64_t now_us = monotonic_get_us();
    work_time_record(WORK_TIME_TICK, now_us, now_us - begun_us);
}

static void
host_handle_notify_result(void *data, int outcome, const void *result)
{
    struct host_notify_call *notify = data;
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_NOTIFY_FAILED};

    if (outcome != OUTCOME_CLOSED) {
        event.notified.vm = notify->vm;
        event.notified.incarnation = notify->incarnation;
        if (outcome == OUTCOME_OK) {
            event.kind = COORDINATOR_EVENT_NOTIFIED;
            event.notified.result = result;
        }
        host_step_coordinator(notify->host, &event);
    }
    free(notify->vm);
    free(notify);
}

static void
host_send_notify(struct group_host *host,
                 const struct coordinator_action *action)
{
    const struct ck_daemon *daemon = action->notify.daemon;
    struct host_notify_call *notify = xcalloc(1, sizeof(*notify));
    struct settings_address peer = {0};

    notify->host = host;
    notify->vm = xstrdup(daemon->vm);
    notify->incarnation = daemon->incarnation;
    (void)strncpy(peer.host, daemon->host, sizeof(peer.host) - 1);
    peer.port = (uint16_t)daemon->port;
    rpcnet_call(host->params.daemon->rpcnet, &peer, &rpcnet_notify,
                action->notify.args, HOST_NOTIFY_TIMEOUT_US,
                HOST_NOTIFY_RETRY_INTERVAL_US, host_handle_notify_result,
                notify);
}

// Returns whether this voter leads in the term that a fencing token names.
static bool
host_is_term_of(const struct group_host *host, uint64_t fencing_token)
{
    return host->leads && !host->failed &&
           raft_get_term(host->raft) == fencing_token;
}

static void
host_fill_probe_event(const struct upstream_admin_result *result,
                      struct coordinator_event *event,
                      enum coordinator_event_kind good,
                      enum coordinator_event_kind bad)
{
    event->kind = result->outcome == OUTCOME_OK ? good : bad;
    event->probe.upstream = result->upstream;
    event->probe.is_primary = result->is_primary;
    event->probe.refused = result->refused;
    event->probe.position = result->position;
    event->probe.term = result->term;
    event->probe.last_write = result->last_write;
}

// Fills the event for a probe that an upstream rejected as overloaded. Such an
// upstream is alive; its role is assumed to be the one in the group state.
static void
host_fill_overloaded_event(const struct group_host *host,
                           const struct upstream_admin_result *result,
                           struct coordinator_event *event)
{
    const struct ck_upstream *upstream =
        group_find_upstream(host->state, result->upstream);
    const struct ck_database *database =
        upstream == NULL
            ? NULL
            : group_find_database(host->state, upstream->database);

    event->kind = COORDINATOR_EVENT_PROBED;
    event->probe.is_busy = true;
    event->probe.is_primary =
        database != NULL && strcmp(database->primary, result->upstream) == 0;
}

// Passes the result of an operation at an upstream to the coordinator. That of
// an operation which an earlier leadership of this voter began says nothing
// about those of the present one.
static void
host_handle_admin_result(void *data,
                         const struct upstream_admin_result *result)
{
    const struct group_host *host = data;
    struct coordinator_event event = {0};

    if (!host_is_term_of(host, result->fencing_token)) {
        return;
    }
    switch (result->kind) {
    case UPSTREAM_ADMIN_PROBE:
        host_fill_probe_event(result, &event, COORDINATOR_EVENT_PROBED,
                              COORDINATOR_EVENT_PROBE_FAILED);
        if (result->outcome == OUTCOME_OVERLOADED) {
            host_fill_overloaded_event(host, result, &event);
        }
        break;
    case UPSTREAM_ADMIN_PROMOTE:
        if (result->outcome == OUTCOME_OK && result->is_primary) {
            counter_add(COUNTER_PROMOTIONS, 1);
            host_fill_probe_event(result, &event, COORDINATOR_EVENT_PROMOTED,
                                  COORDINATOR_EVENT_PROMOTED);
            break;
        }
        event.kind = COORDINATOR_EVENT_PROMOTE_FAILED;
        event.done.upstream = result->upstream;
        event.done.outcome = result->outcome;
        break;
    default:
        event.kind = result->kind == UPSTREAM_ADMIN_FOLLOW
                         ? COORDINATOR_EVENT_FOLLOWED
                         : COORDINATOR_EVENT_FENCED;
        event.done.upstream = result->upstream;
        event.done.outcome = result->outcome;
        break;
    }
    host_step_coordinator(data, &event);
}

// Returns whether a quorum confirms this voter at this moment as the leader of
// the term that the fencing token names. Otherwise another leader may exist or
// have existed, and what was ordered with that token must not be sent.
static bool
host_may_change(void *data, uint64_t fencing_token)
{
    struct group_host *host = data;

    return host_is_term_of(host, fencing_token) &&
           raft_has_quorum(host->raft, monotonic_get_us());
}

static void
host_run_admin(struct group_host *host, enum upstream_admin_kind kind,
               const struct coordinator_action *action)
{
    struct upstream_admin *admin = host->params.admin;
    struct upstream_admin_request request = {
        .kind = kind,
        .upstream = action->upstream.upstream,
        .primary = action->upstream.primary,
        .fencing_token = raft_get_term(host->raft),
        .may_change = host_may_change,
        .done = host_handle_admin_result,
        .data = host,
    };

    admin->ops->run(admin, &request);
}

static void
host_propose(struct group_host *host, const struct coordinator_action *action)
{
    struct host_waiter *waiter =
        host_add_waiter(host, HOST_WAITER_COORDINATOR);
    struct raft_event event = {.kind = RAFT_EVENT_PROPOSE};

    waiter->coordinator_token = action->token;
    event.propose.token = waiter->token;
    event.propose.payload = action->payload.data;
    event.propose.size_bytes = action->payload.size_bytes;
    host_step_raft(host, &event);
}

static void
host_record_event(const struct coordinator_record *record)
{
    timeline_record(record->kind, record->customer, record->upstream, 0, "%s",
                    record->text == NULL ? "" : record->text);
    LOG_INFO(record->kind, "upstream=%s %s",
             record->upstream == NULL ? "" : record->upstream,
             record->text == NULL ? "" : record->text);
}

static void
host_reply_waiter(struct group_host *host,
                  const struct coordinator_action *action)
{
    struct host_waiter waiter;

    if (!host_remove_waiter(host, action->token, &waiter)) {
        return;
    }
    if (waiter.kind == HOST_WAITER_RENEW) {
        rpcnet_reply(waiter.request, action->renew);
    }
    else if (waiter.kind == HOST_WAITER_COMMAND) {
        host_reply_command(host, waiter.request, action->reply.outcome,
                           action->reply.text);
    }
    else {
        waiter.change_done(waiter.change_data, action->reply.outcome,
                           action->reply.text == NULL ? ""
                                                      : action->reply.text);
    }
}

static void
host_run_coordinator_action(struct group_host *host,
                            const struct coordinator_action *action)
{
    switch (action->kind) {
    case COORDINATOR_ACTION_PROPOSE:
        host_propose(host, action);
        break;
    case COORDINATOR_ACTION_REPLY_RENEW:
    case COORDINATOR_ACTION_REPLY_ANNOUNCE:
    case COORDINATOR_ACTION_REPLY_COMMAND:
        host_reply_waiter(host, action);
        break;
    case COORDINATOR_ACTION_NOTIFY:
        host_send_notify(host, action);
        break;
    case COORDINATOR_ACTION_PROBE:
        host_run_admin(host, UPSTREAM_ADMIN_PROBE, action);
        break;
    case COORDINATOR_ACTION_PROMOTE:
        host_run_admin(host, UPSTREAM_ADMIN_PROMOTE, action);
        break;
    case COORDINATOR_ACTION_FOLLOW:
        host_run_admin(host, UPSTREAM_ADMIN_FOLLOW, action);
        break;
    case COORDINATOR_ACTION_FENCE:
        host_run_admin(host, UPSTREAM_ADMIN_FENCE, action);
        break;
    case COORDINATOR_ACTION_RECORD:
        host_record_event(&action->record);
        break;
    case COORDINATOR_ACTION_WAKE:
        loop_timer_set(host->coordinator_timer, action->wake_at_us);
        break;
    }
}

// Passes an event to the coordinator and executes its actions at once.
// Proposals are written to the log at the end of the loop iteration.
void
host_step_coordinator(struct group_host *host, struct coordinator_event *event)
{
    struct coordinator_actions actions = {0};
    int64_t now_us = monotonic_get_us();

    event->quorum = !host->failed && raft_has_quorum(host->raft, now_us);
    coordinator_step(host->coordinator, now_us, event, &actions);
    for (size_t i = 0; i < actions.count; i++) {
        host_run_coordinator_action(host, &actions.items[i]);
    }
    coordinator_actions_free(&actions);
}

// Passes ELECTED or DEPOSED to the coordinator when this voter has become, or
// is no longer, a leader that has applied the first entry of its term.
void
host_update_leadership(struct group_host *host)
{
    bool leads = !host->failed && raft_get_role(host->raft) == RAFT_LEADER &&
                 raft_is_ready(host->raft);
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_DEPOSED};

    host_note_term(host);
    if (leads == host->leads) {
        return;
    }
    host->leads = leads;
    host_reset_limits(host);
    if (leads) {
        event.kind = COORDINATOR_EVENT_ELECTED;
        event.leader_term = raft_get_term(host->raft);
    }
    host_step_coordinator(host, &event);
}
