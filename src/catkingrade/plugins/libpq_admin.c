#include "catkingrade/control/upstream_admin.h"

#include <libpq-fe.h>
#include <pg_query.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/entry/upstream_error.h"
#include "catkingrade/entry/upstream_position.h"
#include "catkingrade/entry/upstream_sql.h"
#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/file.h"
#include "catkingrade/kernel/log.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

#define LIBPQ_ADMIN_PROMOTE_TIMEOUT_US     8000000
#define LIBPQ_ADMIN_CONNECT_RETRY_DELAY_US 50000
#define LIBPQ_ADMIN_PORT_SIZE              8
#define LIBPQ_ADMIN_SAMPLE_COLUMNS         3

// Driver of the control plane's operations at PostgreSQL upstreams, based on
// libpq. Each operation opens a connection, runs SQL statements one after the
// other and closes the connection.

// One operation at one upstream.
struct libpq_operation {
    struct libpq_admin *admin;
    struct libpq_operation *next;
    struct upstream_admin_result result;
    char *upstream_name;
    char **statements; // the last one is followed by NULL
    size_t next_statement;
    PGconn *conn;
    struct loop_watch *watch;
    struct loop_timer *timeout_timer;
    struct loop_timer *retry_timer;
    bool connected;
    bool queued; // waits for another operation at the same upstream
    struct ck_upstream target;
    // NULL: the upstream is not changed
    bool (*may_change)(void *data, uint64_t fencing_token);
    upstream_admin_fn done;
    void *data;
};

struct libpq_admin {
    struct upstream_admin base;
    struct loop *loop;
    const struct settings *settings;
    char *password;
    struct libpq_operation *operations;
};

static const struct upstream_admin_ops libpq_admin_ops;

// Creates the driver's state. If the password file cannot be read, operations
// connect without a password.
static struct upstream_admin *
libpq_admin_create(struct loop *loop, const struct settings *settings)
{
    struct libpq_admin *admin = xcalloc(1, sizeof(*admin));

    admin->base.ops = &libpq_admin_ops;
    admin->loop = loop;
    admin->settings = settings;
    (void)file_read_secret(settings->upstream_password_file, &admin->password);
    return &admin->base;
}

static void
libpq_admin_free_statements(char **statements)
{
    for (size_t i = 0; statements != NULL && statements[i] != NULL; i++) {
        free(statements[i]);
    }
    free(statements);
}

static void
libpq_operation_destroy(struct libpq_operation *operation)
{
    struct libpq_operation **link = &operation->admin->operations;

    while (*link != operation) {
        link = &(*link)->next;
    }
    *link = operation->next;
    loop_watch_destroy(operation->watch);
    loop_timer_destroy(operation->timeout_timer);
    loop_timer_destroy(operation->retry_timer);
    PQfinish(operation->conn);
    free(operation->upstream_name);
    libpq_admin_free_statements(operation->statements);
    codec_free((xdrproc_t)xdr_ck_upstream, &operation->target);
    free(operation);
}

// Aborts all operations without calling done and frees the driver's state.
static void
libpq_admin_destroy(struct upstream_admin *base)
{
    struct libpq_admin *admin = (struct libpq_admin *)base;

    while (admin->operations != NULL) {
        libpq_operation_destroy(admin->operations);
    }
    free(admin->password);
    free(admin);
}

static void libpq_admin_start_next(struct libpq_admin *admin,
                                   const char *name);

static void
libpq_operation_finish(struct libpq_operation *operation, int outcome)
{
    struct libpq_admin *admin = operation->admin;
    char *name = xstrdup(operation->upstream_name);

    operation->result.outcome = outcome;
    operation->result.upstream = operation->upstream_name;
    operation->done(operation->data, &operation->result);
    libpq_operation_destroy(operation);
    libpq_admin_start_next(admin, name);
    free(name);
}

static void
libpq_operation_handle_timeout(void *data)
{
    libpq_operation_finish(data, OUTCOME_TIMEOUT);
}

// Reads role and log position if the result has the form of
// UPSTREAM_SQL_SAMPLE; ignores any other result. Returns OUTCOME_OK, or an
// error if the log position is not valid.
static int
libpq_operation_read_sample(struct libpq_operation *operation,
                            const PGresult *pg_result)
{
    struct upstream_admin_result *result = &operation->result;

    if (PQntuples(pg_result) != 1 ||
        PQnfields(pg_result) != LIBPQ_ADMIN_SAMPLE_COLUMNS) {
        return OUTCOME_OK;
    }
    result->is_primary = PQgetvalue(pg_result, 0, 0)[0] == 'f';
    result->position.timeline =
        strtoull(PQgetvalue(pg_result, 0, 1), NULL, 10);
    int outcome = upstream_position_parse_lsn(PQgetvalue(pg_result, 0, 2),
                                              &result->position.lsn);
    result->term = result->position.timeline;
    result->last_write = result->position;
    return outcome;
}

static int
libpq_operation_handle_result(struct libpq_operation *operation,
                              const PGresult *pg_result)
{
    ExecStatusType status = PQresultStatus(pg_result);

    if (status == PGRES_TUPLES_OK) {
        return libpq_operation_read_sample(operation, pg_result);
    }
    return status == PGRES_COMMAND_OK ? OUTCOME_OK : OUTCOME_IO;
}

// Sends the next statement. Returns OUTCOME_OK, OUTCOME_IO if libpq could not
// send it, OUTCOME_CLOSED if there are no more statements, or
// OUTCOME_NOT_LEADER if this VM may not change the upstream any more. A VM
// that has been superseded would otherwise promote it, or fence the primary of
// its successor, in a connection that was long to open.
static int
libpq_operation_send_next(struct libpq_operation *operation)
{
    const char *statement = operation->statements[operation->next_statement];

    if (statement == NULL) {
        return OUTCOME_CLOSED;
    }
    if (operation->may_change != NULL &&
        !operation->may_change(operation->data,
                               operation->result.fencing_token)) {
        return OUTCOME_NOT_LEADER;
    }
    operation->next_statement++;
    return PQsendQuery(operation->conn, statement) == 1 ? OUTCOME_OK
                                                        : OUTCOME_IO;
}

// Reads the results received so far. Returns OUTCOME_AGAIN while the statement
// runs, OUTCOME_OK once it has succeeded, or an error.
static int
libpq_operation_read_results(struct libpq_operation *operation)
{
    if (PQconsumeInput(operation->conn) != 1) {
        return OUTCOME_UNAVAILABLE;
    }
    while (PQisBusy(operation->conn) == 0) {
        PGresult *pg_result = PQgetResult(operation->conn);
        if (pg_result == NULL) {
            return OUTCOME_OK;
        }
        int outcome = libpq_operation_handle_result(operation, pg_result);
        PQclear(pg_result);
        if (outcome != OUTCOME_OK) {
            return outcome;
        }
    }
    return OUTCOME_AGAIN;
}

// Reads results and sends the next statement each time one has succeeded.
// Finishes the operation after the last statement or the first error.
static void
libpq_operation_run_statements(struct libpq_operation *operation)
{
    for (;;) {
        int outcome = libpq_operation_read_results(operation);
        if (outcome == OUTCOME_AGAIN) {
            return;
        }
        if (outcome == OUTCOME_OK) {
            outcome = libpq_operation_send_next(operation);
        }
        if (outcome == OUTCOME_CLOSED) {
            libpq_operation_finish(operation, OUTCOME_OK);
            return;
        }
        if (outcome != OUTCOME_OK) {
            libpq_operation_finish(operation, outcome);
            return;
        }
    }
}

static void libpq_operation_handle_io(void *data, unsigned events);

// Watches the current socket of the connection. libpq may replace the socket
// while it opens the connection.
static void
libpq_operation_watch(struct libpq_operation *operation, unsigned events)
{
    loop_watch_destroy(operation->watch);
    operation->watch =
        loop_watch_create(operation->admin->loop, PQsocket(operation->conn),
                          events, libpq_operation_handle_io, operation);
}

// Handles a failed connection attempt. A server at its connection limit is
// alive: connects again after a delay, until the operation times out. Any
// other error finishes the operation as refused.
static void
libpq_operation_handle_connect_error(struct libpq_operation *operation)
{
    if (!upstream_error_is_too_many_connections(operation->conn)) {
        operation->result.refused = true;
        libpq_operation_finish(operation, OUTCOME_UNAVAILABLE);
        return;
    }
    loop_watch_destroy(operation->watch);
    operation->watch = NULL;
    PQfinish(operation->conn);
    operation->conn = NULL;
    loop_timer_set(operation->retry_timer,
                   monotonic_get_us() + LIBPQ_ADMIN_CONNECT_RETRY_DELAY_US);
}

// Continues to open the connection, then starts the statements.
static void
libpq_operation_poll_connect(struct libpq_operation *operation)
{
    switch (PQconnectPoll(operation->conn)) {
    case PGRES_POLLING_READING:
        libpq_operation_watch(operation, LOOP_READ);
        return;
    case PGRES_POLLING_WRITING:
        libpq_operation_watch(operation, LOOP_WRITE);
        return;
    case PGRES_POLLING_OK:
        operation->connected = true;
        libpq_operation_watch(operation, LOOP_READ);
        libpq_operation_run_statements(operation);
        return;
    default:
        libpq_operation_handle_connect_error(operation);
        return;
    }
}

static void
libpq_operation_handle_io(void *data, unsigned events)
{
    struct libpq_operation *operation = data;

    (void)events;
    if (operation->connected) {
        libpq_operation_run_statements(operation);
        return;
    }
    libpq_operation_poll_connect(operation);
}

// Returns whether a host can stand in a literal of a connection string: it is
// an address or the name of a host, and not empty.
static bool
libpq_admin_is_host(const char *host)
{
    size_t length = strspn(host, "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                 "abcdefghijklmnopqrstuvwxyz"
                                 "0123456789.:%_-");

    return length > 0 && host[length] == '\0';
}

// Returns a copy of text with {host} and {port} replaced by those of the
// primary. Without a primary the placeholders stay. Returns NULL if the host
// is not one. The caller frees the text.
static char *
libpq_admin_expand_placeholders(const char *text,
                                const struct ck_upstream *primary)
{
    struct buffer out = {0};

    if (primary != NULL && !libpq_admin_is_host(primary->host)) {
        return NULL;
    }
    for (const char *c = text; *c != '\0'; c++) {
        if (primary != NULL && strncmp(c, "{host}", 6) == 0) {
            buffer_append_text(&out, primary->host);
            c += 5;
        }
        else if (primary != NULL && strncmp(c, "{port}", 6) == 0) {
            buffer_append_format(&out, "%u", primary->port);
            c += 5;
        }
        else {
            buffer_append_u8(&out, (uint8_t)*c);
        }
    }
    char *expanded =
        xmemdupz((const char *)buffer_get_data(&out), buffer_get_size(&out));
    buffer_free(&out);
    return expanded;
}

// Splits a text into its statements: at semicolons outside of literals and
// comments. A text that can't be scanned is one statement, so that the server
// reports its error. Returns NULL for NULL; frees the text.
static char **
libpq_admin_split_statements(char *text)
{
    if (text == NULL) {
        return NULL;
    }
    PgQuerySplitResult split = pg_query_split_with_scanner(text);
    size_t count = split.error == NULL ? (size_t)split.n_stmts : 1;
    char **statements = xcalloc(count + 1, sizeof(*statements));

    for (size_t i = 0; i < count && split.error == NULL; i++) {
        const char *start = text + split.stmts[i]->stmt_location;
        size_t length = (size_t)split.stmts[i]->stmt_len;
        size_t blanks = strspn(start, " \t\r\n");
        blanks = blanks < length ? blanks : length;
        statements[i] = xmemdupz(start + blanks, length - blanks);
    }
    if (split.error != NULL) {
        statements[0] = xstrdup(text);
    }
    pg_query_free_split_result(split);
    free(text);
    return statements;
}

// Returns the statements of an operation, or NULL if the host of the primary
// can't be written into them.
static char **
libpq_admin_get_statements(const struct libpq_admin *admin,
                           enum upstream_admin_kind kind,
                           const struct ck_upstream *primary)
{
    const struct settings *settings = admin->settings;

    switch (kind) {
    case UPSTREAM_ADMIN_PROMOTE:
        return libpq_admin_split_statements(xasprintf(
            "%s\n;%s", settings->upstream_promote_sql, UPSTREAM_SQL_SAMPLE));
    case UPSTREAM_ADMIN_FOLLOW:
        return libpq_admin_split_statements(libpq_admin_expand_placeholders(
            settings->upstream_follow_sql, primary));
    case UPSTREAM_ADMIN_FENCE:
        return libpq_admin_split_statements(
            xstrdup(settings->upstream_fence_sql));
    default:
        return libpq_admin_split_statements(xstrdup(UPSTREAM_SQL_SAMPLE));
    }
}

static PGconn *
libpq_admin_connect(const struct libpq_admin *admin,
                    const struct ck_upstream *upstream)
{
    char port[LIBPQ_ADMIN_PORT_SIZE];
    const char *const keywords[] = {"hostaddr", "port",    "dbname",
                                    "user",     "sslmode", "application_name",
                                    "password", NULL};
    const char *const values[] = {upstream->host,
                                  port,
                                  upstream->database,
                                  admin->settings->upstream_user,
                                  admin->settings->upstream_sslmode,
                                  "catkingrade-control",
                                  admin->password,
                                  NULL};

    (void)snprintf(port, sizeof(port), "%u", upstream->port);
    return PQconnectStartParams(keywords, values, 0);
}

// Finishes an operation for which libpq could not start a connection.
static void
libpq_operation_handle_start_error(void *data)
{
    struct libpq_operation *operation = data;

    operation->result.refused = true;
    libpq_operation_finish(operation, OUTCOME_UNAVAILABLE);
}

// Finishes an operation that has no statements, because the host of the
// primary can't be written into them.
static void
libpq_operation_handle_bad_host(void *data)
{
    libpq_operation_finish(data, OUTCOME_INVALID);
}

// Calls a function in the next iteration of the loop, in place of the timeout,
// so that done is never called from within run.
static void
libpq_operation_finish_soon(struct libpq_operation *operation,
                            void (*finish)(void *data))
{
    loop_timer_destroy(operation->timeout_timer);
    operation->timeout_timer =
        loop_timer_create(operation->admin->loop, finish, operation);
    loop_timer_set(operation->timeout_timer, monotonic_get_us());
}

// Starts to open a connection, unless there is nothing to run.
static void
libpq_operation_start_connect(void *data)
{
    struct libpq_operation *operation = data;

    if (operation->statements == NULL) {
        LOG_WARNING("follow_refused", "upstream=%s reason=%s",
                    operation->upstream_name,
                    "the primary's host is neither an address nor a name");
        libpq_operation_finish_soon(operation,
                                    libpq_operation_handle_bad_host);
        return;
    }
    operation->conn =
        libpq_admin_connect(operation->admin, &operation->target);
    if (operation->conn == NULL ||
        PQstatus(operation->conn) == CONNECTION_BAD) {
        libpq_operation_finish_soon(operation,
                                    libpq_operation_handle_start_error);
        return;
    }
    upstream_error_enable_sqlstate(operation->conn);
    PQsetnonblocking(operation->conn, 1);
    libpq_operation_watch(operation, LOOP_WRITE);
}

static int64_t
libpq_admin_get_timeout_us(const struct libpq_admin *admin,
                           enum upstream_admin_kind kind)
{
    switch (kind) {
    case UPSTREAM_ADMIN_PROBE:
        return admin->settings->suspect_us;
    case UPSTREAM_ADMIN_PROMOTE:
        return LIBPQ_ADMIN_PROMOTE_TIMEOUT_US;
    default:
        return admin->settings->connect_timeout_us;
    }
}

// Starts a queued operation and its timeout.
static void
libpq_operation_start(struct libpq_operation *operation)
{
    struct libpq_admin *admin = operation->admin;
    int64_t timeout_us =
        libpq_admin_get_timeout_us(admin, operation->result.kind);

    operation->queued = false;
    operation->timeout_timer = loop_timer_create(
        admin->loop, libpq_operation_handle_timeout, operation);
    operation->retry_timer = loop_timer_create(
        admin->loop, libpq_operation_start_connect, operation);
    loop_timer_set(operation->timeout_timer, monotonic_get_us() + timeout_us);
    libpq_operation_start_connect(operation);
}

// Returns whether an operation is running at the upstream.
static bool
libpq_admin_is_busy(const struct libpq_admin *admin, const char *name)
{
    const struct libpq_operation *operation = admin->operations;

    for (; operation != NULL; operation = operation->next) {
        if (!operation->queued &&
            strcmp(operation->upstream_name, name) == 0) {
            return true;
        }
    }
    return false;
}

// Starts the oldest queued operation of the upstream unless another operation
// is running there. New operations are at the head of the list.
static void
libpq_admin_start_next(struct libpq_admin *admin, const char *name)
{
    struct libpq_operation *oldest = NULL;
    struct libpq_operation *operation = admin->operations;

    for (; operation != NULL; operation = operation->next) {
        if (operation->queued && strcmp(operation->upstream_name, name) == 0) {
            oldest = operation;
        }
    }
    if (oldest != NULL && !libpq_admin_is_busy(admin, name)) {
        libpq_operation_start(oldest);
    }
}

// Runs an operation at an upstream; primary is used by FOLLOW only. Operations
// at the same upstream run one after the other, so that the control plane uses
// a single connection there. done is called once, from the loop, no later than
// the operation's timeout: suspect_us for a probe, 8 s for a promotion,
// connect_timeout_us for others. The timeout starts when the operation leaves
// the queue. done is not called if the driver's state is destroyed first.
static void
libpq_admin_run(struct upstream_admin *base,
                const struct upstream_admin_request *request)
{
    struct libpq_admin *admin = (struct libpq_admin *)base;
    const struct ck_upstream *upstream = request->upstream;
    struct libpq_operation *operation = xcalloc(1, sizeof(*operation));
    bool busy = libpq_admin_is_busy(admin, upstream->name);

    operation->admin = admin;
    operation->next = admin->operations;
    admin->operations = operation;
    operation->queued = true;
    operation->result.kind = request->kind;
    operation->result.fencing_token = request->fencing_token;
    operation->upstream_name = xstrdup(upstream->name);
    codec_copy((xdrproc_t)xdr_ck_upstream, upstream, &operation->target,
               sizeof(operation->target));
    operation->statements =
        libpq_admin_get_statements(admin, request->kind, request->primary);
    operation->may_change =
        request->kind == UPSTREAM_ADMIN_PROBE ? NULL : request->may_change;
    operation->done = request->done;
    operation->data = request->data;
    if (!busy) {
        libpq_operation_start(operation);
    }
}

static const struct upstream_admin_ops libpq_admin_ops = {
    .destroy = libpq_admin_destroy,
    .run = libpq_admin_run,
};

const struct upstream_admin_driver libpq_admin_driver = {
    .create = libpq_admin_create,
};
