#include "catkingrade/decide/coordinator/promotion.h"

// Compares two positions by timeline, then by LSN. Returns -1, 0 or 1 if left
// is below, equal to or above right.
int
promotion_compare(const struct ck_position *left,
                  const struct ck_position *right)
{
    if (left->timeline != right->timeline) {
        return left->timeline < right->timeline ? -1 : 1;
    }
    if (left->lsn != right->lsn) {
        return left->lsn < right->lsn ? -1 : 1;
    }
    return 0;
}

// Returns whether left is preferred over right: the higher position, then a
// member that is not leaving, then the old primary.
static bool
promotion_is_better(const struct promotion_answer *left,
                    const struct promotion_answer *right)
{
    int order = promotion_compare(&left->position, &right->position);

    if (order != 0) {
        return order > 0;
    }
    if (left->is_leaving != right->is_leaving) {
        return !left->is_leaving;
    }
    return left->is_old_primary && !right->is_old_primary;
}

// Chooses the member with the highest position among those that answered, and
// determines whether it is known to hold every acknowledged save. The probes
// must have been sent after the old term had ended at all entries, so that no
// further save of that term can be acknowledged.
//
// Proof of completeness. There are n members: the old primary and n - 1
// replicas. A save of the old term was acknowledged after c replicas (confirm)
// had reached its position, so at most n - 1 - c replicas lack the save.
//
// 1. If the old primary answered, it holds all saves of its term.
// 2. Otherwise, if at least n - c replicas answered, at least one of these
//    holds the save, because at most n - 1 - c replicas lack it. Positions on
//    one timeline compare by LSN, and a timeline contains everything up to its
//    base. The highest position is therefore at or above that replica's
//    position.
// 3. Saves of earlier terms are below the base of the old term, because the
//    primary of the old term was complete when chosen and the base was read
//    after its promotion. A member at or above the base holds these saves. The
//    base is checked separately: after a repair, two new replicas may make up
//    n - c answers while both are far behind.
// 4. A member that answers with a lower position than it reported before has
//    lost data. It may be one of the c replicas of a save, so its answer is
//    ignored.
//
// 5. A member that may not be promoted counts like the others: if it has a
//    higher position than all that may be, none of these is known to be
//    complete.
//
// With c = 0 only an answer of the old primary proves completeness.
struct promotion_choice
promotion_choose(const struct promotion_params *params)
{
    struct promotion_choice choice = {PROMOTION_NONE, false};
    struct ck_position highest = params->base;
    size_t replicas = 0;
    bool old_primary = false;

    for (size_t i = 0; i < params->count; i++) {
        const struct promotion_answer *answer = &params->answers[i];
        if (!answer->answered || answer->is_regressed) {
            continue;
        }
        replicas += answer->is_old_primary ? 0 : 1;
        old_primary = old_primary || answer->is_old_primary;
        if (promotion_compare(&answer->position, &highest) > 0) {
            highest = answer->position;
        }
        if (answer->is_barred) {
            continue;
        }
        if (choice.index == PROMOTION_NONE ||
            promotion_is_better(answer, &params->answers[choice.index])) {
            choice.index = (int)i;
        }
    }
    if (choice.index == PROMOTION_NONE) {
        return choice;
    }
    bool is_highest =
        promotion_compare(&params->answers[choice.index].position, &highest) >=
        0;
    choice.is_complete =
        is_highest &&
        (old_primary || replicas + params->confirm >= params->count);
    return choice;
}
