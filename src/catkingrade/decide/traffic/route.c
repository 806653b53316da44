#include "catkingrade/decide/traffic/route.h"

#include "catkingrade/decide/random.h"
#include "catkingrade/decide/traffic/floor.h"
#include "catkingrade/decide/traffic/pool.h"
#include "catkingrade/decide/traffic/relay_choice.h"
#include "catkingrade/decide/traffic/retry.h"
#include "catkingrade/decide/traffic/route_learned.h"
#include "catkingrade/decide/traffic/scheduler_lease.h"
#include "catkingrade/decide/traffic/scheduler_request.h"
#include "catkingrade/decide/traffic/scheduler_sample.h"
#include "catkingrade/decide/traffic/upstream_capacity.h"

// Upstreams that are checked at random before all of them are scanned.
#define ROUTE_RANDOM_PROBES 8
// Reads that a replica could serve take at most slots / divisor of the
// primary's slots. Other reads leave the same share, at least one slot, free.
#define ROUTE_PRIMARY_DIVISOR 4
// Longest time that a read waits for a replica to reach its floor.
#define ROUTE_FLOOR_WAIT_US (20 * SCHEDULER_MS_US)
// Time that a read which a replica could serve waits before it takes a slot of
// the primary.
#define ROUTE_SPILL_WAIT_US (20 * SCHEDULER_MS_US)
// Replicas that are checked to find one that is about to reach a floor.
#define ROUTE_CATCHING_UP_SCAN_MAX 16
// A near replica is preferred until it is busier than the other one by its
// width divided by this.
#define ROUTE_NEAR_DIVISOR 2
// Time without a failure after which a relay that has failed is tried again
// for its customers.
#define ROUTE_RELAY_RETRY_US (5 * SCHEDULER_SECOND_US)
// Latency of an upstream that has not answered a statement yet.
#define ROUTE_INITIAL_LATENCY_US (1 * SCHEDULER_MS_US)
// A loaded replica loses a read to the primary if the replica is expected to
// take more than this many halves of the primary's time: 1.5 times as long.
#define ROUTE_PRIMARY_GAIN_HALVES 3

// Requirements of a read on the upstream that serves it.
struct route_need {
    const struct request *request;
    uint64_t lsn;         // position that the upstream must have reached
    int64_t caught_up_us; // all commits before this time are required
    int64_t age_us;       // guarded: age of the position lsn; -1: unknown
    bool leased;          // the primary's lease is valid
};

// What the search for a replica found besides the choice.
struct route_replicas {
    bool eligible; // one may serve the read, even if it has no free slot
    bool healthy;  // one of these is not slow
};

// Returns whether the primary accepts statements that only it may run.
bool
route_primary_is_usable(const struct scheduler *scheduler)
{
    return scheduler->primary != SCHEDULER_NO_ID &&
           lease_is_valid(scheduler) &&
           scheduler->upstreams[scheduler->primary].writable;
}

// Returns whether an upstream has a free slot and a connection for a request
// that is idle, opening or may be opened now.
static bool
route_has_room(struct scheduler *scheduler, uint32_t index,
               const struct request *request)
{
    const struct upstream *up = &scheduler->upstreams[index];

    return up->running < concurrency_get_limit(&up->concurrency, up->slots) &&
           pool_get_room(scheduler, index, request) != POOL_ROOM_NONE;
}

// Returns whether the position and age of an upstream allow it to serve a
// read. A primary whose lease has expired is judged by its age, like a
// replica.
static bool
route_may_serve(const struct scheduler *scheduler, uint32_t index,
                const struct route_need *need)
{
    const struct upstream *upstream = &scheduler->upstreams[index];

    if (scheduler->params.guarded) {
        return index != scheduler->primary && need->age_us >= 0 &&
               replica_lag_allows(&upstream->lag, scheduler->now_us,
                                  need->age_us);
    }
    return upstream->in_current_term && upstream->position.lsn >= need->lsn &&
           upstream->caught_up_us >= need->caught_up_us &&
           upstream->caught_up_us != FRESHNESS_UNKNOWN;
}

// Returns the expected time of one more statement at an upstream, in
// microseconds.
static int64_t
route_get_cost_us(const struct upstream *upstream)
{
    int64_t latency_us = upstream->latency_us == 0 ? ROUTE_INITIAL_LATENCY_US
                                                   : upstream->latency_us;

    return latency_us * (upstream->running + 1) / upstream->slots;
}

// Returns how many statements of this entry an upstream can run concurrently.
static uint32_t
route_get_width(const struct upstream *upstream)
{
    return upstream->slots < upstream->connections ? upstream->slots
                                                   : upstream->connections;
}

// Returns whether a read should go to an upstream in this entry's failure
// domain rather than to one elsewhere: unless the near one is busier by more
// than half of what this entry can run there.
static bool
route_prefers_near(const struct upstream *near, const struct upstream *far)
{
    uint64_t near_load = (uint64_t)near->running * route_get_width(far);
    uint64_t far_load = (uint64_t)far->running * route_get_width(near);
    uint64_t half = (uint64_t)route_get_width(near) * route_get_width(far) /
                    ROUTE_NEAR_DIVISOR;

    return near_load <= far_load + half;
}

// Returns how well an upstream can provide a connection for a read. Without
// customers only the idle connections count, as a connection that opens is
// soon used by another request.
static enum pool_room
route_get_room(struct scheduler *scheduler, uint32_t index,
               const struct request *request)
{
    enum pool_room room = pool_get_room(scheduler, index, request);

    return request->customer == CUSTOMER_NONE && room != POOL_ROOM_IDLE
               ? POOL_ROOM_NONE
               : room;
}

// Returns whether a read should go to upstream first rather than to second:
// first by how soon a connection is available there, in the order of enum
// pool_room; then by the failure domain of the entry, unless the upstream
// there is much busier; then by the lower cost.
static bool
route_is_better(struct scheduler *scheduler, const struct request *request,
                uint32_t first, uint32_t second)
{
    const struct upstream *a = &scheduler->upstreams[first];
    const struct upstream *b = &scheduler->upstreams[second];
    enum pool_room room_a = route_get_room(scheduler, first, request);
    enum pool_room room_b = route_get_room(scheduler, second, request);

    if (room_a != room_b) {
        return room_a > room_b;
    }
    if (a->near != b->near) {
        return a->near ? route_prefers_near(a, b) : !route_prefers_near(b, a);
    }
    return route_get_cost_us(a) < route_get_cost_us(b);
}

// Returns whether an upstream can take a read now. Sets replicas->eligible if
// the upstream may serve the read, even if it has no free slot now. A slow
// upstream takes trial reads only.
static bool
route_is_candidate(struct scheduler *scheduler, uint32_t index,
                   const struct route_need *need,
                   struct route_replicas *replicas)
{
    const struct upstream *up = &scheduler->upstreams[index];
    bool slow = route_learned_is_slow(scheduler, index);

    if (index == scheduler->primary && need->leased) {
        return false;
    }
    if (!route_may_serve(scheduler, index, need) ||
        up->failing_since_us != 0 ||
        circuit_breaker_is_open(&up->circuit_breaker, scheduler->now_us) ||
        retry_was_tried(need->request, index)) {
        return false;
    }
    if (up->slots > 0 && up->connections > 0) {
        replicas->eligible = true;
        replicas->healthy |= !slow;
    }
    return route_has_room(scheduler, index, need->request) &&
           route_learned_allows(scheduler, index, need->request) &&
           (!slow || route_learned_may_try(scheduler, index, need->request));
}

// Finds up to two replicas that can take a read. Checks random replicas first
// if there are many, then scans all from a random index. Returns how many were
// found.
static uint32_t
route_find_two(struct scheduler *scheduler, const struct route_need *need,
               uint32_t picked[2], struct route_replicas *replicas)
{
    uint32_t count = scheduler->candidates_count;
    uint32_t picked_count = 0;

    for (int i = 0; count > ROUTE_RANDOM_PROBES && i < ROUTE_RANDOM_PROBES;
         i++) {
        uint32_t index =
            scheduler->candidates[random_below(&scheduler->random, count)];
        if (route_is_candidate(scheduler, index, need, replicas)) {
            picked[picked_count++] = index;
        }
        if (picked_count == 2) {
            return picked_count;
        }
    }
    uint32_t next = random_below(&scheduler->random, count);
    for (uint32_t i = 0; i < count && picked_count < 2; i++) {
        uint32_t index = scheduler->candidates[next];
        next = next + 1 == count ? 0 : next + 1;
        if (route_is_candidate(scheduler, index, need, replicas)) {
            picked[picked_count++] = index;
        }
    }
    return picked_count;
}

// Picks the better of two replicas that can take a read. Returns
// SCHEDULER_NO_ID if there is none.
static uint32_t
route_pick_replica(struct scheduler *scheduler, const struct route_need *need,
                   struct route_replicas *replicas)
{
    uint32_t picked[2] = {SCHEDULER_NO_ID, SCHEDULER_NO_ID};

    if (scheduler->candidates_count == 0 ||
        route_find_two(scheduler, need, picked, replicas) < 2) {
        return picked[0];
    }
    // A slow upstream was found because a trial is due.
    if (route_learned_is_slow(scheduler, picked[0])) {
        return picked[0];
    }
    if (route_learned_is_slow(scheduler, picked[1])) {
        return picked[1];
    }
    if (route_learned_can_compare(scheduler, need->request, picked[0],
                                  picked[1])) {
        return route_learned_is_faster(scheduler, picked[1], picked[0])
                   ? picked[1]
                   : picked[0];
    }
    return route_is_better(scheduler, need->request, picked[1], picked[0])
               ? picked[1]
               : picked[0];
}

// Returns whether statements wait for the primary: in this entry, or at the
// primary itself.
static bool
route_primary_is_loaded(const struct scheduler *scheduler)
{
    const struct upstream *primary = &scheduler->upstreams[scheduler->primary];

    return scheduler->queued[QUEUE_PRIMARY] > 0 ||
           (upstream_capacity_is_used(scheduler, primary) &&
            capacity_is_loaded(&primary->capacity, scheduler->now_us));
}

// Returns how many reads may run on the primary concurrently without starving
// its writes. If a replica that is not slow could serve the read too, the read
// uses the primary only after it has waited ROUTE_SPILL_WAIT_US for the
// replicas. If any replica could serve it, it uses the primary only while no
// statement waits there.
static uint32_t
route_get_primary_limit(const struct scheduler *scheduler,
                        const struct request *request,
                        const struct route_replicas *replicas)
{
    const struct upstream *primary = &scheduler->upstreams[scheduler->primary];
    uint32_t slots = primary->slots;
    uint32_t part = slots / ROUTE_PRIMARY_DIVISOR;

    if (replicas->eligible && upstream_capacity_is_used(scheduler, primary)) {
        part = capacity_get_limit(&primary->capacity, slots) /
               ROUTE_PRIMARY_DIVISOR;
        part = part == 0 ? 1 : part;
    }
    if (replicas->eligible && replicas->healthy) {
        bool waited =
            scheduler->now_us - request->queued_us >= ROUTE_SPILL_WAIT_US;
        return waited && !route_primary_is_loaded(scheduler) ? part : 0;
    }
    if (replicas->eligible) {
        return route_primary_is_loaded(scheduler) ? 0 : part;
    }
    if (slots <= 1) {
        return scheduler->queued[QUEUE_PRIMARY] == 0 ? slots : 0;
    }
    return slots - (part == 0 ? 1 : part);
}

// Returns the replica that will be the first to reach the floor of a read,
// estimated from the observed apply rates, and stores the remaining time in
// *eta_us. Returns SCHEDULER_NO_ID if none will reach it within
// ROUTE_FLOOR_WAIT_US.
static uint32_t
route_find_catching_up(const struct scheduler *scheduler,
                       const struct route_need *need, int64_t *eta_us)
{
    uint32_t best = SCHEDULER_NO_ID;
    uint32_t count = scheduler->candidates_count;

    *eta_us = ROUTE_FLOOR_WAIT_US;
    for (uint32_t i = 0; i < count && i < ROUTE_CATCHING_UP_SCAN_MAX; i++) {
        uint32_t index = scheduler->candidates[i];
        const struct upstream *up = &scheduler->upstreams[index];
        if (index == scheduler->primary || !up->in_current_term ||
            up->slots == 0 || up->apply_rate <= 0 ||
            up->failing_since_us != 0 ||
            up->caught_up_us < need->caught_up_us) {
            continue;
        }
        double missing_bytes = (double)need->lsn - (double)up->position.lsn;
        int64_t remaining_us = (int64_t)(missing_bytes / up->apply_rate) -
                               (scheduler->now_us - up->position_requested_us);
        if (remaining_us < *eta_us) {
            *eta_us = remaining_us < 0 ? 0 : remaining_us;
            best = index;
        }
    }
    return best;
}

// Makes a read wait once, for a bounded time, for a replica that is about to
// reach its floor, if that is expected to take less time than the primary.
// Returns whether the read waits.
static bool
route_wait_for_floor(struct scheduler *scheduler, struct request *request,
                     const struct route_need *need, bool primary_has_room)
{
    int64_t eta_us = 0;

    if (request->floor_wait_until_us != 0) {
        return scheduler->now_us < request->floor_wait_until_us;
    }
    uint32_t index = route_find_catching_up(scheduler, need, &eta_us);
    if (index == SCHEDULER_NO_ID) {
        return false;
    }
    int64_t cost_us = eta_us + route_get_cost_us(&scheduler->upstreams[index]);
    const struct upstream *primary = &scheduler->upstreams[scheduler->primary];
    if (primary_has_room && cost_us >= route_get_cost_us(primary)) {
        return false;
    }
    request->floor_wait_until_us =
        scheduler->now_us + eta_us + ROUTE_FLOOR_WAIT_US / 2;
    sample_request(scheduler, index, scheduler->now_us);
    timers_add(&scheduler->timers, request->floor_wait_until_us, TIMER_WAKE,
               0);
    return true;
}

// Decides whether a read that no replica can take now runs on the primary or
// waits.
static enum route_verdict
route_read_on_primary(struct scheduler *scheduler, struct request *request,
                      const struct route_need *need,
                      const struct route_replicas *replicas)
{
    const struct upstream *primary = &scheduler->upstreams[scheduler->primary];
    bool has_room =
        primary->reads <
            route_get_primary_limit(scheduler, request, replicas) &&
        route_has_room(scheduler, scheduler->primary, request) &&
        (!replicas->eligible ||
         route_learned_allows(scheduler, scheduler->primary, request));

    if (!replicas->eligible && !scheduler->params.guarded &&
        route_wait_for_floor(scheduler, request, need, has_room)) {
        return ROUTE_BUSY;
    }
    return has_room ? ROUTE_FOUND : ROUTE_BUSY;
}

// Returns whether a relay among which customers are divided may be used.
static bool
route_is_relay_usable(const struct scheduler *scheduler, uint32_t index,
                      const struct request *request)
{
    const struct upstream *up = &scheduler->upstreams[index];

    return index != scheduler->primary &&
           (up->failing_since_us == 0 ||
            scheduler->now_us - up->failing_since_us > ROUTE_RELAY_RETRY_US) &&
           !retry_was_tried(request, index);
}

// Returns the relay for a request: the one of its customer, or else the first
// candidate, which represents the nearest relays.
static uint32_t
route_choose_relay(const struct scheduler *scheduler,
                   const struct request *request)
{
    const char *customer = scheduler->customers.items[request->customer]->name;
    uint32_t best = scheduler->candidates[0];
    uint64_t best_rank = 0;

    for (uint32_t i = 1;
         request->customer != CUSTOMER_NONE && i < scheduler->candidates_count;
         i++) {
        uint32_t index = scheduler->candidates[i];
        uint64_t rank =
            relay_choice_get_rank(scheduler->view.database->name, customer,
                                  scheduler->upstreams[index].config->host);
        if (route_is_relay_usable(scheduler, index, request) &&
            rank >= best_rank) {
            best = index;
            best_rank = rank;
        }
    }
    return best;
}

// Routes a request to a relay, an entry that forwards statements to the
// upstreams. The relay chooses the upstream.
static struct route
route_to_relay(struct scheduler *scheduler, const struct request *request)
{
    struct route route = {ROUTE_STALE, SCHEDULER_NO_ID};

    if (scheduler->candidates_count == 0) {
        return route;
    }
    uint32_t index = route_choose_relay(scheduler, request);
    route.verdict = ROUTE_BUSY;
    if (route_has_room(scheduler, index, request)) {
        route.verdict = ROUTE_FOUND;
        route.upstream = index;
    }
    return route;
}

// Has the scheduler run again when a read no longer waits for a learned limit.
static void
route_limit_wait(struct scheduler *scheduler, struct request *request)
{
    if (request->limit_wait) {
        return;
    }
    request->limit_wait = true;
    timers_add(&scheduler->timers, route_learned_get_wait_end_us(request),
               TIMER_WAKE, 0);
}

// Finds the upstream for a statement that only the primary may run: the
// primary, or with relays the relay of the request's customer.
struct route
route_primary(struct scheduler *scheduler, const struct request *request)
{
    struct route route = {ROUTE_STALE, SCHEDULER_NO_ID};

    if (!route_primary_is_usable(scheduler)) {
        return route;
    }
    if (scheduler->view.relayed && request->customer != CUSTOMER_NONE) {
        return route_to_relay(scheduler, request);
    }
    route.verdict = ROUTE_BUSY;
    if (scheduler->upstreams[scheduler->primary].failing_since_us == 0 &&
        route_has_room(scheduler, scheduler->primary, request)) {
        route.verdict = ROUTE_FOUND;
        route.upstream = scheduler->primary;
    }
    return route;
}

// Sets the position that a guarded upstream must have reached to serve a read,
// and the age of that position. The position covers everything that was
// committed until max_age_us before the arrival of the read, and the floor of
// its session. Without a sample of the primary since that time the position is
// unknown.
static void
route_set_required_position(const struct scheduler *scheduler,
                            const struct request *request,
                            struct route_need *need)
{
    const struct session *session = request->session;
    const struct freshness_sample *sample = freshness_find_since(
        &scheduler->freshness, request->arrived_us - request->max_age_us);

    if (sample == NULL) {
        return;
    }
    need->age_us = scheduler->now_us - sample->asked_at_us;
    if (need->lsn <= sample->lsn) {
        need->lsn = sample->lsn;
        return;
    }
    int64_t floor_age_us = scheduler->now_us - session->floor_us;
    if (floor_age_us < need->age_us) {
        need->age_us = floor_age_us;
    }
}

static struct route_need
route_get_need(const struct scheduler *scheduler,
               const struct request *request)
{
    struct route_need need = {
        .request = request, .age_us = -1, .leased = lease_is_valid(scheduler)};

    (void)floor_translate(scheduler->view.database, &request->session->floor,
                          &need.lsn);
    need.caught_up_us = request->max_age_us == 0
                            ? request->arrived_us
                            : scheduler->now_us - request->max_age_us;
    if (scheduler->params.guarded) {
        route_set_required_position(scheduler, request, &need);
    }
    return need;
}

// Returns whether a read should go to the primary rather than to a replica
// that can take it: the replica's statements queue, and the primary has room
// and is clearly faster.
static bool
route_prefers_primary(struct scheduler *scheduler, uint32_t replica,
                      const struct request *request)
{
    // healthy is not set: the read need not wait ROUTE_SPILL_WAIT_US.
    const struct route_replicas replicas = {.eligible = true};
    const struct upstream *up = &scheduler->upstreams[replica];

    if (!upstream_capacity_is_used(scheduler, up) ||
        !capacity_is_loaded(&up->capacity, scheduler->now_us) ||
        route_learned_is_slow(scheduler, replica) ||
        !route_primary_is_usable(scheduler) ||
        retry_was_tried(request, scheduler->primary)) {
        return false;
    }
    const struct upstream *primary = &scheduler->upstreams[scheduler->primary];
    return capacity_is_known(&primary->capacity, CAPACITY_KIND_READ) &&
           primary->failing_since_us == 0 &&
           primary->reads <
               route_get_primary_limit(scheduler, request, &replicas) &&
           route_has_room(scheduler, scheduler->primary, request) &&
           route_learned_allows(scheduler, scheduler->primary, request) &&
           route_learned_get_completion_us(scheduler, replica) * 2 >
               route_learned_get_completion_us(scheduler, scheduler->primary) *
                   ROUTE_PRIMARY_GAIN_HALVES;
}

// Picks the slow replica that is expected to answer a read first, for a read
// that nothing else takes now. While a replica that is not slow could serve
// it, the read waits for that one as long as the slow one would take. Returns
// SCHEDULER_NO_ID if there is none.
static uint32_t
route_pick_slow(struct scheduler *scheduler, const struct route_need *need,
                const struct route_replicas *replicas)
{
    int64_t waited_us = scheduler->now_us - need->request->queued_us;
    uint32_t best = SCHEDULER_NO_ID;
    int64_t best_us = replicas->healthy ? waited_us : INT64_MAX;

    for (uint32_t i = 0; i < scheduler->candidates_count; i++) {
        struct route_replicas found = {false, false};
        uint32_t index = scheduler->candidates[i];
        if (!route_learned_is_slow(scheduler, index) ||
            index == scheduler->primary ||
            !route_has_room(scheduler, index, need->request) ||
            !route_learned_allows(scheduler, index, need->request)) {
            continue;
        }
        (void)route_is_candidate(scheduler, index, need, &found);
        int64_t completion_us =
            route_learned_get_completion_us(scheduler, index);
        if (found.eligible && completion_us < best_us) {
            best = index;
            best_us = completion_us;
        }
    }
    return best;
}

// Sends a read to a replica.
static struct route
route_to_replica(struct request *request, const struct route_need *need,
                 uint32_t replica)
{
    request->required_lsn = need->lsn;
    request->required_lsn_age_us = need->age_us;
    return (struct route){ROUTE_FOUND, replica};
}

// Finds the upstream for a read: a replica whose position covers the floor of
// the session and whose age is accepted, otherwise the primary. May start a
// wait for a replica that is catching up.
struct route
route_read(struct scheduler *scheduler, struct request *request)
{
    if (scheduler->view.relayed) {
        return route_to_relay(scheduler, request);
    }
    struct route route = {ROUTE_FOUND, SCHEDULER_NO_ID};
    struct route_need need = route_get_need(scheduler, request);
    struct route_replicas replicas = {false, false};

    uint32_t replica = route_pick_replica(scheduler, &need, &replicas);
    if (replica != SCHEDULER_NO_ID) {
        if (route_prefers_primary(scheduler, replica, request)) {
            route.upstream = scheduler->primary;
            return route;
        }
        return route_to_replica(request, &need, replica);
    }
    if (route_primary_is_usable(scheduler) &&
        !retry_was_tried(request, scheduler->primary)) {
        route.verdict =
            route_read_on_primary(scheduler, request, &need, &replicas);
        route.upstream = scheduler->primary;
    }
    else {
        route.verdict = replicas.eligible ? ROUTE_BUSY : ROUTE_STALE;
    }
    if (route.verdict == ROUTE_BUSY && replicas.eligible &&
        scheduler->params.learned_capacity) {
        replica = route_pick_slow(scheduler, &need, &replicas);
        if (replica != SCHEDULER_NO_ID) {
            return route_to_replica(request, &need, replica);
        }
        route_limit_wait(scheduler, request);
    }
    return route;
}
