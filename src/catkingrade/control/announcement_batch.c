#include "catkingrade/control/announcement_batch.h"

#include <stdlib.h>
#include <string.h>

#include "catkingrade/control/control_state.h"
#include "catkingrade/decide/group/group.h"
#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/daemon.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

// A list is sent this time after its first announcement.
#define ANNOUNCEMENT_BATCH_WAIT_US 50000
// Or once it has this many, which fit into a datagram.
#define ANNOUNCEMENT_BATCH_MAX_COUNT 64
// A list that the leader does not answer is sent again after this time, until
// the upstreams' next announcements are due.
#define ANNOUNCEMENT_BATCH_RETRY_US   250000
#define ANNOUNCEMENT_BATCH_TIMEOUT_US 1000000

struct announcement_batch {
    struct control *control;
    char *group;
    struct loop_timer *timer;
    struct settings_address leader; // that the next list is sent to
    struct ck_upstream upstreams[ANNOUNCEMENT_BATCH_MAX_COUNT]; // deep copies
    size_t count;
};

// The leader has handled the list like single announcements. One that it did
// not get is as one that was lost on its way: the upstream announces itself
// again.
static void
announcement_batch_handle_result(void *data, int outcome, const void *result)
{
    (void)data;
    (void)result;
    if (outcome != OUTCOME_OK && outcome != OUTCOME_CLOSED) {
        counter_add(COUNTER_ANNOUNCEMENT_LISTS_LOST, 1);
    }
}

static void
announcement_batch_clear(struct announcement_batch *batch)
{
    for (size_t i = 0; i < batch->count; i++) {
        codec_free((xdrproc_t)xdr_ck_upstream, &batch->upstreams[i]);
    }
    batch->count = 0;
    loop_timer_clear(batch->timer);
}

static void
announcement_batch_send(struct announcement_batch *batch)
{
    struct ck_announce_args args = {.group = batch->group};

    if (batch->count == 0) {
        return;
    }
    args.upstreams.upstreams_val = batch->upstreams;
    args.upstreams.upstreams_len = (u_int)batch->count;
    rpcnet_call(batch->control->daemon->rpcnet, &batch->leader,
                &rpcnet_announce, &args, ANNOUNCEMENT_BATCH_TIMEOUT_US,
                ANNOUNCEMENT_BATCH_RETRY_US, announcement_batch_handle_result,
                NULL);
    announcement_batch_clear(batch);
}

static void
announcement_batch_handle_timer(void *data)
{
    announcement_batch_send(data);
}

// Returns an empty batch for a group.
struct announcement_batch *
announcement_batch_create(struct control *control, const char *group)
{
    struct announcement_batch *batch = xcalloc(1, sizeof(*batch));

    batch->control = control;
    batch->group = xstrdup(group);
    batch->timer = loop_timer_create(control->loop,
                                     announcement_batch_handle_timer, batch);
    return batch;
}

// Frees the batch and the announcements that wait in it. NULL is allowed.
void
announcement_batch_destroy(struct announcement_batch *batch)
{
    if (batch == NULL) {
        return;
    }
    announcement_batch_clear(batch);
    loop_timer_destroy(batch->timer);
    free(batch->group);
    free(batch);
}

// Adds an announcement to the list for a leader.
void
announcement_batch_add(struct announcement_batch *batch,
                       const struct settings_address *leader,
                       const struct ck_upstream *upstream)
{
    bool same = leader->port == batch->leader.port &&
                strcmp(leader->host, batch->leader.host) == 0;

    if (!same) {
        announcement_batch_send(batch);
        batch->leader = *leader;
    }
    if (batch->count == 0) {
        loop_timer_set(batch->timer,
                       monotonic_get_us() + ANNOUNCEMENT_BATCH_WAIT_US);
    }
    struct ck_upstream *added = &batch->upstreams[batch->count++];
    codec_copy((xdrproc_t)xdr_ck_upstream, upstream, added, sizeof(*added));
    if (batch->count == ANNOUNCEMENT_BATCH_MAX_COUNT) {
        announcement_batch_send(batch);
    }
}

// Passes an announcement to the leader of its group; done is called once. One
// that changes nothing in the state that this VM's voter has applied is
// acknowledged at once, as that state is in the log, and goes to the leader of
// the fleet's group with others. Any other one is acknowledged by the leader.
void
announcement_submit(struct control *control, const char *group,
                    const struct ck_upstream *upstream, forward_apply_fn done,
                    void *data)
{
    struct ck_change change = {.kind = CK_CHANGE_UPSTREAM};
    struct settings_address leader = {0};
    struct group_host *host = control_find_host(control, group);

    if (host != NULL && !group_host_leads(host) &&
        strcmp(group, GROUP_FLEET_NAME) == 0 &&
        group_host_hears_leader(host) &&
        group_host_has_upstream(host, upstream)) {
        group_host_get_leader(host, &leader);
    }
    if (leader.port != 0) {
        announcement_batch_add(control->announcements, &leader, upstream);
        done(data, OUTCOME_OK, "no change");
        return;
    }
    change.ck_change_u.upstream = *upstream;
    forward_apply(control, group, &change, done, data);
}
