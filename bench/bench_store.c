#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "bench/bench.h"
#include "catkingrade/decide/raft/raft.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"
#include "catkingrade/store/store.h"

// Rate of durable log appends with real fsync, and duration of a restart from
// logs and snapshots of different sizes.

#define BENCH_VM               "bench-1"
#define BENCH_GROUP            "fleet"
#define BENCH_PATH_SIZE        512
#define DOCUMENT_BYTES         200
#define APPEND_DURATION_US     2000000
#define APPEND_MAX_SYNCS       20000
#define STATE_BYTES_PER_CHANGE 250 // in a snapshot
#define HEARTBEAT_US           100000
#define ELECTION_US            500000
#define RESTART_BATCH_SIZE     100
#define RESTARTS_COUNT         5

// A temporary data folder with one group, for one measurement.
struct bench_folder {
    char dir[BENCH_PATH_SIZE];
    struct store *store;
    struct store_group *group;
    struct raft_saved saved;
    struct buffer payload;
    struct raft_snapshot initial_snapshot; // contains the voters
};

static void
bench_remove_tree(const char *dir)
{
    char path[BENCH_PATH_SIZE + 256];
    DIR *folder = opendir(dir);
    const struct dirent *item;

    while (folder != NULL && (item = readdir(folder)) != NULL) {
        if (strcmp(item->d_name, ".") == 0 ||
            strcmp(item->d_name, "..") == 0) {
            continue;
        }
        (void)snprintf(path, sizeof(path), "%s/%s", dir, item->d_name);
        if (unlink(path) != 0) {
            bench_remove_tree(path); // NOLINT(misc-no-recursion)
        }
    }
    if (folder != NULL) {
        (void)closedir(folder);
    }
    (void)rmdir(dir);
}

// Opens the store and its group. Prints the store's report after an error.
static int
bench_folder_open(struct bench_folder *folder)
{
    const struct store_params params = {.dir = folder->dir, .vm = BENCH_VM};
    struct buffer report = {0};
    int outcome = store_open(&params, &folder->store, &report);

    if (outcome == OUTCOME_OK) {
        outcome = store_group_open(folder->store, BENCH_GROUP, 1,
                                   &folder->group, &folder->saved, &report);
    }
    if (outcome != OUTCOME_OK) {
        (void)fprintf(stderr, "%.*s", (int)buffer_get_size(&report),
                      (const char *)buffer_get_data(&report));
    }
    buffer_free(&report);
    return outcome;
}

static void
bench_folder_close(struct bench_folder *folder)
{
    store_saved_free(&folder->saved);
    if (folder->store != NULL) {
        store_close(folder->store);
        folder->store = NULL;
    }
}

// Encodes a payload of the size of a typical change to a customer.
static void
bench_encode_payload(struct buffer *payload)
{
    char document[DOCUMENT_BYTES + 1];
    struct ck_log_payload change = {
        .change_id = (char *)(uintptr_t) "bench-change-0001"};

    memset(document, 'x', DOCUMENT_BYTES);
    document[DOCUMENT_BYTES] = '\0';
    change.change.kind = CK_CHANGE_CUSTOMER;
    change.change.ck_change_u.document.name = (char *)(uintptr_t) "customer";
    change.change.ck_change_u.document.document = document;
    int outcome =
        codec_encode((xdrproc_t)xdr_ck_log_payload, &change, payload);
    INVARIANT(outcome == OUTCOME_OK);
}

static int
bench_folder_create(struct bench_folder *folder, const char *parent)
{
    memset(folder, 0, sizeof(*folder));
    (void)snprintf(folder->dir, sizeof(folder->dir),
                   "%s/catkingrade-bench-XXXXXX", parent);
    if (mkdtemp(folder->dir) == NULL) {
        perror(folder->dir);
        return OUTCOME_IO;
    }
    bench_encode_payload(&folder->payload);
    return bench_folder_open(folder);
}

static void
bench_folder_destroy(struct bench_folder *folder)
{
    bench_folder_close(folder);
    buffer_free(&folder->payload);
    free(folder->initial_snapshot.data);
    bench_remove_tree(folder->dir);
}

// Appends `count` entries from an index on and syncs them once.
static int
bench_append(struct bench_folder *folder, uint64_t from_index, uint64_t count)
{
    struct ck_log_entry entry = {
        .term = 1,
        .payload = {.payload_len = (u_int)buffer_get_size(&folder->payload),
                    .payload_val =
                        (char *)(uintptr_t)buffer_get_data(&folder->payload)}};

    for (uint64_t i = 0; i < count; i++) {
        entry.index = from_index + i;
        int outcome = store_append(folder->group, &entry);
        if (outcome != OUTCOME_OK) {
            return outcome;
        }
    }
    return store_sync(folder->store);
}

static int
compare_us(const void *left, const void *right)
{
    int64_t a = *(const int64_t *)left;
    int64_t b = *(const int64_t *)right;

    return (a > b) - (a < b);
}

// Measures the rate and latency of appends with one sync per batch.
static int
bench_measure_appends(const char *parent, uint64_t batch)
{
    static int64_t latencies_us[APPEND_MAX_SYNCS];
    struct bench_folder folder;
    char text[80];
    size_t syncs = 0;
    int outcome = bench_folder_create(&folder, parent);
    int64_t begin_us = monotonic_get_us();
    int64_t now_us = begin_us;

    while (outcome == OUTCOME_OK && syncs < APPEND_MAX_SYNCS &&
           now_us - begin_us < APPEND_DURATION_US) {
        outcome = bench_append(&folder, syncs * batch + 1, batch);
        int64_t end_us = monotonic_get_us();
        latencies_us[syncs++] = end_us - now_us;
        now_us = end_us;
    }
    bench_folder_destroy(&folder);
    if (outcome != OUTCOME_OK) {
        return outcome;
    }
    qsort(latencies_us, syncs, sizeof(*latencies_us), compare_us);
    (void)snprintf(text, sizeof(text), "appends, %lu per sync", batch);
    bench_report(text,
                 (double)(syncs * batch) * 1e6 / (double)(now_us - begin_us),
                 "1/s");
    (void)snprintf(text, sizeof(text), "append and sync of %lu, p50", batch);
    int64_t p50_us = latencies_us[syncs / 2];
    bench_report(text, (double)p50_us / 1000, "ms");
    (void)snprintf(text, sizeof(text), "append and sync of %lu, p99", batch);
    int64_t p99_us = latencies_us[syncs * 99 / 100];
    bench_report(text, (double)p99_us / 1000, "ms");
    return OUTCOME_OK;
}

static struct raft *
bench_create_raft(const struct raft_saved *saved)
{
    const struct ck_voter voter = {1, (char *)(uintptr_t)BENCH_VM,
                                   (char *)(uintptr_t) "127.0.0.1", 1, TRUE};
    const struct raft_params params = {
        .group = BENCH_GROUP,
        .self = 1,
        .heartbeat_us = HEARTBEAT_US,
        .election_us = ELECTION_US,
        .max_pending_entries = 1,
        .max_pending_bytes = CK_BLOB_SIZE,
        .snapshot_entries = UINT64_MAX,
        .snapshot_bytes = SIZE_MAX,
        .voters = &voter,
        .voters_count = 1,
    };

    return raft_create(&params, saved, 0);
}

// Starts a single voter, which elects itself and applies the whole log.
// Returns the number of applied entries, including the entry that the voter
// adds at the start of its new term.
static uint64_t
bench_replay(const struct raft_saved *saved)
{
    const struct raft_event tick = {.kind = RAFT_EVENT_TICK};
    struct raft *raft = bench_create_raft(saved);
    struct raft_actions actions = {0};
    uint64_t applied = 0;

    raft_step(raft, ELECTION_US * 2, &tick, &actions);
    for (size_t i = 0; i < actions.count; i++) {
        struct ck_log_payload payload = {0};
        const struct ck_log_entry *entry = &actions.items[i].entry;
        if (actions.items[i].kind == RAFT_ACTION_APPLY &&
            codec_decode((xdrproc_t)xdr_ck_log_payload,
                         entry->payload.payload_val,
                         entry->payload.payload_len, &payload) == OUTCOME_OK) {
            codec_free((xdrproc_t)xdr_ck_log_payload, &payload);
            applied++;
        }
    }
    raft_actions_free(&actions);
    raft_destroy(raft);
    return applied;
}

// Stores the initial snapshot of a group and keeps a copy for later snapshots.
static int
bench_save_initial_snapshot(struct bench_folder *folder)
{
    const struct raft_event tick = {.kind = RAFT_EVENT_TICK};
    struct raft *raft = bench_create_raft(&folder->saved);
    struct raft_actions actions = {0};

    raft_step(raft, 0, &tick, &actions);
    folder->initial_snapshot = *raft_get_snapshot(raft);
    folder->initial_snapshot.data =
        (uint8_t *)xmemdupz((char *)folder->initial_snapshot.data,
                            folder->initial_snapshot.size_bytes);
    raft_actions_free(&actions);
    raft_destroy(raft);
    return store_save_snapshot(folder->group, &folder->initial_snapshot);
}

// Stores a snapshot of the size that the state after `index` changes has.
static int
bench_save_snapshot(struct bench_folder *folder, uint64_t index)
{
    struct raft_snapshot snapshot = folder->initial_snapshot;

    snapshot.index = index;
    snapshot.term = 1;
    snapshot.size_bytes += index * STATE_BYTES_PER_CHANGE;
    snapshot.data = xcalloc(1, snapshot.size_bytes);
    memcpy(snapshot.data, folder->initial_snapshot.data,
           folder->initial_snapshot.size_bytes);
    int outcome = store_save_snapshot(folder->group, &snapshot);
    free(snapshot.data);
    return outcome;
}

// Fills the log with changes. snapshot_interval is the number of changes
// between snapshots; 0: no snapshots.
static int
bench_fill_log(struct bench_folder *folder, uint64_t changes,
               uint64_t snapshot_interval)
{
    int outcome = bench_save_initial_snapshot(folder);

    if (outcome == OUTCOME_OK) {
        outcome = store_save_state(folder->group, 1, 1);
    }
    for (uint64_t i = 0; i < changes && outcome == OUTCOME_OK;
         i += RESTART_BATCH_SIZE) {
        uint64_t count = changes - i < RESTART_BATCH_SIZE ? changes - i
                                                          : RESTART_BATCH_SIZE;
        outcome = bench_append(folder, i + 1, count);
        if (outcome == OUTCOME_OK && snapshot_interval > 0 &&
            (i + count) / snapshot_interval > i / snapshot_interval) {
            outcome = bench_save_snapshot(
                folder, (i + count) / snapshot_interval * snapshot_interval);
        }
    }
    return outcome;
}

// Times of one restart, from opening the folder until the last entry is
// applied. The election timeout is not included.
struct bench_restart {
    int64_t total_us;
    int64_t read_us;
    uint64_t applied;
};

static int
bench_restart_once(struct bench_folder *folder, struct bench_restart *restart)
{
    int64_t begin_us = monotonic_get_us();
    int outcome = bench_folder_open(folder);

    if (outcome == OUTCOME_OK) {
        restart->read_us = monotonic_get_us() - begin_us;
        restart->applied = bench_replay(&folder->saved);
        restart->total_us = monotonic_get_us() - begin_us;
    }
    bench_folder_close(folder);
    return outcome;
}

static int
compare_restarts(const void *left, const void *right)
{
    return compare_us(&((const struct bench_restart *)left)->total_us,
                      &((const struct bench_restart *)right)->total_us);
}

// Measures restarts after a number of changes and reports the median.
static int
bench_measure_restarts(const char *parent, uint64_t changes,
                       uint64_t snapshot_interval)
{
    struct bench_folder folder;
    struct bench_restart restarts[RESTARTS_COUNT];
    char text[80];
    int outcome = bench_folder_create(&folder, parent);

    if (outcome == OUTCOME_OK) {
        outcome = bench_fill_log(&folder, changes, snapshot_interval);
    }
    bench_folder_close(&folder);
    for (size_t i = 0; i < RESTARTS_COUNT && outcome == OUTCOME_OK; i++) {
        outcome = bench_restart_once(&folder, &restarts[i]);
    }
    bench_folder_destroy(&folder);
    if (outcome != OUTCOME_OK) {
        return outcome;
    }
    qsort(restarts, RESTARTS_COUNT, sizeof(*restarts), compare_restarts);
    const struct bench_restart *median = &restarts[RESTARTS_COUNT / 2];
    (void)snprintf(text, sizeof(text),
                   snapshot_interval == 0
                       ? "restart after %lu changes, log only"
                       : "restart after %lu changes, snapshot every %lu",
                   changes, snapshot_interval);
    bench_report(text, (double)median->total_us / 1000, "ms");
    bench_report("  reading the data folder", (double)median->read_us / 1000,
                 "ms");
    bench_report("  log entries replayed", (double)median->applied, "");
    return OUTCOME_OK;
}

static int
bench_store_run(int argc, char **argv)
{
    static const uint64_t batches[] = {1, 16, 256};
    static const struct {
        uint64_t changes;
        uint64_t snapshot_interval;
    } restarts[] = {{500, 0},     {500, 250},    {16000, 0},
                    {16000, 250}, {16000, 1000}, {16000, 4000}};
    const char *parent = argc > 0 ? argv[0] : "/var/tmp";
    int outcome = OUTCOME_OK;

    for (size_t i = 0; i < ARRAY_SIZE(batches) && outcome == OUTCOME_OK; i++) {
        outcome = bench_measure_appends(parent, batches[i]);
    }
    for (size_t i = 0; i < ARRAY_SIZE(restarts) && outcome == OUTCOME_OK;
         i++) {
        outcome = bench_measure_restarts(parent, restarts[i].changes,
                                         restarts[i].snapshot_interval);
    }
    return outcome;
}

static const struct bench bench_store = {
    .name = "store",
    .help = "[DIR]: appends per second with real fsync, and restart times, in "
            "a new folder under DIR",
    .run = bench_store_run,
};

BENCH_REGISTER(bench_store)
