#include "catkingrade/rpc/call_queue.h"

#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/memory.h"

struct call_queue {
    int64_t max_wait_us;
    size_t max_bytes;
    size_t bytes; // of all bodies
    struct queued_call *first;
    struct queued_call **tail;
};

// Creates an empty queue. Calls that have waited for longer than max_wait_us
// are dropped, and the oldest ones when the bodies take more than max_bytes.
struct call_queue *
call_queue_create(int64_t max_wait_us, size_t max_bytes)
{
    struct call_queue *queue = xcalloc(1, sizeof(*queue));

    queue->max_wait_us = max_wait_us;
    queue->max_bytes = max_bytes;
    queue->tail = &queue->first;
    return queue;
}

// Removes the oldest call, which the caller frees. The queue must not be
// empty.
static struct queued_call *
call_queue_remove_first(struct call_queue *queue)
{
    struct queued_call *call = queue->first;

    queue->first = call->next;
    if (queue->first == NULL) {
        queue->tail = &queue->first;
    }
    queue->bytes -= call->datagram.body_size_bytes;
    return call;
}

// Frees the queue with the calls that wait.
void
call_queue_destroy(struct call_queue *queue)
{
    while (queue->first != NULL) {
        free(call_queue_remove_first(queue));
    }
    free(queue);
}

static void
call_queue_drop_first(struct call_queue *queue)
{
    counter_add(COUNTER_RPC_OVERDUE, 1);
    free(call_queue_remove_first(queue));
}

// Adds a copy of a received call.
void
call_queue_push(struct call_queue *queue, int64_t now_us,
                const struct settings_address *peer,
                const struct datagram *datagram)
{
    size_t size = datagram->body_size_bytes;
    struct queued_call *call = xmalloc(sizeof(*call) + size);

    call->next = NULL;
    call->received_us = now_us;
    call->peer = *peer;
    call->datagram = *datagram;
    call->datagram.body = call->body;
    if (size > 0) {
        memcpy(call->body, datagram->body, size);
    }
    *queue->tail = call;
    queue->tail = &call->next;
    queue->bytes += size;
    while (queue->bytes > queue->max_bytes) {
        call_queue_drop_first(queue);
    }
}

// Removes and returns the oldest call that is not overdue; drops the overdue
// ones before it. The caller frees it. NULL if the queue is empty.
struct queued_call *
call_queue_pop(struct call_queue *queue, int64_t now_us)
{
    while (queue->first != NULL &&
           now_us - queue->first->received_us > queue->max_wait_us) {
        call_queue_drop_first(queue);
    }
    return queue->first == NULL ? NULL : call_queue_remove_first(queue);
}
