#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/store/store_internal.h"

static void
store_group_format_dir(const struct store *store, const char *name,
                       char dir[STORE_PATH_SIZE])
{
    int length =
        snprintf(dir, STORE_PATH_SIZE, "%s/groups/%s", store->dir, name);

    INVARIANT(length > 0 && length < STORE_PATH_SIZE);
}

static bool
store_has_files(const char *dir, const char *prefix)
{
    uint64_t *numbers;
    size_t count;

    (void)store_list_numbered_files(dir, prefix, &numbers, &count);
    free(numbers);
    return count > 0;
}

// Tells whether the folder holds state of the group. A group that was opened
// and never written to has none.
bool
store_has_group(const struct store *store, const char *group)
{
    char dir[STORE_PATH_SIZE];

    store_group_format_dir(store, group, dir);
    return store_has_files(dir, "snapshot-") || store_has_files(dir, "log-");
}

// Reads the voter id of a group's folder.
int
store_find_voter(const struct store *store, const char *group, uint64_t *voter)
{
    char dir[STORE_PATH_SIZE];
    struct store_identity identity;
    struct buffer report = {0};

    store_group_format_dir(store, group, dir);
    int outcome = store_identity_read(dir, "group", &identity, &report);
    buffer_free(&report);
    *voter = outcome == OUTCOME_OK ? identity.voter : 0;
    return outcome;
}

static int
store_group_create_dir(struct store *store, const char *dir, const char *name,
                       uint64_t voter, struct store_image *image)
{
    int outcome = store_make_dir(dir);

    if (outcome != OUTCOME_OK) {
        return outcome;
    }
    if (store_has_group(store, name)) {
        return OUTCOME_CORRUPT; // its identity is lost
    }
    image->identity.folder = store->identity.folder;
    image->identity.voter = voter;
    (void)snprintf(image->identity.name, sizeof(image->identity.name), "%s",
                   name);
    return store_identity_write(store->params.io, dir, "group",
                                &image->identity);
}

// Cuts a torn tail off, durably. A segment without a whole head is removed.
static int
store_group_truncate_tail(const char *dir, struct store_image *image)
{
    char name[64];
    char path[STORE_PATH_SIZE];

    store_segment_format_name(
        name, image->segments[image->segments_count - 1].sequence);
    store_format_path(path, dir, name);
    if (image->tail_valid_bytes == 0) {
        image->segments_count--;
        return unlink(path) == 0 ? store_sync_dir(dir)
                                 : store_get_errno_outcome(errno);
    }
    int fd = open(path, O_WRONLY | O_CLOEXEC);
    if (fd < 0) {
        return store_get_errno_outcome(errno);
    }
    bool done =
        ftruncate(fd, (off_t)image->tail_valid_bytes) == 0 && fsync(fd) == 0;
    int outcome = done ? OUTCOME_OK : store_get_errno_outcome(errno);
    (void)close(fd);
    image->tail_file_bytes = image->tail_valid_bytes;
    return outcome;
}

// Removes what a crash may have left behind: temporary files, and snapshots
// that a newer one replaces.
static void
store_group_remove_obsolete_files(const char *dir, uint64_t snapshot_index)
{
    uint64_t *indexes;
    size_t count;
    char name[64];
    char path[STORE_PATH_SIZE];
    DIR *folder = opendir(dir);
    const struct dirent *item;

    while (folder != NULL && (item = readdir(folder)) != NULL) {
        size_t length = strlen(item->d_name);
        if (length > 4 && strcmp(item->d_name + length - 4, ".tmp") == 0) {
            store_format_path(path, dir, item->d_name);
            (void)unlink(path);
        }
    }
    if (folder != NULL) {
        (void)closedir(folder);
    }
    (void)store_list_numbered_files(dir, "snapshot-", &indexes, &count);
    for (size_t i = 0; i < count && indexes[i] < snapshot_index; i++) {
        store_snapshot_format_name(name, indexes[i]);
        store_format_path(path, dir, name);
        (void)unlink(path);
    }
    free(indexes);
}

// Makes a group ready for writing after what was read.
static struct store_group *
store_group_init(struct store *store, const char *dir,
                 struct store_image *image)
{
    struct store_group *group = xcalloc(1, sizeof(*group));

    group->store = store;
    group->identity = image->identity;
    (void)snprintf(group->dir, sizeof(group->dir), "%s", dir);
    group->term = image->saved.term;
    group->voted_for = image->saved.voted_for;
    group->last_index = image->last_index;
    group->snapshot_index = image->saved.snapshot.index;
    group->segments = image->segments;
    group->segments_count = image->segments_count;
    group->fd = -1;
    group->size_bytes = image->tail_file_bytes;
    group->synced_bytes = image->tail_file_bytes;
    image->segments = NULL;
    group->next = store->groups;
    store->groups = group;
    return group;
}

// Appends to the last segment only when its size is known: a torn one that
// was removed leaves the one before it, which is full.
static int
store_group_repair(const char *dir, struct store_image *image)
{
    int outcome = OUTCOME_OK;

    if (image->segments_count > 0 && image->tail_is_torn) {
        bool removed = image->tail_valid_bytes == 0;
        outcome = store_group_truncate_tail(dir, image);
        if (removed) {
            image->tail_file_bytes = SIZE_MAX / 2;
        }
    }
    store_group_remove_obsolete_files(dir, image->saved.snapshot.index);
    return outcome;
}

static int
store_group_load(struct store *store, const char *dir, const char *name,
                 uint64_t voter, struct store_image *image,
                 struct buffer *report)
{
    int outcome = store_image_read(dir, store->identity.folder, image, report);

    if (outcome == OUTCOME_NOT_FOUND) {
        outcome = store_group_create_dir(store, dir, name, voter, image);
        if (outcome != OUTCOME_OK) {
            buffer_append_format(report, "%s: can't be created: %s\n", dir,
                                 outcome_get_text(outcome));
        }
        return outcome;
    }
    if (outcome != OUTCOME_OK) {
        return outcome;
    }
    if (image->identity.voter != voter ||
        strcmp(image->identity.name, name) != 0) {
        buffer_append_format(
            report,
            "%s: belongs to voter %" PRIu64
            " of group %s, not to voter %" PRIu64 " of group %s\n",
            dir, image->identity.voter, image->identity.name, voter, name);
        return OUTCOME_DENIED;
    }
    return store_group_repair(dir, image);
}

// Opens a group of the folder, or creates it, and returns what it holds. A
// torn tail is cut off and reported.
int
store_group_open(struct store *store, const char *name, uint64_t voter,
                 struct store_group **group, struct raft_saved *saved,
                 struct buffer *report)
{
    char dir[STORE_PATH_SIZE];
    struct store_image image = {0};

    memset(saved, 0, sizeof(*saved));
    if (!store_is_valid_name(name)) {
        buffer_append_format(report, "%s: not a group's name\n", name);
        return OUTCOME_INVALID;
    }
    store_group_format_dir(store, name, dir);
    int outcome = store_group_load(store, dir, name, voter, &image, report);
    if (outcome != OUTCOME_OK) {
        store_image_free(&image);
        return outcome;
    }
    *group = store_group_init(store, dir, &image);
    *saved = image.saved;
    return OUTCOME_OK;
}

// Frees what store_group_open returned in saved.
void
store_saved_free(struct raft_saved *saved)
{
    struct ck_log_entry *entries =
        (struct ck_log_entry *)(uintptr_t)saved->entries;

    for (size_t i = 0; i < saved->entries_count; i++) {
        free(entries[i].payload.payload_val);
    }
    free(entries);
    free(saved->snapshot.data);
    memset(saved, 0, sizeof(*saved));
}

// Closes a group. What was not synced may be lost.
void
store_group_close(struct store_group *group)
{
    struct store_group **place = &group->store->groups;

    while (*place != group) {
        place = &(*place)->next;
    }
    *place = group->next;
    if (group->fd >= 0) {
        (void)close(group->fd);
    }
    free(group->segments);
    free(group);
}

// Removes all files of a group that is not open.
int
store_group_remove(struct store *store, const char *name)
{
    char dir[STORE_PATH_SIZE];
    char path[STORE_PATH_SIZE];
    const struct dirent *item;

    store_group_format_dir(store, name, dir);
    DIR *folder = opendir(dir);
    if (folder == NULL) {
        return store_get_errno_outcome(errno);
    }
    while ((item = readdir(folder)) != NULL) {
        if (item->d_name[0] != '.' && strcmp(item->d_name, "identity") != 0) {
            store_format_path(path, dir, item->d_name);
            (void)unlink(path);
        }
    }
    (void)closedir(folder);
    // The identity goes last: a crash before leaves a group of that voter.
    store_format_path(path, dir, "identity");
    if (unlink(path) != 0 && errno != ENOENT) {
        return store_get_errno_outcome(errno);
    }
    return store_sync_dir(dir);
}

// Writes the current term and vote.
int
store_save_state(struct store_group *group, uint64_t term, uint64_t voted_for)
{
    struct buffer payload = {0};

    store_append_le64(&payload, term);
    store_append_le64(&payload, voted_for);
    int outcome = store_segment_write(group, STORE_RECORD_STATE, &payload);
    buffer_free(&payload);
    if (outcome == OUTCOME_OK) {
        group->term = term;
        group->voted_for = voted_for;
    }
    return outcome;
}

// Drops the entries from an index on.
int
store_truncate(struct store_group *group, uint64_t from_index)
{
    struct buffer payload = {0};

    store_append_le64(&payload, from_index);
    int outcome = store_segment_write(group, STORE_RECORD_TRUNCATE, &payload);
    buffer_free(&payload);
    if (outcome == OUTCOME_OK && from_index <= group->last_index) {
        group->last_index = from_index - 1;
    }
    return outcome;
}

// Appends an entry, whose index must be the next one.
int
store_append(struct store_group *group, const struct ck_log_entry *entry)
{
    struct buffer payload = {0};

    if (group->failed) {
        return OUTCOME_IO;
    }
    INVARIANT(entry->index == group->last_index + 1);
    store_append_le64(&payload, entry->index);
    store_append_le64(&payload, entry->term);
    buffer_append(&payload, entry->payload.payload_val,
                  entry->payload.payload_len);
    int outcome = store_segment_write(group, STORE_RECORD_ENTRY, &payload);
    buffer_free(&payload);
    if (outcome == OUTCOME_OK) {
        struct store_segment *segment =
            &group->segments[group->segments_count - 1];
        group->last_index = entry->index;
        if (entry->index > segment->max_index) {
            segment->max_index = entry->index;
        }
    }
    return outcome;
}

// Replaces the snapshot, durably, and removes what it makes superfluous.
int
store_save_snapshot(struct store_group *group,
                    const struct raft_snapshot *snapshot)
{
    if (group->failed) {
        return OUTCOME_IO;
    }
    int outcome = store_snapshot_write(group->store->params.io, group->dir,
                                       group->identity.folder, snapshot);
    if (outcome != OUTCOME_OK) {
        return outcome;
    }
    group->snapshot_index = snapshot->index;
    if (group->last_index < snapshot->index) {
        group->last_index = snapshot->index;
    }
    store_segment_remove_covered(group);
    store_group_remove_obsolete_files(group->dir, snapshot->index);
    return OUTCOME_OK;
}

// Makes all that was written durable. Returns the first error.
int
store_sync(struct store *store)
{
    int result = OUTCOME_OK;

    for (struct store_group *group = store->groups; group != NULL;
         group = group->next) {
        int outcome = store_segment_sync(group);
        if (result == OUTCOME_OK) {
            result = outcome;
        }
    }
    return result;
}
