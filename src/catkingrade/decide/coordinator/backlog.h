#ifndef CATKINGRADE_DECIDE_BACKLOG_H
#define CATKINGRADE_DECIDE_BACKLOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

// Decision to relieve an overloaded primary whose replicas cannot serve reads,
// because they apply their log late. The load that it answers: one upstream
// does the work of all, requests are refused for want of a slot, and the
// replicas have received a log that they will apply only in seconds or
// minutes. Where a promoted upstream leads at once with what it has received,
// a planned change of primary ends the backlog of the new primary, and the old
// one becomes a replica that lacks nothing.

// Report of an entry that refuses requests for want of a slot while a replica
// does not serve its reads.
struct backlog_report {
    size_t reporter;  // identifies the entry
    int64_t first_us; // first of the reports that followed each other
    int64_t last_us;
    int64_t lost_us; // that callers have lost since the replica served a read
};

// The reports about one replica, at most one of each entry.
struct backlog {
    struct backlog_report *reports;
    size_t reports_count;
};

struct backlog_replica {
    const struct backlog *backlog;
    bool is_usable; // ready and announced recently
};

struct backlog_params {
    const struct backlog_replica *replicas; // without the primary
    size_t replicas_count;
    size_t entries_count; // with connections to the database
    bool is_primary_suspected;
    int64_t changed_us;     // last change of primary; 0: none known
    int64_t change_cost_us; // time without a primary that a change takes
};

void backlog_add_report(struct backlog *backlog, int64_t now_us,
                        size_t reporter, int64_t lost_us);
bool backlog_should_change(const struct backlog_params *params,
                           int64_t now_us);
void backlog_clear(struct backlog *backlog);

#endif
