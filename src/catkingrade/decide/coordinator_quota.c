#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/coordinator_private.h"
#include "catkingrade/decide/quota_plan.h"
#include "catkingrade/kernel/memory.h"

// An entry that lacks connections renews again after this time, and after this
// for each entry that there is.
#define COORDINATOR_EARLY_RENEWAL_MIN_US        60000
#define COORDINATOR_EARLY_RENEWAL_PER_HOLDER_US 5000
// One part in this many of an upstream's connections is lent.
#define COORDINATOR_QUOTA_CONNECTIONS_DIVISOR 2

// What one entry may use of an upstream.
struct coordinator_share {
    struct coordinator_holder *holder;
    uint64_t incarnation;
    uint64_t sequence; // of its newest renewal
    bool known;        // has renewed with this leader
    unsigned unserved;
    struct ck_demand demand; // without a name
    struct ck_quota held;    // the most of each, also by a lost answer
    struct ck_quota ghost;   // of the incarnation before
};

struct coordinator_quota {
    struct coordinator_quota *next;
    char *name;
    struct coordinator_share *shares;
    size_t shares_count;
    size_t holders_count; // of the leader when all entries were added
};

static u_int
coordinator_max(u_int left, u_int right)
{
    return left > right ? left : right;
}

static struct coordinator_quota *
coordinator_get_or_add_quota(struct leader *leader, const char *name)
{
    struct coordinator_quota *quota =
        group_index_get(leader->index, COORDINATOR_KEY_QUOTA, name);

    if (quota == NULL) {
        quota = xcalloc(1, sizeof(*quota));
        quota->name = xstrdup(name);
        quota->next = leader->quotas;
        leader->quotas = quota;
        group_index_put(leader->index, COORDINATOR_KEY_QUOTA, name, quota);
    }
    return quota;
}

// Frees all that is known of quotas.
void
coordinator_free_quotas(struct leader *leader)
{
    while (leader->quotas != NULL) {
        struct coordinator_quota *quota = leader->quotas;
        leader->quotas = quota->next;
        free(quota->shares);
        free(quota->name);
        free(quota);
    }
}

// Returns the share of an entry, which may be new. Shares stand in the order
// of VM names: what integer division leaves over is given in that order, and
// every leader has to come to the same guaranteed shares.
static struct coordinator_share *
coordinator_get_or_add_share(struct coordinator_quota *quota,
                             struct coordinator_holder *holder)
{
    size_t place = 0;
    size_t end = quota->shares_count;
    size_t count = quota->shares_count;
    const char *vm = holder->daemon.vm;

    while (place < end) {
        size_t middle = place + (end - place) / 2;
        if (strcmp(quota->shares[middle].holder->daemon.vm, vm) < 0) {
            place = middle + 1;
        }
        else {
            end = middle;
        }
    }
    if (place < count && quota->shares[place].holder == holder) {
        return &quota->shares[place];
    }
    quota->shares =
        xrealloc(quota->shares, (count + 1) * sizeof(*quota->shares));
    struct coordinator_share *share = &quota->shares[place];
    memmove(share + 1, share, (count - place) * sizeof(*share));
    memset(share, 0, sizeof(*share));
    share->holder = holder;
    share->incarnation = holder->daemon.incarnation;
    quota->shares_count = count + 1;
    return share;
}

// Has every entry take part, so that each gets its guaranteed share.
static void
coordinator_add_shares(struct leader *leader, struct coordinator_quota *quota)
{
    if (quota->holders_count == leader->holders_count) {
        return;
    }
    for (struct coordinator_holder *holder = leader->holders; holder != NULL;
         holder = holder->next) {
        if (coordinator_is_entry(holder)) {
            (void)coordinator_get_or_add_share(quota, holder);
        }
    }
    quota->holders_count = leader->holders_count;
}

// Takes what an entry says of itself. What it held when it asked is all that
// it can hold now: it ignores answers to earlier requests.
static void
coordinator_update_share(const struct leader *leader,
                         struct coordinator_share *share,
                         const struct ck_renew_args *args,
                         const struct ck_demand *demand)
{
    static const struct ck_demand none;

    if (share->incarnation != args->daemon.incarnation) {
        bool added = share->holder->previous_until_us > leader->now_us;
        share->ghost.slots =
            share->held.slots + (added ? share->ghost.slots : 0);
        share->ghost.connections =
            share->held.connections + (added ? share->ghost.connections : 0);
        memset(&share->held, 0, sizeof(share->held));
        share->incarnation = args->daemon.incarnation;
        share->sequence = 0;
    }
    if (args->sequence < share->sequence) {
        return;
    }
    bool repeated = share->known && args->sequence == share->sequence;
    share->known = true;
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

// Fills what quota_plan_compute has to know of a share; guaranteed is its part
// of the guaranteed shares, all that it may use when its lease was of a leader
// before.
static void
coordinator_fill_usage(const struct leader *leader,
                       const struct coordinator_share *share,
                       const struct quota_plan_share *guaranteed,
                       struct quota_plan_entry *entry)
{
    const struct coordinator_holder *holder = share->holder;
    bool live = coordinator_is_live(leader, holder);

    entry->unserved = share->unserved;
    entry->slots.demand = share->demand.waiting + share->demand.running;
    entry->connections.demand = share->demand.connections;
    if (!share->known) {
        entry->slots.held = guaranteed->guaranteed_slots;
        entry->connections.held = guaranteed->guaranteed_connections;
        return;
    }
    entry->slots.held =
        live ? share->held.slots : share->held.guaranteed_slots;
    entry->connections.held =
        live ? share->held.connections : share->held.guaranteed_connections;
}

// Fills what the incarnation before may still use; it is to get nothing.
static void
coordinator_fill_previous_usage(const struct leader *leader,
                                const struct coordinator_share *share,
                                struct quota_plan_entry *entry)
{
    if (share->holder->previous_until_us > leader->now_us) {
        entry->slots.held = share->ghost.slots;
        entry->connections.held = share->ghost.connections;
    }
}

// Returns the connections that entries may use. The rest is kept free: for the
// group's own probes and promotions, and for entries that come back after a
// power loss. An upstream counts connections of those that are gone until it
// notices, and with all of them in use nobody could connect before.
uint32_t
coordinator_get_quota_connections(const struct ck_upstream *upstream)
{
    uint32_t lendable =
        upstream->connections / COORDINATOR_QUOTA_CONNECTIONS_DIVISOR;

    return lendable > 0 ? lendable : upstream->connections;
}

// Returns whether an entry may be lent connections of an upstream: it is
// registered, and its statements of the database are not run by others.
static bool
coordinator_is_quota_eligible(struct leader *leader,
                              const struct ck_database *database,
                              const struct coordinator_holder *holder)
{
    return group_find_daemon(leader->group, holder->daemon.vm) != NULL &&
           (database == NULL ||
            coordinator_is_relay(leader, database, holder));
}

// The entries that count in the plan of one upstream.
struct coordinator_plan {
    struct coordinator_share **rows;
    struct quota_plan_entry *entries; // of rows, then of incarnations before
    struct quota_plan_share *shares;
    size_t count;
    bool is_frozen; // it is not known what some entry holds
};

static bool
coordinator_is_share_empty(const struct coordinator_share *share)
{
    return share->held.slots == 0 && share->held.connections == 0 &&
           share->held.guaranteed_slots == 0 &&
           share->held.guaranteed_connections == 0;
}

// Lists the entries that are to have something, or may still hold something.
// All others would only make planning slow: of many entries few count.
static void
coordinator_list_plan_rows(struct leader *leader,
                           const struct ck_database *database,
                           const struct coordinator_quota *quota,
                           const struct ck_upstream *upstream,
                           struct coordinator_plan *plan)
{
    for (size_t i = 0; i < quota->shares_count; i++) {
        struct coordinator_share *share = &quota->shares[i];
        const struct ck_daemon *daemon = &share->holder->daemon;
        bool part =
            coordinator_is_quota_eligible(leader, database, share->holder);
        bool ghost = share->holder->previous_until_us > leader->now_us;
        plan->is_frozen |=
            !share->known && coordinator_is_live(leader, share->holder);
        if (!part && coordinator_is_share_empty(share) && !ghost) {
            continue;
        }
        plan->entries[plan->count].near =
            strcmp(upstream->failure_domain, daemon->failure_domain) == 0;
        plan->entries[plan->count].weight = part ? 1 : 0;
        plan->rows[plan->count++] = share;
    }
}

// Plans the guaranteed shares, which follow from who takes part alone, if an
// entry that has not renewed with this leader may use its own.
static void
coordinator_plan_guaranteed(const struct ck_upstream *upstream,
                            struct coordinator_plan *plan)
{
    for (size_t i = 0; i < plan->count; i++) {
        if (!plan->rows[i]->known) {
            quota_plan_compute(upstream->slots,
                               coordinator_get_quota_connections(upstream),
                               plan->entries, plan->count, plan->shares);
            return;
        }
    }
}

// Plans an upstream and sets what one entry is lent now.
static void
coordinator_plan_quota(struct leader *leader,
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

    coordinator_list_plan_rows(leader, database, quota, upstream, &plan);
    coordinator_plan_guaranteed(upstream, &plan);
    for (size_t i = 0; i < plan.count; i++) {
        coordinator_fill_usage(leader, plan.rows[i], &plan.shares[i],
                               &plan.entries[i]);
        coordinator_fill_previous_usage(leader, plan.rows[i],
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
        // Nobody gets more before all that was lent is known again.
        *out = own->held;
    }
    out->upstream = quota->name;
    free(plan.rows);
    free(plan.entries);
    free(plan.shares);
}

// Sets what an entry is lent of an upstream. Returns false when it has nothing
// and is to have nothing.
static bool
coordinator_allocate_quota(struct leader *leader,
                           struct coordinator_holder *holder,
                           const struct ck_database *database,
                           const struct ck_upstream *upstream,
                           const struct ck_renew_args *args,
                           const struct ck_demand *demand,
                           struct ck_quota *out)
{
    struct coordinator_quota *quota =
        coordinator_get_or_add_quota(leader, upstream->name);

    if (coordinator_allocates_all(leader)) {
        coordinator_add_shares(leader, quota);
    }
    struct coordinator_share *own =
        coordinator_get_or_add_share(quota, holder);
    coordinator_update_share(leader, own, args, demand);
    if (coordinator_is_share_empty(own) &&
        !coordinator_is_quota_eligible(leader, database, holder)) {
        return false;
    }
    coordinator_plan_quota(leader, database, quota, upstream, own, out);
    own->held.slots = coordinator_max(own->held.slots, out->slots);
    own->held.connections =
        coordinator_max(own->held.connections, out->connections);
    own->held.guaranteed_slots =
        coordinator_max(own->held.guaranteed_slots, out->guaranteed_slots);
    own->held.guaranteed_connections = coordinator_max(
        own->held.guaranteed_connections, out->guaranteed_connections);
    return true;
}

struct coordinator_allocation {
    struct leader *leader;
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
coordinator_append_quota(struct coordinator_allocation *lending,
                         const struct ck_database *database,
                         const struct ck_upstream *upstream,
                         const struct ck_demand *demand)
{
    if (upstream == NULL || upstream->state == CK_UPSTREAM_LOST) {
        return;
    }
    if (lending->count == lending->capacity) {
        lending->capacity = lending->capacity * 2 + 16;
        lending->quotas = xrealloc(
            lending->quotas, lending->capacity * sizeof(*lending->quotas));
    }
    struct ck_quota *out = &lending->quotas[lending->count];
    memset(out, 0, sizeof(*out));
    if (coordinator_allocate_quota(lending->leader, lending->holder, database,
                                   upstream, lending->args, demand, out)) {
        lending->count++;
    }
}

static bool
coordinator_append_database_quotas(void *data,
                                   const struct ck_database *database)
{
    struct coordinator_allocation *lending = data;

    for (u_int i = 0; i < database->upstreams.upstreams_len; i++) {
        const struct ck_upstream *upstream =
            &database->upstreams.upstreams_val[i];
        coordinator_append_quota(
            lending, database, upstream,
            coordinator_find_demand(lending->args, upstream->name));
    }
    return true;
}

// Returns whether entries get a share of every upstream, also of those for
// which they report no demand.
bool
coordinator_allocates_all(const struct leader *leader)
{
    size_t most = leader->params.relay_min_connections == 0
                      ? COORDINATOR_ALLOCATE_ALL_MAX_DATABASES
                      : COORDINATOR_ALLOCATE_ALL_MAX_RELAYED;

    return group_get_databases_count(leader->group) <= most;
}

// Returns when an entry that lacks connections is to renew again: soon, but
// not so soon that this leader is busy with renewals alone.
static uint64_t
coordinator_get_early_renewal_us(const struct leader *leader)
{
    uint64_t early_renewal_us =
        leader->holders_count * COORDINATOR_EARLY_RENEWAL_PER_HOLDER_US;

    return early_renewal_us > COORDINATOR_EARLY_RENEWAL_MIN_US
               ? early_renewal_us
               : COORDINATOR_EARLY_RENEWAL_MIN_US;
}

// Fills the quotas of an answer to a renewal. The sum of what entries may use
// of an upstream never exceeds its limits, also while answers are lost, after
// a change of leader and while an entry is cut off.
void
coordinator_fill_quotas(struct leader *leader,
                        struct coordinator_holder *holder,
                        const struct ck_renew_args *args,
                        struct ck_renew_result *result)
{
    struct coordinator_allocation lending = {
        .leader = leader, .holder = holder, .args = args};

    if (!coordinator_is_entry(holder)) {
        return;
    }
    if (coordinator_allocates_all(leader)) {
        group_visit_databases(leader->group,
                              coordinator_append_database_quotas, &lending);
    }
    else {
        for (u_int i = 0; i < args->demands.demands_len; i++) {
            const struct ck_demand *demand = &args->demands.demands_val[i];
            coordinator_append_quota(
                &lending, NULL,
                group_find_upstream(leader->group, demand->upstream), demand);
        }
    }
    for (size_t i = 0; i < lending.count; i++) {
        if (lending.quotas[i].connections == 0) {
            result->hasten_us = coordinator_get_early_renewal_us(leader);
        }
    }
    result->quotas.quotas_val =
        coordinator_actions_own(leader->actions, lending.quotas);
    result->quotas.quotas_len = (u_int)lending.count;
}
