#ifndef TEST_FAKE_SCHEDULER_FLEET_H
#define TEST_FAKE_SCHEDULER_FLEET_H

#include "catkingrade/decide/traffic/scheduler.h"
#include "test/fake/network.h"

#define SCHEDULER_FLEET_MAX_ENTRIES   7
#define SCHEDULER_FLEET_MAX_UPSTREAMS 5
#define SCHEDULER_FLEET_MAX_CONNS     256
#define SCHEDULER_FLEET_MAX_ROWS      8192
#define SCHEDULER_FLEET_MAX_SESSIONS  64
#define SCHEDULER_FLEET_MAX_REQUESTS  8192
#define SCHEDULER_FLEET_MS_US         INT64_C(1000)
#define SCHEDULER_FLEET_LEASE_US      (800 * SCHEDULER_FLEET_MS_US)

// Simulation of several entries with their schedulers, the upstreams of one
// database and a simplified control plane, on one virtual network with a
// virtual clock. The simulation checks the guarantees while it runs and counts
// each violation. A request of SCHEDULER_CLASS_WRITE inserts one row that
// holds the request's id. A request of SCHEDULER_CLASS_IN_TRANSACTION does so
// when its transaction commits. Entries, upstreams and sessions are referred
// to by their index; requests count from 1. Times are in microseconds.

enum scheduler_fleet_outcome {
    SCHEDULER_FLEET_OUTCOME_PENDING,
    SCHEDULER_FLEET_OUTCOME_DONE,
    SCHEDULER_FLEET_OUTCOME_NOT_RUN,
    SCHEDULER_FLEET_OUTCOME_UNKNOWN
};

// Session token that a client presents when it opens a session: the token of
// its last session, none, or the declaration that the session is new.
enum scheduler_fleet_token {
    SCHEDULER_FLEET_TOKEN_OWN,
    SCHEDULER_FLEET_TOKEN_NONE,
    SCHEDULER_FLEET_TOKEN_NEW
};

// Server side of a connection from an entry to an upstream.
struct scheduler_fleet_conn {
    bool used;
    uint32_t entry;
    uint32_t conn;
    uint64_t transaction_session; // session of the transaction; 0: none
    bool read_only;
    uint64_t pending_insert; // insert of the open transaction; 0: none
    uint64_t running;        // running request; 0: none
    enum scheduler_class running_class;
    uint64_t running_session;
};

struct scheduler_fleet_row {
    uint64_t request;
    int64_t committed_at_us;
};

// Database server. Its log is the list of committed rows. The position of an
// empty log is LSN 100, and each row adds 1.
struct scheduler_fleet_upstream {
    struct scheduler_fleet_row rows[SCHEDULER_FLEET_MAX_ROWS];
    uint32_t rows_count;
    uint64_t timeline;
    bool is_primary;
    bool down;
    bool is_following;  // replicates from the current primary
    int64_t lag_us;     // replication lag
    int64_t service_us; // mean time of a statement
    struct scheduler_fleet_conn conns[SCHEDULER_FLEET_MAX_CONNS];
};

// Entry with its scheduler. The entry tracks from the scheduler's actions how
// many slots and connections of each upstream it uses.
struct scheduler_fleet_entry {
    struct scheduler *scheduler;
    struct scheduler_actions actions;
    // Two copies of the view, used alternately: the previous view stays valid
    // while the scheduler handles the new one.
    struct ck_database databases[2];
    struct ck_customer customers[2];
    struct ck_upstream upstreams[2][SCHEDULER_FLEET_MAX_UPSTREAMS];
    struct ck_quota quotas[2][SCHEDULER_FLEET_MAX_UPSTREAMS];
    unsigned view_index;                             // the current copy
    uint32_t running[SCHEDULER_FLEET_MAX_UPSTREAMS]; // slots in use
    uint32_t open[SCHEDULER_FLEET_MAX_UPSTREAMS];    // connections in use
    struct {
        uint32_t conn;
        uint32_t upstream;
        uint64_t request;
    } conns[SCHEDULER_FLEET_MAX_CONNS];
    bool control_path_down;
    bool revocation_confirmed; // the revocation in progress
    int64_t leased_until_us;
};

struct scheduler_fleet_session {
    uint32_t entry;
    bool open;
    struct scheduler_floor floor;
    uint64_t last_acknowledged; // last acknowledged write
};

struct scheduler_fleet_request {
    uint64_t session;
    enum scheduler_class request_class;
    enum scheduler_fleet_outcome outcome;
    // Outcome that the trace expects; SCHEDULER_FLEET_OUTCOME_PENDING: any.
    enum scheduler_fleet_outcome expected;
    int expected_replica;    // 1: on a replica, 0: on the primary, -1: any
    uint64_t required_write; // session's last acknowledged write when posted
    bool saw_required_write;
    bool on_replica;
    bool failed;               // upstream replied with an error: not run
    uint64_t committed_insert; // of a COMMIT: the insert that it commits
    unsigned sends_count;
    int64_t sent_us;
    int64_t ended_us;
    int line; // line of the trace
};

struct scheduler_fleet {
    struct network *network;
    uint32_t entries_count;
    uint32_t upstreams_count;
    struct scheduler_fleet_entry entries[SCHEDULER_FLEET_MAX_ENTRIES];
    struct scheduler_fleet_upstream upstreams[SCHEDULER_FLEET_MAX_UPSTREAMS];
    struct scheduler_fleet_session sessions[SCHEDULER_FLEET_MAX_SESSIONS];
    struct scheduler_fleet_request requests[SCHEDULER_FLEET_MAX_REQUESTS];
    uint64_t requests_count;
    int64_t request_time_us; // time to the deadline of new requests
    uint64_t term;
    uint32_t primary;
    uint32_t base_rows;    // rows of the log at the start of the term
    uint64_t timeline;     // timeline of the term
    bool superseding;      // a failover is in progress
    int64_t promote_at_us; // earliest promotion of the failover in progress
    uint32_t confirm;      // replicas that must confirm a write
    enum ck_upstream_state upstream_states[SCHEDULER_FLEET_MAX_UPSTREAMS];
    enum ck_customer_state customer_state;
    uint32_t slots;
    uint32_t connections;
    unsigned violations;
    char first_violation[256];
};

// Creates a simulation with all views posted. slots are the slots of each
// upstream. The same seed gives the same run.
struct scheduler_fleet *scheduler_fleet_create(uint64_t seed,
                                               uint32_t entries_count,
                                               uint32_t upstreams_count,
                                               uint32_t slots);
// The same with `learned_capacity` of struct scheduler_params.
struct scheduler_fleet *
scheduler_fleet_create_learned(uint64_t seed, uint32_t entries_count,
                               uint32_t upstreams_count, uint32_t slots);
void scheduler_fleet_destroy(struct scheduler_fleet *fleet);
void scheduler_fleet_run_until(struct scheduler_fleet *fleet,
                               int64_t until_us);
// Posts the current view to all entries that the control plane reaches, and a
// new lease unless a failover is in progress.
void scheduler_fleet_post_views(struct scheduler_fleet *fleet);
// Opens a session at an entry. Closes the session first if it is open.
void scheduler_fleet_open_session(struct scheduler_fleet *fleet,
                                  uint64_t session, uint32_t entry,
                                  enum scheduler_fleet_token token);
void scheduler_fleet_close_session(struct scheduler_fleet *fleet,
                                   uint64_t session);
// Posts a request of a session; its deadline is request_time_us later, 2 s if
// that is not set. Returns its id. A
// COMMIT must directly follow the insert that it commits.
uint64_t scheduler_fleet_post_request(struct scheduler_fleet *fleet,
                                      uint64_t session,
                                      enum scheduler_class request_class,
                                      int64_t max_age_us, bool repeatable);
// Ends an upstream's process. Its host resets the open connections and refuses
// new ones.
void scheduler_fleet_crash_upstream(struct scheduler_fleet *fleet,
                                    uint32_t upstream);
// Starts a failover as the control plane does when the primary is lost:
// revokes all leases, waits until the leases of the entries that did not
// confirm the revocation have expired, then promotes a replica. Does nothing
// while a failover is in progress.
void scheduler_fleet_start_failover(struct scheduler_fleet *fleet);
void scheduler_fleet_drain_entry(struct scheduler_fleet *fleet,
                                 uint32_t entry);
// Interrupts or restores the network between an entry and an upstream.
void scheduler_fleet_set_path_down(struct scheduler_fleet *fleet,
                                   uint32_t entry, uint32_t upstream,
                                   bool down);
// Checks the final state: each request has one outcome, which is the expected
// one; each acknowledged write is in the primary's log; each write with the
// outcome NOT_RUN is in no upstream's log.
void scheduler_fleet_check_final_state(struct scheduler_fleet *fleet);
// Counts a violated guarantee and keeps the text of the first one. request 0:
// the violation concerns no single request.
void scheduler_fleet_record_violation(struct scheduler_fleet *fleet,
                                      uint64_t request, const char *text);

// The declarations below are for the fleet's own source files only.

enum scheduler_fleet_message_kind {
    SCHEDULER_FLEET_MESSAGE_OPEN,
    SCHEDULER_FLEET_MESSAGE_OPENED,
    SCHEDULER_FLEET_MESSAGE_REFUSED,
    SCHEDULER_FLEET_MESSAGE_CLOSE,
    SCHEDULER_FLEET_MESSAGE_PROBE,
    SCHEDULER_FLEET_MESSAGE_READY,
    SCHEDULER_FLEET_MESSAGE_RUN,
    SCHEDULER_FLEET_MESSAGE_RESULT,
    SCHEDULER_FLEET_MESSAGE_RESET, // the connection was lost
    SCHEDULER_FLEET_MESSAGE_SAMPLE,
    SCHEDULER_FLEET_MESSAGE_SAMPLED,
};

struct scheduler_fleet_message {
    enum scheduler_fleet_message_kind kind;
    uint32_t entry;
    uint32_t upstream;
    uint32_t conn;
    uint64_t request;
    enum scheduler_result result;
    bool in_transaction;
    bool is_primary;
    bool failed;
    struct ck_position position;
    int64_t asked_at_us;
};

// Sends a copy of a message between two nodes of the virtual network. The
// entries are the first nodes, followed by the upstreams.
void
scheduler_fleet_send_message(struct scheduler_fleet *fleet, int from, int to,
                             const struct scheduler_fleet_message *message);
void
scheduler_fleet_upstream_handle(struct scheduler_fleet *fleet,
                                uint32_t upstream,
                                const struct scheduler_fleet_message *message);
// Completes the statement that runs on the connection at an index of the
// upstream's conns and sends its result.
void scheduler_fleet_upstream_complete(struct scheduler_fleet *fleet,
                                       uint32_t upstream, uint32_t index);
// Copies the primary's rows that were committed at least lag_us ago. An
// upstream of an older timeline is rewound first and becomes a replica.
void scheduler_fleet_upstream_replicate(struct scheduler_fleet *fleet,
                                        uint32_t upstream);
// Returns whether an upstream's log has the row of a request.
bool scheduler_fleet_upstream_has_row(
    const struct scheduler_fleet_upstream *upstream, uint64_t request);
// Steps an entry's scheduler and runs the resulting actions.
void scheduler_fleet_entry_step(struct scheduler_fleet *fleet, uint32_t entry,
                                const struct scheduler_event *event);
void
scheduler_fleet_entry_handle(struct scheduler_fleet *fleet, uint32_t entry,
                             const struct scheduler_fleet_message *message);
// Runs the periodic work of the control plane: renews the leases and, during a
// failover, promotes a replica once the leases have expired.
void scheduler_fleet_control_run(struct scheduler_fleet *fleet);

static inline int
scheduler_fleet_upstream_node(const struct scheduler_fleet *fleet,
                              uint32_t upstream)
{
    return (int)(fleet->entries_count + upstream);
}

#endif
