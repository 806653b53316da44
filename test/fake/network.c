#include "test/fake/network.h"

struct network {
    int64_t now_us;
};

// Returns the virtual time.
int64_t
network_get_now_us(const struct network *network)
{
    return network->now_us;
}
