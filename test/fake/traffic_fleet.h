#ifndef TEST_FAKE_TRAFFIC_FLEET_H
#define TEST_FAKE_TRAFFIC_FLEET_H

#include "catkingrade/decide/scheduler.h"
#include "test/fake/network.h"

#define TF_ENTRIES_MAX   7
#define TF_UPSTREAMS_MAX 5
#define TF_CONNS_MAX     256
#define TF_ROWS_MAX      8192
#define TF_SESSIONS_MAX  64
#define TF_REQUESTS_MAX  8192
#define TF_MS_US         INT64_C(1000)
#define TF_LEASE_US      (800 * TF_MS_US)

enum tf_outcome { TF_OPEN, TF_DONE, TF_NOT_RUN, TF_UNKNOWN };

enum tf_token { TF_TOKEN_OWN, TF_TOKEN_NONE, TF_TOKEN_NEW };

// A connection as its upstream sees it.
struct tf_conn {
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

struct tf_row {
    uint64_t request;
    int64_t at_us;
};

// A database server: its log is a list of rows; position 100 is the empty one.
struct tf_upstream {
    struct tf_row rows[TF_ROWS_MAX];
    uint32_t rows_count;
    uint64_t timeline;
    bool is_primary;
    bool down;
    bool follows; // the present primary
    int64_t lag_us;
    int64_t service_us;
    struct tf_conn conns[TF_CONNS_MAX];
};

// An entry's side: how much of each upstream it uses, by its actions.
struct tf_entry {
    struct scheduler *scheduler;
    struct scheduler_actions actions;
    struct ck_database databases[2]; // views in turn; the old one stays valid
    struct ck_customer customers[2];
    struct ck_upstream upstreams[2][TF_UPSTREAMS_MAX];
    struct ck_quota quotas[2][TF_UPSTREAMS_MAX];
    unsigned turn;
    uint32_t running[TF_UPSTREAMS_MAX];
    uint32_t open[TF_UPSTREAMS_MAX];
    struct {
        uint32_t conn;
        uint32_t upstream;
        uint64_t request;
    } conns[TF_CONNS_MAX];
    bool control_cut;
    bool confirmed; // the revocation under way
    int64_t leased_until_us;
};

struct tf_session {
    uint32_t entry;
    bool open;
    struct scheduler_floor floor;
    uint64_t last_done; // the last save that was acknowledged
};

struct tf_request {
    uint64_t session;
    enum scheduler_class request_class;
    enum tf_outcome outcome;
    enum tf_outcome expected; // TF_OPEN: any
    int expected_replica;     // -1: any
    uint64_t must_see;        // a save acknowledged before it was sent
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
struct traffic_fleet {
    struct network *network;
    uint32_t entries_count;
    uint32_t upstreams_count;
    struct tf_entry entries[TF_ENTRIES_MAX];
    struct tf_upstream upstreams[TF_UPSTREAMS_MAX];
    struct tf_session sessions[TF_SESSIONS_MAX];
    struct tf_request requests[TF_REQUESTS_MAX];
    uint64_t requests_count;
    uint64_t term;
    uint32_t primary;
    uint32_t base_rows;
    uint64_t timeline;
    bool superseding;
    int64_t wait_until_us; // of a failover under way
    uint32_t confirm;
    enum ck_upstream_state states[TF_UPSTREAMS_MAX];
    enum ck_customer_state customer_state;
    uint32_t slots;
    uint32_t connections;
    unsigned violations;
    char violation[256];
};

struct traffic_fleet *traffic_fleet_create(uint64_t seed,
                                           uint32_t entries_count,
                                           uint32_t upstreams_count,
                                           uint32_t slots);
void traffic_fleet_destroy(struct traffic_fleet *fleet);
void traffic_fleet_run_until(struct traffic_fleet *fleet, int64_t until_us);
void traffic_fleet_post_views(struct traffic_fleet *fleet);
void traffic_fleet_open(struct traffic_fleet *fleet, uint64_t session,
                        uint32_t entry, enum tf_token token);
void traffic_fleet_close(struct traffic_fleet *fleet, uint64_t session);
uint64_t traffic_fleet_request(struct traffic_fleet *fleet, uint64_t session,
                               enum scheduler_class request_class,
                               int64_t max_age_us, bool repeatable);
void traffic_fleet_crash(struct traffic_fleet *fleet, uint32_t upstream);
// The control takes the primary as lost: revokes, waits, promotes.
void traffic_fleet_fail_over(struct traffic_fleet *fleet);
void traffic_fleet_drain(struct traffic_fleet *fleet, uint32_t entry);
void traffic_fleet_cut(struct traffic_fleet *fleet, uint32_t entry,
                       uint32_t upstream, bool cut);
// Checks what holds at the end: each request has one outcome, and the saves
// acknowledged are in the primary's log once, those not run are in none.
void traffic_fleet_check_end(struct traffic_fleet *fleet);
void traffic_fleet_violate(struct traffic_fleet *fleet, uint64_t request,
                           const char *text);

// Between the fleet's own files.
enum tf_message_kind {
    TF_MESSAGE_OPEN,
    TF_MESSAGE_OPENED,
    TF_MESSAGE_REFUSED,
    TF_MESSAGE_CLOSE,
    TF_MESSAGE_PROBE,
    TF_MESSAGE_READY,
    TF_MESSAGE_RUN,
    TF_MESSAGE_RESULT,
    TF_MESSAGE_RESET, // the connection is gone
    TF_MESSAGE_SAMPLE,
    TF_MESSAGE_SAMPLED,
};

struct tf_message {
    enum tf_message_kind kind;
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

void tf_send(struct traffic_fleet *fleet, int from, int to,
             const struct tf_message *message);
void tf_upstream_handle(struct traffic_fleet *fleet, uint32_t upstream,
                        const struct tf_message *message);
void tf_upstream_finish(struct traffic_fleet *fleet, uint32_t upstream,
                        uint32_t place);
void tf_upstream_replicate(struct traffic_fleet *fleet, uint32_t upstream);
bool tf_upstream_has_row(const struct tf_upstream *upstream, uint64_t request);
void tf_entry_step(struct traffic_fleet *fleet, uint32_t entry,
                   const struct scheduler_event *event);
void tf_entry_handle(struct traffic_fleet *fleet, uint32_t entry,
                     const struct tf_message *message);
void tf_control_run(struct traffic_fleet *fleet);

static inline int
tf_upstream_node(const struct traffic_fleet *fleet, uint32_t upstream)
{
    return (int)(fleet->entries_count + upstream);
}

#endif
