#include "catkingrade/decide/coordinator/backlog.h"

#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"

// An entry that still refuses requests repeats its report at least this often.
#define BACKLOG_REPORT_LIFETIME_US 2500000
// Interval between two changes, as a multiple of the cost of one.
#define BACKLOG_INTERVAL_FACTOR 6

// Stores a report, replacing the entry's earlier one. lost_us is the time that
// callers of the entry have lost by refusals while the replica served no read.
void
backlog_add_report(struct backlog *backlog, int64_t now_us, size_t reporter,
                   int64_t lost_us)
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
    report->lost_us = lost_us;
}

// Counts the entries that have reported a replica for at least min_us, and
// whose callers have lost at least min_us.
static size_t
backlog_count_lasting(const struct backlog *backlog, int64_t now_us,
                      int64_t min_us)
{
    size_t count = 0;

    for (size_t i = 0; i < backlog->reports_count; i++) {
        const struct backlog_report *report = &backlog->reports[i];
        if (now_us - report->last_us < BACKLOG_REPORT_LIFETIME_US &&
            now_us - report->first_us >= min_us && report->lost_us >= min_us) {
            count++;
        }
    }
    return count;
}

// Returns whether to begin a planned change of primary: at half of the entries
// callers have lost more time by refusals than a change would cost them. What
// has lasted for some time is expected to last as long again, so that the
// change then costs less than it saves. A replica that serves some reads is
// reported by fewer entries or with less time lost. All upstreams must be
// usable, because any of them could be needed during the change.
bool
backlog_should_change(const struct backlog_params *params, int64_t now_us)
{
    int64_t min_us = params->change_cost_us;
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
