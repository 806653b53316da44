#ifndef CATKINGRADE_PLUGINS_HTTP_H
#define CATKINGRADE_PLUGINS_HTTP_H

#include <stddef.h>

// The HTTP side of a daemon: health for the balancer, counters for scrapers,
// and the calls of routes that other parts add, such as announcements of
// upstreams.
struct http;

// One call of a route. It is handled on the control loop; reply to it exactly
// once, then or later.
struct http_call;

typedef void (*http_handle_fn)(void *data, struct http_call *call);

struct http_route {
    const char *method;
    const char *path; // whole, or its beginning when it ends with a slash
    size_t max_body_bytes;
    http_handle_fn handle;
    void *data;
};

void http_add_route(struct http *http, const struct http_route *route);
void http_remove_routes(struct http *http, const void *data);
// The part of the path behind that of the route.
const char *http_call_get_path_suffix(const struct http_call *call);
const char *http_call_get_body(const struct http_call *call, size_t *size);
void http_call_reply(struct http_call *call, unsigned status, const char *type,
                     const void *body, size_t size_bytes);
void http_call_reply_outcome(struct http_call *call, int outcome,
                             const char *text);

#endif
