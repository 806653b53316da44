#ifndef CATKINGRADE_DECIDE_PROMOTION_ORDERED_H
#define CATKINGRADE_DECIDE_PROMOTION_ORDERED_H

#include <stdbool.h>
#include <stdint.h>

// Decides about a promotion that may still take effect, because its order has
// been in the log since an earlier leader, or its answer was lost. Another
// upstream must not become the primary before: two would be promoted for one
// term, and what the first of them acknowledges could be lost.

enum ordered_step {
    ORDERED_CHOOSE,   // it takes effect no more: choose any upstream
    ORDERED_CONTINUE, // order the same upstream again
    ORDERED_WAIT,     // until settle_us have passed
};

struct ordered_params {
    bool is_member;    // the upstream still belongs to the database
    bool answers;      // it has answered a probe of this phase
    bool is_regressed; // it has lost part of its log
    bool is_refused;   // the order was answered as not run
    int64_t waited_us; // since the order, or since this leader's election
    int64_t settle_us; // longest time from an order to its effect
};

enum ordered_step ordered_decide(const struct ordered_params *params);

#endif
