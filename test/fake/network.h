#ifndef TEST_FAKE_NETWORK_H
#define TEST_FAKE_NETWORK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

// Deterministic network simulation for replay tests: a virtual clock and a
// queue of messages and timers, which run in order of virtual time. Messages
// can be delayed, dropped, duplicated and reordered; paths and nodes can be
// down. Nodes are numbered from 0, and each has a clock of its own that can
// run fast or slow. All random decisions come from the seed, so the same seed
// and the same calls give the same run.
//
// Times are in microseconds. "Virtual time" is the simulation's time, and
// "node time" is the time that a node's own clock shows.
struct network;

// Handles a message that arrives at node to. now_us is the node time of the
// receiver. The network frees the message after the call.
typedef void (*network_deliver_fn)(void *data, int64_t now_us, int from,
                                   int to, void *message);
// Handles a timer of a node that expired. now_us is the node time.
typedef void (*network_timer_fn)(void *data, int64_t now_us, int node,
                                 uint64_t tag);

// Random faults on all paths. Each message gets a uniformly distributed delay
// in [delay_min_us, delay_max_us] on top of the path's fixed delay.
struct network_faults {
    int64_t delay_min_us;
    int64_t delay_max_us;
    unsigned drop_ppm;      // messages lost, per million
    unsigned duplicate_ppm; // messages delivered twice, per million
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
// Affects only the direction from one node to the other.
void network_set_path_down(struct network *network, int from, int to,
                           bool down);
void network_set_node_down(struct network *network, int node, bool down);
// A node that is frozen handles nothing until until_us, a virtual time. Then
// it handles the messages that have arrived, and then the timers that have
// expired. Its clock goes on. A freeze does not end an earlier one.
void network_freeze_node(struct network *network, int node, int64_t until_us);
bool network_is_node_frozen(const struct network *network, int node);
// ppm above 0 makes the node's clock run faster than virtual time.
void network_set_clock_ppm(struct network *network, int node, int ppm);
// Takes ownership of the message.
void network_send(struct network *network, int from, int to, void *message);
// at_us is a node time. A new timer replaces the node's pending timer with the
// same tag.
void network_set_timer(struct network *network, int node, uint64_t tag,
                       int64_t at_us);
int64_t network_get_now_us(const struct network *network);
int64_t network_get_node_now_us(const struct network *network, int node);
uint64_t network_get_random(struct network *network);
// until_us is a virtual time. Returns the number of events that ran.
size_t network_run_until(struct network *network, int64_t until_us);

#endif
