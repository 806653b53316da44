#ifndef CATKINGRADE_DECIDE_PROMOTION_H
#define CATKINGRADE_DECIDE_PROMOTION_H

#include <stdbool.h>
#include <stddef.h>

#include "catkingrade/rpc/messages.h"

// Choice of the database member to promote to primary. The result also says
// whether the member is known to hold every acknowledged save, that is every
// write whose success was reported to a client.

#define PROMOTION_NONE (-1)

// Answer of one member to a probe sent after the term was superseded.
struct promotion_answer {
    bool answered;
    bool is_old_primary; // primary of the superseded term
    bool is_leaving;
    bool is_barred;    // counts for the proof, and may not be promoted
    bool is_regressed; // reported a higher position before
    struct ck_position position;
};

// answers has one element per member of the database, answered or not. base is
// the position of the superseded term's primary, read after its promotion.
struct promotion_params {
    const struct promotion_answer *answers;
    size_t count;
    unsigned confirm; // replicas that confirm a save before the client's ack
    struct ck_position base;
};

struct promotion_choice {
    int index;        // in answers; PROMOTION_NONE: none may be promoted
    bool is_complete; // known to hold every acknowledged save
};

int promotion_compare(const struct ck_position *left,
                      const struct ck_position *right);
struct promotion_choice
promotion_choose(const struct promotion_params *params);

#endif
