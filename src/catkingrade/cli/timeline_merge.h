#ifndef CATKINGRADE_CLI_TIMELINE_MERGE_H
#define CATKINGRADE_CLI_TIMELINE_MERGE_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

#include "catkingrade/cli/client.h"

// Merges the events of all daemons. Each daemon keeps its events in a ring
// buffer, see kernel/timeline.h. Events are JSON objects.

// Selects events. A member that is NULL or 0 selects all events.
struct timeline_filter {
    const char *customer;
    const char *upstream;
    const char *vm;
    uint64_t session;
    int64_t since_ms; // first time, in ms since 1970; negative: all
};

// The merged events. Events that were overwritten in a ring buffer are
// replaced by one event of the kind "gap".
struct timeline_merge {
    struct json_object *events;      // in order of hybrid logical clock
    struct json_object *unreachable; // "VM HOST:PORT" of each silent daemon
};

// Fetches and merges the events of all daemons. The caller frees the result
// with timeline_merge_free().
void timeline_merge_fetch(struct cli_client *client,
                          const struct cli_options *options,
                          const struct timeline_filter *filter,
                          struct timeline_merge *merge);
// Adds the events of one daemon that the filter selects. They must be in order
// of their sequence numbers, which start at 1; a gap event replaces missing
// numbers, whatever the filter.
void timeline_merge_add(struct timeline_merge *merge,
                        struct json_object *events,
                        const struct timeline_filter *filter);
void timeline_merge_sort(struct timeline_merge *merge);
void timeline_merge_free(struct timeline_merge *merge);

// Returns a member of an event as a number; 0 if it is missing.
uint64_t cli_get_number(struct json_object *event, const char *key);
// Formats the time of a hybrid logical clock as ISO 8601 in UTC with
// milliseconds.
void cli_format_hlc(uint64_t hlc, char *text, size_t size);

// Prints a self-contained HTML page: a diagram with one lane for each VM, and
// a table of the events.
void timeline_print_html(const struct timeline_merge *merge);

#endif
