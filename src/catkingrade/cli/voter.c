#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/cli/cli.h"
#include "catkingrade/cli/client.h"
#include "catkingrade/cli/objects.h"
#include "catkingrade/rpc/codec.h"

// Sends a command about a group's voters and prints what came of it.
static int
voter_send_command(const struct cli_options *options,
                   struct ck_command_args *args, const char *what)
{
    struct cli_client *client = NULL;
    struct ck_command_result result;
    int code = cli_client_open(options, &client);

    if (code != CLI_EXIT_OK) {
        return code;
    }
    int outcome = cli_client_command(client, args, &result);
    code =
        cli_report_outcome("voter", outcome, result.outcome, result.message);
    if (code == CLI_EXIT_OK) {
        (void)printf("voter %s in group %s: accepted\n", what, args->group);
    }
    if (outcome == 0) {
        codec_free((xdrproc_t)xdr_ck_command_result, &result);
    }
    cli_client_close(client);
    return code;
}

// Adds a voter under an id that the group has never used. It catches up
// before it votes.
static int
voter_add(const struct cli_options *options, char **argv)
{
    struct settings_address address;
    char change_id[CK_NAME_SIZE + 1];
    char *end = NULL;
    unsigned long long id = strtoull(argv[4], &end, 10);

    if (id == 0 || *end != '\0') {
        return cli_fail_usage("voter", "ID must be a number above 0 that the "
                                       "group has never used");
    }
    if (!settings_parse_address(argv[5], &address)) {
        return cli_fail_usage("voter", "IP:PORT must be the VM's RPC address");
    }
    cli_build_change_id("voter-add", argv[3], argv[5], id, 0, change_id);
    struct ck_command_args args = {.kind = CK_COMMAND_ADD_VOTER,
                                   .change_id = change_id,
                                   .group = argv[2],
                                   .database = "",
                                   .target = argv[3],
                                   .voter = {.id = id,
                                             .vm = argv[3],
                                             .host = address.host,
                                             .port = address.port}};
    return voter_send_command(options, &args, argv[3]);
}

// Removes the voter on a VM, or hands leadership to it.
static int
voter_remove_or_transfer(const struct cli_options *options,
                         enum ck_command_kind kind, char *group, char *vm)
{
    struct ck_command_args args = {.kind = kind,
                                   .change_id = "",
                                   .group = group,
                                   .database = "",
                                   .target = vm,
                                   .voter = {.vm = "", .host = ""}};

    return voter_send_command(options, &args, vm[0] == '\0' ? "any" : vm);
}

static int
cli_run_voter(const struct cli_options *options, int argc, char **argv)
{
    const char *action = argc < 2 ? "" : argv[1];

    if (argc == 6 && strcmp(action, "add") == 0) {
        return voter_add(options, argv);
    }
    if (argc == 4 && strcmp(action, "remove") == 0) {
        return voter_remove_or_transfer(options, CK_COMMAND_REMOVE_VOTER,
                                        argv[2], argv[3]);
    }
    if ((argc == 3 || argc == 4) && strcmp(action, "transfer") == 0) {
        return voter_remove_or_transfer(options, CK_COMMAND_TRANSFER, argv[2],
                                        argc == 4 ? argv[3] : "");
    }
    return cli_fail_usage(argv[0], "expected add GROUP VM ID IP:PORT, remove "
                                   "GROUP VM, or transfer GROUP [VM]");
}

const struct cli_verb cli_verb_voter = {
    .name = "voter",
    .args = "[add GROUP VM ID IP:PORT | remove GROUP VM | transfer GROUP "
            "[VM]]",
    .help = "change the voters of a control group, or hand its leadership on",
    .run = cli_run_voter,
};
