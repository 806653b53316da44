#include "catkingrade/decide/promotion.h"

// Compares two positions: first by timeline, then by lsn.
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

// Returns whether left is the better one to promote.
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

// Chooses the most advanced member that answered and says whether it is known
// to hold every acknowledged save. All answers must have been asked for after
// the old term had ended at all entries, so that no save is acknowledged any
// more.
//
// Why the choice is complete. There are n members: the old primary and n - 1
// replicas. A save of the old term was acknowledged once c replicas held its
// position, so at most n - 1 - c replicas lack it.
//
// 1. If the old primary answered, it holds all saves of its term itself.
// 2. Otherwise, if at least n - c replicas answered, at least one of them is
//    among the c, because at most n - 1 - c lack the save. Positions of one
//    timeline compare by lsn and a timeline holds all that its base holds, so
//    the most advanced answer is at least as far as that replica.
// 3. Saves of earlier terms lie below the base of the old term, since its
//    primary was chosen complete and the base was read after its promotion.
//    A choice at or above that base holds them. This is checked apart: after
//    a repair, two new replicas may be n - c and both be far behind.
// 4. A member that answers with less than it was seen to hold has lost data;
//    the c replicas of a save may have counted it, so it is left out.
//
// With c = 0 only the old primary shows completeness.
struct promotion_choice
promotion_choose(const struct promotion_params *question)
{
    struct promotion_choice choice = {PROMOTION_NONE, false};
    size_t replicas = 0;
    bool old_primary = false;

    for (size_t i = 0; i < question->count; i++) {
        const struct promotion_answer *answer = &question->answers[i];
        if (!answer->answered || answer->is_regressed) {
            continue;
        }
        replicas += answer->is_old_primary ? 0 : 1;
        old_primary = old_primary || answer->is_old_primary;
        if (choice.place == PROMOTION_NONE ||
            promotion_is_better(answer, &question->answers[choice.place])) {
            choice.place = (int)i;
        }
    }
    if (choice.place == PROMOTION_NONE) {
        return choice;
    }
    bool above_base =
        promotion_compare(&question->answers[choice.place].position,
                          &question->base) >= 0;
    choice.is_complete =
        above_base &&
        (old_primary || replicas + question->confirm >= question->count);
    return choice;
}
