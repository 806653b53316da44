#include "test/fake/traffic_fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"

#define TF_TICK_US     (5 * TF_MS_US)
#define TF_RENEW_TICKS 60
#define TF_TICK_TAG    UINT64_C(1000000)

static char tf_database_name[] = "roster";
static char tf_group_name[] = "noord";
static char tf_host[] = "127.0.0.1";
static char tf_empty[] = "";
static char tf_names[TF_UPSTREAMS_MAX][4] = {"u0", "u1", "u2", "u3", "u4"};

void
traffic_fleet_violate(struct traffic_fleet *fleet, uint64_t request,
                      const char *text)
{
    if (fleet->violations++ == 0) {
        (void)snprintf(fleet->violation, sizeof(fleet->violation),
                       "at %lld us, request %llu of line %d: %s",
                       (long long)network_get_now_us(fleet->network),
                       (unsigned long long)request,
                       fleet->requests[request].line, text);
    }
}

void
tf_send(struct traffic_fleet *fleet, int from, int to,
        const struct tf_message *message)
{
    struct tf_message *copy = xmalloc(sizeof(*copy));

    *copy = *message;
    network_send(fleet->network, from, to, copy);
}

static void *
tf_copy_message(const void *message)
{
    struct tf_message *copy = xmalloc(sizeof(*copy));

    *copy = *(const struct tf_message *)message;
    return copy;
}

static void
tf_deliver(void *data, int64_t now_us, int from, int to, void *message)
{
    struct traffic_fleet *fleet = data;

    (void)now_us;
    (void)from;
    if ((uint32_t)to < fleet->entries_count) {
        tf_entry_handle(fleet, (uint32_t)to, message);
    }
    else {
        tf_upstream_handle(fleet, (uint32_t)to - fleet->entries_count,
                           message);
    }
}

static void
tf_run_timer(void *data, int64_t now_us, int node, uint64_t tag)
{
    const struct scheduler_event tick = {.kind = SCHEDULER_EVENT_TICK};
    struct traffic_fleet *fleet = data;

    if ((uint32_t)node < fleet->entries_count) {
        tf_entry_step(fleet, (uint32_t)node, &tick);
        return;
    }
    uint32_t upstream = (uint32_t)node - fleet->entries_count;
    if (tag != TF_TICK_TAG) {
        tf_upstream_finish(fleet, upstream, (uint32_t)tag);
        return;
    }
    tf_upstream_replicate(fleet, upstream);
    if (upstream == 0) {
        tf_control_run(fleet);
    }
    network_set_timer(fleet->network, node, TF_TICK_TAG, now_us + TF_TICK_US);
}

// Fills an entry's next view: even shares of each upstream's limits.
static void
tf_fill_view(struct traffic_fleet *fleet, struct tf_entry *entry)
{
    unsigned turn = entry->turn ^= 1;
    struct ck_database *database = &entry->databases[turn];

    *database = (struct ck_database){.name = tf_database_name,
                                     .customer = tf_database_name,
                                     .group = tf_group_name,
                                     .term = fleet->term,
                                     .primary = tf_names[fleet->primary],
                                     .superseding = fleet->superseding};
    database->base =
        (struct ck_position){fleet->timeline, 100 + fleet->base_rows};
    database->upstreams.upstreams_len = fleet->upstreams_count;
    database->upstreams.upstreams_val = entry->upstreams[turn];
    for (uint32_t i = 0; i < fleet->upstreams_count; i++) {
        entry->upstreams[turn][i] =
            (struct ck_upstream){.name = tf_names[i],
                                 .database = tf_database_name,
                                 .failure_domain = tf_group_name,
                                 .host = tf_host,
                                 .slots = fleet->slots,
                                 .connections = fleet->connections,
                                 .state = fleet->states[i]};
        entry->quotas[turn][i] = (struct ck_quota){
            .upstream = tf_names[i],
            .slots = fleet->slots / fleet->entries_count,
            .connections = fleet->connections / fleet->entries_count,
            .guaranteed_slots = fleet->slots / fleet->entries_count,
            .guaranteed_connections =
                fleet->connections / fleet->entries_count};
    }
    entry->customers[turn] =
        (struct ck_customer){.name = tf_database_name,
                             .template_name = tf_empty,
                             .max_age_ms = 2000,
                             .confirm = fleet->confirm,
                             .state = fleet->customer_state};
}

static void
tf_post_view(struct traffic_fleet *fleet, uint32_t place)
{
    struct tf_entry *entry = &fleet->entries[place];

    tf_fill_view(fleet, entry);
    const struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_VIEW,
        .view = {.customer = &entry->customers[entry->turn],
                 .database = &entry->databases[entry->turn],
                 .quotas = entry->quotas[entry->turn],
                 .quotas_count = fleet->upstreams_count,
                 .failure_domain = tf_group_name}};
    tf_entry_step(fleet, place, &event);
}

static void
tf_post_lease(struct traffic_fleet *fleet, uint32_t place, bool revoked)
{
    struct tf_entry *entry = &fleet->entries[place];
    int64_t until_us = network_get_now_us(fleet->network) + TF_LEASE_US;
    const struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_LEASE,
        .lease = {fleet->term, until_us, revoked}};

    if (!revoked) {
        entry->leased_until_us = until_us;
    }
    tf_entry_step(fleet, place, &event);
}

// Brings the present view and a lease to all entries that control reaches.
void
traffic_fleet_post_views(struct traffic_fleet *fleet)
{
    for (uint32_t i = 0; i < fleet->entries_count; i++) {
        if (fleet->entries[i].control_cut) {
            continue;
        }
        tf_post_view(fleet, i);
        if (!fleet->superseding) {
            tf_post_lease(fleet, i, false);
        }
    }
}

void
traffic_fleet_fail_over(struct traffic_fleet *fleet)
{
    if (fleet->superseding) {
        return;
    }
    fleet->superseding = true;
    fleet->wait_until_us = 0;
    for (uint32_t i = 0; i < fleet->entries_count; i++) {
        struct tf_entry *entry = &fleet->entries[i];
        entry->confirmed = false;
        if (!entry->control_cut) {
            tf_post_lease(fleet, i, true);
        }
        if (!entry->confirmed &&
            entry->leased_until_us > fleet->wait_until_us) {
            fleet->wait_until_us = entry->leased_until_us;
        }
    }
    traffic_fleet_post_views(fleet);
}

static bool
tf_control_is_ahead(const struct tf_upstream *a, const struct tf_upstream *b)
{
    return a->timeline != b->timeline ? a->timeline > b->timeline
                                      : a->rows_count > b->rows_count;
}

// Promotes the most advanced upstream that is left, once so many are there
// that one of them holds each confirmed save, and it has all that the present
// term began with.
static void
tf_control_promote(struct traffic_fleet *fleet)
{
    uint32_t best = fleet->upstreams_count;
    uint32_t left = 0;

    for (uint32_t i = 0; i < fleet->upstreams_count; i++) {
        const struct tf_upstream *up = &fleet->upstreams[i];
        if (up->is_primary || up->down || !up->follows) {
            continue;
        }
        left++;
        if (best == fleet->upstreams_count ||
            tf_control_is_ahead(up, &fleet->upstreams[best])) {
            best = i;
        }
    }
    if (left == 0 || (fleet->confirm > 0 &&
                      left + fleet->confirm < fleet->upstreams_count)) {
        return;
    }
    if (fleet->upstreams[best].timeline != fleet->timeline ||
        fleet->upstreams[best].rows_count < fleet->base_rows) {
        return;
    }
    fleet->upstreams[fleet->primary].follows =
        !fleet->upstreams[fleet->primary].is_primary;
    fleet->primary = best;
    fleet->base_rows = fleet->upstreams[best].rows_count;
    fleet->timeline++;
    fleet->term++;
    fleet->upstreams[best].timeline = fleet->timeline;
    fleet->upstreams[best].is_primary = true;
    fleet->superseding = false;
    traffic_fleet_post_views(fleet);
}

void
tf_control_run(struct traffic_fleet *fleet)
{
    int64_t now_us = network_get_now_us(fleet->network);

    if (fleet->superseding) {
        if (now_us >= fleet->wait_until_us) {
            tf_control_promote(fleet);
        }
        return;
    }
    if (now_us / TF_TICK_US % TF_RENEW_TICKS == 0) {
        traffic_fleet_post_views(fleet);
    }
}

struct traffic_fleet *
traffic_fleet_create(uint64_t seed, uint32_t entries_count,
                     uint32_t upstreams_count, uint32_t slots)
{
    struct traffic_fleet *fleet = xcalloc(1, sizeof(*fleet));

    fleet->entries_count = entries_count;
    fleet->upstreams_count = upstreams_count;
    fleet->slots = slots;
    fleet->connections = 30;
    fleet->term = fleet->timeline = fleet->confirm = 1;
    fleet->network =
        network_create(seed, (int)(entries_count + upstreams_count),
                       tf_deliver, tf_run_timer, fleet, tf_copy_message, free);
    const struct network_faults faults = {.delay_min_us = 1500,
                                          .delay_max_us = 1500};
    network_set_faults(fleet->network, &faults);
    for (uint32_t i = 0; i < upstreams_count; i++) {
        fleet->upstreams[i].timeline = 1;
        fleet->upstreams[i].is_primary = i == 0;
        fleet->upstreams[i].follows = true;
        fleet->upstreams[i].lag_us = 10 * TF_MS_US;
        fleet->upstreams[i].service_us = 2 * TF_MS_US;
        network_set_timer(fleet->network, tf_upstream_node(fleet, i),
                          TF_TICK_TAG, TF_TICK_US);
    }
    for (uint32_t i = 0; i < entries_count; i++) {
        const struct scheduler_params params = {
            .probe_us = 50 * TF_MS_US,
            .suspect_us = 200 * TF_MS_US,
            .idle_proof_us = 2000 * TF_MS_US,
            .connect_timeout_us = 500 * TF_MS_US,
            .seed = seed + i};
        fleet->entries[i].scheduler = scheduler_create(&params);
    }
    traffic_fleet_run_until(fleet, TF_MS_US);
    traffic_fleet_post_views(fleet);
    return fleet;
}

void
traffic_fleet_destroy(struct traffic_fleet *fleet)
{
    for (uint32_t i = 0; i < fleet->entries_count; i++) {
        scheduler_destroy(fleet->entries[i].scheduler);
        scheduler_actions_free(&fleet->entries[i].actions);
    }
    network_destroy(fleet->network);
    free(fleet);
}

void
traffic_fleet_run_until(struct traffic_fleet *fleet, int64_t until_us)
{
    (void)network_run_until(fleet->network, until_us);
}

void
traffic_fleet_open(struct traffic_fleet *fleet, uint64_t session,
                   uint32_t entry, enum tf_token token)
{
    struct tf_session *state = &fleet->sessions[session];
    struct scheduler_event event = {.kind = SCHEDULER_EVENT_SESSION_OPEN,
                                    .session_open = {.session = session}};

    traffic_fleet_close(fleet, session);
    event.session_open.declared_new = token == TF_TOKEN_NEW;
    if (token == TF_TOKEN_OWN && state->floor.term != 0) {
        event.session_open.floor_known = true;
        event.session_open.floor = state->floor;
    }
    state->entry = entry;
    state->open = true;
    tf_entry_step(fleet, entry, &event);
}

void
traffic_fleet_close(struct traffic_fleet *fleet, uint64_t session)
{
    const struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_SESSION_CLOSE, .session = session};

    if (fleet->sessions[session].open) {
        fleet->sessions[session].open = false;
        tf_entry_step(fleet, fleet->sessions[session].entry, &event);
    }
}

uint64_t
traffic_fleet_request(struct traffic_fleet *fleet, uint64_t session,
                      enum scheduler_class request_class, int64_t max_age_us,
                      bool repeatable)
{
    uint64_t id = ++fleet->requests_count;
    struct scheduler_event event = {.kind = SCHEDULER_EVENT_REQUEST,
                                    .request = {.session = session,
                                                .request = id,
                                                .request_class = request_class,
                                                .max_age_us = max_age_us,
                                                .repeatable = repeatable}};

    INVARIANT(id < TF_REQUESTS_MAX);
    fleet->requests[id] =
        (struct tf_request){.session = session,
                            .request_class = request_class,
                            .must_see = fleet->sessions[session].last_done,
                            .expected_replica = -1,
                            .commits = id - 1,
                            .sent_us = network_get_now_us(fleet->network)};
    event.request.deadline_us =
        network_get_now_us(fleet->network) + 2000 * TF_MS_US;
    tf_entry_step(fleet, fleet->sessions[session].entry, &event);
    return id;
}

void
traffic_fleet_drain(struct traffic_fleet *fleet, uint32_t entry)
{
    const struct scheduler_event event = {.kind = SCHEDULER_EVENT_DRAIN};

    tf_entry_step(fleet, entry, &event);
}

void
traffic_fleet_cut(struct traffic_fleet *fleet, uint32_t entry,
                  uint32_t upstream, bool cut)
{
    int node = tf_upstream_node(fleet, upstream);

    network_set_path_down(fleet->network, (int)entry, node, cut);
    network_set_path_down(fleet->network, node, (int)entry, cut);
}

static void
tf_check_save(struct traffic_fleet *fleet, uint64_t id)
{
    const struct tf_request *request = &fleet->requests[id];
    uint64_t row = request->request_class == SCHEDULER_CLASS_COMMIT
                       ? request->commits
                       : id;
    bool found = false;

    for (uint32_t i = 0; i < fleet->upstreams_count; i++) {
        found |= tf_upstream_has_row(&fleet->upstreams[i], row);
    }
    if (request->outcome == TF_NOT_RUN && found) {
        traffic_fleet_violate(fleet, id, "not_run, but it ran");
    }
    if (request->outcome == TF_DONE &&
        !tf_upstream_has_row(&fleet->upstreams[fleet->primary], row)) {
        traffic_fleet_violate(fleet, id, "acknowledged, but lost");
    }
}

void
traffic_fleet_check_end(struct traffic_fleet *fleet)
{
    for (uint64_t id = 1; id <= fleet->requests_count; id++) {
        const struct tf_request *request = &fleet->requests[id];
        if (request->outcome == TF_OPEN) {
            traffic_fleet_violate(fleet, id, "never ended");
        }
        if (request->request_class == SCHEDULER_CLASS_WRITE ||
            request->request_class == SCHEDULER_CLASS_COMMIT) {
            tf_check_save(fleet, id);
        }
        if (request->expected != TF_OPEN &&
            request->expected != request->outcome) {
            traffic_fleet_violate(fleet, id, "not the stated outcome");
        }
        if (request->expected_replica >= 0 &&
            request->expected_replica != request->on_replica) {
            traffic_fleet_violate(fleet, id, "not the stated upstream");
        }
    }
}
