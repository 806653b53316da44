#include <inttypes.h>
#include <openssl/sha.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/plugins/postgres_message.h"
#include "catkingrade/plugins/postgres_session.h"

// Simple queries of a client session, its requests to the database, its
// settings, and the outcomes of its requests.

#define QUERY_US_PER_MS              1000
#define QUERY_DETAIL_SIZE            160
#define QUERY_SETTINGS_MAX_BYTES     8192 // SET statements of one session
#define QUERY_TOO_MANY_SETTINGS_TEXT "too many settings in one session"
// Maximum age of the data for a SET outside a transaction. The value is large
// because SET reads no data and may run on any replica.
#define QUERY_SET_MAX_AGE_US (INT64_C(3600) * 1000000)

// ---- requests ----

// Creates a request of the session, with the parameters that the session's
// variables define. The caller owns the request until it is submitted.
struct entry_request *
postgres_request_create(struct postgres_session *session)
{
    struct entry_request *request = xcalloc(1, sizeof(*request));
    const struct postgres_variables *variables = session->variables;

    request->session = &session->base;
    request->params.max_age_us = -1;
    if (variables != NULL) {
        request->params.max_age_us = variables->max_age_us;
        request->params.repeatable = variables->repeatable;
        memcpy(request->params.type, variables->type,
               sizeof(request->params.type));
        if (variables->deadline_us > 0) {
            request->params.deadline_us =
                monotonic_get_us() + variables->deadline_us;
        }
    }
    return request;
}

// Applies the hints from the leading comment of a statement to a request. The
// idempotency key comes from the hint or else from the session's variables.
void
postgres_request_apply_hints(struct postgres_session *session,
                             struct entry_request *request,
                             const struct classification *hints)
{
    struct scheduler_request *params = &request->params;
    const char *key = hints->hint_key;

    if (hints->hint_type[0] != '\0') {
        (void)snprintf(params->type, sizeof(params->type), "%s",
                       hints->hint_type);
    }
    if (hints->hint_max_age_ms >= 0) {
        params->max_age_us = hints->hint_max_age_ms * QUERY_US_PER_MS;
    }
    if (hints->hint_deadline_ms > 0) {
        params->deadline_us =
            monotonic_get_us() + hints->hint_deadline_ms * QUERY_US_PER_MS;
    }
    if (hints->hint_repeatable >= 0) {
        params->repeatable = hints->hint_repeatable != 0;
    }
    if (key[0] == '\0' && session->variables != NULL) {
        key = session->variables->key;
    }
    (void)snprintf(request->job.key, sizeof(request->job.key), "%s", key);
}

// Returns the scheduler class of a request with one statement of a kind. It
// depends on whether the session is in a transaction.
enum scheduler_class
postgres_request_get_class(const struct postgres_session *session,
                           enum classify_kind kind)
{
    bool in_transaction = postgres_session_in_transaction(session);

    if (kind == CLASSIFY_COMMIT || kind == CLASSIFY_ROLLBACK) {
        // Outside a transaction PostgreSQL answers with a warning only.
        if (!in_transaction) {
            return SCHEDULER_CLASS_READ;
        }
        return kind == CLASSIFY_COMMIT ? SCHEDULER_CLASS_COMMIT
                                       : SCHEDULER_CLASS_ROLLBACK;
    }
    if (in_transaction) {
        return SCHEDULER_CLASS_IN_TRANSACTION;
    }
    switch (kind) {
    case CLASSIFY_BEGIN:
        return SCHEDULER_CLASS_BEGIN;
    case CLASSIFY_BEGIN_READ_ONLY:
        return SCHEDULER_CLASS_BEGIN_READ_ONLY;
    case CLASSIFY_READ:
    case CLASSIFY_SET:
    case CLASSIFY_EMPTY:
    case CLASSIFY_SAVEPOINT:
        return SCHEDULER_CLASS_READ;
    default:
        return SCHEDULER_CLASS_WRITE;
    }
}

// Submits a request to the session's database and makes the session busy until
// the outcome arrives. The outcome may arrive before this function returns.
// Only writes keep their idempotency key.
void
postgres_request_submit(struct postgres_session *session,
                        struct entry_request *request,
                        enum scheduler_class request_class)
{
    struct job *job = &request->job;

    request->params.request_class = request_class;
    job->in_transaction = postgres_session_in_transaction(session);
    job->want_position = request_class == SCHEDULER_CLASS_WRITE ||
                         request_class == SCHEDULER_CLASS_COMMIT;
    if (request_class != SCHEDULER_CLASS_WRITE) {
        job->key[0] = '\0';
    }
    request->params.has_key = job->key[0] != '\0';
    job->settings_hash = session->settings_hash;
    if (session->settings_text != NULL) {
        job->settings_text = xstrdup(session->settings_text);
    }
    if (job->changes_settings && request_class == SCHEDULER_CLASS_READ) {
        request->params.max_age_us = QUERY_SET_MAX_AGE_US;
    }
    session->request = request;
    session->state = POSTGRES_STATE_BUSY;
    database_submit(session->base.database, request);
}

// ---- settings of the session ----
//
// A SET outside a transaction runs on any upstream, which validates it. Later
// it is replayed on each connection that runs a request of the session and has
// other settings. Each connection stores the hash of its current settings. A
// SET within a transaction takes effect for the session when the transaction
// commits.

// Returns the hash by which connections with equal settings are found: the
// first bytes of a digest, so that no client can write settings with the hash
// of another client's.
uint64_t
postgres_settings_get_hash(const char *text)
{
    unsigned char digest[SHA256_DIGEST_LENGTH];
    uint64_t hash = 0;

    SHA256((const unsigned char *)text, strlen(text), digest);
    memcpy(&hash, digest, sizeof(hash));
    return hash;
}

// Appends a statement to the settings. The newline ends a comment in the last
// line of the statement, which would otherwise hide the next one.
static void
postgres_settings_append(char **settings, const char *text)
{
    char *joined =
        xasprintf("%s%s\n;", *settings == NULL ? "" : *settings, text);

    free(*settings);
    *settings = joined;
}

// Records in a request that the session has other settings after it: those in
// the session's pending settings.
static void
postgres_request_set_settings_after(struct entry_request *request)
{
    struct postgres_session *session =
        (struct postgres_session *)request->session;
    char *joined = xasprintf(
        "%s%s", session->settings_text == NULL ? "" : session->settings_text,
        session->settings_pending);

    // What is prepared on the connection was read with the earlier settings.
    request->job.settings_hash_after =
        session->lexes_otherwise ? JOB_SETTINGS_UNKNOWN
                                 : postgres_settings_get_hash(joined);
    free(joined);
}

// Records in a request that it runs a statement that changes settings, and
// adds the statement to the pending settings of the session unless its effect
// ends with its transaction.
void
postgres_request_add_setting(struct entry_request *request, const char *text,
                             enum classify_setting setting)
{
    struct postgres_session *session =
        (struct postgres_session *)request->session;

    switch (setting) {
    case CLASSIFY_SETTING_SESSION:
        postgres_settings_append(&session->settings_pending, text);
        request->job.changes_settings = true;
        postgres_request_set_settings_after(request);
        return;
    case CLASSIFY_SETTING_RESET_ALL:
        // The text may be DISCARD ALL, which can't run with other statements,
        // and which also drops the connection's prepared statements.
        postgres_settings_append(&session->settings_pending, "RESET ALL");
        request->job.changes_settings = true;
        request->job.settings_hash_after = JOB_SETTINGS_UNKNOWN;
        return;
    default:
        return;
    }
}

// Adds the settings among the several statements of a request's text to the
// pending settings of the session. settings may be NULL: none, or they are not
// known. The connection is reset before it runs another request.
static void
postgres_request_add_settings(struct entry_request *request, char *settings)
{
    struct postgres_session *session =
        (struct postgres_session *)request->session;
    char **pending = &session->settings_pending;

    request->job.changes_settings = true;
    request->job.settings_hash_after = JOB_SETTINGS_UNKNOWN;
    if (settings == NULL) {
        return;
    }
    char *joined =
        xasprintf("%s%s", *pending == NULL ? "" : *pending, settings);
    free(*pending);
    *pending = joined;
}

// Adds the pending settings to the session's settings if commit is set;
// discards them otherwise.
static void
postgres_settings_resolve_pending(struct postgres_session *session,
                                  bool commit)
{
    char *pending = session->settings_pending;

    if (pending == NULL) {
        return;
    }
    session->settings_pending = NULL;
    if (commit) {
        char *joined = xasprintf(
            "%s%s",
            session->settings_text == NULL ? "" : session->settings_text,
            pending);
        free(session->settings_text);
        session->settings_text = joined;
        session->settings_hash = postgres_settings_get_hash(joined);
    }
    free(pending);
}

// Applies or discards the pending settings after a request, unless its
// transaction is still open.
static void
postgres_settings_finish_request(struct postgres_session *session,
                                 const struct entry_request *request)
{
    bool rolled_back =
        request->params.request_class == SCHEDULER_CLASS_ROLLBACK ||
        request->job.failed || session->transaction_lost;

    if (session->status == 'I') {
        postgres_settings_resolve_pending(session, !rolled_back);
    }
}

// Returns whether a statement starts with a word, after white space and
// opening parentheses. Ignores case.
static bool
postgres_query_has_prefix(const char *text, const char *word)
{
    while (*text == ' ' || *text == '\n' || *text == '\t' || *text == '(') {
        text++;
    }
    return strncasecmp(text, word, strlen(word)) == 0;
}

// Returns whether a statement may change session state of its connection
// without a SET statement: by set_config, advisory locks or temporary tables.
// Such a connection is reset before it runs another request.
bool
postgres_query_may_leave_state(const char *text)
{
    return strcasestr(text, "set_config") != NULL ||
           strcasestr(text, "advisory") != NULL ||
           strcasestr(text, "temp") != NULL;
}

// Returns whether a text may be read by the upstream otherwise than by the
// parser, because of the settings of the session.
bool
postgres_query_is_lexed_otherwise(const struct postgres_session *session,
                                  const char *text)
{
    if (!session->lexes_otherwise) {
        return false;
    }
    while (*text != '\0' && *text != '\\' && (unsigned char)*text < 0x80) {
        text++;
    }
    return *text != '\0';
}

// Returns the classification of a text of the session; it is valid until the
// next call on this thread.
const struct classification *
postgres_query_classify(struct postgres_session *session, const char *text)
{
    struct classifier *classifier =
        worker_get_classifier(postgres_session_get_worker(session));

    if (postgres_query_is_lexed_otherwise(session, text)) {
        return classifier_get_unparsed(classifier, text, strlen(text));
    }
    return classifier_get(classifier, text, strlen(text));
}

static bool
postgres_settings_are_too_many(const struct postgres_session *session,
                               const char *text)
{
    return session->settings_text != NULL && text != NULL &&
           strlen(session->settings_text) + strlen(text) >
               QUERY_SETTINGS_MAX_BYTES;
}

// Returns the error text for a statement that is not supported on pooled
// connections, or NULL if it is supported.
static const char *
postgres_query_get_refusal_text(const struct postgres_session *session,
                                const struct classification *class,
                                const char *text)
{
    static const char *const words[] = {"LISTEN", "UNLISTEN", "PREPARE",
                                        "EXECUTE", "DEALLOCATE"};
    enum classify_kind kind = class->kind;
    bool refused = class->setting == CLASSIFY_SETTING_CONNECTION;

    if (kind == CLASSIFY_COPY) {
        return "COPY is not supported";
    }
    if (kind != CLASSIFY_SET && kind != CLASSIFY_WRITE) {
        return NULL;
    }
    for (size_t i = 0; i < ARRAY_SIZE(words); i++) {
        refused = refused || postgres_query_has_prefix(text, words[i]);
    }
    if (refused) {
        return "statements that live in one connection are not supported; "
               "use the protocol's prepared statements";
    }
    if (postgres_query_is_lexed_otherwise(session, text) &&
        postgres_query_has_prefix(text, "SET")) {
        return "after a change of client_encoding or "
               "standard_conforming_strings, SET statements with a backslash "
               "or with other than ASCII characters are not supported";
    }
    if (session->status == 'I' &&
        postgres_query_has_prefix(text, "CREATE TEMP")) {
        return "temporary tables are supported within a transaction only";
    }
    if (kind == CLASSIFY_SET &&
        postgres_settings_are_too_many(session, text)) {
        return QUERY_TOO_MANY_SETTINGS_TEXT;
    }
    return NULL;
}

static void
postgres_query_refuse(struct postgres_session *session, const char *refusal)
{
    postgres_message_add_error(&session->out, "ERROR", SQLSTATE_NOT_SUPPORTED,
                               "outcome=not_run", "%s", refusal);
}

// Appends an error if a statement is not supported on pooled connections.
// Returns whether it did.
bool
postgres_query_refuse_unsupported(struct postgres_session *session,
                                  const struct classification *class,
                                  const char *text)
{
    const char *refusal =
        postgres_query_get_refusal_text(session, class, text);

    if (refusal == NULL) {
        return false;
    }
    postgres_query_refuse(session, refusal);
    return true;
}

// ---- simple queries ----

static void
postgres_query_end_local(struct postgres_session *session)
{
    postgres_message_add_ready(&session->out, session->status);
}

// Answers a statement of a session whose transaction is lost. Only COMMIT and
// ROLLBACK succeed, and both report ROLLBACK.
static void
postgres_query_handle_lost_transaction(struct postgres_session *session,
                                       enum classify_kind kind)
{
    if (kind == CLASSIFY_COMMIT || kind == CLASSIFY_ROLLBACK) {
        session->transaction_lost = false;
        session->status = 'I';
        postgres_message_add_complete(&session->out, "ROLLBACK");
    }
    else {
        postgres_message_add_error(
            &session->out, "ERROR", SQLSTATE_FAILED_TRANSACTION, NULL,
            "current transaction is aborted, commands ignored until end of "
            "transaction block");
    }
    postgres_query_end_local(session);
}

// Answers a statement that needs no upstream. Returns whether it was one.
static bool
postgres_query_answer_local(struct postgres_session *session,
                            const struct classification *class)
{
    switch (class->kind) {
    case CLASSIFY_SET_CATKINGRADE:
        (void)postgres_variables_set(session, class->name, class->value,
                                     &session->out);
        return true;
    case CLASSIFY_SHOW_CATKINGRADE:
        (void)postgres_variables_show(session, class->name, true,
                                      &session->out);
        return true;
    case CLASSIFY_EMPTY:
        postgres_message_add_empty(&session->out, 'I');
        return true;
    default:
        return false;
    }
}

// Prepares the request of a single statement that changes session state. A
// statement that resets all settings is replaced by RESET ALL: DISCARD ALL
// would drop what other sessions have prepared on the connection.
static void
postgres_query_apply_setting(struct postgres_session *session,
                             struct entry_request *request,
                             const struct classification *class)
{
    if (class->setting != CLASSIFY_SETTING_RESET_ALL) {
        postgres_request_add_setting(request, request->job.text,
                                     class->setting);
        return;
    }
    free(session->settings_text);
    session->settings_text = NULL;
    session->settings_hash = 0;
    free(request->job.text);
    request->job.text = xstrdup("RESET ALL");
}

// Handles a simple query of a session that is ready. text may contain several
// statements; an idempotency key applies to a single statement only.
void
postgres_query_handle(struct postgres_session *session, const char *text)
{
    const struct classification *class =
        postgres_query_classify(session, text);
    bool unparsed = postgres_query_is_lexed_otherwise(session, text);

    if (session->transaction_lost) {
        postgres_query_handle_lost_transaction(session, class->kind);
        return;
    }
    if (postgres_query_answer_local(session, class) ||
        postgres_query_refuse_unsupported(session, class, text)) {
        postgres_query_end_local(session);
        return;
    }
    char *settings = class->changes_session && !unparsed
                         ? classify_copy_settings(text)
                         : NULL;
    if (postgres_settings_are_too_many(session, settings)) {
        postgres_query_refuse(session, QUERY_TOO_MANY_SETTINGS_TEXT);
        postgres_query_end_local(session);
        free(settings);
        return;
    }
    struct entry_request *request = postgres_request_create(session);
    enum classify_kind kind = class->statements > 1 && class->only_reads
                                  ? CLASSIFY_READ
                                  : class->kind;
    postgres_request_apply_hints(session, request, class);
    request->job.text = xstrdup(text);
    request->job.one_statement = class->statements == 1;
    session->lexes_otherwise =
        session->lexes_otherwise || class->changes_lexing;
    if (!request->job.one_statement) {
        request->job.key[0] = '\0';
    }
    if (kind == CLASSIFY_SET) {
        postgres_query_apply_setting(session, request, class);
    }
    if (class->changes_session ||
        (kind == CLASSIFY_WRITE && postgres_query_may_leave_state(text))) {
        postgres_request_add_settings(request, settings);
    }
    free(settings);
    session->ends_with_sync = true;
    postgres_request_submit(session, request,
                            postgres_request_get_class(session, kind));
}

// ---- outcomes of requests ----

// Makes the session ready again and records where the request ran, for SHOW
// catkingrade.last_route. Returns the session.
static struct postgres_session *
postgres_answer_begin(struct entry_session *base,
                      struct entry_request *request)
{
    struct postgres_session *session = (struct postgres_session *)base;

    INVARIANT(session->request == request);
    session->request = NULL;
    session->state = POSTGRES_STATE_READY;
    if (request->upstream[0] != '\0') {
        memcpy(session->route_upstream, request->upstream,
               sizeof(session->route_upstream));
        session->route_on_replica = request->on_replica;
        session->route_reason = request->reason;
    }
    return session;
}

// Ends the answer to a request and continues with the next message of the
// client. completed is false if the request was refused or its outcome is
// unknown.
static void
postgres_answer_end(struct postgres_session *session,
                    const struct entry_request *request, bool completed)
{
    postgres_settings_finish_request(session, request);
    if (request->job.text == NULL) {
        postgres_extended_end_batch(session, completed ? &request->job : NULL);
    }
    if (session->status == 'I') {
        postgres_names_drop_portals(session);
    }
    if (session->ends_with_sync) {
        postgres_message_add_ready(&session->out, session->status);
        session->ignores_until_sync = false;
    }
    if (!session->processing_frames) {
        postgres_session_process_io(session);
    }
}

// Sends the complete answer to a request. After a successful write outside a
// transaction or a commit, also sends the session's new floor as a token.
// warning is set if the write is not yet confirmed by replicas.
void
postgres_answer_done(struct entry_session *base, struct entry_request *request,
                     bool warning)
{
    struct postgres_session *session = postgres_answer_begin(base, request);
    const struct job *job = &request->job;
    bool is_write = request->params.request_class == SCHEDULER_CLASS_WRITE ||
                    request->params.request_class == SCHEDULER_CLASS_COMMIT;

    buffer_append(&session->out, buffer_get_data(&job->answer),
                  buffer_get_size(&job->answer));
    if (warning) {
        postgres_message_add_warning(
            &session->out, SQLSTATE_WARNING,
            "the save is not confirmed by replicas yet");
    }
    session->status = job->transaction_status;
    if (is_write && !job->failed && session->status == 'I') {
        postgres_variables_add_token(session, &session->out);
    }
    postgres_answer_end(session, request, true);
}

// Submits a ROLLBACK without a session, because the transaction may still be
// open on its connection.
static void
postgres_answer_roll_back(struct postgres_session *session)
{
    struct entry_request *request = xcalloc(1, sizeof(*request));

    request->params.session = session->base.id;
    request->params.request_class = SCHEDULER_CLASS_ROLLBACK;
    request->params.max_age_us = -1;
    request->job.text = xstrdup("ROLLBACK");
    request->job.one_statement = true;
    request->job.in_transaction = true;
    database_submit(session->base.database, request);
}

// Rolls back the transaction of a request that was refused or whose outcome is
// unknown. After a COMMIT or ROLLBACK the session is outside a transaction.
// Otherwise the session's statements fail until the client ends the
// transaction.
static void
postgres_answer_abandon_transaction(struct postgres_session *session,
                                    const struct entry_request *request)
{
    enum scheduler_class class = request->params.request_class;

    if (class == SCHEDULER_CLASS_COMMIT || class == SCHEDULER_CLASS_ROLLBACK) {
        session->status = 'I';
        postgres_answer_roll_back(session);
        return;
    }
    if (session->status != 'I') {
        session->status = 'E';
        session->transaction_lost = true;
        postgres_answer_roll_back(session);
    }
}

static const char *
postgres_answer_get_sqlstate(const struct entry_request *request, int outcome)
{
    if (request->cancelled) {
        return SQLSTATE_CANCELLED;
    }
    return outcome == OUTCOME_OVERLOADED ? SQLSTATE_LIMIT
                                         : SQLSTATE_UNAVAILABLE;
}

// Reports to the client that a request was not run, with the outcome and the
// delay before a retry. The delay is rounded up to milliseconds.
void
postgres_answer_refused(struct entry_session *base,
                        struct entry_request *request, int outcome,
                        int64_t retry_after_us)
{
    struct postgres_session *session = postgres_answer_begin(base, request);
    char detail[QUERY_DETAIL_SIZE];

    (void)snprintf(detail, sizeof(detail),
                   "outcome=not_run retry_after_ms=%" PRId64,
                   (retry_after_us + QUERY_US_PER_MS - 1) / QUERY_US_PER_MS);
    postgres_message_add_error(
        &session->out, "ERROR", postgres_answer_get_sqlstate(request, outcome),
        detail, "the request was not run: %s", outcome_get_text(outcome));
    postgres_answer_abandon_transaction(session, request);
    postgres_answer_end(session, request, false);
}

// Reports to the client that it is unknown whether a request has run.
void
postgres_answer_unknown(struct entry_session *base,
                        struct entry_request *request)
{
    struct postgres_session *session = postgres_answer_begin(base, request);

    postgres_message_add_error(&session->out, "ERROR",
                               SQLSTATE_UNKNOWN_OUTCOME, "outcome=unknown",
                               "it is not known whether the request has run");
    postgres_answer_abandon_transaction(session, request);
    postgres_answer_end(session, request, false);
}
