#include <apr_general.h>
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "test/fake/upstream.h"

#define MAIN_US_PER_MS                1000
#define MAIN_DEFAULT_CONNECTIONS      30
#define MAIN_DEFAULT_SLOTS            5
#define MAIN_DEFAULT_CONNECT_DELAY_MS 10

enum main_option {
    MAIN_HOST = 'h',
    MAIN_PORT = 'p',
    MAIN_NAME = 'n',
    MAIN_DATABASE = 'd',
    MAIN_GROUP = 'g',
    MAIN_SLOTS = 's',
    MAIN_CONNECTIONS = 'c',
    MAIN_LAG = 'l',
    MAIN_ANNOUNCE = 'a',
    MAIN_CONTROL = 256,
    MAIN_FAILURE_DOMAIN,
    MAIN_PRIMARY,
    MAIN_CONNECT_DELAY,
    MAIN_STATEMENT,
    MAIN_PGBENCH,
};

static const struct argp_option main_options[] = {
    {"host", MAIN_HOST, "IP", 0, "Address to listen on [127.0.0.1]", 0},
    {"port", MAIN_PORT, "PORT", 0, "Port for callers and replicas", 0},
    {"control", MAIN_CONTROL, "PORT", 0, "Port for faults", 0},
    {"name", MAIN_NAME, "NAME", 0, "Name of the upstream", 0},
    {"database", MAIN_DATABASE, "NAME", 0, "Database group", 0},
    {"group", MAIN_GROUP, "NAME", 0, "Control group to announce", 0},
    {"failure-domain", MAIN_FAILURE_DOMAIN, "NAME", 0, "Failure domain", 0},
    {"slots", MAIN_SLOTS, "N", 0, "Announced slots [5]", 0},
    {"connections", MAIN_CONNECTIONS, "N", 0, "Limit of connections [30]", 0},
    {"primary-address", MAIN_PRIMARY, "IP:PORT", 0, "Start as its replica", 0},
    {"lag-ms", MAIN_LAG, "MS", 0, "Lag of replication [0]", 0},
    {"connect-delay-ms", MAIN_CONNECT_DELAY, "MS", 0,
     "Time that a new connection takes [10]", 0},
    {"statement-ms", MAIN_STATEMENT, "MS", 0,
     "Time that a statement takes [0]", 0},
    {"pgbench", MAIN_PGBENCH, "SCALE", 0, "Start with pgbench's tables", 0},
    {"announce", MAIN_ANNOUNCE, "IP:PORT", 0,
     "Announce to this HTTP address; repeatable", 0},
    {0},
};

static error_t
main_parse_address_option(int key, char *arg, struct upstream_options *options)
{
    switch (key) {
    case MAIN_HOST:
        options->host = arg;
        return 0;
    case MAIN_NAME:
        options->name = arg;
        return 0;
    case MAIN_DATABASE:
        options->database = arg;
        return 0;
    case MAIN_FAILURE_DOMAIN:
        options->failure_domain = arg;
        return 0;
    case MAIN_GROUP:
        options->group = arg;
        return 0;
    case MAIN_PRIMARY:
        options->primary_address = arg;
        return 0;
    case MAIN_ANNOUNCE:
        if (options->announce_count == UPSTREAM_MAX_ANNOUNCE) {
            return E2BIG;
        }
        options->announce[options->announce_count++] = arg;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static error_t
main_parse_option(int key, char *arg, struct argp_state *state)
{
    struct upstream_options *options = state->input;

    switch (key) {
    case MAIN_PORT:
        options->port = atoi(arg);
        return 0;
    case MAIN_CONTROL:
        options->control_port = atoi(arg);
        return 0;
    case MAIN_SLOTS:
        options->slots = (unsigned)atoi(arg);
        return 0;
    case MAIN_CONNECTIONS:
        options->connections = (unsigned)atoi(arg);
        return 0;
    case MAIN_LAG:
        options->lag_us = atoll(arg) * MAIN_US_PER_MS;
        return 0;
    case MAIN_CONNECT_DELAY:
        options->connect_delay_us = atoll(arg) * MAIN_US_PER_MS;
        return 0;
    case MAIN_STATEMENT:
        options->statement_us = atoll(arg) * MAIN_US_PER_MS;
        return 0;
    case MAIN_PGBENCH:
        options->pgbench_scale = (unsigned)atoi(arg);
        return 0;
    default:
        return main_parse_address_option(key, arg, options);
    }
}

static const struct argp main_argp = {
    .options = main_options,
    .parser = main_parse_option,
    .doc = "A stand-in upstream for the tests of catkingrade.",
};

static int
main_run(struct upstream *upstream)
{
    if (fake_upstream_listen(upstream) != 0) {
        (void)fprintf(stderr, "fake_upstream: port %d can't be opened\n",
                      upstream->options.port);
        return EXIT_FAILURE;
    }
    if (upstream->options.control_port != 0) {
        upstream->control_port = fake_control_port_create(upstream);
        if (upstream->control_port == NULL) {
            (void)fprintf(stderr, "fake_upstream: port %d can't be opened\n",
                          upstream->options.control_port);
            return EXIT_FAILURE;
        }
    }
    loop_run(upstream->loop);
    return EXIT_SUCCESS;
}

int
main(int argc, char **argv)
{
    struct upstream_options options = {
        .host = "127.0.0.1",
        .name = "upstream",
        .database = "roster",
        .failure_domain = "noord",
        .slots = MAIN_DEFAULT_SLOTS,
        .connections = MAIN_DEFAULT_CONNECTIONS,
        .connect_delay_us = MAIN_DEFAULT_CONNECT_DELAY_MS * MAIN_US_PER_MS,
    };

    argp_parse(&main_argp, argc, argv, 0, NULL, &options);
    (void)signal(SIGPIPE, SIG_IGN);
    apr_initialize();
    struct upstream *upstream = fake_upstream_create(&options);
    int status = main_run(upstream);
    fake_control_port_destroy(upstream->control_port);
    fake_upstream_destroy(upstream);
    apr_terminate();
    return status;
}
