#include "catkingrade/decide/traffic/fair_queue.h"

#include <stdlib.h>

#include "catkingrade/kernel/memory.h"

// Slot time by which a customer may be ahead of the one that has used the
// least and still be served in the order of urgency. It is that of several
// statements, so that urgency decides unless a customer keeps sending more
// than its share.
#define FAIR_QUEUE_WINDOW_US (50.0 * SCHEDULER_MS_US)
// Bound of what a customer has to make up for, which is reached by slots that
// idle transactions hold.
#define FAIR_QUEUE_DEBT_MAX_US (4 * FAIR_QUEUE_WINDOW_US)
#define FAIR_QUEUE_TURN        8
#define FAIR_QUEUE_TYPE_BITS   8 // of the index of a type in a queue's key

_Static_assert(CUSTOMER_QUEUES == QUEUE_COUNT,
               "a customer has a virtual time for each kind of queue");

static uint64_t
fair_queue_get_key(uint32_t customer, uint8_t type, enum queue_kind kind)
{
    uint64_t key = (uint64_t)customer << FAIR_QUEUE_TYPE_BITS | type;

    return key * QUEUE_COUNT + kind;
}

// Returns the queue of a customer, type and kind, or NULL if it is empty.
static const struct fair_queue *
fair_queue_find(const struct scheduler *scheduler, uint32_t customer,
                uint8_t type, enum queue_kind kind)
{
    if (customer == CUSTOMER_NONE) {
        return &scheduler->types[type].queues[kind].unowned;
    }
    return id_map_get(&scheduler->fair_queues,
                      fair_queue_get_key(customer, type, kind));
}

// Returns the queue of a customer, type and kind, which is created if it is
// empty.
static struct fair_queue *
fair_queue_get_or_create(struct scheduler *scheduler, uint32_t customer,
                         uint8_t type, enum queue_kind kind)
{
    if (customer == CUSTOMER_NONE) {
        return &scheduler->types[type].queues[kind].unowned;
    }
    uint64_t key = fair_queue_get_key(customer, type, kind);
    struct fair_queue *queue = id_map_get(&scheduler->fair_queues, key);
    if (queue == NULL) {
        queue = xcalloc(1, sizeof(*queue));
        id_map_put(&scheduler->fair_queues, key, queue);
    }
    return queue;
}

// Frees the memory of all queues of customers.
void
fair_queue_free_all(struct scheduler *scheduler)
{
    for (size_t i = 0; i < scheduler->fair_queues.capacity; i++) {
        free(scheduler->fair_queues.items[i]);
    }
    id_map_free(&scheduler->fair_queues);
}

// Adds a queue to those that wait. Its customer continues from the lowest
// virtual time of those.
static void
fair_queue_begin(struct scheduler *scheduler, struct fair_queue *queue)
{
    struct customer *customer = scheduler->customers.items[queue->customer];
    double *virtual_us = &customer->virtual_us[queue->kind];
    double lowest_us = scheduler->fair_us[queue->kind];

    if (*virtual_us < lowest_us) {
        *virtual_us = lowest_us;
    }
    if (*virtual_us > lowest_us + FAIR_QUEUE_DEBT_MAX_US) {
        *virtual_us = lowest_us + FAIR_QUEUE_DEBT_MAX_US;
    }
    queue->previous = NULL;
    queue->next = scheduler->fair_first[queue->kind];
    if (queue->next != NULL) {
        queue->next->previous = queue;
    }
    scheduler->fair_first[queue->kind] = queue;
    scheduler->types[queue->type].queues[queue->kind].fair_count++;
}

static void
fair_queue_end(struct scheduler *scheduler, struct fair_queue *queue)
{
    if (queue->previous != NULL) {
        queue->previous->next = queue->next;
    }
    else {
        scheduler->fair_first[queue->kind] = queue->next;
    }
    if (queue->next != NULL) {
        queue->next->previous = queue->previous;
    }
    scheduler->types[queue->type].queues[queue->kind].fair_count--;
    if (queue->customer != CUSTOMER_NONE) {
        free(id_map_remove(
            &scheduler->fair_queues,
            fair_queue_get_key(queue->customer, queue->type, queue->kind)));
    }
}

// Appends a request to the queue of its customer, type and kind.
void
fair_queue_add(struct scheduler *scheduler, struct request *request,
               enum queue_kind kind)
{
    struct fair_queue *queue = fair_queue_get_or_create(
        scheduler, request->customer, request->type, kind);

    if (queue->count == 0) {
        queue->customer = request->customer;
        queue->type = request->type;
        queue->kind = kind;
        fair_queue_begin(scheduler, queue);
    }
    request->fair = queue;
    request->fair_next = NULL;
    request->fair_previous = queue->last;
    if (queue->last != NULL) {
        queue->last->fair_next = request;
    }
    else {
        queue->first = request;
    }
    queue->last = request;
    queue->count++;
}

// Removes a request from its queue, which is freed if it becomes empty.
void
fair_queue_remove(struct scheduler *scheduler, struct request *request)
{
    struct fair_queue *queue = request->fair;

    if (request->fair_previous != NULL) {
        request->fair_previous->fair_next = request->fair_next;
    }
    else {
        queue->first = request->fair_next;
    }
    if (request->fair_next != NULL) {
        request->fair_next->fair_previous = request->fair_previous;
    }
    else {
        queue->last = request->fair_previous;
    }
    request->fair = NULL;
    if (--queue->count == 0) {
        fair_queue_end(scheduler, queue);
    }
}

// Returns the virtual time of the customer of a queue.
static double
fair_queue_get_virtual_us(const struct scheduler *scheduler,
                          const struct fair_queue *queue)
{
    return scheduler->customers.items[queue->customer]
        ->virtual_us[queue->kind];
}

// Raises the lowest virtual time of a kind to that of the customers that wait.
static void
fair_queue_update_lowest(struct scheduler *scheduler, enum queue_kind kind)
{
    const struct fair_queue *queue = scheduler->fair_first[kind];

    if (queue == NULL) {
        return;
    }
    double lowest_us = fair_queue_get_virtual_us(scheduler, queue);
    for (; queue != NULL; queue = queue->next) {
        double virtual_us = fair_queue_get_virtual_us(scheduler, queue);
        if (virtual_us < lowest_us) {
            lowest_us = virtual_us;
        }
    }
    if (lowest_us > scheduler->fair_us[kind]) {
        scheduler->fair_us[kind] = lowest_us;
    }
}

// Returns whether queue a is served before queue b. turn: the longest waiting
// request is next.
static bool
fair_queue_precedes(const struct scheduler *scheduler,
                    const struct fair_queue *a, const struct fair_queue *b,
                    bool turn)
{
    double virtual_a_us = fair_queue_get_virtual_us(scheduler, a);
    double virtual_b_us = fair_queue_get_virtual_us(scheduler, b);
    double limit_us = scheduler->fair_us[a->kind] + FAIR_QUEUE_WINDOW_US;
    uint32_t weight_a = scheduler->types[a->type].weight;
    uint32_t weight_b = scheduler->types[b->type].weight;

    if ((virtual_a_us > limit_us) != (virtual_b_us > limit_us)) {
        return virtual_a_us <= limit_us;
    }
    if (!turn && weight_a != weight_b) {
        return weight_a > weight_b;
    }
    if (!turn && virtual_a_us != virtual_b_us) {
        return virtual_a_us < virtual_b_us;
    }
    return a->first->arrived_us < b->first->arrived_us;
}

// Returns the queue that is served next, or NULL when no queue of this kind
// can start a request in the present dispatch round.
struct fair_queue *
fair_queue_pick(struct scheduler *scheduler, enum queue_kind kind)
{
    bool turn =
        scheduler->fair_starts[kind] % FAIR_QUEUE_TURN == FAIR_QUEUE_TURN - 1;
    struct fair_queue *best = NULL;

    fair_queue_update_lowest(scheduler, kind);
    for (struct fair_queue *queue = scheduler->fair_first[kind]; queue != NULL;
         queue = queue->next) {
        if (queue->blocked_round != scheduler->round &&
            (best == NULL ||
             fair_queue_precedes(scheduler, queue, best, turn))) {
            best = queue;
        }
    }
    return best;
}

// Returns how many requests of its customer and type wait before a new one.
uint32_t
fair_queue_count(const struct scheduler *scheduler,
                 const struct request *request, enum queue_kind kind)
{
    const struct fair_queue *queue =
        fair_queue_find(scheduler, request->customer, request->type, kind);

    return queue == NULL ? 0 : queue->count;
}

// Returns the slot time of the queued requests that are served before a new
// request: of each other customer at most as many as of its own, and of types
// that are at least as urgent.
double
fair_queue_get_work_us(const struct scheduler *scheduler,
                       const struct request *request, enum queue_kind kind)
{
    const struct request_type *types = scheduler->types;
    uint32_t position = fair_queue_count(scheduler, request, kind) + 1;
    double work_us = 0;

    for (const struct fair_queue *queue = scheduler->fair_first[kind];
         queue != NULL; queue = queue->next) {
        uint32_t before = queue->count < position ? queue->count : position;
        if (types[queue->type].weight >= types[request->type].weight) {
            work_us += before * types[queue->type].service_us;
        }
    }
    return work_us;
}

// Adds the expected slot time of a request that is sent on a connection to the
// virtual time of its customer. The connection keeps the customer, also for
// the transaction that the request may begin.
void
fair_queue_charge(struct scheduler *scheduler, struct conn *conn,
                  const struct request *request, enum queue_kind kind)
{
    if (conn->user != request->customer) {
        customer_table_reference(&scheduler->customers, request->customer);
        customer_table_release(&scheduler->customers, conn->user);
        conn->user = request->customer;
    }
    conn->kind = kind;
    conn->charged_us = scheduler->types[request->type].service_us;
    scheduler->customers.items[conn->user]->virtual_us[kind] +=
        conn->charged_us;
    scheduler->fair_starts[kind]++;
}

// Corrects the virtual time of a customer when its statement or transaction
// frees a slot: by the time for which the slot was in use, less what was
// charged before.
void
fair_queue_settle(struct scheduler *scheduler, struct conn *conn)
{
    double used_us = (double)(scheduler->now_us - conn->since_us);

    scheduler->customers.items[conn->user]->virtual_us[conn->kind] +=
        used_us - conn->charged_us;
    conn->charged_us = 0;
}
