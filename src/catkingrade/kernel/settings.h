#ifndef CATKINGRADE_KERNEL_SETTINGS_H
#define CATKINGRADE_KERNEL_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/log.h"

// Settings of a daemon, read from a JSON file with comments.

// Roles of a daemon, combined as bits.
enum settings_role {
    SETTINGS_ROLE_ENTRY = 1,
    SETTINGS_ROLE_CONTROL = 2,
};

// An IP address and port. host is empty and port 0 if the address is not set.
struct settings_address {
    char host[64];
    uint16_t port;
};

// An initial voter of a control group.
struct settings_voter {
    uint64_t id;
    char *vm;
    struct settings_address rpc;
};

// A control group and its initial voters.
struct settings_group {
    char *name;
    char *failure_domain; // empty for the fleet group
    struct settings_voter *voters;
    size_t voters_count;
};

// Endpoints for callers and upstreams that use the platform's protocols.
struct settings_platform {
    struct settings_address listen;  // for callers; port 0: disabled
    struct settings_address relay;   // for other entries; port 0: disabled
    bool control;                    // accepts operators' requests over HTTP
    struct settings_address promote; // HTTP server that promotes upstreams
};

// All settings of a daemon. docs/SETTINGS.md lists the keys with units and
// ranges. The names of most fields are also setting keys.
struct settings {
    char *file; // path of the settings file
    char *vm;
    char *failure_domain;
    char *region;
    unsigned roles; // bits of enum settings_role
    struct settings_address postgres;
    struct settings_platform platform;
    struct settings_address rpc;
    struct settings_address http;
    struct settings_address metrics; // additional HTTP address for scrapers
    char *data_dir;
    char *key_file;  // shared key of daemons and operator tools
    char *view_file; // static view for an entry without control groups
    char *tls_cert_file;
    char *tls_key_file;
    bool tls_required;
    char *token_keys_file;
    char *upstream_user;
    char *upstream_password_file;
    char *upstream_sslmode;
    char *upstream_promote_sql; // statements, separated by semicolons
    char *upstream_follow_sql;  // {host} and {port}: the primary
    char *upstream_fence_sql;
    unsigned traffic_threads;
    unsigned max_sessions;
    unsigned classify_cache_entries; // per traffic thread
    // RPC addresses of daemons that are contacted to find the control groups.
    struct settings_address *seeds;
    size_t seeds_count;
    uint16_t seeds_port;    // overrides the port of each seed; 0: no override
    bool voters_from_seeds; // the seeds are the fleet group's initial voters
    // Voters that may fail at once, with voters_from_seeds: the fleet group is
    // kept at 2 * tolerated_losses + 1 voters.
    unsigned tolerated_losses;
    // If an entry's share of an upstream's connections would be smaller, only
    // some entries, the relays, hold connections. 0: every entry holds them.
    unsigned relay_min_connections;
    bool relay_by_customer; // a customer's statements go to one relay
    bool key_required;      // key_file is required unless rpc is on loopback
    bool bootstrap;         // the control groups are new; for the first start
    // Whether entries query upstreams for their replication positions. false:
    // upstreams report the position with each response instead.
    bool sample_upstreams;
    // Whether entries choose upstreams and limit their concurrent statements
    // by the latency that they learn.
    bool learned_capacity;
    bool ready_with_lease; // an entry without a lease is not ready
    struct settings_group *groups;
    size_t groups_count;
    char *log_path;
    enum log_level log_level;
    enum log_format log_format;
    int64_t lease_us;     // duration of a lease
    int64_t renew_us;     // interval of lease renewals
    int64_t probe_us;     // interval of position samples and probes
    int64_t heartbeat_us; // interval of Raft heartbeats
    int64_t election_us;  // minimum Raft election timeout
    // Time without announcements after which an upstream expires.
    int64_t announce_expiry_us;
    int64_t suspect_us;    // silence after which an upstream is suspected
    int64_t switchover_us; // time limit of a planned change of primary
    // A connection whose last response is older is validated before a write.
    int64_t idle_proof_us;
    int64_t connect_timeout_us;
    int64_t drain_notice_us; // from failing health check to closed listeners
    int64_t drain_limit_us;  // maximum duration of a planned stop
    int64_t key_revoke_us; // that a transaction may last after its key is gone
    // Bound of the rate limits of customers: in each window at most
    // (rate * window + burst) * (1 + excess) + slack operations.
    int64_t limit_window_us;
    double limit_excess;      // a fraction
    double limit_slack;       // operations
    unsigned clock_drift_ppm; // upper bound of each VM's clock drift
};

bool settings_parse_address(const char *text,
                            struct settings_address *address);
struct settings *settings_load(const char *path, struct buffer *errors);
struct settings *settings_parse(const char *path, const char *text,
                                struct buffer *errors);
const char *const *settings_list_keys(void);
void settings_destroy(struct settings *settings);

#endif
