#ifndef CATKINGRADE_DECIDE_SCHEDULER_STATE_H
#define CATKINGRADE_DECIDE_SCHEDULER_STATE_H

#include "catkingrade/decide/capacity/capacity.h"
#include "catkingrade/decide/id_map.h"
#include "catkingrade/decide/timers.h"
#include "catkingrade/decide/traffic/circuit_breaker.h"
#include "catkingrade/decide/traffic/concurrency.h"
#include "catkingrade/decide/traffic/customer_table.h"
#include "catkingrade/decide/traffic/freshness.h"
#include "catkingrade/decide/traffic/primary_wait.h"
#include "catkingrade/decide/traffic/refusal_loss.h"
#include "catkingrade/decide/traffic/relay_contact.h"
#include "catkingrade/decide/traffic/replica_lag.h"
#include "catkingrade/decide/traffic/scheduler.h"

// State of the scheduler, shared by and private to its modules (admission,
// confirm, dispatch, floor, pool*, request_*, retry, route and scheduler_*).
// Times are in microseconds of the monotonic clock that drives the steps.

#define SCHEDULER_NAME_SIZE 64
#define SCHEDULER_TRIES_MAX 3 // retries of one request
#define SCHEDULER_SECOND_US INT64_C(1000000)
#define SCHEDULER_MS_US     INT64_C(1000)
#define SCHEDULER_NO_WAKE   INT64_MAX
#define SCHEDULER_TYPES_MAX 65 // 64 configured types and the default type

struct request;
struct session;

// Doubly linked list of requests; see request_list.h.
struct request_list {
    struct request *first;
    struct request *last;
    uint32_t count;
};

// Queues of each request type, in the order in which they are served.
enum queue_kind {
    QUEUE_PRIMARY, // must run on the primary
    QUEUE_READS,   // may run on a replica
    QUEUE_COUNT,
};

enum conn_state {
    CONN_FREE, // no connection at this index
    CONN_OPENING,
    CONN_IDLE,
    CONN_BUSY,     // a request is in flight on it
    CONN_PINNED,   // owned by a transaction, between two statements
    CONN_CHECKING, // a reset or a validation is in flight
};

// Connection to an upstream; an element of the connection table.
struct conn {
    uint32_t id; // index in the table and generation
    uint32_t upstream;
    uint32_t customer; // index; it carries only requests of this customer
    uint32_t next;     // index of the next idle connection of the customer
    uint32_t previous;
    uint32_t newer; // idle connections of the upstream by their last use
    uint32_t older;
    enum conn_state state;
    uint32_t user;           // customer of the last request sent on it
    enum queue_kind kind;    // of that request
    double charged_us;       // slot time charged for it in advance
    bool validation_wanted;  // needs a validation before the next use
    bool reset_wanted;       // a request was abandoned: reset before reuse
    bool read_only;          // the owning transaction is read-only
    bool read;               // the in-flight request may run on a replica
    bool on_replica;         // of a statement, or when its transaction began
    bool superseded;         // the primary's term has ended: closed when free
    uint8_t overdue;         // level recorded for its statement; capacity.h
    uint64_t request;        // in flight on it
    uint64_t last_session;   // session whose state (SET) the connection holds
    struct session *session; // owner of the open transaction, or NULL
    uint64_t term; // view's term when its transaction or statement began
    int64_t opened_us;
    int64_t validated_us; // last time the upstream answered on it
    int64_t since_us;     // time of the last state change
    int64_t used_us;      // last request sent on it
    int64_t abandoned_us; // when its request was abandoned; 0: not
};

// Connections of one customer to one upstream; see pool_group.h.
struct conn_group {
    uint32_t open; // open or opening
    uint32_t opening;
    uint32_t idle;
    uint32_t idle_first; // most recently used idle connection
    uint32_t waiting;    // requests without a connection in waiting_round
    uint32_t waiting_round;
};

// State of one upstream. Its index in the table never changes.
struct upstream {
    char name[SCHEDULER_NAME_SIZE];
    const struct ck_upstream *config; // NULL: not in the current view
    bool near;                        // in the entry's failure domain
    bool takes_work; // ready, or a leaving primary with time left
    bool relayed;    // the upstream is another entry
    char relay_host[SCHEDULER_NAME_SIZE]; // of that entry, if it is fixed
    struct replica_lag lag;
    struct concurrency concurrency;
    struct capacity capacity; // with learned_capacity
    // When the oldest overdue statement in flight was sent; 0: none.
    int64_t overdue_since_us;
    struct circuit_breaker circuit_breaker;
    // Since when this incarnation is known to leave; 0: it does not.
    int64_t leaving_us;
    uint64_t leaving_incarnation;
    int64_t answered_us;  // time of the last answer
    uint32_t slots;       // quota of this entry: requests in flight
    uint32_t connections; // quota without the connection for samples
    bool may_sample;      // the quota has a connection for samples
    uint32_t running;     // slots in use
    uint32_t reads;       // slots in use by reads
    uint32_t open;        // connections open or opening
    uint32_t opening;
    uint32_t idle;
    uint32_t idle_first;        // most recently used idle connection
    uint32_t idle_last;         // least recently used one
    uint32_t groups;            // customers with connections open or opening
    struct conn_group unowned;  // connections of no customer
    int64_t open_us;            // moving average of opening times; 0: unknown
    struct request_list pinned; // queued statements of open transactions
    int64_t latency_us;         // moving average of answer times
    struct ck_position position;
    int64_t position_requested_us; // when the position was requested
    int64_t caught_up_us;          // has all commits before; -1: unknown
    double apply_rate;             // moving average, log bytes per microsecond
    bool sampled;                  // position is set
    bool in_current_term;          // position is in the present term's log
    bool writable; // primary: last sample did not report a replica
    bool sample_pending;
    bool sample_again; // another sample is needed after the pending one
    int64_t sample_sent_us;
    // First failure since the last answer, for a relay the last one; 0: none.
    int64_t failing_since_us;
    int64_t suspected_us; // time of the last report to the control group
    int64_t open_next_us; // earliest time to open another connection
    int64_t open_backoff_us;
};

enum request_state {
    REQUEST_WAITING,    // for an earlier request or the session's floor
    REQUEST_QUEUED,     // for a slot
    REQUEST_BACKOFF,    // for its next attempt
    REQUEST_RUNNING,    // in flight at an upstream
    REQUEST_CONFIRMING, // committed; waits for replicas to confirm
};

// Request from its arrival to its final action.
struct request {
    uint64_t id;
    struct session *session;
    struct request *next; // in a request_list
    struct request *previous;
    struct request *session_next; // next request of the session
    struct fair_queue *fair;      // in which it waits; see fair_queue.h
    struct request *fair_next;
    struct request *fair_previous;
    int64_t arrived_us;
    int64_t deadline_us;
    int64_t start_by_us;      // end of the queue timeout; INT64_MAX: none
    int64_t queue_timeout_us; // 0: none
    int64_t max_age_us;       // accepted age of data
    int64_t queued_us;
    int64_t started_us;
    int64_t wait_until_us;       // BACKOFF
    int64_t conn_wake_us;        // end of a wait for a connection in use
    int64_t floor_wait_until_us; // end of the wait for a replica; 0: none
    uint64_t commit_lsn;         // CONFIRMING; 0: unknown
    int64_t committed_us;
    uint64_t term; // the view's when it, or its transaction, was first sent
    uint32_t conn;
    uint32_t customer;                   // index, on whose behalf it runs
    uint32_t tried[SCHEDULER_TRIES_MAX]; // upstreams of failed attempts
    uint8_t tries;
    uint8_t type;
    uint8_t request_class; // enum scheduler_class
    uint8_t state;         // enum request_state
    bool repeatable;
    bool has_key;
    bool limit_wait; // a timer ends its wait for a learned limit
    bool stale_wait; // no upstream is fresh enough; bounded wait
    bool relayed;    // was sent to a relay entry
    bool primary_only;
    bool reads_keep_floor;
    uint64_t required_lsn;       // that a replica must have; set by route
    int64_t required_lsn_age_us; // age of that position
};

// Session of a client. Its requests run one after the other.
struct session {
    uint64_t id;
    struct scheduler_floor floor;
    int64_t floor_us; // when the floor was last raised
    int64_t arrived_us;
    struct request *first; // current request, head of session_next list
    struct request *last;
    struct session *floor_next; // list of sessions that wait for a floor
    struct session *floor_previous;
    uint32_t conn; // pinned connection, or SCHEDULER_NO_ID
    bool floor_known;
    bool floor_waiting; // is in the list of floor_first
    bool ended;         // END_SESSION was sent or the session closes
    bool continuing;    // requests are begun or dropped; prevents recursion
};

// Requests of one customer that wait in the queue of one type.
struct fair_queue {
    struct fair_queue *next; // all queues of this kind
    struct fair_queue *previous;
    struct request *first;
    struct request *last;
    uint32_t count;
    uint32_t customer;
    uint32_t blocked_round; // dispatch round in which none can start
    uint8_t type;
    enum queue_kind kind;
};

// Queue of one request type for weighted fair queueing.
struct type_queue {
    struct request_list list;
    struct fair_queue unowned; // the requests of no customer in list
    uint32_t fair_count;       // customers with requests in list
    double virtual_time;
    uint32_t blocked_round; // dispatch round in which none can start
};

// Request type of the customer, with its queues.
struct request_type {
    char name[SCHEDULER_NAME_SIZE];
    uint32_t weight;
    uint32_t queue_limit;
    int64_t deadline_us;
    int64_t max_age_us;
    bool repeatable;
    double service_us; // moving average of the time a slot is held
    struct type_queue queues[QUEUE_COUNT];
};

// Scheduler of one database.
struct scheduler {
    struct scheduler_params params;
    int64_t now_us;
    struct scheduler_actions *actions; // output of the present step, else NULL
    struct scheduler_view view;
    uint64_t term;   // term of the view's database
    uint64_t random; // state of the pseudo-random generator

    struct upstream *upstreams;
    uint32_t upstreams_count;
    uint32_t upstreams_capacity;
    uint32_t *candidates; // indices of the upstreams in state ready
    uint32_t candidates_count;
    uint32_t primary; // index; SCHEDULER_NO_ID: none
    // Index of the last primary in a view that was not relayed, also if it has
    // been lost since; SCHEDULER_NO_ID: none so far.
    uint32_t own_primary;

    struct conn *conns;
    uint32_t conns_count;
    uint32_t conns_free; // first free index, linked by next

    struct customer_table customers;
    struct id_map groups;      // of the connections of customers
    struct id_map fair_queues; // of customers that wait
    struct fair_queue *fair_first[QUEUE_COUNT];
    double fair_us[QUEUE_COUNT];       // lowest virtual time that waits
    uint32_t fair_starts[QUEUE_COUNT]; // requests that have got a slot

    struct id_map sessions;
    struct id_map requests;
    struct session *floor_first; // sessions that wait for a floor
    struct timers timers;
    int64_t wake_at_us;    // last requested TICK
    int64_t sample_at_us;  // next sample of all upstreams
    int64_t confirm_at_us; // next sample for unconfirmed commits

    struct scheduler_lease lease;
    uint64_t min_term; // lower terms have been revoked
    struct primary_wait primary_wait;
    struct refusal_loss refusal_loss;
    struct relay_contact relay_contact;
    struct request_list confirming; // unconfirmed commits

    struct request_type types[SCHEDULER_TYPES_MAX];
    uint32_t types_count;
    uint32_t slots_total; // of all upstreams with takes_work
    double virtual_time[QUEUE_COUNT];
    uint32_t queued[QUEUE_COUNT];
    uint32_t running;                // slots in use at all upstreams
    uint32_t work[QUEUE_COUNT];      // queued and running after the last step
    int64_t started_us[QUEUE_COUNT]; // when a request last got a slot
    // End of the last period in which no request got a slot; queue timeouts
    // count from then.
    int64_t dispatch_resumed_us[QUEUE_COUNT];
    // Integral of work over time since demand_since_us.
    double work_integral[QUEUE_COUNT];
    int64_t demand_since_us;         // time of the last demand report
    uint32_t peak_work[QUEUE_COUNT]; // maximum of work since demand_since_us
    uint32_t pinned_waiting;         // queued statements of open transactions
    uint32_t round;                  // number of the present dispatch round
    double retry_tokens;             // retry budget

    struct freshness freshness;
    bool view_known;
    bool lease_known;
    bool limits_leased;   // limits are the full quota of a valid lease
    bool primary_stopped; // it leaves, and its time is over
    bool draining;        // refuses new transactions
    bool finishing;       // refuses all requests
    uint8_t default_type; // index; for requests without a known type
};

#endif
