#ifndef CATKINGRADE_CLI_TIMELINE_MERGE_H
#define CATKINGRADE_CLI_TIMELINE_MERGE_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

#include "catkingrade/cli/client.h"

// What of the time line is wanted; NULL, 0 or -1 stand for all.
struct timeline_filter {
    const char *customer;
    const char *upstream;
    const char *vm;
    uint64_t session;
    int64_t since_ms; // since 1970
};

// The events of all daemons. A gap is an event of kind "gap".
struct timeline_merge {
    struct json_object *events;      // in the order of the hybrid clock
    struct json_object *unreachable; // daemons that did not answer
};

void timeline_merge_fetch(struct cli_client *client,
                          const struct cli_options *options,
                          const struct timeline_filter *filter,
                          struct timeline_merge *merge);
// Adds one daemon's events, which are in the order of their sequence.
void timeline_merge_add(struct timeline_merge *merge,
                        struct json_object *events,
                        const struct timeline_filter *filter);
void timeline_merge_sort(struct timeline_merge *merge);
void timeline_merge_free(struct timeline_merge *merge);

uint64_t cli_get_number(struct json_object *event, const char *key);
// Writes the moment as UTC with milliseconds.
void cli_format_hlc(uint64_t hlc, char *text, size_t size);

void timeline_print_html(const struct timeline_merge *merge);

#endif
