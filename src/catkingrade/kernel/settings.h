#ifndef CATKINGRADE_KERNEL_SETTINGS_H
#define CATKINGRADE_KERNEL_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/log.h"

enum settings_role {
    SETTINGS_ROLE_ENTRY = 1,
    SETTINGS_ROLE_CONTROL = 2,
};

// An IP number and a port; host is empty when it is not set.
struct settings_address {
    char host[64];
    uint16_t port;
};

// A voter of a control group at its first start.
struct settings_voter {
    uint64_t id;
    char *vm;
    struct settings_address rpc;
};

struct settings_group {
    char *name;
    char *failure_domain; // empty: the fleet group
    struct settings_voter *voters;
    size_t voters_count;
};

// The users' platform, when callers and upstreams speak its protocols.
struct settings_platform {
    struct settings_address listen;  // for callers; port 0: none
    struct settings_address relay;   // for other entries; port 0: none
    bool control;                    // takes operators' calls over HTTP
    struct settings_address promote; // where promotions are asked for
};

// All settings of a daemon; docs/SETTINGS.md lists keys, units and ranges.
struct settings {
    char *file; // path it was read from
    char *vm;
    char *failure_domain;
    char *region;
    unsigned roles; // enum settings_role
    struct settings_address postgres;
    struct settings_platform platform;
    struct settings_address rpc;
    struct settings_address http;
    struct settings_address metrics; // of HTTP too, for scrapers
    char *data_dir;
    char *key_file;  // shared key of daemons and operators
    char *view_file; // static view for an entry without control
    char *tls_cert_file;
    char *tls_key_file;
    bool tls_required;
    char *token_keys_file;
    char *upstream_user;
    char *upstream_password_file;
    char *upstream_sslmode;
    char *upstream_promote_sql; // statements separated by ;
    char *upstream_follow_sql;  // {host} and {port} of the primary
    char *upstream_fence_sql;
    unsigned traffic_threads;
    unsigned max_sessions;
    unsigned classify_cache_entries;
    struct settings_address *seeds;
    size_t seeds_count;
    uint16_t seeds_port;    // in place of the seeds' own ports; 0: keep those
    bool voters_from_seeds; // the fleet group's founders are the seeds
    unsigned tolerated_losses;      // of voters at once; from the seeds
    unsigned relay_min_connections; // an entry's share; 0: none is relayed
    bool key_required;              // off loopback
    bool bootstrap;        // the groups are new: their very first start
    bool sample_upstreams; // false: positions come with answers alone
    bool ready_with_lease; // an entry is ready only with a lease
    struct settings_group *groups;
    size_t groups_count;
    char *log_path;
    enum log_level log_level;
    enum log_format log_format;
    int64_t lease_us;
    int64_t renew_us;
    int64_t probe_us;
    int64_t heartbeat_us;
    int64_t election_us; // shortest election timeout
    int64_t announce_expiry_us;
    int64_t suspect_us;    // silence after which an upstream is suspected
    int64_t idle_proof_us; // idle connections prove themselves after this
    int64_t connect_timeout_us;
    int64_t drain_notice_us; // between red health and closed listeners
    int64_t drain_limit_us;
    unsigned clock_drift_ppm;
};

bool settings_parse_address(const char *text,
                            struct settings_address *address);
struct settings *settings_load(const char *path, struct buffer *errors);
struct settings *settings_parse(const char *path, const char *text,
                                struct buffer *errors);
// The keys at the top of a settings file, ended by NULL.
const char *const *settings_list_keys(void);
void settings_destroy(struct settings *settings);

#endif
