#ifndef CATKINGRADE_STORE_STORE_H
#define CATKINGRADE_STORE_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include "catkingrade/decide/raft_defs.h"
#include "catkingrade/kernel/buffer.h"

// The data folder of a control daemon: one log with snapshots for each
// control group. Functions return OUTCOME_OK or an error and append one line
// of text to report for each thing an operator should know. For one thread.
struct store;
struct store_group;

// The calls that change files; tests replace them to fill the disk. Each
// returns what the call of the same name does, with errno set.
struct store_io {
    ssize_t (*write)(const struct store_io *io, int fd, const void *data,
                     size_t size_bytes);
    int (*sync)(const struct store_io *io, int fd);
};

struct store_params {
    const char *dir;
    const char *vm;
    const struct store_io *io; // NULL: the system's
    size_t segment_size_bytes; // 0: STORE_SEGMENT_SIZE_BYTES
};

#define STORE_SEGMENT_SIZE_BYTES (1024 * 1024)

// Creates the folder when it does not exist. OUTCOME_LOCKED: another daemon
// holds it. OUTCOME_DENIED: it is another VM's. OUTCOME_CORRUPT, OUTCOME_IO,
// OUTCOME_NO_SPACE.
int store_open(const struct store_params *params, struct store **store,
               struct buffer *report);
void store_close(struct store *store);
uint64_t store_get_folder_id(const struct store *store);

// True when the folder holds state that the group's voter has written. A
// voter of a group that exists elsewhere, but not here, has lost its disk.
bool store_has_group(const struct store *store, const char *group);
// Opens a group or creates it. OUTCOME_DENIED: the folder holds the group's
// state of another voter id. saved is what raft_create takes.
int store_group_open(struct store *store, const char *name, uint64_t voter,
                     struct store_group **group, struct raft_saved *saved,
                     struct buffer *report);
void store_group_close(struct store_group *group);
// Returns the voter id under which the folder holds a group, also before its
// first write; OUTCOME_NOT_FOUND, OUTCOME_CORRUPT.
int store_find_voter(const struct store *store, const char *group,
                     uint64_t *voter);
// Removes a group that is not open, so that the VM may join it again under
// a new voter id.
int store_group_remove(struct store *store, const char *name);
void store_saved_free(struct raft_saved *saved);

// Write for one action of the same name each; durable after store_sync. After
// an error the group refuses further writes until it is closed and opened
// again; what was synced before is whole.
int store_save_state(struct store_group *group, uint64_t term,
                     uint64_t voted_for);
int store_truncate(struct store_group *group, uint64_t from_index);
int store_append(struct store_group *group, const struct ck_log_entry *entry);
// Durable when it returns; removes the segments that it makes superfluous.
int store_save_snapshot(struct store_group *group,
                        const struct raft_snapshot *snapshot);
// Syncs every group that was written to since the last call.
int store_sync(struct store *store);

// Verifies a folder that no daemon has open, without changing it. A torn tail
// is reported and is no error; report ends with a summary.
int store_check(const char *dir, struct buffer *report);

#endif
