#ifndef CATKINGRADE_STORE_STORE_INTERNAL_H
#define CATKINGRADE_STORE_STORE_INTERNAL_H

#include "catkingrade/store/store.h"

#define STORE_PATH_SIZE           512
#define STORE_MAX_DIR_SIZE        300
#define STORE_NAME_SIZE           64
#define STORE_RECORD_HEADER_BYTES 32

// A record of a segment or snapshot: a head with the payload's size, its
// type, how many bytes of the file were synced when it was written, and
// checksums of the payload and of the head itself; then the payload.
enum store_record_type {
    STORE_RECORD_SEGMENT = 1, // first of each segment
    STORE_RECORD_STATE = 2,
    STORE_RECORD_ENTRY = 3,
    STORE_RECORD_TRUNCATE = 4,
    STORE_RECORD_SNAPSHOT = 5, // the only one of its file
};

struct store_record {
    uint32_t type;
    uint64_t synced_bytes;
    const uint8_t *payload;
    size_t size_bytes;
    size_t total_bytes;
};

enum store_parse {
    STORE_PARSE_OK,
    STORE_PARSE_TRUNCATED, // the file ends inside the record
    STORE_PARSE_CORRUPT,   // a checksum is wrong
};

// What the first record of a segment says.
struct store_segment_header {
    uint64_t folder;
    uint64_t voter;
    uint64_t sequence;
    uint64_t term;
    uint64_t voted_for;
    uint64_t last_index; // of the log when the segment began
};

struct store_segment {
    uint64_t sequence;
    uint64_t max_index; // of the entries it holds
};

// Who a folder or a group's folder belongs to.
struct store_identity {
    uint64_t folder;
    uint64_t voter;
    char name[STORE_NAME_SIZE]; // VM or group
};

// What was read from a group's folder.
struct store_image {
    struct store_identity identity;
    struct raft_saved saved;
    struct ck_log_entry *entries;
    size_t entries_count;
    size_t entries_capacity;
    uint64_t last_index;
    struct store_segment *segments;
    size_t segments_count;
    size_t tail_valid_bytes; // of the last segment
    size_t tail_file_bytes;
    bool tail_is_torn;
};

struct store {
    struct store_params params;
    char *dir;
    char *vm;
    int lock_fd;
    struct store_identity identity;
    struct store_group *groups; // those that are open
};

struct store_group {
    struct store *store;
    struct store_group *next;
    struct store_identity identity;
    char dir[STORE_PATH_SIZE];
    uint64_t term;
    uint64_t voted_for;
    uint64_t last_index;
    uint64_t snapshot_index;
    struct store_segment *segments; // the last one is written to
    size_t segments_count;
    int fd; // of the last segment; -1: none is open
    size_t size_bytes;
    size_t synced_bytes;
    bool failed;
};

// store_file.c
extern const struct store_io store_system_io;
int store_get_errno_outcome(int error);
int store_report_errno(struct buffer *report, const char *what,
                       const char *path);
int store_write_all(const struct store_io *io, int fd, const void *data,
                    size_t size_bytes);
int store_sync_dir(const char *dir);
int store_make_dir(const char *dir);
int store_read_file(const char *path, struct buffer *data);
int store_replace_file(const struct store_io *io, const char *dir,
                       const char *name, const void *data, size_t size_bytes);
void store_format_path(char path[STORE_PATH_SIZE], const char *dir,
                       const char *name);

// store_record.c
uint64_t store_get_le64(const uint8_t *data);
void store_append_le64(struct buffer *buffer, uint64_t value);
void store_record_append(struct buffer *out, enum store_record_type type,
                         uint64_t seed, uint64_t synced_bytes,
                         const struct buffer *payload);
enum store_parse store_record_parse(const uint8_t *data, size_t size_bytes,
                                    uint64_t seed,
                                    struct store_record *record);
bool store_is_torn(const uint8_t *data, size_t size_bytes, size_t at,
                   uint64_t seed);

// store_identity.c
int store_identity_read(const char *dir, const char *kind,
                        struct store_identity *identity,
                        struct buffer *report);
int store_identity_write(const struct store_io *io, const char *dir,
                         const char *kind,
                         const struct store_identity *identity);
bool store_is_valid_name(const char *name);

// store_segment.c
void store_segment_format_name(char name[64], uint64_t sequence);
int store_segment_write(struct store_group *group, enum store_record_type type,
                        const struct buffer *payload);
int store_segment_sync(struct store_group *group);
void store_segment_remove_covered(struct store_group *group);

// store_snapshot.c
void store_snapshot_format_name(char name[64], uint64_t index);
int store_snapshot_read(const char *dir, uint64_t folder, uint64_t index,
                        struct raft_snapshot *snapshot, struct buffer *report);
int store_snapshot_write(const struct store_io *io, const char *dir,
                         uint64_t folder,
                         const struct raft_snapshot *snapshot);

// store_image.c
int store_list_numbered_files(const char *dir, const char *prefix,
                              uint64_t **numbers, size_t *count);
int store_image_read(const char *dir, uint64_t folder,
                     struct store_image *image, struct buffer *report);
void store_image_free(struct store_image *image);

#endif
