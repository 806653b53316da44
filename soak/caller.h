#ifndef CATKINGRADE_SOAK_CALLER_H
#define CATKINGRADE_SOAK_CALLER_H

#include <stdbool.h>
#include <stdint.h>

#include "catkingrade/kernel/buffer.h"

// Callers, each on a thread of its own, that save and read numbered values and
// check what they are told.

struct callers;

struct callers *callers_start(int count, uint64_t seed);
// Ends the threads. What went wrong is appended to faults, a line each.
void callers_stop(struct callers *callers);
// Compares all that callers were told with the log of the present primary.
void callers_check(const struct callers *callers, struct buffer *faults);
// Saves that were acknowledged.
uint64_t callers_count_saves(const struct callers *callers);
void callers_destroy(struct callers *callers);

#endif
