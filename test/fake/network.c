#include "test/fake/network.h"

#include <stdlib.h>
#include <sys/queue.h>

#include "catkingrade/kernel/memory.h"

#define PPM 1000000

// A node's own clock: base_node_us at the virtual moment base_us, from there
// on faster or slower by ppm.
struct node {
    int64_t base_us;
    int64_t base_node_us;
    int ppm;
    bool down;
};

struct path {
    int64_t delay_us;
    bool cut;
};

// A message on its way, or an armed timer of node `to`.
struct item {
    TAILQ_ENTRY(item) link;
    int64_t at_us;
    int from;
    int to;
    void *message;      // NULL: a timer
    int64_t at_node_us; // a timer's moment on the node's own clock
    uint64_t tag;
};

TAILQ_HEAD(queue, item);

struct network {
    int64_t now_us;
    uint64_t random_state;
    int nodes_count;
    struct node *nodes;
    struct path *paths;
    struct queue queue; // in order of at_us, then of arrival
    struct network_faults faults;
    network_deliver_fn deliver;
    network_timer_fn timer;
    void *data;
    void *(*copy_message)(const void *message);
    void (*free_message)(void *message);
};

// Creates a network of nodes 0 to nodes_count - 1, all up, with no delays and
// no faults. deliver borrows the message and gets the receiver's own time;
// copy_message may be NULL when no message is to be doubled.
struct network *
network_create(uint64_t seed, int nodes_count, network_deliver_fn deliver,
               network_timer_fn timer, void *data,
               void *(*copy_message)(const void *message),
               void (*free_message)(void *message))
{
    struct network *network = xcalloc(1, sizeof(*network));
    size_t count = (size_t)nodes_count;

    TAILQ_INIT(&network->queue);
    network->random_state = seed;
    network->nodes_count = nodes_count;
    network->nodes = xcalloc(count, sizeof(*network->nodes));
    network->paths = xcalloc(count * count, sizeof(*network->paths));
    network->deliver = deliver;
    network->timer = timer;
    network->data = data;
    network->copy_message = copy_message;
    network->free_message = free_message;
    return network;
}

static void
network_remove_event(struct network *network, struct item *item)
{
    TAILQ_REMOVE(&network->queue, item, link);
    if (item->message != NULL) {
        network->free_message(item->message);
    }
    free(item);
}

// Frees the network and every message that is still on its way.
void
network_destroy(struct network *network)
{
    while (!TAILQ_EMPTY(&network->queue)) {
        network_remove_event(network, TAILQ_FIRST(&network->queue));
    }
    free(network->paths);
    free(network->nodes);
    free(network);
}

static struct path *
network_get_path(struct network *network, int from, int to)
{
    INVARIANT(from >= 0 && from < network->nodes_count);
    INVARIANT(to >= 0 && to < network->nodes_count);
    return &network->paths[from * network->nodes_count + to];
}

// Sets the delays and rates that hold for every path from now on.
void
network_set_faults(struct network *network,
                   const struct network_faults *faults)
{
    network->faults = *faults;
}

// Sets a path's own delay, to which the random one is added.
void
network_set_delay(struct network *network, int from, int to, int64_t delay_us)
{
    network_get_path(network, from, to)->delay_us = delay_us;
}

// Cuts or mends a path; messages sent or due while it is cut are lost.
void
network_set_path_down(struct network *network, int from, int to, bool cut)
{
    network_get_path(network, from, to)->cut = cut;
}

static void
network_insert_event(struct network *network, struct item *item)
{
    struct item *before = TAILQ_LAST(&network->queue, queue);

    while (before != NULL && before->at_us > item->at_us) {
        before = TAILQ_PREV(before, queue, link);
    }
    if (before == NULL) {
        TAILQ_INSERT_HEAD(&network->queue, item, link);
    }
    else {
        TAILQ_INSERT_AFTER(&network->queue, before, item, link);
    }
}

static void
network_schedule_message(struct network *network, int from, int to,
                         void *message)
{
    const struct network_faults *faults = &network->faults;
    int64_t spread_us = faults->delay_max_us - faults->delay_min_us;
    int64_t delay_us =
        network_get_path(network, from, to)->delay_us + faults->delay_min_us;

    if (spread_us > 0) {
        uint64_t random = network_get_random(network);
        delay_us += (int64_t)(random % (uint64_t)(spread_us + 1));
    }
    struct item *item = xcalloc(1, sizeof(*item));
    item->at_us = network->now_us + delay_us;
    item->from = from;
    item->to = to;
    item->message = message;
    network_insert_event(network, item);
}

// Sends a message, of which the network takes ownership.
void
network_send(struct network *network, int from, int to, void *message)
{
    uint64_t drop = network_get_random(network) % PPM;
    uint64_t twice = network_get_random(network) % PPM;

    if (network->nodes[from].down ||
        network_get_path(network, from, to)->cut ||
        drop < network->faults.drop_ppm) {
        network->free_message(message);
        return;
    }
    if (network->copy_message != NULL &&
        twice < network->faults.duplicate_ppm) {
        network_schedule_message(network, from, to,
                                 network->copy_message(message));
    }
    network_schedule_message(network, from, to, message);
}

// Returns the virtual moment of a moment of the node's own clock, rounded up.
static int64_t
network_get_virtual_time_us(const struct network *network, int node,
                            int64_t own_us)
{
    const struct node *clock = &network->nodes[node];
    int64_t rate = PPM + clock->ppm;
    int64_t ahead_us = own_us - clock->base_node_us;

    if (ahead_us <= 0) {
        return network->now_us;
    }
    int64_t at_us = clock->base_us +
                    (int64_t)(((__int128)ahead_us * PPM + rate - 1) / rate);
    return at_us > network->now_us ? at_us : network->now_us;
}

// Arms a timer of a node that is up; one in the past fires at once.
void
network_set_timer(struct network *network, int node, uint64_t tag,
                  int64_t at_us)
{
    struct item *item;

    TAILQ_FOREACH(item, &network->queue, link)
    {
        if (item->message == NULL && item->to == node && item->tag == tag) {
            network_remove_event(network, item);
            break;
        }
    }
    if (network->nodes[node].down) {
        return;
    }
    item = xcalloc(1, sizeof(*item));
    item->at_us = network_get_virtual_time_us(network, node, at_us);
    item->to = node;
    item->at_node_us = at_us;
    item->tag = tag;
    network_insert_event(network, item);
}

// Moves all timers of a node into list.
static void
network_extract_timers(struct network *network, int node, struct queue *list)
{
    struct item *item = TAILQ_FIRST(&network->queue);

    TAILQ_INIT(list);
    while (item != NULL) {
        struct item *next = TAILQ_NEXT(item, link);
        if (item->message == NULL && item->to == node) {
            TAILQ_REMOVE(&network->queue, item, link);
            TAILQ_INSERT_TAIL(list, item, link);
        }
        item = next;
    }
}

// Stops or starts a node. One that is down receives nothing and loses its
// timers; what it sent before is still delivered.
void
network_set_node_down(struct network *network, int node, bool down)
{
    struct queue timers;
    struct item *item;

    network->nodes[node].down = down;
    network_extract_timers(network, node, &timers);
    while ((item = TAILQ_FIRST(&timers)) != NULL) {
        TAILQ_REMOVE(&timers, item, link);
        free(item);
    }
}

// Changes the rate of a node's clock from now on; armed timers follow it.
void
network_set_clock_ppm(struct network *network, int node, int ppm)
{
    struct node *clock = &network->nodes[node];
    struct queue timers;
    struct item *item;

    clock->base_node_us = network_get_node_now_us(network, node);
    clock->base_us = network->now_us;
    clock->ppm = ppm;
    network_extract_timers(network, node, &timers);
    while ((item = TAILQ_FIRST(&timers)) != NULL) {
        TAILQ_REMOVE(&timers, item, link);
        item->at_us =
            network_get_virtual_time_us(network, node, item->at_node_us);
        network_insert_event(network, item);
    }
}

// Returns the virtual time.
int64_t
network_get_now_us(const struct network *network)
{
    return network->now_us;
}

// Returns the time of a node's own clock.
int64_t
network_get_node_now_us(const struct network *network, int node)
{
    const struct node *clock = &network->nodes[node];
    int64_t passed_us = network->now_us - clock->base_us;

    return clock->base_node_us +
           (int64_t)((__int128)passed_us * (PPM + clock->ppm) / PPM);
}

// Returns the next number of the seeded sequence (splitmix64).
uint64_t
network_get_random(struct network *network)
{
    uint64_t value = network->random_state += 0x9e3779b97f4a7c15;

    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
    return value ^ (value >> 31);
}

static void
network_run_event(struct network *network, struct item *item)
{
    int64_t own_us = network_get_node_now_us(network, item->to);

    if (item->message == NULL) {
        network->timer(network->data, own_us, item->to, item->tag);
    }
    else if (!network->nodes[item->to].down &&
             !network_get_path(network, item->from, item->to)->cut) {
        network->deliver(network->data, own_us, item->from, item->to,
                         item->message);
    }
}

// Runs what is due until the virtual moment, then stands at that moment.
// Returns how many messages and timers were taken from the queue.
size_t
network_run_until(struct network *network, int64_t until_us)
{
    struct item *item;
    size_t count = 0;

    while ((item = TAILQ_FIRST(&network->queue)) != NULL &&
           item->at_us <= until_us) {
        struct item due = *item;
        TAILQ_REMOVE(&network->queue, item, link);
        free(item);
        network->now_us = due.at_us;
        network_run_event(network, &due);
        if (due.message != NULL) {
            network->free_message(due.message);
        }
        count++;
    }
    if (until_us > network->now_us) {
        network->now_us = until_us;
    }
    return count;
}
