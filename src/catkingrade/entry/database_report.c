#include "catkingrade/entry/database_private.h"

#include <inttypes.h>
#include <string.h>

#include "catkingrade/entry/entry.h"
#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/histogram.h"
#include "catkingrade/kernel/log.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

// What a database tells of its requests: counters, times and log lines.

#define DATABASE_US_PER_MS 1000
// Lines a second and thread: what fails is told as far as a reader can take
// it in, of what succeeds a few stand for all.
#define DATABASE_FAILED_LOG_LINES_PER_S 40
#define DATABASE_SENT_LOG_LINES_PER_S   2

// Returns the histogram of a phase; this thread keeps those it has used.
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
    // Upstreams come and go: the oldest rows make room.
    size_t place = database->histograms_next_index++ % DATABASE_MAX_HISTOGRAMS;
    struct database_histogram *row = &database->histograms[place];
    if (database->histograms_count < DATABASE_MAX_HISTOGRAMS) {
        database->histograms_count++;
    }
    row->phase = phase;
    (void)snprintf(row->type, sizeof(row->type), "%s", type);
    (void)snprintf(row->upstream, sizeof(row->upstream), "%s", upstream);
    row->histogram = histogram_get(phase, database->name, type, upstream);
    return row->histogram;
}

// Counts how long a phase of a request has taken, or all of them; after a
// phase the next one begins.
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
    // One that was given up still runs: its phase goes on.
    if (phase != HISTOGRAM_TOTAL) {
        request->phase_us = now_us;
    }
}

// Counts how long it took to open a connection.
void
database_record_connect_time(struct database *database,
                             const struct database_conn *conn)
{
    const struct ck_upstream *upstream =
        scheduler_get_upstream(database->scheduler, conn->upstream);

    histogram_record(
        database_get_histogram(database, HISTOGRAM_CONNECT, "",
                               upstream == NULL ? "" : upstream->name),
        monotonic_get_us() - conn->began_us);
}

// Counts a request that is sent: a save, or a read and where it goes.
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

// Returns why a request runs where it runs, as a constant text.
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

// Returns the id by which its caller knows a request, or an empty text.
static const char *
database_get_caller_id(const struct entry_request *request)
{
    return request->job.typed == NULL ? "" : request->job.typed->id;
}

// Logs a request that was refused, or whose outcome is not known, with what
// decided that.
void
database_log_failure(const struct database *database,
                     const struct entry_request *request,
                     const struct scheduler_action *action)
{
    bool unknown = action->kind == SCHEDULER_ACTION_UNKNOWN;

    LOG_LIMITED(DATABASE_FAILED_LOG_LINES_PER_S, LOG_LEVEL_INFO,
                unknown ? "request_unknown" : "request_refused",
                "id=%s request=%" PRIu64 " session=%" PRIu64
                " database=%s class=%s outcome=%s reason=%s waited_ms=%" PRId64
                " term=%" PRIu64 " lease_left_ms=%" PRId64
                " upstream=%s retry_after_ms=%" PRId64,
                database_get_caller_id(request), request->id,
                request->params.session, database->name,
                database_class_names[request->params.request_class],
                outcome_get_name(action->outcome),
                action->reason == NULL ? "" : action->reason,
                action->waited_us / DATABASE_US_PER_MS, action->term,
                action->lease_left_us / DATABASE_US_PER_MS, request->upstream,
                action->retry_after_us / DATABASE_US_PER_MS);
}

// Logs where a request is sent and why: always when it was sent before, and
// otherwise a few.
void
database_log_send(const struct database *database,
                  const struct entry_request *request,
                  const struct scheduler_action *action)
{
    bool again = request->attempts > 1;

    if (again) {
        LOG_LIMITED(DATABASE_FAILED_LOG_LINES_PER_S, LOG_LEVEL_INFO,
                    "request_sent_again",
                    "id=%s request=%" PRIu64
                    " database=%s attempt=%u upstream=%s reason=%s",
                    database_get_caller_id(request), request->id,
                    database->name, request->attempts, request->upstream,
                    request->reason);
        return;
    }
    LOG_LIMITED(DATABASE_SENT_LOG_LINES_PER_S, LOG_LEVEL_INFO, "request_sent",
                "id=%s request=%" PRIu64 " session=%" PRIu64
                " database=%s class=%s upstream=%s on_replica=%d "
                "after=%" PRIu64 " reason=%s",
                database_get_caller_id(request), request->id,
                request->params.session, database->name,
                database_class_names[request->params.request_class],
                request->upstream, action->on_replica, action->after_lsn,
                request->reason);
}
