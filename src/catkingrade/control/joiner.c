#include "catkingrade/control/joiner.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/control/control_state.h"
#include "catkingrade/kernel/log.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/rpcnet.h"

#define JOINER_PAUSE_US      150000
#define JOINER_REST_US       1000000 // between two looks while it votes
#define JOINER_CALL_LIMIT_US 300000
#define JOINER_MAX_PEERS     24

struct joiner {
    struct control *control;
    char *group;
    struct loop_timer *timer;
    struct settings_address leader; // port 0: not known
    unsigned tries;
    bool calling;
};

static void
joiner_wait(struct joiner *joiner, int64_t pause_us)
{
    loop_timer_set(joiner->timer, monotonic_get_us() + pause_us);
}

// Takes the identity that the leader offers, and opens the group under it.
static void
joiner_take_identity(struct joiner *joiner, uint64_t id)
{
    LOG_INFO("voter_joins", "group=%s voter=%" PRIu64, joiner->group, id);
    if (control_open_host(joiner->control, joiner->group, id) != OUTCOME_OK) {
        LOG_ERROR("voter_join_failed", "group=%s", joiner->group);
    }
}

// The identity was used by another: this VM begins anew.
static void
joiner_drop_identity(struct joiner *joiner)
{
    LOG_WARNING("voter_dropped", "group=%s", joiner->group);
    control_drop_host(joiner->control, joiner->group);
}

static void
joiner_handle_answer(void *data, int outcome, const void *result)
{
    struct joiner *joiner = data;
    const struct ck_command_result *answer = result;

    if (outcome == OUTCOME_CLOSED) {
        return;
    }
    joiner->calling = false;
    memset(&joiner->leader, 0, sizeof(joiner->leader));
    if (outcome == OUTCOME_OK) {
        struct group_host *host =
            control_find_host(joiner->control, joiner->group);
        if (answer->outcome == OUTCOME_NOT_LEADER &&
            answer->leader_port != 0) {
            (void)strncpy(joiner->leader.host, answer->leader_host,
                          sizeof(joiner->leader.host) - 1);
            joiner->leader.port = (uint16_t)answer->leader_port;
        }
        else if (answer->outcome == OUTCOME_AGAIN && answer->number != 0 &&
                 host == NULL) {
            joiner_take_identity(joiner, answer->number);
        }
        else if (answer->outcome == OUTCOME_INVALID && host != NULL) {
            joiner_drop_identity(joiner);
        }
    }
    joiner_wait(joiner, JOINER_PAUSE_US);
}

static void
joiner_ask(struct joiner *joiner, const struct settings_address *peer)
{
    struct daemon *daemon = joiner->control->daemon;
    const struct settings *settings = daemon->settings;
    const struct group_host *host =
        control_find_host(joiner->control, joiner->group);
    struct ck_command_args args = {
        .kind = CK_COMMAND_ADD_VOTER,
        .change_id = "",
        .group = joiner->group,
        .database = "",
        .target = "",
        .voter = {.id = host == NULL ? 0 : group_host_get_self(host),
                  .vm = settings->vm,
                  .host = (char *)(uintptr_t)settings->rpc.host,
                  .port = settings->rpc.port},
    };

    joiner->calling = true;
    rpcnet_call(daemon->rpcnet, peer, &rpcnet_command, &args,
                JOINER_CALL_LIMIT_US, JOINER_CALL_LIMIT_US,
                joiner_handle_answer, joiner);
}

// Asks the next peer, unless this VM votes already and hears from a leader.
static void
joiner_handle_timer(void *data)
{
    struct joiner *joiner = data;
    struct settings_address peers[JOINER_MAX_PEERS];
    const struct group_host *host =
        control_find_host(joiner->control, joiner->group);

    if (joiner->calling) {
        return;
    }
    if (host != NULL && group_host_is_settled(host)) {
        joiner_wait(joiner, JOINER_REST_US);
        return;
    }
    if (joiner->leader.port != 0) {
        joiner_ask(joiner, &joiner->leader);
        return;
    }
    size_t count = control_list_peers(joiner->control, joiner->group, peers,
                                      JOINER_MAX_PEERS);
    if (count == 0) {
        joiner_wait(joiner, JOINER_PAUSE_US);
        return;
    }
    joiner_ask(joiner, &peers[joiner->tries++ % count]);
}

// Begins to look after this VM's vote in a group.
struct joiner *
joiner_create(struct control *control, const char *group)
{
    struct joiner *joiner = xcalloc(1, sizeof(*joiner));

    joiner->control = control;
    joiner->group = xstrdup(group);
    joiner->timer =
        loop_timer_create(control->loop, joiner_handle_timer, joiner);
    joiner_wait(joiner, JOINER_PAUSE_US);
    return joiner;
}

// Frees the joiner; RPC must have ended. NULL is ignored.
void
joiner_destroy(struct joiner *joiner)
{
    if (joiner == NULL) {
        return;
    }
    loop_timer_destroy(joiner->timer);
    free(joiner->group);
    free(joiner);
}
