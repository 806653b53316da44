#include "catkingrade/plugins/postgres_session.h"

#include <openssl/rand.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/plugins/postgres_listener.h"
#include "catkingrade/plugins/postgres_message.h"

// Maximum time from the connection to the end of authentication.
#define POSTGRES_STARTUP_TIMEOUT_US 10000000
// Maximum time for the last answers of a session to reach the client, and the
// interval of checks.
#define POSTGRES_DELIVERY_TIMEOUT_US 2000000
#define POSTGRES_DELIVERY_POLL_US    10000
// Input that is buffered while a request is in flight.
#define POSTGRES_READ_AHEAD_MAX_BYTES 262144
// Input that is buffered beyond a message of maximum length. The type byte of
// a message does not count in its length.
#define POSTGRES_READ_SLACK_BYTES 1024

static const struct entry_session_ops postgres_session_ops;

// Watches the socket for reading unless reading is paused, and for writing if
// output is pending.
static void
postgres_session_update_watch(struct postgres_session *session)
{
    const struct postgres_transport *transport = &session->transport;
    unsigned events = session->reading_paused ? 0 : LOOP_READ;

    if (buffer_get_size(&session->out) > 0 || transport->wants_write) {
        events |= LOOP_WRITE;
    }
    loop_watch_set_events(session->watch, events);
}

static void
postgres_session_handle_watch(void *data, unsigned events)
{
    struct postgres_session *session = data;

    if (session->delivery_deadline_us != 0 && (events & LOOP_ERROR) != 0) {
        postgres_session_destroy(session);
        return;
    }
    postgres_session_process_io(session);
}

// Closes a session whose startup or authentication took too long.
static void
postgres_session_handle_timer(void *data)
{
    struct postgres_session *session = data;

    counter_add(COUNTER_SESSIONS_REFUSED, 1);
    postgres_session_destroy(session);
}

// Returns the worker whose thread serves the session.
struct worker *
postgres_session_get_worker(const struct postgres_session *session)
{
    return session->listener->worker;
}

// Returns whether the session has an open transaction, failed or not.
bool
postgres_session_in_transaction(const struct postgres_session *session)
{
    return session->status != 'I';
}

// Adds a session that has not logged in to a listener, with the timer that
// limits its startup. Must run on the listener's thread.
void
postgres_session_attach(struct postgres_session *session,
                        struct postgres_listener *listener)
{
    struct loop *loop = worker_get_loop(listener->worker);

    session->listener = listener;
    session->next = listener->sessions;
    session->prev_next = &listener->sessions;
    if (session->next != NULL) {
        session->next->prev_next = &session->next;
    }
    listener->sessions = session;
    session->watch = loop_watch_create(loop, session->transport.fd, LOOP_READ,
                                       postgres_session_handle_watch, session);
    INVARIANT(session->watch != NULL);
    session->timer =
        loop_timer_create(loop, postgres_session_handle_timer, session);
    loop_timer_set(session->timer, session->startup_deadline_us);
}

// Removes a session from its listener, before it moves to another thread or is
// destroyed.
static void
postgres_session_detach(struct postgres_session *session)
{
    *session->prev_next = session->next;
    if (session->next != NULL) {
        session->next->prev_next = session->prev_next;
    }
    loop_watch_destroy(session->watch);
    session->watch = NULL;
    loop_timer_destroy(session->timer);
    session->timer = NULL;
}

// Creates the session of a new client connection. Takes ownership of fd.
struct postgres_session *
postgres_session_create(struct postgres_listener *listener, int fd)
{
    struct postgres_session *session = xcalloc(1, sizeof(*session));
    struct loop *loop = worker_get_loop(listener->worker);

    session->base.ops = &postgres_session_ops;
    session->base.id = worker_make_id(listener->worker);
    session->transport.fd = fd;
    session->status = 'I';
    session->state = POSTGRES_STATE_STARTUP;
    session->startup_deadline_us =
        loop_get_now_us(loop) + POSTGRES_STARTUP_TIMEOUT_US;
    postgres_session_attach(session, listener);
    return session;
}

static void
postgres_session_free_startup(struct postgres_session *session)
{
    if (session->startup != NULL) {
        postgres_startup_free(session->startup);
        free(session->startup);
        session->startup = NULL;
    }
    postgres_scram_free(session->scram);
    session->scram = NULL;
}

static void
postgres_session_free_batch(struct postgres_session *session)
{
    if (session->batch != NULL) {
        job_free(&session->batch->job);
        free(session->batch);
        session->batch = NULL;
    }
}

// Closes the client connection and frees a session that no listener owns and
// that no database knows.
static void
postgres_session_free(struct postgres_session *session)
{
    postgres_session_free_batch(session);
    postgres_session_free_startup(session);
    postgres_names_free(session);
    postgres_transport_close(&session->transport);
    buffer_free(&session->in);
    buffer_free(&session->out);
    free(session->variables);
    free(session->settings_text);
    free(session->settings_pending);
    free(session);
}

// Closes the client connection and frees the session, in any state. A request
// in flight is cancelled. If a transaction is open, the scheduler closes or
// resets its upstream connection.
void
postgres_session_destroy(struct postgres_session *session)
{
    struct database *database = session->base.database;
    struct entry *entry =
        worker_get_entry(postgres_session_get_worker(session));

    postgres_session_detach(session);
    if (session->admitted) {
        entry_release_session(entry, database_get_customer_name(database));
        counter_add(COUNTER_SESSIONS_CLOSED, 1);
    }
    if (database != NULL) {
        database_close_session(database, &session->base, session->request);
    }
    postgres_session_free(session);
}

// Queues a fatal error for the client. The session is closed when the error
// has been written.
void
postgres_session_fail(struct postgres_session *session, const char *sqlstate,
                      const char *text)
{
    postgres_message_add_error(&session->out, "FATAL", sqlstate, NULL, "%s",
                               text);
    session->state = POSTGRES_STATE_CLOSING;
}

// Ends a session without a request in flight, in a transaction or not. May
// free the session.
void
postgres_session_finish(struct postgres_session *session)
{
    if (session->state != POSTGRES_STATE_CLOSING) {
        postgres_session_fail(session, SQLSTATE_SHUTDOWN,
                              "terminating connection due to a planned stop");
    }
    postgres_session_process_io(session);
}

// Ends a session gracefully: immediately if the session is idle outside a
// transaction, otherwise at its next transaction boundary.
void
postgres_session_end(struct postgres_session *session)
{
    session->end_requested = true;
    if (session->state != POSTGRES_STATE_READY || session->status != 'I' ||
        session->batch != NULL || buffer_get_size(&session->in) > 0) {
        return;
    }
    postgres_session_fail(session, SQLSTATE_SHUTDOWN,
                          "terminating connection due to a planned stop");
    (void)postgres_transport_write(&session->transport, &session->out);
    loop_watch_set_events(session->watch, LOOP_READ | LOOP_WRITE);
}

static void
postgres_session_handle_end(struct entry_session *base)
{
    postgres_session_end((struct postgres_session *)base);
}

static const struct entry_session_ops postgres_session_ops = {
    .answer = postgres_answer_done,
    .refuse = postgres_answer_refused,
    .unknown = postgres_answer_unknown,
    .end = postgres_session_handle_end,
};

// ---- messages ----

static void
postgres_session_handle_message(struct postgres_session *session,
                                const struct postgres_frame *frame)
{
    struct postgres_reader reader;

    if (session->ignores_until_sync && frame->type != 'S' &&
        frame->type != 'X') {
        return;
    }
    switch (frame->type) {
    case 'Q':
        postgres_reader_init(&reader, frame);
        const char *text = postgres_reader_get_string(&reader);
        if (!postgres_reader_is_done(&reader)) {
            counter_add(COUNTER_FRAMES_BAD, 1);
            postgres_session_fail(session, SQLSTATE_PROTOCOL,
                                  "invalid query message");
            return;
        }
        if (!postgres_extended_allow_query(session)) {
            return;
        }
        postgres_query_handle(session, text);
        return;
    case 'P':
    case 'B':
    case 'C':
    case 'D':
    case 'E':
    case 'H':
    case 'S':
        postgres_extended_handle(session, frame);
        return;
    case 'X':
        session->state = POSTGRES_STATE_CLOSING;
        return;
    case 'd':
    case 'c':
    case 'f':
        return; // data of a COPY that was refused
    case 'F':
        postgres_message_add_error(&session->out, "ERROR",
                                   SQLSTATE_NOT_SUPPORTED, NULL,
                                   "function calls are not supported");
        postgres_message_add_ready(&session->out, session->status);
        return;
    default:
        counter_add(COUNTER_FRAMES_BAD, 1);
        postgres_session_fail(session, SQLSTATE_PROTOCOL,
                              "invalid frontend message type");
        return;
    }
}

static void
postgres_session_handle_frame(struct postgres_session *session,
                              const struct postgres_frame *frame)
{
    switch (session->state) {
    case POSTGRES_STATE_STARTUP:
        postgres_session_handle_startup(session, frame);
        return;
    case POSTGRES_STATE_AUTHENTICATION:
        postgres_session_handle_password(session, frame);
        return;
    case POSTGRES_STATE_READY:
        postgres_session_handle_message(session, frame);
        return;
    case POSTGRES_STATE_BUSY:
    case POSTGRES_STATE_CLOSING:
        return;
    }
}

// Returns the limit of a message's length field in the session's state.
static size_t
postgres_session_get_max_message_bytes(const struct postgres_session *session)
{
    switch (session->state) {
    case POSTGRES_STATE_STARTUP:
        return POSTGRES_STARTUP_MESSAGE_MAX_BYTES;
    case POSTGRES_STATE_AUTHENTICATION:
        return POSTGRES_PASSWORD_MESSAGE_MAX_BYTES;
    default:
        return POSTGRES_MESSAGE_MAX_BYTES;
    }
}

// Handles the first message in the input buffer. Returns false if there is no
// complete message or if the message has an invalid length, which ends the
// session.
static bool
postgres_session_process_frame(struct postgres_session *session)
{
    struct postgres_frame frame;
    bool startup = session->state == POSTGRES_STATE_STARTUP;
    int outcome = postgres_frame_read(
        buffer_get_data(&session->in), buffer_get_size(&session->in), startup,
        postgres_session_get_max_message_bytes(session), &frame);

    if (outcome == OUTCOME_AGAIN) {
        return false;
    }
    if (outcome != OUTCOME_OK) {
        counter_add(COUNTER_FRAMES_BAD, 1);
        postgres_session_fail(session, SQLSTATE_PROTOCOL,
                              "invalid message length");
        return false;
    }
    // The handlers copy the data that they need beyond this call.
    postgres_session_handle_frame(session, &frame);
    buffer_consume(&session->in, frame.frame_size);
    return true;
}

// Returns whether the session has read its startup message but has not yet
// moved to the thread that owns its database.
static bool
postgres_session_needs_move(const struct postgres_session *session)
{
    return session->state == POSTGRES_STATE_STARTUP &&
           session->startup != NULL && session->base.database == NULL;
}

static bool
postgres_session_accepts_frames(const struct postgres_session *session)
{
    return session->state != POSTGRES_STATE_BUSY &&
           session->state != POSTGRES_STATE_CLOSING &&
           !session->transport.handshaking &&
           !postgres_session_needs_move(session);
}

// ---- input and output ----

// Reads available input, up to the limit of the session's state, or continues
// the TLS handshake. Returns false if the client has closed the connection or
// the connection has failed.
static bool
postgres_session_read(struct postgres_session *session)
{
    size_t limit =
        session->state == POSTGRES_STATE_BUSY
            ? POSTGRES_READ_AHEAD_MAX_BYTES
            : POSTGRES_MESSAGE_MAX_BYTES + POSTGRES_READ_SLACK_BYTES;
    int outcome = OUTCOME_AGAIN;

    if (session->transport.handshaking) {
        outcome = postgres_transport_handshake(&session->transport);
    }
    if (!session->transport.handshaking) {
        outcome =
            postgres_transport_read(&session->transport, &session->in, limit);
    }
    session->reading_paused = buffer_get_size(&session->in) >= limit;
    return outcome != OUTCOME_CLOSED;
}

// Frees empty buffers, so that idle sessions use little memory.
static void
postgres_session_shrink(struct postgres_session *session)
{
    if (buffer_get_size(&session->in) == 0) {
        buffer_free(&session->in);
    }
    if (buffer_get_size(&session->out) == 0) {
        buffer_free(&session->out);
    }
}

// A session that moves to another thread. Meanwhile no listener owns it.
struct postgres_move {
    struct postgres_session *session;
    struct worker *worker;
};

// Continues a moved session on the thread that owns its database.
static void
postgres_session_finish_move(void *data)
{
    struct postgres_move *move = data;
    struct postgres_session *session = move->session;
    struct worker *worker = move->worker;

    free(move);
    postgres_session_attach(session, worker_get_listener_state(worker));
    session->base.id = worker_make_id(worker);
    postgres_session_open(session);
    postgres_session_process_io(session);
}

// Closes a moved session whose new thread has ended.
static void
postgres_session_discard_move(void *data)
{
    struct postgres_move *move = data;

    postgres_session_free(move->session);
    free(move);
}

// Moves a session to the thread that owns its database. The caller must not
// use the session afterwards.
static void
postgres_session_move(struct postgres_session *session)
{
    struct entry *entry =
        worker_get_entry(postgres_session_get_worker(session));
    struct postgres_move *move = xcalloc(1, sizeof(*move));

    move->session = session;
    move->worker = entry_find_worker(entry, session->startup->database);
    postgres_session_detach(session);
    session->listener = NULL;
    loop_post(worker_get_loop(move->worker), postgres_session_finish_move,
              postgres_session_discard_move, move);
}

// Writes pending output. Returns false if the session must be destroyed:
// because the connection is closed, or because the session is closing and all
// output is written.
static bool
postgres_session_write(struct postgres_session *session)
{
    int outcome =
        session->transport.handshaking
            ? OUTCOME_OK
            : postgres_transport_write(&session->transport, &session->out);

    if (outcome == OUTCOME_CLOSED) {
        return false;
    }
    return session->state != POSTGRES_STATE_CLOSING ||
           buffer_get_size(&session->out) > 0;
}

static void
postgres_session_handle_delivery_timer(void *data)
{
    postgres_session_process_io(data);
}

// Returns whether a session that is closing, with all output written, still
// waits until the client has received it.
static bool
postgres_session_awaits_delivery(struct postgres_session *session)
{
    struct loop *loop = worker_get_loop(postgres_session_get_worker(session));
    int64_t now_us = monotonic_get_us();

    if (session->state != POSTGRES_STATE_CLOSING ||
        buffer_get_size(&session->out) > 0 ||
        postgres_transport_finish(&session->transport)) {
        return false;
    }
    if (session->delivery_deadline_us == 0) {
        session->delivery_deadline_us = now_us + POSTGRES_DELIVERY_TIMEOUT_US;
        loop_timer_destroy(session->timer);
        session->timer = loop_timer_create(
            loop, postgres_session_handle_delivery_timer, session);
        loop_watch_set_events(session->watch, 0);
    }
    loop_timer_set(session->timer, now_us + POSTGRES_DELIVERY_POLL_US);
    return now_us < session->delivery_deadline_us;
}

// Reads input, handles complete messages and writes output until one of these
// would block. May free the session or move it to another thread.
void
postgres_session_process_io(struct postgres_session *session)
{
    bool alive = session->state == POSTGRES_STATE_CLOSING ||
                 postgres_session_read(session);

    // Keeps outcomes that arrive within a message handler from calling this
    // function recursively.
    session->processing_frames = true;
    while (postgres_session_accepts_frames(session) &&
           postgres_session_process_frame(session)) {
        continue;
    }
    session->processing_frames = false;
    if (alive && postgres_session_needs_move(session)) {
        postgres_session_move(session);
        return;
    }
    if (alive && session->end_requested &&
        session->state == POSTGRES_STATE_READY) {
        postgres_session_end(session);
    }
    bool open = postgres_session_write(session);
    if (!open && alive && postgres_session_awaits_delivery(session)) {
        return;
    }
    if (!open || !alive) {
        postgres_session_destroy(session);
        return;
    }
    postgres_session_shrink(session);
    postgres_session_update_watch(session);
}
