#include "catkingrade/decide/relay_plan.h"

#include <string.h>
#include <xxhash.h>

// Connections of one upstream with which a holder serves the statements of
// many entries.
#define RELAY_PLAN_CONNECTIONS_PER_RELAY 4

static uint64_t
relay_plan_hash(const char *left, const char *right)
{
    uint64_t seed = XXH3_64bits(left, strlen(left));

    return XXH3_64bits_withSeed(right, strlen(right), seed);
}

// Returns how many entries hold the connections of a database: 0 when all do,
// because an equal share of connections is at least min_connections for each.
// A min_connections of 0 lets all hold them.
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

// Returns whether entry a is chosen before entry b: the failure domain with
// the fewest holders comes first, then the one that ranks higher, then the
// entry that ranks higher.
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

// Prepares the entries for the choice of a database's holders.
static void
relay_plan_init_entries(const char *database, uint32_t holders_count,
                        struct relay_plan_entry *entries, size_t entries_count)
{
    for (size_t i = 0; i < entries_count; i++) {
        size_t domain = 0;
        while (strcmp(entries[domain].failure_domain,
                      entries[i].failure_domain) != 0) {
            domain++;
        }
        entries[i].holds = holders_count == 0;
        entries[i].rank = relay_plan_hash(database, entries[i].vm);
        entries[i].domain = domain;
        entries[i].domain_rank =
            relay_plan_hash(database, entries[i].failure_domain);
        entries[i].domain_relays_count = 0;
    }
}

// Chooses the entries that hold the connections of a database, all when
// holders_count is 0: spread over the failure domains, and within each by
// rendezvous hashing, so that an entry which comes or goes moves few
// databases.
void
relay_plan_select(const char *database, uint32_t holders_count,
                  struct relay_plan_entry *entries, size_t entries_count)
{
    relay_plan_init_entries(database, holders_count, entries, entries_count);
    for (uint32_t n = 0; n < holders_count; n++) {
        struct relay_plan_entry *best = NULL;
        for (size_t i = 0; i < entries_count; i++) {
            if (!entries[i].holds &&
                (best == NULL ||
                 relay_plan_precedes(entries, &entries[i], best))) {
                best = &entries[i];
            }
        }
        if (best == NULL) {
            return;
        }
        best->holds = true;
        entries[best->domain].domain_relays_count++;
    }
}

// Returns whether an entry turns to holder a rather than to holder b: to one
// that reaches the primary, then to its own failure domain's, then in an order
// of its own.
static bool
relay_plan_is_preferred(const char *vm, const char *failure_domain,
                        const struct relay_plan_entry *a,
                        const struct relay_plan_entry *b)
{
    if (a->lacks != b->lacks) {
        return b->lacks;
    }
    bool near_a = strcmp(a->failure_domain, failure_domain) == 0;
    bool near_b = strcmp(b->failure_domain, failure_domain) == 0;

    if (near_a != near_b) {
        return near_a;
    }
    return relay_plan_hash(vm, a->vm) > relay_plan_hash(vm, b->vm);
}

// Lists the places of the holders that an entry turns to, the first to be
// asked first, at most max_count. Returns their number.
size_t
relay_plan_list_nearest(const char *vm, const char *failure_domain,
                        const struct relay_plan_entry *entries,
                        size_t entries_count, size_t *places, size_t max_count)
{
    size_t count = 0;

    for (size_t i = 0; i < entries_count; i++) {
        size_t at = count;
        if (!entries[i].holds || strcmp(entries[i].vm, vm) == 0) {
            continue;
        }
        while (at > 0 &&
               relay_plan_is_preferred(vm, failure_domain, &entries[i],
                                       &entries[places[at - 1]])) {
            if (at < max_count) {
                places[at] = places[at - 1];
            }
            at--;
        }
        if (at < max_count) {
            places[at] = i;
            count += count < max_count ? 1 : 0;
        }
    }
    return count;
}
