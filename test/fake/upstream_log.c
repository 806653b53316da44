#include "test/fake/upstream_log.h"

#include <openssl/rand.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"

#define WAL_FIRST_LSN      0x1000000
#define WAL_TIMELINE_BYTES 20
#define WAL_MAX_TIMELINES  1024

// Appends eight bytes, most significant first.
void
fake_buffer_append_be64(struct buffer *buffer, uint64_t value)
{
    buffer_append_be32(buffer, (uint32_t)(value >> 32));
    buffer_append_be32(buffer, (uint32_t)value);
}

// Reads four bytes, most significant first.
uint32_t
fake_be32_read(const uint8_t *data)
{
    return (uint32_t)data[0] << 24 | (uint32_t)data[1] << 16 |
           (uint32_t)data[2] << 8 | data[3];
}

// Reads eight bytes, most significant first.
uint64_t
fake_be64_read(const uint8_t *data)
{
    return (uint64_t)fake_be32_read(data) << 32 | fake_be32_read(data + 4);
}

// Starts a log at timeline 1; the first one has the same id everywhere.
void
fake_wal_init(struct wal *wal)
{
    memset(wal, 0, sizeof(*wal));
    wal->lsn = WAL_FIRST_LSN;
    wal->timelines = xcalloc(1, sizeof(struct wal_timeline));
    wal->timelines[0].timeline = 1;
    wal->timelines[0].base = WAL_FIRST_LSN;
    wal->timelines_count = 1;
}

// Frees all entries.
void
fake_wal_free(struct wal *wal)
{
    for (size_t i = 0; i < wal->count; i++) {
        free(wal->entries[i].ops);
    }
    free(wal->entries);
    free(wal->timelines);
    memset(wal, 0, sizeof(*wal));
}

// Returns the number of the present timeline.
uint32_t
fake_wal_get_timeline(const struct wal *wal)
{
    return wal->timelines[wal->timelines_count - 1].timeline;
}

// Appends an entry with a copy of ops.
void
fake_wal_append(struct wal *wal, uint64_t lsn, int64_t committed_us,
                const void *ops, size_t size_bytes)
{
    INVARIANT(lsn > wal->lsn);
    if (wal->count == wal->capacity) {
        wal->capacity = wal->capacity * 2 + 64;
        wal->entries =
            xrealloc(wal->entries, wal->capacity * sizeof(struct wal_entry));
    }
    struct wal_entry *entry = &wal->entries[wal->count++];
    entry->lsn = lsn;
    entry->committed_us = committed_us;
    entry->ops = xmalloc(size_bytes + 1);
    memcpy(entry->ops, ops, size_bytes);
    entry->ops_size_bytes = size_bytes;
    wal->lsn = lsn;
}

// Drops the entries after lsn and the timelines that began after it.
void
fake_wal_truncate(struct wal *wal, uint64_t lsn)
{
    while (wal->count > 0 && wal->entries[wal->count - 1].lsn > lsn) {
        free(wal->entries[--wal->count].ops);
    }
    wal->lsn = wal->count > 0 ? wal->entries[wal->count - 1].lsn
                              : wal->timelines[0].base;
}

// Begins the next timeline at the present position.
void
fake_wal_begin_timeline(struct wal *wal)
{
    size_t count = wal->timelines_count;
    uint32_t timeline = fake_wal_get_timeline(wal) + 1;

    wal->timelines =
        xrealloc(wal->timelines, (count + 1) * sizeof(struct wal_timeline));
    struct wal_timeline *begun = &wal->timelines[count];
    begun->timeline = timeline;
    begun->base = wal->lsn;
    INVARIANT(RAND_bytes((unsigned char *)&begun->id, sizeof(begun->id)) == 1);
    wal->timelines_count = count + 1;
}

// Finds the first entry after lsn by bisection.
size_t
fake_wal_find_after(const struct wal *wal, uint64_t lsn)
{
    size_t low = 0;
    size_t high = wal->count;

    while (low < high) {
        size_t middle = low + (high - low) / 2;
        if (wal->entries[middle].lsn <= lsn) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

// Appends the position and all timelines.
void
fake_wal_encode_history(const struct wal *wal, struct buffer *out)
{
    fake_buffer_append_be64(out, wal->lsn);
    for (size_t i = 0; i < wal->timelines_count; i++) {
        buffer_append_be32(out, wal->timelines[i].timeline);
        fake_buffer_append_be64(out, wal->timelines[i].id);
        fake_buffer_append_be64(out, wal->timelines[i].base);
    }
}

// Reads what wal_encode_history wrote; the caller frees timelines.
size_t
fake_wal_decode_history(const uint8_t *data, size_t size_bytes,
                        struct wal_timeline **timelines, uint64_t *lsn)
{
    if (size_bytes < 8 + WAL_TIMELINE_BYTES ||
        (size_bytes - 8) % WAL_TIMELINE_BYTES != 0 ||
        size_bytes > WAL_MAX_TIMELINES * WAL_TIMELINE_BYTES) {
        return 0;
    }
    size_t count = (size_bytes - 8) / WAL_TIMELINE_BYTES;
    *lsn = fake_be64_read(data);
    *timelines = xcalloc(count, sizeof(struct wal_timeline));
    for (size_t i = 0; i < count; i++) {
        const uint8_t *at = data + 8 + i * WAL_TIMELINE_BYTES;
        (*timelines)[i].timeline = fake_be32_read(at);
        (*timelines)[i].id = fake_be64_read(at + 4);
        (*timelines)[i].base = fake_be64_read(at + 12);
    }
    return count;
}

// Takes over the timelines of the log that is followed.
void
fake_wal_set_history(struct wal *wal, struct wal_timeline *timelines,
                     size_t count)
{
    free(wal->timelines);
    wal->timelines = timelines;
    wal->timelines_count = count;
}

// Compares the timelines from the first on: the logs are the same up to where
// one of them left the last timeline that both have.
uint64_t
fake_wal_find_fork(const struct wal *wal, const struct wal_timeline *timelines,
                   size_t count, uint64_t lsn)
{
    size_t same = 0;
    uint64_t fork = lsn < wal->lsn ? lsn : wal->lsn;

    while (same < count && same < wal->timelines_count &&
           timelines[same].id == wal->timelines[same].id) {
        same++;
    }
    if (same < count && timelines[same].base < fork) {
        fork = timelines[same].base;
    }
    if (same < wal->timelines_count && wal->timelines[same].base < fork) {
        fork = wal->timelines[same].base;
    }
    return same == 0 ? wal->timelines[0].base : fork;
}
