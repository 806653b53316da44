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

// Control port of a stand-in upstream: each line is one fault command, and its
// response is the line "ok" or "no" (unknown command or invalid arguments).
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
command_refuse(struct upstream *upstream, const char *args)
{
    (void)args;
    upstream->faults.refuse = true;
    fake_upstream_stop_listening(upstream);
    return true;
}

static bool
command_silent(struct upstream *upstream, const char *args)
{
    struct session *session = NULL;

    upstream->faults.silence =
        strcmp(args, "existing") == 0 ? SILENCE_EXISTING : SILENCE_ALL;
    TAILQ_FOREACH(session, &upstream->sessions, entry)
    {
        session->silent = true;
    }
    return true;
}

// Parses "AMOUNT [PATTERN]" and sets the fault; amount is multiplied by unit.
static bool
command_read_fault(struct statement_fault *fault, const char *args,
                   int64_t unit)
{
    char *end = NULL;
    long long amount = strtoll(args, &end, 10);

    if (end == args || amount < 0) {
        return false;
    }
    statement_fault_set(fault, amount * unit, end + strspn(end, " "));
    return true;
}

static bool
command_cut(struct upstream *upstream, const char *args)
{
    return command_read_fault(&upstream->faults.cut, args, 1);
}

static bool
command_late(struct upstream *upstream, const char *args)
{
    return command_read_fault(&upstream->faults.late, args, CONTROL_US_PER_MS);
}

static bool
command_drop(struct upstream *upstream, const char *args)
{
    statement_fault_set(&upstream->faults.drop, 0, args);
    return true;
}

static bool
command_lag(struct upstream *upstream, const char *args)
{
    char *end = NULL;
    long long lag_ms = strtoll(args, &end, 10);

    if (end == args || *end != '\0' || lag_ms < 0) {
        return false;
    }
    upstream->options.lag_us = lag_ms * CONTROL_US_PER_MS;
    fake_replication_apply_lag(upstream->replication);
    return true;
}

static bool
command_delay(struct upstream *upstream, const char *args)
{
    upstream->options.statement_us =
        strtoll(args, NULL, 10) * CONTROL_US_PER_MS;
    return true;
}

static bool
command_leave(struct upstream *upstream, const char *args)
{
    (void)args;
    upstream->leaving = true;
    return true;
}

static bool
command_mute(struct upstream *upstream, const char *args)
{
    (void)args;
    upstream->faults.no_announcements = true;
    return true;
}

static bool
command_die(struct upstream *upstream, const char *args)
{
    (void)upstream;
    (void)args;
    _exit(EXIT_FAILURE);
}

// Ends all faults, opens the port again and announces the state "ready". Lag
// and statement delay stay, and so does the silence of open connections.
static bool
command_clear(struct upstream *upstream, const char *args)
{
    (void)args;
    memset(&upstream->faults, 0, sizeof(upstream->faults));
    upstream->leaving = false;
    return fake_upstream_listen(upstream) == 0;
}

static const struct {
    const char *name;
    bool (*run)(struct upstream *upstream, const char *args);
} commands[] = {
    // Closes the port; open connections stay.
    {"refuse", command_refuse},
    // silent [existing]: connections stay open but are not served. Applies to
    // open and later connections, with "existing" only to open ones.
    {"silent", command_silent},
    // cut BYTES [PATTERN]: closes the connection after BYTES bytes of the
    // response to the next matching statement.
    {"cut", command_cut},
    // drop [PATTERN]: closes the connection before the next matching statement
    // runs.
    {"drop", command_drop},
    // late MS [PATTERN]: delays the responses to all matching statements.
    {"late", command_late},
    // lag MS: replication lag.
    {"lag", command_lag},
    // delay MS: execution time of each statement.
    {"delay", command_delay},
    // Announces the state "leaving".
    {"leave", command_leave},
    // Stops the announcements.
    {"mute", command_mute},
    // Exits the process at once.
    {"die", command_die},
    // Ends the faults and "leave"; see command_clear().
    {"clear", command_clear},
};

// Runs one command line. Returns false when the command is unknown or its
// arguments are invalid.
bool
fake_upstream_run_command(struct upstream *upstream, const char *line)
{
    size_t length = strcspn(line, " ");
    const char *args = line + length + strspn(line + length, " ");

    for (size_t i = 0; i < ARRAY_SIZE(commands); i++) {
        if (strlen(commands[i].name) == length &&
            strncmp(commands[i].name, line, length) == 0) {
            return commands[i].run(upstream, args);
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
        bool ok =
            fake_upstream_run_command(connection->upstream, connection->line);
        (void)send(connection->fd, ok ? "ok\n" : "no\n", 3, MSG_NOSIGNAL);
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

// Opens the control port. Returns NULL when listening on it fails.
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
