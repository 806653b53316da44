#include "catkingrade/decide/suspicion.h"

#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"

#define SUSPICION_US_PER_MS                 1000
#define SUSPICION_MIN_ENTRIES               2
#define SUSPICION_MIN_SILENT_PROBES         2
#define SUSPICION_MIN_PROBES_AFTER_FAILOVER 4
#define SUSPICION_REPORT_LIFETIME_FACTOR    2 // times suspect_us
// Without any report the primary is probed after this part of the time after
// which its announcements count as missing.
#define SUSPICION_PROBE_DIVISOR 2

// Keeps an entry's newest report. One that only speaks of slowness is no sign
// of a loss and takes back an earlier one.
void
suspicion_add_report(struct suspicion *suspicion, int64_t now_us,
                     const char *vm, const struct ck_suspicion *report)
{
    size_t place = 0;

    while (place < suspicion->reports_count &&
           strcmp(suspicion->reports[place].vm, vm) != 0) {
        place++;
    }
    if (place == suspicion->reports_count) {
        suspicion->reports_count++;
        suspicion->reports =
            xrealloc(suspicion->reports,
                     suspicion->reports_count * sizeof(*suspicion->reports));
        suspicion->reports[place].vm = xstrdup(vm);
    }
    struct suspicion_report *own = &suspicion->reports[place];
    own->kind = report->kind;
    own->heard_us = now_us;
    own->since_us = now_us - (int64_t)report->since_ms * SUSPICION_US_PER_MS;
}

// Takes the result of the leader's own probe of the primary.
void
suspicion_add_probe(struct suspicion *suspicion, int64_t now_us, bool answered,
                    bool refused)
{
    if (answered) {
        suspicion->probe_failures = 0;
        suspicion->probe_refused = false;
        return;
    }
    if (suspicion->probe_failures == 0) {
        suspicion->first_failure_us = now_us;
    }
    suspicion->probe_failures++;
    suspicion->probe_refused = refused;
}

static void
suspicion_drop_old_reports(struct suspicion *suspicion, int64_t now_us,
                           int64_t lifetime_us)
{
    size_t kept = 0;

    for (size_t i = 0; i < suspicion->reports_count; i++) {
        if (now_us - suspicion->reports[i].heard_us >= lifetime_us) {
            free(suspicion->reports[i].vm);
            continue;
        }
        suspicion->reports[kept++] = suspicion->reports[i];
    }
    suspicion->reports_count = kept;
}

// Counts the entries that see a loss which has lasted for at_least_us.
static size_t
suspicion_count_reports(const struct suspicion *suspicion, int64_t now_us,
                        int64_t at_least_us)
{
    size_t count = 0;

    for (size_t i = 0; i < suspicion->reports_count; i++) {
        const struct suspicion_report *report = &suspicion->reports[i];
        bool counts = report->kind == CK_SUSPECT_REFUSED ||
                      report->kind == CK_SUSPECT_SILENT;
        if (counts && now_us - report->since_us >= at_least_us) {
            count++;
        }
    }
    return count;
}

// Judges the evidence. Lost is a primary
// - whose host refuses the leader's probe, when an entry or missing
//   announcements agree;
// - that leaves probes unanswered, when several entries or missing
//   announcements agree;
// - that every entry which holds a lease, and more than one, has been without
//   for twice suspect_us, even if the leader still reaches it.
// An entry alone never suffices when there are others. After a recent
// failover all of this must last longer, so that no database flaps.
enum suspicion_verdict
suspicion_evaluate(struct suspicion *suspicion, int64_t now_us,
                   const struct suspicion_params *params)
{
    int64_t lasting_us = params->suspect_us * SUSPICION_REPORT_LIFETIME_FACTOR;
    suspicion_drop_old_reports(suspicion, now_us, lasting_us);

    size_t reports = suspicion_count_reports(suspicion, now_us, 0);
    size_t lasting = suspicion_count_reports(suspicion, now_us, lasting_us);
    int64_t silence_us = now_us - params->announced_us;
    bool unannounced = silence_us >= params->silence_us;
    bool several = reports >= SUSPICION_MIN_ENTRIES ||
                   (reports == 1 && params->entries_count <= 1);
    bool refused = suspicion->probe_failures > 0 && suspicion->probe_refused;
    bool silent = suspicion->probe_failures >= SUSPICION_MIN_SILENT_PROBES;
    bool lost =
        (refused && (reports > 0 || unannounced)) ||
        (silent && (several || unannounced)) ||
        (lasting >= SUSPICION_MIN_ENTRIES && lasting >= params->entries_count);

    if (lost && params->recent_failover) {
        bool confirmed =
            suspicion->probe_failures >= SUSPICION_MIN_PROBES_AFTER_FAILOVER &&
            now_us - suspicion->first_failure_us >= lasting_us;
        lost = confirmed && (several || unannounced);
    }
    if (lost) {
        return SUSPICION_LOST;
    }
    int64_t probe_us = params->silence_us / SUSPICION_PROBE_DIVISOR;
    bool late = silence_us >= probe_us && silence_us >= params->suspect_us;
    return reports > 0 || suspicion->probe_failures > 0 || late
               ? SUSPICION_PROBE
               : SUSPICION_NONE;
}

// Forgets all evidence, as after a change of primary.
void
suspicion_clear(struct suspicion *suspicion)
{
    for (size_t i = 0; i < suspicion->reports_count; i++) {
        free(suspicion->reports[i].vm);
    }
    free(suspicion->reports);
    memset(suspicion, 0, sizeof(*suspicion));
}
