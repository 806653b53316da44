#include "catkingrade/plugins/http.h"
#include "catkingrade/kernel/address.h"

#include <microhttpd.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <time.h>
#include <unistd.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/daemon.h"
#include "catkingrade/kernel/histogram.h"
#include "catkingrade/kernel/log.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/name.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/kernel/plugin.h"
#include "catkingrade/kernel/settings.h"
#include "catkingrade/kernel/work_time.h"
#include "catkingrade/rpc/datagram.h"

// Upstreams keep a connection each to the daemon that they announce
// themselves to.
#define HTTP_MAX_CONNECTIONS 3000
// Holds the headers of a request. Bodies are stored elsewhere.
#define HTTP_CONNECTION_BYTES     8192
#define HTTP_MAX_ROUTES           16
#define HTTP_CONNECTION_TIMEOUT_S 10
#define HTTP_TEXT_CONTENT_TYPE    "text/plain; charset=utf-8"

// Time for the responses that are left when the daemon stops.
#define HTTP_STOP_LIMIT_MS 500
#define HTTP_STOPPING_TEXT "unavailable: this daemon is stopping\n"
#define HTTP_NS_PER_MS     1000000L
#define HTTP_NS_PER_S      1000000000L

// A request, from its headers until libmicrohttpd has completed it.
struct http_request {
    struct MHD_Connection *connection;
    const struct http_route *route; // NULL: has its response already
    struct http_call *call; // at the control loop, not replied to; or NULL
    char *path_suffix;
    struct buffer body;
    bool too_large;
    bool is_open; // counted in open_count of struct http
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
    pthread_cond_t completed; // open_count has become 0
    size_t open_count;        // requests read whole, response not sent whole
    bool draining;            // further calls are refused
    struct http_call *calls;  // not replied to yet
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

// Keeps the path of a request as it was sent, because the decoded one may
// contain a zero byte, at which the path would end for http_handle_access.
static size_t
http_keep_escapes(void *data, struct MHD_Connection *connection, char *text)
{
    (void)data;
    (void)connection;
    return strlen(text);
}

// Returns the value of a hexadecimal digit, or -1.
static int
http_parse_digit(char digit)
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    digit |= 'a' ^ 'A';
    return digit >= 'a' && digit <= 'f' ? digit - 'a' + 10 : -1;
}

// Decodes the percent-encoded bytes of a path (RFC 3986, 2.1), once. Returns
// NULL if one has no two hexadecimal digits or is zero. The caller frees the
// result.
static char *
http_decode_path(const char *url)
{
    char *path = xstrdup(url);
    char *end = path;

    for (const char *at = url; *at != '\0'; at++) {
        *end = *at;
        if (*at == '%') {
            int high = http_parse_digit(at[1]);
            int low = high < 0 ? -1 : http_parse_digit(at[2]);
            *end = low < 0 ? '\0' : (char)(high * 16 + low);
            at += 2;
        }
        if (*end++ == '\0') {
            free(path);
            return NULL;
        }
    }
    *end = '\0';
    return path;
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

static void
http_free_call(struct http_call *call)
{
    free(call->path_suffix);
    free(call->body);
    free(call);
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
    http_free_call(call);
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

// Replies to a call that no handler gets, and frees it.
static void
http_refuse_call(void *data)
{
    http_call_reply_outcome(data, OUTCOME_UNAVAILABLE,
                            "this daemon is starting or stopping");
}

// Passes a call to the handler of its route. Runs on the control loop.
static void
http_dispatch_call(void *data)
{
    struct http_call *call = data;

    if (call->http == NULL || call->route.handle == NULL) {
        http_refuse_call(call);
        return;
    }
    int64_t begun_us = monotonic_get_us();
    call->route.handle(call->route.data, call);
    int64_t now_us = monotonic_get_us();
    work_time_record(WORK_TIME_HTTP, now_us, now_us - begun_us);
}

// Counts a request, which has been read whole, until its response has been
// sent. The caller must hold the mutex.
static void
http_open_request_locked(struct http *http, struct http_request *request)
{
    request->is_open = true;
    http->open_count++;
}

static struct http_call *
http_create_call(struct http *http, struct http_request *request)
{
    struct http_call *call = xcalloc(1, sizeof(*call));

    call->http = http;
    call->request = request;
    call->route = *request->route;
    call->path_suffix = xstrdup(request->path_suffix);
    call->body_size_bytes = buffer_get_size(&request->body);
    call->body = xmemdupz((const char *)buffer_get_data(&request->body),
                          call->body_size_bytes);
    return call;
}

// Suspends the connection of a request that has been read whole and posts the
// request to the control loop as a call. The reply resumes the connection.
// Returns false, with nothing posted, if the daemon stops.
static bool
http_post_call(struct http *http, struct http_request *request)
{
    pthread_mutex_lock(&http->mutex);
    http_open_request_locked(http, request);
    if (http->draining) {
        pthread_mutex_unlock(&http->mutex);
        return false;
    }
    struct http_call *call = http_create_call(http, request);
    request->call = call;
    call->next = http->calls;
    http->calls = call;
    MHD_suspend_connection(request->connection);
    pthread_mutex_unlock(&http->mutex);
    loop_post(http->daemon->control_loop, http_dispatch_call, http_refuse_call,
              call);
    return true;
}

// Sends a response. Once a stop has begun, the connection ends with it, so
// that the caller's next request goes to another daemon.
static enum MHD_Result
http_respond(struct http *http, struct MHD_Connection *connection,
             unsigned status, const char *content_type, const void *body,
             size_t size_bytes)
{
    struct MHD_Response *response = MHD_create_response_from_buffer(
        size_bytes, (void *)(uintptr_t)body, MHD_RESPMEM_MUST_COPY);

    if (response == NULL) {
        return MHD_NO;
    }
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
                            content_type);
    if (atomic_load(&http->daemon->draining)) {
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    enum MHD_Result result = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return result;
}

static enum MHD_Result
http_respond_text(struct http *http, struct MHD_Connection *connection,
                  unsigned status, const char *text)
{
    return http_respond(http, connection, status, HTTP_TEXT_CONTENT_TYPE, text,
                        strlen(text));
}

// Responds with a page of metrics and empties the buffer.
static enum MHD_Result
http_respond_metrics(struct http *http, struct MHD_Connection *connection,
                     struct buffer *text)
{
    enum MHD_Result result = http_respond(
        http, connection, MHD_HTTP_OK, "text/plain; version=0.0.4",
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
        return draining
                   ? http_respond_text(http, connection,
                                       MHD_HTTP_SERVICE_UNAVAILABLE,
                                       "stopping\n")
                   : http_respond_text(http, connection, MHD_HTTP_OK, "ok\n");
    }
    if (strcmp(url, "/readyz") == 0) {
        return ready && !draining
                   ? http_respond_text(http, connection, MHD_HTTP_OK,
                                       "ready\n")
                   : http_respond_text(http, connection,
                                       MHD_HTTP_SERVICE_UNAVAILABLE,
                                       "not ready\n");
    }
    if (strcmp(url, "/metrics") == 0) {
        counter_append_prometheus(&text);
        histogram_append_prometheus(&text);
        work_time_append_prometheus(&text, monotonic_get_us());
        return http_respond_metrics(http, connection, &text);
    }
    if (strcmp(url, "/metrics/databases") == 0) {
        histogram_append_databases(&text);
        return http_respond_metrics(http, connection, &text);
    }
    return http_respond_text(http, connection, MHD_HTTP_NOT_FOUND,
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
        return http_respond_text(http, request->connection,
                                 MHD_HTTP_CONTENT_TOO_LARGE,
                                 "too_large: the body is too long\n");
    }
    if (request->replied) {
        return http_respond(http, request->connection, request->status,
                            request->content_type, request->reply,
                            request->reply_size_bytes);
    }
    if (!http_post_call(http, request)) {
        return http_respond_text(http, request->connection,
                                 MHD_HTTP_SERVICE_UNAVAILABLE,
                                 HTTP_STOPPING_TEXT);
    }
    return MHD_YES;
}

// path: decoded; NULL if the request cannot be read.
static struct http_request *
http_create_request(struct MHD_Connection *connection,
                    const struct http_route *route, const char *path)
{
    struct http_request *request = xcalloc(1, sizeof(*request));
    size_t prefix_size = route == NULL ? 0 : strlen(route->path);

    request->connection = connection;
    request->route = route;
    request->path_suffix = xstrdup(path == NULL ? "" : path + prefix_size);
    return request;
}

// Where the body of a request ends, from its header fields.
struct http_framing {
    const char *length; // value of Content-Length, or NULL
    bool is_chunked;
    bool is_invalid;
};

// Notes a header field. A name with a space (before the colon, RFC 9112, 5.1)
// would be another field for another reader.
static enum MHD_Result
http_read_field(void *data, enum MHD_ValueKind kind, const char *name,
                const char *value)
{
    struct http_framing *framing = data;

    (void)kind;
    if (!name_is_word(name, strlen(name))) {
        framing->is_invalid = true;
    }
    if (strcasecmp(name, MHD_HTTP_HEADER_CONTENT_LENGTH) == 0) {
        if (value == NULL ||
            (framing->length != NULL && strcmp(framing->length, value) != 0)) {
            framing->is_invalid = true;
        }
        framing->length = value;
    }
    if (strcasecmp(name, MHD_HTTP_HEADER_TRANSFER_ENCODING) == 0) {
        if (framing->is_chunked || value == NULL ||
            strcasecmp(value, "chunked") != 0) {
            framing->is_invalid = true;
        }
        framing->is_chunked = true;
    }
    return MHD_YES;
}

// Returns whether the header of a request says in one way only where its body
// ends (RFC 9112, 6.3). Otherwise a part of the body might be run as a request
// of its own.
static bool
http_is_framed(struct MHD_Connection *connection)
{
    struct http_framing framing = {0};

    (void)MHD_get_connection_values(connection, MHD_HEADER_KIND,
                                    http_read_field, &framing);
    return !framing.is_invalid &&
           !(framing.is_chunked && framing.length != NULL);
}

// Responds to a request that cannot be read, and ends the connection, because
// the next request may begin anywhere.
static enum MHD_Result
http_respond_unreadable(struct MHD_Connection *connection)
{
    static char text[] = "invalid: the request cannot be read\n";
    struct MHD_Response *response = MHD_create_response_from_buffer(
        sizeof(text) - 1, text, MHD_RESPMEM_PERSISTENT);

    if (response == NULL) {
        return MHD_NO;
    }
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
                            HTTP_TEXT_CONTENT_TYPE);
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
    enum MHD_Result result =
        MHD_queue_response(connection, MHD_HTTP_BAD_REQUEST, response);
    MHD_destroy_response(response);
    return result;
}

// Responds to a request that has no route. path: decoded; NULL if the request
// cannot be read.
static enum MHD_Result
http_respond_unrouted(struct http *http, struct http_request *request,
                      const char *method, const char *path)
{
    pthread_mutex_lock(&http->mutex);
    http_open_request_locked(http, request);
    pthread_mutex_unlock(&http->mutex);
    if (path == NULL) {
        return http_respond_unreadable(request->connection);
    }
    if (strcmp(method, MHD_HTTP_METHOD_GET) == 0) {
        return http_handle_builtin_path(http, request->connection, path);
    }
    return http_respond_text(http, request->connection,
                             MHD_HTTP_METHOD_NOT_ALLOWED,
                             "no such call here\n");
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
    char *path = http_is_framed(connection) ? http_decode_path(url) : NULL;
    const struct http_route *route =
        path == NULL ? NULL : http_find_route(http, method, path);
    struct http_request *request =
        http_create_request(connection, route, path);
    enum MHD_Result result = MHD_YES;
    *request_data = request;
    if (route == NULL) {
        result = http_respond_unrouted(http, request, method, path);
    }
    free(path);
    return result;
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
    if (request->is_open && --http->open_count == 0) {
        pthread_cond_signal(&http->completed);
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
            HTTP_CONNECTION_TIMEOUT_S, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
            (size_t)HTTP_CONNECTION_BYTES, MHD_OPTION_NOTIFY_COMPLETED,
            http_handle_completed, http, MHD_OPTION_UNESCAPE_CALLBACK,
            http_keep_escapes, NULL, MHD_OPTION_END);
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
    pthread_condattr_t attributes;

    http->daemon = daemon;
    pthread_mutex_init(&http->mutex, NULL);
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(&http->completed, &attributes);
    pthread_condattr_destroy(&attributes);
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

// Refuses further calls from now on.
static void
http_drain(struct daemon *daemon)
{
    struct http *http = daemon->http;

    pthread_mutex_lock(&http->mutex);
    http->draining = true;
    pthread_mutex_unlock(&http->mutex);
}

// Returns whether each request that was read whole has its whole response.
static bool
http_is_drained(struct daemon *daemon)
{
    struct http *http = daemon->http;

    pthread_mutex_lock(&http->mutex);
    bool drained = http->open_count == 0;
    pthread_mutex_unlock(&http->mutex);
    return drained;
}

// Replies to all pending calls with status 503. libmicrohttpd must not be
// stopped while a connection is suspended.
static void
http_abort_calls(struct http *http)
{
    pthread_mutex_lock(&http->mutex);
    while (http->calls != NULL) {
        struct http_call *call = http->calls;
        http->calls = call->next;
        http_store_reply_locked(call, MHD_HTTP_SERVICE_UNAVAILABLE,
                                HTTP_TEXT_CONTENT_TYPE, HTTP_STOPPING_TEXT,
                                sizeof(HTTP_STOPPING_TEXT) - 1);
        call->http = NULL;
    }
    pthread_mutex_unlock(&http->mutex);
}

// Waits until all responses have been sent, at most HTTP_STOP_LIMIT_MS.
static void
http_wait_responses(struct http *http)
{
    struct timespec until;
    int result = 0;

    (void)clock_gettime(CLOCK_MONOTONIC, &until);
    until.tv_nsec += HTTP_STOP_LIMIT_MS * HTTP_NS_PER_MS;
    until.tv_sec += until.tv_nsec / HTTP_NS_PER_S;
    until.tv_nsec %= HTTP_NS_PER_S;
    pthread_mutex_lock(&http->mutex);
    while (http->open_count > 0 && result == 0) {
        result =
            pthread_cond_timedwait(&http->completed, &http->mutex, &until);
    }
    pthread_mutex_unlock(&http->mutex);
}

// Stops accepting connections. Returns the listening socket, to be closed when
// the server has been stopped, or -1.
static int
http_quiesce_server(struct MHD_Daemon *server)
{
    return server == NULL ? -1 : MHD_quiesce_daemon(server);
}

static void
http_stop_server(struct MHD_Daemon *server, int listen_fd)
{
    if (server != NULL) {
        MHD_stop_daemon(server);
    }
    if (listen_fd >= 0) {
        close(listen_fd);
    }
}

// Answers the calls that are left, lets the responses leave and frees the
// server.
static void
http_stop(struct daemon *daemon)
{
    struct http *http = daemon->http;
    int listen_fd = http_quiesce_server(http->server);
    int metrics_fd = http_quiesce_server(http->metrics_server);

    http_drain(daemon);
    daemon->http = NULL;
    http_abort_calls(http);
    http_wait_responses(http);
    http_stop_server(http->server, listen_fd);
    http_stop_server(http->metrics_server, metrics_fd);
    pthread_cond_destroy(&http->completed);
    pthread_mutex_destroy(&http->mutex);
    free(http);
}

static const struct plugin http_plugin = {
    .name = "http",
    .order = 40,
    .is_enabled = http_is_enabled,
    .start = http_start,
    .drain = http_drain,
    .is_drained = http_is_drained,
    .stop = http_stop,
};

PLUGIN_REGISTER(http_plugin)
