#include "catkingrade/control/upstream_admin.h"

#include <libpq-fe.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/entry/upstream_error.h"
#include "catkingrade/entry/upstream_position.h"
#include "catkingrade/entry/upstream_sql.h"
#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/file.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

#define LIBPQ_ADMIN_PROMOTE_TIMEOUT_US     8000000
#define LIBPQ_ADMIN_CONNECT_RETRY_DELAY_US 50000
#define LIBPQ_ADMIN_PORT_SIZE              8
#define LIBPQ_ADMIN_SAMPLE_COLUMNS         3

// One operation at one upstream, from its connection to its last statement.
struct libpq_operation {
    struct libpq_admin *admin;
    struct libpq_operation *next;
    struct upstream_admin_result result;
    char *upstream_name;
    char *statements; // separated by ;
    char *place;      // the next statement
    PGconn *conn;
    struct loop_watch *watch;
    struct loop_timer *timer;
    struct loop_timer *retry_timer;
    bool connected;
    bool queued; // behind another one at the same upstream
    struct ck_upstream target;
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

// Creates the runner. A password file that cannot be read counts as empty.
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
libpq_operation_destroy(struct libpq_operation *operation)
{
    struct libpq_operation **place = &operation->admin->operations;

    while (*place != operation) {
        place = &(*place)->next;
    }
    *place = operation->next;
    loop_watch_destroy(operation->watch);
    loop_timer_destroy(operation->timer);
    loop_timer_destroy(operation->retry_timer);
    PQfinish(operation->conn);
    free(operation->upstream_name);
    free(operation->statements);
    codec_free((xdrproc_t)xdr_ck_upstream, &operation->target);
    free(operation);
}

// Ends all operations without calling back and frees the runner.
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

// Reads role and position when the result is that of a sample.
static int
libpq_operation_read_sample(struct libpq_operation *operation,
                            const PGresult *answer)
{
    struct upstream_admin_result *result = &operation->result;

    if (PQntuples(answer) != 1 ||
        PQnfields(answer) != LIBPQ_ADMIN_SAMPLE_COLUMNS) {
        return OUTCOME_OK;
    }
    result->is_primary = PQgetvalue(answer, 0, 0)[0] == 'f';
    result->position.timeline = strtoull(PQgetvalue(answer, 0, 1), NULL, 10);
    return upstream_position_parse_lsn(PQgetvalue(answer, 0, 2),
                                       &result->position.lsn);
}

static int
libpq_operation_handle_result(struct libpq_operation *operation,
                              const PGresult *answer)
{
    ExecStatusType status = PQresultStatus(answer);

    if (status == PGRES_TUPLES_OK) {
        return libpq_operation_read_sample(operation, answer);
    }
    return status == PGRES_COMMAND_OK ? OUTCOME_OK : OUTCOME_IO;
}

// Sends the next statement. Returns OUTCOME_OK, OUTCOME_IO, or OUTCOME_CLOSED
// when there is none left.
static int
libpq_operation_send_next(struct libpq_operation *operation)
{
    char *statement = operation->place;

    if (statement == NULL || *statement == '\0') {
        return OUTCOME_CLOSED;
    }
    size_t length = strcspn(statement, ";");
    operation->place =
        statement[length] == '\0' ? NULL : statement + length + 1;
    statement[length] = '\0';
    return PQsendQuery(operation->conn, statement) == 1 ? OUTCOME_OK
                                                        : OUTCOME_IO;
}

// Takes all answers that have come. Returns OUTCOME_AGAIN while the statement
// runs, OUTCOME_OK once it has ended well.
static int
libpq_operation_read_results(struct libpq_operation *operation)
{
    if (PQconsumeInput(operation->conn) != 1) {
        return OUTCOME_UNAVAILABLE;
    }
    while (PQisBusy(operation->conn) == 0) {
        PGresult *answer = PQgetResult(operation->conn);
        if (answer == NULL) {
            return OUTCOME_OK;
        }
        int outcome = libpq_operation_handle_result(operation, answer);
        PQclear(answer);
        if (outcome != OUTCOME_OK) {
            return outcome;
        }
    }
    return OUTCOME_AGAIN;
}

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

// Watches the connection's present socket, which changes while it opens.
static void
libpq_operation_watch(struct libpq_operation *operation, unsigned events)
{
    loop_watch_destroy(operation->watch);
    operation->watch =
        loop_watch_create(operation->admin->loop, PQsocket(operation->conn),
                          events, libpq_operation_handle_io, operation);
}

// A server that has too many connections lives: try again until the time
// limit. Any other refusal ends the operation.
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

// Replaces {host} and {port} in the follow statements.
static char *
libpq_admin_expand_placeholders(const char *text,
                                const struct ck_upstream *primary)
{
    struct buffer out = {0};

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

static char *
libpq_admin_get_statements(const struct libpq_admin *admin,
                           enum upstream_admin_kind kind,
                           const struct ck_upstream *primary)
{
    const struct settings *settings = admin->settings;

    switch (kind) {
    case UPSTREAM_ADMIN_PROMOTE:
        return xasprintf("%s;%s", settings->upstream_promote_sql,
                         UPSTREAM_SQL_SAMPLE);
    case UPSTREAM_ADMIN_FOLLOW:
        return libpq_admin_expand_placeholders(settings->upstream_follow_sql,
                                               primary);
    case UPSTREAM_ADMIN_FENCE:
        return xstrdup(settings->upstream_fence_sql);
    default:
        return xstrdup(UPSTREAM_SQL_SAMPLE);
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

// Ends an operation whose connection could not even be started, at the next
// turn of the loop, so that done is never called from inside the run call.
static void
libpq_operation_handle_start_error(void *data)
{
    struct libpq_operation *operation = data;

    operation->result.refused = true;
    libpq_operation_finish(operation, OUTCOME_UNAVAILABLE);
}

// Opens a connection; one that cannot even be started ends the operation at
// the next turn of the loop, so that done is never called from the run call.
static void
libpq_operation_start_connect(void *data)
{
    struct libpq_operation *operation = data;

    operation->conn =
        libpq_admin_connect(operation->admin, &operation->target);
    if (operation->conn == NULL ||
        PQstatus(operation->conn) == CONNECTION_BAD) {
        loop_timer_destroy(operation->timer);
        operation->timer =
            loop_timer_create(operation->admin->loop,
                              libpq_operation_handle_start_error, operation);
        loop_timer_set(operation->timer, monotonic_get_us());
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

// Begins the operation's turn and its time limit.
static void
libpq_operation_start(struct libpq_operation *operation)
{
    struct libpq_admin *admin = operation->admin;
    int64_t limit_us =
        libpq_admin_get_timeout_us(admin, operation->result.kind);

    operation->queued = false;
    operation->timer = loop_timer_create(
        admin->loop, libpq_operation_handle_timeout, operation);
    operation->retry_timer = loop_timer_create(
        admin->loop, libpq_operation_start_connect, operation);
    loop_timer_set(operation->timer, monotonic_get_us() + limit_us);
    libpq_operation_start_connect(operation);
}

// Returns whether an operation runs at the upstream now.
static bool
libpq_admin_is_busy(const struct libpq_admin *admin, const char *name)
{
    const struct libpq_operation *row = admin->operations;

    for (; row != NULL; row = row->next) {
        if (!row->queued && strcmp(row->upstream_name, name) == 0) {
            return true;
        }
    }
    return false;
}

// Starts the oldest operation that waits for its turn at the upstream.
static void
libpq_admin_start_next(struct libpq_admin *admin, const char *name)
{
    struct libpq_operation *oldest = NULL;
    struct libpq_operation *row = admin->operations;

    for (; row != NULL; row = row->next) {
        if (row->queued && strcmp(row->upstream_name, name) == 0) {
            oldest = row;
        }
    }
    if (oldest != NULL && !libpq_admin_is_busy(admin, name)) {
        libpq_operation_start(oldest);
    }
}

// Runs an operation at an upstream; primary is for FOLLOW only. Operations at
// one upstream run one after the other, so that control uses one connection
// there. done is called once, from the loop, within its limit after its turn:
// the suspicion time for a probe, 8 s for a promotion, the connect time limit
// otherwise. It is not called when the runner is destroyed first.
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
    operation->upstream_name = xstrdup(upstream->name);
    codec_copy((xdrproc_t)xdr_ck_upstream, upstream, &operation->target,
               sizeof(operation->target));
    operation->statements =
        libpq_admin_get_statements(admin, request->kind, request->primary);
    operation->place = operation->statements;
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
