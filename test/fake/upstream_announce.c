#include <arpa/inet.h>
#include <errno.h>
#include <json-c/json.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/settings.h"
#include "test/fake/upstream.h"

// Posts the state of a stand-in upstream to HTTP servers (POST /announce) at a
// fixed interval, one connection for each announcement.

#define ANNOUNCE_INTERVAL_US 300000
#define ANNOUNCE_TIMEOUT_US  1000000
#define ANNOUNCE_READ_BYTES  4096

// An HTTP server that receives the announcements of this upstream.
struct announce_target {
    struct announcer *announcer;
    struct settings_address address;
    int fd; // -1: no announcement in flight
    struct loop_watch *watch;
    int64_t started_us; // start of the connect
    bool sent;          // the request was sent; the response is awaited
};

struct announcer {
    struct upstream *upstream;
    struct loop_timer *timer;
    struct announce_target targets[UPSTREAM_MAX_ANNOUNCE];
};

static void
announce_close(struct announce_target *target)
{
    if (target->fd < 0) {
        return;
    }
    loop_watch_destroy(target->watch);
    target->watch = NULL;
    close(target->fd);
    target->fd = -1;
}

static char *
announce_build_body(const struct upstream *upstream)
{
    const struct upstream_options *options = &upstream->options;
    struct json_object *body = json_object_new_object();

    json_object_object_add(body, "database",
                           json_object_new_string(options->database));
    json_object_object_add(body, "name",
                           json_object_new_string(options->name));
    json_object_object_add(body, "failure_domain",
                           json_object_new_string(options->failure_domain));
    if (options->group != NULL) {
        json_object_object_add(body, "group",
                               json_object_new_string(options->group));
    }
    json_object_object_add(body, "host",
                           json_object_new_string(options->host));
    json_object_object_add(body, "port", json_object_new_int(options->port));
    json_object_object_add(body, "slots",
                           json_object_new_int((int)options->slots));
    json_object_object_add(body, "connections",
                           json_object_new_int((int)options->connections));
    json_object_object_add(
        body, "state",
        json_object_new_string(upstream->leaving ? "leaving" : "ready"));
    char *text = xstrdup(json_object_to_json_string(body));
    json_object_put(body);
    return text;
}

static void
announce_send(struct announce_target *target)
{
    char *body = announce_build_body(target->announcer->upstream);
    char *request = xasprintf(
        "POST /announce HTTP/1.1\r\nHost: %s:%u\r\n"
        "Content-Type: application/json\r\n"
        "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
        target->address.host, target->address.port, strlen(body), body);
    ssize_t size = (ssize_t)strlen(request);

    if (send(target->fd, request, (size_t)size, MSG_NOSIGNAL) != size) {
        announce_close(target);
    }
    target->sent = true;
    free(request);
    free(body);
}

// Sends the announcement once connected, then reads and discards the response
// until the server closes the connection.
static void
announce_handle_events(void *data, unsigned events)
{
    struct announce_target *target = data;
    char answer[ANNOUNCE_READ_BYTES];

    if (!target->sent) {
        if ((events & LOOP_ERROR) != 0) {
            announce_close(target);
            return;
        }
        announce_send(target);
        if (target->fd >= 0) {
            loop_watch_set_events(target->watch, LOOP_READ);
        }
        return;
    }
    ssize_t size = recv(target->fd, answer, sizeof(answer), MSG_DONTWAIT);
    if (size == 0 || (size < 0 && errno != EAGAIN)) {
        announce_close(target);
    }
}

static void
announce_open(struct announce_target *target, int64_t now_us)
{
    struct sockaddr_in address = {.sin_family = AF_INET};

    address.sin_port = htons(target->address.port);
    if (inet_pton(AF_INET, target->address.host, &address.sin_addr) != 1) {
        return;
    }
    target->fd =
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (target->fd < 0) {
        return;
    }
    if (connect(target->fd, (struct sockaddr *)&address, sizeof(address)) !=
            0 &&
        errno != EINPROGRESS) {
        close(target->fd);
        target->fd = -1;
        return;
    }
    target->sent = false;
    target->started_us = now_us;
    target->watch =
        loop_watch_create(target->announcer->upstream->loop, target->fd,
                          LOOP_WRITE, announce_handle_events, target);
}

static void
announcer_run(void *data)
{
    struct announcer *announcer = data;
    struct upstream *upstream = announcer->upstream;
    int64_t now_us = loop_get_now_us(upstream->loop);

    loop_timer_set(announcer->timer, now_us + ANNOUNCE_INTERVAL_US);
    for (size_t i = 0; i < upstream->options.announce_count; i++) {
        struct announce_target *target = &announcer->targets[i];
        if (target->fd >= 0 &&
            now_us - target->started_us > ANNOUNCE_TIMEOUT_US) {
            announce_close(target);
        }
        if (target->fd < 0 && !upstream->faults.no_announcements) {
            announce_open(target, now_us);
        }
    }
}

// Starts the announcements to all configured addresses; the first ones are
// sent at once.
struct announcer *
fake_announcer_create(struct upstream *upstream)
{
    struct announcer *announcer = xcalloc(1, sizeof(*announcer));

    announcer->upstream = upstream;
    for (size_t i = 0; i < upstream->options.announce_count; i++) {
        struct announce_target *target = &announcer->targets[i];
        target->announcer = announcer;
        target->fd = -1;
        (void)settings_parse_address(upstream->options.announce[i],
                                     &target->address);
    }
    announcer->timer =
        loop_timer_create(upstream->loop, announcer_run, announcer);
    loop_timer_set(announcer->timer, 0);
    return announcer;
}

// Closes announcements in flight and frees the announcer.
void
fake_announcer_destroy(struct announcer *announcer)
{
    for (size_t i = 0; i < announcer->upstream->options.announce_count; i++) {
        announce_close(&announcer->targets[i]);
    }
    loop_timer_destroy(announcer->timer);
    free(announcer);
}
