#include <string.h>

#include "catkingrade/cli/cli.h"
#include "catkingrade/cli/objects.h"
#include "catkingrade/kernel/memory.h"

static const struct cli_column upstream_columns[] = {
    {"UPSTREAM", "name"}, {"DATABASE", "database"},
    {"ROLE", "role"},     {"STATE", "state"},
    {"TERM", "term"},     {"FAILURE DOMAIN", "failure_domain"},
    {"HOST", "host"},     {"PORT", "port"},
    {"SLOTS", "slots"},   {"CONNECTIONS", "connections"},
};

static void
upstream_copy_text(struct json_object *from, struct json_object *to,
                   const char *key)
{
    json_object_object_add(to, key,
                           json_object_new_string(cli_get_text(from, key)));
}

// Adds what a row of an upstream takes from its database.
static void
upstream_append_rows(struct json_object *database, struct json_object *rows)
{
    const char *primary = cli_get_text(database, "primary");
    struct json_object *upstreams = NULL;

    json_object_object_get_ex(database, "upstreams", &upstreams);
    for (size_t i = 0;
         upstreams != NULL && i < json_object_array_length(upstreams); i++) {
        struct json_object *row =
            json_object_get(json_object_array_get_idx(upstreams, i));
        bool is_primary = strcmp(cli_get_text(row, "name"), primary) == 0;
        upstream_copy_text(database, row, "database");
        upstream_copy_text(database, row, "term");
        json_object_object_add(
            row, "role",
            json_object_new_string(is_primary ? "primary" : "replica"));
        json_object_array_add(rows, row);
    }
}

static int
cli_run_upstream(const struct cli_options *options, int argc, char **argv)
{
    struct cli_client *client = NULL;

    if (argc > 2 || (argc == 2 && strcmp(argv[1], "list") != 0)) {
        return cli_fail_usage(argv[0], "expected list");
    }
    int code = cli_client_open(options, &client);
    if (code != CLI_EXIT_OK) {
        return code;
    }
    struct json_object *databases = json_object_new_array();
    struct json_object *rows = json_object_new_array();
    code = cli_fetch_databases(client, databases);
    for (size_t i = 0; i < json_object_array_length(databases); i++) {
        upstream_append_rows(json_object_array_get_idx(databases, i), rows);
    }
    if (code == CLI_EXIT_OK && options->json) {
        cli_print_json(rows);
    }
    else if (code == CLI_EXIT_OK) {
        cli_print_table(rows, upstream_columns, ARRAY_SIZE(upstream_columns));
    }
    json_object_put(rows);
    json_object_put(databases);
    cli_client_close(client);
    return code;
}

const struct cli_verb cli_verb_upstream = {
    .name = "upstream",
    .args = "[list]",
    .help = "list upstreams with their databases, roles and terms",
    .run = cli_run_upstream,
};
