#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/coordinator/coordinator_private.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/kernel/pairs.h"
#include "catkingrade/rpc/codec.h"

#define COORDINATOR_TEXT_SIZE_BYTES 192

// Appends a zeroed action of a kind. The pointer is valid until the next
// append.
struct coordinator_action *
coordinator_add_action(struct coordinator *coordinator,
                       enum coordinator_action_kind kind)
{
    struct coordinator_actions *actions = coordinator->actions;

    if (actions->count == actions->capacity) {
        actions->capacity = actions->capacity * 2 + 8;
        actions->items = xrealloc(actions->items,
                                  actions->capacity * sizeof(*actions->items));
    }
    struct coordinator_action *action = &actions->items[actions->count++];
    memset(action, 0, sizeof(*action));
    action->kind = kind;
    return action;
}

// Transfers ownership of memory to the list, which frees it when cleared.
// Returns memory.
void *
coordinator_actions_own(struct coordinator_actions *actions, void *memory)
{
    if (actions->owned_count == actions->owned_capacity) {
        actions->owned_capacity = actions->owned_capacity * 2 + 8;
        actions->owned =
            xrealloc(actions->owned, actions->owned_capacity * sizeof(void *));
    }
    actions->owned[actions->owned_count++] = memory;
    return memory;
}

// Clears the list and frees the memory that its actions own.
void
coordinator_actions_clear(struct coordinator_actions *actions)
{
    for (size_t i = 0; i < actions->owned_count; i++) {
        free(actions->owned[i]);
    }
    actions->owned_count = 0;
    actions->count = 0;
}

// Clears the list and frees its storage.
void
coordinator_actions_free(struct coordinator_actions *actions)
{
    coordinator_actions_clear(actions);
    free(actions->items);
    free(actions->owned);
    memset(actions, 0, sizeof(*actions));
}

// Appends a RECORD of an event to the timeline. The text is cut at
// COORDINATOR_TEXT_SIZE_BYTES. database may be NULL.
void
coordinator_record(struct coordinator *coordinator, const char *kind,
                   const struct ck_database *database, const char *upstream,
                   const char *format, ...)
{
    char *text = coordinator_actions_own(coordinator->actions,
                                         xmalloc(COORDINATOR_TEXT_SIZE_BYTES));
    va_list args;

    va_start(args, format);
    (void)pairs_format(text, COORDINATOR_TEXT_SIZE_BYTES, format, args);
    va_end(args);
    struct coordinator_action *action =
        coordinator_add_action(coordinator, COORDINATOR_ACTION_RECORD);
    action->record.kind = kind;
    action->record.customer = database == NULL ? "" : database->customer;
    action->record.upstream =
        coordinator_actions_own(coordinator->actions, xstrdup(upstream));
    action->record.text = text;
}

// Appends a reply to an announcement or a command.
void
coordinator_reply_text(struct coordinator *coordinator,
                       enum coordinator_action_kind kind, uint64_t token,
                       int outcome, const char *text)
{
    struct coordinator_action *action =
        coordinator_add_action(coordinator, kind);

    action->token = token;
    action->reply.outcome = outcome;
    action->reply.text =
        coordinator_actions_own(coordinator->actions, xstrdup(text));
}

// Appends a WAKE for at_us, unless an earlier one is already pending.
void
coordinator_wake_at(struct coordinator *coordinator, int64_t at_us)
{
    if (coordinator->wake_us > coordinator->now_us &&
        coordinator->wake_us <= at_us) {
        return;
    }
    coordinator->wake_us = at_us;
    coordinator_add_action(coordinator, COORDINATOR_ACTION_WAKE)->wake_at_us =
        at_us;
}

static void
coordinator_format_token(char text[24], uint64_t token)
{
    (void)snprintf(text, 24, "%" PRIu64, token);
}

// Appends a PROPOSE of a change. name is the VM, upstream, database or
// customer that the change is about. With a reply kind, the reply to
// reply_token is sent when the proposal has ended.
void
coordinator_propose(struct coordinator *coordinator,
                    const struct ck_change *change, const char *name,
                    enum coordinator_reply reply, uint64_t reply_token)
{
    char key[24];
    struct buffer bytes = {0};
    struct ck_log_payload payload = {.change_id = (char *)(uintptr_t) "",
                                     .change = *change};
    struct coordinator_proposal *proposal = xcalloc(1, sizeof(*proposal));

    int outcome =
        codec_encode((xdrproc_t)xdr_ck_log_payload, &payload, &bytes);
    INVARIANT(outcome == OUTCOME_OK);
    proposal->token = ++coordinator->next_token;
    proposal->kind = change->kind;
    proposal->name = xstrdup(name);
    proposal->reply = reply;
    proposal->reply_token = reply_token;
    proposal->older = coordinator->proposals;
    if (coordinator->proposals != NULL) {
        coordinator->proposals->newer = proposal;
    }
    coordinator->proposals = proposal;
    coordinator_format_token(key, proposal->token);
    group_index_put(coordinator->index, COORDINATOR_KEY_PROPOSAL, key,
                    proposal);
    struct coordinator_action *action =
        coordinator_add_action(coordinator, COORDINATOR_ACTION_PROPOSE);
    action->token = proposal->token;
    action->payload.data =
        coordinator_actions_own(coordinator->actions, bytes.data);
    action->payload.size_bytes = buffer_get_size(&bytes);
}

// Removes a pending proposal from the index and the list. Returns NULL if
// there is none with this token. The caller frees it with
// coordinator_free_proposal.
struct coordinator_proposal *
coordinator_remove_proposal(struct coordinator *coordinator, uint64_t token)
{
    char key[24];

    coordinator_format_token(key, token);
    struct coordinator_proposal *proposal =
        group_index_get(coordinator->index, COORDINATOR_KEY_PROPOSAL, key);
    if (proposal == NULL) {
        return NULL;
    }
    group_index_remove(coordinator->index, COORDINATOR_KEY_PROPOSAL, key);
    if (proposal->newer != NULL) {
        proposal->newer->older = proposal->older;
    }
    else {
        coordinator->proposals = proposal->older;
    }
    if (proposal->older != NULL) {
        proposal->older->newer = proposal->newer;
    }
    return proposal;
}

void
coordinator_free_proposal(struct coordinator_proposal *proposal)
{
    free(proposal->name);
    free(proposal);
}
