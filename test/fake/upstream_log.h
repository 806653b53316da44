#ifndef TEST_FAKE_UPSTREAM_LOG_H
#define TEST_FAKE_UPSTREAM_LOG_H

#include <stddef.h>
#include <stdint.h>

#include "catkingrade/kernel/buffer.h"

// Write-ahead log of a stand-in upstream: committed transactions and the
// history of timelines. Replicas use the history to find the position at which
// their own log diverged from the primary's.

// The changes of one committed transaction.
struct wal_entry {
    uint64_t lsn;
    int64_t committed_us; // monotonic, at the primary
    uint8_t *ops;         // encoded by upstream_table.h
    size_t ops_size_bytes;
};

// One timeline. Two upstreams that are promoted independently begin timelines
// of the same number; the random id distinguishes them.
struct wal_timeline {
    uint32_t timeline;
    uint64_t id; // 0 for timeline 1
    uint64_t start_lsn;
};

// The whole log since the start, in memory.
struct wal {
    struct wal_entry *entries;
    size_t count;
    size_t capacity;
    struct wal_timeline *timelines;
    size_t timelines_count;
    uint64_t lsn; // of the last entry; if none, start of timeline 1
};

void fake_wal_init(struct wal *wal);
void fake_wal_free(struct wal *wal);
uint32_t fake_wal_get_timeline(const struct wal *wal);
// Appends an entry with a copy of ops. lsn must exceed the last position.
void fake_wal_append(struct wal *wal, uint64_t lsn, int64_t committed_us,
                     const void *ops, size_t size_bytes);
void fake_wal_truncate(struct wal *wal, uint64_t lsn);
void fake_wal_begin_timeline(struct wal *wal);
// Returns the index of the first entry after lsn.
size_t fake_wal_find_after(const struct wal *wal, uint64_t lsn);
void fake_wal_encode_history(const struct wal *wal, struct buffer *out);
// Decodes a history. Returns the number of timelines, or 0 on invalid input.
// The caller frees timelines.
size_t fake_wal_decode_history(const uint8_t *data, size_t size_bytes,
                               struct wal_timeline **timelines, uint64_t *lsn);
void fake_wal_set_history(struct wal *wal, struct wal_timeline *timelines,
                          size_t count);
// Returns the last position that this log has in common with another one,
// given the other's history.
uint64_t fake_wal_find_fork(const struct wal *wal,
                            const struct wal_timeline *timelines, size_t count,
                            uint64_t lsn);

void fake_buffer_append_be64(struct buffer *buffer, uint64_t value);
uint32_t fake_be32_read(const uint8_t *data);
uint64_t fake_be64_read(const uint8_t *data);

#endif
