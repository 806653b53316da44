#ifndef CATKINGRADE_DECIDE_SCHEDULER_DEFS_H
#define CATKINGRADE_DECIDE_SCHEDULER_DEFS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/rpc/messages.h"

// Events and actions of the scheduler, the interface to its adapter. An entry
// has one scheduler for each database that it serves. Upstreams are identified
// by the index that the scheduler assigned to their name; an index stays the
// same across views.

#define SCHEDULER_NO_ID UINT32_MAX

// Read floor of a session: the highest (term, log position) that the session
// wrote or read. An upstream must have applied it to serve the session.
struct scheduler_floor {
    uint64_t term;
    uint64_t lsn;
};

// Class of a request, which decides where the request may run.
enum scheduler_class {
    SCHEDULER_CLASS_READ,  // may run on a replica
    SCHEDULER_CLASS_WRITE, // primary only; an autocommit statement
    SCHEDULER_CLASS_BEGIN, // opens a transaction and pins a connection
    SCHEDULER_CLASS_BEGIN_READ_ONLY,
    SCHEDULER_CLASS_IN_TRANSACTION, // runs on the pinned connection
    SCHEDULER_CLASS_COMMIT,         // ends a transaction that may have written
    SCHEDULER_CLASS_ROLLBACK,
};

// Result of a request as the adapter reports it for the upstream.
enum scheduler_result {
    SCHEDULER_RESULT_DONE,   // complete answer without an error
    SCHEDULER_RESULT_ERROR,  // complete answer: an error, no effect
    SCHEDULER_RESULT_FAILED, // complete answer: it ran, upstream failed
    // The statement was not sent, or the upstream rolls back the open
    // transaction in which it was sent. Either way it has no effect.
    SCHEDULER_RESULT_NOT_SENT,
    SCHEDULER_RESULT_REFUSED,   // the upstream refused it without running it
    SCHEDULER_RESULT_CONN_LOST, // connection lost after bytes were sent
    SCHEDULER_RESULT_PARTIAL,   // connection lost while passing the answer on
};

// Reason for which an upstream refused a statement without running it.
enum scheduler_refusal {
    SCHEDULER_REFUSAL_NONE,
    SCHEDULER_REFUSAL_BUSY,
    SCHEDULER_REFUSAL_BEHIND,    // it has not applied the required position
    SCHEDULER_REFUSAL_READ_ONLY, // it is not a primary
};

// Reason for which the scheduler closes a connection.
enum scheduler_close_reason {
    SCHEDULER_CLOSE_ABNORMAL,   // a transaction or request is still open
    SCHEDULER_CLOSE_SILENT,     // no answer within connect_timeout_us
    SCHEDULER_CLOSE_QUOTA,      // above the entry's connection quota
    SCHEDULER_CLOSE_LEAVING,    // the upstream takes no more work
    SCHEDULER_CLOSE_SUPERSEDED, // the primary's term has ended
    SCHEDULER_CLOSE_IDLE,       // unused for long
    SCHEDULER_CLOSE_EVICTED,    // another customer needs its place
};

enum scheduler_event_kind {
    SCHEDULER_EVENT_VIEW,
    SCHEDULER_EVENT_LEASE,
    SCHEDULER_EVENT_SESSION_OPEN,
    SCHEDULER_EVENT_SESSION_FLOOR, // the client sent a session token with SET
    SCHEDULER_EVENT_SESSION_CLOSE,
    SCHEDULER_EVENT_REQUEST,
    SCHEDULER_EVENT_REQUEST_CANCEL, // the caller disconnected or cancelled
    SCHEDULER_EVENT_RESULT,
    SCHEDULER_EVENT_CONN_OPENED,
    SCHEDULER_EVENT_CONN_FAILED,
    SCHEDULER_EVENT_CONN_READY, // a reset or a validation has succeeded
    SCHEDULER_EVENT_SAMPLE,
    SCHEDULER_EVENT_SAMPLE_FAILED,
    SCHEDULER_EVENT_DRAIN,  // accept no new transactions
    SCHEDULER_EVENT_FINISH, // end all requests, and refuse later ones
    SCHEDULER_EVENT_TICK,
};

// Snapshot of the control group's configuration of the database and of this
// entry's quotas. The pointers stay valid until the next VIEW event.
struct scheduler_view {
    const struct ck_customer *customer;
    const struct ck_database *database;
    const struct ck_quota *quotas;
    size_t quotas_count;
    const char *failure_domain; // of this entry
    bool relayed; // the only upstream is another entry, which routes requests
};

// Lease that the control group grants to this entry for one term: writes of
// this term may be acknowledged until valid_until_us. See scheduler_lease.h.
struct scheduler_lease {
    uint64_t term;
    int64_t valid_until_us;
    bool revoked; // the term ends now; valid_until_us is not used
};

struct scheduler_session_open {
    uint64_t session;
    bool floor_known;  // a valid token was received; floor is set from it
    bool declared_new; // the session starts with an empty floor
    bool replaces;     // SESSION_FLOOR: floor replaces also a higher one
    struct scheduler_floor floor;
    int64_t floor_age_us; // time since the floor was last raised
};

struct scheduler_request {
    uint64_t session;
    uint64_t request; // unique in this scheduler
    enum scheduler_class request_class;
    char type[64];            // request type's name; empty: the default type
    char customer[64];        // on whose behalf it runs; empty: no customer
    int64_t deadline_us;      // 0: the type's default
    int64_t max_age_us;       // accepted age of data; -1: the type's default
    int64_t queue_timeout_us; // maximum wait for a slot; 0: no limit
    bool repeatable;          // the caller allows it to run more than once
    bool has_key;             // carries an idempotency key
    bool primary_only;        // runs on the primary even if it only reads
    bool reads_keep_floor;    // reading does not raise the session's floor
};

struct scheduler_result_event {
    uint64_t request;
    uint32_t conn;
    enum scheduler_result result;
    enum scheduler_refusal refusal; // REFUSED
    bool in_transaction;            // a transaction is open after the answer
    bool answer_held;               // complete answer buffered, not passed on
    struct ck_position position;    // of the upstream; lsn 0: unknown
    struct scheduler_floor floor;   // session's, from the relay entry
};

struct scheduler_conn_event {
    uint32_t upstream;
    uint32_t conn;
    bool refused; // the upstream's host refused the connection
    bool silent;  // no answer within the time limit
};

struct scheduler_sample {
    uint32_t upstream;
    bool is_primary;
    bool refused; // SAMPLE_FAILED: refused; false: no answer
    bool full;    // SAMPLE_FAILED: alive, but at its connection limit
    struct ck_position position;
    int64_t asked_at_us; // monotonic time before the sample was requested
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
    SCHEDULER_ACTION_OPEN,     // open conn to upstream
    SCHEDULER_ACTION_CLOSE,    // close conn, with reason
    SCHEDULER_ACTION_RESET,    // DISCARD ALL, then CONN_READY or CONN_FAILED
    SCHEDULER_ACTION_VALIDATE, // ping conn, then CONN_READY or CONN_FAILED
    SCHEDULER_ACTION_SEND,     // run request on conn
    SCHEDULER_ACTION_ANSWER,   // pass buffered answer on; floor is the token
    SCHEDULER_ACTION_REFUSE,   // not_run, with outcome and retry_after_us
    SCHEDULER_ACTION_UNKNOWN,  // end as unknown (SQLSTATE 08007)
    SCHEDULER_ACTION_WARN,    // pass the answer on with a warning: unconfirmed
    SCHEDULER_ACTION_CANCEL,  // ask the upstream to cancel request on conn
    SCHEDULER_ACTION_SAMPLE,  // sample the position of upstream now
    SCHEDULER_ACTION_SUSPECT, // report the upstream to the control group
    SCHEDULER_ACTION_CONFIRM_REVOKED,  // report: no more commits acked in term
    SCHEDULER_ACTION_WAKE,             // send a TICK event at wake_at_us
    SCHEDULER_ACTION_END_SESSION,      // end session outside a transaction
    SCHEDULER_ACTION_REPORT_SLOW,      // log: upstream was found slow
    SCHEDULER_ACTION_REPORT_RECOVERED, // log: upstream is no longer slow
};

// One action for the adapter. Fields that name an action kind are set for it
// only.
struct scheduler_action {
    enum scheduler_action_kind kind;
    uint32_t upstream;
    uint32_t conn;
    uint64_t session;
    uint64_t request;
    int outcome;            // REFUSE: enum outcome
    int64_t retry_after_us; // REFUSE
    int64_t wake_at_us;     // WAKE
    // Final actions, for the log: time since the request's arrival.
    int64_t waited_us;
    // SEND and final actions, for the log: remaining time of the lease,
    // negative when the lease has run out.
    int64_t lease_left_us;
    uint64_t term; // SEND and final actions, CONFIRM_REVOKED, SUSPECT
    enum scheduler_close_reason close_reason;
    enum ck_suspicion_kind suspicion;
    int64_t since_us;             // SUSPECT: time of the first failure
    struct scheduler_floor floor; // ANSWER: the session's new floor
    bool on_replica;              // SEND
    uint64_t after_lsn;           // SEND: position the replica must have
    const char *reason;           // constant text: why this action
    const char *customer;         // OPEN: whose connection it will be, or ""
    // REPORT_SLOW, REPORT_RECOVERED: latency of reads (of writes at a primary
    // without reads) at present and with little load; 0: unknown.
    int64_t latency_us;
    int64_t usual_latency_us;
};

// Growable list of actions, filled by a scheduler step and executed by the
// adapter. Zero-initialised is empty and valid.
struct scheduler_actions {
    struct scheduler_action *items;
    size_t count;
    size_t capacity;
};

#endif
