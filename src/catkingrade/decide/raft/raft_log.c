#include "catkingrade/decide/raft/raft_log.h"

#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"

#define RAFT_LOG_MIN_SLOTS 64

// Frees all entries. The log is empty and valid afterwards.
void
raft_log_free(struct raft_log *log)
{
    raft_log_truncate(log, log->base_index + 1);
    free(log->slots);
    memset(log, 0, sizeof(*log));
}

// Returns the index of the last entry, even if a snapshot has replaced it.
uint64_t
raft_log_get_last_index(const struct raft_log *log)
{
    return log->base_index + log->count;
}

// Returns the term of the last entry; 0 for a new log.
uint64_t
raft_log_get_last_term(const struct raft_log *log)
{
    uint64_t term = 0;

    (void)raft_log_get_term(log, raft_log_get_last_index(log), &term);
    return term;
}

// Returns the entry at index, or NULL when it is not in memory. The pointer is
// valid until the log is changed.
struct raft_slot *
raft_log_get(const struct raft_log *log, uint64_t index)
{
    if (index <= log->base_index || index > raft_log_get_last_index(log)) {
        return NULL;
    }
    return &log->slots[log->start + (index - log->base_index - 1)];
}

// Stores the term of the entry at index in *term. Returns false when the term
// is unknown: the index is before the base of the log or after its last entry.
bool
raft_log_get_term(const struct raft_log *log, uint64_t index, uint64_t *term)
{
    const struct raft_slot *slot = raft_log_get(log, index);

    if (slot != NULL) {
        *term = slot->entry.term;
        return true;
    }
    if (index == log->base_index) {
        *term = log->base_term;
        return true;
    }
    return false;
}

static uint64_t
raft_log_get_end_bytes(const struct raft_log *log, uint64_t index)
{
    const struct raft_slot *slot = raft_log_get(log, index);

    return slot != NULL ? slot->end_bytes : log->base_bytes;
}

// Returns the total payload size, in bytes, of the entries after after_index
// up to and including last_index.
uint64_t
raft_log_get_bytes(const struct raft_log *log, uint64_t after_index,
                   uint64_t last_index)
{
    return raft_log_get_end_bytes(log, last_index) -
           raft_log_get_end_bytes(log, after_index);
}

static void
raft_log_make_room(struct raft_log *log)
{
    if (log->start + log->count < log->capacity) {
        return;
    }
    if (log->start > log->count) {
        memmove(log->slots, log->slots + log->start,
                log->count * sizeof(*log->slots));
        log->start = 0;
        return;
    }
    log->capacity = log->capacity * 2 + RAFT_LOG_MIN_SLOTS;
    log->slots = xrealloc(log->slots, log->capacity * sizeof(*log->slots));
}

// Appends a copy of an entry, whose index must be the last index + 1. Returns
// its slot.
struct raft_slot *
raft_log_append(struct raft_log *log, const struct ck_log_entry *entry)
{
    uint64_t last_index = raft_log_get_last_index(log);

    INVARIANT(entry->index == last_index + 1);
    uint64_t last_bytes = raft_log_get_end_bytes(log, last_index);
    raft_log_make_room(log);
    struct raft_slot *slot = &log->slots[log->start + log->count];
    log->count++;
    memset(slot, 0, sizeof(*slot));
    raft_entry_copy(entry, &slot->entry);
    slot->end_bytes = last_bytes + entry->payload.payload_len;
    return slot;
}

// Removes the entries from from_index to the end.
void
raft_log_truncate(struct raft_log *log, uint64_t from_index)
{
    while (log->count > 0 && raft_log_get_last_index(log) >= from_index) {
        log->count--;
        free(log->slots[log->start + log->count].entry.payload.payload_val);
    }
}

// Removes the entries up to and including through_index, which a snapshot
// covers.
void
raft_log_compact(struct raft_log *log, uint64_t through_index)
{
    while (log->count > 0 && log->base_index < through_index) {
        struct raft_slot *slot = &log->slots[log->start];
        log->base_index = slot->entry.index;
        log->base_term = slot->entry.term;
        log->base_bytes = slot->end_bytes;
        free(slot->entry.payload.payload_val);
        log->start++;
        log->count--;
    }
}

// Removes all entries. index and term are those of the last entry that the
// snapshot covers; the next entry gets index + 1.
void
raft_log_reset(struct raft_log *log, uint64_t index, uint64_t term)
{
    log->base_bytes =
        raft_log_get_end_bytes(log, raft_log_get_last_index(log));
    raft_log_truncate(log, log->base_index + 1);
    log->base_index = index;
    log->base_term = term;
}

// Copies an entry and its payload. The caller frees the payload of *to.
void
raft_entry_copy(const struct ck_log_entry *from, struct ck_log_entry *to)
{
    *to = *from;
    to->payload.payload_val =
        xmemdupz(from->payload.payload_val, from->payload.payload_len);
}
