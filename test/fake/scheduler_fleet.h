#ifndef TEST_FAKE_SCHEDULER_FLEET_H
#define TEST_FAKE_SCHEDULER_FLEET_H

#include "catkingrade/decide/scheduler.h"
#include "test/fake/network.h"

#define SCHEDULER_FLEET_MAX_ENTRIES   7
#define SCHEDULER_FLEET_MAX_UPSTREAMS 5
#define SCHEDULER_FLEET_MAX_CONNS     256
#define SCHEDULER_FLEET_MAX_ROWS      8192
#define SCHEDULER_FLEET_MAX_SESSIONS  64
#define SCHEDULER_FLEET_MAX_REQUESTS  8192
#define SCHEDULER_FLEET_MS_US         INT64_C(1000)
#define SCHEDULER_FLEET_LEASE_US      (800 * SCHEDULER_FLEET_MS_US)

enum scheduler_fleet_outcome {
    SCHEDULER_FLEET_OUTCOME_PENDING,
    SCHEDULER_FLEET_OUTCOME_DONE,
    SCHEDULER_FLEET_OUTCOME_NOT_RUN,
    SCHEDULER_FLEET_OUTCOME_UNKNOWN
};

enum scheduler_fleet_token {
    SCHEDULER_FLEET_TOKEN_OWN,
    SCHEDULER_FLEET_TOKEN_NONE,
    SCHEDULER_FLEET_TOKEN_NEW
};

// A connection as its upstream sees it.
struct scheduler_fleet_conn {
    bool used;
    uint32_t entry;
    uint32_t conn;
    uint64_t owner; // session of the open transaction; 0: none
    bool read_only;
    uint64_t pending; // insert of the open transaction
    uint64_t running; // request
    enum scheduler_class running_class;
    uint64_t running_session;
};

struct scheduler_fleet_row {
    uint64_t request;
    int64_t at_us;
};

// A database server: its log is a list of rows; position 100 is the empty one.
struct scheduler_fleet_upstream {
    struct scheduler_fleet_row rows[SCHEDULER_FLEET_MAX_ROWS];
    uint32_t rows_count;
    uint64_t timeline;
    bool is_primary;
    bool down;
    bool follows; // the present primary
    int64_t lag_us;
    int64_t service_us;
    struct scheduler_fleet_conn conns[SCHEDULER_FLEET_MAX_CONNS];
};

// An entry's side: how much of each upstream it uses, by its actions.
struct scheduler_fleet_entry {
    struct scheduler *scheduler;
    struct scheduler_actions actions;
    struct ck_database databases[2]; // views in turn; the old one stays valid
    struct ck_customer customers[2];
    struct ck_upstream upstreams[2][SCHEDULER_FLEET_MAX_UPSTREAMS];
    struct ck_quota quotas[2][SCHEDULER_FLEET_MAX_UPSTREAMS];
    unsigned turn;
    uint32_t running[SCHEDULER_FLEET_MAX_UPSTREAMS];
    uint32_t open[SCHEDULER_FLEET_MAX_UPSTREAMS];
    struct {
        uint32_t conn;
        uint32_t upstream;
        uint64_t request;
    } conns[SCHEDULER_FLEET_MAX_CONNS];
    bool control_cut;
    bool confirmed; // the revocation under way
    int64_t leased_until_us;
};

struct scheduler_fleet_session {
    uint32_t entry;
    bool open;
    struct scheduler_floor floor;
    uint64_t last_done; // the last save that was acknowledged
};

struct scheduler_fleet_request {
    uint64_t session;
    enum scheduler_class request_class;
    enum scheduler_fleet_outcome outcome;
    enum scheduler_fleet_outcome
        expected;         // SCHEDULER_FLEET_OUTCOME_PENDING: any
    int expected_replica; // -1: any
    uint64_t must_see;    // a save acknowledged before it was sent
    bool saw_it;
    bool on_replica;
    bool failed;      // the upstream answered with an error: not run
    uint64_t commits; // COMMIT: the insert that it makes last
    unsigned sends;
    int64_t sent_us;
    int64_t ended_us;
    int line;
};

// Several entries, the upstreams of one database and a simple control on one
// virtual network. Every broken promise is counted, with its text.
struct scheduler_fleet {
    struct network *network;
    uint32_t entries_count;
    uint32_t upstreams_count;
    struct scheduler_fleet_entry entries[SCHEDULER_FLEET_MAX_ENTRIES];
    struct scheduler_fleet_upstream upstreams[SCHEDULER_FLEET_MAX_UPSTREAMS];
    struct scheduler_fleet_session sessions[SCHEDULER_FLEET_MAX_SESSIONS];
    struct scheduler_fleet_request requests[SCHEDULER_FLEET_MAX_REQUESTS];
    uint64_t requests_count;
    uint64_t term;
    uint32_t primary;
    uint32_t base_rows;
    uint64_t timeline;
    bool superseding;
    int64_t wait_until_us; // of a failover under way
    uint32_t confirm;
    enum ck_upstream_state states[SCHEDULER_FLEET_MAX_UPSTREAMS];
    enum ck_customer_state customer_state;
    uint32_t slots;
    uint32_t connections;
    unsigned violations;
    char violation[256];
};

struct scheduler_fleet *scheduler_fleet_create(uint64_t seed,
                                               uint32_t entries_count,
                                               uint32_t upstreams_count,
                                               uint32_t slots);
void scheduler_fleet_destroy(struct scheduler_fleet *fleet);
void scheduler_fleet_run_until(struct scheduler_fleet *fleet,
                               int64_t until_us);
void scheduler_fleet_post_views(struct scheduler_fleet *fleet);
void scheduler_fleet_open_session(struct scheduler_fleet *fleet,
                                  uint64_t session, uint32_t entry,
                                  enum scheduler_fleet_token token);
void scheduler_fleet_close_session(struct scheduler_fleet *fleet,
                                   uint64_t session);
uint64_t scheduler_fleet_post_request(struct scheduler_fleet *fleet,
                                      uint64_t session,
                                      enum scheduler_class request_class,
                                      int64_t max_age_us, bool repeatable);
void scheduler_fleet_crash_upstream(struct scheduler_fleet *fleet,
                                    uint32_t upstream);
// The control takes the primary as lost: revokes, waits, promotes.
void scheduler_fleet_start_failover(struct scheduler_fleet *fleet);
void scheduler_fleet_drain_entry(struct scheduler_fleet *fleet,
                                 uint32_t entry);
void scheduler_fleet_set_path_down(struct scheduler_fleet *fleet,
                                   uint32_t entry, uint32_t upstream,
                                   bool cut);
// Checks what holds at the end: each request has one outcome, and the saves
// acknowledged are in the primary's log once, those not run are in none.
void scheduler_fleet_check_final_state(struct scheduler_fleet *fleet);
void scheduler_fleet_record_violation(struct scheduler_fleet *fleet,
                                      uint64_t request, const char *text);

// Between the fleet's own files.
enum scheduler_fleet_message_kind {
    SCHEDULER_FLEET_MESSAGE_OPEN,
    SCHEDULER_FLEET_MESSAGE_OPENED,
    SCHEDULER_FLEET_MESSAGE_REFUSED,
    SCHEDULER_FLEET_MESSAGE_CLOSE,
    SCHEDULER_FLEET_MESSAGE_PROBE,
    SCHEDULER_FLEET_MESSAGE_READY,
    SCHEDULER_FLEET_MESSAGE_RUN,
    SCHEDULER_FLEET_MESSAGE_RESULT,
    SCHEDULER_FLEET_MESSAGE_RESET, // the connection is gone
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

void
scheduler_fleet_send_message(struct scheduler_fleet *fleet, int from, int to,
                             const struct scheduler_fleet_message *message);
void
scheduler_fleet_upstream_handle(struct scheduler_fleet *fleet,
                                uint32_t upstream,
                                const struct scheduler_fleet_message *message);
void scheduler_fleet_upstream_complete(struct scheduler_fleet *fleet,
                                       uint32_t upstream, uint32_t place);
void scheduler_fleet_upstream_replicate(struct scheduler_fleet *fleet,
                                        uint32_t upstream);
bool scheduler_fleet_upstream_has_row(
    const struct scheduler_fleet_upstream *upstream, uint64_t request);
void scheduler_fleet_entry_step(struct scheduler_fleet *fleet, uint32_t entry,
                                const struct scheduler_event *event);
void
scheduler_fleet_entry_handle(struct scheduler_fleet *fleet, uint32_t entry,
                             const struct scheduler_fleet_message *message);
void scheduler_fleet_control_run(struct scheduler_fleet *fleet);

static inline int
scheduler_fleet_upstream_node(const struct scheduler_fleet *fleet,
                              uint32_t upstream)
{
    return (int)(fleet->entries_count + upstream);
}

#endif
