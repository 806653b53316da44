#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "bench/bench.h"
#include "bench/bench_traffic_sim.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

#define BENCH_DECISIONS 400000
#define BENCH_SESSIONS  100000
#define BENCH_CUSTOMERS 1000

// ---- share of reads served by replicas ----

static const struct sim_params replica_params = {
    .entries_count = 7,
    .slots = 5,
    .duration_us = 122 * SIM_SECOND_US,
    .max_age_us = 2 * SIM_SECOND_US,
    .service_us = 3 * SIM_MS_US,
    .lag_us = 50 * SIM_MS_US,
    .spike_us = 5 * SIM_SECOND_US,
    .spike_every_us = 30 * SIM_SECOND_US,
    .types = {{.name = "read",
               .weight = 1,
               .deadline_us = 2 * SIM_SECOND_US,
               .queue_limit = 1000,
               .rate = 400},
              {.name = "save",
               .weight = 4,
               .deadline_us = 2 * SIM_SECOND_US,
               .queue_limit = 1000,
               .rate = 60,
               .write = true}},
    .types_count = 2,
    .seed = 1,
};

static double
get_share(uint64_t part, uint64_t whole)
{
    return whole == 0 ? 0 : 100.0 * (double)part / (double)whole;
}

static void
report_policy(const char *name, const struct sim_result *result)
{
    char text[96];
    uint64_t sent = result->types[0].sent + result->types[1].sent;
    uint64_t in_time = result->types[0].in_time + result->types[1].in_time;

    (void)snprintf(text, sizeof(text), "%s: reads on replicas", name);
    bench_report(text, get_share(result->reads_replica, result->reads), "%");
    (void)snprintf(text, sizeof(text), "%s: reads too old or below the floor",
                   name);
    bench_report(text, (double)result->broken, "reads");
    (void)snprintf(text, sizeof(text), "%s: requests answered in time", name);
    bench_report(text, get_share(in_time, sent), "%");
    (void)snprintf(text, sizeof(text), "%s: p99 of reads", name);
    bench_report(text, (double)result->types[0].p99_us / 1000, "ms");
    (void)snprintf(text, sizeof(text), "%s: p99 of saves", name);
    bench_report(text, (double)result->types[1].p99_us / 1000, "ms");
}

static void
report_eligible(const char *name, const struct sim_result *result)
{
    char text[96];

    (void)snprintf(text, sizeof(text), "%s: eligible reads on replicas", name);
    bench_report_target(text,
                        get_share(result->eligible_replica, result->eligible),
                        "%", 98, true);
    (void)snprintf(text, sizeof(text), "%s: reads eligible of all", name);
    bench_report(text, get_share(result->eligible, result->reads), "%");
}

// Compares the share of reads on replicas with two baselines, which share one
// queue for each upstream over all entries; and with that of one entry that
// has all slots to itself, where lending takes no part.
static int
run_replicas(int argc, char **argv)
{
    static const char *const names[] = {"machine", "round robin",
                                        "primary only"};
    struct sim_params params = replica_params;
    struct sim_result result;

    (void)argc;
    (void)argv;
    for (int i = 0; i < (int)ARRAY_SIZE(names); i++) {
        params.policy = (enum sim_policy)i;
        sim_run(&params, &result);
        if (params.policy == SIM_SCHEDULER) {
            report_eligible(names[i], &result);
        }
        report_policy(names[i], &result);
    }
    params.policy = SIM_SCHEDULER;
    params.entries_count = 1;
    sim_run(&params, &result);
    report_eligible("one entry", &result);
    report_policy("one entry", &result);
    return OUTCOME_OK;
}

static const struct bench bench_replicas = {
    .name = "traffic-replicas",
    .help = "share of reads on replicas, lag 50 ms with spikes of 5 s",
    .run = run_replicas,
};
BENCH_REGISTER(bench_replicas)

// ---- overload ----

#define OVERLOAD_SAVES    200.0  // a second, at every load
#define OVERLOAD_LOOKUPS  300.0  // a second, at every load
#define OVERLOAD_CAPACITY 1650.0 // reads a second that fill the replicas

// Saves and lookups stay as they are; browsing makes up the rest of the load.
static void
set_overload_params(struct sim_params *params, double load)
{
    double browse = OVERLOAD_CAPACITY * load - OVERLOAD_LOOKUPS;

    *params = (struct sim_params){
        .entries_count = 1,
        .slots = 5,
        .duration_us = 12 * SIM_SECOND_US,
        .max_age_us = 2 * SIM_SECOND_US,
        .service_us = 3 * SIM_MS_US,
        .lag_us = 50 * SIM_MS_US,
        .types = {{.name = "save",
                   .weight = 10,
                   .deadline_us = SIM_SECOND_US,
                   .queue_limit = 1000,
                   .rate = OVERLOAD_SAVES,
                   .write = true},
                  {.name = "lookup",
                   .weight = 8,
                   .deadline_us = SIM_SECOND_US / 2,
                   .queue_limit = 1000,
                   .rate = OVERLOAD_LOOKUPS},
                  {.name = "browse",
                   .weight = 1,
                   .deadline_us = SIM_SECOND_US / 2,
                   .queue_limit = 1000,
                   .rate = browse}},
        .types_count = 3,
        .seed = 1,
    };
}

// Returns the requests answered in time a second, of the types from first to
// last, each times its weight when weighted.
static double
get_goodput(const struct sim_params *params, const struct sim_result *result,
            size_t first, size_t last, bool weighted)
{
    double sum = 0;

    for (size_t i = first; i <= last; i++) {
        double weight = weighted ? params->types[i].weight : 1;
        sum += weight * (double)result->types[i].in_time;
    }
    return sum / 10; // seconds after the warm-up
}

static int
run_overload(int argc, char **argv)
{
    static const double loads[] = {0.9, 1, 2, 3, 5, 10};
    double important = 0;
    char text[96];

    (void)argc;
    (void)argv;
    for (size_t i = 0; i < ARRAY_SIZE(loads); i++) {
        struct sim_params params;
        struct sim_result result;
        struct sim_result plain;
        set_overload_params(&params, loads[i]);
        sim_run(&params, &result);
        params.no_admission = true;
        sim_run(&params, &plain);
        double served = get_goodput(&params, &result, 0, 1, true);
        if (i == 0) {
            important = served;
        }
        (void)snprintf(text, sizeof(text),
                       "%gx: weighted saves and lookups against 0.9x",
                       loads[i]);
        if (loads[i] == 3) {
            bench_report_target(text, 100 * served / important, "%", 95, true);
        }
        else {
            bench_report(text, 100 * served / important, "%");
        }
        (void)snprintf(text, sizeof(text), "%gx: the same, no admission",
                       loads[i]);
        bench_report(
            text, 100 * get_goodput(&params, &plain, 0, 1, true) / important,
            "%");
        (void)snprintf(text, sizeof(text), "%gx: goodput", loads[i]);
        bench_report(text, get_goodput(&params, &result, 0, 2, false),
                     "requests/s");
        (void)snprintf(text, sizeof(text), "%gx: goodput, no admission",
                       loads[i]);
        bench_report(text, get_goodput(&params, &plain, 0, 2, false),
                     "requests/s");
        (void)snprintf(text, sizeof(text), "%gx: p99 of admitted lookups",
                       loads[i]);
        bench_report_target(text, (double)result.types[1].p99_us / 1000, "ms",
                            500, false);
        (void)snprintf(text, sizeof(text), "%gx: answered late", loads[i]);
        bench_report(text,
                     (double)(result.types[0].late + result.types[1].late +
                              result.types[2].late),
                     "requests");
        (void)snprintf(text, sizeof(text), "%gx: ended as unknown", loads[i]);
        bench_report(text,
                     (double)(result.types[0].unknown +
                              result.types[1].unknown +
                              result.types[2].unknown),
                     "requests");
    }
    return OUTCOME_OK;
}

static const struct bench bench_overload = {
    .name = "traffic-overload",
    .help = "weighted service and goodput from 1x to 10x of capacity",
    .run = run_overload,
};
BENCH_REGISTER(bench_overload)

// ---- cost of a decision ----

struct cost_rig {
    struct scheduler *scheduler;
    struct scheduler_actions actions;
    struct ck_customer customer;
    struct ck_database database;
    struct ck_upstream *upstreams;
    char (*names)[16];
    int64_t now_us;
};

static char cost_text[] = "cost";
static char cost_empty[] = "";

static void
cost_step(struct cost_rig *rig, const struct scheduler_event *event)
{
    rig->actions.count = 0;
    scheduler_step(rig->scheduler, rig->now_us, event, &rig->actions);
}

static void
cost_sample_all(struct cost_rig *rig)
{
    for (uint32_t i = 0; i < rig->database.upstreams.upstreams_len; i++) {
        const struct scheduler_event event = {
            .kind = SCHEDULER_EVENT_SAMPLE,
            .sample = {.upstream = i,
                       .is_primary = i == 0,
                       .position = {1, 1000},
                       .asked_at_us = rig->now_us}};
        cost_step(rig, &event);
    }
}

static void
cost_init(struct cost_rig *rig, uint32_t upstreams_count)
{
    const struct scheduler_params params = {
        .probe_us = SIM_SECOND_US,
        .suspect_us = SIM_SECOND_US * 1000,
        .idle_proof_us = SIM_SECOND_US * 1000,
        .connect_timeout_us = SIM_SECOND_US,
        .seed = 1};

    *rig = (struct cost_rig){.now_us = 1};
    rig->scheduler = scheduler_create(&params);
    rig->upstreams = xcalloc(upstreams_count, sizeof(*rig->upstreams));
    rig->names = xcalloc(upstreams_count, sizeof(*rig->names));
    rig->customer = (struct ck_customer){
        .name = cost_text, .template_name = cost_empty, .max_age_ms = 60000};
    for (uint32_t i = 0; i < upstreams_count; i++) {
        (void)snprintf(rig->names[i], sizeof(rig->names[i]), "u%u", i);
        rig->upstreams[i] = (struct ck_upstream){.name = rig->names[i],
                                                 .database = cost_text,
                                                 .failure_domain = cost_text,
                                                 .host = cost_empty,
                                                 .slots = 5,
                                                 .connections = 30};
    }
    rig->database = (struct ck_database){.name = cost_text,
                                         .customer = cost_text,
                                         .group = cost_empty,
                                         .primary = rig->names[0],
                                         .base = {1, 0}};
    rig->database.upstreams.upstreams_len = upstreams_count;
    rig->database.upstreams.upstreams_val = rig->upstreams;
    const struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_VIEW,
        .view = {.customer = &rig->customer,
                 .database = &rig->database,
                 .failure_domain = cost_text}};
    cost_step(rig, &event);
    cost_sample_all(rig);
}

static void
cost_free(struct cost_rig *rig)
{
    scheduler_destroy(rig->scheduler);
    scheduler_actions_free(&rig->actions);
    free(rig->upstreams);
    free(rig->names);
}

// Opens a session and every connection that the machine asks for meanwhile.
static void
cost_open_session(struct cost_rig *rig, uint64_t session)
{
    const struct scheduler_event open = {
        .kind = SCHEDULER_EVENT_SESSION_OPEN,
        .session_open = {.session = session, .declared_new = true}};
    struct scheduler_actions actions = {0};

    scheduler_step(rig->scheduler, rig->now_us, &open, &actions);
    for (size_t i = 0; i < actions.count; i++) {
        const struct scheduler_event opened = {
            .kind = SCHEDULER_EVENT_CONN_OPENED,
            .conn = {.upstream = actions.items[i].upstream,
                     .conn = actions.items[i].conn}};
        if (actions.items[i].kind == SCHEDULER_ACTION_OPEN) {
            scheduler_step(rig->scheduler, rig->now_us, &opened, &actions);
        }
    }
    scheduler_actions_free(&actions);
}

static int64_t
get_clock_ns(void)
{
    struct timespec now;

    (void)clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000000000 + now.tv_nsec;
}

// Answers whatever the last step has sent; opens what it asked for.
static void
cost_complete_actions(struct cost_rig *rig, uint64_t request)
{
    for (size_t i = 0; i < rig->actions.count; i++) {
        const struct scheduler_action action = rig->actions.items[i];
        struct scheduler_event event = {
            .kind = SCHEDULER_EVENT_CONN_OPENED,
            .conn = {.upstream = action.upstream, .conn = action.conn}};
        if (action.kind == SCHEDULER_ACTION_OPEN) {
            scheduler_step(rig->scheduler, rig->now_us, &event, &rig->actions);
        }
        else if (action.kind == SCHEDULER_ACTION_SEND) {
            event = (struct scheduler_event){
                .kind = SCHEDULER_EVENT_RESULT,
                .result = {.request = request,
                           .conn = action.conn,
                           .result = SCHEDULER_RESULT_DONE,
                           .position = {1, 1000}}};
            cost_step(rig, &event);
            return;
        }
    }
}

// Returns the nanoseconds of one routing and admission decision: the step of
// a request's arrival, without that of its answer.
static double
measure_decision_ns(uint32_t upstreams_count)
{
    struct cost_rig rig;
    int64_t total_ns = 0;
    uint64_t sent = 0;

    cost_init(&rig, upstreams_count);
    cost_open_session(&rig, 1);
    for (uint64_t i = 1; i <= BENCH_DECISIONS; i++) {
        const struct scheduler_event event = {
            .kind = SCHEDULER_EVENT_REQUEST,
            .request = {.session = 1,
                        .request = i,
                        .request_class = SCHEDULER_CLASS_READ,
                        .max_age_us = -1}};
        rig.now_us += 2;
        int64_t start_ns = get_clock_ns();
        cost_step(&rig, &event);
        total_ns += get_clock_ns() - start_ns;
        sent += rig.actions.count > 0;
        cost_complete_actions(&rig, i);
    }
    cost_free(&rig);
    return (double)total_ns / (double)(sent == 0 ? 1 : sent);
}

static double
get_clock_overhead_ns(void)
{
    int64_t start_ns = get_clock_ns();

    for (int i = 0; i < BENCH_DECISIONS; i++) {
        (void)get_clock_ns();
    }
    return (double)(get_clock_ns() - start_ns) / BENCH_DECISIONS;
}

static size_t
get_heap_bytes(void)
{
    struct mallinfo2 info = mallinfo2();

    return info.uordblks + info.hblkhd;
}

static void
measure_memory(void)
{
    struct cost_rig rig;
    struct cost_rig *rigs = xcalloc(BENCH_CUSTOMERS, sizeof(*rigs));

    cost_init(&rig, 3);
    size_t before_bytes = get_heap_bytes();
    for (uint64_t i = 1; i <= BENCH_SESSIONS; i++) {
        cost_open_session(&rig, i);
    }
    bench_report("memory of a session",
                 (double)(get_heap_bytes() - before_bytes) / BENCH_SESSIONS,
                 "bytes");
    cost_free(&rig);
    before_bytes = get_heap_bytes();
    for (size_t i = 0; i < BENCH_CUSTOMERS; i++) {
        cost_init(&rigs[i], 3);
    }
    bench_report("memory of a customer with one database of 3 upstreams",
                 (double)(get_heap_bytes() - before_bytes) / BENCH_CUSTOMERS,
                 "bytes");
    for (size_t i = 0; i < BENCH_CUSTOMERS; i++) {
        cost_free(&rigs[i]);
    }
    free(rigs);
}

static int
run_cost(int argc, char **argv)
{
    (void)argc;
    (void)argv;
    double clock_ns = get_clock_overhead_ns();
    bench_report_target("decision at 9 upstreams",
                        (measure_decision_ns(9) - clock_ns) / 1000, "us", 1,
                        false);
    bench_report("decision at 1,000 upstreams",
                 (measure_decision_ns(1000) - clock_ns) / 1000, "us");
    measure_memory();
    return OUTCOME_OK;
}

static const struct bench bench_cost = {
    .name = "traffic-cost",
    .help = "time of a decision, memory of sessions and customers",
    .run = run_cost,
};
BENCH_REGISTER(bench_cost)
