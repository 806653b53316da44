#include <dirent.h>
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/store/store_internal.h"

#define SEGMENT_HEADER_BYTES 48
#define NUMBER_DIGITS        16

static int
compare_numbers(const void *left, const void *right)
{
    uint64_t a = *(const uint64_t *)left;
    uint64_t b = *(const uint64_t *)right;

    return (a > b) - (a < b);
}

static bool
store_parse_name(const char *name, const char *prefix, uint64_t *number)
{
    size_t length = strlen(prefix);
    char *end = NULL;

    if (strncmp(name, prefix, length) != 0 ||
        strlen(name) != length + NUMBER_DIGITS) {
        return false;
    }
    *number = strtoull(name + length, &end, 16);
    return *end == '\0';
}

// Lists the numbers of a folder's files whose names are prefix and number, in
// rising order. The caller frees them.
int
store_list_numbered_files(const char *dir, const char *prefix,
                          uint64_t **numbers, size_t *count)
{
    DIR *folder = opendir(dir);
    const struct dirent *item;

    *numbers = NULL;
    *count = 0;
    if (folder == NULL) {
        return store_get_errno_outcome(errno);
    }
    while ((item = readdir(folder)) != NULL) {
        uint64_t number = 0;
        if (store_parse_name(item->d_name, prefix, &number)) {
            *numbers = xrealloc(*numbers, (*count + 1) * sizeof(**numbers));
            (*numbers)[(*count)++] = number;
        }
    }
    (void)closedir(folder);
    if (*count > 1) {
        qsort(*numbers, *count, sizeof(**numbers), compare_numbers);
    }
    return OUTCOME_OK;
}

// Frees what was read.
void
store_image_free(struct store_image *image)
{
    for (size_t i = 0; i < image->entries_count; i++) {
        free(image->entries[i].payload.payload_val);
    }
    free(image->entries);
    free(image->segments);
    free(image->saved.snapshot.data);
    memset(image, 0, sizeof(*image));
}

static int
store_image_read_snapshot(const char *dir, struct store_image *image,
                          struct buffer *report)
{
    uint64_t *indexes;
    size_t count;
    int outcome =
        store_list_numbered_files(dir, "snapshot-", &indexes, &count);

    if (outcome == OUTCOME_OK && count > 0) {
        outcome = store_snapshot_read(dir, image->identity.folder,
                                      indexes[count - 1],
                                      &image->saved.snapshot, report);
        image->saved.has_snapshot = outcome == OUTCOME_OK;
    }
    free(indexes);
    return outcome;
}

static void
store_image_truncate(struct store_image *image, uint64_t from_index)
{
    while (image->entries_count > 0 &&
           image->entries[image->entries_count - 1].index >= from_index) {
        image->entries_count--;
        free(image->entries[image->entries_count].payload.payload_val);
    }
    if (from_index <= image->last_index) {
        image->last_index = from_index - 1;
    }
}

// Takes an entry record. Entries follow each other without a gap, except that
// the newest snapshot may stand for some.
static bool
store_image_apply_entry(struct store_image *image,
                        const struct store_record *record)
{
    if (record->size_bytes < 16) {
        return false;
    }
    uint64_t index = store_get_le64(record->payload);
    uint64_t covered = image->saved.snapshot.index;
    if (index == 0 || (index > image->last_index + 1 && index > covered + 1)) {
        return false;
    }
    store_image_truncate(image, index);
    image->last_index = index;
    struct store_segment *segment =
        &image->segments[image->segments_count - 1];
    if (index > segment->max_index) {
        segment->max_index = index;
    }
    if (index <= covered) {
        return true;
    }
    if (image->entries_count == image->entries_capacity) {
        image->entries_capacity = image->entries_capacity * 2 + 64;
        image->entries = xrealloc(image->entries, image->entries_capacity *
                                                      sizeof(*image->entries));
    }
    struct ck_log_entry *entry = &image->entries[image->entries_count++];
    entry->index = index;
    entry->term = store_get_le64(record->payload + 8);
    entry->payload.payload_len = (u_int)(record->size_bytes - 16);
    entry->payload.payload_val =
        xmemdupz((const char *)record->payload + 16, record->size_bytes - 16);
    return true;
}

static bool
store_image_apply_state(struct store_image *image,
                        const struct store_record *record)
{
    if (record->size_bytes != 16) {
        return false;
    }
    image->saved.term = store_get_le64(record->payload);
    image->saved.voted_for = store_get_le64(record->payload + 8);
    return true;
}

// Takes the first record of a segment: it must be this group's, and the log
// before it must be there or be covered by the snapshot.
static bool
store_image_apply_segment_header(struct store_image *image,
                                 const struct store_record *record)
{
    const uint8_t *data = record->payload;

    if (record->type != STORE_RECORD_SEGMENT ||
        record->size_bytes != SEGMENT_HEADER_BYTES ||
        store_get_le64(data) != image->identity.folder ||
        store_get_le64(data + 8) != image->identity.voter) {
        return false;
    }
    uint64_t last_index = store_get_le64(data + 40);
    if (last_index != image->last_index) {
        if (last_index > image->saved.snapshot.index) {
            return false;
        }
        image->last_index = last_index;
    }
    image->saved.term = store_get_le64(data + 24);
    image->saved.voted_for = store_get_le64(data + 32);
    return true;
}

static bool
store_image_apply_record(struct store_image *image,
                         const struct store_record *record, size_t at)
{
    if (at == 0) {
        return store_image_apply_segment_header(image, record);
    }
    switch (record->type) {
    case STORE_RECORD_STATE:
        return store_image_apply_state(image, record);
    case STORE_RECORD_ENTRY:
        return store_image_apply_entry(image, record);
    case STORE_RECORD_TRUNCATE:
        if (record->size_bytes != 8) {
            return false;
        }
        store_image_truncate(image, store_get_le64(record->payload));
        return true;
    default:
        return false;
    }
}

static int
store_image_replay_segment(struct store_image *image, const char *path,
                           const struct buffer *file, bool last,
                           struct buffer *report)
{
    uint64_t sequence = image->segments[image->segments_count - 1].sequence;
    const uint8_t *data = buffer_get_data(file);
    size_t size = buffer_get_size(file);
    size_t at = 0;

    while (at < size) {
        struct store_record record;
        if (store_record_parse(data + at, size - at, sequence, &record) !=
            STORE_PARSE_OK) {
            break;
        }
        if (!store_image_apply_record(image, &record, at)) {
            buffer_append_format(report,
                                 "%s: byte %zu: the record doesn't fit the "
                                 "log before it\n",
                                 path, at);
            return OUTCOME_CORRUPT;
        }
        at += record.total_bytes;
    }
    image->tail_valid_bytes = at;
    image->tail_file_bytes = size;
    image->tail_is_torn = at < size || size == 0;
    if (!image->tail_is_torn) {
        return OUTCOME_OK;
    }
    if (!last || !store_is_torn(data, size, at, sequence)) {
        buffer_append_format(report, "%s: byte %zu: the log is corrupt\n",
                             path, at);
        return OUTCOME_CORRUPT;
    }
    buffer_append_format(report,
                         "%s: byte %zu: torn tail of %zu bytes, never "
                         "acknowledged\n",
                         path, at, size - at);
    return OUTCOME_OK;
}

static int
store_image_read_segment(const char *dir, struct store_image *image,
                         uint64_t sequence, bool last, struct buffer *report)
{
    char name[64];
    char path[STORE_PATH_SIZE];
    struct buffer file = {0};

    image->segments[image->segments_count++] =
        (struct store_segment){.sequence = sequence};
    store_segment_format_name(name, sequence);
    store_format_path(path, dir, name);
    int outcome = store_read_file(path, &file);
    if (outcome == OUTCOME_OK) {
        outcome = store_image_replay_segment(image, path, &file, last, report);
    }
    else {
        buffer_append_format(report, "%s: can't be read\n", path);
    }
    buffer_free(&file);
    return outcome;
}

static int
store_image_read_log(const char *dir, struct store_image *image,
                     struct buffer *report)
{
    uint64_t *sequences;
    size_t count;
    int outcome = store_list_numbered_files(dir, "log-", &sequences, &count);

    image->segments = xcalloc(count, sizeof(*image->segments));
    for (size_t i = 0; i < count && outcome == OUTCOME_OK; i++) {
        if (i > 0 && sequences[i] != sequences[i - 1] + 1) {
            buffer_append_format(report,
                                 "%s: segment %016" PRIx64 " is missing\n",
                                 dir, sequences[i - 1] + 1);
            outcome = OUTCOME_CORRUPT;
            break;
        }
        outcome = store_image_read_segment(dir, image, sequences[i],
                                           i + 1 == count, report);
    }
    free(sequences);
    return outcome;
}

// Reads and verifies a group's folder without changing it. Returns
// OUTCOME_OK, OUTCOME_NOT_FOUND without an identity, OUTCOME_CORRUPT,
// OUTCOME_DENIED or OUTCOME_IO.
int
store_image_read(const char *dir, uint64_t folder, struct store_image *image,
                 struct buffer *report)
{
    int outcome = store_identity_read(dir, "group", &image->identity, report);

    if (outcome != OUTCOME_OK) {
        return outcome;
    }
    if (image->identity.folder != folder) {
        buffer_append_format(report, "%s: belongs to another data folder\n",
                             dir);
        return OUTCOME_DENIED;
    }
    outcome = store_image_read_snapshot(dir, image, report);
    if (outcome == OUTCOME_OK) {
        outcome = store_image_read_log(dir, image, report);
    }
    if (image->last_index < image->saved.snapshot.index) {
        image->last_index = image->saved.snapshot.index;
    }
    image->saved.entries = image->entries;
    image->saved.entries_count = image->entries_count;
    return outcome;
}
