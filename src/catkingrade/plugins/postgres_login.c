#include <openssl/rand.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/plugins/postgres_listener.h"
#include "catkingrade/plugins/postgres_message.h"
#include "catkingrade/plugins/postgres_session.h"

// Startup of a client session: TLS request, startup message, admission, and
// the messages after successful authentication.

#define POSTGRES_AUTH_OK              0
#define POSTGRES_PROTOCOL_MINOR_MASK  0xffff
#define POSTGRES_PROTOCOL_MAJOR_SHIFT 16
#define POSTGRES_SERVER_VERSION       "15.0"
#define POSTGRES_SSL_REQUEST_BYTES    8

// Parameters that are reported to each client at login. Client libraries
// expect them.
static const char *const postgres_parameters[][2] = {
    {"server_version", POSTGRES_SERVER_VERSION},
    {"server_encoding", "UTF8"},
    {"client_encoding", "UTF8"},
    {"application_name", ""},
    {"DateStyle", "ISO, MDY"},
    {"IntervalStyle", "postgres"},
    {"TimeZone", "Etc/UTC"},
    {"integer_datetimes", "on"},
    {"standard_conforming_strings", "on"},
    {"is_superuser", "off"},
    {"default_transaction_read_only", "off"},
    {"in_hot_standby", "off"},
};

static void
postgres_login_refuse(struct postgres_session *session, const char *sqlstate,
                      const char *text)
{
    counter_add(COUNTER_SESSIONS_REFUSED, 1);
    postgres_session_fail(session, sqlstate, text);
}

static void
postgres_login_answer_tls(struct postgres_session *session)
{
    SSL_CTX *context = session->listener->tls;
    char answer = context == NULL ? 'N' : 'S';

    // Bytes behind the request were sent unencrypted, possibly injected by a
    // third party. They must not count as part of the encrypted session, so
    // the connection is closed.
    if (context != NULL &&
        buffer_get_size(&session->in) > POSTGRES_SSL_REQUEST_BYTES) {
        counter_add(COUNTER_FRAMES_BAD, 1);
        session->state = POSTGRES_STATE_CLOSING;
        return;
    }
    buffer_append_u8(&session->out, (uint8_t)answer);
    if (context == NULL || session->transport.ssl != NULL) {
        return;
    }
    if (postgres_transport_write(&session->transport, &session->out) !=
            OUTCOME_OK ||
        postgres_transport_begin_tls(&session->transport, context) !=
            OUTCOME_OK) {
        session->state = POSTGRES_STATE_CLOSING;
    }
}

static void
postgres_login_cancel(struct postgres_session *session,
                      struct postgres_reader *reader)
{
    uint32_t id = postgres_reader_get_u32(reader);
    uint32_t secret = postgres_reader_get_u32(reader);

    if (postgres_reader_is_done(reader)) {
        postgres_listener_cancel(
            worker_get_entry(postgres_session_get_worker(session)), id,
            secret);
    }
    session->state = POSTGRES_STATE_CLOSING;
}

static void
postgres_login_start(struct postgres_session *session,
                     struct postgres_reader *reader)
{
    const struct settings *settings = entry_get_settings(
        worker_get_entry(postgres_session_get_worker(session)));

    if (settings->tls_required && session->transport.ssl == NULL) {
        postgres_login_refuse(session, SQLSTATE_AUTH_DENIED,
                              "this server requires TLS");
        return;
    }
    session->startup = xcalloc(1, sizeof(*session->startup));
    if (postgres_startup_read(reader, session->startup) != OUTCOME_OK) {
        counter_add(COUNTER_FRAMES_BAD, 1);
        postgres_login_refuse(session, SQLSTATE_PROTOCOL,
                              "invalid startup message");
    }
}

// Handles the first messages of a connection: a TLS or GSSAPI encryption
// request, a cancel request, or the startup message.
void
postgres_session_handle_startup(struct postgres_session *session,
                                const struct postgres_frame *frame)
{
    struct postgres_reader reader;

    postgres_reader_init(&reader, frame);
    uint32_t code = postgres_reader_get_u32(&reader);
    if (reader.failed) {
        counter_add(COUNTER_FRAMES_BAD, 1);
        postgres_login_refuse(session, SQLSTATE_PROTOCOL,
                              "invalid startup message");
        return;
    }
    bool is_request = code == POSTGRES_CODE_SSL || code == POSTGRES_CODE_GSS;
    if (is_request && !postgres_reader_is_done(&reader)) {
        counter_add(COUNTER_FRAMES_BAD, 1);
        postgres_login_refuse(session, SQLSTATE_PROTOCOL,
                              "invalid startup message");
        return;
    }
    switch (code) {
    case POSTGRES_CODE_SSL:
        postgres_login_answer_tls(session);
        return;
    case POSTGRES_CODE_GSS:
        buffer_append_u8(&session->out, 'N');
        return;
    case POSTGRES_CODE_CANCEL:
        postgres_login_cancel(session, &reader);
        return;
    default:
        if (code >> POSTGRES_PROTOCOL_MAJOR_SHIFT != POSTGRES_PROTOCOL_MAJOR) {
            postgres_login_refuse(session, SQLSTATE_NOT_SUPPORTED,
                                  "unsupported protocol version");
            return;
        }
        postgres_login_start(session, &reader);
        return;
    }
}

static const struct ck_caller *
postgres_login_find_caller(const struct ck_customer *customer,
                           const char *user)
{
    for (unsigned i = 0; i < customer->callers.callers_len; i++) {
        if (strcmp(customer->callers.callers_val[i].user, user) == 0) {
            return &customer->callers.callers_val[i];
        }
    }
    return NULL;
}

static void
postgres_login_add_parameters(struct postgres_session *session)
{
    for (size_t i = 0; i < ARRAY_SIZE(postgres_parameters); i++) {
        postgres_message_add_parameter(&session->out,
                                       postgres_parameters[i][0],
                                       postgres_parameters[i][1]);
    }
    postgres_message_add_parameter(&session->out, "session_authorization",
                                   session->startup->user);
    postgres_variables_add_token(session, &session->out);
}

// Completes the login of an authenticated client: applies the parameters of
// the startup message, opens the session at its database and sends
// ReadyForQuery.
void
postgres_session_finish_login(struct postgres_session *session)
{
    struct postgres_startup *startup = session->startup;
    struct entry *entry =
        worker_get_entry(postgres_session_get_worker(session));
    struct database *database = session->base.database;
    bool floor_known =
        startup->token[0] != '\0' &&
        token_decode(entry_get_token_ring(entry), startup->database,
                     startup->token, &session->base.floor) == OUTCOME_OK;

    if (startup->max_age_us >= 0) {
        postgres_variables_get_or_create(session)->max_age_us =
            startup->max_age_us;
    }
    session->lexes_otherwise = startup->changes_lexing;
    session->settings_text = startup->settings;
    startup->settings = NULL;
    if (session->settings_text != NULL) {
        session->settings_hash =
            postgres_settings_get_hash(session->settings_text);
    }
    postgres_message_add_authentication(&session->out, POSTGRES_AUTH_OK, NULL,
                                        0);
    postgres_login_add_parameters(session);
    if (RAND_bytes((unsigned char *)&session->key_secret,
                   sizeof(session->key_secret)) != 1) {
        postgres_session_fail(session, SQLSTATE_UNAVAILABLE,
                              "no random numbers");
        return;
    }
    uint32_t key_id = postgres_listener_get_cancel_key_id(session);
    postgres_message_add_backend_key(&session->out, key_id,
                                     session->key_secret);
    postgres_message_add_ready(&session->out, 'I');
    session->state = POSTGRES_STATE_READY;
    counter_add(COUNTER_SESSIONS_OPENED, 1);
    database_open_session(database, &session->base, floor_known,
                          startup->declared_new);
    postgres_startup_free(startup);
    free(startup);
    session->startup = NULL;
    loop_timer_destroy(session->timer);
    session->timer = NULL;
}

static void
postgres_login_authenticate(struct postgres_session *session,
                            const struct ck_customer *customer)
{
    const struct ck_caller *caller =
        postgres_login_find_caller(customer, session->startup->user);

    // A customer without a list of callers accepts any user without a
    // password, and so does a caller without a verifier.
    if (customer->callers.callers_len == 0 ||
        (caller != NULL && caller->verifier[0] == '\0')) {
        postgres_session_finish_login(session);
        return;
    }
    postgres_scram_begin(session, caller);
}

// Admits a session to its database and begins its authentication. Must run on
// the thread that owns the database. Refuses the session if the database is
// unknown, if the entry or the customer accepts no new sessions, or if the
// customer's session limit is reached.
void
postgres_session_open(struct postgres_session *session)
{
    struct worker *worker = postgres_session_get_worker(session);
    struct database *database =
        worker_open_database(worker, session->startup->database);
    const struct ck_customer *customer =
        database == NULL ? NULL : database_get_customer(database);

    if (customer == NULL) {
        postgres_login_refuse(session, SQLSTATE_NO_DATABASE,
                              "the database group is not known");
        return;
    }
    if (worker_is_draining(worker) || customer->state != CK_CUSTOMER_OPEN) {
        postgres_login_refuse(session, SQLSTATE_UNAVAILABLE,
                              "no new sessions: a planned stop has begun");
        return;
    }
    if (!entry_admit_session(worker_get_entry(worker),
                             database_get_customer_name(database),
                             customer->session_limit)) {
        postgres_login_refuse(session, SQLSTATE_LIMIT,
                              "too many sessions of this customer");
        return;
    }
    session->admitted = true;
    session->base.database = database;
    postgres_login_authenticate(session, customer);
}
