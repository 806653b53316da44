#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "catkingrade/decide/coordinator_private.h"
#include "catkingrade/decide/relay_plan.h"
#include "catkingrade/kernel/memory.h"

// The holders of a database are chosen anew no more often.
#define COORDINATOR_RELAY_PLAN_INTERVAL_US 200000
#define COORDINATOR_RELAYS_VERSION_BITS    32
#define COORDINATOR_RELAYS_VERSION_MASK                                       \
    ((UINT64_C(1) << COORDINATOR_RELAYS_VERSION_BITS) - 1)

// An entry that has told that it does not reach the primary sends its
// statements over others for so long.
#define COORDINATOR_UNREACHABLE_LIFETIME_US 3000000

// An entry that does not reach the primary of a database.
struct coordinator_unreachable {
    const struct coordinator_holder *holder;
    int64_t until_us;
};

// Which entries hold the connections of a database.
struct coordinator_relay_plan {
    struct coordinator_relay_plan *next;
    char *database;
    int64_t planned_us; // 0: not yet
    bool all_are_relays;
    size_t registered_count; // entries, also those without a lease
    // Those with a lease, as relay_plan_select has them and as the leader has
    // them.
    struct relay_plan_entry *entries;
    struct coordinator_holder **holders;
    size_t count;
    bool *holds; // by a holder's number
    size_t is_relay_count;
    struct coordinator_unreachable *lacking;
    size_t unreachable_count;
    uint64_t signature; // of what entries are told
};

// Frees all that is known of relays.
void
coordinator_free_relays(struct leader *leader)
{
    while (leader->relays != NULL) {
        struct coordinator_relay_plan *relay = leader->relays;
        leader->relays = relay->next;
        free(relay->entries);
        free(relay->holders);
        free(relay->holds);
        free(relay->lacking);
        free(relay->database);
        free(relay);
    }
}

// Has plans use the names of a holder's new record. They stand until their
// time is over: with all entries back at once they would be made for each.
void
coordinator_update_relay_entries(struct leader *leader,
                                 const struct coordinator_holder *holder)
{
    for (struct coordinator_relay_plan *relay = leader->relays; relay != NULL;
         relay = relay->next) {
        for (size_t i = 0; i < relay->count; i++) {
            if (relay->holders[i] == holder) {
                relay->entries[i].vm = holder->daemon.vm;
                relay->entries[i].failure_domain =
                    holder->daemon.failure_domain;
            }
        }
    }
}

static struct coordinator_relay_plan *
coordinator_get_or_add_relay_plan(struct leader *leader, const char *database)
{
    struct coordinator_relay_plan *relay =
        group_index_get(leader->index, COORDINATOR_KEY_RELAY, database);

    if (relay == NULL) {
        relay = xcalloc(1, sizeof(*relay));
        relay->database = xstrdup(database);
        relay->next = leader->relays;
        leader->relays = relay;
        group_index_put(leader->index, COORDINATOR_KEY_RELAY, database, relay);
    }
    return relay;
}

// Returns whether an entry has told of late that it does not reach the
// primary.
static bool
coordinator_is_primary_unreachable(const struct leader *leader,
                                   const struct coordinator_relay_plan *relay,
                                   const struct coordinator_holder *holder)
{
    for (size_t i = 0; i < relay->unreachable_count; i++) {
        if (relay->lacking[i].holder == holder) {
            return relay->lacking[i].until_us > leader->now_us;
        }
    }
    return false;
}

// Notes that an entry does not reach the primary of a database.
void
coordinator_record_unreachable(struct leader *leader, const char *database,
                               const struct coordinator_holder *holder)
{
    if (leader->params.relay_min_connections == 0) {
        return;
    }
    struct coordinator_relay_plan *relay =
        coordinator_get_or_add_relay_plan(leader, database);
    size_t place = 0;

    while (place < relay->unreachable_count &&
           relay->lacking[place].holder != holder) {
        place++;
    }
    if (place == relay->unreachable_count) {
        relay->unreachable_count++;
        relay->lacking = xrealloc(relay->lacking, relay->unreachable_count *
                                                      sizeof(*relay->lacking));
        relay->lacking[place].holder = holder;
    }
    relay->lacking[place].until_us =
        leader->now_us + COORDINATOR_UNREACHABLE_LIFETIME_US;
    relay->planned_us = 0; // the entry that says so is told at once
}

// Returns the fewest connections that are lent of any upstream of a database.
static uint32_t
coordinator_get_min_connections(const struct ck_database *database)
{
    uint32_t scarcest = UINT32_MAX;

    for (u_int i = 0; i < database->upstreams.upstreams_len; i++) {
        const struct ck_upstream *upstream =
            &database->upstreams.upstreams_val[i];
        uint32_t lendable = coordinator_get_quota_connections(upstream);
        if (upstream->state != CK_UPSTREAM_LOST && lendable < scarcest) {
            scarcest = lendable;
        }
    }
    return scarcest;
}

// Lists the entries that may hold connections: those that are registered and
// whose lease may be valid.
static void
coordinator_list_relay_entries(const struct leader *leader,
                               struct coordinator_relay_plan *relay)
{
    size_t capacity = 0;

    for (const struct coordinator_holder *holder = leader->holders;
         holder != NULL; holder = holder->next) {
        capacity++;
    }
    relay->entries =
        xrealloc(relay->entries, (capacity + 1) * sizeof(*relay->entries));
    relay->holders =
        xrealloc(relay->holders, (capacity + 1) * sizeof(*relay->holders));
    relay->count = 0;
    relay->registered_count = 0;
    for (struct coordinator_holder *holder = leader->holders; holder != NULL;
         holder = holder->next) {
        if (!coordinator_is_entry(holder) ||
            group_find_daemon(leader->group, holder->daemon.vm) == NULL) {
            continue;
        }
        relay->registered_count++;
        if (!coordinator_is_live(leader, holder)) {
            continue;
        }
        relay->entries[relay->count] = (struct relay_plan_entry){
            .vm = holder->daemon.vm,
            .failure_domain = holder->daemon.failure_domain};
        relay->holders[relay->count++] = holder;
    }
}

// Notes who holds connections under the holders' numbers, where it is found at
// once.
static void
coordinator_index_relays(const struct leader *leader,
                         struct coordinator_relay_plan *relay)
{
    relay->is_relay_count = leader->holders_count;
    relay->holds =
        xrealloc(relay->holds, relay->is_relay_count * sizeof(*relay->holds));
    memset(relay->holds, 0, relay->is_relay_count * sizeof(*relay->holds));
    for (size_t i = 0; i < relay->count; i++) {
        relay->holds[relay->holders[i]->number] = relay->entries[i].is_relay;
    }
}

// Notes whether what entries are told of a database is another than before.
static void
coordinator_update_relays_version(struct leader *leader,
                                  struct coordinator_relay_plan *relay)
{
    const struct coordinator_database *db =
        coordinator_find_database(leader, relay->database);
    uint64_t signature =
        db != NULL && db->phase == COORDINATOR_PHASE_IDLE ? 1 : 0;

    for (size_t i = 0; i < relay->count; i++) {
        struct relay_plan_entry *entry = &relay->entries[i];
        entry->primary_unreachable = coordinator_is_primary_unreachable(
            leader, relay, relay->holders[i]);
        const char *host = relay->holders[i]->daemon.host;
        const uint64_t row[] = {(uint64_t)(uintptr_t)relay->holders[i],
                                XXH3_64bits(host, strlen(host)),
                                entry->is_relay, entry->primary_unreachable};
        signature = XXH3_64bits_withSeed(row, sizeof(row), signature);
    }
    if (signature != relay->signature) {
        relay->signature = signature;
        leader->relays_version++;
    }
}

// Chooses the holders of a database, unless that was done just now.
static struct coordinator_relay_plan *
coordinator_update_relay_plan(struct leader *leader,
                              const struct ck_database *database)
{
    struct coordinator_relay_plan *relay =
        coordinator_get_or_add_relay_plan(leader, database->name);

    if (relay->planned_us != 0 && leader->now_us - relay->planned_us <
                                      COORDINATOR_RELAY_PLAN_INTERVAL_US) {
        return relay;
    }
    relay->planned_us = leader->now_us;
    coordinator_list_relay_entries(leader, relay);
    uint32_t count = relay_plan_count(
        coordinator_get_min_connections(database),
        leader->params.relay_min_connections, relay->registered_count);
    relay->all_are_relays = count == 0;
    relay_plan_select(database->name, count, relay->entries, relay->count);
    coordinator_index_relays(leader, relay);
    coordinator_update_relays_version(leader, relay);
    return relay;
}

// Returns whether an entry holds connections to a database's upstreams.
bool
coordinator_is_relay(struct leader *leader, const struct ck_database *database,
                     const struct coordinator_holder *holder)
{
    if (leader->params.relay_min_connections == 0) {
        return true;
    }
    const struct coordinator_relay_plan *relay =
        coordinator_update_relay_plan(leader, database);
    if (relay->all_are_relays) {
        return true;
    }
    return holder->number < relay->is_relay_count &&
           relay->holds[holder->number];
}

// Counts the entries that would notice the loss of a database's primary.
size_t
coordinator_count_connected_entries(struct leader *leader,
                                    const struct ck_database *database)
{
    if (leader->params.relay_min_connections == 0) {
        return coordinator_count_live(leader);
    }
    const struct coordinator_relay_plan *relay =
        coordinator_update_relay_plan(leader, database);
    size_t count = 0;
    for (size_t i = 0; i < relay->count; i++) {
        count += relay->entries[i].is_relay ? 1 : 0;
    }
    return count;
}

// Returns whether an entry's statements of a database go over others: it
// holds no connections, or does not reach the primary, which others do. While
// a primary is replaced nobody is asked to go another way to the old one.
static bool
coordinator_uses_relays(struct leader *leader,
                        const struct ck_database *database,
                        const struct coordinator_holder *holder)
{
    const struct coordinator_database *db =
        coordinator_find_database(leader, database->name);

    return !coordinator_is_relay(leader, database, holder) ||
           (db != NULL && db->phase == COORDINATOR_PHASE_IDLE &&
            coordinator_is_primary_unreachable(
                leader,
                coordinator_get_or_add_relay_plan(leader, database->name),
                holder));
}

// The relays of one renewal while they are filled in.
struct coordinator_relay_list {
    struct leader *leader;
    const struct coordinator_holder *holder;
    struct ck_relay *relays;
    size_t count;
};

static bool
coordinator_append_relay(void *data, const struct ck_database *database)
{
    struct coordinator_relay_list *relaying = data;
    struct leader *leader = relaying->leader;
    const struct ck_daemon *daemon = &relaying->holder->daemon;
    size_t places[CK_RELAY_HOSTS];

    const struct coordinator_relay_plan *relay =
        coordinator_update_relay_plan(leader, database);
    struct ck_relay *out = &relaying->relays[relaying->count++];
    out->database = relay->database;
    size_t count = relay_plan_list_nearest(daemon->vm, daemon->failure_domain,
                                           relay->entries, relay->count,
                                           places, CK_RELAY_HOSTS);
    if (count == 0) {
        relaying->count--;
        return true;
    }
    // One that no other entry could help runs its statements itself.
    out->standby =
        !coordinator_uses_relays(leader, database, relaying->holder) ||
        (coordinator_is_relay(leader, database, relaying->holder) &&
         relay->entries[places[0]].primary_unreachable);
    out->hosts.hosts_len = (u_int)count;
    out->hosts.hosts_val = coordinator_actions_own(
        leader->actions, xcalloc(count, sizeof(char *)));
    for (size_t i = 0; i < count; i++) {
        out->hosts.hosts_val[i] = relay->holders[places[i]]->daemon.host;
    }
    return true;
}

static bool
coordinator_visit_relay_plan(void *data, const struct ck_database *database)
{
    (void)coordinator_update_relay_plan(data, database);
    return true;
}

// Returns the version of what entries are told; another leader's is another.
static uint64_t
coordinator_get_relays_version(const struct leader *leader)
{
    return leader->leader_term << COORDINATOR_RELAYS_VERSION_BITS |
           (leader->relays_version & COORDINATOR_RELAYS_VERSION_MASK);
}

// Fills which entries run the statements of this one, database by database,
// now or when it has no lease, unless it has heard that already.
void
coordinator_fill_relays(struct leader *leader,
                        const struct coordinator_holder *holder,
                        const struct ck_renew_args *args,
                        struct ck_renew_result *result)
{
    size_t databases = group_get_databases_count(leader->group);
    struct coordinator_relay_list relaying = {.leader = leader,
                                              .holder = holder};

    if (leader->params.relay_min_connections == 0 ||
        !coordinator_is_entry(holder) || !coordinator_allocates_all(leader)) {
        return;
    }
    group_visit_databases(leader->group, coordinator_visit_relay_plan, leader);
    result->relays_version = coordinator_get_relays_version(leader);
    if (args->relays_version == result->relays_version) {
        return;
    }
    relaying.relays = coordinator_actions_own(
        leader->actions, xcalloc(databases, sizeof(*relaying.relays)));
    group_visit_databases(leader->group, coordinator_append_relay, &relaying);
    result->relays.relays_val = relaying.relays;
    result->relays.relays_len = (u_int)relaying.count;
}
