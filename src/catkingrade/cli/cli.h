#ifndef CATKINGRADE_CLI_CLI_H
#define CATKINGRADE_CLI_CLI_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/kernel/settings.h"

// Interface between the command line tool's main program and its verbs (the
// subcommands).

// Exit codes of the tool.
enum cli_exit {
    CLI_EXIT_OK = 0,
    CLI_EXIT_ERROR = 1,
    CLI_EXIT_WOULD_CHANGE = 2, // plan: apply would make changes
    CLI_EXIT_REFUSED = 3,      // refused by a daemon or control group
    CLI_EXIT_UNKNOWN = 4,      // the change may have been applied
    CLI_EXIT_USAGE = 64,
};

#define CLI_MAX_DAEMONS 32

// Options given before the verb.
struct cli_options {
    bool json;
    const char *key_path; // file of the shared key; NULL: no key
    int64_t timeout_us;   // time limit of each call, with its retries
    struct settings_address daemons[CLI_MAX_DAEMONS];
    size_t daemons_count;
};

// A verb of the command line, such as "apply".
struct cli_verb {
    const char *name;
    const char *args; // for the help text
    const char *help;
    // Runs the verb; argv[0] is its name. Returns enum cli_exit.
    int (*run)(const struct cli_options *options, int argc, char **argv);
};

// Both functions print a message on stderr. cli_fail_usage() is for invalid
// arguments of a verb and returns CLI_EXIT_USAGE; cli_fail() is for other
// failures and returns CLI_EXIT_ERROR.
int cli_fail_usage(const char *verb, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
int cli_fail(const char *format, ...) __attribute__((format(printf, 1, 2)));

extern const struct cli_verb cli_verb_apply;
extern const struct cli_verb cli_verb_bench;
extern const struct cli_verb cli_verb_check;
extern const struct cli_verb cli_verb_customer;
extern const struct cli_verb cli_verb_plan;
extern const struct cli_verb cli_verb_promote;
extern const struct cli_verb cli_verb_status;
extern const struct cli_verb cli_verb_stop;
extern const struct cli_verb cli_verb_switchover;
extern const struct cli_verb cli_verb_voter;
extern const struct cli_verb cli_verb_template;
extern const struct cli_verb cli_verb_limits;
extern const struct cli_verb cli_verb_timeline;
extern const struct cli_verb cli_verb_upstream;
extern const struct cli_verb cli_verb_explain;
extern const struct cli_verb cli_verb_version;

#endif
