#include "bench/bench.h"

#include <stdio.h>

#include "catkingrade/cli/cli.h"
#include "catkingrade/kernel/outcome.h"

// Runs a benchmark, or lists all benchmarks if none is given.
static int
cli_run_bench(const struct cli_options *options, int argc, char **argv)
{
    if (argc < 2) {
        bench_list();
        return CLI_EXIT_OK;
    }
    int outcome = bench_run(argv[1], argc - 2, argv + 2, options->json);
    if (outcome == OUTCOME_NOT_FOUND) {
        (void)fprintf(stderr,
                      "catkingrade bench: unknown benchmark \"%s\"; "
                      "available:\n",
                      argv[1]);
        bench_list();
        return CLI_EXIT_USAGE;
    }
    if (outcome != OUTCOME_OK) {
        return cli_fail("bench %s: %s", argv[1], outcome_get_text(outcome));
    }
    return CLI_EXIT_OK;
}

const struct cli_verb cli_verb_bench = {
    .name = "bench",
    .args = "[NAME [ARGUMENT...]]",
    .help = "run a benchmark; without NAME list all benchmarks",
    .run = cli_run_bench,
};
