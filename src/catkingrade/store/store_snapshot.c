#include <inttypes.h>
#include <stdio.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/store/store_internal.h"

#define SNAPSHOT_HEADER_BYTES                                                 \
    32 // folder, index, term, offset of the adapter's bytes

// Formats the file name of a snapshot.
void
store_snapshot_format_name(char name[64], uint64_t index)
{
    (void)snprintf(name, 64, "snapshot-%016" PRIx64, index);
}

// Writes a snapshot atomically and durably.
int
store_snapshot_write(const struct store_io *io, const char *dir,
                     uint64_t folder, const struct raft_snapshot *snapshot)
{
    char name[64];
    struct buffer payload = {0};
    struct buffer record = {0};

    store_append_le64(&payload, folder);
    store_append_le64(&payload, snapshot->index);
    store_append_le64(&payload, snapshot->term);
    store_append_le64(&payload, snapshot->app_offset);
    buffer_append(&payload, snapshot->data, snapshot->size_bytes);
    store_record_append(&record, STORE_RECORD_SNAPSHOT, snapshot->index, 0,
                        &payload);
    store_snapshot_format_name(name, snapshot->index);
    int outcome = store_replace_file(io, dir, name, buffer_get_data(&record),
                                     buffer_get_size(&record));
    buffer_free(&payload);
    buffer_free(&record);
    return outcome;
}

static int
store_snapshot_decode(const struct buffer *data, uint64_t folder,
                      uint64_t index, struct raft_snapshot *snapshot)
{
    struct store_record record;

    if (store_record_parse(buffer_get_data(data), buffer_get_size(data), index,
                           &record) != STORE_PARSE_OK ||
        record.type != STORE_RECORD_SNAPSHOT ||
        record.total_bytes != buffer_get_size(data) ||
        record.size_bytes < SNAPSHOT_HEADER_BYTES ||
        store_get_le64(record.payload + 8) != index) {
        return OUTCOME_CORRUPT;
    }
    if (store_get_le64(record.payload) != folder) {
        return OUTCOME_DENIED;
    }
    snapshot->index = index;
    snapshot->term = store_get_le64(record.payload + 16);
    snapshot->app_offset = store_get_le64(record.payload + 24);
    snapshot->size_bytes = record.size_bytes - SNAPSHOT_HEADER_BYTES;
    snapshot->data = (uint8_t *)xmemdupz((const char *)record.payload +
                                             SNAPSHOT_HEADER_BYTES,
                                         snapshot->size_bytes);
    return OUTCOME_OK;
}

// Reads and verifies the snapshot of an index; the caller frees its data.
int
store_snapshot_read(const char *dir, uint64_t folder, uint64_t index,
                    struct raft_snapshot *snapshot, struct buffer *report)
{
    char name[64];
    char path[STORE_PATH_SIZE];
    struct buffer data = {0};

    store_snapshot_format_name(name, index);
    store_format_path(path, dir, name);
    int outcome = store_read_file(path, &data);
    if (outcome == OUTCOME_OK) {
        outcome = store_snapshot_decode(&data, folder, index, snapshot);
    }
    buffer_free(&data);
    if (outcome == OUTCOME_CORRUPT) {
        buffer_append_format(report, "%s: the snapshot is corrupt\n", path);
    }
    else if (outcome == OUTCOME_DENIED) {
        buffer_append_format(report, "%s: belongs to another data folder\n",
                             path);
    }
    else if (outcome != OUTCOME_OK) {
        buffer_append_format(report, "%s: can't be read\n", path);
    }
    return outcome;
}
