// Upstreams of the simulated fleet: a model of streaming replication. The
// primary sends each new save to its replicas. A replica reports its position
// to the primary after each change and periodically, and receives the saves
// that it lacks. The primary acknowledges a save once one replica on its
// timeline reports a position that includes the save.

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
fleet_get_position(const struct fleet_upstream *self)
{
    struct ck_position position = {self->timeline, self->saves_count};

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

// Returns whether the upstream's log contains a save.
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

// Starts an upstream. The first upstream is the primary, and the others
// replicate from it.
void
fleet_upstream_start(struct fleet *fleet, int upstream)
{
    struct fleet_upstream *self = &fleet->upstreams[upstream];

    self->saves = xcalloc(FLEET_MAX_SAVES, sizeof(uint64_t));
    self->timeline = 1;
    self->is_primary = upstream == 0;
    self->follows = upstream == 0 ? -1 : 0;
    fleet_arm_timer(fleet, upstream, FLEET_TIMER_ANNOUNCE, upstream * 10000);
    fleet_arm_timer(fleet, upstream, FLEET_TIMER_PULL, upstream * 3000);
}

// Replies to a request with the upstream's role and position.
static void
fleet_reply_status(struct fleet *fleet, int upstream, int from,
                   const struct fleet_message *message)
{
    const struct fleet_upstream *self = &fleet->upstreams[upstream];
    struct fleet_message *reply = fleet_create_reply(message);

    reply->refused = self->is_dead;
    reply->is_primary = self->is_primary;
    reply->position = fleet_get_position(self);
    fleet_send_message(fleet, fleet_upstream_node(fleet, upstream), from,
                       reply);
}

// Completes a promotion: starts a new timeline as primary. Checks that the
// upstream holds every acknowledged save.
static void
fleet_complete_promotion(struct fleet *fleet, int upstream)
{
    struct fleet_upstream *self = &fleet->upstreams[upstream];
    struct fleet_message request = {.kind = FLEET_PROMOTE,
                                    .call = self->promote_call};

    if (self->is_dead) {
        return;
    }
    self->is_primary = true;
    self->follows = -1;
    self->timeline++;
    INVARIANT(self->timeline < FLEET_MAX_TIMELINES);
    self->bases[self->timeline] = self->saves_count;
    self->unacknowledged_count = 0;
    if (self->promote_term > fleet->promoted_term) {
        fleet->promoted_term = self->promote_term;
    }
    for (size_t i = 0; i < fleet->acknowledged_count; i++) {
        const struct fleet_acknowledged_save *row = &fleet->acknowledged[i];
        if (!fleet_upstream_has(self, row->save)) {
            fleet_record_violation(fleet, "u%d is promoted without save %lu",
                                   upstream, (unsigned long)row->save);
        }
    }
    fleet_reply_status(fleet, upstream, self->promote_node, &request);
}

static void
fleet_handle_promote(struct fleet *fleet, int upstream, int from,
                     const struct fleet_message *message)
{
    struct fleet_upstream *self = &fleet->upstreams[upstream];

    self->promote_call = message->call;
    self->promote_term = message->number;
    self->promote_node = from;
    fleet_arm_timer(fleet, upstream, FLEET_TIMER_PROMOTED,
                    FLEET_PROMOTE_DELAY_US);
}

// Announces the upstream to all voters.
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
    const struct fleet_upstream *self = &fleet->upstreams[upstream];

    if (self->is_dead || self->follows < 0) {
        return;
    }
    struct fleet_message *message = fleet_create_message(FLEET_PULL);
    message->position = fleet_get_position(self);
    fleet_send_message(fleet, fleet_upstream_node(fleet, upstream),
                       fleet_upstream_node(fleet, self->follows), message);
}

// Handles an expired timer of an upstream.
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

// Acknowledges the saves up to an LSN that a replica has reached.
static void
fleet_acknowledge_saves(struct fleet *fleet, int upstream, size_t lsn)
{
    struct fleet_upstream *self = &fleet->upstreams[upstream];
    size_t kept = 0;

    for (size_t i = 0; i < self->unacknowledged_count; i++) {
        if (self->unacknowledged[i].lsn > lsn) {
            self->unacknowledged[kept++] = self->unacknowledged[i];
            continue;
        }
        struct fleet_message *reply = fleet_create_message(FLEET_SAVE);
        reply->is_reply = true;
        reply->call = self->unacknowledged[i].call;
        reply->position.timeline = self->timeline;
        reply->position.lsn = self->unacknowledged[i].lsn;
        fleet_send_message(fleet, fleet_upstream_node(fleet, upstream),
                           self->unacknowledged[i].node, reply);
    }
    self->unacknowledged_count = kept;
}

// Sends the saves from log index start on to a replica.
static void
fleet_send_push(struct fleet *fleet, int upstream, int to, size_t start)
{
    const struct fleet_upstream *self = &fleet->upstreams[upstream];
    struct fleet_message *message = fleet_create_message(FLEET_PUSH);

    message->number = start;
    message->position = fleet_get_position(self);
    buffer_append(&message->bytes, self->saves + start,
                  (self->saves_count - start) * sizeof(uint64_t));
    fleet_send_message(fleet, fleet_upstream_node(fleet, upstream), to,
                       message);
}

// Returns the LSN up to which a replica's log on an older timeline, with
// saves_count saves, is a prefix of this log. It is at most the start of the
// first timeline that the replica lacks.
static size_t
fleet_find_fork_lsn(const struct fleet_upstream *self, uint64_t timeline,
                    size_t saves_count)
{
    for (uint64_t i = timeline + 1; i <= self->timeline; i++) {
        if (saves_count > self->bases[i]) {
            saves_count = self->bases[i];
        }
    }
    return saves_count;
}

static void
fleet_handle_pull(struct fleet *fleet, int upstream, int from,
                  const struct fleet_message *message)
{
    const struct fleet_upstream *self = &fleet->upstreams[upstream];
    bool same = message->position.timeline == self->timeline;
    size_t start = (size_t)message->position.lsn;

    if (!self->is_primary) {
        return;
    }
    if (same) {
        fleet_acknowledge_saves(fleet, upstream, start);
    }
    else {
        start = fleet_find_fork_lsn(self, message->position.timeline, start);
    }
    if (!same || start < self->saves_count) {
        fleet_send_push(fleet, upstream, from, start);
    }
}

// Copies the start of each timeline that the replica lacks, up to the given
// one. The start of a timeline never changes.
static void
fleet_copy_history(struct fleet_upstream *self,
                   const struct fleet_upstream *primary, uint64_t timeline)
{
    for (uint64_t i = self->timeline + 1; i <= timeline; i++) {
        self->bases[i] = primary->bases[i];
    }
}

static void
fleet_handle_push(struct fleet *fleet, int upstream, int from,
                  const struct fleet_message *message)
{
    struct fleet_upstream *self = &fleet->upstreams[upstream];
    size_t count = buffer_get_size(&message->bytes) / sizeof(uint64_t);
    bool from_primary = self->follows >= 0 &&
                        from == fleet_upstream_node(fleet, self->follows);
    bool newer = message->position.timeline > self->timeline ||
                 message->position.lsn > self->saves_count;

    if (!from_primary || message->position.timeline < self->timeline ||
        message->number > self->saves_count || !newer) {
        return;
    }
    if (count > 0) {
        memcpy(self->saves + message->number, buffer_get_data(&message->bytes),
               count * sizeof(uint64_t));
    }
    self->saves_count = message->number + count;
    fleet_copy_history(self, &fleet->upstreams[self->follows],
                       message->position.timeline);
    self->timeline = message->position.timeline;
    fleet_send_pull(fleet, upstream);
}

static void
fleet_handle_save(struct fleet *fleet, int upstream, int from,
                  const struct fleet_message *message)
{
    struct fleet_upstream *self = &fleet->upstreams[upstream];

    if (!self->is_primary) {
        fleet_send_message(fleet, fleet_upstream_node(fleet, upstream), from,
                           fleet_create_reply(message));
        return;
    }
    INVARIANT(self->saves_count < FLEET_MAX_SAVES);
    if (self->unacknowledged_count == FLEET_MAX_UNACKNOWLEDGED) {
        // The oldest call has timed out at its entry.
        self->unacknowledged_count--;
        memmove(self->unacknowledged, self->unacknowledged + 1,
                self->unacknowledged_count * sizeof(self->unacknowledged[0]));
    }
    self->saves[self->saves_count++] = message->number;
    self->unacknowledged[self->unacknowledged_count].call = message->call;
    self->unacknowledged[self->unacknowledged_count].node = from;
    self->unacknowledged[self->unacknowledged_count].lsn = self->saves_count;
    self->unacknowledged_count++;
    for (int i = 0; i < fleet->params.upstreams; i++) {
        if (fleet->upstreams[i].follows == upstream) {
            fleet_send_push(fleet, upstream, fleet_upstream_node(fleet, i),
                            self->saves_count - 1);
        }
    }
}

// Ends the primary role; follows is the upstream to replicate from, or -1.
static void
fleet_demote(struct fleet_upstream *self, int follows)
{
    self->is_primary = false;
    self->follows = follows;
    self->unacknowledged_count = 0;
}

// Handles a request to an upstream. A stopped upstream's host refuses it.
void
fleet_upstream_receive(struct fleet *fleet, int upstream, int from,
                       const struct fleet_message *message)
{
    struct fleet_upstream *self = &fleet->upstreams[upstream];

    if (self->is_dead) {
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
        fleet_demote(self, -1);
        self->was_fenced = true;
        break;
    case FLEET_FOLLOW:
        fleet_demote(self, (int)message->number);
        break;
    default:
        break;
    }
    fleet_reply_status(fleet, upstream, from, message);
}
