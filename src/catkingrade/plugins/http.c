#include "catkingrade/plugins/http.h"
#include "catkingrade/kernel/address.h"

#include <microhttpd.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/daemon.h"
#include "catkingrade/kernel/histogram.h"
#include "catkingrade/kernel/log.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/kernel/plugin.h"
#include "catkingrade/kernel/settings.h"
#include "catkingrade/rpc/datagram.h"

#define HTTP_MAX_CONNECTIONS      256
#define HTTP_MAX_ROUTES           16
#define HTTP_CONNECTION_TIMEOUT_S 10
#define HTTP_TEXT_CONTENT_TYPE    "text/plain; charset=utf-8"

// A request to a route, from its headers until libmicrohttpd has completed it.
struct http_request {
    struct MHD_Connection *connection;
    const struct http_route *route;
    struct http_call *call; // at the control loop, not replied to; or NULL
    char *path_suffix;
    struct buffer body;
    bool too_large;
    bool replied;
    unsigned status;
    const char *content_type;
    void *reply;
    size_t reply_size_bytes;
};

struct http_call {
    struct http *http;            // NULL once HTTP has stopped
    struct http_request *request; // NULL once its connection is gone
    struct http_route route;
    char *path_suffix;
    char *body;
    size_t body_size_bytes;
    struct http_call *next;
};

struct http {
    struct MHD_Daemon *server;
    struct MHD_Daemon *metrics_server; // at a second address, or NULL
    struct daemon *daemon;
    pthread_mutex_t mutex;
    struct http_call *calls; // not replied to yet
    struct http_route routes[HTTP_MAX_ROUTES];
    size_t routes_count;
};

// Adds a route. Its strings are not copied and must outlive the server. Must
// be called before the first request can arrive, or on the control loop.
void
http_add_route(struct http *http, const struct http_route *route)
{
    pthread_mutex_lock(&http->mutex);
    INVARIANT(http->routes_count < HTTP_MAX_ROUTES);
    http->routes[http->routes_count++] = *route;
    pthread_mutex_unlock(&http->mutex);
}

// Disables all routes whose data is the given pointer. Further calls of these
// routes get status 503.
void
http_remove_routes(struct http *http, const void *data)
{
    pthread_mutex_lock(&http->mutex);
    for (size_t i = 0; i < http->routes_count; i++) {
        if (http->routes[i].data == data) {
            http->routes[i].handle = NULL;
        }
    }
    pthread_mutex_unlock(&http->mutex);
}

static bool
http_route_matches(const struct http_route *route, const char *method,
                   const char *path)
{
    size_t length = strlen(route->path);
    bool is_prefix = route->path[length - 1] == '/';

    if (strcmp(route->method, method) != 0) {
        return false;
    }
    return is_prefix ? strncmp(route->path, path, length) == 0
                     : strcmp(route->path, path) == 0;
}

static const struct http_route *
http_find_route(struct http *http, const char *method, const char *path)
{
    const struct http_route *found = NULL;

    pthread_mutex_lock(&http->mutex);
    for (size_t i = 0; found == NULL && i < http->routes_count; i++) {
        if (http_route_matches(&http->routes[i], method, path)) {
            found = &http->routes[i];
        }
    }
    pthread_mutex_unlock(&http->mutex);
    return found;
}

static unsigned
http_get_outcome_status(int outcome)
{
    switch (outcome) {
    case OUTCOME_OK:
        return MHD_HTTP_OK;
    case OUTCOME_INVALID:
        return MHD_HTTP_BAD_REQUEST;
    case OUTCOME_CONFLICT:
        return MHD_HTTP_CONFLICT;
    case OUTCOME_TOO_LARGE:
        return MHD_HTTP_CONTENT_TOO_LARGE;
    case OUTCOME_NOT_FOUND:
        return MHD_HTTP_NOT_FOUND;
    default:
        return MHD_HTTP_SERVICE_UNAVAILABLE;
    }
}

// Returns the part of the request's path that follows the path of the route.
const char *
http_call_get_path_suffix(const struct http_call *call)
{
    return call->path_suffix;
}

// Returns the body of a call and its size in bytes. A terminating NUL, which
// is not counted, follows the body.
const char *
http_call_get_body(const struct http_call *call, size_t *size)
{
    *size = call->body_size_bytes;
    return call->body;
}

static void
http_unlink_call(struct http_call *call)
{
    struct http_call **link = &call->http->calls;

    while (*link != NULL && *link != call) {
        link = &(*link)->next;
    }
    if (*link != NULL) {
        *link = call->next;
    }
}

// Stores the reply in the request and resumes its connection, so that the
// server thread sends it. The caller must hold the mutex.
static void
http_store_reply_locked(struct http_call *call, unsigned status,
                        const char *content_type, const void *body,
                        size_t size_bytes)
{
    struct http_request *request = call->request;

    if (request == NULL) {
        return;
    }
    call->request = NULL;
    request->call = NULL;
    request->replied = true;
    request->status = status;
    request->content_type = content_type;
    request->reply = xmemdupz(body, size_bytes);
    request->reply_size_bytes = size_bytes;
    MHD_resume_connection(request->connection);
}

// Replies to a call and frees it. The body is copied. content_type is not
// copied and must be a string constant.
void
http_call_reply(struct http_call *call, unsigned status,
                const char *content_type, const void *body, size_t size_bytes)
{
    struct http *http = call->http;

    if (http != NULL) {
        pthread_mutex_lock(&http->mutex);
        http_unlink_call(call);
        http_store_reply_locked(call, status, content_type, body, size_bytes);
        pthread_mutex_unlock(&http->mutex);
    }
    free(call->path_suffix);
    free(call->body);
    free(call);
}

// Replies to a call with the HTTP status of an outcome and frees the call. The
// body is one line with the name of the outcome and text.
void
http_call_reply_outcome(struct http_call *call, int outcome, const char *text)
{
    char *line = xasprintf("%s: %s\n", outcome_get_name(outcome), text);

    http_call_reply(call, http_get_outcome_status(outcome),
                    HTTP_TEXT_CONTENT_TYPE, line, strlen(line));
    free(line);
}

// Passes a call to the handler of its route. Runs on the control loop.
static void
http_dispatch_call(void *data)
{
    struct http_call *call = data;

    if (call->http == NULL || call->route.handle == NULL) {
        http_call_reply_outcome(call, OUTCOME_UNAVAILABLE,
                                "this daemon is starting or stopping");
        return;
    }
    call->route.handle(call->route.data, call);
}

// Suspends the connection of a complete request and posts the request to the
// control loop as a call. The reply resumes the connection.
static void
http_post_call(struct http *http, struct http_request *request)
{
    struct http_call *call = xcalloc(1, sizeof(*call));

    call->http = http;
    call->request = request;
    call->path_suffix = xstrdup(request->path_suffix);
    call->body_size_bytes = buffer_get_size(&request->body);
    call->body = xmemdupz((const char *)buffer_get_data(&request->body),
                          call->body_size_bytes);
    request->call = call;
    pthread_mutex_lock(&http->mutex);
    call->route = *request->route;
    call->next = http->calls;
    http->calls = call;
    MHD_suspend_connection(request->connection);
    pthread_mutex_unlock(&http->mutex);
    loop_post(http->daemon->control_loop, http_dispatch_call, call);
}

static enum MHD_Result
http_respond(struct MHD_Connection *connection, unsigned status,
             const char *content_type, const void *body, size_t size_bytes)
{
    struct MHD_Response *response = MHD_create_response_from_buffer(
        size_bytes, (void *)(uintptr_t)body, MHD_RESPMEM_MUST_COPY);

    if (response == NULL) {
        return MHD_NO;
    }
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
                            content_type);
    enum MHD_Result result = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return result;
}

static enum MHD_Result
http_respond_text(struct MHD_Connection *connection, unsigned status,
                  const char *text)
{
    return http_respond(connection, status, HTTP_TEXT_CONTENT_TYPE, text,
                        strlen(text));
}

// Responds with a page of metrics and empties the buffer.
static enum MHD_Result
http_respond_metrics(struct MHD_Connection *connection, struct buffer *text)
{
    enum MHD_Result result =
        http_respond(connection, MHD_HTTP_OK, "text/plain; version=0.0.4",
                     buffer_get_data(text), buffer_get_size(text));

    buffer_free(text);
    return result;
}

static enum MHD_Result
http_handle_builtin_path(struct http *http, struct MHD_Connection *connection,
                         const char *url)
{
    bool draining = atomic_load(&http->daemon->draining);
    bool ready = atomic_load(&http->daemon->ready);
    struct buffer text = {0};

    if (strcmp(url, "/healthz") == 0) {
        return draining ? http_respond_text(connection,
                                            MHD_HTTP_SERVICE_UNAVAILABLE,
                                            "stopping\n")
                        : http_respond_text(connection, MHD_HTTP_OK, "ok\n");
    }
    if (strcmp(url, "/readyz") == 0) {
        return ready && !draining
                   ? http_respond_text(connection, MHD_HTTP_OK, "ready\n")
                   : http_respond_text(connection,
                                       MHD_HTTP_SERVICE_UNAVAILABLE,
                                       "not ready\n");
    }
    if (strcmp(url, "/metrics") == 0) {
        counter_append_prometheus(&text);
        histogram_append_prometheus(&text);
        return http_respond_metrics(connection, &text);
    }
    if (strcmp(url, "/metrics/databases") == 0) {
        histogram_append_databases(&text);
        return http_respond_metrics(connection, &text);
    }
    return http_respond_text(connection, MHD_HTTP_NOT_FOUND,
                             "no such page; there are /healthz, /readyz, "
                             "/metrics and /metrics/databases\n");
}

// Appends a part of the request's body. A part that would exceed the route's
// limit is dropped, and the request is marked as too large.
static void
http_append_body(struct http_request *request, const char *data,
                 size_t *size_bytes)
{
    size_t limit = request->route->max_body_bytes;

    if (buffer_get_size(&request->body) + *size_bytes > limit) {
        request->too_large = true;
    }
    else {
        buffer_append(&request->body, data, *size_bytes);
    }
    *size_bytes = 0;
}

static enum MHD_Result
http_handle_routed(struct http *http, struct http_request *request,
                   const char *data, size_t *size_bytes)
{
    if (*size_bytes > 0) {
        http_append_body(request, data, size_bytes);
        return MHD_YES;
    }
    if (request->too_large) {
        return http_respond_text(request->connection,
                                 MHD_HTTP_CONTENT_TOO_LARGE,
                                 "too_large: the body is too long\n");
    }
    if (request->replied) {
        return http_respond(request->connection, request->status,
                            request->content_type, request->reply,
                            request->reply_size_bytes);
    }
    http_post_call(http, request);
    return MHD_YES;
}

static enum MHD_Result
http_handle_access(void *data, struct MHD_Connection *connection,
                   const char *url, const char *method, const char *version,
                   const char *upload_data, size_t *upload_data_size,
                   void **request_data)
{
    struct http *http = data;

    (void)version;
    if (*request_data != NULL) {
        return http_handle_routed(http, *request_data, upload_data,
                                  upload_data_size);
    }
    const struct http_route *route = http_find_route(http, method, url);
    if (route != NULL) {
        struct http_request *request = xcalloc(1, sizeof(*request));
        request->connection = connection;
        request->route = route;
        request->path_suffix = xstrdup(url + strlen(route->path));
        *request_data = request;
        return MHD_YES;
    }
    if (strcmp(method, MHD_HTTP_METHOD_GET) == 0) {
        return http_handle_builtin_path(http, connection, url);
    }
    return http_respond_text(connection, MHD_HTTP_METHOD_NOT_ALLOWED,
                             "no such call here\n");
}

static void
http_handle_completed(void *data, struct MHD_Connection *connection,
                      void **request_data,
                      enum MHD_RequestTerminationCode reason)
{
    struct http *http = data;
    struct http_request *request = *request_data;

    (void)connection;
    (void)reason;
    if (request == NULL) {
        return;
    }
    pthread_mutex_lock(&http->mutex);
    if (request->call != NULL) {
        request->call->request = NULL;
    }
    pthread_mutex_unlock(&http->mutex);
    buffer_free(&request->body);
    free(request->path_suffix);
    free(request->reply);
    free(request);
    *request_data = NULL;
}

static bool
http_is_enabled(const struct settings *settings)
{
    return settings->http.port != 0;
}

// Starts a libmicrohttpd server at an address. Returns NULL, after logging
// http_failed, if it cannot listen there.
static struct MHD_Daemon *
http_start_server(struct http *http, const struct settings_address *address)
{
    struct sockaddr_storage socket_address;
    unsigned flags = MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_EPOLL |
                     MHD_ALLOW_SUSPEND_RESUME;
    struct MHD_Daemon *server = NULL;

    if (address_to_sockaddr(address, &socket_address) > 0) {
        flags |= socket_address.ss_family == AF_INET6 ? MHD_USE_IPv6 : 0;
        server = MHD_start_daemon(
            flags, address->port, NULL, NULL, http_handle_access, http,
            MHD_OPTION_SOCK_ADDR, &socket_address, MHD_OPTION_CONNECTION_LIMIT,
            HTTP_MAX_CONNECTIONS, MHD_OPTION_CONNECTION_TIMEOUT,
            HTTP_CONNECTION_TIMEOUT_S, MHD_OPTION_NOTIFY_COMPLETED,
            http_handle_completed, http, MHD_OPTION_END);
    }
    if (server == NULL) {
        LOG_ERROR("http_failed", "address=%s:%u", address->host,
                  address->port);
    }
    return server;
}

static int
http_start(struct daemon *daemon)
{
    const struct settings *settings = daemon->settings;
    struct http *http = xcalloc(1, sizeof(*http));

    http->daemon = daemon;
    pthread_mutex_init(&http->mutex, NULL);
    http->server = http_start_server(http, &settings->http);
    if (http->server != NULL && settings->metrics.port != 0) {
        http->metrics_server = http_start_server(http, &settings->metrics);
    }
    if (http->server == NULL ||
        (settings->metrics.port != 0 && http->metrics_server == NULL)) {
        if (http->server != NULL) {
            MHD_stop_daemon(http->server);
        }
        free(http);
        return OUTCOME_IO;
    }
    daemon->http = http;
    return OUTCOME_OK;
}

// Replies to all pending calls with status 503, because libmicrohttpd must not
// be stopped while a connection is suspended.
static void
http_abort_calls(struct http *http)
{
    static const char text[] = "unavailable: stopping\n";

    pthread_mutex_lock(&http->mutex);
    while (http->calls != NULL) {
        struct http_call *call = http->calls;
        http->calls = call->next;
        http_store_reply_locked(call, MHD_HTTP_SERVICE_UNAVAILABLE,
                                HTTP_TEXT_CONTENT_TYPE, text,
                                sizeof(text) - 1);
        call->http = NULL;
    }
    pthread_mutex_unlock(&http->mutex);
}

static void
http_stop(struct daemon *daemon)
{
    struct http *http = daemon->http;

    daemon->http = NULL;
    http_abort_calls(http);
    MHD_stop_daemon(http->server);
    if (http->metrics_server != NULL) {
        MHD_stop_daemon(http->metrics_server);
    }
    pthread_mutex_destroy(&http->mutex);
    free(http);
}

static const struct plugin http_plugin = {
    .name = "http",
    .order = 40,
    .is_enabled = http_is_enabled,
    .start = http_start,
    .stop = http_stop,
};

PLUGIN_REGISTER(http_plugin)
