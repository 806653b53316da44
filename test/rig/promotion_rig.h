#ifndef TEST_RIG_PROMOTION_RIG_H
#define TEST_RIG_PROMOTION_RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/decide/coordinator/coordinator.h"
#include "catkingrade/decide/group/group.h"

// One declared database, the coordinator of the leading control VM, and models
// of the database's upstreams, in virtual time. There are no entries, so that
// no lease delays a change of primary. Upstream u0 is the first primary.

#define PROMOTION_RIG_UPSTREAMS 3
#define PROMOTION_RIG_STEP_US   INT64_C(10000)

struct promotion_rig_upstream {
    char name[8];
    uint64_t timeline;
    uint64_t lsn;
    uint64_t written;    // term of the last write, with counts_terms
    bool is_primary;     // as it sees itself
    bool is_silent;      // answers nothing, and hears of no other primary
    bool is_busy;        // rejects probes as overloaded
    bool is_cut;         // its heartbeats arrive, probes and orders fail
    bool is_probed;      // a probe waits for its answer
    bool probed_primary; // is_primary when the probe was sent
    int64_t probed_us;
    int64_t promoted_us; // when an ordered promotion takes effect; 0: none
    int64_t fenced_us;   // when a FENCE under way takes effect; 0: none
};

struct promotion_rig {
    struct group_state *group;
    struct coordinator *coordinator;
    int64_t now_us;
    uint64_t leader_term;
    uint64_t declared_version;
    struct promotion_rig_upstream upstreams[PROMOTION_RIG_UPSTREAMS];
    int64_t promotion_us;  // from the order of a promotion to its effect
    int64_t answer_us;     // from the answer to a probe to its arrival
    int64_t fence_us;      // from a FENCE order to its effect
    size_t orders_count;   // promotions ordered
    size_t fences_count;   // FENCE orders at upstreams that claimed to be one
    char ordered[8];       // upstream whose promotion was ordered last
    size_t promoted;       // index of the upstream that was promoted last
    size_t split_count;    // steps in which another one was in force
    bool loses_proposals;  // the log takes no more changes
    bool loses_promotions; // the log takes no CK_CHANGE_PROMOTION
    bool fails_orders;     // an order is reported as failed, and takes effect
    bool refuses_orders;   // an order is answered as not run, and is not
    bool counts_terms;     // upstreams say their term and last write
    bool fences_only;      // a fenced upstream still claims to be the primary
};

// Creates the database with one primary and two replicas, of which `confirm`
// must confirm a write, and elects the first leader.
void promotion_rig_start(struct promotion_rig *rig, unsigned confirm);
// Does the same without a primary: u0 claims to be the primary and is silent.
void promotion_rig_start_without_primary(struct promotion_rig *rig);
void promotion_rig_finish(struct promotion_rig *rig);
// Lets virtual time pass.
void promotion_rig_run(struct promotion_rig *rig, int64_t duration_us);
// Runs until the first promotion has been ordered.
void promotion_rig_run_until_ordered(struct promotion_rig *rig);
// Reports the last order as failed, although it takes effect.
void promotion_rig_fail_order(struct promotion_rig *rig);
// Changes the group state this many times, without an effect on the database.
void promotion_rig_add_changes(struct promotion_rig *rig, size_t count);
// Stops the primary's process and supersedes its term.
void promotion_rig_lose_primary(struct promotion_rig *rig);
const struct ck_database *
promotion_rig_get_database(const struct promotion_rig *rig);
// Leaves the database out of the declaration, or declares it again.
void promotion_rig_set_declared(struct promotion_rig *rig, bool is_declared);
// Ends the term of the primary, which goes on running, as a planned change.
void promotion_rig_supersede(struct promotion_rig *rig);
// Replaces the leader by another one, which knows the log only. What the old
// one has ordered still takes effect, without being reported.
void promotion_rig_change_leader(struct promotion_rig *rig);

#endif
