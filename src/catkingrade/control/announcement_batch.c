#include "catkingrade/control/announcement_batch.h"

#include <stdlib.h>
#include <string.h>

#include "catkingrade/control/control_state.h"
#include "catkingrade/decide/group/group.h"
#include "catkingrade/kernel/daemon.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

// A list is sent this time after its first announcement.
#define ANNOUNCEMENT_BATCH_WAIT_US 50000
// Or once it has this many, which fit into a datagram.
#define ANNOUNCEMENT_BATCH_MAX_COUNT 64
// An upstream waits 1 s for its answer. What is left is for the announcement
// by itself, if there is no answer to the list.
#define ANNOUNCEMENT_BATCH_TIMEOUT_US 250000

struct announcement_item {
    struct ck_upstream upstream; // deep copy
    forward_apply_fn done;
    void *data;
};

// A list that the leader has not answered yet.
struct announcement_call {
    struct announcement_batch *batch;
    size_t count;
    struct announcement_item items[ANNOUNCEMENT_BATCH_MAX_COUNT];
};

struct announcement_batch {
    struct control *control;
    char *group;
    struct loop_timer *timer;
    struct settings_address leader; // that the next list is sent to
    struct announcement_call *next; // NULL: no announcement waits
};

static void
announcement_batch_finish(struct announcement_item *item, int outcome,
                          const char *text)
{
    item->done(item->data, outcome, text);
    codec_free((xdrproc_t)xdr_ck_upstream, &item->upstream);
}

static void
announcement_batch_forward(struct announcement_batch *batch,
                           struct announcement_item *item)
{
    struct ck_change change = {.kind = CK_CHANGE_UPSTREAM};

    change.ck_change_u.upstream = item->upstream;
    forward_apply(batch->control, batch->group, &change, item->done,
                  item->data);
    codec_free((xdrproc_t)xdr_ck_upstream, &item->upstream);
}

static void
announcement_batch_handle_result(void *data, int outcome, const void *result)
{
    struct announcement_call *call = data;
    const struct ck_announce_result *answer = result;
    bool handled = outcome == OUTCOME_OK && answer->outcome == OUTCOME_OK &&
                   answer->outcomes.outcomes_len == call->count;

    for (size_t i = 0; i < call->count; i++) {
        struct announcement_item *item = &call->items[i];
        if (outcome == OUTCOME_CLOSED) {
            announcement_batch_finish(item, OUTCOME_UNAVAILABLE, "stopping");
        }
        else if (handled && answer->outcomes.outcomes_val[i] == OUTCOME_OK) {
            announcement_batch_finish(item, OUTCOME_OK, "no change");
        }
        else {
            announcement_batch_forward(call->batch, item);
        }
    }
    free(call);
}

static void
announcement_batch_send(struct announcement_batch *batch)
{
    struct announcement_call *call = batch->next;
    struct ck_upstream upstreams[ANNOUNCEMENT_BATCH_MAX_COUNT];
    struct ck_announce_args args = {.group = batch->group};

    if (call == NULL) {
        return;
    }
    batch->next = NULL;
    loop_timer_clear(batch->timer);
    for (size_t i = 0; i < call->count; i++) {
        upstreams[i] = call->items[i].upstream;
    }
    args.upstreams.upstreams_val = upstreams;
    args.upstreams.upstreams_len = (u_int)call->count;
    rpcnet_call(batch->control->daemon->rpcnet, &batch->leader,
                &rpcnet_announce, &args, ANNOUNCEMENT_BATCH_TIMEOUT_US,
                ANNOUNCEMENT_BATCH_TIMEOUT_US,
                announcement_batch_handle_result, call);
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

// Frees the batch; the announcements that wait get OUTCOME_UNAVAILABLE. Lists
// that were sent must have been answered or given up. NULL is allowed.
void
announcement_batch_destroy(struct announcement_batch *batch)
{
    if (batch == NULL) {
        return;
    }
    if (batch->next != NULL) {
        announcement_batch_handle_result(batch->next, OUTCOME_CLOSED, NULL);
    }
    loop_timer_destroy(batch->timer);
    free(batch->group);
    free(batch);
}

// Adds an announcement to the list for a leader. done is called once.
void
announcement_batch_add(struct announcement_batch *batch,
                       const struct settings_address *leader,
                       const struct ck_upstream *upstream,
                       forward_apply_fn done, void *data)
{
    bool same = leader->port == batch->leader.port &&
                strcmp(leader->host, batch->leader.host) == 0;

    if (!same) {
        announcement_batch_send(batch);
        batch->leader = *leader;
    }
    if (batch->next == NULL) {
        batch->next = xcalloc(1, sizeof(*batch->next));
        batch->next->batch = batch;
        loop_timer_set(batch->timer,
                       monotonic_get_us() + ANNOUNCEMENT_BATCH_WAIT_US);
    }
    struct announcement_item *item = &batch->next->items[batch->next->count++];
    codec_copy((xdrproc_t)xdr_ck_upstream, upstream, &item->upstream,
               sizeof(item->upstream));
    item->done = done;
    item->data = data;
    if (batch->next->count == ANNOUNCEMENT_BATCH_MAX_COUNT) {
        announcement_batch_send(batch);
    }
}

// Passes an announcement to the leader of its group; done is called once. One
// that changes nothing in the state that this VM's voter has applied goes with
// others of the fleet's group, any other one at once.
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
        group_host_has_upstream(host, upstream)) {
        group_host_get_leader(host, &leader);
    }
    if (leader.port != 0) {
        announcement_batch_add(control->announcements, &leader, upstream, done,
                               data);
        return;
    }
    change.ck_change_u.upstream = *upstream;
    forward_apply(control, group, &change, done, data);
}
