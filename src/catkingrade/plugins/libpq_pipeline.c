#include <stdlib.h>
#include <string.h>

#include "catkingrade/entry/upstream_sql.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/plugins/libpq_encode.h"
#include "catkingrade/plugins/libpq_link.h"
#include "catkingrade/plugins/postgres_message.h"

#define LIBPQ_STALE_PLAN_MESSAGE "cached plan must not change result type"

static struct libpq_command *
libpq_pipeline_add(struct libpq_link *link, enum libpq_command_kind kind,
                   size_t step)
{
    if (link->commands_count == link->commands_capacity) {
        link->commands_capacity = link->commands_capacity * 2 + 8;
        link->commands = xrealloc(link->commands, link->commands_capacity *
                                                      sizeof(*link->commands));
    }
    struct libpq_command *command = &link->commands[link->commands_count++];
    memset(command, 0, sizeof(*command));
    command->kind = kind;
    command->step = step;
    return command;
}

static bool
libpq_pipeline_is_prepared(const struct libpq_link *link, const char *name)
{
    for (size_t i = 0; i < link->prepared_count; i++) {
        if (strcmp(link->prepared[i], name) == 0) {
            return true;
        }
    }
    return false;
}

static void
libpq_pipeline_mark_prepared(struct libpq_link *link, const char *name)
{
    if (link->prepared_count == link->prepared_capacity) {
        link->prepared_capacity = link->prepared_capacity * 2 + 8;
        link->prepared = xrealloc(link->prepared, link->prepared_capacity *
                                                      sizeof(*link->prepared));
    }
    memcpy(link->prepared[link->prepared_count++], name, STATEMENT_NAME_SIZE);
}

static void
libpq_pipeline_unmark_prepared(struct libpq_link *link, const char *name)
{
    for (size_t i = 0; i < link->prepared_count; i++) {
        if (strcmp(link->prepared[i], name) == 0) {
            memcpy(link->prepared[i], link->prepared[--link->prepared_count],
                   STATEMENT_NAME_SIZE);
            return;
        }
    }
}

static bool
libpq_pipeline_send_prepare(struct libpq_link *link,
                            const struct statement *statement, size_t step,
                            bool silent)
{
    if (libpq_pipeline_is_prepared(link, statement->upstream_name)) {
        return true;
    }
    libpq_pipeline_mark_prepared(link, statement->upstream_name);
    libpq_pipeline_add(link, LIBPQ_COMMAND_PREPARE, step)->silent = silent;
    return PQsendPrepare(link->conn, statement->upstream_name, statement->text,
                         statement->types_count, statement->types) == 1;
}

static bool
libpq_pipeline_send_describe(struct libpq_link *link,
                             const struct statement *statement, size_t step)
{
    if (!libpq_pipeline_send_prepare(link, statement, step, true)) {
        return false;
    }
    libpq_pipeline_add(link, LIBPQ_COMMAND_DESCRIBE, step);
    return PQsendDescribePrepared(link->conn, statement->upstream_name) == 1;
}

static bool
libpq_pipeline_send_execute(struct libpq_link *link,
                            const struct portal *portal, size_t step,
                            bool describe)
{
    const struct statement *statement = portal->statement;

    if (!libpq_pipeline_send_prepare(link, statement, step, true)) {
        return false;
    }
    libpq_pipeline_add(link, LIBPQ_COMMAND_EXECUTE, step)->describe = describe;
    return PQsendQueryPrepared(
               link->conn, statement->upstream_name, portal->params_count,
               (const char *const *)portal->values, portal->lengths,
               portal->formats, portal->result_format) == 1;
}

// A Describe of a portal directly before its first Execute is answered from
// the result of the Execute.
static bool
libpq_pipeline_is_described_by_next(const struct job *job, size_t step)
{
    const struct job_step *here = &job->steps[step];
    const struct job_step *next = here + 1;

    return here->kind == JOB_STEP_DESCRIBE_PORTAL &&
           step + 1 < job->steps_count && next->kind == JOB_STEP_EXECUTE &&
           next->portal == here->portal && !here->portal->has_run;
}

static bool
libpq_pipeline_send_step(struct libpq_link *link, size_t place)
{
    const struct job *job = link->job;
    const struct job_step *step = &job->steps[place];
    bool sent = true;

    switch (step->kind) {
    case JOB_STEP_PARSE:
        sent = libpq_pipeline_send_prepare(link, step->statement, place, true);
        break;
    case JOB_STEP_DESCRIBE_STATEMENT:
        return libpq_pipeline_send_describe(link, step->statement, place);
    case JOB_STEP_DESCRIBE_PORTAL:
        if (!libpq_pipeline_is_described_by_next(job, place)) {
            return libpq_pipeline_send_describe(link, step->portal->statement,
                                                place);
        }
        return true;
    case JOB_STEP_EXECUTE:
        if (!step->portal->has_run) {
            bool describe = place > 0 && libpq_pipeline_is_described_by_next(
                                             job, place - 1);
            step->portal->has_run = true;
            return libpq_pipeline_send_execute(link, step->portal, place,
                                               describe);
        }
        break;
    case JOB_STEP_BIND:
    case JOB_STEP_CLOSE:
        break;
    }
    if (sent) {
        libpq_pipeline_add(link, LIBPQ_COMMAND_LOCAL, place);
    }
    return sent;
}

static bool
libpq_pipeline_send_simple(struct libpq_link *link)
{
    libpq_pipeline_add(link, LIBPQ_COMMAND_EXECUTE, 0)->simple = true;
    return PQsendQueryParams(link->conn, link->job->text, 0, NULL, NULL, NULL,
                             NULL, 0) == 1;
}

static bool
libpq_pipeline_send_sync(struct libpq_link *link)
{
    libpq_pipeline_add(link, LIBPQ_COMMAND_SYNC, link->job->steps_count);
    return PQpipelineSync(link->conn) == 1;
}

// Sends a job's messages and a Sync, then the question for the log position
// with a Sync of its own, so that it comes after the commit.
bool
libpq_pipeline_send(struct libpq_link *link)
{
    const struct job *job = link->job;

    link->commands_count = 0;
    link->commands_done = 0;
    if (PQenterPipelineMode(link->conn) != 1) {
        return false;
    }
    if (job->text != NULL && !libpq_pipeline_send_simple(link)) {
        return false;
    }
    for (size_t i = 0; i < job->steps_count; i++) {
        if (!libpq_pipeline_send_step(link, i)) {
            return false;
        }
    }
    if (!libpq_pipeline_send_sync(link)) {
        return false;
    }
    if (!job->want_position || job->key[0] != '\0') {
        return true;
    }
    libpq_pipeline_add(link, LIBPQ_COMMAND_POSITION, job->steps_count);
    return PQsendQueryParams(link->conn, UPSTREAM_SQL_POSITION, 0, NULL, NULL,
                             NULL, NULL, 0) == 1 &&
           libpq_pipeline_send_sync(link);
}

// ---- results ----

static void
libpq_pipeline_answer_stored_rows(struct job *job, const struct job_step *step)
{
    struct portal *portal = step->portal;

    if (portal_move_rows(portal, step->max_rows, &job->answer)) {
        postgres_message_add_empty(&job->answer, 's');
        return;
    }
    postgres_message_add_complete(&job->answer, portal->tag);
}

static void
libpq_pipeline_answer_local(struct job *job, const struct job_step *step)
{
    switch (step->kind) {
    case JOB_STEP_PARSE:
        postgres_message_add_empty(&job->answer, '1');
        break;
    case JOB_STEP_BIND:
        postgres_message_add_empty(&job->answer, '2');
        break;
    case JOB_STEP_CLOSE:
        postgres_message_add_empty(&job->answer, '3');
        break;
    case JOB_STEP_EXECUTE:
        libpq_pipeline_answer_stored_rows(job, step);
        break;
    case JOB_STEP_DESCRIBE_STATEMENT:
    case JOB_STEP_DESCRIBE_PORTAL:
        break;
    }
}

static void
libpq_pipeline_answer_rows(struct job *job, const struct job_step *step,
                           const PGresult *result)
{
    int count = PQntuples(result);
    int limit =
        step == NULL || step->max_rows == 0 || (uint32_t)count < step->max_rows
            ? count
            : (int)step->max_rows;
    struct buffer row = {0};

    for (int i = 0; i < limit; i++) {
        libpq_encode_data_row(result, i, &job->answer);
    }
    if (limit == count) {
        postgres_message_add_complete(
            &job->answer, PQcmdStatus((PGresult *)(uintptr_t)result));
        return;
    }
    for (int i = limit; i < count; i++) {
        buffer_clear(&row);
        libpq_encode_data_row(result, i, &row);
        portal_append_row(step->portal, &row);
    }
    buffer_free(&row);
    postgres_message_add_empty(&job->answer, 's');
}

static void
libpq_pipeline_store_tag(struct libpq_link *link, const struct job_step *step,
                         PGresult *result)
{
    const char *tag = PQcmdStatus(result);

    strncpy(link->key_tag, tag, sizeof(link->key_tag) - 1);
    if (step != NULL) {
        strncpy(step->portal->tag, tag, sizeof(step->portal->tag) - 1);
    }
}

static void
libpq_pipeline_answer_execute(struct libpq_link *link,
                              const struct libpq_command *command,
                              PGresult *result)
{
    struct job *job = link->job;
    const struct job_step *step =
        command->simple ? NULL : &job->steps[command->step];
    ExecStatusType status = PQresultStatus(result);

    libpq_pipeline_store_tag(link, step, result);
    if (status == PGRES_TUPLES_OK) {
        if (command->simple || command->describe) {
            libpq_encode_row_description(result, -1, &job->answer);
        }
        libpq_pipeline_answer_rows(job, step, result);
        return;
    }
    if (command->describe) {
        postgres_message_add_empty(&job->answer, 'n');
    }
    if (status == PGRES_EMPTY_QUERY) {
        postgres_message_add_empty(&job->answer, 'I');
        return;
    }
    postgres_message_add_complete(&job->answer, PQcmdStatus(result));
}

static void
libpq_pipeline_answer_describe(struct job *job, const struct job_step *step,
                               const PGresult *result)
{
    int format = 0;

    if (step->kind == JOB_STEP_DESCRIBE_STATEMENT) {
        libpq_encode_parameter_description(result, &job->answer);
    }
    else {
        format = step->portal->result_format;
    }
    if (PQnfields(result) == 0) {
        postgres_message_add_empty(&job->answer, 'n');
        return;
    }
    libpq_encode_row_description(result, format, &job->answer);
}

static void
libpq_pipeline_handle_error(struct libpq_link *link, const PGresult *result)
{
    const char *text = PQresultErrorField(result, PG_DIAG_MESSAGE_PRIMARY);

    libpq_encode_diagnostic(result, 'E', &link->job->answer);
    link->job->failed = true;
    if (text != NULL && strcmp(text, LIBPQ_STALE_PLAN_MESSAGE) == 0) {
        link->settings_hash = JOB_SETTINGS_UNKNOWN;
    }
}

static const struct statement *
libpq_pipeline_get_statement(const struct job *job, size_t place)
{
    const struct job_step *step = &job->steps[place];

    return step->portal != NULL ? step->portal->statement : step->statement;
}

// Handles one result of a command. A position that can't be read leaves the
// answer as it is.
static void
libpq_pipeline_handle_result(struct libpq_link *link,
                             const struct libpq_command *command,
                             PGresult *result)
{
    struct job *job = link->job;
    ExecStatusType status = PQresultStatus(result);
    bool good = status == PGRES_TUPLES_OK || status == PGRES_COMMAND_OK ||
                status == PGRES_EMPTY_QUERY;

    if (command->kind == LIBPQ_COMMAND_POSITION) {
        if (status == PGRES_TUPLES_OK && PQntuples(result) == 1) {
            libpq_link_parse_position(PQgetvalue(result, 0, 0),
                                      &job->position);
            job->position_known = true;
        }
        return;
    }
    if (!good) {
        if (command->kind == LIBPQ_COMMAND_PREPARE) {
            libpq_pipeline_unmark_prepared(
                link, libpq_pipeline_get_statement(job, command->step)
                          ->upstream_name);
        }
        if (status == PGRES_FATAL_ERROR && !job->failed) {
            libpq_pipeline_handle_error(link, result);
        }
        return;
    }
    if (command->kind == LIBPQ_COMMAND_EXECUTE) {
        libpq_pipeline_answer_execute(link, command, result);
    }
    else if (command->kind == LIBPQ_COMMAND_DESCRIBE) {
        libpq_pipeline_answer_describe(job, &job->steps[command->step],
                                       result);
    }
}

static char
libpq_pipeline_get_transaction_status(const PGconn *conn)
{
    switch (PQtransactionStatus(conn)) {
    case PQTRANS_INTRANS:
        return 'T';
    case PQTRANS_INERROR:
        return 'E';
    default:
        return 'I';
    }
}

// Reads the results of the present command. Returns whether it has ended.
static bool
libpq_pipeline_read_command(struct libpq_link *link,
                            const struct libpq_command *command)
{
    while (PQisBusy(link->conn) == 0) {
        PGresult *result = PQgetResult(link->conn);
        if (result == NULL) {
            return true;
        }
        if (PQresultStatus(result) == PGRES_PIPELINE_SYNC) {
            PQclear(result);
            return true;
        }
        libpq_pipeline_handle_result(link, command, result);
        PQclear(result);
        if (PQstatus(link->conn) == CONNECTION_BAD) {
            return false;
        }
    }
    return false;
}

// Handles the results that have come, in the order of the commands. Returns
// whether all have ended.
bool
libpq_pipeline_read(struct libpq_link *link)
{
    struct job *job = link->job;

    while (link->commands_done < link->commands_count) {
        const struct libpq_command *command =
            &link->commands[link->commands_done];
        if (command->kind == LIBPQ_COMMAND_LOCAL) {
            if (!job->failed) {
                libpq_pipeline_answer_local(job, &job->steps[command->step]);
            }
        }
        else if (!libpq_pipeline_read_command(link, command)) {
            return false;
        }
        if (command->kind == LIBPQ_COMMAND_SYNC) {
            link->answered = job->key[0] == '\0';
        }
        if (!job->failed && command->kind != LIBPQ_COMMAND_SYNC &&
            command->kind != LIBPQ_COMMAND_POSITION && !command->silent) {
            job->steps_done = command->step + 1;
        }
        link->commands_done++;
    }
    if (PQexitPipelineMode(link->conn) != 1) {
        return false;
    }
    job->transaction_status =
        libpq_pipeline_get_transaction_status(link->conn);
    return true;
}
