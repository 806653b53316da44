#include "catkingrade/cli/cli.h"
#include "catkingrade/cli/objects.h"
#include "catkingrade/kernel/memory.h"

// The verb limits: lists what is left and lent of customers' rate limits.

static const struct cli_column limits_columns[] = {
    {"CUSTOMER", "customer"}, {"RATE_PER_S", "rate_per_s"},
    {"BURST", "burst"},       {"LEFT", "left"},
    {"LENT", "lent"},         {"ENTRIES", "entries"},
};

static int
cli_run_limits(const struct cli_options *options, int argc, char **argv)
{
    if (argc != 1) {
        return cli_fail_usage(argv[0], "takes no argument");
    }
    return cli_list_objects(options, CK_QUERY_LIMITS, limits_columns,
                            ARRAY_SIZE(limits_columns));
}

const struct cli_verb cli_verb_limits = {
    .name = "limits",
    .args = "",
    .help = "list what is left of customers' rate limits, and what is lent",
    .run = cli_run_limits,
};
