#include "catkingrade/decide/traffic/scheduler_view.h"

#include <string.h>

#include "catkingrade/decide/traffic/admission.h"
#include "catkingrade/decide/traffic/confirm.h"
#include "catkingrade/decide/traffic/floor.h"
#include "catkingrade/decide/traffic/pool.h"
#include "catkingrade/decide/traffic/scheduler_lease.h"
#include "catkingrade/decide/traffic/scheduler_result.h"
#include "catkingrade/decide/traffic/scheduler_sample.h"
#include "catkingrade/decide/traffic/scheduler_session.h"
#include "catkingrade/kernel/memory.h"

// Returns the index of the upstream with a name, which is added if it is new.
// The search checks index likely first.
static uint32_t
view_get_upstream_index(struct scheduler *scheduler, const char *name,
                        uint32_t likely)
{
    if (likely < scheduler->upstreams_count &&
        strcmp(scheduler->upstreams[likely].name, name) == 0) {
        return likely;
    }
    uint32_t upstream = scheduler_get_upstream_id(scheduler, name);
    if (upstream != SCHEDULER_NO_ID) {
        return upstream;
    }
    if (scheduler->upstreams_count == scheduler->upstreams_capacity) {
        scheduler->upstreams_capacity = scheduler->upstreams_capacity * 2 + 4;
        scheduler->upstreams =
            xrealloc(scheduler->upstreams, scheduler->upstreams_capacity *
                                               sizeof(*scheduler->upstreams));
        scheduler->candidates = xrealloc(scheduler->candidates,
                                         scheduler->upstreams_capacity *
                                             sizeof(*scheduler->candidates));
    }
    upstream = scheduler->upstreams_count++;
    struct upstream *up = &scheduler->upstreams[upstream];
    *up = (struct upstream){.idle_first = SCHEDULER_NO_ID,
                            .idle_last = SCHEDULER_NO_ID,
                            .unowned = {.idle_first = SCHEDULER_NO_ID},
                            .caught_up_us = FRESHNESS_UNKNOWN,
                            .writable = true};
    (void)strncpy(up->name, name, sizeof(up->name) - 1);
    return upstream;
}

// Takes note of when an upstream begins to leave. One that counts as lost
// meanwhile keeps its time.
static void
view_note_leaving(struct scheduler *scheduler, struct upstream *up)
{
    if (up->config->state == CK_UPSTREAM_READY) {
        up->leaving_us = 0;
        return;
    }
    if (up->config->state == CK_UPSTREAM_LOST ||
        (up->leaving_us != 0 &&
         up->leaving_incarnation == up->config->incarnation)) {
        return;
    }
    up->leaving_us = scheduler->now_us;
    up->leaving_incarnation = up->config->incarnation;
    timers_add(&scheduler->timers,
               scheduler->now_us + scheduler->params.leaving_limit_us,
               TIMER_WAKE, 0);
}

// Returns whether the primary leaves and its time is over.
bool
view_is_primary_over(const struct scheduler *scheduler)
{
    if (scheduler->primary == SCHEDULER_NO_ID) {
        return false;
    }
    const struct upstream *up = &scheduler->upstreams[scheduler->primary];

    return up->leaving_us != 0 && scheduler->now_us - up->leaving_us >=
                                      scheduler->params.leaving_limit_us;
}

// Lets the connections to an upstream end if it stands for another relay now.
static void
view_update_relay_host(struct scheduler *scheduler, uint32_t upstream)
{
    struct upstream *up = &scheduler->upstreams[upstream];

    if (!up->relayed || up->config->host[0] == '\0' ||
        strcmp(up->relay_host, up->config->host) == 0) {
        return;
    }
    for (uint32_t i = 0; i < scheduler->conns_count; i++) {
        struct conn *conn = &scheduler->conns[i];
        conn->superseded |= up->relay_host[0] != '\0' &&
                            conn->state != CONN_FREE &&
                            conn->upstream == upstream;
    }
    (void)strncpy(up->relay_host, up->config->host,
                  sizeof(up->relay_host) - 1);
    up->failing_since_us = 0;
}

// Sets the configuration of each upstream from the new view, and finds the
// primary and the ready upstreams.
static void
view_update_upstreams(struct scheduler *scheduler)
{
    const struct ck_database *database = scheduler->view.database;

    for (uint32_t i = 0; i < scheduler->upstreams_count; i++) {
        scheduler->upstreams[i].config = NULL;
        scheduler->upstreams[i].takes_work = false;
    }
    scheduler->candidates_count = 0;
    scheduler->primary = SCHEDULER_NO_ID;
    for (uint32_t i = 0; i < database->upstreams.upstreams_len; i++) {
        const struct ck_upstream *config =
            &database->upstreams.upstreams_val[i];
        uint32_t upstream =
            view_get_upstream_index(scheduler, config->name, i);
        struct upstream *up = &scheduler->upstreams[upstream];
        up->config = config;
        up->relayed = scheduler->view.relayed;
        view_update_relay_host(scheduler, upstream);
        up->near = strcmp(config->failure_domain,
                          scheduler->view.failure_domain) == 0;
        bool primary = strcmp(config->name, database->primary) == 0;
        view_note_leaving(scheduler, up);
        if (primary && config->state != CK_UPSTREAM_LOST) {
            scheduler->primary = upstream;
        }
        up->takes_work = config->state == CK_UPSTREAM_READY;
        if (config->state == CK_UPSTREAM_READY) {
            scheduler->candidates[scheduler->candidates_count++] = upstream;
        }
    }
    if (!scheduler->view.relayed && scheduler->primary != SCHEDULER_NO_ID) {
        scheduler->own_primary = scheduler->primary;
    }
    // A leaving primary serves requests until its successor is promoted, or
    // its time is over.
    scheduler->primary_stopped = view_is_primary_over(scheduler);
    if (scheduler->primary != SCHEDULER_NO_ID) {
        scheduler->upstreams[scheduler->primary].takes_work =
            !scheduler->primary_stopped;
    }
}

// Stops a leaving primary whose time is over: new requests for it are refused,
// and open transactions go on.
void
view_stop_primary(struct scheduler *scheduler)
{
    scheduler->primary_stopped = true;
    scheduler->upstreams[scheduler->primary].takes_work = false;
    view_set_limits(scheduler);
    admission_refuse_primary(scheduler, "the primary has left");
}

// Returns the quota of the upstream with a name, or NULL. The search begins at
// *next, which is then set behind the quota found: quotas are mostly in the
// order of the upstreams.
static const struct ck_quota *
view_find_quota(const struct scheduler *scheduler, const char *name,
                size_t *next)
{
    size_t count = scheduler->view.quotas_count;

    for (size_t i = 0; i < count; i++) {
        size_t index = (*next + i) % count;
        if (strcmp(scheduler->view.quotas[index].upstream, name) == 0) {
            *next = index + 1;
            return &scheduler->view.quotas[index];
        }
    }
    return NULL;
}

// Sets the limits of one upstream. Without quotas they are the upstream's own
// limits. With quotas they are this entry's quota, or only the guaranteed part
// of the quota once the lease has run out.
static void
view_set_upstream_limits(const struct scheduler *scheduler,
                         struct upstream *up, bool leased, size_t *next_quota)
{
    const struct ck_quota *quota = NULL;

    up->slots = up->connections = 0;
    if (up->config == NULL) {
        return;
    }
    if (scheduler->view.quotas == NULL) {
        up->slots = up->config->slots;
        up->connections = up->config->connections;
        return;
    }
    quota = view_find_quota(scheduler, up->name, next_quota);
    if (quota != NULL) {
        up->slots = leased ? quota->slots : quota->guaranteed_slots;
        up->connections =
            leased ? quota->connections : quota->guaranteed_connections;
    }
}

// Reserves one connection of the entry's quota at an upstream for samples,
// unless upstreams are guarded.
static void
view_reserve_sample_connection(const struct scheduler *scheduler,
                               struct upstream *up)
{
    up->may_sample = up->connections > 0 && !scheduler->params.guarded;
    if (up->may_sample) {
        up->connections--;
    }
}

// Sets the limits of all upstreams and closes idle connections above them, or
// that may not be used any more.
void
view_set_limits(struct scheduler *scheduler)
{
    bool leased = lease_has_quota(scheduler);
    size_t next_quota = 0;

    scheduler->slots_total = 0;
    for (uint32_t i = 0; i < scheduler->upstreams_count; i++) {
        struct upstream *up = &scheduler->upstreams[i];
        view_set_upstream_limits(scheduler, up, leased, &next_quota);
        view_reserve_sample_connection(scheduler, up);
        if (up->takes_work) {
            scheduler->slots_total += up->slots;
        }
    }
    scheduler->limits_leased = leased;
    pool_enforce_limits(scheduler);
}

// Begins a new term: ends unconfirmed commits of older terms, closes the
// connections to the former primary and samples the new primary. A relay entry
// ends the requests of older terms itself.
static void
view_begin_term(struct scheduler *scheduler, uint32_t former_primary)
{
    const struct ck_database *database = scheduler->view.database;

    if (database->term > 0) {
        confirm_end_term(scheduler, database->term - 1);
    }
    if (former_primary != SCHEDULER_NO_ID) {
        result_close_primary_conns(scheduler, former_primary);
    }
    freshness_truncate(&scheduler->freshness, database->base.lsn);
    if (scheduler->primary != SCHEDULER_NO_ID) {
        scheduler->upstreams[scheduler->primary].writable = true;
        sample_request(scheduler, scheduler->primary, scheduler->now_us);
    }
}

// Placeholder for a customer that the view does not contain (yet or any more):
// the database accepts no new transaction.
static const struct ck_customer view_unknown_customer = {
    .state = CK_CUSTOMER_DRAINING,
    .confirm = 1,
};

// Handles a new view of the database, its customer and this entry's quotas.
void
view_handle(struct scheduler *scheduler, const struct scheduler_view *view)
{
    uint64_t old_term = scheduler->term;
    uint32_t former_primary = scheduler->own_primary;

    scheduler->view = *view;
    if (view->customer == NULL) {
        scheduler->view.customer = &view_unknown_customer;
    }
    scheduler->view_known = true;
    scheduler->term = view->database->term;
    view_update_upstreams(scheduler);
    admission_handle_view(scheduler);
    if (view->database->term != old_term) {
        view_begin_term(scheduler, former_primary);
    }
    view_set_limits(scheduler);
    sample_refresh_ages(scheduler);
    floor_handle_view(scheduler);
    pool_maintain(scheduler);
    admission_update_primary_wait(scheduler);
    if (!lease_is_valid(scheduler) || scheduler->primary == SCHEDULER_NO_ID) {
        admission_refuse_primary(scheduler, "there is no primary");
    }
    session_end_idle(scheduler);
}
