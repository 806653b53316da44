#include "catkingrade/decide/traffic/pool_evict.h"

#include "catkingrade/decide/traffic/pool_group.h"

// Idle connections of an upstream that are checked, the longest unused first.
#define POOL_EVICT_SCAN_MAX 64
// Time between two requests of a customer that has sent only one so far.
#define POOL_EVICT_INITIAL_GAP_US (60 * SCHEDULER_SECOND_US)
// Time for which an idle connection is kept for the queued requests of its
// customer. Those that could use it have been started by then.
#define POOL_EVICT_KEEP_US (100 * SCHEDULER_MS_US)
// Opening time of a connection before the first one has been opened.
#define POOL_EVICT_INITIAL_OPEN_US (10 * SCHEDULER_MS_US)
// A request takes a connection that its owner's requests wait for only after
// this multiple of the time that opening one takes. Between two such changes
// of its owner, a connection is thus used for longer than it is opened.
#define POOL_EVICT_TURN_FACTOR 3

// Returns the expected time to open a connection to an upstream.
int64_t
pool_evict_get_open_us(const struct upstream *upstream)
{
    return upstream->open_us == 0 ? POOL_EVICT_INITIAL_OPEN_US
                                  : upstream->open_us;
}

// Returns for how long an idle connection is expected to stay unused. The idle
// connections of one customer share its requests.
static int64_t
pool_evict_get_unused_us(const struct scheduler *scheduler,
                         const struct conn *conn)
{
    const struct customer *owner = scheduler->customers.items[conn->customer];
    const struct conn_group *group =
        pool_group_find(scheduler, conn->upstream, conn->customer);
    int64_t idle_us = scheduler->now_us - conn->used_us;
    int64_t gap_us =
        owner->gap_us == 0 ? POOL_EVICT_INITIAL_GAP_US : owner->gap_us;

    gap_us *= group->idle;
    return idle_us > gap_us ? idle_us : gap_us;
}

// Returns whether queued requests of its owner are expected to use an idle
// connection now.
static bool
pool_evict_is_wanted(const struct scheduler *scheduler,
                     const struct conn *conn)
{
    return scheduler->customers.items[conn->customer]->queued > 0 &&
           scheduler->now_us - conn->since_us < POOL_EVICT_KEEP_US;
}

// Returns whether the owner of a connection has more than its max-min fair
// share of the connections to an upstream, and a customer that wants one more
// has less.
static bool
pool_evict_is_above_share(const struct scheduler *scheduler,
                          const struct conn *conn, uint32_t customer)
{
    const struct upstream *up = &scheduler->upstreams[conn->upstream];
    const struct conn_group *owner =
        pool_group_find(scheduler, conn->upstream, conn->customer);
    const struct conn_group *other =
        pool_group_find(scheduler, conn->upstream, customer);
    uint32_t wanted = other == NULL ? 1 : other->open + 1;
    uint32_t sharing = up->groups + (wanted == 1);

    return (uint64_t)owner->open * sharing > up->connections &&
           (wanted == 1 || (uint64_t)wanted * sharing <= up->connections);
}

// Returns the idle connection of another customer to close for a request of a
// customer that has waited for waited_us, or NULL if all are in use. For
// SCHEDULER_NO_ID, those of all customers are considered. A connection that
// its owner is about to use is taken only for a request that has waited for
// some time, from an owner above its fair share.
struct conn *
pool_evict_choose(struct scheduler *scheduler, uint32_t upstream,
                  uint32_t customer, int64_t waited_us)
{
    const struct upstream *up = &scheduler->upstreams[upstream];
    const struct conn_group *own =
        pool_group_find(scheduler, upstream, customer);
    uint32_t index = up->idle_last;
    struct conn *best = NULL;
    int64_t best_us = -1;
    bool turn =
        waited_us >= POOL_EVICT_TURN_FACTOR * pool_evict_get_open_us(up);

    if (own != NULL && own->idle == up->idle) {
        return NULL;
    }
    for (int i = 0; index != SCHEDULER_NO_ID && i < POOL_EVICT_SCAN_MAX; i++) {
        struct conn *conn = &scheduler->conns[index];
        index = conn->newer;
        if (conn->customer == customer) {
            continue;
        }
        bool wanted = pool_evict_is_wanted(scheduler, conn);
        if (wanted &&
            !(turn && pool_evict_is_above_share(scheduler, conn, customer))) {
            continue;
        }
        int64_t unused_us =
            wanted ? 0 : pool_evict_get_unused_us(scheduler, conn);
        if (unused_us > best_us) {
            best_us = unused_us;
            best = conn;
        }
    }
    return best;
}
