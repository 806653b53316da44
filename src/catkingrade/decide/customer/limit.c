#include "catkingrade/decide/customer/limit.h"

#include <string.h>
#include <xxhash.h>

#define LIMIT_US_PER_S 1000000.0
// Parts of the tolerance. An empty bucket of a customer without a burst must
// be able to hold whole tokens. The rest is left for operations that run later
// than they were admitted, since they wait for a slot.
#define LIMIT_INITIAL_PART 0.1
#define LIMIT_BUCKET_PART  0.1
#define LIMIT_HELD_PART    0.5
// Validity of a token, within the time in which the burst is refilled.
#define LIMIT_VALIDITY_MIN_US 1000000
#define LIMIT_VALIDITY_MAX_US 3000000

// Divides the tolerance of a limit. Let the potential be the leader's tokens
// plus all tokens that entries may still use. It grows with the rate, and
// falls with each operation; so a window admits at most the potential at its
// begin plus rate * window, plus the initial tokens of a new leader. The parts
// keep that within the bound.
//
// After a change of leader the bucket starts empty, so the potential can only
// have grown by rate * validity while tokens of the earlier leader are valid.
// A burst of that size makes up for it. With a smaller one, each of the two
// leaders gets a half of what entries may hold, and a new leader a quarter
// until the tokens of earlier ones have expired.
void
limit_get_budget(const struct limit *limit, const struct limit_bound *bound,
                 struct limit_budget *budget)
{
    double window_s = (double)bound->window_us / LIMIT_US_PER_S;
    double tolerance =
        (limit->rate_per_s * window_s + limit->burst) * bound->excess +
        bound->slack;
    double held = tolerance * LIMIT_HELD_PART;
    double validity_us = LIMIT_VALIDITY_MAX_US;

    if (limit->rate_per_s * (validity_us / LIMIT_US_PER_S) > limit->burst) {
        validity_us = limit->burst / limit->rate_per_s * LIMIT_US_PER_S;
    }
    if (validity_us < LIMIT_VALIDITY_MIN_US) {
        validity_us = LIMIT_VALIDITY_MIN_US;
    }
    budget->validity_us = (int64_t)validity_us;
    budget->initial = tolerance * LIMIT_INITIAL_PART;
    budget->bucket = limit->burst + tolerance * LIMIT_BUCKET_PART;
    budget->held = held;
    budget->held_at_start = held;
    if (limit->rate_per_s * validity_us / LIMIT_US_PER_S > limit->burst) {
        budget->held = held / 2;
        budget->held_at_start = held / 4;
    }
}

// Returns the key of a customer in tables of this folder.
uint64_t
limit_hash_customer(const char *customer)
{
    return XXH3_64bits(customer, strlen(customer));
}
