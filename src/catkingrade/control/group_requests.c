#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/control/group_host_state.h"
#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/name.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

// Returns whether this voter is a leader confirmed by a quorum. Any other
// voter may have outdated group state.
static bool
host_is_confirmed_leader(const struct group_host *host)
{
    return host->leads && raft_has_quorum(host->raft, monotonic_get_us());
}

// Proposes a change to Raft with the token of a waiter. Returns
// OUTCOME_INVALID if the change cannot be encoded; the caller then removes the
// waiter.
static int
host_propose_change(struct group_host *host, const struct ck_apply_args *args,
                    uint64_t token)
{
    struct ck_log_payload payload = {
        .change_id = args->change_id,
        .expected_revision = args->expected_revision,
        .check_revision = args->check_revision,
        .change = args->change,
    };
    struct buffer bytes = {0};
    struct raft_event event = {.kind = RAFT_EVENT_PROPOSE};

    int outcome =
        codec_encode((xdrproc_t)xdr_ck_log_payload, &payload, &bytes);
    if (outcome == OUTCOME_OK) {
        event.propose.token = token;
        event.propose.payload = buffer_get_data(&bytes);
        event.propose.size_bytes = buffer_get_size(&bytes);
        host_step_raft(host, &event);
    }
    buffer_free(&bytes);
    return outcome;
}

// Replies to a change request. result is NULL if the change was not applied.
void
host_reply_apply(struct group_host *host, struct rpcnet_request *request,
                 int outcome, const struct group_result *result)
{
    struct ck_apply_result reply = {.outcome = outcome};

    host_fill_leader_hint(host, &reply.leader_host, &reply.leader_port);
    reply.message = (char *)(uintptr_t)outcome_get_text(outcome);
    if (result != NULL) {
        reply.revision = result->revision;
        reply.replayed = result->replayed;
        if (result->message[0] != '\0') {
            reply.message = (char *)(uintptr_t)result->message;
        }
    }
    rpcnet_reply(request, &reply);
}

// Replies to an operator's command. text may be NULL.
void
host_reply_command(struct group_host *host, struct rpcnet_request *request,
                   int outcome, const char *text)
{
    struct ck_command_result reply = {.outcome = outcome};

    host_fill_leader_hint(host, &reply.leader_host, &reply.leader_port);
    reply.message = text == NULL ? "" : (char *)(uintptr_t)text;
    rpcnet_reply(request, &reply);
}

// Replies to a lease renewal without a lease, with the leader's address.
void
host_reply_renew(struct group_host *host, struct rpcnet_request *request,
                 int outcome, uint64_t sequence)
{
    struct ck_renew_result reply = {
        .outcome = outcome,
        .sequence = sequence,
    };

    host_fill_leader_hint(host, &reply.leader_host, &reply.leader_port);
    rpcnet_reply(request, &reply);
}

// Handles a lease renewal from an entry.
void
group_host_handle_renew(struct group_host *host,
                        struct rpcnet_request *request,
                        const struct ck_renew_args *args)
{
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_RENEW};

    if (!host->leads) {
        host_reply_renew(host, request, OUTCOME_NOT_LEADER, args->sequence);
        return;
    }
    struct host_waiter *waiter = host_add_waiter(host, HOST_WAITER_RENEW);
    waiter->request = request;
    event.token = waiter->token;
    event.renew = args;
    host_step_coordinator(host, &event);
}

// Returns whether a name can be sent to upstreams and other daemons. An empty
// one can: that of an upstream that is withdrawn lacks its database.
static bool
host_is_announced_name(const char *name)
{
    return name[0] == '\0' || name_is_printable(name, strlen(name));
}

// Passes an announcement of an upstream to the coordinator. done is called
// once. All announcements come this way, also those that other daemons pass
// on; one with a control character in a name is refused.
void
group_host_submit_announcement(struct group_host *host,
                               const struct ck_upstream *upstream,
                               group_host_change_fn done, void *data)
{
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_ANNOUNCE};

    if (!host->leads) {
        done(data, OUTCOME_NOT_LEADER, "this VM does not lead the group");
        return;
    }
    if (!host_is_announced_name(upstream->name) ||
        !host_is_announced_name(upstream->database) ||
        !host_is_announced_name(upstream->failure_domain)) {
        done(data, OUTCOME_INVALID, "a name has a control character");
        return;
    }
    struct host_waiter *waiter =
        host_add_waiter(host, HOST_WAITER_ANNOUNCEMENT);
    waiter->change_done = done;
    waiter->change_data = data;
    event.token = waiter->token;
    event.announce = upstream;
    host_step_coordinator(host, &event);
}

// Submits a change from this VM: an announcement goes to the coordinator, any
// other change is checked and proposed. done is called once.
// OUTCOME_NOT_LEADER and OUTCOME_AGAIN: nothing was changed. OUTCOME_UNKNOWN:
// leadership ended, and a later leader may still apply the change.
void
group_host_submit_change(struct group_host *host,
                         const struct ck_change *change,
                         group_host_change_fn done, void *data)
{
    struct ck_apply_args args = {.change_id = "", .change = *change};
    struct group_result result = {0};
    struct buffer effect = {0};

    if (change->kind == CK_CHANGE_UPSTREAM) {
        group_host_submit_announcement(host, &change->ck_change_u.upstream,
                                       done, data);
        return;
    }
    if (!host_is_confirmed_leader(host)) {
        done(data, OUTCOME_NOT_LEADER, "this VM does not lead the group");
        return;
    }
    group_check(host->state, &args, &result, &effect);
    buffer_free(&effect);
    if (result.outcome != OUTCOME_OK) {
        done(data, result.outcome, result.message);
        return;
    }
    struct host_waiter *waiter = host_add_waiter(host, HOST_WAITER_CHANGE);
    struct host_waiter dropped;
    uint64_t token = waiter->token;
    waiter->change_done = done;
    waiter->change_data = data;
    if (host_propose_change(host, &args, token) != OUTCOME_OK) {
        (void)host_remove_waiter(host, token, &dropped);
        done(data, OUTCOME_INVALID, "the change cannot be encoded");
    }
}

// Fills the current declaration, borrowed until the group's next change.
// OUTCOME_NOT_LEADER with the leader's address if no quorum confirms this
// voter as the leader, since a newer declaration may then exist.
void
group_host_read_declaration(const struct group_host *host,
                            struct ck_read_declaration_result *result)
{
    const struct ck_packed_declaration *own =
        group_get_declaration(host->state);

    memset(result, 0, sizeof(*result));
    host_fill_leader_hint(host, &result->leader_host, &result->leader_port);
    if (!host_is_confirmed_leader(host)) {
        result->outcome = OUTCOME_NOT_LEADER;
    }
    else if (own != NULL) {
        result->declaration = *own;
    }
}

// Announcement forwarded by another daemon as an RPC request.
struct host_forwarded_announcement {
    struct group_host *host;
    struct rpcnet_request *request;
};

static void
host_reply_forwarded_announcement(void *data, int outcome, const char *text)
{
    struct host_forwarded_announcement *forwarded = data;
    struct group_result result = {.outcome = outcome};

    (void)strncpy(result.message, text, sizeof(result.message) - 1);
    host_reply_apply(forwarded->host, forwarded->request, outcome, &result);
    free(forwarded);
}

static void
host_submit_forwarded_announcement(struct group_host *host,
                                   struct rpcnet_request *request,
                                   const struct ck_upstream *upstream)
{
    struct host_forwarded_announcement *forwarded =
        xcalloc(1, sizeof(*forwarded));

    forwarded->host = host;
    forwarded->request = request;
    group_host_submit_announcement(
        host, upstream, host_reply_forwarded_announcement, forwarded);
}

// Returns whether an announcement changes nothing in the state that this voter
// has applied, which may be behind that of the leader.
bool
group_host_has_upstream(const struct group_host *host,
                        const struct ck_upstream *announced)
{
    struct ck_upstream limited = *announced;
    const struct ck_upstream *known =
        group_find_upstream(host->state, announced->name);

    group_override_upstream_limits(host->state, &limited);
    return known != NULL && known->state != CK_UPSTREAM_LOST &&
           group_is_same_upstream(known, &limited);
}

// The upstream already has its answer, from the control VM that sent the list.
static void
host_ignore_listed_announcement(void *data, int outcome, const char *text)
{
    (void)data;
    (void)outcome;
    (void)text;
}

// Handles a list of announcements from another control VM.
void
group_host_handle_announce(struct group_host *host,
                           struct rpcnet_request *request,
                           const struct ck_announce_args *args)
{
    struct ck_announce_result reply = {.outcome = OUTCOME_NOT_LEADER};

    if (!host_is_confirmed_leader(host)) {
        rpcnet_reply(request, &reply);
        return;
    }
    for (u_int i = 0; i < args->upstreams.upstreams_len; i++) {
        group_host_submit_announcement(host, &args->upstreams.upstreams_val[i],
                                       host_ignore_listed_announcement, NULL);
    }
    reply.outcome = OUTCOME_OK;
    rpcnet_reply(request, &reply);
}

// Returns whether operators may request a change of this kind. Only the
// coordinator may propose the other kinds.
static bool
host_is_operator_change(enum ck_change_kind kind)
{
    return kind == CK_CHANGE_TEMPLATE || kind == CK_CHANGE_TEMPLATE_DELETE ||
           kind == CK_CHANGE_CUSTOMER || kind == CK_CHANGE_CUSTOMER_STATE ||
           kind == CK_CHANGE_DECLARATION;
}

static void
host_propose_operator_change(struct group_host *host,
                             struct rpcnet_request *request,
                             const struct ck_apply_args *args)
{
    struct host_waiter *waiter = host_add_waiter(host, HOST_WAITER_APPLY);
    struct host_waiter dropped;
    uint64_t token = waiter->token;

    waiter->request = request;
    if (host_propose_change(host, args, token) != OUTCOME_OK) {
        (void)host_remove_waiter(host, token, &dropped);
        host_reply_apply(host, request, OUTCOME_INVALID, NULL);
    }
}

// Checks a change against the group state before it is proposed. Returns true
// if it is to be proposed. Otherwise, as for a dry run or an invalid change,
// replies to the request and returns false.
static bool
host_check_apply(struct group_host *host, struct rpcnet_request *request,
                 const struct ck_apply_args *args)
{
    struct group_result result = {0};
    struct buffer effect = {0};

    group_check(host->state, args, &result, &effect);
    if (result.outcome == OUTCOME_OK && !args->dry_run) {
        buffer_free(&effect);
        return true;
    }
    if (buffer_get_size(&effect) > 0) {
        size_t size = buffer_get_size(&effect);
        size = size < CK_TEXT_SIZE ? size : CK_TEXT_SIZE;
        struct ck_apply_result reply = {
            .outcome = result.outcome,
            .revision = result.revision,
            .replayed = result.replayed,
            .message = xmemdupz((const char *)buffer_get_data(&effect), size),
        };
        host_fill_leader_hint(host, &reply.leader_host, &reply.leader_port);
        rpcnet_reply(request, &reply);
        free(reply.message);
    }
    else {
        host_reply_apply(host, request, result.outcome, &result);
    }
    buffer_free(&effect);
    return false;
}

// Handles a change from an operator, or an announcement forwarded by another
// daemon.
void
group_host_handle_apply(struct group_host *host,
                        struct rpcnet_request *request,
                        const struct ck_apply_args *args)
{
    if (!host_is_confirmed_leader(host)) {
        host_reply_apply(host, request, OUTCOME_NOT_LEADER, NULL);
        return;
    }
    if (args->change.kind == CK_CHANGE_UPSTREAM) {
        host_submit_forwarded_announcement(host, request,
                                           &args->change.ck_change_u.upstream);
        return;
    }
    if (!host_is_operator_change(args->change.kind)) {
        host_reply_apply(host, request, OUTCOME_DENIED, NULL);
        return;
    }
    if (host_check_apply(host, request, args)) {
        host_propose_operator_change(host, request, args);
    }
}

// Handles a query for objects of the group. Returns one page; the reply's
// next_cursor continues with the next one.
void
group_host_handle_query(struct group_host *host,
                        struct rpcnet_request *request,
                        const struct ck_query_args *args)
{
    struct ck_query_result reply = {.outcome = OUTCOME_NOT_LEADER};
    struct buffer json = {0};

    if (host_is_confirmed_leader(host) && args->kind == CK_QUERY_LIMITS) {
        reply.next_cursor =
            host_describe_limits(host, args->name, args->cursor, &json);
        reply.outcome = OUTCOME_OK;
    }
    else if (host_is_confirmed_leader(host)) {
        reply.outcome = group_query(host->state, args->kind, args->name,
                                    args->cursor, &json, &reply.next_cursor);
        reply.revision = group_get_revision(host->state);
    }
    buffer_append_u8(&json, 0);
    reply.json =
        reply.outcome == OUTCOME_OK ? (char *)json.data + json.start : "[]";
    reply.message = (char *)(uintptr_t)outcome_get_text(reply.outcome);
    host_fill_leader_hint(host, &reply.leader_host, &reply.leader_port);
    rpcnet_reply(request, &reply);
    buffer_free(&json);
}

static uint64_t
host_find_voter_id_by_vm(const struct group_host *host, const char *vm)
{
    const struct ck_voters_change *voters = raft_get_voters(host->raft);

    for (u_int i = 0; i < voters->voters.voters_len; i++) {
        if (strcmp(voters->voters.voters_val[i].vm, vm) == 0) {
            return voters->voters.voters_val[i].id;
        }
    }
    return RAFT_NO_VOTER;
}

static void
host_change_voters(struct group_host *host, struct rpcnet_request *request,
                   const struct ck_command_args *args)
{
    struct raft_event event = {.kind = RAFT_EVENT_CHANGE_VOTERS};

    if (args->kind == CK_COMMAND_ADD_VOTER &&
        host->params.daemon->settings->voters_from_seeds) {
        struct ck_command_result reply = {.leader_host = "", .message = ""};
        reply.outcome = host_check_join(host, &args->voter, &reply.number);
        if (reply.outcome != OUTCOME_OK || reply.number != 0) {
            rpcnet_reply(request, &reply);
            return;
        }
    }
    if (args->kind == CK_COMMAND_ADD_VOTER) {
        event.change_voters.added = &args->voter;
    }
    else {
        event.change_voters.removed =
            host_find_voter_id_by_vm(host, args->target);
        if (event.change_voters.removed == RAFT_NO_VOTER) {
            host_reply_command(host, request, OUTCOME_NOT_FOUND,
                               "no voter of the group runs on that VM");
            return;
        }
    }
    struct host_waiter *waiter = host_add_waiter(host, HOST_WAITER_VOTERS);
    waiter->request = request;
    event.change_voters.token = waiter->token;
    event.change_voters.change_id = args->change_id;
    host_step_raft(host, &event);
    // Before the new learner answers, lest it get a vote that is not needed.
    host_select_standby(host);
}

static void
host_transfer_leadership(struct group_host *host,
                         struct rpcnet_request *request, const char *vm)
{
    struct raft_event event = {.kind = RAFT_EVENT_TRANSFER};

    event.transfer =
        vm[0] == '\0' ? RAFT_NO_VOTER : host_find_voter_id_by_vm(host, vm);
    if (vm[0] != '\0' && event.transfer == RAFT_NO_VOTER) {
        host_reply_command(host, request, OUTCOME_NOT_FOUND,
                           "no voter of the group runs on that VM");
        return;
    }
    host_step_raft(host, &event);
    host_reply_command(host, request, OUTCOME_OK, "handing over");
}

// Handles a command to the group: a change of voters, a transfer of leadership
// or, for all other kinds, a command to the coordinator.
void
group_host_handle_command(struct group_host *host,
                          struct rpcnet_request *request,
                          const struct ck_command_args *args)
{
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_COMMAND};

    if (!host_is_confirmed_leader(host)) {
        host_reply_command(host, request, OUTCOME_NOT_LEADER,
                           outcome_get_text(OUTCOME_NOT_LEADER));
        return;
    }
    switch (args->kind) {
    case CK_COMMAND_ADD_VOTER:
    case CK_COMMAND_REMOVE_VOTER:
        host_change_voters(host, request, args);
        return;
    case CK_COMMAND_TRANSFER:
        host_transfer_leadership(host, request, args->target);
        return;
    default:
        break;
    }
    struct host_waiter *waiter = host_add_waiter(host, HOST_WAITER_COMMAND);
    waiter->request = request;
    event.token = waiter->token;
    event.command = args;
    host_step_coordinator(host, &event);
}
