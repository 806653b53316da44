#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "catkingrade/kernel/memory.h"
#include "test/fake/upstream_session.h"

#define CONTROL_LINE_BYTES 512
#define CONTROL_US_PER_MS  1000

// The control port: one command a line, answered by a line.
struct control_port {
    struct upstream *upstream;
    int listen_fd;
    struct loop_watch *watch;
};

struct control_connection {
    struct upstream *upstream;
    int fd;
    struct loop_watch *watch;
    char line[CONTROL_LINE_BYTES];
    size_t line_size;
};

static void
statement_fault_set(struct statement_fault *fault, int64_t amount,
                    const char *pattern)
{
    fault->set = true;
    fault->amount = amount;
    (void)snprintf(fault->pattern, sizeof(fault->pattern), "%s", pattern);
}

static bool
command_refuse(struct upstream *upstream, const char *rest)
{
    (void)rest;
    upstream->faults.refuse = true;
    fake_upstream_stop_listening(upstream);
    return true;
}

static bool
command_silent(struct upstream *upstream, const char *rest)
{
    struct session *session = NULL;

    upstream->faults.silence =
        strcmp(rest, "existing") == 0 ? SILENCE_EXISTING : SILENCE_ALL;
    TAILQ_FOREACH(session, &upstream->sessions, entry)
    {
        session->silent = true;
    }
    return true;
}

// Reads "AMOUNT [PATTERN]".
static bool
command_read_fault(struct statement_fault *fault, const char *rest,
                   int64_t unit)
{
    char *end = NULL;
    long long amount = strtoll(rest, &end, 10);

    if (end == rest || amount < 0) {
        return false;
    }
    statement_fault_set(fault, amount * unit, end + strspn(end, " "));
    return true;
}

static bool
command_cut(struct upstream *upstream, const char *rest)
{
    return command_read_fault(&upstream->faults.cut, rest, 1);
}

static bool
command_late(struct upstream *upstream, const char *rest)
{
    return command_read_fault(&upstream->faults.late, rest, CONTROL_US_PER_MS);
}

static bool
command_drop(struct upstream *upstream, const char *rest)
{
    statement_fault_set(&upstream->faults.drop, 0, rest);
    return true;
}

static bool
command_lag(struct upstream *upstream, const char *rest)
{
    char *end = NULL;
    long long lag_ms = strtoll(rest, &end, 10);

    if (end == rest || *end != '\0' || lag_ms < 0) {
        return false;
    }
    upstream->options.lag_us = lag_ms * CONTROL_US_PER_MS;
    fake_replication_apply_lag(upstream->replication);
    return true;
}

static bool
command_delay(struct upstream *upstream, const char *rest)
{
    upstream->options.statement_us =
        strtoll(rest, NULL, 10) * CONTROL_US_PER_MS;
    return true;
}

static bool
command_leave(struct upstream *upstream, const char *rest)
{
    (void)rest;
    upstream->leaving = true;
    return true;
}

static bool
command_mute(struct upstream *upstream, const char *rest)
{
    (void)rest;
    upstream->faults.no_announcements = true;
    return true;
}

static bool
command_die(struct upstream *upstream, const char *rest)
{
    (void)upstream;
    (void)rest;
    _exit(EXIT_FAILURE);
}

// Ends all faults; sessions that are silent stay so.
static bool
command_clear(struct upstream *upstream, const char *rest)
{
    (void)rest;
    memset(&upstream->faults, 0, sizeof(upstream->faults));
    upstream->leaving = false;
    return fake_upstream_listen(upstream) == 0;
}

static const struct {
    const char *name;
    bool (*run)(struct upstream *upstream, const char *rest);
} commands[] = {
    {"refuse", command_refuse}, // close the port
    {"silent", command_silent}, // "silent", or "silent existing"
    {"cut", command_cut},       // BYTES of the next answer [PATTERN]
    {"drop", command_drop},     // cut before the statement [PATTERN]
    {"late", command_late},     // MS for each answer [PATTERN]
    {"lag", command_lag},       // MS
    {"delay", command_delay},   // MS that each statement takes
    {"leave", command_leave},   // announce "leaving"
    {"mute", command_mute},     // announce nothing
    {"die", command_die},       {"clear", command_clear},
};

// Runs one command. Returns false when it is not known or wrong.
bool
fake_upstream_run_command(struct upstream *upstream, const char *line)
{
    size_t length = strcspn(line, " ");
    const char *rest = line + length + strspn(line + length, " ");

    for (size_t i = 0; i < ARRAY_SIZE(commands); i++) {
        if (strlen(commands[i].name) == length &&
            strncmp(commands[i].name, line, length) == 0) {
            return commands[i].run(upstream, rest);
        }
    }
    return false;
}

static void
control_connection_close(struct control_connection *connection)
{
    loop_watch_destroy(connection->watch);
    close(connection->fd);
    free(connection);
}

static void
control_connection_handle(void *data, unsigned events)
{
    struct control_connection *connection = data;
    size_t room = sizeof(connection->line) - connection->line_size - 1;
    ssize_t size =
        recv(connection->fd, connection->line + connection->line_size, room,
             MSG_DONTWAIT);

    (void)events;
    if (size <= 0) {
        control_connection_close(connection);
        return;
    }
    connection->line_size += (size_t)size;
    connection->line[connection->line_size] = '\0';
    char *newline = strchr(connection->line, '\n');
    while (newline != NULL) {
        *newline = '\0';
        bool ran =
            fake_upstream_run_command(connection->upstream, connection->line);
        (void)send(connection->fd, ran ? "ok\n" : "no\n", 3, MSG_NOSIGNAL);
        connection->line_size -= (size_t)(newline + 1 - connection->line);
        memmove(connection->line, newline + 1, connection->line_size + 1);
        newline = strchr(connection->line, '\n');
    }
}

static void
control_port_accept(void *data, unsigned events)
{
    struct control_port *control = data;
    int fd = accept4(control->listen_fd, NULL, NULL, SOCK_CLOEXEC);

    (void)events;
    if (fd < 0) {
        return;
    }
    struct control_connection *connection = xcalloc(1, sizeof(*connection));
    connection->upstream = control->upstream;
    connection->fd = fd;
    connection->watch =
        loop_watch_create(control->upstream->loop, fd, LOOP_READ,
                          control_connection_handle, connection);
}

// Opens the control port. Returns NULL when it can't be had.
struct control_port *
fake_control_port_create(struct upstream *upstream)
{
    int fd = fake_upstream_open_listener(upstream->options.host,
                                         upstream->options.control_port);

    if (fd < 0) {
        return NULL;
    }
    struct control_port *control = xcalloc(1, sizeof(*control));
    control->upstream = upstream;
    control->listen_fd = fd;
    control->watch = loop_watch_create(upstream->loop, fd, LOOP_READ,
                                       control_port_accept, control);
    return control;
}

// Closes the control port; NULL is ignored.
void
fake_control_port_destroy(struct control_port *control)
{
    if (control == NULL) {
        return;
    }
    loop_watch_destroy(control->watch);
    close(control->listen_fd);
    free(control);
}
