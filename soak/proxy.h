#ifndef CATKINGRADE_SOAK_PROXY_H
#define CATKINGRADE_SOAK_PROXY_H

#include <stdint.h>

// TCP proxy for fault injection. It runs on its own thread, listens on a
// loopback port and forwards each connection to a target port on loopback.
// Faults delay or block the traffic, or reset the connections.

struct proxy;

enum proxy_fault {
    PROXY_NO_FAULT,
    PROXY_DELAY,             // bytes are delayed in both directions
    PROXY_BLOCK_TO_TARGET,   // bytes to the target are held back
    PROXY_BLOCK_FROM_TARGET, // bytes from the target are held back
    PROXY_BLOCK_ALL,         // both, and connections aren't accepted
    PROXY_FAULTS_COUNT,      // number of values above
};

// Starts a proxy in front of a local port. Aborts when it can't listen.
struct proxy *proxy_start(int target_port);
// Ends all connections and the thread, and frees the proxy.
void proxy_stop(struct proxy *proxy);
// Returns the port that the proxy listens on.
int proxy_get_port(const struct proxy *proxy);
// Starts a fault, which replaces the one before, or ends it with
// PROXY_NO_FAULT. Bytes that were held back are delivered when the fault ends,
// as a network delivers retransmitted packets. delay_us applies to
// PROXY_DELAY.
void proxy_set_fault(struct proxy *proxy, enum proxy_fault fault,
                     int64_t delay_us);
// Resets all open connections at the next round of the proxy thread.
void proxy_reset(struct proxy *proxy);

#endif
