#include <stdio.h>
#include <string.h>

#include "catkingrade/cli/cli.h"
#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/store/store.h"

// Checks the data folder of a stopped daemon, without changes to it, and
// prints the report. Returns the exit code.
static int
check_data(const char *dir)
{
    struct buffer report = {0};
    int outcome = store_check(dir, &report);

    (void)printf("%.*s", (int)buffer_get_size(&report),
                 (const char *)buffer_get_data(&report));
    buffer_free(&report);
    if (outcome != OUTCOME_OK) {
        return cli_fail("%s: %s", dir, outcome_get_text(outcome));
    }
    return CLI_EXIT_OK;
}

// Checks settings files, or a data folder with --data, and prints the errors.
static int
cli_run_check(const struct cli_options *options, int argc, char **argv)
{
    int result = CLI_EXIT_OK;

    (void)options;
    if (argc < 2) {
        return cli_fail_usage(argv[0], "no settings file was given");
    }
    if (strcmp(argv[1], "--data") == 0) {
        return argc == 3 ? check_data(argv[2])
                         : cli_fail_usage(argv[0], "--data needs one DIR");
    }
    for (int i = 1; i < argc; i++) {
        struct buffer errors = {0};
        struct settings *settings = settings_load(argv[i], &errors);
        if (settings == NULL) {
            (void)fprintf(stderr, "%.*s", (int)buffer_get_size(&errors),
                          (const char *)buffer_get_data(&errors));
            result = CLI_EXIT_ERROR;
        }
        else {
            (void)printf("%s: valid\n", argv[i]);
            settings_destroy(settings);
        }
        buffer_free(&errors);
    }
    return result;
}

const struct cli_verb cli_verb_check = {
    .name = "check",
    .args = "SETTINGS... | --data DIR",
    .help = "check settings files, or the data folder of a stopped daemon",
    .run = cli_run_check,
};
