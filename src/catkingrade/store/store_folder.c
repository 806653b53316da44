#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/random.h>
#include <unistd.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/store/store_internal.h"

static int
store_lock(struct store *store, struct buffer *report)
{
    char path[STORE_PATH_SIZE];

    store_format_path(path, store->dir, "lock");
    store->lock_fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (store->lock_fd < 0) {
        return store_report_errno(report, "can't be opened", path);
    }
    if (flock(store->lock_fd, LOCK_EX | LOCK_NB) == 0) {
        return OUTCOME_OK;
    }
    if (errno != EWOULDBLOCK) {
        return store_report_errno(report, "can't be locked", path);
    }
    buffer_append_format(report, "%s: another process uses this folder\n",
                         store->dir);
    return OUTCOME_LOCKED;
}

static int
store_create_identity(struct store *store, struct buffer *report)
{
    struct store_identity *identity = &store->identity;

    if (getrandom(&identity->folder, sizeof(identity->folder), 0) !=
        (ssize_t)sizeof(identity->folder)) {
        return store_report_errno(report, "no random number", store->dir);
    }
    (void)snprintf(identity->name, sizeof(identity->name), "%s", store->vm);
    int outcome =
        store_identity_write(store->params.io, store->dir, "vm", identity);
    if (outcome != OUTCOME_OK) {
        buffer_append_format(report, "%s: can't write its identity: %s\n",
                             store->dir, outcome_get_text(outcome));
    }
    return outcome;
}

static int
store_load_identity(struct store *store, struct buffer *report)
{
    int outcome =
        store_identity_read(store->dir, "vm", &store->identity, report);

    if (outcome == OUTCOME_NOT_FOUND) {
        return store_create_identity(store, report);
    }
    if (outcome == OUTCOME_OK &&
        strcmp(store->identity.name, store->vm) != 0) {
        buffer_append_format(report, "%s: belongs to VM %s, not to VM %s\n",
                             store->dir, store->identity.name, store->vm);
        return OUTCOME_DENIED;
    }
    return outcome;
}

static int
store_open_dir(struct store *store, struct buffer *report)
{
    char groups[STORE_PATH_SIZE];
    int outcome = store_make_dir(store->dir);

    if (outcome != OUTCOME_OK) {
        buffer_append_format(report, "%s: can't be created\n", store->dir);
        return outcome;
    }
    outcome = store_lock(store, report);
    if (outcome == OUTCOME_OK) {
        outcome = store_load_identity(store, report);
    }
    if (outcome != OUTCOME_OK) {
        return outcome;
    }
    store_format_path(groups, store->dir, "groups");
    outcome = store_make_dir(groups);
    if (outcome != OUTCOME_OK) {
        buffer_append_format(report, "%s: can't be created\n", groups);
    }
    return outcome;
}

static int
store_check_params(const struct store_params *params, struct buffer *report)
{
    if (strlen(params->dir) > STORE_MAX_DIR_SIZE) {
        buffer_append_format(report, "%s: the path is too long\n",
                             params->dir);
        return OUTCOME_INVALID;
    }
    if (!store_is_valid_name(params->vm)) {
        buffer_append_format(report, "%s: not a VM's name\n", params->vm);
        return OUTCOME_INVALID;
    }
    return OUTCOME_OK;
}

static struct store *
store_create(const struct store_params *params)
{
    struct store *store = xcalloc(1, sizeof(*store));

    store->params = *params;
    store->dir = xstrdup(params->dir);
    store->vm = xstrdup(params->vm);
    store->lock_fd = -1;
    if (params->io == NULL) {
        store->params.io = &store_system_io;
    }
    if (params->segment_size_bytes == 0) {
        store->params.segment_size_bytes = STORE_SEGMENT_SIZE_BYTES;
    }
    return store;
}

// Opens a data folder for the one daemon that may use it.
int
store_open(const struct store_params *params, struct store **store,
           struct buffer *report)
{
    int outcome = store_check_params(params, report);

    if (outcome != OUTCOME_OK) {
        return outcome;
    }
    *store = store_create(params);
    outcome = store_open_dir(*store, report);
    if (outcome != OUTCOME_OK) {
        store_close(*store);
        *store = NULL;
    }
    return outcome;
}

// Closes the folder with all its groups and releases the lock.
void
store_close(struct store *store)
{
    while (store->groups != NULL) {
        store_group_close(store->groups);
    }
    if (store->lock_fd >= 0) {
        (void)close(store->lock_fd);
    }
    free(store->dir);
    free(store->vm);
    free(store);
}

// Returns the random number that the folder got when it was created.
uint64_t
store_get_folder_id(const struct store *store)
{
    return store->identity.folder;
}
