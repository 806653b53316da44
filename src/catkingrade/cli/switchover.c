#include <stdio.h>
#include <string.h>

#include "catkingrade/cli/cli.h"
#include "catkingrade/cli/client.h"
#include "catkingrade/cli/objects.h"
#include "catkingrade/rpc/codec.h"

// The verbs switchover and promote: make another upstream the primary of a
// database.

// Fetches the control group and the current term of a database. Returns the
// exit code.
static int
switchover_find_database(struct cli_client *client, const char *database,
                         char *group, size_t group_size, uint64_t *term)
{
    struct json_object *rows = json_object_new_array();
    int code = cli_fetch_databases(client, rows);
    bool found = false;

    for (size_t i = 0; i < json_object_array_length(rows); i++) {
        struct json_object *row = json_object_array_get_idx(rows, i);
        struct json_object *number = NULL;
        if (strcmp(cli_get_text(row, "database"), database) == 0) {
            found = true;
            (void)snprintf(group, group_size, "%s",
                           cli_get_text(row, "group"));
            json_object_object_get_ex(row, "term", &number);
            *term = json_object_get_uint64(number);
        }
    }
    json_object_put(rows);
    if (code == CLI_EXIT_OK && !found) {
        return cli_fail("there is no database \"%s\"", database);
    }
    return code;
}

// Sends a command that names a database and an upstream to the control group
// of the database. Returns the exit code.
static int
switchover_send_command(const struct cli_options *options, int argc,
                        char **argv, enum ck_command_kind kind)
{
    struct cli_client *client = NULL;
    struct ck_command_result result;
    char group[CK_NAME_SIZE + 1];
    char id[CK_NAME_SIZE + 1];
    uint64_t term = 0;

    if (argc != 3) {
        return cli_fail_usage(argv[0], "expected DATABASE UPSTREAM");
    }
    int code = cli_client_open(options, &client);
    if (code == CLI_EXIT_OK) {
        code = switchover_find_database(client, argv[1], group, sizeof(group),
                                        &term);
    }
    if (code == CLI_EXIT_OK) {
        cli_build_change_id(argv[0], argv[1], argv[2], term, 0, id);
        struct ck_command_args args = {.kind = kind,
                                       .change_id = id,
                                       .group = group,
                                       .database = argv[1],
                                       .target = argv[2]};
        args.voter.vm = "";
        args.voter.host = "";
        int outcome = cli_client_command(client, &args, &result);
        code = cli_report_outcome(argv[0], outcome, result.outcome,
                                  result.message);
        if (code == CLI_EXIT_OK) {
            (void)printf("%s of %s to %s: accepted (term was %llu)\n", argv[0],
                         argv[1], argv[2], (unsigned long long)term);
        }
        if (outcome == 0) {
            codec_free((xdrproc_t)xdr_ck_command_result, &result);
        }
    }
    cli_client_close(client);
    return code;
}

static int
cli_run_switchover(const struct cli_options *options, int argc, char **argv)
{
    return switchover_send_command(options, argc, argv, CK_COMMAND_SWITCHOVER);
}

static int
cli_run_promote(const struct cli_options *options, int argc, char **argv)
{
    return switchover_send_command(options, argc, argv, CK_COMMAND_PROMOTE);
}

const struct cli_verb cli_verb_switchover = {
    .name = "switchover",
    .args = "DATABASE UPSTREAM",
    .help = "make another upstream the primary, without losing writes",
    .run = cli_run_switchover,
};

const struct cli_verb cli_verb_promote = {
    .name = "promote",
    .args = "DATABASE UPSTREAM",
    .help = "promote an upstream after the loss of the primary, at your own "
            "risk: it may lack writes",
    .run = cli_run_promote,
};
