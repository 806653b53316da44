#ifndef CATKINGRADE_DECIDE_TRAFFIC_DEFS_H
#define CATKINGRADE_DECIDE_TRAFFIC_DEFS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/rpc/messages.h"

// Events and actions of the traffic machine: one for each database that an
// entry serves. Upstreams are named by their place in the database's list of
// the view that is in force (upstream_id stays the same across views for the
// same upstream name).

#define TRAFFIC_NO_ID UINT32_MAX

// The highest (term, log position) that a session wrote or read.
struct traffic_floor {
    uint64_t term;
    uint64_t lsn;
};

enum traffic_class {
    TRAFFIC_READ,  // may run on a replica
    TRAFFIC_WRITE, // primary only; a single statement that commits itself
    TRAFFIC_BEGIN, // opens a transaction: pins a connection
    TRAFFIC_BEGIN_READ_ONLY,
    TRAFFIC_IN_TRANSACTION, // goes to the pinned connection
    TRAFFIC_COMMIT,         // ends a transaction that may have written
    TRAFFIC_ROLLBACK,
};

// What the upstream's side said of a request.
enum traffic_result {
    TRAFFIC_RESULT_DONE,     // whole answer, no error
    TRAFFIC_RESULT_ERROR,    // whole answer that is an error; not run
    TRAFFIC_RESULT_FAILED,   // whole answer: it ran, and the upstream failed
    TRAFFIC_RESULT_NOT_SENT, // no byte reached the upstream
    TRAFFIC_RESULT_REFUSED,  // not run, by the upstream's word
    TRAFFIC_RESULT_CUT,      // connection ended after bytes were sent
    TRAFFIC_RESULT_PARTIAL,  // cut after part of the answer went out
};

// Why an upstream refused a statement without running it.
enum traffic_refusal {
    TRAFFIC_REFUSAL_NONE,
    TRAFFIC_REFUSAL_BUSY,
    TRAFFIC_REFUSAL_BEHIND,    // its log lacks the position asked for
    TRAFFIC_REFUSAL_READ_ONLY, // it is no primary
};

enum traffic_close_reason {
    TRAFFIC_CLOSE_ABNORMAL, // a transaction or request was left open
    TRAFFIC_CLOSE_SILENT,
    TRAFFIC_CLOSE_QUOTA,
    TRAFFIC_CLOSE_LEAVING,
    TRAFFIC_CLOSE_SUPERSEDED,
    TRAFFIC_CLOSE_IDLE,
};

enum traffic_event_kind {
    TRAFFIC_EVENT_VIEW,
    TRAFFIC_EVENT_LEASE,
    TRAFFIC_EVENT_SESSION_OPEN,
    TRAFFIC_EVENT_SESSION_FLOOR, // a token came by SET
    TRAFFIC_EVENT_SESSION_CLOSE,
    TRAFFIC_EVENT_REQUEST,
    TRAFFIC_EVENT_REQUEST_CANCEL, // the caller went away or cancelled
    TRAFFIC_EVENT_RESULT,
    TRAFFIC_EVENT_CONN_OPENED,
    TRAFFIC_EVENT_CONN_FAILED,
    TRAFFIC_EVENT_CONN_READY, // reset or proof has succeeded
    TRAFFIC_EVENT_SAMPLE,
    TRAFFIC_EVENT_SAMPLE_FAILED,
    TRAFFIC_EVENT_DRAIN,
    TRAFFIC_EVENT_TICK,
};

// The view and quotas stay valid until the next event of the same kind.
struct traffic_view {
    const struct ck_customer *customer;
    const struct ck_database *database;
    const struct ck_quota *quotas;
    size_t quotas_count;
    const char *failure_domain; // of this entry
    bool relayed; // its one upstream is another entry, which routes
};

// The lease of the database's group: writes of this term may be acknowledged
// until the moment given.
struct traffic_lease {
    uint64_t term;
    int64_t valid_until_us;
    bool revoked;
};

struct traffic_session_open {
    uint64_t session;
    bool floor_known;  // a valid token came; floor holds it
    bool declared_new; // starts with an empty floor
    bool replaces;     // SESSION_FLOOR: also when it is lower
    struct traffic_floor floor;
    int64_t floor_age_us; // since when that position exists
};

struct traffic_request {
    uint64_t session;
    uint64_t request; // unique in this machine
    enum traffic_class request_class;
    char type[64];         // request type's name; empty: the first one
    int64_t deadline_us;   // 0: the type's
    int64_t max_age_us;    // accepted age; -1: the type's
    int64_t patience_us;   // longest useful wait for a slot; 0: any
    bool repeatable;       // the caller says it may run twice
    bool has_key;          // carries an idempotency key
    bool primary_only;     // also when it only reads
    bool reads_keep_floor; // what it reads does not raise its session's floor
};

struct traffic_result_event {
    uint64_t request;
    uint32_t conn;
    enum traffic_result result;
    enum traffic_refusal refusal; // REFUSED
    bool in_transaction;          // state after the answer
    bool answer_held;            // whole answer is buffered, nothing passed on
    struct ck_position position; // of the upstream after it; 0: not known
    struct traffic_floor floor;  // of the session, by another entry's word
};

struct traffic_conn_event {
    uint32_t upstream;
    uint32_t conn;
    bool refused; // the upstream's host answered with a refusal
    bool silent;  // no answer before the time limit
};

struct traffic_sample {
    uint32_t upstream;
    bool is_primary;
    bool refused; // SAMPLE_FAILED: refused, otherwise silent
    bool full;    // SAMPLE_FAILED: it takes no more connections, but lives
    struct ck_position position;
    int64_t asked_at_us; // monotonic, before the sample was asked for
    int64_t round_trip_us;
};

struct traffic_event {
    enum traffic_event_kind kind;
    union {
        struct traffic_view view;
        struct traffic_lease lease;
        struct traffic_session_open session_open; // and SESSION_FLOOR
        uint64_t session;                         // SESSION_CLOSE
        struct traffic_request request;
        uint64_t request_cancel;
        struct traffic_result_event result;
        struct traffic_conn_event conn;
        struct traffic_sample sample;
    };
};

enum traffic_action_kind {
    TRAFFIC_ACTION_OPEN,    // open conn to upstream
    TRAFFIC_ACTION_CLOSE,   // close conn, with reason
    TRAFFIC_ACTION_RESET,   // DISCARD ALL, then CONN_READY or CONN_FAILED
    TRAFFIC_ACTION_PROVE,   // one round trip, then CONN_READY or CONN_FAILED
    TRAFFIC_ACTION_SEND,    // run request on conn
    TRAFFIC_ACTION_ANSWER,  // pass the held answer on, with floor as token
    TRAFFIC_ACTION_REFUSE,  // not_run, with outcome and retry_after_us
    TRAFFIC_ACTION_UNKNOWN, // unknown (08007)
    TRAFFIC_ACTION_WARN,    // pass the answer on, unconfirmed, with warning
    TRAFFIC_ACTION_CANCEL,  // ask the upstream to stop request on conn
    TRAFFIC_ACTION_SAMPLE,  // sample the position of upstream now
    TRAFFIC_ACTION_SUSPECT, // tell the control group
    TRAFFIC_ACTION_CONFIRM_REVOKED, // nothing of term is acknowledged anymore
    TRAFFIC_ACTION_WAKE,            // send TICK at wake_at_us
    TRAFFIC_ACTION_END_SESSION,     // clean end at a transaction boundary
};

struct traffic_action {
    enum traffic_action_kind kind;
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
    enum traffic_close_reason close_reason;
    enum ck_suspicion_kind suspicion;
    int64_t since_us;           // SUSPECT: when it began to fail
    struct traffic_floor floor; // ANSWER: the session's new floor
    bool on_replica;            // SEND
    uint64_t after_lsn;         // SEND: to run only where the log has it
    const char *reason;         // constant text: why there
};

// A growable list of actions, filled by one step and read by the adapter.
struct traffic_actions {
    struct traffic_action *items;
    size_t count;
    size_t capacity;
};

#endif
