#include "test/fake/fleet.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"
#include "test/fake/changes.h"
#include "test/fake/fleet_private.h"

#define FLEET_LOCAL_DELAY_US  200
#define FLEET_FAILURE_DOMAINS 3
#define FLEET_STEP_US         1000

// Returns the network node of a voter.
int
fleet_voter_node(int voter)
{
    return voter;
}

// Returns the network node of an entry.
int
fleet_entry_node(const struct fleet *fleet, int entry)
{
    return fleet->params.voters + entry;
}

// Returns the network node of an upstream.
int
fleet_upstream_node(const struct fleet *fleet, int upstream)
{
    return fleet->params.voters + fleet->params.entries + upstream;
}

// Makes an empty message.
struct fleet_message *
fleet_create_message(enum fleet_message_kind kind)
{
    struct fleet_message *message = xcalloc(1, sizeof(*message));

    message->kind = kind;
    return message;
}

// Makes the empty reply to a request.
struct fleet_message *
fleet_create_reply(const struct fleet_message *request)
{
    struct fleet_message *reply = fleet_create_message(request->kind);

    reply->is_reply = true;
    reply->call = request->call;
    return reply;
}

static void *
fleet_copy_message(const void *message)
{
    const struct fleet_message *from = message;
    struct fleet_message *copy = xcalloc(1, sizeof(*copy));

    *copy = *from;
    memset(&copy->bytes, 0, sizeof(copy->bytes));
    buffer_append(&copy->bytes, buffer_get_data(&from->bytes),
                  buffer_get_size(&from->bytes));
    return copy;
}

static void
fleet_free_message(void *message)
{
    struct fleet_message *own = message;

    buffer_free(&own->bytes);
    free(own);
}

// Sends a message, which it takes over.
void
fleet_send_message(struct fleet *fleet, int from, int to,
                   struct fleet_message *message)
{
    network_send(fleet->network, from, to, message);
}

// Sends a request; its end comes to fleet_*_done, with no reply after the
// time limit.
uint64_t
fleet_call(struct fleet *fleet, int from, int to,
           struct fleet_message *message, int64_t timeout_us, const char *name,
           uint64_t incarnation, uint64_t sequence)
{
    struct fleet_call *call = xcalloc(1, sizeof(*call));
    int64_t now_us = network_get_node_now_us(fleet->network, from);

    call->id = ++fleet->next_call;
    call->node = from;
    call->kind = (int)message->kind;
    call->incarnation = incarnation;
    call->sequence = sequence;
    (void)snprintf(call->name, sizeof(call->name), "%s", name);
    call->next = fleet->calls;
    fleet->calls = call;
    message->call = call->id;
    network_set_timer(fleet->network, from, FLEET_TIMER_CALL + call->id,
                      now_us + timeout_us);
    fleet_send_message(fleet, from, to, message);
    return fleet->next_call;
}

// Notes the first broken promise.
void
fleet_record_violation(struct fleet *fleet, const char *format, ...)
{
    va_list args;

    if (fleet->violation[0] != '\0') {
        return;
    }
    va_start(args, format);
    (void)vsnprintf(fleet->violation, sizeof(fleet->violation), format, args);
    va_end(args);
}

static struct fleet_call *
fleet_remove_call(struct fleet *fleet, uint64_t id)
{
    struct fleet_call **link = &fleet->calls;

    while (*link != NULL && (*link)->id != id) {
        link = &(*link)->next;
    }
    struct fleet_call *call = *link;
    if (call != NULL) {
        *link = call->next;
    }
    return call;
}

static void
fleet_complete_call(struct fleet *fleet, uint64_t id,
                    const struct fleet_message *reply)
{
    struct fleet_call *call = fleet_remove_call(fleet, id);

    if (call == NULL) {
        return;
    }
    if (call->node < fleet->params.voters) {
        fleet_voter_complete_call(fleet, call->node, call, reply);
    }
    else {
        fleet_entry_complete_call(fleet, call->node - fleet->params.voters,
                                  call, reply);
    }
    free(call);
}

static void
fleet_on_deliver(void *data, int64_t now_us, int from, int to, void *message)
{
    struct fleet *fleet = data;
    struct fleet_message *own = message;
    int entry = to - fleet->params.voters;

    (void)now_us;
    if (own->is_reply) {
        fleet_complete_call(fleet, own->call, own);
    }
    else if (entry < 0) {
        fleet_voter_receive(fleet, to, from, own);
    }
    else if (entry < fleet->params.entries) {
        fleet_entry_receive(fleet, entry, from, own);
    }
    else {
        fleet_upstream_receive(fleet, entry - fleet->params.entries, from,
                               own);
    }
}

static void
fleet_timer(void *data, int64_t now_us, int node, uint64_t tag)
{
    struct fleet *fleet = data;
    int entry = node - fleet->params.voters;

    (void)now_us;
    if (tag >= FLEET_TIMER_CALL) {
        fleet_complete_call(fleet, tag - FLEET_TIMER_CALL, NULL);
    }
    else if (entry < 0) {
        fleet_voter_timer(fleet, node, tag);
    }
    else if (entry < fleet->params.entries) {
        fleet_entry_timer(fleet, entry, tag);
    }
    else {
        fleet_upstream_timer(fleet, entry - fleet->params.entries, tag);
    }
}

// Spreads the nodes of each kind over the failure domains.
static int
fleet_get_failure_domain(const struct fleet *fleet, int node)
{
    if (node < fleet->params.voters) {
        return node % FLEET_FAILURE_DOMAINS;
    }
    int entry = node - fleet->params.voters;
    return entry < fleet->params.entries
               ? entry % FLEET_FAILURE_DOMAINS
               : (entry - fleet->params.entries) % FLEET_FAILURE_DOMAINS;
}

static void
fleet_set_delays(struct fleet *fleet, int nodes)
{
    struct network_faults faults = {.delay_max_us =
                                        fleet->params.domain_delay_us / 10};

    network_set_faults(fleet->network, &faults);
    for (int from = 0; from < nodes; from++) {
        for (int to = 0; to < nodes; to++) {
            bool same = fleet_get_failure_domain(fleet, from) ==
                        fleet_get_failure_domain(fleet, to);
            network_set_delay(fleet->network, from, to,
                              same ? FLEET_LOCAL_DELAY_US
                                   : fleet->params.domain_delay_us);
        }
    }
}

// Makes a fleet whose templates and customer are in place; the upstreams
// announce themselves from the start.
struct fleet *
fleet_create(const struct fleet_params *params)
{
    struct fleet *fleet = xcalloc(1, sizeof(*fleet));
    int nodes = params->voters + params->entries + params->upstreams;

    fleet->params = *params;
    fleet->acknowledged =
        xcalloc(FLEET_MAX_SAVES, sizeof(*fleet->acknowledged));
    fleet->network =
        network_create(params->seed, nodes, fleet_on_deliver, fleet_timer,
                       fleet, fleet_copy_message, fleet_free_message);
    fleet_set_delays(fleet, nodes);
    for (int i = 0; i < params->voters; i++) {
        fleet_voter_start(fleet, i);
    }
    for (int i = 0; i < params->upstreams; i++) {
        fleet_upstream_start(fleet, i);
    }
    for (int i = 0; i < params->entries; i++) {
        int sign = i % 2 == 0 ? 1 : -1;
        network_set_clock_ppm(fleet->network, fleet_entry_node(fleet, i),
                              sign * params->drift_ppm);
        fleet_entry_start(fleet, i);
    }
    return fleet;
}

// Frees a fleet.
void
fleet_destroy(struct fleet *fleet)
{
    for (int i = 0; i < fleet->params.voters; i++) {
        raft_destroy(fleet->voters[i].raft);
        coordinator_destroy(fleet->voters[i].coordinator);
        group_destroy(fleet->voters[i].group);
    }
    for (int i = 0; i < fleet->params.entries; i++) {
        leaseholder_destroy(fleet->entries[i].holder);
    }
    for (int i = 0; i < fleet->params.upstreams; i++) {
        free(fleet->upstreams[i].saves);
    }
    while (fleet->calls != NULL) {
        struct fleet_call *call = fleet->calls;
        fleet->calls = call->next;
        free(call);
    }
    network_destroy(fleet->network);
    free(fleet->acknowledged);
    free(fleet);
}

// Runs for so long.
void
fleet_run(struct fleet *fleet, int64_t duration_us)
{
    int64_t now_us = network_get_now_us(fleet->network);

    (void)network_run_until(fleet->network, now_us + duration_us);
}

// Runs until a save of a term was acknowledged after the call.
int64_t
fleet_run_until_saved(struct fleet *fleet, int entry, uint64_t term,
                      int64_t limit_us)
{
    int64_t until_us = network_get_now_us(fleet->network) + limit_us;
    size_t seen = fleet->acknowledged_count;

    while (network_get_now_us(fleet->network) < until_us) {
        fleet_run(fleet, FLEET_STEP_US);
        for (; seen < fleet->acknowledged_count; seen++) {
            const struct fleet_acknowledged_save *row =
                &fleet->acknowledged[seen];
            if (row->term >= term && (entry < 0 || row->entry == entry)) {
                return row->at_us;
            }
        }
    }
    return -1;
}

// Returns the voter whose leader machine is active and that has a quorum.
int
fleet_get_leader(const struct fleet *fleet)
{
    for (int i = 0; i < fleet->params.voters; i++) {
        const struct fleet_voter *voter = &fleet->voters[i];
        int64_t now_us = network_get_node_now_us(fleet->network, i);
        if (coordinator_is_active(voter->coordinator) &&
            raft_has_quorum(voter->raft, now_us)) {
            return i;
        }
    }
    return -1;
}

// Returns the database as the leader has it, or NULL.
const struct ck_database *
fleet_get_database(const struct fleet *fleet)
{
    int leader = fleet_get_leader(fleet);

    return leader < 0 ? NULL
                      : group_find_database(fleet->voters[leader].group,
                                            FLEET_DATABASE);
}

// Returns the place of the database's primary, or -1.
int
fleet_get_primary(const struct fleet *fleet)
{
    const struct ck_database *database = fleet_get_database(fleet);

    return database == NULL || database->primary[0] == '\0'
               ? -1
               : atoi(database->primary + 1);
}

// Has the leader take an operator's command about the database.
void
fleet_submit_command(struct fleet *fleet, ck_command_kind kind, int target)
{
    char name[16];
    struct ck_command_args args = {.kind = kind};

    (void)snprintf(name, sizeof(name), "u%d", target);
    args.change_id = (char *)(uintptr_t) "";
    args.group = (char *)(uintptr_t)GROUP_FLEET_NAME;
    args.database = (char *)(uintptr_t)FLEET_DATABASE;
    args.target = name;
    fleet->command_answered = false;
    fleet_voter_handle_command(fleet, fleet_get_leader(fleet), &args);
}

// Checks that voters which applied as much hold the same state, and that the
// last primary has all that was acknowledged.
void
fleet_check_final_state(struct fleet *fleet)
{
    int primary = fleet_get_primary(fleet);
    struct buffer states[FLEET_MAX_VOTERS] = {{0}};

    for (int i = 0; i < fleet->params.voters; i++) {
        group_encode(fleet->voters[i].group, &states[i]);
        size_t size = buffer_get_size(&states[i]);
        bool same_index = group_get_applied_index(fleet->voters[i].group) ==
                          group_get_applied_index(fleet->voters[0].group);
        if (same_index &&
            (size != buffer_get_size(&states[0]) ||
             memcmp(states[i].data, states[0].data, size) != 0)) {
            fleet_record_violation(fleet, "states of voters 0 and %d differ",
                                   i);
        }
    }
    for (int i = 0; i < fleet->params.voters; i++) {
        buffer_free(&states[i]);
    }
    for (size_t i = 0; primary >= 0 && i < fleet->acknowledged_count; i++) {
        if (!fleet_upstream_has(&fleet->upstreams[primary],
                                fleet->acknowledged[i].save)) {
            fleet_record_violation(fleet, "save %lu of term %lu is lost",
                                   (unsigned long)fleet->acknowledged[i].save,
                                   (unsigned long)fleet->acknowledged[i].term);
        }
    }
}

// Ends an upstream's process: its connections are cut, and its host goes on
// refusing new ones.
void
fleet_kill_upstream(struct fleet *fleet, int upstream)
{
    struct fleet_upstream *own = &fleet->upstreams[upstream];

    own->is_dead = true;
    for (size_t i = 0; i < own->waiting_count; i++) {
        struct fleet_message *reply = fleet_create_message(FLEET_SAVE);
        reply->is_reply = true;
        reply->refused = true;
        reply->call = own->waiting[i].call;
        fleet_send_message(fleet, fleet_upstream_node(fleet, upstream),
                           own->waiting[i].node, reply);
    }
    own->waiting_count = 0;
}

// Stops a node for good, without a trace.
void
fleet_stop_node(struct fleet *fleet, int node)
{
    network_set_node_down(fleet->network, node, true);
}

// Cuts or mends both ways between two nodes.
void
fleet_set_paths_down(struct fleet *fleet, int one, int other, bool cut)
{
    network_set_path_down(fleet->network, one, other, cut);
    network_set_path_down(fleet->network, other, one, cut);
}

// Cuts or mends an upstream and the control voters; entries reach it as ever.
void
fleet_set_control_paths_down(struct fleet *fleet, int upstream, bool cut)
{
    for (int i = 0; i < fleet->params.voters; i++) {
        fleet_set_paths_down(fleet, fleet_upstream_node(fleet, upstream),
                             fleet_voter_node(i), cut);
    }
}

// Starts an upstream's process again with the data that it had.
void
fleet_restart_upstream(struct fleet *fleet, int upstream)
{
    fleet->upstreams[upstream].is_dead = false;
    fleet->upstreams[upstream].waiting_count = 0;
}

// Ends an entry's process and starts a new one that knows nothing.
void
fleet_restart_entry(struct fleet *fleet, int entry)
{
    leaseholder_destroy(fleet->entries[entry].holder);
    fleet_entry_start(fleet, entry);
}

static bool
fleet_is_listed(const int *nodes, int count, int node)
{
    for (int i = 0; i < count; i++) {
        if (nodes[i] == node) {
            return true;
        }
    }
    return false;
}

// Cuts the listed nodes from all others; paths among either side stay.
void
fleet_isolate(struct fleet *fleet, const int *nodes, int count)
{
    int all =
        fleet->params.voters + fleet->params.entries + fleet->params.upstreams;

    for (int one = 0; one < all; one++) {
        for (int other = 0; other < one; other++) {
            if (fleet_is_listed(nodes, count, one) !=
                fleet_is_listed(nodes, count, other)) {
                fleet_set_paths_down(fleet, one, other, true);
            }
        }
    }
}

// Mends every path.
void
fleet_restore_paths(struct fleet *fleet)
{
    int all =
        fleet->params.voters + fleet->params.entries + fleet->params.upstreams;

    for (int one = 0; one < all; one++) {
        for (int other = 0; other < one; other++) {
            fleet_set_paths_down(fleet, one, other, false);
        }
    }
}

// Counts the saves of all entries whose outcome is unknown.
size_t
fleet_count_unknown_saves(const struct fleet *fleet)
{
    size_t count = 0;

    for (int i = 0; i < fleet->params.entries; i++) {
        count += fleet->entries[i].unknown;
    }
    return count;
}
