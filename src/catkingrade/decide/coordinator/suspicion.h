#ifndef CATKINGRADE_DECIDE_SUSPICION_H
#define CATKINGRADE_DECIDE_SUSPICION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/rpc/messages.h"

// Evidence that the primary of one database is lost, collected by the
// coordinator: reports of entries, results of the coordinator's own probes,
// and missing announcements of the primary.

struct suspicion_report {
    char *vm;
    ck_suspicion_kind kind;
    int64_t since_us; // start of the failure as seen by the entry
    int64_t received_us;
};

struct suspicion {
    struct suspicion_report *reports; // latest report of each entry
    size_t reports_count;
    unsigned probe_failures;  // consecutive
    bool probe_refused;       // last failed probe was refused
    int64_t first_failure_us; // of the consecutive probe failures
};

struct suspicion_params {
    int64_t suspect_us; // base of the durations in suspicion_evaluate
    int64_t silence_us; // announcements count as missing after this time
    // Number of entries with a lease and connections to the database.
    size_t entries_count;
    int64_t announced_us; // last announcement of the primary
    bool recent_failover; // of this database; requires more evidence
};

enum suspicion_verdict {
    SUSPICION_NONE,
    SUSPICION_PROBE, // some evidence: probe the primary
    SUSPICION_LOST,  // start a failover
};

void suspicion_add_report(struct suspicion *suspicion, int64_t now_us,
                          const char *vm, const struct ck_suspicion *report);
void suspicion_add_probe(struct suspicion *suspicion, int64_t now_us,
                         bool answered, bool refused);
enum suspicion_verdict
suspicion_evaluate(struct suspicion *suspicion, int64_t now_us,
                   const struct suspicion_params *params);
void suspicion_clear(struct suspicion *suspicion);

#endif
