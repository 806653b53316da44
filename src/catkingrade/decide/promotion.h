#ifndef CATKINGRADE_DECIDE_PROMOTION_H
#define CATKINGRADE_DECIDE_PROMOTION_H

#include <stdbool.h>
#include <stddef.h>

#include "catkingrade/rpc/messages.h"

#define PROMOTION_NONE (-1)

// What a member of a database answered after its term was superseded.
struct promotion_answer {
    bool answered;
    bool is_old_primary; // primary of the term that ended
    bool is_leaving;
    bool is_regressed; // it was once seen at a higher position
    struct ck_position position;
};

// Members of the database in a fixed order, with the term's base position and
// the number of replicas that confirm a save.
struct promotion_params {
    const struct promotion_answer *answers;
    size_t count;
    unsigned confirm;
    struct ck_position base;
};

struct promotion_choice {
    int place; // PROMOTION_NONE: nobody answered
    bool is_complete;
};

int promotion_compare(const struct ck_position *left,
                      const struct ck_position *right);
struct promotion_choice
promotion_choose(const struct promotion_params *question);

#endif
