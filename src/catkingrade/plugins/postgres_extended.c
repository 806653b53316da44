#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/plugins/postgres_message.h"
#include "catkingrade/plugins/postgres_session.h"

// Extended query protocol of a client session.
//
// Messages are collected into a batch up to a Sync or a Flush. A batch runs as
// one pipeline on one upstream connection. The driver prepares a statement on
// a connection when the connection first needs it, and a portal is an object
// of the session that stores its parameter values. So no connection holds
// state of a session between batches.
//
// A Flush ends the implicit transaction at the upstream, as a Sync does. A
// write outside a transaction would therefore be committed before the client
// has sent its Sync, and a Flush after such a write is refused.

#define EXTENDED_MAX_STEPS 65536

// ---- prepared statements and portals by name ----

// Returns the link that points to the statement or portal with this name; the
// link points to NULL if there is none.
static struct postgres_name **
postgres_names_find(struct postgres_session *session, const char *text,
                    bool is_portal)
{
    struct postgres_name **link = &session->names;

    while (*link != NULL && (((*link)->portal != NULL) != is_portal ||
                             strcmp((*link)->text, text) != 0)) {
        link = &(*link)->next;
    }
    return link;
}

static void
postgres_names_remove(struct postgres_name **link)
{
    struct postgres_name *name = *link;

    if (name == NULL) {
        return;
    }
    *link = name->next;
    statement_release(name->statement);
    portal_release(name->portal);
    free(name);
}

// Stores a statement or a portal under a name, in place of an older one. Takes
// ownership of the caller's reference.
static void
postgres_names_set(struct postgres_session *session, const char *text,
                   struct statement *statement, struct portal *portal)
{
    size_t size = strlen(text) + 1;
    struct postgres_name *name = xcalloc(1, sizeof(*name) + size);

    postgres_names_remove(postgres_names_find(session, text, portal != NULL));
    memcpy(name->text, text, size);
    name->statement = statement;
    name->portal = portal;
    name->next = session->names;
    session->names = name;
}

// Removes all portals of the session. Called at the end of a transaction,
// which is the lifetime of a portal.
void
postgres_names_drop_portals(struct postgres_session *session)
{
    struct postgres_name **link = &session->names;

    while (*link != NULL) {
        if ((*link)->portal != NULL) {
            postgres_names_remove(link);
        }
        else {
            link = &(*link)->next;
        }
    }
}

// Removes all statements and portals of the session.
void
postgres_names_free(struct postgres_session *session)
{
    while (session->names != NULL) {
        postgres_names_remove(&session->names);
    }
}

// Removes a statement whose Parse message has not succeeded.
static void
postgres_names_drop_statement(struct postgres_session *session,
                              const struct statement *statement)
{
    struct postgres_name **link = &session->names;

    while (*link != NULL && (*link)->statement != statement) {
        link = &(*link)->next;
    }
    postgres_names_remove(link);
}

// ---- the batch ----

static struct job_step *
postgres_batch_add_step(struct postgres_session *session,
                        enum job_step_kind kind)
{
    if (session->batch == NULL) {
        session->batch = postgres_request_create(session);
    }
    return job_add_step(&session->batch->job, kind);
}

// Frees a batch that has not run, and removes the statements that its Parse
// messages created.
static void
postgres_batch_free(struct postgres_session *session)
{
    struct entry_request *batch = session->batch;

    session->batch = NULL;
    if (batch != NULL) {
        for (size_t i = 0; i < batch->job.steps_count; i++) {
            if (batch->job.steps[i].kind == JOB_STEP_PARSE) {
                postgres_names_drop_statement(session,
                                              batch->job.steps[i].statement);
            }
        }
        job_free(&batch->job);
        free(batch);
    }
}

// Ends a batch after an error that the entry has reported: no message of the
// batch runs, and further messages are ignored up to the client's Sync.
static void
postgres_batch_abort(struct postgres_session *session)
{
    postgres_batch_free(session);
    session->ignores_until_sync = true;
    if (session->status == 'T') {
        session->status = 'E';
    }
}

// Reports an error and aborts the batch. text is a printf format with one %s,
// for name.
static void
postgres_batch_fail(struct postgres_session *session, const char *sqlstate,
                    const char *text, const char *name)
{
    postgres_message_add_error(&session->out, "ERROR", sqlstate,
                               "outcome=not_run", text, name);
    postgres_batch_abort(session);
}

static const struct statement *
postgres_step_get_statement(const struct job_step *step)
{
    return step->portal != NULL ? step->portal->statement : step->statement;
}

// Returns whether the entry itself answers statements of a kind.
static bool
postgres_kind_is_local(enum classify_kind kind)
{
    return kind == CLASSIFY_SET_CATKINGRADE ||
           kind == CLASSIFY_SHOW_CATKINGRADE;
}

// Kinds of the statements in a batch.
struct postgres_batch_summary {
    bool has_local;    // SET or SHOW of a catkingrade variable
    bool has_upstream; // a step that must run on an upstream
    bool writes;
    bool begins;
    bool read_only; // the last BEGIN is read-only
    bool commits;
    bool rolls_back;
    size_t executes_count; // Execute messages for the upstream
};

static void
postgres_batch_summarize_statement(struct postgres_batch_summary *summary,
                                   enum classify_kind kind)
{
    switch (kind) {
    case CLASSIFY_BEGIN:
    case CLASSIFY_BEGIN_READ_ONLY:
        summary->begins = true;
        summary->read_only = kind == CLASSIFY_BEGIN_READ_ONLY;
        break;
    case CLASSIFY_COMMIT:
        summary->commits = true;
        break;
    case CLASSIFY_ROLLBACK:
        summary->rolls_back = true;
        break;
    case CLASSIFY_WRITE:
    case CLASSIFY_INVALID:
        summary->writes = true;
        break;
    default:
        break;
    }
    summary->executes_count++;
}

static struct postgres_batch_summary
postgres_batch_summarize(const struct job *job)
{
    struct postgres_batch_summary summary = {0};

    for (size_t i = 0; i < job->steps_count; i++) {
        const struct job_step *step = &job->steps[i];
        const struct statement *statement = postgres_step_get_statement(step);
        if (statement != NULL && postgres_kind_is_local(statement->kind)) {
            summary.has_local = true;
            continue;
        }
        if (step->kind != JOB_STEP_BIND && step->kind != JOB_STEP_CLOSE) {
            summary.has_upstream = true;
        }
        if (step->kind == JOB_STEP_EXECUTE && statement != NULL) {
            postgres_batch_summarize_statement(&summary, statement->kind);
        }
    }
    return summary;
}

static enum scheduler_class
postgres_batch_get_class(const struct postgres_session *session,
                         const struct postgres_batch_summary *summary)
{
    bool ends_transaction = summary->commits || summary->rolls_back;

    if (postgres_session_in_transaction(session)) {
        if (summary->commits) {
            return SCHEDULER_CLASS_COMMIT;
        }
        return summary->rolls_back ? SCHEDULER_CLASS_ROLLBACK
                                   : SCHEDULER_CLASS_IN_TRANSACTION;
    }
    if (summary->begins && !ends_transaction) {
        return summary->read_only && !summary->writes
                   ? SCHEDULER_CLASS_BEGIN_READ_ONLY
                   : SCHEDULER_CLASS_BEGIN;
    }
    return summary->writes || summary->begins ? SCHEDULER_CLASS_WRITE
                                              : SCHEDULER_CLASS_READ;
}

// Applies the hints and the SET statements of a batch to its request.
static void
postgres_batch_apply_statements(struct postgres_session *session,
                                struct entry_request *batch,
                                size_t executes_count)
{
    for (size_t i = 0; i < batch->job.steps_count; i++) {
        const struct job_step *step = &batch->job.steps[i];
        if (step->kind != JOB_STEP_EXECUTE) {
            continue;
        }
        const char *text = step->portal->statement->text;
        const struct classification *class =
            postgres_query_classify(session, text);
        session->lexes_otherwise =
            session->lexes_otherwise || class->changes_lexing;
        postgres_request_apply_hints(session, batch, class);
        if (step->portal->statement->kind == CLASSIFY_SET) {
            postgres_request_add_setting(batch, text, class->setting);
        }
        else if (class->changes_session ||
                 (step->portal->statement->kind == CLASSIFY_WRITE &&
                  postgres_query_may_leave_state(text))) {
            batch->job.changes_settings = true;
            batch->job.settings_hash_after = JOB_SETTINGS_UNKNOWN;
        }
    }
    // An idempotency key identifies exactly one write.
    if (executes_count != 1) {
        batch->job.key[0] = '\0';
    }
}

// ---- batches that the entry answers itself ----
//
// Each function appends the reply to the output buffer. It returns false if
// the reply is an error, after which the rest of the batch is skipped.

static bool
postgres_local_describe(struct postgres_session *session,
                        const struct job_step *step)
{
    const struct statement *statement = postgres_step_get_statement(step);

    if (step->kind == JOB_STEP_DESCRIBE_STATEMENT) {
        size_t length_offset = postgres_message_begin(&session->out, 't');
        buffer_append_be16(&session->out, 0);
        postgres_message_end(&session->out, length_offset);
    }
    if (statement->kind == CLASSIFY_SHOW_CATKINGRADE) {
        postgres_message_add_text_column(&session->out, "catkingrade");
    }
    else {
        postgres_message_add_empty(&session->out, 'n');
    }
    return true;
}

static bool
postgres_local_execute(struct postgres_session *session,
                       const struct statement *statement)
{
    const struct classification *class =
        postgres_query_classify(session, statement->text);

    switch (class->kind) {
    case CLASSIFY_SET_CATKINGRADE:
        return postgres_variables_set(session, class->name, class->value,
                                      &session->out);
    case CLASSIFY_SHOW_CATKINGRADE:
        return postgres_variables_show(session, class->name, false,
                                       &session->out);
    case CLASSIFY_COMMIT:
    case CLASSIFY_ROLLBACK:
        // Reached only if the session's transaction is lost.
        session->transaction_lost = false;
        session->status = 'I';
        postgres_message_add_complete(&session->out, "ROLLBACK");
        return true;
    default:
        postgres_message_add_error(
            &session->out, "ERROR", SQLSTATE_FAILED_TRANSACTION, NULL,
            "current transaction is aborted, commands ignored until end of "
            "transaction block");
        return false;
    }
}

static bool
postgres_local_answer_step(struct postgres_session *session,
                           const struct job_step *step)
{
    switch (step->kind) {
    case JOB_STEP_PARSE:
        postgres_message_add_empty(&session->out, '1');
        return true;
    case JOB_STEP_BIND:
        postgres_message_add_empty(&session->out, '2');
        return true;
    case JOB_STEP_CLOSE:
        postgres_message_add_empty(&session->out, '3');
        return true;
    case JOB_STEP_DESCRIBE_STATEMENT:
    case JOB_STEP_DESCRIBE_PORTAL:
        return postgres_local_describe(session, step);
    case JOB_STEP_EXECUTE:
        return postgres_local_execute(session, step->portal->statement);
    }
    return false;
}

// Answers all messages of a batch without an upstream.
static void
postgres_batch_answer_local(struct postgres_session *session)
{
    struct entry_request *batch = session->batch;

    session->batch = NULL;
    for (size_t i = 0; i < batch->job.steps_count; i++) {
        if (!postgres_local_answer_step(session, &batch->job.steps[i])) {
            session->ignores_until_sync = true;
            break;
        }
    }
    job_free(&batch->job);
    free(batch);
}

// Runs the session's batch at a Sync or, if sync is false, at a Flush. Returns
// whether the batch was submitted to the database. If so, and if sync is set,
// the end of the request also sends ReadyForQuery.
static bool
postgres_batch_run(struct postgres_session *session, bool sync)
{
    struct entry_request *batch = session->batch;

    if (batch == NULL) {
        return false;
    }
    struct postgres_batch_summary summary =
        postgres_batch_summarize(&batch->job);
    if (session->transaction_lost || !summary.has_upstream) {
        postgres_batch_answer_local(session);
        return false;
    }
    if (summary.has_local) {
        postgres_batch_fail(session, SQLSTATE_NOT_SUPPORTED,
                            "catkingrade's settings can't be pipelined with "
                            "other statements%s",
                            "");
        return false;
    }
    enum scheduler_class class = postgres_batch_get_class(session, &summary);
    if (!sync && class == SCHEDULER_CLASS_WRITE) {
        postgres_batch_fail(session, SQLSTATE_NOT_SUPPORTED,
                            "a write outside a transaction needs a Sync "
                            "message, not a Flush%s",
                            "");
        return false;
    }
    session->batch = NULL;
    session->ends_with_sync = sync;
    postgres_batch_apply_statements(session, batch, summary.executes_count);
    postgres_request_submit(session, batch, class);
    return true;
}

// Updates the session after a batch. If the batch has failed, removes the
// statements whose Parse did not succeed. After a Flush, further messages are
// then ignored up to the client's Sync. job is NULL if the batch was refused
// or its outcome is unknown; no statement is removed then.
void
postgres_extended_end_batch(struct postgres_session *session,
                            const struct job *job)
{
    bool failed = job == NULL || job->failed;

    if (!failed) {
        return;
    }
    if (!session->ends_with_sync) {
        session->ignores_until_sync = true;
    }
    for (size_t i = job == NULL ? 0 : job->steps_done;
         job != NULL && i < job->steps_count; i++) {
        if (job->steps[i].kind == JOB_STEP_PARSE) {
            postgres_names_drop_statement(session, job->steps[i].statement);
        }
    }
}

// ---- messages ----

// Ends the session because of a malformed message.
static void
postgres_extended_reject_message(struct postgres_session *session)
{
    counter_add(COUNTER_FRAMES_BAD, 1);
    postgres_batch_free(session);
    postgres_session_fail(session, SQLSTATE_PROTOCOL,
                          "invalid message format");
}

static void
postgres_extended_parse(struct postgres_session *session,
                        struct postgres_reader *reader)
{
    const char *name = postgres_reader_get_string(reader);
    const char *text = postgres_reader_get_string(reader);
    uint16_t count = postgres_reader_get_u16(reader);
    const uint8_t *types = postgres_reader_get_bytes(reader, 4UL * count);

    if (types == NULL || !postgres_reader_is_done(reader)) {
        postgres_extended_reject_message(session);
        return;
    }
    if (name[0] != '\0' &&
        *postgres_names_find(session, name, false) != NULL) {
        postgres_batch_fail(session, SQLSTATE_DUPLICATE_STATEMENT,
                            "prepared statement \"%s\" already exists", name);
        return;
    }
    const struct classification *class =
        postgres_query_classify(session, text);
    enum classify_kind kind = class->kind;
    if (postgres_query_refuse_unsupported(session, class, text)) {
        postgres_batch_abort(session);
        return;
    }
    uint32_t *oids = xcalloc(count, sizeof(*oids));
    struct postgres_reader oid_reader = {.data = types,
                                         .remaining_bytes = 4UL * count};
    for (uint16_t i = 0; i < count; i++) {
        oids[i] = postgres_reader_get_u32(&oid_reader);
    }
    struct statement *statement = statement_create(text, oids, count);
    free(oids);
    statement->kind = kind;
    statement->unparsed = postgres_query_is_lexed_otherwise(session, text);
    postgres_names_set(session, name, statement, NULL);
    postgres_batch_add_step(session, JOB_STEP_PARSE)->statement =
        statement_retain(statement);
}

// Reads a list of format codes of a Bind message: no code, one code for all
// values, or one code per value.
static bool
postgres_bind_read_formats(struct postgres_reader *reader, uint16_t *count,
                           const uint8_t **formats)
{
    *count = postgres_reader_get_u16(reader);
    *formats = postgres_reader_get_bytes(reader, 2UL * *count);
    return *formats != NULL;
}

// Returns the format code of the value at index; 0 (text) is the default.
static uint16_t
postgres_bind_get_format(const uint8_t *formats, uint16_t count,
                         uint16_t index)
{
    uint16_t i = count == 1 ? 0 : index;

    return i < count ? (uint16_t)(formats[2 * i] << 8 | formats[2 * i + 1])
                     : 0;
}

// Outcome of reading the parameters of a Bind message.
struct postgres_bind_result {
    bool mixed_formats; // the result columns have different formats
    bool has_zero_byte; // within a value in text format
};

static bool
postgres_bind_read_value(struct postgres_reader *reader, struct portal *portal,
                         uint16_t index, struct postgres_bind_result *result)
{
    uint32_t size = postgres_reader_get_u32(reader);

    if (size == UINT32_MAX) {
        return !reader->failed;
    }
    const uint8_t *bytes = postgres_reader_get_bytes(reader, size);
    if (bytes == NULL) {
        return false;
    }
    portal->values[index] = xmemdupz((const char *)bytes, size);
    portal->lengths[index] = (int)size;
    result->has_zero_byte =
        result->has_zero_byte ||
        (portal->formats[index] == 0 && memchr(bytes, 0, size) != NULL);
    return true;
}

// Reads the parameters and result formats of a Bind message into a new portal.
// Returns NULL if the message is malformed; else sets *result.
static struct portal *
postgres_bind_read(struct postgres_reader *reader, struct statement *statement,
                   struct postgres_bind_result *result)
{
    uint16_t formats_count;
    const uint8_t *formats;

    memset(result, 0, sizeof(*result));
    if (!postgres_bind_read_formats(reader, &formats_count, &formats)) {
        return NULL;
    }
    uint16_t count = postgres_reader_get_u16(reader);
    if (reader->failed || reader->remaining_bytes < 4UL * count ||
        (formats_count > 1 && formats_count != count)) {
        return NULL;
    }
    struct portal *portal = portal_create(statement, count);
    for (uint16_t i = 0; i < count; i++) {
        portal->formats[i] =
            postgres_bind_get_format(formats, formats_count, i) == 1;
        if (!postgres_bind_read_value(reader, portal, i, result)) {
            portal_release(portal);
            return NULL;
        }
    }
    if (!postgres_bind_read_formats(reader, &formats_count, &formats) ||
        !postgres_reader_is_done(reader)) {
        portal_release(portal);
        return NULL;
    }
    portal->result_format =
        postgres_bind_get_format(formats, formats_count, 0) == 1;
    for (uint16_t i = 1; i < formats_count; i++) {
        result->mixed_formats |=
            postgres_bind_get_format(formats, formats_count, i) !=
            portal->result_format;
    }
    return portal;
}

static void
postgres_extended_bind(struct postgres_session *session,
                       struct postgres_reader *reader)
{
    const char *portal_name = postgres_reader_get_string(reader);
    const char *statement_name = postgres_reader_get_string(reader);
    const struct postgres_name *name =
        *postgres_names_find(session, statement_name, false);
    struct postgres_bind_result result;

    if (reader->failed) {
        postgres_extended_reject_message(session);
        return;
    }
    if (name == NULL) {
        postgres_batch_fail(session, SQLSTATE_NO_STATEMENT,
                            "prepared statement \"%s\" does not exist",
                            statement_name);
        return;
    }
    if (postgres_query_is_lexed_otherwise(session, name->statement->text) &&
        !name->statement->unparsed) {
        postgres_batch_fail(
            session, SQLSTATE_NOT_SUPPORTED,
            "prepared statement \"%s\" is from before a change "
            "of client_encoding or "
            "standard_conforming_strings",
            statement_name);
        return;
    }
    struct portal *portal =
        postgres_bind_read(reader, name->statement, &result);
    if (portal == NULL) {
        postgres_extended_reject_message(session);
        return;
    }
    // libpq ends a value in text format at a zero byte. PostgreSQL refuses
    // such a value with this error.
    if (result.has_zero_byte) {
        portal_release(portal);
        postgres_batch_fail(session, SQLSTATE_INVALID_TEXT,
                            "invalid byte sequence for encoding \"UTF8\": "
                            "0x00%s",
                            "");
        return;
    }
    if (result.mixed_formats) {
        portal_release(portal);
        postgres_batch_fail(session, SQLSTATE_NOT_SUPPORTED,
                            "columns in different formats are not "
                            "supported%s",
                            "");
        return;
    }
    postgres_names_set(session, portal_name, NULL, portal);
    postgres_batch_add_step(session, JOB_STEP_BIND)->portal =
        portal_retain(portal);
}

static void
postgres_extended_describe(struct postgres_session *session,
                           struct postgres_reader *reader)
{
    uint8_t what = postgres_reader_get_u8(reader);
    const char *text = postgres_reader_get_string(reader);
    bool is_portal = what == 'P';

    if (!postgres_reader_is_done(reader) || (what != 'P' && what != 'S')) {
        postgres_extended_reject_message(session);
        return;
    }
    const struct postgres_name *name =
        *postgres_names_find(session, text, is_portal);
    if (name == NULL) {
        postgres_batch_fail(
            session, is_portal ? SQLSTATE_NO_PORTAL : SQLSTATE_NO_STATEMENT,
            is_portal ? "portal \"%s\" does not exist"
                      : "prepared statement \"%s\" does not exist",
            text);
        return;
    }
    if (is_portal) {
        postgres_batch_add_step(session, JOB_STEP_DESCRIBE_PORTAL)->portal =
            portal_retain(name->portal);
        return;
    }
    postgres_batch_add_step(session, JOB_STEP_DESCRIBE_STATEMENT)->statement =
        statement_retain(name->statement);
}

static void
postgres_extended_execute(struct postgres_session *session,
                          struct postgres_reader *reader)
{
    const char *text = postgres_reader_get_string(reader);
    uint32_t max_rows = postgres_reader_get_u32(reader);

    if (!postgres_reader_is_done(reader)) {
        postgres_extended_reject_message(session);
        return;
    }
    const struct postgres_name *name =
        *postgres_names_find(session, text, true);
    if (name == NULL) {
        postgres_batch_fail(session, SQLSTATE_NO_PORTAL,
                            "portal \"%s\" does not exist", text);
        return;
    }
    struct job_step *step = postgres_batch_add_step(session, JOB_STEP_EXECUTE);
    step->portal = portal_retain(name->portal);
    step->max_rows = max_rows > INT32_MAX ? 0 : max_rows;
}

static void
postgres_extended_close(struct postgres_session *session,
                        struct postgres_reader *reader)
{
    uint8_t what = postgres_reader_get_u8(reader);
    const char *text = postgres_reader_get_string(reader);

    if (!postgres_reader_is_done(reader) || (what != 'P' && what != 'S')) {
        postgres_extended_reject_message(session);
        return;
    }
    postgres_names_remove(postgres_names_find(session, text, what == 'P'));
    (void)postgres_batch_add_step(session, JOB_STEP_CLOSE);
}

static void
postgres_extended_sync(struct postgres_session *session)
{
    if (postgres_batch_run(session, true)) {
        return;
    }
    session->ignores_until_sync = false;
    postgres_message_add_ready(&session->out, session->status);
}

// Returns whether a simple query may run after messages without a Sync. If
// they need no upstream, for example a Close, they are answered first. Else
// the query would run before them: an error is appended, and none of them
// runs.
bool
postgres_extended_allow_query(struct postgres_session *session)
{
    if (session->batch == NULL) {
        return true;
    }
    struct postgres_batch_summary summary =
        postgres_batch_summarize(&session->batch->job);
    if (session->transaction_lost || !summary.has_upstream) {
        postgres_batch_answer_local(session);
        return !session->ignores_until_sync;
    }
    postgres_batch_fail(session, SQLSTATE_NOT_SUPPORTED,
                        "a simple query needs a Sync message after messages "
                        "of the extended protocol%s",
                        "");
    session->ignores_until_sync = false;
    postgres_message_add_ready(&session->out, session->status);
    return false;
}

// Handles one message of the extended protocol in a session that is ready.
void
postgres_extended_handle(struct postgres_session *session,
                         const struct postgres_frame *frame)
{
    struct postgres_reader reader;

    postgres_reader_init(&reader, frame);
    if (session->batch != NULL &&
        session->batch->job.steps_count >= EXTENDED_MAX_STEPS &&
        frame->type != 'S') {
        postgres_batch_fail(session, SQLSTATE_TOO_LARGE,
                            "too many messages before a Sync%s", "");
        return;
    }
    if ((frame->type == 'H' || frame->type == 'S') &&
        !postgres_reader_is_done(&reader)) {
        postgres_extended_reject_message(session);
        return;
    }
    switch (frame->type) {
    case 'P':
        postgres_extended_parse(session, &reader);
        return;
    case 'B':
        postgres_extended_bind(session, &reader);
        return;
    case 'D':
        postgres_extended_describe(session, &reader);
        return;
    case 'E':
        postgres_extended_execute(session, &reader);
        return;
    case 'C':
        postgres_extended_close(session, &reader);
        return;
    case 'H':
        (void)postgres_batch_run(session, false);
        return;
    case 'S':
        postgres_extended_sync(session);
        return;
    default:
        return;
    }
}
