#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/rpc/codec.h"
#include "test/fake/changes.h"
#include "test/fake/fleet_private.h"

#define FLEET_ANNOUNCE_INTERVAL_US 250000
#define FLEET_PULL_INTERVAL_US     20000
#define FLEET_PROMOTE_DELAY_US     50000

static struct ck_position
fleet_get_position(const struct fleet_upstream *own)
{
    struct ck_position position = {own->timeline, own->saves_count};

    return position;
}

static void
fleet_arm_timer(struct fleet *fleet, int upstream, uint64_t tag,
                int64_t after_us)
{
    int node = fleet_upstream_node(fleet, upstream);

    network_set_timer(fleet->network, node, tag,
                      network_get_node_now_us(fleet->network, node) +
                          after_us);
}

// Returns whether the upstream has a save.
bool
fleet_upstream_has(const struct fleet_upstream *upstream, uint64_t save)
{
    for (size_t i = 0; i < upstream->saves_count; i++) {
        if (upstream->saves[i] == save) {
            return true;
        }
    }
    return false;
}

// Starts an upstream; the first is the primary and the others follow it.
void
fleet_upstream_start(struct fleet *fleet, int upstream)
{
    struct fleet_upstream *own = &fleet->upstreams[upstream];

    own->saves = xcalloc(FLEET_MAX_SAVES, sizeof(uint64_t));
    own->timeline = 1;
    own->is_primary = upstream == 0;
    own->follows = upstream == 0 ? -1 : 0;
    fleet_arm_timer(fleet, upstream, FLEET_TIMER_ANNOUNCE, upstream * 10000);
    fleet_arm_timer(fleet, upstream, FLEET_TIMER_PULL, upstream * 3000);
}

static void
fleet_reply_status(struct fleet *fleet, int upstream, int from,
                   const struct fleet_message *message)
{
    const struct fleet_upstream *own = &fleet->upstreams[upstream];
    struct fleet_message *reply = fleet_create_reply(message);

    reply->refused = own->is_dead;
    reply->is_primary = own->is_primary;
    reply->position = fleet_get_position(own);
    fleet_send_message(fleet, fleet_upstream_node(fleet, upstream), from,
                       reply);
}

// Ends a promotion, and checks that nothing acknowledged is missing here.
static void
fleet_complete_promotion(struct fleet *fleet, int upstream)
{
    struct fleet_upstream *own = &fleet->upstreams[upstream];
    struct fleet_message request = {.kind = FLEET_PROMOTE,
                                    .call = own->promote_call};

    if (own->is_dead) {
        return;
    }
    own->is_primary = true;
    own->follows = -1;
    own->timeline++;
    INVARIANT(own->timeline < FLEET_MAX_TIMELINES);
    own->bases[own->timeline] = own->saves_count;
    own->waiting_count = 0;
    if (own->promote_term > fleet->promoted_term) {
        fleet->promoted_term = own->promote_term;
    }
    for (size_t i = 0; i < fleet->acknowledged_count; i++) {
        const struct fleet_acknowledged_save *row = &fleet->acknowledged[i];
        if (!fleet_upstream_has(own, row->save)) {
            fleet_record_violation(fleet, "u%d is promoted without save %lu",
                                   upstream, (unsigned long)row->save);
        }
    }
    fleet_reply_status(fleet, upstream, own->promote_node, &request);
}

static void
fleet_handle_promote(struct fleet *fleet, int upstream, int from,
                     const struct fleet_message *message)
{
    struct fleet_upstream *own = &fleet->upstreams[upstream];

    own->promote_call = message->call;
    own->promote_term = message->number;
    own->promote_node = from;
    fleet_arm_timer(fleet, upstream, FLEET_TIMER_PROMOTED,
                    FLEET_PROMOTE_DELAY_US);
}

static void
fleet_send_announcement(struct fleet *fleet, int upstream)
{
    char name[16];
    char domain[16];
    char host[32];

    (void)snprintf(name, sizeof(name), "u%d", upstream);
    (void)snprintf(domain, sizeof(domain), "domain%d", upstream % 3);
    (void)snprintf(host, sizeof(host), "10.2.0.%d", upstream + 1);
    struct ck_upstream announced =
        changes_make_upstream(name, FLEET_DATABASE, domain, host);
    announced.state = fleet->upstreams[upstream].is_leaving
                          ? CK_UPSTREAM_LEAVING
                          : CK_UPSTREAM_READY;
    for (int i = 0; i < fleet->params.voters; i++) {
        struct fleet_message *message = fleet_create_message(FLEET_ANNOUNCE);
        (void)codec_encode((xdrproc_t)xdr_ck_upstream, &announced,
                           &message->bytes);
        fleet_send_message(fleet, fleet_upstream_node(fleet, upstream),
                           fleet_voter_node(i), message);
    }
}

static void
fleet_send_pull(struct fleet *fleet, int upstream)
{
    const struct fleet_upstream *own = &fleet->upstreams[upstream];

    if (own->is_dead || own->follows < 0) {
        return;
    }
    struct fleet_message *message = fleet_create_message(FLEET_PULL);
    message->position = fleet_get_position(own);
    fleet_send_message(fleet, fleet_upstream_node(fleet, upstream),
                       fleet_upstream_node(fleet, own->follows), message);
}

// Runs an upstream's timers.
void
fleet_upstream_timer(struct fleet *fleet, int upstream, uint64_t tag)
{
    if (tag == FLEET_TIMER_ANNOUNCE) {
        if (!fleet->upstreams[upstream].is_dead) {
            fleet_send_announcement(fleet, upstream);
        }
        fleet_arm_timer(fleet, upstream, tag, FLEET_ANNOUNCE_INTERVAL_US);
    }
    else if (tag == FLEET_TIMER_PULL) {
        fleet_send_pull(fleet, upstream);
        fleet_arm_timer(fleet, upstream, tag, FLEET_PULL_INTERVAL_US);
    }
    else if (tag == FLEET_TIMER_PROMOTED) {
        fleet_complete_promotion(fleet, upstream);
    }
}

// Answers the saves that a replica holds as well.
static void
fleet_acknowledge_saves(struct fleet *fleet, int upstream, size_t lsn)
{
    struct fleet_upstream *own = &fleet->upstreams[upstream];
    size_t kept = 0;

    for (size_t i = 0; i < own->waiting_count; i++) {
        if (own->waiting[i].lsn > lsn) {
            own->waiting[kept++] = own->waiting[i];
            continue;
        }
        struct fleet_message *reply = fleet_create_message(FLEET_SAVE);
        reply->is_reply = true;
        reply->call = own->waiting[i].call;
        reply->position.timeline = own->timeline;
        reply->position.lsn = own->waiting[i].lsn;
        fleet_send_message(fleet, fleet_upstream_node(fleet, upstream),
                           own->waiting[i].node, reply);
    }
    own->waiting_count = kept;
}

static void
fleet_send_push(struct fleet *fleet, int upstream, int to, size_t start)
{
    const struct fleet_upstream *own = &fleet->upstreams[upstream];
    struct fleet_message *message = fleet_create_message(FLEET_PUSH);

    message->number = start;
    message->position = fleet_get_position(own);
    buffer_append(&message->bytes, own->saves + start,
                  (own->saves_count - start) * sizeof(uint64_t));
    fleet_send_message(fleet, fleet_upstream_node(fleet, upstream), to,
                       message);
}

// Returns up to where a log of an older timeline is a part of this one: to the
// beginning of the first timeline that it missed, at the most.
static size_t
fleet_find_fork_lsn(const struct fleet_upstream *own, uint64_t timeline,
                    size_t saves_count)
{
    for (uint64_t i = timeline + 1; i <= own->timeline; i++) {
        if (saves_count > own->bases[i]) {
            saves_count = own->bases[i];
        }
    }
    return saves_count;
}

static void
fleet_handle_pull(struct fleet *fleet, int upstream, int from,
                  const struct fleet_message *message)
{
    const struct fleet_upstream *own = &fleet->upstreams[upstream];
    bool same = message->position.timeline == own->timeline;
    size_t start = (size_t)message->position.lsn;

    if (!own->is_primary) {
        return;
    }
    if (same) {
        fleet_acknowledge_saves(fleet, upstream, start);
    }
    else {
        start = fleet_find_fork_lsn(own, message->position.timeline, start);
    }
    if (!same || start < own->saves_count) {
        fleet_send_push(fleet, upstream, from, start);
    }
}

// Copies where the timelines began up to one, which never changes.
static void
fleet_copy_history(struct fleet_upstream *own,
                   const struct fleet_upstream *primary, uint64_t timeline)
{
    for (uint64_t i = own->timeline + 1; i <= timeline; i++) {
        own->bases[i] = primary->bases[i];
    }
}

static void
fleet_handle_push(struct fleet *fleet, int upstream, int from,
                  const struct fleet_message *message)
{
    struct fleet_upstream *own = &fleet->upstreams[upstream];
    size_t count = buffer_get_size(&message->bytes) / sizeof(uint64_t);
    bool from_primary =
        own->follows >= 0 && from == fleet_upstream_node(fleet, own->follows);
    bool newer = message->position.timeline > own->timeline ||
                 message->position.lsn > own->saves_count;

    if (!from_primary || message->position.timeline < own->timeline ||
        message->number > own->saves_count || !newer) {
        return;
    }
    if (count > 0) {
        memcpy(own->saves + message->number, buffer_get_data(&message->bytes),
               count * sizeof(uint64_t));
    }
    own->saves_count = message->number + count;
    fleet_copy_history(own, &fleet->upstreams[own->follows],
                       message->position.timeline);
    own->timeline = message->position.timeline;
    fleet_send_pull(fleet, upstream);
}

static void
fleet_handle_save(struct fleet *fleet, int upstream, int from,
                  const struct fleet_message *message)
{
    struct fleet_upstream *own = &fleet->upstreams[upstream];

    if (!own->is_primary) {
        fleet_send_message(fleet, fleet_upstream_node(fleet, upstream), from,
                           fleet_create_reply(message));
        return;
    }
    INVARIANT(own->saves_count < FLEET_MAX_SAVES);
    if (own->waiting_count == FLEET_MAX_UNACKNOWLEDGED) {
        own->waiting_count--; // its entry has given up long ago
        memmove(own->waiting, own->waiting + 1,
                own->waiting_count * sizeof(own->waiting[0]));
    }
    own->saves[own->saves_count++] = message->number;
    own->waiting[own->waiting_count].call = message->call;
    own->waiting[own->waiting_count].node = from;
    own->waiting[own->waiting_count].lsn = own->saves_count;
    own->waiting_count++;
    for (int i = 0; i < fleet->params.upstreams; i++) {
        if (fleet->upstreams[i].follows == upstream) {
            fleet_send_push(fleet, upstream, fleet_upstream_node(fleet, i),
                            own->saves_count - 1);
        }
    }
}

static void
fleet_demote(struct fleet_upstream *own, int follows)
{
    own->is_primary = false;
    own->follows = follows;
    own->waiting_count = 0;
}

// Takes a message; a dead upstream's host refuses.
void
fleet_upstream_receive(struct fleet *fleet, int upstream, int from,
                       const struct fleet_message *message)
{
    struct fleet_upstream *own = &fleet->upstreams[upstream];

    if (own->is_dead) {
        fleet_reply_status(fleet, upstream, from, message);
        return;
    }
    switch (message->kind) {
    case FLEET_PULL:
        fleet_handle_pull(fleet, upstream, from, message);
        return;
    case FLEET_PUSH:
        fleet_handle_push(fleet, upstream, from, message);
        return;
    case FLEET_SAVE:
        fleet_handle_save(fleet, upstream, from, message);
        return;
    case FLEET_PROMOTE:
        fleet_handle_promote(fleet, upstream, from, message);
        return;
    case FLEET_FENCE:
        fleet_demote(own, -1);
        own->was_fenced = true;
        break;
    case FLEET_FOLLOW:
        fleet_demote(own, (int)message->number);
        break;
    default:
        break;
    }
    fleet_reply_status(fleet, upstream, from, message);
}
