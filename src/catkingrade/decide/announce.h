#ifndef CATKINGRADE_DECIDE_ANNOUNCE_H
#define CATKINGRADE_DECIDE_ANNOUNCE_H

#include <stdbool.h>
#include <stdint.h>

#include "catkingrade/decide/group.h"
#include "catkingrade/rpc/messages.h"

// When each upstream last announced itself, and which of its changes wait
// until they may be published.
struct announce;

struct announce_params {
    int64_t expiry_us;
    int64_t publish_us; // least time between two changes of one upstream
};

enum announce_verdict {
    ANNOUNCE_UNCHANGED,
    ANNOUNCE_PUBLISH,  // propose it now
    ANNOUNCE_DEFERRED, // taken; published when the least time has passed
    ANNOUNCE_WITHDRAW, // it is gone for good: propose its expiry now
    ANNOUNCE_REFUSED,
};

// Called for each change that is due; upstream is borrowed.
typedef void (*announce_due_fn)(void *data, ck_change_kind kind,
                                const struct ck_upstream *upstream);

struct announce *announce_create(const struct announce_params *params);
void announce_destroy(struct announce *announce);
// Takes the group's upstreams as announced just now.
void announce_load(struct announce *announce, int64_t now_us,
                   const struct group_state *group);
enum announce_verdict announce_handle_upstream(
    struct announce *announce, int64_t now_us, const struct group_state *group,
    const struct ck_upstream *upstream, struct group_result *reason);
// A proposal has ended, whether it was accepted or not.
void announce_end_proposal(struct announce *announce, const char *upstream);
// Returns when the upstream last announced itself; INT64_MIN: never.
int64_t announce_get_last_us(const struct announce *announce,
                             const char *upstream);
// Finds held changes and expired upstreams. The primary of a term that stands
// does not expire: its silence is a matter of failover.
void announce_tick(struct announce *announce, int64_t now_us,
                   const struct group_state *group, announce_due_fn due,
                   void *data);

#endif
