#include "catkingrade/decide/traffic/scheduler.h"

#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/traffic/admission.h"
#include "catkingrade/decide/traffic/confirm.h"
#include "catkingrade/decide/traffic/dispatch.h"
#include "catkingrade/decide/traffic/fair_queue.h"
#include "catkingrade/decide/traffic/pool.h"
#include "catkingrade/decide/traffic/request_run.h"
#include "catkingrade/decide/traffic/scheduler_actions.h"
#include "catkingrade/decide/traffic/scheduler_lease.h"
#include "catkingrade/decide/traffic/scheduler_request.h"
#include "catkingrade/decide/traffic/scheduler_result.h"
#include "catkingrade/decide/traffic/scheduler_sample.h"
#include "catkingrade/decide/traffic/scheduler_session.h"
#include "catkingrade/decide/traffic/scheduler_state.h"
#include "catkingrade/decide/traffic/scheduler_view.h"
#include "catkingrade/kernel/memory.h"

// Creates the scheduler of one database. It refuses requests until the first
// VIEW event. Freed with scheduler_destroy().
struct scheduler *
scheduler_create(const struct scheduler_params *params)
{
    struct scheduler *scheduler = xcalloc(1, sizeof(*scheduler));

    scheduler->params = *params;
    scheduler->random = params->seed;
    scheduler->primary = SCHEDULER_NO_ID;
    scheduler->own_primary = SCHEDULER_NO_ID;
    scheduler->wake_at_us = SCHEDULER_NO_WAKE;
    customer_table_init(&scheduler->customers);
    pool_init(scheduler);
    return scheduler;
}

// Frees the scheduler; NULL is allowed. The adapter closes the connections.
void
scheduler_destroy(struct scheduler *scheduler)
{
    if (scheduler == NULL) {
        return;
    }
    session_free_all(scheduler);
    id_map_free(&scheduler->sessions);
    id_map_free(&scheduler->requests);
    timers_free(&scheduler->timers);
    pool_free(scheduler);
    fair_queue_free_all(scheduler);
    customer_table_free(&scheduler->customers);
    free(scheduler->upstreams);
    free(scheduler->candidates);
    free(scheduler);
}

// Returns the id of the upstream with a name, or SCHEDULER_NO_ID.
uint32_t
scheduler_get_upstream_id(const struct scheduler *scheduler, const char *name)
{
    for (uint32_t i = 0; i < scheduler->upstreams_count; i++) {
        if (strcmp(scheduler->upstreams[i].name, name) == 0) {
            return i;
        }
    }
    return SCHEDULER_NO_ID;
}

// Returns the name of an upstream of this view or an earlier one. Valid until
// the next VIEW event.
const char *
scheduler_get_upstream_name(const struct scheduler *scheduler,
                            uint32_t upstream)
{
    INVARIANT(upstream < scheduler->upstreams_count);
    return scheduler->upstreams[upstream].name;
}

// Returns the configuration of an upstream in the current view, or NULL when
// the view does not contain the upstream. Valid until the next VIEW event.
const struct ck_upstream *
scheduler_get_upstream(const struct scheduler *scheduler, uint32_t upstream)
{
    return upstream < scheduler->upstreams_count
               ? scheduler->upstreams[upstream].config
               : NULL;
}

static void
scheduler_handle_timer(struct scheduler *scheduler, const struct timer *timer)
{
    switch (timer->kind) {
    case TIMER_REQUEST:
        request_handle_timer(scheduler, timer->id);
        break;
    case TIMER_CONN:
        pool_handle_timer(scheduler, (uint32_t)timer->id);
        break;
    case TIMER_CONFIRM:
        confirm_poll(scheduler);
        break;
    case TIMER_SAMPLE:
    case TIMER_WAKE:
        break;
    }
}

static void
scheduler_run_timers(struct scheduler *scheduler)
{
    struct timer timer;

    while (timers_pop_due(&scheduler->timers, scheduler->now_us, &timer)) {
        scheduler_handle_timer(scheduler, &timer);
    }
}

static void
scheduler_handle_event(struct scheduler *scheduler,
                       const struct scheduler_event *event)
{
    switch (event->kind) {
    case SCHEDULER_EVENT_VIEW:
        view_handle(scheduler, &event->view);
        break;
    case SCHEDULER_EVENT_LEASE:
        lease_handle(scheduler, &event->lease);
        break;
    case SCHEDULER_EVENT_SESSION_OPEN:
        session_open(scheduler, &event->session_open);
        break;
    case SCHEDULER_EVENT_SESSION_FLOOR:
        session_set_floor(scheduler, &event->session_open);
        break;
    case SCHEDULER_EVENT_SESSION_CLOSE:
        session_close(scheduler, event->session);
        break;
    case SCHEDULER_EVENT_REQUEST:
        request_arrive(scheduler, &event->request);
        break;
    case SCHEDULER_EVENT_REQUEST_CANCEL:
        request_cancel(scheduler, event->request_cancel);
        break;
    case SCHEDULER_EVENT_RESULT:
        result_handle(scheduler, &event->result);
        break;
    case SCHEDULER_EVENT_CONN_OPENED:
        pool_handle_opened(scheduler, &event->conn);
        break;
    case SCHEDULER_EVENT_CONN_FAILED:
        result_handle_conn_failed(scheduler, &event->conn);
        break;
    case SCHEDULER_EVENT_CONN_READY:
        pool_handle_ready(scheduler, &event->conn);
        break;
    case SCHEDULER_EVENT_SAMPLE:
        sample_handle(scheduler, &event->sample);
        break;
    case SCHEDULER_EVENT_SAMPLE_FAILED:
        sample_handle_failed(scheduler, &event->sample);
        break;
    case SCHEDULER_EVENT_DRAIN:
        scheduler->draining = true;
        session_end_idle(scheduler);
        break;
    case SCHEDULER_EVENT_FINISH:
        scheduler->draining = true;
        scheduler->finishing = true;
        session_finish_all(scheduler);
        break;
    case SCHEDULER_EVENT_TICK:
        break;
    }
}

// Applies the state of the lease at the present time. When the lease has run
// out, the quotas shrink to their guaranteed part and queued requests that
// need the primary are refused; during a change of primary some of them wait.
// A leaving primary whose time is over is stopped.
static void
scheduler_check_lease(struct scheduler *scheduler)
{
    bool leased = lease_has_quota(scheduler);

    if (!scheduler->primary_stopped && view_is_primary_over(scheduler)) {
        view_stop_primary(scheduler);
    }
    if (leased != scheduler->limits_leased) {
        view_set_limits(scheduler);
    }
    admission_update_primary_wait(scheduler);
    if (scheduler->queued[QUEUE_PRIMARY] > 0 && !lease_is_valid(scheduler)) {
        admission_refuse_primary(scheduler,
                                 "there is no primary under a valid lease");
    }
}

// Asks the adapter for a TICK event when the first timer is due.
static void
scheduler_request_wake(struct scheduler *scheduler)
{
    int64_t first_us = timers_get_next_due_us(&scheduler->timers);

    if (first_us == SCHEDULER_NO_WAKE ||
        (first_us >= scheduler->wake_at_us &&
         scheduler->wake_at_us > scheduler->now_us)) {
        return;
    }
    scheduler->wake_at_us = first_us;
    scheduler_add_action(scheduler, SCHEDULER_ACTION_WAKE)->wake_at_us =
        first_us;
}

// Handles one event at now_us and appends the resulting actions to *actions.
// now_us must not be lower than in earlier calls. Timers that are due run
// before the event.
void
scheduler_step(struct scheduler *scheduler, int64_t now_us,
               const struct scheduler_event *event,
               struct scheduler_actions *actions)
{
    INVARIANT(now_us >= scheduler->now_us);
    int64_t elapsed_us = now_us - scheduler->now_us;

    scheduler->now_us = now_us;
    scheduler->actions = actions;
    scheduler_run_timers(scheduler);
    scheduler_handle_event(scheduler, event);
    if (scheduler->view_known) {
        scheduler_check_lease(scheduler);
        admission_check_relay_contact(scheduler);
        sample_run(scheduler);
        dispatch_run(scheduler);
        lease_end_superseded(scheduler);
    }
    admission_record_load(scheduler, elapsed_us);
    scheduler_request_wake(scheduler);
    scheduler->actions = NULL;
}

// Fills the demand at one upstream. *work is the number of slots needed;
// running becomes the part that this entry's slots and connections at the
// upstream cover, and is subtracted from *work.
static void
scheduler_fill_demand(const struct scheduler *scheduler, uint32_t upstream,
                      uint32_t *work, struct ck_demand *demand)
{
    const struct upstream *up = &scheduler->upstreams[upstream];
    uint32_t room = up->slots < up->connections ? up->slots : up->connections;

    *demand = (struct ck_demand){
        .upstream = up->config->name,
        .running = *work < room ? *work : room,
        .connections = up->open + (up->may_sample ? 1 : 0),
    };
    *work -= demand->running;
}

// Returns whether to request slots for reads at an upstream: it is a replica
// that answers and whose age is at most half of the customer's max_age_ms.
// With guarded upstreams the age is not checked.
static bool
scheduler_is_read_target(const struct scheduler *scheduler, uint32_t upstream)
{
    const struct upstream *up = &scheduler->upstreams[upstream];
    if (scheduler->params.guarded) {
        return upstream != scheduler->primary && up->failing_since_us == 0;
    }
    int64_t limit_us =
        (int64_t)scheduler->view.customer->max_age_ms * SCHEDULER_MS_US / 2;

    return upstream != scheduler->primary && up->in_current_term &&
           up->failing_since_us == 0 &&
           up->caught_up_us >= scheduler->now_us - limit_us;
}

// Distributes the reads that lack a slot over the replicas round-robin. An
// entry without any slot at the replicas requests one more at each.
static void
scheduler_spread_reads(const struct scheduler *scheduler, uint32_t work,
                       bool has_slots, struct ck_demand *demands, size_t count)
{
    size_t replicas = 0;

    for (size_t i = 0; i < count; i++) {
        bool takes =
            scheduler_is_read_target(scheduler, scheduler->candidates[i]);
        replicas += takes;
        demands[i].waiting += takes && !has_slots;
    }
    for (size_t i = scheduler->round; replicas > 0 && work > 0; i++) {
        size_t row = i % count;
        if (scheduler_is_read_target(scheduler, scheduler->candidates[row])) {
            demands[row].waiting++;
            work--;
        }
    }
}

// Fills demands with one row for each ready upstream, at most max_count: the
// slots and connections that this entry needed there since the last call. The
// names in the rows belong to the current view. Returns the number of rows.
//
// Reads are assigned first to replicas where this entry has slots, in an order
// that depends on the seed. Slots at the remaining replicas are not requested
// again and become available to other entries.
size_t
scheduler_fill_demands(struct scheduler *scheduler, struct ck_demand *demands,
                       size_t max_count)
{
    uint32_t reads = admission_collect_demand(scheduler, QUEUE_READS);
    uint32_t primary_work = admission_collect_demand(scheduler, QUEUE_PRIMARY);
    uint32_t no_work = 0;
    uint32_t slots = 0;
    size_t count = scheduler->candidates_count < max_count
                       ? scheduler->candidates_count
                       : max_count;

    for (size_t k = 0; k < count; k++) {
        size_t i = (k + scheduler->params.seed) % count;
        uint32_t upstream = scheduler->candidates[i];
        if (upstream == scheduler->primary) {
            scheduler_fill_demand(scheduler, upstream, &primary_work,
                                  &demands[i]);
            demands[i].waiting = primary_work;
        }
        else if (scheduler_is_read_target(scheduler, upstream)) {
            scheduler_fill_demand(scheduler, upstream, &reads, &demands[i]);
            slots += scheduler->upstreams[upstream].slots;
        }
        else {
            scheduler_fill_demand(scheduler, upstream, &no_work, &demands[i]);
        }
    }
    if (reads > 0) {
        scheduler_spread_reads(scheduler, reads, slots > 0, demands, count);
    }
    scheduler->demand_since_us = scheduler->now_us;
    return count;
}
