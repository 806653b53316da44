#include "catkingrade/control/limit_agent.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/entry/entry.h"
#include "catkingrade/entry/limiter.h"
#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/log.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/kernel/settings.h"
#include "catkingrade/rpc/rpcnet.h"

// An operation waits for a third of its latency target, so a lost datagram is
// sent again soon.
#define LIMIT_AGENT_RETRY_US 60000

struct limit_agent {
    struct daemon *daemon;
    struct limiter *limiter;
    struct loop_timer *timer;
    struct settings_address *peers; // that may know the leader
    size_t peers_count;
    size_t next_peer;
    struct settings_address leader; // port 0: not known
    uint64_t sequence;              // of the call in flight
    bool failing;                   // the last call was not answered
};

static void limit_agent_run(void *data);

// Lists the voters and seeds of the settings.
static void
limit_agent_list_peers(struct limit_agent *agent)
{
    const struct settings *settings = agent->daemon->settings;
    const struct settings_group *group = &settings->groups[0];

    agent->peers = xcalloc(group->voters_count + settings->seeds_count + 1,
                           sizeof(*agent->peers));
    for (size_t i = 0; i < group->voters_count; i++) {
        agent->peers[agent->peers_count++] = group->voters[i].rpc;
    }
    for (size_t i = 0; i < settings->seeds_count; i++) {
        agent->peers[agent->peers_count++] = settings->seeds[i];
    }
}

// Starts to borrow for daemon->entry, which must exist.
struct limit_agent *
limit_agent_create(struct daemon *daemon)
{
    struct limit_agent *agent = xcalloc(1, sizeof(*agent));

    agent->daemon = daemon;
    agent->limiter = entry_get_limiter(daemon->entry);
    agent->timer =
        loop_timer_create(daemon->control_loop, limit_agent_run, agent);
    limit_agent_list_peers(agent);
    agent->next_peer =
        agent->peers_count == 0 ? 0 : daemon->incarnation % agent->peers_count;
    limiter_set_wake(agent->limiter, limit_agent_run, agent);
    return agent;
}

// Ends the calls. The call in flight ends later, with the RPC socket.
void
limit_agent_destroy(struct limit_agent *agent)
{
    limiter_set_wake(agent->limiter, NULL, NULL);
    loop_timer_destroy(agent->timer);
    free(agent->peers);
    free(agent);
}

static void
limit_agent_set_failing(struct limit_agent *agent, bool failing)
{
    if (agent->failing == failing) {
        return;
    }
    agent->failing = failing;
    if (failing) {
        LOG_WARNING("limits_unanswered", "leader=%s:%u", agent->leader.host,
                    agent->leader.port);
    }
    else {
        LOG_INFO("limits_answered", "leader=%s:%u", agent->leader.host,
                 agent->leader.port);
    }
}

// Takes over the leader's address from a result of another voter.
static void
limit_agent_follow_hint(struct limit_agent *agent,
                        const struct ck_borrow_result *result)
{
    struct settings_address hint = {0};

    if (result->leader_port != 0) {
        (void)strncpy(hint.host, result->leader_host, sizeof(hint.host) - 1);
        hint.port = (uint16_t)result->leader_port;
    }
    bool same = hint.port == agent->leader.port &&
                strcmp(hint.host, agent->leader.host) == 0;
    memset(&agent->leader, 0, sizeof(agent->leader));
    if (!same) {
        agent->leader = hint;
    }
}

static void
limit_agent_handle_result(void *data, int outcome, const void *result)
{
    struct limit_agent *agent = data;
    const struct ck_borrow_result *answer = result;

    if (outcome == OUTCOME_CLOSED) {
        return;
    }
    if (outcome == OUTCOME_OK && answer->outcome == OUTCOME_OK) {
        counter_add(COUNTER_LIMIT_CALLS, 1);
        limit_agent_set_failing(agent, false);
        limiter_handle_answer(agent->limiter, answer);
    }
    else {
        counter_add(COUNTER_LIMIT_CALLS_FAILED, 1);
        limit_agent_set_failing(agent, true);
        limiter_handle_failure(agent->limiter, agent->sequence);
        if (outcome == OUTCOME_OK) {
            limit_agent_follow_hint(agent, answer);
        }
        else {
            memset(&agent->leader, 0, sizeof(agent->leader));
        }
    }
    limit_agent_run(agent);
}

static void
limit_agent_send(struct limit_agent *agent, struct ck_borrow_args *args)
{
    const struct settings *settings = agent->daemon->settings;

    args->group = settings->groups[0].name;
    args->vm = settings->vm;
    args->incarnation = agent->daemon->incarnation;
    agent->sequence = args->sequence;
    if (agent->leader.port == 0 && agent->peers_count > 0) {
        agent->leader = agent->peers[agent->next_peer];
        agent->next_peer = (agent->next_peer + 1) % agent->peers_count;
    }
    rpcnet_call(agent->daemon->rpcnet, &agent->leader, &rpcnet_borrow, args,
                LIMIT_CALL_US, LIMIT_AGENT_RETRY_US, limit_agent_handle_result,
                agent);
}

// Delivers decisions, sends a call if one is due, and sets the timer for what
// follows.
static void
limit_agent_run(void *data)
{
    struct limit_agent *agent = data;
    struct ck_borrow_args args = {0};

    if (limiter_fill_call(agent->limiter, &args)) {
        limit_agent_send(agent, &args);
    }
    limiter_deliver(agent->limiter);
    int64_t wake_us = limiter_get_wake_us(agent->limiter);
    if (wake_us == INT64_MAX) {
        loop_timer_clear(agent->timer);
    }
    else {
        loop_timer_set(agent->timer, wake_us);
    }
}
