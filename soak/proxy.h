#ifndef CATKINGRADE_SOAK_PROXY_H
#define CATKINGRADE_SOAK_PROXY_H

#include <stdint.h>

// A TCP proxy on loopback, on a thread of its own, that does harm on demand.

struct proxy;

enum proxy_harm {
    PROXY_WELL,
    PROXY_DELAYED,    // bytes wait, both ways
    PROXY_CUT_TO,     // nothing reaches the target
    PROXY_CUT_FROM,   // nothing comes back
    PROXY_SILENT,     // neither, and new connections hang
    PROXY_HARM_COUNT, // number of the above
};

struct proxy *proxy_start(int target_port);
void proxy_stop(struct proxy *proxy);
int proxy_get_port(const struct proxy *proxy);
// What is held back is delivered late when the harm ends, as on a network.
void proxy_set_harm(struct proxy *proxy, enum proxy_harm harm,
                    int64_t delay_us);
// Ends all connections by a reset.
void proxy_reset(struct proxy *proxy);

#endif
