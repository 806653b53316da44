// Entry point of catkingraded: parses the command line, loads the settings and
// runs the daemon until it is stopped.

#include <apr_general.h>
#include <argp.h>
#include <openssl/rand.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>

#include "catkingrade/kernel/daemon.h"
#include "catkingrade/kernel/log.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/kernel/settings.h"

const char *argp_program_version = "catkingraded " CATKINGRADE_VERSION;

struct main_options {
    const char *settings_path;
    bool check_only;
    bool bootstrap;
};

static const struct argp_option main_option_rows[] = {
    {"settings", 's', "FILE", 0, "Settings, JSON with comments", 0},
    {"check", 'c', NULL, 0, "Check the settings and exit", 0},
    {"bootstrap", 'b', NULL, 0,
     "Create the control groups of the settings; for their first start only",
     0},
    {0},
};

static error_t
main_parse_option(int key, char *arg, struct argp_state *state)
{
    struct main_options *options = state->input;

    switch (key) {
    case 's':
        options->settings_path = arg;
        return 0;
    case 'c':
        options->check_only = true;
        return 0;
    case 'b':
        options->bootstrap = true;
        return 0;
    case ARGP_KEY_END:
        if (options->settings_path == NULL) {
            argp_error(state, "--settings FILE is missing");
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp main_argp = {
    .options = main_option_rows,
    .parser = main_parse_option,
    .doc = "The catkingrade daemon: entry and control roles by its settings.",
};

// Blocks the signals that the daemon reads from a signalfd, in this thread and
// in the threads it creates. SIGPIPE is blocked because a write to a
// connection closed by its peer must not end the process.
static void
main_block_signals(void)
{
    sigset_t signals;

    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    sigaddset(&signals, SIGPIPE);
    pthread_sigmask(SIG_BLOCK, &signals, NULL);
}

// Raises the limit of open files to the hard limit, since each session and
// each upstream connection uses one descriptor.
static void
main_raise_file_limit(void)
{
    struct rlimit limit;

    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        (void)setrlimit(RLIMIT_NOFILE, &limit);
    }
}

static int
main_run(struct settings *settings, bool bootstrap)
{
    struct daemon daemon = {.settings = settings, .bootstrap = bootstrap};

    if (log_open(settings->log_path, settings->log_level, settings->log_format,
                 settings->vm) != OUTCOME_OK) {
        (void)fprintf(stderr, "catkingraded: %s: cannot open the log file\n",
                      settings->log_path);
        return EXIT_FAILURE;
    }
    if (RAND_bytes((unsigned char *)&daemon.incarnation,
                   sizeof(daemon.incarnation)) != 1) {
        (void)fputs("catkingraded: RAND_bytes failed\n", stderr);
        return EXIT_FAILURE;
    }
    daemon.control_loop = loop_create();
    if (daemon.control_loop == NULL) {
        (void)fputs("catkingraded: no event loop\n", stderr);
        return EXIT_FAILURE;
    }
    int outcome = daemon_run(&daemon);
    loop_destroy(daemon.control_loop);
    log_close();
    return outcome == OUTCOME_OK ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
main(int argc, char **argv)
{
    struct main_options options = {0};
    struct buffer errors = {0};

    main_block_signals();
    argp_parse(&main_argp, argc, argv, 0, NULL, &options);
    struct settings *settings = settings_load(options.settings_path, &errors);
    if (settings == NULL) {
        (void)fprintf(stderr, "%.*s", (int)buffer_get_size(&errors),
                      (const char *)buffer_get_data(&errors));
        buffer_free(&errors);
        return EXIT_FAILURE;
    }
    if (options.check_only) {
        (void)printf("%s: valid\n", options.settings_path);
        settings_destroy(settings);
        return EXIT_SUCCESS;
    }
    main_raise_file_limit();
    apr_initialize();
    int status = main_run(settings, options.bootstrap);
    settings_destroy(settings);
    apr_terminate();
    return status;
}
