// Reports that an entry sends with each renewal call (suspicions, demands,
// confirmed revocations), and the quotas in force at the entry.
//
// A call repeats only the demands and quotas that have changed since the last
// call that the leader has answered, so that an idle renewal stays small.

#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/leaseholder/leaseholder_private.h"
#include "catkingrade/kernel/memory.h"

// A suspicion not repeated within this many renewal intervals is dropped.
#define LEASEHOLDER_SUSPICION_LIFETIME_RENEWALS 3
#define LEASEHOLDER_MAX_SUSPICIONS              512
#define LEASEHOLDER_MAX_CONFIRMED               16384
// A demand falls to the peak of this many measurements, so that it does not
// change with every request.
#define LEASEHOLDER_DEMAND_WINDOW 4
// Of a report that no call contains yet.
#define LEASEHOLDER_NOT_SENT UINT64_MAX

static void
leaseholder_free_suspicion(struct leaseholder_suspicion *entry)
{
    free(entry->suspicion.database);
    free(entry->suspicion.upstream);
}

// Stores a suspicion, replacing the previous suspicion of the same upstream. A
// new one beyond LEASEHOLDER_MAX_SUSPICIONS is dropped.
void
leaseholder_add_suspicion(struct leaseholder *holder, int64_t now_us,
                          const struct ck_suspicion *suspicion)
{
    size_t index = 0;

    while (index < holder->suspicions_count &&
           strcmp(holder->suspicions[index].suspicion.upstream,
                  suspicion->upstream) != 0) {
        index++;
    }
    if (index == LEASEHOLDER_MAX_SUSPICIONS) {
        return;
    }
    if (index == holder->suspicions_count) {
        holder->suspicions_count++;
        holder->suspicions =
            xrealloc(holder->suspicions,
                     holder->suspicions_count * sizeof(*holder->suspicions));
        holder->suspicions[index].suspicion.database =
            xstrdup(suspicion->database);
        holder->suspicions[index].suspicion.upstream =
            xstrdup(suspicion->upstream);
    }
    struct leaseholder_suspicion *entry = &holder->suspicions[index];
    entry->suspicion.term = suspicion->term;
    entry->suspicion.kind = suspicion->kind;
    entry->suspicion.since_ms = suspicion->since_ms;
    entry->reported_us = now_us;
}

static void
leaseholder_drop_old_suspicions(struct leaseholder *holder, int64_t now_us)
{
    int64_t limit_us =
        holder->params.renew_us * LEASEHOLDER_SUSPICION_LIFETIME_RENEWALS;
    size_t kept = 0;

    for (size_t i = 0; i < holder->suspicions_count; i++) {
        if (now_us - holder->suspicions[i].reported_us >= limit_us) {
            leaseholder_free_suspicion(&holder->suspicions[i]);
            continue;
        }
        holder->suspicions[kept++] = holder->suspicions[i];
    }
    holder->suspicions_count = kept;
}

// Returns the index of an upstream, or the index at which to add it. Upstreams
// are sorted by name.
static size_t
leaseholder_find_upstream_index(const struct leaseholder *holder,
                                const char *name)
{
    size_t index = 0;
    size_t end = holder->upstreams_count;

    while (index < end) {
        size_t middle = index + (end - index) / 2;
        if (strcmp(holder->upstreams[middle].report.upstream, name) < 0) {
            index = middle + 1;
        }
        else {
            end = middle;
        }
    }
    return index;
}

// Returns the record of an upstream, adding an empty one if needed.
static struct leaseholder_upstream *
leaseholder_find_or_add_upstream(struct leaseholder *holder, const char *name)
{
    size_t index = leaseholder_find_upstream_index(holder, name);
    size_t count = holder->upstreams_count;

    if (index < count &&
        strcmp(holder->upstreams[index].report.upstream, name) == 0) {
        return &holder->upstreams[index];
    }
    holder->upstreams =
        xrealloc(holder->upstreams, (count + 1) * sizeof(*holder->upstreams));
    struct leaseholder_upstream *upstream = &holder->upstreams[index];
    memmove(upstream + 1, upstream, (count - index) * sizeof(*upstream));
    memset(upstream, 0, sizeof(*upstream));
    upstream->report.upstream = xstrdup(name);
    upstream->changed_in = LEASEHOLDER_NOT_SENT;
    holder->upstreams_count = count + 1;
    return upstream;
}

// Sets a number of a report. Returns whether it has changed.
static bool
leaseholder_set_number(u_int *number, u_int value)
{
    bool changed = *number != value;

    *number = value;
    return changed;
}

// Adds a measurement of a demand. Returns the demand to report: it rises at
// once, and falls to the peak of a window of measurements at its end.
static u_int
leaseholder_smooth_demand(u_int reported, u_int measured, u_int *peak,
                          bool ends_window)
{
    if (measured > *peak) {
        *peak = measured;
    }
    if (measured > reported) {
        return measured;
    }
    return ends_window ? *peak : reported;
}

// Takes the demand for an upstream into account that the next renewal call
// reports.
void
leaseholder_set_demand(struct leaseholder *holder,
                       const struct ck_demand *demand)
{
    struct leaseholder_upstream *upstream =
        leaseholder_find_or_add_upstream(holder, demand->upstream);
    struct ck_demand *report = &upstream->report;
    bool ends_window =
        ++upstream->measurements % LEASEHOLDER_DEMAND_WINDOW == 0;

    u_int waiting =
        leaseholder_smooth_demand(report->waiting, demand->waiting,
                                  &upstream->peak_waiting, ends_window);
    u_int running =
        leaseholder_smooth_demand(report->running, demand->running,
                                  &upstream->peak_running, ends_window);
    u_int connections =
        leaseholder_smooth_demand(report->connections, demand->connections,
                                  &upstream->peak_connections, ends_window);
    bool changed = leaseholder_set_number(&report->waiting, waiting);
    changed |= leaseholder_set_number(&report->running, running);
    changed |= leaseholder_set_number(&report->connections, connections);
    if (changed) {
        upstream->changed_in = LEASEHOLDER_NOT_SENT;
    }
    if (ends_window) {
        upstream->peak_waiting = 0;
        upstream->peak_running = 0;
        upstream->peak_connections = 0;
    }
}

static struct ck_revocation *
leaseholder_find_confirmed(const struct leaseholder *holder,
                           const char *database)
{
    for (size_t i = 0; i < holder->confirmed_count; i++) {
        if (strcmp(holder->confirmed[i].database, database) == 0) {
            return &holder->confirmed[i];
        }
    }
    return NULL;
}

// Returns whether the entry has confirmed the revocation of this term.
bool
leaseholder_is_confirmed(const struct leaseholder *holder,
                         const struct ck_revocation *revocation)
{
    const struct ck_revocation *confirmed =
        leaseholder_find_confirmed(holder, revocation->database);

    return confirmed != NULL && confirmed->term >= revocation->term;
}

// Stores the confirmation of a revocation. Each renewal call repeats the
// confirmation until the next term has been published, so that a newly elected
// Raft leader receives it as well. Returns whether the confirmation is new;
// false also if LEASEHOLDER_MAX_CONFIRMED confirmations are stored.
bool
leaseholder_add_confirmed(struct leaseholder *holder,
                          const struct ck_revocation *revocation)
{
    struct ck_revocation *confirmed =
        leaseholder_find_confirmed(holder, revocation->database);

    if (confirmed != NULL) {
        bool newer = confirmed->term < revocation->term;
        confirmed->term = newer ? revocation->term : confirmed->term;
        return newer;
    }
    if (holder->confirmed_count == LEASEHOLDER_MAX_CONFIRMED) {
        return false;
    }
    size_t count = holder->confirmed_count + 1;
    holder->confirmed =
        xrealloc(holder->confirmed, count * sizeof(*holder->confirmed));
    holder->confirmed[count - 1].database = xstrdup(revocation->database);
    holder->confirmed[count - 1].term = revocation->term;
    holder->confirmed_count = count;
    return true;
}

// Drops the confirmations of terms for which the delta has a later term.
void
leaseholder_drop_superseded(struct leaseholder *holder,
                            const struct ck_view_delta *delta)
{
    for (u_int i = 0; i < delta->databases.databases_len; i++) {
        const struct ck_database *database =
            &delta->databases.databases_val[i];
        struct ck_revocation *confirmed =
            leaseholder_find_confirmed(holder, database->name);
        if (confirmed != NULL && database->term > confirmed->term) {
            free(confirmed->database);
            holder->confirmed_count--;
            *confirmed = holder->confirmed[holder->confirmed_count];
        }
    }
}

// Appends the quota in force of an upstream to the changed quotas.
static void
leaseholder_append_quota(struct leaseholder *holder,
                         const struct leaseholder_upstream *upstream)
{
    const struct ck_demand *report = &upstream->report;

    holder->changed_quotas =
        xrealloc(holder->changed_quotas, (holder->changed_quotas_count + 1) *
                                             sizeof(*holder->changed_quotas));
    holder->changed_quotas[holder->changed_quotas_count++] = (struct ck_quota){
        .upstream = report->upstream,
        .slots = report->held_slots,
        .connections = report->held_connections,
        .guaranteed_slots = report->held_guaranteed_slots,
        .guaranteed_connections = report->held_guaranteed_connections};
}

// Lists all quotas as changed, for an entry that may not have got them all.
void
leaseholder_list_all_quotas(struct leaseholder *holder)
{
    holder->redelivers_quotas = false;
    holder->changed_quotas_count = 0;
    for (size_t i = 0; i < holder->upstreams_count; i++) {
        leaseholder_append_quota(holder, &holder->upstreams[i]);
    }
}

// Puts a quota in force. If it differs from the one before, appends it to the
// changed quotas, and the next call reports it.
static void
leaseholder_set_quota(struct leaseholder *holder,
                      struct leaseholder_upstream *upstream,
                      const struct ck_quota *quota)
{
    struct ck_demand *report = &upstream->report;

    bool changed = leaseholder_set_number(&report->held_slots, quota->slots);
    changed |=
        leaseholder_set_number(&report->held_connections, quota->connections);
    changed |= leaseholder_set_number(&report->held_guaranteed_slots,
                                      quota->guaranteed_slots);
    changed |= leaseholder_set_number(&report->held_guaranteed_connections,
                                      quota->guaranteed_connections);
    if (changed) {
        upstream->changed_in = LEASEHOLDER_NOT_SENT;
        leaseholder_append_quota(holder, upstream);
    }
}

// Removes the records of upstreams of which the entry neither holds nor
// demands anything, once the leader knows.
static void
leaseholder_drop_unused_upstreams(struct leaseholder *holder)
{
    size_t kept = 0;

    for (size_t i = 0; i < holder->upstreams_count; i++) {
        const struct ck_demand *report = &holder->upstreams[i].report;
        bool is_used = report->waiting > 0 || report->running > 0 ||
                       report->connections > 0 || report->held_slots > 0 ||
                       report->held_connections > 0 ||
                       report->held_guaranteed_slots > 0 ||
                       report->held_guaranteed_connections > 0;
        if (!is_used &&
            holder->upstreams[i].changed_in <= holder->acked_sequence) {
            free(report->upstream);
            continue;
        }
        holder->upstreams[kept++] = holder->upstreams[i];
    }
    holder->upstreams_count = kept;
}

// Puts the quotas of a renewal result in force. The result of a complete
// renewal lists all of them.
void
leaseholder_set_quotas(struct leaseholder *holder,
                       const struct ck_renew_result *result, bool is_complete)
{
    static const struct ck_quota none;

    holder->changed_quotas_count = 0;
    for (size_t i = 0; i < holder->upstreams_count; i++) {
        holder->upstreams[i].is_listed = false;
    }
    for (u_int i = 0; i < result->quotas.quotas_len; i++) {
        const struct ck_quota *quota = &result->quotas.quotas_val[i];
        struct leaseholder_upstream *upstream =
            leaseholder_find_or_add_upstream(holder, quota->upstream);
        upstream->is_listed = true;
        leaseholder_set_quota(holder, upstream, quota);
    }
    for (size_t i = 0; is_complete && i < holder->upstreams_count; i++) {
        if (!holder->upstreams[i].is_listed) {
            leaseholder_set_quota(holder, &holder->upstreams[i], &none);
        }
    }
}

// Reduces the quotas to the guaranteed shares, which are valid without a
// lease. keeps_changes: behind those that have changed already.
void
leaseholder_reset_quotas(struct leaseholder *holder, bool keeps_changes)
{
    holder->changed_quotas_count =
        keeps_changes ? holder->changed_quotas_count : 0;
    for (size_t i = 0; i < holder->upstreams_count; i++) {
        struct leaseholder_upstream *upstream = &holder->upstreams[i];
        const struct ck_demand *report = &upstream->report;
        const struct ck_quota guaranteed = {
            .slots = report->held_guaranteed_slots,
            .connections = report->held_guaranteed_connections,
            .guaranteed_slots = report->held_guaranteed_slots,
            .guaranteed_connections = report->held_guaranteed_connections};
        leaseholder_set_quota(holder, upstream, &guaranteed);
    }
}

// Lists the reports for the next call: all, if the leader has none of them,
// else those that have changed since the last call that it has answered.
static void
leaseholder_list_demands(struct leaseholder *holder)
{
    size_t count = 0;

    holder->sent_demands =
        xrealloc(holder->sent_demands,
                 (holder->upstreams_count + 1) * sizeof(struct ck_demand));
    for (size_t i = 0; i < holder->upstreams_count; i++) {
        struct leaseholder_upstream *upstream = &holder->upstreams[i];
        if (upstream->changed_in == LEASEHOLDER_NOT_SENT) {
            upstream->changed_in = holder->sequence;
        }
        if (upstream->changed_in > holder->acked_sequence) {
            holder->sent_demands[count++] = upstream->report;
        }
    }
    holder->args.demands.demands_val = holder->sent_demands;
    holder->args.demands.demands_len = (u_int)count;
}

// Has the next call report everything, as the leader has no earlier reports.
void
leaseholder_report_all(struct leaseholder *holder)
{
    holder->reported_term = 0;
    holder->acked_sequence = 0;
}

// Records that the leader has the reports of the last call.
void
leaseholder_acknowledge_reports(struct leaseholder *holder,
                                uint64_t leader_term)
{
    holder->reported_term = leader_term;
    holder->acked_sequence = holder->sequence;
    leaseholder_drop_unused_upstreams(holder);
}

// Fills the daemon record of the next call. A call that continues earlier
// reports names the daemon only.
static void
leaseholder_fill_daemon(const struct leaseholder *holder,
                        struct ck_daemon *daemon)
{
    static char none[] = "";

    *daemon = holder->params.daemon;
    if (holder->reported_term != 0) {
        daemon->failure_domain = none;
        daemon->host = none;
        daemon->port = 0;
        daemon->roles = 0;
    }
}

// Fills the arguments of the next renewal call. The arguments refer to memory
// of the leaseholder.
void
leaseholder_fill_args(struct leaseholder *holder, int64_t now_us)
{
    struct ck_renew_args *args = &holder->args;

    leaseholder_drop_old_suspicions(holder, now_us);
    leaseholder_list_demands(holder);
    size_t count = holder->suspicions_count;
    holder->sent_suspicions =
        xrealloc(holder->sent_suspicions, count * sizeof(struct ck_suspicion));
    for (size_t i = 0; i < count; i++) {
        holder->sent_suspicions[i] = holder->suspicions[i].suspicion;
    }
    args->group = (char *)(uintptr_t)holder->params.group;
    leaseholder_fill_daemon(holder, &args->daemon);
    args->sequence = holder->sequence;
    args->known_revision = holder->revision;
    args->open_requests = holder->open_requests;
    args->reported_term = holder->reported_term;
    args->suspicions.suspicions_val = holder->sent_suspicions;
    args->suspicions.suspicions_len = (u_int)count;
    args->confirmed.confirmed_val = holder->confirmed;
    args->confirmed.confirmed_len = (u_int)holder->confirmed_count;
    args->returned = holder->is_returning;
}

void
leaseholder_free_reports(struct leaseholder *holder)
{
    for (size_t i = 0; i < holder->upstreams_count; i++) {
        free(holder->upstreams[i].report.upstream);
    }
    for (size_t i = 0; i < holder->suspicions_count; i++) {
        leaseholder_free_suspicion(&holder->suspicions[i]);
    }
    for (size_t i = 0; i < holder->confirmed_count; i++) {
        free(holder->confirmed[i].database);
    }
    free(holder->upstreams);
    free(holder->changed_quotas);
    free(holder->sent_demands);
    free(holder->suspicions);
    free(holder->sent_suspicions);
    free(holder->confirmed);
}
