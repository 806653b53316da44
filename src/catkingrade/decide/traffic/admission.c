#include "catkingrade/decide/traffic/admission.h"

#include <math.h>
#include <string.h>

#include "catkingrade/decide/traffic/fair_queue.h"
#include "catkingrade/decide/traffic/pool.h"
#include "catkingrade/decide/traffic/retry.h"
#include "catkingrade/decide/traffic/scheduler_lease.h"
#include "catkingrade/decide/traffic/scheduler_request.h"
#include "catkingrade/decide/traffic/scheduler_sample.h"
#include "catkingrade/decide/traffic/scheduler_session.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

#define ADMISSION_DEFAULT_DEADLINE_US (5 * SCHEDULER_SECOND_US)
#define ADMISSION_DEFAULT_QUEUE_LIMIT 1000
// Service time before the first statement of a type has ended.
#define ADMISSION_SERVICE_INITIAL_US 1000.0
// The expected service time of a request is capped at its total time to the
// deadline divided by this.
#define ADMISSION_SERVICE_MAX_DIVISOR 2
#define ADMISSION_SERVICE_FACTOR      3.0 // of the average
#define ADMISSION_SERVICE_EWMA_WEIGHT 0.1 // of a new measurement
// Slots requested from control for each slot that was used or waited for.
#define ADMISSION_HEADROOM_FACTOR 1.5
// Retry delay of a request that is refused because no primary is usable.
#define ADMISSION_FAILOVER_RETRY_US (250 * SCHEDULER_MS_US)
// Retry delay of a request that another entry may serve at once.
#define ADMISSION_ELSEWHERE_RETRY_US (50 * SCHEDULER_MS_US)
// A queue counts as stalled when none of its statements has got a slot for
// this long. The time is several times that of one statement.
#define ADMISSION_STALL_US (200 * SCHEDULER_MS_US)

// Returns the request type with this name, and adds it when it is missing.
// When the table is full, all further names share its last entry.
static struct request_type *
admission_get_or_add_type(struct scheduler *scheduler, const char *name)
{
    for (uint32_t i = 0; i < scheduler->types_count; i++) {
        if (strcmp(scheduler->types[i].name, name) == 0) {
            return &scheduler->types[i];
        }
    }
    if (scheduler->types_count == SCHEDULER_TYPES_MAX) {
        return &scheduler->types[SCHEDULER_TYPES_MAX - 1];
    }
    struct request_type *type = &scheduler->types[scheduler->types_count++];
    (void)strncpy(type->name, name, sizeof(type->name) - 1);
    type->service_us = ADMISSION_SERVICE_INITIAL_US;
    return type;
}

// Sets up the type with the empty name, at index 0. It applies to all requests
// if the customer configures no types.
static void
admission_set_default(struct scheduler *scheduler)
{
    struct request_type *type = admission_get_or_add_type(scheduler, "");

    type->weight = 1;
    type->queue_limit = ADMISSION_DEFAULT_QUEUE_LIMIT;
    type->deadline_us = ADMISSION_DEFAULT_DEADLINE_US;
    type->max_age_us =
        (int64_t)scheduler->view.customer->max_age_ms * SCHEDULER_MS_US;
}

// Applies the request types of a new view. A type keeps its index in the
// table, so requests that are already queued stay valid. The first configured
// type becomes the default.
void
admission_handle_view(struct scheduler *scheduler)
{
    const struct ck_customer *customer = scheduler->view.customer;

    admission_set_default(scheduler);
    scheduler->default_type = 0;
    for (uint32_t i = 0; i < customer->types.types_len; i++) {
        const struct ck_request_type *config = &customer->types.types_val[i];
        struct request_type *type =
            admission_get_or_add_type(scheduler, config->name);
        type->weight = config->weight == 0 ? 1 : config->weight;
        type->queue_limit = config->queue_limit;
        type->deadline_us = (int64_t)config->deadline_ms * SCHEDULER_MS_US;
        type->max_age_us = (int64_t)config->max_age_ms * SCHEDULER_MS_US;
        type->repeatable = config->repeatable;
        if (i == 0) {
            scheduler->default_type = (uint8_t)(type - scheduler->types);
        }
    }
}

// Returns the index of the request type with this name. An empty or unknown
// name gives the default type.
uint8_t
admission_find_type(const struct scheduler *scheduler, const char *name)
{
    if (name[0] == '\0') {
        return scheduler->default_type;
    }
    for (uint32_t i = 1; i < scheduler->types_count; i++) {
        if (strcmp(scheduler->types[i].name, name) == 0) {
            return (uint8_t)i;
        }
    }
    return scheduler->default_type;
}

// Returns the queue that a request waits in.
enum queue_kind
admission_get_queue(const struct request *request)
{
    return request_is_read(request) && !request->primary_only ? QUEUE_READS
                                                              : QUEUE_PRIMARY;
}

// Returns how many statements of a queue the upstreams can run concurrently.
static uint32_t
admission_get_slots(const struct scheduler *scheduler, enum queue_kind kind)
{
    if (kind == QUEUE_PRIMARY) {
        return scheduler->primary == SCHEDULER_NO_ID
                   ? 0
                   : scheduler->upstreams[scheduler->primary].slots;
    }
    return scheduler->slots_total;
}

// Estimates in microseconds how long a new request of a type would wait for a
// slot: the statements queued before it, divided by the type's weighted share
// of the slots.
static int64_t
admission_estimate_wait_us(const struct scheduler *scheduler,
                           const struct request_type *type,
                           enum queue_kind kind)
{
    uint32_t slots = admission_get_slots(scheduler, kind);
    double weights = 0;

    if (type->queues[kind].list.count == 0 || slots == 0) {
        return 0;
    }
    for (uint32_t i = 0; i < scheduler->types_count; i++) {
        if (scheduler->types[i].queues[kind].list.count > 0) {
            weights += scheduler->types[i].weight;
        }
    }
    double share = slots * type->weight / weights;
    return (int64_t)((type->queues[kind].list.count + 1) * type->service_us /
                     share);
}

// Returns whether an upstream has a slot and a connection of this entry that
// no statement uses.
static bool
admission_has_width(const struct upstream *up)
{
    uint32_t limit = concurrency_get_limit(&up->concurrency, up->slots);

    return up->takes_work && up->running < limit &&
           up->running < up->connections;
}

// Returns whether a slot that may serve a queue is free.
bool
admission_has_free_slot(const struct scheduler *scheduler,
                        enum queue_kind kind)
{
    if (scheduler->primary != SCHEDULER_NO_ID &&
        admission_has_width(&scheduler->upstreams[scheduler->primary])) {
        return true;
    }
    for (uint32_t i = 0;
         kind == QUEUE_READS && i < scheduler->candidates_count; i++) {
        if (admission_has_width(
                &scheduler->upstreams[scheduler->candidates[i]])) {
            return true;
        }
    }
    return false;
}

// Estimates in microseconds how long a new request would wait for a slot while
// customers share the slots fairly. 0 while a slot is free.
static int64_t
admission_estimate_fair_wait_us(const struct scheduler *scheduler,
                                const struct request *request,
                                enum queue_kind kind)
{
    uint32_t slots = admission_get_slots(scheduler, kind);

    if (slots == 0 || admission_has_free_slot(scheduler, kind)) {
        return 0;
    }
    return (int64_t)(fair_queue_get_work_us(scheduler, request, kind) / slots);
}

// Returns whether the queue of a type has no place for a new request. A
// customer that has less than its share of a full queue is not refused for the
// requests of others.
static bool
admission_is_queue_full(const struct scheduler *scheduler,
                        const struct request *request, enum queue_kind kind)
{
    const struct request_type *type = &scheduler->types[request->type];
    const struct type_queue *queue = &type->queues[kind];

    if (queue->list.count < type->queue_limit) {
        return false;
    }
    return scheduler->customers.used == 0 || queue->fair_count == 0 ||
           fair_queue_count(scheduler, request, kind) >=
               type->queue_limit / queue->fair_count;
}

// Records how many statements wait or run at the end of a step; elapsed_us is
// the time since the previous step. Every statement that runs on the primary,
// also a read, counts towards the demand for the primary.
void
admission_record_load(struct scheduler *scheduler, int64_t elapsed_us)
{
    uint32_t on_primary = 0;

    if (scheduler->primary != SCHEDULER_NO_ID) {
        on_primary = scheduler->upstreams[scheduler->primary].running;
    }
    for (int kind = 0; kind < QUEUE_COUNT; kind++) {
        uint32_t running = kind == QUEUE_PRIMARY
                               ? on_primary
                               : scheduler->running - on_primary;
        scheduler->work_integral[kind] +=
            (double)scheduler->work[kind] * (double)elapsed_us;
        scheduler->work[kind] = scheduler->queued[kind] + running;
        if (scheduler->work[kind] > scheduler->peak_work[kind]) {
            scheduler->peak_work[kind] = scheduler->work[kind];
        }
    }
}

// Returns how many slots a queue needs: the average load since the last call
// times ADMISSION_HEADROOM_FACTOR, at most the peak load, and at least 1 if
// there was any load. Starts a new measurement of the peak and the average.
uint32_t
admission_collect_demand(struct scheduler *scheduler, enum queue_kind kind)
{
    double elapsed_us =
        (double)(scheduler->now_us - scheduler->demand_since_us);
    uint32_t peak = scheduler->peak_work[kind];
    uint32_t wanted = peak;

    if (elapsed_us > 0) {
        double average = scheduler->work_integral[kind] / elapsed_us;
        wanted = (uint32_t)ceil(average * ADMISSION_HEADROOM_FACTOR);
    }
    scheduler->work_integral[kind] = 0;
    scheduler->peak_work[kind] = scheduler->work[kind];
    if (peak > 0 && wanted == 0) {
        return 1;
    }
    return wanted < peak ? wanted : peak;
}

// Returns whether a change of primary is in progress whose end this entry will
// learn: it has a lease and the term is being superseded, or it was, and the
// lease for the next term is on its way.
static bool
admission_is_primary_changing(const struct scheduler *scheduler)
{
    const struct ck_database *database = scheduler->view.database;

    return scheduler->view_known && scheduler->lease_known &&
           scheduler->lease.valid_until_us > scheduler->now_us &&
           (database->superseding || (scheduler->primary_wait.since_us != 0 &&
                                      scheduler->lease.term < database->term));
}

// Records the begin and the end of a change of primary. The queue timeouts of
// the requests that have waited for it count from its end.
void
admission_update_primary_wait(struct scheduler *scheduler)
{
    struct primary_wait *wait = &scheduler->primary_wait;

    if (admission_is_primary_changing(scheduler)) {
        if (wait->since_us == 0) {
            primary_wait_begin(wait, scheduler->now_us);
            timers_add(&scheduler->timers,
                       scheduler->now_us + primary_wait_get_remaining_us(
                                               wait, scheduler->now_us),
                       TIMER_WAKE, 0);
        }
    }
    else if (wait->since_us != 0 && lease_is_valid(scheduler)) {
        primary_wait_end(wait, scheduler->now_us);
        scheduler->dispatch_resumed_us[QUEUE_PRIMARY] = scheduler->now_us;
    }
    else {
        primary_wait_cancel(wait);
    }
}

// Returns how long the statement of a request is expected to take, in
// microseconds. A statement that starts later than this before its deadline
// often ends with an unknown outcome. The result is capped at half of the
// request's total time, so that a request that finds a free slot on arrival is
// always tried. Otherwise a type whose statements were slow would be refused
// for ever, because only a completed statement can lower its average.
static int64_t
admission_get_service_us(const struct scheduler *scheduler,
                         const struct request *request)
{
    const struct request_type *type = &scheduler->types[request->type];
    int64_t service_us =
        (int64_t)(type->service_us * ADMISSION_SERVICE_FACTOR);
    int64_t max_us = (request->deadline_us - request->arrived_us) /
                     ADMISSION_SERVICE_MAX_DIVISOR;

    return service_us < max_us ? service_us : max_us;
}

// Returns whether a request that needs the primary may wait for the end of a
// change in progress: it can then still end before its deadline.
static bool
admission_may_await_primary(const struct scheduler *scheduler,
                            const struct request *request)
{
    const struct primary_wait *wait = &scheduler->primary_wait;

    return wait->since_us != 0 &&
           scheduler->now_us +
                   primary_wait_get_remaining_us(wait, scheduler->now_us) +
                   admission_get_service_us(scheduler, request) <=
               request->deadline_us;
}

// Refuses a request that another entry may serve. Ends its session if it has
// no other request and no open transaction: a client repeats a request in the
// session that it has, so it would ask this entry again.
static void
admission_refuse_elsewhere(struct scheduler *scheduler,
                           struct request *request, int64_t retry_after_us,
                           const char *reason)
{
    struct session *session = request->session;

    request_refuse(scheduler, request, OUTCOME_UNAVAILABLE, retry_after_us,
                   reason);
    session_move(scheduler, session);
}

// Refuses a request for want of a primary. Other entries may have one if this
// entry has lost its lease.
static void
admission_refuse_without_primary(struct scheduler *scheduler,
                                 struct request *request, const char *reason)
{
    if (lease_has_quota(scheduler)) {
        request_refuse(scheduler, request, OUTCOME_UNAVAILABLE,
                       ADMISSION_FAILOVER_RETRY_US, reason);
        return;
    }
    admission_refuse_elsewhere(scheduler, request,
                               ADMISSION_ELSEWHERE_RETRY_US, reason);
}

// Refuses a request whose queue timeout has expired. The outcome and reason
// tell whether no slot was free or no upstream was fresh enough for the read.
void
admission_refuse_queue_timeout(struct scheduler *scheduler,
                               struct request *request)
{
    bool stale = request->stale_wait;

    if (relay_contact_is_silent(&scheduler->relay_contact) &&
        (scheduler->view.relayed || !lease_has_quota(scheduler))) {
        admission_refuse_elsewhere(scheduler, request,
                                   ADMISSION_ELSEWHERE_RETRY_US,
                                   "its relay does not answer");
        return;
    }
    refusal_loss_add(&scheduler->refusal_loss, scheduler->now_us, true);
    sample_report_lagging(scheduler);
    request_refuse(scheduler, request,
                   stale ? OUTCOME_UNAVAILABLE : OUTCOME_OVERLOADED,
                   RETRY_AFTER_US,
                   stale ? "no upstream has what the read needs"
                         : "no slot was free in time");
}

// Queues a request for a slot. Refuses it at once if its queue is full, if it
// could not start before its deadline or queue timeout, or if it needs a
// primary and none may accept writes.
void
admission_enqueue(struct scheduler *scheduler, struct request *request)
{
    enum queue_kind kind = admission_get_queue(request);
    struct request_type *type = &scheduler->types[request->type];
    struct type_queue *queue = &type->queues[kind];

    if (kind == QUEUE_PRIMARY &&
        (scheduler->primary == SCHEDULER_NO_ID ||
         !lease_is_valid(scheduler)) &&
        !admission_may_await_primary(scheduler, request)) {
        admission_refuse_without_primary(
            scheduler, request, "there is no primary under a valid lease");
        return;
    }
    if (request->stale_wait && request->start_by_us <= scheduler->now_us) {
        admission_refuse_queue_timeout(scheduler, request);
        return;
    }
    int64_t wait_us =
        scheduler->customers.used > 0
            ? admission_estimate_fair_wait_us(scheduler, request, kind)
            : admission_estimate_wait_us(scheduler, type, kind);
    int64_t remaining_us = request->deadline_us - scheduler->now_us;
    if (admission_is_queue_full(scheduler, request, kind) ||
        wait_us + admission_get_service_us(scheduler, request) >
            remaining_us ||
        (request->start_by_us != INT64_MAX &&
         wait_us > request->start_by_us - scheduler->now_us)) {
        refusal_loss_add(&scheduler->refusal_loss, scheduler->now_us, true);
        sample_report_lagging(scheduler);
        request_refuse(scheduler, request, OUTCOME_OVERLOADED,
                       wait_us > 0 ? wait_us : RETRY_AFTER_US,
                       "the queue is too long");
        return;
    }
    request->state = REQUEST_QUEUED;
    request->conn = SCHEDULER_NO_ID;
    request->queued_us = scheduler->now_us;
    if (queue->list.count == 0 &&
        queue->virtual_time < scheduler->virtual_time[kind]) {
        queue->virtual_time = scheduler->virtual_time[kind];
    }
    request_list_append(&queue->list, request);
    scheduler->queued[kind]++;
    scheduler->customers.items[request->customer]->queued++;
    fair_queue_add(scheduler, request, kind);
}

// Removes a request from its queue.
void
admission_remove(struct scheduler *scheduler, struct request *request)
{
    enum queue_kind kind = admission_get_queue(request);

    request_list_remove(&scheduler->types[request->type].queues[kind].list,
                        request);
    scheduler->queued[kind]--;
    scheduler->customers.items[request->customer]->queued--;
    fair_queue_remove(scheduler, request);
}

// Returns the type that weighted fair queueing serves next, or NULL when no
// queue of this kind can start a request in the present dispatch.
struct request_type *
admission_pick_type(struct scheduler *scheduler, enum queue_kind kind)
{
    struct request_type *best = NULL;

    for (uint32_t i = 0; i < scheduler->types_count; i++) {
        struct request_type *type = &scheduler->types[i];
        const struct type_queue *queue = &type->queues[kind];
        if (queue->list.count == 0 ||
            queue->blocked_round == scheduler->round) {
            continue;
        }
        if (best == NULL ||
            queue->virtual_time < best->queues[kind].virtual_time) {
            best = type;
        }
    }
    return best;
}

// Returns whether a queue is stalled: none of its statements has got a slot
// for ADMISSION_STALL_US, and no running statement will free one.
static bool
admission_is_stalled(const struct scheduler *scheduler, enum queue_kind kind)
{
    return scheduler->running == 0 &&
           scheduler->now_us - scheduler->started_us[kind] >
               ADMISSION_STALL_US;
}

// Records that a statement of a queue has got a slot, and with it the end of a
// stall.
void
admission_record_start(struct scheduler *scheduler, enum queue_kind kind)
{
    if (admission_is_stalled(scheduler, kind)) {
        scheduler->dispatch_resumed_us[kind] = scheduler->now_us;
    }
    scheduler->started_us[kind] = scheduler->now_us;
}

// Advances the virtual time of a type by the cost of a statement that has got
// a slot.
void
admission_charge(struct scheduler *scheduler, struct request_type *type,
                 enum queue_kind kind)
{
    struct type_queue *queue = &type->queues[kind];

    scheduler->virtual_time[kind] = queue->virtual_time;
    queue->virtual_time += type->service_us / type->weight;
}

// Returns the time until which a queued request may wait although its queue
// timeout has expired. While its queue is stalled, the past wait says nothing
// about the time to the next free slot, so the request keeps waiting. After a
// stall the queue timeout counts from the end of the stall.
int64_t
admission_get_queue_deadline_us(const struct scheduler *scheduler,
                                const struct request *request)
{
    enum queue_kind kind = admission_get_queue(request);

    // While all relays are silent, a retry at another entry is better.
    if (scheduler->view.relayed && scheduler->relay_contact.lost &&
        relay_contact_is_silent(&scheduler->relay_contact)) {
        return scheduler->now_us;
    }
    if (admission_is_stalled(scheduler, kind) ||
        (kind == QUEUE_PRIMARY && scheduler->primary_wait.since_us != 0)) {
        return scheduler->now_us + request->queue_timeout_us;
    }
    return scheduler->dispatch_resumed_us[kind] + request->queue_timeout_us;
}

// Refuses a queued request that can no longer finish before its deadline.
// Returns whether the request was refused.
bool
admission_refuse_late(struct scheduler *scheduler, struct request *request)
{
    if (scheduler->now_us + admission_get_service_us(scheduler, request) <=
        request->deadline_us) {
        return false;
    }
    admission_remove(scheduler, request);
    request_refuse(scheduler, request, OUTCOME_OVERLOADED, RETRY_AFTER_US,
                   "it can no longer end before its deadline");
    return true;
}

// Updates the moving average of how long statements of a type hold a slot.
void
admission_record_service_time(struct scheduler *scheduler,
                              const struct request *request)
{
    struct request_type *type = &scheduler->types[request->type];
    double service_us = (double)(scheduler->now_us - request->started_us);

    type->service_us +=
        (service_us - type->service_us) * ADMISSION_SERVICE_EWMA_WEIGHT;
}

// Returns whether the lease has been renewed lately, so that the control group
// will soon name other relays in place of those that are lost.
static bool
admission_has_control(const struct scheduler *scheduler)
{
    return scheduler->lease.valid_until_us - scheduler->now_us >
           scheduler->params.lease_us / 2;
}

// Refuses all queued requests if neither a relay of the database nor the
// control group can be reached, and probes for a relay. At another entry they
// may still be in time.
void
admission_check_relay_contact(struct scheduler *scheduler)
{
    if (!scheduler->view.relayed || !scheduler->relay_contact.lost ||
        admission_has_control(scheduler)) {
        return;
    }
    if (scheduler->queued[QUEUE_PRIMARY] + scheduler->queued[QUEUE_READS] >
            0 &&
        scheduler->candidates_count > 0 &&
        scheduler->upstreams[scheduler->candidates[0]].opening == 0 &&
        pool_can_open(scheduler, scheduler->candidates[0], CUSTOMER_NONE)) {
        pool_open(scheduler, scheduler->candidates[0], CUSTOMER_NONE);
    }
    for (uint32_t i = 0; i < scheduler->types_count; i++) {
        for (int kind = 0; kind < QUEUE_COUNT; kind++) {
            const struct request_list *list =
                &scheduler->types[i].queues[kind].list;
            while (list->first != NULL) {
                struct request *request = list->first;
                admission_remove(scheduler, request);
                admission_refuse_elsewhere(scheduler, request,
                                           ADMISSION_ELSEWHERE_RETRY_US,
                                           "no relay can be reached");
            }
        }
    }
}

// Refuses the queued requests that need the primary, with this reason, except
// those that may wait for the end of a change of primary.
void
admission_refuse_primary(struct scheduler *scheduler, const char *reason)
{
    for (uint32_t i = 0; i < scheduler->types_count; i++) {
        const struct request_list *list =
            &scheduler->types[i].queues[QUEUE_PRIMARY].list;
        struct request *next = NULL;
        for (struct request *request = list->first; request != NULL;
             request = next) {
            next = request->next;
            if (!admission_may_await_primary(scheduler, request)) {
                admission_remove(scheduler, request);
                admission_refuse_without_primary(scheduler, request, reason);
            }
        }
    }
}
