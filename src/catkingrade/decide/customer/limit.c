#include "catkingrade/decide/customer/limit.h"

#include <string.h>
#include <xxhash.h>

#define LIMIT_US_PER_S 1000000.0
// Parts of the slack and of the excess. A small customer, whose tolerance is
// mostly slack, rarely has tokens in stock, and its operations come in bursts.
// The rest is left for operations that run later than they were admitted,
// since they wait for a slot.
#define LIMIT_INITIAL_PART       0.2
#define LIMIT_BUCKET_SLACK_PART  0.5
#define LIMIT_BUCKET_EXCESS_PART 0.2
#define LIMIT_HELD_SLACK_PART    0.25
#define LIMIT_HELD_EXCESS_PART   0.5
#define LIMIT_VALIDITY_MAX_US    3000000

// With less than one token nothing could be granted.
static double
limit_at_least_one(double tokens)
{
    return tokens < 1 ? 1 : tokens;
}

// Divides the tolerance of a limit. Let the potential be the leader's tokens
// plus all tokens that entries may still use. It grows with the rate and falls
// with each operation; so a window admits at most the potential at its begin
// plus rate * window, plus the initial tokens of a new leader. The parts keep
// that within the bound.
//
// After a change of leader the bucket starts empty, so what the new leader has
// and has granted grows with the rate. It stays below what the bucket may hold
// until the tokens of the earlier leader have expired: this limits the
// validity of a token.
void
limit_get_budget(const struct limit *limit, const struct limit_bound *bound,
                 struct limit_budget *budget)
{
    double window_s = (double)bound->window_us / LIMIT_US_PER_S;
    double excess =
        (limit->rate_per_s * window_s + limit->burst) * bound->excess;

    budget->initial = (excess + bound->slack) * LIMIT_INITIAL_PART;
    budget->bucket = limit_at_least_one(
        limit->burst + bound->slack * LIMIT_BUCKET_SLACK_PART +
        excess * LIMIT_BUCKET_EXCESS_PART);
    budget->held = limit_at_least_one(bound->slack * LIMIT_HELD_SLACK_PART +
                                      excess * LIMIT_HELD_EXCESS_PART);
    double validity_us = budget->bucket / limit->rate_per_s * LIMIT_US_PER_S;
    budget->validity_us = validity_us > LIMIT_VALIDITY_MAX_US
                              ? LIMIT_VALIDITY_MAX_US
                              : (int64_t)validity_us;
}

// Returns the key of a customer in tables of this folder.
uint64_t
limit_hash_customer(const char *customer)
{
    return XXH3_64bits(customer, strlen(customer));
}
