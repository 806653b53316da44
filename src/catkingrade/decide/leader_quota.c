#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/leader_private.h"
#include "catkingrade/decide/quota_plan.h"
#include "catkingrade/kernel/memory.h"

// An entry that lacks connections renews again after this time, and after this
// for each entry that there is.
#define LEADER_HASTE_US       60000
#define LEADER_HASTE_ENTRY_US 5000
// One part in this many of an upstream's connections is lent.
#define LEADER_LENDABLE_PART 2

// What one entry may use of an upstream.
struct leader_share {
    struct leader_holder *holder;
    uint64_t incarnation;
    uint64_t sequence; // of its newest renewal
    bool known;        // has renewed with this leader
    unsigned unserved;
    struct ck_demand demand; // without a name
    struct ck_quota held;    // the most of each, also by a lost answer
    struct ck_quota ghost;   // of the incarnation before
};

struct leader_quota {
    struct leader_quota *next;
    char *name;
    struct leader_share *shares;
    size_t shares_count;
    size_t holders_count; // of the leader when all entries were added
};

static u_int
leader_get_max(u_int left, u_int right)
{
    return left > right ? left : right;
}

static struct leader_quota *
leader_get_quota(struct leader *leader, const char *name)
{
    struct leader_quota *quota =
        group_index_get(leader->index, LEADER_QUOTA, name);

    if (quota == NULL) {
        quota = xcalloc(1, sizeof(*quota));
        quota->name = xstrdup(name);
        quota->next = leader->quotas;
        leader->quotas = quota;
        group_index_put(leader->index, LEADER_QUOTA, name, quota);
    }
    return quota;
}

// Frees all that is known of quotas.
void
leader_free_quotas(struct leader *leader)
{
    while (leader->quotas != NULL) {
        struct leader_quota *quota = leader->quotas;
        leader->quotas = quota->next;
        free(quota->shares);
        free(quota->name);
        free(quota);
    }
}

// Returns the share of an entry, which may be new. Shares stand in the order
// of VM names: what integer division leaves over is given in that order, and
// every leader has to come to the same guaranteed shares.
static struct leader_share *
leader_get_share(struct leader_quota *quota, struct leader_holder *holder)
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
    struct leader_share *share = &quota->shares[place];
    memmove(share + 1, share, (count - place) * sizeof(*share));
    memset(share, 0, sizeof(*share));
    share->holder = holder;
    share->incarnation = holder->daemon.incarnation;
    quota->shares_count = count + 1;
    return share;
}

// Has every entry take part, so that each gets its guaranteed share.
static void
leader_add_shares(struct leader *leader, struct leader_quota *quota)
{
    if (quota->holders_count == leader->holders_count) {
        return;
    }
    for (struct leader_holder *holder = leader->holders; holder != NULL;
         holder = holder->next) {
        if (leader_is_entry(holder)) {
            (void)leader_get_share(quota, holder);
        }
    }
    quota->holders_count = leader->holders_count;
}

// Takes what an entry says of itself. What it held when it asked is all that
// it can hold now: it ignores answers to earlier requests.
static void
leader_see_share(const struct leader *leader, struct leader_share *share,
                 const struct ck_renew_args *args,
                 const struct ck_demand *demand)
{
    static const struct ck_demand none;

    if (share->incarnation != args->daemon.incarnation) {
        bool added = share->holder->old_until_us > leader->now_us;
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
leader_fill_use(const struct leader *leader, const struct leader_share *share,
                const struct quota_plan_share *guaranteed,
                struct quota_plan_entry *entry)
{
    const struct leader_holder *holder = share->holder;
    bool live = leader_is_live(leader, holder);

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
leader_fill_ghost(const struct leader *leader,
                  const struct leader_share *share,
                  struct quota_plan_entry *entry)
{
    if (share->holder->old_until_us > leader->now_us) {
        entry->slots.held = share->ghost.slots;
        entry->connections.held = share->ghost.connections;
    }
}

// Returns the connections that entries may use. The rest is kept free: for the
// group's own probes and promotions, and for entries that come back after a
// power loss. An upstream counts connections of those that are gone until it
// notices, and with all of them in use nobody could connect before.
uint32_t
leader_get_lendable(const struct ck_upstream *upstream)
{
    uint32_t lendable = upstream->connections / LEADER_LENDABLE_PART;

    return lendable > 0 ? lendable : upstream->connections;
}

// Returns whether an entry may be lent connections of an upstream: it is
// registered, and its statements of the database are not run by others.
static bool
leader_takes_part(struct leader *leader, const struct ck_database *database,
                  const struct leader_holder *holder)
{
    return group_find_daemon(leader->group, holder->daemon.vm) != NULL &&
           (database == NULL ||
            leader_holds_connections(leader, database, holder));
}

// The entries that count in the plan of one upstream.
struct leader_plan {
    struct leader_share **rows;
    struct quota_plan_entry *entries; // of rows, then of incarnations before
    struct quota_plan_share *shares;
    size_t count;
    bool is_frozen; // it is not known what some entry holds
};

static bool
leader_holds_nothing(const struct leader_share *share)
{
    return share->held.slots == 0 && share->held.connections == 0 &&
           share->held.guaranteed_slots == 0 &&
           share->held.guaranteed_connections == 0;
}

// Lists the entries that are to have something, or may still hold something.
// All others would only make planning slow: of many entries few count.
static void
leader_list_rows(struct leader *leader, const struct ck_database *database,
                 const struct leader_quota *quota,
                 const struct ck_upstream *upstream, struct leader_plan *plan)
{
    for (size_t i = 0; i < quota->shares_count; i++) {
        struct leader_share *share = &quota->shares[i];
        const struct ck_daemon *daemon = &share->holder->daemon;
        bool part = leader_takes_part(leader, database, share->holder);
        bool ghost = share->holder->old_until_us > leader->now_us;
        plan->is_frozen |=
            !share->known && leader_is_live(leader, share->holder);
        if (!part && leader_holds_nothing(share) && !ghost) {
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
leader_plan_guaranteed(const struct ck_upstream *upstream,
                       struct leader_plan *plan)
{
    for (size_t i = 0; i < plan->count; i++) {
        if (!plan->rows[i]->known) {
            quota_plan_compute(upstream->slots, leader_get_lendable(upstream),
                               plan->entries, plan->count, plan->shares);
            return;
        }
    }
}

// Plans an upstream and sets what one entry is lent now.
static void
leader_plan_quota(struct leader *leader, const struct ck_database *database,
                  struct leader_quota *quota,
                  const struct ck_upstream *upstream, struct leader_share *own,
                  struct ck_quota *out)
{
    size_t capacity = 2 * quota->shares_count;
    struct leader_plan plan = {
        .rows = xcalloc(capacity, sizeof(*plan.rows)),
        .entries = xcalloc(capacity, sizeof(*plan.entries)),
        .shares = xcalloc(capacity, sizeof(*plan.shares)),
    };

    leader_list_rows(leader, database, quota, upstream, &plan);
    leader_plan_guaranteed(upstream, &plan);
    for (size_t i = 0; i < plan.count; i++) {
        leader_fill_use(leader, plan.rows[i], &plan.shares[i],
                        &plan.entries[i]);
        leader_fill_ghost(leader, plan.rows[i], &plan.entries[plan.count + i]);
    }
    quota_plan_compute(upstream->slots, leader_get_lendable(upstream),
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
leader_lend(struct leader *leader, struct leader_holder *holder,
            const struct ck_database *database,
            const struct ck_upstream *upstream,
            const struct ck_renew_args *args, const struct ck_demand *demand,
            struct ck_quota *out)
{
    struct leader_quota *quota = leader_get_quota(leader, upstream->name);

    if (leader_shares_all(leader)) {
        leader_add_shares(leader, quota);
    }
    struct leader_share *own = leader_get_share(quota, holder);
    leader_see_share(leader, own, args, demand);
    if (leader_holds_nothing(own) &&
        !leader_takes_part(leader, database, holder)) {
        return false;
    }
    leader_plan_quota(leader, database, quota, upstream, own, out);
    own->held.slots = leader_get_max(own->held.slots, out->slots);
    own->held.connections =
        leader_get_max(own->held.connections, out->connections);
    own->held.guaranteed_slots =
        leader_get_max(own->held.guaranteed_slots, out->guaranteed_slots);
    own->held.guaranteed_connections = leader_get_max(
        own->held.guaranteed_connections, out->guaranteed_connections);
    return true;
}

struct leader_lending {
    struct leader *leader;
    struct leader_holder *holder;
    const struct ck_renew_args *args;
    struct ck_quota *quotas;
    size_t count;
    size_t capacity;
};

static const struct ck_demand *
leader_find_demand(const struct ck_renew_args *args, const char *upstream)
{
    for (u_int i = 0; i < args->demands.demands_len; i++) {
        if (strcmp(args->demands.demands_val[i].upstream, upstream) == 0) {
            return &args->demands.demands_val[i];
        }
    }
    return NULL;
}

static void
leader_lend_one(struct leader_lending *lending,
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
    if (leader_lend(lending->leader, lending->holder, database, upstream,
                    lending->args, demand, out)) {
        lending->count++;
    }
}

static bool
leader_lend_database(void *data, const struct ck_database *database)
{
    struct leader_lending *lending = data;

    for (u_int i = 0; i < database->upstreams.upstreams_len; i++) {
        const struct ck_upstream *upstream =
            &database->upstreams.upstreams_val[i];
        leader_lend_one(lending, database, upstream,
                        leader_find_demand(lending->args, upstream->name));
    }
    return true;
}

// Returns whether entries get a share of every upstream, also of those for
// which they report no demand.
bool
leader_shares_all(const struct leader *leader)
{
    size_t most = leader->params.relay_min_connections == 0
                      ? LEADER_SHARED_DATABASES
                      : LEADER_RELAYED_DATABASES;

    return group_get_databases_count(leader->group) <= most;
}

// Returns when an entry that lacks connections is to renew again: soon, but
// not so soon that this leader is busy with renewals alone.
static uint64_t
leader_get_haste_us(const struct leader *leader)
{
    uint64_t haste_us = leader->holders_count * LEADER_HASTE_ENTRY_US;

    return haste_us > LEADER_HASTE_US ? haste_us : LEADER_HASTE_US;
}

// Fills the quotas of an answer to a renewal. The sum of what entries may use
// of an upstream never exceeds its limits, also while answers are lost, after
// a change of leader and while an entry is cut off.
void
leader_fill_quotas(struct leader *leader, struct leader_holder *holder,
                   const struct ck_renew_args *args,
                   struct ck_renew_result *result)
{
    struct leader_lending lending = {
        .leader = leader, .holder = holder, .args = args};

    if (!leader_is_entry(holder)) {
        return;
    }
    if (leader_shares_all(leader)) {
        group_visit_databases(leader->group, leader_lend_database, &lending);
    }
    else {
        for (u_int i = 0; i < args->demands.demands_len; i++) {
            const struct ck_demand *demand = &args->demands.demands_val[i];
            leader_lend_one(
                &lending, NULL,
                group_find_upstream(leader->group, demand->upstream), demand);
        }
    }
    for (size_t i = 0; i < lending.count; i++) {
        if (lending.quotas[i].connections == 0) {
            result->hasten_us = leader_get_haste_us(leader);
        }
    }
    result->quotas.quotas_val = leader_own(leader->actions, lending.quotas);
    result->quotas.quotas_len = (u_int)lending.count;
}
