#ifndef CATKINGRADE_ENTRY_DATABASE_PRIVATE_H
#define CATKINGRADE_ENTRY_DATABASE_PRIVATE_H

#include <apr_hash.h>
#include <apr_pools.h>
#include <stdatomic.h>

#include "catkingrade/decide/scheduler.h"
#include "catkingrade/entry/database.h"
#include "catkingrade/entry/worker.h"
#include "catkingrade/kernel/histogram.h"

// What the files of a database share.

// A pooled connection.
struct database_conn {
    struct database *database;
    struct upstream_link *link;
    struct entry_request *request; // that runs on it
    uint32_t id;
    uint32_t upstream;
    int64_t began_us; // to open
};

// The connection over which an upstream's position is sampled.
struct database_monitor {
    struct database *database;
    struct upstream_link *link;
    uint32_t upstream;
    int64_t asked_at_us;
    uint64_t timeline; // of the last sample; 0: not known
    char host[CK_HOST_SIZE + 1];
    unsigned port;
    bool open;
    bool busy;
};

// The entries that run this one's statements, and the view that stands for
// them.
struct database_relay {
    char hosts[CK_RELAY_HOSTS][CK_HOST_SIZE + 1];
    size_t hosts_count;
    size_t next;              // place of the one that links are opened to
    int64_t failed_us;        // when one was left last
    unsigned failures;        // of openings since the last that succeeded
    int64_t backoff_until_us; // no relay is tried before
    int64_t backoff_us;       // the last such pause
    bool standby;             // only when this entry has no lease
    bool active;              // the view in force stands for it
    struct ck_database config;
    struct ck_upstream upstream;
    struct ck_quota quota;
};

#define DATABASE_MAX_HISTOGRAMS 32

// A histogram that this database has used.
struct database_histogram {
    enum histogram_phase phase;
    char type[CK_NAME_SIZE + 1];
    char upstream[CK_NAME_SIZE + 1];
    struct histogram *histogram;
};

struct database {
    struct database_histogram *histograms; // made with the first
    size_t histograms_count;
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
    struct scheduler_event *events; // queue of those raised in a step
    size_t events_count;
    size_t events_capacity;
    bool stepping;
    struct loop_timer *timer;
    struct view *view;
    const struct ck_customer *customer;
    const struct ck_database *config;
    struct ck_quota *quotas;
    struct database_relay relay;
    int64_t lease_until_us;
    char customer_name[CK_NAME_SIZE + 1];
    atomic_uint_fast64_t open_requests; // read by other threads
    bool leaving;                       // not in the view anymore
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
                   const struct upstream_link_events *events, void *data);
void database_drop_conn(struct database_conn *conn);

// database_actions.c
void database_run_action(struct database *database,
                         const struct scheduler_action *action);

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

// database_relay.c
void database_update_relay_active(struct database *database);
void database_fill_relay_view(struct database *database,
                              struct scheduler_view *view);
const char *database_get_relay_host(struct database *database);
void database_record_relay_open(struct database *database);
void database_switch_relay_host(struct database *database);
void database_fill_relay_context(const struct entry_session *session,
                                 struct typed_statement *run);

// database_samples.c
void database_run_sample(struct database *database, uint32_t upstream);
void database_close_stale_monitors(struct database *database);

#endif
