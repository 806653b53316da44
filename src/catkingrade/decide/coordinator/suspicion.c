#include "catkingrade/decide/coordinator/suspicion.h"

#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"

#define SUSPICION_US_PER_MS                 1000
#define SUSPICION_MIN_ENTRIES               2
#define SUSPICION_MIN_SILENT_PROBES         2
#define SUSPICION_MIN_PROBES_AFTER_FAILOVER 4
#define SUSPICION_REPORT_LIFETIME_FACTOR    2 // multiple of suspect_us
// Without any report, the primary is probed after this fraction (1/2) of the
// time after which its announcements count as missing.
#define SUSPICION_PROBE_DIVISOR 2

// Stores the report of an entry (vm), replacing the entry's earlier report. A
// report of slowness is no evidence of a loss, so it withdraws an earlier
// report of a loss.
void
suspicion_add_report(struct suspicion *suspicion, int64_t now_us,
                     const char *vm, const struct ck_suspicion *report)
{
    size_t index = 0;

    while (index < suspicion->reports_count &&
           strcmp(suspicion->reports[index].vm, vm) != 0) {
        index++;
    }
    if (index == suspicion->reports_count) {
        suspicion->reports_count++;
        suspicion->reports =
            xrealloc(suspicion->reports,
                     suspicion->reports_count * sizeof(*suspicion->reports));
        suspicion->reports[index].vm = xstrdup(vm);
    }
    struct suspicion_report *stored = &suspicion->reports[index];
    stored->kind = report->kind;
    stored->received_us = now_us;
    stored->since_us =
        now_us - (int64_t)report->since_ms * SUSPICION_US_PER_MS;
}

// Records the result of a probe of the primary by the coordinator. refused is
// used only if the probe was not answered.
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
        if (now_us - suspicion->reports[i].received_us >= lifetime_us) {
            free(suspicion->reports[i].vm);
            continue;
        }
        suspicion->reports[kept++] = suspicion->reports[i];
    }
    suspicion->reports_count = kept;
}

// Counts the reports of refused connections or silence that have lasted for at
// least min_duration_us.
static size_t
suspicion_count_reports(const struct suspicion *suspicion, int64_t now_us,
                        int64_t min_duration_us)
{
    size_t count = 0;

    for (size_t i = 0; i < suspicion->reports_count; i++) {
        const struct suspicion_report *report = &suspicion->reports[i];
        bool is_loss = report->kind == CK_SUSPECT_REFUSED ||
                       report->kind == CK_SUSPECT_SILENT;
        if (is_loss && now_us - report->since_us >= min_duration_us) {
            count++;
        }
    }
    return count;
}

// Evaluates the evidence after dropping expired reports. The primary is lost
// if one of these holds:
// - Its host refuses the coordinator's probe, and a report of an entry or
//   missing announcements confirm this.
// - It does not answer two probes in a row, and reports of at least two
//   entries (one if there is only one entry) or missing announcements confirm
//   this.
// - Every entry with a lease and connections to the database, and at least two
//   entries, have reported the loss for twice suspect_us, even if the
//   coordinator still reaches the primary.
// The report of a single entry never suffices without a failed probe. After a
// recent failover of the database, in addition four probes in a row must have
// failed over at least twice suspect_us, confirmed by reports of several
// entries or missing announcements, so that the primary does not flap.
enum suspicion_verdict
suspicion_evaluate(struct suspicion *suspicion, int64_t now_us,
                   const struct suspicion_params *params)
{
    int64_t window_us = params->suspect_us * SUSPICION_REPORT_LIFETIME_FACTOR;
    suspicion_drop_old_reports(suspicion, now_us, window_us);

    size_t reports = suspicion_count_reports(suspicion, now_us, 0);
    size_t lasting = suspicion_count_reports(suspicion, now_us, window_us);
    int64_t silent_for_us = now_us - params->announced_us;
    bool unannounced = silent_for_us >= params->silence_us;
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
            now_us - suspicion->first_failure_us >= window_us;
        lost = confirmed && (several || unannounced);
    }
    if (lost) {
        return SUSPICION_LOST;
    }
    int64_t probe_us = params->silence_us / SUSPICION_PROBE_DIVISOR;
    bool announcement_overdue =
        silent_for_us >= probe_us && silent_for_us >= params->suspect_us;
    return reports > 0 || suspicion->probe_failures > 0 || announcement_overdue
               ? SUSPICION_PROBE
               : SUSPICION_NONE;
}

// Discards all evidence, for example after a change of primary.
void
suspicion_clear(struct suspicion *suspicion)
{
    for (size_t i = 0; i < suspicion->reports_count; i++) {
        free(suspicion->reports[i].vm);
    }
    free(suspicion->reports);
    memset(suspicion, 0, sizeof(*suspicion));
}
