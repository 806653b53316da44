#ifndef CATKINGRADE_DECIDE_PROMOTION_CLAIM_H
#define CATKINGRADE_DECIDE_PROMOTION_CLAIM_H

#include <stdbool.h>

// Decides about an upstream that says of itself that it is the primary, while
// the next term of its database has none yet. Its word does not tell whether
// another upstream was promoted since: one that was cut off goes on claiming.
// What the log holds tells it, to every leader alike.

enum claim_verdict {
    CLAIM_FIRST,   // the database has had no primary that the log knows of
    CLAIM_KEPT,    // primary of the ended term; none was promoted since
    CLAIM_ORDERED, // its promotion is in the log, and has taken effect
    CLAIM_TRUSTED, // of an upstream that could not be made a replica
    CLAIM_UNKNOWN, // to be made a replica, and then promoted like any other
};

struct claim_params {
    // The log knows of no primary of the database, and all upstreams have been
    // asked. One that is silent may be a later primary than the claimant.
    bool is_first;
    bool is_last_primary; // of the ended term
    // Its promotion for the next term is in the log. It did not claim to be
    // the primary when that was ordered.
    bool is_ordered;
    // Some promotion for the next term may have taken effect.
    bool may_be_superseded;
    bool can_be_demoted; // a fence makes it a replica
};

enum claim_verdict claim_judge(const struct claim_params *params);
const char *claim_get_name(enum claim_verdict verdict);

#endif
