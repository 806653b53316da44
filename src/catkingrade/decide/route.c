#include "catkingrade/decide/route.h"

#include "catkingrade/decide/floor.h"
#include "catkingrade/decide/pool.h"
#include "catkingrade/decide/random.h"
#include "catkingrade/decide/retry.h"
#include "catkingrade/decide/scheduler_lease.h"
#include "catkingrade/decide/scheduler_sample.h"

// Upstreams that are looked at by chance before all of them are.
#define ROUTE_RANDOM_PROBES 8
// Reads that a replica could serve take at most this part of the primary's
// slots, rounded down; other reads leave the same part, at least one, free.
#define ROUTE_PRIMARY_DIVISOR 4
// A read waits at most this long for a replica to reach its floor.
#define ROUTE_FLOOR_WAIT_US (20 * SCHEDULER_MS_US)
// A read that a replica could serve waits this long before it takes a slot of
// the primary.
#define ROUTE_SPILL_WAIT_US (20 * SCHEDULER_MS_US)
// Replicas that are looked at for one that nearly covers a floor.
#define ROUTE_CATCHING_UP_SCAN_MAX 16
#define ROUTE_INITIAL_LATENCY_US                                              \
    (1 * SCHEDULER_MS_US) // before the first measurement

// What a read needs of the upstream that serves it.
struct route_need {
    const struct request *request;
    uint64_t lsn;
    int64_t caught_up_us; // it must have all that was committed before
    int64_t age_us;       // guarded: since when lsn exists; -1: not known
    bool leased;
};

// Returns whether the primary takes statements that only it may run.
bool
route_primary_is_usable(const struct scheduler *scheduler)
{
    return scheduler->primary != SCHEDULER_NO_ID &&
           lease_is_valid(scheduler) &&
           scheduler->upstreams[scheduler->primary].writable;
}

// Returns whether an upstream has a free slot and a connection for it, open
// or soon to be.
static bool
route_has_room(const struct scheduler *scheduler, uint32_t place)
{
    const struct upstream *up = &scheduler->upstreams[place];

    return up->running < concurrency_get_limit(&up->concurrency, up->slots) &&
           (up->idle > 0 || up->opening > 0 ||
            pool_can_open(scheduler, place));
}

// Returns whether an upstream's position and age allow it to serve a read. A
// primary whose lease ran out counts by its age, like a replica.
static bool
route_may_serve(const struct scheduler *scheduler, uint32_t place,
                const struct route_need *need)
{
    const struct upstream *upstream = &scheduler->upstreams[place];

    if (scheduler->params.guarded) {
        return place != scheduler->primary && need->age_us >= 0 &&
               replica_lag_allows(&upstream->lag, scheduler->now_us,
                                  need->age_us);
    }
    return upstream->in_current_term && upstream->position.lsn >= need->lsn &&
           upstream->caught_up_us >= need->caught_up_us &&
           upstream->caught_up_us != FRESHNESS_UNKNOWN;
}

// Returns the expected time of one more statement at an upstream.
static int64_t
route_get_cost_us(const struct upstream *upstream)
{
    int64_t latency_us = upstream->latency_us == 0 ? ROUTE_INITIAL_LATENCY_US
                                                   : upstream->latency_us;

    return latency_us * (upstream->running + 1) / upstream->slots;
}

// Returns whether a read goes to upstream a rather than to b: the lower cost
// wins, an idle connection before one to be opened, and when the loads are
// equal the entry's own failure domain.
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

// Looks at one upstream as a place for a read; *found says whether some
// replica may serve it, free or not.
static bool
route_is_candidate(const struct scheduler *scheduler, uint32_t place,
                   const struct route_need *need, bool *found)
{
    const struct upstream *up = &scheduler->upstreams[place];

    if (place == scheduler->primary && need->leased) {
        return false;
    }
    if (!route_may_serve(scheduler, place, need) ||
        up->failing_since_us != 0 ||
        circuit_breaker_is_open(&up->circuit_breaker, scheduler->now_us) ||
        retry_was_tried(need->request, place)) {
        return false;
    }
    if (up->slots > 0 && up->connections > 0) {
        *found = true;
    }
    return route_has_room(scheduler, place);
}

// Looks for two replicas with room: by chance first when there are many, then
// at all from a place found by chance. Returns how many it found.
static uint32_t
route_find_two(struct scheduler *scheduler, const struct route_need *need,
               uint32_t picked[2], bool *found)
{
    uint32_t count = scheduler->candidates_count;
    uint32_t picked_count = 0;

    for (int i = 0; count > ROUTE_RANDOM_PROBES && i < ROUTE_RANDOM_PROBES;
         i++) {
        uint32_t place =
            scheduler->candidates[random_below(&scheduler->random, count)];
        if (route_is_candidate(scheduler, place, need, found)) {
            picked[picked_count++] = place;
        }
        if (picked_count == 2) {
            return picked_count;
        }
    }
    uint32_t next = random_below(&scheduler->random, count);
    for (uint32_t i = 0; i < count && picked_count < 2; i++) {
        uint32_t place = scheduler->candidates[next];
        next = next + 1 == count ? 0 : next + 1;
        if (route_is_candidate(scheduler, place, need, found)) {
            picked[picked_count++] = place;
        }
    }
    return picked_count;
}

// Picks the better one of two replicas. Returns SCHEDULER_NO_ID when none has
// room.
static uint32_t
route_pick_replica(struct scheduler *scheduler, const struct route_need *need,
                   bool *found)
{
    uint32_t picked[2] = {SCHEDULER_NO_ID, SCHEDULER_NO_ID};

    if (scheduler->candidates_count == 0 ||
        route_find_two(scheduler, need, picked, found) < 2) {
        return picked[0];
    }
    return route_is_better(&scheduler->upstreams[picked[1]],
                           &scheduler->upstreams[picked[0]])
               ? picked[1]
               : picked[0];
}

// Returns how many reads may run on the primary at once without starving its
// saves. elsewhere says that a replica could serve the read too: it takes the
// primary only when it has waited for the replicas for a while.
static uint32_t
route_get_primary_limit(const struct scheduler *scheduler,
                        const struct request *request, bool elsewhere)
{
    uint32_t slots = scheduler->upstreams[scheduler->primary].slots;
    uint32_t part = slots / ROUTE_PRIMARY_DIVISOR;

    if (elsewhere) {
        bool waited =
            scheduler->now_us - request->queued_us >= ROUTE_SPILL_WAIT_US;
        return waited && scheduler->queued[QUEUE_PRIMARY] == 0 ? part : 0;
    }
    if (slots <= 1) {
        return scheduler->queued[QUEUE_PRIMARY] == 0 ? slots : 0;
    }
    return slots - (part == 0 ? 1 : part);
}

// Returns the replica that will reach a read's floor first, by its observed
// apply rate, and in *eta_us when. Returns SCHEDULER_NO_ID when none will in
// time.
static uint32_t
route_find_catching_up(const struct scheduler *scheduler,
                       const struct route_need *need, int64_t *eta_us)
{
    uint32_t best = SCHEDULER_NO_ID;
    uint32_t count = scheduler->candidates_count;

    *eta_us = ROUTE_FLOOR_WAIT_US;
    for (uint32_t i = 0; i < count && i < ROUTE_CATCHING_UP_SCAN_MAX; i++) {
        uint32_t place = scheduler->candidates[i];
        const struct upstream *up = &scheduler->upstreams[place];
        if (place == scheduler->primary || !up->in_current_term ||
            up->slots == 0 || up->apply_rate <= 0 ||
            up->failing_since_us != 0 ||
            up->caught_up_us < need->caught_up_us) {
            continue;
        }
        double lacking = (double)need->lsn - (double)up->position.lsn;
        int64_t took_us = (int64_t)(lacking / up->apply_rate) -
                          (scheduler->now_us - up->position_requested_us);
        if (took_us < *eta_us) {
            *eta_us = took_us < 0 ? 0 : took_us;
            best = place;
        }
    }
    return best;
}

// Lets a read wait once, for a bounded time, for a replica that is about to
// reach its floor, when that is cheaper than the primary. Returns whether it
// waits.
static bool
route_wait_for_floor(struct scheduler *scheduler, struct request *request,
                     const struct route_need *need, bool primary_has_room)
{
    int64_t eta_us = 0;

    if (request->floor_wait_until_us != 0) {
        return scheduler->now_us < request->floor_wait_until_us;
    }
    uint32_t place = route_find_catching_up(scheduler, need, &eta_us);
    if (place == SCHEDULER_NO_ID) {
        return false;
    }
    int64_t cost_us = eta_us + route_get_cost_us(&scheduler->upstreams[place]);
    const struct upstream *primary = &scheduler->upstreams[scheduler->primary];
    if (primary_has_room && cost_us >= route_get_cost_us(primary)) {
        return false;
    }
    request->floor_wait_until_us =
        scheduler->now_us + eta_us + ROUTE_FLOOR_WAIT_US / 2;
    sample_request(scheduler, place, scheduler->now_us);
    timers_add(&scheduler->timers, request->floor_wait_until_us, TIMER_WAKE,
               0);
    return true;
}

// Finds the place of a read that no replica with room may serve now.
static enum route_verdict
route_read_on_primary(struct scheduler *scheduler, struct request *request,
                      const struct route_need *need, bool elsewhere)
{
    const struct upstream *primary = &scheduler->upstreams[scheduler->primary];
    bool has_room = primary->reads < route_get_primary_limit(
                                         scheduler, request, elsewhere) &&
                    route_has_room(scheduler, scheduler->primary);

    if (!elsewhere && !scheduler->params.guarded &&
        route_wait_for_floor(scheduler, request, need, has_room)) {
        return ROUTE_BUSY;
    }
    return has_room ? ROUTE_FOUND : ROUTE_BUSY;
}

// Finds the upstream for a statement that only the primary may run.
struct route
route_primary(const struct scheduler *scheduler)
{
    struct route route = {ROUTE_STALE, SCHEDULER_NO_ID};

    if (!route_primary_is_usable(scheduler)) {
        return route;
    }
    route.verdict = ROUTE_BUSY;
    if (scheduler->upstreams[scheduler->primary].failing_since_us == 0 &&
        route_has_room(scheduler, scheduler->primary)) {
        route.verdict = ROUTE_FOUND;
        route.upstream = scheduler->primary;
    }
    return route;
}

// Finds the position that an upstream must have to serve a read: all that was
// committed so long before the read came as it accepts, and what its session
// has saved. Without a sample of the primary since then it is not known.
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

// Finds the relay's place for a read. What it may run on is decided there.
static struct route
route_to_relay(const struct scheduler *scheduler)
{
    struct route route = {ROUTE_STALE, SCHEDULER_NO_ID};

    if (scheduler->candidates_count == 0) {
        return route;
    }
    uint32_t place = scheduler->candidates[0];
    route.verdict = ROUTE_BUSY;
    if (route_has_room(scheduler, place)) {
        route.verdict = ROUTE_FOUND;
        route.upstream = place;
    }
    return route;
}

// Finds the upstream for a read: a replica whose position covers the
// session's floor and whose age is accepted, otherwise the primary.
struct route
route_read(struct scheduler *scheduler, struct request *request)
{
    if (scheduler->view.relayed) {
        return route_to_relay(scheduler);
    }
    struct route route = {ROUTE_FOUND, SCHEDULER_NO_ID};
    struct route_need need = route_get_need(scheduler, request);
    bool elsewhere = false;

    route.upstream = route_pick_replica(scheduler, &need, &elsewhere);
    if (route.upstream != SCHEDULER_NO_ID) {
        request->required_lsn = need.lsn;
        request->required_lsn_age_us = need.age_us;
        return route;
    }
    if (route_primary_is_usable(scheduler) &&
        !retry_was_tried(request, scheduler->primary)) {
        route.verdict =
            route_read_on_primary(scheduler, request, &need, elsewhere);
        route.upstream = scheduler->primary;
        return route;
    }
    route.verdict = elsewhere ? ROUTE_BUSY : ROUTE_STALE;
    return route;
}
