// Quotas: how many slots and connections of each upstream an entry may use.
// Each renewal reports what has changed of the entry's demand, and its reply
// contains the quotas that change.
//
// An upstream is planned when a demand, a member or a limit has changed, for
// all its entries at once, and not at each renewal: the cost of a renewal that
// changes nothing does not grow with the number of entries and databases.

#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/coordinator/coordinator_private.h"
#include "catkingrade/decide/coordinator/quota_plan.h"
#include "catkingrade/kernel/memory.h"

// An entry without a quota of connections to an upstream renews early: after
// PER_HOLDER_US times the number of known holders, but not before MIN_US.
#define COORDINATOR_EARLY_RENEWAL_MIN_US        60000
#define COORDINATOR_EARLY_RENEWAL_PER_HOLDER_US 5000
// Quotas are allocated from an upstream's connections divided by this.
#define COORDINATOR_QUOTA_CONNECTIONS_DIVISOR 2
// An upstream is planned again after this time multiplied by the number of
// upstreams at the earliest, which bounds the time spent on plans.
#define COORDINATOR_PLAN_INTERVAL_PER_UPSTREAM_US 200
// An upstream whose entries' demands vary within their quotas is planned again
// after this time.
#define COORDINATOR_PLAN_MAX_AGE_US 2000000

// Fills the demand and the held quota of an entry for quota_plan_compute.
// guaranteed is the entry's guaranteed share: the upper bound of its use if
// its lease was granted by a previous leader.
static void
coordinator_fill_usage(const struct coordinator *coordinator,
                       const struct coordinator_share *share,
                       const struct quota_plan_share *guaranteed,
                       struct quota_plan_entry *entry)
{
    const struct coordinator_holder *holder = share->holder;
    bool live = coordinator_has_quota(coordinator, holder);

    entry->unserved = share->unserved;
    entry->slots.demand = share->slots_demand;
    entry->connections.demand = share->connections_demand;
    if (!holder->has_renewed) {
        entry->slots.held = guaranteed->guaranteed_slots;
        entry->connections.held = guaranteed->guaranteed_connections;
        return;
    }
    entry->slots.held =
        live ? share->held.slots : share->held.guaranteed_slots;
    entry->connections.held =
        live ? share->held.connections : share->held.guaranteed_connections;
}

// Fills the quotas that earlier incarnations of an entry may still use. It
// has no demand and gets no new quota.
static void
coordinator_fill_previous_usage(const struct coordinator *coordinator,
                                const struct coordinator_share *share,
                                struct quota_plan_entry *entry)
{
    for (size_t i = 0; i < share->previous_count; i++) {
        const struct coordinator_previous_quota *previous =
            &share->previous[i];
        bool ended = previous->until_us <= coordinator->now_us;
        entry->slots.held += ended ? 0 : previous->slots;
        entry->connections.held += ended ? 0 : previous->connections;
    }
}

// Returns whether an entry has renewed, but got no connection to an upstream
// yet: after a restart, quotas of its earlier incarnation are still in use.
// Not known before the quotas of all entries are.
bool
coordinator_awaits_connections(const struct coordinator *coordinator,
                               const char *upstream,
                               const struct coordinator_holder *holder)
{
    const struct coordinator_quota *quota =
        coordinator_find_quota(coordinator, upstream);

    if (quota == NULL || !coordinator->quotas_known) {
        return false;
    }
    const struct coordinator_share *share =
        coordinator_find_share(quota, holder);
    return share != NULL && holder->has_renewed &&
           share->held.connections == 0;
}

// Returns the number of an upstream's connections from which quotas are
// allocated. The other connections stay free for the coordinator's own probes
// and promotions, and for entries that restart after a power loss: an upstream
// counts the connections of dead entries until it detects the loss, and if all
// were in use, no entry could connect before that.
uint32_t
coordinator_get_quota_connections(const struct ck_upstream *upstream)
{
    uint32_t connections =
        upstream->connections / COORDINATOR_QUOTA_CONNECTIONS_DIVISOR;

    return connections > 0 ? connections : upstream->connections;
}

// Returns whether an entry may get a quota: it holds connections to the
// database and is registered.
static bool
coordinator_is_eligible(const struct coordinator_share *share)
{
    return share->is_member && share->holder->is_registered;
}

// The allocation of one upstream in progress.
struct coordinator_plan {
    struct coordinator_share **rows;
    // The entries of rows, followed by their previous incarnations.
    struct quota_plan_entry *entries;
    struct quota_plan_share *shares;
    size_t count;
};

static bool
coordinator_is_share_empty(const struct coordinator_share *share)
{
    return share->held.slots == 0 && share->held.connections == 0 &&
           share->held.guaranteed_slots == 0 &&
           share->held.guaranteed_connections == 0;
}

// Lists the entries that get a quota or may still use one.
static void
coordinator_list_plan_rows(const struct coordinator *coordinator,
                           const struct coordinator_quota *quota,
                           const struct ck_upstream *upstream,
                           struct coordinator_plan *plan)
{
    for (size_t i = 0; i < quota->shares_count; i++) {
        struct coordinator_share *share = quota->shares[i];
        const struct ck_daemon *daemon = &share->holder->daemon;
        bool eligible = coordinator_is_eligible(share);
        bool previous =
            coordinator_has_previous_quota(coordinator, share->holder);
        if (!eligible && coordinator_is_share_empty(share) && !previous) {
            memset(&share->planned, 0, sizeof(share->planned));
            continue;
        }
        plan->entries[plan->count].near =
            strcmp(upstream->failure_domain, daemon->failure_domain) == 0;
        plan->entries[plan->count].weight = eligible ? 1 : 0;
        plan->rows[plan->count++] = share;
    }
}

// Computes the guaranteed shares if an entry has not renewed with this
// coordinator: such an entry may still use its guaranteed share. These shares
// depend only on the list of eligible entries.
static void
coordinator_plan_guaranteed(const struct ck_upstream *upstream,
                            struct coordinator_plan *plan)
{
    for (size_t i = 0; i < plan->count; i++) {
        if (!plan->rows[i]->holder->has_renewed) {
            quota_plan_compute(upstream->slots,
                               coordinator_get_quota_connections(upstream),
                               plan->entries, plan->count, plan->shares);
            return;
        }
    }
}

// Returns whether a lease that the last plan of an upstream counts has ended
// since. If not, sets when the first of them may end.
static bool
coordinator_has_lease_ended(const struct coordinator *coordinator,
                            struct coordinator_quota *quota)
{
    quota->outdated_us = INT64_MAX;
    for (size_t i = 0; i < quota->shares_count; i++) {
        const struct coordinator_holder *holder = quota->shares[i]->holder;
        const int64_t ends_us[] = {holder->granted_until_us,
                                   holder->previous_quota_until_us};
        for (size_t j = 0; j < 2; j++) {
            if (ends_us[j] <= quota->planned_us) {
                continue;
            }
            if (ends_us[j] <= coordinator->now_us) {
                return true;
            }
            if (ends_us[j] < quota->outdated_us) {
                quota->outdated_us = ends_us[j];
            }
        }
    }
    return false;
}

// Stores the planned quotas, and when a lease or a quota of an earlier
// incarnation may have ended, which the plan counts.
static void
coordinator_store_plan(const struct coordinator *coordinator,
                       struct coordinator_quota *quota,
                       const struct coordinator_plan *plan)
{
    quota->is_stale = false;
    quota->is_used = false;
    quota->planned_us = coordinator->now_us;
    for (size_t i = 0; i < plan->count; i++) {
        plan->rows[i]->planned = plan->shares[i];
    }
    (void)coordinator_has_lease_ended(coordinator, quota);
}

static void
coordinator_plan_upstream(struct coordinator *coordinator,
                          struct coordinator_quota *quota,
                          const struct ck_upstream *upstream)
{
    size_t capacity = 2 * quota->shares_count;
    struct coordinator_plan plan = {
        .rows = xcalloc(capacity, sizeof(*plan.rows)),
        .entries = xcalloc(capacity, sizeof(*plan.entries)),
        .shares = xcalloc(capacity, sizeof(*plan.shares)),
    };

    coordinator_list_plan_rows(coordinator, quota, upstream, &plan);
    coordinator_plan_guaranteed(upstream, &plan);
    for (size_t i = 0; i < plan.count; i++) {
        coordinator_fill_usage(coordinator, plan.rows[i], &plan.shares[i],
                               &plan.entries[i]);
        coordinator_fill_previous_usage(coordinator, plan.rows[i],
                                        &plan.entries[plan.count + i]);
    }
    quota_plan_compute(upstream->slots,
                       coordinator_get_quota_connections(upstream),
                       plan.entries, 2 * plan.count, plan.shares);
    coordinator_store_plan(coordinator, quota, &plan);
    free(plan.rows);
    free(plan.entries);
    free(plan.shares);
}

// Ends the quotas of an upstream that is gone.
static void
coordinator_plan_removed(const struct coordinator *coordinator,
                         struct coordinator_quota *quota)
{
    quota->is_stale = false;
    quota->is_used = false;
    quota->planned_us = coordinator->now_us;
    quota->outdated_us = INT64_MAX;
    for (size_t i = 0; i < quota->shares_count; i++) {
        memset(&quota->shares[i]->planned, 0,
               sizeof(quota->shares[i]->planned));
    }
}

// Plans an upstream again if an input of its plan has changed and the last
// plan is not recent.
static void
coordinator_update_quota(struct coordinator *coordinator,
                         struct coordinator_quota *quota)
{
    int64_t interval_us = (int64_t)coordinator->quotas_count *
                          COORDINATOR_PLAN_INTERVAL_PER_UPSTREAM_US;
    int64_t age_us = coordinator->now_us - quota->planned_us;
    bool is_stale = quota->is_stale ||
                    (quota->is_used && age_us >= COORDINATOR_PLAN_MAX_AGE_US);

    if (!is_stale && coordinator->now_us >= quota->outdated_us) {
        quota->is_stale = coordinator_has_lease_ended(coordinator, quota);
        is_stale = quota->is_stale;
    }
    if (!is_stale || (quota->planned_us != 0 && age_us < interval_us)) {
        return;
    }
    const struct ck_upstream *upstream =
        group_find_upstream(coordinator->group, quota->name);
    if (upstream == NULL || quota->is_removed) {
        coordinator_plan_removed(coordinator, quota);
        return;
    }
    coordinator_plan_upstream(coordinator, quota, upstream);
}

// Returns after which time an entry without connections renews again. The time
// grows with the number of holders, to limit the coordinator's load by
// renewals.
static uint64_t
coordinator_get_early_renewal_us(const struct coordinator *coordinator)
{
    uint64_t early_renewal_us =
        coordinator->holders_count * COORDINATOR_EARLY_RENEWAL_PER_HOLDER_US;

    return early_renewal_us > COORDINATOR_EARLY_RENEWAL_MIN_US
               ? early_renewal_us
               : COORDINATOR_EARLY_RENEWAL_MIN_US;
}

// The quotas of one renewal reply under construction.
struct coordinator_allocation {
    struct ck_quota *quotas;
    size_t count;
};

static void
coordinator_append_quota(struct coordinator_allocation *allocation, char *name,
                         const struct quota_plan_share *quota)
{
    allocation->quotas[allocation->count++] = (struct ck_quota){
        .upstream = name,
        .slots = quota->slots,
        .connections = quota->connections,
        .guaranteed_slots = quota->guaranteed_slots,
        .guaranteed_connections = quota->guaranteed_connections};
}

static uint32_t
coordinator_max(uint32_t left, uint32_t right)
{
    return left > right ? left : right;
}

// Raises what an entry may use by what a reply gives it.
static void
coordinator_raise_held(struct coordinator_share *share)
{
    struct quota_plan_share *held = &share->held;
    const struct quota_plan_share *planned = &share->planned;

    held->slots = coordinator_max(held->slots, planned->slots);
    held->connections =
        coordinator_max(held->connections, planned->connections);
    held->guaranteed_slots =
        coordinator_max(held->guaranteed_slots, planned->guaranteed_slots);
    held->guaranteed_connections = coordinator_max(
        held->guaranteed_connections, planned->guaranteed_connections);
}

// Counts the renewals in a row that gave an entry with a demand no slot. Its
// priority in the next plan grows with them.
static void
coordinator_count_unserved(struct coordinator_share *share)
{
    if (share->slots_demand == 0 || share->planned.slots > 0) {
        share->unserved = 0;
        return;
    }
    share->unserved++;
    share->quota->is_stale = true;
}

// Returns whether an entry may get connections to an upstream, but has none.
static bool
coordinator_lacks_connections(const struct coordinator_share *share)
{
    const struct coordinator_quota *quota = share->quota;

    return coordinator_is_eligible(share) && !quota->is_lost &&
           !quota->is_removed && share->planned.connections == 0;
}

// Appends an entry's quota of one upstream, if the reply lists all quotas or
// if it differs from what the entry holds. No quota changes until the quotas
// of all entries are known, and none of a lost upstream, which may come back.
static void
coordinator_allocate_share(struct coordinator *coordinator,
                           struct coordinator_share *share, bool is_complete,
                           struct coordinator_allocation *allocation)
{
    if (coordinator->quotas_known && !share->quota->is_lost) {
        coordinator_update_quota(coordinator, share->quota);
        coordinator_count_unserved(share);
    }
    else {
        share->planned = share->reported;
    }
    bool is_listed = is_complete && coordinator_is_eligible(share);
    if (is_listed ||
        !coordinator_is_same_quota(&share->planned, &share->reported)) {
        coordinator_append_quota(allocation, share->quota->name,
                                 &share->planned);
    }
    coordinator_raise_held(share);
    share->holder->awaits_quota =
        share->holder->awaits_quota || coordinator_lacks_connections(share);
}

// Ends the quotas that an entry reports of upstreams which are not known.
static void
coordinator_end_unknown_quotas(const struct coordinator *coordinator,
                               const struct ck_renew_args *args,
                               struct coordinator_allocation *allocation)
{
    static const struct quota_plan_share none;

    for (u_int i = 0; i < args->demands.demands_len; i++) {
        const struct ck_demand *demand = &args->demands.demands_val[i];
        if (coordinator_holds_quota(demand) &&
            coordinator_find_quota(coordinator, demand->upstream) == NULL) {
            coordinator_append_quota(allocation, demand->upstream, &none);
        }
    }
}

// Fills the quotas of a renewal reply. The sum of the quotas that entries may
// use of an upstream never exceeds its limits, even if replies are lost, the
// leader changes or an entry is partitioned.
void
coordinator_fill_quotas(struct coordinator *coordinator,
                        struct coordinator_holder *holder,
                        const struct ck_renew_args *args,
                        struct ck_renew_result *result)
{
    size_t capacity = holder->shares_count + args->demands.demands_len;
    struct coordinator_allocation allocation = {0};

    holder->awaits_quota = false;
    if (!coordinator_is_entry(holder)) {
        return;
    }
    allocation.quotas = coordinator_actions_own(
        coordinator->actions, xcalloc(capacity, sizeof(struct ck_quota)));
    for (size_t i = 0; i < holder->shares_count; i++) {
        coordinator_allocate_share(coordinator, holder->shares[i],
                                   args->reported_term == 0, &allocation);
    }
    coordinator_end_unknown_quotas(coordinator, args, &allocation);
    if (holder->awaits_quota ||
        coordinator_is_relay_choice_pending(coordinator, holder)) {
        coordinator_hasten(result,
                           coordinator_get_early_renewal_us(coordinator));
    }
    result->quotas.quotas_val = allocation.quotas;
    result->quotas.quotas_len = (u_int)allocation.count;
}

// Returns whether the quotas of every entry that may have a lease are known.
// Until then no quota grows.
static bool
coordinator_knows_all_quotas(const struct coordinator *coordinator)
{
    for (const struct coordinator_holder *holder = coordinator->holders;
         holder != NULL; holder = holder->next) {
        if (coordinator_is_entry(holder) && !holder->has_renewed &&
            coordinator_has_quota(coordinator, holder)) {
            return false;
        }
    }
    return true;
}

// Begins to plan quotas if those of all entries are known for the first time.
// Returns whether they are.
bool
coordinator_learn_quotas(struct coordinator *coordinator)
{
    if (coordinator->quotas_known ||
        !coordinator_knows_all_quotas(coordinator)) {
        return false;
    }
    coordinator->quotas_known = true;
    return true;
}

// Notifies the entries that wait for connections, so that they renew at once.
// After a restart of all VMs every caller waits for these entries.
void
coordinator_notify_waiting(struct coordinator *coordinator)
{
    for (struct coordinator_holder *holder = coordinator->holders;
         holder != NULL; holder = holder->next) {
        if (holder->awaits_quota) {
            coordinator_notify(coordinator, holder);
        }
    }
}
