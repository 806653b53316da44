#ifndef TEST_RIG_CHANGE_RIG_H
#define TEST_RIG_CHANGE_RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/decide/coordinator/coordinator.h"
#include "catkingrade/decide/group/group.h"

// Planned changes of primary in virtual time: the coordinator of the leading
// control VM, two declared databases of three upstreams each, and entries that
// hold leases of both. Entries may stop, freeze, be cut off or be killed one
// after another while a change runs.

#define CHANGE_RIG_START_US INT64_C(1000000)
#define CHANGE_RIG_STEP_US  INT64_C(10000)
#define CHANGE_RIG_LEASE_US INT64_C(3000000)
// A leaving upstream serves for this time after its announcement.
#define CHANGE_RIG_SERVES_US         INT64_C(7000000)
#define CHANGE_RIG_PROMOTION_US      INT64_C(500000)
#define CHANGE_RIG_NOTIFY_TIMEOUT_US INT64_C(300000)
#define CHANGE_RIG_ANNOUNCE_US       INT64_C(500000)
#define CHANGE_RIG_SERIES_GAP_US     INT64_C(250000)
#define CHANGE_RIG_SERIES_LEAD_US    INT64_C(2000000)
#define CHANGE_RIG_ENTRIES           24
#define CHANGE_RIG_DATABASES         2
#define CHANGE_RIG_UPSTREAMS_EACH    3
#define CHANGE_RIG_UPSTREAMS         (CHANGE_RIG_DATABASES * CHANGE_RIG_UPSTREAMS_EACH)

enum change_rig_series_kind {
    CHANGE_RIG_SERIES_STOP,
    CHANGE_RIG_SERIES_FREEZE,
    CHANGE_RIG_SERIES_CUT,
    CHANGE_RIG_SERIES_KILL,
    CHANGE_RIG_SERIES_COUNT
};

// What the entries of a series do: how many take turns, how long one is
// silent, and whether it returns as a new incarnation.
struct change_rig_series {
    enum change_rig_series_kind kind;
    size_t entries;
    int64_t silent_us;
    bool is_restart;
};

struct change_rig_entry {
    char vm[8];
    uint64_t incarnation;
    uint64_t sequence;
    uint64_t revision;
    uint64_t confirmed[CHANGE_RIG_DATABASES]; // terms
    int64_t silent_until_us;
    int64_t next_renew_us;
    int64_t notified_us; // notification in flight since; 0: none
    int64_t covers_us;   // until then it may acknowledge writes of the term
    bool restarts;       // when its silence ends
    int64_t renew_us;
    bool is_stuck; // a write in the first database does not end
};

struct change_rig_upstream {
    char name[8];
    size_t database;
    uint64_t lsn;
    char host[16];
    ck_upstream_state state;
    bool is_busy; // it answers probes without a position
    bool is_gone; // it neither announces itself nor answers
    bool is_probed;
    bool is_unfenced;    // claims to be a primary, although another one is
    bool is_fencing;     // a FENCE is in flight
    int64_t fence_us;    // no FENCE ends before
    int64_t promoted_us; // end of its promotion; 0: none
};

struct change_rig {
    struct group_state *group;
    struct coordinator *coordinator;
    int64_t now_us;
    struct change_rig_entry entries[CHANGE_RIG_ENTRIES];
    struct change_rig_upstream upstreams[CHANGE_RIG_UPSTREAMS];
    struct change_rig_entry *renewing;
    uint64_t promoted_term; // term after which PROMOTE was ordered
    size_t next_victim;
    // A term of the first database begins at a position that its replicas
    // reach with its first write.
    bool is_replicated;
    int64_t serves_since_us; // the term of the first database; 0: not
    int64_t longest_gap_us;  // without a term of the first database
    int64_t gap_since_us;
    int command_outcome; // of the last reply to a command
};

extern const char *const change_rig_databases[CHANGE_RIG_DATABASES];
extern const struct change_rig_series
    change_rig_series[CHANGE_RIG_SERIES_COUNT];

const struct ck_database *change_rig_get_database(const struct change_rig *rig,
                                                  size_t index);
// Fails if an entry may acknowledge writes in a term of the first database.
void change_rig_check_no_lease_covers_term(const struct change_rig *rig);
// Runs a step of the coordinator and carries out its actions.
void change_rig_step(struct change_rig *rig, struct coordinator_event *event);
// Lets an upstream announce its state.
void change_rig_announce(struct change_rig *rig,
                         const struct change_rig_upstream *upstream);
// Lets one step of virtual time pass; plan: what the entries do, or NULL.
void change_rig_advance(struct change_rig *rig,
                        const struct change_rig_series *plan);
// Creates the databases, each with one primary (u0, u3) and two replicas, and
// the entries, and elects the first leader.
void change_rig_start(struct change_rig *rig);
void change_rig_finish(struct change_rig *rig);
// Lets a primary announce that it leaves.
void change_rig_withdraw(struct change_rig *rig, const char *name);
// Runs until the upstream is no longer the primary. Returns the time.
int64_t change_rig_replace_primary(struct change_rig *rig, const char *leaving,
                                   const struct change_rig_series *plan);
// Runs until a time.
void change_rig_run_until(struct change_rig *rig, int64_t until_us,
                          const struct change_rig_series *plan);
// Runs until the first database has a term. Returns the time since begin_us.
int64_t change_rig_run_until_term(struct change_rig *rig, uint64_t term,
                                  int64_t begin_us,
                                  const struct change_rig_series *plan);
struct change_rig_upstream *
change_rig_run_until_promoting(struct change_rig *rig,
                               const struct change_rig_series *plan);
void change_rig_elect_next_leader(struct change_rig *rig);
// Elects a leader that has just started, and knows the group state only.
void change_rig_elect_restarted_leader(struct change_rig *rig);
// Runs until the upstream is the primary of the first database. Returns the
// time since begin_us.
int64_t change_rig_run_until_primary(struct change_rig *rig, const char *name,
                                     int64_t begin_us);
void change_rig_run_until_superseding(struct change_rig *rig);
void change_rig_order_switchover(struct change_rig *rig, const char *target);
// Plays a change whose replicas lag and lease holders end late. Returns the
// time until the next term.
int64_t change_rig_play_lagging_replicas(struct change_rig *rig);
// Runs until a leaving upstream has used up its time. From then on no entry
// may write to it, and it is the primary of no term that entries serve.
void change_rig_check_serves_no_longer(struct change_rig *rig,
                                       const char *name, int64_t leaving_us);

#endif
