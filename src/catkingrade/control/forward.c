#include "catkingrade/control/forward.h"

#include <stdlib.h>
#include <string.h>

#include "catkingrade/control/announcement.h"
#include "catkingrade/control/announcement_batch.h"
#include "catkingrade/control/control_state.h"
#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/plugins/http.h"
#include "catkingrade/rpc/codec.h"

// HTTP clients give up after 1 s and call another daemon. The total timeout is
// shorter, so that they receive a reply.
#define FORWARD_TIMEOUT_US      900000
#define FORWARD_CALL_TIMEOUT_US 300000
#define FORWARD_RETRY_DELAY_US  30000
#define FORWARD_MAX_PEERS       24

// One call that has not been answered by the group's leader yet.
struct forward {
    struct control *control;
    char *group;
    struct loop_timer *timer; // delay before the next attempt
    int64_t deadline_us;
    unsigned attempts;
    bool is_read;
    struct ck_change change; // if not is_read
    forward_apply_fn apply_done;
    forward_read_fn read_done;
    void *data;
};

static void forward_try(struct forward *forward);

static void
forward_free(struct forward *forward)
{
    loop_timer_destroy(forward->timer);
    codec_free((xdrproc_t)xdr_ck_change, &forward->change);
    free(forward->group);
    free(forward);
}

static void
forward_finish(struct forward *forward, int outcome, const char *text,
               const struct ck_packed_declaration *declaration)
{
    if (forward->is_read) {
        forward->read_done(forward->data, outcome, declaration);
    }
    else {
        forward->apply_done(forward->data, outcome, text);
    }
    forward_free(forward);
}

static void
forward_handle_timer(void *data)
{
    forward_try(data);
}

// Schedules the next attempt, or finishes with OUTCOME_UNAVAILABLE if the
// deadline would pass before it.
static void
forward_schedule_retry(struct forward *forward)
{
    int64_t next_us = monotonic_get_us() + FORWARD_RETRY_DELAY_US;

    if (next_us >= forward->deadline_us) {
        forward_finish(forward, OUTCOME_UNAVAILABLE,
                       "the group's leader cannot be reached", NULL);
        return;
    }
    loop_timer_set(forward->timer, next_us);
}

static void forward_send(struct forward *forward,
                         const struct settings_address *peer);

// Handles a reply from a daemon that does not lead the group: sends the call
// to the leader that the reply names, or schedules a retry if port is 0.
static void
forward_redirect(struct forward *forward, const char *host, u_int port)
{
    struct settings_address peer = {0};

    if (port == 0 || monotonic_get_us() >= forward->deadline_us) {
        forward_schedule_retry(forward);
        return;
    }
    (void)strncpy(peer.host, host, sizeof(peer.host) - 1);
    peer.port = (uint16_t)port;
    forward_send(forward, &peer);
}

// Returns whether a change is sent again after this outcome: its leader lost
// its leadership before the change was committed, or is about to hand it over.
// A change that was applied already changes nothing. An announcement with
// OUTCOME_AGAIN was deferred, and is left to the upstream.
static bool
forward_must_repeat(const struct forward *forward, int outcome)
{
    return outcome == OUTCOME_UNKNOWN ||
           (outcome == OUTCOME_AGAIN &&
            forward->change.kind != CK_CHANGE_UPSTREAM);
}

static void
forward_handle_apply_result(void *data, int outcome, const void *result)
{
    struct forward *forward = data;
    const struct ck_apply_result *applied = result;

    if (outcome == OUTCOME_CLOSED) {
        forward_finish(forward, OUTCOME_UNAVAILABLE, "stopping", NULL);
    }
    else if (outcome != OUTCOME_OK ||
             forward_must_repeat(forward, applied->outcome)) {
        forward_schedule_retry(forward);
    }
    else if (applied->outcome == OUTCOME_NOT_LEADER) {
        forward_redirect(forward, applied->leader_host, applied->leader_port);
    }
    else {
        forward_finish(forward, applied->outcome, applied->message, NULL);
    }
}

static void
forward_handle_read_result(void *data, int outcome, const void *result)
{
    struct forward *forward = data;
    const struct ck_read_declaration_result *read = result;

    if (outcome == OUTCOME_CLOSED) {
        forward_finish(forward, OUTCOME_UNAVAILABLE, "stopping", NULL);
    }
    else if (outcome != OUTCOME_OK) {
        forward_schedule_retry(forward);
    }
    else if (read->outcome == OUTCOME_NOT_LEADER) {
        forward_redirect(forward, read->leader_host, read->leader_port);
    }
    else {
        forward_finish(forward, read->outcome, "", &read->declaration);
    }
}

static void
forward_send(struct forward *forward, const struct settings_address *peer)
{
    struct rpcnet *rpcnet = forward->control->daemon->rpcnet;
    struct ck_read_declaration_args read = {.group = forward->group};
    struct ck_apply_args apply = {
        .group = forward->group,
        .change_id = "",
        .change = forward->change,
    };

    if (forward->is_read) {
        rpcnet_call(rpcnet, peer, &rpcnet_read_declaration, &read,
                    FORWARD_CALL_TIMEOUT_US, FORWARD_CALL_TIMEOUT_US,
                    forward_handle_read_result, forward);
    }
    else {
        rpcnet_call(rpcnet, peer, &rpcnet_apply, &apply,
                    FORWARD_CALL_TIMEOUT_US, FORWARD_CALL_TIMEOUT_US,
                    forward_handle_apply_result, forward);
    }
}

static void
forward_handle_local_result(void *data, int outcome, const char *text)
{
    struct forward *forward = data;

    if (outcome == OUTCOME_NOT_LEADER ||
        forward_must_repeat(forward, outcome)) {
        forward_schedule_retry(forward);
        return;
    }
    forward_finish(forward, outcome, text, NULL);
}

// Executes the call on this VM's voter, which leads the group.
static void
forward_run_local(struct forward *forward, struct group_host *host)
{
    if (!forward->is_read) {
        group_host_submit_change(host, &forward->change,
                                 forward_handle_local_result, forward);
        return;
    }
    struct ck_read_declaration_result result = {0};
    group_host_read_declaration(host, &result);
    if (result.outcome == OUTCOME_NOT_LEADER) {
        forward_schedule_retry(forward);
        return;
    }
    forward_finish(forward, result.outcome, "", &result.declaration);
}

// Starts an attempt. If this VM's voter leads, executes the call locally. The
// first attempt goes to the leader known to this VM, if any. Later attempts go
// to the other known daemons in turn, since that leader may be down.
static void
forward_try(struct forward *forward)
{
    struct settings_address peers[FORWARD_MAX_PEERS];
    struct settings_address leader = {0};
    struct group_host *host =
        control_find_host(forward->control, forward->group);

    if (host != NULL && group_host_leads(host)) {
        forward_run_local(forward, host);
        return;
    }
    if (host != NULL) {
        group_host_get_leader(host, &leader);
    }
    if (leader.port != 0 && forward->attempts++ % 2 == 0) {
        forward_send(forward, &leader);
        return;
    }
    size_t count = control_list_peers(forward->control, forward->group, peers,
                                      FORWARD_MAX_PEERS);
    if (count == 0) {
        forward_schedule_retry(forward);
        return;
    }
    forward_send(forward, &peers[forward->attempts++ / 2 % count]);
}

static struct forward *
forward_create(struct control *control, const char *group, void *data)
{
    struct forward *forward = xcalloc(1, sizeof(*forward));

    forward->control = control;
    forward->group = xstrdup(group);
    forward->deadline_us = monotonic_get_us() + FORWARD_TIMEOUT_US;
    forward->timer =
        loop_timer_create(control->loop, forward_handle_timer, forward);
    forward->data = data;
    forward->change.kind = CK_CHANGE_NONE;
    return forward;
}

// Applies a change at the leader of a group. done is called once. Its outcome
// is OUTCOME_UNAVAILABLE if the change was not confirmed before the timeout;
// the change may have been applied nevertheless.
void
forward_apply(struct control *control, const char *group,
              const struct ck_change *change, forward_apply_fn done,
              void *data)
{
    struct forward *forward = forward_create(control, group, data);

    codec_copy((xdrproc_t)xdr_ck_change, change, &forward->change,
               sizeof(forward->change));
    forward->apply_done = done;
    forward_try(forward);
}

// Reads the current declaration at the leader of a group. done is called once.
// Its outcome is OUTCOME_UNAVAILABLE if no leader confirmed by a quorum
// replied before the timeout.
void
forward_read_declaration(struct control *control, const char *group,
                         forward_read_fn done, void *data)
{
    struct forward *forward = forward_create(control, group, data);

    forward->is_read = true;
    forward->read_done = done;
    forward_try(forward);
}

static void
forward_reply_announcement(void *data, int outcome, const char *text)
{
    counter_add(outcome == OUTCOME_OK ? COUNTER_ANNOUNCEMENTS
                                      : COUNTER_ANNOUNCEMENTS_REFUSED,
                1);
    http_call_reply_outcome(data, outcome, text);
}

// Handles POST /announce: forwards the announcement to the leader of its
// group.
void
control_handle_announcement(void *data, struct http_call *call)
{
    struct announcement announcement = {0};
    struct buffer errors = {0};
    size_t size = 0;
    const char *body = http_call_get_body(call, &size);

    if (strlen(body) != size) {
        forward_reply_announcement(call, OUTCOME_INVALID,
                                   "the body has a zero byte");
        return;
    }
    if (announcement_parse(body, &announcement, &errors) != OUTCOME_OK) {
        buffer_append_u8(&errors, 0);
        forward_reply_announcement(call, OUTCOME_INVALID,
                                   (const char *)buffer_get_data(&errors));
        buffer_free(&errors);
        return;
    }
    buffer_free(&errors);
    announcement_submit(data, announcement.group, &announcement.upstream,
                        forward_reply_announcement, call);
    announcement_free(&announcement);
}
