#ifndef CATKINGRADE_DECIDE_RAFT_LOG_H
#define CATKINGRADE_DECIDE_RAFT_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/rpc/messages.h"

// An entry in memory.
struct raft_slot {
    struct ck_log_entry entry;
    uint64_t token;     // of a pending proposal at this voter; 0: none
    uint64_t end_bytes; // cumulative payload bytes, this entry included
};

// In-memory part of the replicated log: entries base_index + 1 and later. The
// entries up to base_index are covered by a snapshot. Zero-initialised is
// empty and valid.
struct raft_log {
    struct raft_slot *slots;
    size_t start;
    size_t count;
    size_t capacity;
    uint64_t base_index;
    uint64_t base_term;
    uint64_t base_bytes; // cumulative payload bytes up to base_index
};

void raft_log_free(struct raft_log *log);
uint64_t raft_log_get_last_index(const struct raft_log *log);
uint64_t raft_log_get_last_term(const struct raft_log *log);
bool raft_log_get_term(const struct raft_log *log, uint64_t index,
                       uint64_t *term);
struct raft_slot *raft_log_get(const struct raft_log *log, uint64_t index);
uint64_t raft_log_get_bytes(const struct raft_log *log, uint64_t after_index,
                            uint64_t last_index);
struct raft_slot *raft_log_append(struct raft_log *log,
                                  const struct ck_log_entry *entry);
void raft_log_truncate(struct raft_log *log, uint64_t from_index);
void raft_log_compact(struct raft_log *log, uint64_t through_index);
void raft_log_reset(struct raft_log *log, uint64_t index, uint64_t term);
void raft_entry_copy(const struct ck_log_entry *from, struct ck_log_entry *to);

#endif
