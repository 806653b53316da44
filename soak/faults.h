#ifndef CATKINGRADE_SOAK_FAULTS_H
#define CATKINGRADE_SOAK_FAULTS_H

#include <stdbool.h>
#include <stdint.h>

// Unplanned faults, up to three at a time: killed and frozen daemons, lost
// disks, failed upstreams and impaired connections; also single planned stops
// and new configurations between them.

// Sets the seed, which determines the faults, and starts the proxies before
// the upstreams.
void faults_start(uint64_t seed);
// Stops the proxies.
void faults_stop(void);
// Ends the faults that are due. begin: whether others may begin.
void faults_step(bool begin);
// Ends all faults.
void faults_finish(void);
// Returns whether an upstream, by the number in its id, is stopped by a fault.
bool faults_has_upstream(int id);
// Prints how often each kind of fault was injected.
void faults_print(void);

#endif
