#include "catkingrade/decide/traffic_view.h"

#include <string.h>

#include "catkingrade/decide/admission.h"
#include "catkingrade/decide/confirm.h"
#include "catkingrade/decide/floor.h"
#include "catkingrade/decide/pool.h"
#include "catkingrade/decide/traffic_lease.h"
#include "catkingrade/decide/traffic_result.h"
#include "catkingrade/decide/traffic_sample.h"
#include "catkingrade/decide/traffic_session.h"
#include "catkingrade/kernel/memory.h"

// Returns the place of the upstream of that name, which is added when it is
// new. It is looked for at a likely place first.
static uint32_t
view_get_place(struct traffic *traffic, const char *name, uint32_t likely)
{
    if (likely < traffic->upstreams_count &&
        strcmp(traffic->upstreams[likely].name, name) == 0) {
        return likely;
    }
    uint32_t place = traffic_get_upstream_id(traffic, name);
    if (place != TRAFFIC_NO_ID) {
        return place;
    }
    if (traffic->upstreams_count == traffic->upstreams_capacity) {
        traffic->upstreams_capacity = traffic->upstreams_capacity * 2 + 4;
        traffic->upstreams =
            xrealloc(traffic->upstreams, traffic->upstreams_capacity *
                                             sizeof(*traffic->upstreams));
        traffic->candidates =
            xrealloc(traffic->candidates, traffic->upstreams_capacity *
                                              sizeof(*traffic->candidates));
    }
    place = traffic->upstreams_count++;
    struct upstream *up = &traffic->upstreams[place];
    *up = (struct upstream){.idle_first = TRAFFIC_NO_ID,
                            .idle_last = TRAFFIC_NO_ID,
                            .current_us = FRESHNESS_UNKNOWN,
                            .writable = true};
    (void)strncpy(up->name, name, sizeof(up->name) - 1);
    return place;
}

// Points each upstream at its configuration in the new view, and lists those
// that take work.
static void
view_list_upstreams(struct traffic *traffic)
{
    const struct ck_database *database = traffic->view.database;

    for (uint32_t i = 0; i < traffic->upstreams_count; i++) {
        traffic->upstreams[i].config = NULL;
        traffic->upstreams[i].takes_work = false;
    }
    traffic->candidates_count = 0;
    traffic->primary = TRAFFIC_NO_ID;
    for (uint32_t i = 0; i < database->upstreams.upstreams_len; i++) {
        const struct ck_upstream *config =
            &database->upstreams.upstreams_val[i];
        uint32_t place = view_get_place(traffic, config->name, i);
        struct upstream *up = &traffic->upstreams[place];
        up->config = config;
        up->relayed = traffic->view.relayed;
        up->near =
            strcmp(config->failure_domain, traffic->view.failure_domain) == 0;
        bool primary = strcmp(config->name, database->primary) == 0;
        // A primary that leaves works on until the next one stands.
        up->takes_work = config->state == CK_UPSTREAM_READY ||
                         (primary && config->state == CK_UPSTREAM_LEAVING);
        if (primary && up->takes_work) {
            traffic->primary = place;
        }
        if (config->state == CK_UPSTREAM_READY) {
            traffic->candidates[traffic->candidates_count++] = place;
        }
    }
}

// Returns the quota of an upstream's name, or NULL. *next is where the search
// begins: quotas mostly stand in the order of the upstreams.
static const struct ck_quota *
view_find_quota(const struct traffic *traffic, const char *name, size_t *next)
{
    size_t count = traffic->view.quotas_count;

    for (size_t i = 0; i < count; i++) {
        size_t place = (*next + i) % count;
        if (strcmp(traffic->view.quotas[place].upstream, name) == 0) {
            *next = place + 1;
            return &traffic->view.quotas[place];
        }
    }
    return NULL;
}

// Sets one upstream's limits: its own ones when nothing is lent, otherwise
// what is lent to this entry, and only the guaranteed part of it once the
// lease has run out.
static void
view_set_upstream_limits(const struct traffic *traffic, struct upstream *up,
                         bool leased, size_t *next_quota)
{
    const struct ck_quota *quota = NULL;

    up->slots = up->connections = 0;
    if (up->config == NULL) {
        return;
    }
    if (traffic->view.quotas == NULL) {
        up->slots = up->config->slots;
        up->connections = up->config->connections;
        return;
    }
    quota = view_find_quota(traffic, up->name, next_quota);
    if (quota != NULL) {
        up->slots = leased ? quota->slots : quota->guaranteed_slots;
        up->connections =
            leased ? quota->connections : quota->guaranteed_connections;
    }
}

// One connection of an entry's share is for its samples.
static void
view_keep_sample_connection(const struct traffic *traffic, struct upstream *up)
{
    up->may_sample = up->connections > 0 && !traffic->params.guarded;
    if (up->may_sample) {
        up->connections--;
    }
}

// Sets the limits of all upstreams, and closes idle connections above them.
void
view_set_limits(struct traffic *traffic)
{
    bool leased = lease_has_quota(traffic);
    size_t next_quota = 0;

    traffic->slots_total = 0;
    for (uint32_t i = 0; i < traffic->upstreams_count; i++) {
        struct upstream *up = &traffic->upstreams[i];
        view_set_upstream_limits(traffic, up, leased, &next_quota);
        view_keep_sample_connection(traffic, up);
        if (up->takes_work) {
            traffic->slots_total += up->slots;
        }
    }
    traffic->limits_leased = leased;
    pool_enforce_limits(traffic);
}

// Ends what belongs to the primary of an older term, and begins the new one.
static void
view_begin_term(struct traffic *traffic, uint32_t old_primary)
{
    const struct ck_database *database = traffic->view.database;

    if (database->term > 0) {
        confirm_end_term(traffic, database->term - 1);
    }
    // What another entry runs it ends by itself.
    if (old_primary != TRAFFIC_NO_ID &&
        !traffic->upstreams[old_primary].relayed) {
        result_end_primary(traffic, old_primary);
    }
    freshness_truncate(&traffic->freshness, database->base.lsn);
    if (traffic->primary != TRAFFIC_NO_ID) {
        traffic->upstreams[traffic->primary].writable = true;
        sample_ask(traffic, traffic->primary, traffic->now_us);
    }
}

// Stands for a customer that the view does not hold yet, or no longer: its
// database takes no new transaction.
static const struct ck_customer view_no_customer = {
    .state = CK_CUSTOMER_DRAINING,
    .confirm = 1,
};

// Takes a new view of the database, its customer and this entry's quotas.
void
view_handle(struct traffic *traffic, const struct traffic_view *view)
{
    uint64_t old_term = traffic->term;
    uint32_t old_primary = traffic->primary;

    traffic->view = *view;
    if (view->customer == NULL) {
        traffic->view.customer = &view_no_customer;
    }
    traffic->view_known = true;
    traffic->term = view->database->term;
    view_list_upstreams(traffic);
    admission_handle_view(traffic);
    if (view->database->term != old_term) {
        view_begin_term(traffic, old_primary);
    }
    view_set_limits(traffic);
    sample_refresh_ages(traffic);
    floor_handle_view(traffic);
    pool_maintain(traffic);
    if (!lease_is_valid(traffic) || traffic->primary == TRAFFIC_NO_ID) {
        admission_refuse_primary(traffic, "there is no primary");
    }
    session_end_idle(traffic);
}
