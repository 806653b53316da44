#ifndef TEST_FAKE_NETWORK_H
#define TEST_FAKE_NETWORK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

// A virtual clock and a queue of messages that can be delayed, dropped,
// doubled, reordered and cut. Nodes are small numbers. Deterministic: the
// seed decides everything.
struct network;

typedef void (*network_deliver_fn)(void *data, int64_t now_us, int from,
                                   int to, void *message);
typedef void (*network_timer_fn)(void *data, int64_t now_us, int node,
                                 uint64_t tag);

struct network_faults {
    int64_t delay_min_us;
    int64_t delay_max_us;
    unsigned drop_ppm;
    unsigned duplicate_ppm;
};

struct network *network_create(uint64_t seed, int nodes_count,
                               network_deliver_fn deliver,
                               network_timer_fn timer, void *data,
                               void *(*copy_message)(const void *message),
                               void (*free_message)(void *message));
void network_destroy(struct network *network);
void network_set_faults(struct network *network,
                        const struct network_faults *faults);
void network_set_delay(struct network *network, int from, int to,
                       int64_t delay_us);
// Cuts or mends the one-way path from one node to another.
void network_set_path_down(struct network *network, int from, int to,
                           bool cut);
void network_set_node_down(struct network *network, int node, bool down);
// A node's clock runs faster (above 0) or slower than the virtual one.
void network_set_clock_ppm(struct network *network, int node, int ppm);
// Takes ownership of message.
void network_send(struct network *network, int from, int to, void *message);
// Fires at a moment of the node's own clock; a later one with the same tag
// replaces it.
void network_set_timer(struct network *network, int node, uint64_t tag,
                       int64_t at_us);
int64_t network_get_now_us(const struct network *network);
int64_t network_get_node_now_us(const struct network *network, int node);
uint64_t network_get_random(struct network *network);
// Runs events until the virtual moment; returns how many ran.
size_t network_run_until(struct network *network, int64_t until_us);

#endif
