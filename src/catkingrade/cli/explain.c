#include <errno.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/cli/cli.h"
#include "catkingrade/cli/output.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/pairs.h"

// The verb explain: prints, from collected JSON logs of all processes, the log
// lines of one request in order of time, together with context events (such as
// a failover) that happened about the same time and may be the cause.

// Largest time between a context event and a log line of the request, in ms.
// The window also extends past the request's lines because a failure is often
// detected later than it affects requests.
#define EXPLAIN_CONTEXT_MS 3000
#define EXPLAIN_ID_SIZE    (PAIRS_VALUE_MAX_BYTES + 16)

struct explain_line {
    char *time;             // as in the log
    int64_t time_of_day_ms; // since midnight; -1: not parsed
    struct json_object *object;
    bool is_request; // has the id of the request; else a context event
};

struct explain {
    char id[EXPLAIN_ID_SIZE]; // of the request, as the log writes it
    struct explain_line *lines;
    size_t count;
    int64_t *request_times_ms; // times of the request's lines
    size_t request_times_count;
};

// Context events: those that may explain the outcome of a request.
static const char *const explain_context_events[] = {
    "lease_held",       "lease_expired",   "primary_lost", "superseded",
    "revoked",          "promoting",       "promoted",     "published",
    "promotion_failed", "promotion_waits", "group_role",   "elected",
    "started",          "stopping",        "stopped",      "upstream_refused",
    "sessions_ended",
};

// Returns a member of a log line, or "" if it is missing or null.
static const char *
explain_get_text(struct json_object *object, const char *key)
{
    struct json_object *member = NULL;

    if (!json_object_object_get_ex(object, key, &member) || member == NULL) {
        return "";
    }
    return json_object_get_string(member);
}

// Prints a format with one %s for each of the keys, in their order; the
// members' texts contain no control characters.
static void
explain_print_members(struct json_object *object, const char *format,
                      const char *const *keys)
{
    for (const char *c = format; *c != '\0'; c++) {
        if (c[0] == '%' && c[1] == 's') {
            cli_print_text(explain_get_text(object, *keys++), 0);
            c++;
        }
        else {
            (void)putchar(*c);
        }
    }
}

// Parses an ISO 8601 time. Returns the milliseconds since midnight, or -1 on
// an error.
static int64_t
explain_parse_time_ms(const char *time)
{
    unsigned hour = 0;
    unsigned minute = 0;
    unsigned second = 0;
    unsigned ms = 0;
    const char *time_of_day = strchr(time, 'T');

    if (time_of_day == NULL || sscanf(time_of_day + 1, "%2u:%2u:%2u.%3u",
                                      &hour, &minute, &second, &ms) != 4) {
        return -1;
    }
    return (((int64_t)hour * 60 + minute) * 60 + second) * 1000 + ms;
}

static bool
explain_is_context_event(const char *event)
{
    for (size_t i = 0; i < ARRAY_SIZE(explain_context_events); i++) {
        if (strcmp(explain_context_events[i], event) == 0) {
            return true;
        }
    }
    return false;
}

static void
explain_add_request_time(struct explain *explain, int64_t time_of_day_ms)
{
    explain->request_times_ms = xrealloc(
        explain->request_times_ms, (explain->request_times_count + 1) *
                                       sizeof(*explain->request_times_ms));
    explain->request_times_ms[explain->request_times_count++] = time_of_day_ms;
}

// Adds a log line if it belongs to the request or is a context event. Text
// before the JSON object, such as the prefix of a log collector, is skipped.
// Lines without a valid object are ignored.
static void
explain_add_line(struct explain *explain, const char *text)
{
    const char *start = strchr(text, '{');
    struct json_object *object =
        start == NULL ? NULL : json_tokener_parse(start);

    if (!json_object_is_type(object, json_type_object)) {
        json_object_put(object);
        return;
    }
    bool is_request = strcmp(explain_get_text(object, "id"), explain->id) == 0;
    bool is_context =
        explain_is_context_event(explain_get_text(object, "event"));
    if (!is_request && !is_context) {
        json_object_put(object);
        return;
    }
    explain->lines = xrealloc(explain->lines,
                              (explain->count + 1) * sizeof(*explain->lines));
    explain->lines[explain->count++] = (struct explain_line){
        .time = xstrdup(explain_get_text(object, "time")),
        .time_of_day_ms =
            explain_parse_time_ms(explain_get_text(object, "time")),
        .object = object,
        .is_request = is_request,
    };
    if (is_request) {
        explain_add_request_time(
            explain, explain->lines[explain->count - 1].time_of_day_ms);
    }
}

static int
explain_read_file(struct explain *explain, const char *path)
{
    char *text = NULL;
    size_t size = 0;
    FILE *file = fopen(path, "re");

    if (file == NULL) {
        return cli_fail("%s: %s", path, strerror(errno));
    }
    while (getline(&text, &size, file) > 0) {
        explain_add_line(explain, text);
    }
    free(text);
    (void)fclose(file);
    return CLI_EXIT_OK;
}

// Orders lines by time; all times are ISO 8601 in UTC.
static int
explain_compare(const void *left, const void *right)
{
    const struct explain_line *a = left;
    const struct explain_line *b = right;

    return strcmp(a->time, b->time);
}

// Returns whether a line is within EXPLAIN_CONTEXT_MS of a line of the
// request.
static bool
explain_is_near_request_line(const struct explain *explain,
                             const struct explain_line *line)
{
    for (size_t i = 0; i < explain->request_times_count; i++) {
        if (llabs(explain->request_times_ms[i] - line->time_of_day_ms) <=
            EXPLAIN_CONTEXT_MS) {
            return true;
        }
    }
    return false;
}

// Sentences for the events of a request.
static const struct {
    const char *event;
    const char *format;
    const char *keys[5];
} explain_sentences[] = {
    {"request_refused",
     "refused, not run: %s (waited %s ms, term %s, %s ms left of the lease); "
     "may be retried after %s ms",
     {"reason", "waited_ms", "term", "lease_left_ms", "retry_after_ms"}},
    {"statement_refused", "refused with %s, not run: %s", {"code", "reason"}},
    {"request_unknown",
     "unknown outcome at upstream %s: %s (after %s ms, term %s, %s ms left of "
     "the lease)",
     {"upstream", "reason", "waited_ms", "term", "lease_left_ms"}},
    {"request_sent_again",
     "sent again, attempt %s, to upstream %s: %s",
     {"attempt", "upstream", "reason"}},
    {"request_sent",
     "%s of database %s sent to upstream %s: %s",
     {"class", "database", "upstream", "reason"}},
};

// Prints a log line of the request as a sentence.
static void
explain_print_request_line(struct json_object *object)
{
    const char *event = explain_get_text(object, "event");

    for (size_t i = 0; i < ARRAY_SIZE(explain_sentences); i++) {
        if (strcmp(explain_sentences[i].event, event) == 0) {
            explain_print_members(object, explain_sentences[i].format,
                                  explain_sentences[i].keys);
            return;
        }
    }
    cli_print_text(event, 0);
}

// Prints a context event with its members as key=value.
static void
explain_print_context_line(struct json_object *object)
{
    cli_print_text(explain_get_text(object, "event"), 0);
    json_object_object_foreach(object, key, value)
    {
        if (strcmp(key, "time") != 0 && strcmp(key, "vm") != 0 &&
            strcmp(key, "level") != 0 && strcmp(key, "event") != 0) {
            (void)putchar(' ');
            cli_print_text(key, 0);
            (void)putchar('=');
            cli_print_text(value == NULL ? "" : json_object_get_string(value),
                           0);
        }
    }
}

static void
explain_print(const struct explain *explain)
{
    for (size_t i = 0; i < explain->count; i++) {
        const struct explain_line *line = &explain->lines[i];
        if (!line->is_request &&
            !explain_is_near_request_line(explain, line)) {
            continue;
        }
        cli_print_text(line->time, 0);
        (void)fputs(line->is_request ? " " : "   ", stdout);
        cli_print_text(explain_get_text(line->object, "vm"), 0);
        (void)fputs(": ", stdout);
        if (line->is_request) {
            explain_print_request_line(line->object);
        }
        else {
            explain_print_context_line(line->object);
        }
        (void)printf("\n");
    }
}

static int
cli_run_explain(const struct cli_options *options, int argc, char **argv)
{
    struct explain explain = {0};
    int code = CLI_EXIT_OK;

    (void)options;
    if (argc < 3) {
        return cli_fail_usage(argv[0], "needs an id and a log file");
    }
    (void)pairs_append_text(explain.id, 0, sizeof(explain.id), argv[1]);
    for (int i = 2; i < argc && code == CLI_EXIT_OK; i++) {
        code = explain_read_file(&explain, argv[i]);
    }
    if (code == CLI_EXIT_OK && explain.request_times_count == 0) {
        code = cli_fail("no line has the id %s: the request succeeded and its "
                        "lines were rate limited, or its log is missing",
                        explain.id);
    }
    else if (code == CLI_EXIT_OK) {
        qsort(explain.lines, explain.count, sizeof(*explain.lines),
              explain_compare);
        explain_print(&explain);
    }
    for (size_t i = 0; i < explain.count; i++) {
        free(explain.lines[i].time);
        json_object_put(explain.lines[i].object);
    }
    free(explain.lines);
    free(explain.request_times_ms);
    return code;
}

const struct cli_verb cli_verb_explain = {
    .name = "explain",
    .args = "ID FILE...",
    .help = "show from collected JSON logs what happened to a request",
    .run = cli_run_explain,
};
