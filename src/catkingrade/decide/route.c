#include "catkingrade/decide/route.h"

#include "catkingrade/decide/floor.h"
#include "catkingrade/decide/pool.h"
#include "catkingrade/decide/random.h"
#include "catkingrade/decide/retry.h"
#include "catkingrade/decide/traffic_lease.h"
#include "catkingrade/decide/traffic_sample.h"

// Upstreams that are looked at by chance before all of them are.
#define ROUTE_TRIES 8
// Reads that a replica could serve take at most this part of the primary's
// slots, rounded down; other reads leave the same part, at least one, free.
#define ROUTE_PRIMARY_PART 4
// A read waits at most this long for a replica to reach its floor.
#define ROUTE_FLOOR_WAIT_US (20 * TRAFFIC_MS_US)
#define ROUTE_LATENCY_US    (1 * TRAFFIC_MS_US) // before the first measurement

// What a read needs of the upstream that serves it.
struct route_need {
    const struct request *request;
    uint64_t lsn;
    int64_t current_us; // it must have all that was committed before
};

// Returns whether the primary takes statements that only it may run.
bool
route_primary_is_usable(const struct traffic *traffic)
{
    return traffic->primary != TRAFFIC_NO_ID && lease_is_valid(traffic) &&
           traffic->upstreams[traffic->primary].writable;
}

static bool
route_has_room(const struct upstream *upstream)
{
    return upstream->running < upstream->slots &&
           (upstream->idle > 0 || upstream->opening > 0 ||
            upstream->open < upstream->connections);
}

// Returns whether an upstream's position and age allow it to serve a read. A
// primary whose lease ran out counts by its age, like a replica.
static bool
route_may_serve(const struct upstream *upstream, const struct route_need *need)
{
    return upstream->of_term && upstream->position.lsn >= need->lsn &&
           upstream->current_us >= need->current_us &&
           upstream->current_us != FRESHNESS_UNKNOWN;
}

// Returns the expected time of one more statement at an upstream.
static int64_t
route_get_cost_us(const struct upstream *upstream)
{
    int64_t latency_us =
        upstream->latency_us == 0 ? ROUTE_LATENCY_US : upstream->latency_us;

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
route_is_candidate(const struct traffic *traffic, uint32_t place,
                   const struct route_need *need, bool *found)
{
    const struct upstream *up = &traffic->upstreams[place];

    if (place == traffic->primary && lease_is_valid(traffic)) {
        return false;
    }
    if (!route_may_serve(up, need) || retry_was_tried(need->request, place)) {
        return false;
    }
    if (up->slots > 0 && up->connections > 0) {
        *found = true;
    }
    return route_has_room(up);
}

// Picks a replica among two that were found by chance, or among all when
// chance did not find two. Returns TRAFFIC_NO_ID when none has room.
static uint32_t
route_pick_replica(struct traffic *traffic, const struct route_need *need,
                   bool *found)
{
    uint32_t count = traffic->candidates_count;
    uint32_t picked[2] = {TRAFFIC_NO_ID, TRAFFIC_NO_ID};
    uint32_t picked_count = 0;

    if (count == 0) {
        return TRAFFIC_NO_ID;
    }
    uint32_t start = random_below(&traffic->random, count);
    for (uint32_t i = 0; i < count && picked_count < 2; i++) {
        uint32_t place = traffic->candidates[start];
        if (route_is_candidate(traffic, place, need, found)) {
            picked[picked_count++] = place;
        }
        start = i < ROUTE_TRIES && count > ROUTE_TRIES
                    ? random_below(&traffic->random, count)
                    : (start + 1 == count ? 0 : start + 1);
    }
    if (picked_count < 2) {
        return picked[0];
    }
    return route_is_better(&traffic->upstreams[picked[1]],
                           &traffic->upstreams[picked[0]])
               ? picked[1]
               : picked[0];
}

// Returns whether a read may take a slot of the primary without starving its
// saves. elsewhere says that a replica could serve the read too.
static bool
route_primary_has_room(const struct traffic *traffic, bool elsewhere)
{
    const struct upstream *primary = &traffic->upstreams[traffic->primary];
    uint32_t part = primary->slots / ROUTE_PRIMARY_PART;
    uint32_t limit = part;

    if (!elsewhere && primary->slots == 1) {
        limit = traffic->queued[QUEUE_PRIMARY] == 0 ? 1 : 0;
    }
    else if (!elsewhere && primary->slots > 1) {
        limit = primary->slots - (part == 0 ? 1 : part);
    }
    return primary->reads < limit && route_has_room(primary);
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
    if (route_has_room(&traffic->upstreams[traffic->primary])) {
        route.verdict = ROUTE_FOUND;
        route.upstream = traffic->primary;
    }
    return route;
}

static struct route_need
route_get_need(const struct traffic *traffic, const struct request *request)
{
    struct route_need need = {.request = request};

    (void)floor_translate(traffic->view.database, &request->session->floor,
                          &need.lsn);
    need.current_us = request->max_age_us == 0
                          ? request->arrived_us
                          : traffic->now_us - request->max_age_us;
    return need;
}

// Finds the upstream for a read: a replica whose position covers the
// session's floor and whose age is accepted, otherwise the primary.
struct route
route_read(struct traffic *traffic, struct request *request)
{
    struct route route = {ROUTE_FOUND, TRAFFIC_NO_ID};
    struct route_need need = route_get_need(traffic, request);
    bool elsewhere = false;

    route.upstream = route_pick_replica(traffic, &need, &elsewhere);
    if (route.upstream != TRAFFIC_NO_ID) {
        return route;
    }
    if (route_primary_is_usable(traffic) &&
        !retry_was_tried(request, traffic->primary)) {
        route.verdict = ROUTE_BUSY;
        if (route_primary_has_room(traffic, elsewhere)) {
            route.verdict = ROUTE_FOUND;
            route.upstream = traffic->primary;
        }
        return route;
    }
    route.verdict = elsewhere ? ROUTE_BUSY : ROUTE_STALE;
    return route;
}
