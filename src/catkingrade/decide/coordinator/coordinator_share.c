// Shares: what each entry demands, holds and gets of each upstream. Shares
// exist only where an entry holds connections to an upstream or may get some,
// so that a renewal costs nothing for all other upstreams.

#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/coordinator/coordinator_private.h"
#include "catkingrade/kernel/memory.h"

// Up to this number of databases, every entry gets quotas of every upstream.
// With more databases it gets only those for which it reports a demand, so
// that the replies stay small.
#define COORDINATOR_ALLOCATE_ALL_MAX_DATABASES 64
// The same limit when relays are in use. It is higher, because an entry then
// gets quotas of few databases.
#define COORDINATOR_ALLOCATE_ALL_MAX_RELAYED 1024

static const struct quota_plan_share coordinator_no_quota;

// Returns whether two quotas are equal.
bool
coordinator_is_same_quota(const struct quota_plan_share *left,
                          const struct quota_plan_share *right)
{
    return left->slots == right->slots &&
           left->connections == right->connections &&
           left->guaranteed_slots == right->guaranteed_slots &&
           left->guaranteed_connections == right->guaranteed_connections;
}

static bool
coordinator_is_no_quota(const struct quota_plan_share *quota)
{
    return coordinator_is_same_quota(quota, &coordinator_no_quota);
}

// Returns whether every entry gets quotas of the databases that it connects
// to, and not only of those for which it reports a demand.
bool
coordinator_allocates_all(const struct coordinator *coordinator)
{
    size_t max_databases = coordinator->params.relay_min_connections == 0
                               ? COORDINATOR_ALLOCATE_ALL_MAX_DATABASES
                               : COORDINATOR_ALLOCATE_ALL_MAX_RELAYED;

    return group_get_databases_count(coordinator->group) <= max_databases;
}

// Returns the quota of an upstream, or NULL if it has none.
struct coordinator_quota *
coordinator_find_quota(const struct coordinator *coordinator, const char *name)
{
    return group_index_get(coordinator->index, COORDINATOR_KEY_QUOTA, name);
}

static struct coordinator_quota *
coordinator_get_or_add_quota(struct coordinator *coordinator,
                             struct coordinator_quota_set *set,
                             const char *name)
{
    struct coordinator_quota *quota =
        coordinator_find_quota(coordinator, name);

    if (quota == NULL) {
        quota = xcalloc(1, sizeof(*quota));
        quota->name = xstrdup(name);
        quota->next = set->quotas;
        set->quotas = quota;
        coordinator->quotas_count++;
        group_index_put(coordinator->index, COORDINATOR_KEY_QUOTA, name,
                        quota);
    }
    return quota;
}

// Returns the quotas of a database's upstreams. Adds an empty set if there is
// none.
struct coordinator_quota_set *
coordinator_get_or_add_quota_set(struct coordinator *coordinator,
                                 const char *database)
{
    struct coordinator_quota_set *set = group_index_get(
        coordinator->index, COORDINATOR_KEY_QUOTA_SET, database);

    if (set == NULL) {
        set = xcalloc(1, sizeof(*set));
        set->database = xstrdup(database);
        set->next = coordinator->quota_sets;
        coordinator->quota_sets = set;
        group_index_put(coordinator->index, COORDINATOR_KEY_QUOTA_SET,
                        database, set);
    }
    return set;
}

static void
coordinator_free_share(struct coordinator_share *share)
{
    free(share->previous);
    free(share);
}

static void
coordinator_free_quota(struct coordinator_quota *quota)
{
    for (size_t i = 0; i < quota->shares_count; i++) {
        coordinator_free_share(quota->shares[i]);
    }
    free(quota->shares);
    free(quota->name);
    free(quota);
}

void
coordinator_free_quotas(struct coordinator *coordinator)
{
    while (coordinator->quota_sets != NULL) {
        struct coordinator_quota_set *set = coordinator->quota_sets;
        coordinator->quota_sets = set->next;
        while (set->quotas != NULL) {
            struct coordinator_quota *quota = set->quotas;
            set->quotas = quota->next;
            coordinator_free_quota(quota);
        }
        free(set->database);
        free(set);
    }
    coordinator->quotas_count = 0;
}

// Returns the index of a VM's share, or the index at which to add it. Shares
// are sorted by VM, because the remainder of integer division is allocated in
// this order and every leader must compute the same guaranteed shares.
static size_t
coordinator_find_share_index(const struct coordinator_quota *quota,
                             const char *vm)
{
    size_t index = 0;
    size_t end = quota->shares_count;

    while (index < end) {
        size_t middle = index + (end - index) / 2;
        if (strcmp(quota->shares[middle]->holder->daemon.vm, vm) < 0) {
            index = middle + 1;
        }
        else {
            end = middle;
        }
    }
    return index;
}

// Returns the share of an entry in an upstream, or NULL if it has none.
struct coordinator_share *
coordinator_find_share(const struct coordinator_quota *quota,
                       const struct coordinator_holder *holder)
{
    size_t index = coordinator_find_share_index(quota, holder->daemon.vm);

    return index < quota->shares_count &&
                   quota->shares[index]->holder == holder
               ? quota->shares[index]
               : NULL;
}

// Returns the share of an entry in an upstream. Adds an empty one if there is
// none.
static struct coordinator_share *
coordinator_get_or_add_share(struct coordinator_quota *quota,
                             struct coordinator_holder *holder)
{
    size_t index = coordinator_find_share_index(quota, holder->daemon.vm);
    size_t count = quota->shares_count;

    if (index < count && quota->shares[index]->holder == holder) {
        return quota->shares[index];
    }
    struct coordinator_share *share = xcalloc(1, sizeof(*share));
    share->quota = quota;
    share->holder = holder;
    quota->shares =
        xrealloc(quota->shares, (count + 1) * sizeof(*quota->shares));
    memmove(&quota->shares[index + 1], &quota->shares[index],
            (count - index) * sizeof(*quota->shares));
    quota->shares[index] = share;
    quota->shares_count = count + 1;
    holder->shares = xrealloc(holder->shares, (holder->shares_count + 1) *
                                                  sizeof(*holder->shares));
    holder->shares[holder->shares_count++] = share;
    return share;
}

static void
coordinator_remove_holder_share(struct coordinator_holder *holder,
                                const struct coordinator_share *share)
{
    size_t index = 0;

    while (holder->shares[index] != share) {
        index++;
    }
    holder->shares[index] = holder->shares[--holder->shares_count];
}

// Returns whether the entry uses nothing of the upstream and may get nothing.
static bool
coordinator_is_share_unused(const struct coordinator *coordinator,
                            const struct coordinator_share *share)
{
    return !share->is_member && coordinator_is_no_quota(&share->held) &&
           coordinator_is_no_quota(&share->reported) &&
           coordinator_is_no_quota(&share->planned) &&
           !coordinator_has_previous_quota(coordinator, share->holder);
}

// Removes the shares that are not in use any more.
static void
coordinator_remove_unused_shares(const struct coordinator *coordinator,
                                 struct coordinator_quota *quota)
{
    size_t kept = 0;

    for (size_t i = 0; i < quota->shares_count; i++) {
        struct coordinator_share *share = quota->shares[i];
        if (!coordinator_is_share_unused(coordinator, share)) {
            quota->shares[kept++] = share;
            continue;
        }
        coordinator_remove_holder_share(share->holder, share);
        coordinator_free_share(share);
    }
    quota->shares_count = kept;
}

// Lets an entry get quotas of an upstream, in addition to others.
static void
coordinator_add_member(struct coordinator_quota *quota,
                       struct coordinator_holder *holder)
{
    struct coordinator_share *share =
        coordinator_get_or_add_share(quota, holder);

    quota->is_stale = quota->is_stale || !share->is_member;
    share->is_member = true;
}

// Lets exactly these entries get quotas of an upstream.
static void
coordinator_replace_members(struct coordinator_quota *quota,
                            struct coordinator_holder *const *holders,
                            size_t holders_count)
{
    for (size_t i = 0; i < quota->shares_count; i++) {
        quota->shares[i]->is_next_member = false;
    }
    for (size_t i = 0; i < holders_count; i++) {
        coordinator_get_or_add_share(quota, holders[i])->is_next_member = true;
    }
    for (size_t i = 0; i < quota->shares_count; i++) {
        struct coordinator_share *share = quota->shares[i];
        if (share->is_member != share->is_next_member) {
            share->is_member = share->is_next_member;
            quota->is_stale = true;
        }
    }
}

// Lets exactly these entries get quotas of the upstreams of a database.
void
coordinator_set_members(struct coordinator *coordinator, const char *database,
                        struct coordinator_holder *const *holders,
                        size_t holders_count)
{
    struct coordinator_quota_set *set =
        coordinator_get_or_add_quota_set(coordinator, database);

    for (struct coordinator_quota *quota = set->quotas; quota != NULL;
         quota = quota->next) {
        coordinator_replace_members(quota, holders,
                                    quota->is_removed ? 0 : holders_count);
        coordinator_remove_unused_shares(coordinator, quota);
    }
}

// Lets every entry get quotas of an upstream.
static void
coordinator_add_all_members(struct coordinator *coordinator,
                            struct coordinator_quota *quota)
{
    for (struct coordinator_holder *holder = coordinator->holders;
         holder != NULL; holder = holder->next) {
        if (coordinator_is_entry(holder)) {
            coordinator_add_member(quota, holder);
        }
    }
}

// Lets a new entry get quotas of every upstream, where no relays are in use.
void
coordinator_add_holder_shares(struct coordinator *coordinator,
                              struct coordinator_holder *holder)
{
    if (coordinator->params.relay_min_connections > 0 ||
        !coordinator_is_entry(holder) ||
        !coordinator_allocates_all(coordinator)) {
        return;
    }
    for (struct coordinator_quota_set *set = coordinator->quota_sets;
         set != NULL; set = set->next) {
        for (struct coordinator_quota *quota = set->quotas; quota != NULL;
             quota = quota->next) {
            if (!quota->is_removed) {
                coordinator_add_member(quota, holder);
            }
        }
    }
}

// Removes the quotas of upstreams that are gone and that no entry uses.
static void
coordinator_remove_unused_quotas(struct coordinator *coordinator,
                                 struct coordinator_quota_set *set)
{
    struct coordinator_quota **link = &set->quotas;

    while (*link != NULL) {
        struct coordinator_quota *quota = *link;
        if (quota->is_removed) {
            coordinator_remove_unused_shares(coordinator, quota);
        }
        if (!quota->is_removed || quota->shares_count > 0) {
            link = &quota->next;
            continue;
        }
        *link = quota->next;
        group_index_remove(coordinator->index, COORDINATOR_KEY_QUOTA,
                           quota->name);
        coordinator->quotas_count--;
        coordinator_free_quota(quota);
    }
}

// Updates the quotas of a database after a change of its upstreams, or after
// its removal. Where relays are in use, the next relay plan sets the members.
void
coordinator_sync_quotas(struct coordinator *coordinator, const char *name)
{
    const struct ck_database *database =
        group_find_database(coordinator->group, name);
    struct coordinator_quota_set *set =
        coordinator_get_or_add_quota_set(coordinator, name);
    bool all = coordinator->params.relay_min_connections == 0 &&
               coordinator_allocates_all(coordinator);

    for (struct coordinator_quota *quota = set->quotas; quota != NULL;
         quota = quota->next) {
        quota->is_removed = true;
        quota->is_stale = true;
    }
    for (u_int i = 0;
         database != NULL && i < database->upstreams.upstreams_len; i++) {
        const struct ck_upstream *upstream =
            &database->upstreams.upstreams_val[i];
        struct coordinator_quota *quota =
            coordinator_get_or_add_quota(coordinator, set, upstream->name);
        quota->is_removed = false;
        quota->is_lost = upstream->state == CK_UPSTREAM_LOST;
        quota->is_stale = true;
        if (all) {
            coordinator_add_all_members(coordinator, quota);
        }
    }
    coordinator_remove_unused_quotas(coordinator, set);
}

// Keeps what the incarnation that has ended may use until its lease has run
// out, and drops what incarnations before it may use no more.
static void
coordinator_keep_previous_quota(const struct coordinator *coordinator,
                                struct coordinator_share *share)
{
    size_t kept = 0;

    for (size_t i = 0; i < share->previous_count; i++) {
        if (share->previous[i].until_us > coordinator->now_us) {
            share->previous[kept++] = share->previous[i];
        }
    }
    share->previous_count = kept;
    if (share->held.slots == 0 && share->held.connections == 0) {
        return;
    }
    share->previous =
        xrealloc(share->previous, (kept + 1) * sizeof(*share->previous));
    share->previous[kept] = (struct coordinator_previous_quota){
        .until_us = share->holder->previous_quota_until_us,
        .slots = share->held.slots,
        .connections = share->held.connections};
    share->previous_count = kept + 1;
}

// Begins the shares of a new incarnation of an entry: it holds and demands
// nothing, and the last incarnation may use its quotas until its lease has run
// out.
void
coordinator_restart_shares(struct coordinator *coordinator,
                           struct coordinator_holder *holder)
{
    holder->has_renewed = false;
    holder->report_sequence = 0;
    holder->relay_state = COORDINATOR_RELAY_STATE_UNKNOWN;
    for (size_t i = 0; i < holder->shares_count; i++) {
        struct coordinator_share *share = holder->shares[i];
        coordinator_keep_previous_quota(coordinator, share);
        share->held = coordinator_no_quota;
        share->reported = coordinator_no_quota;
        share->planned = coordinator_no_quota;
        share->slots_demand = 0;
        share->connections_demand = 0;
        share->unserved = 0;
        share->quota->is_stale = true;
    }
}

// Returns whether an entry demands more of an upstream than it is to get.
static bool
coordinator_is_short(const struct coordinator_share *share)
{
    return share->slots_demand > share->planned.slots ||
           share->connections_demand > share->planned.connections;
}

// Returns whether a report frees a part of what the entry may use.
static bool
coordinator_is_freed(const struct quota_plan_share *held,
                     const struct quota_plan_share *reported)
{
    return reported->slots < held->slots ||
           reported->connections < held->connections ||
           reported->guaranteed_slots < held->guaranteed_slots ||
           reported->guaranteed_connections < held->guaranteed_connections;
}

// Sets what an entry reports of an upstream. The quota that it reports as held
// is all that it can hold: it ignores replies to earlier renewals. The
// upstream is planned again soon if the entry frees a part, reports another
// quota than the planned one, or is short before or after the report. It need
// not be for an entry that has got its quota, or whose demand varies within
// it.
static void
coordinator_set_report(struct coordinator_share *share,
                       const struct ck_demand *demand)
{
    const struct quota_plan_share reported = {
        .slots = demand->held_slots,
        .connections = demand->held_connections,
        .guaranteed_slots = demand->held_guaranteed_slots,
        .guaranteed_connections = demand->held_guaranteed_connections};
    uint32_t slots_demand = demand->waiting + demand->running;
    bool has_new_demand = slots_demand != share->slots_demand ||
                          demand->connections != share->connections_demand;
    bool has_new_quota =
        !coordinator_is_same_quota(&reported, &share->reported);
    bool is_stale =
        (has_new_quota &&
         (coordinator_is_freed(&share->held, &reported) ||
          !coordinator_is_same_quota(&reported, &share->planned))) ||
        (has_new_demand && coordinator_is_short(share));

    share->slots_demand = slots_demand;
    share->connections_demand = demand->connections;
    share->reported = reported;
    is_stale = is_stale || (has_new_demand && coordinator_is_short(share));
    share->quota->is_stale = share->quota->is_stale || is_stale;
    share->quota->is_used = share->quota->is_used || has_new_demand;
}

// Returns the share for a report, or NULL if the upstream is not known or the
// entry neither holds nor may get anything of it.
static struct coordinator_share *
coordinator_get_reported_share(struct coordinator *coordinator,
                               struct coordinator_holder *holder,
                               const struct ck_demand *demand)
{
    struct coordinator_quota *quota =
        coordinator_find_quota(coordinator, demand->upstream);

    if (quota == NULL) {
        return NULL;
    }
    if (!coordinator_allocates_all(coordinator) && !quota->is_removed) {
        coordinator_add_member(quota, holder);
    }
    if (coordinator_holds_quota(demand)) {
        return coordinator_get_or_add_share(quota, holder);
    }
    return coordinator_find_share(quota, holder);
}

// Returns whether an entry holds slots or connections of an upstream.
bool
coordinator_holds_quota(const struct ck_demand *demand)
{
    return demand->held_slots > 0 || demand->held_connections > 0 ||
           demand->held_guaranteed_slots > 0 ||
           demand->held_guaranteed_connections > 0;
}

static void
coordinator_clear_reports(struct coordinator_holder *holder)
{
    static const struct ck_demand none;

    for (size_t i = 0; i < holder->shares_count; i++) {
        coordinator_set_report(holder->shares[i], &none);
    }
}

// Records the reports of a renewal: all, if it is complete, else those that
// have changed. The reports of a renewal that was overtaken by a later one are
// ignored.
void
coordinator_record_reports(struct coordinator *coordinator,
                           struct coordinator_holder *holder,
                           const struct ck_renew_args *args)
{
    if (args->sequence < holder->report_sequence) {
        return;
    }
    bool repeated =
        holder->has_renewed && args->sequence == holder->report_sequence;
    holder->has_renewed = true;
    holder->report_sequence = args->sequence;
    if (args->reported_term == 0) {
        coordinator_clear_reports(holder);
    }
    for (u_int i = 0; i < args->demands.demands_len; i++) {
        const struct ck_demand *demand = &args->demands.demands_val[i];
        struct coordinator_share *share =
            coordinator_get_reported_share(coordinator, holder, demand);
        if (share != NULL) {
            coordinator_set_report(share, demand);
        }
    }
    // Replies to earlier renewals are void now, but not an earlier reply to
    // this one.
    for (size_t i = 0; !repeated && i < holder->shares_count; i++) {
        holder->shares[i]->held = holder->shares[i]->reported;
    }
}
