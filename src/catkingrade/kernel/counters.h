#ifndef CATKINGRADE_KERNEL_COUNTERS_H
#define CATKINGRADE_KERNEL_COUNTERS_H

#include <stdint.h>

#include "catkingrade/kernel/buffer.h"

// Monotonic counters of the process, exported to Prometheus. Each row gives
// the enum name, the metric name without the catkingrade_ prefix and the help
// text. Each thread counts in a block of its own, so that counting needs no
// lock; counter_get adds up the blocks.
#define COUNTER_LIST(ROW)                                                     \
    ROW(SESSIONS_OPENED, "sessions_opened_total", "client sessions opened")   \
    ROW(SESSIONS_CLOSED, "sessions_closed_total", "client sessions closed")   \
    ROW(SESSIONS_REFUSED, "sessions_refused_total",                           \
        "client sessions refused at their start")                             \
    ROW(KEYS_REFUSED, "keys_refused_total",                                   \
        "client sessions refused because of an unknown key")                  \
    ROW(KEYS_REMOVED, "keys_removed_total",                                   \
        "client sessions that end because their key was removed")             \
    ROW(FRAMES_BAD, "frames_bad_total",                                       \
        "client frames that broke the protocol")                              \
    ROW(REQUESTS, "requests_total", "requests received from callers")         \
    ROW(READS_REPLICA, "reads_replica_total", "reads served by replicas")     \
    ROW(READS_PRIMARY, "reads_primary_total", "reads served by the primary")  \
    ROW(WRITES, "writes_total", "writes sent to the primary")                 \
    ROW(DONE, "outcome_done_total", "requests that ended as done")            \
    ROW(NOT_RUN, "outcome_not_run_total", "requests that ended as not_run")   \
    ROW(UNKNOWN, "outcome_unknown_total", "requests that ended as unknown")   \
    ROW(RETRIES, "retries_total", "requests sent again after not_run")        \
    ROW(CLASSIFY_HITS, "classify_hits_total",                                 \
        "statements found in the cache")                                      \
    ROW(CLASSIFY_MISSES, "classify_misses_total", "statements parsed")        \
    ROW(UPSTREAM_OPENED, "upstream_opened_total",                             \
        "upstream connections opened")                                        \
    ROW(UPSTREAM_FAILED, "upstream_failed_total",                             \
        "upstream connections that failed")                                   \
    ROW(UPSTREAM_SILENT, "upstream_silent_total",                             \
        "upstream connections dropped because they were silent")              \
    ROW(CUSTOMER_CONNS_OPENED, "customer_conns_opened_total",                 \
        "upstream connections begun for a customer")                          \
    ROW(CUSTOMER_CONNS_EVICTED, "customer_conns_evicted_total",               \
        "idle upstream connections closed for another customer")              \
    ROW(UPSTREAM_SLOW, "upstream_slow_total", "upstreams found slow")         \
    ROW(UPSTREAM_RECOVERED, "upstream_recovered_total",                       \
        "upstreams that were slow and have recovered")                        \
    ROW(LEASE_RENEWALS, "lease_renewals_total", "lease renewals answered")    \
    ROW(LEASE_EXPIRED, "lease_expired_total", "leases that ran out")          \
    ROW(RPC_SENT, "rpc_sent_total", "RPC datagrams sent")                     \
    ROW(RPC_SENT_BYTES, "rpc_sent_bytes_total",                               \
        "bytes of RPC datagrams sent")                                        \
    ROW(RPC_RECEIVED, "rpc_received_total", "RPC datagrams received")         \
    ROW(RPC_RECEIVED_BYTES, "rpc_received_bytes_total",                       \
        "bytes of RPC datagrams received")                                    \
    ROW(RPC_RAFT_BYTES, "rpc_raft_bytes_total",                               \
        "bytes of RPC datagrams sent for the replicated log")                 \
    ROW(RPC_RENEW_BYTES, "rpc_renew_bytes_total",                             \
        "bytes of RPC datagrams sent for lease renewals")                     \
    ROW(RPC_NOTIFY_BYTES, "rpc_notify_bytes_total",                           \
        "bytes of RPC datagrams sent for notifications of lease holders")     \
    ROW(RPC_APPLY_BYTES, "rpc_apply_bytes_total",                             \
        "bytes of RPC datagrams sent for changes and announcements")          \
    ROW(RPC_QUERY_BYTES, "rpc_query_bytes_total",                             \
        "bytes of RPC datagrams sent for queries and commands")               \
    ROW(RPC_BORROW_BYTES, "rpc_borrow_bytes_total",                           \
        "bytes of RPC datagrams sent for tokens of rate limits")              \
    ROW(LIMIT_CALLS, "limit_calls_total",                                     \
        "calls for tokens that the leader answered")                          \
    ROW(LIMIT_CALLS_FAILED, "limit_calls_failed_total",                       \
        "calls for tokens without an answer of the leader")                   \
    ROW(LIMIT_WAITED, "limit_waited_total",                                   \
        "operations that waited for a token")                                 \
    ROW(LIMIT_REFUSED, "limit_refused_total",                                 \
        "operations refused because the customer is over its rate limit")     \
    ROW(LIMIT_UNANSWERED, "limit_unanswered_total",                           \
        "operations refused because no token could be borrowed in time")      \
    ROW(RPC_OVERDUE, "rpc_overdue_total",                                     \
        "RPC calls dropped because they waited for too long")                 \
    ROW(RPC_DENIED, "rpc_denied_total", "RPC datagrams with a wrong key")     \
    ROW(RPC_BAD, "rpc_bad_total", "RPC datagrams that could not be decoded")  \
    ROW(LOG_APPENDS, "log_appends_total", "entries appended to group logs")   \
    ROW(LOG_SYNCS, "log_syncs_total", "fsync calls of group logs")            \
    ROW(ELECTIONS, "elections_total", "elections won")                        \
    ROW(PROMOTIONS, "promotions_total", "primaries promoted")                 \
    ROW(ANNOUNCEMENTS, "announcements_total", "upstream announcements taken") \
    ROW(ANNOUNCEMENTS_REFUSED, "announcements_refused_total",                 \
        "upstream announcements refused")                                     \
    ROW(ANNOUNCEMENT_LISTS_LOST, "announcement_lists_lost_total",             \
        "lists of announcements that the leader did not answer")              \
    ROW(CHANGES, "changes_total", "configuration changes applied")

enum counter {
#define COUNTER_ENUM(name, text, help) COUNTER_##name,
    COUNTER_LIST(COUNTER_ENUM)
#undef COUNTER_ENUM
        COUNTER_COUNT
};

void counter_add(enum counter counter, uint64_t amount);
uint64_t counter_get(enum counter counter);
const char *counter_get_name(enum counter counter);
const char *counter_get_help(enum counter counter);
void counter_append_prometheus(struct buffer *text);

#endif
