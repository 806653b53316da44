#include "test/fake/upstream_session.h"

#include <errno.h>
#include <openssl/rand.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "catkingrade/kernel/memory.h"

#define SESSION_READ_BYTES        65536
#define SESSION_MAX_FRAME_BYTES   (16 * 1024 * 1024)
#define SESSION_MAX_STARTUP_BYTES 10000

// Codes of the first message of a connection; CODE_REPLICATION exists only
// between stand-in upstreams.
#define CODE_PROTOCOL_3  196608
#define CODE_CANCEL      80877102
#define CODE_SSL         80877103
#define CODE_GSS         80877104
#define CODE_REPLICATION 80877999

// Begins a message to the peer. Returns its start, for
// fake_session_frame_end().
size_t
fake_session_frame_begin(struct session *session, char kind)
{
    size_t start = buffer_get_size(&session->out);

    buffer_append_u8(&session->out, (uint8_t)kind);
    buffer_append_be32(&session->out, 0);
    return start;
}

// Ends a message: fills in its length.
void
fake_session_frame_end(struct session *session, size_t start)
{
    uint8_t *at = session->out.data + session->out.start + start + 1;
    size_t size = buffer_get_size(&session->out) - start - 1;

    at[0] = (uint8_t)(size >> 24);
    at[1] = (uint8_t)(size >> 16);
    at[2] = (uint8_t)(size >> 8);
    at[3] = (uint8_t)size;
}

static void
session_append_empty(struct session *session, char kind)
{
    fake_session_frame_end(session, fake_session_frame_begin(session, kind));
}

static void
session_append_error(struct session *session, const char *severity,
                     const char *sqlstate, const char *message)
{
    size_t start = fake_session_frame_begin(session, 'E');

    buffer_append_format(&session->out, "S%s%cV%s%cC%s%cM%s%c%c", severity, 0,
                         severity, 0, sqlstate, 0, message, 0, 0);
    fake_session_frame_end(session, start);
}

static void
session_append_ready(struct session *session)
{
    size_t start = fake_session_frame_begin(session, 'Z');

    buffer_append_u8(&session->out, (uint8_t)session->state);
    fake_session_frame_end(session, start);
}

// Sets the error of the current statement, unless it has one already.
void
fake_session_set_error(struct session *session, const char *sqlstate,
                       const char *format, ...)
{
    va_list args;
    char text[512];

    if (session->error != NULL) {
        return;
    }
    va_start(args, format);
    (void)vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    (void)snprintf(session->sqlstate, sizeof(session->sqlstate), "%s",
                   sqlstate);
    session->error = xstrdup(text);
}

static void
prepared_destroy(struct prepared_list *list, struct prepared *prepared)
{
    TAILQ_REMOVE(list, prepared, entry);
    for (size_t i = 0; i < prepared->params_count; i++) {
        free(prepared->params[i]);
    }
    free(prepared->params);
    free(prepared->name);
    free(prepared->text);
    free(prepared);
}

static struct prepared *
prepared_find(struct prepared_list *list, const char *name)
{
    struct prepared *prepared = NULL;

    TAILQ_FOREACH(prepared, list, entry)
    {
        if (strcmp(prepared->name, name) == 0) {
            return prepared;
        }
    }
    return NULL;
}

static struct prepared *
prepared_add(struct prepared_list *list, const char *name, const char *text)
{
    struct prepared *prepared = prepared_find(list, name);

    if (prepared != NULL) {
        prepared_destroy(list, prepared);
    }
    prepared = xcalloc(1, sizeof(*prepared));
    prepared->name = xstrdup(name);
    prepared->text = xstrdup(text);
    TAILQ_INSERT_HEAD(list, prepared, entry);
    return prepared;
}

static void
prepared_clear(struct prepared_list *list)
{
    while (!TAILQ_EMPTY(list)) {
        prepared_destroy(list, TAILQ_FIRST(list));
    }
}

// Closes the connection at once, without sending pending output, and rolls
// back its transaction. The session is freed at the end of the loop iteration.
void
fake_session_abort(struct session *session)
{
    struct upstream *upstream = session->upstream;

    if (session->phase == SESSION_CLOSED) {
        return;
    }
    if (session->pid != 0) {
        upstream->sessions_count--;
    }
    if (session->statement_running) {
        upstream->statements_running--;
        session->statement_running = false;
    }
    session->phase = SESSION_CLOSED;
    fake_session_rollback(session);
    loop_watch_destroy(session->watch);
    session->watch = NULL;
    loop_timer_clear(session->timer);
    close(session->fd);
    session->fd = -1;
}

// Closes the connection, if it is open, and frees the session.
void
fake_session_destroy(struct session *session)
{
    fake_session_abort(session);
    TAILQ_REMOVE(&session->upstream->sessions, session, entry);
    prepared_clear(&session->statements);
    prepared_clear(&session->portals);
    loop_timer_destroy(session->timer);
    buffer_free(&session->in);
    buffer_free(&session->out);
    free(session->error);
    free(session);
}

// Sends a FATAL error and closes the session once the output is sent.
void
fake_session_terminate(struct session *session, const char *sqlstate,
                       const char *message)
{
    session_append_error(session, "FATAL", sqlstate, message);
    session->phase = SESSION_ENDING;
    fake_session_flush(session);
}

// Sends the output as far as the socket accepts it. Sends nothing while the
// session is silent or its output is delayed.
void
fake_session_flush(struct session *session)
{
    int64_t now_us = loop_get_now_us(session->upstream->loop);

    if (session->phase == SESSION_CLOSED || session->silent) {
        return;
    }
    if (session->output_delayed_until_us > now_us) {
        loop_timer_set(session->timer, session->output_delayed_until_us);
        return;
    }
    while (buffer_get_size(&session->out) > 0) {
        size_t size = buffer_get_size(&session->out);
        if (session->is_cut &&
            session->sent_bytes + size > session->cut_at_bytes) {
            size = (size_t)(session->cut_at_bytes - session->sent_bytes);
        }
        ssize_t sent = size == 0
                           ? 0
                           : send(session->fd, buffer_get_data(&session->out),
                                  size, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0 && (errno == EAGAIN || errno == EINTR)) {
            break;
        }
        if (sent < 0) {
            fake_session_abort(session);
            return;
        }
        buffer_consume(&session->out, (size_t)sent);
        session->sent_bytes += (uint64_t)sent;
        if (session->is_cut && session->sent_bytes == session->cut_at_bytes) {
            fake_session_abort(session);
            return;
        }
    }
    if (session->phase == SESSION_ENDING &&
        buffer_get_size(&session->out) == 0) {
        fake_session_abort(session);
        return;
    }
    bool more = buffer_get_size(&session->out) > 0;
    loop_watch_set_events(session->watch,
                          LOOP_READ | (more ? LOOP_WRITE : 0U));
}

static bool
statement_fault_matches(const struct statement_fault *fault, const char *text)
{
    if (!fault->set) {
        return false;
    }
    if (fault->pattern[0] != '\0') {
        return strcasestr(text, fault->pattern) != NULL;
    }
    // Without a pattern, the proxy's own statements are exempt: position
    // samples and session resets.
    return strstr(text, "pg_is_in_recovery") == NULL &&
           strstr(text, "DISCARD") == NULL;
}

// Applies the faults whose pattern matches the statement. Returns false when
// the connection was closed.
static bool
session_apply_faults(struct session *session, const char *text)
{
    struct upstream_faults *faults = &session->upstream->faults;

    if (statement_fault_matches(&faults->drop, text)) {
        faults->drop.set = false;
        fake_session_abort(session);
        return false;
    }
    if (statement_fault_matches(&faults->cut, text)) {
        faults->cut.set = false;
        session->is_cut = true;
        session->cut_at_bytes = session->sent_bytes +
                                buffer_get_size(&session->out) +
                                (uint64_t)faults->cut.amount;
    }
    if (statement_fault_matches(&faults->late, text)) {
        session->output_delayed_until_us =
            loop_get_now_us(session->upstream->loop) + faults->late.amount;
    }
    return true;
}

// Begins a statement: counts it as running and applies faults. Does so only on
// the first call for a statement. Returns false when the statement has to wait
// for the configured execution time, or when a fault closed the connection.
static bool
session_begin_statement(struct session *session, const char *text)
{
    struct upstream *upstream = session->upstream;

    if (session->statement_running) {
        if (session->delay_pending) {
            session->delay_pending = false;
            session->resume_at_us = 0;
        }
        return true;
    }
    session->statement_running = true;
    upstream->statements_running++;
    if (upstream->statements_running > upstream->statements_running_peak) {
        upstream->statements_running_peak = upstream->statements_running;
    }
    if (!session_apply_faults(session, text)) {
        return false;
    }
    if (upstream->options.statement_us > 0) {
        session->delay_pending = true;
        session->resume_at_us =
            loop_get_now_us(upstream->loop) + upstream->options.statement_us;
        return false;
    }
    return true;
}

static void
session_finish_statement(struct session *session)
{
    session->statement_running = false;
    session->upstream->statements_running--;
    session->resume_at_us = 0;
    session->lock_deadline_us = 0;
    session->waits_for_lock = false;
}

// Sends the error of a statement and rolls back its implicit transaction, or
// marks its transaction block as failed.
static void
session_fail_statement(struct session *session)
{
    session_append_error(session, "ERROR", session->sqlstate, session->error);
    free(session->error);
    session->error = NULL;
    if (session->state == TRANSACTION_IDLE) {
        fake_session_rollback(session);
    }
    else {
        session->state = TRANSACTION_FAILED;
    }
}

// Runs or resumes one statement, and sends its error if it fails. portal is
// NULL in the simple query protocol.
static enum execute_result
session_run_statement(struct session *session, const char *text,
                      const struct plan *plan, const struct prepared *portal)
{
    if (!session_begin_statement(session, text)) {
        return EXECUTE_WAIT;
    }
    enum execute_result result = fake_session_execute(
        session, plan, portal == NULL ? NULL : portal->params,
        portal == NULL ? 0 : portal->params_count, portal == NULL);
    if (session->phase == SESSION_CLOSED || result == EXECUTE_WAIT) {
        return EXECUTE_WAIT;
    }
    session_finish_statement(session);
    if (plan->kind == PLAN_NO_EFFECT &&
        (strcmp(plan->tag, "DISCARD ALL") == 0 ||
         strcmp(plan->tag, "DEALLOCATE") == 0) &&
        result == EXECUTE_DONE) {
        prepared_clear(&session->statements);
        prepared_clear(&session->portals);
    }
    if (result == EXECUTE_ERROR) {
        session_fail_statement(session);
    }
    return result;
}

// Runs the statements of a simple query. Returns false when one has to wait.
static bool
session_handle_query(struct session *session, const char *text)
{
    const struct plan_list *list =
        fake_plan_cache_get(session->upstream->plans, text);

    if (list->count == 0) {
        session_append_empty(session, 'I');
    }
    while (session->query_next < list->count) {
        enum execute_result result = session_run_statement(
            session, text, &list->plans[session->query_next], NULL);
        if (result == EXECUTE_WAIT) {
            return false;
        }
        if (result == EXECUTE_ERROR) {
            break;
        }
        session->query_next++;
    }
    session->query_next = 0;
    fake_session_commit_implicit(session);
    session_append_ready(session);
    return true;
}

// Reader of a received message's body.
struct frame {
    const uint8_t *at;
    const uint8_t *end;
    bool malformed;
};

static const char *
frame_read_text(struct frame *frame)
{
    const uint8_t *zero =
        memchr(frame->at, 0, (size_t)(frame->end - frame->at));

    if (zero == NULL) {
        frame->malformed = true;
        return "";
    }
    const char *text = (const char *)frame->at;
    frame->at = zero + 1;
    return text;
}

static uint32_t
frame_read_u16(struct frame *frame)
{
    if (frame->end - frame->at < 2) {
        frame->malformed = true;
        return 0;
    }
    uint32_t value = (uint32_t)frame->at[0] << 8 | frame->at[1];
    frame->at += 2;
    return value;
}

static char *
frame_read_value(struct frame *frame)
{
    if (frame->end - frame->at < 4) {
        frame->malformed = true;
        return NULL;
    }
    uint32_t size = fake_be32_read(frame->at);
    frame->at += 4;
    if (size == UINT32_MAX) {
        return NULL;
    }
    if ((size_t)(frame->end - frame->at) < size) {
        frame->malformed = true;
        return NULL;
    }
    char *value = xmemdupz((const char *)frame->at, size);
    frame->at += size;
    return value;
}

// Reads the format codes of parameters or results. Sets an error unless all
// are text.
static void
session_check_formats(struct session *session, struct frame *frame)
{
    uint32_t count = frame_read_u16(frame);

    for (uint32_t i = 0; i < count && !frame->malformed; i++) {
        if (frame_read_u16(frame) != 0) {
            fake_session_set_error(
                session, "0A000",
                "the stand-in upstream has no binary format");
        }
    }
}

static void
session_handle_parse(struct session *session, struct frame *frame)
{
    const char *name = frame_read_text(frame);
    const char *text = frame_read_text(frame);

    if (frame->malformed) {
        return;
    }
    const struct plan_list *list =
        fake_plan_cache_get(session->upstream->plans, text);
    if (list->count > 1) {
        fake_session_set_error(
            session, "42601",
            "cannot insert multiple commands into a prepared "
            "statement");
    }
    else if (list->count == 1 && list->plans[0].kind == PLAN_INVALID) {
        fake_session_set_error(session, "42601", "%s", list->plans[0].message);
    }
    else if (name[0] != '\0' &&
             prepared_find(&session->statements, name) != NULL) {
        fake_session_set_error(session, "42P05",
                               "prepared statement \"%s\" already exists",
                               name);
    }
    else {
        prepared_add(&session->statements, name, text);
        session_append_empty(session, '1');
    }
}

static void
session_handle_bind(struct session *session, struct frame *frame)
{
    const char *portal_name = frame_read_text(frame);
    const char *name = frame_read_text(frame);
    struct prepared *statement = prepared_find(&session->statements, name);

    session_check_formats(session, frame);
    uint32_t count = frame_read_u16(frame);
    if (frame->malformed) {
        return;
    }
    if (statement == NULL) {
        fake_session_set_error(session, "26000",
                               "prepared statement \"%s\" does not exist",
                               name);
        return;
    }
    struct prepared *portal =
        prepared_add(&session->portals, portal_name, statement->text);
    portal->params = xcalloc(count + 1, sizeof(char *));
    portal->params_count = count;
    for (uint32_t i = 0; i < count && !frame->malformed; i++) {
        portal->params[i] = frame_read_value(frame);
    }
    session_check_formats(session, frame);
    if (session->error == NULL) {
        session_append_empty(session, '2');
    }
}

static void
session_append_params(struct session *session, const struct plan *plan)
{
    int count = plan == NULL ? 0 : plan->params_count;
    size_t start = fake_session_frame_begin(session, 't');

    buffer_append_be16(&session->out, (uint16_t)count);
    for (int i = 0; i < count; i++) {
        buffer_append_be32(&session->out, TYPE_TEXT);
    }
    fake_session_frame_end(session, start);
}

static void
session_handle_describe(struct session *session, struct frame *frame)
{
    bool is_statement = frame->at < frame->end && *frame->at == 'S';
    frame->at += frame->at < frame->end ? 1 : 0;
    const char *name = frame_read_text(frame);
    struct prepared *prepared = prepared_find(
        is_statement ? &session->statements : &session->portals, name);

    if (frame->malformed) {
        return;
    }
    if (prepared == NULL) {
        fake_session_set_error(session, is_statement ? "26000" : "34000",
                               "\"%s\" does not exist", name);
        return;
    }
    const struct plan_list *list =
        fake_plan_cache_get(session->upstream->plans, prepared->text);
    const struct plan *plan = list->count == 0 ? NULL : &list->plans[0];
    if (is_statement) {
        session_append_params(session, plan);
    }
    if (plan == NULL || !fake_session_append_description(session, plan)) {
        session_append_empty(session, 'n');
    }
}

// Runs a portal. Returns false when its statement has to wait.
static bool
session_handle_execute(struct session *session, struct frame *frame)
{
    const char *name = frame_read_text(frame);
    struct prepared *portal = prepared_find(&session->portals, name);

    if (portal == NULL) {
        fake_session_set_error(session, "34000",
                               "portal \"%s\" does not exist", name);
        return true;
    }
    const struct plan_list *list =
        fake_plan_cache_get(session->upstream->plans, portal->text);
    if (list->count == 0) {
        session_append_empty(session, 'I');
        return true;
    }
    enum execute_result result =
        session_run_statement(session, portal->text, &list->plans[0], portal);
    if (result == EXECUTE_ERROR) {
        session->skip_until_sync = true;
    }
    return result != EXECUTE_WAIT;
}

static void
session_handle_close(struct session *session, struct frame *frame)
{
    bool is_statement = frame->at < frame->end && *frame->at == 'S';
    frame->at += frame->at < frame->end ? 1 : 0;
    struct prepared_list *list =
        is_statement ? &session->statements : &session->portals;
    struct prepared *prepared = prepared_find(list, frame_read_text(frame));

    if (prepared != NULL) {
        prepared_destroy(list, prepared);
    }
    session_append_empty(session, '3');
}

static void
session_handle_sync(struct session *session)
{
    session->skip_until_sync = false;
    fake_session_commit_implicit(session);
    session_append_ready(session);
}

// Handles a message of the extended query protocol. Returns false when it has
// to be handled again later.
static bool
session_handle_extended(struct session *session, char kind,
                        struct frame *frame)
{
    bool done = true;

    switch (kind) {
    case 'P':
        session_handle_parse(session, frame);
        break;
    case 'B':
        session_handle_bind(session, frame);
        break;
    case 'D':
        session_handle_describe(session, frame);
        break;
    case 'E':
        done = session_handle_execute(session, frame);
        break;
    case 'C':
        session_handle_close(session, frame);
        break;
    default:
        fake_session_terminate(session, "08P01",
                               "invalid frontend message type");
        return true;
    }
    if (session->error != NULL) {
        session_fail_statement(session);
        session->skip_until_sync = true;
    }
    return done;
}

// Handles one message. Returns false when it has to be handled again later.
static bool
session_handle_frame(struct session *session, char kind, struct frame *frame)
{
    switch (kind) {
    case 'X':
        session->phase = SESSION_ENDING;
        return true;
    case 'S':
        session_handle_sync(session);
        return true;
    case 'H':
        return true;
    case 'Q':
        if (memchr(frame->at, 0, (size_t)(frame->end - frame->at)) == NULL) {
            fake_session_terminate(session, "08P01", "invalid message format");
            return true;
        }
        return session_handle_query(session, (const char *)frame->at);
    default:
        break;
    }
    if (session->skip_until_sync) {
        return true;
    }
    bool done = session_handle_extended(session, kind, frame);
    if (frame->malformed) {
        fake_session_terminate(session, "08P01", "invalid message format");
    }
    return done;
}

static void
session_append_parameter(struct session *session, const char *name,
                         const char *value)
{
    size_t start = fake_session_frame_begin(session, 'S');

    buffer_append(&session->out, name, strlen(name) + 1);
    buffer_append(&session->out, value, strlen(value) + 1);
    fake_session_frame_end(session, start);
}

static void
session_finish_connect(struct session *session)
{
    static const char *const parameters[][2] = {
        {"server_version", "15.0"},
        {"server_encoding", "UTF8"},
        {"client_encoding", "UTF8"},
        {"DateStyle", "ISO, MDY"},
        {"TimeZone", "UTC"},
        {"integer_datetimes", "on"},
        {"standard_conforming_strings", "on"},
        {"is_superuser", "on"}};

    session->phase = SESSION_READY;
    size_t start = fake_session_frame_begin(session, 'R');
    buffer_append_be32(&session->out, 0);
    fake_session_frame_end(session, start);
    for (size_t i = 0; i < ARRAY_SIZE(parameters); i++) {
        session_append_parameter(session, parameters[i][0], parameters[i][1]);
    }
    start = fake_session_frame_begin(session, 'K');
    buffer_append_be32(&session->out, session->pid);
    buffer_append_be32(&session->out, session->secret);
    fake_session_frame_end(session, start);
    session_append_ready(session);
}

// Handles a client's startup message. Refuses the client when the limit of
// connections is reached.
static void
session_accept_client(struct session *session)
{
    struct upstream *upstream = session->upstream;

    if (upstream->sessions_count + 1 > upstream->sessions_peak) {
        upstream->sessions_peak = upstream->sessions_count + 1;
    }
    if (upstream->sessions_count >= upstream->options.connections) {
        fake_session_terminate(session, "53300",
                               "sorry, too many clients already");
        return;
    }
    upstream->sessions_count++;
    session->pid = ++upstream->next_pid;
    INVARIANT(RAND_bytes((unsigned char *)&session->secret,
                         sizeof(session->secret)) == 1);
    session->phase = SESSION_CONNECTING;
    session->resume_at_us =
        loop_get_now_us(upstream->loop) + upstream->options.connect_delay_us;
}

static void
session_cancel(struct session *session, const uint8_t *data)
{
    uint32_t pid = fake_be32_read(data);
    uint32_t secret = fake_be32_read(data + 4);
    struct session *other = NULL;

    TAILQ_FOREACH(other, &session->upstream->sessions, entry)
    {
        if (other->pid == pid && other->secret == secret &&
            other->statement_running) {
            fake_session_set_error(other, "57014",
                                   "canceling statement due to user request");
            other->resume_at_us = 0;
            loop_timer_set(other->timer, 0);
        }
    }
    fake_session_abort(session);
}

// Handles the first message of a connection. Returns false when the message is
// incomplete or the connection was closed.
static bool
session_handle_startup(struct session *session)
{
    const uint8_t *data = buffer_get_data(&session->in);
    size_t available = buffer_get_size(&session->in);

    if (available < 8) {
        return false;
    }
    size_t size = fake_be32_read(data);
    uint32_t code = fake_be32_read(data + 4);
    if (size < 8 || size > SESSION_MAX_STARTUP_BYTES) {
        fake_session_abort(session);
        return false;
    }
    if (available < size) {
        return false;
    }
    if (code == CODE_SSL || code == CODE_GSS) {
        buffer_append_u8(&session->out, 'N');
    }
    else if (code == CODE_CANCEL && size == 16) {
        session_cancel(session, data + 8);
        return false;
    }
    else if (code == CODE_REPLICATION) {
        if (!fake_session_start_replication(session, data + 8, size - 8)) {
            fake_session_abort(session);
            return false;
        }
    }
    else if (code == CODE_PROTOCOL_3) {
        session_accept_client(session);
    }
    else {
        fake_session_terminate(session, "0A000",
                               "unsupported frontend protocol");
    }
    buffer_consume(&session->in, size);
    return true;
}

// Handles the next message of the input. Returns false when there is no
// complete message, or when it has to be handled again later.
static bool
session_handle_next_frame(struct session *session)
{
    const uint8_t *data = buffer_get_data(&session->in);
    size_t available = buffer_get_size(&session->in);

    if (available < 5) {
        return false;
    }
    size_t size = fake_be32_read(data + 1);
    if (size < 4 || size > SESSION_MAX_FRAME_BYTES) {
        fake_session_terminate(session, "08P01", "invalid message length");
        return false;
    }
    if (available < size + 1) {
        return false;
    }
    struct frame frame = {.at = data + 5, .end = data + 1 + size};
    if (!session_handle_frame(session, (char)data[0], &frame)) {
        return false;
    }
    if (session->phase != SESSION_CLOSED) {
        buffer_consume(&session->in, size + 1);
    }
    return true;
}

// Handles one message, or ends the connect delay. Returns false when nothing
// can be handled now.
static bool
session_step(struct session *session)
{
    int64_t now_us = loop_get_now_us(session->upstream->loop);

    if (session->silent) {
        return false;
    }
    if (session->resume_at_us > now_us && session->error == NULL) {
        loop_timer_set(session->timer, session->resume_at_us);
        return false;
    }
    switch (session->phase) {
    case SESSION_STARTUP:
        return session_handle_startup(session);
    case SESSION_CONNECTING:
        session->resume_at_us = 0;
        session_finish_connect(session);
        return true;
    case SESSION_READY:
        return session_handle_next_frame(session);
    default:
        return false;
    }
}

// Handles the buffered input until a message is incomplete or has to wait,
// then sends the output.
void
fake_session_process_input(struct session *session)
{
    while (session_step(session)) {
    }
    if (session->phase == SESSION_CLOSED) {
        return;
    }
    if (session->resume_at_us > loop_get_now_us(session->upstream->loop)) {
        loop_timer_set(session->timer, session->resume_at_us);
    }
    fake_session_flush(session);
}

static void
session_run_timer(void *data)
{
    fake_session_process_input(data);
}

static void
session_handle_events(void *data, unsigned events)
{
    struct session *session = data;

    if (session->silent) {
        loop_watch_set_events(session->watch, 0);
        if ((events & LOOP_ERROR) != 0) {
            fake_session_abort(session);
        }
        return;
    }
    if ((events & (LOOP_READ | LOOP_ERROR)) != 0) {
        uint8_t *at = buffer_reserve(&session->in, SESSION_READ_BYTES);
        ssize_t size = recv(session->fd, at, SESSION_READ_BYTES, MSG_DONTWAIT);
        if (size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR)) {
            fake_session_abort(session);
            return;
        }
        session->in.end += size > 0 ? (size_t)size : 0;
    }
    fake_session_process_input(session);
}

// Creates a session for an accepted connection. Takes ownership of fd.
void
fake_session_create(struct upstream *upstream, int fd)
{
    struct session *session = xcalloc(1, sizeof(*session));

    session->upstream = upstream;
    session->fd = fd;
    session->state = TRANSACTION_IDLE;
    session->silent = upstream->faults.silence == SILENCE_ALL;
    TAILQ_INIT(&session->statements);
    TAILQ_INIT(&session->portals);
    session->timer =
        loop_timer_create(upstream->loop, session_run_timer, session);
    session->watch = loop_watch_create(upstream->loop, fd, LOOP_READ,
                                       session_handle_events, session);
    INVARIANT(session->watch != NULL);
    TAILQ_INSERT_TAIL(&upstream->sessions, session, entry);
}
