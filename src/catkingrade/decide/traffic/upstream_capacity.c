#include "catkingrade/decide/traffic/upstream_capacity.h"

#include "catkingrade/decide/traffic/scheduler_actions.h"

// Returns the kind of a request's statement. A statement of a transaction may
// read or write, and waits for locks of other transactions: its latency shows
// nothing about the upstream, and it has no kind (CAPACITY_KIND_COUNT).
static enum capacity_kind
upstream_capacity_get_kind(const struct request *request)
{
    switch (request->request_class) {
    case SCHEDULER_CLASS_READ:
        return CAPACITY_KIND_READ;
    case SCHEDULER_CLASS_WRITE:
        return CAPACITY_KIND_WRITE;
    case SCHEDULER_CLASS_COMMIT:
        return CAPACITY_KIND_COMMIT;
    default:
        return CAPACITY_KIND_COUNT;
    }
}

// Returns whether the estimator of an upstream is used. The latency of another
// entry contains the time in its queue, so a relay has none.
bool
upstream_capacity_is_used(const struct scheduler *scheduler,
                          const struct upstream *up)
{
    return scheduler->params.learned_capacity && !up->relayed;
}

// Has the adapter log that an upstream was found slow or has recovered, if
// that has changed.
static void
upstream_capacity_report(struct scheduler *scheduler,
                         const struct upstream *up, bool was_slow)
{
    const struct capacity *capacity = &up->capacity;
    bool slow = capacity_is_slow(capacity);
    enum capacity_kind kind = capacity_is_known(capacity, CAPACITY_KIND_READ)
                                  ? CAPACITY_KIND_READ
                                  : CAPACITY_KIND_WRITE;

    if (slow == was_slow) {
        return;
    }
    struct scheduler_action *action = scheduler_add_action(
        scheduler, slow ? SCHEDULER_ACTION_REPORT_SLOW
                        : SCHEDULER_ACTION_REPORT_RECOVERED);
    action->upstream = (uint32_t)(up - scheduler->upstreams);
    action->latency_us =
        capacity_get_latency_us(capacity, scheduler->now_us, kind);
    action->usual_latency_us = capacity_get_usual_latency_us(capacity, kind);
}

// Records that a request is sent to an upstream.
void
upstream_capacity_record_send(struct scheduler *scheduler, struct upstream *up,
                              const struct request *request)
{
    if (upstream_capacity_is_used(scheduler, up) &&
        capacity_is_slow(&up->capacity) &&
        request->request_class == SCHEDULER_CLASS_READ) {
        capacity_record_trial(&up->capacity, scheduler->now_us,
                              &scheduler->random);
    }
}

// Records the answer to a request. Its slot is free already.
void
upstream_capacity_record_answer(struct scheduler *scheduler,
                                struct upstream *up,
                                const struct request *request, int64_t took_us,
                                uint8_t overdue)
{
    enum capacity_kind kind = upstream_capacity_get_kind(request);
    bool was_slow = capacity_is_slow(&up->capacity);

    if (upstream_capacity_is_used(scheduler, up) &&
        kind != CAPACITY_KIND_COUNT) {
        capacity_record_answer(&up->capacity, scheduler->now_us, kind, took_us,
                               up->running + 1, up->slots, overdue);
        upstream_capacity_report(scheduler, up, was_slow);
    }
}

// Records the statement on a busy connection if it is overdue.
static void
upstream_capacity_check_conn(struct scheduler *scheduler, struct conn *conn)
{
    struct upstream *up = &scheduler->upstreams[conn->upstream];

    if (up->relayed) {
        return;
    }
    const struct request *request =
        id_map_get(&scheduler->requests, conn->request);
    if (request == NULL) {
        return;
    }
    enum capacity_kind kind = upstream_capacity_get_kind(request);
    if (kind == CAPACITY_KIND_COUNT) {
        return;
    }
    uint8_t level = capacity_get_overdue(&up->capacity, kind,
                                         scheduler->now_us - conn->since_us);
    if (level > 0 &&
        (up->overdue_since_us == 0 || conn->since_us < up->overdue_since_us)) {
        up->overdue_since_us = conn->since_us;
    }
    if (level > conn->overdue) {
        bool was_slow = capacity_is_slow(&up->capacity);
        capacity_record_overdue(&up->capacity, scheduler->now_us,
                                conn->overdue, level);
        conn->overdue = level;
        upstream_capacity_report(scheduler, up, was_slow);
    }
}

// Records the overdue statements in flight: those that have become overdue
// since the last call, and the oldest one of each upstream.
void
upstream_capacity_check_overdue(struct scheduler *scheduler)
{
    if (!scheduler->params.learned_capacity) {
        return;
    }
    for (uint32_t i = 0; i < scheduler->upstreams_count; i++) {
        scheduler->upstreams[i].overdue_since_us = 0;
    }
    for (uint32_t i = 0; i < scheduler->conns_count; i++) {
        if (scheduler->conns[i].state == CONN_BUSY) {
            upstream_capacity_check_conn(scheduler, &scheduler->conns[i]);
        }
    }
}
