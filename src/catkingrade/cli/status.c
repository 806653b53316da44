#include <stdio.h>
#include <string.h>
#include <time.h>

#include "catkingrade/cli/cli.h"
#include "catkingrade/cli/client.h"
#include "catkingrade/cli/daemon_list.h"
#include "catkingrade/cli/objects.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

// The verb status: shows the daemons, control groups, databases and declared
// customers of the fleet.

#define STATUS_WATCH_INTERVAL_S 2
#define STATUS_CLEAR_SCREEN     "\033[H\033[2J"

static const struct cli_column status_daemon_columns[] = {
    {"VM", "vm"},
    {"FAILURE DOMAIN", "failure_domain"},
    {"ADDRESS", "address"},
    {"STATE", "state"},
    {"SESSIONS", "sessions"},
    {"VERSION", "version"},
};

static const struct cli_column status_group_columns[] = {
    {"GROUP", "group"},       {"VM", "vm"},
    {"ROLE", "role"},         {"TERM", "term"},
    {"REVISION", "revision"}, {"COMMIT", "commit"},
};

static const struct cli_column status_database_columns[] = {
    {"DATABASE", "database"}, {"CUSTOMER", "customer"},
    {"GROUP", "group"},       {"TERM", "term"},
    {"PRIMARY", "primary"},   {"SUPERSEDING", "superseding"},
};

static const struct cli_column status_customer_columns[] = {
    {"DECLARED CUSTOMER", "customer"},
    {"KEYS", "keys"},
    {"PRIORITY", "priority"},
    {"RATE PER S", "rate_per_s"},
    {"BURST", "burst"},
};

static void
status_set_text(struct json_object *row, const char *key, const char *text)
{
    json_object_object_add(row, key, json_object_new_string(text));
}

// Appends the control groups of a daemon to the list of all daemons, each with
// the daemon's VM.
static void
status_append_groups(struct json_object *daemon, struct json_object *groups)
{
    struct json_object *daemon_groups = NULL;

    json_object_object_get_ex(daemon, "groups", &daemon_groups);
    for (size_t i = 0;
         daemon_groups != NULL && i < json_object_array_length(daemon_groups);
         i++) {
        struct json_object *row =
            json_object_get(json_object_array_get_idx(daemon_groups, i));
        status_set_text(row, "vm", cli_get_text(daemon, "vm"));
        json_object_array_add(groups, row);
    }
}

// Queries one daemon and returns its row. The row of a daemon that does not
// reply has the state "unreachable".
static struct json_object *
status_query_daemon(struct cli_client *client,
                    const struct daemon_list_entry *daemon)
{
    struct ck_query_result result;
    struct json_object *row = NULL;
    char address[CK_HOST_SIZE + 16];

    int outcome = cli_client_query_daemon(client, &daemon->address,
                                          CK_QUERY_STATUS, 0, &result);
    if (outcome == OUTCOME_OK) {
        struct json_object *rows = json_tokener_parse(result.json);
        if (json_object_is_type(rows, json_type_array)) {
            row = json_object_get(json_object_array_get_idx(rows, 0));
        }
        json_object_put(rows);
        codec_free((xdrproc_t)xdr_ck_query_result, &result);
    }
    if (row == NULL) {
        row = json_object_new_object();
        status_set_text(row, "vm", daemon->vm);
        status_set_text(row, "state", "unreachable");
    }
    else {
        bool draining = strcmp(cli_get_text(row, "draining"), "true") == 0;
        bool ready = strcmp(cli_get_text(row, "ready"), "true") == 0;
        status_set_text(row, "state",
                        draining ? "stopping"
                        : ready  ? "ready"
                                 : "not ready");
    }
    (void)snprintf(address, sizeof(address), "%s:%u", daemon->address.host,
                   daemon->address.port);
    status_set_text(row, "address", address);
    return row;
}

static void
status_print(struct json_object *daemons, struct json_object *groups,
             struct json_object *databases, struct json_object *customers)
{
    cli_print_table(daemons, status_daemon_columns,
                    ARRAY_SIZE(status_daemon_columns));
    (void)putchar('\n');
    cli_print_table(groups, status_group_columns,
                    ARRAY_SIZE(status_group_columns));
    (void)putchar('\n');
    cli_print_table(databases, status_database_columns,
                    ARRAY_SIZE(status_database_columns));
    if (json_object_array_length(customers) > 0) {
        (void)putchar('\n');
        cli_print_table(customers, status_customer_columns,
                        ARRAY_SIZE(status_customer_columns));
    }
}

static void
status_print_json(struct json_object *daemons, struct json_object *databases,
                  struct json_object *customers)
{
    struct json_object *root = json_object_new_object();

    json_object_object_add(root, "daemons", json_object_get(daemons));
    json_object_object_add(root, "databases", json_object_get(databases));
    json_object_object_add(root, "declared_customers",
                           json_object_get(customers));
    cli_print_json(root);
    json_object_put(root);
}

// Prints the state of the fleet once. Returns CLI_EXIT_ERROR if the fleet
// group did not reply, or the exit code of the query for databases.
static int
status_show(struct cli_client *client, const struct cli_options *options)
{
    struct json_object *daemons = json_object_new_array();
    struct json_object *groups = json_object_new_array();
    struct json_object *databases = json_object_new_array();
    struct json_object *customers = json_object_new_array();
    struct daemon_list list;
    bool fleet_group_replied = false;
    int code = CLI_EXIT_ERROR;

    daemon_list_fetch(client, options, &list, &fleet_group_replied);
    for (size_t i = 0; i < list.count; i++) {
        struct json_object *row =
            status_query_daemon(client, &list.daemons[i]);
        status_append_groups(row, groups);
        json_object_array_add(daemons, row);
    }
    if (fleet_group_replied) {
        code = cli_fetch_databases(client, databases);
    }
    if (code == CLI_EXIT_OK) {
        code = cli_client_query_all(client, CK_QUERY_DECLARED_CUSTOMERS,
                                    CLI_FLEET_GROUP, "", customers);
    }
    if (options->json) {
        status_print_json(daemons, databases, customers);
    }
    else {
        status_print(daemons, groups, databases, customers);
    }
    daemon_list_free(&list);
    json_object_put(daemons);
    json_object_put(groups);
    json_object_put(databases);
    json_object_put(customers);
    return code;
}

static int
cli_run_status(const struct cli_options *options, int argc, char **argv)
{
    bool watch = argc == 2 && strcmp(argv[1], "--watch") == 0;
    struct timespec interval = {.tv_sec = STATUS_WATCH_INTERVAL_S};
    struct cli_client *client = NULL;

    if (argc > 1 && !watch) {
        return cli_fail_usage(argv[0], "takes no argument other than --watch");
    }
    int code = cli_client_open(options, &client);
    if (code != CLI_EXIT_OK) {
        return code;
    }
    for (;;) {
        code = status_show(client, options);
        if (!watch) {
            break;
        }
        (void)fflush(stdout);
        nanosleep(&interval, NULL);
        (void)printf(STATUS_CLEAR_SCREEN);
    }
    cli_client_close(client);
    return code;
}

const struct cli_verb cli_verb_status = {
    .name = "status",
    .args = "[--watch]",
    .help = "show daemons, control groups, databases and declared customers",
    .run = cli_run_status,
};
