#include "test/fake/scheduler_fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"

#define SCHEDULER_FLEET_TICK_US     (5 * SCHEDULER_FLEET_MS_US)
#define SCHEDULER_FLEET_RENEW_TICKS 60 // ticks between two lease renewals
#define SCHEDULER_FLEET_TICK_TAG    UINT64_C(1000000)

static char scheduler_fleet_database_name[] = "roster";
static char scheduler_fleet_group_name[] = "noord";
static char scheduler_fleet_host[] = "127.0.0.1";
static char scheduler_fleet_empty[] = "";
static char scheduler_fleet_upstream_names[SCHEDULER_FLEET_MAX_UPSTREAMS][4] =
    {"u0", "u1", "u2", "u3", "u4"};

void
scheduler_fleet_record_violation(struct scheduler_fleet *fleet,
                                 uint64_t request, const char *text)
{
    if (fleet->violations++ == 0) {
        (void)snprintf(fleet->first_violation, sizeof(fleet->first_violation),
                       "at %lld us, request %llu of line %d: %s",
                       (long long)network_get_now_us(fleet->network),
                       (unsigned long long)request,
                       fleet->requests[request].line, text);
    }
}

void
scheduler_fleet_send_message(struct scheduler_fleet *fleet, int from, int to,
                             const struct scheduler_fleet_message *message)
{
    struct scheduler_fleet_message *copy = xmalloc(sizeof(*copy));

    *copy = *message;
    network_send(fleet->network, from, to, copy);
}

static void *
scheduler_fleet_copy_message(const void *message)
{
    struct scheduler_fleet_message *copy = xmalloc(sizeof(*copy));

    *copy = *(const struct scheduler_fleet_message *)message;
    return copy;
}

static void
scheduler_fleet_on_deliver(void *data, int64_t now_us, int from, int to,
                           void *message)
{
    struct scheduler_fleet *fleet = data;

    (void)now_us;
    (void)from;
    if ((uint32_t)to < fleet->entries_count) {
        scheduler_fleet_entry_handle(fleet, (uint32_t)to, message);
    }
    else {
        scheduler_fleet_upstream_handle(
            fleet, (uint32_t)to - fleet->entries_count, message);
    }
}

static void
scheduler_fleet_on_timer(void *data, int64_t now_us, int node, uint64_t tag)
{
    const struct scheduler_event tick = {.kind = SCHEDULER_EVENT_TICK};
    struct scheduler_fleet *fleet = data;

    if ((uint32_t)node < fleet->entries_count) {
        scheduler_fleet_entry_step(fleet, (uint32_t)node, &tick);
        return;
    }
    uint32_t upstream = (uint32_t)node - fleet->entries_count;
    if (tag != SCHEDULER_FLEET_TICK_TAG) {
        scheduler_fleet_upstream_complete(fleet, upstream, (uint32_t)tag);
        return;
    }
    scheduler_fleet_upstream_replicate(fleet, upstream);
    if (upstream == 0) {
        scheduler_fleet_control_run(fleet);
    }
    network_set_timer(fleet->network, node, SCHEDULER_FLEET_TICK_TAG,
                      now_us + SCHEDULER_FLEET_TICK_US);
}

// Fills the other copy of an entry's view. Quotas are equal shares of each
// upstream's limits.
static void
scheduler_fleet_fill_view(struct scheduler_fleet *fleet,
                          struct scheduler_fleet_entry *entry)
{
    unsigned view_index = entry->view_index ^= 1;
    struct ck_database *database = &entry->databases[view_index];

    *database = (struct ck_database){
        .name = scheduler_fleet_database_name,
        .customer = scheduler_fleet_database_name,
        .group = scheduler_fleet_group_name,
        .term = fleet->term,
        .primary = scheduler_fleet_upstream_names[fleet->primary],
        .superseding = fleet->superseding};
    database->base =
        (struct ck_position){fleet->timeline, 100 + fleet->base_rows};
    database->upstreams.upstreams_len = fleet->upstreams_count;
    database->upstreams.upstreams_val = entry->upstreams[view_index];
    for (uint32_t i = 0; i < fleet->upstreams_count; i++) {
        entry->upstreams[view_index][i] =
            (struct ck_upstream){.name = scheduler_fleet_upstream_names[i],
                                 .database = scheduler_fleet_database_name,
                                 .failure_domain = scheduler_fleet_group_name,
                                 .host = scheduler_fleet_host,
                                 .slots = fleet->slots,
                                 .connections = fleet->connections,
                                 .state = fleet->upstream_states[i]};
        entry->quotas[view_index][i] = (struct ck_quota){
            .upstream = scheduler_fleet_upstream_names[i],
            .slots = fleet->slots / fleet->entries_count,
            .connections = fleet->connections / fleet->entries_count,
            .guaranteed_slots = fleet->slots / fleet->entries_count,
            .guaranteed_connections =
                fleet->connections / fleet->entries_count};
    }
    entry->customers[view_index] =
        (struct ck_customer){.name = scheduler_fleet_database_name,
                             .template_name = scheduler_fleet_empty,
                             .max_age_ms = 2000,
                             .confirm = fleet->confirm,
                             .state = fleet->customer_state};
}

static void
scheduler_fleet_post_view(struct scheduler_fleet *fleet, uint32_t index)
{
    struct scheduler_fleet_entry *entry = &fleet->entries[index];

    scheduler_fleet_fill_view(fleet, entry);
    const struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_VIEW,
        .view = {.customer = &entry->customers[entry->view_index],
                 .database = &entry->databases[entry->view_index],
                 .quotas = entry->quotas[entry->view_index],
                 .quotas_count = fleet->upstreams_count,
                 .failure_domain = scheduler_fleet_group_name}};
    scheduler_fleet_entry_step(fleet, index, &event);
}

static void
scheduler_fleet_post_lease(struct scheduler_fleet *fleet, uint32_t index,
                           bool revoked)
{
    struct scheduler_fleet_entry *entry = &fleet->entries[index];
    int64_t until_us =
        network_get_now_us(fleet->network) + SCHEDULER_FLEET_LEASE_US;
    const struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_LEASE,
        .lease = {fleet->term, until_us, revoked}};

    if (!revoked) {
        entry->leased_until_us = until_us;
    }
    scheduler_fleet_entry_step(fleet, index, &event);
}

void
scheduler_fleet_post_views(struct scheduler_fleet *fleet)
{
    for (uint32_t i = 0; i < fleet->entries_count; i++) {
        if (fleet->entries[i].control_path_down) {
            continue;
        }
        scheduler_fleet_post_view(fleet, i);
        if (!fleet->superseding) {
            scheduler_fleet_post_lease(fleet, i, false);
        }
    }
}

void
scheduler_fleet_start_failover(struct scheduler_fleet *fleet)
{
    if (fleet->superseding) {
        return;
    }
    fleet->superseding = true;
    fleet->promote_at_us = 0;
    for (uint32_t i = 0; i < fleet->entries_count; i++) {
        struct scheduler_fleet_entry *entry = &fleet->entries[i];
        entry->revocation_confirmed = false;
        if (!entry->control_path_down) {
            scheduler_fleet_post_lease(fleet, i, true);
        }
        if (!entry->revocation_confirmed &&
            entry->leased_until_us > fleet->promote_at_us) {
            fleet->promote_at_us = entry->leased_until_us;
        }
    }
    scheduler_fleet_post_views(fleet);
}

static bool
scheduler_fleet_control_is_ahead(const struct scheduler_fleet_upstream *a,
                                 const struct scheduler_fleet_upstream *b)
{
    return a->timeline != b->timeline ? a->timeline > b->timeline
                                      : a->rows_count > b->rows_count;
}

// Promotes the most advanced replica that is up and follows the lost primary.
// Requires enough candidates that at least one of them has each confirmed
// write. The promoted replica must have the timeline and all rows with which
// the current term began.
static void
scheduler_fleet_control_promote(struct scheduler_fleet *fleet)
{
    uint32_t best = fleet->upstreams_count;
    uint32_t candidates_count = 0;

    for (uint32_t i = 0; i < fleet->upstreams_count; i++) {
        const struct scheduler_fleet_upstream *up = &fleet->upstreams[i];
        if (up->is_primary || up->down || !up->is_following) {
            continue;
        }
        candidates_count++;
        if (best == fleet->upstreams_count ||
            scheduler_fleet_control_is_ahead(up, &fleet->upstreams[best])) {
            best = i;
        }
    }
    if (candidates_count == 0 ||
        (fleet->confirm > 0 &&
         candidates_count + fleet->confirm < fleet->upstreams_count)) {
        return;
    }
    if (fleet->upstreams[best].timeline != fleet->timeline ||
        fleet->upstreams[best].rows_count < fleet->base_rows) {
        return;
    }
    fleet->upstreams[fleet->primary].is_following =
        !fleet->upstreams[fleet->primary].is_primary;
    fleet->primary = best;
    fleet->base_rows = fleet->upstreams[best].rows_count;
    fleet->timeline++;
    fleet->term++;
    fleet->upstreams[best].timeline = fleet->timeline;
    fleet->upstreams[best].is_primary = true;
    fleet->superseding = false;
    scheduler_fleet_post_views(fleet);
}

void
scheduler_fleet_control_run(struct scheduler_fleet *fleet)
{
    int64_t now_us = network_get_now_us(fleet->network);

    if (fleet->superseding) {
        if (now_us >= fleet->promote_at_us) {
            scheduler_fleet_control_promote(fleet);
        }
        return;
    }
    if (now_us / SCHEDULER_FLEET_TICK_US % SCHEDULER_FLEET_RENEW_TICKS == 0) {
        scheduler_fleet_post_views(fleet);
    }
}

static struct scheduler_fleet *
scheduler_fleet_create_with(uint64_t seed, uint32_t entries_count,
                            uint32_t upstreams_count, uint32_t slots,
                            bool learned_capacity)
{
    struct scheduler_fleet *fleet = xcalloc(1, sizeof(*fleet));

    fleet->entries_count = entries_count;
    fleet->upstreams_count = upstreams_count;
    fleet->slots = slots;
    fleet->connections = 30;
    fleet->term = fleet->timeline = fleet->confirm = 1;
    fleet->network =
        network_create(seed, (int)(entries_count + upstreams_count),
                       scheduler_fleet_on_deliver, scheduler_fleet_on_timer,
                       fleet, scheduler_fleet_copy_message, free);
    const struct network_faults faults = {.delay_min_us = 1500,
                                          .delay_max_us = 1500};
    network_set_faults(fleet->network, &faults);
    for (uint32_t i = 0; i < upstreams_count; i++) {
        fleet->upstreams[i].timeline = 1;
        fleet->upstreams[i].is_primary = i == 0;
        fleet->upstreams[i].is_following = true;
        fleet->upstreams[i].lag_us = 10 * SCHEDULER_FLEET_MS_US;
        fleet->upstreams[i].service_us = 2 * SCHEDULER_FLEET_MS_US;
        network_set_timer(fleet->network,
                          scheduler_fleet_upstream_node(fleet, i),
                          SCHEDULER_FLEET_TICK_TAG, SCHEDULER_FLEET_TICK_US);
    }
    for (uint32_t i = 0; i < entries_count; i++) {
        const struct scheduler_params params = {
            .probe_us = 50 * SCHEDULER_FLEET_MS_US,
            .suspect_us = 200 * SCHEDULER_FLEET_MS_US,
            .idle_proof_us = 2000 * SCHEDULER_FLEET_MS_US,
            .leaving_limit_us = 7000 * SCHEDULER_FLEET_MS_US,
            .connect_timeout_us = 500 * SCHEDULER_FLEET_MS_US,
            .learned_capacity = learned_capacity,
            .seed = seed + i};
        fleet->entries[i].scheduler = scheduler_create(&params);
    }
    scheduler_fleet_run_until(fleet, SCHEDULER_FLEET_MS_US);
    scheduler_fleet_post_views(fleet);
    return fleet;
}

struct scheduler_fleet *
scheduler_fleet_create(uint64_t seed, uint32_t entries_count,
                       uint32_t upstreams_count, uint32_t slots)
{
    return scheduler_fleet_create_with(seed, entries_count, upstreams_count,
                                       slots, false);
}

struct scheduler_fleet *
scheduler_fleet_create_learned(uint64_t seed, uint32_t entries_count,
                               uint32_t upstreams_count, uint32_t slots)
{
    return scheduler_fleet_create_with(seed, entries_count, upstreams_count,
                                       slots, true);
}

void
scheduler_fleet_destroy(struct scheduler_fleet *fleet)
{
    for (uint32_t i = 0; i < fleet->entries_count; i++) {
        scheduler_destroy(fleet->entries[i].scheduler);
        scheduler_actions_free(&fleet->entries[i].actions);
    }
    network_destroy(fleet->network);
    free(fleet);
}

void
scheduler_fleet_run_until(struct scheduler_fleet *fleet, int64_t until_us)
{
    (void)network_run_until(fleet->network, until_us);
}

void
scheduler_fleet_open_session(struct scheduler_fleet *fleet, uint64_t session,
                             uint32_t entry, enum scheduler_fleet_token token)
{
    struct scheduler_fleet_session *state = &fleet->sessions[session];
    struct scheduler_event event = {.kind = SCHEDULER_EVENT_SESSION_OPEN,
                                    .session_open = {.session = session}};

    scheduler_fleet_close_session(fleet, session);
    event.session_open.declared_new = token == SCHEDULER_FLEET_TOKEN_NEW;
    if (token == SCHEDULER_FLEET_TOKEN_OWN && state->floor.term != 0) {
        event.session_open.floor_known = true;
        event.session_open.floor = state->floor;
    }
    state->entry = entry;
    state->open = true;
    scheduler_fleet_entry_step(fleet, entry, &event);
}

void
scheduler_fleet_close_session(struct scheduler_fleet *fleet, uint64_t session)
{
    const struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_SESSION_CLOSE, .session = session};

    if (fleet->sessions[session].open) {
        fleet->sessions[session].open = false;
        scheduler_fleet_entry_step(fleet, fleet->sessions[session].entry,
                                   &event);
    }
}

uint64_t
scheduler_fleet_post_request(struct scheduler_fleet *fleet, uint64_t session,
                             enum scheduler_class request_class,
                             int64_t max_age_us, bool repeatable)
{
    uint64_t id = ++fleet->requests_count;
    struct scheduler_event event = {.kind = SCHEDULER_EVENT_REQUEST,
                                    .request = {.session = session,
                                                .request = id,
                                                .request_class = request_class,
                                                .max_age_us = max_age_us,
                                                .repeatable = repeatable}};

    INVARIANT(id < SCHEDULER_FLEET_MAX_REQUESTS);
    fleet->requests[id] = (struct scheduler_fleet_request){
        .session = session,
        .request_class = request_class,
        .required_write = fleet->sessions[session].last_acknowledged,
        .expected_replica = -1,
        .committed_insert = id - 1,
        .sent_us = network_get_now_us(fleet->network)};
    event.request.deadline_us =
        network_get_now_us(fleet->network) +
        (fleet->request_time_us != 0 ? fleet->request_time_us
                                     : 2000 * SCHEDULER_FLEET_MS_US);
    scheduler_fleet_entry_step(fleet, fleet->sessions[session].entry, &event);
    return id;
}

void
scheduler_fleet_drain_entry(struct scheduler_fleet *fleet, uint32_t entry)
{
    const struct scheduler_event event = {.kind = SCHEDULER_EVENT_DRAIN};

    scheduler_fleet_entry_step(fleet, entry, &event);
}

void
scheduler_fleet_set_path_down(struct scheduler_fleet *fleet, uint32_t entry,
                              uint32_t upstream, bool down)
{
    int node = scheduler_fleet_upstream_node(fleet, upstream);

    network_set_path_down(fleet->network, (int)entry, node, down);
    network_set_path_down(fleet->network, node, (int)entry, down);
}

static void
scheduler_fleet_check_write(struct scheduler_fleet *fleet, uint64_t id)
{
    const struct scheduler_fleet_request *request = &fleet->requests[id];
    uint64_t row = request->request_class == SCHEDULER_CLASS_COMMIT
                       ? request->committed_insert
                       : id;
    bool found = false;

    for (uint32_t i = 0; i < fleet->upstreams_count; i++) {
        found |= scheduler_fleet_upstream_has_row(&fleet->upstreams[i], row);
    }
    if (request->outcome == SCHEDULER_FLEET_OUTCOME_NOT_RUN && found) {
        scheduler_fleet_record_violation(
            fleet, id, "a write with the outcome NOT_RUN is in a log");
    }
    if (request->outcome == SCHEDULER_FLEET_OUTCOME_DONE &&
        !scheduler_fleet_upstream_has_row(&fleet->upstreams[fleet->primary],
                                          row)) {
        scheduler_fleet_record_violation(fleet, id,
                                         "an acknowledged write is missing");
    }
}

void
scheduler_fleet_check_final_state(struct scheduler_fleet *fleet)
{
    for (uint64_t id = 1; id <= fleet->requests_count; id++) {
        const struct scheduler_fleet_request *request = &fleet->requests[id];
        if (request->outcome == SCHEDULER_FLEET_OUTCOME_PENDING) {
            scheduler_fleet_record_violation(fleet, id,
                                             "the request has no outcome");
        }
        if (request->request_class == SCHEDULER_CLASS_WRITE ||
            request->request_class == SCHEDULER_CLASS_COMMIT) {
            scheduler_fleet_check_write(fleet, id);
        }
        if (request->expected != SCHEDULER_FLEET_OUTCOME_PENDING &&
            request->expected != request->outcome) {
            scheduler_fleet_record_violation(
                fleet, id, "the outcome is not the expected one");
        }
        if (request->expected_replica >= 0 &&
            request->expected_replica != request->on_replica) {
            scheduler_fleet_record_violation(
                fleet, id, "primary or replica is not as expected");
        }
    }
}
