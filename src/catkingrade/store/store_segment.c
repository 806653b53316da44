#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/store/store_internal.h"

// Formats the file name of a segment.
void
store_segment_format_name(char name[64], uint64_t sequence)
{
    (void)snprintf(name, 64, "log-%016" PRIx64, sequence);
}

static void
store_segment_format_path(const struct store_group *group, uint64_t sequence,
                          char path[STORE_PATH_SIZE])
{
    char name[64];

    store_segment_format_name(name, sequence);
    store_format_path(path, group->dir, name);
}

static struct store_segment *
store_segment_get_last(const struct store_group *group)
{
    return group->segments_count > 0
               ? &group->segments[group->segments_count - 1]
               : NULL;
}

// Gives up writing to the group. What was not synced was promised to nobody
// and is cut off, so that it can't be taken for durable later.
static int
store_segment_fail(struct store_group *group, int outcome)
{
    group->failed = true;
    if (group->fd >= 0) {
        (void)!ftruncate(group->fd, (off_t)group->synced_bytes);
        group->size_bytes = group->synced_bytes;
    }
    return outcome;
}

// Makes what was written to the last segment durable.
int
store_segment_sync(struct store_group *group)
{
    const struct store_io *io = group->store->params.io;

    if (group->failed) {
        return OUTCOME_IO;
    }
    if (group->fd < 0 || group->synced_bytes == group->size_bytes) {
        return OUTCOME_OK;
    }
    if (io->sync(io, group->fd) != 0) {
        return store_segment_fail(group, store_get_errno_outcome(errno));
    }
    group->synced_bytes = group->size_bytes;
    return OUTCOME_OK;
}

static int
store_segment_write_record(struct store_group *group,
                           enum store_record_type type,
                           const struct buffer *payload)
{
    struct buffer record = {0};
    uint64_t sequence = store_segment_get_last(group)->sequence;

    store_record_append(&record, type, sequence, group->synced_bytes, payload);
    int outcome =
        store_write_all(group->store->params.io, group->fd,
                        buffer_get_data(&record), buffer_get_size(&record));
    group->size_bytes += buffer_get_size(&record);
    buffer_free(&record);
    return outcome == OUTCOME_OK ? OUTCOME_OK
                                 : store_segment_fail(group, outcome);
}

static int
store_segment_write_header(struct store_group *group, uint64_t sequence)
{
    struct buffer head = {0};

    store_append_le64(&head, group->identity.folder);
    store_append_le64(&head, group->identity.voter);
    store_append_le64(&head, sequence);
    store_append_le64(&head, group->term);
    store_append_le64(&head, group->voted_for);
    store_append_le64(&head, group->last_index);
    int outcome =
        store_segment_write_record(group, STORE_RECORD_SEGMENT, &head);
    buffer_free(&head);
    return outcome == OUTCOME_OK ? store_segment_sync(group) : outcome;
}

// Undoes the creation of a segment whose head could not be written.
static int
store_segment_abort_create(struct store_group *group, const char *path,
                           int outcome)
{
    (void)unlink(path);
    (void)close(group->fd);
    group->fd = -1;
    group->segments_count--;
    group->failed = true;
    return outcome;
}

// Begins a new segment, durably. All before it is synced, so that only the
// last segment can have a torn tail.
static int
store_segment_create(struct store_group *group)
{
    const struct store_segment *last = store_segment_get_last(group);
    uint64_t sequence = last != NULL ? last->sequence + 1 : 1;
    char path[STORE_PATH_SIZE];
    int outcome = store_segment_sync(group);

    if (outcome != OUTCOME_OK) {
        return outcome;
    }
    store_segment_format_path(group, sequence, path);
    int fd =
        open(path, O_WRONLY | O_CREAT | O_EXCL | O_APPEND | O_CLOEXEC, 0600);
    if (fd < 0) {
        return store_segment_fail(group, store_get_errno_outcome(errno));
    }
    if (group->fd >= 0) {
        (void)close(group->fd);
    }
    group->fd = fd;
    group->size_bytes = 0;
    group->synced_bytes = 0;
    group->segments = xrealloc(group->segments, (group->segments_count + 1) *
                                                    sizeof(*group->segments));
    group->segments[group->segments_count++] =
        (struct store_segment){.sequence = sequence};
    outcome = store_segment_write_header(group, sequence);
    if (outcome == OUTCOME_OK) {
        outcome = store_sync_dir(group->dir);
    }
    return outcome == OUTCOME_OK
               ? OUTCOME_OK
               : store_segment_abort_create(group, path, outcome);
}

static int
store_segment_open_last(struct store_group *group)
{
    const struct store_segment *last = store_segment_get_last(group);
    char path[STORE_PATH_SIZE];

    if (group->fd >= 0 || last == NULL) {
        return OUTCOME_OK;
    }
    store_segment_format_path(group, last->sequence, path);
    group->fd = open(path, O_WRONLY | O_APPEND | O_CLOEXEC);
    return group->fd >= 0 ? OUTCOME_OK : store_get_errno_outcome(errno);
}

// Appends a record to the log; it is durable after the next sync.
int
store_segment_write(struct store_group *group, enum store_record_type type,
                    const struct buffer *payload)
{
    if (group->failed) {
        return OUTCOME_IO;
    }
    int outcome = store_segment_open_last(group);
    if (outcome == OUTCOME_OK &&
        (group->segments_count == 0 ||
         group->size_bytes >= group->store->params.segment_size_bytes)) {
        outcome = store_segment_create(group);
    }
    return outcome == OUTCOME_OK
               ? store_segment_write_record(group, type, payload)
               : outcome;
}

// Removes the oldest segments as far as the snapshot replaces them. Each
// segment's head repeats term and vote, so nothing else is lost.
void
store_segment_remove_covered(struct store_group *group)
{
    size_t count = 0;
    char path[STORE_PATH_SIZE];

    while (count + 1 < group->segments_count &&
           group->segments[count].max_index <= group->snapshot_index) {
        store_segment_format_path(group, group->segments[count].sequence,
                                  path);
        if (unlink(path) != 0) {
            break;
        }
        count++;
    }
    group->segments_count -= count;
    for (size_t i = 0; i < group->segments_count; i++) {
        group->segments[i] = group->segments[i + count];
    }
}
