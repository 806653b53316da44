#include "catkingrade/decide/traffic.h"

#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/admission.h"
#include "catkingrade/decide/confirm.h"
#include "catkingrade/decide/dispatch.h"
#include "catkingrade/decide/pool.h"
#include "catkingrade/decide/request_run.h"
#include "catkingrade/decide/traffic_actions.h"
#include "catkingrade/decide/traffic_lease.h"
#include "catkingrade/decide/traffic_request.h"
#include "catkingrade/decide/traffic_result.h"
#include "catkingrade/decide/traffic_sample.h"
#include "catkingrade/decide/traffic_session.h"
#include "catkingrade/decide/traffic_state.h"
#include "catkingrade/decide/traffic_view.h"
#include "catkingrade/kernel/memory.h"

// Creates the traffic machine of one database, which knows nothing yet.
struct traffic *
traffic_create(const struct traffic_params *params)
{
    struct traffic *traffic = xcalloc(1, sizeof(*traffic));

    traffic->params = *params;
    traffic->random = params->seed;
    traffic->primary = TRAFFIC_NO_ID;
    traffic->wake_at_us = TRAFFIC_NO_WAKE;
    pool_init(traffic);
    return traffic;
}

// Frees the machine. Connections that are open are the adapter's to close.
void
traffic_destroy(struct traffic *traffic)
{
    if (traffic == NULL) {
        return;
    }
    session_free_all(traffic);
    id_map_free(&traffic->sessions);
    id_map_free(&traffic->requests);
    timers_free(&traffic->timers);
    pool_free(traffic);
    free(traffic->upstreams);
    free(traffic->candidates);
    free(traffic);
}

// Returns the id of an upstream's name, or TRAFFIC_NO_ID.
uint32_t
traffic_get_upstream_id(const struct traffic *traffic, const char *name)
{
    for (uint32_t i = 0; i < traffic->upstreams_count; i++) {
        if (strcmp(traffic->upstreams[i].name, name) == 0) {
            return i;
        }
    }
    return TRAFFIC_NO_ID;
}

// Returns an upstream's configuration in the view that is in force, or NULL
// when it is not in it.
const struct ck_upstream *
traffic_get_upstream(const struct traffic *traffic, uint32_t upstream)
{
    return upstream < traffic->upstreams_count
               ? traffic->upstreams[upstream].config
               : NULL;
}

static void
traffic_handle_timer(struct traffic *traffic, const struct timer *timer)
{
    switch (timer->kind) {
    case TIMER_REQUEST:
        request_handle_timer(traffic, timer->id);
        break;
    case TIMER_CONN:
        pool_handle_timer(traffic, (uint32_t)timer->id);
        break;
    case TIMER_CONFIRM:
        confirm_poll(traffic);
        break;
    case TIMER_SAMPLE:
    case TIMER_WAKE:
        break;
    }
}

static void
traffic_run_timers(struct traffic *traffic)
{
    struct timer timer;

    while (timers_pop_due(&traffic->timers, traffic->now_us, &timer)) {
        traffic_handle_timer(traffic, &timer);
    }
}

static void
traffic_handle_event(struct traffic *traffic,
                     const struct traffic_event *event)
{
    switch (event->kind) {
    case TRAFFIC_EVENT_VIEW:
        view_handle(traffic, &event->view);
        break;
    case TRAFFIC_EVENT_LEASE:
        lease_handle(traffic, &event->lease);
        break;
    case TRAFFIC_EVENT_SESSION_OPEN:
        session_open(traffic, &event->session_open);
        break;
    case TRAFFIC_EVENT_SESSION_FLOOR:
        session_set_floor(traffic, &event->session_open);
        break;
    case TRAFFIC_EVENT_SESSION_CLOSE:
        session_close(traffic, event->session);
        break;
    case TRAFFIC_EVENT_REQUEST:
        request_arrive(traffic, &event->request);
        break;
    case TRAFFIC_EVENT_REQUEST_CANCEL:
        request_cancel(traffic, event->request_cancel);
        break;
    case TRAFFIC_EVENT_RESULT:
        result_handle(traffic, &event->result);
        break;
    case TRAFFIC_EVENT_CONN_OPENED:
        pool_handle_opened(traffic, &event->conn);
        break;
    case TRAFFIC_EVENT_CONN_FAILED:
        result_handle_conn_failed(traffic, &event->conn);
        break;
    case TRAFFIC_EVENT_CONN_READY:
        pool_handle_ready(traffic, &event->conn);
        break;
    case TRAFFIC_EVENT_SAMPLE:
        sample_handle(traffic, &event->sample);
        break;
    case TRAFFIC_EVENT_SAMPLE_FAILED:
        sample_handle_failed(traffic, &event->sample);
        break;
    case TRAFFIC_EVENT_DRAIN:
        traffic->draining = true;
        session_end_idle(traffic);
        break;
    case TRAFFIC_EVENT_TICK:
        break;
    }
}

// Follows the lease as time passes: what is lent shrinks to the guaranteed
// part when it runs out, and work that needs the primary is refused.
static void
traffic_follow_lease(struct traffic *traffic)
{
    bool leased = lease_has_quota(traffic);

    if (leased != traffic->limits_leased) {
        view_set_limits(traffic);
    }
    if (traffic->queued[QUEUE_PRIMARY] > 0 && !lease_is_valid(traffic)) {
        admission_refuse_primary(traffic,
                                 "there is no primary under a valid lease");
    }
}

// Asks for a tick at the first moment at which something is due.
static void
traffic_ask_wake(struct traffic *traffic)
{
    int64_t first_us = timers_get_next_due_us(&traffic->timers);

    if (first_us == TRAFFIC_NO_WAKE ||
        (first_us >= traffic->wake_at_us &&
         traffic->wake_at_us > traffic->now_us)) {
        return;
    }
    traffic->wake_at_us = first_us;
    traffic_add_action(traffic, TRAFFIC_ACTION_WAKE)->wake_at_us = first_us;
}

// Takes one event at now_us, which never goes back, and appends what is to be
// done to actions. Timers that are due come before the event.
void
traffic_step(struct traffic *traffic, int64_t now_us,
             const struct traffic_event *event,
             struct traffic_actions *actions)
{
    INVARIANT(now_us >= traffic->now_us);
    int64_t elapsed_us = now_us - traffic->now_us;

    traffic->now_us = now_us;
    traffic->actions = actions;
    traffic_run_timers(traffic);
    traffic_handle_event(traffic, event);
    if (traffic->view_known) {
        traffic_follow_lease(traffic);
        sample_run(traffic);
        dispatch_run(traffic);
        lease_end_superseded(traffic);
    }
    admission_record_load(traffic, elapsed_us);
    traffic_ask_wake(traffic);
    traffic->actions = NULL;
}

// Fills the demand at one upstream: *work statements, of which it runs as many
// as this entry has slots there. Takes those off *work.
static void
traffic_fill_demand(const struct traffic *traffic, uint32_t place,
                    uint32_t *work, struct ck_demand *demand)
{
    const struct upstream *up = &traffic->upstreams[place];
    uint32_t room = up->slots < up->connections ? up->slots : up->connections;

    *demand = (struct ck_demand){
        .upstream = up->config->name,
        .running = *work < room ? *work : room,
        .connections = up->open + (up->may_sample ? 1 : 0),
    };
    *work -= demand->running;
}

// Returns whether reads may soon go to an upstream: a replica that is not yet
// half as old as the customer accepts.
static bool
traffic_takes_reads(const struct traffic *traffic, uint32_t place)
{
    const struct upstream *up = &traffic->upstreams[place];
    if (traffic->params.guarded) {
        return place != traffic->primary && up->failing_since_us == 0;
    }
    int64_t limit_us =
        (int64_t)traffic->view.customer->max_age_ms * TRAFFIC_MS_US / 2;

    return place != traffic->primary && up->of_term &&
           up->failing_since_us == 0 &&
           up->current_us >= traffic->now_us - limit_us;
}

// Spreads the reads for which there is no slot over the replicas. An entry
// that has none at all asks each replica for one.
static void
traffic_spread_reads(const struct traffic *traffic, uint32_t work,
                     bool has_slots, struct ck_demand *demands, size_t count)
{
    size_t replicas = 0;

    for (size_t i = 0; i < count; i++) {
        bool takes = traffic_takes_reads(traffic, traffic->candidates[i]);
        replicas += takes;
        demands[i].waiting += takes && !has_slots;
    }
    for (size_t i = traffic->round; replicas > 0 && work > 0; i++) {
        size_t place = i % count;
        if (traffic_takes_reads(traffic, traffic->candidates[place])) {
            demands[place].waiting++;
            work--;
        }
    }
}

// Fills the demand at each upstream since the last call, at most max_count
// rows. The names belong to the view that is in force. What the reads need is
// asked first of the replicas where this entry has slots, in an order of its
// own, so that it lets go of slots elsewhere that others may need. Returns the
// number of rows.
size_t
traffic_fill_demands(struct traffic *traffic, struct ck_demand *demands,
                     size_t max_count)
{
    uint32_t reads = admission_collect_demand(traffic, QUEUE_READS);
    uint32_t saves = admission_collect_demand(traffic, QUEUE_PRIMARY);
    uint32_t none = 0;
    uint32_t slots = 0;
    size_t count = traffic->candidates_count < max_count
                       ? traffic->candidates_count
                       : max_count;

    for (size_t k = 0; k < count; k++) {
        size_t i = (k + traffic->params.seed) % count;
        uint32_t place = traffic->candidates[i];
        if (place == traffic->primary) {
            traffic_fill_demand(traffic, place, &saves, &demands[i]);
            demands[i].waiting = saves;
        }
        else if (traffic_takes_reads(traffic, place)) {
            traffic_fill_demand(traffic, place, &reads, &demands[i]);
            slots += traffic->upstreams[place].slots;
        }
        else {
            traffic_fill_demand(traffic, place, &none, &demands[i]);
        }
    }
    if (reads > 0) {
        traffic_spread_reads(traffic, reads, slots > 0, demands, count);
    }
    traffic->work_from_us = traffic->now_us;
    return count;
}
