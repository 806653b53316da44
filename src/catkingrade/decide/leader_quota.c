#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/leader_private.h"
#include "catkingrade/decide/lending.h"
#include "catkingrade/kernel/memory.h"

// Up to so many databases every entry gets a share of every upstream; beyond
// that, only of those for which it reports a demand.
#define LEADER_SHARED_DATABASES 64
// The guaranteed part of a limit, as lending_plan splits it.
#define LEADER_GUARANTEED_PART 2

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

static struct leader_share *
leader_get_share(struct leader_quota *quota, struct leader_holder *holder)
{
    for (size_t i = 0; i < quota->shares_count; i++) {
        if (quota->shares[i].holder == holder) {
            return &quota->shares[i];
        }
    }
    size_t count = quota->shares_count + 1;
    quota->shares = xrealloc(quota->shares, count * sizeof(*quota->shares));
    struct leader_share *share = &quota->shares[count - 1];
    memset(share, 0, sizeof(*share));
    share->holder = holder;
    share->incarnation = holder->daemon.incarnation;
    quota->shares_count = count;
    return share;
}

// Has every entry take part, so that each gets its guaranteed share.
static void
leader_add_shares(struct leader *leader, struct leader_quota *quota)
{
    for (struct leader_holder *holder = leader->holders; holder != NULL;
         holder = holder->next) {
        if (leader_is_entry(holder)) {
            (void)leader_get_share(quota, holder);
        }
    }
}

// Takes what an entry says of itself. What it held when it asked is all that
// it can hold now: it ignores answers to earlier requests.
static void
leader_see_share(struct leader_share *share, const struct ck_renew_args *args,
                 const struct ck_demand *demand)
{
    static const struct ck_demand none;

    if (share->incarnation != args->daemon.incarnation) {
        share->ghost = share->held;
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

// Fills what lending_plan has to know of a share. Returns whether it is not
// known what the entry holds: a leader before lent it and it may use that
// until its lease runs out.
static bool
leader_fill_use(const struct leader *leader, const struct leader_share *share,
                const struct ck_upstream *upstream, size_t shares_count,
                struct lending_entry *entry)
{
    const struct leader_holder *holder = share->holder;
    bool live = leader_is_live(leader, holder);
    const struct ck_daemon *known =
        group_find_daemon(leader->group, holder->daemon.vm);

    entry->near =
        strcmp(upstream->failure_domain, holder->daemon.failure_domain) == 0;
    entry->weight = known == NULL ? 0 : 1;
    entry->unserved = share->unserved;
    entry->slots.demand = share->demand.waiting + share->demand.running;
    entry->connections.demand = share->demand.connections;
    if (!share->known) {
        size_t part = LEADER_GUARANTEED_PART * shares_count;
        entry->slots.held = (uint32_t)((upstream->slots + part - 1) / part);
        entry->connections.held =
            (uint32_t)((upstream->connections + part - 1) / part);
        return live;
    }
    entry->slots.held =
        live ? share->held.slots : share->held.guaranteed_slots;
    entry->connections.held =
        live ? share->held.connections : share->held.guaranteed_connections;
    if (holder->old_until_us > leader->now_us) {
        entry->slots.held += share->ghost.slots;
        entry->connections.held += share->ghost.connections;
    }
    return false;
}

// Plans an upstream and sets what the entry at place is lent now.
static void
leader_plan_quota(const struct leader *leader, struct leader_quota *quota,
                  const struct ck_upstream *upstream, size_t place,
                  struct ck_quota *out)
{
    size_t count = quota->shares_count;
    struct lending_entry *entries = xcalloc(count, sizeof(*entries));
    struct lending_share *shares = xcalloc(count, sizeof(*shares));
    struct leader_share *own = &quota->shares[place];
    bool frozen = false;

    for (size_t i = 0; i < count; i++) {
        frozen = leader_fill_use(leader, &quota->shares[i], upstream, count,
                                 &entries[i]) ||
                 frozen;
    }
    lending_plan(upstream->slots, upstream->connections, entries, count,
                 shares);
    own->unserved = entries[place].unserved;
    out->upstream = quota->name;
    out->slots = shares[place].slots;
    out->connections = shares[place].connections;
    out->guaranteed_slots = shares[place].guaranteed_slots;
    out->guaranteed_connections = shares[place].guaranteed_connections;
    if (frozen) {
        // Nobody gets more before all that was lent is known again.
        *out = own->held;
        out->upstream = quota->name;
    }
    free(entries);
    free(shares);
}

static void
leader_lend(struct leader *leader, struct leader_holder *holder,
            const struct ck_upstream *upstream,
            const struct ck_renew_args *args, const struct ck_demand *demand,
            struct ck_quota *out)
{
    struct leader_quota *quota = leader_get_quota(leader, upstream->name);

    if (group_get_databases_count(leader->group) <= LEADER_SHARED_DATABASES) {
        leader_add_shares(leader, quota);
    }
    struct leader_share *own = leader_get_share(quota, holder);
    leader_see_share(own, args, demand);
    leader_plan_quota(leader, quota, upstream, (size_t)(own - quota->shares),
                      out);
    own->held.slots = leader_get_max(own->held.slots, out->slots);
    own->held.connections =
        leader_get_max(own->held.connections, out->connections);
    own->held.guaranteed_slots =
        leader_get_max(own->held.guaranteed_slots, out->guaranteed_slots);
    own->held.guaranteed_connections = leader_get_max(
        own->held.guaranteed_connections, out->guaranteed_connections);
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
    struct ck_quota *out = &lending->quotas[lending->count++];
    memset(out, 0, sizeof(*out));
    leader_lend(lending->leader, lending->holder, upstream, lending->args,
                demand, out);
}

static bool
leader_lend_database(void *data, const struct ck_database *database)
{
    struct leader_lending *lending = data;

    for (u_int i = 0; i < database->upstreams.upstreams_len; i++) {
        const struct ck_upstream *upstream =
            &database->upstreams.upstreams_val[i];
        leader_lend_one(lending, upstream,
                        leader_find_demand(lending->args, upstream->name));
    }
    return true;
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
    if (group_get_databases_count(leader->group) <= LEADER_SHARED_DATABASES) {
        group_visit_databases(leader->group, leader_lend_database, &lending);
    }
    else {
        for (u_int i = 0; i < args->demands.demands_len; i++) {
            const struct ck_demand *demand = &args->demands.demands_val[i];
            leader_lend_one(
                &lending, group_find_upstream(leader->group, demand->upstream),
                demand);
        }
    }
    result->quotas.quotas_val = leader_own(leader->actions, lending.quotas);
    result->quotas.quotas_len = (u_int)lending.count;
}
