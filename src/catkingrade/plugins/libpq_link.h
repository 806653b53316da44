#ifndef CATKINGRADE_PLUGINS_LIBPQ_LINK_H
#define CATKINGRADE_PLUGINS_LIBPQ_LINK_H

#include <libpq-fe.h>
#include <stdbool.h>

#include "catkingrade/entry/job.h"
#include "catkingrade/entry/upstream_link.h"
#include "catkingrade/kernel/loop.h"

// Internal state of the libpq upstream driver, shared by libpq_upstream.c and
// libpq_pipeline.c.

// State of a link: the operation in progress, or the part of a job that the
// upstream is executing. A job runs through the phases from DISCARD to
// POSITION that it needs, in the order given in libpq_link_end_phase.
enum libpq_phase {
    LIBPQ_PHASE_CONNECT,
    LIBPQ_PHASE_IDLE,
    LIBPQ_PHASE_DISCARD,      // discard the state of another session
    LIBPQ_PHASE_SETTINGS,     // apply the settings of the job's session
    LIBPQ_PHASE_KEY_BEGIN,    // begin the transaction of an idempotent write
    LIBPQ_PHASE_KEY_INSERT,   // insert the idempotency key
    LIBPQ_PHASE_KEY_FIND,     // the key exists: read the stored answer
    LIBPQ_PHASE_SIMPLE_QUERY, // run the job as a simple query
    LIBPQ_PHASE_PIPELINE,     // run the job in libpq's pipeline mode
    LIBPQ_PHASE_KEY_STORE_ANSWER, // store the answer with the idempotency key
    LIBPQ_PHASE_KEY_COMMIT,       // commit the idempotent write
    LIBPQ_PHASE_KEY_ROLLBACK,     // roll back a failed or repeated write
    LIBPQ_PHASE_POSITION,         // read the log position after the commit
    LIBPQ_PHASE_CHECK,            // run the statement of reset or validate
    LIBPQ_PHASE_SAMPLE,           // read role and log position
    LIBPQ_PHASE_FAILED,           // unusable: the connection has failed
};

// Kind of a command of a pipeline. The commands are stored in the order of
// their results.
enum libpq_command_kind {
    LIBPQ_COMMAND_LOCAL, // not sent to the upstream; answered by the link
    LIBPQ_COMMAND_PREPARE,
    LIBPQ_COMMAND_DESCRIBE,
    LIBPQ_COMMAND_EXECUTE,
    LIBPQ_COMMAND_SYNC,
    LIBPQ_COMMAND_POSITION,
};

struct libpq_command {
    enum libpq_command_kind kind;
    bool implicit;     // PREPARE: its result does not complete the step
    bool describe;     // EXECUTE: also answers the Describe before it
    bool simple;       // EXECUTE: the job's simple query, without a portal
    size_t step_index; // index of the command's step in the job
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
    enum upstream_fault pending_fault; // reported when the timer fires
    bool phase_failed;                 // a statement of the phase has failed
    bool key_exists;      // the idempotency key has been used before
    bool answer_complete; // only the log position may be missing
    int64_t check_timeout_us;
    int64_t asked_at_us;
    uint64_t settings_hash;
    char (*prepared_names)[STATEMENT_NAME_SIZE];
    size_t prepared_count;
    size_t prepared_capacity;
    char command_tag[STATEMENT_TAG_SIZE]; // last command tag of the job
    struct libpq_command *commands;
    size_t commands_count;
    size_t commands_capacity;
    size_t commands_done;
    struct upstream_sample sample;
};

bool libpq_pipeline_send(struct libpq_link *link);
bool libpq_pipeline_read(struct libpq_link *link);
void libpq_link_parse_position(const char *text, struct ck_position *position);
void libpq_link_clear_prepared(struct libpq_link *link);

#endif
