#ifndef CATKINGRADE_ENTRY_DATABASE_PRIVATE_H
#define CATKINGRADE_ENTRY_DATABASE_PRIVATE_H

#include <apr_hash.h>
#include <apr_pools.h>
#include <stdatomic.h>

#include "catkingrade/decide/traffic/scheduler.h"
#include "catkingrade/entry/database.h"
#include "catkingrade/entry/worker.h"
#include "catkingrade/kernel/histogram.h"

#define DATABASE_US_PER_MS 1000

// Types and functions that the database_*.c files share.

// Connection of the upstream connection pool.
struct database_conn {
    struct database *database;
    struct upstream_link *link;
    struct entry_request *request;     // in flight; NULL: none
    uint32_t id;                       // assigned by the scheduler
    uint32_t upstream;                 // id of the upstream
    char relay_host[CK_HOST_SIZE + 1]; // empty: the upstream is no relay
    int64_t connect_started_us;
};

// Monitor of one upstream: the connection over which its role and log position
// are sampled.
struct database_monitor {
    struct database *database;
    struct upstream_link *link; // NULL: not connected
    uint32_t upstream;          // id of the upstream
    int64_t asked_at_us;        // time of the last request for a sample
    uint64_t timeline;          // from the last sample; 0: unknown
    char host[CK_HOST_SIZE + 1];
    unsigned port;
    bool open; // link is established
    bool busy; // a sample is in flight
};

// Relays: other entries that run this entry's statements of the database. When
// they are in use, config, upstream and quota replace the configuration of the
// view: the only upstream is the relay.
struct database_relay {
    char hosts[CK_RELAY_HOSTS][CK_HOST_SIZE + 1];
    size_t hosts_count;
    // Relays among which customers are divided. A host keeps its place while
    // it is listed; empty: free.
    char spread[CK_RELAY_SPREAD][CK_HOST_SIZE + 1];
    size_t host_index;        // index in hosts of the relay for new links
    int64_t failed_us;        // time of the last switch to the next host
    unsigned failures;        // switches since a link was last opened
    int64_t backoff_until_us; // a standby uses no relay before this time
    int64_t backoff_us;       // last backoff; 0: none
    bool standby;             // use relays only without a valid lease
    bool active;              // the view in force uses the relays
    struct ck_database config;
    // The relay of statements without a customer, and those of spread.
    struct ck_upstream upstreams[1 + CK_RELAY_SPREAD];
    struct ck_quota quotas[1 + CK_RELAY_SPREAD];
};

#define DATABASE_MAX_HISTOGRAMS 32

// Cached result of histogram_get.
struct database_histogram {
    enum histogram_phase phase;
    char type[CK_NAME_SIZE + 1];
    char upstream[CK_NAME_SIZE + 1];
    struct histogram *histogram;
};

struct database {
    struct database_histogram *histograms; // allocated at the first use
    size_t histograms_count;               // rows in use
    size_t histograms_next_index;
    struct worker *worker;
    char name[CK_NAME_SIZE + 1];
    apr_pool_t *pool;
    apr_hash_t *sessions;               // by id
    apr_hash_t *requests;               // by id
    apr_hash_t *conns;                  // by id
    struct database_monitor **monitors; // by upstream id
    size_t monitors_count;
    struct scheduler *scheduler;
    struct scheduler_actions actions;
    struct scheduler_event *events; // raised during a step
    size_t events_count;
    size_t events_capacity;
    bool stepping; // a step is executing its actions
    struct loop_timer *timer;
    struct view *view;
    const struct ck_customer *customer;
    const struct ck_database *config;
    struct ck_quota *quotas;
    struct database_relay relay;
    int64_t lease_until_us; // 0: no lease so far
    char customer_name[CK_NAME_SIZE + 1];
    atomic_uint_fast64_t open_requests; // read by other threads
    bool removed;                       // the view no longer contains it
    bool finishing; // the scheduler refuses requests: none takes a token
};

// database.c
void database_step(struct database *database,
                   const struct scheduler_event *event);
struct entry_request *database_find_request(struct database *database,
                                            uint64_t id);
struct database_conn *database_find_conn(struct database *database,
                                         uint32_t id);
void database_release_request(struct database *database,
                              struct entry_request *request);

// database_conn.c
extern const struct upstream_link_events database_conn_events;
struct upstream_link *
database_open_link(struct database *database, uint32_t upstream,
                   const char *customer,
                   const struct upstream_link_events *events, void *data);
void database_drop_conn(struct database_conn *conn);

// database_actions.c
void database_end_session(struct database *database, uint64_t id);
void database_run_action(struct database *database,
                         const struct scheduler_action *action);

void database_refuse_request(struct database *database,
                             struct entry_request *request, int outcome,
                             const char *reason, int64_t retry_after_us);

// database_limit.c
bool database_take_token(struct database *database,
                         struct entry_request *request);
void database_cancel_limit(struct database *database,
                           struct entry_request *request);
void database_finish_limits(struct database *database);

// database_report.c
void database_record_phase(struct database *database,
                           struct entry_request *request,
                           enum histogram_phase phase);
void database_record_connect_time(struct database *database,
                                  const struct database_conn *conn);
void database_count_send(const struct entry_request *request,
                         const struct scheduler_action *action);
const char *database_get_reason(const struct entry_request *request,
                                const struct scheduler_action *action);
void database_log_failure(const struct database *database,
                          const struct entry_request *request,
                          const struct scheduler_action *action);
void database_log_send(const struct database *database,
                       const struct entry_request *request,
                       const struct scheduler_action *action);
void database_report_capacity(const struct database *database,
                              const struct scheduler_action *action);

// database_relay.c
void database_update_relay_active(struct database *database);
void database_fill_relay_view(struct database *database,
                              struct scheduler_view *view);
const char *database_get_link_host(struct database *database,
                                   uint32_t upstream);
void database_record_relay_silent(struct database *database,
                                  uint32_t upstream);
void database_record_relay_open(struct database *database, const char *host);
void database_switch_relay_host(struct database *database);
void database_leave_relay_host(struct database *database, const char *host);
void database_fill_relay_context(const struct entry_session *session,
                                 struct typed_statement *statement);

// database_samples.c
void database_run_sample(struct database *database, uint32_t upstream);
void database_close_stale_monitors(struct database *database);

#endif
