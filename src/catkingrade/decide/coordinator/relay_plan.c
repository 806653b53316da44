#include "catkingrade/decide/coordinator/relay_plan.h"

#include <string.h>
#include <xxhash.h>

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

// Returns whether an entry is nearer to relay a than to relay b: a is in its
// own failure domain, or has the higher hash. The hash differs between entries
// and so spreads their load.
bool
relay_plan_is_nearer(const char *vm, const char *failure_domain,
                     const struct relay_plan_entry *a,
                     const struct relay_plan_entry *b)
{
    bool near_a = strcmp(a->failure_domain, failure_domain) == 0;
    bool near_b = strcmp(b->failure_domain, failure_domain) == 0;

    if (near_a != near_b) {
        return near_a;
    }
    return relay_plan_hash(vm, a->vm) > relay_plan_hash(vm, b->vm);
}

// An entry, its choice of relays and the list of all entries.
struct relay_plan_user {
    const char *vm;
    const char *failure_domain;
    const struct relay_plan_choice *choice; // NULL: the nearest relays
    const struct relay_plan_entry *entries;
};

// Returns 0 for the first relay of the user's choice, 1 for the alternate and
// 2 for others.
static unsigned
relay_plan_get_place(const struct relay_plan_user *user, size_t index)
{
    if (user->choice == NULL) {
        return 2;
    }
    if (index == user->choice->first) {
        return 0;
    }
    return index == user->choice->alternate ? 1 : 2;
}

// Returns whether a user prefers relay a over relay b: first a relay that runs
// statements, then one that reaches the primary, then by the user's choice,
// then the nearer one.
static bool
relay_plan_is_preferred(const struct relay_plan_user *user, size_t index_a,
                        size_t index_b)
{
    const struct relay_plan_entry *a = &user->entries[index_a];
    const struct relay_plan_entry *b = &user->entries[index_b];
    unsigned place_a = relay_plan_get_place(user, index_a);
    unsigned place_b = relay_plan_get_place(user, index_b);

    if (a->is_idle != b->is_idle) {
        return b->is_idle;
    }
    if (a->primary_unreachable != b->primary_unreachable) {
        return b->primary_unreachable;
    }
    if (place_a != place_b) {
        return place_a < place_b;
    }
    return relay_plan_is_nearer(user->vm, user->failure_domain, a, b);
}

// Fills indexes with the relays that an entry uses, most preferred first and
// at most max_count, as indexes into entries. choice may be NULL. The entry
// itself is left out, and so are idle relays unless there is no other. Returns
// the number of relays listed.
size_t
relay_plan_list_nearest(const char *vm, const char *failure_domain,
                        const struct relay_plan_choice *choice,
                        const struct relay_plan_entry *entries,
                        size_t entries_count, size_t *indexes,
                        size_t max_count)
{
    const struct relay_plan_user user = {.vm = vm,
                                         .failure_domain = failure_domain,
                                         .choice = choice,
                                         .entries = entries};
    size_t count = 0;

    for (size_t i = 0; i < entries_count; i++) {
        size_t at = count;
        if (!entries[i].is_relay || strcmp(entries[i].vm, vm) == 0) {
            continue;
        }
        while (at > 0 && relay_plan_is_preferred(&user, i, indexes[at - 1])) {
            if (at < max_count) {
                indexes[at] = indexes[at - 1];
            }
            at--;
        }
        if (at < max_count) {
            indexes[at] = i;
            count += count < max_count ? 1 : 0;
        }
    }
    while (count > 1 && entries[indexes[count - 1]].is_idle &&
           !entries[indexes[0]].is_idle) {
        count--;
    }
    return count;
}
