#include "catkingrade/decide/random.h"

// Returns the next number of the sequence and advances *state.
uint64_t
random_next(uint64_t *state)
{
    uint64_t value = *state += UINT64_C(0x9e3779b97f4a7c15);

    value = (value ^ (value >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
    value = (value ^ (value >> 27)) * UINT64_C(0x94d049bb133111eb);
    return value ^ (value >> 31);
}

// Returns a number from 0 to limit - 1. limit must be above 0.
uint32_t
random_below(uint64_t *state, uint32_t limit)
{
    return (uint32_t)(((random_next(state) >> 32) * limit) >> 32);
}
