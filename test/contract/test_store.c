#include <check.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/store/store.h"
#include "test/suite.h"

#define GROUP_DIR  "/groups/fleet/"
#define LOG_1      GROUP_DIR "log-0000000000000001"
#define LOG_2      GROUP_DIR "log-0000000000000002"
#define ENTRY_SIZE 40 // payload bytes of an appended entry
// Bytes of the record of an entry: header, index, term and payload.
#define RECORD_SIZE (32 + 16 + ENTRY_SIZE)

// A store with one group in a temporary data folder. The fixture replaces the
// system calls of the store to inject a full disk and failed syncs.
struct fixture {
    struct store_io io;  // first member: fixture_write casts it back
    int64_t space_bytes; // writes fail with ENOSPC beyond this
    int64_t syncs_left;  // syncs fail with EIO after this number
    char dir[64];
    struct store *store;
    struct store_group *group;
    struct raft_saved saved;
    struct buffer report;
    size_t segment_size_bytes;
};

static ssize_t
fixture_write(const struct store_io *io, int fd, const void *data,
              size_t size_bytes)
{
    struct fixture *fixture = (struct fixture *)(uintptr_t)io;

    if (fixture->space_bytes == 0) {
        errno = ENOSPC;
        return -1;
    }
    if ((int64_t)size_bytes > fixture->space_bytes) {
        size_bytes = (size_t)fixture->space_bytes;
    }
    fixture->space_bytes -= (int64_t)size_bytes;
    return write(fd, data, size_bytes);
}

static int
fixture_sync(const struct store_io *io, int fd)
{
    struct fixture *fixture = (struct fixture *)(uintptr_t)io;

    if (fixture->syncs_left-- <= 0) {
        errno = EIO;
        return -1;
    }
    return fdatasync(fd);
}

static int
fixture_open_as(struct fixture *fixture, const char *vm, uint64_t voter)
{
    const struct store_params params = {
        .dir = fixture->dir,
        .vm = vm,
        .io = &fixture->io,
        .segment_size_bytes = fixture->segment_size_bytes,
    };

    buffer_clear(&fixture->report);
    int outcome = store_open(&params, &fixture->store, &fixture->report);
    if (outcome != OUTCOME_OK) {
        fixture->store = NULL;
        return outcome;
    }
    return store_group_open(fixture->store, "fleet", voter, &fixture->group,
                            &fixture->saved, &fixture->report);
}

static int
fixture_open(struct fixture *fixture)
{
    return fixture_open_as(fixture, "noord-1", 1);
}

static void
fixture_close(struct fixture *fixture)
{
    store_saved_free(&fixture->saved);
    if (fixture->store != NULL) {
        store_close(fixture->store);
    }
    fixture->store = NULL;
}

static void
fixture_init(struct fixture *fixture)
{
    memset(fixture, 0, sizeof(*fixture));
    fixture->io.write = fixture_write;
    fixture->io.sync = fixture_sync;
    fixture->space_bytes = INT64_MAX;
    fixture->syncs_left = INT64_MAX;
    strcpy(fixture->dir, "/tmp/catkingrade-store-XXXXXX");
    ck_assert_ptr_nonnull(mkdtemp(fixture->dir));
}

static void
remove_tree(const char *dir)
{
    char path[600];
    DIR *folder = opendir(dir);
    const struct dirent *item;

    while (folder != NULL && (item = readdir(folder)) != NULL) {
        if (strcmp(item->d_name, ".") == 0 ||
            strcmp(item->d_name, "..") == 0) {
            continue;
        }
        (void)snprintf(path, sizeof(path), "%s/%s", dir, item->d_name);
        if (unlink(path) != 0) {
            remove_tree(path);
        }
    }
    if (folder != NULL) {
        (void)closedir(folder);
    }
    (void)rmdir(dir);
}

static void
fixture_destroy(struct fixture *fixture)
{
    fixture_close(fixture);
    buffer_free(&fixture->report);
    remove_tree(fixture->dir);
}

// Returns one payload byte of an entry. It is never zero and depends on index,
// term and offset, so that no payload looks like an unwritten sector or equals
// the payload of another entry.
static char
get_payload_byte(uint64_t index, uint64_t term, size_t offset)
{
    return (char)(1 + (index * 31 + term * 7 + offset) % 250);
}

static int
append(struct fixture *fixture, uint64_t index, uint64_t term)
{
    char payload[ENTRY_SIZE];
    const struct ck_log_entry entry = {
        .index = index,
        .term = term,
        .payload = {ENTRY_SIZE, payload},
    };

    for (size_t i = 0; i < ENTRY_SIZE; i++) {
        payload[i] = get_payload_byte(index, term, i);
    }
    return store_append(fixture->group, &entry);
}

static void
append_synced(struct fixture *fixture, uint64_t from, uint64_t to,
              uint64_t term)
{
    for (uint64_t i = from; i <= to; i++) {
        ck_assert_int_eq(append(fixture, i, term), OUTCOME_OK);
        ck_assert_int_eq(store_sync(fixture->store), OUTCOME_OK);
    }
}

static int
save_snapshot(struct fixture *fixture, uint64_t index, uint64_t term)
{
    uint8_t data[] = "snapshot bytes";
    const struct raft_snapshot snapshot = {
        .index = index,
        .term = term,
        .data = data,
        .size_bytes = sizeof(data),
        .app_offset = 9,
    };

    return store_save_snapshot(fixture->group, &snapshot);
}

// Checks that the saved state contains exactly the entries from..to with their
// payloads.
static void
check_entries(const struct fixture *fixture, uint64_t from, uint64_t to,
              uint64_t term)
{
    const struct raft_saved *saved = &fixture->saved;

    ck_assert_uint_eq(saved->entries_count, to - from + 1);
    for (size_t i = 0; i < saved->entries_count; i++) {
        const struct ck_log_entry *entry = &saved->entries[i];
        ck_assert_uint_eq(entry->index, from + i);
        ck_assert_uint_eq(entry->term, term);
        ck_assert_uint_eq(entry->payload.payload_len, ENTRY_SIZE);
        for (size_t j = 0; j < ENTRY_SIZE; j++) {
            ck_assert_int_eq(entry->payload.payload_val[j],
                             get_payload_byte(entry->index, term, j));
        }
    }
}

static bool
report_has(const struct fixture *fixture, const char *text)
{
    const struct buffer *report = &fixture->report;

    return buffer_get_size(report) > 0 &&
           memmem(buffer_get_data(report), buffer_get_size(report), text,
                  strlen(text)) != NULL;
}

static void
get_path(const struct fixture *fixture, const char *name, char path[256])
{
    (void)snprintf(path, 256, "%s%s", fixture->dir, name);
}

static size_t
read_file(const struct fixture *fixture, const char *name, uint8_t **data)
{
    char path[256];
    struct stat status;

    get_path(fixture, name, path);
    int fd = open(path, O_RDONLY);
    ck_assert_int_ge(fd, 0);
    ck_assert_int_eq(fstat(fd, &status), 0);
    *data = xmalloc((size_t)status.st_size);
    ck_assert_int_eq(read(fd, *data, (size_t)status.st_size), status.st_size);
    (void)close(fd);
    return (size_t)status.st_size;
}

static void
write_file(const struct fixture *fixture, const char *name,
           const uint8_t *data, size_t size_bytes)
{
    char path[256];

    get_path(fixture, name, path);
    int fd = open(path, O_WRONLY | O_CREAT | O_TRUNC, 0600);
    ck_assert_int_ge(fd, 0);
    ck_assert_int_eq(write(fd, data, size_bytes), (ssize_t)size_bytes);
    (void)close(fd);
}

// Guards against lost state: term, vote, entries and truncations must be read
// back after a restart.
START_TEST(test_round_trip)
{
    struct fixture fixture;

    fixture_init(&fixture);
    ck_assert_int_eq(fixture_open(&fixture), OUTCOME_OK);
    ck_assert_uint_eq(fixture.saved.term, 0);
    ck_assert(!fixture.saved.has_snapshot);
    ck_assert(!store_has_group(fixture.store, "fleet")); // never written to
    uint64_t id = store_get_folder_id(fixture.store);
    ck_assert_int_eq(store_save_state(fixture.group, 3, 2), OUTCOME_OK);
    append_synced(&fixture, 1, 8, 3);
    ck_assert_int_eq(store_truncate(fixture.group, 5), OUTCOME_OK);
    append_synced(&fixture, 5, 6, 3);
    ck_assert_int_eq(store_save_state(fixture.group, 4, 0), OUTCOME_OK);
    ck_assert_int_eq(store_sync(fixture.store), OUTCOME_OK);
    fixture_close(&fixture);
    ck_assert_int_eq(fixture_open(&fixture), OUTCOME_OK);
    ck_assert_uint_eq(store_get_folder_id(fixture.store), id);
    ck_assert_uint_eq(fixture.saved.term, 4);
    ck_assert_uint_eq(fixture.saved.voted_for, 0);
    check_entries(&fixture, 1, 6, 3);
    append_synced(&fixture, 7, 7, 4);
    ck_assert(store_has_group(fixture.store, "fleet"));
    ck_assert(!store_has_group(fixture.store, "noord"));
    fixture_destroy(&fixture);
}
END_TEST

// Guards against entries lost by compaction: a snapshot removes the segments
// that it covers, and term, vote and later entries must remain.
START_TEST(test_snapshot_and_compaction)
{
    struct fixture fixture;
    char path[256];

    fixture_init(&fixture);
    fixture.segment_size_bytes = 512;
    ck_assert_int_eq(fixture_open(&fixture), OUTCOME_OK);
    ck_assert_int_eq(save_snapshot(&fixture, 0, 0), OUTCOME_OK);
    ck_assert_int_eq(store_save_state(fixture.group, 9, 3), OUTCOME_OK);
    append_synced(&fixture, 1, 40, 9);
    get_path(&fixture, LOG_1, path);
    ck_assert_int_eq(access(path, F_OK), 0);
    ck_assert_int_eq(save_snapshot(&fixture, 30, 9), OUTCOME_OK);
    ck_assert_int_ne(access(path, F_OK), 0);
    fixture_close(&fixture);
    ck_assert_int_eq(fixture_open(&fixture), OUTCOME_OK);
    ck_assert(fixture.saved.has_snapshot);
    ck_assert_uint_eq(fixture.saved.snapshot.index, 30);
    ck_assert_uint_eq(fixture.saved.snapshot.term, 9);
    ck_assert_uint_eq(fixture.saved.snapshot.app_offset, 9);
    ck_assert_str_eq((char *)fixture.saved.snapshot.data, "snapshot bytes");
    ck_assert_uint_eq(fixture.saved.term, 9);
    ck_assert_uint_eq(fixture.saved.voted_for, 3);
    check_entries(&fixture, 31, 40, 9);
    // A snapshot that the leader sent is ahead of the log.
    ck_assert_int_eq(save_snapshot(&fixture, 60, 9), OUTCOME_OK);
    append_synced(&fixture, 61, 80, 9);
    fixture_close(&fixture);
    ck_assert_int_eq(fixture_open(&fixture), OUTCOME_OK);
    check_entries(&fixture, 61, 80, 9);
    fixture_destroy(&fixture);
}
END_TEST

// Writes a state and four synced entries and closes the store. Stores the
// contents of the only segment in *data and returns its size in bytes.
static size_t
write_sample_segment(struct fixture *fixture, uint8_t **data)
{
    ck_assert_int_eq(fixture_open(fixture), OUTCOME_OK);
    ck_assert_int_eq(store_save_state(fixture->group, 2, 1), OUTCOME_OK);
    append_synced(fixture, 1, 4, 2);
    fixture_close(fixture);
    return read_file(fixture, LOG_1, data);
}

// Guards against a log that does not open after a crash: a crash during a
// write can cut the last record at any byte.
START_TEST(test_torn_tail_at_every_offset)
{
    struct fixture fixture;
    uint8_t *data;

    fixture_init(&fixture);
    size_t size = write_sample_segment(&fixture, &data);
    for (size_t cut = 0; cut < RECORD_SIZE; cut++) {
        write_file(&fixture, LOG_1, data, size - RECORD_SIZE + cut);
        ck_assert_int_eq(store_check(fixture.dir, &fixture.report),
                         OUTCOME_OK);
        ck_assert_int_eq(fixture_open(&fixture), OUTCOME_OK);
        ck_assert(report_has(&fixture, "torn tail") == (cut > 0));
        check_entries(&fixture, 1, 3, 2);
        append_synced(&fixture, 4, 5, 2);
        fixture_close(&fixture);
        ck_assert_int_eq(fixture_open(&fixture), OUTCOME_OK);
        ck_assert_uint_eq(buffer_get_size(&fixture.report), 0);
        check_entries(&fixture, 1, 5, 2);
        fixture_close(&fixture);
    }
    free(data);
    fixture_destroy(&fixture);
}
END_TEST

// Guards against a log that does not open after a crash: the file has its full
// length, but its last sectors were not written and read as zeros.
START_TEST(test_torn_tail_with_unwritten_sectors)
{
    static const size_t zeros[] = {RECORD_SIZE, RECORD_SIZE - 1, 60, 33, 17};
    struct fixture fixture;
    uint8_t *data;

    fixture_init(&fixture);
    size_t size = write_sample_segment(&fixture, &data);
    uint8_t *torn = xmalloc(size + 1024);
    for (size_t i = 0; i < ARRAY_SIZE(zeros); i++) {
        memcpy(torn, data, size);
        memset(torn + size - zeros[i], 0, zeros[i] + 1024);
        write_file(&fixture, LOG_1, torn, size + 1024);
        ck_assert_int_eq(fixture_open(&fixture), OUTCOME_OK);
        ck_assert(report_has(&fixture, "torn tail"));
        check_entries(&fixture, 1, 3, 2);
        fixture_close(&fixture);
    }
    free(torn);
    free(data);
    fixture_destroy(&fixture);
}
END_TEST

// Guards against a torn tail that is taken for corruption: a crash left one
// sector unwritten, and later records of the same unsynced write are valid.
START_TEST(test_torn_tail_before_unsynced_record)
{
    struct fixture fixture;
    uint8_t *data;

    fixture_init(&fixture);
    ck_assert_int_eq(fixture_open(&fixture), OUTCOME_OK);
    append_synced(&fixture, 1, 2, 2);
    for (uint64_t i = 3; i <= 20; i++) {
        ck_assert_int_eq(append(&fixture, i, 2), OUTCOME_OK);
    }
    ck_assert_int_eq(store_sync(fixture.store), OUTCOME_OK);
    fixture_close(&fixture);
    size_t size = read_file(&fixture, LOG_1, &data);
    memset(data + 512, 0, 512); // an unwritten sector
    write_file(&fixture, LOG_1, data, size);
    ck_assert_int_eq(fixture_open(&fixture), OUTCOME_OK);
    ck_assert(report_has(&fixture, "torn tail"));
    ck_assert_uint_ge(fixture.saved.entries_count, 2);
    ck_assert_uint_lt(fixture.saved.entries_count, 20);
    check_entries(&fixture, 1, fixture.saved.entries_count, 2);
    free(data);
    fixture_destroy(&fixture);
}
END_TEST

// Guards against silent loss of acknowledged entries: a sector of zeros among
// records that were each synced is corruption, not a torn tail.
START_TEST(test_lost_synced_sector_is_corrupt)
{
    struct fixture fixture;
    uint8_t *data;

    fixture_init(&fixture);
    ck_assert_int_eq(fixture_open(&fixture), OUTCOME_OK);
    append_synced(&fixture, 1, 20, 2);
    fixture_close(&fixture);
    size_t size = read_file(&fixture, LOG_1, &data);
    memset(data + 512, 0, 512);
    write_file(&fixture, LOG_1, data, size);
    ck_assert_int_eq(fixture_open(&fixture), OUTCOME_CORRUPT);
    free(data);
    fixture_destroy(&fixture);
}
END_TEST

// Offsets within a record of the byte that a test changes: in the payload
// size, type, synced size, payload checksum, header checksum, index, term and
// payload.
static const size_t corrupt_offsets[] = {0,  2,  4,  8,  15, 16,
                                         24, 31, 32, 40, 48, 87};

// Guards against use of corrupt records: a changed byte in any field of a
// record must be detected, and the file must stay as it is.
START_TEST(test_corrupt_record_is_refused)
{
    struct fixture fixture;
    uint8_t *data;

    fixture_init(&fixture);
    size_t size = write_sample_segment(&fixture, &data);
    // _i selects the record (first, middle or last of the segment) and the
    // offset within it.
    const size_t starts[] = {0, size - 3 * RECORD_SIZE, size - RECORD_SIZE};
    size_t offset = starts[_i / (int)ARRAY_SIZE(corrupt_offsets)] +
                    corrupt_offsets[_i % (int)ARRAY_SIZE(corrupt_offsets)];
    data[offset] ^= 0x40;
    write_file(&fixture, LOG_1, data, size);
    ck_assert_int_eq(store_check(fixture.dir, &fixture.report),
                     OUTCOME_CORRUPT);
    ck_assert_int_eq(fixture_open(&fixture), OUTCOME_CORRUPT);
    ck_assert(report_has(&fixture, "log-0000000000000001: byte"));
    ck_assert(report_has(&fixture, "corrupt"));
    uint8_t *after;
    ck_assert_uint_eq(read_file(&fixture, LOG_1, &after), size);
    ck_assert_int_eq(memcmp(after, data, size), 0); // the file is unchanged
    free(after);
    free(data);
    fixture_destroy(&fixture);
}
END_TEST

// Guards against silent loss of entries: a segment before the last one was
// synced as a whole, so a shorter one or a missing first one is corruption.
START_TEST(test_truncated_earlier_segment_is_corrupt)
{
    struct fixture fixture;
    uint8_t *data;

    fixture_init(&fixture);
    fixture.segment_size_bytes = 256;
    ck_assert_int_eq(fixture_open(&fixture), OUTCOME_OK);
    append_synced(&fixture, 1, 6, 1);
    fixture_close(&fixture);
    size_t size = read_file(&fixture, LOG_1, &data);
    write_file(&fixture, LOG_1, data, size - 1);
    ck_assert_int_eq(fixture_open(&fixture), OUTCOME_CORRUPT);
    fixture_close(&fixture);
    write_file(&fixture, LOG_1, data, size - RECORD_SIZE); // a record less
    ck_assert_int_eq(fixture_open(&fixture), OUTCOME_CORRUPT);
    fixture_close(&fixture);
    char path[256];
    get_path(&fixture, LOG_1, path);
    ck_assert_int_eq(unlink(path), 0);
    ck_assert_int_eq(fixture_open(&fixture), OUTCOME_CORRUPT);
    free(data);
    fixture_destroy(&fixture);
}
END_TEST

// Guards against silent loss of entries: a gap in the segment sequence is
// corruption.
START_TEST(test_missing_segment)
{
    struct fixture fixture;
    char path[256];

    fixture_init(&fixture);
    fixture.segment_size_bytes = 256;
    ck_assert_int_eq(fixture_open(&fixture), OUTCOME_OK);
    append_synced(&fixture, 1, 9, 1);
    fixture_close(&fixture);
    get_path(&fixture, LOG_2, path);
    ck_assert_int_eq(unlink(path), 0);
    ck_assert_int_eq(fixture_open(&fixture), OUTCOME_CORRUPT);
    ck_assert(report_has(&fixture, "segment 0000000000000002 is missing"));
    fixture_destroy(&fixture);
}
END_TEST

// Guards against a log that does not open after a crash: the crash came before
// the header of a new segment was written.
START_TEST(test_torn_new_segment)
{
    struct fixture fixture;

    fixture_init(&fixture);
    for (size_t size = 0; size < 32; size += 31) {
        ck_assert_int_eq(fixture_open(&fixture), OUTCOME_OK);
        uint64_t next = fixture.saved.entries_count + 1;
        append_synced(&fixture, next, next + 2, 1);
        fixture_close(&fixture);
        static const uint8_t zeros[32];
        write_file(&fixture,
                   size == 0 ? LOG_2 : GROUP_DIR "log-0000000000000003", zeros,
                   size);
        ck_assert_int_eq(fixture_open(&fixture), OUTCOME_OK);
        check_entries(&fixture, 1, next + 2, 1);
        append_synced(&fixture, next + 3, next + 3, 1);
        fixture_close(&fixture);
    }
    ck_assert_int_eq(fixture_open(&fixture), OUTCOME_OK);
    check_entries(&fixture, 1, 8, 1);
    fixture_destroy(&fixture);
}
END_TEST

// Guards against use of a corrupt snapshot: a changed byte in any field must
// be detected.
START_TEST(test_corrupt_snapshot)
{
    static const size_t offsets[] = {0, 4, 16, 24, 32, 40, 56, 70};
    struct fixture fixture;
    uint8_t *data;
    const char *name = GROUP_DIR "snapshot-0000000000000002";

    fixture_init(&fixture);
    ck_assert_int_eq(fixture_open(&fixture), OUTCOME_OK);
    append_synced(&fixture, 1, 4, 1);
    ck_assert_int_eq(save_snapshot(&fixture, 2, 1), OUTCOME_OK);
    fixture_close(&fixture);
    size_t size = read_file(&fixture, name, &data);
    for (size_t i = 0; i < ARRAY_SIZE(offsets); i++) {
        data[offsets[i]] ^= 1;
        write_file(&fixture, name, data, size);
        ck_assert_int_eq(fixture_open(&fixture), OUTCOME_CORRUPT);
        ck_assert(report_has(&fixture, "the snapshot is corrupt"));
        fixture_close(&fixture);
        data[offsets[i]] ^= 1;
    }
    // The temporary file of an interrupted snapshot is ignored.
    write_file(&fixture, GROUP_DIR "snapshot-0000000000000004.tmp", data, 20);
    write_file(&fixture, name, data, size);
    ck_assert_int_eq(fixture_open(&fixture), OUTCOME_OK);
    ck_assert_uint_eq(fixture.saved.snapshot.index, 2);
    check_entries(&fixture, 3, 4, 1);
    free(data);
    fixture_destroy(&fixture);
}
END_TEST

// Guards against damage by a full disk: a write fails at different bytes of a
// batch of two entries. The synced entries must remain and the group must
// refuse writes.
START_TEST(test_disk_full)
{
    struct fixture fixture;

    fixture_init(&fixture);
    for (int64_t space = 0; space < 2 * RECORD_SIZE; space += 13) {
        ck_assert_int_eq(fixture_open(&fixture), OUTCOME_OK);
        uint64_t next = fixture.saved.entries_count + 1;
        check_entries(&fixture, 1, next - 1, 1);
        append_synced(&fixture, next, next, 1);
        fixture.space_bytes = space;
        int first = append(&fixture, next + 1, 1);
        int second = first == OUTCOME_OK ? append(&fixture, next + 2, 1)
                                         : OUTCOME_NO_SPACE;
        ck_assert_int_eq(second, OUTCOME_NO_SPACE);
        ck_assert_int_ne(append(&fixture, next + 1, 1), OUTCOME_OK);
        ck_assert_int_ne(store_sync(fixture.store), OUTCOME_OK);
        fixture_close(&fixture);
        // Opening needs no disk space, and no unsynced record is left.
        ck_assert_int_eq(fixture_open(&fixture), OUTCOME_OK);
        ck_assert_uint_eq(buffer_get_size(&fixture.report), 0);
        check_entries(&fixture, 1, next, 1);
        fixture_close(&fixture);
        fixture.space_bytes = INT64_MAX;
    }
    fixture_destroy(&fixture);
}
END_TEST

// Guards against damage by a full disk while a snapshot is saved or a new
// segment is created.
START_TEST(test_disk_full_snapshot_and_segment)
{
    struct fixture fixture;

    fixture_init(&fixture);
    fixture.segment_size_bytes = 256;
    ck_assert_int_eq(fixture_open(&fixture), OUTCOME_OK);
    append_synced(&fixture, 1, 3, 1);
    fixture.space_bytes = 50;
    ck_assert_int_eq(save_snapshot(&fixture, 2, 1), OUTCOME_NO_SPACE);
    fixture.space_bytes = 50;
    ck_assert_int_eq(append(&fixture, 4, 1), OUTCOME_NO_SPACE);
    fixture_close(&fixture);
    ck_assert_int_eq(fixture_open(&fixture), OUTCOME_OK);
    ck_assert(!fixture.saved.has_snapshot);
    check_entries(&fixture, 1, 3, 1);
    fixture.space_bytes = INT64_MAX;
    append_synced(&fixture, 4, 6, 1);
    fixture_destroy(&fixture);
}
END_TEST

// Guards against acknowledging writes after a failed sync: the kernel may drop
// the unsynced data, so a later sync must not succeed.
START_TEST(test_failed_sync)
{
    struct fixture fixture;

    fixture_init(&fixture);
    ck_assert_int_eq(fixture_open(&fixture), OUTCOME_OK);
    append_synced(&fixture, 1, 2, 1);
    ck_assert_int_eq(append(&fixture, 3, 1), OUTCOME_OK);
    fixture.syncs_left = 0;
    ck_assert_int_eq(store_sync(fixture.store), OUTCOME_IO);
    fixture.syncs_left = INT64_MAX;
    ck_assert_int_ne(store_sync(fixture.store), OUTCOME_OK);
    fixture_close(&fixture);
    ck_assert_int_eq(fixture_open(&fixture), OUTCOME_OK);
    check_entries(&fixture, 1, 2, 1); // entry 3 was not synced
    fixture_destroy(&fixture);
}
END_TEST

// Guards against two processes that write to the same data folder.
START_TEST(test_lock_is_exclusive)
{
    struct fixture fixture;
    struct fixture second;

    fixture_init(&fixture);
    ck_assert_int_eq(fixture_open(&fixture), OUTCOME_OK);
    second = fixture;
    memset(&second.report, 0, sizeof(second.report));
    ck_assert_int_eq(fixture_open(&second), OUTCOME_LOCKED);
    ck_assert(report_has(&second, "another process uses this folder"));
    ck_assert_int_eq(store_check(fixture.dir, &second.report), OUTCOME_LOCKED);
    buffer_free(&second.report);
    fixture_close(&fixture);
    ck_assert_int_eq(store_check(fixture.dir, &fixture.report), OUTCOME_OK);
    ck_assert_int_eq(fixture_open(&fixture), OUTCOME_OK);
    fixture_destroy(&fixture);
}
END_TEST

// Guards against state of another VM, voter or data folder: files that were
// copied between disks must not be used.
START_TEST(test_foreign_files_are_refused)
{
    struct fixture fixture;
    struct fixture other;
    uint8_t *data;
    uint8_t *old;

    fixture_init(&fixture);
    fixture_init(&other);
    size_t size = write_sample_segment(&fixture, &data);
    free(data);
    ck_assert_int_eq(fixture_open_as(&fixture, "zuid-1", 1), OUTCOME_DENIED);
    ck_assert(report_has(&fixture, "belongs to VM noord-1, not to VM zuid-1"));
    fixture_close(&fixture);
    ck_assert_int_eq(fixture_open_as(&fixture, "noord-1", 2), OUTCOME_DENIED);
    ck_assert(report_has(&fixture, "belongs to voter 1 of group fleet, not to "
                                   "voter 2 of group fleet"));
    fixture_close(&fixture);
    // The identity file of the group comes from another data folder.
    (void)write_sample_segment(&other, &old);
    free(old);
    const char *identity = GROUP_DIR "identity";
    size_t identity_size = read_file(&other, identity, &data);
    size_t old_size = read_file(&fixture, identity, &old);
    write_file(&fixture, identity, data, identity_size);
    ck_assert_int_eq(fixture_open(&fixture), OUTCOME_DENIED);
    ck_assert(report_has(&fixture, "belongs to another data folder"));
    fixture_close(&fixture);
    old[old_size - 3] ^= 1;
    write_file(&fixture, identity, old, old_size);
    ck_assert_int_eq(fixture_open(&fixture), OUTCOME_CORRUPT);
    fixture_close(&fixture);
    old[old_size - 3] ^= 1;
    write_file(&fixture, identity, old, old_size);
    // The segment comes from another data folder.
    free(data);
    ck_assert_uint_eq(read_file(&other, LOG_1, &data), size);
    write_file(&fixture, LOG_1, data, size);
    ck_assert_int_eq(fixture_open(&fixture), OUTCOME_CORRUPT);
    free(data);
    free(old);
    fixture_destroy(&fixture);
    fixture_destroy(&other);
}
END_TEST

// Guards against old state after a removal: the VM joins the group again under
// a new voter id and must start empty.
START_TEST(test_remove_group)
{
    struct fixture fixture;

    fixture_init(&fixture);
    ck_assert_int_eq(fixture_open(&fixture), OUTCOME_OK);
    append_synced(&fixture, 1, 4, 2);
    store_group_close(fixture.group);
    ck_assert_int_eq(store_group_remove(fixture.store, "fleet"), OUTCOME_OK);
    ck_assert(!store_has_group(fixture.store, "fleet"));
    fixture_close(&fixture);
    ck_assert_int_eq(fixture_open_as(&fixture, "noord-1", 7), OUTCOME_OK);
    ck_assert_uint_eq(fixture.saved.entries_count, 0);
    ck_assert_uint_eq(fixture.saved.term, 0);
    append_synced(&fixture, 1, 1, 1);
    fixture_destroy(&fixture);
}
END_TEST

// Guards against store_check changing the folder that it verifies.
START_TEST(test_check_is_read_only)
{
    struct fixture fixture;
    uint8_t *data;
    uint8_t *after;

    fixture_init(&fixture);
    size_t size = write_sample_segment(&fixture, &data);
    write_file(&fixture, LOG_1, data, size - 5);
    buffer_clear(&fixture.report);
    ck_assert_int_eq(store_check(fixture.dir, &fixture.report), OUTCOME_OK);
    ck_assert(report_has(&fixture, "torn tail of 83 bytes"));
    ck_assert(report_has(&fixture, "group fleet: voter 1, term 2, snapshot "
                                   "at 0, log up to 3, 1 segments"));
    ck_assert_uint_eq(read_file(&fixture, LOG_1, &after), size - 5);
    free(after);
    free(data);
    ck_assert_int_eq(store_check("/tmp/catkingrade-none", &fixture.report),
                     OUTCOME_NOT_FOUND);
    fixture_destroy(&fixture);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_round_trip);
    tcase_add_test(tests, test_snapshot_and_compaction);
    tcase_add_test(tests, test_torn_tail_at_every_offset);
    tcase_add_test(tests, test_torn_tail_with_unwritten_sectors);
    tcase_add_test(tests, test_torn_tail_before_unsynced_record);
    tcase_add_test(tests, test_lost_synced_sector_is_corrupt);
    tcase_add_loop_test(tests, test_corrupt_record_is_refused, 0,
                        3 * (int)ARRAY_SIZE(corrupt_offsets));
    tcase_add_test(tests, test_truncated_earlier_segment_is_corrupt);
    tcase_add_test(tests, test_missing_segment);
    tcase_add_test(tests, test_torn_new_segment);
    tcase_add_test(tests, test_corrupt_snapshot);
    tcase_add_test(tests, test_disk_full);
    tcase_add_test(tests, test_disk_full_snapshot_and_segment);
    tcase_add_test(tests, test_failed_sync);
    tcase_add_test(tests, test_lock_is_exclusive);
    tcase_add_test(tests, test_foreign_files_are_refused);
    tcase_add_test(tests, test_remove_group);
    tcase_add_test(tests, test_check_is_read_only);
}

TEST_MAIN("store", add_tests)
