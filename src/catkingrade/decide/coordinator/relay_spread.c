#include "catkingrade/decide/coordinator/relay_spread.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"

// What a relay of one database can take over; a relay of several databases can
// take over this divided by their number.
#define RELAY_SPREAD_CAPACITY 60

// Working state: an entry that uses relays, or a relay.
struct relay_spread_member {
    const struct relay_plan_entry *entry;
    struct relay_plan_place place;
    size_t index; // in the list of entries
    // Of a relay: the number of entries that it takes over from the missing
    // relay, and the limits of this number.
    size_t taken;
    size_t limit;
};

struct relay_spread {
    struct relay_spread_member *users; // in a fixed order
    size_t users_count;
    struct relay_spread_member *relays;
    size_t relays_count;
    struct relay_plan_choice *choices;
};

static int
relay_spread_compare_users(const void *left, const void *right)
{
    const struct relay_spread_member *a = left;
    const struct relay_spread_member *b = right;

    if (a->entry->rank != b->entry->rank) {
        return a->entry->rank < b->entry->rank ? -1 : 1;
    }
    return strcmp(a->entry->vm, b->entry->vm);
}

// Returns what a relay of this many databases can take over for one of them.
size_t
relay_spread_share_capacity(uint32_t databases_count)
{
    if (databases_count >= RELAY_SPREAD_CAPACITY) {
        return 1;
    }
    return databases_count > 1 ? RELAY_SPREAD_CAPACITY / databases_count
                               : RELAY_SPREAD_CAPACITY;
}

// Returns what a relay can take over from the missing one.
static size_t
relay_spread_get_capacity(const struct relay_spread_member *relay,
                          const struct relay_spread_member *missing)
{
    const struct relay_plan_entry *entry = relay->entry;

    if (relay == missing || entry->is_idle || entry->primary_unreachable) {
        return 0;
    }
    return relay_spread_share_capacity(entry->databases_count);
}

// Returns the index in the list of entries of the relay that is nearest to a
// user, idle or not. There is at least one relay.
static size_t
relay_spread_find_first(const struct relay_spread *spread,
                        const struct relay_spread_member *user)
{
    size_t best = 0;

    for (size_t i = 1; i < spread->relays_count; i++) {
        if (relay_plan_is_nearer(&user->place, &spread->relays[i].place,
                                 &spread->relays[best].place)) {
            best = i;
        }
    }
    return spread->relays[best].index;
}

// Returns the nearest of the relays that can take over a user of the missing
// one and have not reached their limit plus extra. Returns NULL if there is
// none.
static struct relay_spread_member *
relay_spread_find_alternate(const struct relay_spread *spread,
                            const struct relay_spread_member *user,
                            const struct relay_spread_member *missing,
                            size_t extra)
{
    struct relay_spread_member *best = NULL;

    for (size_t i = 0; i < spread->relays_count; i++) {
        struct relay_spread_member *relay = &spread->relays[i];
        if (relay_spread_get_capacity(relay, missing) == 0 ||
            relay->taken >= relay->limit + extra) {
            continue;
        }
        if (best == NULL ||
            relay_plan_is_nearer(&user->place, &relay->place, &best->place)) {
            best = relay;
        }
    }
    return best;
}

// Divides the users of the missing relay by the capacity of the others,
// rounded down. A relay takes over one more at most.
static void
relay_spread_set_limits(struct relay_spread *spread,
                        const struct relay_spread_member *missing)
{
    size_t users = 0;
    size_t capacity = 0;

    for (size_t i = 0; i < spread->users_count; i++) {
        size_t index = spread->users[i].index;
        users += spread->choices[index].first == missing->index ? 1 : 0;
    }
    for (size_t i = 0; i < spread->relays_count; i++) {
        capacity += relay_spread_get_capacity(&spread->relays[i], missing);
    }
    for (size_t i = 0; i < spread->relays_count && capacity > 0; i++) {
        struct relay_spread_member *relay = &spread->relays[i];
        relay->taken = 0;
        relay->limit =
            users * relay_spread_get_capacity(relay, missing) / capacity;
    }
}

// Sets the alternate of each user of a relay.
static void
relay_spread_replace(struct relay_spread *spread,
                     const struct relay_spread_member *missing)
{
    relay_spread_set_limits(spread, missing);
    for (size_t i = 0; i < spread->users_count; i++) {
        const struct relay_spread_member *user = &spread->users[i];
        struct relay_plan_choice *choice = &spread->choices[user->index];
        if (choice->first != missing->index) {
            continue;
        }
        struct relay_spread_member *relay =
            relay_spread_find_alternate(spread, user, missing, 0);
        if (relay == NULL) {
            relay = relay_spread_find_alternate(spread, user, missing, 1);
        }
        if (relay != NULL) {
            relay->taken++;
            choice->alternate = relay->index;
        }
    }
}

static void
relay_spread_list_members(const struct relay_plan_entry *entries,
                          size_t entries_count, struct relay_spread *spread)
{
    for (size_t i = 0; i < entries_count; i++) {
        struct relay_spread_member member = {
            .entry = &entries[i],
            .place =
                relay_plan_get_place(entries[i].vm, entries[i].failure_domain),
            .index = i};
        spread->choices[i].first = RELAY_PLAN_NONE;
        spread->choices[i].alternate = RELAY_PLAN_NONE;
        if (entries[i].is_relay) {
            spread->relays[spread->relays_count++] = member;
        }
        else {
            spread->users[spread->users_count++] = member;
        }
    }
    qsort(spread->users, spread->users_count, sizeof(*spread->users),
          relay_spread_compare_users);
}

// Sets the choice of each entry that is no relay: its nearest relay, idle or
// not, so that it comes back when this one returns, and the relay that it uses
// while that is missing. The users of one relay are spread over the others
// that run statements, in proportion to what these can take over, and by a
// hash, so that a change of the entries changes few choices.
void
relay_spread_assign(const struct relay_plan_entry *entries,
                    size_t entries_count, struct relay_plan_choice *choices)
{
    struct relay_spread spread = {
        .users = xcalloc(entries_count + 1, sizeof(*spread.users)),
        .relays = xcalloc(entries_count + 1, sizeof(*spread.relays)),
        .choices = choices};

    relay_spread_list_members(entries, entries_count, &spread);
    for (size_t i = 0; spread.relays_count > 0 && i < spread.users_count;
         i++) {
        choices[spread.users[i].index].first =
            relay_spread_find_first(&spread, &spread.users[i]);
    }
    for (size_t i = 0; i < spread.relays_count; i++) {
        relay_spread_replace(&spread, &spread.relays[i]);
    }
    free(spread.users);
    free(spread.relays);
}
