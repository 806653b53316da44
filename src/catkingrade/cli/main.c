#include <argp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/cli/cli.h"
#include "catkingrade/kernel/memory.h"

// Main program of the command line tool: parses the options given before the
// verb, then runs the verb.

#define MAIN_DEFAULT_TIMEOUT_US 5000000
#define MAIN_MAX_TIMEOUT_MS     600000
#define MAIN_US_PER_MS          1000

const char *argp_program_version = "catkingrade " CATKINGRADE_VERSION;

static const struct cli_verb *const main_verbs[] = {
    &cli_verb_plan,    &cli_verb_apply,      &cli_verb_template,
    &cli_verb_limits,  &cli_verb_customer,   &cli_verb_upstream,
    &cli_verb_voter,   &cli_verb_switchover, &cli_verb_promote,
    &cli_verb_status,  &cli_verb_timeline,   &cli_verb_stop,
    &cli_verb_check,   &cli_verb_bench,      &cli_verb_explain,
    &cli_verb_version,
};

static const struct argp_option main_option_rows[] = {
    {"connect", 'c', "IP:PORT", 0,
     "RPC address of a daemon; may be repeated, the daemons are tried in turn "
     "(default: CATKINGRADE_CONNECT, separated by commas)",
     0},
    {"key-file", 'k', "FILE", 0,
     "Shared key of daemons and operators (default: CATKINGRADE_KEY_FILE)", 0},
    {"timeout", 't', "MS", 0, "Time limit of each call (default: 5000)", 0},
    {"json", 'j', NULL, 0, "Print JSON", 0},
    {0},
};

int
cli_fail_usage(const char *verb, const char *format, ...)
{
    va_list args;

    (void)fprintf(stderr, "catkingrade %s: ", verb);
    va_start(args, format);
    (void)vfprintf(stderr, format, args);
    va_end(args);
    (void)fprintf(stderr, "\nTry 'catkingrade --help'.\n");
    return CLI_EXIT_USAGE;
}

int
cli_fail(const char *format, ...)
{
    va_list args;

    (void)fputs("catkingrade: ", stderr);
    va_start(args, format);
    (void)vfprintf(stderr, format, args);
    va_end(args);
    (void)fputc('\n', stderr);
    return CLI_EXIT_ERROR;
}

// Adds a daemon's address. Returns false if the text is not an address or the
// list is full.
static bool
main_add_daemon(struct cli_options *options, const char *text)
{
    if (options->daemons_count == CLI_MAX_DAEMONS ||
        !settings_parse_address(text,
                                &options->daemons[options->daemons_count])) {
        return false;
    }
    options->daemons_count++;
    return true;
}

static error_t
main_parse_option(int key, char *arg, struct argp_state *state)
{
    struct cli_options *options = state->input;
    char *end = NULL;

    switch (key) {
    case 'c':
        if (!main_add_daemon(options, arg)) {
            argp_error(state,
                       "\"%s\" is not an IP number and port such as "
                       "127.0.0.1:7432",
                       arg);
        }
        return 0;
    case 'k':
        options->key_path = arg;
        return 0;
    case 't': {
        long timeout_ms = strtol(arg, &end, 10);
        if (*end != '\0' || timeout_ms < 1 ||
            timeout_ms > MAIN_MAX_TIMEOUT_MS) {
            argp_error(state, "--timeout must be 1 to %d ms, not \"%s\"",
                       MAIN_MAX_TIMEOUT_MS, arg);
        }
        options->timeout_us = timeout_ms * MAIN_US_PER_MS;
        return 0;
    }
    case 'j':
        options->json = true;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

// Appends the verbs and the exit codes to the help text of argp.
static char *
main_filter_help(int key, const char *text, void *input)
{
    (void)input;
    if (key != ARGP_KEY_HELP_POST_DOC) {
        return (char *)(uintptr_t)text;
    }
    char *help = xstrdup("Verbs:\n");
    for (size_t i = 0; i < ARRAY_SIZE(main_verbs); i++) {
        const struct cli_verb *verb = main_verbs[i];
        char *extended = xasprintf("%s  %s %s\n      %s\n", help, verb->name,
                                   verb->args, verb->help);
        free(help);
        help = extended;
    }
    char *full = xasprintf(
        "%s\nExit codes: 0 ok, 1 error, 2 would change, 3 refused, 4 outcome "
        "unknown (safe to repeat), 64 usage error.",
        help);
    free(help);
    return full;
}

static const struct argp main_argp = {
    .options = main_option_rows,
    .parser = main_parse_option,
    .args_doc = "VERB [ARGUMENT...]",
    .doc = "Command line tool for operators of catkingrade.\v",
    .help_filter = main_filter_help,
};

// Reads the daemons and the key file from the environment unless options gave
// them. Returns whether the daemons' addresses are valid.
static bool
main_read_environment(struct cli_options *options)
{
    const char *daemons = getenv("CATKINGRADE_CONNECT");

    if (options->key_path == NULL) {
        options->key_path = getenv("CATKINGRADE_KEY_FILE");
    }
    if (options->daemons_count > 0 || daemons == NULL) {
        return true;
    }
    char *copy = xstrdup(daemons);
    char *rest = copy;
    bool valid = true;
    for (char *word = strsep(&rest, ","); word != NULL && valid;
         word = strsep(&rest, ",")) {
        valid = main_add_daemon(options, word);
    }
    free(copy);
    return valid;
}

static int
main_run_verb(const struct cli_options *options, int argc, char **argv)
{
    for (size_t i = 0; i < ARRAY_SIZE(main_verbs); i++) {
        if (strcmp(main_verbs[i]->name, argv[0]) == 0) {
            return main_verbs[i]->run(options, argc, argv);
        }
    }
    (void)fprintf(stderr,
                  "catkingrade: unknown verb \"%s\"; available:", argv[0]);
    for (size_t i = 0; i < ARRAY_SIZE(main_verbs); i++) {
        (void)fprintf(stderr, " %s", main_verbs[i]->name);
    }
    (void)fputc('\n', stderr);
    return CLI_EXIT_USAGE;
}

int
main(int argc, char **argv)
{
    struct cli_options options = {.timeout_us = MAIN_DEFAULT_TIMEOUT_US};
    int next = 0;

    argp_err_exit_status = CLI_EXIT_USAGE;
    argp_parse(&main_argp, argc, argv, ARGP_IN_ORDER, &next, &options);
    if (!main_read_environment(&options)) {
        return cli_fail_usage("", "CATKINGRADE_CONNECT is not a list of "
                                  "IP:PORT separated by commas");
    }
    if (next >= argc) {
        argp_help(&main_argp, stderr, ARGP_HELP_STD_HELP, argv[0]);
        return CLI_EXIT_USAGE;
    }
    return main_run_verb(&options, argc - next, argv + next);
}
