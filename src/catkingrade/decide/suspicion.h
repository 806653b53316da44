#ifndef CATKINGRADE_DECIDE_SUSPICION_H
#define CATKINGRADE_DECIDE_SUSPICION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/rpc/messages.h"

// What speaks against the primary of one database: reports of entries, the
// leader's own probes and missing announcements.

struct suspicion_report {
    char *vm;
    ck_suspicion_kind kind;
    int64_t since_us; // when the entry's trouble began
    int64_t heard_us;
};

struct suspicion {
    struct suspicion_report *reports; // the newest of each entry
    size_t reports_count;
    unsigned probe_failures; // in a row
    bool probe_refused;      // the last one
    int64_t first_failure_us;
};

struct suspicion_params {
    int64_t suspect_us;
    int64_t silence_us; // of announcements, after which they count as missing
    size_t entries_count; // entries that hold a lease
    int64_t announced_us; // when the primary last announced itself
    bool recent_failover; // of this database: more evidence is needed
};

enum suspicion_verdict {
    SUSPICION_NONE,
    SUSPICION_PROBE, // there is something; probe the primary
    SUSPICION_LOST,
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
