#ifndef CATKINGRADE_DECIDE_RANDOM_H
#define CATKINGRADE_DECIDE_RANDOM_H

#include <stdint.h>

// Deterministic pseudorandom numbers (SplitMix64). The same initial state
// gives the same sequence, so that tests can repeat a run. Not
// cryptographically secure.

uint64_t random_next(uint64_t *state);
uint32_t random_below(uint64_t *state, uint32_t limit);

#endif
