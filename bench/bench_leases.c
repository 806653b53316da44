#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "bench/bench.h"
#include "catkingrade/decide/coordinator/coordinator.h"
#include "catkingrade/decide/group/group.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"
#include "test/fake/changes.h"

// CPU time and message sizes of lease renewals at the coordinator, for fleets
// of 10 to 10,000 daemons. The coordinator runs in this process, without
// network and storage.

#define LEASES_RENEWAL_INTERVAL_US    300000
#define LEASES_TICK_INTERVAL_US       50000
#define LEASES_ROUNDS                 10 // renewals of each daemon
#define LEASES_DATABASES_PER_ENTRY    3
#define LEASES_UPSTREAMS              3
#define LEASES_DATABASES_PER_CUSTOMER 100
#define LEASES_NAME_SIZE              32
#define LEASES_DOCUMENT_SIZE          16384

// Returns the CPU time of this process in microseconds.
static double
leases_get_cpu_us(void)
{
    struct timespec now;

    (void)clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

// Adds a customer with `count` databases, numbered from `first`.
static void
leases_add_customer(struct group_state *group, int first, int count)
{
    char *document = xmalloc(LEASES_DOCUMENT_SIZE);
    char name[LEASES_NAME_SIZE];
    int length = 0;

    (void)snprintf(name, sizeof(name), "customer%d", first);
    length += snprintf(document, LEASES_DOCUMENT_SIZE,
                       "{\"customer\": \"%s\", \"template\": \"roster\","
                       " \"parameters\": {\"databases\": [",
                       name);
    for (int i = 0; i < count; i++) {
        length +=
            snprintf(document + length, LEASES_DOCUMENT_SIZE - (size_t)length,
                     "%s{\"name\": \"db%d\"}", i == 0 ? "" : ",", first + i);
    }
    (void)snprintf(document + length, LEASES_DOCUMENT_SIZE - (size_t)length,
                   "]}}");
    int outcome = changes_apply_document(group, CK_CHANGE_CUSTOMER, name,
                                         document, "", -1, NULL);
    INVARIANT(outcome == OUTCOME_OK);
    free(document);
}

// Adds the upstreams of a database, the first of them as the primary.
static void
leases_add_database(struct group_state *group, int number)
{
    struct ck_change change = {.kind = CK_CHANGE_PRIMARY};
    char database[LEASES_NAME_SIZE];
    char name[LEASES_NAME_SIZE];
    char host[LEASES_NAME_SIZE];

    (void)snprintf(database, sizeof(database), "db%d", number);
    for (int i = 0; i < LEASES_UPSTREAMS; i++) {
        (void)snprintf(name, sizeof(name), "u%d-%d", number, i);
        (void)snprintf(host, sizeof(host), "10.%d.%d.%d", i + 1, number / 250,
                       number % 250 + 1);
        struct ck_upstream upstream =
            changes_make_upstream(name, database, "noord", host);
        int outcome = changes_apply_upstream(group, &upstream);
        INVARIANT(outcome == OUTCOME_OK);
    }
    (void)snprintf(name, sizeof(name), "u%d-0", number);
    change.ck_change_u.primary.database = database;
    change.ck_change_u.primary.term = 1;
    change.ck_change_u.primary.primary = name;
    int outcome = changes_apply(group, 0, &change, "", -1, NULL);
    INVARIANT(outcome == OUTCOME_OK);
}

static void
leases_add_daemon(struct group_state *group, int number)
{
    struct ck_change change = {.kind = CK_CHANGE_DAEMON};
    char vm[LEASES_NAME_SIZE];

    (void)snprintf(vm, sizeof(vm), "e%d", number);
    change.ck_change_u.daemon = changes_make_daemon(vm, "10.9.0.1", 1);
    int outcome = changes_apply(group, 0, &change, "", -1, NULL);
    INVARIANT(outcome == OUTCOME_OK);
}

static struct group_state *
leases_create_group(int daemons, int databases)
{
    struct group_state *group = group_create(GROUP_FLEET_NAME);

    int outcome =
        changes_apply_document(group, CK_CHANGE_TEMPLATE, "roster",
                               CHANGES_TEMPLATE_ROSTER, "", -1, NULL);
    INVARIANT(outcome == OUTCOME_OK);
    for (int first = 0; first < databases;
         first += LEASES_DATABASES_PER_CUSTOMER) {
        int count = databases - first < LEASES_DATABASES_PER_CUSTOMER
                        ? databases - first
                        : LEASES_DATABASES_PER_CUSTOMER;
        leases_add_customer(group, first, count);
    }
    for (int i = 0; i < databases; i++) {
        leases_add_database(group, i);
    }
    for (int i = 0; i < daemons; i++) {
        leases_add_daemon(group, i);
    }
    return group;
}

struct leases_run {
    struct group_state *group;
    struct coordinator *coordinator;
    struct coordinator_actions actions;
    int daemons;
    int databases;
    int64_t now_us;
    double cpu_us; // CPU time of the coordinator's steps
    uint64_t renewals;
    uint64_t request_bytes;
    uint64_t reply_bytes;
};

static void
leases_step(struct leases_run *run, struct coordinator_event *event)
{
    double before_us = leases_get_cpu_us();

    event->quorum = true;
    coordinator_actions_clear(&run->actions);
    coordinator_step(run->coordinator, run->now_us, event, &run->actions);
    run->cpu_us += leases_get_cpu_us() - before_us;
}

// Renews the lease of one daemon with its demand for the upstreams of three
// databases. Adds the encoded sizes of request and reply to the run; encoding
// is not part of the measured CPU time.
static void
leases_renew(struct leases_run *run, int number, uint64_t sequence)
{
    struct ck_renew_args args = {.sequence = sequence};
    struct ck_demand demands[LEASES_DATABASES_PER_ENTRY * LEASES_UPSTREAMS];
    char names[ARRAY_SIZE(demands)][LEASES_NAME_SIZE];
    char vm[LEASES_NAME_SIZE];
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_RENEW,
                                      .token = 1};
    struct buffer bytes = {0};

    (void)snprintf(vm, sizeof(vm), "e%d", number);
    memset(demands, 0, sizeof(demands));
    for (size_t i = 0; i < ARRAY_SIZE(demands); i++) {
        int database = (number + (int)i / LEASES_UPSTREAMS) % run->databases;
        (void)snprintf(names[i], sizeof(names[i]), "u%d-%d", database,
                       (int)i % LEASES_UPSTREAMS);
        demands[i].upstream = names[i];
        demands[i].running = 2;
        demands[i].connections = 4;
    }
    args.group = (char *)(uintptr_t)GROUP_FLEET_NAME;
    args.daemon = changes_make_daemon(vm, "10.9.0.1", 1);
    args.known_revision = group_get_revision(run->group);
    args.demands.demands_val = demands;
    args.demands.demands_len = ARRAY_SIZE(demands);
    (void)codec_encode((xdrproc_t)xdr_ck_renew_args, &args, &bytes);
    run->request_bytes += buffer_get_size(&bytes);
    buffer_clear(&bytes);
    event.renew = &args;
    leases_step(run, &event);
    for (size_t i = 0; i < run->actions.count; i++) {
        const struct coordinator_action *action = &run->actions.items[i];
        if (action->kind == COORDINATOR_ACTION_REPLY_RENEW) {
            INVARIANT(action->renew->lease_us > 0);
            (void)codec_encode((xdrproc_t)xdr_ck_renew_result, action->renew,
                               &bytes);
            run->reply_bytes += buffer_get_size(&bytes);
            run->renewals++;
        }
    }
    buffer_free(&bytes);
}

// Renews the lease of each daemon once. The renewals are spread evenly over
// one renewal interval, with the coordinator's ticks between them.
static void
leases_run_round(struct leases_run *run, uint64_t sequence)
{
    struct coordinator_event tick = {.kind = COORDINATOR_EVENT_TICK};
    int ticks = LEASES_RENEWAL_INTERVAL_US / LEASES_TICK_INTERVAL_US;
    int next = 0;

    for (int i = 0; i < ticks; i++) {
        int until = (int)((int64_t)run->daemons * (i + 1) / ticks);
        for (; next < until; next++) {
            leases_renew(run, next, sequence);
        }
        run->now_us += LEASES_TICK_INTERVAL_US;
        leases_step(run, &tick);
    }
}

static void
leases_report(const struct leases_run *run, int64_t duration_us,
              double setup_us)
{
    char figure[96];
    double renewals = (double)run->renewals;
    struct buffer snapshot = {0};

    group_encode(run->group, &snapshot);
    (void)snprintf(figure, sizeof(figure), "%d daemons: CPU time per renewal",
                   run->daemons);
    bench_report(figure, run->cpu_us / renewals, "us");
    (void)snprintf(figure, sizeof(figure), "%d daemons: coordinator's load",
                   run->daemons);
    bench_report(figure, 100.0 * run->cpu_us / (double)duration_us,
                 "% of a core");
    (void)snprintf(figure, sizeof(figure), "%d daemons: request",
                   run->daemons);
    bench_report(figure, (double)run->request_bytes / renewals, "bytes");
    (void)snprintf(figure, sizeof(figure), "%d daemons: reply", run->daemons);
    bench_report(figure, (double)run->reply_bytes / renewals, "bytes");
    (void)snprintf(figure, sizeof(figure), "%d daemons: snapshot",
                   run->daemons);
    bench_report(figure, (double)buffer_get_size(&snapshot), "bytes");
    (void)snprintf(figure, sizeof(figure), "%d daemons: setup by log entries",
                   run->daemons);
    bench_report(figure, setup_us / 1e3, "ms");
    buffer_free(&snapshot);
}

// Measures LEASES_ROUNDS renewals of each daemon. The first round allocates
// the initial quotas and is not measured.
static void
leases_measure(int daemons)
{
    struct coordinator_params params;
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_ELECTED,
                                      .leader_term = 1};
    double start_us = leases_get_cpu_us();
    struct leases_run run = {.daemons = daemons,
                             .databases = daemons,
                             .group = leases_create_group(daemons, daemons),
                             .now_us = LEASES_RENEWAL_INTERVAL_US};
    double setup_us = leases_get_cpu_us() - start_us;

    coordinator_params_init(&params);
    params.announce_expiry_us = INT64_MAX / 4; // no upstream announces itself
    params.suspect_us = INT64_MAX / 4;
    run.coordinator = coordinator_create(&params, run.group);
    leases_step(&run, &event);
    leases_run_round(&run, 1);
    run.cpu_us = 0;
    run.renewals = run.request_bytes = run.reply_bytes = 0;
    for (uint64_t round = 0; round < LEASES_ROUNDS; round++) {
        leases_run_round(&run, round + 2);
    }
    leases_report(&run, LEASES_ROUNDS * (int64_t)LEASES_RENEWAL_INTERVAL_US,
                  setup_us);
    coordinator_destroy(run.coordinator);
    coordinator_actions_free(&run.actions);
    group_destroy(run.group);
}

// Measures the coordinator with as many databases as daemons, where each entry
// serves three databases. The times exclude XDR encoding and decoding.
static int
leases_run(int argc, char **argv)
{
    static const int sizes[] = {10, 100, 1000, 10000};

    (void)argc;
    (void)argv;
    for (size_t i = 0; i < ARRAY_SIZE(sizes); i++) {
        leases_measure(sizes[i]);
    }
    return OUTCOME_OK;
}

static const struct bench leases_bench = {
    .name = "leases",
    .help = "cost of lease renewals at the coordinator, 10 to 10,000 daemons",
    .run = leases_run,
};

BENCH_REGISTER(leases_bench)
