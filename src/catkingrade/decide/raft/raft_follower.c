#include <string.h>

#include "catkingrade/decide/raft/raft_internal.h"

static void
raft_answer_append(struct raft *raft, const struct ck_raft_message *message,
                   bool success, uint64_t match_index)
{
    const struct ck_raft_body body = {
        .kind = CK_RAFT_APPEND_RESULT,
        .ck_raft_body_u.append_result = {
            .round = message->body.ck_raft_body_u.append.round,
            .success = success,
            .match_index = match_index,
        }};

    raft_send(raft, message->from, raft->term, &body);
}

// Handles the term and sender of a message that only the leader of a term
// sends: this voter becomes its follower and records the time of contact.
// Returns false without any change when the term is older than the current
// one.
bool
raft_accept_leader(struct raft *raft, const struct ck_raft_message *message)
{
    if (message->term < raft->term) {
        return false;
    }
    raft_become_follower(raft, message->term, message->from);
    raft_note_contact(raft);
    raft->leader_contact_us = raft->now_us;
    return true;
}

// Returns whether an append request can come from a correct leader: indexes
// are consecutive, terms do not decrease and do not exceed the leader's term,
// and this voter is not itself the leader of that term.
static bool
raft_is_append_valid(const struct raft *raft,
                     const struct ck_raft_message *message)
{
    const struct ck_raft_append *append = &message->body.ck_raft_body_u.append;
    uint64_t term = append->previous_term;

    if (message->term == raft->term && raft->role == RAFT_LEADER) {
        return false;
    }
    for (u_int i = 0; i < append->entries.entries_len; i++) {
        const struct ck_log_entry *entry = &append->entries.entries_val[i];
        if (entry->index != append->previous_index + i + 1 ||
            entry->term < term || entry->term > message->term) {
            return false;
        }
        term = entry->term;
    }
    return true;
}

// Returns the index at which the leader should retry after a mismatch at
// index: the last one before all entries of the conflicting term. It is not
// below the commit index, because committed entries never conflict.
static uint64_t
raft_get_conflict_hint(const struct raft *raft, uint64_t index)
{
    uint64_t conflict_term = 0;
    uint64_t term = 0;

    (void)raft_log_get_term(&raft->log, index, &conflict_term);
    while (index > raft->commit_index &&
           raft_log_get_term(&raft->log, index, &term) &&
           term == conflict_term) {
        index--;
    }
    return index;
}

// Appends the entries that are missing in this log. At the first entry with a
// different term, removes it and all later entries before appending.
static void
raft_merge_entries(struct raft *raft, const struct ck_raft_append *append)
{
    for (u_int i = 0; i < append->entries.entries_len; i++) {
        const struct ck_log_entry *entry = &append->entries.entries_val[i];
        uint64_t term = 0;
        if (entry->index <= raft->commit_index) {
            continue;
        }
        if (raft_log_get_term(&raft->log, entry->index, &term)) {
            if (term == entry->term) {
                continue;
            }
            raft_truncate(raft, entry->index);
        }
        raft_append_entry(raft, entry);
    }
}

// Handles an append request or heartbeat from the leader. New entries are
// written before the answer is sent.
void
raft_handle_append(struct raft *raft, const struct ck_raft_message *message)
{
    const struct ck_raft_append *append = &message->body.ck_raft_body_u.append;
    uint64_t last_index = append->previous_index + append->entries.entries_len;
    uint64_t term = 0;

    if (!raft_is_append_valid(raft, message)) {
        return;
    }
    if (!raft_accept_leader(raft, message)) {
        raft_answer_append(raft, message, false, 0);
        return;
    }
    if (last_index <= raft->commit_index) {
        raft_answer_append(raft, message, true, raft->commit_index);
        return;
    }
    if (append->previous_index > raft_log_get_last_index(&raft->log)) {
        raft_answer_append(raft, message, false,
                           raft_log_get_last_index(&raft->log));
        return;
    }
    if (append->previous_index > raft->commit_index &&
        (!raft_log_get_term(&raft->log, append->previous_index, &term) ||
         term != append->previous_term)) {
        raft_answer_append(
            raft, message, false,
            raft_get_conflict_hint(raft, append->previous_index));
        return;
    }
    raft_merge_entries(raft, append);
    raft_commit(raft, append->commit_index < last_index ? append->commit_index
                                                        : last_index);
    raft_answer_append(raft, message, true, last_index);
}
