#include "catkingrade/control/control.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/control/announcement_batch.h"
#include "catkingrade/control/control_state.h"
#include "catkingrade/control/membership_agent.h"
#include "catkingrade/decide/group/group.h"
#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/log.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/kernel/settings.h"
#include "catkingrade/kernel/work_time.h"
#include "catkingrade/plugins/http.h"

#define CONTROL_MAX_FLUSHES_PER_ITERATION 16
#define CONTROL_MAX_ANNOUNCEMENT_BYTES    16384
#define CONTROL_MAX_VOTERS                15
// Lines about long turns of the control loop, per second.
#define CONTROL_MAX_TURN_LINES 1
#define CONTROL_US_PER_MS      1000

// Returns this VM's voter of the group, or NULL if this VM has none.
struct group_host *
control_find_host(const struct control *control, const char *group)
{
    for (size_t i = 0; i < control->hosts_count; i++) {
        if (strcmp(group_host_get_name(control->hosts[i]), group) == 0) {
            return control->hosts[i];
        }
    }
    return NULL;
}

// Returns the group's settings, or NULL if the settings don't name the group.
const struct settings_group *
control_find_group(const struct control *control, const char *group)
{
    const struct settings *settings = control->daemon->settings;

    for (size_t i = 0; i < settings->groups_count; i++) {
        if (strcmp(settings->groups[i].name, group) == 0) {
            return &settings->groups[i];
        }
    }
    return NULL;
}

// List of RPC addresses. This VM's own address is left out.
struct control_peers {
    const struct settings_address *own;
    struct settings_address *items;
    size_t count;
    size_t max_count;
};

static void
control_add_peer(struct control_peers *peers,
                 const struct settings_address *address)
{
    bool own = address->port == peers->own->port &&
               strcmp(address->host, peers->own->host) == 0;

    if (!own && peers->count < peers->max_count) {
        peers->items[peers->count++] = *address;
    }
}

// Lists the addresses of daemons that may know the group's leader: the voters
// known to this VM, the voters in the settings, then the seeds. Returns their
// count, at most max_count.
size_t
control_list_peers(const struct control *control, const char *group,
                   struct settings_address *items, size_t max_count)
{
    const struct settings *settings = control->daemon->settings;
    const struct settings_group *row = control_find_group(control, group);
    const struct group_host *host = control_find_host(control, group);
    struct settings_address voters[CONTROL_MAX_VOTERS];
    struct control_peers peers = {
        .own = &settings->rpc, .items = items, .max_count = max_count};
    size_t count = host == NULL ? 0
                                : group_host_list_voters(host, voters,
                                                         CONTROL_MAX_VOTERS);

    for (size_t i = 0; i < count; i++) {
        control_add_peer(&peers, &voters[i]);
    }
    for (size_t i = 0; row != NULL && i < row->voters_count; i++) {
        control_add_peer(&peers, &row->voters[i].rpc);
    }
    for (size_t i = 0; i < settings->seeds_count; i++) {
        control_add_peer(&peers, &settings->seeds[i]);
    }
    return peers.count;
}

// Fills the leader hint of a reply for a group in which this VM has no voter:
// the address of the first voter in the settings, or "" and port 0.
static void
control_fill_voter_hint(const struct control *control, const char *group,
                        char **host, u_int *port)
{
    const struct settings_group *row = control_find_group(control, group);
    const struct settings_voter *voter = NULL;

    // With voters_from_seeds, the voters in the settings are only the initial
    // ones. They may have been removed, or one may be this VM after it lost
    // its disk.
    if (row != NULL && row->voters_count > 0 &&
        !control->daemon->settings->voters_from_seeds) {
        voter = &row->voters[0];
    }
    *host = voter == NULL ? "" : (char *)(uintptr_t)voter->rpc.host;
    *port = voter == NULL ? 0 : voter->rpc.port;
}

static int
control_get_unhosted_outcome(const struct control *control, const char *group)
{
    return control_find_group(control, group) == NULL ? OUTCOME_NOT_FOUND
                                                      : OUTCOME_NOT_LEADER;
}

static void
control_handle_raft(void *data, struct rpcnet_request *request,
                    const void *args)
{
    const struct ck_raft_message *message = args;
    struct group_host *host = control_find_host(data, message->group);

    if (host != NULL) {
        group_host_handle_raft(host, message,
                               rpcnet_request_get_peer(request));
    }
}

static void
control_handle_renew(void *data, struct rpcnet_request *request,
                     const void *args)
{
    const struct ck_renew_args *renew = args;
    struct group_host *host = control_find_host(data, renew->group);
    struct ck_renew_result reply = {.sequence = renew->sequence};

    if (host != NULL) {
        group_host_handle_renew(host, request, renew);
        return;
    }
    reply.outcome = control_get_unhosted_outcome(data, renew->group);
    control_fill_voter_hint(data, renew->group, &reply.leader_host,
                            &reply.leader_port);
    rpcnet_reply(request, &reply);
}

static void
control_handle_announce(void *data, struct rpcnet_request *request,
                        const void *args)
{
    const struct ck_announce_args *announce = args;
    struct group_host *host = control_find_host(data, announce->group);
    struct ck_announce_result reply = {0};

    if (host != NULL) {
        group_host_handle_announce(host, request, announce);
        return;
    }
    reply.outcome = control_get_unhosted_outcome(data, announce->group);
    rpcnet_reply(request, &reply);
}

static void
control_handle_borrow(void *data, struct rpcnet_request *request,
                      const void *args)
{
    const struct ck_borrow_args *borrow = args;
    struct group_host *host = control_find_host(data, borrow->group);
    struct ck_borrow_result reply = {.sequence = borrow->sequence};

    if (host != NULL) {
        group_host_handle_borrow(host, request, borrow);
        return;
    }
    reply.outcome = control_get_unhosted_outcome(data, borrow->group);
    control_fill_voter_hint(data, borrow->group, &reply.leader_host,
                            &reply.leader_port);
    rpcnet_reply(request, &reply);
}

static void
control_handle_apply(void *data, struct rpcnet_request *request,
                     const void *args)
{
    const struct ck_apply_args *apply = args;
    struct group_host *host = control_find_host(data, apply->group);
    struct ck_apply_result reply = {0};

    if (host != NULL) {
        group_host_handle_apply(host, request, apply);
        return;
    }
    reply.outcome = control_get_unhosted_outcome(data, apply->group);
    reply.message = (char *)(uintptr_t)outcome_get_text(reply.outcome);
    control_fill_voter_hint(data, apply->group, &reply.leader_host,
                            &reply.leader_port);
    rpcnet_reply(request, &reply);
}

static void
control_handle_read_declaration(void *data, struct rpcnet_request *request,
                                const void *args)
{
    const struct ck_read_declaration_args *read = args;
    struct group_host *host = control_find_host(data, read->group);
    struct ck_read_declaration_result reply = {.leader_host = ""};

    if (host != NULL) {
        group_host_read_declaration(host, &reply);
    }
    else {
        reply.outcome = control_get_unhosted_outcome(data, read->group);
        control_fill_voter_hint(data, read->group, &reply.leader_host,
                                &reply.leader_port);
    }
    rpcnet_reply(request, &reply);
}

static void
control_handle_query(void *data, struct rpcnet_request *request,
                     const void *args)
{
    const struct ck_query_args *query = args;
    struct group_host *host = control_find_host(data, query->group);
    struct ck_query_result reply = {.json = "[]"};

    if (query->kind == CK_QUERY_STATUS || query->kind == CK_QUERY_TIMELINE ||
        query->kind == CK_QUERY_COUNTERS || query->kind == CK_QUERY_GROUPS) {
        control_handle_daemon_query(data, request, query);
        return;
    }
    if (host != NULL) {
        group_host_handle_query(host, request, query);
        return;
    }
    reply.outcome = control_get_unhosted_outcome(data, query->group);
    reply.message = (char *)(uintptr_t)outcome_get_text(reply.outcome);
    control_fill_voter_hint(data, query->group, &reply.leader_host,
                            &reply.leader_port);
    rpcnet_reply(request, &reply);
}

static void
control_handle_command(void *data, struct rpcnet_request *request,
                       const void *args)
{
    struct control *control = data;
    const struct ck_command_args *command = args;
    struct group_host *host = control_find_host(control, command->group);
    struct ck_command_result reply = {.leader_host = "", .message = ""};

    if (command->kind == CK_COMMAND_STOP) {
        daemon_request_stop(control->daemon);
        reply.message = "stopping";
        rpcnet_reply(request, &reply);
        return;
    }
    if (host != NULL) {
        group_host_handle_command(host, request, command);
        return;
    }
    reply.outcome = control_get_unhosted_outcome(control, command->group);
    reply.message = (char *)(uintptr_t)outcome_get_text(reply.outcome);
    control_fill_voter_hint(control, command->group, &reply.leader_host,
                            &reply.leader_port);
    rpcnet_reply(request, &reply);
}

// Writes the pending Raft actions of all groups, syncs the store once, then
// executes the actions that require durable state. Returns whether this
// produced new actions.
static bool
control_flush_once(struct control *control)
{
    bool wrote = false;
    bool more = false;

    for (size_t i = 0; i < control->hosts_count; i++) {
        wrote |= group_host_write_actions(control->hosts[i]);
    }
    if (!wrote) {
        return false;
    }
    counter_add(COUNTER_LOG_SYNCS, 1);
    bool synced = store_sync(control->store) == OUTCOME_OK;
    for (size_t i = 0; i < control->hosts_count; i++) {
        more |= group_host_run_actions(control->hosts[i], synced);
    }
    return more;
}

// Empty task, posted to start another loop iteration. control_flush runs at
// the end of that iteration.
static void
control_handle_deferred_flush(void *data)
{
    (void)data;
}

// Executes the pending Raft actions of all groups at the end of a loop
// iteration, and the actions that result from them. After
// CONTROL_MAX_FLUSHES_PER_ITERATION rounds the rest is left to the next
// iteration, so that the loop can handle other events.
static void
control_flush(void *data)
{
    struct control *control = data;
    int64_t begun_us = monotonic_get_us();
    bool more = true;

    for (int i = 0; more && i < CONTROL_MAX_FLUSHES_PER_ITERATION; i++) {
        more = control_flush_once(control);
    }
    if (more) {
        loop_post(control->loop, control_handle_deferred_flush, NULL, control);
    }
    int64_t now_us = monotonic_get_us();
    work_time_record(WORK_TIME_LOG, now_us, now_us - begun_us);
}

// Returns the kind of work that took most of the turn that ends, and its time.
static enum work_time
control_find_longest_work(struct control *control, int64_t *longest_us)
{
    enum work_time longest = WORK_TIME_RAFT;

    *longest_us = 0;
    for (int i = WORK_TIME_RAFT; i <= WORK_TIME_TICK; i++) {
        int64_t sum_us = work_time_get_sum_us((enum work_time)i);
        if (sum_us - control->work_sums_us[i] > *longest_us) {
            longest = (enum work_time)i;
            *longest_us = sum_us - control->work_sums_us[i];
        }
        control->work_sums_us[i] = sum_us;
    }
    return longest;
}

// Records the duration of a turn of the control loop, during which nothing
// else is handled. Logs one that delays the heartbeats of a group.
static void
control_observe_turn(void *data, int64_t duration_us)
{
    struct control *control = data;
    int64_t longest_us = 0;
    enum work_time longest = control_find_longest_work(control, &longest_us);

    work_time_record(WORK_TIME_TURN, monotonic_get_us(), duration_us);
    if (duration_us < control->daemon->settings->heartbeat_us) {
        return;
    }
    LOG_LIMITED(CONTROL_MAX_TURN_LINES, LOG_LEVEL_INFO, "long_turn",
                "turn_ms=%" PRId64 " longest=%s longest_ms=%" PRId64,
                duration_us / CONTROL_US_PER_MS, work_time_get_label(longest),
                longest_us / CONTROL_US_PER_MS);
}

static int
control_open_store(struct control *control)
{
    const struct settings *settings = control->daemon->settings;
    struct store_params params = {
        .dir = settings->data_dir,
        .vm = settings->vm,
    };
    struct buffer report = {0};

    int outcome = store_open(&params, &control->store, &report);
    if (buffer_get_size(&report) > 0) {
        LOG_WARNING("store", "%.*s", (int)buffer_get_size(&report),
                    (const char *)buffer_get_data(&report));
    }
    buffer_free(&report);
    if (outcome != OUTCOME_OK) {
        LOG_ERROR("store_failed", "dir=%s outcome=%s", settings->data_dir,
                  outcome_get_name(outcome));
    }
    return outcome;
}

static int
control_add_host(struct control *control, const struct settings_group *group,
                 uint64_t self, bool bootstrap)
{
    struct group_host_params params = {
        .daemon = control->daemon,
        .store = control->store,
        .admin = control->admin,
        .group = group,
        .self = self,
        .bootstrap = bootstrap,
    };
    int outcome =
        group_host_create(&params, &control->hosts[control->hosts_count]);

    if (outcome == OUTCOME_OK) {
        control->hosts_count++;
    }
    return outcome;
}

// Returns whether a voter in the settings is this VM. Voters made from the
// seeds are identified by their address, since the seeds do not name VMs.
static bool
control_is_self(const struct settings *settings,
                const struct settings_voter *voter)
{
    if (!settings->voters_from_seeds) {
        return strcmp(voter->vm, settings->vm) == 0;
    }
    return strcmp(voter->rpc.host, settings->rpc.host) == 0 &&
           voter->rpc.port == settings->rpc.port;
}

// Opens this VM's voter of a group under a voter id assigned by the group's
// leader.
int
control_open_host(struct control *control, const char *group, uint64_t self)
{
    return control_add_host(control, control_find_group(control, group), self,
                            false);
}

// Closes this VM's voter of a group and removes its stored state. Used when
// the voter id is no longer valid.
void
control_remove_host(struct control *control, const char *group)
{
    for (size_t i = 0; i < control->hosts_count; i++) {
        if (strcmp(group_host_get_name(control->hosts[i]), group) != 0) {
            continue;
        }
        group_host_destroy(control->hosts[i]);
        control->hosts[i] = control->hosts[--control->hosts_count];
        int outcome = store_group_remove(control->store, group);
        if (outcome != OUTCOME_OK) {
            LOG_ERROR("store_failed", "group=%s outcome=%s", group,
                      outcome_get_name(outcome));
        }
        return;
    }
}

// Opens the group whose initial voters are the seeds: under the stored voter
// id, or, at the group's bootstrap, under the id of the seed that is this VM.
// Initial voters have the ids 1 to voters_count. On any other VM the
// membership agent joins the group later.
static int
control_open_group_from_seeds(struct control *control)
{
    const struct settings *settings = control->daemon->settings;
    const struct settings_group *group = &settings->groups[0];
    uint64_t stored = 0;
    int outcome = OUTCOME_OK;

    if (store_find_voter(control->store, group->name, &stored) == OUTCOME_OK) {
        bool is_initial = stored <= group->voters_count &&
                          (control->daemon->bootstrap || settings->bootstrap);
        outcome = control_add_host(control, group, stored, is_initial);
    }
    else if (control->daemon->bootstrap || settings->bootstrap) {
        for (size_t i = 0; i < group->voters_count; i++) {
            if (control_is_self(settings, &group->voters[i])) {
                outcome = control_add_host(control, group, group->voters[i].id,
                                           true);
            }
        }
    }
    if (outcome == OUTCOME_OK) {
        control->membership_agent =
            membership_agent_create(control, group->name);
    }
    return outcome;
}

// Opens this VM's voter of every group in the settings.
static int
control_open_groups(struct control *control)
{
    const struct settings *settings = control->daemon->settings;

    control->hosts = xcalloc(settings->groups_count, sizeof(*control->hosts));
    if (settings->voters_from_seeds) {
        return control_open_group_from_seeds(control);
    }
    for (size_t i = 0; i < settings->groups_count; i++) {
        const struct settings_group *group = &settings->groups[i];
        for (size_t j = 0; j < group->voters_count; j++) {
            if (!control_is_self(settings, &group->voters[j])) {
                continue;
            }
            int outcome = control_add_host(control, group, group->voters[j].id,
                                           control->daemon->bootstrap ||
                                               settings->bootstrap);
            if (outcome != OUTCOME_OK) {
                return outcome;
            }
        }
    }
    return OUTCOME_OK;
}

static void
control_set_handlers(struct control *control)
{
    struct rpcnet *rpcnet = control->daemon->rpcnet;

    rpcnet_set_handler(rpcnet, &rpcnet_raft, control_handle_raft, control);
    rpcnet_set_handler(rpcnet, &rpcnet_renew, control_handle_renew, control);
    rpcnet_set_handler(rpcnet, &rpcnet_apply, control_handle_apply, control);
    rpcnet_set_handler(rpcnet, &rpcnet_announce, control_handle_announce,
                       control);
    rpcnet_set_handler(rpcnet, &rpcnet_query, control_handle_query, control);
    rpcnet_set_handler(rpcnet, &rpcnet_borrow, control_handle_borrow, control);
    rpcnet_set_handler(rpcnet, &rpcnet_command, control_handle_command,
                       control);
    rpcnet_set_handler(rpcnet, &rpcnet_read_declaration,
                       control_handle_read_declaration, control);
}

static void
control_clear_handlers(struct control *control)
{
    struct rpcnet *rpcnet = control->daemon->rpcnet;

    rpcnet_set_handler(rpcnet, &rpcnet_raft, NULL, NULL);
    rpcnet_set_handler(rpcnet, &rpcnet_renew, NULL, NULL);
    rpcnet_set_handler(rpcnet, &rpcnet_apply, NULL, NULL);
    rpcnet_set_handler(rpcnet, &rpcnet_announce, NULL, NULL);
    rpcnet_set_handler(rpcnet, &rpcnet_query, NULL, NULL);
    rpcnet_set_handler(rpcnet, &rpcnet_borrow, NULL, NULL);
    rpcnet_set_handler(rpcnet, &rpcnet_command, NULL, NULL);
    rpcnet_set_handler(rpcnet, &rpcnet_read_declaration, NULL, NULL);
}

// Creates the control plane and registers its RPC handlers. With the role
// control it also opens the data folder and the groups. Returns OUTCOME_OK, or
// the store's error with everything closed again.
int
control_create(struct daemon *daemon, struct control **control_out)
{
    struct control *control = xcalloc(1, sizeof(*control));
    int outcome = OUTCOME_OK;

    control->daemon = daemon;
    control->loop = daemon->control_loop;
    control->announcements =
        announcement_batch_create(control, GROUP_FLEET_NAME);
    if ((daemon->settings->roles & SETTINGS_ROLE_CONTROL) != 0) {
        const struct upstream_admin_driver *driver =
            daemon->admin_driver != NULL ? daemon->admin_driver
                                         : &libpq_admin_driver;
        control->admin = driver->create(control->loop, daemon->settings);
        outcome = control_open_store(control);
        if (outcome == OUTCOME_OK) {
            outcome = control_open_groups(control);
        }
    }
    if (outcome != OUTCOME_OK) {
        control_destroy(control);
        return outcome;
    }
    control_set_handlers(control);
    loop_set_iteration_end_task(control->loop, control_flush, control);
    loop_set_iteration_observer(control->loop, control_observe_turn, control);
    *control_out = control;
    return OUTCOME_OK;
}

// Closes the groups and the data folder and removes the RPC handlers.
void
control_destroy(struct control *control)
{
    loop_set_iteration_end_task(control->loop, NULL, NULL);
    loop_set_iteration_observer(control->loop, NULL, NULL);
    membership_agent_destroy(control->membership_agent);
    announcement_batch_destroy(control->announcements);
    for (size_t i = 0; i < control->hosts_count; i++) {
        group_host_destroy(control->hosts[i]);
    }
    control_clear_handlers(control);
    if (control->admin != NULL) {
        control->admin->ops->destroy(control->admin);
    }
    if (control->store != NULL) {
        store_close(control->store);
    }
    free(control->hosts);
    free(control);
}

// Adds the HTTP route for announcements of upstreams.
void
control_start_announcements(struct control *control)
{
    struct http_route route = {
        .method = "POST",
        .path = "/announce",
        .max_body_bytes = CONTROL_MAX_ANNOUNCEMENT_BYTES,
        .handle = control_handle_announcement,
        .data = control,
    };

    http_add_route(control->daemon->http, &route);
}

// Removes the HTTP route for announcements.
void
control_stop_announcements(struct control *control)
{
    http_remove_routes(control->daemon->http, control);
}

// Starts to transfer the Raft leadership of all groups to other voters, where
// no transfer is in progress.
void
control_drain(struct control *control)
{
    for (size_t i = 0; i < control->hosts_count; i++) {
        group_host_transfer(control->hosts[i]);
    }
}

// Returns true once this VM leads no group that has other voters in the
// settings.
bool
control_is_drained(const struct control *control)
{
    for (size_t i = 0; i < control->hosts_count; i++) {
        const struct settings_group *group = control_find_group(
            control, group_host_get_name(control->hosts[i]));
        if (group_host_leads(control->hosts[i]) && group->voters_count > 1) {
            return false;
        }
    }
    return true;
}
