#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "bench/bench.h"
#include "catkingrade/decide/coordinator/coordinator.h"
#include "catkingrade/decide/group/group.h"
#include "catkingrade/decide/leaseholder/leaseholder.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"
#include "test/fake/changes.h"

// CPU time and message sizes of lease renewals at the coordinator, for fleets
// of 10 to 10,000 daemons and 20 to 9,000 databases. The coordinator and the
// entries' leaseholders run in this process, without network and storage.

#define LEASES_RENEWAL_INTERVAL_US    1000000
#define LEASES_TICK_INTERVAL_US       50000
#define LEASES_SETTLING_ROUNDS        4 // until quotas and relays are settled
#define LEASES_ROUNDS                 5 // renewals of each daemon
#define LEASES_RELAY_MIN_CONNECTIONS  2
#define LEASES_US_PER_MS              1000.0
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
    struct leaseholder **holders; // by daemon
    int daemons;
    int64_t now_us;
    // Of the renewals since the last reset:
    double cpu_us; // of the coordinator's steps, ticks included
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

static size_t
leases_get_size(xdrproc_t xdr, const void *object)
{
    struct buffer bytes = {0};

    (void)codec_encode(xdr, object, &bytes);
    size_t size = buffer_get_size(&bytes);
    buffer_free(&bytes);
    return size;
}

// Passes a renewal to the coordinator. Returns its reply, which is valid until
// the next step. Adds the encoded sizes of both to the run; encoding is not
// part of the measured time.
static const struct ck_renew_result *
leases_renew(struct leases_run *run, const struct ck_renew_args *args)
{
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_RENEW,
                                      .token = 1};
    const struct ck_renew_result *reply = NULL;

    run->request_bytes += leases_get_size((xdrproc_t)xdr_ck_renew_args, args);
    event.renew = args;
    leases_step(run, &event);
    for (size_t i = 0; i < run->actions.count; i++) {
        if (run->actions.items[i].kind == COORDINATOR_ACTION_REPLY_RENEW) {
            reply = run->actions.items[i].renew;
        }
    }
    INVARIANT(reply != NULL);
    run->reply_bytes += leases_get_size((xdrproc_t)xdr_ck_renew_result, reply);
    run->renewals++;
    return reply;
}

static const struct ck_renew_args *
leases_find_renewal(const struct leaseholder_actions *actions)
{
    for (size_t i = 0; i < actions->count; i++) {
        if (actions->items[i].kind == LEASEHOLDER_ACTION_SEND_RENEW) {
            return actions->items[i].send.args;
        }
    }
    return NULL;
}

// Lets a daemon renew if it is time, and again at once while it wants to.
static void
leases_tick_holder(struct leases_run *run, int number)
{
    struct leaseholder_event event = {.kind = LEASEHOLDER_EVENT_TICK};
    struct leaseholder_actions actions = {0};

    leaseholder_step(run->holders[number], run->now_us, &event, &actions);
    const struct ck_renew_args *args = leases_find_renewal(&actions);
    while (args != NULL) {
        event.kind = LEASEHOLDER_EVENT_RENEWED;
        event.renewed = leases_renew(run, args);
        leaseholder_actions_free(&actions);
        leaseholder_step(run->holders[number], run->now_us, &event, &actions);
        args = leases_find_renewal(&actions);
    }
    leaseholder_actions_free(&actions);
}

// Lets the daemons renew for some intervals, spread evenly over each, with the
// coordinator's ticks between them.
static void
leases_run_rounds(struct leases_run *run, int rounds)
{
    struct coordinator_event tick = {.kind = COORDINATOR_EVENT_TICK};
    int ticks = LEASES_RENEWAL_INTERVAL_US / LEASES_TICK_INTERVAL_US;

    run->cpu_us = 0;
    run->renewals = run->request_bytes = run->reply_bytes = 0;
    for (int i = 0; i < rounds * ticks; i++) {
        for (int j = 0; j < run->daemons; j++) {
            leases_tick_holder(run, j);
        }
        run->now_us += LEASES_TICK_INTERVAL_US;
        leases_step(run, &tick);
    }
}

static void
leases_create_holders(struct leases_run *run)
{
    const struct leaseholder_address voter = {.host = "10.1.0.1", .port = 1};

    run->holders = xcalloc((size_t)run->daemons, sizeof(*run->holders));
    for (int i = 0; i < run->daemons; i++) {
        char vm[LEASES_NAME_SIZE];
        (void)snprintf(vm, sizeof(vm), "e%d", i);
        struct leaseholder_params params = {
            .group = GROUP_FLEET_NAME,
            .daemon = changes_make_daemon(vm, "10.9.0.1", 1),
            .voters = &voter,
            .voters_count = 1,
            .renew_us = LEASES_RENEWAL_INTERVAL_US,
            .call_timeout_us = LEASES_RENEWAL_INTERVAL_US / 4,
            .retry_us = LEASES_TICK_INTERVAL_US,
            .seed = (uint64_t)i};
        run->holders[i] = leaseholder_create(&params);
    }
}

static void
leases_report(const struct leases_run *run, const char *what, int databases,
              int rounds)
{
    char figure[96];
    double renewals = (double)run->renewals;
    double interval_us = (double)rounds * LEASES_RENEWAL_INTERVAL_US;

    (void)snprintf(figure, sizeof(figure), "%d x %d, %s: CPU per renewal",
                   run->daemons, databases, what);
    bench_report(figure, run->cpu_us / renewals, "us");
    (void)snprintf(figure, sizeof(figure), "%d x %d, %s: load", run->daemons,
                   databases, what);
    bench_report(figure, 100.0 * run->cpu_us / interval_us, "% of a core");
    (void)snprintf(figure, sizeof(figure), "%d x %d, %s: request",
                   run->daemons, databases, what);
    bench_report(figure, (double)run->request_bytes / renewals, "bytes");
    (void)snprintf(figure, sizeof(figure), "%d x %d, %s: reply", run->daemons,
                   databases, what);
    bench_report(figure, (double)run->reply_bytes / renewals, "bytes");
}

// Measures the renewals of a fleet once its quotas and relays are settled, and
// then those of the first seconds after a change of leader.
static void
leases_measure(int daemons, int databases)
{
    struct coordinator_params params;
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_ELECTED,
                                      .leader_term = 1};
    struct leases_run run = {.daemons = daemons,
                             .group = leases_create_group(daemons, databases),
                             .now_us = LEASES_RENEWAL_INTERVAL_US};

    coordinator_params_init(&params);
    params.lease_us = 3 * (int64_t)LEASES_RENEWAL_INTERVAL_US;
    params.relay_min_connections = LEASES_RELAY_MIN_CONNECTIONS;
    params.announce_expiry_us = INT64_MAX / 4; // no upstream announces itself
    params.suspect_us = INT64_MAX / 4;
    run.coordinator = coordinator_create(&params, run.group);
    leases_create_holders(&run);
    leases_step(&run, &event);
    leases_run_rounds(&run, LEASES_SETTLING_ROUNDS);
    leases_run_rounds(&run, LEASES_ROUNDS);
    leases_report(&run, "settled", databases, LEASES_ROUNDS);
    coordinator_destroy(run.coordinator);
    run.coordinator = coordinator_create(&params, run.group);
    event.leader_term = 2;
    run.cpu_us = 0;
    leases_step(&run, &event);
    bench_report("  election", run.cpu_us / LEASES_US_PER_MS, "ms");
    leases_run_rounds(&run, LEASES_SETTLING_ROUNDS);
    leases_report(&run, "new leader", databases, LEASES_SETTLING_ROUNDS);
    for (int i = 0; i < daemons; i++) {
        leaseholder_destroy(run.holders[i]);
    }
    free(run.holders);
    coordinator_destroy(run.coordinator);
    coordinator_actions_free(&run.actions);
    group_destroy(run.group);
}

// Measures fleets of several sizes, or the one that the arguments give as the
// numbers of daemons and databases. The times exclude XDR encoding and
// decoding.
static int
leases_run(int argc, char **argv)
{
    static const struct {
        int daemons;
        int databases;
    } sizes[] = {{10, 20},     {10, 300},   {10, 9000},   {100, 20},
                 {100, 300},   {200, 300},  {300, 1000},  {1000, 300},
                 {1000, 9000}, {10000, 20}, {10000, 9000}};

    if (argc == 2) {
        leases_measure(atoi(argv[0]), atoi(argv[1]));
        return OUTCOME_OK;
    }
    for (size_t i = 0; i < ARRAY_SIZE(sizes); i++) {
        leases_measure(sizes[i].daemons, sizes[i].databases);
    }
    return OUTCOME_OK;
}

static const struct bench leases_bench = {
    .name = "leases",
    .help = "cost of lease renewals at the coordinator, 10 to 10,000 daemons "
            "and 20 to 9,000 databases",
    .run = leases_run,
};

BENCH_REGISTER(leases_bench)
