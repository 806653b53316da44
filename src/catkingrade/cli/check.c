#include <stdio.h>

#include "catkingrade/cli/cli.h"
#include "catkingrade/kernel/buffer.h"

// Checks settings files and says what is wrong with each.
static int
cli_run_check(const struct cli_options *options, int argc, char **argv)
{
    int result = CLI_EXIT_OK;

    (void)options;
    if (argc < 2) {
        return cli_fail_usage(argv[0], "no settings file was named");
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
    .args = "SETTINGS...",
    .help = "check settings files without starting anything",
    .run = cli_run_check,
};
