#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/plugins/postgres_message.h"
#include "catkingrade/plugins/postgres_session.h"

// The extended protocol. Messages are collected up to a Sync or a Flush and
// run as one pipeline on one connection. Statements are prepared there when
// they are first needed, and portals hold their parameters, so that nothing
// of a session stays at a connection. A Flush ends the upstream's implicit
// transaction, so one after a write outside a transaction is refused.

#define EXTENDED_MAX_STEPS 65536

// ---- names ----

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

// Puts a statement or a portal under a name; takes over the hold on it.
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

// Drops all portals: they end with their transaction.
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

// Drops all statements and portals.
void
postgres_names_free(struct postgres_session *session)
{
    while (session->names != NULL) {
        postgres_names_remove(&session->names);
    }
}

// Drops a statement that was not prepared after all.
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

// Ends a batch with an error of the entry: nothing of it is run, and the
// client's messages are ignored up to its Sync.
static void
postgres_batch_abort(struct postgres_session *session)
{
    postgres_batch_free(session);
    session->skips_to_sync = true;
    if (session->status == 'T') {
        session->status = 'E';
    }
}

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

static bool
postgres_kind_is_local(enum classify_kind kind)
{
    return kind == CLASSIFY_SET_CATKINGRADE ||
           kind == CLASSIFY_SHOW_CATKINGRADE;
}

// What the statements of a batch are.
struct postgres_batch_summary {
    bool has_local;    // SET or SHOW of catkingrade's names
    bool has_upstream; // something for an upstream
    bool writes;
    bool opens;
    bool reads_only;
    bool commits;
    bool rolls_back;
    size_t executes;
};

static void
postgres_batch_summarize_statement(struct postgres_batch_summary *summary,
                                   enum classify_kind kind)
{
    switch (kind) {
    case CLASSIFY_BEGIN:
    case CLASSIFY_BEGIN_READ_ONLY:
        summary->opens = true;
        summary->reads_only = kind == CLASSIFY_BEGIN_READ_ONLY;
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
    summary->executes++;
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
    bool ends = summary->commits || summary->rolls_back;

    if (postgres_session_in_transaction(session)) {
        if (summary->commits) {
            return SCHEDULER_CLASS_COMMIT;
        }
        return summary->rolls_back ? SCHEDULER_CLASS_ROLLBACK
                                   : SCHEDULER_CLASS_IN_TRANSACTION;
    }
    if (summary->opens && !ends) {
        return summary->reads_only && !summary->writes
                   ? SCHEDULER_CLASS_BEGIN_READ_ONLY
                   : SCHEDULER_CLASS_BEGIN;
    }
    return summary->writes || summary->opens ? SCHEDULER_CLASS_WRITE
                                             : SCHEDULER_CLASS_READ;
}

// Takes hints and settings of the batch's statements over to its request.
static void
postgres_batch_apply_statements(struct postgres_session *session,
                                struct entry_request *batch,
                                size_t executes_count)
{
    struct classifier *classifier =
        worker_get_classifier(postgres_session_get_worker(session));

    for (size_t i = 0; i < batch->job.steps_count; i++) {
        const struct job_step *step = &batch->job.steps[i];
        if (step->kind != JOB_STEP_EXECUTE) {
            continue;
        }
        const char *text = step->portal->statement->text;
        postgres_request_apply_hints(
            session, batch, classifier_get(classifier, text, strlen(text)));
        if (step->portal->statement->kind == CLASSIFY_SET) {
            postgres_request_add_setting(batch, text);
        }
        else if (step->portal->statement->kind == CLASSIFY_WRITE &&
                 postgres_query_may_leave_state(text)) {
            batch->job.changes_settings = true;
            batch->job.settings_hash_after = JOB_SETTINGS_UNKNOWN;
        }
    }
    // A key stands for one save.
    if (executes_count != 1) {
        batch->job.key[0] = '\0';
    }
}

// ---- batches that the entry answers itself ----

static bool
postgres_local_describe(struct postgres_session *session,
                        const struct job_step *step)
{
    const struct statement *statement = postgres_step_get_statement(step);

    if (step->kind == JOB_STEP_DESCRIBE_STATEMENT) {
        size_t place = postgres_message_begin(&session->out, 't');
        buffer_append_be16(&session->out, 0);
        postgres_message_end(&session->out, place);
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
    struct classifier *classifier =
        worker_get_classifier(postgres_session_get_worker(session));
    const struct classification *class =
        classifier_get(classifier, statement->text, strlen(statement->text));

    switch (class->kind) {
    case CLASSIFY_SET_CATKINGRADE:
        return postgres_variables_set(session, class->name, class->value,
                                      &session->out);
    case CLASSIFY_SHOW_CATKINGRADE:
        return postgres_variables_show(session, class->name, false,
                                       &session->out);
    case CLASSIFY_COMMIT:
    case CLASSIFY_ROLLBACK:
        // Only of a session whose transaction is lost.
        session->lost = false;
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

// Answers a batch without an upstream.
static void
postgres_batch_answer_local(struct postgres_session *session)
{
    struct entry_request *batch = session->batch;

    session->batch = NULL;
    for (size_t i = 0; i < batch->job.steps_count; i++) {
        if (!postgres_local_answer_step(session, &batch->job.steps[i])) {
            session->skips_to_sync = true;
            break;
        }
    }
    job_free(&batch->job);
    free(batch);
}

// Runs the batch. Returns whether a request is out or was answered by the
// database, which then sends ReadyForQuery as well if sync.
static bool
postgres_batch_run(struct postgres_session *session, bool sync)
{
    struct entry_request *batch = session->batch;

    if (batch == NULL) {
        return false;
    }
    struct postgres_batch_summary summary =
        postgres_batch_summarize(&batch->job);
    if (session->lost || !summary.has_upstream) {
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
    postgres_batch_apply_statements(session, batch, summary.executes);
    postgres_request_submit(session, batch, class);
    return true;
}

// Takes the end of a batch over to the session: statements whose Parse did
// not succeed are forgotten. job is NULL when nothing of it was run.
void
postgres_extended_end_batch(struct postgres_session *session,
                            const struct job *job)
{
    bool failed = job == NULL || job->failed;

    if (!failed) {
        return;
    }
    if (!session->ends_with_sync) {
        session->skips_to_sync = true;
    }
    for (size_t i = job == NULL ? 0 : job->steps_done;
         job != NULL && i < job->steps_count; i++) {
        if (job->steps[i].kind == JOB_STEP_PARSE) {
            postgres_names_drop_statement(session, job->steps[i].statement);
        }
    }
}

// ---- messages ----

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
    struct classifier *classifier =
        worker_get_classifier(postgres_session_get_worker(session));
    enum classify_kind kind =
        classifier_get(classifier, text, strlen(text))->kind;
    if (postgres_query_refuse_unsupported(session, kind, text)) {
        postgres_batch_abort(session);
        return;
    }
    uint32_t *oids = xcalloc(count, sizeof(*oids));
    struct postgres_reader oid_reader = {.data = types, .left = 4UL * count};
    for (uint16_t i = 0; i < count; i++) {
        oids[i] = postgres_reader_get_u32(&oid_reader);
    }
    struct statement *statement = statement_create(text, oids, count);
    free(oids);
    statement->kind = kind;
    postgres_names_set(session, name, statement, NULL);
    postgres_batch_add_step(session, JOB_STEP_PARSE)->statement =
        statement_retain(statement);
}

// Reads the formats of a Bind message: none, one for all, or one for each.
static bool
postgres_bind_read_formats(struct postgres_reader *reader, uint16_t *count,
                           const uint8_t **formats)
{
    *count = postgres_reader_get_u16(reader);
    *formats = postgres_reader_get_bytes(reader, 2UL * *count);
    return *formats != NULL;
}

static uint16_t
postgres_bind_get_format(const uint8_t *formats, uint16_t count,
                         uint16_t place)
{
    uint16_t i = count == 1 ? 0 : place;

    return i < count ? (uint16_t)(formats[2 * i] << 8 | formats[2 * i + 1])
                     : 0;
}

static bool
postgres_bind_read_value(struct postgres_reader *reader, struct portal *portal,
                         uint16_t place)
{
    uint32_t size = postgres_reader_get_u32(reader);

    if (size == UINT32_MAX) {
        return !reader->failed;
    }
    const uint8_t *bytes = postgres_reader_get_bytes(reader, size);
    if (bytes == NULL) {
        return false;
    }
    portal->values[place] = xmemdupz((const char *)bytes, size);
    portal->lengths[place] = (int)size;
    return true;
}

// Reads parameters and result formats of a Bind message into a portal.
// Returns NULL when the message is not valid. mixed tells that the columns
// are asked for in different formats.
static struct portal *
postgres_bind_read(struct postgres_reader *reader, struct statement *statement,
                   bool *mixed)
{
    uint16_t formats_count;
    const uint8_t *formats;

    if (!postgres_bind_read_formats(reader, &formats_count, &formats)) {
        return NULL;
    }
    uint16_t count = postgres_reader_get_u16(reader);
    if (reader->failed || reader->left < 4UL * count) {
        return NULL;
    }
    struct portal *portal = portal_create(statement, count);
    for (uint16_t i = 0; i < count; i++) {
        portal->formats[i] =
            postgres_bind_get_format(formats, formats_count, i) == 1;
        if (!postgres_bind_read_value(reader, portal, i)) {
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
    *mixed = false;
    for (uint16_t i = 1; i < formats_count; i++) {
        *mixed |= postgres_bind_get_format(formats, formats_count, i) !=
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
    bool mixed = false;

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
    struct portal *portal =
        postgres_bind_read(reader, name->statement, &mixed);
    if (portal == NULL) {
        postgres_extended_reject_message(session);
        return;
    }
    if (mixed) {
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
    session->skips_to_sync = false;
    postgres_message_add_ready(&session->out, session->status);
}

// Handles a message of the extended protocol.
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
