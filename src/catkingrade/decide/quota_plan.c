#include "catkingrade/decide/quota_plan.h"

#include <stdlib.h>

#include "catkingrade/kernel/memory.h"

// One part in this many of a limit is split into guaranteed shares, which are
// never lent to others; the rest follows demand.
#define QUOTA_PLAN_GUARANTEED_DIVISOR 2
// Plans that leave an entry without any slot before its turn comes: a slot
// that changes hands is idle until the next renewal.
#define QUOTA_PLAN_PLANS_PER_PRIORITY 2

// One entry's row while one limit is planned.
struct quota_plan_row {
    const struct quota_plan_entry *entry;
    uint32_t demand;
    uint32_t held;
    uint32_t guaranteed;
    uint32_t target; // wanted, as if nothing were held
    uint32_t given;  // so far, of the target or of the share lent now
    uint32_t cap;    // to be given at most
};

// Gives what integer division left over, one to each entry in turn: to those
// in the upstream's own failure domain, or to all when none is there.
static void
quota_plan_allocate_remainder(struct quota_plan_row *rows, size_t count,
                              uint32_t remainder)
{
    bool any_near = false;
    bool any = false;

    for (size_t i = 0; i < count; i++) {
        any_near |= rows[i].entry->near && rows[i].entry->weight > 0;
        any |= rows[i].entry->weight > 0;
    }
    for (size_t i = 0; any && remainder > 0; i = (i + 1) % count) {
        if (rows[i].entry->weight > 0 && (rows[i].entry->near || !any_near)) {
            rows[i].guaranteed++;
            remainder--;
        }
    }
}

// Splits the guaranteed part of a limit by weight.
static void
quota_plan_split_guaranteed(struct quota_plan_row *rows, size_t count,
                            uint32_t limit)
{
    uint32_t reserved = limit / QUOTA_PLAN_GUARANTEED_DIVISOR;
    uint32_t remainder = reserved;
    uint64_t weights = 0;

    for (size_t i = 0; i < count; i++) {
        weights += rows[i].entry->weight;
    }
    for (size_t i = 0; weights > 0 && i < count; i++) {
        rows[i].guaranteed =
            (uint32_t)((uint64_t)reserved * rows[i].entry->weight / weights);
        remainder -= rows[i].guaranteed;
    }
    quota_plan_allocate_remainder(rows, count, remainder);
}

// Returns whether row a comes before row b for the next unit: who was left
// out for longer, then who has less for its weight, then who holds one already
// and need not wait for it, then the nearer one.
static bool
quota_plan_precedes(const struct quota_plan_row *a,
                    const struct quota_plan_row *b)
{
    uint32_t turns_a = a->entry->unserved / QUOTA_PLAN_PLANS_PER_PRIORITY;
    uint32_t turns_b = b->entry->unserved / QUOTA_PLAN_PLANS_PER_PRIORITY;

    if (a->given == 0 && b->given == 0 && turns_a != turns_b) {
        return turns_a > turns_b;
    }
    uint64_t filled_a = (uint64_t)a->given * b->entry->weight;
    uint64_t filled_b = (uint64_t)b->given * a->entry->weight;
    if (filled_a != filled_b) {
        return filled_a < filled_b;
    }
    if ((a->held > a->given) != (b->held > b->given)) {
        return a->held > a->given;
    }
    return a->entry->near && !b->entry->near;
}

// Returns the row that is due for the next unit, or NULL when all have what
// they are to get.
static struct quota_plan_row *
quota_plan_select_row(struct quota_plan_row *rows, size_t count)
{
    struct quota_plan_row *best = NULL;

    for (size_t i = 0; i < count; i++) {
        struct quota_plan_row *row = &rows[i];
        if (row->entry->weight == 0 || row->given >= row->cap) {
            continue;
        }
        if (best == NULL || quota_plan_precedes(row, best)) {
            best = row;
        }
    }
    return best;
}

// Gives units one by one until they are used up or all caps are reached.
// Returns what is left.
static uint32_t
quota_plan_allocate_units(struct quota_plan_row *rows, size_t count,
                          uint32_t units)
{
    struct quota_plan_row *row = NULL;

    while (units > 0 && (row = quota_plan_select_row(rows, count)) != NULL) {
        row->given++;
        units--;
    }
    return units;
}

// Sets what each entry should have in the long run: its guaranteed share, then
// what it asks for, then an even part of what nobody asks for.
static void
quota_plan_set_targets(struct quota_plan_row *rows, size_t count,
                       uint32_t limit)
{
    uint32_t units = limit;

    quota_plan_split_guaranteed(rows, count, limit);
    for (size_t i = 0; i < count; i++) {
        rows[i].given = rows[i].guaranteed;
        rows[i].cap = rows[i].demand;
        units -= rows[i].guaranteed;
    }
    units = quota_plan_allocate_units(rows, count, units);
    for (size_t i = 0; i < count; i++) {
        rows[i].cap = UINT32_MAX;
    }
    (void)quota_plan_allocate_units(rows, count, units);
    for (size_t i = 0; i < count; i++) {
        rows[i].target = rows[i].given;
    }
}

// Sets what each entry gets now: less takes effect at once, more only as far
// as what the others may still use leaves room. Guaranteed units come first,
// then those who are due, whether they renew now or later: what one gives up
// is not taken by whoever renews next.
static void
quota_plan_set_shares(struct quota_plan_row *rows, size_t count,
                      uint32_t limit)
{
    uint64_t used = 0;

    for (size_t i = 0; i < count; i++) {
        used += rows[i].held;
        rows[i].given =
            rows[i].target < rows[i].held ? rows[i].target : rows[i].held;
    }
    uint32_t room = used >= limit ? 0 : (uint32_t)(limit - used);
    for (size_t i = 0; i < count && room > 0; i++) {
        struct quota_plan_row *row = &rows[i];
        uint32_t lacking =
            row->guaranteed > row->given ? row->guaranteed - row->given : 0;
        uint32_t more = lacking < room ? lacking : room;
        row->given += more;
        room -= more;
    }
    for (size_t i = 0; i < count; i++) {
        rows[i].cap = rows[i].target;
    }
    (void)quota_plan_allocate_units(rows, count, room);
}

static void
quota_plan_compute_limit(struct quota_plan_row *rows, size_t count,
                         uint32_t limit)
{
    quota_plan_set_targets(rows, count, limit);
    quota_plan_set_shares(rows, count, limit);
    for (size_t i = 0; i < count; i++) {
        if (rows[i].guaranteed > rows[i].given) {
            rows[i].guaranteed = rows[i].given;
        }
    }
}

static void
quota_plan_compute_slots(uint32_t slots,
                         const struct quota_plan_entry *entries, size_t count,
                         struct quota_plan_row *rows,
                         struct quota_plan_share *shares)
{
    for (size_t i = 0; i < count; i++) {
        rows[i] = (struct quota_plan_row){.entry = &entries[i],
                                          .demand = entries[i].slots.demand,
                                          .held = entries[i].slots.held};
    }
    quota_plan_compute_limit(rows, count, slots);
    for (size_t i = 0; i < count; i++) {
        shares[i].slots = rows[i].given;
        shares[i].guaranteed_slots = rows[i].guaranteed;
    }
}

// Plans connections after slots: an entry asks for at least one for each of
// its slots and one for its samples.
static void
quota_plan_compute_connections(uint32_t connections,
                               const struct quota_plan_entry *entries,
                               size_t count, struct quota_plan_row *rows,
                               struct quota_plan_share *shares)
{
    for (size_t i = 0; i < count; i++) {
        uint32_t demand = entries[i].connections.demand;
        uint32_t least = shares[i].slots == 0 ? 0 : shares[i].slots + 1;
        rows[i] =
            (struct quota_plan_row){.entry = &entries[i],
                                    .demand = demand > least ? demand : least,
                                    .held = entries[i].connections.held};
    }
    quota_plan_compute_limit(rows, count, connections);
    for (size_t i = 0; i < count; i++) {
        shares[i].connections = rows[i].given;
        shares[i].guaranteed_connections = rows[i].guaranteed;
    }
}

// Plans the shares of one upstream's slots and connections. held is the most
// that an entry may still use: the highest of what it was lent since the last
// renewal that it confirmed, or its guaranteed share once its lease has run
// out. The sum over all entries of the higher of held and the new share never
// exceeds a limit, unless held alone does. An entry that was removed but may
// still use something stays in the list with a weight of 0. Fills one share
// for each entry.
void
quota_plan_compute(uint32_t slots, uint32_t connections,
                   struct quota_plan_entry *entries, size_t entries_count,
                   struct quota_plan_share *shares)
{
    struct quota_plan_row *rows = xcalloc(entries_count, sizeof(*rows));

    quota_plan_compute_slots(slots, entries, entries_count, rows, shares);
    quota_plan_compute_connections(connections, entries, entries_count, rows,
                                   shares);
    for (size_t i = 0; i < entries_count; i++) {
        bool unserved = entries[i].slots.demand > 0 && shares[i].slots == 0;
        entries[i].unserved = unserved ? entries[i].unserved + 1 : 0;
    }
    free(rows);
}
