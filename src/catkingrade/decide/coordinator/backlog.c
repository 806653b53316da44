#include "catkingrade/decide/coordinator/backlog.h"

#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"

// An entry that still refuses requests repeats its report at least this often.
#define BACKLOG_REPORT_LIFETIME_US 2500000
// The overload and the lag must have lasted for this multiple of the cost of a
// change. What has lasted for some time is expected to last as long again, so
// that the change then takes less than it saves.
#define BACKLOG_COST_FACTOR 2
// Interval between two changes, as a multiple of the cost of one.
#define BACKLOG_INTERVAL_FACTOR 6

// Stores a report, replacing the entry's earlier one. lagging_us is the time
// for which the replica has served no read of the entry.
void
backlog_add_report(struct backlog *backlog, int64_t now_us, size_t reporter,
                   int64_t lagging_us)
{
    size_t index = 0;

    while (index < backlog->reports_count &&
           backlog->reports[index].reporter != reporter) {
        index++;
    }
    if (index == backlog->reports_count) {
        backlog->reports_count++;
        backlog->reports =
            xrealloc(backlog->reports,
                     backlog->reports_count * sizeof(*backlog->reports));
        backlog->reports[index].reporter = reporter;
        backlog->reports[index].last_us = INT64_MIN / 2;
    }
    struct backlog_report *report = &backlog->reports[index];
    if (now_us - report->last_us >= BACKLOG_REPORT_LIFETIME_US) {
        report->first_us = now_us;
    }
    report->last_us = now_us;
    report->lagging_since_us = now_us - lagging_us;
}

// Counts the entries whose reports about a replica have lasted, as its lag,
// for at least min_us.
static size_t
backlog_count_lasting(const struct backlog *backlog, int64_t now_us,
                      int64_t min_us)
{
    size_t count = 0;

    for (size_t i = 0; i < backlog->reports_count; i++) {
        const struct backlog_report *report = &backlog->reports[i];
        if (now_us - report->last_us < BACKLOG_REPORT_LIFETIME_US &&
            now_us - report->first_us >= min_us &&
            now_us - report->lagging_since_us >= min_us) {
            count++;
        }
    }
    return count;
}

// Returns whether to begin a planned change of primary: at least half of the
// entries refuse requests, and none of the replicas serves them, for longer
// than a change would take. A replica that serves some reads is reported as
// lagging by fewer entries or for a shorter time. All upstreams must be
// usable, because any of them could be needed during the change.
bool
backlog_should_change(const struct backlog_params *params, int64_t now_us)
{
    int64_t min_us = BACKLOG_COST_FACTOR * params->change_cost_us;
    int64_t interval_us = BACKLOG_INTERVAL_FACTOR * params->change_cost_us;
    size_t needed = (params->entries_count + 1) / 2;

    if (params->is_primary_suspected || params->entries_count == 0 ||
        params->replicas_count == 0 ||
        (params->changed_us != 0 &&
         now_us - params->changed_us < interval_us)) {
        return false;
    }
    for (size_t i = 0; i < params->replicas_count; i++) {
        const struct backlog_replica *replica = &params->replicas[i];
        if (!replica->is_usable ||
            backlog_count_lasting(replica->backlog, now_us, min_us) < needed) {
            return false;
        }
    }
    return true;
}

// Discards all reports.
void
backlog_clear(struct backlog *backlog)
{
    free(backlog->reports);
    memset(backlog, 0, sizeof(*backlog));
}
