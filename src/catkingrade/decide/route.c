#include "catkingrade/decide/route.h"

#include "catkingrade/decide/floor.h"
#include "catkingrade/decide/pool.h"
#include "catkingrade/decide/random.h"
#include "catkingrade/decide/retry.h"
#include "catkingrade/decide/traffic_lease.h"
#include "catkingrade/decide/traffic_sample.h"

// Upstreams that are checked at random before all of them are scanned.
#define ROUTE_RANDOM_PROBES 8
// Reads that a replica could serve take at most slots / divisor of the
// primary's slots. Other reads leave the same share, at least one slot, free.
#define ROUTE_PRIMARY_DIVISOR 4
// Longest time that a read waits for a replica to reach its floor.
#define ROUTE_FLOOR_WAIT_US (20 * TRAFFIC_MS_US)
// Time that a read which a replica could serve waits before it takes a slot of
// the primary.
#define ROUTE_SPILL_WAIT_US (20 * TRAFFIC_MS_US)
// Replicas that are checked to find one that is about to reach a floor.
#define ROUTE_CATCHING_UP_SCAN_MAX 16
// Latency of an upstream that has not answered a statement yet.
#define ROUTE_INITIAL_LATENCY_US (1 * TRAFFIC_MS_US)

// Requirements of a read on the upstream that serves it.
struct route_need {
    const struct request *request;
    uint64_t lsn;       // position that the upstream must have reached
    int64_t current_us; // the upstream must have all commits before this time
    int64_t age_us;     // guarded: age of the position lsn; -1: unknown
    bool leased;        // the primary's lease is valid
};

// Returns whether the primary accepts statements that only it may run.
bool
route_primary_is_usable(const struct traffic *traffic)
{
    return traffic->primary != TRAFFIC_NO_ID && lease_is_valid(traffic) &&
           traffic->upstreams[traffic->primary].writable;
}

// Returns whether an upstream has a free slot and a connection for it that is
// idle, opening or may be opened now.
static bool
route_has_room(const struct traffic *traffic, uint32_t index)
{
    const struct upstream *up = &traffic->upstreams[index];

    return up->running < concurrency_get_limit(&up->concurrency, up->slots) &&
           (up->idle > 0 || up->opening > 0 || pool_can_open(traffic, index));
}

// Returns whether the position and age of an upstream allow it to serve a
// read. A primary whose lease has expired is judged by its age, like a
// replica.
static bool
route_may_serve(const struct traffic *traffic, uint32_t index,
                const struct route_need *need)
{
    const struct upstream *upstream = &traffic->upstreams[index];

    if (traffic->params.guarded) {
        return index != traffic->primary && need->age_us >= 0 &&
               replica_lag_allows(&upstream->lag, traffic->now_us,
                                  need->age_us);
    }
    return upstream->of_term && upstream->position.lsn >= need->lsn &&
           upstream->current_us >= need->current_us &&
           upstream->current_us != FRESHNESS_UNKNOWN;
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

// Returns whether a read should go to upstream a rather than to b. An idle
// connection is preferred to one that must be opened; then, at equal load, the
// failure domain of the entry; then the lower cost.
static bool
route_is_better(const struct upstream *a, const struct upstream *b)
{
    if ((a->idle > 0) != (b->idle > 0)) {
        return a->idle > 0;
    }
    uint64_t load_a = (uint64_t)a->running * b->slots;
    uint64_t load_b = (uint64_t)b->running * a->slots;
    if (load_a == load_b && a->near != b->near) {
        return a->near;
    }
    return route_get_cost_us(a) < route_get_cost_us(b);
}

// Returns whether an upstream can take a read now. Sets *eligible if the
// upstream may serve the read, even if it has no free slot now.
static bool
route_is_candidate(const struct traffic *traffic, uint32_t index,
                   const struct route_need *need, bool *eligible)
{
    const struct upstream *up = &traffic->upstreams[index];

    if (index == traffic->primary && need->leased) {
        return false;
    }
    if (!route_may_serve(traffic, index, need) || up->failing_since_us != 0 ||
        circuit_breaker_is_open(&up->circuit_breaker, traffic->now_us) ||
        retry_was_tried(need->request, index)) {
        return false;
    }
    if (up->slots > 0 && up->connections > 0) {
        *eligible = true;
    }
    return route_has_room(traffic, index);
}

// Finds up to two replicas that can take a read. Checks random replicas first
// if there are many, then scans all from a random index. Returns how many were
// found.
static uint32_t
route_find_two(struct traffic *traffic, const struct route_need *need,
               uint32_t picked[2], bool *eligible)
{
    uint32_t count = traffic->candidates_count;
    uint32_t picked_count = 0;

    for (int i = 0; count > ROUTE_RANDOM_PROBES && i < ROUTE_RANDOM_PROBES;
         i++) {
        uint32_t index =
            traffic->candidates[random_below(&traffic->random, count)];
        if (route_is_candidate(traffic, index, need, eligible)) {
            picked[picked_count++] = index;
        }
        if (picked_count == 2) {
            return picked_count;
        }
    }
    uint32_t next = random_below(&traffic->random, count);
    for (uint32_t i = 0; i < count && picked_count < 2; i++) {
        uint32_t index = traffic->candidates[next];
        next = next + 1 == count ? 0 : next + 1;
        if (route_is_candidate(traffic, index, need, eligible)) {
            picked[picked_count++] = index;
        }
    }
    return picked_count;
}

// Picks the better of two replicas that can take a read. Returns TRAFFIC_NO_ID
// if there is none.
static uint32_t
route_pick_replica(struct traffic *traffic, const struct route_need *need,
                   bool *eligible)
{
    uint32_t picked[2] = {TRAFFIC_NO_ID, TRAFFIC_NO_ID};

    if (traffic->candidates_count == 0 ||
        route_find_two(traffic, need, picked, eligible) < 2) {
        return picked[0];
    }
    return route_is_better(&traffic->upstreams[picked[1]],
                           &traffic->upstreams[picked[0]])
               ? picked[1]
               : picked[0];
}

// Returns how many reads may run on the primary concurrently without starving
// its writes. With replica_eligible, a replica could serve the read too; such
// a read uses the primary only after it has waited ROUTE_SPILL_WAIT_US for the
// replicas and while no statement is queued for the primary.
static uint32_t
route_get_primary_limit(const struct traffic *traffic,
                        const struct request *request, bool replica_eligible)
{
    uint32_t slots = traffic->upstreams[traffic->primary].slots;
    uint32_t part = slots / ROUTE_PRIMARY_DIVISOR;

    if (replica_eligible) {
        bool waited =
            traffic->now_us - request->queued_us >= ROUTE_SPILL_WAIT_US;
        return waited && traffic->queued[QUEUE_PRIMARY] == 0 ? part : 0;
    }
    if (slots <= 1) {
        return traffic->queued[QUEUE_PRIMARY] == 0 ? slots : 0;
    }
    return slots - (part == 0 ? 1 : part);
}

// Returns the replica that will be the first to reach the floor of a read,
// estimated from the observed apply rates, and stores the remaining time in
// *eta_us. Returns TRAFFIC_NO_ID if none will reach it within
// ROUTE_FLOOR_WAIT_US.
static uint32_t
route_find_catching_up(const struct traffic *traffic,
                       const struct route_need *need, int64_t *eta_us)
{
    uint32_t best = TRAFFIC_NO_ID;
    uint32_t count = traffic->candidates_count;

    *eta_us = ROUTE_FLOOR_WAIT_US;
    for (uint32_t i = 0; i < count && i < ROUTE_CATCHING_UP_SCAN_MAX; i++) {
        uint32_t index = traffic->candidates[i];
        const struct upstream *up = &traffic->upstreams[index];
        if (index == traffic->primary || !up->of_term || up->slots == 0 ||
            up->apply_rate <= 0 || up->failing_since_us != 0 ||
            up->current_us < need->current_us) {
            continue;
        }
        double missing_bytes = (double)need->lsn - (double)up->position.lsn;
        int64_t remaining_us = (int64_t)(missing_bytes / up->apply_rate) -
                               (traffic->now_us - up->position_asked_us);
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
route_wait_for_floor(struct traffic *traffic, struct request *request,
                     const struct route_need *need, bool primary_has_room)
{
    int64_t eta_us = 0;

    if (request->floor_wait_us != 0) {
        return traffic->now_us < request->floor_wait_us;
    }
    uint32_t index = route_find_catching_up(traffic, need, &eta_us);
    if (index == TRAFFIC_NO_ID) {
        return false;
    }
    int64_t cost_us = eta_us + route_get_cost_us(&traffic->upstreams[index]);
    const struct upstream *primary = &traffic->upstreams[traffic->primary];
    if (primary_has_room && cost_us >= route_get_cost_us(primary)) {
        return false;
    }
    request->floor_wait_us =
        traffic->now_us + eta_us + ROUTE_FLOOR_WAIT_US / 2;
    sample_ask(traffic, index, traffic->now_us);
    timers_add(&traffic->timers, request->floor_wait_us, TIMER_WAKE, 0);
    return true;
}

// Decides whether a read that no replica can take now runs on the primary or
// waits.
static enum route_verdict
route_read_on_primary(struct traffic *traffic, struct request *request,
                      const struct route_need *need, bool replica_eligible)
{
    const struct upstream *primary = &traffic->upstreams[traffic->primary];
    bool has_room = primary->reads < route_get_primary_limit(
                                         traffic, request, replica_eligible) &&
                    route_has_room(traffic, traffic->primary);

    if (!replica_eligible && !traffic->params.guarded &&
        route_wait_for_floor(traffic, request, need, has_room)) {
        return ROUTE_BUSY;
    }
    return has_room ? ROUTE_FOUND : ROUTE_BUSY;
}

// Finds the upstream for a statement that only the primary may run.
struct route
route_primary(const struct traffic *traffic)
{
    struct route route = {ROUTE_STALE, TRAFFIC_NO_ID};

    if (!route_primary_is_usable(traffic)) {
        return route;
    }
    route.verdict = ROUTE_BUSY;
    if (traffic->upstreams[traffic->primary].failing_since_us == 0 &&
        route_has_room(traffic, traffic->primary)) {
        route.verdict = ROUTE_FOUND;
        route.upstream = traffic->primary;
    }
    return route;
}

// Sets the position that a guarded upstream must have reached to serve a read,
// and the age of that position. It covers everything that was committed
// max_age_us before the read arrived, and the floor of its session. Without a
// sample of the primary since then the position is unknown.
static void
route_set_required_position(const struct traffic *traffic,
                            const struct request *request,
                            struct route_need *need)
{
    const struct session *session = request->session;
    const struct freshness_sample *sample = freshness_find_since(
        &traffic->freshness, request->arrived_us - request->max_age_us);

    if (sample == NULL) {
        return;
    }
    need->age_us = traffic->now_us - sample->asked_at_us;
    if (need->lsn <= sample->lsn) {
        need->lsn = sample->lsn;
        return;
    }
    int64_t floor_age_us = traffic->now_us - session->floor_us;
    if (floor_age_us < need->age_us) {
        need->age_us = floor_age_us;
    }
}

static struct route_need
route_get_need(const struct traffic *traffic, const struct request *request)
{
    struct route_need need = {
        .request = request, .age_us = -1, .leased = lease_is_valid(traffic)};

    (void)floor_translate(traffic->view.database, &request->session->floor,
                          &need.lsn);
    need.current_us = request->max_age_us == 0
                          ? request->arrived_us
                          : traffic->now_us - request->max_age_us;
    if (traffic->params.guarded) {
        route_set_required_position(traffic, request, &need);
    }
    return need;
}

// Routes a read to the relay, the entry that forwards statements to the
// upstreams. The relay chooses the upstream.
static struct route
route_to_relay(const struct traffic *traffic)
{
    struct route route = {ROUTE_STALE, TRAFFIC_NO_ID};

    if (traffic->candidates_count == 0) {
        return route;
    }
    uint32_t index = traffic->candidates[0];
    route.verdict = ROUTE_BUSY;
    if (route_has_room(traffic, index)) {
        route.verdict = ROUTE_FOUND;
        route.upstream = index;
    }
    return route;
}

// Finds the upstream for a read: a replica whose position covers the floor of
// the session and whose age is accepted, otherwise the primary. May start a
// wait for a replica that is catching up.
struct route
route_read(struct traffic *traffic, struct request *request)
{
    if (traffic->view.relayed) {
        return route_to_relay(traffic);
    }
    struct route route = {ROUTE_FOUND, TRAFFIC_NO_ID};
    struct route_need need = route_get_need(traffic, request);
    bool replica_eligible = false;

    route.upstream = route_pick_replica(traffic, &need, &replica_eligible);
    if (route.upstream != TRAFFIC_NO_ID) {
        request->guard_lsn = need.lsn;
        request->guard_age_us = need.age_us;
        return route;
    }
    if (route_primary_is_usable(traffic) &&
        !retry_was_tried(request, traffic->primary)) {
        route.verdict =
            route_read_on_primary(traffic, request, &need, replica_eligible);
        route.upstream = traffic->primary;
        return route;
    }
    route.verdict = replica_eligible ? ROUTE_BUSY : ROUTE_STALE;
    return route;
}
