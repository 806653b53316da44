#include <stdio.h>

#include "catkingrade/cli/cli.h"
#include "catkingrade/cli/client.h"
#include "catkingrade/rpc/codec.h"

// The verb stop: requests a planned stop of one daemon, which exits once it
// has no requests in flight.
static int
cli_run_stop(const struct cli_options *options, int argc, char **argv)
{
    struct cli_client *client = NULL;
    struct ck_command_result result;
    struct ck_command_args args = {.kind = CK_COMMAND_STOP,
                                   .change_id = "",
                                   .group = "",
                                   .database = "",
                                   .target = ""};

    args.voter.vm = "";
    args.voter.host = "";
    if (argc > 1) {
        return cli_fail_usage(argv[0], "takes no arguments: it stops the "
                                       "daemon given by --connect");
    }
    if (options->daemons_count > 1) {
        return cli_fail_usage(argv[0], "stops one daemon: name one address");
    }
    int code = cli_client_open(options, &client);
    if (code != CLI_EXIT_OK) {
        return code;
    }
    int outcome = cli_client_command(client, &args, &result);
    code = cli_report_outcome("stop", outcome, result.outcome, result.message);
    if (code == CLI_EXIT_OK) {
        (void)printf("stop: accepted; the daemon exits once no request is in "
                     "flight\n");
    }
    if (outcome == 0) {
        codec_free((xdrproc_t)xdr_ck_command_result, &result);
    }
    cli_client_close(client);
    return code;
}

const struct cli_verb cli_verb_stop = {
    .name = "stop",
    .args = "",
    .help = "begin the planned stop of the daemon given by --connect",
    .run = cli_run_stop,
};
