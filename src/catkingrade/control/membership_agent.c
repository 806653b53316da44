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
// Time between two checks while the voter is in contact with a leader.
#define MEMBERSHIP_AGENT_CHECK_INTERVAL_US 1000000
#define MEMBERSHIP_AGENT_CALL_TIMEOUT_US   300000
#define MEMBERSHIP_AGENT_MAX_PEERS         24

struct membership_agent {
    struct control *control;
    char *group;
    struct loop_timer *timer;
    struct settings_address leader; // port 0: not known
    unsigned attempts;
    bool call_in_flight;
};

static void
membership_agent_set_timer(struct membership_agent *agent, int64_t delay_us)
{
    loop_timer_set(agent->timer, monotonic_get_us() + delay_us);
}

// Opens the group under the voter id assigned by the leader.
static void
membership_agent_open_group(struct membership_agent *agent, uint64_t id)
{
    LOG_INFO("voter_joins", "group=%s voter=%" PRIu64, agent->group, id);
    if (control_open_host(agent->control, agent->group, id) != OUTCOME_OK) {
        LOG_ERROR("voter_join_failed", "group=%s", agent->group);
    }
}

// Removes the group and its stored state: its voter id belongs to another VM
// or was used before. The next request asks for a new id.
static void
membership_agent_remove_group(struct membership_agent *agent)
{
    LOG_WARNING("voter_dropped", "group=%s", agent->group);
    control_remove_host(agent->control, agent->group);
}

static void
membership_agent_handle_reply(void *data, int outcome, const void *result)
{
    struct membership_agent *agent = data;
    const struct ck_command_result *reply = result;

    if (outcome == OUTCOME_CLOSED) {
        return;
    }
    agent->call_in_flight = false;
    memset(&agent->leader, 0, sizeof(agent->leader));
    if (outcome == OUTCOME_OK) {
        struct group_host *host =
            control_find_host(agent->control, agent->group);
        if (reply->outcome == OUTCOME_NOT_LEADER && reply->leader_port != 0) {
            (void)strncpy(agent->leader.host, reply->leader_host,
                          sizeof(agent->leader.host) - 1);
            agent->leader.port = (uint16_t)reply->leader_port;
        }
        else if (reply->outcome == OUTCOME_AGAIN && reply->number != 0 &&
                 host == NULL) {
            membership_agent_open_group(agent, reply->number);
        }
        else if (reply->outcome == OUTCOME_INVALID && host != NULL) {
            membership_agent_remove_group(agent);
        }
    }
    membership_agent_set_timer(agent, MEMBERSHIP_AGENT_RETRY_DELAY_US);
}

static void
membership_agent_send_request(struct membership_agent *agent,
                              const struct settings_address *peer)
{
    struct daemon *daemon = agent->control->daemon;
    const struct settings *settings = daemon->settings;
    const struct group_host *host =
        control_find_host(agent->control, agent->group);
    struct ck_command_args args = {
        .kind = CK_COMMAND_ADD_VOTER,
        .change_id = "",
        .group = agent->group,
        .database = "",
        .target = "",
        .voter = {.id = host == NULL ? 0 : group_host_get_self(host),
                  .vm = settings->vm,
                  .host = (char *)(uintptr_t)settings->rpc.host,
                  .port = settings->rpc.port},
    };

    agent->call_in_flight = true;
    rpcnet_call(daemon->rpcnet, peer, &rpcnet_command, &args,
                MEMBERSHIP_AGENT_CALL_TIMEOUT_US,
                MEMBERSHIP_AGENT_CALL_TIMEOUT_US,
                membership_agent_handle_reply, agent);
}

// Asks the known leader, or the next peer, to add this VM, unless its voter is
// in the voter list and in contact with a leader.
static void
membership_agent_handle_timer(void *data)
{
    struct membership_agent *agent = data;
    struct settings_address peers[MEMBERSHIP_AGENT_MAX_PEERS];
    const struct group_host *host =
        control_find_host(agent->control, agent->group);

    if (agent->call_in_flight) {
        return;
    }
    if (host != NULL && group_host_is_in_contact(host)) {
        membership_agent_set_timer(agent, MEMBERSHIP_AGENT_CHECK_INTERVAL_US);
        return;
    }
    if (agent->leader.port != 0) {
        membership_agent_send_request(agent, &agent->leader);
        return;
    }
    size_t count = control_list_peers(agent->control, agent->group, peers,
                                      MEMBERSHIP_AGENT_MAX_PEERS);
    if (count == 0) {
        membership_agent_set_timer(agent, MEMBERSHIP_AGENT_RETRY_DELAY_US);
        return;
    }
    membership_agent_send_request(agent, &peers[agent->attempts++ % count]);
}

// Creates the agent of this VM for a group and starts its first check after
// MEMBERSHIP_AGENT_RETRY_DELAY_US.
struct membership_agent *
membership_agent_create(struct control *control, const char *group)
{
    struct membership_agent *agent = xcalloc(1, sizeof(*agent));

    agent->control = control;
    agent->group = xstrdup(group);
    agent->timer =
        loop_timer_create(control->loop, membership_agent_handle_timer, agent);
    membership_agent_set_timer(agent, MEMBERSHIP_AGENT_RETRY_DELAY_US);
    return agent;
}

// Frees the agent. RPC must have been stopped before. NULL is ignored.
void
membership_agent_destroy(struct membership_agent *agent)
{
    if (agent == NULL) {
        return;
    }
    loop_timer_destroy(agent->timer);
    free(agent->group);
    free(agent);
}
