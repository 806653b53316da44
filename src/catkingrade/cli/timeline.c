#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/cli/cli.h"
#include "catkingrade/cli/client.h"
#include "catkingrade/cli/output.h"
#include "catkingrade/cli/timeline_merge.h"
#include "catkingrade/kernel/loop.h"

// The verb timeline: prints the merged events of all daemons.

#define TIMELINE_MS_PER_S       1000
#define TIMELINE_US_PER_MS      1000
#define TIMELINE_TIME_TEXT_SIZE 40
#define TIMELINE_VM_WIDTH       12 // of the column
#define TIMELINE_KIND_WIDTH     20

// Keys of the options for argp.
enum timeline_option {
    TIMELINE_CUSTOMER = 'C',
    TIMELINE_UPSTREAM = 'u',
    TIMELINE_SESSION = 's',
    TIMELINE_VM = 'v',
    TIMELINE_LAST = 'l',
    TIMELINE_HTML = 'H',
};

struct timeline_args {
    struct timeline_filter filter;
    bool html;
};

static const struct argp_option timeline_option_rows[] = {
    {"customer", TIMELINE_CUSTOMER, "NAME", 0, "Only events of a customer", 0},
    {"upstream", TIMELINE_UPSTREAM, "NAME", 0, "Only events of an upstream",
     0},
    {"session", TIMELINE_SESSION, "ID", 0, "Only events of a session", 0},
    {"vm", TIMELINE_VM, "NAME", 0, "Only events of a VM", 0},
    {"last", TIMELINE_LAST, "SECONDS", 0, "Only events of the last SECONDS",
     0},
    {"html", TIMELINE_HTML, NULL, 0, "Print an HTML page with a diagram", 0},
    {0},
};

static uint64_t
timeline_parse_number(struct argp_state *state, const char *arg)
{
    char *end = NULL;
    unsigned long long number = strtoull(arg, &end, 10);

    if (*end != '\0' || end == arg || number == 0) {
        argp_error(state, "\"%s\" is not a whole number above 0", arg);
    }
    return number;
}

static error_t
timeline_parse_option(int key, char *arg, struct argp_state *state)
{
    struct timeline_args *args = state->input;

    switch (key) {
    case TIMELINE_CUSTOMER:
        args->filter.customer = arg;
        return 0;
    case TIMELINE_UPSTREAM:
        args->filter.upstream = arg;
        return 0;
    case TIMELINE_VM:
        args->filter.vm = arg;
        return 0;
    case TIMELINE_SESSION:
        args->filter.session = timeline_parse_number(state, arg);
        return 0;
    case TIMELINE_LAST:
        args->filter.since_ms =
            walltime_get_us() / TIMELINE_US_PER_MS -
            (int64_t)timeline_parse_number(state, arg) * TIMELINE_MS_PER_S;
        return 0;
    case TIMELINE_HTML:
        args->html = true;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp timeline_argp = {
    .options = timeline_option_rows,
    .parser = timeline_parse_option,
    .doc = "Merges the events of all daemons in the order of their hybrid "
           "logical clocks. Events that were overwritten in a daemon's ring "
           "buffer are shown as \"gap\".",
};

// Prints a member of an event as key=value unless it is empty.
static void
timeline_print_member(struct json_object *event, const char *key)
{
    const char *text = cli_get_text(event, key);

    if (text[0] != '\0') {
        (void)printf(" %s=", key);
        cli_print_text(text, 0);
    }
}

static void
timeline_print_text(const struct timeline_merge *merge)
{
    for (size_t i = 0; i < json_object_array_length(merge->unreachable); i++) {
        (void)fputs("# not reachable: ", stdout);
        cli_print_text(json_object_get_string(
                           json_object_array_get_idx(merge->unreachable, i)),
                       0);
        (void)putchar('\n');
    }
    for (size_t i = 0; i < json_object_array_length(merge->events); i++) {
        struct json_object *event =
            json_object_array_get_idx(merge->events, i);
        char time[TIMELINE_TIME_TEXT_SIZE];
        cli_format_hlc(cli_get_number(event, "hlc"), time, sizeof(time));
        (void)printf("%s ", time);
        cli_print_text(cli_get_text(event, "vm"), TIMELINE_VM_WIDTH);
        (void)putchar(' ');
        cli_print_text(cli_get_text(event, "kind"), TIMELINE_KIND_WIDTH);
        timeline_print_member(event, "customer");
        timeline_print_member(event, "upstream");
        if (cli_get_number(event, "session") != 0) {
            timeline_print_member(event, "session");
        }
        (void)putchar(' ');
        cli_print_text(cli_get_text(event, "text"), 0);
        (void)putchar('\n');
    }
}

static void
timeline_print_json(const struct timeline_merge *merge)
{
    struct json_object *root = json_object_new_object();

    json_object_object_add(root, "unreachable",
                           json_object_get(merge->unreachable));
    json_object_object_add(root, "events", json_object_get(merge->events));
    cli_print_json(root);
    json_object_put(root);
}

static int
cli_run_timeline(const struct cli_options *options, int argc, char **argv)
{
    struct timeline_args args = {.html = false};
    struct timeline_merge merge = {NULL, NULL};
    struct cli_client *client = NULL;

    argp_parse(&timeline_argp, argc, argv, 0, NULL, &args);
    int code = cli_client_open(options, &client);
    if (code != CLI_EXIT_OK) {
        return code;
    }
    timeline_merge_fetch(client, options, &args.filter, &merge);
    if (args.html) {
        timeline_print_html(&merge);
    }
    else if (options->json) {
        timeline_print_json(&merge);
    }
    else {
        timeline_print_text(&merge);
    }
    timeline_merge_free(&merge);
    cli_client_close(client);
    return CLI_EXIT_OK;
}

const struct cli_verb cli_verb_timeline = {
    .name = "timeline",
    .args = "[--customer NAME] [--upstream NAME] [--session ID] [--vm NAME] "
            "[--last SECONDS] [--html]",
    .help = "merge the events of all daemons",
    .run = cli_run_timeline,
};
