#include "catkingrade/decide/coordinator/relay_plan.h"

#include <string.h>
#include <xxhash.h>

#include "catkingrade/kernel/memory.h"

// Number of connections to one upstream with which a relay can run the
// statements of many entries.
#define RELAY_PLAN_CONNECTIONS_PER_RELAY 4

// Returns the rendezvous hash of a pair of names.
static uint64_t
relay_plan_hash(const char *left, const char *right)
{
    uint64_t seed = XXH3_64bits(left, strlen(left));

    return XXH3_64bits_withSeed(right, strlen(right), seed);
}

// Returns the number of relays for a database whose upstreams allow this many
// connections each. Returns 0 if all entries connect themselves, because an
// equal share is at least min_connections per entry. With a min_connections of
// 0 all entries connect.
uint32_t
relay_plan_count(uint32_t connections, uint32_t min_connections,
                 size_t entries_count)
{
    uint32_t count = connections / RELAY_PLAN_CONNECTIONS_PER_RELAY;

    if ((uint64_t)min_connections * entries_count <= connections) {
        return 0;
    }
    if (count == 0) {
        count = 1;
    }
    return count < entries_count ? count : 0;
}

// Returns whether entry a is chosen before entry b. The failure domain with
// the fewest relays comes first, then the failure domain with the higher hash,
// then the entry with the higher hash.
static bool
relay_plan_precedes(const struct relay_plan_entry *entries,
                    const struct relay_plan_entry *a,
                    const struct relay_plan_entry *b)
{
    const struct relay_plan_entry *domain_a = &entries[a->domain];
    const struct relay_plan_entry *domain_b = &entries[b->domain];

    if (domain_a->domain_relays_count != domain_b->domain_relays_count) {
        return domain_a->domain_relays_count < domain_b->domain_relays_count;
    }
    if (domain_a != domain_b) {
        return domain_a->domain_rank > domain_b->domain_rank;
    }
    return a->rank > b->rank;
}

// Initializes the working state of the entries for one database.
static void
relay_plan_init_entries(const char *database, uint32_t relays_count,
                        struct relay_plan_entry *entries, size_t entries_count)
{
    for (size_t i = 0; i < entries_count; i++) {
        size_t domain = 0;
        while (strcmp(entries[domain].failure_domain,
                      entries[i].failure_domain) != 0) {
            domain++;
        }
        entries[i].is_relay = relays_count == 0;
        entries[i].rank = relay_plan_hash(database, entries[i].vm);
        entries[i].domain = domain;
        entries[i].domain_rank =
            relay_plan_hash(database, entries[i].failure_domain);
        entries[i].domain_relays_count = 0;
    }
}

// Chooses the relays of a database and sets is_relay in each entry; a
// relays_count of 0 chooses all entries. Relays are spread over the failure
// domains, and within a domain chosen by rendezvous hashing, so that adding or
// removing an entry changes the relays of few databases.
void
relay_plan_select(const char *database, uint32_t relays_count,
                  struct relay_plan_entry *entries, size_t entries_count)
{
    relay_plan_init_entries(database, relays_count, entries, entries_count);
    for (uint32_t n = 0; n < relays_count; n++) {
        struct relay_plan_entry *best = NULL;
        for (size_t i = 0; i < entries_count; i++) {
            if (!entries[i].is_relay &&
                (best == NULL ||
                 relay_plan_precedes(entries, &entries[i], best))) {
                best = &entries[i];
            }
        }
        if (best == NULL) {
            return;
        }
        best->is_relay = true;
        entries[best->domain].domain_relays_count++;
    }
}

// Returns the place of an entry.
struct relay_plan_place
relay_plan_get_place(const char *vm, const char *failure_domain)
{
    return (struct relay_plan_place){
        .vm_hash = XXH3_64bits(vm, strlen(vm)),
        .domain_hash = XXH3_64bits(failure_domain, strlen(failure_domain))};
}

// Returns a hash of a pair of places.
static uint64_t
relay_plan_hash_pair(const struct relay_plan_place *user,
                     const struct relay_plan_place *relay)
{
    return XXH3_64bits_withSeed(&relay->vm_hash, sizeof(relay->vm_hash),
                                user->vm_hash);
}

// Returns whether an entry is nearer to relay a than to relay b: a is in its
// own failure domain, or has the higher hash. The hash differs between entries
// and so spreads their load.
bool
relay_plan_is_nearer(const struct relay_plan_place *user,
                     const struct relay_plan_place *a,
                     const struct relay_plan_place *b)
{
    bool near_a = a->domain_hash == user->domain_hash;
    bool near_b = b->domain_hash == user->domain_hash;

    if (near_a != near_b) {
        return near_a;
    }
    return relay_plan_hash_pair(user, a) > relay_plan_hash_pair(user, b);
}

// A relay as an entry sees it.
struct relay_plan_option {
    size_t index; // in the list of entries
    const struct relay_plan_entry *entry;
    struct relay_plan_place place;
    // 0: the first relay of the entry's choice; 1: the alternate; 2: others.
    unsigned rank;
};

// Returns whether a user prefers relay a over relay b: first a relay that runs
// statements, then one that reaches the primary, then by the user's choice,
// then the nearer one.
static bool
relay_plan_is_preferred(const struct relay_plan_place *user,
                        const struct relay_plan_option *a,
                        const struct relay_plan_option *b)
{
    if (a->entry->is_idle != b->entry->is_idle) {
        return b->entry->is_idle;
    }
    if (a->entry->primary_unreachable != b->entry->primary_unreachable) {
        return b->entry->primary_unreachable;
    }
    if (a->rank != b->rank) {
        return a->rank < b->rank;
    }
    return relay_plan_is_nearer(user, &a->place, &b->place);
}

static struct relay_plan_option
relay_plan_make_option(const struct relay_plan_choice *choice,
                       const struct relay_plan_entry *entries, size_t index)
{
    const struct relay_plan_entry *entry = &entries[index];
    struct relay_plan_option option = {
        .index = index,
        .entry = entry,
        .place = relay_plan_get_place(entry->vm, entry->failure_domain),
        .rank = 2};

    if (choice != NULL && index == choice->first) {
        option.rank = 0;
    }
    else if (choice != NULL && index == choice->alternate) {
        option.rank = 1;
    }
    return option;
}

// Fills relays with the indexes of the entries that are relays; it has room
// for all entries. Returns their number.
size_t
relay_plan_list_relays(const struct relay_plan_entry *entries,
                       size_t entries_count, size_t *relays)
{
    size_t count = 0;

    for (size_t i = 0; i < entries_count; i++) {
        if (entries[i].is_relay) {
            relays[count++] = i;
        }
    }
    return count;
}

// Fills indexes with those of the relays that an entry uses, most preferred
// first and at most max_count, which is at most RELAY_PLAN_MAX_LISTED. relays
// are the indexes of all relays in entries. choice may be NULL. The entry
// itself is left out, and so are idle relays unless there is no other. Returns
// the number of relays listed.
size_t
relay_plan_list_nearest(const char *vm, const char *failure_domain,
                        const struct relay_plan_choice *choice,
                        const struct relay_plan_entry *entries,
                        const size_t *relays, size_t relays_count,
                        size_t *indexes, size_t max_count)
{
    const struct relay_plan_place user =
        relay_plan_get_place(vm, failure_domain);
    struct relay_plan_option listed[RELAY_PLAN_MAX_LISTED];
    size_t count = 0;

    INVARIANT(max_count <= RELAY_PLAN_MAX_LISTED);
    for (size_t i = 0; i < relays_count; i++) {
        size_t at = count;
        if (strcmp(entries[relays[i]].vm, vm) == 0) {
            continue;
        }
        struct relay_plan_option option =
            relay_plan_make_option(choice, entries, relays[i]);
        while (at > 0 &&
               relay_plan_is_preferred(&user, &option, &listed[at - 1])) {
            if (at < max_count) {
                listed[at] = listed[at - 1];
            }
            at--;
        }
        if (at < max_count) {
            listed[at] = option;
            count += count < max_count ? 1 : 0;
        }
    }
    while (count > 1 && listed[count - 1].entry->is_idle &&
           !listed[0].entry->is_idle) {
        count--;
    }
    for (size_t i = 0; i < count; i++) {
        indexes[i] = listed[i].index;
    }
    return count;
}
