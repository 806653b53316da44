#ifndef TEST_FAKE_FLEET_H
#define TEST_FAKE_FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/decide/coordinator/coordinator.h"
#include "catkingrade/decide/group/group.h"
#include "catkingrade/decide/leaseholder/leaseholder.h"
#include "catkingrade/decide/raft/raft.h"
#include "test/fake/network.h"

// Simulates a control group and the entries and upstreams that it manages, on
// the simulated network (test/fake/network.h), for tests of failover. Voters
// run the real Raft and coordinator code, and entries run the real leaseholder
// code. Upstreams are simple models of database servers. Every entry sends
// saves (write transactions) to one database continuously.
//
// While the simulation runs, it checks these guarantees and records the first
// violation:
// - revisions and terms never decrease;
// - the quotas of all entries together stay within an upstream's limits;
// - no save of an old term is acknowledged to a client once an upstream has
//   been promoted for a newer term;
// - a promoted upstream holds every acknowledged save.

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
    int64_t domain_delay_us; // one way, between failure domains
    const char *promotion;   // "wait" or "operator"
    int drift_ppm; // rate error of the entries' clocks, signs alternate
    int64_t
        lost_retention_us; // as in struct coordinator_params; 0: the default
};

#define FLEET_MAX_TIMELINES 64

// A model of a database server.
struct fleet_upstream {
    uint64_t *saves; // the log: ids of saves; the LSN is the index plus one
    size_t saves_count;
    uint64_t timeline;
    // Number of saves before the start of each timeline, as in a server's
    // timeline history files. A log that lacks a timeline diverges at the
    // latest where that timeline starts.
    size_t bases[FLEET_MAX_TIMELINES];
    bool is_primary;
    bool is_dead; // process stopped; its host refuses all requests
    bool is_leaving;
    bool was_fenced;
    int follows; // index of the upstream it replicates from, or -1
    // The promotion in progress: the request, its term and the caller's node.
    uint64_t promote_call;
    uint64_t promote_term;
    int promote_node;
    // Saves that no replica has confirmed yet.
    struct {
        uint64_t call;
        int node;
        size_t lsn;
    } unacknowledged[FLEET_MAX_UNACKNOWLEDGED];
    size_t unacknowledged_count;
};

struct fleet_entry {
    struct leaseholder *leaseholder;
    uint64_t incarnation;
    uint64_t revision;
    uint64_t term;
    int primary;       // index of the upstream, or -1
    bool superseding;  // the coordinator is replacing the primary of `term`
    uint64_t min_term; // all terms below this one are revoked at this entry
    int64_t lease_until_us;
    struct ck_quota quotas[FLEET_MAX_UPSTREAMS]; // their names are not valid
    // The save in flight.
    bool saving;
    uint64_t save_call;
    uint64_t save_id;
    uint64_t save_term;
    int64_t save_sent_us;
    int64_t suspect_since_us; // first suspicion since the last success; or 0
    size_t acknowledged;      // saves acknowledged to the client
    size_t unknown;           // saves whose outcome is unknown
};

struct fleet_voter {
    struct raft *raft;
    struct group_state *group;
    struct coordinator *coordinator;
    bool was_elected; // the coordinator has been notified of this election
    uint64_t elected_term;
};

// A save that an entry acknowledged to its client.
struct fleet_acknowledged_save {
    uint64_t save;
    uint64_t term;
    int64_t at_us; // virtual time of the acknowledgement
    int entry;
};

// A request of a voter or an entry that waits for its reply.
struct fleet_call {
    uint64_t id;
    int node;
    int kind;
    char name[64]; // upstream or VM that is called
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
    uint64_t promoted_term; // highest term an upstream was promoted for
    // The reply to the last operator command.
    bool command_answered;
    int command_outcome;
    // Virtual time of the coordinator's newest record of each kind.
    int64_t lost_us;
    int64_t superseded_us;
    int64_t revoked_us;
    int64_t promoted_us;
    int64_t published_us;
    size_t superseded_count;
    size_t promotion_waits_count;
    // Description of the first violated guarantee; empty if there is none.
    char violation[FLEET_VIOLATION_SIZE];
};

struct fleet *fleet_create(const struct fleet_params *params);
void fleet_destroy(struct fleet *fleet);
// Runs the simulation for a duration of virtual time.
void fleet_run(struct fleet *fleet, int64_t duration_us);
// Runs until an entry (-1: any entry) acknowledges a save whose term is at
// least term. Returns the virtual time of the acknowledgement, or -1 if there
// is none within limit_us.
int64_t fleet_run_until_saved(struct fleet *fleet, int entry, uint64_t term,
                              int64_t limit_us);
int fleet_get_leader(const struct fleet *fleet); // index of the voter, or -1
const struct ck_database *fleet_get_database(const struct fleet *fleet);
int fleet_get_primary(const struct fleet *fleet); // upstream index, or -1
void fleet_submit_command(struct fleet *fleet, ck_command_kind kind,
                          int target);
// Checks at the end of a run that the voters' states agree and that no
// acknowledged save is lost.
void fleet_check_final_state(struct fleet *fleet);

// Node numbers on the simulated network.
int fleet_voter_node(int voter);
int fleet_entry_node(const struct fleet *fleet, int entry);
int fleet_upstream_node(const struct fleet *fleet, int upstream);

// Fault injection.
void fleet_kill_upstream(struct fleet *fleet, int upstream);
void fleet_restart_upstream(struct fleet *fleet, int upstream);
// Replaces an entry's process by a new one without state.
void fleet_restart_entry(struct fleet *fleet, int entry);
void fleet_stop_node(struct fleet *fleet, int node);
void fleet_set_paths_down(struct fleet *fleet, int one, int other, bool down);
void fleet_set_control_paths_down(struct fleet *fleet, int upstream,
                                  bool down);
// fleet_isolate() takes down all paths between the listed nodes and the other
// nodes; fleet_restore_paths() brings all paths up.
void fleet_isolate(struct fleet *fleet, const int *nodes, int count);
void fleet_restore_paths(struct fleet *fleet);
size_t fleet_count_unknown_saves(const struct fleet *fleet);

#endif
