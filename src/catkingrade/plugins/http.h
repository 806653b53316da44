#ifndef CATKINGRADE_PLUGINS_HTTP_H
#define CATKINGRADE_PLUGINS_HTTP_H

#include <stddef.h>

// HTTP server of a daemon, based on libmicrohttpd. It serves the health checks
// of load balancers (/healthz, /readyz), metrics in the Prometheus text format
// (/metrics, and by database /metrics/databases), and routes that other
// modules add, such as the announcements of upstreams.
struct http;

// A request to a route. Its handler runs on the control loop and must reply
// exactly once, before or after it returns. The reply frees the call.
struct http_call;

typedef void (*http_handle_fn)(void *data, struct http_call *call);

struct http_route {
    const char *method;
    const char *path; // exact path; a prefix if it ends with a slash
    size_t max_body_bytes;
    http_handle_fn handle;
    void *data;
};

void http_add_route(struct http *http, const struct http_route *route);
void http_remove_routes(struct http *http, const void *data);
const char *http_call_get_path_suffix(const struct http_call *call);
const char *http_call_get_body(const struct http_call *call, size_t *size);
void http_call_reply(struct http_call *call, unsigned status,
                     const char *content_type, const void *body,
                     size_t size_bytes);
void http_call_reply_outcome(struct http_call *call, int outcome,
                             const char *text);

#endif
