#include "catkingrade/control/membership_agent.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/control/control_state.h"
#include "catkingrade/kernel/log.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/rpcnet.h"

#define MEMBERSHIP_AGENT_RETRY_DELAY_US 150000
#define MEMBERSHIP_AGENT_CHECK_INTERVAL_US                                    \
    1000000 // between two looks while it votes
#define MEMBERSHIP_AGENT_CALL_TIMEOUT_US 300000
#define MEMBERSHIP_AGENT_MAX_PEERS       24

struct membership_agent {
    struct control *control;
    char *group;
    struct loop_timer *timer;
    struct settings_address leader; // port 0: not known
    unsigned tries;
    bool calling;
};

static void
membership_agent_set_timer(struct membership_agent *membership_agent,
                           int64_t pause_us)
{
    loop_timer_set(membership_agent->timer, monotonic_get_us() + pause_us);
}

// Takes the identity that the leader offers, and opens the group under it.
static void
membership_agent_open_group(struct membership_agent *membership_agent,
                            uint64_t id)
{
    LOG_INFO("voter_joins", "group=%s voter=%" PRIu64, membership_agent->group,
             id);
    if (control_open_host(membership_agent->control, membership_agent->group,
                          id) != OUTCOME_OK) {
        LOG_ERROR("voter_join_failed", "group=%s", membership_agent->group);
    }
}

// The identity was used by another: this VM begins anew.
static void
membership_agent_remove_group(struct membership_agent *membership_agent)
{
    LOG_WARNING("voter_dropped", "group=%s", membership_agent->group);
    control_remove_host(membership_agent->control, membership_agent->group);
}

static void
membership_agent_handle_reply(void *data, int outcome, const void *result)
{
    struct membership_agent *membership_agent = data;
    const struct ck_command_result *answer = result;

    if (outcome == OUTCOME_CLOSED) {
        return;
    }
    membership_agent->calling = false;
    memset(&membership_agent->leader, 0, sizeof(membership_agent->leader));
    if (outcome == OUTCOME_OK) {
        struct group_host *host = control_find_host(membership_agent->control,
                                                    membership_agent->group);
        if (answer->outcome == OUTCOME_NOT_LEADER &&
            answer->leader_port != 0) {
            (void)strncpy(membership_agent->leader.host, answer->leader_host,
                          sizeof(membership_agent->leader.host) - 1);
            membership_agent->leader.port = (uint16_t)answer->leader_port;
        }
        else if (answer->outcome == OUTCOME_AGAIN && answer->number != 0 &&
                 host == NULL) {
            membership_agent_open_group(membership_agent, answer->number);
        }
        else if (answer->outcome == OUTCOME_INVALID && host != NULL) {
            membership_agent_remove_group(membership_agent);
        }
    }
    membership_agent_set_timer(membership_agent,
                               MEMBERSHIP_AGENT_RETRY_DELAY_US);
}

static void
membership_agent_send_request(struct membership_agent *membership_agent,
                              const struct settings_address *peer)
{
    struct daemon *daemon = membership_agent->control->daemon;
    const struct settings *settings = daemon->settings;
    const struct group_host *host =
        control_find_host(membership_agent->control, membership_agent->group);
    struct ck_command_args args = {
        .kind = CK_COMMAND_ADD_VOTER,
        .change_id = "",
        .group = membership_agent->group,
        .database = "",
        .target = "",
        .voter = {.id = host == NULL ? 0 : group_host_get_self(host),
                  .vm = settings->vm,
                  .host = (char *)(uintptr_t)settings->rpc.host,
                  .port = settings->rpc.port},
    };

    membership_agent->calling = true;
    rpcnet_call(daemon->rpcnet, peer, &rpcnet_command, &args,
                MEMBERSHIP_AGENT_CALL_TIMEOUT_US,
                MEMBERSHIP_AGENT_CALL_TIMEOUT_US,
                membership_agent_handle_reply, membership_agent);
}

// Asks the next peer, unless this VM votes already and hears from a leader.
static void
membership_agent_handle_timer(void *data)
{
    struct membership_agent *membership_agent = data;
    struct settings_address peers[MEMBERSHIP_AGENT_MAX_PEERS];
    const struct group_host *host =
        control_find_host(membership_agent->control, membership_agent->group);

    if (membership_agent->calling) {
        return;
    }
    if (host != NULL && group_host_is_in_contact(host)) {
        membership_agent_set_timer(membership_agent,
                                   MEMBERSHIP_AGENT_CHECK_INTERVAL_US);
        return;
    }
    if (membership_agent->leader.port != 0) {
        membership_agent_send_request(membership_agent,
                                      &membership_agent->leader);
        return;
    }
    size_t count =
        control_list_peers(membership_agent->control, membership_agent->group,
                           peers, MEMBERSHIP_AGENT_MAX_PEERS);
    if (count == 0) {
        membership_agent_set_timer(membership_agent,
                                   MEMBERSHIP_AGENT_RETRY_DELAY_US);
        return;
    }
    membership_agent_send_request(membership_agent,
                                  &peers[membership_agent->tries++ % count]);
}

// Begins to look after this VM's vote in a group.
struct membership_agent *
membership_agent_create(struct control *control, const char *group)
{
    struct membership_agent *membership_agent =
        xcalloc(1, sizeof(*membership_agent));

    membership_agent->control = control;
    membership_agent->group = xstrdup(group);
    membership_agent->timer = loop_timer_create(
        control->loop, membership_agent_handle_timer, membership_agent);
    membership_agent_set_timer(membership_agent,
                               MEMBERSHIP_AGENT_RETRY_DELAY_US);
    return membership_agent;
}

// Frees the joiner; RPC must have ended. NULL is ignored.
void
membership_agent_destroy(struct membership_agent *membership_agent)
{
    if (membership_agent == NULL) {
        return;
    }
    loop_timer_destroy(membership_agent->timer);
    free(membership_agent->group);
    free(membership_agent);
}
