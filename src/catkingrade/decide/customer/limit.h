#ifndef CATKINGRADE_DECIDE_CUSTOMER_LIMIT_H
#define CATKINGRADE_DECIDE_CUSTOMER_LIMIT_H

#include <stdint.h>

#include "catkingrade/rpc/messages.h"

// The rate limit of a customer, and the bound that must hold for it: in each
// window, all entries together admit at most
//     (rate * window + burst) * (1 + excess) + slack
// operations.

struct limit {
    char customer[CK_NAME_SIZE + 1];
    double rate_per_s;
    double burst;
};

struct limit_bound {
    int64_t window_us;
    double excess; // a fraction
    double slack;  // operations
};

// Priorities that are told apart: 0, the most urgent, to 2.
#define LIMIT_PRIORITIES 3

// Time after which an entry gives up a call for tokens. The leader then no
// longer counts the tokens of an answer for operations that waited.
#define LIMIT_CALL_US 200000

// What is admitted without a call to the leader, and what the leader itself
// may get wrong, share the tolerance of the bound: excess and slack.
struct limit_budget {
    // Tokens that a new leader starts with, at most once in two windows.
    double initial;
    // Tokens that the leader's bucket holds at most.
    double bucket;
    // Tokens that entries hold at most, including those in answers.
    double held;
    // Time for which a token may be used after the leader has granted it.
    int64_t validity_us;
};

void limit_get_budget(const struct limit *limit,
                      const struct limit_bound *bound,
                      struct limit_budget *budget);
uint64_t limit_hash_customer(const char *customer);

#endif
