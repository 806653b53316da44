#ifndef CATKINGRADE_SOAK_CALLER_H
#define CATKINGRADE_SOAK_CALLER_H

#include <stdint.h>

// Callers are clients of the entries. Each caller runs on its own thread,
// saves and reads numbered values under its own key in one of the databases,
// and checks the answers:
// no acknowledged save may be lost, no save that was answered as not run may
// be stored, and reads must be as fresh as their route guarantees.

struct callers;

// Starts `count` callers. The seed determines their operations.
struct callers *callers_start(int count, uint64_t seed);
// Stops all callers after their current operation and joins their threads.
void callers_stop(struct callers *callers);
// Records a failure for each value whose outcome contradicts the log of the
// current primary of its database. Inconsistent answers are recorded when they
// are seen.
void callers_check(const struct callers *callers);
// Returns the number of acknowledged saves.
uint64_t callers_count_saves(const struct callers *callers);
// Frees callers that have been stopped.
void callers_destroy(struct callers *callers);

#endif
