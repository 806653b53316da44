#include <stdio.h>
#include <string.h>

#include "catkingrade/cli/output.h"
#include "catkingrade/cli/timeline_merge.h"

#define HTML_WIDTH_PX         1200
#define HTML_LANE_HEIGHT_PX   44
#define HTML_LABEL_WIDTH_PX   140
#define HTML_MAX_LANES        256
#define HTML_DOT_RADIUS_PX    5
#define HTML_HLC_COUNTER_BITS 16
#define HTML_TIME_TEXT_SIZE   40

// One lane for each VM, in the order of its first event.
struct html_lanes {
    const char *names[HTML_MAX_LANES];
    size_t count;
};

static size_t
html_get_or_add_lane(struct html_lanes *lanes, const char *vm)
{
    for (size_t i = 0; i < lanes->count; i++) {
        if (strcmp(lanes->names[i], vm) == 0) {
            return i;
        }
    }
    if (lanes->count < HTML_MAX_LANES) {
        lanes->names[lanes->count++] = vm;
    }
    return lanes->count - 1;
}

static void
html_print_text(const char *text)
{
    for (; *text != '\0'; text++) {
        switch (*text) {
        case '<':
            (void)fputs("&lt;", stdout);
            break;
        case '>':
            (void)fputs("&gt;", stdout);
            break;
        case '&':
            (void)fputs("&amp;", stdout);
            break;
        case '"':
            (void)fputs("&quot;", stdout);
            break;
        default:
            (void)putchar(*text);
            break;
        }
    }
}

static const char *
html_get_colour(const char *kind)
{
    static const char *const rows[][2] = {
        {"promot", "#2a9d3a"}, {"primary", "#2a9d3a"}, {"supersed", "#d1342f"},
        {"lost", "#d1342f"},   {"suspect", "#e08a1e"}, {"revok", "#e08a1e"},
        {"gap", "#000000"},    {"stop", "#7d7d7d"},
    };

    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        if (strstr(kind, rows[i][0]) != NULL) {
            return rows[i][1];
        }
    }
    return "#2f6fb5";
}

static void
html_print_tooltip(struct json_object *event)
{
    char time[HTML_TIME_TEXT_SIZE];

    cli_format_hlc(cli_get_number(event, "hlc"), time, sizeof(time));
    (void)printf("<title>%s ", time);
    html_print_text(cli_get_text(event, "kind"));
    (void)putchar(' ');
    html_print_text(cli_get_text(event, "upstream"));
    (void)putchar(' ');
    html_print_text(cli_get_text(event, "text"));
    (void)fputs("</title>", stdout);
}

static void
html_print_dots(const struct timeline_merge *merge, struct html_lanes *lanes)
{
    size_t count = json_object_array_length(merge->events);
    struct json_object *first = json_object_array_get_idx(merge->events, 0);
    struct json_object *last =
        json_object_array_get_idx(merge->events, count - 1);
    uint64_t start = cli_get_number(first, "hlc") >> HTML_HLC_COUNTER_BITS;
    uint64_t end = cli_get_number(last, "hlc") >> HTML_HLC_COUNTER_BITS;
    uint64_t span = end > start ? end - start : 1;

    for (size_t i = 0; i < count; i++) {
        struct json_object *event =
            json_object_array_get_idx(merge->events, i);
        uint64_t ms = cli_get_number(event, "hlc") >> HTML_HLC_COUNTER_BITS;
        size_t lane = html_get_or_add_lane(lanes, cli_get_text(event, "vm"));
        uint64_t x =
            HTML_LABEL_WIDTH_PX +
            (ms - start) * (HTML_WIDTH_PX - HTML_LABEL_WIDTH_PX - 20) / span;
        (void)printf("<circle cx=\"%llu\" cy=\"%zu\" r=\"%d\" fill=\"%s\">",
                     (unsigned long long)x,
                     lane * HTML_LANE_HEIGHT_PX + HTML_LANE_HEIGHT_PX / 2,
                     HTML_DOT_RADIUS_PX,
                     html_get_colour(cli_get_text(event, "kind")));
        html_print_tooltip(event);
        (void)fputs("</circle>\n", stdout);
    }
}

static void
html_print_lanes(const struct html_lanes *lanes)
{
    for (size_t i = 0; i < lanes->count; i++) {
        size_t y = i * HTML_LANE_HEIGHT_PX + HTML_LANE_HEIGHT_PX / 2;
        (void)printf("<line x1=\"%d\" x2=\"%d\" y1=\"%zu\" y2=\"%zu\" "
                     "stroke=\"#ccc\"/><text x=\"4\" y=\"%zu\">",
                     HTML_LABEL_WIDTH_PX, HTML_WIDTH_PX, y, y, y + 4);
        html_print_text(lanes->names[i]);
        (void)fputs("</text>\n", stdout);
    }
}

static void
html_print_rows(const struct timeline_merge *merge)
{
    static const char *const keys[] = {"vm",       "kind",    "customer",
                                       "upstream", "session", "text"};

    for (size_t i = 0; i < json_object_array_length(merge->events); i++) {
        struct json_object *event =
            json_object_array_get_idx(merge->events, i);
        char time[HTML_TIME_TEXT_SIZE];
        cli_format_hlc(cli_get_number(event, "hlc"), time, sizeof(time));
        (void)printf("<tr><td>%s</td>", time);
        for (size_t k = 0; k < sizeof(keys) / sizeof(keys[0]); k++) {
            (void)fputs("<td>", stdout);
            html_print_text(cli_get_text(event, keys[k]));
            (void)fputs("</td>", stdout);
        }
        (void)fputs("</tr>\n", stdout);
    }
}

// Prints a page that needs nothing else: a picture with a lane for each VM,
// and the events as a table.
void
timeline_print_html(const struct timeline_merge *merge)
{
    struct html_lanes lanes = {.count = 0};
    size_t count = json_object_array_length(merge->events);

    for (size_t i = 0; i < count; i++) {
        (void)html_get_or_add_lane(
            &lanes,
            cli_get_text(json_object_array_get_idx(merge->events, i), "vm"));
    }
    (void)fputs("<!DOCTYPE html>\n<html lang=\"en\"><head>"
                "<meta charset=\"utf-8\"><title>catkingrade time line</title>"
                "<style>body{font:13px sans-serif}td,th{padding:1px 8px;"
                "text-align:left}</style></head><body>\n",
                stdout);
    for (size_t i = 0; i < json_object_array_length(merge->unreachable); i++) {
        (void)fputs("<p>not reachable: ", stdout);
        html_print_text(json_object_get_string(
            json_object_array_get_idx(merge->unreachable, i)));
        (void)fputs("</p>\n", stdout);
    }
    if (count > 0) {
        (void)printf("<svg width=\"%d\" height=\"%zu\" "
                     "xmlns=\"http://www.w3.org/2000/svg\">\n",
                     HTML_WIDTH_PX, lanes.count * HTML_LANE_HEIGHT_PX);
        html_print_lanes(&lanes);
        html_print_dots(merge, &lanes);
        (void)fputs("</svg>\n", stdout);
    }
    (void)fputs("<table><tr><th>time</th><th>VM</th><th>event</th>"
                "<th>customer</th><th>upstream</th><th>session</th>"
                "<th>details</th></tr>\n",
                stdout);
    html_print_rows(merge);
    (void)fputs("</table></body></html>\n", stdout);
}
