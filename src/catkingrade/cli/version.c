#include <stdio.h>

#include "catkingrade/cli/cli.h"

static int
cli_run_version(const struct cli_options *options, int argc, char **argv)
{
    if (argc > 1) {
        return cli_fail_usage(argv[0], "takes no arguments");
    }
    (void)printf(options->json ? "{\"version\": \"%s\"}\n"
                               : "catkingrade %s\n",
                 CATKINGRADE_VERSION);
    return CLI_EXIT_OK;
}

const struct cli_verb cli_verb_version = {
    .name = "version",
    .args = "",
    .help = "print the version",
    .run = cli_run_version,
};
