#ifndef CATKINGRADE_ENTRY_JOB_H
#define CATKINGRADE_ENTRY_JOB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/entry/statement.h"
#include "catkingrade/entry/typed_statement.h"
#include "catkingrade/kernel/buffer.h"
#include "catkingrade/rpc/messages.h"

// Work that a request gives to an upstream connection, and the answer to it.

#define JOB_KEY_SIZE 128 // with the terminating NUL
// Settings hash of a connection whose session settings are unknown. It matches
// no job, so that the settings are discarded before the next job.
#define JOB_SETTINGS_UNKNOWN UINT64_MAX

enum job_step_kind {
    JOB_STEP_PARSE,
    JOB_STEP_BIND,
    JOB_STEP_DESCRIBE_STATEMENT,
    JOB_STEP_DESCRIBE_PORTAL,
    JOB_STEP_EXECUTE,
    JOB_STEP_CLOSE,
};

// One message of PostgreSQL's extended query protocol.
struct job_step {
    enum job_step_kind kind;
    struct statement *statement;
    struct portal *portal;
    uint32_t max_rows; // EXECUTE: row limit; 0: none
};

// Input and answer of one run on an upstream connection. The input is a typed
// statement, a simple query, or the messages of the extended query protocol up
// to a Sync.
struct job {
    struct typed_statement *typed; // typed statement; NULL: SQL
    char *text;                    // simple query; NULL: steps are run
    bool one_statement;            // the simple query is a single statement
    bool in_transaction;    // runs in a transaction opened by an earlier job
    bool want_position;     // read the log position after the commit
    bool changes_settings;  // the job changes session settings (SET)
    char *settings_text;    // session settings, as SET statements
    uint64_t settings_hash; // of settings_text; 0: no settings
    uint64_t settings_hash_after; // of the settings after the job
    char key[JOB_KEY_SIZE];       // idempotency key; empty: none
    struct job_step *steps;
    size_t steps_count;

    // Answer. The buffer holds the upstream's wire messages without
    // ReadyForQuery.
    struct buffer answer;
    size_t steps_done;
    bool failed; // the answer ends with an error
    bool position_known;
    enum typed_refusal refusal; // the upstream did not run the statement
    char transaction_status;    // I, T or E, as in ReadyForQuery
    struct ck_position position;
    struct scheduler_floor floor; // session's, from the relay entry
};

struct job_step *job_add_step(struct job *job, enum job_step_kind kind);
void job_clear_answer(struct job *job);
void job_free(struct job *job);

#endif
