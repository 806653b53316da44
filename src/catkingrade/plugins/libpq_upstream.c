#include "catkingrade/plugins/libpq_upstream.h"

#include <errno.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "catkingrade/entry/upstream_error.h"
#include "catkingrade/entry/upstream_position.h"
#include "catkingrade/entry/upstream_sql.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/plugins/libpq_encode.h"
#include "catkingrade/plugins/libpq_link.h"
#include "catkingrade/plugins/postgres_message.h"

// Number of prepared statements above which the link discards the session
// state, including these statements, before the next job outside a
// transaction.
#define LIBPQ_MAX_PREPARED_STATEMENTS 128
// Number of cancel requests that the process may send at the same time.
#define LIBPQ_MAX_CONCURRENT_CANCELS 8
#define LIBPQ_PORT_SIZE              16

static void libpq_link_handle_io(void *data, unsigned events);
static void libpq_link_run_phase(struct libpq_link *link,
                                 enum libpq_phase phase);

// Parses a log position into position->lsn. Leaves it unchanged if text is not
// valid.
void
libpq_link_parse_position(const char *text, struct ck_position *position)
{
    (void)upstream_position_parse_lsn(text, &position->lsn);
}

// Clears the list of the statements that are prepared on the connection.
void
libpq_link_clear_prepared(struct libpq_link *link)
{
    link->prepared_count = 0;
}

// ---- watching ----

// Watches the current socket of the connection for the given events.
static void
libpq_link_watch(struct libpq_link *link, unsigned events)
{
    int fd = PQsocket(link->conn);

    if (link->watch != NULL && link->watch_fd == fd) {
        loop_watch_set_events(link->watch, events);
        return;
    }
    loop_watch_destroy(link->watch);
    link->watch =
        loop_watch_create(link->loop, fd, events, libpq_link_handle_io, link);
    link->watch_fd = fd;
}

// Sends the data that libpq has queued and watches for results, and for the
// socket to become writable if some data could not be sent.
static void
libpq_link_flush(struct libpq_link *link)
{
    int unsent = PQflush(link->conn);

    libpq_link_watch(link, unsent == 1 ? LOOP_READ | LOOP_WRITE : LOOP_READ);
}

// Makes the link fail in the next iteration of the loop, because no event may
// be reported from within an operation.
static void
libpq_link_schedule_failure(struct libpq_link *link, enum upstream_fault fault)
{
    link->pending_fault = fault;
    loop_timer_set(link->timer, loop_get_now_us(link->loop));
}

// ---- ends of operations ----
// Event functions may free the link, so each is the last call on its path.

// Reports the end of a job. An answer that contains an error is reported as
// ERROR.
static void
libpq_link_finish_job(struct libpq_link *link, enum scheduler_result result)
{
    struct job *job = link->job;

    link->job = NULL;
    if (result == SCHEDULER_RESULT_DONE && job->failed) {
        result = SCHEDULER_RESULT_ERROR;
    }
    link->events->finished(link->data, job, result);
}

// Returns whether the job has had no effect if the connection is lost in the
// current phase: its statements have not been sent, or the transaction of an
// idempotent write is still open, which the upstream then rolls back.
static bool
libpq_link_job_has_no_effect(const struct libpq_link *link)
{
    switch (link->phase) {
    case LIBPQ_PHASE_DISCARD:
    case LIBPQ_PHASE_SETTINGS:
    case LIBPQ_PHASE_KEY_BEGIN:
    case LIBPQ_PHASE_KEY_INSERT:
    case LIBPQ_PHASE_KEY_FIND:
    case LIBPQ_PHASE_KEY_STORE_ANSWER:
    case LIBPQ_PHASE_KEY_ROLLBACK:
        return true;
    case LIBPQ_PHASE_SIMPLE_QUERY:
    case LIBPQ_PHASE_PIPELINE:
        return link->job->key[0] != '\0';
    default:
        return false;
    }
}

// Marks the link as failed and reports the fault with the event of the
// operation in progress.
static void
libpq_link_fail(struct libpq_link *link, enum upstream_fault fault)
{
    enum libpq_phase phase = link->phase;
    bool no_effect = libpq_link_job_has_no_effect(link);

    loop_timer_clear(link->timer);
    loop_watch_destroy(link->watch);
    link->watch = NULL;
    link->phase = LIBPQ_PHASE_FAILED;
    switch (phase) {
    case LIBPQ_PHASE_FAILED:
        return;
    case LIBPQ_PHASE_CONNECT:
        link->events->opened(link->data, fault);
        return;
    case LIBPQ_PHASE_IDLE:
        link->events->lost(link->data);
        return;
    case LIBPQ_PHASE_CHECK:
        link->events->checked(link->data, fault);
        return;
    case LIBPQ_PHASE_SAMPLE:
        link->sample.fault = fault;
        link->events->sampled(link->data, &link->sample);
        return;
    default:
        if (link->answer_complete) {
            // The answer is complete: report the job as done, then the loss
            // of the connection as that of an idle link.
            link->phase = LIBPQ_PHASE_IDLE;
            libpq_link_schedule_failure(link, fault);
            libpq_link_finish_job(link, SCHEDULER_RESULT_DONE);
            return;
        }
        libpq_link_finish_job(link, no_effect ? SCHEDULER_RESULT_NOT_SENT
                                              : SCHEDULER_RESULT_CONN_LOST);
        return;
    }
}

// Reports the pending fault. Without one, the operation has timed out.
static void
libpq_link_handle_timer(void *data)
{
    struct libpq_link *link = data;

    enum upstream_fault fault = link->pending_fault;
    link->pending_fault = UPSTREAM_FAULT_NONE;
    libpq_link_fail(link, fault == UPSTREAM_FAULT_NONE ? UPSTREAM_FAULT_SILENT
                                                       : fault);
}

// ---- phases ----

static bool
libpq_link_send_query(struct libpq_link *link, const char *text)
{
    link->phase_failed = false;
    if (PQsendQuery(link->conn, text) != 1) {
        return false;
    }
    libpq_link_flush(link);
    return true;
}

// Sends a statement that reads or writes the job's idempotency key. format is
// one of UPSTREAM_SQL_KEY_*; its literals are quoted by libpq. answer is NULL
// unless the statement stores an answer.
static bool
libpq_link_send_key_query(struct libpq_link *link, const char *format,
                          const char *answer)
{
    const char *key = link->job->key;
    char *key_literal = PQescapeLiteral(link->conn, key, strlen(key));
    char *answer_literal =
        answer == NULL ? NULL
                       : PQescapeLiteral(link->conn, answer, strlen(answer));
    char text[1024];
    bool sent = false;

    if (key_literal != NULL && (answer == NULL || answer_literal != NULL)) {
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wformat-nonliteral"
        (void)snprintf(text, sizeof(text), format,
                       answer == NULL ? key_literal : answer_literal,
                       key_literal);
#pragma GCC diagnostic pop
        sent = libpq_link_send_query(link, text);
    }
    PQfreemem(key_literal);
    PQfreemem(answer_literal);
    return sent;
}

static bool
libpq_link_send_phase(struct libpq_link *link)
{
    switch (link->phase) {
    case LIBPQ_PHASE_DISCARD:
        libpq_link_clear_prepared(link);
        return libpq_link_send_query(link, UPSTREAM_SQL_RESET);
    case LIBPQ_PHASE_SETTINGS:
        return libpq_link_send_query(link, link->job->settings_text);
    case LIBPQ_PHASE_KEY_BEGIN:
        return libpq_link_send_query(link, UPSTREAM_SQL_KEY_BEGIN);
    case LIBPQ_PHASE_KEY_INSERT:
        return libpq_link_send_key_query(link, UPSTREAM_SQL_KEY_INSERT, NULL);
    case LIBPQ_PHASE_KEY_FIND:
        return libpq_link_send_key_query(link, UPSTREAM_SQL_KEY_FIND, NULL);
    case LIBPQ_PHASE_KEY_STORE_ANSWER:
        return libpq_link_send_key_query(link, UPSTREAM_SQL_KEY_ANSWER,
                                         link->command_tag);
    case LIBPQ_PHASE_KEY_COMMIT:
        return libpq_link_send_query(link, UPSTREAM_SQL_KEY_COMMIT);
    case LIBPQ_PHASE_KEY_ROLLBACK:
        return libpq_link_send_query(link, UPSTREAM_SQL_KEY_ROLLBACK);
    case LIBPQ_PHASE_SIMPLE_QUERY:
        return libpq_link_send_query(link, link->job->text);
    case LIBPQ_PHASE_POSITION:
        return libpq_link_send_query(link, UPSTREAM_SQL_POSITION);
    case LIBPQ_PHASE_PIPELINE:
        if (!libpq_pipeline_send(link)) {
            return false;
        }
        libpq_link_flush(link);
        return true;
    default:
        return false;
    }
}

static void
libpq_link_run_phase(struct libpq_link *link, enum libpq_phase phase)
{
    link->phase = phase;
    if (!libpq_link_send_phase(link)) {
        libpq_link_schedule_failure(link, UPSTREAM_FAULT_CONN_LOST);
    }
}

static void
libpq_link_run_statements(struct libpq_link *link)
{
    const struct job *job = link->job;
    bool is_simple_query = job->text != NULL && !job->one_statement;

    libpq_link_run_phase(link, is_simple_query ? LIBPQ_PHASE_SIMPLE_QUERY
                                               : LIBPQ_PHASE_PIPELINE);
}

static void
libpq_link_run_after_settings(struct libpq_link *link)
{
    if (link->job->key[0] != '\0') {
        libpq_link_run_phase(link, LIBPQ_PHASE_KEY_BEGIN);
        return;
    }
    libpq_link_run_statements(link);
}

// Applies the settings of the job's session unless the connection has them.
static void
libpq_link_run_settings(struct libpq_link *link)
{
    if (link->job->settings_hash == link->settings_hash ||
        link->job->settings_text == NULL) {
        libpq_link_run_after_settings(link);
        return;
    }
    libpq_link_run_phase(link, LIBPQ_PHASE_SETTINGS);
}

// Ends a job whose answer is complete. Records which settings the connection
// has after it; they are unknown after an error or in a transaction, which may
// still be rolled back.
static void
libpq_link_end_job(struct libpq_link *link)
{
    struct job *job = link->job;

    if (job->changes_settings) {
        link->settings_hash = job->in_transaction || job->failed
                                  ? JOB_SETTINGS_UNKNOWN
                                  : job->settings_hash_after;
    }
    link->phase = LIBPQ_PHASE_IDLE;
    libpq_link_finish_job(link, SCHEDULER_RESULT_DONE);
}

static char
libpq_link_get_transaction_status(const struct libpq_link *link)
{
    switch (PQtransactionStatus(link->conn)) {
    case PQTRANS_INTRANS:
        return 'T';
    case PQTRANS_INERROR:
        return 'E';
    default:
        return 'I';
    }
}

// Handles the end of the job's own statements. An idempotent write continues
// with its answer and commit, or with a rollback if it failed.
static void
libpq_link_end_statements(struct libpq_link *link)
{
    struct job *job = link->job;

    if (job->key[0] != '\0') {
        libpq_link_run_phase(link, job->failed ? LIBPQ_PHASE_KEY_ROLLBACK
                                               : LIBPQ_PHASE_KEY_STORE_ANSWER);
        return;
    }
    if (link->phase == LIBPQ_PHASE_SIMPLE_QUERY) {
        job->transaction_status = libpq_link_get_transaction_status(link);
        link->answer_complete = true;
        if (job->want_position && !job->failed &&
            job->transaction_status == 'I') {
            libpq_link_run_phase(link, LIBPQ_PHASE_POSITION);
            return;
        }
    }
    libpq_link_end_job(link);
}

// Handles a failed statement on the idempotency key. Its error is the answer
// of the job.
static void
libpq_link_handle_key_error(struct libpq_link *link)
{
    link->job->failed = true;
    libpq_link_run_phase(link, LIBPQ_PHASE_KEY_ROLLBACK);
}

// Starts the phase that follows the current one, or ends the operation.
static void
libpq_link_end_phase(struct libpq_link *link)
{
    struct job *job = link->job;

    switch (link->phase) {
    case LIBPQ_PHASE_DISCARD:
        link->settings_hash = link->phase_failed ? JOB_SETTINGS_UNKNOWN : 0;
        libpq_link_run_settings(link);
        return;
    case LIBPQ_PHASE_SETTINGS:
        if (link->phase_failed) {
            link->settings_hash = JOB_SETTINGS_UNKNOWN;
            libpq_link_end_job(link);
            return;
        }
        link->settings_hash = job->settings_hash;
        libpq_link_run_after_settings(link);
        return;
    case LIBPQ_PHASE_KEY_BEGIN:
        libpq_link_run_phase(link, LIBPQ_PHASE_KEY_INSERT);
        return;
    case LIBPQ_PHASE_KEY_INSERT:
        if (link->phase_failed) {
            libpq_link_handle_key_error(link);
        }
        else if (link->key_exists) {
            libpq_link_run_phase(link, LIBPQ_PHASE_KEY_FIND);
        }
        else {
            libpq_link_run_statements(link);
        }
        return;
    case LIBPQ_PHASE_KEY_FIND:
        libpq_link_run_phase(link, LIBPQ_PHASE_KEY_ROLLBACK);
        return;
    case LIBPQ_PHASE_KEY_STORE_ANSWER:
        if (link->phase_failed) {
            libpq_link_handle_key_error(link);
            return;
        }
        libpq_link_run_phase(link, LIBPQ_PHASE_KEY_COMMIT);
        return;
    case LIBPQ_PHASE_KEY_COMMIT:
    case LIBPQ_PHASE_KEY_ROLLBACK:
        job->transaction_status = 'I';
        link->answer_complete = true;
        if (!job->failed) {
            libpq_link_run_phase(link, LIBPQ_PHASE_POSITION);
            return;
        }
        libpq_link_end_job(link);
        return;
    case LIBPQ_PHASE_SIMPLE_QUERY:
    case LIBPQ_PHASE_PIPELINE:
        libpq_link_end_statements(link);
        return;
    case LIBPQ_PHASE_POSITION:
        libpq_link_end_job(link);
        return;
    case LIBPQ_PHASE_CHECK:
        loop_timer_clear(link->timer);
        link->phase = LIBPQ_PHASE_IDLE;
        link->events->checked(link->data, UPSTREAM_FAULT_NONE);
        return;
    case LIBPQ_PHASE_SAMPLE:
        loop_timer_clear(link->timer);
        link->phase = LIBPQ_PHASE_IDLE;
        link->sample.round_trip_us =
            monotonic_get_us() - link->sample.asked_at_us;
        link->sample.fault =
            link->phase_failed ? UPSTREAM_FAULT_REFUSED : UPSTREAM_FAULT_NONE;
        link->events->sampled(link->data, &link->sample);
        return;
    default:
        return;
    }
}

// ---- results of simple queries ----

static void
libpq_link_handle_query_result(struct libpq_link *link, PGresult *result)
{
    struct job *job = link->job;

    switch (PQresultStatus(result)) {
    case PGRES_TUPLES_OK:
        libpq_encode_row_description(result, -1, &job->answer);
        for (int i = 0; i < PQntuples(result); i++) {
            libpq_encode_data_row(result, i, &job->answer);
        }
        postgres_message_add_complete(&job->answer, PQcmdStatus(result));
        break;
    case PGRES_COMMAND_OK:
        postgres_message_add_complete(&job->answer, PQcmdStatus(result));
        break;
    case PGRES_EMPTY_QUERY:
        postgres_message_add_empty(&job->answer, 'I');
        break;
    default:
        libpq_encode_diagnostic(result, 'E', &job->answer);
        job->failed = true;
        break;
    }
    strncpy(link->command_tag, PQcmdStatus(result),
            sizeof(link->command_tag) - 1);
}

static void
libpq_link_handle_sample_result(struct libpq_link *link,
                                const PGresult *result)
{
    if (PQntuples(result) != 1 || PQnfields(result) != 3) {
        link->phase_failed = true;
        return;
    }
    link->sample.is_primary = PQgetvalue(result, 0, 0)[0] == 'f';
    link->sample.position.timeline =
        strtoull(PQgetvalue(result, 0, 1), NULL, 10);
    libpq_link_parse_position(PQgetvalue(result, 0, 2),
                              &link->sample.position);
}

// Handles a result of a statement that the link itself has sent. An error of
// an idempotency statement or of the session's settings becomes the answer of
// the job: without its settings a statement could change other tables.
static void
libpq_link_handle_internal_result(struct libpq_link *link, PGresult *result)
{
    struct job *job = link->job;
    ExecStatusType status = PQresultStatus(result);

    if (status != PGRES_TUPLES_OK && status != PGRES_COMMAND_OK) {
        link->phase_failed = true;
        if (job != NULL && link->phase != LIBPQ_PHASE_POSITION &&
            link->phase != LIBPQ_PHASE_DISCARD && !job->failed) {
            buffer_clear(&job->answer);
            libpq_encode_diagnostic(result, 'E', &job->answer);
            job->failed = true;
        }
        return;
    }
    switch (link->phase) {
    case LIBPQ_PHASE_KEY_INSERT:
        link->key_exists = strcmp(PQcmdTuples(result), "0") == 0;
        break;
    case LIBPQ_PHASE_KEY_FIND:
        if (PQntuples(result) == 1) {
            postgres_message_add_complete(&job->answer,
                                          PQgetvalue(result, 0, 0));
        }
        break;
    case LIBPQ_PHASE_POSITION:
        if (PQntuples(result) == 1) {
            libpq_link_parse_position(PQgetvalue(result, 0, 0),
                                      &job->position);
            job->position_known = true;
        }
        break;
    case LIBPQ_PHASE_SAMPLE:
        libpq_link_handle_sample_result(link, result);
        break;
    default:
        break;
    }
}

// Handles the results received so far. Returns whether the current phase has
// ended. COPY is not supported and makes the link fail.
static bool
libpq_link_read_results(struct libpq_link *link)
{
    while (PQisBusy(link->conn) == 0) {
        PGresult *result = PQgetResult(link->conn);
        if (result == NULL) {
            return true;
        }
        ExecStatusType status = PQresultStatus(result);
        if (status == PGRES_COPY_IN || status == PGRES_COPY_OUT ||
            status == PGRES_COPY_BOTH) {
            PQclear(result);
            libpq_link_schedule_failure(link, UPSTREAM_FAULT_CONN_LOST);
            return false;
        }
        if (link->phase == LIBPQ_PHASE_SIMPLE_QUERY) {
            libpq_link_handle_query_result(link, result);
        }
        else {
            libpq_link_handle_internal_result(link, result);
        }
        PQclear(result);
        if (PQstatus(link->conn) == CONNECTION_BAD) {
            return false;
        }
    }
    return false;
}

static void
libpq_link_receive_notice(void *data, const PGresult *result)
{
    struct libpq_link *link = data;

    if (link->phase == LIBPQ_PHASE_SIMPLE_QUERY ||
        link->phase == LIBPQ_PHASE_PIPELINE) {
        libpq_encode_diagnostic(result, 'N', &link->job->answer);
    }
}

// ---- connecting ----

// Returns whether a connection error means that the host does not respond, as
// opposed to a refusal. libpq provides the cause only as part of its text.
static bool
libpq_link_is_unreachable_error(const char *text)
{
    static const int codes[] = {ETIMEDOUT, EHOSTUNREACH, ENETUNREACH};

    for (size_t i = 0; i < ARRAY_SIZE(codes); i++) {
        if (strstr(text, strerror(codes[i])) != NULL) {
            return true;
        }
    }
    return false;
}

static enum upstream_fault
libpq_link_get_connect_fault(const struct libpq_link *link)
{
    if (upstream_error_is_too_many_connections(link->conn)) {
        return UPSTREAM_FAULT_TOO_MANY_CONNECTIONS;
    }
    return libpq_link_is_unreachable_error(PQerrorMessage(link->conn))
               ? UPSTREAM_FAULT_SILENT
               : UPSTREAM_FAULT_REFUSED;
}

static void
libpq_link_poll_connect(struct libpq_link *link)
{
    // libpq may continue with another socket that has the same descriptor.
    loop_watch_destroy(link->watch);
    link->watch = NULL;
    switch (PQconnectPoll(link->conn)) {
    case PGRES_POLLING_READING:
        libpq_link_watch(link, LOOP_READ);
        return;
    case PGRES_POLLING_WRITING:
        libpq_link_watch(link, LOOP_WRITE);
        return;
    case PGRES_POLLING_OK:
        loop_timer_clear(link->timer);
        PQsetnonblocking(link->conn, 1);
        libpq_link_watch(link, LOOP_READ);
        link->phase = LIBPQ_PHASE_IDLE;
        link->events->opened(link->data, UPSTREAM_FAULT_NONE);
        return;
    default:
        libpq_link_fail(link, libpq_link_get_connect_fault(link));
        return;
    }
}

static void
libpq_link_handle_io(void *data, unsigned events)
{
    struct libpq_link *link = data;

    if (link->phase == LIBPQ_PHASE_CONNECT) {
        libpq_link_poll_connect(link);
        return;
    }
    if ((events & LOOP_WRITE) != 0) {
        libpq_link_flush(link);
    }
    if ((events & (LOOP_READ | LOOP_ERROR)) == 0) {
        return;
    }
    bool input_ok = PQconsumeInput(link->conn) == 1;
    if (link->phase == LIBPQ_PHASE_IDLE) {
        PQisBusy(link->conn); // processes notices and parameter changes
        if (!input_ok || PQstatus(link->conn) == CONNECTION_BAD) {
            libpq_link_fail(link, UPSTREAM_FAULT_CONN_LOST);
        }
        return;
    }
    bool ended = link->phase == LIBPQ_PHASE_PIPELINE
                     ? libpq_pipeline_read(link)
                     : libpq_link_read_results(link);
    if (PQstatus(link->conn) == CONNECTION_BAD) {
        libpq_link_fail(link, UPSTREAM_FAULT_CONN_LOST);
        return;
    }
    if (ended) {
        libpq_link_end_phase(link);
    }
}

// ---- operations ----

// Returns whether the upstream has closed the connection while the link was
// idle. Checked before a job is sent, so that the job can be reported as not
// sent and retried safely.
static bool
libpq_link_is_closed(const struct libpq_link *link)
{
    char byte;
    int fd = PQsocket(link->conn);
    ssize_t size = recv(fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);

    if (size > 0 && PQconsumeInput(link->conn) == 1) {
        size = recv(fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    }
    return size == 0 || PQstatus(link->conn) == CONNECTION_BAD ||
           (size < 0 && errno != EAGAIN && errno != EINTR);
}

static void
libpq_link_run(struct upstream_link *base, struct job *job)
{
    struct libpq_link *link = (struct libpq_link *)base;
    // Discard the settings of another session before the job's are applied.
    bool must_discard = (link->settings_hash != 0 &&
                         link->settings_hash != job->settings_hash) ||
                        link->prepared_count > LIBPQ_MAX_PREPARED_STATEMENTS;

    INVARIANT(link->phase == LIBPQ_PHASE_IDLE);
    link->job = job;
    link->key_exists = false;
    link->answer_complete = false;
    job->transaction_status = libpq_link_get_transaction_status(link);
    if (libpq_link_is_closed(link)) {
        // In this phase the failure is reported as NOT_SENT.
        link->phase = LIBPQ_PHASE_SETTINGS;
        libpq_link_schedule_failure(link, UPSTREAM_FAULT_CONN_LOST);
        return;
    }
    if (job->in_transaction) {
        libpq_link_run_after_settings(link);
        return;
    }
    if (must_discard) {
        libpq_link_run_phase(link, LIBPQ_PHASE_DISCARD);
        return;
    }
    libpq_link_run_settings(link);
}

// Runs the statement of a reset or validate operation. The link reports the
// end with the event checked; an SQL error of the statement is ignored.
static void
libpq_link_check(struct libpq_link *link, const char *text)
{
    INVARIANT(link->phase == LIBPQ_PHASE_IDLE);
    link->phase = LIBPQ_PHASE_CHECK;
    loop_timer_set(link->timer, monotonic_get_us() + link->check_timeout_us);
    if (!libpq_link_send_query(link, text)) {
        libpq_link_schedule_failure(link, UPSTREAM_FAULT_CONN_LOST);
    }
}

static void
libpq_link_reset(struct upstream_link *base)
{
    struct libpq_link *link = (struct libpq_link *)base;

    libpq_link_clear_prepared(link);
    link->settings_hash = 0;
    libpq_link_check(link, UPSTREAM_SQL_RESET);
}

static void
libpq_link_validate(struct upstream_link *base)
{
    libpq_link_check((struct libpq_link *)base, UPSTREAM_SQL_VALIDATE);
}

static void
libpq_link_sample(struct upstream_link *base)
{
    struct libpq_link *link = (struct libpq_link *)base;

    INVARIANT(link->phase == LIBPQ_PHASE_IDLE);
    memset(&link->sample, 0, sizeof(link->sample));
    link->phase = LIBPQ_PHASE_SAMPLE;
    link->sample.asked_at_us = monotonic_get_us();
    loop_timer_set(link->timer,
                   link->sample.asked_at_us + link->check_timeout_us);
    if (!libpq_link_send_query(link, UPSTREAM_SQL_SAMPLE)) {
        libpq_link_schedule_failure(link, UPSTREAM_FAULT_CONN_LOST);
    }
}

static atomic_uint libpq_cancels_count;

static void *
libpq_cancel_run(void *data)
{
    char error[256];

    (void)PQcancel(data, error, sizeof(error));
    PQfreeCancel(data);
    atomic_fetch_sub(&libpq_cancels_count, 1);
    return NULL;
}

// Sends a cancel request on a separate thread, because PQcancel blocks. At
// most LIBPQ_MAX_CONCURRENT_CANCELS run at once; above that the request is
// dropped and the statement runs to its end.
static void
libpq_link_cancel(struct upstream_link *base)
{
    struct libpq_link *link = (struct libpq_link *)base;
    PGcancel *cancel = link->job == NULL ? NULL : PQgetCancel(link->conn);
    pthread_t thread;

    if (cancel == NULL) {
        return;
    }
    if (atomic_fetch_add(&libpq_cancels_count, 1) >=
            LIBPQ_MAX_CONCURRENT_CANCELS ||
        pthread_create(&thread, NULL, libpq_cancel_run, cancel) != 0) {
        atomic_fetch_sub(&libpq_cancels_count, 1);
        PQfreeCancel(cancel);
        return;
    }
    pthread_detach(thread);
}

static void
libpq_link_close(struct upstream_link *base)
{
    struct libpq_link *link = (struct libpq_link *)base;

    loop_watch_destroy(link->watch);
    loop_timer_destroy(link->timer);
    PQfinish(link->conn);
    free(link->prepared_names);
    free(link->commands);
    free(link);
}

static const struct upstream_link_ops libpq_link_ops = {
    .run = libpq_link_run,
    .reset = libpq_link_reset,
    .validate = libpq_link_validate,
    .sample = libpq_link_sample,
    .cancel = libpq_link_cancel,
    .close = libpq_link_close,
};

// Starts to open a connection.
static struct upstream_link *
libpq_link_open(struct loop *loop, const struct upstream_target *target,
                const struct upstream_link_events *events, void *data)
{
    struct libpq_link *link = xcalloc(1, sizeof(*link));
    char port[LIBPQ_PORT_SIZE];
    const char *keywords[] = {
        "hostaddr", "port",       "dbname",           "user", "password",
        "sslmode",  "gssencmode", "application_name", NULL};

    (void)snprintf(port, sizeof(port), "%u", target->port);
    const char *values[] = {target->host,
                            port,
                            target->database,
                            target->user,
                            target->password,
                            target->sslmode,
                            "disable",
                            "catkingrade",
                            NULL};
    link->base.ops = &libpq_link_ops;
    link->loop = loop;
    link->events = events;
    link->data = data;
    link->phase = LIBPQ_PHASE_CONNECT;
    link->watch_fd = -1;
    link->check_timeout_us = target->check_timeout_us;
    link->timer = loop_timer_create(loop, libpq_link_handle_timer, link);
    link->conn = PQconnectStartParams(keywords, values, 0);
    upstream_error_enable_sqlstate(link->conn);
    if (link->conn == NULL || PQstatus(link->conn) == CONNECTION_BAD) {
        libpq_link_schedule_failure(link, UPSTREAM_FAULT_REFUSED);
        return &link->base;
    }
    PQsetNoticeReceiver(link->conn, libpq_link_receive_notice, link);
    loop_timer_set(link->timer,
                   monotonic_get_us() + target->connect_timeout_us);
    libpq_link_watch(link, LOOP_WRITE);
    return &link->base;
}

const struct upstream_driver libpq_upstream_driver = {
    .open = libpq_link_open,
};
