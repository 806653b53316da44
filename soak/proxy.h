#ifndef CATKINGRADE_SOAK_PROXY_H
#define CATKINGRADE_SOAK_PROXY_H

#include <stdint.h>

// A TCP proxy on loopback, on a thread of its own, that does harm on demand.

struct proxy;

enum proxy_fault {
    PROXY_NO_FAULT,
    PROXY_DELAY,             // bytes wait, both ways
    PROXY_BLOCK_TO_TARGET,   // nothing reaches the target
    PROXY_BLOCK_FROM_TARGET, // nothing comes back
    PROXY_BLOCK_ALL,         // neither, and new connections hang
    PROXY_FAULTS_COUNT,      // number of the above
};

struct proxy *proxy_start(int target_port);
void proxy_stop(struct proxy *proxy);
int proxy_get_port(const struct proxy *proxy);
// What is held back is delivered late when the harm ends, as on a network.
void proxy_set_fault(struct proxy *proxy, enum proxy_fault harm,
                     int64_t delay_us);
// Ends all connections by a reset.
void proxy_reset(struct proxy *proxy);

#endif
