#include "catkingrade/entry/database_private.h"

#include <inttypes.h>
#include <string.h>

#include "catkingrade/entry/entry.h"
#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/histogram.h"
#include "catkingrade/kernel/log.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

// Counters, histograms and log lines of the requests of a database.

// Limits of log lines per second and thread. Failures are logged up to a rate
// that a person can read; of successful requests only a sample is logged.
#define DATABASE_FAILED_LOG_LINES_PER_S 40
#define DATABASE_SENT_LOG_LINES_PER_S   2
#define DATABASE_SLOW_LOG_LINES_PER_S   10

// Returns the histogram of a phase with the given labels, from the database's
// cache if possible.
static struct histogram *
database_get_histogram(struct database *database, enum histogram_phase phase,
                       const char *type, const char *upstream)
{
    for (size_t i = 0; i < database->histograms_count; i++) {
        const struct database_histogram *row = &database->histograms[i];
        if (row->phase == phase && strcmp(row->type, type) == 0 &&
            strcmp(row->upstream, upstream) == 0) {
            return row->histogram;
        }
    }
    if (database->histograms == NULL) {
        database->histograms =
            xcalloc(DATABASE_MAX_HISTOGRAMS, sizeof(*database->histograms));
    }
    // Upstreams are added and removed: a full cache overwrites the oldest row.
    size_t index = database->histograms_next_index++ % DATABASE_MAX_HISTOGRAMS;
    struct database_histogram *row = &database->histograms[index];
    if (database->histograms_count < DATABASE_MAX_HISTOGRAMS) {
        database->histograms_count++;
    }
    row->phase = phase;
    (void)snprintf(row->type, sizeof(row->type), "%s", type);
    (void)snprintf(row->upstream, sizeof(row->upstream), "%s", upstream);
    row->histogram = histogram_get(phase, database->name, type, upstream);
    return row->histogram;
}

// Records the duration of a phase of a request, or its total duration. The end
// of a phase is the start of the next one.
void
database_record_phase(struct database *database, struct entry_request *request,
                      enum histogram_phase phase)
{
    int64_t now_us = monotonic_get_us();
    int64_t from_us =
        phase == HISTOGRAM_TOTAL ? request->submitted_us : request->phase_us;
    const char *upstream = phase == HISTOGRAM_RUN ? request->upstream : "";

    histogram_record(database_get_histogram(database, phase,
                                            request->params.type, upstream),
                     now_us - from_us);
    // A request with an outcome may still run on its connection: the total
    // does not end the current phase.
    if (phase != HISTOGRAM_TOTAL) {
        request->phase_us = now_us;
    }
}

// Records the time that it took to open a connection.
void
database_record_connect_time(struct database *database,
                             const struct database_conn *conn)
{
    const struct ck_upstream *upstream =
        scheduler_get_upstream(database->scheduler, conn->upstream);

    histogram_record(
        database_get_histogram(database, HISTOGRAM_CONNECT, "",
                               upstream == NULL ? "" : upstream->name),
        monotonic_get_us() - conn->connect_started_us);
}

// Counts a request that is sent: as a write, or as a read on a replica or on
// the primary.
void
database_count_send(const struct entry_request *request,
                    const struct scheduler_action *action)
{
    if (request->params.request_class != SCHEDULER_CLASS_READ) {
        counter_add(COUNTER_WRITES, 1);
    }
    else if (action->on_replica) {
        counter_add(COUNTER_READS_REPLICA, 1);
    }
    else {
        counter_add(COUNTER_READS_PRIMARY, 1);
    }
}

// Returns the reason for the selected upstream, as a constant text.
const char *
database_get_reason(const struct entry_request *request,
                    const struct scheduler_action *action)
{
    if (action->reason != NULL && action->reason[0] != '\0') {
        return action->reason;
    }
    if (request->params.request_class == SCHEDULER_CLASS_IN_TRANSACTION) {
        return "belongs to the transaction on this connection";
    }
    if (action->on_replica) {
        return "covers the session's floor within the accepted age";
    }
    return request->params.request_class == SCHEDULER_CLASS_READ
               ? "no replica covers the session's floor and accepted age"
               : "writes run on the primary";
}

static const char *const database_class_names[] = {
    [SCHEDULER_CLASS_READ] = "read",
    [SCHEDULER_CLASS_WRITE] = "save",
    [SCHEDULER_CLASS_BEGIN] = "begin",
    [SCHEDULER_CLASS_BEGIN_READ_ONLY] = "begin_read_only",
    [SCHEDULER_CLASS_IN_TRANSACTION] = "in_transaction",
    [SCHEDULER_CLASS_COMMIT] = "commit",
    [SCHEDULER_CLASS_ROLLBACK] = "rollback",
};

// Returns the client's id of a request, or an empty string.
static const char *
database_get_caller_id(const struct entry_request *request)
{
    return request->job.typed == NULL ? "" : request->job.typed->id;
}

// Logs a request that was refused or whose outcome is unknown, with the
// reason.
void
database_log_failure(const struct database *database,
                     const struct entry_request *request,
                     const struct scheduler_action *action)
{
    bool unknown = action->kind == SCHEDULER_ACTION_UNKNOWN;

    LOG_LIMITED(
        DATABASE_FAILED_LOG_LINES_PER_S, LOG_LEVEL_INFO,
        unknown ? "request_unknown" : "request_refused",
        "id=%s request=%" PRIu64 " session=%" PRIu64
        " database=%s customer=%s class=%s outcome=%s reason=%s"
        " waited_ms=%" PRId64 " term=%" PRIu64 " lease_left_ms=%" PRId64
        " upstream=%s host=%s retry_after_ms=%" PRId64,
        database_get_caller_id(request), request->id, request->params.session,
        database->name, request->params.customer,
        database_class_names[request->params.request_class],
        outcome_get_name(action->outcome),
        action->reason == NULL ? "" : action->reason,
        action->waited_us / DATABASE_US_PER_MS, action->term,
        action->lease_left_us / DATABASE_US_PER_MS, request->upstream,
        request->relay_host, action->retry_after_us / DATABASE_US_PER_MS);
}

// Logs how many requests have no outcome, if there are any.
void
database_log_open_requests(struct database *database)
{
    unsigned sent = 0;
    unsigned not_sent = 0;
    int64_t oldest_us = monotonic_get_us();

    for (apr_hash_index_t *index =
             apr_hash_first(database->pool, database->requests);
         index != NULL; index = apr_hash_next(index)) {
        const struct entry_request *request = apr_hash_this_val(index);
        if (request->decided) {
            continue;
        }
        sent += request->running ? 1 : 0;
        not_sent += request->running ? 0 : 1;
        oldest_us = request->submitted_us < oldest_us ? request->submitted_us
                                                      : oldest_us;
    }
    if (sent + not_sent > 0) {
        LOG_INFO("requests_open",
                 "database=%s sent=%u not_sent=%u oldest_ms=%" PRId64,
                 database->name, sent, not_sent,
                 (monotonic_get_us() - oldest_us) / DATABASE_US_PER_MS);
    }
}

// Logs the upstream to which a request is sent, and the reason. Retries and
// first attempts have separate rate limits.
void
database_log_send(const struct database *database,
                  const struct entry_request *request,
                  const struct scheduler_action *action)
{
    bool is_retry = request->attempts > 1;

    if (is_retry) {
        LOG_LIMITED(DATABASE_FAILED_LOG_LINES_PER_S, LOG_LEVEL_INFO,
                    "request_sent_again",
                    "id=%s request=%" PRIu64
                    " database=%s attempt=%u upstream=%s host=%s term=%" PRIu64
                    " lease_left_ms=%" PRId64 " reason=%s",
                    database_get_caller_id(request), request->id,
                    database->name, request->attempts, request->upstream,
                    request->relay_host, action->term,
                    action->lease_left_us / DATABASE_US_PER_MS,
                    request->reason);
        return;
    }
    LOG_LIMITED(DATABASE_SENT_LOG_LINES_PER_S, LOG_LEVEL_INFO, "request_sent",
                "id=%s request=%" PRIu64 " session=%" PRIu64
                " database=%s class=%s upstream=%s host=%s on_replica=%d "
                "after=%" PRIu64 " term=%" PRIu64 " lease_left_ms=%" PRId64
                " reason=%s",
                database_get_caller_id(request), request->id,
                request->params.session, database->name,
                database_class_names[request->params.request_class],
                request->upstream, request->relay_host, action->on_replica,
                action->after_lsn, action->term,
                action->lease_left_us / DATABASE_US_PER_MS, request->reason);
}

// Counts and logs that an upstream was found slow, or that it has recovered.
void
database_report_capacity(const struct database *database,
                         const struct scheduler_action *action)
{
    const struct ck_upstream *upstream =
        scheduler_get_upstream(database->scheduler, action->upstream);
    bool slow = action->kind == SCHEDULER_ACTION_REPORT_SLOW;

    counter_add(slow ? COUNTER_UPSTREAM_SLOW : COUNTER_UPSTREAM_RECOVERED, 1);
    LOG_LIMITED(DATABASE_SLOW_LOG_LINES_PER_S, LOG_LEVEL_INFO,
                slow ? "upstream_slow" : "upstream_recovered",
                "upstream=%s database=%s latency_ms=%" PRId64
                " usual_ms=%" PRId64,
                upstream == NULL ? "" : upstream->name, database->name,
                action->latency_us / DATABASE_US_PER_MS,
                action->usual_latency_us / DATABASE_US_PER_MS);
}
