#include "catkingrade/decide/raft_log.h"

#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"

#define RAFT_LOG_MIN_SLOTS 64

// Frees all entries and empties the log.
void
raft_log_free(struct raft_log *log)
{
    raft_log_truncate(log, log->base_index + 1);
    free(log->slots);
    memset(log, 0, sizeof(*log));
}

// Returns the index of the last entry, also when it is not in memory anymore.
uint64_t
raft_log_get_last_index(const struct raft_log *log)
{
    return log->base_index + log->count;
}

// Returns the term of the last entry.
uint64_t
raft_log_get_last_term(const struct raft_log *log)
{
    uint64_t term = 0;

    (void)raft_log_get_term(log, raft_log_get_last_index(log), &term);
    return term;
}

// Finds the entry at index. Returns NULL when it is not in memory.
struct raft_slot *
raft_log_get(const struct raft_log *log, uint64_t index)
{
    if (index <= log->base_index || index > raft_log_get_last_index(log)) {
        return NULL;
    }
    return &log->slots[log->start + (index - log->base_index - 1)];
}

// Finds the term of the entry at index. Returns false when it is not known.
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

// Returns the payload bytes of the entries after one index up to another.
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

// Appends a copy of an entry, whose index must be the next one.
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

// Drops the entries from an index on.
void
raft_log_truncate(struct raft_log *log, uint64_t from_index)
{
    while (log->count > 0 && raft_log_get_last_index(log) >= from_index) {
        log->count--;
        free(log->slots[log->start + log->count].entry.payload.payload_val);
    }
}

// Drops the entries up to and with an index from memory.
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

// Empties the log; its next entry comes after the one given.
void
raft_log_reset(struct raft_log *log, uint64_t index, uint64_t term)
{
    log->base_bytes =
        raft_log_get_end_bytes(log, raft_log_get_last_index(log));
    raft_log_truncate(log, log->base_index + 1);
    log->base_index = index;
    log->base_term = term;
}

// Copies an entry with its payload.
void
raft_entry_copy(const struct ck_log_entry *from, struct ck_log_entry *to)
{
    *to = *from;
    to->payload.payload_val =
        xmemdupz(from->payload.payload_val, from->payload.payload_len);
}
