#ifndef CATKINGRADE_DECIDE_ANNOUNCE_H
#define CATKINGRADE_DECIDE_ANNOUNCE_H

#include <stdbool.h>
#include <stdint.h>

#include "catkingrade/decide/group/group.h"
#include "catkingrade/rpc/messages.h"

// Table of upstream announcements, kept by the coordinator of a control group.
// For each upstream the table records the time of its last announcement and at
// most one deferred change. The table rate-limits published changes, ignores
// stale announcements and finds upstreams whose announcements have stopped. It
// does no I/O; the caller proposes the changes to the Raft log.
struct announce;

// Time of an announcement that has not been made: differences to it are long,
// and do not overflow.
#define ANNOUNCE_NEVER_US (INT64_MIN / 2)

struct announce_params {
    int64_t expiry_us; // an upstream without announcements expires after this
    // Minimum time between two published changes of one upstream.
    int64_t publish_interval_us;
};

enum announce_verdict {
    ANNOUNCE_UNCHANGED,
    ANNOUNCE_PUBLISH,  // propose the change now
    ANNOUNCE_DEFERRED, // accepted; announce_tick publishes it later
    ANNOUNCE_WITHDRAW, // permanent shutdown: propose the expiry now
    ANNOUNCE_REFUSED,
};

// Called for each change to propose now. upstream is valid during the call.
typedef void (*announce_due_fn)(void *data, ck_change_kind kind,
                                const struct ck_upstream *upstream);

struct announce *announce_create(const struct announce_params *params);
void announce_destroy(struct announce *announce);
void announce_load(struct announce *announce, int64_t now_us,
                   const struct group_state *group);
enum announce_verdict announce_handle_upstream(
    struct announce *announce, int64_t now_us, const struct group_state *group,
    const struct ck_upstream *upstream, struct group_result *reason);
void announce_end_proposal(struct announce *announce, const char *upstream);
int64_t announce_get_last_us(const struct announce *announce,
                             const char *upstream);
void announce_tick(struct announce *announce, int64_t now_us,
                   const struct group_state *group, announce_due_fn due,
                   void *data);

#endif
