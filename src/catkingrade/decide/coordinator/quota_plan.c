#include "catkingrade/decide/coordinator/quota_plan.h"

#include <stdlib.h>

#include "catkingrade/kernel/memory.h"

// This fraction of a limit (1/2) is split into guaranteed shares, which other
// entries never get. The rest is allocated by demand.
#define QUOTA_PLAN_GUARANTEED_DIVISOR 2
// An entry's priority rises by one after this many consecutive plans without a
// slot. Not after each plan, because a slot that moves to another entry is
// unused until that entry's next renewal.
#define QUOTA_PLAN_PLANS_PER_PRIORITY 2

// Working state of one entry during the allocation of one limit.
struct quota_plan_row {
    const struct quota_plan_entry *entry;
    uint32_t demand;
    uint32_t held;
    uint32_t guaranteed;
    uint32_t target;    // allocation regardless of what entries hold now
    uint32_t allocated; // so far, of the target or of the new share
    uint32_t cap;       // upper limit of allocated
};

// Distributes the remainder of the integer division round-robin, one unit per
// entry: to the entries in the upstream's failure domain, or to all entries if
// that domain has none.
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

// Splits the guaranteed part of a limit in proportion to the weights.
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

// Returns whether row a gets the next unit before row b. Criteria in order:
// 1. if neither row has a unit yet: higher priority, that is more consecutive
//    plans without a slot;
// 2. fewer units allocated per weight;
// 3. still holds a further unit, which can be used without delay;
// 4. in the same failure domain as the upstream.
static bool
quota_plan_precedes(const struct quota_plan_row *a,
                    const struct quota_plan_row *b)
{
    uint32_t priority_a = a->entry->unserved / QUOTA_PLAN_PLANS_PER_PRIORITY;
    uint32_t priority_b = b->entry->unserved / QUOTA_PLAN_PLANS_PER_PRIORITY;

    if (a->allocated == 0 && b->allocated == 0 && priority_a != priority_b) {
        return priority_a > priority_b;
    }
    uint64_t filled_a = (uint64_t)a->allocated * b->entry->weight;
    uint64_t filled_b = (uint64_t)b->allocated * a->entry->weight;
    if (filled_a != filled_b) {
        return filled_a < filled_b;
    }
    if ((a->held > a->allocated) != (b->held > b->allocated)) {
        return a->held > a->allocated;
    }
    return a->entry->near && !b->entry->near;
}

// Returns whether row a gets the next unit before row b. Among equal rows the
// first in the list does.
static bool
quota_plan_is_next(const struct quota_plan_row *a,
                   const struct quota_plan_row *b)
{
    if (quota_plan_precedes(a, b)) {
        return true;
    }
    return !quota_plan_precedes(b, a) && a < b;
}

// Moves the row at an index of the heap down to its place.
static void
quota_plan_sift_down(struct quota_plan_row **heap, size_t count, size_t index)
{
    struct quota_plan_row *row = heap[index];

    for (;;) {
        size_t child = 2 * index + 1;
        if (child >= count) {
            break;
        }
        if (child + 1 < count &&
            quota_plan_is_next(heap[child + 1], heap[child])) {
            child++;
        }
        if (!quota_plan_is_next(heap[child], row)) {
            break;
        }
        heap[index] = heap[child];
        index = child;
    }
    heap[index] = row;
}

// Builds a heap of the rows below their caps; the row that gets the next unit
// is its first. Returns the number of rows in it.
static size_t
quota_plan_build_heap(struct quota_plan_row *rows, size_t count,
                      struct quota_plan_row **heap)
{
    size_t heap_count = 0;

    for (size_t i = 0; i < count; i++) {
        if (rows[i].entry->weight > 0 && rows[i].allocated < rows[i].cap) {
            heap[heap_count++] = &rows[i];
        }
    }
    for (size_t i = heap_count / 2; i > 0; i--) {
        quota_plan_sift_down(heap, heap_count, i - 1);
    }
    return heap_count;
}

// Allocates units one at a time until none is left or all caps are reached.
// Returns the number of units left.
static uint32_t
quota_plan_allocate_units(struct quota_plan_row *rows, size_t count,
                          uint32_t units)
{
    if (units == 0) {
        return 0;
    }
    struct quota_plan_row **heap = xcalloc(count, sizeof(*heap));
    size_t heap_count = quota_plan_build_heap(rows, count, heap);

    while (units > 0 && heap_count > 0) {
        heap[0]->allocated++;
        units--;
        if (heap[0]->allocated >= heap[0]->cap) {
            heap[0] = heap[--heap_count];
        }
        if (heap_count > 0) {
            quota_plan_sift_down(heap, heap_count, 0);
        }
    }
    free(heap);
    return units;
}

// Sets the long-term allocation of each entry: the guaranteed share, then
// units up to its demand, then by weight the units that no entry demands.
static void
quota_plan_set_targets(struct quota_plan_row *rows, size_t count,
                       uint32_t limit)
{
    uint32_t units = limit;

    quota_plan_split_guaranteed(rows, count, limit);
    for (size_t i = 0; i < count; i++) {
        rows[i].allocated = rows[i].guaranteed;
        rows[i].cap = rows[i].demand;
        units -= rows[i].guaranteed;
    }
    units = quota_plan_allocate_units(rows, count, units);
    for (size_t i = 0; i < count; i++) {
        rows[i].cap = UINT32_MAX;
    }
    (void)quota_plan_allocate_units(rows, count, units);
    for (size_t i = 0; i < count; i++) {
        rows[i].target = rows[i].allocated;
    }
}

// Sets the new share of each entry. A reduction is effective at once. An
// increase is limited to the units that no entry may still use. These go first
// to entries below their guaranteed share, then by quota_plan_precedes to all
// entries and not only to the entry that renews now: otherwise the next entry
// to renew would take each unit that another entry released.
static void
quota_plan_set_shares(struct quota_plan_row *rows, size_t count,
                      uint32_t limit)
{
    uint64_t held_sum = 0;

    for (size_t i = 0; i < count; i++) {
        held_sum += rows[i].held;
        rows[i].allocated =
            rows[i].target < rows[i].held ? rows[i].target : rows[i].held;
    }
    uint32_t available = held_sum >= limit ? 0 : (uint32_t)(limit - held_sum);
    for (size_t i = 0; i < count && available > 0; i++) {
        struct quota_plan_row *row = &rows[i];
        uint32_t shortfall = row->guaranteed > row->allocated
                                 ? row->guaranteed - row->allocated
                                 : 0;
        uint32_t more = shortfall < available ? shortfall : available;
        row->allocated += more;
        available -= more;
    }
    for (size_t i = 0; i < count; i++) {
        rows[i].cap = rows[i].target;
    }
    (void)quota_plan_allocate_units(rows, count, available);
}

static void
quota_plan_compute_limit(struct quota_plan_row *rows, size_t count,
                         uint32_t limit)
{
    quota_plan_set_targets(rows, count, limit);
    quota_plan_set_shares(rows, count, limit);
    for (size_t i = 0; i < count; i++) {
        if (rows[i].guaranteed > rows[i].allocated) {
            rows[i].guaranteed = rows[i].allocated;
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
        shares[i].slots = rows[i].allocated;
        shares[i].guaranteed_slots = rows[i].guaranteed;
    }
}

// Allocates connections after slots. An entry that has slots demands at least
// one connection per slot and one for its samples.
static void
quota_plan_compute_connections(uint32_t connections,
                               const struct quota_plan_entry *entries,
                               size_t count, struct quota_plan_row *rows,
                               struct quota_plan_share *shares)
{
    for (size_t i = 0; i < count; i++) {
        uint32_t demand = entries[i].connections.demand;
        uint32_t minimum = shares[i].slots == 0 ? 0 : shares[i].slots + 1;
        rows[i] = (struct quota_plan_row){.entry = &entries[i],
                                          .demand = demand > minimum ? demand
                                                                     : minimum,
                                          .held = entries[i].connections.held};
    }
    quota_plan_compute_limit(rows, count, connections);
    for (size_t i = 0; i < count; i++) {
        shares[i].connections = rows[i].allocated;
        shares[i].guaranteed_connections = rows[i].guaranteed;
    }
}

// Computes the share of each entry in one upstream's slots and connections.
// held is the maximum that an entry may still use: the highest share sent to
// it since the last renewal that it confirmed, or its guaranteed share after
// its lease has expired. The sum over all entries of max(held, new share)
// never exceeds a limit, unless the sum of held alone does. A removed entry
// that may still use units must stay in the list with a weight of 0. Fills one
// element of shares per entry and updates unserved in the entries.
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
