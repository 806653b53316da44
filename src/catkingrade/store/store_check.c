#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <string.h>
#include <sys/file.h>
#include <unistd.h>

#include "catkingrade/kernel/outcome.h"
#include "catkingrade/store/store_internal.h"

static int
store_check_group(const char *groups_dir, const char *name, uint64_t folder_id,
                  struct buffer *report)
{
    char dir[STORE_PATH_SIZE];
    struct store_image image = {0};

    store_format_path(dir, groups_dir, name);
    int outcome = store_image_read(dir, folder_id, &image, report);
    if (outcome == OUTCOME_OK && strcmp(image.identity.name, name) != 0) {
        buffer_append_format(report, "%s: contains the state of group %s\n",
                             dir, image.identity.name);
        outcome = OUTCOME_CORRUPT;
    }
    if (outcome == OUTCOME_OK) {
        buffer_append_format(report,
                             "group %s: voter %" PRIu64 ", term %" PRIu64
                             ", snapshot at %" PRIu64 ", log up to %" PRIu64
                             ", %zu segments\n",
                             name, image.identity.voter, image.saved.term,
                             image.saved.snapshot.index, image.last_index,
                             image.segments_count);
    }
    else if (outcome == OUTCOME_NOT_FOUND) {
        buffer_append_format(report, "group %s: never used\n", name);
        outcome = OUTCOME_OK;
    }
    store_image_free(&image);
    return outcome;
}

static int
store_check_groups(const char *dir, uint64_t folder_id, struct buffer *report)
{
    char groups[STORE_PATH_SIZE];
    const struct dirent *item;
    int result = OUTCOME_OK;

    store_format_path(groups, dir, "groups");
    DIR *stream = opendir(groups);
    if (stream == NULL) {
        return errno == ENOENT
                   ? OUTCOME_OK
                   : store_report_errno(report, "can't be read", groups);
    }
    while ((item = readdir(stream)) != NULL) {
        if (item->d_name[0] == '.') {
            continue;
        }
        int outcome =
            store_check_group(groups, item->d_name, folder_id, report);
        if (result == OUTCOME_OK) {
            result = outcome;
        }
    }
    (void)closedir(stream);
    return result;
}

// Verifies a data folder without changing it. Holds the lock of the folder
// meanwhile, so that no daemon can open it.
int
store_check(const char *dir, struct buffer *report)
{
    char path[STORE_PATH_SIZE];
    struct store_identity identity = {0};

    store_format_path(path, dir, "lock");
    int lock_fd = open(path, O_RDONLY | O_CLOEXEC);
    if (lock_fd >= 0 && flock(lock_fd, LOCK_EX | LOCK_NB) != 0) {
        (void)close(lock_fd);
        buffer_append_format(report, "%s: another process uses this folder\n",
                             dir);
        return OUTCOME_LOCKED;
    }
    int outcome = store_identity_read(dir, "vm", &identity, report);
    if (outcome == OUTCOME_OK) {
        buffer_append_format(report, "%s: VM %s, folder %016" PRIx64 "\n", dir,
                             identity.name, identity.folder_id);
        outcome = store_check_groups(dir, identity.folder_id, report);
    }
    else if (outcome == OUTCOME_NOT_FOUND) {
        buffer_append_format(report, "%s: not a data folder\n", dir);
    }
    if (lock_fd >= 0) {
        (void)close(lock_fd);
    }
    return outcome;
}
