#ifndef CATKINGRADE_ENTRY_JOB_H
#define CATKINGRADE_ENTRY_JOB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/entry/statement.h"
#include "catkingrade/entry/typed_statement.h"
#include "catkingrade/kernel/buffer.h"
#include "catkingrade/rpc/messages.h"

#define JOB_KEY_SIZE         128
#define JOB_SETTINGS_UNKNOWN UINT64_MAX

enum job_step_kind {
    JOB_STEP_PARSE,
    JOB_STEP_BIND,
    JOB_STEP_DESCRIBE_STATEMENT,
    JOB_STEP_DESCRIBE_PORTAL,
    JOB_STEP_EXECUTE,
    JOB_STEP_CLOSE,
};

// One message of the extended protocol.
struct job_step {
    enum job_step_kind kind;
    struct statement *statement;
    struct portal *portal;
    uint32_t max_rows; // EXECUTE; 0: all
};

// What a request asks an upstream to run, and the answer: a simple query, or
// the messages of the extended protocol up to a Sync.
struct job {
    struct typed_statement *typed; // a statement that is no SQL; NULL: SQL
    char *text;                    // simple query; NULL: steps
    bool one_statement;            // the simple query is a single statement
    bool in_transaction;           // runs in a transaction that is open
    bool want_position;            // read the log position after a commit
    bool changes_settings;  // SET: the connection's state differs after it
    char *settings_text;    // session settings, as SET statements
    uint64_t settings_hash; // 0: none
    uint64_t settings_hash_after;
    char key[JOB_KEY_SIZE]; // idempotency key; empty: none
    struct job_step *steps;
    size_t steps_count;

    // The answer. Wire messages, without ReadyForQuery.
    struct buffer answer;
    size_t steps_done;
    bool failed; // the answer ends with an error
    bool position_known;
    enum typed_refusal refusal; // it has not run, by the upstream's word
    char transaction_status;    // I, T or E, as in ReadyForQuery
    struct ck_position position;
    struct scheduler_floor floor; // of the session, told by another entry
};

struct job_step *job_add_step(struct job *job, enum job_step_kind kind);
void job_clear_answer(struct job *job);
void job_free(struct job *job);

#endif
