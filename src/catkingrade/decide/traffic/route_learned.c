#include "catkingrade/decide/traffic/route_learned.h"

#include "catkingrade/decide/random.h"
#include "catkingrade/decide/traffic/pool.h"
#include "catkingrade/decide/traffic/upstream_capacity.h"

// A read waits for the learned limit this part of its time to the deadline.
#define ROUTE_READ_WAIT_DIVISOR 4
// The expected time of a read until its answer must fit this many times into
// its remaining time for a trial at a slow upstream.
#define ROUTE_TRIAL_MARGIN 2
// A slow upstream without a trial for this long gets the next read in any
// case: it must be able to recover.
#define ROUTE_TRIAL_OVERDUE_US (1 * SCHEDULER_SECOND_US)
// Scale of the random number that chooses between two replicas.
#define ROUTE_CHOICE_SCALE 65536

// Returns until when a queued read waits for the learned limit.
int64_t
route_learned_get_wait_end_us(const struct request *request)
{
    return request->queued_us + (request->deadline_us - request->queued_us) /
                                    ROUTE_READ_WAIT_DIVISOR;
}

// Returns whether the learned limit of an upstream allows one more read there.
// A read that has waited for the limit for long ignores it.
bool
route_learned_allows(const struct scheduler *scheduler, uint32_t index,
                     const struct request *request)
{
    const struct upstream *up = &scheduler->upstreams[index];

    return !upstream_capacity_is_used(scheduler, up) ||
           up->running < capacity_get_limit(&up->capacity, up->slots) ||
           scheduler->now_us >= route_learned_get_wait_end_us(request);
}

// Returns the expected time until a read is answered by an upstream, by its
// learned capacity: at least as long as a statement that is overdue there has
// taken so far.
int64_t
route_learned_get_completion_us(const struct scheduler *scheduler,
                                uint32_t index)
{
    const struct upstream *up = &scheduler->upstreams[index];
    int64_t completion_us =
        capacity_get_completion_us(&up->capacity, scheduler->now_us,
                                   CAPACITY_KIND_READ, up->running, up->slots);
    int64_t overdue_us = up->overdue_since_us == 0
                             ? 0
                             : scheduler->now_us - up->overdue_since_us;

    return completion_us > overdue_us ? completion_us : overdue_us;
}

// Returns whether a read should go to upstream a rather than to b by their
// expected completion times: with a probability that falls with the eighth
// power of the time. Entries that share the upstreams learn of a queue late;
// if each of them always chose the lower time, all would choose the same
// upstream until its queue is long.
bool
route_learned_is_faster(struct scheduler *scheduler, uint32_t a, uint32_t b)
{
    double a_us = (double)route_learned_get_completion_us(scheduler, a);
    double b_us = (double)route_learned_get_completion_us(scheduler, b);
    double ratio = (a_us * a_us) / (b_us * b_us);
    ratio *= ratio;
    double share = 1 / (1 + ratio * ratio);

    return random_below(&scheduler->random, ROUTE_CHOICE_SCALE) <
           (uint32_t)(share * ROUTE_CHOICE_SCALE);
}

// Returns whether two upstreams can be compared by their learned latencies:
// these are known, and both or neither have an idle connection for the
// request.
bool
route_learned_can_compare(struct scheduler *scheduler,
                          const struct request *request, uint32_t a,
                          uint32_t b)
{
    const struct upstream *up_a = &scheduler->upstreams[a];
    const struct upstream *up_b = &scheduler->upstreams[b];

    return upstream_capacity_is_used(scheduler, up_a) &&
           capacity_is_known(&up_a->capacity, CAPACITY_KIND_READ) &&
           capacity_is_known(&up_b->capacity, CAPACITY_KIND_READ) &&
           (pool_get_room(scheduler, a, request) == POOL_ROOM_IDLE) ==
               (pool_get_room(scheduler, b, request) == POOL_ROOM_IDLE);
}

// Returns whether an upstream is slow by its learned capacity.
bool
route_learned_is_slow(const struct scheduler *scheduler, uint32_t index)
{
    const struct upstream *up = &scheduler->upstreams[index];

    return upstream_capacity_is_used(scheduler, up) &&
           capacity_is_slow(&up->capacity);
}

// Returns whether a read is due as a trial of a slow upstream and has the time
// for it.
bool
route_learned_may_try(const struct scheduler *scheduler, uint32_t index,
                      const struct request *request)
{
    const struct capacity *capacity = &scheduler->upstreams[index].capacity;
    int64_t latency_us = capacity_get_latency_us(capacity, scheduler->now_us,
                                                 CAPACITY_KIND_READ);

    return capacity_may_try(capacity, scheduler->now_us,
                            scheduler->upstreams[index].running) &&
           (latency_us * ROUTE_TRIAL_MARGIN <=
                request->deadline_us - scheduler->now_us ||
            scheduler->now_us - capacity->trial_at_us >=
                ROUTE_TRIAL_OVERDUE_US);
}
