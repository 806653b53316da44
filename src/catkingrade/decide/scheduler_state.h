#ifndef CATKINGRADE_DECIDE_SCHEDULER_STATE_H
#define CATKINGRADE_DECIDE_SCHEDULER_STATE_H

#include "catkingrade/decide/circuit_breaker.h"
#include "catkingrade/decide/concurrency.h"
#include "catkingrade/decide/freshness.h"
#include "catkingrade/decide/id_map.h"
#include "catkingrade/decide/replica_lag.h"
#include "catkingrade/decide/scheduler.h"
#include "catkingrade/decide/timers.h"

// State that the modules of the scheduler share; private to them.

#define SCHEDULER_NAME_SIZE 64
#define SCHEDULER_TRIES_MAX 3
#define SCHEDULER_SECOND_US INT64_C(1000000)
#define SCHEDULER_MS_US     INT64_C(1000)
#define SCHEDULER_NO_WAKE   INT64_MAX
#define SCHEDULER_TYPES_MAX 65

struct request;
struct session;

struct request_list {
    struct request *first;
    struct request *last;
    uint32_t count;
};

enum conn_state {
    CONN_FREE, // no connection in this place
    CONN_OPENING,
    CONN_IDLE,
    CONN_BUSY,     // a request runs on it
    CONN_PINNED,   // owned by a transaction, between its statements
    CONN_CHECKING, // a reset or a proof is under way
};

struct conn {
    uint32_t id; // place and generation
    uint32_t upstream;
    uint32_t next; // in the list of idle ones, by place
    uint32_t previous;
    enum conn_state state;
    bool proof_wanted; // suspected: proves itself before its next use
    bool reset_wanted; // abandoned by its caller: reset before its next use
    bool read_only;    // the transaction that owns it is read only
    bool read;         // what runs on it may run on a replica
    bool superseded;   // to the primary of an ended term: closed when free
    uint64_t request;  // that runs on it
    uint64_t last_session; // whose state it holds
    struct session *session;
    int64_t opened_us;
    int64_t proved_us;    // last time the upstream answered on it
    int64_t since_us;     // entered its state
    int64_t used_us;      // last request sent on it
    int64_t abandoned_us; // its request has been ended; 0: not
};

// What the machine knows of one upstream. Places never change.
struct upstream {
    char name[SCHEDULER_NAME_SIZE];
    const struct ck_upstream *config; // NULL: not in the view
    bool near;                        // in the entry's failure domain
    bool takes_work;                  // ready, or a primary that leaves
    bool relayed;                     // another entry, which routes
    struct replica_lag lag;
    struct concurrency concurrency;
    struct circuit_breaker circuit_breaker;
    int64_t answered_us;  // its last answer
    uint32_t slots;       // this entry's share
    uint32_t connections; // less the one for samples
    bool may_sample;
    uint32_t running;
    uint32_t reads; // of those that run, reads
    uint32_t open;  // connections open or opening
    uint32_t opening;
    uint32_t idle;
    uint32_t idle_first; // list of idle connections, last used first
    uint32_t idle_last;
    uint32_t waiting; // requests of the present dispatch that lack a conn
    uint32_t waiting_round;
    struct request_list pinned; // statements of transactions that wait
    int64_t latency_us;         // moving average of statements
    struct ck_position position;
    int64_t position_requested_us; // when the last sample was asked for
    int64_t caught_up_us;          // has all that was committed before; -1: ?
    double apply_rate;             // log bytes a microsecond
    bool sampled;
    bool in_current_term; // position is one of the present term's log
    bool writable;        // primary: does not say that it still is a replica
    bool sample_pending;
    bool sample_again;
    int64_t sample_sent_us;
    int64_t failing_since_us; // 0: answers
    int64_t suspected_us;     // last report to control
    int64_t open_next_us;     // earliest moment of the next open
    int64_t open_backoff_us;
};

enum request_state {
    REQUEST_WAITING,    // behind another of its session, or for its floor
    REQUEST_QUEUED,     // for a slot
    REQUEST_BACKOFF,    // for its next try
    REQUEST_RUNNING,    // sent
    REQUEST_CONFIRMING, // saved; its replicas are awaited
};

struct request {
    uint64_t id;
    struct session *session;
    struct request *next; // in a queue
    struct request *previous;
    struct request *session_next; // sent later by the same session
    int64_t arrived_us;
    int64_t deadline_us;
    int64_t start_by_us; // or it is refused; INT64_MAX: its deadline counts
    int64_t
        queue_timeout_us; // the wait for a slot that start_by_us stands for
    int64_t max_age_us;
    int64_t queued_us;
    int64_t started_us;
    int64_t wait_until_us;       // BACKOFF
    int64_t floor_wait_until_us; // end of its wait for a replica; 0: none yet
    uint64_t commit_lsn;         // CONFIRMING; 0: not known
    int64_t committed_us;
    uint64_t term; // of the primary it was sent to
    uint32_t conn;
    uint32_t tried[SCHEDULER_TRIES_MAX];
    uint8_t tries;
    uint8_t type;
    uint8_t request_class; // enum scheduler_class
    uint8_t state;         // enum request_state
    bool repeatable;
    bool has_key;
    bool stale_wait; // no upstream may serve it; waits for a while
    bool relayed;    // was sent to another entry
    bool primary_only;
    bool reads_keep_floor;
    uint64_t required_lsn;       // what a replica must have; set by the route
    int64_t required_lsn_age_us; // since when that position exists
};

struct session {
    uint64_t id;
    struct scheduler_floor floor;
    int64_t floor_us; // when it was raised last
    int64_t arrived_us;
    struct request *first; // current one, then those behind it
    struct request *last;
    struct session *floor_next; // list of those that wait for a floor
    struct session *floor_previous;
    uint32_t conn; // pinned, or SCHEDULER_NO_ID
    bool floor_known;
    bool floor_waiting; // is in the list
    bool ended;         // END_SESSION was said
    bool continuing;    // its requests are being begun or dropped
};

enum queue_kind {
    QUEUE_PRIMARY, // must run on the primary
    QUEUE_READS,   // may run on a replica
    QUEUE_COUNT,
};

struct type_queue {
    struct request_list list;
    double virtual_time;
    uint32_t blocked_round; // of the dispatch that can start no more of it
};

struct request_type {
    char name[SCHEDULER_NAME_SIZE];
    uint32_t weight;
    uint32_t queue_limit;
    int64_t deadline_us;
    int64_t max_age_us;
    bool repeatable;
    double service_us; // moving average of a statement
    struct type_queue queues[QUEUE_COUNT];
};

struct scheduler {
    struct scheduler_params params;
    int64_t now_us;
    struct scheduler_actions *actions; // of the step that runs
    struct scheduler_view view;
    uint64_t term; // of the view's database
    uint64_t random;

    struct upstream *upstreams;
    uint32_t upstreams_count;
    uint32_t upstreams_capacity;
    uint32_t *candidates; // places of upstreams that the view lists as ready
    uint32_t candidates_count;
    uint32_t primary; // SCHEDULER_NO_ID: none

    struct conn *conns;
    uint32_t conns_count;
    uint32_t conns_free; // first free place, linked by next

    struct id_map sessions;
    struct id_map requests;
    struct session *floor_first;
    struct timers timers;
    int64_t wake_at_us;
    int64_t sample_at_us;
    int64_t confirm_at_us;

    struct scheduler_lease lease;
    uint64_t min_term; // older terms have been revoked
    struct request_list confirming;

    struct request_type types[SCHEDULER_TYPES_MAX];
    uint32_t types_count;
    uint32_t slots_total; // of all upstreams that take work
    double virtual_time[QUEUE_COUNT];
    uint32_t queued[QUEUE_COUNT];
    uint32_t running;                // statements on all upstreams
    uint32_t work[QUEUE_COUNT];      // queued and running after the last step
    int64_t started_us[QUEUE_COUNT]; // when a statement last got a slot
    int64_t dispatch_resumed_us[QUEUE_COUNT]; // after the last standstill
    double work_integral[QUEUE_COUNT]; // its integral since the last report
    int64_t demand_since_us;           // moment of the last report
    uint32_t peak_work[QUEUE_COUNT];   // since the last report
    uint32_t pinned_waiting;
    uint32_t round; // number of the present dispatch
    double retry_tokens;

    struct freshness freshness;
    bool view_known;
    bool lease_known;
    bool limits_leased; // limits are those of a valid lease
    bool draining;
    uint8_t default_type; // what a request without a type gets
};

#endif
