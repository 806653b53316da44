#include "catkingrade/control/group_host.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/control/group_host_state.h"
#include "catkingrade/decide/customer/limit_lender.h"
#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/json_text.h"
#include "catkingrade/kernel/log.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/kernel/timeline.h"
#include "catkingrade/kernel/work_time.h"
#include "catkingrade/rpc/codec.h"

#define HOST_MAX_PENDING_ENTRIES       4096
#define HOST_MAX_PENDING_BYTES         (8 * 1024 * 1024)
#define HOST_MAX_IN_FLIGHT_BYTES       (256 * 1024)
#define HOST_SNAPSHOT_ENTRIES          4096
#define HOST_SNAPSHOT_BYTES            (16 * 1024 * 1024)
#define HOST_RETAINED_ENTRIES          1024
#define HOST_REOPEN_DELAY_US           1000000
#define HOST_LEADER_CONTACT_TIMEOUT_US 3000000
// A voter that has heard of the leader within this time answers for it.
#define HOST_HEARS_LEADER_US 1000000

// Adds a waiter with a new token. The host owns it until host_remove_waiter.
struct host_waiter *
host_add_waiter(struct group_host *host, enum host_waiter_kind kind)
{
    struct host_waiter *waiter = xcalloc(1, sizeof(*waiter));

    waiter->token = ++host->last_token;
    waiter->kind = kind;
    waiter->next = host->waiters;
    host->waiters = waiter;
    return waiter;
}

// Removes the waiter with this token and copies it to *waiter. Returns false
// if there is none.
bool
host_remove_waiter(struct group_host *host, uint64_t token,
                   struct host_waiter *waiter)
{
    struct host_waiter **link = &host->waiters;

    while (*link != NULL && (*link)->token != token) {
        link = &(*link)->next;
    }
    if (*link == NULL) {
        return false;
    }
    struct host_waiter *removed = *link;
    *link = removed->next;
    *waiter = *removed;
    free(removed);
    return true;
}

static void
host_step_raft_at(struct group_host *host, int64_t now_us,
                  const struct raft_event *event)
{
    if (!host->failed) {
        raft_step(host->raft, now_us, event, &host->actions);
    }
}

// Passes an event to Raft. The resulting actions are executed at the end of
// the loop iteration. Ignored while the store has failed.
void
host_step_raft(struct group_host *host, const struct raft_event *event)
{
    host_step_raft_at(host, monotonic_get_us(), event);
}

static void
host_handle_raft_timer(void *data)
{
    struct group_host *host = data;
    struct raft_event event = {.kind = RAFT_EVENT_TICK};
    int64_t now_us = monotonic_get_us();

    if (host->leads) {
        work_time_record(WORK_TIME_HEARTBEAT_DELAY, now_us,
                         now_us - host->raft_wake_us);
    }
    // All messages that had arrived by the begin of this loop iteration have
    // been handled. So this voter's own delay since then, which leaves later
    // ones unread, does not count as silence of others.
    host_step_raft_at(host, loop_get_now_us(host->loop), &event);
}

// Records how long the answer to a heartbeat took. Without an answer, or
// without the lead, does nothing.
static void
host_record_round(const struct group_host *host,
                  const struct ck_raft_message *message)
{
    int64_t now_us = monotonic_get_us();

    if (!host->leads || message->body.kind != CK_RAFT_APPEND_RESULT) {
        return;
    }
    work_time_record(
        WORK_TIME_HEARTBEAT_ROUND, now_us,
        now_us - raft_get_round_sent_us(
                     message->body.ck_raft_body_u.append_result.round));
}

// Returns the voter with an id in the voter list in force, or NULL.
const struct ck_voter *
host_find_voter(const struct group_host *host, uint64_t id)
{
    const struct ck_voters_change *voters = raft_get_voters(host->raft);

    for (u_int i = 0; i < voters->voters.voters_len; i++) {
        if (voters->voters.voters_val[i].id == id) {
            return &voters->voters.voters_val[i];
        }
    }
    return NULL;
}

// Returns the leader known to this voter, or NULL.
static const struct ck_voter *
host_find_leader(const struct group_host *host)
{
    return host->failed ? NULL
                        : host_find_voter(host, raft_get_leader(host->raft));
}

// Copies the RPC address of a voter.
void
host_copy_address(const struct ck_voter *voter,
                  struct settings_address *address)
{
    (void)strncpy(address->host, voter->host, sizeof(address->host) - 1);
    address->port = (uint16_t)voter->port;
}

// Returns the RPC address of the group's leader; empty if not known.
void
group_host_get_leader(const struct group_host *host,
                      struct settings_address *address)
{
    const struct ck_voter *voter = host_find_leader(host);

    memset(address, 0, sizeof(*address));
    if (voter != NULL) {
        host_copy_address(voter, address);
    }
}

// Lists the RPC addresses of the group's voters known to this voter. Returns
// their count, at most max_count.
size_t
group_host_list_voters(const struct group_host *host,
                       struct settings_address *addresses, size_t max_count)
{
    const struct ck_voters_change *voters =
        host->failed ? NULL : raft_get_voters(host->raft);
    size_t count = 0;

    for (u_int i = 0; voters != NULL && i < voters->voters.voters_len; i++) {
        if (count < max_count) {
            memset(&addresses[count], 0, sizeof(addresses[count]));
            host_copy_address(&voters->voters.voters_val[i],
                              &addresses[count]);
            count++;
        }
    }
    return count;
}

// Fills the leader's address into a result, or "" and port 0 if it is not
// known. The text is borrowed.
void
host_fill_leader_hint(const struct group_host *host, char **leader_host,
                      u_int *leader_port)
{
    const struct ck_voter *voter = host_find_leader(host);

    *leader_host = voter == NULL ? "" : voter->host;
    *leader_port = voter == NULL ? 0 : voter->port;
}

// Fails all waiters after a store failure or before this voter is destroyed.
// Whether their proposals were committed is unknown.
static void
host_drop_waiters(struct group_host *host)
{
    while (host->waiters != NULL) {
        struct raft_action action = {
            .token = host->waiters->token,
            .outcome = OUTCOME_UNKNOWN,
        };
        struct host_waiter waiter;
        if (host->waiters->kind == HOST_WAITER_APPLY ||
            host->waiters->kind == HOST_WAITER_VOTERS ||
            host->waiters->kind == HOST_WAITER_CHANGE) {
            host_refuse_proposal(host, &action);
            continue;
        }
        host_remove_waiter(host, host->waiters->token, &waiter);
        if (waiter.kind == HOST_WAITER_RENEW) {
            host_reply_renew(host, waiter.request, OUTCOME_NOT_LEADER, 0);
        }
        else if (waiter.kind == HOST_WAITER_COMMAND) {
            host_reply_command(host, waiter.request, OUTCOME_UNKNOWN,
                               "leadership has ended");
        }
        else if (waiter.kind == HOST_WAITER_ANNOUNCEMENT) {
            waiter.change_done(waiter.change_data, OUTCOME_UNAVAILABLE,
                               "leadership has ended");
        }
    }
}

static void
host_fill_raft_params(const struct group_host *host, bool starts_passive,
                      struct ck_voter *voters, struct raft_params *params)
{
    const struct settings *settings = host->params.daemon->settings;
    const struct settings_group *group = host->params.group;

    for (size_t i = 0; i < group->voters_count; i++) {
        voters[i].id = group->voters[i].id;
        voters[i].vm = group->voters[i].vm;
        voters[i].host = group->voters[i].rpc.host;
        voters[i].port = group->voters[i].rpc.port;
        voters[i].voting = TRUE;
    }
    params->group = group->name;
    params->self = host->params.self;
    params->heartbeat_us = settings->heartbeat_us;
    params->election_us = settings->election_us;
    params->clock_drift_ppm = settings->clock_drift_ppm;
    params->seed = host->params.daemon->incarnation;
    params->max_pending_entries = HOST_MAX_PENDING_ENTRIES;
    params->max_pending_bytes = HOST_MAX_PENDING_BYTES;
    params->max_in_flight_bytes = HOST_MAX_IN_FLIGHT_BYTES;
    params->snapshot_entries = HOST_SNAPSHOT_ENTRIES;
    params->snapshot_bytes = HOST_SNAPSHOT_BYTES;
    params->retained_entries = HOST_RETAINED_ENTRIES;
    params->starts_passive = starts_passive;
    params->voters = voters;
    params->voters_count = starts_passive ? 0 : group->voters_count;
}

static void
host_log_store_report(const struct group_host *host, struct buffer *report)
{
    if (buffer_get_size(report) > 0) {
        LOG_WARNING("store", "group=%s %.*s", host->params.group->name,
                    (int)buffer_get_size(report),
                    (const char *)buffer_get_data(report));
    }
    buffer_free(report);
}

// Opens the group in the store and creates the group state and Raft from it.
// A voter without stored state that was not started to bootstrap the group may
// have lost its disk. It starts passive, without a vote, until a leader admits
// its id as that of a new voter.
static int
host_open(struct group_host *host)
{
    const char *name = host->params.group->name;
    bool starts_passive =
        !store_has_group(host->params.store, name) && !host->params.bootstrap;
    struct raft_saved saved = {0};
    struct raft_params params = {0};
    struct buffer report = {0};

    int outcome = store_group_open(host->params.store, name, host->params.self,
                                   &host->stored, &saved, &report);
    host_log_store_report(host, &report);
    if (outcome != OUTCOME_OK) {
        LOG_ERROR("store_failed", "group=%s outcome=%s", name,
                  outcome_get_name(outcome));
        return outcome;
    }
    host->state = host_decode_state(host, &saved.snapshot);
    if (host->state == NULL) {
        store_saved_free(&saved);
        return OUTCOME_CORRUPT;
    }
    struct ck_voter *voters =
        xcalloc(host->params.group->voters_count, sizeof(*voters));
    host_fill_raft_params(host, starts_passive, voters, &params);
    host->raft = raft_create(&params, &saved, monotonic_get_us());
    free(voters);
    store_saved_free(&saved);
    if (starts_passive) {
        LOG_WARNING("voter_passive",
                    "group=%s voter=%" PRIu64
                    " waits to be added; a new group needs --bootstrap",
                    name, host->params.self);
    }
    return OUTCOME_OK;
}

static void
host_close(struct group_host *host)
{
    raft_destroy(host->raft);
    host->raft = NULL;
    if (host->stored != NULL) {
        store_group_close(host->stored);
        host->stored = NULL;
    }
}

static void
host_fill_coordinator_params(const struct group_host *host,
                             struct coordinator_params *params)
{
    const struct settings *settings = host->params.daemon->settings;

    coordinator_params_init(params);
    params->lease_us = settings->lease_us;
    params->drift_ppm = settings->clock_drift_ppm;
    params->announce_expiry_us = settings->announce_expiry_us;
    params->suspect_us = settings->suspect_us;
    params->switchover_us = settings->switchover_us;
    params->probe_us = settings->probe_us;
    params->relay_min_connections = settings->relay_min_connections;
    params->relay_by_customer = settings->relay_by_customer;
    params->fence_demotes = host->params.admin->ops->fence_demotes;
    params->seed = host->params.daemon->incarnation;
}

// Opens the group in the store and starts this VM's voter. Returns OUTCOME_OK
// or the store's error.
int
group_host_create(const struct group_host_params *params,
                  struct group_host **out)
{
    struct group_host *host = xcalloc(1, sizeof(*host));
    struct coordinator_params coordinator_params;
    struct raft_event event = {.kind = RAFT_EVENT_TICK};

    host->params = *params;
    host->loop = params->daemon->control_loop;
    int outcome = host_open(host);
    if (outcome != OUTCOME_OK) {
        host_close(host);
        free(host);
        return outcome;
    }
    host_fill_coordinator_params(host, &coordinator_params);
    host->coordinator = coordinator_create(&coordinator_params, host->state);
    host->raft_timer =
        loop_timer_create(host->loop, host_handle_raft_timer, host);
    host->coordinator_timer =
        loop_timer_create(host->loop, host_handle_coordinator_timer, host);
    host_step_raft(host, &event);
    *out = host;
    return OUTCOME_OK;
}

// Stops this voter and fails its waiters.
void
group_host_destroy(struct group_host *host)
{
    host_drop_waiters(host);
    loop_timer_destroy(host->raft_timer);
    loop_timer_destroy(host->coordinator_timer);
    coordinator_destroy(host->coordinator);
    host_close(host);
    group_destroy(host->state);
    raft_actions_free(&host->actions);
    limit_lender_destroy(host->limits.lender);
    free(host);
}

const char *
group_host_get_name(const struct group_host *host)
{
    return host->params.group->name;
}

uint64_t
group_host_get_self(const struct group_host *host)
{
    return host->params.self;
}

// Returns whether this voter is in the group's voter list and either leads or
// has received a message from the leader within
// HOST_LEADER_CONTACT_TIMEOUT_US.
bool
group_host_is_in_contact(const struct group_host *host)
{
    const struct ck_voter *own =
        host->failed ? NULL : host_find_voter(host, host->params.self);
    int64_t since_us = monotonic_get_us() - HOST_LEADER_CONTACT_TIMEOUT_US;

    return own != NULL &&
           (host->leads || raft_get_leader_contact_us(host->raft) >= since_us);
}

// Returns whether this voter is the Raft leader and has applied the first
// entry of its term.
bool
group_host_leads(const struct group_host *host)
{
    return host->leads;
}

// Returns whether this voter has received a message from the leader within
// HOST_HEARS_LEADER_US.
bool
group_host_hears_leader(const struct group_host *host)
{
    return !host->failed && raft_get_leader_contact_us(host->raft) >=
                                monotonic_get_us() - HOST_HEARS_LEADER_US;
}

// Writes the state that the pending actions must make durable. The caller then
// syncs the store once for all groups and calls group_host_run_actions.
// Returns whether the group has pending actions; after a failed write it has
// none.
bool
group_host_write_actions(struct group_host *host)
{
    for (size_t i = 0; i < host->actions.count; i++) {
        int outcome = host_write_action(host, &host->actions.items[i]);
        if (outcome != OUTCOME_OK) {
            LOG_ERROR("store_failed", "group=%s outcome=%s",
                      host->params.group->name, outcome_get_name(outcome));
            group_host_run_actions(host, false);
            return false;
        }
    }
    return host->actions.count > 0;
}

// Reopens the group after a store failure and restarts this voter from the
// stored state. Retried after HOST_REOPEN_DELAY_US if the store fails again.
static void
host_handle_reopen_timer(void *data)
{
    struct group_host *host = data;

    group_destroy(host->state);
    host->state = NULL;
    if (host_open(host) != OUTCOME_OK) {
        host_close(host);
        host->state = group_create(host->params.group->name);
        coordinator_set_group(host->coordinator, host->state);
        loop_timer_set(host->raft_timer,
                       monotonic_get_us() + HOST_REOPEN_DELAY_US);
        return;
    }
    coordinator_set_group(host->coordinator, host->state);
    host->failed = false;
    loop_timer_destroy(host->raft_timer);
    host->raft_timer =
        loop_timer_create(host->loop, host_handle_raft_timer, host);
    loop_timer_set(host->raft_timer, monotonic_get_us());
}

// Handles a store failure. All pending actions are dropped: messages and
// replies must not be sent before the state they depend on is durable.
static void
host_handle_store_failure(struct group_host *host)
{
    host->failed = true;
    host_update_leadership(host);
    host_drop_waiters(host);
    raft_actions_clear(&host->actions);
    host_close(host);
    loop_timer_destroy(host->raft_timer);
    host->raft_timer =
        loop_timer_create(host->loop, host_handle_reopen_timer, host);
    loop_timer_set(host->raft_timer,
                   monotonic_get_us() + HOST_REOPEN_DELAY_US);
}

// Executes the pending actions after the sync: sends messages, applies entries
// and replies to requests. If synced is false, drops them and handles a store
// failure. Returns whether the actions produced new ones.
bool
group_host_run_actions(struct group_host *host, bool synced)
{
    if (!synced) {
        host_handle_store_failure(host);
        return false;
    }
    struct raft_actions actions = host->actions;
    memset(&host->actions, 0, sizeof(host->actions));
    for (size_t i = 0; i < actions.count; i++) {
        host_run_action(host, &actions.items[i]);
    }
    raft_actions_free(&actions);
    host_update_leadership(host);
    return host->actions.count > 0;
}

// Handles a Raft message from another voter. from is the sender's RPC address.
void
group_host_handle_raft(struct group_host *host,
                       const struct ck_raft_message *message,
                       const struct settings_address *from)
{
    struct raft_event event = {
        .kind = RAFT_EVENT_MESSAGE,
        .message = message,
    };

    if (message->to == host->params.self) {
        host->last_sender_id = message->from;
        host->last_sender_address = *from;
        host_record_round(host, message);
        host_step_raft(host, &event);
    }
}

// Starts to transfer leadership to the voter with the most advanced log, if
// this voter leads. Used before a planned stop.
void
group_host_transfer(struct group_host *host)
{
    struct raft_event event = {
        .kind = RAFT_EVENT_TRANSFER,
        .transfer = RAFT_NO_VOTER,
    };

    if (host->leads) {
        host_step_raft(host, &event);
    }
}

// Counts the voters in the voter list that have a vote; learners have none.
static unsigned
host_count_voting(const struct group_host *host)
{
    const struct ck_voters_change *voters = raft_get_voters(host->raft);
    unsigned count = 0;

    for (u_int i = 0; i < voters->voters.voters_len; i++) {
        count += voters->voters.voters_val[i].voting ? 1 : 0;
    }
    return count;
}

// Appends a JSON object with the state of this voter and of its group.
void
group_host_describe(const struct group_host *host, struct buffer *json)
{
    buffer_append_text(json, "{\"group\":");
    json_text_append(json, host->params.group->name);
    if (host->failed) {
        buffer_append_text(json, ",\"role\":\"failed\"}");
        return;
    }
    buffer_append_format(
        json,
        ",\"voter\":%" PRIu64 ",\"role\":\"%s\","
        "\"term\":%" PRIu64 ",\"leader\":%" PRIu64 ",\"commit\":%" PRIu64
        ",\"last\":%" PRIu64 ",\"revision\":%" PRIu64
        ",\"voters\":%u,\"voting\":%u,\"elections\":%" PRIu64
        ",\"databases\":",
        host->params.self, host_role_names[raft_get_role(host->raft)],
        raft_get_term(host->raft), raft_get_leader(host->raft),
        raft_get_commit_index(host->raft), raft_get_last_index(host->raft),
        group_get_revision(host->state),
        raft_get_voters(host->raft)->voters.voters_len,
        host_count_voting(host), host->elections);
    coordinator_describe(host->coordinator, monotonic_get_us(), json);
    buffer_append_text(json, "}");
}
