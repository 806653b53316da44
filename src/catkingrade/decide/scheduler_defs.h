#ifndef CATKINGRADE_DECIDE_SCHEDULER_DEFS_H
#define CATKINGRADE_DECIDE_SCHEDULER_DEFS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/rpc/messages.h"

// Events and actions of the scheduler: one for each database that an
// entry serves. Upstreams are named by their place in the database's list of
// the view that is in force (upstream_id stays the same across views for the
// same upstream name).

#define SCHEDULER_NO_ID UINT32_MAX

// The highest (term, log position) that a session wrote or read.
struct scheduler_floor {
    uint64_t term;
    uint64_t lsn;
};

enum scheduler_class {
    SCHEDULER_CLASS_READ,  // may run on a replica
    SCHEDULER_CLASS_WRITE, // primary only; a single statement that commits
                           // itself
    SCHEDULER_CLASS_BEGIN, // opens a transaction: pins a connection
    SCHEDULER_CLASS_BEGIN_READ_ONLY,
    SCHEDULER_CLASS_IN_TRANSACTION, // goes to the pinned connection
    SCHEDULER_CLASS_COMMIT,         // ends a transaction that may have written
    SCHEDULER_CLASS_ROLLBACK,
};

// What the upstream's side said of a request.
enum scheduler_result {
    SCHEDULER_RESULT_DONE,     // whole answer, no error
    SCHEDULER_RESULT_ERROR,    // whole answer that is an error; not run
    SCHEDULER_RESULT_FAILED,   // whole answer: it ran, and the upstream failed
    SCHEDULER_RESULT_NOT_SENT, // no byte reached the upstream
    SCHEDULER_RESULT_REFUSED,  // not run, by the upstream's word
    SCHEDULER_RESULT_CONN_LOST, // connection ended after bytes were sent
    SCHEDULER_RESULT_PARTIAL,   // cut after part of the answer went out
};

// Why an upstream refused a statement without running it.
enum scheduler_refusal {
    SCHEDULER_REFUSAL_NONE,
    SCHEDULER_REFUSAL_BUSY,
    SCHEDULER_REFUSAL_BEHIND,    // its log lacks the position asked for
    SCHEDULER_REFUSAL_READ_ONLY, // it is no primary
};

enum scheduler_close_reason {
    SCHEDULER_CLOSE_ABNORMAL, // a transaction or request was left open
    SCHEDULER_CLOSE_SILENT,
    SCHEDULER_CLOSE_QUOTA,
    SCHEDULER_CLOSE_LEAVING,
    SCHEDULER_CLOSE_SUPERSEDED,
    SCHEDULER_CLOSE_IDLE,
};

enum scheduler_event_kind {
    SCHEDULER_EVENT_VIEW,
    SCHEDULER_EVENT_LEASE,
    SCHEDULER_EVENT_SESSION_OPEN,
    SCHEDULER_EVENT_SESSION_FLOOR, // a token came by SET
    SCHEDULER_EVENT_SESSION_CLOSE,
    SCHEDULER_EVENT_REQUEST,
    SCHEDULER_EVENT_REQUEST_CANCEL, // the caller went away or cancelled
    SCHEDULER_EVENT_RESULT,
    SCHEDULER_EVENT_CONN_OPENED,
    SCHEDULER_EVENT_CONN_FAILED,
    SCHEDULER_EVENT_CONN_READY, // reset or proof has succeeded
    SCHEDULER_EVENT_SAMPLE,
    SCHEDULER_EVENT_SAMPLE_FAILED,
    SCHEDULER_EVENT_DRAIN,
    SCHEDULER_EVENT_TICK,
};

// The view and quotas stay valid until the next event of the same kind.
struct scheduler_view {
    const struct ck_customer *customer;
    const struct ck_database *database;
    const struct ck_quota *quotas;
    size_t quotas_count;
    const char *failure_domain; // of this entry
    bool relayed; // its one upstream is another entry, which routes
};

// The lease of the database's group: writes of this term may be acknowledged
// until the moment given.
struct scheduler_lease {
    uint64_t term;
    int64_t valid_until_us;
    bool revoked;
};

struct scheduler_session_open {
    uint64_t session;
    bool floor_known;  // a valid token came; floor holds it
    bool declared_new; // starts with an empty floor
    bool replaces;     // SESSION_FLOOR: also when it is lower
    struct scheduler_floor floor;
    int64_t floor_age_us; // since when that position exists
};

struct scheduler_request {
    uint64_t session;
    uint64_t request; // unique in this machine
    enum scheduler_class request_class;
    char type[64];            // request type's name; empty: the first one
    int64_t deadline_us;      // 0: the type's
    int64_t max_age_us;       // accepted age; -1: the type's
    int64_t queue_timeout_us; // longest useful wait for a slot; 0: any
    bool repeatable;          // the caller says it may run twice
    bool has_key;             // carries an idempotency key
    bool primary_only;        // also when it only reads
    bool reads_keep_floor; // what it reads does not raise its session's floor
};

struct scheduler_result_event {
    uint64_t request;
    uint32_t conn;
    enum scheduler_result result;
    enum scheduler_refusal refusal; // REFUSED
    bool in_transaction;            // state after the answer
    bool answer_held;            // whole answer is buffered, nothing passed on
    struct ck_position position; // of the upstream after it; 0: not known
    struct scheduler_floor floor; // of the session, by another entry's word
};

struct scheduler_conn_event {
    uint32_t upstream;
    uint32_t conn;
    bool refused; // the upstream's host answered with a refusal
    bool silent;  // no answer before the time limit
};

struct scheduler_sample {
    uint32_t upstream;
    bool is_primary;
    bool refused; // SAMPLE_FAILED: refused, otherwise silent
    bool full;    // SAMPLE_FAILED: it takes no more connections, but lives
    struct ck_position position;
    int64_t asked_at_us; // monotonic, before the sample was asked for
    int64_t round_trip_us;
};

struct scheduler_event {
    enum scheduler_event_kind kind;
    union {
        struct scheduler_view view;
        struct scheduler_lease lease;
        struct scheduler_session_open session_open; // and SESSION_FLOOR
        uint64_t session;                           // SESSION_CLOSE
        struct scheduler_request request;
        uint64_t request_cancel;
        struct scheduler_result_event result;
        struct scheduler_conn_event conn;
        struct scheduler_sample sample;
    };
};

enum scheduler_action_kind {
    SCHEDULER_ACTION_OPEN,    // open conn to upstream
    SCHEDULER_ACTION_CLOSE,   // close conn, with reason
    SCHEDULER_ACTION_RESET,   // DISCARD ALL, then CONN_READY or CONN_FAILED
    SCHEDULER_ACTION_PROVE,   // one round trip, then CONN_READY or CONN_FAILED
    SCHEDULER_ACTION_SEND,    // run request on conn
    SCHEDULER_ACTION_ANSWER,  // pass the held answer on, with floor as token
    SCHEDULER_ACTION_REFUSE,  // not_run, with outcome and retry_after_us
    SCHEDULER_ACTION_UNKNOWN, // unknown (08007)
    SCHEDULER_ACTION_WARN,    // pass the answer on, unconfirmed, with warning
    SCHEDULER_ACTION_CANCEL,  // ask the upstream to stop request on conn
    SCHEDULER_ACTION_SAMPLE,  // sample the position of upstream now
    SCHEDULER_ACTION_SUSPECT, // tell the control group
    SCHEDULER_ACTION_CONFIRM_REVOKED, // nothing of term is acknowledged
                                      // anymore
    SCHEDULER_ACTION_WAKE,            // send TICK at wake_at_us
    SCHEDULER_ACTION_END_SESSION,     // clean end at a transaction boundary
};

struct scheduler_action {
    enum scheduler_action_kind kind;
    uint32_t upstream;
    uint32_t conn;
    uint64_t session;
    uint64_t request;
    int outcome;            // REFUSE: enum outcome
    int64_t retry_after_us; // REFUSE
    int64_t wake_at_us;     // WAKE
    // REFUSE and UNKNOWN, for the log: since its arrival, and what was left
    // of the lease, negative when it had run out.
    int64_t waited_us;
    int64_t lease_left_us;
    uint64_t term; // CONFIRM_REVOKED, SUSPECT
    enum scheduler_close_reason close_reason;
    enum ck_suspicion_kind suspicion;
    int64_t since_us;             // SUSPECT: when it began to fail
    struct scheduler_floor floor; // ANSWER: the session's new floor
    bool on_replica;              // SEND
    uint64_t after_lsn;           // SEND: to run only where the log has it
    const char *reason;           // constant text: why there
};

// A growable list of actions, filled by one step and read by the adapter.
struct scheduler_actions {
    struct scheduler_action *items;
    size_t count;
    size_t capacity;
};

#endif
