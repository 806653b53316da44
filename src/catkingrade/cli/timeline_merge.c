#include "catkingrade/cli/timeline_merge.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

#include "catkingrade/cli/daemon_list.h"
#include "catkingrade/cli/output.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

#define TIMELINE_HLC_COUNTER_BITS 16
#define TIMELINE_MS_PER_S         1000
#define TIMELINE_MAX_PAGES        10000

// Returns a number of an event; 0 when there is none.
uint64_t
cli_get_number(struct json_object *event, const char *key)
{
    struct json_object *member = NULL;

    json_object_object_get_ex(event, key, &member);
    return json_object_get_uint64(member);
}

// Formats the wall-clock part of a hybrid time.
void
cli_format_hlc(uint64_t hlc, char *text, size_t size)
{
    uint64_t ms = hlc >> TIMELINE_HLC_COUNTER_BITS;
    time_t seconds = (time_t)(ms / TIMELINE_MS_PER_S);
    struct tm parts;

    gmtime_r(&seconds, &parts);
    size_t at = strftime(text, size, "%Y-%m-%dT%H:%M:%S", &parts);
    (void)snprintf(text + at, size - at, ".%03uZ",
                   (unsigned)(ms % TIMELINE_MS_PER_S));
}

static bool
timeline_matches_filter(struct json_object *event,
                        const struct timeline_filter *filter)
{
    if (filter->customer != NULL &&
        strcmp(cli_get_text(event, "customer"), filter->customer) != 0) {
        return false;
    }
    if (filter->upstream != NULL &&
        strcmp(cli_get_text(event, "upstream"), filter->upstream) != 0) {
        return false;
    }
    if (filter->vm != NULL &&
        strcmp(cli_get_text(event, "vm"), filter->vm) != 0) {
        return false;
    }
    if (filter->session != 0 &&
        cli_get_number(event, "session") != filter->session) {
        return false;
    }
    uint64_t ms = cli_get_number(event, "hlc") >> TIMELINE_HLC_COUNTER_BITS;
    return filter->since_ms <= 0 || ms >= (uint64_t)filter->since_ms;
}

// Puts a gap before the event behind it, at the same moment.
static void
timeline_add_gap(struct timeline_merge *merge, struct json_object *next,
                 uint64_t missing)
{
    struct json_object *gap = json_object_new_object();
    char text[64];

    (void)snprintf(text, sizeof(text), "events=%llu overwritten",
                   (unsigned long long)missing);
    json_object_object_add(gap, "vm",
                           json_object_new_string(cli_get_text(next, "vm")));
    json_object_object_add(gap, "sequence", json_object_new_uint64(0));
    json_object_object_add(
        gap, "hlc", json_object_new_uint64(cli_get_number(next, "hlc")));
    json_object_object_add(gap, "kind", json_object_new_string("gap"));
    json_object_object_add(gap, "text", json_object_new_string(text));
    json_object_array_add(merge->events, gap);
}

// Adds the events that are wanted. A sequence number that is missing was
// overwritten in the daemon's ring.
void
timeline_merge_add(struct timeline_merge *merge, struct json_object *events,
                   const struct timeline_filter *filter)
{
    uint64_t expected = 1;

    for (size_t i = 0; i < json_object_array_length(events); i++) {
        struct json_object *event = json_object_array_get_idx(events, i);
        uint64_t sequence = cli_get_number(event, "sequence");
        if (sequence > expected) {
            timeline_add_gap(merge, event, sequence - expected);
        }
        expected = sequence + 1;
        if (timeline_matches_filter(event, filter)) {
            json_object_array_add(merge->events, json_object_get(event));
        }
    }
}

static int
timeline_compare(const void *left, const void *right)
{
    struct json_object *a = *(struct json_object *const *)left;
    struct json_object *b = *(struct json_object *const *)right;
    uint64_t hlc_a = cli_get_number(a, "hlc");
    uint64_t hlc_b = cli_get_number(b, "hlc");

    if (hlc_a != hlc_b) {
        return hlc_a < hlc_b ? -1 : 1;
    }
    int order = strcmp(cli_get_text(a, "vm"), cli_get_text(b, "vm"));
    if (order != 0) {
        return order;
    }
    uint64_t sequence_a = cli_get_number(a, "sequence");
    uint64_t sequence_b = cli_get_number(b, "sequence");
    return (sequence_a > sequence_b) - (sequence_a < sequence_b);
}

// Brings the events into the order of the hybrid clock.
void
timeline_merge_sort(struct timeline_merge *merge)
{
    json_object_array_sort(merge->events, timeline_compare);
}

// Fetches the ring of one daemon. Returns whether all pages came.
static bool
timeline_fetch_daemon(struct cli_client *client,
                      const struct settings_address *address,
                      struct json_object *events)
{
    uint64_t cursor = 0;

    for (int page = 0; page < TIMELINE_MAX_PAGES; page++) {
        struct ck_query_result result;
        if (cli_client_query_daemon(client, address, CK_QUERY_TIMELINE, cursor,
                                    &result) != OUTCOME_OK) {
            return false;
        }
        struct json_object *rows = json_tokener_parse(result.json);
        for (size_t i = 0; json_object_is_type(rows, json_type_array) &&
                           i < json_object_array_length(rows);
             i++) {
            json_object_array_add(
                events, json_object_get(json_object_array_get_idx(rows, i)));
        }
        json_object_put(rows);
        cursor = result.next_cursor;
        codec_free((xdrproc_t)xdr_ck_query_result, &result);
        if (cursor == 0) {
            return true;
        }
    }
    return true;
}

// Fetches and merges the rings of all daemons.
void
timeline_merge_fetch(struct cli_client *client,
                     const struct cli_options *options,
                     const struct timeline_filter *filter,
                     struct timeline_merge *merge)
{
    struct fleet fleet;
    bool registered = false;

    merge->events = json_object_new_array();
    merge->unreachable = json_object_new_array();
    daemon_list_fetch(client, options, &fleet, &registered);
    for (size_t i = 0; i < fleet.count; i++) {
        const struct daemon_list_entry *daemon = &fleet.daemons[i];
        struct json_object *events = json_object_new_array();
        if (!timeline_fetch_daemon(client, &daemon->address, events)) {
            char text[CK_NAME_SIZE + CK_HOST_SIZE + 16];
            (void)snprintf(text, sizeof(text), "%s %s:%u", daemon->vm,
                           daemon->address.host, daemon->address.port);
            json_object_array_add(merge->unreachable,
                                  json_object_new_string(text));
        }
        timeline_merge_add(merge, events, filter);
        json_object_put(events);
    }
    daemon_list_free(&fleet);
    timeline_merge_sort(merge);
}

// Frees the events.
void
timeline_merge_free(struct timeline_merge *merge)
{
    json_object_put(merge->events);
    json_object_put(merge->unreachable);
    memset(merge, 0, sizeof(*merge));
}
