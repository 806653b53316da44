#ifndef TEST_FAKE_FLEET_H
#define TEST_FAKE_FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/decide/coordinator.h"
#include "catkingrade/decide/group.h"
#include "catkingrade/decide/leaseholder.h"
#include "catkingrade/decide/raft.h"
#include "test/fake/network.h"

// One control group with its voters, a few entries that save to one database
// without pause, and the upstreams of that database as plain structs; all on
// the virtual network. Checks the promises while it runs.

#define FLEET_MAX_VOTERS    3
#define FLEET_MAX_ENTRIES   8
#define FLEET_MAX_UPSTREAMS 5
#define FLEET_MAX_NODES                                                       \
    (FLEET_MAX_VOTERS + FLEET_MAX_ENTRIES + FLEET_MAX_UPSTREAMS)
#define FLEET_MAX_SAVES          20000
#define FLEET_MAX_UNACKNOWLEDGED 64
#define FLEET_DATABASE           "roster1"
#define FLEET_VIOLATION_SIZE     256
#define FLEET_PROBE_TIMEOUT_US   200000

struct fleet_params {
    uint64_t seed;
    int voters;
    int entries;
    int upstreams;
    int64_t domain_delay_us;   // one way, between failure domains
    const char *promotion;     // "wait" or "operator"
    int drift_ppm;             // of the entries' clocks, each its own sign
    int64_t lost_retention_us; // 0: the usual value
};

#define FLEET_MAX_TIMELINES 64

// A database server.
struct fleet_upstream {
    uint64_t *saves; // ids of saves; the place plus one is the lsn
    size_t saves_count;
    uint64_t timeline;
    // Saves before each timeline of its history, as a server's history files
    // tell: a log that missed a timeline forked off where that one began.
    size_t bases[FLEET_MAX_TIMELINES];
    bool is_primary;
    bool is_dead; // its host refuses everything
    bool is_leaving;
    bool was_fenced;
    int follows; // place, or -1
    uint64_t promote_call;
    uint64_t promote_term;
    int promote_node;
    struct {
        uint64_t call;
        int node;
        size_t lsn;
    } waiting[FLEET_MAX_UNACKNOWLEDGED];
    size_t waiting_count;
};

struct fleet_entry {
    struct leaseholder *holder;
    uint64_t incarnation;
    uint64_t revision;
    uint64_t term;
    int primary; // place, or -1
    bool superseding;
    uint64_t min_term; // terms below are revoked here
    int64_t lease_until_us;
    struct ck_quota quotas[FLEET_MAX_UPSTREAMS]; // without names
    bool saving;
    uint64_t save_call;
    uint64_t save_id;
    uint64_t save_term;
    int64_t save_sent_us;
    int64_t suspect_since_us;
    size_t acknowledged;
    size_t unknown;
};

struct fleet_voter {
    struct raft *raft;
    struct group_state *group;
    struct coordinator *coordinator;
    bool was_elected;
    uint64_t elected_term;
};

struct fleet_acknowledged_save {
    uint64_t save;
    uint64_t term;
    int64_t at_us;
    int entry;
};

struct fleet_call {
    uint64_t id;
    int node;
    int kind;
    char name[64]; // upstream, or VM
    uint64_t incarnation;
    uint64_t sequence;
    struct fleet_call *next;
};

struct fleet {
    struct fleet_params params;
    struct network *network;
    struct fleet_voter voters[FLEET_MAX_VOTERS];
    struct fleet_entry entries[FLEET_MAX_ENTRIES];
    struct fleet_upstream upstreams[FLEET_MAX_UPSTREAMS];
    struct fleet_call *calls;
    uint64_t next_call;
    uint64_t next_save;
    struct fleet_acknowledged_save *acknowledged;
    size_t acknowledged_count;
    uint64_t promoted_term; // the highest that any upstream was promoted for
    // What the last command was answered.
    bool command_answered;
    int command_outcome;
    // Times of the newest record of each kind, and all of them as text.
    int64_t lost_us;
    int64_t superseded_us;
    int64_t revoked_us;
    int64_t promoted_us;
    int64_t published_us;
    size_t superseded_count;
    size_t promotion_waits_count;
    // The first broken promise; empty: none.
    char violation[FLEET_VIOLATION_SIZE];
};

struct fleet *fleet_create(const struct fleet_params *params);
void fleet_destroy(struct fleet *fleet);
// Runs for so long.
void fleet_run(struct fleet *fleet, int64_t duration_us);
// Runs until the entry, or any for -1, has acknowledged a save of a term at
// least this high; returns the virtual time, or -1 after the limit.
int64_t fleet_run_until_saved(struct fleet *fleet, int entry, uint64_t term,
                              int64_t limit_us);
int fleet_get_leader(const struct fleet *fleet); // voter's place, or -1
const struct ck_database *fleet_get_database(const struct fleet *fleet);
int fleet_get_primary(const struct fleet *fleet); // upstream's place, or -1
void fleet_submit_command(struct fleet *fleet, ck_command_kind kind,
                          int target);
// Ends the run's checks: states of voters agree, nothing acknowledged is lost.
void fleet_check_final_state(struct fleet *fleet);

// Nodes of the network.
int fleet_voter_node(int voter);
int fleet_entry_node(const struct fleet *fleet, int entry);
int fleet_upstream_node(const struct fleet *fleet, int upstream);

// Faults.
void fleet_kill_upstream(struct fleet *fleet, int upstream);
void fleet_restart_upstream(struct fleet *fleet, int upstream);
// Ends an entry's process and starts a new one that knows nothing.
void fleet_restart_entry(struct fleet *fleet, int entry);
void fleet_stop_node(struct fleet *fleet, int node);
void fleet_set_paths_down(struct fleet *fleet, int one, int other, bool cut);
void fleet_set_control_paths_down(struct fleet *fleet, int upstream, bool cut);
// Cuts the listed nodes from all others, or mends every path.
void fleet_isolate(struct fleet *fleet, const int *nodes, int count);
void fleet_restore_paths(struct fleet *fleet);
size_t fleet_count_unknown_saves(const struct fleet *fleet);

#endif
