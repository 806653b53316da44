#ifndef CATKINGRADE_PLUGINS_LIBPQ_LINK_H
#define CATKINGRADE_PLUGINS_LIBPQ_LINK_H

#include <libpq-fe.h>
#include <stdbool.h>

#include "catkingrade/entry/job.h"
#include "catkingrade/entry/upstream_link.h"
#include "catkingrade/kernel/loop.h"

// State that the modules of the libpq upstream share; private to them.

// What the link waits for.
enum libpq_phase {
    LIBPQ_PHASE_CONNECT,
    LIBPQ_PHASE_IDLE,
    LIBPQ_PHASE_DISCARD,
    LIBPQ_PHASE_SETTINGS,
    LIBPQ_PHASE_KEY_BEGIN,
    LIBPQ_PHASE_KEY_INSERT,
    LIBPQ_PHASE_KEY_FIND,
    LIBPQ_PHASE_SIMPLE_QUERY,
    LIBPQ_PHASE_PIPELINE, // MAIN of a job of the extended protocol
    LIBPQ_PHASE_KEY_STORE_ANSWER,
    LIBPQ_PHASE_KEY_COMMIT,
    LIBPQ_PHASE_KEY_ROLLBACK,
    LIBPQ_PHASE_POSITION,
    LIBPQ_PHASE_CHECK,
    LIBPQ_PHASE_SAMPLE,
    LIBPQ_PHASE_FAILED,
};

// One command of a pipeline, in the order of its results.
enum libpq_command_kind {
    LIBPQ_COMMAND_LOCAL, // no result of the upstream
    LIBPQ_COMMAND_PREPARE,
    LIBPQ_COMMAND_DESCRIBE,
    LIBPQ_COMMAND_EXECUTE,
    LIBPQ_COMMAND_SYNC,
    LIBPQ_COMMAND_POSITION,
};

struct libpq_command {
    enum libpq_command_kind kind;
    bool silent;   // PREPARE that the client didn't ask for
    bool describe; // EXECUTE: its columns are wanted too
    bool simple;   // EXECUTE of a simple query
    size_t step;   // of the job
};

struct libpq_link {
    struct upstream_link base;
    const struct upstream_link_events *events;
    void *data;
    struct loop *loop;
    struct loop_watch *watch;
    struct loop_timer *timer;
    int watch_fd;
    PGconn *conn;
    struct job *job;
    enum libpq_phase phase;
    enum upstream_fault pending_fault; // told by the timer
    bool failed;                       // the present phase has met an error
    bool key_found;
    bool answered; // the job's answer is whole, the rest is about its position
    int64_t check_timeout_us;
    int64_t asked_at_us;
    uint64_t settings_hash;
    char (*prepared)[STATEMENT_NAME_SIZE];
    size_t prepared_count;
    size_t prepared_capacity;
    char key_tag[STATEMENT_TAG_SIZE]; // of the save under a key
    struct libpq_command *commands;
    size_t commands_count;
    size_t commands_capacity;
    size_t commands_done;
    struct upstream_sample sample;
};

// Sends a job's messages as one pipeline. Returns whether libpq took them.
bool libpq_pipeline_send(struct libpq_link *link);
// Handles the results that have come. Returns whether the pipeline has ended.
bool libpq_pipeline_read(struct libpq_link *link);
void libpq_link_parse_position(const char *text, struct ck_position *position);
void libpq_link_clear_prepared(struct libpq_link *link);

#endif
