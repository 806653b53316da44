// Quotas: how many slots and connections of each upstream an entry may use.
// Each renewal reports the entry's demand, and its reply contains the quotas.

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

// What an incarnation that has ended may use until its lease has run out.
struct coordinator_previous_quota {
    int64_t until_us;
    u_int slots;
    u_int connections;
};

// An entry's demand and quota of one upstream.
struct coordinator_share {
    struct coordinator_holder *holder;
    uint64_t incarnation;
    uint64_t sequence;       // of the newest renewal
    bool has_renewed;        // has renewed with this coordinator
    unsigned unserved;       // see struct quota_plan_entry
    struct ck_demand demand; // its name is not used
    // Upper bound of what the entry may use now, even if a reply was lost.
    struct ck_quota held;
    // What incarnations before a restart may still use, oldest first.
    struct coordinator_previous_quota *previous;
    size_t previous_count;
};

// The shares of all entries in one upstream, sorted by VM.
struct coordinator_quota {
    struct coordinator_quota *next;
    char *name;
    struct coordinator_share *shares;
    size_t shares_count;
    size_t holders_count; // coordinator's holders_count when shares were added
};

static u_int
coordinator_max(u_int left, u_int right)
{
    return left > right ? left : right;
}

static struct coordinator_quota *
coordinator_get_or_add_quota(struct coordinator *coordinator, const char *name)
{
    struct coordinator_quota *quota =
        group_index_get(coordinator->index, COORDINATOR_KEY_QUOTA, name);

    if (quota == NULL) {
        quota = xcalloc(1, sizeof(*quota));
        quota->name = xstrdup(name);
        quota->next = coordinator->quotas;
        coordinator->quotas = quota;
        group_index_put(coordinator->index, COORDINATOR_KEY_QUOTA, name,
                        quota);
    }
    return quota;
}

void
coordinator_free_quotas(struct coordinator *coordinator)
{
    while (coordinator->quotas != NULL) {
        struct coordinator_quota *quota = coordinator->quotas;
        coordinator->quotas = quota->next;
        for (size_t i = 0; i < quota->shares_count; i++) {
            free(quota->shares[i].previous);
        }
        free(quota->shares);
        free(quota->name);
        free(quota);
    }
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
        if (strcmp(quota->shares[middle].holder->daemon.vm, vm) < 0) {
            index = middle + 1;
        }
        else {
            end = middle;
        }
    }
    return index;
}

// Returns the share of an entry. Adds an empty one if there is none.
static struct coordinator_share *
coordinator_get_or_add_share(struct coordinator_quota *quota,
                             struct coordinator_holder *holder)
{
    size_t count = quota->shares_count;
    size_t index = coordinator_find_share_index(quota, holder->daemon.vm);

    if (index < count && quota->shares[index].holder == holder) {
        return &quota->shares[index];
    }
    quota->shares =
        xrealloc(quota->shares, (count + 1) * sizeof(*quota->shares));
    struct coordinator_share *share = &quota->shares[index];
    memmove(share + 1, share, (count - index) * sizeof(*share));
    memset(share, 0, sizeof(*share));
    share->holder = holder;
    share->incarnation = holder->daemon.incarnation;
    quota->shares_count = count + 1;
    return share;
}

// Adds a share for every entry, so that each gets its guaranteed share.
static void
coordinator_add_shares(struct coordinator *coordinator,
                       struct coordinator_quota *quota)
{
    if (quota->holders_count == coordinator->holders_count) {
        return;
    }
    for (struct coordinator_holder *holder = coordinator->holders;
         holder != NULL; holder = holder->next) {
        if (coordinator_is_entry(holder)) {
            (void)coordinator_get_or_add_share(quota, holder);
        }
    }
    quota->holders_count = coordinator->holders_count;
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

// Updates a share with the demand that an entry reports. The quota that the
// entry reports as held is all that it can hold: it ignores replies to earlier
// renewals.
static void
coordinator_update_share(const struct coordinator *coordinator,
                         struct coordinator_share *share,
                         const struct ck_renew_args *args,
                         const struct ck_demand *demand)
{
    static const struct ck_demand none;

    if (share->incarnation != args->daemon.incarnation) {
        coordinator_keep_previous_quota(coordinator, share);
        memset(&share->held, 0, sizeof(share->held));
        share->incarnation = args->daemon.incarnation;
        share->sequence = 0;
    }
    if (args->sequence < share->sequence) {
        return;
    }
    bool repeated = share->has_renewed && args->sequence == share->sequence;
    share->has_renewed = true;
    share->sequence = args->sequence;
    share->demand = demand == NULL ? none : *demand;
    if (repeated) {
        return;
    }
    share->held.slots = share->demand.held_slots;
    share->held.connections = share->demand.held_connections;
    share->held.guaranteed_slots = share->demand.held_guaranteed_slots;
    share->held.guaranteed_connections =
        share->demand.held_guaranteed_connections;
}

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
    entry->slots.demand = share->demand.waiting + share->demand.running;
    entry->connections.demand = share->demand.connections;
    if (!share->has_renewed) {
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
        group_index_get(coordinator->index, COORDINATOR_KEY_QUOTA, upstream);

    if (quota == NULL || !coordinator->quotas_known) {
        return false;
    }
    size_t index = coordinator_find_share_index(quota, holder->daemon.vm);
    if (index == quota->shares_count) {
        return false;
    }
    const struct coordinator_share *share = &quota->shares[index];
    return share->holder == holder && share->has_renewed &&
           (share->incarnation != holder->daemon.incarnation ||
            share->held.connections == 0);
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

// Returns whether an entry may get a quota: it is registered, and it does not
// leave its statements of the database to relays. database NULL: relays are
// not considered.
static bool
coordinator_is_quota_eligible(struct coordinator *coordinator,
                              const struct ck_database *database,
                              const struct coordinator_holder *holder)
{
    return group_find_daemon(coordinator->group, holder->daemon.vm) != NULL &&
           (database == NULL ||
            coordinator_is_relay(coordinator, database, holder));
}

// The allocation of one upstream in progress.
struct coordinator_plan {
    struct coordinator_share **rows;
    // The entries of rows, followed by their previous incarnations.
    struct quota_plan_entry *entries;
    struct quota_plan_share *shares;
    size_t count;
    bool is_frozen; // the held quota of a live entry is unknown
};

static bool
coordinator_is_share_empty(const struct coordinator_share *share)
{
    return share->held.slots == 0 && share->held.connections == 0 &&
           share->held.guaranteed_slots == 0 &&
           share->held.guaranteed_connections == 0;
}

// Lists the entries that get a quota or may still use one. Other entries are
// left out to keep planning fast, since most entries may be without a quota.
static void
coordinator_list_plan_rows(struct coordinator *coordinator,
                           const struct ck_database *database,
                           const struct coordinator_quota *quota,
                           const struct ck_upstream *upstream,
                           struct coordinator_plan *plan)
{
    for (size_t i = 0; i < quota->shares_count; i++) {
        struct coordinator_share *share = &quota->shares[i];
        const struct ck_daemon *daemon = &share->holder->daemon;
        bool eligible = coordinator_is_quota_eligible(coordinator, database,
                                                      share->holder);
        bool previous =
            coordinator_has_previous_quota(coordinator, share->holder);
        plan->is_frozen |= !share->has_renewed &&
                           coordinator_has_quota(coordinator, share->holder);
        if (!eligible && coordinator_is_share_empty(share) && !previous) {
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
        if (!plan->rows[i]->has_renewed) {
            quota_plan_compute(upstream->slots,
                               coordinator_get_quota_connections(upstream),
                               plan->entries, plan->count, plan->shares);
            return;
        }
    }
}

// Allocates an upstream and sets the quota of one entry.
static void
coordinator_plan_quota(struct coordinator *coordinator,
                       const struct ck_database *database,
                       struct coordinator_quota *quota,
                       const struct ck_upstream *upstream,
                       struct coordinator_share *own, struct ck_quota *out)
{
    size_t capacity = 2 * quota->shares_count;
    struct coordinator_plan plan = {
        .rows = xcalloc(capacity, sizeof(*plan.rows)),
        .entries = xcalloc(capacity, sizeof(*plan.entries)),
        .shares = xcalloc(capacity, sizeof(*plan.shares)),
    };

    coordinator_list_plan_rows(coordinator, database, quota, upstream, &plan);
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
    for (size_t i = 0; i < plan.count; i++) {
        if (plan.rows[i] == own) {
            own->unserved = plan.entries[i].unserved;
            out->slots = plan.shares[i].slots;
            out->connections = plan.shares[i].connections;
            out->guaranteed_slots = plan.shares[i].guaranteed_slots;
            out->guaranteed_connections =
                plan.shares[i].guaranteed_connections;
        }
    }
    if (plan.is_frozen) {
        // No quota grows until the held quota of every live entry is known.
        *out = own->held;
    }
    out->upstream = quota->name;
    free(plan.rows);
    free(plan.entries);
    free(plan.shares);
}

// Sets the quota of an entry for one upstream. Returns false if the entry
// holds none and is not eligible.
static bool
coordinator_allocate_quota(struct coordinator *coordinator,
                           struct coordinator_holder *holder,
                           const struct ck_database *database,
                           const struct ck_upstream *upstream,
                           const struct ck_renew_args *args,
                           const struct ck_demand *demand,
                           struct ck_quota *out)
{
    struct coordinator_quota *quota =
        coordinator_get_or_add_quota(coordinator, upstream->name);

    if (coordinator_allocates_all(coordinator)) {
        coordinator_add_shares(coordinator, quota);
    }
    struct coordinator_share *own =
        coordinator_get_or_add_share(quota, holder);
    coordinator_update_share(coordinator, own, args, demand);
    if (coordinator_is_share_empty(own) &&
        !coordinator_is_quota_eligible(coordinator, database, holder)) {
        return false;
    }
    coordinator_plan_quota(coordinator, database, quota, upstream, own, out);
    own->held.slots = coordinator_max(own->held.slots, out->slots);
    own->held.connections =
        coordinator_max(own->held.connections, out->connections);
    own->held.guaranteed_slots =
        coordinator_max(own->held.guaranteed_slots, out->guaranteed_slots);
    own->held.guaranteed_connections = coordinator_max(
        own->held.guaranteed_connections, out->guaranteed_connections);
    return true;
}

// The quotas of one renewal reply under construction.
struct coordinator_allocation {
    struct coordinator *coordinator;
    struct coordinator_holder *holder;
    const struct ck_renew_args *args;
    struct ck_quota *quotas;
    size_t count;
    size_t capacity;
};

static const struct ck_demand *
coordinator_find_demand(const struct ck_renew_args *args, const char *upstream)
{
    for (u_int i = 0; i < args->demands.demands_len; i++) {
        if (strcmp(args->demands.demands_val[i].upstream, upstream) == 0) {
            return &args->demands.demands_val[i];
        }
    }
    return NULL;
}

static void
coordinator_append_quota(struct coordinator_allocation *allocation,
                         const struct ck_database *database,
                         const struct ck_upstream *upstream,
                         const struct ck_demand *demand)
{
    if (upstream == NULL || upstream->state == CK_UPSTREAM_LOST) {
        return;
    }
    if (allocation->count == allocation->capacity) {
        allocation->capacity = allocation->capacity * 2 + 16;
        allocation->quotas =
            xrealloc(allocation->quotas,
                     allocation->capacity * sizeof(*allocation->quotas));
    }
    struct ck_quota *out = &allocation->quotas[allocation->count];
    memset(out, 0, sizeof(*out));
    if (coordinator_allocate_quota(allocation->coordinator, allocation->holder,
                                   database, upstream, allocation->args,
                                   demand, out)) {
        allocation->count++;
    }
}

static bool
coordinator_append_database_quotas(void *data,
                                   const struct ck_database *database)
{
    struct coordinator_allocation *allocation = data;

    for (u_int i = 0; i < database->upstreams.upstreams_len; i++) {
        const struct ck_upstream *upstream =
            &database->upstreams.upstreams_val[i];
        coordinator_append_quota(
            allocation, database, upstream,
            coordinator_find_demand(allocation->args, upstream->name));
    }
    return true;
}

// Returns whether renewals allocate quotas of every upstream, and not only of
// those for which the entry reports a demand.
bool
coordinator_allocates_all(const struct coordinator *coordinator)
{
    size_t max_databases = coordinator->params.relay_min_connections == 0
                               ? COORDINATOR_ALLOCATE_ALL_MAX_DATABASES
                               : COORDINATOR_ALLOCATE_ALL_MAX_RELAYED;

    return group_get_databases_count(coordinator->group) <= max_databases;
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

// Fills the quotas of a renewal reply. The sum of the quotas that entries may
// use of an upstream never exceeds its limits, even if replies are lost, the
// leader changes or an entry is partitioned.
void
coordinator_fill_quotas(struct coordinator *coordinator,
                        struct coordinator_holder *holder,
                        const struct ck_renew_args *args,
                        struct ck_renew_result *result)
{
    struct coordinator_allocation allocation = {
        .coordinator = coordinator, .holder = holder, .args = args};

    holder->has_renewed = true;
    holder->awaits_quota = false;
    if (!coordinator_is_entry(holder)) {
        return;
    }
    if (coordinator_allocates_all(coordinator)) {
        group_visit_databases(coordinator->group,
                              coordinator_append_database_quotas, &allocation);
    }
    else {
        for (u_int i = 0; i < args->demands.demands_len; i++) {
            const struct ck_demand *demand = &args->demands.demands_val[i];
            coordinator_append_quota(
                &allocation, NULL,
                group_find_upstream(coordinator->group, demand->upstream),
                demand);
        }
    }
    for (size_t i = 0; i < allocation.count; i++) {
        if (allocation.quotas[i].connections == 0) {
            holder->awaits_quota = true;
            result->hasten_us = coordinator_get_early_renewal_us(coordinator);
        }
    }
    result->quotas.quotas_val =
        coordinator_actions_own(coordinator->actions, allocation.quotas);
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

// Notifies the entries that wait for connections once the quotas of all
// entries are known, so that they renew at once. After a restart of all VMs
// every caller waits for these entries.
void
coordinator_end_quota_wait(struct coordinator *coordinator)
{
    if (coordinator->quotas_known ||
        !coordinator_knows_all_quotas(coordinator)) {
        return;
    }
    coordinator->quotas_known = true;
    for (struct coordinator_holder *holder = coordinator->holders;
         holder != NULL; holder = holder->next) {
        if (holder->awaits_quota) {
            coordinator_notify(coordinator, holder);
        }
    }
}
