// Reports that an entry sends with each renewal call (suspicions, demands,
// confirmed revocations), and the quotas in force at the entry.

#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/leaseholder/leaseholder_private.h"
#include "catkingrade/kernel/memory.h"

// A suspicion not repeated within this many renewal intervals is dropped.
#define LEASEHOLDER_SUSPICION_LIFETIME_RENEWALS 3
#define LEASEHOLDER_MAX_SUSPICIONS              512
#define LEASEHOLDER_MAX_CONFIRMED               16384

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

// Returns the demand record of an upstream, adding an empty one if needed.
static struct ck_demand *
leaseholder_find_or_add_demand(struct leaseholder *holder,
                               const char *upstream)
{
    size_t index = 0;

    while (index < holder->demands_count &&
           strcmp(holder->demands[index].upstream, upstream) != 0) {
        index++;
    }
    if (index == holder->demands_count) {
        holder->demands_count++;
        holder->demands = xrealloc(
            holder->demands, holder->demands_count * sizeof(*holder->demands));
        memset(&holder->demands[index], 0, sizeof(*holder->demands));
        holder->demands[index].upstream = xstrdup(upstream);
    }
    return &holder->demands[index];
}

// Sets the demand for an upstream that the next renewal call reports.
void
leaseholder_set_demand(struct leaseholder *holder,
                       const struct ck_demand *demand)
{
    struct ck_demand *stored =
        leaseholder_find_or_add_demand(holder, demand->upstream);

    stored->waiting = demand->waiting;
    stored->running = demand->running;
    stored->connections = demand->connections;
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

static void
leaseholder_free_quotas(struct leaseholder *holder)
{
    for (size_t i = 0; i < holder->quotas_count; i++) {
        free(holder->quotas[i].upstream);
    }
    free(holder->quotas);
    holder->quotas = NULL;
    holder->quotas_count = 0;
}

// Replaces the quotas in force by those of a renewal result.
void
leaseholder_set_quotas(struct leaseholder *holder,
                       const struct ck_renew_result *result)
{
    leaseholder_free_quotas(holder);
    holder->quotas_count = result->quotas.quotas_len;
    holder->quotas = xcalloc(holder->quotas_count, sizeof(struct ck_quota));
    for (size_t i = 0; i < holder->quotas_count; i++) {
        holder->quotas[i] = result->quotas.quotas_val[i];
        holder->quotas[i].upstream =
            xstrdup(result->quotas.quotas_val[i].upstream);
    }
}

// Reduces the quotas to the guaranteed shares, which are valid without a
// lease.
void
leaseholder_reset_quotas(struct leaseholder *holder)
{
    for (size_t i = 0; i < holder->quotas_count; i++) {
        struct ck_quota *quota = &holder->quotas[i];
        quota->slots = quota->guaranteed_slots;
        quota->connections = quota->guaranteed_connections;
    }
}

// Copies the quotas in force into the demand records, adding a record for each
// upstream that has a quota but no demand.
static void
leaseholder_fill_held_quotas(struct leaseholder *holder)
{
    for (size_t i = 0; i < holder->demands_count; i++) {
        struct ck_demand *demand = &holder->demands[i];
        demand->held_slots = 0;
        demand->held_connections = 0;
        demand->held_guaranteed_slots = 0;
        demand->held_guaranteed_connections = 0;
    }
    for (size_t i = 0; i < holder->quotas_count; i++) {
        const struct ck_quota *quota = &holder->quotas[i];
        struct ck_demand *demand =
            leaseholder_find_or_add_demand(holder, quota->upstream);
        demand->held_slots = quota->slots;
        demand->held_connections = quota->connections;
        demand->held_guaranteed_slots = quota->guaranteed_slots;
        demand->held_guaranteed_connections = quota->guaranteed_connections;
    }
}

// Fills the arguments of the next renewal call. The arguments refer to memory
// of the leaseholder.
void
leaseholder_fill_args(struct leaseholder *holder, int64_t now_us)
{
    struct ck_renew_args *args = &holder->args;

    leaseholder_drop_old_suspicions(holder, now_us);
    leaseholder_fill_held_quotas(holder);
    size_t count = holder->suspicions_count;
    holder->sent_suspicions =
        xrealloc(holder->sent_suspicions, count * sizeof(struct ck_suspicion));
    for (size_t i = 0; i < count; i++) {
        holder->sent_suspicions[i] = holder->suspicions[i].suspicion;
    }
    args->group = (char *)(uintptr_t)holder->params.group;
    args->daemon = holder->params.daemon;
    args->sequence = holder->sequence;
    args->known_revision = holder->revision;
    args->open_requests = holder->open_requests;
    args->demands.demands_val = holder->demands;
    args->demands.demands_len = (u_int)holder->demands_count;
    args->suspicions.suspicions_val = holder->sent_suspicions;
    args->suspicions.suspicions_len = (u_int)count;
    args->confirmed.confirmed_val = holder->confirmed;
    args->confirmed.confirmed_len = (u_int)holder->confirmed_count;
    args->returned = holder->is_returning;
}

void
leaseholder_free_reports(struct leaseholder *holder)
{
    for (size_t i = 0; i < holder->demands_count; i++) {
        free(holder->demands[i].upstream);
    }
    for (size_t i = 0; i < holder->suspicions_count; i++) {
        leaseholder_free_suspicion(&holder->suspicions[i]);
    }
    for (size_t i = 0; i < holder->confirmed_count; i++) {
        free(holder->confirmed[i].database);
    }
    leaseholder_free_quotas(holder);
    free(holder->demands);
    free(holder->suspicions);
    free(holder->sent_suspicions);
    free(holder->confirmed);
}
