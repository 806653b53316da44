#include "bench/bench_traffic_sim.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/coordinator/quota_plan.h"
#include "catkingrade/decide/random.h"
#include "catkingrade/kernel/memory.h"

#define SIM_NETWORK_DELAY_US    (1500) // one way
#define SIM_CONNECT_US          (10 * SIM_MS_US)
#define SIM_RENEWAL_INTERVAL_US (300 * SIM_MS_US)
#define SIM_WARM_UP_US          (2 * SIM_SECOND_US)
#define SIM_SESSIONS            20 // of each entry
#define SIM_CONNECTIONS         30
#define SIM_MAX_LATENCIES       200000
#define SIM_FIRST_LSN           1000
#define SIM_NO_DEADLINE_US      (1000000 * SIM_SECOND_US)
#define SIM_UNLIMITED_QUEUE     1000000000

// Events of the simulation: a request arrives at an entry, a scheduler gets an
// event, a scheduler's timer is due, a statement ends at its upstream, and all
// entries renew their leases.
enum sim_event_kind { SIM_ARRIVE, SIM_STEP, SIM_WAKE, SIM_FINISH, SIM_RENEW };

struct sim_event {
    int64_t at_us;
    uint64_t sequence; // orders events of the same time
    enum sim_event_kind kind;
    uint32_t entry;
    uint32_t type;     // of SIM_ARRIVE
    uint32_t upstream; // of SIM_FINISH
    struct scheduler_event event;
};

struct sim_request {
    uint32_t type;
    uint32_t entry;
    uint64_t session;
    int64_t arrived_us;
    uint64_t floor_lsn;
    bool eligible;
    bool on_replica;
    uint64_t seen_lsn; // position of the upstream when the statement ran
};

struct sim_entry {
    struct scheduler *scheduler;
    struct scheduler_actions actions;
    struct ck_quota quotas[2][SIM_UPSTREAMS_MAX];
    unsigned current_quotas_index;
    uint64_t floors[SIM_SESSIONS]; // LSN of the floor of each session
    struct quota_plan_share shares[SIM_UPSTREAMS_MAX];
    uint32_t unserved[SIM_UPSTREAMS_MAX]; // see struct quota_plan_entry
};

// Upstream of a baseline policy: a queue in order of arrival, shared by all
// entries.
struct sim_baseline_upstream {
    uint32_t running;
    uint64_t *queue;
    size_t queue_first;
    size_t queue_count;
    size_t queue_capacity;
};

struct sim {
    const struct sim_params *params;
    struct sim_result *result;
    int64_t now_us;
    uint64_t sequence;
    uint64_t random;
    struct sim_event *events; // heap
    size_t events_count;
    size_t events_capacity;
    int64_t *commits; // times of the primary's commits
    size_t commits_count;
    size_t commits_capacity;
    struct sim_request *requests;
    size_t requests_count;
    size_t requests_capacity;
    int64_t *latencies[SIM_TYPES_MAX];
    size_t latencies_count[SIM_TYPES_MAX];
    struct sim_entry entries[SIM_ENTRIES_MAX];
    uint32_t round_robin;
    struct sim_baseline_upstream baseline_upstreams[SIM_UPSTREAMS_MAX];
    struct ck_customer customer;
    struct ck_database database;
    struct ck_upstream upstreams[SIM_UPSTREAMS_MAX];
    struct ck_request_type types[SIM_TYPES_MAX];
};

static char sim_name[] = "sim";
static char sim_empty[] = "";
static char sim_upstream_names[SIM_UPSTREAMS_MAX][4] = {"u0", "u1", "u2"};

static bool
sim_event_is_before(const struct sim_event *a, const struct sim_event *b)
{
    return a->at_us != b->at_us ? a->at_us < b->at_us
                                : a->sequence < b->sequence;
}

static void
sim_push(struct sim *sim, struct sim_event event)
{
    if (sim->events_count == sim->events_capacity) {
        sim->events_capacity = sim->events_capacity * 2 + 64;
        sim->events =
            xrealloc(sim->events, sim->events_capacity * sizeof(*sim->events));
    }
    event.sequence = sim->sequence++;
    size_t index = sim->events_count++;
    while (index > 0 &&
           sim_event_is_before(&event, &sim->events[(index - 1) / 2])) {
        sim->events[index] = sim->events[(index - 1) / 2];
        index = (index - 1) / 2;
    }
    sim->events[index] = event;
}

static struct sim_event
sim_pop(struct sim *sim)
{
    struct sim_event first = sim->events[0];
    struct sim_event last = sim->events[--sim->events_count];
    size_t index = 0;

    while (index * 2 + 1 < sim->events_count) {
        size_t child = index * 2 + 1;
        if (child + 1 < sim->events_count &&
            sim_event_is_before(&sim->events[child + 1],
                                &sim->events[child])) {
            child++;
        }
        if (!sim_event_is_before(&sim->events[child], &last)) {
            break;
        }
        sim->events[index] = sim->events[child];
        index = child;
    }
    sim->events[index] = last;
    return first;
}

// Returns the virtual time up to which an upstream has replayed the primary's
// log.
static int64_t
sim_get_replayed_us(const struct sim *sim, uint32_t upstream)
{
    const struct sim_params *params = sim->params;
    int64_t replayed_us = sim->now_us - params->lag_us;

    if (upstream == 0) {
        return sim->now_us;
    }
    if (params->spike_every_us > 0) {
        int64_t offset_us = (int64_t)upstream * params->spike_every_us / 3;
        int64_t within_us = (sim->now_us + offset_us) % params->spike_every_us;
        if (within_us < params->spike_us) {
            replayed_us -= within_us;
        }
    }
    return replayed_us;
}

// Returns the position of an upstream that has replayed the commits up to a
// time.
static uint64_t
sim_get_lsn(const struct sim *sim, int64_t replayed_us)
{
    size_t low = 0;
    size_t high = sim->commits_count;

    while (low < high) {
        size_t middle = low + (high - low) / 2;
        if (sim->commits[middle] <= replayed_us) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return SIM_FIRST_LSN + low;
}

// Returns the time of the first commit that is missing at a position; the
// current time when none is missing.
static int64_t
sim_get_outdated_since_us(const struct sim *sim, uint64_t lsn)
{
    size_t index = (size_t)(lsn - SIM_FIRST_LSN);

    return index < sim->commits_count ? sim->commits[index] : sim->now_us;
}

static void
sim_commit(struct sim *sim)
{
    if (sim->commits_count == sim->commits_capacity) {
        sim->commits_capacity = sim->commits_capacity * 2 + 1024;
        sim->commits = xrealloc(sim->commits,
                                sim->commits_capacity * sizeof(*sim->commits));
    }
    sim->commits[sim->commits_count++] = sim->now_us;
}

// Returns an exponentially distributed random time, at least 1.
static int64_t
sim_get_exponential_us(struct sim *sim, double mean_us)
{
    // The divisor is 2^53 + 1, so that the value lies above 0 and at most 1.
    double uniform =
        ((double)(random_next(&sim->random) >> 11) + 1) / 9007199254740993.0;

    return (int64_t)(-log(uniform) * mean_us) + 1;
}

static void
sim_push_step(struct sim *sim, uint32_t entry, int64_t after_us,
              const struct scheduler_event *event)
{
    sim_push(sim, (struct sim_event){.at_us = sim->now_us + after_us,
                                     .kind = SIM_STEP,
                                     .entry = entry,
                                     .event = *event});
}

// Counts an answered request. Requests of the warm-up are not counted.
static void
sim_record_answer(struct sim *sim, const struct sim_request *request)
{
    struct sim_type_result *totals = &sim->result->types[request->type];
    const struct sim_type *type = &sim->params->types[request->type];
    int64_t latency_us = sim->now_us - request->arrived_us;

    if (request->arrived_us < SIM_WARM_UP_US) {
        return;
    }
    if (latency_us <= type->deadline_us) {
        totals->in_time++;
    }
    else {
        totals->late++;
    }
    if (sim->latencies_count[request->type] < SIM_MAX_LATENCIES) {
        sim->latencies[request->type][sim->latencies_count[request->type]++] =
            latency_us;
    }
    if (type->write) {
        return;
    }
    sim->result->reads++;
    sim->result->reads_replica += request->on_replica;
    sim->result->eligible += request->eligible;
    sim->result->eligible_replica += request->eligible && request->on_replica;
    sim->result->violations +=
        request->seen_lsn < request->floor_lsn ||
        sim_get_outdated_since_us(sim, request->seen_lsn) <
            request->arrived_us - sim->params->max_age_us;
}

// Ends a request after its answer or refusal and closes its session.
static void
sim_end_request(struct sim *sim, const struct scheduler_action *action)
{
    struct sim_request *request = &sim->requests[action->request];
    struct sim_type_result *totals = &sim->result->types[request->type];
    bool is_counted = request->arrived_us >= SIM_WARM_UP_US;
    const struct scheduler_event close = {
        .kind = SCHEDULER_EVENT_SESSION_CLOSE, .session = action->session};

    sim_push_step(sim, request->entry, 0, &close);

    if (action->kind == SCHEDULER_ACTION_REFUSE) {
        totals->refused += is_counted;
    }
    else if (action->kind == SCHEDULER_ACTION_UNKNOWN) {
        totals->unknown += is_counted;
    }
    else {
        struct sim_entry *entry = &sim->entries[request->entry];
        uint64_t *floor = &entry->floors[request->session];
        *floor = action->floor.lsn > *floor ? action->floor.lsn : *floor;
        sim_record_answer(sim, request);
    }
}

// Sends a statement to an upstream. It ends after the one-way network delay
// and a random service time.
static void
sim_send(struct sim *sim, uint32_t entry,
         const struct scheduler_action *action)
{
    uint32_t upstream = action->upstream;

    sim->requests[action->request].on_replica = action->on_replica;
    sim_push(sim, (struct sim_event){
                      .at_us = sim->now_us + SIM_NETWORK_DELAY_US +
                               sim_get_exponential_us(
                                   sim, (double)sim->params->service_us),
                      .kind = SIM_FINISH,
                      .entry = entry,
                      .upstream = upstream,
                      .event = {.kind = SCHEDULER_EVENT_RESULT,
                                .result = {.request = action->request,
                                           .conn = action->conn,
                                           .result = SCHEDULER_RESULT_DONE,
                                           .answer_held = true}}});
}

// Answers a position sample of an upstream after a round trip, with the
// position at the time of the request.
static void
sim_sample(struct sim *sim, uint32_t entry, uint32_t upstream)
{
    uint64_t lsn = sim_get_lsn(sim, sim_get_replayed_us(sim, upstream));
    const struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_SAMPLE,
        .sample = {.upstream = upstream,
                   .is_primary = upstream == 0,
                   .position = {1, lsn},
                   .asked_at_us = sim->now_us,
                   .round_trip_us = 2 * SIM_NETWORK_DELAY_US}};

    sim_push_step(sim, entry, 2 * SIM_NETWORK_DELAY_US, &event);
}

static void
sim_execute_action(struct sim *sim, uint32_t entry,
                   const struct scheduler_action *action)
{
    struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_CONN_OPENED,
        .conn = {.upstream = action->upstream, .conn = action->conn}};

    switch (action->kind) {
    case SCHEDULER_ACTION_OPEN:
        sim_push_step(sim, entry, SIM_CONNECT_US, &event);
        break;
    case SCHEDULER_ACTION_VALIDATE:
    case SCHEDULER_ACTION_RESET:
        event.kind = SCHEDULER_EVENT_CONN_READY;
        sim_push_step(sim, entry, 2 * SIM_NETWORK_DELAY_US, &event);
        break;
    case SCHEDULER_ACTION_SEND:
        sim_send(sim, entry, action);
        break;
    case SCHEDULER_ACTION_ANSWER:
    case SCHEDULER_ACTION_WARN:
    case SCHEDULER_ACTION_REFUSE:
    case SCHEDULER_ACTION_UNKNOWN:
        sim_end_request(sim, action);
        break;
    case SCHEDULER_ACTION_SAMPLE:
        sim_sample(sim, entry, action->upstream);
        break;
    case SCHEDULER_ACTION_WAKE:
        sim_push(sim, (struct sim_event){.at_us = action->wake_at_us,
                                         .kind = SIM_WAKE,
                                         .entry = entry});
        break;
    default:
        break;
    }
}

static void
sim_step(struct sim *sim, uint32_t entry_index,
         const struct scheduler_event *event)
{
    struct sim_entry *entry = &sim->entries[entry_index];

    entry->actions.count = 0;
    scheduler_step(entry->scheduler, sim->now_us, event, &entry->actions);
    for (size_t i = 0; i < entry->actions.count; i++) {
        const struct scheduler_action action = entry->actions.items[i];
        sim_execute_action(sim, entry_index, &action);
    }
}

// Returns whether at least one replica has reached the session floor and is no
// older than max_age_us.
static bool
sim_has_eligible_replica(const struct sim *sim, uint64_t floor_lsn)
{
    for (uint32_t i = 1; i < SIM_UPSTREAMS_MAX; i++) {
        uint64_t lsn = sim_get_lsn(sim, sim_get_replayed_us(sim, i));
        if (lsn >= floor_lsn && sim_get_outdated_since_us(sim, lsn) >=
                                    sim->now_us - sim->params->max_age_us) {
            return true;
        }
    }
    return false;
}

static uint64_t
sim_add_request(struct sim *sim, struct sim_request request)
{
    if (sim->requests_count == sim->requests_capacity) {
        sim->requests_capacity = sim->requests_capacity * 2 + 1024;
        sim->requests = xrealloc(sim->requests, sim->requests_capacity *
                                                    sizeof(*sim->requests));
    }
    sim->requests[sim->requests_count] = request;
    return sim->requests_count++;
}

// Starts queued statements at an upstream while it has free slots.
static void
sim_baseline_start_queued(struct sim *sim, uint32_t upstream)
{
    struct sim_baseline_upstream *server = &sim->baseline_upstreams[upstream];

    while (server->running < sim->params->slots &&
           server->queue_first < server->queue_count) {
        const struct scheduler_action action = {
            .upstream = upstream,
            .request = server->queue[server->queue_first++],
            .on_replica = upstream != 0};
        server->running++;
        sim_send(sim, 0, &action);
    }
}

// Queues a request at the upstream that the baseline policy selects. The age
// of the upstream and the session floor are not considered.
static void
sim_baseline_enqueue(struct sim *sim, uint64_t id, bool write)
{
    uint32_t upstream = 0;

    if (!write && sim->params->policy == SIM_ROUND_ROBIN) {
        upstream = sim->round_robin++ % SIM_UPSTREAMS_MAX;
    }
    struct sim_baseline_upstream *server = &sim->baseline_upstreams[upstream];
    if (server->queue_count == server->queue_capacity) {
        server->queue_capacity = server->queue_capacity * 2 + 1024;
        server->queue = xrealloc(server->queue, server->queue_capacity *
                                                    sizeof(*server->queue));
    }
    server->queue[server->queue_count++] = id;
    sim_baseline_start_queued(sim, upstream);
}

// Records the answer of a baseline request and starts the next queued ones.
static void
sim_baseline_finish(struct sim *sim, uint64_t id, uint32_t upstream)
{
    struct sim_request *request = &sim->requests[id];
    uint64_t *floor = &sim->entries[request->entry].floors[request->session];

    *floor = request->seen_lsn > *floor ? request->seen_lsn : *floor;
    sim_record_answer(sim, request);
    sim->baseline_upstreams[upstream].running--;
    sim_baseline_start_queued(sim, upstream);
}

// Handles the arrival of a request at an entry, for a random session.
static void
sim_handle_arrival(struct sim *sim, uint32_t entry_index, uint32_t type)
{
    const struct sim_type *config = &sim->params->types[type];
    struct sim_entry *entry = &sim->entries[entry_index];
    uint32_t session = random_below(&sim->random, SIM_SESSIONS);
    uint64_t floor_lsn = entry->floors[session];
    struct sim_request request = {.type = type,
                                  .entry = entry_index,
                                  .session = session,
                                  .arrived_us = sim->now_us,
                                  .floor_lsn = floor_lsn};

    request.eligible =
        !config->write && sim_has_eligible_replica(sim, floor_lsn);
    uint64_t id = sim_add_request(sim, request);
    if (sim->params->policy != SIM_SCHEDULER) {
        sim_baseline_enqueue(sim, id, config->write);
        return;
    }
    struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_REQUEST,
        .request = {.session = 1 + session,
                    .request = id,
                    .request_class = config->write ? SCHEDULER_CLASS_WRITE
                                                   : SCHEDULER_CLASS_READ,
                    .max_age_us = sim->params->max_age_us,
                    .deadline_us = sim->now_us + config->deadline_us}};
    if (sim->params->no_admission) {
        event.request.deadline_us = sim->now_us + SIM_NO_DEADLINE_US;
    }
    else {
        (void)snprintf(event.request.type, sizeof(event.request.type), "%s",
                       config->name);
    }
    // The scheduler runs the requests of one session one after the other. Each
    // request gets a session of its own, so that it need not wait for others.
    event.request.session = 1000 + id;
    struct scheduler_event open = {.kind = SCHEDULER_EVENT_SESSION_OPEN,
                                   .session_open = {.session = 1000 + id,
                                                    .floor_known = true,
                                                    .floor = {0, floor_lsn}}};
    sim_step(sim, entry_index, &open);
    sim_step(sim, entry_index, &event);
}

// Handles the end of a statement at its upstream.
static void
sim_handle_statement_end(struct sim *sim, struct sim_event event)
{
    struct sim_request *request = &sim->requests[event.event.result.request];

    if (sim->params->types[request->type].write) {
        sim_commit(sim);
    }
    request->seen_lsn =
        sim_get_lsn(sim, sim_get_replayed_us(sim, event.upstream));
    if (sim->params->policy != SIM_SCHEDULER) {
        sim_baseline_finish(sim, event.event.result.request, event.upstream);
        return;
    }
    event.event.result.position = (struct ck_position){1, request->seen_lsn};
    sim_push_step(sim, event.entry, SIM_NETWORK_DELAY_US, &event.event);
}

// Passes the current quotas of an entry to its scheduler as a new view. The
// scheduler keeps a pointer to the quotas of the previous view, so two arrays
// alternate.
static void
sim_update_view(struct sim *sim, uint32_t entry_index)
{
    struct sim_entry *entry = &sim->entries[entry_index];

    entry->current_quotas_index ^= 1;
    for (uint32_t i = 0; i < SIM_UPSTREAMS_MAX; i++) {
        const struct quota_plan_share *share = &entry->shares[i];
        entry->quotas[entry->current_quotas_index][i] = (struct ck_quota){
            .upstream = sim_upstream_names[i],
            .slots = share->slots,
            .connections = share->connections,
            .guaranteed_slots = share->guaranteed_slots,
            .guaranteed_connections = share->guaranteed_connections};
    }
    const struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_VIEW,
        .view = {.customer = &sim->customer,
                 .database = &sim->database,
                 .quotas = entry->quotas[entry->current_quotas_index],
                 .quotas_count = SIM_UPSTREAMS_MAX,
                 .failure_domain = sim_name}};
    sim_step(sim, entry_index, &event);
}

// Allocates one entry's quota of one upstream by the demand of all entries.
static void
sim_allocate_quota(struct sim *sim, uint32_t entry_index, uint32_t upstream,
                   const struct ck_demand *demands)
{
    struct quota_plan_entry entries[SIM_ENTRIES_MAX] = {0};
    struct quota_plan_share shares[SIM_ENTRIES_MAX];

    for (uint32_t i = 0; i < sim->params->entries_count; i++) {
        const struct quota_plan_share *share =
            &sim->entries[i].shares[upstream];
        const struct ck_demand *demand =
            &demands[i * SIM_UPSTREAMS_MAX + upstream];
        entries[i] = (struct quota_plan_entry){
            .near = i % SIM_UPSTREAMS_MAX == upstream,
            .weight = 1,
            .slots = {demand->running + demand->waiting, share->slots},
            .connections = {demand->connections, share->connections},
            .unserved = sim->entries[i].unserved[upstream]};
    }
    quota_plan_compute(sim->params->slots, SIM_CONNECTIONS, entries,
                       sim->params->entries_count, shares);
    sim->entries[entry_index].shares[upstream] = shares[entry_index];
    sim->entries[entry_index].unserved[upstream] =
        entries[entry_index].unserved;
}

// Renews the leases of all entries one after the other. The quotas are
// computed anew for each entry, so that units released by one entry are
// available to the next.
static void
sim_renew(struct sim *sim)
{
    struct ck_demand demands[SIM_ENTRIES_MAX * SIM_UPSTREAMS_MAX] = {0};

    for (uint32_t i = 0; i < sim->params->entries_count; i++) {
        (void)scheduler_fill_demands(sim->entries[i].scheduler,
                                     &demands[i * SIM_UPSTREAMS_MAX],
                                     SIM_UPSTREAMS_MAX);
    }
    for (uint32_t i = 0; i < sim->params->entries_count; i++) {
        for (uint32_t j = 0; j < SIM_UPSTREAMS_MAX; j++) {
            sim_allocate_quota(sim, i, j, demands);
        }
        sim_update_view(sim, i);
    }
    sim_push(sim,
             (struct sim_event){.at_us = sim->now_us + SIM_RENEWAL_INTERVAL_US,
                                .kind = SIM_RENEW});
}

static void
sim_push_arrival(struct sim *sim, uint32_t type)
{
    double mean_us = (double)SIM_SECOND_US / sim->params->types[type].rate;

    sim_push(
        sim,
        (struct sim_event){
            .at_us = sim->now_us + sim_get_exponential_us(sim, mean_us),
            .kind = SIM_ARRIVE,
            .entry = random_below(&sim->random, sim->params->entries_count),
            .type = type});
}

static void
sim_init_view(struct sim *sim)
{
    const struct sim_params *params = sim->params;

    sim->customer = (struct ck_customer){.name = sim_name,
                                         .template_name = sim_empty,
                                         .max_age_ms = 2000,
                                         .confirm = 1};
    sim->database = (struct ck_database){.name = sim_name,
                                         .customer = sim_name,
                                         .group = sim_empty,
                                         .primary = sim_upstream_names[0],
                                         .base = {1, 0}};
    sim->database.upstreams.upstreams_len = SIM_UPSTREAMS_MAX;
    sim->database.upstreams.upstreams_val = sim->upstreams;
    for (uint32_t i = 0; i < SIM_UPSTREAMS_MAX; i++) {
        sim->upstreams[i] =
            (struct ck_upstream){.name = sim_upstream_names[i],
                                 .database = sim_name,
                                 .failure_domain = sim_name,
                                 .host = sim_empty,
                                 .slots = params->slots,
                                 .connections = SIM_CONNECTIONS};
    }
    sim->customer.types.types_len =
        params->no_admission ? 1 : (u_int)params->types_count;
    sim->customer.types.types_val = sim->types;
    for (size_t i = 0; i < params->types_count; i++) {
        const struct sim_type *type = &params->types[i];
        sim->types[i] = (struct ck_request_type){
            .name = xstrdup(type->name),
            .weight = type->weight,
            .deadline_ms = (u_int)(type->deadline_us / SIM_MS_US),
            .queue_limit = params->no_admission ? SIM_UNLIMITED_QUEUE
                                                : type->queue_limit};
        sim->latencies[i] = xmalloc(SIM_MAX_LATENCIES * sizeof(int64_t));
    }
}

static void
sim_init(struct sim *sim)
{
    sim_init_view(sim);
    (void)sim_add_request(sim, (struct sim_request){0});
    for (uint32_t i = 0; i < sim->params->entries_count; i++) {
        const struct scheduler_params scheduler_params = {
            .probe_us = 50 * SIM_MS_US,
            .suspect_us = 200 * SIM_MS_US,
            .idle_proof_us = 2 * SIM_SECOND_US,
            .connect_timeout_us = 500 * SIM_MS_US,
            .seed = sim->params->seed + i};
        const struct scheduler_event open = {
            .kind = SCHEDULER_EVENT_SESSION_OPEN,
            .session_open = {.session = 1, .declared_new = true}};
        sim->entries[i].scheduler = scheduler_create(&scheduler_params);
        sim_update_view(sim, i);
        sim_step(sim, i, &open);
    }
    sim_renew(sim);
    for (uint32_t i = 0; i < sim->params->types_count; i++) {
        sim_push_arrival(sim, i);
    }
}

static void
sim_handle_event(struct sim *sim, struct sim_event event)
{
    const struct scheduler_event tick = {.kind = SCHEDULER_EVENT_TICK};

    switch (event.kind) {
    case SIM_ARRIVE:
        if (sim->now_us < sim->params->duration_us) {
            sim_handle_arrival(sim, event.entry, event.type);
            sim_push_arrival(sim, event.type);
        }
        break;
    case SIM_STEP:
        sim_step(sim, event.entry, &event.event);
        break;
    case SIM_WAKE:
        sim_step(sim, event.entry, &tick);
        break;
    case SIM_FINISH:
        sim_handle_statement_end(sim, event);
        break;
    case SIM_RENEW:
        sim_renew(sim);
        break;
    }
}

static int
sim_compare(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;

    return (x > y) - (x < y);
}

static void
sim_free(struct sim *sim)
{
    for (uint32_t i = 0; i < sim->params->entries_count; i++) {
        scheduler_destroy(sim->entries[i].scheduler);
        scheduler_actions_free(&sim->entries[i].actions);
    }
    for (size_t i = 0; i < sim->params->types_count; i++) {
        free(sim->types[i].name);
        free(sim->latencies[i]);
    }
    for (size_t i = 0; i < SIM_UPSTREAMS_MAX; i++) {
        free(sim->baseline_upstreams[i].queue);
    }
    free(sim->events);
    free(sim->commits);
    free(sim->requests);
    free(sim);
}

// Runs a simulation for params->duration_us of virtual time and fills the
// result with the outcomes of the requests that arrived after the warm-up of
// 2 s. Requests that are still open at the end are not counted.
void
sim_run(const struct sim_params *params, struct sim_result *result)
{
    struct sim *sim = xcalloc(1, sizeof(*sim));

    *result = (struct sim_result){0};
    sim->params = params;
    sim->result = result;
    sim->random = params->seed;
    sim_init(sim);
    while (sim->events_count > 0 &&
           sim->events[0].at_us < params->duration_us) {
        struct sim_event event = sim_pop(sim);
        sim->now_us = event.at_us;
        sim_handle_event(sim, event);
    }
    for (size_t i = 0; i < params->types_count; i++) {
        size_t count = sim->latencies_count[i];
        qsort(sim->latencies[i], count, sizeof(int64_t), sim_compare);
        result->types[i].sent =
            result->types[i].in_time + result->types[i].late +
            result->types[i].refused + result->types[i].unknown;
        result->types[i].p99_us =
            count == 0 ? 0 : sim->latencies[i][count * 99 / 100];
    }
    sim_free(sim);
}
