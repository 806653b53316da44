#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/store/store_internal.h"

#define READ_CHUNK_BYTES (256 * 1024)

static ssize_t
system_write(const struct store_io *io, int fd, const void *data,
             size_t size_bytes)
{
    (void)io;
    return write(fd, data, size_bytes);
}

static int
system_sync(const struct store_io *io, int fd)
{
    (void)io;
    return fdatasync(fd);
}

const struct store_io store_system_io = {system_write, system_sync};

// Returns the outcome of a failed system call.
int
store_get_errno_outcome(int error)
{
    switch (error) {
    case ENOSPC:
    case EDQUOT:
        return OUTCOME_NO_SPACE;
    case ENOENT:
        return OUTCOME_NOT_FOUND;
    default:
        return OUTCOME_IO;
    }
}

// Reports the system call that has just failed and returns its outcome.
int
store_report_errno(struct buffer *report, const char *what, const char *path)
{
    int error = errno;

    buffer_append_format(report, "%s: %s: %s\n", path, what, strerror(error));
    return store_get_errno_outcome(error);
}

// Joins a folder and a name.
void
store_format_path(char path[STORE_PATH_SIZE], const char *dir,
                  const char *name)
{
    int length = snprintf(path, STORE_PATH_SIZE, "%s/%s", dir, name);

    INVARIANT(length > 0 && length < STORE_PATH_SIZE);
}

// Writes all bytes. Returns OUTCOME_OK, OUTCOME_NO_SPACE or OUTCOME_IO; part
// of the bytes may then be in the file.
int
store_write_all(const struct store_io *io, int fd, const void *data,
                size_t size_bytes)
{
    const uint8_t *next = data;

    while (size_bytes > 0) {
        ssize_t written = io->write(io, fd, next, size_bytes);
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return written == 0 ? OUTCOME_IO : store_get_errno_outcome(errno);
        }
        next += written;
        size_bytes -= (size_t)written;
    }
    return OUTCOME_OK;
}

// Makes the names in a folder durable.
int
store_sync_dir(const char *dir)
{
    int fd = open(dir, O_RDONLY | O_DIRECTORY | O_CLOEXEC);

    if (fd < 0) {
        return store_get_errno_outcome(errno);
    }
    int result = fsync(fd);
    int outcome = result == 0 ? OUTCOME_OK : store_get_errno_outcome(errno);
    (void)close(fd);
    return outcome;
}

// Creates a folder unless it exists, durably.
int
store_make_dir(const char *dir)
{
    char parent[STORE_PATH_SIZE];

    if (mkdir(dir, 0700) != 0) {
        return errno == EEXIST ? OUTCOME_OK : store_get_errno_outcome(errno);
    }
    (void)snprintf(parent, sizeof(parent), "%s/..", dir);
    return store_sync_dir(parent);
}

// Appends a file's bytes to data. Returns OUTCOME_OK, OUTCOME_NOT_FOUND or
// OUTCOME_IO.
int
store_read_file(const char *path, struct buffer *data)
{
    int fd = open(path, O_RDONLY | O_CLOEXEC);

    if (fd < 0) {
        return store_get_errno_outcome(errno);
    }
    for (;;) {
        uint8_t *place = buffer_reserve(data, READ_CHUNK_BYTES);
        ssize_t count = read(fd, place, READ_CHUNK_BYTES);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count <= 0) {
            int outcome = count == 0 ? OUTCOME_OK : OUTCOME_IO;
            (void)close(fd);
            return outcome;
        }
        data->end += (size_t)count;
    }
}

static int
store_write_new_file(const struct store_io *io, const char *path,
                     const void *data, size_t size_bytes)
{
    int fd = open(path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);

    if (fd < 0) {
        return store_get_errno_outcome(errno);
    }
    int outcome = store_write_all(io, fd, data, size_bytes);
    if (outcome == OUTCOME_OK && io->sync(io, fd) != 0) {
        outcome = store_get_errno_outcome(errno);
    }
    (void)close(fd);
    return outcome;
}

// Replaces a file atomically and durably: after a crash the old or the new
// content is there, whole.
int
store_replace_file(const struct store_io *io, const char *dir,
                   const char *name, const void *data, size_t size_bytes)
{
    char path[STORE_PATH_SIZE];
    char temporary[STORE_PATH_SIZE];
    char temporary_name[STORE_NAME_SIZE + 8];

    (void)snprintf(temporary_name, sizeof(temporary_name), "%s.tmp", name);
    store_format_path(path, dir, name);
    store_format_path(temporary, dir, temporary_name);
    int outcome = store_write_new_file(io, temporary, data, size_bytes);
    if (outcome == OUTCOME_OK && rename(temporary, path) != 0) {
        outcome = store_get_errno_outcome(errno);
    }
    if (outcome != OUTCOME_OK) {
        (void)unlink(temporary);
        return outcome;
    }
    return store_sync_dir(dir);
}
