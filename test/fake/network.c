#include "test/fake/network.h"

#include <stdlib.h>
#include <sys/queue.h>

#include "catkingrade/kernel/memory.h"

#define PPM 1000000

// A node and its clock: the clock shows base_node_us at virtual time base_us
// and runs ppm parts per million faster than virtual time from then on.
struct node {
    int64_t base_us;
    int64_t base_node_us;
    int ppm;
    bool down;
    int64_t frozen_until_us;
};

// The one-way path between two nodes.
struct path {
    int64_t delay_us;
    bool down;
};

// A message in flight, or a pending timer of node `to`.
struct event {
    TAILQ_ENTRY(event) link;
    int64_t at_us;
    int from;
    int to;
    void *message;      // NULL: this is a timer
    int64_t at_node_us; // node time at which the timer expires
    uint64_t tag;
};

TAILQ_HEAD(event_queue, event);

struct network {
    int64_t now_us;
    uint64_t random_state;
    int nodes_count;
    struct node *nodes;
    struct path *paths;
    struct event_queue queue; // sorted by at_us, then by insertion
    struct network_faults faults;
    network_deliver_fn deliver;
    network_timer_fn timer;
    void *data;
    void *(*copy_message)(const void *message);
    void (*free_message)(void *message);
};

// Creates a network of nodes 0 to nodes_count - 1. All nodes and paths are up,
// without delays or faults. data is passed to deliver and timer. copy_message
// duplicates a message; if it is NULL, messages are never duplicated.
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
network_remove_event(struct network *network, struct event *event)
{
    TAILQ_REMOVE(&network->queue, event, link);
    if (event->message != NULL) {
        network->free_message(event->message);
    }
    free(event);
}

// Frees the network and all messages in flight.
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

// Sets the random faults for all messages sent from now on.
void
network_set_faults(struct network *network,
                   const struct network_faults *faults)
{
    network->faults = *faults;
}

// Sets the fixed delay of a path, to which the random delay is added.
void
network_set_delay(struct network *network, int from, int to, int64_t delay_us)
{
    network_get_path(network, from, to)->delay_us = delay_us;
}

// Takes a path down or brings it up. Messages that are sent, or due for
// delivery, while the path is down are lost.
void
network_set_path_down(struct network *network, int from, int to, bool down)
{
    network_get_path(network, from, to)->down = down;
}

// Inserts an event after all events that are due at the same time or earlier.
static void
network_insert_event(struct network *network, struct event *event)
{
    struct event *before = TAILQ_LAST(&network->queue, event_queue);

    while (before != NULL && before->at_us > event->at_us) {
        before = TAILQ_PREV(before, event_queue, link);
    }
    if (before == NULL) {
        TAILQ_INSERT_HEAD(&network->queue, event, link);
    }
    else {
        TAILQ_INSERT_AFTER(&network->queue, before, event, link);
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
    struct event *event = xcalloc(1, sizeof(*event));
    event->at_us = network->now_us + delay_us;
    event->from = from;
    event->to = to;
    event->message = message;
    network_insert_event(network, event);
}

// Sends a message and takes ownership of it. The message is lost if the sender
// or the path is down, and it may be dropped or duplicated at random.
void
network_send(struct network *network, int from, int to, void *message)
{
    uint64_t drop = network_get_random(network) % PPM;
    uint64_t duplicate = network_get_random(network) % PPM;

    if (network->nodes[from].down ||
        network_get_path(network, from, to)->down ||
        drop < network->faults.drop_ppm) {
        network->free_message(message);
        return;
    }
    if (network->copy_message != NULL &&
        duplicate < network->faults.duplicate_ppm) {
        network_schedule_message(network, from, to,
                                 network->copy_message(message));
    }
    network_schedule_message(network, from, to, message);
}

// Converts a node time to the virtual time at which the node's clock shows it,
// rounded up. A time in the past gives the current virtual time.
static int64_t
network_get_virtual_time_us(const struct network *network, int node,
                            int64_t node_us)
{
    const struct node *clock = &network->nodes[node];
    int64_t rate = PPM + clock->ppm;
    int64_t ahead_us = node_us - clock->base_node_us;

    if (ahead_us <= 0) {
        return network->now_us;
    }
    int64_t at_us = clock->base_us +
                    (int64_t)(((__int128)ahead_us * PPM + rate - 1) / rate);
    return at_us > network->now_us ? at_us : network->now_us;
}

// Sets a timer of a node. A timer whose time has passed expires at the current
// virtual time. A node that is down gets no timer.
void
network_set_timer(struct network *network, int node, uint64_t tag,
                  int64_t at_us)
{
    struct event *event;

    TAILQ_FOREACH(event, &network->queue, link)
    {
        if (event->message == NULL && event->to == node && event->tag == tag) {
            network_remove_event(network, event);
            break;
        }
    }
    if (network->nodes[node].down) {
        return;
    }
    event = xcalloc(1, sizeof(*event));
    event->at_us = network_get_virtual_time_us(network, node, at_us);
    event->to = node;
    event->at_node_us = at_us;
    event->tag = tag;
    network_insert_event(network, event);
}

// Moves all timers of a node from the queue to a list.
static void
network_extract_timers(struct network *network, int node,
                       struct event_queue *list)
{
    struct event *event = TAILQ_FIRST(&network->queue);

    TAILQ_INIT(list);
    while (event != NULL) {
        struct event *next = TAILQ_NEXT(event, link);
        if (event->message == NULL && event->to == node) {
            TAILQ_REMOVE(&network->queue, event, link);
            TAILQ_INSERT_TAIL(list, event, link);
        }
        event = next;
    }
}

// Takes a node down or brings it up; either way its timers are removed. A node
// that is down receives no messages. Messages that it sent earlier are still
// delivered.
void
network_set_node_down(struct network *network, int node, bool down)
{
    struct event_queue timers;
    struct event *event;

    network->nodes[node].down = down;
    network_extract_timers(network, node, &timers);
    while ((event = TAILQ_FIRST(&timers)) != NULL) {
        TAILQ_REMOVE(&timers, event, link);
        free(event);
    }
}

void
network_freeze_node(struct network *network, int node, int64_t until_us)
{
    struct node *frozen = &network->nodes[node];

    if (until_us > frozen->frozen_until_us) {
        frozen->frozen_until_us = until_us;
    }
}

bool
network_is_node_frozen(const struct network *network, int node)
{
    return network->now_us < network->nodes[node].frozen_until_us;
}

// Changes the rate of a node's clock from now on. Pending timers of the node
// move to the virtual time that matches their node time at the new rate.
void
network_set_clock_ppm(struct network *network, int node, int ppm)
{
    struct node *clock = &network->nodes[node];
    struct event_queue timers;
    struct event *event;

    clock->base_node_us = network_get_node_now_us(network, node);
    clock->base_us = network->now_us;
    clock->ppm = ppm;
    network_extract_timers(network, node, &timers);
    while ((event = TAILQ_FIRST(&timers)) != NULL) {
        TAILQ_REMOVE(&timers, event, link);
        event->at_us =
            network_get_virtual_time_us(network, node, event->at_node_us);
        network_insert_event(network, event);
    }
}

// Returns the current virtual time.
int64_t
network_get_now_us(const struct network *network)
{
    return network->now_us;
}

// Returns the current time of a node's clock.
int64_t
network_get_node_now_us(const struct network *network, int node)
{
    const struct node *clock = &network->nodes[node];
    int64_t elapsed_us = network->now_us - clock->base_us;

    return clock->base_node_us +
           (int64_t)((__int128)elapsed_us * (PPM + clock->ppm) / PPM);
}

// Returns the next number of the seeded pseudorandom sequence (splitmix64).
uint64_t
network_get_random(struct network *network)
{
    uint64_t value = network->random_state += 0x9e3779b97f4a7c15;

    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
    return value ^ (value >> 31);
}

static void
network_run_event(struct network *network, struct event *event)
{
    int64_t node_us = network_get_node_now_us(network, event->to);

    if (event->message == NULL) {
        network->timer(network->data, node_us, event->to, event->tag);
    }
    else if (!network->nodes[event->to].down &&
             !network_get_path(network, event->from, event->to)->down) {
        network->deliver(network->data, node_us, event->from, event->to,
                         event->message);
    }
}

// Postpones an event of a node that is frozen until the node handles it.
// Returns false if the node is not frozen.
static bool
network_postpone_event(struct network *network, struct event *event)
{
    int64_t frozen_until_us = network->nodes[event->to].frozen_until_us;

    if (event->at_us >= frozen_until_us) {
        return false;
    }
    TAILQ_REMOVE(&network->queue, event, link);
    event->at_us = frozen_until_us + (event->message == NULL ? 1 : 0);
    network_insert_event(network, event);
    return true;
}

// Runs all events that are due until the given virtual time, then sets the
// virtual time to it. Returns the number of messages and timers that were due,
// including messages that are lost because the receiver or the path is down.
size_t
network_run_until(struct network *network, int64_t until_us)
{
    struct event *event;
    size_t count = 0;

    while ((event = TAILQ_FIRST(&network->queue)) != NULL &&
           event->at_us <= until_us) {
        if (network_postpone_event(network, event)) {
            continue;
        }
        struct event due = *event;
        TAILQ_REMOVE(&network->queue, event, link);
        free(event);
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
