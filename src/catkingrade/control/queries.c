#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "catkingrade/control/control_state.h"
#include "catkingrade/control/lease_agent.h"
#include "catkingrade/entry/entry.h"
#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/json_text.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/kernel/settings.h"
#include "catkingrade/kernel/timeline.h"

// Queries about this daemon itself: status, groups, timeline and counters.

#define QUERIES_TIMELINE_PAGE_EVENTS 80

static void
queries_append_groups(const struct control *control, struct buffer *json)
{
    buffer_append_text(json, "[");
    for (size_t i = 0; i < control->hosts_count; i++) {
        buffer_append_text(json, i == 0 ? "" : ",");
        group_host_describe(control->hosts[i], json);
    }
    buffer_append_text(json, "]");
}

// Appends a JSON array with one object, the status of this daemon.
static void
queries_append_status(const struct control *control, struct buffer *json)
{
    struct daemon *daemon = control->daemon;
    const struct settings *settings = daemon->settings;

    buffer_append_text(json, "[{\"vm\":");
    json_text_append(json, settings->vm);
    buffer_append_text(json, ",\"failure_domain\":");
    json_text_append(json, settings->failure_domain);
    buffer_append_format(
        json,
        ",\"version\":\"%s\","
        "\"entry\":%s,\"control\":%s,\"ready\":%s,\"draining\":%s,"
        "\"sessions\":%" PRIu64 ",\"groups\":",
        CATKINGRADE_VERSION,
        (settings->roles & SETTINGS_ROLE_ENTRY) != 0 ? "true" : "false",
        (settings->roles & SETTINGS_ROLE_CONTROL) != 0 ? "true" : "false",
        atomic_load(&daemon->ready) ? "true" : "false",
        atomic_load(&daemon->draining) ? "true" : "false",
        daemon->entry == NULL ? (uint64_t)0
                              : entry_get_sessions_count(daemon->entry));
    queries_append_groups(control, json);
    buffer_append_text(json, ",\"leases\":");
    if (daemon->lease_agent == NULL) {
        buffer_append_text(json, "[]");
    }
    else {
        lease_agent_describe(daemon->lease_agent, json);
    }
    buffer_append_text(json, "}]");
}

static struct json_object *
queries_event_to_json(const struct settings *settings,
                      const struct timeline_event *event)
{
    struct json_object *row = json_object_new_object();

    json_object_object_add(row, "vm", json_object_new_string(settings->vm));
    json_object_object_add(row, "sequence",
                           json_object_new_uint64(event->sequence));
    json_object_object_add(row, "hlc", json_object_new_uint64(event->hlc));
    json_object_object_add(row, "kind", json_object_new_string(event->kind));
    json_object_object_add(row, "customer",
                           json_object_new_string(event->customer));
    json_object_object_add(row, "upstream",
                           json_object_new_string(event->upstream));
    json_object_object_add(row, "session",
                           json_object_new_uint64(event->session));
    json_object_object_add(row, "text", json_object_new_string(event->text));
    return row;
}

// Appends a page of timeline events after the cursor, the sequence number of
// the last event already read. Returns the next cursor, 0 at the end.
static uint64_t
queries_append_timeline(const struct control *control, uint64_t cursor,
                        struct buffer *json)
{
    struct timeline_event *events =
        xcalloc(QUERIES_TIMELINE_PAGE_EVENTS, sizeof(*events));
    struct json_object *rows = json_object_new_array();
    size_t count = timeline_read(cursor, events, QUERIES_TIMELINE_PAGE_EVENTS);

    for (size_t i = 0; i < count; i++) {
        json_object_array_add(
            rows,
            queries_event_to_json(control->daemon->settings, &events[i]));
    }
    buffer_append_text(
        json, json_object_to_json_string_ext(rows, JSON_C_TO_STRING_PLAIN));
    json_object_put(rows);
    uint64_t next =
        count == QUERIES_TIMELINE_PAGE_EVENTS ? events[count - 1].sequence : 0;
    free(events);
    return next;
}

static void
queries_append_counters(struct buffer *json)
{
    buffer_append_text(json, "[{");
    for (int i = 0; i < COUNTER_COUNT; i++) {
        buffer_append_format(json, "%s\"%s\":%" PRIu64, i == 0 ? "" : ",",
                             counter_get_name((enum counter)i),
                             counter_get((enum counter)i));
    }
    buffer_append_text(json, "}]");
}

// Handles a query about this daemon itself and replies to it.
void
control_handle_daemon_query(struct control *control,
                            struct rpcnet_request *request,
                            const struct ck_query_args *args)
{
    struct ck_query_result reply = {.leader_host = "", .message = ""};
    struct buffer json = {0};

    switch (args->kind) {
    case CK_QUERY_TIMELINE:
        reply.next_cursor =
            queries_append_timeline(control, args->cursor, &json);
        break;
    case CK_QUERY_COUNTERS:
        queries_append_counters(&json);
        break;
    case CK_QUERY_GROUPS:
        queries_append_groups(control, &json);
        break;
    default:
        queries_append_status(control, &json);
        break;
    }
    buffer_append_u8(&json, 0);
    reply.json = (char *)json.data + json.start;
    rpcnet_reply(request, &reply);
    buffer_free(&json);
}
