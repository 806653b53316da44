#include "catkingrade/plugins/http.h"

#include <microhttpd.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/daemon.h"
#include "catkingrade/kernel/log.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/kernel/plugin.h"
#include "catkingrade/kernel/settings.h"
#include "catkingrade/rpc/datagram.h"

#define HTTP_MAX_BODY_BYTES       16384
#define HTTP_MAX_CONNECTIONS      256
#define HTTP_CONNECTION_TIMEOUT_S 10

// A request while libmicrohttpd holds its connection.
struct http_request {
    struct MHD_Connection *connection;
    struct http_announcement *announcement; // out on the control loop
    struct buffer body;
    bool too_large;
    bool answered;
    unsigned status;
    char *text;
};

struct http_announcement {
    struct http *http;
    struct http_request *request; // NULL once its connection is gone
    char *body;
    struct http_announcement *next;
};

struct http {
    struct MHD_Daemon *server;
    struct daemon *daemon;
    pthread_mutex_t mutex;
    struct http_announcement *announcements; // without a reply so far
    http_announce_fn announce;
    void *announce_data;
};

// Sets who decides on announcements; without one they are refused with 503.
void
http_set_announce(struct http *http, http_announce_fn announce, void *data)
{
    pthread_mutex_lock(&http->mutex);
    http->announce = announce;
    http->announce_data = data;
    pthread_mutex_unlock(&http->mutex);
}

static unsigned
http_get_status(int outcome)
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

static void
http_unlink_announcement(struct http_announcement *announcement)
{
    struct http_announcement **place = &announcement->http->announcements;

    while (*place != NULL && *place != announcement) {
        place = &(*place)->next;
    }
    if (*place != NULL) {
        *place = announcement->next;
    }
}

// Marks the request as answered and wakes its connection; the caller holds
// the mutex.
static void
http_answer_locked(struct http_announcement *announcement, int outcome,
                   const char *text)
{
    struct http_request *request = announcement->request;

    if (request == NULL) {
        return;
    }
    announcement->request = NULL;
    request->announcement = NULL;
    request->answered = true;
    request->status = http_get_status(outcome);
    request->text = xasprintf("%s: %s\n", outcome_get_name(outcome), text);
    MHD_resume_connection(request->connection);
}

// Answers an announcement with its outcome and a reason, and frees it.
void
http_announcement_reply(struct http_announcement *announcement, int outcome,
                        const char *text)
{
    struct http *http = announcement->http;

    if (http != NULL) {
        pthread_mutex_lock(&http->mutex);
        http_unlink_announcement(announcement);
        http_answer_locked(announcement, outcome, text);
        pthread_mutex_unlock(&http->mutex);
    }
    free(announcement->body);
    free(announcement);
}

// Hands an announcement to the control thread's decision.
static void
http_run_announcement(void *data)
{
    struct http_announcement *announcement = data;
    struct http *http = announcement->http;

    if (http == NULL || http->announce == NULL) {
        http_announcement_reply(announcement, OUTCOME_UNAVAILABLE,
                                "this daemon takes no announcements yet");
        return;
    }
    http->announce(http->announce_data, announcement, announcement->body);
}

static void
http_post_announcement(struct http *http, struct http_request *request)
{
    struct http_announcement *announcement = xcalloc(1, sizeof(*announcement));

    announcement->http = http;
    announcement->request = request;
    announcement->body =
        xmemdupz((const char *)buffer_get_data(&request->body),
                 buffer_get_size(&request->body));
    request->announcement = announcement;
    pthread_mutex_lock(&http->mutex);
    announcement->next = http->announcements;
    http->announcements = announcement;
    MHD_suspend_connection(request->connection);
    pthread_mutex_unlock(&http->mutex);
    loop_post(http->daemon->control_loop, http_run_announcement, announcement);
}

static enum MHD_Result
http_respond(struct MHD_Connection *connection, unsigned status,
             const char *type, const void *body, size_t size_bytes)
{
    struct MHD_Response *response = MHD_create_response_from_buffer(
        size_bytes, (void *)(uintptr_t)body, MHD_RESPMEM_MUST_COPY);

    if (response == NULL) {
        return MHD_NO;
    }
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, type);
    enum MHD_Result result = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return result;
}

static enum MHD_Result
http_respond_text(struct MHD_Connection *connection, unsigned status,
                  const char *text)
{
    return http_respond(connection, status, "text/plain; charset=utf-8", text,
                        strlen(text));
}

static enum MHD_Result
http_respond_metrics(struct MHD_Connection *connection)
{
    struct buffer text = {0};

    counter_append_prometheus(&text);
    enum MHD_Result result =
        http_respond(connection, MHD_HTTP_OK, "text/plain; version=0.0.4",
                     buffer_get_data(&text), buffer_get_size(&text));
    buffer_free(&text);
    return result;
}

static enum MHD_Result
http_handle_get(struct http *http, struct MHD_Connection *connection,
                const char *url)
{
    bool draining = atomic_load(&http->daemon->draining);
    bool ready = atomic_load(&http->daemon->ready);

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
        return http_respond_metrics(connection);
    }
    return http_respond_text(connection, MHD_HTTP_NOT_FOUND,
                             "no such page; there are /healthz, /readyz, "
                             "/metrics and POST /announce\n");
}

static void
http_take_body(struct http_request *request, const char *data,
               size_t *size_bytes)
{
    if (buffer_get_size(&request->body) + *size_bytes > HTTP_MAX_BODY_BYTES) {
        request->too_large = true;
    }
    else {
        buffer_append(&request->body, data, *size_bytes);
    }
    *size_bytes = 0;
}

static enum MHD_Result
http_handle_announce(struct http *http, struct http_request *request,
                     const char *data, size_t *size_bytes)
{
    if (*size_bytes > 0) {
        http_take_body(request, data, size_bytes);
        return MHD_YES;
    }
    if (request->too_large) {
        return http_respond_text(request->connection,
                                 MHD_HTTP_CONTENT_TOO_LARGE,
                                 "too_large: the body is too long\n");
    }
    if (request->answered) {
        return http_respond_text(request->connection, request->status,
                                 request->text);
    }
    http_post_announcement(http, request);
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
    if (strcmp(method, MHD_HTTP_METHOD_GET) == 0) {
        return http_handle_get(http, connection, url);
    }
    if (strcmp(method, MHD_HTTP_METHOD_POST) != 0 ||
        strcmp(url, "/announce") != 0) {
        return http_respond_text(connection, MHD_HTTP_METHOD_NOT_ALLOWED,
                                 "use GET, or POST /announce\n");
    }
    if (*request_data == NULL) {
        struct http_request *request = xcalloc(1, sizeof(*request));
        request->connection = connection;
        *request_data = request;
        return MHD_YES;
    }
    return http_handle_announce(http, *request_data, upload_data,
                                upload_data_size);
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
    if (request->announcement != NULL) {
        request->announcement->request = NULL;
    }
    pthread_mutex_unlock(&http->mutex);
    buffer_free(&request->body);
    free(request->text);
    free(request);
    *request_data = NULL;
}

static bool
http_wants(const struct settings *settings)
{
    return settings->http.port != 0;
}

static int
http_start(struct daemon *daemon)
{
    const struct settings_address *address = &daemon->settings->http;
    struct sockaddr_storage socket_address;
    struct http *http = xcalloc(1, sizeof(*http));
    unsigned flags = MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_EPOLL |
                     MHD_ALLOW_SUSPEND_RESUME;

    http->daemon = daemon;
    pthread_mutex_init(&http->mutex, NULL);
    if (datagram_fill_address(address, &socket_address) == 0) {
        free(http);
        return OUTCOME_INVALID;
    }
    if (socket_address.ss_family == AF_INET6) {
        flags |= MHD_USE_IPv6;
    }
    http->server = MHD_start_daemon(
        flags, address->port, NULL, NULL, http_handle_access, http,
        MHD_OPTION_SOCK_ADDR, &socket_address, MHD_OPTION_CONNECTION_LIMIT,
        HTTP_MAX_CONNECTIONS, MHD_OPTION_CONNECTION_TIMEOUT,
        HTTP_CONNECTION_TIMEOUT_S, MHD_OPTION_NOTIFY_COMPLETED,
        http_handle_completed, http, MHD_OPTION_END);
    if (http->server == NULL) {
        LOG_ERROR("http_failed", "address=%s:%u", address->host,
                  address->port);
        free(http);
        return OUTCOME_IO;
    }
    daemon->http = http;
    return OUTCOME_OK;
}

// Answers what is still out with 503, so that no connection stays suspended.
static void
http_detach_announcements(struct http *http)
{
    pthread_mutex_lock(&http->mutex);
    while (http->announcements != NULL) {
        struct http_announcement *announcement = http->announcements;
        http->announcements = announcement->next;
        http_answer_locked(announcement, OUTCOME_UNAVAILABLE, "stopping");
        announcement->http = NULL;
    }
    pthread_mutex_unlock(&http->mutex);
}

static void
http_stop(struct daemon *daemon)
{
    struct http *http = daemon->http;

    daemon->http = NULL;
    http_detach_announcements(http);
    MHD_stop_daemon(http->server);
    pthread_mutex_destroy(&http->mutex);
    free(http);
}

static const struct plugin http_plugin = {
    .name = "http",
    .order = 40,
    .wants = http_wants,
    .start = http_start,
    .stop = http_stop,
};

PLUGIN_REGISTER(http_plugin)
