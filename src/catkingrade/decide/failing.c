#include "catkingrade/decide/failing.h"

#define FAILING_PART 8 // of a new statement in the rate
#define FAILING_HIGH 0.5
#define FAILING_LOW  0.1
// After a pause a few failures are enough for the next.
#define FAILING_TRIED    0.4
#define FAILING_FIRST_US 1000000
#define FAILING_LONG_US  8000000

// Takes the end of a statement that the upstream has run.
void
failing_note(struct failing *failing, int64_t now_us, bool failed)
{
    failing->rate += ((failed ? 1.0 : 0.0) - failing->rate) / FAILING_PART;
    if (!failed && failing->rate < FAILING_LOW) {
        failing->avoid_us = 0;
    }
    if (!failed || failing->rate <= FAILING_HIGH) {
        return;
    }
    failing->rate = FAILING_TRIED;
    failing->avoid_us =
        failing->avoid_us == 0 ? FAILING_FIRST_US : 2 * failing->avoid_us;
    if (failing->avoid_us > FAILING_LONG_US) {
        failing->avoid_us = FAILING_LONG_US;
    }
    failing->avoid_until_us = now_us + failing->avoid_us;
}

// Returns whether statements that may run elsewhere should.
bool
failing_is_avoided(const struct failing *failing, int64_t now_us)
{
    return now_us < failing->avoid_until_us;
}
