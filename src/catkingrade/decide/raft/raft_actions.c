#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/raft/raft_internal.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

// Appends a zeroed action to the list of the current step. The pointer is
// valid until the next action is added.
struct raft_action *
raft_add_action(struct raft *raft, enum raft_action_kind kind)
{
    struct raft_actions *actions = raft->actions;

    if (actions->count == actions->capacity) {
        actions->capacity = actions->capacity * 2 + 16;
        actions->items = xrealloc(actions->items,
                                  actions->capacity * sizeof(*actions->items));
    }
    struct raft_action *action = &actions->items[actions->count++];
    memset(action, 0, sizeof(*action));
    action->kind = kind;
    return action;
}

// Adds a REFUSED action for a proposal that failed or whose result is unknown.
// The retry delay is one heartbeat after a temporary refusal by the leader and
// the shortest election timeout if there is no known leader.
void
raft_add_refused(struct raft *raft, uint64_t token, int outcome)
{
    struct raft_action *action = raft_add_action(raft, RAFT_ACTION_REFUSED);

    action->token = token;
    action->outcome = outcome;
    action->leader = raft->leader;
    action->term = raft->term;
    if (outcome == OUTCOME_OVERLOADED || outcome == OUTCOME_AGAIN) {
        action->retry_after_us = raft->params.heartbeat_us;
    }
    else if (raft->leader == RAFT_NO_VOTER) {
        action->retry_after_us = raft->params.election_us;
    }
}

// Adds a SEND action for a message to a voter. The action takes ownership of
// the memory that body refers to.
void
raft_send(struct raft *raft, uint64_t to, uint64_t term,
          const struct ck_raft_body *body)
{
    struct raft_action *action = raft_add_action(raft, RAFT_ACTION_SEND);

    action->message.group = xstrdup(raft->group);
    action->message.from = raft->params.self;
    action->message.to = to;
    action->message.term = term;
    action->message.body = *body;
}

// Adds a SAVE_STATE action with the current term and vote. The adapter writes
// them before it carries out any later SEND.
void
raft_save_state(struct raft *raft)
{
    struct raft_action *action = raft_add_action(raft, RAFT_ACTION_SAVE_STATE);

    action->term = raft->term;
    action->voted_for = raft->voted_for;
}

static void
raft_action_free(struct raft_action *action)
{
    switch (action->kind) {
    case RAFT_ACTION_SEND:
        codec_free((xdrproc_t)xdr_ck_raft_message, &action->message);
        break;
    case RAFT_ACTION_APPEND:
    case RAFT_ACTION_APPLY:
        free(action->entry.payload.payload_val);
        break;
    case RAFT_ACTION_SAVE_SNAPSHOT:
    case RAFT_ACTION_INSTALL_SNAPSHOT:
        free(action->snapshot.data);
        break;
    default:
        break;
    }
}

// Removes all actions and frees what they own. The list keeps its memory for
// reuse.
void
raft_actions_clear(struct raft_actions *actions)
{
    for (size_t i = 0; i < actions->count; i++) {
        raft_action_free(&actions->items[i]);
    }
    actions->count = 0;
}

// Frees a list and everything its actions own. The list is empty and valid
// afterwards.
void
raft_actions_free(struct raft_actions *actions)
{
    raft_actions_clear(actions);
    free(actions->items);
    memset(actions, 0, sizeof(*actions));
}
