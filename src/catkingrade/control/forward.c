#include <stdlib.h>
#include <string.h>

#include "catkingrade/control/announcement.h"
#include "catkingrade/control/control_state.h"
#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/plugins/http.h"
#include "catkingrade/rpc/codec.h"

#define FORWARD_CALL_LIMIT_US 300000
#define FORWARD_MAX_HOPS      4

// An announcement on its way to the group's leader.
struct forward {
    struct control *control;
    struct http_announcement *announcement;
    struct announcement content;
    unsigned hops;
};

static void forward_send(struct forward *forward,
                         const struct settings_address *peer);

static void
forward_finish(struct forward *forward, int outcome, const char *text)
{
    counter_add(outcome == OUTCOME_OK ? COUNTER_ANNOUNCEMENTS
                                      : COUNTER_ANNOUNCEMENTS_REFUSED,
                1);
    http_announcement_reply(forward->announcement, outcome, text);
    announcement_free(&forward->content);
    free(forward);
}

// Asks the next voter of the group after one that did not answer.
static void
forward_try_next_voter(struct forward *forward)
{
    const struct settings_group *group =
        control_find_group(forward->control, forward->content.group);

    if (group == NULL || group->voters_count == 0) {
        forward_finish(forward, OUTCOME_NOT_FOUND, "no such control group");
        return;
    }
    forward_send(forward,
                 &group->voters[forward->hops % group->voters_count].rpc);
}

static void
forward_handle_applied(void *data, int outcome, const void *result)
{
    struct forward *forward = data;
    const struct ck_apply_result *applied = result;
    struct settings_address peer = {0};

    if (outcome == OUTCOME_CLOSED) {
        forward_finish(forward, OUTCOME_UNAVAILABLE, "stopping");
        return;
    }
    forward->hops++;
    if (outcome == OUTCOME_OK && applied->outcome != OUTCOME_NOT_LEADER) {
        forward_finish(forward, applied->outcome, applied->message);
        return;
    }
    if (forward->hops >= FORWARD_MAX_HOPS) {
        forward_finish(forward, OUTCOME_UNAVAILABLE,
                       "the group's leader cannot be reached");
        return;
    }
    if (outcome == OUTCOME_OK && applied->leader_port != 0) {
        (void)strncpy(peer.host, applied->leader_host, sizeof(peer.host) - 1);
        peer.port = (uint16_t)applied->leader_port;
        forward_send(forward, &peer);
        return;
    }
    forward_try_next_voter(forward);
}

static void
forward_send(struct forward *forward, const struct settings_address *peer)
{
    struct ck_apply_args args = {
        .group = forward->content.group,
        .change_id = "",
    };

    args.change.kind = CK_CHANGE_UPSTREAM;
    args.change.ck_change_u.upstream = forward->content.upstream;
    rpcnet_call(forward->control->daemon->rpcnet, peer, &rpcnet_apply, &args,
                FORWARD_CALL_LIMIT_US, FORWARD_CALL_LIMIT_US,
                forward_handle_applied, forward);
}

static void
forward_handle_announced(void *data, int outcome, const char *text)
{
    forward_finish(data, outcome, text);
}

// Takes an announcement from the HTTP side to the leader of its group: here,
// or at the VM that leads.
void
control_take_announcement(void *data, struct http_announcement *announcement,
                          const char *body)
{
    struct control *control = data;
    struct forward *forward = xcalloc(1, sizeof(*forward));
    struct settings_address leader = {0};
    struct buffer errors = {0};

    forward->control = control;
    forward->announcement = announcement;
    if (announcement_parse(body, &forward->content, &errors) != OUTCOME_OK) {
        buffer_append_u8(&errors, 0);
        forward_finish(forward, OUTCOME_INVALID,
                       (const char *)buffer_get_data(&errors));
        buffer_free(&errors);
        return;
    }
    buffer_free(&errors);
    struct group_host *host =
        control_find_host(control, forward->content.group);
    if (host != NULL && group_host_leads(host)) {
        group_host_announce(host, &forward->content.upstream,
                            forward_handle_announced, forward);
        return;
    }
    if (host != NULL) {
        group_host_get_leader(host, &leader);
    }
    if (leader.port != 0) {
        forward_send(forward, &leader);
        return;
    }
    forward_try_next_voter(forward);
}
