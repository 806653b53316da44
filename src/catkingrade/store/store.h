#ifndef CATKINGRADE_STORE_STORE_H
#define CATKINGRADE_STORE_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include "catkingrade/decide/raft/raft_defs.h"
#include "catkingrade/kernel/buffer.h"

// The data folder of a control daemon. It holds, for each control group of the
// daemon, the Raft log in segment files, a snapshot, and an identity file that
// names the owner. Functions return OUTCOME_OK or an error. They append one
// line of text to report for each finding that an operator should know. A
// store is not thread-safe.
struct store;
struct store_group;

// The system calls that write files. Tests replace them for fault injection,
// such as a full disk. write and sync return the result of write(2) and
// fdatasync(2) and set errno.
struct store_io {
    ssize_t (*write)(const struct store_io *io, int fd, const void *data,
                     size_t size_bytes);
    int (*sync)(const struct store_io *io, int fd);
};

struct store_params {
    const char *dir;
    const char *vm;
    const struct store_io *io; // NULL: store_system_io
    size_t segment_size_bytes; // 0: STORE_SEGMENT_SIZE_BYTES
};

#define STORE_SEGMENT_SIZE_BYTES (1024 * 1024)

// Opens and locks the data folder; creates it if it does not exist. Errors:
// OUTCOME_LOCKED if another process has it open, OUTCOME_DENIED if it belongs
// to another VM, OUTCOME_INVALID if the path is too long or the VM name is not
// valid, OUTCOME_NOT_FOUND if the parent folder does not exist,
// OUTCOME_CORRUPT, OUTCOME_IO and OUTCOME_NO_SPACE.
int store_open(const struct store_params *params, struct store **store,
               struct buffer *report);
void store_close(struct store *store);
uint64_t store_get_folder_id(const struct store *store);

// Returns whether the folder holds a snapshot or a log of the group. If the
// group exists on other VMs but not here, its voter here has lost its disk.
bool store_has_group(const struct store *store, const char *group);
// Opens a group, or creates it if the folder does not hold it, and stores its
// state in saved for raft_create. Free saved with store_saved_free. Errors:
// OUTCOME_DENIED if the state belongs to another voter id or data folder,
// OUTCOME_INVALID for an invalid group name, OUTCOME_CORRUPT, OUTCOME_IO and
// OUTCOME_NO_SPACE.
int store_group_open(struct store *store, const char *name, uint64_t voter,
                     struct store_group **group, struct raft_saved *saved,
                     struct buffer *report);
void store_group_close(struct store_group *group);
// Stores the voter id of a group in *voter, also before the first write to the
// group. Errors: OUTCOME_NOT_FOUND if the folder does not hold the group, and
// OUTCOME_CORRUPT; *voter is then 0.
int store_find_voter(const struct store *store, const char *group,
                     uint64_t *voter);
// Removes the files of a group that is not open, so that the VM can join the
// group again under a new voter id.
int store_group_remove(struct store *store, const char *name);
void store_saved_free(struct raft_saved *saved);

// The next three functions carry out the Raft actions of the same names. The
// write is durable after store_sync. After an error the group refuses further
// writes until it is closed and opened again; the synced records stay intact.
int store_save_state(struct store_group *group, uint64_t term,
                     uint64_t voted_for);
int store_truncate(struct store_group *group, uint64_t from_index);
int store_append(struct store_group *group, const struct ck_log_entry *entry);
// Saves a snapshot; it is durable on return. Removes the log segments and
// snapshots that it replaces.
int store_save_snapshot(struct store_group *group,
                        const struct raft_snapshot *snapshot);
// Syncs every group with unsynced writes. Returns the first error; the other
// groups are synced nevertheless.
int store_sync(struct store *store);

// Verifies a data folder without changing it. report gets a summary of each
// group. A torn tail is reported but is no error. OUTCOME_LOCKED: a daemon has
// the folder open. Other errors: OUTCOME_NOT_FOUND if dir is not a data
// folder, OUTCOME_DENIED, OUTCOME_CORRUPT and OUTCOME_IO.
int store_check(const char *dir, struct buffer *report);

#endif
